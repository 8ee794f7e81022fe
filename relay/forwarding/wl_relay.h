#ifndef WL_RELAY_H
#define WL_RELAY_H

#include "wl_fetch.h"
#include "wl_metrics.h"
#include "wl_choice.h"
#include "wl_permits.h"
#include "wl_quarantine.h"
#include "wl_reservation.h"

/*
 * Forwards callers' requests to endpoints and the responses back. The relay
 * decides which endpoint a request is sent to, whether it is retried and when
 * it is refused. Bodies are forwarded unchanged. A WlRelayProtocol has the
 * names of the header fields.
 *
 * A non-idempotent request runs at most once: it is sent on a new connection,
 * and retried only when it is certain that it has not run. A broken stream
 * continues at another endpoint after its last complete event, if its route
 * allows that.
 */

typedef struct WlRelay WlRelay;

/**
 * struct WlRelayRequestInfo - values of a caller's header fields
 * @id: id of the caller's attempt, NULL when missing
 * @key: the customer's key, NULL when missing
 * @remaining_us: how long the caller waits for the response, if it says so; may be 0
 * @has_remaining: it says so
 * @prompt: prompt tokens, 0 for requests without a prompt
 * @output: limit of output tokens, 0 for none
 * @output_hint: the caller's estimate of output tokens, 0 when missing
 * @has_last_event: the caller has events of the stream and wants those after them
 * @parts: the parts of the prompt, without the last one
 *
 * The strings belong to the request's head.
 */
typedef struct
{
  const char *id;
  const char *key;
  uint64_t remaining_us;
  uint8_t has_remaining;
  uint32_t prompt;
  uint32_t output;
  uint32_t output_hint;
  uint8_t has_last_event;
  WlPromptParts parts;
} WlRelayRequestInfo;

/**
 * enum WlRelayLimitKind - what a response says of the endpoint's limit
 * @WL_RELAY_LIMIT_NONE: nothing: the endpoint has none
 * @WL_RELAY_LIMIT_NAMED: it names one
 * @WL_RELAY_LIMIT_UNREADABLE: something that is no rate; what is known remains
 */
typedef enum
{
  WL_RELAY_LIMIT_NONE,
  WL_RELAY_LIMIT_NAMED,
  WL_RELAY_LIMIT_UNREADABLE,
} WlRelayLimitKind;

/**
 * struct WlRelayResponseInfo - values of a response's header fields
 * @id: id of the attempt that the response belongs to, NULL when missing
 * @was_not_run: the endpoint states that it did not run the request
 * @is_sealed: the response has the seal field, which endpoints add to every
 *   response of their own; one without it must not reach the caller
 * @fault_address: IPv4 address, network byte order, of the endpoint that caused
 *   a rejection, for instance a helper; 0 when not named
 * @fault_port: its port, 0 when not named
 * @limit_kind: what it says of the endpoint's limit
 * @limit_rate: the limit in requests in 1,000 s from all nodes, WL_LIMIT_RATE_MAX at most, when
 *   named
 * @cold_left_us: how long the endpoint is still cold, 0 when it is warm or does not say
 */
typedef struct
{
  const char *id;
  uint8_t was_not_run;
  uint8_t is_sealed;
  uint32_t fault_address;
  uint16_t fault_port;
  WlRelayLimitKind limit_kind;
  uint64_t limit_rate;
  uint64_t cold_left_us;
} WlRelayResponseInfo;

/**
 * struct WlRelayHelper - an engine that prefills a part of a prompt for another one
 * @address: IPv4 address, network byte order
 * @port: its port
 * @reservation_id: id of the reservation there, NULL for none
 */
typedef struct
{
  uint32_t address;
  uint32_t port;
  const char *reservation_id;
} WlRelayHelper;

/**
 * struct WlRelayForward - values of the header fields that the relay adds to a request
 * @remaining_ms: how long the endpoint may take
 * @endpoint: id of the endpoint that the request is meant for
 * @customer: name of the customer, NULL for none
 * @last_event: id of the last event that the caller has received; NULL to forward the
 *   caller's own field
 * @urgency: scheduling priority at the engine, 0 (first) to 9
 * @has_urgency: whether @urgency is set
 * @helpers: engines that prefill parts of the prompt, @n_helpers of them
 */
