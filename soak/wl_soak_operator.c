#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_buffer.h"
#include "wl_clock.h"
#include "wl_soak_nodes.h"
#include "wl_soak_operator.h"
#include "wl_soak_request.h"

enum
{
  SUBMIT_TIMEOUT_MS = 2500,
  ASK_TIMEOUT_MS = 3000,
  ACK_US = 5000000,   /* ack_ms of the grown sheet */
  APPLY_US = 2600000, /* config_apply_ms of the grown sheet, and a little */
  ASKED_NODES = 12,
  CHECKS_MAX = 64,
  HEADER_SIZE = 128,
};

/* An acknowledged version that nodes are to be asked for. */
typedef struct
{
  uint64_t due_us; /* 0 for none */
  uint64_t version;
  uint32_t route; /* the newest */
} Check;

/* A question to a node. */
typedef struct
{
  uint32_t node;
  uint8_t is_read;
  uint64_t version;
  uint32_t route;
  WlBuffer text;
} Question;

static const WlSoak *run;
static uint64_t version;
static uint64_t submitted; /* latest version that was sent */
static uint64_t asked_us;  /* when the newest version was sent first, 0 before */
static uint64_t change_us;
static uint64_t slowest_us; /* acknowledgement */
static uint32_t node;
static uint32_t n_routes;
static uint32_t n_acknowledged;
static uint32_t n_asked;
static uint32_t n_unserved;
static uint32_t n_unread;
static uint8_t is_submitting;
static uint8_t is_configured;
static uint8_t is_late;
static Check checks[CHECKS_MAX];
static uint32_t next_check;
static uint64_t random_state;

void
wl_soak_operator_open (const WlSoak *soak)
{
  run = soak;
  version = soak->options.first_version;
  n_routes = soak->options.n_routes;
  random_state = soak->options.seed;
}

/* Returns the text, to be freed. */
static char *
write_config (void)
{
  char *text = NULL;
  size_t size;
  FILE *f = open_memstream (&text, &size);
  if (f == NULL)
    abort ();
  fprintf (f, "{\"version\":%llu,\"routes\":[", (unsigned long long)version);
  for (int i = 0; i < WL_SOAK_KINDS; i++)
    {
      const WlSoakKindInfo *k = &wl_soak_kinds[i];
      /* Versions differ in the priority of routes, which changes no answer. */
      fprintf (f,
               "%s{\"name\":\"r-%s\",\"hostname\":\"soak.example\",\"path_prefix\":\"/%s/\","
               "\"kind\":\"%s\",\"timeout_ms\":%u,\"slo_ms\":%u,\"priority\":%u,"
               "\"service\":\"service%u\",\"attempts\":2,\"auth_exempt\":false,"
               "\"session_affinity\":%s,\"stream_resume\":%s,\"gap_slo_ms\":%u}",
               i > 0 ? "," : "", k->name, k->name, k->route_kind, k->timeout_ms, k->objective_ms,
               (unsigned)(version % 3), k->service, k->service == 0 ? "true" : "false",
               k->may_resume ? "true" : "false", k->service == 0 ? 600u : 0u);
    }
  for (uint32_t i = 0; i < n_routes; i++)
    fprintf (f,
             ",{\"name\":\"x-%u\",\"hostname\":\"soak.example\",\"path_prefix\":\"/x-%u/\","
             "\"kind\":\"idempotent\",\"timeout_ms\":2000,\"slo_ms\":300,\"priority\":1,"
             "\"service\":\"service1\",\"attempts\":2,\"auth_exempt\":false,"
             "\"session_affinity\":false,\"stream_resume\":false,\"gap_slo_ms\":0}",
             i, i);
  fprintf (f,
           "],\"services\":[{\"name\":\"service0\",\"health_path\":\"/health\","
           "\"max_connections\":294,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":%d,"
           "\"kv_tokens\":232000,\"kv_bytes\":327680,\"link_mbps\":400000.0,\"stride\":4,"
           "\"models\":[{\"name\":\"m\"}],\"step_ms\":%d.0,\"per_seq_ms\":0.02,"
           "\"context_per_k\":0.004,\"read_per_s\":%d.0,\"pairs_per_m\":0.001,\"chunk\":2048,"
           "\"report_lag_ms\":200.0,\"usual\":{\"prompt\":25000,\"answer\":30},\"hop_ms\":0.075}},"
           "{\"name\":\"service1\",\"health_path\":\"/health\",\"max_connections\":56,"
           "\"protocol\":\"h1\",\"tls\":false}],",
           WL_SOAK_SLOTS, WL_SOAK_STEP_MS, WL_SOAK_PREFILL_PER_S);
  fprintf (f, "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
              "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
              "\"tenants\":[{\"name\":\"tenant0\",\"api_keys\":[\"key-0\"],\"priority\":1},"
              "{\"name\":\"tenant1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}");
  fclose (f);
  return text;
}

