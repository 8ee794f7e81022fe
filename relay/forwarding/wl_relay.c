#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_random.h"
#include "wl_relay_internal.h"
#include "wl_view.h"

enum
{
  PARK_LIMIT_US = 700000,              /* from the start; election and configuration take less */
  REGISTRATION_WAIT_US = 1800000,      /* from the start; endpoints register every second or so */
  NO_CONFIG_RETRY_AFTER_US = 300000,   /* Retry-After without a configuration */
  NO_ENDPOINT_RETRY_AFTER_US = 300000, /* Retry-After without a usable endpoint */
  TIMEOUT_RETRY_AFTER_US = 100000,     /* Retry-After of requests that found no slot in time */
  RETRY_AFTER_JITTER_US = 200000,      /* keeps refused callers from retrying all at once */
  RESUME_RETRY_US = 50000,             /* interval of tries to place a broken stream */
  FIRST_EVENT_SLACK_US = 1000000,      /* delay of the first event that counts as a stall */
  STALL_MIN_US = 900000,               /* shortest pause of a stream that counts as a stall */
  STALL_GAPS = 3,                      /* inter-token gaps of the route that count as a stall */
  RESERVATION_STALL_US = 1500000,      /* then reservations for an overdue endpoint end */
};

WlRelay *
wl_relay_create (const WlRelayOptions *options)
{
  WlRelay *relay = calloc (1, sizeof *relay);
  if (relay == NULL)
    abort ();
  relay->options = *options;
  relay->random = options->seed;
  relay->n_nodes = 1;
  relay->started_us = wl_clock_now_us ();
  relay->reservations = wl_reservations_create (
      options->client, options->protocol.write_reservation, options->boot_id);
  wl_reservations_watch (relay->reservations, wl_relay_note_engine_limit, relay);
  relay->quarantine = wl_quarantine_create ();
  relay->limits = wl_limits_create ();
  relay->permits = wl_permits_create (options->boot_id);
  return relay;
}

void
wl_relay_free_request (WlRelayRequest *r)
{
  WlRelay *relay = r->relay;
  wl_fetch_cancel (r->fetch);
  wl_relay_release_endpoints (r);
  wl_relay_drop_permit (r, wl_clock_now_us ());
  if (r->previous != NULL)
    r->previous->next = r->next;
  else
    relay->requests = r->next;
  if (r->next != NULL)
    r->next->previous = r->previous;
  relay->n_active--;
  wl_buffer_clear (&r->fields);
  wl_buffer_clear (&r->body);
  wl_event_stream_clear (&r->events);
  wl_routes_release (r->routes);
  free (r);
}

void
wl_relay_destroy (WlRelay *relay)
{
  if (relay == NULL)
    return;
  while (relay->requests != NULL)
    wl_relay_free_request (relay->requests);
  wl_reservations_destroy (relay->reservations);
  wl_quarantine_destroy (relay->quarantine);
  wl_permits_destroy (relay->permits);
  wl_limits_destroy (relay->limits);
  wl_warmup_destroy (relay->warmup);
  wl_routes_release (relay->routes);
  free (relay);
}

void
wl_relay_set_routes (WlRelay *relay, WlRoutes *routes)
{
  wl_routes_release (relay->routes);
  relay->routes = routes;
  wl_relay_log_unknown_homes (relay);
  wl_relay_adopt_cold (relay, wl_clock_now_us ());
}

const WlRoutes *
wl_relay_routes (const WlRelay *relay)
{
  return relay->routes;
}

void
wl_relay_set_nodes (WlRelay *relay, uint32_t n_nodes)
{
  relay->n_nodes = n_nodes;
}

void
wl_relay_set_load_partial (WlRelay *relay, int is_partial)
{
  relay->is_load_partial = (uint8_t)is_partial;
}

void
wl_relay_share_budgets (WlRelay *relay, uint32_t n_nodes, uint64_t now_us)
{
  wl_budget_nodes_note (&relay->budget_nodes, n_nodes, now_us);
}

uint32_t
wl_relay_active (const WlRelay *relay)
{
  return relay->n_active;
}

WlMetrics *
wl_relay_metrics (WlRelay *relay)
{
  return &relay->metrics;
}

uint64_t
wl_relay_held_bytes (const WlRelayRequest *r)
{
  return wl_buffer_left (&r->body) + wl_buffer_left (&r->events.pending);
}

