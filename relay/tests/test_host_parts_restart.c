#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <sodium.h>
#include <sys/resource.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_test.h"
#include "wl_test_host.h"

/*
 * Restarts of all nodes, some of which have a disk, while a part of prompts ends engines. The clock
 * is advanced by steps; disks are written in real time.
 */

enum
{
  NODES = 4,
  DISKS = 2,  /* the first nodes; the others learn from them */
  TURNS = 20, /* of every node's loop in each step: enough for what it sends to arrive */
  POLL_US = 1000,
  POLLS
  = 20000, /* until a file must have been written; the limit only ends a test that has failed */
  FILE_MAX_BYTES = 65536,
  CHECKSUM_BYTES = 8, /* in front of a file, see wl_disk_save () */
  STEP_US = 200000,
  PART = 0x5c,
  SERVICE = 7,
  CUSTOMER = 9,
};

static const uint64_t now_start_us = 50000000;

typedef struct
{
  char folder[64];
  uint16_t ports[2]; /* for other nodes, for callers */
  uint64_t now_us;
  int is_first_start;
  WlHost *nodes[NODES];
} Fixture;

static void
start (Fixture *f, uint32_t i)
{
  WlHostOptions options = {
    .node = wl_test_loopback (i + 1),
    .key = "key",
    .peer_port = f->ports[0],
    .client_port = f->ports[1],
    .seeds = { wl_test_loopback (1), wl_test_loopback (2) },
    .n_seeds = DISKS,
    .is_first_start = (uint8_t)f->is_first_start,
    .domain = "z",
    .parse = wl_test_parse_any,
  };
  if (i < DISKS)
    snprintf (options.data_folder, sizeof options.data_folder, "%s/%u", f->folder, i);
  ck_assert_int_eq (wl_host_create (&options, &f->nodes[i]), WL_OK);
  wl_relay_set_routes (f->nodes[i]->relay, wl_routes_create ());
}

static void
run_turns (Fixture *f)
{
  for (int turn = 0; turn < TURNS; turn++)
    for (int i = 0; i < NODES; i++)
      if (f->nodes[i] != NULL)
        {
          f->nodes[i]->next_tick_us = f->now_us; /* does not wait: the clock stands still */
          wl_host_run_once (f->nodes[i]);
        }
}

static void
advance (Fixture *f, uint64_t us)
{
  for (uint64_t until_us = f->now_us + us; f->now_us < until_us;)
    {
      f->now_us += STEP_US;
      wl_clock_set (f->now_us);
      run_turns (f);
    }
}

static void
start_all (Fixture *f)
{
  for (uint32_t i = 0; i < NODES; i++)
    start (f, i);
  f->is_first_start = 0;
  advance (f, 2 * STEP_US);
}

