#ifndef WL_CONTROL_H
#define WL_CONTROL_H

#include "wl_raft.h"
#include "wl_state.h"

/*
 * Control replica: applies the log and, as leader, answers the entries.
 *
 * A lease is granted only after a quorum has answered a heartbeat round that
 * began after the request for it arrived (the read-index rule of the
 * dissertation cited in wl_raft.h, section 6.4). The lease runs from the
 * time at which the entry sent the request, on the entry's clock. A later
 * leader was therefore elected after the start of every lease that an earlier
 * leader granted, and waits WL_LEASE_US plus the drift bound from its election
 * before it gives away a cell whose owner it has not heard.
 */

enum
{
  WL_CONTROL_TICK_US = 100000,
  WL_MEMBER_TIMEOUT_US = 600000000, /* a node silent for this long is removed */
  WL_DELTAS_MAX = 32,               /* deltas in one reply; more behind gets the whole text */
};

/**
 * struct WlEntryRecord - the leader's view of one entry
 * @node: node id
 * @incarnation: incarnation in its latest renewal
 * @config_number: configuration that it has applied
 * @directory: directory version that it has
 * @heard_us: time of its latest renewal
 * @lease_until_us: no lease of the entry is valid after this time
 * @draining: it is stopping and owns no cell any more
 * @round: heartbeat round that must be confirmed before the reply, 0 for none
 * @sequence: sequence number of the unanswered renewal
 * @sent_us: its time on the entry's clock
 * @put_index: log index of its latest membership command
 */
typedef struct
{
  uint64_t node;
  uint64_t incarnation;
  uint64_t config_number;
  uint64_t directory;
  uint64_t heard_us;
  uint64_t lease_until_us;
  uint8_t draining;
  uint64_t round;
  uint64_t sequence;
  uint64_t sent_us;
  uint64_t put_index;
} WlEntryRecord;

/** struct WlPending - a proposal whose proposer waits for an answer */
typedef struct WlPending
{
  uint64_t index;
  WlCommandKind kind;
  uint64_t id;
  uint32_t node;
  uint64_t replaces;
  uint8_t digest[WL_DIGEST_SIZE];
  char customer[WL_LABEL_SIZE];
  char key[WL_KEY_SIZE];
  struct WlPending *next;
} WlPending;

typedef struct
{
  const WlSettings *settings;
  apr_pool_t *pool;
  WlRaft raft;
  WlState *state;
  WlServices *services; /* the current text, parsed */
  apr_hash_t *entries;  /* WlEntryRecord by node */
  WlPending *first_pending;
  WlPending *last_pending;
  uint64_t assign_index; /* log index of the latest cell assignment */
  uint64_t tick_us;
  uint64_t was_leader_term;
  uint8_t notify; /* entries are to be told of a new configuration or owner */
} WlControl;

/**
 * wl_control_create() - creates a control replica
 * @settings: node settings; must outlive the replica
 * @stored: durable state
 * @now_us: monotonic time
 * @out: receives the replica
 *
 * Return: WL_OK or WL_ERROR_CORRUPT.
 */
WlError wl_control_create (const WlSettings *settings, const WlStored *stored, uint64_t now_us,
                           WlControl **out);

/**
 * wl_control_destroy() - frees a replica
 * @control: the replica, or NULL
 */
void wl_control_destroy (WlControl *control);

/**
 * wl_control_tick() - lets time pass
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
 * wl_control_flush() - applies what is committed and replicates proposals
 * @control: the replica
 * @event: gives the times
 * @fx: receives the effects
 */
void wl_control_flush (WlControl *control, const WlEvent *event, WlEffects *fx);

/**
 * wl_control_lease_bound() - time after which an entry surely has no lease
 * @control: the leader
 * @node: node id
 *
 * Return: monotonic time of the leader.
 */
uint64_t wl_control_lease_bound (const WlControl *control, uint32_t node);

#endif
