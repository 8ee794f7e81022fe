#include <string.h>
#include <apr_general.h>
#include "wl_recent_changes.h"
#include "wl_test.h"

/* The latest changes of the configuration: bounded in number and bytes, without gaps. */

static uint8_t bytes[WL_RECENT_CHANGES_BYTES];

static void
add (WlRecentChanges *r, uint64_t number, uint32_t size)
{
  WlConfigChange c = { .replaces = number - 1, .number = number, .middle = { bytes, size } };
  wl_recent_changes_add (r, &c);
}

START_TEST (changes_are_found_by_number)
{
  static WlRecentChanges r;
  for (uint64_t n = 1; n <= 3; n++)
    add (&r, n, 10);
  ck_assert_uint_eq (wl_recent_changes_find (&r, 2)->number, 2);
  ck_assert_ptr_null (wl_recent_changes_find (&r, 0));
  ck_assert_ptr_null (wl_recent_changes_find (&r, 4));
  ck_assert_int_eq (wl_recent_changes_cover (&r, 0, 3), 1);
  ck_assert_int_eq (wl_recent_changes_cover (&r, 3, 3), 0);
  wl_recent_changes_clear (&r);
  ck_assert_int_eq (wl_recent_changes_cover (&r, 0, 3), 0);
}
END_TEST

/*
 * Guards against changes that are bounded in number only: 128 changes of a large
 * configuration take 70 MB.
 */
START_TEST (large_changes_evict_older_ones)
{
  static WlRecentChanges r;
  for (uint64_t n = 1; n <= 10; n++)
    {
      add (&r, n, WL_RECENT_CHANGES_BYTES / 4);
      ck_assert_uint_le (r.bytes, WL_RECENT_CHANGES_BYTES);
    }
  ck_assert_int_eq (wl_recent_changes_cover (&r, 6, 10), 1);
  ck_assert_int_eq (wl_recent_changes_cover (&r, 5, 10), 0);
  wl_recent_changes_clear (&r);
}
END_TEST

START_TEST (changes_before_a_gap_are_dropped)
{
  static WlRecentChanges r;
  add (&r, 1, 10);
  add (&r, 2, 10);
  add (&r, 5, 10);
  ck_assert_ptr_null (wl_recent_changes_find (&r, 2));
  ck_assert_int_eq (wl_recent_changes_cover (&r, 4, 5), 1);
  ck_assert_uint_eq (r.bytes, 10);
  wl_recent_changes_clear (&r);
}
END_TEST

START_TEST (the_number_of_small_changes_is_bounded)
{
  static WlRecentChanges r;
  for (uint64_t n = 1; n <= 3 * WL_RECENT_CHANGES_MAX; n++)
    add (&r, n, 10);
  ck_assert_uint_eq (r.bytes, 10 * WL_RECENT_CHANGES_MAX);
  ck_assert_int_eq (
      wl_recent_changes_cover (&r, 2 * WL_RECENT_CHANGES_MAX, 3 * WL_RECENT_CHANGES_MAX), 1);
  ck_assert_int_eq (
      wl_recent_changes_cover (&r, 2 * WL_RECENT_CHANGES_MAX - 1, 3 * WL_RECENT_CHANGES_MAX), 0);
  wl_recent_changes_clear (&r);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (changes_are_found_by_number),
    WL_TEST (large_changes_evict_older_ones),
    WL_TEST (changes_before_a_gap_are_dropped),
    WL_TEST (the_number_of_small_changes_is_bounded),
  };
  apr_initialize ();
  return wl_test_run ("recent", tests, sizeof tests / sizeof tests[0]);
}
