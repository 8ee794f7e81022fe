#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <apr_general.h>
#include "wl_choice.h"
#include "wl_permits.h"
#include "wl_roster.h"
#include "wl_sample_engine.h"

/*
 * Benchmarks of the forwarding nodes' decisions: time of a choice by number of
 * endpoints and of limits, time of an ask for a permit, size of the messages
 * between nodes and of the state on limits, as slopes for docs/CAPACITY.md.
 * Processor time of this process only; no network.
 */

enum
{
  ROUNDS = 2000,
  DOMAINS = 3,             /* failure domains of the endpoints */
  ITEMS = 8,               /* requests at each engine */
  KV_TOKENS = 6000,        /* of each request */
  KV_TOKENS_FULL = 150000, /* of each request, so that no engine with one has memory left */
};

static const uint64_t now_us = 50000000;

static double
seconds (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static WlEndpointRecord
make_record (uint32_t i)
{
  WlEndpointRecord r = { .address = i + 1, .port = 8080, .slots = 16, .started_ms = 1 };
  snprintf (r.id, sizeof r.id, "i-%08x", i * 2654435761u);
  strcpy (r.service, "llm");
  snprintf (r.domain, sizeof r.domain, "attiki-%c", 'a' + i % DOMAINS);
  return r;
}

/* Has the last endpoints of a fleet name a limit. */
static void
name_limits (WlLimits *limits, WlFleet *fleet, uint32_t n_limited, uint64_t rate)
{
  for (uint32_t i = fleet->n_endpoints - n_limited; i < fleet->n_endpoints; i++)
    wl_limits_note_response (limits, &fleet->endpoints[i], 1, rate, now_us - 1, now_us);
}

/*
 * Time of a choice among endpoints of which @n_limited, and no others, are not considered.
 * @visibility depends on the number of nodes; @kv_tokens are in use for each request there.
 */
static double
time_choice (uint32_t n_endpoints, uint32_t n_limited, uint32_t prompt,
             WlChoiceVisibility visibility, uint32_t kv_tokens)
{
  WlFleet *fleet = wl_fleet_create ();
  WlLimits *limits = wl_limits_create ();
  WlLoad *load = wl_load_create ();
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      WlEndpointRecord r = make_record (i);
      wl_fleet_apply (fleet, &r, now_us);
      for (uint32_t j = 0; j < (kv_tokens == KV_TOKENS_FULL ? 1 : i % ITEMS); j++)
        {
          WlWorkItem note = { .id = j,
                              .endpoint = wl_fleet_key (r.id),
                              .phase = WL_WORK_DECODING,
                              .kv_tokens = kv_tokens,
                              .gap_ms = 250 };
          wl_load_apply (load, 1, 1, &note, now_us);
        }
    }
  name_limits (limits, fleet, n_limited, 1000);
  WlChoiceRequest q = { .service = &wl_sample_engines,
                        .domain = "attiki-a",
                        .prompt = prompt,
                        .output = 700,
                        .objective_us = 2500000,
                        .gap_us = 1000000,
                        .deadline_us = 9000000,
                        .visibility = visibility,
                        .limits = limits };
  double began = seconds ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    wl_choice_make (fleet, load, &q, now_us, i);
  double us = (seconds () - began) / ROUNDS * 1e6;
  wl_load_destroy (load);
  wl_limits_destroy (limits);
  wl_fleet_destroy (fleet);
  return us;
}

