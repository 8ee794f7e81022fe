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
  NODES = 2,
  TURNS = 200, /* of every node's loop; the bound only ends a test that has failed */
  NOW_US = 50000000,
  TICK_US = 100000,
  PART_SIZE = 40,
  LARGE_SIZE = 300000,
  MISSED_BYTES = 32768, /* a tenth of the text: the changes missed, statuses and introductions */
};

typedef struct
{
  uint16_t ports[2]; /* for other nodes, for callers */
  WlHost *nodes[NODES];
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

static void
start (Fixture *f, uint32_t i)
{
  f->nodes[i] = wl_test_start_node (i, f->ports);
}

static void
teardown (Fixture *f)
{
  for (int i = 0; i < NODES; i++)
    wl_host_destroy (f->nodes[i]);
  apr_pool_destroy (f->pool);
  wl_clock_set (0);
}

/* The text of a number: its number in front, and another part changed with each number. */
static WlBytes
make_text (Fixture *f, uint64_t number)
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
  WlBytes old_text = number > 1 ? make_text (f, number - 1) : (WlBytes){ NULL, 0 };
  push->number = number;
  wl_delta_make (old_text, make_text (f, number), f->pool, &push->change);
  push->change.number = number;
  push->change.replaces = number - 1;
  ck_assert_int_eq (
      wl_host_text_receive (f->nodes[i], wl_test_loopback (9), &m, wl_clock_now_us ()), 1);
  ck_assert_uint_eq (f->nodes[i]->number, number);
}

static void
run_until_number (Fixture *f, uint32_t i, uint64_t number)
{
  for (int turn = 0; turn < TURNS && f->nodes[i]->number < number; turn++)
    {
      for (int k = 0; k < NODES; k++)
        if (f->nodes[k] != NULL)
          wl_host_run_once (f->nodes[k]);
      if (turn % 20 == 19)
        wl_clock_set (wl_clock_now_us () + TICK_US);
    }
  ck_assert_uint_eq (f->nodes[i]->number, number);
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
  ck_assert_uint_eq (f.nodes[1]->text.size, f.nodes[0]->text.size);
  ck_assert_int_eq (memcmp (f.nodes[1]->text.data, f.nodes[0]->text.data, f.nodes[0]->text.size),
                    0);
  teardown (&f);
}
END_TEST

static void
on_answer (void *data, WlHostOutcome outcome, WlBytes text)
{
  (void)data;
  (void)outcome;
  (void)text;
}

/* Guards against a node that keeps every text it is sent while no leader answers. */
START_TEST (a_node_takes_no_more_submissions_than_it_has_room_for)
{
  Fixture f;
  static uint8_t text[LARGE_SIZE];
  uint32_t n_taken = 0;
  setup (&f);
  start (&f, 0);
  randombytes_buf (text, sizeof text);
  for (uint64_t version = 1; version <= 2 * WL_HOST_QUESTIONS_MAX; version++)
    n_taken += wl_host_submit (f.nodes[0], version, (WlBytes){ text, sizeof text }, on_answer, NULL)
               != 0;
  ck_assert_uint_eq (n_taken, WL_HOST_SUBMITTED_BYTES / LARGE_SIZE);
  for (uint64_t version = 1; version <= 2 * WL_HOST_QUESTIONS_MAX; version++)
    n_taken += wl_host_read (f.nodes[0], on_answer, NULL) != 0;
  ck_assert_uint_eq (n_taken, WL_HOST_QUESTIONS_MAX);
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_node_that_missed_changes_is_told_these_and_not_the_whole_text),
    WL_TEST (a_node_takes_no_more_submissions_than_it_has_room_for),
  };
  if (sodium_init () < 0)
    return 1;
  apr_initialize ();
  return wl_test_run ("host_text", tests, sizeof tests / sizeof tests[0]);
}
