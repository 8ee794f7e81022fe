#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <check.h>
#include "wl_fleet_sim.h"
#include "wl_random.h"

enum
{
  START_US = 50 * FLEET_SIM_SECOND,
  START_SPREAD_US = 300 * FLEET_SIM_MS, /* nodes start within this time of each other */
  FRAME_OVERHEAD = 20,                  /* bytes of length and digest around a message */
  THAW_SPREAD_US = 10 * FLEET_SIM_MS, /* in which a node handles what waited while it was frozen */
};

typedef struct
{
  uint32_t from; /* position of the node; the same as @to for a tick */
  uint32_t to;
  uint64_t boot; /* of the receiver when it was sent */
  uint64_t at_us;
  WlBytes bytes; /* on the heap, empty for a tick */
} Item;

static uint32_t
domain_of (const FleetSim *sim, uint32_t i)
{
  return i % sim->n_domains;
}

static uint32_t
position_of (uint32_t id)
{
  return id - 1;
}

static void
add (FleetSim *sim, Item *item, uint64_t at_us)
{
  item->at_us = at_us;
  wl_time_queue_add (sim->queue, at_us, item);
}

static void
carry (void *data, const uint32_t *nodes, uint32_t n_nodes, const WlMessage *message)
{
  FleetSimNode *from = data;
  FleetSim *sim = from->sim;
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  WlBytes bytes = wl_message_encode (message, pool);
  for (uint32_t i = 0; i < n_nodes; i++)
    {
      uint32_t to = position_of (nodes[i]);
      uint32_t at = (uint32_t)(from - sim->nodes);
      uint64_t r = wl_random_next (&sim->random);
      if (to >= sim->n_nodes || !sim->nodes[to].is_up)
        continue;
      from->sent += bytes.size + FRAME_OVERHEAD;
      from->neighbours[to] = 1;
      if (r % 100 < sim->loss_percent || (sim->is_cut != NULL && sim->is_cut (at, to)))
        continue;
      Item item = { .from = at, .to = to, .boot = sim->nodes[to].boot };
      item.bytes = wl_bytes_dup (bytes);
      add (sim, &item, sim->now_us + FLEET_SIM_MS / 2 + r / 100 % FLEET_SIM_MS);
    }
  apr_pool_destroy (pool);
}

static void
describe (void *data, WlNodeStatus *s)
{
  const FleetSimNode *n = data;
  s->is_ready = n->is_ready;
  s->n_known = n->n_known;
}

static void
on_heard (void *data, WlRosterNode *node, uint64_t now_us)
{
  (void)data;
  (void)node;
  (void)now_us;
}

static void
on_told (void *data, const WlNodeStatus *s, int was_draining, uint64_t now_us)
{
  (void)data;
  (void)s;
  (void)was_draining;
  (void)now_us;
}

static void
on_lost (void *data, const WlRosterNode *node, uint64_t now_us)
{
  (void)data;
  (void)node;
  (void)now_us;
}

static void
on_endpoint (void *data, const WlEndpointRecord *record)
{
  (void)data;
  (void)record;
}

void
fleet_sim_start (FleetSim *sim, uint32_t i)
{
  FleetSimNode *n = &sim->nodes[i];
  n->sim = sim;
  n->id = i + 1;
  n->boot = wl_random_next (&sim->random);
  n->is_up = 1;
  n->is_frozen = 0;
  n->is_ready = 1;
  WlMembershipOptions options = {
    .node = n->id,
    .boot = n->boot,
    .client_port = 80,
    .has_disk = i < sim->n_domains,
    .send = carry,
    .describe = describe,
    .node_joined = on_heard,
    .status_received = on_told,
    .node_lost = on_lost,
    .endpoint_changed = on_endpoint,
    .data = n,
  };
  snprintf (options.domain, sizeof options.domain, "domain-%u", domain_of (sim, i));
  n->m = wl_membership_create (&options);
  Item tick = { .from = i, .to = i, .boot = n->boot };
  add (sim, &tick, sim->now_us + wl_random_next (&sim->random) % START_SPREAD_US);
}

