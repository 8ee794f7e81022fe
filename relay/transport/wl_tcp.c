#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <netinet/in.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_tcp.h"

enum
{
  READ_BYTES = 65536,
  BACKLOG = 512,           /* connections that wait to be accepted */
  ACCEPTS_MAX = 64,        /* connections accepted in one iteration of the event loop */
  ACCEPT_PAUSE_US = 50000, /* after an accept that failed: the connection goes on waiting */
  DISCARDS_MAX = 16,       /* reads of input that is discarded before a close */
  PROBES_MAX = 2,          /* unanswered keep-alive probes before the connection ends */
};

typedef struct Listener
{
  WlTcpLoop *loop;
  int fd;
  uint16_t port;
  WlWatch *watch;
  uint64_t resume_us; /* end of a pause, 0 for none */
  void (*accepted) (void *data, WlTcp *tcp);
  void *data;
  struct Listener *next;
} Listener;

struct WlTcp
{
  WlTcpLoop *loop;
  int fd;
  WlWatch *watch;
  WlTcpHandlers handlers;
  void *data;
  WlBuffer out;
  const char *end_reason;   /* why the connection is closed, for the log */
  uint64_t linger_until_us; /* end of the wait for the other end to close, 0 before it begins */
  uint64_t linger_limit_us; /* latest value of linger_until_us */
  uint64_t slow_since_us;   /* when slow_from_bytes were undelivered */
  size_t slow_from_bytes;
  uint8_t is_finishing;
  uint8_t is_accepted;
  uint8_t is_connecting;
  uint8_t has_sent;
  uint8_t is_paused;
  uint8_t is_dirty; /* in the list of connections to be flushed */
  uint8_t is_closed;
  uint8_t has_shutdown;      /* the sending side is shut down */
  uint8_t has_failed;        /* reset or timed out */
  uint8_t has_peer_shutdown; /* the other end's is, and all that it sent has been read */
  uint8_t wants_write;
  WlTcp *next;
  WlTcp *previous;
  WlTcp *next_dirty;
};

struct WlTcpLoop
{
  WlReactor *reactor;
  Listener *listeners;
  WlTcp *open;
  WlTcp *closed; /* freed by the next flush */
  WlTcp *dirty;
};

WlTcpLoop *
wl_tcp_loop_create (WlReactor *reactor)
{
  WlTcpLoop *loop = calloc (1, sizeof *loop);
  if (loop == NULL)
    abort ();
  loop->reactor = reactor;
  return loop;
}

static void
free_closed (WlTcpLoop *loop)
{
  while (loop->closed != NULL)
    {
      WlTcp *tcp = loop->closed;
      loop->closed = tcp->next;
      wl_buffer_clear (&tcp->out);
      free (tcp);
    }
}

/* Bytes in one of the kernel's queues of a connection; 0 when the kernel does not say. */
static size_t
kernel_queue_bytes (const WlTcp *tcp, unsigned long request)
{
  int n = 0;
  return ioctl (tcp->fd, request, &n) == 0 && n > 0 ? (size_t)n : 0;
}

size_t
wl_tcp_undelivered (const WlTcp *tcp)
{
  size_t in_kernel = kernel_queue_bytes (tcp, SIOCOUTQ);
  if (tcp->has_shutdown && in_kernel > 0)
    in_kernel--; /* the FIN */
  return wl_buffer_left (&tcp->out) + in_kernel;
}

/*
 * Logs what is lost with a caller's connection that is about to be closed, if
 * anything is. The kernel sends on what it holds, unless the connection has
 * failed or has unread bytes.
 */
static void
log_cut (const WlTcp *tcp)
{
  if (!tcp->is_accepted)
    return;
  size_t unsent = wl_buffer_left (&tcp->out);
  size_t unacknowledged = wl_tcp_undelivered (tcp) - unsent;
  size_t unread = unacknowledged > 0 ? kernel_queue_bytes (tcp, FIONREAD) : 0;
  if (unsent > 0 || (unacknowledged > 0 && (unread > 0 || tcp->has_failed)))
    wl_log_eventf (WL1107_RESPONSE_CUT, "reason=%s unsent=%zu unacknowledged=%zu unread=%zu",
                   tcp->end_reason, unsent, unacknowledged, unread);
}

static void
close_listener (Listener *l)
{
  wl_reactor_remove (l->watch);
  close (l->fd);
  free (l);
}

void
wl_tcp_loop_destroy (WlTcpLoop *loop)
{
  if (loop == NULL)
    return;
  while (loop->open != NULL)
    wl_tcp_close (loop->open);
  free_closed (loop);
  while (loop->listeners != NULL)
    {
      Listener *l = loop->listeners;
      loop->listeners = l->next;
      close_listener (l);
    }
  free (loop);
}

