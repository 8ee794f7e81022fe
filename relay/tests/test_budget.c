#include <stdlib.h>
#include <string.h>
#include "wl_budget.h"
#include "wl_test.h"

/* The retry budget of a service, divided among nodes: retries must not multiply an overload. */

enum
{
  WINDOW_US = 10000000,
  STEP_US = 50000,
  NODES_MAX = 75,
  SEEDS = 3,
  ROSTER_US = 20000000, /* a lost node is known for so long */
  STATUS_US = 400000,   /* from a node's start until others hear it and it hears them */
  HEARD_US = 2000000,   /* from the first contact until a node notes its fleet */
  SENT_MAX = 20000,
};

/*
 * A fleet in which retries are wanted without end. Every node hears each node that is up and in
 * the same group, and knows the seeds.
 */
typedef struct
{
  uint32_t n_nodes;
  double slack;
  uint64_t now_us;
  uint8_t is_up[NODES_MAX];
  uint8_t group[NODES_MAX];
  uint64_t heard_us[NODES_MAX][NODES_MAX]; /* by the first of the second, 0 for never */
  uint64_t contact_us[NODES_MAX];          /* the first one, 0 before */
  uint64_t up_us[NODES_MAX];
  WlBudget budgets[NODES_MAX];
  WlBudgetNodes nodes[NODES_MAX];
  uint64_t sent_us[SENT_MAX];
  uint32_t n_sent;
} Fleet;

static void
start_node (Fleet *f, uint32_t i)
{
  f->is_up[i] = 1;
  f->contact_us[i] = 0;
  f->up_us[i] = f->now_us;
  memset (f->heard_us[i], 0, sizeof f->heard_us[i]);
  f->nodes[i] = (WlBudgetNodes){ 0 };
  f->budgets[i] = (WlBudget){ .ratio = 0.2, .slack = f->slack, .window_us = WINDOW_US };
}

static Fleet *
fleet_create (uint32_t n_nodes, double slack)
{
  Fleet *f = calloc (1, sizeof *f);
  ck_assert_ptr_nonnull (f);
  f->n_nodes = n_nodes;
  f->slack = slack;
  f->now_us = 1000000;
  return f;
}

static uint32_t
hear (Fleet *f, uint32_t i)
{
  uint32_t n = 1;
  for (uint32_t k = 0; k < f->n_nodes; k++)
    {
      if (k == i)
        continue;
      if (f->is_up[k] && f->group[k] == f->group[i] && f->now_us >= f->up_us[k] + STATUS_US
          && f->now_us >= f->up_us[i] + STATUS_US)
        f->heard_us[i][k] = f->now_us;
      if (f->heard_us[i][k] == f->now_us && f->contact_us[i] == 0)
        f->contact_us[i] = f->now_us;
      n += k < SEEDS || (f->heard_us[i][k] != 0 && f->now_us < f->heard_us[i][k] + ROSTER_US);
    }
  return n;
}

static void
fleet_run (Fleet *f, uint64_t us, int has_retries)
{
  for (uint64_t end_us = f->now_us + us; f->now_us < end_us; f->now_us += STEP_US)
    for (uint32_t i = 0; i < f->n_nodes; i++)
      {
        if (!f->is_up[i])
          continue;
        uint32_t n = hear (f, i);
        if (f->contact_us[i] != 0 && f->now_us >= f->contact_us[i] + HEARD_US)
          wl_budget_nodes_note (&f->nodes[i], n, f->now_us);
        while (has_retries && f->n_sent < SENT_MAX
               && wl_budget_spend (&f->budgets[i], &f->nodes[i], f->now_us))
          f->sent_us[f->n_sent++] = f->now_us;
      }
}

/* The most retries in a window, at any offset. */
static uint32_t
most_in_window (const Fleet *f)
{
  uint32_t most = 0;
  for (uint32_t i = 0, j = 0; i < f->n_sent; i++)
    {
      while (j < f->n_sent && f->sent_us[j] < f->sent_us[i] + WINDOW_US)
        j++;
      most = j - i > most ? j - i : most;
    }
  return most;
}

static void
fleet_start_all (Fleet *f)
{
  for (uint32_t i = 0; i < f->n_nodes; i++)
    start_node (f, i);
}

