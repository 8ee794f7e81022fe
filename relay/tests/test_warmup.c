#include <stdio.h>
#include <string.h>
#include "wl_test.h"
#include "wl_warmup.h"

/*
 * The share of one node of what cold endpoints tolerate: who the senders are, and when a node must
 * send nothing. test_warmup_fleet checks the sum over all nodes.
 */

enum
{
  MS = 1000,
  SECOND = 1000 * MS,
  START_US = 100 * SECOND,
  NODES = 24,
};

/* The engines of deployment A: 39 requests in any second. */
static const WlRouteService service
    = { .name = "s", .cold_start_us = 3 * SECOND, .cold_rate = 23000 };

typedef struct
{
  WlRoster *roster;
  WlWarmup *warmup;
  WlEndpoint endpoint;
  uint64_t now_us;
} Fixture;

/* Node @i + 1 of a fleet, in one of three failure domains. */
static WlNodeStatus
status_of (uint32_t i)
{
  WlNodeStatus s = { .node = i + 1, .boot = 1, .sequence = 1 };
  snprintf (s.domain, sizeof s.domain, "z%u", i % 3);
  return s;
}

static Fixture
create (uint32_t self)
{
  static char domain[WL_LABEL_SIZE];
  Fixture f = { .roster = wl_roster_create (self + 1), .now_us = START_US };
  snprintf (domain, sizeof domain, "%s", status_of (self).domain);
  WlWarmupOptions options = { .node = self + 1, .domain = domain, .over = 1.5, .slack = 5.0 };
  f.warmup = wl_warmup_create (&options, f.now_us);
  f.endpoint.key = wl_fleet_key ("e");
  f.endpoint.says_cold = 1;
  f.endpoint.cold_until_us = UINT64_MAX;
  return f;
}

static void
destroy (Fixture *f)
{
  wl_warmup_destroy (f->warmup);
  wl_roster_destroy (f->roster);
}

/* Lets time pass in which the first @n_alive nodes are heard. */
static void
run (Fixture *f, uint32_t n_alive, uint64_t us)
{
  for (uint64_t end_us = f->now_us + us; f->now_us < end_us;)
    {
      f->now_us += 100 * MS;
      for (uint32_t i = 0; i < n_alive; i++)
        {
          WlNodeStatus s = status_of (i);
          s.sequence = f->now_us;
          wl_roster_apply_status (f->roster, &s, f->now_us);
        }
      wl_roster_expire (f->roster, f->now_us);
      wl_warmup_observe (f->warmup, f->roster, NULL, 0, f->now_us);
    }
}

static uint64_t
wait_us (Fixture *f)
{
  return wl_warmup_wait_us (f->warmup, &service, &f->endpoint, f->now_us);
}

/* Guards against shares that overlap, or are missing: every node must find the same senders. */
START_TEST (an_endpoint_has_thirteen_senders_over_all_domains)
{
  uint32_t in_domain[3] = { 0 };
  for (uint32_t i = 0; i < NODES; i++)
    {
      Fixture f = create (i);
      run (&f, NODES, 4 * SECOND);
      in_domain[i % 3] += wait_us (&f) != UINT64_MAX;
      destroy (&f);
    }
  ck_assert_uint_eq (in_domain[0] + in_domain[1] + in_domain[2], WL_WARMUP_SENDERS_MAX);
  for (int d = 0; d < 3; d++)
    ck_assert_uint_ge (in_domain[d], 4);
}
END_TEST

/* Guards against a node that sends what it may alone before it has heard of the others. */
START_TEST (a_node_that_has_just_started_sends_nothing)
{
  Fixture f = create (0);
  run (&f, 1, 100 * MS);
  ck_assert (!wl_warmup_is_active (f.warmup, f.now_us));
  ck_assert_int_eq (wl_warmup_take (f.warmup, &service, &f.endpoint, f.now_us), 0);
  run (&f, 1, WL_WARMUP_HOLD_US);
  ck_assert (wl_warmup_is_active (f.warmup, f.now_us));
  destroy (&f);
}
END_TEST

/* Guards against a full bucket: all senders would send at once. */
START_TEST (a_share_begins_empty_and_has_one_token)
{
  Fixture f = create (0);
  run (&f, 1, WL_WARMUP_HOLD_US);
  uint64_t first_us = wait_us (&f);
  ck_assert_uint_gt (first_us, 0);
  ck_assert_uint_lt (first_us, 100 * MS);
  run (&f, 1, 900 * MS);
  ck_assert_int_eq (wl_warmup_take (f.warmup, &service, &f.endpoint, f.now_us), 1);
  ck_assert_int_eq (wl_warmup_take (f.warmup, &service, &f.endpoint, f.now_us), 0);
  ck_assert_uint_gt (wait_us (&f), 0);
  destroy (&f);
}
END_TEST

