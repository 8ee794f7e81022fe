#include <apr_general.h>
#include "wl_sim_system.h"
#include "wl_test.h"

/* Non-idempotent requests run at most once. */

START_TEST (a_repetition_gets_the_stored_outcome_anywhere)
{
  WlSim *sim = sim_system (1, 6, 2, 2);
  const SimRequest *a = sim_request (sim, 4, "app", 1, 1, "k1");
  sim_run (sim, 1000000);
  ck_assert_int_eq (a->end.outcome, WL_OUTCOME_DONE);
  const SimRequest *b = sim_request (sim, 5, "app", 1, 1, "k1");
  sim_run (sim, 1000000);
  ck_assert_int_eq (b->end.outcome, WL_OUTCOME_REPLAYED);
  ck_assert_uint_eq (sim_runs_of (sim, "k1"), 1);
  sim_finish (sim);
}
END_TEST

START_TEST (a_repetition_while_the_first_is_in_flight_is_told_so)
{
  WlSim *sim = sim_system (2, 6, 2, 2);
  sim->token_us = 2000000;
  sim_request (sim, 4, "app", 1, 1, "k1");
  sim_run (sim, 100000);
  const SimRequest *b = sim_request (sim, 5, "app", 1, 1, "k1");
  sim_run (sim, 500000);
  ck_assert_int_eq (b->end.outcome, WL_OUTCOME_REFUSED);
  ck_assert_int_eq (b->end.reason, WL_REFUSAL_CLAIM_TAKEN);
  ck_assert_uint_eq (sim_runs_of (sim, "k1"), 1);
  sim_finish (sim);
}
END_TEST

START_TEST (the_outcome_of_a_dead_entry_stays_unknown_and_is_never_run_again)
{
  WlSim *sim = sim_system (3, 6, 2, 2);
  sim->token_us = 3000000;
  sim_request (sim, 6, "app", 1, 1, "k1");
  sim_run (sim, 200000);
  sim_crash (sim, 6);
  sim_run (sim, 5000000);
  sim_start (sim, 6);
  sim_run (sim, 2000000);
  for (uint32_t node = 4; node <= 6; node++)
    {
      const SimRequest *b = sim_request (sim, node, "app", 1, 1, "k1");
      sim_run (sim, 1000000);
      ck_assert_int_eq (b->end.reason, WL_REFUSAL_CLAIM_UNKNOWN);
      ck_assert_int_eq (b->end.run, WL_RUN_UNKNOWN);
    }
  ck_assert_uint_eq (sim_runs_of (sim, "k1"), 1);
  sim_finish (sim);
}
END_TEST

START_TEST (a_broken_run_stays_unknown_and_is_never_run_again)
{
  WlSim *sim = sim_system (7, 5, 2, 2);
  sim->token_us = 2000000;
  const SimRequest *a = sim_request (sim, 4, "app", 1, 1, "k1");
  sim_run (sim, 100000);
  ck_assert_uint_eq (sim->n_runs, 1);
  uint32_t endpoint = sim->runs[0].endpoint;
  sim_endpoint_crash (sim, endpoint);
  sim_run (sim, 1000000);
  ck_assert_int_eq (a->end.outcome, WL_OUTCOME_FAILED);
  ck_assert_int_eq (a->end.run, WL_RUN_UNKNOWN);
  sim->endpoints[endpoint].is_up = 1;
  sim_run (sim, 5000000);
  const SimRequest *b = sim_request (sim, 5, "app", 1, 1, "k1");
  sim_run (sim, 1000000);
  ck_assert_int_eq (b->end.reason, WL_REFUSAL_CLAIM_UNKNOWN);
  ck_assert_uint_eq (sim_runs_of (sim, "k1"), 1);
  sim_finish (sim);
}
END_TEST

START_TEST (outcomes_outlive_a_restart_of_everything)
{
  WlSim *sim = sim_system (4, 5, 2, 2);
  const SimRequest *a = sim_request (sim, 4, "app", 1, 1, "k1");
  sim_run (sim, 1500000);
  ck_assert_int_eq (a->end.outcome, WL_OUTCOME_DONE);
  for (uint32_t i = 1; i <= 5; i++)
    sim_crash (sim, i);
  sim_start_all (sim);
  sim_run (sim, 9000000);
  const SimRequest *b = sim_request (sim, 5, "app", 1, 1, "k1");
  sim_run (sim, 1000000);
  ck_assert_int_eq (b->end.outcome, WL_OUTCOME_REPLAYED);
  ck_assert_uint_eq (sim_runs_of (sim, "k1"), 1);
  sim_finish (sim);
}
END_TEST

