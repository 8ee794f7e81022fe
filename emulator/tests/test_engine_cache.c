#include <string.h>
#include "wl_engine_cache.h"
#include "wl_prefix.h"
#include "wl_test.h"

/* The prefixes that an emulated engine keeps: experiments on caches are only as good as this. */

enum
{
  CHAIN = 4, /* prefixes of 256, 512, 1024 and 2048 tokens */
  CHAIN_TOKENS = 2048,
};

static EngineCache cache;

static const WlPrefixHash *
make_chain (uint64_t first)
{
  static WlPrefixHash marks[CHAIN];
  for (uint32_t i = 0; i < CHAIN; i++)
    marks[i] = (WlPrefixHash){ first + i, WL_PREFIX_FIRST_TOKENS << i };
  return marks;
}

/* If prefixes of one prompt counted in full each, an engine would hold half of what it can. */
START_TEST (a_prompt_takes_the_memory_of_its_longest_prefix)
{
  memset (&cache, 0, sizeof cache);
  engine_cache_store (&cache, make_chain (17), CHAIN, 1);
  engine_cache_evict (&cache, CHAIN_TOKENS);
  ck_assert_uint_eq (engine_cache_lookup (&cache, make_chain (17), CHAIN, 2), CHAIN_TOKENS);
  ck_assert_uint_eq (cache.evicted.n, 0);
  engine_cache_evict (&cache, CHAIN_TOKENS - 1);
  ck_assert_uint_eq (engine_cache_lookup (&cache, make_chain (17), CHAIN, 3), CHAIN_TOKENS / 2);
}
END_TEST

/* An engine that evicted what is in use would never have a hit under load. */
START_TEST (the_least_recently_used_prefix_is_evicted_first)
{
  memset (&cache, 0, sizeof cache);
  engine_cache_store (&cache, make_chain (17), CHAIN, 1);
  engine_cache_store (&cache, make_chain (33), CHAIN, 2);
  engine_cache_lookup (&cache, make_chain (17), CHAIN, 3);
  engine_cache_evict (&cache, CHAIN_TOKENS);
  ck_assert_uint_eq (engine_cache_lookup (&cache, make_chain (17), CHAIN, 4), CHAIN_TOKENS);
  ck_assert_uint_eq (engine_cache_lookup (&cache, make_chain (33), CHAIN, 4), 0);
  engine_cache_evict (&cache, 0);
  ck_assert_uint_eq (engine_cache_lookup (&cache, make_chain (17), CHAIN, 5), 0);
}
END_TEST

/* The placement must cope with reports that miss some changes; without gaps nothing would show it.
 */
START_TEST (news_miss_one_change_in_eight)
{
  memset (&cache, 0, sizeof cache);
  engine_cache_store (&cache, make_chain (14), CHAIN, 1); /* 14, 15, 16 and 17 */
  ck_assert_uint_eq (cache.cached.n, 3);
  engine_cache_evict (&cache, 0);
  ck_assert_uint_eq (cache.evicted.n, 3);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_prompt_takes_the_memory_of_its_longest_prefix),
    WL_TEST (the_least_recently_used_prefix_is_evicted_first),
    WL_TEST (news_miss_one_change_in_eight),
  };
  return wl_test_run ("engine cache", tests, sizeof tests / sizeof tests[0]);
}
