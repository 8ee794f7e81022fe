#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <apr_general.h>
#include <netinet/in.h>
#include "wl_clock.h"
#include "wl_raw_client.h"
#include "wl_relay.h"
#include "wl_sample_engine.h"
#include "wl_script_server.h"
#include "wl_test.h"

/* Requests through the relay to endpoints that answer, refuse, break off or say nothing. */

enum
{
  ENDPOINTS = 3,
  ENGINE_MEMORY = 40000, /* tokens, of each endpoint on the route of large prompts */
};

typedef struct
{
  WlReactor *reactor;
  WlTcpLoop *loop;
  WlFetchClient *client;
  WlFleet *fleet;
  WlLoad *load;
  WlRelay *relay;
  WlWeb *web;
  ScriptServer endpoints[ENDPOINTS];
  RawClient caller;
  uint32_t n_started;
  uint32_t n_ended;
} Fixture;

/* ---- a protocol of the test's own ---- */

static void
read_request (const WlHttpHead *head, WlRelayRequestInfo *out)
{
  const char *left_ms = wl_http_head_field (head, "X-Left");
  memset (out, 0, sizeof *out);
  out->id = wl_http_head_field (head, "X-Id");
  out->key = wl_http_head_field (head, "X-Key");
  out->left_us = left_ms != NULL ? strtoull (left_ms, NULL, 10) * 1000 : 0;
  const char *prompt = wl_http_head_field (head, "X-Prompt");
  out->prompt = prompt != NULL ? (uint32_t)strtoul (prompt, NULL, 10) : 0;
}

static int
is_own_field (const char *name, const WlRelayForward *forward)
{
  if (strcasecmp (name, "X-Key") == 0 || strcasecmp (name, "X-Left") == 0)
    return 1;
  return forward->last_event != NULL && strcasecmp (name, "X-Last") == 0;
}

