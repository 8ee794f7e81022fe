#include <getopt.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_soak_call.h"
#include "wl_soak_caller.h"
#include "wl_soak_conn.h"
#include "wl_soak_endpoint.h"
#include "wl_soak_judge.h"
#include "wl_soak_nodes.h"
#include "wl_soak_request.h"

enum
{
  EXIT_KEPT = 0,
  EXIT_BROKEN = 1,
  EXIT_NOT_RUN = 2,
  FRONT_PORT = 8227,
  CONTROL_PORT = 8229,
  DIRECTORY_PORT = 8224,
  ENDPOINT_PORT = 8080,
  ENDPOINT_FIRST_IP = 101, /* last number of the address */
  ENDPOINTS_MAX = 64,
  CALLERS_MAX = 512,
  CONFIG_SIZE = 16384,
  TICK_MS = 2,
  START_TIMEOUT_US = 20000000,
  SETTLE_US = 1500000, /* nodes hear of the endpoints */
  CONFIG_TIMEOUT_US = 1000000,
  END_TIMEOUT_US = 25000000,
  GRACE_US = 8000000,
};

typedef struct
{
  uint64_t seed;
  uint32_t seconds;
  uint32_t n_nodes;
  uint32_t n_callers;
  uint32_t n_engines;
  uint32_t n_plain;
  uint32_t traits;
  uint8_t is_sound;
  uint32_t net;
  const char *folder;
} Options;

typedef struct
{
  Options options;
  WlSoakCaller *callers[CALLERS_MAX];
  WlSoakEndpoint *endpoints[ENDPOINTS_MAX];
  uint32_t n_endpoints;
  uint32_t control[WL_SOAK_NODES_MAX];
  uint64_t version;
  uint32_t operator_node;
  uint8_t is_submitting;
  uint8_t is_configured;
  uint64_t random; /* of the signals */
  uint64_t signal_us;
  uint32_t signal_node;
  uint32_t n_skipped;
} Run;

static volatile sig_atomic_t is_interrupted;

static void
on_signal (int number)
{
  (void)number;
  is_interrupted = 1;
}

/* ---- operator ---- */

static void
add (char *out, const char *format, ...)
{
  va_list arguments;
  size_t used = strlen (out);
  va_start (arguments, format);
  vsnprintf (out + used, CONFIG_SIZE - used, format, arguments);
  va_end (arguments);
}

static void
write_config (const Run *run, char *out)
{
  out[0] = '\0';
  add (out, "{\"version\":%llu,\"routes\":[", (unsigned long long)run->version);
  for (int i = 0; i < WL_SOAK_KINDS; i++)
    {
      const WlSoakKindInfo *k = &wl_soak_kinds[i];
      add (out,
           "%s{\"name\":\"r-%s\",\"hostname\":\"soak.example\",\"path_prefix\":\"/%s/\","
           "\"kind\":\"%s\",\"timeout_ms\":%u,\"slo_ms\":%u,\"priority\":1,"
           "\"service\":\"service%u\",\"attempts\":2,\"auth_exempt\":false,"
           "\"session_affinity\":%s,\"stream_resume\":%s,\"gap_slo_ms\":%u}",
           i > 0 ? "," : "", k->name, k->name, k->route_kind, k->timeout_ms, k->objective_ms,
           k->service, k->service == 0 ? "true" : "false", k->may_resume ? "true" : "false",
           k->service == 0 ? 600 : 0);
    }
  add (out,
       "],\"services\":[{\"name\":\"service0\",\"health_path\":\"/health\","
       "\"max_connections\":294,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":%d,"
       "\"kv_tokens\":232000,\"kv_bytes\":327680,\"link_mbps\":400000.0,\"stride\":4,"
       "\"models\":[{\"name\":\"m\"}],\"step_ms\":5.0,\"per_seq_ms\":0.02,"
       "\"context_per_k\":0.004,\"read_per_s\":%d.0,\"pairs_per_m\":0.001,\"chunk\":2048,"
       "\"report_lag_ms\":200.0,\"usual\":{\"prompt\":25000,\"answer\":30},\"hop_ms\":0.075}},"
       "{\"name\":\"service1\",\"health_path\":\"/health\",\"max_connections\":56,"
       "\"protocol\":\"h1\",\"tls\":false}],",
       WL_SOAK_SLOTS, WL_SOAK_PREFILL_PER_S);
  add (out, "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
            "\"tenants\":[{\"name\":\"tenant0\",\"api_keys\":[\"key-0\"],\"priority\":1},"
            "{\"name\":\"tenant1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}");
}

