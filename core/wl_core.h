#ifndef WL_CORE_H
#define WL_CORE_H

#include "wl_cell.h"
#include "wl_control.h"
#include "wl_entry.h"
#include "wl_session.h"

/**
 * struct WlCore - the state of one node
 * @settings: settings of the node
 * @control: control replica, or NULL when the node is none
 * @session: this node's lease, configuration and directory from the control group
 * @entry: the entry
 * @cells: list of the cells that this node owns
 * @applied_session_generation: WlSession.generation that the cells were last updated to
 * @stopping: a graceful stop is under way
 * @stop_us: time at which it began
 * @handover_us: time at which the last request had ended and the stop hands over what remains
 * @stopped: it is complete
 */
struct WlCore
{
  WlSettings settings;
  WlControl *control;
  WlSession session;
  WlEntry *entry;
  WlCell *cells;
  uint64_t applied_session_generation;
  uint8_t stopping;
  uint64_t stop_us;
  uint64_t handover_us;
  uint8_t stopped;
};

/**
 * wl_core_find_cell() - finds a cell that this node owns
 * @core: the node
 * @service: service name
 * @shard: number of the cell
 *
 * Return: the cell, or NULL.
 */
WlCell *wl_core_find_cell (const WlCore *core, const char *service, uint32_t shard);

/**
 * wl_core_has_lease() - whether the node may act as entry and as cell owner
 * @core: the node
 * @now_us: monotonic time
 *
 * Return: 1 or 0.
 */
int wl_core_has_lease (const WlCore *core, uint64_t now_us);

/**
 * wl_core_leave_group() - ends the node's role as control replica; it goes on as an entry
 * @core: the node
 *
 * For a disk that has failed: what the replica has in memory may be more than its disk holds.
 */
void wl_core_leave_group (WlCore *core);

#endif
