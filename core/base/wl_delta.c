#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include <zstd.h>
#include "wl_delta.h"

enum
{
  COMPRESSION_LEVEL = 3, /* zstd's default level: 300 KB take a few milliseconds */
  WINDOW_LOG_MIN = 10,   /* log2 of bytes; the smallest that zstd accepts */
  WINDOW_LOG_MAX = 22,   /* more than the largest configuration and its reference together */
};

/* The smallest window that reaches every byte of the reference. */
static int
window_log (uint64_t bytes)
{
  int log = WINDOW_LOG_MIN;
  while (log < WINDOW_LOG_MAX && (uint64_t)1 << log < bytes)
    log++;
  return log;
}

/* Compresses bytes against a reference. */
static WlBytes
compress (WlBytes bytes, WlBytes reference, apr_pool_t *pool)
{
  size_t capacity = ZSTD_compressBound (bytes.size);
  size_t size = 0;
  uint8_t *out = apr_palloc (pool, capacity);
  ZSTD_CCtx *context = ZSTD_createCCtx ();
  if (context == NULL)
    abort ();
  ZSTD_CCtx_setParameter (context, ZSTD_c_compressionLevel, COMPRESSION_LEVEL);
  ZSTD_CCtx_setParameter (context, ZSTD_c_windowLog,
                          window_log ((uint64_t)bytes.size + reference.size));
  ZSTD_CCtx_refPrefix (context, reference.data, reference.size);
  size = ZSTD_compress2 (context, out, capacity, bytes.data, bytes.size);
  ZSTD_freeCCtx (context);
  if (ZSTD_isError (size))
    abort (); /* out of memory: the output cannot exceed the bound */
  return (WlBytes){ out, (uint32_t)size };
}

static WlError
decompress (WlBytes packed, WlBytes reference, apr_pool_t *pool, WlBytes *out)
{
  unsigned long long size = ZSTD_getFrameContentSize (packed.data, packed.size);
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN
      || size > WL_DELTA_CONFIG_BYTES)
    return WL_ERROR_INVALID;
  uint8_t *bytes = apr_palloc (pool, (apr_size_t)size + 1);
  ZSTD_DCtx *context = ZSTD_createDCtx ();
  if (context == NULL)
    abort ();
  ZSTD_DCtx_refPrefix (context, reference.data, reference.size);
  size_t n = ZSTD_decompressDCtx (context, bytes, (size_t)size, packed.data, packed.size);
  ZSTD_freeDCtx (context);
  if (ZSTD_isError (n) || n != size)
    return WL_ERROR_INVALID;
  *out = (WlBytes){ bytes, (uint32_t)n };
  return WL_OK;
}

/* Replaces bytes by their compressed form if that is smaller. Returns whether it did. */
static uint8_t
compress_if_smaller (WlBytes *bytes, WlBytes reference, apr_pool_t *pool)
{
  if (bytes->size <= WL_DELTA_UNCOMPRESSED_BYTES)
    return 0;
  WlBytes packed = compress (*bytes, reference, pool);
  if (packed.size >= bytes->size)
    return 0;
  *bytes = packed;
  return 1;
}

WlBytes
wl_config_compress (WlBytes config, apr_pool_t *pool)
{
  return compress (config, (WlBytes){ NULL, 0 }, pool);
}

WlError
wl_config_decompress (WlBytes packed, apr_pool_t *pool, WlBytes *out)
{
  return decompress (packed, (WlBytes){ NULL, 0 }, pool, out);
}

void
wl_digest (WlBytes bytes, uint8_t *out)
{
  crypto_generichash (out, WL_DIGEST_SIZE, bytes.data, bytes.size, NULL, 0);
}

void
wl_delta_make (WlBytes old_config, WlBytes new_config, apr_pool_t *pool, WlConfigChange *out)
{
  uint32_t shorter = old_config.size < new_config.size ? old_config.size : new_config.size;
  uint32_t prefix = 0;
  uint32_t suffix = 0;
  while (prefix < shorter && old_config.data[prefix] == new_config.data[prefix])
    prefix++;
  while (suffix < shorter - prefix
         && old_config.data[old_config.size - 1 - suffix]
                == new_config.data[new_config.size - 1 - suffix])
    suffix++;
  out->prefix = prefix;
  out->suffix = suffix;
  out->middle = (WlBytes){ new_config.data + prefix, new_config.size - prefix - suffix };
  out->is_compressed = compress_if_smaller (&out->middle, old_config, pool);
  wl_digest (new_config, out->digest);
}

void
wl_delta_record_removed (WlBytes old_config, WlBytes new_config, apr_pool_t *pool,
                         WlConfigChange *change)
{
  uint32_t kept = change->prefix + change->suffix;
  change->removed = (WlBytes){ old_config.data + change->prefix, old_config.size - kept };
  change->is_removed_compressed = compress_if_smaller (&change->removed, new_config, pool);
}

/* Joins the prefix and the suffix of a configuration with other bytes between them. */
static WlBytes
splice (WlBytes config, uint32_t prefix, uint32_t suffix, WlBytes middle, apr_pool_t *pool)
{
  uint32_t size = prefix + suffix + middle.size;
  uint8_t *out = apr_palloc (pool, size + 1);
  if (prefix > 0)
    memcpy (out, config.data, prefix);
  if (middle.size > 0)
    memcpy (out + prefix, middle.data, middle.size);
  if (suffix > 0)
    memcpy (out + size - suffix, config.data + config.size - suffix, suffix);
  out[size] = '\0';
  return (WlBytes){ out, size };
}

WlError
wl_delta_apply (WlBytes old_config, const WlConfigChange *change, apr_pool_t *pool, WlBytes *out)
{
  uint8_t digest[WL_DIGEST_SIZE];
  uint64_t kept = (uint64_t)change->prefix + change->suffix;
  WlBytes middle = change->middle;
  if (change->is_compressed && decompress (change->middle, old_config, pool, &middle) != WL_OK)
    return WL_ERROR_INVALID;
  if (kept > old_config.size || kept + middle.size > WL_DELTA_CONFIG_BYTES)
    return WL_ERROR_INVALID;
  *out = splice (old_config, change->prefix, change->suffix, middle, pool);
  wl_digest (*out, digest);
  return memcmp (digest, change->digest, sizeof digest) == 0 ? WL_OK : WL_ERROR_INVALID;
}

WlError
wl_delta_revert (WlBytes new_config, const WlConfigChange *change, apr_pool_t *pool, WlBytes *out)
{
  WlBytes removed = change->removed;
  if (change->is_removed_compressed
      && decompress (change->removed, new_config, pool, &removed) != WL_OK)
    return WL_ERROR_INVALID;
  *out = splice (new_config, change->prefix, change->suffix, removed, pool);
  return WL_OK;
}
