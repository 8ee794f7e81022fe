#ifndef WL_LIMITS_H
#define WL_LIMITS_H

#include "wl_fleet.h"
#include "wl_message.h"

/*
 * The rates that endpoints accept from all nodes together, as far as this node
 * knows. An endpoint in need names its limit in each of its responses, and takes
 * it back by a response without one. Nodes report what they see to each other;
 * reports may be late, lost, doubled and reordered. Who may send to an endpoint
 * with a limit: wl_permits.h. docs/design/limits.md has the reasons.
 *
 * No I/O; the time is an argument.
 */

enum
{
  WL_LIMITS_MAX = WL_FLEET_ENDPOINTS_MAX, /* endpoints with a limit */
  WL_LIMITS_REPORT_MAX = 256,             /* words in one report */
  WL_LIMIT_RATE_MAX = 1000000000,         /* requests in 1,000 s; more counts as this */
  WL_LIMIT_ORDER_MARGIN_US = 500000,      /* delay of a report that may reorder words */
  WL_PERMIT_REFRESH_US = 2000000,    /* word of a limit older than this is renewed by a request */
  WL_LIMIT_ENDED_KEPT_US = 30000000, /* how long the end of a limit is remembered */
};

/**
 * struct WlLimit - what is known of the limit of one endpoint
 * @endpoint: key of the endpoint
 * @started_ms: start of the endpoint whose responses named it
 * @rate: requests that it accepts in 1,000 s
 * @has_ended: a later response had no limit
 * @sent_us: when the request was sent whose response is the latest one known
 * @heard_us: when a response that named the limit, or ended it, last arrived at any node
 */
typedef struct
{
  uint64_t endpoint;
  uint64_t started_ms;
  uint64_t rate;
  uint8_t has_ended;
  uint64_t sent_us;
  uint64_t heard_us;
} WlLimit;

typedef struct WlLimits WlLimits;

/** wl_limits_create() - creates an empty table */
WlLimits *wl_limits_create (void);

/** wl_limits_destroy() - frees a table; accepts NULL */
void wl_limits_destroy (WlLimits *limits);

/**
 * wl_limits_note_response() - records what a response to this node says of a limit
 * @limits: the table
 * @endpoint: the endpoint that answered
 * @has_limit: the response names a limit
 * @rate: the limit, requests in 1,000 s
 * @sent_us: when the request was sent
 * @now_us: monotonic time
 *
 * A response whose order is not certain, because its request was sent before
 * the latest one arrived, can only lower a limit: two connections may deliver
 * responses in another order than the endpoint wrote them. A change is queued
 * for wl_limits_take_report().
 *
 * Return: 1 when the limit of the endpoint has changed.
 */
int wl_limits_note_response (WlLimits *limits, const WlEndpoint *endpoint, int has_limit,
                             uint64_t rate, uint64_t sent_us, uint64_t now_us);

/**
 * wl_limits_apply_report() - applies the report of another node
 * @limits: the table
 * @report: the report
 * @now_us: monotonic time
 *
 * Words are ordered as those of responses, with WL_LIMIT_ORDER_MARGIN_US for
 * the delay of the report. After a pause of this node, seen as a gap between calls,
 * reports may have waited for longer: for a second their words can only lower limits.
 * A word on an older start of an endpoint is ignored, and one older than
 * WL_LIMIT_ENDED_KEPT_US on an endpoint without a known limit.
 *
 * Return: the number of endpoints whose limit has changed.
 */
uint32_t wl_limits_apply_report (WlLimits *limits, const WlLimitReport *report, uint64_t now_us);

/**
 * wl_limits_take_report() - takes what other nodes have to be told, as seen by this one
 * @limits: the table
 * @now_us: monotonic time
 * @out: receives the report; its words are the table's, valid until the next call
 *
 * Called at least every 200 ms. What the reports of others say is not repeated; that a limit
 * is still named is reported at most once a second for each endpoint.
 *
 * Return: 1, or 0 when nothing is new.
 */
int wl_limits_take_report (WlLimits *limits, uint64_t now_us, WlLimitReport *out);

/**
 * wl_limits_full_report() - reports all that is known, for a node that joins and for anti-entropy
 *
 * Of more than WL_LIMITS_REPORT_MAX the next ones each time. Return: 1, or 0 when nothing is known.
 */
int wl_limits_full_report (WlLimits *limits, uint64_t now_us, WlLimitReport *out);

/**
 * wl_limits_find() - limit in force of an endpoint, NULL for none
 *
 * Owned by the table, valid until the table changes.
 */
const WlLimit *wl_limits_find (const WlLimits *limits, const WlEndpoint *endpoint);

/** wl_limits_count() - number of limits in force */
uint32_t wl_limits_count (const WlLimits *limits);

/** wl_limits_version() - a number that grows with each change of a limit in force */
uint64_t wl_limits_version (const WlLimits *limits);

/**
 * wl_limits_take_refresh() - whether a request of a service should renew a word on a limit
 * @limits: the table
 * @fleet: the endpoints
 * @service: name of the service
 * @now_us: monotonic time
 *
 * The request then asks for a permit, with a max_wait_us of 0, although other
 * endpoints would do. Due when an endpoint of the service can be used and no
 * response has named its limit for WL_PERMIT_REFRESH_US, or for the time between
 * two requests that its limit allows. At most once a second for all services.
 *
 * Return: 1 when it should.
 */
int wl_limits_take_refresh (WlLimits *limits, WlFleet *fleet, const char *service, uint64_t now_us);

/** wl_limits_expire() - drops limits of endpoints that are gone or have started again */
void wl_limits_expire (WlLimits *limits, WlFleet *fleet, uint64_t now_us);

#endif
