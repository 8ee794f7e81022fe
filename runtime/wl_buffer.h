#ifndef WL_BUFFER_H
#define WL_BUFFER_H

#include <stddef.h>
#include "wl_codec.h"

enum
{
  WL_BUFFER_KEPT_BYTES = 16384, /* an empty buffer keeps no more memory */
};

/**
 * struct WlBuffer - growing run of bytes, taken from the front
 * @data: memory, NULL while nothing was ever appended
 * @size: end of the bytes held
 * @start: beginning of the bytes held
 * @capacity: bytes allocated
 */
typedef struct
{
  uint8_t *data;
  size_t size;
  size_t start;
  size_t capacity;
} WlBuffer;

/**
 * wl_buffer_append() - appends bytes
 * @buffer: the buffer
 * @bytes: the bytes; copied
 */
void wl_buffer_append (WlBuffer *buffer, WlBytes bytes);

/**
 * wl_buffer_bytes() - bytes held
 * @buffer: the buffer
 *
 * Return: the bytes, valid until the next append or take.
 */
WlBytes wl_buffer_bytes (const WlBuffer *buffer);

/**
 * wl_buffer_take() - removes bytes from the front
 * @buffer: the buffer
 * @n: number of bytes, at most those held
 *
 * Frees the memory of an empty buffer that has more than WL_BUFFER_KEPT_BYTES.
 */
void wl_buffer_take (WlBuffer *buffer, size_t n);

/**
 * wl_buffer_left() - number of bytes held
 * @buffer: the buffer
 *
 * Return: bytes.
 */
size_t wl_buffer_left (const WlBuffer *buffer);

/**
 * wl_buffer_clear() - frees the memory and empties the buffer
 * @buffer: the buffer
 */
void wl_buffer_clear (WlBuffer *buffer);

#endif