typedef struct
{
  uint64_t remaining_ms;
  const char *endpoint;
  const char *customer;
  const char *last_event;
  uint32_t urgency;
  uint8_t has_urgency;
  WlRelayHelper helpers[WL_CHOICE_HELPERS_MAX];
  uint32_t n_helpers;
} WlRelayForward;

/**
 * struct WlRelayProtocol - reads and writes header fields
 * @read_request: reads the fields of a caller's request
 * @is_own_field: whether a caller's field is not forwarded, since the relay replaces
 *   or removes it
 * @write_fields: appends the fields that the relay adds to a request
 * @read_response: reads the fields of an endpoint's response
 * @write_reservation: writes a reservation command
 */
typedef struct
{
  void (*read_request) (const WlHttpHead *head, WlRelayRequestInfo *out);
  int (*is_own_field) (const char *name, const WlRelayForward *forward);
  void (*write_fields) (const WlRelayForward *forward, WlBuffer *out);
  void (*read_response) (const WlHttpHead *head, WlRelayResponseInfo *out);
  WlReservationCommandWriter write_reservation;
} WlRelayProtocol;

/**
 * struct WlRelayOptions - options of a relay
 * @client: HTTP client for endpoints
 * @fleet: known endpoints
 * @load: work in progress at the endpoints
 * @protocol: reads and writes header fields
 * @domain: failure domain of the node; the string must outlive the relay
 * @node: node id
 * @boot_id: random number of this process start
 * @seed: seed of random numbers
 * @retry_ratio: retry budget of a service as a share of its requests
 * @retry_slack: retries allowed beyond that in @retry_window_us, over all nodes
 * @retry_window_us: window of the retry budget
 * @regions: regions of the failure domains; the arrays and strings must outlive the relay
 * @cold_over: factor on the requests a second that a cold endpoint accepts from all nodes
 * @cold_slack: requests a second that it accepts beyond that
 * @report_work: reports a change of work to the other nodes
 * @report_ejection: reports to the other nodes that this one has ejected an endpoint; may be NULL
 * @may_try_part: whether this node runs the trials of a quarantined part, see wl_quarantine.h;
 *   NULL for never
 * @data: passed to the callbacks
 *
 * The objects are not owned and must outlive the relay.
 */
typedef struct
{
  WlFetchClient *client;
  WlFleet *fleet;
  WlLoad *load;
  WlRelayProtocol protocol;
  const char *domain;
  uint32_t node;
  uint64_t boot_id;
  uint64_t seed;
  double retry_ratio;
  double retry_slack;
  uint64_t retry_window_us;
  WlRegionMap regions;
  double cold_over;
  double cold_slack;
  void (*report_work) (void *data, const WlWorkItem *item);
  void (*report_ejection) (void *data, const WlEndpoint *endpoint);
  int (*may_try_part) (void *data, uint64_t part);
  void *data;
} WlRelayOptions;

/** wl_relay_create() - creates a relay without a configuration; @options are copied */
WlRelay *wl_relay_create (const WlRelayOptions *options);

/** wl_relay_destroy() - drops all requests and frees the relay; accepts NULL */
void wl_relay_destroy (WlRelay *relay);

/**
 * wl_relay_set_routes() - replaces the configuration
 * @relay: the relay
 * @routes: the configuration, NULL for none; the relay takes over the reference
 *
 * Requests in progress keep the configuration that they started with.
 */
void wl_relay_set_routes (WlRelay *relay, WlRoutes *routes);

/** wl_relay_routes() - the current configuration, NULL for none */
const WlRoutes *wl_relay_routes (const WlRelay *relay);

/** wl_relay_set_nodes() - sets the number of nodes that are alive, this one included */
void wl_relay_set_nodes (WlRelay *relay, uint32_t n_nodes);

/** wl_relay_set_load_partial() - sets whether the load of most nodes is unknown, after a start */
void wl_relay_set_load_partial (WlRelay *relay, int is_partial);

/**
 * wl_relay_share_budgets() - notes the nodes that share the retry budgets, see
 * wl_budget_nodes_note(); until the first call this node has no part of the slack
 */
void wl_relay_share_budgets (WlRelay *relay, uint32_t n_nodes, uint64_t now_us);

/** wl_relay_handle() - handles a caller's request; callback of the web server */
void wl_relay_handle (void *relay, WlWebRequest *web);

/** wl_relay_disconnected() - cancels a disconnected caller's request; callback of the web server */
void wl_relay_disconnected (void *relay, WlWebRequest *web);

