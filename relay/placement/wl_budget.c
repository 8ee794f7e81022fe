#include "wl_budget.h"

static const double SLACK_SHARE
    = 0.4; /* of a node's part of the slack: a window may see a full bucket and its refill */

void
wl_budget_earn (WlBudget *budget)
{
  budget->tokens += budget->ratio / 2.0;
}

int
wl_budget_spend (WlBudget *budget, uint32_t n_nodes, uint64_t now_us)
{
  double share = SLACK_SHARE * budget->slack / (n_nodes > 0 ? n_nodes : 1);
  double elapsed = (double)(now_us - budget->filled_us);
  if (budget->filled_us == 0)
    budget->tokens = share;
  else
    budget->tokens += share * elapsed / (double)budget->window_us;
  budget->filled_us = now_us;
  if (budget->tokens > 2.0 * share + 1.0)
    budget->tokens = 2.0 * share + 1.0;
  if (budget->tokens < 1.0)
    return 0;
  budget->tokens -= 1.0;
  return 1;
}
