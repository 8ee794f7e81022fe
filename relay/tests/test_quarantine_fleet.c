#include "wl_quarantine_sim.h"

/* In a fleet a bad part must be found soon, and no other one, ever. */

enum
{
  ARRIVALS_MAX = 3, /* of requests with a bad part after the bound */
  RUN_SECONDS = 40,
  SEEDS = 4,
};

/* Fleets of one node and of twelve whose reports are delayed and partly lost. */
static WlQuarantineSimPlan
plan_of (int is_large)
{
  return (WlQuarantineSimPlan){ .n_nodes = is_large ? WL_QUARANTINE_SIM_NODES_MAX : 1,
                                .sound_rate = 25,
                                .bad_rate = 5,
                                .n_bad_parts = 1,
                                .delay_us = is_large ? 20000 : 0,
                                .loss = is_large ? 10 : 0,
                                .bad_from_us = 8 * SECOND_US };
}

/* Runs a fleet with bad parts and checks that these are refused in time, and no others. */
static void
check_bad_parts (const WlQuarantineSimPlan *plan, uint64_t seed)
{
  WlQuarantineSim *sim = wl_quarantine_sim_create (plan, seed);
  while (sim->now_us < start_us + RUN_SECONDS * SECOND_US)
    {
      wl_quarantine_sim_step (sim);
      for (uint64_t i = 0; i < plan->n_bad_parts; i++)
        if (sim->bad_parts[i].n_ends >= WL_QUARANTINE_SIM_ENDS
            && sim->now_us >= sim->bad_parts[i].bound_us)
          for (uint32_t k = 0; k < plan->n_nodes; k++)
            ck_assert_msg (refuses (sim->nodes[k], BAD + i, 1, sim->now_us), "seed %d node %u",
                           (int)seed, k);
    }
  ck_assert_uint_eq (sim->n_wrong, 0);
  ck_assert_uint_gt (sim->n_refused, 0);
  for (uint32_t i = 0; i < plan->n_bad_parts; i++)
    {
      for (uint32_t k = 0; k < plan->n_nodes; k++)
        {
          WlQuarantineAnswer answer = check (sim->nodes[k], BAD + i, 1, 0, sim->now_us);
          ck_assert_int_eq (answer.verdict, WL_QUARANTINE_REFUSE);
          ck_assert_uint_ge (answer.n_ends, WL_QUARANTINE_ENDPOINTS);
        }
      ck_assert_uint_le (sim->bad_parts[i].n_late, ARRIVALS_MAX);
    }
  wl_quarantine_sim_destroy (sim);
}

/* Guards against engines that end by one part until none is left. */
START_TEST (a_bad_part_is_refused_within_3_s_of_the_fifth_end_and_no_other_part_ever)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSimPlan s = plan_of (is_large);
        check_bad_parts (&s, seed);
      }
}
END_TEST

/* Guards against customers' parts that are refused since requests have them and the bad one. */
START_TEST (parts_in_the_same_prompts_as_the_bad_one_are_not_refused)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSimPlan s = plan_of (is_large);
        s.bad_with_middle = 100;
        check_bad_parts (&s, seed);
      }
}
END_TEST

/* Guards against two bad parts of which one hides the other. */
START_TEST (two_bad_parts_at_once_are_refused_in_time)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSimPlan s = plan_of (is_large);
        s.n_bad_parts = 2;
        s.bad_with_middle = 50;
        check_bad_parts (&s, seed);
      }
}
END_TEST

/* Guards against a bad part that is not found while engines fail by chance as well. */
START_TEST (a_bad_part_is_found_while_endpoints_end_by_chance)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSimPlan s = plan_of (is_large);
        s.chance_us = 1 * SECOND_US;
        check_bad_parts (&s, seed);
      }
}
END_TEST

/* Guards against a part that stays refused after the engines were mended. */
START_TEST (a_mended_part_is_released_at_all_nodes_by_one_trial)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSimPlan s = plan_of (is_large);
        s.mended_us = 30 * (uint64_t)SECOND_US;
        WlQuarantineSim *sim = wl_quarantine_sim_create (&s, seed);
        wl_quarantine_sim_run (sim, 32);
        uint32_t n_ends = sim->n_ends;
        for (uint32_t i = 0; i < s.n_nodes; i++)
          ck_assert (refuses (sim->nodes[i], BAD, 1, sim->now_us));
        wl_quarantine_sim_run (sim, 90);
        for (uint32_t i = 0; i < s.n_nodes; i++)
          ck_assert_uint_eq (wl_quarantine_n_entries (sim->nodes[i]), 0);
        ck_assert_uint_eq (sim->bad_parts[0].n_trials, 1);
        ck_assert_uint_eq (sim->n_ends, n_ends);
        wl_quarantine_sim_destroy (sim);
      }
}
END_TEST

