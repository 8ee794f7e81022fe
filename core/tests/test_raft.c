#include <apr_general.h>
#include "wl_raft_log.h"
#include "wl_sim.h"
#include "wl_test.h"

/* Raft in the control group: bootstrap, elections, lost disks, isolated replicas, snapshots. */

static void
assert_no_invariant_broken (const WlSim *sim)
{
  ck_assert_msg (sim->broken == NULL, "%s", sim->broken);
}

static void
assert_equal_logs (const WlSim *sim)
{
  for (uint32_t i = 2; i <= sim->n_control; i++)
    {
      const WlRaft *a = &sim->nodes[1].core->control->raft;
      const WlRaft *b = &sim->nodes[i].core->control->raft;
      uint64_t last = a->commit < b->commit ? a->commit : b->commit;
      for (uint64_t n = 1; n <= last; n++)
        {
          const WlLogEntry *x = wl_raft_entry (a, n);
          const WlLogEntry *y = wl_raft_entry (b, n);
          if (x == NULL || y == NULL)
            continue;
          ck_assert_uint_eq (x->term, y->term);
          ck_assert_uint_eq (x->command.size, y->command.size);
        }
    }
}

static WlSim *
start_group (uint64_t seed, uint32_t replicas)
{
  WlSim *sim = sim_create (seed, replicas, replicas);
  sim_start_all (sim);
  sim_run (sim, 5000000);
  ck_assert_uint_ne (sim_leader (sim), 0);
  return sim;
}

static uint32_t
voters_at_leader (const WlSim *sim)
{
  return sim->nodes[sim_leader (sim)].core->control->raft.n_voters;
}

/* Guards against two groups: one bootstrapped by some replicas before the others have started. */
START_TEST (the_group_is_bootstrapped_once_all_replicas_are_up)
{
  WlSim *sim = sim_create (1, 3, 3);
  sim_start (sim, 1);
  sim_start (sim, 2);
  sim_run (sim, 5000000);
  ck_assert_uint_eq (sim_leader (sim), 0);
  sim_start (sim, 3);
  sim_run (sim, 3000000);
  ck_assert_uint_ne (sim_leader (sim), 0);
  ck_assert_uint_eq (voters_at_leader (sim), 3);
  assert_no_invariant_broken (sim);
  sim_destroy (sim);
}
END_TEST

START_TEST (a_new_leader_follows_a_crash_within_three_seconds)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      WlSim *sim = start_group (seed, seed % 2 ? 3 : 5);
      uint32_t old = sim_leader (sim);
      sim_crash (sim, old);
      sim_run (sim, 3000000);
      ck_assert_uint_ne (sim_leader (sim), 0);
      ck_assert_uint_ne (sim_leader (sim), old);
      assert_no_invariant_broken (sim);
      sim_destroy (sim);
    }
}
END_TEST

/* Guards against a replica with an emptied disk that votes before it has caught up. */
START_TEST (a_lost_disk_returns_as_learner_and_then_voter)
{
  WlSim *sim = start_group (7, 3);
  ck_assert_int_eq (sim_submit_until_answered (sim, 1, 0, sim_text (1))->outcome,
                    WL_SUBMIT_ACCEPTED);
  uint32_t lost = sim_leader (sim) % 3 + 1;
  uint64_t old = sim->nodes[lost].settings.replica_incarnation;
  sim_wipe (sim, lost);
  sim_run (sim, 2000000);
  sim_start (sim, lost);
  sim_run (sim, 20000);
  ck_assert_int_eq (sim->nodes[lost].core->control->raft.role, WL_RAFT_LEARNER);
  sim_run (sim, 5000000);
  ck_assert_uint_ne (sim->nodes[lost].settings.replica_incarnation, old);
  ck_assert_int_ne (sim->nodes[lost].core->control->raft.role, WL_RAFT_LEARNER);
  ck_assert_uint_eq (voters_at_leader (sim), 3);
  assert_no_invariant_broken (sim);
  sim_destroy (sim);
}
END_TEST

/* Guards against a learner that becomes a voter before it has the log: the next lost disk would
   then take the last copy of a committed entry. */
START_TEST (a_second_disk_may_be_lost_right_after_the_first_is_repaired)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      WlSim *sim = start_group (seed, 3);
      ck_assert_int_eq (sim_submit_until_answered (sim, 1, 0, sim_text (1))->outcome,
                        WL_SUBMIT_ACCEPTED);
      sim_wipe (sim, 2);
      sim_run (sim, 500000);
      sim_start (sim, 2);
      while (sim->nodes[2].core->control->raft.role == WL_RAFT_LEARNER)
        sim_run (sim, 10000);
      sim_run (sim, 300000);
      sim_wipe (sim, 3);
      sim_run (sim, 4000000);
      const WlSubmitReply *r = sim_submit_until_answered (sim, 1, 1, sim_text (2));
      ck_assert_ptr_nonnull (r);
      ck_assert_int_eq (r->outcome, WL_SUBMIT_ACCEPTED);
      ck_assert_uint_eq (r->number, 2);
      assert_no_invariant_broken (sim);
      sim_destroy (sim);
    }
}
END_TEST

START_TEST (an_empty_disk_has_no_vote_under_the_old_identity)
{
  WlSim *sim = start_group (3, 3);
  ck_assert_ptr_nonnull (sim_submit_until_answered (sim, 1, 0, sim_text (1)));
  /* The second submission is committed on replicas 1 and 2 only. While 1 is down, 2 loses its
     disk: the emptied 2 and the outdated 3 must not elect a leader that lacks the entry. */
  sim_isolate (sim, 3, 1);
  sim_run (sim, 3000000);
  const WlSubmitReply *r = sim_submit_until_answered (sim, 1, 1, sim_text (2));
  ck_assert_ptr_nonnull (r);
  sim_crash (sim, 1);
  sim_wipe (sim, 2);
  sim_isolate (sim, 3, 0);
  sim_start (sim, 2);
  sim_run (sim, 10000000);
  ck_assert_uint_eq (sim_leader (sim), 0);
  sim_start (sim, 1);
  sim_run (sim, 6000000);
  ck_assert_uint_ne (sim_leader (sim), 0);
  ck_assert_uint_eq (sim->nodes[sim_leader (sim)].core->control->state->config_number, 2);
  assert_no_invariant_broken (sim);
  sim_destroy (sim);
}
END_TEST

