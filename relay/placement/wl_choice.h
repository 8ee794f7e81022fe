#ifndef WL_CHOICE_H
#define WL_CHOICE_H

#include "wl_fleet.h"
#include "wl_limits.h"
#include "wl_load.h"
#include "wl_routes.h"

/*
 * Chooses the endpoint of a request. Every node decides by itself, from its own
 * exact load and the load reports of the other nodes. An endpoint's score, in
 * units of request value, is what the request earns there with its predicted
 * time to first token (TTFT), less what the requests already there lose by the
 * added prefill. Short prompts are packed on engines that already decode short
 * answers, so that other engines remain free for long prompts. The prefill of a
 * long prompt is split over several engines where that meets its objective or
 * spares the short requests.
 */

enum
{
  WL_CHOICE_HELPERS_MAX
  = 16, /* engines that prefill parts of one prompt, besides the answering one */
};

/**
 * enum WlChoiceVisibility - how much of the load of other nodes a node sees
 * @WL_CHOICE_SEES_ALL: all of it, without delay
 * @WL_CHOICE_SEES_OTHERS_DELAYED: that of other failure domains with a longer delay
 * @WL_CHOICE_SEES_OWN_DOMAIN: only that of its own failure domain, besides what it sends itself
 */
typedef enum
{
  WL_CHOICE_SEES_ALL,
  WL_CHOICE_SEES_OTHERS_DELAYED,
  WL_CHOICE_SEES_OWN_DOMAIN,
} WlChoiceVisibility;

/**
 * struct WlChoiceRequest - the request to be placed
 * @service: the service
 * @domain: failure domain of this node
 * @prompt: prompt tokens, 0 for plain requests
 * @output: expected output in tokens
 * @objective_us: time left until the objective for the first output, 0 when it has passed
 * @gap_us: longest tolerated gap between events of the stream
 * @deadline_us: time left until the latest acceptable first output
 * @visibility: how much of other nodes' load is seen
 * @spreads_kv: its KV cache is spread over several engines although one could hold it, see
 *   WlChoice.kv_reserved
 * @is_load_partial: this node has just started and does not know the load of most others yet
 * @excluded: keys of endpoints that were already tried, @n_excluded of them
 * @limits: endpoints with a limit, which are not considered; NULL for none
 * @permitted: key of the only endpoint that is considered, with or without a limit, 0 for all
 */
typedef struct
{
  const WlRouteService *service;
  const char *domain;
  uint32_t prompt;
  uint32_t output;
  uint64_t objective_us;
  uint64_t gap_us;
  uint64_t deadline_us;
  WlChoiceVisibility visibility;
  uint8_t spreads_kv;
  uint8_t is_load_partial;
  uint64_t excluded[8];
  uint32_t n_excluded;
  const WlLimits *limits;
  uint64_t permitted;
} WlChoiceRequest;

/**
 * enum WlChoiceResult - outcome of a choice
 * @WL_CHOICE_PLACED: send it now
 * @WL_CHOICE_WAIT: keep it queued and try again: see WlChoiceHold
 * @WL_CHOICE_PAST_DEADLINE: no endpoint can answer before the deadline
 * @WL_CHOICE_NO_ENDPOINT: no usable endpoint
 * @WL_CHOICE_TOO_LARGE: it needs more KV cache than all endpoints together have
 */
typedef enum
{
  WL_CHOICE_PLACED,
  WL_CHOICE_WAIT,
  WL_CHOICE_PAST_DEADLINE,
  WL_CHOICE_NO_ENDPOINT,
  WL_CHOICE_TOO_LARGE,
} WlChoiceResult;

/**
 * enum WlChoiceHold - why a request stays queued
 * @WL_CHOICE_NOT_HELD: it does not: it is placed, too large or without endpoint
 * @WL_CHOICE_HELD_FULL: no endpoint has both a free slot and the KV cache that it needs
 * @WL_CHOICE_HELD_COSTLY: it would cost other requests more value than it earns
 * @WL_CHOICE_HELD_FOR_ROOM: waiting for a slot of a full engine earns more than the engines
 *   with room
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
 * @hold: why it stays queued
 * @mean_backlog_us: prefill backlog of an endpoint, on average, when it is not placed
 * @endpoint: endpoint that answers
 * @helpers: endpoints that prefill parts of the prompt, @n_helpers of them
 * @kv_reserved: KV cache tokens to reserve at each helper, 0 for none
 * @kv_tokens: KV cache tokens needed at @endpoint
 * @part_tokens: prompt tokens of each part
 * @part_us: prefill time of each part
 * @predicted_us: predicted TTFT
 * @model_us: TTFT by the engine model, without the endpoint's measured slowdown; 0 with helpers
 * @score: value that the decision is expected to earn, less what it costs other requests
 * @wait_us: time until the next try, or until a retry makes sense when it is refused
 */
typedef struct
{
  WlChoiceResult result;
  WlChoiceHold hold;
  uint64_t mean_backlog_us;
  WlEndpoint *endpoint;
  WlEndpoint *helpers[WL_CHOICE_HELPERS_MAX];
  uint64_t kv_reserved[WL_CHOICE_HELPERS_MAX];
  uint32_t n_helpers;
  uint64_t kv_tokens;
  uint64_t part_tokens;
  uint64_t part_us;
  uint64_t predicted_us;
  uint64_t model_us;
  double score;
  uint64_t wait_us;
} WlChoice;

/**
 * struct WlChoiceTimes - points in monotonic time that bound a request
 * @arrived_us: its arrival
 * @limit_us: its time limit
 * @last_output_us: when its caller last received output, or @arrived_us
 */
typedef struct
{
  uint64_t arrived_us;
  uint64_t limit_us;
  uint64_t last_output_us;
} WlChoiceTimes;

/** wl_choice_hold_name() - name of a WlChoiceHold for logs; a static string */
const char *wl_choice_hold_name (WlChoiceHold hold);

/**
 * wl_choice_set_times() - sets the time left until the objective and the deadline
 * @request: the request; its prompt, output and service must be set
 * @route: its route
 * @times: its bounds
 * @now_us: monotonic time
 *
 * The first output must come early enough to decode the answer within the time
 * limit, and before the caller abandons the stream.
 */
void wl_choice_set_times (WlChoiceRequest *request, const WlRoute *route,
                          const WlChoiceTimes *times, uint64_t now_us);

/**
 * wl_choice_make() - chooses endpoints for a request
 * @fleet: the endpoints
 * @load: load of the endpoints
 * @request: the request
 * @now_us: monotonic time
 * @random: random number, to break ties
 *
 * Return: the decision; its endpoints belong to @fleet.
 */
WlChoice wl_choice_make (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *request,
                         uint64_t now_us, uint64_t random);

#endif
