#ifndef WL_SERVICES_CHECK_H
#define WL_SERVICES_CHECK_H

#include "wl_services.h"

/**
 * wl_services_check() - checks rules that span several entries of a text
 * @services: the parsed text
 * @findings: receives the findings
 *
 * Covers duplicate names, unknown dependencies and dependency cycles.
 */
void wl_services_check (const WlServices *services, WlFindings *findings);

/**
 * wl_nearest_name() - finds the candidate with the smallest edit distance
 * @name: the misspelt name
 * @candidates: names to choose from
 * @n: number of candidates
 *
 * Return: the nearest candidate within three edits, or NULL.
 */
const char *wl_nearest_name (const char *name, const char *const *candidates, size_t n);

#endif
