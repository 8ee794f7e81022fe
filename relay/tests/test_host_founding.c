#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_log.h"
#include "wl_test.h"
#include "wl_test_host.h"

/* The first start of a fleet one of whose seeds is away. Only the tests advance the clock. */

enum
{
  NODES = 6,
  SEEDS = 3,
  DOMAINS = 3,
  TURN_US = 2 * WL_HOST_TICK_US, /* of the clock per turn */
  NOW_US = 50000000,
  AWAITED_US = 12000000, /* for two to four lines of a kind */
  ROUND_US = 100,        /* of real time */
  ROUNDS_MAX = 10000,
  CONFIRMED_US = 6000000, /* from the start of a fleet until a change is confirmed */
  JOINED_US = 4000000,    /* a late seed has the configuration by then */
  KILLED_US = 150000,     /* a seed is killed so long after its start */
};

typedef struct
{
  char folder[64];
  uint16_t ports[2]; /* for other nodes, for callers */
  WlHost *nodes[NODES];
} Fixture;

static void
setup (Fixture *f)
{
  memset (f, 0, sizeof *f);
  strcpy (f->folder, "/tmp/wl-host-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (f->folder));
  wl_clock_set (NOW_US);
  wl_test_free_ports (f->ports, 2);
}

/* Starts a node with a list of seeds, the system's first time or a later one. */
static void
start_with_seeds (Fixture *f, uint32_t i, int has_disk, int is_first_start, const uint32_t *seeds)
{
  WlHostOptions options = {
    .node = wl_test_loopback (i + 1),
    .key = "key",
    .peer_port = f->ports[0],
    .client_port = f->ports[1],
    .n_seeds = SEEDS,
    .is_first_start = (uint8_t)is_first_start,
    .tolerated_faults = 1,
    .parse = wl_test_parse_any,
  };
  for (uint32_t k = 0; k < SEEDS; k++)
    options.seeds[k] = wl_test_loopback (seeds[k] + 1);
  snprintf (options.domain, sizeof options.domain, "z%u", i % DOMAINS);
  if (has_disk)
    snprintf (options.data_folder, sizeof options.data_folder, "%s/%u", f->folder, i);
  ck_assert_int_eq (wl_host_create (&options, &f->nodes[i]), WL_OK);
}

/* Starts a node of the first start; the lowest addresses are the seeds. */
static void
start (Fixture *f, uint32_t i, int has_disk)
{
  static const uint32_t seeds[SEEDS] = { 0, 1, 2 };
  start_with_seeds (f, i, has_disk, 1, seeds);
}

static void
kill_node (Fixture *f, uint32_t i)
{
  wl_host_destroy (f->nodes[i]);
  f->nodes[i] = NULL;
}

static void
teardown (Fixture *f)
{
  char command[128];
  for (int i = 0; i < NODES; i++)
    wl_host_destroy (f->nodes[i]);
  snprintf (command, sizeof command, "rm -rf %s", f->folder);
  ck_assert_int_eq (system (command), 0);
  wl_clock_set (0);
}

static void
on_submitted (void *data, WlHostOutcome outcome, WlBytes config)
{
  (void)config;
  *(WlHostOutcome *)data = outcome;
}

static int
is_storing (const Fixture *f)
{
  for (int i = 0; i < NODES; i++)
    if (f->nodes[i] != NULL && !wl_journal_is_idle (f->nodes[i]->journal))
      return 1;
  return 0;
}

/* The clock stands while a disk is written: its thread does not know the clock of the test. */
static void
run_turn (Fixture *f)
{
  wl_clock_set (wl_clock_now_us () + TURN_US);
  for (int round = 0; round == 0 || (is_storing (f) && round < ROUNDS_MAX); round++)
    {
      if (round > 0)
        usleep (ROUND_US);
      for (int i = 0; i < NODES; i++)
        if (f->nodes[i] != NULL)
          {
            f->nodes[i]->next_tick_us = wl_clock_now_us (); /* so that no loop waits */
            wl_host_run_once (f->nodes[i]);
          }
    }
}

static void
run (Fixture *f, uint64_t duration_us)
{
  for (uint64_t end_us = wl_clock_now_us () + duration_us; wl_clock_now_us () < end_us;)
    run_turn (f);
}

/* Submits at the highest running node, as an operator who repeats it. */
static int
is_confirmed (Fixture *f, uint64_t version, uint64_t limit_us)
{
  static WlHostOutcome outcome;
  for (uint64_t end_us = wl_clock_now_us () + limit_us; wl_clock_now_us () < end_us;)
    {
      outcome = (WlHostOutcome)-1;
      wl_host_submit_config (f->nodes[NODES - 1], version, (WlBytes){ (const uint8_t *)"text", 4 },
                             on_submitted, &outcome);
      while (outcome == (WlHostOutcome)-1 && wl_clock_now_us () < end_us)
        run_turn (f);
      if (outcome == WL_HOST_DONE)
        return 1;
    }
  return 0;
}

/* Guards against a fleet without a configuration because one of its seeds never starts. */
START_TEST (a_change_is_confirmed_without_one_of_the_seeds)
{
  for (uint32_t absent = 0; absent < SEEDS; absent++)
    {
      Fixture f;
      setup (&f);
      for (uint32_t i = 0; i < NODES; i++)
        if (i != absent)
          start (&f, i, i < 4);
      ck_assert_msg (is_confirmed (&f, 1, CONFIRMED_US), "not confirmed without seed %u", absent);
      teardown (&f);
    }
}
END_TEST

/* Guards against a seed that comes late and does not get the configuration, or founds another
 * group. */
START_TEST (a_late_seed_gets_the_configuration)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 1; i < NODES; i++)
    start (&f, i, i < 4);
  ck_assert (is_confirmed (&f, 1, CONFIRMED_US));
  start (&f, 0, 1);
  run (&f, JOINED_US);
  ck_assert_uint_eq (f.nodes[0]->config_number, 1);
  ck_assert_uint_eq (wl_host_leader (f.nodes[0], wl_clock_now_us ()),
                     wl_host_leader (f.nodes[NODES - 1], wl_clock_now_us ()));
  ck_assert (is_confirmed (&f, 2, CONFIRMED_US));
  teardown (&f);
}
END_TEST

