#ifndef WL_FLEET_H
#define WL_FLEET_H

#include <apr_hash.h>
#include "wl_roster.h"

/*
 * The endpoints that have registered at any node, and this node's own
 * observations of each. Registrations may arrive late, duplicated, reordered and
 * from several nodes; one is applied unless it is older than the recorded one of
 * the same id. An endpoint that drains or has left stays unusable until it
 * registers with a later start.
 */

enum
{
  WL_FLEET_ENDPOINTS_MAX = 4096, /* endpoints */
  WL_FLEET_TIMEOUT_US = 6000000, /* an endpoint without registration for so long gets no requests */
  WL_FLEET_OVERDUE_US = 2600000, /* two registrations missed: the endpoint may be dead */
  WL_FLEET_EXPIRY_US = 60000000, /* an endpoint without registration for so long is removed */
  WL_FLEET_EJECT_MIN_US
  = 400000, /* first ejection after failures; each further one is twice as long */
  WL_FLEET_EJECT_MAX_US = 4000000,      /* longest ejection */
  WL_FLEET_EJECT_FAILURES = 2,          /* consecutive failures that eject an endpoint */
  WL_FLEET_EJECT_ERRORS = 6,            /* likewise, when the last is an error response */
  WL_FLEET_SLOWDOWN_DECAY_US = 3000000, /* age at which half of a measured slowdown still counts */
  WL_FLEET_RECENT_SUCCESS_US = 300000, /* a success this recent outweighs another node's ejection */
  WL_FLEET_SLOTS_MAX = 65536,          /* requests processed at once; more are not plausible */
};

/* Start and sequence must be below these: 2100-01-01, and what every JSON writer can represent. */
#define WL_FLEET_STARTED_MAX_MS UINT64_C (4102444800000)
#define WL_FLEET_SEQUENCE_MAX (UINT64_C (1) << 53)

/**
 * struct WlColdShare - what this node may send to an endpoint while it is cold, see wl_warmup.h
 * @next_us: when the next request may be sent, 0 before the first one
 * @generation: generation of the nodes for which @is_sender was found
 * @n_requests: bound for which it was found
 * @is_sender: this node is one of its senders
 * @is_cold: it was cold when it was last looked at, for the log
 * @n_sent: requests sent to it since it became cold
 */
typedef struct
{
  uint64_t next_us;
  uint64_t generation;
  uint32_t n_requests;
  uint8_t is_sender;
  uint8_t is_cold;
  uint32_t n_sent;
} WlColdShare;

/**
 * struct WlEndpoint - one registered endpoint
 * @record: latest registration
 * @key: see wl_fleet_key()
 * @last_contact_us: when the latest registration arrived at the node that received it
 * @changed_us: when this node learnt of the latest change
 * @success_us: latest success of a request of this node
 * @failures: consecutive failures
 * @failure_rate: moving average of failures, 0 to 1
 * @ejected_until_us: end of the latest ejection; it gets no requests before
 * @eject_us: length of the latest ejection, 0 after a success
 * @slowdown: measured over predicted TTFT, moving average
 * @slowdown_us: when it was last measured
 * @direct_contact_us: latest registration that arrived here or at a node that forwards it here
 * @attested_by: relays that report it; bits are positions in WlView.sources
 * @current_at: of them, those to which it registers in time
 * @reported: what this node's reports say of it, by scope
 * @is_evacuated: its failure domain is evacuated: it gets no requests
 * @first_contact_us: when this node first heard of this start
 * @cold_until_us: end of its warm-up, if @says_cold
 * @returned_us: end of the evacuation of its failure domain, 0 once a later registration counts
 * @says_cold: a registration of this start, or a response, says how long it is cold
 * @became_cold: reports have to say so
 * @cold_share: what this node may send to it while it is cold
 */
typedef struct
{
  WlEndpointRecord record;
  uint64_t key;
  uint64_t last_contact_us;
  uint64_t changed_us;
  uint64_t success_us;
  uint32_t failures;
  double failure_rate;
  uint64_t ejected_until_us;
  uint64_t eject_us;
  double slowdown;
  uint64_t slowdown_us;
  uint64_t direct_contact_us;
  uint64_t attested_by;
  uint64_t current_at;
  WlReported reported[WL_REPORT_INTRODUCTION];
  uint8_t is_evacuated;
  uint64_t first_contact_us;
  uint64_t cold_until_us;
  uint64_t returned_us;
  uint8_t says_cold;
  uint8_t became_cold;
  WlColdShare cold_share;
} WlEndpoint;

/**
 * struct WlFleet - all endpoints
 * @endpoints: the endpoints, @n_endpoints of them; a removal changes their order
 * @evacuated: names of evacuated failure domains, @n_evacuated of them, on the heap
 * @reports_cold: an endpoint that becomes cold is a change; set while a service has such endpoints
 */
typedef struct
{
  WlEndpoint *endpoints;
  uint32_t n_endpoints;
  char (*evacuated)[WL_LABEL_SIZE];
  uint32_t n_evacuated;
  uint8_t reports_cold;
} WlFleet;

/** wl_fleet_create() - creates an empty fleet */
WlFleet *wl_fleet_create (void);

/** wl_fleet_destroy() - frees a fleet; accepts NULL */
void wl_fleet_destroy (WlFleet *fleet);

/** wl_fleet_key() - hash of an endpoint's id that stands for it in messages between nodes */
uint64_t wl_fleet_key (const char *id);

