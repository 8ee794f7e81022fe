#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_choice_internal.h"
#include "wl_sample_engine.h"
#include "wl_test.h"

/*
 * Placement under the load that each test builds: short requests must not wait
 * behind long prefills, nor long prompts starve, and the choice must work with
 * the load that a node sees in fleets of all sizes.
 */

enum
{
  ENGINES = 18,
  SHORT_PROMPT = 5000,
  SHORT_OUTPUT = 1360,
  LONG_PROMPT = 133000,
  LONG_OUTPUT = 690,
  OVERSIZED_PROMPT = 400000,
};

static const uint64_t now_us = 50000000;

typedef struct
{
  WlFleet *fleet;
  WlLoad *load;
  uint64_t next_work;
} Fixture;

static void
add_endpoint (Fixture *f, const char *service, uint32_t i, uint32_t slots)
{
  WlEndpointRecord r
      = { .address = i + 1, .port = slots, .slots = slots, .started_ms = 1, .sequence = 1 };
  snprintf (r.id, sizeof r.id, "%s-%02u", service, i);
  snprintf (r.service, sizeof r.service, "%s", service);
  snprintf (r.domain, sizeof r.domain, "z%u", i % 3);
  wl_fleet_apply (f->fleet, &r, now_us);
}

static Fixture
create (void)
{
  Fixture f = { wl_fleet_create (), wl_load_create (), 1 };
  for (uint32_t i = 0; i < ENGINES; i++)
    add_endpoint (&f, "llm", i, 16);
  for (uint32_t i = 0; i < 3; i++)
    add_endpoint (&f, "app", i, 6);
  return f;
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

static WlWorkItem
decoding_short (void)
{
  return (WlWorkItem){ .phase = WL_WORK_DECODING,
                       .kv_tokens = SHORT_PROMPT + SHORT_OUTPUT,
                       .output_tokens = SHORT_OUTPUT,
                       .gap_ms = 250 };
}

static WlChoiceRequest
short_request (void)
{
  return (WlChoiceRequest){ .service = &wl_sample_engines,
                            .domain = "z0",
                            .prompt = SHORT_PROMPT,
                            .output = SHORT_OUTPUT,
                            .objective_us = 300000,
                            .gap_us = 250000,
                            .deadline_us = 1850000 };
}

static WlChoiceRequest
long_request (uint32_t prompt)
{
  return (WlChoiceRequest){ .service = &wl_sample_engines,
                            .domain = "z0",
                            .prompt = prompt,
                            .output = LONG_OUTPUT,
                            .objective_us = 2500000,
                            .gap_us = 1000000,
                            .deadline_us = 9800000 };
}

/* Places a request and counts it as decoding at once. */
static WlChoice
place (Fixture *f, const WlChoiceRequest *q)
{
  WlChoice c = wl_choice_make (f->fleet, f->load, q, now_us, 0);
  if (c.result == WL_CHOICE_PLACED)
    add_work (f, c.endpoint->key,
              (WlWorkItem){ .phase = WL_WORK_DECODING,
                            .kv_tokens = q->prompt + q->output,
                            .output_tokens = q->output,
                            .gap_ms = (uint32_t)(q->gap_us / 1000) });
  return c;
}

START_TEST (short_requests_are_packed_on_few_engines)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  uint32_t used = 0;
  for (int i = 0; i < 40; i++)
    ck_assert_int_eq (place (&f, &q).result, WL_CHOICE_PLACED);
  for (uint32_t i = 0; i < f.fleet->n_endpoints; i++)
    used += wl_load_sum (f.load, f.fleet->endpoints[i].key, now_us).n_items > 0;
  ck_assert_uint_le (used, 6);
  destroy (&f);
}
END_TEST

START_TEST (a_short_request_avoids_an_engine_that_prefills_a_long_prompt)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  for (uint32_t i = 0; i + 1 < ENGINES; i++)
    add_work (&f, f.fleet->endpoints[i].key,
              (WlWorkItem){
                  .phase = WL_WORK_SENT, .prefill_tokens = LONG_PROMPT, .prefill_us = 1870000 });
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_ptr_eq (c.endpoint, &f.fleet->endpoints[ENGINES - 1]);
  destroy (&f);
}
END_TEST

