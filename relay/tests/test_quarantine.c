#include "wl_quarantine_internal.h"
#include "wl_test_quarantine.h"

/* A part that ends engines must be kept from them, and no other part. */

enum
{
  MEMORY_MAX_BYTES = 300 * 1024,
};

/* Guards against engines that end one after the other under requests with the same part. */
START_TEST (three_ends_quarantine_the_part)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = end_endpoints (q, 1, 2, &parts, 1, start_us);
  ck_assert (!refuses (q, BAD, 1, now_us));
  ck_assert_uint_eq (wl_quarantine_generation (q), 0);
  now_us = end_endpoints (q, 3, 1, &parts, 1, now_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  ck_assert (!refuses (q, SHARED, 1, now_us));
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 1);
  ck_assert_uint_eq (wl_quarantine_generation (q), 1);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a part that is condemned by one endpoint that fails again and again. */
START_TEST (ends_of_two_endpoints_do_not_quarantine)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  for (uint64_t i = 0; i < 10; i++)
    end_endpoints (q, 1, 2, &parts, 1, start_us + i * 10 * SECOND_US);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a quarantine after ends that have no part in common. */
START_TEST (ends_under_different_parts_do_not_quarantine)
{
  WlQuarantine *q = create_with_traffic ();
  for (uint64_t i = 0; i < 20; i++)
    {
      WlPromptParts parts = parts_of (SHARED, BAD + i / 2, 0);
      end_endpoints (q, 1 + i, 1, &parts, 1, start_us + i * SECOND_US);
    }
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a quarantine after a failure of a domain, which ends many endpoints at once. */
START_TEST (ends_closer_than_the_gap_count_once)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  for (uint64_t i = 0; i < 18; i++)
    note_end (q, 1 + i, &parts, 1, start_us + i * (WL_QUARANTINE_END_GAP_US - 1) / 9);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  note_end (q, 20, &parts, 1, start_us + 3 * WL_QUARANTINE_END_GAP_US);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 1);
  ck_assert (refuses (q, BAD, 1, start_us + 3 * WL_QUARANTINE_END_GAP_US));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against ends of the last day that condemn a part together. */
START_TEST (ends_out_of_the_window_do_not_count)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  for (uint64_t i = 0; i < 9; i++)
    note_end (q, 1 + i, &parts, 1, start_us + i * (WL_QUARANTINE_WINDOW_US / 2 + 1));
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a part that is condemned although responses with it are sound. */
START_TEST (a_sound_response_clears_ends_before_and_just_after_it)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, MIDDLE, 0);
  uint64_t now_us = end_endpoints (q, 1, 2, &parts, 1, start_us);
  note_sound (q, &parts, now_us);
  end_endpoints (q, 3, 10, &parts, 1, now_us + SECOND_US);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  now_us += 70 * SECOND_US; /* so that they are not few of many ends */
  end_endpoints (q, 20, 2, &parts, 1, now_us);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  end_endpoints (q, 22, 1, &parts, 1, now_us + SECOND_US);
  ck_assert (refuses (q, MIDDLE, 1, now_us + SECOND_US));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a route that is refused as a whole since one of its parts ends engines. */
START_TEST (a_part_that_all_requests_of_a_route_share_is_not_quarantined)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, 0, 0);
  end_endpoints (q, 1, 30, &parts, 1, start_us);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against the same by a node that has just started and has not seen what else there is. */
START_TEST (all_parts_of_the_first_request_of_a_route_count_as_common)
{
  WlQuarantine *q = wl_quarantine_create ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  WlPromptParts others = parts_of (SHARED, MIDDLE, 0);
  note_request (q, &parts, start_us);
  uint64_t now_us = end_endpoints (q, 1, 10, &parts, 1, start_us);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  note_request (q, &others, now_us);
  end_endpoints (q, 21, 3, &parts, 1, now_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  ck_assert (!refuses (q, SHARED, 1, now_us));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against two bad parts of which one hides the other. */
START_TEST (two_bad_parts_at_once_are_both_quarantined)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts bad[] = { parts_of (SHARED, BAD, 0), parts_of (SHARED, BAD + 1, 0) };
  for (uint64_t i = 0; i < 6; i++)
    note_end (q, 1 + i, &bad[i % 2], 1, start_us + i * SECOND_US / 5);
  ck_assert (refuses (q, BAD, 1, start_us + 2 * SECOND_US));
  ck_assert (refuses (q, BAD + 1, 1, start_us + 2 * SECOND_US));
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 2);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a sound part that is condemned for the ends of the bad part beside it. */
START_TEST (a_part_that_rode_with_the_bad_one_is_not_quarantined)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, MIDDLE, BAD);
  uint64_t now_us = end_endpoints (q, 1, 8, &parts, 1, start_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  ck_assert (!refuses (q, MIDDLE, 1, now_us));
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 1);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against the same when the sound part comes after the bad one. */
START_TEST (of_two_parts_the_one_that_was_never_sound_is_quarantined)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts sound = parts_of (SHARED, MIDDLE, 0);
  WlPromptParts parts = parts_of (SHARED, BAD, MIDDLE);
  note_sound (q, &sound, start_us);
  uint64_t now_us = start_us + 2 * WL_QUARANTINE_SOUND_FOR_US;
  now_us = end_endpoints (q, 1, 8, &parts, 1, now_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  ck_assert (!refuses (q, MIDDLE, 1, now_us));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a wrong verdict that keeps the bad part from being found. */
START_TEST (a_part_quarantined_for_another_is_released_and_the_other_found)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, MIDDLE);
  WlPromptParts sound = parts_of (SHARED, MIDDLE, 0);
  uint64_t now_us = end_endpoints (q, 1, 5, &parts, 1, start_us);
  ck_assert (refuses (q, MIDDLE, 1, now_us));
  note_sound (q, &sound, now_us);
  ck_assert (!refuses (q, MIDDLE, 1, now_us));
  ck_assert (refuses (q, BAD, 1, now_us));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against the order of requests, of which each names some of the parts, as that of parts. */
