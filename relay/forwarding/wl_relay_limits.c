#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/*
 * Endpoints that name a limit: they get a request only with a permit, see
 * docs/design/limits.md.
 */

enum
{
  WAIT_MAX_US = 1000000,        /* longest wait for a permit */
  CHOICE_INTERVAL_US = 20000,   /* other endpoints are tried so often meanwhile */
  ASK_AGAIN_MIN_US = 50000,     /* time from a denial to the request's next ask, at least */
  ASK_AGAIN_MAX_US = 500000,    /* and at most */
  UNREADABLE_LOG_US = 10000000, /* interval of log lines on unreadable limits */
  RATE_SCALE = 1000,
};

static const char *
request_id (const WlRelayRequest *r)
{
  return r->info.id != NULL ? r->info.id : "-";
}

/* ---- what endpoints say ---- */

/* Rate of the limit in force; UINT64_MAX for none. */
static uint64_t
rate_in_force (const WlRelay *relay, const WlEndpoint *e)
{
  const WlLimit *limit = wl_limits_find (relay->limits, e);
  return limit != NULL ? limit->rate : UINT64_MAX;
}

static void
log_change (const WlRelay *relay, const WlEndpoint *e, uint64_t before, const char *cause)
{
  uint64_t rate = rate_in_force (relay, e);
  if (rate == before)
    return;
  if (rate == UINT64_MAX)
    wl_log_eventf (WL3014_LIMIT_ENDED, "endpoint=%s service=%s %s", e->record.id, e->record.service,
                   cause);
  else
    wl_log_eventf (WL3013_LIMIT_NAMED,
                   "endpoint=%s service=%s limit=%" PRIu64 ".%03" PRIu64 " is_new=%d %s",
                   e->record.id, e->record.service, rate / RATE_SCALE, rate % RATE_SCALE,
                   before == UINT64_MAX, cause);
}

static void
log_unreadable (WlRelay *relay, const WlEndpoint *e, uint64_t now_us)
{
  if (now_us < relay->unreadable_limit_us)
    return;
  relay->unreadable_limit_us = now_us + UNREADABLE_LOG_US;
  wl_log_eventf (WL3015_LIMIT_UNREADABLE, "endpoint=%s service=%s", e->record.id,
                 e->record.service);
}

void
wl_relay_note_limit (WlRelayRequest *r, uint32_t status, int is_current, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  const WlRelayResponseInfo *response = &r->response;
  WlEndpoint *e = wl_relay_current_endpoint (r);
  char cause[WL_LABEL_SIZE + 16];
  int is_named = response->limit_kind == WL_RELAY_LIMIT_NAMED;
  /* Another endpoint answers 421 at the address of this one. */
  if (e == NULL || status == 421 || (!is_current && !is_named))
    return;
  if (response->limit_kind == WL_RELAY_LIMIT_UNREADABLE)
    {
      log_unreadable (relay, e, now_us);
      return;
    }
  uint64_t before = rate_in_force (relay, e);
  snprintf (cause, sizeof cause, "request=%s", request_id (r));
  if (wl_limits_note_response (relay->limits, e, is_named, response->limit_rate,
                               is_current ? r->sent_us : 0, now_us))
    log_change (relay, e, before, cause);
}

/* The order of these responses is not known: such a word can only lower a limit. */
void
wl_relay_note_engine_limit (void *relay_data, const char *endpoint, const WlHttpHead *head)
{
  WlRelay *relay = relay_data;
  const WlEndpoint *e = wl_fleet_find (relay->options.fleet, endpoint);
  WlRelayResponseInfo response;
  relay->options.protocol.read_response (head, &response);
  if (e == NULL || head->status == 421 || response.limit_kind != WL_RELAY_LIMIT_NAMED)
    return;
  uint64_t before = rate_in_force (relay, e);
  if (wl_limits_note_response (relay->limits, e, 1, response.limit_rate, 0, wl_clock_now_us ()))
    log_change (relay, e, before, "reason=reservation");
}

void
wl_relay_apply_limit_report (WlRelay *relay, uint32_t node, const WlLimitReport *report,
                             uint64_t now_us)
{
  char cause[32];
  snprintf (cause, sizeof cause, "peer=%u", node);
  for (uint32_t i = 0; i < report->n_words; i++)
    {
      WlLimitReport word = { .words = &report->words[i], .n_words = 1 };
      const WlEndpoint *e = wl_fleet_find_key (relay->options.fleet, word.words->endpoint);
      uint64_t before = e != NULL ? rate_in_force (relay, e) : UINT64_MAX;
      if (wl_limits_apply_report (relay->limits, &word, now_us) && e != NULL)
        log_change (relay, e, before, cause);
    }
}

WlLimits *
wl_relay_limits (WlRelay *relay)
{
  return relay->limits;
}

WlPermits *
wl_relay_permits (WlRelay *relay)
{
  return relay->permits;
}

/* ---- requests ---- */

