#include <string.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_test.h"
#include "wl_test_host.h"

/* What nodes tell each other of parts of prompts that end engines. The clock is advanced by steps.
 */

enum
{
  NODES = 4,
  TURNS = 20, /* of every node's loop in each step: enough for what it sends to arrive */
  STEP_US = 200000,
  PART = 0x5c,
  SERVICE = 7,
};

static const uint64_t now_start_us = 50000000;

typedef struct
{
  uint16_t ports[2]; /* for other nodes, for callers */
  uint64_t now_us;
  int is_large; /* the nodes take the fleet for one that is no mesh */
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
start (Fixture *f, uint32_t i, const char *domain)
{
  f->nodes[i] = wl_test_start_node (i, f->ports, domain);
  wl_relay_set_routes (f->nodes[i]->relay, wl_routes_create ());
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
    for (int i = 0; i < NODES; i++)
      if (f->nodes[i] != NULL)
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
      run_turns (f);
    }
}

static WlQuarantine *
quarantine_of (const Fixture *f, uint32_t i)
{
  return wl_relay_quarantine (f->nodes[i]->relay);
}

static uint32_t
n_knowing (const Fixture *f)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < NODES; i++)
    n += f->nodes[i] != NULL && wl_quarantine_n_entries (quarantine_of (f, i)) == 1;
  return n;
}

/* An endpoint ends at a node under a request with PART. */
static void
end_endpoint (Fixture *f, uint32_t node, uint64_t endpoint)
{
  WlPromptParts parts = { .ids = { PART }, .n = 1 };
  WlPartUse use = { .service = SERVICE, .route = 1, .customer = 9, .parts = &parts };
  wl_quarantine_note_end (quarantine_of (f, node), endpoint, &use, f->now_us);
  advance (f, STEP_US);
}

/* A node has the verdict of another one, which does not tell it again. */
static void
quarantine_at (Fixture *f, uint32_t node)
{
  WlQuarantinedPart part
      = { .part = PART, .service = SERVICE, .n_ends = 3, .trial_us = WL_QUARANTINE_TRIAL_MIN_US };
  WlPartReport report = { .quarantined = &part, .n_quarantined = 1 };
  wl_relay_apply_part_report (f->nodes[node]->relay, 99, &report, f->now_us);
}

/* Guards against nodes of which none sees enough ends, while the fleet loses engine after engine.
 */
START_TEST (ends_at_different_nodes_quarantine_the_part_at_all)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, "z");
  advance (&f, 2 * STEP_US);
  end_endpoint (&f, 0, 11);
  end_endpoint (&f, 1, 12);
  ck_assert_uint_eq (n_knowing (&f), 0);
  end_endpoint (&f, 2, 13);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

/* Guards against a new node that sends the part to engines until it has seen three ends. */
START_TEST (a_node_that_joins_knows_the_quarantined_parts)
{
  Fixture f;
  setup (&f);
  start (&f, 0, "z");
  advance (&f, STEP_US);
  quarantine_at (&f, 0);
  start (&f, 1, "z");
  advance (&f, STEP_US);
  ck_assert_uint_eq (n_knowing (&f), 2);
  teardown (&f);
}
END_TEST

/* Guards against a node that lost a message and goes on with the part for ever. */
START_TEST (quarantined_parts_are_told_again)
{
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, "z");
  advance (&f, 2 * STEP_US);
  quarantine_at (&f, 0);
  advance (&f, WL_HOST_FULL_REPORT_US + STEP_US);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

/* Guards against a part that stays quarantined at other nodes when it is sound again. */
START_TEST (a_sound_response_releases_the_part_at_all_nodes)
{
  Fixture f;
  WlPromptParts parts = { .ids = { PART }, .n = 1 };
  WlPartUse use = { .service = SERVICE, .route = 1, .customer = 9, .parts = &parts };
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, "z");
  advance (&f, 2 * STEP_US);
  for (uint32_t i = 0; i < NODES; i++)
    quarantine_at (&f, i);
  wl_quarantine_note_sound (quarantine_of (&f, 3), &use, f.now_us);
  advance (&f, STEP_US);
  ck_assert_uint_eq (n_knowing (&f), 0);
  teardown (&f);
}
END_TEST

