#ifndef WL_LIMITS_SIM_H
#define WL_LIMITS_SIM_H

#include "wl_permits.h"

/*
 * A simulated fleet whose endpoints all name limits: nodes with limits, permits and an
 * issuer each, clocks of their own, messages of 1 to 5 ms, and views of each other that
 * lag. One customer floods each service, the others ask seldom. A seed gives the same
 * result each time.
 */

enum
{
  WL_LIMITS_SIM_NODES_MAX = 300,
  WL_LIMITS_SIM_SERVICES = 5,
  WL_LIMITS_SIM_ENDPOINTS = 6, /* one a service, two in the last */
  WL_LIMITS_SIM_CUSTOMERS = 3, /* the first floods */
  WL_LIMITS_SIM_ARRIVALS_MAX = 4000,
  WL_LIMITS_SIM_WINDOW_MS = 4000,
};

/**
 * struct WlLimitsSimPlan - what a fleet does
 * @n_nodes: nodes
 * @seconds: how long
 * @flood: requests of the flooding customer for each one that a limit allows, in percent
 * @quiet: likewise of each other customer
 * @max_wait_us: how long a request can wait
 * @signal_ms: average time between two signals, 0 for none
 * @signals: of which kinds, a set of WlLimitsSimSignal
 * @at_issuers: share of signals that hit an issuer, percent
 * @change_s: limits are halved and doubled in turn each so many seconds, 0 for never
 * @unused: share of requests that end before they get their permit, percent
 */
typedef struct
{
  uint32_t n_nodes;
  uint32_t seconds;
  uint32_t flood;
  uint32_t quiet;
  uint64_t max_wait_us;
  uint32_t signal_ms;
  uint32_t signals;
  uint32_t at_issuers;
  uint32_t change_s;
  uint32_t unused;
} WlLimitsSimPlan;

typedef enum
{
  WL_LIMITS_SIM_RESTART = 1,
  WL_LIMITS_SIM_FREEZE = 2,
  WL_LIMITS_SIM_CUT = 4,
} WlLimitsSimSignal;

/**
 * struct WlLimitsSimEndpoint - what arrived at an endpoint
 * @rate: its limit
 * @rate_max: its highest limit
 * @at_ms: times of arrival, @n_arrivals of them, without those from nodes that are cut off
 */
typedef struct
{
  uint64_t rate, rate_max;
  uint32_t at_ms[WL_LIMITS_SIM_ARRIVALS_MAX];
  uint32_t n_arrivals;
} WlLimitsSimEndpoint;

/**
 * struct WlLimitsSimResult - what a run showed
 * @endpoints: its endpoints
 * @asked: requests by service and customer
 * @granted: of them, those sent
 * @early: denied before their wait was over, with a time to come back
 * @n_messages: messages of all nodes
 * @n_most_messages: of one node
 * @n_signals: signals
 * @n_unpermitted: requests sent by nodes that knew no limit
 */
typedef struct
{
  WlLimitsSimEndpoint endpoints[WL_LIMITS_SIM_ENDPOINTS];
  uint32_t asked[WL_LIMITS_SIM_SERVICES][WL_LIMITS_SIM_CUSTOMERS];
  uint32_t granted[WL_LIMITS_SIM_SERVICES][WL_LIMITS_SIM_CUSTOMERS];
  uint64_t n_messages;
  uint64_t n_most_messages;
  uint32_t n_signals;
  uint32_t n_unpermitted;
} WlLimitsSimResult;

/** wl_limits_sim_run() - runs a plan; the result is freed with free () */
WlLimitsSimResult *wl_limits_sim_run (const WlLimitsSimPlan *plan, uint64_t seed);

/** wl_limits_sim_most() - most arrivals in a window, at any offset, from a time on */
uint32_t wl_limits_sim_most (const WlLimitsSimEndpoint *endpoint, uint32_t from_ms);

#endif
