#include <string.h>
#include "wl_accounts.h"
#include "wl_placement.h"
#include "wl_queue.h"
#include "wl_table.h"

enum
{
  OTHER_DOMAIN_US = 4000,      /* preference for the entry's own failure domain */
  SLOT_PENALTY_US = 2000,      /* per running request: slower decoding */
  LONG_PENALTY_US = 300000,    /* a long prompt is being computed there */
  LONG_SHARE_MIN_PERCENT = 15, /* endpoints open to long prompts at policy weight 0 */
  LONG_SHARE_SPAN_PERCENT = 60,
  PRIORITY_SHORT = 0,
  PRIORITY_MEDIUM = 1,
  PRIORITY_LONG = 2,
};

static uint64_t
tokens_needed (const WlPlace *place)
{
  return place->prompt_tokens + place->max_tokens;
}

static int
is_long (const WlPlace *place, uint64_t uncached)
{
  return wl_queue_is_long (place) && uncached > WL_LONG_PROMPT_TOKENS;
}

int
wl_placement_usable (const WlCell *cell, const WlEndpoint *endpoint, uint64_t now_us)
{
  (void)cell;
  return endpoint->ready && !endpoint->leaving && endpoint->ejected_until_us <= now_us
         && now_us < endpoint->heard_us + WL_ENDPOINT_EXPIRY_US;
}

static int
is_avoided (const WlWaiting *w, const WlEndpoint *e)
{
  for (uint32_t i = 0; i < w->place.n_avoid; i++)
    if (w->place.avoid[i].endpoint == e->id)
      return 1;
  return 0;
}

static uint64_t
largest_kv (const WlCell *cell)
{
  uint64_t largest = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      const WlEndpoint *e = apr_hash_this_val (i);
      if (!e->leaving && e->kv_capacity > largest)
        largest = e->kv_capacity;
    }
  return largest * WL_CELL_KV_PERCENT / 100;
}

uint32_t
wl_placement_seats_needed (const WlCell *cell, const WlPlace *place)
{
  uint64_t kv = largest_kv (cell);
  uint32_t n = apr_hash_count (cell->endpoints);
  if (kv == 0)
    return 0;
  uint64_t seats = (tokens_needed (place) + kv - 1) / kv;
  return seats <= n && seats <= WL_GANG_MAX ? (uint32_t)(seats > 0 ? seats : 1) : 0;
}

/* ---- prefixes ---- */

void
wl_placement_remember (WlEndpoint *endpoint, const WlPrefixMark *marks, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    endpoint->prefixes[marks[i].hash % WL_CELL_PREFIXES] = marks[i];
}

void
wl_placement_forget (WlEndpoint *endpoint, const WlPrefixMark *marks, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    {
      WlPrefixMark *slot = &endpoint->prefixes[marks[i].hash % WL_CELL_PREFIXES];
      if (slot->hash == marks[i].hash)
        *slot = (WlPrefixMark){ 0, 0 };
    }
}

static uint64_t
cached_tokens (const WlEndpoint *e, const WlWaiting *w)
{
  for (uint32_t i = w->place.n_prefix; i > 0; i--)
    {
      const WlPrefixMark *m = &w->prefix[i - 1];
      if (e->prefixes[m->hash % WL_CELL_PREFIXES].hash != m->hash)
        continue;
      return m->tokens < w->place.prompt_tokens ? m->tokens : w->place.prompt_tokens;
    }
  return 0;
}

/* ---- long prompts ---- */

/*
 * Number of endpoints on which long prompts may be computed at once. The
 * policy weight sets the base; endpoints without any running request are
 * lent on top, so that an idle fleet serves long prompts with all it has.
 */
static uint32_t
long_limit (const WlCell *cell, uint32_t seats)
{
  uint32_t n = apr_hash_count (cell->endpoints);
  uint64_t percent
      = LONG_SHARE_MIN_PERCENT
        + (uint64_t)LONG_SHARE_SPAN_PERCENT * cell->services->long_weight_ppm / 1000000;
  uint32_t limit = (uint32_t)((n * percent + 99) / 100);
  uint32_t idle = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      const WlEndpoint *e = apr_hash_this_val (i);
      idle += e->slots_used == 0;
    }
  limit += idle / 2;
  return limit > seats ? limit : seats;
}

static uint32_t
longs_running (const WlCell *cell)
{
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      const WlEndpoint *e = apr_hash_this_val (i);
      n += e->long_prefills > 0;
    }
  return n;
}

/* ---- reservation ---- */

static int
is_reserved (const WlReservation *r, const WlEndpoint *e)
{
  for (uint32_t i = 0; i < r->n_endpoints; i++)
    if (r->endpoints[i] == e->id)
      return 1;
  return 0;
}

