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

static const double POOL_FILL_SHARE = 0.5; /* of the slots; the rest is for bursts */
static const double POOL_MIN_SHARE = 0.25; /* of the engines, also without short requests */
static const double SHORT_LOSS = 1.1;      /* unit of wl_choice_value(): a usual one that is late */

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

/*
 * Value lost at an engine of the pool by short requests that others place there before they learn
 * of a long prefill. @n_short of them are on @n_pool engines.
 */
static double
unseen_loss (const WlChoiceRequest *q, const WlCandidate *c, uint32_t n_short, uint32_t n_pool)
{
  const WlEngineModel *m = &q->service->engine;
  uint64_t duration_us
      = wl_forecast_decode_us (m, c->sum.decodes, c->sum.decode_context, m->mean_output);
  uint64_t unseen_us = strcmp (c->endpoint->record.domain, q->domain) == 0 ? UNSEEN_OWN_DOMAIN_US
                                                                           : UNSEEN_OTHER_DOMAIN_US;
  double on_engine = (double)n_short / n_pool;
  return SHORT_LOSS * on_engine * (double)unseen_us / (double)(duration_us + 1);
}

static void
mark_pool (const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  uint32_t n_short = 0;
  for (uint32_t i = 0; i < n; i++)
    n_short += count_short (q, &all[i]);
  uint32_t n_pool = (uint32_t)(n_short / (POOL_FILL_SHARE * q->service->engine.slots)) + 1;
  uint32_t n_min = (uint32_t)(POOL_MIN_SHARE * n) + 1;
  if (n_pool < n_min)
    n_pool = n_min;
  if (n_pool > n)
    n_pool = n;
  for (uint32_t i = 0; i < n_pool; i++)
    {
      all[i].is_pooled = 1;
      if (!wl_choice_is_short (q))
        all[i].unseen_loss = unseen_loss (q, &all[i], n_short, n_pool);
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

/* Returns the pool of the own failure domain, which is contiguous after wl_choice_mark_pools(). */
static WlCandidate *
find_own_pool (const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all, uint32_t *n_pool)
{
  uint32_t first = 0;
  uint32_t n = 0;
  while (first < n_all && strcmp (all[first].endpoint->record.domain, q->domain) != 0)
    first++;
  while (first + n < n_all && all[first + n].is_pooled
         && strcmp (all[first + n].endpoint->record.domain, q->domain) == 0)
    n++;
  *n_pool = n;
  return &all[first];
}

WlCandidate *
wl_choice_draw (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all,
                uint64_t random)
{
  uint64_t prefill_us = wl_forecast_prefill_us (&q->service->engine, q->prompt);
  WlCandidate *drawn[2] = { NULL, NULL };
  uint32_t n_pool;
  WlCandidate *pool = find_own_pool (q, all, n_all, &n_pool);
  for (uint32_t i = 0; i < n_pool; i++)
    wl_choice_score (load, q, &pool[i], q->prompt, prefill_us);
  for (uint32_t k = 0; k < 2 && n_pool > 0; k++)
    {
      uint32_t start = (uint32_t)((random >> (32 * k)) & UINT32_MAX) % n_pool;
      for (uint32_t i = 0; i < n_pool && drawn[k] == NULL; i++)
        {
          WlCandidate *c = &pool[(start + i) % n_pool];
          if (c != drawn[0] && may_draw (q, c))
            drawn[k] = c;
        }
    }
  if (drawn[1] == NULL || drawn[0]->ttft_us <= drawn[1]->ttft_us)
    return drawn[0];
  return drawn[1];
}
