#include <apr_general.h>
#include "wl_sim_system.h"
#include "wl_test.h"

/* Non-idempotent requests run at most once, whatever fails and whichever entry gets a repetition.
 */

/* A caller that repeats a request at another entry must get the response, not a second run. */
START_TEST (a_repeated_request_gets_the_stored_response_at_any_entry)
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

/* The caller retries too early: the first run has no outcome yet and must stay the only one. */
START_TEST (a_repeated_request_is_refused_while_the_first_one_runs)
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

/*
 * The entry that holds the claim crashes while the request runs. No node can
 * know whether it took effect, so the key must not be released, also after a restart.
 */
START_TEST (after_a_crash_of_the_entry_the_outcome_is_unknown_and_the_request_never_rerun)
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

/* The endpoint crashes while the request runs; an automatic retry could run it twice. */
START_TEST (after_a_crash_of_the_endpoint_the_outcome_is_unknown_and_the_request_never_rerun)
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

/* Claims kept only in memory would be lost when all nodes restart, and the request run again. */
START_TEST (stored_responses_survive_a_restart_of_all_nodes)
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

/* No endpoint is reachable, so the request has not run: its key must be released. */
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

/* Replaying the stored response would answer a request that the caller has not made. */
START_TEST (a_key_reused_for_another_request_is_refused)
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

/* Random repetitions of 20 keys while messages are lost and duplicated and nodes crash. */
START_TEST (keys_run_at_most_once_under_message_loss_duplication_and_crashes)
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
          uint32_t crashed = 1 + (uint32_t)(sim_random (sim) % 7);
          sim_crash (sim, crashed);
          sim_run (sim, sim_random (sim) % 2000000);
          sim_start (sim, crashed);
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
    WL_TEST (a_repeated_request_gets_the_stored_response_at_any_entry),
    WL_TEST (a_repeated_request_is_refused_while_the_first_one_runs),
    WL_TEST (after_a_crash_of_the_entry_the_outcome_is_unknown_and_the_request_never_rerun),
    WL_TEST (after_a_crash_of_the_endpoint_the_outcome_is_unknown_and_the_request_never_rerun),
    WL_TEST (stored_responses_survive_a_restart_of_all_nodes),
    WL_TEST (a_request_that_could_not_be_sent_may_be_repeated),
    WL_TEST (a_key_reused_for_another_request_is_refused),
    WL_TEST (keys_run_at_most_once_under_message_loss_duplication_and_crashes),
  };
  return wl_test_run ("claims", tests, sizeof tests / sizeof tests[0]);
}
