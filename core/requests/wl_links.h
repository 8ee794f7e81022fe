#ifndef WL_LINKS_H
#define WL_LINKS_H

#include "wl_entry.h"

/* The entry's messages to cell owners: renewals, notes and placement requests. */

/**
 * wl_links_get() - finds or creates the link to a cell
 * @entry: the entry
 * @service: service name
 * @shard: number of the cell
 *
 * Return: the link.
 */
WlLink *wl_links_get (WlEntry *entry, const char *service, uint32_t shard);

/**
 * wl_links_note() - queues a note until the owner acknowledges it
 * @link: the link
 * @note: the note; copied
 */
void wl_links_note (WlLink *link, const WlNote *note);

/**
 * wl_links_tick() - sends holds that are due
 * @entry: the entry
 * @at: time and effects
 */
void wl_links_tick (WlEntry *entry, const WlMoment *at);

/**
 * wl_links_acknowledge() - processes an owner's answer to a hold
 * @entry: the entry
 * @reply: the answer
 */
void wl_links_acknowledge (WlEntry *entry, const WlHoldReply *reply);

/**
 * wl_links_place() - asks the owner of the request's cell for a place
 * @entry: the entry
 * @request: the request
 * @at: time and effects
 *
 * Return: 1 when the cell has an owner, otherwise 0.
 */
int wl_links_place (WlEntry *entry, const WlRequest *request, const WlMoment *at);

/**
 * wl_links_destroy() - frees all links
 * @entry: the entry
 */
void wl_links_destroy (WlEntry *entry);

#endif
