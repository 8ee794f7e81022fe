#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics_double.h>
#include <jansson.h>
#include "wl_clock.h"
#include "wl_engine.h"
#include "wl_http_client.h"
#include "wl_prefix.h"
#include "wl_table.h"

/*
 * Load generator: open loop with Poisson arrivals and the prompt mix of the
 * users. For each request it records class, time to first token, gaps between
 * tokens and outcome, and checks that the answer is whole and its own. All
 * times are divided by the same speed as the emulated engines' and are
 * reported in unscaled units.
 */

enum
{
  CLASSES = 4,
  CUSTOMERS_MAX = 64,
  ENTRIES_MAX = 64,
  FILLER_BYTES = 4500000,
  LINE_SIZE = 65536,
  CALLER_TRIES = 5, /* addresses that a caller tries */
  SESSIONS = 120,   /* of the mix "sessions" */
  SESSION_BYTES = 20000,
  SESSION_FIRST_TOKENS = 2048, /* sessions begin with this, twice, four or eight times as much */
};

static const double class_limit[CLASSES] = { 4096, 32768, 131072, 1000000 };
static const char *const class_name[CLASSES] = { "to 4k", "to 32k", "to 128k", "to 1M" };
/* Share of requests: one prompt in fifty is over a hundred thousand tokens. */
static const double class_share[CLASSES] = { 0.84, 0.11, 0.035, 0.015 };
static const double class_from[CLASSES] = { 1000, 4096, 32768, 131072 };
static const double class_tokens_out[CLASSES] = { 100, 150, 200, 200 };

typedef enum
{
  OUTCOME_OPEN,
  OUTCOME_DONE,
  OUTCOME_REFUSED,
  OUTCOME_FAILED,
  OUTCOME_WRONG, /* not whole, doubled or not its own */
} Outcome;

typedef struct
{
  int class_index;
  int customer;
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  uint64_t prompt_hash;
  size_t offset;       /* of the text in the filler */
  size_t shared_bytes; /* of the text, from its beginning */
  uint64_t due_us;
  uint64_t sent_us;
  uint64_t first_us;
  uint64_t last_us;
  uint64_t end_us;
  uint64_t tokens;
  Outcome outcome;
  uint32_t status;
  uint8_t is_whole;
  uint32_t index;
  uint32_t tries;
  char *line;
  size_t line_size;
} Request;

typedef struct
{
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
} EntryAddress;

typedef struct
{
  WlReactor *reactor;
  WlHttpClient *client;
  EntryAddress entries[ENTRIES_MAX];
  uint32_t n_entries;
  const char *service;
  const char *keys[CUSTOMERS_MAX];
  double weights[CUSTOMERS_MAX];
  uint32_t n_customers;
  double speed;
  Request *requests;
  uint32_t n_requests;
  uint32_t n_open;
  char *filler;
  gsl_rng *rng;
  double *gaps;
  uint32_t n_gaps;
  uint32_t gaps_capacity;
} Load;

static Load load;

static void
add_gap (double ms)
{
  if (load.n_gaps == load.gaps_capacity)
    {
      load.gaps_capacity = load.gaps_capacity > 0 ? 2 * load.gaps_capacity : 65536;
      load.gaps = realloc (load.gaps, load.gaps_capacity * sizeof *load.gaps);
      if (load.gaps == NULL)
        abort ();
    }
  load.gaps[load.n_gaps++] = ms;
}

/* ---- answers ---- */

static void
take_token (Request *r, const char *text)
{
  char expected[16];
  uint64_t now_us = wl_clock_now_us ();
  engine_token_text (r->prompt_hash, r->tokens, expected);
  if (strcmp (text, expected) != 0)
    r->outcome = OUTCOME_WRONG;
  if (r->tokens == 0)
    r->first_us = now_us;
  else
    add_gap ((double)(now_us - r->last_us) / 1000 * load.speed);
  r->last_us = now_us;
  r->tokens++;
}

