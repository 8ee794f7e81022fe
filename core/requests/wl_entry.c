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
  BUDGET_UNIT = 100, /* hundredths of a retry */
  BUDGET_START = 20 * BUDGET_UNIT,
  OWNER_WAIT_US = 10000000, /* how long a request waits for a cell without an owner */
  BACKOFF_DOUBLINGS = 6,
  PLAIN_STALL_MIN_US = 2000000,
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
  entry->random = wl_mix (settings->seed, settings->incarnation);
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
      wl_bytes_release (&r->outcome);
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
  return apr_hash_count (entry->requests) == 0 && entry->outbox == NULL;
}

/* ---- ends ---- */

static WlRunState
run_state (const WlRequest *r)
{
  if (!r->sent)
    return WL_RUN_NOT_RUN;
  return r->is_idempotent ? WL_RUN_FAILED : WL_RUN_UNKNOWN;
}

static void
refuse (WlEntry *entry, WlRequest *r, WlRefusalReason reason, uint64_t retry_after_us,
        const WlMoment *at)
{
  WlFinish f = {
    .outcome = r->sent ? WL_OUTCOME_FAILED : WL_OUTCOME_REFUSED,
    .run = run_state (r),
    .reason = reason,
    .retry_after_us = retry_after_us,
  };
  wl_request_trace (entry, r->id, WL_TRACE_REFUSED, reason, 0, at);
  wl_request_finish (entry, r, &f, at);
}

static void
fail (WlEntry *entry, WlRequest *r, uint8_t timed_out, const WlMoment *at)
{
  WlFinish f = {
    .outcome = r->sent ? WL_OUTCOME_FAILED : WL_OUTCOME_REFUSED,
    .run = run_state (r),
    .reason = r->sent ? WL_REFUSAL_NONE : WL_REFUSAL_TIME_LIMIT,
    .timed_out = timed_out,
  };
  if (!r->sent && !timed_out)
    f.reason = WL_REFUSAL_NO_ENDPOINT;
  wl_effects_log (at->fx, timed_out ? WL4003_TIME_LIMIT_REACHED : WL4002_REQUEST_FAILED,
                  "request=%lx customer=%s attempts=%u delivered=%lu", (unsigned long)r->id,
                  r->customer, r->attempt, (unsigned long)r->delivered);
  wl_request_finish (entry, r, &f, at);
}

/* Closes the current attempt and tells the owner how it ended. */
static void
close_attempt (WlEntry *entry, WlRequest *r, WlAttemptResult result, const WlEndEvent *end,
               const WlMoment *at)
{
  WlNote note = {
    .request = r->id,
    .attempt = r->attempt,
    .first_token = r->has_first_token,
    .ended = 1,
    .result = (uint8_t)result,
  };
  uint32_t rank = end != NULL && end->rank < r->n_seats ? end->rank : 0;
  if (result == WL_ATTEMPT_FAILED || (result == WL_ATTEMPT_NOT_SENT && r->n_seats > 0))
    note.failed_endpoint = r->seats[rank].endpoint;
  if (end != NULL && result == WL_ATTEMPT_FINISHED)
    {
      note.cached_tokens = end->cached_tokens;
      note.prefill_us = end->prefill_us;
      r->cached_tokens = end->cached_tokens;
    }
  wl_links_note (wl_links_get (entry, r->service, r->shard), &note);
  WlEffect *e = wl_effects_add (at->fx, WL_EFFECT_ABANDON);
  e->u.abandon.request = r->id;
  e->u.abandon.attempt = r->attempt;
  r->n_seats = 0;
}

/* ---- placement ---- */

static void
place (WlEntry *entry, WlRequest *r, const WlMoment *at)
{
  r->state = WL_REQUEST_PLACING;
  r->timer_us = at->now_us + WL_ENTRY_PLACE_RETRY_US;
  int sent = wl_links_place (entry, r, at);
  wl_request_trace (entry, r->id, WL_TRACE_PLACE_SENT, r->attempt, (uint64_t)sent, at);
}

void
wl_entry_begin_placing (WlEntry *entry, WlRequest *r, const WlMoment *at)
{
  r->attempt = 1;
  place (entry, r, at);
}

