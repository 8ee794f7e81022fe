#include "wl_engine_cache.h"
#include "wl_prefix.h"

enum
{
  REPORT_GAP = 8, /* one change in this many is not reported */
};

static void
add_news (EngineNews *news, const WlPrefixHash *mark)
{
  if (news->n < ENGINE_NEWS_MAX && mark->hash % REPORT_GAP != 0)
    news->marks[news->n++] = *mark;
}

void
engine_cache_store (EngineCache *cache, const WlPrefixHash *marks, uint32_t n, uint64_t now_us)
{
  for (uint32_t i = 0; i < n; i++)
    {
      cache->entries[marks[i].hash % ENGINE_CACHE_MARKS] = (EngineCacheEntry){ marks[i], now_us };
      add_news (&cache->cached, &marks[i]);
    }
}

uint64_t
engine_cache_lookup (EngineCache *cache, const WlPrefixHash *marks, uint32_t n, uint64_t now_us)
{
  uint64_t tokens = 0;
  for (uint32_t i = 0; i < n; i++)
    {
      EngineCacheEntry *entry = &cache->entries[marks[i].hash % ENGINE_CACHE_MARKS];
      if (entry->mark.hash != marks[i].hash)
        continue;
      entry->used_us = now_us;
      tokens = marks[i].tokens;
    }
  return tokens;
}

/* Memory that a prefix takes beyond that of half its length, which is kept before it. */
static uint64_t
own_tokens (const WlPrefixHash *mark)
{
  return mark->tokens > WL_PREFIX_FIRST_TOKENS ? mark->tokens / 2 : mark->tokens;
}

/* Of prefixes used at the same time the longest is evicted first: the others are its beginning. */
static int
is_evicted_before (const EngineCacheEntry *a, const EngineCacheEntry *b)
{
  return a->used_us != b->used_us ? a->used_us < b->used_us : a->mark.tokens > b->mark.tokens;
}

void
engine_cache_evict (EngineCache *cache, uint64_t tokens)
{
  uint64_t held = 0;
  for (uint32_t i = 0; i < ENGINE_CACHE_MARKS; i++)
    held += own_tokens (&cache->entries[i].mark);
  while (held > tokens)
    {
      EngineCacheEntry *first = NULL;
      for (uint32_t i = 0; i < ENGINE_CACHE_MARKS; i++)
        {
          EngineCacheEntry *entry = &cache->entries[i];
          if (entry->mark.hash != 0 && (first == NULL || is_evicted_before (entry, first)))
            first = entry;
        }
      if (first == NULL)
        return;
      held -= own_tokens (&first->mark);
      add_news (&cache->evicted, &first->mark);
      *first = (EngineCacheEntry){ 0 };
    }
}
