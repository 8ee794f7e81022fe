#include <stdlib.h>
#include <string.h>
#include "wl_accounts.h"
#include "wl_queue.h"

enum
{
  DECODE_BATCH = 16, /* requests that share one decode step of an engine */
};

uint64_t
wl_queue_cost (const WlCell *cell, uint64_t uncached, uint64_t max_tokens)
{
  uint64_t ns = uncached * cell->cost.prefill_ns + max_tokens * cell->cost.decode_ns / DECODE_BATCH;
  return ns / 1000 + 1;
}

uint64_t
wl_queue_duration (const WlCell *cell, uint64_t uncached, uint64_t max_tokens, uint32_t n_seats)
{
  uint64_t ns = uncached * cell->cost.prefill_ns / (n_seats > 0 ? n_seats : 1)
                + max_tokens * cell->cost.decode_ns;
  return ns / 1000 + 1;
}

static uint64_t
place_cost (const WlCell *cell, const WlPlace *place)
{
  return wl_queue_cost (cell, place->prompt_tokens, place->max_tokens);
}

int
wl_queue_is_long (const WlPlace *place)
{
  return place->prompt_tokens > WL_LONG_PROMPT_TOKENS;
}

static uint64_t
start_tag (const WlCell *cell, const WlShare *share, const WlPlace *place)
{
  uint64_t finish = share->finish_tag[wl_queue_is_long (place)];
  if (cell->settings->policy != WL_POLICY_ADAPTIVE)
    return cell->arrivals;
  return finish > cell->virtual_time ? finish : cell->virtual_time;
}

static void
insert (WlCell *cell, WlWaiting *w)
{
  WlWaiting **slot = &cell->queue;
  while (*slot != NULL && (*slot)->tag <= w->tag)
    slot = &(*slot)->next;
  w->next = *slot;
  *slot = w;
  cell->n_queued++;
}

WlWaiting *
wl_queue_add (WlCell *cell, const WlPlace *place, uint64_t now_us)
{
  WlWaiting *w = calloc (1, sizeof *w);
  if (w == NULL)
    abort ();
  w->place = *place;
  if (w->place.n_prefix > WL_PREFIX_MARKS)
    w->place.n_prefix = WL_PREFIX_MARKS;
  if (w->place.n_avoid > WL_GANG_MAX)
    w->place.n_avoid = WL_GANG_MAX;
  if (w->place.n_prefix > 0)
    memcpy (w->prefix, place->prefix, w->place.n_prefix * sizeof *w->prefix);
  if (w->place.n_avoid > 0)
    memcpy (w->avoid, place->avoid, w->place.n_avoid * sizeof *w->avoid);
  w->place.prefix = w->prefix;
  w->place.avoid = w->avoid;
  w->share = wl_accounts_share (cell, place->customer);
  w->arrived_us = now_us;
  w->deadline_us = now_us + place->left_us;
  w->cost_us = place_cost (cell, place);
  cell->arrivals++;
  w->tag = start_tag (cell, w->share, place);
  w->share->finish_tag[wl_queue_is_long (place)] = w->tag + w->cost_us / w->share->weight + 1;
  w->share->queued++;
  insert (cell, w);
  return w;
}

void
wl_queue_remove (WlCell *cell, WlWaiting *waiting)
{
  WlWaiting **slot = &cell->queue;
  while (*slot != waiting)
    slot = &(*slot)->next;
  *slot = waiting->next;
  cell->n_queued--;
  waiting->share->queued--;
  free (waiting);
}

void
wl_queue_started (WlCell *cell, const WlWaiting *waiting)
{
  if (waiting->tag > cell->virtual_time)
    cell->virtual_time = waiting->tag;
}

WlWaiting *
wl_queue_find (const WlCell *cell, uint64_t request)
{
  for (WlWaiting *w = cell->queue; w != NULL; w = w->next)
    if (w->place.request == request)
      return w;
  return NULL;
}

uint64_t
wl_queue_predict_wait (WlCell *cell, const WlPlace *place)
{
  uint64_t tag = start_tag (cell, wl_accounts_share (cell, place->customer), place);
  uint64_t ahead_us = 0;
  uint32_t n = apr_hash_count (cell->endpoints);
  if (n == 0 || cell->queue == NULL)
    return 0;
  for (const WlWaiting *w = cell->queue; w != NULL && w->tag <= tag; w = w->next)
    if (wl_queue_is_long (place) || !wl_queue_is_long (&w->place))
      ahead_us += w->cost_us;
  return ahead_us / n;
}
