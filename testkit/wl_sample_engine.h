#ifndef WL_SAMPLE_ENGINE_H
#define WL_SAMPLE_ENGINE_H

#include "wl_routes.h"

/* A service of model engines and a plain one, as tests and benchmarks of the decisions use them. */

static const WlRouteService wl_sample_engines = {
  .name = "llm",
  .has_engine = 1,
  .engine = { .step_us = 1020,
              .per_sequence_us = 2.26,
              .context_us_per_k = 4.31,
              .prefill_us_per_k = 1e6 / 206.0,
              .attention_us_per_m = 138,
              .hop_us = 75,
              .chunk_tokens = 2048,
              .iteration_steps = 43,
              .slots = 16,
              .kv_tokens = 232000,
              .mean_output = 1303 },
};

static const WlRouteService wl_sample_plain __attribute__ ((unused)) = { .name = "app" };

#endif
