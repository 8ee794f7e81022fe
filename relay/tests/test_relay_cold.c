#include <apr_general.h>
#include "wl_test_parts.h"

/*
 * Requests to endpoints that are cold. One node, which sees no other: it holds all of what an
 * endpoint tolerates.
 */

enum
{
  COLD_START_US = 1000000,
  COLD_MS = 60000,
  RATE = 2000,        /* requests in 1,000 s */
  TOO_LOW_RATE = 500, /* below one in a second: a cold endpoint gets nothing */
  STEP_US = 500000,   /* a longer one counts as a freeze */
};

#define COLD_ANSWER                                                                                \
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nX-Cold: 60000\r\nContent-Length: 2\r\n\r\nok"
#define OTHER_ENDPOINT "HTTP/1.1 421 Other\r\nX-Id: 1\r\nX-Cold: 60000\r\nContent-Length: 0\r\n\r\n"

static void
pass (Fixture *f, uint64_t us)
{
  for (; us > STEP_US; us -= STEP_US)
    advance (f, STEP_US);
  advance (f, us);
}

static void
set_rate (Fixture *f, uint64_t rate)
{
  WlRoutes *routes = relay_fixture_routes ();
  for (uint32_t i = 0; i < routes->n_services; i++)
    {
      routes->services[i].cold_start_us = COLD_START_US;
      routes->services[i].cold_rate = rate;
    }
  wl_relay_set_routes (f->relay->relay, routes);
}

/* A relay whose services have this rate, after the time in which it sends nothing. */
static Fixture
create_cold (uint64_t rate)
{
  Fixture f = create ();
  set_rate (&f, rate);
  pass (&f, WL_WARMUP_HOLD_US + 100000);
  return f;
}

/* Endpoint eN registers again, with a later sequence, and says this. */
static void
say (Fixture *f, uint32_t i, uint32_t cold_left_ms)
{
  char id[8];
  snprintf (id, sizeof id, "e%u", i);
  WlEndpointRecord again = wl_fleet_find (f->relay->fleet, id)->record;
  again.sequence++;
  again.cold_left_ms = cold_left_ms;
  wl_fleet_apply (f->relay->fleet, &again, wl_clock_now_us ());
}

static void
add (Fixture *f, uint32_t i, const char *answer, uint32_t cold_left_ms)
{
  script_server_add (&f->relay->endpoints[i], answer, SCRIPT_KEEP);
  relay_fixture_register (f->relay, i, f->relay->endpoints[i].port);
  say (f, i, cold_left_ms);
}

static void
send_text (Fixture *f, const char *text)
{
  raw_client_send (&f->relay->caller, text);
  advance (f, 0);
}

static const WlMetrics *
metrics (const Fixture *f)
{
  return wl_relay_metrics (f->relay->relay);
}

static int
is_answered (const Fixture *f)
{
  return strstr (f->relay->caller.answer, "200 OK") != NULL;
}

/* Guards against a burst at an endpoint that has just started. */
START_TEST (a_cold_endpoint_gets_a_request_only_with_a_token)
{
  Fixture f = create_cold (RATE);
  add (&f, 0, RELAY_WHOLE, COLD_MS);
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  ck_assert_uint_eq (metrics (&f)->cold_waited, 1);
  pass (&f, 600000);
  ck_assert (is_answered (&f));
  ck_assert_uint_eq (metrics (&f)->cold_sent, 1);
  ck_assert_uint_eq (wl_relay_n_cold (f.relay->relay), 1);
  ck_assert_uint_eq (wl_fleet_find (f.relay->fleet, "e0")->cold_share.n_sent, 1);
  script_server_add (&f.relay->endpoints[0], RELAY_WHOLE, SCRIPT_KEEP);
  send_text (&f, RELAY_SAFE_REQUEST);
  pass (&f, 400000);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  pass (&f, 200000);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 2);
  destroy (&f);
}
END_TEST

/* Guards against a request that waits for a token that it could not use. */
START_TEST (a_request_does_not_wait_for_a_cold_endpoint_outside_its_home_regions)
{
  static const char *south[] = { "south" };
  Fixture f = create_cold (RATE);
  WlRoutes *routes = relay_fixture_routes ();
  routes->services[0].cold_start_us = COLD_START_US;
  routes->services[0].cold_rate = RATE;
  routes->routes[0].homes = (WlRouteRegions){ south, 1 };
  wl_relay_set_routes (f.relay->relay, routes);
  add (&f, 0, RELAY_WHOLE, COLD_MS);
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, " 503 "));
  ck_assert_uint_eq (metrics (&f)->refused[WL_REASON_NO_HOME], 1);
  ck_assert_uint_eq (metrics (&f)->cold_waited, 0);
  destroy (&f);
}
END_TEST

