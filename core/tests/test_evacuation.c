#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_config_sim.h"
#include "wl_random.h"
#include "wl_test.h"

/*
 * Evacuations in the replicated store, on a simulated network that delays, loses and reorders
 * messages, with disks that lose unsynced writes in a crash.
 */

static void
assert_state (const char *domain, uint64_t sequence, int is_active)
{
  WlEvacuation e = config_sim_evacuation (domain);
  ck_assert_uint_eq (e.sequence, sequence);
  ck_assert_int_eq (e.is_active, is_active);
}

START_TEST (a_start_and_a_finish_are_each_applied_once)
{
  config_sim_create (1);
  config_sim_start_three ();
  config_sim_evacuate ("b", 0);
  assert_state ("b", 1, 1);
  config_sim_evacuate ("b", 0);
  assert_state ("b", 1, 1);
  config_sim_evacuate ("b", 1);
  config_sim_evacuate ("b", 1);
  assert_state ("b", 2, 0);
  config_sim_evacuate ("c", 1); /* never started */
  assert_state ("c", 0, 0);
  config_sim_destroy ();
}
END_TEST

/* Guards against a change that is lost or applied twice when its leader is lost at any time. */
START_TEST (a_change_survives_a_leader_killed_at_each_step)
{
  for (uint64_t delay_us = 0; delay_us <= 60000; delay_us += CONFIG_SIM_STEP_US)
    for (uint64_t seed = 1; seed <= 4; seed++)
      {
        config_sim_create (seed + delay_us);
        config_sim_start_three ();
        config_sim_submit (1, "one");
        int is_finish = seed % 2 == 0;
        if (is_finish)
          config_sim_evacuate ("b", 0);
        uint64_t sequence = config_sim_evacuation ("b").sequence;
        uint32_t leader = config_sim_leader ();
        config_sim_send_evacuation (leader % 3 + 1, leader, "b", sequence, is_finish);
        config_sim_run (delay_us);
        config_sim_crash (leader);
        config_sim_repeat_evacuation ("b", sequence, is_finish);
        assert_state ("b", sequence + 1, !is_finish);
        config_sim_start (leader, config_sim_initial, 3);
        config_sim_run (2000000);
        config_sim_crash (config_sim_leader ());
        assert_state ("b", sequence + 1, !is_finish);
        config_sim_assert_config (1, "one");
        config_sim_destroy ();
      }
}
END_TEST

/*
 * Guards against a start that evacuates a domain again after its end: it was delayed, for instance
 * behind a partition, while the operator reached other nodes.
 */
START_TEST (a_copy_that_a_finish_has_overtaken_has_no_effect)
{
  config_sim_create (5);
  config_sim_start_three ();
  config_sim_evacuate ("b", 0);
  config_sim_evacuate ("b", 1);
  config_sim_repeat_evacuation ("b", 0, 0);
  assert_state ("b", 2, 0);
  config_sim_evacuate ("b", 0);
  config_sim_repeat_evacuation ("b", 1, 1); /* and a finish */
  assert_state ("b", 3, 1);
  config_sim_destroy ();
}
END_TEST

/* Guards against a copy that its leader queued before the change was overtaken. */
START_TEST (a_copy_in_the_queue_of_an_isolated_leader_has_no_effect)
{
  config_sim_create (7);
  config_sim_start_three ();
  uint32_t old = config_sim_leader ();
  config_sim.nodes[old].is_isolated = 1;
  uint64_t copy = config_sim_send_evacuation (old, old, "b", 0, 0);
  config_sim_run (20000);
  ck_assert_ptr_null (config_sim_answer (copy));
  config_sim_evacuate ("b", 0);
  config_sim_evacuate ("b", 1);
  config_sim.nodes[old].is_isolated = 0;
  config_sim_run (3000000);
  assert_state ("b", 2, 0);
  config_sim_destroy ();
}
END_TEST

START_TEST (a_repeat_after_a_lost_acknowledgement_is_acknowledged)
{
  config_sim_create (9);
  config_sim_start_three ();
  config_sim.loss_percent = 30;
  for (int i = 0; i < 10; i++)
    {
      config_sim_evacuate ("b", i % 2);
      config_sim_repeat_evacuation ("b", (uint64_t)i, i % 2);
    }
  assert_state ("b", 10, 0);
  config_sim_destroy ();
}
END_TEST

/* Guards against a sender that has read more than this group has: it must read again. */
START_TEST (a_sequence_of_the_future_is_refused)
{
  config_sim_create (11);
  config_sim_start_three ();
  uint32_t leader = config_sim_leader ();
  uint64_t id = config_sim_send_evacuation (leader, leader, "b", 4, 0);
  config_sim_run (100000);
  ck_assert_ptr_nonnull (config_sim_answer (id));
  ck_assert_uint_eq (config_sim_answer (id)->outcome, WL_SUBMIT_CONFLICT);
  assert_state ("b", 0, 0);
  config_sim_destroy ();
}
END_TEST

