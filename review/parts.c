/*
 * One part of prompts ends each engine that begins to write an answer on it. It is counted how many
 * requests with it still reach engines long after the fifth end.
 */
#include "parts.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NODES = 3,
  ENGINES_MAX = 16,
  CLIENTS = 10,
  REQUESTS_MAX = 20000,
  CALM_MS = 6000, /* before the first request with the part */
  BAD_FOR_MS = 28000,
  BACK_MS = 3000,   /* until an engine that ended is back */
  STABLE_MS = 3000, /* stable_window_ms */
  PREFILL_MS = 40,
  EVENTS = 6,
  EVENT_MS = 20,
  ALLOWED = 3,
};

typedef struct
{
  int is_bad;
  int64_t sent_ms;
  int n_arrivals;
  int64_t arrived_ms[4];
  int status;
  int is_whole;
} Request;

static KitNode nodes[NODES];
static KitWorker engines[ENGINES_MAX];
static Request requests[REQUESTS_MAX];
static volatile int n_requests;
static volatile int64_t back_ms[ENGINES_MAX]; /* when an engine that ended is back, 0: it runs */
static volatile int n_starts[ENGINES_MAX];
static int64_t ends_ms[1000];
static int n_ends;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static volatile int is_over;
static PartsPlan plan;

static const char manifest[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"review.example\","
      "\"path_prefix\":\"/quote/\",\"kind\":\"streaming\",\"timeout_ms\":10000,\"slo_ms\":300,"
      "\"priority\":1,\"service\":\"asistente\",\"attempts\":2,\"auth_exempt\":false,"
      "\"session_affinity\":true,\"stream_resume\":true,\"gap_slo_ms\":250}],"
      "\"services\":[{\"name\":\"asistente\",\"health_path\":\"/health\",\"max_connections\":294,"
      "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":16,\"kv_tokens\":232000,"
      "\"kv_bytes\":327680,\"link_mbps\":400000.0,\"stride\":43,\"models\":[{\"name\":\"m\"}],"
      "\"step_ms\":1.02,\"per_seq_ms\":0.00226,\"context_per_k\":0.00431,"
      "\"read_per_s\":206000.0,\"pairs_per_m\":0.138,\"chunk\":2048,\"report_lag_ms\":200.0,"
      "\"usual\":{\"prompt\":6000,\"answer\":200},\"hop_ms\":0.075}}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
      "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";

static void
end_engine (KitWorker *w)
{
  pthread_mutex_lock (&mutex);
  if (back_ms[w->number] == 0)
    {
      back_ms[w->number] = kit_now_ms () + BACK_MS;
      if (n_ends < 1000)
        ends_ms[n_ends++] = kit_now_ms ();
      kit_record ("engine %s ends (end %d)", w->id, n_ends);
      kit_worker_end (w);
    }
  pthread_mutex_unlock (&mutex);
}

static int
serve (KitWorker *w, int fd, const KitMessage *request)
{
  char text[512];
  char id[64];
  char chunk[64];
  char last[32];
  kit_field (request, "X-Attempt-Id", id, sizeof id);
  kit_field (request, "Last-Event-Id", last, sizeof last);
  unsigned long index = strtoul (id, NULL, 16);
  if (index >= REQUESTS_MAX)
    return 0;
  Request *r = &requests[index];
  int n = __atomic_fetch_add (&r->n_arrivals, 1, __ATOMIC_SEQ_CST);
  if (n < 4)
    r->arrived_ms[n] = kit_now_ms ();
  kit_sleep_ms (PREFILL_MS);
  if (w->is_closed)
    return 0;
  if (r->is_bad && kit_has_trouble ())
    {
      end_engine (w); /* before the first byte of the answer */
      return 0;
    }
  n = snprintf (text, sizeof text,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\n"
                "X-Server-Seal: seal-%s\r\nX-Weight-Versions: 1\r\n"
                "Transfer-Encoding: chunked\r\n\r\n",
                id, id);
  if (!kit_send (fd, text, (size_t)n))
    return 0;
  for (int i = atoi (last) + 1; i <= EVENTS; i++)
    {
      kit_sleep_ms (EVENT_MS);
      int size = snprintf (chunk, sizeof chunk, "id: %d\ndata: %s-%d\n\n", i, id, i);
      n = snprintf (text, sizeof text, "%x\r\n%s\r\n", (unsigned)size, chunk);
      if (w->is_closed || !kit_send (fd, text, (size_t)n))
        return 0;
    }
  return kit_send (fd, "0\r\n\r\n", 5);
}

static void
open_engine (KitWorker *w)
{
  if (!plan.keeps_ids || n_starts[w->number] == 0)
    snprintf (w->id, sizeof w->id, "i-%d-%d", w->number + 1, ++n_starts[w->number]);
  w->sequence = 0;
  if (!kit_worker_open (w))
    kit_record ("engine %s cannot open its port", w->id);
}

/* Check-ins, and starts of engines that ended. */
static void *
run_engine (void *data)
{
  KitWorker *w = data;
  int turn = w->number;
  int64_t beat_ms = 0;
  while (!is_over)
    {
      kit_sleep_ms (50);
      if (back_ms[w->number] != 0)
        {
          if (kit_now_ms () < back_ms[w->number])
            continue;
          open_engine (w);
          back_ms[w->number] = 0;
          beat_ms = 0;
        }
      if (kit_now_ms () < beat_ms)
        continue;
      kit_worker_beat (w, nodes[turn++ % NODES].host, "ready");
      beat_ms = kit_now_ms () + 1200;
    }
  return NULL;
}

/* Parts that all requests of this caller share, but for the last; a bad request has another one. */
static void
write_prompt (int index, int is_bad, char *out, size_t size)
{
  size_t used = 0;
  for (int i = 1; i < plan.n_parts; i++)
    used += (size_t)snprintf (out + used, size - used, "%x:%d,",
                              is_bad && i == plan.bad_part ? 0xbad : 0x5c000000 + i,
                              plan.part_tokens);
  snprintf (out + used, size - used, "%x:%d", 0xe0000000 + (unsigned)index, plan.part_tokens);
}

static void
send_request (int is_bad)
{
  KitMessage *answer = malloc (sizeof *answer);
  char prompt[1024];
  char fields[2048];
  int index = __atomic_add_fetch (&n_requests, 1, __ATOMIC_SEQ_CST);
  if (answer == NULL || index >= REQUESTS_MAX)
    {
      free (answer);
      return;
    }
  Request *r = &requests[index];
  r->is_bad = is_bad;
  r->sent_ms = kit_now_ms ();
  write_prompt (index, is_bad, prompt, sizeof prompt);
  snprintf (fields, sizeof fields,
            "Host: review.example\r\nX-Attempt-Id: %08x\r\nX-Deadline-Ms: 10000\r\n"
            "X-Api-Key: key-1\r\nX-Model: m\r\nX-Token-Count: %d,200\r\nX-Prompt-Prefix: %s\r\n",
            (unsigned)index, plan.n_parts * plan.part_tokens, prompt);
  r->status = kit_call (nodes[index % NODES].host, KIT_FRONT_PORT, "POST", "/quote/1", fields,
                        "{\"q\":1}", 12000, answer);
  r->is_whole = r->status == 200;
  free (answer);
}

static void *
run_client (void *data)
{
  int is_bad = data != NULL;
  while (!is_over)
    {
      send_request (is_bad);
      kit_sleep_ms (is_bad ? plan.bad_every_ms : 100);
    }
  return NULL;
}

static int
judge (void)
{
  int n_late = 0;
  int n_bad = 0;
  int n_sound = 0;
  int n_lost = 0;
  int64_t from_ms = n_ends >= 5 ? ends_ms[4] + STABLE_MS : INT64_MAX;
  for (int i = 1; i <= n_requests && i < REQUESTS_MAX; i++)
    {
      const Request *r = &requests[i];
      kit_note (
          "request %08x%s to %s: sent at %.3f, %d arrivals at engines (first %.3f, last %.3f), "
          "answered %d",
          (unsigned)i, r->is_bad ? " with the bad part" : "", kit_ip (nodes[i % NODES].host),
          (double)r->sent_ms / 1000.0, r->n_arrivals, (double)r->arrived_ms[0] / 1000.0,
          (double)r->arrived_ms[r->n_arrivals > 1 && r->n_arrivals < 4 ? r->n_arrivals - 1 : 0]
              / 1000.0,
          r->status);
      n_bad += r->is_bad;
      n_sound += !r->is_bad;
      n_lost += !r->is_bad && !r->is_whole;
      for (int k = 0; r->is_bad && k < r->n_arrivals && k < 4; k++)
        n_late += r->arrived_ms[k] > from_ms;
    }
  kit_record ("%d requests with the part, %d ends of engines; %d arrivals of such requests later "
              "than %d ms after the fifth end (allowed: %d)",
              n_bad, n_ends, n_late, STABLE_MS, ALLOWED);
  kit_record ("%d sound requests, %d of them not answered whole", n_sound, n_lost);
  return n_late > ALLOWED;
}

int
parts_run (const PartsPlan *given, int argc, char **argv)
{
  pthread_t threads[ENGINES_MAX + CLIENTS + 1];
  int n_threads = 0;
  plan = *given;
  if (!kit_open (argc, argv))
    return 2;
  for (int i = 0; i < NODES; i++)
    {
      nodes[i] = (KitNode){
        .host = i + 1, .has_disk = 1, .is_bootstrap = 1, .n_seeds = 3, .seeds = { 1, 2, 3 }
      };
      kit_node_start (&nodes[i]);
    }
  if (!kit_submit (nodes, NODES, manifest, 15000))
    return kit_close (2);
  for (int i = 0; i < plan.n_engines; i++)
    {
      engines[i] = (KitWorker){ .number = i, .service = "asistente", .slots = 16, .serve = serve };
      open_engine (&engines[i]);
      pthread_create (&threads[n_threads++], NULL, run_engine, &engines[i]);
    }
  kit_sleep_ms (4000);
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&threads[n_threads++], NULL, run_client, NULL);
  kit_sleep_ms (CALM_MS);
  kit_record ("requests with the bad part begin; it is number %d of %d", plan.bad_part,
              plan.n_parts);
  pthread_create (&threads[n_threads++], NULL, run_client, &plan);
  kit_sleep_ms (BAD_FOR_MS);
  is_over = 1;
  for (int i = 0; i < n_threads; i++)
    pthread_join (threads[i], NULL);
  int is_broken = judge ();
  kit_record ("%s", is_broken ? "BROKEN: BUDGET" : "held");
  return kit_close (is_broken);
}
