#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include "wl_metrics.h"

enum
{
  FIRST_BOUND_US = 2000,
};

const char *
wl_reason_name (WlReason reason)
{
  static const char *const names[WL_REASONS] = {
    [WL_REASON_NO_CONFIG] = "no_config",
    [WL_REASON_NO_ROUTE] = "no_route",
    [WL_REASON_UNKNOWN_KEY] = "unknown_key",
    [WL_REASON_DEADLINE] = "deadline",
    [WL_REASON_TIMEOUT] = "timeout",
    [WL_REASON_NO_ENDPOINT] = "no_endpoint",
    [WL_REASON_TOO_LARGE] = "too_large",
    [WL_REASON_REJECTED] = "rejected",
    [WL_REASON_UNREACHABLE] = "unreachable",
    [WL_REASON_NO_SOCKET] = "no_socket",
    [WL_REASON_BROKEN] = "broken",
    [WL_REASON_INVALID] = "invalid",
    [WL_REASON_SILENT] = "silent",
    [WL_REASON_NO_SEAL] = "no_seal",
    [WL_REASON_ERROR] = "error",
    [WL_REASON_LIMIT] = "limit",
    [WL_REASON_STOPPING] = "stopping",
    [WL_REASON_QUARANTINED] = "quarantined",
    [WL_REASON_EVACUATED] = "evacuated",
  };
  return (unsigned)reason < WL_REASONS ? names[reason] : "?";
}

WlPromptClass
wl_metrics_prompt_class (uint32_t prompt)
{
  if (prompt == 0)
    return WL_PROMPT_NONE;
  if (prompt < 8192)
    return WL_PROMPT_SHORT;
  if (prompt < 32768)
    return WL_PROMPT_MEDIUM;
  return prompt < 131072 ? WL_PROMPT_LONG : WL_PROMPT_HUGE;
}

void
wl_histogram_add (WlHistogram *histogram, uint64_t us)
{
  uint64_t bound_us = FIRST_BOUND_US;
  histogram->count++;
  histogram->sum_us += us;
  for (int i = 0; i < WL_HISTOGRAM_BUCKETS; i++, bound_us *= 2)
    if (us <= bound_us)
      histogram->buckets[i]++;
}

static void __attribute__ ((format (printf, 2, 3))) append (WlBuffer *out, const char *format, ...)
{
  char line[160];
  va_list args;
  va_start (args, format);
  int n = vsnprintf (line, sizeof line, format, args);
  va_end (args);
  if (n > 0 && (size_t)n < sizeof line)
    wl_buffer_append (out, (WlBytes){ (const uint8_t *)line, (uint32_t)n });
}

void
wl_metrics_write_gauge (WlBuffer *out, const char *name, uint64_t value)
{
  append (out, "wisterialoft_%s %" PRIu64 "\n", name, value);
}

static void
write_reasons (WlBuffer *out, const char *name, const uint64_t *counts)
{
  for (int i = 0; i < WL_REASONS; i++)
    append (out, "wisterialoft_%s_total{reason=\"%s\"} %" PRIu64 "\n", name,
            wl_reason_name ((WlReason)i), counts[i]);
}

static void
write_histogram (WlBuffer *out, const char *name, const char *label, const WlHistogram *h)
{
  uint64_t bound_us = FIRST_BOUND_US;
  for (int i = 0; i < WL_HISTOGRAM_BUCKETS; i++, bound_us *= 2)
    append (out, "wisterialoft_%s_ms_bucket{%sle=\"%" PRIu64 "\"} %" PRIu64 "\n", name, label,
            bound_us / 1000, h->buckets[i]);
  append (out, "wisterialoft_%s_ms_bucket{%sle=\"+Inf\"} %" PRIu64 "\n", name, label, h->count);
  append (out, "wisterialoft_%s_ms_sum{%s} %" PRIu64 "\n", name, label, h->sum_us / 1000);
  append (out, "wisterialoft_%s_ms_count{%s} %" PRIu64 "\n", name, label, h->count);
}

void
wl_metrics_write (const WlMetrics *metrics, WlBuffer *out)
{
  static const char *const prompts[WL_PROMPT_CLASSES]
      = { "prompt=\"none\",", "prompt=\"short\",", "prompt=\"medium\",", "prompt=\"long\",",
          "prompt=\"huge\"," };
  wl_metrics_write_gauge (out, "requests_total", metrics->requests);
  wl_metrics_write_gauge (out, "answered_total", metrics->answered);
  wl_metrics_write_gauge (out, "streams_resumed_total", metrics->resumed);
  wl_metrics_write_gauge (out, "callers_gone_total", metrics->callers_disconnected);
  wl_metrics_write_gauge (out, "cut_total", metrics->cut);
  wl_metrics_write_gauge (out, "permits_used_total", metrics->permits_used);
  wl_metrics_write_gauge (out, "permits_denied_total", metrics->permits_denied);
  wl_metrics_write_gauge (out, "permits_returned_total", metrics->permits_returned);
  wl_metrics_write_gauge (out, "permits_answered_total", metrics->permits_answered);
  wl_metrics_write_gauge (out, "evacuations_changed_total", metrics->evacuations_changed);
  wl_metrics_write_gauge (out, "evacuated_attempts_total", metrics->evacuated_attempts);
  write_reasons (out, "refused", metrics->refused);
  write_reasons (out, "failed", metrics->failed);
  write_reasons (out, "repeated", metrics->repeated);
  for (int i = 0; i < WL_PROMPT_CLASSES; i++)
    write_histogram (out, "first_output", prompts[i], &metrics->first_output[i]);
  write_histogram (out, "waiting", "", &metrics->waiting);
  write_histogram (out, "longest_pause", "", &metrics->longest_pause);
  write_histogram (out, "loop_lag", "", &metrics->loop_lag);
}
