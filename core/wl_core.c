#include <stdlib.h>
#include <string.h>
#include "wl_core.h"
#include "wl_events.h"
#include "wl_links.h"
#include "wl_model_loads.h"
#include "wl_outbox.h"
#include "wl_table.h"

enum
{
  ENTRY_LIST_WAIT_US = WL_ADDRESS_LIFETIME_US, /* callers may use a cached entry list */
  HANDOVER_MAX_US = 5000000, /* of a stopping node, e.g. when no control leader can be reached */
};

WlError
wl_core_create (const WlSettings *settings, const WlStoredState *stored, uint64_t now_us,
                WlCore **out)
{
  WlCore *core = calloc (1, sizeof *core);
  WlError error = WL_OK;
  if (core == NULL)
    return WL_ERROR_NO_MEMORY;
  core->settings = *settings;
  wl_session_init (&core->session, &core->settings);
  core->entry = wl_entry_create (&core->settings, &core->session);
  if (stored != NULL)
    error = wl_control_create (&core->settings, stored, now_us, &core->control);
  if (error != WL_OK)
    {
      wl_core_destroy (core);
      return error;
    }
  *out = core;
  return WL_OK;
}

void
wl_core_destroy (WlCore *core)
{
  if (core == NULL)
    return;
  while (core->cells != NULL)
    {
      WlCell *next = core->cells->next;
      wl_cell_destroy (core->cells);
      core->cells = next;
    }
  wl_entry_destroy (core->entry);
  wl_session_clear (&core->session);
  wl_control_destroy (core->control);
  free (core);
}

WlCell *
wl_core_find_cell (const WlCore *core, const char *service, uint32_t shard)
{
  for (WlCell *c = core->cells; c != NULL; c = c->next)
    if (c->lease.shard == shard && strcmp (c->lease.service, service) == 0)
      return c;
  return NULL;
}

int
wl_core_has_lease (const WlCore *core, uint64_t now_us)
{
  return wl_session_is_valid (&core->session, now_us);
}

void
wl_core_leave_group (WlCore *core)
{
  wl_control_destroy (core->control);
  core->control = NULL;
}

/* ---- cells owned by this node ---- */

/* Whether the directory lists this node as owner of a cell under the same fencing token. */
static int
is_owner_of (const WlCore *core, const WlCellLease *lease)
{
  const WlCellLease *current = wl_session_find_cell (&core->session, lease->service, lease->shard);
  return current != NULL && current->owner == core->settings.self.node
         && current->fence == lease->fence
         && wl_services_find (core->session.services, lease->service) != NULL;
}

static void
close_cells (WlCore *core, int all, WlEffects *fx)
{
  for (WlCell **slot = &core->cells; *slot != NULL;)
    {
      WlCell *c = *slot;
      if (!all && is_owner_of (core, &c->lease))
        {
          slot = &c->next;
          continue;
        }
      wl_effects_log (fx, WL2303_CELL_CLOSED, "service=%s shard=%u fence=%lu", c->lease.service,
                      c->lease.shard, (unsigned long)c->lease.fence);
      *slot = c->next;
      wl_cell_destroy (c);
    }
}

static void
open_cells (WlCore *core, uint64_t now_us, WlEffects *fx)
{
  for (uint32_t i = 0; i < core->session.n_cells; i++)
    {
      const WlCellLease *lease = &core->session.cells[i];
      if (!is_owner_of (core, lease))
        continue;
      WlCell *c = wl_core_find_cell (core, lease->service, lease->shard);
      if (c == NULL)
        {
          c = wl_cell_create (lease, &core->settings, now_us);
          c->next = core->cells;
          core->cells = c;
          wl_effects_log (fx, WL2302_CELL_OPENED, "service=%s shard=%u fence=%lu", lease->service,
                          lease->shard, (unsigned long)lease->fence);
        }
    }
}

/*
 * Opens, closes and configures cells when the configuration, the directory or the
 * validity of the lease has changed. Without a lease all cells are closed, since
 * another entry may own them already.
 */
