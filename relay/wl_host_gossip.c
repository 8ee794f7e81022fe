#include <inttypes.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"

/* What nodes tell each other about themselves, the endpoints and their work. */

enum
{
  RECORDS_MAX = 128,  /* registrations in one message */
  WORK_MAX = 1024,    /* work of one node in a whole list */
  GREET_US = 3000000, /* nodes that lose power together start within two seconds or so */
};

/* @known has room for WL_ROSTER_MAX nodes and must last as long as @s. */
static void
describe_self (const WlHost *host, WlNodeStatus *s, WlNodeId *known, uint64_t now_us)
{
  memset (s, 0, sizeof *s);
  s->node = host->options.node;
  s->boot = host->boot;
  s->sequence = host->status_sequence;
  memcpy (s->zone, host->options.zone, sizeof s->zone);
  s->front_port = host->options.front_port;
  s->has_disk = host->document != NULL;
  s->is_ready = (uint8_t)wl_host_is_ready (host);
  s->is_draining = host->stopping_us != 0;
  s->config_number = host->number;
  if (host->document != NULL)
    s->leader = wl_document_leader (host->document);
  else if (!wl_view_is_mesh (host->view))
    s->leader = wl_roster_leader (host->roster, 1, now_us);
  s->known = known;
  for (uint32_t i = 0; known != NULL && i < host->roster->n_nodes; i++)
    if (wl_roster_is_alive (&host->roster->nodes[i], now_us))
      known[s->n_known++].node = host->roster->nodes[i].status.node;
}

/* Sends the status to one node of the roster. */
static void
send_status_as (WlHost *host, WlRosterNode *to, uint8_t subscription, WlNodeId *known,
                uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_NODE_STATUS };
  host->status_sequence++;
  describe_self (host, &m.u.node_status, known, now_us);
  m.u.node_status.subscription = subscription;
  to->sent_us = now_us;
  wl_host_send (host, to->status.node, &m);
}

/* Sends the status to the nodes of the roster from position @first to before @end. */
static void
send_status_to (WlHost *host, uint32_t first, uint32_t end, uint64_t now_us)
{
  WlNodeId known[WL_ROSTER_MAX];
  WlNodeId *names = wl_view_is_mesh (host->view) ? known : NULL;
  for (uint32_t i = first; i < end; i++)
    send_status_as (host, &host->roster->nodes[i], WL_SUBSCRIBE_NONE, names, now_us);
}

/* Sends the status to the contacts that have not had it for an interval, or to all of them. */
static void
send_to_contacts (WlHost *host, int is_all, uint64_t now_us)
{
  uint32_t contacts[WL_VIEW_CONTACTS_MAX];
  uint32_t n = wl_view_contacts (host->view, now_us, contacts);
  for (uint32_t i = 0; i < n; i++)
    {
      WlRosterNode *r = wl_roster_find (host->roster, contacts[i]);
      uint8_t subscription = wl_view_subscription (host->view, contacts[i], now_us);
      if (r != NULL && (is_all || now_us >= r->sent_us + WL_ROSTER_STATUS_US))
        send_status_as (host, r, subscription, NULL, now_us);
    }
}

void
wl_host_send_status (WlHost *host, uint64_t now_us)
{
  host->status_us = now_us;
  host->was_ready = (uint8_t)wl_host_is_ready (host);
  describe_self (host, &host->view->self, NULL, now_us);
  if (wl_view_is_mesh (host->view))
    send_status_to (host, 0, host->roster->n_nodes, now_us);
  else
    send_to_contacts (host, 1, now_us);
}

/* ---- reports ---- */

static void
add_loads (WlHost *host, WlReport *report, uint64_t now_us)
{
  uint32_t n_far;
  const WlPoolLoad *far = wl_load_far_pools (host->load, &n_far);
  uint32_t n = wl_load_pools (host->load, host->fleet, host->options.zone, now_us, host->pools,
                              WL_LOAD_POOLS_MAX);
  for (uint32_t i = 0; report->scope == WL_REPORT_ALL && i < n_far && n < WL_LOAD_POOLS_MAX; i++)
    host->pools[n++] = far[i];
  report->loads = host->pools;
  report->n_loads = n;
}

