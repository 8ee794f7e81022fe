#ifndef WL_LINKS_H
#define WL_LINKS_H

#include "wl_entry.h"

/*
 * The entry's exchange with cell owners: grant renewals, attempt updates and
 * placement requests. Updates report an attempt's first token or end; they
 * travel with renewals, and are repeated until the owner acknowledges them.
 */

/**
 * wl_links_get() - finds or creates the link to a cell
 * @entry: the entry
 * @service: service name
 * @shard: number of the cell
 *
 * Return: the link, owned by the entry.
 */
WlLink *wl_links_get (WlEntry *entry, const char *service, uint32_t shard);

/**
 * wl_links_add_update() - queues an update, to be sent until the owner acknowledges it
 * @link: the link
 * @update: the update; copied
 */
void wl_links_add_update (WlLink *link, const WlAttemptUpdate *update);

/**
 * wl_links_tick() - sends renewals that are due
 * @entry: the entry
 * @ctx: current times; receives the effects
 */
void wl_links_tick (WlEntry *entry, const WlEventContext *ctx);

/**
 * wl_links_acknowledge() - processes an owner's reply to a renewal
 * @entry: the entry
 * @reply: the reply
 */
void wl_links_acknowledge (WlEntry *entry, const WlGrantRenewalReply *reply);

/**
 * wl_links_request_placement() - requests a grant from the owner of the request's cell
 * @entry: the entry
 * @request: the request
 * @ctx: current times; receives the effects
 *
 * Return: 1 when the message was sent, 0 when the cell has no owner.
 */
int wl_links_request_placement (WlEntry *entry, const WlRequest *request,
                                const WlEventContext *ctx);

/**
 * wl_links_count_pending() - updates that other nodes have not acknowledged
 * @entry: the entry
 *
 * Updates to a cell of this node do not count: once it is closed, nothing here acknowledges them.
 *
 * Return: their number.
 */
uint32_t wl_links_count_pending (const WlEntry *entry);

/**
 * wl_links_destroy() - frees all links
 * @entry: the entry
 */
void wl_links_destroy (WlEntry *entry);

#endif