static int
is_excluded (const WlRelayRequest *r, uint64_t key)
{
  for (uint32_t i = 0; i < r->choice_request.n_excluded; i++)
    if (r->choice_request.excluded[i] == key)
      return 1;
  return 0;
}

/* The next usable endpoint with a limit that the request was not sent to; NULL at the end. */
static const WlEndpoint *
next_limited (const WlRelayRequest *r, uint32_t *i, uint64_t now_us)
{
  const WlFleet *fleet = r->relay->options.fleet;
  if (wl_limits_count (r->relay->limits) == 0)
    return NULL;
  while (*i < fleet->n_endpoints)
    {
      const WlEndpoint *e = &fleet->endpoints[(*i)++];
      if (strcmp (e->record.service, r->service->name) == 0 && wl_fleet_is_usable (e, now_us)
          && !is_excluded (r, e->key) && wl_homes_allow (&r->homes, e->record.domain)
          && wl_limits_find (r->relay->limits, e) != NULL)
        return e;
    }
  return NULL;
}

static int
has_limited (const WlRelayRequest *r, uint64_t now_us)
{
  uint32_t i = 0;
  return next_limited (r, &i, now_us) != NULL;
}

const char *
wl_relay_limit_text (const WlRelayRequest *r, char *out, size_t size)
{
  const WlEndpoint *e;
  uint32_t i = 0;
  size_t used = 0;
  uint64_t now_us = wl_clock_now_us ();
  out[0] = '\0';
  while ((e = next_limited (r, &i, now_us)) != NULL)
    {
      uint64_t rate = rate_in_force (r->relay, e);
      char entry[WL_LABEL_SIZE + 40];
      int n = snprintf (entry, sizeof entry, "%s%s:%" PRIu64 ".%03" PRIu64,
                        used == 0 ? " limited=" : ",", e->record.id, rate / RATE_SCALE,
                        rate % RATE_SCALE);
      if (used + (size_t)n >= size)
        break;
      memcpy (out + used, entry, (size_t)n + 1);
      used += (size_t)n;
    }
  return out;
}

/* Whether an endpoint without a limit serves the request well enough. */
static int
is_served_elsewhere (const WlRelayRequest *r, uint64_t now_us)
{
  const WlChoice *c = &r->choice;
  if (c->result != WL_CHOICE_PLACED)
    return 0;
  if (r->phase == WL_RELAY_ANSWERING || r->choice_request.objective_us == 0)
    return 1;
  if (r->service->has_engine)
    return c->predicted_us <= r->choice_request.objective_us;
  uint32_t slots = c->endpoint->record.slots;
  return wl_load_sum (r->relay->options.load, c->endpoint->key, now_us).n_items
         < (slots > 0 ? slots : 1);
}

/* Whether the node stops so soon that the request is not to wait for anything. */
static int
is_too_late (const WlRelayRequest *r, uint64_t now_us)
{
  const WlRelayStop *stop = &r->relay->stop;
  if (stop->close_us == 0 || r->may_have_run || r->phase == WL_RELAY_ANSWERING)
    return 0;
  return now_us >= stop->moved_us || wl_relay_may_outlast_node (r);
}

static uint64_t
wait_max_us (const WlRelayRequest *r, uint64_t now_us)
{
  uint64_t wait_us = r->choice_request.objective_us;
  if (wait_us > r->limit_us - now_us)
    wait_us = r->limit_us - now_us;
  return wait_us < WAIT_MAX_US ? wait_us : WAIT_MAX_US;
}

/* A permit for an endpoint outside the home regions could not be used. */
static void
exclude_elsewhere (const WlRelayRequest *r, WlEndpointKey *out, uint32_t *n)
{
  const WlFleet *fleet = r->relay->options.fleet;
  if (r->choice_request.homes == NULL)
    return;
  for (uint32_t i = 0; i < fleet->n_endpoints && *n < WL_PERMIT_EXCLUDED_MAX; i++)
    {
      const WlEndpoint *e = &fleet->endpoints[i];
      if (strcmp (e->record.service, r->service->name) == 0
          && !wl_homes_allow (&r->homes, e->record.domain)
          && wl_limits_find (r->relay->limits, e) != NULL)
        out[(*n)++].key = e->key;
    }
}

/* Asks for a permit if the request needs one; returns 0 when it does not, or must not ask now. */
static int
ask (WlRelayRequest *r, uint64_t now_us, WlPermit *out)
{
  WlRelay *relay = r->relay;
  WlEndpointKey excluded[WL_PERMIT_EXCLUDED_MAX];
  WlPermitAsk ask = {
    .service = wl_permits_service (r->service->name),
    .customer = r->customer != NULL ? wl_relay_hash_name (r->customer->name) : 0,
    .excluded = excluded,
  };
  if (wl_limits_count (relay->limits) == 0 || now_us >= r->limit_us || is_too_late (r, now_us))
    return 0;
  r->is_refresh = (uint8_t)is_served_elsewhere (r, now_us);
  if (r->is_refresh)
    {
      if (r->route->kind == WL_ROUTE_NON_IDEMPOTENT || r->attempts > 0
          || (r->choice_request.homes != NULL && !has_limited (r, now_us))
          || !wl_limits_take_refresh (relay->limits, relay->options.fleet, r->service->name,
                                      now_us))
        return 0;
    }
  else if (now_us < r->ask_us || !has_limited (r, now_us))
    return 0;
  else
    ask.max_wait_us = wait_max_us (r, now_us);
  for (uint32_t i = 0; i < r->choice_request.n_excluded && i < WL_PERMIT_EXCLUDED_MAX; i++)
    excluded[ask.n_excluded++].key = r->choice_request.excluded[i];
  exclude_elsewhere (r, excluded, &ask.n_excluded);
  r->permit_ask = wl_permits_ask (relay->permits, &ask, now_us, out);
  return 1;
}

