#ifndef WL_OUTBOX_H
#define WL_OUTBOX_H

#include "wl_request.h"

/*
 * Ends of claims that the control group has not yet confirmed as committed.
 * They are repeated until it does; a graceful stop waits for them.
 */

/**
 * wl_outbox_add() - queues the end of a request's claim
 * @entry: the entry
 * @request: the request, which is ending
 * @result: how it ended
 * @ctx: current times; receives the effects
 */
void wl_outbox_add (WlEntry *entry, const WlRequest *request, const WlRequestResult *result,
                    const WlEventContext *ctx);

/**
 * wl_outbox_release() - queues the release of a claim under which nothing was dispatched
 * @entry: the entry
 * @record: the claim
 * @ctx: current times; receives the effects
 */
void wl_outbox_release (WlEntry *entry, const WlClaimRecord *record, const WlEventContext *ctx);

/**
 * wl_outbox_confirm() - drops a confirmed end
 * @entry: the entry
 * @id: request id
 */
void wl_outbox_confirm (WlEntry *entry, uint64_t id);

/**
 * wl_outbox_contains() - whether the end of a request's claim is queued
 * @entry: the entry
 * @id: request id
 *
 * Return: 1 or 0.
 */
int wl_outbox_contains (const WlEntry *entry, uint64_t id);

/**
 * wl_outbox_tick() - repeats ends that were not confirmed in time
 * @entry: the entry
 * @ctx: current times; receives the effects
 */
void wl_outbox_tick (WlEntry *entry, const WlEventContext *ctx);

/**
 * wl_outbox_count() - ends of claims that are not confirmed
 * @entry: the entry
 *
 * Return: their number.
 */
uint32_t wl_outbox_count (const WlEntry *entry);

/**
 * wl_outbox_destroy() - frees the queue
 * @entry: the entry
 */
void wl_outbox_destroy (WlEntry *entry);

#endif
