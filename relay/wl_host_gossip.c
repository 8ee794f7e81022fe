#include <inttypes.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"

/* Load reports between nodes, and the callbacks that the host gives to WlMembership. */

enum
{
  FULL_REPORT_ITEMS_MAX = 4096, /* receivers compare each item with those that they hold */
  AWAIT_LOG_US = 4000000,       /* shortest interval of the lines on a missing configuration */
  FLEET_HEARD_US = 2000000,     /* from the first contact until a node has heard of its fleet */
};

/* ---- load reports ---- */

void
wl_host_report_work (void *host_data, const WlWorkItem *item)
{
  WlHost *host = host_data;
  if (host->n_work_items == WL_HOST_WORK_ITEMS_MAX)
    wl_host_flush_work (host);
  host->work_items[host->n_work_items++] = *item;
}

/*
 * Whether this node forwards load reports between failure domains, as the first
 * relay of each domain does. In a mesh this is not needed. In the largest fleets
 * it would take more than a node's share of processor time and bandwidth.
 */
static int
forwards_between_domains (const WlHost *host, uint64_t now_us)
{
  uint32_t first;
  const WlView *view = host->membership->view;
  return !wl_view_is_mesh (view) && host->membership->n_alive <= WL_VIEW_GLOBAL_LOAD_NODES_MAX
         && wl_view_relays (view, host->options.domain, now_us, &first, 1) == 1
         && first == host->options.node;
}

/* Copies the items on endpoints of a failure domain to @out; returns their number. */
static uint32_t
items_in_domain (const WlHost *host, const WlLoadReport *report, const char *domain,
                 WlWorkItem *out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < report->n_items && n < WL_HOST_WORK_ITEMS_MAX; i++)
    {
      const WlEndpoint *e = wl_fleet_find_key (host->fleet, report->items[i].endpoint);
      if (e != NULL && strcmp (e->record.domain, domain) == 0)
        out[n++] = report->items[i];
    }
  return n;
}

/*
 * In fleets whose load reports stay within a failure domain: reports work at
 * endpoints of another domain to the first relay there.
 */
static void
report_remote_work (WlHost *host, const WlLoadReport *report, uint64_t now_us)
{
  uint32_t relays[WL_VIEW_CONTACTS_MAX];
  WlWorkItem items[WL_HOST_WORK_ITEMS_MAX];
  WlMessage m = { .kind = WL_MESSAGE_LOAD_REPORTS };
  WlLoadReport part = { .boot = report->boot, .items = items, .node = host->options.node };
  if (items_in_domain (host, report, host->options.domain, items) == report->n_items)
    return; /* the usual case */
  uint32_t n = wl_view_remote_relays (host->membership->view, now_us, relays, WL_VIEW_CONTACTS_MAX);
  m.u.load_reports.reports = &part;
  m.u.load_reports.n_reports = 1;
  for (uint32_t i = 0; i < n; i++)
    {
      const WlRosterNode *node = wl_roster_find (host->roster, relays[i]);
      part.n_items = node != NULL ? items_in_domain (host, report, node->status.domain, items) : 0;
      if (part.n_items > 0)
        wl_host_send (host, relays[i], &m);
    }
}

/* Sends a report to the nodes that exchange load reports, and queues it for other domains. */
static void
send_report (WlHost *host, const WlLoadReport *report, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_LOAD_REPORT, .u.load_report = *report };
  wl_host_broadcast (host, &m);
  if (forwards_between_domains (host, now_us))
    wl_load_report_batch_add (&host->outbound_reports, host->options.node, report, now_us);
  else if (host->membership->n_alive > WL_VIEW_GLOBAL_LOAD_NODES_MAX && !report->is_full)
    report_remote_work (host, report, now_us);
}

static void
send_batch (WlHost *host, WlLoadReportBatch *batch, const uint32_t *nodes, uint32_t n_nodes)
{
  WlMessage m = { .kind = WL_MESSAGE_LOAD_REPORTS };
  m.u.load_reports.reports = batch->reports;
  m.u.load_reports.n_reports = batch->n_reports;
  wl_host_send_many (host, nodes, n_nodes, &m);
  wl_load_report_batch_clear (batch);
}

/* Lists the nodes of the own failure domain, also while the view is a mesh: what they get ends
   there. */
static uint32_t
list_domain_peers (const WlHost *host, uint64_t now_us, uint32_t *out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      const WlRosterNode *r = &host->roster->nodes[i];
      if (wl_roster_is_alive (r, now_us) && wl_view_in_own_domain (host->membership->view, r))
        out[n++] = r->status.node;
    }
  return n;
}

