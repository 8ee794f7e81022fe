#include <stdio.h>
#include <apr_general.h>
#include "wl_config_sim.h"
#include "wl_random.h"
#include "wl_test.h"

/*
 * The first start of the control group from three seeds, some of which are absent, late, killed
 * or lose their disks.
 */

enum
{
  SEEDS = 3,
  FIVE = 5,
  SIX = 6,
  RUNS = 20,
  FOUNDED_US = 5000000,  /* the group is founded and confirms changes by then */
  ELECTED_US = 100000,   /* a group is founded by then with all seeds present */
  PRESENT_US = 300000,   /* with all seeds present */
  LATE_US = 10000000,    /* a seed starts so late */
  REPLACED_US = 4000000, /* a started replica is a voter by then */
  SPREAD_US = 300000,    /* all replicas of a start begin within */
  FORMED_US = 2000000,   /* six replicas confirm a change by then */
  FEWER_US = 4000000,    /* three of five do */
  REPEATED_US = 700000,  /* for a request that is sent again once */
  MANY_RUNS = 150,
  TROUBLE_STEPS = 12,
  TROUBLE_STEP_US = 600000,
};

static void
start_seed (uint32_t seed)
{
  config_sim_start (seed, config_sim_initial, SEEDS);
}

static void
assert_submitted_within (uint64_t version, const char *config, uint64_t limit_us)
{
  const ConfigSimAnswer *a = config_sim_request (WL_MESSAGE_SUBMIT, version, config, limit_us);
  ck_assert_msg (a != NULL, "version %lu is not confirmed in %lu ms", (unsigned long)version,
                 (unsigned long)(limit_us / 1000));
  ck_assert_uint_eq (a->outcome, WL_SUBMIT_ACCEPTED);
}

/* Guards against a fleet that waits for ever for a seed that never starts. */
START_TEST (two_seeds_of_three_found_the_group)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      uint32_t absent = (uint32_t)(run % SEEDS) + 1;
      config_sim_create (run + 1);
      for (uint32_t i = 1; i <= SEEDS; i++)
        if (i != absent)
          start_seed (i);
      assert_submitted_within (1, "one", FOUNDED_US);
      config_sim_assert_config (1, "one");
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against a majority that is counted of three: two of five must not found a group. */
START_TEST (three_seeds_of_five_found_the_group_and_two_do_not)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      uint32_t first = (uint32_t)(run % FIVE);
      config_sim_create (run + 1);
      config_sim_start (first + 1, config_sim_initial, FIVE);
      config_sim_start ((first + 2) % FIVE + 1, config_sim_initial, FIVE);
      config_sim_run (FOUNDED_US);
      ck_assert_uint_eq (config_sim_leader (), 0);
      config_sim_start ((first + 3) % FIVE + 1, config_sim_initial, FIVE);
      assert_submitted_within (1, "one", FOUNDED_US);
      config_sim_run (REPLACED_US);
      config_sim_start ((first + 1) % FIVE + 1, config_sim_initial, FIVE);
      config_sim_start ((first + 4) % FIVE + 1, config_sim_initial, FIVE);
      config_sim_run (REPLACED_US);
      config_sim_wipe (first + 1);
      config_sim_assert_config (1, "one");
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against a usual start that waits for seeds that are all there. */
START_TEST (three_seeds_found_the_group_at_once)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      config_sim_create (run + 1);
      for (uint32_t i = 1; i <= SEEDS; i++)
        start_seed (i);
      config_sim_run (ELECTED_US);
      ck_assert_uint_ne (config_sim_leader (), 0);
      assert_submitted_within (1, "one", PRESENT_US);
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against a late seed that founds a second group, or stays outside the first. */
START_TEST (a_late_seed_joins_the_group)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      uint32_t late = (uint32_t)(run % SEEDS) + 1;
      config_sim_create (run + 1);
      for (uint32_t i = 1; i <= SEEDS; i++)
        if (i != late)
          start_seed (i);
      config_sim_run (LATE_US);
      assert_submitted_within (1, "one", PRESENT_US);
      start_seed (late);
      config_sim_run (REPLACED_US);
      /* It holds what was confirmed, and counts as a voter. */
      config_sim_wipe (late % SEEDS + 1);
      config_sim_assert_config (1, "one");
      assert_submitted_within (2, "two", FOUNDED_US);
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against one seed that founds a group alone, beside the one of the two others. */
START_TEST (one_seed_of_three_founds_no_group)
{
  for (uint32_t alone = 1; alone <= SEEDS; alone++)
    {
      config_sim_create (alone);
      start_seed (alone);
      config_sim_run (LATE_US);
      ck_assert_uint_eq (config_sim_leader (), 0);
      config_sim_destroy ();
    }
}
END_TEST