START_TEST (a_request_that_could_not_be_sent_may_be_repeated)
{
  WlSim *sim = sim_system (5, 6, 2, 2);
  sim->endpoints[2].is_up = 0;
  sim->endpoints[3].is_up = 0;
  const SimRequest *a = sim_request (sim, 4, "app", 1, 1, "k1");
  sim_run (sim, 9000000);
  ck_assert_uint_eq (a->ends, 1);
  ck_assert_int_eq (a->end.run, WL_RUN_NOT_RUN);
  sim->endpoints[2].is_up = 1;
  sim->endpoints[3].is_up = 1;
  sim_run (sim, 8000000);
  const SimRequest *b = sim_request (sim, 5, "app", 1, 1, "k1");
  sim_run (sim, 2000000);
  ck_assert_int_eq (b->end.outcome, WL_OUTCOME_DONE);
  ck_assert_uint_eq (sim_runs_of (sim, "k1"), 1);
  sim_finish (sim);
}
END_TEST

START_TEST (a_key_with_another_request_is_refused)
{
  WlSim *sim = sim_system (6, 5, 2, 2);
  sim_request (sim, 4, "app", 1, 1, "k1");
  sim_run (sim, 1000000);
  WlEvent event = { .kind = WL_EVENT_REQUEST };
  SimRequest *r = sim_request (sim, 4, "app", 1, 1, "unused");
  event.u.request.id = r->id + 1;
  sim->requests[sim->n_requests++] = (SimRequest){
    .id = r->id + 1, .node = 4, .sent_us = sim->now_us, .limit_us = 8000000, .max_tokens = 1
  };
  event.u.request.api_key = "a";
  event.u.request.service = "app";
  event.u.request.path = "/write";
  event.u.request.key = "k1";
  event.u.request.digest[0] = 1;
  sim_event (sim, 4, &event);
  sim_run (sim, 1000000);
  ck_assert_int_eq (sim->requests[sim->n_requests - 1].end.reason, WL_REFUSAL_KEY_REUSED);
  sim_finish (sim);
}
END_TEST

START_TEST (many_keys_under_loss_crashes_and_repetition_run_at_most_once)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      WlSim *sim = sim_system (seed, 7, 2, 3);
      char key[WL_KEY_SIZE];
      sim->drop_ppm = 80000;
      sim->repeat_ppm = 150000;
      sim->delay_us = 60000;
      for (int i = 0; i < 60; i++)
        {
          uint32_t node = 4 + (uint32_t)(sim_random (sim) % 4);
          snprintf (key, sizeof key, "k%d", (int)(sim_random (sim) % 20));
          if (sim->nodes[node].is_up)
            sim_request (sim, node, "app", 1, 1, key);
          sim_run (sim, sim_random (sim) % 300000);
          if (i % 11 != 5)
            continue;
          uint32_t victim = 1 + (uint32_t)(sim_random (sim) % 7);
          sim_crash (sim, victim);
          sim_run (sim, sim_random (sim) % 2000000);
          sim_start (sim, victim);
        }
      sim_run (sim, 12000000);
      for (int i = 0; i < 20; i++)
        {
          snprintf (key, sizeof key, "k%d", i);
          ck_assert_uint_le (sim_runs_of (sim, key), 1);
        }
      sim_finish (sim);
    }
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (a_repetition_gets_the_stored_outcome_anywhere),
    WL_TEST (a_repetition_while_the_first_is_in_flight_is_told_so),
    WL_TEST (the_outcome_of_a_dead_entry_stays_unknown_and_is_never_run_again),
    WL_TEST (a_broken_run_stays_unknown_and_is_never_run_again),
    WL_TEST (outcomes_outlive_a_restart_of_everything),
    WL_TEST (a_request_that_could_not_be_sent_may_be_repeated),
    WL_TEST (a_key_with_another_request_is_refused),
    WL_TEST (many_keys_under_loss_crashes_and_repetition_run_at_most_once),
  };
  return wl_test_run ("claims", tests, sizeof tests / sizeof tests[0]);
}