/* Sends the batches that have waited for the given times. */
static void
forward_reports (WlHost *host, uint64_t outbound_delay_us, uint64_t inbound_delay_us,
                 uint64_t now_us)
{
  uint32_t nodes[WL_ROSTER_MAX];
  uint32_t n = 0;
  if (wl_load_report_batch_is_due (&host->outbound_reports, outbound_delay_us, now_us))
    {
      n = wl_view_remote_relays (host->membership->view, now_us, nodes, WL_ROSTER_MAX);
      send_batch (host, &host->outbound_reports, nodes, n);
    }
  if (!wl_load_report_batch_is_due (&host->inbound_reports, inbound_delay_us, now_us))
    return;
  n = list_domain_peers (host, now_us, nodes);
  send_batch (host, &host->inbound_reports, nodes, n);
}

void
wl_host_forward_reports (WlHost *host, uint64_t now_us)
{
  forward_reports (host, 0, 0, now_us);
}

void
wl_host_flush_work (WlHost *host)
{
  uint64_t now_us = wl_clock_now_us ();
  if (host->n_work_items > 0)
    {
      WlLoadReport report
          = { .boot = host->boot_id, .items = host->work_items, .n_items = host->n_work_items };
      host->n_work_items = 0;
      send_report (host, &report, now_us);
    }
  forward_reports (host, WL_HOST_OUTBOUND_DELAY_US, WL_HOST_INBOUND_DELAY_US, now_us);
}

void
wl_host_report_ejection (void *host_data, const WlEndpoint *endpoint)
{
  WlMessage m = { .kind = WL_MESSAGE_SUSPICION };
  m.u.suspicion.endpoint = endpoint->key;
  m.u.suspicion.eject_us = endpoint->eject_us;
  wl_host_broadcast (host_data, &m);
}

void
wl_host_send_to_other_domains (WlHost *host, const WlMessage *message, uint64_t now_us)
{
  uint32_t relays[WL_VIEW_CONTACTS_MAX];
  uint32_t n = wl_view_remote_relays (host->membership->view, now_us, relays, WL_VIEW_CONTACTS_MAX);
  wl_host_send_many (host, relays, n, message);
}

int
wl_host_must_pass_on (const WlHost *host, uint32_t from, int is_passed_on)
{
  const WlView *view = host->membership->view;
  const WlRosterNode *sender = wl_roster_find (host->roster, from);
  return !is_passed_on && sender != NULL && sender->last_contact_us != 0 && !wl_view_is_mesh (view)
         && !wl_view_in_own_domain (view, sender);
}

/* Reports all work of this node to one node, or to all for 0. */
static void
send_full_report (WlHost *host, uint32_t node)
{
  static WlWorkItem items[FULL_REPORT_ITEMS_MAX + 1];
  WlMessage m = { .kind = WL_MESSAGE_LOAD_REPORT };
  wl_host_flush_work (host);
  m.u.load_report.boot = host->boot_id;
  m.u.load_report.is_full = 1;
  m.u.load_report.items = items;
  m.u.load_report.n_items
      = wl_load_list (host->load, host->options.node, items, FULL_REPORT_ITEMS_MAX + 1);
  if (m.u.load_report.n_items > FULL_REPORT_ITEMS_MAX)
    wl_log_eventf (WL2206_LOAD_REPORT_TOO_LARGE, "items_max=%d", FULL_REPORT_ITEMS_MAX);
  else if (node != 0)
    wl_host_send (host, node, &m);
  else
    send_report (host, &m.u.load_report, wl_clock_now_us ());
}

/* Anti-entropy: corrects what lost load reports have left wrong at other nodes. */
static void
resend_full_report (WlHost *host, uint64_t now_us)
{
  if (now_us < host->full_report_us + WL_HOST_FULL_REPORT_US)
    return;
  host->full_report_us = now_us;
  send_full_report (host, 0);
  wl_host_broadcast_quarantined (host, now_us);
  wl_host_send_limits (host, 0, now_us);
}

/* ---- membership ---- */

static void
send_message (void *data, const uint32_t *nodes, uint32_t n_nodes, const WlMessage *message)
{
  wl_host_send_many (data, nodes, n_nodes, message);
}

static void
fill_status (void *data, WlNodeStatus *s)
{
  WlHost *host = data;
  s->is_ready = (uint8_t)wl_host_is_ready (host);
  s->is_draining = host->stopping_us != 0;
  s->config_number = host->config_number;
  s->n_known = wl_relay_n_known (host->relay);
  s->leader = 0;
  if (wl_host_is_replica (host))
    s->leader = wl_config_store_leader (host->config_store);
  else if (!wl_view_is_mesh (host->membership->view))
    s->leader = wl_roster_leader (host->roster, 1, wl_clock_now_us ());
}

