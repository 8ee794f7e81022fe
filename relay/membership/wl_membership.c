#include <stdlib.h>
#include <string.h>
#include "wl_membership.h"

enum
{
  RECORDS_MAX = 128,    /* registrations in one message */
  JOINING_US = 1000000, /* a node that has just started sends its status more often for so long */
  /* Restored endpoints expire unless they register within two of their intervals. */
  RESTORED_AGE_US = WL_FLEET_TIMEOUT_US - WL_MEMBERSHIP_RESTORED_US,
};

WlMembership *
wl_membership_create (const WlMembershipOptions *options)
{
  WlMembership *membership = calloc (1, sizeof *membership);
  if (membership == NULL)
    abort ();
  membership->options = *options;
  membership->n_alive = 1;
  membership->roster = wl_roster_create (options->node);
  membership->fleet = wl_fleet_create ();
  membership->view = wl_view_create (membership->roster, membership->fleet, options->boot);
  WlNodeStatus *self = &membership->view->self;
  self->node = options->node;
  self->boot = options->boot;
  memcpy (self->domain, options->domain, sizeof self->domain);
  self->client_port = options->client_port;
  self->has_disk = options->has_disk;
  return membership;
}

void
wl_membership_destroy (WlMembership *membership)
{
  if (membership == NULL)
    return;
  wl_view_destroy (membership->view);
  wl_fleet_destroy (membership->fleet);
  wl_roster_destroy (membership->roster);
  free (membership);
}

int
wl_membership_is_load_peer (const WlMembership *membership, const WlRosterNode *node)
{
  return wl_view_is_mesh (membership->view) || wl_view_in_own_domain (membership->view, node);
}

uint32_t
wl_membership_load_peers (const WlMembership *membership, uint64_t now_us, uint32_t *out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < membership->roster->n_nodes; i++)
    {
      const WlRosterNode *r = &membership->roster->nodes[i];
      if (wl_roster_is_alive (r, now_us) && wl_membership_is_load_peer (membership, r))
        out[n++] = r->status.node;
    }
  return n;
}

/* Updates this node's status, with the next sequence. */
static WlNodeStatus *
describe_self (WlMembership *membership)
{
  WlNodeStatus *self = &membership->view->self;
  self->sequence = ++membership->sequence;
  membership->options.describe (membership->options.data, self);
  return self;
}

static void
note_start (WlMembership *membership, uint64_t now_us)
{
  if (membership->started_us == 0)
    membership->started_us = now_us;
}

/* ---- statuses ---- */

/* Sends the status to one node, with the list @peers of nodes that are alive. */
static void
send_status (WlMembership *membership, WlRosterNode *to, uint8_t subscription, WlNodeId *peers,
             uint32_t n_peers, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_NODE_STATUS };
  m.u.node_status = *describe_self (membership);
  m.u.node_status.subscription = subscription;
  m.u.node_status.peers = peers;
  m.u.node_status.n_peers = n_peers;
  to->sent_us = now_us;
  membership->options.send (membership->options.data, &to->status.node, 1, &m);
}

/* Sends the status to the nodes at positions @first to @end - 1 of the roster. */
static void
send_status_range (WlMembership *membership, uint32_t first, uint32_t end, uint64_t now_us)
{
  WlNodeId peers[WL_VIEW_MESH_NODES_MAX];
  uint32_t n_peers = 0;
  for (uint32_t i = 0; wl_view_is_mesh (membership->view) && i < membership->roster->n_nodes; i++)
    if (wl_roster_is_alive (&membership->roster->nodes[i], now_us))
      peers[n_peers++].node = membership->roster->nodes[i].status.node;
  for (uint32_t i = first; i < end; i++)
    send_status (membership, &membership->roster->nodes[i], WL_SUBSCRIBE_NONE, peers, n_peers,
                 now_us);
}

/*
 * Interval of statuses to nodes that may not know that this one has started. It may take a large
 * fleet for a mesh until one of them answers, and its first contacts may have got a status that did
 * not subscribe to reports.
 */
