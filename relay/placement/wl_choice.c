#include <stdlib.h>
#include <string.h>
#include "wl_choice_internal.h"

enum
{
  READING_FULL_US = 250000,   /* reading left at each engine at which its price is highest */
  LAST_CHANCE_US = 1000000,   /* slack before the deadline in which a request waits no longer */
  LAST_CHANCE_FACTOR = 2,     /* of the shortest time, likewise */
  ROOM_WAIT_FACTOR = 2,       /* of the time until a slot is free: others wait for it too */
  PATIENCE_SLACK_US = 150000, /* a refusal shall reach the caller before it leaves */
  RETRY_US = 20000,           /* next try of a request that found every endpoint full */
  HELP_FROM_READ_US = 60000,  /* shorter prompts are not divided */
  CANDIDATES_MAX = 64,        /* engines among which a division of a prompt is sought */
};

static const double NEAR_SHARE = 0.1;   /* of the worth, by which a far engine must be better */
static const double SLOTS_CALM = 0.35;  /* of all slots: below, reading delays nobody */
static const double SLOTS_TIGHT = 0.75; /* of all slots: above, reading delays everybody */
static const double READING_PRICE_MAX = 10.0; /* worth of a second, near that of a usual prompt */
static const double LAST_CHANCE_SHARE = 0.5; /* of the worth, so that large prompts do not starve */

static int
is_excluded (const WlChoiceRequest *q, uint64_t key)
{
  for (uint32_t i = 0; i < q->n_excluded; i++)
    if (q->excluded[i] == key)
      return 1;
  return 0;
}

static double
clamp (double x)
{
  return x < 0.0 ? 0.0 : x > 1.0 ? 1.0 : x;
}

/*
 * Worth of a second of reading: it rises with what the engines have left to
 * read, and with the slots in use, whose requests the reading would delay.
 */
static double
reading_price (const WlChoiceRequest *q, const WlCandidate *all, uint32_t n_all)
{
  double backlog_us = 0.0;
  double items = 0.0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      backlog_us += (double)all[i].sum.backlog_us;
      items += all[i].sum.n_items;
    }
  double occupied = items / ((double)n_all * q->service->engine.slots);
  double by_backlog = clamp (backlog_us / n_all / READING_FULL_US);
  double by_slots = clamp ((occupied - SLOTS_CALM) / (SLOTS_TIGHT - SLOTS_CALM));
  return READING_PRICE_MAX * (by_backlog > by_slots ? by_backlog : by_slots);
}

/* Shortest time in which all endpoints together could read a prompt. */
static uint64_t
shortest_time_us (const WlChoiceRequest *q, uint32_t n_all)
{
  uint32_t n = n_all < WL_CHOICE_HELPERS_MAX + 1 ? n_all : WL_CHOICE_HELPERS_MAX + 1;
  return wl_forecast_read_us (&q->service->engine, q->prompt) / n;
}

/* Whether a request that waits on may not be answered before its deadline. */
static int
is_last_chance (const WlChoiceRequest *q, uint32_t n_all)
{
  return q->deadline_us < LAST_CHANCE_FACTOR * shortest_time_us (q, n_all) + LAST_CHANCE_US;
}

/* Worth of waiting until an engine that is full now has room. */
static double
worth_of_waiting (const WlChoiceRequest *q, const WlCandidate *all, uint32_t n_all)
{
  const WlEngineModel *m = &q->service->engine;
  double best = 0.0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      uint64_t ready_us
          = ROOM_WAIT_FACTOR * wl_choice_room_in_us (m, &all[i].sum) + all[i].first_us;
      double worth = wl_choice_worth (q->prompt) * wl_choice_timeliness (q, ready_us);
      if (!all[i].has_room && worth > best)
        best = worth;
    }
  return best;
}

static WlChoice
choose_parts (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all)
{
  static const uint32_t counts[] = { 0, 1, 2, 3, 4, 5, 7, 9, 11, 13, 15, 16 };
  WlChoice best = { .result = WL_CHOICE_WAIT, .hold = WL_CHOICE_HELD_FULL };
  WlChoice try = { 0 };
  double best_score = -1e9;
  uint64_t read_us = wl_forecast_read_us (&q->service->engine, q->prompt);
  double price = reading_price (q, all, n_all) * (double)read_us / 1e6;
  if (is_last_chance (q, n_all))
    price -= LAST_CHANCE_SHARE * wl_choice_worth (q->prompt);
  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      if (counts[i] >= n_all || (counts[i] > 0 && read_us < HELP_FROM_READ_US))
        break;
      double score = wl_choice_judge_parts (load, q, all, n_all, counts[i], &try) - price;
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
      && worth_of_waiting (q, all, n_all)
             > wl_choice_worth (q->prompt) * wl_choice_timeliness (q, best.predicted_us))
    {
      best.result = WL_CHOICE_WAIT;
      best.hold = WL_CHOICE_HELD_FOR_ROOM;
    }
  return best;
}

