#ifndef WL_TIME_QUEUE_H
#define WL_TIME_QUEUE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Things that happen at given times in a simulation, taken in order of time;
 * of one time, in the order in which they were added. A binary heap.
 */

typedef struct WlTimeQueue WlTimeQueue;

/**
 * wl_time_queue_create() - makes an empty queue
 * @item_size: bytes of each item
 */
WlTimeQueue *wl_time_queue_create (size_t item_size);

/** wl_time_queue_destroy() - frees a queue with its items; accepts NULL */
void wl_time_queue_destroy (WlTimeQueue *queue);

/** wl_time_queue_add() - adds a copy of an item for a time */
void wl_time_queue_add (WlTimeQueue *queue, uint64_t at_us, const void *item);

/**
 * wl_time_queue_take() - takes the first item
 * @queue: the queue
 * @until_us: latest time of an item that is taken
 * @item: receives the item
 *
 * Return: 1, or 0 when there is none until then.
 */
int wl_time_queue_take (WlTimeQueue *queue, uint64_t until_us, void *item);

#endif
