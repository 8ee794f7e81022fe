#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_delta.h"
#include "wl_config_sim.h"
#include "wl_random.h"
#include "wl_test.h"

/*
 * The replicated configuration store on a simulated network that delays, loses and
 * reorders messages, with disks that lose unsynced writes in a crash.
 */

/* Guards against two groups, or none, when replicas start one by one and one of them crashes. */
START_TEST (one_group_is_bootstrapped_in_any_order_of_starts_and_crashes)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      config_sim_create (seed);
      for (uint32_t i = 0; i < 3; i++)
        {
          config_sim_start ((uint32_t)((seed + i) % 3) + 1, config_sim_initial, 3);
          config_sim_run (wl_random_next (&config_sim.random) % 300000);
        }
      uint32_t victim = (uint32_t)(wl_random_next (&config_sim.random) % 3) + 1;
      config_sim_run (wl_random_next (&config_sim.random) % 400000);
      config_sim_crash (victim);
      config_sim_run (wl_random_next (&config_sim.random) % 300000);
      config_sim_start (victim, config_sim_initial, 3);
      config_sim_submit (1, "first");
      config_sim_assert_config (1, "first");
      config_sim_destroy ();
    }
}
END_TEST

START_TEST (the_highest_version_wins_and_lower_ones_change_nothing)
{
  config_sim_create (3);
  config_sim_start_three ();
  config_sim_submit (7, "seven");
  config_sim_submit (5, "five");
  config_sim_submit (7, "other seven");
  config_sim_assert_config (7, "seven");
  config_sim_submit (9, "nine");
  config_sim_submit (9, "nine");
  config_sim_assert_config (9, "nine");
  config_sim_destroy ();
}
END_TEST

/*
 * Guards against a first configuration that is acknowledged and not stored: operators may number it
 * 0, which is also the version of a document without a configuration.
 */
START_TEST (a_first_configuration_with_version_0_is_stored)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      config_sim_create (seed);
      config_sim_start_three ();
      config_sim_submit (0, "zero");
      config_sim_submit (0, "other zero");
      config_sim_assert_config (0, "zero");
      for (uint32_t i = 1; i <= 3; i++)
        config_sim_crash (i);
      for (uint32_t i = 1; i <= 3; i++)
        config_sim_start (i, config_sim_initial, 3);
      config_sim_assert_config (0, "zero");
      uint32_t lost = (uint32_t)(seed % 3) + 1;
      config_sim_wipe (lost);
      config_sim_start (lost, NULL, 0);
      config_sim_run (3000000);
      config_sim_wipe (lost % 3 + 1);
      config_sim_assert_config (0, "zero");
      config_sim_submit (1, "one");
      config_sim_submit (0, "zero");
      config_sim_assert_config (1, "one");
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against the same when an evacuation has made the document before the configuration. */
START_TEST (version_0_is_stored_beside_an_evacuation)
{
  config_sim_create (41);
  config_sim_start_three ();
  config_sim_evacuate ("y", 0);
  config_sim_submit (0, "zero");
  config_sim_assert_config (0, "zero");
  config_sim_evacuate ("y", 1);
  config_sim_submit (0, "other zero");
  config_sim_assert_config (0, "zero");
  ck_assert_uint_eq (config_sim_evacuation ("y").sequence, 2);
  config_sim_destroy ();
}
END_TEST

/* Guards against a configuration of version 0 that replicas do not find in a snapshot. */
START_TEST (version_0_is_kept_in_snapshots)
{
  WlConfigStoreMemory memory;
  config_sim_create (42);
  config_sim_start_three ();
  config_sim_submit (0, "zero");
  for (int i = 0; i < WL_RAFT_COMPACT_ENTRIES + 100; i++)
    config_sim_evacuate ("y", i % 2);
  wl_config_store_memory (config_sim.nodes[1].store, &memory);
  ck_assert_uint_gt (memory.snapshot, 0);
  config_sim_wipe (1);
  config_sim_start (1, NULL, 0);
  config_sim_run (3000000);
  config_sim_wipe (2);
  config_sim_assert_config (0, "zero");
  config_sim_start (2, NULL, 0);
  config_sim_run (3000000);
  for (uint32_t i = 1; i <= 3; i++)
    config_sim_crash (i);
  for (uint32_t i = 1; i <= 3; i++)
    config_sim_start (i, config_sim_initial, 3);
  config_sim_assert_config (0, "zero");
  config_sim_destroy ();
}
END_TEST

