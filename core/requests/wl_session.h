#ifndef WL_SESSION_H
#define WL_SESSION_H

#include "wl_effects.h"

/*
 * An entry's session with the control group: its lease, the configuration in
 * force and the directory of nodes and cells. The entry applies only
 * increasing configuration numbers, and may admit requests only while its
 * lease is valid.
 */

typedef struct
{
  const WlSettings *settings;
  apr_pool_t *pool;
  uint64_t number;
  uint8_t *text; /* with a terminating zero */
  uint32_t text_size;
  WlServices *services;
  uint64_t lease_until_us;
  uint8_t lease_was_valid;
  uint64_t directory;
  WlMember *members;
  uint32_t n_members;
  WlCellLease *cells;
  uint32_t n_cells;
  uint32_t leader;
  uint32_t next_control;
  uint64_t sequence;
  uint64_t renew_us;
  uint8_t is_unanswered; /* the latest renewal has had no answer yet */
  uint8_t draining;
  uint8_t leaving;
  uint8_t want_text;
  uint64_t change; /* increases with each change of configuration or directory */
} WlSession;

/**
 * wl_session_init() - prepares a session
 * @session: zeroed session
 * @settings: node settings; must outlive the session
 */
void wl_session_init (WlSession *session, const WlSettings *settings);

/**
 * wl_session_clear() - frees what a session holds
 * @session: the session
 */
void wl_session_clear (WlSession *session);

/**
 * wl_session_tick() - renews the lease when due
 * @session: the session
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_session_tick (WlSession *session, uint64_t now_us, WlEffects *fx);

/**
 * wl_session_receive() - processes a message of the control group
 * @session: the session
 * @from: sender
 * @message: the message
 * @now_us: monotonic time
 * @fx: receives the effects
 *
 * Return: 1 when the message belongs to this module, otherwise 0.
 */
int wl_session_receive (WlSession *session, uint32_t from, const WlMessage *message,
                        uint64_t now_us, WlEffects *fx);

/**
 * wl_session_is_valid() - tells whether the lease is valid
 * @session: the session
 * @now_us: monotonic time
 *
 * Return: 1 or 0.
 */
int wl_session_is_valid (const WlSession *session, uint64_t now_us);

/**
 * wl_session_control() - control replica to send to
 * @session: the session
 *
 * Return: the leader when known, otherwise one of the replicas.
 */
uint32_t wl_session_control (const WlSession *session);

/**
 * wl_session_suspect_leader() - turns to another replica after a missing answer
 * @session: the session
 */
void wl_session_suspect_leader (WlSession *session);

/**
 * wl_session_find_cell() - looks up the owner of a cell
 * @session: the session
 * @service: service name
 * @shard: number of the cell
 *
 * Return: the cell, or NULL.
 */
const WlCellLease *wl_session_find_cell (const WlSession *session, const char *service,
                                         uint32_t shard);

/**
 * wl_session_find_member() - looks up a node
 * @session: the session
 * @node: node id
 *
 * Return: the node, or NULL.
 */
const WlMember *wl_session_find_member (const WlSession *session, uint32_t node);

#endif
