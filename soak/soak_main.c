#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include <curl/curl.h>
#include "wl_clock.h"
#include "wl_soak_budget.h"
#include "wl_soak_caller.h"
#include "wl_soak_endpoint.h"
#include "wl_soak_judge.h"
#include "wl_soak_limits.h"
#include "wl_soak_nodes.h"
#include "wl_soak_operator.h"
#include "wl_soak_parts.h"
#include "wl_soak_request.h"

enum
{
  EXIT_KEPT = 0,
  EXIT_BROKEN = 1,
  EXIT_NOT_RUN = 2,
  TICK_US = 2000,
  START_TIMEOUT_US = 20000000,
  SETTLE_US = 1500000,       /* nodes hear of the endpoints */
  END_TIMEOUT_US = 25000000, /* over the longest timeout of a route */
};

typedef struct
{
  WlSoak soak;
  WlSoakCaller *callers[WL_SOAK_CALLERS_MAX];
  WlSoakEndpoint *endpoints[WL_SOAK_ENDPOINTS_MAX];
  uint32_t n_endpoints;
  uint64_t chance; /* state of random numbers of the ends by chance */
  uint64_t end_us; /* the next of them */
} Run;

static volatile sig_atomic_t is_interrupted;
static atomic_int is_over; /* the callers have ended */

static void
on_signal (int number)
{
  (void)number;
  is_interrupted = 1;
}

/* ---- run ---- */

static void
tick (Run *run)
{
  wl_reactor_poll (run->soak.reactor, TICK_US);
  uint64_t now_us = wl_clock_now_us ();
  wl_http_client_run (run->soak.client, now_us);
  wl_soak_nodes_tick (now_us);
  for (uint32_t i = 0; i < run->n_endpoints; i++)
    wl_soak_endpoint_tick (run->endpoints[i], now_us);
  wl_soak_operator_tick (now_us);
}

/* Ends an endpoint now and then. */
static void
end_by_chance (Run *run, uint64_t now_us)
{
  const WlSoakOptions *o = &run->soak.options;
  int is_stopping = o->stop_ends_ms > 0 && wl_soak_nodes_is_stopping ();
  uint32_t every_ms = is_stopping ? o->stop_ends_ms : o->ends_every_ms;
  uint32_t n = is_stopping ? run->n_endpoints : o->n_engines;
  uint64_t next_us
      = now_us + wl_soak_between (&run->chance, every_ms / 2, every_ms * 3 / 2) * UINT64_C (1000);
  if (every_ms == 0)
    return;
  if (run->end_us == 0 || run->end_us > now_us + every_ms * UINT64_C (1500))
    run->end_us = next_us;
  if (now_us < run->end_us)
    return;
  uint32_t first = wl_soak_between (&run->chance, 0, n - 1);
  uint64_t away_us = wl_soak_between (&run->chance, 3000, 5000) * UINT64_C (1000);
  int is_reset = (int)wl_soak_between (&run->chance, 0, 1);
  uint32_t i = 0;
  while (
      i < n
      && !wl_soak_endpoint_crash (run->endpoints[(first + i) % n], NULL, is_reset, away_us, now_us))
    i++;
  run->end_us = next_us;
}

static int
are_endpoints_known (const Run *run)
{
  for (uint32_t i = 0; i < run->n_endpoints; i++)
    if (!wl_soak_endpoint_is_known (run->endpoints[i]))
      return 0;
  return 1;
}

static int
open_endpoints (Run *run)
{
  const WlSoakOptions *o = &run->soak.options;
  while (run->n_endpoints < o->n_engines + o->n_plain)
    {
      WlSoakEndpoint *endpoint = wl_soak_endpoint_create (&run->soak, run->n_endpoints);
      if (endpoint == NULL)
        return 0;
      run->endpoints[run->n_endpoints++] = endpoint;
    }
  return 1;
}

