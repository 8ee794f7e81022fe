#include <stdlib.h>
#include "wl_permits.h"

struct WlPermits
{
  uint64_t next_id;
};

uint64_t
wl_permits_service (const char *name)
{
  return wl_fleet_key (name);
}

WlPermits *
wl_permits_create (uint64_t seed)
{
  WlPermits *permits = calloc (1, sizeof *permits);
  if (permits == NULL)
    abort ();
  permits->next_id = seed;
  return permits;
}

void
wl_permits_destroy (WlPermits *permits)
{
  free (permits);
}

uint64_t
wl_permits_ask (WlPermits *permits, const WlPermitAsk *ask, uint64_t now_us, WlPermit *out)
{
  (void)permits, (void)ask, (void)now_us;
  *out = (WlPermit){ WL_PERMIT_DENIED, 0, 0 };
  return 0;
}

void
wl_permits_answer (WlPermits *permits, const WlPermitAnswer *answer, uint64_t now_us)
{
  (void)permits, (void)answer, (void)now_us;
}

WlPermit
wl_permits_state (WlPermits *permits, uint64_t id, uint64_t now_us)
{
  (void)permits, (void)id, (void)now_us;
  return (WlPermit){ WL_PERMIT_DENIED, 0, 0 };
}

void
wl_permits_use (WlPermits *permits, uint64_t id)
{
  (void)permits, (void)id;
}

void
wl_permits_drop (WlPermits *permits, uint64_t id, uint64_t now_us)
{
  (void)permits, (void)id, (void)now_us;
}

int
wl_permits_take_ask (WlPermits *permits, WlPermitAsk *out)
{
  (void)permits, (void)out;
  return 0;
}

int
wl_permits_take_return (WlPermits *permits, WlPermitReturn *out)
{
  (void)permits, (void)out;
  return 0;
}
