#include <string.h>
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/* The last check of an attempt before it is sent: what has changed since the choice. */

enum
{
  /* Retry-After when all usable endpoints are in evacuated domains. Short, although evacuations
     last long, so that callers return soon after its end or the start of an endpoint elsewhere. */
  EVACUATED_RETRY_AFTER_US = 1000000,
};

/* The first endpoint of an attempt whose failure domain is evacuated, NULL for none. */
static const WlRelayTarget *
find_evacuated (const WlRelayRequest *r)
{
  WlFleet *fleet = r->relay->options.fleet;
  if (fleet->n_evacuated == 0)
    return NULL;
  for (uint32_t i = 0; i <= r->n_helpers; i++)
    {
      const WlRelayTarget *t = i == 0 ? &r->target : &r->helpers[i - 1];
      const WlEndpoint *e = wl_fleet_find_key (fleet, t->key);
      if (e != NULL && e->is_evacuated)
        return t;
    }
  return NULL;
}

int
wl_relay_admit_attempt (WlRelayRequest *r, uint64_t now_us)
{
  const WlRelayTarget *evacuated = find_evacuated (r);
  if (evacuated != NULL)
    {
      wl_relay_drop_permit (r, now_us);
      r->relay->metrics.evacuated_attempts++;
      wl_log_eventf (WL4017_ATTEMPT_WITHHELD, "request=%s route=%s endpoint=%s reason=evacuated",
                     r->info.id != NULL ? r->info.id : "-", r->route->name, evacuated->id);
      return 0;
    }
  if (!wl_relay_may_use_cold (r, now_us) || !wl_relay_use_permit (r, now_us))
    return 0;
  wl_relay_take_token (r, now_us);
  return 1;
}

int
wl_relay_refuse_evacuated (WlRelayRequest *r, uint64_t now_us)
{
  const WlFleet *fleet = r->relay->options.fleet;
  uint32_t n_withheld = 0;
  if (fleet->n_evacuated == 0)
    return 0;
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &fleet->endpoints[i];
      if (strcmp (e->record.service, r->service->name) != 0
          || !wl_homes_allow (r->choice_request.homes, e->record.domain))
        continue;
      if (wl_fleet_is_usable (e, now_us))
        return 0;
      n_withheld += (uint32_t)wl_fleet_is_withheld (e, now_us);
    }
  if (n_withheld == 0)
    return 0;
  wl_relay_refuse (r, EVACUATED_RETRY_AFTER_US, WL_REASON_EVACUATED);
  return 1;
}