START_TEST (a_short_request_waits_for_a_slot_rather_than_behind_a_long_prefill)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  for (uint32_t i = 0; i < ENGINES; i++)
    for (uint32_t j = 0; i < 12 && j < 16; j++)
      add_work (&f, f.fleet->endpoints[i].key, decoding_short ());
  for (uint32_t i = 12; i < ENGINES; i++)
    {
      add_work (&f, f.fleet->endpoints[i].key, decoding_short ());
      add_work (
          &f, f.fleet->endpoints[i].key,
          (WlWorkItem){ .phase = WL_WORK_SENT, .prefill_tokens = 60000, .prefill_us = 500000 });
    }
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_WAIT);
  ck_assert_int_eq (c.hold, WL_CHOICE_HELD_FOR_ROOM);
  ck_assert_uint_le (c.wait_us, 50000);
  destroy (&f);
}
END_TEST

START_TEST (a_short_request_uses_an_idle_engine_rather_than_wait_for_a_full_one)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  q.objective_us = 600000;
  for (uint32_t i = 0; i + 1 < ENGINES; i++)
    for (uint32_t j = 0; j < 16; j++)
      add_work (&f, f.fleet->endpoints[i].key, decoding_short ());
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_ptr_eq (c.endpoint, &f.fleet->endpoints[ENGINES - 1]);
  destroy (&f);
}
END_TEST

START_TEST (a_split_prefill_delays_no_short_request)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request (LONG_PROMPT);
  for (uint32_t i = 0; i < 6; i++)
    for (uint32_t j = 0; j < 8; j++)
      add_work (&f, f.fleet->endpoints[i].key, decoding_short ());
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_ge (c.n_helpers, 3);
  ck_assert_uint_le (c.predicted_us, q.objective_us * 6 / 10);
  ck_assert_uint_eq (wl_load_sum (f.load, c.endpoint->key, now_us).n_items, 0);
  /* Where a part delays short requests, it is small enough for their tolerated gap. */
  for (uint32_t i = 0; i < c.n_helpers; i++)
    if (wl_load_sum (f.load, c.helpers[i]->key, now_us).n_items > 0)
      ck_assert_uint_le (c.part_us, 125000);
  destroy (&f);
}
END_TEST

START_TEST (the_kv_cache_of_an_oversized_prompt_is_spread)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request (OVERSIZED_PROMPT);
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  uint64_t memory = c.kv_tokens;
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  for (uint32_t i = 0; i < c.n_helpers; i++)
    {
      ck_assert_uint_le (c.kv_reserved[i], wl_sample_engines.engine.kv_tokens);
      memory += c.kv_reserved[i];
    }
  ck_assert_uint_ge (memory, OVERSIZED_PROMPT + LONG_OUTPUT);
  ck_assert_uint_lt (c.kv_tokens, wl_sample_engines.engine.kv_tokens);
  destroy (&f);
}
END_TEST

START_TEST (an_oversized_prompt_waits_while_slots_are_scarce)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request (OVERSIZED_PROMPT);
  for (uint32_t i = 0; i < ENGINES; i++)
    for (uint32_t j = 0; j < 12; j++)
      add_work (&f, f.fleet->endpoints[i].key, decoding_short ());
  ck_assert_int_eq (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_WAIT);
  destroy (&f);
}
END_TEST

START_TEST (a_queued_long_prompt_reports_its_reason)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request (LONG_PROMPT);
  for (uint32_t i = 0; i < ENGINES; i++)
    add_work (&f, f.fleet->endpoints[i].key,
              (WlWorkItem){ .phase = WL_WORK_SENT, .prefill_tokens = 60000, .prefill_us = 800000 });
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_WAIT);
  ck_assert_int_eq (c.hold, WL_CHOICE_HELD_COSTLY);
  ck_assert_uint_ge (c.mean_backlog_us, 800000 - ENGINES);
  ck_assert_uint_le (c.mean_backlog_us, 800000);
  for (uint32_t i = 0; i < ENGINES; i++)
    add_work (&f, f.fleet->endpoints[i].key,
              (WlWorkItem){ .phase = WL_WORK_DECODING, .kv_tokens = 200000, .gap_ms = 1000 });
  c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_WAIT);
  ck_assert_int_eq (c.hold, WL_CHOICE_HELD_FULL);
  destroy (&f);
}
END_TEST

