#include <stdlib.h>
#include <string.h>
#include "wl_accounts.h"
#include "wl_cell.h"
#include "wl_cell_internal.h"
#include "wl_events.h"
#include "wl_model_loads.h"
#include "wl_placement.h"
#include "wl_queue.h"
#include "wl_table.h"

enum
{
  INITIAL_PREFILL_NS = 50000,   /* per prompt token, until learned */
  INITIAL_DECODE_NS = 25000000, /* per output token */
  LEARN_WEIGHT_SHIFT = 4,       /* weight of a new observation: 1/16 */
  LEARN_MIN_TOKENS = 256,       /* shorter prompts say little about the rate */
  ESTIMATE_MARGIN = 4, /* time limits refuse only if 1/4 of the prefill estimate does not fit */
  SAMPLED_CUSTOMERS_MAX = 4096,
  SAMPLED_GRANTS_MAX = 256,
  LOG_PREFIXES_US = 10000000, /* least time between two WL3019 of a cell */
};

WlCell *
wl_cell_create (const WlCellLease *lease, const WlSettings *settings, uint64_t now_us)
{
  WlCell *cell = calloc (1, sizeof *cell);
  if (cell == NULL)
    abort ();
  cell->lease = *lease;
  cell->settings = settings;
  apr_pool_create (&cell->pool, NULL);
  cell->endpoints = wl_table_create (cell->pool);
  cell->grants = wl_table_create (cell->pool);
  cell->customers = wl_table_create (cell->pool);
  cell->holders = wl_table_create (cell->pool);
  cell->opened_us = now_us;
  cell->order_refilled_us = now_us;
  cell->last_sweep_us = now_us;
  cell->cost.prefill_ns = INITIAL_PREFILL_NS;
  cell->cost.decode_ns = INITIAL_DECODE_NS;
  return cell;
}

static void
free_values (apr_hash_t *table)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, table); i; i = apr_hash_next (i))
    free (apr_hash_this_val (i));
}

void
wl_cell_destroy (WlCell *cell)
{
  if (cell == NULL)
    return;
  while (cell->queue != NULL)
    wl_queue_remove (cell, cell->queue);
  free_values (cell->grants);
  free_values (cell->endpoints);
  free_values (cell->customers);
  free_values (cell->holders);
  free (cell->delays_us);
  apr_pool_destroy (cell->pool);
  free (cell);
}

void
wl_cell_configure (WlCell *cell, const WlServices *services)
{
  cell->services = services;
  cell->service = wl_services_find (services, cell->lease.service);
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->customers); i; i = apr_hash_next (i))
    {
      WlCellCustomer *record = apr_hash_this_val (i);
      const WlCustomer *c = wl_services_find_customer (services, record->name);
      if (c == NULL)
        continue;
      record->weight = c->weight;
      record->max_running = c->max_running;
      record->max_queued = c->max_queued;
    }
}

void
wl_cell_set_evacuations (WlCell *cell, const WlEvacuation *evacuations, uint32_t n)
{
  cell->evacuations = evacuations;
  cell->n_evacuations = n;
}

WlHolder *
wl_cell_get_holder (WlCell *cell, uint32_t node, uint64_t now_us)
{
  WlHolder *h = wl_table_get_id (cell->holders, node);
  if (h != NULL)
    return h;
  h = calloc (1, sizeof *h);
  if (h == NULL)
    abort ();
  h->node = node;
  h->last_contact_us = now_us;
  wl_table_put_id (cell->holders, &h->node, h);
  return h;
}

/* ---- scheduling ---- */

