#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_config_sim.h"
#include "wl_random.h"
#include "wl_test.h"

/*
 * Replicas whose disks are full for a few seconds each, one after another and never two at once.
 * Guards against changes that are refused or stay unanswered long after the last disk has room
 * again (gate Acks, rule CONFIG), while all processes run.
 */

enum
{
  ACKNOWLEDGE_US = 4000000, /* ack_ms of the sites */
  READ_US = 4000000,
  SEEDS = 20,
  ROUNDS = 8, /* full disks in a run */
  CHANGES_AFTER = 6,
  REPEAT_US = 300000,    /* operators and nodes repeat a request without an answer */
  CONFIG_BYTES = 600000, /* after seven such changes a snapshot is due */
  LARGE_SEEDS = 2,
  SETTLE_US = 2000000, /* for a group to be bootstrapped */
};

/* Kinds of operations for which a full disk has no room; a sync may be what finds out. */
static const uint32_t full_kinds[] = {
  0,
  MEMORY_APPEND,
  MEMORY_APPEND | MEMORY_SYNC,
  MEMORY_SYNC,
  MEMORY_APPEND | MEMORY_RENAME | MEMORY_SYNC_FOLDER,
  MEMORY_SYNC_FOLDER,
  MEMORY_RENAME,
};

/** struct Change - a change in progress, which an operator repeats at any node */
typedef struct
{
  uint64_t version;
  const char *config;
  uint64_t begun_us;
  uint64_t sent_us;
  uint64_t ids[64];
  uint32_t n_ids;
} Change;

static uint32_t n_replicas;
static uint32_t n_retries; /* writes that found no room, in the runs so far */

static uint64_t
random_between (uint64_t min, uint64_t max)
{
  return min + wl_random_next (&config_sim.random) % (max - min);
}

static void
begin_group (uint64_t seed, uint32_t replicas, uint32_t tolerated_faults)
{
  config_sim_create (seed);
  n_replicas = replicas;
  config_sim.tolerated_faults = tolerated_faults;
  for (uint32_t i = 1; i <= replicas; i++)
    config_sim_start (i, config_sim_initial, replicas);
  config_sim_run (SETTLE_US);
}

static void
fill_disk (uint32_t node, uint32_t kinds)
{
  MemoryFolder *folder = &config_sim.nodes[node].folder;
  folder->fail_with = WL_ERROR_NO_SPACE;
  folder->fail_kinds = kinds;
  folder->fail_at = folder->operations + 1;
}

static void
free_disk (uint32_t node)
{
  config_sim.nodes[node].folder.fail_at = 0;
}

/* ---- an operator ---- */

static Change
begin_change (uint64_t version, const char *config)
{
  return (Change){ .version = version, .config = config, .begun_us = config_sim.now_us };
}

/* Sends the change to the leader that some node knows, whose disk may be full. */
static void
send_change (Change *c)
{
  uint32_t node = (uint32_t)random_between (1, n_replicas + 1);
  uint32_t to = wl_config_store_leader (config_sim.nodes[node].store);
  c->sent_us = config_sim.now_us;
  if (to == 0)
    return;
  ck_assert_uint_lt (c->n_ids, sizeof c->ids / sizeof *c->ids);
  c->ids[c->n_ids++] = config_sim_send (node, to, WL_MESSAGE_SUBMIT, c->version, c->config);
}

static int
is_acknowledged (const Change *c)
{
  for (uint32_t i = 0; i < c->n_ids; i++)
    if (config_sim_answer (c->ids[i]) != NULL
        && config_sim_answer (c->ids[i])->outcome == WL_SUBMIT_ACCEPTED)
      return 1;
  return 0;
}

/* Runs until the change is acknowledged, or @until_us. */
static int
wait_for_change (Change *c, uint64_t until_us)
{
  while (config_sim.now_us < until_us)
    {
      if (c->sent_us == 0 || config_sim.now_us >= c->sent_us + REPEAT_US)
        send_change (c);
      config_sim_run (CONFIG_SIM_STEP_US);
      if (is_acknowledged (c))
        return 1;
    }
  return 0;
}

