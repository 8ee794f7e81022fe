#include "wl_sample_engine.h"
#include "wl_test.h"

/* The engine model: prefill of 206,000 tokens a second, 0.138 ms for a million attention pairs. */

START_TEST (prefill_time_counts_tokens_and_attention_pairs)
{
  ck_assert_uint_eq (wl_forecast_prefill_us (&wl_sample_engines.engine, 0), 0);
  /* 133,000 tokens: 645.6 ms and 8,844.5 million pairs at 0.138 ms. */
  uint64_t us = wl_forecast_prefill_us (&wl_sample_engines.engine, 133000);
  ck_assert_uint_ge (us, 1860000);
  ck_assert_uint_le (us, 1872000);
}
END_TEST

START_TEST (an_iteration_prefills_no_more_tokens_than_its_steps_allow)
{
  uint64_t steps_us = wl_forecast_iteration_us (&wl_sample_engines.engine, 4, 20000, 0, 0);
  ck_assert_uint_eq (steps_us, wl_forecast_step_us (&wl_sample_engines.engine, 4, 20000) * 43);
  uint64_t capacity = 2048 * 43;
  ck_assert_uint_eq (
      wl_forecast_iteration_us (&wl_sample_engines.engine, 4, 20000, capacity, 500000),
      steps_us + 500000);
  ck_assert_uint_eq (
      wl_forecast_iteration_us (&wl_sample_engines.engine, 4, 20000, 2 * capacity, 1000000),
      steps_us + 500000);
}
END_TEST

START_TEST (beside_decoding_requests_the_first_token_waits_for_iterations)
{
  uint64_t alone_us = wl_forecast_ttft_us (&wl_sample_engines.engine, 0, 0, 5000, 26000);
  uint64_t beside_us = wl_forecast_ttft_us (&wl_sample_engines.engine, 8, 50000, 5000, 26000);
  uint64_t pass_us = wl_forecast_step_us (&wl_sample_engines.engine, 9, 50000) * 43;
  ck_assert_uint_eq (alone_us, 26000 + wl_forecast_step_us (&wl_sample_engines.engine, 1, 0));
  ck_assert_uint_eq (beside_us, 26000 + pass_us + pass_us / 2);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (prefill_time_counts_tokens_and_attention_pairs),
    WL_TEST (an_iteration_prefills_no_more_tokens_than_its_steps_allow),
    WL_TEST (beside_decoding_requests_the_first_token_waits_for_iterations),
  };
  return wl_test_run ("forecast", tests, sizeof tests / sizeof tests[0]);
}
