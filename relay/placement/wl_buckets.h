#ifndef WL_BUCKETS_H
#define WL_BUCKETS_H

#include "wl_permits.h"

/*
 * Token buckets of the limited endpoints of the services that this node issues
 * permits for. A bucket follows the limit that the table holds at the moment, starts
 * empty, and holds at most what half a second brings, or two tokens.
 */

enum
{
  WL_BUCKETS_SERVICES_MAX = 512,    /* services of one issuer */
  WL_BUCKETS_ISSUED_MAX = 512,      /* permits that may be returned */
  WL_BUCKETS_WAIT_MAX_US = 60000000 /* longer waits are not told apart */
};

typedef struct WlBuckets WlBuckets;

/** wl_buckets_create() - creates buckets of no service */
WlBuckets *wl_buckets_create (WlLimits *limits, WlFleet *fleet);

/** wl_buckets_destroy() - frees them; accepts NULL */
void wl_buckets_destroy (WlBuckets *buckets);

/**
 * wl_buckets_add_service() - adds a service whose buckets fill from @from_us on
 *
 * Return: 0 when there are too many.
 */
int wl_buckets_add_service (WlBuckets *buckets, uint64_t service, uint64_t from_us);

/** wl_buckets_has_service() - whether a service was added */
int wl_buckets_has_service (const WlBuckets *buckets, uint64_t service);

/** wl_buckets_remove_service() - removes a service and its buckets */
void wl_buckets_remove_service (WlBuckets *buckets, uint64_t service);

/** wl_buckets_restart() - empties all buckets; they fill from @from_us on */
void wl_buckets_restart (WlBuckets *buckets, uint64_t from_us);

/** wl_buckets_update() - follows limits and endpoints that came and went; cheap when none did */
void wl_buckets_update (WlBuckets *buckets, uint64_t now_us);

/** wl_buckets_has_token() - whether a permit can be issued for an ask */
int wl_buckets_has_token (WlBuckets *buckets, const WlPermitAsk *ask, uint64_t now_us);

/**
 * wl_buckets_take() - takes a token for an ask
 *
 * Of several endpoints the one that was not heard of and got no permit for longest,
 * so that the end of a limit is noticed.
 *
 * Return: key of the endpoint, 0 for none.
 */
uint64_t wl_buckets_take (WlBuckets *buckets, const WlPermitAsk *ask, uint64_t now_us);

/**
 * wl_buckets_give_back() - takes back a permit
 *
 * The token counts as far as the bucket has not been refilled in its place.
 *
 * Return: 1 when the permit was issued less than WL_PERMIT_LIFETIME_US ago; else it is ignored.
 */
int wl_buckets_give_back (WlBuckets *buckets, const WlPermitReturn *permit, uint64_t now_us);

/**
 * wl_buckets_wait_us() - time until a number of tokens for an ask will have been there
 *
 * Return: microseconds, at most WL_BUCKETS_WAIT_MAX_US; UINT64_MAX when no endpoint is usable.
 */
uint64_t wl_buckets_wait_us (WlBuckets *buckets, const WlPermitAsk *ask, uint32_t n_tokens,
                             uint64_t now_us);

/** wl_buckets_rate() - tokens for an ask in 1,000 s */
uint64_t wl_buckets_rate (WlBuckets *buckets, const WlPermitAsk *ask, uint64_t now_us);

#endif
