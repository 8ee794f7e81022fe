#ifndef WL_CELL_INTERNAL_H
#define WL_CELL_INTERNAL_H

#include "wl_cell.h"

/* Functions shared by wl_cell.c, wl_cell_renewals.c and wl_cell_reports.c. */

/** wl_cell_schedule() - starts queued requests by start tag, skipping those that cannot start */
void wl_cell_schedule (WlCell *cell, uint64_t now_us, WlEffects *fx);

/** wl_cell_cancel_attempt() - asks the endpoint of an allocation to stop and free an attempt */
void wl_cell_cancel_attempt (const WlCell *cell, const WlAllocation *allocation, uint64_t request,
                             uint32_t attempt, WlEffects *fx);

/** wl_cell_end_and_cancel() - ends a grant and cancels it at its endpoints */
void wl_cell_end_and_cancel (WlCell *cell, WlGrantRecord *g, uint64_t now_us, WlEffects *fx);

/** wl_cell_apply_update() - processes an entry's report of an attempt's first token or end */
void wl_cell_apply_update (WlCell *cell, const WlAttemptUpdate *update, uint64_t now_us,
                           WlEffects *fx);

/** wl_cell_weigh_prefixes() - an endpoint has reported cached prefixes: hints are weighed now */
void wl_cell_weigh_prefixes (WlCell *cell, const WlEndpoint *endpoint, WlEffects *fx);

/** wl_cell_get_holder() - finds or creates the record of an entry */
WlHolder *wl_cell_get_holder (WlCell *cell, uint32_t node, uint64_t now_us);

/** wl_cell_end_all_grants() - ends and cancels all grants of an entry */
void wl_cell_end_all_grants (WlCell *cell, uint32_t node, uint64_t now_us, WlEffects *fx);

/** wl_cell_remove_queued_of() - drops the queued requests of an entry */
void wl_cell_remove_queued_of (WlCell *cell, uint32_t node);

#endif
