#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_host.h"
#include "wl_raw_client.h"
#include "wl_test.h"
#include "wl_test_loopback.h"

/*
 * The stop of a node: its callers' connections and operators' calls. The clock
 * is paused, and advanced by the tests.
 */

enum
{
  GRACE_US = 8000000,
  LINGER_US = 3300000,
  CLOSE_US = 7400000, /* in the last twelfth of the grace time */
};

typedef struct
{
  WlHost *host;
  uint16_t ports[2];
  RawClient caller;
} Fixture;

static Fixture f;
static uint64_t grace_us = GRACE_US;

static WlRoutes *
parse_any (WlBytes text, WlFindings *findings)
{
  (void)text;
  (void)findings;
  return wl_routes_create ();
}

/* Lets everything that waits on the sockets happen while the clock stands still. */
static void
settle (void)
{
  for (int i = 0; i < 5; i++)
    {
      wl_host_run_once (f.host);
      raw_client_receive (&f.caller);
    }
}

static void
advance (uint64_t us)
{
  wl_clock_set (wl_clock_now_us () + us);
  settle ();
}

static void
create (void)
{
  memset (&f, 0, sizeof f);
  wl_test_free_ports (f.ports, 2);
  const WlHostOptions options = {
    .node = wl_test_loopback (1),
    .domain = "z",
    .key = "key",
    .peer_port = f.ports[0],
    .client_port = f.ports[1],
    .grace_us = grace_us,
    .linger_us = LINGER_US,
    .address_lifetime_us = 1000000,
    .parse = parse_any,
  };
  wl_clock_set (wl_clock_now_us ());
  ck_assert_int_eq (wl_host_create (&options, &f.host), WL_OK);
  raw_client_connect_to (&f.caller, wl_test_loopback (1), f.ports[1]);
  settle ();
}

static void
destroy (void)
{
  raw_client_close (&f.caller);
  wl_host_destroy (f.host);
  grace_us = GRACE_US;
  wl_clock_set (0);
}

/* Guards against kept connections that end with the process, after the caller's next request. */
START_TEST (an_idle_connection_is_closed_in_order_before_the_exit)
{
  create ();
  wl_host_stop (f.host);
  advance (LINGER_US / 2);
  ck_assert_int_eq (f.caller.is_closed, 0);
  advance (LINGER_US);
  ck_assert_int_eq (f.caller.is_closed, 1);
  ck_assert_uint_eq (f.caller.size, 0);
  raw_client_close (&f.caller);
  settle ();
  ck_assert_int_eq (wl_host_may_exit (f.host), 1);
  destroy ();
}
END_TEST

/* Guards against requests that have been read in part and get no response at the exit. */
START_TEST (a_request_that_has_arrived_in_part_is_refused_before_the_exit)
{
  create ();
  raw_client_send (&f.caller,
                   "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n");
  settle ();
  wl_host_stop (f.host);
  advance (LINGER_US + 100000);
  ck_assert_int_eq (wl_host_may_exit (f.host), 0);
  ck_assert_uint_eq (f.caller.size, 0);
  advance (CLOSE_US - LINGER_US - 100000);
  ck_assert_ptr_nonnull (strstr (f.caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f.caller.answer, "Retry-After: 0\r\n"));
  ck_assert_int_eq (f.caller.is_closed, 1);
  destroy ();
}
END_TEST

/* Guards against a request without a response: it was on its way when its connection was closed. */
START_TEST (a_request_that_arrives_as_the_node_closes_is_answered)
{
  create ();
  wl_host_stop (f.host);
  settle ();
  wl_clock_set (wl_clock_now_us () + CLOSE_US);
  raw_client_send (&f.caller, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  settle ();
  ck_assert_ptr_nonnull (strstr (f.caller.answer, " 503 "));
  destroy ();
}
END_TEST

/* Guards against a process that the provider has to kill. */
START_TEST (a_node_exits_before_the_grace_time_ends_even_if_callers_stay)
{
  create ();
  raw_client_send (&f.caller, "GET /x HTTP/1.1\r\nHost: h\r\n");
  settle ();
  wl_host_stop (f.host);
  advance (CLOSE_US);
  ck_assert_int_eq (wl_host_may_exit (f.host), 0); /* the caller has not closed its side */
  advance (GRACE_US - CLOSE_US - 100000);
  ck_assert_int_eq (wl_host_may_exit (f.host), 1);
  destroy ();
}
END_TEST

/* Guards against a process that is killed at the end of a short grace time, or ends requests early.
 */
START_TEST (a_short_grace_time_leaves_time_to_exit_and_ends_requests_in_its_last_sixth)
{
  grace_us = 2000000;
  create ();
  raw_client_send (&f.caller, "GET /x HTTP/1.1\r\nHost: h\r\n");
  settle ();
  wl_host_stop (f.host);
  advance (grace_us - grace_us / 6);
  ck_assert_uint_eq (f.caller.size, 0);
  advance (grace_us / 6 - 200000);
  ck_assert_ptr_nonnull (strstr (f.caller.answer, " 503 "));
  ck_assert_int_eq (wl_host_may_exit (f.host), 0);
  advance (100000);
  ck_assert_int_eq (wl_host_may_exit (f.host), 1);
  destroy ();
}
END_TEST

static uint32_t n_answers;
static WlHostOutcome outcome;

static void
on_answer (void *data, WlHostOutcome result, WlBytes config)
{
  (void)data;
  (void)config;
  n_answers++;
  outcome = result;
}

/* Guards against operators' calls that end with the process, without a response. */
START_TEST (a_call_that_waits_for_the_leader_is_answered_before_the_exit)
{
  create ();
  wl_host_stop (f.host);
  advance (LINGER_US);
  n_answers = 0;
  ck_assert_uint_ne (wl_host_read_config (f.host, on_answer, NULL), 0);
  settle ();
  ck_assert_uint_eq (n_answers, 0);
  advance (100000);
  ck_assert_int_eq (wl_host_is_closing (f.host), 1);
  ck_assert_uint_eq (n_answers, 1);
  ck_assert_int_eq (outcome, WL_HOST_UNKNOWN);
  ck_assert_uint_eq (wl_host_read_config (f.host, on_answer, NULL), 0);
  destroy ();
}
END_TEST

/* Guards against requests that end with the process because it did not run for a while. */
START_TEST (a_node_that_was_held_up_answers_before_it_exits)
{
  create ();
  raw_client_send (&f.caller, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo");
  settle ();
  wl_host_stop (f.host);
  settle ();
  wl_clock_set (wl_clock_now_us () + GRACE_US);
  ck_assert_int_eq (wl_host_may_exit (f.host), 0);
  wl_host_run_once (f.host);
  ck_assert_int_eq (wl_host_may_exit (f.host), 1);
  raw_client_receive (&f.caller);
  ck_assert_ptr_nonnull (strstr (f.caller.answer, " 503 "));
  destroy ();
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (an_idle_connection_is_closed_in_order_before_the_exit),
    WL_TEST (a_request_that_has_arrived_in_part_is_refused_before_the_exit),
    WL_TEST (a_request_that_arrives_as_the_node_closes_is_answered),
    WL_TEST (a_node_exits_before_the_grace_time_ends_even_if_callers_stay),
    WL_TEST (a_short_grace_time_leaves_time_to_exit_and_ends_requests_in_its_last_sixth),
    WL_TEST (a_call_that_waits_for_the_leader_is_answered_before_the_exit),
    WL_TEST (a_node_that_was_held_up_answers_before_it_exits),
  };
  apr_initialize ();
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  return wl_test_run ("host_stop", tests, sizeof tests / sizeof tests[0]);
}
