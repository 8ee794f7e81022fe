#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_delta.h"
#include "wl_config_store.h"
#include "wl_memory_disk.h"
#include "wl_storage.h"
#include "wl_random.h"
#include "wl_test.h"

/*
 * The replicated configuration store on a simulated network that delays, loses and
 * reorders messages, with disks that lose unsynced writes in a crash.
 */

enum
{
  NODES = 5,
  QUEUE_MAX = 4096,
  STEP_US = 5000,
  ANSWERS_MAX = 256,
};

typedef struct
{
  MemoryFolder folder;
  WlStorage *storage;
  WlConfigStore *store;
  int is_up;
  int is_isolated;
  int has_started;
} Node;

typedef struct
{
  uint64_t due_us;
  uint32_t from;
  uint32_t to;
  WlBytes bytes; /* on the heap */
} Packet;

typedef struct
{
  uint64_t id;
  WlMessageKind kind;
  uint64_t number;
  uint64_t version;
  uint8_t outcome; /* of a submission */
  char config[64];
} Answer;

typedef struct
{
  Node nodes[NODES + 1];
  Packet queue[QUEUE_MAX];
  uint32_t n_queue;
  Answer answers[ANSWERS_MAX];
  uint32_t n_answers;
  uint64_t now_us;
  uint64_t random;
  uint64_t next_id;
  uint32_t loss_percent;
  uint64_t sent_bytes; /* between nodes */
} Sim;

static Sim sim;

static void
send_packet (uint32_t from, uint32_t to, WlBytes bytes)
{
  sim.sent_bytes += from != to ? bytes.size : 0;
  if (sim.n_queue == QUEUE_MAX || wl_random_next (&sim.random) % 100 < sim.loss_percent)
    return;
  sim.queue[sim.n_queue++] = (Packet){ sim.now_us + 500 + wl_random_next (&sim.random) % 5000, from,
                                       to, wl_bytes_dup (bytes) };
}

static void
execute (uint32_t node, WlEffects *fx)
{
  Node *n = &sim.nodes[node];
  for (uint32_t i = 0; i < fx->count; i++)
    ck_assert_int_eq (wl_storage_write (n->storage, &fx->items[i]), WL_OK);
  ck_assert_int_eq (wl_storage_sync (n->storage), WL_OK);
  for (uint32_t i = 0; i < fx->count; i++)
    if (fx->items[i].kind == WL_EFFECT_SEND)
      send_packet (node, fx->items[i].u.send.node, fx->items[i].u.send.bytes);
}

static void
start (uint32_t node, const uint32_t *bootstrap_peers, uint32_t n_bootstrap_peers)
{
  Node *n = &sim.nodes[node];
  WlSettings settings = { .self.node = node, .seed = wl_random_next (&sim.random) };
  WlDisk *disk = memory_disk_open (&n->folder);
  ck_assert_int_eq (wl_storage_open (disk, wl_random_next (&sim.random) | 1, &n->storage), WL_OK);
  settings.replica_incarnation = wl_storage_incarnation (n->storage);
  ck_assert_int_eq (
      wl_config_store_create (&settings, wl_storage_state (n->storage), sim.now_us, &n->store),
      WL_OK);
  wl_config_store_set_tolerated_faults (n->store, 1);
  if (bootstrap_peers != NULL)
    wl_config_store_allow_bootstrap (n->store, bootstrap_peers, n_bootstrap_peers);
  for (uint32_t i = 1; i <= NODES; i++)
    if (sim.nodes[i].has_started)
      {
        wl_config_store_add_peer (n->store, i);
        if (sim.nodes[i].is_up)
          wl_config_store_add_peer (sim.nodes[i].store, node);
      }
  wl_storage_forget (n->storage);
  n->is_up = 1;
  n->has_started = 1;
}