/* Whether a subscriber has asked for everything and not just been sent it. */
static int
is_owed_all (const WlRosterNode *r, uint64_t now_us)
{
  return r->status.subscription == WL_SUBSCRIBE_ALL
         && (r->whole_us == 0 || now_us > r->whole_us + WL_VIEW_WHOLE_US);
}

/*
 * Sends one report to all subscribers of a scope: the changes after scan
 * @since, or everything to those that have asked for it if that is 0.
 */
static void
send_report (WlHost *host, WlReportScope scope, uint64_t since, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_NODE_REPORT };
  WlBytes bytes = { NULL, 0 };
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      WlRosterNode *r = &host->roster->nodes[i];
      if (!wl_view_is_subscriber (r, now_us) || wl_view_scope (host->view, r) != scope
          || (since == 0 && !is_owed_all (r, now_us)))
        continue;
      if (bytes.data == NULL)
        {
          wl_view_report (host->view, scope, since, now_us, pool, &m.u.node_report);
          m.u.node_report.sender.sequence = ++host->status_sequence;
          add_loads (host, &m.u.node_report, now_us);
          bytes = wl_message_encode (&m, pool);
        }
      if (since == 0)
        {
          r->status.subscription = WL_SUBSCRIBE_REPORTS;
          r->whole_us = now_us;
        }
      wl_host_send_bytes (host, r->status.node, bytes);
    }
  apr_pool_destroy (pool);
}

void
wl_host_report (WlHost *host, uint64_t now_us)
{
  int is_periodic = now_us >= host->reported_us + WL_ROSTER_STATUS_US;
  int is_due = is_periodic || (host->has_news && now_us >= host->reported_us + WL_HOST_REPORT_US);
  if (!is_due && !host->wants_whole)
    return;
  describe_self (host, &host->view->self, NULL, now_us);
  uint64_t scan = wl_view_scan (host->view, now_us);
  if (host->wants_whole)
    {
      send_report (host, WL_REPORT_ALL, 0, now_us);
      send_report (host, WL_REPORT_DOMAIN, 0, now_us);
      host->wants_whole = 0;
    }
  if (!is_due)
    return;
  host->has_news = 0;
  if (!is_periodic && host->view->changed_scan <= host->reported_scan)
    return;
  uint64_t since = host->reported_scan > 0 ? host->reported_scan : 1;
  host->reported_us = now_us;
  host->reported_scan = scan;
  send_report (host, WL_REPORT_ALL, since, now_us);
  send_report (host, WL_REPORT_DOMAIN, since, now_us);
}

static void
introduce (WlHost *host, uint32_t node, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_NODE_REPORT };
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  describe_self (host, &host->view->self, NULL, now_us);
  wl_view_introduce (host->view, now_us, pool, &m.u.node_report);
  m.u.node_report.sender.sequence = ++host->status_sequence;
  wl_host_send (host, node, &m);
  apr_pool_destroy (pool);
}

/* ---- endpoints ---- */

/* Sends a message to the relays of this node's failure domain. */
static void
send_to_relays (WlHost *host, const WlMessage *message)
{
  uint32_t relays[WL_VIEW_RELAYS];
  uint32_t n
      = wl_view_relays (host->view, host->options.zone, wl_clock_now_us (), relays, WL_VIEW_RELAYS);
  for (uint32_t i = 0; i < n; i++)
    if (relays[i] != host->options.node)
      wl_host_send (host, relays[i], message);
}

static void
send_records (WlHost *host, uint32_t node, WlEndpointRecord *records, uint32_t n)
{
  WlMessage m = { .kind = WL_MESSAGE_ENDPOINTS };
  m.u.endpoints.records = records;
  m.u.endpoints.n_records = n;
  if (node != 0)
    wl_host_send (host, node, &m);
  else if (wl_view_is_mesh (host->view))
    wl_host_broadcast (host, &m);
  else
    send_to_relays (host, &m);
}

