#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <netinet/in.h>
#include "wl_clock.h"
#include "wl_relay_fixture.h"
#include "wl_sample_engine.h"
#include "wl_test.h"

enum
{
  IDLE_US = 30000000, /* the nodes are known for so long: retry budgets are full */
};

/* ---- a protocol of the test's own ---- */

static void
read_request (const WlHttpHead *head, WlRelayRequestInfo *out)
{
  const char *left_ms = wl_http_head_field (head, "X-Left");
  memset (out, 0, sizeof *out);
  out->id = wl_http_head_field (head, "X-Id");
  out->key = wl_http_head_field (head, "X-Key");
  out->has_remaining = left_ms != NULL;
  out->remaining_us = left_ms != NULL ? strtoull (left_ms, NULL, 10) * 1000 : 0;
  out->has_last_event = wl_http_head_field (head, "X-Last") != NULL;
  const char *prompt = wl_http_head_field (head, "X-Prompt");
  out->prompt = prompt != NULL ? (uint32_t)strtoul (prompt, NULL, 10) : 0;
  const char *parts = wl_http_head_field (head, "X-Parts");
  for (char *end; parts != NULL && *parts != '\0' && out->parts.n < WL_QUARANTINE_PARTS_MAX;
       parts = *end == ',' ? end + 1 : NULL)
    out->parts.ids[out->parts.n++] = strtoull (parts, &end, 16);
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
  snprintf (line, sizeof line, "X-Left: %lu\r\n", (unsigned long)f->remaining_ms);
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
read_answer (const WlHttpHead *head, WlRelayResponseInfo *out)
{
  memset (out, 0, sizeof *out);
  out->id = wl_http_head_field (head, "X-Id");
  out->was_not_run = wl_http_head_field (head, "X-Not-Run") != NULL;
  out->is_sealed = wl_http_head_field (head, "X-Seal") != NULL;
  const char *limit = wl_http_head_field (head, "X-Limit");
  if (limit != NULL)
    {
      out->limit_kind = limit[0] == '?' ? WL_RELAY_LIMIT_UNREADABLE : WL_RELAY_LIMIT_NAMED;
      out->limit_rate = strtoull (limit, NULL, 10);
    }
  const char *cold = wl_http_head_field (head, "X-Cold");
  out->cold_left_us = cold != NULL ? strtoull (cold, NULL, 10) * 1000 : 0;
  const char *port = wl_http_head_field (head, "X-Fault");
  if (port != NULL)
    {
      out->fault_address = htonl (INADDR_LOOPBACK);
      out->fault_port = (uint16_t)strtoul (port, NULL, 10);
    }
}

static void
write_order (const WlReservationCommand *order, WlBuffer *head, WlBuffer *body)
{
  (void)body;
  append (head, order->kind == WL_RESERVATION_RESERVE ? "POST /reserve" : "POST /release");
  append (head, " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
}

static void
tell (void *data, const WlWorkItem *note)
{
  RelayFixture *f = data;
  f->n_started += note->phase == WL_WORK_SENT;
  f->n_ended += note->phase == WL_WORK_ENDED;
}

static int
may_try_part (void *data, uint64_t part)
{
  const RelayFixture *f = data;
  (void)part;
  return f->may_try;
}

/* ---- fixture ---- */

WlRoutes *
relay_fixture_routes (void)
{
  WlRoutes *r = wl_routes_create ();
  const WlRoute *duplicate;
  r->services = apr_pcalloc (r->pool, 2 * sizeof *r->services);
  r->services[0].name = "s";
  r->services[1] = wl_sample_engines;
  r->services[1].engine.kv_tokens = RELAY_FIXTURE_MEMORY;
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
      route->abandon_gap_us = 2000000;
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
  large->abandon_gap_us = 10000000;
  large->gap_us = 1000000;
  large->targets[0].service = 1;
  r->customers = apr_pcalloc (r->pool, sizeof *r->customers);
  r->customers[0].name = "acme";
  r->n_customers = 1;
  apr_hash_set (r->keys, "k1", APR_HASH_KEY_STRING, &r->customers[0]);
  wl_routes_index (r, &duplicate);
  return r;
}

void
relay_fixture_register (RelayFixture *f, uint32_t i, uint16_t port)
{
  WlEndpointRecord e = { .address = htonl (INADDR_LOOPBACK), .port = port, .slots = 4 };
  snprintf (e.id, sizeof e.id, "e%u", i);
  strcpy (e.service, "s");
  strcpy (e.domain, "z");
  e.started_ms = 1;
  wl_fleet_apply (f->fleet, &e, wl_clock_now_us ());
}

WlRelayProtocol
relay_fixture_protocol (void)
{
  return (WlRelayProtocol){ read_request, is_own_field, write_fields, read_answer, write_order };
}

/* Endpoints are registered in z, and tests may move them to y. */
static const WlDomainRegion domains[] = { { "z", "north" }, { "y", "south" } };

RelayFixture *
relay_fixture_create (void)
{
  static RelayFixture f;
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
    .protocol = relay_fixture_protocol (),
    .domain = "z",
    .regions = { domains, sizeof domains / sizeof *domains, NULL, NULL },
    .node = 1,
    .boot_id = 1,
    .seed = 1,
    .retry_ratio = 0.2,
    .retry_slack = 100,
    .retry_window_us = 10000000,
    .cold_over = 1.0,
    .report_work = tell,
    .may_try_part = may_try_part,
    .data = &f,
  };
  f.relay = wl_relay_create (&options);
  uint64_t now_us = wl_clock_now_us ();
  wl_relay_share_budgets (f.relay, 1, now_us > IDLE_US ? now_us - IDLE_US : 1);
  wl_relay_set_routes (f.relay, relay_fixture_routes ());
  WlWebOptions web = {
    .address = htonl (INADDR_LOOPBACK),
    .limits = { 8192, 65536, 5000000, 5000000 },
    .handle = wl_relay_handle,
    .disconnected = wl_relay_disconnected,
    .drained = wl_relay_drained,
    .data = f.relay,
  };
  ck_assert_int_eq (wl_web_create (f.loop, &web, &f.web), WL_OK);
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    script_server_start (&f.endpoints[i], f.loop);
  raw_client_connect (&f.caller, wl_web_port (f.web));
  return &f;
}

/* Every endpoint answers its first request in this way, and is registered. */
void
relay_fixture_all_answer (RelayFixture *f, const char *bytes, ScriptThen then)
{
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    {
      script_server_add (&f->endpoints[i], bytes, then);
      relay_fixture_register (f, i, f->endpoints[i].port);
    }
}

void
relay_fixture_destroy (RelayFixture *f)
{
  raw_client_close (&f->caller);
  wl_web_destroy (f->web);
  wl_relay_destroy (f->relay);
  wl_fetch_client_destroy (f->client);
  wl_fleet_destroy (f->fleet);
  wl_load_destroy (f->load);
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    script_server_stop (&f->endpoints[i]);
  wl_tcp_loop_destroy (f->loop);
  wl_reactor_destroy (f->reactor);
}

void
relay_fixture_run (RelayFixture *f, int ms)
{
  for (int i = 0; i < ms; i += 2)
    {
      script_run (f->reactor, f->loop, 2000, NULL);
      wl_relay_tick (f->relay, wl_clock_now_us ());
      raw_client_receive (&f->caller);
    }
}

uint32_t
relay_fixture_n_runs (const RelayFixture *f)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    n += f->endpoints[i].n_requests;
  return n;
}

/* Puts work on an endpoint, so that another one is chosen. */
void
relay_fixture_occupy (RelayFixture *f, const char *id)
{
  WlWorkItem note = { .id = 1, .endpoint = wl_fleet_key (id), .phase = WL_WORK_SENT };
  wl_load_apply (f->load, 2, 1, &note, wl_clock_now_us ());
}

void
relay_fixture_register_engine (RelayFixture *f, uint32_t i)
{
  WlEndpointRecord e = { .address = htonl (INADDR_LOOPBACK), .slots = 16, .started_ms = 1 };
  e.port = f->endpoints[i].port;
  snprintf (e.id, sizeof e.id, "engine-%u", i);
  strcpy (e.service, wl_sample_engines.name);
  strcpy (e.domain, "z");
  wl_fleet_apply (f->fleet, &e, wl_clock_now_us ());
}

/* Lets everything that waits on the sockets happen while the clock stands still. */
void
relay_fixture_settle (RelayFixture *f)
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

uint32_t
relay_fixture_n_seen (const RelayFixture *f, const char *text)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    for (const char *p = f->endpoints[i].seen; (p = strstr (p, text)) != NULL; p++)
      n++;
  return n;
}
