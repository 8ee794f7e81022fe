#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_fleet_sim.h"
#include "wl_test.h"

/*
 * All nodes start within 0.3 s, as after a power loss, and those with a disk have the endpoints of
 * before in their files. Nodes that learn the endpoints only from their registrations place the
 * first requests on the few that have registered. A file must not bring back what has left.
 */

enum
{
  NODES = 91,
  SMALL_NODES = 12, /* a mesh */
  DOMAINS = 3,
  ENDPOINTS = 54,
  SEEDS = 8,
  LARGE_DOMAINS = 5,
  LARGE_ENDPOINTS = 155,
  MS = FLEET_SIM_MS,
  SECOND = FLEET_SIM_SECOND,
  /* The last node starts after 0.3 s; then four hops of 1 ms and two reports every 40 ms. */
  KNOWN_US = 400 * MS,
  RECORD_BYTES = 90, /* of an endpoint in a report, at most */
  LISTS_MAX = 4,     /* copies of the restored list that a node may get */
};

static void
name_endpoint (uint32_t i, char *out, size_t size)
{
  snprintf (out, size, "endpoint-%u", i);
}

static uint32_t
count_pairs (const FleetSim *sim, uint32_t n_endpoints)
{
  char id[WL_LABEL_SIZE];
  uint32_t n = 0;
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      name_endpoint (i, id, sizeof id);
      n += fleet_sim_count_usable (sim, id);
    }
  return n;
}

static FleetSim *
start_all (uint64_t seed, uint32_t n_nodes, uint32_t n_domains, uint32_t n_restored)
{
  FleetSim *sim = fleet_sim_create (seed, n_nodes, n_domains);
  for (uint32_t i = 0; i < n_domains && n_restored > 0; i++)
    fleet_sim_restore (sim, i, n_restored, 1);
  return sim;
}

START_TEST (all_nodes_know_the_restored_endpoints_before_any_has_registered)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      FleetSim *sim = start_all (seed, NODES, DOMAINS, ENDPOINTS);
      fleet_sim_run (sim, KNOWN_US);
      ck_assert_uint_eq (count_pairs (sim, ENDPOINTS), NODES * ENDPOINTS);
      fleet_sim_destroy (sim);
    }
}
END_TEST

START_TEST (all_nodes_of_a_mesh_know_the_restored_endpoints)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      FleetSim *sim = start_all (seed, SMALL_NODES, DOMAINS, ENDPOINTS);
      fleet_sim_run (sim, KNOWN_US);
      ck_assert_uint_eq (count_pairs (sim, ENDPOINTS), SMALL_NODES * ENDPOINTS);
      fleet_sim_destroy (sim);
    }
}
END_TEST

/* Guards against nodes that take the fleet for a mesh until their next heartbeat. */
START_TEST (all_nodes_know_most_others_soon_after_they_started)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      FleetSim *sim = start_all (seed, NODES, DOMAINS, 0);
      fleet_sim_run (sim, KNOWN_US);
      for (uint32_t i = 0; i < NODES; i++)
        ck_assert_uint_ge (wl_roster_count_alive (sim->nodes[i].m->roster, sim->now_us),
                           NODES * 9 / 10);
      fleet_sim_destroy (sim);
    }
}
END_TEST

/* A failure domain whose node with a disk does not come back learns the endpoints from the others.
 */
START_TEST (restored_endpoints_reach_a_domain_without_a_disk)
{
  FleetSim *sim = fleet_sim_create (3, NODES, DOMAINS);
  fleet_sim_stop (sim, 1);
  fleet_sim_restore (sim, 0, ENDPOINTS, 1);
  fleet_sim_run (sim, KNOWN_US + 200 * MS);
  ck_assert_uint_eq (count_pairs (sim, ENDPOINTS), (NODES - 1) * ENDPOINTS);
  fleet_sim_destroy (sim);
}
END_TEST