static void
set_socket_options (int fd, unsigned timeout_ms)
{
  int on = 1;
  int probe_s = WL_TCP_PROBE_S;
  int probes = PROBES_MAX;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &probe_s, sizeof probe_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_s, sizeof probe_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof timeout_ms);
}

static void
update_watch (WlTcp *tcp)
{
  int events = tcp->is_paused || tcp->has_peer_shutdown || tcp->is_connecting ? 0 : WL_READABLE;
  if (tcp->wants_write)
    events |= WL_WRITABLE;
  wl_reactor_modify (tcp->watch, events);
}

static void
mark_dirty (WlTcp *tcp)
{
  if (tcp->is_dirty || tcp->is_closed)
    return;
  tcp->is_dirty = 1;
  tcp->next_dirty = tcp->loop->dirty;
  tcp->loop->dirty = tcp;
}

static void
end_connection (WlTcp *tcp, WlTcpEnd end)
{
  if (end == WL_TCP_END_FAILED)
    {
      tcp->has_failed = 1;
      tcp->end_reason = "failed";
    }
  if (!tcp->is_finishing && tcp->handlers.ended != NULL)
    tcp->handlers.ended (tcp->data, end);
  else
    wl_tcp_close (tcp);
}

/* Ends the sending side of a finishing connection once its bytes are with the kernel. */
static void
shutdown_when_drained (WlTcp *tcp)
{
  if (!tcp->is_finishing || wl_buffer_left (&tcp->out) > 0)
    return;
  if (tcp->has_peer_shutdown)
    {
      wl_tcp_close (tcp); /* nothing is unread: the kernel goes on sending */
      return;
    }
  if (!tcp->has_shutdown)
    shutdown (tcp->fd, SHUT_WR);
  tcp->has_shutdown = 1;
}

/* The other end has shut down its sending side, which need not mean that it has left. */
static void
end_reading (WlTcp *tcp)
{
  tcp->has_peer_shutdown = 1;
  if (tcp->is_finishing)
    shutdown_when_drained (tcp);
  else
    end_connection (tcp, WL_TCP_END_CLOSED);
  if (!tcp->is_closed)
    update_watch (tcp);
}

/* The other end is still sending, and would be reset by a close. */
static void
extend_linger (WlTcp *tcp)
{
  if (tcp->linger_until_us == 0)
    return;
  uint64_t until_us = wl_clock_now_us () + WL_TCP_LINGER_US;
  tcp->linger_until_us = until_us < tcp->linger_limit_us ? until_us : tcp->linger_limit_us;
}

static void
read_socket (WlTcp *tcp)
{
  static uint8_t chunk[READ_BYTES];
  ssize_t n = recv (tcp->fd, chunk, sizeof chunk, 0);
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return;
  if (n < 0)
    end_connection (tcp, WL_TCP_END_FAILED);
  if (n == 0)
    end_reading (tcp);
  if (n <= 0)
    return;
  if (tcp->is_finishing)
    extend_linger (tcp);
  else
    tcp->handlers.received (tcp->data, (WlBytes){ chunk, (uint32_t)n });
}

/* An endpoint may have sent its response, and closed, before it had read the whole request. */
static void
end_failed_write (WlTcp *tcp)
{
  while (!tcp->is_accepted && !tcp->is_closed && !tcp->has_peer_shutdown
         && kernel_queue_bytes (tcp, FIONREAD) > 0)
    read_socket (tcp);
  if (!tcp->is_closed)
    end_connection (tcp, WL_TCP_END_FAILED);
}

