#ifndef WL_OUTBOX_H
#define WL_OUTBOX_H

#include "wl_request.h"

/*
 * Ends of claims that the control group has not yet confirmed. They are sent
 * again until it does; a graceful stop waits for them.
 */

/**
 * wl_outbox_add() - queues the end of a request's claim
 * @entry: the entry
 * @request: the ended request, with its claim
 * @finish: how it ended
 * @at: time and effects
 */
void wl_outbox_add (WlEntry *entry, const WlRequest *request, const WlFinish *finish,
                    const WlMoment *at);

/**
 * wl_outbox_release() - queues the release of a claim that was never used
 * @entry: the entry
 * @record: the claim
 * @at: time and effects
 */
void wl_outbox_release (WlEntry *entry, const WlClaimRecord *record, const WlMoment *at);

/**
 * wl_outbox_confirm() - drops a confirmed end
 * @entry: the entry
 * @id: request id
 */
void wl_outbox_confirm (WlEntry *entry, uint64_t id);

/**
 * wl_outbox_contains() - tells whether an end is waiting
 * @entry: the entry
 * @id: request id
 *
 * Return: 1 or 0.
 */
int wl_outbox_contains (const WlEntry *entry, uint64_t id);

/**
 * wl_outbox_tick() - sends ends that are due
 * @entry: the entry
 * @at: time and effects
 */
void wl_outbox_tick (WlEntry *entry, const WlMoment *at);

/**
 * wl_outbox_destroy() - frees the queue
 * @entry: the entry
 */
void wl_outbox_destroy (WlEntry *entry);

#endif
