#ifndef WL_ORDERS_H
#define WL_ORDERS_H

#include "wl_cell.h"

/*
 * Orders controller of a cell: compares the models that each endpoint has
 * loaded with those that the services text asks for, and orders what is
 * missing, paced by the weight store's rate. Orders carry the cell's fencing
 * number. Some endpoints do not check it: an owner therefore issues no order
 * before WL_CELL_STRAY_US after it opened the cell, by which time orders of
 * the previous owner have arrived, and none without a valid lease.
 */

/**
 * wl_orders_observe() - updates an endpoint's readiness from its report
 * @cell: the cell
 * @endpoint: the endpoint
 * @report: its report
 */
void wl_orders_observe (const WlCell *cell, WlEndpoint *endpoint, const WlEndpointReport *report);

/**
 * wl_orders_tick() - issues orders that are due
 * @cell: the cell
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_orders_tick (WlCell *cell, uint64_t now_us, WlEffects *fx);

/**
 * wl_orders_end() - processes an endpoint's answer to an order
 * @cell: the cell
 * @end: endpoint and answer
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_orders_end (WlCell *cell, const WlOrderEndEvent *end, uint64_t now_us, WlEffects *fx);

#endif
