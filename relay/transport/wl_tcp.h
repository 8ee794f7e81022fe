#ifndef WL_TCP_H
#define WL_TCP_H

#include "wl_buffer.h"
#include "wl_reactor.h"

/*
 * Buffered TCP connections on the reactor. Writes of one iteration of the event
 * loop are sent together by wl_tcp_flush(). Every connection has
 * TCP_USER_TIMEOUT and keep-alive probes set, so that it ends when the other
 * end is unresponsive.
 */

enum
{
  WL_TCP_USER_TIMEOUT_MS = 3000, /* a connection ends when data is unacknowledged for so long */
  WL_TCP_PROBE_S = 2,            /* idle time before a keep-alive probe, and between probes */
  WL_TCP_LINGER_US = 1000000,    /* wait for the other end to close after the last byte sent */
};

typedef struct WlTcpLoop WlTcpLoop;
typedef struct WlTcp WlTcp;

/**
 * enum WlTcpEnd - how a connection ended
 * @WL_TCP_END_CLOSED: the other end closed its side
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
 * @ended: the connection has ended; the callback has to close it
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

/** wl_tcp_has_sent() - whether any byte was ever passed to the kernel */
int wl_tcp_has_sent (const WlTcp *tcp);

/** wl_tcp_pause() - pauses (1) or resumes (0) reading */
void wl_tcp_pause (WlTcp *tcp, int is_paused);

/** wl_tcp_close() - closes at once; accepts NULL. No handler is called afterwards */
void wl_tcp_close (WlTcp *tcp);

/** wl_tcp_reset() - closes with a reset; accepts NULL. No handler is called afterwards */
void wl_tcp_reset (WlTcp *tcp);

/**
 * wl_tcp_finish() - sends what is queued, then closes
 * @tcp: the connection; must not be used afterwards
 *
 * Reads and discards what still arrives until the other end closes or
 * WL_TCP_LINGER_US pass: closing with unread bytes would send a reset, which can
 * destroy the end of the response.
 */
void wl_tcp_finish (WlTcp *tcp);

/** wl_tcp_flush() - writes the bytes queued in this iteration, frees closed connections */
void wl_tcp_flush (WlTcpLoop *loop);

/** wl_tcp_tick() - runs timers: closes finished connections after WL_TCP_LINGER_US */
void wl_tcp_tick (WlTcpLoop *loop, uint64_t now_us);

#endif
