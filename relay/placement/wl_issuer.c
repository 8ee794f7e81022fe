#include <stdlib.h>
#include "wl_permits.h"

struct WlIssuer
{
  WlLimits *limits;
  WlFleet *fleet;
};

WlIssuer *
wl_issuer_create (WlLimits *limits, WlFleet *fleet)
{
  WlIssuer *issuer = calloc (1, sizeof *issuer);
  if (issuer == NULL)
    abort ();
  issuer->limits = limits;
  issuer->fleet = fleet;
  return issuer;
}

void
wl_issuer_destroy (WlIssuer *issuer)
{
  free (issuer);
}

void
wl_issuer_ask (WlIssuer *issuer, uint32_t node, const WlPermitAsk *ask, int is_own_service,
               uint64_t now_us)
{
  (void)issuer, (void)node, (void)ask, (void)is_own_service, (void)now_us;
}

void
wl_issuer_return (WlIssuer *issuer, const WlPermitReturn *permit, uint64_t now_us)
{
  (void)issuer, (void)permit, (void)now_us;
}

void
wl_issuer_set_own (WlIssuer *issuer, uint64_t service, int is_own, uint64_t now_us)
{
  (void)issuer, (void)service, (void)is_own, (void)now_us;
}

void
wl_issuer_tick (WlIssuer *issuer, uint64_t now_us)
{
  (void)issuer, (void)now_us;
}

int
wl_issuer_take_answer (WlIssuer *issuer, uint32_t *node, WlPermitAnswer *out)
{
  (void)issuer, (void)node, (void)out;
  return 0;
}
