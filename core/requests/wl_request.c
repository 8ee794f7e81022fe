#include <stdlib.h>
#include <string.h>
#include "wl_outbox.h"
#include "wl_request.h"
#include "wl_table.h"

WlRequest *
wl_request_find (const WlEntry *entry, uint64_t id)
{
  return wl_table_get_id (entry->requests, id);
}

void
wl_request_trace (WlEntry *entry, uint64_t id, WlTraceKind kind, uint64_t a, uint64_t b,
                  const WlEventContext *ctx)
{
  WlTraceRecord record = { id, ctx->wall_us, kind, a, b };
  wl_trace_add (&entry->trace, &record);
}

WlRequest *
wl_request_create (WlEntry *entry, const WlRequestEvent *event, const WlCustomer *customer,
                   const WlService *service, const WlEventContext *ctx)
{
  WlRequest *r = calloc (1, sizeof *r);
  if (r == NULL)
    abort ();
  uint64_t limit_us = service->time_limit_ms * 1000;
  if (event->has_time_limit && event->time_limit_us < limit_us)
    limit_us = event->time_limit_us;
  r->id = event->id;
  strcpy (r->customer, customer->name);
  strcpy (r->service, service->name);
  strncpy (r->key, event->key, sizeof r->key - 1);
  memcpy (r->digest, event->digest, WL_DIGEST_SIZE);
  r->is_plain = service->kind == WL_SERVICE_PLAIN;
  r->is_idempotent
      = !event->non_idempotent && (uint8_t)wl_service_call_is_idempotent (service, event->path);
  r->prompt_tokens = event->prompt_tokens;
  r->max_tokens = event->max_tokens;
  r->n_prefixes
      = event->n_prefixes < WL_PREFIX_HASHES_MAX ? event->n_prefixes : WL_PREFIX_HASHES_MAX;
  if (r->n_prefixes > 0)
    memcpy (r->prefixes, event->prefixes, r->n_prefixes * sizeof *r->prefixes);
  r->admitted_us = ctx->now_us;
  r->admitted_wall_us = ctx->wall_us;
  r->deadline_us = ctx->now_us + limit_us;
  r->shard = 0;
  if (service->cells > 1)
    r->shard = (uint32_t)((r->n_prefixes > 0 ? r->prefixes[0].hash : wl_hash_ids (r->id, 1))
                          % service->cells);
  crypto_generichash_init (&r->response_hash, NULL, 0, WL_DIGEST_SIZE);
  wl_table_put_id (entry->requests, &r->id, r);
  return r;
}

static void
count_outcome (WlEntry *entry, const WlRequestResult *result)
{
  switch (result->outcome)
    {
    case WL_OUTCOME_DONE:
      entry->counters.finished++;
      break;
    case WL_OUTCOME_REPLAYED:
      entry->counters.replayed++;
      break;
    case WL_OUTCOME_REFUSED:
      entry->counters.refused++;
      break;
    case WL_OUTCOME_FAILED:
      entry->counters.failed++;
      break;
    case WL_OUTCOME_UNAUTHORIZED:
      entry->counters.unauthorized++;
      break;
    case WL_OUTCOME_NO_SERVICE:
    case WL_OUTCOME_KEY_REQUIRED:
      entry->counters.refused++;
      break;
    }
  entry->counters.timed_out += result->timed_out;
}

static WlEffect *
add_reply (uint64_t id, const WlRequestResult *result, const WlReceipt *receipt,
           const WlEventContext *ctx)
{
  WlEffect *e = wl_effects_add (ctx->fx, WL_EFFECT_REPLY_END);
  e->u.end.request = id;
  e->u.end.outcome = result->outcome;
  e->u.end.run = result->run;
  e->u.end.reason = result->reason;
  e->u.end.retry_after_us = result->retry_after_us;
  e->u.end.http_status = result->http_status;
  e->u.end.timed_out = result->timed_out;
  e->u.end.body = wl_bytes_copy (ctx->fx->pool, result->body);
  if (receipt == NULL)
    return e;
  e->u.end.receipt_sequence = receipt->sequence;
  memcpy (e->u.end.receipt_head, receipt->head, WL_DIGEST_SIZE);
  return e;
}

static WlReceipt
make_receipt (uint64_t id, const WlRequestResult *result, const WlEventContext *ctx)
{
  WlReceipt receipt = {
    .request = id,
    .admitted_us = ctx->wall_us,
    .ended_us = ctx->wall_us,
    .outcome = (uint8_t)result->outcome,
    .run = (uint8_t)result->run,
    .reason = (uint8_t)result->reason,
  };
  return receipt;
}

void
wl_request_reject (WlEntry *entry, const WlRequestEvent *event, const WlCustomer *customer,
                   const WlRequestResult *result, const WlEventContext *ctx)
{
  count_outcome (entry, result);
  wl_request_trace (entry, event->id, WL_TRACE_REFUSED, result->reason, 0, ctx);
  if (customer == NULL)
    {
      add_reply (event->id, result, NULL, ctx);
      return;
    }
  WlReceipt receipt = make_receipt (event->id, result, ctx);
  receipt.prompt_tokens = event->prompt_tokens;
  wl_ledger_add (&entry->ledger, customer->name, &receipt);
  add_reply (event->id, result, &receipt, ctx);
  WlBurnSample sample = {
    .customer = customer->name,
    .service = event->service,
    .prompt_tokens = event->prompt_tokens,
    .outcome = result->outcome,
    .reason = result->reason,
  };
  wl_burn_add (&entry->burn, entry->session->services, &sample, ctx->now_us);
}

static void
record_burn (WlEntry *entry, const WlRequest *r, const WlRequestResult *result,
             const WlEventContext *ctx)
{
  uint64_t end_us = r->has_first_token ? r->first_token_us : ctx->now_us;
  WlBurnSample sample = {
    .customer = r->customer,
    .service = r->service,
    .prompt_tokens = r->prompt_tokens,
    .first_token_us = end_us - r->admitted_us,
    .outcome = result->outcome,
    .reason = result->reason,
  };
  wl_burn_add (&entry->burn, entry->session->services, &sample, ctx->now_us);
}

void
wl_request_finish (WlEntry *entry, WlRequest *request, const WlRequestResult *result,
                   const WlEventContext *ctx)
{
  WlReceipt receipt = make_receipt (request->id, result, ctx);
  receipt.admitted_us = request->admitted_wall_us;
  receipt.dispatched = request->dispatched;
  receipt.prompt_tokens = request->prompt_tokens;
  receipt.tokens = request->delivered;
  crypto_generichash_final (&request->response_hash, receipt.answer, WL_DIGEST_SIZE);
  count_outcome (entry, result);
  wl_ledger_add (&entry->ledger, request->customer, &receipt);
  record_burn (entry, request, result, ctx);
  wl_request_trace (entry, request->id, WL_TRACE_ENDED, result->outcome, request->delivered, ctx);
  if (!request->is_idempotent)
    wl_outbox_add (entry, request, result, ctx);
  if (!request->caller_disconnected)
    {
      WlEffect *e = add_reply (request->id, result, &receipt, ctx);
      e->u.end.tokens = request->delivered;
      e->u.end.cached_tokens = request->cached_tokens;
    }
  wl_table_put_id (entry->requests, &request->id, NULL);
  wl_bytes_release (&request->plain_response);
  free (request);
}
