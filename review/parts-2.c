#include "parts-2.h"
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum
{
  STABLE_MS = 3000,      /* stable_window_ms */
  CRASHES_KNOWN = 5,     /* the rule counts after this crash */
  LATE_ARRIVALS_MAX = 3, /* more break the rule */
  DEADLINE_MS = 10000,
};

static const char engine[]
    = "\"health_path\":\"/health\",\"max_connections\":294,\"protocol\":\"h1\",\"tls\":false,"
      "\"engine\":{\"slots\":16,\"kv_tokens\":232000,\"kv_bytes\":327680,\"link_mbps\":400000.0,"
      "\"stride\":1,\"models\":[{\"name\":\"m\"}],\"step_ms\":20,\"per_seq_ms\":0.1,"
      "\"context_per_k\":0.1,\"read_per_s\":20000.0,\"pairs_per_m\":0.138,\"chunk\":2048,"
      "\"report_lag_ms\":200.0,\"loads_per_s\":0.0,\"loads_at_once\":8,\"delays\":[],"
      "\"usual\":{\"prompt\":650,\"answer\":20},\"hop_ms\":0.075}";

/* Number in the name of a route's service; the first one has none. */
static int
service_number (int route, int n_services)
{
  int service = route < n_services ? route : n_services - 1;
  return service > 0 ? service + 1 : 0;
}

void
parts_manifest (char *out, size_t size, int version, int n_routes, int n_services)
{
  size_t n = (size_t)snprintf (out, size, "{\"version\":%d,\"routes\":[", version);
  for (int i = 0; i < n_routes; i++)
    n += (size_t)snprintf (
        out + n, size - n,
        "%s{\"name\":\"r%d\",\"hostname\":\"review.example\",\"path_prefix\":\"/%c/\","
        "\"kind\":\"streaming\",\"timeout_ms\":10000,\"slo_ms\":1000,\"priority\":1,"
        "\"service\":\"llm%.0d\",\"attempts\":2,\"auth_exempt\":false,"
        "\"session_affinity\":true,\"stream_resume\":true,\"gap_slo_ms\":500}",
        i > 0 ? "," : "", i, 'a' + i, service_number (i, n_services));
  n += (size_t)snprintf (out + n, size - n, "],\"services\":[");
  for (int i = 0; i < n_services; i++)
    n += (size_t)snprintf (out + n, size - n, "%s{\"name\":\"llm%.0d\",%s}", i > 0 ? "," : "",
                           i > 0 ? i + 1 : 0, engine);
  snprintf (out + n, size - n,
            "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
}

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static const char *bad_part;
static int n_crashes, n_arrivals, n_late, n_active, n_sent;
static int n_sound, n_sound_served, n_sound_lost;
static int64_t fifth_ms;

typedef struct
{
  const KitNode *node;
  char path[64];
  char prefix[8192];
  char id[32];
  int is_bad;
} Request;

static int
is_bad (const KitCall *call)
{
  char middle[64];
  snprintf (middle, sizeof middle, "%s:", bad_part);
  return strncmp (call->id, "bad-", 4) == 0 && strstr (call->prefix, middle) != NULL;
}

static void
note_arrival (const KitCall *call)
{
  if (!is_bad (call))
    return;
  pthread_mutex_lock (&mutex);
  n_arrivals++;
  int is_late = n_crashes >= CRASHES_KNOWN && call->at_ms > fifth_ms + STABLE_MS;
  n_late += is_late;
  pthread_mutex_unlock (&mutex);
  if (is_late)
    kit_log ("LATE: request=%s with the part reaches worker id=%s, %d ms after the fifth crash",
             call->id, call->worker->id, (int)(call->at_ms - fifth_ms));
}

static void
note_crash (const KitCall *call)
{
  (void)call;
  pthread_mutex_lock (&mutex);
  if (++n_crashes == CRASHES_KNOWN)
    fifth_ms = kit_now_ms ();
  pthread_mutex_unlock (&mutex);
}

void
parts_begin (const char *bad)
{
  bad_part = bad;
  kit_arrived = note_arrival;
  kit_crashed = note_crash;
  for (int i = 0; i < kit_n_workers; i++)
    kit_workers[i].bad_part = kit_has_trouble () ? bad : NULL;
}

static void *
run_request (void *data)
{
  Request *r = data;
  KitRequest request = {
    .id = r->id, .path = r->path, .prefix = r->prefix, .tokens = 650, .deadline_ms = DEADLINE_MS
  };
  KitAnswer answer = kit_send (r->node, &request);
  pthread_mutex_lock (&mutex);
  if (!r->is_bad)
    {
      int is_served = answer.status == 200 && answer.is_whole;
      n_sound++;
      n_sound_served += is_served;
      n_sound_lost += !is_served && answer.status != 503;
    }
  n_active--;
  pthread_mutex_unlock (&mutex);
  free (r);
  return NULL;
}

void
parts_send (const KitNode *node, const char *path, const char *prefix, int bad)
{
  pthread_t thread;
  Request *r = calloc (1, sizeof *r);
  if (r == NULL)
    kit_fail ("memory");
  pthread_mutex_lock (&mutex);
  int number = ++n_sent;
  n_active++;
  pthread_mutex_unlock (&mutex);
  r->node = node;
  r->is_bad = bad;
  snprintf (r->path, sizeof r->path, "%s", path);
  snprintf (r->prefix, sizeof r->prefix, "%s,%x:300", prefix, 0xe0000000U + (unsigned)number);
  snprintf (r->id, sizeof r->id, "%s-%d", bad ? "bad" : "sound", number);
  if (pthread_create (&thread, NULL, run_request, r) != 0)
    kit_fail ("threads");
  pthread_detach (thread);
}

void
parts_wait (void)
{
  for (int n = 1; n > 0;)
    {
      kit_sleep_until (kit_now_ms () + 100);
      pthread_mutex_lock (&mutex);
      n = n_active;
      pthread_mutex_unlock (&mutex);
    }
}

int
parts_crashes (void)
{
  pthread_mutex_lock (&mutex);
  int n = n_crashes;
  pthread_mutex_unlock (&mutex);
  return n;
}

int
parts_verdict (void)
{
  kit_log ("crashes by the part: %d; requests with it that reached workers: %d", n_crashes,
           n_arrivals);
  kit_log ("later than %d ms after the fifth crash: %d, allowed: %d", STABLE_MS, n_late,
           LATE_ARRIVALS_MAX);
  kit_log ("sound requests: %d, served whole: %d, failed or broken off: %d", n_sound,
           n_sound_served, n_sound_lost);
  return n_late > LATE_ARRIVALS_MAX;
}
