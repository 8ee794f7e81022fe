#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_accounts.h"
#include "wl_events.h"
#include "wl_prefix.h"
#include "wl_prefix_saving.h"
#include "wl_sim_system.h"
#include "wl_table.h"
#include "wl_test.h"
enum
{
  ENDPOINTS = 6,
  SILENT_REQUESTS = 2000,
};

/* One cell with its configuration, without entries and network. */
typedef struct
{
  WlSettings settings;
  WlServices *services;
  WlCell *cell;
  WlEffects *fx;
  uint64_t now_us;
  uint64_t sequence;
  uint64_t request;
} Fixture;

static void
set_up (Fixture *f)
{
  WlFindings findings = { 0 };
  WlCellLease lease = { .owner = 1, .fence = 1 };
  const char *text = sim_text (1);
  memset (f, 0, sizeof *f);
  f->settings.self.node = 1;
  f->now_us = 1000000;
  strcpy (lease.service, "llm");
  wl_services_parse (text, strlen (text), &findings, &f->services);
  wl_findings_clear (&findings);
  f->fx = wl_effects_create ();
  f->cell = wl_cell_create (&lease, &f->settings, f->now_us);
  wl_cell_configure (f->cell, f->services);
  f->now_us += 2000000;
}

static void
tear_down (Fixture *f)
{
  wl_cell_destroy (f->cell);
  wl_services_destroy (f->services);
  wl_effects_destroy (f->fx);
}

/* Endpoint @id reports; @cached and @evicted are lists of prefixes, or NULL. */
static void
report (Fixture *f, uint64_t id, uint64_t incarnation, uint64_t kv_used, WlPrefixHash *cached,
        WlPrefixHash *evicted, uint32_t n)
{
  WlLoadedModel loaded = { "m", "1" };
  WlEndpointReport r = { .endpoint = id,
                         .incarnation = incarnation,
                         .sequence = ++f->sequence,
                         .kv_capacity = 400000,
                         .kv_used = kv_used,
                         .slots = 8,
                         .loaded = &loaded,
                         .n_loaded = 1,
                         .cached = cached,
                         .n_cached = cached != NULL ? n : 0,
                         .evicted = evicted,
                         .n_evicted = evicted != NULL ? n : 0 };
  snprintf (r.name, sizeof r.name, "engine-%lu", (unsigned long)id);
  strcpy (r.service, "llm");
  strcpy (r.address, "127.0.0.1");
  strcpy (r.domain, "a");
  wl_cell_report (f->cell, &r, f->now_us, f->fx);
}

/* Places a request; returns the id of its endpoint, 0 when it is queued or refused. */
static uint64_t
place (Fixture *f, uint64_t prompt_tokens, WlPrefixHash *prefixes, uint32_t n)
{
  WlPlacementRequest p = { .node = 1,
                           .request = ++f->request,
                           .attempt = 1,
                           .prompt_tokens = prompt_tokens,
                           .max_tokens = 100,
                           .remaining_us = 60000000,
                           .prefixes = prefixes,
                           .n_prefixes = n };
  strcpy (p.service, "llm");
  strcpy (p.customer, "a");
  strcpy (p.domain, "a");
  wl_cell_place (f->cell, &p, f->now_us, f->fx);
  const WlGrantRecord *g = wl_accounts_find (f->cell, f->request, 1);
  wl_effects_clear (f->fx);
  return g != NULL ? g->allocations[0].endpoint : 0;
}

/* Reports the first token of a request, or its end with what the engine says that it had cached. */
static void
update (Fixture *f, uint64_t request, int is_end, uint64_t cached_tokens)
{
  WlAttemptUpdate u = { .request = request,
                        .attempt = 1,
                        .first_token = 1,
                        .ended = (uint8_t)is_end,
                        .result = WL_ATTEMPT_FINISHED,
                        .cached_tokens = cached_tokens };
  WlGrantRenewal hold = { .node = 1, .incarnation = 1, .fence = 1, .updates = &u, .n_updates = 1 };
  wl_cell_renew_grants (f->cell, &hold, f->now_us, f->fx);
  wl_effects_clear (f->fx);
}

