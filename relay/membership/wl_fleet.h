#ifndef WL_FLEET_H
#define WL_FLEET_H

#include <apr_hash.h>
#include "wl_roster.h"

/*
 * The endpoints that have registered at any node, and what this node has
 * experienced with each. Registrations may arrive late, twice, out of order
 * and from several nodes: one is taken when it is later than what is known of
 * the same id. An endpoint that is leaving never becomes usable again under
 * the same start.
 */

enum
{
  WL_FLEET_ENDPOINTS_MAX = 4096,   /* endpoints */
  WL_FLEET_SILENCE_US = 6000000,   /* an endpoint silent for this long gets no work */
  WL_FLEET_OVERDUE_US = 2600000,   /* two registrations missed: a silent endpoint may be dead */
  WL_FLEET_EXPIRY_US = 60000000,   /* a silent or gone endpoint is forgotten */
  WL_FLEET_EJECT_MIN_US = 400000,  /* first ejection after failures */
  WL_FLEET_EJECT_MAX_US = 4000000, /* longest ejection */
  WL_FLEET_EJECT_FAILURES = 2,     /* failures in a row before an ejection */
  WL_FLEET_EJECT_ERRORS = 6,       /* likewise, when the latest is an error in an answer */
  WL_FLEET_SLOWDOWN_DECAY_US = 3000000, /* time in which half of a learnt pace is forgotten */
  WL_FLEET_RECENT_SUCCESS_US = 300000,  /* own experience that outweighs another node's suspicion */
};

/**
 * struct WlEndpoint - one registered endpoint
 * @record: latest registration
 * @key: see wl_fleet_key()
 * @heard_us: when the latest registration arrived at the node that took it
 * @changed_us: when this node learnt of the latest change
 * @success_us: latest success at this node
 * @failures: failures in a row
 * @failure_rate: moving average of failures, 0 to 1
 * @ejected_until_us: gets no work before
 * @eject_us: length of the latest ejection
 * @slowdown: actual over predicted time to the first output, moving average
 * @slowdown_us: when it was last learnt
 * @direct_contact_us: when a registration last arrived here or at a node that reports here
 * @attested_by: relays that have told of it, a bit a source of the view
 * @current_at: of them, those to which it registers in time
 * @reported: what reports say of it, by scope
 */
typedef struct
{
  WlEndpointRecord record;
  uint64_t key;
  uint64_t heard_us;
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
} WlEndpoint;

/**
 * struct WlFleet - all endpoints
 * @endpoints: the endpoints, @n_endpoints of them; order changes on removal
 */
typedef struct
{
  WlEndpoint *endpoints;
  uint32_t n_endpoints;
} WlFleet;

/** wl_fleet_create() - creates an empty fleet */
WlFleet *wl_fleet_create (void);

/** wl_fleet_destroy() - frees a fleet; accepts NULL */
void wl_fleet_destroy (WlFleet *fleet);

/** wl_fleet_key() - short key of an endpoint for messages between nodes */
uint64_t wl_fleet_key (const char *id);

/**
 * wl_fleet_take() - takes a registration
 * @fleet: the fleet
 * @record: the registration
 * @now_us: monotonic time
 *
 * Return: 1 when it changed what is known, apart from the time heard; 0 when
 * it did not; -1 when it is older than what is known.
 */
int wl_fleet_take (WlFleet *fleet, const WlEndpointRecord *record, uint64_t now_us);

/** wl_fleet_find() - endpoint by id, NULL when unknown */
WlEndpoint *wl_fleet_find (WlFleet *fleet, const char *id);

/** wl_fleet_find_key() - endpoint by key, NULL when unknown */
WlEndpoint *wl_fleet_find_key (WlFleet *fleet, uint64_t key);

/** wl_fleet_find_address() - endpoint at an address that was not replaced, NULL when unknown */
WlEndpoint *wl_fleet_find_address (WlFleet *fleet, uint32_t address, uint32_t port);

/** wl_fleet_is_usable() - whether an endpoint may get work now */
int wl_fleet_is_usable (const WlEndpoint *endpoint, uint64_t now_us);

/** wl_fleet_note_success() - an endpoint answered a request */
void wl_fleet_note_success (WlEndpoint *endpoint, uint64_t now_us);

/** wl_fleet_is_doubtful() - whether an endpoint has missed registrations */
int wl_fleet_is_doubtful (const WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_fleet_note_suspicion() - another node has ejected an endpoint
 * @endpoint: the endpoint
 * @eject_us: for how long
 * @now_us: monotonic time
 *
 * Return: 1 when this node ejects it as well: it has no success of its own
 * within WL_FLEET_RECENT_SUCCESS_US.
 */
int wl_fleet_note_suspicion (WlEndpoint *endpoint, uint64_t eject_us, uint64_t now_us);

/** wl_fleet_keep() - no registration can reach this node: silence says nothing about endpoints */
void wl_fleet_keep (WlFleet *fleet, uint64_t now_us);

/**
 * enum WlFailure - evidence against an endpoint
 * @WL_FAILURE_ERROR: it answered with an error, which may be the request's own
 * @WL_FAILURE_LOST: it broke off, paused for too long or could not be connected to in time
 * @WL_FAILURE_REFUSED: it refused the connection: nobody is there
 */
typedef enum
{
  WL_FAILURE_ERROR,
  WL_FAILURE_LOST,
  WL_FAILURE_REFUSED,
} WlFailure;

/**
 * wl_fleet_note_failure() - an endpoint failed a request
 * @endpoint: the endpoint
 * @failure: the evidence
 * @now_us: monotonic time
 *
 * Return: 1 when the endpoint is ejected by it.
 */
int wl_fleet_note_failure (WlEndpoint *endpoint, WlFailure failure, uint64_t now_us);

/** wl_fleet_note_slowdown() - a first output came after @ratio times the predicted time, at any
 * node */
void wl_fleet_note_slowdown (WlEndpoint *endpoint, double ratio, uint64_t now_us);

/** wl_fleet_slowdown() - factor by which an endpoint is slower than predicted; goes back to 1 with
 * time
 */
double wl_fleet_slowdown (const WlEndpoint *endpoint, uint64_t now_us);

/** wl_fleet_note_replaced() - another endpoint answers at the address: the record is void */
void wl_fleet_note_replaced (WlEndpoint *endpoint);

/** wl_fleet_expire() - forgets endpoints that are gone or silent for long */
void wl_fleet_expire (WlFleet *fleet, uint64_t now_us);

#endif