/* A node that has just started learns all endpoints at once. */
static void
send_all_records (WlHost *host, uint32_t node, uint64_t now_us)
{
  WlEndpointRecord records[RECORDS_MAX];
  uint32_t n = 0;
  for (uint32_t i = 0; i < host->fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &host->fleet->endpoints[i];
      records[n] = e->record;
      records[n].age_us = now_us - e->heard_us;
      if (++n == RECORDS_MAX)
        {
          send_records (host, node, records, n);
          n = 0;
        }
    }
  if (n > 0)
    send_records (host, node, records, n);
}

void
wl_host_take_record (WlHost *host, const WlEndpointRecord *record, uint64_t now_us)
{
  int result = wl_fleet_take (host->fleet, record, now_us);
  if (result <= 0)
    return;
  host->has_new_endpoints = 1;
  host->has_news = 1;
  wl_log_eventf (
      record->is_draining || record->is_gone ? WL3002_ENDPOINT_LEAVING : WL3001_ENDPOINT_JOINED,
      "endpoint=%s service=%s zone=%s address=%u port=%u sequence=%" PRIu64 " age_ms=%" PRIu64,
      record->id, record->service, record->zone, record->address, record->port, record->sequence,
      record->age_us / 1000);
  if (record->is_draining || record->is_gone)
    wl_fetch_client_drop_idle (host->client, record->address, (uint16_t)record->port);
}

/* A node that missed that an endpoint leaves must not send to it for longer than allowed. */
static void
repeat_leaving (WlHost *host, uint64_t now_us)
{
  WlEndpointRecord records[RECORDS_MAX];
  uint32_t n = 0;
  for (uint32_t i = 0; i < host->fleet->n_endpoints && n < RECORDS_MAX; i++)
    {
      const WlEndpoint *e = &host->fleet->endpoints[i];
      if ((!e->record.is_draining && !e->record.is_gone)
          || now_us > e->changed_us + WL_HOST_REPEAT_US
          || (e->direct_us == 0 && !wl_view_is_mesh (host->view)))
        continue;
      records[n] = e->record;
      records[n++].age_us = now_us - e->heard_us;
    }
  if (n > 0)
    send_records (host, 0, records, n);
}

void
wl_host_register (WlHost *host, const WlEndpointRecord *record)
{
  WlEndpointRecord copy = *record;
  uint64_t now_us = wl_clock_now_us ();
  wl_host_take_record (host, record, now_us);
  wl_view_note_registration (host->view, record, now_us);
  send_records (host, 0, &copy, 1);
}

void
wl_host_leave (WlHost *host, const char *id, uint64_t born_ms)
{
  WlEndpoint *e = wl_fleet_find (host->fleet, id);
  if (e == NULL || (born_ms != 0 && e->record.born_ms != born_ms))
    return; /* nothing is sent to it anyway */
  WlEndpointRecord record = e->record;
  record.is_gone = 1;
  record.age_us = 0;
  wl_host_register (host, &record);
}

/* ---- work ---- */

void
wl_host_tell (void *host_data, const WlWorkNote *note)
{
  WlHost *host = host_data;
  if (host->n_notes == WL_HOST_NOTES_MAX)
    wl_host_flush_notes (host);
  host->notes[host->n_notes++] = *note;
}

/*
 * Tells a relay of another failure domain of the work at its engines, whose
 * accounts the nodes there keep.
 */
static void
tell_far_notes (WlHost *host)
{
  WlMessage m = { .kind = WL_MESSAGE_WORK };
  WlWorkNote notes[WL_HOST_NOTES_MAX];
  uint8_t is_told[WL_HOST_NOTES_MAX] = { 0 };
  m.u.work.boot = host->boot;
  m.u.work.notes = notes;
  for (uint32_t i = 0; i < host->n_notes; i++)
    {
      const WlEndpoint *first = wl_fleet_find_key (host->fleet, host->notes[i].endpoint);
      uint32_t relay;
      if (is_told[i] || first == NULL || strcmp (first->record.zone, host->options.zone) == 0)
        continue;
      m.u.work.n_notes = 0;
      for (uint32_t k = i; k < host->n_notes; k++)
        {
          const WlEndpoint *e = wl_fleet_find_key (host->fleet, host->notes[k].endpoint);
          if (e == NULL || strcmp (e->record.zone, first->record.zone) != 0)
            continue;
          is_told[k] = 1;
          notes[m.u.work.n_notes++] = host->notes[k];
        }
      if (wl_view_relays (host->view, first->record.zone, wl_clock_now_us (), &relay, 1) == 1)
        wl_host_send (host, relay, &m);
    }
}

