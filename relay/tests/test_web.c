#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include "wl_clock.h"
#include "wl_raw_client.h"
#include "wl_script_server.h"
#include "wl_test.h"
#include "wl_web.h"

/* The HTTP server, with a client that writes raw bytes to a socket. */

enum
{
  BODIES_MAX_BYTES = 4096 + 64, /* the largest body, and little more */
  LARGE_BYTES = 8 << 20,        /* more than the kernel queues for a client that does not read */
  SMALL_BUFFER_BYTES = 32768,
  ROUNDS_MAX = 2000,
};

typedef struct
{
  WlReactor *reactor;
  WlTcpLoop *loop;
  WlWeb *web;
  WlWebRequest *waiting;
  int n_handled;
  int n_gone;
  WlWebLimits limits;
  RawClient client;
} Fixture;

static const uint8_t large[LARGE_BYTES];

static void
on_request (void *data, WlWebRequest *request)
{
  Fixture *f = data;
  const WlHttpHead *head = wl_web_head (request);
  const char *target = wl_http_head_text (head, head->target);
  f->n_handled++;
  if (strcmp (target, "/echo") == 0)
    wl_web_reply (request, 200, "", wl_web_body (request));
  else if (strcmp (target, "/large") == 0)
    wl_web_reply (request, 200, "", (WlBytes){ large, sizeof large });
  else if (strcmp (target, "/release") == 0)
    {
      WlWebRequest *released = f->waiting;
      f->waiting = NULL;
      if (released != NULL)
        wl_web_reply (released, 200, "", (WlBytes){ (const uint8_t *)"released", 8 });
      wl_web_reply (request, 200, "", (WlBytes){ NULL, 0 });
    }
  else if (strcmp (target, "/broken") == 0)
    {
      wl_web_begin (request, 200, "");
      wl_web_write (request, (WlBytes){ (const uint8_t *)"part", 4 });
      wl_web_end (request, 0);
    }
  else
    f->waiting = request;
}

static void
on_gone (void *data, WlWebRequest *request)
{
  Fixture *f = data;
  (void)request;
  f->n_gone++;
  f->waiting = NULL;
}

static Fixture *
create (void)
{
  static Fixture f;
  memset (&f, 0, sizeof f);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  f.loop = wl_tcp_loop_create (f.reactor);
  f.limits = (WlWebLimits){ 1024, 4096, 1000000, 2000000 };
  WlWebOptions options = {
    .address = htonl (INADDR_LOOPBACK),
    .limits = f.limits,
    .bodies_max = BODIES_MAX_BYTES,
    .handle = on_request,
    .disconnected = on_gone,
    .data = &f,
  };
  ck_assert_int_eq (wl_web_create (f.loop, &options, &f.web), WL_OK);
  raw_client_connect (&f.client, wl_web_port (f.web));
  return &f;
}

static void
destroy (Fixture *f)
{
  raw_client_close (&f->client);
  wl_web_destroy (f->web);
  wl_tcp_loop_destroy (f->loop);
  wl_reactor_destroy (f->reactor);
}

static void
run (Fixture *f, int ms)
{
  for (int i = 0; i < ms; i += 2)
    {
      script_run (f->reactor, f->loop, 2000, NULL);
      raw_client_receive (&f->client);
    }
}

static void
send_text (Fixture *f, const char *text)
{
  raw_client_send (&f->client, text);
}

/* A client that takes nothing until take_all() is called. */
static void
connect_slow (Fixture *f, RawClient *client)
{
  raw_client_connect_with_buffer (client, wl_web_port (f->web), SMALL_BUFFER_BYTES);
}

static void
take_all (Fixture *f, RawClient *client)
{
  for (int i = 0; i < ROUNDS_MAX && !client->is_closed; i++)
    {
      script_run (f->reactor, f->loop, 1000, NULL);
      raw_client_take (client, SIZE_MAX);
    }
  ck_assert_int_eq (client->is_closed, 1);
}

