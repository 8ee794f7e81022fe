#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_delta.h"
#include "wl_random.h"
#include "wl_test.h"

/* Deltas between configurations: their size depends on the edits; damaged ones are rejected. */

enum
{
  LINES = 6000,
  LINE_BYTES = 64,
  DELTA_MAX_BYTES = 2048, /* of a delta with a handful of edits */
};

static apr_pool_t *pool;

/* A configuration of LINES lines; every @stride-th line contains @mark. A stride of 0 marks none.
 */
static WlBytes
make_config (uint32_t stride, uint64_t mark)
{
  char *config = apr_palloc (pool, LINES * LINE_BYTES);
  size_t n = 0;
  for (uint64_t i = 0; i < LINES; i++)
    {
      uint64_t seed = i;
      n += (size_t)snprintf (config + n, LINE_BYTES, "%016lx %lu\n",
                             (unsigned long)wl_random_next (&seed),
                             (unsigned long)(stride > 0 && i % stride == 0 ? mark : 0));
    }
  return (WlBytes){ (const uint8_t *)config, (uint32_t)n };
}

static int
are_equal (WlBytes a, WlBytes b)
{
  return a.size == b.size && memcmp (a.data, b.data, a.size) == 0;
}

/* Guards against a delta of nearly the full configuration when edits lie far apart. */
START_TEST (edits_at_both_ends_make_a_small_delta)
{
  WlConfigChange c = { 0 };
  WlBytes out;
  WlBytes before = make_config (0, 0);
  WlBytes after = make_config (LINES / 4, 12345);
  wl_delta_make (before, after, pool, &c);
  ck_assert_uint_gt (before.size, 100000);
  ck_assert_uint_le (c.middle.size, DELTA_MAX_BYTES);
  ck_assert_int_eq (wl_delta_apply (before, &c, pool, &out), WL_OK);
  ck_assert (are_equal (out, after));
}
END_TEST

START_TEST (a_change_is_reverted_with_its_removed_bytes)
{
  WlBytes before = make_config (0, 0);
  for (uint32_t stride = 1; stride < LINES; stride *= 7)
    {
      WlConfigChange c = { 0 };
      WlBytes after = make_config (stride, 7);
      WlBytes out;
      wl_delta_make (before, after, pool, &c);
      wl_delta_record_removed (before, after, pool, &c);
      ck_assert_int_eq (wl_delta_apply (before, &c, pool, &out), WL_OK);
      ck_assert (are_equal (out, after));
      ck_assert_int_eq (wl_delta_revert (after, &c, pool, &out), WL_OK);
      ck_assert (are_equal (out, before));
    }
}
END_TEST

START_TEST (a_delta_applies_only_to_its_own_base)
{
  WlConfigChange c = { 0 };
  WlBytes out;
  wl_delta_make (make_config (0, 0), make_config (LINES / 4, 12345), pool, &c);
  ck_assert_int_eq (wl_delta_apply (make_config (3, 9), &c, pool, &out), WL_ERROR_INVALID);
  ck_assert_int_eq (wl_delta_apply ((WlBytes){ NULL, 0 }, &c, pool, &out), WL_ERROR_INVALID);
}
END_TEST

START_TEST (damaged_compressed_bytes_are_refused)
{
  WlBytes config = make_config (0, 0);
  WlBytes compressed = wl_config_compress (config, pool);
  WlBytes out;
  uint64_t random = 5;
  ck_assert_int_eq (wl_config_decompress (compressed, pool, &out), WL_OK);
  ck_assert (are_equal (out, config));
  for (uint32_t size = 0; size < compressed.size; size += 997)
    ck_assert_int_eq (wl_config_decompress ((WlBytes){ compressed.data, size }, pool, &out),
                      WL_ERROR_INVALID);
  for (int i = 0; i < 200; i++)
    {
      uint8_t *bad = apr_pmemdup (pool, compressed.data, compressed.size);
      bad[wl_random_next (&random) % compressed.size]
          ^= (uint8_t)(1 + wl_random_next (&random) % 255);
      if (wl_config_decompress ((WlBytes){ bad, compressed.size }, pool, &out) == WL_OK)
        ck_assert_uint_le (out.size, WL_DELTA_CONFIG_BYTES);
    }
}
END_TEST

/* Guards against a small message that decompresses to more memory than a node has. */
START_TEST (a_configuration_above_the_limit_is_not_decompressed)
{
  uint8_t *zeros = apr_pcalloc (pool, WL_DELTA_CONFIG_BYTES + 1);
  WlBytes compressed = wl_config_compress ((WlBytes){ zeros, WL_DELTA_CONFIG_BYTES + 1 }, pool);
  WlBytes out;
  ck_assert_uint_le (compressed.size, 1024);
  ck_assert_int_eq (wl_config_decompress (compressed, pool, &out), WL_ERROR_INVALID);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (edits_at_both_ends_make_a_small_delta),
    WL_TEST (a_change_is_reverted_with_its_removed_bytes),
    WL_TEST (a_delta_applies_only_to_its_own_base),
    WL_TEST (damaged_compressed_bytes_are_refused),
    WL_TEST (a_configuration_above_the_limit_is_not_decompressed),
  };
  apr_initialize ();
  apr_pool_create (&pool, NULL);
  return wl_test_run ("delta", tests, sizeof tests / sizeof tests[0]);
}
