#include <string.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_test.h"
#include "wl_test_host.h"

/*
 * Nodes that start at the same moment, as after a power loss. The clock stands
 * still, so anything that waits for a tick of the gossip never arrives.
 */

enum
{
  NODES = 4,
  TURNS = 60,           /* of every node's loop; the limit only ends a test that has failed */
  PASSED_ON_TURNS = 10, /* enough for a message to travel there and back several times */
  NOW_US = 50000000,
  TICK_US = 100000, /* of gossip */
};

typedef struct
{
  uint16_t ports[2]; /* for other nodes, for callers */
  WlHost *nodes[NODES];
} Fixture;

static void
setup (Fixture *f)
{
  memset (f, 0, sizeof *f);
  wl_clock_set (NOW_US);
  wl_test_free_ports (f->ports, 2);
}

static void
start (Fixture *f, uint32_t i)
{
  f->nodes[i] = wl_test_start_node (i, f->ports, "z");
}

static void
teardown (Fixture *f)
{
  for (int i = 0; i < NODES; i++)
    wl_host_destroy (f->nodes[i]);
  wl_clock_set (0);
}

static void
run_turn (Fixture *f)
{
  for (int i = 0; i < NODES; i++)
    if (f->nodes[i] != NULL)
      wl_host_run_once (f->nodes[i]);
}

static uint32_t
count_discovered (const WlHost *host)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    n += host->roster->nodes[i].last_contact_us != 0;
  return n;
}

static int
have_all_discovered (const Fixture *f)
{
  for (int i = 0; i < NODES; i++)
    if (count_discovered (f->nodes[i]) != NODES - 1)
      return 0;
  return 1;
}

START_TEST (nodes_with_one_seed_discover_each_other_before_the_next_tick)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i);
  for (int i = 0; i < TURNS && !have_all_discovered (&f); i++)
    run_turn (&f);
  ck_assert_int_eq (have_all_discovered (&f), 1);
  teardown (&f);
}
END_TEST

/* The seed starts a moment after the node, and no other node can report the node to it. */
START_TEST (a_seed_that_starts_later_discovers_the_node_at_the_next_tick)
{
  Fixture f;
  setup (&f);
  start (&f, 1);
  for (int i = 0; i < 5; i++)
    run_turn (&f);
  start (&f, 0);
  wl_clock_set (NOW_US + TICK_US);
  for (int i = 0; i < TURNS && count_discovered (f.nodes[0]) == 0; i++)
    run_turn (&f);
  ck_assert_uint_eq (count_discovered (f.nodes[0]), 1);
  teardown (&f);
}
END_TEST

/* Guards against a new node that places requests without the load of the others. */
START_TEST (a_new_node_receives_a_full_load_report)
{
  Fixture f;
  WlWorkItem note = { .endpoint = 7, .id = 1, .phase = WL_WORK_DECODING, .kv_tokens = 100 };
  setup (&f);
  start (&f, 0);
  wl_load_apply (f.nodes[0]->load, f.nodes[0]->options.node, f.nodes[0]->boot_id, &note, NOW_US);
  run_turn (&f);
  start (&f, 1);
  for (int i = 0; i < TURNS && wl_load_sum (f.nodes[1]->load, 7, NOW_US).n_items == 0; i++)
    run_turn (&f);
  ck_assert_uint_eq (wl_load_sum (f.nodes[1]->load, 7, NOW_US).n_items, 1);
  teardown (&f);
}
END_TEST

/* Guards against a busy node whose work the others do not see: it sent no full report, silently. */
START_TEST (a_node_with_much_work_sends_full_load_reports)
{
  enum
  {
    ENDPOINTS = 20,
    ITEMS = 75, /* at each endpoint */
  };
  Fixture f;
  uint32_t n = 0;
  setup (&f);
  start (&f, 0);
  for (uint32_t i = 0; i < ENDPOINTS * ITEMS; i++)
    {
      WlWorkItem item = { .endpoint = 1 + i % ENDPOINTS, .id = i + 1, .phase = WL_WORK_DECODING };
      wl_load_apply (f.nodes[0]->load, f.nodes[0]->options.node, f.nodes[0]->boot_id, &item,
                     NOW_US);
    }
  run_turn (&f);
  start (&f, 1);
  for (int i = 0; i < TURNS && n < ENDPOINTS * ITEMS; i++)
    {
      run_turn (&f);
      n = 0;
      for (uint64_t endpoint = 1; endpoint <= ENDPOINTS; endpoint++)
        n += wl_load_sum (f.nodes[1]->load, endpoint, NOW_US).n_items;
    }
  ck_assert_uint_eq (n, ENDPOINTS * ITEMS);
  teardown (&f);
}
END_TEST

