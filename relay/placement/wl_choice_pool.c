#include <stdlib.h>
#include <string.h>
#include "wl_choice_internal.h"

/*
 * Fleets in which many nodes choose at once on load reports of different age: the engines of a
 * failure domain are divided between short requests and long prompts.
 */

enum
{
  /* How long a node does not know of a placement, by the failure domain of the engine. */
  UNSEEN_OWN_DOMAIN_US = 10000,
  UNSEEN_OTHER_DOMAIN_US = 50000,
  DRAW_OBJECTIVE_PERCENT = 70, /* of the objective: longer predicted TTFTs are not drawn */
};

static const double POOL_FILL_SHARE = 0.67; /* of the slots; the rest is for bursts */
static const double POOL_MIN_SHARE = 0.25;  /* of the engines, also without short requests */
/* Of the engines, while the load of most nodes is unknown: after a start of all nodes their callers
   return at once. */
static const double POOL_START_SHARE = 0.6;
/* Of the slots: the least use that is assumed when the loss of short requests is estimated. The
   load that a node sees after its start is too low. */
static const double MIN_FILL_SHARE = 0.25;
/* Of the short requests that arrive during a long prefill: the others are drawn elsewhere, since
   the prefill is known by then. */
static const double LATE_DURING_PART_SHARE = 0.25;
static const double SHORT_LOSS
    = 1.1; /* of a late short request, in the unit of wl_choice_value() */

static int
by_key (const void *a, const void *b)
{
  uint64_t x = (*(WlCandidate *const *)a)->endpoint->key;
  uint64_t y = (*(WlCandidate *const *)b)->endpoint->key;
  return x < y ? -1 : x > y;
}

/* Requests at an engine that count as short: no longer gap than @q if it is short, else a shorter
 * one. */
static uint32_t
count_short (const WlChoiceRequest *q, const WlCandidate *c)
{
  uint64_t gap_us = c->sum.min_gap_us;
  if (gap_us == 0 || gap_us > q->gap_us || (gap_us == q->gap_us && !wl_choice_is_short (q)))
    return 0;
  return c->sum.min_gap_items;
}

/* Short requests a second that are expected at an engine of a pool. */
static double
short_rate (const WlChoiceRequest *q, const WlCandidate *c, uint32_t n_short, uint32_t n_pool)
{
  const WlEngineModel *m = &q->service->engine;
  uint64_t duration_us
      = wl_forecast_decode_us (m, c->sum.decodes, c->sum.decode_context, m->mean_output);
  double on_engine = (double)n_short / n_pool;
  double at_least = MIN_FILL_SHARE * m->slots;
  return (on_engine > at_least ? on_engine : at_least) * 1e6 / (double)(duration_us + 1);
}

double
wl_choice_short_loss (const WlCandidate *c, uint64_t part_us)
{
  double window_us = (double)c->unseen_us + LATE_DURING_PART_SHARE * (double)part_us;
  return SHORT_LOSS * c->short_rate * window_us / 1e6;
}

/* Marks the pool among the @n engines of one failure domain, whose order changes. */
static void
mark_pool (const WlChoiceRequest *q, WlCandidate **engines, uint32_t n)
{
  uint32_t n_short = 0;
  int is_own = strcmp (engines[0]->endpoint->record.domain, q->domain) == 0;
  for (uint32_t i = 0; i < n; i++)
    n_short += count_short (q, engines[i]);
  uint32_t n_pool = (uint32_t)(n_short / (POOL_FILL_SHARE * q->service->engine.slots)) + 1;
  double min_share = q->is_load_partial ? POOL_START_SHARE : POOL_MIN_SHARE;
  uint32_t n_min = (uint32_t)(min_share * n) + 1;
  if (n_pool < n_min)
    n_pool = n_min;
  if (n_pool > n)
    n_pool = n;
  qsort (engines, n, sizeof (WlCandidate *), by_key);
  for (uint32_t i = 0; i < n_pool; i++)
    {
      WlCandidate *c = engines[i];
      c->is_pooled = 1;
      if (wl_choice_is_short (q))
        continue;
      c->short_rate = short_rate (q, c, n_short, n_pool);
      c->unseen_us = is_own ? UNSEEN_OWN_DOMAIN_US : UNSEEN_OTHER_DOMAIN_US;
    }
}

/* Moves the candidates of the failure domain of the first one to the front; returns their number.
 */
static uint32_t
gather_domain (WlCandidate **candidates, uint32_t n)
{
  const char *domain = candidates[0]->endpoint->record.domain;
  uint32_t n_here = 1;
  for (uint32_t i = 1; i < n; i++)
    if (strcmp (candidates[i]->endpoint->record.domain, domain) == 0)
      {
        WlCandidate *c = candidates[n_here];
        candidates[n_here++] = candidates[i];
        candidates[i] = c;
      }
  return n_here;
}

void
wl_choice_mark_pools (const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all)
{
  WlCandidate **candidates = calloc (n_all + 1, sizeof (WlCandidate *));
  if (candidates == NULL)
    abort ();
  for (uint32_t i = 0; i < n_all; i++)
    candidates[i] = &all[i];
  for (uint32_t first = 0, n; first < n_all; first += n)
    {
      n = gather_domain (&candidates[first], n_all - first);
      mark_pool (q, &candidates[first], n);
    }
  free (candidates);
}

static int
may_draw (const WlChoiceRequest *q, const WlCandidate *c)
{
  return c->has_room && c->gap_loss == 0.0 && c->ttft_us < q->deadline_us
         && c->ttft_us <= q->objective_us * DRAW_OBJECTIVE_PERCENT / 100;
}

/*
 * Collects the engines to draw from: those of the pool of the own failure domain, or of the pools
 * of all others; returns their number.
 */
static uint32_t
collect_drawable (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all,
                  int is_own, WlCandidate **out)
{
  uint64_t prefill_us = wl_forecast_prefill_us (&q->service->engine, q->prompt);
  uint32_t n = 0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      WlCandidate *c = &all[i];
      if (!c->is_pooled || is_own != (strcmp (c->endpoint->record.domain, q->domain) == 0))
        continue;
      wl_choice_score (load, q, c, q->prompt, prefill_us);
      if (may_draw (q, c))
        out[n++] = c;
    }
  return n;
}

/* Of two engines drawn at random, the one with the shorter predicted TTFT. */
static WlCandidate *
draw_two (WlCandidate *const *drawable, uint32_t n, uint64_t random)
{
  if (n == 0)
    return NULL;
  uint32_t at = (uint32_t)(random & UINT32_MAX) % n;
  WlCandidate *drawn = drawable[at];
  if (n == 1)
    return drawn;
  WlCandidate *other = drawable[(at + 1 + (uint32_t)(random >> 32) % (n - 1)) % n];
  return other->ttft_us < drawn->ttft_us ? other : drawn;
}

WlCandidate *
wl_choice_draw (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all,
                uint64_t random)
{
  if (wl_choice_is_spread (q))
    return NULL;
  WlCandidate **drawable = calloc (n_all + 1, sizeof (WlCandidate *));
  if (drawable == NULL)
    abort ();
  uint32_t n = collect_drawable (load, q, all, n_all, 1, drawable);
  if (n == 0)
    n = collect_drawable (load, q, all, n_all, 0, drawable);
  WlCandidate *drawn = draw_two (drawable, n, random);
  free (drawable);
  return drawn;
}
