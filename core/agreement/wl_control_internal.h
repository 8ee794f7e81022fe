#ifndef WL_CONTROL_INTERNAL_H
#define WL_CONTROL_INTERNAL_H

#include "wl_control.h"

/* Shared by wl_control.c (renewals, queries, applying) and wl_control_requests.c. */

/** wl_control_propose() - proposes a command as leader; returns its log index */
uint64_t wl_control_propose (WlControl *control, WlCommand *command, const WlEvent *event,
                             WlEffects *fx);

/** wl_control_add_pending() - records that the proposal at a log index needs an answer */
WlPendingProposal *wl_control_add_pending (WlControl *control, uint64_t index, WlCommandKind kind);

/** wl_control_on_submit() - answers a repeated or stale submission, or proposes it */
void wl_control_on_submit (WlControl *control, const WlSubmit *s, const WlEvent *event,
                           WlEffects *fx);

/** wl_control_finish_submit() - answers a submission whose log entry was applied */
void wl_control_finish_submit (WlControl *control, const WlPendingProposal *p, WlEffects *fx);

/** wl_control_on_evacuate() - proposes the start or end of an evacuation */
void wl_control_on_evacuate (WlControl *control, const WlEvacuate *e, const WlEvent *event,
                             WlEffects *fx);

/** wl_control_finish_evacuate() - answers one whose log entry was applied */
void wl_control_finish_evacuate (WlControl *control, const WlPendingProposal *p, WlEffects *fx);

/** wl_control_on_claim() - answers a claim from the state, or proposes it */
void wl_control_on_claim (WlControl *control, uint32_t from, const WlClaimRecord *r,
                          const WlEvent *event, WlEffects *fx);

/** wl_control_finish_claim() - answers a claim whose log entry was applied */
void wl_control_finish_claim (WlControl *control, const WlPendingProposal *p, uint64_t now_us,
                              WlEffects *fx);

/** wl_control_on_claim_end() - proposes the end of a claim */
void wl_control_on_claim_end (WlControl *control, uint32_t from, const WlClaimRecord *r,
                              const WlEvent *event, WlEffects *fx);

/** wl_control_finish_claim_end() - confirms the end of a claim that was applied */
void wl_control_finish_claim_end (const WlPendingProposal *p, WlEffects *fx);

#endif
