#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include "wl_clock.h"
#include "wl_log.h"
#include "wl_relay_fixture.h"
#include "wl_test.h"

/*
 * Parts of prompts at which engines end. The clock is paused, and advanced by the
 * tests; the log is read back from a pipe.
 */

enum
{
  PROMPT = 20000,
  READ_US = 200000, /* more than the engine model's time for half of PROMPT */
};

#define STREAM_HEAD                                                                                \
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"                 \
  "Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_EVENT "10\r\nid: 1\ndata: 1\n\n\r\n"

typedef struct
{
  RelayFixture *relay;
  int log_fd; /* end of the pipe to read from */
} Fixture;

static Fixture
create (void)
{
  Fixture f;
  int fds[2];
  ck_assert_int_eq (pipe (fds), 0);
  ck_assert_int_ge (dup2 (fds[1], STDOUT_FILENO), 0);
  close (fds[1]);
  f.log_fd = fds[0];
  wl_log_open (1);
  wl_clock_set (wl_clock_now_us ());
  f.relay = relay_fixture_create ();
  return f;
}

/* Ends the log and returns it. */
static const char *
read_log (Fixture *f)
{
  static char text[65536];
  size_t used = 0;
  wl_log_close (WL_LOG_CLOSE_MS);
  close (STDOUT_FILENO);
  for (ssize_t n = 1; n > 0; used += n > 0 ? (size_t)n : 0)
    n = read (f->log_fd, text + used, sizeof text - 1 - used);
  text[used] = '\0';
  return text;
}

static void
destroy (Fixture *f)
{
  wl_clock_set (0);
  relay_fixture_destroy (f->relay);
  close (f->log_fd);
}

static void
advance (Fixture *f, uint64_t us)
{
  wl_clock_set (wl_clock_now_us () + us);
  relay_fixture_settle (f->relay); /* ends with a tick; what it sends arrives in the next one */
  relay_fixture_settle (f->relay);
}

static void
send_prompt (Fixture *f, const char *parts)
{
  char text[512];
  snprintf (text, sizeof text,
            "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nX-Left: 15000\r\n"
            "X-Prompt: %d\r\n%s%s%sContent-Length: 0\r\n\r\n",
            PROMPT, parts[0] != '\0' ? "X-Parts: " : "", parts, parts[0] != '\0' ? "\r\n" : "");
  raw_client_send (&f->relay->caller, text);
  relay_fixture_settle (f->relay);
}

/* The only engine reads a prompt, perhaps writes @output, and ends. Returns the log. */
static const char *
log_of_an_end (Fixture *f, const char *parts, const char *output, uint64_t after_us)
{
  script_server_add (&f->relay->endpoints[0], output, SCRIPT_KEEP);
  relay_fixture_register_engine (f->relay, 0);
  send_prompt (f, parts);
  ck_assert_uint_eq (relay_fixture_n_runs (f->relay), 1);
  advance (f, after_us);
  script_server_reset (&f->relay->endpoints[0]);
  advance (f, 0);
  return read_log (f);
}

/* Guards against ends of engines in whose log lines no part of a prompt is named. */
START_TEST (the_parts_of_a_request_whose_engine_ended_before_its_output_are_logged)
{
  Fixture f = create ();
  const char *log = log_of_an_end (&f, "5c,ffffffffffffffff", NULL, READ_US);
  ck_assert_ptr_nonnull (strstr (log, "WL4013 endpoint=engine-0 request=1 service=llm begun=0 "
                                      "parts=5c,ffffffffffffffff\n"));
  destroy (&f);
}
END_TEST

START_TEST (the_parts_of_a_request_whose_engine_ended_at_its_first_output_are_logged)
{
  Fixture f = create ();
  const char *log = log_of_an_end (&f, "5c", STREAM_HEAD FIRST_EVENT, 499000);
  ck_assert_ptr_nonnull (strstr (log, "WL4013 endpoint=engine-0 request=1 service=llm begun=1 "
                                      "parts=5c\n"));
  destroy (&f);
}
END_TEST

/* Guards against parts that are suspected although their request cannot have ended the engine. */
static void
check_no_suspect (const char *parts, const char *output, uint64_t after_us)
{
  Fixture f = create ();
  const char *log = log_of_an_end (&f, parts, output, after_us);
  ck_assert_ptr_nonnull (strstr (log, "WL4006 "));
  ck_assert_ptr_null (strstr (log, "WL4013 "));
  destroy (&f);
}

START_TEST (a_request_without_parts_is_not_suspected)
{
  check_no_suspect ("", NULL, READ_US);
}
END_TEST

START_TEST (a_request_that_cannot_have_been_read_is_not_suspected)
{
  check_no_suspect ("5c", NULL, 10000);
}
END_TEST

START_TEST (a_request_that_had_been_writing_is_not_suspected)
{
  check_no_suspect ("5c", STREAM_HEAD FIRST_EVENT, WL_QUARANTINE_SOUND_AFTER_US);
}
END_TEST

START_TEST (a_request_that_got_an_error_is_not_suspected)
{
  check_no_suspect ("5c", "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nab",
                    READ_US);
}
END_TEST

/* Guards against a rolling release whose requests are suspected. */
START_TEST (an_endpoint_that_drains_speaks_against_no_part)
{
  Fixture f = create ();
  script_server_add (&f.relay->endpoints[0], NULL, SCRIPT_KEEP);
  relay_fixture_register_engine (f.relay, 0);
  send_prompt (&f, "5c");
  advance (&f, READ_US);
  wl_fleet_find (f.relay->fleet, "engine-0")->record.is_draining = 1;
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 0);
  ck_assert_ptr_null (strstr (read_log (&f), "WL4013 "));
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (the_parts_of_a_request_whose_engine_ended_before_its_output_are_logged),
    WL_TEST (the_parts_of_a_request_whose_engine_ended_at_its_first_output_are_logged),
    WL_TEST (a_request_without_parts_is_not_suspected),
    WL_TEST (a_request_that_cannot_have_been_read_is_not_suspected),
    WL_TEST (a_request_that_had_been_writing_is_not_suspected),
    WL_TEST (a_request_that_got_an_error_is_not_suspected),
    WL_TEST (an_endpoint_that_drains_speaks_against_no_part),
  };
  apr_initialize ();
  return wl_test_run ("relay_quarantine", tests, sizeof tests / sizeof tests[0]);
}
