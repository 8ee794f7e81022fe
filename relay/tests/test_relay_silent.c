#include <string.h>
#include <apr_general.h>
#include "wl_clock.h"
#include "wl_relay_fixture.h"
#include "wl_test.h"

/* Endpoints that are slower than their load explains. The clock is paused. */

static void
advance (RelayFixture *f, uint64_t us)
{
  wl_clock_set (wl_clock_now_us () + us);
  relay_fixture_settle (f); /* ends with a tick; what it sends arrives in the next one */
  relay_fixture_settle (f);
}

/* Guards against streams that are broken off although nothing but a silence was wrong. */
START_TEST (a_silent_stream_is_not_broken_off_because_another_endpoint_rejects_it)
{
  static const char first_event[]
      = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: 1\n\n\r\n";
  static const char rejection[]
      = "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  wl_clock_set (wl_clock_now_us ());
  RelayFixture *f = relay_fixture_create ();
  script_server_add (&f->endpoints[0], first_event, SCRIPT_KEEP);
  relay_fixture_register (f, 0, f->endpoints[0].port);
  raw_client_send (&f->caller, RELAY_STREAM_REQUEST);
  relay_fixture_settle (f);
  ck_assert_ptr_nonnull (strstr (f->caller.answer, "id: 1\ndata: 1\n\n"));
  script_server_add (&f->endpoints[1], rejection, SCRIPT_KEEP);
  relay_fixture_register (f, 1, f->endpoints[1].port);
  advance (f, 1000000); /* of the 2 s that the route allows */
  advance (f, 0);
  ck_assert_int_eq (f->caller.is_closed, 0);
  wl_clock_set (0);
  relay_fixture_destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_silent_stream_is_not_broken_off_because_another_endpoint_rejects_it),
  };
  apr_initialize ();
  return wl_test_run ("relay_silent", tests, sizeof tests / sizeof tests[0]);
}