/* Guards against proposals without end: an empty configuration would never count as stored. */
START_TEST (an_empty_configuration_is_not_proposed)
{
  uint64_t number;
  config_sim_create (43);
  config_sim_start_three ();
  uint32_t leader = config_sim_leader ();
  uint64_t id = config_sim_send (leader, leader, WL_MESSAGE_SUBMIT, 5, "");
  config_sim_run (WL_CONFIG_STORE_REQUEST_TIMEOUT_US + 200000);
  ck_assert_ptr_null (config_sim_answer (id));
  wl_config_store_latest (config_sim.nodes[leader].store, &number);
  ck_assert_uint_eq (number, 0);
  config_sim_submit (0, "zero");
  config_sim_assert_config (0, "zero");
  config_sim_destroy ();
}
END_TEST

/*
 * Guards against a configuration that changes under its version: two operators submit different
 * ones with the same version, and the leader crashes in between.
 */
START_TEST (of_two_configurations_with_one_version_one_is_kept)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      config_sim_create (seed);
      config_sim_start_three ();
      config_sim.loss_percent = 5;
      uint32_t to = config_sim_leader ();
      config_sim_send (to, to, WL_MESSAGE_SUBMIT, 4, "left");
      config_sim_send (to, to, WL_MESSAGE_SUBMIT, 4, "right");
      config_sim_run (wl_random_next (&config_sim.random) % 40000);
      config_sim_crash (to);
      config_sim_run (1500000);
      config_sim_start (to, config_sim_initial, 3);
      config_sim_submit (4, "third");
      const ConfigSimAnswer *a = config_sim_request (WL_MESSAGE_QUERY, 0, NULL, 10000000);
      ck_assert_ptr_nonnull (a);
      char kept[64];
      strcpy (kept, a->config);
      uint32_t other = config_sim_leader ();
      config_sim_crash (other);
      config_sim_run (1500000);
      config_sim_start (other, config_sim_initial, 3);
      config_sim_assert_config (4, kept);
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against an acknowledgement before the entry is synced on a quorum, and a slow restart. */
START_TEST (acknowledged_configurations_survive_a_power_loss_of_all_replicas)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      config_sim_create (seed);
      config_sim_start_three ();
      config_sim_submit (1, "one");
      config_sim_submit (2, "two");
      for (uint32_t i = 1; i <= 3; i++)
        config_sim_crash (i);
      for (uint32_t i = 1; i <= 3; i++)
        config_sim_start (i, config_sim_initial, 3);
      uint64_t back_us = config_sim.now_us;
      config_sim_assert_config (2, "two");
      ck_assert_uint_le (config_sim.now_us - back_us, 1500000);
      config_sim_destroy ();
    }
}
END_TEST

START_TEST (a_wiped_replica_rejoins_and_then_another_may_be_lost)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      config_sim_create (seed);
      config_sim_start_three ();
      config_sim_submit (1, "one");
      uint32_t first = (uint32_t)(seed % 3) + 1;
      config_sim_wipe (first);
      config_sim_run (200000);
      config_sim_start (first, NULL, 0);
      config_sim_run (3000000);
      uint32_t second = first % 3 + 1;
      config_sim_wipe (second);
      config_sim_assert_config (1, "one");
      config_sim_start (second, NULL, 0);
      config_sim_run (3000000);
      config_sim_submit (2, "two");
      config_sim_assert_config (2, "two");
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against a lost voter that stays a voter, so that the next loss stops the group. */
START_TEST (an_empty_replica_at_a_new_address_replaces_a_lost_one)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      config_sim_create (seed);
      config_sim_start_three ();
      config_sim_submit (1, "one");
      uint32_t lost = (uint32_t)(seed % 3) + 1;
      config_sim_wipe (lost);
      config_sim_run (1000000);
      config_sim_start (4, NULL, 0);
      config_sim_run (4000000);
      /* The new replica is a voter now, so that a quorum remains after another loss. */
      config_sim_wipe (lost % 3 + 1);
      config_sim_submit (2, "two");
      config_sim_assert_config (2, "two");
      config_sim_destroy ();
    }
}
END_TEST

