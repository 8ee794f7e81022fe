#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_load_coverage.h"
#include "wl_test.h"

/*
 * When a node that has started knows the load of its fleet. Too early, and all nodes that start
 * together choose the same endpoints; too late, and they choose at random among busy ones.
 */

enum
{
  SELF = 1,
  SEED = 90,
  MS = 1000,
};

static const uint64_t start_us = 100000000;

typedef struct
{
  WlMembership *m;
  WlLoadCoverage c;
} Fixture;

static void
on_send (void *data, const uint32_t *nodes, uint32_t n_nodes, const WlMessage *message)
{
  (void)data;
  (void)nodes;
  (void)n_nodes;
  (void)message;
}

static void
create (Fixture *f)
{
  WlMembershipOptions options = { .node = SELF, .boot = 1, .domain = "a", .send = on_send };
  f->m = wl_membership_create (&options);
  wl_load_coverage_init (&f->c, start_us);
}

static void
hear (Fixture *f, uint32_t node, const char *domain, uint64_t boot, uint64_t now_us)
{
  WlNodeStatus s = { .node = node, .boot = boot, .sequence = now_us, .is_ready = 1 };
  snprintf (s.domain, sizeof s.domain, "%s", domain);
  wl_roster_apply_status (f->m->roster, &s, now_us);
}

/* Nodes 2 to @n of a failure domain, all of boot 7. */
static void
hear_many (Fixture *f, uint32_t first, uint32_t end, const char *domain, uint64_t now_us)
{
  for (uint32_t i = first; i < end; i++)
    hear (f, i, domain, 7, now_us);
}

START_TEST (a_node_without_others_is_complete)
{
  Fixture f;
  create (&f);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us), 0);
  ck_assert_uint_eq (f.c.complete_us, start_us);
  wl_membership_destroy (f.m);
}
END_TEST

START_TEST (a_node_that_hears_no_seed_is_partial_for_a_limited_time)
{
  Fixture f;
  create (&f);
  wl_roster_add (f.m->roster, SEED, start_us);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us), 1);
  uint64_t end_us = start_us + WL_LOAD_COVERAGE_START_US;
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, end_us - 1), 1);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, end_us), 0);
  wl_membership_destroy (f.m);
}
END_TEST

START_TEST (full_reports_of_three_in_four_nodes_are_enough)
{
  Fixture f;
  create (&f);
  hear_many (&f, 2, 42, "a", start_us); /* 40 others */
  for (uint32_t i = 2; i < 31; i++)
    wl_load_coverage_note (&f.c, i, 7);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us), 1);
  wl_load_coverage_note (&f.c, 2, 7); /* a second one of the same node */
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us), 1);
  wl_load_coverage_note (&f.c, 31, 7);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us), 0);
  /* More nodes start: their load is not known yet. */
  hear_many (&f, 42, 82, "b", start_us);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us + 1), 1);
  ck_assert_uint_eq (f.c.complete_us, start_us);
  wl_membership_destroy (f.m);
}
END_TEST

START_TEST (a_report_of_an_earlier_boot_does_not_count)
{
  Fixture f;
  create (&f);
  hear (&f, 2, "a", 7, start_us);
  wl_load_coverage_note (&f.c, 2, 6);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us), 1);
  wl_load_coverage_note (&f.c, 2, 7);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us), 0);
  wl_membership_destroy (f.m);
}
END_TEST

/* In the largest fleets a node sees the load of its own failure domain only. */
START_TEST (other_domains_are_not_waited_for_in_the_largest_fleets)
{
  Fixture f;
  uint32_t nodes[WL_VIEW_CONTACTS_MAX];
  create (&f);
  hear_many (&f, 2, 42, "a", start_us);
  hear_many (&f, 42, 202, "b", start_us);
  for (uint32_t i = 2; i < 42; i++)
    wl_load_coverage_note (&f.c, i, 7);
  ck_assert_uint_eq (wl_load_coverage_ask (&f.c, f.m, start_us, nodes), 0);
  ck_assert_int_eq (wl_load_coverage_update (&f.c, f.m, start_us), 0);
  wl_membership_destroy (f.m);
}
END_TEST

START_TEST (the_relay_of_the_own_domain_is_asked_and_asks_those_of_others)
{
  Fixture f;
  uint32_t nodes[WL_VIEW_CONTACTS_MAX];
  create (&f);
  hear_many (&f, 10, 50, "b", start_us);
  hear (&f, 60, "c", 7, start_us);
  /* This node has the lowest id of its domain: it is the relay. */
  ck_assert_uint_eq (wl_load_coverage_ask (&f.c, f.m, start_us, nodes), 2);
  ck_assert_uint_eq (nodes[0], 10);
  ck_assert_uint_eq (nodes[1], 60);
  uint64_t next_us = start_us + WL_LOAD_COVERAGE_ASK_INTERVAL_US;
  ck_assert_uint_eq (wl_load_coverage_ask (&f.c, f.m, next_us - 1, nodes), 0);
  WlNodeStatus relay = { .node = 5, .boot = 7, .sequence = 1, .domain = "a", .has_disk = 1 };
  wl_roster_apply_status (f.m->roster, &relay, start_us);
  ck_assert_uint_eq (wl_load_coverage_ask (&f.c, f.m, next_us, nodes), 1);
  ck_assert_uint_eq (nodes[0], 5);
  f.c.is_partial = 0;
  ck_assert_uint_eq (wl_load_coverage_ask (&f.c, f.m, 2 * next_us, nodes), 0);
  wl_membership_destroy (f.m);
}
END_TEST

START_TEST (nothing_is_asked_in_a_mesh)
{
  Fixture f;
  uint32_t nodes[WL_VIEW_CONTACTS_MAX];
  create (&f);
  hear_many (&f, 2, 8, "a", start_us);
  ck_assert_uint_eq (wl_load_coverage_ask (&f.c, f.m, start_us, nodes), 0);
  wl_membership_destroy (f.m);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_node_without_others_is_complete),
    WL_TEST (a_node_that_hears_no_seed_is_partial_for_a_limited_time),
    WL_TEST (full_reports_of_three_in_four_nodes_are_enough),
    WL_TEST (a_report_of_an_earlier_boot_does_not_count),
    WL_TEST (other_domains_are_not_waited_for_in_the_largest_fleets),
    WL_TEST (the_relay_of_the_own_domain_is_asked_and_asks_those_of_others),
    WL_TEST (nothing_is_asked_in_a_mesh),
  };
  apr_initialize ();
  return wl_test_run ("load_coverage", tests, sizeof tests / sizeof tests[0]);
}