static const char *
config_text (uint64_t version, size_t size)
{
  static char text[CONFIG_BYTES + 1];
  memset (text, 'a' + (int)(version % 26), size);
  text[size] = '\0';
  for (size_t i = 0; i + 20 < size; i += 40)
    {
      uint64_t seed = version * 1000003 + i;
      int n = snprintf (text + i, 18, "%016lx", (unsigned long)wl_random_next (&seed));
      text[i + (size_t)n] = ' ';
    }
  return text;
}

static void
check_change (uint64_t version, const char *config, uint64_t seed, const char *when)
{
  Change c = begin_change (version, config);
  ck_assert_msg (wait_for_change (&c, config_sim.now_us + ACKNOWLEDGE_US),
                 "seed %lu, %s: change %lu is not acknowledged; leader %u", (unsigned long)seed,
                 when, (unsigned long)version, config_sim_leader ());
}

static void
check_read (uint64_t version, uint64_t seed)
{
  const ConfigSimAnswer *a = config_sim_request (WL_MESSAGE_QUERY, 0, NULL, READ_US);
  ck_assert_msg (a != NULL && a->version == version, "seed %lu: read back %lu in place of %lu",
                 (unsigned long)seed, a != NULL ? (unsigned long)a->version : 0,
                 (unsigned long)version);
}

/* Whether what was acknowledged is on the disks: all replicas lose power. */
static void
check_restart (uint64_t version, uint64_t seed)
{
  for (uint32_t i = 1; i <= n_replicas; i++)
    {
      n_retries += config_sim.nodes[i].n_retries;
      config_sim_crash (i);
    }
  for (uint32_t i = 1; i <= n_replicas; i++)
    config_sim_start (i, config_sim_initial, n_replicas);
  check_read (version, seed);
}

/* ---- cases ---- */

/**
 * struct Case - how the disks fill
 * @config_bytes: size of the configurations
 * @is_leader_first: the first disk to fill is the leader's, as it is sent a change
 * @min_us: shortest time for which a disk is full
 * @max_us: longest
 * @gap_us: longest time between two disks
 */
typedef struct
{
  uint32_t n_replicas;
  uint32_t tolerated_faults;
  size_t config_bytes;
  int is_leader_first;
  uint64_t min_us;
  uint64_t max_us;
  uint64_t gap_us;
} Case;

static void
fill_in_turn (const Case *what, uint64_t seed)
{
  uint64_t version = 1;
  uint32_t node = 0;
  begin_group (seed, what->n_replicas, what->tolerated_faults);
  check_change (version, config_text (version, what->config_bytes), seed, "before");
  for (int round = 0; round < ROUNDS; round++)
    {
      uint32_t kinds = full_kinds[random_between (0, sizeof full_kinds / sizeof *full_kinds)];
      uint32_t leader = config_sim_leader ();
      node = what->is_leader_first && leader != 0 ? leader : node % n_replicas + 1;
      version++;
      Change c = begin_change (version, config_text (version, what->config_bytes));
      send_change (&c);
      config_sim_run (random_between (0, 4) * CONFIG_SIM_STEP_US);
      fill_disk (node, kinds);
      uint64_t free_us = config_sim.now_us + random_between (what->min_us, what->max_us);
      wait_for_change (&c, free_us);
      if (config_sim.now_us < free_us)
        config_sim_run (free_us - config_sim.now_us);
      free_disk (node);
      ck_assert_msg (is_acknowledged (&c)
                         || wait_for_change (&c, config_sim.now_us + ACKNOWLEDGE_US),
                     "seed %lu, round %d, disk of %u full (%x): change %lu is not acknowledged",
                     (unsigned long)seed, round, node, kinds, (unsigned long)version);
      if (what->gap_us > 0)
        config_sim_run (random_between (0, what->gap_us));
    }
  for (int i = 0; i < CHANGES_AFTER; i++)
    {
      version++;
      check_change (version, config_text (version, what->config_bytes), seed, "after");
      config_sim_run (random_between (0, 3000000));
    }
  check_read (version, seed);
  check_restart (version, seed);
  config_sim_destroy ();
}

static void
fill_with_seeds (const Case *what, uint64_t n_seeds)
{
  for (uint64_t seed = 1; seed <= n_seeds; seed++)
    fill_in_turn (what, seed);
  ck_assert_uint_gt (n_retries, n_seeds * ROUNDS);
  n_retries = 0;
}

