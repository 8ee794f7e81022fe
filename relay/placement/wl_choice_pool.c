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
/* Of the engines, after a start: callers return at once, and no load is known. */
static const double POOL_START_SHARE = 0.6;
static const double USUAL_FILL_SHARE
    = 0.25; /* of the slots, where less is known of: after a start */
/* Of the short requests that arrive during a long prefill: late, as the rest of the pool is too. */
static const double LATE_DURING_PART_SHARE = 0.25;
static const double SHORT_LOSS = 1.1; /* unit of wl_choice_value(): a usual one that is late */

static int
by_domain_and_key (const void *a, const void *b)
{
  const WlEndpoint *x = ((const WlCandidate *)a)->endpoint;
  const WlEndpoint *y = ((const WlCandidate *)b)->endpoint;
  int order = strcmp (x->record.domain, y->record.domain);
  if (order != 0)
    return order;
  return x->key < y->key ? -1 : x->key > y->key;
}

/* Requests there that are short beside @q: the same kind as a short one, or a tighter one. */
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
  double usual = USUAL_FILL_SHARE * m->slots;
  return (on_engine > usual ? on_engine : usual) * 1e6 / (double)(duration_us + 1);
}

double
wl_choice_short_loss (const WlCandidate *c, uint64_t part_us)
{
  double window_us = (double)c->unseen_us + LATE_DURING_PART_SHARE * (double)part_us;
  return SHORT_LOSS * c->short_rate * window_us / 1e6;
}

static void
mark_pool (const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  uint32_t n_short = 0;
  int is_own = strcmp (all[0].endpoint->record.domain, q->domain) == 0;
  for (uint32_t i = 0; i < n; i++)
    n_short += count_short (q, &all[i]);
  uint32_t n_pool = (uint32_t)(n_short / (POOL_FILL_SHARE * q->service->engine.slots)) + 1;
  double min_share = q->is_load_partial ? POOL_START_SHARE : POOL_MIN_SHARE;
  uint32_t n_min = (uint32_t)(min_share * n) + 1;
  if (n_pool < n_min)
    n_pool = n_min;
  if (n_pool > n)
    n_pool = n;
  for (uint32_t i = 0; i < n_pool; i++)
    {
      all[i].is_pooled = 1;
      if (wl_choice_is_short (q))
        continue;
      all[i].short_rate = short_rate (q, &all[i], n_short, n_pool);
      all[i].unseen_us = is_own ? UNSEEN_OWN_DOMAIN_US : UNSEEN_OTHER_DOMAIN_US;
    }
}

void
wl_choice_mark_pools (const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all)
{
  qsort (all, n_all, sizeof *all, by_domain_and_key);
  for (uint32_t first = 0; first < n_all;)
    {
      uint32_t n = 1;
      while (first + n < n_all
             && strcmp (all[first + n].endpoint->record.domain, all[first].endpoint->record.domain)
                    == 0)
        n++;
      mark_pool (q, &all[first], n);
      first += n;
    }
}

static int
may_draw (const WlChoiceRequest *q, const WlCandidate *c)
{
  return c->has_room && c->gap_loss == 0.0
         && c->ttft_us <= q->objective_us * DRAW_OBJECTIVE_PERCENT / 100;
}

/* Of two engines drawn from a pool at random, the one with the shorter predicted TTFT. */
static WlCandidate *
draw_two (const WlLoad *load, const WlChoiceRequest *q, WlCandidate **pool, uint32_t n_pool,
          uint64_t random)
{
  uint64_t prefill_us = wl_forecast_prefill_us (&q->service->engine, q->prompt);
  WlCandidate *drawn[2] = { NULL, NULL };
  for (uint32_t i = 0; i < n_pool; i++)
    wl_choice_score (load, q, pool[i], q->prompt, prefill_us);
  for (uint32_t k = 0; k < 2 && n_pool > 0; k++)
    {
      uint32_t start = (uint32_t)((random >> (32 * k)) & UINT32_MAX) % n_pool;
      for (uint32_t i = 0; i < n_pool && drawn[k] == NULL; i++)
        {
          WlCandidate *c = pool[(start + i) % n_pool];
          if (c != drawn[0] && may_draw (q, c))
            drawn[k] = c;
        }
    }
  if (drawn[1] == NULL || drawn[0]->ttft_us <= drawn[1]->ttft_us)
    return drawn[0];
  return drawn[1];
}

/* Collects the pool of the own failure domain, or those of all others; returns its size. */
static uint32_t
collect_pool (const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all, int is_own,
              WlCandidate **out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < n_all; i++)
    if (all[i].is_pooled && is_own == (strcmp (all[i].endpoint->record.domain, q->domain) == 0))
      out[n++] = &all[i];
  return n;
}

WlCandidate *
wl_choice_draw (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all,
                uint64_t random)
{
  WlCandidate **pool = calloc (n_all + 1, sizeof *pool);
  if (pool == NULL)
    abort ();
  WlCandidate *drawn = draw_two (load, q, pool, collect_pool (q, all, n_all, 1, pool), random);
  if (drawn == NULL)
    drawn = draw_two (load, q, pool, collect_pool (q, all, n_all, 0, pool), random);
  free (pool);
  return drawn;
}
