#include <string.h>
#include "wl_accounts.h"
#include "wl_placement.h"
#include "wl_queue.h"
#include "wl_table.h"

enum
{
  /* Added to an endpoint's predicted prefill time; the lowest total is chosen. */
  OTHER_DOMAIN_PENALTY_US = 4000,   /* not in the entry's failure domain */
  SLOT_IN_USE_PENALTY_US = 2000,    /* each running request slows decoding */
  LONG_PREFILL_PENALTY_US = 300000, /* a long prompt is in prefill there */
  LONG_WEIGHT_PENALTY_US = 100000,  /* plus this at long_weight_ppm 0, falling to 0 at PPM */

  LONG_ENDPOINTS_MIN_PERCENT = 15,  /* endpoints open to long prompts at long_weight_ppm 0 */
  LONG_ENDPOINTS_SPAN_PERCENT = 60, /* added in proportion to long_weight_ppm */

  PPM = 1000000,
  PRIORITY_SHORT = 0,
  PRIORITY_MEDIUM = 1,
  PRIORITY_LONG = 2,
  CANDIDATES_MAX = 1024,     /* endpoints considered for a reservation */
  ENDPOINT_GRANTS_MAX = 256, /* grants considered when estimating when KV cache becomes free */
};

static uint64_t
tokens_needed (const WlPlacementRequest *place)
{
  return place->prompt_tokens + place->max_tokens;
}

static int
is_long (const WlPlacementRequest *place, uint64_t uncached)
{
  return wl_queue_is_long (place) && uncached > WL_LONG_PROMPT_TOKENS;
}

static int
is_available (const WlEndpoint *endpoint, uint64_t now_us)
{
  return endpoint->ready && !endpoint->leaving && endpoint->ejected_until_us <= now_us
         && now_us < endpoint->last_contact_us + WL_ENDPOINT_EXPIRY_US;
}

int
wl_placement_is_evacuated (const WlCell *cell, const WlEndpoint *endpoint)
{
  for (uint32_t i = 0; i < cell->n_evacuations; i++)
    if (cell->evacuations[i].is_active
        && strcmp (cell->evacuations[i].domain, endpoint->domain) == 0)
      return 1;
  return 0;
}

int
wl_placement_is_usable (const WlCell *cell, const WlEndpoint *endpoint, uint64_t now_us)
{
  return is_available (endpoint, now_us) && !wl_placement_is_evacuated (cell, endpoint);
}

int
wl_placement_is_withheld (const WlCell *cell, uint64_t now_us)
{
  uint32_t n_withheld = 0;
  if (cell->n_evacuations == 0)
    return 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      const WlEndpoint *e = apr_hash_this_val (i);
      if (wl_placement_is_usable (cell, e, now_us))
        return 0;
      n_withheld += (uint32_t)is_available (e, now_us);
    }
  return n_withheld > 0;
}

static int
is_excluded (const WlQueuedRequest *w, const WlEndpoint *e)
{
  for (uint32_t i = 0; i < w->place.n_excluded; i++)
    if (w->place.excluded[i].endpoint == e->id)
      return 1;
  return 0;
}

/* KV cache that grants may use on the largest endpoint. */
static uint64_t
largest_usable_kv (const WlCell *cell)
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
wl_placement_endpoints_needed (const WlCell *cell, const WlPlacementRequest *place)
{
  uint64_t kv = largest_usable_kv (cell);
  uint32_t n = apr_hash_count (cell->endpoints);
  if (kv == 0)
    return 0;
  uint64_t n_needed = (tokens_needed (place) + kv - 1) / kv;
  return n_needed <= n && n_needed <= WL_GANG_MAX ? (uint32_t)(n_needed > 0 ? n_needed : 1) : 0;
}

/* ---- prefixes ---- */

static WlPrefixMatch
match_prefixes (const WlCell *cell, const WlEndpoint *e, const WlQueuedRequest *w, uint64_t now_us)
{
  WlPrefixRoom room = {
    .kv_used = e->kv_reserved > e->kv_reported ? e->kv_reserved : e->kv_reported,
    .kv_capacity = e->kv_capacity * WL_CELL_KV_PERCENT / 100,
    .slots_used = e->slots_used,
    .slots = e->slots,
  };
  return wl_prefix_match (&e->prefixes, w->prefixes, w->place.n_prefixes, w->place.prompt_tokens,
                          cell->weighs_prefixes ? &room : NULL, now_us);
}

/* ---- long prompts ---- */

