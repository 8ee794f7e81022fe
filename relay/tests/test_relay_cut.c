#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include "wl_clock.h"
#include "wl_relay_fixture.h"
#include "wl_test.h"
#include "wl_test_loopback.h"

/*
 * Endpoints that break off a response: each response of a table is cut after every byte, by a close
 * and by a reset. Guards against a part of a response that its caller takes for the whole one
 * (rules MIXED and ORDER).
 */

enum
{
  TURNS_MAX = 100, /* of the loop; the limit only ends a case without a response */
  BODY_MAX_BYTES = 4096,
  PAUSE_US = 500000, /* between two parts of a response */
};

#define HEAD "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n"
#define EVENTS HEAD "Content-Type: text/event-stream\r\n"
#define STREAM_TEXT "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

/**
 * enum Framing - what ends a response
 * @FRAMED: its length, or its last chunk and trailer
 * @UNTIL_CLOSE: its connection
 * @EVENTS_UNTIL_CLOSE: its connection, between two events
 */
typedef enum
{
  FRAMED,
  UNTIL_CLOSE,
  EVENTS_UNTIL_CLOSE,
} Framing;

/**
 * struct Response - a whole response
 * @name: for messages of a failed check
 * @request: the caller's request
 * @head: head, with interim responses before it
 * @body: the rest, as sent
 * @text: the body without its chunks; NULL when it has none
 */
typedef struct
{
  const char *name;
  const char *request;
  Framing framing;
  const char *head;
  const char *body;
  const char *text;
} Response;

static const Response plain_responses[] = {
  { "length", RELAY_SAFE_REQUEST, FRAMED, HEAD "Content-Length: 5\r\n\r\n", "plain", NULL },
  { "length, runs once", RELAY_ONCE_REQUEST, FRAMED, HEAD "Content-Length: 5\r\n\r\n", "plain",
    NULL },
  { "length zero", RELAY_SAFE_REQUEST, FRAMED, HEAD "Content-Length: 0\r\n\r\n", "", NULL },
  { "lines end with LF", RELAY_SAFE_REQUEST, FRAMED,
    "HTTP/1.1 200 OK\nX-Id: 1\nX-Seal: s\nContent-Length: 5\n\n", "plain", NULL },
  { "interim heads", RELAY_SAFE_REQUEST, FRAMED,
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\nX-Seal: no\r\n\r\n" HEAD
    "Content-Length: 5\r\n\r\n",
    "plain", NULL },
  { "until close", RELAY_SAFE_REQUEST, UNTIL_CLOSE, HEAD "Connection: close\r\n\r\n", "plain",
    NULL },
  { "until close, runs once", RELAY_ONCE_REQUEST, UNTIL_CLOSE, HEAD "\r\n", "plain", NULL },
  { "until close, HTTP/1.0", RELAY_SAFE_REQUEST, UNTIL_CLOSE,
    "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n\r\n", "plain", NULL },
};

static const Response chunked_responses[] = {
  { "chunked", RELAY_SAFE_REQUEST, FRAMED, HEAD "Transfer-Encoding: chunked\r\n\r\n",
    "3\r\npla\r\n2;x=y\r\nin\r\n0\r\n\r\n", "plain" },
  { "chunked, runs once", RELAY_ONCE_REQUEST, FRAMED, HEAD "Transfer-Encoding: chunked\r\n\r\n",
    "3\r\npla\r\n2\r\nin\r\n0\r\n\r\n", "plain" },
  { "chunked, sizes of two digits", RELAY_SAFE_REQUEST, FRAMED,
    HEAD "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n0000\r\n\r\n",
    "0123456789abcdef" },
  { "trailers", RELAY_SAFE_REQUEST, FRAMED,
    HEAD "Trailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n",
    "5\r\nplain\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n", "plain" },
};

static const Response stream_responses[] = {
  { "stream, length", RELAY_STREAM_REQUEST, FRAMED, EVENTS "Content-Length: 30\r\n\r\n",
    STREAM_TEXT, NULL },
  { "stream, chunked", RELAY_STREAM_REQUEST, FRAMED, EVENTS "Transfer-Encoding: chunked\r\n\r\n",
    "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", STREAM_TEXT },
  { "stream, trailers", RELAY_STREAM_REQUEST, FRAMED, EVENTS "Transfer-Encoding: chunked\r\n\r\n",
    "1e\r\n" STREAM_TEXT "\r\n0\r\nX-Sum: 1\r\n\r\n", STREAM_TEXT },
  { "stream without type, chunked", RELAY_STREAM_REQUEST, FRAMED,
    HEAD "Transfer-Encoding: chunked\r\n\r\n", "1e\r\n" STREAM_TEXT "\r\n0\r\n\r\n", STREAM_TEXT },
};

