#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <check.h>
#include "wl_config_sim.h"
#include "wl_delta.h"
#include "wl_journal.h"
#include "wl_random.h"

ConfigSim config_sim;
const uint32_t config_sim_initial[5] = { 1, 2, 3, 4, 5 };

static void
send_packet (uint32_t from, uint32_t to, WlBytes bytes)
{
  config_sim.sent_bytes += from != to ? bytes.size : 0;
  if (config_sim.n_queue == CONFIG_SIM_PACKETS_MAX
      || wl_random_next (&config_sim.random) % 100 < config_sim.loss_percent)
    return;
  config_sim.queue[config_sim.n_queue++]
      = (ConfigSimPacket){ config_sim.now_us + 500 + wl_random_next (&config_sim.random) % 5000,
                           from, to, wl_bytes_dup (bytes) };
}

static void
release (uint32_t node, ConfigSimBatch *b)
{
  for (uint32_t i = 0; i < b->effects->count; i++)
    {
      const WlEffect *e = &b->effects->items[i];
      if (e->kind == WL_EFFECT_SEND)
        send_packet (node, e->u.send.node, e->u.send.bytes);
    }
  wl_effects_destroy (b->effects);
  free (b);
}

static int
has_stores (const WlEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++)
    if (wl_effect_is_store (&effects->items[i]))
      return 1;
  return 0;
}

/* Stores a batch as far as the disk allows; returns whether all of it is stored and synced. */
static int
store (ConfigSimNode *n, ConfigSimBatch *b)
{
  WlError error = WL_OK;
  if (!has_stores (b->effects))
    return 1;
  for (; error == WL_OK && b->n_stored < b->effects->count; b->n_stored++)
    {
      const WlEffect *e = &b->effects->items[b->n_stored];
      if (wl_effect_is_store (e))
        error = wl_storage_write (n->storage, e);
      if (error != WL_OK)
        break;
    }
  if (error == WL_OK)
    error = wl_storage_sync (n->storage);
  if (error == WL_OK)
    return 1;
  ck_assert_int_eq (error, WL_ERROR_NO_SPACE);
  n->n_retries++;
  n->retry_us = config_sim.now_us + WL_JOURNAL_RETRY_US;
  return 0;
}

static void
carry_out (uint32_t node)
{
  ConfigSimNode *n = &config_sim.nodes[node];
  while (n->first != NULL && config_sim.now_us >= n->retry_us && store (n, n->first))
    {
      ConfigSimBatch *b = n->first;
      n->first = b->next;
      release (node, b);
    }
}

static void
execute (uint32_t node, WlEffects *fx)
{
  ConfigSimNode *n = &config_sim.nodes[node];
  ConfigSimBatch *b = calloc (1, sizeof *b);
  if (b == NULL)
    abort ();
  b->effects = fx;
  if (n->first != NULL)
    n->last->next = b;
  else
    n->first = b;
  n->last = b;
  carry_out (node);
}

void
config_sim_start (uint32_t node, const uint32_t *bootstrap_peers, uint32_t n_bootstrap_peers)
{
  ConfigSimNode *n = &config_sim.nodes[node];
  WlSettings settings = { .self.node = node, .seed = wl_random_next (&config_sim.random) };
  WlDisk *disk = memory_disk_open (&n->folder);
  uint64_t incarnation = (wl_random_next (&config_sim.random) | 3) ^ WL_RAFT_FIRST_START;
  if (bootstrap_peers != NULL)
    incarnation |= WL_RAFT_FIRST_START;
  ck_assert_int_eq (wl_storage_open (disk, incarnation, &n->storage), WL_OK);
  settings.replica_incarnation = wl_storage_incarnation (n->storage);
  ck_assert_int_eq (wl_config_store_create (&settings, wl_storage_state (n->storage),
                                            config_sim.now_us, &n->store),
                    WL_OK);
  wl_config_store_set_tolerated_faults (n->store, config_sim.tolerated_faults);
  if (bootstrap_peers != NULL)
    wl_config_store_set_founders (n->store, bootstrap_peers, n_bootstrap_peers, config_sim.now_us);
  uint32_t voters[WL_MAX_REPLICAS];
  uint32_t n_voters = wl_config_store_voters (n->store, voters);
  for (uint32_t i = 0; i < n_voters; i++)
    wl_config_store_add_peer (n->store, voters[i], config_sim.now_us);
  for (uint32_t i = 1; i <= CONFIG_SIM_NODES; i++)
    if (config_sim.nodes[i].is_up)
      {
        wl_config_store_add_peer (n->store, i, config_sim.now_us);
        wl_config_store_add_peer (config_sim.nodes[i].store, node, config_sim.now_us);
      }
  wl_storage_forget (n->storage);
  n->is_up = 1;
}