START_TEST (a_request_that_cannot_be_answered_is_refused_at_once)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request (OVERSIZED_PROMPT);
  q.deadline_us = 300000;
  ck_assert_int_eq (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result,
                    WL_CHOICE_PAST_DEADLINE);
  q = long_request (ENGINES * 232000);
  ck_assert_int_eq (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_TOO_LARGE);
  q = short_request ();
  for (uint32_t i = 0; i < f.fleet->n_endpoints; i++)
    f.fleet->endpoints[i].record.is_draining = 1;
  ck_assert_int_eq (wl_choice_make (f.fleet, f.load, &q, now_us, 0).result, WL_CHOICE_NO_ENDPOINT);
  destroy (&f);
}
END_TEST

START_TEST (a_short_request_avoids_an_engine_that_has_become_slow)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  WlEndpoint *usual = wl_choice_make (f.fleet, f.load, &q, now_us, 0).endpoint;
  for (int i = 0; i < 10; i++)
    wl_fleet_note_slowdown (usual, 5.0, now_us);
  ck_assert_ptr_ne (wl_choice_make (f.fleet, f.load, &q, now_us, 0).endpoint, usual);
  destroy (&f);
}
END_TEST

START_TEST (plain_requests_prefer_the_own_domain_and_spread_over_slots)
{
  Fixture f = create ();
  WlChoiceRequest q = {
    .service = &wl_sample_plain, .domain = "z1", .objective_us = 300000, .deadline_us = 2000000
  };
  WlChoice c = place (&f, &q);
  ck_assert_str_eq (c.endpoint->record.domain, "z1");
  uint32_t n[3] = { 1, 0, 0 };
  for (int i = 1; i < 18; i++)
    {
      c = place (&f, &q);
      ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
    }
  for (uint32_t i = 0; i < 3; i++)
    {
      WlEndpoint *e = &f.fleet->endpoints[ENGINES + i];
      n[i] = wl_load_sum (f.load, e->key, now_us).n_items;
      ck_assert_uint_ge (n[i], 5);
      ck_assert_uint_le (n[i], 7);
    }
  destroy (&f);
}
END_TEST

START_TEST (an_endpoint_with_failures_gets_fewer_requests)
{
  Fixture f = create ();
  WlChoiceRequest q = {
    .service = &wl_sample_plain, .domain = "z0", .objective_us = 300000, .deadline_us = 2000000
  };
  WlEndpoint *near = &f.fleet->endpoints[ENGINES];
  wl_fleet_note_failure (near, WL_FAILURE_LOST, now_us - 5000000);
  wl_fleet_note_failure (near, WL_FAILURE_LOST, now_us - 4000000);
  ck_assert (wl_fleet_is_usable (near, now_us));
  ck_assert_ptr_ne (wl_choice_make (f.fleet, f.load, &q, now_us, 0).endpoint, near);
  destroy (&f);
}
END_TEST

/* ---- large fleets: the load of other failure domains is seen later ---- */

static uint32_t
count_outside (const WlChoice *c, const char *domain)
{
  uint32_t n = strcmp (c->endpoint->record.domain, domain) != 0;
  for (uint32_t i = 0; i < c->n_helpers; i++)
    n += strcmp (c->helpers[i]->record.domain, domain) != 0;
  return n;
}

START_TEST (a_long_prompt_stays_in_its_domain_while_that_is_as_idle_as_the_others)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request (LONG_PROMPT);
  q.visibility = WL_CHOICE_SEES_OTHERS_DELAYED;
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_eq (count_outside (&c, "z0"), 0);
  destroy (&f);
}
END_TEST

START_TEST (a_burst_in_one_domain_sends_its_long_prompts_to_the_others)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request (LONG_PROMPT);
  q.visibility = WL_CHOICE_SEES_OTHERS_DELAYED;
  for (uint32_t i = 0; i < f.fleet->n_endpoints; i++)
    for (int k = 0; k < 12 && strcmp (f.fleet->endpoints[i].record.domain, "z0") == 0; k++)
      add_work (&f, f.fleet->endpoints[i].key, decoding_short ());
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_eq (count_outside (&c, "z0"), c.n_helpers + 1);
  destroy (&f);
}
END_TEST

