#ifndef WL_SESSION_H
#define WL_SESSION_H

#include "wl_effects.h"

/*
 * An entry's session with the control group: its lease, its configuration and
 * the directory of nodes and cell leases, all refreshed by periodic renewals.
 * An entry may admit requests only while its lease is valid. It applies
 * configurations only in increasing order of their numbers.
 */

/**
 * struct WlSession - a session with the control group
 * @config_number: number of the configuration that the entry applies, 0 for none
 * @config: that configuration as text, zero-terminated; @config_size without the zero
 * @services: the same, parsed
 * @directory_version: version of @members, @cells and @evacuations
 * @leader: control replica that is believed to lead, 0 for unknown
 * @next_control: index of the replica to try while the leader is unknown
 * @sequence: sequence of the latest renewal
 * @awaits_reply: the latest renewal is unanswered
 * @leaving: announces with the next renewal that the node leaves
 * @leave_sequence: sequence of the first renewal that announced it, 0 before
 * @has_left: the control group has replied to such a renewal
 * @wants_full_config: a delta did not apply, so the full configuration is requested
 * @generation: increases with each change of configuration, directory or lease validity
 */
typedef struct
{
  const WlSettings *settings;
  apr_pool_t *pool;
  uint64_t config_number;
  uint8_t *config;
  uint32_t config_size;
  WlServices *services;
  uint64_t lease_until_us;
  uint8_t lease_was_valid;
  uint64_t directory_version;
  WlMember *members;
  uint32_t n_members;
  WlCellLease *cells;
  uint32_t n_cells;
  WlEvacuation *evacuations;
  uint32_t n_evacuations;
  uint32_t leader;
  uint32_t next_control;
  uint64_t sequence;
  uint64_t next_renewal_us;
  uint8_t awaits_reply;
  uint8_t draining;
  uint8_t leaving;
  uint64_t leave_sequence;
  uint8_t has_left;
  uint8_t wants_full_config;
  uint64_t generation;
} WlSession;

/**
 * wl_session_init() - initialises a session
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
 * wl_session_is_valid() - whether the entry has a configuration and a valid lease
 * @session: the session
 * @now_us: monotonic time
 *
 * Return: 1 or 0.
 */
int wl_session_is_valid (const WlSession *session, uint64_t now_us);

/**
 * wl_session_control_node() - chooses the control replica to send to
 * @session: the session
 *
 * Return: node id of the leader when known, otherwise of one of the replicas; 0 when there is none.
 */
uint32_t wl_session_control_node (const WlSession *session);

/**
 * wl_session_suspect_leader() - switches to another replica after a missing reply
 * @session: the session
 */
void wl_session_suspect_leader (WlSession *session);

/**
 * wl_session_find_cell() - looks up the lease of a cell in the directory
 * @session: the session
 * @service: service name
 * @shard: number of the cell
 *
 * Return: the lease, or NULL; valid until the session changes.
 */
const WlCellLease *wl_session_find_cell (const WlSession *session, const char *service,
                                         uint32_t shard);

/**
 * wl_session_find_member() - looks up a node in the directory
 * @session: the session
 * @node: node id
 *
 * Return: the node, or NULL; valid until the session changes.
 */
const WlMember *wl_session_find_member (const WlSession *session, uint32_t node);

#endif
