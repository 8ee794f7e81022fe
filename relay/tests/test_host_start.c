#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_test.h"
#include "wl_test_host.h"

/*
 * Nodes of two failure domains that start together, in a fleet that is no mesh. The clock is
 * advanced by steps.
 */

enum
{
  NODES = 6, /* the even ones in one failure domain, the odd ones in the other */
  TURNS = 20,
  STEP_US = 100000,
  SOON_US = 1500000, /* well before the next full load reports, after 2.5 s */
  WORK = 7,          /* key of an endpoint */
};

static const uint64_t now_start_us = 50000000;

typedef struct
{
  uint16_t ports[2];
  uint64_t now_us;
  WlHost *nodes[NODES];
} Fixture;

static void
step (Fixture *f)
{
  f->now_us += STEP_US;
  wl_clock_set (f->now_us);
  for (int t = 0; t < TURNS; t++)
    for (int i = 0; i < NODES; i++)
      {
        f->nodes[i]->membership->view->is_large = 1;
        f->nodes[i]->membership->view->large_reported_us = f->now_us;
        f->nodes[i]->next_tick_us = f->now_us; /* does not wait */
        wl_host_run_once (f->nodes[i]);
      }
}

static void
setup (Fixture *f)
{
  memset (f, 0, sizeof *f);
  f->now_us = now_start_us;
  wl_clock_set (f->now_us);
  wl_test_free_ports (f->ports, 2);
  for (uint32_t i = 0; i < NODES; i++)
    f->nodes[i] = wl_test_start_node (i, f->ports, i % 2 == 0 ? "z" : "y");
}

static void
teardown (Fixture *f)
{
  for (int i = 0; i < NODES; i++)
    wl_host_destroy (f->nodes[i]);
  wl_clock_set (0);
}

static uint32_t
count_work (const Fixture *f)
{
  uint32_t n = 0;
  for (int i = 0; i < NODES; i++)
    n += wl_load_sum (f->nodes[i]->load, WORK, f->now_us).n_items;
  return n;
}

static uint32_t
count_partial (const Fixture *f)
{
  uint32_t n = 0;
  for (int i = 0; i < NODES; i++)
    n += f->nodes[i]->load_coverage.is_partial;
  return n;
}

static void
run_until (Fixture *f, uint64_t after_start_us)
{
  while (f->now_us < now_start_us + after_start_us)
    step (f);
}

START_TEST (nodes_that_start_together_know_the_load_of_all)
{
  static Fixture f;
  WlWorkItem item = { .endpoint = WORK, .id = 1, .phase = WL_WORK_DECODING, .kv_tokens = 100 };
  setup (&f);
  const WlHost *busy = f.nodes[NODES - 1];
  wl_load_apply (busy->load, busy->options.node, busy->boot_id, &item, f.now_us);
  ck_assert_uint_eq (count_partial (&f), NODES);
  run_until (&f, SOON_US);
  ck_assert_uint_eq (count_work (&f), NODES);
  ck_assert_uint_eq (count_partial (&f), 0);
  for (int i = 0; i < NODES; i++)
    ck_assert_uint_le (f.nodes[i]->load_coverage.complete_us, now_start_us + SOON_US);
  teardown (&f);
}
END_TEST

/* Guards against a node that does not see the work of other failure domains for up to 2.5 s. */
START_TEST (a_node_that_starts_asks_for_the_load_of_other_domains)
{
  const uint32_t restarted[] = { 0, NODES - 2 }; /* the relay of its domain, and another node */
  for (int k = 0; k < 2; k++)
    {
      static Fixture f;
      WlWorkItem item = { .endpoint = WORK, .id = 1, .phase = WL_WORK_DECODING, .kv_tokens = 100 };
      setup (&f);
      const WlHost *busy = f.nodes[NODES - 1];
      wl_load_apply (busy->load, busy->options.node, busy->boot_id, &item, f.now_us);
      run_until (&f, WL_HOST_FULL_REPORT_US + 3 * STEP_US); /* all have just sent full reports */
      uint32_t i = restarted[k];
      wl_host_destroy (f.nodes[i]);
      f.nodes[i] = wl_test_start_node (i, f.ports, "z");
      uint64_t started_us = f.now_us;
      run_until (&f, WL_HOST_FULL_REPORT_US + 3 * STEP_US + SOON_US);
      ck_assert_uint_eq (wl_load_sum (f.nodes[i]->load, WORK, f.now_us).n_items, 1);
      ck_assert_uint_eq (f.nodes[i]->load_coverage.is_partial, 0);
      ck_assert_uint_le (f.nodes[i]->load_coverage.complete_us, started_us + SOON_US);
      teardown (&f);
    }
}
END_TEST

