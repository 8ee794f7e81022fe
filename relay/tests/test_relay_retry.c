#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include "wl_clock.h"
#include "wl_relay_fixture.h"
#include "wl_relay_internal.h"
#include "wl_test.h"

/*
 * Failed attempts: endpoints that refuse connections, close them early, reject
 * requests, respond with errors, or send nothing.
 */

enum
{
  ENDLESS_BYTES = 3 << 19, /* more than WL_RELAY_BODY_MAX_BYTES */
  LONG_BYTES = 24 << 20,   /* more than kernels keep for a connection */
  EVENT_BYTES = 4096,
  LONG_TURNS = 1000, /* enough for all of it */
  TURNS_MAX = 200,   /* of the loop; the limit only ends a test that has failed */
};

/* Guards against running a request twice: it may have run before the connection closed. */
START_TEST (a_non_idempotent_request_is_not_retried_after_a_broken_connection)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, NULL, SCRIPT_CLOSE);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_run (f, 100);
  ck_assert_uint_eq (relay_fixture_n_runs (f), 1);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 502 "));
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (an_idempotent_request_is_retried_at_most_once)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (f, NULL, SCRIPT_CLOSE);
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    f->endpoints[i].steps[0] = (ScriptStep){ i == 1 ? RELAY_WHOLE : NULL, SCRIPT_CLOSE };
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  relay_fixture_run (f, 100);
  ck_assert_uint_le (relay_fixture_n_runs (f), 2);
  ck_assert_uint_ge (relay_fixture_n_runs (f), 1);
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (an_error_is_forwarded_when_no_other_endpoint_is_left)
{
  RelayFixture *f = relay_fixture_create ();
  script_server_add (&f->endpoints[0],
                     "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad",
                     SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  relay_fixture_run (f, 60);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 500 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "X-Seal: s\r\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n\r\nbad"));
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (a_rejected_request_is_refused_with_retry_after)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_all_answer (
      f, "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", SCRIPT_KEEP);
  raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
  relay_fixture_run (f, 60);
  ck_assert_uint_eq (relay_fixture_n_runs (f), 1);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "Retry-After: "));
  relay_fixture_destroy (f);
}
END_TEST

/*
 * Guards against blaming the wrong endpoint. Endpoint 0 rejects a request since
 * its helper, endpoint 1, does not respond. The next attempt excludes endpoint
 * 1, which is ejected only if it had enough time to respond.
 */
static void
reject_because_of_helper (RelayFixture *f, uint64_t delay_us)
{
  char answer[160];
  snprintf (answer, sizeof answer,
            "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nX-Fault: %u\r\n"
            "Content-Length: 0\r\n\r\n",
            f->endpoints[1].port);
  script_server_add (&f->endpoints[0], answer, SCRIPT_KEEP);
  script_server_add (&f->endpoints[1], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  relay_fixture_occupy (f, "e1");
  uint64_t now_us = wl_clock_now_us ();
  wl_clock_set (now_us);
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  for (int i = 0; i < 50 && f->endpoints[0].n_requests == 0; i++)
    wl_reactor_poll (f->reactor, 1000);
  wl_clock_set (now_us + delay_us);
  relay_fixture_settle (f);
  ck_assert_uint_eq (f->endpoints[0].n_requests, 1);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 0);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
}

