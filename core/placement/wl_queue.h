#ifndef WL_QUEUE_H
#define WL_QUEUE_H

#include "wl_cell.h"

/*
 * Waiting requests of a cell in the order of start-time fair queueing
 * (P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", 1996): a request's
 * tag is the later of the virtual time and its customer's previous finish
 * tag, and the finish tag lies cost / weight further. Cost is estimated
 * engine time, so a long prompt moves its customer back by much and a short
 * one by little. Short and long requests of a customer are separate flows: its
 * own long prompts do not hold up its short ones.
 */

/**
 * wl_queue_is_long() - tells whether a request belongs to the flow of long prompts
 * @place: the request
 *
 * Return: 1 or 0.
 */
int wl_queue_is_long (const WlPlace *place);

/**
 * wl_queue_add() - appends a request to its customer's flow
 * @cell: the cell
 * @place: the request; copied
 * @now_us: monotonic time
 *
 * Return: the queued request.
 */
WlWaiting *wl_queue_add (WlCell *cell, const WlPlace *place, uint64_t now_us);

/**
 * wl_queue_remove() - removes and frees a request
 * @cell: the cell
 * @waiting: the request
 */
void wl_queue_remove (WlCell *cell, WlWaiting *waiting);

/**
 * wl_queue_started() - advances the virtual time to a request that starts
 * @cell: the cell
 * @waiting: the request
 */
void wl_queue_started (WlCell *cell, const WlWaiting *waiting);

/**
 * wl_queue_find() - finds a request
 * @cell: the cell
 * @request: request id
 *
 * Return: the request, or NULL.
 */
WlWaiting *wl_queue_find (const WlCell *cell, uint64_t request);

/**
 * wl_queue_predict_wait() - estimates how long a new request would wait
 * @cell: the cell
 * @place: the request
 *
 * Return: microseconds.
 */
uint64_t wl_queue_predict_wait (WlCell *cell, const WlPlace *place);

/**
 * wl_queue_cost() - estimated engine time of a request
 * @cell: the cell
 * @uncached: prompt tokens to compute
 * @max_tokens: longest answer
 *
 * Return: microseconds.
 */
uint64_t wl_queue_cost (const WlCell *cell, uint64_t uncached, uint64_t max_tokens);

/**
 * wl_queue_duration() - estimated time from start to end of a request
 * @cell: the cell
 * @uncached: prompt tokens to compute
 * @max_tokens: longest answer
 * @n_seats: endpoints that share the prompt
 *
 * Return: microseconds.
 */
uint64_t wl_queue_duration (const WlCell *cell, uint64_t uncached, uint64_t max_tokens,
                            uint32_t n_seats);

#endif
