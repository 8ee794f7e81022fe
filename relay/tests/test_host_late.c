#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <sys/socket.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_relay_fixture.h"
#include "wl_sample_engine.h"
#include "wl_test.h"
#include "wl_test_loopback.h"

/*
 * A node stops in calm while requests of every kind arrive, on new and kept connections, at
 * endpoints that are slower than any forecast. The clock is paused, and advanced by the test.
 * Guards against requests that are taken late in the grace time and cut at its end (rule LOST):
 * excused are those sent up to 3 s after the stop began whose endpoint was at work in the last
 * sixth of the grace time.
 */

enum
{
  GRACE_US = 8000000,
  LINGER_US = 3300000,
  EXCUSED_US = 3000000,
  LOSS_SLACK_US = 200000, /* a request that is cut within it, and was not passed on, is not lost */
  STEP_US = WL_HOST_TICK_US,
  WARM_UP_STEPS = 100, /* for a response that comes at once */
  BUSY_US = 150000,    /* before the stop, when the streams on busy connections begin */
  FIRST_US = 2000000,  /* before the stop, when the first request is sent */
  INTERVAL_US = 200000,
  PROBES = 3 * (FIRST_US + GRACE_US) / INTERVAL_US,
  LIMIT_US = 10000000, /* of the routes and the callers */
  ENDPOINTS = 9,       /* a plain one and engines */
  PLAIN_SLOTS = 1000,
  WORKS_MAX = 512, /* connections at the endpoint */
  FIRST_OUTPUT_US = 100000,
  OUTPUT_GAP_US = 500000,
  WORK_US = 5000000,
  NEVER = 0,
};

#define SAFE "GET /safe/"
#define ONCE "GET /once/"
#define STREAM "GET /stream/"
#define ENGINE "GET /large/"

/**
 * enum CallerKind - what a caller sends its request on
 * @CALLER_NEW: a new connection
 * @CALLER_IDLE: a kept connection, idle since before the stop
 * @CALLER_BUSY: a kept connection with a stream that began before the stop and has just ended
 */
typedef enum
{
  CALLER_NEW,
  CALLER_IDLE,
  CALLER_BUSY,
  CALLER_KINDS,
} CallerKind;

static const char *const caller_names[] = { "new", "idle", "busy" };

/**
 * struct Case - requests of one kind, and how their endpoint works
 * @request: start line and framing
 * @can_resume: its route allows a stream to be resumed
 * @begins: the endpoint writes an event every OUTPUT_GAP_US, else nothing until the end
 * @work_us: until the response is complete, or NEVER
 */
typedef struct
{
  const char *name;
  const char *request;
  int can_resume;
  int begins;
  uint64_t work_us;
} Case;

/** struct Work - a connection at the endpoint and the request on it */
typedef struct
{
  int fd;
  char in[2048];
  size_t size;
  int is_at_work;
  int is_warm_up;
  int probe;
  uint64_t began_us;
  uint32_t n_events;
} Work;

/** struct Probe - a caller, and what became of its request */
typedef struct
{
  RawClient client;
  CallerKind kind;
  uint64_t send_us;    /* 0 once it is sent */
  uint64_t due_us;     /* the same, kept */
  uint64_t warm_up_us; /* when the stream before the request begins, 0 for none */
  int was_sent;
  int was_passed_on;
  uint64_t ended_us;
  uint64_t work_ended_us; /* when its endpoint's work ended, 0 for not before the cut */
} Probe;

typedef struct
{
  const Case *what;
  WlHost *host;
  uint16_t ports[2];
  int listeners[ENDPOINTS];
  uint16_t endpoint_ports[ENDPOINTS];
  uint64_t stop_us;
  uint64_t registered_us;
  uint32_t sequence;
  Work works[WORKS_MAX];
  uint32_t n_works;
  Probe *probes;
} Fixture;

static Fixture f;

/* ---- the endpoint ---- */

/* The clock does not run while the kernel holds back small writes. */
static void
send_at_once (int fd)
{
  int on = 1;
  ck_assert_int_eq (setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on), 0);
}

static void
write_text (int fd, const char *text)
{
  ssize_t n = send (fd, text, strlen (text), MSG_NOSIGNAL);
  (void)n; /* the node may have closed the connection */
}

static void
write_head (const Work *w)
{
  char text[160];
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Id: %d\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            w->probe);
  write_text (w->fd, text);
}

static void
write_event (Work *w)
{
  char text[64];
  char chunk[96];
  snprintf (text, sizeof text, "id: %u\ndata: a\n\n", ++w->n_events);
  snprintf (chunk, sizeof chunk, "%zx\r\n%s\r\n", strlen (text), text);
  write_text (w->fd, chunk);
}

