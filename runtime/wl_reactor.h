#ifndef WL_REACTOR_H
#define WL_REACTOR_H

#include <stdint.h>
#include <apr_poll.h>
#include "wl_error.h"

/*
 * Event loop over an APR poll set. Everything in a process runs on the one
 * thread that calls wl_reactor_poll ().
 */

typedef struct WlReactor WlReactor;
typedef struct WlWatch WlWatch;

enum
{
  WL_READABLE = 1,
  WL_WRITABLE = 2,
};

/**
 * WlReadyFunc - called when a watched descriptor is ready
 * @data: pointer given to wl_reactor_add()
 * @ready: WL_READABLE, WL_WRITABLE or both; errors count as both
 */
typedef void (*WlReadyFunc) (void *data, int ready);

/**
 * wl_reactor_create() - creates an event loop
 * @out: receives the loop
 *
 * Return: WL_OK or WL_ERROR_SYSTEM.
 */
WlError wl_reactor_create (WlReactor **out);

/**
 * wl_reactor_destroy() - frees an event loop
 * @reactor: the loop, or NULL
 */
void wl_reactor_destroy (WlReactor *reactor);

/**
 * wl_reactor_add() - watches a descriptor
 * @reactor: the loop
 * @fd: the descriptor; remains the caller's
 * @events: WL_READABLE, WL_WRITABLE or both
 * @ready: called when ready
 * @data: passed to @ready
 *
 * Return: the watch, or NULL when the descriptor cannot be watched.
 */
WlWatch *wl_reactor_add (WlReactor *reactor, int fd, int events, WlReadyFunc ready, void *data);

/**
 * wl_reactor_modify() - changes what a watch waits for
 * @watch: the watch
 * @events: WL_READABLE, WL_WRITABLE or both
 */
void wl_reactor_modify (WlWatch *watch, int events);

/**
 * wl_reactor_remove() - ends a watch, before its descriptor is closed
 * @watch: the watch, or NULL
 */
void wl_reactor_remove (WlWatch *watch);

/**
 * wl_reactor_poll() - waits for descriptors and calls their functions
 * @reactor: the loop
 * @timeout_us: longest wait
 */
void wl_reactor_poll (WlReactor *reactor, uint64_t timeout_us);

#endif