/* Guards against a request that waits although no cold endpoint can serve it in time. */
START_TEST (a_request_is_refused_at_once_when_no_token_comes_in_time)
{
  Fixture f = create_cold (TOO_LOW_RATE);
  add (&f, 0, RELAY_WHOLE, COLD_MS);
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "Retry-After: 3."));
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 0);
  ck_assert_uint_eq (metrics (&f)->refused[WL_REASON_COLD], 1);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  destroy (&f);
}
END_TEST

/* Guards against a refusal of what an endpoint that is nearly warm could serve. */
START_TEST (a_request_waits_for_an_endpoint_that_is_warm_in_time)
{
  Fixture f = create_cold (TOO_LOW_RATE);
  add (&f, 0, RELAY_WHOLE, 800);
  send_text (&f, RELAY_SAFE_REQUEST);
  pass (&f, 700000);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  pass (&f, 150000);
  ck_assert (is_answered (&f));
  ck_assert_uint_eq (metrics (&f)->cold_sent, 0);
  destroy (&f);
}
END_TEST

/* Guards against tokens that are waited for while a warm endpoint has room. */
START_TEST (a_warm_endpoint_serves_a_request_at_once)
{
  Fixture f = create_cold (RATE);
  add (&f, 0, RELAY_WHOLE, COLD_MS);
  add (&f, 1, RELAY_WHOLE, 0);
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert (is_answered (&f));
  ck_assert_uint_eq (f.relay->endpoints[1].n_requests, 1);
  ck_assert_uint_eq (metrics (&f)->cold_waited, 0);
  destroy (&f);
}
END_TEST

/* Guards against an endpoint that says nothing and is taken for warm right after its start. */
START_TEST (an_endpoint_that_does_not_say_is_cold_after_its_start)
{
  Fixture f = create_cold (TOO_LOW_RATE);
  WlEndpointRecord r = { .address = htonl (INADDR_LOOPBACK), .slots = 4, .started_ms = 1 };
  r.port = f.relay->endpoints[0].port;
  r.cold_left_ms = WL_ENDPOINT_COLD_UNKNOWN;
  strcpy (r.id, "e0");
  strcpy (r.service, "s");
  script_server_add (&f.relay->endpoints[0], RELAY_WHOLE, SCRIPT_KEEP);
  wl_fleet_apply (f.relay->fleet, &r, wl_clock_now_us ());
  send_text (&f, RELAY_SAFE_REQUEST);
  pass (&f, COLD_START_US - 50000);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  pass (&f, 100000);
  ck_assert (is_answered (&f));
  destroy (&f);
}
END_TEST

/* Guards against endpoints that became cold unseen during the evacuation of their domain. */
START_TEST (the_endpoints_of_a_returned_domain_are_cold_until_they_register)
{
  Fixture f = create_cold (TOO_LOW_RATE);
  add (&f, 0, RELAY_WHOLE, 0);
  wl_relay_domain_returned (f.relay->relay, "other", wl_clock_now_us ());
  ck_assert_uint_eq (wl_relay_n_cold (f.relay->relay), 0);
  wl_relay_domain_returned (f.relay->relay, "z", wl_clock_now_us ());
  WlEndpointRecord old = wl_fleet_find (f.relay->fleet, "e0")->record;
  wl_fleet_apply (f.relay->fleet, &old, wl_clock_now_us ());
  send_text (&f, RELAY_SAFE_REQUEST);
  pass (&f, 300000);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  ck_assert_uint_eq (wl_relay_n_cold (f.relay->relay), 1);
  say (&f, 0, 0);
  pass (&f, 100000);
  ck_assert (is_answered (&f));
  ck_assert_uint_eq (metrics (&f)->cold_sent, 0);
  destroy (&f);
}
END_TEST

/* Guards against a response that names a warm-up and is not heard. */
START_TEST (a_response_says_that_its_endpoint_is_cold)
{
  Fixture f = create_cold (RATE);
  add (&f, 0, COLD_ANSWER, 0);
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert (is_answered (&f));
  pass (&f, 100000);
  ck_assert_uint_eq (wl_relay_n_cold (f.relay->relay), 1);
  destroy (&f);
}
END_TEST

/* Guards against the word of another endpoint at the same address. */
START_TEST (a_response_of_another_endpoint_says_nothing)
{
  Fixture f = create_cold (RATE);
  add (&f, 0, OTHER_ENDPOINT, 0);
  send_text (&f, RELAY_SAFE_REQUEST);
  pass (&f, 100000);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  ck_assert_uint_eq (wl_relay_n_cold (f.relay->relay), 0);
  destroy (&f);
}
END_TEST

static void
send_larger_than_an_engine (Fixture *f)
{
  send_text (f, "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n"
                "X-Prompt: 60000\r\nContent-Length: 0\r\n\r\n");
}

static void
become_cold (Fixture *f, const char *id)
{
  wl_fleet_note_cold (wl_fleet_find (f->relay->fleet, id), COLD_MS * UINT64_C (1000),
                      wl_clock_now_us ());
}

