#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_limits.h"
#include "wl_test.h"

/* What nodes know of the limits of endpoints: order of words, reports between nodes, bounds. */

enum
{
  SECOND_US = 1000000,
  DELAY_US = 3000, /* of a report */
};

static const uint64_t start_us = 100 * (uint64_t)SECOND_US;

static WlEndpoint
endpoint (uint32_t i, uint64_t started_ms)
{
  WlEndpoint e
      = { .record = { .address = i + 1, .port = 8080, .slots = 4, .started_ms = started_ms } };
  snprintf (e.record.id, sizeof e.record.id, "i-%u", i);
  strcpy (e.record.service, i % 2 == 0 ? "even" : "odd");
  e.key = wl_fleet_key (e.record.id);
  return e;
}

static uint64_t
rate_of (const WlLimits *limits, const WlEndpoint *e)
{
  const WlLimit *limit = wl_limits_find (limits, e);
  return limit != NULL ? limit->rate : UINT64_MAX;
}

/* Sends what one node has to tell to another; returns the number of words. */
static uint32_t
tell (WlLimits *from, WlLimits *to, uint64_t now_us)
{
  WlLimitReport report;
  if (!wl_limits_take_report (from, now_us, &report))
    return 0;
  wl_limits_apply_report (to, &report, now_us + DELAY_US);
  return report.n_words;
}

static uint32_t
tell_all (WlLimits *from, WlLimits *to, uint64_t now_us)
{
  WlLimitReport report;
  if (!wl_limits_full_report (from, now_us, &report))
    return 0;
  wl_limits_apply_report (to, &report, now_us + DELAY_US);
  return report.n_words;
}

/* Calls a table as a node does that does not pause. */
static void
stay_awake (WlLimits *limits, uint64_t from_us, uint64_t until_us)
{
  WlLimitReport report;
  for (; from_us < until_us; from_us += 100000)
    wl_limits_take_report (limits, from_us, &report);
}

/* Guards against a limit that nobody reads. */
START_TEST (a_response_names_a_limit_and_a_later_one_takes_it_back)
{
  WlLimits *l = wl_limits_create ();
  WlEndpoint e = endpoint (0, 1), other = endpoint (2, 1);
  uint64_t t = start_us;
  ck_assert (!wl_limits_note_response (l, &e, 0, 0, t - 10, t));
  ck_assert (wl_limits_note_response (l, &e, 1, 400, t - 10, t));
  ck_assert_uint_eq (rate_of (l, &e), 400);
  ck_assert_uint_eq (wl_limits_count (l), 1);
  ck_assert_ptr_null (wl_limits_find (l, &other));
  ck_assert (wl_limits_note_response (l, &e, 1, 3000, t + 1, t + 100));
  ck_assert_uint_eq (rate_of (l, &e), 3000);
  ck_assert (wl_limits_note_response (l, &e, 0, 0, t + 101, t + 200));
  ck_assert_ptr_null (wl_limits_find (l, &e));
  ck_assert_uint_eq (wl_limits_count (l), 0);
  wl_limits_destroy (l);
}
END_TEST

/* Guards against a limit that is lost because responses overtake each other on two connections. */
START_TEST (a_response_of_uncertain_order_only_lowers)
{
  WlLimits *l = wl_limits_create ();
  WlEndpoint e = endpoint (0, 1);
  uint64_t t = start_us;
  wl_limits_note_response (l, &e, 1, 1000, t, t + 500);
  ck_assert (!wl_limits_note_response (l, &e, 0, 0, t + 400, t + 600));
  ck_assert_uint_eq (rate_of (l, &e), 1000);
  ck_assert (!wl_limits_note_response (l, &e, 1, 5000, t + 400, t + 601));
  ck_assert_uint_eq (rate_of (l, &e), 1000);
  ck_assert (wl_limits_note_response (l, &e, 1, 400, t + 400, t + 602));
  ck_assert_uint_eq (rate_of (l, &e), 400);
  ck_assert (wl_limits_note_response (l, &e, 0, 0, t + 602, t + 700));
  ck_assert (wl_limits_note_response (l, &e, 1, 700, t + 690, t + 710));
  ck_assert_uint_eq (rate_of (l, &e), 700);
  wl_limits_destroy (l);
}
END_TEST