/* Prefixes of 256, 512 ... tokens of a session's prompts, up to @tokens. */
static uint32_t
session_prefixes (uint64_t session, uint32_t tokens, WlPrefixHash *out)
{
  uint32_t n = 0;
  for (uint32_t t = WL_PREFIX_FIRST_TOKENS; t <= tokens && n < WL_PREFIX_HASHES_MAX; t *= 2)
    out[n++] = (WlPrefixHash){ wl_hash_ids (session + 1, t), t };
  return n;
}

/*
 * Placements of a deployment whose engines name no cached prefixes: sessions with common
 * beginnings, short and long prompts, ends in another order, a full KV cache, and restarts. Returns
 * a hash of all choices.
 */
static uint64_t
hash_silent_choices (void)
{
  Fixture f;
  uint64_t digest = 0;
  uint64_t random = 7;
  set_up (&f);
  for (uint32_t i = 0; i < SILENT_REQUESTS; i++)
    {
      WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
      if (i % 50 == 0)
        for (uint64_t id = 1; id <= ENDPOINTS; id++)
          report (&f, id, 1 + i / 500 * (id == 3), id == 2 ? 390000 : 0, NULL, NULL, 0);
      if (i == 0)
        wl_cell_tick (f.cell, f.now_us, f.fx);
      random = wl_hash_ids (random, i);
      uint32_t tokens = random % 29 == 0 ? 40000 : 300 + (uint32_t)(random >> 8) % 9000;
      uint32_t n = session_prefixes (random >> 32 & 15, tokens, prefixes);
      digest = wl_hash_ids (digest, place (&f, tokens, prefixes, n));
      f.now_us += random >> 16 & 0x1ffff;
      if (i >= 10)
        update (&f, f.request - 10, 0, 0);
      if (i >= 36)
        update (&f, (f.request - 36) ^ 1, 1, 0);
      if (i % 5 == 0)
        wl_cell_tick (f.cell, f.now_us, f.fx);
      wl_effects_clear (f.fx);
    }
  digest = wl_hash_ids (digest, f.cell->counters.cache_hits);
  tear_down (&f);
  return digest;
}

/* ---- certainty ---- */

static const WlPrefixRoom empty_room = { .kv_capacity = 380000, .slots = 8 };

/* A hint that never aged would keep drawing requests to a prefix that was evicted unnoticed. */
START_TEST (certainty_halves_with_each_half_life)
{
  uint64_t now_us = 100000000;
  WlPrefixHint hint = { .hash = 1, .since_ms = (uint32_t)(now_us / 1000), .is_reported = 1 };
  uint32_t last = WL_PREFIX_PPM;
  ck_assert_uint_eq (wl_prefix_certainty (&hint, &empty_room, now_us), WL_PREFIX_PPM);
  for (uint32_t i = 1; i <= 4; i++)
    {
      now_us += WL_PREFIX_HALF_LIFE_US / 2;
      ck_assert_uint_lt (wl_prefix_certainty (&hint, &empty_room, now_us), last);
      now_us += WL_PREFIX_HALF_LIFE_US / 2;
      last = wl_prefix_certainty (&hint, &empty_room, now_us);
      ck_assert_uint_eq (last, WL_PREFIX_PPM >> i);
    }
  now_us += 30ULL * WL_PREFIX_HALF_LIFE_US;
  ck_assert_uint_eq (wl_prefix_certainty (&hint, &empty_room, now_us), 0);
}
END_TEST

