#include <stdio.h>
#include <string.h>
#include <time.h>
#include <apr_general.h>
#include "wl_choice.h"
#include "wl_roster.h"
#include "wl_sample_engine.h"

/*
 * Benchmarks of the forwarding nodes' decisions: time of a choice by number of
 * endpoints, and size of the messages between nodes, as slopes for
 * docs/CAPACITY.md. Processor time of this process only; no network.
 */

enum
{
  ROUNDS = 2000,
  ITEMS = 8, /* requests at each engine */
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
  strcpy (r.domain, "attiki-a");
  return r;
}

static double
time_choice (uint32_t n_endpoints, uint32_t prompt)
{
  WlFleet *fleet = wl_fleet_create ();
  WlLoad *load = wl_load_create ();
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      WlEndpointRecord r = make_record (i);
      wl_fleet_apply (fleet, &r, now_us);
      for (uint32_t j = 0; j < i % ITEMS; j++)
        {
          WlWorkItem note = { .id = j,
                              .endpoint = wl_fleet_key (r.id),
                              .phase = WL_WORK_DECODING,
                              .kv_tokens = 6000,
                              .gap_ms = 250 };
          wl_load_apply (load, 1, 1, &note, now_us);
        }
    }
  WlChoiceRequest q = { .service = &wl_sample_engines,
                        .domain = "attiki-a",
                        .prompt = prompt,
                        .output = 700,
                        .objective_us = 2500000,
                        .gap_us = 1000000,
                        .deadline_us = 9000000 };
  double began = seconds ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    wl_choice_make (fleet, load, &q, now_us, i);
  double us = (seconds () - began) / ROUNDS * 1e6;
  wl_load_destroy (load);
  wl_fleet_destroy (fleet);
  return us;
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

int
main (void)
{
  static const uint32_t sizes[] = { 18, 60, 250, 1000 };
  apr_initialize ();
  for (size_t i = 0; i < sizeof sizes / sizeof *sizes; i++)
    printf ("%u endpoints: choice of a short %.1f us, of a long prompt %.1f us\n", sizes[i],
            time_choice (sizes[i], 3000), time_choice (sizes[i], 133000));
  print_sizes (12);
  print_sizes (75);
  print_sizes (350);
  return 0;
}