/* An engine becomes cold while the memory for a request is being reserved. */
static void
check_not_sent (const char *id)
{
  Fixture f = create_cold (TOO_LOW_RATE);
  relay_fixture_register_engine (f.relay, 0);
  relay_fixture_register_engine (f.relay, 1);
  script_server_add (&f.relay->endpoints[1], NULL, SCRIPT_KEEP);
  relay_fixture_occupy (f.relay, "engine-1"); /* so that the other one answers */
  send_larger_than_an_engine (&f);
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /reserve"), 1);
  become_cold (&f, id);
  script_server_send (&f.relay->endpoints[1], "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  advance (&f, 0);
  advance (&f, 10000);
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /large/"), 0);
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /release"), 1);
  destroy (&f);
}

/* Guards against an attempt whose endpoint became cold after the choice. */
START_TEST (an_attempt_is_not_sent_when_its_endpoint_became_cold)
{
  check_not_sent ("engine-0");
}
END_TEST

/* Guards against an attempt one of whose helpers did. */
START_TEST (an_attempt_is_not_sent_when_its_helper_became_cold)
{
  check_not_sent ("engine-1");
}
END_TEST

/*
 * The only engine is cold, without a token and with one. Guards against a prompt that no engine can
 * hold, and that waits for tokens until its time limit instead of being refused at once.
 */
START_TEST (a_prompt_that_is_too_large_does_not_wait_for_a_token)
{
  Fixture f = create_cold (RATE);
  relay_fixture_register_engine (f.relay, 0);
  become_cold (&f, "engine-0");
  send_larger_than_an_engine (&f);
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 0);
  ck_assert_uint_eq (metrics (&f)->refused[WL_REASON_TOO_LARGE], 1);
  pass (&f, 600000);
  send_larger_than_an_engine (&f);
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 0);
  ck_assert_uint_eq (metrics (&f)->refused[WL_REASON_TOO_LARGE], 2);
  destroy (&f);
}
END_TEST

/* Guards against a deployment without cold_rate that is served in another way than before. */
START_TEST (endpoints_of_a_service_without_a_rate_are_never_cold)
{
  Fixture f = create ();
  set_rate (&f, 0);
  add (&f, 0, RELAY_WHOLE, COLD_MS);
  say (&f, 0, COLD_MS);
  wl_relay_domain_returned (f.relay->relay, "z", wl_clock_now_us ());
  WlEndpointRecord colder = wl_fleet_find (f.relay->fleet, "e0")->record;
  colder.sequence++;
  colder.cold_left_ms = 2 * COLD_MS;
  ck_assert_int_eq (wl_fleet_apply (f.relay->fleet, &colder, wl_clock_now_us ()), 0);
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert (is_answered (&f));
  ck_assert_uint_eq (wl_relay_n_cold (f.relay->relay), 0);
  ck_assert_uint_eq (wl_relay_n_known (f.relay->relay), 0);
  ck_assert_uint_eq (metrics (&f)->cold_sent + metrics (&f)->cold_waited, 0);
  destroy (&f);
}
END_TEST

/* Guards against an operator who is not told which endpoints were cold, and why requests wait. */
START_TEST (the_log_names_cold_endpoints)
{
  Fixture f = create_cold (TOO_LOW_RATE);
  add (&f, 0, RELAY_WHOLE, 400);
  pass (&f, 100000);
  pass (&f, 400000);
  const char *log = read_log (&f);
  ck_assert_ptr_nonnull (strstr (log, "WL3016 endpoint=e0 service=s left_ms="));
  ck_assert_ptr_nonnull (strstr (log, " is_said=1 is_returned=0"));
  ck_assert_ptr_nonnull (strstr (log, "WL3017 endpoint=e0 service=s sent=0"));
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_cold_endpoint_gets_a_request_only_with_a_token),
    WL_TEST (a_request_does_not_wait_for_a_cold_endpoint_outside_its_home_regions),
    WL_TEST (a_request_is_refused_at_once_when_no_token_comes_in_time),
    WL_TEST (a_request_waits_for_an_endpoint_that_is_warm_in_time),
    WL_TEST (a_warm_endpoint_serves_a_request_at_once),
    WL_TEST (an_endpoint_that_does_not_say_is_cold_after_its_start),
    WL_TEST (the_endpoints_of_a_returned_domain_are_cold_until_they_register),
    WL_TEST (a_response_says_that_its_endpoint_is_cold),
    WL_TEST (a_response_of_another_endpoint_says_nothing),
    WL_TEST (an_attempt_is_not_sent_when_its_endpoint_became_cold),
    WL_TEST (an_attempt_is_not_sent_when_its_helper_became_cold),
    WL_TEST (a_prompt_that_is_too_large_does_not_wait_for_a_token),
    WL_TEST (endpoints_of_a_service_without_a_rate_are_never_cold),
    WL_TEST (the_log_names_cold_endpoints),
  };
  apr_initialize ();
  return wl_test_run ("relay_cold", tests, sizeof tests / sizeof tests[0]);
}
