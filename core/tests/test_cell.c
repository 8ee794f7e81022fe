#include <string.h>
#include <apr_general.h>
#include "wl_accounts.h"
#include "wl_queue.h"
#include "wl_sim_system.h"
#include "wl_test.h"

/* The cell owner: resource accounting, gangs, fair queueing, ejection and model loading. */

/*
 * A prompt larger than an endpoint's KV cache must start on as many endpoints
 * as hold it together, here three of 400000 tokens, and free all of them.
 */
START_TEST (a_prompt_beyond_one_engine_gets_a_complete_gang)
{
  WlSim *sim = sim_system (1, 5, 5, 0);
  const SimRequest *r = sim_request (sim, 4, "llm", 900000, 10, "");
  sim_run (sim, 200000);
  ck_assert_uint_eq (sim->n_runs, 3);
  sim_run (sim, 8000000);
  ck_assert_int_eq (r->end.outcome, WL_OUTCOME_DONE);
  sim_run (sim, 3000000);
  sim_assert_drained (sim);
  sim_finish (sim);
}
END_TEST

/* A prompt that no gang can hold would otherwise be queued until its time limit. */
START_TEST (a_prompt_beyond_the_whole_cell_is_refused_at_once)
{
  WlSim *sim = sim_system (2, 5, 2, 0);
  const SimRequest *r = sim_request (sim, 4, "llm", 900000, 10, "");
  sim_run (sim, 100000);
  ck_assert_int_eq (r->end.reason, WL_REFUSAL_TOO_LARGE);
  ck_assert_int_eq (r->end.run, WL_RUN_NOT_RUN);
  sim_finish (sim);
}
END_TEST

/*
 * Two requests that each need three of four endpoints would wait for each other
 * forever if each could take two.
 */
START_TEST (two_gangs_never_each_hold_half)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      WlSim *sim = sim_system (seed, 6, 4, 0);
      const SimRequest *a = sim_request (sim, 4, "llm", 1000000, 10, "");
      const SimRequest *b = sim_request (sim, 5, "llm", 1000000, 10, "");
      for (int i = 0; i < 30; i++)
        {
          sim_request (sim, 4 + (uint32_t)i % 3, "llm", 2000, 20, "");
          sim_run (sim, 100000);
          /* Three dispatches an attempt: a gang starts on all its endpoints or none. */
          ck_assert (a->dispatches % 3 == 0);
          ck_assert (b->dispatches % 3 == 0);
        }
      sim_run (sim, 30000000);
      ck_assert_int_eq (a->end.outcome, WL_OUTCOME_DONE);
      ck_assert_int_eq (b->end.outcome, WL_OUTCOME_DONE);
      sim_assert_drained (sim);
      sim_finish (sim);
    }
}
END_TEST

/* Short requests always fit, so without a reservation they would overtake a gang forever. */
START_TEST (a_gang_is_not_starved_by_a_stream_of_short_requests)
{
  WlSim *sim = sim_system (3, 6, 3, 0);
  for (int i = 0; i < 40; i++)
    {
      sim_request (sim, 4, "llm", 8000, 100, "");
      sim_run (sim, 50000);
    }
  const SimRequest *huge = sim_request (sim, 5, "llm", 1000000, 10, "");
  for (int i = 0; i < 300 && huge->ends == 0; i++)
    {
      sim_request (sim, 4, "llm", 8000, 100, "");
      sim_run (sim, 100000);
    }
  ck_assert_uint_eq (huge->ends, 1);
  ck_assert_int_eq (huge->end.outcome, WL_OUTCOME_DONE);
  sim_finish (sim);
}
END_TEST

/*
 * The same with larger requests, of which some always run: the reservation must
 * keep them from starting until enough KV cache is free.
 */