static void
refuse (WlCell *cell, const WlPlacementRequest *p, WlRefusalReason reason, uint64_t retry_after_us,
        WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_PLACE_REFUSAL };
  if (retry_after_us < WL_CELL_RETRY_AFTER_MIN_US)
    retry_after_us = WL_CELL_RETRY_AFTER_MIN_US;
  if (retry_after_us > WL_CELL_RETRY_AFTER_MAX_US)
    retry_after_us = WL_CELL_RETRY_AFTER_MAX_US;
  m.u.refusal = (WlPlacementRefusal){
    .request = p->request,
    .attempt = p->attempt,
    .reason = (uint8_t)reason,
    .retry_after_us = reason == WL_REFUSAL_TOO_LARGE ? 0 : retry_after_us,
  };
  cell->counters.refused++;
  wl_effects_send (fx, p->node, &m);
}

static void
send_grant (WlCell *cell, const WlGrantRecord *g, uint32_t priority, uint64_t cached_tokens,
            uint64_t queued_us, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_GRANT };
  WlGrantEndpoint endpoints[WL_GANG_MAX] = { 0 };
  strcpy (m.u.grant.service, cell->lease.service);
  m.u.grant.shard = cell->lease.shard;
  m.u.grant.fence = cell->lease.fence;
  m.u.grant.request = g->request;
  m.u.grant.attempt = g->attempt;
  m.u.grant.priority = priority;
  m.u.grant.cached_tokens = cached_tokens;
  m.u.grant.expires_us = WL_GRANT_EXPIRY_US;
  m.u.grant.queued_us = queued_us;
  for (uint32_t i = 0; i < g->n_allocations; i++)
    {
      const WlEndpoint *e = wl_accounts_endpoint (cell, g->allocations[i].endpoint);
      endpoints[i].endpoint = e->id;
      strcpy (endpoints[i].address, e->address);
      endpoints[i].port = e->port;
      endpoints[i].kv_tokens = g->allocations[i].kv_tokens;
    }
  m.u.grant.endpoints = endpoints;
  m.u.grant.n_endpoints = g->n_allocations;
  wl_effects_send (fx, g->node, &m);
}

static void
start_request (WlCell *cell, WlQueuedRequest *w, const WlPlacementChoice *choice, uint64_t now_us,
               WlEffects *fx)
{
  uint64_t uncached = w->place.prompt_tokens - choice->cached_tokens;
  WlGrantRecord g = {
    .request = w->place.request,
    .attempt = w->place.attempt,
    .node = w->place.node,
    .customer = w->customer,
    .prompt_tokens = w->place.prompt_tokens,
    .uncached_tokens = uncached,
    .likely_tokens = choice->likely_tokens,
    .cost_us = wl_queue_cost (cell, uncached, w->place.max_tokens),
    .granted_us = now_us,
    .estimated_end_us = now_us + wl_queue_duration (cell, uncached, w->place.max_tokens, choice->n),
    .is_long = choice->is_long,
    .n_allocations = choice->n,
  };
  for (uint32_t i = 0; i < choice->n; i++)
    {
      g.allocations[i].endpoint = choice->endpoints[i]->id;
      g.allocations[i].kv_tokens = choice->kv_tokens;
    }
  wl_prefix_hints_place (&choice->endpoints[0]->prefixes, w->place.prefixes, w->place.n_prefixes,
                         cell->weighs_prefixes ? now_us + choice->wait_us : now_us, now_us);
  if (cell->reservation.request == g.request)
    memset (&cell->reservation, 0, sizeof cell->reservation);
  else if (cell->reservation.request != 0)
    cell->counters.backfilled++;
  cell->counters.granted++;
  cell->counters.gangs += choice->n > 1;
  cell->counters.cache_hits += choice->cached_tokens > 0;
  cell->counters.prefix_chosen += choice->is_for_prefix;
  cell->counters.prefix_outweighed += choice->is_outweighed;
  w->customer->waited_us += now_us - w->arrived_us;
  wl_queue_advance (cell, w);
  send_grant (cell, wl_accounts_grant (cell, &g), choice->priority, choice->cached_tokens,
              now_us - w->arrived_us, fx);
  wl_queue_remove (cell, w);
}