START_TEST (three_replicas_whose_disks_are_full_in_turn_take_changes)
{
  static const Case cases[] = {
    { 3, 1, 400, 0, 500000, 6000000, 0 },
    { 3, 1, 400, 0, 2000000, 5000000, 3000000 },
    { 3, 1, 400, 1, 500000, 6000000, 0 },
    { 3, 1, 400, 1, 100000, 1500000, 500000 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    fill_with_seeds (&cases[i], SEEDS);
}
END_TEST

START_TEST (five_replicas_whose_disks_are_full_in_turn_take_changes)
{
  static const Case cases[] = {
    { 5, 2, 400, 0, 500000, 6000000, 0 },
    { 5, 2, 400, 1, 500000, 6000000, 0 },
    { 5, 2, 400, 1, 100000, 1500000, 500000 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    fill_with_seeds (&cases[i], SEEDS);
}
END_TEST

/* Three voters: one whose disk is full is replaced by one of the two that follow. */
START_TEST (voters_whose_disks_are_full_in_turn_are_replaced)
{
  static const Case cases[] = {
    { 5, 1, 400, 0, 500000, 6000000, 0 },
    { 5, 1, 400, 1, 500000, 6000000, 0 },
    { 4, 1, 400, 1, 1000000, 3000000, 0 },
    { 4, 1, 400, 0, 1000000, 3000000, 2000000 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    fill_with_seeds (&cases[i], SEEDS);
}
END_TEST

/* Guards against a log that cannot be compacted: the snapshot that is due has no room. */
START_TEST (a_snapshot_that_is_due_on_a_full_disk_is_taken_later)
{
  static const Case cases[] = {
    { 3, 1, CONFIG_BYTES, 0, 500000, 4000000, 0 },
    { 3, 1, CONFIG_BYTES, 1, 500000, 4000000, 0 },
    { 5, 2, CONFIG_BYTES, 1, 500000, 4000000, 500000 },
    { 5, 1, CONFIG_BYTES, 0, 500000, 4000000, 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    fill_with_seeds (&cases[i], LARGE_SEEDS);
}
END_TEST

/*
 * The leader is cut off while the disk of another replica is full, so that one without room takes
 * part in the election. With three replicas this leaves no quorum for a while.
 */
static void
elect_with_full_disk (uint32_t replicas, uint32_t tolerated_faults, uint64_t seed)
{
  uint64_t version = 1;
  begin_group (seed, replicas, tolerated_faults);
  check_change (version, config_text (version, 400), seed, "before");
  for (int round = 0; round < ROUNDS; round++)
    {
      uint32_t leader = config_sim_leader ();
      ck_assert_uint_ne (leader, 0);
      uint32_t full = leader % n_replicas + 1;
      fill_disk (full, full_kinds[random_between (0, sizeof full_kinds / sizeof *full_kinds)]);
      config_sim_run (random_between (0, 1000000));
      config_sim.nodes[leader].is_isolated = 1;
      version++;
      Change c = begin_change (version, config_text (version, 400));
      wait_for_change (&c, config_sim.now_us + random_between (500000, 4000000));
      free_disk (full);
      config_sim.nodes[leader].is_isolated = 0;
      check_change (++version, "after the election", seed, "after an election");
      config_sim_run (random_between (0, 1000000));
    }
  check_read (version, seed);
  check_restart (version, seed);
  config_sim_destroy ();
}

START_TEST (an_election_with_a_full_disk_ends)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      elect_with_full_disk (3, 1, seed);
      elect_with_full_disk (5, 2, seed);
      elect_with_full_disk (5, 1, seed);
    }
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (three_replicas_whose_disks_are_full_in_turn_take_changes),
    WL_TEST (five_replicas_whose_disks_are_full_in_turn_take_changes),
    WL_TEST (voters_whose_disks_are_full_in_turn_are_replaced),
    WL_TEST (a_snapshot_that_is_due_on_a_full_disk_is_taken_later),
    WL_TEST (an_election_with_a_full_disk_ends),
  };
  apr_initialize ();
  return wl_test_run ("config_disk", tests, sizeof tests / sizeof tests[0]);
}
