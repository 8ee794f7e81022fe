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
 * Whether this node passes notes on work between failure domains: the first
 * relay by rank does. In the largest fleets that would take more than a node's
 * share of processor and link.
 */
static int
is_carrier (const WlHost *host, uint64_t now_us)
{
  uint32_t first;
  const WlView *view = host->membership->view;
  return !wl_view_is_mesh (view) && host->membership->n_alive <= WL_VIEW_SHARED_MAX
         && wl_view_relays (view, host->options.zone, now_us, &first, 1) == 1
         && first == host->options.node;
}

/* Keeps the notes of @work on endpoints of a failure domain in @out; returns their number. */
static uint32_t
notes_in_domain (const WlHost *host, const WlWork *work, const char *zone, WlWorkNote *out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < work->n_notes && n < WL_HOST_NOTES_MAX; i++)
    {
      const WlEndpoint *e = wl_fleet_find_key (host->fleet, work->notes[i].endpoint);
      if (e != NULL && strcmp (e->record.zone, zone) == 0)
        out[n++] = work->notes[i];
    }
  return n;
}

/*
 * Where work is not told to all: tells the first relay of each other failure
 * domain of the work at endpoints there.
 */
static void
tell_owners (WlHost *host, const WlWork *work, uint64_t now_us)
{
  uint32_t carriers[WL_VIEW_CONTACTS_MAX];
  WlWorkNote notes[WL_HOST_NOTES_MAX];
  WlMessage m = { .kind = WL_MESSAGE_WORKS };
  WlWork part = { .boot = work->boot, .notes = notes, .node = host->options.node };
  if (notes_in_domain (host, work, host->options.zone, notes) == work->n_notes)
    return; /* the usual case */
  uint32_t n = wl_view_carriers (host->membership->view, now_us, carriers, WL_VIEW_CONTACTS_MAX);
  m.u.works.works = &part;
  m.u.works.n_works = 1;
  for (uint32_t i = 0; i < n; i++)
    {
      const WlRosterNode *r = wl_roster_find (host->roster, carriers[i]);
      part.n_notes = r != NULL ? notes_in_domain (host, work, r->status.zone, notes) : 0;
      if (part.n_notes > 0)
        wl_host_send (host, carriers[i], &m);
    }
}

/* Tells the nodes of this failure domain, and for a carrier later those of the others. */
static void
tell_work (WlHost *host, const WlWork *work, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_WORK, .u.work = *work };
  wl_host_broadcast (host, &m);
  if (is_carrier (host, now_us))
    wl_work_batch_add (&host->work_out, host->options.node, work, now_us);
  else if (host->membership->n_alive > WL_VIEW_SHARED_MAX && !work->is_whole)
    tell_owners (host, work, now_us);
}

static void
send_batch (WlHost *host, WlWorkBatch *batch, const uint32_t *nodes, uint32_t n_nodes)
{
  WlMessage m = { .kind = WL_MESSAGE_WORKS };
  m.u.works.works = batch->works;
  m.u.works.n_works = batch->n_works;
  wl_host_send_to (host, nodes, n_nodes, &m);
  wl_work_batch_clear (batch);
}

/* Passes on what has waited long enough for company. */
static void
pass_work_on (WlHost *host, uint64_t now_us)
{
  uint32_t nodes[WL_ROSTER_MAX];
  uint32_t n = 0;
  if (wl_work_batch_is_due (&host->work_out, WL_HOST_WORK_OUT_US, now_us))
    {
      n = wl_view_carriers (host->membership->view, now_us, nodes, WL_ROSTER_MAX);
      send_batch (host, &host->work_out, nodes, n);
    }
  if (!wl_work_batch_is_due (&host->work_in, WL_HOST_WORK_IN_US, now_us))
    return;
  n = wl_membership_sharers (host->membership, now_us, nodes);
  send_batch (host, &host->work_in, nodes, n);
}

void
wl_host_flush_notes (WlHost *host)
{
  uint64_t now_us = wl_clock_now_us ();
  if (host->n_notes > 0)
    {
      WlWork work = { .boot = host->boot, .notes = host->notes, .n_notes = host->n_notes };
      host->n_notes = 0;
      tell_work (host, &work, now_us);
    }
  pass_work_on (host, now_us);
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
    tell_work (host, &m.u.work, wl_clock_now_us ());
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
  wl_host_send_to (data, nodes, n_nodes, message);
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
learn_work (WlHost *host, uint32_t node, const WlWork *work, uint64_t now_us)
{
  if (work->is_whole)
    wl_load_take_whole (host->load, node, work, now_us);
  else
    for (uint32_t i = 0; i < work->n_notes; i++)
      wl_load_learn (host->load, host->fleet, node, work->boot, &work->notes[i], now_us);
}

static void
on_work (WlHost *host, uint32_t from, const WlWork *work, uint64_t now_us)
{
  learn_work (host, from, work, now_us);
  if (is_carrier (host, now_us))
    wl_work_batch_add (&host->work_out, from, work, now_us);
}

/* From the carrier of another failure domain they go on to the nodes of this one. */
static void
on_works (WlHost *host, uint32_t from, const WlWorks *works, uint64_t now_us)
{
  const WlRosterNode *sender = wl_roster_find (host->roster, from);
  int is_far = sender != NULL && !wl_view_is_near (host->membership->view, sender);
  for (uint32_t i = 0; i < works->n_works; i++)
    {
      const WlWork *w = &works->works[i];
      if (w->node == host->options.node)
        continue;
      learn_work (host, w->node, w, now_us);
      if (is_far)
        wl_work_batch_add (&host->work_in, w->node, w, now_us);
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
    case WL_MESSAGE_WORK:
      on_work (host, from, &message->u.work, now_us);
      return 1;
    case WL_MESSAGE_WORKS:
      on_works (host, from, &message->u.works, now_us);
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
  settle_founders (host);
  repeat_whole_work (host, now_us);
  wl_host_save_files (host, now_us);
}
