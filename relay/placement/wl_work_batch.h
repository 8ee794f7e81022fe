#ifndef WL_WORK_BATCH_H
#define WL_WORK_BATCH_H

#include "wl_message.h"

/*
 * Notes on work of several nodes that travel on together: one message for all
 * that is due, in the order in which the notes came.
 */

enum
{
  WL_WORK_BATCH_WORKS_MAX = 1024, /* a batch that nobody takes does not grow further */
};

/**
 * struct WlWorkBatch - works that wait to be passed on
 * @works: the works, @n_works of them; their notes are on the heap
 * @since_us: when the first came
 */
typedef struct
{
  WlWork works[WL_WORK_BATCH_WORKS_MAX];
  uint32_t n_works;
  uint64_t since_us;
} WlWorkBatch;

/**
 * wl_work_batch_add() - adds a copy of what a node told of its work
 * @batch: the batch
 * @node: the node
 * @work: its notes
 * @now_us: monotonic time
 *
 * Return: 1, or 0 when the batch is full: a later list of all work mends it.
 */
int wl_work_batch_add (WlWorkBatch *batch, uint32_t node, const WlWork *work, uint64_t now_us);

/** wl_work_batch_is_due() - whether the oldest notes have waited for @longest_us */
int wl_work_batch_is_due (const WlWorkBatch *batch, uint64_t longest_us, uint64_t now_us);

/** wl_work_batch_clear() - empties a batch */
void wl_work_batch_clear (WlWorkBatch *batch);

#endif
