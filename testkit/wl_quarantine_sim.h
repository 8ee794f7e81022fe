#ifndef WL_QUARANTINE_SIM_H
#define WL_QUARANTINE_SIM_H

#include "wl_test_quarantine.h"
#include "wl_time_queue.h"

/*
 * A simulated fleet: nodes with a quarantine each that exchange reports, and
 * endpoints that end by bad parts or for other reasons and are back, under another
 * key, three to five seconds later. A seed gives the same result each time.
 */

enum
{
  WL_QUARANTINE_SIM_NODES_MAX = 12,
  WL_QUARANTINE_SIM_ENDPOINTS = 18,
  WL_QUARANTINE_SIM_PARTS_MAX = 2,
  WL_QUARANTINE_SIM_REQUESTS_MAX = 512,
  WL_QUARANTINE_SIM_STEP_US = 5000,
  WL_QUARANTINE_SIM_ENDS = 5, /* ends by a bad part after which its requests must be refused soon */
  WL_QUARANTINE_SIM_BOUND_US = 3 * SECOND_US, /* so soon */
};

/**
 * struct WlQuarantineSimPlan - what a fleet does; rates are per second, shares in percent
 * @n_nodes: nodes
 * @sound_rate: requests without a bad part
 * @bad_rate: requests with one
 * @n_bad_parts: bad parts, from BAD on
 * @bad_with_middle: share of bad requests that have their customer's part as well
 * @delay_us: delay of reports
 * @loss: share of reports that are lost
 * @bad_from_us: when bad requests begin
 * @mended_us: when bad parts no longer end endpoints, 0 for never
 * @chance_us: average time between ends by chance, 0 for none
 */
typedef struct
{
  uint32_t n_nodes;
  uint32_t sound_rate;
  uint32_t bad_rate;
  uint32_t n_bad_parts;
  uint32_t bad_with_middle;
  uint32_t delay_us;
  uint32_t loss;
  uint64_t bad_from_us;
  uint64_t mended_us;
  uint64_t chance_us;
} WlQuarantineSimPlan;

/** struct WlQuarantineSimEndpoint - an endpoint, its key until it ends and when it is up */
typedef struct
{
  uint64_t key;
  uint64_t up_us;
} WlQuarantineSimEndpoint;

/**
 * struct WlQuarantineSimRequest - a request
 * @parts: its parts but the last
 * @customer: its customer
 * @begin_us: time of its first output
 * @node: where it arrived
 * @endpoint: where it was sent
 * @attempts: how often
 * @is_active: it is there
 * @is_sound: its output has gone on
 * @bad: its bad part, 0 for none
 */
typedef struct
{
  WlPromptParts parts;
  uint64_t customer;
  uint64_t begin_us;
  uint32_t node;
  uint32_t endpoint;
  uint32_t attempts;
  uint8_t is_active;
  uint8_t is_sound;
  uint64_t bad;
} WlQuarantineSimRequest;

/**
 * struct WlQuarantineSimPart - what was seen of a bad part
 * @n_ends: endpoints that ended by it
 * @bound_us: WL_QUARANTINE_SIM_BOUND_US after the WL_QUARANTINE_SIM_ENDS-th of them
 * @n_late: requests that reached endpoints after that, trials aside
 * @n_trials: trials
 */
typedef struct
{
  uint32_t n_ends;
  uint64_t bound_us;
  uint32_t n_late;
  uint32_t n_trials;
} WlQuarantineSimPart;

/**
 * struct WlQuarantineSim - a fleet
 * @plan: what it does
 * @random: state of the random numbers
 * @now_us: time
 * @nodes: quarantine of each node
 * @generations: their generations at the latest step
 * @endpoints: endpoints
 * @requests: requests
 * @deliveries: reports on their way
 * @bad_parts: what was seen of the bad parts
 * @next_key: key of the latest start of an endpoint
 * @n_ends: ends of endpoints
 * @n_refused: attempts that were refused
 * @n_wrong: entries for other parts than the bad ones
 */
typedef struct
{
  WlQuarantineSimPlan plan;
  uint64_t random;
  uint64_t now_us;
  WlQuarantine *nodes[WL_QUARANTINE_SIM_NODES_MAX];
  uint64_t generations[WL_QUARANTINE_SIM_NODES_MAX];
  WlQuarantineSimEndpoint endpoints[WL_QUARANTINE_SIM_ENDPOINTS];
  WlQuarantineSimRequest requests[WL_QUARANTINE_SIM_REQUESTS_MAX];
  WlTimeQueue *deliveries;
  WlQuarantineSimPart bad_parts[WL_QUARANTINE_SIM_PARTS_MAX];
  uint64_t next_key;
  uint32_t n_ends;
  uint32_t n_refused;
  uint32_t n_wrong;
} WlQuarantineSim;

/** wl_quarantine_sim_create() - a fleet at its start */
WlQuarantineSim *wl_quarantine_sim_create (const WlQuarantineSimPlan *plan, uint64_t seed);

/** wl_quarantine_sim_destroy() - frees a fleet */
void wl_quarantine_sim_destroy (WlQuarantineSim *sim);

/** wl_quarantine_sim_random() - a random number below @n */
uint64_t wl_quarantine_sim_random (WlQuarantineSim *sim, uint64_t n);

/** wl_quarantine_sim_end() - ends an endpoint; its requests are sent to another one if allowed */
void wl_quarantine_sim_end (WlQuarantineSim *sim, uint32_t endpoint);

/** wl_quarantine_sim_step() - runs for WL_QUARANTINE_SIM_STEP_US */
void wl_quarantine_sim_step (WlQuarantineSim *sim);

/** wl_quarantine_sim_run() - runs until so many seconds after the start */
void wl_quarantine_sim_run (WlQuarantineSim *sim, uint64_t seconds);

#endif
