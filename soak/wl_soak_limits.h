#ifndef WL_SOAK_LIMITS_H
#define WL_SOAK_LIMITS_H

#include "wl_soak.h"
#include "wl_soak_request.h"

/*
 * Limits that endpoints name: requests a second from all nodes together. Judged
 * by rule LIMIT. A start of an endpoint is an endpoint of its own here.
 */

enum
{
  WL_SOAK_LIMIT_SIZE = 48,
};

/** wl_soak_limits_open() - chooses the endpoints that name a limit, and their rates */
void wl_soak_limits_open (const WlSoak *soak);

/** wl_soak_limits_restart() - the endpoint @number has started */
void wl_soak_limits_restart (uint32_t number, uint64_t now_us);

/** wl_soak_limits_field() - writes the field that an answer of an endpoint has, empty for none */
void wl_soak_limits_field (uint32_t number, uint64_t now_us, char *out, size_t size);

/** wl_soak_limits_note_arrival() - a request has arrived at an endpoint */
void wl_soak_limits_note_arrival (const WlSoakRequest *r, uint32_t number, uint64_t now_us);

/** wl_soak_limits_note_answer() - an endpoint begins an answer that the node may pass on */
void wl_soak_limits_note_answer (WlSoakRequest *r, uint32_t number, uint64_t now_us);

/** wl_soak_limits_judge() - prints what limited endpoints got, and the broken promises */
void wl_soak_limits_judge (void);

void wl_soak_limits_close (void);

#endif
