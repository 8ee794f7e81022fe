#include <time.h>
#include <apr_time.h>
#include "wl_clock.h"

static uint64_t paused_us;

uint64_t
wl_clock_now_us (void)
{
  struct timespec t;
  if (paused_us != 0)
    return paused_us;
  clock_gettime (CLOCK_BOOTTIME, &t);
  return (uint64_t)t.tv_sec * 1000000 + (uint64_t)t.tv_nsec / 1000;
}

uint64_t
wl_clock_wall_us (void)
{
  return paused_us != 0 ? paused_us : (uint64_t)apr_time_now ();
}

void
wl_clock_set (uint64_t now_us)
{
  paused_us = now_us;
}