static WlChoice
choose_one (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all,
            uint64_t random)
{
  WlChoice best = { .result = WL_CHOICE_WAIT, .hold = WL_CHOICE_HELD_FULL };
  double best_score = 0.0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      WlCandidate *c = &all[(i + random) % n_all];
      wl_choice_judge (load, q, c, 0, 0);
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

/* Moves the candidates of the own failure domain to the front; returns how many they are. */
static uint32_t
near_first (const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  uint32_t n_near = 0;
  for (uint32_t i = 0; i < n; i++)
    if (strcmp (all[i].endpoint->record.zone, q->zone) == 0)
      {
        WlCandidate c = all[n_near];
        all[n_near++] = all[i];
        all[i] = c;
      }
  return n_near;
}

/*
 * Of many engines a prompt that may be divided is tried on those of the own
 * failure domain and the least loaded others: the time to judge a division
 * grows with the engines. Returns how many remain.
 */
static uint32_t
limit_far (const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  if (n <= CANDIDATES_MAX || !q->service->has_engine || wl_choice_is_short (q))
    return n;
  uint32_t n_near = near_first (q, all, n);
  qsort (&all[n_near], n - n_near, sizeof *all, by_load);
  return n_near < CANDIDATES_MAX ? CANDIDATES_MAX : n_near;
}

static uint32_t
collect (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *q, uint64_t now_us,
         WlCandidate *out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &fleet->endpoints[i];
      if (strcmp (e->record.service, q->service->name) != 0 || !wl_fleet_is_usable (e, now_us)
          || is_excluded (q, e->key))
        continue;
      out[n] = (WlCandidate){ .endpoint = e, .pace = wl_fleet_pace (e, now_us) };
      out[n++].sum = wl_load_sum (load, e->key, now_us);
    }
  return limit_far (q, out, n);
}

