#include <stdlib.h>
#include <string.h>
#include <apr_hash.h>
#include "wl_buckets.h"

enum
{
  UPDATE_US = 100000,       /* endpoints and words on limits are followed so often */
  REFILL_MAX_US = 10000000, /* fills any bucket */
  CAPACITY_US = 500000,     /* a bucket holds what this time brings */
  WAIT_STEP_US = 1000,      /* resolution of waits */
};

/* Rates are per 1,000 s and times in us, so a token is exactly so many of their products. */
#define TOKEN UINT64_C (1000000000)

/**
 * struct Bucket - the bucket of one endpoint
 * @endpoint: its key
 * @service: its service
 * @position: where the fleet had it
 * @rate: tokens in 1,000 s
 * @capacity: what it holds
 * @level: what is in it
 * @filled_us: up to when it was filled; in the future while it is held empty
 * @used_us: latest permit
 * @heard_us: latest word on the limit
 * @is_usable: the endpoint may get requests now
 */
typedef struct
{
  uint64_t endpoint, service;
  uint32_t position;
  uint64_t rate, capacity, level;
  uint64_t filled_us, used_us, heard_us;
  uint8_t is_usable;
} Bucket;

/**
 * struct Service - a service that this node issues for
 * @service: the service
 * @from_us: when its buckets begin to fill
 * @empty_until_us: no bucket has a token before
 */
typedef struct
{
  uint64_t service, from_us, empty_until_us;
} Service;

typedef struct
{
  uint64_t id, endpoint, customer, issued_us;
} Issued;

struct WlBuckets
{
  WlLimits *limits;
  WlFleet *fleet;
  apr_pool_t *pool;
  apr_hash_t *by_endpoint; /* Bucket by key */
  Bucket **all;
  uint32_t n_all, capacity;
  Service services[WL_BUCKETS_SERVICES_MAX];
  uint32_t n_services;
  Issued issued[WL_BUCKETS_ISSUED_MAX]; /* ring, the oldest is overwritten; endpoint 0 is none */
  uint32_t next_issued;
  uint64_t updated_us, version;
};

WlBuckets *
wl_buckets_create (WlLimits *limits, WlFleet *fleet)
{
  WlBuckets *buckets = calloc (1, sizeof *buckets);
  if (buckets == NULL || apr_pool_create (&buckets->pool, NULL) != APR_SUCCESS)
    abort ();
  buckets->by_endpoint = apr_hash_make (buckets->pool);
  buckets->limits = limits;
  buckets->fleet = fleet;
  return buckets;
}

void
wl_buckets_destroy (WlBuckets *buckets)
{
  if (buckets == NULL)
    return;
  for (uint32_t i = 0; i < buckets->n_all; i++)
    free (buckets->all[i]);
  free (buckets->all);
  apr_pool_destroy (buckets->pool);
  free (buckets);
}

static Service *
find_service (const WlBuckets *buckets, uint64_t service)
{
  for (uint32_t i = 0; i < buckets->n_services; i++)
    if (buckets->services[i].service == service)
      return (Service *)&buckets->services[i];
  return NULL;
}

int
wl_buckets_has_service (const WlBuckets *buckets, uint64_t service)
{
  return find_service (buckets, service) != NULL;
}

int
wl_buckets_add_service (WlBuckets *buckets, uint64_t service, uint64_t from_us)
{
  if (buckets->n_services == WL_BUCKETS_SERVICES_MAX)
    return 0;
  buckets->services[buckets->n_services++] = (Service){ .service = service, .from_us = from_us };
  buckets->updated_us = 0;
  return 1;
}

static void
remove_bucket (WlBuckets *buckets, uint32_t i)
{
  Bucket *b = buckets->all[i];
  apr_hash_set (buckets->by_endpoint, &b->endpoint, sizeof b->endpoint, NULL);
  buckets->all[i] = buckets->all[--buckets->n_all];
  free (b);
}

void
wl_buckets_remove_service (WlBuckets *buckets, uint64_t service)
{
  Service *s = find_service (buckets, service);
  if (s == NULL)
    return;
  *s = buckets->services[--buckets->n_services];
  for (uint32_t i = 0; i < buckets->n_all;)
    if (buckets->all[i]->service == service)
      remove_bucket (buckets, i);
    else
      i++;
}

void
wl_buckets_restart (WlBuckets *buckets, uint64_t from_us)
{
  for (uint32_t i = 0; i < buckets->n_services; i++)
    {
      buckets->services[i].from_us = from_us;
      buckets->services[i].empty_until_us = 0;
    }
  for (uint32_t i = 0; i < buckets->n_all; i++)
    {
      buckets->all[i]->level = 0;
      buckets->all[i]->filled_us = from_us;
    }
  memset (buckets->issued, 0, sizeof buckets->issued);
}

