#ifndef WL_CELL_INTERNAL_H
#define WL_CELL_INTERNAL_H

#include "wl_cell.h"

/* What wl_cell.c (scheduling, ends, time), wl_cell_holds.c and wl_cell_reports.c share. */

/** wl_cell_schedule() - starts waiting requests in tag order, skipping those that cannot start */
void wl_cell_schedule (WlCell *cell, uint64_t now_us, WlEffects *fx);

/** wl_cell_cancel_seat() - tells an endpoint to free an attempt */
void wl_cell_cancel_seat (const WlCell *cell, const WlSeatUse *seat, uint64_t request,
                          uint32_t attempt, WlEffects *fx);

/** wl_cell_end_and_cancel() - ends a grant and cancels it at its endpoints */
void wl_cell_end_and_cancel (WlCell *cell, WlGrantRecord *g, uint64_t now_us, WlEffects *fx);

/** wl_cell_apply_note() - processes progress or the end of an attempt */
void wl_cell_apply_note (WlCell *cell, const WlNote *n, uint64_t now_us, WlEffects *fx);

/** wl_cell_get_holder() - finds or creates the record of an entry */
WlHolder *wl_cell_get_holder (WlCell *cell, uint32_t node, uint64_t now_us);

/** wl_cell_end_all_grants() - ends and cancels all grants of an entry */
void wl_cell_end_all_grants (WlCell *cell, uint32_t node, uint64_t now_us, WlEffects *fx);

/** wl_cell_remove_waiting_of() - drops the waiting requests of an entry */
void wl_cell_remove_waiting_of (WlCell *cell, uint32_t node);

#endif