static uint64_t
backoff_us (WlEntry *entry, const WlRequest *r)
{
  uint32_t doublings = r->attempt < BACKOFF_DOUBLINGS ? r->attempt : BACKOFF_DOUBLINGS;
  uint64_t span_us = (uint64_t)WL_ENTRY_BACKOFF_US << doublings;
  entry->random = wl_mix (entry->random, r->id);
  return span_us / 2 + entry->random % span_us;
}

static int
spend_budget (WlEntry *entry, const WlRequest *r, const WlMoment *at)
{
  /* A stream that has begun is resumed; the number of attempts bounds it. */
  if (r->delivered > 0)
    return 1;
  if (entry->retry_budget < BUDGET_UNIT)
    {
      entry->counters.retries_denied++;
      wl_request_trace (entry, r->id, WL_TRACE_NO_BUDGET, 0, 0, at);
      wl_effects_log (at->fx, WL4004_RETRY_BUDGET_EMPTY, "request=%lx", (unsigned long)r->id);
      return 0;
    }
  entry->retry_budget -= BUDGET_UNIT;
  return 1;
}

static void
avoid_endpoint (WlRequest *r, uint64_t endpoint)
{
  if (r->n_avoid == WL_GANG_MAX)
    {
      memmove (r->avoid, r->avoid + 1, (WL_GANG_MAX - 1) * sizeof *r->avoid);
      r->n_avoid--;
    }
  r->avoid[r->n_avoid++].endpoint = endpoint;
}

/* Retries after a failed attempt, or ends the request when it may not. */
static void
retry (WlEntry *entry, WlRequest *r, const WlMoment *at)
{
  int may_run_again = r->is_idempotent || !r->sent;
  uint64_t wait_us = backoff_us (entry, r);
  if (!may_run_again || r->attempt >= WL_ENTRY_ATTEMPTS_MAX
      || at->now_us + wait_us >= r->deadline_us || !spend_budget (entry, r, at))
    {
      fail (entry, r, 0, at);
      return;
    }
  r->attempt++;
  r->state = WL_REQUEST_BACKOFF;
  r->timer_us = at->now_us + wait_us;
  entry->counters.retries++;
  entry->counters.resumes += r->delivered > 0;
  wl_request_trace (entry, r->id, WL_TRACE_RETRY, r->attempt, r->delivered, at);
  wl_effects_log (at->fx, WL4001_ATTEMPT_RETRIED, "request=%lx attempt=%u delivered=%lu",
                  (unsigned long)r->id, r->attempt, (unsigned long)r->delivered);
}

static void
attempt_failed (WlEntry *entry, WlRequest *r, WlAttemptResult result, const WlEndEvent *end,
                const WlMoment *at)
{
  uint32_t rank = end != NULL && end->rank < r->n_seats ? end->rank : 0;
  if (r->n_seats > 0)
    avoid_endpoint (r, r->seats[rank].endpoint);
  close_attempt (entry, r, result, end, at);
  retry (entry, r, at);
}

/* ---- admission ---- */

static int
check_request (WlEntry *entry, const WlRequestEvent *e, const WlCustomer *customer,
               const WlService *service, WlFinish *f, uint64_t now_us)
{
  const WlSession *s = entry->session;
  f->outcome = WL_OUTCOME_REFUSED;
  f->run = WL_RUN_NOT_RUN;
  f->retry_after_us = WL_ENTRY_RETRY_AFTER_US;
  if (s->draining)
    f->reason = WL_REFUSAL_DRAINING;
  else if (!wl_session_is_valid (s, now_us))
    f->reason = WL_REFUSAL_NO_CONFIG;
  else if (customer == NULL)
    f->outcome = WL_OUTCOME_UNAUTHORIZED;
  else if (service == NULL)
    f->outcome = WL_OUTCOME_NO_SERVICE;
  else if ((e->non_idempotent || !wl_service_call_is_idempotent (service, e->path))
           && e->key[0] == '\0')
    f->outcome = WL_OUTCOME_KEY_REQUIRED;
  else if (e->prompt_tokens > service->max_prompt_tokens)
    f->reason = WL_REFUSAL_TOO_LARGE;
  else if (apr_hash_count (entry->requests) >= WL_ENTRY_REQUESTS_MAX)
    f->reason = WL_REFUSAL_OVERLOAD;
  else
    return 1;
  if (f->reason == WL_REFUSAL_TOO_LARGE || f->reason == WL_REFUSAL_NONE)
    f->retry_after_us = 0;
  return 0;
}