/* Guards against memory exhaustion: bodies within their limit, held for many connections. */
START_TEST (a_body_above_the_common_limit_is_rejected_before_the_handler)
{
  Fixture *f = create ();
  RawClient second;
  char body[128];
  memset (body, 'x', sizeof body - 1);
  body[sizeof body - 1] = '\0';
  send_text (f, "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 4064\r\n\r\n");
  for (int i = 0; i < 32; i++)
    send_text (f, body);
  run (f, 40);
  ck_assert_int_eq (f->n_handled, 1);
  raw_client_connect (&second, wl_web_port (f->web));
  raw_client_send (&second, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 127\r\n\r\n");
  raw_client_send (&second, body);
  run (f, 40);
  raw_client_receive (&second);
  ck_assert_ptr_nonnull (strstr (second.answer, "HTTP/1.1 503"));
  ck_assert_ptr_nonnull (strstr (second.answer, "Retry-After: 1"));
  ck_assert_int_eq (f->n_handled, 1);
  raw_client_close (&second);
  /* The memory of a body is available again once its request is answered. */
  wl_web_reply (f->waiting, 200, "", (WlBytes){ NULL, 0 });
  raw_client_connect (&second, wl_web_port (f->web));
  raw_client_send (&second, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 127\r\n\r\n");
  raw_client_send (&second, body);
  run (f, 40);
  raw_client_receive (&second);
  ck_assert_ptr_nonnull (strstr (second.answer, "HTTP/1.1 200"));
  raw_client_close (&second);
  destroy (f);
}
END_TEST

START_TEST (chunked_bodies_and_pipelined_requests_are_answered_in_order)
{
  Fixture *f = create ();
  send_text (
      f,
      "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
      "0\r\n\r\nPOST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
  run (f, 60);
  const char *first = strstr (f->client.answer, "\r\n\r\nabcde");
  ck_assert_ptr_nonnull (first);
  ck_assert_ptr_nonnull (strstr (first, "\r\n\r\nxyz"));
  ck_assert_int_eq (f->client.is_closed, 0);
  destroy (f);
}
END_TEST

START_TEST (a_client_that_expects_it_receives_100_continue)
{
  Fixture *f = create ();
  send_text (f,
             "POST /echo HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "100 Continue"));
  send_text (f, "ok");
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "\r\n\r\nok"));
  destroy (f);
}
END_TEST

START_TEST (oversized_and_malformed_requests_are_rejected_and_closed)
{
  static char long_field[3000];
  const char *const cases[][2] = {
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", " 413 " },
    { long_field, " 431 " },
    { "nonsense\r\n\r\n", " 400 " },
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
      " 400 " },
  };
  strcpy (long_field, "GET / HTTP/1.1\r\nHost: h\r\nX-Long: ");
  memset (long_field + strlen (long_field), 'a', 2000);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      Fixture *f = create ();
      send_text (f, cases[i][0]);
      run (f, 60);
      ck_assert_msg (strstr (f->client.answer, cases[i][1]) != NULL, "case %zu: %s", i,
                     f->client.answer);
      ck_assert_int_eq (f->client.is_closed, 1);
      ck_assert_int_eq (f->n_handled, 0);
      destroy (f);
    }
}
END_TEST

