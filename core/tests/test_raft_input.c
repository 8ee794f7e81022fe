#include <string.h>
#include <apr_general.h>
#include "wl_config_sim.h"
#include "wl_raft.h"
#include "wl_test.h"

/* Messages of a node that is not what it claims to be, or whose program is faulty. */

enum
{
  SETTLE_US = 1000000,
  TERM = 1000,     /* higher than any of the group */
  INDEX = 1000000, /* higher than any of the group */
  IMAGE_BYTES = 100,
  INCARNATION = 7,
};

/* Starts a group with a configuration; returns a follower. */
static uint32_t
start_group (uint64_t seed)
{
  config_sim_create (seed);
  config_sim_start_three ();
  config_sim_submit (1, "one");
  config_sim_run (SETTLE_US);
  return config_sim_leader () % 3 + 1;
}

/* Node @to receives a message as if from @from. */
static void
receive (uint32_t to, uint32_t from, const WlMessage *message)
{
  WlEffects *fx = wl_effects_create ();
  ck_assert_int_eq (
      wl_config_store_receive (config_sim.nodes[to].store, from, message, config_sim.now_us, fx),
      1);
  wl_effects_destroy (fx);
}

static void
end_group (uint32_t follower)
{
  uint64_t number;
  wl_config_store_latest (config_sim.nodes[follower].store, &number);
  ck_assert_uint_eq (number, 1);
  config_sim_assert_config (1, "one");
  config_sim_submit (2, "two");
  config_sim_assert_config (2, "two");
  config_sim_destroy ();
}

/* Guards against a process that ends because a leader contradicts what was committed. */
START_TEST (entries_that_contradict_committed_ones_are_refused)
{
  uint32_t node = start_group (1);
  WlLogEntry entry = { .term = TERM, .index = 1 };
  WlMessage m = { .kind = WL_MESSAGE_APPEND_REQUEST };
  m.u.append = (WlAppendRequest){
    .term = TERM,
    .leader = node % 3 + 1,
    .to_incarnation = wl_storage_incarnation (config_sim.nodes[node].storage),
    .entries = &entry,
    .n_entries = 1,
  };
  receive (node, m.u.append.leader, &m);
  end_group (node);
}
END_TEST

/* A leader sends one entry, which is committed; the one before is of term 1. */
static void
append (WlRaft *raft, uint32_t leader, uint64_t term, uint64_t index, const char *command)
{
  WlEffects *fx = wl_effects_create ();
  WlLogEntry entry = { .term = 1, .index = index };
  WlMessage m = { .kind = WL_MESSAGE_APPEND_REQUEST };
  entry.command = (WlBytes){ (const uint8_t *)command, (uint32_t)strlen (command) };
  m.u.append = (WlAppendRequest){
    .term = term,
    .leader = leader,
    .to_incarnation = INCARNATION,
    .prev_index = index - 1,
    .prev_term = index > 1,
    .commit = index,
    .entries = &entry,
    .n_entries = 1,
  };
  ck_assert_int_eq (wl_raft_receive (raft, leader, &m, 0, fx), 1);
  wl_effects_destroy (fx);
}

/* Guards against a replica that mixes the logs of two groups which both began at term 1. */
START_TEST (entries_of_another_group_are_refused)
{
  WlRaft raft = { 0 };
  WlSettings settings = { .self.node = 1, .replica_incarnation = INCARNATION };
  wl_raft_init (&raft, &settings, NULL, 0);
  append (&raft, 2, 1, 1, "first");
  ck_assert_uint_eq (raft.commit, 1);
  append (&raft, 3, 1, 2, "second");
  ck_assert_msg (raft.commit == 1 && raft.leader == 2, "a second leader of the same term counts");
  append (&raft, 3, 2, 1, "other");
  ck_assert_msg (raft.term == 1 && raft.leader == 2, "another committed entry counts");
  append (&raft, 2, 1, 2, "second");
  ck_assert_uint_eq (raft.commit, 2);
  wl_raft_clear (&raft);
}
END_TEST

/* Guards against a replica that takes the snapshot of another group of the same term. */
START_TEST (a_snapshot_of_a_second_leader_of_the_term_is_refused)
{
  WlRaft raft = { 0 };
  WlSettings settings = { .self.node = 1, .replica_incarnation = INCARNATION };
  WlEffects *fx = wl_effects_create ();
  WlMessage m = { .kind = WL_MESSAGE_SNAPSHOT_CHUNK };
  wl_raft_init (&raft, &settings, NULL, 0);
  append (&raft, 2, 1, 1, "first");
  m.u.snapshot = (WlSnapshotChunk){
    .term = 1,
    .leader = 3,
    .to_incarnation = INCARNATION,
    .index = INDEX,
    .index_term = 1,
    .total = IMAGE_BYTES,
  };
  ck_assert_int_eq (wl_raft_receive (&raft, 3, &m, 0, fx), 1);
  ck_assert_uint_eq (raft.leader, 2);
  ck_assert_uint_eq (raft.incoming_size, 0);
  wl_effects_destroy (fx);
  wl_raft_clear (&raft);
}
END_TEST