/* Time of an ask and its answer at a node that is the issuer as well; all are granted or none. */
static double
time_permit (uint32_t n_endpoints, uint32_t n_limited, int is_granted)
{
  WlFleet *fleet = wl_fleet_create ();
  WlLimits *limits = wl_limits_create ();
  WlPermits *permits = wl_permits_create (1);
  uint64_t at_us = now_us;
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      WlEndpointRecord r = make_record (i);
      wl_fleet_apply (fleet, &r, now_us);
      fleet->endpoints[i].last_contact_us = UINT64_MAX / 2;
    }
  name_limits (limits, fleet, n_limited, is_granted ? WL_LIMIT_RATE_MAX : 0);
  WlIssuer *issuer = wl_issuer_create (limits, fleet);
  uint64_t service = wl_permits_service ("llm");
  uint32_t n = 0;
  uint64_t issuer_us = now_us;
  wl_issuer_set_own (issuer, service, 1, issuer_us);
  for (; issuer_us < now_us + WL_ISSUER_QUIET_US; issuer_us += 100000)
    wl_issuer_tick (issuer, issuer_us);
  double began = seconds ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      WlPermitAsk ask = { .service = service, .customer = i };
      WlPermitAnswer answer;
      WlPermit permit;
      uint32_t node;
      at_us += 1000000 / WL_PERMIT_ASK_RATE;
      issuer_us += 1000; /* short of the first token of a limit of 0 in most rounds */
      uint64_t id = wl_permits_ask (permits, &ask, at_us, &permit);
      if (wl_permits_take_ask (permits, &ask))
        wl_issuer_ask (issuer, 1, &ask, 1, issuer_us);
      if (wl_issuer_take_answer (issuer, &node, &answer))
        wl_permits_answer (permits, &answer, at_us);
      n += wl_permits_state (permits, id, at_us).state == WL_PERMIT_GRANTED;
      wl_permits_use (permits, id);
    }
  double us = (seconds () - began) / ROUNDS * 1e6;
  if ((n > ROUNDS / 2) != is_granted)
    printf ("unexpected: %u of %d granted\n", n, ROUNDS);
  wl_issuer_destroy (issuer);
  wl_permits_destroy (permits);
  wl_limits_destroy (limits);
  wl_fleet_destroy (fleet);
  return us;
}

/* Time of a tick of an issuer with a long queue, with the review of those that wait. */
static double
time_tick (uint32_t n_endpoints, uint32_t n_limited)
{
  WlFleet *fleet = wl_fleet_create ();
  WlLimits *limits = wl_limits_create ();
  uint64_t issuer_us = now_us;
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      WlEndpointRecord r = make_record (i);
      wl_fleet_apply (fleet, &r, now_us);
      fleet->endpoints[i].last_contact_us = UINT64_MAX / 2;
    }
  name_limits (limits, fleet, n_limited, 1000);
  WlIssuer *issuer = wl_issuer_create (limits, fleet);
  for (uint32_t i = 0; i < WL_ISSUER_QUEUE_MAX; i++)
    {
      WlPermitAsk ask = { .service = wl_permits_service ("llm"),
                          .customer = i % 16,
                          .max_wait_us = WL_PERMIT_REFRESH_US * 20 };
      wl_issuer_ask (issuer, 1, &ask, 1, issuer_us);
    }
  double began = seconds ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    wl_issuer_tick (issuer, issuer_us += 1000);
  double us = (seconds () - began) / ROUNDS * 1e6;
  wl_issuer_destroy (issuer);
  wl_limits_destroy (limits);
  wl_fleet_destroy (fleet);
  return us;
}

static size_t
bytes_in_use (void)
{
  return mallinfo2 ().uordblks;
}

static void
print_state (uint32_t n_limited)
{
  WlFleet *fleet = wl_fleet_create ();
  for (uint32_t i = 0; i < n_limited; i++)
    {
      WlEndpointRecord r = make_record (i);
      wl_fleet_apply (fleet, &r, now_us);
    }
  size_t before = bytes_in_use ();
  WlLimits *limits = wl_limits_create ();
  name_limits (limits, fleet, n_limited, 1000);
  size_t with_limits = bytes_in_use ();
  WlPermits *permits = wl_permits_create (1);
  size_t with_permits = bytes_in_use ();
  WlIssuer *issuer = wl_issuer_create (limits, fleet);
  wl_issuer_set_own (issuer, wl_permits_service ("llm"), 1, now_us);
  printf ("%u limits: table %zu B, asks %zu B, issuer %zu B\n", n_limited, with_limits - before,
          with_permits - with_limits, bytes_in_use () - with_permits);
  wl_issuer_destroy (issuer);
  wl_permits_destroy (permits);
  wl_limits_destroy (limits);
  wl_fleet_destroy (fleet);
}

static uint32_t
size_of (const WlMessage *m)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  uint32_t size = wl_message_encode (m, pool).size;
  apr_pool_destroy (pool);
  return size;
}