static int
cannot_meet_deadline (const WlCell *cell, const WlQueuedRequest *w, uint64_t now_us)
{
  uint64_t least_prefill_us
      = w->place.prompt_tokens * cell->cost.prefill_ns / (1000 * ESTIMATE_MARGIN) / WL_GANG_MAX;
  return now_us + least_prefill_us >= w->deadline_us;
}

static int
is_at_running_cap (const WlQueuedRequest *w)
{
  return w->customer->max_running > 0 && w->customer->running >= w->customer->max_running;
}

void
wl_cell_schedule (WlCell *cell, uint64_t now_us, WlEffects *fx)
{
  uint32_t n_failed = 0;
  uint32_t n_failed_long = 0;
  WlQueuedRequest *next = NULL;
  if (!cell->ready)
    return;
  for (WlQueuedRequest *w = cell->queue; w != NULL && n_failed < WL_CELL_SCAN_MAX; w = next)
    {
      WlPlacementChoice choice;
      int is_long = wl_queue_is_long (&w->place);
      next = w->next;
      /* Long requests that cannot start must not end the scan before short ones behind them. */
      if (is_at_running_cap (w) || (is_long && n_failed_long >= WL_CELL_SCAN_LONG_MAX))
        continue;
      if (wl_placement_choose (cell, w, now_us, &choice))
        {
          start_request (cell, w, &choice, now_us, fx);
          continue;
        }
      if (is_long)
        n_failed_long++;
      else
        n_failed++;
      if (cell->reservation.request == 0 && is_long && wl_placement_reserve (cell, w, now_us))
        wl_effects_log (fx, WL3010_RESERVATION_MADE, "request=%lx endpoints=%u start_in_us=%lu",
                        (unsigned long)w->place.request, cell->reservation.n_endpoints,
                        (unsigned long)(cell->reservation.start_us - now_us));
    }
}

static WlRefusalReason
check_admission (WlCell *cell, const WlPlacementRequest *p, uint64_t now_us,
                 uint64_t *retry_after_us)
{
  const WlCellCustomer *customer = wl_accounts_customer (cell, p->customer);
  uint64_t wait_us = wl_queue_predict_wait (cell, p);
  uint64_t prefill_us = wl_queue_duration (cell, p->prompt_tokens, 0, WL_GANG_MAX);
  *retry_after_us = wait_us;
  if (p->prompt_tokens > cell->service->max_prompt_tokens)
    return WL_REFUSAL_TOO_LARGE;
  if (cell->ready && apr_hash_count (cell->endpoints) == 0)
    return WL_REFUSAL_NO_ENDPOINT;
  if (cell->ready && wl_placement_is_withheld (cell, now_us))
    return WL_REFUSAL_EVACUATED;
  if (cell->ready && wl_placement_endpoints_needed (cell, p) == 0)
    return WL_REFUSAL_TOO_LARGE;
  if (cell->n_queued >= cell->service->queue_limit)
    return WL_REFUSAL_QUEUE_FULL;
  if (customer->max_queued > 0 && customer->queued >= customer->max_queued)
    return WL_REFUSAL_CUSTOMER_CAP;
  if (wait_us + prefill_us / ESTIMATE_MARGIN > p->remaining_us)
    return WL_REFUSAL_TIME_LIMIT;
  return WL_REFUSAL_NONE;
}

void
wl_cell_place (WlCell *cell, const WlPlacementRequest *place, uint64_t now_us, WlEffects *fx)
{
  uint64_t retry_after_us = 0;
  wl_cell_get_holder (cell, place->node, now_us)->last_contact_us = now_us;
  const WlGrantRecord *g = wl_accounts_find (cell, place->request, place->attempt);
  if (g != NULL)
    {
      /* The message with the grant was lost, or the grant expired before the entry received it. */
      if (!g->ended)
        send_grant (cell, g, 0, 0, 0, fx);
      else
        refuse (cell, place, WL_REFUSAL_NO_OWNER, 0, fx);
      return;
    }
  WlQueuedRequest *w = wl_queue_find (cell, place->request);
  if (w != NULL && w->place.attempt >= place->attempt)
    return;
  if (w != NULL)
    wl_queue_remove (cell, w);
  WlRefusalReason reason = check_admission (cell, place, now_us, &retry_after_us);
  if (reason != WL_REFUSAL_NONE)
    {
      refuse (cell, place, reason, retry_after_us, fx);
      return;
    }
  wl_queue_add (cell, place, now_us);
  wl_cell_schedule (cell, now_us, fx);
}

