#ifndef WL_SOAK_CONN_H
#define WL_SOAK_CONN_H

#include <netinet/in.h>
#include "wl_buffer.h"

/*
 * Non-blocking TCP connections on one epoll set, and the random numbers of a
 * run. Independent of relay/transport, which is under test.
 */

typedef struct WlSoakConn WlSoakConn;

typedef void (*WlSoakReadable) (void *data, WlSoakConn *conn);

/**
 * struct WlSoakConn - a connection or a listening socket
 * @fd: -1 while closed; the struct itself belongs to its user
 * @is_connecting: the connection is not established yet
 * @is_paused: nothing is read
 * @out: bytes that the kernel has not taken yet
 * @readable: called when bytes, the end, an error or a new connection can be read
 * @data: passed to @readable
 */
struct WlSoakConn
{
  int fd;
  uint8_t is_connecting;
  uint8_t is_paused;
  uint32_t watched;
  WlBuffer out;
  WlSoakReadable readable;
  void *data;
};

enum
{
  WL_SOAK_AGAIN = -1, /* nothing to read yet */
  WL_SOAK_RESET = -2, /* the connection has failed */
};

void wl_soak_loop_open (void);
void wl_soak_loop_close (void);

/** wl_soak_loop_wait() - calls @readable where something can be read; waits @timeout_ms at most */
void wl_soak_loop_wait (int timeout_ms);

/** wl_soak_address() - an IPv4 address and port, host byte order */
struct sockaddr_in wl_soak_address (uint32_t ip, uint16_t port);

/** wl_soak_conn_listen() - returns 0 when the address is in use */
int wl_soak_conn_listen (WlSoakConn *conn, uint32_t ip, uint16_t port);

/** wl_soak_conn_accept() - accepts a connection of @listener into @conn, 0 when there is none */
int wl_soak_conn_accept (WlSoakConn *listener, WlSoakConn *conn);

/**
 * wl_soak_conn_connect() - begins to connect
 * @receive_bytes: size of the kernel's receive buffer, 0 for the usual one
 *
 * A failure is reported to @readable like a reset.
 */
void wl_soak_conn_connect (WlSoakConn *conn, uint32_t ip, uint16_t port, int receive_bytes);

/** wl_soak_conn_send() - hands bytes to the kernel now, or when it takes them */
void wl_soak_conn_send (WlSoakConn *conn, const void *data, size_t size);

/** wl_soak_conn_read() - bytes read, 0 at the end, WL_SOAK_AGAIN or WL_SOAK_RESET */
int wl_soak_conn_read (WlSoakConn *conn, void *data, size_t size);

void wl_soak_conn_pause (WlSoakConn *conn, int is_paused);

/** wl_soak_conn_close() - closes, with a reset if @is_reset; does nothing when closed */
void wl_soak_conn_close (WlSoakConn *conn, int is_reset);

/** wl_soak_random() - next number of a sequence that @state alone determines */
uint64_t wl_soak_random (uint64_t *state);

/** wl_soak_between() - a number from @low to @high, both included */
uint32_t wl_soak_between (uint64_t *state, uint32_t low, uint32_t high);

#endif
