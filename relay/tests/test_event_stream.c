#include <string.h>
#include "wl_event_stream.h"
#include "wl_test.h"

/*
 * Splitting of event streams. Guards against passing on part of an event: a stream that breaks
 * there could not be resumed without a repeated or damaged event at the caller.
 */

static const char events[]
    = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: half";

static size_t
feed (WlEventStream *s, const char *text, size_t size, char *out, size_t used)
{
  WlBytes complete = wl_event_stream_feed (s, (WlBytes){ (const uint8_t *)text, (uint32_t)size });
  memcpy (out + used, complete.data, complete.size);
  wl_event_stream_consume (s, complete);
  return used + complete.size;
}

START_TEST (events_end_at_blank_lines_at_any_read_boundary)
{
  for (size_t step = 1; step <= sizeof events; step++)
    {
      WlEventStream s = { 0 };
      char out[256];
      size_t used = 0;
      for (size_t i = 0; i < sizeof events - 1; i += step)
        {
          size_t n = sizeof events - 1 - i < step ? sizeof events - 1 - i : step;
          used = feed (&s, events + i, n, out, used);
        }
      size_t complete = (size_t)(strstr (events, "id: 3") - events);
      ck_assert_uint_eq (used, complete);
      ck_assert_mem_eq (out, events, complete);
      ck_assert_str_eq (s.last_id, "2");
      wl_event_stream_clear (&s);
    }
}
END_TEST

START_TEST (an_incomplete_event_does_not_change_the_last_id)
{
  WlEventStream s = { 0 };
  char out[256];
  feed (&s, "id: 7\ndata: x\n\nid: 8\ndata: ", 28, out, 0);
  ck_assert_str_eq (s.last_id, "7");
  wl_event_stream_discard_partial (&s);
  size_t used = feed (&s, "id: 8\ndata: y\n\n", 15, out, 0);
  ck_assert_mem_eq (out, "id: 8\ndata: y\n\n", 15);
  ck_assert_uint_eq (used, 15);
  ck_assert_str_eq (s.last_id, "8");
  wl_event_stream_clear (&s);
}
END_TEST

static size_t
feed_text (WlEventStream *s, const char *text)
{
  char out[256];
  return feed (s, text, strlen (text), out, 0);
}

/* Guards against repeated and missing events after a resumption, and against needless cuts. */
START_TEST (the_first_event_after_a_resumption_must_follow_the_last_one)
{
  static const struct
  {
    const char *before;
    const char *after;
    int is_misplaced;
  } cases[] = {
    { "id: 1\n\nid: 2\n\n", "id: 3\n\n", 0 },
    { "id: 1\n\nid: 2\n\n", ": comment\n\nid: 3\n\n", 0 },
    { "id: 1\n\nid: 2\n\n", "id: 1\n\n", 1 },
    { "id: 1\n\nid: 2\n\n", "id: 2\n\n", 1 },
    { "id: 1\n\nid: 2\n\n", "id: 4\n\n", 1 },
    { "id: 43\n\nid: 86\n\n", "id: 129\n\n", 0 },
    { "id: 43\n\nid: 86\n\n", "id: 43\n\n", 1 },
    { "id: 43\n\nid: 86\n\nid: 87\n\n", "id: 130\n\n", 0 },
    { "id: 43\n\nid: 86\n\nid: 87\n\n", "id: 87\n\n", 1 },
    { "id: a\n\nid: b\n\n", "id: c\n\n", 0 },
    { "id: a\n\nid: b\n\n", "id: b\n\n", 1 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      WlEventStream s = { 0 };
      feed_text (&s, cases[i].before);
      wl_event_stream_discard_partial (&s);
      size_t forwarded = feed_text (&s, cases[i].after);
      ck_assert_int_eq (s.is_misplaced, cases[i].is_misplaced);
      ck_assert_uint_eq (forwarded, cases[i].is_misplaced ? 0 : strlen (cases[i].after));
      wl_event_stream_clear (&s);
    }
}
END_TEST

/* Guards against a resumption after an earlier event, and against control bytes in a field. */
START_TEST (an_id_that_no_field_can_carry_ends_resumption)
{
  static const char *const bad[] = {
    "id: 1\r2\n\n",
    "id:\n\n",
    "id: 2\t\n\n",
    "id: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\n\n",
  };
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    {
      WlEventStream s = { 0 };
      feed_text (&s, "id: 7\n\n");
      ck_assert_int_eq (wl_event_stream_can_resume (&s), 1);
      feed_text (&s, bad[i]);
      ck_assert_int_eq (wl_event_stream_can_resume (&s), 0);
      wl_event_stream_clear (&s);
    }
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (events_end_at_blank_lines_at_any_read_boundary),
    WL_TEST (an_incomplete_event_does_not_change_the_last_id),
    WL_TEST (the_first_event_after_a_resumption_must_follow_the_last_one),
    WL_TEST (an_id_that_no_field_can_carry_ends_resumption),
  };
  return wl_test_run ("event_stream", tests, sizeof tests / sizeof tests[0]);
}
