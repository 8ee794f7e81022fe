#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <gsl/gsl_statistics.h>
#include "wl_choice.h"
#include "wl_replay.h"
#include "wl_replay_engine.h"
#include "wl_sample_engine.h"

enum
{
  TARGETS_MAX = WL_CHOICE_HELPERS_MAX + 1,
  HOP_US = 1500, /* one way between nodes, and to an engine */
  PATIENCE_TICK_US = 50000,
  RETRY_SHARE = 3,       /* a caller waits for at most this part of the time it has left */
  REJECTED_US = 100000,  /* return time of the baselines' refusals */
  REGISTER_US = 1000000, /* between registrations */
  DRAIN_US = 20000000,   /* after the last arrival */
  EPOCHS_TOLD = 16,      /* attempts of one caller that notes tell apart */
  TOKENS_PER_EVENT = 43,
  TOKEN_WORTH_OUT = 10, /* a written token counts as much as this many read ones */
};

/* One kind of request, after the users' sheet. */
typedef struct
{
  double per_s;
  double prompt;
  double prompt_spread;
  double prompt_max;
  double events;
  double events_spread;
  double worth;
  double late_worth;
  uint64_t deadline_us;
  uint8_t urgency;
  WlRoute route;
} Kind;

#define STREAM(objective, gap, patience)                                                           \
  {                                                                                                \
    .kind = WL_ROUTE_STREAM, .objective_us = (objective), .gap_us = (gap),                         \
    .patience_us = (patience), .attempts = 2, .can_resume = 1                                      \
  }

static const Kind kinds[WL_REPLAY_KINDS] = {
  { 38.3, 5000, 0.9, 23800, 31.6, 0.7, 1.3, 0.33, 10000000, 2, STREAM (300000, 250000, 2000000) },
  { 2.09, 45000, 0.5, 110000, 19.0, 0.6, 3.9, 0.98, 10000000, 4,
    STREAM (1500000, 600000, 6000000) },
  { 1.76, 133000, 0.55, 600000, 15.8, 0.5, 15, 3.7, 15000000, 6,
    STREAM (2500000, 1000000, 10000000) },
};

typedef enum
{
  CALLER_WAITS, /* at its node, at no engine */
  CALLER_SENT,
  CALLER_AWAY, /* was refused and comes back */
  CALLER_DONE,
} CallerState;

typedef enum
{
  OUTCOME_LEFT, /* the caller left, or the replay ended */
  OUTCOME_REFUSED,
  OUTCOME_LATE,
  OUTCOME_IN_TIME,
} Outcome;

typedef struct
{
  uint32_t kind;
  uint32_t prompt;
  uint32_t output;
  uint32_t hint;
  double worth;
  CallerState state;
  Outcome outcome;
  uint8_t is_held; /* refused when most of its time was gone */
  uint32_t node;
  uint64_t asked_us; /* first try */
  uint64_t limit_us;
  uint64_t arrived_us; /* current try */
  uint64_t progress_us;
  uint64_t first_us;
  uint64_t longest_pause_us;
  uint64_t sent_us;
  uint64_t predicted_us;
  uint32_t tries;
  uint32_t attempts;
  uint64_t epoch; /* events for an earlier attempt are void */
  WlChoiceRequest wanted;
  uint32_t targets[TARGETS_MAX];
  uint64_t memory[TARGETS_MAX];
  uint32_t n_targets;
  uint64_t reads;
  uint64_t read_us;
  uint64_t formula_us;
} Caller;

typedef enum
{
  EVENT_ASK,
  EVENT_TRY,
  EVENT_REACH,
  EVENT_PASS,
  EVENT_NOTE,
  EVENT_PATIENCE,
  EVENT_FAULT,
  EVENT_REGISTER,
} EventKind;

typedef struct
{
  uint64_t at_us;
  uint64_t order;
  EventKind kind;
  uint32_t index;
  uint64_t epoch;
  uint32_t node;
  WlWorkNote note;
} Event;

