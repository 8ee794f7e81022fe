#include "wl_budget.h"

/* Shares of a node's part of the slack. A window may see a full bucket and one refill. */
static const double REFILL_SHARE = 0.4; /* refilled in a window */
static const double BURST_SHARE = 0.6;  /* held at most */

void
wl_budget_nodes_note (WlBudgetNodes *nodes, uint32_t n_nodes, uint64_t now_us)
{
  if (nodes->known_us == 0)
    {
      nodes->known_us = now_us;
      nodes->period_us = now_us;
    }
  if (now_us >= nodes->period_us + WL_BUDGET_HELD_US)
    {
      nodes->most_before = nodes->most;
      nodes->most = 0;
      nodes->period_us = now_us;
    }
  if (n_nodes > nodes->most)
    nodes->most = n_nodes;
}

/* The node's part of the slack, 0 while the fleet is not known. */
static double
part_of_slack (const WlBudget *budget, const WlBudgetNodes *nodes)
{
  uint32_t n = nodes->most > nodes->most_before ? nodes->most : nodes->most_before;
  return n > 0 ? budget->slack / n : 0;
}

static void
refill (WlBudget *budget, const WlBudgetNodes *nodes, uint64_t now_us)
{
  double part = part_of_slack (budget, nodes);
  double most = BURST_SHARE * part > 1.0 ? BURST_SHARE * part : 1.0;
  uint64_t from_us = budget->filled_us > nodes->known_us ? budget->filled_us : nodes->known_us;
  if (now_us > from_us)
    budget->tokens += REFILL_SHARE * part * (double)(now_us - from_us) / (double)budget->window_us;
  if (budget->tokens > most)
    budget->tokens = most;
  budget->filled_us = now_us;
}

void
wl_budget_earn (WlBudget *budget)
{
  budget->tokens += budget->ratio / 2.0;
}

int
wl_budget_spend (WlBudget *budget, const WlBudgetNodes *nodes, uint64_t now_us)
{
  refill (budget, nodes, now_us);
  if (budget->tokens < 1.0)
    return 0;
  budget->tokens -= 1.0;
  return 1;
}