/** wl_relay_drained() - resumes a paused response; callback of the web server */
void wl_relay_drained (void *relay, WlWebRequest *web);

/**
 * struct WlRelayStop - times of a node's stop, in monotonic time
 * @began_us: when the node began to stop
 * @moved_us: when callers use other nodes: by then, their cached addresses have expired
 * @close_us: when wl_relay_close() will be called at the latest
 */
typedef struct
{
  uint64_t began_us;
  uint64_t moved_us;
  uint64_t close_us;
} WlRelayStop;

/**
 * wl_relay_stop() - prepares for the exit of the node
 * @relay: the relay
 * @stop: when the node will exit
 *
 * From now on a request is sent to an endpoint only if its own limit, the caller's time
 * and the route's timeout, ends before @stop->close_us. Others are refused at once, as not
 * run; so is one that still waits at @stop->moved_us. One that an endpoint may have run is
 * tried again as at other times.
 */
void wl_relay_stop (WlRelay *relay, const WlRelayStop *stop);

/**
 * wl_relay_close() - ends all requests, because the node exits
 *
 * A request that has not run is refused, one without a response so far fails
 * with 504, and a response that has begun is broken off. Each of the last two is
 * logged. Requests that are read later are refused.
 */
void wl_relay_close (WlRelay *relay);

/** wl_relay_tick() - places waiting requests and applies time limits */
void wl_relay_tick (WlRelay *relay, uint64_t now_us);

/** wl_relay_quarantine() - quarantined parts and the evidence, owned by the relay; for reports */
WlQuarantine *wl_relay_quarantine (WlRelay *relay);

/** wl_relay_restore_parts() - wl_quarantine_restore(), with a log event for each quarantined part
 */
void wl_relay_restore_parts (WlRelay *relay, const WlPartReport *report, uint64_t unsaved_us,
                             uint64_t now_us);

/**
 * wl_relay_apply_part_report() - applies another node's evidence on parts
 * @relay: the relay
 * @node: the node, for the log
 * @report: its report
 * @now_us: monotonic time
 *
 * Ends the requests whose parts are now quarantined, unless they have output.
 */
void wl_relay_apply_part_report (WlRelay *relay, uint32_t node, const WlPartReport *report,
                                 uint64_t now_us);

/** wl_relay_limits() - limits of endpoints, owned by the relay; for reports and the issuer */
WlLimits *wl_relay_limits (WlRelay *relay);

/** wl_relay_permits() - asks for permits, owned by the relay; for their messages */
WlPermits *wl_relay_permits (WlRelay *relay);

/** wl_relay_apply_limit_report() - applies what another node, for the log @node, says of limits */
void wl_relay_apply_limit_report (WlRelay *relay, uint32_t node, const WlLimitReport *report,
                                  uint64_t now_us);

/**
 * wl_relay_domain_returned() - notes that the evacuation of a failure domain has ended
 * @relay: the relay
 * @domain: the failure domain
 * @now_us: monotonic time
 *
 * Its endpoints may have become cold shortly before.
 */
void wl_relay_domain_returned (WlRelay *relay, const char *domain, uint64_t now_us);

/**
 * wl_relay_note_nodes() - notes the other nodes, which share what may be sent to cold endpoints
 * @relay: the relay
 * @roster: the other nodes
 * @seeds: ids of nodes named by the settings, @n_seeds of them; they count until they are heard
 * @now_us: monotonic time
 */
void wl_relay_note_nodes (WlRelay *relay, const WlRoster *roster, const uint32_t *seeds,
                          uint32_t n_seeds, uint64_t now_us);

/** wl_relay_n_cold() - number of endpoints that are cold */
uint32_t wl_relay_n_cold (const WlRelay *relay);

/** wl_relay_n_known() - nodes that count for cold endpoints, 0 while no service has them */
uint32_t wl_relay_n_known (const WlRelay *relay);

/** wl_relay_expire_parts() - releases quarantined parts that have been unused for long */
void wl_relay_expire_parts (WlRelay *relay, uint64_t now_us);

/** wl_relay_active() - number of requests in progress */
uint32_t wl_relay_active (const WlRelay *relay);

/** wl_relay_metrics() - the relay's metrics; the owner of the event loop adds @loop_lag */
WlMetrics *wl_relay_metrics (WlRelay *relay);

#endif
