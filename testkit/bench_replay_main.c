#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include "wl_replay.h"

/*
 * Compares placement policies on the mix of the users' sheets: bursts of long
 * prompts between bursts of shorts, at the peak of the days of high load, with
 * and without engines that crash or are slow. Prints one table a pattern.
 */

enum
{
  SEEDS = 8,
  SECOND_US = 1000000,
};

typedef struct
{
  const char *name;
  WlReplayPlan plan;
} Pattern;

/* Factors by kind: short, middle, long. */
static const WlReplayBurst waves[] = {
  { 2 * SECOND_US, 11 * SECOND_US, { 0.32, 1.3, 2.8 } },
  { 13 * SECOND_US, 22 * SECOND_US, { 2.5, 0.5, 0.05 } },
  { 23 * SECOND_US, 32 * SECOND_US, { 0.38, 1.3, 2.8 } },
};
static const WlReplayFault crashes[] = { { 5 * SECOND_US, 9 * SECOND_US, 3, 0.0 } };
static const WlReplayFault slow[] = { { 4 * SECOND_US, 12 * SECOND_US, 3, 5.0 } };

#define PLAN .n_nodes = 12, .n_engines = 18, .length_us = 34 * SECOND_US
#define WAVES .bursts = waves, .n_bursts = sizeof waves / sizeof *waves

static const Pattern patterns[] = {
  { "steady mix", { PLAN, .scale = 1.0 } },
  { "waves of longs and shorts", { PLAN, .scale = 1.0, WAVES } },
  { "waves, three engines crash", { PLAN, .scale = 1.0, WAVES, .faults = crashes, .n_faults = 1 } },
  { "waves, three engines five times slower",
    { PLAN, .scale = 1.0, WAVES, .faults = slow, .n_faults = 1 } },
  { "waves at 1.3 times the load", { PLAN, .scale = 1.3, WAVES } },
};

static const char *const policy_names[] = { "choice", "round robin", "least load" };

static void
print_policy (const Pattern *p, WlReplayPolicy policy)
{
  double worth = 0.0;
  double served = 0.0;
  double kinds[WL_REPLAY_KINDS] = { 0 };
  double largest = 0.0;
  double held = 0.0;
  double p50 = 0.0;
  double p95 = 0.0;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      WlReplayPlan plan = p->plan;
      plan.policy = policy;
      plan.seed = seed;
      WlReplayResult r = wl_replay_run (&plan);
      const WlReplayCounts *t = &r.tenths[WL_REPLAY_TENTHS - 1];
      worth += wl_replay_worth (&r) / SEEDS;
      served += wl_replay_served (&r) / SEEDS;
      for (uint32_t i = 0; i < WL_REPLAY_KINDS; i++)
        {
          kinds[i] += r.kinds[i].earned / r.kinds[i].worth / SEEDS;
          held += r.kinds[i].held / SEEDS;
        }
      largest += t->worth > 0.0 ? t->earned / t->worth / SEEDS : 0.0;
      p50 += r.late_p50 / SEEDS;
      p95 += r.late_p95 / SEEDS;
    }
  printf ("  %-12s %6.3f %7.4f   %6.3f %6.3f %6.3f %8.3f %7.1f %6.2f %6.2f\n", policy_names[policy],
          worth, served, kinds[0], kinds[1], kinds[2], largest, held, p50, p95);
}

int
main (int argc, char **argv)
{
  int is_choice_only = argc > 1 && strcmp (argv[1], "--choice") == 0;
  apr_initialize ();
  printf ("%-14s %6s %7s   %6s %6s %6s %8s %7s %6s %6s\n", "policy", "worth", "served", "short",
          "middle", "long", "largest", "held", "p50", "p95");
  for (size_t i = 0; i < sizeof patterns / sizeof *patterns; i++)
    {
      printf ("%s\n", patterns[i].name);
      for (int policy = 0; policy < (is_choice_only ? 1 : 3); policy++)
        print_policy (&patterns[i], (WlReplayPolicy)policy);
    }
  apr_terminate ();
  return 0;
}