static void
begin_work (Work *w, uint64_t now_us)
{
  const char *id = strstr (w->in, "X-Id: ");
  ck_assert_ptr_nonnull (id);
  w->probe = atoi (id + 6);
  w->is_warm_up = strstr (w->in, "X-Warm-Up: ") != NULL;
  w->is_at_work = 1;
  w->began_us = now_us;
  w->n_events = 0;
  w->size = 0;
  if (w->is_warm_up)
    {
      write_head (w);
      write_event (w);
    }
  else
    f.probes[w->probe].was_passed_on = 1;
}

static void
finish_work (Work *w, uint64_t now_us)
{
  if (!w->is_warm_up)
    f.probes[w->probe].work_ended_us = now_us;
  if (w->n_events == 0)
    {
      write_head (w);
      write_event (w);
    }
  write_text (w->fd, "0\r\n\r\n");
  w->is_at_work = 0;
}

static void
write_events (Work *w, uint64_t now_us)
{
  if (w->n_events == 0 && now_us >= w->began_us + FIRST_OUTPUT_US)
    write_head (w);
  while (now_us >= w->began_us + FIRST_OUTPUT_US + w->n_events * OUTPUT_GAP_US)
    write_event (w);
}

/* A warm-up ends at once, or just before the request that follows it. */
static int
is_finished (const Work *w, uint64_t now_us)
{
  const Probe *p = &f.probes[w->probe];
  if (w->is_warm_up)
    return p->kind == CALLER_IDLE || now_us >= p->due_us;
  return f.what->work_us != NEVER && now_us >= w->began_us + f.what->work_us;
}

static void
run_work (Work *w, uint64_t now_us)
{
  ssize_t n = recv (w->fd, w->in + w->size, sizeof w->in - 1 - w->size, MSG_DONTWAIT);
  if (n > 0)
    {
      w->size += (size_t)n;
      w->in[w->size] = '\0';
      if (strstr (w->in, "\r\n\r\n") != NULL)
        begin_work (w, now_us);
    }
  else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    {
      close (w->fd); /* the work ends, too */
      w->fd = -1;
      return;
    }
  if (!w->is_at_work)
    return;
  if (is_finished (w, now_us))
    finish_work (w, now_us);
  else if (f.what->begins && !w->is_warm_up)
    write_events (w, now_us);
}

static void
run_endpoint (uint64_t now_us)
{
  for (int i = 0; i < ENDPOINTS; i++)
    for (int fd; (fd = accept (f.listeners[i], NULL, NULL)) >= 0;)
      {
        ck_assert_uint_lt (f.n_works, WORKS_MAX);
        send_at_once (fd);
        f.works[f.n_works++] = (Work){ .fd = fd };
      }
  for (uint32_t i = 0; i < f.n_works; i++)
    if (f.works[i].fd >= 0)
      run_work (&f.works[i], now_us);
}

static void
register_endpoints (uint64_t now_us)
{
  if (now_us < f.registered_us + 1000000)
    return;
  f.registered_us = now_us;
  f.sequence++;
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      WlEndpointRecord e = { .address = htonl (INADDR_LOOPBACK), .started_ms = 1 };
      e.port = f.endpoint_ports[i];
      e.slots = i == 0 ? PLAIN_SLOTS : wl_sample_engines.engine.slots;
      e.sequence = f.sequence;
      snprintf (e.id, sizeof e.id, "e%u", i);
      snprintf (e.service, sizeof e.service, "%s", i == 0 ? "s" : wl_sample_engines.name);
      strcpy (e.domain, "z");
      wl_host_register (f.host, &e);
    }
}

/* ---- callers ---- */

static int
has_whole_response (const RawClient *c)
{
  RawResponse response;
  raw_client_read (c, &response);
  return response.is_whole;
}

/* Returns whether it was sent. */
static int
send_request (const Probe *p, const char *request, const char *extra)
{
  char text[512];
  snprintf (text, sizeof text,
            "%s HTTP/1.1\r\nHost: h\r\nX-Id: %d\r\nX-Key: k1\r\nX-Left: %d\r\nX-Prompt: 1000\r\n%s"
            "\r\n",
            request, (int)(p - f.probes), LIMIT_US / 1000, extra);
  size_t size = strlen (text);
  return send (p->client.fd, text, size, MSG_NOSIGNAL) == (ssize_t)size;
}

static void
warm_up (Probe *p)
{
  p->warm_up_us = 0;
  ck_assert_int_eq (send_request (p, STREAM, "X-Warm-Up: 1\r\n"), 1);
}

