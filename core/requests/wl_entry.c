#include <stdlib.h>
#include <string.h>
#include "wl_entry.h"
#include "wl_entry_claims.h"
#include "wl_events.h"
#include "wl_links.h"
#include "wl_outbox.h"
#include "wl_request.h"
#include "wl_table.h"

enum
{
  BUDGET_PER_RETRY = 100, /* the retry budget counts hundredths of a retry */
  BUDGET_START = 20 * BUDGET_PER_RETRY,
  OWNER_WAIT_MAX_US = 10000000, /* how long a request waits for a cell without an owner */
  BACKOFF_DOUBLINGS = 6,
  PLAIN_STALL_TIMEOUT_MIN_US = 2000000,
};

WlEntry *
wl_entry_create (const WlSettings *settings, WlSession *session)
{
  WlEntry *entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  entry->settings = settings;
  entry->session = session;
  apr_pool_create (&entry->pool, NULL);
  entry->requests = wl_table_create (entry->pool);
  entry->retry_budget = BUDGET_START;
  entry->random_state = wl_hash_ids (settings->seed, settings->incarnation);
  wl_ledger_init (&entry->ledger, settings);
  wl_burn_init (&entry->burn);
  return entry;
}

void
wl_entry_destroy (WlEntry *entry)
{
  if (entry == NULL)
    return;
  for (apr_hash_index_t *i = apr_hash_first (NULL, entry->requests); i; i = apr_hash_next (i))
    {
      WlRequest *r = apr_hash_this_val (i);
      wl_bytes_release (&r->plain_response);
      free (r);
    }
  wl_links_destroy (entry);
  wl_outbox_destroy (entry);
  wl_ledger_clear (&entry->ledger);
  wl_burn_clear (&entry->burn);
  apr_pool_destroy (entry->pool);
  free (entry);
}

int
wl_entry_is_idle (const WlEntry *entry)
{
  return apr_hash_count (entry->requests) == 0;
}

/* ---- end of a request or attempt ---- */

static WlRunState
run_state (const WlRequest *r)
{
  if (!r->may_have_run)
    return WL_RUN_NOT_RUN;
  return r->is_idempotent ? WL_RUN_FAILED : WL_RUN_UNKNOWN;
}

static void
refuse_request (WlEntry *entry, WlRequest *r, WlRefusalReason reason, uint64_t retry_after_us,
                const WlEventContext *ctx)
{
  WlRequestResult result = {
    .outcome = r->may_have_run ? WL_OUTCOME_FAILED : WL_OUTCOME_REFUSED,
    .run = run_state (r),
    .reason = reason,
    .retry_after_us = retry_after_us,
  };
  wl_request_trace (entry, r->id, WL_TRACE_REFUSED, reason, 0, ctx);
  wl_request_finish (entry, r, &result, ctx);
}

static void
fail_request (WlEntry *entry, WlRequest *r, uint8_t timed_out, const WlEventContext *ctx)
{
  WlRequestResult result = {
    .outcome = r->may_have_run ? WL_OUTCOME_FAILED : WL_OUTCOME_REFUSED,
    .run = run_state (r),
    .reason = r->may_have_run ? WL_REFUSAL_NONE : WL_REFUSAL_TIME_LIMIT,
    .timed_out = timed_out,
  };
  if (!r->may_have_run && !timed_out)
    result.reason = WL_REFUSAL_NO_ENDPOINT;
  wl_effects_log (ctx->fx, timed_out ? WL4003_TIME_LIMIT_REACHED : WL4002_REQUEST_FAILED,
                  "request=%lx customer=%s attempts=%u delivered=%lu", (unsigned long)r->id,
                  r->customer, r->attempt, (unsigned long)r->delivered);
  wl_request_finish (entry, r, &result, ctx);
}

