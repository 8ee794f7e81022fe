#ifndef WL_WARMUP_H
#define WL_WARMUP_H

#include "wl_fleet.h"
#include "wl_routes.h"

/*
 * What this node may send to endpoints that are cold. All nodes together stay within the rate of
 * the service without exchanging messages: only a few nodes, the senders of an endpoint, send to it
 * while it is cold, each at a fixed interval. Every node finds the senders by the ranks of the
 * nodes that it knows; the bound is proved in docs/design/cold-endpoints.md. No I/O and no clock.
 */

enum
{
  WL_WARMUP_SENDERS_MAX = 13,    /* of one endpoint */
  WL_WARMUP_WINDOW_US = 1000000, /* in which the requests to an endpoint are counted */
  WL_WARMUP_JITTER_US = 80000,   /* by which the delays from the choice to the endpoint differ */
  WL_WARMUP_LATE_US = 20000,     /* delay of a request behind its interval that is made up for */
  WL_WARMUP_HOLD_US = 2000000,   /* until all nodes know of a node that starts */
  /* Until all nodes know of those behind a partition that has ended: 3.2 s in the simulation of
     300 nodes. */
  WL_WARMUP_REJOIN_US = 5000000,
  WL_WARMUP_FREEZE_US = 1000000,      /* a pause of the event loop that counts as a freeze */
  WL_WARMUP_MEMORY_US = 30000000,     /* lost nodes count for so long */
  WL_WARMUP_ISOLATION_US = 600000000, /* and for so long at a node that sees too few others */
};

/**
 * struct WlWarmupOptions - identity of the node and the tolerated rate
 * @node: id of this node
 * @domain: its failure domain
 * @over: factor on the rate that a cold endpoint tolerates
 * @slack: requests a second beyond that
 */
typedef struct
{
  uint32_t node;
  const char *domain;
  double over;
  double slack;
} WlWarmupOptions;

typedef struct WlWarmup WlWarmup;

/** wl_warmup_create() - creates the state of a node that knows no other; copies @options */
WlWarmup *wl_warmup_create (const WlWarmupOptions *options, uint64_t now_us);

/** wl_warmup_destroy() - frees it; accepts NULL */
void wl_warmup_destroy (WlWarmup *warmup);

/**
 * wl_warmup_hold() - sends nothing for WL_WARMUP_HOLD_US
 *
 * For changes that move shares between nodes: by then all nodes know of them.
 */
void wl_warmup_hold (WlWarmup *warmup, uint64_t now_us);

/** wl_warmup_tick() - notes that the event loop runs; a long pause counts as a freeze */
void wl_warmup_tick (WlWarmup *warmup, uint64_t now_us);

/**
 * wl_warmup_observe() - notes the other nodes; about every WL_MEMBERSHIP_TICK_US
 * @warmup: the state
 * @roster: the other nodes
 * @seeds: ids of nodes named by the settings, @n_seeds of them; they count until they are heard
 * @now_us: monotonic time
 */
void wl_warmup_observe (WlWarmup *warmup, const WlRoster *roster, const uint32_t *seeds,
                        uint32_t n_seeds, uint64_t now_us);

/** wl_warmup_n_known() - nodes that count here, lost ones included; for WlNodeStatus */
uint32_t wl_warmup_n_known (const WlWarmup *warmup);

/** wl_warmup_is_active() - whether this node may be a sender now */
int wl_warmup_is_active (const WlWarmup *warmup, uint64_t now_us);

/** wl_warmup_is_cold() - whether an endpoint of a service is cold */
int wl_warmup_is_cold (const WlRouteService *service, const WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_warmup_wait_us() - time until this node may send a request to a cold endpoint
 * @warmup: the state
 * @service: service of the endpoint
 * @endpoint: the endpoint; its @cold_share may change
 * @now_us: monotonic time
 *
 * Return: 0 for now, UINT64_MAX when this node is not one of its senders, or not active.
 */
uint64_t wl_warmup_wait_us (WlWarmup *warmup, const WlRouteService *service, WlEndpoint *endpoint,
                            uint64_t now_us);

/** wl_warmup_take() - takes the token for a request that is sent now; 0 when there is none */
int wl_warmup_take (WlWarmup *warmup, const WlRouteService *service, WlEndpoint *endpoint,
                    uint64_t now_us);

#endif