static void
on_node_joined (void *data, WlRosterNode *node, uint64_t now_us)
{
  WlHost *host = data;
  const WlNodeStatus *s = &node->status;
  if (wl_membership_is_load_peer (host->membership, node))
    wl_log_eventf (WL2203_NODE_HEARD, "node=%u boot=%" PRIx64 " zone=%s disk=%u config=%" PRIu64,
                   s->node, s->boot, s->domain, s->has_disk, s->config_number);
  if (s->has_disk && wl_host_is_replica (host))
    wl_config_store_add_peer (host->config_store, s->node, now_us);
  wl_load_drop_node (host->load, s->node, s->boot, now_us);
  if (wl_membership_is_load_peer (host->membership, node))
    {
      send_full_report (host, s->node);
      wl_host_send_parts (host, s->node, now_us);
      wl_host_send_limits (host, s->node, now_us);
    }
}

static void
on_status_received (void *data, const WlNodeStatus *s, int was_draining, uint64_t now_us)
{
  WlHost *host = data;
  const WlRosterNode *node = wl_roster_find (host->roster, s->node);
  if (s->is_draining && !was_draining && node != NULL
      && wl_membership_is_load_peer (host->membership, node))
    wl_log_eventf (WL2205_NODE_DRAINING, "node=%u", s->node);
  if (s->has_disk && wl_host_is_replica (host))
    wl_config_store_add_peer (host->config_store, s->node, now_us);
  wl_host_pull_config (host, s->node, s->config_number, now_us);
}

static void
on_node_lost (void *data, const WlRosterNode *node, uint64_t now_us)
{
  WlHost *host = data;
  if (wl_membership_is_load_peer (host->membership, node))
    wl_log_eventf (WL2204_NODE_LOST, "node=%u silent_ms=%" PRIu64, node->status.node,
                   (now_us - node->last_contact_us) / 1000);
  wl_load_drop_node (host->load, node->status.node, 0, now_us);
}

static void
on_endpoint_changed (void *data, const WlEndpointRecord *record)
{
  WlHost *host = data;
  host->has_new_endpoints = 1;
  wl_log_eventf (
      record->is_draining || record->has_left ? WL3002_ENDPOINT_LEAVING : WL3001_ENDPOINT_JOINED,
      "endpoint=%s service=%s zone=%s address=%u port=%u sequence=%" PRIu64 " age_ms=%" PRIu64,
      record->id, record->service, record->domain, record->address, record->port, record->sequence,
      record->age_us / 1000);
  if (record->is_draining || record->has_left)
    wl_fetch_client_drop_idle (host->client, record->address, (uint16_t)record->port);
}

void
wl_host_create_membership (WlHost *host)
{
  WlMembershipOptions options = {
    .node = host->options.node,
    .boot = host->boot_id,
    .client_port = host->options.client_port,
    .has_disk = host->options.data_folder[0] != '\0',
    .send = send_message,
    .describe = fill_status,
    .node_joined = on_node_joined,
    .status_received = on_status_received,
    .node_lost = on_node_lost,
    .endpoint_changed = on_endpoint_changed,
    .data = host,
  };
  memcpy (options.domain, host->options.domain, sizeof options.domain);
  host->membership = wl_membership_create (&options);
  host->roster = host->membership->roster;
  host->fleet = host->membership->fleet;
}

/*
 * Whether a registration belongs to a service of the configuration in force, or to an endpoint that
 * was registered for its service before. Of another one nothing is kept: at the address of a known
 * endpoint it would replace that endpoint.
 */
static int
names_known_service (const WlHost *host, const WlEndpointRecord *record)
{
  const WlRoutes *routes = wl_relay_routes (host->relay);
  const WlEndpoint *e = wl_fleet_find (host->fleet, record->id);
  if (routes == NULL || (e != NULL && strcmp (e->record.service, record->service) == 0))
    return 1;
  for (uint32_t i = 0; i < routes->n_services; i++)
    if (strcmp (routes->services[i].name, record->service) == 0)
      return 1;
  return 0;
}

void
wl_host_register (WlHost *host, const WlEndpointRecord *record)
{
  if (!names_known_service (host, record))
    {
      wl_log_eventf (WL3011_REGISTRATION_IGNORED, "endpoint=%s service=%s", record->id,
                     record->service);
      return;
    }
  wl_membership_register (host->membership, record, wl_clock_now_us ());
}

