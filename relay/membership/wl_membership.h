#ifndef WL_MEMBERSHIP_H
#define WL_MEMBERSHIP_H

#include "wl_view.h"

/*
 * A node's part in the membership of the system: the messages on nodes and
 * endpoints that it sends and takes. Without I/O: its owner carries the
 * messages, tells the time and acts on the events.
 */

enum
{
  WL_MEMBERSHIP_TICK_US = 100000, /* interval of wl_membership_tick() */
  WL_MEMBERSHIP_REPORT_INTERVAL_US
  = 40000, /* shortest time between reports: changes travel together */
  WL_MEMBERSHIP_LEAVE_REPEAT_US = 2500000, /* a leaving endpoint is told again for this long */
  WL_MEMBERSHIP_CONTACT_RETRY_US
  = 3000000, /* nodes that lose power together start within two seconds or so */
};

/**
 * struct WlMembershipOptions - a node and its owner
 * @node: node id
 * @boot: boot of the process
 * @zone: failure domain
 * @front_port: port for callers
 * @has_disk: the node can hold a control replica
 * @send: sends a message to @n_nodes nodes
 * @describe: sets what changes of this node's status: ready, draining, number and leader
 * @heard: a node was heard for the first time, after its restart or after silence
 * @told: a node itself, or a relay, has sent its status
 * @lost: a node is silent
 * @endpoint: a registration changed what is known
 * @data: passed to the functions
 */
typedef struct
{
  uint32_t node;
  uint64_t boot;
  char zone[WL_LABEL_SIZE];
  uint32_t front_port;
  uint8_t has_disk;
  void (*send) (void *data, const uint32_t *nodes, uint32_t n_nodes, const WlMessage *message);
  void (*describe) (void *data, WlNodeStatus *status);
  void (*heard) (void *data, WlRosterNode *node, uint64_t now_us);
  void (*told) (void *data, const WlNodeStatus *status, int was_draining, uint64_t now_us);
  void (*lost) (void *data, const WlRosterNode *node, uint64_t now_us);
  void (*endpoint) (void *data, const WlEndpointRecord *record);
  void *data;
} WlMembershipOptions;

/**
 * struct WlMembership - state of the membership at one node
 * @options: see WlMembershipOptions
 * @roster: the other nodes
 * @fleet: the endpoints
 * @view: who tells whom
 * @n_alive: nodes alive at the latest tick, this one included
 * @sequence: of the latest status or report
 * @status_us: when the status was last due
 * @reported_us: when the latest report was sent
 * @reported_scan: the scan that it followed
 * @has_changes: a report may be due before its interval is over
 * @full_requested: a subscriber has asked for everything
 * @announced_ready: readiness last told
 */
typedef struct
{
  WlMembershipOptions options;
  WlRoster *roster;
  WlFleet *fleet;
  WlView *view;
  uint32_t n_alive;
  uint64_t sequence;
  uint64_t status_us;
  uint64_t reported_us;
  uint64_t reported_scan;
  uint8_t has_changes;
  uint8_t full_requested;
  uint8_t announced_ready;
} WlMembership;

/** wl_membership_create() - creates the membership of a node that knows nobody */
WlMembership *wl_membership_create (const WlMembershipOptions *options);

/** wl_membership_destroy() - frees it with roster, fleet and view; accepts NULL */
void wl_membership_destroy (WlMembership *membership);

/** wl_membership_announce() - sends the status now: to all nodes of a small fleet, else the
 * contacts */
void wl_membership_announce (WlMembership *membership, uint64_t now_us);

/** wl_membership_receive() - takes a message on nodes or endpoints; returns 0 for others */
int wl_membership_receive (WlMembership *membership, uint32_t from, const WlMessage *message,
                           uint64_t now_us);

/**
 * wl_membership_tick() - statuses, lost nodes; every WL_MEMBERSHIP_TICK_US
 * @membership: the membership
 * @seeds: nodes named by the settings
 * @n_seeds: their number
 * @now_us: monotonic time
 */
void wl_membership_tick (WlMembership *membership, const uint32_t *seeds, uint32_t n_seeds,
                         uint64_t now_us);

/** wl_membership_flush() - sends the reports that are due; once a turn of the event loop */
void wl_membership_flush (WlMembership *membership, uint64_t now_us);

/** wl_membership_register() - takes an endpoint's registration and passes it on */
void wl_membership_register (WlMembership *membership, const WlEndpointRecord *record,
                             uint64_t now_us);

/** wl_membership_take_record() - takes what is known of an endpoint without passing it on */
void wl_membership_take_record (WlMembership *membership, const WlEndpointRecord *record,
                                uint64_t now_us);

/**
 * wl_membership_sharers() - nodes heard recently that keep accounts of the same endpoints
 * @membership: the membership
 * @now_us: monotonic time
 * @out: has room for WL_ROSTER_MAX nodes
 *
 * Return: the number of nodes.
 */
uint32_t wl_membership_sharers (const WlMembership *membership, uint64_t now_us, uint32_t *out);

/** wl_membership_shares_accounts() - whether a node keeps accounts of the same endpoints as this
 * one */
int wl_membership_shares_accounts (const WlMembership *membership, const WlRosterNode *node);

#endif