/* ---- end and cancellation of attempts ---- */

void
wl_cell_cancel_attempt (const WlCell *cell, const WlAllocation *allocation, uint64_t request,
                        uint32_t attempt, WlEffects *fx)
{
  const WlEndpoint *e = wl_accounts_endpoint (cell, allocation->endpoint);
  if (e == NULL)
    return;
  WlCancel *c = &wl_effects_add (fx, WL_EFFECT_CANCEL)->u.cancel;
  c->endpoint = e->id;
  strcpy (c->address, e->address);
  c->port = e->port;
  c->request = request;
  c->attempt = attempt;
}

static void
cancel_grant (WlCell *cell, WlGrantRecord *g, uint64_t now_us, WlEffects *fx)
{
  g->cancel_sent_us = now_us;
  for (uint32_t i = 0; i < g->n_allocations; i++)
    if (!g->allocations[i].freed)
      {
        cell->counters.cancels++;
        wl_cell_cancel_attempt (cell, &g->allocations[i], g->request, g->attempt, fx);
      }
}

void
wl_cell_end_and_cancel (WlCell *cell, WlGrantRecord *g, uint64_t now_us, WlEffects *fx)
{
  if (g->ended)
    return;
  wl_accounts_end (cell, g, now_us);
  cancel_grant (cell, g, now_us, fx);
}

static uint32_t
count_ejected (const WlCell *cell, uint64_t now_us)
{
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    n += ((const WlEndpoint *)apr_hash_this_val (i))->ejected_until_us > now_us;
  return n;
}

/* Ejects an endpoint that fails repeatedly; at most a third of the cell is ejected at once. */
static void
record_failure (WlCell *cell, uint64_t endpoint, uint64_t now_us, WlEffects *fx)
{
  WlEndpoint *e = wl_accounts_endpoint (cell, endpoint);
  if (e == NULL)
    return;
  e->failures++;
  if (e->failures < WL_CELL_EJECT_FAILURES || e->ejected_until_us > now_us)
    return;
  if (3 * (count_ejected (cell, now_us) + 1) > apr_hash_count (cell->endpoints))
    return;
  uint64_t span_us
      = (uint64_t)WL_CELL_EJECT_US
        << (e->ejections < WL_CELL_EJECT_DOUBLINGS ? e->ejections : WL_CELL_EJECT_DOUBLINGS);
  if (span_us > WL_CELL_EJECT_MAX_US)
    span_us = WL_CELL_EJECT_MAX_US;
  e->ejected_until_us = now_us + span_us;
  e->ejections++;
  e->failures = 0;
  cell->counters.ejections++;
  wl_effects_log (fx, WL3004_ENDPOINT_EJECTED, "endpoint=%s for_us=%lu", e->name,
                  (unsigned long)span_us);
}

static void
record_success (WlCell *cell, const WlGrantRecord *g)
{
  WlEndpoint *e = wl_accounts_endpoint (cell, g->allocations[0].endpoint);
  if (e == NULL)
    return;
  e->failures = 0;
  e->ejections = 0;
}

static uint64_t
ewma (uint64_t old, uint64_t sample)
{
  return old - (old >> LEARN_WEIGHT_SHIFT) + (sample >> LEARN_WEIGHT_SHIFT);
}

static void
learn_prefill_cost (WlCell *cell, const WlGrantRecord *g, const WlAttemptUpdate *u)
{
  uint64_t computed = g->prompt_tokens > u->cached_tokens ? g->prompt_tokens - u->cached_tokens : 0;
  if (computed < LEARN_MIN_TOKENS || u->prefill_us == 0 || g->n_allocations != 1)
    return;
  cell->cost.prefill_ns = ewma (cell->cost.prefill_ns, u->prefill_us * 1000 / computed);
  if (cell->cost.prefill_ns == 0)
    cell->cost.prefill_ns = 1;
}