static void
crash (uint32_t node)
{
  Node *n = &sim.nodes[node];
  if (!n->is_up)
    return;
  wl_config_store_destroy (n->store);
  wl_storage_close (n->storage);
  memory_folder_crash (&n->folder);
  n->is_up = 0;
}

static void
wipe (uint32_t node)
{
  crash (node);
  memory_folder_clear (&sim.nodes[node].folder);
}

static void
record_answer (const WlMessage *m)
{
  Answer *a = &sim.answers[sim.n_answers++ % ANSWERS_MAX];
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
  config = wl_config_split_version (config, &a->version);
  memcpy (a->config, config.data,
          config.size < sizeof a->config ? config.size : sizeof a->config - 1);
  apr_pool_destroy (pool);
}

static void
deliver (const Packet *p)
{
  apr_pool_t *pool;
  WlMessage m;
  const Node *from = &sim.nodes[p->from];
  Node *to = &sim.nodes[p->to];
  if (!to->is_up || (p->from != p->to && (from->is_isolated || to->is_isolated)))
    return;
  apr_pool_create (&pool, NULL);
  ck_assert_int_eq (wl_message_decode (p->bytes, &m, pool), WL_OK);
  WlEffects *fx = wl_effects_create ();
  if (wl_config_store_receive (to->store, p->from, &m, sim.now_us, fx))
    execute (p->to, fx);
  else if (m.kind == WL_MESSAGE_SUBMIT_REPLY || m.kind == WL_MESSAGE_QUERY_REPLY)
    record_answer (&m);
  wl_effects_destroy (fx);
  apr_pool_destroy (pool);
}

static void
run (uint64_t duration_us)
{
  for (uint64_t until_us = sim.now_us + duration_us; sim.now_us < until_us; sim.now_us += STEP_US)
    {
      for (uint32_t i = 0; i < sim.n_queue;)
        {
          Packet p = sim.queue[i];
          if (p.due_us > sim.now_us)
            {
              i++;
              continue;
            }
          sim.queue[i] = sim.queue[--sim.n_queue];
          deliver (&p);
          wl_bytes_release (&p.bytes);
        }
      for (uint32_t i = 1; i <= NODES; i++)
        if (sim.nodes[i].is_up)
          {
            WlEffects *fx = wl_effects_create ();
            wl_config_store_tick (sim.nodes[i].store, sim.now_us, fx);
            wl_config_store_flush (sim.nodes[i].store, sim.now_us, fx);
            execute (i, fx);
            wl_effects_destroy (fx);
          }
    }
}

static void
start_simulation (uint64_t seed)
{
  memset (&sim, 0, sizeof sim);
  sim.random = seed;
  sim.now_us = 1000000;
}

static void
end_simulation (void)
{
  for (uint32_t i = 1; i <= NODES; i++)
    crash (i);
  for (uint32_t i = 0; i < sim.n_queue; i++)
    wl_bytes_release (&sim.queue[i].bytes);
  for (uint32_t i = 1; i <= NODES; i++)
    memory_folder_clear (&sim.nodes[i].folder);
}

static uint32_t
leader (void)
{
  for (uint32_t i = 1; i <= NODES; i++)
    if (sim.nodes[i].is_up && !sim.nodes[i].is_isolated
        && wl_config_store_leader (sim.nodes[i].store) == i)
      return i;
  return 0;
}

static const Answer *
find_answer (uint64_t id)
{
  for (uint32_t i = 0; i < sim.n_answers && i < ANSWERS_MAX; i++)
    if (sim.answers[i].id == id)
      return &sim.answers[i];
  return NULL;
}

