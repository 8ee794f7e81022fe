#include <string.h>
#include <apr_general.h>
#include "wl_fleet_sim.h"
#include "wl_test.h"

/*
 * Membership of hundreds of nodes in simulated time, without a network: how soon
 * every node learns of joins, losses and departures, and at what cost. A node
 * that learns of them late sends requests to dead endpoints. Messages are encoded,
 * so that their bytes are counted as on the wire.
 */

enum
{
  NODES_DEFAULT = 200, /* in tests that do not depend on the size */
  DOMAINS = 5,
  MS = FLEET_SIM_MS,
  SECOND = FLEET_SIM_SECOND,
  JOIN_US = 4 * SECOND,    /* by then all nodes know each other, well before traffic starts */
  EVICTION_US = 1500 * MS, /* by then no node lists a dead node as accepting requests */
  DRAIN_US = 2000 * MS,    /* shortest time that an endpoint serves on after it began to drain */
  IDLE_BYTES_PER_S = 3 * 1024, /* control traffic of a node in each direction, on average */
  NEIGHBOURS_MAX = 70,
};

static FleetSim *
setup_sized (uint64_t seed, uint32_t n_nodes)
{
  FleetSim *sim = fleet_sim_create (seed, n_nodes, DOMAINS);
  fleet_sim_run (sim, JOIN_US);
  return sim;
}

static FleetSim *
setup_large (uint64_t seed)
{
  return setup_sized (seed, FLEET_SIM_NODES_MAX);
}

static FleetSim *
setup (uint64_t seed)
{
  return setup_sized (seed, NODES_DEFAULT);
}

