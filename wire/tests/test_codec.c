#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include "wl_test.h"
#include "wl_message.h"

/* Encoding of messages, and decoding of bytes that are damaged or of an unknown kind. */

static apr_pool_t *pool;

static WlMessage
sample_append (void)
{
  static WlLogEntry entries[2];
  entries[0] = (WlLogEntry){ 3, 7, { (const uint8_t *)"abc", 3 } };
  entries[1] = (WlLogEntry){ 3, 8, { NULL, 0 } };
  WlMessage m = { .kind = WL_MESSAGE_APPEND_REQUEST };
  m.u.append = (WlAppendRequest){ .term = 3, .leader = 2, .round = 9, .prev_index = 6 };
  m.u.append.entries = entries;
  m.u.append.n_entries = 2;
  return m;
}

START_TEST (append_request_round_trips)
{
  WlMessage m = sample_append ();
  WlMessage out;
  ck_assert_int_eq (wl_message_decode (wl_message_encode (&m, pool), &out, pool), WL_OK);
  ck_assert_uint_eq (out.u.append.n_entries, 2);
  ck_assert_uint_eq (out.u.append.entries[0].index, 7);
  ck_assert_mem_eq (out.u.append.entries[0].command.data, "abc", 3);
  ck_assert_uint_eq (out.u.append.round, 9);
}
END_TEST

START_TEST (embedded_struct_round_trips)
{
  WlMessage m = { .kind = WL_MESSAGE_CLAIM };
  WlMessage out;
  strcpy (m.u.claim.record.customer, "kiosk");
  strcpy (m.u.claim.record.key, "k1");
  m.u.claim.record.request = 77;
  ck_assert_int_eq (wl_message_decode (wl_message_encode (&m, pool), &out, pool), WL_OK);
  ck_assert_str_eq (out.u.claim.record.customer, "kiosk");
  ck_assert_uint_eq (out.u.claim.record.request, 77);
}
END_TEST

/*
 * Guards against a decoder that crashes on a damaged message: every turn changes a
 * random byte, and every other turn also truncates the message.
 */
START_TEST (damaged_bytes_do_not_crash_the_decoder)
{
  WlMessage m = sample_append ();
  WlBytes b = wl_message_encode (&m, pool);
  uint64_t random = 1;
  for (int i = 0; i < 20000; i++)
    {
      uint8_t *copy = apr_pmemdup (pool, b.data, b.size);
      random = random * 6364136223846793005ULL + 1442695040888963407ULL;
      copy[(random >> 33) % b.size] = (uint8_t)(random >> 20);
      WlMessage out;
      uint32_t size = (uint32_t)((random >> 13) % (b.size + 1));
      wl_message_decode ((WlBytes){ copy, i % 2 ? b.size : size }, &out, pool);
      if (i % 1000 == 999)
        apr_pool_clear (pool);
      if (i % 1000 == 999)
        b = wl_message_encode (&m, pool);
    }
}
END_TEST

START_TEST (unknown_kinds_are_rejected)
{
  WlMessage m = { .kind = WL_MESSAGE_NOT_LEADER };
  WlBytes b = wl_message_encode (&m, pool);
  uint8_t *copy = apr_pmemdup (pool, b.data, b.size);
  copy[1] = 0xcc; /* the kind is now encoded in two bytes and out of range */
  WlMessage out;
  ck_assert_int_eq (wl_message_decode ((WlBytes){ copy, b.size }, &out, pool), WL_ERROR_INVALID);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  apr_pool_create (&pool, NULL);
  const WlTest tests[] = {
    WL_TEST (append_request_round_trips),
    WL_TEST (embedded_struct_round_trips),
    WL_TEST (damaged_bytes_do_not_crash_the_decoder),
    WL_TEST (unknown_kinds_are_rejected),
  };
  return wl_test_run ("codec", tests, sizeof tests / sizeof tests[0]);
}
