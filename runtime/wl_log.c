#include <errno.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <apr_time.h>
#include <log4c.h>
#include <unistd.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_log_sink.h"

enum
{
  REPORT_US = 1000000, /* between two reports of lines that were left out */
  FAULT_LINE_SIZE = 128,
  DAY_S = 86400,
};

static log4c_category_t *category;
static WlLogSink *sink;
static uint32_t node_id;
static uint32_t current_event; /* of the line that log4c is formatting */
static uint64_t report_us;

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  static char line[1200];
  apr_time_exp_t t;
  (void)layout;
  apr_time_exp_gmt (&t, (apr_time_t)wl_clock_wall_us ());
  snprintf (line, sizeof line, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ %s node=%u %s\n",
            t.tm_year + 1900, t.tm_mon + 1, t.tm_mday, t.tm_hour, t.tm_min, t.tm_sec,
            t.tm_usec / 1000, log4c_priority_to_string (event->evt_priority), node_id,
            event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type = { "wisterialoft", format_line };

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  (void)appender;
  wl_log_sink_add (sink, current_event, event->evt_rendered_msg, wl_clock_now_us ());
  return 0;
}

static const log4c_appender_type_t appender_type
    = { .name = "wisterialoft", .append = append_line };

void
wl_log_open (uint32_t node)
{
  node_id = node;
  sink = wl_log_sink_create (STDOUT_FILENO);
  log4c_init ();
  log4c_layout_type_set (&layout_type);
  log4c_appender_type_set (&appender_type);
  log4c_layout_t *layout = log4c_layout_get ("wisterialoft");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_t *appender = log4c_appender_get ("wisterialoft");
  log4c_appender_set_type (appender, &appender_type);
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("wisterialoft");
  log4c_category_set_appender (category, appender);
  log4c_category_set_priority (category, LOG4C_PRIORITY_INFO);
}

void
wl_log_set_node (uint32_t node)
{
  node_id = node;
}

void
wl_log_event (uint32_t number, const char *fields)
{
  if (category == NULL || !wl_log_sink_admit (sink, number, wl_clock_now_us ()))
    return;
  current_event = number;
  log4c_category_log (category, LOG4C_PRIORITY_INFO, "WL%u %s", number, fields);
}

static void
report_left_out (void *data, uint32_t event, uint64_t count)
{
  (void)data;
  wl_log_eventf (WL1009_LOG_LINES_LEFT_OUT, "event=%u count=%" PRIu64, event, count);
}

void
wl_log_flush (void)
{
  if (category == NULL)
    return;
  uint64_t now_us = wl_clock_now_us ();
  if (now_us >= report_us)
    {
      report_us = now_us + REPORT_US;
      wl_log_sink_left_out (sink, report_left_out, NULL);
    }
  /* A failed write leaves nowhere to report it but the counts of the next report. */
  (void)wl_log_sink_flush (sink, now_us);
}

void
wl_log_eventf (uint32_t number, const char *format, ...)
{
  char fields[900];
  va_list args;
  va_start (args, format);
  vsnprintf (fields, sizeof fields, format, args);
  va_end (args);
  wl_log_event (number, fields);
}

/* ---- faults: only what may be called in a signal handler ---- */

static char *
put_text (char *out, const char *text)
{
  while (*text != '\0')
    *out++ = *text++;
  return out;
}

/* Writes at least @digits digits. */
static char *
put_number (char *out, uint64_t value, int digits)
{
  char reversed[20];
  int n = 0;
  for (; value > 0 || n < digits; value /= 10)
    reversed[n++] = (char)('0' + value % 10);
  while (n > 0)
    *out++ = reversed[--n];
  return out;
}

/* The Gregorian date of a day after 1970-01-01, counted in years that begin in March. */
static char *
put_date (char *out, uint64_t day)
{
  uint64_t shifted = day + 719468;
  uint64_t era = shifted / 146097;
  uint64_t of_era = shifted % 146097;
  uint64_t year = (of_era - of_era / 1460 + of_era / 36524 - of_era / 146096) / 365;
  uint64_t of_year = of_era - (365 * year + year / 4 - year / 100);
  uint64_t month = (5 * of_year + 2) / 153;
  uint64_t is_late = month >= 10;
  out = put_number (out, era * 400 + year + is_late, 4);
  out = put_text (out, "-");
  out = put_number (out, is_late ? month - 9 : month + 3, 2);
  out = put_text (out, "-");
  return put_number (out, of_year - (153 * month + 2) / 5 + 1, 2);
}

static char *
put_time (char *out)
{
  struct timespec now = { 0, 0 };
  clock_gettime (CLOCK_REALTIME, &now);
  uint64_t of_day = (uint64_t)now.tv_sec % DAY_S;
  out = put_date (out, (uint64_t)now.tv_sec / DAY_S);
  out = put_number (put_text (out, "T"), of_day / 3600, 2);
  out = put_number (put_text (out, ":"), of_day / 60 % 60, 2);
  out = put_number (put_text (out, ":"), of_day % 60, 2);
  out = put_number (put_text (out, "."), (uint64_t)now.tv_nsec / 1000000, 3);
  return put_text (out, "Z");
}

/* errno is that of the allocation that failed when memory is the cause. */
static void
on_fault (int number)
{
  char line[FAULT_LINE_SIZE];
  uint64_t error = (uint64_t)errno;
  if (sink == NULL)
    return;
  char *out = put_number (put_text (put_time (line), " INFO node="), node_id, 1);
  out = put_number (put_text (out, " WL"), WL1012_FAULT, 4);
  out = put_number (put_text (out, " signal="), (uint64_t)number, 1);
  out = put_number (put_text (out, " errno="), error, 1);
  out = put_text (out, "\n");
  wl_log_sink_abandon (sink, line, (size_t)(out - line));
}

void
wl_log_catch_faults (void)
{
  static const int faults[] = { SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV };
  struct sigaction action = { .sa_handler = on_fault, .sa_flags = (int)SA_RESETHAND };
  for (size_t i = 0; i < sizeof faults / sizeof *faults; i++)
    sigaction (faults[i], &action, NULL);
}

void
wl_log_close (int timeout_ms)
{
  if (category == NULL)
    return;
  /* The process ends: a failure has nowhere to be reported. */
  if (wl_log_sink_drain (sink, timeout_ms) == 0)
    {
      wl_log_sink_left_out (sink, report_left_out, NULL);
      (void)wl_log_sink_drain (sink, timeout_ms);
    }
  log4c_fini ();
  wl_log_sink_destroy (sink);
  sink = NULL;
  category = NULL;
}
