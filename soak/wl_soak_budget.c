#include <stdio.h>
#include <stdlib.h>
#include "wl_soak_budget.h"

static const double RATIO = 0.2; /* as in the settings that scripts/soak.sh writes */

enum
{
  WINDOW_US = 10000000,
  SERVICES = 2,
};

typedef struct
{
  uint32_t index; /* of the request */
  uint64_t at_us;
} Arrival;

typedef struct
{
  uint64_t *at_us; /* ascending */
  uint32_t n;
} Times;

static Arrival *arrivals;
static uint32_t n_arrivals;
static uint32_t max_arrivals;

void
wl_soak_budget_note_arrival (const WlSoakRequest *r, uint64_t now_us)
{
  if (n_arrivals == max_arrivals)
    {
      max_arrivals = max_arrivals > 0 ? 2 * max_arrivals : 4096;
      arrivals = realloc (arrivals, max_arrivals * sizeof *arrivals);
      if (arrivals == NULL)
        abort ();
    }
  arrivals[n_arrivals++] = (Arrival){ r->index, now_us };
}

static int
compare_times (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return (x > y) - (x < y);
}

static Times
times_create (uint32_t max)
{
  Times t = { calloc (max + 1, sizeof *t.at_us), 0 };
  if (t.at_us == NULL)
    abort ();
  return t;
}

/* Times before @at_us. */
static uint32_t
count_before (const Times *t, uint64_t at_us)
{
  uint32_t low = 0;
  uint32_t high = t->n;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (t->at_us[middle] < at_us)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static uint32_t
count_window (const Times *t, uint64_t from_us)
{
  return count_before (t, from_us + WINDOW_US) - count_before (t, from_us);
}

static double
allowed (const WlSoak *soak, const Times *requests, uint64_t from_us)
{
  uint32_t most = count_window (requests, from_us);
  uint32_t before = count_window (requests, from_us - WINDOW_US);
  uint32_t half = count_window (requests, from_us - WINDOW_US / 2);
  most = before > most ? before : most;
  most = half > most ? half : most;
  return RATIO * most + soak->options.slack;
}

static void
judge_service (const WlSoak *soak, uint32_t service, const Times *requests, const Times *repeats)
{
  double worst = 0;
  uint64_t worst_us = soak->begin_us;
  uint32_t n_worst = 0;
  for (uint32_t i = 0; i < repeats->n; i++)
    {
      uint32_t n = count_window (repeats, repeats->at_us[i]);
      double share = n / allowed (soak, requests, repeats->at_us[i]);
      if (share <= worst)
        continue;
      worst = share;
      worst_us = repeats->at_us[i];
      n_worst = n;
    }
  printf ("budget: service%u repeats=%u most=%u of %.1f in 10 s from %.3f\n", service, repeats->n,
          n_worst, allowed (soak, requests, worst_us),
          ((double)worst_us - (double)soak->begin_us) / 1e6);
  if (worst > 1)
    wl_soak_broken ("more repeats at service%u than its budget allows", service);
}

void
wl_soak_budget_judge (const WlSoak *soak)
{
  uint32_t n_requests = 0;
  while (wl_soak_request_at (n_requests) != NULL)
    n_requests++;
  uint8_t *has_arrived = calloc (n_requests + 1, 1);
  if (has_arrived == NULL)
    abort ();
  for (uint32_t service = 0; service < SERVICES; service++)
    {
      Times requests = times_create (n_requests);
      Times repeats = times_create (n_arrivals);
      for (uint32_t i = 0; i < n_requests; i++)
        if (wl_soak_kinds[wl_soak_request_at (i)->kind].service == service)
          requests.at_us[requests.n++] = wl_soak_request_at (i)->started_us;
      for (uint32_t i = 0; i < n_arrivals; i++)
        {
          const Arrival *a = &arrivals[i];
          if (wl_soak_kinds[wl_soak_request_at (a->index)->kind].service != service)
            continue;
          if (has_arrived[a->index])
            repeats.at_us[repeats.n++] = a->at_us;
          has_arrived[a->index] = 1;
        }
      qsort (requests.at_us, requests.n, sizeof *requests.at_us, compare_times);
      judge_service (soak, service, &requests, &repeats);
      free (requests.at_us);
      free (repeats.at_us);
    }
  free (has_arrived);
}

void
wl_soak_budget_clear (void)
{
  free (arrivals);
  arrivals = NULL;
  n_arrivals = 0;
  max_arrivals = 0;
}