/* Guards against a seed without a disk that counts against the majority. */
START_TEST (seeds_without_a_disk_found_nothing_and_block_nothing)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, i == 1 || i > 3);
  ck_assert (is_confirmed (&f, 1, CONFIRMED_US));
  teardown (&f);
}
END_TEST

/* Guards against a second group: a seed that is cut off is told of other seeds before the founding.
 */
START_TEST (a_reload_of_the_seeds_changes_no_founders)
{
  Fixture f;
  setup (&f);
  start (&f, 1, 1);
  run (&f, JOINED_US);
  wl_host_set_seeds (f.nodes[1], &f.nodes[1]->options.node, 1);
  run (&f, CONFIRMED_US);
  ck_assert_uint_eq (wl_host_leader (f.nodes[1], wl_clock_now_us ()), 0);
  teardown (&f);
}
END_TEST

static void
on_read (void *data, WlHostOutcome outcome, WlBytes config)
{
  int *is_read = data;
  *is_read = outcome == WL_HOST_DONE && config.size == 4 && memcmp (config.data, "text", 4) == 0;
}

/*
 * Guards against a second group, under which a confirmed change is read back as empty: a seed whose
 * disk has no log restarts with a list of itself and two nodes without a disk.
 */
START_TEST (a_seed_that_restarts_with_other_seeds_founds_no_second_group)
{
  static const uint32_t later[SEEDS] = { 2, 4, 5 };
  static int is_read;
  Fixture f;
  setup (&f);
  start (&f, 2, 1);
  run (&f, KILLED_US);
  kill_node (&f, 2);
  for (uint32_t i = 0; i < NODES; i++)
    if (i != 2 && i != 3)
      start (&f, i, i < 2);
  ck_assert (is_confirmed (&f, 7, CONFIRMED_US));
  for (uint32_t i = 0; i < NODES; i++)
    kill_node (&f, i);
  for (uint32_t i = 2; i < NODES; i++)
    if (i != 3)
      start_with_seeds (&f, i, i == 2, 0, later);
  run (&f, JOINED_US);
  ck_assert_msg (wl_host_leader (f.nodes[2], wl_clock_now_us ()) == 0, "a second group is founded");
  start_with_seeds (&f, 0, 1, 0, later);
  run (&f, JOINED_US);
  is_read = 0;
  wl_host_read_config (f.nodes[5], on_read, &is_read);
  run (&f, JOINED_US);
  ck_assert_msg (is_read, "the confirmed change is not read back");
  ck_assert (is_confirmed (&f, 8, CONFIRMED_US));
  teardown (&f);
}
END_TEST