static void
update_cells (WlCore *core, uint64_t now_us, WlEffects *fx)
{
  int may_own_cells = wl_core_has_lease (core, now_us) && !core->session.draining;
  if (!may_own_cells)
    {
      close_cells (core, 1, fx);
      core->applied_session_generation = 0; /* cells are opened again with the next valid lease */
      return;
    }
  if (core->applied_session_generation == core->session.generation)
    return;
  core->applied_session_generation = core->session.generation;
  close_cells (core, 0, fx);
  open_cells (core, now_us, fx);
  for (WlCell *c = core->cells; c != NULL; c = c->next)
    {
      wl_cell_configure (c, core->session.services);
      wl_cell_set_evacuations (c, core->session.evacuations, core->session.n_evacuations);
    }
}

/* A cell's dependencies are ready when shard 0 of each service that it depends on is ready. */
static void
update_dependencies (WlCore *core)
{
  for (WlCell *c = core->cells; c != NULL; c = c->next)
    {
      c->dependencies_ready = 1;
      for (size_t i = 0; i < c->service->n_depends_on; i++)
        if (!wl_links_get (core->entry, c->service->depends_on[i], 0)->ready)
          c->dependencies_ready = 0;
    }
}

/* ---- messages ---- */

/* Sends an endpoint's report to the owner of its cell. */
static void
forward_report (const WlCore *core, const WlEndpointReport *report, WlEffects *fx)
{
  const WlService *s = wl_services_find (core->session.services, report->service);
  if (s == NULL)
    return;
  uint32_t shard = (uint32_t)(wl_hash_ids (report->endpoint, 0) % s->cells);
  const WlCellLease *cell = wl_session_find_cell (&core->session, report->service, shard);
  if (cell == NULL || cell->owner == 0)
    return;
  WlMessage m = { .kind = WL_MESSAGE_ENDPOINT_REPORT };
  m.u.report = *report;
  m.u.report.fence = cell->fence;
  wl_effects_send (fx, cell->owner, &m);
}

/* Finds a cell of this node; it must have the given fencing token unless that is 0. */
static WlCell *
find_cell_with_fence (const WlCore *core, const char *service, uint32_t shard, uint64_t fence)
{
  WlCell *c = wl_core_find_cell (core, service, shard);
  return c != NULL && (fence == 0 || c->lease.fence == fence) ? c : NULL;
}

static void
receive_as_owner (WlCore *core, const WlMessage *message, uint64_t now_us, WlEffects *fx)
{
  const WlPlacementRequest *p = &message->u.place;
  const WlGrantRenewal *h = &message->u.hold;
  const WlEndpointReport *r = &message->u.report;
  WlCell *c = NULL;
  switch (message->kind)
    {
    case WL_MESSAGE_PLACE:
      c = find_cell_with_fence (core, p->service, p->shard, 0);
      /* A node that no longer owns the cell does not reply: the entry retries at the new owner. */
      if (c != NULL)
        wl_cell_place (c, p, now_us, fx);
      break;
    case WL_MESSAGE_HOLD:
      c = find_cell_with_fence (core, h->service, h->shard, h->fence);
      if (c != NULL)
        wl_cell_renew_grants (c, h, now_us, fx);
      break;
    case WL_MESSAGE_ENDPOINT_REPORT:
      for (c = core->cells; c != NULL; c = c->next)
        if (strcmp (c->lease.service, r->service) == 0 && c->lease.fence == r->fence
            && wl_hash_ids (r->endpoint, 0) % c->service->cells == c->lease.shard)
          wl_cell_report (c, r, now_us, fx);
      break;
    default:
      break;
    }
}

