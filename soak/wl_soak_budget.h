#ifndef WL_SOAK_BUDGET_H
#define WL_SOAK_BUDGET_H

#include "wl_soak.h"
#include "wl_soak_request.h"

/* Rule BUDGET: arrivals at endpoints beyond the first of each request, by service. */

/** wl_soak_budget_note_arrival() - notes an arrival, also one that named another endpoint */
void wl_soak_budget_note_arrival (WlSoakRequest *r, uint64_t now_us);

/** wl_soak_budget_judge() - judges the arrivals, prints the most in a window */
void wl_soak_budget_judge (const WlSoak *soak);

#endif
