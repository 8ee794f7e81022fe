#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include "wl_clock.h"
#include "wl_log.h"
#include "wl_raw_client.h"
#include "wl_tcp.h"
#include "wl_test.h"

/*
 * Connections of callers on real sockets. Guards against a response that is
 * forgotten before its bytes have reached the caller. The clock is paused.
 */

enum
{
  START_US = 1000000000,
  RESPONSE_BYTES = 8 << 20,       /* more than the kernel queues for a caller that does not read */
  KERNEL_RESPONSE_BYTES = 262144, /* fits into the kernel's queues, but not into the caller's */
  CALLER_BUFFER_BYTES = 32768,
  ROUNDS_MAX = 4000,          /* iterations of the event loop, 1 ms each without traffic */
  WAITING = 150,              /* connections that wait to be accepted */
  CALLER_IDLE_MS = 15000,     /* how long a caller may be idle */
  ENDPOINT_TIMEOUT_MS = 3000, /* after which an endpoint counts as unresponsive */
};

typedef struct
{
  WlReactor *reactor;
  WlTcpLoop *loop;
  uint16_t port;
  uint64_t now_us;
  WlTcp *tcp; /* the connection accepted last */
  int n_accepted;
  RawClient caller;
} Fixture;

static void
on_received (void *data, WlBytes bytes)
{
  (void)data;
  (void)bytes;
}

static void
on_ended (void *data, WlTcpEnd end)
{
  Fixture *f = data;
  (void)end;
  wl_tcp_close (f->tcp);
}

static const WlTcpHandlers handlers = { .received = on_received, .ended = on_ended };

static void
on_accepted (void *data, WlTcp *tcp)
{
  Fixture *f = data;
  f->tcp = tcp;
  f->n_accepted++;
  wl_tcp_set_handlers (tcp, &handlers, f);
}

static void
turn (Fixture *f)
{
  wl_tcp_flush (f->loop);
  wl_reactor_poll (f->reactor, 1000);
  wl_tcp_flush (f->loop);
}

/* Lets everything that waits on the sockets happen while the clock stands still. */
static void
settle (Fixture *f)
{
  for (int i = 0; i < 60; i++)
    turn (f);
}

static void
advance (Fixture *f, uint64_t us)
{
  f->now_us += us;
  wl_clock_set (f->now_us);
  wl_tcp_tick (f->loop, f->now_us);
  wl_tcp_flush (f->loop);
}

static Fixture *
create (int buffer_bytes)
{
  static Fixture f;
  memset (&f, 0, sizeof f);
  f.now_us = START_US;
  wl_clock_set (f.now_us);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  f.loop = wl_tcp_loop_create (f.reactor);
  f.port = wl_tcp_listen (f.loop, htonl (INADDR_LOOPBACK), 0, on_accepted, &f);
  ck_assert_uint_ne (f.port, 0);
  raw_client_connect_with_buffer (&f.caller, f.port, buffer_bytes);
  for (int i = 0; i < ROUNDS_MAX && f.n_accepted == 0; i++)
    turn (&f);
  ck_assert_int_eq (f.n_accepted, 1);
  return &f;
}

static void
destroy (Fixture *f)
{
  raw_client_close (&f->caller);
  wl_tcp_loop_destroy (f->loop);
  wl_reactor_destroy (f->reactor);
}

static void
respond (Fixture *f, uint32_t size)
{
  static uint8_t response[RESPONSE_BYTES];
  memset (response, 'r', size);
  wl_tcp_write (f->tcp, (WlBytes){ response, size });
}

/* The caller reads until it has @bytes in all, or the connection has closed. */
static void
take_up_to (Fixture *f, uint64_t bytes)
{
  for (int i = 0; i < ROUNDS_MAX && !f->caller.is_closed && f->caller.taken_bytes < bytes; i++)
    {
      turn (f);
      raw_client_take (&f->caller, bytes - f->caller.taken_bytes);
    }
}

static void
take_until_closed (Fixture *f)
{
  take_up_to (f, UINT64_MAX);
  ck_assert_int_eq (f->caller.is_closed, 1);
}

static void
wait_finished (Fixture *f)
{
  for (int i = 0; i < ROUNDS_MAX && wl_tcp_finishing (f->loop) > 0; i++)
    turn (f);
}

/* Guards against a slow caller that loses a response whose time to be sent ran from its end. */
START_TEST (a_response_is_sent_whole_after_the_linger_time)
{
  Fixture *f = create (CALLER_BUFFER_BYTES);
  respond (f, RESPONSE_BYTES);
  wl_tcp_finish (f->tcp);
  settle (f);
  advance (f, 2 * WL_TCP_LINGER_US);
  advance (f, 2 * WL_TCP_LINGER_US);
  take_until_closed (f);
  ck_assert_uint_eq (f->caller.taken_bytes, RESPONSE_BYTES);
  ck_assert_int_eq (f->caller.error, 0);
  destroy (f);
}
END_TEST