static const WlEndpoint *
endpoint_of (const WlBuckets *buckets, Bucket *b)
{
  const WlFleet *fleet = buckets->fleet;
  if (b->position < fleet->n_endpoints && fleet->endpoints[b->position].key == b->endpoint)
    return &fleet->endpoints[b->position];
  const WlEndpoint *e = wl_fleet_find_key (buckets->fleet, b->endpoint);
  if (e != NULL)
    b->position = (uint32_t)(e - fleet->endpoints);
  return e;
}

static void
set_rate (Bucket *b, uint64_t rate)
{
  uint64_t least = rate < WL_ISSUER_RATE_MIN ? TOKEN : 2 * TOKEN;
  b->rate = rate < WL_ISSUER_RATE_MIN ? WL_ISSUER_RATE_MIN : rate;
  b->capacity = b->rate * CAPACITY_US > least ? b->rate * CAPACITY_US : least;
}

/* Brings a bucket up to date; a rate that has changed counts from the latest time on. */
static void
refresh (const WlBuckets *buckets, Bucket *b, uint64_t now_us)
{
  const WlEndpoint *e = endpoint_of (buckets, b);
  const WlLimit *limit = e != NULL ? wl_limits_find (buckets->limits, e) : NULL;
  b->is_usable = limit != NULL && wl_fleet_is_usable (e, now_us);
  uint64_t before = b->rate;
  if (limit != NULL)
    {
      set_rate (b, limit->rate);
      b->heard_us = limit->heard_us;
    }
  if (now_us > b->filled_us)
    {
      uint64_t elapsed_us = now_us - b->filled_us;
      uint64_t rate = before < b->rate ? before : b->rate;
      b->level += rate * (elapsed_us < REFILL_MAX_US ? elapsed_us : REFILL_MAX_US);
      b->filled_us = now_us;
    }
  if (b->level > b->capacity)
    b->level = b->capacity;
}

static void
add_bucket (WlBuckets *buckets, const Service *service, const WlEndpoint *e, uint64_t now_us)
{
  Bucket *b = calloc (1, sizeof *b);
  if (buckets->n_all == buckets->capacity)
    {
      buckets->capacity = buckets->capacity == 0 ? 16 : 2 * buckets->capacity;
      buckets->all = realloc (buckets->all, buckets->capacity * sizeof (Bucket *));
    }
  if (b == NULL || buckets->all == NULL)
    abort ();
  b->endpoint = e->key;
  b->service = service->service;
  b->position = (uint32_t)(e - buckets->fleet->endpoints);
  b->filled_us = service->from_us > now_us ? service->from_us : now_us;
  set_rate (b, wl_limits_find (buckets->limits, e)->rate);
  buckets->all[buckets->n_all++] = b;
  apr_hash_set (buckets->by_endpoint, &b->endpoint, sizeof b->endpoint, b);
}

static int
has_limit (WlBuckets *buckets, Bucket *b)
{
  const WlEndpoint *e = endpoint_of (buckets, b);
  return e != NULL && wl_limits_find (buckets->limits, e) != NULL;
}

void
wl_buckets_update (WlBuckets *buckets, uint64_t now_us)
{
  uint64_t version = wl_limits_version (buckets->limits);
  if (version == buckets->version && buckets->updated_us != 0
      && now_us < buckets->updated_us + UPDATE_US)
    return;
  buckets->version = version;
  buckets->updated_us = now_us;
  for (uint32_t i = 0; i < buckets->n_services; i++)
    buckets->services[i].empty_until_us = 0;
  for (uint32_t i = 0; i < buckets->n_all;)
    if (has_limit (buckets, buckets->all[i]))
      refresh (buckets, buckets->all[i++], now_us);
    else
      remove_bucket (buckets, i);
  if (wl_limits_count (buckets->limits) == buckets->n_all || buckets->n_services == 0)
    return;
  for (uint32_t i = 0; i < buckets->fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &buckets->fleet->endpoints[i];
      if (wl_limits_find (buckets->limits, e) == NULL
          || apr_hash_get (buckets->by_endpoint, &e->key, sizeof e->key) != NULL)
        continue;
      const Service *s = find_service (buckets, wl_permits_service (e->record.service));
      if (s != NULL)
        add_bucket (buckets, s, e, now_us);
    }
}

static int
is_excluded (const WlPermitAsk *ask, uint64_t endpoint)
{
  for (uint32_t i = 0; i < ask->n_excluded; i++)
    if (ask->excluded[i].key == endpoint)
      return 1;
  return 0;
}

/* Whether an ask may get a permit for a bucket's endpoint; brings the bucket up to date. */
static int
serves (const WlBuckets *buckets, Bucket *b, const WlPermitAsk *ask, uint64_t now_us)
{
  if (b->service != ask->service || is_excluded (ask, b->endpoint))
    return 0;
  refresh (buckets, b, now_us);
  return b->is_usable;
}

static uint64_t
last_seen_us (const Bucket *b)
{
  return b->heard_us > b->used_us ? b->heard_us : b->used_us;
}