/* Guards against a limit that is kept for ever while requests always overlap. */
START_TEST (a_raise_and_an_end_are_noticed_under_overlapping_requests)
{
  WlLimits *l = wl_limits_create ();
  WlEndpoint e = endpoint (0, 1);
  uint64_t t = start_us;
  const uint64_t lasts_us = 1000000;
  for (uint32_t i = 0; i < 20; i++, t += 300000)
    wl_limits_note_response (l, &e, 1, 1000, t - lasts_us, t);
  for (uint32_t i = 0; i < 5; i++, t += 300000)
    wl_limits_note_response (l, &e, 1, 3000, t - lasts_us, t);
  ck_assert_uint_eq (rate_of (l, &e), 3000);
  for (uint32_t i = 0; i < 5; i++, t += 300000)
    wl_limits_note_response (l, &e, 0, 0, t - lasts_us, t);
  ck_assert_ptr_null (wl_limits_find (l, &e));
  wl_limits_destroy (l);
}
END_TEST

/* Guards against the limit of a process that has ended, under the same id. */
START_TEST (a_new_start_drops_the_limit_and_an_older_start_is_ignored)
{
  WlLimits *l = wl_limits_create (), *other = wl_limits_create ();
  WlEndpoint old = endpoint (0, 1), new = endpoint (0, 2);
  uint64_t t = start_us;
  wl_limits_note_response (l, &old, 1, 1000, t, t + 1);
  ck_assert_uint_eq (rate_of (l, &old), 1000);
  ck_assert_ptr_null (wl_limits_find (l, &new));
  tell (l, other, t + 2);
  ck_assert (wl_limits_note_response (l, &new, 1, 2000, t + 10, t + 20));
  ck_assert_uint_eq (rate_of (l, &new), 2000);
  ck_assert (!wl_limits_note_response (l, &old, 1, 100, t + 30, t + 40));
  ck_assert_uint_eq (rate_of (l, &new), 2000);
  ck_assert_uint_eq (tell_all (other, l, t + 50), 1);
  ck_assert_uint_eq (rate_of (l, &new), 2000);
  tell (l, other, t + 60);
  ck_assert_uint_eq (rate_of (other, &new), 2000);
  wl_limits_destroy (l);
  wl_limits_destroy (other);
}
END_TEST

/* Guards against a node that takes the same limit of a new process for one that others know. */
START_TEST (the_same_limit_of_a_new_start_is_told)
{
  WlLimits *l = wl_limits_create (), *other = wl_limits_create ();
  WlEndpoint old = endpoint (0, 1), new = endpoint (0, 2);
  uint64_t t = start_us;
  wl_limits_note_response (l, &old, 1, 1000, t, t + 1);
  tell (l, other, t + 2);
  ck_assert (wl_limits_note_response (l, &new, 1, 1000, t + 10, t + 20));
  ck_assert_uint_eq (tell (l, other, t + 21), 1);
  ck_assert_uint_eq (rate_of (other, &new), 1000);
  wl_limits_destroy (l);
  wl_limits_destroy (other);
}
END_TEST

/* Guards against a report that arrives late and brings an ended limit back. */
START_TEST (a_late_old_word_does_not_bring_a_limit_back)
{
  WlLimits *l = wl_limits_create (), *slow = wl_limits_create ();
  WlEndpoint e = endpoint (0, 1);
  uint64_t t = start_us;
  wl_limits_note_response (l, &e, 1, 1000, t, t + 1000);
  tell (l, slow, t + 1000);
  wl_limits_note_response (l, &e, 0, 0, t + 2000000, t + 2001000);
  for (uint64_t s = 3; s < 29; s += 2)
    {
      stay_awake (l, t + (s - 2) * SECOND_US, t + s * SECOND_US);
      tell_all (slow, l, t + s * SECOND_US);
      ck_assert_ptr_null (wl_limits_find (l, &e));
    }
  WlFleet *fleet = wl_fleet_create ();
  wl_limits_expire (l, fleet, t + 40 * (uint64_t)SECOND_US);
  ck_assert_uint_eq (tell_all (slow, l, t + 40 * (uint64_t)SECOND_US), 1);
  ck_assert_ptr_null (wl_limits_find (l, &e));
  wl_limits_destroy (l);
  wl_limits_destroy (slow);
  wl_fleet_destroy (fleet);
}
END_TEST

