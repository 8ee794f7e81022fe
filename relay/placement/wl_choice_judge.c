#include <stdlib.h>
#include <string.h>
#include "wl_choice_internal.h"

/* Scores: the value that a request earns at an endpoint, less what it costs other requests. */

enum
{
  ABANDON_GAPS = 6,       /* tolerated gaps, with a margin, after which callers disconnect */
  GAP_PERCENT = 75,       /* of a tolerated gap: load reports of other nodes arrive with a delay */
  KV_RESERVE_PERCENT = 3, /* kept free for outputs longer than expected */
  OVERSIZED_PERCENT = 95, /* of one engine's KV cache: larger requests are spread over several */
  SPREAD_MIN_TOKENS = 20000, /* smaller parts of the KV cache are not reserved */
  SPREAD_FIRST_PERCENT = 90, /* of free KV cache at the answering engine, which reserves none */
};

static const double VALUE_PER_TOKEN = 1e-4; /* the value of a request grows with its prompt */

/* Shares of a request's value. */
static const double LATE_SHARE = 0.25;        /* left just after the objective */
static const double ABANDON_COST_SHARE = 1.5; /* caller disconnects: the work done is lost too */
static const double EARLY_TTFT_SHARE = 0.6;   /* of the objective: an earlier TTFT adds little */
static const double EARLY_BONUS_SHARE = 0.15; /* added for a TTFT of 0 */
static const double FIRST_SHORT_COST_SHARE = 0.15; /* short request with the shortest gap there */
static const double FILL_BONUS_SHARE
    = 0.05; /* full engine: added for short requests, else a cost */
static const double OTHER_DOMAIN_COST_SHARE = 0.01; /* leaving the failure domain */
/* Most that short requests to come cost a prompt at the engine that answers: not more than its
   discount near the deadline. Otherwise it could be refused while all engines are idle. */
static const double SHORT_LOSS_MAX_SHARE = 0.5;

/* Value units. */
static const double HELPER_COST = 0.02;         /* of each helper */
static const double SPREAD_FREE_KV_BONUS = 4.0; /* for helpers with an empty KV cache */
static const double PREFILL_DELAY_COST = 0.1; /* per queued prompt, for a delay of one objective */

double
wl_choice_value (uint64_t prompt)
{
  return 1.0 + (double)prompt * VALUE_PER_TOKEN;
}

double
wl_choice_timeliness (const WlChoiceRequest *q, uint64_t ttft_us)
{
  double objective = (double)q->objective_us;
  double early_us = EARLY_TTFT_SHARE * objective;
  double t = (double)ttft_us;
  if (ttft_us >= q->deadline_us)
    return 0.0;
  if (t <= early_us)
    return 1.0 + EARLY_BONUS_SHARE * (1.0 - t / early_us);
  if (t < objective)
    return 1.0 - (1.0 - LATE_SHARE) * 0.5 * (t - early_us) / (objective - early_us);
  /* After the objective the rest of the value falls to 0 at the deadline. */
  return LATE_SHARE * (1.0 - (t - objective) / ((double)q->deadline_us - objective));
}

/*
 * Factor on the iterations of a slow endpoint, as on its TTFT. Only services whose endpoints can be
 * cold have it: an endpoint is slow during its warm-up.
 */
static double
iteration_slowdown (const WlChoiceRequest *q, const WlCandidate *c)
{
  return q->service->cold_rate > 0 && c->slowdown > 1.0 ? c->slowdown : 1.0;
}

/* Value lost by the requests of an endpoint whose next gap becomes too long by added prefill. */
static double
gap_penalty (const WlLoad *load, const WlChoiceRequest *q, const WlCandidate *c,
             uint64_t prefill_tokens, uint64_t prefill_us)
{
  const WlEngineModel *m = &q->service->engine;
  const WlLoadQueue *queue = wl_load_queue (load, c->endpoint->key);
  const WlLoadSum *s = &c->sum;
  double speed = iteration_slowdown (q, c);
  uint64_t before_us
      = (uint64_t)(speed
                   * (double)wl_forecast_iteration_us (m, s->decodes, s->decode_context,
                                                       s->backlog_tokens, s->backlog_us));
  uint64_t after_us
      = (uint64_t)(speed
                   * (double)wl_forecast_iteration_us (
                       m, s->decodes, s->decode_context, s->backlog_tokens + prefill_tokens,
                       s->backlog_us + (uint64_t)((double)prefill_us / speed)));
  double penalty = 0.0;
  for (uint32_t i = 0; queue != NULL && i < queue->n_items; i++)
    {
      const WlWorkItem *item = &queue->items[i].work;
      uint64_t gap_us = (uint64_t)item->gap_ms * 1000 * GAP_PERCENT / 100;
      if (item->kv_tokens == 0 || gap_us == 0)
        continue;
      if (before_us <= ABANDON_GAPS * gap_us && after_us > ABANDON_GAPS * gap_us)
        penalty += ABANDON_COST_SHARE * wl_choice_value (item->kv_tokens);
      else if (item->phase == WL_WORK_DECODING && before_us <= gap_us && after_us > gap_us)
        penalty += (1.0 - LATE_SHARE) * wl_choice_value (item->kv_tokens);
    }
  return penalty;
}