/* Whether the request may use the endpoint without delaying the reservation. */
static int
allows_backfill (const WlCell *cell, const WlWaiting *w, const WlEndpoint *e, uint64_t uncached,
                 uint64_t need, uint64_t now_us)
{
  const WlReservation *r = &cell->reservation;
  if (r->request == 0 || !is_reserved (r, e))
    return 1;
  if (r->request == w->place.request && r->attempt == w->place.attempt)
    return 1;
  if (wl_accounts_kv_free (e) >= need + r->kv_tokens && e->slots_used + 2 <= e->slots
      && !is_long (&w->place, uncached))
    return 1;
  uint64_t end_us = now_us + wl_queue_duration (cell, uncached, w->place.max_tokens, 1);
  return end_us <= r->start_us;
}

/* ---- single endpoint ---- */

static int
has_room (const WlCell *cell, const WlWaiting *w, const WlEndpoint *e, uint64_t need,
          uint64_t now_us)
{
  if (!wl_placement_usable (cell, e, now_us) || is_avoided (w, e))
    return 0;
  if (e->slots_used >= e->slots || wl_accounts_kv_free (e) < need)
    return 0;
  return 1;
}

static int
accepts (const WlCell *cell, const WlWaiting *w, const WlEndpoint *e, uint64_t uncached,
         uint64_t now_us)
{
  uint64_t need = tokens_needed (&w->place);
  if (!has_room (cell, w, e, need, now_us))
    return 0;
  if (!allows_backfill (cell, w, e, uncached, need, now_us))
    return 0;
  if (is_long (&w->place, uncached))
    return e->long_prefills == 0;
  uint64_t backlog_us = e->prefill_tokens * cell->cost.prefill_ns / 1000;
  return e->prefill_tokens == 0 || backlog_us < WL_CELL_BACKLOG_US;
}

static uint64_t
score (const WlCell *cell, const WlWaiting *w, const WlEndpoint *e, uint64_t uncached)
{
  uint64_t us = (uncached + e->prefill_tokens) * cell->cost.prefill_ns / 1000;
  us += (uint64_t)e->slots_used * SLOT_PENALTY_US;
  if (strcmp (e->domain, w->place.domain) != 0)
    us += OTHER_DOMAIN_US;
  if (e->long_prefills > 0)
    us += LONG_PENALTY_US + (1000000 - cell->services->long_weight_ppm) / 10;
  return us;
}

static int
choose_adaptive (WlCell *cell, const WlWaiting *w, uint64_t now_us, WlChoice *out)
{
  uint64_t best = UINT64_MAX;
  /* Computed before the scan: both walk the same table. */
  int longs_allowed = longs_running (cell) < long_limit (cell, 1);
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      uint64_t cached = cached_tokens (e, w);
      uint64_t uncached = w->place.prompt_tokens - cached;
      if (is_long (&w->place, uncached) && !longs_allowed)
        continue;
      if (!accepts (cell, w, e, uncached, now_us))
        continue;
      uint64_t s = score (cell, w, e, uncached);
      if (s > best)
        continue;
      if (s == best
          && wl_mix (e->id, w->place.request) < wl_mix (out->endpoints[0]->id, w->place.request))
        continue;
      best = s;
      out->endpoints[0] = e;
      out->cached_tokens = cached;
      out->is_long = (uint8_t)is_long (&w->place, uncached);
    }
  out->n = best != UINT64_MAX;
  out->kv_tokens = tokens_needed (&w->place);
  return (int)out->n;
}

/* ---- baselines ---- */

static int
choose_baseline (WlCell *cell, const WlWaiting *w, uint64_t now_us, WlChoice *out)
{
  uint64_t need = tokens_needed (&w->place);
  uint32_t n = apr_hash_count (cell->endpoints);
  uint32_t position = 0;
  uint64_t best = UINT64_MAX;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      uint64_t key = cell->settings->policy == WL_POLICY_ROUND_ROBIN
                         ? (position + n - cell->round_robin % n) % n
                         : e->kv_reserved;
      position++;
      if (!has_room (cell, w, e, need, now_us) || key >= best)
        continue;
      if (!allows_backfill (cell, w, e, w->place.prompt_tokens, need, now_us))
        continue;
      best = key;
      out->endpoints[0] = e;
    }
  out->n = best != UINT64_MAX;
  out->kv_tokens = need;
  out->is_long = (uint8_t)is_long (&w->place, w->place.prompt_tokens);
  if (out->n > 0 && cell->settings->policy == WL_POLICY_ROUND_ROBIN)
    cell->round_robin = (cell->round_robin + (uint32_t)best + 1) % n;
  return (int)out->n;
}

/* ---- gangs ---- */