static uint64_t
status_interval_us (const WlMembership *membership, uint64_t now_us)
{
  return now_us < membership->started_us + JOINING_US ? WL_MEMBERSHIP_TICK_US
                                                      : WL_ROSTER_STATUS_INTERVAL_US;
}

/* Sends the status to all contacts, or to those that did not get it for an interval. */
static void
send_to_contacts (WlMembership *membership, int ignore_interval, uint64_t now_us)
{
  uint32_t contacts[WL_VIEW_CONTACTS_MAX];
  uint32_t n = wl_view_contacts (membership->view, now_us, contacts);
  for (uint32_t i = 0; i < n; i++)
    {
      WlRosterNode *r = wl_roster_find (membership->roster, contacts[i]);
      uint8_t subscription = wl_view_subscription (membership->view, contacts[i], now_us);
      uint64_t interval_us = subscription == WL_SUBSCRIBE_WITH_FULL_REPORT
                                 ? status_interval_us (membership, now_us)
                                 : WL_ROSTER_STATUS_INTERVAL_US;
      if (r != NULL && (ignore_interval || now_us >= r->sent_us + interval_us))
        send_status (membership, r, subscription, NULL, 0, now_us);
    }
}

void
wl_membership_announce (WlMembership *membership, uint64_t now_us)
{
  membership->status_us = now_us;
  describe_self (membership);
  membership->announced_ready = membership->view->self.is_ready;
  if (wl_view_is_mesh (membership->view))
    send_status_range (membership, 0, membership->roster->n_nodes, now_us);
  else
    send_to_contacts (membership, 1, now_us);
}

/* ---- reports ---- */

/* Whether a subscriber has requested a full report and did not get one recently. */
static int
is_full_report_due (const WlRosterNode *r, uint64_t now_us)
{
  return r->status.subscription == WL_SUBSCRIBE_WITH_FULL_REPORT
         && (r->full_sent_us == 0 || now_us > r->full_sent_us + WL_VIEW_FULL_INTERVAL_US);
}

/*
 * Sends one report to the subscribers of a scope: the changes found after
 * @since_scan, or a full report to those that requested it if that is 0.
 */
static void
send_report (WlMembership *membership, WlReportScope scope, uint64_t since_scan, uint64_t now_us)
{
  uint32_t nodes[WL_ROSTER_MAX];
  uint32_t n = 0;
  WlMessage m = { .kind = WL_MESSAGE_NODE_REPORT };
  WlMembershipReport *report = &m.u.node_report;
  apr_pool_t *pool;
  for (uint32_t i = 0; i < membership->roster->n_nodes; i++)
    {
      WlRosterNode *r = &membership->roster->nodes[i];
      if (!wl_view_is_subscriber (r, now_us) || wl_view_scope (membership->view, r) != scope
          || (since_scan == 0 && !is_full_report_due (r, now_us)))
        continue;
      if (since_scan == 0)
        {
          r->status.subscription = WL_SUBSCRIBE_REPORTS;
          r->full_sent_us = now_us;
        }
      nodes[n++] = r->status.node;
    }
  if (n == 0)
    return;
  apr_pool_create (&pool, NULL);
  wl_view_report (membership->view, scope, since_scan, now_us, pool, report);
  report->sender.sequence = ++membership->sequence;
  membership->options.send (membership->options.data, nodes, n, &m);
  apr_pool_destroy (pool);
}

static int
has_subscribers (const WlMembership *membership, uint64_t now_us)
{
  for (uint32_t i = 0; i < membership->roster->n_nodes; i++)
    if (wl_view_is_subscriber (&membership->roster->nodes[i], now_us))
      return 1;
  return 0;
}

