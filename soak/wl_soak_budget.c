#include <stdio.h>
#include <stdlib.h>
#include "wl_soak_budget.h"

enum
{
  SERVICES = 2,
  WINDOW_US = 10000000, /* budget_window_s */
  PERCENT = 20,         /* retry_budget_ratio */
  REPEATS_MAX = 1 << 18,
};

typedef struct
{
  uint64_t us;
  uint32_t service;
} Repeat;

static Repeat repeats[REPEATS_MAX];
static uint32_t n_repeats;

void
wl_soak_budget_note_arrival (WlSoakRequest *r, uint64_t now_us)
{
  if (r->n_seen++ > 0 && n_repeats < REPEATS_MAX)
    repeats[n_repeats++] = (Repeat){ now_us, wl_soak_kinds[r->kind].service };
}

static uint32_t
count_requests (uint32_t service, uint64_t from_us, uint64_t until_us)
{
  uint32_t n = 0;
  const WlSoakRequest *r;
  for (uint32_t i = 0; (r = wl_soak_request_at (i)) != NULL; i++)
    n += wl_soak_kinds[r->kind].service == service && r->started_us > from_us
         && r->started_us <= until_us;
  return n;
}

/* What the window that ends at @end_us may have, by the window with most requests that counts. */
static uint32_t
allowed (const WlSoak *soak, uint32_t service, uint64_t end_us)
{
  static const uint64_t before_us[] = { 0, WINDOW_US / 2, WINDOW_US };
  uint32_t most = 0;
  for (size_t i = 0; i < sizeof before_us / sizeof *before_us; i++)
    {
      uint64_t until_us = end_us - before_us[i];
      uint32_t n = count_requests (service, until_us - WINDOW_US, until_us);
      most = n > most ? n : most;
    }
  return most * PERCENT / 100 + soak->options.slack;
}

static void
judge_service (const WlSoak *soak, uint32_t service)
{
  uint32_t first = 0;
  uint32_t n = 0;
  uint32_t most = 0;
  uint64_t most_us = 0;
  for (uint32_t i = 0; i < n_repeats; i++)
    {
      n += repeats[i].service == service;
      for (; repeats[first].us + WINDOW_US < repeats[i].us; first++)
        n -= repeats[first].service == service;
      if (n <= most)
        continue;
      most = n;
      most_us = repeats[i].us;
    }
  uint32_t may = allowed (soak, service, most_us);
  printf ("repeats: service=%u most in 10 s=%u allowed=%u at=%.3f\n", service, most, may,
          most_us == 0 ? 0.0 : ((double)most_us - (double)soak->begin_us) / 1e6);
  if (most > may)
    wl_soak_broken ("service %u got %u repeats in 10 s, %u are allowed", service, most, may);
}

void
wl_soak_budget_judge (const WlSoak *soak)
{
  for (uint32_t service = 0; service < SERVICES; service++)
    judge_service (soak, service);
  n_repeats = 0;
}
