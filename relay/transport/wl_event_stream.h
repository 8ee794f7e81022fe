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
 * @last_id: id of the last complete event, empty for none
 * @n_events: complete events so far
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
} WlEventStream;

/**
 * wl_event_stream_feed() - adds received bytes
 * @stream: the stream
 * @bytes: bytes of the body
 *
 * Return: the complete events, owned by the stream; valid until it is used
 * again. The caller removes them with wl_event_stream_consume().
 */
WlBytes wl_event_stream_feed (WlEventStream *stream, WlBytes bytes);

/** wl_event_stream_consume() - removes the events that wl_event_stream_feed() returned */
void wl_event_stream_consume (WlEventStream *stream, WlBytes events);

/** wl_event_stream_discard_partial() - discards an incomplete event, whose stream broke */
void wl_event_stream_discard_partial (WlEventStream *stream);

/** wl_event_stream_clear() - frees the memory of a stream */
void wl_event_stream_clear (WlEventStream *stream);

#endif
