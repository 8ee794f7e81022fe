#include <stdlib.h>
#include <string.h>
#include "wl_choice.h"

enum
{
  READING_FULL_US = 250000,   /* reading left at each engine at which its price is highest */
  LAST_CHANCE_US = 1000000,   /* slack before the deadline in which a request waits no longer */
  LAST_CHANCE_FACTOR = 2,     /* of the shortest time, likewise */
  ROOM_WAIT_FACTOR = 2,       /* of the time until a slot is free: others wait for it too */
  LEAVE_GAPS = 6,             /* tolerated pauses, with a margin, after which callers leave */
  PAUSE_PERCENT = 75,         /* of a tolerated pause: other nodes' work is known a little late */
  PATIENCE_SLACK_US = 150000, /* a refusal shall reach the caller before it leaves */
  RETRY_US = 20000,           /* next try of a request that found every endpoint full */
  HELP_FROM_READ_US = 60000,  /* shorter prompts are not divided */
  ENGINE_RESERVE_PERCENT = 3, /* memory left free for outputs longer than expected */
  OVERSIZE_PERCENT = 95,      /* of one engine's memory: larger prompts are spread over several */
  SPREAD_MIN_TOKENS = 20000,  /* smaller shares of memory are not worth a reservation */
  CANDIDATES_MAX = 64,        /* engines among which a division of a prompt is sought */
  SPREAD_FIRST_PERCENT = 90,  /* of the first engine's free memory: nothing is reserved there */
};

static const double WORTH_PER_TOKEN = 1e-4; /* worth of a request grows with its prompt */
static const double LATE_SHARE = 0.25;      /* of the worth, when the objective is missed */
static const double LOST_SHARE = 1.5;       /* of the worth: what was done for it is lost as well */
static const double COMFORT_SHARE = 0.6;    /* of the objective: earlier brings little more */
static const double EARLY_SHARE = 0.15;     /* of the worth, from the comfort time to at once */
static const double OPEN_SHARE = 0.15;      /* of the worth, for a short on an engine without any */
static const double FILL_SHARE = 0.05;      /* of the worth, from an empty to a full engine */
static const double FAR_SHARE = 0.01;       /* of the worth, for leaving the failure domain */
static const double NEAR_SHARE = 0.1;       /* of the worth, by which a far engine must be better */
static const double SLOTS_CALM = 0.35;      /* of all slots: below, reading delays nobody */
static const double SLOTS_TIGHT = 0.75;     /* of all slots: above, reading delays everybody */
static const double READING_PRICE_MAX = 10.0; /* worth of a second, near that of a usual prompt */
static const double LAST_CHANCE_SHARE = 0.5; /* of the worth, so that large prompts do not starve */
static const double HELPER_COST = 0.02;      /* of one worth unit, for each engine that helps */
static const double SPREAD_MEMORY_BONUS = 4.0; /* worth units, prefers empty engines for memory */
static const double READER_DELAY = 0.1; /* worth of a waiting prompt delayed by its objective */

/* One endpoint as a candidate. */
typedef struct
{
  WlEndpoint *endpoint;
  WlLoadSum sum;
  double pace;         /* slower than predicted by this factor */
  double score;        /* as the endpoint that answers */
  double help_cost;    /* as a helper */
  uint64_t formula_us; /* to the first output, by the formula alone */
  uint64_t first_us;   /* as the endpoint that answers */
  uint8_t has_room;
} Candidate;

static int
is_excluded (const WlChoiceRequest *q, uint64_t key)
{
  for (uint32_t i = 0; i < q->n_excluded; i++)
    if (q->excluded[i] == key)
      return 1;
  return 0;
}

static double
worth_of (uint64_t prompt)
{
  return 1.0 + (double)prompt * WORTH_PER_TOKEN;
}

