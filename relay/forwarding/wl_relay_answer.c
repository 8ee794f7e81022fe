#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/* Sends an attempt of a request to its endpoint and forwards the response to the caller. */

enum
{
  RESERVATION_RETRY_US = 100000, /* next placement after an engine refused a reservation */
};

static const WlFetchHandlers fetch_handlers;

static void
append_text (WlBuffer *out, const char *text)
{
  wl_buffer_append (out, (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
}

static void
append_field (WlBuffer *out, const char *name, const char *value)
{
  append_text (out, name);
  append_text (out, ": ");
  append_text (out, value);
  append_text (out, "\r\n");
}

/* ---- load reports ---- */

static void
report_work (WlRelayRequest *r, WlWorkItem item)
{
  WlRelay *relay = r->relay;
  item.id = r->number;
  item.output_tokens = r->choice_request.output;
  item.gap_ms = (uint32_t)(r->choice_request.gap_us / 1000);
  wl_load_apply_and_learn (relay->options.load, relay->options.fleet, relay->options.node,
                           relay->options.boot_id, &item, wl_clock_now_us ());
  relay->options.report_work (relay->options.data, &item);
}

static void
report_target (WlRelayRequest *r, const WlRelayTarget *t, uint64_t kv_tokens, WlWorkPhase phase)
{
  report_work (r, (WlWorkItem){
                      .endpoint = t->key,
                      .phase = (uint8_t)phase,
                      .is_helper_part = t != &r->target,
                      .kv_tokens = (uint32_t)kv_tokens,
                      .prefill_tokens = (uint32_t)r->choice.part_tokens,
                      .prefill_us = (uint32_t)r->choice.part_us,
                      .predicted_ms = t == &r->target ? (uint32_t)(r->choice.model_us / 1000) : 0,
                  });
}

static void
report_phase (WlRelayRequest *r, WlWorkPhase phase)
{
  report_target (r, &r->target, r->choice.kv_tokens, phase);
  for (uint32_t i = 0; i < r->n_helpers; i++)
    {
      const WlRelayTarget *h = &r->helpers[i];
      /* A helper without a reservation has finished when the prefill is complete. */
      int is_done = phase == WL_WORK_DECODING && h->reserved_tokens == 0;
      report_target (r, h, h->reserved_tokens, is_done ? WL_WORK_ENDED : phase);
    }
}

void
wl_relay_release_endpoints (WlRelayRequest *r)
{
  if (r->target.key == 0)
    return;
  report_phase (r, WL_WORK_ENDED);
  for (uint32_t i = 0; i < r->n_helpers; i++)
    wl_reservation_release (r->helpers[i].reservation);
  r->target.key = 0;
  r->n_helpers = 0;
  r->n_pending_reservations = 0;
  r->is_decoding = 0;
}

/* Output has arrived. The first output shows that the prefill is complete, helpers included. */
static void
record_output (WlRelayRequest *r, uint64_t now_us)
{
  uint64_t pause_us = now_us - r->progress_us;
  if (r->first_us > 0 && pause_us > r->longest_pause_us)
    r->longest_pause_us = pause_us;
  r->progress_us = now_us;
  if (r->is_decoding)
    return;
  r->is_decoding = 1;
  report_phase (r, WL_WORK_DECODING);
}

/* ---- sending ---- */

/*
 * Scheduling priority at the engine, 0 (first) to 9: 2, 4 or 6 by the route's
 * objective, plus 1 for each step of the customer's or route's priority below 1
 * (0 is the highest priority; 0 and 1 add nothing).
 */
static uint32_t
request_urgency (const WlRelayRequest *r)
{
  uint32_t priority = r->customer != NULL && r->customer->has_priority ? r->customer->priority
                                                                       : r->route->priority;
  uint32_t base = r->route->objective_us <= 500000 ? 2 : r->route->objective_us <= 1500000 ? 4 : 6;
  uint32_t urgency = base + (priority > 1 ? priority - 1 : 0);
  return urgency < 9 ? urgency : 9;
}

static void
fill_forward_fields (const WlRelayRequest *r, uint64_t now_us, WlRelayForward *f)
{
  memset (f, 0, sizeof *f);
  f->remaining_ms = (r->limit_us - now_us) / 1000;
  f->endpoint = r->target.id;
  f->customer = r->customer != NULL ? r->customer->name : NULL;
  if (r->events.n_events > 0)
    f->last_event = r->events.last_id;
  f->has_urgency = r->service->has_engine;
  f->urgency = request_urgency (r);
  f->n_helpers = r->n_helpers;
  for (uint32_t i = 0; i < r->n_helpers; i++)
    {
      const WlRelayTarget *h = &r->helpers[i];
      f->helpers[i] = (WlRelayHelper){ h->address, h->port, NULL };
      if (h->reservation != NULL)
        f->helpers[i].reservation_id = wl_reservation_id (h->reservation);
    }
}

static void
write_request_head (const WlRelayRequest *r, const WlRelayForward *f, WlBuffer *out)
{
  const WlRelayProtocol *protocol = &r->relay->options.protocol;
  const WlHttpHead *head = wl_web_head (r->web);
  WlBytes body = wl_web_body (r->web);
  char length[32];
  append_text (out, http_method_str (head->method));
  append_text (out, " ");
  append_text (out, wl_http_head_text (head, head->target));
  append_text (out, " HTTP/1.1\r\n");
  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      const char *name = wl_http_head_text (head, head->fields[i].name);
      if (wl_http_is_hop_field (head, name) || protocol->is_own_field (name, f))
        continue;
      append_field (out, name, wl_http_head_text (head, head->fields[i].value));
    }
  protocol->write_fields (f, out);
  snprintf (length, sizeof length, "%u", body.size);
  if (body.size > 0 || head->method == HTTP_POST || head->method == HTTP_PUT
      || head->method == HTTP_PATCH)
    append_field (out, "Content-Length", length);
  append_text (out, "\r\n");
}

static WlRelayTarget
make_target (const WlEndpoint *e, uint64_t tokens)
{
  WlRelayTarget t = { .key = e->key, .address = e->record.address, .reserved_tokens = tokens };
  t.port = (uint16_t)e->record.port;
  snprintf (t.id, sizeof t.id, "%s", e->record.id);
  return t;
}

static void
set_targets (WlRelayRequest *r)
{
  r->target = make_target (r->choice.endpoint, 0);
  r->n_helpers = r->choice.n_helpers;
  for (uint32_t i = 0; i < r->n_helpers; i++)
    r->helpers[i] = make_target (r->choice.helpers[i], r->choice.kv_reserved[i]);
}

void
wl_relay_exclude (WlRelayRequest *r, uint64_t key)
{
  if (r->choice_request.n_excluded
      < sizeof r->choice_request.excluded / sizeof *r->choice_request.excluded)
    r->choice_request.excluded[r->choice_request.n_excluded++] = key;
}

/*
 * On a kept connection an endpoint may repeat an earlier response. The response to a request that
 * must not run twice, to one without an id, or to an earlier attempt could not be told apart.
 */
static int
needs_new_connection (const WlRelayRequest *r)
{
  return r->route->kind == WL_ROUTE_NON_IDEMPOTENT
         || (r->route->kind == WL_ROUTE_STREAM && !r->route->can_resume) || r->info.id == NULL
         || r->attempts > 0;
}

static void
send_attempt (WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  WlRelayForward forward;
  WlBuffer head = { 0 };
  if (!wl_relay_admit_attempt (r, now_us))
    {
      wl_relay_release_endpoints (r);
      r->retry_us = now_us;
      return;
    }
  wl_relay_exclude (r, r->target.key);
  fill_forward_fields (r, now_us, &forward);
  write_request_head (r, &forward, &head);
  WlFetchRequest request = {
    .address = r->target.address,
    .port = r->target.port,
    .head = wl_buffer_bytes (&head),
    .body = wl_web_body (r->web),
    .needs_new_connection = (uint8_t)needs_new_connection (r),
    .expects_no_response_body = wl_web_head (r->web)->method == HTTP_HEAD,
  };
  r->phase = r->phase == WL_RELAY_WAITING ? WL_RELAY_SENT : r->phase;
  r->sent_us = now_us;
  r->progress_us = now_us;
  r->output_us = 0;
  r->status = 0;
  r->is_aborted = 0;
  r->is_sound = 0;
  r->is_stall_recorded = 0;
  r->is_paused = 0;
  r->is_resumed = r->phase == WL_RELAY_ANSWERING;
  r->forwards_events = 0;
  r->has_only_events = 0;
  if (r->attempts++ == 0)
    wl_histogram_add (&relay->metrics.waiting, now_us - r->arrived_us);
  wl_log_eventf (
      WL4006_REQUEST_PLACED,
      "request=%s route=%s endpoint=%s attempt=%u prompt=%u helpers=%u predicted_ms=%" PRIu64
      " config=%" PRIu64,
      r->info.id != NULL ? r->info.id : "-", r->route->name, r->target.id, r->attempts,
      r->choice_request.prompt, r->n_helpers, r->choice.predicted_us / 1000, r->routes->number);
  r->fetch = wl_fetch_client_start (relay->options.client, &request, &fetch_handlers, r);
  wl_buffer_clear (&head);
  if (r->fetch == NULL)
    {
      wl_relay_release_endpoints (r);
      wl_relay_refuse (r, 0, WL_REASON_NO_SOCKET);
    }
}

/* After the last response, sends the request if all reservations were granted, else retries. */
static void
on_reservation (void *data, int is_granted)
{
  WlRelayRequest *r = data;
  uint64_t now_us = wl_clock_now_us ();
  r->n_pending_reservations--;
  if (!is_granted)
    r->is_reservation_refused = 1;
  if (r->n_pending_reservations > 0)
    return;
  if (wl_relay_may_outlast_node (r))
    {
      wl_relay_release_endpoints (r);
      wl_relay_refuse (r, 0, WL_REASON_STOPPING);
      return;
    }
  /* After its limit the next tick ends the request. */
  if (!r->is_reservation_refused && now_us < r->limit_us)
    {
      send_attempt (r, now_us);
      return;
    }
  wl_relay_release_endpoints (r);
  r->retry_us = now_us + RESERVATION_RETRY_US;
}

void
wl_relay_start_attempt (WlRelayRequest *r, uint64_t now_us)
{
  set_targets (r);
  r->expected_us = wl_relay_expected_duration_us (r, now_us);
  report_phase (r, WL_WORK_SENT);
  r->is_reservation_refused = 0;
  r->n_pending_reservations = 0;
  for (uint32_t i = 0; i < r->n_helpers; i++)
    {
      WlRelayTarget *h = &r->helpers[i];
      if (h->reserved_tokens == 0)
        continue;
      r->n_pending_reservations++;
      h->reservation
          = wl_reservation_request (r->relay->reservations, &r->choice.helpers[i]->record,
                                    h->reserved_tokens, on_reservation, r);
    }
  if (r->n_pending_reservations == 0)
    send_attempt (r, now_us);
}

/* ---- responses ---- */

static void
save_fields (WlRelayRequest *r, const WlHttpHead *head)
{
  wl_buffer_clear (&r->fields);
  for (uint32_t i = 0; i < head->n_fields; i++)
    {
      const char *name = wl_http_head_text (head, head->fields[i].name);
      if (!wl_http_is_hop_field (head, name))
        append_field (&r->fields, name, wl_http_head_text (head, head->fields[i].value));
    }
}

static int
is_success (const WlRelayRequest *r)
{
  return r->status >= 200 && r->status < 300;
}

static int
is_typed_event_stream (const WlHttpHead *head)
{
  static const char type[] = "text/event-stream";
  const char *field = wl_http_head_field (head, "Content-Type");
  return head->status == 200 && wl_http_head_field (head, "Content-Encoding") == NULL
         && field != NULL && strncasecmp (field, type, sizeof type - 1) == 0;
}

/* Whether a successful response may be an event stream, by its header fields. */
static int
is_event_stream (const WlHttpHead *head)
{
  return is_typed_event_stream (head)
         || (head->status == 200 && wl_http_head_field (head, "Content-Encoding") == NULL
             && wl_http_head_field (head, "Content-Type") == NULL);
}

/*
 * Whether a response belongs to the current attempt. Endpoints echo the request's id. A response
 * without it belongs to the attempt only if its connection has carried no other one.
 */
static WlFetchVerdict
attribute_response (const WlRelayRequest *r)
{
  if (r->info.id == NULL)
    return WL_FETCH_TAKE; /* sent on a new connection */
  if (r->response.id == NULL)
    return wl_fetch_is_first_response (r->fetch) ? WL_FETCH_TAKE : WL_FETCH_ABORT;
  return strcmp (r->response.id, r->info.id) == 0 ? WL_FETCH_TAKE : WL_FETCH_SKIP;
}

static WlFetchVerdict
on_head (void *data, const WlHttpHead *head)
{
  WlRelayRequest *r = data;
  r->relay->options.protocol.read_response (head, &r->response);
  WlFetchVerdict verdict = attribute_response (r);
  wl_relay_note_limit (r, head->status, verdict == WL_FETCH_TAKE, wl_clock_now_us ());
  r->is_aborted = verdict == WL_FETCH_ABORT;
  if (verdict != WL_FETCH_TAKE)
    return verdict;
  r->response.id = NULL; /* the string belongs to the parsed head */
  r->status = head->status;
  r->has_marked_end = head->has_length || wl_http_head_field (head, "Transfer-Encoding") != NULL;
  r->progress_us = wl_clock_now_us ();
  r->forwards_events = is_success (r) && r->route->kind == WL_ROUTE_STREAM && r->response.is_sealed
                       && (!r->is_resumed || is_event_stream (head));
  r->is_close_delimited = head->is_close_delimited;
  r->has_only_events
      = r->forwards_events
        && (is_typed_event_stream (head) || (head->is_close_delimited && is_event_stream (head)));
  if (!r->is_resumed)
    save_fields (r, head);
  return WL_FETCH_TAKE;
}

static const char *
terminate_fields (WlRelayRequest *r)
{
  static const uint8_t zero = 0;
  wl_buffer_append (&r->fields, (WlBytes){ &zero, 1 });
  return (const char *)wl_buffer_bytes (&r->fields).data;
}

static void
forward_to_caller (WlRelayRequest *r, WlBytes bytes)
{
  if (bytes.size == 0)
    return;
  if (r->phase != WL_RELAY_ANSWERING)
    {
      wl_web_begin (r->web, r->status, terminate_fields (r));
      r->phase = WL_RELAY_ANSWERING;
      r->may_have_run = 1;
      r->first_us = wl_clock_now_us ();
    }
  wl_web_write (r->web, bytes);
  r->relay->held_bytes += bytes.size; /* until the next tick, although some may be sent by then */
  size_t limit
      = wl_relay_is_full (r->relay) ? WL_RELAY_SHARE_MAX_BYTES : WL_RELAY_QUEUE_PAUSE_BYTES;
  if (wl_web_queued (r->web) > limit && !r->is_paused && r->fetch != NULL)
    {
      r->is_paused = 1;
      wl_fetch_pause (r->fetch, 1);
    }
}

/*
 * A sealed successful stream is forwarded event by event; it fails if an
 * incomplete event exceeds the limit, or if it does not go on where
 * it was to be resumed. Any other body is kept until
 * it is complete. If it exceeds the limit, a sealed successful one
 * is forwarded in parts, any other fails, as does one in place of a resumed stream.
 * Returns 0 to fail the attempt.
 */
static int
take_body (WlRelayRequest *r, WlBytes bytes)
{
  size_t limit = wl_relay_is_full (r->relay) ? WL_RELAY_SHARE_MAX_BYTES : WL_RELAY_BODY_MAX_BYTES;
  if (!r->forwards_events)
    {
      wl_buffer_append (&r->body, bytes);
      if (wl_buffer_left (&r->body) <= limit)
        return 1;
      if (!is_success (r) || !r->response.is_sealed || r->is_resumed)
        return 0;
      forward_to_caller (r, wl_buffer_bytes (&r->body));
      wl_buffer_clear (&r->body);
      return 1;
    }
  WlBytes events = wl_event_stream_feed (&r->events, bytes);
  if (r->events.is_misplaced)
    return 0;
  if (events.size == 0)
    return wl_buffer_left (&r->events.pending) <= limit;
  record_output (r, wl_clock_now_us ());
  forward_to_caller (r, events);
  wl_event_stream_consume (&r->events, events);
  return 1;
}

static int
on_body (void *data, WlBytes bytes)
{
  WlRelayRequest *r = data;
  wl_relay_note_output (r, wl_clock_now_us ());
  uint64_t before = wl_relay_held_bytes (r);
  r->is_aborted = !take_body (r, bytes);
  r->relay->held_bytes += wl_relay_held_bytes (r) - before;
  return !r->is_aborted;
}

static WlBuffer
take_buffer (WlBuffer *buffer)
{
  WlBuffer taken = *buffer;
  *buffer = (WlBuffer){ 0 };
  return taken;
}

static void
reply_and_finish (WlRelayRequest *r, const char *outcome)
{
  WlWebRequest *web = r->web;
  if (r->phase == WL_RELAY_ANSWERING)
    {
      forward_to_caller (r, wl_buffer_bytes (&r->body));
      wl_relay_finish (r, outcome);
      wl_web_end (web, 1);
      return;
    }
  /* The reply may free the request's head, which the log of its end needs. */
  uint32_t status = r->status;
  const char *fields_text = terminate_fields (r);
  WlBuffer *kept = wl_buffer_left (&r->body) > 0 ? &r->body : &r->events.pending;
  WlBuffer fields = take_buffer (&r->fields);
  WlBuffer body = take_buffer (kept);
  wl_relay_finish (r, outcome);
  wl_web_reply (web, status, fields_text, wl_buffer_bytes (&body));
  wl_buffer_clear (&fields);
  wl_buffer_clear (&body);
}

/*
 * Whether a stream stopped within an event, or before its first one. Without a length that is no
 * error of HTTP. A stream that goes on from a given event may have none left.
 */
static int
is_stream_cut (const WlRelayRequest *r)
{
  if (wl_buffer_left (&r->events.pending) > 0)
    return r->phase == WL_RELAY_ANSWERING || r->has_only_events;
  return r->has_only_events && r->is_close_delimited && r->events.n_events == 0
         && !r->info.has_last_event;
}

static void
on_complete (WlRelayRequest *r, uint64_t now_us)
{
  WlEndpoint *e = wl_relay_current_endpoint (r);
  if ((r->response.was_not_run && !is_success (r)) || r->status == 421)
    {
      wl_relay_on_rejection (r, now_us);
      return;
    }
  r->may_have_run = 1;
  if (r->is_resumed && !r->forwards_events)
    {
      if (is_success (r) || r->status >= 500)
        wl_relay_record_failure (r, e, WL_FAILURE_ERROR, WL_REASON_ERROR, now_us);
      wl_relay_on_failure (r, WL_REASON_ERROR, now_us);
      return;
    }
  if (!r->response.is_sealed)
    {
      wl_relay_record_failure (r, wl_relay_current_endpoint (r), WL_FAILURE_LOST, WL_REASON_NO_SEAL,
                               now_us);
      wl_relay_on_failure (r, WL_REASON_NO_SEAL, now_us);
      return;
    }
  if (r->status >= 500)
    {
      wl_relay_record_failure (r, wl_relay_current_endpoint (r), WL_FAILURE_ERROR, WL_REASON_ERROR,
                               now_us);
      if (wl_relay_replace_attempt (r, WL_REASON_ERROR, now_us))
        return;
      reply_and_finish (r, "endpoint_error");
      return;
    }
  if (is_stream_cut (r))
    {
      wl_relay_note_broken (r, now_us);
      wl_relay_record_failure (r, e, WL_FAILURE_LOST, WL_REASON_BROKEN, now_us);
      wl_relay_on_failure (r, WL_REASON_BROKEN, now_us);
      return;
    }
  if (e != NULL)
    wl_fleet_note_success (e, now_us);
  wl_relay_note_complete (r, now_us);
  reply_and_finish (r, "whole");
}

static void
on_ended (void *data, WlFetchEnd end)
{
  WlRelayRequest *r = data;
  WlRelay *relay = r->relay;
  uint64_t now_us = wl_clock_now_us ();
  r->fetch = NULL;
  switch (end)
    {
    case WL_FETCH_COMPLETE:
      on_complete (r, now_us);
      break;
    case WL_FETCH_NOT_SENT:
      wl_relay_on_connect_failure (r, now_us);
      break;
    case WL_FETCH_BROKEN:
      wl_relay_note_broken (r, now_us);
      wl_relay_record_failure (r, wl_relay_current_endpoint (r), WL_FAILURE_LOST, WL_REASON_BROKEN,
                               now_us);
      wl_relay_on_failure (r, WL_REASON_BROKEN, now_us);
      break;
    case WL_FETCH_INVALID:
      /* The endpoint has not ended: this says nothing about the parts of the prompt. */
      wl_relay_record_failure (r, wl_relay_current_endpoint (r), WL_FAILURE_LOST, WL_REASON_INVALID,
                               now_us);
      wl_relay_on_failure (r, WL_REASON_INVALID, now_us);
      break;
    }
  wl_relay_end_quarantined (relay, now_us); /* @r may have ended */
}

static const WlFetchHandlers fetch_handlers = {
  .head = on_head,
  .body = on_body,
  .ended = on_ended,
};
