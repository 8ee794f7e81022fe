#include "wl_trace.h"

void
wl_trace_add (WlTrace *trace, const WlTraceRecord *record)
{
  trace->ring[trace->count++ % WL_TRACE_RECORDS] = *record;
}

const char *
wl_trace_name (WlTraceKind kind)
{
  switch (kind)
    {
    case WL_TRACE_ADMITTED:
      return "admitted";
    case WL_TRACE_REFUSED:
      return "refused";
    case WL_TRACE_CLAIM_SENT:
      return "claim_sent";
    case WL_TRACE_CLAIMED:
      return "claimed";
    case WL_TRACE_PLACE_SENT:
      return "place_sent";
    case WL_TRACE_GRANTED:
      return "granted";
    case WL_TRACE_FIRST_TOKEN:
      return "first_token";
    case WL_TRACE_ATTEMPT_END:
      return "attempt_end";
    case WL_TRACE_STALLED:
      return "stalled";
    case WL_TRACE_RETRY:
      return "retry";
    case WL_TRACE_NO_BUDGET:
      return "no_retry_budget";
    case WL_TRACE_TIMED_OUT:
      return "timed_out";
    case WL_TRACE_CALLER_DISCONNECTED:
      return "caller_gone";
    case WL_TRACE_ENDED:
      return "ended";
    case WL_TRACE_CACHED:
      return "cached";
    }
  return "?";
}
