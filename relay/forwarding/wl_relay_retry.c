#include <inttypes.h>
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/* Failed attempts: records which endpoint failed, then retries the request or ends it. */

enum
{
  REJECTED_RETRY_AFTER_US = 100000,    /* Retry-After of full endpoints: until a slot is free */
  UNREACHABLE_RETRY_AFTER_US = 200000, /* Retry-After when connecting failed */
  STALL_RETRY_US = 100000,     /* interval of attempts to replace an unresponsive endpoint */
  HELPER_TIMEOUT_US = 1000000, /* after it, a helper that a rejection names was unresponsive */
};

WlEndpoint *
wl_relay_current_endpoint (const WlRelayRequest *r)
{
  return wl_fleet_find_key (r->relay->options.fleet, r->target.key);
}

void
wl_relay_record_failure (WlRelayRequest *r, WlEndpoint *e, WlFailure failure, WlReason reason,
                         uint64_t now_us)
{
  if (e == NULL || !wl_fleet_note_failure (e, failure, now_us))
    return;
  wl_log_eventf (WL3004_ENDPOINT_EJECTED, "endpoint=%s reason=%s failures=%u until_ms=%" PRIu64,
                 e->record.id, wl_reason_name (reason), e->failures,
                 (e->ejected_until_us - now_us) / 1000);
  if (r->relay->options.report_ejection != NULL)
    r->relay->options.report_ejection (r->relay->options.data, e);
}

/* Counts a retry and discards the state of the failed attempt. */
static void
discard_attempt (WlRelayRequest *r, WlReason reason)
{
  r->relay->metrics.repeated[reason]++;
  wl_log_eventf (r->phase == WL_RELAY_ANSWERING ? WL4009_STREAM_RESUMED : WL4001_ATTEMPT_RETRIED,
                 "request=%s reason=%s endpoint=%s attempts=%u last_event=%s",
                 r->info.id != NULL ? r->info.id : "-", wl_reason_name (reason), r->target.id,
                 r->attempts, r->events.last_id);
  if (r->phase == WL_RELAY_ANSWERING)
    r->relay->metrics.resumed++;
  else
    {
      r->phase = WL_RELAY_WAITING;
      wl_buffer_clear (&r->fields);
    }
  wl_event_stream_discard_partial (&r->events);
  wl_buffer_clear (&r->body);
}

static void
retry_elsewhere (WlRelayRequest *r, WlReason reason, uint64_t now_us)
{
  discard_attempt (r, reason);
  wl_relay_place (r, now_us);
}

void
wl_relay_on_failure (WlRelayRequest *r, WlReason reason, uint64_t now_us)
{
  r->may_have_run = 1;
  wl_relay_release_endpoints (r);
  if (wl_relay_refuse_quarantined (r, now_us))
    return;
  if (wl_relay_may_retry (r, now_us))
    retry_elsewhere (r, reason, now_us);
  else
    wl_relay_fail (r, 502, reason);
}

static int
needs_reservations (const WlChoice *choice)
{
  for (uint32_t i = 0; i < choice->n_helpers; i++)
    if (choice->kv_reserved[i] > 0)
      return 1;
  return 0;
}

/* A placement that still needs reservations does not count: an engine may refuse them. */
int
wl_relay_replace_attempt (WlRelayRequest *r, WlReason reason, uint64_t now_us)
{
  if (r->attempts >= r->route->attempts || wl_relay_is_quarantined (r, now_us))
    return 0;
  WlChoice other = wl_relay_choose (r, now_us);
  if (other.result != WL_CHOICE_PLACED || needs_reservations (&other))
    return 0;
  /* While the attempt goes on its response may still say that the request was not run. */
  uint8_t had_run = r->may_have_run;
  r->may_have_run = 1;
  if (!wl_relay_may_retry (r, now_us))
    {
      r->may_have_run = had_run;
      return 0;
    }
  wl_fetch_cancel (r->fetch);
  r->fetch = NULL;
  wl_relay_release_endpoints (r);
  discard_attempt (r, reason);
  r->choice = other;
  wl_relay_start_attempt (r, now_us);
  return 1;
}