void
wl_host_unregister (WlHost *host, const char *id, uint64_t started_ms)
{
  WlEndpoint *e = wl_fleet_find (host->fleet, id);
  if (e == NULL || (started_ms != 0 && e->record.started_ms != started_ms))
    return; /* not registered, or with another start: this start gets no requests anyway */
  WlEndpointRecord record = e->record;
  record.has_left = 1;
  record.is_restored = 0; /* the endpoint itself says so: as valid as a registration */
  record.age_us = 0;
  wl_host_register (host, &record);
}

/* ---- receiving ---- */

static void
on_suspicion (WlHost *host, uint32_t from, const WlSuspicion *s, uint64_t now_us)
{
  WlEndpoint *e = wl_fleet_find_key (host->fleet, s->endpoint);
  if (e != NULL && wl_fleet_note_remote_ejection (e, s->eject_us, now_us))
    wl_log_eventf (WL3004_ENDPOINT_EJECTED,
                   "endpoint=%s reason=suspicion peer=%u until_ms=%" PRIu64, e->record.id, from,
                   (e->ejected_until_us - now_us) / 1000);
}

static void
apply_report (WlHost *host, uint32_t node, const WlLoadReport *report, uint64_t now_us)
{
  if (report->is_full)
    {
      wl_load_apply_full (host->load, node, report, now_us);
      wl_load_coverage_note (&host->load_coverage, node, report->boot);
    }
  else
    for (uint32_t i = 0; i < report->n_items; i++)
      wl_load_apply_and_learn (host->load, host->fleet, node, report->boot, &report->items[i],
                               now_us);
}

static void
on_report (WlHost *host, uint32_t from, const WlLoadReport *report, uint64_t now_us)
{
  if (report->asks_others)
    {
      wl_host_answer_load (host, from, now_us);
      return;
    }
  apply_report (host, from, report, now_us);
  if (forwards_between_domains (host, now_us))
    wl_load_report_batch_add (&host->outbound_reports, from, report, now_us);
}

/* Applies forwarded reports; queues those from another failure domain for the nodes of this one. */
static void
on_forwarded_reports (WlHost *host, uint32_t from, const WlLoadReports *reports, uint64_t now_us)
{
  const WlRosterNode *sender = wl_roster_find (host->roster, from);
  int is_remote = sender != NULL && sender->last_contact_us != 0
                  && !wl_view_in_own_domain (host->membership->view, sender);
  for (uint32_t i = 0; i < reports->n_reports; i++)
    {
      const WlLoadReport *report = &reports->reports[i];
      if (report->node == host->options.node)
        continue;
      apply_report (host, report->node, report, now_us);
      if (is_remote)
        wl_load_report_batch_add (&host->inbound_reports, report->node, report, now_us);
    }
}

int
wl_host_gossip_receive (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us)
{
  if (wl_membership_receive (host->membership, from, message, now_us))
    return 1;
  switch (message->kind)
    {
    case WL_MESSAGE_SUSPICION:
      on_suspicion (host, from, &message->u.suspicion, now_us);
      return 1;
    case WL_MESSAGE_LOAD_REPORT:
      on_report (host, from, &message->u.load_report, now_us);
      return 1;
    case WL_MESSAGE_LOAD_REPORTS:
      on_forwarded_reports (host, from, &message->u.load_reports, now_us);
      return 1;
    case WL_MESSAGE_PART_REPORT:
      wl_host_receive_parts (host, from, message, now_us);
      return 1;
    default:
      return wl_host_receive_limits (host, from, message, now_us);
    }
}

/* ---- timers ---- */

static int
is_heard (const WlHost *host, uint32_t seed)
{
  const WlRosterNode *node = wl_roster_find (host->roster, seed);
  return seed == host->options.node || (node != NULL && node->last_contact_us != 0);
}

/*
 * A majority of the first start's seeds with a disk founds the group of config store replicas.
 * Until a seed is heard it counts as one with a disk. It may be no seed of today.
 */
static void
update_founders (WlHost *host, uint64_t now_us)
{
  uint32_t founders[WL_HOST_SEEDS_MAX];
  uint32_t n = 0;
  if (host->n_founders == 0 || host->config_number != 0 || !wl_host_is_replica (host))
    return;
  for (uint32_t i = 0; i < host->n_founders; i++)
    {
      uint32_t seed = host->founders[i];
      wl_roster_add (host->roster, seed, now_us);
      if (!is_heard (host, seed) || seed == host->options.node
          || wl_roster_find (host->roster, seed)->status.has_disk)
        founders[n++] = seed;
    }
  wl_config_store_set_founders (host->config_store, founders, n, now_us);
}

