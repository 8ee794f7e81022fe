#ifndef WL_TRACE_H
#define WL_TRACE_H

#include <stdint.h>

/* Ring of the latest decisions on requests, for `wisterialoft status --request`. */

enum
{
  WL_TRACE_RECORDS = 8192, /* decisions kept */
};

/** enum WlTraceKind - kind of a decision; the comments explain WlTraceRecord.a and b */
typedef enum
{
  WL_TRACE_ADMITTED, /* a: prompt tokens */
  WL_TRACE_REFUSED,  /* a: WlRefusalReason */
  WL_TRACE_CLAIM_SENT,
  WL_TRACE_CLAIMED,
  WL_TRACE_PLACE_SENT,  /* a: attempt, b: node id of the cell owner */
  WL_TRACE_GRANTED,     /* a: endpoint id, b: time in the queue in microseconds */
  WL_TRACE_FIRST_TOKEN, /* a: microseconds since admission */
  WL_TRACE_ATTEMPT_END, /* a: attempt, b: WlEndKind */
  WL_TRACE_STALLED,     /* a: attempt */
  WL_TRACE_RETRY,       /* a: next attempt, b: delivered tokens */
  WL_TRACE_NO_BUDGET,   /* not retried: the retry budget is empty */
  WL_TRACE_TIMED_OUT,
  WL_TRACE_CALLER_DISCONNECTED,
  WL_TRACE_ENDED,  /* a: WlOutcome, b: tokens */
  WL_TRACE_CACHED, /* a: prompt tokens expected in the KV cache, b: tokens found there */
} WlTraceKind;

typedef struct
{
  uint64_t request;
  uint64_t wall_us;
  WlTraceKind kind;
  uint64_t a;
  uint64_t b;
} WlTraceRecord;

typedef struct
{
  WlTraceRecord ring[WL_TRACE_RECORDS];
  uint64_t count;
} WlTrace;

/**
 * wl_trace_add() - records a decision, in place of the oldest one when the ring is full
 * @trace: the ring
 * @record: the decision
 */
void wl_trace_add (WlTrace *trace, const WlTraceRecord *record);

/**
 * wl_trace_name() - names a kind of decision
 * @kind: the kind
 *
 * Return: a static string.
 */
const char *wl_trace_name (WlTraceKind kind);

#endif
