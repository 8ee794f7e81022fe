#include <string.h>
#include <apr_general.h>
#include "wl_test.h"
#include "wl_view.h"

/*
 * Reports that arrive late, incomplete or reordered, applied one by one: they must
 * neither keep a dead node alive nor drop one that is alive.
 */

static const uint64_t start_us = 100000000;

typedef struct
{
  WlRoster *roster;
  WlFleet *fleet;
  WlView *view;
} Fixture;

static WlNodeStatus
status (uint32_t node, const char *domain, uint64_t sequence)
{
  WlNodeStatus s = { .node = node, .boot = 40 + node, .sequence = sequence, .is_ready = 1 };
  memcpy (s.domain, domain, strlen (domain));
  return s;
}

static Fixture
create (void)
{
  Fixture f = { wl_roster_create (1), wl_fleet_create (), NULL };
  f.view = wl_view_create (f.roster, f.fleet, 1);
  f.view->self = status (1, "a", 1);
  return f;
}

static void
destroy (Fixture *f)
{
  wl_view_destroy (f->view);
  wl_fleet_destroy (f->fleet);
  wl_roster_destroy (f->roster);
}

/* Node 2, a relay of the same failure domain, reports. */
static void
report (Fixture *f, uint64_t sequence, int is_full, WlNodeStatus *nodes, uint32_t n_nodes,
        uint64_t now_us)
{
  WlMembershipReport r = { .sender = status (2, "a", sequence), .node_digest = 1 };
  r.is_full = (uint8_t)is_full;
  r.nodes = nodes;
  r.n_nodes = n_nodes;
  wl_roster_apply_status (f->roster, &r.sender, now_us);
  wl_view_apply (f->view, &r, now_us);
}

static int
is_alive (Fixture *f, uint32_t node, uint64_t now_us)
{
  const WlRosterNode *r = wl_roster_find (f->roster, node);
  return r != NULL && wl_roster_is_alive (r, now_us);
}

START_TEST (a_node_is_alive_as_long_as_a_relay_attests_it)
{
  Fixture f = create ();
  WlNodeStatus reported = status (3, "b", 1);
  uint64_t now_us = start_us;
  report (&f, 1, 1, &reported, 1, now_us);
  for (uint64_t s = 2; s < 12; s++)
    {
      now_us += WL_ROSTER_STATUS_INTERVAL_US;
      report (&f, s, 0, NULL, 0, now_us);
      ck_assert (is_alive (&f, 3, now_us));
    }
  ck_assert (!is_alive (&f, 3, now_us + WL_ROSTER_TIMEOUT_US));
  destroy (&f);
}
END_TEST

START_TEST (attestations_of_a_relay_are_void_after_it_missed_reports)
{
  Fixture f = create ();
  WlNodeStatus reported = status (3, "b", 1);
  report (&f, 1, 1, &reported, 1, start_us);
  uint64_t later_us = start_us + 3000000;
  report (&f, 2, 0, NULL, 0, later_us);
  ck_assert (!is_alive (&f, 3, later_us));
  ck_assert_uint_eq (wl_view_subscription (f.view, 2, later_us), WL_SUBSCRIBE_WITH_FULL_REPORT);
  destroy (&f);
}
END_TEST

START_TEST (an_introduction_does_not_revive_a_lost_node)
{
  Fixture f = create ();
  WlNodeStatus reported = status (3, "b", 1);
  WlMembershipReport introduction
      = { .sender = status (9, "b", 1), .scope = WL_REPORT_INTRODUCTION };
  introduction.nodes = &reported;
  introduction.n_nodes = 1;
  wl_view_apply (f.view, &introduction, start_us);
  ck_assert (is_alive (&f, 3, start_us));
  uint64_t later_us = start_us + 3000000;
  wl_view_apply (f.view, &introduction, later_us);
  ck_assert (!is_alive (&f, 3, later_us));
  destroy (&f);
}
END_TEST

START_TEST (a_subscription_counts_when_a_report_overtook_it)
{
  Fixture f = create ();
  WlNodeStatus subscribes = status (2, "a", 5);
  subscribes.subscription = WL_SUBSCRIBE_WITH_FULL_REPORT;
  report (&f, 6, 0, NULL, 0, start_us);
  wl_roster_apply_status (f.roster, &subscribes, start_us);
  report (&f, 7, 0, NULL, 0, start_us);
  const WlRosterNode *r = wl_roster_find (f.roster, 2);
  ck_assert (wl_view_is_subscriber (r, start_us));
  ck_assert_uint_eq (r->status.subscription, WL_SUBSCRIBE_WITH_FULL_REPORT);
  destroy (&f);
}
END_TEST

START_TEST (nodes_with_a_disk_are_relays_first_and_draining_ones_never)
{
  Fixture f = create ();
  uint32_t relays[WL_VIEW_RELAYS];
  WlNodeStatus stops = status (4, "a", 1);
  WlNodeStatus has_disk = status (8, "a", 1);
  WlNodeStatus other = status (7, "a", 1);
  stops.is_draining = 1;
  has_disk.has_disk = 1;
  wl_roster_apply_status (f.roster, &stops, start_us);
  wl_roster_apply_status (f.roster, &has_disk, start_us);
  wl_roster_apply_status (f.roster, &other, start_us);
  ck_assert_uint_eq (wl_view_relays (f.view, "a", start_us, relays, WL_VIEW_RELAYS), 3);
  ck_assert_uint_eq (relays[0], 8);
  ck_assert_uint_eq (relays[1], 1);
  ck_assert_uint_eq (relays[2], 7);
  destroy (&f);
}
END_TEST

/*
 * Two relays of a domain report a dead endpoint to each other: the report of the
 * other must not hide that the registrations here are overdue.
 */
