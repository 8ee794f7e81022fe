#ifndef WL_ASSIGN_H
#define WL_ASSIGN_H

#include "wl_control.h"

/* Assignment of cells to entries, and removal of silent members, by the leader. */

/**
 * wl_assign_cells() - gives cells without a valid owner to live entries
 * @control: the leader
 * @event: gives the times
 * @fx: receives the effects
 */
void wl_assign_cells (WlControl *control, const WlEvent *event, WlEffects *fx);

/**
 * wl_assign_remove_silent() - removes members that have been silent for long
 * @control: the leader
 * @event: gives the times
 * @fx: receives the effects
 */
void wl_assign_remove_silent (WlControl *control, const WlEvent *event, WlEffects *fx);

#endif