static void
on_submitted (void *data, int status, const char *body)
{
  Run *run = data;
  run->is_submitting = 0;
  run->is_configured = status == 200;
  if (status / 100 == 4)
    printf ("broken: the configuration was refused: %d %s\n", status, body);
  run->operator_node = (run->operator_node + 1) % run->options.n_nodes;
}

/* Sends the configuration again and again, node by node, until one has acknowledged it. */
static void
submit (Run *run)
{
  char config[CONFIG_SIZE];
  if (run->is_configured || run->is_submitting)
    return;
  run->is_submitting = 1;
  write_config (run, config);
  wl_soak_call (run->control[run->operator_node], CONTROL_PORT, "POST /api/Config.Replace", config,
                CONFIG_TIMEOUT_US, on_submitted, run);
}

/* ---- signals ---- */

static void
send_signals (Run *run, uint64_t now_us)
{
  if (now_us < run->signal_us)
    return;
  run->signal_us = now_us + wl_soak_between (&run->random, 4000, 6000) * 1000u;
  if (!wl_soak_nodes_stop (run->signal_node, now_us))
    run->n_skipped++;
  run->signal_node = (run->signal_node + 1) % run->options.n_nodes;
}

/* ---- run ---- */

static void
tick (Run *run)
{
  uint64_t now_us;
  wl_soak_loop_wait (TICK_MS);
  now_us = wl_clock_now_us ();
  wl_soak_nodes_tick (now_us);
  for (uint32_t i = 0; i < run->n_endpoints; i++)
    wl_soak_endpoint_tick (run->endpoints[i], now_us);
  submit (run);
  wl_soak_call_tick (now_us);
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
  const Options *o = &run->options;
  for (uint32_t i = 0; i < o->n_nodes; i++)
    run->control[i] = o->net + i + 1;
  for (uint32_t i = 0; i < o->n_engines + o->n_plain; i++)
    {
      WlSoakEndpointOptions options = {
        .number = i,
        .service = i >= o->n_engines,
        .ip = o->net + ENDPOINT_FIRST_IP + i,
        .port = ENDPOINT_PORT,
        .control = run->control,
        .n_control = o->n_nodes,
        .control_port = CONTROL_PORT,
      };
      run->endpoints[i] = wl_soak_endpoint_create (&options);
      if (run->endpoints[i] == NULL)
        return 0;
      run->n_endpoints++;
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
      if (!run->is_configured || !are_endpoints_known (run))
        continue;
      if (settled_us == 0)
        settled_us = wl_clock_now_us () + SETTLE_US;
      if (wl_clock_now_us () >= settled_us)
        return 1;
    }
  fprintf (stderr, "wl-soak: the nodes did not take the configuration and the endpoints\n");
  return 0;
}

static void
open_callers (Run *run)
{
  const Options *o = &run->options;
  uint64_t random = o->seed;
  for (uint32_t i = 0; i < o->n_callers; i++)
    {
      WlSoakCallerOptions options = {
        .number = i,
        .seed = wl_soak_random (&random),
        .traits = o->traits,
        .is_sound = o->is_sound,
        .node_net = o->net,
        .n_nodes = o->n_nodes,
        .front_port = FRONT_PORT,
        .directory_port = DIRECTORY_PORT,
      };
      run->callers[i] = wl_soak_caller_create (&options);
    }
  run->random = wl_soak_random (&random);
}

/* Runs the callers for the time of the run, and on until none waits. */
static void
drive (Run *run)
{
  uint64_t end_us = wl_clock_now_us () + (uint64_t)run->options.seconds * 1000000;
  uint64_t now_us = wl_clock_now_us ();
  uint32_t n_open = 1;
  run->signal_us = now_us + 3000000;
  while (!is_interrupted && now_us < end_us + END_TIMEOUT_US
         && (n_open > 0 || wl_soak_nodes_is_stopping ()))
    {
      tick (run);
      now_us = wl_clock_now_us ();
      if (now_us < end_us)
        send_signals (run, now_us);
      n_open = 0;
      for (uint32_t i = 0; i < run->options.n_callers; i++)
        n_open += (uint32_t)wl_soak_caller_tick (run->callers[i], now_us, now_us >= end_us);
    }
}

