#include <stdlib.h>
#include <string.h>
#include "wl_choice_internal.h"

enum
{
  BACKLOG_PRICE_MAX_US = 250000, /* from this mean backlog on, prefill_price() is at its maximum */
  /* The same for engines outside the short pools, where long prompts delay only each other. */
  LONG_BACKLOG_PRICE_MAX_US = 1000000,
  /* A deadline is near within US + FACTOR * the shortest prefill time. */
  NEAR_DEADLINE_US = 1000000,
  NEAR_DEADLINE_FACTOR = 2,
  /* In large fleets: memory for a large prompt is rarely free at a given moment. */
  NEAR_DEADLINE_LARGE_FLEET_US = 3000000,
  /* An objective is near within US + FACTOR * the shortest prefill time. */
  NEAR_OBJECTIVE_US = 1500000,
  NEAR_OBJECTIVE_FACTOR = 3,
  ROOM_WAIT_FACTOR = 2,         /* expected wait / time to a free slot; others wait for it too */
  ABANDON_MARGIN_US = 150000,   /* a rejection must reach the caller before it disconnects */
  RETRY_INTERVAL_US = 20000,    /* next try of a queued request */
  SPLIT_MIN_PREFILL_US = 60000, /* prompts with a shorter prefill are not split */
  SPLIT_CANDIDATES_MAX = 64,    /* engines among which a split is sought */
};

static const double OWN_DOMAIN_MARGIN_SHARE
    = 0.1; /* of the prompt's value: margin by which another domain must win */
static const double SLOTS_LOW_SHARE = 0.35; /* of all slots: with fewer in use, they add no price */
static const double SLOTS_HIGH_SHARE
    = 0.75; /* of all slots: with more in use, the price is highest */
static const double PREFILL_PRICE_PER_S_MAX
    = 10.0; /* unit of wl_choice_value(); about that of a usual prompt */
static const double NEAR_DEADLINE_DISCOUNT_SHARE
    = 0.5; /* of the value: discount near the deadline, so that large prompts don't starve */
static const double NEAR_OBJECTIVE_DISCOUNT_SHARE
    = 1.0; /* of the value: those that waited go before newer ones, and before late ones */

int
wl_choice_is_excluded (const WlChoiceRequest *q, uint64_t key)
{
  for (uint32_t i = 0; i < q->n_excluded; i++)
    if (q->excluded[i] == key)
      return 1;
  return 0;
}

int
wl_choice_may_use (const WlChoiceRequest *q, const WlEndpoint *e)
{
  if (q->permitted != 0)
    return e->key == q->permitted;
  return q->limits == NULL || wl_limits_find (q->limits, e) == NULL;
}

static double
clamp (double x)
{
  return x < 0.0 ? 0.0 : x > 1.0 ? 1.0 : x;
}

/*
 * Price of a second of prefill in the unit of wl_choice_value(). It rises with the
 * prefill backlog and with the share of slots in use, whose requests the prefill would delay.
 */
static double
prefill_price (const WlChoiceRequest *q, const WlCandidate *all, uint32_t n_all)
{
  int has_pools = q->visibility == WL_CHOICE_SEES_OTHERS_DELAYED;
  double backlog_us = 0.0;
  double long_backlog_us = 0.0;
  double items = 0.0;
  uint32_t n = 0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      items += all[i].sum.n_items;
      if (has_pools && !all[i].is_pooled)
        long_backlog_us += (double)all[i].sum.backlog_us;
      else
        {
          backlog_us += (double)all[i].sum.backlog_us;
          n++;
        }
    }
  double occupied = items / ((double)n_all * q->service->engine.slots);
  double by_slots = clamp ((occupied - SLOTS_LOW_SHARE) / (SLOTS_HIGH_SHARE - SLOTS_LOW_SHARE));
  double by_backlog = n > 0 ? clamp (backlog_us / n / BACKLOG_PRICE_MAX_US) : 0.0;
  double by_long
      = n < n_all ? clamp (long_backlog_us / (n_all - n) / LONG_BACKLOG_PRICE_MAX_US) : 0.0;
  double highest = by_backlog > by_slots ? by_backlog : by_slots;
  return PREFILL_PRICE_PER_S_MAX * (highest > by_long ? highest : by_long);
}

