#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <apr_general.h>
#include <curl/curl.h>
#include "wl_clock.h"
#include "wl_node.h"
#include "wl_sim.h"
#include "wl_test.h"

/* Graceful stop of a node in this process, with callers and operators on sockets. */

enum
{
  STEP_US = 10000,
  CLOSE_MS = 1000,
  TEXT_BYTES = 900000,
  WINDOW_BYTES = 4096,
  DESCRIPTORS_MAX = 64,
  UNREAD_BYTES = 80000,                                 /* more than the server reads ahead */
  PAST_ADDRESSES_US = WL_ADDRESS_LIFETIME_US + 1000000, /* the core has stopped by then */
};

typedef struct
{
  WlNode *node;
  char folder[32];
  uint64_t now_us;
} Fixture;

/* A caller or operator; keeps the beginning of the response and counts all of it. */
typedef struct
{
  int fd;
  char head[4096];
  size_t size;
  int is_closed;
} Client;

static void
step (Fixture *f)
{
  f->now_us += STEP_US;
  wl_clock_set (f->now_us);
  wl_node_run_once (f->node);
}

static void
run (Fixture *f, uint64_t duration_us)
{
  for (uint64_t end_us = f->now_us + duration_us; f->now_us < end_us && !f->node->is_stopped;)
    step (f);
}

/* Accepted connections inherit a small buffer from the listener. */
static void
limit_send_buffers (uint32_t port)
{
  int size = WINDOW_BYTES;
  for (int fd = 0; fd < DESCRIPTORS_MAX; fd++)
    {
      struct sockaddr_in a;
      socklen_t n = sizeof a;
      if (getsockname (fd, (struct sockaddr *)&a, &n) == 0 && a.sin_family == AF_INET
          && ntohs (a.sin_port) == port)
        ck_assert_int_eq (setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size), 0);
    }
}

/* Starts node 1 of a control group of @n_control, of which it is the only one that runs. */
static void
open_fixture (Fixture *f, uint32_t n_control)
{
  WlOptions o = { .n_control = n_control, .operator_key = "operator", .cluster_key = "cluster" };
  o.settings.self.node = 1;
  o.settings.n_control = n_control;
  strcpy (o.settings.self.address, "127.0.0.1");
  strcpy (o.settings.self.domain, "a");
  for (uint32_t i = 0; i < n_control; i++)
    {
      o.control[i] = (WlControlPeer){ .node = i + 1, .address = "127.0.0.1", .port = 1 };
      o.settings.control_nodes[i] = i + 1;
    }
  strcpy (f->folder, "/tmp/wl-node-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (f->folder));
  strcpy (o.data_folder, f->folder);
  f->now_us = 1000000000;
  wl_clock_set (f->now_us);
  ck_assert_int_eq (wl_node_create (&o, &f->node), WL_OK);
  limit_send_buffers (wl_http_server_port (f->node->server));
  run (f, 5000000);
}

static void
close_fixture (Fixture *f)
{
  wl_node_destroy (f->node);
  wl_clock_set (0);
}

static void
connect_client (Fixture *f, Client *c)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  int window = WINDOW_BYTES;
  memset (c, 0, sizeof *c);
  a.sin_port = htons ((uint16_t)wl_http_server_port (f->node->server));
  c->fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (setsockopt (c->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window), 0);
  ck_assert_int_eq (connect (c->fd, (struct sockaddr *)&a, sizeof a), 0);
}

static void
send_request (Fixture *f, const Client *c, const char *method, const char *path, WlBytes body)
{
  char head[512];
  int n = snprintf (head, sizeof head,
                    "%s %s HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer operator\r\n"
                    "Content-Length: %u\r\n\r\n",
                    method, path, body.size);
  ck_assert_int_eq (send (c->fd, head, (size_t)n, MSG_NOSIGNAL), n);
  for (uint32_t sent = 0; sent < body.size;)
    {
      ssize_t m = send (c->fd, body.data + sent, body.size - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
      ck_assert (m > 0 || errno == EAGAIN);
      sent += m > 0 ? (uint32_t)m : 0;
      step (f);
    }
}

/* Takes what has arrived. */
static void
receive (Client *c)
{
  char bytes[65536];
  for (;;)
    {
      ssize_t n = recv (c->fd, bytes, sizeof bytes, MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN))
        c->is_closed = 1;
      if (n <= 0)
        return;
      size_t room = sizeof c->head - 1 - (c->size < sizeof c->head ? c->size : sizeof c->head - 1);
      memcpy (c->head + (sizeof c->head - 1 - room), bytes, (size_t)n < room ? (size_t)n : room);
      c->size += (size_t)n;
    }
}

