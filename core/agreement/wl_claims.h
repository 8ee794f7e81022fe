#ifndef WL_CLAIMS_H
#define WL_CLAIMS_H

#include "wl_state.h"

/*
 * Claims in the replicated state. A non-idempotent request claims its idempotency
 * key before it is dispatched, so that it runs at most once.
 */

/**
 * wl_claims_put() - applies a claim
 * @state: the state
 * @record: the claim
 *
 * Succeeds when the key is unclaimed, its claim has expired or the request that
 * held it was not run. Repeating the claim of a request in flight succeeds again.
 *
 * Return: see WlApplied.
 */
WlApplied wl_claims_put (WlState *state, const WlClaimRecord *record);

/**
 * wl_claims_end() - applies the end of a claim
 * @state: the state
 * @record: request, new status and outcome
 *
 * Return: WL_APPLIED, or WL_APPLIED_CONFLICT when the request holds no claim.
 */
WlApplied wl_claims_end (WlState *state, const WlClaimRecord *record);

/**
 * wl_claims_expire() - drops claims whose retention has run out
 * @state: the state
 */
void wl_claims_expire (WlState *state);

/**
 * wl_claims_load() - adds a record from a snapshot
 * @state: the state
 * @record: the record
 */
void wl_claims_load (WlState *state, const WlClaimRecord *record);

/**
 * wl_claims_clear() - drops all claims
 * @state: the state
 */
void wl_claims_clear (WlState *state);

#endif
