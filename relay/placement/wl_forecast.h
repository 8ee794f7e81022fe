#ifndef WL_FORECAST_H
#define WL_FORECAST_H

#include <stdint.h>

/*
 * Performance model of an engine: the formula that its operators publish. An
 * engine works in iterations. An iteration with decoding requests runs
 * @iteration_steps steps; each step decodes one token of every such request and
 * prefills up to @chunk_tokens prompt tokens.
 */

/**
 * struct WlEngineModel - coefficients of one kind of engine
 * @step_us: time of a step
 * @per_sequence_us: added for each decoding request
 * @context_us_per_k: added for each 1,000 tokens of context of these requests
 * @prefill_us_per_k: prefill time of 1,000 prompt tokens
 * @attention_us_per_m: attention time, added for a million pairs of a token and an earlier one
 * @hop_us: added to a step when the KV cache is spread over several engines
 * @chunk_tokens: prompt tokens that one step prefills
 * @iteration_steps: steps of an iteration with decoding requests
 * @slots: requests at once
 * @kv_tokens: size of the KV cache in tokens
 * @mean_output: mean answer in tokens
 */
typedef struct
{
  double step_us;
  double per_sequence_us;
  double context_us_per_k;
  double prefill_us_per_k;
  double attention_us_per_m;
  double hop_us;
  uint32_t chunk_tokens;
  uint32_t iteration_steps;
  uint32_t slots;
  uint32_t kv_tokens;
  uint32_t mean_output;
} WlEngineModel;

/** wl_forecast_prefill_us() - prefill time of a full prompt on one engine */
uint64_t wl_forecast_prefill_us (const WlEngineModel *model, uint64_t prompt);

/** wl_forecast_step_us() - time of a step with @decodes requests and @context tokens of theirs */
uint64_t wl_forecast_step_us (const WlEngineModel *model, uint32_t decodes, uint64_t context);

/**
 * wl_forecast_iteration_us() - time of the next iteration with decoding requests
 * @model: the engine
 * @decodes: decoding requests
 * @context: their tokens
 * @prefill_tokens: prompt tokens that wait for prefill
 * @prefill_us: prefill time of all of them
 *
 * Return: microseconds; the iteration prefills as many tokens as its steps allow.
 */
uint64_t wl_forecast_iteration_us (const WlEngineModel *model, uint32_t decodes, uint64_t context,
                                   uint64_t prefill_tokens, uint64_t prefill_us);

/**
 * wl_forecast_ttft_us() - time to first token (TTFT) of a new request
 * @model: the engine
 * @decodes: requests that are decoding
 * @context: their tokens
 * @prefill_tokens: prompt tokens to prefill up to and including the new prompt
 * @prefill_us: their prefill time
 *
 * Return: microseconds from arrival to the end of the iteration that decodes the token.
 */
uint64_t wl_forecast_ttft_us (const WlEngineModel *model, uint32_t decodes, uint64_t context,
                              uint64_t prefill_tokens, uint64_t prefill_us);

/** wl_forecast_decode_us() - time to decode @output tokens with @decodes requests in each step */
uint64_t wl_forecast_decode_us (const WlEngineModel *model, uint32_t decodes, uint64_t context,
                                uint32_t output);

#endif
