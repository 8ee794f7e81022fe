#ifndef WL_SOAK_PARTS_H
#define WL_SOAK_PARTS_H

#include "wl_soak.h"
#include "wl_soak_request.h"

/*
 * Parts of prompts: the route's, one of the customer's sessions', the request's own. From
 * WL_SOAK_BAD_FROM_US on some requests have a bad second part instead: an engine ends when
 * it begins to write on it. All else is shared with sound requests. Judged by rules BUDGET
 * and LOST of such parts.
 */

enum
{
  WL_SOAK_BAD_MAX = 2,
  WL_SOAK_BAD_FROM_US = 8000000, /* of the run */
  /* After --kill-all-at no request has a bad part, until all nodes are back. */
  WL_SOAK_BAD_PAUSE_US = 10000000,
  WL_SOAK_PARTS_SIZE = 96,
};

void wl_soak_parts_open (const WlSoak *soak);

/** wl_soak_parts_plan() - gives a request that begins its second part, bad or not, and limits
    its prompt */
void wl_soak_parts_plan (WlSoakRequest *r, uint64_t now_us);

/** wl_soak_parts_write() - writes the value of X-Prompt-Prefix, WL_SOAK_PARTS_SIZE at most */
void wl_soak_parts_write (const WlSoakRequest *r, char *out);

/** wl_soak_parts_note_arrival() - a request has arrived at an endpoint */
void wl_soak_parts_note_arrival (const WlSoakRequest *r, uint64_t now_us);

/**
 * wl_soak_parts_is_end() - whether an engine ends now by a request
 * @n_written: events that it has written since it began; some ends come after the first
 */
int wl_soak_parts_is_end (const WlSoakRequest *r, uint32_t n_written, uint64_t now_us);

/**
 * wl_soak_parts_note_end() - an engine has ended
 * @r: the request that ended it, NULL by chance
 */
void wl_soak_parts_note_end (const WlSoakRequest *r, const char *endpoint, uint64_t now_us);

/** wl_soak_parts_judge() - prints what became of the parts and the broken promises */
void wl_soak_parts_judge (void);

#endif
