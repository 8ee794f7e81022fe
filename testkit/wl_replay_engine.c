#include <string.h>
#include "wl_replay_engine.h"

int
wl_replay_engine_add (WlReplayEngine *engine, const WlReplayWork *work)
{
  if (engine->n_works == WL_REPLAY_WORK_MAX)
    return 0;
  engine->works[engine->n_works++] = *work;
  return 1;
}

static void
remove_at (WlReplayEngine *engine, uint32_t i)
{
  uint32_t after = engine->n_works - i - 1;
  memmove (&engine->works[i], &engine->works[i + 1], after * sizeof *engine->works);
  engine->n_works--;
  if (i >= engine->n_planned)
    return;
  memmove (&engine->plan[i], &engine->plan[i + 1],
           (engine->n_planned - i - 1) * sizeof *engine->plan);
  engine->n_planned--;
}

void
wl_replay_engine_remove (WlReplayEngine *engine, uint32_t request)
{
  for (uint32_t i = engine->n_works; i-- > 0;)
    if (engine->works[i].request == request)
      remove_at (engine, i);
}

void
wl_replay_engine_part_done (WlReplayEngine *engine, uint32_t request)
{
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      WlReplayWork *w = &engine->works[i];
      if (w->request != request || w->is_part || w->parts == 0)
        continue;
      if (--w->parts == 0 && w->stage == WL_REPLAY_READ)
        w->stage = WL_REPLAY_WRITING;
    }
}

/* Requests that are read or written at once: as many as there are slots; parts take none. */
static uint32_t
is_admitted (const WlReplayEngine *engine, uint32_t i)
{
  uint32_t before = 0;
  for (uint32_t j = 0; j < i; j++)
    before += !engine->works[j].is_part;
  return engine->works[i].is_part || before < engine->model->slots;
}

/* Memory that is taken: parts have reserved theirs, requests take it when their reading begins. */
static uint64_t
memory_in_use (const WlReplayEngine *engine)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      const WlReplayWork *w = &engine->works[i];
      if (w->is_part || w->stage != WL_REPLAY_READING || w->left < 1.0 || engine->plan[i] > 0.0)
        sum += w->memory;
    }
  return sum;
}

static int
has_memory (const WlReplayEngine *engine, const WlReplayWork *w)
{
  return w->is_part || w->left < 1.0
         || memory_in_use (engine) + w->memory <= engine->model->kv_tokens;
}

/* In a plan: the work writes in this pass. */
static const double WRITES = -1.0;

static int
goes_before (const WlReplayWork *a, const WlReplayWork *b)
{
  if (a->is_part != b->is_part)
    return a->is_part;
  return !a->is_part && a->urgency < b->urgency;
}

/* Plans what the pass reads, up to its capacity. Returns the time of it. */
static double
plan_reading (WlReplayEngine *engine, double capacity)
{
  double read_us = 0.0;
  for (;;)
    {
      uint32_t best = engine->n_works;
      for (uint32_t i = 0; i < engine->n_works; i++)
        if (engine->works[i].stage == WL_REPLAY_READING && engine->plan[i] == 0.0
            && is_admitted (engine, i) && has_memory (engine, &engine->works[i])
            && (best == engine->n_works || goes_before (&engine->works[i], &engine->works[best])))
          best = i;
      if (best == engine->n_works || capacity <= 0.0)
        return read_us;
      const WlReplayWork *w = &engine->works[best];
      double left = w->left * (double)w->tokens;
      double tokens = left < capacity ? left : capacity;
      engine->plan[best] = w->tokens > 0 ? tokens / (double)w->tokens : w->left;
      read_us += engine->plan[best] * w->read_us;
      capacity -= tokens;
    }
}

uint64_t
wl_replay_engine_begin (WlReplayEngine *engine)
{
  const WlEngineModel *m = engine->model;
  uint32_t writers = 0;
  uint64_t context = 0;
  double hop_us = 0.0;
  uint32_t readers = 0;
  if (engine->is_down)
    return 0;
  for (uint32_t i = 0; i < engine->n_works; i++)
    {
      const WlReplayWork *w = &engine->works[i];
      readers += w->stage == WL_REPLAY_READING;
      writers += w->stage == WL_REPLAY_WRITING;
      if (w->stage == WL_REPLAY_WRITING || w->stage == WL_REPLAY_HOLDING)
        context += w->memory;
      if (w->stage == WL_REPLAY_WRITING && w->memory < w->tokens)
        hop_us = m->hop_us;
    }
  if (readers + writers == 0)
    return 0;
  engine->steps = writers > 0 ? m->iteration_steps : 1;
  engine->n_planned = engine->n_works;
  for (uint32_t i = 0; i < engine->n_works; i++)
    engine->plan[i] = engine->works[i].stage == WL_REPLAY_WRITING ? WRITES : 0.0;
  double step_us = (double)wl_forecast_step_us (m, writers, context) + hop_us;
  double read_us = plan_reading (engine, (double)m->chunk_tokens * engine->steps);
  engine->is_busy = 1;
  return (uint64_t)((engine->steps * step_us + read_us) * engine->pace) + 1;
}

/* Advances one piece of work by the pass. Returns 1 with an outcome. */
static int
advance (WlReplayEngine *engine, uint32_t i, WlReplayOutcome *out)
{
  WlReplayWork *w = &engine->works[i];
  out->request = w->request;
  if (w->stage == WL_REPLAY_READING && engine->plan[i] > 0.0)
    {
      w->left -= engine->plan[i];
      if (w->left > 1e-9)
        return 0;
      w->left = 0.0;
      w->stage = w->is_part ? WL_REPLAY_HOLDING : w->parts > 0 ? WL_REPLAY_READ : WL_REPLAY_WRITING;
      out->result = w->is_part ? WL_REPLAY_PART_READ : WL_REPLAY_EVENT;
      return w->stage != WL_REPLAY_READ;
    }
  if (w->stage != WL_REPLAY_WRITING || engine->plan[i] != WRITES)
    return 0;
  w->output = w->output > engine->steps ? w->output - engine->steps : 0;
  out->result = w->output > 0 ? WL_REPLAY_EVENT : WL_REPLAY_LAST_EVENT;
  return 1;
}

uint32_t
wl_replay_engine_end (WlReplayEngine *engine, WlReplayOutcome *out)
{
  uint32_t n = 0;
  engine->is_busy = 0;
  for (uint32_t i = 0; i < engine->n_planned && i < engine->n_works; i++)
    n += (uint32_t)advance (engine, i, &out[n]);
  engine->n_planned = 0;
  for (uint32_t i = engine->n_works; i-- > 0;)
    {
      const WlReplayWork *w = &engine->works[i];
      int is_written = w->stage == WL_REPLAY_WRITING && w->output == 0;
      int is_read = w->stage == WL_REPLAY_HOLDING && w->memory == 0;
      if (is_written || is_read)
        remove_at (engine, i);
    }
  return n;
}