static int
receive_operator_reply (const WlMessage *message, WlEffects *fx)
{
  if (message->kind == WL_MESSAGE_SUBMIT_REPLY)
    {
      wl_effects_add (fx, WL_EFFECT_SUBMIT_DONE)->u.submit = message->u.submit_reply;
      return 1;
    }
  if (message->kind != WL_MESSAGE_QUERY_REPLY)
    return 0;
  WlQueryReply *q = &wl_effects_add (fx, WL_EFFECT_QUERY_DONE)->u.query;
  *q = message->u.query_reply;
  if (q->has_config)
    q->config = wl_bytes_copy (fx->pool, q->config);
  q->entries = apr_pmemdup (fx->pool, q->entries, q->n_entries * sizeof *q->entries);
  q->voters = apr_pmemdup (fx->pool, q->voters, q->n_voters * sizeof *q->voters);
  q->roots = apr_pmemdup (fx->pool, q->roots, q->n_roots * sizeof *q->roots);
  q->evacuations
      = apr_pmemdup (fx->pool, q->evacuations, q->n_evacuations * sizeof *q->evacuations);
  return 1;
}

static void
receive (WlCore *core, uint32_t from, const WlMessage *message, const WlEvent *event, WlEffects *fx)
{
  WlEventContext at = { event->now_us, event->wall_us, fx };
  if (receive_operator_reply (message, fx))
    return;
  if (core->control != NULL && wl_control_receive (core->control, from, message, event, fx))
    return;
  if (wl_session_receive (&core->session, from, message, event->now_us, fx))
    update_cells (core, event->now_us, fx);
  else if (!wl_entry_receive (core->entry, message, &at))
    receive_as_owner (core, message, event->now_us, fx);
}

/* Processes the messages that this node has addressed to itself, so that they are not sent. */
static void
receive_local (WlCore *core, uint32_t first, const WlEvent *event, WlEffects *fx)
{
  for (uint32_t i = first; i < fx->count; i++)
    {
      WlMessage m;
      if (fx->items[i].kind != WL_EFFECT_SEND)
        continue;
      if (fx->items[i].u.send.node != core->settings.self.node)
        continue;
      WlBytes bytes = fx->items[i].u.send.bytes;
      fx->items[i].u.send.node = 0;
      if (wl_message_decode (bytes, &m, fx->pool) == WL_OK)
        receive (core, core->settings.self.node, &m, event, fx);
    }
}

/* ---- operators ---- */

static void
forward_submit (const WlCore *core, const WlSubmit *submit, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_SUBMIT };
  m.u.submit = *submit;
  m.u.submit.node = core->settings.self.node;
  wl_effects_send (fx, wl_session_control_node (&core->session), &m);
}

static void
forward_evacuate (const WlCore *core, const WlEvacuate *evacuate, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_EVACUATE };
  m.u.evacuate = *evacuate;
  m.u.evacuate.node = core->settings.self.node;
  wl_effects_send (fx, wl_session_control_node (&core->session), &m);
}

static void
forward_query (const WlCore *core, const WlQuery *query, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_QUERY };
  m.u.query = *query;
  m.u.query.node = core->settings.self.node;
  wl_effects_send (fx, wl_session_control_node (&core->session), &m);
}

/* ---- timers and graceful stop ---- */

static void
begin_stop (WlCore *core, uint64_t now_us, WlEffects *fx)
{
  if (core->stopping)
    return;
  core->stopping = 1;
  core->stop_us = now_us;
  core->session.draining = 1;
  core->session.next_renewal_us = now_us;
  wl_effects_log (fx, WL1002_NODE_STOPPING, "requests=%u", apr_hash_count (core->entry->requests));
  update_cells (core, now_us, fx);
}

/*
 * A last lease renewal removes the node from the directory, after the ends of claims and attempts
 * have been confirmed. The last receipt root goes with it.
 */
static void
leave (WlCore *core, uint64_t now_us)
{
  core->session.leaving = 1;
  core->session.next_renewal_us = now_us;
}

