#ifndef WL_SOAK_ENDPOINT_H
#define WL_SOAK_ENDPOINT_H

#include "wl_soak.h"
#include "wl_soak_request.h"

/*
 * Stand-ins for endpoints. Each serves WL_SOAK_SLOTS requests at a time and
 * queues some more; an engine prefills one prompt after the other. They write
 * what they did into the requests' records.
 */

typedef struct WlSoakEndpoint WlSoakEndpoint;

/** wl_soak_endpoint_create() - an engine or, behind n_engines, a plain one; NULL: address in use */
WlSoakEndpoint *wl_soak_endpoint_create (const WlSoak *soak, uint32_t number);
void wl_soak_endpoint_destroy (WlSoakEndpoint *endpoint);

/** wl_soak_endpoint_tick() - goes on with its requests and registers; call it every few ms */
void wl_soak_endpoint_tick (WlSoakEndpoint *endpoint, uint64_t now_us);

/**
 * wl_soak_endpoint_crash() - ends an endpoint: all its connections and its listening socket close
 * @cause: the request that ended it, NULL for none
 * @is_reset: the connections are reset
 * @away_us: until it starts again, under a new id
 *
 * Return: 0 when it is away already.
 */
int wl_soak_endpoint_crash (WlSoakEndpoint *endpoint, const WlSoakRequest *cause, int is_reset,
                            uint64_t away_us, uint64_t now_us);

/** wl_soak_endpoint_n_ends() - how often it has ended */
uint32_t wl_soak_endpoint_n_ends (const WlSoakEndpoint *endpoint);

/** wl_soak_endpoint_is_known() - whether a node has acknowledged a registration */
int wl_soak_endpoint_is_known (const WlSoakEndpoint *endpoint);

#endif
