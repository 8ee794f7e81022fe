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
  s->node = host->options.node;
  s->boot = host->boot;
  s->sequence = host->status_sequence;
  memcpy (s->zone, host->options.zone, sizeof s->zone);
  s->front_port = host->options.front_port;
  s->has_disk = host->document != NULL;
  s->is_ready = (uint8_t)wl_host_is_ready (host);
  s->is_draining = host->stopping_us != 0;
  s->config_number = host->number;
  s->leader = host->document != NULL ? wl_document_leader (host->document) : 0;
  s->known = known;
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    if (wl_roster_is_alive (&host->roster->nodes[i], now_us))
      known[s->n_known++].node = host->roster->nodes[i].status.node;
}

/* Sends the status to the nodes of the roster from position @first to before @end. */
static void
send_status_to (WlHost *host, uint32_t first, uint32_t end, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_NODE_STATUS };
  WlNodeId known[WL_ROSTER_MAX];
  host->status_sequence++;
  describe_self (host, &m.u.node_status, known, now_us);
  for (uint32_t i = first; i < end; i++)
    wl_host_send (host, host->roster->nodes[i].status.node, &m);
}

void
wl_host_send_status (WlHost *host, uint64_t now_us)
{
  host->status_us = now_us;
  host->was_ready = (uint8_t)wl_host_is_ready (host);
  send_status_to (host, 0, host->roster->n_nodes, now_us);
}

/* ---- endpoints ---- */

static void
send_records (WlHost *host, uint32_t node, WlEndpointRecord *records, uint32_t n)
{
  WlMessage m = { .kind = WL_MESSAGE_ENDPOINTS };
  m.u.endpoints.records = records;
  m.u.endpoints.n_records = n;
  if (node != 0)
    wl_host_send (host, node, &m);
  else
    wl_host_broadcast (host, &m);
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
          || now_us > e->changed_us + WL_HOST_REPEAT_US)
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
  wl_host_take_record (host, record, wl_clock_now_us ());
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

static void
on_status (WlHost *host, const WlNodeStatus *s, uint64_t now_us)
{
  WlRosterNode *known = wl_roster_find (host->roster, s->node);
  int is_new = known == NULL || known->heard_us == 0 || known->status.boot != s->boot;
  int was_draining = known != NULL && known->status.is_draining;
  uint32_t n_met = host->roster->n_nodes;
  if (!wl_roster_hear (host->roster, s, now_us))
    return;
  /* Those that it names are met at once, not with the next status. */
  if (host->roster->n_nodes > n_met)
    send_status_to (host, n_met, host->roster->n_nodes, now_us);
  known = wl_roster_find (host->roster, s->node);
  if (is_new || known->is_lost)
    {
      wl_log_eventf (WL2203_NODE_HEARD, "node=%u boot=%" PRIx64 " zone=%s disk=%u config=%" PRIu64,
                     s->node, s->boot, s->zone, s->has_disk, s->config_number);
      wl_load_drop_node (host->load, s->node, s->boot, now_us);
      uint32_t i = (uint32_t)(known - host->roster->nodes);
      send_status_to (host, i, i + 1, now_us);
      send_all_records (host, s->node, now_us);
      send_whole_work (host, s->node);
      known->is_lost = 0;
    }
  if (s->is_draining && !was_draining)
    wl_log_eventf (WL2205_NODE_DRAINING, "node=%u", s->node);
  if (s->has_disk && host->document != NULL)
    wl_document_add_peer (host->document, s->node);
  wl_host_pull_from (host, s->node, s->config_number, now_us);
}

int
wl_host_gossip_receive (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us)
{
  switch (message->kind)
    {
    case WL_MESSAGE_NODE_STATUS:
      on_status (host, &message->u.node_status, now_us);
      return 1;
    case WL_MESSAGE_ENDPOINTS:
      for (uint32_t i = 0; i < message->u.endpoints.n_records; i++)
        wl_host_take_record (host, &message->u.endpoints.records[i], now_us);
      return 1;
    case WL_MESSAGE_SUSPICION:
      on_suspicion (host, from, &message->u.suspicion, now_us);
      return 1;
    case WL_MESSAGE_WORK:
      if (message->u.work.is_whole)
        {
          wl_load_take_whole (host->load, from, &message->u.work, now_us);
          return 1;
        }
      for (uint32_t i = 0; i < message->u.work.n_notes; i++)
        wl_load_learn (host->load, host->fleet, from, message->u.work.boot,
                       &message->u.work.notes[i], now_us);
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
          continue;
        }
      if (n->heard_us == 0 || n->is_lost)
        continue;
      n->is_lost = 1;
      wl_log_eventf (WL2204_NODE_LOST, "node=%u silent_ms=%" PRIu64, n->status.node,
                     (now_us - n->heard_us) / 1000);
      wl_load_drop_node (host->load, n->status.node, 0, now_us);
    }
  wl_relay_set_nodes (host->relay, n_alive);
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

void
wl_host_gossip_tick (WlHost *host, uint64_t now_us)
{
  for (uint32_t i = 0; i < host->options.n_seeds; i++)
    wl_roster_meet (host->roster, host->options.seeds[i], now_us);
  note_lost_nodes (host, now_us);
  settle_founders (host);
  repeat_whole_work (host, now_us);
  wl_host_save_files (host, now_us);
  if (now_us < host->status_us + WL_ROSTER_STATUS_US && host->was_ready == wl_host_is_ready (host))
    {
      greet_unheard (host, now_us);
      return;
    }
  wl_host_send_status (host, now_us);
  repeat_leaving (host, now_us);
}