START_TEST (a_gang_starts_although_the_kv_cache_is_never_free_by_chance)
{
  WlSim *sim = sim_system (13, 6, 3, 0);
  for (int i = 0; i < 100; i++)
    {
      sim_request (sim, 4, "llm", 30000, 300, "");
      sim_run (sim, 100000);
    }
  const SimRequest *huge = sim_request (sim, 5, "llm", 1000000, 10, "");
  for (int i = 0; i < 300 && huge->ends == 0; i++)
    {
      sim_request (sim, 4, "llm", 30000, 300, "");
      sim_run (sim, 100000);
    }
  /* The other requests have not stopped in the meantime. */
  ck_assert_uint_eq (huge->ends, 1);
  ck_assert_int_eq (huge->end.outcome, WL_OUTCOME_DONE);
  sim_finish (sim);
}
END_TEST

/* Errors in the owner's accounts would let prompts of mixed sizes exceed an endpoint's KV cache. */
START_TEST (the_kv_cache_is_never_overcommitted)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      WlSim *sim = sim_system (seed, 6, 3, 0);
      for (int i = 0; i < 120; i++)
        {
          sim_request (sim, 4 + (uint32_t)i % 3, "llm", 1000 + sim_random (sim) % 250000, 20, "");
          sim_run (sim, 30000);
        }
      for (uint32_t i = 0; i < 3; i++)
        ck_assert_uint_le (sim->endpoints[i].kv_peak, sim->endpoints[i].kv_capacity);
      sim_run (sim, 90000000);
      sim_assert_drained (sim);
      sim_finish (sim);
    }
}
END_TEST

static WlCell *
bare_cell (const WlSettings *settings, const WlServices *services)
{
  WlCellLease lease = { .shard = 0, .owner = 1, .fence = 1 };
  strcpy (lease.service, "llm");
  WlCell *cell = wl_cell_create (&lease, settings, 1000000);
  wl_cell_configure (cell, services);
  return cell;
}

static WlServices *
parse (const char *text)
{
  WlFindings findings = { 0 };
  WlServices *services = NULL;
  wl_services_parse (text, strlen (text), &findings, &services);
  wl_findings_clear (&findings);
  return services;
}

/* A customer that queues its requests first must not delay another beyond the ratio of weights. */
START_TEST (fair_queueing_serves_customers_by_weight)
{
  WlSettings settings = { .self = { .node = 1 } };
  WlServices *services = parse (sim_text (2)); /* customer a weighs 3, customer b 1 */
  WlCell *cell = bare_cell (&settings, services);
  WlPlacementRequest place
      = { .node = 1, .prompt_tokens = 1000, .max_tokens = 100, .remaining_us = 60000000 };
  for (uint64_t i = 0; i < 400; i++)
    {
      place.request = i + 1;
      strcpy (place.customer, i < 200 ? "b" : "a"); /* b queues first */
      wl_queue_add (cell, &place, 1000000);
    }
  uint32_t served[2] = { 0, 0 };
  for (int i = 0; i < 120; i++)
    {
      served[cell->queue->place.customer[0] == 'a']++;
      wl_queue_advance (cell, cell->queue);
      wl_queue_remove (cell, cell->queue);
    }
  ck_assert_uint_ge (served[1], 85);
  ck_assert_uint_ge (served[0], 25);
  wl_cell_destroy (cell);
  wl_services_destroy (services);
}
END_TEST

/* Operators would blame the wrong customer if delays were attributed to the one that suffers them.
 */
