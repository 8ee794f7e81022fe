#ifndef WL_CODEC_H
#define WL_CODEC_H

#include <stddef.h>
#include <stdint.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <msgpack.h>
#include "wl_error.h"

/*
 * Table-driven msgpack codec. A table of WlField lists the members of a struct
 * in wire order; a struct is encoded as a msgpack array. The decoder accepts a
 * shorter array (missing members stay zero) and a longer one (surplus elements
 * are ignored), so that nodes of adjacent versions interoperate. Members may
 * only be appended to a table.
 */

/**
 * struct WlBytes - byte range; does not own its memory
 * @data: first byte
 * @size: number of bytes
 */
typedef struct
{
  const uint8_t *data;
  uint32_t size;
} WlBytes;

/**
 * wl_bytes_dup() - copies bytes to the heap; aborts when out of memory
 * @bytes: the bytes; may be empty
 *
 * Return: the copy; free it with wl_bytes_release().
 */
WlBytes wl_bytes_dup (WlBytes bytes);

/**
 * wl_bytes_release() - frees a copy made by wl_bytes_dup()
 * @bytes: the copy; empty afterwards
 */
void wl_bytes_release (WlBytes *bytes);

/**
 * enum WlFieldType - C type of a struct member
 * @WL_FIELD_END: end of the table
 * @WL_FIELD_U8: uint8_t
 * @WL_FIELD_U32: uint32_t
 * @WL_FIELD_U64: uint64_t
 * @WL_FIELD_TEXT: char array, zero-terminated
 * @WL_FIELD_BLOB: byte array of fixed size
 * @WL_FIELD_BYTES: WlBytes of any size
 * @WL_FIELD_ARRAY: pointer to an array of structs, with a uint32_t count
 * @WL_FIELD_STRUCT: embedded struct
 */
typedef enum
{
  WL_FIELD_END,
  WL_FIELD_U8,
  WL_FIELD_U32,
  WL_FIELD_U64,
  WL_FIELD_TEXT,
  WL_FIELD_BLOB,
  WL_FIELD_BYTES,
  WL_FIELD_ARRAY,
  WL_FIELD_STRUCT,
} WlFieldType;

/**
 * struct WlField - description of one struct member
 * @type: C type
 * @offset: offset of the member in the struct, in bytes
 * @size: size of a text or blob, or of one array element, in bytes
 * @count_offset: offset of the count of an array, in bytes
 * @element: table of the array element or embedded struct
 */
typedef struct WlField
{
  WlFieldType type;
  size_t offset;
  size_t size;
  size_t count_offset;
  const struct WlField *element;
} WlField;

#define WL_U8(T, m)                                                                                \
  {                                                                                                \
    WL_FIELD_U8, offsetof (T, m), 0, 0, NULL                                                       \
  }
#define WL_U32(T, m)                                                                               \
  {                                                                                                \
    WL_FIELD_U32, offsetof (T, m), 0, 0, NULL                                                      \
  }
#define WL_U64(T, m)                                                                               \
  {                                                                                                \
    WL_FIELD_U64, offsetof (T, m), 0, 0, NULL                                                      \
  }
#define WL_TEXT(T, m)                                                                              \
  {                                                                                                \
    WL_FIELD_TEXT, offsetof (T, m), sizeof (((T *)0)->m), 0, NULL                                  \
  }
#define WL_BLOB(T, m)                                                                              \
  {                                                                                                \
    WL_FIELD_BLOB, offsetof (T, m), sizeof (((T *)0)->m), 0, NULL                                  \
  }
#define WL_BYTES(T, m)                                                                             \
  {                                                                                                \
    WL_FIELD_BYTES, offsetof (T, m), 0, 0, NULL                                                    \
  }
#define WL_ARRAY(T, m, n, fields)                                                                  \
  {                                                                                                \
    WL_FIELD_ARRAY, offsetof (T, m), sizeof (*((T *)0)->m), offsetof (T, n), fields                \
  }
#define WL_STRUCT(T, m, fields)                                                                    \
  {                                                                                                \
    WL_FIELD_STRUCT, offsetof (T, m), 0, 0, fields                                                 \
  }
#define WL_END                                                                                     \
  {                                                                                                \
    WL_FIELD_END, 0, 0, 0, NULL                                                                    \
  }

/**
 * wl_encode() - appends a struct to a msgpack stream
 * @packer: receives the encoded struct
 * @fields: table of the struct
 * @base: the struct
 */
void wl_encode (msgpack_packer *packer, const WlField *fields, const void *base);

/**
 * wl_decode() - reads a struct from a msgpack object
 * @object: array object
 * @fields: table of the struct
 * @base: receives the members; must be zeroed
 * @pool: owns the decoded arrays and bytes
 *
 * Return: WL_OK, or WL_ERROR_INVALID when an element has another type than its
 * member or does not fit into it.
 */
WlError wl_decode (const msgpack_object *object, const WlField *fields, void *base,
                   apr_pool_t *pool);

/**
 * wl_encode_bytes() - encodes a struct into pool memory
 * @fields: table of the struct
 * @base: the struct
 * @pool: owns the result
 *
 * Return: the encoded bytes.
 */
WlBytes wl_encode_bytes (const WlField *fields, const void *base, apr_pool_t *pool);

/**
 * wl_decode_bytes() - decodes a struct from bytes
 * @bytes: one encoded struct
 * @fields: table of the struct
 * @base: receives the members; must be zeroed
 * @pool: owns the decoded arrays and bytes
 *
 * Return: WL_OK, or WL_ERROR_INVALID when @bytes are not msgpack or do not
 * match the table.
 */
WlError wl_decode_bytes (WlBytes bytes, const WlField *fields, void *base, apr_pool_t *pool);

#endif
