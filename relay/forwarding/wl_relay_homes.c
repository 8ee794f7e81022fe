#include <inttypes.h>
#include <string.h>
#include <xxhash.h>
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/* Home regions of requests: see wl_homes.h. */

enum
{
  NAMES_SIZE = 256,                 /* of the unknown regions in a log line */
  HOMELESS_RETRY_AFTER_US = 300000, /* Retry-After; an endpoint may register in a home region */
};

void
wl_relay_set_homes (WlRelayRequest *r)
{
  r->homes = (WlHomes){
    .map = &r->relay->options.regions,
    .route = &r->route->homes,
    .customer = r->customer != NULL ? &r->customer->homes : NULL,
  };
  r->choice_request.homes = wl_homes_apply (&r->homes) ? &r->homes : NULL;
}

/* Whether usable endpoints of the service exist, and none of them in a home region. */
static int
are_all_elsewhere (const WlRelayRequest *r, uint64_t now_us)
{
  const WlFleet *fleet = r->relay->options.fleet;
  int is_any = 0;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &fleet->endpoints[i];
      if (strcmp (e->record.service, r->service->name) != 0 || !wl_fleet_is_usable (e, now_us))
        continue;
      if (wl_homes_allow (&r->homes, e->record.domain))
        return 0;
      is_any = 1;
    }
  return is_any;
}

int
wl_relay_refuse_homeless (WlRelayRequest *r, int may_register, uint64_t now_us)
{
  if (r->choice_request.homes == NULL)
    return 0;
  if (wl_homes_allow_some (&r->homes) && (may_register || !are_all_elsewhere (r, now_us)))
    return 0;
  wl_relay_refuse (r, HOMELESS_RETRY_AFTER_US, WL_REASON_NO_HOME);
  return 1;
}

/* A configuration is also applied again when only other parts of its document have changed. */
void
wl_relay_log_unknown_homes (WlRelay *relay)
{
  char names[NAMES_SIZE];
  if (relay->routes == NULL)
    return;
  uint32_t n = wl_homes_unknown (&relay->options.regions, relay->routes, names, sizeof names);
  uint64_t hash = n > 0 ? XXH64 (names, strlen (names), relay->routes->version + n) : 0;
  if (hash != 0 && hash != relay->logged_homes)
    wl_log_eventf (WL2116_HOME_REGION_UNKNOWN, "config=%" PRIu64 " regions=%u names=%s",
                   relay->routes->number, n, names);
  relay->logged_homes = hash;
}
