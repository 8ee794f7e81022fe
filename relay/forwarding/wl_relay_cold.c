#include <inttypes.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/*
 * Endpoints that are cold: they get a request only with a token, see
 * docs/design/cold-endpoints.md.
 */

enum
{
  TRY_INTERVAL_US = 20000,     /* a request that waits for a token tries other endpoints so often */
  COUNT_INTERVAL_US = 100000,  /* cold endpoints are counted so often */
  RETRY_AFTER_MAX_US = 3000000 /* longest Retry-After of a request that no cold endpoint takes */
};

/* ---- what endpoints say ---- */

static int
has_cold_service (const WlRoutes *routes)
{
  for (uint32_t i = 0; routes != NULL && i < routes->n_services; i++)
    if (routes->services[i].cold_rate > 0)
      return 1;
  return 0;
}

void
wl_relay_adopt_cold (WlRelay *relay, uint64_t now_us)
{
  int has_cold = has_cold_service (relay->routes);
  relay->options.fleet->reports_cold = (uint8_t)has_cold;
  if (!has_cold || relay->warmup != NULL)
    return;
  WlWarmupOptions options = {
    .node = relay->options.node,
    .domain = relay->options.domain,
    .over = relay->options.cold_over,
    .slack = relay->options.cold_slack,
  };
  relay->warmup = wl_warmup_create (&options, now_us);
}

void
wl_relay_note_nodes (WlRelay *relay, const WlRoster *roster, const uint32_t *seeds,
                     uint32_t n_seeds, uint64_t now_us)
{
  if (relay->warmup != NULL)
    wl_warmup_observe (relay->warmup, roster, seeds, n_seeds, now_us);
}

uint32_t
wl_relay_n_known (const WlRelay *relay)
{
  return relay->warmup != NULL ? wl_warmup_n_known (relay->warmup) : 0;
}

uint32_t
wl_relay_n_cold (const WlRelay *relay)
{
  return relay->n_cold;
}

/* Service of an endpoint whose endpoints can be cold, by the configuration in force; else NULL. */
static const WlRouteService *
find_cold_service (const WlRelay *relay, const char *name)
{
  for (uint32_t i = 0; relay->routes != NULL && i < relay->routes->n_services; i++)
    {
      const WlRouteService *s = &relay->routes->services[i];
      if (s->cold_rate > 0 && strcmp (s->name, name) == 0)
        return s;
    }
  return NULL;
}

static void
log_cold (const WlEndpoint *e, const WlRouteService *s, uint64_t now_us)
{
  uint64_t until_us = wl_fleet_cold_until_us (e, s->cold_start_us);
  if (e->cold_share.is_cold)
    wl_log_eventf (WL3016_ENDPOINT_COLD,
                   "endpoint=%s service=%s left_ms=%" PRIu64 " is_said=%u is_returned=%d",
                   e->record.id, e->record.service,
                   until_us != UINT64_MAX ? (until_us - now_us) / 1000 : 0, e->says_cold,
                   until_us == UINT64_MAX);
  else
    wl_log_eventf (WL3017_ENDPOINT_WARM, "endpoint=%s service=%s sent=%u", e->record.id,
                   e->record.service, e->cold_share.n_sent);
}

void
wl_relay_tick_cold (WlRelay *relay, uint64_t now_us)
{
  const WlFleet *fleet = relay->options.fleet;
  if (relay->warmup == NULL)
    return;
  wl_warmup_tick (relay->warmup, now_us);
  if (now_us < relay->cold_counted_us + COUNT_INTERVAL_US)
    return;
  relay->cold_counted_us = now_us;
  relay->n_cold = 0;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &fleet->endpoints[i];
      const WlRouteService *s = find_cold_service (relay, e->record.service);
      int is_cold = s != NULL && wl_warmup_is_cold (s, e, now_us);
      relay->n_cold += (uint32_t)is_cold;
      if (s == NULL || is_cold == e->cold_share.is_cold)
        continue;
      e->cold_share.is_cold = (uint8_t)is_cold;
      log_cold (e, s, now_us);
      e->cold_share.n_sent = 0;
    }
}

