#ifndef WL_BUDGET_H
#define WL_BUDGET_H

#include <stdint.h>

enum
{
  WL_BUDGET_HELD_US = 300000000, /* a larger number of nodes counts at least so long */
};

/**
 * struct WlBudgetNodes - the nodes among which a node takes the slack to be divided
 * @known_us: since when this node knows its fleet, 0 while it does not
 * @period_us: when the current period of WL_BUDGET_HELD_US began
 * @most: largest number in the current period
 * @most_before: largest number in the period before it
 */
typedef struct
{
  uint64_t known_us;
  uint64_t period_us;
  uint32_t most;
  uint32_t most_before;
} WlBudgetNodes;

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
 * since it must hold one token. It is empty when the process starts and fills from
 * @known_us of the nodes on, so that a restart gives no tokens.
 */
typedef struct
{
  double ratio;
  double slack;
  uint64_t window_us;
  double tokens;
  uint64_t filled_us;
} WlBudget;

/**
 * wl_budget_nodes_note() - records how many nodes share the slack
 * @nodes: all 0 at first; from the first call on the fleet counts as known
 * @n_nodes: known nodes, alive or not, this one included
 * @now_us: monotonic time
 *
 * A node that is cut off still takes its fleet to be as large as it was.
 */
void wl_budget_nodes_note (WlBudgetNodes *nodes, uint32_t n_nodes, uint64_t now_us);

/** wl_budget_earn() - counts the first attempt of a request */
void wl_budget_earn (WlBudget *budget);

/**
 * wl_budget_spend() - takes one token for a retry
 * @budget: the budget
 * @nodes: nodes that share the slack; while they are not known, requests alone earn tokens
 * @now_us: monotonic time
 *
 * Return: 1 when the retry may be sent, 0 when the budget is used up.
 */
int wl_budget_spend (WlBudget *budget, const WlBudgetNodes *nodes, uint64_t now_us);

#endif
