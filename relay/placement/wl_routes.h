#ifndef WL_ROUTES_H
#define WL_ROUTES_H

#include <apr_hash.h>
#include "wl_forecast.h"
#include "wl_web.h"

/*
 * The configuration as the relay uses it: routes by host and path prefix,
 * services, customers by key, limits of client connections. Built once for each
 * version and immutable from then on.
 */

/**
 * enum WlRouteKind - which retries a route allows
 * @WL_ROUTE_IDEMPOTENT: requests may run more than once
 * @WL_ROUTE_NON_IDEMPOTENT: requests run at most once
 * @WL_ROUTE_STREAM: answers are event streams
 */
typedef enum
{
  WL_ROUTE_IDEMPOTENT,
  WL_ROUTE_NON_IDEMPOTENT,
  WL_ROUTE_STREAM,
} WlRouteKind;

/** struct WlRouteRegions - names of regions, @n of them; none: no restriction */
typedef struct
{
  const char **names;
  uint32_t n;
} WlRouteRegions;

/** struct WlRouteTarget - gives the service with index @service a share of @weight */
typedef struct
{
  uint32_t service;
  uint32_t weight;
} WlRouteTarget;

/**
 * struct WlRoute - how requests of one host and path prefix are served
 * @name: name, for logs
 * @host: host, without port
 * @prefix: path prefix; starts and ends with a slash
 * @kind: which retries it allows
 * @timeout_us: time limit of a request
 * @objective_us: objective for the answer, or for the first event of a stream
 * @gap_us: objective for the gap between events of a stream
 * @abandon_gap_us: gap after which callers disconnect, also before the first event
 * @priority: rank, 0 is the highest
 * @attempts: endpoints that one request may be sent to
 * @allows_anonymous: no API key is needed
 * @can_resume: a broken stream may continue at another endpoint
 * @targets: services, @n_targets of them
 * @weight_total: sum of the weights
 * @homes: home regions, see wl_homes.h
 */
typedef struct
{
  const char *name;
  const char *host;
  const char *prefix;
  WlRouteKind kind;
  uint64_t timeout_us;
  uint64_t objective_us;
  uint64_t gap_us;
  uint64_t abandon_gap_us;
  uint32_t priority;
  uint32_t attempts;
  uint8_t allows_anonymous;
  uint8_t can_resume;
  WlRouteTarget *targets;
  uint32_t n_targets;
  uint32_t weight_total;
  WlRouteRegions homes;
} WlRoute;

/**
 * struct WlRouteService - a group of interchangeable endpoints
 * @name: name that endpoints register under
 * @max_connections: connections that one endpoint accepts, 0 for unknown
 * @cold_start_us: time for which an endpoint is cold after its start, 0 for never
 * @cold_rate: requests in 1,000 s that a cold endpoint tolerates, 0 for endpoints that are never
 * cold
 * @has_engine: its endpoints are model engines
 * @engine: performance model of these engines
 */
typedef struct
{
  const char *name;
  uint32_t max_connections;
  uint64_t cold_start_us;
  uint64_t cold_rate;
  uint8_t has_engine;
  WlEngineModel engine;
} WlRouteService;

/**
 * struct WlRouteCustomer - a customer
 * @name: name
 * @priority: replaces the route's when @has_priority
 * @homes: home regions, see wl_homes.h
 */
typedef struct
{
  const char *name;
  uint32_t priority;
  uint8_t has_priority;
  WlRouteRegions homes;
} WlRouteCustomer;

/**
 * struct WlRoutes - one version of the configuration
 * @pool: owner of all memory
 * @n_refs: reference count
 * @number: number of the committed configuration
 * @version: the operators' version
 * @routes: routes, @n_routes of them
 * @services: services, @n_services of them
 * @customers: customers, @n_customers of them
 * @keys: WlRouteCustomer by key
 * @hosts: routes by host, longest prefix first
 * @limits: limits of client connections
 */
typedef struct
{
  apr_pool_t *pool;
  uint32_t n_refs;
  uint64_t number;
  uint64_t version;
  WlRoute *routes;
  uint32_t n_routes;
  WlRouteService *services;
  uint32_t n_services;
  WlRouteCustomer *customers;
  uint32_t n_customers;
  apr_hash_t *keys;
  apr_hash_t *hosts;
  WlWebLimits limits;
} WlRoutes;

/** wl_routes_create() - creates an empty configuration with one reference */
WlRoutes *wl_routes_create (void);

/** wl_routes_retain() - adds a reference; returns @routes */
WlRoutes *wl_routes_retain (WlRoutes *routes);

/** wl_routes_release() - drops a reference and frees with the last; accepts NULL */
void wl_routes_release (WlRoutes *routes);

/**
 * wl_routes_index() - builds @hosts; to be called once, after the routes are set
 * @routes: the configuration
 * @duplicate: receives the later of two routes that share host and prefix
 *
 * Return: 1, or 0 when there is a duplicate.
 */
int wl_routes_index (WlRoutes *routes, const WlRoute **duplicate);

/**
 * wl_routes_find() - route of a request
 * @routes: the configuration
 * @host: value of the Host field
 * @target: request target
 *
 * Return: the route with the longest prefix, NULL for none.
 */
const WlRoute *wl_routes_find (const WlRoutes *routes, const char *host, const char *target);

/** wl_routes_customer() - customer that owns an API key, NULL for none */
const WlRouteCustomer *wl_routes_customer (const WlRoutes *routes, const char *key);

/**
 * wl_routes_pick() - draws the service of a request by the weights
 * @route: the route
 * @random: a random number
 *
 * Return: index of the service.
 */
uint32_t wl_routes_pick (const WlRoute *route, uint64_t random);

#endif