uint64_t
wl_choice_time_to_room_us (const WlEngineModel *m, const WlLoadSum *sum)
{
  uint64_t decode_us = wl_forecast_decode_us (m, sum->decodes, sum->decode_context, m->mean_output);
  return sum->backlog_us + decode_us / (sum->n_items + 1);
}

/* KV cache tokens of an engine that requests may still use. */
static uint64_t
free_kv_tokens (const WlEngineModel *m, const WlLoadSum *sum)
{
  uint64_t usable = (uint64_t)m->kv_tokens * (100 - KV_RESERVE_PERCENT) / 100;
  return usable > sum->kv_tokens ? usable - sum->kv_tokens : 0;
}

uint64_t
wl_choice_needed_kv_tokens (const WlChoiceRequest *q)
{
  return (uint64_t)q->prompt + q->output;
}

int
wl_choice_is_spread (const WlChoiceRequest *q)
{
  return q->spreads_kv
         || wl_choice_needed_kv_tokens (q)
                > (uint64_t)q->service->engine.kv_tokens * OVERSIZED_PERCENT / 100;
}

static int
engine_has_room (const WlEngineModel *m, const WlChoiceRequest *q, const WlLoadSum *sum)
{
  uint64_t needed = wl_choice_is_spread (q) ? SPREAD_MIN_TOKENS : wl_choice_needed_kv_tokens (q);
  return sum->n_items < m->slots && free_kv_tokens (m, sum) >= needed;
}

int
wl_choice_is_short (const WlChoiceRequest *q)
{
  return 2 * wl_forecast_prefill_us (&q->service->engine, q->prompt) < q->gap_us;
}

static void
score_engine (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *c, uint64_t prefill_tokens,
              uint64_t prefill_us)
{
  const WlEngineModel *m = &q->service->engine;
  double value = wl_choice_value (q->prompt);
  double fill = (double)c->sum.n_items / m->slots;
  c->has_room = (uint8_t)engine_has_room (m, q, &c->sum);
  c->model_us = wl_forecast_ttft_us (m, c->sum.decodes, c->sum.decode_context,
                                     c->sum.backlog_tokens + prefill_tokens,
                                     c->sum.backlog_us + prefill_us);
  c->ttft_us = (uint64_t)((double)c->model_us * c->slowdown);
  c->score = value * wl_choice_timeliness (q, c->ttft_us);
  c->gap_loss
      = gap_penalty (load, q, c, prefill_tokens, (uint64_t)((double)prefill_us * c->slowdown));
  double short_loss = wl_choice_short_loss (c, prefill_us);
  if (short_loss > SHORT_LOSS_MAX_SHARE * value)
    short_loss = SHORT_LOSS_MAX_SHARE * value;
  c->score -= c->gap_loss + short_loss;
  if (wl_choice_is_short (q) && (c->sum.min_gap_us == 0 || c->sum.min_gap_us > q->gap_us))
    c->score -= FIRST_SHORT_COST_SHARE * value;
  c->score += FILL_BONUS_SHARE * value * (wl_choice_is_short (q) ? fill : -fill);
}

static void
score_plain (WlCandidate *c)
{
  uint32_t slots = c->endpoint->record.slots > 0 ? c->endpoint->record.slots : 1;
  double fill = (double)c->sum.n_items / slots;
  c->has_room = c->sum.n_items < 2 * slots;
  c->score = 1.0 - fill;
  c->ttft_us = 0;
}

void
wl_choice_score (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *c,
                 uint64_t prefill_tokens, uint64_t prefill_us)
{
  if (q->service->has_engine)
    score_engine (load, q, c, prefill_tokens, prefill_us);
  else
    score_plain (c);
  c->score -= c->endpoint->failure_rate * wl_choice_value (q->prompt);
  if (strcmp (c->endpoint->record.domain, q->domain) != 0)
    c->score -= OTHER_DOMAIN_COST_SHARE * wl_choice_value (q->prompt);
}

static double
cost_as_helper (const WlLoad *load, const WlChoiceRequest *q, const WlCandidate *c,
                uint64_t part_tokens, uint64_t part_us)
{
  uint64_t slow_us = (uint64_t)((double)part_us * iteration_slowdown (q, c));
  double cost = HELPER_COST + wl_choice_short_loss (c, part_us)
                + gap_penalty (load, q, c, part_tokens, slow_us);
  cost += PREFILL_DELAY_COST * c->sum.prefills * (double)part_us / (double)(q->objective_us + 1);
  cost += PREFILL_DELAY_COST * (double)(slow_us - part_us) / (double)(q->objective_us + 1);
  cost += c->endpoint->failure_rate * wl_choice_value (q->prompt);
  return cost;
}