void
wl_cell_weigh_prefixes (WlCell *cell, const WlEndpoint *endpoint, WlEffects *fx)
{
  if (cell->weighs_prefixes)
    return;
  cell->weighs_prefixes = 1;
  wl_effects_log (fx, WL3018_PREFIXES_WEIGHED, "service=%s shard=%u endpoint=%s",
                  cell->lease.service, cell->lease.shard, endpoint->name);
}

/*
 * Compares what was expected in the endpoint's cache with what its engine names. Engines that name
 * nothing for any request teach nothing: their 0 doesn't mean that nothing was cached.
 */
static void
learn_cached (WlCell *cell, const WlGrantRecord *g, const WlAttemptUpdate *u, WlEffects *fx)
{
  WlEndpoint *e = wl_accounts_endpoint (cell, g->allocations[0].endpoint);
  if (g->n_allocations != 1 || e == NULL)
    return;
  if (u->cached_tokens > 0)
    {
      cell->names_cached = 1;
      wl_cell_weigh_prefixes (cell, e, fx);
    }
  if (!cell->names_cached)
    return;
  uint64_t cached = u->cached_tokens < g->prompt_tokens ? u->cached_tokens : g->prompt_tokens;
  wl_prefix_hints_learn (&e->prefixes, g->likely_tokens, cached);
  cell->counters.prefix_expected_tokens += g->prompt_tokens - g->uncached_tokens;
  cell->counters.prefix_cached_tokens += cached;
  cell->counters.prefix_saved_us += cached * cell->cost.prefill_ns / 1000;
}

static void
apply_end (WlCell *cell, WlGrantRecord *g, const WlAttemptUpdate *update, uint64_t now_us,
           WlEffects *fx)
{
  if (update->result == WL_ATTEMPT_FAILED)
    record_failure (cell, update->failed_endpoint, now_us, fx);
  if (update->result == WL_ATTEMPT_FINISHED)
    {
      learn_prefill_cost (cell, g, update);
      learn_cached (cell, g, update, fx);
      record_success (cell, g);
      wl_accounts_end (cell, g, now_us);
      /* Only endpoint 0, which streams, has confirmed the end; cancel the rest of a gang. */
      if (!wl_accounts_free_allocation (cell, g, 0))
        cancel_grant (cell, g, now_us, fx);
    }
  else if (update->result == WL_ATTEMPT_NOT_SENT)
    {
      if (update->failed_endpoint != 0)
        record_failure (cell, update->failed_endpoint, now_us, fx);
      wl_accounts_end (cell, g, now_us);
      for (uint32_t i = g->n_allocations; i > 0; i--)
        if (wl_accounts_free_allocation (cell, g, i - 1))
          break;
    }
  else
    wl_cell_end_and_cancel (cell, g, now_us, fx);
}

void
wl_cell_apply_update (WlCell *cell, const WlAttemptUpdate *update, uint64_t now_us, WlEffects *fx)
{
  WlGrantRecord *g = wl_accounts_find (cell, update->request, update->attempt);
  WlQueuedRequest *w = wl_queue_find (cell, update->request);
  if (update->ended && w != NULL && w->place.attempt == update->attempt)
    wl_queue_remove (cell, w);
  if (g == NULL || g->ended)
    return;
  if (update->first_token)
    wl_accounts_first_token (cell, g);
  if (update->ended)
    apply_end (cell, g, update, now_us, fx);
}

