#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_delta.h"
#include "wl_document.h"
#include "wl_memory_disk.h"
#include "wl_storage.h"
#include "wl_random.h"
#include "wl_test.h"

/*
 * The replicated text on a network that delays, loses and reorders messages,
 * with disks that forget what was not synced.
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
  WlDocument *document;
  int is_up;
  int is_cut;
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
  char text[64];
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
post (uint32_t from, uint32_t to, WlBytes bytes)
{
  sim.sent_bytes += from != to ? bytes.size : 0;
  if (sim.n_queue == QUEUE_MAX || wl_random_next (&sim.random) % 100 < sim.loss_percent)
    return;
  sim.queue[sim.n_queue++] = (Packet){ sim.now_us + 500 + wl_random_next (&sim.random) % 5000, from,
                                       to, wl_bytes_dup (bytes) };
}

static void
carry_out (uint32_t node, WlEffects *fx)
{
  Node *n = &sim.nodes[node];
  for (uint32_t i = 0; i < fx->count; i++)
    ck_assert_int_eq (wl_storage_write (n->storage, &fx->items[i]), WL_OK);
  ck_assert_int_eq (wl_storage_sync (n->storage), WL_OK);
  for (uint32_t i = 0; i < fx->count; i++)
    if (fx->items[i].kind == WL_EFFECT_SEND)
      post (node, fx->items[i].u.send.node, fx->items[i].u.send.bytes);
}

static void
start (uint32_t node, const uint32_t *founders, uint32_t n_founders)
{
  Node *n = &sim.nodes[node];
  WlSettings settings = { .self.node = node, .seed = wl_random_next (&sim.random) };
  WlDisk *disk = memory_disk_open (&n->folder);
  ck_assert_int_eq (wl_storage_open (disk, wl_random_next (&sim.random) | 1, &n->storage), WL_OK);
  settings.replica_incarnation = wl_storage_incarnation (n->storage);
  ck_assert_int_eq (
      wl_document_create (&settings, wl_storage_state (n->storage), sim.now_us, &n->document),
      WL_OK);
  wl_document_set_voters (n->document, 1);
  if (founders != NULL)
    wl_document_set_founders (n->document, founders, n_founders);
  for (uint32_t i = 1; i <= NODES; i++)
    if (sim.nodes[i].has_started)
      {
        wl_document_add_peer (n->document, i);
        if (sim.nodes[i].is_up)
          wl_document_add_peer (sim.nodes[i].document, node);
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
  wl_document_destroy (n->document);
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
  WlBytes text;
  apr_pool_create (&pool, NULL);
  ck_assert_int_eq (wl_text_unpack (m->u.query_reply.text, pool, &text), WL_OK);
  text = wl_document_unpack (text, &a->version);
  memcpy (a->text, text.data, text.size < sizeof a->text ? text.size : sizeof a->text - 1);
  apr_pool_destroy (pool);
}

static void
deliver (const Packet *p)
{
  apr_pool_t *pool;
  WlMessage m;
  const Node *from = &sim.nodes[p->from];
  Node *to = &sim.nodes[p->to];
  if (!to->is_up || (p->from != p->to && (from->is_cut || to->is_cut)))
    return;
  apr_pool_create (&pool, NULL);
  ck_assert_int_eq (wl_message_decode (p->bytes, &m, pool), WL_OK);
  WlEffects *fx = wl_effects_create ();
  if (wl_document_receive (to->document, p->from, &m, sim.now_us, fx))
    carry_out (p->to, fx);
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
            wl_document_tick (sim.nodes[i].document, sim.now_us, fx);
            wl_document_flush (sim.nodes[i].document, sim.now_us, fx);
            carry_out (i, fx);
            wl_effects_destroy (fx);
          }
    }
}

static void
begin (uint64_t seed)
{
  memset (&sim, 0, sizeof sim);
  sim.random = seed;
  sim.now_us = 1000000;
}

static void
end (void)
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
    if (sim.nodes[i].is_up && !sim.nodes[i].is_cut
        && wl_document_leader (sim.nodes[i].document) == i)
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
ask (uint32_t to, WlMessageKind kind, uint64_t version, const char *text)
{
  apr_pool_t *pool;
  WlMessage m = { .kind = kind };
  uint64_t id = ++sim.next_id;
  if (kind == WL_MESSAGE_SUBMIT)
    m.u.submit = (WlSubmit){ .id = id,
                             .node = to,
                             .replaces = version,
                             .text = { (const uint8_t *)text, (uint32_t)strlen (text) } };
  else
    m.u.query = (WlQuery){ .id = id, .node = to, .number = UINT64_MAX };
  apr_pool_create (&pool, NULL);
  post (to, to, wl_message_encode (&m, pool));
  apr_pool_destroy (pool);
  return id;
}

/* Asks whoever leads, again and again, for at most limit_us. NULL without an answer. */
static const Answer *
ask_until_answered (WlMessageKind kind, uint64_t version, const char *text, uint64_t limit_us)
{
  for (uint64_t until_us = sim.now_us + limit_us; sim.now_us < until_us;)
    {
      uint32_t to = leader ();
      if (to == 0)
        {
          run (50000);
          continue;
        }
      uint64_t id = ask (to, kind, version, text);
      for (int i = 0; i < 10 && find_answer (id) == NULL; i++)
        run (30000);
      if (find_answer (id) != NULL)
        return find_answer (id);
    }
  return NULL;
}