static void
take_line (Request *r, const char *line)
{
  if (strcmp (line, "data: [DONE]") == 0)
    r->is_whole = 1;
  if (strncmp (line, "data: {", 7) != 0)
    return;
  json_t *root = json_loads (line + 6, 0, NULL);
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const char *s
      = json_string_value (json_object_get (json_object_get (choice, "delta"), "content"));
  if (s != NULL)
    take_token (r, s);
  json_decref (root);
}

static void
received (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes)
{
  Request *r = data;
  (void)call;
  if (status != 200)
    return;
  for (uint32_t i = 0; i < bytes.size; i++)
    {
      if (r->line == NULL)
        r->line = malloc (LINE_SIZE);
      if (r->line == NULL)
        abort ();
      if (bytes.data[i] != '\n')
        {
          if (r->line_size + 1 < LINE_SIZE)
            r->line[r->line_size++] = (char)bytes.data[i];
          continue;
        }
      r->line[r->line_size] = '\0';
      r->line_size = 0;
      take_line (r, r->line);
    }
}

static void send_request (uint32_t index);

static void
done (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  Request *r = data;
  (void)call;
  r->end_us = wl_clock_now_us ();
  r->status = result->status;
  load.n_open--;
  /* As callers do: an address that does not answer is given up for another one. */
  if (!result->is_sent && ++r->tries < CALLER_TRIES)
    {
      send_request (r->index);
      return;
    }
  free (r->line);
  r->line = NULL;
  if (r->outcome == OUTCOME_WRONG)
    return;
  if (result->status == 200 && r->is_whole)
    r->outcome = r->tokens == r->max_tokens ? OUTCOME_DONE : OUTCOME_WRONG;
  else if (result->status == 429 || result->status == 503 || result->status == 413)
    r->outcome = OUTCOME_REFUSED;
  else
    r->outcome = OUTCOME_FAILED;
}

/* ---- requests ---- */

static int
pick_class (const char *mix)
{
  double x = gsl_rng_uniform (load.rng);
  int c = 0;
  if (strcmp (mix, "short") == 0)
    return 0;
  if (strcmp (mix, "long") == 0)
    return x < 0.7 ? 2 : 3;
  while (c + 1 < CLASSES && x >= class_share[c])
    x -= class_share[c++];
  return c;
}

static uint32_t
pick_customer (void)
{
  double total = 0;
  for (uint32_t i = 0; i < load.n_customers; i++)
    total += load.weights[i];
  double x = gsl_rng_uniform (load.rng) * total;
  uint32_t c = 0;
  while (c + 1 < load.n_customers && x >= load.weights[c])
    x -= load.weights[c++];
  return c;
}

/* One of the sessions, of which few have most requests, and a question of a hundred to 600 tokens.
 */
static void
draw_session (Request *r)
{
  double u = gsl_rng_uniform (load.rng);
  uint32_t session = (uint32_t)(SESSIONS * u * u);
  uint64_t shared = (uint64_t)SESSION_FIRST_TOKENS << session % 4;
  r->prompt_tokens = shared + 100 + gsl_rng_uniform_int (load.rng, 500);
  r->class_index = 0;
  while ((double)r->prompt_tokens > class_limit[r->class_index])
    r->class_index++;
  r->offset = (size_t)session * SESSION_BYTES;
  r->shared_bytes = shared * WL_BYTES_PER_TOKEN;
}

static void
draw_request (Request *r, const char *mix, uint64_t due_us)
{
  memset (r, 0, sizeof *r);
  /* The same draws are made for every mix, so that shorts alone are the mixed run's shorts. */
  r->class_index = pick_class (mix);
  int c = r->class_index;
  double u = gsl_rng_uniform (load.rng);
  r->prompt_tokens = (uint64_t)(class_from[c] * pow (class_limit[c] / class_from[c], u));
  r->max_tokens = (uint64_t)(gsl_ran_gamma (load.rng, 4, class_tokens_out[c] / 4)) + 8;
  r->customer = (int)pick_customer ();
  /* A prefix of a quarter of the prompt is shared by the customer's requests. */
  r->offset = (size_t)r->customer * 97;
  r->shared_bytes = r->prompt_tokens * WL_BYTES_PER_TOKEN / 4;
  if (strcmp (mix, "sessions") == 0)
    draw_session (r);
  r->due_us = due_us;
}