static uint64_t
bytes_of_start (uint32_t n_restored)
{
  uint64_t sent = 0;
  FleetSim *sim = start_all (1, FLEET_SIM_NODES_MAX, LARGE_DOMAINS, n_restored);
  fleet_sim_run (sim, 2 * SECOND);
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    sent += sim->nodes[i].sent;
  fleet_sim_destroy (sim);
  return sent;
}

START_TEST (a_restored_list_is_sent_a_few_times_to_each_node)
{
  uint64_t without = bytes_of_start (0);
  uint64_t with = bytes_of_start (LARGE_ENDPOINTS);
  ck_assert_uint_le (
      with, without + (uint64_t)FLEET_SIM_NODES_MAX * LISTS_MAX * LARGE_ENDPOINTS * RECORD_BYTES);
}
END_TEST

START_TEST (a_restored_endpoint_that_does_not_register_times_out_everywhere)
{
  FleetSim *sim = start_all (4, NODES, DOMAINS, ENDPOINTS);
  fleet_sim_run (sim, WL_MEMBERSHIP_RESTORED_US - 100 * MS);
  ck_assert_uint_eq (fleet_sim_count_usable (sim, "endpoint-7"), NODES);
  /* A node that knows no other one yet defers the time-out, by up to the time until it does. */
  fleet_sim_run (sim, SECOND);
  ck_assert_uint_eq (count_pairs (sim, ENDPOINTS), 0);
  fleet_sim_destroy (sim);
}
END_TEST

/* Endpoints that register after the start of all nodes stay in use although the file times out. */
START_TEST (restored_endpoints_that_register_stay_usable)
{
  FleetSim *sim = start_all (5, NODES, DOMAINS, ENDPOINTS);
  fleet_sim_run (sim, SECOND);
  for (uint64_t sequence = 2; sequence < 6; sequence++)
    {
      fleet_sim_register_all (sim, ENDPOINTS, sequence);
      for (int step = 0; step < 12; step++)
        {
          fleet_sim_run (sim, 100 * MS);
          ck_assert_uint_eq (count_pairs (sim, ENDPOINTS), NODES * ENDPOINTS);
        }
    }
  fleet_sim_destroy (sim);
}
END_TEST

/* Lets endpoints 0 to @n - 1 register for a while. */
static void
register_for (FleetSim *sim, uint32_t n, uint64_t first_sequence, uint32_t times)
{
  for (uint64_t s = first_sequence; s < first_sequence + times; s++)
    {
      fleet_sim_register_all (sim, n, s);
      fleet_sim_run (sim, 1200 * MS);
    }
}

/* A node with a disk restarts in a running fleet; what others know counts more than its file. */
static void
restart_with_file (FleetSim *sim, uint32_t n_restored, uint64_t sequence)
{
  fleet_sim_stop (sim, 0);
  fleet_sim_run (sim, 500 * MS);
  fleet_sim_start (sim, 0);
  fleet_sim_restore (sim, 0, n_restored, sequence);
}

static void
check_silent (uint32_t n_nodes)
{
  FleetSim *sim = fleet_sim_create (6, n_nodes, DOMAINS);
  fleet_sim_run (sim, 2 * SECOND);
  register_for (sim, ENDPOINTS, 1, 2);
  register_for (sim, ENDPOINTS - 1, 3, 7); /* the last one is silent for more than 6 s */
  ck_assert_uint_eq (fleet_sim_count_usable (sim, "endpoint-53"), 0);
  restart_with_file (sim, ENDPOINTS, 2);
  for (int step = 0; step < 40; step++)
    {
      if (step % 12 == 0)
        fleet_sim_register_all (sim, ENDPOINTS - 1, 10 + (uint64_t)step);
      fleet_sim_run (sim, 100 * MS);
      /* Only the node that has restarted cannot know it. */
      ck_assert_uint_le (fleet_sim_count_usable (sim, "endpoint-53"), 1);
      ck_assert_uint_ge (fleet_sim_count_usable (sim, "endpoint-52"), n_nodes - 1);
    }
  fleet_sim_destroy (sim);
}

