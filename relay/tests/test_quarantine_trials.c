#include "wl_test_quarantine.h"

/* How a quarantine ends: by a trial, or for want of requests. */

static void
begin_trial (WlQuarantine *q, uint64_t now_us)
{
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  WlPartUse use = use_of (&parts, 1);
  wl_quarantine_begin_trial (q, &use, now_us);
}

/* Guards against a part that stays refused after the engines were mended. */
START_TEST (a_sound_trial_releases_the_part_everywhere)
{
  WlQuarantine *a = create_with_traffic ();
  WlQuarantine *b = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = start_us;
  quarantine_bad (a, now_us);
  tell (a, b, now_us);
  now_us += WL_QUARANTINE_TRIAL_MIN_US;
  ck_assert_int_eq (check (a, BAD, 1, 1, now_us).verdict, WL_QUARANTINE_TRIAL);
  begin_trial (a, now_us);
  now_us += SECOND_US;
  note_sound (a, &parts, now_us);
  tell (a, b, now_us);
  ck_assert (!refuses (a, BAD, 1, now_us));
  ck_assert (!refuses (b, BAD, 1, now_us));
  wl_quarantine_destroy (b);
  wl_quarantine_destroy (a);
}
END_TEST

/* Guards against a part that rode with the bad one and is condemned once that one is released. */
START_TEST (ends_of_a_part_that_was_mended_speak_against_no_other)
{
  WlQuarantine *a = create_with_traffic ();
  WlQuarantine *b = create_with_traffic ();
  WlPromptParts both = parts_of (SHARED, MIDDLE, BAD);
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = end_endpoints (a, 1, 5, &both, 1, start_us);
  ck_assert (refuses (a, BAD, 1, now_us));
  tell (a, b, now_us);
  now_us += WL_QUARANTINE_TRIAL_MIN_US;
  begin_trial (a, now_us);
  tell (a, b, now_us);
  note_sound (a, &parts, now_us);
  tell (a, b, now_us);
  ck_assert_uint_eq (wl_quarantine_n_entries (a), 0);
  ck_assert_uint_eq (wl_quarantine_n_entries (b), 0);
  wl_quarantine_destroy (b);
  wl_quarantine_destroy (a);
}
END_TEST