/* An engine without free memory or slots evicts the prefix, or lets the request wait, first. */
START_TEST (certainty_falls_to_zero_as_memory_or_slots_run_out)
{
  WlPrefixHint hint = { .hash = 1, .since_ms = 5000, .is_reported = 1 };
  uint32_t last_kv = WL_PREFIX_PPM;
  uint32_t last_slots = WL_PREFIX_PPM;
  for (uint32_t i = 5; i <= 8; i++)
    {
      WlPrefixRoom kv = { .kv_used = 47500ULL * i, .kv_capacity = 380000, .slots = 8 };
      WlPrefixRoom slots = { .kv_capacity = 380000, .slots = 8, .slots_used = i };
      uint32_t by_kv = wl_prefix_certainty (&hint, &kv, 5000000);
      uint32_t by_slots = wl_prefix_certainty (&hint, &slots, 5000000);
      ck_assert_uint_lt (by_kv, last_kv);
      ck_assert_uint_lt (by_slots, last_slots);
      last_kv = by_kv;
      last_slots = by_slots;
    }
  ck_assert_uint_eq (last_kv, 0);
  ck_assert_uint_eq (last_slots, 0);
  /* An endpoint that has not reported its memory is no reason to divide by zero. */
  WlPrefixRoom unknown = { 0 };
  ck_assert_uint_eq (wl_prefix_certainty (&hint, &unknown, 5000000), 0);
}
END_TEST

/* Requests that arrive while a prefix is computed would be predicted to skip what they wait for. */
START_TEST (a_prefix_counts_only_when_its_prefill_has_ended)
{
  static WlPrefixHints hints;
  WlPrefixHash prefix = { 77, 4096 };
  memset (&hints, 0, sizeof hints);
  wl_prefix_hints_place (&hints, &prefix, 1, 5200000, 5000000);
  ck_assert_uint_eq (
      wl_prefix_match (&hints, &prefix, 1, 5000, &empty_room, 5100000).expected_tokens, 0);
  /* A second request does not put the end off. */
  wl_prefix_hints_place (&hints, &prefix, 1, 5400000, 5100000);
  ck_assert_uint_eq (
      wl_prefix_match (&hints, &prefix, 1, 5000, &empty_room, 5200000).expected_tokens,
      4096 * 3 / 4);
  wl_prefix_hints_report (&hints, &prefix, 1, 5300000);
  ck_assert_uint_eq (
      wl_prefix_match (&hints, &prefix, 1, 5000, &empty_room, 5300000).expected_tokens, 4096);
  wl_prefix_hints_evict (&hints, &prefix, 1);
  ck_assert_uint_eq (wl_prefix_match (&hints, &prefix, 1, 5000, &empty_room, 5300000).hinted_tokens,
                     0);
}
END_TEST

/* A long prefix of an hour ago must not hide the short one that all customers use. */
START_TEST (a_short_prefix_in_use_saves_more_than_a_long_old_one)
{
  static WlPrefixHints hints;
  WlPrefixHash prefixes[2] = { { 10, 1024 }, { 20, 8192 } };
  uint64_t now_us = 10000000 + 10ULL * WL_PREFIX_HALF_LIFE_US;
  memset (&hints, 0, sizeof hints);
  wl_prefix_hints_report (&hints, &prefixes[1], 1, 10000000);
  wl_prefix_hints_report (&hints, &prefixes[0], 1, now_us);
  WlPrefixMatch m = wl_prefix_match (&hints, prefixes, 2, 9000, &empty_room, now_us);
  ck_assert_uint_eq (m.hinted_tokens, 8192);
  ck_assert_uint_eq (m.expected_tokens, 1024);
  /* Deployments that report nothing count the longest in full. */
  m = wl_prefix_match (&hints, prefixes, 2, 9000, NULL, now_us);
  ck_assert_uint_eq (m.expected_tokens, 8192);
  /* No more is saved than the prompt has. */
  ck_assert_uint_eq (wl_prefix_match (&hints, prefixes, 2, 8000, NULL, now_us).expected_tokens,
                     8000);
}
END_TEST

/* An engine that evicts without saying so is found out by what it had cached for each request. */
START_TEST (reliability_follows_what_engines_really_had_cached)
{
  static WlPrefixHints hints;
  WlPrefixHash prefix = { 77, 4096 };
  memset (&hints, 0, sizeof hints);
  for (int i = 0; i < 60; i++)
    wl_prefix_hints_learn (&hints, 4096, 0);
  wl_prefix_hints_report (&hints, &prefix, 1, 5000000);
  WlPrefixMatch m = wl_prefix_match (&hints, &prefix, 1, 5000, &empty_room, 5000000);
  ck_assert_uint_lt (m.expected_tokens, 4096 / 20);
  /* Learnt against the hint, not against the doubt: it would never recover otherwise. */
  ck_assert_uint_eq (m.likely_tokens, 4096);
  wl_prefix_hints_learn (&hints, 0, 0); /* nothing expected: nothing learnt */
  for (int i = 0; i < 60; i++)
    wl_prefix_hints_learn (&hints, 4096, 8192);
  m = wl_prefix_match (&hints, &prefix, 1, 5000, &empty_room, 5000000);
  ck_assert_uint_gt (m.expected_tokens, 4096 * 19 / 20);
}
END_TEST

