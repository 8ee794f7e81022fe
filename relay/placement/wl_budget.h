#ifndef WL_BUDGET_H
#define WL_BUDGET_H

#include <stdint.h>

/**
 * struct WlBudget - one node's share of a service's retry budget
 * @ratio: retries allowed for each request; half of it is earned with the first attempt
 * @slack: retries of all nodes in a window, beyond those earned
 * @window_us: length of the window
 * @tokens: retries that may be sent now
 * @filled_us: time of the latest refill
 *
 * A token bucket. In any window all nodes together send at most ratio x requests +
 * slack retries: what a full bucket holds and what a window refills add up to the
 * node's part of the slack. Only where that part is below 1.7 a bucket holds more,
 * since it must hold one token.
 */
typedef struct
{
  double ratio;
  double slack;
  uint64_t window_us;
  double tokens;
  uint64_t filled_us;
} WlBudget;

/** wl_budget_earn() - counts the first attempt of a request */
void wl_budget_earn (WlBudget *budget);

/**
 * wl_budget_spend() - takes one token for a retry
 * @budget: the budget
 * @n_nodes: nodes that share the slack
 * @now_us: monotonic time
 *
 * Return: 1 when the retry may be sent, 0 when the budget is used up.
 */
int wl_budget_spend (WlBudget *budget, uint32_t n_nodes, uint64_t now_us);

#endif
