#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_choice_explain.h"
#include "wl_sample_engine.h"
#include "wl_test.h"

/*
 * Explanations of choices: an operator who asks why a request goes elsewhere must get the decision
 * that the node makes, and the reason for each endpoint that it did not choose.
 */

enum
{
  ENGINES = 9,
  ENDPOINTS_MAX = 32,
  SHORT_PROMPT = 5000,
  SHORT_OUTPUT = 1360,
  LONG_PROMPT = 133000,
};

static const uint64_t now_us = 50000000;

typedef struct
{
  WlFleet *fleet;
  WlLoad *load;
  uint64_t next_work;
  WlChoice choice;
  WlExplainedEndpoint explained[ENDPOINTS_MAX];
  uint32_t n;
} Fixture;

/* Engines 0, 3, 6 are in failure domain z0, the node's own; 1, 4, 7 in z1; 2, 5, 8 in z2. */
static Fixture
create (void)
{
  Fixture f = { .fleet = wl_fleet_create (), .load = wl_load_create (), .next_work = 1 };
  for (uint32_t i = 0; i < ENGINES + 1; i++)
    {
      WlEndpointRecord r
          = { .address = i + 1, .port = 80, .slots = 16, .started_ms = 1, .sequence = 1 };
      snprintf (r.id, sizeof r.id, "engine-%u", i);
      snprintf (r.service, sizeof r.service, "%s", i < ENGINES ? "llm" : "app");
      snprintf (r.domain, sizeof r.domain, "z%u", i % 3);
      wl_fleet_apply (f.fleet, &r, now_us);
    }
  return f;
}

static void
destroy (Fixture *f)
{
  wl_load_destroy (f->load);
  wl_fleet_destroy (f->fleet);
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

static WlEndpoint *
engine (Fixture *f, uint32_t i)
{
  char id[32];
  snprintf (id, sizeof id, "engine-%u", i);
  return wl_fleet_find (f->fleet, id);
}

static void
add_work (Fixture *f, uint32_t i, WlWorkItem work)
{
  work.id = f->next_work++;
  work.endpoint = engine (f, i)->key;
  wl_load_apply (f->load, 1, 1, &work, now_us);
}

static void
fill (Fixture *f, uint32_t i)
{
  for (uint32_t k = 0; k < 16; k++)
    add_work (f, i,
              (WlWorkItem){ .phase = WL_WORK_DECODING,
                            .kv_tokens = SHORT_PROMPT + SHORT_OUTPUT,
                            .output_tokens = SHORT_OUTPUT,
                            .gap_ms = 250 });
}

static void
explain (Fixture *f, const WlChoiceRequest *q)
{
  f->n = wl_choice_explain (f->fleet, f->load, q, now_us, 0, f->explained, ENDPOINTS_MAX,
                            &f->choice);
}

static const WlExplainedEndpoint *
find (const Fixture *f, uint32_t i)
{
  char id[32];
  snprintf (id, sizeof id, "engine-%u", i);
  for (uint32_t k = 0; k < f->n; k++)
    if (strcmp (f->explained[k].endpoint->record.id, id) == 0)
      return &f->explained[k];
  ck_abort_msg ("%s is not explained", id);
  return NULL;
}

static uint32_t
count (const Fixture *f, WlVerdict verdict)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < f->n; i++)
    n += f->explained[i].verdict == verdict;
  return n;
}

/* A missing or wrong reason sends the operator to the wrong remedy. */
START_TEST (each_endpoint_that_is_ruled_out_has_its_reason)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  WlLimits *limits = wl_limits_create ();
  static const char evacuated[1][WL_LABEL_SIZE] = { "z2" };
  engine (&f, 1)->record.is_draining = 1;
  engine (&f, 3)->ejected_until_us = now_us + 1;
  engine (&f, 4)->last_contact_us = now_us - WL_FLEET_TIMEOUT_US;
  fill (&f, 6);
  wl_limits_note_response (limits, engine (&f, 7), 1, 1000, now_us, now_us);
  wl_fleet_set_evacuated (f.fleet, evacuated, 1);
  q.limits = limits;
  explain (&f, &q);
  ck_assert_uint_eq (f.n, ENGINES); /* not the endpoint of another service */
  ck_assert_int_eq (find (&f, 0)->verdict, WL_VERDICT_ANSWERS);
  ck_assert_int_eq (find (&f, 1)->verdict, WL_VERDICT_LEAVING);
  ck_assert_int_eq (find (&f, 2)->verdict, WL_VERDICT_EVACUATED);
  ck_assert_int_eq (find (&f, 3)->verdict, WL_VERDICT_EJECTED);
  ck_assert_int_eq (find (&f, 4)->verdict, WL_VERDICT_SILENT);
  ck_assert_int_eq (find (&f, 6)->verdict, WL_VERDICT_FULL);
  ck_assert_int_eq (find (&f, 7)->verdict, WL_VERDICT_LIMITED);
  /* A permit is for one endpoint, and the others are no candidates then. */
  q.permitted = engine (&f, 7)->key;
  explain (&f, &q);
  ck_assert_int_eq (find (&f, 7)->verdict, WL_VERDICT_ANSWERS);
  ck_assert_int_eq (find (&f, 0)->verdict, WL_VERDICT_LIMITED);
  wl_limits_destroy (limits);
  destroy (&f);
}
END_TEST