void
wl_membership_flush (WlMembership *membership, uint64_t now_us)
{
  int is_periodic = now_us >= membership->reported_us + WL_ROSTER_STATUS_INTERVAL_US;
  int is_due = is_periodic
               || (membership->has_changes
                   && now_us >= membership->reported_us + WL_MEMBERSHIP_REPORT_INTERVAL_US);
  if ((!is_due && !membership->full_requested) || !has_subscribers (membership, now_us))
    return;
  describe_self (membership);
  uint64_t scan = wl_view_scan (membership->view, now_us);
  if (membership->full_requested)
    {
      send_report (membership, WL_REPORT_ALL, 0, now_us);
      send_report (membership, WL_REPORT_DOMAIN, 0, now_us);
      membership->full_requested = 0;
    }
  if (!is_due)
    return;
  membership->has_changes = 0;
  if (!is_periodic && membership->view->changed_scan <= membership->reported_scan)
    return;
  uint64_t since_scan = membership->reported_scan > 0 ? membership->reported_scan : 1;
  membership->reported_us = now_us;
  membership->reported_scan = scan;
  send_report (membership, WL_REPORT_ALL, since_scan, now_us);
  send_report (membership, WL_REPORT_DOMAIN, since_scan, now_us);
}

static void
send_introduction (WlMembership *membership, uint32_t node, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_NODE_REPORT };
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  describe_self (membership);
  wl_view_write_introduction (membership->view, now_us, pool, &m.u.node_report);
  membership->options.send (membership->options.data, &node, 1, &m);
  apr_pool_destroy (pool);
}

/* ---- endpoints ---- */

/* Sends registrations to @node; if it is 0, to the mesh or the relays of the failure domain. */
static void
send_records (WlMembership *membership, uint32_t node, WlEndpointRecord *records,
              uint32_t n_records, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_ENDPOINTS };
  uint32_t nodes[WL_ROSTER_MAX];
  uint32_t n = 0;
  m.u.endpoints.records = records;
  m.u.endpoints.n_records = n_records;
  if (node != 0)
    nodes[n++] = node;
  else if (wl_view_is_mesh (membership->view))
    n = wl_membership_load_peers (membership, now_us, nodes);
  else
    {
      uint32_t relays[WL_VIEW_RELAYS];
      uint32_t n_relays = wl_view_relays (membership->view, membership->options.domain, now_us,
                                          relays, WL_VIEW_RELAYS);
      for (uint32_t i = 0; i < n_relays; i++)
        if (relays[i] != membership->options.node)
          nodes[n++] = relays[i];
    }
  if (n > 0)
    membership->options.send (membership->options.data, nodes, n, &m);
}

/* A node that has just started gets all endpoints at once. */
static void
send_all_records (WlMembership *membership, uint32_t node, uint64_t now_us)
{
  WlEndpointRecord records[RECORDS_MAX];
  uint32_t n = 0;
  for (uint32_t i = 0; i < membership->fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &membership->fleet->endpoints[i];
      if (e->record.is_restored && e->direct_contact_us == 0)
        continue; /* the nodes that have it in their files send it */
      records[n] = e->record;
      records[n].age_us = now_us - e->last_contact_us;
      if (++n == RECORDS_MAX)
        {
          send_records (membership, node, records, n, now_us);
          n = 0;
        }
    }
  if (n > 0)
    send_records (membership, node, records, n, now_us);
}

/* Repeats recent departures: a node that missed one must soon send no requests there. */
static void
repeat_departures (WlMembership *membership, uint64_t now_us)
{
  WlEndpointRecord records[RECORDS_MAX];
  uint32_t n = 0;
  for (uint32_t i = 0; i < membership->fleet->n_endpoints && n < RECORDS_MAX; i++)
    {
      const WlEndpoint *e = &membership->fleet->endpoints[i];
      if ((!e->record.is_draining && !e->record.has_left)
          || now_us > e->changed_us + WL_MEMBERSHIP_LEAVE_REPEAT_US || e->record.is_restored
          || (e->direct_contact_us == 0 && !wl_view_is_mesh (membership->view)))
        continue;
      records[n] = e->record;
      records[n++].age_us = now_us - e->last_contact_us;
    }
  if (n > 0)
    send_records (membership, 0, records, n, now_us);
}

void
wl_membership_apply_record (WlMembership *membership, const WlEndpointRecord *record,
                            uint64_t now_us)
{
  WlEndpointRecord copy = *record;
  /*
   * A node that has run for a while has heard the registrations of all endpoints that are there:
   * what a node that restarts has in its file and it has not heard is gone, and is not used again.
   */
  if (record->is_restored && copy.age_us < WL_FLEET_TIMEOUT_US
      && now_us >= membership->started_us + WL_MEMBERSHIP_RESTORED_US)
    copy.age_us = WL_FLEET_TIMEOUT_US;
  if (wl_fleet_apply (membership->fleet, &copy, now_us) <= 0)
    return;
  membership->has_changes = 1;
  membership->options.endpoint_changed (membership->options.data, record);
}

