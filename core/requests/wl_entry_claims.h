#ifndef WL_ENTRY_CLAIMS_H
#define WL_ENTRY_CLAIMS_H

#include "wl_entry.h"

/*
 * The entry's side of claims. A non-idempotent request is placed only after the
 * control group has committed a claim of its idempotency key for it, so that it
 * runs at most once.
 */

/**
 * wl_entry_send_claim() - requests a claim of the request's key from the control group
 * @entry: the entry
 * @r: the request
 * @ctx: current times; receives the effects
 */
void wl_entry_send_claim (WlEntry *entry, WlRequest *r, const WlEventContext *ctx);

/**
 * wl_entry_on_claim_reply() - places the request, or ends it when another claim has its key
 * @entry: the entry
 * @reply: the control group's answer, with the claim that has the key
 * @ctx: current times; receives the effects
 */
void wl_entry_on_claim_reply (WlEntry *entry, const WlClaimReply *reply, const WlEventContext *ctx);

/**
 * wl_entry_begin_placing() - requests the grant of the first attempt
 * @entry: the entry
 * @r: the request
 * @ctx: current times; receives the effects
 */
void wl_entry_begin_placing (WlEntry *entry, WlRequest *r, const WlEventContext *ctx);

#endif