static void
check_fleet (Fleet *f)
{
  ck_assert_uint_gt (f->n_sent, 0);
  ck_assert_double_le ((double)most_in_window (f), f->slack);
  free (f);
}

static const struct
{
  uint32_t n_nodes;
  double slack;
} fleets[] = { { 12, 112 }, { 75, 226 } };

/* Guards against nodes that start together, each with the whole slack because it knows no other. */
START_TEST (retries_of_a_fleet_that_starts_stay_within_the_slack)
{
  for (size_t k = 0; k < sizeof fleets / sizeof fleets[0]; k++)
    {
      Fleet *f = fleet_create (fleets[k].n_nodes, fleets[k].slack);
      fleet_start_all (f);
      fleet_run (f, 40000000, 1);
      check_fleet (f);
    }
}
END_TEST

/* Guards against buckets that a restart fills again, of all nodes and of a third of them. */
START_TEST (retries_of_nodes_that_restart_stay_within_the_slack)
{
  for (size_t k = 0; k < 2 * sizeof fleets / sizeof fleets[0]; k++)
    {
      Fleet *f = fleet_create (fleets[k / 2].n_nodes, fleets[k / 2].slack);
      uint32_t step = k % 2 ? 3 : 1;
      fleet_start_all (f);
      fleet_run (f, 60000000, 0);
      for (uint32_t round = 0; round < 4; round++)
        {
          fleet_run (f, 3000000, 1);
          for (uint32_t i = 0; i < f->n_nodes; i += step)
            f->is_up[i] = 0;
          fleet_run (f, 1000000, 1);
          for (uint32_t i = 0; i < f->n_nodes; i += step)
            {
              start_node (f, i);
              fleet_run (f, i % 4 == 0 ? 200000 : 0, 1);
            }
        }
      fleet_run (f, 20000000, 1);
      check_fleet (f);
    }
}
END_TEST

/* Guards against nodes that are cut off and each take the whole slack. */
START_TEST (retries_of_nodes_that_are_cut_off_stay_within_the_slack)
{
  for (size_t k = 0; k < 2 * sizeof fleets / sizeof fleets[0]; k++)
    {
      Fleet *f = fleet_create (fleets[k / 2].n_nodes, fleets[k / 2].slack);
      fleet_start_all (f);
      fleet_run (f, 30000000, 0);
      for (uint32_t i = 0; i < f->n_nodes; i++)
        f->group[i] = (uint8_t)(k % 2 ? i % 3 : i);
      fleet_run (f, 60000000, 0);
      fleet_run (f, 30000000, 1);
      memset (f->group, 0, sizeof f->group);
      fleet_run (f, 20000000, 1);
      check_fleet (f);
    }
}
END_TEST

/* Guards against the shares of a smaller fleet beside those of the nodes that are added to it. */
START_TEST (retries_of_a_fleet_that_grows_stay_within_the_slack)
{
  Fleet *f = fleet_create (75, 226);
  for (uint32_t i = 0; i < 12; i++)
    start_node (f, i);
  fleet_run (f, 60000000, 0);
  for (uint32_t i = 12; i < 75; i++)
    start_node (f, i);
  fleet_run (f, 40000000, 1);
  check_fleet (f);
}
END_TEST

/* Guards against a part of the slack that stays small for ever once a fleet has shrunk. */
START_TEST (a_fleet_that_has_shrunk_divides_the_slack_again)
{
  WlBudgetNodes nodes = { 0 };
  WlBudget b = { .ratio = 0.2, .slack = 100, .window_us = WINDOW_US };
  uint32_t n = 0;
  wl_budget_nodes_note (&nodes, 100, 1);
  for (uint64_t t_us = 1; t_us < 2 * (uint64_t)WL_BUDGET_HELD_US + 1000000; t_us += 100000)
    wl_budget_nodes_note (&nodes, 1, t_us);
  while (wl_budget_spend (&b, &nodes, 3 * (uint64_t)WL_BUDGET_HELD_US))
    n++;
  ck_assert_uint_eq (n, 60);
}
END_TEST

