#ifndef WL_ENTRY_CLAIMS_H
#define WL_ENTRY_CLAIMS_H

#include "wl_entry.h"

/* The entry's side of claims: a non-idempotent request is placed only once it holds its key. */

/**
 * wl_entry_send_claim() - asks the control group for the request's key
 * @entry: the entry
 * @r: the request
 * @at: time and effects
 */
void wl_entry_send_claim (WlEntry *entry, WlRequest *r, const WlMoment *at);

/**
 * wl_entry_on_claim_reply() - places the request, or answers it from the claim that holds the key
 * @entry: the entry
 * @reply: the control group's answer
 * @at: time and effects
 */
void wl_entry_on_claim_reply (WlEntry *entry, const WlClaimReply *reply, const WlMoment *at);

/**
 * wl_entry_begin_placing() - asks the cell owner for the first place
 * @entry: the entry
 * @r: the request
 * @at: time and effects
 */
void wl_entry_begin_placing (WlEntry *entry, WlRequest *r, const WlMoment *at);

#endif