/* Closes the connections of the current attempt and reports its end to the owner. */
static void
close_attempt (WlEntry *entry, WlRequest *r, WlAttemptResult result, const WlEndEvent *end,
               const WlEventContext *ctx)
{
  WlAttemptUpdate update = {
    .request = r->id,
    .attempt = r->attempt,
    .first_token = r->has_first_token,
    .ended = 1,
    .result = (uint8_t)result,
  };
  uint32_t rank = end != NULL && end->rank < r->n_endpoints ? end->rank : 0;
  if (result == WL_ATTEMPT_FAILED || (result == WL_ATTEMPT_NOT_SENT && r->n_endpoints > 0))
    update.failed_endpoint = r->endpoints[rank].endpoint;
  if (end != NULL && result == WL_ATTEMPT_FINISHED)
    {
      update.cached_tokens = end->cached_tokens;
      update.prefill_us = end->prefill_us;
      r->cached_tokens = end->cached_tokens;
      if (r->expected_tokens > 0 || r->cached_tokens > 0)
        wl_request_trace (entry, r->id, WL_TRACE_CACHED, r->expected_tokens, r->cached_tokens, ctx);
    }
  wl_links_add_update (wl_links_get (entry, r->service, r->shard), &update);
  WlEffect *e = wl_effects_add (ctx->fx, WL_EFFECT_CLOSE_ATTEMPT);
  e->u.close_attempt.request = r->id;
  e->u.close_attempt.attempt = r->attempt;
  r->n_endpoints = 0;
}

/* ---- placement ---- */

static void
request_placement (WlEntry *entry, WlRequest *r, const WlEventContext *ctx)
{
  r->state = WL_REQUEST_PLACING;
  r->timer_us = ctx->now_us + WL_ENTRY_PLACE_RETRY_US;
  int sent = wl_links_request_placement (entry, r, ctx);
  wl_request_trace (entry, r->id, WL_TRACE_PLACE_SENT, r->attempt, (uint64_t)sent, ctx);
}

void
wl_entry_begin_placing (WlEntry *entry, WlRequest *r, const WlEventContext *ctx)
{
  r->attempt = 1;
  request_placement (entry, r, ctx);
}

static uint64_t
backoff_us (WlEntry *entry, const WlRequest *r)
{
  uint32_t doublings = r->attempt < BACKOFF_DOUBLINGS ? r->attempt : BACKOFF_DOUBLINGS;
  uint64_t span_us = (uint64_t)WL_ENTRY_BACKOFF_BASE_US << doublings;
  entry->random_state = wl_hash_ids (entry->random_state, r->id);
  return span_us / 2 + entry->random_state % span_us;
}

static int
spend_retry_budget (WlEntry *entry, const WlRequest *r, const WlEventContext *ctx)
{
  /* Resuming a stream needs no budget: the number of attempts bounds it. */
  if (r->delivered > 0)
    return 1;
  if (entry->retry_budget < BUDGET_PER_RETRY)
    {
      entry->counters.retries_denied++;
      wl_request_trace (entry, r->id, WL_TRACE_NO_BUDGET, 0, 0, ctx);
      wl_effects_log (ctx->fx, WL4004_RETRY_BUDGET_EMPTY, "request=%lx", (unsigned long)r->id);
      return 0;
    }
  entry->retry_budget -= BUDGET_PER_RETRY;
  return 1;
}

static void
exclude_endpoint (WlRequest *r, uint64_t endpoint)
{
  if (r->n_excluded == WL_GANG_MAX)
    {
      memmove (r->excluded, r->excluded + 1, (WL_GANG_MAX - 1) * sizeof *r->excluded);
      r->n_excluded--;
    }
  r->excluded[r->n_excluded++].endpoint = endpoint;
}

/* Schedules the next attempt, or ends the request when it may not be retried. */
static void
retry (WlEntry *entry, WlRequest *r, const WlEventContext *ctx)
{
  int may_run_again = r->is_idempotent || !r->may_have_run;
  uint64_t wait_us = backoff_us (entry, r);
  if (!may_run_again || r->attempt >= WL_ENTRY_ATTEMPTS_MAX
      || ctx->now_us + wait_us >= r->deadline_us || !spend_retry_budget (entry, r, ctx))
    {
      fail_request (entry, r, 0, ctx);
      return;
    }
  r->attempt++;
  r->state = WL_REQUEST_BACKOFF;
  r->timer_us = ctx->now_us + wait_us;
  entry->counters.retries++;
  entry->counters.resumes += r->delivered > 0;
  wl_request_trace (entry, r->id, WL_TRACE_RETRY, r->attempt, r->delivered, ctx);
  wl_effects_log (ctx->fx, WL4001_ATTEMPT_RETRIED, "request=%lx attempt=%u delivered=%lu",
                  (unsigned long)r->id, r->attempt, (unsigned long)r->delivered);
}