/* Guards against reports, lost, doubled or reordered, that leave nodes with different limits. */
START_TEST (the_end_of_a_limit_reaches_other_nodes)
{
  WlLimits *a = wl_limits_create (), *b = wl_limits_create ();
  WlEndpoint e = endpoint (0, 1);
  uint64_t t = start_us;
  wl_limits_note_response (a, &e, 1, 1000, t, t + 1000);
  ck_assert_uint_eq (tell (a, b, t + 2000), 1);
  ck_assert_uint_eq (rate_of (b, &e), 1000);
  stay_awake (b, t, t + 2 * (uint64_t)SECOND_US);
  t += 2 * (uint64_t)SECOND_US;
  wl_limits_note_response (a, &e, 0, 0, t, t + 1000);
  ck_assert_uint_eq (tell (a, b, t + 2000), 1);
  ck_assert_ptr_null (wl_limits_find (b, &e));
  ck_assert_uint_eq (tell (a, b, t + 3000), 0);
  ck_assert_uint_eq (tell_all (a, b, t + 4000), 1);
  ck_assert_ptr_null (wl_limits_find (b, &e));
  wl_limits_destroy (a);
  wl_limits_destroy (b);
}
END_TEST

/* Guards against messages that grow with the number of nodes that see the same limit. */
START_TEST (what_others_have_said_is_not_repeated)
{
  WlLimits *a = wl_limits_create (), *b = wl_limits_create ();
  WlEndpoint e = endpoint (0, 1);
  uint64_t t = start_us;
  wl_limits_note_response (a, &e, 1, 1000, t, t + 1000);
  wl_limits_note_response (b, &e, 1, 1000, t, t + 1500);
  ck_assert_uint_eq (tell (a, b, t + 2000), 1);
  ck_assert_uint_eq (tell (b, a, t + 6000), 0);
  uint32_t n = 0;
  for (uint64_t ms = 10; ms < 10000; ms += 10)
    {
      WlLimits *by = ms % 20 == 0 ? a : b, *to = ms % 20 == 0 ? b : a;
      wl_limits_note_response (by, &e, 1, 1000, t + ms * 1000 - 100, t + ms * 1000);
      n += tell (a, b, t + ms * 1000);
      n += tell (b, a, t + ms * 1000);
      ck_assert_uint_eq (rate_of (to, &e), 1000);
    }
  ck_assert_uint_ge (n, 8);
  ck_assert_uint_le (n, 10);
  wl_limits_destroy (a);
  wl_limits_destroy (b);
}
END_TEST

/* Guards against an old word that looks new because each report of it is a little late. */
START_TEST (a_word_that_goes_round_does_not_become_younger)
{
  enum
  {
    NODES = 5
  };
  WlLimits *nodes[NODES];
  WlEndpoint e = endpoint (0, 1);
  uint64_t t = start_us;
  for (uint32_t i = 0; i < NODES; i++)
    nodes[i] = wl_limits_create ();
  wl_limits_note_response (nodes[0], &e, 1, 1000, t - 1000, t);
  for (uint32_t i = 0; i < 1000; i++, t += 10000)
    tell_all (nodes[i % NODES], nodes[(i + 1) % NODES], t);
  for (uint32_t i = 0; i < NODES; i++)
    {
      ck_assert_uint_lt (wl_limits_find (nodes[i], &e)->heard_us, start_us + 100000);
      wl_limits_destroy (nodes[i]);
    }
}
END_TEST