static void
submit (uint64_t version, const char *text)
{
  ck_assert_ptr_nonnull (ask_until_answered (WL_MESSAGE_SUBMIT, version, text, 10000000));
}

static void
assert_text (uint64_t version, const char *text)
{
  const Answer *a = ask_until_answered (WL_MESSAGE_QUERY, 0, NULL, 10000000);
  ck_assert_ptr_nonnull (a);
  ck_assert_uint_eq (a->version, version);
  ck_assert_str_eq (a->text, text);
}

static const uint32_t founders[] = { 1, 2, 3 };

static void
start_three (void)
{
  for (uint32_t i = 1; i <= 3; i++)
    start (i, founders, 3);
  run (2000000);
}

START_TEST (one_group_is_founded_whatever_the_order_of_starts_and_kills)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      begin (seed);
      for (uint32_t i = 0; i < 3; i++)
        {
          start ((uint32_t)((seed + i) % 3) + 1, founders, 3);
          run (wl_random_next (&sim.random) % 300000);
        }
      uint32_t victim = (uint32_t)(wl_random_next (&sim.random) % 3) + 1;
      run (wl_random_next (&sim.random) % 400000);
      crash (victim);
      run (wl_random_next (&sim.random) % 300000);
      start (victim, founders, 3);
      submit (1, "first");
      assert_text (1, "first");
      end ();
    }
}
END_TEST

START_TEST (the_highest_version_counts_and_lower_ones_change_nothing)
{
  begin (3);
  start_three ();
  submit (7, "seven");
  submit (5, "five");
  submit (7, "other seven");
  assert_text (7, "seven");
  submit (9, "nine");
  submit (9, "nine");
  assert_text (9, "nine");
  end ();
}
END_TEST

START_TEST (of_two_texts_under_one_version_one_is_kept_for_good)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      begin (seed);
      start_three ();
      sim.loss_percent = 5;
      uint32_t to = leader ();
      ask (to, WL_MESSAGE_SUBMIT, 4, "left");
      ask (to, WL_MESSAGE_SUBMIT, 4, "right");
      run (wl_random_next (&sim.random) % 40000);
      crash (to);
      run (1500000);
      start (to, founders, 3);
      submit (4, "third");
      const Answer *a = ask_until_answered (WL_MESSAGE_QUERY, 0, NULL, 10000000);
      ck_assert_ptr_nonnull (a);
      char kept[64];
      strcpy (kept, a->text);
      uint32_t other = leader ();
      crash (other);
      run (1500000);
      start (other, founders, 3);
      assert_text (4, kept);
      end ();
    }
}
END_TEST

START_TEST (what_was_acknowledged_outlives_a_loss_of_power_everywhere)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      begin (seed);
      start_three ();
      submit (1, "one");
      submit (2, "two");
      for (uint32_t i = 1; i <= 3; i++)
        crash (i);
      for (uint32_t i = 1; i <= 3; i++)
        start (i, founders, 3);
      uint64_t back_us = sim.now_us;
      assert_text (2, "two");
      ck_assert_uint_le (sim.now_us - back_us, 1500000);
      end ();
    }
}
END_TEST

START_TEST (a_wiped_replica_comes_back_and_then_another_may_be_lost)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      begin (seed);
      start_three ();
      submit (1, "one");
      uint32_t first = (uint32_t)(seed % 3) + 1;
      wipe (first);
      run (200000);
      start (first, NULL, 0);
      run (3000000);
      uint32_t second = first % 3 + 1;
      wipe (second);
      assert_text (1, "one");
      start (second, NULL, 0);
      run (3000000);
      submit (2, "two");
      assert_text (2, "two");
      end ();
    }
}
END_TEST

START_TEST (an_empty_replica_at_a_new_address_takes_the_place_of_one_that_is_gone)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      begin (seed);
      start_three ();
      submit (1, "one");
      uint32_t gone = (uint32_t)(seed % 3) + 1;
      wipe (gone);
      run (1000000);
      start (4, NULL, 0);
      run (4000000);
      /* The new replica carries the group: another one may be lost now. */
      wipe (gone % 3 + 1);
      submit (2, "two");
      assert_text (2, "two");
      end ();
    }
}
END_TEST

