#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "wl_log_sink.h"

enum
{
  EVENTS_MAX = 128, /* kinds of events told apart; further ones share the first bucket */
};

static const uint64_t SECOND_US = 1000000;

typedef struct
{
  uint32_t event;
  uint64_t tokens_us; /* SECOND_US for each line of WL_LOG_SINK_RATE */
  uint64_t filled_us;
  uint64_t left_out;
} Bucket;

struct WlLogSink
{
  int fd;
  uint32_t n_buckets;
  Bucket buckets[EVENTS_MAX];
  size_t size;
  uint64_t oldest_us; /* when the first waiting line was added */
  char bytes[WL_LOG_SINK_BYTES];
};

WlLogSink *
wl_log_sink_create (int fd)
{
  WlLogSink *sink = calloc (1, sizeof *sink);
  if (sink == NULL)
    abort ();
  sink->fd = fd;
  sink->n_buckets = 1;
  return sink;
}

void
wl_log_sink_destroy (WlLogSink *sink)
{
  free (sink);
}

static Bucket *
find_bucket (WlLogSink *sink, uint32_t event)
{
  for (uint32_t i = 0; i < sink->n_buckets; i++)
    if (sink->buckets[i].event == event)
      return &sink->buckets[i];
  if (sink->n_buckets == EVENTS_MAX)
    return &sink->buckets[0];
  Bucket *b = &sink->buckets[sink->n_buckets++];
  *b = (Bucket){ .event = event, .tokens_us = WL_LOG_SINK_BURST * SECOND_US };
  return b;
}

int
wl_log_sink_admit (WlLogSink *sink, uint32_t event, uint64_t now_us)
{
  Bucket *b = find_bucket (sink, event);
  uint64_t full = WL_LOG_SINK_BURST * SECOND_US;
  uint64_t since_us = now_us > b->filled_us ? now_us - b->filled_us : 0;
  if (since_us >= full / WL_LOG_SINK_RATE)
    b->tokens_us = full;
  else
    b->tokens_us += since_us * WL_LOG_SINK_RATE;
  if (b->tokens_us > full)
    b->tokens_us = full;
  b->filled_us = now_us;
  if (b->tokens_us < SECOND_US)
    {
      b->left_out++;
      return 0;
    }
  b->tokens_us -= SECOND_US;
  return 1;
}

void
wl_log_sink_add (WlLogSink *sink, uint32_t event, const char *line, uint64_t now_us)
{
  size_t n = strlen (line);
  if (n > WL_LOG_SINK_BYTES - sink->size)
    wl_log_sink_flush (sink, UINT64_MAX);
  if (n > WL_LOG_SINK_BYTES - sink->size)
    {
      find_bucket (sink, event)->left_out++;
      return;
    }
  if (sink->size == 0)
    sink->oldest_us = now_us;
  memcpy (sink->bytes + sink->size, line, n);
  sink->size += n;
}

/* Whole lines of at most PIPE_BUF bytes: a pipe that is ready for writing takes as much. */
static size_t
next_block (const WlLogSink *sink, size_t from)
{
  size_t n = sink->size - from < PIPE_BUF ? sink->size - from : PIPE_BUF;
  const char *end = memrchr (sink->bytes + from, '\n', n);
  return end != NULL ? (size_t)(end - (sink->bytes + from)) + 1 : n;
}

int
wl_log_sink_flush (WlLogSink *sink, uint64_t now_us)
{
  size_t done = 0;
  int error = 0;
  if (sink->size == 0 || (sink->size < PIPE_BUF && now_us < sink->oldest_us + WL_LOG_SINK_DELAY_US))
    return 0;
  while (done < sink->size && error == 0)
    {
      struct pollfd p = { .fd = sink->fd, .events = POLLOUT };
      if (poll (&p, 1, 0) <= 0)
        break;
      ssize_t n = write (sink->fd, sink->bytes + done, next_block (sink, done));
      if (n < 0 && (errno == EINTR || errno == EAGAIN))
        break;
      if (n < 0)
        error = errno;
      else
        done += (size_t)n;
    }
  if (error != 0)
    {
      for (size_t i = done; i < sink->size; i++)
        sink->buckets[0].left_out += sink->bytes[i] == '\n';
      done = sink->size;
    }
  memmove (sink->bytes, sink->bytes + done, sink->size - done);
  sink->size -= done;
  return error;
}

void
wl_log_sink_abandon (WlLogSink *sink, const char *line, size_t size)
{
  size_t done = 0;
  struct pollfd p = { .fd = sink->fd, .events = POLLOUT };
  if (size <= WL_LOG_SINK_BYTES - sink->size)
    {
      memcpy (sink->bytes + sink->size, line, size);
      sink->size += size;
    }
  while (done < sink->size && poll (&p, 1, 0) > 0)
    {
      size_t left = sink->size - done;
      ssize_t n = write (sink->fd, sink->bytes + done, left < PIPE_BUF ? left : PIPE_BUF);
      if (n <= 0)
        return;
      done += (size_t)n;
    }
}

int
wl_log_sink_drain (WlLogSink *sink, int timeout_ms)
{
  int error = 0;
  while (sink->size > 0 && error == 0)
    {
      struct pollfd p = { .fd = sink->fd, .events = POLLOUT };
      int n = poll (&p, 1, timeout_ms);
      if (n == 0)
        error = ETIMEDOUT;
      else if (n < 0 && errno != EINTR)
        error = errno;
      else if (n > 0)
        error = wl_log_sink_flush (sink, UINT64_MAX);
    }
  return error;
}

void
wl_log_sink_left_out (WlLogSink *sink, WlLogLeftOutFunc report, void *data)
{
  for (uint32_t i = 0; i < sink->n_buckets; i++)
    {
      uint64_t count = sink->buckets[i].left_out;
      sink->buckets[i].left_out = 0;
      if (count > 0)
        report (data, sink->buckets[i].event, count);
    }
}