/* Guards against a reset by the kernel that drops what it had not yet delivered. */
START_TEST (bytes_in_the_kernel_reach_a_caller_that_sends_on)
{
  Fixture *f = create (CALLER_BUFFER_BYTES);
  respond (f, KERNEL_RESPONSE_BYTES);
  wl_tcp_finish (f->tcp);
  settle (f);
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 1);
  advance (f, 2 * WL_TCP_LINGER_US);
  advance (f, 2 * WL_TCP_LINGER_US);
  raw_client_send (&f->caller, "the rest of a body");
  settle (f);
  take_until_closed (f);
  ck_assert_uint_eq (f->caller.taken_bytes, KERNEL_RESPONSE_BYTES);
  ck_assert_int_eq (f->caller.error, 0);
  destroy (f);
}
END_TEST

/* Guards against connections that stay for ever: the time runs once the caller has all bytes. */
START_TEST (a_delivered_response_is_closed_after_the_linger_time)
{
  Fixture *f = create (0);
  respond (f, 1000);
  wl_tcp_finish (f->tcp);
  settle (f);
  take_until_closed (f);
  ck_assert_uint_eq (f->caller.taken_bytes, 1000);
  settle (f);
  advance (f, WL_TCP_LINGER_US / 2);
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 1);
  advance (f, WL_TCP_LINGER_US + 1);
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 0);
  destroy (f);
}
END_TEST

/* Guards against a response that is dropped because its caller has shut down its sending side. */
START_TEST (a_caller_that_shuts_down_its_side_receives_what_is_queued)
{
  Fixture *f = create (CALLER_BUFFER_BYTES);
  respond (f, RESPONSE_BYTES);
  wl_tcp_finish (f->tcp);
  settle (f);
  shutdown (f->caller.fd, SHUT_WR);
  settle (f);
  advance (f, 2 * WL_TCP_LINGER_US);
  take_until_closed (f);
  ck_assert_uint_eq (f->caller.taken_bytes, RESPONSE_BYTES);
  ck_assert_int_eq (f->caller.error, 0);
  wait_finished (f);
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 0);
  destroy (f);
}
END_TEST

/* Guards against a rejection that a caller loses because it is still sending its body. */
START_TEST (a_caller_that_goes_on_sending_is_not_reset)
{
  static char body[16384];
  Fixture *f = create (CALLER_BUFFER_BYTES);
  respond (f, KERNEL_RESPONSE_BYTES);
  wl_tcp_finish (f->tcp);
  for (int i = 0; i < 100; i++)
    {
      ck_assert_int_ge (send (f->caller.fd, body, sizeof body, MSG_NOSIGNAL), 1);
      turn (f);
      advance (f, WL_TCP_LINGER_US / 10);
      raw_client_take (&f->caller, 8192);
    }
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 1);
  take_until_closed (f);
  ck_assert_uint_eq (f->caller.taken_bytes, KERNEL_RESPONSE_BYTES);
  ck_assert_int_eq (f->caller.error, 0);
  destroy (f);
}
END_TEST

/* Guards against a caller that holds a connection for ever by sending without an end. */
START_TEST (a_caller_that_sends_without_end_is_closed)
{
  Fixture *f = create (0);
  respond (f, 1000);
  wl_tcp_finish (f->tcp);
  for (uint64_t us = 0; us <= WL_TCP_LINGER_MAX_US + WL_TCP_LINGER_US; us += WL_TCP_LINGER_US / 2)
    {
      send (f->caller.fd, "more", 4, MSG_NOSIGNAL);
      turn (f);
      advance (f, WL_TCP_LINGER_US / 2);
    }
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 0);
  destroy (f);
}
END_TEST

/* Guards against a caller that holds a connection and its bytes by reading a byte a second. */
START_TEST (a_caller_that_hardly_reads_is_closed)
{
  Fixture *f = create (CALLER_BUFFER_BYTES);
  respond (f, RESPONSE_BYTES);
  wl_tcp_finish (f->tcp);
  settle (f);
  advance (f, 1);
  for (uint64_t us = 0; us <= WL_TCP_SLOW_US + 1000000; us += 1000000)
    {
      raw_client_take (&f->caller, 1);
      turn (f);
      advance (f, 1000000);
    }
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 0);
  destroy (f);
}
END_TEST

