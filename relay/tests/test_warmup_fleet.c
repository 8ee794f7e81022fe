#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include "wl_fleet_sim.h"
#include "wl_random.h"
#include "wl_test.h"
#include "wl_warmup.h"

/*
 * Fleets of 12, 85 and 300 nodes in simulated time, with their real memberships. Load pattern:
 * saturation. Every node has a request waiting for each of a few endpoints that stay cold, and
 * tries to send it every 10 ms; a request arrives at its endpoint up to 80 ms later. Guards against
 * more requests in any second than the endpoints tolerate, and against leaving much of that unused.
 */

enum
{
  STEP_US = 10 * FLEET_SIM_MS,
  ENDPOINTS = 4,
  DOMAINS = 3,
  BOUND = 39, /* of deployment A: 23 x 1.5 + 5 = 39.5 */
  ARRIVALS_MAX = 16384,
  ONE_BY_ONE_STEPS = 1500, /* in which all nodes of a side are restarted */
  RESTARTS = 12,           /* of single nodes */
};

static const WlRouteService service = { .name = "llm", .cold_rate = 23000 };

typedef struct
{
  WlWarmup *warmup; /* NULL while the node is stopped */
  WlEndpoint endpoints[ENDPOINTS];
} Sender;

typedef struct
{
  FleetSim *sim;
  Sender senders[FLEET_SIM_NODES_MAX];
  uint64_t arrivals[ENDPOINTS][ARRIVALS_MAX];
  uint32_t n_arrivals[ENDPOINTS];
  uint64_t random;
  uint32_t n_steps;
} Fixture;

/* Positions below this are cut off from the others; 0 for no partition. */
static uint32_t cut_below;

static int
is_cut (uint32_t from, uint32_t to)
{
  return (from < cut_below) != (to < cut_below);
}

static void
start_sender (Fixture *f, uint32_t i)
{
  static char domains[DOMAINS][WL_LABEL_SIZE];
  char *domain = domains[i % DOMAINS];
  Sender *s = &f->senders[i];
  snprintf (domain, WL_LABEL_SIZE, "domain-%u", i % DOMAINS);
  WlWarmupOptions options = { .node = i + 1, .domain = domain, .over = 1.5, .slack = 5.0 };
  memset (s, 0, sizeof *s);
  s->warmup = wl_warmup_create (&options, f->sim->now_us);
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    {
      char id[32];
      snprintf (id, sizeof id, "endpoint-%u", e);
      s->endpoints[e].key = wl_fleet_key (id);
      s->endpoints[e].says_cold = 1;
      s->endpoints[e].cold_until_us = UINT64_MAX;
    }
}

static void
stop (Fixture *f, uint32_t i)
{
  fleet_sim_stop (f->sim, i);
  wl_warmup_destroy (f->senders[i].warmup);
  f->senders[i].warmup = NULL;
}

static void
start (Fixture *f, uint32_t i)
{
  fleet_sim_start (f->sim, i);
  start_sender (f, i);
}

static Fixture *
create (uint64_t seed, uint32_t n_nodes)
{
  Fixture *f = calloc (1, sizeof *f);
  ck_assert_ptr_nonnull (f);
  cut_below = 0;
  f->random = seed;
  f->sim = fleet_sim_create (seed, n_nodes, DOMAINS);
  f->sim->is_cut = is_cut;
  for (uint32_t i = 0; i < n_nodes; i++)
    start_sender (f, i);
  return f;
}

static void
destroy (Fixture *f)
{
  for (uint32_t i = 0; i < f->sim->n_nodes; i++)
    wl_warmup_destroy (f->senders[i].warmup);
  fleet_sim_destroy (f->sim);
  free (f);
}

static void
send_all (Fixture *f, uint32_t i)
{
  uint64_t now_us = f->sim->now_us;
  Sender *s = &f->senders[i];
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    if (wl_warmup_take (s->warmup, &service, &s->endpoints[e], now_us))
      {
        ck_assert_uint_lt (f->n_arrivals[e], ARRIVALS_MAX);
        f->arrivals[e][f->n_arrivals[e]++]
            = now_us + wl_random_next (&f->random) % WL_WARMUP_JITTER_US;
      }
}

