#include <errno.h>
#include <stdlib.h>
#include <unistd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include "wl_soak_conn.h"

enum
{
  BACKLOG = 256,
};

static void
update_watch (WlSoakConn *conn)
{
  int has_output = conn->is_connecting || wl_buffer_left (&conn->out) > 0;
  wl_reactor_modify (conn->watch,
                     (has_output ? WL_WRITABLE : 0) | (conn->is_paused ? 0 : WL_READABLE));
}

/* What the kernel refuses is reported by the next read. */
static void
flush (WlSoakConn *conn)
{
  WlBytes left = wl_buffer_bytes (&conn->out);
  ssize_t n = left.size > 0 ? send (conn->fd, left.data, left.size, MSG_NOSIGNAL) : 0;
  if (n > 0)
    wl_buffer_take (&conn->out, (size_t)n);
  else if (n < 0 && errno != EAGAIN)
    wl_buffer_clear (&conn->out);
}

static void
on_ready (void *data, int ready)
{
  WlSoakConn *conn = data;
  if (ready & WL_WRITABLE)
    {
      conn->is_connecting = 0;
      flush (conn);
      update_watch (conn);
    }
  if (ready & WL_READABLE && !conn->is_paused)
    conn->readable (conn->data, conn);
}

static void
open_conn (WlSoakConn *conn, const WlSoak *soak, int fd)
{
  int on = 1;
  conn->fd = fd;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  conn->watch = wl_reactor_add (soak->reactor, fd, WL_READABLE, on_ready, conn);
  if (conn->watch == NULL)
    abort ();
}

static int
new_socket (void)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    abort ();
  return fd;
}

static struct sockaddr_in
socket_address (uint32_t ip, uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr = { htonl (ip) } };
}

int
wl_soak_conn_listen (WlSoakConn *conn, const WlSoak *soak, uint32_t ip, uint16_t port)
{
  struct sockaddr_in address = socket_address (ip, port);
  int fd = new_socket ();
  int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0 || listen (fd, BACKLOG) != 0)
    {
      close (fd);
      return 0;
    }
  open_conn (conn, soak, fd);
  return 1;
}

int
wl_soak_conn_accept (WlSoakConn *listener, const WlSoak *soak, WlSoakConn *conn)
{
  int fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return 0;
  open_conn (conn, soak, fd);
  return 1;
}

void
wl_soak_conn_connect (WlSoakConn *conn, const WlSoak *soak, uint32_t ip, uint16_t port,
                      int receive_bytes, int segment_bytes)
{
  struct sockaddr_in address = socket_address (ip, port);
  int fd = new_socket ();
  if (receive_bytes > 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  if (segment_bytes > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
  /* A failure at once is reported like one later, by the event loop. */
  (void)connect (fd, (struct sockaddr *)&address, sizeof address);
  conn->is_connecting = 1;
  conn->is_paused = 0;
  open_conn (conn, soak, fd);
  update_watch (conn);
}

void
wl_soak_conn_send (WlSoakConn *conn, const void *data, size_t size)
{
  if (conn->fd < 0)
    return;
  wl_buffer_append (&conn->out, (WlBytes){ data, (uint32_t)size });
  if (!conn->is_connecting)
    flush (conn);
  update_watch (conn);
}

int
wl_soak_conn_read (WlSoakConn *conn, void *data, size_t size)
{
  ssize_t n = recv (conn->fd, data, size, 0);
  if (n >= 0)
    return (int)n;
  return errno == EAGAIN || errno == EINTR ? WL_SOAK_AGAIN : WL_SOAK_RESET;
}

void
wl_soak_conn_pause (WlSoakConn *conn, int is_paused)
{
  conn->is_paused = (uint8_t)is_paused;
  update_watch (conn);
}

void
wl_soak_conn_close (WlSoakConn *conn, int is_reset)
{
  struct linger linger = { .l_onoff = 1 };
  if (conn->fd < 0)
    return;
  if (is_reset)
    setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  wl_reactor_remove (conn->watch);
  close (conn->fd);
  conn->fd = -1;
  wl_buffer_clear (&conn->out);
}