/* Two failure domains of two nodes each, as in a fleet that is no mesh. */
static void
setup_domains (Fixture *f)
{
  setup (f);
  f->is_large = 1;
  for (uint32_t i = 0; i < NODES; i++)
    start (f, i, i < 2 ? "y" : "z");
  advance (f, 10 * STEP_US);
  for (uint32_t i = 0; i < NODES; i++)
    {
      ck_assert_int_eq (wl_view_is_mesh (f->nodes[i]->membership->view), 0);
      ck_assert_uint_eq (wl_roster_count_alive (f->nodes[i]->roster, f->now_us), NODES - 1);
    }
}

/* Guards against failure domains that each lose three engines to a part known to another one. */
START_TEST (ends_are_told_to_all_nodes_of_a_fleet_that_is_no_mesh)
{
  Fixture f;
  setup_domains (&f);
  end_endpoint (&f, 1, 11);
  end_endpoint (&f, 1, 12);
  end_endpoint (&f, 3, 13);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

START_TEST (quarantined_parts_are_told_again_in_a_fleet_that_is_no_mesh)
{
  Fixture f;
  setup_domains (&f);
  quarantine_at (&f, 0);
  quarantine_at (&f, 1);
  advance (&f, WL_HOST_FULL_REPORT_US + STEP_US);
  ck_assert_uint_eq (n_knowing (&f), NODES);
  teardown (&f);
}
END_TEST

static uint32_t
n_trying (const Fixture *f, uint64_t part)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < NODES; i++)
    n += (uint32_t)wl_host_may_try_part (f->nodes[i], part);
  return n;
}

/* Guards against trials by each node, which end an engine each, and against none at all. */
START_TEST (one_node_runs_the_trials_of_a_part_and_another_one_after_its_stop)
{
  uint32_t n_parts[NODES] = { 0 };
  Fixture f;
  setup (&f);
  for (uint32_t i = 0; i < NODES; i++)
    start (&f, i, "z");
  advance (&f, WL_HOST_READY_TIMEOUT_US + 3 * STEP_US);
  for (uint64_t part = 1; part <= 100; part++)
    {
      ck_assert_uint_eq (n_trying (&f, part), 1);
      for (uint32_t i = 0; i < NODES; i++)
        n_parts[i] += (uint32_t)wl_host_may_try_part (f.nodes[i], part);
    }
  for (uint32_t i = 0; i < NODES; i++)
    ck_assert_uint_ge (n_parts[i], 10);
  wl_host_stop (f.nodes[2]);
  advance (&f, STEP_US);
  for (uint64_t part = 1; part <= 100; part++)
    {
      ck_assert_uint_eq (n_trying (&f, part), 1);
      ck_assert_int_eq (wl_host_may_try_part (f.nodes[2], part), 0);
    }
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (ends_at_different_nodes_quarantine_the_part_at_all),
    WL_TEST (a_node_that_joins_knows_the_quarantined_parts),
    WL_TEST (quarantined_parts_are_told_again),
    WL_TEST (a_sound_response_releases_the_part_at_all_nodes),
    WL_TEST (ends_are_told_to_all_nodes_of_a_fleet_that_is_no_mesh),
    WL_TEST (quarantined_parts_are_told_again_in_a_fleet_that_is_no_mesh),
    WL_TEST (one_node_runs_the_trials_of_a_part_and_another_one_after_its_stop),
  };
  if (sodium_init () < 0)
    return 1;
  apr_initialize ();
  return wl_test_run ("host_parts", tests, sizeof tests / sizeof tests[0]);
}