/* A node that has stopped to listen refuses the connection: the request is not sent. */
static int
connect_probe (Probe *p)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (f.ports[1]) };
  sa.sin_addr.s_addr = htonl (wl_test_loopback (1));
  p->client.fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (p->client.fd, (struct sockaddr *)&sa, sizeof sa) != 0)
    {
      p->client.is_closed = 1;
      return 0;
    }
  fcntl (p->client.fd, F_SETFL, O_NONBLOCK);
  send_at_once (p->client.fd);
  return 1;
}

static void
run_caller (Probe *p, uint64_t now_us)
{
  if (p->client.fd >= 0 && !p->client.is_closed)
    {
      raw_client_receive (&p->client);
      p->ended_us = p->client.is_closed ? now_us : 0;
    }
  if (p->warm_up_us != 0 && now_us >= p->warm_up_us)
    warm_up (p);
  if (p->send_us == 0 || now_us < p->send_us)
    return;
  if (p->kind == CALLER_BUSY && !p->client.is_closed && !has_whole_response (&p->client))
    return;
  p->send_us = 0;
  if (p->kind == CALLER_NEW ? !connect_probe (p) : p->client.is_closed)
    return;
  p->client.size = 0;
  p->was_sent = send_request (p, f.what->request, "");
}

static void
run (uint64_t duration_us)
{
  for (uint64_t end_us = wl_clock_now_us () + duration_us; wl_clock_now_us () < end_us;)
    {
      wl_clock_set (wl_clock_now_us () + STEP_US);
      uint64_t now_us = wl_clock_now_us ();
      register_endpoints (now_us);
      for (int i = 0; i < PROBES; i++)
        run_caller (&f.probes[i], now_us);
      f.host->next_tick_us = now_us; /* no wait on the sockets */
      wl_host_run_once (f.host);
      run_endpoint (now_us);
      if (f.stop_us != 0 && wl_host_may_exit (f.host))
        return;
    }
}

/* ---- judgement ---- */

/* Whether a request that has no whole response is excused. */
static int
is_excused (const Probe *p, uint64_t sent_us)
{
  uint64_t ended_us = p->ended_us != 0 ? p->ended_us : wl_clock_now_us ();
  if (!p->was_passed_on)
    return ended_us <= sent_us + LOSS_SLACK_US;
  uint64_t last_sixth_us = f.stop_us + GRACE_US - GRACE_US / 6;
  int was_at_work
      = ended_us >= last_sixth_us && (p->work_ended_us == 0 || p->work_ended_us >= last_sixth_us);
  return was_at_work && sent_us <= f.stop_us + EXCUSED_US;
}

static uint64_t
send_time (int probe)
{
  return f.stop_us - FIRST_US + (uint64_t)(probe / CALLER_KINDS) * INTERVAL_US;
}

static void
judge (void)
{
  int n_lost = 0;
  int first = -1;
  int n_whole = 0;
  for (int i = 0; i < PROBES; i++)
    {
      Probe *p = &f.probes[i];
      if (!p->was_sent)
        continue;
      raw_client_receive (&p->client);
      int is_whole = has_whole_response (&p->client);
      n_whole += is_whole;
      if (is_whole || is_excused (p, send_time (i)))
        continue;
      n_lost++;
      first = first < 0 ? i : first;
    }
  ck_assert_msg (
      n_lost == 0, "%s: %d requests cut, the first sent %d ms after the stop began, connection %s",
      f.what->name, n_lost, (int)(((int64_t)send_time (first) - (int64_t)f.stop_us) / 1000),
      caller_names[f.probes[first].kind]);
  ck_assert_int_gt (n_whole, 0);
}

/* ---- the stop ---- */

static WlRoutes *
make_routes (void)
{
  WlRoutes *routes = relay_fixture_routes ();
  routes->limits = (WlWebLimits){ 8192, 65536, 5000000, 30000000 };
  for (uint32_t i = 0; i < routes->n_routes; i++)
    {
      routes->routes[i].timeout_us = LIMIT_US;
      routes->routes[i].abandon_gap_us = LIMIT_US;
    }
  routes->routes[2].can_resume = (uint8_t)f.what->can_resume;
  return routes;
}

static void
start (const Case *what)
{
  memset (&f, 0, sizeof f);
  f.what = what;
  f.probes = calloc (PROBES, sizeof *f.probes);
  ck_assert_ptr_nonnull (f.probes);
  for (int i = 0; i < ENDPOINTS; i++)
    f.listeners[i] = wl_test_listen (&f.endpoint_ports[i]);
  wl_test_free_ports (f.ports, 2);
  const WlHostOptions options = {
    .node = wl_test_loopback (1),
    .domain = "z",
    .key = "key",
    .peer_port = f.ports[0],
    .client_port = f.ports[1],
    .grace_us = GRACE_US,
    .linger_us = LINGER_US,
    .address_lifetime_us = 1000000,
    .retry_ratio = 0.2,
    .retry_slack = 100,
    .retry_window_us = 10000000,
    .protocol = relay_fixture_protocol (),
  };
  wl_clock_set (wl_clock_now_us ());
  ck_assert_int_eq (wl_host_create (&options, &f.host), WL_OK);
  WlRoutes *routes = make_routes ();
  wl_web_set_limits (f.host->client_server, &routes->limits);
  wl_relay_set_routes (f.host->relay, routes);
}