/* Guards against trials that end an engine again and again. */
START_TEST (the_wait_for_a_trial_grows_up_to_an_hour)
{
  WlQuarantine *q = create_with_traffic ();
  uint64_t now_us = start_us;
  uint64_t wait_us = WL_QUARANTINE_TRIAL_MIN_US;
  quarantine_bad (q, now_us);
  now_us -= SECOND_US / 10; /* the third end */
  for (int i = 0; i < 10; i++)
    {
      WlQuarantineAnswer answer = check (q, BAD, 1, 1, now_us + wait_us - 1);
      ck_assert_int_eq (answer.verdict, WL_QUARANTINE_REFUSE);
      ck_assert_uint_eq (answer.trial_us, 1);
      answer = check (q, BAD, 1, 0, now_us + wait_us);
      ck_assert_int_eq (answer.verdict, WL_QUARANTINE_REFUSE);
      ck_assert_uint_eq (answer.trial_us, SECOND_US);
      answer = check (q, BAD, 1, 1, now_us + wait_us);
      ck_assert_int_eq (answer.verdict, WL_QUARANTINE_TRIAL);
      ck_assert_uint_eq (answer.trial_us, 0);
      ck_assert (!answer.is_overdue);
      ck_assert (!check (q, BAD, 1, 1, now_us + 2 * wait_us - 1).is_overdue);
      ck_assert (check (q, BAD, 1, 1, now_us + 2 * wait_us).is_overdue);
      now_us += 2 * wait_us;
      begin_trial (q, now_us);
      wait_us *= WL_QUARANTINE_TRIAL_GROWTH;
      if (wait_us > WL_QUARANTINE_TRIAL_MAX_US)
        wait_us = WL_QUARANTINE_TRIAL_MAX_US;
    }
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a trial that is repeated by a node that was lost or has started again. */
START_TEST (a_trial_is_not_repeated_after_a_restart)
{
  WlQuarantine *a = create_with_traffic ();
  WlQuarantine *b = create_with_traffic ();
  uint64_t now_us = start_us;
  quarantine_bad (a, now_us);
  tell (a, b, now_us);
  now_us += WL_QUARANTINE_TRIAL_MIN_US;
  begin_trial (a, now_us);
  ck_assert (tell (a, b, now_us)); /* before the request is sent */
  wl_quarantine_destroy (a);
  a = wl_quarantine_create ();
  now_us += SECOND_US;
  tell_all (b, a, now_us);
  for (int i = 0; i < 2; i++)
    {
      WlQuarantineAnswer answer = check (i == 0 ? a : b, BAD, 1, 1, now_us);
      ck_assert_int_eq (answer.verdict, WL_QUARANTINE_REFUSE);
      ck_assert_uint_eq (answer.trial_us,
                         WL_QUARANTINE_TRIAL_GROWTH * WL_QUARANTINE_TRIAL_MIN_US - SECOND_US);
    }
  wl_quarantine_destroy (b);
  wl_quarantine_destroy (a);
}
END_TEST

/* Guards against a trial that nodes put off for each other by repeating its time. */
START_TEST (full_reports_do_not_put_a_trial_off)
{
  WlQuarantine *a = create_with_traffic ();
  WlQuarantine *b = create_with_traffic ();
  WlPartReport report;
  quarantine_bad (a, start_us);
  tell (a, b, start_us);
  for (uint64_t i = 1; i < 60; i++)
    {
      uint64_t now_us = start_us + i * 2500000;
      WlQuarantine *from = i % 2 == 0 ? a : b;
      WlQuarantine *to = i % 2 == 0 ? b : a;
      ck_assert (wl_quarantine_full_report (from, now_us, &report));
      wl_quarantine_apply (to, &report, now_us + 200000);
      int is_due = now_us >= start_us + WL_QUARANTINE_TRIAL_MIN_US;
      int is_overdue = now_us >= start_us + 2 * WL_QUARANTINE_TRIAL_MIN_US;
      ck_assert_int_eq (check (a, BAD, 1, 1, now_us).verdict == WL_QUARANTINE_TRIAL, is_due);
      ck_assert_int_eq (check (a, BAD, 1, 1, now_us).is_overdue, is_overdue);
    }
  wl_quarantine_destroy (b);
  wl_quarantine_destroy (a);
}
END_TEST

/* Guards against two bad parts of a request of which one is tried too early. */
START_TEST (a_request_with_two_quarantined_parts_is_a_trial_when_both_are_due)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts both = parts_of (SHARED, BAD, BAD + 1);
  WlPromptParts second = parts_of (SHARED, BAD + 1, 0);
  WlPartUse use = use_of (&both, 1);
  uint64_t now_us = start_us;
  quarantine_bad (q, now_us);
  now_us += 30 * SECOND_US;
  end_endpoints (q, 11, 3, &second, 1, now_us - SECOND_US / 2);
  now_us = start_us + WL_QUARANTINE_TRIAL_MIN_US;
  WlQuarantineAnswer answer = wl_quarantine_check (q, &use, 1, now_us);
  ck_assert_int_eq (answer.verdict, WL_QUARANTINE_REFUSE);
  ck_assert_uint_eq (answer.part, BAD);
  ck_assert_uint_gt (answer.trial_us, 29 * SECOND_US);
  answer = wl_quarantine_check (q, &use, 1, now_us + 30 * SECOND_US);
  ck_assert_int_eq (answer.verdict, WL_QUARANTINE_TRIAL);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a node that was cut off and brings a released part back. */
START_TEST (a_stale_report_does_not_bring_a_released_part_back)
{
  WlQuarantine *a = create_with_traffic ();
  WlQuarantine *stale = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = start_us;
  quarantine_bad (a, now_us);
  tell (a, stale, now_us);
  now_us += WL_QUARANTINE_TRIAL_MIN_US;
  begin_trial (a, now_us);
  note_sound (a, &parts, now_us);
  WlPartReport lost;
  ck_assert (wl_quarantine_take_report (a, now_us, &lost));
  now_us += 100 * (uint64_t)SECOND_US;
  tell_all (stale, a, now_us);
  ck_assert (!refuses (a, BAD, 1, now_us));
  ck_assert (tell (a, stale, now_us));
  ck_assert (!refuses (stale, BAD, 1, now_us));
  wl_quarantine_destroy (stale);
  wl_quarantine_destroy (a);
}
END_TEST

/* Guards against a part that ends engines again and is kept open by its former release. */
START_TEST (a_released_part_can_be_quarantined_again)
{
  WlQuarantine *a = create_with_traffic ();
  WlQuarantine *b = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  quarantine_bad (a, start_us);
  tell (a, b, start_us);
  note_sound (a, &parts, start_us);
  tell (a, b, start_us);
  quarantine_bad (a, start_us + 10 * SECOND_US);
  tell (a, b, start_us + 10 * SECOND_US);
  ck_assert (refuses (b, BAD, 1, start_us + 10 * SECOND_US));
  wl_quarantine_destroy (b);
  wl_quarantine_destroy (a);
}
END_TEST

/* Guards against entries of parts that nobody sends any more, which would fill the table. */
START_TEST (an_entry_without_requests_is_removed_after_an_hour)
{
  WlQuarantine *q = create_with_traffic ();
  quarantine_bad (q, start_us); /* and checks it */
  uint64_t now_us = start_us + WL_QUARANTINE_UNUSED_US - 1;
  wl_quarantine_expire (q, now_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  now_us += WL_QUARANTINE_UNUSED_US - 1;
  wl_quarantine_expire (q, now_us);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 1);
  wl_quarantine_expire (q, now_us + 1);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a full table that takes no more parts, or loses those in use. */
START_TEST (the_entry_unused_for_longest_is_replaced)
{
  WlQuarantine *q = create_with_traffic ();
  uint64_t now_us = start_us;
  for (uint64_t i = 0; i < WL_QUARANTINE_ENTRIES_MAX + 2; i++, now_us += 1000)
    {
      WlQuarantinedPart part = { 0 };
      part.part = BAD + i;
      part.service = SERVICE;
      part.n_ends = 3;
      WlPartReport report = { .quarantined = &part, .n_quarantined = 1 };
      wl_quarantine_apply (q, &report, now_us);
      if (i == 10)
        ck_assert (refuses (q, BAD, 1, now_us));
    }
  ck_assert_uint_eq (wl_quarantine_n_entries (q), WL_QUARANTINE_ENTRIES_MAX);
  for (uint64_t i = 0; i < WL_QUARANTINE_ENTRIES_MAX + 2; i++)
    ck_assert_int_eq (refuses (q, BAD + i, 1, now_us), i != 1 && i != 2);
  wl_quarantine_destroy (q);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_sound_trial_releases_the_part_everywhere),
    WL_TEST (ends_of_a_part_that_was_mended_speak_against_no_other),
    WL_TEST (the_wait_for_a_trial_grows_up_to_an_hour),
    WL_TEST (a_trial_is_not_repeated_after_a_restart),
    WL_TEST (full_reports_do_not_put_a_trial_off),
    WL_TEST (a_request_with_two_quarantined_parts_is_a_trial_when_both_are_due),
    WL_TEST (a_stale_report_does_not_bring_a_released_part_back),
    WL_TEST (a_released_part_can_be_quarantined_again),
    WL_TEST (an_entry_without_requests_is_removed_after_an_hour),
    WL_TEST (the_entry_unused_for_longest_is_replaced),
  };
  return wl_test_run ("quarantine_trials", tests, sizeof tests / sizeof tests[0]);
}
