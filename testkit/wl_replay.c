#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_replay_internal.h"
#include "wl_sample_engine.h"

/* The run: callers, forwarding nodes, engines and faults. */

enum
{
  PATIENCE_TICK_US = 50000,
  RETRY_SHARE = 3,       /* a caller waits for at most this part of the time it has left */
  REJECTED_US = 100000,  /* return time of the baselines' refusals */
  REGISTER_US = 1000000, /* between registrations */
  DRAIN_US = 20000000,   /* after the last arrival */
  EPOCHS_TOLD = 16,      /* attempts of one caller that notes tell apart */
};

void
wl_replay_push (WlReplay *r, const WlReplayEvent *e)
{
  wl_time_queue_add (r->events, e->at_us, e);
}

static void
push (WlReplay *r, WlReplayEventKind kind, uint64_t in_us, uint32_t index, uint64_t epoch)
{
  WlReplayEvent e = { .at_us = r->now_us + in_us, .kind = kind, .index = index, .epoch = epoch };
  wl_replay_push (r, &e);
}

static void
push_for (WlReplay *r, WlReplayEventKind kind, uint64_t in_us, const WlReplayCaller *c)
{
  push (r, kind, in_us, (uint32_t)(c - r->callers), c->epoch);
}

/* ---- notes ---- */

static void
tell (WlReplay *r, const WlReplayCaller *c, uint32_t target, WlWorkPhase phase)
{
  WlWorkItem note = {
    .id = (uint64_t)(c - r->callers) * EPOCHS_TOLD + c->epoch % EPOCHS_TOLD,
    .endpoint = r->keys[c->targets[target]],
    .phase = (uint8_t)phase,
    .is_helper_part = target > 0,
    .kv_tokens = (uint32_t)c->memory[target],
    .prefill_tokens = (uint32_t)c->reads,
    .prefill_us = (uint32_t)c->read_us,
    .output_tokens = c->wanted.output,
    .gap_ms = (uint32_t)(c->wanted.gap_us / 1000),
    .predicted_ms = target == 0 ? (uint32_t)(c->formula_us / 1000) : 0,
  };
  wl_load_apply_and_learn (r->loads[c->node], r->fleets[c->node], c->node, 1, &note, r->now_us);
  WlReplayEvent e
      = { r->now_us + WL_REPLAY_HOP_US, WL_REPLAY_AT_NOTE, .node = c->node, .note = note };
  wl_replay_push (r, &e);
}

static void
tell_all (WlReplay *r, const WlReplayCaller *c, WlWorkPhase phase)
{
  for (uint32_t i = 0; i < c->n_targets; i++)
    {
      int is_done = phase == WL_WORK_DECODING && i > 0 && c->memory[i] == 0;
      tell (r, c, i, is_done ? WL_WORK_ENDED : phase);
    }
}

static void
take_note (WlReplay *r, const WlReplayEvent *e)
{
  for (uint32_t node = 0; node < r->plan->n_nodes; node++)
    if (node != e->node)
      wl_load_apply_and_learn (r->loads[node], r->fleets[node], e->node, 1, &e->note, r->now_us);
}

/* ---- endings ---- */

static void
leave_engines (WlReplay *r, WlReplayCaller *c)
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
finish (WlReplay *r, WlReplayCaller *c, WlReplayEnding outcome)
{
  leave_engines (r, c);
  c->epoch++;
  c->state = WL_REPLAY_CALLER_DONE;
  c->outcome = outcome;
}

static void
refuse (WlReplay *r, WlReplayCaller *c, uint64_t wait_us)
{
  const WlRoute *route = &wl_replay_kinds[c->kind].route;
  uint64_t had_us = c->limit_us - c->arrived_us;
  uint64_t left_us = c->limit_us > r->now_us ? c->limit_us - r->now_us : 0;
  if (had_us > route->abandon_gap_us)
    had_us = route->abandon_gap_us;
  c->is_held |= (r->now_us - c->arrived_us) * 4 > had_us * 3;
  if (c->tries == 1 && wait_us < left_us / RETRY_SHARE)
    {
      c->state = WL_REPLAY_CALLER_AWAY;
      push_for (r, WL_REPLAY_AT_ASK, wait_us, c);
      return;
    }
  finish (r, c, WL_REPLAY_ENDED_REFUSED);
}

/* ---- placing ---- */

static uint32_t
engine_of (const WlEndpoint *e)
{
  return e->record.address - 1;
}