static void
note_acknowledged (uint64_t now_us)
{
  is_configured = 1;
  slowest_us = now_us - asked_us > slowest_us ? now_us - asked_us : slowest_us;
  if (n_routes == 0)
    return;
  checks[next_check++ % CHECKS_MAX] = (Check){ now_us + APPLY_US, version, n_routes - 1 };
}

static void
on_submitted (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  (void)data;
  (void)call;
  is_submitting = 0;
  n_acknowledged += result->status == 200;
  if (result->status == 200 && submitted == version && !is_configured)
    note_acknowledged (wl_clock_now_us ());
  if (result->status / 100 == 4)
    wl_soak_broken ("the configuration was refused: %u", result->status);
  node = (node + 1) % run->options.n_nodes;
}

static void
submit (uint64_t now_us)
{
  if (is_configured || is_submitting)
    return;
  char *config = write_config ();
  is_submitting = 1;
  submitted = version;
  if (asked_us == 0)
    asked_us = now_us;
  WlHttpParams params = {
    .method = "POST",
    .port = WL_SOAK_CONTROL_PORT,
    .path = "/api/Config.Replace",
    .type = "application/json",
    .body = { (const uint8_t *)config, (uint32_t)strlen (config) },
    .timeout_ms = SUBMIT_TIMEOUT_MS,
    .done = on_submitted,
  };
  wl_soak_call_with (run, node, &params);
  free (config);
}

/* One that no node has acknowledged in a stretch of ACK_US in which the core was stable. */
static void
judge_wait (uint64_t now_us)
{
  if (is_configured || is_late || asked_us == 0 || now_us < asked_us + ACK_US
      || !wl_soak_nodes_is_core_stable (now_us, ACK_US + WL_SOAK_STABLE_US))
    return;
  is_late = 1;
  wl_soak_broken ("configuration %llu was not acknowledged within %.1f s",
                  (unsigned long long)version, (double)(now_us - asked_us) / 1e6);
}

/* ---- what is in force ---- */

static void
on_answer_part (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes)
{
  Question *q = data;
  (void)call;
  if (status == 200)
    wl_buffer_append (&q->text, bytes);
}

static void
judge_read (const Question *q, const WlHttpResult *result)
{
  char text[256] = "";
  WlBytes bytes = wl_buffer_bytes (&q->text);
  const uint8_t *found
      = bytes.size > 0 ? memmem (bytes.data, bytes.size, "\"version\":", 10) : NULL;
  if (result->status / 100 == 5 || !result->is_complete)
    {
      n_unread++;
      return;
    }
  if (found != NULL)
    snprintf (text, sizeof text, "%.*s",
              (int)(bytes.data + bytes.size - found - 10 < 20 ? bytes.data + bytes.size - found - 10
                                                              : 20),
              (const char *)found + 10);
  if (strtoull (text, NULL, 10) < q->version)
    wl_soak_broken ("node %u read back configuration %llu instead of %llu, status %u", q->node,
                    strtoull (text, NULL, 10), (unsigned long long)q->version, result->status);
}

