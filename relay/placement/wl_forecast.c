#include "wl_forecast.h"

uint64_t
wl_forecast_read_us (const WlEngineModel *model, uint64_t prompt)
{
  double n = (double)prompt;
  double pairs_m = n * n / 2.0 / 1e6;
  return (uint64_t)(n / 1000.0 * model->read_us_per_k + pairs_m * model->pairs_us_per_m);
}

uint64_t
wl_forecast_step_us (const WlEngineModel *model, uint32_t writers, uint64_t context)
{
  return (uint64_t)(model->step_us + writers * model->per_sequence_us
                    + (double)context / 1000.0 * model->context_us_per_k);
}

uint64_t
wl_forecast_pass_us (const WlEngineModel *model, uint32_t writers, uint64_t context, uint64_t reads,
                     uint64_t read_us)
{
  uint64_t capacity = (uint64_t)model->chunk * model->stride;
  uint64_t steps_us = wl_forecast_step_us (model, writers, context) * model->stride;
  if (reads > capacity)
    read_us = (uint64_t)((double)read_us * (double)capacity / (double)reads);
  return steps_us + read_us;
}

uint64_t
wl_forecast_first_us (const WlEngineModel *model, uint32_t writers, uint64_t context,
                      uint64_t reads, uint64_t read_us)
{
  uint64_t step_us = wl_forecast_step_us (model, writers + 1, context);
  if (writers == 0)
    return read_us + step_us;
  uint64_t pass_us = step_us * model->stride;
  uint64_t capacity = (uint64_t)model->chunk * model->stride;
  uint64_t passes = capacity > 0 ? reads / capacity + 1 : 1;
  return pass_us / 2 + read_us + passes * pass_us;
}

uint64_t
wl_forecast_write_us (const WlEngineModel *model, uint32_t writers, uint64_t context,
                      uint32_t output)
{
  return wl_forecast_step_us (model, writers, context) * output;
}