int
wl_relay_is_full (const WlRelay *relay)
{
  return relay->held_bytes > WL_RELAY_HELD_MAX_BYTES;
}

/* ---- endings ---- */

static void
record_times (WlRelayRequest *r, uint64_t now_us)
{
  WlMetrics *m = &r->relay->metrics;
  uint64_t first_us = r->first_us > 0 ? r->first_us : now_us;
  m->answered++;
  wl_histogram_add (&m->first_output[wl_metrics_prompt_class (r->info.prompt)],
                    first_us - r->arrived_us);
  if (r->first_us > 0)
    wl_histogram_add (&m->longest_pause, r->longest_pause_us);
}

void
wl_relay_finish (WlRelayRequest *r, const char *outcome)
{
  uint64_t now_us = wl_clock_now_us ();
  record_times (r, now_us);
  wl_log_eventf (
      WL4007_REQUEST_ENDED,
      "request=%s route=%s outcome=%s status=%u attempts=%u endpoint=%s total_ms=%" PRIu64
      " first_ms=%" PRIu64 " predicted_ms=%" PRIu64 " pause_ms=%" PRIu64 " sent_ms=%" PRIu64
      " expected_ms=%" PRIu64,
      r->info.id != NULL ? r->info.id : "-", r->route->name, outcome, r->status, r->attempts,
      r->target.id, (now_us - r->arrived_us) / 1000,
      r->first_us > 0 ? (r->first_us - r->arrived_us) / 1000 : 0, r->choice.predicted_us / 1000,
      r->longest_pause_us / 1000, (now_us - r->sent_us) / 1000, r->expected_us / 1000);
  wl_relay_free_request (r);
}

static void
reply_unavailable (WlWebRequest *web, uint64_t retry_after_us)
{
  char fields[64];
  snprintf (fields, sizeof fields, "Retry-After: %" PRIu64 ".%03" PRIu64 "\r\n",
            retry_after_us / 1000000, retry_after_us / 1000 % 1000);
  wl_web_reply (web, 503, fields, (WlBytes){ NULL, 0 });
}

void
wl_relay_refuse (WlRelayRequest *r, uint64_t retry_after_us, WlReason reason)
{
  WlRelay *relay = r->relay;
  char part[WL_RELAY_PART_TEXT_SIZE];
  char limits[WL_RELAY_LIMIT_TEXT_SIZE];
  if (r->may_have_run)
    {
      wl_relay_fail (r, 502, reason);
      return;
    }
  retry_after_us += wl_random_next (&relay->random) % RETRY_AFTER_JITTER_US;
  relay->metrics.refused[reason]++;
  wl_log_eventf (WL4008_REQUEST_REFUSED,
                 "request=%s route=%s reason=%s held_ms=%" PRIu64 " retry_after_ms=%" PRIu64
                 " attempts=%u prompt=%u deadline_ms=%" PRIu64 " hold=%s reading_ms=%" PRIu64
                 " config=%" PRIu64 "%s%s",
                 r->info.id != NULL ? r->info.id : "-", r->route->name, wl_reason_name (reason),
                 (wl_clock_now_us () - r->arrived_us) / 1000, retry_after_us / 1000, r->attempts,
                 r->choice_request.prompt, r->choice_request.deadline_us / 1000,
                 wl_choice_hold_name (r->choice.hold), r->choice.mean_backlog_us / 1000,
                 r->routes->number, wl_relay_part_text (r, part, sizeof part),
                 wl_relay_limit_text (r, limits, sizeof limits));
  WlWebRequest *web = r->web;
  wl_relay_free_request (r);
  reply_unavailable (web, retry_after_us);
}

void
wl_relay_fail (WlRelayRequest *r, uint32_t status, WlReason reason)
{
  WlRelay *relay = r->relay;
  WlWebRequest *web = r->web;
  int has_begun = r->phase == WL_RELAY_ANSWERING;
  char part[WL_RELAY_PART_TEXT_SIZE];
  relay->metrics.failed[reason]++;
  wl_log_eventf (WL4002_REQUEST_FAILED,
                 "request=%s route=%s reason=%s status=%u held_ms=%" PRIu64
                 " attempts=%u endpoint=%s begun=%d%s",
                 r->info.id != NULL ? r->info.id : "-", r->route->name, wl_reason_name (reason),
                 status, (wl_clock_now_us () - r->arrived_us) / 1000, r->attempts, r->target.id,
                 has_begun, wl_relay_part_text (r, part, sizeof part));
  wl_relay_free_request (r);
  if (has_begun)
    wl_web_end (web, 0);
  else
    wl_web_reply (web, status, "", (WlBytes){ NULL, 0 });
}

