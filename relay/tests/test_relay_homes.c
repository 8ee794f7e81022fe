#include <apr_general.h>
#include "wl_test_parts.h"

/*
 * Home regions in the relay. Guards against a request that reaches an endpoint outside its home
 * regions: at first, when it is tried again, or as a part of a prompt; and against one that is held
 * although no endpoint may serve it.
 */

enum
{
  STARTED_US = 1900000, /* after the start of a node, whose endpoints have registered by then */
};

static const char *south[] = { "south" };
static const char *north[] = { "north" };
static const char *nowhere[] = { "nowhere" };

/* Two plain endpoints, e0 in the north and e1 in the south, and home regions of all routes. */
static Fixture
create_with (const char **route, const char **customer, int is_started)
{
  Fixture f = create ();
  WlRoutes *routes = relay_fixture_routes ();
  for (uint32_t i = 0; i < routes->n_routes; i++)
    routes->routes[i].homes = (WlRouteRegions){ route, route != NULL };
  routes->customers[0].homes = (WlRouteRegions){ customer, customer != NULL };
  wl_relay_set_routes (f.relay->relay, routes);
  if (is_started)
    wl_clock_set (wl_clock_now_us () + STARTED_US);
  for (uint32_t i = 0; i < 2; i++)
    {
      script_server_add (&f.relay->endpoints[i], RELAY_WHOLE, SCRIPT_KEEP);
      relay_fixture_register (f.relay, i, f.relay->endpoints[i].port);
    }
  strcpy (wl_fleet_find (f.relay->fleet, "e1")->record.domain, "y");
  return f;
}

static void
check_served_by (const char *request, const char **route, const char **customer, uint32_t i)
{
  Fixture f = create_with (route, customer, 0);
  relay_fixture_occupy (f.relay, i == 0 ? "e0" : "e1");
  raw_client_send (&f.relay->caller, request);
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "HTTP/1.1 200"));
  ck_assert_uint_eq (f.relay->endpoints[i].n_requests, 1);
  ck_assert_uint_eq (f.relay->endpoints[1 - i].n_requests, 0);
  destroy (&f);
}

START_TEST (an_idempotent_request_runs_in_the_home_regions_of_its_route)
{
  check_served_by (RELAY_SAFE_REQUEST, south, NULL, 1);
}
END_TEST

START_TEST (a_non_idempotent_request_runs_in_the_home_regions_of_its_route)
{
  check_served_by (RELAY_ONCE_REQUEST, south, NULL, 1);
}
END_TEST

START_TEST (a_stream_runs_in_the_home_regions_of_its_route)
{
  check_served_by (RELAY_STREAM_REQUEST, north, NULL, 0);
}
END_TEST

START_TEST (a_request_runs_in_the_home_regions_of_its_customer)
{
  check_served_by (RELAY_SAFE_REQUEST, NULL, south, 1);
}
END_TEST

/* Guards against a retry elsewhere, which the route would allow. */
START_TEST (a_request_that_failed_at_home_is_not_tried_elsewhere)
{
  Fixture f = create_with (south, NULL, 0);
  f.relay->endpoints[1].steps[0] = (ScriptStep){ NULL, SCRIPT_RESET };
  raw_client_send (&f.relay->caller, RELAY_SAFE_REQUEST);
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "HTTP/1.1 502"));
  ck_assert_uint_eq (f.relay->endpoints[0].n_requests, 0);
  destroy (&f);
}
END_TEST

static void
check_no_home (const char **route, const char **customer, int is_started)
{
  Fixture f = create_with (route, customer, is_started);
  if (route == south)
    wl_fleet_find (f.relay->fleet, "e1")->record.is_draining = 1;
  raw_client_send (&f.relay->caller, RELAY_SAFE_REQUEST);
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "HTTP/1.1 503"));
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "Retry-After: "));
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  ck_assert_uint_eq (wl_relay_metrics (f.relay->relay)->refused[WL_REASON_NO_HOME], 1);
  ck_assert_ptr_nonnull (strstr (read_log (&f), "reason=no_home"));
  destroy (&f);
}

START_TEST (a_request_without_an_endpoint_at_home_is_refused_at_once)
{
  check_no_home (south, NULL, 1);
}
END_TEST

/* Also while the endpoints of a node that has just started may still register. */
START_TEST (a_request_whose_home_regions_hold_no_failure_domain_is_refused_at_once)
{
  check_no_home (nowhere, NULL, 0);
}
END_TEST

START_TEST (a_customer_whose_home_regions_hold_no_failure_domain_is_refused_at_once)
{
  check_no_home (NULL, nowhere, 0);
}
END_TEST

START_TEST (a_request_whose_lists_have_no_region_in_common_is_refused_at_once)
{
  check_no_home (north, south, 0);
}
END_TEST

/* Guards against a request that waits, or is told to look elsewhere, while its home is evacuated.
 */