/* Prefill time of a prompt that is split over as many endpoints as possible. */
static uint64_t
min_prefill_us (const WlChoiceRequest *q, uint32_t n_all)
{
  uint32_t n = n_all < WL_CHOICE_HELPERS_MAX + 1 ? n_all : WL_CHOICE_HELPERS_MAX + 1;
  return wl_forecast_prefill_us (&q->service->engine, q->prompt) / n;
}

/* Whether a request that stays queued is likely to miss its deadline. */
static int
is_near_deadline (const WlChoiceRequest *q, uint32_t n_all)
{
  uint64_t margin_us = q->visibility == WL_CHOICE_SEES_OTHERS_DELAYED ? NEAR_DEADLINE_LARGE_FLEET_US
                                                                      : NEAR_DEADLINE_US;
  return q->deadline_us < NEAR_DEADLINE_FACTOR * min_prefill_us (q, n_all) + margin_us;
}

/*
 * Whether a request misses its objective if it waits much longer. Only in large fleets, where
 * nodes do not see which requests wait at others: by this, all let the same ones go first.
 */
static int
is_near_objective (const WlChoiceRequest *q, uint32_t n_all)
{
  uint64_t prefill_us = min_prefill_us (q, n_all);
  return q->visibility == WL_CHOICE_SEES_OTHERS_DELAYED && q->objective_us > prefill_us
         && q->objective_us < NEAR_OBJECTIVE_FACTOR * prefill_us + NEAR_OBJECTIVE_US;
}

static double
waiting_discount (const WlChoiceRequest *q, uint32_t n_all)
{
  double share = is_near_objective (q, n_all)  ? NEAR_OBJECTIVE_DISCOUNT_SHARE
                 : is_near_deadline (q, n_all) ? NEAR_DEADLINE_DISCOUNT_SHARE
                                               : 0.0;
  return share * wl_choice_value (q->prompt);
}

/* Value earned by waiting for a slot of an engine that is full now. */
static double
value_of_waiting (const WlChoiceRequest *q, const WlCandidate *all, uint32_t n_all)
{
  const WlEngineModel *m = &q->service->engine;
  double best = 0.0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      uint64_t ready_us
          = ROOM_WAIT_FACTOR * wl_choice_time_to_room_us (m, &all[i].sum) + all[i].ttft_us;
      double value = wl_choice_value (q->prompt) * wl_choice_timeliness (q, ready_us);
      if (!all[i].has_room && value > best)
        best = value;
    }
  return best;
}

static int
any_has_room (const WlCandidate *all, uint32_t n_all)
{
  for (uint32_t i = 0; i < n_all; i++)
    if (all[i].has_room)
      return 1;
  return 0;
}

/*
 * Chooses engines and the number of helpers; a request waits when its score is
 * below the price of its prefill.
 */
static WlChoice
choose_split (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all)
{
  static const uint32_t helper_counts[] = { 0, 1, 2, 3, 4, 5, 7, 9, 11, 13, 15, 16 };
  WlChoice best = { .result = WL_CHOICE_WAIT, .hold = WL_CHOICE_HELD_FULL };
  WlChoice try = { 0 };
  double best_score = -1e9;
  uint64_t prefill_us = wl_forecast_prefill_us (&q->service->engine, q->prompt);
  double price = prefill_price (q, all, n_all) * (double)prefill_us / 1e6;
  price -= waiting_discount (q, n_all);
  for (size_t i = 0; i < sizeof helper_counts / sizeof *helper_counts; i++)
    {
      if (helper_counts[i] >= n_all || (helper_counts[i] > 0 && prefill_us < SPLIT_MIN_PREFILL_US))
        break;
      double score = wl_choice_score_split (load, q, all, n_all, helper_counts[i], &try) - price;
      if (i == 0 && !any_has_room (all, n_all))
        break; /* more helpers need the same room at the answering engine */
      if (try.endpoint != NULL && best.hold == WL_CHOICE_HELD_FULL)
        best.hold = WL_CHOICE_HELD_COSTLY;
      if (try.endpoint == NULL || score <= best_score || score < 0.0)
        continue;
      best = try;
      best.result = WL_CHOICE_PLACED;
      best.score = score;
      best_score = score;
    }
  if (wl_choice_is_short (q) && best.result == WL_CHOICE_PLACED
      && value_of_waiting (q, all, n_all)
             > wl_choice_value (q->prompt) * wl_choice_timeliness (q, best.predicted_us))
    {
      best.result = WL_CHOICE_WAIT;
      best.hold = WL_CHOICE_HELD_FOR_ROOM;
    }
  return best;
}