static void
handle_failed_attempt (WlEntry *entry, WlRequest *r, WlAttemptResult result, const WlEndEvent *end,
                       const WlEventContext *ctx)
{
  uint32_t rank = end != NULL && end->rank < r->n_endpoints ? end->rank : 0;
  if (r->n_endpoints > 0)
    exclude_endpoint (r, r->endpoints[rank].endpoint);
  close_attempt (entry, r, result, end, ctx);
  retry (entry, r, ctx);
}

/* ---- admission ---- */

static int
check_request (WlEntry *entry, const WlRequestEvent *e, const WlCustomer *customer,
               const WlService *service, WlRequestResult *result, uint64_t now_us)
{
  const WlSession *s = entry->session;
  result->outcome = WL_OUTCOME_REFUSED;
  result->run = WL_RUN_NOT_RUN;
  result->retry_after_us = WL_ENTRY_RETRY_AFTER_US;
  if (s->draining)
    result->reason = WL_REFUSAL_DRAINING;
  else if (!wl_session_is_valid (s, now_us))
    result->reason = WL_REFUSAL_NO_CONFIG;
  else if (customer == NULL)
    result->outcome = WL_OUTCOME_UNAUTHORIZED;
  else if (service == NULL)
    result->outcome = WL_OUTCOME_NO_SERVICE;
  else if ((e->non_idempotent || !wl_service_call_is_idempotent (service, e->path))
           && e->key[0] == '\0')
    result->outcome = WL_OUTCOME_KEY_REQUIRED;
  else if (e->prompt_tokens > service->max_prompt_tokens)
    result->reason = WL_REFUSAL_TOO_LARGE;
  else if (e->has_time_limit && e->time_limit_us == 0)
    result->reason = WL_REFUSAL_TIME_LIMIT;
  else if (apr_hash_count (entry->requests) >= WL_ENTRY_REQUESTS_MAX)
    result->reason = WL_REFUSAL_OVERLOAD;
  else
    return 1;
  if (result->reason == WL_REFUSAL_TOO_LARGE || result->reason == WL_REFUSAL_TIME_LIMIT
      || result->reason == WL_REFUSAL_NONE)
    result->retry_after_us = 0;
  return 0;
}

void
wl_entry_request (WlEntry *entry, const WlRequestEvent *request, const WlEventContext *ctx)
{
  const WlServices *services = entry->session->services;
  const WlCustomer *customer = wl_services_authenticate (services, request->api_key);
  const WlService *service = wl_services_find (services, request->service);
  WlRequestResult result = { 0 };
  entry->counters.requests++;
  if (!check_request (entry, request, customer, service, &result, ctx->now_us))
    {
      wl_request_reject (entry, request, customer, &result, ctx);
      return;
    }
  entry->counters.admitted++;
  entry->retry_budget += WL_ENTRY_RETRY_BUDGET_PERCENT;
  if (entry->retry_budget > WL_ENTRY_RETRY_BUDGET_MAX * BUDGET_PER_RETRY)
    entry->retry_budget = WL_ENTRY_RETRY_BUDGET_MAX * BUDGET_PER_RETRY;
  WlRequest *r = wl_request_create (entry, request, customer, service, ctx);
  wl_request_trace (entry, r->id, WL_TRACE_ADMITTED, r->prompt_tokens, 0, ctx);
  if (r->is_idempotent)
    wl_entry_begin_placing (entry, r, ctx);
  else
    wl_entry_send_claim (entry, r, ctx);
}

/* ---- running ---- */

