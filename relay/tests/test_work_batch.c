#include "wl_test.h"
#include "wl_work_batch.h"

/*
 * Load reports that are forwarded between failure domains: merging them must not
 * change their order, or an item that has ended would seem to be in progress.
 */

static WlWork
load_report (uint64_t boot, WlWorkNote *items, uint32_t n_items)
{
  return (WlWork){ .boot = boot, .notes = items, .n_notes = n_items };
}

START_TEST (consecutive_reports_of_one_node_are_merged)
{
  static WlWorkBatch batch;
  WlWorkNote items[] = { { .work = 1 }, { .work = 2 }, { .work = 3 } };
  WlWork first = load_report (9, items, 1);
  WlWork second = load_report (9, &items[1], 2);
  wl_work_batch_add (&batch, 5, &first, 100);
  wl_work_batch_add (&batch, 5, &second, 110);
  ck_assert_uint_eq (batch.n_works, 1);
  ck_assert_uint_eq (batch.works[0].n_notes, 3);
  ck_assert_uint_eq (batch.works[0].notes[2].work, 3);
  wl_work_batch_clear (&batch);
}
END_TEST

START_TEST (the_order_of_nodes_restarts_and_full_reports_is_kept)
{
  static WlWorkBatch batch;
  WlWorkNote item = { .work = 1 };
  WlWork before = load_report (9, &item, 1);
  WlWork after = load_report (10, &item, 1);
  WlWork full = load_report (10, NULL, 0);
  full.is_whole = 1;
  wl_work_batch_add (&batch, 5, &before, 100);
  wl_work_batch_add (&batch, 6, &before, 100);
  wl_work_batch_add (&batch, 5, &before, 100);
  wl_work_batch_add (&batch, 5, &after, 100);
  wl_work_batch_add (&batch, 5, &full, 100);
  wl_work_batch_add (&batch, 5, &after, 100);
  ck_assert_uint_eq (batch.n_works, 6);
  ck_assert_uint_eq (batch.works[4].is_whole, 1);
  wl_work_batch_clear (&batch);
}
END_TEST

START_TEST (the_oldest_report_decides_when_a_batch_is_due)
{
  static WlWorkBatch batch;
  WlWorkNote item = { .work = 1 };
  WlWork w = load_report (9, &item, 1);
  ck_assert (!wl_work_batch_is_due (&batch, 50, 1000));
  wl_work_batch_add (&batch, 5, &w, 100);
  wl_work_batch_add (&batch, 6, &w, 140);
  ck_assert (!wl_work_batch_is_due (&batch, 50, 149));
  ck_assert (wl_work_batch_is_due (&batch, 50, 150));
  wl_work_batch_clear (&batch);
  ck_assert (!wl_work_batch_is_due (&batch, 50, 1000));
}
END_TEST

START_TEST (a_batch_that_is_not_sent_is_bounded)
{
  static WlWorkBatch batch;
  WlWorkNote item = { .work = 1 };
  WlWork w = load_report (9, &item, 1);
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
    WL_TEST (consecutive_reports_of_one_node_are_merged),
    WL_TEST (the_order_of_nodes_restarts_and_full_reports_is_kept),
    WL_TEST (the_oldest_report_decides_when_a_batch_is_due),
    WL_TEST (a_batch_that_is_not_sent_is_bounded),
  };
  return wl_test_run ("work_batch", tests, sizeof tests / sizeof tests[0]);
}
