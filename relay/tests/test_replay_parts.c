#include <stdio.h>
#include <apr_general.h>
#include "wl_replay.h"
#include "wl_test.h"

/*
 * A part on which engines end, in simulated time: the users' mix of requests, nodes with the real
 * decision modules, engines that end as they begin to write on the part and are back after 3 to
 * 5 s. Bounds are those of the users' rules.
 */

enum
{
  SEEDS = 6,
  LATE_MAX = 3, /* arrivals later than 3 s after the fifth end */
};

static WlReplayPartCounts
replay (uint64_t seed, uint32_t n_nodes, const WlReplayParts *parts)
{
  WlReplayPlan plan = {
    .policy = WL_REPLAY_CHOICE,
    .seed = seed,
    .n_nodes = n_nodes,
    .n_engines = 18,
    .scale = 1.0,
    .length_us = 30000000,
    .parts = parts,
  };
  WlReplayPartCounts c = wl_replay_run (&plan).parts;
  printf ("seed=%u nodes=%u ends=%u arrivals=%u late=%u sound_refused=%u before=%.2f after=%.2f\n",
          (unsigned)seed, n_nodes, c.n_ends, c.n_arrivals, c.n_late, c.n_sound_refused, c.before,
          c.after);
  fflush (stdout);
  return c;
}

static const WlReplayParts bad_part
    = { .kind = 0, .from_us = 8000000, .bad_one_in = 4, .has_quarantine = 1 };

/* Guards against a simulation in which the part does no harm. */
START_TEST (without_a_quarantine_the_part_ends_the_engines_and_the_route)
{
  WlReplayParts parts = bad_part;
  parts.has_quarantine = 0;
  WlReplayPartCounts c = replay (1, 12, &parts);
  ck_assert_uint_gt (c.n_late, LATE_MAX);
  ck_assert (c.after < c.before / 2);
}
END_TEST

/* Guards against requests with the part that reach engines although five have ended under it. */
START_TEST (no_more_than_three_requests_arrive_after_the_fifth_end)
{
  static const uint32_t n_nodes[] = { 1, 3, 12 };
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      WlReplayPartCounts c = replay (seed, n_nodes[seed % 3], &bad_part);
      ck_assert_uint_ge (c.n_ends, 3);
      ck_assert_uint_le (c.n_late, LATE_MAX);
      ck_assert_uint_eq (c.n_sound_refused, 0);
      ck_assert (c.after > c.before * 0.9);
    }
}
END_TEST

/* Guards against a sound part that is quarantined because engines end by chance under it. */
START_TEST (engines_that_end_by_chance_quarantine_nothing)
{
  static const uint64_t chance_us[] = { 1000000, 500000, 200000 };
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      WlReplayParts parts = bad_part;
      parts.bad_one_in = 0;
      parts.chance_us = chance_us[seed % 3];
      WlReplayPartCounts c = replay (seed, 12, &parts);
      ck_assert_uint_ge (c.n_ends, 15);
      ck_assert_uint_eq (c.n_sound_refused, 0);
    }
}
END_TEST

/* Guards against a part that hides behind ends by chance, and one that is blamed for them. */
START_TEST (the_part_is_found_beside_engines_that_end_by_chance)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      WlReplayParts parts = bad_part;
      parts.chance_us = 1000000;
      WlReplayPartCounts c = replay (seed, 12, &parts);
      ck_assert_uint_le (c.n_late, LATE_MAX);
      ck_assert_uint_eq (c.n_sound_refused, 0);
    }
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (without_a_quarantine_the_part_ends_the_engines_and_the_route),
    WL_TEST (no_more_than_three_requests_arrive_after_the_fifth_end),
    WL_TEST (engines_that_end_by_chance_quarantine_nothing),
    WL_TEST (the_part_is_found_beside_engines_that_end_by_chance),
  };
  return wl_test_run ("replay_parts", tests, sizeof tests / sizeof tests[0]);
}
