#ifndef WL_BURN_H
#define WL_BURN_H

#include <apr_hash.h>
#include "wl_effects.h"

/*
 * Error-budget accounting against the service-level objectives, at one entry.
 * For each customer, service and prompt length class it counts requests, and
 * those that met the objective, in fixed time slots, from which burn rates over
 * several windows are computed. It also keeps a histogram of times to first
 * token with logarithmic bins.
 */

enum
{
  WL_BURN_SLOT_US = 60000000, /* length of one time slot */
  WL_BURN_SLOTS = 360,        /* number of slots kept: six hours */
  WL_BURN_BINS = 64,          /* four bins per doubling, from 1 ms */
  WL_BURN_SERIES_MAX = 8192,  /* requests of further series are not counted */
};

/**
 * struct WlBurnSeries - counts of one customer, service and prompt length class
 * @id: customer, service and class as one hash key
 * @class_index: index of the class among the configured objectives
 * @up_to_tokens: longest prompt of the class
 * @objective_ms: objective for the time to first token
 * @objective_ppm: share of requests that must meet it
 * @slot: number of the newest slot
 * @total: requests by slot; a ring
 * @good: requests that met the objective, by slot; a ring
 * @refused: refused requests since start
 * @failed: failed requests since start
 * @bins: histogram of times to first token
 */
typedef struct
{
  char id[2 * WL_LABEL_SIZE + 24];
  char customer[WL_LABEL_SIZE];
  char service[WL_LABEL_SIZE];
  uint32_t class_index;
  uint64_t up_to_tokens;
  uint64_t objective_ms;
  uint32_t objective_ppm;
  uint64_t slot;
  uint32_t total[WL_BURN_SLOTS];
  uint32_t good[WL_BURN_SLOTS];
  uint64_t refused;
  uint64_t failed;
  uint64_t finished;
  uint32_t bins[WL_BURN_BINS];
} WlBurnSeries;

typedef struct
{
  apr_pool_t *pool;
  apr_hash_t *series;
} WlBurn;

/** struct WlBurnSample - one ended request; @first_token_us is relative to its admission */
typedef struct
{
  const char *customer;
  const char *service;
  uint64_t prompt_tokens;
  uint64_t first_token_us;
  WlOutcome outcome;
  WlRefusalReason reason;
} WlBurnSample;

/**
 * wl_burn_init() - initialises the counts
 * @burn: zeroed counts
 */
void wl_burn_init (WlBurn *burn);

/**
 * wl_burn_clear() - frees the counts
 * @burn: the counts
 */
void wl_burn_clear (WlBurn *burn);

/**
 * wl_burn_add() - counts one ended request
 * @burn: the counts
 * @services: configuration with the objectives; NULL for the default objective
 * @sample: the request
 * @now_us: monotonic time
 *
 * Requests refused because of a caller's error use no error budget: they are not counted.
 */
void wl_burn_add (WlBurn *burn, const WlServices *services, const WlBurnSample *sample,
                  uint64_t now_us);

/**
 * wl_burn_window() - sums a series over its latest slots
 * @series: the series
 * @now_us: monotonic time
 * @slots: number of slots, at most WL_BURN_SLOTS
 * @total: receives the requests
 * @good: receives those that met the objective
 */
void wl_burn_window (const WlBurnSeries *series, uint64_t now_us, uint32_t slots, uint64_t *total,
                     uint64_t *good);

/**
 * wl_burn_bin() - finds the histogram bin of a time
 * @us: the time
 *
 * Return: index of the bin.
 */
uint32_t wl_burn_bin (uint64_t us);

/**
 * wl_burn_bin_upper_us() - upper bound of a histogram bin
 * @bin: index of the bin
 *
 * Return: microseconds.
 */
uint64_t wl_burn_bin_upper_us (uint32_t bin);

#endif
