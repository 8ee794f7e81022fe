#include <string.h>
#include "wl_entry_claims.h"
#include "wl_outbox.h"
#include "wl_request.h"

void
wl_entry_send_claim (WlEntry *entry, WlRequest *r, const WlEventContext *ctx)
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
  r->timer_us = ctx->now_us + WL_ENTRY_CLAIM_RETRY_US;
  wl_effects_send (ctx->fx, wl_session_control_node (entry->session), &m);
  wl_request_trace (entry, r->id, WL_TRACE_CLAIM_SENT, 0, 0, ctx);
}

static void
answer_from_claim (WlEntry *entry, WlRequest *r, const WlClaimRecord *c, const WlEventContext *ctx)
{
  WlRequestResult result = { .outcome = WL_OUTCOME_REFUSED, .run = WL_RUN_NOT_RUN };
  if (memcmp (c->digest, r->digest, WL_DIGEST_SIZE) != 0)
    result.reason = WL_REFUSAL_KEY_REUSED;
  else if (c->status == WL_CLAIM_DONE)
    {
      result.outcome = WL_OUTCOME_REPLAYED;
      result.http_status = c->http_status;
      result.body = c->body;
    }
  else if (c->status == WL_CLAIM_UNKNOWN)
    {
      result.reason = WL_REFUSAL_CLAIM_UNKNOWN;
      result.run = WL_RUN_UNKNOWN;
    }
  else
    {
      result.reason = WL_REFUSAL_CLAIM_TAKEN;
      result.retry_after_us = WL_ENTRY_RETRY_AFTER_US;
    }
  wl_request_finish (entry, r, &result, ctx);
}

void
wl_entry_on_claim_reply (WlEntry *entry, const WlClaimReply *reply, const WlEventContext *ctx)
{
  WlRequest *r = wl_request_find (entry, reply->id);
  if (r == NULL)
    {
      /* The request ended before its claim was committed: nothing was dispatched under it. */
      if (reply->granted && reply->record.incarnation == entry->settings->incarnation
          && reply->record.node == entry->settings->self.node
          && !wl_outbox_contains (entry, reply->id))
        wl_outbox_release (entry, &reply->record, ctx);
      return;
    }
  if (r->state != WL_REQUEST_CLAIMING || r->attempt != 0)
    return;
  if (!reply->granted)
    {
      answer_from_claim (entry, r, &reply->record, ctx);
      return;
    }
  wl_request_trace (entry, r->id, WL_TRACE_CLAIMED, 0, 0, ctx);
  wl_entry_begin_placing (entry, r, ctx);
}
