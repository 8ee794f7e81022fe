#include <inttypes.h>
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/* What follows an attempt that failed: who is to blame, and where the request goes on. */

enum
{
  REJECTED_WAIT_US = 100000,    /* return time after endpoints were full: about one slot's turn */
  UNREACHABLE_WAIT_US = 200000, /* return time after endpoints could not be connected to */
  SILENCE_RETRY_US = 100000,    /* next look for an endpoint in place of a silent one */
  STALL_US = 1000000,           /* a helper named after so long did not answer the first engine */
};

WlEndpoint *
wl_relay_current_endpoint (const WlRelayRequest *r)
{
  return wl_fleet_find_key (r->relay->options.fleet, r->target.key);
}

void
wl_relay_blame (WlRelayRequest *r, WlEndpoint *e, WlFailure failure, WlReason reason,
                uint64_t now_us)
{
  if (e == NULL || !wl_fleet_note_failure (e, failure, now_us))
    return;
  wl_log_eventf (WL3004_ENDPOINT_EJECTED, "endpoint=%s reason=%s failures=%u until_ms=%" PRIu64,
                 e->record.id, wl_reason_name (reason), e->failures,
                 (e->ejected_until_us - now_us) / 1000);
  if (r->relay->options.suspect != NULL)
    r->relay->options.suspect (r->relay->options.data, e);
}

/* Forgets what an ended attempt has left behind. */
static void
end_attempt (WlRelayRequest *r, WlReason reason)
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
  wl_event_stream_drop (&r->events);
  wl_buffer_clear (&r->body);
}

static void
go_on_elsewhere (WlRelayRequest *r, WlReason reason, uint64_t now_us)
{
  end_attempt (r, reason);
  wl_relay_try (r, now_us);
}

/* The attempt broke, or its endpoint failed: the request may have run there. */
void
wl_relay_after_failure (WlRelayRequest *r, WlReason reason, uint64_t now_us)
{
  r->may_have_run = 1;
  wl_relay_leave_endpoint (r);
  if (wl_relay_may_repeat (r, now_us))
    go_on_elsewhere (r, reason, now_us);
  else
    wl_relay_fail (r, 502, reason);
}

static int
needs_reservations (const WlChoice *choice)
{
  for (uint32_t i = 0; i < choice->n_helpers; i++)
    if (choice->tickets[i] > 0)
      return 1;
  return 0;
}

/*
 * Leaves an endpoint whose answer may still be of use for another one that
 * takes the request now. Returns 0, and changes nothing, when there is none.
 */
int
wl_relay_replace_attempt (WlRelayRequest *r, WlReason reason, uint64_t now_us)
{
  if (r->attempts >= r->route->attempts)
    return 0;
  WlChoice other = wl_relay_choose (r, now_us);
  if (other.result != WL_CHOICE_PLACED || needs_reservations (&other))
    return 0;
  r->may_have_run = 1;
  if (!wl_relay_may_repeat (r, now_us))
    return 0;
  wl_fetch_cancel (r->call);
  r->call = NULL;
  wl_relay_leave_endpoint (r);
  end_attempt (r, reason);
  r->choice = other;
  wl_relay_start_attempt (r, now_us);
  return 1;
}

void
wl_relay_give_up_attempt (WlRelayRequest *r, uint64_t now_us)
{
  r->retry_us = now_us + SILENCE_RETRY_US;
  if (!r->is_blamed)
    wl_relay_blame (r, wl_relay_current_endpoint (r), WL_FAILURE_LOST, WL_REASON_SILENT, now_us);
  r->is_blamed = 1;
  wl_relay_replace_attempt (r, WL_REASON_SILENT, now_us);
}

/* The endpoint that a rejection is due to, NULL when it is not clear which. */
static WlEndpoint *
culprit_of (const WlRelayRequest *r)
{
  if (r->answer.fault_port != 0)
    return wl_fleet_find_address (r->relay->options.fleet, r->answer.fault_address,
                                  r->answer.fault_port);
  return r->choice.n_helpers == 0 ? wl_relay_current_endpoint (r) : NULL;
}

static void
note_culprit (WlRelayRequest *r, uint64_t now_us)
{
  WlEndpoint *e = culprit_of (r);
  if (e == NULL)
    return;
  if (e->key != r->target.key)
    wl_relay_exclude (r, e->key);
  if (r->status == 421)
    {
      wl_fleet_note_replaced (e);
      wl_log_eventf (WL3003_ENDPOINT_EXPIRED, "endpoint=%s reason=replaced", e->record.id);
    }
  else if (e->key != r->target.key && now_us > r->sent_us + STALL_US)
    wl_relay_blame (r, e, WL_FAILURE_REFUSED, WL_REASON_SILENT, now_us);
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
  wl_fetch_cancel (r->call);
  r->call = NULL;
  wl_relay_blame (r, wl_relay_current_endpoint (r), WL_FAILURE_REFUSED, WL_REASON_SILENT, now_us);
  wl_relay_after_failure (r, WL_REASON_SILENT, now_us);
}

void
wl_relay_after_rejection (WlRelayRequest *r, uint64_t now_us)
{
  note_culprit (r, now_us);
  wl_relay_leave_endpoint (r);
  if (wl_relay_may_repeat (r, now_us))
    go_on_elsewhere (r, WL_REASON_REJECTED, now_us);
  else if (r->phase == WL_RELAY_ANSWERING)
    wl_relay_fail (r, 502, WL_REASON_REJECTED);
  else
    wl_relay_refuse (r, REJECTED_WAIT_US, WL_REASON_REJECTED);
}

void
wl_relay_after_not_sent (WlRelayRequest *r, uint64_t now_us)
{
  /* A refusal comes at once; a lost packet alone is no evidence of a dead endpoint. */
  int is_refused = now_us < r->sent_us + WL_FETCH_CONNECT_US / 2;
  wl_relay_blame (r, wl_relay_current_endpoint (r),
                  is_refused ? WL_FAILURE_REFUSED : WL_FAILURE_LOST, WL_REASON_UNREACHABLE, now_us);
  wl_relay_leave_endpoint (r);
  r->connects++;
  r->attempts--;
  if (r->connects < WL_RELAY_CONNECTS_MAX && now_us < r->limit_us)
    go_on_elsewhere (r, WL_REASON_UNREACHABLE, now_us);
  else
    wl_relay_refuse (r, UNREACHABLE_WAIT_US, WL_REASON_UNREACHABLE);
}
