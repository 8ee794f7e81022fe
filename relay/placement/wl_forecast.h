#ifndef WL_FORECAST_H
#define WL_FORECAST_H

#include <stdint.h>

/*
 * Predicted speed of a model engine from the formula that its operators
 * publish. An engine works in passes. A pass with requests that write runs
 * @stride steps, each of which makes one token for every such request and
 * reads up to @chunk prompt tokens.
 */

/**
 * struct WlEngineModel - coefficients of one kind of engine
 * @step_us: time of a step
 * @per_sequence_us: added for each request that writes
 * @context_us_per_k: added for each 1,000 tokens of context of such requests
 * @read_us_per_k: time to read 1,000 prompt tokens
 * @pairs_us_per_m: added for a million pairs of a token and an earlier one
 * @hop_us: added to a step for a prompt spread over several engines
 * @chunk: prompt tokens read in one step
 * @stride: steps of a pass with requests that write
 * @slots: requests at once
 * @memory: tokens of memory
 * @usual_output: mean answer in tokens
 */
typedef struct
{
  double step_us;
  double per_sequence_us;
  double context_us_per_k;
  double read_us_per_k;
  double pairs_us_per_m;
  double hop_us;
  uint32_t chunk;
  uint32_t stride;
  uint32_t slots;
  uint32_t memory;
  uint32_t usual_output;
} WlEngineModel;

/** wl_forecast_read_us() - time to read a whole prompt on one engine */
uint64_t wl_forecast_read_us (const WlEngineModel *model, uint64_t prompt);

/** wl_forecast_step_us() - time of a step with @writers requests and @context tokens in all */
uint64_t wl_forecast_step_us (const WlEngineModel *model, uint32_t writers, uint64_t context);

/**
 * wl_forecast_pass_us() - time of the next pass with writers
 * @model: the engine
 * @writers: requests that write
 * @context: their tokens
 * @reads: tokens that wait to be read
 * @read_us: time that reading all of them takes
 *
 * Return: microseconds; the pass reads as many tokens as its steps allow.
 */
uint64_t wl_forecast_pass_us (const WlEngineModel *model, uint32_t writers, uint64_t context,
                              uint64_t reads, uint64_t read_us);

/**
 * wl_forecast_first_us() - time to the first token of a new request
 * @model: the engine
 * @writers: requests that write
 * @context: their tokens
 * @reads: tokens to be read until the prompt is read, its own included
 * @read_us: time that reading them takes
 *
 * Return: microseconds from arrival to the end of the pass that makes the token.
 */
uint64_t wl_forecast_first_us (const WlEngineModel *model, uint32_t writers, uint64_t context,
                               uint64_t reads, uint64_t read_us);

/** wl_forecast_write_us() - time to write @output tokens beside @writers others */
uint64_t wl_forecast_write_us (const WlEngineModel *model, uint32_t writers, uint64_t context,
                               uint32_t output);

#endif