/* ---- retry budgets ---- */

static WlBudget *
find_budget (WlRelay *relay, const char *service)
{
  for (uint32_t i = 0; i < relay->n_budgets; i++)
    if (strcmp (relay->budget_names[i], service) == 0)
      return &relay->budgets[i];
  if (relay->n_budgets == WL_RELAY_BUDGETS_MAX)
    return &relay->budgets[0]; /* further services share one budget */
  uint32_t i = relay->n_budgets++;
  snprintf (relay->budget_names[i], WL_LABEL_SIZE, "%s", service);
  relay->budgets[i] = (WlBudget){
    .ratio = relay->options.retry_ratio,
    .slack = relay->options.retry_slack,
    .window_us = relay->options.retry_window_us,
  };
  return &relay->budgets[i];
}

static int
spend_budget (WlRelayRequest *r, uint64_t now_us)
{
  WlBudget *budget = find_budget (r->relay, r->service->name);
  if (wl_budget_spend (budget, &r->relay->budget_nodes, now_us))
    return 1;
  wl_log_eventf (WL4004_RETRY_BUDGET_EMPTY, "request=%s service=%s",
                 r->info.id != NULL ? r->info.id : "-", r->service->name);
  return 0;
}

/* Only events with ids can follow a part of a response that the caller has received. */
static int
can_continue_response (const WlRelayRequest *r)
{
  return r->route->kind == WL_ROUTE_STREAM && r->route->can_resume
         && wl_event_stream_can_resume (&r->events);
}

int
wl_relay_may_retry (WlRelayRequest *r, uint64_t now_us)
{
  if (r->attempts >= r->route->attempts || now_us >= r->limit_us)
    return 0;
  if (r->phase == WL_RELAY_ANSWERING && !can_continue_response (r))
    return 0;
  switch (r->route->kind)
    {
    case WL_ROUTE_NON_IDEMPOTENT:
      if (r->may_have_run)
        return 0;
      break;
    case WL_ROUTE_STREAM:
      if (r->may_have_run && !r->route->can_resume)
        return 0;
      break;
    case WL_ROUTE_IDEMPOTENT:
      break;
    }
  return spend_budget (r, now_us);
}

/* ---- placement ---- */

/* How much of the other nodes' work is visible here depends on the number of nodes. */
static WlChoiceVisibility
load_visibility (const WlRelay *relay)
{
  if (relay->n_nodes <= WL_VIEW_MESH_NODES_MAX)
    return WL_CHOICE_SEES_ALL;
  return relay->n_nodes <= WL_VIEW_GLOBAL_LOAD_NODES_MAX ? WL_CHOICE_SEES_OTHERS_DELAYED
                                                         : WL_CHOICE_SEES_OWN_DOMAIN;
}

WlChoice
wl_relay_choose (WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  WlChoiceTimes times = {
    .arrived_us = r->arrived_us,
    .limit_us = r->limit_us,
    .last_output_us = r->first_us > 0 ? r->progress_us : r->arrived_us,
  };
  wl_choice_set_times (&r->choice_request, r->route, &times, now_us);
  r->choice_request.visibility = load_visibility (relay);
  r->choice_request.is_load_partial = relay->is_load_partial;
  return wl_choice_make (relay->options.fleet, relay->options.load, &r->choice_request, now_us,
                         wl_random_next (&relay->random));
}

/* Logs once per request why it was not placed on arrival, or after a failed attempt. */
static void
log_wait (WlRelayRequest *r)
{
  char limits[WL_RELAY_LIMIT_TEXT_SIZE];
  if (r->is_wait_logged)
    return;
  r->is_wait_logged = 1;
  wl_log_eventf (WL4011_REQUEST_WAITS,
                 "request=%s route=%s hold=%s prompt=%u reading_ms=%" PRIu64
                 " objective_ms=%" PRIu64 " deadline_ms=%" PRIu64 " config=%" PRIu64 "%s",
                 r->info.id != NULL ? r->info.id : "-", r->route->name,
                 wl_choice_hold_name (r->choice.hold), r->choice_request.prompt,
                 r->choice.mean_backlog_us / 1000, r->choice_request.objective_us / 1000,
                 r->choice_request.deadline_us / 1000, r->routes->number,
                 wl_relay_limit_text (r, limits, sizeof limits));
}

