#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_engine.h"

/* Hosts emulated endpoints of one service on consecutive ports. */

enum
{
  ENGINES_MAX = 512,
  TICK_US = 1000,
};

static volatile sig_atomic_t stop_requested;

static void
on_signal (int number)
{
  (void)number;
  stop_requested = 1;
}

static void
add_entries (Engine *e, const char *list)
{
  char copy[4096];
  char *state = NULL;
  snprintf (copy, sizeof copy, "%s", list);
  for (char *item = strtok_r (copy, ",", &state); item != NULL; item = strtok_r (NULL, ",", &state))
    {
      char *colon = strrchr (item, ':');
      if (colon == NULL)
        continue;
      *colon = '\0';
      engine_add_entry (e, item, (uint32_t)strtoul (colon + 1, NULL, 10));
    }
}

static const char *
pick_domain (const char *list, int i, char *out, size_t size)
{
  char copy[512];
  char *state = NULL;
  const char *names[32];
  int n = 0;
  snprintf (copy, sizeof copy, "%s", list);
  for (char *item = strtok_r (copy, ",", &state); item != NULL && n < 32;
       item = strtok_r (NULL, ",", &state))
    names[n++] = item;
  snprintf (out, size, "%s", n > 0 ? names[i % n] : "none");
  return out;
}

int
main (int argc, char **argv)
{
  struct arg_str *service = arg_str1 (NULL, "service", "NAME", "service name");
  struct arg_str *entries = arg_str1 (NULL, "entries", "LIST", "IP:PORT of entries");
  struct arg_str *key = arg_str1 (NULL, "endpoint-key", "KEY", "key for announcements");
  struct arg_str *domains = arg_str1 (NULL, "domains", "LIST", "failure domains in turn");
  struct arg_str *address = arg_str0 (NULL, "address", "IP", "IP number (127.0.0.1)");
  struct arg_int *port = arg_int1 (NULL, "port", "N", "first port");
  struct arg_int *count = arg_int1 (NULL, "count", "N", "number of endpoints");
  struct arg_lit *plain = arg_lit0 (NULL, "plain", "plain service");
  struct arg_dbl *speed = arg_dbl0 (NULL, "speed", "X", "time-scale factor (1)");
  struct arg_int *kv = arg_int0 (NULL, "kv-tokens", "N", "KV memory (400000)");
  struct arg_lit *evicts
      = arg_lit0 (NULL, "evicts", "running requests evict the prefixes of ended ones");
  struct arg_int *slots = arg_int0 (NULL, "slots", "N", "requests at once (32)");
  struct arg_int *tps = arg_int0 (NULL, "prefill-tps", "N", "prompt tokens a second (20000)");
  struct arg_int *decode = arg_int0 (NULL, "decode-us", "N", "iteration time (12000)");
  struct arg_int *service_ms = arg_int0 (NULL, "service-ms", "N", "time of a plain call (20)");
  struct arg_int *load_ms = arg_int0 (NULL, "load-ms", "N", "time to load a model (2000)");
  struct arg_str *loaded = arg_str0 (NULL, "loaded", "MODEL:VERSION", "model loaded at start");
  struct arg_lit *no_fence = arg_lit0 (NULL, "ignore-fence", "take orders with old numbers");
  struct arg_str *ends_on
      = arg_strn (NULL, "ends-on", "TEXT", 0, 8, "ends when it writes on a prompt with TEXT");
  struct arg_str *limit
      = arg_str0 (NULL, "limit", "RATE", "names a limit of RATE requests a second");
  struct arg_str *log = arg_str0 (NULL, "witness", "FILE", "log of what ran");
  struct arg_end *end = arg_end (20);
  void *table[] = { service, entries,  key,     domains, address, port,   count,      plain,
                    speed,   kv,       evicts,  slots,   tps,     decode, service_ms, load_ms,
                    loaded,  no_fence, ends_on, limit,   log,     end };
  EngineOptions options = { .speed = 1,
                            .prefill_tps = 20000,
                            .decode_us = 12000,
                            .kv_capacity = 400000,
                            .slots = 32,
                            .load_ms = 2000,
                            .checks_fence = 1,
                            .service_ms = 20,
                            .latency_us = 1500,
                            .witness = -1 };
  char model[WL_LABEL_SIZE] = "";
  static Engine *engines[ENGINES_MAX];
  WlReactor *reactor = NULL;
  WlHttpClient *client = NULL;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "wl-emulator");
      return 2;
    }
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGPIPE, SIG_IGN);
  if (apr_initialize () != APR_SUCCESS || sodium_init () < 0)
    return 1;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  options.service = service->sval[0];
  options.endpoint_key = key->sval[0];
  options.ends_on = ends_on->sval;
  options.n_ends_on = (uint32_t)ends_on->count;
  options.limit = limit->count > 0 ? limit->sval[0] : NULL;
  options.is_plain = plain->count > 0;
  options.checks_fence = no_fence->count == 0;
  if (speed->count > 0)
    options.speed = speed->dval[0];
  if (kv->count > 0)
    options.kv_capacity = (uint64_t)kv->ival[0];
  options.evicts = evicts->count > 0;
  if (slots->count > 0)
    options.slots = (uint32_t)slots->ival[0];
  if (tps->count > 0)
    options.prefill_tps = tps->ival[0];
  if (decode->count > 0)
    options.decode_us = (uint64_t)decode->ival[0];
  if (service_ms->count > 0)
    options.service_ms = (uint64_t)service_ms->ival[0];
  if (load_ms->count > 0)
    options.load_ms = (uint64_t)load_ms->ival[0];
  if (loaded->count > 0)
    {
      snprintf (model, sizeof model, "%s", loaded->sval[0]);
      char *colon = strchr (model, ':');
      if (colon == NULL)
        return 2;
      *colon = '\0';
      options.model = model;
      options.version = colon + 1;
      options.preloaded = 1;
    }
  if (log->count > 0)
    options.witness = open (log->sval[0], O_CREAT | O_WRONLY | O_APPEND, 0600);
  if (wl_reactor_create (&reactor) != WL_OK)
    return 1;
  if (wl_http_client_create (reactor, &client) != WL_OK)
    return 1;
  int n = count->ival[0] < ENGINES_MAX ? count->ival[0] : ENGINES_MAX;
  for (int i = 0; i < n; i++)
    {
      char name[WL_LABEL_SIZE];
      char domain[WL_LABEL_SIZE];
      uint32_t p = (uint32_t)port->ival[0] + (uint32_t)i;
      snprintf (name, sizeof name, "%.40s-%u", options.service, p);
      engines[i] = engine_create (&options, reactor, client, name,
                                  pick_domain (domains->sval[0], i, domain, sizeof domain),
                                  address->count > 0 ? address->sval[0] : "127.0.0.1", p);
      if (engines[i] == NULL)
        {
          fprintf (stderr, "wl-emulator: port %u cannot be listened on\n", p);
          return 1;
        }
      add_entries (engines[i], entries->sval[0]);
    }
  while (!stop_requested)
    {
      wl_reactor_poll (reactor, TICK_US);
      uint64_t now_us = wl_clock_now_us ();
      wl_http_client_run (client, now_us);
      for (int i = 0; i < n; i++)
        engine_tick (engines[i], now_us);
    }
  return 0;
}