/* Guards against load reports that mesh nodes pass on between failure domains for ever, growing. */
START_TEST (a_forwarded_load_report_is_not_passed_on_between_domains)
{
  Fixture f;
  WlWorkItem item = { .endpoint = 7, .id = 1, .phase = WL_WORK_DECODING };
  WlLoadReport report = { .boot = 5, .items = &item, .n_items = 1, .node = 99 };
  WlMessage m = { .kind = WL_MESSAGE_LOAD_REPORTS,
                  .u.load_reports = { .reports = &report, .n_reports = 1 } };
  uint32_t n_sent_back = 0;
  setup (&f);
  for (uint32_t i = 0; i < 2; i++)
    f.nodes[i] = wl_test_start_node (i, f.ports, i == 0 ? "z" : "y");
  for (int i = 0; i < TURNS && count_discovered (f.nodes[0]) == 0; i++)
    run_turn (&f);
  ck_assert_uint_eq (count_discovered (f.nodes[0]), 1);
  wl_host_gossip_receive (f.nodes[0], f.nodes[1]->options.node, &m, NOW_US);
  wl_clock_set (NOW_US + WL_HOST_INBOUND_DELAY_US);
  for (int i = 0; i < PASSED_ON_TURNS; i++)
    {
      run_turn (&f);
      n_sent_back += f.nodes[1]->inbound_reports.n_reports;
    }
  ck_assert_uint_eq (n_sent_back, 0);
  teardown (&f);
}
END_TEST

static uint64_t
sent_bytes (const Fixture *f)
{
  uint64_t n = 0;
  for (uint32_t i = 0; i < NODES; i++)
    n += wl_peers_traffic (f->nodes[i]->peers).sent_bytes;
  return n;
}

/* Each node takes the one before it for a node of another domain, as views may differ in a start.
 */
static void
set_views_of_a_ring (Fixture *f)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      WlView *view = f->nodes[i]->membership->view;
      uint32_t before = f->nodes[(i + NODES - 1) % NODES]->options.node;
      view->is_large = 1;
      view->large_reported_us = NOW_US;
      strcpy (wl_roster_find (f->nodes[i]->roster, before)->status.domain, "y");
    }
}

static void
run_without_waiting (Fixture *f)
{
  for (int i = 0; i < TURNS; i++)
    for (int k = 0; k < NODES; k++)
      {
        set_views_of_a_ring (f);
        f->nodes[k]->next_tick_us = NOW_US;
        wl_host_run_once (f->nodes[k]);
      }
}

/* Guards against reports that are passed on in a circle without end when views differ. */
START_TEST (a_report_on_parts_or_limits_is_passed_on_once)
{
  const WlMessage reports[]
      = { { .kind = WL_MESSAGE_PART_REPORT }, { .kind = WL_MESSAGE_LIMIT_REPORT } };
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i);
  for (int i = 0; i < TURNS && !have_all_discovered (&f); i++)
    run_turn (&f);
  ck_assert_int_eq (have_all_discovered (&f), 1);
  set_views_of_a_ring (&f);
  for (int k = 0; k < 2; k++)
    {
      uint64_t at_first = sent_bytes (&f);
      wl_host_gossip_receive (f.nodes[0], f.nodes[NODES - 1]->options.node, &reports[k], NOW_US);
      run_without_waiting (&f);
      uint64_t before = sent_bytes (&f);
      ck_assert_uint_gt (before, at_first);
      run_without_waiting (&f);
      ck_assert_uint_eq (sent_bytes (&f), before);
    }
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (nodes_with_one_seed_discover_each_other_before_the_next_tick),
    WL_TEST (a_seed_that_starts_later_discovers_the_node_at_the_next_tick),
    WL_TEST (a_new_node_receives_a_full_load_report),
    WL_TEST (a_node_with_much_work_sends_full_load_reports),
    WL_TEST (a_forwarded_load_report_is_not_passed_on_between_domains),
    WL_TEST (a_report_on_parts_or_limits_is_passed_on_once),
  };
  if (sodium_init () < 0)
    return 1;
  apr_initialize ();
  return wl_test_run ("host_gossip", tests, sizeof tests / sizeof tests[0]);
}