/* Guards against trials of a part that still ends engines, at the cost of one engine each time. */
START_TEST (a_part_that_is_not_mended_ends_two_endpoints_in_five_minutes)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSimPlan s = plan_of (is_large);
        WlQuarantineSim *sim = wl_quarantine_sim_create (&s, seed);
        wl_quarantine_sim_run (sim, 32);
        uint32_t n_ends = sim->n_ends;
        wl_quarantine_sim_run (sim, 300);
        ck_assert_uint_eq (sim->bad_parts[0].n_trials, 2);
        ck_assert_uint_eq (sim->n_ends, n_ends + 2);
        ck_assert_uint_eq (sim->bad_parts[0].n_late, 0);
        ck_assert_uint_eq (sim->n_wrong, 0);
        wl_quarantine_sim_destroy (sim);
      }
}
END_TEST

static uint32_t
random_endpoint (WlQuarantineSim *sim)
{
  uint32_t index;
  do
    index = (uint32_t)wl_quarantine_sim_random (sim, WL_QUARANTINE_SIM_ENDPOINTS);
  while (sim->endpoints[index].up_us > sim->now_us);
  return index;
}

/* A fleet with sound requests only, after ten seconds. */
static WlQuarantineSim *
create_sound_fleet (int is_large, uint64_t seed)
{
  WlQuarantineSimPlan s = plan_of (is_large);
  s.sound_rate = 38;
  s.bad_rate = 0;
  s.n_bad_parts = 0;
  WlQuarantineSim *sim = wl_quarantine_sim_create (&s, seed);
  wl_quarantine_sim_run (sim, 10);
  return sim;
}

/* Runs on for half a minute and checks that nothing was quarantined. */
static void
check_sound_fleet (WlQuarantineSim *sim)
{
  wl_quarantine_sim_run (sim, (sim->now_us - start_us) / SECOND_US + 30);
  ck_assert_uint_ge (sim->n_ends, WL_QUARANTINE_SIM_ENDPOINTS);
  ck_assert_uint_eq (sim->n_wrong, 0);
  ck_assert_uint_eq (sim->n_refused, 0);
  for (uint32_t i = 0; i < sim->plan.n_nodes; i++)
    ck_assert_uint_eq (wl_quarantine_n_entries (sim->nodes[i]), 0);
  wl_quarantine_sim_destroy (sim);
}

/* Guards against parts that are refused since a failure domain lost power. */
START_TEST (endpoints_that_end_at_once_quarantine_nothing)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSim *sim = create_sound_fleet (is_large, seed);
        for (uint32_t i = 0; i < WL_QUARANTINE_SIM_ENDPOINTS; i++)
          wl_quarantine_sim_end (sim, i);
        check_sound_fleet (sim);
      }
}
END_TEST

/* Guards against parts that are refused since engines fail by themselves. */
START_TEST (twenty_ends_in_ten_seconds_at_random_quarantine_nothing)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSim *sim = create_sound_fleet (is_large, seed);
        for (int i = 0; i < 20; i++)
          {
            uint64_t next_us = sim->now_us + wl_quarantine_sim_random (sim, SECOND_US);
            wl_quarantine_sim_end (sim, random_endpoint (sim));
            while (sim->now_us < next_us)
              wl_quarantine_sim_step (sim);
          }
        check_sound_fleet (sim);
      }
}
END_TEST

/* Guards against parts that are refused since engines are replaced by a new release. */
START_TEST (a_rolling_release_quarantines_nothing)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int is_large = 0; is_large < 2; is_large++)
      {
        WlQuarantineSim *sim = create_sound_fleet (is_large, seed);
        for (uint32_t i = 0; i < WL_QUARANTINE_SIM_ENDPOINTS; i++)
          {
            wl_quarantine_sim_end (sim, i);
            wl_quarantine_sim_run (sim, 12 + 2 * (uint64_t)i);
          }
        check_sound_fleet (sim);
      }
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_bad_part_is_refused_within_3_s_of_the_fifth_end_and_no_other_part_ever),
    WL_TEST (parts_in_the_same_prompts_as_the_bad_one_are_not_refused),
    WL_TEST (two_bad_parts_at_once_are_refused_in_time),
    WL_TEST (a_bad_part_is_found_while_endpoints_end_by_chance),
    WL_TEST (a_mended_part_is_released_at_all_nodes_by_one_trial),
    WL_TEST (a_part_that_is_not_mended_ends_two_endpoints_in_five_minutes),
    WL_TEST (endpoints_that_end_at_once_quarantine_nothing),
    WL_TEST (twenty_ends_in_ten_seconds_at_random_quarantine_nothing),
    WL_TEST (a_rolling_release_quarantines_nothing),
  };
  return wl_test_run ("quarantine_fleet", tests, sizeof tests / sizeof tests[0]);
}
