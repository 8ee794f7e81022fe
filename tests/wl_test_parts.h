#ifndef WL_TEST_PARTS_H
#define WL_TEST_PARTS_H

#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include "wl_clock.h"
#include "wl_log.h"
#include "wl_relay_fixture.h"
#include "wl_test.h"

/*
 * A relay and engines, for tests of the parts of prompts at which engines end. The clock
 * is paused, and advanced by the tests; the log is read back from a pipe.
 */

enum
{
  PROMPT = 20000,
  READ_US = 200000, /* more than the engine model's time for half of PROMPT */
};

#define STREAM_HEAD                                                                                \
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n"                 \
  "Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_EVENT "f\r\nid: 1\ndata: 1\n\n\r\n"

typedef struct
{
  RelayFixture *relay;
  int log_fd; /* end of the pipe to read from */
} Fixture;

static inline Fixture
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
static inline const char *
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

static inline void
destroy (Fixture *f)
{
  wl_clock_set (0);
  relay_fixture_destroy (f->relay);
  close (f->log_fd);
}

static inline void
advance (Fixture *f, uint64_t us)
{
  wl_clock_set (wl_clock_now_us () + us);
  relay_fixture_settle (f->relay); /* ends with a tick; what it sends arrives in the next one */
  relay_fixture_settle (f->relay);
}

static inline void
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

/* A report of another node: parts quarantined for a time, for one customer or all. */
static inline void
quarantine_for (Fixture *f, uint64_t part, uint64_t customer, uint64_t age_us)
{
  uint64_t trial_us = age_us < WL_QUARANTINE_TRIAL_MIN_US ? WL_QUARANTINE_TRIAL_MIN_US - age_us : 0;
  WlQuarantinedPart parts[] = { { .part = part,
                                  .service = wl_fleet_key ("llm"),
                                  .customer = customer,
                                  .n_ends = 3,
                                  .age_us = age_us,
                                  .trial_us = trial_us } };
  WlPartReport report = { .quarantined = parts, .n_quarantined = 1 };
  wl_relay_apply_part_report (f->relay->relay, 2, &report, wl_clock_now_us ());
  relay_fixture_settle (f->relay);
}

static inline void
quarantine (Fixture *f, uint64_t part)
{
  quarantine_for (f, part, 0, 0);
}

static inline void
check_refused (Fixture *f)
{
  ck_assert_ptr_nonnull (strstr (f->relay->caller.answer, " 503 "));
  ck_assert_ptr_nonnull (strstr (f->relay->caller.answer, "Retry-After: "));
  ck_assert_uint_eq (wl_relay_active (f->relay->relay), 0);
  ck_assert_uint_eq (wl_relay_metrics (f->relay->relay)->refused[WL_REASON_QUARANTINED], 1);
}

static inline void
check_failed (Fixture *f)
{
  ck_assert_ptr_nonnull (strstr (f->relay->caller.answer, " 502 "));
  ck_assert_uint_eq (wl_relay_active (f->relay->relay), 0);
  ck_assert_uint_eq (wl_relay_metrics (f->relay->relay)->failed[WL_REASON_QUARANTINED], 1);
}

#endif