START_TEST (a_file_brings_back_no_endpoint_that_is_silent)
{
  check_silent (NODES);
  check_silent (SMALL_NODES);
}
END_TEST

static void
check_left (uint32_t n_nodes)
{
  FleetSim *sim = fleet_sim_create (7, n_nodes, DOMAINS);
  fleet_sim_run (sim, 2 * SECOND);
  register_for (sim, ENDPOINTS, 1, 2);
  WlEndpointRecord leaving = fleet_sim_endpoint (sim, 9, 3);
  leaving.has_left = 1;
  wl_membership_register (sim->nodes[n_nodes / 3].m, &leaving, sim->now_us);
  fleet_sim_run (sim, 1000 * MS);
  ck_assert_uint_eq (fleet_sim_count_usable (sim, "endpoint-9"), 0);
  restart_with_file (sim, ENDPOINTS, 200);
  for (int step = 0; step < 30; step++)
    {
      fleet_sim_run (sim, 100 * MS);
      /* The node that has restarted knows it once it has heard its fleet. */
      ck_assert_uint_le (fleet_sim_count_usable (sim, "endpoint-9"), step < 8 ? 1 : 0);
    }
  fleet_sim_destroy (sim);
}

/*
 * The file has an endpoint that the running nodes do not know, as one that they forgot long ago.
 * Guards against requests of the whole fleet to it.
 */
START_TEST (a_file_brings_back_no_endpoint_that_running_nodes_do_not_know)
{
  FleetSim *sim = fleet_sim_create (7, NODES, DOMAINS);
  fleet_sim_run (sim, 2 * SECOND);
  register_for (sim, ENDPOINTS - 1, 1, 5);
  restart_with_file (sim, ENDPOINTS, 2);
  for (int step = 0; step < 20; step++)
    {
      if (step % 12 == 0)
        fleet_sim_register_all (sim, ENDPOINTS - 1, 10 + (uint64_t)step);
      fleet_sim_run (sim, 100 * MS);
      ck_assert_uint_le (fleet_sim_count_usable (sim, "endpoint-53"), 1);
    }
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (a_file_brings_back_no_endpoint_that_has_left)
{
  check_left (NODES);
  check_left (SMALL_NODES);
}
END_TEST

/* One node was down for long: its file has an earlier start of an endpoint, at another address. */
START_TEST (a_stale_file_of_one_node_does_not_override)
{
  FleetSim *sim = fleet_sim_create (8, NODES, DOMAINS);
  WlEndpointRecord stale = fleet_sim_endpoint (sim, 5, 1000);
  stale.started_ms = 3;
  stale.address = 4000;
  for (uint32_t i = 1; i < DOMAINS; i++)
    fleet_sim_restore (sim, i, ENDPOINTS, 1);
  wl_membership_restore (sim->nodes[0].m, &stale, 1, sim->now_us);
  fleet_sim_run (sim, KNOWN_US + 200 * MS);
  for (uint32_t i = 0; i < NODES; i++)
    {
      const WlEndpoint *e = wl_fleet_find (sim->nodes[i].m->fleet, "endpoint-5");
      ck_assert_ptr_nonnull (e);
      ck_assert_uint_eq (e->record.started_ms, 7);
      ck_assert_uint_eq (e->record.address, 6);
      ck_assert (wl_fleet_is_usable (e, sim->now_us));
    }
  fleet_sim_destroy (sim);
}
END_TEST

/* ---- one record against another ---- */

static WlEndpointRecord
record (uint64_t started_ms, uint64_t sequence, uint8_t is_restored)
{
  WlEndpointRecord r = { .address = 1, .port = 2, .slots = 4 };
  strcpy (r.id, "e-1");
  strcpy (r.service, "llm");
  strcpy (r.domain, "a");
  r.started_ms = started_ms;
  r.sequence = sequence;
  r.is_restored = is_restored;
  return r;
}

START_TEST (a_registration_replaces_a_restored_endpoint_with_any_sequence)
{
  WlFleet *fleet = wl_fleet_create ();
  WlEndpointRecord restored = record (5, 100, 1);
  WlEndpointRecord registered = record (5, 2, 0);
  restored.age_us = 3500000;
  ck_assert_int_eq (wl_fleet_apply (fleet, &restored, SECOND * 10), 1);
  ck_assert_int_eq (wl_fleet_apply (fleet, &registered, SECOND * 10 + 1), 0);
  const WlEndpoint *e = wl_fleet_find (fleet, "e-1");
  ck_assert_uint_eq (e->record.sequence, 2);
  ck_assert_uint_eq (e->record.is_restored, 0);
  ck_assert (!wl_fleet_is_overdue (e, SECOND * 10 + 1));
  /* Another node has not heard it for long, whatever the age of the file is taken for. */
  WlEndpointRecord second = record (5, 100, 1);
  WlEndpointRecord silent = record (5, 2, 0);
  strcpy (second.id, "e-2");
  strcpy (silent.id, "e-2");
  second.address = silent.address = 9;
  second.age_us = 3500000;
  silent.age_us = 9000000;
  wl_fleet_apply (fleet, &second, SECOND * 10);
  ck_assert (wl_fleet_is_usable (wl_fleet_find (fleet, "e-2"), SECOND * 10));
  wl_fleet_apply (fleet, &silent, SECOND * 10);
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (fleet, "e-2"), SECOND * 10));
  /* An earlier start is an endpoint that has been replaced, whoever names it. */
  WlEndpointRecord earlier = record (4, 900, 0);
  ck_assert_int_eq (wl_fleet_apply (fleet, &earlier, SECOND * 10 + 2), -1);
  wl_fleet_destroy (fleet);
}
END_TEST

