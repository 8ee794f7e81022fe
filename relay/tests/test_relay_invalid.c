#include <errno.h>
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
 * Endpoints that send what is no HTTP response, interim responses without end, or a final response
 * before they have read the request. The clock stands still, so that a time limit ends nothing:
 * guards against callers that are held to their deadline after such a response has arrived, and
 * against a part of a body that is passed on as a complete response.
 */

enum
{
  TURNS_MAX = 400, /* of the loop; the limit only ends a case without a response */
  KEPT_TURNS = 20, /* in which a response that goes on is not ended */
  INTERIM_HEADS_MAX = 32,
  OTHER_RESPONSES_MAX = 64,
  LARGE_FIELD_BYTES = 30000,
  REQUEST_BYTES = 5 << 20, /* more than the kernel takes of an upload that is not read */
  RECEIVE_BUFFER_BYTES = 4096,
  PAST_LIMIT_US = 3000000, /* longer than the time limit of the routes */
};

#define FIELDS "X-Id: 1\r\nX-Seal: s\r\n"
#define HEAD "HTTP/1.1 200 OK\r\n" FIELDS
#define EVENTS HEAD "Content-Type: text/event-stream\r\n"
#define EVENT "id: 1\ndata: a\n\n"

typedef enum
{
  KIND_IDEMPOTENT,
  KIND_NON_IDEMPOTENT,
  KIND_STREAM,
  N_KINDS,
} Kind;

static const char *const kind_names[] = { "idempotent", "non-idempotent", "stream" };
static const char *const requests[]
    = { RELAY_SAFE_REQUEST, RELAY_ONCE_REQUEST, RELAY_STREAM_REQUEST };
static const char *const targets[] = { "/safe/", "/once/", "/stream/" };

/* ---- an endpoint of the test's own ---- */

/** struct Case - a relay, its caller, and an endpoint on plain sockets, one attempt a request */
typedef struct
{
  RelayFixture *relay;
  int listener;
  int fd; /* connection of the request */
  RawResponse seen;
} Case;

static void
turn (Case *c)
{
  RelayFixture *f = c->relay;
  wl_tcp_flush (f->loop);
  wl_reactor_poll (f->reactor, 1000);
  wl_relay_tick (f->relay, wl_clock_now_us ());
  wl_tcp_flush (f->loop);
  raw_client_receive (&f->caller);
}

