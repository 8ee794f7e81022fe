#include <stdlib.h>
#include <string.h>
#include "wl_buffer.h"

enum
{
  CAPACITY_MIN = 1024,
  CAPACITY_DOUBLED_BYTES = 65536, /* a larger one grows by a quarter */
};

static void
make_room (WlBuffer *b, size_t n)
{
  if (b->start > 0)
    {
      memmove (b->data, b->data + b->start, b->size - b->start);
      b->size -= b->start;
      b->start = 0;
    }
  size_t capacity = b->capacity > 0 ? b->capacity : CAPACITY_MIN;
  while (b->size + n > capacity)
    capacity += capacity < CAPACITY_DOUBLED_BYTES ? capacity : capacity / 4;
  if (capacity == b->capacity)
    return;
  b->data = realloc (b->data, capacity);
  if (b->data == NULL)
    abort ();
  b->capacity = capacity;
}

void
wl_buffer_append (WlBuffer *buffer, WlBytes bytes)
{
  if (bytes.size == 0)
    return;
  if (buffer->size + bytes.size > buffer->capacity)
    make_room (buffer, bytes.size);
  memcpy (buffer->data + buffer->size, bytes.data, bytes.size);
  buffer->size += bytes.size;
}

WlBytes
wl_buffer_bytes (const WlBuffer *buffer)
{
  if (buffer->data == NULL)
    return (WlBytes){ NULL, 0 };
  return (WlBytes){ buffer->data + buffer->start, (uint32_t)wl_buffer_left (buffer) };
}

void
wl_buffer_take (WlBuffer *buffer, size_t n)
{
  buffer->start += n;
  if (buffer->start < buffer->size)
    return;
  buffer->start = buffer->size = 0;
  if (buffer->capacity > WL_BUFFER_KEPT_BYTES)
    wl_buffer_clear (buffer);
}

size_t
wl_buffer_left (const WlBuffer *buffer)
{
  return buffer->size - buffer->start;
}

void
wl_buffer_clear (WlBuffer *buffer)
{
  free (buffer->data);
  memset (buffer, 0, sizeof *buffer);
}