START_TEST (a_leader_that_is_cut_off_confirms_nothing)
{
  begin (11);
  start_three ();
  submit (1, "one");
  uint32_t old = leader ();
  sim.nodes[old].is_cut = 1;
  uint64_t read = ask (old, WL_MESSAGE_QUERY, 0, NULL);
  uint64_t write = ask (old, WL_MESSAGE_SUBMIT, 8, "lost");
  submit (2, "two");
  run (3000000);
  ck_assert_ptr_null (find_answer (read));
  ck_assert_ptr_null (find_answer (write));
  sim.nodes[old].is_cut = 0;
  run (2000000);
  assert_text (2, "two");
  end ();
}
END_TEST

START_TEST (hundreds_of_changes_are_compacted_and_survive_a_wipe)
{
  char text[32];
  begin (13);
  start_three ();
  for (uint64_t v = 1; v <= 400; v++)
    {
      snprintf (text, sizeof text, "text %lu", (unsigned long)v);
      submit (v, text);
    }
  wipe (1);
  start (1, NULL, 0);
  run (4000000);
  wipe (2);
  assert_text (400, "text 400");
  end ();
}
END_TEST

/* ---- large texts ---- */

enum
{
  ROUTES = 1500,
  ROUTE_SIZE = 200,
  LARGE_SIZE = 64 + (ROUTES + 1) * ROUTE_SIZE,
  STORM = 60,            /* changes */
  STORM_GAP_US = 100000, /* ten a second */
  IN_FORCE_US = 1000000, /* from a submission to its acknowledgement */
  CHANGE_BYTES = 4096,   /* on the wire, of one change of a few hundred bytes */
  /* The smallest VM has 160 MB: the replica may use a twentieth beside requests and connections. */
  REPLICA_BYTES = 8 << 20,
};

/* A text whose version stands in front, with a route changed in its middle and one at its end. */
static const char *
large_text (uint64_t version)
{
  static char text[LARGE_SIZE];
  size_t n = (size_t)snprintf (text, sizeof text, "{\"version\":%lu,", (unsigned long)version);
  for (uint64_t i = 0; i <= ROUTES; i++)
    {
      uint64_t seed = i * 7919;
      uint64_t changed = i == version * 37 % ROUTES || i == ROUTES ? version : 0;
      n += (size_t)snprintf (
          text + n, sizeof text - n,
          "{\"name\":\"r-%08lx\",\"host\":\"h%016lx.example\",\"prefix\":\"/%016lx/"
          "\",\"kind\":\"streaming\",\"timeout_ms\":%lu,\"service\":\"s-%08lx\"},",
          (unsigned long)(i + changed), (unsigned long)wl_random_next (&seed),
          (unsigned long)wl_random_next (&seed), (unsigned long)(10000 + changed),
          (unsigned long)(wl_random_next (&seed) % 5));
    }
  return text;
}

/*
 * Guards against a change that travels as the whole text: the version in front and a route at the
 * end differ, so that the bytes between the first and the last difference are nearly all of it.
 */
START_TEST (a_small_change_to_a_large_text_costs_its_own_size)
{
  begin (17);
  start_three ();
  submit (1, large_text (1));
  run (1000000);
  for (uint64_t v = 2; v < 6; v++)
    {
      uint64_t heartbeats = sim.sent_bytes;
      run (500000);
      heartbeats = sim.sent_bytes - heartbeats;
      uint64_t before = sim.sent_bytes;
      submit (v, large_text (v));
      run (500000);
      ck_assert_uint_le (sim.sent_bytes - before, 2 * heartbeats + 2 * CHANGE_BYTES);
    }
  end ();
}
END_TEST

static uint64_t
held_bytes (uint32_t node)
{
  WlDocumentMemory m;
  wl_document_memory (sim.nodes[node].document, &m);
  return m.text + m.changes + m.log + m.snapshot + m.waiting;
}

/* Guards against a replica whose memory grows with every change to a large text. */
START_TEST (a_storm_of_changes_to_a_large_text_does_not_outgrow_a_replica)
{
  begin (19);
  start_three ();
  submit (1, large_text (1));
  for (uint64_t v = 2; v <= STORM; v++)
    {
      ask (leader (), WL_MESSAGE_SUBMIT, v, large_text (v));
      run (STORM_GAP_US);
      for (uint32_t i = 1; i <= 3; i++)
        ck_assert_uint_le (held_bytes (i), REPLICA_BYTES);
    }
  run (IN_FORCE_US);
  const Answer *last = find_answer (sim.next_id);
  ck_assert_ptr_nonnull (last);
  wipe (leader ());
  ck_assert_ptr_nonnull (ask_until_answered (WL_MESSAGE_QUERY, 0, NULL, 10000000));
  end ();
}
END_TEST

