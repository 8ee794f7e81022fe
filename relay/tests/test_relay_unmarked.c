#include <apr_general.h>
#include "wl_test_parts.h"

/*
 * An engine that ends between two events of a response without length and chunks: its connection
 * looks as if the response were complete.
 */

#define UNMARKED                                                                                   \
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"             \
  "id: 1\ndata: 1\n\n"

static void
send_other (RawClient *other)
{
  raw_client_send (other, "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nX-Key: k1\r\n"
                          "X-Prompt: 9\r\nContent-Length: 0\r\n\r\n");
}

/* A request with a part has an unmarked end at the engine, beside another one if @is_beside. */
static Fixture
create_with_unmarked_end (RawClient *other, int is_beside)
{
  Fixture f = create ();
  raw_client_connect (other, wl_web_port (f.relay->web));
  relay_fixture_register_engine (f.relay, 0);
  if (is_beside)
    {
      script_server_add (&f.relay->endpoints[0], NULL, SCRIPT_KEEP);
      send_other (other);
      relay_fixture_settle (f.relay);
    }
  script_server_add (&f.relay->endpoints[0], UNMARKED, SCRIPT_CLOSE);
  send_prompt (&f, "5c");
  advance (&f, 0);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1 + (uint32_t)is_beside);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "id: 1\ndata: 1\n\n"));
  return f;
}

static void
check_suspect (Fixture *f, RawClient *other, int is_expected)
{
  const char *log = read_log (f);
  const char *line
      = strstr (log, "WL4013 endpoint=engine-0 request=1 service=llm begun=1 parts=5c\n");
  ck_assert_int_eq (line != NULL, is_expected);
  raw_client_close (other);
  destroy (f);
}

/* Guards against a part that ends engines and is never suspected, as its responses look whole. */
START_TEST (an_unmarked_end_is_suspected_when_another_connection_breaks_with_it)
{
  RawClient other;
  Fixture f = create_with_unmarked_end (&other, 1);
  advance (&f, 100000);
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 0);
  check_suspect (&f, &other, 1);
}
END_TEST

START_TEST (an_unmarked_end_is_suspected_when_a_connection_is_refused_after_it)
{
  RawClient other;
  Fixture f = create_with_unmarked_end (&other, 0);
  wl_fleet_find (f.relay->fleet, "engine-0")->record.port = 1; /* nothing listens there */
  send_other (&other);
  advance (&f, 0);
  check_suspect (&f, &other, 1);
}
END_TEST

/* Guards against sound parts that are suspected for responses which are merely short. */
START_TEST (an_unmarked_end_long_before_a_break_is_not_suspected)
{
  RawClient other;
  Fixture f = create_with_unmarked_end (&other, 1);
  advance (&f, 201000);
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 0);
  check_suspect (&f, &other, 0);
}
END_TEST

START_TEST (an_unmarked_end_is_not_suspected_for_the_break_of_another_engine)
{
  RawClient other;
  Fixture f = create_with_unmarked_end (&other, 0);
  wl_fleet_find (f.relay->fleet, "engine-0")->record.has_left = 1;
  script_server_add (&f.relay->endpoints[1], NULL, SCRIPT_KEEP);
  relay_fixture_register_engine (f.relay, 1);
  send_other (&other);
  relay_fixture_settle (f.relay);
  ck_assert_uint_eq (f.relay->endpoints[1].n_requests, 1);
  script_server_reset (&f.relay->endpoints[1]);
  advance (&f, 0);
  check_suspect (&f, &other, 0);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (an_unmarked_end_is_suspected_when_another_connection_breaks_with_it),
    WL_TEST (an_unmarked_end_is_suspected_when_a_connection_is_refused_after_it),
    WL_TEST (an_unmarked_end_long_before_a_break_is_not_suspected),
    WL_TEST (an_unmarked_end_is_not_suspected_for_the_break_of_another_engine),
  };
  apr_initialize ();
  return wl_test_run ("relay_unmarked", tests, sizeof tests / sizeof tests[0]);
}
