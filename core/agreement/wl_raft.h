#ifndef WL_RAFT_H
#define WL_RAFT_H

#include "wl_effects.h"

/*
 * Raft: log replication among the control replicas, with pre-vote, a leader
 * that steps down without contact to a quorum, snapshots, and membership
 * changes of one replica at a time.
 *
 * Source of the algorithm: D. Ongaro, "Consensus: Bridging Theory and
 * Practice", 2014: chapters 3 (log), 4 (membership, one server at a time),
 * 5 (snapshots) and 9.6 (pre-vote). Two additions:
 *  - A replica is identified by its node id and the incarnation of its data
 *    folder, so that a replica whose disk was emptied cannot vote under its old
 *    identity.
 *  - The group is created at the first start of the system, in one of two ways. Either
 *    the replica with the lowest id bootstraps it as its only voter, after every configured
 *    peer has reported an empty disk. Or its founders are known, wl_raft_set_founders():
 *    they are the voters before the first log entry. A founder's disk may be unknown then;
 *    its incarnation is 0 among the voters, which stands for the one disk of that node that
 *    was set up at the first start (WL_RAFT_FIRST_START).
 */

enum
{
  WL_RAFT_HEARTBEAT_US = 100000,
  WL_RAFT_ELECTION_MIN_US = 600000,
  WL_RAFT_ELECTION_MAX_US = 1200000,
  WL_RAFT_PRE_VOTE_MIN_US = 100000, /* interval of pre-votes while no leader is known */
  WL_RAFT_PRE_VOTE_MAX_US = 300000,
  WL_RAFT_HELLO_INTERVAL_US = 200000,
  WL_RAFT_CHUNK_BYTES = 65536,        /* snapshot bytes in one message */
  WL_RAFT_SNAPSHOT_BYTES = 256 << 20, /* larger snapshots of other replicas are refused */
  WL_RAFT_APPEND_BYTES = 262144,      /* command bytes in one message */
  WL_RAFT_COMPACT_ENTRIES = 2048,     /* log size from which on a snapshot is taken */
  WL_RAFT_COMPACT_BYTES = 4194304,
  WL_RAFT_VOTER_TIMEOUT_US = 1500000, /* a voter without contact for this long may be replaced */
  WL_RAFT_PEER_EXPIRY_US = 5000000,   /* a silent replica that is no voter may lose its place */
  WL_RAFT_FOUNDING_WAIT_US = 2000000, /* for all founders, before a majority founds the group */
  WL_RAFT_FORMING_WAIT_US = 2000000,  /* for all voters' disks, before fewer are enough */
  WL_RAFT_FIRST_START = 1, /* bit of an incarnation: the disk was set up at the first start */
};

typedef enum
{
  WL_RAFT_LEARNER, /* receives the log, but is not a voter */
  WL_RAFT_FOLLOWER,
  WL_RAFT_PRE_CANDIDATE,
  WL_RAFT_CANDIDATE,
  WL_RAFT_LEADER,
} WlRaftRole;

/**
 * struct WlRaftPeer - a replica's view of another one
 * @node: node id
 * @incarnation: incarnation of its data folder, 0 while unknown
 * @next: next log index to send
 * @match: highest log index known to be synced to its disk
 * @round: latest heartbeat round that it answered
 * @last_contact_us: time of its latest answer
 * @snapshot_offset: bytes of the current snapshot that it has received
 * @empty_us: time at which it reported an empty disk, 0 for never
 * @sent_us: time of the latest append
 * @heard_us: time of its latest message, or when it was last added
 * @granted: it granted the current (pre-)vote
 */
typedef struct
{
  uint32_t node;
  uint64_t incarnation;
  uint64_t next;
  uint64_t match;
  uint64_t round;
  uint64_t last_contact_us;
  uint32_t snapshot_offset;
  uint64_t empty_us;
  uint64_t sent_us;
  uint64_t heard_us;
  uint8_t granted;
} WlRaftPeer;

/**
 * struct WlRaft - state of one replica
 * @vote: node voted for in @term, 0 for none
 * @leader: node id of the current leader, 0 when unknown
 * @log: log entries after the snapshot, @n_log of them
 * @snapshot: latest snapshot, an encoded WlStateSnapshot
 * @commit: highest committed log index
 * @applied: highest log index returned by wl_raft_next_committed()
 * @peers: the other replicas, voters or not
 * @round: number of the latest heartbeat round
 * @leader_contact_us: time of the latest message from the leader
 * @needs_broadcast: there are entries or a round to send at the next flush
 * @random: state of the random number generator for election timeouts
 * @incoming: snapshot that is being received, @incoming_offset of @incoming_size bytes
 * @incoming_index: log index of that snapshot
 *
 * The log holds the entries after @snapshot_index; the snapshot covers those up
 * to it. The leader aims at @max_voters voters with known disks; WL_RAFT_FORMING_WAIT_US after
 * @joined_us, when this replica first knew of the group, it accepts proposals with @min_voters.
 * @may_bootstrap allows a replica with an empty disk to bootstrap the group. Until @founding_us the
 * group is founded only with all founders present. Indexes are log indexes, times are monotonic.
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
  uint8_t may_bootstrap;
  uint64_t founding_us;
  uint64_t joined_us; /* 0 before */

  uint64_t round;
  uint64_t next_election_us;
  uint64_t next_heartbeat_us;
  uint64_t next_hello_us;
  uint64_t leader_contact_us;
  uint64_t elected_us;
  uint8_t needs_broadcast;
  uint64_t random;

  uint8_t *incoming;
  uint32_t incoming_size;
  uint32_t incoming_offset;
  uint64_t incoming_index;
  uint8_t restored; /* a snapshot replaced the state; the user loads it and clears this */
} WlRaft;