static uint64_t
send_request (uint32_t to, WlMessageKind kind, uint64_t version, const char *config)
{
  apr_pool_t *pool;
  WlMessage m = { .kind = kind };
  uint64_t id = ++sim.next_id;
  if (kind == WL_MESSAGE_SUBMIT)
    m.u.submit = (WlSubmit){ .id = id,
                             .node = to,
                             .replaces = version,
                             .config = { (const uint8_t *)config, (uint32_t)strlen (config) } };
  else
    m.u.query = (WlQuery){ .id = id, .node = to, .number = UINT64_MAX };
  apr_pool_create (&pool, NULL);
  send_packet (to, to, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
  return id;
}

/* Sends a request to the current leader, repeatedly for up to limit_us. NULL without an answer. */
static const Answer *
request_until_answered (WlMessageKind kind, uint64_t version, const char *config, uint64_t limit_us)
{
  for (uint64_t until_us = sim.now_us + limit_us; sim.now_us < until_us;)
    {
      uint32_t to = leader ();
      if (to == 0)
        {
          run (50000);
          continue;
        }
      uint64_t id = send_request (to, kind, version, config);
      for (int i = 0; i < 10 && find_answer (id) == NULL; i++)
        run (30000);
      if (find_answer (id) != NULL)
        return find_answer (id);
    }
  return NULL;
}

static void
submit (uint64_t version, const char *config)
{
  ck_assert_ptr_nonnull (request_until_answered (WL_MESSAGE_SUBMIT, version, config, 10000000));
}

static void
assert_config (uint64_t version, const char *config)
{
  const Answer *a = request_until_answered (WL_MESSAGE_QUERY, 0, NULL, 10000000);
  ck_assert_ptr_nonnull (a);
  ck_assert_uint_eq (a->version, version);
  ck_assert_str_eq (a->config, config);
}

static const uint32_t initial_replicas[] = { 1, 2, 3 };

static void
start_three (void)
{
  for (uint32_t i = 1; i <= 3; i++)
    start (i, initial_replicas, 3);
  run (2000000);
}

/* Guards against two groups, or none, when replicas start one by one and one of them crashes. */
START_TEST (one_group_is_bootstrapped_in_any_order_of_starts_and_crashes)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      start_simulation (seed);
      for (uint32_t i = 0; i < 3; i++)
        {
          start ((uint32_t)((seed + i) % 3) + 1, initial_replicas, 3);
          run (wl_random_next (&sim.random) % 300000);
        }
      uint32_t victim = (uint32_t)(wl_random_next (&sim.random) % 3) + 1;
      run (wl_random_next (&sim.random) % 400000);
      crash (victim);
      run (wl_random_next (&sim.random) % 300000);
      start (victim, initial_replicas, 3);
      submit (1, "first");
      assert_config (1, "first");
      end_simulation ();
    }
}
END_TEST

START_TEST (the_highest_version_wins_and_lower_ones_change_nothing)
{
  start_simulation (3);
  start_three ();
  submit (7, "seven");
  submit (5, "five");
  submit (7, "other seven");
  assert_config (7, "seven");
  submit (9, "nine");
  submit (9, "nine");
  assert_config (9, "nine");
  end_simulation ();
}
END_TEST

/*
 * Guards against a configuration that changes under its version: two operators submit different
 * ones with the same version, and the leader crashes in between.
 */
START_TEST (of_two_configurations_with_one_version_one_is_kept)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      start_simulation (seed);
      start_three ();
      sim.loss_percent = 5;
      uint32_t to = leader ();
      send_request (to, WL_MESSAGE_SUBMIT, 4, "left");
      send_request (to, WL_MESSAGE_SUBMIT, 4, "right");
      run (wl_random_next (&sim.random) % 40000);
      crash (to);
      run (1500000);
      start (to, initial_replicas, 3);
      submit (4, "third");
      const Answer *a = request_until_answered (WL_MESSAGE_QUERY, 0, NULL, 10000000);
      ck_assert_ptr_nonnull (a);
      char kept[64];
      strcpy (kept, a->config);
      uint32_t other = leader ();
      crash (other);
      run (1500000);
      start (other, initial_replicas, 3);
      assert_config (4, kept);
      end_simulation ();
    }
}
END_TEST

