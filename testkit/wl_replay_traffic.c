#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_statistics.h>
#include "wl_replay_internal.h"

/* Who asks for what and when, and what became of it. */

enum
{
  TOKENS_PER_EVENT = 43,
  TOKEN_WORTH_OUT = 10, /* a written token counts as much as this many read ones */
};

#define STREAM(objective, gap, patience)                                                           \
  {                                                                                                \
    .kind = WL_ROUTE_STREAM, .objective_us = (objective), .gap_us = (gap),                         \
    .abandon_gap_us = (patience), .attempts = 2, .can_resume = 1                                   \
  }

const WlReplayKind wl_replay_kinds[WL_REPLAY_KINDS] = {
  { 38.3, 5000, 0.9, 23800, 31.6, 0.7, 1.3, 0.33, 10000000, 2, STREAM (300000, 250000, 2000000) },
  { 2.09, 45000, 0.5, 110000, 19.0, 0.6, 3.9, 0.98, 10000000, 4,
    STREAM (1500000, 600000, 6000000) },
  { 1.76, 133000, 0.55, 600000, 15.8, 0.5, 15, 3.7, 15000000, 6,
    STREAM (2500000, 1000000, 10000000) },
};

/* Log-normal with a mean and a ratio of standard deviation to mean. */
static double
log_normal (WlReplay *r, double mean, double spread, double max)
{
  double variance = log (1.0 + spread * spread);
  double x = gsl_ran_lognormal (r->rng, log (mean) - variance / 2.0, sqrt (variance));
  return x > max ? max : x;
}

static double
rate_at (const WlReplay *r, uint32_t kind, uint64_t at_us)
{
  double rate = wl_replay_kinds[kind].per_s * r->plan->scale;
  for (uint32_t i = 0; i < r->plan->n_bursts; i++)
    {
      const WlReplayBurst *b = &r->plan->bursts[i];
      if (at_us >= b->from_us && at_us < b->until_us)
        rate *= b->factors[kind];
    }
  return rate;
}

static double
worth_of_size (const WlReplayKind *k, double prompt, double output)
{
  double mean = k->prompt + TOKEN_WORTH_OUT * k->events * TOKENS_PER_EVENT;
  double share = 0.3 + 0.7 * (prompt + TOKEN_WORTH_OUT * output) / mean;
  return k->worth * (share < 4.0 ? share : 4.0);
}

static void
add_caller (WlReplay *r, uint32_t kind, uint64_t at_us)
{
  const WlReplayKind *k = &wl_replay_kinds[kind];
  if (r->n_callers == r->room_callers)
    {
      r->room_callers = r->room_callers * 2 + 1024;
      r->callers = realloc (r->callers, r->room_callers * sizeof *r->callers);
      if (r->callers == NULL)
        abort ();
    }
  WlReplayCaller *c = &r->callers[r->n_callers];
  memset (c, 0, sizeof *c);
  c->kind = kind;
  c->prompt = (uint32_t)log_normal (r, k->prompt, k->prompt_spread, k->prompt_max) + 1;
  double events = log_normal (r, k->events, k->events_spread, 2.5 * k->events);
  c->output = (uint32_t)(events * TOKENS_PER_EVENT) + 1;
  c->hint = (uint32_t)log_normal (r, c->output, 0.5, 1e6) + 1;
  c->worth = worth_of_size (k, c->prompt, c->output);
  c->asked_us = at_us;
  c->limit_us = at_us + k->deadline_us;
  r->n_callers++;
}

/* Arrivals of a Poisson process whose rate changes: thinned from its highest rate. */
void
wl_replay_make_callers (WlReplay *r)
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

/* ---- results ---- */

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
count (WlReplayCounts *out, const WlReplayCaller *c)
{
  const WlReplayKind *k = &wl_replay_kinds[c->kind];
  out->asked++;
  out->worth += c->worth;
  if (c->is_held)
    out->held += c->worth;
  switch (c->outcome)
    {
    case WL_REPLAY_ENDED_IN_TIME:
      out->in_time++;
      out->earned += c->worth;
      return;
    case WL_REPLAY_ENDED_LATE:
      out->late++;
      out->earned += c->worth * k->late_worth / k->worth;
      return;
    case WL_REPLAY_ENDED_REFUSED:
      out->refused++;
      return;
    case WL_REPLAY_ENDED_LEFT:
      out->left++;
      return;
    }
}

void
wl_replay_sum_up (WlReplay *r)
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
