#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <netinet/in.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_delta.h"
#include "wl_host_internal.h"
#include "wl_relay_fixture.h"
#include "wl_sample_engine.h"
#include "wl_test.h"
#include "wl_test_host.h"

/*
 * Evacuations over loopback: three nodes with disks and one without, a plain endpoint and an
 * engine in the domain "y", others in "z". Only the tests advance the clock.
 */

enum
{
  NODES = 4,
  DISKS = 3,
  SERVERS = 5, /* "y": a plain endpoint and an engine; "z": a plain endpoint and two engines */
  SERVERS_Y = 2,
  TURN_US = 2 * WL_HOST_TICK_US, /* of the clock per turn */
  NOW_US = 50000000,
  ROUND_US = 100, /* of real time */
  ROUNDS_MAX = 10000,
  FOUNDED_US = 6000000, /* from the start of the fleet until it takes changes */
  ANSWER_US = 1000000,  /* until a request or a change is answered */
  SPREAD_US = 1000000,  /* until all nodes know of a change: the goal for a large fleet */
  HEARTBEAT_US = 1000000,
  SAVED_US = 300000,         /* until the document is on the disks after an evacuation */
  UNLED_US = 100000,         /* after a start: saved documents are in use, no leader is elected */
  ACKNOWLEDGED_US = 5000000, /* the longest that an operator may wait */
  STEPS_MAX = 3,     /* of a change without time between them: read, submission, and a refusal */
  BACK_US = 3000000, /* until a fleet that was killed as a whole has a leader again */
};

typedef struct
{
  char folder[64];
  uint16_t ports[2]; /* for other nodes, for callers */
  WlHost *nodes[NODES];
  uint32_t only; /* the node of this number, from 1, runs alone; 0 for all */
  WlReactor *reactor;
  WlTcpLoop *loop;
  ScriptServer servers[SERVERS];
  uint64_t registered_us;
  uint64_t sequence;
  uint64_t sent_to_y; /* connections and requests that the servers of "y" have seen */
} Fixture;

static Fixture f;

static WlRoutes *
parse (WlBytes text, WlFindings *findings)
{
  (void)text;
  (void)findings;
  WlRoutes *routes = relay_fixture_routes ();
  routes->limits = (WlWebLimits){ 8192, 65536, 5000000, 5000000 };
  return routes;
}

static void
start_in_group (uint32_t i, int is_first_start, uint32_t n_disks)
{
  static const char *const domains[NODES] = { "x", "y", "z", "z" };
  WlHostOptions options = {
    .node = wl_test_loopback (i + 1),
    .key = "key",
    .peer_port = f.ports[0],
    .client_port = f.ports[1],
    .n_seeds = n_disks,
    .is_first_start = (uint8_t)is_first_start,
    .tolerated_faults = n_disks / 2,
    .retry_ratio = 0.5,
    .retry_slack = 100,
    .retry_window_us = 10000000,
    .protocol = relay_fixture_protocol (),
    .parse = parse,
    .domains = { { "far", "" } },
    .n_domains = 1,
  };
  for (uint32_t k = 0; k < n_disks; k++)
    options.seeds[k] = wl_test_loopback (k + 1);
  snprintf (options.domain, sizeof options.domain, "%s", domains[i]);
  if (i < DISKS)
    snprintf (options.data_folder, sizeof options.data_folder, "%s/%u", f.folder, i);
  ck_assert_int_eq (wl_host_create (&options, &f.nodes[i]), WL_OK);
}

static void
start (uint32_t i, int is_first_start)
{
  start_in_group (i, is_first_start, DISKS);
}

static void
kill_node (uint32_t i)
{
  wl_host_destroy (f.nodes[i]);
  f.nodes[i] = NULL;
}

static void
register_server (uint32_t node, uint32_t i)
{
  int is_engine = i != 0 && i != SERVERS_Y;
  WlEndpointRecord e = { .address = htonl (INADDR_LOOPBACK), .started_ms = 1 };
  e.port = f.servers[i].port;
  e.slots = is_engine ? wl_sample_engines.engine.slots : 4;
  e.sequence = f.sequence;
  snprintf (e.id, sizeof e.id, "e%u", i);
  snprintf (e.service, sizeof e.service, "%s", is_engine ? wl_sample_engines.name : "s");
  snprintf (e.domain, sizeof e.domain, "%s", i < SERVERS_Y ? "y" : "z");
  wl_host_register (f.nodes[node], &e);
}