static void
on_answered (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  Question *q = data;
  (void)call;
  n_asked++;
  if (q->is_read)
    judge_read (q, result);
  else if (result->status == 401 || result->status == 403 || result->status == 404)
    wl_soak_broken ("node %u answered %u on route x-%u of configuration %llu", q->node,
                    result->status, q->route, (unsigned long long)q->version);
  else
    n_unserved += result->status != 200;
  wl_buffer_clear (&q->text);
  free (q);
}

static void
ask (uint32_t number, int is_read, const Check *check)
{
  char path[64] = "/api/Config.Read";
  char header[HEADER_SIZE];
  Question *q = calloc (1, sizeof *q);
  if (q == NULL)
    abort ();
  *q = (Question){
    .node = number, .is_read = (uint8_t)is_read, .version = check->version, .route = check->route
  };
  if (!is_read)
    snprintf (path, sizeof path, "/x-%u/a", check->route);
  snprintf (header, sizeof header,
            "Host: soak.example\r\nX-Api-Key: key-0\r\nX-Attempt-Id: probe%08x%08x",
            (uint32_t)wl_soak_random (&random_state), number);
  WlHttpParams params = {
    .method = "GET",
    .port = is_read ? WL_SOAK_CONTROL_PORT : WL_SOAK_FRONT_PORT,
    .path = path,
    .header = is_read ? NULL : header,
    .fresh = 1,
    .timeout_ms = ASK_TIMEOUT_MS,
    .received = on_answer_part,
    .done = on_answered,
    .data = q,
  };
  wl_soak_call_with (run, number, &params);
}

/* Reads are judged at any node, requests only at nodes in touch. */
static void
ask_nodes (const Check *check, uint64_t now_us)
{
  uint32_t first = wl_soak_between (&random_state, 0, run->options.n_nodes - 1);
  int is_stable = wl_soak_nodes_is_core_stable (now_us, WL_SOAK_STABLE_US);
  uint32_t n = 0;
  for (uint32_t i = 0; i < run->options.n_nodes && n < ASKED_NODES; i++)
    {
      uint32_t number = (first + i) % run->options.n_nodes;
      if (!wl_soak_nodes_is_calm (number, now_us, 0))
        continue;
      n++;
      ask (number, 1, check);
      if (is_stable && wl_soak_nodes_is_calm (number, now_us, WL_SOAK_STABLE_US))
        ask (number, 0, check);
    }
}

void
wl_soak_operator_tick (uint64_t now_us)
{
  const WlSoakOptions *o = &run->options;
  uint64_t end_us = run->begin_us + (uint64_t)o->seconds * 1000000;
  if (run->begin_us != 0 && o->config_every_ms > 0 && is_configured && now_us >= change_us
      && now_us < end_us)
    {
      change_us = now_us + o->config_every_ms * UINT64_C (1000);
      n_routes += o->routes_step;
      wl_soak_operator_change ();
    }
  submit (now_us);
  judge_wait (now_us);
  for (uint32_t i = 0; i < CHECKS_MAX; i++)
    if (checks[i].due_us != 0 && now_us >= checks[i].due_us)
      {
        ask_nodes (&checks[i], now_us);
        checks[i].due_us = 0;
      }
}

void
wl_soak_operator_change (void)
{
  version += 1 + version % 3;
  is_configured = 0;
  is_late = 0;
  asked_us = 0;
}

int
wl_soak_operator_is_done (void)
{
  return is_configured;
}

uint32_t
wl_soak_operator_report (void)
{
  printf ("configurations: acknowledged=%u slowest=%.3f s routes=%u; questions=%u not served=%u "
          "not read=%u\n",
          n_acknowledged, (double)slowest_us / 1e6, n_routes, n_asked, n_unserved, n_unread);
  return n_acknowledged;
}