/* Chooses an endpoint of a service without engine model. */
static WlChoice
choose_without_engine_model (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all,
                             uint32_t n_all, uint64_t random)
{
  WlChoice best = { .result = WL_CHOICE_WAIT, .hold = WL_CHOICE_HELD_FULL };
  double best_score = 0.0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      WlCandidate *c = &all[(i + random) % n_all];
      wl_choice_score (load, q, c, 0, 0);
      if (!c->has_room || (best.endpoint != NULL && c->score <= best_score))
        continue;
      best_score = c->score;
      best.result = WL_CHOICE_PLACED;
      best.hold = WL_CHOICE_NOT_HELD;
      best.endpoint = c->endpoint;
    }
  return best;
}

static int
by_load (const void *a, const void *b)
{
  const WlLoadSum *x = &((const WlCandidate *)a)->sum;
  const WlLoadSum *y = &((const WlCandidate *)b)->sum;
  if (x->backlog_us != y->backlog_us)
    return x->backlog_us < y->backlog_us ? -1 : 1;
  return x->n_items < y->n_items ? -1 : x->n_items > y->n_items ? 1 : 0;
}

/* Moves the candidates of the own failure domain to the front; returns their number. */
static uint32_t
move_own_domain_to_front (const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  uint32_t n_own = 0;
  for (uint32_t i = 0; i < n; i++)
    if (strcmp (all[i].endpoint->record.domain, q->domain) == 0)
      {
        WlCandidate c = all[n_own];
        all[n_own++] = all[i];
        all[i] = c;
      }
  return n_own;
}

/*
 * Bounds the time to score splits, which grows with the number of engines: a
 * prompt that may be split is tried on the engines of the own failure domain and
 * the least loaded others. Returns the number of candidates that remain.
 */
static uint32_t
limit_candidates (const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  if (n <= SPLIT_CANDIDATES_MAX || !q->service->has_engine || wl_choice_is_short (q))
    return n;
  uint32_t n_own = move_own_domain_to_front (q, all, n);
  qsort (&all[n_own], n - n_own, sizeof *all, by_load);
  return n_own < SPLIT_CANDIDATES_MAX ? SPLIT_CANDIDATES_MAX : n_own;
}

static uint32_t
collect_candidates (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *q, uint64_t now_us,
                    WlCandidate *out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &fleet->endpoints[i];
      if (strcmp (e->record.service, q->service->name) != 0 || !wl_fleet_is_usable (e, now_us)
          || wl_choice_is_excluded (q, e->key) || !wl_choice_may_use (q, e)
          || !wl_homes_allow (q->homes, e->record.domain))
        continue;
      int is_cold = q->warmup != NULL && wl_warmup_is_cold (q->service, e, now_us);
      if (is_cold && wl_warmup_wait_us (q->warmup, q->service, e, now_us) > 0)
        continue;
      out[n] = (WlCandidate){ .endpoint = e,
                              .slowdown = wl_fleet_slowdown (e, now_us),
                              .is_cold = (uint8_t)is_cold };
      out[n++].sum = wl_load_sum (load, e->key, now_us);
    }
  if (q->visibility == WL_CHOICE_SEES_OTHERS_DELAYED && q->service->has_engine)
    wl_choice_mark_pools (q, out, n);
  return limit_candidates (q, out, n);
}