START_TEST (an_endpoint_named_in_a_rejection_is_excluded_from_the_next_attempt)
{
  RelayFixture *f = relay_fixture_create ();
  reject_because_of_helper (f, 0);
  ck_assert_int_eq (wl_fleet_is_usable (wl_fleet_find (f->fleet, "e1"), wl_clock_now_us ()), 1);
  wl_clock_set (0);
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (an_unresponsive_helper_is_ejected)
{
  RelayFixture *f = relay_fixture_create ();
  reject_because_of_helper (f, 1500000);
  ck_assert_int_eq (wl_fleet_is_usable (wl_fleet_find (f->fleet, "e1"), wl_clock_now_us ()), 0);
  ck_assert_int_eq (wl_fleet_is_usable (wl_fleet_find (f->fleet, "e0"), wl_clock_now_us ()), 1);
  wl_clock_set (0);
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against attempts being used up by endpoints that the request was never sent to. */
START_TEST (a_refused_connection_does_not_count_as_an_attempt)
{
  RelayFixture *f = relay_fixture_create ();
  relay_fixture_register (f, 0, 1);
  script_server_add (&f->endpoints[1], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  for (int i = 0; i < 2; i++)
    {
      raw_client_send (&f->caller, RELAY_ONCE_REQUEST);
      relay_fixture_run (f, 60);
    }
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against lost or partial events, and against a second response head. */
START_TEST (a_broken_stream_continues_after_its_last_complete_event)
{
  static const char first[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: first\r\nTransfer-Encoding: chunked\r\n\r\n"
        "18\r\nid: 1\ndata: a\n\nid: 2\nda\r\n";
  static const char second[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: second\r\nTransfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
  RelayFixture *f = relay_fixture_create ();
  script_server_add (&f->endpoints[0], first, SCRIPT_CLOSE);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_run (f, 4);
  script_server_add (&f->endpoints[1], second, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  relay_fixture_run (f, 100);
  ck_assert_ptr_nonnull (strstr (f->endpoints[1].seen, "X-Last: 1\r\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "X-Seal: first\r\n"));
  ck_assert_ptr_null (strstr (f->caller.answer, "second"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "id: 1\ndata: a\n\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "id: 2\ndata: b\n\n"));
  ck_assert_ptr_null (strstr (f->caller.answer, "id: 2\nda\r\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n0\r\n\r\n"));
  relay_fixture_destroy (f);
}
END_TEST

/* ---- responses to a resumed stream ---- */

static const char begun_stream[]
    = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: first\r\nContent-Type: text/event-stream\r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "2a\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: ha\r\n";

/*
 * A stream breaks after two events and a half at endpoint 0; endpoint 1 answers
 * the resumption with @answer. Returns what the caller received.
 */
static const char *
answer_resumption (RelayFixture *f, const char *answer, ScriptThen then)
{
  script_server_add (&f->endpoints[0], begun_stream, SCRIPT_CLOSE);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_run (f, 4);
  script_server_add (&f->endpoints[1], answer, then);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  relay_fixture_run (f, 120);
  ck_assert_uint_eq (f->endpoints[0].n_requests, 1);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 1);
  ck_assert_ptr_nonnull (strstr (f->endpoints[1].seen, "X-Last: 2\r\n"));
  return f->caller.answer;
}

/* The caller has the two events, and sees that the stream is not complete. */
static void
check_stream_is_cut (const RelayFixture *f)
{
  const char *body = strstr (f->caller.answer, "\r\n\r\n");
  ck_assert_ptr_nonnull (body);
  ck_assert_str_eq (body, "\r\n\r\n1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n");
  ck_assert_int_eq (f->caller.is_closed, 1);
}

/*
 * Guards against an error of the second endpoint in the caller's stream: its text or
 * head appended, or the stream ended as if it were complete.
 */
START_TEST (an_error_in_response_to_a_resumption_never_reaches_the_caller)
{
  static const char *const answers[] = {
    "HTTP/1.1 400 Bad\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 404 Not Found\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 302 Found\r\nX-Id: 1\r\nX-Seal: e\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Id: 1\r\nX-Seal: e\r\n\r\n",
    "HTTP/1.1 206 Part\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Length: 50\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 429 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 429 Busy\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 421 Other\r\nX-Id: 1\r\nContent-Length: 5\r\n\r\nerror",
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 15\r\n\r\nid: 3\ndata: c\n\n",
    ("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Type: application/json\r\n"
     "Content-Length: 14\r\n\r\n{\"error\":\"no\"}"),
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 15\r\n\r\nid: 3\ndata: c\n\n",
    ("HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Seal: e\r\nContent-Length: 15\r\n\r\n"
     "id: 3\ndata: c\n\n"),
    ("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: e\r\nTransfer-Encoding: chunked\r\n\r\n"
     "8\r\nid: 3\nda\r\nHTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nerror"),
  };
  for (size_t i = 0; i < sizeof answers / sizeof *answers; i++)
    {
      RelayFixture *f = relay_fixture_create ();
      answer_resumption (f, answers[i], SCRIPT_CLOSE);
      check_stream_is_cut (f);
      relay_fixture_destroy (f);
    }
}
END_TEST

/*
 * Guards against half an event in the caller's stream, which then ended as if it were complete: a
 * response without a length ends with its connection, also when the endpoint stopped early.
 */
START_TEST (a_stream_without_length_that_ends_within_an_event_goes_on_elsewhere)
{
  RelayFixture *f = relay_fixture_create ();
  script_server_add (&f->endpoints[0],
                     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: f\r\n\r\n"
                     "id: 1\ndata: a\n\nid: 2\nda",
                     SCRIPT_CLOSE);
  script_server_add (&f->endpoints[1],
                     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\nid: 2\ndata: b\n\n",
                     SCRIPT_CLOSE);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_run (f, 10);
  ck_assert_ptr_null (strstr (f->caller.answer, "\r\n0\r\n\r\n"));
  relay_fixture_register (f, 1, f->endpoints[1].port);
  relay_fixture_run (f, 120);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n"
                                                   "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"));
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against memory without bound, and against an error that is forwarded in parts. */
/* Guards against half an event as a whole response: the endpoint stopped within the first one. */
START_TEST (a_stream_without_length_that_ends_within_its_first_event_is_retried)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n"
                             "Content-Type: text/event-stream\r\n\r\n";
  char first[160];
  char second[160];
  RelayFixture *f = relay_fixture_create ();
  snprintf (first, sizeof first, "%sid: 1\nda", head);
  snprintf (second, sizeof second, "%sid: 1\ndata: b\n\n", head);
  script_server_add (&f->endpoints[0], first, SCRIPT_CLOSE);
  script_server_add (&f->endpoints[1], second, SCRIPT_CLOSE);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  relay_fixture_occupy (f, "e1");
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_run (f, 120);
  ck_assert_ptr_null (strstr (f->caller.answer, "id: 1\nda\r\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n\r\nf\r\nid: 1\ndata: b\n\n\r\n0\r\n\r\n"));
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (a_long_error_in_response_to_a_resumption_never_reaches_the_caller)
{
  static char answer[ENDLESS_BYTES];
  RelayFixture *f = relay_fixture_create ();
  memset (answer, 'a', sizeof answer - 1);
  static const char head[] = "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: e\r\n\r\nid: 3\n\n";
  for (size_t i = 0; i < sizeof head - 1; i++)
    answer[i] = head[i];
  answer_resumption (f, answer, SCRIPT_KEEP);
  check_stream_is_cut (f);
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against a stream that is given up, or answered by a refusal, after an error elsewhere. */
START_TEST (a_stream_goes_on_at_a_third_endpoint_after_an_error_of_the_second)
{
  RelayFixture *f = relay_fixture_create ();
  WlRoutes *routes = relay_fixture_routes ();
  routes->routes[2].attempts = 3;
  wl_relay_set_routes (f->relay, routes);
  script_server_add (&f->endpoints[2],
                     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: t\r\nContent-Length: 15\r\n\r\n"
                     "id: 3\ndata: c\n\n",
                     SCRIPT_KEEP);
  answer_resumption (f,
                     "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Length: 5\r\n\r\n"
                     "error",
                     SCRIPT_KEEP);
  ck_assert_int_eq (f->caller.is_closed, 0);
  relay_fixture_register (f, 2, f->endpoints[2].port);
  relay_fixture_run (f, 120);
  ck_assert_uint_eq (relay_fixture_n_seen (f, "X-Last: 2\r\n"), 2);
  ck_assert_ptr_null (strstr (f->caller.answer, "error"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer,
                                 "\r\n\r\n1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n"
                                 "\r\nf\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"));
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against doubled or missing events when an endpoint ignores where to go on. */
START_TEST (a_resumed_stream_that_goes_on_elsewhere_is_cut)
{
  static const char *const events[] = {
    "id: 1\ndata: a\n\n",
    "id: 2\ndata: b\n\n",
    "id: 5\ndata: e\n\n",
  };
  for (size_t i = 0; i < sizeof events / sizeof *events; i++)
    {
      RelayFixture *f = relay_fixture_create ();
      char answer[200];
      snprintf (answer, sizeof answer,
                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: e\r\nContent-Length: 15\r\n\r\n%s",
                events[i]);
      answer_resumption (f, answer, SCRIPT_KEEP);
      check_stream_is_cut (f);
      relay_fixture_destroy (f);
    }
}
END_TEST

/* Guards against a resumption that cannot say where to go on, which would repeat the events. */
START_TEST (a_stream_without_usable_ids_is_not_resumed)
{
  static const char *const fields[] = { "data: a\n\n", "id: 1\r2\ndata: a\n\n" };
  for (size_t i = 0; i < sizeof fields / sizeof *fields; i++)
    {
      RelayFixture *f = relay_fixture_create ();
      char answer[200];
      snprintf (answer, sizeof answer,
                "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 90\r\n\r\n%s",
                fields[i]);
      relay_fixture_all_answer (f, answer, SCRIPT_CLOSE);
      raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
      relay_fixture_run (f, 60);
      ck_assert_uint_eq (relay_fixture_n_runs (f), 1);
      ck_assert_ptr_nonnull (strstr (f->caller.answer, fields[i]));
      ck_assert_ptr_null (strstr (f->caller.answer, "\r\n0\r\n\r\n"));
      ck_assert_int_eq (f->caller.is_closed, 1);
      relay_fixture_destroy (f);
    }
}
END_TEST

/* Guards against giving up a stream that could still continue, when no other endpoint has room. */
START_TEST (a_silent_endpoint_is_left_only_for_another_one)
{
  static const char first[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: first\r\nTransfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 1\ndata: a\n\n\r\n";
  static const char second[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: second\r\nTransfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
  RelayFixture *f = relay_fixture_create ();
  script_server_add (&f->endpoints[0], first, SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_run (f, 1100);
  ck_assert_uint_eq (f->endpoints[0].n_closed, 0);
  ck_assert_int_eq (f->caller.is_closed, 0);
  script_server_add (&f->endpoints[1], second, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  relay_fixture_run (f, 300);
  ck_assert_uint_eq (f->endpoints[0].n_closed, 1);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "id: 2\ndata: b\n\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n0\r\n\r\n"));
  relay_fixture_destroy (f);
}
END_TEST

/*
 * Guards against 502 for a request that its endpoint rejects: it was silent for a while, and the
 * retry budget did not allow to replace it.
 */
START_TEST (a_rejection_after_a_replacement_that_was_not_allowed_is_passed_on)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof sa;
  RelayFixture *f = relay_fixture_create ();
  uint64_t now_us = wl_clock_now_us ();
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&sa, sizeof sa), 0);
  ck_assert_int_eq (listen (listener, 8), 0);
  getsockname (listener, (struct sockaddr *)&sa, &size);
  wl_clock_set (now_us);
  wl_relay_set_nodes (f->relay, 1000);
  wl_relay_share_budgets (f->relay, 1000, now_us); /* this node's part is less than one retry */
  relay_fixture_register (f, 0, ntohs (sa.sin_port));
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_settle (f);
  int fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  wl_clock_set (now_us + 1500000);
  relay_fixture_settle (f);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 0);
  static const char refusal[]
      = "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  ck_assert_int_eq (send (fd, refusal, sizeof refusal - 1, MSG_NOSIGNAL), sizeof refusal - 1);
  relay_fixture_settle (f);
  relay_fixture_settle (f);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "Retry-After: "));
  close (fd);
  close (listener);
  wl_clock_set (0);
  relay_fixture_destroy (f);
}
END_TEST

/*
 * The engine that answers a prompt larger than its memory dies without closing
 * its connection. Its reservation at the other engine must be released within a
 * few seconds.
 */
START_TEST (memory_reserved_for_a_dead_engine_is_given_back)
{
  static const char held[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  RelayFixture *f = relay_fixture_create ();
  uint64_t now_us = wl_clock_now_us ();
  wl_clock_set (now_us);
  relay_fixture_register_engine (f, 0);
  relay_fixture_register_engine (f, 1);
  relay_fixture_occupy (f, "engine-1");
  for (int i = 0; i < 8; i++)
    script_server_add (&f->endpoints[1], held, SCRIPT_KEEP);
  raw_client_send (&f->caller, "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n"
                               "X-Prompt: 60000\r\nContent-Length: 0\r\n\r\n");
  relay_fixture_settle (f);
  ck_assert_uint_eq (relay_fixture_n_seen (f, "POST /reserve"), 1);
  ck_assert_uint_eq (f->endpoints[0].n_requests, 1); /* it sends no response */
  ck_assert_uint_eq (relay_fixture_n_seen (f, "POST /large/"), 1);
  ck_assert_uint_eq (relay_fixture_n_seen (f, "POST /release"), 0);
  for (int i = 0; i < 3; i++)
    {
      wl_clock_set (now_us += 1200000);
      relay_fixture_settle (f);
    }
  relay_fixture_settle (f); /* for the command to arrive */
  ck_assert_uint_eq (relay_fixture_n_seen (f, "POST /release"), 1);
  wl_clock_set (0);
  relay_fixture_destroy (f);
}
END_TEST

/* ---- repeated responses ---- */

#define REFUSAL_1 "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define WHOLE_2 "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\ntwo"
#define SAFE_2 "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nX-Key: k1\r\n\r\n"
#define ONCE_2                                                                                     \
  "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n"

/*
 * Endpoint 0 answers the first request with @first and the second one, with id 2, with @second.
 * Returns what the caller received in response to the second one.
 */
static const char *
answer_two_requests (RelayFixture *f, const char *first, const char *request, const char *second)
{
  script_server_add (&f->endpoints[0], first, SCRIPT_KEEP);
  script_server_add (&f->endpoints[0], second, SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  relay_fixture_run (f, 30);
  ck_assert_uint_eq (f->endpoints[0].n_requests, 1);
  f->caller.size = 0;
  raw_client_send (&f->caller, request);
  relay_fixture_run (f, 60);
  ck_assert_uint_eq (f->endpoints[0].n_requests, 2);
  return f->caller.answer;
}

/* Guards against "not run" for a request that runs (rule REFUSED): an earlier refusal is repeated.
 */
START_TEST (a_repeated_refusal_does_not_refuse_the_next_request)
{
  static const char *const requests[] = { SAFE_2, ONCE_2 };
  for (size_t i = 0; i < sizeof requests / sizeof *requests; i++)
    {
      RelayFixture *f = relay_fixture_create ();
      const char *answer = answer_two_requests (f, REFUSAL_1, requests[i], REFUSAL_1 WHOLE_2);
      ck_assert_ptr_nonnull (strstr (answer, " 200 "));
      ck_assert_ptr_nonnull (strstr (answer, "two"));
      relay_fixture_destroy (f);
    }
}
END_TEST

/* Guards against the refusal being read by a request that must not run twice. */
START_TEST (a_non_idempotent_request_never_uses_a_kept_connection)
{
  RelayFixture *f = relay_fixture_create ();
  answer_two_requests (f, RELAY_WHOLE, ONCE_2, WHOLE_2);
  ck_assert_uint_eq (f->endpoints[0].n_connections, 2);
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against a repeated response without id that is taken for the next one (rule MIXED). */
START_TEST (a_response_without_id_on_a_kept_connection_answers_no_request)
{
  static const char *const repeated[] = {
    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nstale" WHOLE_2,
    "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nstale" WHOLE_2,
    "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n\r\n" WHOLE_2,
  };
  for (size_t i = 0; i < sizeof repeated / sizeof *repeated; i++)
    {
      RelayFixture *f = relay_fixture_create ();
      const char *answer = answer_two_requests (f, RELAY_WHOLE, SAFE_2, repeated[i]);
      ck_assert_ptr_nonnull (strstr (answer, " 502 "));
      ck_assert_ptr_null (strstr (answer, "stale"));
      relay_fixture_destroy (f);
    }
}
END_TEST

/* Guards against a response that is put together from two: the repeated one is cut. */
START_TEST (half_a_repeated_response_answers_no_request)
{
  static const char half[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 40\r\n\r\nstale" WHOLE_2;
  RelayFixture *f = relay_fixture_create ();
  const char *answer = answer_two_requests (f, RELAY_WHOLE, SAFE_2, half);
  ck_assert_ptr_nonnull (strstr (answer, " 502 "));
  ck_assert_ptr_null (strstr (answer, "stale"));
  ck_assert_ptr_null (strstr (answer, "two"));
  relay_fixture_destroy (f);
}
END_TEST

/*
 * Guards against a refusal of an earlier attempt that is read by a later one: both have the
 * caller's id, so that the id cannot tell them apart.
 */
START_TEST (a_retry_uses_a_new_connection)
{
  RelayFixture *f = relay_fixture_create ();
  for (int i = 0; i < 2; i++)
    script_server_add (&f->endpoints[1], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  relay_fixture_run (f, 30);
  script_server_add (&f->endpoints[0], REFUSAL_1, SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  relay_fixture_occupy (f, "e1");
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  relay_fixture_run (f, 60);
  ck_assert_uint_eq (f->endpoints[0].n_requests, 1);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 2);
  ck_assert_uint_eq (f->endpoints[1].n_connections, 2);
  relay_fixture_destroy (f);
}
END_TEST

/* ---- responses without end ---- */

/*
 * Guards against unbounded memory for a response that must be kept back. The
 * endpoint's response begins with @head and never ends, and the clock stands
 * still so that no time limit ends it. Returns the relay's response.
 */
static const char *
respond_without_end (RelayFixture *f, const char *head, const char *request)
{
  static char bytes[ENDLESS_BYTES];
  memset (bytes, 'a', sizeof bytes - 1);
  for (size_t i = 0; head[i] != '\0'; i++)
    bytes[i] = head[i];
  script_server_add (&f->endpoints[0], bytes, SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  wl_clock_set (wl_clock_now_us ());
  raw_client_send (&f->caller, request);
  for (int i = 0; i < TURNS_MAX && f->endpoints[0].n_closed == 0; i++)
    relay_fixture_settle (f);
  ck_assert_uint_eq (f->endpoints[0].n_closed, 1);
  relay_fixture_settle (f);
  wl_clock_set (0);
  return f->caller.answer;
}

START_TEST (an_error_with_an_endless_body_is_aborted)
{
  RelayFixture *f = relay_fixture_create ();
  const char *answer = respond_without_end (f, "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: s\r\n\r\n",
                                            RELAY_ONCE_REQUEST);
  ck_assert_ptr_nonnull (strstr (answer, " 502 "));
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (a_response_without_seal_and_with_an_endless_body_is_aborted)
{
  RelayFixture *f = relay_fixture_create ();
  const char *answer
      = respond_without_end (f, "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", RELAY_ONCE_REQUEST);
  ck_assert_ptr_nonnull (strstr (answer, " 502 "));
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (an_endless_event_is_aborted)
{
  RelayFixture *f = relay_fixture_create ();
  const char *answer = respond_without_end (
      f, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\nid: 1\ndata: ", RELAY_STREAM_REQUEST);
  ck_assert_ptr_null (strstr (answer, " 200 "));
  relay_fixture_destroy (f);
}
END_TEST

/*
 * Starts the response of endpoint 0: @head, then filler up to ENDLESS_BYTES less one in all.
 * Returns the number of bytes after the head.
 */
static size_t
respond_at_length (RelayFixture *f, const char *head, ScriptThen then)
{
  static char bytes[ENDLESS_BYTES];
  size_t size = strlen (head);
  memset (bytes, 'a', sizeof bytes - 1);
  for (size_t i = 0; i < size; i++)
    bytes[i] = head[i];
  script_server_add (&f->endpoints[0], bytes, then);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_SAFE_REQUEST);
  return sizeof bytes - 1 - size;
}

/* Runs with a caller that keeps reading; returns the number of bytes that it has received. */
static size_t
read_at_length (RelayFixture *f)
{
  size_t n = 0;
  for (int i = 0; i < TURNS_MAX; i++)
    {
      relay_fixture_run (f, 2);
      n += f->caller.size;
      f->caller.size = 0;
    }
  return n;
}

/*
 * Guards against a response that stops in the middle: reading from the endpoint was paused, and the
 * kernel took all queued bytes at once, so that nothing resumed it.
 */
START_TEST (a_long_response_is_forwarded_whole)
{
  RelayFixture *f = relay_fixture_create ();
  size_t size
      = respond_at_length (f, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\n", SCRIPT_CLOSE);
  ck_assert_uint_ge (read_at_length (f), size);
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against joining two answers: a body too long to be kept has begun, and breaks off. */
START_TEST (a_long_response_that_breaks_is_not_continued_by_another_one)
{
  RelayFixture *f = relay_fixture_create ();
  respond_at_length (f,
                     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n"
                     "Content-Length: 9000000\r\n\r\n",
                     SCRIPT_CLOSE);
  relay_fixture_run (f, 20);
  script_server_add (&f->endpoints[1], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  ck_assert_uint_gt (read_at_length (f), 1 << 20);
  ck_assert_uint_eq (f->endpoints[0].n_requests, 1);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 0);
  ck_assert_int_eq (f->caller.is_closed, 1);
  relay_fixture_destroy (f);
}
END_TEST

/* ---- callers that read slowly ---- */

/* A response of LONG_BYTES with events whose ids are no numbers. */
static const char *
write_long_stream (void)
{
  static char bytes[LONG_BYTES + 1];
  static const char head[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
  memset (bytes, 'a', LONG_BYTES);
  memcpy (bytes, head, sizeof head - 1);
  for (size_t at = sizeof head - 1; at + EVENT_BYTES < LONG_BYTES; at += EVENT_BYTES)
    {
      int n = sprintf (bytes + at, "id: e%zu\ndata: ", at);
      bytes[at + (size_t)n] = 'a';
      memset (bytes + at + EVENT_BYTES - 2, '\n', 2);
    }
  return bytes;
}

/* Iterations of the event loop, in each of which the caller takes up to @max_bytes. */
static void
run_with_slow_caller (RelayFixture *f, size_t max_bytes)
{
  for (int i = 0; i < LONG_TURNS; i++)
    {
      wl_tcp_flush (f->loop);
      wl_reactor_poll (f->reactor, 1000);
      wl_relay_tick (f->relay, wl_clock_now_us ());
      raw_client_take (&f->caller, max_bytes);
    }
}

/* A stream at endpoint 0 whose caller reads nothing; endpoint 1 could go on with it. */
static RelayFixture *
create_with_paused_stream (void)
{
  wl_clock_set (wl_clock_now_us ());
  RelayFixture *f = relay_fixture_create ();
  raw_client_close (&f->caller);
  raw_client_connect_with_buffer (&f->caller, wl_web_port (f->web), 65536);
  script_server_add (&f->endpoints[0], write_long_stream (), SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  run_with_slow_caller (f, 0);
  ck_assert_uint_gt (wl_web_queued (f->relay->requests->web), WL_RELAY_QUEUE_PAUSE_BYTES);
  return f;
}

/* Guards against leaving a sound endpoint: while its reader was slow, nothing was read from it. */
START_TEST (an_endpoint_is_not_silent_while_its_caller_reads_slowly)
{
  RelayFixture *f = create_with_paused_stream ();
  script_server_add (&f->endpoints[1], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  wl_clock_set (wl_clock_now_us () + 1500000);
  run_with_slow_caller (f, SIZE_MAX);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 0);
  ck_assert_uint_gt (f->caller.taken_bytes, LONG_BYTES - 2 * EVENT_BYTES);
  wl_clock_set (0);
  relay_fixture_destroy (f);
}
END_TEST

/* Guards against memory without a bound: a stream resumed for a slow caller was never paused. */
START_TEST (a_stream_resumed_for_a_slow_caller_is_paused_too)
{
  RelayFixture *f = create_with_paused_stream ();
  script_server_add (&f->endpoints[1], write_long_stream (), SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  size_t queued = wl_web_queued (f->relay->requests->web);
  script_server_reset (&f->endpoints[0]);
  run_with_slow_caller (f, 0);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 1);
  ck_assert_uint_lt (wl_web_queued (f->relay->requests->web), queued + LONG_BYTES / 2);
  wl_clock_set (0);
  relay_fixture_destroy (f);
}
END_TEST

START_TEST (an_endless_head_is_aborted)
{
  RelayFixture *f = relay_fixture_create ();
  const char *answer
      = respond_without_end (f, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: ", RELAY_ONCE_REQUEST);
  ck_assert_ptr_nonnull (strstr (answer, " 502 "));
  relay_fixture_destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_non_idempotent_request_is_not_retried_after_a_broken_connection),
    WL_TEST (an_idempotent_request_is_retried_at_most_once),
    WL_TEST (an_error_is_forwarded_when_no_other_endpoint_is_left),
    WL_TEST (a_rejected_request_is_refused_with_retry_after),
    WL_TEST (an_endpoint_named_in_a_rejection_is_excluded_from_the_next_attempt),
    WL_TEST (an_unresponsive_helper_is_ejected),
    WL_TEST (a_refused_connection_does_not_count_as_an_attempt),
    WL_TEST (a_broken_stream_continues_after_its_last_complete_event),
    WL_TEST (an_error_in_response_to_a_resumption_never_reaches_the_caller),
    WL_TEST (a_stream_without_length_that_ends_within_an_event_goes_on_elsewhere),
    WL_TEST (a_stream_without_length_that_ends_within_its_first_event_is_retried),
    WL_TEST (a_long_error_in_response_to_a_resumption_never_reaches_the_caller),
    WL_TEST (a_stream_goes_on_at_a_third_endpoint_after_an_error_of_the_second),
    WL_TEST (a_resumed_stream_that_goes_on_elsewhere_is_cut),
    WL_TEST (a_stream_without_usable_ids_is_not_resumed),
    WL_TEST (a_silent_endpoint_is_left_only_for_another_one),
    WL_TEST (a_rejection_after_a_replacement_that_was_not_allowed_is_passed_on),
    WL_TEST (memory_reserved_for_a_dead_engine_is_given_back),
    WL_TEST (a_repeated_refusal_does_not_refuse_the_next_request),
    WL_TEST (a_non_idempotent_request_never_uses_a_kept_connection),
    WL_TEST (a_response_without_id_on_a_kept_connection_answers_no_request),
    WL_TEST (half_a_repeated_response_answers_no_request),
    WL_TEST (a_retry_uses_a_new_connection),
    WL_TEST (an_error_with_an_endless_body_is_aborted),
    WL_TEST (a_response_without_seal_and_with_an_endless_body_is_aborted),
    WL_TEST (an_endless_event_is_aborted),
    WL_TEST (a_long_response_is_forwarded_whole),
    WL_TEST (a_long_response_that_breaks_is_not_continued_by_another_one),
    WL_TEST (an_endpoint_is_not_silent_while_its_caller_reads_slowly),
    WL_TEST (a_stream_resumed_for_a_slow_caller_is_paused_too),
    WL_TEST (an_endless_head_is_aborted),
  };
  apr_initialize ();
  return wl_test_run ("relay_retry", tests, sizeof tests / sizeof tests[0]);
}
