#ifndef WL_RAFT_INTERNAL_H
#define WL_RAFT_INTERNAL_H

#include "wl_raft.h"

/*
 * Shared by wl_raft.c (elections, append), wl_raft_quorum.c, wl_raft_snapshot.c
 * and wl_raft_group.c (bootstrap and membership changes).
 */

/**
 * enum WlRaftValue - a value that wl_raft_quorum_value() compares across voters
 * @WL_RAFT_MATCH: highest synced log index
 * @WL_RAFT_ROUND: latest answered heartbeat round
 * @WL_RAFT_LAST_CONTACT: time of the latest answer
 */
typedef enum
{
  WL_RAFT_MATCH,
  WL_RAFT_ROUND,
  WL_RAFT_LAST_CONTACT,
} WlRaftValue;

/** wl_raft_quorum_value() - the highest value that a majority of the voters has reached */
uint64_t wl_raft_quorum_value (const WlRaft *raft, WlRaftValue which);

/** wl_raft_find_peer() - looks up a peer; NULL when the node is not one */
WlRaftPeer *wl_raft_find_peer (WlRaft *raft, uint32_t node);

/** wl_raft_peer_incarnation() - incarnation of a peer's data folder, 0 when unknown */
uint64_t wl_raft_peer_incarnation (const WlRaft *raft, const WlRaftPeer *peer);

/** wl_raft_is_empty() - whether the replica has neither a term nor a log */
int wl_raft_is_empty (const WlRaft *raft);

/** wl_raft_idle_role() - role outside elections: follower for a voter, learner otherwise */
WlRaftRole wl_raft_idle_role (const WlRaft *raft);

/** wl_raft_store_term() - adds an effect that stores term and vote */
void wl_raft_store_term (WlRaft *raft, WlEffects *fx);

/** wl_raft_become_follower() - steps down, and adopts a higher term */
void wl_raft_become_follower (WlRaft *raft, uint64_t term, uint64_t now_us, WlEffects *fx);

/** wl_raft_become_leader() - becomes leader and proposes an empty entry of the new term */
void wl_raft_become_leader (WlRaft *raft, uint64_t now_us, WlEffects *fx);

/** wl_raft_is_second_leader() - whether another node than the leader known claims to lead its term
 */
int wl_raft_is_second_leader (const WlRaft *raft, uint64_t term, uint32_t leader);

/** wl_raft_accept_leader() - accepts the leader of a term; 0 when the term is old */
int wl_raft_accept_leader (WlRaft *raft, uint64_t term, uint32_t leader, uint64_t now_us,
                           WlEffects *fx);

/** wl_raft_send_append() - sends entries, or a chunk of the snapshot, to a peer */
void wl_raft_send_append (WlRaft *raft, WlRaftPeer *peer, uint64_t now_us, WlEffects *fx);

/** wl_raft_propose_command() - encodes and proposes a command */
void wl_raft_propose_command (WlRaft *raft, const WlCommand *command, WlEffects *fx);

/** wl_raft_send_snapshot_chunk() - sends the next chunk of the snapshot to a peer */
void wl_raft_send_snapshot_chunk (WlRaft *raft, WlRaftPeer *peer, WlEffects *fx);

/** wl_raft_on_snapshot() - processes a chunk of the leader's snapshot */
void wl_raft_on_snapshot (WlRaft *raft, const WlSnapshotChunk *c, uint64_t now_us, WlEffects *fx);

/** wl_raft_on_snapshot_reply() - processes the answer to a chunk */
void wl_raft_on_snapshot_reply (WlRaft *raft, const WlSnapshotReply *r, uint64_t now_us,
                                WlEffects *fx);

/** wl_raft_send_hello() - reports incarnation and whether the disk is empty to a peer */
void wl_raft_send_hello (WlRaft *raft, uint32_t node, uint8_t reply, WlEffects *fx);

/** wl_raft_on_hello() - processes such a report from a peer */
void wl_raft_on_hello (WlRaft *raft, uint32_t from, const WlReplicaHello *h, uint64_t now_us,
                       WlEffects *fx);

/**
 * wl_raft_all_peers_are_empty() - whether this replica may bootstrap the group
 *
 * True for the replica with the lowest id, once all peers have lately reported an
 * empty disk.
 */
int wl_raft_all_peers_are_empty (const WlRaft *raft, uint64_t now_us);

/**
 * wl_raft_may_found_at_once() - whether nobody is left to wait for
 *
 * True for the lowest of the founders, once all others have lately reported an empty disk.
 */
int wl_raft_may_found_at_once (const WlRaft *raft, uint64_t now_us);

/** wl_raft_found_group() - as elected founder, appends the entry that sets the voters */
void wl_raft_found_group (WlRaft *raft, WlEffects *fx);

/** wl_raft_bootstrap_group() - creates the group, with this replica as its only voter */
void wl_raft_bootstrap_group (WlRaft *raft, uint64_t now_us, WlEffects *fx);

/** wl_raft_manage_group() - as leader, proposes the next change of the voters, if any */
void wl_raft_manage_group (WlRaft *raft, uint64_t now_us, WlEffects *fx);

#endif