static void
dispatch (WlEntry *entry, WlRequest *r, const WlGrant *g, const WlEventContext *ctx)
{
  r->state = WL_REQUEST_RUNNING;
  r->last_progress_us = ctx->now_us;
  r->n_endpoints = g->n_endpoints < WL_GANG_MAX ? g->n_endpoints : WL_GANG_MAX;
  memcpy (r->endpoints, g->endpoints, r->n_endpoints * sizeof *r->endpoints);
  r->expected_tokens = g->cached_tokens;
  r->dispatched++;
  WlLink *link = wl_links_get (entry, r->service, r->shard);
  if (link->next_renewal_us > ctx->now_us + WL_GRANT_RENEW_INTERVAL_US)
    link->next_renewal_us = ctx->now_us + WL_GRANT_RENEW_INTERVAL_US;
  entry->counters.attempts++;
  wl_request_trace (entry, r->id, WL_TRACE_GRANTED, r->endpoints[0].endpoint, g->queued_us, ctx);
  for (uint32_t rank = 0; rank < r->n_endpoints; rank++)
    {
      WlDispatch *d = &wl_effects_add (ctx->fx, WL_EFFECT_DISPATCH)->u.dispatch;
      d->request = r->id;
      d->attempt = r->attempt;
      d->rank = rank;
      d->offset = r->delivered;
      d->priority = g->priority;
      d->fresh_connection = !r->is_idempotent || r->needs_new_connection;
      d->deadline_us = r->deadline_us;
      d->n_endpoints = r->n_endpoints;
      memcpy (d->endpoints, r->endpoints, sizeof d->endpoints);
    }
}

/* Returns an unused grant to the owner. */
static void
return_grant (WlEntry *entry, const WlGrant *g)
{
  WlAttemptUpdate update = {
    .request = g->request,
    .attempt = g->attempt,
    .ended = 1,
    .result = WL_ATTEMPT_NOT_SENT,
  };
  wl_links_add_update (wl_links_get (entry, g->service, g->shard), &update);
}

static void
on_grant (WlEntry *entry, const WlGrant *g, const WlEventContext *ctx)
{
  WlRequest *r = wl_request_find (entry, g->request);
  if (r != NULL && r->state == WL_REQUEST_RUNNING && r->attempt == g->attempt)
    return;
  if (r == NULL || r->state != WL_REQUEST_PLACING || r->attempt != g->attempt
      || g->n_endpoints == 0)
    {
      return_grant (entry, g);
      return;
    }
  dispatch (entry, r, g, ctx);
}

static void
on_refusal (WlEntry *entry, const WlPlacementRefusal *p, const WlEventContext *ctx)
{
  WlRequest *r = wl_request_find (entry, p->request);
  if (r == NULL || r->state != WL_REQUEST_PLACING || r->attempt != p->attempt)
    return;
  const WlService *s = wl_services_find (entry->session->services, r->service);
  if (p->reason == WL_REFUSAL_NO_OWNER)
    {
      r->attempt++;
      request_placement (entry, r, ctx);
    }
  else if (s != NULL && s->cells > 1 && !r->tried_other_shard && !r->may_have_run)
    {
      r->tried_other_shard = 1;
      r->shard = (r->shard + 1) % s->cells;
      request_placement (entry, r, ctx);
    }
  else if (r->may_have_run && p->reason != WL_REFUSAL_TIME_LIMIT
           && p->reason != WL_REFUSAL_TOO_LARGE)
    {
      /* An earlier attempt may have run: wait and retry rather than fail the request. */
      r->state = WL_REQUEST_BACKOFF;
      r->attempt++;
      r->timer_us = ctx->now_us + p->retry_after_us;
    }
  else
    refuse_request (entry, r, (WlRefusalReason)p->reason, p->retry_after_us, ctx);
}

static void
report_first_token (WlEntry *entry, WlRequest *r, const WlEventContext *ctx)
{
  WlAttemptUpdate update = { .request = r->id, .attempt = r->attempt, .first_token = 1 };
  if (!r->has_first_token)
    {
      r->has_first_token = 1;
      r->first_token_us = ctx->now_us;
      wl_request_trace (entry, r->id, WL_TRACE_FIRST_TOKEN, ctx->now_us - r->admitted_us, 0, ctx);
    }
  wl_links_add_update (wl_links_get (entry, r->service, r->shard), &update);
}

