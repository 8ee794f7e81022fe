#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_permits.h"
#include "wl_test.h"

/* The issuer of permits: rate, quiet times, order of customers, bounds. */

enum
{
  SECOND_US = 1000000,
  TICK_US = 10000,
  ENDPOINTS = 3,
};

static const uint64_t start_us = 100 * (uint64_t)SECOND_US;

/* An issuer whose service has endpoints i-0 to i-2, clock at now_us. */
typedef struct
{
  WlFleet *fleet;
  WlLimits *limits;
  WlIssuer *issuer;
  uint64_t service;
  uint64_t now_us;
  uint64_t next_id;
} Fixture;

static Fixture
make_fixture (void)
{
  Fixture f = { .fleet = wl_fleet_create (), .limits = wl_limits_create (), .now_us = start_us };
  for (uint32_t i = 0; i < ENDPOINTS; i++)
    {
      WlEndpointRecord r = { .address = i + 1, .port = 80, .slots = 4, .started_ms = 1 };
      snprintf (r.id, sizeof r.id, "i-%u", i);
      strcpy (r.service, "llm");
      wl_fleet_apply (f.fleet, &r, start_us);
      f.fleet->endpoints[i].last_contact_us = UINT64_MAX / 2;
    }
  f.issuer = wl_issuer_create (f.limits, f.fleet);
  f.service = wl_permits_service ("llm");
  return f;
}

static void
free_fixture (Fixture *f)
{
  wl_issuer_destroy (f->issuer);
  wl_limits_destroy (f->limits);
  wl_fleet_destroy (f->fleet);
}

static void
name_limit (Fixture *f, uint32_t endpoint, uint64_t rate)
{
  wl_limits_note_response (f->limits, &f->fleet->endpoints[endpoint], 1, rate, f->now_us,
                           f->now_us);
}

static uint64_t
key (const Fixture *f, uint32_t endpoint)
{
  return f->fleet->endpoints[endpoint].key;
}

static void
run (Fixture *f, uint64_t us)
{
  for (uint64_t until_us = f->now_us + us; f->now_us < until_us;)
    wl_issuer_tick (f->issuer, f->now_us += TICK_US);
}

/* A fixture whose issuer has passed its quiet time, with one endpoint of a rate. */
static Fixture
make_issuing (uint64_t rate)
{
  Fixture f = make_fixture ();
  name_limit (&f, 0, rate);
  wl_issuer_set_own (f.issuer, f.service, 1, f.now_us);
  run (&f, WL_ISSUER_QUIET_US);
  return f;
}

static uint64_t
ask (Fixture *f, uint64_t customer, uint64_t max_wait_us)
{
  WlPermitAsk a = {
    .id = ++f->next_id, .service = f->service, .customer = customer, .max_wait_us = max_wait_us
  };
  wl_issuer_ask (f->issuer, 7, &a, 1, f->now_us);
  return a.id;
}

/* Takes an answer; its id is 0 when there is none. */
static WlPermitAnswer
answer (Fixture *f)
{
  uint32_t node;
  WlPermitAnswer a = { 0 };
  if (wl_issuer_take_answer (f->issuer, &node, &a))
    ck_assert_uint_eq (node, 7);
  return a;
}

static WlPermitAnswer
ask_now (Fixture *f, uint64_t customer, uint64_t max_wait_us)
{
  uint64_t id = ask (f, customer, max_wait_us);
  WlPermitAnswer a = answer (f);
  ck_assert (a.id == id || a.id == 0);
  return a;
}

static uint32_t
take_all (Fixture *f, uint64_t customer)
{
  uint32_t n = 0;
  while (ask_now (f, customer, 0).endpoint != 0)
    n++;
  return n;
}

/* Guards against a burst after an idle time, and a bucket that begins full. */
START_TEST (a_bucket_begins_empty_and_holds_two_tokens_or_half_a_second)
{
  static const struct
  {
    uint64_t rate;
    uint32_t n;
  } cases[] = { { 400, 2 }, { 3000, 2 }, { 10000, 5 }, { 0, 1 }, { 100, 1 } };
  for (uint32_t i = 0; i < 5; i++)
    {
      Fixture f = make_issuing (cases[i].rate);
      ck_assert_uint_eq (take_all (&f, 1), 0);
      run (&f, 60 * (uint64_t)SECOND_US);
      ck_assert_uint_eq (take_all (&f, 1), cases[i].n);
      free_fixture (&f);
    }
}
END_TEST