void
wl_relay_replace_unresponsive (WlRelayRequest *r, uint64_t now_us)
{
  r->retry_us = now_us + STALL_RETRY_US;
  if (!r->is_stall_recorded)
    wl_relay_record_failure (r, wl_relay_current_endpoint (r), WL_FAILURE_LOST, WL_REASON_SILENT,
                             now_us);
  r->is_stall_recorded = 1;
  if (wl_relay_must_stay (r, now_us))
    return;
  wl_relay_replace_attempt (r, WL_REASON_SILENT, now_us);
}

/* The endpoint that caused a rejection, NULL when unknown. */
static WlEndpoint *
rejection_cause (const WlRelayRequest *r)
{
  if (r->response.fault_port != 0)
    return wl_fleet_find_address (r->relay->options.fleet, r->response.fault_address,
                                  r->response.fault_port);
  return r->choice.n_helpers == 0 ? wl_relay_current_endpoint (r) : NULL;
}

static void
handle_rejection_cause (WlRelayRequest *r, uint64_t now_us)
{
  WlEndpoint *e = rejection_cause (r);
  if (e == NULL)
    return;
  if (e->key != r->target.key)
    wl_relay_exclude (r, e->key);
  if (r->status == 421)
    {
      wl_fleet_note_replaced (e);
      wl_log_eventf (WL3003_ENDPOINT_EXPIRED, "endpoint=%s reason=replaced", e->record.id);
    }
  else if (e->key != r->target.key && now_us > r->sent_us + HELPER_TIMEOUT_US)
    wl_relay_record_failure (r, e, WL_FAILURE_REFUSED, WL_REASON_SILENT, now_us);
}

int
wl_relay_holds_memory (const WlRelayRequest *r)
{
  for (uint32_t i = 0; i < r->n_helpers; i++)
    if (r->helpers[i].reservation != NULL)
      return 1;
  return 0;
}

void
wl_relay_abandon_attempt (WlRelayRequest *r, uint64_t now_us)
{
  wl_fetch_cancel (r->fetch);
  r->fetch = NULL;
  wl_relay_record_failure (r, wl_relay_current_endpoint (r), WL_FAILURE_REFUSED, WL_REASON_SILENT,
                           now_us);
  wl_relay_on_failure (r, WL_REASON_SILENT, now_us);
}

void
wl_relay_on_rejection (WlRelayRequest *r, uint64_t now_us)
{
  handle_rejection_cause (r, now_us);
  wl_relay_release_endpoints (r);
  if (wl_relay_refuse_quarantined (r, now_us))
    return;
  if (wl_relay_may_retry (r, now_us))
    retry_elsewhere (r, WL_REASON_REJECTED, now_us);
  else if (r->phase == WL_RELAY_ANSWERING)
    wl_relay_fail (r, 502, WL_REASON_REJECTED);
  else
    wl_relay_refuse (r, REJECTED_RETRY_AFTER_US, WL_REASON_REJECTED);
}

void
wl_relay_on_connect_failure (WlRelayRequest *r, uint64_t now_us)
{
  /* A refused connection fails at once. Later it is a timeout, which one lost packet can cause. */
  int is_connection_refused = now_us < r->sent_us + WL_FETCH_CONNECT_US / 2;
  if (is_connection_refused)
    wl_relay_note_refused (r, now_us);
  wl_relay_record_failure (r, wl_relay_current_endpoint (r),
                           is_connection_refused ? WL_FAILURE_REFUSED : WL_FAILURE_LOST,
                           WL_REASON_UNREACHABLE, now_us);
  wl_relay_release_endpoints (r);
  r->n_connect_failures++;
  r->attempts--;
  if (r->n_connect_failures < WL_RELAY_CONNECT_FAILURES_MAX && now_us < r->limit_us)
    retry_elsewhere (r, WL_REASON_UNREACHABLE, now_us);
  else
    wl_relay_refuse (r, UNREACHABLE_RETRY_AFTER_US, WL_REASON_UNREACHABLE);
}
