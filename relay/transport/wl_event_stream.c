#include <string.h>
#include "wl_event_stream.h"

static void
note_line (WlEventStream *stream, const char *line, size_t size)
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

/* Notes the fields of a whole event, without its blank line. */
static void
note_event (WlEventStream *stream, const char *text, uint32_t size)
{
  for (uint32_t from = 0; from < size;)
    {
      const char *newline = memchr (text + from, '\n', size - from);
      uint32_t to = (uint32_t)(newline - text);
      uint32_t end = to > from && text[to - 1] == '\r' ? to - 1 : to;
      note_line (stream, text + from, end - from);
      from = to + 1;
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
  uint32_t line = 0;  /* start of the line being scanned */
  uint32_t whole = 0; /* end of the last complete event */
  for (uint32_t i = 0; i < all.size; i++)
    {
      if (text[i] != '\n')
        continue;
      uint32_t end = i > line && text[i - 1] == '\r' ? i - 1 : i;
      if (end == line)
        {
          /* A blank line ends the event: only now do its fields count. */
          note_event (stream, text + whole, line - whole);
          whole = i + 1;
        }
      line = i + 1;
    }
  return (WlBytes){ all.data, whole };
}

void
wl_event_stream_take (WlEventStream *stream, WlBytes events)
{
  wl_buffer_take (&stream->pending, events.size);
}

void
wl_event_stream_drop (WlEventStream *stream)
{
  wl_buffer_take (&stream->pending, wl_buffer_left (&stream->pending));
}

void
wl_event_stream_clear (WlEventStream *stream)
{
  wl_buffer_clear (&stream->pending);
}
