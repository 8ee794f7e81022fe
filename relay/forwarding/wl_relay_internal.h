#ifndef WL_RELAY_INTERNAL_H
#define WL_RELAY_INTERNAL_H

#include "wl_budget.h"
#include "wl_event_stream.h"
#include "wl_relay.h"

/*
 * Shared by the files of the relay: wl_relay.c (requests), wl_relay_answer.c
 * (attempts and their responses), wl_relay_retry.c (failed attempts),
 * wl_relay_evidence.c and wl_relay_quarantine.c (parts that end engines), wl_relay_limits.c
 * (endpoints that name a limit) and wl_relay_stop.c
 * (the exit of the node).
 */

enum
{
  WL_RELAY_CONNECT_FAILURES_MAX = 4,   /* failed connects before a request is refused */
  WL_RELAY_BUDGETS_MAX = 64,           /* services with a retry budget of their own */
  WL_RELAY_QUEUE_PAUSE_BYTES = 262144, /* queue for a caller above which reading pauses */
  WL_RELAY_BODY_MAX_BYTES = 1 << 20,   /* of a response that is kept until it is complete */
  WL_RELAY_HELD_MAX_BYTES = 8 << 20,  /* of all responses; over it WL_RELAY_SHARE_MAX_BYTES holds */
  WL_RELAY_SHARE_MAX_BYTES = 1 << 15, /* of one response then, instead of the limits above */
  WL_RELAY_PART_TEXT_SIZE = 80,       /* see wl_relay_part_text() */
  WL_RELAY_ENDS_MAX = 64,             /* latest ends of engines, and latest short responses */
  WL_RELAY_LIMIT_TEXT_SIZE = 256,     /* see wl_relay_limit_text() */
};

/**
 * enum WlRelayPhase - state of a request
 * @WL_RELAY_WAITING: not sent to an endpoint
 * @WL_RELAY_SENT: sent to an endpoint; the caller has received nothing yet
 * @WL_RELAY_ANSWERING: the caller has received a part of the response
 */
typedef enum
{
  WL_RELAY_WAITING,
  WL_RELAY_SENT,
  WL_RELAY_ANSWERING,
} WlRelayPhase;

/**
 * struct WlRelayTarget - endpoint of an attempt: the one that answers, or a helper
 * @key: its wl_fleet_key(), 0 for none
 * @id: its id
 * @address: IPv4 address, network byte order
 * @port: its port
 * @reserved_tokens: KV cache tokens to reserve there, 0 for none
 * @reservation: the reservation, NULL for none
 */
typedef struct
{
  uint64_t key;
  char id[WL_LABEL_SIZE];
  uint32_t address;
  uint16_t port;
  uint64_t reserved_tokens;
  WlReservation *reservation;
} WlRelayTarget;

/**
 * struct WlRelayRequest - one caller's request
 * @number: number of the request since the node's start, from 1
 * @arrived_us: when the request was read
 * @limit_us: when the request fails with a timeout
 * @retry_us: when to try the placement again
 * @is_wait_logged: whether it was logged why the request waits
 * @is_parked: waits for the first configuration; only @relay, @web and @number are set
 * @part_use: the parts of its prompt; without parts, or for endpoints that are no engines,
 *   @part_use.parts is NULL
 * @quarantine_answer: the latest verdict on these parts
 * @is_trial: the current attempt is a trial of a quarantined part
 * @permit_ask: the ask for a permit that is in progress, 0 for none
 * @permitted: key of the endpoint that the current choice has a permit for, 0 for none
 * @is_refresh: the ask only renews the word on a limit: other endpoints would do
 * @is_denied: an ask was denied
 * @denied_until_us: when a permit is to be expected, if @is_denied
 * @ask_us: no other ask before
 * @choose_us: when to try other endpoints again while an ask is in progress
 * @fetch: the HTTP request to @target, NULL when none is in progress
 * @choice_request: the input of the placement
 * @choice: the placement of the current attempt
 * @target: endpoint that answers the current attempt
 * @helpers: endpoints that prefill parts of the prompt for it, @n_helpers of them
 * @n_pending_reservations: reservations without a response yet
 * @is_reservation_refused: one of the attempt's reservations was refused
 * @sent_us: when the current attempt was sent
 * @expected_us: forecast, at its placement, of the time until its response is complete
 * @progress_us: when the endpoint last sent something, or reading from it went on
 * @output_us: when the first output of the current attempt arrived, 0 for not yet
 * @first_us: when the first output was forwarded, 0 for not yet
 * @longest_pause_us: longest pause between two events so far
 * @attempts: number of attempts sent to endpoints
 * @n_connect_failures: attempts whose connection could not be established
 * @may_have_run: an endpoint may have run the request, or a part of it
 * @is_decoding: the current attempt has delivered output
 * @is_paused: reading of the response is paused until the caller has read more
 * @is_aborted: this node broke the current attempt's response off, which it cannot use
 * @is_sound: the current attempt has shown that the parts of the prompt are sound
 * @has_marked_end: the end of the response is marked, by a length or by chunks
 * @is_stall_recorded: the stall of the current attempt was recorded as a failure
 * @is_resumed: the current attempt goes on with a response that the caller has a part of
 * @forwards_events: the response is a stream whose events are forwarded as they arrive
 * @has_only_events: it must end after an event: the endpoint says so by the type, or the body ends
 *   with its connection; any other one may be a body without events
 * @is_close_delimited: the response's body ends with its connection
 * @status: HTTP status of the response
 * @fields: header fields of the response, for the caller
 * @body: the part of the response's body that is kept back
 */