/* Another endpoint answers 421 at the address of this one. */
void
wl_relay_note_cold (WlRelayRequest *r, uint32_t status, uint64_t now_us)
{
  WlEndpoint *e = wl_relay_current_endpoint (r);
  if (r->response.cold_left_us > 0 && status != 421 && e != NULL)
    wl_fleet_note_cold (e, r->response.cold_left_us, now_us);
}
void
wl_relay_domain_returned (WlRelay *relay, const char *domain, uint64_t now_us)
{
  WlFleet *fleet = relay->options.fleet;
  for (uint32_t i = 0; relay->warmup != NULL && i < fleet->n_endpoints; i++)
    if (strcmp (fleet->endpoints[i].record.domain, domain) == 0)
      wl_fleet_note_returned (&fleet->endpoints[i], now_us);
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

/* Time until a cold endpoint takes the request or is warm; UINT64_MAX when there is none. */
static uint64_t
soonest_cold_us (const WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  WlFleet *fleet = relay->options.fleet;
  uint64_t soonest_us = UINT64_MAX;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &fleet->endpoints[i];
      if (strcmp (e->record.service, r->service->name) != 0 || !wl_fleet_is_usable (e, now_us)
          || is_excluded (r, e->key) || !wl_homes_allow (r->choice_request.homes, e->record.domain)
          || !wl_warmup_is_cold (r->service, e, now_us))
        continue;
      uint64_t wait_us = wl_warmup_wait_us (relay->warmup, r->service, e, now_us);
      if (wait_us == 0)
        continue; /* it was considered already */
      uint64_t until_us = wl_fleet_cold_until_us (e, r->service->cold_start_us);
      /* An endpoint of a returned domain registers about once a second. */
      uint64_t warm_us = until_us != UINT64_MAX ? until_us - now_us : WL_FLEET_OVERDUE_US / 2;
      wait_us = wait_us < warm_us ? wait_us : warm_us;
      soonest_us = wait_us < soonest_us ? wait_us : soonest_us;
    }
  return soonest_us;
}

/* Whether all engines together, cold ones included, lack the memory for a prompt. */
static int
is_too_large (const WlRelayRequest *r, uint64_t now_us)
{
  const WlFleet *fleet = r->relay->options.fleet;
  uint64_t kv_tokens = 0;
  if (!r->service->has_engine)
    return 0;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    if (strcmp (fleet->endpoints[i].record.service, r->service->name) == 0
        && wl_fleet_is_usable (&fleet->endpoints[i], now_us))
      kv_tokens += r->service->engine.kv_tokens;
  return kv_tokens > 0 && (uint64_t)r->choice_request.prompt + r->choice_request.output > kv_tokens;
}

int
wl_relay_await_token (WlRelayRequest *r, uint64_t now_us)
{
  WlChoiceResult result = r->choice.result;
  if (result == WL_CHOICE_PLACED || result == WL_CHOICE_WAIT)
    return 0;
  if (is_too_large (r, now_us))
    {
      wl_relay_refuse (r, r->limit_us > now_us ? r->limit_us - now_us : 0, WL_REASON_TOO_LARGE);
      return 1;
    }
  uint64_t wait_us = soonest_cold_us (r, now_us);
  uint64_t prefill_us = r->service->has_engine
                            ? wl_forecast_prefill_us (&r->service->engine, r->choice_request.prompt)
                            : 0;
  if (wait_us == UINT64_MAX)
    return 0;
  if (wait_us + prefill_us >= r->choice_request.deadline_us)
    {
      if (result != WL_CHOICE_NO_ENDPOINT)
        return 0;
      wl_relay_refuse (r, wait_us < RETRY_AFTER_MAX_US ? wait_us : RETRY_AFTER_MAX_US,
                       WL_REASON_COLD);
      return 1;
    }
  if (!r->waits_for_token)
    r->relay->metrics.cold_waited++;
  r->waits_for_token = 1;
  r->retry_us = now_us + (wait_us < TRY_INTERVAL_US ? wait_us : TRY_INTERVAL_US);
  return 1;
}

/* Whether a helper of the attempt is cold. */
static int
has_cold_helper (const WlRelayRequest *r, uint64_t now_us)
{
  for (uint32_t i = 0; i < r->n_helpers; i++)
    {
      const WlEndpoint *e = wl_fleet_find_key (r->relay->options.fleet, r->helpers[i].key);
      if (e != NULL && wl_warmup_is_cold (r->service, e, now_us))
        return 1;
    }
  return 0;
}

int
wl_relay_may_use_cold (const WlRelayRequest *r, uint64_t now_us)
{
  if (r->choice_request.warmup == NULL)
    return 1;
  WlEndpoint *e = wl_relay_current_endpoint (r);
  if (has_cold_helper (r, now_us))
    return 0;
  return e == NULL || !wl_warmup_is_cold (r->service, e, now_us)
         || wl_warmup_wait_us (r->relay->warmup, r->service, e, now_us) == 0;
}

void
wl_relay_take_token (WlRelayRequest *r, uint64_t now_us)
{
  if (r->choice_request.warmup == NULL)
    return;
  WlEndpoint *e = wl_relay_current_endpoint (r);
  if (e == NULL || !wl_warmup_is_cold (r->service, e, now_us))
    return;
  wl_warmup_take (r->relay->warmup, r->service, e, now_us);
  e->cold_share.n_sent++;
  r->relay->metrics.cold_sent++;
}