START_TEST (an_endpoint_that_missed_registrations_is_reported_with_its_true_age)
{
  Fixture f = create ();
  apr_pool_t *pool;
  WlMembershipReport out;
  WlEndpointRecord e = { .address = 1, .port = 2, .slots = 4, .started_ms = 1, .sequence = 1 };
  strcpy (e.id, "e-1");
  strcpy (e.service, "llm");
  strcpy (e.domain, "a");
  wl_fleet_apply (f.fleet, &e, start_us);
  wl_view_note_registration (f.view, &e, start_us);
  uint64_t now_us = start_us + WL_FLEET_OVERDUE_US + 1;
  WlMembershipReport other = { .sender = status (2, "a", 1), .is_full = 1, .node_digest = 1 };
  other.endpoints = &e;
  other.n_endpoints = 1;
  wl_roster_apply_status (f.roster, &other.sender, now_us);
  wl_view_apply (f.view, &other, now_us);
  apr_pool_create (&pool, NULL);
  wl_view_scan (f.view, now_us);
  wl_view_report (f.view, WL_REPORT_ALL, 0, now_us, pool, &out);
  ck_assert_uint_eq (out.n_endpoints, 1);
  ck_assert_uint_ge (out.endpoints[0].age_us, WL_FLEET_OVERDUE_US);
  apr_pool_destroy (pool);
  destroy (&f);
}
END_TEST

static void
report_endpoint (Fixture *f, uint32_t relay, uint64_t sequence, WlEndpointRecord *record,
                 WlEndpointKey *lost, uint64_t now_us)
{
  WlMembershipReport r = { .sender = status (relay, "a", sequence), .node_digest = 1 };
  r.is_full = sequence == 1;
  r.endpoints = record;
  r.n_endpoints = record != NULL;
  r.removed_endpoints = lost;
  r.n_removed_endpoints = lost != NULL;
  if (record != NULL)
    wl_fleet_apply (f->fleet, record, now_us);
  wl_roster_apply_status (f->roster, &r.sender, now_us);
  wl_view_apply (f->view, &r, now_us);
}

/* A relay that has dropped an endpoint no longer counts as evidence that it is alive. */
START_TEST (an_endpoint_dropped_by_one_relay_and_overdue_at_the_other_is_overdue)
{
  Fixture f = create ();
  WlEndpointRecord e = { .address = 1, .port = 2, .slots = 4, .started_ms = 1, .sequence = 1 };
  WlEndpointKey key = { wl_fleet_key ("e-1") };
  strcpy (e.id, "e-1");
  strcpy (e.service, "llm");
  strcpy (e.domain, "a");
  report_endpoint (&f, 2, 1, &e, NULL, start_us);
  report_endpoint (&f, 4, 1, &e, NULL, start_us);
  report_endpoint (&f, 2, 2, NULL, &key, start_us + 1);
  e.age_us = WL_FLEET_OVERDUE_US + 1;
  report_endpoint (&f, 4, 2, &e, NULL, start_us + 2);
  ck_assert (wl_fleet_is_overdue (wl_fleet_find (f.fleet, "e-1"), start_us + 2));
  destroy (&f);
}
END_TEST

/* Guards against nodes that hear only with the next change that an endpoint is cold. */
START_TEST (an_endpoint_that_becomes_cold_is_reported_at_once)
{
  for (int reports_cold = 0; reports_cold < 2; reports_cold++)
    {
      Fixture f = create ();
      apr_pool_t *pool;
      WlMembershipReport out;
      WlEndpointRecord e = { .address = 1, .port = 2, .slots = 4, .started_ms = 1, .sequence = 1 };
      strcpy (e.id, "e-1");
      strcpy (e.service, "llm");
      strcpy (e.domain, "a");
      f.fleet->reports_cold = (uint8_t)reports_cold;
      wl_fleet_apply (f.fleet, &e, start_us);
      wl_view_note_registration (f.view, &e, start_us);
      uint64_t since = wl_view_scan (f.view, start_us);
      e.sequence = 2;
      e.cold_left_ms = 3000;
      wl_fleet_apply (f.fleet, &e, start_us + 1000);
      uint64_t digest = f.fleet->endpoints[0].reported[WL_REPORT_ALL].hash;
      wl_view_scan (f.view, start_us + 2000);
      ck_assert_int_eq (f.view->changed_scan > since, reports_cold);
      apr_pool_create (&pool, NULL);
      wl_view_report (f.view, WL_REPORT_ALL, since, start_us + 2000, pool, &out);
      ck_assert_uint_eq (out.n_endpoints, (uint32_t)reports_cold);
      ck_assert_uint_eq (out.endpoint_digest, digest);
      if (reports_cold)
        ck_assert_uint_eq (out.endpoints[0].cold_left_ms, 2999);
      since = wl_view_scan (f.view, start_us + 3000);
      ck_assert_uint_lt (f.view->changed_scan, since);
      apr_pool_destroy (pool);
      destroy (&f);
    }
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_node_is_alive_as_long_as_a_relay_attests_it),
    WL_TEST (attestations_of_a_relay_are_void_after_it_missed_reports),
    WL_TEST (an_introduction_does_not_revive_a_lost_node),
    WL_TEST (a_subscription_counts_when_a_report_overtook_it),
    WL_TEST (nodes_with_a_disk_are_relays_first_and_draining_ones_never),
    WL_TEST (an_endpoint_that_missed_registrations_is_reported_with_its_true_age),
    WL_TEST (an_endpoint_dropped_by_one_relay_and_overdue_at_the_other_is_overdue),
    WL_TEST (an_endpoint_that_becomes_cold_is_reported_at_once),
  };
  apr_initialize ();
  return wl_test_run ("view", tests, sizeof tests / sizeof tests[0]);
}