typedef struct WlRelayRequest
{
  WlRelay *relay;
  WlWebRequest *web;
  WlRoutes *routes;
  const WlRoute *route;
  const WlRouteService *service;
  const WlRouteCustomer *customer;
  WlRelayRequestInfo info;
  uint64_t number;
  uint64_t arrived_us;
  uint64_t limit_us;
  uint64_t retry_us;
  WlRelayPhase phase;
  uint8_t is_wait_logged;
  uint8_t is_parked;
  WlPartUse part_use;
  WlQuarantineAnswer quarantine_answer;
  uint8_t is_trial;
  uint64_t permit_ask;
  uint64_t permitted;
  uint8_t is_refresh;
  uint8_t is_denied;
  uint64_t denied_until_us;
  uint64_t ask_us;
  uint64_t choose_us;

  WlFetch *fetch;
  WlChoiceRequest choice_request;
  WlChoice choice;
  WlRelayTarget target;
  WlRelayTarget helpers[WL_CHOICE_HELPERS_MAX];
  uint32_t n_helpers;
  uint32_t n_pending_reservations;
  uint8_t is_reservation_refused;
  uint64_t sent_us;
  uint64_t expected_us;
  uint64_t progress_us;
  uint64_t output_us;
  uint64_t first_us;
  uint64_t longest_pause_us;
  uint32_t attempts;
  uint32_t n_connect_failures;
  uint8_t may_have_run;
  uint8_t is_decoding;
  uint8_t is_paused;
  uint8_t is_aborted;
  uint8_t is_sound;
  uint8_t has_marked_end;
  uint8_t is_stall_recorded;
  uint8_t is_resumed;
  uint8_t forwards_events;
  uint8_t has_only_events;
  uint8_t is_close_delimited;

  uint32_t status;
  WlRelayResponseInfo response;
  WlBuffer fields;
  WlBuffer body;
  WlEventStream events;

  struct WlRelayRequest *next;
  struct WlRelayRequest *previous;
} WlRelayRequest;

/**
 * struct WlRelaySuspect - an attempt under which an engine ended, or may have ended
 * @endpoint: key of the engine, 0 for an unused entry
 * @at_us: when the attempt ended
 * @has_output: the engine had begun to write
 * @parts: parts of the prompt
 * @use: their use; @use.parts is not valid
 * @endpoint_id: id of the engine, for the log
 * @service: name of its service
 * @request: id of the request
 */
typedef struct
{
  uint64_t endpoint;
  uint64_t at_us;
  int has_output;
  WlPromptParts parts;
  WlPartUse use;
  char endpoint_id[WL_LABEL_SIZE];
  char service[WL_LABEL_SIZE];
  char request[WL_LABEL_SIZE];
} WlRelaySuspect;

/** struct WlRelayEnd - end of an engine; @endpoint: its key */
typedef struct
{
  uint64_t endpoint;
  uint64_t at_us;
} WlRelayEnd;

struct WlRelay
{
  WlRelayOptions options;
  uint64_t started_us;
  WlRoutes *routes;
  WlRelayRequest *requests;
  uint32_t n_active;
  uint64_t held_bytes; /* of responses: at the latest tick, and changes since */
  uint32_t n_nodes;    /* that are alive */
  uint8_t is_load_partial;
  WlBudgetNodes budget_nodes;
  uint64_t next_number;
  uint64_t random;
  WlBudget budgets[WL_RELAY_BUDGETS_MAX];
  char budget_names[WL_RELAY_BUDGETS_MAX][WL_LABEL_SIZE];
  uint32_t n_budgets;
  WlMetrics metrics;
  WlReservations *reservations;
  WlQuarantine *quarantine;
  WlLimits *limits;
  WlPermits *permits;
  uint64_t unreadable_limit_us;   /* an unreadable limit is logged again from then on */
  uint64_t quarantine_generation; /* whose quarantined parts have ended their requests */
  WlQuarantinedPart logged_parts[WL_QUARANTINE_ENTRIES_MAX]; /* as last logged */
  uint32_t n_logged_parts;
  WlRelayEnd ends[WL_RELAY_ENDS_MAX]; /* a ring, as the next one */
  uint32_t n_ends;
  WlRelaySuspect short_responses[WL_RELAY_ENDS_MAX]; /* that may have ended with their engine */
  uint32_t n_short_responses;
  WlRelayStop stop;  /* @close_us is 0 until the node begins to stop */
  uint8_t is_closed; /* wl_relay_close() was called */
};