static char *
make_body (Request *r, uint32_t index, size_t *size)
{
  size_t prompt = r->prompt_tokens * WL_BYTES_PER_TOKEN;
  char head[128];
  char tail[96];
  int n = snprintf (head, sizeof head,
                    "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"",
                    load.service);
  int m = snprintf (tail, sizeof tail, "\"}],\"stream\":true,\"max_tokens\":%" PRIu64 "}",
                    r->max_tokens);
  char *body = malloc ((size_t)n + prompt + (size_t)m + 1);
  if (body == NULL)
    abort ();
  memcpy (body, head, (size_t)n);
  char *text = body + n;
  memcpy (text, load.filler + r->offset, prompt);
  char unique[24];
  int k = snprintf (unique, sizeof unique, "%020u", index + 1);
  for (size_t at = r->shared_bytes; at + (size_t)k < prompt; at += 2000)
    memcpy (text + at, unique, (size_t)k);
  r->prompt_hash = wl_hash_bytes (text, prompt, 0);
  memcpy (text + prompt, tail, (size_t)m + 1);
  *size = (size_t)n + prompt + (size_t)m;
  return body;
}

static void
send_request (uint32_t index)
{
  Request *r = &load.requests[index];
  char header[256];
  size_t size = 0;
  char *body = make_body (r, index, &size);
  const EntryAddress *e = &load.entries[gsl_rng_uniform_int (load.rng, load.n_entries)];
  snprintf (header, sizeof header, "Authorization: Bearer %s", load.keys[r->customer]);
  WlHttpParams p = { .method = "POST",
                     .address = e->address,
                     .port = e->port,
                     .path = "/v1/chat/completions",
                     .type = "application/json",
                     .body = { (const uint8_t *)body, (uint32_t)size },
                     .header = header,
                     .timeout_ms = 400000,
                     .received = received,
                     .done = done,
                     .data = r };
  r->index = index;
  if (r->tries == 0)
    r->sent_us = wl_clock_now_us ();
  load.n_open++;
  wl_http_client_call (load.client, &p);
  free (body);
}

/* ---- report ---- */

typedef struct
{
  uint32_t sent;
  uint32_t done;
  uint32_t refused;
  uint32_t failed;
  uint32_t wrong;
  uint32_t open;
  double p50;
  double p95;
  double p99;
  double refusal_p95;
} Summary;

static double
quantile (double *values, size_t n, double q)
{
  if (n == 0)
    return 0;
  gsl_sort (values, 1, n);
  return gsl_stats_quantile_from_sorted_data (values, 1, n, q);
}

/* Sums up requests of one class or customer; -1 stands for all. */
static Summary
summarize (int class_index, int customer)
{
  Summary s = { 0 };
  double *first = malloc ((load.n_requests + 1) * sizeof *first);
  double *refusal = malloc ((load.n_requests + 1) * sizeof *refusal);
  size_t n = 0;
  size_t m = 0;
  if (first == NULL || refusal == NULL)
    abort ();
  for (uint32_t i = 0; i < load.n_requests; i++)
    {
      const Request *r = &load.requests[i];
      if (class_index >= 0 && r->class_index != class_index)
        continue;
      if (customer >= 0 && r->customer != customer)
        continue;
      s.sent++;
      s.done += r->outcome == OUTCOME_DONE;
      s.refused += r->outcome == OUTCOME_REFUSED;
      s.failed += r->outcome == OUTCOME_FAILED;
      s.wrong += r->outcome == OUTCOME_WRONG;
      s.open += r->outcome == OUTCOME_OPEN;
      if (r->outcome == OUTCOME_DONE)
        first[n++] = (double)(r->first_us - r->sent_us) / 1000 * load.speed;
      if (r->outcome == OUTCOME_REFUSED)
        refusal[m++] = (double)(r->end_us - r->sent_us) / 1000;
    }
  s.p50 = quantile (first, n, 0.50);
  s.p95 = quantile (first, n, 0.95);
  s.p99 = quantile (first, n, 0.99);
  s.refusal_p95 = quantile (refusal, m, 0.95);
  free (first);
  free (refusal);
  return s;
}

