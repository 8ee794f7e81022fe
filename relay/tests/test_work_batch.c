#include "wl_test.h"
#include "wl_work_batch.h"

/* Notes of several nodes on their way between failure domains. */

static WlWork
work (uint64_t boot, WlWorkNote *notes, uint32_t n_notes)
{
  return (WlWork){ .boot = boot, .notes = notes, .n_notes = n_notes };
}

START_TEST (notes_of_one_node_in_a_row_travel_as_one_work)
{
  static WlWorkBatch batch;
  WlWorkNote notes[] = { { .work = 1 }, { .work = 2 }, { .work = 3 } };
  WlWork first = work (9, notes, 1);
  WlWork second = work (9, &notes[1], 2);
  wl_work_batch_add (&batch, 5, &first, 100);
  wl_work_batch_add (&batch, 5, &second, 110);
  ck_assert_uint_eq (batch.n_works, 1);
  ck_assert_uint_eq (batch.works[0].n_notes, 3);
  ck_assert_uint_eq (batch.works[0].notes[2].work, 3);
  wl_work_batch_clear (&batch);
}
END_TEST

START_TEST (order_between_nodes_restarts_and_whole_lists_is_kept)
{
  static WlWorkBatch batch;
  WlWorkNote note = { .work = 1 };
  WlWork before = work (9, &note, 1);
  WlWork after = work (10, &note, 1);
  WlWork whole = work (10, NULL, 0);
  whole.is_whole = 1;
  wl_work_batch_add (&batch, 5, &before, 100);
  wl_work_batch_add (&batch, 6, &before, 100);
  wl_work_batch_add (&batch, 5, &before, 100);
  wl_work_batch_add (&batch, 5, &after, 100);
  wl_work_batch_add (&batch, 5, &whole, 100);
  wl_work_batch_add (&batch, 5, &after, 100);
  ck_assert_uint_eq (batch.n_works, 6);
  ck_assert_uint_eq (batch.works[4].is_whole, 1);
  wl_work_batch_clear (&batch);
}
END_TEST

START_TEST (the_oldest_note_decides_when_a_batch_is_due)
{
  static WlWorkBatch batch;
  WlWorkNote note = { .work = 1 };
  WlWork w = work (9, &note, 1);
  ck_assert (!wl_work_batch_is_due (&batch, 50, 1000));
  wl_work_batch_add (&batch, 5, &w, 100);
  wl_work_batch_add (&batch, 6, &w, 140);
  ck_assert (!wl_work_batch_is_due (&batch, 50, 149));
  ck_assert (wl_work_batch_is_due (&batch, 50, 150));
  wl_work_batch_clear (&batch);
  ck_assert (!wl_work_batch_is_due (&batch, 50, 1000));
}
END_TEST

START_TEST (a_batch_that_nobody_takes_is_bounded)
{
  static WlWorkBatch batch;
  WlWorkNote note = { .work = 1 };
  WlWork w = work (9, &note, 1);
  for (uint32_t i = 0; i < WL_WORK_BATCH_WORKS_MAX; i++)
    ck_assert (wl_work_batch_add (&batch, 1 + i, &w, 100));
  ck_assert (!wl_work_batch_add (&batch, 1, &w, 100));
  wl_work_batch_clear (&batch);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (notes_of_one_node_in_a_row_travel_as_one_work),
    WL_TEST (order_between_nodes_restarts_and_whole_lists_is_kept),
    WL_TEST (the_oldest_note_decides_when_a_batch_is_due),
    WL_TEST (a_batch_that_nobody_takes_is_bounded),
  };
  return wl_test_run ("work_batch", tests, sizeof tests / sizeof tests[0]);
}