/* With many engines a split is only sought among the own domain and the least loaded others. */
START_TEST (an_empty_engine_in_another_domain_is_found_among_many)
{
  Fixture f = create ();
  WlChoiceRequest q = long_request (LONG_PROMPT);
  uint64_t empty = 0;
  for (uint32_t i = ENGINES; i < 150; i++)
    add_endpoint (&f, "llm", i, 16);
  for (uint32_t i = 0; i < f.fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &f.fleet->endpoints[i];
      if (strcmp (e->record.id, "llm-149") == 0)
        empty = e->key;
      else
        for (int k = 0; k < 8; k++)
          add_work (&f, e->key, decoding_short ());
    }
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_eq (c.endpoint->key, empty);
  destroy (&f);
}
END_TEST

/* ---- the largest fleets: the load of other failure domains is not seen ---- */

START_TEST (a_request_stays_in_its_domain_while_that_answers_in_time)
{
  Fixture f = create ();
  WlChoiceRequest shorter = short_request ();
  WlChoiceRequest longer = long_request (LONG_PROMPT);
  shorter.visibility = longer.visibility = WL_CHOICE_SEES_OWN_DOMAIN;
  for (int i = 0; i < 20; i++)
    {
      WlChoice c = place (&f, &shorter);
      ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
      ck_assert_uint_eq (count_outside (&c, "z0"), 0);
    }
  WlChoice c = wl_choice_make (f.fleet, f.load, &longer, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_eq (count_outside (&c, "z0"), 0);
  destroy (&f);
}
END_TEST

START_TEST (a_domain_without_usable_engines_uses_the_others)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  q.visibility = WL_CHOICE_SEES_OWN_DOMAIN;
  for (uint32_t i = 0; i < f.fleet->n_endpoints; i++)
    if (strcmp (f.fleet->endpoints[i].record.domain, "z0") == 0)
      f.fleet->endpoints[i].record.is_draining = 1;
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_eq (count_outside (&c, "z0"), 1);
  destroy (&f);
}
END_TEST

START_TEST (a_full_domain_sends_plain_requests_to_the_others)
{
  Fixture f = create ();
  WlRouteService plain = { .name = "app" };
  WlChoiceRequest q = { .service = &plain,
                        .domain = "z0",
                        .deadline_us = 1000000,
                        .visibility = WL_CHOICE_SEES_OWN_DOMAIN };
  WlWorkItem work = { .phase = WL_WORK_SENT };
  for (int i = 0; i < 6; i++)
    add_work (&f, wl_fleet_key ("app-00"), work);
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_uint_eq (count_outside (&c, "z0"), 1);
  destroy (&f);
}
END_TEST

/* ---- cold and slow endpoints ---- */

/* A service whose endpoints can be cold, at a node that knows no other and may send to them. */
typedef struct
{
  WlRouteService service;
  WlWarmup *warmup;
} Cold;

static Cold
create_cold (uint64_t rate)
{
  WlWarmupOptions options = { .node = 1, .domain = "z0", .over = 1.0 };
  Cold c = { wl_sample_engines, NULL };
  c.service.cold_rate = rate;
  c.warmup = wl_warmup_create (&options, now_us - WL_WARMUP_HOLD_US);
  wl_warmup_tick (c.warmup, now_us - WL_WARMUP_HOLD_US / 2);
  wl_warmup_tick (c.warmup, now_us);
  return c;
}

static void
make_cold (Fixture *f, uint32_t first, uint32_t n)
{
  for (uint32_t i = first; i < first + n; i++)
    wl_fleet_note_cold (&f->fleet->endpoints[i], 60000000, now_us);
}

/* Guards against requests that cold engines get without a token. */
START_TEST (cold_engines_without_a_token_are_no_candidates)
{
  Fixture f = create ();
  Cold cold = create_cold (500);
  WlChoiceRequest q = short_request ();
  q.service = &cold.service;
  q.warmup = cold.warmup;
  make_cold (&f, 1, ENGINES - 1);
  WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
  ck_assert_ptr_eq (c.endpoint, &f.fleet->endpoints[0]);
  make_cold (&f, 0, 1);
  c = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_int_eq (c.result, WL_CHOICE_NO_ENDPOINT);
  wl_warmup_destroy (cold.warmup);
  destroy (&f);
}
END_TEST

