#include <stdlib.h>
#include <string.h>
#include "wl_codec.h"

WlBytes
wl_bytes_dup (WlBytes bytes)
{
  if (bytes.size == 0)
    return (WlBytes){ NULL, 0 };
  uint8_t *data = malloc (bytes.size);
  if (data == NULL)
    abort ();
  memcpy (data, bytes.data, bytes.size);
  return (WlBytes){ data, bytes.size };
}

void
wl_bytes_release (WlBytes *bytes)
{
  free ((void *)(uintptr_t)bytes->data);
  *bytes = (WlBytes){ NULL, 0 };
}

static size_t
count_fields (const WlField *fields)
{
  size_t n = 0;
  while (fields[n].type != WL_FIELD_END)
    n++;
  return n;
}

static void
pack_bytes (msgpack_packer *packer, const void *data, size_t n)
{
  msgpack_pack_bin (packer, n);
  if (n > 0)
    msgpack_pack_bin_body (packer, data, n);
}

static void
encode_array (msgpack_packer *packer, const WlField *f, const char *base)
{
  const char *const *items = (const void *)(base + f->offset);
  uint32_t n = *(const uint32_t *)(const void *)(base + f->count_offset);
  msgpack_pack_array (packer, n);
  for (uint32_t i = 0; i < n; i++)
    wl_encode (packer, f->element, *items + i * f->size);
}

static void
encode_field (msgpack_packer *packer, const WlField *f, const char *base)
{
  const void *p = base + f->offset;
  switch (f->type)
    {
    case WL_FIELD_END:
      break;
    case WL_FIELD_U8:
      msgpack_pack_uint8 (packer, *(const uint8_t *)p);
      break;
    case WL_FIELD_U32:
      msgpack_pack_uint32 (packer, *(const uint32_t *)p);
      break;
    case WL_FIELD_U64:
      msgpack_pack_uint64 (packer, *(const uint64_t *)p);
      break;
    case WL_FIELD_TEXT:
      pack_bytes (packer, p, strnlen (p, f->size - 1));
      break;
    case WL_FIELD_BLOB:
      pack_bytes (packer, p, f->size);
      break;
    case WL_FIELD_BYTES:
      pack_bytes (packer, ((const WlBytes *)p)->data, ((const WlBytes *)p)->size);
      break;
    case WL_FIELD_ARRAY:
      encode_array (packer, f, base);
      break;
    case WL_FIELD_STRUCT:
      wl_encode (packer, f->element, p);
      break;
    }
}

void
wl_encode (msgpack_packer *packer, const WlField *fields, const void *base)
{
  size_t n = count_fields (fields);
  msgpack_pack_array (packer, n);
  for (size_t i = 0; i < n; i++)
    encode_field (packer, &fields[i], base);
}

static WlError
decode_number (const msgpack_object *o, const WlField *f, void *p)
{
  if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
    return WL_ERROR_INVALID;
  uint64_t v = o->via.u64;
  if (f->type == WL_FIELD_U64)
    *(uint64_t *)p = v;
  else if (f->type == WL_FIELD_U32 && v <= UINT32_MAX)
    *(uint32_t *)p = (uint32_t)v;
  else if (f->type == WL_FIELD_U8 && v <= UINT8_MAX)
    *(uint8_t *)p = (uint8_t)v;
  else
    return WL_ERROR_INVALID;
  return WL_OK;
}

static WlError
decode_binary (const msgpack_object *o, const WlField *f, char *p, apr_pool_t *pool)
{
  if (o->type != MSGPACK_OBJECT_BIN)
    return WL_ERROR_INVALID;
  uint32_t n = o->via.bin.size;
  if (f->type == WL_FIELD_BYTES)
    {
      WlBytes *out = (void *)p;
      out->data = n > 0 ? apr_pmemdup (pool, o->via.bin.ptr, n) : NULL;
      out->size = n;
      return WL_OK;
    }
  if (f->type == WL_FIELD_TEXT ? n >= f->size : n != f->size)
    return WL_ERROR_INVALID;
  if (f->type == WL_FIELD_TEXT && memchr (o->via.bin.ptr, '\0', n) != NULL)
    return WL_ERROR_INVALID;
  memcpy (p, o->via.bin.ptr, n);
  return WL_OK;
}

static WlError
decode_array (const msgpack_object *o, const WlField *f, char *base, apr_pool_t *pool)
{
  if (o->type != MSGPACK_OBJECT_ARRAY)
    return WL_ERROR_INVALID;
  uint32_t n = o->via.array.size;
  char *items = apr_pcalloc (pool, (n > 0 ? n : 1) * f->size);
  for (uint32_t i = 0; i < n; i++)
    {
      WlError e = wl_decode (&o->via.array.ptr[i], f->element, items + i * f->size, pool);
      if (e != WL_OK)
        return e;
    }
  *(char **)(void *)(base + f->offset) = items;
  *(uint32_t *)(void *)(base + f->count_offset) = n;
  return WL_OK;
}

static WlError
decode_field (const msgpack_object *o, const WlField *f, char *base, apr_pool_t *pool)
{
  switch (f->type)
    {
    case WL_FIELD_END:
      return WL_ERROR_INVALID;
    case WL_FIELD_U8:
    case WL_FIELD_U32:
    case WL_FIELD_U64:
      return decode_number (o, f, base + f->offset);
    case WL_FIELD_TEXT:
    case WL_FIELD_BLOB:
    case WL_FIELD_BYTES:
      return decode_binary (o, f, base + f->offset, pool);
    case WL_FIELD_ARRAY:
      return decode_array (o, f, base, pool);
    case WL_FIELD_STRUCT:
      return wl_decode (o, f->element, base + f->offset, pool);
    }
  return WL_ERROR_INVALID;
}

WlError
wl_decode (const msgpack_object *object, const WlField *fields, void *base, apr_pool_t *pool)
{
  if (object->type != MSGPACK_OBJECT_ARRAY)
    return WL_ERROR_INVALID;
  for (size_t i = 0; i < object->via.array.size && fields[i].type != WL_FIELD_END; i++)
    {
      WlError e = decode_field (&object->via.array.ptr[i], &fields[i], base, pool);
      if (e != WL_OK)
        return e;
    }
  return WL_OK;
}

WlBytes
wl_encode_bytes (const WlField *fields, const void *base, apr_pool_t *pool)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  wl_encode (&packer, fields, base);
  WlBytes out = { apr_pmemdup (pool, buffer.data, buffer.size), (uint32_t)buffer.size };
  msgpack_sbuffer_destroy (&buffer);
  return out;
}

WlError
wl_decode_bytes (WlBytes bytes, const WlField *fields, void *base, apr_pool_t *pool)
{
  msgpack_unpacked unpacked;
  WlError e = WL_ERROR_INVALID;
  size_t used = 0;
  msgpack_unpacked_init (&unpacked);
  if (msgpack_unpack_next (&unpacked, (const char *)bytes.data, bytes.size, &used)
      == MSGPACK_UNPACK_SUCCESS)
    e = wl_decode (&unpacked.data, fields, base, pool);
  msgpack_unpacked_destroy (&unpacked);
  return e;
}