/* Guards against a slow caller that is cut although it takes its response steadily. */
START_TEST (a_caller_that_reads_slowly_keeps_its_connection)
{
  Fixture *f = create (CALLER_BUFFER_BYTES);
  respond (f, RESPONSE_BYTES);
  wl_tcp_finish (f->tcp);
  settle (f);
  advance (f, 1);
  for (uint32_t i = 1; i <= 20; i++)
    {
      take_up_to (f, (uint64_t)i * 8 * WL_TCP_SLOW_BYTES);
      settle (f);
      advance (f, WL_TCP_SLOW_US - 1000000);
    }
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 1);
  take_until_closed (f);
  ck_assert_uint_eq (f->caller.taken_bytes, RESPONSE_BYTES);
  ck_assert_int_eq (f->caller.error, 0);
  destroy (f);
}
END_TEST

/* A descriptor of this process other than @except whose socket is connected to @port. */
static int
find_peer_of (uint16_t port, int except)
{
  for (int fd = 0; fd < 256; fd++)
    {
      struct sockaddr_in sa;
      socklen_t size = sizeof sa;
      if (fd != except && getpeername (fd, (struct sockaddr *)&sa, &size) == 0
          && sa.sin_family == AF_INET && ntohs (sa.sin_port) == port)
        return fd;
    }
  ck_abort_msg ("no socket is connected to port %u", port);
}

static uint16_t
own_port (int fd)
{
  struct sockaddr_in sa;
  socklen_t size = sizeof sa;
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&sa, &size), 0);
  return ntohs (sa.sin_port);
}

static int
tcp_option (int fd, int option)
{
  int value = -1;
  socklen_t size = sizeof value;
  ck_assert_int_eq (getsockopt (fd, IPPROTO_TCP, option, &value, &size), 0);
  return value;
}

/* Guards against a reset by the kernel of a caller that pauses reading for some seconds. */
START_TEST (a_caller_may_pause_reading_for_its_idle_time)
{
  Fixture *f = create (0);
  int accepted = find_peer_of (own_port (f->caller.fd), -1);
  int keeps_alive = 0;
  socklen_t size = sizeof keeps_alive;
  ck_assert_int_ge (tcp_option (accepted, TCP_USER_TIMEOUT), CALLER_IDLE_MS);
  ck_assert_int_eq (getsockopt (accepted, SOL_SOCKET, SO_KEEPALIVE, &keeps_alive, &size), 0);
  ck_assert_int_eq (keeps_alive, 1);
  WlTcp *out = wl_tcp_connect (f->loop, htonl (INADDR_LOOPBACK), f->port, &handlers, f);
  settle (f);
  int connected = find_peer_of (f->port, f->caller.fd);
  ck_assert_int_eq (tcp_option (connected, TCP_USER_TIMEOUT), ENDPOINT_TIMEOUT_MS);
  wl_tcp_close (out);
  destroy (f);
}
END_TEST

/* Guards against callers that are reset while they wait to be accepted by a node that stops. */
START_TEST (all_connections_that_wait_are_accepted_before_the_port_closes)
{
  static RawClient waiting[WAITING];
  Fixture *f = create (0);
  for (int i = 0; i < WAITING; i++)
    raw_client_connect (&waiting[i], f->port);
  wl_tcp_unlisten (f->loop, f->port);
  ck_assert_int_eq (f->n_accepted, 1 + WAITING);
  wl_tcp_unlisten (f->loop, f->port);
  for (int i = 0; i < WAITING; i++)
    raw_client_close (&waiting[i]);
  destroy (f);
}
END_TEST

/* Sends what the log writes from now on into a pipe; returns its end to be read. */
static int
open_log (void)
{
  int fds[2];
  ck_assert_int_eq (pipe (fds), 0);
  fcntl (fds[0], F_SETFL, O_NONBLOCK);
  dup2 (fds[1], STDOUT_FILENO);
  close (fds[1]);
  wl_log_open (1);
  return fds[0];
}

static const char *
close_log (int fd)
{
  static char text[4096];
  wl_log_close (WL_LOG_CLOSE_MS);
  ssize_t n = read (fd, text, sizeof text - 1);
  text[n > 0 ? n : 0] = '\0';
  close (fd);
  return text;
}

