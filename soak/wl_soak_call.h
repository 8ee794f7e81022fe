#ifndef WL_SOAK_CALL_H
#define WL_SOAK_CALL_H

#include <stdint.h>

/* Calls to the interfaces of the nodes, one a connection. */

/** WlSoakAnswered - @status is 0 without a complete response; @body ends in a zero byte */
typedef void (*WlSoakAnswered) (void *data, int status, const char *body);

/**
 * wl_soak_call() - sends a call
 * @target: "METHOD /path"
 * @body: JSON, NULL for none
 * @timeout_us: @answered is called with status 0 after that
 */
void wl_soak_call (uint32_t ip, uint16_t port, const char *target, const char *body,
                   uint64_t timeout_us, WlSoakAnswered answered, void *data);

/** wl_soak_call_tick() - ends calls that took too long and frees those that have ended */
void wl_soak_call_tick (uint64_t now_us);

/** wl_soak_call_close() - drops all calls without a word to their senders */
void wl_soak_call_close (void);

#endif