/* ---- placement ---- */

enum
{
  SESSION = 3,
  SESSION_TOKENS = 4096, /* beginning that the session's prompts share: 205 ms of prefill */
  PROMPT_TOKENS = 5000,
};

/*
 * Endpoint 1 has reported the session's prefix and computes @backlog_tokens for another customer's
 * prompt; endpoint 2 is idle. @kv_used is the memory in use at endpoint 1. Returns the endpoint of
 * a prompt of the session after @age_us.
 */
static uint64_t
place_against_idle (Fixture *f, uint64_t backlog_tokens, uint64_t kv_used, uint64_t age_us)
{
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  uint32_t n = session_prefixes (SESSION, SESSION_TOKENS, prefixes);
  report (f, 1, 1, kv_used, prefixes, NULL, n);
  wl_cell_tick (f->cell, f->now_us, f->fx);
  f->now_us += age_us;
  report (f, 1, 1, kv_used, NULL, NULL, 0);
  if (backlog_tokens > 0)
    ck_assert_uint_eq (place (f, backlog_tokens, NULL, 0), 1);
  report (f, 2, 1, 0, NULL, NULL, 0);
  return place (f, PROMPT_TOKENS, prefixes, n);
}

/* Sending each request to its prefix would make it wait longer than it saves. */
START_TEST (an_idle_endpoint_wins_over_a_prefix_behind_a_long_queue)
{
  Fixture f;
  set_up (&f);
  ck_assert_uint_eq (place_against_idle (&f, 5000, 0, 0), 2);
  ck_assert_uint_eq (f.cell->counters.prefix_outweighed, 1);
  ck_assert_uint_eq (f.cell->counters.prefix_chosen, 0);
  tear_down (&f);
}
END_TEST

/* Avoiding every queue would compute again what an endpoint holds. */
START_TEST (the_prefix_wins_when_the_wait_is_shorter_than_the_saving)
{
  Fixture f;
  set_up (&f);
  ck_assert_uint_eq (place_against_idle (&f, 3000, 0, 0), 1);
  ck_assert_uint_eq (f.cell->counters.prefix_chosen, 1);
  ck_assert_uint_eq (f.cell->counters.prefix_outweighed, 0);
  ck_assert_uint_eq (wl_accounts_find (f.cell, f.request, 1)->uncached_tokens,
                     PROMPT_TOKENS - SESSION_TOKENS);
  tear_down (&f);
}
END_TEST

/* The same wait as above, and a prefix that was last used five half-lives ago. */
START_TEST (an_old_hint_counts_less)
{
  Fixture f;
  set_up (&f);
  ck_assert_uint_eq (place_against_idle (&f, 3000, 0, 5ULL * WL_PREFIX_HALF_LIFE_US), 2);
  tear_down (&f);
}
END_TEST

/* The same wait, at an endpoint that must evict to make room: 330,000 of 380,000 tokens in use. */
START_TEST (a_hint_at_a_full_kv_cache_counts_less)
{
  Fixture f;
  set_up (&f);
  ck_assert_uint_eq (place_against_idle (&f, 3000, 330000, 0), 2);
  tear_down (&f);
}
END_TEST