void
wl_host_flush_notes (WlHost *host)
{
  WlMessage m = { .kind = WL_MESSAGE_WORK };
  if (host->n_notes == 0)
    return;
  m.u.work.boot = host->boot;
  m.u.work.notes = host->notes;
  m.u.work.n_notes = host->n_notes;
  wl_host_broadcast (host, &m);
  if (!wl_view_is_mesh (host->view))
    tell_far_notes (host);
  host->n_notes = 0;
}

void
wl_host_suspect (void *host_data, const WlEndpoint *endpoint)
{
  WlMessage m = { .kind = WL_MESSAGE_SUSPICION };
  m.u.suspicion.endpoint = endpoint->key;
  m.u.suspicion.eject_us = endpoint->eject_us;
  wl_host_broadcast (host_data, &m);
}

/* Lists all work of this node for one node, 0 for all. */
static void
send_whole_work (WlHost *host, uint32_t node)
{
  WlMessage m = { .kind = WL_MESSAGE_WORK };
  WlWorkNote notes[WORK_MAX];
  wl_host_flush_notes (host);
  m.u.work.boot = host->boot;
  m.u.work.is_whole = 1;
  m.u.work.notes = notes;
  m.u.work.n_notes = wl_load_list (host->load, host->options.node, notes, WORK_MAX);
  if (m.u.work.n_notes == WORK_MAX)
    return;
  if (node != 0)
    wl_host_send (host, node, &m);
  else
    wl_host_broadcast (host, &m);
}

/* Mends what lost notes have left behind at other nodes. */
static void
repeat_whole_work (WlHost *host, uint64_t now_us)
{
  if (now_us < host->work_us + WL_HOST_WORK_US)
    return;
  host->work_us = now_us;
  send_whole_work (host, 0);
}

/* ---- receiving ---- */

static void
on_suspicion (WlHost *host, uint32_t from, const WlSuspicion *s, uint64_t now_us)
{
  WlEndpoint *e = wl_fleet_find_key (host->fleet, s->endpoint);
  if (e != NULL && wl_fleet_note_suspicion (e, s->eject_us, now_us))
    wl_log_eventf (WL3004_ENDPOINT_EJECTED,
                   "endpoint=%s reason=suspicion peer=%u until_ms=%" PRIu64, e->record.id, from,
                   (e->ejected_until_us - now_us) / 1000);
}

/* Whether a node keeps accounts of the same endpoints as this one. */
static int
shares_accounts (const WlHost *host, const WlRosterNode *node)
{
  return wl_view_is_mesh (host->view) || wl_view_is_near (host->view, node);
}

/* A node was heard for the first time, after its restart or after silence. */
static void
greet_heard (WlHost *host, WlRosterNode *known, uint64_t now_us)
{
  const WlNodeStatus *s = &known->status;
  known->seen_boot = s->boot;
  known->is_lost = 0;
  if (shares_accounts (host, known))
    wl_log_eventf (WL2203_NODE_HEARD, "node=%u boot=%" PRIx64 " zone=%s disk=%u config=%" PRIu64,
                   s->node, s->boot, s->zone, s->has_disk, s->config_number);
  if (s->has_disk && host->document != NULL)
    wl_document_add_peer (host->document, s->node);
  wl_load_drop_node (host->load, s->node, s->boot, now_us);
  if (!wl_view_is_mesh (host->view))
    {
      if (wl_view_is_near (host->view, known))
        send_whole_work (host, s->node);
      return;
    }
  uint32_t i = (uint32_t)(known - host->roster->nodes);
  send_status_to (host, i, i + 1, now_us);
  send_all_records (host, s->node, now_us);
  send_whole_work (host, s->node);
}