START_TEST (the_most_specific_part_is_that_of_the_prompts_not_of_the_first_request)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts last_only = parts_of (SHARED, BAD, 0);
  WlPromptParts both = parts_of (SHARED, MIDDLE, BAD);
  for (uint64_t i = 0; i < 5; i++)
    {
      note_end (q, 1 + i, &last_only, 1, start_us + i * SECOND_US);
      note_end (q, 1 + i, &both, 1, start_us + i * SECOND_US + 1000);
    }
  ck_assert (refuses (q, BAD, 1, start_us + 5 * SECOND_US));
  ck_assert (!refuses (q, MIDDLE, 1, start_us + 5 * SECOND_US));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a part that is refused at engines that can read it. */
START_TEST (a_part_is_quarantined_for_one_service)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  WlPartUse other = use_of (&parts, 1);
  other.service = SERVICE + 1;
  uint64_t now_us = end_endpoints (q, 1, 3, &parts, 1, start_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  ck_assert_int_eq (wl_quarantine_check (q, &other, 0, now_us).verdict, WL_QUARANTINE_ADMIT);
  wl_quarantine_note_sound (q, &other, now_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a customer who has another one's part refused. */
START_TEST (ends_under_one_customers_requests_quarantine_for_this_customer)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = end_endpoints (q, 1, 3, &parts, 1, start_us);
  note_end (q, 3, &parts, 2, now_us); /* of the same end: customer 1 accounts for it */
  ck_assert (refuses (q, BAD, 1, now_us));
  ck_assert (!refuses (q, BAD, 2, now_us));
  ck_assert (!refuses (q, BAD, 0, now_us));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against engines that go on to end under other customers' requests. */
START_TEST (an_end_under_another_customers_request_widens_the_scope)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = end_endpoints (q, 1, 3, &parts, 1, start_us);
  uint64_t generation = wl_quarantine_generation (q);
  WlPartReport report;
  wl_quarantine_take_report (q, now_us, &report);
  note_end (q, 4, &parts, 2, now_us);
  ck_assert_uint_gt (wl_quarantine_generation (q), generation);
  for (uint64_t customer = 0; customer < 4; customer++)
    ck_assert (refuses (q, BAD, customer, now_us));
  ck_assert (wl_quarantine_take_report (q, now_us, &report));
  ck_assert_uint_eq (report.n_quarantined, 1);
  ck_assert_uint_eq (report.quarantined[0].customer, 0);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a part of several customers that is refused to the first of them alone. */
START_TEST (ends_under_several_customers_requests_quarantine_for_all)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  for (uint64_t i = 0; i < 3; i++)
    note_end (q, 1 + i, &parts, 1 + i % 2, start_us + i * SECOND_US);
  for (uint64_t customer = 0; customer < 4; customer++)
    ck_assert (refuses (q, BAD, customer, start_us + 3 * SECOND_US));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against memory that grows with the parts that a customer sends, or loses the bad one. */
START_TEST (a_million_parts_displace_no_quarantined_part)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = end_endpoints (q, 1, 3, &parts, 1, start_us);
  for (uint64_t part = 1000000; part < 2000000; part += WL_QUARANTINE_PARTS_MAX)
    {
      WlPromptParts many = { .n = WL_QUARANTINE_PARTS_MAX };
      for (uint64_t k = 0; k < many.n; k++)
        many.ids[k] = part + k;
      note_request (q, &many, now_us);
      if (part % 2000 == 0)
        {
          WlPromptParts few = parts_of (part, part + 1, part + 2);
          note_end (q, part, &few, 1, now_us);
        }
      else
        note_sound (q, &many, now_us);
      now_us += 1000;
    }
  ck_assert (refuses (q, BAD, 1, now_us));
  ck_assert_uint_le (sizeof (WlQuarantine), MEMORY_MAX_BYTES);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a sound part that seems to account for three ends since a report is missing. */
START_TEST (three_ends_that_another_part_may_account_for_are_not_enough)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts middle = parts_of (SHARED, MIDDLE, 0);
  WlPromptParts bad = parts_of (SHARED, BAD, 0);
  for (uint64_t i = 0; i < 3; i++)
    {
      if (i > 0)
        note_end (q, 1 + i, &bad, 1, start_us + i * SECOND_US);
      note_end (q, 1 + i, &middle, 1, start_us + i * SECOND_US);
    }
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  end_endpoints (q, 10, 3, &bad, 1, start_us + 3 * SECOND_US);
  ck_assert (refuses (q, BAD, 1, start_us + 4 * SECOND_US));
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 1);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a part that is in three of many ends by chance; and against a bad one among them.
 */
START_TEST (three_of_many_ends_are_not_enough_but_five_are)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, MIDDLE, 0);
  for (uint64_t i = 0; i < 5; i++)
    {
      uint64_t now_us = start_us + i * 4 * SECOND_US;
      for (uint64_t k = 0; k < 3; k++)
        {
          WlPromptParts other = parts_of (SHARED, 1000 + 3 * i + k, 0);
          note_end (q, 10 * i + k, &other, 1, now_us + k * SECOND_US);
        }
      note_end (q, 10 * i + 3, &parts, 1, now_us + 3 * SECOND_US);
      ck_assert_int_eq (refuses (q, MIDDLE, 1, now_us + 3 * SECOND_US), i == 4);
    }
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 1);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a sound part that is refused since most engines fail by themselves. */
START_TEST (five_of_very_many_ends_are_not_enough)
{
  WlQuarantine *q = create_with_traffic ();
  uint64_t now_us = start_us;
  for (uint64_t i = 0; i < 25; i++, now_us += SECOND_US)
    {
      WlPromptParts parts = parts_of (SHARED, i % 5 == 0 ? BAD : BAD + 1 + i, 0);
      note_end (q, 1 + i, &parts, 1, now_us);
    }
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against bad parts that hide one another: each accounts for a third of the ends. */
START_TEST (three_bad_parts_at_once_are_all_quarantined)
{
  WlQuarantine *q = create_with_traffic ();
  uint64_t now_us = start_us;
  for (uint64_t i = 0; i < 15; i++, now_us += SECOND_US)
    {
      WlPromptParts parts = parts_of (SHARED, BAD + i % 3, 0);
      note_end (q, 1 + i, &parts, 1, now_us);
    }
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 3);
  ck_assert (!refuses (q, SHARED, 1, now_us));
  wl_quarantine_destroy (q);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (three_ends_quarantine_the_part),
    WL_TEST (ends_of_two_endpoints_do_not_quarantine),
    WL_TEST (ends_under_different_parts_do_not_quarantine),
    WL_TEST (ends_closer_than_the_gap_count_once),
    WL_TEST (ends_out_of_the_window_do_not_count),
    WL_TEST (a_sound_response_clears_ends_before_and_just_after_it),
    WL_TEST (a_part_that_all_requests_of_a_route_share_is_not_quarantined),
    WL_TEST (all_parts_of_the_first_request_of_a_route_count_as_common),
    WL_TEST (two_bad_parts_at_once_are_both_quarantined),
    WL_TEST (a_part_that_rode_with_the_bad_one_is_not_quarantined),
    WL_TEST (of_two_parts_the_one_that_was_never_sound_is_quarantined),
    WL_TEST (a_part_quarantined_for_another_is_released_and_the_other_found),
    WL_TEST (the_most_specific_part_is_that_of_the_prompts_not_of_the_first_request),
    WL_TEST (a_part_is_quarantined_for_one_service),
    WL_TEST (ends_under_one_customers_requests_quarantine_for_this_customer),
    WL_TEST (an_end_under_another_customers_request_widens_the_scope),
    WL_TEST (ends_under_several_customers_requests_quarantine_for_all),
    WL_TEST (a_million_parts_displace_no_quarantined_part),
    WL_TEST (three_ends_that_another_part_may_account_for_are_not_enough),
    WL_TEST (three_of_many_ends_are_not_enough_but_five_are),
    WL_TEST (five_of_very_many_ends_are_not_enough),
    WL_TEST (three_bad_parts_at_once_are_all_quarantined),
  };
  return wl_test_run ("quarantine", tests, sizeof tests / sizeof tests[0]);
}