/*
 * Guards against a group that stops because the places of replaced replicas are never given
 * back: one after the other is replaced by one at a new address, and the first stays.
 */
START_TEST (replicas_are_replaced_one_after_another_without_end)
{
  enum
  {
    REPLACEMENTS = 40,
    CAUGHT_UP_US = 4300000, /* a little more than the time in which a successor takes part */
    ACKNOWLEDGE_US = 4000000,
  };
  char config[32];
  config_sim_create (37);
  config_sim_start_three ();
  for (uint32_t i = 0; i < REPLACEMENTS; i++)
    {
      config_sim_start (i + 4, NULL, 0);
      config_sim_run (CAUGHT_UP_US);
      config_sim_wipe (i + 2);
      snprintf (config, sizeof config, "text %u", i + 1);
      ck_assert_msg (config_sim_request (WL_MESSAGE_SUBMIT, i + 1, config, ACKNOWLEDGE_US) != NULL,
                     "not confirmed after %u replacements", i + 1);
    }
  config_sim_assert_config (REPLACEMENTS, config);
  config_sim_destroy ();
}
END_TEST

/* Guards against answers from a leader that has been replaced without its knowledge. */
START_TEST (an_isolated_leader_answers_neither_reads_nor_submissions)
{
  config_sim_create (11);
  config_sim_start_three ();
  config_sim_submit (1, "one");
  uint32_t old = config_sim_leader ();
  config_sim.nodes[old].is_isolated = 1;
  uint64_t read = config_sim_send (old, old, WL_MESSAGE_QUERY, 0, NULL);
  uint64_t write = config_sim_send (old, old, WL_MESSAGE_SUBMIT, 8, "lost");
  config_sim_submit (2, "two");
  config_sim_run (3000000);
  ck_assert_ptr_null (config_sim_answer (read));
  ck_assert_ptr_null (config_sim_answer (write));
  config_sim.nodes[old].is_isolated = 0;
  config_sim_run (2000000);
  config_sim_assert_config (2, "two");
  config_sim_destroy ();
}
END_TEST

START_TEST (hundreds_of_changes_are_compacted_and_survive_a_wipe)
{
  char config[32];
  config_sim_create (13);
  config_sim_start_three ();
  for (uint64_t v = 1; v <= 400; v++)
    {
      snprintf (config, sizeof config, "text %lu", (unsigned long)v);
      config_sim_submit (v, config);
    }
  config_sim_wipe (1);
  config_sim_start (1, NULL, 0);
  config_sim_run (4000000);
  config_sim_wipe (2);
  config_sim_assert_config (400, "text 400");
  config_sim_destroy ();
}
END_TEST

/* ---- large configurations ---- */

enum
{
  ROUTES = 1500,
  ROUTE_BYTES = 200,
  LARGE_CONFIG_BYTES = 64 + (ROUTES + 1) * ROUTE_BYTES,
  STORM_CHANGES = 60,
  STORM_INTERVAL_US = 100000, /* ten a second */
  COMMIT_LIMIT_US = 1000000,  /* from a submission to its acknowledgement */
  CHANGE_MAX_BYTES = 4096,    /* on the wire, of one change of a few hundred bytes */
  /* The smallest VM has 160 MB: a replica may use a twentieth of it, beside requests and
     connections. */
  REPLICA_MEMORY_BYTES = 8 << 20,
};