void
wl_cell_cancel_confirmed (WlCell *cell, const WlCancelConfirmedEvent *confirm, uint64_t now_us,
                          WlEffects *fx)
{
  WlGrantRecord *g = wl_accounts_find (cell, confirm->request, confirm->attempt);
  if (g == NULL || !g->ended)
    return;
  for (uint32_t i = 0; i < g->n_allocations; i++)
    if (g->allocations[i].endpoint == confirm->endpoint)
      {
        wl_accounts_free_allocation (cell, g, i);
        break;
      }
  wl_cell_schedule (cell, now_us, fx);
}

/* ---- timers ---- */

static void
expire_endpoints (WlCell *cell, uint64_t now_us, WlEffects *fx)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      if (e->ejected_until_us != 0 && e->ejected_until_us <= now_us)
        {
          e->ejected_until_us = 0;
          wl_effects_log (fx, WL3005_ENDPOINT_RESTORED, "endpoint=%s", e->name);
        }
      if (now_us < e->last_contact_us + (uint64_t)WL_CELL_REMOVE_EXPIRIES * WL_ENDPOINT_EXPIRY_US)
        continue;
      wl_effects_log (fx, WL3003_ENDPOINT_EXPIRED, "endpoint=%s", e->name);
      wl_accounts_remove_endpoint (cell, e, now_us);
    }
}

static void
expire_holders (WlCell *cell, uint64_t now_us, WlEffects *fx)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->holders); i; i = apr_hash_next (i))
    {
      WlHolder *h = apr_hash_this_val (i);
      if (now_us < h->last_contact_us + WL_CELL_HOLDER_EXPIRY_US)
        continue;
      if (h->n_grants > 0)
        wl_effects_log (fx, WL3006_GRANT_EXPIRED, "node=%lu grants=%u", (unsigned long)h->node,
                        h->n_grants);
      wl_cell_end_all_grants (cell, (uint32_t)h->node, now_us, fx);
      wl_cell_remove_queued_of (cell, (uint32_t)h->node);
      wl_table_put_id (cell->holders, &h->node, NULL);
      free (h);
    }
}

static void
repeat_cancels (WlCell *cell, uint64_t now_us, WlEffects *fx)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i; i = apr_hash_next (i))
    {
      WlGrantRecord *g = apr_hash_this_val (i);
      if (g->ended && now_us >= g->cancel_sent_us + WL_CELL_CANCEL_RETRY_US)
        cancel_grant (cell, g, now_us, fx);
    }
}

static void
refuse_infeasible (WlCell *cell, uint64_t now_us, WlEffects *fx)
{
  int is_withheld = cell->ready && wl_placement_is_withheld (cell, now_us);
  for (WlQueuedRequest *w = cell->queue, *next; w != NULL; w = next)
    {
      next = w->next;
      if (!is_withheld && !cannot_meet_deadline (cell, w, now_us))
        continue;
      refuse (cell, &w->place, is_withheld ? WL_REFUSAL_EVACUATED : WL_REFUSAL_TIME_LIMIT,
              now_us - w->arrived_us, fx);
      wl_queue_remove (cell, w);
    }
}

static void
add_delay (WlCell *cell, const WlCellCustomer *victim, const WlCellCustomer *cause, double us)
{
  cell->delays_us[(size_t)victim->index * cell->delays_size + cause->index] += (uint64_t)us;
}

/* Time in the queue is attributed to customers in proportion to the cost of their running work. */
static void
attribute_queue_delay (WlCell *cell, uint64_t passed_us)
{
  WlCellCustomer *customers[SAMPLED_CUSTOMERS_MAX];
  uint32_t n = 0;
  uint64_t total_us = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->customers); i && n < SAMPLED_CUSTOMERS_MAX;
       i = apr_hash_next (i))
    {
      customers[n] = apr_hash_this_val (i);
      total_us += customers[n++]->running_cost_us;
    }
  for (uint32_t v = 0; v < n && total_us > 0; v++)
    for (uint32_t c = 0; c < n && customers[v]->queued > 0; c++)
      {
        double fraction = (double)customers[c]->running_cost_us / (double)total_us;
        add_delay (cell, customers[v], customers[c],
                   fraction * (double)passed_us * customers[v]->queued);
      }
}