/* Share of the worth that an answer earns whose first output comes after first_us. */
static double
timeliness (const WlChoiceRequest *q, uint64_t first_us)
{
  double objective = (double)q->objective_us;
  double comfort = COMFORT_SHARE * objective;
  double t = (double)first_us;
  if (first_us >= q->deadline_us)
    return 0.0;
  if (t <= comfort)
    return 1.0 + EARLY_SHARE * (1.0 - t / comfort);
  if (t < objective)
    return 1.0 - (1.0 - LATE_SHARE) * 0.5 * (t - comfort) / (objective - comfort);
  /* Late answers lose the rest of their worth as the deadline comes near. */
  return LATE_SHARE * (1.0 - (t - objective) / ((double)q->deadline_us - objective));
}

/* Worth lost by requests whose next pause becomes too long with added reading. */
static double
harm_to_writers (const WlLoad *load, const Candidate *c, const WlEngineModel *m, uint64_t reads,
                 uint64_t read_us)
{
  const WlLoadPlace *place = wl_load_place (load, c->endpoint->key);
  const WlLoadSum *s = &c->sum;
  uint64_t before_us = wl_forecast_pass_us (m, s->writers, s->context, s->backlog, s->backlog_us);
  uint64_t after_us = wl_forecast_pass_us (m, s->writers, s->context, s->backlog + reads,
                                           s->backlog_us + read_us);
  double harm = 0.0;
  for (uint32_t i = 0; place != NULL && i < place->n_items; i++)
    {
      const WlWorkNote *n = &place->items[i].note;
      uint64_t gap_us = (uint64_t)n->gap_ms * 1000 * PAUSE_PERCENT / 100;
      if (n->memory == 0 || gap_us == 0)
        continue;
      if (before_us <= LEAVE_GAPS * gap_us && after_us > LEAVE_GAPS * gap_us)
        harm += LOST_SHARE * worth_of (n->memory);
      else if (n->phase == WL_WORK_WRITING && before_us <= gap_us && after_us > gap_us)
        harm += (1.0 - LATE_SHARE) * worth_of (n->memory);
    }
  return harm;
}

/* Time until one of the requests that occupy a full endpoint has ended. */
static uint64_t
room_in_us (const WlEngineModel *m, const WlLoadSum *sum)
{
  uint64_t write_us = wl_forecast_write_us (m, sum->writers, sum->context, m->usual_output);
  return sum->backlog_us + write_us / (sum->n_items + 1);
}

/* Memory of an engine that nobody has asked for. */
static uint64_t
free_memory (const WlEngineModel *m, const WlLoadSum *sum)
{
  uint64_t usable = (uint64_t)m->memory * (100 - ENGINE_RESERVE_PERCENT) / 100;
  return usable > sum->memory ? usable - sum->memory : 0;
}

static uint64_t
needed_memory (const WlChoiceRequest *q)
{
  return (uint64_t)q->prompt + q->output;
}

/* Whether a request needs the memory of several engines. */
static int
is_oversized (const WlChoiceRequest *q)
{
  return needed_memory (q) > (uint64_t)q->service->engine.memory * OVERSIZE_PERCENT / 100;
}

static int
engine_has_room (const WlEngineModel *m, const WlChoiceRequest *q, const WlLoadSum *sum)
{
  uint64_t needed = is_oversized (q) ? SPREAD_MIN_TOKENS : needed_memory (q);
  return sum->n_items < m->slots && free_memory (m, sum) >= needed;
}

/* Whether a prompt is read so fast that its request may share an engine with others of its kind. */
static int
is_short (const WlChoiceRequest *q)
{
  return 2 * wl_forecast_read_us (&q->service->engine, q->prompt) < q->gap_us;
}

static void
judge_engine (const WlLoad *load, const WlChoiceRequest *q, Candidate *c, uint64_t reads,
              uint64_t read_us)
{
  const WlEngineModel *m = &q->service->engine;
  double worth = worth_of (q->prompt);
  double fill = (double)c->sum.n_items / m->slots;
  c->has_room = (uint8_t)engine_has_room (m, q, &c->sum);
  c->formula_us = wl_forecast_first_us (m, c->sum.writers, c->sum.context, c->sum.backlog + reads,
                                        c->sum.backlog_us + read_us);
  c->first_us = (uint64_t)((double)c->formula_us * c->pace);
  c->score = worth * timeliness (q, c->first_us);
  c->score -= harm_to_writers (load, c, m, reads, (uint64_t)((double)read_us * c->pace));
  if (is_short (q) && (c->sum.shortest_gap_us == 0 || c->sum.shortest_gap_us > q->gap_us))
    c->score -= OPEN_SHARE * worth;
  c->score += FILL_SHARE * worth * (is_short (q) ? fill : -fill);
}

