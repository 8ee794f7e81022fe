#ifndef WL_HOMES_H
#define WL_HOMES_H

#include "wl_command.h"
#include "wl_routes.h"

/*
 * Home regions: a route and a customer may list regions, and then a request runs only at endpoints
 * whose failure domain lies in each of the lists that apply to it. See docs/design/homes.md.
 */

/** struct WlDomainRegion - a failure domain, and the region in which it lies */
typedef struct
{
  char name[WL_LABEL_SIZE];
  char region[WL_LABEL_SIZE];
} WlDomainRegion;

/**
 * struct WlRegionMap - regions of the failure domains, from the settings of this node
 * @domains: the failure domains, @n_domains of them
 * @own_domain: failure domain of this node, for settings that do not list it; NULL for none
 * @own_region: its region; NULL for none
 */
typedef struct
{
  const WlDomainRegion *domains;
  uint32_t n_domains;
  const char *own_domain;
  const char *own_region;
} WlRegionMap;

/**
 * struct WlHomes - the home regions of a request
 * @map: regions of the failure domains
 * @route: home regions of its route
 * @customer: home regions of its customer, NULL for none
 *
 * The objects must outlive it.
 */
typedef struct
{
  const WlRegionMap *map;
  const WlRouteRegions *route;
  const WlRouteRegions *customer;
} WlHomes;

/** wl_homes_region() - region of a failure domain, an empty string when it is not known */
const char *wl_homes_region (const WlRegionMap *map, const char *domain);

/** wl_homes_apply() - whether a request has home regions */
int wl_homes_apply (const WlHomes *homes);

/** wl_homes_allow() - whether a request may run in a failure domain; @homes NULL: in any */
int wl_homes_allow (const WlHomes *homes, const char *domain);

/** wl_homes_allow_some() - whether any failure domain of the settings is allowed */
int wl_homes_allow_some (const WlHomes *homes);

/**
 * wl_homes_list_node() - whether the directory lists the nodes of a region
 * @routes: the configuration, NULL for none
 * @host: host that the caller looks up, an empty string for none
 * @caller_region: region of the caller, an empty string when it is not known
 * @region: region of the nodes, an empty string when it is not known
 *
 * Return: 1 if no route of the host has home regions, or if @region is the caller's or a home
 * region of one of its routes.
 */
int wl_homes_list_node (const WlRoutes *routes, const char *host, const char *caller_region,
                        const char *region);

/**
 * wl_homes_unknown() - names the home regions of a configuration in which no failure domain lies
 * @map: regions of the failure domains
 * @routes: the configuration
 * @out: receives the names, separated by commas, as far as there is room
 * @size: size of @out, at least 1
 *
 * Return: number of these regions.
 */
uint32_t wl_homes_unknown (const WlRegionMap *map, const WlRoutes *routes, char *out, size_t size);

#endif