void
fleet_sim_stop (FleetSim *sim, uint32_t i)
{
  sim->nodes[i].is_up = 0;
  wl_membership_destroy (sim->nodes[i].m);
  sim->nodes[i].m = NULL;
}

void
fleet_sim_seeds (const FleetSim *sim, uint32_t *out)
{
  /* In a large fleet no seed is a relay by rank. */
  out[0] = 1 + sim->n_nodes / 3;
  out[1] = 2 + sim->n_nodes / 2;
  out[2] = 3 + sim->n_nodes * 2 / 3;
}

static void
handle (FleetSim *sim, Item *item)
{
  uint32_t seeds[FLEET_SIM_SEEDS];
  FleetSimNode *n = &sim->nodes[item->to];
  apr_pool_t *pool;
  WlMessage message;
  fleet_sim_seeds (sim, seeds);
  if (!n->is_up || n->boot != item->boot)
    return;
  if (n->is_frozen)
    {
      /* What arrives waits in the socket; a timer is late. */
      wl_time_queue_add (sim->parked, item->at_us, item);
      item->bytes = (WlBytes){ NULL, 0 };
      n->n_parked++;
      return;
    }
  if (item->bytes.size == 0)
    {
      wl_membership_tick (n->m, seeds, FLEET_SIM_SEEDS, sim->now_us);
      wl_roster_expire (n->m->roster, sim->now_us);
      Item tick = *item;
      add (sim, &tick, sim->now_us + WL_MEMBERSHIP_TICK_US);
    }
  else
    {
      n->received += item->bytes.size + FRAME_OVERHEAD;
      apr_pool_create (&pool, NULL);
      ck_assert_int_eq (wl_message_decode (item->bytes, &message, pool), WL_OK);
      wl_membership_receive (n->m, sim->nodes[item->from].id, &message, sim->now_us);
      apr_pool_destroy (pool);
    }
  wl_membership_flush (n->m, sim->now_us);
}

static void
run_until (FleetSim *sim, uint64_t then_us)
{
  Item item;
  while (wl_time_queue_take (sim->queue, then_us, &item))
    {
      sim->now_us = item.at_us;
      handle (sim, &item);
      wl_bytes_release (&item.bytes);
    }
  sim->now_us = then_us;
}

static int
has_thawed (const FleetSim *sim)
{
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    if (sim->nodes[i].n_parked > 0 && !sim->nodes[i].is_frozen)
      return 1;
  return 0;
}

/* Hands nodes that are not frozen any more what waited for them. */
static void
release_parked (FleetSim *sim)
{
  WlTimeQueue *parked = sim->parked;
  Item item;
  sim->parked = wl_time_queue_create (sizeof (Item));
  while (wl_time_queue_take (parked, UINT64_MAX, &item))
    {
      FleetSimNode *n = &sim->nodes[item.to];
      if (n->is_frozen)
        wl_time_queue_add (sim->parked, item.at_us, &item);
      else
        add (sim, &item, sim->now_us + item.at_us % THAW_SPREAD_US);
      n->n_parked -= !n->is_frozen;
    }
  wl_time_queue_destroy (parked);
}

void
fleet_sim_run (FleetSim *sim, uint64_t duration_us)
{
  if (has_thawed (sim))
    release_parked (sim);
  run_until (sim, sim->now_us + duration_us);
}

FleetSim *
fleet_sim_create (uint64_t seed, uint32_t n_nodes, uint32_t n_domains)
{
  FleetSim *sim = calloc (1, sizeof *sim);
  ck_assert_ptr_nonnull (sim);
  sim->queue = wl_time_queue_create (sizeof (Item));
  sim->parked = wl_time_queue_create (sizeof (Item));
  sim->now_us = START_US;
  sim->random = seed;
  sim->n_nodes = n_nodes;
  sim->n_domains = n_domains;
  for (uint32_t i = 0; i < n_nodes; i++)
    fleet_sim_start (sim, i);
  return sim;
}