static void
register_servers (void)
{
  if (wl_clock_now_us () < f.registered_us + HEARTBEAT_US)
    return;
  f.registered_us = wl_clock_now_us ();
  f.sequence++;
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      uint32_t node = (i + (uint32_t)f.sequence) % NODES;
      if (f.nodes[node] != NULL)
        register_server (node, i);
    }
}

static int
is_storing (void)
{
  for (int i = 0; i < NODES; i++)
    if (f.nodes[i] != NULL && !wl_journal_is_idle (f.nodes[i]->journal))
      return 1;
  return 0;
}

/* The clock stands while a disk is written: its thread does not know the clock of the test. */
static void
run_turn (void)
{
  wl_clock_set (wl_clock_now_us () + TURN_US);
  register_servers ();
  for (int round = 0; round < 3 || (is_storing () && round < ROUNDS_MAX); round++)
    {
      if (round >= 3)
        usleep (ROUND_US);
      for (uint32_t i = 0; i < NODES; i++)
        if (f.nodes[i] != NULL && (f.only == 0 || f.only == i + 1))
          {
            f.nodes[i]->next_tick_us = wl_clock_now_us (); /* so that no loop waits */
            wl_host_run_once (f.nodes[i]);
          }
      wl_tcp_flush (f.loop);
      wl_reactor_poll (f.reactor, 0);
    }
}

static void
run (uint64_t duration_us)
{
  for (uint64_t end_us = wl_clock_now_us () + duration_us; wl_clock_now_us () < end_us;)
    run_turn ();
}

/* Adds what the servers of "y" have seen since the last call, and has all answer alike again. */
static void
set_answers (const char *elsewhere)
{
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      ScriptServer *s = &f.servers[i];
      if (i < SERVERS_Y)
        f.sent_to_y += s->n_requests + s->n_connections;
      s->n_requests = 0;
      s->n_connections = 0;
      s->n_steps = 0;
      s->seen_size = 0;
      for (int k = 0; k < SCRIPT_STEPS_MAX; k++)
        script_server_add (s, i < SERVERS_Y ? RELAY_WHOLE : elsewhere, SCRIPT_KEEP);
    }
}

static void
setup (void)
{
  memset (&f, 0, sizeof f);
  strcpy (f.folder, "/tmp/wl-host-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (f.folder));
  wl_clock_set (NOW_US);
  wl_test_free_ports (f.ports, 2);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  f.loop = wl_tcp_loop_create (f.reactor);
  for (uint32_t i = 0; i < SERVERS; i++)
    script_server_start (&f.servers[i], f.loop);
  set_answers (RELAY_WHOLE);
  for (uint32_t i = 0; i < NODES; i++)
    start (i, 1);
  run (FOUNDED_US);
}

static void
teardown (void)
{
  char command[128];
  for (uint32_t i = 0; i < NODES; i++)
    kill_node (i);
  for (uint32_t i = 0; i < SERVERS; i++)
    script_server_stop (&f.servers[i]);
  wl_tcp_loop_destroy (f.loop);
  wl_reactor_destroy (f.reactor);
  snprintf (command, sizeof command, "rm -rf %s", f.folder);
  ck_assert_int_eq (system (command), 0);
  wl_clock_set (0);
}

/* ---- operators ---- */

typedef struct
{
  int is_answered;
  WlHostOutcome outcome;
} Answer;

static void
on_answer (void *data, WlHostOutcome outcome, WlBytes text)
{
  (void)text;
  *(Answer *)data = (Answer){ 1, outcome };
}

static void
configure (void)
{
  Answer a = { 0 };
  wl_host_submit_config (f.nodes[0], 1, (WlBytes){ (const uint8_t *)"text", 4 }, on_answer, &a);
  for (int i = 0; i < ANSWER_US / TURN_US && !a.is_answered; i++)
    run_turn ();
  ck_assert (a.is_answered && a.outcome == WL_HOST_DONE);
  run (SPREAD_US);
}

/* Starts or ends an evacuation at a node, and waits for the answer. */
static WlHostOutcome
change (uint32_t node, const char *domain, int is_finish)
{
  Answer a = { 0 };
  ck_assert_uint_ne (wl_host_evacuate (f.nodes[node], domain, is_finish, on_answer, &a), 0);
  for (int i = 0; i < ANSWER_US / TURN_US && !a.is_answered; i++)
    run_turn ();
  ck_assert_int_eq (a.is_answered, 1);
  return a.outcome;
}

static uint32_t
n_knowing (void)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < NODES; i++)
    n += f.nodes[i] != NULL && f.nodes[i]->fleet->n_evacuated == 1;
  return n;
}