static json_t *
summary_json (const Summary *s)
{
  return json_pack ("{s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:f,s:f,s:f}", "sent", (int)s->sent, "done",
                    (int)s->done, "refused", (int)s->refused, "failed", (int)s->failed, "wrong",
                    (int)s->wrong, "open", (int)s->open, "p50_ms", s->p50, "p95_ms", s->p95,
                    "p99_ms", s->p99, "refusal_p95_wall_ms", s->refusal_p95);
}

static void
print_report (double seconds, int is_json)
{
  uint64_t tokens = 0;
  json_t *classes = json_array ();
  json_t *customers = json_array ();
  for (uint32_t i = 0; i < load.n_requests; i++)
    if (load.requests[i].outcome == OUTCOME_DONE)
      tokens += load.requests[i].tokens;
  double gap_p95 = quantile (load.gaps, load.n_gaps, 0.95);
  if (!is_json)
    printf ("%-10s %6s %6s %7s %6s %5s %9s %9s %9s\n", "class", "sent", "done", "refused", "failed",
            "wrong", "p50 ms", "p95 ms", "p99 ms");
  for (int c = -1; c < CLASSES; c++)
    {
      Summary s = summarize (c, -1);
      if (!is_json)
        printf ("%-10s %6u %6u %7u %6u %5u %9.0f %9.0f %9.0f\n", c < 0 ? "all" : class_name[c],
                s.sent, s.done, s.refused, s.failed, s.wrong + s.open, s.p50, s.p95, s.p99);
      json_array_append_new (classes, summary_json (&s));
    }
  for (uint32_t c = 0; c < load.n_customers; c++)
    {
      Summary s = summarize (-1, (int)c);
      json_array_append_new (customers, summary_json (&s));
    }
  if (is_json)
    {
      json_t *out
          = json_pack ("{s:o,s:o,s:f,s:f}", "classes", classes, "customers", customers,
                       "tokens_per_second", (double)tokens / seconds, "gap_p95_ms", gap_p95);
      char *text = json_dumps (out, JSON_COMPACT | JSON_REAL_PRECISION (6));
      printf ("%s\n", text);
      free (text);
      json_decref (out);
      return;
    }
  printf ("between tokens p95 %.1f ms, %.0f tokens/s in whole answers\n", gap_p95,
          (double)tokens / seconds);
  json_decref (classes);
  json_decref (customers);
}

/* ---- main ---- */

static void
parse_entries (const char *list)
{
  char copy[4096];
  char *state = NULL;
  snprintf (copy, sizeof copy, "%s", list);
  for (char *item = strtok_r (copy, ",", &state); item != NULL; item = strtok_r (NULL, ",", &state))
    {
      char *colon = strrchr (item, ':');
      if (colon == NULL || load.n_entries == ENTRIES_MAX)
        continue;
      *colon = '\0';
      EntryAddress *e = &load.entries[load.n_entries++];
      snprintf (e->address, sizeof e->address, "%s", item);
      e->port = (uint32_t)strtoul (colon + 1, NULL, 10);
    }
}

static void
parse_keys (char *list, double heavy)
{
  char *state = NULL;
  for (char *item = strtok_r (list, ",", &state); item != NULL; item = strtok_r (NULL, ",", &state))
    {
      load.keys[load.n_customers] = item;
      load.weights[load.n_customers] = load.n_customers == 0 ? heavy : 1;
      load.n_customers++;
    }
}