START_TEST (an_aborted_response_has_no_last_chunk)
{
  Fixture *f = create ();
  send_text (f, "GET /broken HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 60);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "4\r\npart\r\n"));
  ck_assert_ptr_null (strstr (f->client.answer, "0\r\n\r\n"));
  ck_assert_int_eq (f->client.is_closed, 1);
  destroy (f);
}
END_TEST

START_TEST (a_close_after_pipelined_bytes_is_detected)
{
  Fixture *f = create ();
  send_text (f, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\n");
  run (f, 30);
  ck_assert_ptr_nonnull (f->waiting);
  shutdown (f->client.fd, SHUT_WR);
  run (f, 30);
  ck_assert_int_eq (f->n_gone, 1);
  ck_assert_uint_eq (wl_web_active (f->web), 0);
  destroy (f);
}
END_TEST

/* Guards against a complete response that is dropped because its client shut down its side. */
START_TEST (a_client_that_shuts_down_its_side_receives_a_complete_response)
{
  Fixture *f = create ();
  RawClient client;
  connect_slow (f, &client);
  raw_client_send (&client, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 60);
  shutdown (client.fd, SHUT_WR);
  run (f, 60);
  take_all (f, &client);
  ck_assert_uint_gt (client.taken_bytes, LARGE_BYTES);
  ck_assert_int_eq (client.error, 0);
  ck_assert_int_eq (f->n_gone, 0);
  raw_client_close (&client);
  destroy (f);
}
END_TEST

/* Guards against the loss of an earlier response with the request that its client has given up. */
START_TEST (a_given_up_request_leaves_the_response_before_it)
{
  Fixture *f = create ();
  RawClient client;
  connect_slow (f, &client);
  raw_client_send (&client, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 60);
  ck_assert_ptr_nonnull (f->waiting);
  shutdown (client.fd, SHUT_WR);
  run (f, 60);
  ck_assert_int_eq (f->n_gone, 1);
  take_all (f, &client);
  ck_assert_uint_gt (client.taken_bytes, LARGE_BYTES);
  ck_assert_int_eq (client.error, 0);
  raw_client_close (&client);
  destroy (f);
}
END_TEST

/* Guards against a response that ends short because its client sends ahead without a limit. */
START_TEST (a_client_that_sends_ahead_without_limit_receives_the_response_in_progress)
{
  static char ahead[16385];
  Fixture *f = create ();
  RawClient client;
  memset (ahead, 'x', sizeof ahead - 1);
  connect_slow (f, &client);
  raw_client_send (&client, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 30);
  ck_assert_ptr_nonnull (f->waiting);
  wl_web_begin (f->waiting, 200, "");
  for (int i = 0; i < 2 * WL_WEB_PIPELINE_MAX_BYTES / 16384; i++)
    {
      raw_client_send (&client, ahead);
      run (f, 4);
    }
  wl_web_write (f->waiting, (WlBytes){ large, sizeof large });
  wl_web_end (f->waiting, 1);
  raw_client_send (&client, ahead);
  take_all (f, &client);
  ck_assert_uint_gt (client.taken_bytes, LARGE_BYTES);
  ck_assert_int_eq (client.error, 0);
  ck_assert_int_eq (f->n_handled, 1);
  raw_client_close (&client);
  destroy (f);
}
END_TEST

START_TEST (a_draining_server_closes_after_its_response)
{
  Fixture *f = create ();
  send_text (f, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 30);
  wl_web_drain (f->web);
  wl_web_reply (f->waiting, 200, "", (WlBytes){ (const uint8_t *)"done", 4 });
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "Connection: close"));
  ck_assert_ptr_nonnull (strstr (f->client.answer, "done"));
  ck_assert_int_eq (f->client.is_closed, 1);
  destroy (f);
}
END_TEST

/* One iteration of the event loop, in which a paused clock advances. */
static void
advance (Fixture *f, uint64_t us)
{
  uint64_t now_us = wl_clock_now_us () + us;
  wl_clock_set (now_us);
  wl_tcp_flush (f->loop);
  wl_reactor_poll (f->reactor, 1000);
  wl_web_tick (f->web, now_us);
  wl_tcp_tick (f->loop, now_us);
  wl_tcp_flush (f->loop);
}

