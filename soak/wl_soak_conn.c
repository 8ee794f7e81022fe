#include <errno.h>
#include <stdlib.h>
#include <unistd.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include "wl_soak_conn.h"

enum
{
  EVENTS_MAX = 256,
  BACKLOG = 256,
};

static int epoll_fd = -1;

void
wl_soak_loop_open (void)
{
  epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  if (epoll_fd < 0)
    abort ();
}

void
wl_soak_loop_close (void)
{
  close (epoll_fd);
}

static void
watch (WlSoakConn *conn, int operation)
{
  int has_output = conn->is_connecting || wl_buffer_left (&conn->out) > 0;
  uint32_t wanted = (has_output ? EPOLLOUT : 0u) | (conn->is_paused ? 0u : EPOLLIN);
  struct epoll_event event = { .events = wanted, .data.ptr = conn };
  if (operation == EPOLL_CTL_MOD && wanted == conn->watched)
    return;
  conn->watched = wanted;
  if (epoll_ctl (epoll_fd, operation, conn->fd, &event) != 0)
    abort ();
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

void
wl_soak_loop_wait (int timeout_ms)
{
  struct epoll_event events[EVENTS_MAX];
  int n = epoll_wait (epoll_fd, events, EVENTS_MAX, timeout_ms);
  for (int i = 0; i < n; i++)
    {
      WlSoakConn *conn = events[i].data.ptr;
      if (conn->fd < 0)
        continue;
      if (events[i].events & (EPOLLOUT | EPOLLERR | EPOLLHUP))
        {
          conn->is_connecting = 0;
          flush (conn);
          watch (conn, EPOLL_CTL_MOD);
        }
      if (events[i].events & (EPOLLIN | EPOLLERR | EPOLLHUP) && !conn->is_paused)
        conn->readable (conn->data, conn);
    }
}

struct sockaddr_in
wl_soak_address (uint32_t ip, uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (port),
                               .sin_addr = { htonl (ip) } };
}

int
wl_soak_conn_listen (WlSoakConn *conn, uint32_t ip, uint16_t port)
{
  struct sockaddr_in address = wl_soak_address (ip, port);
  int on = 1;
  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (conn->fd < 0)
    abort ();
  setsockopt (conn->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (conn->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (conn->fd, BACKLOG) != 0)
    {
      close (conn->fd);
      conn->fd = -1;
      return 0;
    }
  watch (conn, EPOLL_CTL_ADD);
  return 1;
}

int
wl_soak_conn_accept (WlSoakConn *listener, WlSoakConn *conn)
{
  int on = 1;
  int fd = accept4 (listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    return 0;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  conn->fd = fd;
  watch (conn, EPOLL_CTL_ADD);
  return 1;
}

void
wl_soak_conn_connect (WlSoakConn *conn, uint32_t ip, uint16_t port, int receive_bytes)
{
  struct sockaddr_in address = wl_soak_address (ip, port);
  int on = 1;
  conn->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (conn->fd < 0)
    abort ();
  setsockopt (conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (receive_bytes > 0)
    setsockopt (conn->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes, sizeof receive_bytes);
  /* A failure at once is reported like one later, by the event loop. */
  (void)connect (conn->fd, (struct sockaddr *)&address, sizeof address);
  conn->is_connecting = 1;
  conn->is_paused = 0;
  wl_buffer_clear (&conn->out);
  watch (conn, EPOLL_CTL_ADD);
}

void
wl_soak_conn_send (WlSoakConn *conn, const void *data, size_t size)
{
  if (conn->fd < 0)
    return;
  wl_buffer_append (&conn->out, (WlBytes){ data, (uint32_t)size });
  if (!conn->is_connecting)
    flush (conn);
  watch (conn, EPOLL_CTL_MOD);
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
  if (conn->fd >= 0)
    watch (conn, EPOLL_CTL_MOD);
}

void
wl_soak_conn_close (WlSoakConn *conn, int is_reset)
{
  struct linger linger = { .l_onoff = 1 };
  if (conn->fd < 0)
    return;
  if (is_reset)
    setsockopt (conn->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  close (conn->fd);
  conn->fd = -1;
  wl_buffer_clear (&conn->out);
}

uint64_t
wl_soak_random (uint64_t *state)
{
  /* splitmix64 */
  uint64_t z = *state += 0x9e3779b97f4a7c15;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
  z = (z ^ z >> 27) * 0x94d049bb133111eb;
  return z ^ z >> 31;
}

uint32_t
wl_soak_between (uint64_t *state, uint32_t low, uint32_t high)
{
  return low + (uint32_t)(wl_soak_random (state) % (high - low + 1));
}
