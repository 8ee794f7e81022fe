#ifndef WL_LOG_SINK_H
#define WL_LOG_SINK_H

#include <stddef.h>
#include <stdint.h>

/*
 * Bounded output of log lines. Lines are collected and written whole, in
 * blocks that a pipe takes at once, and only when the reader has room: a
 * slow reader costs lines, never time. Each kind of event has a token
 * bucket, so that a flood of one kind leaves room for the others. What was
 * left out is counted by event.
 */

enum
{
  WL_LOG_SINK_BURST = 400,      /* lines of one event at once */
  WL_LOG_SINK_RATE = 200,       /* lines of one event a second; a node ends about 30 requests */
  WL_LOG_SINK_BYTES = 65536,    /* lines kept while the reader has no room */
  WL_LOG_SINK_DELAY_US = 20000, /* longest time that a line waits for others */
};

typedef struct WlLogSink WlLogSink;

/**
 * typedef WlLogLeftOutFunc - reports lines that were left out
 * @data: data of the caller
 * @event: number of the event
 * @count: lines left out since the last report
 */
typedef void (*WlLogLeftOutFunc) (void *data, uint32_t event, uint64_t count);

/**
 * wl_log_sink_create() - makes an empty sink
 * @fd: descriptor to write to, which stays open when the sink is destroyed
 */
WlLogSink *wl_log_sink_create (int fd);

/** wl_log_sink_destroy() - frees a sink; lines not yet written are lost. NULL is ignored */
void wl_log_sink_destroy (WlLogSink *sink);

/**
 * wl_log_sink_admit() - takes a token of an event
 * @sink: the sink
 * @event: number of the event
 * @now_us: monotonic time
 *
 * Return: 1 when a line may be added, 0 when it is left out and was counted.
 */
int wl_log_sink_admit (WlLogSink *sink, uint32_t event, uint64_t now_us);

/**
 * wl_log_sink_add() - adds a line
 * @sink: the sink
 * @event: number of its event
 * @line: the line with its line feed
 * @now_us: monotonic time
 *
 * A line without room is left out and counted.
 */
void wl_log_sink_add (WlLogSink *sink, uint32_t event, const char *line, uint64_t now_us);

/**
 * wl_log_sink_flush() - writes what the reader takes at once
 * @sink: the sink
 * @now_us: monotonic time; UINT64_MAX writes lines that may still wait
 *
 * Return: errno of a failed write, whose lines are dropped and counted as event 0, or 0.
 */
int wl_log_sink_flush (WlLogSink *sink, uint64_t now_us);

/**
 * wl_log_sink_abandon() - writes what waits and a last line, as far as the reader takes it at once
 * @sink: the sink, not used any more
 * @line: the line
 * @size: its size
 *
 * May be called in a signal handler.
 */
void wl_log_sink_abandon (WlLogSink *sink, const char *line, size_t size);

/**
 * wl_log_sink_drain() - writes all lines, for the end of the process
 * @sink: the sink
 * @timeout_ms: longest wait for the reader between two blocks
 *
 * Return: errno of a failed write, ETIMEDOUT when the reader has no room, or 0.
 */
int wl_log_sink_drain (WlLogSink *sink, int timeout_ms);

/**
 * wl_log_sink_left_out() - reports and clears the counts of lines left out
 * @sink: the sink
 * @report: called once for each event with such lines
 * @data: passed to @report
 */
void wl_log_sink_left_out (WlLogSink *sink, WlLogLeftOutFunc report, void *data);

#endif
