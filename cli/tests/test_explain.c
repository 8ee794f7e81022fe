#include <string.h>
#include "wl_explain.h"
#include "wl_test.h"

/* Three failed requests in recorded logs, each from its id to its cause. */

static const char node_a[]
    = "2026-12-04T06:00:00.000Z INFO node=1 WL3004 endpoint=i-1 reason=broken failures=2\n"
      "2026-12-04T06:00:01.000Z INFO node=1 WL4006 request=aa route=r endpoint=i-1 attempt=1\n"
      "2026-12-04T06:00:01.200Z INFO node=1 WL4006 request=bb route=r endpoint=i-2 attempt=1\n"
      "2026-12-04T06:00:01.500Z INFO node=1 WL3004 endpoint=i-1 reason=broken failures=3\n"
      "2026-12-04T06:00:01.600Z INFO node=1 WL3004 endpoint=i-9 reason=error failures=2\n"
      "2026-12-04T06:00:01.700Z INFO node=1 WL4002 request=aa route=r reason=broken status=502 "
      "endpoint=i-1\n"
      "2026-12-04T06:00:02.000Z INFO node=1 WL3002 endpoint=i-1 service=s\n";
static const char node_b[]
    = "collected 2026-12-04T06:00:00.900Z INFO node=2 WL4008 request=aa route=r reason=deadline "
      "held_ms=4 retry_after_ms=300\n"
      "collected 2026-12-04T06:00:05.000Z INFO node=2 WL4008 request=cc route=r reason=no_endpoint "
      "held_ms=0\n";

START_TEST (a_request_is_followed_over_nodes_with_what_befell_its_endpoints)
{
  WlStory s = { 0 };
  wl_explain_add (&s, "aa", "a", node_a);
  wl_explain_add (&s, "aa", "b", node_b);
  wl_explain_sort (&s);
  ck_assert_uint_eq (s.n_lines, 4);
  ck_assert_str_eq (s.lines[0].source, "b");
  ck_assert_ptr_nonnull (strstr (s.lines[0].text, "reason=deadline"));
  ck_assert_ptr_nonnull (strstr (s.lines[1].text, "WL4006 request=aa"));
  ck_assert_int_eq (s.lines[2].is_context, 1);
  ck_assert_ptr_nonnull (strstr (s.lines[2].text, "endpoint=i-1"));
  ck_assert_ptr_nonnull (strstr (s.lines[3].text, "WL4002 request=aa"));
  wl_explain_clear (&s);
}
END_TEST

START_TEST (a_refusal_stands_alone)
{
  WlStory s = { 0 };
  wl_explain_add (&s, "cc", "b", node_b);
  ck_assert_uint_eq (s.n_lines, 1);
  ck_assert_ptr_nonnull (strstr (s.lines[0].text, "reason=no_endpoint"));
  wl_explain_clear (&s);
}
END_TEST

/* Guards against an attempt that is withheld without the evacuation that was its cause. */
START_TEST (an_evacuation_is_told_with_the_requests_that_it_met)
{
  static const char log[]
      = "2026-12-06T06:00:01.000Z INFO node=1 WL3010 request=ff reservation=1-1 endpoint=i-1\n"
        "2026-12-06T06:00:01.100Z INFO node=1 WL2113 zone=\"y\" sequence=1 number=7\n"
        "2026-12-06T06:00:01.200Z INFO node=1 WL4017 request=ff route=r endpoint=i-1 "
        "reason=evacuated\n"
        "2026-12-06T06:00:09.000Z INFO node=1 WL2114 zone=\"y\" sequence=2 number=8\n";
  WlStory s = { 0 };
  wl_explain_add (&s, "ff", "a", log);
  wl_explain_sort (&s);
  ck_assert_uint_eq (s.n_lines, 3);
  ck_assert_int_eq (s.lines[1].is_context, 1);
  ck_assert_ptr_nonnull (strstr (s.lines[1].text, "WL2113"));
  wl_explain_clear (&s);
}
END_TEST

START_TEST (an_id_is_not_taken_for_the_beginning_of_another)
{
  WlStory s = { 0 };
  wl_explain_add (&s, "a", "a", node_a);
  ck_assert_uint_eq (s.n_lines, 0);
  wl_explain_clear (&s);
}
END_TEST

/* A part of a prompt ends three engines at two nodes; request dd is refused for it. */
static const char node_c[]
    = "2026-12-05T06:00:00.000Z INFO node=3 WL4013 endpoint=i-1 request=aa service=s begun=0 "
      "parts=1,5c\n"
      "2026-12-05T06:00:00.000Z INFO node=3 WL4013 endpoint=i-1 request=bb service=s begun=0 "
      "parts=1,15c,5\n"
      "2026-12-05T06:00:00.400Z INFO node=3 WL4014 part=5c service=s customer=all ends=3 "
      "endpoints=i-1,i-2,i-3 trials=0 age_ms=0 trial_ms=60000 peer=4\n"
      "2026-12-05T06:00:00.500Z INFO node=3 WL4014 part=5d service=s customer=all ends=3 "
      "endpoints=i-1,i-2,i-3 trials=0 age_ms=0 trial_ms=60000 peer=4\n"
      "2026-12-05T06:00:09.000Z INFO node=3 WL4008 request=dd route=r reason=quarantined "
      "held_ms=0 config=1 part=5c since_ms=8600 ends=3\n";