static int
by_helper_cost (const void *a, const void *b)
{
  double x = ((const WlCandidate *)a)->helper_cost;
  double y = ((const WlCandidate *)b)->helper_cost;
  return x < y ? -1 : x > y ? 1 : 0;
}

/* A helper prefills its part before whole prompts and after the parts that it already has. */
static uint64_t
ttft_as_helper_us (const WlEngineModel *m, const WlCandidate *c, uint64_t part_tokens,
                   uint64_t part_us)
{
  const WlLoadSum *s = &c->sum;
  uint64_t iteration_us = wl_forecast_iteration_us (m, s->decodes, s->decode_context,
                                                    s->backlog_tokens, s->backlog_us);
  uint64_t current_us = s->prefills > 0 ? iteration_us / 2 : 0;
  return current_us
         + wl_forecast_ttft_us (m, s->decodes, s->decode_context, s->part_tokens + part_tokens,
                                s->part_us + part_us);
}

/*
 * Spreads the KV cache of a request: what does not fit on the
 * answering engine is reserved at the helpers. Returns 0 when it does not fit
 * there either.
 */
static int
divide_kv_tokens (const WlChoiceRequest *q, const WlCandidate *const *helpers,
                  uint64_t free_at_first, WlChoice *out)
{
  const WlEngineModel *m = &q->service->engine;
  uint64_t needed = wl_choice_needed_kv_tokens (q);
  uint64_t at_first = free_at_first * SPREAD_FIRST_PERCENT / 100;
  out->kv_tokens = needed;
  if (!wl_choice_is_spread (q))
    return 1;
  out->kv_tokens = needed < at_first ? needed : at_first;
  uint64_t left = needed - out->kv_tokens;
  for (uint32_t i = 0; i < out->n_helpers && left > 0; i++)
    {
      uint64_t available = free_kv_tokens (m, &helpers[i]->sum);
      if (available < SPREAD_MIN_TOKENS)
        continue;
      out->kv_reserved[i] = available < left ? available : left;
      left -= out->kv_reserved[i];
    }
  return left == 0;
}

double
wl_choice_score_split (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all,
                       uint32_t n_all, uint32_t n_helpers, WlChoice *out)
{
  const WlEngineModel *m = &q->service->engine;
  const WlCandidate *helpers[WL_CHOICE_HELPERS_MAX];
  const WlCandidate *first = NULL;
  uint64_t part_us = wl_forecast_prefill_us (m, q->prompt) / (n_helpers + 1);
  uint64_t part_tokens = q->prompt / (n_helpers + 1);
  memset (out, 0, sizeof *out);
  for (uint32_t i = 0; i < n_all; i++)
    {
      wl_choice_score (load, q, &all[i], part_tokens, part_us);
      if (n_helpers == 0)
        continue;
      all[i].helper_cost = cost_as_helper (load, q, &all[i], part_tokens, part_us);
      if (wl_choice_is_spread (q))
        all[i].helper_cost
            -= SPREAD_FREE_KV_BONUS * (double)free_kv_tokens (m, &all[i].sum) / m->kv_tokens;
    }
  if (n_helpers > 0)
    qsort (all, n_all, sizeof *all, by_helper_cost);
  for (uint32_t i = 0; i < n_all; i++)
    if (all[i].has_room && (first == NULL || all[i].score > first->score))
      first = &all[i];
  if (first == NULL)
    return 0.0;
  out->part_tokens = part_tokens;
  out->part_us = part_us;
  out->predicted_us = first->ttft_us;
  out->model_us = n_helpers == 0 ? first->model_us : 0;
  double score
      = first->score - wl_choice_value (q->prompt) * wl_choice_timeliness (q, first->ttft_us);
  for (uint32_t i = 0; i < n_all && out->n_helpers < n_helpers; i++)
    {
      if (&all[i] == first || all[i].is_cold)
        continue;
      uint64_t t = (uint64_t)((double)ttft_as_helper_us (m, &all[i], part_tokens, part_us)
                              * iteration_slowdown (q, &all[i]));
      if (t > out->predicted_us)
        out->predicted_us = t;
      score -= all[i].helper_cost;
      helpers[out->n_helpers] = &all[i];
      out->helpers[out->n_helpers++] = all[i].endpoint;
    }
  if (out->n_helpers < n_helpers || out->predicted_us >= q->deadline_us
      || !divide_kv_tokens (q, helpers, free_kv_tokens (m, &first->sum), out))
    return 0.0;
  out->endpoint = first->endpoint;
  return score + wl_choice_value (q->prompt) * wl_choice_timeliness (q, out->predicted_us);
}