/**
 * wl_fleet_is_valid() - whether a registration can name an endpoint to use
 * @record: the registration
 *
 * Checks the limits above, that the port is 1 to 65535, and that no text has
 * control characters, or spaces in the id: the id is sent in a header field and
 * all texts are logged.
 *
 * Return: 1 or 0.
 */
int wl_fleet_is_valid (const WlEndpointRecord *record);

/**
 * wl_fleet_apply() - applies a registration
 * @fleet: the fleet
 * @record: the registration
 * @now_us: monotonic time
 *
 * Return: 1 when the endpoint is new or changed in more than its time of
 * contact; 2 when it only became cold; 0 when not; -1 when the registration is invalid or
 * outdated or the fleet is full.
 */
int wl_fleet_apply (WlFleet *fleet, const WlEndpointRecord *record, uint64_t now_us);

/** wl_fleet_find() - endpoint by id, owned by the fleet; NULL when unknown */
WlEndpoint *wl_fleet_find (WlFleet *fleet, const char *id);

/** wl_fleet_find_key() - endpoint by key, NULL when unknown */
WlEndpoint *wl_fleet_find_key (WlFleet *fleet, uint64_t key);

/** wl_fleet_find_address() - endpoint at an address that has not left, NULL when unknown */
WlEndpoint *wl_fleet_find_address (WlFleet *fleet, uint32_t address, uint32_t port);

/** wl_fleet_is_usable() - whether an endpoint may get requests now */
int wl_fleet_is_usable (const WlEndpoint *endpoint, uint64_t now_us);

/** wl_fleet_is_withheld() - whether only the evacuation of its domain makes it unusable */
int wl_fleet_is_withheld (const WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_fleet_set_evacuated() - replaces the list of evacuated failure domains
 * @fleet: the fleet
 * @names: the failure domains; copied
 * @n: number of them
 *
 * Endpoints of these domains are not usable, also those that register later.
 */
void wl_fleet_set_evacuated (WlFleet *fleet, const char (*names)[WL_LABEL_SIZE], uint32_t n);

/** wl_fleet_note_success() - records that an endpoint answered a request */
void wl_fleet_note_success (WlEndpoint *endpoint, uint64_t now_us);

/** wl_fleet_is_overdue() - whether an endpoint has missed two registrations */
int wl_fleet_is_overdue (const WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_fleet_note_remote_ejection() - records that another node has ejected an endpoint
 * @endpoint: the endpoint
 * @eject_us: for how long
 * @now_us: monotonic time
 *
 * Return: 1 when this node ejects it as well, since no request of its own
 * succeeded there within WL_FLEET_RECENT_SUCCESS_US.
 */
int wl_fleet_note_remote_ejection (WlEndpoint *endpoint, uint64_t eject_us, uint64_t now_us);

/**
 * wl_fleet_defer_timeouts() - keeps endpoints from timing out
 *
 * For a node without contact to any other: registrations can't reach it, so
 * missing ones are no evidence.
 */
void wl_fleet_defer_timeouts (WlFleet *fleet, uint64_t now_us);

/**
 * enum WlFailure - evidence against an endpoint
 * @WL_FAILURE_ERROR: it answered with an error, which the request may have caused
 * @WL_FAILURE_LOST: the connection broke, stalled or was not established in time
 * @WL_FAILURE_REFUSED: it refused the connection: no process listens there
 */
typedef enum
{
  WL_FAILURE_ERROR,
  WL_FAILURE_LOST,
  WL_FAILURE_REFUSED,
} WlFailure;

/**
 * wl_fleet_note_failure() - records that a request failed at an endpoint
 * @endpoint: the endpoint
 * @failure: the evidence
 * @now_us: monotonic time
 *
 * Return: 1 when this ejects the endpoint.
 */
int wl_fleet_note_failure (WlEndpoint *endpoint, WlFailure failure, uint64_t now_us);

/** wl_fleet_note_slowdown() - records a TTFT of @ratio times the prediction, seen by any node */
void wl_fleet_note_slowdown (WlEndpoint *endpoint, double ratio, uint64_t now_us);

/** wl_fleet_slowdown() - measured over predicted TTFT; returns to 1 without new measurements */
double wl_fleet_slowdown (const WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_fleet_cold_until_us() - end of an endpoint's warm-up, which may be in the past
 * @endpoint: the endpoint
 * @cold_start_us: warm-up after a start that is assumed of an endpoint that does not say
 */
uint64_t wl_fleet_cold_until_us (const WlEndpoint *endpoint, uint64_t cold_start_us);

/** wl_fleet_cold_left_ms() - what a record that is sent on now says of the warm-up */
uint32_t wl_fleet_cold_left_ms (const WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_fleet_note_cold() - records that a response says how long its endpoint is still cold
 *
 * It can only prolong the warm-up: a response may be older than the latest registration.
 */
void wl_fleet_note_cold (WlEndpoint *endpoint, uint64_t left_us, uint64_t now_us);

/** wl_fleet_note_returned() - the endpoint counts as cold until it registers again */
void wl_fleet_note_returned (WlEndpoint *endpoint, uint64_t now_us);

/** wl_fleet_note_replaced() - marks an endpoint as left: another one answers at its address */
void wl_fleet_note_replaced (WlEndpoint *endpoint);

/** wl_fleet_expire() - removes endpoints without registration for WL_FLEET_EXPIRY_US */
void wl_fleet_expire (WlFleet *fleet, uint64_t now_us);

#endif