/* Guards against a leader that stays leader, or answers, without contact to a quorum. */
START_TEST (an_isolated_minority_commits_nothing_and_catches_up)
{
  WlSim *sim = start_group (11, 5);
  ck_assert_ptr_nonnull (sim_submit_until_answered (sim, 1, 0, sim_text (1)));
  uint32_t old = sim_leader (sim);
  sim_isolate (sim, old, 1);
  uint32_t lost = sim_submit (sim, old, 1, sim_text (50));
  sim_run (sim, 4000000);
  ck_assert (!sim->submits[lost].is_answered);
  ck_assert_int_ne (sim->nodes[old].core->control->raft.role, WL_RAFT_LEADER);
  uint32_t other = sim_leader (sim);
  ck_assert_uint_ne (other, old);
  ck_assert_int_eq (sim_submit_until_answered (sim, other, 1, sim_text (2))->outcome,
                    WL_SUBMIT_ACCEPTED);
  sim_run (sim, 30000000);
  sim_isolate (sim, old, 0);
  sim_run (sim, 3000000);
  ck_assert_uint_eq (sim->nodes[old].core->control->state->config_number, 2);
  assert_equal_logs (sim);
  assert_no_invariant_broken (sim);
  sim_destroy (sim);
}
END_TEST

/* Guards against a replica that cannot catch up, since the entries it lacks are compacted. */
START_TEST (a_replica_far_behind_gets_the_snapshot)
{
  WlSim *sim = start_group (5, 3);
  uint32_t behind = sim_leader (sim) % 3 + 1;
  uint64_t number = 0;
  sim_crash (sim, behind);
  while (sim->nodes[sim_leader (sim)].core->control->raft.snapshot_index == 0 && number < 900)
    {
      WlMessage m = { .kind = WL_MESSAGE_CLAIM };
      WlEvent event = { .kind = WL_EVENT_MESSAGE };
      uint32_t leader = sim_leader (sim);
      event.u.message.from = leader;
      event.u.message.message = &m;
      for (int i = 0; i < 8; i++)
        {
          snprintf (m.u.claim.record.key, WL_KEY_SIZE, "key-%lu-%d", (unsigned long)number, i);
          snprintf (m.u.claim.record.customer, WL_LABEL_SIZE, "a");
          m.u.claim.record.request = number * 8 + (uint64_t)i + 1;
          sim_event (sim, leader, &event);
        }
      number++;
      sim_run (sim, 10000);
    }
  ck_assert_uint_gt (sim->nodes[sim_leader (sim)].core->control->raft.snapshot_index, 0);
  sim_wipe (sim, behind);
  sim_start (sim, behind);
  sim_run (sim, 6000000);
  const WlControl *a = sim->nodes[sim_leader (sim)].core->control;
  const WlControl *b = sim->nodes[behind].core->control;
  ck_assert_uint_gt (b->raft.snapshot_index, 0);
  ck_assert_uint_eq (a->state->n_claims, b->state->n_claims);
  assert_no_invariant_broken (sim);
  sim_destroy (sim);
}
END_TEST

START_TEST (lossy_networks_and_crashes_lose_no_committed_entry)
{
  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      WlSim *sim = start_group (seed, seed % 2 ? 3 : 5);
      uint64_t number = 0;
      sim->drop_ppm = 50000;
      sim->repeat_ppm = 50000;
      sim->delay_us = 30000;
      for (int round = 0; round < 12; round++)
        {
          uint32_t node = 1 + (uint32_t)(sim_random (sim) % sim->n_control);
          const WlSubmitReply *r
              = sim_submit_until_answered (sim, node, number, sim_text ((uint32_t)round + 1));
          ck_assert_ptr_nonnull (r);
          ck_assert_int_eq (r->outcome, WL_SUBMIT_ACCEPTED);
          number = r->number;
          uint32_t victim = 1 + (uint32_t)(sim_random (sim) % sim->n_control);
          sim_crash (sim, victim);
          sim_run (sim, sim_random (sim) % 1500000);
          sim_start (sim, victim);
          sim_run (sim, 1500000);
        }
      sim->drop_ppm = 0;
      sim_run (sim, 6000000);
      for (uint32_t i = 1; i <= sim->n_control; i++)
        ck_assert_uint_eq (sim->nodes[i].core->control->state->config_number, number);
      assert_equal_logs (sim);
      assert_no_invariant_broken (sim);
      sim_destroy (sim);
    }
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (the_group_is_bootstrapped_once_all_replicas_are_up),
    WL_TEST (a_new_leader_follows_a_crash_within_three_seconds),
    WL_TEST (a_lost_disk_returns_as_learner_and_then_voter),
    WL_TEST (a_second_disk_may_be_lost_right_after_the_first_is_repaired),
    WL_TEST (an_empty_disk_has_no_vote_under_the_old_identity),
    WL_TEST (an_isolated_minority_commits_nothing_and_catches_up),
    WL_TEST (a_replica_far_behind_gets_the_snapshot),
    WL_TEST (lossy_networks_and_crashes_lose_no_committed_entry),
  };
  return wl_test_run ("raft", tests, sizeof tests / sizeof tests[0]);
}