static int
start (Run *run)
{
  uint64_t end_us = wl_clock_now_us () + START_TIMEOUT_US;
  uint64_t settled_us = 0;
  if (!open_endpoints (run))
    {
      fprintf (stderr, "wl-soak: the endpoints' addresses are in use\n");
      return 0;
    }
  while (!is_interrupted && wl_clock_now_us () < end_us)
    {
      tick (run);
      if (!wl_soak_operator_is_done () || !are_endpoints_known (run))
        continue;
      if (settled_us == 0)
        settled_us = wl_clock_now_us () + SETTLE_US;
      if (wl_clock_now_us () >= settled_us)
        return 1;
    }
  wl_soak_broken ("the nodes did not take the configuration and the endpoints within %d s",
                  START_TIMEOUT_US / 1000000);
  return 0;
}

static void
change_config (void *data)
{
  (void)data;
  wl_soak_operator_change ();
}

/* Ends a share of the endpoints at once. */
static void
end_endpoints (void *data)
{
  Run *run = data;
  uint64_t now_us = wl_clock_now_us ();
  for (uint32_t i = 0; i < run->n_endpoints; i++)
    if (wl_soak_between (&run->chance, 0, 99) < run->soak.options.ends_with)
      wl_soak_endpoint_crash (run->endpoints[i], NULL, 1, UINT64_C (3000000), now_us);
}

static void
open_callers (Run *run, uint64_t now_us)
{
  uint64_t random = run->soak.options.seed;
  wl_soak_parts_open (&run->soak);
  run->chance = random;
  for (uint32_t i = 0; i < run->soak.options.n_callers; i++)
    run->callers[i] = wl_soak_caller_create (&run->soak, i, wl_soak_random (&random));
  wl_soak_nodes_plan (wl_soak_random (&random), now_us, change_config, end_endpoints, run);
}

/* Runs the callers for the time of the run, and on until none waits. */
static void
drive (Run *run)
{
  uint64_t end_us = wl_clock_now_us () + (uint64_t)run->soak.options.seconds * 1000000;
  uint64_t now_us = wl_clock_now_us ();
  uint32_t n_open = 1;
  while (!is_interrupted && now_us < end_us + END_TIMEOUT_US
         && (n_open > 0 || wl_soak_nodes_is_stopping ()))
    {
      tick (run);
      now_us = wl_clock_now_us ();
      if (now_us < end_us)
        end_by_chance (run, now_us);
      n_open = 0;
      for (uint32_t i = 0; i < run->soak.options.n_callers; i++)
        n_open += (uint32_t)wl_soak_caller_tick (run->callers[i], now_us, now_us >= end_us);
    }
}

static void *
use_processor (void *data)
{
  (void)data;
  while (!atomic_load_explicit (&is_over, memory_order_relaxed))
    ;
  return NULL;
}

static int
run_beside_load (Run *run)
{
  pthread_t threads[WL_SOAK_BUSY_MAX];
  uint32_t n = 0;
  while (n < run->soak.options.n_busy
         && pthread_create (&threads[n], NULL, use_processor, NULL) == 0)
    n++;
  int is_whole = n == run->soak.options.n_busy;
  if (is_whole)
    drive (run);
  else
    fprintf (stderr, "wl-soak: no thread\n");
  atomic_store (&is_over, 1);
  while (n > 0)
    pthread_join (threads[--n], NULL);
  return is_whole && !is_interrupted;
}

static void
close_run (Run *run)
{
  for (uint32_t i = 0; i < run->soak.options.n_callers; i++)
    wl_soak_caller_destroy (run->callers[i]);
  for (uint32_t i = 0; i < run->n_endpoints; i++)
    wl_soak_endpoint_destroy (run->endpoints[i]);
  wl_soak_nodes_close ();
  wl_soak_budget_clear ();
  wl_soak_limits_close ();
  wl_soak_request_clear ();
  wl_http_client_destroy (run->soak.client);
  wl_reactor_destroy (run->soak.reactor);
}