/* A new start has an empty cache; hints and attempts from before it must not count there. */
START_TEST (a_restarted_endpoint_counts_nothing)
{
  Fixture f;
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  uint32_t n = session_prefixes (SESSION, SESSION_TOKENS, prefixes);
  set_up (&f);
  report (&f, 1, 1, 0, prefixes, NULL, n);
  wl_cell_tick (f.cell, f.now_us, f.fx);
  ck_assert_uint_eq (place (&f, PROMPT_TOKENS, prefixes, n), 1);
  uint64_t before = f.request;
  ck_assert_uint_eq (f.cell->counters.cache_hits, 1);
  report (&f, 1, 2, 0, NULL, NULL, 0);
  update (&f, before, 1, SESSION_TOKENS);
  ck_assert_uint_eq (place (&f, 500, NULL, 0), 1);
  report (&f, 2, 1, 0, NULL, NULL, 0);
  ck_assert_uint_eq (place (&f, PROMPT_TOKENS, prefixes, n), 2);
  ck_assert_uint_eq (f.cell->counters.cache_hits, 1);
  ck_assert_uint_eq (f.cell->counters.prefix_cached_tokens, 0);
  tear_down (&f);
}
END_TEST

/*
 * Each further request of a burst adds little prefill where the prefix is; without the count of
 * slots all would go there until none is left, and its other customers would wait.
 */
START_TEST (requests_of_one_session_do_not_pile_up_on_one_endpoint)
{
  Fixture f;
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  uint32_t n = session_prefixes (SESSION, SESSION_TOKENS, prefixes);
  uint32_t placed[5] = { 0 };
  set_up (&f);
  report (&f, 1, 1, 0, prefixes, NULL, n);
  for (uint64_t id = 2; id <= 4; id++)
    report (&f, id, 1, 0, NULL, NULL, 0);
  wl_cell_tick (f.cell, f.now_us, f.fx);
  for (int i = 0; i < 16; i++)
    {
      uint64_t id = place (&f, SESSION_TOKENS + 100, prefixes, n);
      ck_assert_uint_ge (id, 1);
      placed[id]++;
      update (&f, f.request, 0, 0);
      f.now_us += 5000;
    }
  ck_assert_uint_ge (placed[1], 4); /* it is used, */
  ck_assert_uint_le (placed[1], 7); /* and of its 8 slots one is left for others */
  for (uint64_t id = 2; id <= 4; id++)
    ck_assert_uint_ge (placed[id], 2);
  tear_down (&f);
}
END_TEST

/* The first requests of a session arrive together; one endpoint would compute while others idle. */
START_TEST (a_first_burst_of_a_session_spreads)
{
  Fixture f;
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  WlPrefixHash other = { 5, 256 };
  uint32_t n = session_prefixes (SESSION, SESSION_TOKENS, prefixes);
  uint32_t placed[5] = { 0 };
  set_up (&f);
  for (uint64_t id = 1; id <= 4; id++)
    report (&f, id, 1, 0, &other, NULL, 1);
  wl_cell_tick (f.cell, f.now_us, f.fx);
  for (int i = 0; i < 8; i++)
    placed[place (&f, SESSION_TOKENS + 100, prefixes, n)]++;
  for (uint64_t id = 1; id <= 4; id++)
    ck_assert_uint_eq (placed[id], 2);
  tear_down (&f);
}
END_TEST

/* Reports of a prefix that the engine never has at hand would otherwise draw a session for ever. */
START_TEST (an_endpoint_that_never_has_the_prefix_loses_its_session)
{
  Fixture f;
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  uint32_t n = session_prefixes (SESSION, SESSION_TOKENS, prefixes);
  set_up (&f);
  report (&f, 1, 1, 0, prefixes, NULL, n);
  wl_cell_tick (f.cell, f.now_us, f.fx);
  for (int i = 0; i < 40; i++)
    {
      ck_assert_uint_eq (place (&f, PROMPT_TOKENS, prefixes, n), 1);
      update (&f, f.request, 1, i == 0 ? SESSION_TOKENS : 0);
    }
  ck_assert_uint_eq (place (&f, 500, NULL, 0), 1);
  report (&f, 2, 1, 0, NULL, NULL, 0);
  ck_assert_uint_eq (place (&f, PROMPT_TOKENS, prefixes, n), 2);
  tear_down (&f);
}
END_TEST