void
wl_membership_restore (WlMembership *membership, WlEndpointRecord *records, uint32_t n_records,
                       uint64_t now_us)
{
  note_start (membership, now_us);
  for (uint32_t i = 0; i < n_records; i++)
    {
      records[i].age_us = RESTORED_AGE_US;
      records[i].is_restored = 1;
      wl_membership_apply_record (membership, &records[i], now_us);
      wl_view_note_registration (membership->view, &records[i], now_us);
    }
}

void
wl_membership_register (WlMembership *membership, const WlEndpointRecord *record, uint64_t now_us)
{
  WlEndpointRecord copy = *record;
  if (!wl_fleet_is_valid (record))
    return;
  wl_membership_apply_record (membership, record, now_us);
  wl_view_note_registration (membership->view, record, now_us);
  send_records (membership, 0, &copy, 1, now_us);
}

/* ---- receiving ---- */

/* Handles the first contact to a node, or the first after its restart or its loss. */
static void
handle_join (WlMembership *membership, WlRosterNode *joined, uint64_t now_us)
{
  uint32_t i = (uint32_t)(joined - membership->roster->nodes);
  joined->joined_boot = joined->status.boot;
  joined->is_lost = 0;
  if (wl_view_is_mesh (membership->view))
    {
      send_status_range (membership, i, i + 1, now_us);
      send_all_records (membership, joined->status.node, now_us);
    }
  membership->options.node_joined (membership->options.data, joined, now_us);
}

/* Applies a status that arrived from its node; returns 0 when it is outdated. */
static int
apply_status (WlMembership *membership, const WlNodeStatus *s, uint64_t now_us)
{
  WlRosterNode *entry = wl_roster_find (membership->roster, s->node);
  int was_draining = entry != NULL && entry->status.is_draining;
  uint32_t n_before = membership->roster->n_nodes;
  if (!wl_roster_apply_status (membership->roster, s, now_us))
    return 0;
  membership->has_changes = 1;
  /* Nodes that it names are contacted at once, not with the next status. */
  if (membership->roster->n_nodes > n_before && wl_view_is_mesh (membership->view))
    send_status_range (membership, n_before, membership->roster->n_nodes, now_us);
  entry = wl_roster_find (membership->roster, s->node);
  if (entry->joined_boot != s->boot || entry->is_lost)
    handle_join (membership, entry, now_us);
  membership->options.status_received (membership->options.data, s, was_draining, now_us);
  return 1;
}

static void
on_status (WlMembership *membership, const WlNodeStatus *s, uint64_t now_us)
{
  int is_new = apply_status (membership, s, now_us);
  if (s->subscription == WL_SUBSCRIBE_WITH_FULL_REPORT)
    membership->full_requested = 1;
  else if (is_new && s->subscription == WL_SUBSCRIBE_NONE && !wl_view_is_mesh (membership->view))
    send_introduction (membership, s->node, now_us);
}

static void
on_report (WlMembership *membership, const WlMembershipReport *report, uint64_t now_us)
{
  uint32_t n_before = membership->roster->n_nodes;
  if (report->sender.node == membership->options.node || report->scope >= WL_REPORT_SCOPES)
    return;
  apply_status (membership, &report->sender, now_us);
  for (uint32_t i = 0; i < report->n_endpoints; i++)
    wl_membership_apply_record (membership, &report->endpoints[i], now_us);
  wl_view_apply (membership->view, report, now_us);
  if (membership->roster->n_nodes > n_before && !wl_view_is_mesh (membership->view))
    send_to_contacts (membership, 0, now_us);
}

