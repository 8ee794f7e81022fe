#include "wl_prefix_saving.h"

enum
{
  US_PER_MS = 1000,
  HALVINGS_MAX = 20, /* after these, less than a millionth is left */
};

static WlPrefixHint *
hint_slot (WlPrefixHints *hints, uint64_t hash)
{
  return &hints->hints[hash % WL_PREFIX_HINTS];
}

/* Milliseconds since the latest use, negative while the prefix is computed. Right for hints of up
   to 24 days; older ones may count once more. */
static int32_t
age_ms (const WlPrefixHint *hint, uint64_t now_us)
{
  return (int32_t)((uint32_t)(now_us / US_PER_MS) - hint->since_ms);
}

void
wl_prefix_hints_report (WlPrefixHints *hints, const WlPrefixHash *prefixes, uint32_t n,
                        uint64_t now_us)
{
  for (uint32_t i = 0; i < n; i++)
    *hint_slot (hints, prefixes[i].hash) = (WlPrefixHint){
      .hash = prefixes[i].hash, .since_ms = (uint32_t)(now_us / US_PER_MS), .is_reported = 1
    };
}

void
wl_prefix_hints_evict (WlPrefixHints *hints, const WlPrefixHash *prefixes, uint32_t n)
{
  for (uint32_t i = 0; i < n; i++)
    {
      WlPrefixHint *hint = hint_slot (hints, prefixes[i].hash);
      if (hint->hash == prefixes[i].hash)
        *hint = (WlPrefixHint){ 0 };
    }
}

void
wl_prefix_hints_place (WlPrefixHints *hints, const WlPrefixHash *prefixes, uint32_t n,
                       uint64_t ready_us, uint64_t now_us)
{
  for (uint32_t i = 0; i < n; i++)
    {
      WlPrefixHint *hint = hint_slot (hints, prefixes[i].hash);
      int32_t age = age_ms (hint, now_us);
      int is_known = hint->hash == prefixes[i].hash;
      /* The request that came first computes it. */
      if (is_known && age < 0)
        continue;
      /* A hint as old as this may be wrong; the prefix is then computed anew. */
      int is_held = is_known && age < WL_PREFIX_HALF_LIFE_US / US_PER_MS;
      hint->is_reported = is_held && hint->is_reported;
      hint->hash = prefixes[i].hash;
      hint->since_ms = (uint32_t)((is_held ? now_us : ready_us) / US_PER_MS);
    }
}

void
wl_prefix_hints_learn (WlPrefixHints *hints, uint64_t likely_tokens, uint64_t cached_tokens)
{
  if (likely_tokens == 0)
    return;
  uint64_t missing = cached_tokens < likely_tokens ? likely_tokens - cached_tokens : 0;
  uint32_t sample = (uint32_t)(missing * WL_PREFIX_PPM / likely_tokens);
  hints->unreliable_ppm
      += (sample >> WL_PREFIX_LEARN_SHIFT) - (hints->unreliable_ppm >> WL_PREFIX_LEARN_SHIFT);
}

/* Falls from all to nothing between WL_PREFIX_ROOMY_PERCENT and full use. */
static uint64_t
room_ppm (uint64_t used, uint64_t capacity)
{
  uint64_t roomy = capacity * WL_PREFIX_ROOMY_PERCENT / 100;
  if (used >= capacity)
    return 0;
  return used <= roomy ? WL_PREFIX_PPM : (capacity - used) * WL_PREFIX_PPM / (capacity - roomy);
}

/* Halves with each half-life, in a straight line between. */
static uint64_t
freshness_ppm (uint64_t age_us)
{
  uint64_t halvings = age_us / WL_PREFIX_HALF_LIFE_US;
  if (halvings >= HALVINGS_MAX)
    return 0;
  uint64_t ppm = (uint64_t)WL_PREFIX_PPM >> halvings;
  return ppm - ppm / 2 * (age_us % WL_PREFIX_HALF_LIFE_US) / WL_PREFIX_HALF_LIFE_US;
}

uint32_t
wl_prefix_certainty (const WlPrefixHint *hint, const WlPrefixRoom *room, uint64_t now_us)
{
  int32_t age = age_ms (hint, now_us);
  if (age < 0)
    return 0;
  uint64_t ppm = hint->is_reported ? WL_PREFIX_PPM : WL_PREFIX_UNREPORTED_PPM;
  ppm = ppm * freshness_ppm ((uint64_t)age * US_PER_MS) / WL_PREFIX_PPM;
  ppm = ppm * room_ppm (room->kv_used, room->kv_capacity) / WL_PREFIX_PPM;
  ppm = ppm * room_ppm (room->slots_used, room->slots) / WL_PREFIX_PPM;
  return (uint32_t)ppm;
}

WlPrefixMatch
wl_prefix_match (const WlPrefixHints *hints, const WlPrefixHash *prefixes, uint32_t n,
                 uint64_t prompt_tokens, const WlPrefixRoom *room, uint64_t now_us)
{
  WlPrefixMatch match = { 0 };
  for (uint32_t i = n; i > 0; i--)
    {
      const WlPrefixHash *prefix = &prefixes[i - 1];
      const WlPrefixHint *hint = &hints->hints[prefix->hash % WL_PREFIX_HINTS];
      uint64_t tokens = prefix->tokens < prompt_tokens ? prefix->tokens : prompt_tokens;
      if (hint->hash != prefix->hash)
        continue;
      if (match.hinted_tokens == 0)
        match.hinted_tokens = tokens;
      uint64_t ppm = room != NULL ? wl_prefix_certainty (hint, room, now_us) : WL_PREFIX_PPM;
      uint64_t likely = tokens * ppm / WL_PREFIX_PPM;
      if (likely > match.likely_tokens)
        match.likely_tokens = likely;
      /* Shorter prefixes cannot save more. */
      if (ppm == WL_PREFIX_PPM)
        break;
    }
  uint64_t reliable_ppm = room != NULL ? WL_PREFIX_PPM - hints->unreliable_ppm : WL_PREFIX_PPM;
  match.expected_tokens = match.likely_tokens * reliable_ppm / WL_PREFIX_PPM;
  return match;
}

uint64_t
wl_prefix_wait_us (const WlPrefixCost *cost)
{
  uint64_t uncached = cost->prompt_tokens - cost->expected_tokens;
  return (uncached + cost->backlog_tokens) * cost->prefill_ns / 1000;
}

uint64_t
wl_prefix_loss_us (const WlPrefixCost *cost)
{
  uint64_t uncached = cost->prompt_tokens - cost->expected_tokens;
  return uncached * cost->prefill_ns / 1000 * cost->n_running / WL_PREFIX_LOSS_DIVISOR;
}
