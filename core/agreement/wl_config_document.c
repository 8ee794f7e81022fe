#include <stdio.h>
#include <string.h>
#include "wl_config_document.h"

enum
{
  SIZE_BYTES = 4,
};

typedef struct
{
  WlEvacuation *evacuations;
  uint32_t n_evacuations;
} EvacuationList;

static const WlField list_fields[] = {
  WL_ARRAY (EvacuationList, evacuations, n_evacuations, wl_evacuation_fields),
  WL_END,
};

static void
write_number (uint8_t *out, uint64_t number, uint32_t size)
{
  for (uint32_t i = 0; i < size; i++)
    out[i] = (uint8_t)(number >> (8 * (size - 1 - i)));
}

static uint64_t
read_number (const uint8_t *in, uint32_t size)
{
  uint64_t number = 0;
  for (uint32_t i = 0; i < size; i++)
    number = number << 8 | in[i];
  return number;
}

WlBytes
wl_config_document_encode (const WlConfigDocument *document, apr_pool_t *pool)
{
  EvacuationList list = { document->evacuations, document->n_evacuations };
  WlBytes encoded = { NULL, 0 };
  uint32_t size = WL_CONFIG_VERSION_BYTES;
  if (list.n_evacuations > 0)
    {
      encoded = wl_encode_bytes (list_fields, &list, pool);
      size += SIZE_BYTES + encoded.size;
    }
  uint8_t *out = apr_palloc (pool, size + document->text.size);
  write_number (out, document->version, WL_CONFIG_VERSION_BYTES);
  if (list.n_evacuations > 0)
    {
      out[0] |= 0x80;
      write_number (out + WL_CONFIG_VERSION_BYTES, encoded.size, SIZE_BYTES);
      memcpy (out + WL_CONFIG_VERSION_BYTES + SIZE_BYTES, encoded.data, encoded.size);
    }
  if (document->text.size > 0)
    memcpy (out + size, document->text.data, document->text.size);
  return (WlBytes){ out, size + document->text.size };
}

/* Splits a document; @list is empty in one without evacuations. Returns 0 for a damaged one. */
static int
split (WlBytes bytes, uint64_t *version, WlBytes *list, WlBytes *text)
{
  uint32_t used = WL_CONFIG_VERSION_BYTES;
  *version = 0;
  *list = (WlBytes){ NULL, 0 };
  *text = (WlBytes){ NULL, 0 };
  if (bytes.size < used)
    return bytes.size == 0;
  uint64_t number = read_number (bytes.data, WL_CONFIG_VERSION_BYTES);
  if (number >= WL_CONFIG_VERSION_MAX)
    {
      if (bytes.size < used + SIZE_BYTES)
        return 0;
      list->size = (uint32_t)read_number (bytes.data + used, SIZE_BYTES);
      used += SIZE_BYTES;
      if (list->size == 0 || list->size > bytes.size - used)
        return 0;
      list->data = bytes.data + used;
      used += list->size;
    }
  *version = number % WL_CONFIG_VERSION_MAX;
  *text = (WlBytes){ bytes.data + used, bytes.size - used };
  return 1;
}

WlError
wl_config_document_decode (WlBytes bytes, apr_pool_t *pool, WlConfigDocument *out)
{
  EvacuationList list = { 0 };
  WlBytes encoded;
  memset (out, 0, sizeof *out);
  int is_valid = split (bytes, &out->version, &encoded, &out->text);
  if (is_valid && encoded.size > 0)
    is_valid = wl_decode_bytes (encoded, list_fields, &list, pool) == WL_OK
               && list.n_evacuations <= WL_EVACUATIONS_MAX;
  if (!is_valid)
    {
      memset (out, 0, sizeof *out);
      return WL_ERROR_CORRUPT;
    }
  out->evacuations = list.evacuations;
  out->n_evacuations = list.n_evacuations;
  return WL_OK;
}

int
wl_config_document_has_config (const WlConfigDocument *document)
{
  return document->text.size > 0;
}

static WlEvacuation *
find (const WlConfigDocument *document, const char *domain)
{
  for (uint32_t i = 0; i < document->n_evacuations; i++)
    if (strcmp (document->evacuations[i].domain, domain) == 0)
      return &document->evacuations[i];
  return NULL;
}

WlEvacuation
wl_config_document_evacuation (const WlConfigDocument *document, const char *domain)
{
  WlEvacuation out = { .sequence = 0 };
  const WlEvacuation *found = find (document, domain);
  if (found != NULL)
    return *found;
  snprintf (out.domain, sizeof out.domain, "%s", domain);
  return out;
}

int
wl_config_document_evacuate (WlConfigDocument *document, const char *domain, int is_finish,
                             apr_pool_t *pool)
{
  uint32_t n = document->n_evacuations;
  WlEvacuation *list = apr_pcalloc (pool, (n + 1) * sizeof *list);
  if (find (document, domain) == NULL && n == WL_EVACUATIONS_MAX)
    return 0;
  if (n > 0)
    memcpy (list, document->evacuations, n * sizeof *list);
  document->evacuations = list;
  WlEvacuation *e = find (document, domain);
  if (e == NULL)
    {
      e = &list[document->n_evacuations++];
      snprintf (e->domain, sizeof e->domain, "%s", domain);
    }
  e->sequence++;
  e->is_active = !is_finish;
  return 1;
}

WlBytes
wl_config_add_version (uint64_t version, WlBytes config, apr_pool_t *pool)
{
  WlConfigDocument document = { .version = version, .text = config };
  return wl_config_document_encode (&document, pool);
}

WlBytes
wl_config_split_version (WlBytes document, uint64_t *version)
{
  WlBytes list, text;
  if (!split (document, version, &list, &text))
    return (WlBytes){ NULL, 0 };
  return text;
}
