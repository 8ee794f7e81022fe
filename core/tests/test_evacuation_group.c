#include <string.h>
#include <apr_general.h>
#include "wl_sim_system.h"
#include "wl_test.h"

/* Evacuations in the control group of nodes with leases and cells. */

enum
{
  NODES = 6,
  ENGINES = 4,
  Y = 2,                 /* the first engines, in the domain "y" */
  SPREAD_US = 1000000,   /* until all owners of cells know of a change */
  REPORT_US = 4000000,   /* until all engines have reported their domain */
  ELECTION_US = 5000000, /* until the group works again after a loss */
  TRIES = 20,
};

static WlSim *
start (uint64_t seed)
{
  WlSim *sim = sim_system (seed, NODES, ENGINES, 0);
  for (uint32_t i = 0; i < ENGINES; i++)
    strcpy (sim->endpoints[i].domain, i < Y ? "y" : "z");
  sim_run (sim, REPORT_US);
  return sim;
}

/* Repeats a change until the group answers it. */
static WlSubmitOutcome
change (WlSim *sim, const char *domain, uint64_t sequence, int is_finish)
{
  for (int i = 0; i < TRIES; i++)
    {
      uint32_t id = sim_evacuate (sim, 4 + (uint32_t)i % 3, domain, sequence, is_finish);
      sim_run (sim, 300000);
      if (sim->submits[id].is_answered)
        return (WlSubmitOutcome)sim->submits[id].reply.outcome;
    }
  ck_abort_msg ("an evacuation is not answered");
}

/* Sends requests to all entries; returns how many runs reach the engines of "y". */
static uint32_t
n_runs_in_y (WlSim *sim)
{
  uint32_t n = 0;
  uint32_t before = sim->n_runs;
  for (uint32_t i = 0; i < 30; i++)
    {
      sim_request (sim, 4 + i % 3, "llm", i % 10 == 9 ? 700000 : 2000, 5, "");
      sim_run (sim, 100000);
    }
  for (uint32_t i = before; i < sim->n_runs; i++)
    n += sim->runs[i].endpoint < Y;
  ck_assert_uint_gt (sim->n_runs, before);
  return n;
}

/* Guards against grants of engines in an evacuated domain, alone or in a gang. */
START_TEST (no_attempt_is_dispatched_to_an_evacuated_domain)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      WlSim *sim = start (seed);
      ck_assert_uint_gt (n_runs_in_y (sim), 0);
      ck_assert_int_eq (change (sim, "y", 0, 0), WL_SUBMIT_ACCEPTED);
      sim_run (sim, SPREAD_US);
      ck_assert_uint_eq (n_runs_in_y (sim), 0);
      ck_assert_int_eq (change (sim, "y", 1, 1), WL_SUBMIT_ACCEPTED);
      sim_run (sim, SPREAD_US);
      ck_assert_uint_gt (n_runs_in_y (sim), 0);
      sim_finish (sim);
    }
}
END_TEST

/* Guards against requests that wait in the queue for the end of an evacuation. */
START_TEST (a_request_is_refused_when_all_engines_are_evacuated)
{
  WlSim *sim = start (3);
  ck_assert_int_eq (change (sim, "y", 0, 0), WL_SUBMIT_ACCEPTED);
  ck_assert_int_eq (change (sim, "z", 0, 0), WL_SUBMIT_ACCEPTED);
  sim_run (sim, SPREAD_US);
  const SimRequest *r = sim_request (sim, 4, "llm", 2000, 5, "");
  sim_run (sim, 100000);
  ck_assert_uint_eq (r->ends, 1);
  ck_assert_int_eq (r->end.reason, WL_REFUSAL_EVACUATED);
  ck_assert_int_eq (r->end.run, WL_RUN_NOT_RUN);
  ck_assert_int_eq (change (sim, "z", 1, 1), WL_SUBMIT_ACCEPTED);
  sim_run (sim, SPREAD_US);
  r = sim_request (sim, 4, "llm", 2000, 5, "");
  sim_run (sim, 3000000);
  ck_assert_int_eq (r->end.outcome, WL_OUTCOME_DONE);
  sim_finish (sim);
}
END_TEST

