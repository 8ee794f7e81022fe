#include "wl_budget.h"
#include "wl_test.h"

/* The retry budget of a service, divided among nodes: retries must not multiply an overload. */

START_TEST (retries_of_all_nodes_stay_within_the_slack_in_any_window)
{
  const uint32_t n_nodes = 12;
  const uint64_t window_us = 10000000;
  uint32_t sent_at[4000] = { 0 };
  uint32_t n = 0;
  WlBudget budgets[12];
  for (uint32_t i = 0; i < n_nodes; i++)
    budgets[i] = (WlBudget){ .ratio = 0.2, .slack = 112, .window_us = window_us };
  for (uint32_t ms = 1; ms <= 40000; ms += 10)
    for (uint32_t i = 0; i < n_nodes; i++)
      if (wl_budget_spend (&budgets[i], n_nodes, (uint64_t)ms * 1000) && n < 4000)
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
  for (uint32_t i = 0; i < n_nodes; i++)
    {
      budgets[i] = (WlBudget){ .ratio = 0.2, .slack = 112, .window_us = window_us };
      wl_budget_spend (&budgets[i], n_nodes, 1);
    }
  for (uint64_t t_us = idle_us; t_us < idle_us + window_us; t_us += 10000)
    for (uint32_t i = 0; i < n_nodes; i++)
      n += (uint32_t)wl_budget_spend (&budgets[i], n_nodes, t_us);
  ck_assert_uint_gt (n, 0);
  ck_assert_uint_le (n, 112);
}
END_TEST

START_TEST (requests_earn_retries)
{
  WlBudget b = { .ratio = 0.2, .slack = 12, .window_us = 10000000 };
  while (wl_budget_spend (&b, 12, 1000))
    ;
  ck_assert (!wl_budget_spend (&b, 12, 1000));
  for (int i = 0; i < 10; i++)
    wl_budget_earn (&b);
  ck_assert (wl_budget_spend (&b, 12, 1000));
  ck_assert (!wl_budget_spend (&b, 12, 1000));
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (retries_of_all_nodes_stay_within_the_slack_in_any_window),
    WL_TEST (retries_after_an_idle_time_stay_within_the_slack),
    WL_TEST (requests_earn_retries),
  };
  return wl_test_run ("budget", tests, sizeof tests / sizeof tests[0]);
}
