#ifndef WL_SOAK_REQUEST_H
#define WL_SOAK_REQUEST_H

#include <stddef.h>
#include <stdint.h>

/*
 * Requests of a run: what was planned for each, and what its caller and the
 * endpoints saw of it. Times are those of wl_clock_now_us (), 0 if it did not
 * happen.
 */

/**
 * enum WlSoakKind - kinds of requests, one route each
 */
typedef enum
{
  WL_SOAK_LONG,  /* stream of an engine that may be resumed, long prompt */
  WL_SOAK_SHORT, /* the same with a short prompt */
  WL_SOAK_ONCE,  /* stream of an engine that may not be resumed */
  WL_SOAK_READ,  /* idempotent */
  WL_SOAK_ORDER, /* non_idempotent */
  WL_SOAK_KINDS,
} WlSoakKind;

/**
 * struct WlSoakKindInfo - a kind of request
 * @route_kind: as in the configuration
 * @service: index of its service, 0 has engines
 * @objective_ms: of its route
 * @timeout_ms: of its route, and the callers' usual deadline
 */
typedef struct
{
  const char *name;
  const char *route_kind;
  uint8_t service;
  uint8_t may_resume;
  uint8_t may_repeat;
  uint32_t objective_ms;
  uint32_t timeout_ms;
} WlSoakKindInfo;

extern const WlSoakKindInfo wl_soak_kinds[WL_SOAK_KINDS];

typedef enum
{
  WL_SOAK_CHUNKED,
  WL_SOAK_LENGTH,
  WL_SOAK_UNTIL_CLOSE,
} WlSoakFraming;

/** enum WlSoakFault - what the first endpoint does instead of a whole answer */
typedef enum
{
  WL_SOAK_SOUND,
  WL_SOAK_CLOSES,
  WL_SOAK_RESETS,
  WL_SOAK_FAILS, /* its own 500 */
} WlSoakFault;

typedef enum
{
  WL_SOAK_OPEN,
  WL_SOAK_ANSWERED, /* complete framing */
  WL_SOAK_CLOSED,   /* the node closed the connection */
  WL_SOAK_BROKEN,   /* the connection was reset or carried no HTTP */
  WL_SOAK_LEFT,     /* the caller closed it */
} WlSoakEnd;

/**
 * struct WlSoakRequest - a request
 * @prompt_tokens: X-Token-Count
 * @service_ms: of a plain service
 * @deadline_ms: of its caller, the timeout of its route at most
 * @n_events, @event_bytes, @event_gap_ms: the answer; its body is the events one after the other
 * @fault_event: event before which the fault happens
 * @bad: number of the bad part that it has, 0 for none, see wl_soak_parts.h
 * @second_part: of its prompt
 * @is_at_calm_node: its node was neither stopped nor just started when it began
 * @is_quarantined: a node has logged that it refused the request for its part
 * @origin: the stream that it resumes, whose answer it continues, or NULL
 * @first_event: the first that its caller has not got, 0 without @origin
 * @node: index of the node that it was sent to
 * @connected_us: when its connection was opened
 * @sent_us: when the kernel had taken its last byte, 0 if it was not sent whole
 * @turn_us: when the caller had read the answer before it, or began to send it if there is none
 * @body_bytes: received of the answer
 * @behind: the request whose answer was the last that its connection could carry, or NULL
 * @n_arrivals: at endpoints
 * @n_runs: of which began to run, with the first output of an engine
 * @arrived_us: first arrival at an endpoint
 * @work_us, @work_ended_us: begin and end of the latest work on it
 * @whole_us: when an endpoint had sent the whole answer
 * @endpoint_status: of the latest work
 * @broken_off: WlSoakFault by which an endpoint ended the latest work early
 * @n_broken_off: how often endpoints have done so
 * @limited_start: what its latest answer came from, if it named a limit, see wl_soak_limits.c
 * @slowness: of the endpoint at its latest work, see WlSoakOptions
 */
typedef struct WlSoakRequest
{
  uint32_t index;
  char id[17];
  uint8_t kind;
  uint8_t framing;
  uint8_t fault;
  uint8_t has_chunked_body;
  uint8_t is_slow_reader;
  uint32_t caller;
  uint32_t traits;
  uint32_t prompt_tokens;
  uint32_t service_ms;
  uint32_t deadline_ms;
  uint32_t n_events;
  uint32_t event_bytes;
  uint32_t event_gap_ms;
  uint32_t fault_event;
  uint8_t bad;
  uint8_t is_at_calm_node;
  uint8_t is_quarantined;
  uint64_t second_part;
  const struct WlSoakRequest *origin;
  uint32_t first_event;

  uint32_t node;
  uint64_t connected_us;
  uint64_t started_us;
  uint64_t sent_us;
  uint64_t turn_us;
  uint64_t answered_us;
  uint64_t ended_us;
  uint64_t body_bytes;
  uint16_t status;
  uint8_t end;
  uint8_t has_seal;
  uint8_t has_other_bytes;
  uint8_t has_wrong_id;
  const struct WlSoakRequest *behind;

  uint16_t n_arrivals;
  uint16_t n_runs;
  uint64_t arrived_us;
  uint64_t work_us;
  uint64_t work_ended_us;
  uint64_t whole_us;
  uint16_t endpoint_status;
  uint8_t broken_off;
  uint16_t n_broken_off;
  uint32_t limited_start;
  uint32_t slowness;
} WlSoakRequest;

/** wl_soak_request_add() - a request of @kind, planned by @random */
WlSoakRequest *wl_soak_request_add (WlSoakKind kind, uint32_t caller, uint64_t *random);

/**
 * wl_soak_request_resume() - makes a request that was just added ask for the rest of a stream
 * @broken: the stream, of the same kind, of which some whole events have been received
 */
void wl_soak_request_resume (WlSoakRequest *r, const WlSoakRequest *broken);

/** wl_soak_request_find() - the request with an id, NULL if no caller sent one */
WlSoakRequest *wl_soak_request_find (const char *id);

/** wl_soak_request_at() - requests in the order of wl_soak_request_add (), NULL at the end */
WlSoakRequest *wl_soak_request_at (uint32_t index);

/** wl_soak_request_clear() - frees all */
void wl_soak_request_clear (void);

/** wl_soak_request_stated_ms() - time of a whole answer by the figures of the configuration */
uint64_t wl_soak_request_stated_ms (const WlSoakRequest *r);

/** wl_soak_request_taken_ms() - time of a whole answer at the endpoint of the latest work */
uint64_t wl_soak_request_taken_ms (const WlSoakRequest *r);

/** wl_soak_request_body_bytes() - size of the whole answer, from @first_event */
uint64_t wl_soak_request_body_bytes (const WlSoakRequest *r);

/** wl_soak_request_body() - writes @size bytes of the answer from @offset, 0 is that of event 0 */
void wl_soak_request_body (const WlSoakRequest *r, uint64_t offset, char *out, size_t size);

#endif
