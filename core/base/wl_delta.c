#include <string.h>
#include <sodium.h>
#include "wl_delta.h"

void
wl_digest (WlBytes bytes, uint8_t *out)
{
  crypto_generichash (out, WL_DIGEST_SIZE, bytes.data, bytes.size, NULL, 0);
}

void
wl_delta_make (WlBytes old_text, WlBytes new_text, WlConfigChange *out)
{
  uint32_t shorter = old_text.size < new_text.size ? old_text.size : new_text.size;
  uint32_t prefix = 0;
  uint32_t suffix = 0;
  while (prefix < shorter && old_text.data[prefix] == new_text.data[prefix])
    prefix++;
  while (suffix < shorter - prefix
         && old_text.data[old_text.size - 1 - suffix] == new_text.data[new_text.size - 1 - suffix])
    suffix++;
  out->prefix = prefix;
  out->suffix = suffix;
  out->middle = (WlBytes){ new_text.data + prefix, new_text.size - prefix - suffix };
  wl_digest (new_text, out->digest);
}

/* Joins the ends of a text with other bytes between them. */
static WlBytes
splice (WlBytes text, uint32_t prefix, uint32_t suffix, WlBytes middle, apr_pool_t *pool)
{
  uint32_t size = prefix + suffix + middle.size;
  uint8_t *out = apr_palloc (pool, size + 1);
  if (prefix > 0)
    memcpy (out, text.data, prefix);
  if (middle.size > 0)
    memcpy (out + prefix, middle.data, middle.size);
  if (suffix > 0)
    memcpy (out + size - suffix, text.data + text.size - suffix, suffix);
  out[size] = '\0';
  return (WlBytes){ out, size };
}

WlError
wl_delta_apply (WlBytes old_text, const WlConfigChange *change, apr_pool_t *pool, WlBytes *out)
{
  uint8_t digest[WL_DIGEST_SIZE];
  uint64_t kept = (uint64_t)change->prefix + change->suffix;
  if (kept > old_text.size || kept + change->middle.size > WL_SERVICES_TEXT_MAX)
    return WL_ERROR_INVALID;
  *out = splice (old_text, change->prefix, change->suffix, change->middle, pool);
  wl_digest (*out, digest);
  return memcmp (digest, change->digest, sizeof digest) == 0 ? WL_OK : WL_ERROR_INVALID;
}

WlBytes
wl_delta_revert (WlBytes new_text, const WlConfigChange *change, apr_pool_t *pool)
{
  return splice (new_text, change->prefix, change->suffix, change->removed, pool);
}