/* Guards against permits beyond the rate, at any offset, whoever asks and returns what. */
START_TEST (permits_that_are_used_keep_the_rate_at_any_offset)
{
  static const uint64_t rates[] = { 0, 400, 1000, 2700, 3000, 50000 };
  static uint64_t used_us[4000];
  for (uint32_t i = 0; i < 6; i++)
    {
      Fixture f = make_issuing (rates[i]);
      uint32_t n = 0, n_granted = 0;
      for (uint32_t k = 0; k < 3000; k++)
        {
          run (&f, k % 700 < 200 ? 0 : TICK_US); /* bursts after idle times */
          WlPermitAnswer a = ask_now (&f, k % 3, 0);
          if (a.endpoint == 0)
            continue;
          WlPermitReturn r = { f.service, k % 3, a.endpoint, a.id };
          if (n_granted++ % 3 == 0)
            wl_issuer_return (f.issuer, &r, f.now_us);
          else if (n_granted % 3 == 0)
            {
              run (&f, 300000);
              wl_issuer_return (f.issuer, &r, f.now_us);
              wl_issuer_return (f.issuer, &r, f.now_us); /* a repeated one counts once */
            }
          else
            used_us[n++] = f.now_us;
        }
      for (uint32_t from = 0, to = 0; to < n; to++)
        {
          while (used_us[to] - used_us[from] >= 5 * (uint64_t)SECOND_US)
            from++;
          ck_assert_uint_le (to - from + 1, 6 * rates[i] / 1000 + 5);
        }
      ck_assert_uint_gt (n, 0);
      free_fixture (&f);
    }
}
END_TEST

/* Guards against a new issuer that issues while permits of the previous one are still used. */
START_TEST (a_new_issuer_is_quiet_and_one_that_was_replaced_begins_anew)
{
  Fixture f = make_fixture ();
  name_limit (&f, 0, 3000);
  wl_issuer_set_own (f.issuer, f.service, 1, f.now_us);
  ck_assert_uint_eq (ask (&f, 1, 2 * SECOND_US), 1);
  run (&f, WL_ISSUER_QUIET_US);
  ck_assert_uint_eq (answer (&f).id, 0);
  run (&f, 400000);
  ck_assert_uint_eq (answer (&f).endpoint, key (&f, 0));
  run (&f, SECOND_US);
  wl_issuer_set_own (f.issuer, f.service, 0, f.now_us);
  wl_issuer_set_own (f.issuer, f.service, 1, f.now_us);
  run (&f, WL_ISSUER_QUIET_US);
  ck_assert_uint_eq (take_all (&f, 1), 0);
  run (&f, SECOND_US);
  ck_assert_uint_eq (take_all (&f, 1), 2);
  free_fixture (&f);
}
END_TEST

/* Guards against an issuer that was frozen and goes on beside the one that replaced it. */
START_TEST (an_issuer_that_was_frozen_is_quiet_again)
{
  Fixture f = make_issuing (3000);
  run (&f, 5 * (uint64_t)SECOND_US);
  f.now_us += 600000;
  ck_assert_uint_eq (take_all (&f, 1), 0);
  run (&f, WL_ISSUER_QUIET_US);
  ck_assert_uint_eq (take_all (&f, 1), 0);
  run (&f, SECOND_US);
  ck_assert_uint_eq (take_all (&f, 1), 2);
  f.now_us += 400000;
  ck_assert_uint_eq (take_all (&f, 1), 1);
  free_fixture (&f);
}
END_TEST

/* Guards against a lowered limit that takes effect only when the bucket is empty. */
START_TEST (a_bucket_follows_its_limit)
{
  Fixture f = make_issuing (20000);
  run (&f, SECOND_US);
  name_limit (&f, 0, 1000);
  ck_assert_uint_eq (take_all (&f, 1), 2);
  run (&f, SECOND_US);
  ck_assert_uint_eq (take_all (&f, 1), 1);
  name_limit (&f, 0, 20000);
  ck_assert_uint_eq (take_all (&f, 1), 0);
  run (&f, 100000);
  ck_assert_uint_eq (take_all (&f, 1), 2);
  wl_limits_note_response (f.limits, &f.fleet->endpoints[0], 0, 0, f.now_us, f.now_us + 1);
  run (&f, SECOND_US);
  ck_assert_uint_eq (take_all (&f, 1), 0);
  free_fixture (&f);
}
END_TEST