/* Takes the status of a node from itself; NULL when it is old. */
static WlRosterNode *
hear (WlHost *host, const WlNodeStatus *s, uint64_t now_us)
{
  WlRosterNode *known = wl_roster_find (host->roster, s->node);
  int was_draining = known != NULL && known->status.is_draining;
  uint32_t n_met = host->roster->n_nodes;
  if (!wl_roster_hear (host->roster, s, now_us))
    return NULL;
  /* Those that it names are met at once, not with the next status. */
  if (host->roster->n_nodes > n_met && wl_view_is_mesh (host->view))
    send_status_to (host, n_met, host->roster->n_nodes, now_us);
  known = wl_roster_find (host->roster, s->node);
  if (known->seen_boot != s->boot || known->is_lost)
    greet_heard (host, known, now_us);
  if (s->is_draining && !was_draining && shares_accounts (host, known))
    wl_log_eventf (WL2205_NODE_DRAINING, "node=%u", s->node);
  wl_host_pull_from (host, s->node, s->config_number, now_us);
  host->has_news = 1;
  return known;
}

static void
on_status (WlHost *host, const WlNodeStatus *s, uint64_t now_us)
{
  WlRosterNode *known = hear (host, s, now_us);
  if (known == NULL)
    return;
  if (s->subscription == WL_SUBSCRIBE_ALL)
    host->wants_whole = 1;
  else if (s->subscription == WL_SUBSCRIBE_NONE && !wl_view_is_mesh (host->view))
    introduce (host, s->node, now_us);
}

static void
on_report (WlHost *host, const WlReport *report, uint64_t now_us)
{
  uint32_t n_met = host->roster->n_nodes;
  if (report->sender.node == host->options.node || report->scope >= WL_REPORT_SCOPES)
    return;
  if (hear (host, &report->sender, now_us) == NULL)
    return;
  for (uint32_t i = 0; i < report->n_endpoints; i++)
    wl_host_take_record (host, &report->endpoints[i], now_us);
  wl_view_take (host->view, report, now_us);
  for (uint32_t i = 0; i < report->n_loads; i++)
    if (strcmp (report->loads[i].zone, host->options.zone) != 0)
      wl_load_take_pool (host->load, &report->loads[i]);
  if (host->roster->n_nodes > n_met && !wl_view_is_mesh (host->view))
    send_to_contacts (host, 0, now_us);
}

/* Registrations from a node that reports here count as heard here. */
static void
on_records (WlHost *host, uint32_t from, const WlEndpoints *endpoints, uint64_t now_us)
{
  const WlRosterNode *sender = wl_roster_find (host->roster, from);
  for (uint32_t i = 0; i < endpoints->n_records; i++)
    {
      wl_host_take_record (host, &endpoints->records[i], now_us);
      if (wl_view_is_mesh (host->view) || (sender != NULL && wl_view_is_near (host->view, sender)))
        wl_view_note_registration (host->view, &endpoints->records[i], now_us);
    }
}

static void
on_work (WlHost *host, uint32_t from, WlWork *work, uint64_t now_us)
{
  uint32_t node = work->node != 0 ? work->node : from;
  const WlRosterNode *sender = wl_roster_find (host->roster, from);
  if (work->is_whole)
    {
      wl_load_take_whole (host->load, from, work, now_us);
      return;
    }
  for (uint32_t i = 0; i < work->n_notes; i++)
    wl_load_learn (host->load, host->fleet, node, work->boot, &work->notes[i], now_us);
  if (work->node != 0 || wl_view_is_mesh (host->view) || sender == NULL
      || wl_view_is_near (host->view, sender))
    return;
  /* From another failure domain: the nodes of this one share the account. */
  WlMessage m = { .kind = WL_MESSAGE_WORK, .u.work = *work };
  m.u.work.node = from;
  wl_host_broadcast (host, &m);
}

int
wl_host_gossip_receive (WlHost *host, uint32_t from, WlMessage *message, uint64_t now_us)
{
  switch (message->kind)
    {
    case WL_MESSAGE_NODE_STATUS:
      on_status (host, &message->u.node_status, now_us);
      return 1;
    case WL_MESSAGE_NODE_REPORT:
      on_report (host, &message->u.node_report, now_us);
      return 1;
    case WL_MESSAGE_ENDPOINTS:
      on_records (host, from, &message->u.endpoints, now_us);
      return 1;
    case WL_MESSAGE_SUSPICION:
      on_suspicion (host, from, &message->u.suspicion, now_us);
      return 1;
    case WL_MESSAGE_WORK:
      on_work (host, from, &message->u.work, now_us);
      return 1;
    default:
      return 0;
    }
}

