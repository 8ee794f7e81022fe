#ifndef WL_ROSTER_H
#define WL_ROSTER_H

#include "wl_message.h"

/*
 * The nodes of the system as this node hears them. Every node sends its
 * status to every node that it knows, and to the seeds until it has heard
 * them; statuses name further nodes. A node that was not heard for
 * WL_ROSTER_SILENCE_US is left out of what callers are told.
 */

enum
{
  WL_ROSTER_STATUS_US = 400000,   /* interval of statuses */
  WL_ROSTER_SILENCE_US = 1300000, /* three statuses missed */
  WL_ROSTER_FORGET_US = 20000000, /* a silent node is no longer tried */
  WL_ROSTER_MAX = 512,            /* nodes */
};

/**
 * struct WlRosterNode - one other node
 * @status: its latest status; @status.known is not kept
 * @heard_us: when it arrived, 0 for never
 * @met_us: when the node was first named
 * @is_lost: it is considered silent
 */
typedef struct
{
  WlNodeStatus status;
  uint64_t heard_us;
  uint64_t met_us;
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
 * wl_roster_hear() - takes a status
 * @roster: the roster
 * @status: the status
 * @now_us: monotonic time
 *
 * Return: 1 when it is newer than what was known of the node.
 */
int wl_roster_hear (WlRoster *roster, const WlNodeStatus *status, uint64_t now_us);

/** wl_roster_is_alive() - whether a node was heard recently */
int wl_roster_is_alive (const WlRosterNode *node, uint64_t now_us);

/** wl_roster_takes_requests() - whether callers may be sent to a node */
int wl_roster_takes_requests (const WlRosterNode *node, uint64_t now_us);

/**
 * wl_roster_expire() - drops nodes that were silent for WL_ROSTER_FORGET_US
 * @roster: the roster
 * @now_us: monotonic time
 */
void wl_roster_expire (WlRoster *roster, uint64_t now_us);

/** wl_roster_leader() - control leader named by the nodes heard recently, 0 for none */
uint32_t wl_roster_leader (const WlRoster *roster, uint64_t now_us);

#endif