static WlChoice
wait_or_refuse (const WlChoiceRequest *q, const WlCandidate *all, uint32_t n_all, WlChoiceHold hold)
{
  WlChoice out = { .result = WL_CHOICE_WAIT, .hold = hold, .wait_us = RETRY_US };
  uint64_t soonest_us = UINT64_MAX;
  if (!q->service->has_engine)
    return out;
  for (uint32_t i = 0; i < n_all; i++)
    {
      uint64_t t = wl_choice_room_in_us (&q->service->engine, &all[i].sum);
      if (t < soonest_us)
        soonest_us = t;
      out.reading_us += all[i].sum.backlog_us / n_all;
    }
  if (soonest_us + shortest_time_us (q, n_all) > q->deadline_us)
    {
      out.result = WL_CHOICE_LATE;
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
left_until (uint64_t then_us, uint64_t now_us)
{
  return then_us > now_us ? then_us - now_us : 0;
}

void
wl_choice_set_times (WlChoiceRequest *request, const WlRoute *route, const WlChoiceTimes *times,
                     uint64_t now_us)
{
  uint64_t left_us = left_until (times->limit_us, now_us);
  request->objective_us = left_until (times->arrived_us + route->objective_us, now_us);
  request->deadline_us = left_us;
  if (route->kind != WL_ROUTE_STREAM || !request->service->has_engine)
    return;
  uint64_t write_us
      = wl_forecast_write_us (&request->service->engine, 1, request->prompt, request->output);
  uint64_t patience_us
      = left_until (times->silent_since_us + route->patience_us - PATIENCE_SLACK_US, now_us);
  left_us = left_us > write_us ? left_us - write_us : 0;
  request->deadline_us = left_us < patience_us ? left_us : patience_us;
}

/*
 * A prompt that may be divided goes to engines of the own failure domain
 * unless others are better by a margin: two nodes that take the same engine
 * for long reads cost each other much, and see it sooner within a domain.
 */
static WlChoice
choose_engines (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  WlChoice near = { .result = WL_CHOICE_WAIT };
  if (q->knowledge != WL_CHOICE_KNOWS_FAR_LATE || wl_choice_is_short (q))
    return choose_parts (load, q, all, n);
  uint32_t n_near = near_first (q, all, n);
  if (n_near > 0)
    near = choose_parts (load, q, all, n_near);
  WlChoice any = choose_parts (load, q, all, n);
  if (near.result == WL_CHOICE_PLACED
      && (any.result != WL_CHOICE_PLACED
          || any.score < near.score + NEAR_SHARE * wl_choice_worth (q->prompt)))
    return near;
  return any;
}

/* Chooses among candidates, @n of them. */
static WlChoice
choose_among (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n,
              uint64_t random)
{
  const WlRouteService *s = q->service;
  WlChoice out = { .result = WL_CHOICE_NO_ENDPOINT, .wait_us = RETRY_US };
  if (n == 0)
    return out;
  if (s->has_engine && wl_choice_needed_memory (q) > (uint64_t)n * s->engine.memory)
    {
      out.result = WL_CHOICE_TOO_LARGE;
      return out;
    }
  out = s->has_engine ? choose_engines (load, q, all, n) : choose_one (load, q, all, n, random);
  if (out.result != WL_CHOICE_PLACED)
    out = wait_or_refuse (q, all, n, out.hold);
  return out;
}

/* Whether a choice in the own failure domain leaves nothing to be had elsewhere. */
static int
is_satisfied (const WlLoad *load, const WlChoiceRequest *q, const WlChoice *near, uint64_t now_us)
{
  if (near->result != WL_CHOICE_PLACED)
    return 0;
  if (q->service->has_engine)
    return near->predicted_us <= q->objective_us;
  return wl_load_sum (load, near->endpoint->key, now_us).n_items < near->endpoint->record.slots;
}

/* Endpoints of which little is known are taken to be as busy as those of the own domain. */
static void
assume_average (WlCandidate *all, uint32_t n_near, uint32_t n)
{
  WlLoadSum sum = { 0 };
  for (uint32_t i = 0; i < n_near; i++)
    {
      sum.n_items += all[i].sum.n_items;
      sum.readers += all[i].sum.readers;
      sum.writers += all[i].sum.writers;
      sum.context += all[i].sum.context;
      sum.memory += all[i].sum.memory;
      sum.backlog += all[i].sum.backlog;
      sum.backlog_us += all[i].sum.backlog_us;
      sum.reading_us += all[i].sum.reading_us;
    }
  for (uint32_t i = n_near; n_near > 0 && i < n; i++)
    {
      all[i].sum.n_items += sum.n_items / n_near;
      all[i].sum.readers += sum.readers / n_near;
      all[i].sum.writers += sum.writers / n_near;
      all[i].sum.context += sum.context / n_near;
      all[i].sum.memory += sum.memory / n_near;
      all[i].sum.backlog += sum.backlog / n_near;
      all[i].sum.backlog_us += sum.backlog_us / n_near;
      all[i].sum.reading_us += sum.reading_us / n_near;
    }
}

/* The own failure domain goes first; what it can't answer in time may go elsewhere. */
static WlChoice
choose_by_domain (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n,
                  uint64_t now_us, uint64_t random)
{
  uint32_t n_near = near_first (q, all, n);
  WlChoice near = choose_among (load, q, all, n_near, random);
  if (is_satisfied (load, q, &near, now_us) || n_near == n)
    return near;
  assume_average (all, n_near, n);
  WlChoice far = choose_among (load, q, &all[n_near], n - n_near, random);
  if (far.result != WL_CHOICE_PLACED)
    return near.result == WL_CHOICE_NO_ENDPOINT ? far : near;
  if (near.result == WL_CHOICE_PLACED && q->service->has_engine
      && far.predicted_us > q->objective_us)
    return near;
  return far;
}

WlChoice
wl_choice_make (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *request, uint64_t now_us,
                uint64_t random)
{
  WlChoice out;
  WlCandidate *all = calloc (fleet->n_endpoints + 1, sizeof *all);
  if (all == NULL)
    abort ();
  uint32_t n = collect (fleet, load, request, now_us, all);
  if (request->knowledge == WL_CHOICE_KNOWS_NEAR)
    out = choose_by_domain (load, request, all, n, now_us, random);
  else
    out = choose_among (load, request, all, n, random);
  free (all);
  return out;
}
