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
                  const WlMoment *at)
{
  WlTraceRecord record = { id, at->wall_us, kind, a, b };
  wl_trace_add (&entry->trace, &record);
}

WlRequest *
wl_request_create (WlEntry *entry, const WlRequestEvent *event, const WlCustomer *customer,
                   const WlService *service, const WlMoment *at)
{
  WlRequest *r = calloc (1, sizeof *r);
  if (r == NULL)
    abort ();
  uint64_t limit_us = service->time_limit_ms * 1000;
  if (event->time_limit_us > 0 && event->time_limit_us < limit_us)
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
  r->n_prefix = event->n_prefix < WL_PREFIX_MARKS ? event->n_prefix : WL_PREFIX_MARKS;
  if (r->n_prefix > 0)
    memcpy (r->prefix, event->prefix, r->n_prefix * sizeof *r->prefix);
  r->admitted_us = at->now_us;
  r->admitted_wall_us = at->wall_us;
  r->deadline_us = at->now_us + limit_us;
  r->shard = 0;
  if (service->cells > 1)
    r->shard
        = (uint32_t)((r->n_prefix > 0 ? r->prefix[0].hash : wl_mix (r->id, 1)) % service->cells);
  crypto_generichash_init (&r->answer, NULL, 0, WL_DIGEST_SIZE);
  wl_table_put_id (entry->requests, &r->id, r);
  return r;
}

static void
count_outcome (WlEntry *entry, const WlFinish *f)
{
  switch (f->outcome)
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
  entry->counters.timed_out += f->timed_out;
}

static WlEffect *
add_reply (uint64_t id, const WlFinish *f, const WlReceipt *receipt, const WlMoment *at)
{
  WlEffect *e = wl_effects_add (at->fx, WL_EFFECT_REPLY_END);
  e->u.end.request = id;
  e->u.end.outcome = f->outcome;
  e->u.end.run = f->run;
  e->u.end.reason = f->reason;
  e->u.end.retry_after_us = f->retry_after_us;
  e->u.end.http_status = f->http_status;
  e->u.end.timed_out = f->timed_out;
  e->u.end.body = wl_bytes_copy (at->fx->pool, f->body);
  if (receipt == NULL)
    return e;
  e->u.end.receipt = receipt->sequence;
  memcpy (e->u.end.receipt_head, receipt->head, WL_DIGEST_SIZE);
  return e;
}

static WlReceipt
make_receipt (uint64_t id, const WlFinish *f, const WlMoment *at)
{
  WlReceipt receipt = {
    .request = id,
    .admitted_us = at->wall_us,
    .ended_us = at->wall_us,
    .outcome = (uint8_t)f->outcome,
    .run = (uint8_t)f->run,
    .reason = (uint8_t)f->reason,
  };
  return receipt;
}

void
wl_request_reject (WlEntry *entry, const WlRequestEvent *event, const WlCustomer *customer,
                   const WlFinish *finish, const WlMoment *at)
{
  count_outcome (entry, finish);
  wl_request_trace (entry, event->id, WL_TRACE_REFUSED, finish->reason, 0, at);
  if (customer == NULL)
    {
      add_reply (event->id, finish, NULL, at);
      return;
    }
  WlReceipt receipt = make_receipt (event->id, finish, at);
  receipt.prompt_tokens = event->prompt_tokens;
  wl_ledger_add (&entry->ledger, customer->name, &receipt);
  add_reply (event->id, finish, &receipt, at);
  WlBurnSample sample = {
    .customer = customer->name,
    .service = event->service,
    .prompt_tokens = event->prompt_tokens,
    .outcome = finish->outcome,
    .reason = finish->reason,
  };
  wl_burn_add (&entry->burn, entry->session->services, &sample, at->now_us);
}

static void
record_burn (WlEntry *entry, const WlRequest *r, const WlFinish *f, const WlMoment *at)
{
  uint64_t end_us = r->has_first_token ? r->first_token_us : at->now_us;
  WlBurnSample sample = {
    .customer = r->customer,
    .service = r->service,
    .prompt_tokens = r->prompt_tokens,
    .first_token_us = end_us - r->admitted_us,
    .outcome = f->outcome,
    .reason = f->reason,
  };
  wl_burn_add (&entry->burn, entry->session->services, &sample, at->now_us);
}

void
wl_request_finish (WlEntry *entry, WlRequest *request, const WlFinish *finish, const WlMoment *at)
{
  WlReceipt receipt = make_receipt (request->id, finish, at);
  receipt.admitted_us = request->admitted_wall_us;
  receipt.dispatched = request->dispatched;
  receipt.prompt_tokens = request->prompt_tokens;
  receipt.tokens = request->delivered;
  crypto_generichash_final (&request->answer, receipt.answer, WL_DIGEST_SIZE);
  count_outcome (entry, finish);
  wl_ledger_add (&entry->ledger, request->customer, &receipt);
  record_burn (entry, request, finish, at);
  wl_request_trace (entry, request->id, WL_TRACE_ENDED, finish->outcome, request->delivered, at);
  if (!request->is_idempotent)
    wl_outbox_add (entry, request, finish, at);
  if (!request->caller_gone)
    {
      WlEffect *e = add_reply (request->id, finish, &receipt, at);
      e->u.end.tokens = request->delivered;
      e->u.end.cached_tokens = request->cached_tokens;
    }
  wl_table_put_id (entry->requests, &request->id, NULL);
  wl_bytes_release (&request->outcome);
  free (request);
}