/* When a bucket holds a token, at the rate that it has now. */
static uint64_t
ready_us (const Bucket *b)
{
  return b->level >= TOKEN ? 0 : b->filled_us + (TOKEN - b->level + b->rate - 1) / b->rate;
}

static Bucket *
find_token (WlBuckets *buckets, const WlPermitAsk *ask, uint64_t now_us)
{
  Service *s = find_service (buckets, ask->service);
  Bucket *best = NULL;
  uint64_t first_us = UINT64_MAX;
  if (s == NULL || now_us < s->empty_until_us)
    return NULL;
  for (uint32_t i = 0; i < buckets->n_all; i++)
    {
      Bucket *b = buckets->all[i];
      if (b->service != ask->service)
        continue;
      int may_use = serves (buckets, b, ask, now_us);
      first_us = ready_us (b) < first_us ? ready_us (b) : first_us;
      if (may_use && b->level >= TOKEN && (best == NULL || last_seen_us (b) < last_seen_us (best)))
        best = b;
    }
  s->empty_until_us = best == NULL ? first_us : 0;
  return best;
}

int
wl_buckets_has_token (WlBuckets *buckets, const WlPermitAsk *ask, uint64_t now_us)
{
  return find_token (buckets, ask, now_us) != NULL;
}

uint64_t
wl_buckets_take (WlBuckets *buckets, const WlPermitAsk *ask, uint64_t now_us)
{
  Bucket *b = find_token (buckets, ask, now_us);
  if (b == NULL)
    return 0;
  b->level -= TOKEN;
  b->used_us = now_us;
  buckets->issued[buckets->next_issued] = (Issued){ ask->id, b->endpoint, ask->customer, now_us };
  buckets->next_issued = (buckets->next_issued + 1) % WL_BUCKETS_ISSUED_MAX;
  return b->endpoint;
}

static Issued *
find_issued (WlBuckets *buckets, const WlPermitReturn *permit, uint64_t now_us)
{
  for (uint32_t i = 0; i < WL_BUCKETS_ISSUED_MAX; i++)
    {
      Issued *p = &buckets->issued[i];
      if (p->id == permit->id && p->endpoint == permit->endpoint && p->customer == permit->customer
          && now_us < p->issued_us + WL_PERMIT_LIFETIME_US)
        return p;
    }
  return NULL;
}

int
wl_buckets_give_back (WlBuckets *buckets, const WlPermitReturn *permit, uint64_t now_us)
{
  Issued *issued = permit->endpoint != 0 ? find_issued (buckets, permit, now_us) : NULL;
  Bucket *b = apr_hash_get (buckets->by_endpoint, &permit->endpoint, sizeof permit->endpoint);
  if (issued == NULL || b == NULL || b->service != permit->service)
    return 0;
  refresh (buckets, b, now_us);
  uint64_t refilled = b->rate * (now_us - issued->issued_us);
  if (refilled < TOKEN && b->filled_us <= now_us)
    b->level += TOKEN - refilled;
  if (b->level > b->capacity)
    b->level = b->capacity;
  find_service (buckets, b->service)->empty_until_us = 0;
  issued->endpoint = 0;
  return 1;
}

/* Tokens that will have been there after a time. */
static uint64_t
tokens_after (const WlBuckets *buckets, const WlPermitAsk *ask, uint64_t at_us)
{
  uint64_t n = 0;
  for (uint32_t i = 0; i < buckets->n_all; i++)
    {
      const Bucket *b = buckets->all[i];
      if (b->service != ask->service || !b->is_usable || is_excluded (ask, b->endpoint))
        continue;
      uint64_t filled = at_us > b->filled_us ? b->rate * (at_us - b->filled_us) : 0;
      n += (b->level + filled) / TOKEN;
    }
  return n;
}

uint64_t
wl_buckets_rate (WlBuckets *buckets, const WlPermitAsk *ask, uint64_t now_us)
{
  uint64_t rate = 0;
  for (uint32_t i = 0; i < buckets->n_all; i++)
    if (serves (buckets, buckets->all[i], ask, now_us))
      rate += buckets->all[i]->rate;
  return rate;
}

uint64_t
wl_buckets_wait_us (WlBuckets *buckets, const WlPermitAsk *ask, uint32_t n_tokens, uint64_t now_us)
{
  if (wl_buckets_rate (buckets, ask, now_us) == 0)
    return UINT64_MAX;
  if (tokens_after (buckets, ask, now_us) >= n_tokens)
    return 0;
  uint64_t low = 0, high = WL_BUCKETS_WAIT_MAX_US / WAIT_STEP_US;
  while (low + 1 < high)
    {
      uint64_t middle = (low + high) / 2;
      if (tokens_after (buckets, ask, now_us + middle * WAIT_STEP_US) >= n_tokens)
        high = middle;
      else
        low = middle;
    }
  return high * WAIT_STEP_US;
}
