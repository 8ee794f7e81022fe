#include <fcntl.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include "wl_log_sink.h"
#include "wl_test.h"

/* Logging is bounded by kind of event, writes whole lines and never waits for its reader. */

enum
{
  EVENT = 4007,
  OTHER = 2002,
};

typedef struct
{
  WlLogSink *sink;
  int pipe[2];
  uint64_t counts[10000];
} Fixture;

static void
setup (Fixture *f)
{
  memset (f, 0, sizeof *f);
  ck_assert_int_eq (pipe (f->pipe), 0);
  ck_assert_int_eq (fcntl (f->pipe[0], F_SETFL, O_NONBLOCK), 0);
  ck_assert_int_eq (fcntl (f->pipe[1], F_SETPIPE_SZ, PIPE_BUF), PIPE_BUF);
  f->sink = wl_log_sink_create (f->pipe[1]);
}

static void
teardown (Fixture *f)
{
  wl_log_sink_destroy (f->sink);
  close (f->pipe[0]);
  close (f->pipe[1]);
}

static void
count (void *data, uint32_t event, uint64_t n)
{
  Fixture *f = data;
  f->counts[event] += n;
}

static size_t
drain (Fixture *f, char *out, size_t size)
{
  size_t done = 0;
  ssize_t n;
  while (done < size && (n = read (f->pipe[0], out + done, size - done)) > 0)
    done += (size_t)n;
  return done;
}

START_TEST (flood_of_one_event_leaves_the_others)
{
  static Fixture f;
  uint32_t admitted = 0;
  setup (&f);
  for (int i = 0; i < 10000; i++)
    admitted += (uint32_t)wl_log_sink_admit (f.sink, EVENT, 1000);
  ck_assert_uint_eq (admitted, WL_LOG_SINK_BURST);
  ck_assert_int_eq (wl_log_sink_admit (f.sink, OTHER, 1000), 1);
  wl_log_sink_left_out (f.sink, count, &f);
  ck_assert_uint_eq (f.counts[EVENT], 10000 - WL_LOG_SINK_BURST);
  ck_assert_uint_eq (f.counts[OTHER], 0);
  admitted = 0;
  for (int i = 0; i < 1000; i++)
    admitted += (uint32_t)wl_log_sink_admit (f.sink, EVENT, 1001000);
  ck_assert_uint_eq (admitted, WL_LOG_SINK_RATE);
  teardown (&f);
}
END_TEST

START_TEST (lines_wait_for_others_but_not_long)
{
  static Fixture f;
  char out[100];
  setup (&f);
  wl_log_sink_add (f.sink, EVENT, "one\n", 1000);
  wl_log_sink_add (f.sink, EVENT, "two\n", 1000 + WL_LOG_SINK_DELAY_US - 1);
  ck_assert_int_eq (wl_log_sink_flush (f.sink, 1000 + WL_LOG_SINK_DELAY_US - 1), 0);
  ck_assert_uint_eq (drain (&f, out, sizeof out), 0);
  ck_assert_int_eq (wl_log_sink_flush (f.sink, 1000 + WL_LOG_SINK_DELAY_US), 0);
  ck_assert_uint_eq (drain (&f, out, sizeof out), 8);
  ck_assert_mem_eq (out, "one\ntwo\n", 8);
  teardown (&f);
}
END_TEST

/* Nobody reads: the pipe fills, then the sink; every line is written whole or counted. */
START_TEST (slow_reader_costs_lines_not_time)
{
  static Fixture f;
  static char out[1 << 20];
  char line[128];
  size_t n_lines = 20000;
  size_t n_seen = 0;
  setup (&f);
  for (size_t i = 0; i < n_lines; i++)
    {
      snprintf (line, sizeof line, "%06zu some fields of a line of the usual length\n", i);
      wl_log_sink_add (f.sink, EVENT, line, i);
    }
  size_t size = drain (&f, out, sizeof out);
  ck_assert_int_eq (out[size - 1], '\n');
  while (wl_log_sink_flush (f.sink, UINT64_MAX) == 0)
    {
      size_t more = drain (&f, out + size, sizeof out - size);
      if (more == 0)
        break;
      size += more;
    }
  ck_assert_int_eq (out[size - 1], '\n');
  for (size_t i = 0; i < size; i += strlen (line), n_seen++)
    ck_assert_msg (out[i + strlen (line) - 1] == '\n', "line %zu is torn", n_seen);
  wl_log_sink_left_out (f.sink, count, &f);
  ck_assert_uint_eq (n_seen + f.counts[EVENT], n_lines);
  teardown (&f);
}
END_TEST

START_TEST (failed_write_is_counted)
{
  static Fixture f;
  setup (&f);
  WlLogSink *sink = wl_log_sink_create (open ("/dev/full", O_WRONLY | O_CLOEXEC));
  wl_log_sink_add (sink, EVENT, "one\n", 1000);
  wl_log_sink_add (sink, EVENT, "two\n", 1000);
  ck_assert_int_ne (wl_log_sink_flush (sink, UINT64_MAX), 0);
  wl_log_sink_left_out (sink, count, &f);
  ck_assert_uint_eq (f.counts[0], 2);
  wl_log_sink_destroy (sink);
  teardown (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (flood_of_one_event_leaves_the_others),
    WL_TEST (lines_wait_for_others_but_not_long),
    WL_TEST (slow_reader_costs_lines_not_time),
    WL_TEST (failed_write_is_counted),
  };
  return wl_test_run ("log_sink", tests, sizeof tests / sizeof tests[0]);
}