/*
 * Number of endpoints that may have a long prompt in prefill at once. The
 * configured weight of long prompts sets the base; half of the endpoints
 * without any running request are added, so that an idle cell uses more of its
 * endpoints for long prompts. At least n_needed.
 */
static uint32_t
max_long_endpoints (const WlCell *cell, uint32_t n_needed)
{
  uint32_t n = apr_hash_count (cell->endpoints);
  uint64_t percent
      = LONG_ENDPOINTS_MIN_PERCENT
        + (uint64_t)LONG_ENDPOINTS_SPAN_PERCENT * cell->services->long_weight_ppm / PPM;
  uint32_t limit = (uint32_t)((n * percent + 99) / 100);
  uint32_t idle = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      const WlEndpoint *e = apr_hash_this_val (i);
      idle += e->slots_used == 0;
    }
  limit += idle / 2;
  return limit > n_needed ? limit : n_needed;
}

static uint32_t
count_long_endpoints (const WlCell *cell)
{
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      const WlEndpoint *e = apr_hash_this_val (i);
      n += e->long_prefills > 0;
    }
  return n;
}

/* ---- reservation and backfilling ---- */

static int
is_in_reservation (const WlMemoryReservation *r, const WlEndpoint *e)
{
  for (uint32_t i = 0; i < r->n_endpoints; i++)
    if (r->endpoints[i] == e->id)
      return 1;
  return 0;
}

/* Whether the request may use the endpoint without delaying the reserved request. */
static int
allows_backfill (const WlCell *cell, const WlQueuedRequest *w, const WlEndpoint *e,
                 uint64_t uncached, uint64_t kv_needed, uint64_t now_us)
{
  const WlMemoryReservation *r = &cell->reservation;
  if (r->request == 0 || !is_in_reservation (r, e))
    return 1;
  if (r->request == w->place.request && r->attempt == w->place.attempt)
    return 1;
  if (wl_accounts_kv_free (e) >= kv_needed + r->kv_tokens && e->slots_used + 2 <= e->slots
      && !is_long (&w->place, uncached))
    return 1;
  uint64_t end_us = now_us + wl_queue_duration (cell, uncached, w->place.max_tokens, 1);
  return end_us <= r->start_us;
}

/* ---- single endpoint ---- */

static int
has_room (const WlCell *cell, const WlQueuedRequest *w, const WlEndpoint *e, uint64_t kv_needed,
          uint64_t now_us)
{
  if (!wl_placement_is_usable (cell, e, now_us) || is_excluded (w, e))
    return 0;
  if (e->slots_used >= e->slots || wl_accounts_kv_free (e) < kv_needed)
    return 0;
  return 1;
}

/* An endpoint accepts one long prefill at a time, and short ones up to a bounded backlog. */
static int
accepts (const WlCell *cell, const WlQueuedRequest *w, const WlEndpoint *e, uint64_t uncached,
         uint64_t now_us)
{
  uint64_t kv_needed = tokens_needed (&w->place);
  if (!has_room (cell, w, e, kv_needed, now_us))
    return 0;
  if (!allows_backfill (cell, w, e, uncached, kv_needed, now_us))
    return 0;
  if (is_long (&w->place, uncached))
    return e->long_prefills == 0;
  uint64_t backlog_us = e->prefill_tokens * cell->cost.prefill_ns / 1000;
  return e->prefill_tokens == 0 || backlog_us < WL_CELL_PREFILL_BACKLOG_MAX_US;
}

static WlPrefixCost
prefix_cost (const WlCell *cell, const WlQueuedRequest *w, const WlEndpoint *e, uint64_t expected)
{
  return (WlPrefixCost){
    .prompt_tokens = w->place.prompt_tokens,
    .expected_tokens = expected,
    .backlog_tokens = e->prefill_tokens,
    .prefill_ns = cell->cost.prefill_ns,
    .n_running = e->slots_used,
  };
}

static uint64_t
predicted_cost_us (const WlCell *cell, const WlQueuedRequest *w, const WlEndpoint *e,
                   uint64_t expected)
{
  WlPrefixCost cost = prefix_cost (cell, w, e, expected);
  uint64_t us = wl_prefix_wait_us (&cost);
  if (cell->weighs_prefixes)
    us += wl_prefix_loss_us (&cost);
  us += (uint64_t)e->slots_used * SLOT_IN_USE_PENALTY_US;
  if (strcmp (e->domain, w->place.domain) != 0)
    us += OTHER_DOMAIN_PENALTY_US;
  if (e->long_prefills > 0)
    us += LONG_PREFILL_PENALTY_US
          + (PPM - cell->services->long_weight_ppm) / (PPM / LONG_WEIGHT_PENALTY_US);
  return us;
}