void
wl_entry_request (WlEntry *entry, const WlRequestEvent *request, const WlMoment *at)
{
  const WlServices *services = entry->session->services;
  const WlCustomer *customer = wl_services_authenticate (services, request->api_key);
  const WlService *service = wl_services_find (services, request->service);
  WlFinish f = { 0 };
  entry->counters.requests++;
  if (!check_request (entry, request, customer, service, &f, at->now_us))
    {
      wl_request_reject (entry, request, customer, &f, at);
      return;
    }
  entry->counters.admitted++;
  entry->retry_budget += WL_ENTRY_BUDGET_PERCENT;
  if (entry->retry_budget > WL_ENTRY_BUDGET_MAX * BUDGET_UNIT)
    entry->retry_budget = WL_ENTRY_BUDGET_MAX * BUDGET_UNIT;
  WlRequest *r = wl_request_create (entry, request, customer, service, at);
  wl_request_trace (entry, r->id, WL_TRACE_ADMITTED, r->prompt_tokens, 0, at);
  if (r->is_idempotent)
    wl_entry_begin_placing (entry, r, at);
  else
    wl_entry_send_claim (entry, r, at);
}

/* ---- running ---- */

static void
dispatch (WlEntry *entry, WlRequest *r, const WlGrant *g, const WlMoment *at)
{
  r->state = WL_REQUEST_RUNNING;
  r->progress_us = at->now_us;
  r->n_seats = g->n_seats < WL_GANG_MAX ? g->n_seats : WL_GANG_MAX;
  memcpy (r->seats, g->seats, r->n_seats * sizeof *r->seats);
  r->dispatched++;
  WlLink *link = wl_links_get (entry, r->service, r->shard);
  if (link->hold_us > at->now_us + WL_HOLD_INTERVAL_US)
    link->hold_us = at->now_us + WL_HOLD_INTERVAL_US;
  entry->counters.attempts++;
  wl_request_trace (entry, r->id, WL_TRACE_GRANTED, r->seats[0].endpoint, g->queued_us, at);
  for (uint32_t rank = 0; rank < r->n_seats; rank++)
    {
      WlDispatch *d = &wl_effects_add (at->fx, WL_EFFECT_DISPATCH)->u.dispatch;
      d->request = r->id;
      d->attempt = r->attempt;
      d->rank = rank;
      d->offset = r->delivered;
      d->priority = g->priority;
      d->fresh_connection = !r->is_idempotent || r->fresh;
      d->deadline_us = r->deadline_us;
      d->n_seats = r->n_seats;
      memcpy (d->seats, r->seats, sizeof d->seats);
    }
}

static void
return_grant (WlEntry *entry, const WlGrant *g)
{
  WlNote note = {
    .request = g->request,
    .attempt = g->attempt,
    .ended = 1,
    .result = WL_ATTEMPT_NOT_SENT,
  };
  wl_links_note (wl_links_get (entry, g->service, g->shard), &note);
}

static void
on_grant (WlEntry *entry, const WlGrant *g, const WlMoment *at)
{
  WlRequest *r = wl_request_find (entry, g->request);
  if (r != NULL && r->state == WL_REQUEST_RUNNING && r->attempt == g->attempt)
    return;
  if (r == NULL || r->state != WL_REQUEST_PLACING || r->attempt != g->attempt || g->n_seats == 0)
    {
      return_grant (entry, g);
      return;
    }
  dispatch (entry, r, g, at);
}

static void
on_refusal (WlEntry *entry, const WlPlaceRefusal *p, const WlMoment *at)
{
  WlRequest *r = wl_request_find (entry, p->request);
  if (r == NULL || r->state != WL_REQUEST_PLACING || r->attempt != p->attempt)
    return;
  const WlService *s = wl_services_find (entry->session->services, r->service);
  if (p->reason == WL_REFUSAL_NO_OWNER)
    {
      r->attempt++;
      place (entry, r, at);
    }
  else if (s != NULL && s->cells > 1 && !r->tried_other_shard && !r->sent)
    {
      r->tried_other_shard = 1;
      r->shard = (r->shard + 1) % s->cells;
      place (entry, r, at);
    }
  else if (r->sent && p->reason != WL_REFUSAL_TIME_LIMIT && p->reason != WL_REFUSAL_TOO_LARGE)
    {
      /* The attempt was not started; a begun request waits for another chance. */
      r->state = WL_REQUEST_BACKOFF;
      r->attempt++;
      r->timer_us = at->now_us + p->retry_after_us;
    }
  else
    refuse (entry, r, (WlRefusalReason)p->reason, p->retry_after_us, at);
}