static void
draw_all (const char *mix, double rate, double seconds, uint64_t begin_us)
{
  double at = 0;
  uint32_t capacity = (uint32_t)(rate * seconds * 1.5) + 100;
  load.requests = calloc (capacity, sizeof *load.requests);
  if (load.requests == NULL)
    abort ();
  while (load.n_requests < capacity)
    {
      at += gsl_ran_exponential (load.rng, 1 / rate);
      if (at > seconds)
        break;
      draw_request (&load.requests[load.n_requests], mix,
                    begin_us + (uint64_t)(at * 1e6 / load.speed));
      /* "only-short" keeps the arrivals of the mixed run and drops the other classes. */
      if (strcmp (mix, "only-short") == 0 && load.requests[load.n_requests].class_index != 0)
        continue;
      if (strcmp (mix, "only-long") == 0 && load.requests[load.n_requests].class_index < 2)
        continue;
      load.n_requests++;
    }
}

static void
run_all (double drain_s)
{
  uint32_t next = 0;
  uint64_t end_us = 0;
  while (next < load.n_requests || load.n_open > 0)
    {
      uint64_t now_us = wl_clock_now_us ();
      while (next < load.n_requests && load.requests[next].due_us <= now_us)
        send_request (next++);
      if (next == load.n_requests && end_us == 0)
        end_us = now_us + (uint64_t)(drain_s * 1e6 / load.speed);
      if (end_us != 0 && now_us > end_us)
        break;
      wl_reactor_poll (load.reactor, 1000);
      wl_http_client_run (load.client, wl_clock_now_us ());
    }
}

int
main (int argc, char **argv)
{
  struct arg_str *entries = arg_str1 (NULL, "entries", "LIST", "IP:PORT of entries");
  struct arg_str *service = arg_str1 (NULL, "service", "NAME", "service name");
  struct arg_str *keys = arg_str1 (NULL, "keys", "LIST", "API keys of the customers");
  struct arg_dbl *rate = arg_dbl1 (NULL, "rate", "X", "requests a second, unscaled");
  struct arg_dbl *seconds = arg_dbl1 (NULL, "seconds", "S", "duration, unscaled");
  struct arg_dbl *drain = arg_dbl0 (NULL, "drain", "S", "longest wait for the last answers (300)");
  struct arg_dbl *speed = arg_dbl0 (NULL, "speed", "X", "time-scale factor (1)");
  struct arg_dbl *heavy = arg_dbl0 (NULL, "heavy", "X", "share of the first customer (1)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed (1)");
  struct arg_str *mix
      = arg_str0 (NULL, "mix", "NAME", "mixed, only-short, only-long, short, long, sessions");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_end *end = arg_end (20);
  void *table[]
      = { entries, service, keys, rate, seconds, drain, speed, heavy, seed, mix, json, end };
  static char key_list[4096];
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "wl-load");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  if (apr_initialize () != APR_SUCCESS)
    return 1;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  load.speed = speed->count > 0 ? speed->dval[0] : 1;
  load.service = service->sval[0];
  parse_entries (entries->sval[0]);
  snprintf (key_list, sizeof key_list, "%s", keys->sval[0]);
  parse_keys (key_list, heavy->count > 0 ? heavy->dval[0] : 1);
  load.rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (load.rng, seed->count > 0 ? (unsigned long)seed->ival[0] : 1);
  load.filler = malloc (FILLER_BYTES);
  if (load.filler == NULL)
    abort ();
  for (size_t i = 0; i < FILLER_BYTES; i++)
    load.filler[i] = (char)('a' + (i * 2654435761U >> 13) % 26);
  if (wl_reactor_create (&load.reactor) != WL_OK)
    return 1;
  if (wl_http_client_create (load.reactor, &load.client) != WL_OK)
    return 1;
  draw_all (mix->count > 0 ? mix->sval[0] : "mixed", rate->dval[0], seconds->dval[0],
            wl_clock_now_us () + 100000);
  run_all (drain->count > 0 ? drain->dval[0] : 300);
  print_report (seconds->dval[0], json->count > 0);
  return 0;
}