typedef struct
{
  const WlReplayPlan *plan;
  gsl_rng *rng;
  uint64_t now_us;
  Event *events; /* a binary heap */
  size_t n_events;
  size_t room_events;
  uint64_t order;
  Caller *callers;
  uint32_t n_callers;
  uint32_t room_callers;
  WlFleet *fleets[WL_REPLAY_NODES_MAX];
  WlLoad *loads[WL_REPLAY_NODES_MAX];
  uint32_t turn[WL_REPLAY_NODES_MAX];
  WlReplayEngine *engines;
  uint64_t keys[WL_REPLAY_ENGINES_MAX];
  uint64_t passes[WL_REPLAY_ENGINES_MAX]; /* begun; ends of passes before a crash are void */
  double *ratios;
  size_t n_ratios;
  WlReplayResult result;
} Replay;

/* ---- events ---- */

static int
is_earlier (const Event *a, const Event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
push (Replay *r, Event e)
{
  e.order = r->order++;
  if (r->n_events == r->room_events)
    {
      r->room_events = r->room_events * 2 + 1024;
      r->events = realloc (r->events, r->room_events * sizeof e);
      if (r->events == NULL)
        abort ();
    }
  size_t i = r->n_events++;
  for (; i > 0 && is_earlier (&e, &r->events[(i - 1) / 2]); i = (i - 1) / 2)
    r->events[i] = r->events[(i - 1) / 2];
  r->events[i] = e;
}

static Event
pop (Replay *r)
{
  Event first = r->events[0];
  Event last = r->events[--r->n_events];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= r->n_events)
        break;
      if (child + 1 < r->n_events && is_earlier (&r->events[child + 1], &r->events[child]))
        child++;
      if (!is_earlier (&r->events[child], &last))
        break;
      r->events[i] = r->events[child];
      i = child;
    }
  r->events[i] = last;
  return first;
}

static void
push_simple (Replay *r, EventKind kind, uint64_t in_us, uint32_t index, uint64_t epoch)
{
  push (r, (Event){ .at_us = r->now_us + in_us, .kind = kind, .index = index, .epoch = epoch });
}

/* ---- traffic ---- */

/* Log-normal with a mean and a ratio of standard deviation to mean. */
static double
log_normal (Replay *r, double mean, double spread, double max)
{
  double variance = log (1.0 + spread * spread);
  double x = gsl_ran_lognormal (r->rng, log (mean) - variance / 2.0, sqrt (variance));
  return x > max ? max : x;
}

static double
rate_at (const Replay *r, uint32_t kind, uint64_t at_us)
{
  double rate = kinds[kind].per_s * r->plan->scale;
  for (uint32_t i = 0; i < r->plan->n_bursts; i++)
    {
      const WlReplayBurst *b = &r->plan->bursts[i];
      if (at_us >= b->from_us && at_us < b->until_us)
        rate *= b->factors[kind];
    }
  return rate;
}

static double
worth_of_size (const Kind *k, double prompt, double output)
{
  double mean = k->prompt + TOKEN_WORTH_OUT * k->events * TOKENS_PER_EVENT;
  double share = 0.3 + 0.7 * (prompt + TOKEN_WORTH_OUT * output) / mean;
  return k->worth * (share < 4.0 ? share : 4.0);
}

static void
add_caller (Replay *r, uint32_t kind, uint64_t at_us)
{
  const Kind *k = &kinds[kind];
  if (r->n_callers == r->room_callers)
    {
      r->room_callers = r->room_callers * 2 + 1024;
      r->callers = realloc (r->callers, r->room_callers * sizeof *r->callers);
      if (r->callers == NULL)
        abort ();
    }
  Caller *c = &r->callers[r->n_callers];
  memset (c, 0, sizeof *c);
  c->kind = kind;
  c->prompt = (uint32_t)log_normal (r, k->prompt, k->prompt_spread, k->prompt_max) + 1;
  double events = log_normal (r, k->events, k->events_spread, 2.5 * k->events);
  c->output = (uint32_t)(events * TOKENS_PER_EVENT) + 1;
  c->hint = (uint32_t)log_normal (r, c->output, 0.5, 1e6) + 1;
  c->worth = worth_of_size (k, c->prompt, c->output);
  c->asked_us = at_us;
  c->limit_us = at_us + k->deadline_us;
  push (r, (Event){ .at_us = at_us, .kind = EVENT_ASK, .index = r->n_callers++ });
}

