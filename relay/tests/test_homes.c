#include <string.h>
#include <apr_general.h>
#include "wl_choice.h"
#include "wl_sample_engine.h"
#include "wl_test.h"

/*
 * Home regions. Guards against a request that leaves one of its lists of regions, also where the
 * region of a failure domain is not known, and against a directory that lists nodes elsewhere.
 */

static const WlDomainRegion domains[] = {
  { "n1", "north" },
  { "n2", "north" },
  { "s1", "south" },
  { "odd", "" },
};
static const WlRegionMap map = { domains, 4, "own", "west" };

static const char *north[] = { "north" };
static const char *north_south[] = { "north", "south" };
static const char *south_west[] = { "south", "west" };
static const char *unknown[] = { "mars", "", "mars" };
static const WlRouteRegions none = { NULL, 0 };

static int
allow (const WlRouteRegions *route, const WlRouteRegions *customer, const char *domain)
{
  const WlHomes homes = { &map, route, customer };
  return wl_homes_allow (&homes, domain);
}

START_TEST (a_failure_domain_must_lie_in_each_list)
{
  const WlRouteRegions a = { north_south, 2 };
  const WlRouteRegions b = { south_west, 2 };
  ck_assert (allow (&a, NULL, "n2"));
  ck_assert (allow (&a, &none, "s1"));
  ck_assert (!allow (&a, NULL, "own"));
  ck_assert (allow (&none, &b, "own"));
  ck_assert (!allow (&a, &b, "n1"));
  ck_assert (allow (&a, &b, "s1"));
  ck_assert (!allow (&a, &b, "own"));
}
END_TEST

START_TEST (lists_without_regions_restrict_nothing)
{
  ck_assert (wl_homes_allow (NULL, "n1"));
  ck_assert (allow (&none, NULL, "elsewhere"));
  ck_assert (allow (&none, &none, "odd"));
}
END_TEST

START_TEST (a_failure_domain_without_a_known_region_is_in_no_list)
{
  const WlRouteRegions a = { unknown, 3 };
  const WlRouteRegions b = { north_south, 2 };
  ck_assert (!allow (&a, NULL, "odd"));
  ck_assert (!allow (&a, NULL, "elsewhere"));
  ck_assert (!allow (&b, NULL, "elsewhere"));
}
END_TEST

START_TEST (lists_that_no_failure_domain_meets_are_recognised)
{
  const WlRouteRegions a = { north, 1 };
  const WlRouteRegions b = { south_west, 2 };
  const WlRouteRegions c = { unknown, 3 };
  const WlHomes apart = { &map, &a, &b };
  const WlHomes nowhere = { &map, &c, NULL };
  const WlHomes own = { &map, &b, NULL };
  const WlHomes free = { &map, &none, &none };
  ck_assert (!wl_homes_allow_some (&apart));
  ck_assert (!wl_homes_allow_some (&nowhere));
  ck_assert (wl_homes_allow_some (&own));
  ck_assert (wl_homes_allow_some (&free));
}
END_TEST

static WlRoute routes[] = {
  { .host = "home.example", .homes = { north, 1 } },
  { .host = "home.example", .homes = { unknown, 3 } },
  { .host = "free.example" },
};
static WlRouteCustomer customers[] = { { .name = "a", .homes = { south_west, 2 } } };
static const WlRoutes config
    = { .routes = routes, .n_routes = 3, .customers = customers, .n_customers = 1 };

START_TEST (the_directory_lists_the_callers_region_and_home_regions)
{
  ck_assert (wl_homes_list_node (&config, "home.example", "south", "south"));
  ck_assert (wl_homes_list_node (&config, "home.example:80", "south", "north"));
  ck_assert (!wl_homes_list_node (&config, "home.example", "south", "west"));
  ck_assert (!wl_homes_list_node (&config, "home.example:80", "south", "west"));
  ck_assert (!wl_homes_list_node (&config, "home.example", "", ""));
  ck_assert (wl_homes_list_node (&config, "free.example", "south", "west"));
  ck_assert (wl_homes_list_node (&config, "home", "south", "west"));
  ck_assert (wl_homes_list_node (&config, "", "", ""));
  ck_assert (wl_homes_list_node (NULL, "home.example", "south", "west"));
}
END_TEST

START_TEST (unknown_regions_are_named_once)
{
  char names[64];
  ck_assert_uint_eq (wl_homes_unknown (&map, &config, names, sizeof names), 2);
  ck_assert_str_eq (names, "mars,");
  ck_assert_uint_eq (wl_homes_unknown (&map, &config, names, 3), 2);
  ck_assert_str_eq (names, "");
  const WlRegionMap own = { NULL, 0, "own", "west" };
  ck_assert_uint_eq (wl_homes_unknown (&own, &config, names, sizeof names), 4);
  ck_assert_str_eq (names, "north,mars,,south");
}
END_TEST

/* Guards against helpers outside the home regions, where a part of the prompt would be sent. */
START_TEST (a_prompt_is_split_only_over_engines_at_home)
{
  static const WlDomainRegion at[] = { { "z0", "north" }, { "z1", "south" } };
  const uint64_t now_us = 50000000;
  const WlRegionMap regions = { at, 2, NULL, NULL };
  const WlRouteRegions home = { (const char *[]){ "south" }, 1 };
  const WlHomes homes = { &regions, &home, NULL };
  WlFleet *fleet = wl_fleet_create ();
  WlLoad *load = wl_load_create ();
  WlChoiceRequest q = { .service = &wl_sample_engines,
                        .domain = "z0",
                        .prompt = 133000,
                        .output = 690,
                        .objective_us = 500000,
                        .gap_us = 1000000,
                        .deadline_us = 9800000 };
  for (uint32_t i = 0; i < 18; i++)
    {
      WlEndpointRecord r = { .address = i + 1, .port = 1, .slots = 16, .started_ms = 1 };
      snprintf (r.id, sizeof r.id, "llm-%u", i);
      snprintf (r.service, sizeof r.service, "%s", wl_sample_engines.name);
      snprintf (r.domain, sizeof r.domain, "z%u", i % 3); /* the region of z2 is not known */
      wl_fleet_apply (fleet, &r, now_us);
    }
  WlChoice any = wl_choice_make (fleet, load, &q, now_us, 0);
  q.homes = &homes;
  WlChoice c = wl_choice_make (fleet, load, &q, now_us, 0);
  ck_assert_uint_gt (any.n_helpers, 5);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_gt (c.n_helpers, 0);
  ck_assert_str_eq (c.endpoint->record.domain, "z1");
  for (uint32_t i = 0; i < c.n_helpers; i++)
    ck_assert_str_eq (c.helpers[i]->record.domain, "z1");
  wl_load_destroy (load);
  wl_fleet_destroy (fleet);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_failure_domain_must_lie_in_each_list),
    WL_TEST (lists_without_regions_restrict_nothing),
    WL_TEST (a_failure_domain_without_a_known_region_is_in_no_list),
    WL_TEST (lists_that_no_failure_domain_meets_are_recognised),
    WL_TEST (the_directory_lists_the_callers_region_and_home_regions),
    WL_TEST (unknown_regions_are_named_once),
    WL_TEST (a_prompt_is_split_only_over_engines_at_home),
  };
  apr_initialize ();
  return wl_test_run ("homes", tests, sizeof tests / sizeof tests[0]);
}