/* Guards against one of several changes at a time that replaces another. */
START_TEST (changes_of_two_domains_and_a_configuration_at_once_are_all_kept)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      config_sim_create (seed);
      config_sim_start_three ();
      config_sim_submit (1, "one");
      config_sim_evacuate ("c", 0);
      config_sim.loss_percent = 5;
      uint32_t leader = config_sim_leader ();
      config_sim_send_evacuation (leader, leader, "b", 0, 0);
      config_sim_send_evacuation (leader, leader, "c", 1, 1);
      config_sim_send_evacuation (leader, leader, "d", 0, 0);
      config_sim_send (leader, leader, WL_MESSAGE_SUBMIT, 2, "two");
      config_sim_run (wl_random_next (&config_sim.random) % 60000);
      if (seed % 2 == 0)
        config_sim_crash (leader);
      config_sim_submit (2, "two");
      config_sim_repeat_evacuation ("b", 0, 0);
      config_sim_repeat_evacuation ("c", 1, 1);
      config_sim_repeat_evacuation ("d", 0, 0);
      config_sim_assert_config (2, "two");
      assert_state ("b", 1, 1);
      assert_state ("c", 2, 0);
      assert_state ("d", 1, 1);
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against an evacuation that waits behind configurations, or for a place in their queue. */
START_TEST (an_evacuation_goes_before_queued_configurations)
{
  char config[32];
  config_sim_create (13);
  config_sim_start_three ();
  config_sim_submit (1, "one");
  uint32_t leader = config_sim_leader ();
  for (uint64_t v = 2; v <= 2 + 2 * WL_CONFIG_STORE_QUEUE_MAX; v++)
    {
      snprintf (config, sizeof config, "text %lu", (unsigned long)v);
      config_sim_send (leader, leader, WL_MESSAGE_SUBMIT, v, config);
      config_sim_deliver_last ();
    }
  uint64_t id = config_sim_send_evacuation (leader, leader, "b", 0, 0);
  config_sim_deliver_last ();
  config_sim_run (200000);
  ck_assert_ptr_nonnull (config_sim_answer (id));
  ck_assert_uint_eq (config_sim_answer (id)->outcome, WL_SUBMIT_ACCEPTED);
  ck_assert_uint_eq (config_sim_answer (id)->number, 3); /* after the one proposed on arrival */
  config_sim_destroy ();
}
END_TEST

START_TEST (an_evacuation_needs_no_configuration)
{
  config_sim_create (15);
  config_sim_start_three ();
  config_sim_evacuate ("b", 0);
  config_sim_assert_config (0, "");
  config_sim_submit (1, "one");
  config_sim_assert_config (1, "one");
  assert_state ("b", 1, 1);
  config_sim_destroy ();
}
END_TEST

START_TEST (acknowledged_changes_survive_a_power_loss_of_all_replicas)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      config_sim_create (seed);
      config_sim_start_three ();
      config_sim_submit (1, "one");
      config_sim_evacuate ("b", 0);
      config_sim_evacuate ("c", 0);
      config_sim_evacuate ("c", 1);
      for (uint32_t i = 1; i <= 3; i++)
        config_sim_crash (i);
      for (uint32_t i = 1; i <= 3; i++)
        config_sim_start (i, config_sim_initial, 3);
      assert_state ("b", 1, 1);
      assert_state ("c", 2, 0);
      config_sim_assert_config (1, "one");
      config_sim_destroy ();
    }
}
END_TEST

START_TEST (acknowledged_changes_survive_wiped_disks)
{
  for (uint64_t seed = 1; seed <= 10; seed++)
    {
      config_sim_create (seed);
      config_sim_start_three ();
      config_sim_evacuate ("b", 0);
      uint32_t first = (uint32_t)(seed % 3) + 1;
      config_sim_wipe (first);
      config_sim_run (200000);
      config_sim_start (first, NULL, 0);
      config_sim_run (3000000);
      config_sim_wipe (first % 3 + 1);
      assert_state ("b", 1, 1);
      config_sim_start (first % 3 + 1, NULL, 0);
      config_sim_run (3000000);
      config_sim_evacuate ("b", 1);
      assert_state ("b", 2, 0);
      config_sim_destroy ();
    }
}
END_TEST

/* Guards against a snapshot, or changes sent to a replica that is far behind, without them. */
START_TEST (changes_survive_snapshots_and_a_wipe)
{
  char config[32];
  config_sim_create (17);
  config_sim_start_three ();
  config_sim_evacuate ("b", 0);
  for (uint64_t v = 1; v <= 400; v++)
    {
      snprintf (config, sizeof config, "text %lu", (unsigned long)v);
      config_sim_submit (v, config);
    }
  config_sim_evacuate ("c", 0);
  for (uint32_t i = 1; i <= 3; i++)
    config_sim_crash (i);
  for (uint32_t i = 1; i <= 3; i++)
    config_sim_start (i, config_sim_initial, 3);
  config_sim_run (2000000);
  config_sim_wipe (1);
  config_sim_start (1, NULL, 0);
  config_sim_run (4000000);
  config_sim_wipe (2);
  assert_state ("b", 1, 1);
  assert_state ("c", 1, 1);
  config_sim_assert_config (400, "text 400");
  config_sim_destroy ();
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_start_and_a_finish_are_each_applied_once),
    WL_TEST (a_change_survives_a_leader_killed_at_each_step),
    WL_TEST (a_copy_that_a_finish_has_overtaken_has_no_effect),
    WL_TEST (a_copy_in_the_queue_of_an_isolated_leader_has_no_effect),
    WL_TEST (a_repeat_after_a_lost_acknowledgement_is_acknowledged),
    WL_TEST (a_sequence_of_the_future_is_refused),
    WL_TEST (changes_of_two_domains_and_a_configuration_at_once_are_all_kept),
    WL_TEST (an_evacuation_goes_before_queued_configurations),
    WL_TEST (an_evacuation_needs_no_configuration),
    WL_TEST (acknowledged_changes_survive_a_power_loss_of_all_replicas),
    WL_TEST (acknowledged_changes_survive_wiped_disks),
    WL_TEST (changes_survive_snapshots_and_a_wipe),
  };
  apr_initialize ();
  return wl_test_run ("evacuation", tests, sizeof tests / sizeof tests[0]);
}