/* Takes what the node has sent, up to its close: that may arrive a moment after the node's turn. */
static void
receive_close (Client *c)
{
  struct pollfd poll_fd = { .fd = c->fd, .events = POLLIN };
  while (!c->is_closed && poll (&poll_fd, 1, CLOSE_MS) == 1)
    receive (c);
}

static void
run_and_receive (Fixture *f, Client *c, uint64_t duration_us)
{
  for (uint64_t end_us = f->now_us + duration_us; f->now_us < end_us && !f->node->is_stopped;)
    {
      step (f);
      receive (c);
    }
}

/* A valid services text, long by its comment. */
static WlBytes
make_text (char out[TEXT_BYTES + 1])
{
  const char *text = sim_text (1);
  size_t n = strlen (text);
  memset (out, '#', TEXT_BYTES);
  snprintf (out + TEXT_BYTES - n - 1, n + 2, "\n%s", text);
  return (WlBytes){ (const uint8_t *)out, TEXT_BYTES };
}

static void
submit_text (Fixture *f)
{
  static char text[TEXT_BYTES + 1];
  Client operator;
  connect_client (f, &operator);
  send_request (f, &operator, "POST", "/v1/config?replaces=0", make_text (text));
  run_and_receive (f, &operator, 2000000);
  ck_assert_ptr_nonnull (strstr (operator.head, "\"accepted\""));
  close (operator.fd);
}

/* Submits a long text, requests it and reads nothing of the response. */
static void
request_text (Fixture *f, Client *c)
{
  submit_text (f);
  connect_client (f, c);
  send_request (f, c, "GET", "/v1/config?number=1", (WlBytes){ NULL, 0 });
  run (f, 500000);
}

static void
assert_whole_text (const Client *c)
{
  const char *body = strstr (c->head, "\r\n\r\n");
  ck_assert_ptr_nonnull (body);
  ck_assert_uint_eq (c->size - (size_t)(body + 4 - c->head), TEXT_BYTES);
}

/* Guards against an exit that drops what is still queued of a response for a slow reader. */
START_TEST (a_slow_reader_gets_its_whole_response_from_a_stopping_node)
{
  Fixture f;
  Client c;
  open_fixture (&f, 1);
  request_text (&f, &c);
  wl_node_stop (f.node);
  run (&f, PAST_ADDRESSES_US);
  run_and_receive (&f, &c, 5000000);
  ck_assert (f.node->is_stopped);
  wl_node_destroy (f.node);
  f.node = NULL;
  while (!c.is_closed)
    receive (&c);
  assert_whole_text (&c);
  close (c.fd);
  close_fixture (&f);
}
END_TEST

/* Guards against a stop without an end: a caller that reads nothing must not hold the node. */
START_TEST (a_caller_that_reads_nothing_delays_the_stop_for_a_limited_time)
{
  Fixture f;
  Client c;
  open_fixture (&f, 1);
  request_text (&f, &c);
  wl_node_stop (f.node);
  run (&f, PAST_ADDRESSES_US);
  ck_assert (!f.node->is_stopped);
  run (&f, WL_NODE_SEND_US);
  ck_assert (f.node->is_stopped);
  close (c.fd);
  close_fixture (&f);
}
END_TEST

/* Guards against an exit that closes an operator's connection without an answer to its call. */
START_TEST (a_submission_that_waits_is_answered_before_the_node_exits)
{
  static char text[TEXT_BYTES + 1];
  Fixture f;
  Client c;
  open_fixture (&f, 3);
  connect_client (&f, &c);
  wl_node_stop (f.node);
  run (&f, PAST_ADDRESSES_US - 2000000);
  send_request (&f, &c, "POST", "/v1/config?replaces=0", make_text (text));
  run_and_receive (&f, &c, 20000000);
  ck_assert (f.node->is_stopped);
  ck_assert_ptr_nonnull (strstr (c.head, " 503 "));
  ck_assert_ptr_nonnull (strstr (c.head, "\"unavailable\""));
  close (c.fd);
  close_fixture (&f);
}
END_TEST

/* Guards against requests on a kept connection that cross its close by the exit. */
START_TEST (a_stopping_node_closes_connections_after_their_response)
{
  Fixture f;
  Client c;
  open_fixture (&f, 1);
  connect_client (&f, &c);
  send_request (&f, &c, "GET", "/healthz", (WlBytes){ NULL, 0 });
  run_and_receive (&f, &c, 100000);
  ck_assert_ptr_nonnull (strstr (c.head, "200 OK"));
  ck_assert (!c.is_closed);
  wl_node_stop (f.node);
  send_request (&f, &c, "GET", "/readyz", (WlBytes){ NULL, 0 });
  run_and_receive (&f, &c, 1000000);
  ck_assert_ptr_nonnull (strstr (c.head, "503"));
  ck_assert_ptr_nonnull (strstr (c.head, "Connection: close"));
  receive_close (&c);
  ck_assert (c.is_closed);
  close (c.fd);
  close_fixture (&f);
}
END_TEST

