#include "wl_random.h"
#include "wl_test_quarantine.h"

/* What nodes tell each other about parts. */

/* Guards against ends of which each node sees one. */
START_TEST (ends_that_three_nodes_saw_quarantine_at_each)
{
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  WlQuarantine *nodes[3];
  for (uint32_t i = 0; i < 3; i++)
    nodes[i] = create_with_traffic ();
  for (uint32_t i = 0; i < 3; i++)
    {
      uint64_t now_us = start_us + i * SECOND_US;
      WlPartReport report;
      note_end (nodes[i], 1 + i, &parts, 1, now_us);
      ck_assert (wl_quarantine_take_report (nodes[i], now_us, &report));
      ck_assert_uint_eq (report.n_ends, 1);
      ck_assert_uint_eq (report.ends[0].n_suspects, 1); /* not SHARED */
      for (uint32_t k = 0; k < 3; k++)
        if (k != i)
          wl_quarantine_apply (nodes[k], &report, now_us);
    }
  for (uint32_t i = 0; i < 3; i++)
    {
      ck_assert (refuses (nodes[i], BAD, 1, start_us + 3 * SECOND_US));
      ck_assert_uint_eq (wl_quarantine_n_entries (nodes[i]), 1);
      wl_quarantine_destroy (nodes[i]);
    }
}
END_TEST

/* Guards against one end that counts as several since several nodes tell of it. */
START_TEST (an_end_that_several_nodes_tell_of_counts_once)
{
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  WlQuarantine *q = create_with_traffic ();
  for (uint64_t i = 0; i < 8; i++)
    {
      WlPartSuspect suspect = { BAD, SERVICE, 1 + i };
      WlPartEnd end
          = { .endpoint = 1, .age_us = i * 100000, .suspects = &suspect, .n_suspects = 1 };
      WlPartReport report = { .ends = &end, .n_ends = 1 };
      wl_quarantine_apply (q, &report, start_us + SECOND_US);
    }
  note_end (q, 2, &parts, 1, start_us + 2 * SECOND_US);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  note_end (q, 3, &parts, 1, start_us + 3 * SECOND_US);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 1);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against traffic between nodes that grows with requests rather than with ends. */
START_TEST (nothing_is_told_while_no_endpoint_ends)
{
  WlQuarantine *q = create_with_traffic ();
  WlPartReport report;
  for (uint64_t i = 0; i < 100; i++)
    {
      WlPromptParts parts = parts_of (SHARED, MIDDLE + i, 0);
      note_request (q, &parts, start_us + i);
      note_sound (q, &parts, start_us + i);
      ck_assert (!wl_quarantine_take_report (q, start_us + i, &report));
      ck_assert (!wl_quarantine_full_report (q, start_us + i, &report));
    }
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against reports of ends for which a part that is sound accounts. */
START_TEST (an_end_without_suspects_is_not_told)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, MIDDLE, 0);
  WlPartReport report;
  note_sound (q, &parts, start_us);
  note_end (q, 1, &parts, 1, start_us + SECOND_US);
  ck_assert (!wl_quarantine_take_report (q, start_us + SECOND_US, &report));
  note_end (q, 2, &parts, 1, start_us + 2 * WL_QUARANTINE_SOUND_FOR_US);
  ck_assert (wl_quarantine_take_report (q, start_us + 2 * WL_QUARANTINE_SOUND_FOR_US, &report));
  ck_assert (!wl_quarantine_take_report (q, start_us + 2 * WL_QUARANTINE_SOUND_FOR_US, &report));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against suspects of one request that are not told since another one's were. */