START_TEST (retries_of_all_nodes_stay_within_the_slack_in_any_window)
{
  const uint32_t n_nodes = 12;
  const uint64_t window_us = 10000000;
  uint32_t sent_at[4000] = { 0 };
  uint32_t n = 0;
  WlBudget budgets[12];
  WlBudgetNodes nodes = { 0 };
  wl_budget_nodes_note (&nodes, n_nodes, 1);
  for (uint32_t i = 0; i < n_nodes; i++)
    budgets[i] = (WlBudget){ .ratio = 0.2, .slack = 112, .window_us = window_us };
  for (uint32_t ms = 1; ms <= 40000; ms += 10)
    for (uint32_t i = 0; i < n_nodes; i++)
      if (wl_budget_spend (&budgets[i], &nodes, (uint64_t)ms * 1000) && n < 4000)
        sent_at[n++] = ms;
  ck_assert_uint_gt (n, 0);
  for (uint32_t i = 0; i < n; i++)
    {
      uint32_t j = i;
      while (j < n && sent_at[j] < sent_at[i] + 10000)
        j++;
      ck_assert_uint_le (j - i, 112);
    }
}
END_TEST

/* Guards against a bucket that has filled up while idle and refills while it is emptied. */
START_TEST (retries_after_an_idle_time_stay_within_the_slack)
{
  const uint32_t n_nodes = 12;
  const uint64_t window_us = 10000000;
  const uint64_t idle_us = 100000000;
  uint32_t n = 0;
  WlBudget budgets[12];
  WlBudgetNodes nodes = { 0 };
  wl_budget_nodes_note (&nodes, n_nodes, 1);
  for (uint32_t i = 0; i < n_nodes; i++)
    {
      budgets[i] = (WlBudget){ .ratio = 0.2, .slack = 112, .window_us = window_us };
      wl_budget_spend (&budgets[i], &nodes, 1);
    }
  for (uint64_t t_us = idle_us; t_us < idle_us + window_us; t_us += 10000)
    for (uint32_t i = 0; i < n_nodes; i++)
      n += (uint32_t)wl_budget_spend (&budgets[i], &nodes, t_us);
  ck_assert_uint_gt (n, 0);
  ck_assert_uint_le (n, 112);
}
END_TEST

START_TEST (requests_earn_retries)
{
  WlBudgetNodes nodes = { 0 };
  WlBudget b = { .ratio = 0.2, .slack = 12, .window_us = 10000000 };
  wl_budget_nodes_note (&nodes, 12, 1);
  while (wl_budget_spend (&b, &nodes, 1000))
    ;
  ck_assert (!wl_budget_spend (&b, &nodes, 1000));
  for (int i = 0; i < 10; i++)
    wl_budget_earn (&b);
  ck_assert (wl_budget_spend (&b, &nodes, 1000));
  ck_assert (!wl_budget_spend (&b, &nodes, 1000));
}
END_TEST

/* Guards against a node that refuses every retry until it has heard another one. */
START_TEST (requests_earn_retries_before_the_fleet_is_known)
{
  WlBudgetNodes nodes = { 0 };
  WlBudget b = { .ratio = 0.2, .slack = 12, .window_us = 10000000 };
  ck_assert (!wl_budget_spend (&b, &nodes, 60000000));
  for (int i = 0; i < 11; i++)
    wl_budget_earn (&b);
  ck_assert (wl_budget_spend (&b, &nodes, 60000000));
  ck_assert (!wl_budget_spend (&b, &nodes, 120000000));
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (retries_of_a_fleet_that_starts_stay_within_the_slack),
    WL_TEST (retries_of_nodes_that_restart_stay_within_the_slack),
    WL_TEST (retries_of_nodes_that_are_cut_off_stay_within_the_slack),
    WL_TEST (retries_of_a_fleet_that_grows_stay_within_the_slack),
    WL_TEST (a_fleet_that_has_shrunk_divides_the_slack_again),
    WL_TEST (retries_of_all_nodes_stay_within_the_slack_in_any_window),
    WL_TEST (retries_after_an_idle_time_stay_within_the_slack),
    WL_TEST (requests_earn_retries),
    WL_TEST (requests_earn_retries_before_the_fleet_is_known),
  };
  return wl_test_run ("budget", tests, sizeof tests / sizeof tests[0]);
}
