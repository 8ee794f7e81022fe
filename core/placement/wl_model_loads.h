#ifndef WL_MODEL_LOADS_H
#define WL_MODEL_LOADS_H

#include "wl_cell.h"

/*
 * Has the endpoints of a cell load the models that the configuration names.
 * An order instructs an endpoint to load one model version; a token bucket limits
 * orders to the rate that the weight store can serve. Each order carries the
 * cell's fencing token, and none is issued without a valid lease. Endpoints of
 * some services do not check the token and would obey a delayed order of the
 * previous owner, so there an owner issues no order before
 * WL_CELL_ORPHAN_GRACE_US after it opened the cell, by which time such orders
 * have arrived.
 */

/**
 * wl_model_loads_observe() - updates from a report which model an endpoint lacks
 * @cell: the cell
 * @endpoint: the endpoint
 * @report: its report
 */
void wl_model_loads_observe (const WlCell *cell, WlEndpoint *endpoint,
                             const WlEndpointReport *report);

/**
 * wl_model_loads_tick() - issues orders that are due
 * @cell: the cell
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_model_loads_tick (WlCell *cell, uint64_t now_us, WlEffects *fx);

/**
 * wl_model_loads_end() - processes an endpoint's answer to an order; a refused one is retried
 * @cell: the cell
 * @end: endpoint and answer
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_model_loads_end (WlCell *cell, const WlModelLoadEndEvent *end, uint64_t now_us,
                         WlEffects *fx);

#endif
