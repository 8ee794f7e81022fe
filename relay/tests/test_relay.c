#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include "wl_clock.h"
#include "wl_relay_fixture.h"
#include "wl_relay_internal.h"
#include "wl_test.h"

/* Requests through the relay: what is forwarded, what is refused, and how requests end. */

/* The requests of the first endpoint that has received any. */
static const char *
first_received (const RelayFixture *f)
{
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    if (f->endpoints[i].n_requests > 0)
      return f->endpoints[i].seen;
  return "";
}

/*
 * Guards against a path, field or body that is changed on its way, against the
 * customer's key reaching an endpoint, and against callers who name another
 * customer.
 */
START_TEST (a_request_and_its_response_are_forwarded_unchanged)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, RELAY_WHOLE, SCRIPT_KEEP);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_run (f, 60);
  const char *seen = first_received (f);
  ck_assert_ptr_nonnull (strstr (seen, "POST /once/x%2f?a=%20 HTTP/1.1\r\n"));
  ck_assert_ptr_nonnull (strstr (seen, "X-Other: kept\r\n"));
  ck_assert_ptr_nonnull (strstr (seen, "\r\n\r\nbody"));
  ck_assert_ptr_nonnull (strstr (seen, "X-Customer: acme\r\n"));
  ck_assert_ptr_null (strstr (seen, "k1"));
  const char *left = strstr (seen, "X-Left: ");
  ck_assert_ptr_nonnull (left);
  ck_assert_uint_le (strtoul (left + 8, NULL, 10), 900);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "X-Seal: s\r\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n\r\nok"));
  ck_assert_uint_eq (f->n_started, 1);
  ck_assert_uint_eq (f->n_ended, 1);
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against forwarding a response that is not certain to be the endpoint's own. */
START_TEST (a_success_without_a_seal_is_not_forwarded)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nno",
                            SCRIPT_KEEP);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_run (f, 60);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 502 "));
  ck_assert_ptr_null (strstr (f->caller.answer, "no\r\n"));
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against endpoints that go on with a request after its caller has disconnected. */
START_TEST (a_disconnected_caller_has_its_endpoint_connection_closed)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, NULL, SCRIPT_KEEP);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_run (f, 40);
  ck_assert_uint_eq (relay_fixture_n_runs (f), 1);
  raw_client_close (&f->caller);
  relay_fixture_run (f, 40);
  ck_assert_uint_eq (wl_relay_active (f->relay), 0);
  ck_assert_uint_eq (f->n_ended, 1);
  uint32_t n_closed = 0;
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    n_closed += f->endpoints[i].n_closed;
  ck_assert_uint_eq (n_closed, 1);
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against a request of a caller that waits no longer being sent with its route's timeout. */
START_TEST (a_request_without_time_left_is_refused_at_once)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, RELAY_WHOLE, SCRIPT_KEEP);
  raw_client_send (&f->caller, "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n"
                               "X-Left: 0\r\n\r\n");
  relay_fixture_run (f, 60);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_uint_eq (relay_fixture_n_runs (f), 0);
  ck_assert_uint_eq (wl_relay_active (f->relay), 0);
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (a_request_ends_at_its_time_limit)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, NULL, SCRIPT_KEEP);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_run (f, 40);
  wl_relay_tick (f->relay, wl_clock_now_us () + 900000);
  relay_fixture_run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 504 "));
  ck_assert_uint_eq (f->n_ended, 1);
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (a_node_that_has_just_started_parks_requests_until_it_has_a_configuration)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, RELAY_WHOLE, SCRIPT_KEEP);
  wl_relay_set_routes (f->relay, NULL);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_run (f, 30);
  ck_assert_uint_eq (f->caller.size, 0);
  wl_relay_set_routes (f->relay, relay_fixture_routes ());
  relay_fixture_run (f, 60);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  wl_relay_set_routes (f->relay, NULL);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_run (f, 20);
  wl_relay_tick (f->relay, wl_clock_now_us () + 1000000);
  relay_fixture_run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against a choice that takes endpoints for idle whose load is not known yet. */
START_TEST (a_choice_is_told_whether_the_load_is_partial)
{
  RelayFixture *f = relay_fixture_create ();
  wl_relay_set_load_partial (f->relay, 1);
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST); /* waits: no endpoint has registered */
  relay_fixture_run (f, 60);
  ck_assert_ptr_nonnull (f->relay->requests);
  ck_assert_uint_eq (f->relay->requests->choice_request.is_load_partial, 1);
  wl_relay_set_load_partial (f->relay, 0);
  wl_relay_choose (f->relay->requests, wl_clock_now_us ());
  ck_assert_uint_eq (f->relay->requests->choice_request.is_load_partial, 0);
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (unknown_routes_and_unknown_keys_have_different_statuses)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, RELAY_WHOLE, SCRIPT_KEEP);
  raw_client_send (&f->caller, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
  relay_fixture_run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 404 "));
  raw_client_send (&f->caller, "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Key: bad\r\n\r\n");
  relay_fixture_run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 401 "));
  wl_relay_set_routes (f->relay, NULL);
  relay_fixture_run (f, 700);
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  relay_fixture_run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_uint_eq (relay_fixture_n_runs (f), 0);
  relay_fixture_destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_request_and_its_response_are_forwarded_unchanged),
    WL_TEST (a_success_without_a_seal_is_not_forwarded),
    WL_TEST (a_disconnected_caller_has_its_endpoint_connection_closed),
    WL_TEST (a_request_without_time_left_is_refused_at_once),
    WL_TEST (a_request_ends_at_its_time_limit),
    WL_TEST (a_node_that_has_just_started_parks_requests_until_it_has_a_configuration),
    WL_TEST (a_choice_is_told_whether_the_load_is_partial),
    WL_TEST (unknown_routes_and_unknown_keys_have_different_statuses),
  };
  apr_initialize ();
  return wl_test_run ("relay", tests, sizeof tests / sizeof tests[0]);
}
