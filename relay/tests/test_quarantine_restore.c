#include <apr_general.h>
#include "wl_message.h"
#include "wl_random.h"
#include "wl_test_quarantine.h"

/* What a restart of all nodes takes over, from a list made before it. */

enum
{
  UNSAVED_US = 5 * SECOND_US,
};

/* A quarantine after a restart, to which nobody has told anything yet. */
static WlQuarantine *
restart (WlQuarantine *q, uint64_t saved_us, uint64_t now_us)
{
  WlPartReport report;
  WlQuarantine *restarted = create_with_traffic ();
  wl_quarantine_save_report (q, saved_us, &report);
  wl_quarantine_restore (restarted, &report, UNSAVED_US, now_us);
  wl_quarantine_destroy (q);
  return restarted;
}

static void
tell_joined (WlQuarantine *from, WlQuarantine *to, uint64_t now_us)
{
  WlPartReport report;
  if (wl_quarantine_join_report (from, now_us, &report))
    wl_quarantine_apply (to, &report, now_us);
}

/* Guards against a customer whose harmful prompts have a part quarantined for others by a restart.
 */
START_TEST (a_verdict_on_one_customer_stays_one)
{
  WlQuarantine *q = create_with_traffic ();
  uint64_t now_us = start_us + 10 * SECOND_US;
  quarantine_bad (q, start_us);
  q = restart (q, start_us, now_us);
  ck_assert (refuses (q, BAD, 1, now_us));
  ck_assert (!refuses (q, BAD, 2, now_us));
  wl_quarantine_destroy (q);
}
END_TEST

/*
 * Guards against restarts that put the trial off without end: each comes just before the list is
 * made again, and the clock of the machine starts anew or has moved on by hours.
 */
START_TEST (restarts_do_not_put_the_trial_off)
{
  WlQuarantine *q = create_with_traffic ();
  uint64_t now_us = start_us;
  uint64_t ran_us = 0;
  quarantine_bad (q, now_us);
  while (check (q, BAD, 1, 1, now_us).verdict == WL_QUARANTINE_REFUSE)
    {
      uint64_t saved_us = now_us;
      ran_us += UNSAVED_US - 1;
      ck_assert_uint_le (ran_us, WL_QUARANTINE_TRIAL_MIN_US);
      now_us = ran_us % 2 == 0 ? 3 * SECOND_US : now_us + UINT64_C (5000) * SECOND_US;
      q = restart (q, saved_us, now_us);
    }
  ck_assert_uint_gt (ran_us, WL_QUARANTINE_TRIAL_MIN_US / 2);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a trial after each restart, which ends an endpoint each. */
START_TEST (the_wait_after_a_trial_outlasts_a_restart)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (BAD, 0, 0);
  WlPartUse use = use_of (&parts, 1);
  uint64_t now_us = start_us + WL_QUARANTINE_TRIAL_MIN_US;
  quarantine_bad (q, start_us);
  ck_assert_int_eq (check (q, BAD, 1, 1, now_us).verdict, WL_QUARANTINE_TRIAL);
  uint64_t revision = wl_quarantine_revision (q);
  wl_quarantine_begin_trial (q, &use, now_us);
  ck_assert_uint_ne (wl_quarantine_revision (q), revision); /* it is saved */
  for (int i = 0; i < 3; i++, now_us += SECOND_US)
    q = restart (q, now_us, now_us);
  WlQuarantineAnswer a = check (q, BAD, 1, 1, now_us);
  ck_assert_int_eq (a.verdict, WL_QUARANTINE_REFUSE);
  ck_assert_uint_gt (a.trial_us, 3 * (uint64_t)WL_QUARANTINE_TRIAL_MIN_US);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against ends that a restart forgets, or that condemn a part without a new one. */
START_TEST (restored_ends_count_together_with_a_new_one)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  end_endpoints (q, 1, 2, &parts, 1, start_us);
  q = restart (q, start_us + SECOND_US, start_us + 10 * SECOND_US);
  WlPartReport nothing = { 0 };
  wl_quarantine_apply (q, &nothing, start_us + 10 * SECOND_US);
  ck_assert_uint_eq (wl_quarantine_n_entries (q), 0);
  note_end (q, 3, &parts, 1, start_us + 11 * SECOND_US);
  ck_assert (refuses (q, BAD, 1, start_us + 11 * SECOND_US));
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against ends that all count as one since the machine has just started, after a power loss.
 */
START_TEST (ends_from_before_the_start_of_the_machine_count)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = 2 * SECOND_US;
  end_endpoints (q, 1, 2, &parts, 1, start_us);
  q = restart (q, start_us + 60 * SECOND_US, now_us);
  q = restart (q, now_us, now_us + SECOND_US);
  note_end (q, 3, &parts, 1, now_us + 2 * SECOND_US);
  ck_assert (refuses (q, BAD, 1, now_us + 2 * SECOND_US));
  wl_quarantine_destroy (q);
}
END_TEST

