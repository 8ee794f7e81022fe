#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_delta.h"
#include "wl_host_internal.h"
#include "wl_random.h"
#include "wl_test.h"
#include "wl_test_host.h"

/* Distribution of the configuration between nodes. Only the tests advance the clock. */

enum
{
  NODES_MAX = 24, /* too many for a mesh, so relays forward changes */
  DOMAINS = 3,
  TURNS = 200,            /* of every node's loop; the limit only ends a test that has failed */
  TURN_US = 100000,       /* of the clock per turn: every tick is due, so no loop waits */
  DISCOVERY_US = 3000000, /* for all nodes to discover each other */
  APPLY_US = 1000000,     /* from a commit until all nodes have applied it */
  CHANGES = 20,
  CHANGE_INTERVAL_US = 100000, /* ten changes a second */
  CHANGE_MAX_BYTES = 4096,     /* limit of the mean traffic of a node for one change */
  NOW_US = 50000000,
  TICK_US = 100000,
  PART_BYTES = 40,
  CONFIG_BYTES = 300000,
  MISSED_MAX_BYTES = 32768, /* a tenth of the configuration: missed changes and gossip */
};

typedef struct
{
  uint16_t ports[2]; /* for other nodes, for callers */
  WlHost *nodes[NODES_MAX];
  apr_pool_t *pool;
} Fixture;

static void
setup (Fixture *f)
{
  memset (f, 0, sizeof *f);
  wl_clock_set (NOW_US);
  wl_test_free_ports (f->ports, 2);
  apr_pool_create (&f->pool, NULL);
}

static const char *const domains[DOMAINS] = { "x", "y", "z" };

static void
start (Fixture *f, uint32_t i)
{
  f->nodes[i] = wl_test_start_node (i, f->ports, domains[i % DOMAINS]);
}

static void
teardown (Fixture *f)
{
  for (int i = 0; i < NODES_MAX; i++)
    wl_host_destroy (f->nodes[i]);
  apr_pool_destroy (f->pool);
  wl_clock_set (0);
}

/* Makes configuration @number: the first part and a varying one contain it. */
static WlBytes
make_config (Fixture *f, uint64_t number)
{
  char *text = apr_palloc (f->pool, CONFIG_BYTES + PART_BYTES);
  size_t n = 0;
  for (uint64_t i = 0; n < CONFIG_BYTES - PART_BYTES; i++)
    {
      uint64_t seed = i;
      uint64_t changed = i == 0 || i == number * 97 ? number : 0;
      n += (size_t)snprintf (text + n, PART_BYTES, "%016lx:%04lu;",
                             (unsigned long)wl_random_next (&seed), (unsigned long)changed);
    }
  return wl_config_add_version (number, (WlBytes){ (const uint8_t *)text, (uint32_t)n }, f->pool);
}

/* Node @i receives the change to configuration @number, from a node that does not run. */
static void
receive_change (Fixture *f, uint32_t i, uint64_t number)
{
  WlMessage m = { .kind = WL_MESSAGE_CONFIG_PUSH };
  WlConfigPush *push = &m.u.config_push;
  WlBytes old_config = number > 1 ? make_config (f, number - 1) : (WlBytes){ NULL, 0 };
  push->number = number;
  wl_delta_make (old_config, make_config (f, number), f->pool, &push->change);
  push->change.number = number;
  push->change.replaces = number - 1;
  ck_assert_int_eq (
      wl_host_config_receive (f->nodes[i], wl_test_loopback (9), &m, wl_clock_now_us ()), 1);
  ck_assert_uint_eq (f->nodes[i]->config_number, number);
}

static void
run_until_number (Fixture *f, uint32_t i, uint64_t number)
{
  for (int turn = 0; turn < TURNS && f->nodes[i]->config_number < number; turn++)
    {
      for (int k = 0; k < NODES_MAX; k++)
        if (f->nodes[k] != NULL)
          wl_host_run_once (f->nodes[k]);
      if (turn % 20 == 19)
        wl_clock_set (wl_clock_now_us () + TICK_US);
    }
  ck_assert_uint_eq (f->nodes[i]->config_number, number);
}