void
config_sim_crash (uint32_t node)
{
  ConfigSimNode *n = &config_sim.nodes[node];
  if (!n->is_up)
    return;
  while (n->first != NULL)
    {
      ConfigSimBatch *b = n->first;
      n->first = b->next;
      wl_effects_destroy (b->effects);
      free (b);
    }
  wl_config_store_destroy (n->store);
  wl_storage_close (n->storage);
  memory_folder_crash (&n->folder);
  n->retry_us = 0;
  n->is_up = 0;
}

void
config_sim_wipe (uint32_t node)
{
  config_sim_crash (node);
  memory_folder_clear (&config_sim.nodes[node].folder);
}

static void
record_answer (const WlMessage *m)
{
  ConfigSimAnswer *a = &config_sim.answers[config_sim.n_answers++ % CONFIG_SIM_ANSWERS_MAX];
  memset (a, 0, sizeof *a);
  a->kind = m->kind;
  if (m->kind == WL_MESSAGE_SUBMIT_REPLY)
    {
      a->id = m->u.submit_reply.id;
      a->number = m->u.submit_reply.number;
      a->outcome = m->u.submit_reply.outcome;
      return;
    }
  a->id = m->u.query_reply.id;
  a->number = m->u.query_reply.config_number;
  apr_pool_t *pool;
  WlBytes config;
  apr_pool_create (&pool, NULL);
  ck_assert_int_eq (wl_config_decompress (m->u.query_reply.config, pool, &config), WL_OK);
  WlConfigDocument document;
  ck_assert_int_eq (wl_config_document_decode (config, pool, &document), WL_OK);
  a->version = document.version;
  config = document.text;
  if (config.size > 0)
    memcpy (a->config, config.data,
            config.size < sizeof a->config ? config.size : sizeof a->config - 1);
  ck_assert_uint_le (document.n_evacuations, CONFIG_SIM_EVACUATIONS_MAX);
  a->n_evacuations = document.n_evacuations;
  if (document.n_evacuations > 0)
    memcpy (a->evacuations, document.evacuations, a->n_evacuations * sizeof *a->evacuations);
  apr_pool_destroy (pool);
}

static void
deliver (const ConfigSimPacket *p)
{
  apr_pool_t *pool;
  WlMessage m;
  const ConfigSimNode *from = &config_sim.nodes[p->from];
  ConfigSimNode *to = &config_sim.nodes[p->to];
  if (!to->is_up || (p->from != p->to && (from->is_isolated || to->is_isolated)))
    return;
  apr_pool_create (&pool, NULL);
  ck_assert_int_eq (wl_message_decode (p->bytes, &m, pool), WL_OK);
  WlEffects *fx = wl_effects_create ();
  if (wl_config_store_receive (to->store, p->from, &m, config_sim.now_us, fx))
    execute (p->to, fx);
  else
    {
      wl_effects_destroy (fx);
      if (m.kind == WL_MESSAGE_SUBMIT_REPLY || m.kind == WL_MESSAGE_QUERY_REPLY)
        record_answer (&m);
    }
  apr_pool_destroy (pool);
}

