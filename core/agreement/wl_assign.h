#ifndef WL_ASSIGN_H
#define WL_ASSIGN_H

#include "wl_control.h"

/* Assignment of cells to entries, and removal of unresponsive members, by the leader. */

/**
 * wl_assign_cells() - assigns cells without a valid owner to entries with a lease
 * @control: the leader
 * @event: gives the times
 * @fx: receives the effects
 */
void wl_assign_cells (WlControl *control, const WlEvent *event, WlEffects *fx);

/**
 * wl_assign_remove_unresponsive() - removes a member without contact for WL_MEMBER_TIMEOUT_US
 * @control: the leader
 * @event: gives the times
 * @fx: receives the effects
 *
 * Removes at most one member per call.
 */
void wl_assign_remove_unresponsive (WlControl *control, const WlEvent *event, WlEffects *fx);

#endif