/**
 * wl_raft_init() - prepares a replica
 * @raft: zeroed state
 * @settings: node settings
 * @stored: durable state, copied; NULL for none
 * @now_us: monotonic time
 */
void wl_raft_init (WlRaft *raft, const WlSettings *settings, const WlStoredState *stored,
                   uint64_t now_us);

/**
 * wl_raft_add_peer() - adds another replica, or notes that it is alive
 * @raft: the replica
 * @node: node id
 * @now_us: monotonic time
 *
 * There are WL_MAX_REPLICAS places. When all are taken, the replica takes that of one which is
 * no voter and was not heard for WL_RAFT_PEER_EXPIRY_US, or of any which is no voter if it is
 * one itself. Without such a place the call is ignored, to be repeated while the node is alive. A
 * leader replicates to peers that have reported the incarnation of their data folder. It makes
 * those that have caught up voters while there are fewer than max_voters, and after that only in
 * place of a voter without contact for WL_RAFT_VOTER_TIMEOUT_US.
 */
void wl_raft_add_peer (WlRaft *raft, uint32_t node, uint64_t now_us);

/**
 * wl_raft_set_founders() - sets the voters before the first log entry
 * @raft: the replica; its disk was set up at the first start
 * @nodes: ids of the founders, with this replica
 * @n_nodes: number of ids
 * @now_us: monotonic time
 *
 * The lists of all founders may differ only in nodes without a disk: these never vote, so
 * that every two majorities have a founder in common. Repeated calls replace the list. It
 * counts while the log is empty.
 */
void wl_raft_set_founders (WlRaft *raft, const uint32_t *nodes, uint32_t n_nodes, uint64_t now_us);

/**
 * wl_raft_clear() - frees the memory owned by a replica
 * @raft: the replica
 */
void wl_raft_clear (WlRaft *raft);

/**
 * wl_raft_tick() - runs the timers: elections, heartbeats, stepping down
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
 * wl_raft_receive() - processes a Raft message
 * @raft: the replica
 * @from: sender
 * @message: the message
 * @now_us: monotonic time
 * @fx: receives the effects
 *
 * Return: 1 when it was a Raft message, otherwise 0.
 */
int wl_raft_receive (WlRaft *raft, uint32_t from, const WlMessage *message, uint64_t now_us,
                     WlEffects *fx);

/**
 * wl_raft_propose() - appends a command as leader
 * @raft: the leader
 * @command: encoded command; copied
 * @fx: receives the effects
 *
 * Return: the index of the entry.
 */
uint64_t wl_raft_propose (WlRaft *raft, WlBytes command, WlEffects *fx);

/**
 * wl_raft_next_committed() - returns the next committed entry and counts it as applied
 * @raft: the replica
 *
 * Return: the entry, or NULL when everything committed is applied.
 */
const WlLogEntry *wl_raft_next_committed (WlRaft *raft);

/**
 * wl_raft_wants_snapshot() - whether the log is long enough to compact
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
 * Once round r is confirmed, the leader is known to have been the current one
 * when r was sent, and may answer reads that arrived before (read-index rule).
 *
 * Return: the round, 0 for none.
 */
uint64_t wl_raft_confirmed_round (const WlRaft *raft);

/**
 * wl_raft_request_round() - requests a heartbeat round at the next flush
 * @raft: the leader
 *
 * Return: the number of that round.
 */
uint64_t wl_raft_request_round (WlRaft *raft);

/** wl_raft_count_disks() - number of voters whose disks are known */
uint32_t wl_raft_count_disks (const WlRaft *raft);

/**
 * wl_raft_is_ready() - whether the leader may accept proposals
 * @raft: the replica
 * @now_us: monotonic time
 *
 * A leader is ready once it has committed an entry of its own term and the disks of
 * max_voters voters are known: while a group forms, fewer would have to keep what is
 * proposed, and could not lose as many disks. Those of min_voters are enough once the
 * replica has known the group for WL_RAFT_FORMING_WAIT_US since its start.
 *
 * Return: 1 or 0.
 */
int wl_raft_is_ready (const WlRaft *raft, uint64_t now_us);

/**
 * wl_raft_last_index() - index of the last log entry
 * @raft: the replica
 *
 * Return: the index, 0 for none.
 */
uint64_t wl_raft_last_index (const WlRaft *raft);

#endif