/* Ties are broken by a hash, so that different requests choose different endpoints. */
static int
is_better (const WlQueuedRequest *w, const WlEndpoint *e, uint64_t us, const WlEndpoint *best,
           uint64_t best_us)
{
  if (us != best_us || best == NULL)
    return us < best_us;
  return wl_hash_ids (e->id, w->place.request) >= wl_hash_ids (best->id, w->place.request);
}

static int
choose_adaptive (WlCell *cell, const WlQueuedRequest *w, uint64_t now_us, WlPlacementChoice *out)
{
  uint64_t best_us = UINT64_MAX;
  uint64_t unsaved_best_us = UINT64_MAX;
  uint64_t most_expected = 0;
  const WlEndpoint *unsaved_best = NULL; /* the choice if nothing were cached */
  /* Computed before the loop: both functions iterate over the same table. */
  int may_start_long = count_long_endpoints (cell) < max_long_endpoints (cell, 1);
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      WlPrefixMatch match = match_prefixes (cell, e, w, now_us);
      uint64_t uncached = w->place.prompt_tokens - match.expected_tokens;
      if (match.expected_tokens > most_expected && wl_placement_is_usable (cell, e, now_us)
          && !is_excluded (w, e))
        most_expected = match.expected_tokens;
      if (is_long (&w->place, uncached) && !may_start_long)
        continue;
      if (!accepts (cell, w, e, uncached, now_us))
        continue;
      uint64_t cost_us = predicted_cost_us (cell, w, e, match.expected_tokens);
      uint64_t unsaved_us = match.expected_tokens > 0 ? predicted_cost_us (cell, w, e, 0) : cost_us;
      if (is_better (w, e, unsaved_us, unsaved_best, unsaved_best_us))
        {
          unsaved_best_us = unsaved_us;
          unsaved_best = e;
        }
      if (!is_better (w, e, cost_us, out->endpoints[0], best_us))
        continue;
      WlPrefixCost cost = prefix_cost (cell, w, e, match.expected_tokens);
      best_us = cost_us;
      out->endpoints[0] = e;
      out->cached_tokens = match.expected_tokens;
      out->likely_tokens = match.likely_tokens;
      out->wait_us = wl_prefix_wait_us (&cost);
      out->is_long = (uint8_t)is_long (&w->place, uncached);
    }
  out->n = best_us != UINT64_MAX;
  out->is_for_prefix = unsaved_best != out->endpoints[0];
  out->is_outweighed = most_expected > out->cached_tokens;
  out->kv_tokens = tokens_needed (&w->place);
  return (int)out->n;
}

/* ---- baseline policies, for comparison with the adaptive one ---- */

static int
choose_baseline (WlCell *cell, const WlQueuedRequest *w, uint64_t now_us, WlPlacementChoice *out)
{
  uint64_t kv_needed = tokens_needed (&w->place);
  uint32_t n = apr_hash_count (cell->endpoints);
  uint32_t position = 0;
  uint64_t best = UINT64_MAX;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      uint64_t rank = cell->settings->policy == WL_POLICY_ROUND_ROBIN
                          ? (position + n - cell->round_robin % n) % n
                          : e->kv_reserved;
      position++;
      if (!has_room (cell, w, e, kv_needed, now_us) || rank >= best)
        continue;
      if (!allows_backfill (cell, w, e, w->place.prompt_tokens, kv_needed, now_us))
        continue;
      best = rank;
      out->endpoints[0] = e;
    }
  out->n = best != UINT64_MAX;
  out->kv_tokens = kv_needed;
  out->is_long = (uint8_t)is_long (&w->place, w->place.prompt_tokens);
  if (out->n > 0 && cell->settings->policy == WL_POLICY_ROUND_ROBIN)
    cell->round_robin = (cell->round_robin + (uint32_t)best + 1) % n;
  return (int)out->n;
}

/* ---- gangs ---- */

/* Inserts into a list of at most max endpoints, most free KV cache first. */
static void
insert_by_free_kv (WlEndpoint **list, uint32_t *n, uint32_t max, WlEndpoint *e)
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
choose_gang (WlCell *cell, const WlQueuedRequest *w, uint32_t n_endpoints, uint64_t now_us,
             WlPlacementChoice *out)
{
  uint64_t kv_needed = (tokens_needed (&w->place) + n_endpoints - 1) / n_endpoints;
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      if (!has_room (cell, w, e, kv_needed, now_us) || e->long_prefills > 0)
        continue;
      if (!allows_backfill (cell, w, e, w->place.prompt_tokens, kv_needed, now_us))
        continue;
      insert_by_free_kv (out->endpoints, &n, n_endpoints, e);
    }
  out->n = n;
  out->kv_tokens = kv_needed;
  out->is_long = 1;
  return n == n_endpoints;
}