/* ---- time ---- */

static void
note_lost_nodes (WlHost *host, uint64_t now_us)
{
  uint32_t n_alive = 1;
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      WlRosterNode *n = &host->roster->nodes[i];
      if (wl_roster_is_alive (n, now_us))
        {
          n_alive++;
          /* Known from a report only: it has not sent a status here. */
          if (n->seen_boot != n->status.boot || n->is_lost)
            greet_heard (host, n, now_us);
          continue;
        }
      if (n->heard_us == 0 || n->is_lost)
        continue;
      n->is_lost = 1;
      if (shares_accounts (host, n))
        wl_log_eventf (WL2204_NODE_LOST, "node=%u silent_ms=%" PRIu64, n->status.node,
                       (now_us - n->heard_us) / 1000);
      wl_load_drop_node (host->load, n->status.node, 0, now_us);
    }
  wl_relay_set_nodes (host->relay, n_alive);
  wl_load_set_domain (host->load, wl_view_is_mesh (host->view) ? "" : host->options.zone);
  if (n_alive == 1)
    wl_fleet_keep (host->fleet, now_us);
}

/* The nodes that may found the group are the seeds with disks, known once all seeds were heard. */
static void
settle_founders (WlHost *host)
{
  uint32_t founders[WL_HOST_SEEDS_MAX];
  uint32_t n = 0;
  int has_self = 0;
  if (host->has_founders || !host->may_found || host->document == NULL)
    return;
  for (uint32_t i = 0; i < host->options.n_seeds; i++)
    {
      uint32_t seed = host->options.seeds[i];
      const WlRosterNode *node = wl_roster_find (host->roster, seed);
      if (seed == host->options.node)
        {
          has_self = 1;
          founders[n++] = seed;
          continue;
        }
      if (node == NULL || node->heard_us == 0)
        return;
      if (node->status.has_disk)
        founders[n++] = seed;
    }
  host->has_founders = 1;
  if (has_self)
    wl_document_set_founders (host->document, founders, n);
}

/* A node that was named and does not answer may be about to start: it is tried at each tick. */
static void
greet_unheard (WlHost *host, uint64_t now_us)
{
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      const WlRosterNode *n = &host->roster->nodes[i];
      if (n->heard_us == 0 && now_us < n->met_us + GREET_US)
        send_status_to (host, i, i + 1, now_us);
    }
}

static void
tick_large (WlHost *host, uint64_t now_us)
{
  uint32_t probed = wl_view_probe (host->view, host->options.seeds, host->options.n_seeds, now_us);
  WlRosterNode *r = probed != 0 ? wl_roster_find (host->roster, probed) : NULL;
  host->has_news = 1; /* silence is news too, and only time tells it */
  greet_unheard (host, now_us);
  if (r != NULL)
    send_status_as (host, r, WL_SUBSCRIBE_NONE, NULL, now_us);
  if (host->was_ready != wl_host_is_ready (host))
    wl_host_send_status (host, now_us);
  else
    send_to_contacts (host, 0, now_us);
  if (now_us >= host->status_us + WL_ROSTER_STATUS_US)
    {
      host->status_us = now_us;
      repeat_leaving (host, now_us);
    }
}

void
wl_host_gossip_tick (WlHost *host, uint64_t now_us)
{
  for (uint32_t i = 0; i < host->options.n_seeds; i++)
    wl_roster_meet (host->roster, host->options.seeds[i], now_us);
  note_lost_nodes (host, now_us);
  settle_founders (host);
  repeat_whole_work (host, now_us);
  wl_host_save_files (host, now_us);
  wl_view_expire (host->view, now_us);
  if (!wl_view_is_mesh (host->view))
    {
      tick_large (host, now_us);
      return;
    }
  if (now_us < host->status_us + WL_ROSTER_STATUS_US && host->was_ready == wl_host_is_ready (host))
    {
      greet_unheard (host, now_us);
      return;
    }
  wl_host_send_status (host, now_us);
  repeat_leaving (host, now_us);
}