/* Delay in prefill is attributed to the other prompts on the endpoint, in proportion to tokens. */
static void
attribute_prefill_delay (WlCell *cell, uint64_t passed_us)
{
  const WlGrantRecord *grants[SAMPLED_GRANTS_MAX];
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i && n < SAMPLED_GRANTS_MAX;
       i = apr_hash_next (i))
    {
      const WlGrantRecord *g = apr_hash_this_val (i);
      if (!g->first_token && !g->ended)
        grants[n++] = g;
    }
  for (uint32_t v = 0; v < n; v++)
    {
      double total_tokens = 0;
      for (uint32_t c = 0; c < n; c++)
        if (grants[c]->allocations[0].endpoint == grants[v]->allocations[0].endpoint)
          total_tokens += (double)grants[c]->uncached_tokens;
      for (uint32_t c = 0; c < n && total_tokens > 0; c++)
        if (c != v && grants[c]->allocations[0].endpoint == grants[v]->allocations[0].endpoint)
          add_delay (cell, grants[v]->customer, grants[c]->customer,
                     (double)passed_us * (double)grants[c]->uncached_tokens / total_tokens);
    }
}

static void
attribute_delays (WlCell *cell, uint64_t now_us)
{
  uint64_t passed_us = now_us - cell->last_sweep_us;
  cell->last_sweep_us = now_us;
  attribute_queue_delay (cell, passed_us);
  attribute_prefill_delay (cell, passed_us);
}

static void
refresh_reservation (WlCell *cell, uint64_t now_us)
{
  if (cell->reservation.request == 0)
    return;
  WlQueuedRequest *w = wl_queue_find (cell, cell->reservation.request);
  memset (&cell->reservation, 0, sizeof cell->reservation);
  if (w != NULL)
    wl_placement_reserve (cell, w, now_us);
}

static void
log_prefixes (WlCell *cell, uint64_t now_us, WlEffects *fx)
{
  const WlCellCounters *c = &cell->counters;
  uint64_t tokens = c->prefix_expected_tokens + c->prefix_cached_tokens;
  if (tokens == cell->prefix_tokens_logged || now_us < cell->prefixes_logged_us + LOG_PREFIXES_US)
    return;
  cell->prefix_tokens_logged = tokens;
  cell->prefixes_logged_us = now_us;
  wl_effects_log (fx, WL3019_PREFIXES_SAVED,
                  "service=%s shard=%u granted=%lu chosen=%lu outweighed=%lu expected_tokens=%lu "
                  "cached_tokens=%lu saved_ms=%lu",
                  cell->lease.service, cell->lease.shard, (unsigned long)c->granted,
                  (unsigned long)c->prefix_chosen, (unsigned long)c->prefix_outweighed,
                  (unsigned long)c->prefix_expected_tokens, (unsigned long)c->prefix_cached_tokens,
                  (unsigned long)(c->prefix_saved_us / 1000));
}

void
wl_cell_tick (WlCell *cell, uint64_t now_us, WlEffects *fx)
{
  if (!cell->ready && now_us >= cell->opened_us + WL_CELL_WARMUP_US)
    {
      cell->ready = 1;
      wl_effects_log (fx, WL2304_CELL_READY, "service=%s shard=%u endpoints=%u grants=%u",
                      cell->lease.service, cell->lease.shard, apr_hash_count (cell->endpoints),
                      apr_hash_count (cell->grants));
    }
  refuse_infeasible (cell, now_us, fx);
  if (now_us >= cell->last_sweep_us + WL_CELL_SWEEP_US)
    {
      attribute_delays (cell, now_us);
      expire_holders (cell, now_us, fx);
      expire_endpoints (cell, now_us, fx);
      repeat_cancels (cell, now_us, fx);
      refresh_reservation (cell, now_us);
      wl_model_loads_tick (cell, now_us, fx);
      log_prefixes (cell, now_us, fx);
    }
  wl_cell_schedule (cell, now_us, fx);
}
