#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_accounts.h"
#include "wl_sim.h"
#include "wl_table.h"

enum
{
  START_US = 1000000000, /* simulated time at the beginning */
  QUERY_WAIT_US = 3000000,
};

uint64_t
sim_random (WlSim *sim)
{
  sim->random = wl_hash_ids (sim->random, ++sim->order);
  return sim->random >> 1;
}

const char *
sim_text (uint32_t variant)
{
  static char text[1024];
  snprintf (
      text, sizeof text,
      "services:\n"
      "  - {name: llm, kind: model, time_limit_ms: 60000, models: [{name: m, version: '1'}]}\n"
      "  - name: app\n    kind: plain\n    time_limit_ms: 8000\n    depends_on: [llm]\n"
      "    calls: [{path: /read, idempotent: true}, {path: /write, idempotent: false}]\n"
      "customers:\n"
      "  - name: a\n    weight: %u\n    key_digest: "
      /* BLAKE2b-256 of "a" and "b" */
      "8928aae63c84d87ea098564d1e03ad813f107add474e56aedd286349c0c03ea4\n"
      "  - name: b\n    key_digest: "
      "6e5c1f45cbaf19f94230ba3501c378a5335af71a331b5b5aed62792332288dc3\n",
      variant % 900 + 1);
  return text;
}

/* ---- queue of things to come ---- */

void
sim_schedule (WlSim *sim, const SimItem *item)
{
  sim->order++; /* random numbers depend on it */
  wl_time_queue_add (sim->queue, item->at_us, item);
}

/* ---- nodes ---- */

WlSim *
sim_create (uint64_t seed, uint32_t nodes, uint32_t control)
{
  WlSim *sim = calloc (1, sizeof *sim);
  if (sim == NULL)
    abort ();
  sim->queue = wl_time_queue_create (sizeof (SimItem));
  sim->now_us = START_US;
  sim->random = seed;
  sim->n_nodes = nodes;
  sim->n_control = control;
  sim->delay_us = 2000;
  sim->token_us = 20000;
  return sim;
}

void
sim_start (WlSim *sim, uint32_t node)
{
  SimNode *n = &sim->nodes[node];
  WlSettings *s = &n->settings;
  memset (s, 0, sizeof *s);
  s->self.node = node;
  snprintf (s->self.address, sizeof s->self.address, "127.0.0.1");
  s->self.peer_port = 2000 + node;
  s->self.http_port = 1000 + node;
  snprintf (s->self.domain, sizeof s->self.domain, "domain-%u", node % 3);
  s->incarnation = sim_random (sim) | 1;
  s->seed = sim_random (sim);
  s->claim_retention_us = 3600000000ULL;
  s->policy = sim->policy;
  for (uint32_t i = 1; i <= sim->n_control; i++)
    s->control_nodes[s->n_control++] = i;
  const WlStoredState *stored = NULL;
  if (node <= sim->n_control)
    {
      if (wl_storage_open (memory_disk_open (&n->folder), sim_random (sim) | 1, &n->storage)
          != WL_OK)
        abort ();
      s->replica_incarnation = wl_storage_incarnation (n->storage);
      stored = wl_storage_state (n->storage);
    }
  if (wl_core_create (s, stored, sim->now_us, &n->core) != WL_OK)
    abort ();
  if (n->storage != NULL)
    wl_storage_forget (n->storage);
  n->is_up = 1;
  n->is_frozen = 0;
  n->has_stopped = 0;
  n->config_seen = 0;
}

void
sim_start_all (WlSim *sim)
{
  for (uint32_t i = 1; i <= sim->n_nodes; i++)
    if (!sim->nodes[i].is_up)
      sim_start (sim, i);
}

void
sim_crash (WlSim *sim, uint32_t node)
{
  SimNode *n = &sim->nodes[node];
  if (!n->is_up)
    return;
  for (uint32_t i = 0; i < sim->n_requests; i++)
    if (sim->requests[i].node == node && sim->requests[i].ends == 0)
      sim->requests[i].node_died = 1;
  for (uint32_t i = 0; i < sim->n_runs; i++)
    if (sim->runs[i].node == node)
      sim->runs[i].is_connected = 0;
  wl_core_destroy (n->core);
  wl_storage_close (n->storage);
  n->core = NULL;
  n->storage = NULL;
  n->is_up = 0;
  memory_folder_crash (&n->folder);
}