/* A configuration that differs by version at its start, in one route and at its end. */
static const char *
large_config (uint64_t version)
{
  static char config[LARGE_CONFIG_BYTES];
  size_t n = (size_t)snprintf (config, sizeof config, "{\"version\":%lu,", (unsigned long)version);
  for (uint64_t i = 0; i <= ROUTES; i++)
    {
      uint64_t seed = i * 7919;
      uint64_t changed = i == version * 37 % ROUTES || i == ROUTES ? version : 0;
      n += (size_t)snprintf (
          config + n, sizeof config - n,
          "{\"name\":\"r-%08lx\",\"host\":\"h%016lx.example\",\"prefix\":\"/%016lx/"
          "\",\"kind\":\"streaming\",\"timeout_ms\":%lu,\"service\":\"s-%08lx\"},",
          (unsigned long)(i + changed), (unsigned long)wl_random_next (&seed),
          (unsigned long)wl_random_next (&seed), (unsigned long)(10000 + changed),
          (unsigned long)(wl_random_next (&seed) % 5));
    }
  return config;
}

/*
 * Guards against a small change that sends nearly the full configuration: the version at its start
 * and a route at its end differ, so that almost all bytes are between the first and last
 * difference.
 */
START_TEST (a_small_change_to_a_large_configuration_sends_few_bytes)
{
  config_sim_create (17);
  config_sim_start_three ();
  config_sim_submit (1, large_config (1));
  config_sim_run (1000000);
  for (uint64_t v = 2; v < 6; v++)
    {
      uint64_t heartbeats = config_sim.sent_bytes;
      config_sim_run (500000);
      heartbeats = config_sim.sent_bytes - heartbeats;
      uint64_t before = config_sim.sent_bytes;
      config_sim_submit (v, large_config (v));
      config_sim_run (500000);
      ck_assert_uint_le (config_sim.sent_bytes - before, 2 * heartbeats + 2 * CHANGE_MAX_BYTES);
    }
  config_sim_destroy ();
}
END_TEST

static uint64_t
memory_bytes (uint32_t node)
{
  WlConfigStoreMemory m;
  wl_config_store_memory (config_sim.nodes[node].store, &m);
  return m.config + m.changes + m.log + m.snapshot + m.queued;
}

/* Guards against a replica whose memory grows with every change to a large configuration. */
START_TEST (frequent_changes_to_a_large_configuration_stay_within_memory)
{
  config_sim_create (19);
  config_sim_start_three ();
  config_sim_submit (1, large_config (1));
  for (uint64_t v = 2; v <= STORM_CHANGES; v++)
    {
      config_sim_send (config_sim_leader (), config_sim_leader (), WL_MESSAGE_SUBMIT, v,
                       large_config (v));
      config_sim_run (STORM_INTERVAL_US);
      for (uint32_t i = 1; i <= 3; i++)
        ck_assert_uint_le (memory_bytes (i), REPLICA_MEMORY_BYTES);
    }
  config_sim_run (COMMIT_LIMIT_US);
  const ConfigSimAnswer *last = config_sim_answer (config_sim.next_id);
  ck_assert_ptr_nonnull (last);
  config_sim_wipe (config_sim_leader ());
  ck_assert_ptr_nonnull (config_sim_request (WL_MESSAGE_QUERY, 0, NULL, 10000000));
  config_sim_destroy ();
}
END_TEST

/* Guards against one commit for each queued submission, while higher versions wait behind them. */
START_TEST (of_queued_submissions_the_highest_version_is_committed_first)
{
  enum
  {
    SUBMISSIONS = 40,
  };
  char config[32];
  uint64_t number;
  config_sim_create (23);
  config_sim_start_three ();
  config_sim_submit (1, "one");
  uint64_t first = config_sim.next_id + 1;
  for (uint64_t v = 2; v <= SUBMISSIONS; v++)
    {
      snprintf (config, sizeof config, "text %lu", (unsigned long)v);
      config_sim_send (config_sim_leader (), config_sim_leader (), WL_MESSAGE_SUBMIT, v, config);
      config_sim_deliver_last (); /* at once and in order, as from an operator at the leader */
    }
  config_sim_run (200000);
  for (uint64_t id = first; id <= config_sim.next_id; id++)
    {
      ck_assert_ptr_nonnull (config_sim_answer (id));
      ck_assert_uint_eq (config_sim_answer (id)->outcome, WL_SUBMIT_ACCEPTED);
    }
  wl_config_store_latest (config_sim.nodes[config_sim_leader ()].store, &number);
  ck_assert_uint_lt (number, SUBMISSIONS / 4); /* most versions were never proposed */
  config_sim_assert_config (SUBMISSIONS, "text 40");
  config_sim_destroy ();
}
END_TEST

