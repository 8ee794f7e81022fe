#ifndef PARTS_2_H
#define PARTS_2_H

#include "kit-2.h"

/*
 * Requests with a part that crashes workers, beside sound ones, and the count of rule BUDGET on
 * them: no more than three arrive, sent by machines in touch, later than stable_window_ms after
 * the fifth crash.
 */

/**
 * parts_manifest() - writes a manifest of @version with @n_services services of engines, llm, llm2,
 * ..., and @n_routes streaming routes, /a/, /b/, ...: one for each service, the rest for the last
 */
void parts_manifest (char *out, size_t size, int version, int n_routes, int n_services);

/** parts_begin() - @bad: the part; arrivals and crashes are counted from now on */
void parts_begin (const char *bad);

/** parts_send() - sends a request in a thread of its own, @is_bad: one with the part */
void parts_send (const KitNode *node, const char *path, const char *prefix, int is_bad);

/** parts_wait() - waits for the answers of all requests */
void parts_wait (void);

int parts_crashes (void);

/** parts_verdict() - logs the counts; return: whether the rule was broken */
int parts_verdict (void);

#endif