static void
judge_plain (Candidate *c)
{
  uint32_t slots = c->endpoint->record.slots > 0 ? c->endpoint->record.slots : 1;
  double fill = (double)c->sum.n_items / slots;
  c->has_room = c->sum.n_items < 2 * slots;
  c->score = 1.0 - fill;
  c->first_us = 0;
}

static void
judge (const WlLoad *load, const WlChoiceRequest *q, Candidate *c, uint64_t reads, uint64_t read_us)
{
  if (q->service->has_engine)
    judge_engine (load, q, c, reads, read_us);
  else
    judge_plain (c);
  c->score -= c->endpoint->failure_rate * worth_of (q->prompt);
  if (strcmp (c->endpoint->record.zone, q->zone) != 0)
    c->score -= FAR_SHARE * worth_of (q->prompt);
}

static double
help_cost (const WlLoad *load, const WlChoiceRequest *q, const Candidate *c, uint64_t reads,
           uint64_t part_us)
{
  double cost = HELPER_COST + harm_to_writers (load, c, &q->service->engine, reads, part_us);
  cost += READER_DELAY * c->sum.readers * (double)part_us / (double)(q->objective_us + 1);
  cost += c->endpoint->failure_rate * worth_of (q->prompt);
  return cost;
}

static int
by_help_cost (const void *a, const void *b)
{
  double x = ((const Candidate *)a)->help_cost;
  double y = ((const Candidate *)b)->help_cost;
  return x < y ? -1 : x > y ? 1 : 0;
}

/* A helper reads its part before whole prompts, after the parts that it has already. */
static uint64_t
help_time_us (const WlEngineModel *m, const Candidate *c, uint64_t reads, uint64_t part_us)
{
  const WlLoadSum *s = &c->sum;
  uint64_t pass_us = wl_forecast_pass_us (m, s->writers, s->context, s->backlog, s->backlog_us);
  uint64_t under_way_us = s->readers > 0 ? pass_us / 2 : 0;
  return under_way_us
         + wl_forecast_first_us (m, s->writers, s->context, s->parts + reads,
                                 s->parts_us + part_us);
}

/*
 * Divides the memory of an oversized prompt among the helpers chosen for it:
 * what the first engine cannot hold goes into reservations at the others.
 * Returns 0 when they hold too little.
 */
static int
divide_memory (const WlChoiceRequest *q, const Candidate *const *helpers, uint64_t first_free,
               WlChoice *out)
{
  const WlEngineModel *m = &q->service->engine;
  uint64_t needed = needed_memory (q);
  uint64_t at_first = first_free * SPREAD_FIRST_PERCENT / 100;
  out->memory = needed;
  if (!is_oversized (q))
    return 1;
  out->memory = needed < at_first ? needed : at_first;
  uint64_t left = needed - out->memory;
  for (uint32_t i = 0; i < out->n_helpers && left > 0; i++)
    {
      uint64_t there = free_memory (m, &helpers[i]->sum);
      if (there < SPREAD_MIN_TOKENS)
        continue;
      out->tickets[i] = there < left ? there : left;
      left -= out->tickets[i];
    }
  return left == 0;
}