static void
continue_stop (WlCore *core, uint64_t now_us, WlEffects *fx)
{
  if (!core->stopping || core->stopped || now_us < core->stop_us + ENTRY_LIST_WAIT_US
      || !wl_entry_is_idle (core->entry))
    return;
  if (core->handover_us == 0)
    core->handover_us = now_us;
  uint32_t n_claims = wl_outbox_count (core->entry);
  uint32_t n_updates = wl_links_count_pending (core->entry);
  int is_late = now_us >= core->handover_us + HANDOVER_MAX_US;
  if (n_claims == 0 && n_updates == 0 && !core->session.leaving)
    leave (core, now_us);
  if (!core->session.has_left && !is_late)
    return;
  if (!core->session.has_left)
    wl_effects_log (fx, WL1011_HANDOVER_INCOMPLETE, "claims=%u updates=%u", n_claims, n_updates);
  core->stopped = 1;
  wl_effects_add (fx, WL_EFFECT_STOPPED);
}

static void
tick (WlCore *core, const WlEvent *event, WlEffects *fx)
{
  WlEventContext at = { event->now_us, event->wall_us, fx };
  if (core->control != NULL)
    wl_control_tick (core->control, event, fx);
  if (core->session.leaving && event->now_us >= core->session.next_renewal_us)
    core->entry->ledger.next_root_us = 0; /* each leave notice repeats the root */
  wl_session_tick (&core->session, event->now_us, fx);
  update_cells (core, event->now_us, fx);
  update_dependencies (core);
  for (WlCell *c = core->cells; c != NULL; c = c->next)
    wl_cell_tick (c, event->now_us, fx);
  wl_entry_tick (core->entry, &at);
  continue_stop (core, event->now_us, fx);
}

static void
on_cancel_confirmed (WlCore *core, const WlCancelConfirmedEvent *e, uint64_t now_us, WlEffects *fx)
{
  for (WlCell *c = core->cells; c != NULL; c = c->next)
    wl_cell_cancel_confirmed (c, e, now_us, fx);
}

void
wl_core_step (WlCore *core, const WlEvent *event, WlEffects *effects)
{
  uint32_t first = effects->count;
  WlEventContext at = { event->now_us, event->wall_us, effects };
  core->entry->counters.events++;
  /* A process that was paused until its lease expired must not act on cells it owned before. */
  if (!wl_core_has_lease (core, event->now_us))
    close_cells (core, 1, effects);
  switch (event->kind)
    {
    case WL_EVENT_TICK:
      tick (core, event, effects);
      break;
    case WL_EVENT_FLUSH:
      if (core->control != NULL)
        wl_control_flush (core->control, event, effects);
      break;
    case WL_EVENT_MESSAGE:
      receive (core, event->u.message.from, event->u.message.message, event, effects);
      break;
    case WL_EVENT_REQUEST:
      wl_entry_request (core->entry, &event->u.request, &at);
      break;
    case WL_EVENT_CALLER_DISCONNECTED:
      wl_entry_caller_disconnected (core->entry, event->u.caller_disconnected, &at);
      break;
    case WL_EVENT_ENGINE_OUTPUT:
      wl_entry_output (core->entry, &event->u.output, &at);
      break;
    case WL_EVENT_ENGINE_END:
      wl_entry_end (core->entry, &event->u.end, &at);
      break;
    case WL_EVENT_CANCEL_CONFIRMED:
      on_cancel_confirmed (core, &event->u.cancel_confirmed, event->now_us, effects);
      break;
    case WL_EVENT_ENDPOINT_REPORT:
      forward_report (core, &event->u.report, effects);
      break;
    case WL_EVENT_MODEL_LOAD_END:
      for (WlCell *c = core->cells; c != NULL; c = c->next)
        wl_model_loads_end (c, &event->u.model_load_end, event->now_us, effects);
      break;
    case WL_EVENT_SUBMIT:
      forward_submit (core, &event->u.submit, effects);
      break;
    case WL_EVENT_EVACUATE:
      forward_evacuate (core, &event->u.evacuate, effects);
      break;
    case WL_EVENT_QUERY:
      forward_query (core, &event->u.query, effects);
      break;
    case WL_EVENT_STOP:
      begin_stop (core, event->now_us, effects);
      break;
    }
  receive_local (core, first, event, effects);
}