/*
 * Guards against a group that is never founded because the seed that was about to found it is
 * lost with its disk at that moment.
 */
START_TEST (a_seed_that_is_lost_while_it_founds_does_not_block_the_others)
{
  for (uint64_t run = 0; run < MANY_RUNS; run++)
    {
      config_sim_create (run + 1);
      uint32_t late = (uint32_t)(run % SEEDS) + 1;
      for (uint32_t i = 1; i <= SEEDS; i++)
        if (i != late)
          start_seed (i);
      uint64_t until_us = config_sim.now_us + FOUNDED_US;
      while (config_sim_leader () == 0 && config_sim.now_us < until_us)
        config_sim_run (CONFIG_SIM_STEP_US);
      uint32_t founder = config_sim_leader ();
      ck_assert_uint_ne (founder, 0);
      config_sim_run (wl_random_next (&config_sim.random) % 30000);
      config_sim_wipe (founder);
      start_seed (late);
      assert_submitted_within (1, "one", 2 * FOUNDED_US);
      config_sim_assert_config (1, "one");
      config_sim_destroy ();
    }
}
END_TEST

/*
 * Guards against an empty system that stands in for one whose disks are away: a seed that was
 * absent at the founding meets one whose disk was emptied after it.
 */
START_TEST (an_emptied_disk_founds_no_second_group)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      uint32_t late = (uint32_t)(run % SEEDS) + 1;
      uint32_t emptied = late % SEEDS + 1;
      uint32_t kept = emptied % SEEDS + 1;
      config_sim_create (run + 1);
      start_seed (emptied);
      start_seed (kept);
      assert_submitted_within (1, "one", FOUNDED_US);
      config_sim_crash (kept);
      config_sim_wipe (emptied);
      config_sim_start (emptied, NULL, 0);
      start_seed (late);
      ck_assert_ptr_null (config_sim_request (WL_MESSAGE_SUBMIT, 2, "two", LATE_US));
      start_seed (kept);
      config_sim_run (REPLACED_US);
      config_sim_assert_config (1, "one");
      config_sim_destroy ();
    }
}
END_TEST

/*
 * Guards against two groups: seeds that start late, are killed and cut off in any order while
 * messages are lost. What was confirmed under one leader is read back under every later one.
 */
START_TEST (one_group_is_founded_under_crashes_losses_and_cuts)
{
  for (uint64_t run = 0; run < MANY_RUNS; run++)
    {
      uint64_t version = 0;
      char config[32] = "";
      config_sim_create (run + 1);
      config_sim.loss_percent = 10;
      for (int step = 0; step < TROUBLE_STEPS; step++)
        {
          ConfigSimNode *n = &config_sim.nodes[wl_random_next (&config_sim.random) % SEEDS + 1];
          uint32_t id = (uint32_t)(n - config_sim.nodes);
          switch (wl_random_next (&config_sim.random) % 3)
            {
            case 0:
              config_sim_crash (id);
              break;
            case 1:
              n->is_isolated = !n->is_isolated;
              break;
            default:
              if (!n->is_up)
                start_seed (id);
            }
          config_sim_run (wl_random_next (&config_sim.random) % TROUBLE_STEP_US);
          uint64_t next = (uint64_t)step + 1;
          char text[32];
          snprintf (text, sizeof text, "text %lu", (unsigned long)next);
          if (config_sim_request (WL_MESSAGE_SUBMIT, next, text, TROUBLE_STEP_US) != NULL)
            {
              version = next;
              snprintf (config, sizeof config, "%s", text);
            }
        }
      config_sim.loss_percent = 0;
      for (uint32_t i = 1; i <= SEEDS; i++)
        {
          config_sim.nodes[i].is_isolated = 0;
          if (!config_sim.nodes[i].is_up)
            start_seed (i);
        }
      config_sim_run (FOUNDED_US);
      const ConfigSimAnswer *a = config_sim_request (WL_MESSAGE_QUERY, 0, NULL, 2 * FOUNDED_US);
      ck_assert_ptr_nonnull (a);
      ck_assert_uint_ge (a->version, version);
      if (a->version == version)
        ck_assert_str_eq (a->config, config);
      config_sim_destroy ();
    }
}
END_TEST

static void
start_replica (uint32_t node)
{
  if (node <= SEEDS)
    start_seed (node);
  else
    config_sim_start (node, NULL, 0);
}

/*
 * Starts replicas of a group of five within SPREAD_US, the seeds first, and submits a change all
 * the time; returns once it is confirmed.
 */