START_TEST (a_restored_endpoint_replaces_no_registration)
{
  WlFleet *fleet = wl_fleet_create ();
  WlEndpointRecord registered = record (5, 2, 0);
  WlEndpointRecord later = record (6, 100, 1);
  WlEndpointRecord same_address = record (9, 1, 1);
  strcpy (same_address.id, "e-2");
  ck_assert_int_eq (wl_fleet_apply (fleet, &registered, SECOND * 10), 1);
  ck_assert_int_eq (wl_fleet_apply (fleet, &later, SECOND * 30), -1); /* also after a silence */
  wl_fleet_apply (fleet, &same_address, SECOND * 10);
  ck_assert (wl_fleet_is_usable (wl_fleet_find (fleet, "e-1"), SECOND * 10));
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (fleet, "e-2"), SECOND * 10));
  wl_fleet_destroy (fleet);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (all_nodes_know_the_restored_endpoints_before_any_has_registered),
    WL_TEST (all_nodes_of_a_mesh_know_the_restored_endpoints),
    WL_TEST (all_nodes_know_most_others_soon_after_they_started),
    WL_TEST (restored_endpoints_reach_a_domain_without_a_disk),
    WL_TEST (a_restored_list_is_sent_a_few_times_to_each_node),
    WL_TEST (a_restored_endpoint_that_does_not_register_times_out_everywhere),
    WL_TEST (restored_endpoints_that_register_stay_usable),
    WL_TEST (a_file_brings_back_no_endpoint_that_is_silent),
    WL_TEST (a_file_brings_back_no_endpoint_that_running_nodes_do_not_know),
    WL_TEST (a_file_brings_back_no_endpoint_that_has_left),
    WL_TEST (a_stale_file_of_one_node_does_not_override),
    WL_TEST (a_registration_replaces_a_restored_endpoint_with_any_sequence),
    WL_TEST (a_restored_endpoint_replaces_no_registration),
  };
  apr_initialize ();
  return wl_test_run ("fleet_start", tests, sizeof tests / sizeof tests[0]);
}