static void
append (WlBuffer *out, const char *text)
{
  wl_buffer_append (out, (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
}

static void
write_fields (const WlRelayForward *f, WlBuffer *out)
{
  char line[128];
  snprintf (line, sizeof line, "X-Left: %lu\r\n", (unsigned long)f->left_ms);
  append (out, line);
  if (f->customer != NULL)
    {
      snprintf (line, sizeof line, "X-Customer: %s\r\n", f->customer);
      append (out, line);
    }
  if (f->last_event != NULL)
    {
      snprintf (line, sizeof line, "X-Last: %s\r\n", f->last_event);
      append (out, line);
    }
}

static void
read_answer (const WlHttpHead *head, WlRelayAnswerInfo *out)
{
  memset (out, 0, sizeof *out);
  out->id = wl_http_head_field (head, "X-Id");
  out->is_not_run = wl_http_head_field (head, "X-Not-Run") != NULL;
  out->is_sealed = wl_http_head_field (head, "X-Seal") != NULL;
  const char *port = wl_http_head_field (head, "X-Fault");
  if (port != NULL)
    {
      out->fault_address = htonl (INADDR_LOOPBACK);
      out->fault_port = (uint16_t)strtoul (port, NULL, 10);
    }
}

static void
write_order (const WlReservationOrder *order, WlBuffer *head, WlBuffer *body)
{
  (void)body;
  append (head, order->kind == WL_ORDER_RESERVE ? "POST /reserve" : "POST /release");
  append (head, " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
}

static void
tell (void *data, const WlWorkNote *note)
{
  Fixture *f = data;
  f->n_started += note->phase == WL_WORK_SENT;
  f->n_ended += note->phase == WL_WORK_ENDED;
}

/* ---- fixture ---- */

static WlRoutes *
make_routes (void)
{
  WlRoutes *r = wl_routes_create ();
  const WlRoute *duplicate;
  r->services = apr_pcalloc (r->pool, 2 * sizeof *r->services);
  r->services[0].name = "s";
  r->services[1] = wl_sample_engines;
  r->services[1].engine.memory = ENGINE_MEMORY;
  r->n_services = 2;
  r->routes = apr_pcalloc (r->pool, 4 * sizeof *r->routes);
  r->n_routes = 4;
  for (uint32_t i = 0; i < 4; i++)
    {
      static const char *const prefixes[] = { "/safe/", "/once/", "/stream/", "/large/" };
      static const WlRouteKind kinds[]
          = { WL_ROUTE_IDEMPOTENT, WL_ROUTE_NON_IDEMPOTENT, WL_ROUTE_STREAM, WL_ROUTE_STREAM };
      WlRoute *route = &r->routes[i];
      route->name = prefixes[i];
      route->host = "h";
      route->prefix = prefixes[i];
      route->kind = kinds[i];
      route->timeout_us = 2000000;
      route->objective_us = 300000;
      route->patience_us = 2000000;
      route->attempts = kinds[i] == WL_ROUTE_NON_IDEMPOTENT ? 1 : 2;
      route->can_resume = kinds[i] == WL_ROUTE_STREAM;
      route->targets = apr_pcalloc (r->pool, sizeof *route->targets);
      route->targets[0].weight = 1;
      route->n_targets = 1;
      route->weight_total = 1;
    }
  WlRoute *large = &r->routes[3];
  large->timeout_us = 15000000;
  large->objective_us = 2500000;
  large->patience_us = 10000000;
  large->gap_us = 1000000;
  large->targets[0].service = 1;
  r->customers = apr_pcalloc (r->pool, sizeof *r->customers);
  r->customers[0].name = "acme";
  r->n_customers = 1;
  apr_hash_set (r->keys, "k1", APR_HASH_KEY_STRING, &r->customers[0]);
  wl_routes_index (r, &duplicate);
  return r;
}

static void
register_endpoint (Fixture *f, uint32_t i, uint16_t port)
{
  WlEndpointRecord e = { .address = htonl (INADDR_LOOPBACK), .port = port, .slots = 4 };
  snprintf (e.id, sizeof e.id, "e%u", i);
  strcpy (e.service, "s");
  strcpy (e.zone, "z");
  e.born_ms = 1;
  wl_fleet_take (f->fleet, &e, wl_clock_now_us ());
}

static Fixture *
create (void)
{
  static Fixture f;
  memset (&f, 0, sizeof f);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  f.loop = wl_tcp_loop_create (f.reactor);
  f.client = wl_fetch_client_create (f.loop);
  f.fleet = wl_fleet_create ();
  f.load = wl_load_create ();
  WlRelayOptions options = {
    .client = f.client,
    .fleet = f.fleet,
    .load = f.load,
    .protocol = { read_request, is_own_field, write_fields, read_answer, write_order },
    .zone = "z",
    .node = 1,
    .boot = 1,
    .seed = 1,
    .retry_ratio = 0.2,
    .retry_slack = 100,
    .retry_window_us = 10000000,
    .tell = tell,
    .data = &f,
  };
  f.relay = wl_relay_create (&options);
  wl_relay_set_routes (f.relay, make_routes ());
  WlWebOptions web = {
    .address = htonl (INADDR_LOOPBACK),
    .limits = { 8192, 65536, 5000000, 5000000 },
    .handle = wl_relay_handle,
    .gone = wl_relay_gone,
    .drained = wl_relay_drained,
    .data = f.relay,
  };
  ck_assert_int_eq (wl_web_create (f.loop, &web, &f.web), WL_OK);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    script_server_start (&f.endpoints[i], f.loop);
  raw_client_connect (&f.caller, wl_web_port (f.web));
  return &f;
}

/* Every endpoint answers its first request in this way, and is registered. */
static void
all_answer (Fixture *f, const char *bytes, ScriptThen then)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      script_server_add (&f->endpoints[i], bytes, then);
      register_endpoint (f, i, f->endpoints[i].port);
    }
}

static void
destroy (Fixture *f)
{
  raw_client_close (&f->caller);
  wl_web_destroy (f->web);
  wl_relay_destroy (f->relay);
  wl_fetch_client_destroy (f->client);
  wl_fleet_destroy (f->fleet);
  wl_load_destroy (f->load);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    script_server_stop (&f->endpoints[i]);
  wl_tcp_loop_destroy (f->loop);
  wl_reactor_destroy (f->reactor);
}

static void
run (Fixture *f, int ms)
{
  for (int i = 0; i < ms; i += 2)
    {
      script_run (f->reactor, f->loop, 2000, NULL);
      wl_relay_tick (f->relay, wl_clock_now_us ());
      raw_client_receive (&f->caller);
    }
}

static uint32_t
n_runs (const Fixture *f)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    n += f->endpoints[i].n_requests;
  return n;
}

static const char *
seen_by_one (const Fixture *f)
{
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    if (f->endpoints[i].n_requests > 0)
      return f->endpoints[i].seen;
  return "";
}

static const char once_request[]
    = "POST /once/x%2f?a=%20 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 900\r\n"
      "X-Customer: mallory\r\nX-Other: kept\r\nContent-Length: 4\r\n\r\nbody";
static const char safe_request[] = "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n\r\n";
static const char stream_request[]
    = "POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n";
static const char whole[]
    = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok";