static void
print_sizes (uint32_t n_nodes)
{
  WlNodeId known[WL_ROSTER_MAX];
  WlWorkItem notes[8];
  WlEndpointRecord record = make_record (7);
  WlMessage status = { .kind = WL_MESSAGE_NODE_STATUS };
  WlMessage one = { .kind = WL_MESSAGE_LOAD_REPORT };
  WlMessage endpoints = { .kind = WL_MESSAGE_ENDPOINTS };
  for (uint32_t i = 0; i < n_nodes; i++)
    known[i].node = 0x0a010000 + i;
  for (uint32_t i = 0; i < 8; i++)
    notes[i] = (WlWorkItem){ 1000 + i, UINT64_MAX - i, 1, 0, 6000, 5000, 26000, 1300, 250, 120 };
  status.u.node_status = (WlNodeStatus){ .node = 0x0a010001, .boot = UINT64_MAX, .sequence = 9999 };
  strcpy (status.u.node_status.domain, "attiki-a");
  status.u.node_status.peers = known;
  status.u.node_status.n_peers = n_nodes;
  one.u.load_report = (WlLoadReport){ .boot = UINT64_MAX, .items = notes, .n_items = 1 };
  endpoints.u.endpoints.records = &record;
  endpoints.u.endpoints.n_records = 1;
  printf ("%u nodes: status %u B, note %u B, registration %u B\n", n_nodes, size_of (&status),
          size_of (&one), size_of (&endpoints));
}

static void
print_permit_sizes (void)
{
  WlEndpointKey excluded = { UINT64_MAX };
  WlLimitWord word = { UINT64_MAX, 1800000000000, 0, 2700, 200000, 1000 };
  WlMessage ask = { .kind = WL_MESSAGE_PERMIT_ASK };
  WlMessage answer = { .kind = WL_MESSAGE_PERMIT_ANSWER };
  WlMessage returned = { .kind = WL_MESSAGE_PERMIT_RETURN };
  WlMessage report = { .kind = WL_MESSAGE_LIMIT_REPORT };
  ask.u.permit_ask = (WlPermitAsk){ UINT64_MAX, UINT64_MAX, UINT64_MAX, 1000000, &excluded, 1 };
  answer.u.permit_answer = (WlPermitAnswer){ UINT64_MAX, UINT64_MAX, 0, 500000 };
  returned.u.permit_return = (WlPermitReturn){ UINT64_MAX, UINT64_MAX, UINT64_MAX, UINT64_MAX };
  report.u.limit_report = (WlLimitReport){ .words = &word, .n_words = 1 };
  printf ("permits: ask %u B, answer %u B, return %u B, report of one limit %u B\n", size_of (&ask),
          size_of (&answer), size_of (&returned), size_of (&report));
}

int
main (void)
{
  static const uint32_t sizes[] = { 18, 60, 250, 1000 };
  static const uint32_t delayed_sizes[] = { 18, 100, 1000 };
  apr_initialize ();
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      uint32_t n = sizes[i];
      printf ("%u endpoints: choice of a short %.1f us, of a long prompt %.1f us; with %u limits"
              " %.1f us, %.1f us\n",
              n, time_choice (n, 0, 3000, WL_CHOICE_SEES_ALL, KV_TOKENS),
              time_choice (n, 0, 133000, WL_CHOICE_SEES_ALL, KV_TOKENS), n / 10,
              time_choice (n, n / 10, 3000, WL_CHOICE_SEES_ALL, KV_TOKENS),
              time_choice (n, n / 10, 133000, WL_CHOICE_SEES_ALL, KV_TOKENS));
    }
  for (size_t i = 0; i < sizeof delayed_sizes / sizeof *delayed_sizes; i++)
    {
      uint32_t n = delayed_sizes[i];
      printf ("%u endpoints, 17 to 128 nodes: choice of a short %.1f us, of a long prompt %.1f us;"
              " without memory for a long one %.1f us\n",
              n, time_choice (n, 0, 3000, WL_CHOICE_SEES_OTHERS_DELAYED, KV_TOKENS),
              time_choice (n, 0, 133000, WL_CHOICE_SEES_OTHERS_DELAYED, KV_TOKENS),
              time_choice (n, 0, 133000, WL_CHOICE_SEES_OTHERS_DELAYED, KV_TOKENS_FULL));
    }
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    {
      uint32_t n = sizes[i];
      printf ("%u endpoints, %u limits: permit granted %.1f us, denied %.1f us;"
              " tick of an issuer with a long queue %.1f us\n",
              n, n / 10 + 1, time_permit (n, n / 10 + 1, 1), time_permit (n, n / 10 + 1, 0),
              time_tick (n, n / 10 + 1));
    }
  print_state (1);
  print_state (30);
  print_state (1000);
  print_sizes (12);
  print_sizes (75);
  print_sizes (350);
  print_permit_sizes ();
  return 0;
}
