#ifndef WL_SOAK_ENDPOINT_H
#define WL_SOAK_ENDPOINT_H

#include <stdint.h>

/*
 * Stand-ins for endpoints. Each serves a few requests at a time and queues
 * some more; an engine prefills one prompt after the other. They write what
 * they did into the requests' records.
 */

typedef struct WlSoakEndpoint WlSoakEndpoint;

enum
{
  WL_SOAK_SLOTS = 4,
  WL_SOAK_PREFILL_PER_S = 20000, /* prompt tokens */
};

/**
 * struct WlSoakEndpointOptions - an endpoint
 * @service: index of its service, 0 has engines
 * @ip, @port: where it listens
 * @control: addresses of nodes that take registrations, @n_control of them, on @control_port
 */
typedef struct
{
  uint32_t number;
  uint32_t service;
  uint32_t ip;
  uint16_t port;
  const uint32_t *control;
  uint32_t n_control;
  uint16_t control_port;
} WlSoakEndpointOptions;

WlSoakEndpoint *wl_soak_endpoint_create (const WlSoakEndpointOptions *options);
void wl_soak_endpoint_destroy (WlSoakEndpoint *endpoint);

/** wl_soak_endpoint_tick() - goes on with its requests and registers; call it every few ms */
void wl_soak_endpoint_tick (WlSoakEndpoint *endpoint, uint64_t now_us);

/** wl_soak_endpoint_is_known() - whether a node has acknowledged a registration */
int wl_soak_endpoint_is_known (const WlSoakEndpoint *endpoint);

#endif