/* Guards against a late copy that undoes a later change, and a repeat that is a conflict. */
START_TEST (a_change_applies_only_to_the_state_that_its_operator_has_seen)
{
  WlSim *sim = start (4);
  ck_assert_int_eq (change (sim, "y", 0, 0), WL_SUBMIT_ACCEPTED);
  ck_assert_int_eq (change (sim, "y", 0, 0), WL_SUBMIT_ACCEPTED); /* the answer was lost */
  ck_assert_int_eq (change (sim, "y", 1, 0), WL_SUBMIT_ACCEPTED); /* evacuated already */
  ck_assert_int_eq (change (sim, "y", 1, 1), WL_SUBMIT_ACCEPTED);
  ck_assert_int_eq (change (sim, "y", 0, 0), WL_SUBMIT_CONFLICT);
  ck_assert_int_eq (change (sim, "y", 7, 0), WL_SUBMIT_CONFLICT);
  sim_query (sim, 4);
  ck_assert_uint_eq (sim->query.n_evacuations, 1);
  ck_assert_uint_eq (sim->query.evacuations[0].sequence, 2);
  ck_assert_uint_eq (sim->query.evacuations[0].is_active, 0);
  sim_finish (sim);
}
END_TEST

static void
assert_evacuated (WlSim *sim)
{
  const WlState *state = sim->nodes[sim_leader (sim)].core->control->state;
  ck_assert_uint_eq (wl_state_evacuation (state, "y").sequence, 1);
  ck_assert_uint_eq (wl_state_evacuation (state, "y").is_active, 1);
  ck_assert_uint_eq (n_runs_in_y (sim), 0);
}

START_TEST (an_evacuation_survives_a_restart_of_all_and_a_wiped_disk)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      WlSim *sim = start (seed);
      ck_assert_int_eq (change (sim, "y", 0, 0), WL_SUBMIT_ACCEPTED);
      for (uint32_t i = 1; i <= NODES; i++)
        sim_crash (sim, i);
      sim_start_all (sim);
      sim_run (sim, 2 * ELECTION_US);
      assert_evacuated (sim);
      uint32_t leader = sim_leader (sim);
      sim_wipe (sim, leader);
      sim_start (sim, leader);
      sim_run (sim, 2 * ELECTION_US);
      assert_evacuated (sim);
      sim_finish (sim);
    }
}
END_TEST

/* Guards against a change that is lost or applied twice when its leader is lost. */
START_TEST (a_change_survives_a_leader_that_is_lost)
{
  for (uint64_t delay_us = 0; delay_us <= 30000; delay_us += 3000)
    {
      WlSim *sim = start (delay_us + 1);
      uint32_t leader = sim_leader (sim);
      sim_evacuate (sim, 4, "y", 0, 0);
      sim_run (sim, delay_us);
      sim_crash (sim, leader);
      ck_assert_int_eq (change (sim, "y", 0, 0), WL_SUBMIT_ACCEPTED);
      sim_run (sim, 2 * ELECTION_US);
      assert_evacuated (sim);
      sim_finish (sim);
    }
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (no_attempt_is_dispatched_to_an_evacuated_domain),
    WL_TEST (a_request_is_refused_when_all_engines_are_evacuated),
    WL_TEST (a_change_applies_only_to_the_state_that_its_operator_has_seen),
    WL_TEST (an_evacuation_survives_a_restart_of_all_and_a_wiped_disk),
    WL_TEST (a_change_survives_a_leader_that_is_lost),
  };
  apr_initialize ();
  return wl_test_run ("evacuation_group", tests, sizeof tests / sizeof tests[0]);
}