START_TEST (delays_are_attributed_to_the_customers_that_cause_them)
{
  WlSettings settings = { .self = { .node = 1 } };
  WlServices *services = parse (sim_text (1));
  WlCell *cell = bare_cell (&settings, services);
  WlEffects *fx = wl_effects_create ();
  uint64_t now_us = 3000000;
  WlLoadedModel loaded = { "m", "1" };
  WlEndpointReport r = { .endpoint = 7,
                         .incarnation = 1,
                         .sequence = 1,
                         .kv_capacity = 400000,
                         .slots = 2,
                         .loaded = &loaded,
                         .n_loaded = 1 };
  wl_cell_report (cell, &r, now_us, fx);
  wl_cell_tick (cell, now_us, fx);
  WlPlacementRequest place
      = { .node = 1, .attempt = 1, .max_tokens = 10, .remaining_us = 60000000 };
  strcpy (place.customer, "b");
  place.prompt_tokens = 200000;
  place.request = 1;
  wl_cell_place (cell, &place, now_us, fx);
  strcpy (place.customer, "a");
  place.prompt_tokens = 1000;
  for (place.request = 2; place.request <= 3; place.request++)
    wl_cell_place (cell, &place, now_us, fx);
  /* One of a's requests shares the endpoint with b's prompt, the other waits for a slot. */
  ck_assert_uint_eq (cell->n_queued, 1);
  uint32_t a = wl_accounts_customer (cell, "a")->index;
  uint32_t b = wl_accounts_customer (cell, "b")->index;
  for (int i = 0; i < 10; i++)
    wl_cell_tick (cell, now_us += 100000, fx);
  uint64_t by_b = cell->delays_us[a * cell->delays_size + b];
  uint64_t by_a = cell->delays_us[b * cell->delays_size + a];
  ck_assert_uint_gt (by_b, 1500000); /* of two seconds of waiting and sharing */
  ck_assert_uint_lt (by_a, 100000);
  wl_effects_destroy (fx);
  wl_cell_destroy (cell);
  wl_services_destroy (services);
}
END_TEST

/* First come, first served would put a short prompt behind all queued long prompts. */
START_TEST (a_short_request_overtakes_the_long_queue_of_another_customer)
{
  WlSettings settings = { .self = { .node = 1 } };
  WlServices *services = parse (sim_text (1));
  WlCell *cell = bare_cell (&settings, services);
  WlPlacementRequest place
      = { .node = 1, .prompt_tokens = 200000, .max_tokens = 100, .remaining_us = 60000000 };
  strcpy (place.customer, "a");
  for (place.request = 1; place.request <= 10; place.request++)
    wl_queue_add (cell, &place, 1000000);
  strcpy (place.customer, "b");
  place.prompt_tokens = 1000;
  wl_queue_add (cell, &place, 1000000);
  /* Only a's first request, which came earlier at the same virtual time, is before it. */
  ck_assert_str_eq (cell->queue->next->place.customer, "b");
  wl_cell_destroy (cell);
  wl_services_destroy (services);
}
END_TEST

/* A scan that stopped at long requests that cannot start would never reach short ones behind them.
 */
START_TEST (queued_long_requests_do_not_block_short_ones)
{
  WlSim *sim = sim_system (9, 6, 3, 0);
  for (int i = 0; i < 60; i++)
    sim_request (sim, 4, "llm", 120000, 50, "");
  sim_run (sim, 1000000);
  const SimRequest *r = sim_request (sim, 5, "llm", 1000, 10, "");
  sim_run (sim, 1500000);
  /* First token within 1.5 s, the objective for short prompts. */
  ck_assert_uint_gt (r->delivered, 0);
  sim_run (sim, 90000000);
  sim_assert_drained (sim);
  sim_finish (sim);
}
END_TEST

/* Four of six endpoints stall. Ejecting all of them would overload the remaining two. */
START_TEST (failing_endpoints_are_ejected_but_never_more_than_a_third)
{
  WlSim *sim = sim_system (4, 5, 6, 0);
  for (int i = 0; i < 4; i++)
    sim->endpoints[i].is_silent = 1;
  for (int i = 0; i < 300; i++)
    {
      sim_request (sim, 4, "llm", 100, 10, "");
      sim_run (sim, 100000);
      const WlCell *c = sim_cell (sim, "llm");
      uint32_t ejected = 0;
      for (apr_hash_index_t *k = apr_hash_first (NULL, c->endpoints); k; k = apr_hash_next (k))
        ejected += ((const WlEndpoint *)apr_hash_this_val (k))->ejected_until_us > sim->now_us;
      ck_assert_uint_le (ejected, 2);
    }
  ck_assert_uint_gt (sim_cell (sim, "llm")->counters.ejections, 0);
  sim_finish (sim);
}
END_TEST

