#ifndef WL_LOG_H
#define WL_LOG_H

#include <stdint.h>

/**
 * wl_log_open() - prepares logging to standard output through log4c
 * @node: node id that every line carries
 */
void wl_log_open (uint32_t node);

/**
 * wl_log_set_node() - sets the node id of later lines
 * @node: node id
 */
void wl_log_set_node (uint32_t node);

/**
 * wl_log_event() - writes one numbered event
 * @number: number from wl_events.h
 * @fields: key=value fields separated by blanks
 */
void wl_log_event (uint32_t number, const char *fields);

/**
 * wl_log_eventf() - writes one numbered event with formatted fields
 * @number: number from wl_events.h
 * @format: printf format of the fields
 */
void wl_log_eventf (uint32_t number, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/**
 * wl_log_flush() - writes the lines that have waited long enough, without blocking
 *
 * The reactor calls it before it waits.
 */
void wl_log_flush (void);

/**
 * wl_log_catch_faults() - logs WL1012 when the process ends by abort () or a fault, after the
 * lines that wait
 *
 * The process ends with the same status as without it.
 */
void wl_log_catch_faults (void);

enum
{
  WL_LOG_CLOSE_MS = 50, /* wait for a slow reader at the end; a stop has little time left then */
};

/**
 * wl_log_close() - writes what is left, the counts of lines left out included, and closes the log
 * @timeout_ms: longest wait for the reader between two blocks
 */
void wl_log_close (int timeout_ms);

#endif
