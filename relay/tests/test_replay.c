#include <apr_general.h>
#include "wl_replay.h"
#include "wl_replay_engine.h"
#include "wl_sample_engine.h"
#include "wl_test.h"

/*
 * The engine model in simulated time, and the placement of the users' mix of
 * requests under bursts: nine seconds of long prompts at about three times their
 * rate, nine seconds of short ones at two and a half times theirs, and long
 * prompts again. Guards against a placement that serves one size of
 * prompts at the cost of another, or worse than simple baselines.
 */

static const WlReplayBurst mixed_bursts[] = {
  { 2000000, 11000000, { 0.32, 1.3, 2.8 } },
  { 13000000, 22000000, { 2.5, 0.5, 0.05 } },
  { 23000000, 32000000, { 0.38, 1.3, 2.8 } },
};

static WlReplayResult
replay (WlReplayPolicy policy, const WlReplayFault *fault)
{
  WlReplayPlan plan = {
    .policy = policy,
    .seed = 11,
    .n_nodes = 12,
    .n_engines = 18,
    .scale = 1.0,
    .length_us = 34000000,
    .bursts = mixed_bursts,
    .n_bursts = sizeof mixed_bursts / sizeof *mixed_bursts,
    .faults = fault,
    .n_faults = fault != NULL,
  };
  return wl_replay_run (&plan);
}

static double
share_served (const WlReplayCounts *c)
{
  return (double)(c->in_time + c->late) / c->asked;
}

START_TEST (a_single_prompt_takes_the_time_of_the_engine_model)
{
  static WlReplayEngine e;
  const WlEngineModel *m = &wl_sample_engines.engine;
  WlReplayOutcome out[WL_REPLAY_WORK_MAX];
  uint64_t read_us = wl_forecast_prefill_us (m, 100000);
  uint64_t at_us = 0;
  uint32_t n = 0;
  e = (WlReplayEngine){ .model = m, .pace = 1.0 };
  WlReplayWork work = { .tokens = 100000, .read_us = (double)read_us, .left = 1.0, .output = 10 };
  work.memory = 100010;
  ck_assert_int_eq (wl_replay_engine_add (&e, &work), 1);
  while (n == 0)
    {
      at_us += wl_replay_engine_begin (&e);
      n = wl_replay_engine_end (&e, out);
    }
  ck_assert_int_eq (out[0].result, WL_REPLAY_EVENT);
  /* Each chunk of 2,048 tokens adds the time of one step. */
  uint64_t steps_us = (100000 / m->chunk_tokens + 1) * wl_forecast_step_us (m, 0, 0);
  ck_assert_uint_ge (at_us, read_us + steps_us - 1000);
  ck_assert_uint_le (at_us, read_us + steps_us + 1000);
}
END_TEST

START_TEST (parts_of_split_prompts_are_prefilled_before_whole_prompts)
{
  static WlReplayEngine e;
  WlReplayOutcome out[WL_REPLAY_WORK_MAX];
  e = (WlReplayEngine){ .model = &wl_sample_engines.engine, .pace = 1.0 };
  WlReplayWork whole = { .request = 1, .tokens = 2048, .read_us = 10000, .left = 1.0, .output = 9 };
  WlReplayWork part = { .request = 2, .is_part = 1, .tokens = 2048, .read_us = 10000, .left = 1.0 };
  wl_replay_engine_add (&e, &whole);
  wl_replay_engine_add (&e, &part);
  ck_assert_uint_gt (wl_replay_engine_begin (&e), 0);
  ck_assert_uint_eq (wl_replay_engine_end (&e, out), 1);
  ck_assert_uint_eq (out[0].request, 2);
  ck_assert_int_eq (out[0].result, WL_REPLAY_PART_READ);
}
END_TEST

/* Acceptance bound: the largest tenth is served at least half as often as all long requests. */
START_TEST (placement_earns_more_than_the_baselines_and_starves_no_prompt_size)
{
  WlReplayResult choice = replay (WL_REPLAY_CHOICE, NULL);
  WlReplayResult turns = replay (WL_REPLAY_ROUND_ROBIN, NULL);
  WlReplayResult least = replay (WL_REPLAY_LEAST_LOAD, NULL);
  ck_assert (wl_replay_worth (&choice) > wl_replay_worth (&turns));
  ck_assert (wl_replay_worth (&choice) > wl_replay_worth (&least));
  double all = share_served (&choice.kinds[WL_REPLAY_KINDS - 1]);
  ck_assert (share_served (&choice.tenths[WL_REPLAY_TENTHS - 1]) >= all / 2);
  ck_assert (share_served (&choice.tenths[WL_REPLAY_TENTHS - 2]) >= all / 2);
}
END_TEST

START_TEST (a_replay_is_reproducible_from_its_seed)
{
  static const WlReplayFault crash = { 5000000, 9000000, 3, 0.0 };
  WlReplayResult a = replay (WL_REPLAY_CHOICE, &crash);
  WlReplayResult b = replay (WL_REPLAY_CHOICE, &crash);
  ck_assert_mem_eq (&a, &b, sizeof a);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_single_prompt_takes_the_time_of_the_engine_model),
    WL_TEST (parts_of_split_prompts_are_prefilled_before_whole_prompts),
    WL_TEST (placement_earns_more_than_the_baselines_and_starves_no_prompt_size),
    WL_TEST (a_replay_is_reproducible_from_its_seed),
  };
  apr_initialize ();
  return wl_test_run ("replay", tests, sizeof tests / sizeof tests[0]);
}
