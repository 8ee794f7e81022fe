#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include "wl_choice.h"
#include "wl_sample_engine.h"
#include "wl_test.h"

/*
 * Placement in a fleet of 99 nodes before 45 engines in three failure domains, all of which choose
 * by the same view before the report of any choice arrives. Each test names the load.
 */

enum
{
  NODES = 99,
  ENGINES = 45,
  DOMAINS = 3,
  SHORTS = 110,
  SHORT_PROMPT = 5000,
  SHORT_OUTPUT = 1360,
  LONG_PROMPT = 133000,
  LONG_OUTPUT = 690,
};

static const uint64_t now_us = 50000000;

typedef struct
{
  WlFleet *fleet;
  WlLoad *load;
  uint64_t next_work;
} Fixture;

static const char *
domain_name (uint32_t i)
{
  static const char *const names[DOMAINS] = { "z0", "z1", "z2" };
  return names[i % DOMAINS];
}

/* Registers the engines from @first on, in steps of @step; 1 keeps their order. */
static Fixture
create_in_order (uint32_t first, uint32_t step)
{
  Fixture f = { wl_fleet_create (), wl_load_create (), 1 };
  for (uint32_t k = 0; k < ENGINES; k++)
    {
      uint32_t i = (first + k * step) % ENGINES;
      WlEndpointRecord r
          = { .address = i + 1, .port = 80, .slots = 16, .started_ms = 1, .sequence = 1 };
      snprintf (r.id, sizeof r.id, "llm-%02u", i);
      snprintf (r.service, sizeof r.service, "llm");
      snprintf (r.domain, sizeof r.domain, "%s", domain_name (i));
      wl_fleet_apply (f.fleet, &r, now_us);
    }
  return f;
}

static Fixture
create (void)
{
  return create_in_order (0, 1);
}

static void
destroy (Fixture *f)
{
  wl_load_destroy (f->load);
  wl_fleet_destroy (f->fleet);
}

static void
add_work (Fixture *f, uint64_t key, WlWorkItem work)
{
  work.id = f->next_work++;
  work.endpoint = key;
  wl_load_apply (f->load, 1, 1, &work, now_us);
}

static WlChoiceRequest
short_request (uint32_t node)
{
  return (WlChoiceRequest){ .service = &wl_sample_engines,
                            .domain = domain_name (node),
                            .prompt = SHORT_PROMPT,
                            .output = SHORT_OUTPUT,
                            .objective_us = 300000,
                            .gap_us = 250000,
                            .deadline_us = 1850000,
                            .visibility = WL_CHOICE_SEES_OTHERS_DELAYED };
}

static WlChoiceRequest
long_request (void)
{
  return (WlChoiceRequest){ .service = &wl_sample_engines,
                            .domain = "z0",
                            .prompt = LONG_PROMPT,
                            .output = LONG_OUTPUT,
                            .objective_us = 4000000,
                            .gap_us = 1000000,
                            .deadline_us = 9800000,
                            .visibility = WL_CHOICE_SEES_OTHERS_DELAYED };
}