/* An engine that reports prefixes but no tokens per request must not be taken for an empty one. */
START_TEST (engines_that_name_no_tokens_per_request_stay_reliable)
{
  Fixture f;
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  uint32_t n = session_prefixes (SESSION, SESSION_TOKENS, prefixes);
  set_up (&f);
  report (&f, 1, 1, 0, prefixes, NULL, n);
  wl_cell_tick (f.cell, f.now_us, f.fx);
  for (int i = 0; i < 40; i++)
    {
      place (&f, PROMPT_TOKENS, prefixes, n);
      update (&f, f.request, 1, 0);
    }
  ck_assert_uint_eq (place (&f, 500, NULL, 0), 1);
  report (&f, 2, 1, 0, NULL, NULL, 0);
  ck_assert_uint_eq (place (&f, PROMPT_TOKENS, prefixes, n), 1);
  tear_down (&f);
}
END_TEST

/*
 * 2,000 placements of a deployment that never reports cached prefixes, against the choices of the
 * code before the weighing (commit 53461d3), of which the number is a hash.
 */
START_TEST (deployments_that_report_no_prefixes_place_as_before)
{
  ck_assert_uint_eq (hash_silent_choices (), 0x4aa205ff516d0b14);
}
END_TEST

static const char *
find_log (const WlEffects *fx, uint32_t number)
{
  for (uint32_t i = 0; i < fx->count; i++)
    if (fx->items[i].kind == WL_EFFECT_LOG && fx->items[i].u.log.number == number)
      return fx->items[i].u.log.text;
  return NULL;
}

/* Operators could not tell savings from none, or the first would flood the log. */
START_TEST (savings_are_logged_every_ten_seconds_while_there_are_some)
{
  Fixture f;
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  uint32_t n = session_prefixes (SESSION, SESSION_TOKENS, prefixes);
  set_up (&f);
  f.now_us += 10000000;
  report (&f, 1, 1, 0, prefixes, NULL, n);
  ck_assert_ptr_nonnull (find_log (f.fx, WL3018_PREFIXES_WEIGHED));
  wl_effects_clear (f.fx);
  uint32_t lines = 0;
  for (int i = 0; i < 30; i++)
    {
      report (&f, 1, 1, 0, prefixes, NULL, n);
      ck_assert_ptr_null (find_log (f.fx, WL3018_PREFIXES_WEIGHED));
      wl_cell_tick (f.cell, f.now_us += 1000000, f.fx);
      const char *text = find_log (f.fx, WL3019_PREFIXES_SAVED);
      if (text != NULL)
        {
          lines++;
          ck_assert_ptr_nonnull (strstr (text, " cached_tokens=4096 saved_ms=204"));
        }
      wl_effects_clear (f.fx);
      if (i == 0)
        {
          place (&f, PROMPT_TOKENS, prefixes, n);
          update (&f, f.request, 1, SESSION_TOKENS);
        }
    }
  ck_assert_uint_eq (lines, 1); /* nothing new was saved after the first */
  tear_down (&f);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (certainty_halves_with_each_half_life),
    WL_TEST (certainty_falls_to_zero_as_memory_or_slots_run_out),
    WL_TEST (a_prefix_counts_only_when_its_prefill_has_ended),
    WL_TEST (a_short_prefix_in_use_saves_more_than_a_long_old_one),
    WL_TEST (reliability_follows_what_engines_really_had_cached),
    WL_TEST (an_idle_endpoint_wins_over_a_prefix_behind_a_long_queue),
    WL_TEST (the_prefix_wins_when_the_wait_is_shorter_than_the_saving),
    WL_TEST (an_old_hint_counts_less),
    WL_TEST (a_hint_at_a_full_kv_cache_counts_less),
    WL_TEST (a_restarted_endpoint_counts_nothing),
    WL_TEST (requests_of_one_session_do_not_pile_up_on_one_endpoint),
    WL_TEST (a_first_burst_of_a_session_spreads),
    WL_TEST (an_endpoint_that_never_has_the_prefix_loses_its_session),
    WL_TEST (engines_that_name_no_tokens_per_request_stay_reliable),
    WL_TEST (savings_are_logged_every_ten_seconds_while_there_are_some),
    WL_TEST (deployments_that_report_no_prefixes_place_as_before),
  };
  return wl_test_run ("prefix saving", tests, sizeof tests / sizeof tests[0]);
}