/* Arrivals of a Poisson process whose rate changes: thinned from its highest rate. */
static void
make_arrivals (Replay *r)
{
  const WlReplayPlan *plan = r->plan;
  for (uint32_t kind = 0; kind < WL_REPLAY_KINDS; kind++)
    {
      double most = 0.0;
      for (uint64_t t = 0; t < plan->length_us; t += 100000)
        most = fmax (most, rate_at (r, kind, t));
      double t_us = 0.0;
      while (most > 0.0 && (t_us += gsl_ran_exponential (r->rng, 1e6 / most)) < plan->length_us)
        if (gsl_rng_uniform (r->rng) * most < rate_at (r, kind, (uint64_t)t_us))
          add_caller (r, kind, (uint64_t)t_us);
    }
}

/* ---- notes ---- */

static void
tell (Replay *r, const Caller *c, uint32_t target, WlWorkPhase phase)
{
  WlWorkNote note = {
    .work = (uint64_t)(c - r->callers) * EPOCHS_TOLD + c->epoch % EPOCHS_TOLD,
    .endpoint = r->keys[c->targets[target]],
    .phase = (uint8_t)phase,
    .is_part = target > 0,
    .memory = (uint32_t)c->memory[target],
    .reads = (uint32_t)c->reads,
    .read_us = (uint32_t)c->read_us,
    .output = c->wanted.output,
    .gap_ms = (uint32_t)(c->wanted.gap_us / 1000),
    .predicted_ms = target == 0 ? (uint32_t)(c->formula_us / 1000) : 0,
  };
  wl_load_learn (r->loads[c->node], r->fleets[c->node], c->node, 1, &note, r->now_us);
  push (r,
        (Event){ .at_us = r->now_us + HOP_US, .kind = EVENT_NOTE, .node = c->node, .note = note });
}

static void
tell_all (Replay *r, const Caller *c, WlWorkPhase phase)
{
  for (uint32_t i = 0; i < c->n_targets; i++)
    {
      int is_done = phase == WL_WORK_WRITING && i > 0 && c->memory[i] == 0;
      tell (r, c, i, is_done ? WL_WORK_ENDED : phase);
    }
}

static void
take_note (Replay *r, const Event *e)
{
  for (uint32_t node = 0; node < r->plan->n_nodes; node++)
    if (node != e->node)
      wl_load_learn (r->loads[node], r->fleets[node], e->node, 1, &e->note, r->now_us);
}

/* ---- endings ---- */

static void
leave_engines (Replay *r, Caller *c)
{
  if (c->n_targets == 0)
    return;
  tell_all (r, c, WL_WORK_ENDED);
  for (uint32_t i = 0; i < c->n_targets; i++)
    wl_replay_engine_remove (&r->engines[c->targets[i]], (uint32_t)(c - r->callers));
  c->n_targets = 0;
  c->epoch++;
}

static void
finish (Replay *r, Caller *c, Outcome outcome)
{
  leave_engines (r, c);
  c->epoch++;
  c->state = CALLER_DONE;
  c->outcome = outcome;
}

static void
refuse (Replay *r, Caller *c, uint64_t wait_us)
{
  const WlRoute *route = &kinds[c->kind].route;
  uint64_t had_us = c->limit_us - c->arrived_us;
  uint64_t left_us = c->limit_us > r->now_us ? c->limit_us - r->now_us : 0;
  if (had_us > route->patience_us)
    had_us = route->patience_us;
  c->is_held |= (r->now_us - c->arrived_us) * 4 > had_us * 3;
  if (c->tries == 1 && wait_us < left_us / RETRY_SHARE)
    {
      c->state = CALLER_AWAY;
      push_simple (r, EVENT_ASK, wait_us, (uint32_t)(c - r->callers), c->epoch);
      return;
    }
  finish (r, c, OUTCOME_REFUSED);
}

/* ---- placing ---- */

static uint32_t
engine_of (const WlEndpoint *e)
{
  return e->record.address - 1;
}