/* Guards against permits for endpoints that were tried, are ejected or have left. */
START_TEST (excluded_and_unusable_endpoints_get_no_permits)
{
  Fixture f = make_issuing (1000);
  name_limit (&f, 1, 1000);
  run (&f, 3 * (uint64_t)SECOND_US);
  WlEndpointKey excluded = { key (&f, 0) };
  WlPermitAsk a = { .id = 99, .service = f.service, .excluded = &excluded, .n_excluded = 1 };
  for (uint32_t i = 0; i < 3; i++)
    {
      wl_issuer_ask (f.issuer, 7, &a, 1, f.now_us);
      ck_assert_uint_eq (answer (&f).endpoint, i < 2 ? key (&f, 1) : 0);
    }
  f.fleet->endpoints[0].ejected_until_us = f.now_us + 50000;
  ck_assert_uint_eq (ask_now (&f, 1, 0).endpoint, 0);
  run (&f, 50000);
  ck_assert_uint_eq (ask_now (&f, 1, 0).endpoint, key (&f, 0));
  free_fixture (&f);
}
END_TEST

/* Guards against the end of a limit that nobody notices, since other endpoints get the permits. */
START_TEST (the_endpoint_with_the_oldest_word_is_preferred)
{
  Fixture f = make_issuing (1000);
  name_limit (&f, 1, 1000);
  run (&f, 3 * (uint64_t)SECOND_US);
  name_limit (&f, 0, 1000);
  ck_assert_uint_eq (ask_now (&f, 1, 0).endpoint, key (&f, 1));
  run (&f, TICK_US);
  ck_assert_uint_eq (ask_now (&f, 1, 0).endpoint, key (&f, 0));
  run (&f, TICK_US);
  ck_assert_uint_eq (ask_now (&f, 1, 0).endpoint, key (&f, 1));
  free_fixture (&f);
}
END_TEST

/* Guards against asks that wait although they can't be served, and times that are not kept. */
START_TEST (an_ask_is_denied_at_once_when_the_wait_would_be_too_long)
{
  Fixture f = make_issuing (1000);
  WlPermitAnswer a = ask_now (&f, 1, 900000);
  ck_assert_uint_eq (a.endpoint, 0);
  ck_assert_uint_ge (a.retry_after_us, 990000);
  ck_assert_uint_le (a.retry_after_us, 1010000);
  run (&f, a.retry_after_us);
  ck_assert_uint_eq (ask_now (&f, 1, 0).endpoint, key (&f, 0));
  for (uint32_t i = 1; i <= 3; i++)
    ck_assert_uint_eq (ask_now (&f, 1, i * SECOND_US).id, 0);
  a = ask_now (&f, 1, 3 * SECOND_US);
  ck_assert_uint_eq (a.endpoint, 0);
  ck_assert_uint_ge (a.retry_after_us, 3900000);
  ck_assert_uint_le (a.retry_after_us, 4010000);
  for (uint32_t i = 0; i < 3; i++)
    {
      run (&f, SECOND_US);
      a = answer (&f);
      ck_assert_uint_eq (a.endpoint, key (&f, 0));
      ck_assert_uint_le (a.waited_us, (i + 1) * SECOND_US);
      ck_assert_uint_ge (a.waited_us, (i + 1) * SECOND_US - 2 * TICK_US);
    }
  free_fixture (&f);
}
END_TEST

/* Guards against callers that are all told to come back at the same moment. */
START_TEST (denied_asks_are_told_different_times)
{
  Fixture f = make_issuing (1000);
  uint64_t last_us = 0;
  for (uint32_t i = 0; i < 5; i++)
    {
      WlPermitAnswer a = ask_now (&f, 1, 100000);
      ck_assert_uint_ge (a.retry_after_us, last_us + 900000);
      last_us = a.retry_after_us;
    }
  ck_assert_uint_le (ask_now (&f, 2, 100000).retry_after_us, 1010000);
  for (uint32_t i = 0; i < 50; i++)
    last_us = ask_now (&f, 1, 100000).retry_after_us;
  ck_assert_uint_le (last_us, 10 * SECOND_US);
  free_fixture (&f);
}
END_TEST

/* Guards against a flood of one customer that is served before others. */
START_TEST (customers_with_fewer_recent_permits_are_served_first)
{
  Fixture f = make_issuing (1000);
  for (uint32_t i = 0; i < 4; i++)
    ck_assert_uint_eq (ask_now (&f, 1, 10 * SECOND_US).id, 0);
  run (&f, 1010000);
  ck_assert_uint_eq (answer (&f).id, 1);
  uint64_t quiet = ask (&f, 2, 3 * SECOND_US);
  run (&f, SECOND_US);
  ck_assert_uint_eq (answer (&f).id, quiet);
  uint64_t again = ask (&f, 2, 5 * SECOND_US);
  run (&f, 2 * SECOND_US);
  ck_assert_uint_eq (answer (&f).id, 2);
  ck_assert_uint_eq (answer (&f).id, again);
  free_fixture (&f);
}
END_TEST