START_TEST (an_end_is_told_with_the_suspects_of_all_its_requests)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts[] = { parts_of (SHARED, MIDDLE, 0), parts_of (SHARED, BAD, 0) };
  WlPartReport report;
  for (uint32_t i = 0; i < 2; i++)
    {
      note_end (q, 1, &parts[i], 1, start_us + i * 1000);
      ck_assert (wl_quarantine_take_report (q, start_us + i * 1000, &report));
      ck_assert_uint_eq (report.n_ends, 1);
      ck_assert_uint_eq (report.ends[0].n_suspects, 1 + i);
      ck_assert_uint_eq (report.ends[0].age_us, i * 1000);
    }
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a sound part that is condemned by a node that has not seen it sound. */
START_TEST (a_node_that_knows_a_part_as_sound_contradicts)
{
  WlQuarantine *doubting = create_with_traffic ();
  WlQuarantine *knowing = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, MIDDLE, 0);
  note_sound (knowing, &parts, start_us);
  end_endpoints (doubting, 1, 2, &parts, 1, start_us + SECOND_US);
  tell (doubting, knowing, start_us + 2 * SECOND_US);
  ck_assert (tell (knowing, doubting, start_us + 2 * SECOND_US));
  end_endpoints (doubting, 3, 1, &parts, 1, start_us + 7 * SECOND_US);
  ck_assert_uint_eq (wl_quarantine_n_entries (doubting), 0);
  wl_quarantine_destroy (knowing);
  wl_quarantine_destroy (doubting);
}
END_TEST

/* Guards against the same when the verdict comes first. */
START_TEST (a_node_that_knows_a_part_as_sound_does_not_take_the_verdict_over)
{
  WlQuarantine *doubting = create_with_traffic ();
  WlQuarantine *knowing = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  note_sound (knowing, &parts, start_us);
  quarantine_bad (doubting, start_us + SECOND_US);
  ck_assert (tell_all (doubting, knowing, start_us + SECOND_US));
  ck_assert_uint_eq (wl_quarantine_n_entries (knowing), 0);
  ck_assert (tell (knowing, doubting, start_us + SECOND_US));
  ck_assert_uint_eq (wl_quarantine_n_entries (doubting), 0);
  ck_assert (!refuses (doubting, BAD, 1, start_us + SECOND_US));
  wl_quarantine_destroy (knowing);
  wl_quarantine_destroy (doubting);
}
END_TEST

/* Guards against a sound response long ago that releases a part which ends engines now. */
START_TEST (a_part_that_was_sound_long_ago_stays_quarantined)
{
  WlQuarantine *a = create_with_traffic ();
  WlQuarantine *b = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  WlSoundPart sound = { .part = BAD, .service = SERVICE, .age_us = 11 * SECOND_US };
  WlPartReport report = { .sound = &sound, .n_sound = 1 };
  note_sound (b, &parts, start_us);
  quarantine_bad (a, start_us + 10 * SECOND_US);
  ck_assert (tell (a, b, start_us + 10 * SECOND_US));
  ck_assert (refuses (b, BAD, 1, start_us + 10 * SECOND_US));
  wl_quarantine_apply (a, &report, start_us + 11 * SECOND_US);
  ck_assert (refuses (a, BAD, 1, start_us + 11 * SECOND_US));
  wl_quarantine_destroy (b);
  wl_quarantine_destroy (a);
}
END_TEST

/* Guards against a part with much traffic that is told with each response. */
START_TEST (a_sound_part_is_told_every_500_ms_and_a_few_times)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, MIDDLE, 0);
  WlPartReport report;
  uint32_t n = 0;
  note_end (q, 1, &parts, 1, start_us);
  ck_assert (wl_quarantine_take_report (q, start_us, &report));
  for (uint64_t ms = 1; ms < 10000; ms++)
    {
      note_sound (q, &parts, start_us + ms * 1000);
      int has_report = wl_quarantine_take_report (q, start_us + ms * 1000, &report);
      ck_assert (has_report == (ms == 1 || ms == 501 || ms == 1001));
      n += report.n_sound;
    }
  ck_assert_uint_eq (n, 3);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a node that sends the first bad requests to engines after its start. */