static void
note_first_token (WlEntry *entry, WlRequest *r, const WlMoment *at)
{
  WlNote note = { .request = r->id, .attempt = r->attempt, .first_token = 1 };
  if (!r->has_first_token)
    {
      r->has_first_token = 1;
      r->first_token_us = at->now_us;
      wl_request_trace (entry, r->id, WL_TRACE_FIRST_TOKEN, at->now_us - r->admitted_us, 0, at);
    }
  wl_links_note (wl_links_get (entry, r->service, r->shard), &note);
}

static void
deliver (WlEntry *entry, WlRequest *r, const WlOutputEvent *o, const WlMoment *at)
{
  crypto_generichash_update (&r->answer, o->data.data, o->data.size);
  r->delivered += o->tokens;
  entry->counters.tokens += o->tokens;
  if (!r->is_idempotent && r->outcome.data == NULL && o->data.size > 0)
    r->outcome = wl_bytes_dup (o->data);
  if (r->caller_gone)
    return;
  WlEffect *e = wl_effects_add (at->fx, WL_EFFECT_REPLY_CHUNK);
  e->u.chunk.request = r->id;
  e->u.chunk.tokens = o->tokens;
  e->u.chunk.data = wl_bytes_copy (at->fx->pool, o->data);
}

void
wl_entry_output (WlEntry *entry, const WlOutputEvent *output, const WlMoment *at)
{
  WlRequest *r = wl_request_find (entry, output->request);
  if (r == NULL || r->state != WL_REQUEST_RUNNING || r->attempt != output->attempt)
    return;
  r->progress_us = at->now_us;
  r->sent = 1;
  if (output->tokens == 0)
    return;
  if (output->offset + output->tokens <= r->delivered)
    {
      entry->counters.repeated_output++;
      return;
    }
  if (output->offset != r->delivered)
    {
      /* A gap or a partial overlap: this stream cannot continue the answer. */
      attempt_failed (entry, r, WL_ATTEMPT_FAILED, NULL, at);
      return;
    }
  if (!r->first_token_noted)
    {
      r->first_token_noted = 1;
      note_first_token (entry, r, at);
    }
  deliver (entry, r, output, at);
}

static void
finish_done (WlEntry *entry, WlRequest *r, const WlEndEvent *end, const WlMoment *at)
{
  WlFinish f = { .outcome = WL_OUTCOME_DONE, .http_status = end->http_status };
  close_attempt (entry, r, WL_ATTEMPT_FINISHED, end, at);
  wl_request_finish (entry, r, &f, at);
}

void
wl_entry_end (WlEntry *entry, const WlEndEvent *end, const WlMoment *at)
{
  WlRequest *r = wl_request_find (entry, end->request);
  if (r == NULL || r->state != WL_REQUEST_RUNNING || r->attempt != end->attempt)
    return;
  wl_request_trace (entry, r->id, WL_TRACE_ATTEMPT_END, end->attempt, end->kind, at);
  r->first_token_noted = 0;
  switch (end->kind)
    {
    case WL_END_DONE:
      r->sent = 1;
      if (end->rank > 0)
        return;
      if (end->total_tokens == r->delivered)
        finish_done (entry, r, end, at);
      else
        attempt_failed (entry, r, WL_ATTEMPT_FAILED, end, at);
      return;
    case WL_END_NOT_SENT:
      /* Other endpoints of a gang may have been reached. */
      if (r->n_seats > 1)
        r->sent = 1;
      attempt_failed (entry, r, r->n_seats > 1 ? WL_ATTEMPT_FAILED : WL_ATTEMPT_NOT_SENT, end, at);
      return;
    case WL_END_REJECTED:
      if (r->n_seats > 1)
        r->sent = 1;
      attempt_failed (entry, r, WL_ATTEMPT_CANCELLED, end, at);
      return;
    case WL_END_BROKEN:
      r->sent = 1;
      attempt_failed (entry, r, WL_ATTEMPT_FAILED, end, at);
      return;
    }
}