/* Refuses when even the next free slot is too late to finish the prefill; else waits. */
static WlChoice
wait_or_refuse (const WlChoiceRequest *q, const WlCandidate *all, uint32_t n_all, WlChoiceHold hold)
{
  WlChoice out = { .result = WL_CHOICE_WAIT, .hold = hold, .wait_us = RETRY_INTERVAL_US };
  uint64_t soonest_us = UINT64_MAX;
  if (!q->service->has_engine)
    return out;
  for (uint32_t i = 0; i < n_all; i++)
    {
      uint64_t t = wl_choice_time_to_room_us (&q->service->engine, &all[i].sum);
      if (t < soonest_us)
        soonest_us = t;
      out.mean_backlog_us += all[i].sum.backlog_us / n_all;
    }
  if (soonest_us + min_prefill_us (q, n_all) > q->deadline_us)
    {
      out.result = WL_CHOICE_PAST_DEADLINE;
      out.wait_us = soonest_us;
    }
  return out;
}

const char *
wl_choice_hold_name (WlChoiceHold hold)
{
  switch (hold)
    {
    case WL_CHOICE_NOT_HELD:
      return "none";
    case WL_CHOICE_HELD_FULL:
      return "full";
    case WL_CHOICE_HELD_COSTLY:
      return "costly";
    case WL_CHOICE_HELD_FOR_ROOM:
      return "for_room";
    }
  return "none";
}

static uint64_t
time_left_us (uint64_t then_us, uint64_t now_us)
{
  return then_us > now_us ? then_us - now_us : 0;
}

void
wl_choice_set_times (WlChoiceRequest *request, const WlRoute *route, const WlChoiceTimes *times,
                     uint64_t now_us)
{
  uint64_t left_us = time_left_us (times->limit_us, now_us);
  request->objective_us = time_left_us (times->arrived_us + route->objective_us, now_us);
  request->deadline_us = left_us;
  if (route->kind != WL_ROUTE_STREAM || !request->service->has_engine)
    return;
  uint64_t decode_us
      = wl_forecast_decode_us (&request->service->engine, 1, request->prompt, request->output);
  uint64_t abandon_us
      = time_left_us (times->last_output_us + route->abandon_gap_us - ABANDON_MARGIN_US, now_us);
  left_us = left_us > decode_us ? left_us - decode_us : 0;
  request->deadline_us = left_us < abandon_us ? left_us : abandon_us;
}

/*
 * Draws the engine of a short request: nodes that all took the best by the same view would take
 * the same one. Without an engine to draw, for instance in a burst, the best of all is taken.
 */
static WlChoice
choose_for_short (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n,
                  uint64_t random)
{
  const WlCandidate *c = wl_choice_draw (load, q, all, n, random);
  if (c == NULL)
    return choose_split (load, q, all, n);
  return (WlChoice){
    .result = WL_CHOICE_PLACED,
    .endpoint = c->endpoint,
    .kv_tokens = wl_choice_needed_kv_tokens (q),
    .part_tokens = q->prompt,
    .part_us = wl_forecast_prefill_us (&q->service->engine, q->prompt),
    .predicted_us = c->ttft_us,
    .model_us = c->model_us,
    .score = c->score,
  };
}

/*
 * A prompt that may be split stays on engines of the own failure domain unless
 * others score higher by a margin. Two nodes that choose the same engine for a
 * long prefill delay each other much; within a domain they learn of it sooner.
 */
static WlChoice
choose_for_long (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  WlChoice own = { .result = WL_CHOICE_WAIT };
  uint32_t n_own = move_own_domain_to_front (q, all, n);
  if (n_own > 0)
    own = choose_split (load, q, all, n_own);
  WlChoice any = choose_split (load, q, all, n);
  if (own.result == WL_CHOICE_PLACED
      && (any.result != WL_CHOICE_PLACED
          || any.score < own.score + OWN_DOMAIN_MARGIN_SHARE * wl_choice_value (q->prompt)))
    return own;
  return any;
}

static WlChoice
choose_engines (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n,
                uint64_t random)
{
  if (q->visibility != WL_CHOICE_SEES_OTHERS_DELAYED)
    return choose_split (load, q, all, n);
  if (wl_choice_is_short (q))
    return choose_for_short (load, q, all, n, random);
  WlChoice out = choose_for_long (load, q, all, n);
  if (out.result == WL_CHOICE_PLACED || out.hold != WL_CHOICE_HELD_FULL || wl_choice_is_spread (q))
    return out;
  /* No engine has the memory that it needs; several together may have it. */
  WlChoiceRequest spread = *q;
  spread.spreads_kv = 1;
  WlChoice other = choose_for_long (load, &spread, all, n);
  return other.result == WL_CHOICE_PLACED ? other : out;
}