/* A different number for each node, as their random numbers are. */
static uint64_t
random_of (uint32_t node)
{
  uint64_t x = (node + 1) * UINT64_C (0x9e3779b97f4a7c15);
  x = (x ^ (x >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  return x ^ (x >> 31);
}

/* Shorts that decode where the nodes have placed them one after the other, each seen by the next.
 */
static void
add_decoding_shorts (Fixture *f)
{
  for (uint32_t i = 0; i < SHORTS; i++)
    {
      WlChoiceRequest q = short_request (i);
      WlChoice c = wl_choice_make (f->fleet, f->load, &q, now_us, random_of (i));
      ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
      add_work (f, c.endpoint->key,
                (WlWorkItem){ .phase = WL_WORK_DECODING,
                              .kv_tokens = SHORT_PROMPT + SHORT_OUTPUT,
                              .output_tokens = SHORT_OUTPUT,
                              .gap_ms = 250 });
    }
}

/* Lets every node place one short request by the same view; returns the most on one engine. */
static uint32_t
place_at_once (const Fixture *f, WlChoiceVisibility visibility)
{
  uint32_t counts[ENGINES] = { 0 };
  uint32_t most = 0;
  for (uint32_t node = 0; node < NODES; node++)
    {
      WlChoiceRequest q = short_request (node);
      q.visibility = visibility;
      WlChoice c = wl_choice_make (f->fleet, f->load, &q, now_us, random_of (node));
      ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
      ck_assert_uint_le (c.predicted_us, q.objective_us);
      uint32_t n = ++counts[c.endpoint - f->fleet->endpoints];
      most = n > most ? n : most;
    }
  return most;
}

/*
 * Guards against nodes that all choose the one best engine: 33 of the nodes share a domain, and
 * each would send its request to the same engine there. An even share of the pool is 6.
 */
START_TEST (ninety_nine_nodes_that_choose_at_once_spread_their_short_requests)
{
  Fixture f = create ();
  ck_assert_uint_le (place_at_once (&f, WL_CHOICE_SEES_OTHERS_DELAYED), NODES / 5);
  add_decoding_shorts (&f);
  ck_assert_uint_le (place_at_once (&f, WL_CHOICE_SEES_OTHERS_DELAYED), NODES / 5);
  destroy (&f);
}
END_TEST

/* Guards the choice of small fleets, whose nodes see all load without delay, against any change. */
START_TEST (nodes_of_a_small_fleet_take_the_best_engine_whatever_the_random_number)
{
  Fixture f = create ();
  ck_assert_uint_eq (place_at_once (&f, WL_CHOICE_SEES_ALL), NODES / DOMAINS);
  destroy (&f);
}
END_TEST

/*
 * All nodes have just started, no load is known, and the callers return at once. Guards against
 * a pool that is too small for them: twelve slots an engine are in use at most then.
 */
START_TEST (nodes_that_have_all_just_started_use_more_engines)
{
  Fixture f = create ();
  uint32_t used[2] = { 0, 0 };
  for (uint8_t is_partial = 0; is_partial < 2; is_partial++)
    {
      uint8_t is_used[ENGINES] = { 0 };
      for (uint32_t node = 0; node < NODES; node++)
        {
          WlChoiceRequest q = short_request (node);
          q.is_load_partial = is_partial;
          WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, random_of (node));
          ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
          is_used[c.endpoint - f.fleet->endpoints] = 1;
        }
      for (uint32_t i = 0; i < ENGINES; i++)
        used[is_partial] += is_used[i];
    }
  ck_assert_uint_lt (used[0], used[1]);
  ck_assert_uint_ge (used[1], ENGINES / 2);
  destroy (&f);
}
END_TEST

/* A domain without engines, as when it is evacuated. Guards against nodes there that all choose
 * one. */
START_TEST (nodes_of_a_domain_without_engines_draw_from_the_pools_of_the_others)
{
  Fixture f = create ();
  uint32_t counts[ENGINES] = { 0 };
  for (uint32_t i = 0; i < ENGINES; i++)
    f.fleet->endpoints[i].record.is_draining
        = strcmp (f.fleet->endpoints[i].record.domain, "z0") == 0;
  for (uint32_t i = 0; i < NODES / DOMAINS; i++)
    {
      WlChoiceRequest q = short_request (0);
      WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, random_of (i));
      ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
      ck_assert_uint_le (++counts[c.endpoint - f.fleet->endpoints], NODES / DOMAINS / 3);
    }
  destroy (&f);
}
END_TEST

/* Guards against short requests on so many engines that none is left to long prompts. */
START_TEST (short_requests_leave_half_of_the_engines_to_long_prompts)
{
  Fixture f = create ();
  uint32_t used = 0;
  add_decoding_shorts (&f);
  for (uint32_t i = 0; i < ENGINES; i++)
    used += wl_load_sum (f.load, f.fleet->endpoints[i].key, now_us).n_items > 0;
  ck_assert_uint_le (used, ENGINES / 2);
  destroy (&f);
}
END_TEST

