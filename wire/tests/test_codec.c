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

/* An end with @n_suspects of one customer's requests, all ids of 64 bits. */
static WlMessage
sample_part_report (WlPartEnd *end, WlPartSuspect *suspects, uint32_t n_suspects)
{
  WlMessage m = { .kind = WL_MESSAGE_PART_REPORT };
  for (uint32_t i = 0; i < n_suspects; i++)
    suspects[i] = (WlPartSuspect){ UINT64_MAX - i, UINT64_MAX - 10, UINT64_MAX - 20 };
  *end = (WlPartEnd){ .endpoint = UINT64_MAX, .age_us = 1200, .suspects = suspects };
  end->n_suspects = n_suspects;
  end->is_restored = 1;
  m.u.part_report.ends = end;
  m.u.part_report.n_ends = 1;
  return m;
}

START_TEST (part_report_round_trips)
{
  WlPartSuspect suspects[2];
  WlPartEnd end;
  WlSoundPart sound = { 5, 6, 7 };
  static WlQuarantinedPart part = { 11, 12, 13, 14, 15, 16, 17, 18, 1 }; /* its padding is 0 */
  WlMessage m = sample_part_report (&end, suspects, 2);
  WlMessage out;
  m.u.part_report.sound = &sound;
  m.u.part_report.n_sound = 1;
  m.u.part_report.quarantined = &part;
  m.u.part_report.n_quarantined = 1;
  ck_assert_int_eq (wl_message_decode (wl_message_encode (&m, pool), &out, pool), WL_OK);
  const WlPartReport *r = &out.u.part_report;
  ck_assert_uint_eq (r->n_ends, 1);
  ck_assert_uint_eq (r->ends[0].endpoint, UINT64_MAX);
  ck_assert_uint_eq (r->ends[0].age_us, 1200);
  ck_assert_uint_eq (r->ends[0].n_suspects, 2);
  ck_assert_mem_eq (r->ends[0].suspects, suspects, sizeof suspects);
  ck_assert_uint_eq (r->ends[0].is_restored, 1);
  ck_assert_uint_eq (r->n_sound, 1);
  ck_assert_mem_eq (r->sound, &sound, sizeof sound);
  ck_assert_uint_eq (r->n_quarantined, 1);
  ck_assert_mem_eq (r->quarantined, &part, sizeof part);
}
END_TEST

/* Guards against reports of ends that cost the nodes' connections more than the requests do. */
START_TEST (an_end_of_an_endpoint_is_told_in_few_bytes)
{
  WlPartSuspect suspects[3];
  WlPartEnd end;
  WlQuarantinedPart part
      = { UINT64_MAX, UINT64_MAX, UINT64_MAX, 3, 1, 90000000, 30000000, 200000, 1 };
  WlMessage m = sample_part_report (&end, suspects, 3);
  ck_assert_uint_lt (wl_message_encode (&m, pool).size, 150);
  m.u.part_report = (WlPartReport){ .quarantined = &part, .n_quarantined = 1 };
  ck_assert_uint_lt (wl_message_encode (&m, pool).size, 75);
}
END_TEST

/* Guards against a field of a limit or permit that is not sent, and against large messages. */
START_TEST (limits_and_permits_round_trip_in_few_bytes)
{
  WlLimitWord word = { UINT64_MAX, 1800000000000, 1, 2700, 200000, 1000 };
  WlEndpointKey excluded[] = { { UINT64_MAX }, { 3 } };
  WlPermitAsk ask = { UINT64_MAX - 1, UINT64_MAX - 2, UINT64_MAX - 3, 2500000, excluded, 2 };
  WlPermitAnswer answer = { UINT64_MAX - 4, UINT64_MAX - 5, 1500000, 700000 };
  WlPermitReturn returned = { UINT64_MAX - 6, UINT64_MAX - 7, UINT64_MAX - 8, UINT64_MAX - 9 };
  WlMessage m = { .kind = WL_MESSAGE_LIMIT_REPORT }, out;
  m.u.limit_report = (WlLimitReport){ .words = &word, .n_words = 1 };
  ck_assert_uint_le (wl_message_encode (&m, pool).size, 60);
  ck_assert_int_eq (wl_message_decode (wl_message_encode (&m, pool), &out, pool), WL_OK);
  ck_assert_uint_eq (out.u.limit_report.n_words, 1);
  ck_assert_uint_eq (out.u.limit_report.words->endpoint, word.endpoint);
  ck_assert_uint_eq (out.u.limit_report.words->started_ms, word.started_ms);
  ck_assert_uint_eq (out.u.limit_report.words->has_ended, 1);
  ck_assert_uint_eq (out.u.limit_report.words->rate, word.rate);
  ck_assert_uint_eq (out.u.limit_report.words->sent_age_us, word.sent_age_us);
  ck_assert_uint_eq (out.u.limit_report.words->heard_age_us, word.heard_age_us);
  m = (WlMessage){ .kind = WL_MESSAGE_PERMIT_ASK };
  m.u.permit_ask = ask;
  ck_assert_uint_le (wl_message_encode (&m, pool).size, 60);
  ck_assert_int_eq (wl_message_decode (wl_message_encode (&m, pool), &out, pool), WL_OK);
  ck_assert_uint_eq (out.u.permit_ask.id, ask.id);
  ck_assert_uint_eq (out.u.permit_ask.service, ask.service);
  ck_assert_uint_eq (out.u.permit_ask.customer, ask.customer);
  ck_assert_uint_eq (out.u.permit_ask.max_wait_us, ask.max_wait_us);
  ck_assert_uint_eq (out.u.permit_ask.n_excluded, 2);
  ck_assert_mem_eq (out.u.permit_ask.excluded, excluded, sizeof excluded);
  m = (WlMessage){ .kind = WL_MESSAGE_PERMIT_ANSWER };
  m.u.permit_answer = answer;
  ck_assert_int_eq (wl_message_decode (wl_message_encode (&m, pool), &out, pool), WL_OK);
  ck_assert_mem_eq (&out.u.permit_answer, &answer, sizeof answer);
  m = (WlMessage){ .kind = WL_MESSAGE_PERMIT_RETURN };
  m.u.permit_return = returned;
  ck_assert_int_eq (wl_message_decode (wl_message_encode (&m, pool), &out, pool), WL_OK);
  ck_assert_mem_eq (&out.u.permit_return, &returned, sizeof returned);
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
    WL_TEST (part_report_round_trips),
    WL_TEST (an_end_of_an_endpoint_is_told_in_few_bytes),
    WL_TEST (limits_and_permits_round_trip_in_few_bytes),
    WL_TEST (damaged_bytes_do_not_crash_the_decoder),
    WL_TEST (unknown_kinds_are_rejected),
  };
  return wl_test_run ("codec", tests, sizeof tests / sizeof tests[0]);
}
