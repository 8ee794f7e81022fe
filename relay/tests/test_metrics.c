#include <string.h>
#include "wl_metrics.h"
#include "wl_test.h"

/* Prometheus requires cumulative buckets, the last of which counts everything. */
START_TEST (histograms_are_cumulative_and_end_with_all)
{
  WlMetrics m = { 0 };
  WlBuffer out = { 0 };
  static const uint8_t zero = 0;
  wl_histogram_add (&m.waiting, 1000);
  wl_histogram_add (&m.waiting, 3000);
  wl_histogram_add (&m.waiting, 3600000000ULL);
  wl_metrics_write (&m, &out);
  wl_buffer_append (&out, (WlBytes){ &zero, 1 });
  const char *text = (const char *)wl_buffer_bytes (&out).data;
  ck_assert_ptr_nonnull (strstr (text, "wisterialoft_waiting_ms_bucket{le=\"2\"} 1\n"));
  ck_assert_ptr_nonnull (strstr (text, "wisterialoft_waiting_ms_bucket{le=\"4\"} 2\n"));
  ck_assert_ptr_nonnull (strstr (text, "wisterialoft_waiting_ms_bucket{le=\"65536\"} 2\n"));
  ck_assert_ptr_nonnull (strstr (text, "wisterialoft_waiting_ms_bucket{le=\"+Inf\"} 3\n"));
  wl_buffer_clear (&out);
}
END_TEST

START_TEST (names_of_reasons_are_unique)
{
  for (int i = 0; i < WL_REASONS; i++)
    for (int j = 0; j < i; j++)
      ck_assert_str_ne (wl_reason_name ((WlReason)i), wl_reason_name ((WlReason)j));
  ck_assert_str_eq (wl_reason_name (WL_REASONS), "?");
}
END_TEST

START_TEST (prompts_are_classified_by_size)
{
  ck_assert_int_eq (wl_metrics_prompt_class (0), WL_PROMPT_NONE);
  ck_assert_int_eq (wl_metrics_prompt_class (8191), WL_PROMPT_SHORT);
  ck_assert_int_eq (wl_metrics_prompt_class (8192), WL_PROMPT_MEDIUM);
  ck_assert_int_eq (wl_metrics_prompt_class (131072), WL_PROMPT_HUGE);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (histograms_are_cumulative_and_end_with_all),
    WL_TEST (names_of_reasons_are_unique),
    WL_TEST (prompts_are_classified_by_size),
  };
  return wl_test_run ("metrics", tests, sizeof tests / sizeof tests[0]);
}
