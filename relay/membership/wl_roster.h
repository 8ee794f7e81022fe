#ifndef WL_ROSTER_H
#define WL_ROSTER_H

#include "wl_message.h"

/*
 * The other nodes of the system. This node has contact to them directly or
 * through the relays of its failure domain (see wl_view.h). A node without
 * contact for WL_ROSTER_TIMEOUT_US is left out of the addresses given to callers.
 */

enum
{
  WL_ROSTER_STATUS_INTERVAL_US = 400000, /* heartbeat: a node sends its status so often */
  WL_ROSTER_TIMEOUT_US = 1300000,        /* three statuses missed */
  WL_ROSTER_EXPIRY_US = 20000000,        /* an unresponsive node is no longer contacted */
  WL_ROSTER_MAX = 512,                   /* nodes */
};

/**
 * struct WlReported - what the reports of this node say of a node or endpoint
 * @hash: hash of the reported fields, 0 while it is not in scope
 * @changed_scan: number of the scan that found @hash changed
 */
typedef struct
{
  uint64_t hash;
  uint64_t changed_scan;
} WlReported;

/**
 * struct WlRosterNode - one other node
 * @status: its latest status; @status.peers is not kept
 * @last_contact_us: latest evidence that it is alive, 0 for none
 * @added_us: when this node first learnt of it
 * @direct_contact_us: when a status last arrived here from the node itself, 0 for never
 * @direct_sequence: sequence of that status
 * @evidence_us: when any node last received a status directly from it, as far as reported here
 * @subscribed_us: when it last asked for reports
 * @subscribed_sequence: sequence of the status that did
 * @sent_us: when this node last sent it its status
 * @full_sent_us: when this node last sent it a full report
 * @joined_boot: boot whose join was handled, see WlMembershipOptions
 * @attested_by: relays that attest it; bits are positions in WlView.sources
 * @reported: what this node's reports say of it, by scope
 * @is_lost: its loss was handled
 */
typedef struct
{
  WlNodeStatus status;
  uint64_t last_contact_us;
  uint64_t added_us;
  uint64_t direct_contact_us;
  uint64_t direct_sequence;
  uint64_t evidence_us;
  uint64_t subscribed_us;
  uint64_t subscribed_sequence;
  uint64_t sent_us;
  uint64_t full_sent_us;
  uint64_t joined_boot;
  uint64_t attested_by;
  WlReported reported[WL_REPORT_INTRODUCTION];
  uint8_t is_lost;
} WlRosterNode;

/**
 * struct WlRoster - all other nodes
 * @self: id of this node
 * @nodes: the others, @n_nodes of them
 */
typedef struct
{
  uint32_t self;
  WlRosterNode nodes[WL_ROSTER_MAX];
  uint32_t n_nodes;
} WlRoster;

/** wl_roster_create() - creates the empty roster of node @self */
WlRoster *wl_roster_create (uint32_t self);

/** wl_roster_destroy() - frees a roster; accepts NULL */
void wl_roster_destroy (WlRoster *roster);

/** wl_roster_add() - finds or adds a node that may exist; NULL when full or for this node */
WlRosterNode *wl_roster_add (WlRoster *roster, uint32_t node, uint64_t now_us);

/** wl_roster_find() - entry of a node, owned by the roster; NULL when unknown */
WlRosterNode *wl_roster_find (WlRoster *roster, uint32_t node);

/**
 * wl_roster_apply_status() - applies a status that arrived from its node
 * @roster: the roster
 * @status: the status
 * @now_us: monotonic time
 *
 * Return: 1 when it is new, 0 when a later one has arrived or the roster is full.
 */
int wl_roster_apply_status (WlRoster *roster, const WlNodeStatus *status, uint64_t now_us);

/** wl_roster_is_alive() - whether there was contact to a node within WL_ROSTER_TIMEOUT_US */
int wl_roster_is_alive (const WlRosterNode *node, uint64_t now_us);

/** wl_roster_count_alive() - number of other nodes that are alive */
uint32_t wl_roster_count_alive (const WlRoster *roster, uint64_t now_us);

/** wl_roster_accepts_requests() - whether a node is alive, ready and not draining */
int wl_roster_accepts_requests (const WlRosterNode *node, uint64_t now_us);

/**
 * wl_roster_expire() - removes nodes without contact for WL_ROSTER_EXPIRY_US
 * @roster: the roster
 * @now_us: monotonic time
 */
void wl_roster_expire (WlRoster *roster, uint64_t now_us);

/**
 * wl_roster_leader() - control leader named by the nodes that are alive
 * @roster: the roster
 * @from_replicas: count only nodes with a disk; others name a leader at second hand, which
 *   must not be forwarded
 * @now_us: monotonic time
 *
 * Return: node id of the leader, 0 for none.
 */
uint32_t wl_roster_leader (const WlRoster *roster, int from_replicas, uint64_t now_us);

#endif