static void
destroy_queue (WlTimeQueue *queue)
{
  Item item;
  while (wl_time_queue_take (queue, UINT64_MAX, &item))
    wl_bytes_release (&item.bytes);
  wl_time_queue_destroy (queue);
}

void
fleet_sim_destroy (FleetSim *sim)
{
  destroy_queue (sim->queue);
  destroy_queue (sim->parked);
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    wl_membership_destroy (sim->nodes[i].m);
  free (sim);
}

/* ---- what nodes know ---- */

int
fleet_sim_knows (const FleetSim *sim, uint32_t i, uint32_t other)
{
  const WlRosterNode *r = wl_roster_find (sim->nodes[i].m->roster, sim->nodes[other].id);
  return r != NULL && r->status.boot == sim->nodes[other].boot
         && wl_roster_accepts_requests (r, sim->now_us);
}

uint32_t
fleet_sim_count_unknown (const FleetSim *sim)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    for (uint32_t k = 0; k < sim->n_nodes; k++)
      if (i != k && sim->nodes[i].is_up && sim->nodes[k].is_up && !sim->nodes[i].is_frozen
          && !sim->nodes[k].is_frozen)
        n += !fleet_sim_knows (sim, i, k);
  return n;
}

uint32_t
fleet_sim_count_knowing (const FleetSim *sim, uint32_t other)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    if (i != other && sim->nodes[i].is_up && !sim->nodes[i].is_frozen)
      n += fleet_sim_knows (sim, i, other);
  return n;
}

WlEndpointRecord
fleet_sim_endpoint (const FleetSim *sim, uint32_t i, uint64_t sequence)
{
  WlEndpointRecord r = { .address = i + 1, .port = 80, .slots = 10, .started_ms = 7 };
  snprintf (r.id, sizeof r.id, "endpoint-%u", i);
  snprintf (r.service, sizeof r.service, "llm");
  snprintf (r.domain, sizeof r.domain, "domain-%u", domain_of (sim, i));
  r.sequence = sequence;
  return r;
}

void
fleet_sim_restore (FleetSim *sim, uint32_t i, uint32_t n_endpoints, uint64_t sequence)
{
  WlEndpointRecord records[FLEET_SIM_NODES_MAX];
  for (uint32_t k = 0; k < n_endpoints; k++)
    records[k] = fleet_sim_endpoint (sim, k, sequence);
  wl_membership_restore (sim->nodes[i].m, records, n_endpoints, sim->now_us);
}

uint32_t
fleet_sim_count_usable (const FleetSim *sim, const char *id)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    {
      if (!sim->nodes[i].is_up || sim->nodes[i].is_frozen)
        continue;
      const WlEndpoint *e = wl_fleet_find (sim->nodes[i].m->fleet, id);
      n += e != NULL && wl_fleet_is_usable (e, sim->now_us);
    }
  return n;
}

uint32_t
fleet_sim_count_using (const FleetSim *sim, const char *id)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    {
      if (!sim->nodes[i].is_up || sim->nodes[i].is_frozen)
        continue;
      const WlEndpoint *e = wl_fleet_find (sim->nodes[i].m->fleet, id);
      n += e != NULL && wl_fleet_is_usable (e, sim->now_us)
           && !wl_fleet_is_overdue (e, sim->now_us);
    }
  return n;
}

void
fleet_sim_register_all (FleetSim *sim, uint32_t n_endpoints, uint64_t sequence)
{
  for (uint32_t i = 0; i < n_endpoints; i++)
    {
      uint32_t at
          = domain_of (sim, i)
            + sim->n_domains
                  * (uint32_t)(wl_random_next (&sim->random) % (sim->n_nodes / sim->n_domains));
      WlEndpointRecord r = fleet_sim_endpoint (sim, i, sequence);
      if (sim->nodes[at].is_up && !sim->nodes[at].is_frozen)
        wl_membership_register (sim->nodes[at].m, &r, sim->now_us);
    }
}