/* Sends pieces of a body until some time after the rejection, and returns the answer. */
static const char *
reject_while_sending (Fixture *f, const char *head, const char *piece)
{
  int on = 1;
  setsockopt (f->client.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  send_text (f, head);
  for (int i = 0; i < 50; i++)
    {
      send_text (f, piece);
      advance (f, 100000);
    }
  raw_client_receive (&f->client);
  raw_client_receive (&f->client);
  ck_assert_int_eq (f->client.error, 0);
  ck_assert_int_eq (f->n_handled, 0);
  return f->client.answer;
}

/* Guards against a rejection that is lost because the client is still sending its body. */
START_TEST (a_rejection_reaches_a_client_that_goes_on_sending)
{
  static const char head[] = "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  static char piece[1024];
  Fixture *f = create ();
  wl_clock_set (wl_clock_now_us ());
  strcpy (piece, "300\r\n");
  memset (piece + 5, 'x', 0x300);
  strcpy (piece + 5 + 0x300, "\r\n");
  ck_assert_ptr_nonnull (strstr (reject_while_sending (f, head, piece), " 413 "));
  destroy (f);

  f = create ();
  ck_assert_ptr_nonnull (strstr (reject_while_sending (f, head, "1\r\nx\r\n"), " 408 "));
  destroy (f);

  f = create ();
  f->limits.body_bytes = 2 * BODIES_MAX_BYTES;
  wl_web_set_limits (f->web, &f->limits);
  ck_assert_ptr_nonnull (strstr (reject_while_sending (f, head, piece), " 503 "));
  destroy (f);
}
END_TEST

/* Guards against requests that are reset with the connection that waits to be accepted. */
START_TEST (a_request_on_a_connection_that_waits_is_answered)
{
  Fixture *f = create ();
  RawClient waiting;
  run (f, 10);
  raw_client_connect (&waiting, wl_web_port (f->web));
  raw_client_send (&waiting, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
  wl_web_close_idle (f->web);
  run (f, 30);
  raw_client_receive (&waiting);
  ck_assert_ptr_nonnull (strstr (waiting.answer, "Connection: close\r\n\r\nok"));
  ck_assert_uint_eq (wl_web_port (f->web), 0);
  raw_client_close (&waiting);
  destroy (f);
}
END_TEST

/* Guards against requests that have arrived at a connection that is closed as idle. */
START_TEST (a_request_that_has_arrived_is_answered_before_the_close)
{
  Fixture *f = create ();
  run (f, 10);
  send_text (f, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
  wl_web_close_idle (f->web);
  wl_web_close_idle (f->web);
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "Connection: close\r\n\r\nok"));
  ck_assert_int_eq (f->client.is_closed, 1);
  ck_assert_int_eq (f->client.error, 0);
  destroy (f);
}
END_TEST

/* Guards against an idle connection that keeps a stopping server. */
START_TEST (idle_connections_are_closed)
{
  Fixture *f = create ();
  send_text (f, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
  run (f, 30);
  ck_assert_uint_eq (wl_web_connections (f->web), 1);
  wl_web_close_idle (f->web);
  ck_assert_uint_eq (wl_web_connections (f->web), 0);
  run (f, 30);
  ck_assert_int_eq (f->client.is_closed, 1);
  ck_assert_int_eq (f->client.error, 0);
  destroy (f);
}
END_TEST

/* Guards against a request that is read and dropped because it crossed an idle close. */
START_TEST (a_request_that_crosses_an_idle_close_is_not_read)
{
  for (int by_timeout = 0; by_timeout < 2; by_timeout++)
    {
      Fixture *f = create ();
      int error = 0;
      socklen_t size = sizeof error;
      run (f, 10);
      if (by_timeout)
        wl_web_tick (f->web, wl_clock_now_us () + 2100000);
      else
        wl_web_close_idle (f->web);
      ck_assert_uint_eq (wl_web_connections (f->web), 0);
      send_text (f, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
      run (f, 30);
      ck_assert_int_eq (getsockopt (f->client.fd, SOL_SOCKET, SO_ERROR, &error, &size), 0);
      ck_assert_int_ne (error, 0);
      ck_assert_int_eq (f->n_handled, 0);
      destroy (f);
    }
}
END_TEST

/* Guards against a slow client that loses a complete response with its idle connection. */
START_TEST (an_idle_close_leaves_the_response_before_it)
{
  Fixture *f = create ();
  RawClient client;
  connect_slow (f, &client);
  raw_client_send (&client, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 60);
  wl_web_close_idle (f->web);
  ck_assert_uint_eq (wl_web_connections (f->web), 0);
  take_all (f, &client);
  ck_assert_uint_gt (client.taken_bytes, LARGE_BYTES);
  ck_assert_int_eq (client.error, 0);
  raw_client_close (&client);
  destroy (f);
}
END_TEST

/* Guards against a 408 that no request asked for: some clients send a line end after a body. */
START_TEST (a_line_end_behind_a_request_is_not_a_request)
{
  Fixture *f = create ();
  send_text (f, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok\r\n");
  run (f, 30);
  wl_web_tick (f->web, wl_clock_now_us () + 1100000);
  run (f, 30);
  ck_assert_ptr_null (strstr (f->client.answer, " 408 "));
  ck_assert_int_eq (f->client.is_closed, 0);
  wl_web_close_idle (f->web);
  ck_assert_uint_eq (wl_web_connections (f->web), 0);
  destroy (f);
}
END_TEST

/* Guards against a use after free: a port that outlives its server. */
START_TEST (a_destroyed_server_does_not_listen)
{
  Fixture *f = create ();
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (wl_web_port (f->web)) };
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  run (f, 10);
  wl_web_destroy (f->web);
  f->web = NULL;
  ck_assert_int_ne (connect (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  close (fd);
  destroy (f);
}
END_TEST

/* Guards against a close that crosses the next request, since no response had announced it. */
START_TEST (a_response_that_began_before_the_drain_keeps_its_connection)
{
  Fixture *f = create ();
  send_text (f, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 30);
  wl_web_begin (f->waiting, 200, "");
  wl_web_drain (f->web);
  wl_web_end (f->waiting, 1);
  run (f, 30);
  ck_assert_ptr_null (strstr (f->client.answer, "Connection: close"));
  ck_assert_int_eq (f->client.is_closed, 0);
  send_text (f, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok");
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "Connection: close\r\n\r\nok"));
  ck_assert_int_eq (f->client.is_closed, 1);
  ck_assert_int_eq (f->client.error, 0);
  destroy (f);
}
END_TEST

/* Guards against a request that loses its connection while its body is on its way. */
START_TEST (a_partial_request_is_kept_and_then_rejected)
{
  static const char part[] = "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "3\r\nabc\r\n";
  Fixture *f = create ();
  RawClient second;
  raw_client_connect (&second, wl_web_port (f->web));
  send_text (f, part);
  raw_client_send (&second, part);
  run (f, 30);
  wl_web_close_idle (f->web);
  ck_assert_uint_eq (wl_web_connections (f->web), 2);
  send_text (f, "0\r\n\r\n");
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "Connection: close\r\n\r\nabc"));
  wl_web_close (f->web);
  wl_web_close (f->web);
  ck_assert_uint_eq (wl_web_connections (f->web), 0);
  raw_client_send (&second, "2\r\nde\r\n");
  run (f, 30);
  raw_client_receive (&second);
  ck_assert_ptr_nonnull (strstr (second.answer, "HTTP/1.1 503"));
  ck_assert_ptr_nonnull (strstr (second.answer, "Retry-After: 0\r\n"));
  ck_assert_int_eq (second.error, 0);
  ck_assert_int_eq (f->n_handled, 1);
  raw_client_close (&second);
  destroy (f);
}
END_TEST

/* Guards against a close of a connection whose request is with its handler. */
START_TEST (a_request_with_its_handler_is_kept)
{
  Fixture *f = create ();
  send_text (f, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 30);
  wl_web_close_idle (f->web);
  wl_web_close (f->web);
  run (f, 10);
  ck_assert_uint_eq (wl_web_connections (f->web), 1);
  ck_assert_int_eq (f->client.is_closed, 0);
  wl_web_reply (f->waiting, 200, "", (WlBytes){ (const uint8_t *)"done", 4 });
  ck_assert_uint_eq (wl_web_connections (f->web), 0);
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "Connection: close\r\n\r\ndone"));
  ck_assert_int_eq (f->client.is_closed, 1);
  destroy (f);
}
END_TEST