static const char node_d[]
    = "2026-12-05T06:00:00.200Z INFO node=4 WL4013 endpoint=i-2 request=cc service=s begun=1 "
      "parts=5c\n"
      "2026-12-05T06:00:00.390Z INFO node=4 WL4013 endpoint=i-3 request=cc service=s begun=1 "
      "parts=5c\n"
      "2026-12-05T06:00:00.391Z INFO node=4 WL4014 part=5c service=s customer=all ends=3 "
      "endpoints=i-1,i-2,i-3 trials=0 age_ms=0 trial_ms=60000 request=cc endpoint=i-3\n"
      "2026-12-05T06:01:01.000Z INFO node=4 WL4016 part=5c request=ee endpoint=i-4\n"
      "2026-12-05T06:01:02.000Z INFO node=4 WL4015 part=5c service=s trials=1 request=ee\n";

static void
explain_parts (WlStory *s, const char *request)
{
  wl_explain_add (s, request, "c", node_c);
  wl_explain_add (s, request, "d", node_d);
  wl_explain_add_parts (s, request, "c", node_c);
  wl_explain_add_parts (s, request, "d", node_d);
  wl_explain_sort (s);
}

/* Guards against a refusal whose part is named, but not on which evidence and since when. */
START_TEST (a_refusal_for_a_part_has_the_events_of_the_part_at_all_nodes)
{
  static const char *const events[] = { "WL4013 endpoint=i-1 request=aa",
                                        "WL4013 endpoint=i-2",
                                        "WL4013 endpoint=i-3",
                                        "WL4014 part=5c",
                                        "WL4014 part=5c",
                                        "WL4008 request=dd",
                                        "WL4016 part=5c",
                                        "WL4015 part=5c" };
  WlStory s = { 0 };
  explain_parts (&s, "dd");
  ck_assert_uint_eq (s.n_lines, sizeof events / sizeof *events);
  for (size_t i = 0; i < s.n_lines; i++)
    {
      ck_assert_ptr_nonnull (strstr (s.lines[i].text, events[i]));
      ck_assert_int_eq (s.lines[i].is_context, i != 5);
    }
  wl_explain_clear (&s);
}
END_TEST

/* Guards against a refusal for limits of which nobody knows who named them, and when. */
START_TEST (a_refusal_for_limits_has_the_latest_word_on_each)
{
  static const char log[]
      = "2026-12-06T05:00:00.000Z INFO node=3 WL3013 endpoint=i-1 service=s limit=3.000 is_new=1 "
        "peer=4\n"
        "2026-12-06T05:00:01.000Z INFO node=3 WL3013 endpoint=i-1 service=s limit=0.400 is_new=0 "
        "request=aa\n"
        "2026-12-06T05:00:02.000Z INFO node=3 WL3013 endpoint=i-12 service=s limit=7.000 is_new=1 "
        "peer=4\n"
        "2026-12-06T05:00:03.000Z INFO node=3 WL3013 endpoint=i-2 service=s limit=1.000 is_new=1 "
        "peer=4\n"
        "2026-12-06T06:00:00.000Z INFO node=3 WL4008 request=dd route=r reason=limit held_ms=2 "
        "config=1 limited=i-1:0.400,i-2:1.000\n"
        "2026-12-06T06:00:01.000Z INFO node=3 WL3014 endpoint=i-1 service=s request=ee\n";
  static const char *const events[] = { "endpoint=i-1 service=s limit=0.400",
                                        "endpoint=i-2 service=s limit=1.000", "WL4008 request=dd" };
  WlStory s = { 0 };
  wl_explain_add (&s, "dd", "c", log);
  wl_explain_sort (&s);
  ck_assert_uint_eq (s.n_lines, sizeof events / sizeof *events);
  for (size_t i = 0; i < s.n_lines; i++)
    {
      ck_assert_ptr_nonnull (strstr (s.lines[i].text, events[i]));
      ck_assert_int_eq (s.lines[i].is_context, i != 2);
    }
  wl_explain_clear (&s);
}
END_TEST

/* Guards against a story of all ends under a part that all requests share. */
START_TEST (a_suspected_request_has_the_verdicts_on_its_parts_but_not_all_ends)
{
  WlStory s = { 0 };
  explain_parts (&s, "aa");
  ck_assert_uint_eq (s.n_lines, 5);
  ck_assert_ptr_nonnull (strstr (s.lines[0].text, "WL4013 endpoint=i-1 request=aa"));
  ck_assert_int_eq (s.lines[0].is_context, 0);
  for (size_t i = 1; i < s.n_lines; i++)
    ck_assert_ptr_nonnull (strstr (s.lines[i].text, " part=5c "));
  wl_explain_clear (&s);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_request_is_followed_over_nodes_with_what_befell_its_endpoints),
    WL_TEST (a_refusal_stands_alone),
    WL_TEST (an_evacuation_is_told_with_the_requests_that_it_met),
    WL_TEST (an_id_is_not_taken_for_the_beginning_of_another),
    WL_TEST (a_refusal_for_a_part_has_the_events_of_the_part_at_all_nodes),
    WL_TEST (a_refusal_for_limits_has_the_latest_word_on_each),
    WL_TEST (a_suspected_request_has_the_verdicts_on_its_parts_but_not_all_ends),
  };
  return wl_test_run ("explain", tests, sizeof tests / sizeof tests[0]);
}
