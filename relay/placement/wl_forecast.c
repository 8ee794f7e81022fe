#include "wl_forecast.h"

uint64_t
wl_forecast_prefill_us (const WlEngineModel *model, uint64_t prompt)
{
  double n = (double)prompt;
  double pairs_m = n * n / 2.0 / 1e6;
  return (uint64_t)(n / 1000.0 * model->prefill_us_per_k + pairs_m * model->attention_us_per_m);
}

uint64_t
wl_forecast_step_us (const WlEngineModel *model, uint32_t decodes, uint64_t context)
{
  return (uint64_t)(model->step_us + decodes * model->per_sequence_us
                    + (double)context / 1000.0 * model->context_us_per_k);
}

uint64_t
wl_forecast_iteration_us (const WlEngineModel *model, uint32_t decodes, uint64_t context,
                          uint64_t prefill_tokens, uint64_t prefill_us)
{
  uint64_t capacity = (uint64_t)model->chunk_tokens * model->iteration_steps;
  uint64_t steps_us = wl_forecast_step_us (model, decodes, context) * model->iteration_steps;
  if (prefill_tokens > capacity)
    prefill_us = (uint64_t)((double)prefill_us * (double)capacity / (double)prefill_tokens);
  return steps_us + prefill_us;
}

uint64_t
wl_forecast_ttft_us (const WlEngineModel *model, uint32_t decodes, uint64_t context,
                     uint64_t prefill_tokens, uint64_t prefill_us)
{
  uint64_t step_us = wl_forecast_step_us (model, decodes + 1, context);
  if (decodes == 0)
    return prefill_us + step_us;
  uint64_t iteration_us = step_us * model->iteration_steps;
  uint64_t capacity = (uint64_t)model->chunk_tokens * model->iteration_steps;
  uint64_t iterations = capacity > 0 ? prefill_tokens / capacity + 1 : 1;
  return iteration_us / 2 + prefill_us + iterations * iteration_us;
}

uint64_t
wl_forecast_decode_us (const WlEngineModel *model, uint32_t decodes, uint64_t context,
                       uint32_t output)
{
  return wl_forecast_step_us (model, decodes, context) * output;
}
