#include <string.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_test.h"
#include "wl_test_host.h"

/* What nodes tell each other of limits, and who issues permits. The clock is advanced by steps. */

enum
{
  NODES = 4,
  TURNS = 20, /* of every node's loop in each step: enough for what it sends to arrive */
  STEP_US = 100000,
  RATE = 2000,          /* requests in 1,000 s */
  LOST_US = 3000000,    /* until all nodes have missed a lost one, and have heard of each other */
  SETTLED_US = 3000000, /* until a new issuer issues permits */
};

static const uint64_t now_start_us = 50000000;

typedef struct
{
  uint16_t ports[2]; /* for other nodes, for callers */
  uint64_t now_us;
  int is_large;  /* the nodes take the fleet for one that is no mesh */
  uint32_t only; /* the node of this number, from 1, runs alone; 0 for all */
  WlHost *nodes[NODES];
} Fixture;

static void
setup (Fixture *f)
{
  memset (f, 0, sizeof *f);
  f->now_us = now_start_us;
  wl_clock_set (f->now_us);
  wl_test_free_ports (f->ports, 2);
}

static void
register_endpoint (Fixture *f, uint32_t i)
{
  WlEndpointRecord e = { .address = 1, .port = 1, .slots = 4, .started_ms = 1 };
  strcpy (e.id, "e0");
  strcpy (e.service, "s");
  strcpy (e.domain, "z");
  wl_fleet_apply (f->nodes[i]->fleet, &e, f->now_us);
}

static void
start (Fixture *f, uint32_t i, const char *domain)
{
  WlRoutes *routes = wl_routes_create ();
  routes->services = apr_pcalloc (routes->pool, sizeof *routes->services);
  routes->services[0].name = "s";
  routes->n_services = 1;
  f->nodes[i] = wl_test_start_node (i, f->ports, domain);
  wl_relay_set_routes (f->nodes[i]->relay, routes);
  register_endpoint (f, i);
}

static void
teardown (Fixture *f)
{
  for (int i = 0; i < NODES; i++)
    wl_host_destroy (f->nodes[i]);
  wl_clock_set (0);
}

static void
run_turns (Fixture *f)
{
  for (int turn = 0; turn < TURNS; turn++)
    for (uint32_t i = 0; i < NODES; i++)
      if (f->nodes[i] != NULL && (f->only == 0 || f->only == i + 1))
        {
          WlView *view = f->nodes[i]->membership->view;
          view->is_large = (uint8_t)f->is_large;
          view->large_reported_us = f->now_us;
          f->nodes[i]->next_tick_us = f->now_us; /* does not wait: the clock stands still */
          wl_host_run_once (f->nodes[i]);
        }
}

static void
advance (Fixture *f, uint64_t us)
{
  for (uint64_t until_us = f->now_us + us; f->now_us < until_us;)
    {
      f->now_us += STEP_US;
      wl_clock_set (f->now_us);
      for (uint32_t i = 0; i < NODES; i++)
        if (f->nodes[i] != NULL)
          register_endpoint (f, i);
      run_turns (f);
    }
}

static WlLimits *
limits_of (const Fixture *f, uint32_t i)
{
  return wl_relay_limits (f->nodes[i]->relay);
}

static uint32_t
n_knowing (const Fixture *f)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < NODES; i++)
    n += f->nodes[i] != NULL && wl_limits_count (limits_of (f, i)) == 1;
  return n;
}

/* A node gets a response that names a limit. */
static void
name_limit (Fixture *f, uint32_t i, int has_limit)
{
  wl_limits_note_response (limits_of (f, i), wl_fleet_find (f->nodes[i]->fleet, "e0"), has_limit,
                           RATE, f->now_us - 1000, f->now_us);
}

/* A node hears of a limit from another one, and has nothing to tell. */
static void
hear_limit (Fixture *f, uint32_t i)
{
  WlLimitWord word = { .endpoint = wl_fleet_key ("e0"), .started_ms = 1, .rate = RATE };
  WlLimitReport report = { .words = &word, .n_words = 1 };
  wl_relay_apply_limit_report (f->nodes[i]->relay, 99, &report, f->now_us);
}