/* ---- callers ---- */

#define LARGE                                                                                      \
  "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Prompt: 60000\r\n"                \
  "Content-Length: 0\r\n\r\n"
#define SHORT                                                                                      \
  "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Prompt: 1000\r\n"                 \
  "Content-Length: 0\r\n\r\n"
#define REJECTED "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

static const char *const requests[]
    = { RELAY_SAFE_REQUEST, RELAY_ONCE_REQUEST, RELAY_STREAM_REQUEST, SHORT, LARGE };

/* Sends a request to a node and returns the status of the response. */
static uint32_t
call (uint32_t node, const char *request)
{
  static RawClient client;
  RawResponse response = { 0 };
  memset (&client, 0, sizeof client);
  raw_client_connect_to (&client, wl_test_loopback (node + 1), f.ports[1]);
  raw_client_send (&client, request);
  for (int i = 0; i < 3 * ANSWER_US / TURN_US && !response.is_whole && !client.is_closed; i++)
    {
      run_turn ();
      raw_client_receive (&client);
      raw_client_read (&client, &response);
    }
  raw_client_close (&client);
  return response.status;
}

/* Sends requests of all kinds to all nodes while the endpoints elsewhere answer with @elsewhere. */
static uint32_t
call_all (const char *elsewhere)
{
  uint32_t n_answered = 0;
  for (uint32_t node = 0; node < NODES; node++)
    for (size_t k = 0; f.nodes[node] != NULL && k < sizeof requests / sizeof *requests; k++)
      {
        set_answers (elsewhere);
        n_answered += call (node, requests[k]) == 200;
      }
  set_answers (elsewhere);
  return n_answered;
}

static void
assert_nothing_reaches_y (void)
{
  uint64_t before = f.sent_to_y;
  ck_assert_uint_eq (call_all (RELAY_WHOLE), NODES * sizeof requests / sizeof *requests);
  call_all (REJECTED); /* retries */
  ck_assert_uint_eq (f.sent_to_y, before);
}

/* ---- tests ---- */

/* Guards against any attempt, retry, reservation or part of a prompt in an evacuated domain. */
START_TEST (nothing_is_sent_to_an_evacuated_domain_by_any_node)
{
  setup ();
  configure ();
  set_answers (RELAY_WHOLE);
  f.sent_to_y = 0;
  for (int i = 0; i < 5; i++)
    call_all (RELAY_WHOLE);
  ck_assert_uint_gt (f.sent_to_y, 0);
  ck_assert_int_eq (change (3, "y", 0), WL_HOST_DONE);
  run (SPREAD_US);
  ck_assert_uint_eq (n_knowing (), NODES);
  set_answers (RELAY_WHOLE);
  assert_nothing_reaches_y ();
  ck_assert_int_eq (change (1, "y", 1), WL_HOST_DONE);
  run (SPREAD_US);
  ck_assert_uint_eq (n_knowing (), 0);
  uint64_t before = f.sent_to_y;
  for (int i = 0; i < 5; i++)
    call_all (RELAY_WHOLE);
  ck_assert_uint_gt (f.sent_to_y, before);
  teardown ();
}
END_TEST

/* Guards against a node that forgets an evacuation: one without a disk, and all at once. */
START_TEST (an_evacuation_survives_restarts)
{
  setup ();
  configure ();
  ck_assert_int_eq (change (0, "y", 0), WL_HOST_DONE);
  run (SPREAD_US);
  kill_node (3);
  start (3, 0);
  set_answers (RELAY_WHOLE);
  run (BACK_US);
  assert_nothing_reaches_y ();
  for (uint32_t i = 0; i < NODES; i++)
    kill_node (i);
  for (uint32_t i = 0; i < NODES; i++)
    start (i, 0);
  run (BACK_US);
  ck_assert_uint_eq (n_knowing (), NODES);
  assert_nothing_reaches_y ();
  teardown ();
}
END_TEST