static void
deliver (WlEntry *entry, WlRequest *r, const WlOutputEvent *o, const WlEventContext *ctx)
{
  crypto_generichash_update (&r->response_hash, o->data.data, o->data.size);
  r->delivered += o->tokens;
  entry->counters.tokens += o->tokens;
  if (!r->is_idempotent && r->plain_response.data == NULL && o->data.size > 0)
    r->plain_response = wl_bytes_dup (o->data);
  if (r->caller_disconnected)
    return;
  WlEffect *e = wl_effects_add (ctx->fx, WL_EFFECT_REPLY_CHUNK);
  e->u.chunk.request = r->id;
  e->u.chunk.tokens = o->tokens;
  e->u.chunk.data = wl_bytes_copy (ctx->fx->pool, o->data);
}

void
wl_entry_output (WlEntry *entry, const WlOutputEvent *output, const WlEventContext *ctx)
{
  WlRequest *r = wl_request_find (entry, output->request);
  if (r == NULL || r->state != WL_REQUEST_RUNNING || r->attempt != output->attempt)
    return;
  r->last_progress_us = ctx->now_us;
  r->may_have_run = 1;
  if (output->tokens == 0)
    return;
  if (output->offset + output->tokens <= r->delivered)
    {
      entry->counters.repeated_output++;
      return;
    }
  if (output->offset != r->delivered)
    {
      /* A gap or a partial overlap: this stream cannot continue the response. */
      handle_failed_attempt (entry, r, WL_ATTEMPT_FAILED, NULL, ctx);
      return;
    }
  if (!r->first_token_reported)
    {
      r->first_token_reported = 1;
      report_first_token (entry, r, ctx);
    }
  deliver (entry, r, output, ctx);
}

static void
finish_done (WlEntry *entry, WlRequest *r, const WlEndEvent *end, const WlEventContext *ctx)
{
  WlRequestResult result = { .outcome = WL_OUTCOME_DONE, .http_status = end->http_status };
  close_attempt (entry, r, WL_ATTEMPT_FINISHED, end, ctx);
  wl_request_finish (entry, r, &result, ctx);
}

void
wl_entry_end (WlEntry *entry, const WlEndEvent *end, const WlEventContext *ctx)
{
  WlRequest *r = wl_request_find (entry, end->request);
  if (r == NULL || r->state != WL_REQUEST_RUNNING || r->attempt != end->attempt)
    return;
  wl_request_trace (entry, r->id, WL_TRACE_ATTEMPT_END, end->attempt, end->kind, ctx);
  r->first_token_reported = 0;
  switch (end->kind)
    {
    case WL_END_DONE:
      r->may_have_run = 1;
      if (end->rank > 0)
        return;
      if (end->total_tokens == r->delivered)
        finish_done (entry, r, end, ctx);
      else
        handle_failed_attempt (entry, r, WL_ATTEMPT_FAILED, end, ctx);
      return;
    case WL_END_NOT_SENT:
      /* The request may have reached other endpoints of the gang. */
      if (r->n_endpoints > 1)
        r->may_have_run = 1;
      handle_failed_attempt (entry, r, r->n_endpoints > 1 ? WL_ATTEMPT_FAILED : WL_ATTEMPT_NOT_SENT,
                             end, ctx);
      return;
    case WL_END_REJECTED:
      if (r->n_endpoints > 1)
        r->may_have_run = 1;
      handle_failed_attempt (entry, r, WL_ATTEMPT_CANCELLED, end, ctx);
      return;
    case WL_END_BROKEN:
      r->may_have_run = 1;
      handle_failed_attempt (entry, r, WL_ATTEMPT_FAILED, end, ctx);
      return;
    }
}

void
wl_entry_caller_disconnected (WlEntry *entry, uint64_t id, const WlEventContext *ctx)
{
  WlRequest *r = wl_request_find (entry, id);
  if (r == NULL)
    return;
  entry->counters.callers_disconnected++;
  wl_request_trace (entry, id, WL_TRACE_CALLER_DISCONNECTED, 0, 0, ctx);
  r->caller_disconnected = 1;
  if (!r->is_idempotent)
    return; /* it continues: its outcome is stored for a repetition */
  WlRequestResult result = { .outcome = WL_OUTCOME_FAILED, .run = run_state (r) };
  if (r->state == WL_REQUEST_RUNNING)
    result.run = WL_RUN_FAILED;
  if (r->state == WL_REQUEST_RUNNING || r->state == WL_REQUEST_PLACING)
    close_attempt (entry, r, WL_ATTEMPT_CANCELLED, NULL, ctx);
  wl_request_finish (entry, r, &result, ctx);
}