/* Connects the callers, and gets the connections used that are to be kept. */
static void
prepare_callers (void)
{
  for (int i = 0; i < PROBES; i++)
    {
      Probe *p = &f.probes[i];
      p->client.fd = -1;
      p->kind = (CallerKind)(i % CALLER_KINDS);
      if (p->kind != CALLER_NEW)
        ck_assert_int_eq (connect_probe (p), 1);
    }
  run (STEP_US);
  for (int i = 0; i < PROBES; i++)
    {
      Probe *p = &f.probes[i];
      if (p->kind != CALLER_IDLE)
        continue;
      warm_up (p);
      for (int j = 0; j < WARM_UP_STEPS && !has_whole_response (&p->client); j++)
        run (STEP_US);
      ck_assert_msg (has_whole_response (&p->client), "probe %d got: %s", i, p->client.answer);
    }
}

static void
stop_under_requests (const Case *what)
{
  start (what);
  prepare_callers ();
  uint64_t stop_us = wl_clock_now_us () + FIRST_US;
  for (int i = 0; i < PROBES; i++)
    {
      Probe *p = &f.probes[i];
      uint64_t send_us = stop_us - FIRST_US + (uint64_t)(i / CALLER_KINDS) * INTERVAL_US;
      if (p->kind == CALLER_BUSY && send_us <= stop_us)
        continue;
      p->send_us = send_us;
      p->due_us = send_us;
      p->warm_up_us = p->kind == CALLER_BUSY ? stop_us - BUSY_US : 0;
    }
  run (FIRST_US);
  f.stop_us = stop_us;
  wl_host_stop (f.host);
  run (GRACE_US);
  ck_assert_int_eq (wl_host_may_exit (f.host), 1);
  wl_host_destroy (f.host);
  judge ();
  for (int i = 0; i < PROBES; i++)
    if (f.probes[i].client.fd >= 0)
      close (f.probes[i].client.fd);
  for (uint32_t i = 0; i < f.n_works; i++)
    if (f.works[i].fd >= 0)
      close (f.works[i].fd);
  for (int i = 0; i < ENDPOINTS; i++)
    close (f.listeners[i]);
  free (f.probes);
  wl_clock_set (0);
}

START_TEST (responses_that_come_late_in_a_stop_are_whole)
{
  static const Case cases[] = {
    { "idempotent, 5 s", SAFE, 0, 0, WORK_US },
    { "idempotent, never", SAFE, 0, 0, NEVER },
    { "non-idempotent, 5 s", ONCE, 0, 0, WORK_US },
    { "non-idempotent, never", ONCE, 0, 0, NEVER },
    { "stream, silent for 5 s", STREAM, 0, 0, WORK_US },
    { "resumable stream, silent", STREAM, 1, 0, NEVER },
    { "engine, silent for 5 s", ENGINE, 1, 0, WORK_US },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    stop_under_requests (&cases[i]);
}
END_TEST

START_TEST (a_stream_that_may_not_run_twice_is_not_taken_late_and_cut)
{
  static const Case cases[] = {
    { "stream, 5 s", STREAM, 0, 1, WORK_US },
    { "stream without end", STREAM, 0, 1, NEVER },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    stop_under_requests (&cases[i]);
}
END_TEST

START_TEST (a_resumable_stream_is_not_taken_late_and_cut)
{
  static const Case cases[] = {
    { "resumable stream, 5 s", STREAM, 1, 1, WORK_US },
    { "resumable stream without end", STREAM, 1, 1, NEVER },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    stop_under_requests (&cases[i]);
}
END_TEST

START_TEST (a_stream_of_an_engine_is_not_taken_late_and_cut)
{
  static const Case cases[] = {
    { "engine, 5 s", ENGINE, 1, 1, WORK_US },
    { "engine, without end", ENGINE, 1, 1, NEVER },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    stop_under_requests (&cases[i]);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (responses_that_come_late_in_a_stop_are_whole),
    WL_TEST (a_stream_that_may_not_run_twice_is_not_taken_late_and_cut),
    WL_TEST (a_resumable_stream_is_not_taken_late_and_cut),
    WL_TEST (a_stream_of_an_engine_is_not_taken_late_and_cut),
  };
  apr_initialize ();
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  return wl_test_run ("host_late", tests, sizeof tests / sizeof tests[0]);
}
