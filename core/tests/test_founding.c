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
  RUNS = 20,
  FOUNDED_US = 5000000,  /* the group is founded and confirms changes by then */
  PRESENT_US = 300000,   /* with all seeds present */
  LATE_US = 10000000,    /* a seed starts so late */
  REPLACED_US = 4000000, /* a started replica is a voter by then */
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

/* Guards against a usual start that waits for seeds that are all there. */
START_TEST (three_seeds_found_the_group_at_once)
{
  for (uint64_t run = 0; run < RUNS; run++)
    {
      config_sim_create (run + 1);
      for (uint32_t i = 1; i <= SEEDS; i++)
        start_seed (i);
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

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (two_seeds_of_three_found_the_group),
    WL_TEST (three_seeds_found_the_group_at_once),
    WL_TEST (a_late_seed_joins_the_group),
    WL_TEST (one_seed_of_three_founds_no_group),
    WL_TEST (a_seed_that_is_lost_while_it_founds_does_not_block_the_others),
    WL_TEST (an_emptied_disk_founds_no_second_group),
    WL_TEST (one_group_is_founded_under_crashes_losses_and_cuts),
  };
  apr_initialize ();
  return wl_test_run ("founding", tests, sizeof tests / sizeof tests[0]);
}
