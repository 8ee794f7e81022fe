#ifndef WL_RELAY_FIXTURE_H
#define WL_RELAY_FIXTURE_H

#include "wl_raw_client.h"
#include "wl_relay.h"
#include "wl_script_server.h"

/*
 * A relay with one caller before it and scripted endpoints behind it, speaking
 * a protocol of its own, for tests of the relay.
 */

enum
{
  RELAY_FIXTURE_ENDPOINTS = 3,
  RELAY_FIXTURE_MEMORY = 40000, /* tokens, of each endpoint on the route of large prompts */
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
  ScriptServer endpoints[RELAY_FIXTURE_ENDPOINTS];
  RawClient caller;
  uint32_t n_started;
  uint32_t n_ended;
  int may_try; /* whether this node runs the trials of quarantined parts */
} RelayFixture;

/* Requests of the caller, one a route, and an answer. */

#define RELAY_ONCE_REQUEST                                                                         \
  "POST /once/x%2f?a=%20 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 900\r\n"           \
  "X-Customer: mallory\r\nX-Other: kept\r\nContent-Length: 4\r\n\r\nbody"
#define RELAY_SAFE_REQUEST "GET /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n\r\n"
#define RELAY_STREAM_REQUEST                                                                       \
  "POST /stream/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n"
#define RELAY_WHOLE "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 2\r\n\r\nok"

/** relay_fixture_create() - starts everything; no endpoint is registered yet */
RelayFixture *relay_fixture_create (void);

/** relay_fixture_destroy() - ends everything */
void relay_fixture_destroy (RelayFixture *f);

/** relay_fixture_routes() - the routes: /safe/, /once/, /stream/, and /large/ on engines */
WlRoutes *relay_fixture_routes (void);

/** relay_fixture_register() - registers an endpoint as eN, at a port */
void relay_fixture_register (RelayFixture *f, uint32_t i, uint16_t port);

/** relay_fixture_register_engine() - registers an endpoint as engine-N */
void relay_fixture_register_engine (RelayFixture *f, uint32_t i);

/** relay_fixture_all_answer() - every endpoint answers its first request so, and is registered */
void relay_fixture_all_answer (RelayFixture *f, const char *bytes, ScriptThen then);

/** relay_fixture_occupy() - puts work on an endpoint, so that another one is chosen */
void relay_fixture_occupy (RelayFixture *f, const char *id);

/** relay_fixture_run() - runs for a time */
void relay_fixture_run (RelayFixture *f, int ms);

/** relay_fixture_settle() - lets what waits on the sockets happen while the clock stands still */
void relay_fixture_settle (RelayFixture *f);

/** relay_fixture_n_runs() - requests that reached endpoints */
uint32_t relay_fixture_n_runs (const RelayFixture *f);

/** relay_fixture_n_seen() - how often a text arrived at endpoints */
uint32_t relay_fixture_n_seen (const RelayFixture *f, const char *text);

#endif
