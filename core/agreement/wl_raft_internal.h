#ifndef WL_RAFT_INTERNAL_H
#define WL_RAFT_INTERNAL_H

#include "wl_raft.h"

/*
 * What the files of the agreement module share: wl_raft.c (elections, append),
 * wl_raft_log.c (entries), wl_raft_snapshot.c and wl_raft_group.c.
 */

/**
 * enum WlRaftValue - what a quorum is asked for
 * @WL_RAFT_MATCH: synced log index
 * @WL_RAFT_ROUND: answered heartbeat round
 * @WL_RAFT_HEARD: time of the latest answer
 */
typedef enum
{
  WL_RAFT_MATCH,
  WL_RAFT_ROUND,
  WL_RAFT_HEARD,
} WlRaftValue;

/** wl_raft_quorum_value() - the highest value that a majority of the voters has reached */
uint64_t wl_raft_quorum_value (const WlRaft *raft, WlRaftValue which);

/** wl_raft_find_peer() - what is known about a node; NULL when it is no peer */
WlRaftPeer *wl_raft_find_peer (WlRaft *raft, uint32_t node);

/** wl_raft_peer_incarnation() - identity of a peer's disk, 0 when unknown */
uint64_t wl_raft_peer_incarnation (const WlRaft *raft, const WlRaftPeer *peer);

/** wl_raft_is_empty() - whether the replica has no state at all */
int wl_raft_is_empty (const WlRaft *raft);

/** wl_raft_idle_role() - follower for a voter, learner otherwise */
WlRaftRole wl_raft_idle_role (const WlRaft *raft);

/** wl_raft_store_term() - has term and vote stored */
void wl_raft_store_term (WlRaft *raft, WlEffects *fx);

/** wl_raft_become_follower() - steps down, and adopts a higher term */
void wl_raft_become_follower (WlRaft *raft, uint64_t term, uint64_t now_us, WlEffects *fx);

/** wl_raft_become_leader() - takes office and commits an entry of the new term */
void wl_raft_become_leader (WlRaft *raft, uint64_t now_us, WlEffects *fx);

/** wl_raft_accept_leader() - accepts the leader of a term; 0 when the term is old */
int wl_raft_accept_leader (WlRaft *raft, uint64_t term, uint32_t leader, uint64_t now_us,
                           WlEffects *fx);

/** wl_raft_send_append() - sends entries, or a chunk of the snapshot, to a peer */
void wl_raft_send_append (WlRaft *raft, WlRaftPeer *peer, uint64_t now_us, WlEffects *fx);

/** wl_raft_propose_command() - encodes and appends a command as leader */
void wl_raft_propose_command (WlRaft *raft, const WlCommand *command, WlEffects *fx);

/** wl_raft_send_snapshot_chunk() - sends the next chunk of the snapshot to a peer */
void wl_raft_send_snapshot_chunk (WlRaft *raft, WlRaftPeer *peer, WlEffects *fx);

/** wl_raft_on_snapshot() - processes a chunk */
void wl_raft_on_snapshot (WlRaft *raft, const WlSnapshotChunk *c, uint64_t now_us, WlEffects *fx);

/** wl_raft_on_snapshot_reply() - processes the answer to a chunk */
void wl_raft_on_snapshot_reply (WlRaft *raft, const WlSnapshotReply *r, uint64_t now_us,
                                WlEffects *fx);

/** wl_raft_send_hello() - introduces the replica to a peer */
void wl_raft_send_hello (WlRaft *raft, uint32_t node, uint8_t reply, WlEffects *fx);

/** wl_raft_on_hello() - processes a peer's introduction */
void wl_raft_on_hello (WlRaft *raft, uint32_t from, const WlReplicaHello *h, uint64_t now_us,
                       WlEffects *fx);

/** wl_raft_all_peers_are_empty() - whether this replica may found the group */
int wl_raft_all_peers_are_empty (const WlRaft *raft, uint64_t now_us);

/** wl_raft_found_group() - founds the group as its only voter */
void wl_raft_found_group (WlRaft *raft, uint64_t now_us, WlEffects *fx);

/** wl_raft_manage_group() - as leader, makes caught-up learners voters one at a time */
void wl_raft_manage_group (WlRaft *raft, uint64_t now_us, WlEffects *fx);

#endif
