#include <string.h>
#include <apr_general.h>
#include "wl_sim_system.h"
#include "wl_test.h"

/*
 * Random faults, alone and together, under a mixed load. The invariants of the
 * simulation are checked after every step; at the end nothing may be left.
 */

enum
{
  FAULTS = 9,
  SEEDS = 300,
};

static void
inject (WlSim *sim, uint32_t fault)
{
  uint32_t node = 1 + (uint32_t)(sim_random (sim) % sim->n_nodes);
  uint32_t endpoint = (uint32_t)(sim_random (sim) % sim->n_endpoints);
  switch (fault)
    {
    case 0:
      sim_crash (sim, node);
      break;
    case 1:
      sim_isolate (sim, node, 1);
      break;
    case 2:
      sim->nodes[node].is_frozen = sim->nodes[node].is_up;
      break;
    case 3:
      sim_endpoint_crash (sim, endpoint);
      break;
    case 4:
      sim->endpoints[endpoint].is_silent = 1;
      break;
    case 5:
      sim->cut_endpoints[node] = 1;
      break;
    case 6:
      sim->drop_ppm = 100000;
      break;
    case 7:
      sim->cut[node][1 + node % sim->n_nodes] = 1;
      break;
    case 8:
      sim_crash (sim, sim_owner (sim, "llm"));
      break;
    default:
      break;
    }
}

static void
heal (WlSim *sim)
{
  memset (sim->cut, 0, sizeof sim->cut);
  memset (sim->cut_endpoints, 0, sizeof sim->cut_endpoints);
  sim->drop_ppm = 0;
  for (uint32_t i = 1; i <= sim->n_nodes; i++)
    sim->nodes[i].is_frozen = 0;
  sim_start_all (sim);
  for (uint32_t i = 0; i < sim->n_endpoints; i++)
    {
      sim->endpoints[i].is_up = 1;
      sim->endpoints[i].is_silent = 0;
    }
}

static void
send_some (WlSim *sim, int n)
{
  for (int i = 0; i < n; i++)
    {
      uint32_t node = 1 + (uint32_t)(sim_random (sim) % sim->n_nodes);
      uint64_t dice = sim_random (sim) % 20;
      char key[32];
      snprintf (key, sizeof key, "key-%lu", (unsigned long)(sim_random (sim) % 30));
      if (!sim->nodes[node].is_up || sim->nodes[node].is_frozen)
        continue;
      if (dice == 0)
        sim_request (sim, node, "llm", 300000 + sim_random (sim) % 700000, 10, "");
      else if (dice < 4)
        sim_request (sim, node, "llm", 10000 + sim_random (sim) % 90000, 20, "");
      else if (dice < 7)
        sim_request (sim, node, "app", 1, 1, key);
      else
        sim_request (sim, node, "llm", 200 + sim_random (sim) % 4000, 30, "");
      sim_run (sim, 20000 + sim_random (sim) % 60000);
    }
}

static void
run_with_faults (uint64_t seed, uint32_t first, uint32_t second)
{
  WlSim *sim = sim_system (seed, 7, 4, 2);
  sim->repeat_ppm = 20000;
  sim->delay_us = 10000;
  send_some (sim, 12);
  inject (sim, first);
  send_some (sim, 8);
  inject (sim, second);
  send_some (sim, 16);
  sim_run (sim, sim_random (sim) % 4000000);
  heal (sim);
  send_some (sim, 6);
  sim_run (sim, 75000000);
  sim_assert_drained (sim);
  sim_finish (sim);
}

START_TEST (faults_in_pairs_leave_nothing_behind)
{
  uint64_t seed = (uint64_t)_i + 1;
  run_with_faults (seed, (uint32_t)(seed % FAULTS), (uint32_t)(seed / FAULTS % FAULTS));
}
END_TEST

static uint64_t
run_digest (uint64_t seed)
{
  uint64_t digest = 0;
  WlSim *sim = sim_system (seed, 5, 3, 1);
  send_some (sim, 20);
  sim_run (sim, 3000000);
  for (uint32_t i = 0; i < sim->n_requests; i++)
    digest = digest * 31 + sim->requests[i].ended_us + sim->requests[i].delivered;
  sim_destroy (sim);
  return digest;
}

START_TEST (the_same_events_give_the_same_effects)
{
  ck_assert_uint_eq (run_digest (5), run_digest (5));
  ck_assert_uint_ne (run_digest (5), run_digest (6));
}
END_TEST

int
main (void)
{
  apr_initialize ();
  Suite *s = suite_create ("faults");
  TCase *t = tcase_create ("faults");
  tcase_add_loop_test (t, faults_in_pairs_leave_nothing_behind, 0, SEEDS);
  tcase_add_test (t, the_same_events_give_the_same_effects);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? 0 : 1;
}