static int
report (const Run *run, uint64_t start_us)
{
  const WlSoakOptions *o = &run->soak.options;
  const WlSoakStop *stop;
  uint32_t n_stops = 0;
  uint32_t n_ends = 0;
  for (; (stop = wl_soak_nodes_at (n_stops)) != NULL; n_stops++)
    printf ("stop: node=%u at=%.3f exit=%+.3f\n", stop->node,
            (double)(stop->term_us - start_us) / 1e6,
            ((double)stop->exited_us - (double)stop->term_us) / 1e6);
  wl_soak_judge (&run->soak);
  wl_soak_parts_judge ();
  wl_soak_limits_judge ();
  wl_soak_budget_judge (&run->soak);
  wl_soak_nodes_report ();
  uint32_t n_acknowledged = wl_soak_operator_report ();
  for (uint32_t i = 0; i < run->n_endpoints; i++)
    n_ends += wl_soak_endpoint_n_ends (run->endpoints[i]);
  printf ("seed=%u nodes=%u callers=%u seconds=%u stops=%u configs=%u ends=%u broken=%u\n", o->seed,
          o->n_nodes, o->n_callers, o->seconds, n_stops, n_acknowledged, n_ends,
          wl_soak_n_broken ());
  return wl_soak_n_broken () > 0 ? EXIT_BROKEN : EXIT_KEPT;
}

/* Options with a number, and their value when they are not given. */
static const struct
{
  const char *name;
  size_t offset;
  uint32_t usual;
} numbers[] = {
  { "seed", offsetof (WlSoakOptions, seed), 1 },
  { "seconds", offsetof (WlSoakOptions, seconds), 60 },
  { "nodes", offsetof (WlSoakOptions, n_nodes), 3 },
  { "callers", offsetof (WlSoakOptions, n_callers), 48 },
  { "engines", offsetof (WlSoakOptions, n_engines), 8 },
  { "plain", offsetof (WlSoakOptions, n_plain), 3 },
  { "traits", offsetof (WlSoakOptions, traits), WL_SOAK_ALL_TRAITS },
  { "share", offsetof (WlSoakOptions, share), 25 },
  { "stays", offsetof (WlSoakOptions, stays), 0 },
  { "prompt-max", offsetof (WlSoakOptions, prompt_max), 0 },
  { "bad", offsetof (WlSoakOptions, n_bad), 0 },
  { "bad-one-in", offsetof (WlSoakOptions, bad_one_in), 9 },
  { "bad-until", offsetof (WlSoakOptions, bad_until_s), 0 },
  { "kill-all-at", offsetof (WlSoakOptions, kill_all_at_s), 0 },
  { "first-version", offsetof (WlSoakOptions, first_version), 1 },
  { "bad-customers", offsetof (WlSoakOptions, n_bad_customers), 2 },
  { "series", offsetof (WlSoakOptions, series), WL_SOAK_ALL_SERIES },
  { "beside", offsetof (WlSoakOptions, beside), 0 },
  { "slow", offsetof (WlSoakOptions, slow), 1 },
  { "slow-share", offsetof (WlSoakOptions, slow_share), 100 },
  { "slow-from", offsetof (WlSoakOptions, slow_from_s), 0 },
  { "resumes", offsetof (WlSoakOptions, resumes), 0 },
  { "unframed", offsetof (WlSoakOptions, unframed), 0 },
  { "hurried", offsetof (WlSoakOptions, hurried), 0 },
  { "disks", offsetof (WlSoakOptions, n_disks), 3 },
  { "zones", offsetof (WlSoakOptions, n_zones), 1 },
  { "replace", offsetof (WlSoakOptions, replace_every_ms), 0 },
  { "add", offsetof (WlSoakOptions, add_every_ms), 0 },
  { "wipe", offsetof (WlSoakOptions, wipe_every_ms), 0 },
  { "ends-with", offsetof (WlSoakOptions, ends_with), 0 },
  { "routes", offsetof (WlSoakOptions, n_routes), 0 },
  { "config-every", offsetof (WlSoakOptions, config_every_ms), 0 },
  { "routes-step", offsetof (WlSoakOptions, routes_step), 1 },
  { "resident-mb", offsetof (WlSoakOptions, resident_mb), 0 },
  { "served-min", offsetof (WlSoakOptions, served_min), 0 },
  { "slack", offsetof (WlSoakOptions, slack), 112 },
  { "busy", offsetof (WlSoakOptions, n_busy), 0 },
  { "ends-every", offsetof (WlSoakOptions, ends_every_ms), 0 },
  { "limits", offsetof (WlSoakOptions, limits), 0 },
  { "limits-from", offsetof (WlSoakOptions, limits_from_s), 8 },
  { "limits-until", offsetof (WlSoakOptions, limits_until_s), 0 },
  { "stop-ends", offsetof (WlSoakOptions, stop_ends_ms), 0 },
};