static void
close_run (Run *run)
{
  for (uint32_t i = 0; i < run->options.n_callers; i++)
    wl_soak_caller_destroy (run->callers[i]);
  wl_soak_call_close ();
  for (uint32_t i = 0; i < run->n_endpoints; i++)
    wl_soak_endpoint_destroy (run->endpoints[i]);
  wl_soak_nodes_close ();
  wl_soak_request_clear ();
  wl_soak_loop_close ();
}

static int
report (const Run *run, uint64_t start_us)
{
  const WlSoakStop *stop;
  uint32_t n_stops = 0;
  for (; (stop = wl_soak_nodes_at (n_stops)) != NULL; n_stops++)
    printf ("stop: node=%u at=%.3f exit=+%.3f\n", stop->node,
            (double)(stop->term_us - start_us) / 1e6,
            ((double)stop->exited_us - (double)stop->term_us) / 1e6);
  uint32_t n_broken = wl_soak_judge (start_us, GRACE_US) + wl_soak_nodes_failures ();
  printf ("seed=%llu nodes=%u callers=%u seconds=%u stops=%u skipped=%u broken=%u\n",
          (unsigned long long)run->options.seed, run->options.n_nodes, run->options.n_callers,
          run->options.seconds, n_stops, run->n_skipped, n_broken);
  return n_broken > 0 ? EXIT_BROKEN : EXIT_KEPT;
}

static int
read_options (int argc, char **argv, Options *o)
{
  static const struct option names[] = {
    { "seed", required_argument, NULL, 's' },
    { "seconds", required_argument, NULL, 't' },
    { "nodes", required_argument, NULL, 'n' },
    { "callers", required_argument, NULL, 'c' },
    { "traits", required_argument, NULL, 'r' },
    { "sound", no_argument, NULL, 'o' },
    { "engines", required_argument, NULL, 'e' },
    { "plain", required_argument, NULL, 'p' },
    { "net", required_argument, NULL, 'a' },
    { "folder", required_argument, NULL, 'f' },
    { NULL, 0, NULL, 0 },
  };
  unsigned x = 0;
  unsigned y = 0;
  int c;
  *o = (Options){ .seed = 1,
                  .seconds = 60,
                  .n_nodes = 3,
                  .n_callers = 48,
                  .n_engines = 8,
                  .n_plain = 3,
                  .traits = WL_SOAK_ALL_TRAITS };
  while ((c = getopt_long (argc, argv, "", names, NULL)) != -1)
    switch (c)
      {
      case 's':
        o->seed = strtoull (optarg, NULL, 10);
        break;
      case 't':
        o->seconds = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'n':
        o->n_nodes = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'c':
        o->n_callers = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'r':
        o->traits = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'o':
        o->is_sound = 1;
        break;
      case 'e':
        o->n_engines = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'p':
        o->n_plain = (uint32_t)strtoul (optarg, NULL, 10);
        break;
      case 'a':
        if (sscanf (optarg, "127.%u.%u", &x, &y) != 2)
          return 0;
        o->net = 127u << 24 | x << 16 | y << 8;
        break;
      case 'f':
        o->folder = optarg;
        break;
      default:
        return 0;
      }
  return o->folder != NULL && o->net != 0 && o->n_nodes > 0 && o->n_nodes <= WL_SOAK_NODES_MAX
         && o->n_callers <= CALLERS_MAX && o->n_engines > 0 && o->n_plain > 0
         && o->n_engines + o->n_plain <= ENDPOINTS_MAX;
}

int
main (int argc, char **argv)
{
  Run run = { .version = 1 };
  struct sigaction stop = { .sa_handler = on_signal };
  int status = EXIT_NOT_RUN;
  if (!read_options (argc, argv, &run.options))
    {
      fprintf (stderr, "usage: scripts/soak.sh [--seed N] [--seconds S] [--nodes N] [--callers N]"
                       " [--traits BITS] [--sound] [--engines N] [--plain N]\n");
      return EXIT_NOT_RUN;
    }
  setvbuf (stdout, NULL, _IOLBF, 0);
  sigaction (SIGTERM, &stop, NULL);
  sigaction (SIGINT, &stop, NULL);
  wl_soak_loop_open ();
  wl_soak_nodes_open (run.options.folder, run.options.n_nodes, GRACE_US);
  if (start (&run))
    {
      uint64_t start_us = wl_clock_now_us ();
      open_callers (&run);
      drive (&run);
      status = is_interrupted ? EXIT_NOT_RUN : report (&run, start_us);
    }
  close_run (&run);
  return status;
}
