#include "wl_budget.h"

/* Shares of a node's part of the slack. A window may see a full bucket and one refill. */
static const double REFILL_SHARE = 0.4; /* refilled in a window */
static const double BURST_SHARE = 0.6;  /* held at most */

void
wl_budget_earn (WlBudget *budget)
{
  budget->tokens += budget->ratio / 2.0;
}

int
wl_budget_spend (WlBudget *budget, uint32_t n_nodes, uint64_t now_us)
{
  double part = budget->slack / (n_nodes > 0 ? n_nodes : 1);
  double refill = REFILL_SHARE * part;
  double most = BURST_SHARE * part > 1.0 ? BURST_SHARE * part : 1.0;
  double elapsed = (double)(now_us - budget->filled_us);
  if (budget->filled_us == 0)
    budget->tokens = refill;
  else
    budget->tokens += refill * elapsed / (double)budget->window_us;
  budget->filled_us = now_us;
  if (budget->tokens > most)
    budget->tokens = most;
  if (budget->tokens < 1.0)
    return 0;
  budget->tokens -= 1.0;
  return 1;
}