/* Guards against an acknowledgement before the entry is synced on a quorum, and a slow restart. */
START_TEST (acknowledged_configurations_survive_a_power_loss_of_all_replicas)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      start_simulation (seed);
      start_three ();
      submit (1, "one");
      submit (2, "two");
      for (uint32_t i = 1; i <= 3; i++)
        crash (i);
      for (uint32_t i = 1; i <= 3; i++)
        start (i, initial_replicas, 3);
      uint64_t back_us = sim.now_us;
      assert_config (2, "two");
      ck_assert_uint_le (sim.now_us - back_us, 1500000);
      end_simulation ();
    }
}
END_TEST

START_TEST (a_wiped_replica_rejoins_and_then_another_may_be_lost)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      start_simulation (seed);
      start_three ();
      submit (1, "one");
      uint32_t first = (uint32_t)(seed % 3) + 1;
      wipe (first);
      run (200000);
      start (first, NULL, 0);
      run (3000000);
      uint32_t second = first % 3 + 1;
      wipe (second);
      assert_config (1, "one");
      start (second, NULL, 0);
      run (3000000);
      submit (2, "two");
      assert_config (2, "two");
      end_simulation ();
    }
}
END_TEST

/* Guards against a lost voter that stays a voter, so that the next loss stops the group. */
START_TEST (an_empty_replica_at_a_new_address_replaces_a_lost_one)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      start_simulation (seed);
      start_three ();
      submit (1, "one");
      uint32_t lost = (uint32_t)(seed % 3) + 1;
      wipe (lost);
      run (1000000);
      start (4, NULL, 0);
      run (4000000);
      /* The new replica is a voter now, so that a quorum remains after another loss. */
      wipe (lost % 3 + 1);
      submit (2, "two");
      assert_config (2, "two");
      end_simulation ();
    }
}
END_TEST

/* Guards against answers from a leader that has been replaced without its knowledge. */
START_TEST (an_isolated_leader_answers_neither_reads_nor_submissions)
{
  start_simulation (11);
  start_three ();
  submit (1, "one");
  uint32_t old = leader ();
  sim.nodes[old].is_isolated = 1;
  uint64_t read = send_request (old, WL_MESSAGE_QUERY, 0, NULL);
  uint64_t write = send_request (old, WL_MESSAGE_SUBMIT, 8, "lost");
  submit (2, "two");
  run (3000000);
  ck_assert_ptr_null (find_answer (read));
  ck_assert_ptr_null (find_answer (write));
  sim.nodes[old].is_isolated = 0;
  run (2000000);
  assert_config (2, "two");
  end_simulation ();
}
END_TEST

START_TEST (hundreds_of_changes_are_compacted_and_survive_a_wipe)
{
  char config[32];
  start_simulation (13);
  start_three ();
  for (uint64_t v = 1; v <= 400; v++)
    {
      snprintf (config, sizeof config, "text %lu", (unsigned long)v);
      submit (v, config);
    }
  wipe (1);
  start (1, NULL, 0);
  run (4000000);
  wipe (2);
  assert_config (400, "text 400");
  end_simulation ();
}
END_TEST

/* ---- large configurations ---- */

enum
{
  ROUTES = 1500,
  ROUTE_BYTES = 200,
  LARGE_CONFIG_BYTES = 64 + (ROUTES + 1) * ROUTE_BYTES,
  STORM_CHANGES = 60,
  STORM_INTERVAL_US = 100000, /* ten a second */
  COMMIT_LIMIT_US = 1000000,  /* from a submission to its acknowledgement */
  CHANGE_MAX_BYTES = 4096,    /* on the wire, of one change of a few hundred bytes */
  /* The smallest VM has 160 MB: a replica may use a twentieth of it, beside requests and
     connections. */
  REPLICA_MEMORY_BYTES = 8 << 20,
};