/* Guards against parts of long prompts on engines where unseen short requests arrive. */
START_TEST (a_long_prompt_avoids_the_engines_of_the_short_pool)
{
  Fixture f = create ();
  add_decoding_shorts (&f);
  WlChoiceRequest q = long_request ();
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_eq (wl_load_sum (f.load, c.endpoint->key, now_us).n_items, 0);
  for (uint32_t i = 0; i < c.n_helpers; i++)
    ck_assert_uint_eq (wl_load_sum (f.load, c.helpers[i]->key, now_us).n_items, 0);
  destroy (&f);
}
END_TEST

/* A prefill of a second on every engine: each further one costs other requests much. */
static void
add_prefills (Fixture *f)
{
  for (uint32_t i = 0; i < ENGINES; i++)
    add_work (f, f->fleet->endpoints[i].key,
              (WlWorkItem){ .phase = WL_WORK_SENT, .prefill_tokens = 60000, .prefill_us = 500000 });
}

/*
 * A burst of long prompts. Guards against the order of before: those that had waited were held
 * as costly for up to 13 s while newer ones were placed at once, and late ones went first.
 */
START_TEST (a_long_prompt_that_can_just_be_in_time_goes_before_new_and_late_ones)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request ();
  add_prefills (&f);
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_WAIT);
  ck_assert_int_eq (c.hold, WL_CHOICE_HELD_COSTLY);
  q.objective_us = 1200000;
  ck_assert_int_eq (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_PLACED);
  q.objective_us = 0;
  ck_assert_int_eq (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_WAIT);
  destroy (&f);
}
END_TEST

/* Engines half full of shorts and mediums: none has the memory for a large prompt, several do. */
START_TEST (a_prompt_that_fits_no_engine_now_takes_the_memory_of_several)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request ();
  uint64_t reserved = 0;
  for (uint32_t i = 0; i < ENGINES; i++)
    add_work (&f, f.fleet->endpoints[i].key,
              (WlWorkItem){ .phase = WL_WORK_DECODING, .kv_tokens = 120000, .gap_ms = 1000 });
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  for (uint32_t i = 0; i < c.n_helpers; i++)
    reserved += c.kv_reserved[i];
  ck_assert_uint_ge (c.kv_tokens + reserved, LONG_PROMPT + LONG_OUTPUT);
  q.visibility = WL_CHOICE_SEES_ALL;
  c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.hold, WL_CHOICE_HELD_FULL);
  destroy (&f);
}
END_TEST

/* Leaves only the first engine of each failure domain in service. */
static void
drain_all_but_three (const Fixture *f)
{
  for (uint32_t i = DOMAINS; i < ENGINES; i++)
    f->fleet->endpoints[i].record.is_draining = 1;
}

static int
by_key (const void *a, const void *b)
{
  uint64_t x = (*(WlEndpoint *const *)a)->key;
  uint64_t y = (*(WlEndpoint *const *)b)->key;
  return x < y ? -1 : x > y;
}

/* The engines of domain z0 in the order of their keys, in which pools are filled. */
static uint32_t
sort_own_engines (const Fixture *f, WlEndpoint **out)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < ENGINES; i++)
    if (strcmp (f->fleet->endpoints[i].record.domain, "z0") == 0)
      out[n++] = &f->fleet->endpoints[i];
  qsort (out, n, sizeof (WlEndpoint *), by_key);
  return n;
}

/*
 * The first engines of the pool are full. Guards against a draw that goes on to the next engine
 * from a full one: the first engine behind them got most of the requests.
 */
