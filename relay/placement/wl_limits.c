#include <stdlib.h>
#include "wl_limits.h"

struct WlLimits
{
  uint64_t version;
};

WlLimits *
wl_limits_create (void)
{
  WlLimits *limits = calloc (1, sizeof *limits);
  if (limits == NULL)
    abort ();
  return limits;
}

void
wl_limits_destroy (WlLimits *limits)
{
  free (limits);
}

int
wl_limits_note_response (WlLimits *limits, const WlEndpoint *endpoint, int has_limit, uint64_t rate,
                         uint64_t sent_us, uint64_t now_us)
{
  (void)limits, (void)endpoint, (void)has_limit, (void)rate, (void)sent_us, (void)now_us;
  return 0;
}

uint32_t
wl_limits_apply_report (WlLimits *limits, const WlLimitReport *report, uint64_t now_us)
{
  (void)limits, (void)report, (void)now_us;
  return 0;
}

int
wl_limits_take_report (WlLimits *limits, uint64_t now_us, WlLimitReport *out)
{
  (void)limits, (void)now_us, (void)out;
  return 0;
}

int
wl_limits_full_report (WlLimits *limits, uint64_t now_us, WlLimitReport *out)
{
  (void)limits, (void)now_us, (void)out;
  return 0;
}

const WlLimit *
wl_limits_find (const WlLimits *limits, const WlEndpoint *endpoint)
{
  (void)limits, (void)endpoint;
  return NULL;
}

uint32_t
wl_limits_count (const WlLimits *limits)
{
  (void)limits;
  return 0;
}

uint64_t
wl_limits_version (const WlLimits *limits)
{
  return limits->version;
}

int
wl_limits_take_refresh (WlLimits *limits, WlFleet *fleet, const char *service, uint64_t now_us)
{
  (void)limits, (void)fleet, (void)service, (void)now_us;
  return 0;
}

void
wl_limits_expire (WlLimits *limits, WlFleet *fleet, uint64_t now_us)
{
  (void)limits, (void)fleet, (void)now_us;
}