void
config_sim_deliver_last (void)
{
  ConfigSimPacket p = config_sim.queue[--config_sim.n_queue];
  deliver (&p);
  wl_bytes_release (&p.bytes);
}

/* What the statuses of nodes with a disk tell each other. */
static void
hear_of_nodes (void)
{
  if (config_sim.now_us < config_sim.status_us + CONFIG_SIM_STATUS_US)
    return;
  config_sim.status_us = config_sim.now_us;
  for (uint32_t i = 1; i <= CONFIG_SIM_NODES; i++)
    for (uint32_t j = 1; j <= CONFIG_SIM_NODES; j++)
      {
        const ConfigSimNode *a = &config_sim.nodes[i];
        const ConfigSimNode *b = &config_sim.nodes[j];
        if (a->is_up && b->is_up && !a->is_isolated && !b->is_isolated)
          wl_config_store_add_peer (a->store, j, config_sim.now_us);
      }
}

void
config_sim_run (uint64_t duration_us)
{
  for (uint64_t until_us = config_sim.now_us + duration_us; config_sim.now_us < until_us;
       config_sim.now_us += CONFIG_SIM_STEP_US)
    {
      hear_of_nodes ();
      for (uint32_t i = 0; i < config_sim.n_queue;)
        {
          ConfigSimPacket p = config_sim.queue[i];
          if (p.due_us > config_sim.now_us)
            {
              i++;
              continue;
            }
          config_sim.queue[i] = config_sim.queue[--config_sim.n_queue];
          deliver (&p);
          wl_bytes_release (&p.bytes);
        }
      for (uint32_t i = 1; i <= CONFIG_SIM_NODES; i++)
        if (config_sim.nodes[i].is_up)
          {
            WlEffects *fx = wl_effects_create ();
            wl_config_store_tick (config_sim.nodes[i].store, config_sim.now_us, fx);
            wl_config_store_flush (config_sim.nodes[i].store, config_sim.now_us, fx);
            execute (i, fx);
          }
    }
}

void
config_sim_create (uint64_t seed)
{
  memset (&config_sim, 0, sizeof config_sim);
  config_sim.random = seed;
  config_sim.now_us = 1000000;
  config_sim.tolerated_faults = 1;
}

void
config_sim_destroy (void)
{
  for (uint32_t i = 1; i <= CONFIG_SIM_NODES; i++)
    config_sim_crash (i);
  for (uint32_t i = 0; i < config_sim.n_queue; i++)
    wl_bytes_release (&config_sim.queue[i].bytes);
  for (uint32_t i = 1; i <= CONFIG_SIM_NODES; i++)
    memory_folder_clear (&config_sim.nodes[i].folder);
}

uint32_t
config_sim_leader (void)
{
  for (uint32_t i = 1; i <= CONFIG_SIM_NODES; i++)
    if (config_sim.nodes[i].is_up && !config_sim.nodes[i].is_isolated
        && wl_config_store_leader (config_sim.nodes[i].store) == i)
      return i;
  return 0;
}

const ConfigSimAnswer *
config_sim_answer (uint64_t id)
{
  for (uint32_t i = 0; i < config_sim.n_answers && i < CONFIG_SIM_ANSWERS_MAX; i++)
    if (config_sim.answers[i].id == id)
      return &config_sim.answers[i];
  return NULL;
}