static WlMessage
snapshot_chunk (uint32_t node, WlBytes data, uint32_t total)
{
  WlMessage m = { .kind = WL_MESSAGE_SNAPSHOT_CHUNK };
  m.u.snapshot = (WlSnapshotChunk){
    .term = TERM,
    .leader = node % 3 + 1,
    .to_incarnation = wl_storage_incarnation (config_sim.nodes[node].storage),
    .index = INDEX,
    .index_term = TERM,
    .total = total,
    .data = data,
  };
  return m;
}

/* Guards against a process that ends because a snapshot cannot be read. */
START_TEST (a_snapshot_that_cannot_be_read_is_refused)
{
  static const uint8_t bytes[IMAGE_BYTES] = { 0xc1 }; /* never used by msgpack */
  uint32_t node = start_group (2);
  WlMessage m = snapshot_chunk (node, (WlBytes){ bytes, sizeof bytes }, sizeof bytes);
  receive (node, m.u.snapshot.leader, &m);
  end_group (node);
}
END_TEST

/* Guards against a process that ends because a snapshot has more nodes than there may be. */
START_TEST (a_snapshot_with_too_many_nodes_is_refused)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  uint32_t node = start_group (3);
  WlStateSnapshot state = { .n_members = WL_MEMBERS_MAX + 1 };
  state.members = apr_pcalloc (pool, state.n_members * sizeof *state.members);
  WlBytes image = wl_encode_bytes (wl_state_snapshot_fields, &state, pool);
  WlMessage m = snapshot_chunk (node, image, image.size);
  receive (node, m.u.snapshot.leader, &m);
  apr_pool_destroy (pool);
  end_group (node);
}
END_TEST

/* Guards against a process that ends because there is no memory for what a snapshot claims to be.
 */
START_TEST (a_snapshot_that_is_too_large_is_refused)
{
  static const uint8_t bytes[IMAGE_BYTES];
  WlRaft raft = { 0 };
  WlSettings settings = { .self.node = 1, .replica_incarnation = INCARNATION };
  WlMessage m = { .kind = WL_MESSAGE_SNAPSHOT_CHUNK };
  WlEffects *fx = wl_effects_create ();
  m.u.snapshot = (WlSnapshotChunk){
    .term = TERM,
    .leader = 2,
    .to_incarnation = INCARNATION,
    .index = INDEX,
    .index_term = TERM,
    .total = UINT32_MAX,
    .data = { bytes, sizeof bytes },
  };
  wl_raft_init (&raft, &settings, NULL, 0);
  ck_assert_int_eq (wl_raft_receive (&raft, 2, &m, 0, fx), 1);
  ck_assert_ptr_null (raft.incoming);
  wl_effects_destroy (fx);
  wl_raft_clear (&raft);
}
END_TEST

/* Guards against a replica that starts empty over a snapshot on its disk that it cannot read. */
START_TEST (a_stored_snapshot_that_cannot_be_read_is_an_error)
{
  static const uint8_t bytes[IMAGE_BYTES] = { 0xc1 };
  WlSettings settings = { .self.node = 1, .replica_incarnation = INCARNATION };
  WlStoredState stored = { .term = TERM, .snapshot_index = INDEX, .snapshot_term = TERM };
  WlConfigStore *store = NULL;
  stored.snapshot = (WlBytes){ bytes, sizeof bytes };
  ck_assert_int_eq (wl_config_store_create (&settings, &stored, 0, &store), WL_ERROR_CORRUPT);
  ck_assert_ptr_null (store);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (entries_that_contradict_committed_ones_are_refused),
    WL_TEST (entries_of_another_group_are_refused),
    WL_TEST (a_snapshot_of_a_second_leader_of_the_term_is_refused),
    WL_TEST (a_snapshot_that_cannot_be_read_is_refused),
    WL_TEST (a_snapshot_with_too_many_nodes_is_refused),
    WL_TEST (a_snapshot_that_is_too_large_is_refused),
    WL_TEST (a_stored_snapshot_that_cannot_be_read_is_an_error),
  };
  apr_initialize ();
  return wl_test_run ("raft input", tests, sizeof tests / sizeof tests[0]);
}
