#ifndef WL_EVENT_STREAM_H
#define WL_EVENT_STREAM_H

#include "wl_buffer.h"

enum
{
  WL_EVENT_ID_SIZE = 64, /* bytes of an event id, with the terminating zero */
};

/**
 * struct WlEventStream - splits a text/event-stream body into complete events
 * @pending: bytes of an event that is not complete yet
 * @last_id: id of the last complete event; empty for none, and after one that cannot be
 *   sent in a header field
 * @n_events: complete events so far
 * @last_number: @last_id as a whole number, when @n_consecutive is not 0
 * @n_consecutive: events at the end whose ids are whole numbers, each one more than the last
 * @has_gaps: a number was not one more than the last: the next number is never known
 * @is_resumed: the next event with an id is the first of a resumed stream
 * @is_misplaced: a resumed stream did not continue after @last_id
 *
 * Format: WHATWG HTML, section 9.2 "Server-sent events". Only complete events
 * are passed on, byte for byte, so that a stream that breaks within an event can
 * be resumed from another server after the last complete one.
 */
typedef struct
{
  WlBuffer pending;
  char last_id[WL_EVENT_ID_SIZE];
  uint64_t n_events;
  uint64_t last_number;
  uint64_t n_consecutive;
  uint8_t has_gaps;
  uint8_t is_resumed;
  uint8_t is_misplaced;
} WlEventStream;

/**
 * wl_event_stream_feed() - adds received bytes
 * @stream: the stream
 * @bytes: bytes of the body
 *
 * Return: the complete events, owned by the stream; valid until it is used
 * again. The caller removes them with wl_event_stream_consume(). No events once
 * @is_misplaced is set: the first event of a resumed stream repeats @last_id or a
 * lower number, or leaves out numbers although the stream had two or more and left out none.
 */
WlBytes wl_event_stream_feed (WlEventStream *stream, WlBytes bytes);

/** wl_event_stream_consume() - removes the events that wl_event_stream_feed() returned */
void wl_event_stream_consume (WlEventStream *stream, WlBytes events);

/** wl_event_stream_can_resume() - whether events of another server can follow the last one */
int wl_event_stream_can_resume (const WlEventStream *stream);

/**
 * wl_event_stream_discard_partial() - discards an incomplete event, whose stream broke
 * @stream: the stream; the next event must follow @last_id, if there was any
 */
void wl_event_stream_discard_partial (WlEventStream *stream);

/** wl_event_stream_clear() - frees the memory of a stream */
void wl_event_stream_clear (WlEventStream *stream);

#endif