/* A node that joins after a restart of three, whose lists of the same @n ends differ in age. */
static WlQuarantine *
join_after_ends (uint64_t n, uint64_t now_us)
{
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  WlQuarantine *joined = create_with_traffic ();
  for (uint64_t i = 0; i < 3; i++)
    {
      WlQuarantine *q = create_with_traffic ();
      end_endpoints (q, 1, n, &parts, 1, start_us);
      q = restart (q, start_us + (1 + i * 3) * SECOND_US, now_us);
      tell_joined (q, joined, now_us);
      wl_quarantine_destroy (q);
    }
  return joined;
}

/*
 * Guards against one end that counts as several: for the part, or as ends for other reasons, of
 * which those under the part would be too few.
 */
START_TEST (a_restored_end_that_several_nodes_tell_of_counts_once)
{
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  uint64_t now_us = start_us + 20 * SECOND_US;
  for (uint64_t n = 1; n <= 2; n++)
    {
      WlQuarantine *joined = join_after_ends (n, now_us);
      for (uint64_t i = n; i < WL_QUARANTINE_ENDPOINTS; i++)
        {
          ck_assert_uint_eq (wl_quarantine_n_entries (joined), 0);
          note_end (joined, 1 + i, &parts, 1, now_us + i * SECOND_US);
        }
      ck_assert_uint_eq (wl_quarantine_n_entries (joined), 1);
      wl_quarantine_destroy (joined);
    }
}
END_TEST

/*
 * Guards against sound requests that are refused since a node was away while the part was released:
 * by its list the part was quarantined just now.
 */
START_TEST (a_part_that_is_sound_elsewhere_is_released)
{
  WlQuarantine *away = create_with_traffic ();
  WlQuarantine *running = create_with_traffic ();
  WlPromptParts parts = parts_of (BAD, 0, 0);
  uint64_t now_us = start_us + 300 * SECOND_US;
  quarantine_bad (away, start_us);
  tell_all (away, running, start_us);
  note_sound (running, &parts, start_us + SECOND_US);
  away = restart (away, start_us, now_us);
  ck_assert (refuses (away, BAD, 1, now_us));
  tell_joined (away, running, now_us);
  ck_assert_uint_eq (wl_quarantine_n_entries (running), 0);
  tell (running, away, now_us);
  ck_assert_uint_eq (wl_quarantine_n_entries (away), 0);
  wl_quarantine_destroy (away);
  wl_quarantine_destroy (running);
}
END_TEST

/* Guards against a bad part that is released because it was sound once, before it was bad. */
START_TEST (a_part_that_others_have_as_quarantined_stays_so)
{
  WlQuarantine *away = create_with_traffic ();
  WlQuarantine *running = create_with_traffic ();
  WlPromptParts parts = parts_of (BAD, 0, 0);
  uint64_t now_us = start_us + 300 * SECOND_US;
  note_sound (running, &parts, start_us - 20 * SECOND_US);
  quarantine_bad (away, start_us);
  tell_all (away, running, start_us);
  away = restart (away, start_us, now_us);
  tell_joined (away, running, now_us);
  tell_all (running, away, now_us);
  tell (running, away, now_us);
  ck_assert (refuses (running, BAD, 1, now_us));
  ck_assert (refuses (away, BAD, 1, now_us));
  ck_assert_uint_ge (check (away, BAD, 1, 0, now_us).age_us, 300 * (uint64_t)SECOND_US);
  wl_quarantine_destroy (away);
  wl_quarantine_destroy (running);
}
END_TEST

/* Guards against sound parts that old ends still speak against at a node that was away. */
START_TEST (a_restored_end_does_not_speak_against_a_part_that_is_sound_elsewhere)
{
  WlQuarantine *away = create_with_traffic ();
  WlQuarantine *running = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, MIDDLE, 0);
  uint64_t now_us = start_us + 300 * SECOND_US;
  end_endpoints (away, 1, 2, &parts, 1, start_us);
  note_sound (running, &parts, start_us + SECOND_US);
  away = restart (away, start_us + SECOND_US, now_us);
  tell_joined (away, running, now_us);
  tell (running, away, now_us);
  note_end (away, 3, &parts, 1, now_us + SECOND_US);
  note_end (running, 4, &parts, 1, now_us + SECOND_US);
  ck_assert_uint_eq (wl_quarantine_n_entries (away), 0);
  ck_assert_uint_eq (wl_quarantine_n_entries (running), 0);
  wl_quarantine_destroy (away);
  wl_quarantine_destroy (running);
}
END_TEST