void
sim_wipe (WlSim *sim, uint32_t node)
{
  sim_crash (sim, node);
  memory_folder_clear (&sim->nodes[node].folder);
}

void
sim_destroy (WlSim *sim)
{
  for (uint32_t i = 1; i <= sim->n_nodes; i++)
    sim_wipe (sim, i);
  for (SimItem item; wl_time_queue_take (sim->queue, UINT64_MAX, &item);)
    free (item.bytes);
  wl_time_queue_destroy (sim->queue);
  free (sim);
}

void
sim_isolate (WlSim *sim, uint32_t node, int is_cut)
{
  for (uint32_t i = 1; i <= sim->n_nodes; i++)
    if (i != node)
      sim->cut[node][i] = sim->cut[i][node] = (uint8_t)is_cut;
}

uint32_t
sim_leader (const WlSim *sim)
{
  uint32_t leader = 0;
  uint64_t term = 0;
  for (uint32_t i = 1; i <= sim->n_control; i++)
    {
      const SimNode *n = &sim->nodes[i];
      if (!n->is_up || n->is_frozen || !wl_raft_is_ready (&n->core->control->raft, sim->now_us))
        continue;
      if (n->core->control->raft.term <= term)
        continue;
      term = n->core->control->raft.term;
      leader = i;
    }
  return leader;
}

/* ---- invariants ---- */

static void
break_invariant (WlSim *sim, const char *what)
{
  if (sim->broken == NULL)
    sim->broken = what;
}

static void
check_cells (WlSim *sim, const SimNode *n)
{
  for (const WlCell *c = n->core->cells; c != NULL; c = c->next)
    {
      if (!wl_accounts_check (c))
        break_invariant (sim, "memory accounts differ from grants");
      if (!wl_core_has_lease (n->core, sim->now_us))
        break_invariant (sim, "a cell is open without a lease");
      for (uint32_t i = 1; i <= sim->n_nodes; i++)
        {
          const SimNode *o = &sim->nodes[i];
          if (o == n || !o->is_up || o->is_frozen)
            continue;
          const WlCell *other = wl_core_find_cell (o->core, c->lease.service, c->lease.shard);
          if (other != NULL && wl_core_has_lease (o->core, sim->now_us))
            break_invariant (sim, "two owners of one cell");
        }
    }
}

static void
check_leaders (WlSim *sim)
{
  for (uint32_t i = 1; i <= sim->n_control; i++)
    for (uint32_t k = 1; k < i; k++)
      {
        const SimNode *a = &sim->nodes[i];
        const SimNode *b = &sim->nodes[k];
        if (!a->is_up || !b->is_up)
          continue;
        const WlRaft *x = &a->core->control->raft;
        const WlRaft *y = &b->core->control->raft;
        if (x->role == WL_RAFT_LEADER && y->role == WL_RAFT_LEADER && x->term == y->term)
          break_invariant (sim, "two leaders of one term");
      }
}

static void
check_node (WlSim *sim, SimNode *n)
{
  uint64_t number = n->core->session.config_number;
  if (number < n->config_seen)
    break_invariant (sim, "a configuration went back");
  n->config_seen = number;
  check_cells (sim, n);
  if (n->core->control != NULL)
    check_leaders (sim);
}

/* ---- effects ---- */

static void
send_message (WlSim *sim, uint32_t from, const WlEffect *e)
{
  uint32_t to = e->u.send.node;
  SimItem item = { .kind = SIM_MESSAGE, .from = from, .to = to };
  if (to == 0 || to > sim->n_nodes || sim->cut[from][to])
    return;
  uint32_t copies = sim_random (sim) % 1000000 < sim->repeat_ppm ? 2 : 1;
  if (sim_random (sim) % 1000000 < sim->drop_ppm)
    copies = 0;
  for (uint32_t i = 0; i < copies; i++)
    {
      item.at_us = sim->now_us + 200 + sim_random (sim) % sim->delay_us;
      item.size = e->u.send.bytes.size;
      item.bytes = malloc (item.size + 1);
      if (item.bytes == NULL)
        abort ();
      memcpy (item.bytes, e->u.send.bytes.data, item.size);
      sim_schedule (sim, &item);
    }
}

