#include <stdlib.h>
#include <string.h>
#include <apr_strings.h>
#include <apr_tables.h>
#include "wl_routes.h"

WlRoutes *
wl_routes_create (void)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  WlRoutes *routes = apr_pcalloc (pool, sizeof *routes);
  routes->pool = pool;
  routes->n_refs = 1;
  routes->keys = apr_hash_make (pool);
  routes->hosts = apr_hash_make (pool);
  return routes;
}

WlRoutes *
wl_routes_retain (WlRoutes *routes)
{
  routes->n_refs++;
  return routes;
}

void
wl_routes_release (WlRoutes *routes)
{
  if (routes != NULL && --routes->n_refs == 0)
    apr_pool_destroy (routes->pool);
}

static int
by_prefix_length (const void *a, const void *b)
{
  size_t x = strlen ((*(const WlRoute *const *)a)->prefix);
  size_t y = strlen ((*(const WlRoute *const *)b)->prefix);
  return x < y ? 1 : x > y ? -1 : 0;
}

int
wl_routes_index (WlRoutes *routes, const WlRoute **duplicate)
{
  apr_hash_t *seen = apr_hash_make (routes->pool);
  for (uint32_t i = 0; i < routes->n_routes; i++)
    {
      const WlRoute *r = &routes->routes[i];
      const char *location = apr_pstrcat (routes->pool, r->host, "\n", r->prefix, NULL);
      if (apr_hash_get (seen, location, APR_HASH_KEY_STRING) != NULL)
        {
          *duplicate = r;
          return 0;
        }
      apr_hash_set (seen, location, APR_HASH_KEY_STRING, r);
      apr_array_header_t *list = apr_hash_get (routes->hosts, r->host, APR_HASH_KEY_STRING);
      if (list == NULL)
        {
          list = apr_array_make (routes->pool, 8, sizeof (const WlRoute *));
          apr_hash_set (routes->hosts, r->host, APR_HASH_KEY_STRING, list);
        }
      APR_ARRAY_PUSH (list, const WlRoute *) = r;
    }
  for (apr_hash_index_t *i = apr_hash_first (routes->pool, routes->hosts); i != NULL;
       i = apr_hash_next (i))
    {
      apr_array_header_t *list = apr_hash_this_val (i);
      qsort (list->elts, (size_t)list->nelts, sizeof (const WlRoute *), by_prefix_length);
    }
  return 1;
}

const WlRoute *
wl_routes_find (const WlRoutes *routes, const char *host, const char *target)
{
  size_t host_size = strcspn (host, ":");
  const apr_array_header_t *list = apr_hash_get (routes->hosts, host, (apr_ssize_t)host_size);
  for (int i = 0; list != NULL && i < list->nelts; i++)
    {
      const WlRoute *r = APR_ARRAY_IDX (list, i, const WlRoute *);
      if (strncmp (target, r->prefix, strlen (r->prefix)) == 0)
        return r;
    }
  return NULL;
}

const WlRouteCustomer *
wl_routes_customer (const WlRoutes *routes, const char *key)
{
  return apr_hash_get (routes->keys, key, APR_HASH_KEY_STRING);
}

uint32_t
wl_routes_pick (const WlRoute *route, uint64_t random)
{
  uint32_t left = (uint32_t)(random % route->weight_total);
  for (uint32_t i = 0; i < route->n_targets; i++)
    {
      if (left < route->targets[i].weight)
        return route->targets[i].service;
      left -= route->targets[i].weight;
    }
  return route->targets[route->n_targets - 1].service;
}