/* Guards against callers who fill a disk: with bad parts without end, and many suspects each. */
START_TEST (the_size_of_what_is_kept_is_bounded)
{
  enum
  {
    ROUNDS = 200,
    KEPT_MAX_BYTES = 65536,
  };
  WlQuarantine *q = create_with_traffic ();
  WlMessage m = { .kind = WL_MESSAGE_PART_REPORT };
  apr_pool_t *pool;
  for (uint64_t i = 0; i < ROUNDS; i++)
    {
      WlQuarantinedPart part
          = { UINT64_MAX - i, SERVICE, UINT64_MAX, 3, 1000, SECOND_US, SECOND_US, 0, 0 };
      WlPartReport report = { .quarantined = &part, .n_quarantined = 1 };
      wl_quarantine_apply (q, &report, start_us + i * SECOND_US);
      for (uint64_t k = 0; k < WL_QUARANTINE_SUSPECTS_MAX; k++)
        {
          WlPromptParts parts = parts_of ((i + 1) << 40 | k, UINT64_MAX / 2 - k, 0);
          note_end (q, UINT64_MAX - i, &parts, UINT64_MAX, start_us + i * SECOND_US);
        }
    }
  wl_quarantine_save_report (q, start_us + ROUNDS * SECOND_US, &m.u.part_report);
  ck_assert_uint_eq (m.u.part_report.n_quarantined, WL_QUARANTINE_ENTRIES_MAX);
  ck_assert_uint_eq (m.u.part_report.n_ends, WL_QUARANTINE_ENDS_MAX);
  apr_pool_create (&pool, NULL);
  ck_assert_uint_le (wl_message_encode (&m, pool).size, KEPT_MAX_BYTES);
  apr_pool_destroy (pool);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a list that is made again and again while nothing changes but times. */
START_TEST (refusals_do_not_change_what_is_kept)
{
  WlQuarantine *q = create_with_traffic ();
  WlPromptParts parts = parts_of (SHARED, MIDDLE, 0);
  quarantine_bad (q, start_us);
  uint64_t revision = wl_quarantine_revision (q);
  for (uint64_t i = 0; i < 100; i++)
    {
      refuses (q, BAD, 1, start_us + i * 1000);
      note_request (q, &parts, start_us + i * 1000);
      note_sound (q, &parts, start_us + i * 1000);
    }
  ck_assert_uint_eq (wl_quarantine_revision (q), revision);
  wl_quarantine_destroy (q);
}
END_TEST

/* Guards against a file of another version or writer that breaks the quarantine's bounds. */
START_TEST (lists_with_any_values_are_safe)
{
  enum
  {
    ITEMS = 200,
  };
  static WlQuarantinedPart quarantined[ITEMS];
  static WlPartSuspect suspects[ITEMS];
  static WlPartEnd ends[ITEMS];
  static const uint64_t values[] = { 0, 1, 7, UINT64_MAX / 2, UINT64_MAX };
  uint64_t random = 5;
  for (int round = 0; round < 50; round++)
    {
      WlQuarantine *q = create_with_traffic ();
      for (uint32_t i = 0; i < ITEMS; i++)
        {
          uint64_t v[5];
          for (uint32_t k = 0; k < 5; k++)
            v[k] = values[wl_random_next (&random) % 5];
          quarantined[i] = (WlQuarantinedPart){ v[0], v[1], v[2], (uint32_t)v[3], (uint32_t)v[4],
                                                v[3], v[4], v[2], (uint8_t)v[1] };
          suspects[i] = (WlPartSuspect){ v[0], v[1], v[2] };
          ends[i] = (WlPartEnd){ v[0] ^ i, v[1], suspects, (uint32_t)(v[2] % ITEMS), 1 };
        }
      WlPartReport report
          = { .ends = ends, .n_ends = ITEMS, .quarantined = quarantined, .n_quarantined = ITEMS };
      wl_quarantine_restore (q, &report, UNSAVED_US, start_us);
      ck_assert_uint_le (wl_quarantine_n_entries (q), WL_QUARANTINE_ENTRIES_MAX);
      uint64_t now_us = start_us + WL_QUARANTINE_WINDOW_US + SECOND_US;
      quarantine_bad (q, now_us);
      q = restart (q, now_us, 1);
      wl_quarantine_destroy (q);
    }
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_verdict_on_one_customer_stays_one),
    WL_TEST (restarts_do_not_put_the_trial_off),
    WL_TEST (the_wait_after_a_trial_outlasts_a_restart),
    WL_TEST (restored_ends_count_together_with_a_new_one),
    WL_TEST (ends_from_before_the_start_of_the_machine_count),
    WL_TEST (a_restored_end_that_several_nodes_tell_of_counts_once),
    WL_TEST (a_part_that_is_sound_elsewhere_is_released),
    WL_TEST (a_part_that_others_have_as_quarantined_stays_so),
    WL_TEST (a_restored_end_does_not_speak_against_a_part_that_is_sound_elsewhere),
    WL_TEST (the_size_of_what_is_kept_is_bounded),
    WL_TEST (refusals_do_not_change_what_is_kept),
    WL_TEST (lists_with_any_values_are_safe),
  };
  apr_initialize ();
  return wl_test_run ("quarantine_restore", tests, sizeof tests / sizeof tests[0]);
}