static void
setup (Fixture *f)
{
  memset (f, 0, sizeof *f);
  strcpy (f->folder, "/tmp/wl-parts-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (f->folder));
  f->now_us = now_start_us;
  f->is_first_start = 1;
  wl_clock_set (f->now_us);
  wl_test_free_ports (f->ports, 2);
  start_all (f);
}

static void
kill_node (Fixture *f, uint32_t i)
{
  wl_host_destroy (f->nodes[i]);
  f->nodes[i] = NULL;
}

/* Whether the file of a node lists so many quarantined parts and ends. */
static int
has_saved (const Fixture *f, uint32_t i, uint32_t n_quarantined, uint32_t n_ends)
{
  static uint8_t file[FILE_MAX_BYTES];
  char path[128];
  WlMessage m;
  apr_pool_t *pool;
  snprintf (path, sizeof path, "%s/%u/parts", f->folder, i);
  FILE *in = fopen (path, "rb");
  if (in == NULL)
    return 0;
  size_t size = fread (file, 1, sizeof file, in);
  fclose (in);
  if (size <= CHECKSUM_BYTES)
    return 0;
  apr_pool_create (&pool, NULL);
  WlBytes bytes = { file + CHECKSUM_BYTES, (uint32_t)(size - CHECKSUM_BYTES) };
  int is_saved = wl_message_decode (bytes, &m, pool) == WL_OK
                 && m.u.part_report.n_quarantined == n_quarantined
                 && m.u.part_report.n_ends == n_ends;
  apr_pool_destroy (pool);
  return is_saved;
}

/* Waits until the disks of the running nodes have been written, which is in real time. */
static void
wait_saved (const Fixture *f, uint32_t n_quarantined, uint32_t n_ends)
{
  for (uint32_t i = 0; i < DISKS; i++)
    {
      int n = 0;
      while (f->nodes[i] != NULL && !has_saved (f, i, n_quarantined, n_ends) && ++n < POLLS)
        usleep (POLL_US);
      ck_assert_int_lt (n, POLLS);
    }
}

/* All processes end at once. */
static void
kill_all (Fixture *f)
{
  for (uint32_t i = 0; i < NODES; i++)
    kill_node (f, i);
}

static void
run_shell (const char *command, const char *folder, uint32_t i)
{
  char line[256];
  snprintf (line, sizeof line, command, folder, i);
  ck_assert_int_eq (system (line), 0);
}

static void
teardown (Fixture *f)
{
  for (uint32_t i = 0; i < NODES; i++)
    kill_node (f, i);
  run_shell ("rm -rf %s", f->folder, 0);
  wl_clock_set (0);
}

static WlQuarantine *
quarantine_of (const Fixture *f, uint32_t i)
{
  return wl_relay_quarantine (f->nodes[i]->relay);
}

static uint32_t
n_knowing (const Fixture *f)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < NODES; i++)
    n += f->nodes[i] != NULL && wl_quarantine_n_entries (quarantine_of (f, i)) == 1;
  return n;
}

static const WlPromptParts parts = { .ids = { PART }, .n = 1 };

static WlPartUse
use_of (uint64_t customer)
{
  return (WlPartUse){ .service = SERVICE, .route = 1, .customer = customer, .parts = &parts };
}

/* An endpoint ends at a node under a request with PART. */
static void
end_endpoint (Fixture *f, uint32_t node, uint64_t endpoint)
{
  WlPartUse use = use_of (CUSTOMER);
  wl_quarantine_note_end (quarantine_of (f, node), endpoint, &use, f->now_us);
  advance (f, STEP_US);
}

static void
quarantine_at_all (Fixture *f)
{
  for (uint32_t i = 0; i < 3; i++)
    end_endpoint (f, 1 + i, 11 + i);
  ck_assert_uint_eq (n_knowing (f), NODES);
  advance (f, STEP_US);
}

static void
quarantine_and_save (Fixture *f)
{
  quarantine_at_all (f);
  wait_saved (f, 1, 3);
}

/* Guards against a part that was found and crashes engines again after a kill of all processes. */
START_TEST (a_quarantined_part_is_known_after_each_kill_of_all_nodes)
{
  Fixture f;
  setup (&f);
  quarantine_and_save (&f);
  for (int i = 0; i < 3; i++)
    {
      kill_all (&f);
      start_all (&f);
      ck_assert_uint_eq (n_knowing (&f), NODES);
      wait_saved (&f, 1, 3);
    }
  for (uint32_t i = 0; i < NODES; i++)
    {
      WlPartUse use = use_of (CUSTOMER);
      WlPartUse other = use_of (CUSTOMER + 1);
      ck_assert_int_eq (wl_quarantine_check (quarantine_of (&f, i), &use, 0, f.now_us).verdict,
                        WL_QUARANTINE_REFUSE);
      ck_assert_int_eq (wl_quarantine_check (quarantine_of (&f, i), &other, 0, f.now_us).verdict,
                        WL_QUARANTINE_ADMIT);
    }
  teardown (&f);
}
END_TEST

/*
 * Guards against a part that is never found since a kill of all comes after every other end, and
 * against nodes without a disk that do not count the ends before it.
 */
