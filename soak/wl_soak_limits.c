#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_soak_limits.h"
#include "wl_soak_nodes.h"

enum
{
  STABLE_US = 3000000,   /* stable_window_ms */
  WINDOW_US = 4000000,   /* of rule LIMIT, as the next three */
  PASSED_ON_US = 500000, /* a node counts so long after it has passed on an answer */
  RATE_FACTOR_TENTHS = 15,
  SLACK_REQUESTS = 5,
  RATE_MIN = 4, /* tenths of a request a second */
  RATE_MAX = 30,
  STARTS_MAX = 1024,
  ARRIVALS_MAX = 1 << 20,
  CUSTOMERS = 2, /* callers by turns, as their keys */
  NEVER = UINT32_MAX,
};

/* A start of an endpoint; @named_us: its first answer with the limit, 0 for none. */
typedef struct
{
  uint32_t number;
  uint64_t named_us;
  uint64_t ended_us; /* when the endpoint started again, 0 for never */
} Start;

typedef struct
{
  uint32_t start;
  uint32_t caller;
  uint32_t node;
  uint64_t at_us;
  uint8_t is_counted; /* its node had passed on an answer */
} Arrival;

static const WlSoak *run;
static uint32_t rates[WL_SOAK_ENDPOINTS_MAX]; /* tenths of a request a second; NEVER for no limit */
static Start *starts[STARTS_MAX];
static uint32_t n_starts;
static uint32_t current[WL_SOAK_ENDPOINTS_MAX]; /* start of each endpoint */
static Arrival *arrivals;
static uint32_t n_arrivals;

void
wl_soak_limits_open (const WlSoak *soak)
{
  uint64_t random = soak->options.seed ^ UINT64_C (0x11111111);
  run = soak;
  arrivals = malloc (ARRIVALS_MAX * sizeof *arrivals);
  if (arrivals == NULL)
    abort ();
  for (uint32_t i = 0; i < WL_SOAK_ENDPOINTS_MAX; i++)
    {
      uint32_t rate = wl_soak_between (&random, RATE_MIN, RATE_MAX);
      rates[i] = wl_soak_between (&random, 0, 99) < soak->options.limits ? rate : NEVER;
    }
}

void
wl_soak_limits_restart (uint32_t number, uint64_t now_us)
{
  Start *start = n_starts < STARTS_MAX ? calloc (1, sizeof *start) : NULL;
  if (start == NULL)
    abort ();
  start->number = number;
  if (n_starts > 0 && starts[current[number]]->number == number)
    starts[current[number]]->ended_us = now_us;
  current[number] = n_starts;
  starts[n_starts++] = start;
}

static int
is_named (uint32_t number, uint64_t now_us)
{
  const WlSoakOptions *o = &run->options;
  return rates[number] != NEVER && run->begin_us != 0
         && now_us >= run->begin_us + (uint64_t)o->limits_from_s * 1000000
         && (o->limits_until_s == 0
             || now_us < run->begin_us + (uint64_t)o->limits_until_s * 1000000);
}

void
wl_soak_limits_field (uint32_t number, uint64_t now_us, char *out, size_t size)
{
  out[0] = '\0';
  if (is_named (number, now_us))
    snprintf (out, size, "Server-Limit: %u.%u\r\n", rates[number] / 10, rates[number] % 10);
}

void
wl_soak_limits_note_arrival (const WlSoakRequest *r, uint32_t number, uint64_t now_us)
{
  if (rates[number] != NEVER && n_arrivals < ARRIVALS_MAX)
    arrivals[n_arrivals++] = (Arrival){ current[number], r->caller, r->node, now_us, 0 };
}

void
wl_soak_limits_note_answer (WlSoakRequest *r, uint32_t number, uint64_t now_us)
{
  Start *start = starts[current[number]];
  r->limited_start = 0;
  if (!is_named (number, now_us))
    return;
  r->limited_start = current[number] + 1;
  if (start->named_us == 0)
    start->named_us = now_us;
}

/* ---- verdicts ---- */

/* When the process of a node that ran at @at_us began to count: it has to hear again. */
static uint64_t
last_stop_us (uint32_t node, uint64_t at_us)
{
  const WlSoakStop *stop;
  uint64_t last_us = 0;
  for (uint32_t i = 0; (stop = wl_soak_nodes_at (i)) != NULL; i++)
    if (stop->node == node && stop->term_us <= at_us)
      last_us = stop->exited_us > stop->term_us ? stop->exited_us : stop->term_us;
  return last_us;
}

/* Whether the node of an arrival had passed on an answer with the limit PASSED_ON_US before. */
static int
had_passed_on (const Arrival *a)
{
  uint64_t since_us = last_stop_us (a->node, a->at_us);
  const WlSoakRequest *r;
  for (uint32_t i = 0; (r = wl_soak_request_at (i)) != NULL; i++)
    {
      if (r->limited_start != a->start + 1 || r->node != a->node || r->answered_us == 0
          || r->answered_us < since_us || r->answered_us + PASSED_ON_US > a->at_us)
        continue;
      return 1;
    }
  return 0;
}

static uint64_t
end_us (const Start *start)
{
  const WlSoakOptions *o = &run->options;
  uint64_t last_us = run->begin_us + (uint64_t)o->seconds * 1000000;
  uint64_t until_us = run->begin_us + (uint64_t)o->limits_until_s * 1000000;
  if (o->limits_until_s != 0 && until_us < last_us)
    last_us = until_us;
  return start->ended_us != 0 && start->ended_us < last_us ? start->ended_us : last_us;
}