/* Guards against more requests in a second than the bound when a node is alone. */
START_TEST (a_node_alone_stays_within_the_bound_and_uses_it)
{
  uint64_t sent_us[500];
  uint32_t n = 0;
  Fixture f = create (0);
  run (&f, 1, 2 * WL_WARMUP_HOLD_US);
  for (uint64_t end_us = f.now_us + 10 * SECOND; f.now_us < end_us; f.now_us += MS)
    {
      wl_warmup_tick (f.warmup, f.now_us);
      if (wl_warmup_take (f.warmup, &service, &f.endpoint, f.now_us))
        sent_us[n++] = f.now_us;
    }
  for (uint32_t i = 39; i < n; i++)
    ck_assert_uint_gt (sent_us[i] - sent_us[i - 39], SECOND);
  ck_assert_uint_ge (n, 316);
  destroy (&f);
}
END_TEST

/* Guards against both sides of a partition taking themselves for the whole. */
START_TEST (a_node_that_sees_half_of_the_others_or_fewer_sends_nothing)
{
  Fixture f = create (0);
  run (&f, NODES, 4 * SECOND);
  ck_assert (wl_warmup_is_active (f.warmup, f.now_us));
  run (&f, NODES / 2, 120 * SECOND);
  ck_assert (!wl_warmup_is_active (f.warmup, f.now_us));
  ck_assert_uint_eq (wl_warmup_n_known (f.warmup), NODES);
  run (&f, NODES, WL_WARMUP_REJOIN_US - SECOND);
  ck_assert (!wl_warmup_is_active (f.warmup, f.now_us));
  run (&f, NODES, 2 * SECOND);
  ck_assert (wl_warmup_is_active (f.warmup, f.now_us));
  destroy (&f);
}
END_TEST

/* Guards against shares that stay with nodes that do not come back. */
START_TEST (lost_nodes_are_forgotten_by_a_majority_and_at_last_by_all)
{
  Fixture f = create (0);
  run (&f, NODES, 4 * SECOND);
  run (&f, NODES - 4, 20 * SECOND);
  ck_assert_uint_eq (wl_warmup_n_known (f.warmup), NODES);
  run (&f, NODES - 4, 20 * SECOND);
  ck_assert_uint_eq (wl_warmup_n_known (f.warmup), NODES - 4);
  run (&f, 2, WL_WARMUP_ISOLATION_US + 2 * SECOND);
  ck_assert_uint_eq (wl_warmup_n_known (f.warmup), 2);
  destroy (&f);
}
END_TEST

/* Guards against a node that is restarted inside of a partition and knows nothing of the others. */
START_TEST (a_young_node_counts_what_others_count)
{
  Fixture f = create (0);
  WlNodeStatus s = status_of (1);
  s.n_known = NODES;
  wl_roster_apply_status (f.roster, &s, f.now_us);
  wl_warmup_observe (f.warmup, f.roster, NULL, 0, f.now_us);
  run (&f, 4, 60 * SECOND);
  ck_assert_uint_eq (wl_warmup_n_known (f.warmup), NODES);
  ck_assert (!wl_warmup_is_active (f.warmup, f.now_us));
  run (&f, NODES - 1, 60 * SECOND);
  ck_assert_uint_eq (wl_warmup_n_known (f.warmup), NODES - 1);
  ck_assert (wl_warmup_is_active (f.warmup, f.now_us));
  destroy (&f);
}
END_TEST

/*
 * A node starts while others still count many that have gone. Guards against a node that takes its
 * fleet for the smaller side of a partition for ever, and tells it to those that start after it.
 */
START_TEST (a_node_does_not_count_what_others_counted_for_ever)
{
  Fixture f = create (0);
  WlNodeStatus s = status_of (1);
  s.n_known = 2 * NODES;
  wl_roster_apply_status (f.roster, &s, f.now_us);
  wl_warmup_observe (f.warmup, f.roster, NULL, 0, f.now_us);
  run (&f, NODES, WL_WARMUP_ISOLATION_US - SECOND);
  ck_assert (!wl_warmup_is_active (f.warmup, f.now_us));
  run (&f, NODES, WL_WARMUP_REJOIN_US + 2 * SECOND);
  ck_assert_uint_eq (wl_warmup_n_known (f.warmup), NODES);
  ck_assert (wl_warmup_is_active (f.warmup, f.now_us));
  destroy (&f);
}
END_TEST

/*
 * A node is a sender, then another one is in its place, then it is again; it has no requests
 * meanwhile. Guards against a share that is taken as never lost: the other node may just have sent.
 */