static void
note_end (WlSim *sim, const WlReplyEnd *end)
{
  SimRequest *r = sim_find_request (sim, end->request);
  if (r == NULL)
    return;
  if (++r->ends > 1)
    break_invariant (sim, "a request ended twice");
  if (end->outcome == WL_OUTCOME_DONE && r->delivered != r->max_tokens)
    break_invariant (sim, "a whole answer is incomplete");
  if (end->run == WL_RUN_NOT_RUN && end->outcome == WL_OUTCOME_REFUSED && r->dispatches > 0
      && r->delivered > 0)
    break_invariant (sim, "a request that ran was refused as not run");
  r->end = *end;
  r->ended_us = sim->now_us;
}

static void
perform (WlSim *sim, uint32_t node, const WlEffect *e)
{
  SimRequest *r = NULL;
  if (sim_endpoints_effect (sim, node, e))
    return;
  switch (e->kind)
    {
    case WL_EFFECT_SEND:
      send_message (sim, node, e);
      break;
    case WL_EFFECT_REPLY_CHUNK:
      r = sim_find_request (sim, e->u.chunk.request);
      if (r == NULL)
        break;
      if (r->delivered == 0)
        r->first_token_us = sim->now_us;
      r->delivered += e->u.chunk.tokens;
      break;
    case WL_EFFECT_REPLY_END:
      note_end (sim, &e->u.end);
      break;
    case WL_EFFECT_SUBMIT_DONE:
      if (e->u.submit.id < sim->n_submits)
        {
          sim->submits[e->u.submit.id].reply = e->u.submit;
          sim->submits[e->u.submit.id].is_answered = e->u.submit.outcome != WL_SUBMIT_UNAVAILABLE;
        }
      break;
    case WL_EFFECT_QUERY_DONE:
      sim->query = e->u.query;
      sim->query_id = e->u.query.id;
      break;
    case WL_EFFECT_STOPPED:
      sim->nodes[node].has_stopped = 1;
      break;
    default:
      break;
    }
}

static void
carry_out (WlSim *sim, uint32_t node, WlEffects *fx)
{
  SimNode *n = &sim->nodes[node];
  int stored = 0;
  for (uint32_t i = 0; i < fx->count; i++)
    if (n->storage != NULL && fx->items[i].kind <= WL_EFFECT_STORE_SNAPSHOT)
      {
        stored = 1;
        if (wl_storage_write (n->storage, &fx->items[i]) != WL_OK)
          abort ();
      }
  if (stored && wl_storage_sync (n->storage) != WL_OK)
    abort ();
  for (uint32_t i = 0; i < fx->count; i++)
    perform (sim, node, &fx->items[i]);
}

void
sim_event (WlSim *sim, uint32_t node, WlEvent *event)
{
  SimNode *n = &sim->nodes[node];
  WlEffects *fx = wl_effects_create ();
  if (n->is_up && !n->is_frozen)
    {
      event->now_us = sim->now_us;
      event->wall_us = sim->now_us;
      wl_core_step (n->core, event, fx);
      WlEvent flush = { .kind = WL_EVENT_FLUSH, .now_us = sim->now_us, .wall_us = sim->now_us };
      wl_core_step (n->core, &flush, fx);
      check_node (sim, n);
      carry_out (sim, node, fx);
    }
  wl_effects_destroy (fx);
}

static void
deliver (WlSim *sim, SimItem *item)
{
  SimNode *n = &sim->nodes[item->to];
  WlMessage message;
  apr_pool_t *pool;
  if (item->kind == SIM_TOKEN)
    {
      sim_endpoints_token (sim, item->run);
      return;
    }
  if (n->is_up && n->is_frozen)
    {
      /* A frozen process reads its input when it continues. */
      SimItem later = *item;
      later.at_us = sim->now_us + 4000;
      item->bytes = NULL;
      sim_schedule (sim, &later);
      return;
    }
  if (!n->is_up || (item->life != 0 && item->life != n->settings.incarnation))
    return;
  if (item->kind == SIM_EVENT)
    {
      sim_event (sim, item->to, &item->event);
      return;
    }
  apr_pool_create (&pool, NULL);
  if (wl_message_decode ((WlBytes){ item->bytes, item->size }, &message, pool) == WL_OK)
    {
      WlEvent event = { .kind = WL_EVENT_MESSAGE };
      event.u.message.from = item->from;
      event.u.message.message = &message;
      sim_event (sim, item->to, &event);
    }
  apr_pool_destroy (pool);
}