enum
{
  N_NUMBERS = sizeof numbers / sizeof numbers[0],
};

static uint32_t *
number_at (WlSoakOptions *o, int i)
{
  return (uint32_t *)(void *)((char *)o + numbers[i].offset);
}

static int
read_options (int argc, char **argv, WlSoakOptions *o)
{
  struct option names[N_NUMBERS + 4] = {
    [N_NUMBERS] = { "sound", no_argument, NULL, 's' },
    { "net", required_argument, NULL, 'n' },
    { "folder", required_argument, NULL, 'f' },
  };
  unsigned x = 0;
  unsigned y = 0;
  int c;
  for (int i = 0; i < N_NUMBERS; i++)
    {
      names[i] = (struct option){ numbers[i].name, required_argument, NULL, i };
      *number_at (o, i) = numbers[i].usual;
    }
  while ((c = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (c)
      {
      case 's':
        o->is_sound = 1;
        break;
      case 'f':
        o->folder = optarg;
        break;
      case 'n':
        if (sscanf (optarg, "127.%u.%u", &x, &y) == 2)
          o->net = 127u << 24 | x << 16 | y << 8;
        break;
      case '?':
        return 0;
      default:
        *number_at (o, c) = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      }
  o->series &= WL_SOAK_ALL_SERIES | WL_SOAK_ALL_KILLS;
  return o->folder != NULL && o->net != 0 && o->n_nodes > 0 && o->slow > 0
         && o->n_bad <= WL_SOAK_BAD_MAX && o->bad_one_in > 0 && o->n_nodes <= WL_SOAK_NODES_MAX
         && o->n_callers <= WL_SOAK_CALLERS_MAX && o->n_busy <= WL_SOAK_BUSY_MAX && o->n_engines > 0
         && o->n_zones > 0 && o->n_zones <= WL_SOAK_ZONES_MAX && o->n_plain > 0
         && o->n_engines + o->n_plain <= WL_SOAK_ENDPOINTS_MAX;
}

int
main (int argc, char **argv)
{
  Run run = { 0 };
  struct sigaction stop = { .sa_handler = on_signal };
  int status = EXIT_NOT_RUN;
  if (!read_options (argc, argv, &run.soak.options))
    {
      fprintf (stderr, "usage: scripts/soak.sh [--sound]");
      for (int i = 0; i < N_NUMBERS; i++)
        fprintf (stderr, " [--%s N]", numbers[i].name);
      fprintf (stderr, "\n");
      return EXIT_NOT_RUN;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  sigaction (SIGTERM, &stop, NULL);
  sigaction (SIGINT, &stop, NULL);
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (wl_reactor_create (&run.soak.reactor) != WL_OK
      || wl_http_client_create (run.soak.reactor, &run.soak.client) != WL_OK)
    return EXIT_NOT_RUN;
  wl_soak_nodes_open (&run.soak);
  wl_soak_limits_open (&run.soak);
  wl_soak_operator_open (&run.soak);
  if (start (&run))
    {
      run.soak.begin_us = wl_clock_now_us ();
      open_callers (&run, run.soak.begin_us);
      if (run_beside_load (&run))
        status = report (&run, run.soak.begin_us);
    }
  else if (wl_soak_n_broken () > 0)
    {
      wl_soak_nodes_report ();
      status = EXIT_BROKEN;
    }
  close_run (&run);
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
