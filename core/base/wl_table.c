#include <string.h>
#include <xxhash.h>
#include "wl_table.h"

static unsigned int
hash_key (const char *key, apr_ssize_t *size)
{
  if (*size == APR_HASH_KEY_STRING)
    *size = (apr_ssize_t)strlen (key);
  return (unsigned int)XXH64 (key, (size_t)*size, 0);
}

apr_hash_t *
wl_table_create (apr_pool_t *pool)
{
  return apr_hash_make_custom (pool, hash_key);
}

void *
wl_table_get_id (apr_hash_t *table, uint64_t id)
{
  return apr_hash_get (table, &id, sizeof id);
}

void
wl_table_put_id (apr_hash_t *table, const uint64_t *id, void *value)
{
  apr_hash_set (table, id, sizeof *id, value);
}

uint64_t
wl_hash_bytes (const void *data, uint64_t size, uint64_t seed)
{
  return XXH64 (data, (size_t)size, seed);
}

uint64_t
wl_hash_ids (uint64_t a, uint64_t b)
{
  uint64_t words[2] = { a, b };
  return XXH64 (words, sizeof words, 0);
}
