#include <inttypes.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"

/* What nodes tell each other about their work, and what follows from the membership here. */

enum
{
  WORK_MAX = 1024, /* work of one node in a whole list */
};

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
      if (wl_view_relays (host->membership->view, first->record.zone, wl_clock_now_us (), &relay, 1)
          == 1)
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
  if (!wl_view_is_mesh (host->membership->view))
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

/* ---- membership ---- */

static void
carry (void *data, const uint32_t *nodes, uint32_t n_nodes, const WlMessage *message)
{
  WlHost *host = data;
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  WlBytes bytes = wl_message_encode (message, pool);
  for (uint32_t i = 0; i < n_nodes; i++)
    wl_host_send_bytes (host, nodes[i], bytes);
  apr_pool_destroy (pool);
}

static void
describe (void *data, WlNodeStatus *s)
{
  WlHost *host = data;
  s->is_ready = (uint8_t)wl_host_is_ready (host);
  s->is_draining = host->stopping_us != 0;
  s->config_number = host->number;
  s->leader = 0;
  if (host->document != NULL)
    s->leader = wl_document_leader (host->document);
  else if (!wl_view_is_mesh (host->membership->view))
    s->leader = wl_roster_leader (host->roster, 1, wl_clock_now_us ());
}

static void
on_heard (void *data, WlRosterNode *node, uint64_t now_us)
{
  WlHost *host = data;
  const WlNodeStatus *s = &node->status;
  if (wl_membership_shares_accounts (host->membership, node))
    wl_log_eventf (WL2203_NODE_HEARD, "node=%u boot=%" PRIx64 " zone=%s disk=%u config=%" PRIu64,
                   s->node, s->boot, s->zone, s->has_disk, s->config_number);
  if (s->has_disk && host->document != NULL)
    wl_document_add_peer (host->document, s->node);
  wl_load_drop_node (host->load, s->node, s->boot, now_us);
  if (wl_membership_shares_accounts (host->membership, node))
    send_whole_work (host, s->node);
}

static void
on_told (void *data, const WlNodeStatus *s, int was_draining, uint64_t now_us)
{
  WlHost *host = data;
  const WlRosterNode *node = wl_roster_find (host->roster, s->node);
  if (s->is_draining && !was_draining && node != NULL
      && wl_membership_shares_accounts (host->membership, node))
    wl_log_eventf (WL2205_NODE_DRAINING, "node=%u", s->node);
  if (s->has_disk && host->document != NULL)
    wl_document_add_peer (host->document, s->node);
  wl_host_pull_from (host, s->node, s->config_number, now_us);
}

static void
on_lost (void *data, const WlRosterNode *node, uint64_t now_us)
{
  WlHost *host = data;
  if (wl_membership_shares_accounts (host->membership, node))
    wl_log_eventf (WL2204_NODE_LOST, "node=%u silent_ms=%" PRIu64, node->status.node,
                   (now_us - node->heard_us) / 1000);
  wl_load_drop_node (host->load, node->status.node, 0, now_us);
}

static void
on_endpoint (void *data, const WlEndpointRecord *record)
{
  WlHost *host = data;
  host->has_new_endpoints = 1;
  wl_log_eventf (
      record->is_draining || record->is_gone ? WL3002_ENDPOINT_LEAVING : WL3001_ENDPOINT_JOINED,
      "endpoint=%s service=%s zone=%s address=%u port=%u sequence=%" PRIu64 " age_ms=%" PRIu64,
      record->id, record->service, record->zone, record->address, record->port, record->sequence,
      record->age_us / 1000);
  if (record->is_draining || record->is_gone)
    wl_fetch_client_drop_idle (host->client, record->address, (uint16_t)record->port);
}

static uint32_t
list_loads (void *data, WlReportScope scope, uint64_t now_us, const WlPoolLoad **out)
{
  WlHost *host = data;
  uint32_t n_far;
  const WlPoolLoad *far = wl_load_far_pools (host->load, &n_far);
  uint32_t n = wl_load_pools (host->load, host->fleet, host->options.zone, now_us, host->pools,
                              WL_LOAD_POOLS_MAX);
  for (uint32_t i = 0; scope == WL_REPORT_ALL && i < n_far && n < WL_LOAD_POOLS_MAX; i++)
    host->pools[n++] = far[i];
  *out = host->pools;
  return n;
}

void
wl_host_join (WlHost *host)
{
  WlMembershipOptions options = {
    .node = host->options.node,
    .boot = host->boot,
    .front_port = host->options.front_port,
    .has_disk = host->options.data_folder[0] != '\0',
    .send = carry,
    .describe = describe,
    .heard = on_heard,
    .told = on_told,
    .lost = on_lost,
    .endpoint = on_endpoint,
    .loads = list_loads,
    .data = host,
  };
  memcpy (options.zone, host->options.zone, sizeof options.zone);
  host->membership = wl_membership_create (&options);
  host->roster = host->membership->roster;
  host->fleet = host->membership->fleet;
}

void
wl_host_register (WlHost *host, const WlEndpointRecord *record)
{
  wl_membership_register (host->membership, record, wl_clock_now_us ());
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
  if (work->node != 0 || wl_view_is_mesh (host->membership->view) || sender == NULL
      || wl_view_is_near (host->membership->view, sender))
    return;
  /* From another failure domain: the nodes of this one share the account. */
  WlMessage m = { .kind = WL_MESSAGE_WORK, .u.work = *work };
  m.u.work.node = from;
  wl_host_broadcast (host, &m);
}

static void
take_loads (WlHost *host, const WlReport *report)
{
  for (uint32_t i = 0; i < report->n_loads; i++)
    if (strcmp (report->loads[i].zone, host->options.zone) != 0)
      wl_load_take_pool (host->load, &report->loads[i]);
}

int
wl_host_gossip_receive (WlHost *host, uint32_t from, WlMessage *message, uint64_t now_us)
{
  if (message->kind == WL_MESSAGE_NODE_REPORT)
    take_loads (host, &message->u.node_report);
  if (wl_membership_receive (host->membership, from, message, now_us))
    return 1;
  switch (message->kind)
    {
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

void
wl_host_gossip_tick (WlHost *host, uint64_t now_us)
{
  wl_membership_tick (host->membership, host->options.seeds, host->options.n_seeds, now_us);
  wl_relay_set_nodes (host->relay, host->membership->n_alive);
  wl_load_set_domain (host->load,
                      wl_view_is_mesh (host->membership->view) ? "" : host->options.zone);
  settle_founders (host);
  repeat_whole_work (host, now_us);
  wl_host_save_files (host, now_us);
}
