#include "wl_relay_internal.h"

/* The last check of an attempt before it is sent: what has changed since the choice. */

int
wl_relay_admit_attempt (WlRelayRequest *r, uint64_t now_us)
{
  return wl_relay_use_permit (r, now_us);
}

void
wl_relay_domain_returned (WlRelay *relay, const char *domain, uint64_t now_us)
{
  (void)relay;
  (void)domain;
  (void)now_us;
}