/*
 * Guards against a node that missed a few changes being sent the full
 * configuration, during which it misses the next changes.
 */
START_TEST (a_node_that_missed_changes_is_sent_these_and_not_the_full_configuration)
{
  Fixture f;
  setup (&f);
  start (&f, 0);
  start (&f, 1);
  for (uint64_t number = 1; number <= 8; number++)
    {
      receive_change (&f, 0, number);
      if (number <= 5)
        receive_change (&f, 1, number);
    }
  run_until_number (&f, 1, 8);
  ck_assert_uint_le (wl_peers_traffic (f.nodes[0]->peers).sent_bytes, MISSED_MAX_BYTES);
  ck_assert_uint_eq (f.nodes[1]->config.size, f.nodes[0]->config.size);
  ck_assert_int_eq (
      memcmp (f.nodes[1]->config.data, f.nodes[0]->config.data, f.nodes[0]->config.size), 0);
  teardown (&f);
}
END_TEST

static void
run_all (Fixture *f, uint64_t duration_us)
{
  for (uint64_t end_us = wl_clock_now_us () + duration_us; wl_clock_now_us () < end_us;)
    {
      for (int i = 0; i < NODES_MAX; i++)
        wl_host_run_once (f->nodes[i]);
      wl_clock_set (wl_clock_now_us () + TURN_US);
    }
}

static uint64_t
bytes_sent (const Fixture *f)
{
  uint64_t bytes = 0;
  for (int i = 0; i < NODES_MAX; i++)
    bytes += wl_peers_traffic (f->nodes[i]->peers).sent_bytes;
  return bytes;
}

/*
 * Guards against relays that forward full configurations. At ten changes a
 * second to a configuration of 300 KB, that takes longer than the time to the
 * next change.
 */
START_TEST (ten_changes_a_second_reach_every_node_of_a_fleet_with_relays)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES_MAX; i++)
    start (&f, i);
  run_all (&f, DISCOVERY_US);
  receive_change (&f, 0, 1);
  run_all (&f, DISCOVERY_US);
  uint64_t idle_bytes = bytes_sent (&f);
  run_all (&f, CHANGES * CHANGE_INTERVAL_US + APPLY_US);
  uint64_t before = bytes_sent (&f);
  idle_bytes = before - idle_bytes;
  for (uint64_t number = 2; number < 2 + CHANGES; number++)
    {
      receive_change (&f, 0, number);
      run_all (&f, CHANGE_INTERVAL_US);
    }
  run_all (&f, APPLY_US);
  for (int i = 0; i < NODES_MAX; i++)
    {
      ck_assert_uint_eq (f.nodes[i]->config_number, 1 + CHANGES);
      ck_assert_int_eq (f.nodes[i]->is_config_pending, 0);
    }
  ck_assert_uint_le (bytes_sent (&f) - before, idle_bytes + CHANGES * NODES_MAX * CHANGE_MAX_BYTES);
  teardown (&f);
}
END_TEST

/* Node @i receives a document with an evacuation, or its end. */
static void
receive_evacuation (Fixture *f, uint32_t i, uint64_t number, int is_finish)
{
  WlMessage m = { .kind = WL_MESSAGE_CONFIG_PUSH };
  WlConfigDocument d = { .version = 1, .text = { (const uint8_t *)"text", 4 } };
  WlBytes old_document = { NULL, 0 };
  ck_assert_int_eq (wl_config_document_evacuate (&d, "y", 0, f->pool), 1);
  if (is_finish)
    {
      old_document = wl_config_document_encode (&d, f->pool);
      ck_assert_int_eq (wl_config_document_evacuate (&d, "y", 1, f->pool), 1);
    }
  wl_delta_make (old_document, wl_config_document_encode (&d, f->pool), f->pool,
                 &m.u.config_push.change);
  m.u.config_push.number = number;
  m.u.config_push.change.number = number;
  m.u.config_push.change.replaces = number - 1;
  wl_host_config_receive (f->nodes[i], wl_test_loopback (9), &m, wl_clock_now_us ());
}

