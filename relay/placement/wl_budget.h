#ifndef WL_BUDGET_H
#define WL_BUDGET_H

#include <stdint.h>

/**
 * struct WlBudget - a node's share of the repeats that a service may get
 * @ratio: repeats earned by each request
 * @slack: repeats of all nodes in a window, beyond those earned
 * @window_us: the window
 * @tokens: repeats that may be sent now
 * @filled_us: time of the latest refill
 *
 * A token bucket that never holds more than one window earns, so that any
 * window of that length stays within ratio x requests + slack over all nodes.
 */
typedef struct
{
  double ratio;
  double slack;
  uint64_t window_us;
  double tokens;
  uint64_t filled_us;
} WlBudget;

/** wl_budget_earn() - counts a request that is sent for the first time */
void wl_budget_earn (WlBudget *budget);

/**
 * wl_budget_spend() - takes a token for a repeat
 * @budget: the budget
 * @n_nodes: nodes that share the slack
 * @now_us: monotonic time
 *
 * Return: 1 when the request may be sent again.
 */
int wl_budget_spend (WlBudget *budget, uint32_t n_nodes, uint64_t now_us);

#endif