/* A configuration that differs by version at its start, in one route and at its end. */
static const char *
large_config (uint64_t version)
{
  static char config[LARGE_CONFIG_BYTES];
  size_t n = (size_t)snprintf (config, sizeof config, "{\"version\":%lu,", (unsigned long)version);
  for (uint64_t i = 0; i <= ROUTES; i++)
    {
      uint64_t seed = i * 7919;
      uint64_t changed = i == version * 37 % ROUTES || i == ROUTES ? version : 0;
      n += (size_t)snprintf (
          config + n, sizeof config - n,
          "{\"name\":\"r-%08lx\",\"host\":\"h%016lx.example\",\"prefix\":\"/%016lx/"
          "\",\"kind\":\"streaming\",\"timeout_ms\":%lu,\"service\":\"s-%08lx\"},",
          (unsigned long)(i + changed), (unsigned long)wl_random_next (&seed),
          (unsigned long)wl_random_next (&seed), (unsigned long)(10000 + changed),
          (unsigned long)(wl_random_next (&seed) % 5));
    }
  return config;
}

/*
 * Guards against a small change that sends nearly the full configuration: the version at its start
 * and a route at its end differ, so that almost all bytes are between the first and last
 * difference.
 */
START_TEST (a_small_change_to_a_large_configuration_sends_few_bytes)
{
  start_simulation (17);
  start_three ();
  submit (1, large_config (1));
  run (1000000);
  for (uint64_t v = 2; v < 6; v++)
    {
      uint64_t heartbeats = sim.sent_bytes;
      run (500000);
      heartbeats = sim.sent_bytes - heartbeats;
      uint64_t before = sim.sent_bytes;
      submit (v, large_config (v));
      run (500000);
      ck_assert_uint_le (sim.sent_bytes - before, 2 * heartbeats + 2 * CHANGE_MAX_BYTES);
    }
  end_simulation ();
}
END_TEST

static uint64_t
memory_bytes (uint32_t node)
{
  WlConfigStoreMemory m;
  wl_config_store_memory (sim.nodes[node].store, &m);
  return m.config + m.changes + m.log + m.snapshot + m.queued;
}

/* Guards against a replica whose memory grows with every change to a large configuration. */
START_TEST (frequent_changes_to_a_large_configuration_stay_within_memory)
{
  start_simulation (19);
  start_three ();
  submit (1, large_config (1));
  for (uint64_t v = 2; v <= STORM_CHANGES; v++)
    {
      send_request (leader (), WL_MESSAGE_SUBMIT, v, large_config (v));
      run (STORM_INTERVAL_US);
      for (uint32_t i = 1; i <= 3; i++)
        ck_assert_uint_le (memory_bytes (i), REPLICA_MEMORY_BYTES);
    }
  run (COMMIT_LIMIT_US);
  const Answer *last = find_answer (sim.next_id);
  ck_assert_ptr_nonnull (last);
  wipe (leader ());
  ck_assert_ptr_nonnull (request_until_answered (WL_MESSAGE_QUERY, 0, NULL, 10000000));
  end_simulation ();
}
END_TEST

/* Guards against one commit for each queued submission, while higher versions wait behind them. */
START_TEST (of_queued_submissions_the_highest_version_is_committed_first)
{
  enum
  {
    SUBMISSIONS = 40,
  };
  char config[32];
  uint64_t number;
  start_simulation (23);
  start_three ();
  submit (1, "one");
  uint64_t first = sim.next_id + 1;
  for (uint64_t v = 2; v <= SUBMISSIONS; v++)
    {
      snprintf (config, sizeof config, "text %lu", (unsigned long)v);
      send_request (leader (), WL_MESSAGE_SUBMIT, v, config);
      Packet p = sim.queue[--sim.n_queue]; /* delivered at once and in order, as from an operator at
                                              the leader */
      deliver (&p);
      wl_bytes_release (&p.bytes);
    }
  run (200000);
  for (uint64_t id = first; id <= sim.next_id; id++)
    {
      ck_assert_ptr_nonnull (find_answer (id));
      ck_assert_uint_eq (find_answer (id)->outcome, WL_SUBMIT_ACCEPTED);
    }
  wl_config_store_latest (sim.nodes[leader ()].store, &number);
  ck_assert_uint_lt (number, SUBMISSIONS / 4); /* most versions were never proposed */
  assert_config (SUBMISSIONS, "text 40");
  end_simulation ();
}
END_TEST

