#ifndef WL_SOAK_CALLER_H
#define WL_SOAK_CALLER_H

#include "wl_soak.h"

/*
 * Callers: each has one connection at a time to a node that it learned from the
 * directory, and keeps it until the node closes it or is gone.
 */

typedef struct WlSoakCaller WlSoakCaller;

/** wl_soak_caller_create() - @seed determines its traits, requests and pauses */
WlSoakCaller *wl_soak_caller_create (const WlSoak *soak, uint32_t number, uint64_t seed);
void wl_soak_caller_destroy (WlSoakCaller *caller);

/**
 * wl_soak_caller_tick() - goes on; call it every few ms
 * @is_ending: no request is begun any more
 *
 * Return: 0 when @is_ending and no request of it is open.
 */
int wl_soak_caller_tick (WlSoakCaller *caller, uint64_t now_us, int is_ending);

#endif
