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

/* How a services text travels between nodes, on a clock that stands still but where a test moves
 * it. */

enum
{
  NODES_MAX = 24, /* above what a mesh takes: relays pass changes on */
  DOMAINS = 3,
  TURNS = 200,           /* of every node's loop; the bound only ends a test that has failed */
  TURN_US = 100000,      /* every tick is due at every turn, so that no loop waits */
  MEETING_US = 3000000,  /* for all nodes to know each other */
  IN_FORCE_US = 1000000, /* from a commit to the last node */
  CHANGES = 20,
  CHANGE_GAP_US = 100000, /* ten changes a second */
  CHANGE_BYTES = 4096,    /* that a node sends on average for one change */
  NOW_US = 50000000,
  TICK_US = 100000,
  PART_SIZE = 40,
  LARGE_SIZE = 300000,
  MISSED_BYTES = 32768, /* a tenth of the text: the changes missed, statuses and introductions */
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

/* The text of a number: its number in front, and another part changed with each number. */
static WlBytes
make_config (Fixture *f, uint64_t number)
{
  char *text = apr_palloc (f->pool, LARGE_SIZE + PART_SIZE);
  size_t n = 0;
  for (uint64_t i = 0; n < LARGE_SIZE - PART_SIZE; i++)
    {
      uint64_t seed = i;
      uint64_t changed = i == 0 || i == number * 97 ? number : 0;
      n += (size_t)snprintf (text + n, PART_SIZE, "%016lx:%04lu;",
                             (unsigned long)wl_random_next (&seed), (unsigned long)changed);
    }
  return wl_document_pack (number, (WlBytes){ (const uint8_t *)text, (uint32_t)n }, f->pool);
}

/* A node receives the change to a number from a node that is not there any more. */
static void
receive_change (Fixture *f, uint32_t i, uint64_t number)
{
  WlMessage m = { .kind = WL_MESSAGE_TEXT_PUSH };
  WlTextPush *push = &m.u.text_push;
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

/* Guards against a node that missed a few changes being sent the whole text, while it misses the
 * next. */
START_TEST (a_node_that_missed_changes_is_told_these_and_not_the_whole_text)
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
  ck_assert_uint_le (wl_peers_traffic (f.nodes[0]->peers).sent_bytes, MISSED_BYTES);
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
 * Guards against relays that pass whole texts on, which takes longer than the
 * next change is away: ten changes a second to a text of 300 KB.
 */
START_TEST (ten_changes_a_second_reach_every_node_of_a_fleet_with_relays)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES_MAX; i++)
    start (&f, i);
  run_all (&f, MEETING_US);
  receive_change (&f, 0, 1);
  run_all (&f, MEETING_US);
  uint64_t calm = bytes_sent (&f);
  run_all (&f, CHANGES * CHANGE_GAP_US + IN_FORCE_US);
  uint64_t before = bytes_sent (&f);
  calm = before - calm;
  for (uint64_t number = 2; number < 2 + CHANGES; number++)
    {
      receive_change (&f, 0, number);
      run_all (&f, CHANGE_GAP_US);
    }
  run_all (&f, IN_FORCE_US);
  for (int i = 0; i < NODES_MAX; i++)
    {
      ck_assert_uint_eq (f.nodes[i]->config_number, 1 + CHANGES);
      ck_assert_int_eq (f.nodes[i]->is_config_pending, 0);
    }
  ck_assert_uint_le (bytes_sent (&f) - before, calm + CHANGES * NODES_MAX * CHANGE_BYTES);
  teardown (&f);
}
END_TEST

static void
on_answer (void *data, WlHostOutcome outcome, WlBytes text)
{
  (void)text;
  if (data != NULL)
    *(WlHostOutcome *)data = outcome;
}

/* Guards against "not taken" for a submission that an earlier leader may have taken. */
START_TEST (a_submission_that_was_repeated_is_not_reported_as_refused)
{
  Fixture f;
  WlHostOutcome outcome = WL_HOST_DONE;
  WlMessage m = { .kind = WL_MESSAGE_SUBMIT_REPLY };
  setup (&f);
  start (&f, 0);
  m.u.submit_reply.id = wl_host_submit (f.nodes[0], 2, make_config (&f, 2), on_answer, &outcome);
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

/* Guards against a node that keeps every text it is sent while no leader answers. */
START_TEST (a_node_takes_no_more_submissions_than_it_has_room_for)
{
  Fixture f;
  static uint8_t text[LARGE_SIZE];
  uint32_t n_taken = 0;
  setup (&f);
  start (&f, 0);
  randombytes_buf (text, sizeof text);
  for (uint64_t version = 1; version <= 2 * WL_HOST_LEADER_REQUESTS_MAX; version++)
    n_taken += wl_host_submit (f.nodes[0], version, (WlBytes){ text, sizeof text }, on_answer, NULL)
               != 0;
  ck_assert_uint_eq (n_taken, WL_HOST_SUBMISSIONS_BYTES / LARGE_SIZE);
  for (uint64_t version = 1; version <= 2 * WL_HOST_LEADER_REQUESTS_MAX; version++)
    n_taken += wl_host_read (f.nodes[0], on_answer, NULL) != 0;
  ck_assert_uint_eq (n_taken, WL_HOST_LEADER_REQUESTS_MAX);
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_node_that_missed_changes_is_told_these_and_not_the_whole_text),
    WL_TEST (ten_changes_a_second_reach_every_node_of_a_fleet_with_relays),
    WL_TEST (a_submission_that_was_repeated_is_not_reported_as_refused),
    WL_TEST (a_node_takes_no_more_submissions_than_it_has_room_for),
  };
  if (sodium_init () < 0)
    return 1;
  signal (SIGPIPE, SIG_IGN); /* as the daemon does: a peer may close first */
  apr_initialize ();
  return wl_test_run ("host_text", tests, sizeof tests / sizeof tests[0]);
}