/*
 * Guards against nodes that lose power soon after an evacuation and use an older saved document
 * until a leader is elected.
 */
START_TEST (an_evacuation_is_in_force_after_a_power_loss_before_there_is_a_leader)
{
  setup ();
  configure ();
  ck_assert_int_eq (change (0, "y", 0), WL_HOST_DONE);
  run (SAVED_US);
  ck_assert_int_eq (change (0, "z", 0), WL_HOST_DONE);
  run (SAVED_US);
  for (uint32_t i = 0; i < NODES; i++)
    kill_node (i);
  for (uint32_t i = 0; i < DISKS; i++)
    start (i, 0);
  run (UNLED_US);
  for (uint32_t i = 0; i < DISKS; i++)
    {
      ck_assert_uint_eq (wl_host_leader (f.nodes[i], wl_clock_now_us ()), 0);
      ck_assert_uint_eq (f.nodes[i]->fleet->n_evacuated, 2);
    }
  teardown ();
}
END_TEST

/* Guards against an acknowledgement that is only of use to the caller that got it. */
START_TEST (a_repeated_change_is_acknowledged_at_any_node)
{
  setup ();
  ck_assert_int_eq (change (0, "y", 1), WL_HOST_DONE); /* a finish without a start */
  ck_assert_uint_eq (n_knowing (), 0);
  for (uint32_t i = 0; i < NODES; i++)
    ck_assert_int_eq (change (i, "y", 0), WL_HOST_DONE);
  run (SPREAD_US);
  ck_assert_uint_eq (n_knowing (), NODES);
  ck_assert_uint_eq (f.nodes[3]->evacuations[0].sequence, 1);
  ck_assert_uint_eq (wl_relay_metrics (f.nodes[3]->relay)->evacuations_changed, 1);
  configure (); /* without one before, the document has evacuations only */
  ck_assert_ptr_nonnull (wl_relay_routes (f.nodes[3]->relay));
  ck_assert_uint_eq (n_knowing (), NODES);
  teardown ();
}
END_TEST

/* Guards against an acknowledgement or a delayed change of a node without a quorum. */
START_TEST (a_node_without_the_others_does_not_acknowledge)
{
  setup ();
  configure ();
  ck_assert_int_eq (change (0, "y", 0), WL_HOST_DONE);
  run (SPREAD_US);
  f.only = 4;
  ck_assert_int_eq (change (3, "y", 1), WL_HOST_UNKNOWN);
  ck_assert_uint_eq (f.nodes[3]->fleet->n_evacuated, 1);
  f.only = 0;
  run (BACK_US);
  ck_assert_uint_eq (n_knowing (), NODES);
  ck_assert_uint_eq (f.nodes[0]->evacuations[0].sequence, 1);
  teardown ();
}
END_TEST

/* Guards against a change that is submitted after its operator has gone to another node. */
START_TEST (a_cancelled_change_is_not_submitted)
{
  Answer a = { 0 };
  setup ();
  f.only = 4;
  uint64_t id = wl_host_evacuate (f.nodes[3], "y", 0, on_answer, &a);
  run (2 * WL_HOST_EVACUATION_RETRY_US);
  wl_host_cancel (f.nodes[3], id);
  f.only = 0;
  run (BACK_US);
  ck_assert_int_eq (a.is_answered, 0);
  ck_assert_uint_eq (n_knowing (), 0);
  ck_assert_uint_eq (f.nodes[0]->n_evacuations, 0);
  teardown ();
}
END_TEST

static void
receive_read_reply (uint32_t node, uint64_t id)
{
  WlMessage m = { .kind = WL_MESSAGE_QUERY_REPLY };
  m.u.query_reply.id = id;
  m.u.query_reply.config_number = f.nodes[node]->config_number;
  wl_host_config_receive (f.nodes[node], wl_test_loopback (9), &m, wl_clock_now_us ());
}

static void
receive_change_reply (uint32_t node, uint64_t id, WlSubmitOutcome outcome)
{
  WlMessage m = { .kind = WL_MESSAGE_SUBMIT_REPLY };
  m.u.submit_reply.id = id;
  m.u.submit_reply.outcome = (uint8_t)outcome;
  wl_host_config_receive (f.nodes[node], wl_test_loopback (9), &m, wl_clock_now_us ());
}