static Case
create (uint32_t attempts)
{
  const WlWebLimits limits = { 8192, REQUEST_BYTES, 5000000, 5000000 };
  const int buffer_bytes = RECEIVE_BUFFER_BYTES;
  uint16_t port;
  Case c = { .relay = relay_fixture_create (), .fd = -1 };
  WlRoutes *routes = relay_fixture_routes ();
  for (uint32_t i = 0; i < routes->n_routes; i++)
    routes->routes[i].attempts = attempts;
  wl_relay_set_routes (c.relay->relay, routes);
  wl_web_set_limits (c.relay->web, &limits);
  c.listener = wl_test_listen (&port);
  setsockopt (c.listener, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  relay_fixture_register (c.relay, 0, port);
  wl_clock_set (wl_clock_now_us ());
  return c;
}

static void
destroy (Case *c)
{
  if (c->fd >= 0)
    close (c->fd);
  close (c->listener);
  wl_clock_set (0);
  relay_fixture_destroy (c->relay);
}

/* Accepts the request's connection and reads up to the end of its head. */
static void
take_request (Case *c)
{
  char bytes[2048] = "";
  size_t size = 0;
  for (int i = 0; i < TURNS_MAX && strstr (bytes, "\r\n\r\n") == NULL; i++)
    {
      turn (c);
      if (c->fd < 0)
        c->fd = accept (c->listener, NULL, NULL);
      ssize_t n
          = c->fd >= 0 ? recv (c->fd, bytes + size, sizeof bytes - 1 - size, MSG_DONTWAIT) : 0;
      size += n > 0 ? (size_t)n : 0;
      bytes[size] = '\0';
    }
  ck_assert_ptr_nonnull (strstr (bytes, "\r\n\r\n"));
}

/* Sends bytes; the relay may have closed the connection. */
static void
send_text (Case *c, const char *text)
{
  (void)!send (c->fd, text, strlen (text), MSG_NOSIGNAL);
}

static int
has_response (Case *c)
{
  raw_client_read (&c->relay->caller, &c->seen);
  return c->seen.is_whole || c->relay->caller.is_closed;
}

static void
run_until_response (Case *c)
{
  for (int i = 0; i < TURNS_MAX && !has_response (c); i++)
    turn (c);
}

/* A second endpoint, with a sound response, which only a retry can reach. */
static void
add_sound_endpoint (Case *c)
{
  script_server_add (&c->relay->endpoints[1], RELAY_WHOLE, SCRIPT_CLOSE);
  relay_fixture_register (c->relay, 1, c->relay->endpoints[1].port);
}

/* ---- what is no response ---- */

typedef struct
{
  const char *name;
  const char *bytes;
} Invalid;

static const Invalid statuses_below_200[] = {
  { "000", "HTTP/1.1 000 X\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "000 without length", "HTTP/1.1 000 X\r\n" FIELDS "\r\nno" },
  { "099", "HTTP/1.1 099 X\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "099 in chunks", "HTTP/1.1 099 X\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n" },
  { "2", "HTTP/1.1 2 OK\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "20", "HTTP/1.1 20 OK\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "101", "HTTP/1.1 101 X\r\n" FIELDS "\r\n" },
  { "101 with Upgrade",
    "HTTP/1.1 101 X\r\n" FIELDS "Connection: upgrade\r\nUpgrade: x\r\n\r\n" RELAY_WHOLE },
  { "104", "HTTP/1.1 104 X\r\n" FIELDS "\r\n" },
  { "199", "HTTP/1.1 199 X\r\n" FIELDS "\r\n" },
};

static const Invalid interim_bodies[] = {
  { "length", "HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nno" RELAY_WHOLE },
  { "length of a response", "HTTP/1.1 102 X\r\nContent-Length: 60\r\n\r\n" RELAY_WHOLE },
  { "chunks",
    "HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n" RELAY_WHOLE },
};

static const Invalid statuses_from_600[] = {
  { "600", "HTTP/1.1 600 X\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "600 without seal", "HTTP/1.1 600 X\r\n\r\n" },
  { "600 without end", "HTTP/1.1 600 X\r\n" FIELDS "\r\nno" },
  { "999", "HTTP/1.1 999 X\r\n" FIELDS "Content-Length: 0\r\n\r\n" },
  { "1000", "HTTP/1.1 1000 X\r\n" FIELDS "Content-Length: 0\r\n\r\n" },
};

static const Invalid status_lines[] = {
  { "no digits", "HTTP/1.1 OK\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "no status", "HTTP/1.1\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "blank status", "HTTP/1.1  \r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "letters after digits", "HTTP/1.1 200OK\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "negative", "HTTP/1.1 -200 OK\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "other protocol", "ICY 200 OK\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "body alone", "{\"ok\":true}\r\n" },
};

static const Invalid other_versions[] = {
  { "HTTP/2", "HTTP/2.0 200 OK\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
  { "HTTP/0", "HTTP/0.9 200 OK\r\n" FIELDS "Content-Length: 2\r\n\r\nno" },
};

/* The only attempt ends in a 502, at once, although the endpoint keeps its connection. */
static void
fails_at_once (Kind kind, const Invalid *invalid)
{
  Case c = create (1);
  raw_client_send (&c.relay->caller, requests[kind]);
  take_request (&c);
  send_text (&c, invalid->bytes);
  run_until_response (&c);
  ck_assert_msg (c.seen.status == 502 && c.seen.is_whole, "%s, %s: status %u", kind_names[kind],
                 invalid->name, c.seen.status);
  destroy (&c);
}

/* A second attempt is made where the route allows it, and never of work that may have run. */
static void
is_retried_if_allowed (Kind kind, const Invalid *invalid)
{
  Case c = create (2);
  raw_client_send (&c.relay->caller, requests[kind]);
  take_request (&c);
  add_sound_endpoint (&c);
  send_text (&c, invalid->bytes);
  run_until_response (&c);
  uint32_t n_runs = c.relay->endpoints[1].n_requests;
  uint32_t expected = kind == KIND_NON_IDEMPOTENT ? 502 : 200;
  ck_assert_msg (c.seen.status == expected && c.seen.is_whole, "%s, %s: status %u",
                 kind_names[kind], invalid->name, c.seen.status);
  ck_assert_uint_eq (n_runs, expected == 200);
  if (expected == 200)
    ck_assert_msg (c.seen.size == 2 && memcmp (c.seen.body, "ok", 2) == 0, "%s, %s: another body",
                   kind_names[kind], invalid->name);
  destroy (&c);
}

static void
check_invalid (const Invalid *table, size_t n)
{
  for (size_t i = 0; i < n; i++)
    for (Kind kind = 0; kind < N_KINDS; kind++)
      {
        fails_at_once (kind, &table[i]);
        is_retried_if_allowed (kind, &table[i]);
      }
}

#define INVALID_TEST(name, table)                                                                  \
  START_TEST (name)                                                                                \
  {                                                                                                \
    check_invalid (table, sizeof table / sizeof *table);                                           \
  }                                                                                                \
  END_TEST

INVALID_TEST (a_status_below_200_that_is_not_interim_fails_at_once, statuses_below_200)
INVALID_TEST (an_interim_response_with_a_body_fails_at_once, interim_bodies)
INVALID_TEST (a_status_of_600_or_more_fails_at_once, statuses_from_600)
INVALID_TEST (a_status_line_without_a_status_fails_at_once, status_lines)
INVALID_TEST (another_version_of_http_fails_at_once, other_versions)

/* ---- responses without end ---- */

/* Sends a text again and again until the caller has a response. Returns how often. */
static uint32_t
send_until_response (Case *c, const char *text, uint32_t max)
{
  uint32_t n = 0;
  while (n < max && !has_response (c))
    {
      send_text (c, text);
      n++;
      for (int i = 0; i < 3; i++)
        turn (c);
    }
  run_until_response (c);
  return n;
}

/* Guards against callers that are held to their deadline by an endpoint that never gets further. */
START_TEST (interim_responses_without_end_fail)
{
  static const char *const texts[] = {
    "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
  };
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    for (Kind kind = 0; kind < N_KINDS; kind++)
      {
        Case c = create (1);
        raw_client_send (&c.relay->caller, requests[kind]);
        take_request (&c);
        uint32_t n = send_until_response (&c, texts[i], INTERIM_HEADS_MAX);
        ck_assert_msg (c.seen.status == 502, "%s: status %u after %u of %s", kind_names[kind],
                       c.seen.status, n, texts[i]);
        destroy (&c);
      }
}
END_TEST

/* Guards against interim heads each of which is within the limit of a head. */
START_TEST (large_interim_responses_fail_together)
{
  static char text[LARGE_FIELD_BYTES + 64];
  size_t n = (size_t)snprintf (text, sizeof text, "HTTP/1.1 103 Early Hints\r\nX-Fill: ");
  memset (text + n, 'q', LARGE_FIELD_BYTES);
  strcpy (text + n + LARGE_FIELD_BYTES, "\r\n\r\n");
  for (Kind kind = 0; kind < N_KINDS; kind++)
    {
      Case c = create (1);
      raw_client_send (&c.relay->caller, requests[kind]);
      take_request (&c);
      uint32_t n_sent = send_until_response (&c, text, INTERIM_HEADS_MAX);
      ck_assert_uint_eq (c.seen.status, 502);
      ck_assert_uint_le (n_sent, 1 + WL_FETCH_HEAD_MAX_BYTES / LARGE_FIELD_BYTES);
      destroy (&c);
    }
}
END_TEST

START_TEST (some_interim_responses_are_read)
{
  for (Kind kind = 0; kind < N_KINDS; kind++)
    {
      Case c = create (1);
      raw_client_send (&c.relay->caller, requests[kind]);
      take_request (&c);
      send_text (&c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
      turn (&c);
      send_text (&c, "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
                     "HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n" RELAY_WHOLE);
      run_until_response (&c);
      ck_assert_uint_eq (c.seen.status, 200);
      ck_assert_uint_eq (c.seen.size, 2);
      ck_assert_mem_eq (c.seen.body, "ok", 2);
      destroy (&c);
    }
}
END_TEST

/* Guards against callers that are held while an endpoint sends responses to other requests. */
START_TEST (responses_to_other_requests_without_end_fail)
{
  for (Kind kind = 0; kind < N_KINDS; kind++)
    {
      Case c = create (1);
      raw_client_send (&c.relay->caller, requests[kind]);
      take_request (&c);
      send_until_response (&c,
                           "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Seal: s\r\nContent-Length: 1\r\n\r\nq",
                           OTHER_RESPONSES_MAX);
      ck_assert_msg (c.seen.status == 502, "%s: status %u", kind_names[kind], c.seen.status);
      destroy (&c);
    }
}
END_TEST

/* Guards against callers that are held while the body of another response arrives without end. */
START_TEST (the_body_of_another_response_without_end_fails)
{
  static const char *const heads[] = {
    "HTTP/1.1 200 OK\r\nX-Id: 0\r\nContent-Length: 1125899906842624\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 0\r\nTransfer-Encoding: chunked\r\n\r\n10000000000\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n",
  };
  static char filler[65537];
  memset (filler, 'q', sizeof filler - 1);
  for (size_t i = 0; i < sizeof heads / sizeof *heads; i++)
    for (Kind kind = 0; kind < N_KINDS; kind++)
      {
        Case c = create (1);
        raw_client_send (&c.relay->caller, requests[kind]);
        take_request (&c);
        send_text (&c, heads[i]);
        send_until_response (&c, filler, 256);
        ck_assert_msg (c.seen.status == 502, "%s, head %zu: status %u", kind_names[kind], i,
                       c.seen.status);
        destroy (&c);
      }
}
END_TEST

/* ---- statuses without a body ---- */

/*
 * Guards against bytes after a 204 or 304 that the caller reads as its next response, and against
 * a 304 whose length announces the body that it stands for, and which is waited for.
 */
START_TEST (a_204_and_a_304_have_no_body)
{
  static const char *const texts[] = {
    "HTTP/1.1 304 Not Modified\r\n" FIELDS "Content-Length: 2\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\n" FIELDS "Content-Length: 2\r\n\r\nno",
    "HTTP/1.1 204 No Content\r\n" FIELDS "Content-Length: 2\r\n\r\nno",
    "HTTP/1.1 204 No Content\r\n" FIELDS "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
  };
  for (size_t i = 0; i < sizeof texts / sizeof *texts; i++)
    for (Kind kind = 0; kind < N_KINDS; kind++)
      {
        Case c = create (1);
        raw_client_send (&c.relay->caller, requests[kind]);
        take_request (&c);
        send_text (&c, texts[i]);
        run_until_response (&c);
        ck_assert_uint_eq (c.seen.status, i < 2 ? 304 : 204);
        const char *end = strstr (c.relay->caller.answer, "\r\n\r\n");
        ck_assert_ptr_nonnull (end);
        ck_assert_str_eq (end, "\r\n\r\n");
        destroy (&c);
      }
}
END_TEST

/* ---- early final responses ---- */

typedef enum
{
  END_KEPT,
  END_RESET,
  END_HALF_CLOSED,
  N_ENDS,
} End;

static const char *const end_names[] = { "kept open", "reset", "half-closed" };

/* An early response. @is_complete: by its length or last chunk */
typedef struct
{
  const char *name;
  const char *bytes;
  int is_complete;
} Early;

static const Early early_responses[] = {
  { "length, part", HEAD "Content-Length: 9\r\n\r\npart", 0 },
  { "length, whole", HEAD "Content-Length: 2\r\n\r\nok", 1 },
  { "chunks, part", HEAD "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", 0 },
  { "chunks, whole", HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1 },
  { "neither, part", HEAD "\r\npart", 0 },
  { "neither, part, close", HEAD "Connection: close\r\n\r\npart", 0 },
  { "neither, HTTP/1.0", "HTTP/1.0 200 OK\r\n" FIELDS "\r\npart", 0 },
  { "events, length", EVENTS "Content-Length: 99\r\n\r\n" EVENT, 0 },
  { "events, chunks", EVENTS "Transfer-Encoding: chunked\r\n\r\nf\r\n" EVENT "\r\n", 0 },
  { "events, neither", EVENTS "\r\n" EVENT, 0 },
  { "error, neither", "HTTP/1.1 400 No\r\n" FIELDS "\r\npart", 0 },
};

/* Sends a request whose body is larger than the buffers between the relay and its endpoint. */
static void
send_large_request (Case *c, Kind kind)
{
  static char body[REQUEST_BYTES];
  char head[256];
  size_t sent = 0;
  snprintf (head, sizeof head,
            "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nContent-Length: %d\r\n\r\n",
            targets[kind], REQUEST_BYTES);
  raw_client_send (&c->relay->caller, head);
  while (sent < sizeof body)
    {
      ssize_t n = send (c->relay->caller.fd, body + sent, sizeof body - sent, MSG_NOSIGNAL);
      ck_assert (n > 0 || errno == EAGAIN);
      sent += n > 0 ? (size_t)n : 0;
      turn (c);
    }
}

static void
end_response (Case *c, End end)
{
  const struct linger at_once = { .l_onoff = 1 };
  if (end == END_HALF_CLOSED)
    shutdown (c->fd, SHUT_WR);
  if (end != END_RESET)
    return;
  setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (c->fd);
  c->fd = -1;
}

/* @delayed: the end comes some turns after the last bytes */
static void
send_early (Case *c, const Early *early, End end, int is_delayed)
{
  send_text (c, early->bytes);
  for (int i = 0; is_delayed && i < 3; i++)
    turn (c);
  end_response (c, end);
}

/* An early response is passed on when it is complete; else the only attempt fails. */
static void
check_early (Kind kind, const Early *early, End end, int is_delayed)
{
  Case c = create (1);
  send_large_request (&c, kind);
  take_request (&c);
  send_early (&c, early, end, is_delayed);
  for (int i = 0; end == END_KEPT && i < KEPT_TURNS; i++)
    turn (&c);
  if (early->is_complete || end != END_KEPT)
    run_until_response (&c);
  has_response (&c);
  if (early->is_complete)
    {
      ck_assert_msg (c.seen.status == 200 && c.seen.is_whole && c.seen.size == 2,
                     "%s, %s, %s: status %u", kind_names[kind], early->name, end_names[end],
                     c.seen.status);
      destroy (&c);
      return;
    }
  if (end == END_KEPT)
    {
      ck_assert_msg (!c.seen.is_whole, "%s, %s: ended while it goes on", kind_names[kind],
                     early->name);
      wl_clock_set (wl_clock_now_us () + PAST_LIMIT_US);
      run_until_response (&c);
    }
  ck_assert_msg (has_response (&c), "%s, %s, %s: held", kind_names[kind], early->name,
                 end_names[end]);
  ck_assert_msg (!c.seen.is_whole || c.seen.status >= 500, "%s, %s, %s: whole, status %u",
                 kind_names[kind], early->name, end_names[end], c.seen.status);
  destroy (&c);
}

/* Of the routes that allow a second attempt, each gets the whole response of the other endpoint. */
static void
check_early_retry (Kind kind, const Early *early, End end)
{
  Case c = create (2);
  send_large_request (&c, kind);
  take_request (&c);
  add_sound_endpoint (&c);
  send_early (&c, early, end, 0);
  run_until_response (&c);
  int has_begun = kind == KIND_STREAM && strstr (early->bytes, EVENT) != NULL;
  if (kind == KIND_NON_IDEMPOTENT)
    {
      ck_assert_uint_eq (c.seen.status, 502);
      ck_assert_uint_eq (c.relay->endpoints[1].n_requests, 0);
    }
  else if (!has_begun)
    ck_assert_msg (c.seen.status == 200 && c.seen.size == 2 && memcmp (c.seen.body, "ok", 2) == 0,
                   "%s, %s, %s: status %u", kind_names[kind], early->name, end_names[end],
                   c.seen.status);
  else
    ck_assert (!c.seen.is_whole); /* the other endpoint has no more events */
  destroy (&c);
}

static void
check_all_early (Kind kind)
{
  for (size_t i = 0; i < sizeof early_responses / sizeof *early_responses; i++)
    {
      check_early (kind, &early_responses[i], END_KEPT, 0);
      for (End end = END_RESET; end < N_ENDS; end++)
        for (int is_delayed = 0; is_delayed < 2; is_delayed++)
          check_early (kind, &early_responses[i], end, is_delayed);
    }
}

START_TEST (an_early_response_to_an_idempotent_request_is_not_whole)
{
  check_all_early (KIND_IDEMPOTENT);
}
END_TEST

START_TEST (an_early_response_to_a_non_idempotent_request_is_not_whole)
{
  check_all_early (KIND_NON_IDEMPOTENT);
}
END_TEST

START_TEST (an_early_response_to_a_stream_is_not_whole)
{
  check_all_early (KIND_STREAM);
}
END_TEST

START_TEST (an_early_response_that_breaks_is_retried_if_allowed)
{
  for (size_t i = 0; i < sizeof early_responses / sizeof *early_responses; i++)
    for (Kind kind = 0; kind < N_KINDS; kind++)
      for (End end = END_RESET; end < N_ENDS && !early_responses[i].is_complete; end++)
        check_early_retry (kind, &early_responses[i], end);
}
END_TEST

/* Guards against a request that is read as part of the upload before it. */
START_TEST (the_connection_of_an_unfinished_upload_is_not_reused)
{
  Case c = create (1);
  send_large_request (&c, KIND_IDEMPOTENT);
  take_request (&c);
  int fd = c.fd;
  send_text (&c, HEAD "Content-Length: 2\r\n\r\nok");
  run_until_response (&c);
  ck_assert_uint_eq (c.seen.status, 200);
  c.relay->caller.size = 0;
  c.fd = -1;
  raw_client_send (&c.relay->caller, RELAY_SAFE_REQUEST);
  take_request (&c);
  send_text (&c, RELAY_WHOLE);
  run_until_response (&c);
  ck_assert_uint_eq (c.seen.status, 200);
  close (fd);
  destroy (&c);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_status_below_200_that_is_not_interim_fails_at_once),
    WL_TEST (an_interim_response_with_a_body_fails_at_once),
    WL_TEST (a_status_of_600_or_more_fails_at_once),
    WL_TEST (a_status_line_without_a_status_fails_at_once),
    WL_TEST (another_version_of_http_fails_at_once),
    WL_TEST (interim_responses_without_end_fail),
    WL_TEST (large_interim_responses_fail_together),
    WL_TEST (some_interim_responses_are_read),
    WL_TEST (responses_to_other_requests_without_end_fail),
    WL_TEST (the_body_of_another_response_without_end_fails),
    WL_TEST (a_204_and_a_304_have_no_body),
    WL_TEST (an_early_response_to_an_idempotent_request_is_not_whole),
    WL_TEST (an_early_response_to_a_non_idempotent_request_is_not_whole),
    WL_TEST (an_early_response_to_a_stream_is_not_whole),
    WL_TEST (an_early_response_that_breaks_is_retried_if_allowed),
    WL_TEST (the_connection_of_an_unfinished_upload_is_not_reused),
  };
  apr_initialize ();
  return wl_test_run ("relay_invalid", tests, sizeof tests / sizeof tests[0]);
}