void
wl_entry_caller_gone (WlEntry *entry, uint64_t id, const WlMoment *at)
{
  WlRequest *r = wl_request_find (entry, id);
  if (r == NULL)
    return;
  entry->counters.callers_gone++;
  wl_request_trace (entry, id, WL_TRACE_CALLER_GONE, 0, 0, at);
  r->caller_gone = 1;
  if (!r->is_idempotent)
    return; /* its outcome is kept for a repetition */
  WlFinish f = { .outcome = WL_OUTCOME_FAILED, .run = run_state (r) };
  if (r->state == WL_REQUEST_RUNNING)
    f.run = WL_RUN_FAILED;
  if (r->state == WL_REQUEST_RUNNING || r->state == WL_REQUEST_PLACING)
    close_attempt (entry, r, WL_ATTEMPT_CANCELLED, NULL, at);
  wl_request_finish (entry, r, &f, at);
}

/* ---- messages and time ---- */

int
wl_entry_receive (WlEntry *entry, const WlMessage *message, const WlMoment *at)
{
  switch (message->kind)
    {
    case WL_MESSAGE_GRANT:
      on_grant (entry, &message->u.grant, at);
      return 1;
    case WL_MESSAGE_PLACE_REFUSAL:
      on_refusal (entry, &message->u.refusal, at);
      return 1;
    case WL_MESSAGE_HOLD_REPLY:
      wl_links_acknowledge (entry, &message->u.hold_reply);
      return 1;
    case WL_MESSAGE_CLAIM_REPLY:
      wl_entry_on_claim_reply (entry, &message->u.claim_reply, at);
      return 1;
    case WL_MESSAGE_CLAIM_END_REPLY:
      wl_outbox_confirm (entry, message->u.claim_end_reply.id);
      return 1;
    default:
      return 0;
    }
}

static uint64_t
stall_limit_us (const WlRequest *r)
{
  if (!r->is_plain)
    return WL_ENTRY_STALL_US;
  if (!r->is_idempotent)
    return UINT64_MAX / 2;
  uint64_t third_us = (r->deadline_us - r->admitted_us) / 3;
  return third_us > PLAIN_STALL_MIN_US ? third_us : PLAIN_STALL_MIN_US;
}

static void
expire (WlEntry *entry, WlRequest *r, const WlMoment *at)
{
  wl_request_trace (entry, r->id, WL_TRACE_TIMED_OUT, 0, 0, at);
  if (r->state == WL_REQUEST_RUNNING)
    r->sent = 1;
  if (r->state == WL_REQUEST_RUNNING || r->state == WL_REQUEST_PLACING)
    close_attempt (entry, r, WL_ATTEMPT_CANCELLED, NULL, at);
  fail (entry, r, 1, at);
}

static void
sweep_request (WlEntry *entry, WlRequest *r, const WlMoment *at)
{
  if (at->now_us >= r->deadline_us)
    {
      expire (entry, r, at);
      return;
    }
  if (r->state == WL_REQUEST_RUNNING)
    {
      if (at->now_us < r->progress_us + stall_limit_us (r))
        return;
      entry->counters.stalls++;
      wl_request_trace (entry, r->id, WL_TRACE_STALLED, r->attempt, 0, at);
      r->fresh = 1;
      r->sent = 1;
      r->first_token_noted = 0;
      attempt_failed (entry, r, WL_ATTEMPT_FAILED, NULL, at);
      return;
    }
  if (at->now_us < r->timer_us)
    return;
  if (r->state == WL_REQUEST_CLAIMING)
    {
      wl_effects_log (at->fx, WL4005_CLAIM_UNANSWERED, "request=%lx", (unsigned long)r->id);
      wl_entry_send_claim (entry, r, at);
    }
  else if (!r->sent && at->now_us > r->admitted_us + OWNER_WAIT_US
           && !wl_links_get (entry, r->service, r->shard)->owner)
    refuse (entry, r, WL_REFUSAL_NO_OWNER, WL_ENTRY_RETRY_AFTER_US, at);
  else
    place (entry, r, at);
}

void
wl_entry_tick (WlEntry *entry, const WlMoment *at)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, entry->requests); i; i = apr_hash_next (i))
    sweep_request (entry, apr_hash_this_val (i), at);
  wl_links_tick (entry, at);
  wl_outbox_tick (entry, at);
  wl_ledger_tick (&entry->ledger, wl_session_control (entry->session), at->now_us, at->fx);
}