/* Guards against late and doubled replies that settle another step of a change than their own. */
START_TEST (a_reply_settles_only_the_step_that_it_answers)
{
  Answer a = { 0 };
  setup ();
  f.only = 4;
  uint64_t handle = wl_host_evacuate (f.nodes[3], "y", 0, on_answer, &a);
  const WlHostLeaderRequest *r = f.nodes[3]->leader_requests;
  uint64_t read = r->id;
  ck_assert_int_eq (r->kind, WL_MESSAGE_QUERY);
  receive_read_reply (3, read);
  ck_assert_int_eq (r->kind, WL_MESSAGE_EVACUATE);
  uint64_t submitted = r->id;
  ck_assert_uint_ne (submitted, read);
  receive_read_reply (3, read);
  receive_change_reply (3, read, WL_SUBMIT_ACCEPTED);
  ck_assert_uint_eq (r->id, submitted);
  receive_change_reply (3, submitted, WL_SUBMIT_CONFLICT); /* the group was founded anew */
  ck_assert_int_eq (r->kind, WL_MESSAGE_QUERY);
  receive_change_reply (3, submitted, WL_SUBMIT_ACCEPTED);
  ck_assert_int_eq (a.is_answered, 0);
  receive_read_reply (3, r->id);
  receive_change_reply (3, r->id, WL_SUBMIT_ACCEPTED);
  ck_assert (a.is_answered && a.outcome == WL_HOST_DONE);
  wl_host_cancel (f.nodes[3], handle); /* has no effect after the answer */
  teardown ();
}
END_TEST

/* Guards against an evacuation that is never acknowledged, or done twice, when its leader dies. */
START_TEST (an_operator_gets_an_acknowledgement_although_the_leader_is_killed)
{
  for (int turns = 0; turns <= 3; turns++)
    {
      Answer a = { 0 };
      setup ();
      wl_host_evacuate (f.nodes[3], "y", 0, on_answer, &a);
      for (int i = 0; i < turns; i++)
        run_turn ();
      uint64_t killed_us = wl_clock_now_us ();
      uint32_t leader = 0;
      for (uint32_t i = 0; i < DISKS; i++)
        if (wl_host_leader (f.nodes[i], killed_us) == f.nodes[i]->options.node)
          leader = i;
      kill_node (leader);
      for (int i = 0; i < ANSWER_US / TURN_US && !a.is_answered; i++)
        run_turn ();
      ck_assert_int_eq (a.is_answered, 1);
      uint32_t node = (leader + 1) % DISKS;
      while (a.outcome != WL_HOST_DONE)
        {
          ck_assert_uint_le (wl_clock_now_us (), killed_us + ACKNOWLEDGED_US);
          a.outcome = change (node, "y", 0);
        }
      run (SPREAD_US);
      ck_assert_uint_eq (n_knowing (), NODES - 1);
      ck_assert_uint_eq (f.nodes[3]->evacuations[0].sequence, 1);
      teardown ();
    }
}
END_TEST

/* Sends a node a document with a later number than its group has. */
static void
push_document (uint32_t node, WlBytes document, apr_pool_t *pool)
{
  WlMessage m = { .kind = WL_MESSAGE_CONFIG_PUSH };
  wl_delta_make ((WlBytes){ NULL, 0 }, document, pool, &m.u.config_push.change);
  m.u.config_push.number = 10;
  m.u.config_push.change.number = 10;
  wl_host_config_receive (f.nodes[node], wl_test_loopback (9), &m, wl_clock_now_us ());
  ck_assert_uint_eq (f.nodes[node]->config_number, 10);
}

/* Has node 0 learn a document of a group that was there before its disk was replaced. */
static void
push_old_document (void)
{
  apr_pool_t *pool;
  WlEvacuation ended = { .domain = "y", .sequence = 2 };
  const WlConfigDocument document = { .evacuations = &ended, .n_evacuations = 1 };
  apr_pool_create (&pool, NULL);
  push_document (0, wl_config_document_encode (&document, pool), pool);
  apr_pool_destroy (pool);
}

