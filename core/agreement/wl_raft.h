#ifndef WL_RAFT_H
#define WL_RAFT_H

#include "wl_effects.h"

/*
 * Agreement of the control group: a replicated log with terms, pre-vote, a
 * leader that steps down when it does not hear a quorum, snapshots and
 * replacement of replicas one at a time.
 *
 * Source of the algorithm: D. Ongaro, "Consensus: Bridging Theory and
 * Practice", 2014: chapters 3 (log), 4 (membership, one server at a time),
 * 5 (snapshots) and 9.6 (pre-vote). Two additions: a replica is identified by
 * node id and the incarnation of its data folder, so that an emptied disk
 * cannot vote under its old identity; and the group is founded by the replica
 * with the lowest id, alone, after every configured peer has reported an
 * empty disk.
 */

enum
{
  WL_RAFT_HEARTBEAT_US = 100000,
  WL_RAFT_ELECTION_MIN_US = 600000,
  WL_RAFT_ELECTION_MAX_US = 1200000,
  WL_RAFT_SEEK_MIN_US = 100000, /* pause between pre-votes while no leader is known */
  WL_RAFT_SEEK_MAX_US = 300000,
  WL_RAFT_HELLO_US = 200000,
  WL_RAFT_CHUNK_BYTES = 65536,   /* snapshot bytes in one message */
  WL_RAFT_APPEND_BYTES = 262144, /* command bytes in one message */
  WL_RAFT_COMPACT_ENTRIES = 2048,
  WL_RAFT_COMPACT_BYTES = 4194304,
  WL_RAFT_REPLACE_US = 1500000, /* silence after which a caught-up learner replaces a voter */
};

typedef enum
{
  WL_RAFT_LEARNER, /* not a voter */
  WL_RAFT_FOLLOWER,
  WL_RAFT_PRE_CANDIDATE,
  WL_RAFT_CANDIDATE,
  WL_RAFT_LEADER,
} WlRaftRole;

/**
 * struct WlRaftPeer - what a replica knows about another one
 * @node: node id
 * @incarnation: identity of its disk, 0 for not yet known
 * @next: next log index to send
 * @match: highest index known to be synced there
 * @round: latest heartbeat round that it answered
 * @heard_us: time of its latest answer
 * @snapshot_offset: bytes of the snapshot that it has
 * @empty_us: time at which it reported an empty disk, 0 for never
 * @sent_us: time of the latest append
 * @granted: it granted the current (pre-)vote
 */
typedef struct
{
  uint32_t node;
  uint64_t incarnation;
  uint64_t next;
  uint64_t match;
  uint64_t round;
  uint64_t heard_us;
  uint32_t snapshot_offset;
  uint64_t empty_us;
  uint64_t sent_us;
  uint8_t granted;
} WlRaftPeer;

/**
 * struct WlRaft - state of one replica
 *
 * The log holds entries first_index .. last_index; entries up to
 * first_index - 1 are covered by the snapshot. @min_voters is the number of
 * voters from which on proposals are taken, @max_voters the number that the
 * leader aims at; @may_found tells whether the replica may found a group.
 */
typedef struct
{
  uint32_t self;
  uint64_t incarnation;
  WlRaftRole role;
  uint64_t term;
  uint32_t vote;
  uint32_t leader;

  WlLogEntry *log;
  uint32_t n_log;
  uint32_t log_capacity;
  uint64_t log_bytes;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  uint8_t *snapshot;
  uint32_t snapshot_size;
  uint64_t commit;
  uint64_t applied;
  uint64_t term_start; /* index of the leader's first entry in its term */

  WlReplica voters[WL_MAX_REPLICAS];
  uint32_t n_voters;
  WlReplica snapshot_voters[WL_MAX_REPLICAS];
  uint32_t n_snapshot_voters;
  uint64_t group_index; /* index of the entry that set the voters, 0 for the snapshot */

  WlRaftPeer peers[WL_MAX_REPLICAS];
  uint32_t n_peers;
  uint32_t min_voters;
  uint32_t max_voters;
  uint8_t may_found;

  uint64_t round;
  uint64_t election_us;
  uint64_t heartbeat_us;
  uint64_t hello_us;
  uint64_t leader_heard_us;
  uint64_t elected_us;
  uint8_t dirty;
  uint64_t random;

  uint8_t *incoming;
  uint32_t incoming_size;
  uint32_t incoming_offset;
  uint64_t incoming_index;
  uint8_t restored; /* a snapshot replaced the state; cleared by the control module */
} WlRaft;

