#ifndef WL_SOAK_CALLER_H
#define WL_SOAK_CALLER_H

#include <stdint.h>

/*
 * Callers: each has one connection at a time to a node that it learned from the
 * directory, and keeps it until the node closes it or is gone.
 */

/** enum WlSoakTrait - what a caller does besides; a set of bits */
typedef enum
{
  WL_SOAK_PRESSES = 1,   /* sends the next request as soon as the answer has ended */
  WL_SOAK_SLOW = 2,      /* reads some ten KB a second into a small buffer */
  WL_SOAK_PIECES = 4,    /* writes requests in pieces with pauses */
  WL_SOAK_PIPELINES = 8, /* sends the next request before the answer has ended */
  WL_SOAK_ANEW = 16,     /* opens a connection for each request */
  WL_SOAK_HALF = 32,     /* closes its sending side behind a request */
  WL_SOAK_LEAVES = 64,   /* gives up some requests */
  WL_SOAK_STALE = 128,   /* keeps addresses for three lifetimes */
  WL_SOAK_BIG = 256,     /* sends bodies of up to a MB */
  WL_SOAK_ALL_TRAITS = 511,
} WlSoakTrait;

typedef struct WlSoakCaller WlSoakCaller;

/**
 * struct WlSoakCallerOptions - a caller
 * @seed: determines its requests, traits and pauses
 * @traits: it may have
 * @is_sound: no request meets a fault of an endpoint
 * @node_net: node N has the address @node_net + N + 1
 */
typedef struct
{
  uint32_t number;
  uint64_t seed;
  uint32_t traits;
  uint8_t is_sound;
  uint32_t node_net;
  uint32_t n_nodes;
  uint16_t front_port;
  uint16_t directory_port;
} WlSoakCallerOptions;

WlSoakCaller *wl_soak_caller_create (const WlSoakCallerOptions *options);
void wl_soak_caller_destroy (WlSoakCaller *caller);

/**
 * wl_soak_caller_tick() - goes on; call it every few ms
 * @is_ending: no request is begun any more
 *
 * Return: 0 when @is_ending and no request of it is open.
 */
int wl_soak_caller_tick (WlSoakCaller *caller, uint64_t now_us, int is_ending);

#endif