static void
step (Fixture *f)
{
  FleetSim *sim = f->sim;
  uint32_t seeds[FLEET_SIM_SEEDS];
  fleet_sim_seeds (sim, seeds);
  fleet_sim_run (sim, STEP_US);
  f->n_steps++;
  for (uint32_t i = 0; i < sim->n_nodes; i++)
    {
      Sender *s = &f->senders[i];
      if (!sim->nodes[i].is_up || sim->nodes[i].is_frozen)
        continue;
      /* A node that resumes may send before its loop ticks. */
      if (f->n_steps % 2 == 0)
        send_all (f, i);
      wl_warmup_tick (s->warmup, sim->now_us);
      if ((f->n_steps + i) % 10 == 0)
        wl_warmup_observe (s->warmup, sim->nodes[i].m->roster, seeds, FLEET_SIM_SEEDS, sim->now_us);
      sim->nodes[i].n_known = wl_warmup_n_known (s->warmup);
      send_all (f, i);
    }
}

static void
run (Fixture *f, uint32_t seconds)
{
  for (uint32_t i = 0; i < seconds * (FLEET_SIM_SECOND / STEP_US); i++)
    step (f);
}

static int
compare (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;
  return x < y ? -1 : x > y;
}

/* Checks every sliding second since the beginning. */
static void
check_bound (Fixture *f)
{
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    {
      uint64_t *a = f->arrivals[e];
      qsort (a, f->n_arrivals[e], sizeof *a, compare);
      for (uint32_t i = BOUND; i < f->n_arrivals[e]; i++)
        if (a[i] - a[i - BOUND] <= FLEET_SIM_SECOND)
          ck_abort_msg ("endpoint %u, at %.3f s: more than %d requests in a second", e,
                        (double)a[i] / FLEET_SIM_SECOND, BOUND);
    }
}

static uint32_t
count_sent (const Fixture *f)
{
  uint32_t n = 0;
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    n += f->n_arrivals[e];
  return n;
}

/* All nodes agree on the senders when nothing has changed for a while. */
static void
check_senders (const Fixture *f)
{
  for (uint32_t e = 0; e < ENDPOINTS; e++)
    {
      uint32_t n = 0;
      for (uint32_t i = 0; i < f->sim->n_nodes; i++)
        n += f->senders[i].endpoints[e].cold_share.is_sender;
      ck_assert_uint_eq (n, f->sim->n_nodes > WL_WARMUP_SENDERS_MAX ? WL_WARMUP_SENDERS_MAX : 3);
    }
}

/* Share of the bound that is used in so many seconds. */
static double
measure_use (Fixture *f, uint32_t seconds)
{
  uint32_t before = count_sent (f);
  run (f, seconds);
  check_senders (f);
  double use = (count_sent (f) - before) / (39.5 * ENDPOINTS * seconds);
  if (getenv ("WARMUP_VERBOSE") != NULL)
    fprintf (stderr, "%u nodes, at %.1f s: use %.3f\n", f->sim->n_nodes,
             (double)f->sim->now_us / FLEET_SIM_SECOND, use);
  return use;
}

static uint32_t
pick (Fixture *f, uint32_t n)
{
  return (uint32_t)(wl_random_next (&f->random) % n);
}

/* All nodes start together; single ones, two at a time, are killed and come back; then all are. */
static void
check_restarts (uint32_t n_nodes)
{
  Fixture *f = create (12, n_nodes);
  run (f, 8);
  ck_assert (measure_use (f, 5) >= 0.8);
  for (int i = 0; i < RESTARTS / 2; i++)
    {
      uint32_t first = pick (f, n_nodes);
      uint32_t second = (first + 1 + pick (f, n_nodes - 1)) % n_nodes;
      stop (f, first);
      stop (f, second);
      run (f, pick (f, 3));
      start (f, first);
      run (f, 1);
      start (f, second);
    }
  for (uint32_t i = 0; i < n_nodes; i++)
    stop (f, i);
  run (f, 1);
  for (uint32_t i = 0; i < n_nodes; i++)
    start (f, i);
  run (f, 8);
  ck_assert (measure_use (f, 5) >= 0.8);
  check_bound (f);
  destroy (f);
}

