#ifndef WL_CHOICE_H
#define WL_CHOICE_H

#include "wl_fleet.h"
#include "wl_load.h"
#include "wl_routes.h"

/*
 * Where a request goes. Every node decides by itself, from its own exact
 * account and the notes of the others: each endpoint is judged by the
 * predicted lateness of the request there and by the requests that would be
 * made late beside it, in units of worth. Short prompts fill engines that
 * already write short answers, so that others remain free for long prompts;
 * a long prompt is read in parts by several engines where that brings it in
 * time or spares the shorts.
 */

enum
{
  WL_CHOICE_HELPERS_MAX = 16, /* engines that read parts of one prompt beside the first */
};

/**
 * enum WlChoiceKnowledge - what a node knows of the work of others
 * @WL_CHOICE_KNOWS_ALL: all of it, at once
 * @WL_CHOICE_KNOWS_FAR_LATE: that in other failure domains later than in the own
 * @WL_CHOICE_KNOWS_NEAR: that in the own failure domain, and what it sends to others
 */
typedef enum
{
  WL_CHOICE_KNOWS_ALL,
  WL_CHOICE_KNOWS_FAR_LATE,
  WL_CHOICE_KNOWS_NEAR,
} WlChoiceKnowledge;

/**
 * struct WlChoiceRequest - the request to be placed
 * @service: the service
 * @zone: failure domain of this node
 * @prompt: prompt tokens, 0 for plain requests
 * @output: expected output in tokens
 * @objective_us: time left until the objective, 0 when it has passed
 * @gap_us: longest tolerated pause between events
 * @deadline_us: time left in which the first output must come
 * @knowledge: what is known of the work at endpoints
 * @excluded: keys of endpoints that were tried, @n_excluded of them
 */
typedef struct
{
  const WlRouteService *service;
  const char *zone;
  uint32_t prompt;
  uint32_t output;
  uint64_t objective_us;
  uint64_t gap_us;
  uint64_t deadline_us;
  WlChoiceKnowledge knowledge;
  uint64_t excluded[8];
  uint32_t n_excluded;
} WlChoiceRequest;

/**
 * enum WlChoiceResult - outcome of a choice
 * @WL_CHOICE_PLACED: send it now
 * @WL_CHOICE_WAIT: every endpoint is full; one will have room before the deadline
 * @WL_CHOICE_LATE: no endpoint can answer before the deadline
 * @WL_CHOICE_NO_ENDPOINT: no usable endpoint
 * @WL_CHOICE_TOO_LARGE: it needs more memory than all endpoints have
 */
typedef enum
{
  WL_CHOICE_PLACED,
  WL_CHOICE_WAIT,
  WL_CHOICE_LATE,
  WL_CHOICE_NO_ENDPOINT,
  WL_CHOICE_TOO_LARGE,
} WlChoiceResult;

/**
 * enum WlChoiceHold - why a request is not placed now
 * @WL_CHOICE_NOT_HELD: it is placed, or there is no endpoint
 * @WL_CHOICE_HELD_FULL: no endpoint has a slot and the memory that it needs
 * @WL_CHOICE_HELD_COSTLY: it would cost the requests beside it more than it earns
 * @WL_CHOICE_HELD_FOR_ROOM: an engine that is full now will answer sooner than the others
 */
typedef enum
{
  WL_CHOICE_NOT_HELD,
  WL_CHOICE_HELD_FULL,
  WL_CHOICE_HELD_COSTLY,
  WL_CHOICE_HELD_FOR_ROOM,
} WlChoiceHold;

/**
 * struct WlChoice - a decision
 * @result: outcome
 * @hold: why it is not placed now
 * @reading_us: reading left at the endpoints, on average, when it is not placed
 * @endpoint: endpoint that answers
 * @helpers: endpoints that read parts of the prompt, @n_helpers of them
 * @tickets: tokens of memory to be reserved at each helper, 0 for none
 * @memory: tokens of memory needed at @endpoint
 * @reads: tokens of each part
 * @read_us: reading time of each part
 * @predicted_us: predicted time to the first output
 * @formula_us: the same without what was learnt of the endpoint's pace, 0 with helpers
 * @score: worth that the decision is expected to earn, less what it costs others
 * @wait_us: when to try again, for WL_CHOICE_WAIT and the refusals
 */
typedef struct
{
  WlChoiceResult result;
  WlChoiceHold hold;
  uint64_t reading_us;
  WlEndpoint *endpoint;
  WlEndpoint *helpers[WL_CHOICE_HELPERS_MAX];
  uint64_t tickets[WL_CHOICE_HELPERS_MAX];
  uint32_t n_helpers;
  uint64_t memory;
  uint64_t reads;
  uint64_t read_us;
  uint64_t predicted_us;
  uint64_t formula_us;
  double score;
  uint64_t wait_us;
} WlChoice;

/**
 * struct WlChoiceTimes - what bounds a request in time, monotonic
 * @arrived_us: when it arrived
 * @limit_us: when it must have ended
 * @silent_since_us: when its caller last got something, or @arrived_us
 */
typedef struct
{
  uint64_t arrived_us;
  uint64_t limit_us;
  uint64_t silent_since_us;
} WlChoiceTimes;

/** wl_choice_hold_name() - name of a reason to wait, for logs */
const char *wl_choice_hold_name (WlChoiceHold hold);

/**
 * wl_choice_set_times() - sets the objective and the deadline as they are now
 * @request: the request; its prompt, output and service are set
 * @route: its route
 * @times: its bounds
 * @now_us: monotonic time
 *
 * The first output must leave time to write the answer, and must come before
 * the caller loses patience.
 */
void wl_choice_set_times (WlChoiceRequest *request, const WlRoute *route,
                          const WlChoiceTimes *times, uint64_t now_us);

/**
 * wl_choice_make() - chooses endpoints for a request
 * @fleet: the endpoints
 * @load: work in progress
 * @request: the request
 * @now_us: monotonic time
 * @random: random number, to break ties
 *
 * Return: the decision.
 */
WlChoice wl_choice_make (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *request,
                         uint64_t now_us, uint64_t random);

#endif