/* Whether a request has not been sent and the endpoints may not have registered yet. */
static int
awaits_registrations (const WlRelayRequest *r, uint64_t now_us)
{
  return r->attempts + r->n_connect_failures == 0
         && now_us < r->relay->started_us + REGISTRATION_WAIT_US;
}

void
wl_relay_place (WlRelayRequest *r, uint64_t now_us)
{
  if (wl_relay_refuse_quarantined (r, now_us) || wl_relay_is_asking (r, now_us))
    return;
  r->choice = wl_relay_choose (r, now_us);
  if (wl_relay_seek_permit (r, now_us) || wl_relay_refuse_trial (r, now_us))
    return;
  if (r->phase == WL_RELAY_ANSWERING && r->choice.result != WL_CHOICE_PLACED)
    {
      /* The caller has a part of the response: keep trying until the time limit. */
      r->retry_us = now_us + RESUME_RETRY_US;
      return;
    }
  if (wl_relay_must_move (r, now_us))
    {
      wl_relay_refuse (r, 0, WL_REASON_STOPPING); /* other nodes can take it at once */
      return;
    }
  if (r->choice_request.warmup != NULL && wl_relay_await_token (r, now_us))
    return;
  switch (r->choice.result)
    {
    case WL_CHOICE_PLACED:
      wl_relay_begin_trial (r, now_us);
      wl_relay_start_attempt (r, now_us);
      return;
    case WL_CHOICE_WAIT:
      log_wait (r);
      r->retry_us = now_us + r->choice.wait_us;
      return;
    case WL_CHOICE_PAST_DEADLINE:
      wl_relay_refuse (r, r->choice.wait_us, WL_REASON_DEADLINE);
      return;
    case WL_CHOICE_NO_ENDPOINT:
      /* Soon after the start of all nodes, a node in an evacuated domain may have heard of the
         endpoints of its own domain only. */
      if (!(r->relay->is_load_partial && awaits_registrations (r, now_us))
          && wl_relay_refuse_evacuated (r, now_us))
        return;
      if (wl_relay_refuse_limited (r, now_us)
          || wl_relay_refuse_homeless (r, awaits_registrations (r, now_us), now_us))
        return;
      if (awaits_registrations (r, now_us))
        {
          r->retry_us = now_us + r->choice.wait_us;
          return;
        }
      /* All endpoints were tried, or none is known. */
      wl_relay_refuse (r, NO_ENDPOINT_RETRY_AFTER_US, WL_REASON_NO_ENDPOINT);
      return;
    case WL_CHOICE_TOO_LARGE:
      wl_relay_refuse (r, r->limit_us > now_us ? r->limit_us - now_us : 0, WL_REASON_TOO_LARGE);
      return;
    }
}

static WlRelayRequest *
add_request (WlRelay *relay, WlWebRequest *web, const WlRoute *route)
{
  WlRelayRequest *r = calloc (1, sizeof *r);
  if (r == NULL)
    abort ();
  r->relay = relay;
  r->web = web;
  r->route = route;
  if (route != NULL)
    r->routes = wl_routes_retain (relay->routes);
  r->number = ++relay->next_number;
  r->next = relay->requests;
  if (r->next != NULL)
    r->next->previous = r;
  relay->requests = r;
  relay->n_active++;
  wl_web_set_data (web, r);
  return r;
}

static void
reject_request (WlRelay *relay, WlWebRequest *web, uint32_t status, WlReason reason)
{
  relay->metrics.refused[reason]++;
  const WlHttpHead *head = wl_web_head (web);
  wl_log_eventf (WL4008_REQUEST_REFUSED, "target=%.80s reason=%s status=%u config=%" PRIu64,
                 wl_http_head_text (head, head->target), wl_reason_name (reason), status,
                 relay->routes != NULL ? relay->routes->number : 0);
  wl_web_reply (web, status, "", (WlBytes){ NULL, 0 });
}

static uint32_t
expected_output (const WlRelayRequestInfo *info, const WlRouteService *service)
{
  uint32_t usual = service->engine.mean_output;
  uint32_t expected = info->output_hint > 0 ? info->output_hint : usual;
  return info->output > 0 && expected > info->output ? info->output : expected;
}

