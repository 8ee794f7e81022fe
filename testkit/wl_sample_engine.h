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
              .read_us_per_k = 1e6 / 206.0,
              .pairs_us_per_m = 138,
              .hop_us = 75,
              .chunk = 2048,
              .stride = 43,
              .slots = 16,
              .memory = 232000,
              .usual_output = 1303 },
};

static const WlRouteService wl_sample_plain __attribute__ ((unused)) = { .name = "app" };

#endif
