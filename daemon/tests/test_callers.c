#include "wl_callers.h"
#include "wl_test.h"

/* What callers set in the fields of their requests. */

static WlRequestEvent
read_time_limit (const char *text)
{
  WlRequestEvent event = { .time_limit_us = 7 };
  wl_callers_read_time_limit (text, &event);
  return event;
}

START_TEST (a_time_limit_is_read_in_milliseconds)
{
  WlRequestEvent event = read_time_limit ("1500");
  ck_assert_int_eq (event.has_time_limit, 1);
  ck_assert_uint_eq (event.time_limit_us, 1500000);
}
END_TEST

/* Guards against a time limit of 0 that counts as none, and one below 0 that counts as very long.
 */
START_TEST (no_time_left_is_not_taken_for_no_limit)
{
  static const char *const texts[] = { "0", "-1", "-99999999999999999999" };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      WlRequestEvent event = read_time_limit (texts[i]);
      ck_assert_int_eq (event.has_time_limit, 1);
      ck_assert_uint_eq (event.time_limit_us, 0);
    }
}
END_TEST

/* Guards against one that overflows and ends a request at once. */
START_TEST (a_time_limit_of_any_size_is_long)
{
  static const char *const texts[] = { "1000000001", "18446744073709552", "99999999999999999999" };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    ck_assert_uint_eq (read_time_limit (texts[i]).time_limit_us, 1000000000000);
}
END_TEST

START_TEST (what_is_no_number_is_no_limit)
{
  ck_assert_int_eq (read_time_limit ("").has_time_limit, 0);
  ck_assert_int_eq (read_time_limit ("soon").has_time_limit, 0);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_time_limit_is_read_in_milliseconds),
    WL_TEST (no_time_left_is_not_taken_for_no_limit),
    WL_TEST (a_time_limit_of_any_size_is_long),
    WL_TEST (what_is_no_number_is_no_limit),
  };
  return wl_test_run ("callers", tests, sizeof tests / sizeof tests[0]);
}