void
wl_relay_drop_permit (WlRelayRequest *r, uint64_t now_us)
{
  if (r->permit_ask != 0)
    wl_permits_drop (r->relay->permits, r->permit_ask, now_us);
  r->permit_ask = 0;
  r->permitted = 0;
}

int
wl_relay_is_asking (WlRelayRequest *r, uint64_t now_us)
{
  if (r->permit_ask == 0 || now_us >= r->choose_us || is_too_late (r, now_us)
      || wl_permits_state (r->relay->permits, r->permit_ask, now_us).state != WL_PERMIT_PENDING)
    return 0;
  r->retry_us = now_us;
  return 1;
}

/* Places the request at the endpoint of its permit, unless that is no better. */
static void
take_permit (WlRelayRequest *r, uint64_t endpoint, uint64_t now_us)
{
  WlChoice other = r->choice;
  r->choice_request.permitted = endpoint;
  r->choice = wl_relay_choose (r, now_us);
  r->choice_request.permitted = 0;
  int is_worse = other.result == WL_CHOICE_PLACED && !r->is_refresh && r->service->has_engine
                 && other.predicted_us <= r->choice.predicted_us;
  if (r->choice.result == WL_CHOICE_PLACED && !is_worse)
    {
      r->permitted = endpoint;
      return;
    }
  r->choice = other;
  wl_relay_drop_permit (r, now_us);
  r->ask_us = now_us + ASK_AGAIN_MAX_US;
}

static void
note_denial (WlRelayRequest *r, uint64_t retry_after_us, uint64_t now_us)
{
  uint64_t wait_us = retry_after_us < ASK_AGAIN_MAX_US ? retry_after_us : ASK_AGAIN_MAX_US;
  wl_relay_drop_permit (r, now_us);
  r->ask_us = now_us + (wait_us > ASK_AGAIN_MIN_US ? wait_us : ASK_AGAIN_MIN_US);
  r->denied_until_us = now_us + retry_after_us;
  r->is_denied = 1;
  r->relay->metrics.permits_denied++;
}

int
wl_relay_seek_permit (WlRelayRequest *r, uint64_t now_us)
{
  WlPermit permit = { .state = WL_PERMIT_DENIED };
  if (r->permit_ask != 0
      && (is_too_late (r, now_us) || (!r->is_refresh && is_served_elsewhere (r, now_us))))
    {
      wl_relay_drop_permit (r, now_us);
      return 0;
    }
  if (r->permit_ask == 0 && !ask (r, now_us, &permit))
    return 0;
  if (r->permit_ask != 0)
    permit = wl_permits_state (r->relay->permits, r->permit_ask, now_us);
  switch (permit.state)
    {
    case WL_PERMIT_PENDING:
      r->retry_us = now_us;
      r->choose_us = now_us + CHOICE_INTERVAL_US;
      return 1;
    case WL_PERMIT_GRANTED:
      take_permit (r, permit.endpoint, now_us);
      return 0;
    case WL_PERMIT_DENIED:
      note_denial (r, permit.retry_after_us, now_us);
      return 0;
    }
  return 0;
}

int
wl_relay_refuse_limited (WlRelayRequest *r, uint64_t now_us)
{
  if (!r->is_denied || !has_limited (r, now_us))
    return 0;
  wl_relay_refuse (r, r->denied_until_us > now_us ? r->denied_until_us - now_us : 0,
                   WL_REASON_LIMIT);
  return 1;
}

int
wl_relay_use_permit (WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  const WlFleet *fleet = relay->options.fleet;
  if (r->permitted != 0 && r->permitted == r->target.key
      && wl_permits_state (relay->permits, r->permit_ask, now_us).state == WL_PERMIT_GRANTED)
    {
      wl_permits_use (relay->permits, r->permit_ask);
      r->permit_ask = 0;
      r->permitted = 0;
      relay->metrics.permits_used++;
      return 1;
    }
  wl_relay_drop_permit (r, now_us);
  if (wl_limits_count (relay->limits) == 0)
    return 1;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &fleet->endpoints[i];
      int is_met = e->key == r->target.key;
      for (uint32_t j = 0; j < r->n_helpers; j++)
        is_met |= e->key == r->helpers[j].key;
      if (is_met && wl_limits_find (relay->limits, e) != NULL)
        return 0;
    }
  return 1;
}