/* Requests sent to an endpoint that has announced its end would be cut off. */
START_TEST (a_leaving_endpoint_gets_no_new_requests)
{
  WlSim *sim = sim_system (5, 5, 3, 0);
  sim->endpoints[1].is_leaving = 1;
  for (int i = 0; i < 200; i++)
    {
      sim_request (sim, 4, "llm", 500, 10, "");
      sim_run (sim, 60000);
    }
  sim_run (sim, 5000000);
  sim_assert_drained (sim);
  sim_finish (sim); /* fails when the simulation saw a dispatch after the grace time */
}
END_TEST

/* Endpoints start without the model; repeated orders would load it again. */
START_TEST (each_endpoint_loads_its_model_by_one_order)
{
  WlSim *sim = sim_create (6, 5, 3);
  sim_start_all (sim);
  sim_run (sim, 4000000);
  for (int i = 0; i < 3; i++)
    sim_add_endpoint (sim, "llm", 0)->is_loaded = 0;
  sim_submit_until_answered (sim, 4, 0, sim_text (1));
  sim_run (sim, 12000000);
  for (int i = 0; i < 3; i++)
    {
      ck_assert (sim->endpoints[i].is_loaded);
      ck_assert_uint_eq (sim->endpoints[i].orders, 1);
    }
  sim_finish (sim);
}
END_TEST

/*
 * A new owner, after a crash or partition of the previous one, learns of running
 * attempts from grant renewals. If it missed some, it would cancel them as
 * orphans or give their KV cache away.
 */
START_TEST (a_new_owner_adopts_running_grants)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    {
      WlSim *sim = sim_system (seed, 6, 3, 0);
      uint32_t old = sim_owner (sim, "llm");
      uint32_t entry = old == 6 ? 5 : 6;
      sim->token_us = 50000;
      for (int i = 0; i < 12; i++)
        sim_request (sim, entry, "llm", 2000, 200, "");
      sim_run (sim, 1000000);
      if (seed % 2)
        sim_crash (sim, old);
      else
        sim_isolate (sim, old, 1);
      sim_run (sim, 7000000);
      ck_assert_uint_gt (apr_hash_count (sim_cell (sim, "llm")->grants), 0);
      sim_isolate (sim, old, 0);
      sim_run (sim, 25000000);
      for (uint32_t i = 0; i < sim->n_requests; i++)
        {
          ck_assert_int_eq (sim->requests[i].end.outcome, WL_OUTCOME_DONE);
          ck_assert_uint_eq (sim->requests[i].dispatches, 1); /* no stream was interrupted */
        }
      sim_assert_drained (sim);
      sim_finish (sim);
    }
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (a_prompt_beyond_one_engine_gets_a_complete_gang),
    WL_TEST (a_prompt_beyond_the_whole_cell_is_refused_at_once),
    WL_TEST (two_gangs_never_each_hold_half),
    WL_TEST (a_gang_is_not_starved_by_a_stream_of_short_requests),
    WL_TEST (a_gang_starts_although_the_kv_cache_is_never_free_by_chance),
    WL_TEST (the_kv_cache_is_never_overcommitted),
    WL_TEST (fair_queueing_serves_customers_by_weight),
    WL_TEST (delays_are_attributed_to_the_customers_that_cause_them),
    WL_TEST (a_short_request_overtakes_the_long_queue_of_another_customer),
    WL_TEST (queued_long_requests_do_not_block_short_ones),
    WL_TEST (failing_endpoints_are_ejected_but_never_more_than_a_third),
    WL_TEST (a_leaving_endpoint_gets_no_new_requests),
    WL_TEST (each_endpoint_loads_its_model_by_one_order),
    WL_TEST (a_new_owner_adopts_running_grants),
  };
  return wl_test_run ("cell", tests, sizeof tests / sizeof tests[0]);
}