/* Guards against nodes that go on sending, since only one of them has seen the header. */
START_TEST (a_limit_that_one_node_sees_is_known_to_all)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, "z");
  advance (&f, 3 * STEP_US);
  name_limit (&f, 2, 1);
  advance (&f, STEP_US);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  advance (&f, 10 * STEP_US);
  name_limit (&f, 1, 0);
  advance (&f, STEP_US);
  ck_assert_uint_eq (n_knowing (&f), 0);
  teardown (&f);
}
END_TEST

/* Guards against a new node that sends what it likes until it has seen the header itself. */
START_TEST (a_node_that_joins_knows_the_limits)
{
  Fixture f;
  setup (&f);
  start (&f, 0, "z");
  advance (&f, STEP_US);
  hear_limit (&f, 0);
  start (&f, 1, "z");
  advance (&f, STEP_US);
  ck_assert_uint_eq (n_knowing (&f), 2);
  teardown (&f);
}
END_TEST

/* Guards against a node that lost a message and sends without permits for ever. */
START_TEST (limits_are_told_again)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, "z");
  advance (&f, 3 * STEP_US);
  hear_limit (&f, 0);
  advance (&f, WL_HOST_FULL_REPORT_US + 2 * STEP_US);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

/* Guards against failure domains that each send what the endpoint accepts from all. */
START_TEST (limits_are_told_to_all_nodes_of_a_fleet_that_is_no_mesh)
{
  Fixture f;
  setup (&f);
  f.is_large = 1;
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, i < 2 ? "y" : "z");
  advance (&f, 20 * STEP_US);
  name_limit (&f, 1, 1);
  advance (&f, STEP_US);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

/* ---- permits ---- */

/* Asks at a node for a permit at once; returns 1 when it is granted. */
static int
ask (Fixture *f, uint32_t i)
{
  WlPermits *permits = wl_relay_permits (f->nodes[i]->relay);
  WlPermitAsk ask = { .service = wl_permits_service ("s"), .customer = 1 };
  WlPermit out;
  uint64_t id = wl_permits_ask (permits, &ask, f->now_us, &out);
  if (id == 0)
    return 0;
  run_turns (f);
  int is_granted = wl_permits_state (permits, id, f->now_us).state == WL_PERMIT_GRANTED;
  if (is_granted)
    wl_permits_use (permits, id);
  else
    wl_permits_drop (permits, id, f->now_us);
  return is_granted;
}

/* Permits that all nodes get in a time, each of them asking all the while. */
static uint32_t
n_granted (Fixture *f, uint64_t us)
{
  uint32_t n = 0;
  for (uint64_t until_us = f->now_us + us; f->now_us < until_us;)
    {
      advance (f, STEP_US);
      name_limit (f, 0, 1);
      for (uint32_t i = 0; i < NODES; i++)
        if (f->nodes[i] != NULL && f->nodes[i]->stopping_us == 0)
          n += (uint32_t)ask (f, i);
    }
  return n;
}

static uint64_t
n_answered (const Fixture *f, uint32_t i)
{
  return wl_relay_metrics (f->nodes[i]->relay)->permits_answered;
}

/* The node that answers asks; it must be the only one. */
static uint32_t
find_issuer (Fixture *f)
{
  uint64_t before[NODES] = { 0 };
  uint32_t issuer = NODES;
  for (uint32_t i = 0; i < NODES; i++)
    before[i] = f->nodes[i] != NULL ? n_answered (f, i) : 0;
  n_granted (f, 1000000);
  for (uint32_t i = 0; i < NODES; i++)
    if (f->nodes[i] != NULL && n_answered (f, i) > before[i])
      {
        ck_assert_uint_eq (issuer, NODES);
        issuer = i;
      }
  ck_assert_uint_lt (issuer, NODES);
  return issuer;
}

static void
setup_issuer (Fixture *f)
{
  setup (f);
  for (uint32_t i = 0; i < NODES; i++)
    start (f, i, "z");
  advance (f, SETTLED_US);
  name_limit (f, 0, 1);
  advance (f, STEP_US);
}

