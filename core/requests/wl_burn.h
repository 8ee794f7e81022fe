#ifndef WL_BURN_H
#define WL_BURN_H

#include <apr_hash.h>
#include "wl_effects.h"

/*
 * Service-level burn at one entry: for each customer, service and class of
 * prompt length, how many requests there were and how many kept the
 * objective, in a fixed number of time slots; and the distribution of times
 * to first token in a fixed-size histogram with logarithmic bins.
 */

enum
{
  WL_BURN_SLOT_US = 60000000, /* length of one time slot */
  WL_BURN_SLOTS = 360,        /* six hours */
  WL_BURN_BINS = 64,          /* four bins per doubling, from 1 ms */
  WL_BURN_KEYS_MAX = 8192,
};

/**
 * struct WlBurnSeries - counts of one customer, service and class
 * @id: customer, service and class as one key
 * @total: requests by slot
 * @good: requests that kept the objective by slot
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
  uint64_t slot; /* number of the newest slot */
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

/** struct WlBurnSample - one ended request */
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
 * wl_burn_init() - prepares the counts
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
 * @services: gives the objectives
 * @sample: the request
 * @now_us: monotonic time
 *
 * Refusals for the caller's own mistake are left out.
 */
void wl_burn_add (WlBurn *burn, const WlServices *services, const WlBurnSample *sample,
                  uint64_t now_us);

/**
 * wl_burn_window() - sums a series over its latest slots
 * @series: the series
 * @now_us: monotonic time
 * @slots: number of slots, at most WL_BURN_SLOTS
 * @total: receives the requests
 * @good: receives those that kept the objective
 */
void wl_burn_window (const WlBurnSeries *series, uint64_t now_us, uint32_t slots, uint64_t *total,
                     uint64_t *good);

/**
 * wl_burn_bin() - histogram bin of a time
 * @us: the time
 *
 * Return: index of the bin.
 */
uint32_t wl_burn_bin (uint64_t us);

/**
 * wl_burn_bin_us() - upper bound of a histogram bin
 * @bin: index of the bin
 *
 * Return: microseconds.
 */
uint64_t wl_burn_bin_us (uint32_t bin);

#endif