START_TEST (a_node_that_has_just_started_learns_all_from_one_full_report)
{
  WlQuarantine *old = create_with_traffic ();
  WlQuarantine *new = wl_quarantine_create ();
  uint64_t now_us = start_us;
  for (uint64_t i = 0; i < 10; i++, now_us += SECOND_US)
    {
      WlPromptParts parts = parts_of (SHARED, BAD + i, 0);
      end_endpoints (old, 10 * i, 3, &parts, 1 + i % 2, now_us);
    }
  ck_assert_uint_eq (wl_quarantine_n_entries (old), 10);
  WlPromptParts first = parts_of (SHARED, BAD, 0);
  note_request (new, &first, now_us); /* all its parts count as common */
  tell_all (old, new, now_us);
  for (uint64_t i = 0; i < 10; i++)
    {
      WlQuarantineAnswer a = check (old, BAD + i, 1 + i % 2, 0, now_us);
      WlQuarantineAnswer b = check (new, BAD + i, 1 + i % 2, 0, now_us);
      ck_assert_int_eq (a.verdict, WL_QUARANTINE_REFUSE);
      ck_assert_int_eq (b.verdict, WL_QUARANTINE_REFUSE);
      ck_assert_uint_eq (a.age_us, b.age_us);
      ck_assert_uint_eq (a.trial_us, b.trial_us);
      ck_assert_uint_eq (a.n_ends, b.n_ends);
    }
  wl_quarantine_destroy (new);
  wl_quarantine_destroy (old);
}
END_TEST

/* Guards against nodes that keep different scopes, ages or trials of one part. */
START_TEST (entries_of_one_part_are_merged)
{
  WlQuarantine *q = create_with_traffic ();
  WlQuarantinedPart first
      = { BAD, SERVICE, 1, 3, 1, 100 * SECOND_US, 50 * SECOND_US, SECOND_US, 0 };
  WlQuarantinedPart second
      = { BAD, SERVICE, 2, 5, 0, 90 * SECOND_US, 10 * SECOND_US, 2 * SECOND_US, 0 };
  WlPartReport report = { .quarantined = &first, .n_quarantined = 1 };
  WlPartReport out;
  wl_quarantine_apply (q, &report, start_us);
  ck_assert (!wl_quarantine_take_report (q, start_us, &out));
  uint64_t generation = wl_quarantine_generation (q);
  wl_quarantine_apply (q, &report, start_us);
  ck_assert_uint_eq (wl_quarantine_generation (q), generation);
  report.quarantined = &second;
  wl_quarantine_apply (q, &report, start_us);
  ck_assert_uint_gt (wl_quarantine_generation (q), generation);
  ck_assert (wl_quarantine_full_report (q, start_us, &out));
  ck_assert_uint_eq (out.n_quarantined, 1);
  const WlQuarantinedPart *merged = out.quarantined;
  ck_assert_uint_eq (merged->customer, 0);
  ck_assert_uint_eq (merged->n_ends, 5);
  ck_assert_uint_eq (merged->n_trials, 1);
  ck_assert_uint_eq (merged->age_us, 100 * SECOND_US);
  ck_assert_uint_eq (merged->trial_us, 50 * SECOND_US);
  ck_assert_uint_eq (merged->unused_us, SECOND_US);
  wl_quarantine_destroy (q);
}
END_TEST

/* A number as a damaged or hostile report may have it. */
static uint64_t
odd_number (uint64_t *random)
{
  uint64_t n = wl_random_next (random);
  switch (n >> 61)
    {
    case 0:
      return 0;
    case 1:
      return UINT64_MAX;
    case 2:
      return UINT64_MAX - (n & 0xff);
    case 3:
      return UINT64_C (1) << (n & 63);
    case 4:
      return n & 0xffffffff;
    default:
      return n & 7;
    }
}

enum
{
  ODD_REPORTS = 2000,
  ODD_SUSPECTS = 100,
};

