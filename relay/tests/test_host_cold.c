#include <string.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_test.h"
#include "wl_test_host.h"

/* What nodes tell each other of cold endpoints. The clock is advanced by steps. */

enum
{
  NODES = 4,
  TURNS = 20, /* of every node's loop in each step: enough for what it sends to arrive */
  STEP_US = 100000,
  SETTLED_US = 3000000, /* all nodes know each other */
};

typedef struct
{
  uint16_t ports[2]; /* for other nodes, for callers */
  uint64_t now_us;
  int is_large; /* the nodes take the fleet for one that is no mesh */
  WlHost *nodes[NODES];
} Fixture;

static void
start (Fixture *f, uint32_t i)
{
  WlRoutes *routes = wl_routes_create ();
  routes->services = apr_pcalloc (routes->pool, sizeof *routes->services);
  routes->services[0].name = "s";
  routes->services[0].cold_rate = 23000;
  routes->n_services = 1;
  f->nodes[i] = wl_test_start_node (i, f->ports, i % 2 == 0 ? "a" : "b");
  wl_relay_set_routes (f->nodes[i]->relay, routes);
}

static void
advance (Fixture *f, uint64_t us)
{
  for (uint64_t until_us = f->now_us + us; f->now_us < until_us;)
    {
      f->now_us += STEP_US;
      wl_clock_set (f->now_us);
      for (uint32_t k = 0; k < TURNS * NODES; k++)
        {
          WlHost *host = f->nodes[k % NODES];
          WlView *view = host->membership->view;
          view->is_large = (uint8_t)f->is_large;
          view->large_reported_us = f->now_us;
          host->next_tick_us = f->now_us; /* does not wait: the clock stands still */
          wl_host_run_once (host);
        }
    }
}

/* The endpoint registers at node 0. */
static void
say (const Fixture *f, uint64_t sequence, uint32_t cold_left_ms)
{
  WlEndpointRecord e = { .address = 1, .port = 1, .slots = 4, .started_ms = 1 };
  strcpy (e.id, "e0");
  strcpy (e.service, "s");
  strcpy (e.domain, "a");
  e.sequence = sequence;
  e.cold_left_ms = cold_left_ms;
  wl_host_register (f->nodes[0], &e);
}

static void
check (int is_large)
{
  Fixture f = { .now_us = 50000000, .is_large = is_large };
  wl_clock_set (f.now_us);
  wl_test_free_ports (f.ports, 2);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i);
  advance (&f, SETTLED_US);
  say (&f, 1, 0);
  advance (&f, 5 * STEP_US);
  for (uint32_t i = 0; i < NODES; i++)
    {
      ck_assert_uint_eq (f.nodes[i]->fleet->n_endpoints, 1);
      ck_assert_uint_eq (wl_relay_n_cold (f.nodes[i]->relay), 0);
      ck_assert_uint_eq (wl_relay_n_known (f.nodes[i]->relay), NODES);
      for (uint32_t k = 0; k < f.nodes[i]->roster->n_nodes; k++)
        ck_assert_uint_eq (f.nodes[i]->roster->nodes[k].status.n_known > 0, 1);
    }
  say (&f, 2, 60000);
  advance (&f, 2 * STEP_US); /* a hop to the relay of the other domain, one within it */
  for (uint32_t i = 0; i < NODES; i++)
    ck_assert_uint_eq (wl_relay_n_cold (f.nodes[i]->relay), 1);
  for (uint32_t i = 0; i < NODES; i++)
    wl_host_destroy (f.nodes[i]);
  wl_clock_set (0);
}

/* Guards against nodes that take an endpoint for warm until its next registration. */
START_TEST (all_nodes_of_a_mesh_hear_at_once_that_an_endpoint_is_cold)
{
  check (0);
}
END_TEST

START_TEST (all_nodes_of_a_large_fleet_hear_at_once_that_an_endpoint_is_cold)
{
  check (1);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (all_nodes_of_a_mesh_hear_at_once_that_an_endpoint_is_cold),
    WL_TEST (all_nodes_of_a_large_fleet_hear_at_once_that_an_endpoint_is_cold),
  };
  if (sodium_init () < 0)
    return 1;
  apr_initialize ();
  return wl_test_run ("host_cold", tests, sizeof tests / sizeof tests[0]);
}
