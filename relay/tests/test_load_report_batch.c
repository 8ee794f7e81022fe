#include "wl_test.h"
#include "wl_load_report_batch.h"

/*
 * Load reports that are forwarded between failure domains: merging them must not
 * change their order, or an item that has ended would seem to be in progress.
 */

static WlLoadReport
load_report (uint64_t boot, WlWorkItem *items, uint32_t n_items)
{
  return (WlLoadReport){ .boot = boot, .items = items, .n_items = n_items };
}

START_TEST (consecutive_reports_of_one_node_are_merged)
{
  static WlLoadReportBatch batch;
  WlWorkItem items[] = { { .id = 1 }, { .id = 2 }, { .id = 3 } };
  WlLoadReport first = load_report (9, items, 1);
  WlLoadReport second = load_report (9, &items[1], 2);
  wl_load_report_batch_add (&batch, 5, &first, 100);
  wl_load_report_batch_add (&batch, 5, &second, 110);
  ck_assert_uint_eq (batch.n_reports, 1);
  ck_assert_uint_eq (batch.reports[0].n_items, 3);
  ck_assert_uint_eq (batch.reports[0].items[2].id, 3);
  wl_load_report_batch_clear (&batch);
}
END_TEST

START_TEST (the_order_of_nodes_restarts_and_full_reports_is_kept)
{
  static WlLoadReportBatch batch;
  WlWorkItem item = { .id = 1 };
  WlLoadReport before = load_report (9, &item, 1);
  WlLoadReport after = load_report (10, &item, 1);
  WlLoadReport full = load_report (10, NULL, 0);
  full.is_full = 1;
  wl_load_report_batch_add (&batch, 5, &before, 100);
  wl_load_report_batch_add (&batch, 6, &before, 100);
  wl_load_report_batch_add (&batch, 5, &before, 100);
  wl_load_report_batch_add (&batch, 5, &after, 100);
  wl_load_report_batch_add (&batch, 5, &full, 100);
  wl_load_report_batch_add (&batch, 5, &after, 100);
  ck_assert_uint_eq (batch.n_reports, 6);
  ck_assert_uint_eq (batch.reports[4].is_full, 1);
  wl_load_report_batch_clear (&batch);
}
END_TEST

START_TEST (the_oldest_report_decides_when_a_batch_is_due)
{
  static WlLoadReportBatch batch;
  WlWorkItem item = { .id = 1 };
  WlLoadReport w = load_report (9, &item, 1);
  ck_assert (!wl_load_report_batch_is_due (&batch, 50, 1000));
  wl_load_report_batch_add (&batch, 5, &w, 100);
  wl_load_report_batch_add (&batch, 6, &w, 140);
  ck_assert (!wl_load_report_batch_is_due (&batch, 50, 149));
  ck_assert (wl_load_report_batch_is_due (&batch, 50, 150));
  wl_load_report_batch_clear (&batch);
  ck_assert (!wl_load_report_batch_is_due (&batch, 50, 1000));
}
END_TEST

START_TEST (a_batch_that_is_not_sent_is_bounded)
{
  static WlLoadReportBatch batch;
  WlWorkItem item = { .id = 1 };
  WlLoadReport w = load_report (9, &item, 1);
  for (uint32_t i = 0; i < WL_LOAD_REPORT_BATCH_MAX; i++)
    ck_assert (wl_load_report_batch_add (&batch, 1 + i, &w, 100));
  ck_assert (!wl_load_report_batch_add (&batch, 1, &w, 100));
  wl_load_report_batch_clear (&batch);
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