/* Guards against submissions that queue behind one commit each while higher versions wait. */
START_TEST (of_submissions_that_wait_the_highest_version_is_committed_first)
{
  enum
  {
    SUBMISSIONS = 40,
  };
  char text[32];
  uint64_t number;
  begin (23);
  start_three ();
  submit (1, "one");
  uint64_t first = sim.next_id + 1;
  for (uint64_t v = 2; v <= SUBMISSIONS; v++)
    {
      snprintf (text, sizeof text, "text %lu", (unsigned long)v);
      ask (leader (), WL_MESSAGE_SUBMIT, v, text);
      Packet p = sim.queue[--sim.n_queue]; /* the leader's own operator: in order, at once */
      deliver (&p);
      wl_bytes_release (&p.bytes);
    }
  run (200000);
  for (uint64_t id = first; id <= sim.next_id; id++)
    {
      ck_assert_ptr_nonnull (find_answer (id));
      ck_assert_uint_eq (find_answer (id)->outcome, WL_SUBMIT_ACCEPTED);
    }
  wl_document_text (sim.nodes[leader ()].document, &number);
  ck_assert_uint_lt (number, SUBMISSIONS / 4); /* the versions between were never proposed */
  assert_text (SUBMISSIONS, "text 40");
  end ();
}
END_TEST

/* Guards against a leader that keeps every large text it is sent while it cannot commit. */
START_TEST (submissions_beyond_the_bound_are_refused_at_once)
{
  uint32_t n_refused = 0;
  begin (29);
  start_three ();
  submit (1, large_text (1));
  uint32_t node = leader ();
  sim.nodes[node].is_cut = 1;
  uint64_t first = sim.next_id + 1;
  for (uint64_t v = 2; v <= 40; v++)
    {
      ask (node, WL_MESSAGE_SUBMIT, v, large_text (v));
      run (STEP_US);
      ck_assert_uint_le (held_bytes (node), REPLICA_BYTES);
    }
  run (2 * STEP_US);
  for (uint64_t id = first; id <= sim.next_id; id++)
    if (find_answer (id) != NULL)
      {
        ck_assert_uint_eq (find_answer (id)->outcome, WL_SUBMIT_UNAVAILABLE);
        n_refused++;
      }
  ck_assert_uint_gt (n_refused, 20);
  end ();
}
END_TEST

/*
 * Guards against a refusal of what was taken: its sender asks again while the
 * queue is full, and is told that it has not been taken, and then it is committed.
 */
START_TEST (a_submission_that_waits_is_not_refused_when_it_is_repeated)
{
  begin (31);
  start_three ();
  submit (1, large_text (1));
  uint32_t node = leader ();
  sim.nodes[node].is_cut = 1;
  uint64_t first = ask (node, WL_MESSAGE_SUBMIT, 2, large_text (2));
  run (3 * STEP_US);
  for (uint64_t v = 3; v <= 40; v++)
    {
      ask (node, WL_MESSAGE_SUBMIT, v, large_text (v));
      run (STEP_US);
    }
  uint64_t latest = sim.next_id;
  sim.next_id = first - 1;
  ck_assert_uint_eq (ask (node, WL_MESSAGE_SUBMIT, 2, large_text (2)), first);
  sim.next_id = latest;
  run (3 * STEP_US);
  ck_assert_ptr_null (find_answer (first));
  end ();
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (one_group_is_founded_whatever_the_order_of_starts_and_kills),
    WL_TEST (the_highest_version_counts_and_lower_ones_change_nothing),
    WL_TEST (of_two_texts_under_one_version_one_is_kept_for_good),
    WL_TEST (what_was_acknowledged_outlives_a_loss_of_power_everywhere),
    WL_TEST (a_wiped_replica_comes_back_and_then_another_may_be_lost),
    WL_TEST (an_empty_replica_at_a_new_address_takes_the_place_of_one_that_is_gone),
    WL_TEST (a_leader_that_is_cut_off_confirms_nothing),
    WL_TEST (hundreds_of_changes_are_compacted_and_survive_a_wipe),
    WL_TEST (a_small_change_to_a_large_text_costs_its_own_size),
    WL_TEST (a_storm_of_changes_to_a_large_text_does_not_outgrow_a_replica),
    WL_TEST (of_submissions_that_wait_the_highest_version_is_committed_first),
    WL_TEST (submissions_beyond_the_bound_are_refused_at_once),
    WL_TEST (a_submission_that_waits_is_not_refused_when_it_is_repeated),
  };
  apr_initialize ();
  return wl_test_run ("document", tests, sizeof tests / sizeof tests[0]);
}