START_TEST (nodes_that_know_three_seeds_find_all_others)
{
  FleetSim *sim = setup_large (1);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (a_small_fleet_forms_a_mesh)
{
  FleetSim *sim = fleet_sim_create (2, 12, 3);
  fleet_sim_run (sim, JOIN_US);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

/* A node that knows only the relays of three domains must not take the fleet for a mesh. */
START_TEST (a_fleet_of_three_domains_finds_all_nodes_and_endpoints)
{
  FleetSim *sim = fleet_sim_create (15, 75, 3);
  fleet_sim_run (sim, JOIN_US);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  for (uint32_t i = 0; i < 60; i++)
    {
      WlEndpointRecord r = fleet_sim_endpoint (sim, i, 1);
      wl_membership_register (sim->nodes[(i * 7) % sim->n_nodes].m, &r, sim->now_us);
    }
  fleet_sim_run (sim, 500 * MS);
  for (uint32_t i = 0; i < 60; i++)
    ck_assert_uint_eq (fleet_sim_count_using (sim, fleet_sim_endpoint (sim, i, 1).id),
                       sim->n_nodes);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (control_traffic_of_a_node_is_bounded_in_a_large_fleet)
{
  uint64_t sent = 0;
  uint64_t received = 0;
  FleetSim *sim = setup_large (3);
  fleet_sim_register_all (sim, 155, 1);
  fleet_sim_run (sim, 1200 * MS);
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    {
      sim->nodes[i].sent = sim->nodes[i].received = 0;
      memset (sim->nodes[i].neighbours, 0, sizeof sim->nodes[i].neighbours);
    }
  for (uint64_t s = 2; s <= 9; s++)
    {
      fleet_sim_register_all (sim, 155, s);
      fleet_sim_run (sim, 1200 * MS);
    }
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    {
      uint32_t n = 0;
      sent += sim->nodes[i].sent;
      received += sim->nodes[i].received;
      for (uint32_t k = 0; k < sim->n_nodes; k++)
        n += sim->nodes[i].neighbours[k] || sim->nodes[k].neighbours[i];
      ck_assert_uint_le (n, NEIGHBOURS_MAX);
    }
  ck_assert_uint_le (sent * 10 / 96 / sim->n_nodes, IDLE_BYTES_PER_S);
  ck_assert_uint_le (received * 10 / 96 / sim->n_nodes, IDLE_BYTES_PER_S);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (a_dead_node_is_evicted_everywhere_in_time)
{
  FleetSim *sim = setup (4);
  fleet_sim_stop (sim, 0);   /* a relay */
  fleet_sim_stop (sim, 150); /* a node of the same failure domain */
  fleet_sim_stop (sim, 37);
  fleet_sim_run (sim, EVICTION_US);
  ck_assert_uint_eq (fleet_sim_count_knowing (sim, 0), 0);
  ck_assert_uint_eq (fleet_sim_count_knowing (sim, 150), 0);
  ck_assert_uint_eq (fleet_sim_count_knowing (sim, 37), 0);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (a_frozen_node_is_evicted_everywhere_and_comes_back)
{
  FleetSim *sim = setup (5);
  sim->nodes[1].is_frozen = 1;
  sim->nodes[111].is_frozen = 1;
  fleet_sim_run (sim, EVICTION_US);
  ck_assert_uint_eq (fleet_sim_count_knowing (sim, 1), 0);
  ck_assert_uint_eq (fleet_sim_count_knowing (sim, 111), 0);
  fleet_sim_run (sim, 3 * SECOND);
  sim->nodes[1].is_frozen = 0;
  sim->nodes[111].is_frozen = 0;
  fleet_sim_run (sim, 2 * SECOND);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

static int
cut_node_17 (uint32_t from, uint32_t to)
{
  return from == 17 || to == 17;
}

START_TEST (a_partitioned_node_is_evicted_everywhere)
{
  FleetSim *sim = setup (6);
  sim->is_cut = cut_node_17;
  fleet_sim_run (sim, EVICTION_US);
  ck_assert_uint_eq (fleet_sim_count_knowing (sim, 17), 0);
  sim->is_cut = NULL;
  fleet_sim_run (sim, 2 * SECOND);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

static int
cut_from_relay (uint32_t from, uint32_t to)
{
  (void)to;
  return from == 2; /* what it sends is lost, it receives everything */
}

static int
cut_to_relay (uint32_t from, uint32_t to)
{
  (void)from;
  return to == 2; /* it receives nothing, all receive what it sends */
}

START_TEST (a_relay_that_is_cut_off_one_way_affects_no_other_node)
{
  int (*const cuts[]) (uint32_t, uint32_t) = { cut_from_relay, cut_to_relay };
  for (int c = 0; c < 2; c++)
    {
      FleetSim *sim = setup (7);
      sim->is_cut = cuts[c];
      for (int step = 0; step < 40; step++)
        {
          fleet_sim_run (sim, 100 * MS);
          for (uint32_t i = 0; i < sim->n_nodes; i++)
            for (uint32_t k = 0; k < sim->n_nodes; k++)
              if (i != k && i != 2 && k != 2)
                ck_assert_msg (fleet_sim_knows (sim, i, k), "step %d: %u has lost %u", step, i, k);
        }
      sim->is_cut = NULL;
      fleet_sim_run (sim, 2 * SECOND);
      ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
      fleet_sim_destroy (sim);
    }
}
END_TEST

START_TEST (lost_messages_evict_no_node_for_long)
{
  static uint8_t missed[FLEET_SIM_NODES_MAX][FLEET_SIM_NODES_MAX];
  memset (missed, 0, sizeof missed);
  FleetSim *sim = setup (8);
  sim->loss_percent = 10;
  for (int step = 0; step < 60; step++)
    {
      fleet_sim_run (sim, 100 * MS);
      for (uint32_t i = 0; i < sim->n_nodes; i++)
        for (uint32_t k = 0; k < sim->n_nodes; k++)
          {
            missed[i][k] = i == k || fleet_sim_knows (sim, i, k) ? 0 : (uint8_t)(missed[i][k] + 1);
            ck_assert_msg (missed[i][k] < 10, "%u without %u for a second", i, k);
          }
    }
  sim->loss_percent = 0;
  fleet_sim_run (sim, 2 * SECOND);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (a_leaving_endpoint_is_known_everywhere_with_two_relays_dead)
{
  FleetSim *sim = setup_large (9);
  fleet_sim_register_all (sim, 155, 1);
  fleet_sim_run (sim, 600 * MS);
  fleet_sim_register_all (sim, 155, 2);
  fleet_sim_run (sim, 600 * MS);
  ck_assert_uint_eq (fleet_sim_count_using (sim, "endpoint-10"), FLEET_SIM_NODES_MAX);
  /* The first two relays of its failure domain: the node with a disk and the lowest id after it. */
  fleet_sim_stop (sim, 0);
  fleet_sim_stop (sim, 5);
  WlEndpointRecord r = fleet_sim_endpoint (sim, 10, 3);
  r.is_draining = 1;
  wl_membership_register (sim->nodes[200].m, &r, sim->now_us);
  fleet_sim_run (sim, DRAIN_US / 2);
  ck_assert_uint_eq (fleet_sim_count_using (sim, "endpoint-10"), 0);
  ck_assert_uint_eq (fleet_sim_count_using (sim, "endpoint-15"), FLEET_SIM_NODES_MAX - 2);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (only_endpoints_that_keep_registering_stay_usable)
{
  FleetSim *sim = setup (10);
  for (uint64_t s = 1; s <= 10; s++)
    {
      fleet_sim_register_all (sim, s < 3 ? 50 : 40, s);
      fleet_sim_run (sim, 1200 * MS);
      if (s >= 2)
        ck_assert_uint_eq (fleet_sim_count_using (sim, "endpoint-7"), sim->n_nodes);
    }
  ck_assert_uint_eq (fleet_sim_count_using (sim, "endpoint-45"), 0);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (all_nodes_find_each_other_after_a_restart_of_all)
{
  FleetSim *sim = setup_large (11);
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    fleet_sim_stop (sim, i);
  fleet_sim_run (sim, 500 * MS);
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    fleet_sim_start (sim, i);
  fleet_sim_run (sim, JOIN_US);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (a_lost_failure_domain_is_evicted_everywhere_and_comes_back)
{
  FleetSim *sim = setup (12);
  for (uint32_t i = 3; i < sim->n_nodes; i += DOMAINS)
    fleet_sim_stop (sim, i);
  fleet_sim_run (sim, EVICTION_US);
  for (uint32_t i = 3; i < sim->n_nodes; i += DOMAINS)
    ck_assert_uint_eq (fleet_sim_count_knowing (sim, i), 0);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  for (uint32_t i = 3; i < sim->n_nodes; i += DOMAINS)
    fleet_sim_start (sim, i);
  fleet_sim_run (sim, JOIN_US);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

static int
cut_in_halves (uint32_t from, uint32_t to)
{
  return (from % 2) != (to % 2);
}

START_TEST (two_halves_find_each_other_after_a_partition)
{
  FleetSim *sim = setup (13);
  sim->is_cut = cut_in_halves;
  fleet_sim_run (sim, 6 * SECOND);
  sim->is_cut = NULL;
  fleet_sim_run (sim, 3 * SECOND);
  ck_assert_uint_eq (fleet_sim_count_unknown (sim), 0);
  fleet_sim_destroy (sim);
}
END_TEST

START_TEST (a_report_of_an_older_boot_does_not_win)
{
  FleetSim *sim = setup (14);
  WlMembership *m = sim->nodes[20].m;
  WlRosterNode before = *wl_roster_find (m->roster, sim->nodes[25].id);
  fleet_sim_stop (sim, 25);
  fleet_sim_start (sim, 25);
  fleet_sim_run (sim, 2 * SECOND);
  ck_assert (fleet_sim_knows (sim, 20, 25));
  WlNodeStatus old = before.status;
  old.age_us = 3 * SECOND;
  WlMessage message = { .kind = WL_MESSAGE_NODE_REPORT };
  WlMembershipReport *r = &message.u.node_report;
  r->sender = (WlNodeStatus){ .node = sim->nodes[0].id, .boot = sim->nodes[0].boot };
  memcpy (r->sender.domain, "domain-0", sizeof "domain-0");
  r->sender.sequence = 1u << 30;
  r->nodes = &old;
  r->n_nodes = 1;
  wl_membership_receive (m, sim->nodes[0].id, &message, sim->now_us);
  ck_assert (fleet_sim_knows (sim, 20, 25));
  fleet_sim_destroy (sim);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (nodes_that_know_three_seeds_find_all_others),
    WL_TEST (a_small_fleet_forms_a_mesh),
    WL_TEST (a_fleet_of_three_domains_finds_all_nodes_and_endpoints),
    WL_TEST (control_traffic_of_a_node_is_bounded_in_a_large_fleet),
    WL_TEST (a_dead_node_is_evicted_everywhere_in_time),
    WL_TEST (a_frozen_node_is_evicted_everywhere_and_comes_back),
    WL_TEST (a_partitioned_node_is_evicted_everywhere),
    WL_TEST (a_relay_that_is_cut_off_one_way_affects_no_other_node),
    WL_TEST (lost_messages_evict_no_node_for_long),
    WL_TEST (a_leaving_endpoint_is_known_everywhere_with_two_relays_dead),
    WL_TEST (only_endpoints_that_keep_registering_stay_usable),
    WL_TEST (all_nodes_find_each_other_after_a_restart_of_all),
    WL_TEST (a_lost_failure_domain_is_evicted_everywhere_and_comes_back),
    WL_TEST (two_halves_find_each_other_after_a_partition),
    WL_TEST (a_report_of_an_older_boot_does_not_win),
  };
  apr_initialize ();
  return wl_test_run ("membership", tests, sizeof tests / sizeof tests[0]);
}