static void
begin_request (WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  uint64_t left_us = r->route->timeout_us;
  if (r->info.has_remaining && r->info.remaining_us < left_us)
    left_us = r->info.remaining_us;
  r->arrived_us = now_us;
  r->limit_us = now_us + left_us;
  r->service = &r->routes->services[wl_routes_pick (r->route, wl_random_next (&relay->random))];
  r->choice_request = (WlChoiceRequest){
    .service = r->service,
    .domain = relay->options.domain,
    .prompt = r->info.prompt,
    .output = r->service->has_engine ? expected_output (&r->info, r->service) : 0,
    .gap_us = r->route->gap_us,
    .limits = relay->limits,
    .warmup = r->service->cold_rate > 0 ? relay->warmup : NULL,
  };
  wl_relay_set_homes (r);
  relay->metrics.requests++;
  wl_budget_earn (find_budget (relay, r->service->name));
  wl_relay_begin_parts (r, now_us);
  if (left_us > 0)
    wl_relay_place (r, now_us);
  else
    wl_relay_refuse (r, TIMEOUT_RETRY_AFTER_US, WL_REASON_TIMEOUT);
}

/* Refuses a request whose route was not looked up. */
static void
refuse_unrouted (WlRelay *relay, WlWebRequest *web, uint64_t retry_after_us, WlReason reason)
{
  const WlHttpHead *head = wl_web_head (web);
  relay->metrics.refused[reason]++;
  wl_log_eventf (WL4008_REQUEST_REFUSED, "target=%.80s reason=%s",
                 wl_http_head_text (head, head->target), wl_reason_name (reason));
  reply_unavailable (web, retry_after_us);
}

/* A node that has just started has no configuration yet, but is about to receive one. */
static void
park_or_refuse (WlRelay *relay, WlWebRequest *web)
{
  if (wl_clock_now_us () > relay->started_us + PARK_LIMIT_US)
    refuse_unrouted (relay, web, NO_CONFIG_RETRY_AFTER_US, WL_REASON_NO_CONFIG);
  else
    add_request (relay, web, NULL)->is_parked = 1;
}

static void
tick_parked (WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  WlWebRequest *web = r->web;
  int has_config = relay->routes != NULL;
  if (!has_config && now_us <= relay->started_us + PARK_LIMIT_US)
    return;
  wl_relay_free_request (r);
  wl_web_set_data (web, NULL);
  if (has_config)
    wl_relay_handle (relay, web);
  else
    refuse_unrouted (relay, web, NO_CONFIG_RETRY_AFTER_US, WL_REASON_NO_CONFIG);
}

void
wl_relay_handle (void *relay_data, WlWebRequest *web)
{
  WlRelay *relay = relay_data;
  const WlHttpHead *head = wl_web_head (web);
  const char *host = wl_http_head_field (head, "Host");
  const char *target = wl_http_head_text (head, head->target);
  WlRelayRequestInfo info = { 0 };
  const WlRouteCustomer *customer = NULL;
  if (relay->is_closed)
    {
      refuse_unrouted (relay, web, 0, WL_REASON_STOPPING);
      return;
    }
  if (relay->routes == NULL)
    {
      park_or_refuse (relay, web);
      return;
    }
  const WlRoute *route = wl_routes_find (relay->routes, host != NULL ? host : "", target);
  if (route == NULL)
    {
      reject_request (relay, web, 404, WL_REASON_NO_ROUTE);
      return;
    }
  relay->options.protocol.read_request (head, &info);
  if (info.key != NULL)
    customer = wl_routes_customer (relay->routes, info.key);
  if (customer == NULL && !route->allows_anonymous && relay->routes->n_customers > 0)
    {
      reject_request (relay, web, 401, WL_REASON_UNKNOWN_KEY);
      return;
    }
  WlRelayRequest *r = add_request (relay, web, route);
  r->info = info;
  r->customer = customer;
  begin_request (r, wl_clock_now_us ());
}

void
wl_relay_disconnected (void *relay_data, WlWebRequest *web)
{
  WlRelay *relay = relay_data;
  WlRelayRequest *r = wl_web_data (web);
  if (r == NULL)
    return;
  relay->metrics.callers_disconnected++;
  if (r->is_parked)
    {
      wl_relay_free_request (r);
      return;
    }
  wl_log_eventf (WL4010_CALLER_GONE, "request=%s route=%s held_ms=%" PRIu64 " endpoint=%s phase=%d",
                 r->info.id != NULL ? r->info.id : "-", r->route->name,
                 (wl_clock_now_us () - r->arrived_us) / 1000, r->target.id, (int)r->phase);
  wl_relay_free_request (r);
}