static void
place_caller (Replay *r, Caller *c, const WlChoice *choice)
{
  c->targets[0] = engine_of (choice->endpoint);
  c->memory[0] = choice->memory;
  c->n_targets = 1;
  for (uint32_t i = 0; i < choice->n_helpers; i++, c->n_targets++)
    {
      c->targets[c->n_targets] = engine_of (choice->helpers[i]);
      c->memory[c->n_targets] = choice->tickets[i];
    }
  c->reads = choice->reads;
  c->read_us = choice->read_us;
  c->predicted_us = choice->predicted_us;
  c->formula_us = choice->formula_us;
  c->sent_us = r->now_us;
  c->progress_us = c->first_us > 0 ? c->progress_us : c->arrived_us;
  c->state = CALLER_SENT;
  c->attempts++;
  tell_all (r, c, WL_WORK_SENT);
  push_simple (r, EVENT_REACH, HOP_US, (uint32_t)(c - r->callers), c->epoch);
}

static WlChoice
choose_simply (Replay *r, Caller *c)
{
  WlFleet *fleet = r->fleets[c->node];
  WlChoice out = { .result = WL_CHOICE_NO_ENDPOINT, .wait_us = REJECTED_US };
  uint32_t best_items = UINT32_MAX;
  for (uint32_t n = 0; n < fleet->n_endpoints; n++)
    {
      uint32_t i = (r->turn[c->node] + n) % fleet->n_endpoints;
      WlEndpoint *e = &fleet->endpoints[i];
      uint32_t items = wl_load_sum (r->loads[c->node], e->key, r->now_us).n_items;
      if (r->plan->policy == WL_REPLAY_ROUND_ROBIN)
        items = 0;
      if (!wl_fleet_is_usable (e, r->now_us) || items >= best_items)
        continue;
      best_items = items;
      out.endpoint = e;
    }
  if (out.endpoint == NULL)
    return out;
  r->turn[c->node]++;
  out.result = WL_CHOICE_PLACED;
  out.memory = c->prompt + c->wanted.output;
  out.reads = c->prompt;
  out.read_us = wl_forecast_read_us (&wl_sample_engines.engine, c->prompt);
  if (out.memory > wl_sample_engines.engine.memory)
    out.result = WL_CHOICE_TOO_LARGE;
  return out;
}

static void
try_caller (Replay *r, Caller *c)
{
  const Kind *k = &kinds[c->kind];
  WlChoiceTimes times = {
    .arrived_us = c->arrived_us,
    .limit_us = c->limit_us,
    .silent_since_us = c->first_us > 0 ? c->progress_us : c->arrived_us,
  };
  WlChoice choice;
  wl_choice_set_times (&c->wanted, &k->route, &times, r->now_us);
  r->result.n_choices++;
  if (r->plan->policy == WL_REPLAY_CHOICE)
    choice = wl_choice_make (r->fleets[c->node], r->loads[c->node], &c->wanted, r->now_us,
                             gsl_rng_get (r->rng));
  else
    choice = choose_simply (r, c);
  switch (choice.result)
    {
    case WL_CHOICE_PLACED:
      place_caller (r, c, &choice);
      return;
    case WL_CHOICE_WAIT:
      push_simple (r, EVENT_TRY, choice.wait_us, (uint32_t)(c - r->callers), c->epoch);
      return;
    case WL_CHOICE_LATE:
    case WL_CHOICE_NO_ENDPOINT:
    case WL_CHOICE_TOO_LARGE:
      if (c->first_us > 0)
        push_simple (r, EVENT_TRY, REJECTED_US, (uint32_t)(c - r->callers), c->epoch);
      else
        refuse (r, c, choice.wait_us + gsl_rng_uniform_int (r->rng, 200000));
      return;
    }
}

static void
ask (Replay *r, Caller *c)
{
  const Kind *k = &kinds[c->kind];
  c->state = CALLER_WAITS;
  c->arrived_us = r->now_us;
  c->progress_us = r->now_us;
  c->node = (uint32_t)gsl_rng_uniform_int (r->rng, r->plan->n_nodes);
  c->tries++;
  c->attempts = 0;
  c->wanted = (WlChoiceRequest){
    .service = &wl_sample_engines,
    .zone = "z0",
    .prompt = c->prompt,
    .output = c->hint,
    .gap_us = k->route.gap_us,
  };
  push_simple (r, EVENT_PATIENCE, PATIENCE_TICK_US, (uint32_t)(c - r->callers), c->epoch);
  try_caller (r, c);
}