/* Judges reading in parts by the best endpoint and n others; 0 in out->endpoint when impossible. */
static double
judge_parts (const WlLoad *load, const WlChoiceRequest *q, Candidate *all, uint32_t n_all,
             uint32_t n_helpers, WlChoice *out)
{
  const WlEngineModel *m = &q->service->engine;
  const Candidate *helpers[WL_CHOICE_HELPERS_MAX];
  const Candidate *first = NULL;
  uint64_t part_us = wl_forecast_read_us (m, q->prompt) / (n_helpers + 1);
  uint64_t reads = q->prompt / (n_helpers + 1);
  memset (out, 0, sizeof *out);
  for (uint32_t i = 0; i < n_all; i++)
    {
      judge (load, q, &all[i], reads, part_us);
      if (n_helpers == 0)
        continue;
      all[i].help_cost = help_cost (load, q, &all[i], reads, part_us);
      if (is_oversized (q))
        all[i].help_cost -= SPREAD_MEMORY_BONUS * (double)free_memory (m, &all[i].sum) / m->memory;
    }
  if (n_helpers > 0)
    qsort (all, n_all, sizeof *all, by_help_cost);
  for (uint32_t i = 0; i < n_all; i++)
    if (all[i].has_room && (first == NULL || all[i].score > first->score))
      first = &all[i];
  if (first == NULL)
    return 0.0;
  out->reads = reads;
  out->read_us = part_us;
  out->predicted_us = first->first_us;
  out->formula_us = n_helpers == 0 ? first->formula_us : 0;
  double score = first->score - worth_of (q->prompt) * timeliness (q, first->first_us);
  for (uint32_t i = 0; i < n_all && out->n_helpers < n_helpers; i++)
    {
      if (&all[i] == first)
        continue;
      uint64_t t = help_time_us (m, &all[i], reads, part_us);
      if (t > out->predicted_us)
        out->predicted_us = t;
      score -= all[i].help_cost;
      helpers[out->n_helpers] = &all[i];
      out->helpers[out->n_helpers++] = all[i].endpoint;
    }
  if (out->predicted_us >= q->deadline_us
      || !divide_memory (q, helpers, free_memory (m, &first->sum), out))
    return 0.0;
  out->endpoint = first->endpoint;
  return score + worth_of (q->prompt) * timeliness (q, out->predicted_us);
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
reading_price (const WlChoiceRequest *q, const Candidate *all, uint32_t n_all)
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
worth_of_waiting (const WlChoiceRequest *q, const Candidate *all, uint32_t n_all)
{
  const WlEngineModel *m = &q->service->engine;
  double best = 0.0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      uint64_t ready_us = ROOM_WAIT_FACTOR * room_in_us (m, &all[i].sum) + all[i].first_us;
      double worth = worth_of (q->prompt) * timeliness (q, ready_us);
      if (!all[i].has_room && worth > best)
        best = worth;
    }
  return best;
}

static WlChoice
choose_parts (const WlLoad *load, const WlChoiceRequest *q, Candidate *all, uint32_t n_all)
{
  static const uint32_t counts[] = { 0, 1, 2, 3, 4, 5, 7, 9, 11, 13, 15, 16 };
  WlChoice best = { .result = WL_CHOICE_WAIT, .hold = WL_CHOICE_HELD_FULL };
  WlChoice try = { 0 };
  double best_score = -1e9;
  uint64_t read_us = wl_forecast_read_us (&q->service->engine, q->prompt);
  double price = reading_price (q, all, n_all) * (double)read_us / 1e6;
  if (is_last_chance (q, n_all))
    price -= LAST_CHANCE_SHARE * worth_of (q->prompt);
  for (size_t i = 0; i < sizeof counts / sizeof *counts; i++)
    {
      if (counts[i] >= n_all || (counts[i] > 0 && read_us < HELP_FROM_READ_US))
        break;
      double score = judge_parts (load, q, all, n_all, counts[i], &try) - price;
      if (try.endpoint != NULL && best.hold == WL_CHOICE_HELD_FULL)
        best.hold = WL_CHOICE_HELD_COSTLY;
      if (try.endpoint == NULL || score <= best_score || score < 0.0)
        continue;
      best = try;
      best.result = WL_CHOICE_PLACED;
      best.score = score;
      best_score = score;
    }
  if (is_short (q) && best.result == WL_CHOICE_PLACED
      && worth_of_waiting (q, all, n_all)
             > worth_of (q->prompt) * timeliness (q, best.predicted_us))
    {
      best.result = WL_CHOICE_WAIT;
      best.hold = WL_CHOICE_HELD_FOR_ROOM;
    }
  return best;
}