/* Guards against nodes that each send what the endpoint accepts from all, and against none. */
START_TEST (all_nodes_together_get_what_the_limit_allows)
{
  Fixture f;
  setup_issuer (&f);
  find_issuer (&f);
  uint32_t n = n_granted (&f, 10000000);
  ck_assert_uint_le (n, 10 * RATE / 1000 + 2);
  ck_assert_uint_ge (n, 10 * RATE / 1000 - 2);
  teardown (&f);
}
END_TEST

/* Guards against two issuers at a time, and against a limit that nobody may use after a stop. */
START_TEST (another_node_is_the_issuer_after_a_stop)
{
  Fixture f;
  setup_issuer (&f);
  uint32_t issuer = find_issuer (&f);
  wl_host_stop (f.nodes[issuer]);
  ck_assert_uint_eq (n_granted (&f, 1400000), 0);
  advance (&f, 1000000);
  ck_assert_uint_ne (find_issuer (&f), issuer);
  uint32_t n = n_granted (&f, 4000000);
  ck_assert_uint_le (n, 4 * RATE / 1000 + 2);
  ck_assert_uint_ge (n, 4 * RATE / 1000 - 2);
  teardown (&f);
}
END_TEST

/* Guards against permits of a lost issuer that are issued again, and against none for ever. */
START_TEST (another_node_is_the_issuer_after_one_is_lost)
{
  Fixture f;
  setup_issuer (&f);
  uint32_t issuer = find_issuer (&f);
  if (issuer == 0)
    name_limit (&f, 1, 1);
  wl_host_destroy (f.nodes[issuer]);
  f.nodes[issuer] = NULL;
  uint32_t n = 0;
  for (int i = 0; i < 20; i++)
    {
      advance (&f, STEP_US);
      for (uint32_t j = 0; j < NODES; j++)
        n += f.nodes[j] != NULL ? (uint32_t)ask (&f, j) : 0;
    }
  ck_assert_uint_eq (n, 0);
  advance (&f, LOST_US);
  for (int i = 0; i < 40; i++)
    {
      advance (&f, STEP_US);
      for (uint32_t j = 0; j < NODES; j++)
        n += f.nodes[j] != NULL ? (uint32_t)ask (&f, j) : 0;
    }
  ck_assert_uint_le (n, 4 * RATE / 1000 + 2);
  ck_assert_uint_ge (n, 4 * RATE / 1000 - 2);
  teardown (&f);
}
END_TEST

/* Guards against an issuer that goes on beside the one of the nodes that it had no contact to. */
START_TEST (an_issuer_that_was_cut_off_issues_nothing_at_first)
{
  Fixture f;
  setup_issuer (&f);
  uint32_t issuer = find_issuer (&f);
  f.only = issuer + 1;
  advance (&f, LOST_US);
  ck_assert_uint_eq (f.nodes[issuer]->membership->n_alive, 1);
  f.only = 0;
  for (int i = 0; i < 50 && f.nodes[issuer]->membership->n_alive == 1; i++)
    advance (&f, STEP_US);
  ck_assert_uint_gt (f.nodes[issuer]->membership->n_alive, 1);
  ck_assert_uint_eq (n_granted (&f, 1000000), 0);
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_limit_that_one_node_sees_is_known_to_all),
    WL_TEST (a_node_that_joins_knows_the_limits),
    WL_TEST (limits_are_told_again),
    WL_TEST (limits_are_told_to_all_nodes_of_a_fleet_that_is_no_mesh),
    WL_TEST (all_nodes_together_get_what_the_limit_allows),
    WL_TEST (another_node_is_the_issuer_after_a_stop),
    WL_TEST (another_node_is_the_issuer_after_one_is_lost),
    WL_TEST (an_issuer_that_was_cut_off_issues_nothing_at_first),
  };
  if (sodium_init () < 0)
    return 1;
  apr_initialize ();
  return wl_test_run ("host_limits", tests, sizeof tests / sizeof tests[0]);
}