static void
write_queued (WlTcp *tcp)
{
  int had_bytes = wl_buffer_left (&tcp->out) > 0;
  while (!tcp->is_closed && !tcp->is_connecting && wl_buffer_left (&tcp->out) > 0)
    {
      WlBytes bytes = wl_buffer_bytes (&tcp->out);
      ssize_t n = send (tcp->fd, bytes.data, bytes.size, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        break;
      if (n < 0)
        {
          end_failed_write (tcp);
          return;
        }
      tcp->has_sent = 1;
      wl_buffer_take (&tcp->out, (size_t)n);
    }
  if (tcp->is_closed)
    return;
  uint8_t wants_write = tcp->is_connecting || wl_buffer_left (&tcp->out) > 0;
  tcp->wants_write = wants_write;
  update_watch (tcp);
  shutdown_when_drained (tcp);
  if (had_bytes && !wants_write && !tcp->is_closed && tcp->handlers.drained != NULL)
    tcp->handlers.drained (tcp->data);
}

static int
can_read (const WlTcp *tcp)
{
  return !tcp->is_closed && !tcp->is_connecting && !tcp->has_peer_shutdown;
}

void
wl_tcp_read_now (WlTcp *tcp)
{
  if (can_read (tcp) && !tcp->is_paused)
    read_socket (tcp);
}

static void
finish_connect (WlTcp *tcp)
{
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt (tcp->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    {
      end_connection (tcp, WL_TCP_END_FAILED);
      return;
    }
  tcp->is_connecting = 0;
  if (tcp->handlers.connected != NULL)
    tcp->handlers.connected (tcp->data);
  mark_dirty (tcp);
}

static void
on_ready (void *data, int ready)
{
  WlTcp *tcp = data;
  if (tcp->is_connecting && (ready & WL_WRITABLE))
    finish_connect (tcp);
  else if ((ready & WL_WRITABLE) && !tcp->is_closed)
    write_queued (tcp);
  if ((ready & WL_READABLE) && can_read (tcp))
    read_socket (tcp);
}

static WlTcp *
add_connection (WlTcpLoop *loop, int fd, int is_connecting)
{
  WlTcp *tcp = calloc (1, sizeof *tcp);
  if (tcp == NULL)
    abort ();
  tcp->loop = loop;
  tcp->fd = fd;
  tcp->end_reason = "exit";
  tcp->is_connecting = (uint8_t)is_connecting;
  tcp->wants_write = tcp->is_connecting;
  tcp->watch = wl_reactor_add (loop->reactor, fd, is_connecting ? WL_WRITABLE : WL_READABLE,
                               on_ready, tcp);
  if (tcp->watch == NULL)
    {
      close (fd);
      free (tcp);
      return NULL;
    }
  tcp->next = loop->open;
  if (loop->open != NULL)
    loop->open->previous = tcp;
  loop->open = tcp;
  return tcp;
}

/* Accepts up to ACCEPTS_MAX connections; returns whether more may be waiting. */
static int
accept_waiting (Listener *l)
{
  for (int i = 0; i < ACCEPTS_MAX; i++)
    {
      int fd = accept4 (l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0 && (errno == ECONNABORTED || errno == EINTR))
        continue; /* concerns one connection, or none */
      if (fd < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        {
          wl_log_eventf (WL1105_ACCEPT_FAILED, "errno=%d", errno);
          wl_reactor_modify (l->watch, 0);
          l->resume_us = wl_clock_now_us () + ACCEPT_PAUSE_US;
        }
      if (fd < 0)
        return 0;
      set_socket_options (fd, WL_TCP_CALLER_TIMEOUT_MS);
      WlTcp *tcp = add_connection (l->loop, fd, 0);
      if (tcp == NULL)
        continue;
      tcp->is_accepted = 1;
      l->accepted (l->data, tcp);
    }
  return 1;
}

static void
on_accept (void *data, int ready)
{
  (void)ready;
  accept_waiting (data);
}

uint16_t
wl_tcp_listen (WlTcpLoop *loop, uint32_t address, uint16_t port,
               void (*accepted) (void *data, WlTcp *tcp), void *data)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  socklen_t size = sizeof sa;
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return 0;
  sa.sin_addr.s_addr = address;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0 || listen (fd, BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&sa, &size) != 0)
    {
      close (fd);
      return 0;
    }
  Listener *l = calloc (1, sizeof *l);
  if (l == NULL)
    abort ();
  l->loop = loop;
  l->fd = fd;
  l->port = ntohs (sa.sin_port);
  l->accepted = accepted;
  l->data = data;
  l->watch = wl_reactor_add (loop->reactor, fd, WL_READABLE, on_accept, l);
  l->next = loop->listeners;
  loop->listeners = l;
  return l->port;
}

void
wl_tcp_unlisten (WlTcpLoop *loop, uint16_t port)
{
  for (Listener **slot = &loop->listeners; *slot != NULL; slot = &(*slot)->next)
    {
      Listener *l = *slot;
      if (l->port != port)
        continue;
      for (int i = 0; i <= BACKLOG / ACCEPTS_MAX && accept_waiting (l); i++)
        ;
      *slot = l->next;
      close_listener (l);
      return;
    }
}

WlTcp *
wl_tcp_connect (WlTcpLoop *loop, uint32_t address, uint16_t port, const WlTcpHandlers *handlers,
                void *data)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  sa.sin_addr.s_addr = address;
  set_socket_options (fd, WL_TCP_USER_TIMEOUT_MS);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) != 0 && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  WlTcp *tcp = add_connection (loop, fd, 1);
  if (tcp != NULL)
    wl_tcp_set_handlers (tcp, handlers, data);
  return tcp;
}

void
wl_tcp_set_handlers (WlTcp *tcp, const WlTcpHandlers *handlers, void *data)
{
  tcp->handlers = *handlers;
  tcp->data = data;
}

void
wl_tcp_write (WlTcp *tcp, WlBytes bytes)
{
  wl_buffer_append (&tcp->out, bytes);
  if (!tcp->is_connecting)
    mark_dirty (tcp);
}