START_TEST (a_request_and_its_answer_pass_byte_for_byte)
{
  Fixture *f = create ();
  all_answer (f, whole, SCRIPT_KEEP);
  raw_client_send (&f->caller, once_request);
  run (f, 60);
  const char *seen = seen_by_one (f);
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
  destroy (f);
}
END_TEST

START_TEST (what_may_run_once_is_not_sent_again_after_a_break)
{
  Fixture *f = create ();
  all_answer (f, NULL, SCRIPT_CLOSE);
  raw_client_send (&f->caller, once_request);
  run (f, 100);
  ck_assert_uint_eq (n_runs (f), 1);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 502 "));
  destroy (f);
}
END_TEST

START_TEST (what_may_run_again_is_sent_once_more)
{
  Fixture *f = create ();
  all_answer (f, NULL, SCRIPT_CLOSE);
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    f->endpoints[i].steps[0] = (ScriptStep){ i == 1 ? whole : NULL, SCRIPT_CLOSE };
  raw_client_send (&f->caller, safe_request);
  run (f, 100);
  ck_assert_uint_le (n_runs (f), 2);
  ck_assert_uint_ge (n_runs (f), 1);
  destroy (f);
}
END_TEST

START_TEST (an_error_is_passed_on_when_no_other_endpoint_is_left)
{
  Fixture *f = create ();
  script_server_add (&f->endpoints[0],
                     "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad",
                     SCRIPT_KEEP);
  register_endpoint (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, safe_request);
  run (f, 60);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 500 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "X-Seal: s\r\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n\r\nbad"));
  destroy (f);
}
END_TEST

START_TEST (a_rejection_is_told_with_a_time_to_return)
{
  Fixture *f = create ();
  all_answer (f, "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
              SCRIPT_KEEP);
  raw_client_send (&f->caller, once_request);
  run (f, 60);
  ck_assert_uint_eq (n_runs (f), 1);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "Retry-After: "));
  destroy (f);
}
END_TEST

/* Puts work on an endpoint, so that another one is chosen. */
static void
occupy (Fixture *f, const char *id)
{
  WlWorkNote note = { .work = 1, .endpoint = wl_fleet_key (id), .phase = WL_WORK_SENT };
  wl_load_note (f->load, 2, 1, &note, wl_clock_now_us ());
}

/*
 * An engine rejects a request because another one that was to help it does
 * not answer: the other one is left out of the next attempt, and gets no work
 * for a while when it had time enough to answer.
 */
static void
reject_for_another (Fixture *f, uint64_t held_us)
{
  char answer[160];
  snprintf (answer, sizeof answer,
            "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nX-Fault: %u\r\n"
            "Content-Length: 0\r\n\r\n",
            f->endpoints[1].port);
  script_server_add (&f->endpoints[0], answer, SCRIPT_KEEP);
  script_server_add (&f->endpoints[1], whole, SCRIPT_KEEP);
  register_endpoint (f, 0, f->endpoints[0].port);
  register_endpoint (f, 1, f->endpoints[1].port);
  occupy (f, "e1");
  uint64_t now_us = wl_clock_now_us ();
  wl_clock_set (now_us);
  raw_client_send (&f->caller, safe_request);
  for (int i = 0; i < 50 && f->endpoints[0].n_requests == 0; i++)
    wl_reactor_poll (f->reactor, 1000);
  wl_clock_set (now_us + held_us);
  for (int i = 0; i < 20; i++)
    {
      raw_client_receive (&f->caller);
      wl_reactor_poll (f->reactor, 1000);
      wl_tcp_flush (f->loop);
    }
  ck_assert_uint_eq (f->endpoints[0].n_requests, 1);
  ck_assert_uint_eq (f->endpoints[1].n_requests, 0);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
}

START_TEST (an_endpoint_named_in_a_rejection_is_left_out_of_the_next_attempt)
{
  Fixture *f = create ();
  reject_for_another (f, 0);
  ck_assert_int_eq (wl_fleet_is_usable (wl_fleet_find (f->fleet, "e1"), wl_clock_now_us ()), 1);
  wl_clock_set (0);
  destroy (f);
}
END_TEST

START_TEST (an_endpoint_that_stalled_others_gets_no_work_for_a_while)
{
  Fixture *f = create ();
  reject_for_another (f, 1500000);
  ck_assert_int_eq (wl_fleet_is_usable (wl_fleet_find (f->fleet, "e1"), wl_clock_now_us ()), 0);
  ck_assert_int_eq (wl_fleet_is_usable (wl_fleet_find (f->fleet, "e0"), wl_clock_now_us ()), 1);
  wl_clock_set (0);
  destroy (f);
}
END_TEST