/* Guards against a use after free: a request that is read before the close ends another one. */
START_TEST (a_handler_may_end_other_requests_while_connections_are_closed)
{
  Fixture *f = create ();
  RawClient others[4];
  for (int i = 0; i < 2; i++)
    raw_client_connect (&others[i], wl_web_port (f->web));
  run (f, 10);
  send_text (f, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  run (f, 30);
  for (int i = 2; i < 4; i++)
    raw_client_connect (&others[i], wl_web_port (f->web));
  run (f, 10);
  raw_client_send (&others[0], "GET /release HTTP/1.1\r\nHost: h\r\n\r\n");
  raw_client_send (&others[3], "GET /echo HTTP/1.1\r\nHost: h\r\n\r\n");
  wl_web_close_idle (f->web);
  ck_assert_uint_eq (wl_web_connections (f->web), 0);
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, "released"));
  for (int i = 0; i < 4; i++)
    {
      raw_client_receive (&others[i]);
      raw_client_receive (&others[i]);
      ck_assert_int_eq (others[i].is_closed, 1);
      ck_assert_int_eq (others[i].error, 0);
      ck_assert_int_eq (strstr (others[i].answer, " 200 ") != NULL, i == 0 || i == 3);
      raw_client_close (&others[i]);
    }
  destroy (f);
}
END_TEST

