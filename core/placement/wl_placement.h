#ifndef WL_PLACEMENT_H
#define WL_PLACEMENT_H

#include "wl_cell.h"

/* Choice of endpoints for one waiting request, from the cell's accounts. */

/**
 * struct WlChoice - endpoints chosen for a request
 * @endpoints: endpoints, the streaming one first, @n of them
 * @kv_tokens: memory reserved on each
 * @cached_tokens: prompt tokens expected in the first endpoint's cache
 * @priority: engine priority, 0 is the highest
 */
typedef struct
{
  WlEndpoint *endpoints[WL_GANG_MAX];
  uint32_t n;
  uint64_t kv_tokens;
  uint64_t cached_tokens;
  uint32_t priority;
  uint8_t is_long;
} WlChoice;

/**
 * wl_placement_choose() - chooses endpoints that can start the request now
 * @cell: the cell
 * @waiting: the request
 * @now_us: monotonic time
 * @out: receives the choice
 *
 * Return: 1 when the request can start, otherwise 0.
 */
int wl_placement_choose (WlCell *cell, const WlWaiting *waiting, uint64_t now_us, WlChoice *out);

/**
 * wl_placement_reserve() - keeps the endpoints that will first have enough memory
 * @cell: the cell without a reservation
 * @waiting: the request that cannot start now
 * @now_us: monotonic time
 *
 * Work that would end after the estimated start is not placed on these
 * endpoints unless it leaves enough memory (conservative backfill). Only one
 * request holds a reservation at a time, so two long ones cannot each hold
 * half of what they need.
 *
 * Return: 1 when a reservation was made, otherwise 0.
 */
int wl_placement_reserve (WlCell *cell, const WlWaiting *waiting, uint64_t now_us);

/**
 * wl_placement_seats_needed() - number of endpoints that a request needs
 * @cell: the cell
 * @place: the request
 *
 * Return: the number, 0 when the whole cell is too small for it.
 */
uint32_t wl_placement_seats_needed (const WlCell *cell, const WlPlace *place);

/**
 * wl_placement_usable() - tells whether an endpoint may get new work
 * @cell: the cell
 * @endpoint: the endpoint
 * @now_us: monotonic time
 *
 * Return: 1 or 0.
 */
int wl_placement_usable (const WlCell *cell, const WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_placement_remember() - notes that an endpoint has computed a prompt
 * @endpoint: the endpoint
 * @marks: prefixes of the prompt
 * @n: number of prefixes
 */
void wl_placement_remember (WlEndpoint *endpoint, const WlPrefixMark *marks, uint32_t n);

/**
 * wl_placement_forget() - notes that an endpoint has evicted prefixes
 * @endpoint: the endpoint
 * @marks: the prefixes
 * @n: number of prefixes
 */
void wl_placement_forget (WlEndpoint *endpoint, const WlPrefixMark *marks, uint32_t n);

#endif
