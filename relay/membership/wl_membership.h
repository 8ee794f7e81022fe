#ifndef WL_MEMBERSHIP_H
#define WL_MEMBERSHIP_H

#include "wl_view.h"

/*
 * The membership protocol at one node: it sends and handles the messages about
 * nodes and endpoints. It does no I/O and reads no clock; its owner delivers the
 * messages, passes the time and handles the events.
 */

enum
{
  WL_MEMBERSHIP_TICK_US = 100000, /* interval of wl_membership_tick() */
  WL_MEMBERSHIP_REPORT_INTERVAL_US
  = 40000, /* shortest time between reports, which batches changes */
  WL_MEMBERSHIP_LEAVE_REPEAT_US
  = 2500000, /* the departure of an endpoint is repeated for this long */
  /* A new node is contacted at each tick for so long: nodes that lose power together start
     within about two seconds. */
  WL_MEMBERSHIP_CONTACT_RETRY_US = 3000000,
  /* Time for which a restored endpoint is used without a registration: two of their intervals. */
  WL_MEMBERSHIP_RESTORED_US = 2500000,
};

/**
 * struct WlMembershipOptions - identity of a node and callbacks to its owner
 * @node: node id
 * @boot: boot of the process
 * @domain: failure domain
 * @client_port: port for callers
 * @has_disk: the node can hold a control replica
 * @send: sends a message to @n_nodes nodes
 * @describe: fills in the variable fields of this node's status: is_ready, is_draining,
 *   config_number and leader
 * @node_joined: first contact to a node, or the first after its restart or its loss
 * @status_received: a new status arrived from a node, alone or in its report;
 *   @was_draining: the status before had is_draining set
 * @node_lost: the contact to a node is lost
 * @endpoint_changed: a registration is new or changed an endpoint
 * @data: passed to the callbacks
 */
typedef struct
{
  uint32_t node;
  uint64_t boot;
  char domain[WL_LABEL_SIZE];
  uint32_t client_port;
  uint8_t has_disk;
  void (*send) (void *data, const uint32_t *nodes, uint32_t n_nodes, const WlMessage *message);
  void (*describe) (void *data, WlNodeStatus *status);
  void (*node_joined) (void *data, WlRosterNode *node, uint64_t now_us);
  void (*status_received) (void *data, const WlNodeStatus *status, int was_draining,
                           uint64_t now_us);
  void (*node_lost) (void *data, const WlRosterNode *node, uint64_t now_us);
  void (*endpoint_changed) (void *data, const WlEndpointRecord *record);
  void *data;
} WlMembershipOptions;

/**
 * struct WlMembership - state of the protocol at one node
 * @options: see WlMembershipOptions
 * @roster: the other nodes
 * @fleet: the endpoints
 * @view: what relays report, and to whom this node sends
 * @n_alive: nodes alive at the latest tick, this one included
 * @sequence: sequence of the latest status or report
 * @status_us: when the status was last due
 * @reported_us: when the latest report was sent
 * @reported_scan: the scan that it was written after
 * @has_changes: a report may be due before its interval has passed
 * @full_requested: a subscriber has requested a full report
 * @announced_ready: is_ready of the latest announcement
 * @started_us: the first time passed to it
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
  uint64_t started_us;
} WlMembership;

/** wl_membership_create() - creates a membership without other nodes; copies @options */
WlMembership *wl_membership_create (const WlMembershipOptions *options);

/** wl_membership_destroy() - frees it with roster, fleet and view; accepts NULL */
void wl_membership_destroy (WlMembership *membership);

/** wl_membership_announce() - sends the status to all nodes of a mesh or to the contacts */
void wl_membership_announce (WlMembership *membership, uint64_t now_us);

/** wl_membership_receive() - handles a message on nodes or endpoints; returns 0 for others */
int wl_membership_receive (WlMembership *membership, uint32_t from, const WlMessage *message,
                           uint64_t now_us);

/**
 * wl_membership_tick() - detects lost nodes and sends due statuses; every WL_MEMBERSHIP_TICK_US
 * @membership: the membership
 * @seeds: ids of nodes named by the settings
 * @n_seeds: their number
 * @now_us: monotonic time
 */
void wl_membership_tick (WlMembership *membership, const uint32_t *seeds, uint32_t n_seeds,
                         uint64_t now_us);

/** wl_membership_flush() - sends the reports that are due; once in each turn of the event loop */
void wl_membership_flush (WlMembership *membership, uint64_t now_us);

/** wl_membership_register() - applies a registration from its endpoint and forwards it */
void wl_membership_register (WlMembership *membership, const WlEndpointRecord *record,
                             uint64_t now_us);

/** wl_membership_apply_record() - applies a registration without forwarding it */
void wl_membership_apply_record (WlMembership *membership, const WlEndpointRecord *record,
                                 uint64_t now_us);

/**
 * wl_membership_restore() - applies endpoints that were saved before a restart
 * @membership: the membership
 * @records: the endpoints, @n_records of them; their age becomes that of a restored one
 * @n_records: their number
 * @now_us: monotonic time
 *
 * They are usable at once, and time out unless they register within two of their
 * intervals. Other nodes learn of them from this node's reports.
 */
void wl_membership_restore (WlMembership *membership, WlEndpointRecord *records, uint32_t n_records,
                            uint64_t now_us);

/**
 * wl_membership_load_peers() - nodes that are alive and exchange load reports with this node
 * @membership: the membership
 * @now_us: monotonic time
 * @out: receives up to WL_ROSTER_MAX node ids
 *
 * Return: the number of nodes.
 */
uint32_t wl_membership_load_peers (const WlMembership *membership, uint64_t now_us, uint32_t *out);

/** wl_membership_is_load_peer() - whether a node exchanges load reports with this one */
int wl_membership_is_load_peer (const WlMembership *membership, const WlRosterNode *node);

#endif
