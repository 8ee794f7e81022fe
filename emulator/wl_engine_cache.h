#ifndef WL_ENGINE_CACHE_H
#define WL_ENGINE_CACHE_H

#include "wl_message.h"

/* Prompt prefixes that an emulated engine keeps after their requests, and the news of them. */

enum
{
  ENGINE_CACHE_MARKS = 2048,
  ENGINE_NEWS_MAX = 64, /* changes that one report holds; others are not reported */
};

/** struct EngineCacheEntry - a kept prefix, @mark.hash 0 for none */
typedef struct
{
  WlPrefixHash mark;
  uint64_t used_us;
} EngineCacheEntry;

/** struct EngineNews - changes since the latest report, which misses some as engines' reports do */
typedef struct
{
  WlPrefixHash marks[ENGINE_NEWS_MAX];
  uint32_t n;
} EngineNews;

typedef struct
{
  EngineCacheEntry entries[ENGINE_CACHE_MARKS];
  EngineNews cached;
  EngineNews evicted;
} EngineCache;

/** engine_cache_store() - keeps the prefixes of a prompt that has been computed */
void engine_cache_store (EngineCache *cache, const WlPrefixHash *marks, uint32_t n,
                         uint64_t now_us);

/** engine_cache_lookup() - returns the tokens of the longest kept prefix, and marks it as used */
uint64_t engine_cache_lookup (EngineCache *cache, const WlPrefixHash *marks, uint32_t n,
                              uint64_t now_us);

/** engine_cache_evict() - evicts least recently used prefixes until they take @tokens at most */
void engine_cache_evict (EngineCache *cache, uint64_t tokens);

#endif