/* ---- engines ---- */

static void
start_pass (Replay *r, uint32_t i)
{
  WlReplayEngine *e = &r->engines[i];
  if (e->is_busy)
    return;
  uint64_t pass_us = wl_replay_engine_begin (e);
  if (pass_us > 0)
    push_simple (r, EVENT_PASS, pass_us, i, ++r->passes[i]);
}

/* The attempt cannot go on: another engine is tried once. */
static void
break_attempt (Replay *r, Caller *c)
{
  uint64_t key = r->keys[c->targets[0]];
  WlEndpoint *e = wl_fleet_find_key (r->fleets[c->node], key);
  if (e != NULL)
    wl_fleet_note_failure (e, WL_FAILURE_REFUSED, r->now_us);
  leave_engines (r, c);
  c->state = CALLER_WAITS;
  c->wanted.excluded[c->wanted.n_excluded++] = key;
  if (c->attempts >= kinds[c->kind].route.attempts)
    finish (r, c, OUTCOME_LEFT);
  else
    try_caller (r, c);
}

static void
reach (Replay *r, Caller *c)
{
  uint32_t index = (uint32_t)(c - r->callers);
  for (uint32_t i = 0; i < c->n_targets; i++)
    if (r->engines[c->targets[i]].is_down)
      {
        break_attempt (r, c);
        return;
      }
  for (uint32_t i = 0; i < c->n_targets; i++)
    {
      WlReplayWork work = {
        .request = index,
        .is_part = i > 0,
        .urgency = kinds[c->kind].urgency,
        .tokens = c->reads,
        .read_us = (double)c->read_us,
        .left = 1.0,
        .memory = c->memory[i],
        .output = c->output,
        .parts = i == 0 ? c->n_targets - 1 : 0,
      };
      wl_replay_engine_add (&r->engines[c->targets[i]], &work);
    }
  for (uint32_t i = 0; i < c->n_targets; i++)
    start_pass (r, c->targets[i]);
}

static int
is_in_time (const Caller *c)
{
  const WlRoute *route = &kinds[c->kind].route;
  return c->first_us - c->asked_us <= route->objective_us && c->longest_pause_us <= route->gap_us;
}

static void
note_ratio (Replay *r, const Caller *c)
{
  r->ratios = realloc (r->ratios, (r->n_ratios + 1) * sizeof *r->ratios);
  if (r->ratios == NULL)
    abort ();
  r->ratios[r->n_ratios++] = (double)(c->first_us - c->sent_us) / ((double)c->predicted_us + 1.0);
}

static void
take_event (Replay *r, Caller *c, int is_last)
{
  uint64_t at_us = r->now_us + HOP_US;
  if (c->first_us == 0)
    {
      c->first_us = at_us;
      note_ratio (r, c);
      tell_all (r, c, WL_WORK_WRITING);
    }
  else if (at_us - c->progress_us > c->longest_pause_us)
    c->longest_pause_us = at_us - c->progress_us;
  c->progress_us = at_us;
  if (is_last)
    finish (r, c, is_in_time (c) ? OUTCOME_IN_TIME : OUTCOME_LATE);
}

static void
end_pass (Replay *r, uint32_t i, uint64_t pass)
{
  WlReplayEngine *e = &r->engines[i];
  WlReplayOutcome outcomes[WL_REPLAY_WORK_MAX];
  if (!e->is_busy || r->passes[i] != pass)
    return;
  uint32_t n = wl_replay_engine_end (e, outcomes);
  for (uint32_t j = 0; j < n; j++)
    {
      Caller *c = &r->callers[outcomes[j].request];
      if (c->n_targets == 0)
        continue;
      switch (outcomes[j].result)
        {
        case WL_REPLAY_PART_READ:
          wl_replay_engine_part_done (&r->engines[c->targets[0]], outcomes[j].request);
          start_pass (r, c->targets[0]);
          break;
        case WL_REPLAY_EVENT:
          take_event (r, c, 0);
          break;
        case WL_REPLAY_LAST_EVENT:
          take_event (r, c, 1);
          break;
        }
    }
  start_pass (r, i);
}