static WlChoice
choose_one (const WlLoad *load, const WlChoiceRequest *q, Candidate *all, uint32_t n_all,
            uint64_t random)
{
  WlChoice best = { .result = WL_CHOICE_WAIT, .hold = WL_CHOICE_HELD_FULL };
  double best_score = 0.0;
  for (uint32_t i = 0; i < n_all; i++)
    {
      Candidate *c = &all[(i + random) % n_all];
      judge (load, q, c, 0, 0);
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
  const WlLoadSum *x = &((const Candidate *)a)->sum;
  const WlLoadSum *y = &((const Candidate *)b)->sum;
  if (x->backlog_us != y->backlog_us)
    return x->backlog_us < y->backlog_us ? -1 : 1;
  return x->n_items < y->n_items ? -1 : x->n_items > y->n_items ? 1 : 0;
}

/* Moves the candidates of the own failure domain to the front; returns how many they are. */
static uint32_t
near_first (const WlChoiceRequest *q, Candidate *all, uint32_t n)
{
  uint32_t n_near = 0;
  for (uint32_t i = 0; i < n; i++)
    if (strcmp (all[i].endpoint->record.zone, q->zone) == 0)
      {
        Candidate c = all[n_near];
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
limit_far (const WlChoiceRequest *q, Candidate *all, uint32_t n)
{
  if (n <= CANDIDATES_MAX || !q->service->has_engine || is_short (q))
    return n;
  uint32_t n_near = near_first (q, all, n);
  qsort (&all[n_near], n - n_near, sizeof *all, by_load);
  return n_near < CANDIDATES_MAX ? CANDIDATES_MAX : n_near;
}

static uint32_t
collect (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *q, uint64_t now_us,
         Candidate *out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &fleet->endpoints[i];
      if (strcmp (e->record.service, q->service->name) != 0 || !wl_fleet_is_usable (e, now_us)
          || is_excluded (q, e->key))
        continue;
      out[n] = (Candidate){ .endpoint = e, .pace = wl_fleet_pace (e, now_us) };
      out[n++].sum = wl_load_sum (load, e->key, now_us);
    }
  return limit_far (q, out, n);
}

static WlChoice
wait_or_refuse (const WlChoiceRequest *q, const Candidate *all, uint32_t n_all, WlChoiceHold hold)
{
  WlChoice out = { .result = WL_CHOICE_WAIT, .hold = hold, .wait_us = RETRY_US };
  uint64_t soonest_us = UINT64_MAX;
  if (!q->service->has_engine)
    return out;
  for (uint32_t i = 0; i < n_all; i++)
    {
      uint64_t t = room_in_us (&q->service->engine, &all[i].sum);
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
choose_engines (const WlLoad *load, const WlChoiceRequest *q, Candidate *all, uint32_t n)
{
  WlChoice near = { .result = WL_CHOICE_WAIT };
  if (q->knowledge != WL_CHOICE_KNOWS_FAR_LATE || is_short (q))
    return choose_parts (load, q, all, n);
  uint32_t n_near = near_first (q, all, n);
  if (n_near > 0)
    near = choose_parts (load, q, all, n_near);
  WlChoice any = choose_parts (load, q, all, n);
  if (near.result == WL_CHOICE_PLACED
      && (any.result != WL_CHOICE_PLACED
          || any.score < near.score + NEAR_SHARE * worth_of (q->prompt)))
    return near;
  return any;
}

/* Chooses among candidates, @n of them. */
static WlChoice
choose_among (const WlLoad *load, const WlChoiceRequest *q, Candidate *all, uint32_t n,
              uint64_t random)
{
  const WlRouteService *s = q->service;
  WlChoice out = { .result = WL_CHOICE_NO_ENDPOINT, .wait_us = RETRY_US };
  if (n == 0)
    return out;
  if (s->has_engine && needed_memory (q) > (uint64_t)n * s->engine.memory)
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
assume_average (Candidate *all, uint32_t n_near, uint32_t n)
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
choose_by_domain (const WlLoad *load, const WlChoiceRequest *q, Candidate *all, uint32_t n,
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
  Candidate *all = calloc (fleet->n_endpoints + 1, sizeof *all);
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