static int
is_seed (const WlHost *host, uint32_t node)
{
  for (uint32_t i = 0; i < host->options.n_seeds; i++)
    if (host->options.seeds[i] == node)
      return 1;
  return 0;
}

static void
log_unheard_seeds (const WlHost *host, uint64_t waited_us)
{
  uint32_t n_unheard = 0;
  for (uint32_t i = 0; i < host->options.n_seeds; i++)
    if (!is_heard (host, host->options.seeds[i]))
      {
        n_unheard++;
        wl_log_eventf (WL2112_CONFIG_AWAITED, "reason=seed_unheard seed=%u waited_ms=%" PRIu64,
                       host->options.seeds[i], waited_us / 1000);
      }
  for (uint32_t i = 0; i < host->n_founders; i++)
    if (!is_heard (host, host->founders[i]) && !is_seed (host, host->founders[i]))
      {
        n_unheard++;
        wl_log_eventf (WL2112_CONFIG_AWAITED,
                       "reason=first_seed_unheard seed=%u waited_ms=%" PRIu64, host->founders[i],
                       waited_us / 1000);
      }
  if (host->lacks_founders)
    wl_log_eventf (WL2112_CONFIG_AWAITED, "reason=first_seeds_unknown waited_ms=%" PRIu64,
                   waited_us / 1000);
  else if (n_unheard == 0)
    wl_log_eventf (WL2112_CONFIG_AWAITED, "reason=no_control_leader waited_ms=%" PRIu64,
                   waited_us / 1000);
}

/* Whether this node has had time to hear of its fleet. One that is its only seed is a fleet. */
static int
knows_fleet (WlHost *host, uint64_t now_us)
{
  if (host->roster->n_nodes == 0)
    return 1;
  if (host->first_contact_us == 0 && host->membership->n_alive > 1)
    host->first_contact_us = now_us;
  return host->first_contact_us != 0 && now_us >= host->first_contact_us + FLEET_HEARD_US;
}

/* Logs what a node waits for that knows no control leader, or is one that takes no changes yet. */
static void
log_awaited (WlHost *host, uint64_t now_us)
{
  uint32_t disks;
  uint32_t needed;
  uint32_t leader = wl_host_leader (host, now_us);
  uint64_t waited_us = now_us - host->started_us;
  uint64_t leaderless_us = host->leader_seen_us != 0 ? now_us - host->leader_seen_us : waited_us;
  if (leader != 0)
    host->leader_seen_us = now_us;
  if (host->stopping_us != 0 || waited_us < AWAIT_LOG_US
      || now_us < host->await_logged_us + AWAIT_LOG_US)
    return;
  if (leader == host->options.node && wl_host_is_replica (host)
      && wl_config_store_lacks_disks (host->config_store, &disks, &needed))
    wl_log_eventf (WL2112_CONFIG_AWAITED,
                   "reason=too_few_disks disks=%u needed=%u waited_ms=%" PRIu64, disks, needed,
                   waited_us / 1000);
  else if (leader == 0 && host->config_number == 0)
    log_unheard_seeds (host, waited_us);
  else if (leader == 0 && leaderless_us >= AWAIT_LOG_US)
    wl_log_eventf (WL2112_CONFIG_AWAITED, "reason=no_control_leader waited_ms=%" PRIu64,
                   leaderless_us / 1000);
  else
    return;
  host->await_logged_us = now_us;
}

/*
 * Saves endpoints again when one has become warm: a restarted node would take what was saved right
 * after its start for cold.
 */
static void
follow_cold (WlHost *host)
{
  uint32_t n_cold = wl_relay_n_cold (host->relay);
  host->has_new_endpoints |= n_cold != host->n_cold;
  host->n_cold = n_cold;
}

void
wl_host_gossip_tick (WlHost *host, uint64_t now_us)
{
  wl_membership_tick (host->membership, host->options.seeds, host->options.n_seeds, now_us);
  wl_relay_set_nodes (host->relay, host->membership->n_alive);
  wl_relay_note_nodes (host->relay, host->roster, host->options.seeds, host->options.n_seeds,
                       now_us);
  follow_cold (host);
  update_founders (host, now_us);
  log_awaited (host, now_us);
  if (knows_fleet (host, now_us))
    wl_relay_share_budgets (host->relay, host->roster->n_nodes + 1, now_us);
  resend_full_report (host, now_us);
  wl_host_start_tick (host, now_us);
  wl_host_save_files (host, now_us);
}
