#ifndef WL_SOAK_OPERATOR_H
#define WL_SOAK_OPERATOR_H

#include "wl_soak.h"

/*
 * The operator: sends configurations, node by node, until one has acknowledged
 * the newest, and asks some nodes what is in force afterwards.
 */

void wl_soak_operator_open (const WlSoak *soak);

/** wl_soak_operator_tick() - goes on; call it every few ms */
void wl_soak_operator_tick (uint64_t now_us);

/** wl_soak_operator_change() - makes a new version; it changes no answer */
void wl_soak_operator_change (void);

/** wl_soak_operator_is_done() - whether the newest version is acknowledged */
int wl_soak_operator_is_done (void);

/** wl_soak_operator_report() - prints what was acknowledged and asked; returns acknowledgements */
uint32_t wl_soak_operator_report (void);

#endif