START_TEST (an_incomplete_request_times_out)
{
  Fixture *f = create ();
  send_text (f, "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
  run (f, 30);
  wl_web_tick (f->web, wl_clock_now_us () + 1100000);
  run (f, 30);
  ck_assert_ptr_nonnull (strstr (f->client.answer, " 408 "));
  ck_assert_int_eq (f->n_handled, 0);
  destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_body_above_the_common_limit_is_rejected_before_the_handler),
    WL_TEST (chunked_bodies_and_pipelined_requests_are_answered_in_order),
    WL_TEST (a_client_that_expects_it_receives_100_continue),
    WL_TEST (oversized_and_malformed_requests_are_rejected_and_closed),
    WL_TEST (an_aborted_response_has_no_last_chunk),
    WL_TEST (a_close_after_pipelined_bytes_is_detected),
    WL_TEST (a_client_that_shuts_down_its_side_receives_a_complete_response),
    WL_TEST (a_given_up_request_leaves_the_response_before_it),
    WL_TEST (a_client_that_sends_ahead_without_limit_receives_the_response_in_progress),
    WL_TEST (a_draining_server_closes_after_its_response),
    WL_TEST (a_rejection_reaches_a_client_that_goes_on_sending),
    WL_TEST (a_request_on_a_connection_that_waits_is_answered),
    WL_TEST (a_request_that_has_arrived_is_answered_before_the_close),
    WL_TEST (idle_connections_are_closed),
    WL_TEST (a_request_that_crosses_an_idle_close_is_not_read),
    WL_TEST (an_idle_close_leaves_the_response_before_it),
    WL_TEST (a_line_end_behind_a_request_is_not_a_request),
    WL_TEST (a_destroyed_server_does_not_listen),
    WL_TEST (a_response_that_began_before_the_drain_keeps_its_connection),
    WL_TEST (a_partial_request_is_kept_and_then_rejected),
    WL_TEST (a_request_with_its_handler_is_kept),
    WL_TEST (a_handler_may_end_other_requests_while_connections_are_closed),
    WL_TEST (an_incomplete_request_times_out),
  };
  apr_initialize ();
  return wl_test_run ("web", tests, sizeof tests / sizeof tests[0]);
}