/* Guards against an ask that waits for its whole objective after others have come before it. */
START_TEST (an_ask_that_was_overtaken_is_denied_early)
{
  Fixture f = make_issuing (1000);
  run (&f, SECOND_US);
  ck_assert_uint_eq (take_all (&f, 1), 1);
  uint64_t overtaken = ask (&f, 1, 1500000);
  for (uint32_t c = 2; c < 5; c++)
    ask (&f, c, 5 * SECOND_US);
  run (&f, 300000);
  WlPermitAnswer a = answer (&f);
  ck_assert_uint_eq (a.id, overtaken);
  ck_assert_uint_eq (a.endpoint, 0);
  ck_assert_uint_gt (a.retry_after_us, 2 * SECOND_US);
  free_fixture (&f);
}
END_TEST

/* Guards against a queue without bound, and a full one that keeps quiet customers out. */
START_TEST (a_full_queue_drops_the_latest_ask_of_the_customer_with_the_most)
{
  Fixture f = make_issuing (100000);
  for (uint32_t i = 0; i < WL_ISSUER_QUEUE_MAX; i++)
    ck_assert_uint_eq (ask_now (&f, 1, 50 * SECOND_US).id, 0);
  WlPermitAnswer a = ask_now (&f, 1, 50 * SECOND_US);
  ck_assert_uint_eq (a.id, WL_ISSUER_QUEUE_MAX + 1);
  ck_assert_uint_eq (a.endpoint, 0);
  ask (&f, 2, 50 * SECOND_US);
  a = answer (&f);
  ck_assert_uint_eq (a.id, WL_ISSUER_QUEUE_MAX);
  ck_assert_uint_eq (a.endpoint, 0);
  ck_assert_uint_eq (answer (&f).id, 0);
  run (&f, 2 * TICK_US);
  ck_assert_uint_eq (answer (&f).id, 1);
  free_fixture (&f);
}
END_TEST

/* Guards against memory that grows with the customers that have asked. */
START_TEST (any_number_of_customers_is_served)
{
  Fixture f = make_issuing (100000);
  uint32_t n = 0;
  for (uint32_t c = 1; c <= 200; c++)
    ck_assert_uint_eq (ask_now (&f, c, 50 * SECOND_US).id, 0);
  run (&f, 3 * SECOND_US);
  while (answer (&f).endpoint != 0)
    n++;
  ck_assert_uint_eq (n, 200);
  free_fixture (&f);
}
END_TEST

/* Guards against two issuers at once when nodes disagree on who it is. */
START_TEST (an_ask_to_a_node_that_is_not_the_issuer_is_denied_with_a_short_retry)
{
  Fixture f = make_issuing (1000);
  run (&f, 3 * (uint64_t)SECOND_US);
  WlPermitAsk a = { .id = 5, .service = f.service, .max_wait_us = SECOND_US };
  wl_issuer_ask (f.issuer, 7, &a, 0, f.now_us);
  WlPermitAnswer denied = answer (&f);
  ck_assert_uint_eq (denied.id, 5);
  ck_assert_uint_eq (denied.endpoint, 0);
  ck_assert_uint_le (denied.retry_after_us, 500000);
  take_all (&f, 1);
  ck_assert_uint_eq (ask_now (&f, 1, 2 * SECOND_US).id, 0);
  wl_issuer_set_own (f.issuer, f.service, 0, f.now_us);
  denied = answer (&f);
  ck_assert_uint_eq (denied.id, f.next_id);
  ck_assert_uint_eq (denied.endpoint, 0);
  free_fixture (&f);
}
END_TEST

/* Guards against permits that are lost when they are not used. */
START_TEST (a_permit_that_is_returned_soon_counts_again)
{
  Fixture f = make_issuing (1000);
  run (&f, 3 * (uint64_t)SECOND_US);
  ck_assert_uint_eq (take_all (&f, 1), 2);
  run (&f, TICK_US);
  WlPermitReturn r = { f.service, 1, key (&f, 0), 1 };
  wl_issuer_return (f.issuer, &r, f.now_us);
  ck_assert_uint_eq (take_all (&f, 1), 1);
  r.id = 2;
  run (&f, WL_PERMIT_LIFETIME_US);
  ck_assert_uint_eq (take_all (&f, 1), 1);
  wl_issuer_return (f.issuer, &r, f.now_us);
  ck_assert_uint_eq (take_all (&f, 1), 0);
  free_fixture (&f);
}
END_TEST

