#ifndef WL_SOAK_JUDGE_H
#define WL_SOAK_JUDGE_H

#include <stdint.h>

/*
 * Judges requests by what callers and endpoints recorded. What is allowed is
 * that of rule LOST, with the bounds of the settings.
 */

/**
 * wl_soak_judge() - judges all requests once none is open
 * @start_us: begin of the run
 * @grace_us: bound grace_s
 *
 * Prints a line for each broken promise and the count of each verdict.
 *
 * Return: the number of broken promises.
 */
uint32_t wl_soak_judge (uint64_t start_us, uint64_t grace_us);

#endif