/* Guards against cold engines that prefill or hold memory for others. */
START_TEST (cold_engines_answer_with_a_token_but_never_help)
{
  static const uint32_t prompts[] = { LONG_PROMPT, OVERSIZED_PROMPT };
  for (size_t k = 0; k < 2; k++)
    {
      Fixture f = create ();
      Cold cold = create_cold (1000000);
      WlChoiceRequest q = long_request (prompts[k]);
      q.service = &cold.service;
      q.warmup = cold.warmup;
      make_cold (&f, 0, ENGINES - 4);
      wl_choice_make (f.fleet, f.load, &q, now_us, 0);
      wl_warmup_tick (cold.warmup, now_us + 500000);
      WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us + 500000, 0);
      ck_assert_int_eq (c.result, WL_CHOICE_PLACED);
      for (uint32_t i = 0; i < c.n_helpers; i++)
        ck_assert (c.helpers[i] >= &f.fleet->endpoints[ENGINES - 4]);
      for (uint32_t i = 0; i < ENGINES - 4; i++)
        ck_assert_uint_eq (
            wl_warmup_wait_us (cold.warmup, &cold.service, &f.fleet->endpoints[i], now_us + 500000),
            0);
      wl_warmup_destroy (cold.warmup);
      destroy (&f);
    }
}
END_TEST

static void
make_slow (Fixture *f, uint32_t i)
{
  for (int k = 0; k < 50; k++)
    wl_fleet_note_slowdown (&f->fleet->endpoints[i], 4.0, now_us);
}

/* Guards against a slow engine that counts as idle because its slots are free. */
START_TEST (a_slow_engine_costs_by_its_speed)
{
  Fixture f = create ();
  Cold cold = create_cold (23000);
  WlChoiceRequest q = long_request (LONG_PROMPT);
  WlCandidate c = { .endpoint = &f.fleet->endpoints[0], .slowdown = 3.0 };
  for (uint32_t i = 0; i < 4; i++)
    make_slow (&f, i);
  q.service = &cold.service;
  WlChoice split = wl_choice_make (f.fleet, f.load, &q, now_us, 0);
  ck_assert_uint_ge (split.n_helpers, 3);
  for (uint32_t i = 0; i < split.n_helpers; i++)
    ck_assert (split.helpers[i] >= &f.fleet->endpoints[4]);
  /* Its iterations take three times as long: a prompt breaks the gaps of the requests there. */
  q = short_request ();
  for (int i = 0; i < 4; i++)
    add_work (&f, c.endpoint->key, decoding_short ());
  c.sum = wl_load_sum (f.load, c.endpoint->key, now_us);
  wl_choice_score (f.load, &q, &c, SHORT_PROMPT, 24000);
  double before = c.score;
  q.service = &cold.service;
  wl_choice_score (f.load, &q, &c, SHORT_PROMPT, 24000);
  ck_assert (c.score < before - 1.0);
  wl_warmup_destroy (cold.warmup);
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (short_requests_are_packed_on_few_engines),
    WL_TEST (a_short_request_avoids_an_engine_that_prefills_a_long_prompt),
    WL_TEST (a_short_request_waits_for_a_slot_rather_than_behind_a_long_prefill),
    WL_TEST (a_short_request_uses_an_idle_engine_rather_than_wait_for_a_full_one),
    WL_TEST (a_split_prefill_delays_no_short_request),
    WL_TEST (the_kv_cache_of_an_oversized_prompt_is_spread),
    WL_TEST (an_oversized_prompt_waits_while_slots_are_scarce),
    WL_TEST (a_queued_long_prompt_reports_its_reason),
    WL_TEST (a_request_that_cannot_be_answered_is_refused_at_once),
    WL_TEST (a_short_request_avoids_an_engine_that_has_become_slow),
    WL_TEST (plain_requests_prefer_the_own_domain_and_spread_over_slots),
    WL_TEST (an_endpoint_with_failures_gets_fewer_requests),
    WL_TEST (a_long_prompt_stays_in_its_domain_while_that_is_as_idle_as_the_others),
    WL_TEST (a_burst_in_one_domain_sends_its_long_prompts_to_the_others),
    WL_TEST (an_empty_engine_in_another_domain_is_found_among_many),
    WL_TEST (a_request_stays_in_its_domain_while_that_answers_in_time),
    WL_TEST (a_domain_without_usable_engines_uses_the_others),
    WL_TEST (a_full_domain_sends_plain_requests_to_the_others),
    WL_TEST (cold_engines_without_a_token_are_no_candidates),
    WL_TEST (cold_engines_answer_with_a_token_but_never_help),
    WL_TEST (a_slow_engine_costs_by_its_speed),
  };
  apr_initialize ();
  return wl_test_run ("choice", tests, sizeof tests / sizeof tests[0]);
}