/* Guards against a leader that cannot commit and runs out of memory with queued submissions. */
START_TEST (submissions_beyond_the_queue_bound_are_refused_at_once)
{
  uint32_t n_refused = 0;
  config_sim_create (29);
  config_sim_start_three ();
  config_sim_submit (1, large_config (1));
  uint32_t node = config_sim_leader ();
  config_sim.nodes[node].is_isolated = 1;
  uint64_t first = config_sim.next_id + 1;
  for (uint64_t v = 2; v <= 40; v++)
    {
      config_sim_send (node, node, WL_MESSAGE_SUBMIT, v, large_config (v));
      config_sim_run (CONFIG_SIM_STEP_US);
      ck_assert_uint_le (memory_bytes (node), REPLICA_MEMORY_BYTES);
    }
  config_sim_run (2 * CONFIG_SIM_STEP_US);
  for (uint64_t id = first; id <= config_sim.next_id; id++)
    if (config_sim_answer (id) != NULL)
      {
        ck_assert_uint_eq (config_sim_answer (id)->outcome, WL_SUBMIT_UNAVAILABLE);
        n_refused++;
      }
  ck_assert_uint_gt (n_refused, 20);
  config_sim_destroy ();
}
END_TEST

/*
 * Guards against a submission that is reported as refused but then committed: it is
 * queued, the queue fills up, and its sender repeats it.
 */
START_TEST (a_submission_that_waits_is_not_refused_when_it_is_repeated)
{
  config_sim_create (31);
  config_sim_start_three ();
  config_sim_submit (1, large_config (1));
  uint32_t node = config_sim_leader ();
  config_sim.nodes[node].is_isolated = 1;
  uint64_t first = config_sim_send (node, node, WL_MESSAGE_SUBMIT, 2, large_config (2));
  config_sim_run (3 * CONFIG_SIM_STEP_US);
  for (uint64_t v = 3; v <= 40; v++)
    {
      config_sim_send (node, node, WL_MESSAGE_SUBMIT, v, large_config (v));
      config_sim_run (CONFIG_SIM_STEP_US);
    }
  uint64_t latest = config_sim.next_id;
  config_sim.next_id = first - 1;
  ck_assert_uint_eq (config_sim_send (node, node, WL_MESSAGE_SUBMIT, 2, large_config (2)), first);
  config_sim.next_id = latest;
  config_sim_run (3 * CONFIG_SIM_STEP_US);
  ck_assert_ptr_null (config_sim_answer (first));
  config_sim_destroy ();
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (one_group_is_bootstrapped_in_any_order_of_starts_and_crashes),
    WL_TEST (the_highest_version_wins_and_lower_ones_change_nothing),
    WL_TEST (a_first_configuration_with_version_0_is_stored),
    WL_TEST (version_0_is_stored_beside_an_evacuation),
    WL_TEST (version_0_is_kept_in_snapshots),
    WL_TEST (an_empty_configuration_is_not_proposed),
    WL_TEST (of_two_configurations_with_one_version_one_is_kept),
    WL_TEST (acknowledged_configurations_survive_a_power_loss_of_all_replicas),
    WL_TEST (a_wiped_replica_rejoins_and_then_another_may_be_lost),
    WL_TEST (an_empty_replica_at_a_new_address_replaces_a_lost_one),
    WL_TEST (replicas_are_replaced_one_after_another_without_end),
    WL_TEST (an_isolated_leader_answers_neither_reads_nor_submissions),
    WL_TEST (hundreds_of_changes_are_compacted_and_survive_a_wipe),
    WL_TEST (a_small_change_to_a_large_configuration_sends_few_bytes),
    WL_TEST (frequent_changes_to_a_large_configuration_stay_within_memory),
    WL_TEST (of_queued_submissions_the_highest_version_is_committed_first),
    WL_TEST (submissions_beyond_the_queue_bound_are_refused_at_once),
    WL_TEST (a_submission_that_waits_is_not_refused_when_it_is_repeated),
  };
  apr_initialize ();
  return wl_test_run ("document", tests, sizeof tests / sizeof tests[0]);
}
