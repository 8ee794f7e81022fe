#ifndef WL_CHOICE_INTERNAL_H
#define WL_CHOICE_INTERNAL_H

#include "wl_choice.h"

/*
 * Shared by wl_choice.c, which decides, wl_choice_explain.c, which explains the decision,
 * wl_choice_judge.c, which scores endpoints, and wl_choice_pool.c, which divides the engines of
 * large fleets between short and long prompts.
 */

/**
 * struct WlCandidate - an endpoint that is considered for a request
 * @endpoint: the endpoint
 * @sum: its load
 * @slowdown: measured over predicted TTFT
 * @score: value earned when it answers, less the value that other requests lose
 * @gap_loss: part of that loss: by gaps that become too long
 * @helper_cost: value lost when it prefills a part
 * @short_rate: short requests a second that are expected here, if it is in a pool; only for long
 *   prompts
 * @unseen_us: how long this node does not know of placements there
 * @model_us: TTFT by the engine model
 * @ttft_us: TTFT with the slowdown
 * @has_room: it has a free slot and enough KV cache
 * @is_pooled: it is in the short pool of its failure domain, see wl_choice_mark_pools()
 * @is_cold: it is cold: it may answer, but not help
 */
typedef struct
{
  WlEndpoint *endpoint;
  WlLoadSum sum;
  double slowdown;
  double score;
  double gap_loss;
  double helper_cost;
  double short_rate;
  uint64_t unseen_us;
  uint64_t model_us;
  uint64_t ttft_us;
  uint8_t has_room;
  uint8_t is_pooled;
  uint8_t is_cold;
} WlCandidate;

/** wl_choice_is_excluded() - whether the request was already tried at the endpoint with this key */
int wl_choice_is_excluded (const WlChoiceRequest *q, uint64_t key);

/** wl_choice_may_use() - whether limits allow an endpoint: without a permit, only if it has none */
int wl_choice_may_use (const WlChoiceRequest *q, const WlEndpoint *e);

/** wl_choice_value() - value of a request by its prompt tokens; 1 for an empty prompt */
double wl_choice_value (uint64_t prompt);

/** wl_choice_timeliness() - share of the value earned with this TTFT; 0 past the deadline */
double wl_choice_timeliness (const WlChoiceRequest *q, uint64_t ttft_us);

/** wl_choice_time_to_room_us() - expected time until a request at a full endpoint ends */
uint64_t wl_choice_time_to_room_us (const WlEngineModel *m, const WlLoadSum *sum);

/** wl_choice_needed_kv_tokens() - KV cache tokens of prompt and expected output */
uint64_t wl_choice_needed_kv_tokens (const WlChoiceRequest *q);

/** wl_choice_is_spread() - whether a request takes the KV cache of several engines */
int wl_choice_is_spread (const WlChoiceRequest *q);

/** wl_choice_is_short() - whether twice the prefill time of a prompt is below its tolerated gap */
int wl_choice_is_short (const WlChoiceRequest *q);

/**
 * wl_choice_score() - scores an endpoint as the one that answers
 * @load: load of the endpoints
 * @q: the request
 * @c: the candidate; receives score, times and has_room
 * @prefill_tokens: prompt tokens that it would prefill
 * @prefill_us: time that this takes by the engine model
 */
void wl_choice_score (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *c,
                      uint64_t prefill_tokens, uint64_t prefill_us);

/**
 * wl_choice_mark_pools() - marks the short pool of each failure domain
 * @q: the request
 * @all: candidates, @n_all of them: all that there are, before their number is limited
 * @n_all: number of candidates
 *
 * The pool is the first engines of the domain in the order of their keys, as many as its short
 * requests fill to two thirds, and at least a quarter. Every node computes nearly the same pool
 * from nearly the same load, so that short requests and long prompts of different nodes meet on few
 * engines.
 */
void wl_choice_mark_pools (const WlChoiceRequest *q, WlCandidate *all, uint32_t n_all);

/** wl_choice_short_loss() - value that short requests to come lose by a prefill of @part_us */
double wl_choice_short_loss (const WlCandidate *c, uint64_t part_us);

/**
 * wl_choice_draw() - draws an engine for a short request from the pool of the own failure domain
 * @load: load of the endpoints
 * @q: the request
 * @all: candidates whose pools are marked, @n_all of them
 * @n_all: number of candidates
 * @random: random number
 *
 * Of two engines drawn at random the one with the shorter predicted TTFT. Engines without room,
 * with a predicted TTFT near the objective or beyond, or where gaps would become too long are not
 * drawn. When the own pool has none to draw, those of the other domains are tried.
 *
 * Return: the candidate, NULL when none may be drawn.
 */
WlCandidate *wl_choice_draw (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all,
                             uint32_t n_all, uint64_t random);

/**
 * wl_choice_score_split() - scores a prefill split over several engines
 * @load: load of the endpoints
 * @q: the request
 * @all: candidates, @n_all of them; their order may change
 * @n_helpers: engines that prefill a part besides the answering one
 * @out: receives the decision; @out->endpoint is NULL when it is impossible
 *
 * Return: the score, 0 when it is impossible.
 */
double wl_choice_score_split (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all,
                              uint32_t n_all, uint32_t n_helpers, WlChoice *out);

#endif