/* Guards against values of another writer that crash a node or keep it from quarantining. */
START_TEST (odd_reports_are_survived)
{
  WlQuarantine *q = create_with_traffic ();
  uint64_t random = 1;
  uint64_t now_us = start_us;
  for (int i = 0; i < ODD_REPORTS; i++, now_us += 10000)
    {
      WlPartSuspect suspects[ODD_SUSPECTS];
      WlPartEnd ends[2];
      WlSoundPart sound[2];
      WlQuarantinedPart parts[2];
      WlPartReport report = { ends, 2, sound, 2, parts, 2, 0 };
      for (uint32_t k = 0; k < ODD_SUSPECTS; k++)
        suspects[k] = (WlPartSuspect){ odd_number (&random), SERVICE, odd_number (&random) };
      for (uint32_t k = 0; k < 2; k++)
        {
          uint32_t n_suspects = (uint32_t)odd_number (&random) % (ODD_SUSPECTS + 1);
          ends[k] = (WlPartEnd){ odd_number (&random), odd_number (&random), suspects, n_suspects,
                                 (uint8_t)(i & 1) };
          sound[k] = (WlSoundPart){ odd_number (&random), SERVICE, odd_number (&random) };
          parts[k] = (WlQuarantinedPart){ odd_number (&random),
                                          SERVICE,
                                          odd_number (&random),
                                          (uint32_t)odd_number (&random),
                                          (uint32_t)odd_number (&random),
                                          odd_number (&random),
                                          odd_number (&random),
                                          odd_number (&random),
                                          (uint8_t)(i & 1) };
        }
      wl_quarantine_apply (q, &report, now_us);
      wl_quarantine_take_report (q, now_us, &report);
      wl_quarantine_full_report (q, now_us, &report);
      for (uint32_t k = 0; k < report.n_quarantined; k++)
        {
          ck_assert_uint_ne (report.quarantined[k].part, 0);
          ck_assert_uint_le (report.quarantined[k].trial_us, WL_QUARANTINE_TRIAL_MAX_US);
          ck_assert_uint_lt (report.quarantined[k].unused_us, WL_QUARANTINE_UNUSED_US);
        }
      if (i % 10 == 0)
        wl_quarantine_expire (q, now_us);
    }
  now_us += WL_QUARANTINE_WINDOW_US;
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  now_us = end_endpoints (q, 1, 3, &parts, 1, now_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a route that is refused by a node which has not seen what its requests share. */
START_TEST (a_node_without_requests_of_the_route_leaves_the_verdict_to_others)
{
  WlQuarantine *old = create_with_traffic ();
  WlQuarantine *new = wl_quarantine_create ();
  for (uint64_t i = 0; i < 10; i++)
    {
      WlPartSuspect suspects[] = { { SHARED, SERVICE, 1 }, { BAD, SERVICE, 1 } };
      WlPartEnd end = { .endpoint = 1 + i, .suspects = suspects, .n_suspects = 2 };
      WlPartReport report = { .ends = &end, .n_ends = 1 };
      wl_quarantine_apply (new, &report, start_us + i * SECOND_US);
    }
  ck_assert_uint_eq (wl_quarantine_n_entries (new), 0);
  quarantine_bad (old, start_us + 10 * SECOND_US);
  tell (old, new, start_us + 10 * SECOND_US);
  ck_assert (refuses (new, BAD, 1, start_us + 10 * SECOND_US));
  ck_assert (!refuses (new, SHARED, 1, start_us + 10 * SECOND_US));
  wl_quarantine_destroy (new);
  wl_quarantine_destroy (old);
}
END_TEST

/* Guards against ends that others do not learn of since a node saw one request of the route. */
START_TEST (a_node_that_has_just_started_tells_of_the_parts_of_its_only_request)
{
  WlQuarantine *q = wl_quarantine_create ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  WlPartReport report;
  note_request (q, &parts, start_us);
  note_end (q, 1, &parts, 1, start_us);
  ck_assert (wl_quarantine_take_report (q, start_us, &report));
  ck_assert_uint_eq (report.ends[0].n_suspects, 2);
  wl_quarantine_destroy (q);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (ends_that_three_nodes_saw_quarantine_at_each),
    WL_TEST (an_end_that_several_nodes_tell_of_counts_once),
    WL_TEST (nothing_is_told_while_no_endpoint_ends),
    WL_TEST (an_end_without_suspects_is_not_told),
    WL_TEST (an_end_is_told_with_the_suspects_of_all_its_requests),
    WL_TEST (a_node_that_knows_a_part_as_sound_contradicts),
    WL_TEST (a_node_that_knows_a_part_as_sound_does_not_take_the_verdict_over),
    WL_TEST (a_part_that_was_sound_long_ago_stays_quarantined),
    WL_TEST (a_sound_part_is_told_every_500_ms_and_a_few_times),
    WL_TEST (a_node_that_has_just_started_learns_all_from_one_full_report),
    WL_TEST (entries_of_one_part_are_merged),
    WL_TEST (odd_reports_are_survived),
    WL_TEST (a_node_without_requests_of_the_route_leaves_the_verdict_to_others),
    WL_TEST (a_node_that_has_just_started_tells_of_the_parts_of_its_only_request),
  };
  return wl_test_run ("quarantine_reports", tests, sizeof tests / sizeof tests[0]);
}