void
wl_relay_drained (void *relay_data, WlWebRequest *web)
{
  WlRelayRequest *r = wl_web_data (web);
  (void)relay_data;
  if (r == NULL || r->fetch == NULL || !r->is_paused)
    return;
  r->is_paused = 0;
  r->progress_us = wl_clock_now_us (); /* nothing was read from the endpoint until now */
  wl_fetch_pause (r->fetch, 0);
}

/* ---- time limits ---- */

/* Longest pause between two events that the endpoint's load explains. */
static uint64_t
expected_pause_us (const WlRelayRequest *r, uint64_t now_us)
{
  const WlEngineModel *m = &r->service->engine;
  WlLoadSum s = wl_load_sum (r->relay->options.load, r->target.key, now_us);
  if (!r->service->has_engine)
    return 0;
  return s.prefill_us + wl_forecast_iteration_us (m, s.decodes, s.decode_context, 0, 0);
}

/*
 * Whether an endpoint that neither answers nor renews its registration has
 * reservations at other engines. They must be released soon after it has died.
 */
static int
holds_memory_for_dead_endpoint (const WlRelayRequest *r, uint64_t now_us)
{
  if (now_us <= r->progress_us + RESERVATION_STALL_US || !wl_relay_holds_memory (r))
    return 0;
  const WlEndpoint *e = wl_relay_current_endpoint (r);
  return e == NULL || wl_fleet_is_overdue (e, now_us);
}

/* Whether an endpoint has sent nothing for longer than its load explains. */
static int
is_unresponsive (const WlRelayRequest *r, uint64_t now_us)
{
  if (r->route->kind != WL_ROUTE_STREAM || !r->route->can_resume || r->is_paused)
    return 0;
  uint64_t gap_us = STALL_GAPS * r->route->gap_us;
  uint64_t allowed_us = gap_us > STALL_MIN_US ? gap_us : STALL_MIN_US;
  uint64_t since_us = r->progress_us;
  if (!r->is_decoding)
    {
      since_us = r->sent_us + r->choice.predicted_us;
      allowed_us = FIRST_EVENT_SLACK_US;
    }
  /* The load is summed up only once the basic limit has passed. */
  if (now_us <= since_us + allowed_us)
    return 0;
  return now_us > since_us + allowed_us + expected_pause_us (r, now_us);
}

static void
tick_request (WlRelayRequest *r, uint64_t now_us)
{
  if (r->is_parked)
    {
      tick_parked (r, now_us);
      return;
    }
  if (now_us >= r->limit_us)
    {
      if (r->phase == WL_RELAY_WAITING && !r->may_have_run)
        wl_relay_refuse (r, TIMEOUT_RETRY_AFTER_US, WL_REASON_TIMEOUT);
      else
        wl_relay_fail (r, 504, WL_REASON_TIMEOUT);
      return;
    }
  if (r->fetch == NULL && r->n_pending_reservations == 0 && now_us >= r->retry_us)
    wl_relay_place (r, now_us);
  else if (r->fetch != NULL && holds_memory_for_dead_endpoint (r, now_us))
    wl_relay_abandon_attempt (r, now_us);
  else if (r->fetch != NULL && now_us >= r->retry_us && is_unresponsive (r, now_us))
    wl_relay_replace_unresponsive (r, now_us);
}

static uint64_t
sum_held_bytes (const WlRelay *relay)
{
  uint64_t bytes = relay->requests != NULL ? wl_web_queued_all (relay->requests->web) : 0;
  for (const WlRelayRequest *r = relay->requests; r != NULL; r = r->next)
    bytes += wl_relay_held_bytes (r);
  return bytes;
}

void
wl_relay_tick (WlRelay *relay, uint64_t now_us)
{
  relay->held_bytes = sum_held_bytes (relay);
  wl_reservations_tick (relay->reservations, now_us);
  wl_relay_end_quarantined (relay, now_us);
  wl_relay_tick_cold (relay, now_us);
  for (WlRelayRequest *r = relay->requests; r != NULL;)
    {
      WlRelayRequest *next = r->next; /* a tick frees at most its own request */
      tick_request (r, now_us);
      r = next;
    }
}
