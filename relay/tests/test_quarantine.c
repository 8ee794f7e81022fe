#include <string.h>
#include "wl_test_quarantine.h"

/* A part that ends engines must be kept from them, and no other part. */

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
  now_us += WL_QUARANTINE_SOUND_FOR_US;
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
  };
  return wl_test_run ("quarantine", tests, sizeof tests / sizeof tests[0]);
}