START_TEST (an_endpoint_that_refuses_connections_costs_no_attempt)
{
  Fixture *f = create ();
  register_endpoint (f, 0, 1);
  script_server_add (&f->endpoints[1], whole, SCRIPT_KEEP);
  register_endpoint (f, 1, f->endpoints[1].port);
  for (int i = 0; i < 2; i++)
    {
      raw_client_send (&f->caller, once_request);
      run (f, 60);
    }
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  destroy (f);
}
END_TEST

START_TEST (a_broken_stream_goes_on_after_its_last_whole_event)
{
  static const char first[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: first\r\nTransfer-Encoding: chunked\r\n\r\n"
        "18\r\nid: 1\ndata: a\n\nid: 2\nda\r\n";
  static const char second[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: second\r\nTransfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
  Fixture *f = create ();
  script_server_add (&f->endpoints[0], first, SCRIPT_CLOSE);
  register_endpoint (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, stream_request);
  run (f, 4);
  script_server_add (&f->endpoints[1], second, SCRIPT_KEEP);
  register_endpoint (f, 1, f->endpoints[1].port);
  run (f, 100);
  ck_assert_ptr_nonnull (strstr (f->endpoints[1].seen, "X-Last: 1\r\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "X-Seal: first\r\n"));
  ck_assert_ptr_null (strstr (f->caller.answer, "second"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "id: 1\ndata: a\n\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "id: 2\ndata: b\n\n"));
  ck_assert_ptr_null (strstr (f->caller.answer, "id: 2\nda\r\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n0\r\n\r\n"));
  destroy (f);
}
END_TEST

START_TEST (a_silent_endpoint_is_left_only_for_another_one)
{
  static const char first[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: first\r\nTransfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 1\ndata: a\n\n\r\n";
  static const char second[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: second\r\nTransfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
  Fixture *f = create ();
  script_server_add (&f->endpoints[0], first, SCRIPT_KEEP);
  register_endpoint (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, stream_request);
  run (f, 1100);
  ck_assert_uint_eq (f->endpoints[0].n_closed, 0);
  ck_assert_int_eq (f->caller.is_closed, 0);
  script_server_add (&f->endpoints[1], second, SCRIPT_KEEP);
  register_endpoint (f, 1, f->endpoints[1].port);
  run (f, 300);
  ck_assert_uint_eq (f->endpoints[0].n_closed, 1);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "id: 2\ndata: b\n\n"));
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "\r\n0\r\n\r\n"));
  destroy (f);
}
END_TEST

static void
register_engine (Fixture *f, uint32_t i)
{
  WlEndpointRecord e = { .address = htonl (INADDR_LOOPBACK), .slots = 16, .born_ms = 1 };
  e.port = f->endpoints[i].port;
  snprintf (e.id, sizeof e.id, "engine-%u", i);
  strcpy (e.service, wl_sample_engines.name);
  strcpy (e.zone, "z");
  wl_fleet_take (f->fleet, &e, wl_clock_now_us ());
}

/* Lets everything that waits on the sockets happen while the clock stands still. */
static void
settle (Fixture *f)
{
  for (int i = 0; i < 40; i++)
    {
      wl_tcp_flush (f->loop);
      wl_reactor_poll (f->reactor, 1000);
      raw_client_receive (&f->caller);
    }
  wl_relay_tick (f->relay, wl_clock_now_us ());
  wl_tcp_flush (f->loop);
}

static uint32_t
n_seen (const Fixture *f, const char *text)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    for (const char *p = f->endpoints[i].seen; (p = strstr (p, text)) != NULL; p++)
      n++;
  return n;
}

/*
 * The engine that answers a prompt larger than its memory goes dark. What is
 * reserved for it at the other engine must be given back in a few seconds,
 * although its connection is never closed.
 */
START_TEST (memory_reserved_for_a_dead_engine_is_given_back)
{
  static const char held[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  Fixture *f = create ();
  uint64_t now_us = wl_clock_now_us ();
  wl_clock_set (now_us);
  register_engine (f, 0);
  register_engine (f, 1);
  occupy (f, "engine-1");
  for (int i = 0; i < 8; i++)
    script_server_add (&f->endpoints[1], held, SCRIPT_KEEP);
  raw_client_send (&f->caller, "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n"
                               "X-Prompt: 60000\r\nContent-Length: 0\r\n\r\n");
  settle (f);
  ck_assert_uint_eq (n_seen (f, "POST /reserve"), 1);
  ck_assert_uint_eq (f->endpoints[0].n_requests, 1); /* it answers nothing */
  ck_assert_uint_eq (n_seen (f, "POST /large/"), 1);
  ck_assert_uint_eq (n_seen (f, "POST /release"), 0);
  for (int i = 0; i < 3; i++)
    {
      wl_clock_set (now_us += 1200000);
      settle (f);
    }
  settle (f); /* the order is on its way */
  ck_assert_uint_eq (n_seen (f, "POST /release"), 1);
  wl_clock_set (0);
  destroy (f);
}
END_TEST

START_TEST (a_success_without_a_seal_is_not_passed_on)
{
  Fixture *f = create ();
  all_answer (f, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nno", SCRIPT_KEEP);
  raw_client_send (&f->caller, once_request);
  run (f, 60);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 502 "));
  ck_assert_ptr_null (strstr (f->caller.answer, "no\r\n"));
  destroy (f);
}
END_TEST

START_TEST (a_caller_that_leaves_has_its_endpoint_connection_closed)
{
  Fixture *f = create ();
  all_answer (f, NULL, SCRIPT_KEEP);
  raw_client_send (&f->caller, once_request);
  run (f, 40);
  ck_assert_uint_eq (n_runs (f), 1);
  raw_client_close (&f->caller);
  run (f, 40);
  ck_assert_uint_eq (wl_relay_active (f->relay), 0);
  ck_assert_uint_eq (f->n_ended, 1);
  uint32_t n_closed = 0;
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    n_closed += f->endpoints[i].n_closed;
  ck_assert_uint_eq (n_closed, 1);
  destroy (f);
}
END_TEST

START_TEST (a_request_ends_at_its_time_limit)
{
  Fixture *f = create ();
  all_answer (f, NULL, SCRIPT_KEEP);
  raw_client_send (&f->caller, once_request);
  run (f, 40);
  wl_relay_tick (f->relay, wl_clock_now_us () + 900000);
  run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 504 "));
  ck_assert_uint_eq (f->n_ended, 1);
  destroy (f);
}
END_TEST

START_TEST (just_after_its_start_a_node_keeps_requests_until_its_configuration_comes)
{
  Fixture *f = create ();
  all_answer (f, whole, SCRIPT_KEEP);
  wl_relay_set_routes (f->relay, NULL);
  raw_client_send (&f->caller, once_request);
  run (f, 30);
  ck_assert_uint_eq (f->caller.size, 0);
  wl_relay_set_routes (f->relay, make_routes ());
  run (f, 60);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "200 OK"));
  wl_relay_set_routes (f->relay, NULL);
  raw_client_send (&f->caller, once_request);
  run (f, 20);
  wl_relay_tick (f->relay, wl_clock_now_us () + 1000000);
  run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  destroy (f);
}
END_TEST

START_TEST (unknown_routes_and_keys_are_told_apart)
{
  Fixture *f = create ();
  all_answer (f, whole, SCRIPT_KEEP);
  raw_client_send (&f->caller, "GET /none HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 404 "));
  raw_client_send (&f->caller, "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Key: bad\r\n\r\n");
  run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 401 "));
  wl_relay_set_routes (f->relay, NULL);
  run (f, 700);
  raw_client_send (&f->caller, safe_request);
  run (f, 20);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, " 503 "));
  ck_assert_uint_eq (n_runs (f), 0);
  destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_request_and_its_answer_pass_byte_for_byte),
    WL_TEST (what_may_run_once_is_not_sent_again_after_a_break),
    WL_TEST (what_may_run_again_is_sent_once_more),
    WL_TEST (an_error_is_passed_on_when_no_other_endpoint_is_left),
    WL_TEST (a_rejection_is_told_with_a_time_to_return),
    WL_TEST (an_endpoint_named_in_a_rejection_is_left_out_of_the_next_attempt),
    WL_TEST (an_endpoint_that_stalled_others_gets_no_work_for_a_while),
    WL_TEST (an_endpoint_that_refuses_connections_costs_no_attempt),
    WL_TEST (a_broken_stream_goes_on_after_its_last_whole_event),
    WL_TEST (a_silent_endpoint_is_left_only_for_another_one),
    WL_TEST (memory_reserved_for_a_dead_engine_is_given_back),
    WL_TEST (a_success_without_a_seal_is_not_passed_on),
    WL_TEST (a_caller_that_leaves_has_its_endpoint_connection_closed),
    WL_TEST (a_request_ends_at_its_time_limit),
    WL_TEST (just_after_its_start_a_node_keeps_requests_until_its_configuration_comes),
    WL_TEST (unknown_routes_and_keys_are_told_apart),
  };
  apr_initialize ();
  return wl_test_run ("relay", tests, sizeof tests / sizeof tests[0]);
}
