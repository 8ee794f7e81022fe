#include <stdlib.h>
#include <string.h>
#include "wl_event_stream.h"

enum
{
  CONSECUTIVE_MIN = 2, /* events with consecutive numbers, after which the next number is known */
};

/* Value of a line that is an id field, without terminating zero; NULL for another line. */
static const char *
id_value (const char *line, size_t size, size_t *value_size)
{
  static const char name[] = "id:";
  size_t skipped = sizeof name - 1;
  if (size < skipped || memcmp (line, name, skipped) != 0)
    return NULL;
  if (size > skipped && line[skipped] == ' ')
    skipped++;
  *value_size = size - skipped;
  return line + skipped;
}

/* Copies an id; leaves @out empty if it is too long or cannot be sent in a header field. */
static void
copy_id (const char *value, size_t size, char *out)
{
  out[0] = '\0';
  if (size >= WL_EVENT_ID_SIZE)
    return;
  for (size_t i = 0; i < size; i++)
    if ((unsigned char)value[i] < ' ' || value[i] == 0x7f)
      return;
  memcpy (out, value, size);
  out[size] = '\0';
}

/* Reads an id that is a whole number below 10^18. */
static int
read_number (const char *id, uint64_t *out)
{
  size_t n = strspn (id, "0123456789");
  if (n == 0 || n > 18 || id[n] != '\0')
    return 0;
  *out = strtoull (id, NULL, 10);
  return 1;
}

/* Whether an event with @id may be the first after a resumption. */
static int
follows_last_id (const WlEventStream *stream, const char *id)
{
  uint64_t number;
  if (strcmp (id, stream->last_id) == 0)
    return 0;
  if (stream->n_consecutive == 0 || !read_number (id, &number))
    return 1;
  if (stream->n_consecutive >= CONSECUTIVE_MIN && !stream->has_gaps)
    return number == stream->last_number + 1;
  return number > stream->last_number;
}

static void
keep_id (WlEventStream *stream, const char *id)
{
  uint64_t number;
  memcpy (stream->last_id, id, WL_EVENT_ID_SIZE);
  if (!read_number (id, &number))
    {
      stream->n_consecutive = 0;
      return;
    }
  int is_next = stream->n_consecutive > 0 && number == stream->last_number + 1;
  stream->has_gaps |= stream->n_consecutive > 0 && !is_next;
  stream->n_consecutive = is_next ? stream->n_consecutive + 1 : 1;
  stream->last_number = number;
}

/* Reads the lines of a complete event, without the blank line that ends it. */
static void
read_event (WlEventStream *stream, const char *text, uint32_t size)
{
  char id[WL_EVENT_ID_SIZE] = "";
  int has_id = 0;
  for (uint32_t start = 0; start < size;)
    {
      const char *newline = memchr (text + start, '\n', size - start);
      uint32_t newline_at = (uint32_t)(newline - text);
      uint32_t end
          = newline_at > start && text[newline_at - 1] == '\r' ? newline_at - 1 : newline_at;
      size_t value_size;
      const char *value = id_value (text + start, end - start, &value_size);
      if (value != NULL)
        {
          has_id = 1;
          copy_id (value, value_size, id);
        }
      start = newline_at + 1;
    }
  if (has_id)
    {
      stream->is_misplaced |= stream->is_resumed && !follows_last_id (stream, id);
      stream->is_resumed = 0;
      if (!stream->is_misplaced)
        keep_id (stream, id);
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
          if (stream->is_misplaced)
            return (WlBytes){ all.data, 0 };
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

int
wl_event_stream_can_resume (const WlEventStream *stream)
{
  return stream->last_id[0] != '\0';
}

void
wl_event_stream_discard_partial (WlEventStream *stream)
{
  stream->is_resumed = wl_event_stream_can_resume (stream);
  stream->is_misplaced = 0;
  wl_buffer_take (&stream->pending, wl_buffer_left (&stream->pending));
}

void
wl_event_stream_clear (WlEventStream *stream)
{
  wl_buffer_clear (&stream->pending);
}
