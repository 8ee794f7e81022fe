#include <stdio.h>
#include <string.h>
#include "wl_homes.h"

static int
contains (const WlRouteRegions *regions, const char *region)
{
  for (uint32_t i = 0; i < regions->n; i++)
    if (strcmp (regions->names[i], region) == 0)
      return 1;
  return 0;
}

const char *
wl_homes_region (const WlRegionMap *map, const char *domain)
{
  for (uint32_t i = 0; i < map->n_domains; i++)
    if (strcmp (map->domains[i].name, domain) == 0)
      return map->domains[i].region;
  if (map->own_domain != NULL && map->own_region != NULL && strcmp (map->own_domain, domain) == 0)
    return map->own_region;
  return "";
}

int
wl_homes_apply (const WlHomes *homes)
{
  return homes->route->n > 0 || (homes->customer != NULL && homes->customer->n > 0);
}

/* A region that is not known lies in no list, also if a list has an empty name. */
static int
allows_region (const WlHomes *homes, const char *region)
{
  if (region[0] == '\0')
    return 0;
  return (homes->route->n == 0 || contains (homes->route, region))
         && (homes->customer == NULL || homes->customer->n == 0
             || contains (homes->customer, region));
}

int
wl_homes_allow (const WlHomes *homes, const char *domain)
{
  return homes == NULL || !wl_homes_apply (homes)
         || allows_region (homes, wl_homes_region (homes->map, domain));
}

int
wl_homes_allow_some (const WlHomes *homes)
{
  const WlRegionMap *map = homes->map;
  for (uint32_t i = 0; i < map->n_domains; i++)
    if (wl_homes_allow (homes, map->domains[i].name))
      return 1;
  return !wl_homes_apply (homes)
         || (map->own_domain != NULL && wl_homes_allow (homes, map->own_domain));
}

int
wl_homes_list_node (const WlRoutes *routes, const char *host, const char *caller_region,
                    const char *region)
{
  size_t size = strcspn (host, ":");
  int has_homes = 0;
  if (routes == NULL || (region[0] != '\0' && strcmp (region, caller_region) == 0))
    return 1;
  for (uint32_t i = 0; i < routes->n_routes; i++)
    {
      const WlRoute *route = &routes->routes[i];
      if (strlen (route->host) != size || strncmp (route->host, host, size) != 0)
        continue;
      if (region[0] != '\0' && contains (&route->homes, region))
        return 1;
      has_homes |= route->homes.n > 0;
    }
  return !has_homes;
}

static int
is_known (const WlRegionMap *map, const char *region)
{
  if (region[0] == '\0')
    return 0;
  for (uint32_t i = 0; i < map->n_domains; i++)
    if (strcmp (map->domains[i].region, region) == 0)
      return 1;
  return map->own_domain != NULL && strcmp (wl_homes_region (map, map->own_domain), region) == 0;
}

/* The lists of all routes, then of all customers. */
static const WlRouteRegions *
list_at (const WlRoutes *routes, uint32_t i)
{
  return i < routes->n_routes ? &routes->routes[i].homes
                              : &routes->customers[i - routes->n_routes].homes;
}

/* Whether a region is named before place @k of list @i. */
static int
is_repeated (const WlRoutes *routes, uint32_t i, uint32_t k)
{
  const WlRouteRegions *list = list_at (routes, i);
  const WlRouteRegions before = { list->names, k };
  for (uint32_t j = 0; j < i; j++)
    if (contains (list_at (routes, j), list->names[k]))
      return 1;
  return contains (&before, list->names[k]);
}

uint32_t
wl_homes_unknown (const WlRegionMap *map, const WlRoutes *routes, char *out, size_t size)
{
  uint32_t n = 0;
  size_t used = 0;
  out[0] = '\0';
  for (uint32_t i = 0; i < routes->n_routes + routes->n_customers; i++)
    for (uint32_t k = 0; k < list_at (routes, i)->n; k++)
      {
        const char *name = list_at (routes, i)->names[k];
        if (is_known (map, name) || is_repeated (routes, i, k))
          continue;
        n++;
        if (used + strlen (name) + 2 <= size)
          used += (size_t)snprintf (out + used, size - used, "%s%s", used > 0 ? "," : "", name);
      }
  return n;
}
