#include <stdlib.h>
#include <string.h>
#include "wl_accounts.h"
#include "wl_queue.h"

enum
{
  DECODE_BATCH_REQUESTS = 16, /* requests that share one decode step of an engine */
};

uint64_t
wl_queue_cost (const WlCell *cell, uint64_t uncached_tokens, uint64_t max_tokens)
{
  uint64_t ns = uncached_tokens * cell->cost.prefill_ns
                + max_tokens * cell->cost.decode_ns / DECODE_BATCH_REQUESTS;
  return ns / 1000 + 1;
}

uint64_t
wl_queue_duration (const WlCell *cell, uint64_t uncached_tokens, uint64_t max_tokens,
                   uint32_t n_endpoints)
{
  uint64_t ns = uncached_tokens * cell->cost.prefill_ns / (n_endpoints > 0 ? n_endpoints : 1)
                + max_tokens * cell->cost.decode_ns;
  return ns / 1000 + 1;
}

static uint64_t
request_cost (const WlCell *cell, const WlPlacementRequest *place)
{
  return wl_queue_cost (cell, place->prompt_tokens, place->max_tokens);
}

int
wl_queue_is_long (const WlPlacementRequest *place)
{
  return place->prompt_tokens > WL_LONG_PROMPT_TOKENS;
}

static uint64_t
compute_start_tag (const WlCell *cell, const WlCellCustomer *customer,
                   const WlPlacementRequest *place)
{
  uint64_t finish = customer->finish_tag[wl_queue_is_long (place)];
  if (cell->settings->policy != WL_POLICY_ADAPTIVE)
    return cell->n_arrivals;
  return finish > cell->virtual_time ? finish : cell->virtual_time;
}

static void
insert_by_tag (WlCell *cell, WlQueuedRequest *w)
{
  WlQueuedRequest **link = &cell->queue;
  while (*link != NULL && (*link)->start_tag <= w->start_tag)
    link = &(*link)->next;
  w->next = *link;
  *link = w;
  cell->n_queued++;
}

WlQueuedRequest *
wl_queue_add (WlCell *cell, const WlPlacementRequest *place, uint64_t now_us)
{
  WlQueuedRequest *w = calloc (1, sizeof *w);
  if (w == NULL)
    abort ();
  w->place = *place;
  if (w->place.n_prefixes > WL_PREFIX_HASHES_MAX)
    w->place.n_prefixes = WL_PREFIX_HASHES_MAX;
  if (w->place.n_excluded > WL_GANG_MAX)
    w->place.n_excluded = WL_GANG_MAX;
  if (w->place.n_prefixes > 0)
    memcpy (w->prefixes, place->prefixes, w->place.n_prefixes * sizeof *w->prefixes);
  if (w->place.n_excluded > 0)
    memcpy (w->excluded, place->excluded, w->place.n_excluded * sizeof *w->excluded);
  w->place.prefixes = w->prefixes;
  w->place.excluded = w->excluded;
  w->customer = wl_accounts_customer (cell, place->customer);
  w->arrived_us = now_us;
  w->deadline_us = now_us + place->remaining_us;
  w->cost_us = request_cost (cell, place);
  cell->n_arrivals++;
  w->start_tag = compute_start_tag (cell, w->customer, place);
  w->customer->finish_tag[wl_queue_is_long (place)]
      = w->start_tag + w->cost_us / w->customer->weight + 1;
  w->customer->queued++;
  insert_by_tag (cell, w);
  return w;
}

void
wl_queue_remove (WlCell *cell, WlQueuedRequest *queued)
{
  WlQueuedRequest **link = &cell->queue;
  while (*link != queued)
    link = &(*link)->next;
  *link = queued->next;
  cell->n_queued--;
  queued->customer->queued--;
  free (queued);
}

void
wl_queue_advance (WlCell *cell, const WlQueuedRequest *queued)
{
  if (queued->start_tag > cell->virtual_time)
    cell->virtual_time = queued->start_tag;
}

WlQueuedRequest *
wl_queue_find (const WlCell *cell, uint64_t request)
{
  for (WlQueuedRequest *w = cell->queue; w != NULL; w = w->next)
    if (w->place.request == request)
      return w;
  return NULL;
}

uint64_t
wl_queue_predict_wait (WlCell *cell, const WlPlacementRequest *place)
{
  uint64_t tag = compute_start_tag (cell, wl_accounts_customer (cell, place->customer), place);
  uint64_t ahead_us = 0;
  uint32_t n = apr_hash_count (cell->endpoints);
  if (n == 0 || cell->queue == NULL)
    return 0;
  for (const WlQueuedRequest *w = cell->queue; w != NULL && w->start_tag <= tag; w = w->next)
    if (wl_queue_is_long (place) || !wl_queue_is_long (&w->place))
      ahead_us += w->cost_us;
  return ahead_us / n;
}
