#ifndef WL_SOAK_BUDGET_H
#define WL_SOAK_BUDGET_H

#include "wl_soak.h"
#include "wl_soak_request.h"

/* Rule BUDGET: how often requests arrive at the endpoints of a service beyond the first time. */

/** wl_soak_budget_note_arrival() - a request has arrived at an endpoint, which may refuse it */
void wl_soak_budget_note_arrival (const WlSoakRequest *r, uint64_t now_us);

/** wl_soak_budget_judge() - prints the worst window of each service; counts a broken one */
void wl_soak_budget_judge (const WlSoak *soak);

/** wl_soak_budget_clear() - frees all */
void wl_soak_budget_clear (void);

#endif
