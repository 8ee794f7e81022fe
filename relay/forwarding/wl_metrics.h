#ifndef WL_METRICS_H
#define WL_METRICS_H

#include "wl_buffer.h"

/*
 * Counters and histograms of a node, written in the Prometheus exposition
 * format: text lines "name{label} value". The sets of labels are fixed.
 */

/**
 * enum WlReason - why a request or an attempt failed
 *
 * wl_reason_name() gives the names in logs and metrics.
 */
typedef enum
{
  WL_REASON_NO_CONFIG,   /* this node has no configuration yet */
  WL_REASON_NO_ROUTE,    /* no route matches the path */
  WL_REASON_UNKNOWN_KEY, /* no customer has this key */
  WL_REASON_DEADLINE,    /* no endpoint can respond before the deadline */
  WL_REASON_TIMEOUT,     /* the time limit has passed */
  WL_REASON_NO_ENDPOINT, /* no usable endpoint */
  WL_REASON_TOO_LARGE,   /* needs more memory than all endpoints together have */
  WL_REASON_REJECTED,    /* endpoints stated that they did not run it */
  WL_REASON_UNREACHABLE, /* connecting to the tried endpoints failed */
  WL_REASON_NO_SOCKET,   /* no file descriptor is free */
  WL_REASON_BROKEN,      /* the connection closed before the response was complete */
  WL_REASON_INVALID,     /* what the endpoint sent is no HTTP response, or cannot be used */
  WL_REASON_SILENT,      /* the endpoint sent nothing for longer than its load explains */
  WL_REASON_NO_SEAL,     /* a response without the endpoint's seal, see WlRelayResponseInfo */
  WL_REASON_ERROR,       /* the endpoint responded with status 5xx */
  WL_REASON_STOPPING,    /* the response cannot be complete before this node exits */
  WL_REASON_LIMIT,       /* endpoints with a limit could serve it, but not in time */
  WL_REASON_QUARANTINED, /* a part of the prompt is quarantined, see wl_quarantine.h */
  WL_REASON_EVACUATED,   /* all usable endpoints are in evacuated failure domains */
  WL_REASONS,
} WlReason;

/** enum WlPromptClass - prompt sizes with separate histograms of the time to first output */
typedef enum
{
  WL_PROMPT_NONE,   /* requests without a prompt: time to the complete response */
  WL_PROMPT_SHORT,  /* below 8,192 tokens */
  WL_PROMPT_MEDIUM, /* below 32,768 tokens */
  WL_PROMPT_LONG,   /* below 131,072 tokens */
  WL_PROMPT_HUGE,
  WL_PROMPT_CLASSES,
} WlPromptClass;

enum
{
  WL_HISTOGRAM_BUCKETS = 16, /* upper bounds 2, 4, 8 ... 65,536 ms */
};

/**
 * struct WlHistogram - cumulative histogram of durations
 * @buckets: number of durations up to each bucket's upper bound
 * @count: number of durations
 * @sum_us: sum of the durations
 */
typedef struct
{
  uint64_t buckets[WL_HISTOGRAM_BUCKETS];
  uint64_t count;
  uint64_t sum_us;
} WlHistogram;

/**
 * struct WlMetrics - counters of a node since its start
 * @requests: requests that matched a route
 * @answered: complete responses sent to callers, of any status
 * @refused: requests that have not run and were refused, by reason
 * @failed: requests that may have run and failed, by reason
 * @repeated: retried attempts, by the reason why the previous one failed
 * @resumed: streams continued at another endpoint
 * @cut: requests that were dropped without a whole answer when the node exited
 * @permits_used: requests sent to an endpoint with a limit
 * @permits_denied: asks for a permit that were denied, or not answered in time
 * @permits_returned: permits that came to no use
 * @permits_answered: asks that this node has answered
 * @evacuations_changed: starts and finishes of evacuations that this node has applied
 * @evacuated_attempts: attempts not sent, since a failure domain was evacuated after their choice
 * @callers_disconnected: callers that disconnected before their response ended
 * @first_output: time to first output, by prompt size
 * @waiting: time from arrival to the first attempt
 * @longest_pause: longest pause between two events of each stream
 * @loop_lag: delay of the event loop's ticks
 */
typedef struct
{
  uint64_t requests;
  uint64_t answered;
  uint64_t refused[WL_REASONS];
  uint64_t failed[WL_REASONS];
  uint64_t repeated[WL_REASONS];
  uint64_t resumed;
  uint64_t cut;
  uint64_t permits_used;
  uint64_t permits_denied;
  uint64_t permits_returned;
  uint64_t permits_answered;
  uint64_t evacuations_changed;
  uint64_t evacuated_attempts;
  uint64_t callers_disconnected;
  WlHistogram first_output[WL_PROMPT_CLASSES];
  WlHistogram waiting;
  WlHistogram longest_pause;
  WlHistogram loop_lag;
} WlMetrics;

/** wl_reason_name() - name of a reason in logs and metrics */
const char *wl_reason_name (WlReason reason);

/** wl_metrics_prompt_class() - class of a prompt of @prompt tokens */
WlPromptClass wl_metrics_prompt_class (uint32_t prompt);

/** wl_histogram_add() - counts a duration */
void wl_histogram_add (WlHistogram *histogram, uint64_t us);

/** wl_metrics_write() - appends all counters and histograms */
void wl_metrics_write (const WlMetrics *metrics, WlBuffer *out);

/** wl_metrics_write_gauge() - appends one value, with the prefix of all metrics before @name */
void wl_metrics_write_gauge (WlBuffer *out, const char *name, uint64_t value);

#endif