/* Registrations forwarded by a node of the mesh or of the own domain are direct evidence. */
static void
on_records (WlMembership *membership, uint32_t from, const WlEndpoints *endpoints, uint64_t now_us)
{
  const WlRosterNode *sender = wl_roster_find (membership->roster, from);
  int is_direct = wl_view_is_mesh (membership->view)
                  || (sender != NULL && wl_view_in_own_domain (membership->view, sender));
  for (uint32_t i = 0; i < endpoints->n_records; i++)
    {
      wl_membership_apply_record (membership, &endpoints->records[i], now_us);
      if (is_direct && !endpoints->records[i].is_restored)
        wl_view_note_registration (membership->view, &endpoints->records[i], now_us);
    }
}

int
wl_membership_receive (WlMembership *membership, uint32_t from, const WlMessage *message,
                       uint64_t now_us)
{
  note_start (membership, now_us);
  switch (message->kind)
    {
    case WL_MESSAGE_NODE_STATUS:
      on_status (membership, &message->u.node_status, now_us);
      return 1;
    case WL_MESSAGE_NODE_REPORT:
      on_report (membership, &message->u.node_report, now_us);
      return 1;
    case WL_MESSAGE_ENDPOINTS:
      on_records (membership, from, &message->u.endpoints, now_us);
      return 1;
    default:
      return 0;
    }
}

/* ---- time ---- */

static void
update_liveness (WlMembership *membership, uint64_t now_us)
{
  membership->n_alive = 1;
  for (uint32_t i = 0; i < membership->roster->n_nodes; i++)
    {
      WlRosterNode *n = &membership->roster->nodes[i];
      if (wl_roster_is_alive (n, now_us))
        {
          membership->n_alive++;
          /* A report attests it; it has sent no status here. */
          if (n->joined_boot != n->status.boot || n->is_lost)
            handle_join (membership, n, now_us);
          continue;
        }
      if (n->last_contact_us == 0 || n->is_lost)
        continue;
      n->is_lost = 1;
      membership->options.node_lost (membership->options.data, n, now_us);
    }
  if (membership->n_alive == 1)
    wl_fleet_defer_timeouts (membership->fleet, now_us);
}

/* A node that was named and does not answer may be about to start. */
static void
contact_new_nodes (WlMembership *membership, uint64_t now_us)
{
  for (uint32_t i = 0; i < membership->roster->n_nodes; i++)
    {
      const WlRosterNode *n = &membership->roster->nodes[i];
      if (n->last_contact_us == 0 && now_us < n->added_us + WL_MEMBERSHIP_CONTACT_RETRY_US)
        send_status_range (membership, i, i + 1, now_us);
    }
}

static void
tick_large (WlMembership *membership, const uint32_t *seeds, uint32_t n_seeds, uint64_t now_us)
{
  uint32_t probed = wl_view_probe (membership->view, seeds, n_seeds, now_us);
  WlRosterNode *r = probed != 0 ? wl_roster_find (membership->roster, probed) : NULL;
  membership->has_changes = 1; /* a timeout is a change too */
  contact_new_nodes (membership, now_us);
  if (r != NULL)
    send_status (membership, r, WL_SUBSCRIBE_NONE, NULL, 0, now_us);
  send_to_contacts (membership, 0, now_us);
  if (now_us < membership->status_us + WL_ROSTER_STATUS_INTERVAL_US)
    return;
  membership->status_us = now_us;
  repeat_departures (membership, now_us);
}

void
wl_membership_tick (WlMembership *membership, const uint32_t *seeds, uint32_t n_seeds,
                    uint64_t now_us)
{
  note_start (membership, now_us);
  for (uint32_t i = 0; i < n_seeds; i++)
    wl_roster_add (membership->roster, seeds[i], now_us);
  update_liveness (membership, now_us);
  wl_view_expire (membership->view, now_us);
  describe_self (membership);
  if (membership->announced_ready != membership->view->self.is_ready)
    {
      wl_membership_announce (membership, now_us);
      return;
    }
  if (!wl_view_is_mesh (membership->view))
    tick_large (membership, seeds, n_seeds, now_us);
  else if (now_us < membership->status_us + status_interval_us (membership, now_us))
    contact_new_nodes (membership, now_us);
  else
    {
      wl_membership_announce (membership, now_us);
      repeat_departures (membership, now_us);
    }
}
