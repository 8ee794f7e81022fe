#ifndef WL_SOAK_CONN_H
#define WL_SOAK_CONN_H

#include "wl_buffer.h"
#include "wl_soak.h"

/* Non-blocking TCP connections; independent of relay/transport, which is under test. */

typedef struct WlSoakConn WlSoakConn;

/**
 * struct WlSoakConn - a connection or a listening socket
 * @fd: -1 while closed; the struct itself belongs to its user
 * @is_connecting: the connection is not established yet
 * @out: bytes that the kernel has not taken yet
 * @readable: called when bytes, the end, an error or a new connection can be read
 * @data: passed to @readable
 */
struct WlSoakConn
{
  int fd;
  WlWatch *watch;
  uint8_t is_connecting;
  uint8_t is_paused;
  WlBuffer out;
  void (*readable) (void *data, WlSoakConn *conn);
  void *data;
};

enum
{
  WL_SOAK_AGAIN = -1, /* nothing to read yet */
  WL_SOAK_RESET = -2, /* the connection has failed */
};

/** wl_soak_conn_listen() - returns 0 when the address, host byte order, is in use */
int wl_soak_conn_listen (WlSoakConn *conn, const WlSoak *soak, uint32_t ip, uint16_t port);

/** wl_soak_conn_accept() - accepts a connection of @listener into @conn, 0 when there is none */
int wl_soak_conn_accept (WlSoakConn *listener, const WlSoak *soak, WlSoakConn *conn);

/**
 * wl_soak_conn_connect() - begins to connect; a failure is read as a reset
 * @receive_bytes: size of the kernel's receive buffer, 0 for the usual one
 * @segment_bytes: largest segment, 0 for that of the loopback. The kernel queues few bytes for
 *                 a peer with the segments of a network, and some MB for one on the loopback.
 */
void wl_soak_conn_connect (WlSoakConn *conn, const WlSoak *soak, uint32_t ip, uint16_t port,
                           int receive_bytes, int segment_bytes);

/** wl_soak_conn_send() - hands bytes to the kernel now, or when it takes them */
void wl_soak_conn_send (WlSoakConn *conn, const void *data, size_t size);

/** wl_soak_conn_read() - bytes read, 0 at the end, WL_SOAK_AGAIN or WL_SOAK_RESET */
int wl_soak_conn_read (WlSoakConn *conn, void *data, size_t size);

/** wl_soak_conn_pause() - pauses (1) or resumes (0) reading */
void wl_soak_conn_pause (WlSoakConn *conn, int is_paused);

/** wl_soak_conn_close() - closes, with a reset if @is_reset; does nothing when closed */
void wl_soak_conn_close (WlSoakConn *conn, int is_reset);

#endif