START_TEST (a_request_whose_home_is_evacuated_is_refused_at_once)
{
  static const char names[1][WL_LABEL_SIZE] = { "y" };
  Fixture f = create_with (south, NULL, 0);
  wl_fleet_set_evacuated (f.relay->fleet, names, 1);
  raw_client_send (&f.relay->caller, RELAY_SAFE_REQUEST);
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "HTTP/1.1 503"));
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  ck_assert_uint_eq (wl_relay_metrics (f.relay->relay)->refused[WL_REASON_EVACUATED], 1);
  destroy (&f);
}
END_TEST

START_TEST (a_request_waits_for_the_registrations_at_home_after_the_start)
{
  Fixture f = create_with (south, NULL, 0);
  WlEndpoint *e = wl_fleet_find (f.relay->fleet, "e1");
  e->record.is_draining = 1;
  raw_client_send (&f.relay->caller, RELAY_SAFE_REQUEST);
  advance (&f, 0);
  ck_assert_uint_eq (f.relay->caller.size, 0);
  e->record.is_draining = 0;
  advance (&f, 100000);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "HTTP/1.1 200"));
  ck_assert_uint_eq (f.relay->endpoints[1].n_requests, 1);
  destroy (&f);
}
END_TEST

static void
limit (Fixture *f, const char *id)
{
  wl_limits_note_response (wl_relay_limits (f->relay->relay), wl_fleet_find (f->relay->fleet, id),
                           1, 1000, 1, wl_clock_now_us ());
}

/* Guards against a permit for an endpoint that the request may not use, instead of one at home. */
START_TEST (an_endpoint_with_a_limit_elsewhere_is_no_reason_to_wait)
{
  Fixture f = create_with (south, NULL, 1);
  wl_fleet_find (f.relay->fleet, "e1")->record.is_draining = 1;
  limit (&f, "e0");
  raw_client_send (&f.relay->caller, RELAY_SAFE_REQUEST);
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "HTTP/1.1 503"));
  ck_assert_uint_eq (wl_relay_metrics (f.relay->relay)->refused[WL_REASON_NO_HOME], 1);
  destroy (&f);
}
END_TEST

START_TEST (a_permit_is_asked_for_an_endpoint_at_home)
{
  WlPermitAsk ask;
  Fixture f = create_with (south, NULL, 1);
  limit (&f, "e0");
  limit (&f, "e1");
  raw_client_send (&f.relay->caller, RELAY_SAFE_REQUEST);
  advance (&f, 0);
  ck_assert (wl_permits_take_ask (wl_relay_permits (f.relay->relay), &ask));
  ck_assert_uint_eq (ask.n_excluded, 1);
  ck_assert_uint_eq (ask.excluded[0].key, wl_fleet_key ("e0"));
  destroy (&f);
}
END_TEST

static void
set_routes (Fixture *f, uint64_t version, const char **route)
{
  WlRoutes *routes = relay_fixture_routes ();
  routes->version = version;
  routes->routes[0].homes = (WlRouteRegions){ route, route != NULL };
  wl_relay_set_routes (f->relay->relay, routes);
}

START_TEST (an_unknown_region_is_logged_once_for_each_configuration)
{
  Fixture f = create ();
  set_routes (&f, 1, south);
  set_routes (&f, 2, nowhere);
  set_routes (&f, 2, nowhere); /* again, as after a change of the rest of the document */
  set_routes (&f, 3, nowhere);
  const char *log = read_log (&f);
  const char *first = strstr (log, "WL2116 ");
  ck_assert_ptr_nonnull (first);
  ck_assert_ptr_nonnull (strstr (first, "regions=1 names=nowhere\n"));
  const char *second = strstr (first + 1, "WL2116 ");
  ck_assert_ptr_nonnull (second);
  ck_assert_ptr_null (strstr (second + 1, "WL2116 "));
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (an_idempotent_request_runs_in_the_home_regions_of_its_route),
    WL_TEST (a_non_idempotent_request_runs_in_the_home_regions_of_its_route),
    WL_TEST (a_stream_runs_in_the_home_regions_of_its_route),
    WL_TEST (a_request_runs_in_the_home_regions_of_its_customer),
    WL_TEST (a_request_that_failed_at_home_is_not_tried_elsewhere),
    WL_TEST (a_request_without_an_endpoint_at_home_is_refused_at_once),
    WL_TEST (a_request_whose_home_regions_hold_no_failure_domain_is_refused_at_once),
    WL_TEST (a_customer_whose_home_regions_hold_no_failure_domain_is_refused_at_once),
    WL_TEST (a_request_whose_lists_have_no_region_in_common_is_refused_at_once),
    WL_TEST (a_request_whose_home_is_evacuated_is_refused_at_once),
    WL_TEST (a_request_waits_for_the_registrations_at_home_after_the_start),
    WL_TEST (an_endpoint_with_a_limit_elsewhere_is_no_reason_to_wait),
    WL_TEST (a_permit_is_asked_for_an_endpoint_at_home),
    WL_TEST (an_unknown_region_is_logged_once_for_each_configuration),
  };
  apr_initialize ();
  return wl_test_run ("relay_homes", tests, sizeof tests / sizeof tests[0]);
}