/** wl_relay_choose() - chooses endpoints for a request now, without starting an attempt */
WlChoice wl_relay_choose (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_held_bytes() - bytes of the response that are kept until more has arrived */
uint64_t wl_relay_held_bytes (const WlRelayRequest *r);

/** wl_relay_is_full() - whether the responses of all requests hold too many bytes together */
int wl_relay_is_full (const WlRelay *relay);

/** wl_relay_place() - starts an attempt, or lets the request wait, or refuses it */
void wl_relay_place (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_start_attempt() - makes the reservations of @choice, then sends the request */
void wl_relay_start_attempt (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_release_endpoints() - reports the attempt's work as ended and releases reservations */
void wl_relay_release_endpoints (WlRelayRequest *r);

/** wl_relay_may_retry() - whether a request may be sent again; if so, charges the retry budget */
int wl_relay_may_retry (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_refuse() - ends a request that has not run, with a Retry-After field */
void wl_relay_refuse (WlRelayRequest *r, uint64_t retry_after_us, WlReason reason);

/** wl_relay_fail() - responds with @status, or breaks off a response that has begun */
void wl_relay_fail (WlRelayRequest *r, uint32_t status, WlReason reason);

/** wl_relay_free_request() - cancels what is in progress for a request, and frees it */
void wl_relay_free_request (WlRelayRequest *r);

/** wl_relay_finish() - logs the end of a request that was answered, and frees it */
void wl_relay_finish (WlRelayRequest *r, const char *outcome);

/** wl_relay_exclude() - excludes an endpoint from later attempts */
void wl_relay_exclude (WlRelayRequest *r, uint64_t key);

/** wl_relay_current_endpoint() - endpoint of the current attempt, NULL when it has expired */
WlEndpoint *wl_relay_current_endpoint (const WlRelayRequest *r);

/** wl_relay_record_failure() - counts a failure of an endpoint, which may be NULL; may eject it */
void wl_relay_record_failure (WlRelayRequest *r, WlEndpoint *e, WlFailure failure, WlReason reason,
                              uint64_t now_us);

/** wl_relay_begin_parts() - records the parts of a new request; its service must be set */
void wl_relay_begin_parts (WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_note_broken() - records that the connection of the current attempt broke
 * @r: the request; still with the state of the attempt
 * @now_us: monotonic time
 *
 * May quarantine a part. wl_relay_end_quarantined() must follow once @r has been handled.
 */
void wl_relay_note_broken (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_note_refused() - records that the endpoint of the current attempt refused to connect */
void wl_relay_note_refused (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_note_reported_ends() - records that engines ended under requests of another node */
void wl_relay_note_reported_ends (WlRelay *relay, const WlPartReport *report, uint64_t now_us);

/** wl_relay_hash_name() - hash that stands for the name of a service, route or customer */
uint64_t wl_relay_hash_name (const char *name);

/** wl_relay_note_output() - records that the endpoint has sent a part of the response's body */
void wl_relay_note_output (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_note_complete() - records that the response is complete */
void wl_relay_note_complete (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_is_quarantined() - whether a part of the request's prompt is quarantined */
int wl_relay_is_quarantined (WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_refuse_quarantined() - ends a request with a quarantined part, unless a trial is due
 * @r: the request; without an attempt in progress
 * @now_us: monotonic time
 *
 * Return: 1 when the request has ended. Else it may be sent, after wl_relay_refuse_trial().
 */
int wl_relay_refuse_quarantined (WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_refuse_trial() - ends a request that may be a trial, if it cannot begin now
 * @r: the request, whose choice was just made
 * @now_us: monotonic time
 *
 * A trial runs at an endpoint without other work, unless it is overdue.
 *
 * Return: 1 when the request has ended.
 */
int wl_relay_refuse_trial (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_begin_trial() - records that a request is sent as a trial, if it is one */
void wl_relay_begin_trial (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_end_quarantined() - ends the requests whose parts are newly quarantined */
void wl_relay_end_quarantined (WlRelay *relay, uint64_t now_us);

/**
 * wl_relay_log_parts() - logs which parts were quarantined, widened or released since the last call
 * @relay: the relay
 * @cause: by what, as key=value fields
 * @now_us: monotonic time
 */
void wl_relay_log_parts (WlRelay *relay, const char *cause, uint64_t now_us);

/** wl_relay_part_text() - the quarantined part, for log lines of requests; empty without one */
const char *wl_relay_part_text (const WlRelayRequest *r, char *out, size_t size);

/**
 * wl_relay_note_limit() - records what the head of a response says of its endpoint's limit
 * @r: the request, with the response
 * @status: of the response
 * @is_current: it is the response to the current attempt; else to an earlier request
 * @now_us: monotonic time
 */
void wl_relay_note_limit (WlRelayRequest *r, uint32_t status, int is_current, uint64_t now_us);

/**
 * wl_relay_note_engine_limit() - records the limit that a response to a reservation command names
 * @relay: the relay
 * @endpoint: id of the engine
 * @head: head of its response; one without a limit says nothing
 */
void wl_relay_note_engine_limit (void *relay, const char *endpoint, const WlHttpHead *head);

/** wl_relay_limit_text() - limited endpoints, for log lines of requests; empty without one */
const char *wl_relay_limit_text (const WlRelayRequest *r, char *out, size_t size);

/** wl_relay_is_asking() - whether a request waits for the answer to its ask, and no choice is due
 */
int wl_relay_is_asking (WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_seek_permit() - asks for a permit when the choice among other endpoints is not enough
 * @r: the request, whose choice was just made
 * @now_us: monotonic time
 *
 * With a permit the request's choice becomes the endpoint of the permit.
 *
 * Return: 1 when the request has to wait for the answer.
 */
int wl_relay_seek_permit (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_refuse_limited() - refuses a request that only endpoints with a limit could serve */
int wl_relay_refuse_limited (WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_use_permit() - uses the permit for an attempt that is sent now
 *
 * Return: 0 when the attempt must not be sent: an endpoint has a limit, and there is no valid
 * permit for it.
 */
int wl_relay_use_permit (WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_admit_attempt() - whether an attempt may be sent now
 * @r: the request, with the endpoint and the helpers of its choice
 * @now_us: monotonic time
 *
 * Every attempt passes here right before it is sent: the choice may be older, since reservations
 * are made after it.
 *
 * Return: 0 when it must not be sent; the request is then to be placed anew.
 */
int wl_relay_admit_attempt (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_refuse_evacuated() - refuses a request that only endpoints in evacuated failure domains
 * could serve; returns 0 for others */
int wl_relay_refuse_evacuated (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_drop_permit() - ends the ask of a request that needs no permit any more */
void wl_relay_drop_permit (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_on_failure() - retries or fails a request after an attempt that may have run */
void wl_relay_on_failure (WlRelayRequest *r, WlReason reason, uint64_t now_us);

/** wl_relay_on_rejection() - retries or refuses a request that an endpoint states it has not run */
void wl_relay_on_rejection (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_on_connect_failure() - retries or refuses a request after connecting failed */
void wl_relay_on_connect_failure (WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_replace_attempt() - moves a request to another endpoint, if one has room now
 * @r: the request
 * @reason: why
 * @now_us: monotonic time
 *
 * Return: 0 when the request stays with its attempt, whose response may still be of use.
 */
int wl_relay_replace_attempt (WlRelayRequest *r, WlReason reason, uint64_t now_us);

/** wl_relay_holds_memory() - whether the current attempt has reservations */
int wl_relay_holds_memory (const WlRelayRequest *r);

/** wl_relay_abandon_attempt() - cancels an attempt at an endpoint that is probably dead */
void wl_relay_abandon_attempt (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_replace_unresponsive() - moves a request from an unresponsive endpoint, if possible */
void wl_relay_replace_unresponsive (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_expected_duration_us() - forecast of a request's response, sent now as in its choice */
uint64_t wl_relay_expected_duration_us (const WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_may_outlast_node() - whether a stopping node has to refuse a request, for its limit
 * @r: a request
 *
 * Return: 1 for a request whose limit is behind the exit. 0 for one that cannot be refused,
 * since an endpoint may have run it or its response has begun: it is tried as long as possible.
 */
int wl_relay_may_outlast_node (const WlRelayRequest *r);

/**
 * wl_relay_must_stay() - whether a silent response must not be moved, since the node stops
 * @r: a request at an endpoint that is silent
 * @now_us: monotonic time
 *
 * Another endpoint may reject it, which would break it off.
 *
 * Return: 1 for a response that has begun, while its endpoint renews its registration.
 */
int wl_relay_must_stay (const WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_must_move() - whether another node has to answer a request, since this one stops
 * @r: a request for which a choice was just made
 * @now_us: monotonic time
 *
 * Return: 1 for a request that may outlast the node, and for one that waits although its
 * caller can use another node. 0 for one that cannot be refused.
 */
int wl_relay_must_move (const WlRelayRequest *r, uint64_t now_us);

#endif
