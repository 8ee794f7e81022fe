#include <string.h>
#include "wl_event_stream.h"

/* Keeps the value of a line that is an id field. */
static void
read_id_field (WlEventStream *stream, const char *line, size_t size)
{
  static const char name[] = "id:";
  if (size < sizeof name - 1 || memcmp (line, name, sizeof name - 1) != 0)
    return;
  line += sizeof name - 1;
  size -= sizeof name - 1;
  if (size > 0 && *line == ' ')
    {
      line++;
      size--;
    }
  if (size >= sizeof stream->last_id)
    return;
  memcpy (stream->last_id, line, size);
  stream->last_id[size] = '\0';
}

/* Reads the lines of a complete event, without the blank line that ends it. */
static void
read_event (WlEventStream *stream, const char *text, uint32_t size)
{
  for (uint32_t start = 0; start < size;)
    {
      const char *newline = memchr (text + start, '\n', size - start);
      uint32_t newline_at = (uint32_t)(newline - text);
      uint32_t end
          = newline_at > start && text[newline_at - 1] == '\r' ? newline_at - 1 : newline_at;
      read_id_field (stream, text + start, end - start);
      start = newline_at + 1;
    }
  if (size > 0)
    stream->n_events++;
}

WlBytes
wl_event_stream_feed (WlEventStream *stream, WlBytes bytes)
{
  wl_buffer_append (&stream->pending, bytes);
  WlBytes all = wl_buffer_bytes (&stream->pending);
  const char *text = (const char *)all.data;
  uint32_t line_start = 0;
  uint32_t complete = 0; /* end of the last complete event */
  for (uint32_t i = 0; i < all.size; i++)
    {
      if (text[i] != '\n')
        continue;
      uint32_t end = i > line_start && text[i - 1] == '\r' ? i - 1 : i;
      if (end == line_start)
        {
          /* The fields of an event count only once a blank line has ended it. */
          read_event (stream, text + complete, line_start - complete);
          complete = i + 1;
        }
      line_start = i + 1;
    }
  return (WlBytes){ all.data, complete };
}

void
wl_event_stream_consume (WlEventStream *stream, WlBytes events)
{
  wl_buffer_take (&stream->pending, events.size);
}

void
wl_event_stream_discard_partial (WlEventStream *stream)
{
  wl_buffer_take (&stream->pending, wl_buffer_left (&stream->pending));
}

void
wl_event_stream_clear (WlEventStream *stream)
{
  wl_buffer_clear (&stream->pending);
}
