#ifndef WL_CONTROL_H
#define WL_CONTROL_H

#include "wl_raft.h"
#include "wl_state.h"

/*
 * Control replica: applies the replicated log and, as leader, grants leases to
 * the entries, assigns cells to them and answers their requests.
 *
 * A lease is granted only after a quorum has answered a heartbeat round that
 * began after the lease request arrived (the read-index rule of the
 * dissertation cited in wl_raft.h, section 6.4). The lease runs from the time at
 * which the entry sent the request, on the entry's clock. Every lease granted by
 * an earlier leader therefore began before the election of the current one. So
 * a new leader without contact to the owner of a cell waits WL_LEASE_US plus the
 * drift bound from its election before it assigns the cell to another entry.
 */

enum
{
  WL_CONTROL_TICK_US = 100000,
  WL_MEMBER_TIMEOUT_US = 600000000, /* a node without contact for this long is removed */
  WL_RENEW_DELTAS_MAX = 32, /* an entry that lacks more changes gets the full configuration */
};

/**
 * struct WlEntryRecord - the leader's view of one entry
 * @node: node id
 * @incarnation: incarnation in its latest renewal
 * @config_number: number of the configuration that it has applied
 * @directory_version: version of members and cells that it has
 * @last_contact_us: time of its latest renewal
 * @lease_until_us: no lease of the entry is valid after this time, on the leader's clock
 * @draining: it is stopping and no longer owns cells
 * @round: heartbeat round that must be confirmed before the reply, 0 for none
 * @sequence: sequence number of the latest renewal
 * @sent_us: time of that renewal on the entry's clock
 * @membership_index: log index of its latest membership command
 */
typedef struct
{
  uint64_t node;
  uint64_t incarnation;
  uint64_t config_number;
  uint64_t directory_version;
  uint64_t last_contact_us;
  uint64_t lease_until_us;
  uint8_t draining;
  uint64_t round;
  uint64_t sequence;
  uint64_t sent_us;
  uint64_t membership_index;
} WlEntryRecord;

/**
 * struct WlPendingProposal - a proposal to answer once it is applied
 * @index: log index
 * @kind: kind of the command
 * @id: id of the submission or request
 * @node: node to answer
 * @replaces: configuration number that a submission replaces
 * @digest: digest of a submitted configuration
 * @customer: customer of a claim
 * @key: idempotency key of a claim
 * @evacuation: start or end of an evacuation
 */
typedef struct WlPendingProposal
{
  uint64_t index;
  WlCommandKind kind;
  uint64_t id;
  uint32_t node;
  uint64_t replaces;
  uint8_t digest[WL_DIGEST_SIZE];
  char customer[WL_LABEL_SIZE];
  char key[WL_KEY_SIZE];
  WlEvacuation evacuation;
  struct WlPendingProposal *next;
} WlPendingProposal;

typedef struct
{
  const WlSettings *settings;
  apr_pool_t *pool;
  WlRaft raft;
  WlState *state;
  WlServices *services; /* the current configuration, parsed */
  apr_hash_t *entries;  /* WlEntryRecord by node */
  WlPendingProposal *first_pending;
  WlPendingProposal *last_pending;
  uint64_t assign_index; /* log index of the latest cell assignment, maybe not yet applied */
  uint64_t next_tick_us;
  uint64_t leader_term;
  uint8_t notify; /* entries must be notified of a new configuration, cell owner or evacuation */
} WlControl;

/**
 * wl_control_create() - creates a control replica
 * @settings: node settings; must outlive the replica
 * @stored: durable state; copied
 * @now_us: monotonic time
 * @out: receives the replica, also with WL_ERROR_CORRUPT
 *
 * Return: WL_OK, WL_ERROR_NO_MEMORY, or WL_ERROR_CORRUPT when the stored
 * snapshot cannot be decoded.
 */
WlError wl_control_create (const WlSettings *settings, const WlStoredState *stored, uint64_t now_us,
                           WlControl **out);

/**
 * wl_control_destroy() - frees a replica
 * @control: the replica, or NULL
 */
void wl_control_destroy (WlControl *control);

/**
 * wl_control_tick() - runs the timers: Raft, cell assignment, removal of members
 * @control: the replica
 * @event: gives the times
 * @fx: receives the effects
 */
void wl_control_tick (WlControl *control, const WlEvent *event, WlEffects *fx);

/**
 * wl_control_receive() - processes a message
 * @control: the replica
 * @from: sender
 * @message: the message
 * @event: gives the times
 * @fx: receives the effects
 *
 * Return: 1 when the message was for a control replica, otherwise 0.
 */
int wl_control_receive (WlControl *control, uint32_t from, const WlMessage *message,
                        const WlEvent *event, WlEffects *fx);

/**
 * wl_control_flush() - replicates proposals and applies what is committed
 * @control: the replica
 * @event: gives the times
 * @fx: receives the effects
 */
void wl_control_flush (WlControl *control, const WlEvent *event, WlEffects *fx);

/**
 * wl_control_lease_bound() - time from which on no lease of an entry can be valid
 * @control: the leader
 * @node: node id
 *
 * Takes leases granted by earlier leaders into account.
 *
 * Return: time on the leader's monotonic clock.
 */
uint64_t wl_control_lease_bound (const WlControl *control, uint32_t node);

#endif