START_TEST (a_retry_names_the_endpoint_that_was_tried)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  explain (&f, &q);
  const WlEndpoint *first = f.choice.endpoint;
  q.excluded[q.n_excluded++] = first->key;
  explain (&f, &q);
  ck_assert_ptr_ne (f.choice.endpoint, first);
  ck_assert_uint_eq (count (&f, WL_VERDICT_TRIED), 1);
  ck_assert_uint_eq (count (&f, WL_VERDICT_ANSWERS), 1);
  destroy (&f);
}
END_TEST

/* Predicted times without what they are made of could not be compared with the logs. */
START_TEST (predicted_times_are_those_of_the_choice)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  add_work (
      &f, 4,
      (WlWorkItem){ .phase = WL_WORK_SENT, .prefill_tokens = LONG_PROMPT, .prefill_us = 1870000 });
  explain (&f, &q);
  for (uint32_t i = 0; i < f.n; i++)
    if (f.explained[i].verdict == WL_VERDICT_ANSWERS)
      ck_assert_uint_eq (f.explained[i].predicted_us, f.choice.predicted_us);
  const WlExplainedEndpoint *busy = find (&f, 4);
  ck_assert_int_eq (busy->verdict, WL_VERDICT_TOO_LATE);
  ck_assert_uint_ge (busy->predicted_us, q.deadline_us);
  ck_assert_uint_eq (busy->sum.backlog_us, 1870000);
  destroy (&f);
}
END_TEST

START_TEST (helpers_of_a_split_prompt_are_named)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  q.prompt = LONG_PROMPT;
  q.output = 690;
  q.objective_us = 1000000;
  q.gap_us = 1000000;
  q.deadline_us = 9800000;
  explain (&f, &q);
  ck_assert_int_eq (f.choice.result, WL_CHOICE_PLACED);
  ck_assert_uint_gt (f.choice.n_helpers, 0);
  ck_assert_uint_eq (count (&f, WL_VERDICT_HELPS), f.choice.n_helpers);
  ck_assert_uint_eq (count (&f, WL_VERDICT_ANSWERS), 1);
  destroy (&f);
}
END_TEST

/* An explanation of a request that waits must not name an endpoint. */
START_TEST (a_request_that_waits_has_only_reasons)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  for (uint32_t i = 0; i < ENGINES; i++)
    fill (&f, i);
  explain (&f, &q);
  ck_assert_int_ne (f.choice.result, WL_CHOICE_PLACED);
  ck_assert_uint_eq (count (&f, WL_VERDICT_FULL), ENGINES);
  destroy (&f);
}
END_TEST

/* The load of other domains is not seen there; a time computed from it would be taken for real. */
START_TEST (domains_whose_load_is_not_seen_are_named_as_such)
{
  Fixture f = create ();
  WlChoiceRequest q = short_request ();
  q.visibility = WL_CHOICE_SEES_OWN_DOMAIN;
  explain (&f, &q);
  ck_assert_str_eq (f.choice.endpoint->record.domain, "z0");
  ck_assert_uint_eq (count (&f, WL_VERDICT_OTHER_DOMAIN), 6);
  destroy (&f);
}
END_TEST

/* An explanation that placed the request, or chose by itself, would not be one. */
START_TEST (explaining_changes_nothing_and_agrees_with_the_choice)
{
  static const WlChoiceVisibility views[]
      = { WL_CHOICE_SEES_ALL, WL_CHOICE_SEES_OTHERS_DELAYED, WL_CHOICE_SEES_OWN_DOMAIN };
  for (uint32_t v = 0; v < 3; v++)
    for (uint64_t random = 0; random < 50; random++)
      {
        Fixture f = create ();
        WlChoiceRequest q = short_request ();
        q.visibility = views[v];
        for (uint32_t i = 0; i < ENGINES; i++)
          for (uint64_t k = 0; k < (random * 7 + i * 5) % 17; k++)
            add_work (&f, i,
                      (WlWorkItem){ .phase = WL_WORK_DECODING,
                                    .kv_tokens = SHORT_PROMPT + SHORT_OUTPUT,
                                    .output_tokens = SHORT_OUTPUT,
                                    .gap_ms = 250 });
        f.n = wl_choice_explain (f.fleet, f.load, &q, now_us, random, f.explained, ENDPOINTS_MAX,
                                 &f.choice);
        WlChoice c = wl_choice_make (f.fleet, f.load, &q, now_us, random);
        ck_assert_int_eq (c.result, f.choice.result);
        ck_assert_ptr_eq (c.endpoint, f.choice.endpoint);
        ck_assert_uint_eq (count (&f, WL_VERDICT_ANSWERS), c.result == WL_CHOICE_PLACED);
        destroy (&f);
      }
}
END_TEST

/* Names are part of what operators search for. */
START_TEST (verdicts_have_names)
{
  for (int v = WL_VERDICT_ANSWERS; v <= WL_VERDICT_NOT_PREFERRED; v++)
    ck_assert_str_ne (wl_verdict_name ((WlVerdict)v), "none");
  ck_assert_str_eq (wl_verdict_name (WL_VERDICT_TOO_LATE), "too_late");
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (each_endpoint_that_is_ruled_out_has_its_reason),
    WL_TEST (a_retry_names_the_endpoint_that_was_tried),
    WL_TEST (predicted_times_are_those_of_the_choice),
    WL_TEST (helpers_of_a_split_prompt_are_named),
    WL_TEST (a_request_that_waits_has_only_reasons),
    WL_TEST (domains_whose_load_is_not_seen_are_named_as_such),
    WL_TEST (explaining_changes_nothing_and_agrees_with_the_choice),
    WL_TEST (verdicts_have_names),
  };
  return wl_test_run ("choice explain", tests, sizeof tests / sizeof tests[0]);
}