/* ---- messages and timers ---- */

int
wl_entry_receive (WlEntry *entry, const WlMessage *message, const WlEventContext *ctx)
{
  switch (message->kind)
    {
    case WL_MESSAGE_GRANT:
      on_grant (entry, &message->u.grant, ctx);
      return 1;
    case WL_MESSAGE_PLACE_REFUSAL:
      on_refusal (entry, &message->u.refusal, ctx);
      return 1;
    case WL_MESSAGE_HOLD_REPLY:
      wl_links_acknowledge (entry, &message->u.hold_reply);
      return 1;
    case WL_MESSAGE_CLAIM_REPLY:
      wl_entry_on_claim_reply (entry, &message->u.claim_reply, ctx);
      return 1;
    case WL_MESSAGE_CLAIM_END_REPLY:
      wl_outbox_confirm (entry, message->u.claim_end_reply.id);
      return 1;
    default:
      return 0;
    }
}

/*
 * A plain service sends nothing before its response, so a time without output
 * does not show a stall. An idempotent call is retried after a third of its time
 * limit; for a non-idempotent one only the time limit counts.
 */
static uint64_t
stall_timeout_us (const WlRequest *r)
{
  if (!r->is_plain)
    return WL_ENTRY_STALL_TIMEOUT_US;
  if (!r->is_idempotent)
    return UINT64_MAX / 2;
  uint64_t third_us = (r->deadline_us - r->admitted_us) / 3;
  return third_us > PLAIN_STALL_TIMEOUT_MIN_US ? third_us : PLAIN_STALL_TIMEOUT_MIN_US;
}

static void
expire_request (WlEntry *entry, WlRequest *r, const WlEventContext *ctx)
{
  wl_request_trace (entry, r->id, WL_TRACE_TIMED_OUT, 0, 0, ctx);
  if (r->state == WL_REQUEST_RUNNING)
    r->may_have_run = 1;
  if (r->state == WL_REQUEST_RUNNING || r->state == WL_REQUEST_PLACING)
    close_attempt (entry, r, WL_ATTEMPT_CANCELLED, NULL, ctx);
  fail_request (entry, r, 1, ctx);
}

static void
check_timers (WlEntry *entry, WlRequest *r, const WlEventContext *ctx)
{
  if (ctx->now_us >= r->deadline_us)
    {
      expire_request (entry, r, ctx);
      return;
    }
  if (r->state == WL_REQUEST_RUNNING)
    {
      if (ctx->now_us < r->last_progress_us + stall_timeout_us (r))
        return;
      entry->counters.stalls++;
      wl_request_trace (entry, r->id, WL_TRACE_STALLED, r->attempt, 0, ctx);
      r->needs_new_connection = 1;
      r->may_have_run = 1;
      r->first_token_reported = 0;
      handle_failed_attempt (entry, r, WL_ATTEMPT_FAILED, NULL, ctx);
      return;
    }
  if (ctx->now_us < r->timer_us)
    return;
  if (r->state == WL_REQUEST_CLAIMING)
    {
      wl_effects_log (ctx->fx, WL4005_CLAIM_UNANSWERED, "request=%lx", (unsigned long)r->id);
      wl_entry_send_claim (entry, r, ctx);
    }
  else if (!r->may_have_run && ctx->now_us > r->admitted_us + OWNER_WAIT_MAX_US
           && !wl_links_get (entry, r->service, r->shard)->owner)
    refuse_request (entry, r, WL_REFUSAL_NO_OWNER, WL_ENTRY_RETRY_AFTER_US, ctx);
  else
    request_placement (entry, r, ctx);
}

void
wl_entry_tick (WlEntry *entry, const WlEventContext *ctx)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, entry->requests); i; i = apr_hash_next (i))
    check_timers (entry, apr_hash_this_val (i), ctx);
  wl_links_tick (entry, ctx);
  wl_outbox_tick (entry, ctx);
  wl_ledger_tick (&entry->ledger, wl_session_control_node (entry->session), ctx->now_us, ctx->fx);
}