/* Guards against reports that waited while the node was frozen and look as if they were new. */
START_TEST (after_a_pause_reports_only_lower)
{
  WlLimits *a = wl_limits_create (), *b = wl_limits_create ();
  WlEndpoint e = endpoint (0, 1), f = endpoint (2, 1);
  uint64_t t = start_us;
  wl_limits_note_response (b, &e, 1, 1000, t, t + 1000);
  wl_limits_note_response (b, &f, 1, 1000, t, t + 1000);
  t += 2 * (uint64_t)SECOND_US;
  wl_limits_note_response (a, &e, 1, 400, t, t + 1000);
  wl_limits_note_response (a, &f, 1, 400, t - SECOND_US, t - SECOND_US + 1000);
  wl_limits_note_response (a, &f, 0, 0, t, t + 1000);
  ck_assert_uint_eq (tell (a, b, t + 2000), 2);
  ck_assert_uint_eq (rate_of (b, &e), 400);
  ck_assert_uint_eq (rate_of (b, &f), 1000);
  stay_awake (b, t, t + 1200000);
  t += 1200000;
  ck_assert_uint_eq (tell_all (a, b, t), 2);
  ck_assert_ptr_null (wl_limits_find (b, &f));
  wl_limits_destroy (a);
  wl_limits_destroy (b);
}
END_TEST

/* Guards against limits of 0 or beyond all sense that take an endpoint out or overflow. */
START_TEST (odd_limits_are_bounded)
{
  WlLimits *l = wl_limits_create ();
  WlEndpoint e = endpoint (0, 1);
  WlLimitWord words[] = {
    { .endpoint = 0, .rate = 1 },
    { .endpoint = 7, .started_ms = UINT64_MAX, .rate = 1 },
    { e.key, 1, 0, UINT64_MAX, UINT64_MAX, 0 },
    { e.key, 1, 77, 5, 0, UINT64_MAX },
  };
  WlLimitReport report = { .words = words, .n_words = 4 };
  wl_limits_note_response (l, &e, 1, 0, start_us, start_us);
  ck_assert_uint_eq (rate_of (l, &e), 0);
  wl_limits_note_response (l, &e, 1, UINT64_MAX, UINT64_MAX, start_us + 1);
  ck_assert_uint_eq (rate_of (l, &e), WL_LIMIT_RATE_MAX);
  wl_limits_apply_report (l, &report, start_us + 2);
  ck_assert_uint_eq (wl_limits_count (l), 1);
  ck_assert_uint_eq (rate_of (l, &e), WL_LIMIT_RATE_MAX);
  wl_limits_destroy (l);
}
END_TEST

/* Guards against memory and messages without bound. */
START_TEST (the_table_and_its_reports_are_bounded)
{
  WlLimits *l = wl_limits_create (), *other = wl_limits_create ();
  WlLimitReport report;
  uint64_t t = start_us;
  uint32_t n_told = 0;
  for (uint32_t i = 0; i < WL_LIMITS_MAX + 1000; i++)
    {
      WlEndpoint e = endpoint (i, 1);
      wl_limits_note_response (l, &e, 1, 1000, t + i, t + i);
    }
  ck_assert_uint_eq (wl_limits_count (l), WL_LIMITS_MAX);
  while (wl_limits_take_report (l, t += 1000, &report))
    {
      ck_assert_uint_le (report.n_words, WL_LIMITS_REPORT_MAX);
      n_told += report.n_words;
    }
  ck_assert_uint_eq (n_told, WL_LIMITS_MAX);
  for (uint32_t i = 0; i < WL_LIMITS_MAX / WL_LIMITS_REPORT_MAX; i++)
    ck_assert_uint_eq (tell_all (l, other, t), WL_LIMITS_REPORT_MAX);
  ck_assert_uint_eq (wl_limits_count (other), WL_LIMITS_MAX);
  wl_limits_destroy (l);
  wl_limits_destroy (other);
}
END_TEST

