#include <apr_general.h>
#include "wl_routes.h"
#include "wl_test.h"

static WlRoute routes[] = {
  { .name = "all", .host = "a.example", .prefix = "/" },
  { .name = "deep", .host = "a.example", .prefix = "/x/y/" },
  { .name = "shallow", .host = "a.example", .prefix = "/x/" },
  { .name = "other", .host = "b.example", .prefix = "/x/" },
};

static WlRoutes *
create (WlRoute *list, uint32_t n)
{
  WlRoutes *r = wl_routes_create ();
  r->routes = list;
  r->n_routes = n;
  return r;
}

START_TEST (the_longest_prefix_of_the_host_wins)
{
  const WlRoute *duplicate = NULL;
  WlRoutes *r = create (routes, 4);
  ck_assert (wl_routes_index (r, &duplicate));
  ck_assert_str_eq (wl_routes_find (r, "a.example", "/x/y/z")->name, "deep");
  ck_assert_str_eq (wl_routes_find (r, "a.example:80", "/x/z")->name, "shallow");
  ck_assert_str_eq (wl_routes_find (r, "a.example", "/x")->name, "all");
  ck_assert_str_eq (wl_routes_find (r, "b.example", "/x/")->name, "other");
  ck_assert_ptr_null (wl_routes_find (r, "b.example", "/y"));
  ck_assert_ptr_null (wl_routes_find (r, "c.example", "/x/"));
  wl_routes_release (r);
}
END_TEST

START_TEST (a_duplicate_route_is_reported)
{
  WlRoute list[] = { routes[1], routes[2], routes[1] };
  const WlRoute *duplicate = NULL;
  WlRoutes *r = create (list, 3);
  ck_assert (!wl_routes_index (r, &duplicate));
  ck_assert_ptr_eq (duplicate, &list[2]);
  wl_routes_release (r);
}
END_TEST

START_TEST (targets_are_drawn_by_their_weights)
{
  WlRouteTarget targets[] = { { 3, 90 }, { 5, 10 }, { 7, 0 } };
  WlRoute route = { .targets = targets, .n_targets = 3, .weight_total = 100 };
  uint32_t n[8] = { 0 };
  for (uint64_t i = 0; i < 1000; i++)
    n[wl_routes_pick (&route, i)]++;
  ck_assert_uint_eq (n[3], 900);
  ck_assert_uint_eq (n[5], 100);
  ck_assert_uint_eq (n[7], 0);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (the_longest_prefix_of_the_host_wins),
    WL_TEST (a_duplicate_route_is_reported),
    WL_TEST (targets_are_drawn_by_their_weights),
  };
  apr_initialize ();
  return wl_test_run ("routes", tests, sizeof tests / sizeof tests[0]);
}