static const Response open_streams[] = {
  { "stream until close", RELAY_STREAM_REQUEST, EVENTS_UNTIL_CLOSE, EVENTS "\r\n", STREAM_TEXT,
    NULL },
  { "stream until close, CRLF", RELAY_STREAM_REQUEST, EVENTS_UNTIL_CLOSE,
    EVENTS "Connection: close\r\n\r\n", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", NULL },
  { "stream until close, without type", RELAY_STREAM_REQUEST, EVENTS_UNTIL_CLOSE, HEAD "\r\n",
    STREAM_TEXT, NULL },
  { "stream until close, versions and comments", RELAY_STREAM_REQUEST, EVENTS_UNTIL_CLOSE,
    HEAD "\r\n", "x-weight-versions: 2\nid: 1\ndata: a\n\n: ping\n\nid: 2\ndata: b\ndata: c\n\n",
    NULL },
};

/* What the second endpoint sends when the stream went on there after two events. */
static const Response resumed_streams[] = {
  { "resumed, length", RELAY_STREAM_REQUEST, FRAMED, EVENTS "Content-Length: 15\r\n\r\n",
    "id: 3\ndata: c\n\n", NULL },
  { "resumed, trailers", RELAY_STREAM_REQUEST, FRAMED, EVENTS "Transfer-Encoding: chunked\r\n\r\n",
    "f\r\nid: 3\ndata: c\n\n\r\n0\r\nX-Sum: 1\r\n\r\n", "id: 3\ndata: c\n\n" },
  { "resumed until close", RELAY_STREAM_REQUEST, EVENTS_UNTIL_CLOSE, EVENTS "\r\n",
    "id: 3\ndata: c\n\nid: 4\ndata: d\n\n", NULL },
  { "resumed until close, without type", RELAY_STREAM_REQUEST, EVENTS_UNTIL_CLOSE, HEAD "\r\n",
    "id: 3\ndata: c\n\n", NULL },
};

/* ---- an endpoint of the test's own ---- */

static void
turn (RelayFixture *f)
{
  wl_tcp_flush (f->loop);
  wl_reactor_poll (f->reactor, 1000);
  wl_relay_tick (f->relay, wl_clock_now_us ());
  wl_tcp_flush (f->loop);
  raw_client_receive (&f->caller);
}

/* Accepts the next connection, or takes the kept one, and reads a request from it. */
static int
take_request (RelayFixture *f, int listener, int kept_fd)
{
  char bytes[2048] = "";
  size_t size = 0;
  int fd = kept_fd;
  for (int i = 0; i < TURNS_MAX; i++)
    {
      turn (f);
      if (fd < 0)
        fd = accept (listener, NULL, NULL);
      if (fd < 0)
        continue;
      ssize_t n = recv (fd, bytes + size, sizeof bytes - 1 - size, MSG_DONTWAIT);
      size += n > 0 ? (size_t)n : 0;
      bytes[size] = '\0';
      const char *end = strstr (bytes, "\r\n\r\n");
      int has_body = strstr (bytes, "Content-Length: 4\r\n") != NULL;
      if (end != NULL && (!has_body || strstr (end, "body") != NULL))
        return fd;
    }
  ck_abort_msg ("no request has arrived at the endpoint");
}

static void
send_bytes (int fd, const char *bytes, size_t size)
{
  if (size > 0)
    ck_assert_int_eq (send (fd, bytes, size, MSG_NOSIGNAL), (ssize_t)size);
}

static void
end_connection (int fd, ScriptThen then)
{
  const struct linger at_once = { .l_onoff = 1 };
  if (then == SCRIPT_RESET)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (fd);
}

static void
run_until_response (RelayFixture *f, RawResponse *s)
{
  for (int i = 0; i < TURNS_MAX; i++)
    {
      turn (f);
      raw_client_read (&f->caller, s);
      if (s->is_whole || f->caller.is_closed)
        return;
    }
}

/* ---- the rule ---- */

/* Whether a response that was cut after @n bytes may look whole to the caller. */
static int
may_look_whole (const Response *r, size_t n, ScriptThen then, int is_resumed)
{
  size_t head = strlen (r->head);
  if (r->framing == FRAMED)
    return n == head + strlen (r->body);
  if (then == SCRIPT_RESET || n < head)
    return 0;
  if (r->framing == UNTIL_CLOSE)
    return 1;
  if (n == head)
    return is_resumed; /* all events may have been sent before */
  const char *at = r->body + (n - head);
  return (n >= head + 2 && memcmp (at - 2, "\n\n", 2) == 0)
         || (n >= head + 4 && memcmp (at - 4, "\r\n\r\n", 4) == 0);
}

static void
check_seen (const Response *r, size_t n, ScriptThen then, const char *before, const RawResponse *s)
{
  char text[BODY_MAX_BYTES];
  size_t head = strlen (r->head);
  size_t all = head + strlen (r->body);
  int is_success = s->status >= 200 && s->status < 300;
  int may = may_look_whole (r, n, then, before[0] != '\0');
  ck_assert_msg (!is_success || !s->is_whole || may,
                 "%s: cut by a %s after %zu of %zu bytes: whole", r->name,
                 then == SCRIPT_RESET ? "reset" : "close", n, all);
  ck_assert_msg (n < all || then == SCRIPT_RESET || (is_success && s->is_whole),
                 "%s: not whole with all bytes", r->name);
  if (!is_success || !s->is_whole)
    return;
  int size = r->text != NULL
                 ? snprintf (text, sizeof text, "%s%s", before, r->text)
                 : snprintf (text, sizeof text, "%s%.*s", before, (int)(n - head), r->body);
  ck_assert_msg (s->size == (size_t)size && memcmp (s->body, text, s->size) == 0,
                 "%s: cut after %zu of %zu bytes: another body", r->name, n, all);
}

/* ---- cases ---- */

/* One endpoint, and one attempt a request, so that a failure ends it. */
static RelayFixture *
create (int *listener, uint32_t attempts)
{
  uint16_t port;
  RelayFixture *f = relay_fixture_create ();
  WlRoutes *routes = relay_fixture_routes ();
  for (uint32_t i = 0; i < routes->n_routes; i++)
    routes->routes[i].attempts = attempts;
  wl_relay_set_routes (f->relay, routes);
  *listener = wl_test_listen (&port);
  relay_fixture_register (f, 0, port);
  return f;
}

static void
destroy (RelayFixture *f, int listener)
{
  close (listener);
  relay_fixture_destroy (f);
}

/* A request before, whose response keeps the endpoint's connection. */
static int
keep_connection (RelayFixture *f, int listener)
{
  static const char whole[]
      = "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nfirst";
  RawResponse seen;
  raw_client_send (&f->caller, "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 0\r\nX-Key: k1\r\n\r\n");
  int fd = take_request (f, listener, -1);
  send_bytes (fd, whole, sizeof whole - 1);
  run_until_response (f, &seen);
  ck_assert_int_eq (seen.is_whole, 1);
  f->caller.size = 0;
  return fd;
}

static void
send_cut (RelayFixture *f, int fd, const Response *r, size_t n, ScriptThen then)
{
  size_t head = strlen (r->head);
  send_bytes (fd, r->head, n < head ? n : head);
  if (n > head)
    send_bytes (fd, r->body, n - head);
  if (n % 2 == 0)
    turn (f); /* the end does not always come with the last bytes */
  end_connection (fd, then);
}

static void
cut_at (const Response *r, size_t n, ScriptThen then, int is_kept)
{
  int listener;
  RawResponse seen;
  RelayFixture *f = create (&listener, 1);
  int fd = is_kept ? keep_connection (f, listener) : -1;
  raw_client_send (&f->caller, r->request);
  fd = take_request (f, listener, fd);
  send_cut (f, fd, r, n, then);
  run_until_response (f, &seen);
  check_seen (r, n, then, "", &seen);
  destroy (f, listener);
}

static void
cut_everywhere (const Response *responses, size_t n_responses, ScriptThen then)
{
  for (size_t i = 0; i < n_responses; i++)
    {
      const Response *r = &responses[i];
      size_t all = strlen (r->head) + strlen (r->body);
      int may_keep = strstr (r->request, "/once/") == NULL;
      for (size_t n = 0; n <= all; n++)
        for (int is_kept = 0; is_kept <= may_keep; is_kept++)
          cut_at (r, n, then, is_kept);
    }
}

#define CUT_TEST(name, table, then)                                                                \
  START_TEST (name)                                                                                \
  {                                                                                                \
    cut_everywhere (table, sizeof table / sizeof *table, then);                                    \
  }                                                                                                \
  END_TEST

CUT_TEST (a_plain_response_that_is_closed_early_is_not_whole, plain_responses, SCRIPT_CLOSE)
CUT_TEST (a_plain_response_that_is_reset_early_is_not_whole, plain_responses, SCRIPT_RESET)
CUT_TEST (a_chunked_response_that_is_closed_early_is_not_whole, chunked_responses, SCRIPT_CLOSE)
CUT_TEST (a_chunked_response_that_is_reset_early_is_not_whole, chunked_responses, SCRIPT_RESET)
CUT_TEST (a_stream_that_is_closed_early_is_not_whole, stream_responses, SCRIPT_CLOSE)
CUT_TEST (a_stream_that_is_reset_early_is_not_whole, stream_responses, SCRIPT_RESET)
CUT_TEST (a_stream_without_length_that_is_closed_within_an_event_is_not_whole, open_streams,
          SCRIPT_CLOSE)
CUT_TEST (a_stream_without_length_that_is_reset_is_not_whole, open_streams, SCRIPT_RESET)

/* ---- resumed streams ---- */

static const char begun_stream[] = EVENTS "Transfer-Encoding: chunked\r\n\r\n"
                                          "1e\r\n" STREAM_TEXT "\r\n8\r\nid: 3\nda";

static void
cut_resumed_at (const Response *r, size_t n, ScriptThen then)
{
  int listeners[2];
  uint16_t port;
  RawResponse seen;
  RelayFixture *f = create (&listeners[0], 2);
  raw_client_send (&f->caller, r->request);
  int fd = take_request (f, listeners[0], -1);
  listeners[1] = wl_test_listen (&port);
  relay_fixture_register (f, 1, port);
  send_bytes (fd, begun_stream, sizeof begun_stream - 1);
  end_connection (fd, SCRIPT_CLOSE);
  fd = take_request (f, listeners[1], -1);
  send_cut (f, fd, r, n, then);
  run_until_response (f, &seen);
  check_seen (r, n, then, STREAM_TEXT, &seen);
  close (listeners[1]);
  destroy (f, listeners[0]);
}

static void
cut_resumed_everywhere (ScriptThen then)
{
  for (size_t i = 0; i < sizeof resumed_streams / sizeof *resumed_streams; i++)
    {
      const Response *r = &resumed_streams[i];
      size_t all = strlen (r->head) + strlen (r->body);
      for (size_t n = 0; n <= all; n++)
        cut_resumed_at (r, n, then);
    }
}

START_TEST (a_resumed_stream_that_is_closed_early_is_not_whole)
{
  cut_resumed_everywhere (SCRIPT_CLOSE);
}
END_TEST

START_TEST (a_resumed_stream_that_is_reset_early_is_not_whole)
{
  cut_resumed_everywhere (SCRIPT_RESET);
}
END_TEST

/* Guards against a failure in place of a stream whose caller had all events already. */
START_TEST (an_empty_rest_of_a_stream_is_whole)
{
  static const char empty[] = EVENTS "Connection: close\r\n\r\n";
  int listener;
  RawResponse seen;
  RelayFixture *f = create (&listener, 1);
  raw_client_send (&f->caller, "POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n"
                               "X-Last: 2\r\nContent-Length: 0\r\n\r\n");
  int fd = take_request (f, listener, -1);
  send_bytes (fd, empty, sizeof empty - 1);
  end_connection (fd, SCRIPT_CLOSE);
  run_until_response (f, &seen);
  ck_assert_uint_eq (seen.status, 200);
  ck_assert_int_eq (seen.is_whole, 1);
  ck_assert_uint_eq (seen.size, 0);
  destroy (f, listener);
}
END_TEST

/* ---- responses in two parts, and beside others ---- */

/* Guards against a response that ends at a pause: in its head, a size of a chunk or its trailer. */
static void
pause_at (const Response *r, size_t n)
{
  int listener;
  RawResponse seen;
  char bytes[BODY_MAX_BYTES];
  size_t all = (size_t)snprintf (bytes, sizeof bytes, "%s%s", r->head, r->body);
  RelayFixture *f = create (&listener, 1);
  raw_client_send (&f->caller, r->request);
  int fd = take_request (f, listener, -1);
  send_bytes (fd, bytes, n);
  turn (f);
  wl_clock_set (wl_clock_now_us () + PAUSE_US);
  turn (f);
  raw_client_read (&f->caller, &seen);
  ck_assert_msg (!seen.is_whole && !f->caller.is_closed, "%s: ended at byte %zu", r->name, n);
  send_bytes (fd, bytes + n, all - n);
  end_connection (fd, SCRIPT_CLOSE);
  run_until_response (f, &seen);
  check_seen (r, all, SCRIPT_CLOSE, "", &seen);
  wl_clock_set (0);
  destroy (f, listener);
}

static void
pause_everywhere (const Response *responses, size_t n_responses)
{
  for (size_t i = 0; i < n_responses; i++)
    {
      size_t all = strlen (responses[i].head) + strlen (responses[i].body);
      for (size_t n = 0; n < all; n++)
        pause_at (&responses[i], n);
    }
}

START_TEST (a_plain_response_with_a_pause_is_whole)
{
  pause_everywhere (plain_responses, sizeof plain_responses / sizeof *plain_responses);
  pause_everywhere (chunked_responses, sizeof chunked_responses / sizeof *chunked_responses);
}
END_TEST

START_TEST (a_stream_with_a_pause_is_whole)
{
  pause_everywhere (stream_responses, sizeof stream_responses / sizeof *stream_responses);
  pause_everywhere (open_streams, sizeof open_streams / sizeof *open_streams);
}
END_TEST

/* Guards against a cut head that is completed from another response of the same endpoint. */
START_TEST (a_cut_head_beside_a_whole_response_is_not_whole)
{
  static const char whole[]
      = "HTTP/1.1 200 OK\r\nX-Id: 2\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\ntwo";
  const Response *r = &plain_responses[0];
  static RawClient second;
  for (size_t n = 0; n < strlen (r->head); n++)
    {
      int listener;
      RawResponse seen;
      RelayFixture *f = create (&listener, 1);
      int kept = keep_connection (f, listener);
      raw_client_connect (&second, wl_web_port (f->web));
      raw_client_send (&f->caller, r->request);
      kept = take_request (f, listener, kept);
      raw_client_send (&second, "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nX-Key: k1\r\n\r\n");
      int fd = take_request (f, listener, -1);
      send_bytes (kept, r->head, n);
      turn (f);
      send_bytes (fd, whole, sizeof whole - 1);
      end_connection (kept, SCRIPT_CLOSE);
      run_until_response (f, &seen);
      check_seen (r, n, SCRIPT_CLOSE, "", &seen);
      for (int i = 0; i < TURNS_MAX && second.size == 0; i++)
        {
          turn (f);
          raw_client_receive (&second);
        }
      raw_client_read (&second, &seen);
      ck_assert_uint_eq (seen.status, 200);
      ck_assert_int_eq (seen.is_whole, 1);
      ck_assert_uint_eq (seen.size, 3);
      ck_assert_mem_eq (seen.body, "two", 3);
      close (fd);
      raw_client_close (&second);
      destroy (f, listener);
    }
}
END_TEST

/* Guards against a status line, or a head without seal, as a whole response. */
START_TEST (a_status_line_alone_is_not_a_response)
{
  static const char *const texts[] = {
    "HTTP/1.1 200 OK\r\n\r\n",
    "HTTP/1.1 200 OK\n\n",
    "HTTP/1.1 200\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX-Seal: s\r\nX-Id: 1\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n",
  };
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    {
      int listener;
      RawResponse seen;
      RelayFixture *f = create (&listener, 1);
      raw_client_send (&f->caller, i % 2 == 0 ? RELAY_SAFE_REQUEST : RELAY_STREAM_REQUEST);
      int fd = take_request (f, listener, -1);
      send_bytes (fd, texts[i], strlen (texts[i]));
      end_connection (fd, SCRIPT_CLOSE);
      run_until_response (f, &seen);
      ck_assert_uint_eq (seen.status, 502);
      destroy (f, listener);
    }
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_plain_response_that_is_closed_early_is_not_whole),
    WL_TEST (a_plain_response_that_is_reset_early_is_not_whole),
    WL_TEST (a_chunked_response_that_is_closed_early_is_not_whole),
    WL_TEST (a_chunked_response_that_is_reset_early_is_not_whole),
    WL_TEST (a_stream_that_is_closed_early_is_not_whole),
    WL_TEST (a_stream_that_is_reset_early_is_not_whole),
    WL_TEST (a_stream_without_length_that_is_closed_within_an_event_is_not_whole),
    WL_TEST (a_stream_without_length_that_is_reset_is_not_whole),
    WL_TEST (a_resumed_stream_that_is_closed_early_is_not_whole),
    WL_TEST (a_resumed_stream_that_is_reset_early_is_not_whole),
    WL_TEST (an_empty_rest_of_a_stream_is_whole),
    WL_TEST (a_plain_response_with_a_pause_is_whole),
    WL_TEST (a_stream_with_a_pause_is_whole),
    WL_TEST (a_cut_head_beside_a_whole_response_is_not_whole),
    WL_TEST (a_status_line_alone_is_not_a_response),
  };
  apr_initialize ();
  return wl_test_run ("relay_cut", tests, sizeof tests / sizeof tests[0]);
}