/* Guards against an exit by SIGABRT where a failed disk ends a node that has calls in progress. */
START_TEST (a_node_with_a_waiting_call_can_be_destroyed)
{
  Fixture f;
  Client c;
  open_fixture (&f, 3);
  connect_client (&f, &c);
  send_request (&f, &c, "GET", "/v1/status", (WlBytes){ NULL, 0 });
  run (&f, 100000);
  ck_assert_uint_eq (wl_http_server_open (f.node->server), 1);
  close_fixture (&f);
  receive (&c);
  ck_assert (c.is_closed);
  close (c.fd);
}
END_TEST

/* Makes each write to a file of the data folder fail. */
static void
break_disk (const Fixture *f)
{
  char path[32];
  char target[64];
  int full = open ("/dev/full", O_WRONLY | O_CLOEXEC);
  for (int fd = 0; fd < DESCRIPTORS_MAX; fd++)
    {
      snprintf (path, sizeof path, "/proc/self/fd/%d", fd);
      ssize_t size = readlink (path, target, sizeof target - 1);
      target[size > 0 ? size : 0] = '\0';
      if (strncmp (target, f->folder, strlen (f->folder)) == 0 && strstr (target, "/log") != NULL)
        ck_assert_int_eq (dup3 (full, fd, O_CLOEXEC), fd);
    }
  close (full);
}

/* Guards against requests that are cut because the disk of their node, which they do not use,
 * fails. */
START_TEST (a_slow_reader_gets_its_whole_response_although_the_disk_fails)
{
  static char text[TEXT_BYTES + 1];
  Fixture f;
  Client c;
  Client operator;
  open_fixture (&f, 1);
  request_text (&f, &c);
  break_disk (&f);
  connect_client (&f, &operator);
  send_request (&f, &operator, "POST", "/v1/config?replaces=1", make_text (text));
  for (int i = 0; i < 200 && f.node->error == WL_OK; i++)
    step (&f);
  ck_assert_int_ne (f.node->error, WL_OK);
  ck_assert (!f.node->is_stopped);
  for (int i = 0; i < 3000 && !f.node->is_stopped; i++)
    {
      step (&f);
      receive (&c);
      receive (&operator);
    }
  ck_assert (f.node->is_stopped);
  assert_whole_text (&c);
  ck_assert_ptr_null (strstr (operator.head, "\"accepted\""));
  ck_assert_ptr_nonnull (strstr (operator.head, " 503 "));
  close (operator.fd);
  close (c.fd);
  close_fixture (&f);
}
END_TEST

/* Guards against a reset that discards the end of a response: the caller has sent more behind it.
 */
START_TEST (a_response_is_whole_although_its_caller_sends_on)
{
  static char more[UNREAD_BYTES];
  Fixture f;
  Client c;
  open_fixture (&f, 1);
  submit_text (&f);
  connect_client (&f, &c);
  wl_node_stop (f.node);
  send_request (&f, &c, "GET", "/v1/config?number=1", (WlBytes){ NULL, 0 });
  run (&f, 100000);
  memset (more, '\n', sizeof more);
  ck_assert_int_gt (send (c.fd, more, sizeof more, MSG_DONTWAIT | MSG_NOSIGNAL), UNREAD_BYTES / 2);
  for (int i = 0; i < 10000 && !c.is_closed; i++)
    {
      if (!f.node->is_stopped)
        step (&f);
      receive (&c);
    }
  ck_assert (c.is_closed);
  assert_whole_text (&c);
  close (c.fd);
  close_fixture (&f);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  const WlTest tests[] = {
    WL_TEST (a_slow_reader_gets_its_whole_response_from_a_stopping_node),
    WL_TEST (a_caller_that_reads_nothing_delays_the_stop_for_a_limited_time),
    WL_TEST (a_submission_that_waits_is_answered_before_the_node_exits),
    WL_TEST (a_stopping_node_closes_connections_after_their_response),
    WL_TEST (a_node_with_a_waiting_call_can_be_destroyed),
    WL_TEST (a_slow_reader_gets_its_whole_response_although_the_disk_fails),
    WL_TEST (a_response_is_whole_although_its_caller_sends_on),
  };
  return wl_test_run ("node_stop", tests, sizeof tests / sizeof tests[0]);
}
