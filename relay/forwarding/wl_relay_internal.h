#ifndef WL_RELAY_INTERNAL_H
#define WL_RELAY_INTERNAL_H

#include "wl_budget.h"
#include "wl_event_stream.h"
#include "wl_relay.h"

/*
 * What the files of the relay share: wl_relay.c (requests), wl_relay_answer.c
 * (attempts) and wl_relay_retry.c (what follows attempts that failed).
 */

enum
{
  WL_RELAY_CONNECTS_MAX = 4,     /* endpoints tried that could not be connected to */
  WL_RELAY_SERVICES_MAX = 64,    /* services with a budget of their own */
  WL_RELAY_QUEUE_PAUSE = 262144, /* bytes queued for a caller before the endpoint waits */
  WL_RELAY_BODY_MAX = 1 << 20,   /* bytes of a plain answer kept until it is whole */
};

/**
 * enum WlRelayPhase - where a request stands
 * @WL_RELAY_WAITING: at no endpoint
 * @WL_RELAY_SENT: at an endpoint, nothing of an answer was passed on
 * @WL_RELAY_ANSWERING: a streamed answer has begun
 */
typedef enum
{
  WL_RELAY_WAITING,
  WL_RELAY_SENT,
  WL_RELAY_ANSWERING,
} WlRelayPhase;

/**
 * struct WlRelayTarget - an endpoint that a request is sent to, or that helps
 * @key: its key, 0 for none
 * @id: its id
 * @address: IPv4 number, network byte order
 * @port: port
 * @tokens: memory reserved there, 0 for none
 * @reservation: the reservation
 */
typedef struct
{
  uint64_t key;
  char id[WL_LABEL_SIZE];
  uint32_t address;
  uint16_t port;
  uint64_t tokens;
  WlReservation *reservation;
} WlRelayTarget;

/**
 * struct WlRelayRequest - one caller's request
 * @number: number within the boot
 * @arrived_us: when it was read
 * @limit_us: when it must have ended
 * @attempts: endpoints that it was sent to
 * @connects: endpoints that could not be connected to
 * @may_have_run: an endpoint may have worked on it
 * @retry_us: when it is looked at again
 * @choice: the placement of the current attempt
 * @target: the current endpoint
 * @helpers: endpoints that help it, @n_helpers of them
 * @n_unanswered: reservations that are not yet answered
 * @sent_us: when the current attempt was sent
 * @progress_us: latest sign of the endpoint
 * @first_us: when the first event was passed on
 * @longest_pause_us: longest pause between events so far
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
  uint8_t is_parked; /* waits for the first configuration; nothing else is set */

  WlFetch *call;
  WlChoiceRequest wanted;
  WlChoice choice;
  WlRelayTarget target;
  WlRelayTarget helpers[WL_CHOICE_HELPERS_MAX];
  uint32_t n_helpers;
  uint32_t n_unanswered;
  uint8_t is_refused_memory;
  uint64_t sent_us;
  uint64_t progress_us;
  uint64_t first_us;
  uint64_t longest_pause_us;
  uint32_t attempts;
  uint32_t connects;
  uint8_t may_have_run;
  uint8_t is_writing;
  uint8_t is_paused;
  uint8_t is_blamed; /* the silence of this attempt was counted */

  uint32_t status;
  WlRelayAnswerInfo answer;
  WlBuffer fields;
  WlBuffer body;
  WlEventStream events;

  struct WlRelayRequest *next;
  struct WlRelayRequest *previous;
} WlRelayRequest;

struct WlRelay
{
  WlRelayOptions options;
  uint64_t started_us;
  WlRoutes *routes;
  WlRelayRequest *requests;
  uint32_t n_active;
  uint32_t n_nodes;
  uint64_t next_number;
  uint64_t random;
  WlBudget budgets[WL_RELAY_SERVICES_MAX];
  char budget_names[WL_RELAY_SERVICES_MAX][WL_LABEL_SIZE];
  uint32_t n_budgets;
  WlMetrics metrics;
  WlReservations *reservations;
};

/** wl_relay_choose() - chooses endpoints as things stand now */
WlChoice wl_relay_choose (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_try() - places a request, or lets it wait, or refuses it */
void wl_relay_try (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_start_attempt() - reserves memory where needed, then sends to the chosen endpoints */
void wl_relay_start_attempt (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_leave_endpoint() - tells everyone that nothing of the request is left there */
void wl_relay_leave_endpoint (WlRelayRequest *r);

/** wl_relay_may_repeat() - whether a request that may have run may be sent again */
int wl_relay_may_repeat (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_refuse() - ends a request that has not run; @wait_us is when to come back */
void wl_relay_refuse (WlRelayRequest *r, uint64_t wait_us, WlReason reason);

/** wl_relay_fail() - ends a request that may have run */
void wl_relay_fail (WlRelayRequest *r, uint32_t status, WlReason reason);

/** wl_relay_finish() - logs the end of a request whose answer was given, and frees it */
void wl_relay_finish (WlRelayRequest *r, const char *outcome);

/** wl_relay_exclude() - leaves an endpoint out of later attempts */
void wl_relay_exclude (WlRelayRequest *r, uint64_t key);

/** wl_relay_current_endpoint() - endpoint of the current attempt, NULL when it is forgotten */
WlEndpoint *wl_relay_current_endpoint (const WlRelayRequest *r);

/** wl_relay_blame() - counts evidence against an endpoint, which may be NULL */
void wl_relay_blame (WlRelayRequest *r, WlEndpoint *e, WlFailure failure, WlReason reason,
                     uint64_t now_us);

/** wl_relay_after_failure() - goes on after an attempt that may have run */
void wl_relay_after_failure (WlRelayRequest *r, WlReason reason, uint64_t now_us);

/** wl_relay_after_rejection() - goes on after an attempt that an endpoint states it has not run */
void wl_relay_after_rejection (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_after_not_sent() - goes on after an endpoint that could not be connected to */
void wl_relay_after_not_sent (WlRelayRequest *r, uint64_t now_us);

/**
 * wl_relay_replace_attempt() - leaves an endpoint whose answer may still be of use
 * @r: the request
 * @reason: why
 * @now_us: monotonic time
 *
 * Return: 0, with nothing changed, when no other endpoint takes it now.
 */
int wl_relay_replace_attempt (WlRelayRequest *r, WlReason reason, uint64_t now_us);

/** wl_relay_holds_memory() - whether memory is reserved for a request */
int wl_relay_holds_memory (const WlRelayRequest *r);

/** wl_relay_abandon_attempt() - leaves an endpoint that is probably dead, whatever comes next */
void wl_relay_abandon_attempt (WlRelayRequest *r, uint64_t now_us);

/** wl_relay_give_up_attempt() - leaves a silent endpoint for another one, if there is one */
void wl_relay_give_up_attempt (WlRelayRequest *r, uint64_t now_us);

#endif
