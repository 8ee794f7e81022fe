#ifndef WL_SOAK_JUDGE_H
#define WL_SOAK_JUDGE_H

#include "wl_soak.h"

/*
 * Judges requests by what callers and endpoints recorded. Allowed is
 * what rule LOST allows, with the bounds of the settings.
 */

/**
 * wl_soak_judge() - judges all requests once none is open
 *
 * Prints the broken promises, the count of each verdict, and who was served.
 */
void wl_soak_judge (const WlSoak *soak);

#endif