/* Sends a response whose caller takes none of it and resets the connection. Returns the log. */
static const char *
log_of_reset (uint32_t response_bytes, int is_finishing)
{
  struct linger no_linger = { .l_onoff = 1, .l_linger = 0 };
  Fixture *f = create (CALLER_BUFFER_BYTES);
  int log = open_log ();
  respond (f, response_bytes);
  if (is_finishing)
    wl_tcp_finish (f->tcp);
  settle (f);
  setsockopt (f->caller.fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  close (f->caller.fd);
  f->caller.fd = -1;
  settle (f);
  ck_assert_uint_eq (wl_tcp_finishing (f->loop), 0);
  const char *text = close_log (log);
  destroy (f);
  return text;
}

/* Guards against bytes lost in silence with a finishing connection that is reset. */
START_TEST (bytes_lost_with_a_finishing_connection_are_logged)
{
  const char *text = log_of_reset (RESPONSE_BYTES, 1);
  ck_assert_msg (strstr (text, "WL1107 reason=failed unsent=") != NULL, "%s", text);
}
END_TEST

/* Guards against bytes lost in silence with a kept connection that is reset. */
START_TEST (bytes_lost_with_a_kept_connection_are_logged)
{
  const char *text = log_of_reset (RESPONSE_BYTES, 0);
  ck_assert_msg (strstr (text, "WL1107 reason=failed unsent=") != NULL, "%s", text);
}
END_TEST

/* Guards against bytes lost in silence with a connection that the kernel holds them for. */
START_TEST (bytes_lost_in_the_kernel_are_logged)
{
  const char *text = log_of_reset (KERNEL_RESPONSE_BYTES, 1);
  ck_assert_msg (strstr (text, "WL1107 reason=failed unsent=0 unacknowledged=") != NULL, "%s",
                 text);
}
END_TEST

/* Guards against a reset at the end of the process that drops what the kernel still sends. */
START_TEST (unread_input_at_the_exit_does_not_drop_the_response)
{
  static char input[16384];
  Fixture *f = create (CALLER_BUFFER_BYTES);
  respond (f, KERNEL_RESPONSE_BYTES);
  settle (f);
  ck_assert_uint_eq (wl_tcp_queued (f->tcp), 0);
  for (int i = 0; i < 4; i++)
    ck_assert_int_eq (send (f->caller.fd, input, sizeof input, MSG_NOSIGNAL), sizeof input);
  wl_tcp_loop_destroy (f->loop);
  f->loop = wl_tcp_loop_create (f->reactor);
  take_until_closed (f);
  ck_assert_uint_eq (f->caller.taken_bytes, KERNEL_RESPONSE_BYTES);
  ck_assert_int_eq (f->caller.error, 0);
  destroy (f);
}
END_TEST

/* Guards against bytes lost in silence at the end of the process. */
START_TEST (bytes_lost_at_the_exit_are_logged)
{
  Fixture *f = create (CALLER_BUFFER_BYTES);
  int log = open_log ();
  respond (f, RESPONSE_BYTES);
  settle (f);
  destroy (f);
  const char *text = close_log (log);
  ck_assert_msg (strstr (text, "WL1107 reason=exit unsent=") != NULL, "%s", text);
}
END_TEST

/* Guards against a node without descriptors that does nothing but try to accept. */
START_TEST (an_accept_that_fails_is_tried_again_after_a_pause)
{
  struct rlimit limit;
  struct rlimit none;
  RawClient waiting;
  Fixture *f = create (0);
  int log = open_log ();
  raw_client_connect (&waiting, f->port);
  ck_assert_int_eq (getrlimit (RLIMIT_NOFILE, &limit), 0);
  none = limit;
  none.rlim_cur = 0;
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &none), 0);
  settle (f);
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
  ck_assert_int_eq (f->n_accepted, 1);
  advance (f, 100000);
  settle (f);
  ck_assert_int_eq (f->n_accepted, 2);
  const char *first = strstr (close_log (log), "WL1105 errno=24\n");
  ck_assert_ptr_nonnull (first);
  ck_assert_ptr_null (strstr (first + 1, "WL1105"));
  raw_client_close (&waiting);
  destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_response_is_sent_whole_after_the_linger_time),
    WL_TEST (bytes_in_the_kernel_reach_a_caller_that_sends_on),
    WL_TEST (a_delivered_response_is_closed_after_the_linger_time),
    WL_TEST (a_caller_that_shuts_down_its_side_receives_what_is_queued),
    WL_TEST (a_caller_that_goes_on_sending_is_not_reset),
    WL_TEST (a_caller_that_sends_without_end_is_closed),
    WL_TEST (a_caller_that_hardly_reads_is_closed),
    WL_TEST (a_caller_that_reads_slowly_keeps_its_connection),
    WL_TEST (a_caller_may_pause_reading_for_its_idle_time),
    WL_TEST (all_connections_that_wait_are_accepted_before_the_port_closes),
    WL_TEST (bytes_lost_with_a_finishing_connection_are_logged),
    WL_TEST (bytes_lost_with_a_kept_connection_are_logged),
    WL_TEST (bytes_lost_in_the_kernel_are_logged),
    WL_TEST (unread_input_at_the_exit_does_not_drop_the_response),
    WL_TEST (bytes_lost_at_the_exit_are_logged),
    WL_TEST (an_accept_that_fails_is_tried_again_after_a_pause),
  };
  apr_initialize ();
  return wl_test_run ("tcp", tests, sizeof tests / sizeof tests[0]);
}
