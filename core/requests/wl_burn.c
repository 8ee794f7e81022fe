#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_burn.h"
#include "wl_table.h"

enum
{
  FIRST_BIN_US = 1000,
  BINS_PER_DOUBLING = 4,
  DEFAULT_OBJECTIVE_MS = 1500,
  DEFAULT_OBJECTIVE_PPM = 950000,
};

void
wl_burn_init (WlBurn *burn)
{
  apr_pool_create (&burn->pool, NULL);
  burn->series = wl_table_create (burn->pool);
}

void
wl_burn_clear (WlBurn *burn)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, burn->series); i; i = apr_hash_next (i))
    free (apr_hash_this_val (i));
  apr_pool_destroy (burn->pool);
}

/* Powers of 2^(1/4) in units of 1/1024. */
uint64_t
wl_burn_bin_upper_us (uint32_t bin)
{
  static const uint64_t quarter[BINS_PER_DOUBLING] = { 1024, 1218, 1448, 1722 };
  uint64_t base = (uint64_t)FIRST_BIN_US << (bin / BINS_PER_DOUBLING);
  return base * quarter[bin % BINS_PER_DOUBLING] / 1024;
}

uint32_t
wl_burn_bin (uint64_t us)
{
  uint32_t bin = 0;
  while (bin + 1 < WL_BURN_BINS && wl_burn_bin_upper_us (bin) < us)
    bin++;
  return bin;
}

static WlObjective
find_objective (const WlServices *services, uint64_t prompt_tokens, uint32_t *index)
{
  WlObjective fallback = { UINT64_MAX, DEFAULT_OBJECTIVE_MS, DEFAULT_OBJECTIVE_PPM };
  *index = 0;
  for (size_t i = 0; services != NULL && i < services->n_objectives; i++)
    {
      *index = (uint32_t)i;
      if (prompt_tokens <= services->objectives[i].up_to_tokens)
        return services->objectives[i];
    }
  if (services == NULL || services->n_objectives == 0)
    return fallback;
  return services->objectives[services->n_objectives - 1];
}

static WlBurnSeries *
get_series (WlBurn *burn, const WlServices *services, const WlBurnSample *sample)
{
  char id[2 * WL_LABEL_SIZE + 24];
  uint32_t index = 0;
  WlObjective o = find_objective (services, sample->prompt_tokens, &index);
  snprintf (id, sizeof id, "%s\n%s\n%u", sample->customer, sample->service, index);
  WlBurnSeries *s = apr_hash_get (burn->series, id, APR_HASH_KEY_STRING);
  if (s == NULL)
    {
      if (apr_hash_count (burn->series) >= WL_BURN_SERIES_MAX)
        return NULL;
      s = calloc (1, sizeof *s);
      if (s == NULL)
        abort ();
      strcpy (s->id, id);
      strncpy (s->customer, sample->customer, sizeof s->customer - 1);
      strncpy (s->service, sample->service, sizeof s->service - 1);
      apr_hash_set (burn->series, s->id, APR_HASH_KEY_STRING, s);
    }
  s->class_index = index;
  s->up_to_tokens = o.up_to_tokens;
  s->objective_ms = o.first_token_ms;
  s->objective_ppm = o.share_ppm;
  return s;
}

static void
advance_to_slot (WlBurnSeries *s, uint64_t slot)
{
  if (slot >= s->slot + WL_BURN_SLOTS)
    {
      memset (s->total, 0, sizeof s->total);
      memset (s->good, 0, sizeof s->good);
      s->slot = slot;
    }
  while (s->slot < slot)
    {
      s->slot++;
      s->total[s->slot % WL_BURN_SLOTS] = 0;
      s->good[s->slot % WL_BURN_SLOTS] = 0;
    }
}

static int
is_caller_error (const WlBurnSample *sample)
{
  if (sample->outcome == WL_OUTCOME_NO_SERVICE || sample->outcome == WL_OUTCOME_KEY_REQUIRED)
    return 1;
  if (sample->outcome != WL_OUTCOME_REFUSED)
    return 0;
  return sample->reason == WL_REFUSAL_TOO_LARGE || sample->reason == WL_REFUSAL_KEY_REUSED
         || sample->reason == WL_REFUSAL_CLAIM_TAKEN;
}

void
wl_burn_add (WlBurn *burn, const WlServices *services, const WlBurnSample *sample, uint64_t now_us)
{
  if (is_caller_error (sample))
    return;
  WlBurnSeries *s = get_series (burn, services, sample);
  if (s == NULL)
    return;
  advance_to_slot (s, now_us / WL_BURN_SLOT_US);
  int done = sample->outcome == WL_OUTCOME_DONE || sample->outcome == WL_OUTCOME_REPLAYED;
  int good = done && sample->first_token_us <= s->objective_ms * 1000;
  s->total[s->slot % WL_BURN_SLOTS]++;
  s->good[s->slot % WL_BURN_SLOTS] += (uint32_t)good;
  if (done)
    {
      s->finished++;
      s->bins[wl_burn_bin (sample->first_token_us)]++;
    }
  else if (sample->outcome == WL_OUTCOME_FAILED)
    s->failed++;
  else
    s->refused++;
}

void
wl_burn_window (const WlBurnSeries *series, uint64_t now_us, uint32_t slots, uint64_t *total,
                uint64_t *good)
{
  uint64_t now_slot = now_us / WL_BURN_SLOT_US;
  *total = 0;
  *good = 0;
  for (uint32_t i = 0; i < slots && i < WL_BURN_SLOTS && i <= now_slot; i++)
    {
      uint64_t slot = now_slot - i;
      if (slot > series->slot || slot + WL_BURN_SLOTS <= series->slot)
        continue;
      *total += series->total[slot % WL_BURN_SLOTS];
      *good += series->good[slot % WL_BURN_SLOTS];
    }
}