static uint32_t
priority (const WlPlacementRequest *place)
{
  if (place->prompt_tokens <= WL_SHORT_PROMPT_TOKENS)
    return PRIORITY_SHORT;
  return place->prompt_tokens <= WL_LONG_PROMPT_TOKENS ? PRIORITY_MEDIUM : PRIORITY_LONG;
}

int
wl_placement_choose (WlCell *cell, const WlQueuedRequest *queued, uint64_t now_us,
                     WlPlacementChoice *out)
{
  uint32_t n_needed = wl_placement_endpoints_needed (cell, &queued->place);
  memset (out, 0, sizeof *out);
  if (n_needed == 0)
    return 0;
  out->priority = priority (&queued->place);
  if (n_needed > 1)
    return choose_gang (cell, queued, n_needed, now_us, out);
  switch ((WlPolicy)cell->settings->policy)
    {
    case WL_POLICY_ROUND_ROBIN:
    case WL_POLICY_LEAST_LOADED:
      out->priority = PRIORITY_SHORT;
      return choose_baseline (cell, queued, now_us, out);
    case WL_POLICY_ADAPTIVE:
    case WL_POLICY_FIFO:
      break;
    }
  return choose_adaptive (cell, queued, now_us, out);
}

/* Estimates when the endpoint has the KV cache free, its grants ending in the estimated order. */
static uint64_t
estimate_free_us (const WlCell *cell, const WlEndpoint *e, uint64_t kv_needed, uint64_t now_us)
{
  uint64_t ends[ENDPOINT_GRANTS_MAX];
  uint64_t kv[ENDPOINT_GRANTS_MAX];
  uint32_t n = 0;
  uint64_t free_kv = wl_accounts_kv_free (e);
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i && n < ENDPOINT_GRANTS_MAX;
       i = apr_hash_next (i))
    {
      const WlGrantRecord *g = apr_hash_this_val (i);
      for (uint32_t j = 0; j < g->n_allocations; j++)
        if (g->allocations[j].endpoint == e->id && !g->allocations[j].freed)
          {
            uint32_t at = n++;
            for (; at > 0 && ends[at - 1] > g->estimated_end_us; at--)
              {
                ends[at] = ends[at - 1];
                kv[at] = kv[at - 1];
              }
            ends[at] = g->estimated_end_us;
            kv[at] = g->allocations[j].kv_tokens;
            break;
          }
    }
  uint64_t free_us = now_us;
  for (uint32_t i = 0; i < n && free_kv < kv_needed; i++)
    {
      free_kv += kv[i];
      free_us = ends[i] > now_us ? ends[i] : now_us;
    }
  return free_us;
}

int
wl_placement_reserve (WlCell *cell, const WlQueuedRequest *queued, uint64_t now_us)
{
  WlEndpoint *candidates[CANDIDATES_MAX];
  uint64_t free_us[CANDIDATES_MAX];
  uint32_t n = 0;
  uint32_t n_needed = wl_placement_endpoints_needed (cell, &queued->place);
  if (n_needed == 0)
    return 0;
  uint64_t kv_needed = (tokens_needed (&queued->place) + n_needed - 1) / n_needed;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i && n < CANDIDATES_MAX;
       i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      if (!wl_placement_is_usable (cell, e, now_us) || is_excluded (queued, e))
        continue;
      if (e->kv_capacity * WL_CELL_KV_PERCENT / 100 < kv_needed)
        continue;
      uint64_t t_us = estimate_free_us (cell, e, kv_needed, now_us);
      uint32_t p = n++;
      for (; p > 0 && free_us[p - 1] > t_us; p--)
        {
          free_us[p] = free_us[p - 1];
          candidates[p] = candidates[p - 1];
        }
      free_us[p] = t_us;
      candidates[p] = e;
    }
  if (n < n_needed)
    return 0;
  WlMemoryReservation *r = &cell->reservation;
  memset (r, 0, sizeof *r);
  r->request = queued->place.request;
  r->attempt = queued->place.attempt;
  r->kv_tokens = kv_needed;
  r->n_endpoints = n_needed;
  r->start_us = free_us[n_needed - 1];
  for (uint32_t i = 0; i < n_needed; i++)
    r->endpoints[i] = candidates[i]->id;
  return 1;
}