/*
 * A partition that lasts longer than lost nodes are remembered, with restarts on both sides, first
 * of single nodes and then of every node of the smaller side one after the other.
 */
static void
check_partition (uint32_t n_nodes)
{
  Fixture *f = create (13, n_nodes);
  run (f, 6);
  cut_below = n_nodes / 3;
  run (f, 5);
  for (uint32_t i = 0; i < n_nodes; i += n_nodes / RESTARTS)
    {
      stop (f, i);
      run (f, 1);
      start (f, i);
    }
  for (uint32_t i = 0; i < cut_below; i++)
    {
      stop (f, i);
      for (uint32_t k = 0; k < ONE_BY_ONE_STEPS / cut_below; k++)
        step (f);
      start (f, i);
    }
  run (f, 33);
  cut_below = 0;
  run (f, 7);
  ck_assert (measure_use (f, 5) >= 0.8);
  check_bound (f);
  destroy (f);
}

/* Nodes are frozen for a fraction of a second up to longer than lost nodes are remembered. */
static void
check_freezes (uint32_t n_nodes)
{
  static const uint32_t steps[] = { 30, 95, 130, 400, 3600 };
  Fixture *f = create (14, n_nodes);
  run (f, 6);
  for (size_t k = 0; k < sizeof steps / sizeof *steps; k++)
    {
      uint32_t first = pick (f, n_nodes);
      for (uint32_t i = 0; i < n_nodes / 4; i++)
        f->sim->nodes[(first + i) % n_nodes].is_frozen = 1;
      for (uint32_t i = 0; i < steps[k]; i++)
        step (f);
      for (uint32_t i = 0; i < n_nodes; i++)
        f->sim->nodes[i].is_frozen = 0;
      run (f, 3);
    }
  ck_assert (measure_use (f, 5) >= 0.8);
  check_bound (f);
  destroy (f);
}

START_TEST (twelve_nodes)
{
  check_restarts (12);
  check_partition (12);
  check_freezes (12);
}
END_TEST

START_TEST (eighty_five_nodes)
{
  check_restarts (85);
  check_partition (85);
  check_freezes (85);
}
END_TEST

START_TEST (three_hundred_nodes_that_restart)
{
  check_restarts (300);
}
END_TEST

START_TEST (three_hundred_nodes_in_a_partition)
{
  check_partition (300);
}
END_TEST

START_TEST (three_hundred_nodes_that_freeze)
{
  check_freezes (300);
}
END_TEST

/* Without an argument all tests; with one only those of the fleet that it names. */
int
main (int argc, char **argv)
{
  static const char *const names[] = { "small", "restart", "partition", "freeze" };
  const WlTest tests[][2] = {
    { WL_TEST (twelve_nodes), WL_TEST (eighty_five_nodes) },
    { WL_TEST (three_hundred_nodes_that_restart) },
    { WL_TEST (three_hundred_nodes_in_a_partition) },
    { WL_TEST (three_hundred_nodes_that_freeze) },
  };
  int result = EXIT_SUCCESS;
  uint32_t n_run = 0;
  apr_initialize ();
  for (size_t i = 0; i < sizeof names / sizeof *names; i++)
    if (argc < 2 || strcmp (argv[1], names[i]) == 0)
      {
        if (wl_test_run ("warmup_fleet", tests[i], i == 0 ? 2 : 1) != EXIT_SUCCESS)
          result = EXIT_FAILURE;
        n_run++;
      }
  return n_run > 0 ? result : EXIT_FAILURE;
}