START_TEST (engines_behind_full_ones_are_drawn_no_more_often_than_others)
{
  enum
  {
    DRAWS = 3000,
    FULL = 6,
    POOL = 10, /* of 15 engines, while load is partial */
  };
  Fixture f = create ();
  WlEndpoint *engines[ENGINES] = { NULL };
  uint32_t counts[ENGINES] = { 0 };
  ck_assert_uint_eq (sort_own_engines (&f, engines), ENGINES / DOMAINS);
  for (uint32_t i = 0; i < FULL; i++)
    for (uint32_t k = 0; k < wl_sample_engines.engine.slots; k++)
      add_work (&f, engines[i]->key, (WlWorkItem){ .phase = WL_WORK_DECODING, .kv_tokens = 1000 });
  for (uint32_t i = 0; i < DRAWS; i++)
    {
      WlChoiceRequest q = short_request (0);
      q.is_load_partial = 1;
      WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, random_of (i));
      ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
      counts[c.endpoint - f.fleet->endpoints]++;
    }
  for (uint32_t i = FULL; i < POOL; i++)
    {
      uint32_t n = counts[engines[i] - f.fleet->endpoints];
      ck_assert_uint_ge (n, DRAWS / (POOL - FULL) * 85 / 100);
      ck_assert_uint_le (n, DRAWS / (POOL - FULL) * 115 / 100);
    }
  destroy (&f);
}
END_TEST

/* Guards against a drawn engine that answers after the deadline, though before the objective. */
START_TEST (a_short_request_is_not_placed_where_it_misses_its_deadline)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request (0);
  q.deadline_us = wl_choice_make (f.fleet, f.load, &q, now_us, 0).predicted_us;
  ck_assert_uint_lt (q.deadline_us, q.objective_us);
  ck_assert_int_ne (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_PLACED);
  destroy (&f);
}
END_TEST

/* Guards against a long answer to a short prompt that is given to one engine without the memory. */
START_TEST (a_short_prompt_whose_answer_exceeds_an_engine_is_not_placed_on_one)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request (0);
  q.output = wl_sample_engines.engine.kv_tokens;
  ck_assert_int_ne (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_PLACED);
  destroy (&f);
}
END_TEST

/*
 * Short answers, so that a pool is expected to take many requests, and one engine in each domain,
 * so that all are in a pool. Guards against a long prompt that is held until it is refused while
 * every engine is idle, for requests that may come.
 */
START_TEST (a_long_prompt_is_placed_on_an_idle_engine_although_all_are_in_pools)
{
  Fixture f = create ();
  WlRouteService service = wl_sample_engines;
  WlChoiceRequest q = long_request ();
  service.engine.mean_output = 20;
  q.service = &service;
  drain_all_but_three (&f);
  ck_assert_int_eq (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_PLACED);
  q.objective_us = 0;
  q.deadline_us = 3500000;
  ck_assert_int_eq (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_PLACED);
  destroy (&f);
}
END_TEST

/*
 * All engines are idle and equal. Guards against nodes that all take the first one of a common
 * order for their long prompts: each has learnt of the engines in another order.
 */
START_TEST (nodes_that_know_the_engines_in_another_order_break_ties_differently)
{
  Fixture f = create ();
  Fixture g = create_in_order (ENGINES - 1, ENGINES - 1);
  WlChoiceRequest q = long_request ();
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  WlChoice d = wl_choice_make (g.fleet, g.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_int_eq (d.result, WL_CHOICE_PLACED);
  ck_assert_uint_ne (c.endpoint->key, d.endpoint->key);
  destroy (&f);
  destroy (&g);
}
END_TEST

/* A placement: position of the answering engine, bits of the positions of the helpers, TTFT. */
typedef struct
{
  uint32_t prompt;
  uint32_t endpoint;
  uint64_t helpers;
  uint64_t predicted_us;
} Placement;

/* A calm load: up to three short requests on each engine, a medium one on every fifth. */
static void
add_calm_load (Fixture *f)
{
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      uint64_t key = f->fleet->endpoints[i].key;
      for (uint32_t k = 0; k < (i * 7 + 3) % 4; k++)
        add_work (f, key,
                  (WlWorkItem){ .phase = WL_WORK_DECODING, .kv_tokens = 6360, .gap_ms = 250 });
      if (i % 5 == 0)
        add_work (f, key,
                  (WlWorkItem){ .phase = WL_WORK_DECODING, .kv_tokens = 46000, .gap_ms = 600 });
    }
}