/* Guards against limits of endpoints that are gone, and ended ones, kept for ever. */
START_TEST (limits_expire_with_the_fleet)
{
  WlLimits *l = wl_limits_create ();
  WlFleet *fleet = wl_fleet_create ();
  uint64_t t = start_us;
  WlEndpoint e[3] = { endpoint (0, 1), endpoint (2, 1), endpoint (4, 1) };
  for (uint32_t i = 0; i < 3; i++)
    wl_limits_note_response (l, &e[i], 1, 1000, t, t + 1);
  wl_limits_note_response (l, &e[1], 0, 0, t + 2, t + 3);
  wl_fleet_apply (fleet, &e[0].record, t);
  wl_fleet_apply (fleet, &e[2].record, t);
  wl_limits_expire (l, fleet, t + 1000);
  ck_assert_uint_eq (wl_limits_count (l), 2);
  e[2].record.started_ms = 2;
  wl_fleet_apply (fleet, &e[2].record, t + 2000);
  wl_limits_expire (l, fleet, t + 2000);
  ck_assert_uint_eq (wl_limits_count (l), 1);
  ck_assert_uint_eq (rate_of (l, &e[0]), 1000);
  t += 2 * (uint64_t)WL_FLEET_EXPIRY_US;
  wl_fleet_expire (fleet, t);
  wl_limits_expire (l, fleet, t);
  ck_assert_uint_eq (wl_limits_count (l), 0);
  WlLimitReport report;
  ck_assert (!wl_limits_full_report (l, t, &report));
  wl_limits_destroy (l);
  wl_fleet_destroy (fleet);
}
END_TEST

/* Guards against a limit whose end nobody notices, since no request needs its endpoint. */
START_TEST (a_word_that_is_old_is_refreshed_once_a_second)
{
  WlLimits *l = wl_limits_create ();
  WlFleet *fleet = wl_fleet_create ();
  WlEndpoint e = endpoint (0, 1), slow = endpoint (1, 1);
  uint64_t t = start_us;
  wl_fleet_apply (fleet, &e.record, t);
  wl_fleet_apply (fleet, &slow.record, t);
  wl_limits_note_response (l, &e, 1, 3000, t, t);
  wl_limits_note_response (l, &slow, 1, 400, t, t);
  ck_assert (!wl_limits_take_refresh (l, fleet, "even", t + 1900000));
  ck_assert (wl_limits_take_refresh (l, fleet, "even", t + 2000000));
  ck_assert (!wl_limits_take_refresh (l, fleet, "even", t + 2900000));
  ck_assert (!wl_limits_take_refresh (l, fleet, "odd", t + 2900000));
  ck_assert (wl_limits_take_refresh (l, fleet, "odd", t + 3000000));
  wl_limits_note_response (l, &e, 1, 3000, t + 3000000, t + 3000000);
  ck_assert (!wl_limits_take_refresh (l, fleet, "even", t + 4900000));
  ck_assert (!wl_limits_take_refresh (l, fleet, "even", t + 2 * (uint64_t)WL_FLEET_TIMEOUT_US));
  wl_limits_destroy (l);
  wl_fleet_destroy (fleet);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (a_response_names_a_limit_and_a_later_one_takes_it_back),
    WL_TEST (a_response_of_uncertain_order_only_lowers),
    WL_TEST (a_raise_and_an_end_are_noticed_under_overlapping_requests),
    WL_TEST (a_new_start_drops_the_limit_and_an_older_start_is_ignored),
    WL_TEST (the_same_limit_of_a_new_start_is_told),
    WL_TEST (a_late_old_word_does_not_bring_a_limit_back),
    WL_TEST (the_end_of_a_limit_reaches_other_nodes),
    WL_TEST (what_others_have_said_is_not_repeated),
    WL_TEST (a_word_that_goes_round_does_not_become_younger),
    WL_TEST (after_a_pause_reports_only_lower),
    WL_TEST (odd_limits_are_bounded),
    WL_TEST (the_table_and_its_reports_are_bounded),
    WL_TEST (limits_expire_with_the_fleet),
    WL_TEST (a_word_that_is_old_is_refreshed_once_a_second),
  };
  return wl_test_run ("limits", tests, sizeof tests / sizeof tests[0]);
}
