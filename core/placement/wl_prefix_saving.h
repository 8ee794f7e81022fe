#ifndef WL_PREFIX_SAVING_H
#define WL_PREFIX_SAVING_H

#include "wl_message.h"

/*
 * What an endpoint is expected to save for a prompt whose beginning it holds in its KV cache, and
 * the weighing of that against the wait. Without I/O; see docs/design/prefix-saving.md.
 */

enum
{
  WL_PREFIX_PPM = 1000000,
  WL_PREFIX_HINTS = 1024, /* hash table slots for the cached prefixes of one endpoint */
  /* The certainty of an unused hint halves in this time: engines keep unused prefixes for minutes.
   */
  WL_PREFIX_HALF_LIFE_US = 60000000,
  /* certainty of a prefix that a request has brought there and the engine has not reported */
  WL_PREFIX_UNREPORTED_PPM = 750000,
  /* Up to this use of slots and of KV cache an endpoint has room, and hints count in full; from
     there certainty falls to 0 at full use. */
  WL_PREFIX_ROOMY_PERCENT = 50,
  /* Time that a prefill takes from another running request counts as this fraction of the same
     time of waiting for a first token; as many requests share a decode step in wl_queue_cost(). */
  WL_PREFIX_LOSS_DIVISOR = 16,
  WL_PREFIX_LEARN_SHIFT = 4, /* weight of a request in the reliability: 1/16 */
};

/**
 * struct WlPrefixHint - a prefix that an endpoint probably holds
 * @hash: hash of the prefix, 0 for none
 * @since_ms: low bits of the monotonic time of its latest use; in the future while it is computed
 * @is_reported: the engine has reported it, instead of a placement only
 */
typedef struct
{
  uint64_t hash;
  uint32_t since_ms;
  uint8_t is_reported;
} WlPrefixHint;

/**
 * struct WlPrefixHints - the prefixes of one endpoint since its start
 * @hints: by hash; a colliding hash replaces the older
 * @unreliable_ppm: share of the expected tokens that the engine did not have, as learnt from
 *   requests; 0 in a new record
 */
typedef struct
{
  WlPrefixHint hints[WL_PREFIX_HINTS];
  uint32_t unreliable_ppm;
} WlPrefixHints;

/** struct WlPrefixRoom - use of an endpoint's memory and slots */
typedef struct
{
  uint64_t kv_used;
  uint64_t kv_capacity;
  uint32_t slots_used;
  uint32_t slots;
} WlPrefixRoom;

/**
 * struct WlPrefixMatch - what hints say about a prompt
 * @hinted_tokens: tokens of the longest prefix with a hint, whatever its certainty
 * @likely_tokens: tokens x certainty, without what was learnt about the endpoint's reliability
 * @expected_tokens: tokens x certainty
 */
typedef struct
{
  uint64_t hinted_tokens;
  uint64_t likely_tokens;
  uint64_t expected_tokens;
} WlPrefixMatch;

/**
 * struct WlPrefixCost - what the time to first token at an endpoint depends on
 * @expected_tokens: tokens expected in its cache
 * @backlog_tokens: tokens that it computes before
 * @prefill_ns: time per token
 * @n_running: other requests there
 */
typedef struct
{
  uint64_t prompt_tokens;
  uint64_t expected_tokens;
  uint64_t backlog_tokens;
  uint64_t prefill_ns;
  uint32_t n_running;
} WlPrefixCost;

/**
 * wl_prefix_hints_report() - records prefixes that an engine reports as cached
 * @hints: hints of the endpoint
 * @prefixes: the prefixes
 * @n: number of prefixes
 * @now_us: monotonic time
 */
void wl_prefix_hints_report (WlPrefixHints *hints, const WlPrefixHash *prefixes, uint32_t n,
                             uint64_t now_us);

/**
 * wl_prefix_hints_evict() - removes prefixes that an engine reports as evicted
 * @hints: hints of the endpoint
 * @prefixes: the prefixes
 * @n: number of prefixes
 */
void wl_prefix_hints_evict (WlPrefixHints *hints, const WlPrefixHash *prefixes, uint32_t n);

/**
 * wl_prefix_hints_place() - records the prefixes of a request that was placed on the endpoint
 * @hints: hints of the endpoint
 * @prefixes: prefixes of its prompt
 * @n: number of prefixes
 * @ready_us: when its prefill is expected to end
 * @now_us: monotonic time
 *
 * A prefix that the endpoint did not hold counts from @ready_us on; one that it held has been used.
 */
void wl_prefix_hints_place (WlPrefixHints *hints, const WlPrefixHash *prefixes, uint32_t n,
                            uint64_t ready_us, uint64_t now_us);

/**
 * wl_prefix_hints_learn() - learns from what an engine had really cached for a request
 * @hints: hints of the endpoint
 * @likely_tokens: WlPrefixMatch.likely_tokens of its placement; 0 teaches nothing
 * @cached_tokens: tokens that the engine had cached
 */
void wl_prefix_hints_learn (WlPrefixHints *hints, uint64_t likely_tokens, uint64_t cached_tokens);

/**
 * wl_prefix_certainty() - share of a hinted prefix that is expected in the cache
 * @hint: the hint
 * @room: use of the endpoint
 * @now_us: monotonic time
 *
 * Falls with the age of the hint and as memory or slots run out; 0 while the prefix is computed.
 *
 * Return: millionths.
 */
uint32_t wl_prefix_certainty (const WlPrefixHint *hint, const WlPrefixRoom *room, uint64_t now_us);

/**
 * wl_prefix_match() - finds the prefix of a prompt that an endpoint saves most of
 * @hints: hints of the endpoint
 * @prefixes: prefixes of the prompt, shortest first
 * @n: number of prefixes
 * @prompt_tokens: length of the prompt
 * @room: use of the endpoint, NULL to count hints in full
 * @now_us: monotonic time
 *
 * With certainty, a shorter prefix in use may save more than a longer one of long ago. Without,
 * the longest prefix counts.
 *
 * Return: the match; zeros for none.
 */
WlPrefixMatch wl_prefix_match (const WlPrefixHints *hints, const WlPrefixHash *prefixes, uint32_t n,
                               uint64_t prompt_tokens, const WlPrefixRoom *room, uint64_t now_us);

/**
 * wl_prefix_wait_us() - predicted time to first token: backlog and prefill, less what is saved
 * @cost: the request at the endpoint
 *
 * Return: microseconds.
 */
uint64_t wl_prefix_wait_us (const WlPrefixCost *cost);

/**
 * wl_prefix_loss_us() - loss to the requests that run at the endpoint while the prompt is computed
 * @cost: the request at the endpoint
 *
 * Return: microseconds of waiting for a first token that weigh as much.
 */
uint64_t wl_prefix_loss_us (const WlPrefixCost *cost);

#endif