static WlChoice
choose_or_refuse (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n,
                  uint64_t random)
{
  const WlRouteService *s = q->service;
  WlChoice out = { .result = WL_CHOICE_NO_ENDPOINT, .wait_us = RETRY_INTERVAL_US };
  if (n == 0)
    return out;
  if (s->has_engine && wl_choice_needed_kv_tokens (q) > (uint64_t)n * s->engine.kv_tokens)
    {
      out.result = WL_CHOICE_TOO_LARGE;
      return out;
    }
  out = s->has_engine ? choose_engines (load, q, all, n, random)
                      : choose_without_engine_model (load, q, all, n, random);
  if (out.result != WL_CHOICE_PLACED)
    out = wait_or_refuse (q, all, n, out.hold);
  return out;
}

/* Whether no other failure domain needs to be considered. */
static int
own_domain_suffices (const WlLoad *load, const WlChoiceRequest *q, const WlChoice *own,
                     uint64_t now_us)
{
  if (own->result != WL_CHOICE_PLACED)
    return 0;
  if (q->service->has_engine)
    return own->predicted_us <= q->objective_us;
  return wl_load_sum (load, own->endpoint->key, now_us).n_items < own->endpoint->record.slots;
}

/*
 * Adds the mean load of the own domain to endpoints of other domains, where only
 * the requests of this node are seen.
 */
static void
assume_average_load (WlCandidate *all, uint32_t n_own, uint32_t n)
{
  WlLoadSum sum = { 0 };
  for (uint32_t i = 0; i < n_own; i++)
    {
      sum.n_items += all[i].sum.n_items;
      sum.prefills += all[i].sum.prefills;
      sum.decodes += all[i].sum.decodes;
      sum.decode_context += all[i].sum.decode_context;
      sum.kv_tokens += all[i].sum.kv_tokens;
      sum.backlog_tokens += all[i].sum.backlog_tokens;
      sum.backlog_us += all[i].sum.backlog_us;
      sum.prefill_us += all[i].sum.prefill_us;
    }
  for (uint32_t i = n_own; n_own > 0 && i < n; i++)
    {
      all[i].sum.n_items += sum.n_items / n_own;
      all[i].sum.prefills += sum.prefills / n_own;
      all[i].sum.decodes += sum.decodes / n_own;
      all[i].sum.decode_context += sum.decode_context / n_own;
      all[i].sum.kv_tokens += sum.kv_tokens / n_own;
      all[i].sum.backlog_tokens += sum.backlog_tokens / n_own;
      all[i].sum.backlog_us += sum.backlog_us / n_own;
      all[i].sum.prefill_us += sum.prefill_us / n_own;
    }
}

/* Prefers the own failure domain; what it can't answer in time may go to others. */
static WlChoice
choose_own_domain_first (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n,
                         uint64_t now_us, uint64_t random)
{
  uint32_t n_own = move_own_domain_to_front (q, all, n);
  WlChoice own = choose_or_refuse (load, q, all, n_own, random);
  if (own_domain_suffices (load, q, &own, now_us) || n_own == n)
    return own;
  assume_average_load (all, n_own, n);
  WlChoice other = choose_or_refuse (load, q, &all[n_own], n - n_own, random);
  if (other.result != WL_CHOICE_PLACED)
    return own.result == WL_CHOICE_NO_ENDPOINT ? other : own;
  if (own.result == WL_CHOICE_PLACED && q->service->has_engine
      && other.predicted_us > q->objective_us)
    return own;
  return other;
}

WlChoice
wl_choice_make (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *request, uint64_t now_us,
                uint64_t random)
{
  WlChoice out;
  WlCandidate *all = calloc (fleet->n_endpoints + 1, sizeof *all);
  if (all == NULL)
    abort ();
  uint32_t n = collect_candidates (fleet, load, request, now_us, all);
  if (request->visibility == WL_CHOICE_SEES_OWN_DOMAIN)
    out = choose_own_domain_first (load, request, all, n, now_us, random);
  else
    out = choose_or_refuse (load, request, all, n, random);
  free (all);
  return out;
}