void
sim_run (WlSim *sim, uint64_t duration_us)
{
  uint64_t end_us = sim->now_us + duration_us;
  while (sim->now_us < end_us)
    {
      uint64_t tick_us = sim->now_us + WL_TICK_US;
      for (SimItem item; wl_time_queue_take (sim->queue, tick_us, &item);)
        {
          if (item.at_us > sim->now_us)
            sim->now_us = item.at_us;
          deliver (sim, &item);
          free (item.bytes);
        }
      sim->now_us = tick_us;
      sim_endpoints_tick (sim);
      for (uint32_t i = 1; i <= sim->n_nodes; i++)
        {
          WlEvent tick = { .kind = WL_EVENT_TICK };
          sim_event (sim, i, &tick);
        }
    }
}

/* ---- what operators and callers do ---- */

uint32_t
sim_submit (WlSim *sim, uint32_t node, uint64_t replaces, const char *text)
{
  WlEvent event = { .kind = WL_EVENT_SUBMIT };
  uint32_t id = sim->n_submits++ % SIM_SUBMITS;
  if (sim->n_submits > SIM_SUBMITS)
    abort ();
  event.u.submit.id = id;
  event.u.submit.replaces = replaces;
  event.u.submit.config = (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) };
  sim_event (sim, node, &event);
  return id;
}

const WlSubmitReply *
sim_submit_until_answered (WlSim *sim, uint32_t node, uint64_t replaces, const char *text)
{
  for (int i = 0; i < 60; i++)
    {
      uint32_t id = sim_submit (sim, node, replaces, text);
      sim_run (sim, 100000);
      if (!sim->submits[id].is_answered)
        sim_run (sim, 200000);
      if (sim->submits[id].is_answered)
        return &sim->submits[id].reply;
    }
  return NULL;
}

uint32_t
sim_evacuate (WlSim *sim, uint32_t node, const char *domain, uint64_t sequence, int is_finish)
{
  WlEvent event = { .kind = WL_EVENT_EVACUATE };
  uint32_t id = sim->n_submits++ % SIM_SUBMITS;
  event.u.evacuate.id = id;
  event.u.evacuate.sequence = sequence;
  event.u.evacuate.is_finish = (uint8_t)is_finish;
  snprintf (event.u.evacuate.domain, sizeof event.u.evacuate.domain, "%s", domain);
  sim_event (sim, node, &event);
  return id;
}

SimRequest *
sim_request (WlSim *sim, uint32_t node, const char *service, uint64_t prompt_tokens,
             uint64_t max_tokens, const char *key)
{
  WlEvent event = { .kind = WL_EVENT_REQUEST };
  int is_plain = strcmp (service, "app") == 0;
  if (sim->n_requests == SIM_REQUESTS)
    abort ();
  SimRequest *r = &sim->requests[sim->n_requests++];
  memset (r, 0, sizeof *r);
  r->id = (uint64_t)node << 52 | sim->n_requests;
  r->node = node;
  snprintf (r->key, sizeof r->key, "%s", key);
  r->prompt_tokens = prompt_tokens;
  r->max_tokens = is_plain ? 1 : max_tokens;
  r->sent_us = sim->now_us;
  r->limit_us = is_plain ? 8000000 : 60000000;
  event.u.request.id = r->id;
  event.u.request.api_key = "a";
  event.u.request.service = service;
  event.u.request.path = !is_plain ? "" : key[0] != '\0' ? "/write" : "/read";
  event.u.request.key = r->key;
  event.u.request.prompt_tokens = prompt_tokens;
  event.u.request.max_tokens = r->max_tokens;
  sim_event (sim, node, &event);
  return r;
}

void
sim_query (WlSim *sim, uint32_t node)
{
  WlEvent event = { .kind = WL_EVENT_QUERY };
  event.u.query.id = ++sim->order;
  sim->query_id = 0;
  sim_event (sim, node, &event);
  for (uint64_t waited = 0; sim->query_id == 0 && waited < QUERY_WAIT_US; waited += 20000)
    sim_run (sim, 20000);
}

SimRequest *
sim_find_request (WlSim *sim, uint64_t id)
{
  uint64_t index = (id & 0xffffffff) - 1;
  return index < sim->n_requests && sim->requests[index].id == id ? &sim->requests[index] : NULL;
}