START_TEST (a_share_that_was_lost_meanwhile_begins_empty)
{
  uint32_t n_tried = 0;
  for (uint32_t self = 0; self < NODES - 4; self++)
    {
      Fixture f = create (self);
      WlEndpoint seen;
      run (&f, NODES - 4, 4 * SECOND);
      uint64_t before_us = wait_us (&f);
      run (&f, NODES, 4 * SECOND);
      seen = f.endpoint; /* a look that leaves no trace */
      int is_lost = wl_warmup_wait_us (f.warmup, &service, &seen, f.now_us) == UINT64_MAX;
      run (&f, NODES - 4, WL_WARMUP_MEMORY_US + 10 * SECOND);
      if (before_us != UINT64_MAX && is_lost)
        {
          ck_assert_uint_ne (wait_us (&f), UINT64_MAX);
          ck_assert_uint_gt (wait_us (&f), 0);
          n_tried++;
        }
      destroy (&f);
    }
  ck_assert_uint_gt (n_tried, 0);
}
END_TEST

/* Guards against a node that starts alone in a partition: its settings name others. */
START_TEST (seeds_count_until_they_are_heard)
{
  uint32_t seeds[] = { 1, 2, 3 };
  Fixture f = create (0);
  for (int i = 0; i < 100; i++)
    {
      f.now_us += 100 * MS;
      wl_warmup_observe (f.warmup, f.roster, seeds, 3, f.now_us);
    }
  ck_assert_uint_eq (wl_warmup_n_known (f.warmup), 3);
  ck_assert (!wl_warmup_is_active (f.warmup, f.now_us));
  destroy (&f);
}
END_TEST

/* Guards against a node that goes on after a freeze with what it knew before. */
START_TEST (a_node_sends_nothing_after_a_freeze)
{
  Fixture f = create (0);
  run (&f, 1, 2 * WL_WARMUP_HOLD_US);
  ck_assert_uint_gt (wait_us (&f), 0);
  run (&f, 1, 100 * MS);
  ck_assert_uint_eq (wait_us (&f), 0);
  f.now_us += WL_WARMUP_FREEZE_US + 1;
  ck_assert_int_eq (wl_warmup_take (f.warmup, &service, &f.endpoint, f.now_us), 0);
  wl_warmup_tick (f.warmup, f.now_us);
  ck_assert (!wl_warmup_is_active (f.warmup, f.now_us));
  ck_assert_uint_gt (wait_us (&f), WL_WARMUP_HOLD_US);
  run (&f, 1, WL_WARMUP_HOLD_US + 100 * MS);
  ck_assert_uint_eq (wait_us (&f), 0);
  destroy (&f);
}
END_TEST

/* Guards against a rate of 0, or below one, that is taken for no bound. */
START_TEST (a_rate_of_nothing_is_never_cold_and_one_below_one_sends_nothing)
{
  WlRouteService never = service;
  WlRouteService low = service;
  WlWarmupOptions options = { .node = 1, .domain = "z0", .over = 1.0, .slack = 0.0 };
  Fixture f = create (0);
  wl_warmup_destroy (f.warmup);
  f.warmup = wl_warmup_create (&options, f.now_us);
  run (&f, 1, 2 * WL_WARMUP_HOLD_US);
  never.cold_rate = 0;
  low.cold_rate = 999;
  ck_assert (!wl_warmup_is_cold (&never, &f.endpoint, f.now_us));
  ck_assert (wl_warmup_is_cold (&low, &f.endpoint, f.now_us));
  ck_assert_uint_eq (wl_warmup_wait_us (f.warmup, &low, &f.endpoint, f.now_us), UINT64_MAX);
  low.cold_rate = UINT64_MAX;
  run (&f, 1, 100 * MS);
  wl_warmup_wait_us (f.warmup, &low, &f.endpoint, f.now_us);
  run (&f, 1, 100 * MS);
  ck_assert_int_eq (wl_warmup_take (f.warmup, &low, &f.endpoint, f.now_us), 1);
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (an_endpoint_has_thirteen_senders_over_all_domains),
    WL_TEST (a_node_that_has_just_started_sends_nothing),
    WL_TEST (a_share_begins_empty_and_has_one_token),
    WL_TEST (a_node_alone_stays_within_the_bound_and_uses_it),
    WL_TEST (a_node_that_sees_half_of_the_others_or_fewer_sends_nothing),
    WL_TEST (lost_nodes_are_forgotten_by_a_majority_and_at_last_by_all),
    WL_TEST (a_young_node_counts_what_others_count),
    WL_TEST (a_node_does_not_count_what_others_counted_for_ever),
    WL_TEST (a_share_that_was_lost_meanwhile_begins_empty),
    WL_TEST (seeds_count_until_they_are_heard),
    WL_TEST (a_node_sends_nothing_after_a_freeze),
    WL_TEST (a_rate_of_nothing_is_never_cold_and_one_below_one_sends_nothing),
  };
  return wl_test_run ("warmup", tests, sizeof tests / sizeof tests[0]);
}
