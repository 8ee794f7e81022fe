#include <apr_general.h>
#include "wl_sim_system.h"
#include "wl_test.h"

/* What a node that stops hands over. Each test ends the process as soon as the core has stopped. */

enum
{
  ENTRY = 6, /* no control replica */
  STEP_US = 10000,
};

static WlSim *
start (uint64_t seed)
{
  WlSim *sim = sim_system (seed, 6, 2, 1);
  ck_assert_uint_ne (sim_owner (sim, "llm"), ENTRY);
  return sim;
}

static void
stop (WlSim *sim)
{
  WlEvent event = { .kind = WL_EVENT_STOP };
  sim_event (sim, ENTRY, &event);
}

/* Lets time pass; the process of the node ends as soon as it has stopped. */
static void
run (WlSim *sim, uint64_t duration_us)
{
  for (uint64_t end_us = sim->now_us + duration_us; sim->now_us < end_us;)
    {
      sim_run (sim, STEP_US);
      if (sim->nodes[ENTRY].has_stopped && sim->nodes[ENTRY].is_up)
        sim_crash (sim, ENTRY);
    }
}

static void
assert_exit_within (WlSim *sim, uint64_t limit_us)
{
  run (sim, limit_us);
  ck_assert (!sim->nodes[ENTRY].is_up);
}

static const WlState *
leader_state (const WlSim *sim)
{
  ck_assert_uint_ne (sim_leader (sim), 0);
  return sim->nodes[sim_leader (sim)].core->control->state;
}

/* Guards against receipts of the last ten seconds that no committed root covers. */
START_TEST (the_receipts_of_a_stopped_node_are_under_a_committed_root)
{
  WlSim *sim = start (1);
  sim_request (sim, ENTRY, "llm", 100, 5, "");
  sim_run (sim, 1000000);
  sim_request (sim, ENTRY, "llm", 100, 5, "");
  sim_run (sim, 1000000);
  uint64_t receipts = sim->nodes[ENTRY].core->entry->ledger.receipts;
  ck_assert_uint_eq (receipts, 2);
  stop (sim);
  assert_exit_within (sim, 6000000);
  const WlState *state = leader_state (sim);
  uint64_t rooted = 0;
  for (uint32_t i = 0; i < state->n_roots; i++)
    if (state->roots[i].node == ENTRY)
      rooted = state->roots[i].receipts;
  ck_assert_uint_eq (rooted, receipts);
  sim_finish (sim);
}
END_TEST

/* Guards against grants that the owner still holds for a node that has exited. */
START_TEST (a_stopped_node_leaves_no_grant_at_the_owner)
{
  WlSim *sim = start (2);
  const SimRequest *r = sim_request (sim, ENTRY, "llm", 1000, 400, "");
  stop (sim);
  run (sim, WL_ADDRESS_LIFETIME_US);
  ck_assert_uint_eq (r->ends, 0);
  while (r->delivered < r->max_tokens - 1)
    sim_run (sim, 1000);
  sim_isolate (sim, ENTRY, 1);
  run (sim, 300000);
  sim_isolate (sim, ENTRY, 0);
  while (sim->nodes[ENTRY].is_up)
    run (sim, STEP_US);
  ck_assert_uint_eq (apr_hash_count (sim_cell (sim, "llm")->grants), 0);
  sim_finish (sim);
}
END_TEST

/* Guards against a stopped node that callers are sent to for ten minutes: its notice was lost. */
START_TEST (a_stopped_node_has_left_the_directory)
{
  WlSim *sim = start (3);
  stop (sim);
  sim_run (sim, WL_ADDRESS_LIFETIME_US - 200000);
  sim_isolate (sim, ENTRY, 1);
  run (sim, 800000);
  sim_isolate (sim, ENTRY, 0);
  assert_exit_within (sim, 5000000);
  const WlState *state = leader_state (sim);
  for (uint32_t i = 0; i < state->n_members; i++)
    ck_assert_uint_ne (state->members[i].node, ENTRY);
  sim_finish (sim);
}
END_TEST

/* Guards against a stop without an end: the end of a claim that no leader can confirm. */
START_TEST (a_node_without_a_control_leader_stops_in_a_limited_time)
{
  WlSim *sim = start (4);
  const SimRequest *r = sim_request (sim, ENTRY, "app", 1, 1, "key");
  while (r->dispatches == 0)
    sim_run (sim, 1000);
  sim_isolate (sim, ENTRY, 1);
  sim_run (sim, 2000000);
  ck_assert_ptr_nonnull (sim->nodes[ENTRY].core->entry->outbox);
  stop (sim);
  assert_exit_within (sim, 11000000);
  sim_finish (sim);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (the_receipts_of_a_stopped_node_are_under_a_committed_root),
    WL_TEST (a_stopped_node_leaves_no_grant_at_the_owner),
    WL_TEST (a_stopped_node_has_left_the_directory),
    WL_TEST (a_node_without_a_control_leader_stops_in_a_limited_time),
  };
  return wl_test_run ("stop", tests, sizeof tests / sizeof tests[0]);
}