static void
place_caller (WlReplay *r, WlReplayCaller *c, const WlChoice *choice)
{
  c->targets[0] = engine_of (choice->endpoint);
  c->memory[0] = choice->kv_tokens;
  c->n_targets = 1;
  for (uint32_t i = 0; i < choice->n_helpers; i++, c->n_targets++)
    {
      c->targets[c->n_targets] = engine_of (choice->helpers[i]);
      c->memory[c->n_targets] = choice->kv_reserved[i];
    }
  c->reads = choice->part_tokens;
  c->read_us = choice->part_us;
  c->predicted_us = choice->predicted_us;
  c->formula_us = choice->model_us;
  c->sent_us = r->now_us;
  c->progress_us = c->first_us > 0 ? c->progress_us : c->arrived_us;
  c->state = WL_REPLAY_CALLER_SENT;
  c->attempts++;
  c->begun_us = 0;
  c->is_sound = 0;
  tell_all (r, c, WL_WORK_SENT);
  push_for (r, WL_REPLAY_AT_REACH, WL_REPLAY_HOP_US, c);
}

static WlChoice
choose_simply (WlReplay *r, WlReplayCaller *c)
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
  out.kv_tokens = c->prompt + c->wanted.output;
  out.part_tokens = c->prompt;
  out.part_us = wl_forecast_prefill_us (&wl_sample_engines.engine, c->prompt);
  if (out.kv_tokens > wl_sample_engines.engine.kv_tokens)
    out.result = WL_CHOICE_TOO_LARGE;
  return out;
}

static void
try_caller (WlReplay *r, WlReplayCaller *c)
{
  const WlReplayKind *k = &wl_replay_kinds[c->kind];
  WlChoiceTimes times = {
    .arrived_us = c->arrived_us,
    .limit_us = c->limit_us,
    .last_output_us = c->first_us > 0 ? c->progress_us : c->arrived_us,
  };
  WlChoice choice;
  if (wl_replay_parts_refuses (r, c))
    {
      finish (r, c, WL_REPLAY_ENDED_REFUSED);
      return;
    }
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
      push_for (r, WL_REPLAY_AT_TRY, choice.wait_us, c);
      return;
    case WL_CHOICE_PAST_DEADLINE:
    case WL_CHOICE_NO_ENDPOINT:
    case WL_CHOICE_TOO_LARGE:
      if (c->first_us > 0)
        push_for (r, WL_REPLAY_AT_TRY, REJECTED_US, c);
      else
        refuse (r, c, choice.wait_us + gsl_rng_uniform_int (r->rng, 200000));
      return;
    }
}

static void
ask (WlReplay *r, WlReplayCaller *c)
{
  const WlReplayKind *k = &wl_replay_kinds[c->kind];
  c->state = WL_REPLAY_CALLER_WAITS;
  c->arrived_us = r->now_us;
  c->progress_us = r->now_us;
  c->node = (uint32_t)gsl_rng_uniform_int (r->rng, r->plan->n_nodes);
  c->tries++;
  c->attempts = 0;
  c->wanted = (WlChoiceRequest){
    .service = &wl_sample_engines,
    .domain = "z0",
    .prompt = c->prompt,
    .output = c->hint,
    .gap_us = k->route.gap_us,
  };
  push_for (r, WL_REPLAY_AT_PATIENCE, PATIENCE_TICK_US, c);
  wl_replay_parts_ask (r, c);
  try_caller (r, c);
}

/* ---- engines ---- */

static void
start_pass (WlReplay *r, uint32_t i)
{
  WlReplayEngine *e = &r->engines[i];
  if (e->is_busy)
    return;
  uint64_t pass_us = wl_replay_engine_begin (e);
  if (pass_us > 0)
    push (r, WL_REPLAY_AT_PASS, pass_us, i, ++r->passes[i]);
}

/* The attempt cannot go on: another engine is tried once. */
static void
break_attempt (WlReplay *r, WlReplayCaller *c)
{
  uint64_t key = r->keys[c->targets[0]];
  WlEndpoint *e = wl_fleet_find_key (r->fleets[c->node], key);
  if (e != NULL)
    wl_fleet_note_failure (e, WL_FAILURE_REFUSED, r->now_us);
  leave_engines (r, c);
  c->state = WL_REPLAY_CALLER_WAITS;
  c->wanted.excluded[c->wanted.n_excluded++] = key;
  if (c->attempts >= wl_replay_kinds[c->kind].route.attempts)
    finish (r, c, WL_REPLAY_ENDED_LEFT);
  else
    try_caller (r, c);
}

