#include <string.h>
#include "wl_entry_claims.h"
#include "wl_outbox.h"
#include "wl_request.h"

void
wl_entry_send_claim (WlEntry *entry, WlRequest *r, const WlMoment *at)
{
  WlMessage m = { .kind = WL_MESSAGE_CLAIM };
  WlClaimRecord *c = &m.u.claim.record;
  strcpy (c->customer, r->customer);
  strcpy (c->key, r->key);
  c->request = r->id;
  c->node = entry->settings->self.node;
  c->incarnation = entry->settings->incarnation;
  memcpy (c->digest, r->digest, WL_DIGEST_SIZE);
  r->state = WL_REQUEST_CLAIMING;
  r->timer_us = at->now_us + WL_ENTRY_CLAIM_RETRY_US;
  wl_effects_send (at->fx, wl_session_control (entry->session), &m);
  wl_request_trace (entry, r->id, WL_TRACE_CLAIM_SENT, 0, 0, at);
}

static void
answer_from_claim (WlEntry *entry, WlRequest *r, const WlClaimRecord *c, const WlMoment *at)
{
  WlFinish f = { .outcome = WL_OUTCOME_REFUSED, .run = WL_RUN_NOT_RUN };
  if (memcmp (c->digest, r->digest, WL_DIGEST_SIZE) != 0)
    f.reason = WL_REFUSAL_KEY_REUSED;
  else if (c->status == WL_CLAIM_DONE)
    {
      f.outcome = WL_OUTCOME_REPLAYED;
      f.http_status = c->http_status;
      f.body = c->body;
    }
  else if (c->status == WL_CLAIM_UNKNOWN)
    {
      f.reason = WL_REFUSAL_CLAIM_UNKNOWN;
      f.run = WL_RUN_UNKNOWN;
    }
  else
    {
      f.reason = WL_REFUSAL_CLAIM_TAKEN;
      f.retry_after_us = WL_ENTRY_RETRY_AFTER_US;
    }
  wl_request_finish (entry, r, &f, at);
}

void
wl_entry_on_claim_reply (WlEntry *entry, const WlClaimReply *reply, const WlMoment *at)
{
  WlRequest *r = wl_request_find (entry, reply->id);
  if (r == NULL)
    {
      /* Committed after the request had ended: nothing was dispatched under it. */
      if (reply->granted && reply->record.incarnation == entry->settings->incarnation
          && reply->record.node == entry->settings->self.node
          && !wl_outbox_contains (entry, reply->id))
        wl_outbox_release (entry, &reply->record, at);
      return;
    }
  if (r->state != WL_REQUEST_CLAIMING || r->attempt != 0)
    return;
  if (!reply->granted)
    {
      answer_from_claim (entry, r, &reply->record, at);
      return;
    }
  wl_request_trace (entry, r->id, WL_TRACE_CLAIMED, 0, 0, at);
  wl_entry_begin_placing (entry, r, at);
}