/* Guards against a fleet without a configuration because its seeds restart, before the founding,
 * with a list that does not name them. */
START_TEST (seeds_that_restart_with_a_list_without_them_found_the_group)
{
  static const uint32_t later[SEEDS] = { 3, 4, 5 };
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < SEEDS; i++)
    {
      start (&f, i, 1);
      run (&f, KILLED_US);
      kill_node (&f, i);
    }
  for (uint32_t i = 0; i < NODES; i++)
    start_with_seeds (&f, i, i < SEEDS, i >= SEEDS, later);
  ck_assert_msg (is_confirmed (&f, 1, CONFIRMED_US), "nobody founds the group");
  teardown (&f);
}
END_TEST

/* Guards against a group that is founded by a seed which does not know the seeds of its first
 * start. */
START_TEST (a_seed_without_the_list_of_its_first_start_founds_nothing)
{
  static const uint32_t later[SEEDS] = { 0, 0, 0 };
  Fixture f;
  char path[96];
  setup (&f);
  start (&f, 0, 1);
  run (&f, KILLED_US);
  kill_node (&f, 0);
  snprintf (path, sizeof path, "%s/0/founders", f.folder);
  (void)unlink (path);
  for (int is_first_start = 0; is_first_start < 2; is_first_start++)
    {
      start_with_seeds (&f, 0, 1, is_first_start, later);
      run (&f, JOINED_US);
      ck_assert_msg (wl_host_leader (f.nodes[0], wl_clock_now_us ()) == 0, "a group is founded");
      kill_node (&f, 0);
    }
  teardown (&f);
}
END_TEST

/* Standard output goes to a file, which receives the log; returns the former one. */
static int
open_log (const char *path)
{
  int saved_stdout = fcntl (STDOUT_FILENO, F_DUPFD_CLOEXEC, 0);
  int file = open (path, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
  ck_assert_int_eq (dup2 (file, STDOUT_FILENO), STDOUT_FILENO);
  close (file);
  wl_log_open (1);
  return saved_stdout;
}

static void
close_log (int saved_stdout)
{
  wl_log_close (WL_LOG_CLOSE_MS);
  ck_assert_int_eq (dup2 (saved_stdout, STDOUT_FILENO), STDOUT_FILENO);
  close (saved_stdout);
}

/* Lines of the log, which is closed, with a text. */
static int
count_lines (const char *path, const char *text)
{
  char line[1024];
  int n = 0;
  FILE *file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file) != NULL)
    n += strstr (line, text) != NULL;
  fclose (file);
  return n;
}

/* Guards against a fleet without a configuration whose logs do not say what it waits for. */
START_TEST (a_node_without_a_configuration_names_the_seeds_that_it_waits_for)
{
  Fixture f;
  char path[96];
  char text[64];
  setup (&f);
  snprintf (path, sizeof path, "%s/log", f.folder);
  int saved_stdout = open_log (path);
  start (&f, 1, 1);
  run (&f, AWAITED_US);
  close_log (saved_stdout);
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      snprintf (text, sizeof text, "WL2112 reason=seed_unheard seed=%u ", wl_test_loopback (seed));
      int n = count_lines (path, text);
      ck_assert_int_ge (n, seed == 2 ? 0 : 2);
      ck_assert_int_le (n, seed == 2 ? 0 : 4);
    }
  teardown (&f);
}
END_TEST

