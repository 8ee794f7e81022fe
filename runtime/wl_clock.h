#ifndef WL_CLOCK_H
#define WL_CLOCK_H

#include <stdint.h>

/**
 * wl_clock_now_us() - monotonic time that also counts suspension
 *
 * Leases and timeouts use this clock, never wall time, which can jump.
 *
 * Return: microseconds since boot.
 */
uint64_t wl_clock_now_us (void);

/**
 * wl_clock_wall_us() - wall time, for logs and records only
 *
 * Return: microseconds since the epoch.
 */
uint64_t wl_clock_wall_us (void);

/**
 * wl_clock_set() - pauses both clocks at a time, for tests
 * @now_us: the time; 0 lets the clocks run again
 */
void wl_clock_set (uint64_t now_us);

#endif
