#ifndef WL_RELAY_H
#define WL_RELAY_H

#include "wl_fetch.h"
#include "wl_metrics.h"
#include "wl_choice.h"
#include "wl_reservation.h"

/*
 * Forwards callers' requests to endpoints, byte for byte, and whole answers
 * back. What happens to a request is decided here: which endpoint, whether it
 * may be sent again, when it is refused. Names of header fields come from a
 * WlRelayProtocol.
 *
 * A request that may run once is sent once, on a new connection, and again
 * only after a proof that it did not run. A stream that breaks goes on at
 * another endpoint after its last complete event, where its route allows.
 */

typedef struct WlRelay WlRelay;

/**
 * struct WlRelayRequestInfo - what a caller's header fields say
 * @id: id of the caller's attempt, NULL when missing
 * @key: the caller's key, NULL when missing
 * @left_us: how long the caller waits, 0 when missing
 * @prompt: prompt tokens, 0 for plain requests
 * @output: largest output in tokens
 * @output_hint: the caller's estimate of the output, 0 when missing
 */
typedef struct
{
  const char *id;
  const char *key;
  uint64_t left_us;
  uint32_t prompt;
  uint32_t output;
  uint32_t output_hint;
} WlRelayRequestInfo;

/**
 * struct WlRelayAnswerInfo - what an endpoint's header fields say
 * @id: id of the attempt that it answers, NULL when missing
 * @is_not_run: the endpoint states that it did not run the request
 * @is_sealed: the answer carries the endpoint's seal
 * @fault_address: IPv4 number, network byte order, of the endpoint that is the
 *   cause of a rejection, which may be one that was to help; 0 when not named
 * @fault_port: its port
 */
typedef struct
{
  const char *id;
  uint8_t is_not_run;
  uint8_t is_sealed;
  uint32_t fault_address;
  uint16_t fault_port;
} WlRelayAnswerInfo;

/** struct WlRelayHelper - an engine that reads a part of a prompt */
typedef struct
{
  uint32_t address;
  uint32_t port;
  const char *ticket; /* reserved memory there, NULL for none */
} WlRelayHelper;

/**
 * struct WlRelayForward - what the relay adds to a request
 * @left_ms: how long the endpoint may take
 * @endpoint: id of the endpoint that must answer
 * @customer: name of the customer, NULL for none
 * @last_event: id of the last event that the caller has, NULL to pass the caller's own
 * @urgency: 0 (first) to 9
 * @has_urgency: whether @urgency is set
 * @helpers: engines that read parts, @n_helpers of them
 */
typedef struct
{
  uint64_t left_ms;
  const char *endpoint;
  const char *customer;
  const char *last_event;
  uint32_t urgency;
  uint8_t has_urgency;
  WlRelayHelper helpers[WL_CHOICE_HELPERS_MAX];
  uint32_t n_helpers;
} WlRelayForward;

/**
 * struct WlRelayProtocol - names of header fields
 * @read_request: reads a caller's fields
 * @is_own_field: whether the relay sets a field itself or keeps it from the endpoint
 * @write_fields: appends the fields that the relay adds
 * @read_answer: reads an endpoint's fields
 * @write_order: writes an order on reserved memory
 */
typedef struct
{
  void (*read_request) (const WlHttpHead *head, WlRelayRequestInfo *out);
  int (*is_own_field) (const char *name, const WlRelayForward *forward);
  void (*write_fields) (const WlRelayForward *forward, WlBuffer *out);
  void (*read_answer) (const WlHttpHead *head, WlRelayAnswerInfo *out);
  WlOrderWriter write_order;
} WlRelayProtocol;

/**
 * struct WlRelayOptions - surroundings of a relay
 * @client: client for endpoints
 * @fleet: endpoints
 * @load: work in progress
 * @protocol: names of header fields
 * @zone: failure domain of the node
 * @node: node id
 * @boot: boot of the node
 * @seed: seed of random numbers
 * @retry_ratio: share of requests that may be sent again, by service
 * @retry_slack: repeats allowed beyond that in @retry_window_us, over all nodes
 * @retry_window_us: window of the two
 * @tell: passes a note on work to the other nodes
 * @suspect: tells the other nodes that an endpoint is ejected here; may be NULL
 * @data: passed to the two
 */
typedef struct
{
  WlFetchClient *client;
  WlFleet *fleet;
  WlLoad *load;
  WlRelayProtocol protocol;
  const char *zone;
  uint32_t node;
  uint64_t boot;
  uint64_t seed;
  double retry_ratio;
  double retry_slack;
  uint64_t retry_window_us;
  void (*tell) (void *data, const WlWorkNote *note);
  void (*suspect) (void *data, const WlEndpoint *endpoint);
  void *data;
} WlRelayOptions;

/** wl_relay_create() - creates a relay without a configuration */
WlRelay *wl_relay_create (const WlRelayOptions *options);

/** wl_relay_destroy() - ends all requests; accepts NULL */
void wl_relay_destroy (WlRelay *relay);

/**
 * wl_relay_set_routes() - puts a configuration in force
 * @relay: the relay
 * @routes: the configuration; owned by the relay from now on
 *
 * Requests in progress end under the configuration that they began with.
 */
void wl_relay_set_routes (WlRelay *relay, WlRoutes *routes);

/** wl_relay_routes() - the configuration in force, NULL for none */
const WlRoutes *wl_relay_routes (const WlRelay *relay);

/** wl_relay_set_nodes() - tells how many nodes share the budget of repeats */
void wl_relay_set_nodes (WlRelay *relay, uint32_t n_nodes);

/** wl_relay_handle() - takes a caller's request; for WlWebOptions.handle */
void wl_relay_handle (void *relay, WlWebRequest *web);

/** wl_relay_gone() - the caller closed its connection; for WlWebOptions.gone */
void wl_relay_gone (void *relay, WlWebRequest *web);

/** wl_relay_drained() - the caller takes more of its answer; for WlWebOptions.drained */
void wl_relay_drained (void *relay, WlWebRequest *web);

/** wl_relay_tick() - places waiting requests, applies time limits */
void wl_relay_tick (WlRelay *relay, uint64_t now_us);

/** wl_relay_active() - number of requests in progress */
uint32_t wl_relay_active (const WlRelay *relay);

/** wl_relay_metrics() - what the relay has counted; the owner of the event loop adds its lag */
WlMetrics *wl_relay_metrics (WlRelay *relay);

#endif