/* Most counted arrivals in a window. */
static uint32_t
most_in_window (uint32_t index, uint64_t from_us, uint64_t until_us)
{
  uint32_t most = 0;
  for (uint32_t i = 0; i < n_arrivals; i++)
    {
      uint32_t n = 0;
      if (arrivals[i].start != index || !arrivals[i].is_counted || arrivals[i].at_us < from_us)
        continue;
      for (uint32_t j = i; j < n_arrivals && arrivals[j].at_us < arrivals[i].at_us + WINDOW_US; j++)
        n += arrivals[j].start == index && arrivals[j].is_counted && arrivals[j].at_us < until_us;
      most = n > most ? n : most;
    }
  return most;
}

static uint32_t
count_nodes (uint32_t index)
{
  uint32_t n = 0;
  for (uint32_t node = 0; node < run->options.n_nodes; node++)
    for (uint32_t i = 0; i < n_arrivals; i++)
      if (arrivals[i].start == index && arrivals[i].node == node && arrivals[i].is_counted)
        {
          n++;
          break;
        }
  return n;
}

/* Judges one start of an endpoint. Adds to @n_served and @allowed, in tenths of requests. */
static int
judge_start (uint32_t index, uint64_t *n_served, uint64_t *allowed)
{
  const Start *start = starts[index];
  uint32_t rate = rates[start->number];
  uint64_t from_us = start->named_us + STABLE_US;
  uint64_t until_us = end_us (start);
  if (start->named_us == 0 || from_us >= until_us)
    return 0;
  /* Tenths, so that the comparison is exact. */
  uint32_t limit = rate * 4 * RATE_FACTOR_TENTHS / 10 + SLACK_REQUESTS * 10;
  uint32_t most = most_in_window (index, from_us, until_us);
  uint32_t n = 0;
  for (uint32_t i = 0; i < n_arrivals; i++)
    n += arrivals[i].start == index && arrivals[i].at_us >= from_us && arrivals[i].at_us < until_us;
  *n_served += n;
  *allowed += rate * (until_us - from_us) / 1000000;
  printf ("LIMIT: endpoint=%u limit=%u.%u most_in_4s=%u allowed=%u nodes=%u arrivals=%u "
          "named_at=%.3f\n",
          start->number, rate / 10, rate % 10, most, limit / 10, count_nodes (index), n,
          (double)(start->named_us - run->begin_us) / 1e6);
  if (most * 10 <= limit)
    return 0;
  wl_soak_broken ("LIMIT: endpoint %u got %u requests in 4 s, allowed are %u at %u.%u a second",
                  start->number, most, limit / 10, rate / 10, rate % 10);
  return 1;
}

/* Prints to which callers the requests at limited endpoints belonged. */
static void
print_shares (void)
{
  uint32_t by_customer[CUSTOMERS] = { 0 };
  uint32_t by_caller[WL_SOAK_CALLERS_MAX] = { 0 };
  uint32_t n_callers = 0;
  uint32_t most = 0;
  for (uint32_t i = 0; i < n_arrivals; i++)
    {
      const Arrival *a = &arrivals[i];
      const Start *start = starts[a->start];
      if (start->named_us == 0 || a->at_us < start->named_us + STABLE_US
          || a->at_us >= end_us (start))
        continue;
      by_customer[a->caller % CUSTOMERS]++;
      n_callers += by_caller[a->caller]++ == 0;
      most = by_caller[a->caller] > most ? by_caller[a->caller] : most;
    }
  printf ("limited endpoints were used by: customer0=%u customer1=%u callers=%u most_of_one=%u\n",
          by_customer[0], by_customer[1], n_callers, most);
}

/* Prints the requests since the limits are known, and how many were served. */
static void
print_served (void)
{
  uint32_t n[2] = { 0 };
  uint32_t n_served[2] = { 0 };
  const WlSoakRequest *r;
  uint64_t from_us = run->begin_us + (uint64_t)run->options.limits_from_s * 1000000 + STABLE_US;
  for (uint32_t i = 0; (r = wl_soak_request_at (i)) != NULL; i++)
    if (r->started_us >= from_us && r->sent_us != 0)
      {
        n[wl_soak_kinds[r->kind].service]++;
        n_served[wl_soak_kinds[r->kind].service] += r->end == WL_SOAK_ANSWERED && r->status == 200;
      }
  printf ("served from then on: service0=%u/%u service1=%u/%u\n", n_served[0], n[0], n_served[1],
          n[1]);
}

void
wl_soak_limits_judge (void)
{
  uint64_t n_served = 0;
  uint64_t allowed = 0;
  uint32_t n_over = 0;
  if (run->options.limits_from_s >= run->options.seconds)
    return;
  for (uint32_t i = 0; i < n_arrivals; i++)
    arrivals[i].is_counted = (uint8_t)had_passed_on (&arrivals[i]);
  for (uint32_t i = 0; i < n_starts; i++)
    n_over += (uint32_t)judge_start (i, &n_served, &allowed);
  print_served ();
  if (run->options.limits == 0)
    return;
  printf ("LIMIT: over=%u use=%.2f (%llu requests, %.1f allowed)\n", n_over,
          allowed > 0 ? (double)n_served * 10 / (double)allowed : 0.0, (unsigned long long)n_served,
          (double)allowed / 10);
  print_shares ();
}

void
wl_soak_limits_close (void)
{
  for (uint32_t i = 0; i < n_starts; i++)
    free (starts[i]);
  n_starts = 0;
  free (arrivals);
  arrivals = NULL;
}