static void
insert_by_free (WlEndpoint **list, uint32_t *n, uint32_t max, WlEndpoint *e)
{
  uint32_t at = *n;
  while (at > 0 && wl_accounts_kv_free (list[at - 1]) < wl_accounts_kv_free (e))
    at--;
  if (at >= max)
    return;
  uint32_t last = *n < max ? *n : max - 1;
  for (uint32_t i = last; i > at; i--)
    list[i] = list[i - 1];
  list[at] = e;
  if (*n < max)
    (*n)++;
}

static int
choose_gang (WlCell *cell, const WlWaiting *w, uint32_t seats, uint64_t now_us, WlChoice *out)
{
  uint64_t need = (tokens_needed (&w->place) + seats - 1) / seats;
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      if (!has_room (cell, w, e, need, now_us) || e->long_prefills > 0)
        continue;
      if (!allows_backfill (cell, w, e, w->place.prompt_tokens, need, now_us))
        continue;
      insert_by_free (out->endpoints, &n, seats, e);
    }
  out->n = n;
  out->kv_tokens = need;
  out->is_long = 1;
  return n == seats;
}

static uint32_t
priority (const WlPlace *place)
{
  if (place->prompt_tokens <= WL_SHORT_PROMPT_TOKENS)
    return PRIORITY_SHORT;
  return place->prompt_tokens <= WL_LONG_PROMPT_TOKENS ? PRIORITY_MEDIUM : PRIORITY_LONG;
}

int
wl_placement_choose (WlCell *cell, const WlWaiting *waiting, uint64_t now_us, WlChoice *out)
{
  uint32_t seats = wl_placement_seats_needed (cell, &waiting->place);
  memset (out, 0, sizeof *out);
  if (seats == 0)
    return 0;
  out->priority = priority (&waiting->place);
  if (seats > 1)
    return choose_gang (cell, waiting, seats, now_us, out);
  switch ((WlPolicy)cell->settings->policy)
    {
    case WL_POLICY_ROUND_ROBIN:
    case WL_POLICY_LEAST_LOADED:
      out->priority = PRIORITY_SHORT;
      return choose_baseline (cell, waiting, now_us, out);
    case WL_POLICY_ADAPTIVE:
    case WL_POLICY_FIFO:
      break;
    }
  return choose_adaptive (cell, waiting, now_us, out);
}

/* Estimated time at which the endpoint has the memory, by running grants in order of end. */
static uint64_t
free_at (const WlCell *cell, const WlEndpoint *e, uint64_t need, uint64_t now_us)
{
  uint64_t ends[256];
  uint64_t kv[256];
  uint32_t n = 0;
  uint64_t free_kv = wl_accounts_kv_free (e);
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i && n < 256;
       i = apr_hash_next (i))
    {
      const WlGrantRecord *g = apr_hash_this_val (i);
      for (uint32_t s = 0; s < g->n_seats; s++)
        if (g->seats[s].endpoint == e->id && !g->seats[s].freed)
          {
            uint32_t at = n++;
            for (; at > 0 && ends[at - 1] > g->end_us; at--)
              {
                ends[at] = ends[at - 1];
                kv[at] = kv[at - 1];
              }
            ends[at] = g->end_us;
            kv[at] = g->seats[s].kv_tokens;
            break;
          }
    }
  uint64_t at_us = now_us;
  for (uint32_t i = 0; i < n && free_kv < need; i++)
    {
      free_kv += kv[i];
      at_us = ends[i] > now_us ? ends[i] : now_us;
    }
  return at_us;
}

int
wl_placement_reserve (WlCell *cell, const WlWaiting *waiting, uint64_t now_us)
{
  WlEndpoint *list[1024];
  uint64_t at[1024];
  uint32_t n = 0;
  uint32_t seats = wl_placement_seats_needed (cell, &waiting->place);
  if (seats == 0)
    return 0;
  uint64_t need = (tokens_needed (&waiting->place) + seats - 1) / seats;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i && n < 1024;
       i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      if (!wl_placement_usable (cell, e, now_us) || is_avoided (waiting, e))
        continue;
      if (e->kv_capacity * WL_CELL_KV_PERCENT / 100 < need)
        continue;
      uint64_t t = free_at (cell, e, need, now_us);
      uint32_t p = n++;
      for (; p > 0 && at[p - 1] > t; p--)
        {
          at[p] = at[p - 1];
          list[p] = list[p - 1];
        }
      at[p] = t;
      list[p] = e;
    }
  if (n < seats)
    return 0;
  WlReservation *r = &cell->reservation;
  memset (r, 0, sizeof *r);
  r->request = waiting->place.request;
  r->attempt = waiting->place.attempt;
  r->kv_tokens = need;
  r->n_endpoints = seats;
  r->start_us = at[seats - 1];
  for (uint32_t i = 0; i < seats; i++)
    r->endpoints[i] = list[i]->id;
  return 1;
}