uint64_t
config_sim_send (uint32_t from, uint32_t to, WlMessageKind kind, uint64_t version,
                 const char *config)
{
  apr_pool_t *pool;
  WlMessage m = { .kind = kind };
  uint64_t id = ++config_sim.next_id;
  if (kind == WL_MESSAGE_SUBMIT)
    m.u.submit = (WlSubmit){ .id = id,
                             .node = from,
                             .replaces = version,
                             .config = { (const uint8_t *)config, (uint32_t)strlen (config) } };
  else
    m.u.query = (WlQuery){ .id = id, .node = from, .number = UINT64_MAX };
  apr_pool_create (&pool, NULL);
  send_packet (from, to, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
  return id;
}

uint64_t
config_sim_send_evacuation (uint32_t from, uint32_t to, const char *domain, uint64_t sequence,
                            int is_finish)
{
  apr_pool_t *pool;
  WlMessage m = { .kind = WL_MESSAGE_EVACUATE };
  m.u.evacuate.id = ++config_sim.next_id;
  m.u.evacuate.node = from;
  m.u.evacuate.sequence = sequence;
  m.u.evacuate.is_finish = (uint8_t)is_finish;
  snprintf (m.u.evacuate.domain, sizeof m.u.evacuate.domain, "%s", domain);
  apr_pool_create (&pool, NULL);
  send_packet (from, to, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
  return m.u.evacuate.id;
}

WlEvacuation
config_sim_evacuation (const char *domain)
{
  const ConfigSimAnswer *a = config_sim_request (WL_MESSAGE_QUERY, 0, NULL, 10000000);
  ck_assert_ptr_nonnull (a);
  WlEvacuation list[CONFIG_SIM_EVACUATIONS_MAX];
  memcpy (list, a->evacuations, sizeof list);
  const WlConfigDocument document = { .evacuations = list, .n_evacuations = a->n_evacuations };
  return wl_config_document_evacuation (&document, domain);
}

void
config_sim_repeat_evacuation (const char *domain, uint64_t sequence, int is_finish)
{
  for (uint64_t until_us = config_sim.now_us + 10000000; config_sim.now_us < until_us;)
    {
      uint32_t to = config_sim_leader ();
      if (to == 0)
        {
          config_sim_run (50000);
          continue;
        }
      uint64_t id = config_sim_send_evacuation (to, to, domain, sequence, is_finish);
      for (int i = 0; i < 10 && config_sim_answer (id) == NULL; i++)
        config_sim_run (30000);
      if (config_sim_answer (id) == NULL)
        continue;
      ck_assert_uint_eq (config_sim_answer (id)->outcome, WL_SUBMIT_ACCEPTED);
      return;
    }
  ck_abort_msg ("an evacuation is not acknowledged");
}

void
config_sim_evacuate (const char *domain, int is_finish)
{
  WlEvacuation e = config_sim_evacuation (domain);
  if (e.is_active == is_finish)
    config_sim_repeat_evacuation (domain, e.sequence, is_finish);
}

/* Sends a request to the current leader, repeatedly for up to limit_us. NULL without an answer. */
const ConfigSimAnswer *
config_sim_request (WlMessageKind kind, uint64_t version, const char *config, uint64_t limit_us)
{
  for (uint64_t until_us = config_sim.now_us + limit_us; config_sim.now_us < until_us;)
    {
      uint32_t to = config_sim_leader ();
      if (to == 0)
        {
          config_sim_run (50000);
          continue;
        }
      uint64_t id = config_sim_send (to, to, kind, version, config);
      for (int i = 0; i < 10 && config_sim_answer (id) == NULL; i++)
        config_sim_run (30000);
      if (config_sim_answer (id) != NULL)
        return config_sim_answer (id);
    }
  return NULL;
}

void
config_sim_submit (uint64_t version, const char *config)
{
  ck_assert_ptr_nonnull (config_sim_request (WL_MESSAGE_SUBMIT, version, config, 10000000));
}

void
config_sim_assert_config (uint64_t version, const char *config)
{
  const ConfigSimAnswer *a = config_sim_request (WL_MESSAGE_QUERY, 0, NULL, 10000000);
  ck_assert_ptr_nonnull (a);
  ck_assert_uint_eq (a->version, version);
  ck_assert_str_eq (a->config, config);
}

void
config_sim_start_three (void)
{
  for (uint32_t i = 1; i <= 3; i++)
    config_sim_start (i, config_sim_initial, 3);
  config_sim_run (2000000);
}