/* Guards against a token that counts twice: refilled, and returned. */
START_TEST (a_returned_token_does_not_count_beside_its_refill)
{
  Fixture f = make_issuing (1000);
  run (&f, 3 * (uint64_t)SECOND_US);
  WlPermitReturn r = { f.service, 1, key (&f, 0), ask_now (&f, 1, 0).id };
  run (&f, 500000);
  ck_assert_uint_eq (ask_now (&f, 1, 0).endpoint, key (&f, 0));
  wl_issuer_return (f.issuer, &r, f.now_us);
  ck_assert_uint_eq (take_all (&f, 1), 1);
  run (&f, 900000);
  ck_assert_uint_eq (take_all (&f, 1), 0);
  run (&f, 200000);
  ck_assert_uint_eq (take_all (&f, 1), 1);
  free_fixture (&f);
}
END_TEST

static size_t
bytes_in_use (void)
{
  return mallinfo2 ().uordblks;
}

/* Guards against memory that grows with nodes or requests; sanitizers report no sizes. */
START_TEST (state_grows_with_limits_only)
{
  enum
  {
    LIMITS = 1000
  };
  WlFleet *fleet = wl_fleet_create ();
  for (uint32_t i = 0; i < LIMITS; i++)
    {
      WlEndpointRecord r = { .address = i + 1, .port = 80, .slots = 4, .started_ms = 1 };
      snprintf (r.id, sizeof r.id, "i-%u", i);
      strcpy (r.service, "llm");
      wl_fleet_apply (fleet, &r, start_us);
      fleet->endpoints[i].last_contact_us = UINT64_MAX / 2;
    }
  size_t before = bytes_in_use ();
  WlLimits *limits = wl_limits_create ();
  WlPermits *permits = wl_permits_create (1);
  WlIssuer *issuer = wl_issuer_create (limits, fleet);
  size_t fixed = bytes_in_use () - before;
  ck_assert_uint_le (fixed, 160000);
  for (uint32_t i = 0; i < LIMITS; i++)
    wl_limits_note_response (limits, &fleet->endpoints[i], 1, 1000, start_us, start_us);
  wl_issuer_set_own (issuer, wl_permits_service ("llm"), 1, start_us);
  size_t with_limits = bytes_in_use () - before - fixed;
  ck_assert_uint_le (with_limits, 250 * LIMITS);
  for (uint32_t i = 0; i < 5000; i++)
    {
      WlPermitAsk a = { i + 1, wl_permits_service ("llm"), i, i % 2 * 50 * SECOND_US, NULL, 0 };
      WlPermitAnswer answered;
      uint32_t node;
      wl_issuer_ask (issuer, i, &a, 1, start_us + i * 1000);
      wl_issuer_take_answer (issuer, &node, &answered);
    }
  ck_assert_uint_le (bytes_in_use () - before - fixed, with_limits + 1000);
  wl_issuer_destroy (issuer);
  wl_permits_destroy (permits);
  wl_limits_destroy (limits);
  wl_fleet_destroy (fleet);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (a_bucket_begins_empty_and_holds_two_tokens_or_half_a_second),
    WL_TEST (permits_that_are_used_keep_the_rate_at_any_offset),
    WL_TEST (a_new_issuer_is_quiet_and_one_that_was_replaced_begins_anew),
    WL_TEST (an_issuer_that_was_frozen_is_quiet_again),
    WL_TEST (a_bucket_follows_its_limit),
    WL_TEST (excluded_and_unusable_endpoints_get_no_permits),
    WL_TEST (the_endpoint_with_the_oldest_word_is_preferred),
    WL_TEST (an_ask_is_denied_at_once_when_the_wait_would_be_too_long),
    WL_TEST (denied_asks_are_told_different_times),
    WL_TEST (customers_with_fewer_recent_permits_are_served_first),
    WL_TEST (an_ask_that_was_overtaken_is_denied_early),
    WL_TEST (a_full_queue_drops_the_latest_ask_of_the_customer_with_the_most),
    WL_TEST (any_number_of_customers_is_served),
    WL_TEST (state_grows_with_limits_only),
    WL_TEST (an_ask_to_a_node_that_is_not_the_issuer_is_denied_with_a_short_retry),
    WL_TEST (a_permit_that_is_returned_soon_counts_again),
    WL_TEST (a_returned_token_does_not_count_beside_its_refill),
  };
  return wl_test_run ("issuer", tests, sizeof tests / sizeof tests[0]);
}