size_t
wl_tcp_queued (const WlTcp *tcp)
{
  return wl_buffer_left (&tcp->out);
}

int
wl_tcp_has_input (const WlTcp *tcp)
{
  uint8_t byte;
  ssize_t n = recv (tcp->fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

int
wl_tcp_has_sent (const WlTcp *tcp)
{
  return tcp->has_sent;
}

void
wl_tcp_pause (WlTcp *tcp, int is_paused)
{
  if (tcp->is_paused == is_paused || tcp->is_closed)
    return;
  tcp->is_paused = (uint8_t)is_paused;
  if (!tcp->is_connecting)
    update_watch (tcp);
}

/* Closing with unread bytes would reset the connection, and the kernel drop what it still sends. */
static void
discard_unread (WlTcp *tcp)
{
  static uint8_t chunk[READ_BYTES];
  if (!tcp->is_accepted || tcp->has_peer_shutdown || wl_tcp_undelivered (tcp) == 0)
    return;
  for (int i = 0; i < DISCARDS_MAX && recv (tcp->fd, chunk, sizeof chunk, 0) > 0; i++)
    ;
}

void
wl_tcp_close (WlTcp *tcp)
{
  if (tcp == NULL || tcp->is_closed)
    return;
  discard_unread (tcp);
  log_cut (tcp);
  tcp->is_closed = 1;
  wl_reactor_remove (tcp->watch);
  close (tcp->fd);
  if (tcp->previous != NULL)
    tcp->previous->next = tcp->next;
  else
    tcp->loop->open = tcp->next;
  if (tcp->next != NULL)
    tcp->next->previous = tcp->previous;
  tcp->next = tcp->loop->closed;
  tcp->loop->closed = tcp;
}

void
wl_tcp_reset (WlTcp *tcp)
{
  struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };
  if (tcp == NULL || tcp->is_closed)
    return;
  setsockopt (tcp->fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  wl_tcp_close (tcp);
}

void
wl_tcp_finish (WlTcp *tcp)
{
  if (tcp->is_closed)
    return;
  tcp->is_finishing = 1;
  tcp->slow_from_bytes = SIZE_MAX;
  tcp->handlers.drained = NULL;
  wl_tcp_pause (tcp, 0);
  shutdown_when_drained (tcp);
  mark_dirty (tcp);
}

uint32_t
wl_tcp_finishing (const WlTcpLoop *loop)
{
  uint32_t n = 0;
  for (const WlTcp *tcp = loop->open; tcp != NULL; tcp = tcp->next)
    n += tcp->is_finishing;
  return n;
}

uint64_t
wl_tcp_finishing_queued (const WlTcpLoop *loop)
{
  uint64_t bytes = 0;
  for (const WlTcp *tcp = loop->open; tcp != NULL; tcp = tcp->next)
    bytes += tcp->is_finishing ? wl_tcp_queued (tcp) : 0;
  return bytes;
}

void
wl_tcp_flush (WlTcpLoop *loop)
{
  while (loop->dirty != NULL)
    {
      WlTcp *tcp = loop->dirty;
      loop->dirty = tcp->next_dirty;
      tcp->is_dirty = 0;
      if (!tcp->is_closed)
        write_queued (tcp);
    }
  free_closed (loop);
}

/* Whether the time of a finishing connection has passed. */
static int
must_end (WlTcp *tcp, uint64_t now_us)
{
  size_t left = wl_tcp_undelivered (tcp);
  if (left == 0)
    {
      if (tcp->linger_until_us == 0)
        {
          tcp->linger_until_us = now_us + WL_TCP_LINGER_US;
          tcp->linger_limit_us = now_us + WL_TCP_LINGER_MAX_US;
        }
      return now_us > tcp->linger_until_us;
    }
  if (tcp->slow_from_bytes >= left + WL_TCP_SLOW_BYTES)
    {
      tcp->slow_from_bytes = left;
      tcp->slow_since_us = now_us;
    }
  if (now_us <= tcp->slow_since_us + WL_TCP_SLOW_US)
    return 0;
  tcp->end_reason = "slow";
  return 1;
}

void
wl_tcp_tick (WlTcpLoop *loop, uint64_t now_us)
{
  for (Listener *l = loop->listeners; l != NULL; l = l->next)
    if (l->resume_us != 0 && now_us >= l->resume_us)
      {
        l->resume_us = 0;
        wl_reactor_modify (l->watch, WL_READABLE);
      }
  for (WlTcp *tcp = loop->open; tcp != NULL;)
    {
      WlTcp *next = tcp->next;
      if (tcp->is_finishing && must_end (tcp, now_us))
        wl_tcp_close (tcp);
      tcp = next;
    }
}