/* The answer to a node that asks must not bring back work that has ended since. */
START_TEST (an_answer_does_not_overtake_reports_that_wait)
{
  static Fixture f;
  WlWorkItem item = { .endpoint = WORK, .id = 1, .phase = WL_WORK_DECODING, .kv_tokens = 100 };
  setup (&f);
  run_until (&f, SOON_US);
  WlHost *relay = f.nodes[0];
  const WlHost *busy = f.nodes[1];
  WlLoadReport begins
      = { .boot = busy->boot_id, .items = &item, .n_items = 1, .node = busy->options.node };
  WlMessage m = { .kind = WL_MESSAGE_LOAD_REPORTS,
                  .u.load_reports = { .reports = &begins, .n_reports = 1 } };
  WlWorkItem ended = item;
  ended.phase = WL_WORK_ENDED;
  wl_host_gossip_receive (relay, busy->options.node, &m, f.now_us);
  begins.items = &ended;
  wl_host_gossip_receive (relay, busy->options.node, &m, f.now_us);
  ck_assert_uint_gt (relay->inbound_reports.n_reports, 0);
  wl_host_answer_load (relay, f.nodes[2]->options.node, f.now_us);
  ck_assert_uint_eq (relay->inbound_reports.n_reports, 0);
  step (&f);
  ck_assert_uint_eq (count_work (&f), 0);
  teardown (&f);
}
END_TEST

/*
 * Guards against a departure that counts for less than registrations: the node that receives it
 * knows the endpoint only from its file.
 */
START_TEST (the_departure_of_a_restored_endpoint_reaches_nodes_with_its_registration)
{
  static Fixture f;
  WlEndpointRecord e = { .address = 1, .port = 1, .slots = 4, .started_ms = 1, .sequence = 5 };
  strcpy (e.id, "e0");
  strcpy (e.service, "s");
  strcpy (e.domain, "z");
  setup (&f);
  run_until (&f, SOON_US);
  for (int i = 1; i < NODES; i++)
    wl_membership_apply_record (f.nodes[i]->membership, &e, f.now_us);
  wl_membership_restore (f.nodes[0]->membership, &e, 1, f.now_us);
  wl_host_unregister (f.nodes[0], "e0", 0);
  for (int i = 0; i < 3; i++)
    step (&f);
  for (int i = 0; i < NODES; i++)
    ck_assert (!wl_fleet_is_usable (wl_fleet_find (f.nodes[i]->fleet, "e0"), f.now_us));
  teardown (&f);
}
END_TEST

static uint64_t
gauge (WlHost *host, const char *name)
{
  WlBuffer text = { 0 };
  static const uint8_t zero = 0;
  wl_host_write_metrics (host, &text);
  wl_buffer_append (&text, (WlBytes){ &zero, 1 });
  const char *line = strstr ((const char *)wl_buffer_bytes (&text).data, name);
  ck_assert_ptr_nonnull (line);
  uint64_t value = strtoull (line + strlen (name), NULL, 10);
  wl_buffer_clear (&text);
  return value;
}

START_TEST (the_times_of_a_start_are_in_the_metrics)
{
  static Fixture f;
  setup (&f);
  ck_assert_uint_eq (gauge (f.nodes[1], "start_ready_ms "), 0);
  ck_assert_uint_eq (gauge (f.nodes[1], "load_partial "), 1);
  step (&f);
  wl_relay_set_routes (f.nodes[1]->relay, wl_routes_create ());
  step (&f);
  WlEndpointRecord e = { .address = 1, .port = 1, .slots = 4, .started_ms = 1 };
  strcpy (e.id, "e0");
  strcpy (e.service, "s");
  strcpy (e.domain, "z");
  wl_fleet_apply (f.nodes[1]->fleet, &e, f.now_us);
  step (&f);
  ck_assert_uint_eq (gauge (f.nodes[1], "start_config_ms "), 2 * STEP_US / 1000);
  ck_assert_uint_eq (gauge (f.nodes[1], "start_endpoint_ms "), 3 * STEP_US / 1000);
  ck_assert_uint_eq (gauge (f.nodes[1], "start_ready_ms "), 3 * STEP_US / 1000);
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (nodes_that_start_together_know_the_load_of_all),
    WL_TEST (a_node_that_starts_asks_for_the_load_of_other_domains),
    WL_TEST (an_answer_does_not_overtake_reports_that_wait),
    WL_TEST (the_departure_of_a_restored_endpoint_reaches_nodes_with_its_registration),
    WL_TEST (the_times_of_a_start_are_in_the_metrics),
  };
  if (sodium_init () < 0)
    return 1;
  apr_initialize ();
  return wl_test_run ("host_start", tests, sizeof tests / sizeof tests[0]);
}
