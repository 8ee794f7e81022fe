#ifndef WL_QUEUE_H
#define WL_QUEUE_H

#include "wl_cell.h"

/*
 * Queued requests of a cell, ordered by start-time fair queueing (P. Goyal,
 * H. Vin, H. Cheng, "Start-time Fair Queueing", 1996): a request's start tag is
 * the later of the virtual time and its customer's previous finish tag; its
 * finish tag is the start tag plus cost / weight. Cost is estimated engine
 * time, so a long prompt moves its customer far back and a short one only a
 * little. Short and long prompts of a customer are separate flows: its own
 * long prompts do not hold up its short ones.
 *
 * Policies other than adaptive serve requests in order of arrival.
 */

/**
 * wl_queue_is_long() - whether a request belongs to its customer's flow of long prompts
 * @place: the request
 *
 * Return: 1 or 0.
 */
int wl_queue_is_long (const WlPlacementRequest *place);

/**
 * wl_queue_add() - appends a request to its customer's flow
 * @cell: the cell
 * @place: the request; copied
 * @now_us: monotonic time
 *
 * Return: the queued request, owned by the cell.
 */
WlQueuedRequest *wl_queue_add (WlCell *cell, const WlPlacementRequest *place, uint64_t now_us);

/**
 * wl_queue_remove() - removes and frees a request
 * @cell: the cell
 * @queued: the request; freed
 */
void wl_queue_remove (WlCell *cell, WlQueuedRequest *queued);

/**
 * wl_queue_advance() - advances the virtual time to the start tag of a starting request
 * @cell: the cell
 * @queued: the request
 */
void wl_queue_advance (WlCell *cell, const WlQueuedRequest *queued);

/**
 * wl_queue_find() - finds a request
 * @cell: the cell
 * @request: request id
 *
 * Return: the request, or NULL.
 */
WlQueuedRequest *wl_queue_find (const WlCell *cell, uint64_t request);

/**
 * wl_queue_predict_wait() - estimates how long a new request would be queued
 * @cell: the cell
 * @place: the request
 *
 * Return: microseconds.
 */
uint64_t wl_queue_predict_wait (WlCell *cell, const WlPlacementRequest *place);

/**
 * wl_queue_cost() - estimates the engine time that a request uses, decoding being batched
 * @cell: the cell
 * @uncached_tokens: prompt tokens to compute
 * @max_tokens: limit of output tokens
 *
 * Return: microseconds.
 */
uint64_t wl_queue_cost (const WlCell *cell, uint64_t uncached_tokens, uint64_t max_tokens);

/**
 * wl_queue_duration() - estimates the time from start to end of a request
 * @cell: the cell
 * @uncached_tokens: prompt tokens to compute
 * @max_tokens: limit of output tokens
 * @n_endpoints: endpoints that share the prefill
 *
 * Return: microseconds.
 */
uint64_t wl_queue_duration (const WlCell *cell, uint64_t uncached_tokens, uint64_t max_tokens,
                            uint32_t n_endpoints);

#endif