/* Guards against a leader that cannot commit and runs out of memory with queued submissions. */
START_TEST (submissions_beyond_the_queue_bound_are_refused_at_once)
{
  uint32_t n_refused = 0;
  start_simulation (29);
  start_three ();
  submit (1, large_config (1));
  uint32_t node = leader ();
  sim.nodes[node].is_isolated = 1;
  uint64_t first = sim.next_id + 1;
  for (uint64_t v = 2; v <= 40; v++)
    {
      send_request (node, WL_MESSAGE_SUBMIT, v, large_config (v));
      run (STEP_US);
      ck_assert_uint_le (memory_bytes (node), REPLICA_MEMORY_BYTES);
    }
  run (2 * STEP_US);
  for (uint64_t id = first; id <= sim.next_id; id++)
    if (find_answer (id) != NULL)
      {
        ck_assert_uint_eq (find_answer (id)->outcome, WL_SUBMIT_UNAVAILABLE);
        n_refused++;
      }
  ck_assert_uint_gt (n_refused, 20);
  end_simulation ();
}
END_TEST

/*
 * Guards against a submission that is reported as refused but then committed: it is
 * queued, the queue fills up, and its sender repeats it.
 */
START_TEST (a_submission_that_waits_is_not_refused_when_it_is_repeated)
{
  start_simulation (31);
  start_three ();
  submit (1, large_config (1));
  uint32_t node = leader ();
  sim.nodes[node].is_isolated = 1;
  uint64_t first = send_request (node, WL_MESSAGE_SUBMIT, 2, large_config (2));
  run (3 * STEP_US);
  for (uint64_t v = 3; v <= 40; v++)
    {
      send_request (node, WL_MESSAGE_SUBMIT, v, large_config (v));
      run (STEP_US);
    }
  uint64_t latest = sim.next_id;
  sim.next_id = first - 1;
  ck_assert_uint_eq (send_request (node, WL_MESSAGE_SUBMIT, 2, large_config (2)), first);
  sim.next_id = latest;
  run (3 * STEP_US);
  ck_assert_ptr_null (find_answer (first));
  end_simulation ();
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (one_group_is_bootstrapped_in_any_order_of_starts_and_crashes),
    WL_TEST (the_highest_version_wins_and_lower_ones_change_nothing),
    WL_TEST (of_two_configurations_with_one_version_one_is_kept),
    WL_TEST (acknowledged_configurations_survive_a_power_loss_of_all_replicas),
    WL_TEST (a_wiped_replica_rejoins_and_then_another_may_be_lost),
    WL_TEST (an_empty_replica_at_a_new_address_replaces_a_lost_one),
    WL_TEST (an_isolated_leader_answers_neither_reads_nor_submissions),
    WL_TEST (hundreds_of_changes_are_compacted_and_survive_a_wipe),
    WL_TEST (a_small_change_to_a_large_configuration_sends_few_bytes),
    WL_TEST (frequent_changes_to_a_large_configuration_stay_within_memory),
    WL_TEST (of_queued_submissions_the_highest_version_is_committed_first),
    WL_TEST (submissions_beyond_the_queue_bound_are_refused_at_once),
    WL_TEST (a_submission_that_waits_is_not_refused_when_it_is_repeated),
  };
  apr_initialize ();
  return wl_test_run ("document", tests, sizeof tests / sizeof tests[0]);
}
