#include <stdlib.h>
#include <string.h>
#include "wl_choice_internal.h"

/* What a request earns at an endpoint, and what it costs the requests beside it. */

enum
{
  LEAVE_GAPS = 6,             /* tolerated pauses, with a margin, after which callers leave */
  PAUSE_PERCENT = 75,         /* of a tolerated pause: other nodes' work is known a little late */
  ENGINE_RESERVE_PERCENT = 3, /* memory left free for outputs longer than expected */
  OVERSIZE_PERCENT = 95,      /* of one engine's memory: larger prompts are spread over several */
  SPREAD_MIN_TOKENS = 20000,  /* smaller shares of memory are not worth a reservation */
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
static const double HELPER_COST = 0.02;     /* of one worth unit, for each engine that helps */
static const double SPREAD_MEMORY_BONUS = 4.0; /* worth units, prefers empty engines for memory */
static const double READER_DELAY = 0.1; /* worth of a waiting prompt delayed by its objective */

double
wl_choice_worth (uint64_t prompt)
{
  return 1.0 + (double)prompt * WORTH_PER_TOKEN;
}

double
wl_choice_timeliness (const WlChoiceRequest *q, uint64_t first_us)
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
harm_to_writers (const WlLoad *load, const WlCandidate *c, const WlEngineModel *m, uint64_t reads,
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
        harm += LOST_SHARE * wl_choice_worth (n->memory);
      else if (n->phase == WL_WORK_WRITING && before_us <= gap_us && after_us > gap_us)
        harm += (1.0 - LATE_SHARE) * wl_choice_worth (n->memory);
    }
  return harm;
}

uint64_t
wl_choice_room_in_us (const WlEngineModel *m, const WlLoadSum *sum)
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

uint64_t
wl_choice_needed_memory (const WlChoiceRequest *q)
{
  return (uint64_t)q->prompt + q->output;
}

/* Whether a request needs the memory of several engines. */
static int
is_oversized (const WlChoiceRequest *q)
{
  return wl_choice_needed_memory (q) > (uint64_t)q->service->engine.memory * OVERSIZE_PERCENT / 100;
}

static int
engine_has_room (const WlEngineModel *m, const WlChoiceRequest *q, const WlLoadSum *sum)
{
  uint64_t needed = is_oversized (q) ? SPREAD_MIN_TOKENS : wl_choice_needed_memory (q);
  return sum->n_items < m->slots && free_memory (m, sum) >= needed;
}

int
wl_choice_is_short (const WlChoiceRequest *q)
{
  return 2 * wl_forecast_read_us (&q->service->engine, q->prompt) < q->gap_us;
}

static void
judge_engine (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *c, uint64_t reads,
              uint64_t read_us)
{
  const WlEngineModel *m = &q->service->engine;
  double worth = wl_choice_worth (q->prompt);
  double fill = (double)c->sum.n_items / m->slots;
  c->has_room = (uint8_t)engine_has_room (m, q, &c->sum);
  c->formula_us = wl_forecast_first_us (m, c->sum.writers, c->sum.context, c->sum.backlog + reads,
                                        c->sum.backlog_us + read_us);
  c->first_us = (uint64_t)((double)c->formula_us * c->pace);
  c->score = worth * wl_choice_timeliness (q, c->first_us);
  c->score -= harm_to_writers (load, c, m, reads, (uint64_t)((double)read_us * c->pace));
  if (wl_choice_is_short (q) && (c->sum.shortest_gap_us == 0 || c->sum.shortest_gap_us > q->gap_us))
    c->score -= OPEN_SHARE * worth;
  c->score += FILL_SHARE * worth * (wl_choice_is_short (q) ? fill : -fill);
}

static void
judge_plain (WlCandidate *c)
{
  uint32_t slots = c->endpoint->record.slots > 0 ? c->endpoint->record.slots : 1;
  double fill = (double)c->sum.n_items / slots;
  c->has_room = c->sum.n_items < 2 * slots;
  c->score = 1.0 - fill;
  c->first_us = 0;
}

void
wl_choice_judge (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *c, uint64_t reads,
                 uint64_t read_us)
{
  if (q->service->has_engine)
    judge_engine (load, q, c, reads, read_us);
  else
    judge_plain (c);
  c->score -= c->endpoint->failure_rate * wl_choice_worth (q->prompt);
  if (strcmp (c->endpoint->record.zone, q->zone) != 0)
    c->score -= FAR_SHARE * wl_choice_worth (q->prompt);
}

static double
help_cost (const WlLoad *load, const WlChoiceRequest *q, const WlCandidate *c, uint64_t reads,
           uint64_t part_us)
{
  double cost = HELPER_COST + harm_to_writers (load, c, &q->service->engine, reads, part_us);
  cost += READER_DELAY * c->sum.readers * (double)part_us / (double)(q->objective_us + 1);
  cost += c->endpoint->failure_rate * wl_choice_worth (q->prompt);
  return cost;
}

static int
by_help_cost (const void *a, const void *b)
{
  double x = ((const WlCandidate *)a)->help_cost;
  double y = ((const WlCandidate *)b)->help_cost;
  return x < y ? -1 : x > y ? 1 : 0;
}

/* A helper reads its part before whole prompts, after the parts that it has already. */
static uint64_t
help_time_us (const WlEngineModel *m, const WlCandidate *c, uint64_t reads, uint64_t part_us)
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
divide_memory (const WlChoiceRequest *q, const WlCandidate *const *helpers, uint64_t first_free,
               WlChoice *out)
{
  const WlEngineModel *m = &q->service->engine;
  uint64_t needed = wl_choice_needed_memory (q);
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

double
wl_choice_judge_parts (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all,
                       uint32_t n_all, uint32_t n_helpers, WlChoice *out)
{
  const WlEngineModel *m = &q->service->engine;
  const WlCandidate *helpers[WL_CHOICE_HELPERS_MAX];
  const WlCandidate *first = NULL;
  uint64_t part_us = wl_forecast_read_us (m, q->prompt) / (n_helpers + 1);
  uint64_t reads = q->prompt / (n_helpers + 1);
  memset (out, 0, sizeof *out);
  for (uint32_t i = 0; i < n_all; i++)
    {
      wl_choice_judge (load, q, &all[i], reads, part_us);
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
  double score
      = first->score - wl_choice_worth (q->prompt) * wl_choice_timeliness (q, first->first_us);
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
  return score + wl_choice_worth (q->prompt) * wl_choice_timeliness (q, out->predicted_us);
}