static void
start_and_submit (uint32_t n_replicas, uint64_t limit_us)
{
  uint32_t n_started = 0;
  uint64_t next_us = 0;
  uint64_t until_us = config_sim.now_us + limit_us;
  config_sim.tolerated_faults = 2;
  while (config_sim.n_answers == 0 && config_sim.now_us < until_us)
    {
      if (n_started < n_replicas && config_sim.now_us >= next_us)
        {
          start_replica (++n_started);
          next_us = config_sim.now_us + wl_random_next (&config_sim.random) % (SPREAD_US / SIX);
        }
      if (config_sim_leader () != 0)
        config_sim_send (config_sim_leader (), config_sim_leader (), WL_MESSAGE_SUBMIT, 1, "one");
      config_sim_run (CONFIG_SIM_STEP_US);
    }
  ck_assert_msg (config_sim.n_answers > 0, "not confirmed in %lu ms",
                 (unsigned long)(limit_us / 1000));
}

/*
 * Guards against a change that is confirmed by two of three voters while the others start, so
 * that it and the group are lost with the two disks that may be lost.
 */
START_TEST (a_change_awaits_all_voters_while_their_disks_start)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      config_sim_create (run + 1);
      start_and_submit (SIX, FORMED_US);
      uint32_t leader = config_sim_leader ();
      uint32_t voters[WL_MAX_REPLICAS];
      uint32_t n = wl_config_store_voters (config_sim.nodes[leader].store, voters);
      ck_assert_msg (n == FIVE, "confirmed with %u voters", n);
      /* Power is lost, and two disks with it, the leader's among them. */
      uint32_t other = leader % SEEDS + 1;
      config_sim_wipe (leader);
      config_sim_wipe (other);
      for (uint32_t i = 1; i <= SIX; i++)
        config_sim_crash (i);
      for (uint32_t i = 1; i <= SIX; i++)
        if (i == leader || i == other)
          config_sim_start (i, NULL, 0);
        else
          start_replica (i);
      config_sim_assert_config (1, "one");
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against a fleet that waits for ever for disks that it does not have, or waits for them
 * again when its leader is lost. */
START_TEST (fewer_disks_than_voters_are_awaited_once)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      config_sim_create (run + 1);
      start_and_submit (SEEDS, FEWER_US);
      config_sim_run (FEWER_US);
      config_sim_crash (config_sim_leader ());
      config_sim_run (WL_RAFT_ELECTION_MAX_US + ELECTED_US);
      while (config_sim_leader () == 0)
        config_sim_run (CONFIG_SIM_STEP_US);
      assert_submitted_within (2, "two", REPEATED_US);
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against a group with all its voters that waits when it starts again with one away. */
START_TEST (a_formed_group_awaits_no_disks_after_an_election)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      config_sim_create (run + 1);
      start_and_submit (SIX, FORMED_US);
      config_sim_run (FORMED_US);
      for (uint32_t i = 1; i <= SIX; i++)
        config_sim_crash (i);
      for (uint32_t i = 2; i <= SIX; i++)
        start_replica (i);
      while (config_sim_leader () == 0)
        config_sim_run (CONFIG_SIM_STEP_US);
      assert_submitted_within (2, "two", REPEATED_US);
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against voters that cannot reach each other among more replicas than each of them keeps.
 */
START_TEST (a_voter_has_a_place_among_many_replicas)
{
  WlRaft raft = { 0 };
  WlSettings settings = { .self.node = 1, .replica_incarnation = WL_RAFT_FIRST_START };
  int n_founders = 0;
  wl_raft_init (&raft, &settings, NULL, 0);
  for (uint32_t i = 0; i < 2 * WL_MAX_REPLICAS; i++)
    wl_raft_add_peer (&raft, 100 + i, 0);
  ck_assert_uint_eq (raft.n_peers, WL_MAX_REPLICAS);
  wl_raft_set_founders (&raft, config_sim_initial, SEEDS, 0);
  for (uint32_t i = 0; i < raft.n_peers; i++)
    n_founders += raft.peers[i].node <= SEEDS;
  ck_assert_int_eq (n_founders, SEEDS - 1);
  wl_raft_clear (&raft);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (two_seeds_of_three_found_the_group),
    WL_TEST (three_seeds_of_five_found_the_group_and_two_do_not),
    WL_TEST (three_seeds_found_the_group_at_once),
    WL_TEST (a_late_seed_joins_the_group),
    WL_TEST (one_seed_of_three_founds_no_group),
    WL_TEST (a_seed_that_is_lost_while_it_founds_does_not_block_the_others),
    WL_TEST (a_change_awaits_all_voters_while_their_disks_start),
    WL_TEST (fewer_disks_than_voters_are_awaited_once),
    WL_TEST (a_formed_group_awaits_no_disks_after_an_election),
    WL_TEST (a_voter_has_a_place_among_many_replicas),
    WL_TEST (an_emptied_disk_founds_no_second_group),
    WL_TEST (one_group_is_founded_under_crashes_losses_and_cuts),
  };
  apr_initialize ();
  return wl_test_run ("founding", tests, sizeof tests / sizeof tests[0]);
}