START_TEST (ends_count_across_kills_of_all_nodes)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < 2; i++)
    {
      end_endpoint (&f, 3, 11 + i);
      advance (&f, STEP_US);
      wait_saved (&f, 0, i + 1);
      kill_all (&f);
      start_all (&f);
    }
  ck_assert_uint_eq (n_knowing (&f), 0);
  end_endpoint (&f, 3, 13);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

/* Guards against a node whose file is torn or lost, and that ends or refuses to start by it. */
START_TEST (one_readable_file_is_enough)
{
  Fixture f;
  setup (&f);
  quarantine_and_save (&f);
  kill_all (&f);
  run_shell ("truncate -s 40 %s/%u/parts", f.folder, 0);
  start_all (&f);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  advance (&f, STEP_US);
  wait_saved (&f, 1, 3);
  kill_all (&f);
  run_shell ("rm -rf %s/%u", f.folder, 1);
  start_all (&f);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

START_TEST (nodes_start_without_a_readable_file)
{
  Fixture f;
  setup (&f);
  quarantine_and_save (&f);
  kill_all (&f);
  for (uint32_t i = 0; i < DISKS; i++)
    run_shell ("printf 12345678garbage > %s/%u/parts", f.folder, i);
  start_all (&f);
  ck_assert_uint_eq (n_knowing (&f), 0);
  quarantine_and_save (&f);
  kill_all (&f);
  start_all (&f);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

/* Guards against a verdict that is not saved any more since the disk was full when it was found. */
START_TEST (a_part_found_while_the_disks_are_full_is_saved_later)
{
  Fixture f;
  struct rlimit limit;
  setup (&f);
  ck_assert_int_eq (getrlimit (RLIMIT_FSIZE, &limit), 0);
  rlim_t room = limit.rlim_cur;
  signal (SIGXFSZ, SIG_IGN);
  limit.rlim_cur = 0;
  ck_assert_int_eq (setrlimit (RLIMIT_FSIZE, &limit), 0);
  quarantine_at_all (&f);
  usleep (100 * POLL_US); /* for the write to fail */
  limit.rlim_cur = room;
  ck_assert_int_eq (setrlimit (RLIMIT_FSIZE, &limit), 0);
  advance (&f, WL_HOST_RESAVE_PARTS_US + STEP_US);
  wait_saved (&f, 1, 3);
  kill_all (&f);
  start_all (&f);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

/*
 * Guards against a node that was away while the part was found to be sound, and whose file brings
 * the verdict back for all.
 */
START_TEST (a_node_that_was_away_lets_a_released_part_go)
{
  Fixture f;
  WlPartUse use = use_of (CUSTOMER);
  setup (&f);
  quarantine_and_save (&f);
  kill_node (&f, 0);
  wl_quarantine_note_sound (quarantine_of (&f, 2), &use, f.now_us);
  advance (&f, 2 * WL_QUARANTINE_SOUND_FOR_US);
  ck_assert_uint_eq (n_knowing (&f), 0);
  start (&f, 0);
  ck_assert_uint_eq (n_knowing (&f), 1);
  advance (&f, WL_HOST_FULL_REPORT_US + STEP_US);
  ck_assert_uint_eq (n_knowing (&f), 0);
  wait_saved (&f, 0, 0);
  kill_all (&f);
  start_all (&f);
  ck_assert_uint_eq (n_knowing (&f), 0);
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_quarantined_part_is_known_after_each_kill_of_all_nodes),
    WL_TEST (ends_count_across_kills_of_all_nodes),
    WL_TEST (one_readable_file_is_enough),
    WL_TEST (nodes_start_without_a_readable_file),
    WL_TEST (a_part_found_while_the_disks_are_full_is_saved_later),
    WL_TEST (a_node_that_was_away_lets_a_released_part_go),
  };
  if (sodium_init () < 0)
    return 1;
  apr_initialize ();
  return wl_test_run ("host_parts_restart", tests, sizeof tests / sizeof tests[0]);
}
