#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <apr_general.h>
#include "wl_clock.h"
#include "wl_relay_fixture.h"
#include "wl_test.h"

/* Requests at a relay whose node stops. The clock is paused, and advanced by the tests. */

enum
{
  LARGE_PROMPT = 20000,
  LONG_LIMIT_MS = 15000, /* behind the exit */
  SHORT_LIMIT_MS = 5000, /* before it */
  GRACE_US = 7000000,    /* from the beginning of the stop to wl_relay_close() */
  MOVE_US = 1000000,     /* until callers use other nodes */
};

#define EVENT_STREAM                                                                               \
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"                 \
  "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: 1\n\n\r\n"

static RelayFixture *
create (void)
{
  wl_clock_set (wl_clock_now_us ());
  return relay_fixture_create ();
}

static void
destroy (RelayFixture *f)
{
  wl_clock_set (0);
  relay_fixture_destroy (f);
}

static void
advance (RelayFixture *f, uint64_t us)
{
  wl_clock_set (wl_clock_now_us () + us);
  relay_fixture_settle (f); /* ends with a tick; what it sends arrives in the next one */
  relay_fixture_settle (f);
}

static void
stop (RelayFixture *f, uint64_t close_delay_us)
{
  uint64_t now_us = wl_clock_now_us ();
  const WlRelayStop times = { now_us, now_us + MOVE_US, now_us + close_delay_us };
  wl_web_drain (f->web);
  wl_relay_stop (f->relay, &times);
  relay_fixture_settle (f);
}

static void
send_large (RelayFixture *f, int limit_ms)
{
  char text[256];
  snprintf (text, sizeof text,
            "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: %d\r\n"
            "X-Prompt: %d\r\nContent-Length: 0\r\n\r\n",
            limit_ms, LARGE_PROMPT);
  raw_client_send (&f->caller, text);
  relay_fixture_settle (f);
}

/* Occupies the only engine, so that a large prompt has to wait for its memory. */
static void
send_large_that_waits (RelayFixture *f, int limit_ms)
{
  WlWorkItem item = { .id = 1,
                      .endpoint = wl_fleet_key ("engine-0"),
                      .phase = WL_WORK_DECODING,
                      .kv_tokens = RELAY_FIXTURE_MEMORY };
  relay_fixture_register_engine (f, 0);
  wl_load_apply (f->load, 2, 1, &item, wl_clock_now_us ());
  send_large (f, limit_ms);
  ck_assert_uint_eq (wl_relay_active (f->relay), 1);
  ck_assert_uint_eq (relay_fixture_n_runs (f), 0);
}

/* Guards against requests that wait until the exit, and learn only then that they were not run. */
START_TEST (a_request_that_waits_is_refused_once_its_caller_can_use_another_node)
{
  RelayFixture *f = create ();
  send_large_that_waits (f, SHORT_LIMIT_MS);
  stop (f, GRACE_US);
  advance (f, MOVE_US - 1000);
  ck_assert_uint_eq (f->caller.size, 0);
  advance (f, 20000); /* the interval in which placement is tried again */
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "Retry-After: 0."));
  ck_assert_uint_eq (wl_relay_active (f->relay), 0);
  ck_assert_uint_eq (relay_fixture_n_runs (f), 0);
  destroy (f);
}
END_TEST

/* Guards against requests that are told late what was known when the stop began. */
START_TEST (a_request_that_cannot_be_answered_before_the_exit_does_not_wait)
{
  RelayFixture *f = create ();
  send_large_that_waits (f, LONG_LIMIT_MS);
  stop (f, 500000);
  advance (f, 20000);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_uint_eq (wl_relay_active (f->relay), 0);
  destroy (f);
}
END_TEST

/* Guards against requests that are sent to an endpoint and cut by the exit. */
START_TEST (a_request_that_would_outlast_the_node_is_refused_on_arrival)
{
  RelayFixture *f = create ();
  relay_fixture_register_engine (f, 0);
  stop (f, 500000);
  send_large (f, LONG_LIMIT_MS);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "Retry-After: 0."));
  ck_assert_uint_eq (relay_fixture_n_runs (f), 0);
  destroy (f);
}
END_TEST

/* Guards against streams that are taken by their forecast, outlast it and are cut by the exit. */
START_TEST (a_request_that_may_outlast_the_node_is_refused_although_its_forecast_fits)
{
  RelayFixture *f = create ();
  relay_fixture_register_engine (f, 0);
  stop (f, GRACE_US);
  advance (f, MOVE_US);
  send_large (f, LONG_LIMIT_MS);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "Retry-After: 0."));
  ck_assert_uint_eq (relay_fixture_n_runs (f), 0);
  destroy (f);
}
END_TEST

/* A listening socket at an endpoint's place, for responses that are sent or ended by hand. */
static int
listen_as_endpoint (uint16_t *port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof sa;
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (listen (listener, 8), 0);
  getsockname (listener, (struct sockaddr *)&sa, &size);
  *port = ntohs (sa.sin_port);
  return listener;
}