static Placement
place (const Fixture *f, uint32_t prompt, uint32_t node)
{
  WlChoiceRequest q = short_request (node);
  q.visibility = WL_CHOICE_SEES_ALL;
  q.prompt = prompt;
  if (prompt > SHORT_PROMPT)
    {
      q.output = LONG_OUTPUT;
      q.objective_us = prompt > 100000 ? 4000000 : 1500000;
      q.gap_us = prompt > 100000 ? 1000000 : 600000;
      q.deadline_us = 9000000;
    }
  WlChoice c = wl_choice_make (f->fleet, f->load, &q, now_us, random_of (node));
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  Placement p = { .prompt = prompt,
                  .endpoint = (uint32_t)(c.endpoint - f->fleet->endpoints),
                  .predicted_us = c.predicted_us };
  for (uint32_t i = 0; i < c.n_helpers; i++)
    p.helpers |= UINT64_C (1) << (c.helpers[i] - f->fleet->endpoints);
  return p;
}

/*
 * A calm fleet of 12 nodes. Guards small fleets against any change of their choice: the placements
 * are those of commit 53461d3, from before engines were divided into pools.
 */
START_TEST (a_calm_fleet_of_twelve_nodes_chooses_as_before_pools)
{
  static const Placement expected[] = {
    { 5000, 12, 0x0, 97655 },
    { 45000, 7, 0x808, 120412 },
    { 133000, 11, 0x8088880088, 234293 },
    { 220000, 3, 0x8888cccc8c4, 338087 },
    { 5000, 4, 0x0, 97655 },
    { 45000, 11, 0x88, 120412 },
    { 133000, 3, 0x8088880880, 234293 },
    { 220000, 7, 0x8888cccc84c, 338087 },
    { 5000, 8, 0x0, 97655 },
    { 45000, 3, 0x880, 120412 },
    { 133000, 7, 0x8088880808, 234293 },
    { 220000, 11, 0x8888cccc0cc, 338087 },
  };
  Fixture f = create ();
  add_calm_load (&f);
  for (uint32_t i = 0; i < sizeof expected / sizeof *expected; i++)
    {
      Placement p = place (&f, expected[i].prompt, i % 12);
      ck_assert_uint_eq (p.endpoint, expected[i].endpoint);
      ck_assert_uint_eq (p.helpers, expected[i].helpers);
      ck_assert_uint_eq (p.predicted_us, expected[i].predicted_us);
    }
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (ninety_nine_nodes_that_choose_at_once_spread_their_short_requests),
    WL_TEST (nodes_of_a_small_fleet_take_the_best_engine_whatever_the_random_number),
    WL_TEST (nodes_that_have_all_just_started_use_more_engines),
    WL_TEST (nodes_of_a_domain_without_engines_draw_from_the_pools_of_the_others),
    WL_TEST (short_requests_leave_half_of_the_engines_to_long_prompts),
    WL_TEST (a_long_prompt_avoids_the_engines_of_the_short_pool),
    WL_TEST (a_long_prompt_that_can_just_be_in_time_goes_before_new_and_late_ones),
    WL_TEST (a_prompt_that_fits_no_engine_now_takes_the_memory_of_several),
    WL_TEST (engines_behind_full_ones_are_drawn_no_more_often_than_others),
    WL_TEST (a_short_request_is_not_placed_where_it_misses_its_deadline),
    WL_TEST (a_short_prompt_whose_answer_exceeds_an_engine_is_not_placed_on_one),
    WL_TEST (a_long_prompt_is_placed_on_an_idle_engine_although_all_are_in_pools),
    WL_TEST (nodes_that_know_the_engines_in_another_order_break_ties_differently),
    WL_TEST (a_calm_fleet_of_twelve_nodes_chooses_as_before_pools),
  };
  apr_initialize ();
  return wl_test_run ("choice_pool", tests, sizeof tests / sizeof tests[0]);
}