static void
check_patience (Replay *r, Caller *c)
{
  const Kind *k = &kinds[c->kind];
  if (c->state == CALLER_DONE || c->state == CALLER_AWAY)
    return;
  if (r->now_us >= c->limit_us || r->now_us > c->progress_us + k->route.patience_us)
    {
      finish (r, c, OUTCOME_LEFT);
      return;
    }
  push_simple (r, EVENT_PATIENCE, PATIENCE_TICK_US, (uint32_t)(c - r->callers), c->epoch);
}

/* ---- faults ---- */

static void
crash (Replay *r, uint32_t i)
{
  WlReplayEngine *e = &r->engines[i];
  e->is_down = 1;
  e->is_busy = 0;
  while (e->n_works > 0)
    {
      Caller *c = &r->callers[e->works[0].request];
      if (c->n_targets > 0)
        break_attempt (r, c);
      else
        wl_replay_engine_remove (e, e->works[0].request);
    }
}

/* Index of the event: two for each fault, its begin and its end. */
static void
apply_fault (Replay *r, uint32_t index)
{
  const WlReplayFault *f = &r->plan->faults[index / 2];
  int is_begin = index % 2 == 0;
  for (uint32_t i = 0; i < f->n_engines && i < r->plan->n_engines; i++)
    {
      if (f->pace > 0.0)
        r->engines[i].pace = is_begin ? f->pace : 1.0;
      else if (is_begin)
        crash (r, i);
      else
        r->engines[i].is_down = 0;
    }
}

/* ---- the run ---- */

static void
add_endpoint (Replay *r, uint32_t node, uint32_t i)
{
  WlEndpointRecord record
      = { .address = i + 1, .port = 80, .slots = 16, .born_ms = 1, .sequence = 1 };
  snprintf (record.id, sizeof record.id, "engine-%03u", i);
  snprintf (record.service, sizeof record.service, "%s", wl_sample_engines.name);
  snprintf (record.zone, sizeof record.zone, "z%u", i % 3);
  wl_fleet_take (r->fleets[node], &record, 0);
  r->keys[i] = wl_fleet_key (record.id);
}

static void
create (Replay *r, const WlReplayPlan *plan)
{
  memset (r, 0, sizeof *r);
  r->plan = plan;
  r->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (r->rng, plan->seed);
  r->engines = calloc (plan->n_engines, sizeof *r->engines);
  if (r->engines == NULL)
    abort ();
  for (uint32_t i = 0; i < plan->n_engines; i++)
    r->engines[i] = (WlReplayEngine){ .model = &wl_sample_engines.engine, .pace = 1.0 };
  for (uint32_t node = 0; node < plan->n_nodes; node++)
    {
      r->fleets[node] = wl_fleet_create ();
      r->loads[node] = wl_load_create ();
      for (uint32_t i = 0; i < plan->n_engines; i++)
        add_endpoint (r, node, i);
    }
  for (uint32_t i = 0; i < plan->n_faults; i++)
    {
      push (r, (Event){ .at_us = plan->faults[i].from_us, .kind = EVENT_FAULT, .index = 2 * i });
      push (r,
            (Event){ .at_us = plan->faults[i].until_us, .kind = EVENT_FAULT, .index = 2 * i + 1 });
    }
  push (r, (Event){ .kind = EVENT_REGISTER });
  make_arrivals (r);
}

/* All engines register again at all nodes, as they do in calm. */
static void
register_again (Replay *r)
{
  for (uint32_t node = 0; node < r->plan->n_nodes; node++)
    wl_fleet_keep (r->fleets[node], r->now_us);
  if (r->now_us < r->plan->length_us + DRAIN_US)
    push_simple (r, EVENT_REGISTER, REGISTER_US, 0, 0);
}