/* Guards against a log that names the seeds of today when those of the first start are awaited. */
START_TEST (a_restarted_seed_names_the_first_seeds_that_it_waits_for)
{
  static const uint32_t later[SEEDS] = { 2, 2, 2 };
  Fixture f;
  char path[96];
  char text[80];
  setup (&f);
  snprintf (path, sizeof path, "%s/log", f.folder);
  start (&f, 2, 1);
  run (&f, KILLED_US);
  kill_node (&f, 2);
  int saved_stdout = open_log (path);
  start_with_seeds (&f, 2, 1, 0, later);
  run (&f, AWAITED_US);
  kill_node (&f, 2);
  close_log (saved_stdout);
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      snprintf (text, sizeof text, "WL2112 reason=first_seed_unheard seed=%u ",
                wl_test_loopback (seed));
      int n = count_lines (path, text);
      ck_assert_int_ge (n, seed == SEEDS ? 0 : 2);
      ck_assert_int_le (n, seed == SEEDS ? 0 : 4);
    }
  teardown (&f);
}
END_TEST

/* Guards against changes that are not confirmed for want of disks, without a line that says so. */
START_TEST (a_leader_without_enough_disks_says_so)
{
  Fixture f;
  char path[96];
  setup (&f);
  snprintf (path, sizeof path, "%s/log", f.folder);
  int saved_stdout = open_log (path);
  for (uint32_t i = 0; i < SEEDS; i++)
    start (&f, i, i == 0);
  run (&f, AWAITED_US);
  close_log (saved_stdout);
  int n = count_lines (path, "WL2112 reason=too_few_disks disks=1 needed=2 ");
  ck_assert_int_ge (n, 2);
  ck_assert_int_le (n, 4);
  teardown (&f);
}
END_TEST

/* Guards against a fleet that has lost its control leader for good, without a line that says so. */
START_TEST (a_node_with_a_configuration_says_that_it_knows_no_leader)
{
  Fixture f;
  char path[96];
  setup (&f);
  snprintf (path, sizeof path, "%s/log", f.folder);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, i < SEEDS);
  ck_assert_int_eq (is_confirmed (&f, 1, CONFIRMED_US), 1);
  kill_node (&f, 0);
  kill_node (&f, 1);
  int saved_stdout = open_log (path);
  run (&f, AWAITED_US);
  close_log (saved_stdout);
  ck_assert_int_ge (count_lines (path, "WL2112 reason=no_control_leader waited_ms="), NODES - 2);
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_change_is_confirmed_without_one_of_the_seeds),
    WL_TEST (a_late_seed_gets_the_configuration),
    WL_TEST (seeds_without_a_disk_found_nothing_and_block_nothing),
    WL_TEST (a_reload_of_the_seeds_changes_no_founders),
    WL_TEST (a_seed_that_restarts_with_other_seeds_founds_no_second_group),
    WL_TEST (seeds_that_restart_with_a_list_without_them_found_the_group),
    WL_TEST (a_seed_without_the_list_of_its_first_start_founds_nothing),
    WL_TEST (a_restarted_seed_names_the_first_seeds_that_it_waits_for),
    WL_TEST (a_node_without_a_configuration_names_the_seeds_that_it_waits_for),
    WL_TEST (a_leader_without_enough_disks_says_so),
    WL_TEST (a_node_with_a_configuration_says_that_it_knows_no_leader),
  };
  apr_initialize ();
  if (sodium_init () < 0)
    return 1;
  return wl_test_run ("host founding", tests, sizeof tests / sizeof tests[0]);
}