/*
 * Guards against an acknowledgement without effect: a node that cannot read the document, for
 * instance one of a later version, submits an old sequence, which the leader takes for a repeat.
 */
START_TEST (a_node_that_cannot_read_the_document_does_not_submit_a_change)
{
  static const uint8_t unreadable[] = { 0x80, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 1, 0xc1 };
  apr_pool_t *pool;
  Answer a = { 0 };
  setup ();
  f.only = 4;
  apr_pool_create (&pool, NULL);
  push_document (3, (WlBytes){ unreadable, sizeof unreadable }, pool);
  apr_pool_destroy (pool);
  wl_host_evacuate (f.nodes[3], "y", 0, on_answer, &a);
  receive_read_reply (3, f.nodes[3]->leader_requests->id);
  ck_assert (a.is_answered && a.outcome == WL_HOST_UNKNOWN);
  teardown ();
}
END_TEST

/*
 * Guards against a node that reads and submits a change again as fast as it can: it knows a higher
 * sequence than the group, which refuses it each time.
 */
START_TEST (a_sequence_of_another_group_is_submitted_at_intervals)
{
  memset (&f, 0, sizeof f);
  strcpy (f.folder, "/tmp/wl-host-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (f.folder));
  wl_clock_set (NOW_US);
  wl_test_free_ports (f.ports, 2);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  f.loop = wl_tcp_loop_create (f.reactor);
  start_in_group (0, 1, 1);
  run (FOUNDED_US);
  ck_assert_uint_eq (wl_host_leader (f.nodes[0], wl_clock_now_us ()), wl_test_loopback (1));
  push_old_document ();
  Answer a = { 0 };
  uint64_t before = f.nodes[0]->next_leader_request;
  wl_host_evacuate (f.nodes[0], "y", 0, on_answer, &a);
  for (int i = 0; i < ROUNDS_MAX; i++)
    {
      f.nodes[0]->next_tick_us = wl_clock_now_us ();
      wl_host_run_once (f.nodes[0]); /* the clock stands */
    }
  ck_assert_uint_le (f.nodes[0]->next_leader_request - before, STEPS_MAX);
  run (ANSWER_US);
  ck_assert (a.is_answered && a.outcome == WL_HOST_UNKNOWN);
  teardown ();
}
END_TEST

START_TEST (a_domain_of_the_settings_a_node_or_an_endpoint_is_known)
{
  setup ();
  ck_assert_int_eq (wl_host_knows_domain (f.nodes[0], "x"), 1);
  ck_assert_int_eq (wl_host_knows_domain (f.nodes[0], "y"), 1);
  ck_assert_int_eq (wl_host_knows_domain (f.nodes[0], "far"), 1);
  ck_assert_int_eq (wl_host_knows_domain (f.nodes[0], "nowhere"), 0);
  WlEndpointRecord e = { .address = 1, .port = 1, .slots = 4, .started_ms = 1 };
  strcpy (e.id, "other");
  strcpy (e.service, "s");
  strcpy (e.domain, "nowhere");
  wl_host_register (f.nodes[0], &e);
  ck_assert_int_eq (wl_host_knows_domain (f.nodes[0], "nowhere"), 1);
  teardown ();
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (nothing_is_sent_to_an_evacuated_domain_by_any_node),
    WL_TEST (an_evacuation_survives_restarts),
    WL_TEST (an_evacuation_is_in_force_after_a_power_loss_before_there_is_a_leader),
    WL_TEST (a_repeated_change_is_acknowledged_at_any_node),
    WL_TEST (a_node_without_the_others_does_not_acknowledge),
    WL_TEST (a_cancelled_change_is_not_submitted),
    WL_TEST (a_reply_settles_only_the_step_that_it_answers),
    WL_TEST (an_operator_gets_an_acknowledgement_although_the_leader_is_killed),
    WL_TEST (a_node_that_cannot_read_the_document_does_not_submit_a_change),
    WL_TEST (a_sequence_of_another_group_is_submitted_at_intervals),
    WL_TEST (a_domain_of_the_settings_a_node_or_an_endpoint_is_known),
  };
  if (sodium_init () < 0)
    return 1;
  signal (SIGPIPE, SIG_IGN); /* as the daemon does: a peer may close first */
  apr_initialize ();
  return wl_test_run ("host_evacuation", tests, sizeof tests / sizeof tests[0]);
}