static void
handle (Replay *r, const Event *e)
{
  Caller *c = &r->callers[e->index];
  r->now_us = e->at_us;
  switch (e->kind)
    {
    case EVENT_ASK:
      ask (r, c);
      return;
    case EVENT_TRY:
      if (e->epoch == c->epoch && c->state == CALLER_WAITS)
        try_caller (r, c);
      return;
    case EVENT_REACH:
      if (e->epoch == c->epoch)
        reach (r, c);
      return;
    case EVENT_PASS:
      end_pass (r, e->index, e->epoch);
      return;
    case EVENT_NOTE:
      take_note (r, e);
      return;
    case EVENT_PATIENCE:
      check_patience (r, c);
      return;
    case EVENT_FAULT:
      apply_fault (r, e->index);
      return;
    case EVENT_REGISTER:
      register_again (r);
      return;
    }
}

/* A long request, for sorting by size. */
typedef struct
{
  uint32_t prompt;
  uint32_t index;
} Sized;

static int
by_prompt (const void *a, const void *b)
{
  uint32_t x = ((const Sized *)a)->prompt;
  uint32_t y = ((const Sized *)b)->prompt;
  return x < y ? -1 : x > y ? 1 : 0;
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return x < y ? -1 : x > y ? 1 : 0;
}

static void
count (WlReplayCounts *out, const Caller *c)
{
  const Kind *k = &kinds[c->kind];
  out->asked++;
  out->worth += c->worth;
  if (c->is_held)
    out->held += c->worth;
  switch (c->outcome)
    {
    case OUTCOME_IN_TIME:
      out->in_time++;
      out->earned += c->worth;
      return;
    case OUTCOME_LATE:
      out->late++;
      out->earned += c->worth * k->late_worth / k->worth;
      return;
    case OUTCOME_REFUSED:
      out->refused++;
      return;
    case OUTCOME_LEFT:
      out->left++;
      return;
    }
}

static void
sum_up (Replay *r)
{
  WlReplayResult *out = &r->result;
  Sized *longs = calloc (r->n_callers + 1, sizeof *longs);
  uint32_t n_longs = 0;
  if (longs == NULL)
    abort ();
  for (uint32_t i = 0; i < r->n_callers; i++)
    {
      count (&out->kinds[r->callers[i].kind], &r->callers[i]);
      if (r->callers[i].kind == WL_REPLAY_KINDS - 1)
        longs[n_longs++] = (Sized){ r->callers[i].prompt, i };
    }
  qsort (longs, n_longs, sizeof *longs, by_prompt);
  for (uint32_t i = 0; i < n_longs; i++)
    count (&out->tenths[i * WL_REPLAY_TENTHS / n_longs], &r->callers[longs[i].index]);
  if (r->n_ratios > 0)
    {
      qsort (r->ratios, r->n_ratios, sizeof *r->ratios, by_value);
      out->late_p50 = gsl_stats_quantile_from_sorted_data (r->ratios, 1, r->n_ratios, 0.5);
      out->late_p95 = gsl_stats_quantile_from_sorted_data (r->ratios, 1, r->n_ratios, 0.95);
    }
  free (longs);
}

static void
destroy (Replay *r)
{
  for (uint32_t node = 0; node < r->plan->n_nodes; node++)
    {
      wl_load_destroy (r->loads[node]);
      wl_fleet_destroy (r->fleets[node]);
    }
  gsl_rng_free (r->rng);
  free (r->engines);
  free (r->events);
  free (r->callers);
  free (r->ratios);
}

WlReplayResult
wl_replay_run (const WlReplayPlan *plan)
{
  Replay r;
  create (&r, plan);
  while (r.n_events > 0)
    {
      Event e = pop (&r);
      handle (&r, &e);
    }
  sum_up (&r);
  WlReplayResult result = r.result;
  destroy (&r);
  return result;
}

double
wl_replay_worth (const WlReplayResult *result)
{
  double worth = 0.0;
  double earned = 0.0;
  for (uint32_t i = 0; i < WL_REPLAY_KINDS; i++)
    {
      worth += result->kinds[i].worth;
      earned += result->kinds[i].earned;
    }
  return earned / worth;
}

double
wl_replay_served (const WlReplayResult *result)
{
  double asked = 0.0;
  double answered = 0.0;
  for (uint32_t i = 0; i < WL_REPLAY_KINDS; i++)
    {
      asked += result->kinds[i].asked;
      answered += result->kinds[i].in_time + result->kinds[i].late;
    }
  return answered / asked;
}
