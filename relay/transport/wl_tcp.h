#ifndef WL_TCP_H
#define WL_TCP_H

#include "wl_buffer.h"
#include "wl_reactor.h"

/*
 * Buffered TCP connections on the reactor. Writes of one turn of the event
 * loop are sent together by wl_tcp_flush (). Every socket has TCP_USER_TIMEOUT
 * and keep-alive probes, so that a connection that went silent ends.
 */

enum
{
  WL_TCP_USER_TIMEOUT_MS = 3000, /* unacknowledged data ends the connection */
  WL_TCP_PROBE_S = 2,            /* quiet time before a keep-alive probe, and between probes */
  WL_TCP_LINGER_US = 1000000,    /* longest wait for the other end to close after our last byte */
};

typedef struct WlTcpLoop WlTcpLoop;
typedef struct WlTcp WlTcp;

/**
 * enum WlTcpEnd - how a connection ended
 * @WL_TCP_END_CLOSED: the other end closed its side in order
 * @WL_TCP_END_FAILED: reset, timeout or failed connect
 */
typedef enum
{
  WL_TCP_END_CLOSED,
  WL_TCP_END_FAILED,
} WlTcpEnd;

/**
 * struct WlTcpHandlers - functions called for a connection
 * @connected: an outgoing connection is established; may be NULL
 * @received: bytes arrived
 * @ended: the connection ended; it must be closed by the handler's owner
 * @drained: everything queued was handed to the system; may be NULL
 */
typedef struct
{
  void (*connected) (void *data);
  void (*received) (void *data, WlBytes bytes);
  void (*ended) (void *data, WlTcpEnd end);
  void (*drained) (void *data);
} WlTcpHandlers;

/** wl_tcp_loop_create() - creates the set of connections of one reactor */
WlTcpLoop *wl_tcp_loop_create (WlReactor *reactor);

/** wl_tcp_loop_destroy() - closes all connections and listeners; accepts NULL */
void wl_tcp_loop_destroy (WlTcpLoop *loop);

/**
 * wl_tcp_listen() - accepts connections
 * @loop: the loop
 * @address: IPv4 number, network byte order
 * @port: port, 0 for any free one
 * @accepted: called with each new connection, which has no handlers yet
 * @data: passed to @accepted
 *
 * Return: the port, 0 when it cannot be listened on.
 */
uint16_t wl_tcp_listen (WlTcpLoop *loop, uint32_t address, uint16_t port,
                        void (*accepted) (void *data, WlTcp *tcp), void *data);

/**
 * wl_tcp_connect() - begins a connection
 * @loop: the loop
 * @address: IPv4 number, network byte order
 * @port: port
 * @handlers: functions
 * @data: passed to the functions
 *
 * Return: the connection, or NULL when no socket can be had.
 */
WlTcp *wl_tcp_connect (WlTcpLoop *loop, uint32_t address, uint16_t port,
                       const WlTcpHandlers *handlers, void *data);

/** wl_tcp_set_handlers() - sets the functions of an accepted connection */
void wl_tcp_set_handlers (WlTcp *tcp, const WlTcpHandlers *handlers, void *data);

/** wl_tcp_write() - queues bytes */
void wl_tcp_write (WlTcp *tcp, WlBytes bytes);

/** wl_tcp_queued() - number of bytes not yet handed to the system */
size_t wl_tcp_queued (const WlTcp *tcp);

/** wl_tcp_has_sent() - whether any byte was handed to the system */
int wl_tcp_has_sent (const WlTcp *tcp);

/** wl_tcp_pause() - stops (1) or resumes (0) reading */
void wl_tcp_pause (WlTcp *tcp, int is_paused);

/** wl_tcp_close() - closes at once; accepts NULL. No handler is called afterwards */
void wl_tcp_close (WlTcp *tcp);

/** wl_tcp_reset() - closes with a reset; accepts NULL. No handler is called afterwards */
void wl_tcp_reset (WlTcp *tcp);

/**
 * wl_tcp_finish() - sends what is queued, then closes
 * @tcp: the connection; must not be used afterwards
 *
 * Reads and drops what still arrives until the other end closes, so that the
 * last answer is not lost to a reset.
 */
void wl_tcp_finish (WlTcp *tcp);

/** wl_tcp_flush() - writes what this turn of the loop has queued, frees closed connections */
void wl_tcp_flush (WlTcpLoop *loop);

/** wl_tcp_tick() - ends lingering connections */
void wl_tcp_tick (WlTcpLoop *loop, uint64_t now_us);

#endif