/**
 * wl_raft_init() - prepares a replica
 * @raft: zeroed state
 * @settings: node settings
 * @stored: durable state; entries are copied
 * @now_us: monotonic time
 */
void wl_raft_init (WlRaft *raft, const WlSettings *settings, const WlStored *stored,
                   uint64_t now_us);

/**
 * wl_raft_add_peer() - makes another replica known
 * @raft: the replica
 * @node: node id
 *
 * A leader makes peers that report a disk of their own learners, and voters
 * while there are fewer than max_voters. A learner that has caught up takes
 * the place of a voter that has been silent for WL_RAFT_REPLACE_US.
 */
void wl_raft_add_peer (WlRaft *raft, uint32_t node);

/**
 * wl_raft_clear() - frees what a replica holds
 * @raft: the replica
 */
void wl_raft_clear (WlRaft *raft);

/**
 * wl_raft_tick() - lets time pass: elections, heartbeats, stepping down
 * @raft: the replica
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_raft_tick (WlRaft *raft, uint64_t now_us, WlEffects *fx);

/**
 * wl_raft_flush() - replicates entries proposed since the last call
 * @raft: the replica
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_raft_flush (WlRaft *raft, uint64_t now_us, WlEffects *fx);

/**
 * wl_raft_receive() - processes a message of the agreement protocol
 * @raft: the replica
 * @from: sender
 * @message: the message
 * @now_us: monotonic time
 * @fx: receives the effects
 *
 * Return: 1 when the message belongs to this module, otherwise 0.
 */
int wl_raft_receive (WlRaft *raft, uint32_t from, const WlMessage *message, uint64_t now_us,
                     WlEffects *fx);

/**
 * wl_raft_propose() - appends a command as leader
 * @raft: the leader
 * @command: encoded command
 * @fx: receives the effects
 *
 * Return: the index of the entry.
 */
uint64_t wl_raft_propose (WlRaft *raft, WlBytes command, WlEffects *fx);

/**
 * wl_raft_next_committed() - takes the next committed entry to apply
 * @raft: the replica
 *
 * Return: the entry, or NULL when everything committed is applied.
 */
const WlLogEntry *wl_raft_next_committed (WlRaft *raft);

/**
 * wl_raft_wants_snapshot() - tells whether the log is long enough to compact
 * @raft: the replica
 *
 * Return: 1 or 0.
 */
int wl_raft_wants_snapshot (const WlRaft *raft);

/**
 * wl_raft_compact() - replaces the applied part of the log by a snapshot
 * @raft: the replica
 * @image: encoded state at the applied index
 * @fx: receives the effects
 */
void wl_raft_compact (WlRaft *raft, WlBytes image, WlEffects *fx);

/**
 * wl_raft_confirmed_round() - latest heartbeat round answered by a quorum
 * @raft: the leader
 *
 * A request received before round r was sent is known to have reached the
 * leader of a term that was still current, once round r is confirmed.
 *
 * Return: the round, 0 for none.
 */
uint64_t wl_raft_confirmed_round (const WlRaft *raft);

/**
 * wl_raft_request_round() - has a heartbeat round sent at the next flush
 * @raft: the leader
 *
 * Return: the number of that round.
 */
uint64_t wl_raft_request_round (WlRaft *raft);

/**
 * wl_raft_is_ready() - tells whether the leader may accept proposals
 * @raft: the replica
 *
 * A leader is ready once it has committed an entry of its own term and there
 * are at least min_voters voters.
 *
 * Return: 1 or 0.
 */
int wl_raft_is_ready (const WlRaft *raft);

/**
 * wl_raft_last_index() - index of the last log entry
 * @raft: the replica
 *
 * Return: the index, 0 for none.
 */
uint64_t wl_raft_last_index (const WlRaft *raft);

#endif
