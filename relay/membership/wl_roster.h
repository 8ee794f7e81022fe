#ifndef WL_ROSTER_H
#define WL_ROSTER_H

#include "wl_message.h"

/*
 * The nodes of the system as this node hears them, directly or through the
 * relays of its failure domain (see wl_view.h). A node that was not heard for
 * WL_ROSTER_TIMEOUT_US is left out of what callers are told.
 */

enum
{
  WL_ROSTER_STATUS_INTERVAL_US = 400000, /* interval of statuses */
  WL_ROSTER_TIMEOUT_US = 1300000,        /* three statuses missed */
  WL_ROSTER_EXPIRY_US = 20000000,        /* a silent node is no longer tried */
  WL_ROSTER_MAX = 512,                   /* nodes */
};

/**
 * struct WlReported - what the reports of this node say of a record
 * @hash: hash of its content, 0 while it is not in scope
 * @changed_scan: number of the scan that found @hash changed
 */
typedef struct
{
  uint64_t hash;
  uint64_t changed_scan;
} WlReported;

/**
 * struct WlRosterNode - one other node
 * @status: its latest status; @status.known is not kept
 * @heard_us: when it was last known to be there, 0 for never
 * @added_us: when the node was first named
 * @direct_contact_us: when a status of its own last arrived here, 0 for never
 * @direct_sequence: sequence of that status
 * @evidence_us: when @status arrived at the node that got it from there
 * @subscribed_us: when it last asked for reports
 * @subscribed_sequence: sequence of the status that did
 * @sent_us: when this node last sent it its status
 * @full_sent_us: when this node last sent it everything
 * @joined_boot: boot that this node has taken note of, 0 after a loss
 * @attested_by: relays that vouch for it, a bit a source of the view
 * @reported: what reports say of it, by scope
 * @is_lost: it is considered silent
 */
typedef struct
{
  WlNodeStatus status;
  uint64_t heard_us;
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

/** wl_roster_create() - creates a roster of a node */
WlRoster *wl_roster_create (uint32_t self);

/** wl_roster_destroy() - frees a roster; accepts NULL */
void wl_roster_destroy (WlRoster *roster);

/** wl_roster_meet() - notes that a node may exist; returns its record, NULL when full or self */
WlRosterNode *wl_roster_meet (WlRoster *roster, uint32_t node, uint64_t now_us);

/** wl_roster_find() - record of a node, NULL when unknown */
WlRosterNode *wl_roster_find (WlRoster *roster, uint32_t node);

/**
 * wl_roster_apply_status() - takes a status
 * @roster: the roster
 * @status: the status
 * @now_us: monotonic time
 *
 * Return: 1 when it is newer than what was known of the node.
 */
int wl_roster_apply_status (WlRoster *roster, const WlNodeStatus *status, uint64_t now_us);

/** wl_roster_is_alive() - whether a node was heard recently */
int wl_roster_is_alive (const WlRosterNode *node, uint64_t now_us);

/** wl_roster_count_alive() - number of nodes heard recently */
uint32_t wl_roster_count_alive (const WlRoster *roster, uint64_t now_us);

/** wl_roster_takes_requests() - whether callers may be sent to a node */
int wl_roster_takes_requests (const WlRosterNode *node, uint64_t now_us);

/**
 * wl_roster_expire() - drops nodes that were silent for WL_ROSTER_EXPIRY_US
 * @roster: the roster
 * @now_us: monotonic time
 */
void wl_roster_expire (WlRoster *roster, uint64_t now_us);

/**
 * wl_roster_leader() - control leader named by the nodes heard recently
 * @roster: the roster
 * @from_replicas: only what nodes with a disk say; what others say is hearsay and not passed on
 * @now_us: monotonic time
 *
 * Return: the leader, 0 for none.
 */
uint32_t wl_roster_leader (const WlRoster *roster, int from_replicas, uint64_t now_us);

#endif