static void
reach (WlReplay *r, WlReplayCaller *c)
{
  uint32_t index = (uint32_t)(c - r->callers);
  for (uint32_t i = 0; i < c->n_targets; i++)
    if (r->engines[c->targets[i]].is_down)
      {
        break_attempt (r, c);
        return;
      }
  wl_replay_parts_note_arrival (r, c);
  for (uint32_t i = 0; i < c->n_targets; i++)
    {
      WlReplayWork work = {
        .request = index,
        .is_part = i > 0,
        .urgency = wl_replay_kinds[c->kind].urgency,
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
is_in_time (const WlReplayCaller *c)
{
  const WlRoute *route = &wl_replay_kinds[c->kind].route;
  return c->first_us - c->asked_us <= route->objective_us && c->longest_pause_us <= route->gap_us;
}

static void
note_ratio (WlReplay *r, const WlReplayCaller *c)
{
  r->ratios = realloc (r->ratios, (r->n_ratios + 1) * sizeof *r->ratios);
  if (r->ratios == NULL)
    abort ();
  r->ratios[r->n_ratios++] = (double)(c->first_us - c->sent_us) / ((double)c->predicted_us + 1.0);
}

static void
take_event (WlReplay *r, WlReplayCaller *c, int is_last)
{
  uint64_t at_us = r->now_us + WL_REPLAY_HOP_US;
  if (c->first_us == 0)
    {
      c->first_us = at_us;
      note_ratio (r, c);
      tell_all (r, c, WL_WORK_DECODING);
    }
  else if (at_us - c->progress_us > c->longest_pause_us)
    c->longest_pause_us = at_us - c->progress_us;
  c->progress_us = at_us;
  wl_replay_parts_note_event (r, c, is_last);
  if (is_last)
    finish (r, c, is_in_time (c) ? WL_REPLAY_ENDED_IN_TIME : WL_REPLAY_ENDED_LATE);
}

static void
crash (WlReplay *r, uint32_t i)
{
  WlReplayEngine *e = &r->engines[i];
  wl_replay_parts_note_end (r, i);
  e->is_down = 1;
  e->is_busy = 0;
  while (e->n_works > 0)
    {
      WlReplayCaller *c = &r->callers[e->works[0].request];
      if (c->n_targets > 0)
        break_attempt (r, c);
      else
        wl_replay_engine_remove (e, e->works[0].request);
    }
}

/* An engine ends, and is back after 3 to 5 s. */
static void
end_engine (WlReplay *r, uint32_t i)
{
  uint64_t away_us = 3000000 + (uint64_t)wl_replay_chance (r, 2000) * 1000;
  if (r->engines[i].is_down)
    return;
  crash (r, i);
  push (r, WL_REPLAY_AT_BACK, away_us, i, 0);
}

static void
end_by_chance (WlReplay *r)
{
  uint32_t mean_ms = (uint32_t)(r->plan->parts->chance_us / 1000);
  end_engine (r, wl_replay_chance (r, r->plan->n_engines));
  uint64_t next_us = (mean_ms / 2 + (uint64_t)wl_replay_chance (r, mean_ms)) * 1000;
  if (r->now_us + next_us < r->plan->length_us)
    push (r, WL_REPLAY_AT_CHANCE, next_us, 0, 0);
}

static void
end_pass (WlReplay *r, uint32_t i, uint64_t pass)
{
  WlReplayEngine *e = &r->engines[i];
  WlReplayOutcome outcomes[WL_REPLAY_WORK_MAX];
  if (!e->is_busy || r->passes[i] != pass)
    return;
  uint32_t n = wl_replay_engine_end (e, outcomes);
  for (uint32_t j = 0; j < n; j++)
    {
      WlReplayCaller *c = &r->callers[outcomes[j].request];
      if (c->n_targets == 0)
        continue;
      if (c->is_bad && outcomes[j].result != WL_REPLAY_PART_READ)
        {
          end_engine (r, i);
          return;
        }
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
check_patience (WlReplay *r, WlReplayCaller *c)
{
  const WlReplayKind *k = &wl_replay_kinds[c->kind];
  if (c->state == WL_REPLAY_CALLER_DONE || c->state == WL_REPLAY_CALLER_AWAY)
    return;
  if (r->now_us >= c->limit_us || r->now_us > c->progress_us + k->route.abandon_gap_us)
    {
      finish (r, c, WL_REPLAY_ENDED_LEFT);
      return;
    }
  push_for (r, WL_REPLAY_AT_PATIENCE, PATIENCE_TICK_US, c);
}

/* ---- faults ---- */

/* Index of the event: two for each fault, its begin and its end. */
static void
apply_fault (WlReplay *r, uint32_t index)
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
add_endpoint (WlReplay *r, uint32_t node, uint32_t i)
{
  WlEndpointRecord record
      = { .address = i + 1, .port = 80, .slots = 16, .started_ms = 1, .sequence = 1 };
  snprintf (record.id, sizeof record.id, "engine-%03u", i);
  snprintf (record.service, sizeof record.service, "%s", wl_sample_engines.name);
  snprintf (record.domain, sizeof record.domain, "z%u", i % 3);
  wl_fleet_apply (r->fleets[node], &record, 0);
  r->keys[i] = wl_fleet_key (record.id);
}

static void
create (WlReplay *r, const WlReplayPlan *plan)
{
  memset (r, 0, sizeof *r);
  r->plan = plan;
  r->events = wl_time_queue_create (sizeof (WlReplayEvent));
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
      push (r, WL_REPLAY_AT_FAULT, plan->faults[i].from_us, 2 * i, 0);
      push (r, WL_REPLAY_AT_FAULT, plan->faults[i].until_us, 2 * i + 1, 0);
    }
  push (r, WL_REPLAY_AT_REGISTER, 0, 0, 0);
  wl_replay_make_callers (r);
  wl_replay_parts_create (r);
  if (plan->parts != NULL && plan->parts->chance_us > 0)
    push (r, WL_REPLAY_AT_CHANCE, plan->parts->from_us, 0, 0);
  for (uint32_t i = 0; i < r->n_callers; i++)
    push (r, WL_REPLAY_AT_ASK, r->callers[i].asked_us, i, 0);
}

/* All engines register again at all nodes, as they do in calm. */
static void
register_again (WlReplay *r)
{
  for (uint32_t node = 0; node < r->plan->n_nodes; node++)
    wl_fleet_defer_timeouts (r->fleets[node], r->now_us);
  if (r->now_us < r->plan->length_us + DRAIN_US)
    push (r, WL_REPLAY_AT_REGISTER, REGISTER_US, 0, 0);
}

static void
handle (WlReplay *r, const WlReplayEvent *e)
{
  WlReplayCaller *c = &r->callers[e->index];
  r->now_us = e->at_us;
  switch (e->kind)
    {
    case WL_REPLAY_AT_ASK:
      ask (r, c);
      return;
    case WL_REPLAY_AT_TRY:
      if (e->epoch == c->epoch && c->state == WL_REPLAY_CALLER_WAITS)
        try_caller (r, c);
      return;
    case WL_REPLAY_AT_REACH:
      if (e->epoch == c->epoch)
        reach (r, c);
      return;
    case WL_REPLAY_AT_PASS:
      end_pass (r, e->index, e->epoch);
      return;
    case WL_REPLAY_AT_NOTE:
      take_note (r, e);
      return;
    case WL_REPLAY_AT_PATIENCE:
      check_patience (r, c);
      return;
    case WL_REPLAY_AT_FAULT:
      apply_fault (r, e->index);
      return;
    case WL_REPLAY_AT_REGISTER:
      register_again (r);
      return;
    case WL_REPLAY_AT_REPORT:
      wl_replay_parts_take_report (r, e);
      return;
    case WL_REPLAY_AT_CHANCE:
      end_by_chance (r);
      return;
    case WL_REPLAY_AT_BACK:
      r->engines[e->index].is_down = 0;
      return;
    }
}

static void
destroy (WlReplay *r)
{
  for (uint32_t node = 0; node < r->plan->n_nodes; node++)
    {
      wl_load_destroy (r->loads[node]);
      wl_fleet_destroy (r->fleets[node]);
    }
  wl_replay_parts_destroy (r);
  gsl_rng_free (r->rng);
  free (r->engines);
  wl_time_queue_destroy (r->events);
  free (r->callers);
  free (r->ratios);
}

WlReplayResult
wl_replay_run (const WlReplayPlan *plan)
{
  WlReplay r;
  create (&r, plan);
  for (WlReplayEvent e; wl_time_queue_take (r.events, UINT64_MAX, &e);)
    handle (&r, &e);
  wl_replay_sum_up (&r);
  wl_replay_parts_sum_up (&r);
  WlReplayResult result = r.result;
  destroy (&r);
  return result;
}