/* Guards against prompts that wait for memory when a stop begins, and are sent without a check. */
START_TEST (a_request_whose_memory_is_reserved_after_a_stop_began_is_refused)
{
  static const char held[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  uint16_t port;
  RelayFixture *f = create ();
  int listener = listen_as_endpoint (&port);
  relay_fixture_register_engine (f, 0);
  relay_fixture_register_engine (f, 1);
  wl_fleet_find (f->fleet, "engine-1")->record.port = port;
  relay_fixture_occupy (f, "engine-1"); /* so that engine-0 answers */
  raw_client_send (&f->caller, "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n"
                               "X-Prompt: 60000\r\nContent-Length: 0\r\n\r\n");
  relay_fixture_settle (f);
  int fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  stop (f, GRACE_US);
  ck_assert_int_eq (send (fd, held, sizeof held - 1, MSG_NOSIGNAL), sizeof held - 1);
  relay_fixture_settle (f);
  relay_fixture_settle (f);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_uint_eq (relay_fixture_n_seen (f, "POST /large/"), 0);
  close (fd);
  close (listener);
  destroy (f);
}
END_TEST

/* Guards against failing a request that another endpoint can answer, since it cannot be refused. */
START_TEST (a_request_that_may_have_run_is_tried_again_although_it_may_outlast_the_node)
{
  uint16_t port;
  RelayFixture *f = create ();
  int listener = listen_as_endpoint (&port);
  relay_fixture_register (f, 0, port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_settle (f);
  int fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  script_server_add (&f->endpoints[1], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  stop (f, 1500000); /* the route allows 2 s */
  close (fd);
  advance (f, 0);
  ck_assert_ptr_null (strstr (f->caller.answer, " 502 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  close (listener);
  destroy (f);
}
END_TEST

/* Guards against failing such a request because its caller could use another node. */
START_TEST (a_request_that_may_have_run_waits_for_an_endpoint_while_the_node_stops)
{
  uint16_t port;
  WlWorkItem items[8]; /* twice the slots of the other endpoint */
  RelayFixture *f = create ();
  int listener = listen_as_endpoint (&port);
  relay_fixture_register (f, 0, port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_settle (f);
  int fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  script_server_add (&f->endpoints[1], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  for (uint32_t i = 0; i < 8; i++)
    {
      items[i]
          = (WlWorkItem){ .id = i + 1, .endpoint = wl_fleet_key ("e1"), .phase = WL_WORK_SENT };
      wl_load_apply (f->load, 2, 1, &items[i], wl_clock_now_us ());
    }
  stop (f, GRACE_US);
  close (fd);
  advance (f, MOVE_US + 100000); /* of the 2 s that the route allows */
  ck_assert_uint_eq (f->caller.size, 0);
  for (uint32_t i = 0; i < 8; i++)
    {
      items[i].phase = WL_WORK_ENDED;
      wl_load_apply (f->load, 2, 1, &items[i], wl_clock_now_us ());
    }
  advance (f, 20000); /* the interval in which placement is tried again */
  advance (f, 0);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  close (listener);
  destroy (f);
}
END_TEST

/* Guards against an engine that gets a request after its limit, with a time limit without end. */
START_TEST (a_request_whose_memory_is_reserved_after_its_limit_is_not_sent)
{
  static const char held[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  uint16_t port;
  RelayFixture *f = create ();
  int listener = listen_as_endpoint (&port);
  relay_fixture_register_engine (f, 0);
  relay_fixture_register_engine (f, 1);
  wl_fleet_find (f->fleet, "engine-1")->record.port = port;
  relay_fixture_occupy (f, "engine-1"); /* so that engine-0 answers */
  stop (f, 2 * GRACE_US);
  raw_client_send (&f->caller, "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n"
                               "X-Left: 9000\r\nX-Prompt: 60000\r\nContent-Length: 0\r\n\r\n");
  relay_fixture_settle (f);
  int fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  wl_clock_set (wl_clock_now_us () + 9001000); /* the loop was held up: no tick until then */
  ck_assert_int_eq (send (fd, held, sizeof held - 1, MSG_NOSIGNAL), sizeof held - 1);
  relay_fixture_settle (f);
  relay_fixture_settle (f);
  ck_assert_uint_eq (relay_fixture_n_seen (f, "POST /large/"), 0);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  close (fd);
  close (listener);
  destroy (f);
}
END_TEST

/* Guards against refusals of requests that end by their own limit while the node is there. */
START_TEST (a_request_whose_limit_is_before_the_exit_is_taken)
{
  RelayFixture *f = create ();
  relay_fixture_all_answer (f, RELAY_WHOLE, SCRIPT_KEEP);
  stop (f, GRACE_US);
  advance (f, MOVE_US);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  advance (f, 0);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  destroy (f);
}
END_TEST

START_TEST (a_stopping_node_serves_what_it_can_answer_before_its_exit)
{
  RelayFixture *f = create ();
  relay_fixture_all_answer (f, RELAY_WHOLE, SCRIPT_KEEP);
  stop (f, GRACE_US);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  advance (f, 0);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "Connection: close\r\n"));
  destroy (f);
}
END_TEST

/* Guards against callers that learn nothing when the node exits before the endpoint responds. */
START_TEST (a_request_at_an_endpoint_fails_with_504_at_the_exit)
{
  RelayFixture *f = create ();
  relay_fixture_all_answer (f, NULL, SCRIPT_KEEP);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_settle (f);
  ck_assert_uint_eq (relay_fixture_n_runs (f), 1);
  stop (f, GRACE_US);
  ck_assert_uint_eq (f->caller.size, 0);
  wl_relay_close (f->relay);
  relay_fixture_settle (f);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 504 "));
  ck_assert_uint_eq (wl_relay_active (f->relay), 0);
  destroy (f);
}
END_TEST

/* Guards against a refusal ("not run") at the exit of a request that an endpoint has. */
START_TEST (a_request_that_waits_is_refused_at_the_exit_and_one_that_was_sent_is_not)
{
  RelayFixture *f = create ();
  send_large_that_waits (f, SHORT_LIMIT_MS);
  stop (f, GRACE_US);
  wl_relay_close (f->relay);
  relay_fixture_settle (f);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_uint_eq (relay_fixture_n_runs (f), 0);
  destroy (f);
}
END_TEST

/* Guards against a stream that the exit cuts and that looks complete, or loses queued events. */
START_TEST (a_stream_in_progress_is_broken_off_after_its_events_at_the_exit)
{
  RelayFixture *f = create ();
  relay_fixture_all_answer (f, EVENT_STREAM, SCRIPT_KEEP);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_settle (f);
  stop (f, GRACE_US);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  wl_relay_close (f->relay);
  relay_fixture_settle (f);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "id: 1\ndata: 1\n\n\r\n"));
  ck_assert_ptr_null (strstr (f->caller.answer, "\r\n0\r\n\r\n"));
  ck_assert_int_eq (f->caller.is_closed, 1);
  ck_assert_uint_eq (wl_relay_metrics (f->relay)->cut, 1);
  destroy (f);
}
END_TEST

/* Guards against requests read in the last moments that end without a response. */
START_TEST (a_request_that_is_read_after_the_others_have_ended_is_refused)
{
  RelayFixture *f = create ();
  relay_fixture_all_answer (f, RELAY_WHOLE, SCRIPT_KEEP);
  stop (f, GRACE_US);
  wl_relay_close (f->relay);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_settle (f);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_uint_eq (relay_fixture_n_runs (f), 0);
  destroy (f);
}
END_TEST

/* Guards against a request that waits for the first configuration and is dropped at the exit. */
START_TEST (a_request_that_waits_for_a_configuration_is_refused_at_the_exit)
{
  RelayFixture *f = create ();
  wl_relay_set_routes (f->relay, NULL);
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  relay_fixture_settle (f);
  ck_assert_uint_eq (wl_relay_active (f->relay), 1);
  stop (f, GRACE_US);
  wl_relay_close (f->relay);
  relay_fixture_settle (f);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_uint_eq (wl_relay_active (f->relay), 0);
  destroy (f);
}
END_TEST

/* Guards against a stop that breaks off a stream whose endpoint pauses, for one that rejects it. */
START_TEST (a_silent_stream_stays_at_its_endpoint_while_the_node_stops)
{
  RelayFixture *f = create ();
  script_server_add (&f->endpoints[0], EVENT_STREAM, SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_settle (f);
  stop (f, GRACE_US);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  advance (f, 1000000);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 0);
  ck_assert_int_eq (f->caller.is_closed, 0);
  destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_request_that_waits_is_refused_once_its_caller_can_use_another_node),
    WL_TEST (a_request_that_cannot_be_answered_before_the_exit_does_not_wait),
    WL_TEST (a_request_that_would_outlast_the_node_is_refused_on_arrival),
    WL_TEST (a_request_that_may_outlast_the_node_is_refused_although_its_forecast_fits),
    WL_TEST (a_request_whose_memory_is_reserved_after_a_stop_began_is_refused),
    WL_TEST (a_request_that_may_have_run_is_tried_again_although_it_may_outlast_the_node),
    WL_TEST (a_request_that_may_have_run_waits_for_an_endpoint_while_the_node_stops),
    WL_TEST (a_request_whose_memory_is_reserved_after_its_limit_is_not_sent),
    WL_TEST (a_request_whose_limit_is_before_the_exit_is_taken),
    WL_TEST (a_stopping_node_serves_what_it_can_answer_before_its_exit),
    WL_TEST (a_request_at_an_endpoint_fails_with_504_at_the_exit),
    WL_TEST (a_request_that_waits_is_refused_at_the_exit_and_one_that_was_sent_is_not),
    WL_TEST (a_stream_in_progress_is_broken_off_after_its_events_at_the_exit),
    WL_TEST (a_request_that_is_read_after_the_others_have_ended_is_refused),
    WL_TEST (a_request_that_waits_for_a_configuration_is_refused_at_the_exit),
    WL_TEST (a_silent_stream_stays_at_its_endpoint_while_the_node_stops),
  };
  apr_initialize ();
  return wl_test_run ("relay_stop", tests, sizeof tests / sizeof tests[0]);
}
