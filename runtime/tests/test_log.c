#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>
#include <apr_general.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_log_sink.h"
#include "wl_test.h"

/* The end of the log: standard output is a pipe that the test reads. The clock is paused. */

enum
{
  LINES = 500,
  PAUSE_US = 1000,         /* of the reader, between two reads */
  READER_LIMIT_MS = 60000, /* only ends a test that has failed */
};

typedef struct
{
  int pipe[2];
  int saved_stdout;
  char text[1 << 17];
  size_t size;
} Fixture;

static void
open_log (Fixture *f)
{
  memset (f, 0, sizeof *f);
  wl_clock_set (wl_clock_now_us ());
  ck_assert_int_eq (pipe2 (f->pipe, O_CLOEXEC), 0);
  ck_assert_int_eq (fcntl (f->pipe[1], F_SETPIPE_SZ, PIPE_BUF), PIPE_BUF);
  f->saved_stdout = fcntl (STDOUT_FILENO, F_DUPFD_CLOEXEC, 0);
  ck_assert_int_eq (dup2 (f->pipe[1], STDOUT_FILENO), STDOUT_FILENO);
  close (f->pipe[1]);
  wl_log_open (1);
}

static void *
read_slowly (void *data)
{
  Fixture *f = data;
  ssize_t n;
  while ((n = read (f->pipe[0], f->text + f->size, sizeof f->text - 1 - f->size)) > 0)
    {
      f->size += (size_t)n;
      usleep (PAUSE_US);
    }
  return NULL;
}

/* Closes the log while a reader takes it, and returns what it got. */
static const char *
close_log (Fixture *f)
{
  pthread_t reader;
  ck_assert_int_eq (pthread_create (&reader, NULL, read_slowly, f), 0);
  wl_log_close (READER_LIMIT_MS);
  dup2 (f->saved_stdout, STDOUT_FILENO);
  pthread_join (reader, NULL);
  close (f->saved_stdout);
  close (f->pipe[0]);
  return f->text;
}

/* Guards against an exit whose last lines are lost while the reader has no room. */
START_TEST (the_last_lines_are_written_at_exit_for_a_slow_reader)
{
  static Fixture f;
  open_log (&f);
  for (int i = 0; i < WL_LOG_SINK_BURST; i++)
    wl_log_eventf (WL4012_REQUEST_CUT, "request=%d", i);
  wl_log_eventf (WL1003_NODE_STOPPED, "status=0");
  ck_assert_ptr_nonnull (strstr (close_log (&f), "WL1003 status=0\n"));
}
END_TEST

/* Guards against lines that are left out shortly before the exit and counted nowhere. */
START_TEST (lines_left_out_before_the_exit_are_counted)
{
  static Fixture f;
  char count[64];
  open_log (&f);
  for (int i = 0; i < LINES; i++)
    wl_log_eventf (WL4012_REQUEST_CUT, "request=%d", i);
  snprintf (count, sizeof count, "WL1009 event=4012 count=%d\n", LINES - WL_LOG_SINK_BURST);
  ck_assert_ptr_nonnull (strstr (close_log (&f), count));
}
END_TEST

/* Guards against an end by abort () that the log does not mention, and that takes its last lines.
 */
START_TEST (an_abort_is_logged_after_the_lines_that_wait)
{
  static Fixture f;
  int status = 0;
  open_log (&f);
  fflush (NULL);
  pid_t child = fork ();
  if (child == 0)
    {
      wl_log_catch_faults ();
      wl_log_eventf (WL1001_NODE_STARTED, "address=a");
      errno = ENOMEM;
      abort ();
    }
  ck_assert_int_eq (waitpid (child, &status, 0), child);
  const char *text = close_log (&f);
  ck_assert_int_eq (WIFSIGNALED (status) ? WTERMSIG (status) : 0, SIGABRT);
  const char *started = strstr (text, "WL1001 address=a\n");
  ck_assert_ptr_nonnull (started);
  ck_assert_ptr_nonnull (strstr (started, "INFO node=1 WL1012 signal=6 errno=12\n"));
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (the_last_lines_are_written_at_exit_for_a_slow_reader),
    WL_TEST (lines_left_out_before_the_exit_are_counted),
    WL_TEST (an_abort_is_logged_after_the_lines_that_wait),
  };
  return wl_test_run ("log", tests, sizeof tests / sizeof tests[0]);
}
