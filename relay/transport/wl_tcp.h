#ifndef WL_TCP_H
#define WL_TCP_H

#include "wl_buffer.h"
#include "wl_reactor.h"

/*
 * Buffered TCP connections on the reactor. Writes of one iteration of the event
 * loop are sent together by wl_tcp_flush(). Every connection has
 * TCP_USER_TIMEOUT and keep-alive probes set, so that it ends when the other
 * end is unresponsive. The kernel also counts the time in which the other end is
 * responsive but takes no bytes; accepted connections have longer, since their
 * callers may pause.
 */

enum
{
  WL_TCP_USER_TIMEOUT_MS = 3000,    /* a connection ends when data is unacknowledged for so long */
  WL_TCP_CALLER_TIMEOUT_MS = 15000, /* the same for an accepted connection */
  WL_TCP_PROBE_S = 2,               /* idle time before a keep-alive probe, and between probes */
  WL_TCP_LINGER_US = 1000000,       /* wait for the other end to close after it has all bytes */
  WL_TCP_LINGER_MAX_US = 15000000,  /* the same while the other end goes on sending */
  WL_TCP_SLOW_US = 15000000, /* time in which it has to take WL_TCP_SLOW_BYTES, or the rest */
  WL_TCP_SLOW_BYTES = 16384,
};

typedef struct WlTcpLoop WlTcpLoop;
typedef struct WlTcp WlTcp;

/**
 * enum WlTcpEnd - how a connection ended
 * @WL_TCP_END_CLOSED: the other end closed, or shut down its sending side and may
 *   still be receiving
 * @WL_TCP_END_FAILED: reset, timeout or failed connect
 */
typedef enum
{
  WL_TCP_END_CLOSED,
  WL_TCP_END_FAILED,
} WlTcpEnd;

/**
 * struct WlTcpHandlers - callbacks of a connection
 * @connected: an outgoing connection is established; may be NULL
 * @received: bytes have arrived
 * @ended: the connection has ended; the callback has to close it, or to finish it
 *   after WL_TCP_END_CLOSED
 * @drained: all queued bytes are in the send buffer of the kernel; may be NULL
 */
typedef struct
{
  void (*connected) (void *data);
  void (*received) (void *data, WlBytes bytes);
  void (*ended) (void *data, WlTcpEnd end);
  void (*drained) (void *data);
} WlTcpHandlers;

/** wl_tcp_loop_create() - creates the set of connections of a reactor; aborts when out of memory */
WlTcpLoop *wl_tcp_loop_create (WlReactor *reactor);

/** wl_tcp_loop_destroy() - closes all connections and listening sockets; accepts NULL */
void wl_tcp_loop_destroy (WlTcpLoop *loop);

/**
 * wl_tcp_listen() - accepts connections on a port
 * @loop: the loop
 * @address: IPv4 address, network byte order
 * @port: TCP port, 0 for any free one
 * @accepted: called with each new connection; has to set its handlers
 * @data: passed to @accepted
 *
 * Return: the port, 0 when it cannot be listened on.
 */
uint16_t wl_tcp_listen (WlTcpLoop *loop, uint32_t address, uint16_t port,
                        void (*accepted) (void *data, WlTcp *tcp), void *data);

/** wl_tcp_unlisten() - accepts the connections that wait on a port, then closes the port */
void wl_tcp_unlisten (WlTcpLoop *loop, uint16_t port);

/**
 * wl_tcp_connect() - starts to connect
 * @loop: the loop
 * @address: IPv4 address, network byte order
 * @port: TCP port
 * @handlers: callbacks; copied
 * @data: passed to the callbacks
 *
 * Return: the connection, or NULL when it cannot be started. Later failures go
 * to @handlers->ended.
 */
WlTcp *wl_tcp_connect (WlTcpLoop *loop, uint32_t address, uint16_t port,
                       const WlTcpHandlers *handlers, void *data);

/** wl_tcp_set_handlers() - sets the callbacks of an accepted connection */
void wl_tcp_set_handlers (WlTcp *tcp, const WlTcpHandlers *handlers, void *data);

/** wl_tcp_write() - queues a copy of bytes, without a limit; see wl_tcp_queued() */
void wl_tcp_write (WlTcp *tcp, WlBytes bytes);

/** wl_tcp_queued() - number of bytes not yet passed to the kernel */
size_t wl_tcp_queued (const WlTcp *tcp);

/** wl_tcp_has_input() - whether bytes, or the end of the connection, wait to be read */
int wl_tcp_has_input (const WlTcp *tcp);

/** wl_tcp_undelivered() - number of bytes that the other end has not acknowledged */
size_t wl_tcp_undelivered (const WlTcp *tcp);

/** wl_tcp_has_sent() - whether any byte was ever passed to the kernel */
int wl_tcp_has_sent (const WlTcp *tcp);

/**
 * wl_tcp_read_now() - passes on what has arrived, without waiting for the event loop
 *
 * Not to be called from the callbacks of a connection, whose bytes it overwrites.
 */
void wl_tcp_read_now (WlTcp *tcp);

/** wl_tcp_pause() - pauses (1) or resumes (0) reading */
void wl_tcp_pause (WlTcp *tcp, int is_paused);

/**
 * wl_tcp_close() - closes at once; accepts NULL. No handler is called afterwards
 *
 * Logs WL1107_RESPONSE_CUT when bytes for a caller are lost with it.
 */
void wl_tcp_close (WlTcp *tcp);

/** wl_tcp_reset() - closes with a reset; accepts NULL. No handler is called afterwards */
void wl_tcp_reset (WlTcp *tcp);

/**
 * wl_tcp_finish() - sends what is queued, then closes
 * @tcp: the connection; must not be used afterwards
 *
 * Reads and discards what still arrives until the other end closes, or until
 * WL_TCP_LINGER_US after it has acknowledged the last byte: closing with unread
 * bytes would send a reset, which can destroy the end of the response. The time
 * starts anew with each byte that arrives, up to WL_TCP_LINGER_MAX_US.
 *
 * A slow reader keeps its connection as long as it takes WL_TCP_SLOW_BYTES, or
 * what is left, in each WL_TCP_SLOW_US, also after it has shut down its sending
 * side. One that takes fewer loses the rest, and
 * so does one that is unresponsive for the user timeout of the kernel.
 */
void wl_tcp_finish (WlTcp *tcp);

/** wl_tcp_finishing() - number of connections after wl_tcp_finish() that are still open */
uint32_t wl_tcp_finishing (const WlTcpLoop *loop);

/** wl_tcp_finishing_queued() - bytes that those connections have not passed to the kernel */
uint64_t wl_tcp_finishing_queued (const WlTcpLoop *loop);

/** wl_tcp_flush() - writes the bytes queued in this iteration, frees closed connections */
void wl_tcp_flush (WlTcpLoop *loop);

/** wl_tcp_tick() - runs timers: closes finished connections, see wl_tcp_finish() */
void wl_tcp_tick (WlTcpLoop *loop, uint64_t now_us);

#endif
