#ifndef WL_CHOICE_EXPLAIN_H
#define WL_CHOICE_EXPLAIN_H

#include "wl_choice.h"

/*
 * Explains where a request would be placed now, and what ruled out every other endpoint, without
 * placing it. The decision is that of wl_choice_make(), so both cannot differ.
 */

/**
 * enum WlVerdict - what a choice says of one endpoint, the first that applies
 * @WL_VERDICT_ANSWERS: it is chosen
 * @WL_VERDICT_HELPS: it is chosen to prefill a part of the prompt
 * @WL_VERDICT_LEAVING: it drains or has left
 * @WL_VERDICT_SILENT: it has not registered for WL_FLEET_TIMEOUT_US
 * @WL_VERDICT_EJECTED: it is ejected after failures
 * @WL_VERDICT_EVACUATED: its failure domain is evacuated
 * @WL_VERDICT_TRIED: an attempt of the request has failed there
 * @WL_VERDICT_LIMITED: it has a limit, and the request no permit; or the permit is for another one
 * @WL_VERDICT_FULL: it has no free slot or not the KV cache
 * @WL_VERDICT_TOO_LATE: with the whole prompt it would answer after the deadline
 * @WL_VERDICT_COSTLY: other requests would lose more there than this one earns
 * @WL_VERDICT_OTHER_DOMAIN: this node does not see the load of its failure domain, and the own
 *   domain can answer
 * @WL_VERDICT_NOT_PREFERRED: it could answer; another one, a split or waiting is expected to earn
 *   more, or another one was drawn
 */
typedef enum
{
  WL_VERDICT_ANSWERS,
  WL_VERDICT_HELPS,
  WL_VERDICT_LEAVING,
  WL_VERDICT_SILENT,
  WL_VERDICT_EJECTED,
  WL_VERDICT_EVACUATED,
  WL_VERDICT_TRIED,
  WL_VERDICT_LIMITED,
  WL_VERDICT_FULL,
  WL_VERDICT_TOO_LATE,
  WL_VERDICT_COSTLY,
  WL_VERDICT_OTHER_DOMAIN,
  WL_VERDICT_NOT_PREFERRED,
} WlVerdict;

/**
 * struct WlExplainedEndpoint - an endpoint of the request's service
 * @endpoint: the endpoint
 * @verdict: why it is chosen or not
 * @sum: its load as this node sees it
 * @slowdown: measured over predicted TTFT
 * @predicted_us: predicted TTFT if it prefilled the whole prompt; 0 without engine model
 * @score: value that this would earn, less what others would lose; 0 for endpoints that are ruled
 *   out before they are scored
 */
typedef struct
{
  const WlEndpoint *endpoint;
  WlVerdict verdict;
  WlLoadSum sum;
  double slowdown;
  uint64_t predicted_us;
  double score;
} WlExplainedEndpoint;

/**
 * wl_choice_explain() - explains the choice for a request
 * @fleet: the endpoints
 * @load: load of the endpoints
 * @request: the request
 * @now_us: monotonic time
 * @random: random number, as for wl_choice_make()
 * @out: receives the endpoints of the service in the order of the fleet; they belong to @fleet
 * @max: size of @out
 * @choice: receives the decision
 *
 * Neither @fleet nor @load is changed.
 *
 * Return: number of endpoints in @out.
 */
uint32_t wl_choice_explain (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *request,
                            uint64_t now_us, uint64_t random, WlExplainedEndpoint *out,
                            uint32_t max, WlChoice *choice);

/** wl_verdict_name() - name of a verdict for operators; a static string */
const char *wl_verdict_name (WlVerdict verdict);

#endif
