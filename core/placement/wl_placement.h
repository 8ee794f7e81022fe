#ifndef WL_PLACEMENT_H
#define WL_PLACEMENT_H

#include "wl_cell.h"

/* Chooses endpoints for a queued request, from the cell's accounts. */

/**
 * struct WlPlacementChoice - endpoints chosen for a request
 * @endpoints: the @n endpoints; the first one streams the output
 * @kv_tokens: KV cache to reserve on each
 * @cached_tokens: prompt tokens expected in the first endpoint's cache
 * @likely_tokens: see WlPrefixMatch
 * @wait_us: predicted time to first token; 0 for a gang and for baseline policies
 * @is_for_prefix: without the cached tokens, another endpoint would have been chosen
 * @is_outweighed: another usable endpoint was expected to have more of the prompt cached
 * @priority: engine priority, 0 is the highest
 * @is_long: a long prefill, always set for a gang; the adaptive and fifo policies do not
 *   count cached tokens
 */
typedef struct
{
  WlEndpoint *endpoints[WL_GANG_MAX];
  uint32_t n;
  uint64_t kv_tokens;
  uint64_t cached_tokens;
  uint64_t likely_tokens;
  uint64_t wait_us;
  uint32_t priority;
  uint8_t is_long;
  uint8_t is_for_prefix;
  uint8_t is_outweighed;
} WlPlacementChoice;

/**
 * wl_placement_choose() - chooses endpoints on which a request can start now
 * @cell: the cell
 * @queued: the request
 * @now_us: monotonic time
 * @out: receives the choice
 *
 * Return: 1 when the request can start, otherwise 0.
 */
int wl_placement_choose (WlCell *cell, const WlQueuedRequest *queued, uint64_t now_us,
                         WlPlacementChoice *out);

/**
 * wl_placement_reserve() - reserves the endpoints expected to have enough KV cache first
 * @cell: the cell without a reservation
 * @queued: the request that cannot start now
 * @now_us: monotonic time
 *
 * Until the estimated start, other requests are placed on these endpoints only
 * when they would end by then or leave enough KV cache free (backfilling). Only
 * one request holds a reservation at a time, so two long ones cannot deadlock
 * by each holding half of what they need.
 *
 * Return: 1 when a reservation was made, otherwise 0.
 */
int wl_placement_reserve (WlCell *cell, const WlQueuedRequest *queued, uint64_t now_us);

/**
 * wl_placement_endpoints_needed() - number of endpoints that a request needs
 * @cell: the cell
 * @place: the request
 *
 * Return: the number, 0 when no gang that the cell can form is large enough.
 */
uint32_t wl_placement_endpoints_needed (const WlCell *cell, const WlPlacementRequest *place);

/**
 * wl_placement_is_usable() - whether an endpoint may get new requests
 * @cell: the cell
 * @endpoint: the endpoint
 * @now_us: monotonic time
 *
 * Return: 1 when it is ready, not leaving, not ejected and has reported recently, otherwise 0.
 */
int wl_placement_is_usable (const WlCell *cell, const WlEndpoint *endpoint, uint64_t now_us);

/** wl_placement_is_evacuated() - whether the failure domain of an endpoint is evacuated */
int wl_placement_is_evacuated (const WlCell *cell, const WlEndpoint *endpoint);

/** wl_placement_is_withheld() - whether all endpoints that would be usable are evacuated ones */
int wl_placement_is_withheld (const WlCell *cell, uint64_t now_us);

#endif