static uint32_t
n_evacuating (const Fixture *f)
{
  uint32_t n = 0;
  for (int i = 0; i < NODES_MAX; i++)
    n += f->nodes[i]->fleet->n_evacuated;
  return n;
}

/* Guards against a node that goes on sending to an evacuated domain for seconds. */
START_TEST (an_evacuation_reaches_every_node_of_a_fleet_with_relays)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES_MAX; i++)
    start (&f, i);
  run_all (&f, DISCOVERY_US);
  receive_evacuation (&f, 5, 1, 0);
  run_all (&f, APPLY_US);
  ck_assert_uint_eq (n_evacuating (&f), NODES_MAX);
  receive_evacuation (&f, 7, 2, 1);
  run_all (&f, APPLY_US);
  ck_assert_uint_eq (n_evacuating (&f), 0);
  teardown (&f);
}
END_TEST

static void
on_answer (void *data, WlHostOutcome outcome, WlBytes config)
{
  (void)config;
  if (data != NULL)
    *(WlHostOutcome *)data = outcome;
}

/* Guards against reporting a submission as refused that an earlier leader may have accepted. */
START_TEST (a_submission_that_was_repeated_is_not_reported_as_refused)
{
  Fixture f;
  WlHostOutcome outcome = WL_HOST_DONE;
  WlMessage m = { .kind = WL_MESSAGE_SUBMIT_REPLY };
  setup (&f);
  start (&f, 0);
  m.u.submit_reply.id
      = wl_host_submit_config (f.nodes[0], 2, make_config (&f, 2), on_answer, &outcome);
  m.u.submit_reply.outcome = WL_SUBMIT_UNAVAILABLE;
  f.nodes[0]->leader_requests->n_sent = 2;
  wl_host_config_receive (f.nodes[0], wl_test_loopback (9), &m, NOW_US);
  ck_assert_int_eq (outcome, WL_HOST_DONE); /* not called */
  f.nodes[0]->leader_requests->n_sent = 1;
  wl_host_config_receive (f.nodes[0], wl_test_loopback (9), &m, NOW_US);
  ck_assert_int_eq (outcome, WL_HOST_REFUSED);
  teardown (&f);
}
END_TEST

/* Guards against unbounded memory for submissions while no leader responds. */
START_TEST (a_node_accepts_no_more_submissions_than_it_has_room_for)
{
  Fixture f;
  static uint8_t text[CONFIG_BYTES];
  uint32_t n_accepted = 0;
  setup (&f);
  start (&f, 0);
  randombytes_buf (text, sizeof text);
  for (uint64_t version = 1; version <= 2 * WL_HOST_LEADER_REQUESTS_MAX; version++)
    n_accepted += wl_host_submit_config (f.nodes[0], version, (WlBytes){ text, sizeof text },
                                         on_answer, NULL)
                  != 0;
  ck_assert_uint_eq (n_accepted, WL_HOST_SUBMISSIONS_BYTES / CONFIG_BYTES);
  for (uint64_t version = 1; version <= 2 * WL_HOST_LEADER_REQUESTS_MAX; version++)
    n_accepted += wl_host_read_config (f.nodes[0], on_answer, NULL) != 0;
  ck_assert_uint_eq (n_accepted, WL_HOST_LEADER_REQUESTS_MAX);
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_node_that_missed_changes_is_sent_these_and_not_the_full_configuration),
    WL_TEST (ten_changes_a_second_reach_every_node_of_a_fleet_with_relays),
    WL_TEST (an_evacuation_reaches_every_node_of_a_fleet_with_relays),
    WL_TEST (a_submission_that_was_repeated_is_not_reported_as_refused),
    WL_TEST (a_node_accepts_no_more_submissions_than_it_has_room_for),
  };
  if (sodium_init () < 0)
    return 1;
  signal (SIGPIPE, SIG_IGN); /* as the daemon does: a peer may close first */
  apr_initialize ();
  return wl_test_run ("host_text", tests, sizeof tests / sizeof tests[0]);
}
