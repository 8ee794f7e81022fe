#include <inttypes.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/*
 * The stop of the node: which requests it still sends, and how the others end. An
 * endpoint may take longer than any forecast: only a request's own limit is proof that
 * it ends before the node.
 */

uint64_t
wl_relay_expected_duration_us (const WlRelayRequest *r, uint64_t now_us)
{
  const WlEngineModel *m = &r->service->engine;
  uint32_t prompt = r->choice_request.prompt;
  uint32_t output = r->choice_request.output;
  if (!r->service->has_engine)
    return r->route->objective_us;
  if (r->choice.result != WL_CHOICE_PLACED)
    return wl_forecast_prefill_us (m, prompt) + wl_forecast_decode_us (m, 1, prompt, output);
  const WlEndpoint *e = r->choice.endpoint;
  WlLoadSum s = wl_load_sum (r->relay->options.load, e->key, now_us);
  uint64_t decode_us = wl_forecast_decode_us (m, s.n_items + 1, s.decode_context + prompt, output);
  return r->choice.predicted_us + (uint64_t)((double)decode_us * wl_fleet_slowdown (e, now_us));
}

/* One that may have run arrived before the stop; no other node can be told to take it. */
static int
can_be_refused (const WlRelayRequest *r)
{
  return r->phase != WL_RELAY_ANSWERING && !r->may_have_run;
}

int
wl_relay_may_outlast_node (const WlRelayRequest *r)
{
  uint64_t close_us = r->relay->stop.close_us;
  return close_us != 0 && can_be_refused (r) && r->limit_us > close_us;
}

int
wl_relay_must_stay (const WlRelayRequest *r, uint64_t now_us)
{
  if (r->relay->stop.close_us == 0 || r->phase != WL_RELAY_ANSWERING)
    return 0;
  const WlEndpoint *e = wl_relay_current_endpoint (r);
  return e != NULL && !wl_fleet_is_overdue (e, now_us);
}

int
wl_relay_must_move (const WlRelayRequest *r, uint64_t now_us)
{
  const WlRelayStop *stop = &r->relay->stop;
  if (stop->close_us == 0 || !can_be_refused (r))
    return 0;
  switch (r->choice.result)
    {
    case WL_CHOICE_WAIT:
      return now_us >= stop->moved_us || wl_relay_may_outlast_node (r);
    case WL_CHOICE_PLACED:
      return wl_relay_may_outlast_node (r);
    case WL_CHOICE_PAST_DEADLINE:
    case WL_CHOICE_NO_ENDPOINT:
    case WL_CHOICE_TOO_LARGE:
      break;
    }
  return 0;
}

void
wl_relay_stop (WlRelay *relay, const WlRelayStop *stop)
{
  uint32_t n[WL_RELAY_ANSWERING + 1] = { 0 };
  relay->stop = *stop;
  for (const WlRelayRequest *r = relay->requests; r != NULL; r = r->next)
    n[r->phase]++;
  wl_log_eventf (WL1002_NODE_STOPPING, "waiting=%u sent=%u answering=%u close_ms=%" PRIu64,
                 n[WL_RELAY_WAITING], n[WL_RELAY_SENT], n[WL_RELAY_ANSWERING],
                 (stop->close_us - stop->began_us) / 1000);
}

static void
log_cut (const WlRelayRequest *r, uint64_t now_us)
{
  wl_log_eventf (WL4012_REQUEST_CUT,
                 "request=%s route=%s phase=%d held_ms=%" PRIu64 " after_stop_ms=%" PRId64
                 " attempts=%u endpoint=%s prompt=%u queued_bytes=%zu sent_ms=%" PRIu64
                 " expected_ms=%" PRIu64 " limit_ms=%" PRIu64,
                 r->info.id != NULL ? r->info.id : "-", r->route->name, (int)r->phase,
                 (now_us - r->arrived_us) / 1000,
                 ((int64_t)r->arrived_us - (int64_t)r->relay->stop.began_us) / 1000, r->attempts,
                 r->target.id, r->choice_request.prompt, wl_web_queued (r->web),
                 (now_us - r->sent_us) / 1000, r->expected_us / 1000,
                 (r->limit_us - r->arrived_us) / 1000);
}

static void
end_request (WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  WlWebRequest *web = r->web;
  if (r->is_parked)
    {
      wl_relay_free_request (r);
      wl_web_set_data (web, NULL);
      wl_relay_handle (relay, web);
      return;
    }
  switch (r->phase)
    {
    case WL_RELAY_WAITING:
      wl_relay_refuse (r, 0, WL_REASON_STOPPING);
      break;
    case WL_RELAY_SENT:
    case WL_RELAY_ANSWERING:
      relay->metrics.cut += r->phase == WL_RELAY_ANSWERING;
      log_cut (r, now_us);
      wl_relay_fail (r, 504, WL_REASON_STOPPING);
      break;
    }
}

void
wl_relay_close (WlRelay *relay)
{
  uint64_t now_us = wl_clock_now_us ();
  relay->is_closed = 1;
  while (relay->requests != NULL)
    end_request (relay->requests, now_us);
}
