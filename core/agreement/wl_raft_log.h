#ifndef WL_RAFT_LOG_H
#define WL_RAFT_LOG_H

#include "wl_raft.h"

/* The log of a replica in memory, and the voters that snapshot and log define. */

/**
 * wl_raft_entry() - looks an entry up
 * @raft: the replica
 * @index: log index
 *
 * Return: the entry, or NULL when the index is not in the log.
 */
const WlLogEntry *wl_raft_entry (const WlRaft *raft, uint64_t index);

/**
 * wl_raft_term_at() - term of a log index
 * @raft: the replica
 * @index: log index, 0 allowed
 *
 * Return: the term, 0 when unknown.
 */
uint64_t wl_raft_term_at (const WlRaft *raft, uint64_t index);

/**
 * wl_raft_is_same_entry() - whether two entries of one index are the same
 * @a: one
 * @b: the other
 *
 * Two groups may both have begun at one term; then the commands differ.
 *
 * Return: 1 or 0.
 */
int wl_raft_is_same_entry (const WlLogEntry *a, const WlLogEntry *b);

/**
 * wl_raft_append() - appends an entry
 * @raft: the replica
 * @term: term of the entry
 * @command: encoded command; copied
 * @fx: receives the effect that stores the entry, NULL when it is stored already
 */
void wl_raft_append (WlRaft *raft, uint64_t term, WlBytes command, WlEffects *fx);

/**
 * wl_raft_set_first_voters() - sets the voters before the first log entry
 * @raft: the replica, without a snapshot
 * @voters: the voters
 * @n_voters: their number, at most WL_MAX_REPLICAS
 */
void wl_raft_set_first_voters (WlRaft *raft, const WlReplica *voters, uint32_t n_voters);

/**
 * wl_raft_truncate() - removes all entries from an index on
 * @raft: the replica
 * @from: first removed index, above the commit index
 * @fx: receives the effect that removes them from storage
 */
void wl_raft_truncate (WlRaft *raft, uint64_t from, WlEffects *fx);

/**
 * wl_raft_drop_prefix() - frees the entries up to an index, for a snapshot that covers them
 * @raft: the replica
 * @index: last index to free
 */
void wl_raft_drop_prefix (WlRaft *raft, uint64_t index);

/**
 * wl_raft_check_snapshot() - whether a snapshot can be used
 * @image: encoded state
 *
 * Return: as wl_raft_set_snapshot().
 */
WlError wl_raft_check_snapshot (WlBytes image);

/**
 * wl_raft_set_snapshot() - replaces the snapshot in memory
 * @raft: the replica
 * @index: last index covered
 * @index_term: its term
 * @image: encoded state
 *
 * Return: WL_OK, WL_ERROR_INVALID when the image cannot be decoded, or WL_ERROR_CORRUPT when it
 * holds more than wl_state_load() takes.
 */
WlError wl_raft_set_snapshot (WlRaft *raft, uint64_t index, uint64_t index_term, WlBytes image);

/**
 * wl_raft_is_replica() - whether a voter is the replica of a node with a disk
 * @replica: the voter
 * @node: node id
 * @incarnation: incarnation of its data folder, 0 when unknown
 *
 * Return: 1 or 0, also 0 while the incarnation is unknown.
 */
int wl_raft_is_replica (const WlReplica *replica, uint32_t node, uint64_t incarnation);

/**
 * wl_raft_is_voter() - whether a replica may vote
 * @raft: the replica whose view is used
 * @node: node id
 * @incarnation: incarnation of its data folder
 *
 * Return: 1 or 0.
 */
int wl_raft_is_voter (const WlRaft *raft, uint32_t node, uint64_t incarnation);

#endif
