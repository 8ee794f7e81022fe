#ifndef WL_CONFIG_STORE_H
#define WL_CONFIG_STORE_H

#include "wl_config_document.h"
#include "wl_raft.h"
#include "wl_state.h"

/*
 * Replicated store of one configuration in which the highest version wins. (The
 * alternative, compare-and-set on the configuration number, is wl_control.h.) A
 * submission whose version is not higher than the current one is accepted and
 * changes nothing. Operators choose the version; the leader numbers committed
 * configurations consecutively, and the number orders them on every node.
 *
 * The leader proposes one change at a time, so that each is a delta from a
 * committed configuration. It proposes the highest queued version first: once that
 * is committed, the lower ones change nothing and are accepted at once. A read is
 * answered once a quorum has confirmed a heartbeat round that began after the read
 * arrived.
 *
 * The store also replicates the evacuations of failure domains, see docs/design/evacuation.md.
 * They are part of the same document, so that each change of them gets the next number, and go
 * before queued configurations.
 */

enum
{
  WL_CONFIG_STORE_QUEUE_MAX = 64, /* submissions and reads queued at the leader; more are ignored */
  /* further places in the queue, which only evacuations take */
  WL_CONFIG_STORE_EVACUATIONS_MAX = 16,
  /* total size of queued submissions; one that would exceed it is refused */
  WL_CONFIG_STORE_QUEUE_BYTES = 4 * WL_SERVICES_TEXT_MAX,
  WL_CONFIG_STORE_REQUEST_TIMEOUT_US = 3000000, /* a queued request is dropped after this */
};

typedef struct WlConfigStore WlConfigStore;

/**
 * wl_config_store_create() - creates a replica of the store
 * @settings: node id, replica incarnation and seed are used
 * @stored: durable state; copied
 * @now_us: monotonic time
 * @out: receives the replica
 *
 * A replica with an empty disk waits to be added to an existing group, unless
 * wl_config_store_set_founders() lets it take part in founding one.
 *
 * Return: WL_OK, WL_ERROR_NO_MEMORY, or WL_ERROR_CORRUPT when the stored
 * snapshot cannot be decoded.
 */
WlError wl_config_store_create (const WlSettings *settings, const WlStoredState *stored,
                                uint64_t now_us, WlConfigStore **out);

/** wl_config_store_destroy() - frees a replica; accepts NULL */
void wl_config_store_destroy (WlConfigStore *store);

/**
 * wl_config_store_set_tolerated_faults() - sets how many lost voters the group tolerates
 * @store: the replica
 * @tolerated_faults: number of lost voters to tolerate
 *
 * The leader aims at 2 * @tolerated_faults + 1 voters and accepts submissions
 * once it has them, or WL_RAFT_FORMING_WAIT_US later with @tolerated_faults + 1.
 */
void wl_config_store_set_tolerated_faults (WlConfigStore *store, uint32_t tolerated_faults);

/**
 * wl_config_store_set_founders() - lets the replica take part in founding the group
 * @store: the replica; its disk was set up at the first start of the system
 * @nodes: ids of the founders, with this one
 * @n_nodes: number of ids
 * @now_us: monotonic time
 *
 * A majority of the founders founds the group, as soon as all are present, or else after
 * WL_RAFT_FOUNDING_WAIT_US. See wl_raft_set_founders(); without effect once the replica
 * belongs to a group.
 */
void wl_config_store_set_founders (WlConfigStore *store, const uint32_t *nodes, uint32_t n_nodes,
                                   uint64_t now_us);

/**
 * wl_config_store_add_peer() - adds another node that has a disk, or notes that it is alive
 * @store: the replica
 * @node: node id
 * @now_us: monotonic time
 *
 * See wl_raft_add_peer(); to be repeated while the node is alive.
 */
void wl_config_store_add_peer (WlConfigStore *store, uint32_t node, uint64_t now_us);

/**
 * wl_config_store_receive() - processes a message
 * @store: the replica
 * @from: sender
 * @message: the message
 * @now_us: monotonic time
 * @fx: receives the effects
 *
 * Return: 1 when the message belongs to this module, otherwise 0.
 */
int wl_config_store_receive (WlConfigStore *store, uint32_t from, const WlMessage *message,
                             uint64_t now_us, WlEffects *fx);

/** wl_config_store_tick() - runs the timers of the replica */
void wl_config_store_tick (WlConfigStore *store, uint64_t now_us, WlEffects *fx);

/** wl_config_store_flush() - replicates new proposals; call it after a batch of messages */
void wl_config_store_flush (WlConfigStore *store, uint64_t now_us, WlEffects *fx);

/** wl_config_store_leader() - node id of the leader as far as this replica knows, 0 for none */
uint32_t wl_config_store_leader (const WlConfigStore *store);

/**
 * wl_config_store_lacks_disks() - whether changes wait for more replicas
 * @store: the replica
 * @disks: receives the number of voters whose disks are known
 * @needed: receives how many there must be before changes are taken
 *
 * Return: 1 when there are too few, otherwise 0.
 */
int wl_config_store_lacks_disks (const WlConfigStore *store, uint32_t *disks, uint32_t *needed);

/**
 * wl_config_store_voters() - the voters of the group
 * @store: the replica
 * @out: receives up to WL_MAX_REPLICAS node ids
 *
 * Return: the number of voters.
 */
uint32_t wl_config_store_voters (const WlConfigStore *store, uint32_t *out);

/**
 * wl_config_store_latest() - the latest committed configuration at this replica
 * @store: the replica
 * @number: receives its number, 0 for none
 *
 * Return: the document, see wl_config_document_decode();
 * valid until the next call that changes the replica.
 */
WlBytes wl_config_store_latest (const WlConfigStore *store, uint64_t *number);

/**
 * wl_config_store_find_change() - finds the change that led to a configuration
 * @store: the replica
 * @number: number of a committed configuration
 *
 * Return: the change, or NULL when it is no longer kept.
 */
const WlConfigChange *wl_config_store_find_change (const WlConfigStore *store, uint64_t number);

/**
 * struct WlConfigStoreMemory - memory used by a replica, in bytes
 * @config: the committed configuration
 * @changes: the latest changes, kept for nodes that are behind
 * @log: log entries after the snapshot
 * @snapshot: the latest snapshot
 * @queued: queued submissions
 */
typedef struct
{
  uint64_t config;
  uint64_t changes;
  uint64_t log;
  uint64_t snapshot;
  uint64_t queued;
} WlConfigStoreMemory;

/** wl_config_store_memory() - measures the memory used by a replica */
void wl_config_store_memory (const WlConfigStore *store, WlConfigStoreMemory *out);

#endif
