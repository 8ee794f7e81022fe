#ifndef WL_PERMITS_H
#define WL_PERMITS_H

#include "wl_limits.h"

/*
 * Permits for requests to endpoints with a limit. One node, the issuer of a
 * service, holds the token buckets of its limited endpoints. A node that has a
 * request for which no other endpoint will do asks it, and sends the request
 * with the permit that it gets; it never sends one without. So a limit is kept
 * by the fleet, and what it allows goes to the nodes with requests.
 *
 * Two parts without I/O: WlPermits asks, WlIssuer issues. The host carries
 * their messages.
 */

enum
{
  WL_PERMIT_LIFETIME_US = 1000000, /* from its issue at the latest, see wl_permits_state() */
  WL_PERMIT_ANSWER_US = 300000,    /* beyond max_wait; without an answer an ask is denied */
  WL_PERMIT_ASKS_MAX = 64,         /* in progress at one node */
  WL_PERMIT_ASK_RATE = 20,         /* asks of one node a second */
  WL_ISSUER_QUEUE_MAX = 256,       /* asks that wait at an issuer, of all its services */
  WL_ISSUER_CUSTOMERS_MAX = 64,    /* customers whose share is remembered, of all its services */
  WL_ISSUER_QUIET_US = 1500000,    /* a new issuer issues nothing for so long */
  WL_ISSUER_RATE_MIN = 200,        /* requests in 1,000 s that test a limit near 0 */
};

/**
 * enum WlPermitState - state of an ask
 * @WL_PERMIT_PENDING: not answered
 * @WL_PERMIT_GRANTED: one request may be sent to the endpoint
 * @WL_PERMIT_DENIED: no permit in time; try again after retry_after_us
 */
typedef enum
{
  WL_PERMIT_PENDING,
  WL_PERMIT_GRANTED,
  WL_PERMIT_DENIED,
} WlPermitState;

/**
 * struct WlPermit - answer to an ask
 * @state: its state
 * @endpoint: key of the endpoint, when granted
 * @retry_after_us: expected time until a permit, when denied
 */
typedef struct
{
  WlPermitState state;
  uint64_t endpoint;
  uint64_t retry_after_us;
} WlPermit;

/** wl_permits_service() - hash of a service's name that stands for it in asks */
uint64_t wl_permits_service (const char *name);

typedef struct WlPermits WlPermits;

/** wl_permits_create() - @seed makes the ids of asks differ between starts of a node */
WlPermits *wl_permits_create (uint64_t seed);

/** wl_permits_destroy() - frees it; accepts NULL */
void wl_permits_destroy (WlPermits *permits);

/**
 * wl_permits_ask() - asks for a permit
 * @permits: the asks of this node
 * @ask: the ask; its id is set here
 * @now_us: monotonic time
 * @out: receives the state of an ask that is denied here, without a message: one of the
 *   same service and customer was denied just now, or too many are in progress
 *
 * Return: id of the ask, 0 when it is denied.
 */
uint64_t wl_permits_ask (WlPermits *permits, const WlPermitAsk *ask, uint64_t now_us,
                         WlPermit *out);

/** wl_permits_answer() - applies an issuer's answer; a permit that comes too late is returned */
void wl_permits_answer (WlPermits *permits, const WlPermitAnswer *answer, uint64_t now_us);

/**
 * wl_permits_state() - state of an ask; without an answer in time it is denied
 *
 * A permit is valid for WL_PERMIT_LIFETIME_US from the time of the ask plus the time
 * that the ask waited at the issuer, which is not after its issue. So neither a slow
 * message nor a freeze of the node makes it last longer. One that is no longer valid is
 * denied. A request is sent only when this has returned WL_PERMIT_GRANTED for the same
 * @now_us. The ask is then ended by wl_permits_use(), and a denied one by wl_permits_drop().
 */
WlPermit wl_permits_state (WlPermits *permits, uint64_t id, uint64_t now_us);

/** wl_permits_use() - ends an ask whose permit was used for a request that is sent now */
void wl_permits_use (WlPermits *permits, uint64_t id);

/** wl_permits_drop() - ends an ask whose request needs no permit any more; one granted is returned
 */
void wl_permits_drop (WlPermits *permits, uint64_t id, uint64_t now_us);

/** wl_permits_take_ask() - takes the next ask to be sent to the issuer of its service; 0 for none
 */
int wl_permits_take_ask (WlPermits *permits, WlPermitAsk *out);

/** wl_permits_take_return() - takes the next permit to be returned to its issuer; 0 for none */
int wl_permits_take_return (WlPermits *permits, WlPermitReturn *out);

typedef struct WlIssuer WlIssuer;

/** wl_issuer_create() - creates an issuer without asks */
WlIssuer *wl_issuer_create (WlLimits *limits, WlFleet *fleet);

/** wl_issuer_destroy() - frees it; accepts NULL */
void wl_issuer_destroy (WlIssuer *issuer);

/**
 * wl_issuer_ask() - takes an ask of a node, which may be this one
 * @issuer: the issuer
 * @node: the node that asks
 * @ask: the ask
 * @is_own_service: by this node's view it is the issuer of the service
 * @now_us: monotonic time
 *
 * The ask is answered by wl_issuer_take_answer(): at once when a permit is
 * available, or when none is to be expected within its max_wait_us; else it
 * waits. Those that wait are served by customer, the one with the fewest recent
 * permits first; a full queue drops the latest ask of the customer with the most.
 */
void wl_issuer_ask (WlIssuer *issuer, uint32_t node, const WlPermitAsk *ask, int is_own_service,
                    uint64_t now_us);

/** wl_issuer_return() - takes back a permit that was not used */
void wl_issuer_return (WlIssuer *issuer, const WlPermitReturn *permit, uint64_t now_us);

/**
 * wl_issuer_set_own() - tells whether this node is the issuer of a service, by its view
 *
 * Called before asks of the service are taken, and at each slow tick. From the first time, and
 * from a pause of this node that other nodes may have noticed, nothing is issued for
 * WL_ISSUER_QUIET_US: the previous issuer's permits may still be used. A node that was
 * without contact to all others tells 0 before it tells 1 again when it has met one.
 */
void wl_issuer_set_own (WlIssuer *issuer, uint64_t service, int is_own, uint64_t now_us);

/**
 * wl_issuer_tick() - answers asks that can be answered now
 *
 * Called at least every 200 ms: a longer gap between calls counts as a pause of the node.
 */
void wl_issuer_tick (WlIssuer *issuer, uint64_t now_us);

/** wl_issuer_take_answer() - takes the next answer and the node to send it to; 0 for none */
int wl_issuer_take_answer (WlIssuer *issuer, uint32_t *node, WlPermitAnswer *out);

#endif
