#include <string.h>
#include <unistd.h>
#include <apr_general.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include "wl_clock.h"
#include "wl_fetch.h"
#include "wl_script_server.h"
#include "wl_test.h"
#include "wl_test_loopback.h"

/*
 * The HTTP client. Guards against a request that runs twice, since the client
 * sent it again or reported "not sent" after a byte had left, and against a
 * response that is mistaken for the response to another request.
 */

typedef struct
{
  WlReactor *reactor;
  WlTcpLoop *loop;
  WlFetchClient *client;
  ScriptServer server;
  const char *expected_id;
  int n_ended;
  int pauses_on_body;
  WlFetch *call;
  uint16_t retry_port;
  WlFetchEnd end;
  uint32_t status;
  char body[4096];
  size_t body_size;
} Fixture;

static WlFetchVerdict
on_head (void *data, const WlHttpHead *head)
{
  Fixture *f = data;
  const char *id = wl_http_head_field (head, "X-Id");
  if (id != NULL && f->expected_id != NULL && strcmp (id, f->expected_id) != 0)
    return WL_FETCH_SKIP;
  f->status = head->status;
  return WL_FETCH_TAKE;
}

static int
on_body (void *data, WlBytes bytes)
{
  Fixture *f = data;
  memcpy (f->body + f->body_size, bytes.data, bytes.size);
  f->body_size += bytes.size;
  if (f->pauses_on_body)
    wl_fetch_pause (f->call, 1);
  return 1;
}

static void
on_ended (void *data, WlFetchEnd end)
{
  Fixture *f = data;
  f->n_ended++;
  f->end = end;
}

static const WlFetchHandlers handlers = { .head = on_head, .body = on_body, .ended = on_ended };

static Fixture *
create (void)
{
  static Fixture f;
  memset (&f, 0, sizeof f);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  f.loop = wl_tcp_loop_create (f.reactor);
  f.client = wl_fetch_client_create (f.loop);
  script_server_start (&f.server, f.loop);
  return &f;
}

static void
destroy (Fixture *f)
{
  wl_fetch_client_destroy (f->client);
  script_server_stop (&f->server);
  wl_tcp_loop_destroy (f->loop);
  wl_reactor_destroy (f->reactor);
}

static void
start (Fixture *f, uint16_t port, int is_fresh)
{
  static const char head[] = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n";
  WlFetchRequest request = {
    .address = htonl (INADDR_LOOPBACK),
    .port = port,
    .head = { (const uint8_t *)head, sizeof head - 1 },
    .body = { (const uint8_t *)"hi", 2 },
    .needs_new_connection = (uint8_t)is_fresh,
  };
  f->n_ended = 0;
  f->body_size = 0;
  f->status = 0;
  f->call = wl_fetch_client_start (f->client, &request, &handlers, f);
  ck_assert_ptr_nonnull (f->call);
}

static WlFetchEnd
call (Fixture *f, uint16_t port, int is_fresh)
{
  start (f, port, is_fresh);
  script_run (f->reactor, f->loop, 300000, &f->n_ended);
  ck_assert_int_eq (f->n_ended, 1);
  return f->end;
}

START_TEST (a_refused_connection_reports_not_sent)
{
  Fixture *f = create ();
  ck_assert_int_eq (call (f, 1, 0), WL_FETCH_NOT_SENT);
  destroy (f);
}
END_TEST

START_TEST (a_close_after_sending_is_broken_and_not_retried)
{
  Fixture *f = create ();
  script_server_add (&f->server, NULL, SCRIPT_CLOSE);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_BROKEN);
  script_run (f->reactor, f->loop, 30000, NULL);
  ck_assert_uint_eq (f->server.n_requests, 1);
  destroy (f);
}
END_TEST

START_TEST (a_reset_of_a_reused_connection_is_broken_and_not_retried)
{
  Fixture *f = create ();
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", SCRIPT_KEEP);
  script_server_add (&f->server, NULL, SCRIPT_RESET);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_BROKEN);
  script_run (f->reactor, f->loop, 30000, NULL);
  ck_assert_uint_eq (f->server.n_connections, 1);
  ck_assert_uint_eq (f->server.n_requests, 2);
  destroy (f);
}
END_TEST

START_TEST (a_fresh_call_opens_a_new_connection)
{
  Fixture *f = create ();
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", SCRIPT_KEEP);
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", SCRIPT_KEEP);
  call (f, f->server.port, 0);
  call (f, f->server.port, 1);
  ck_assert_uint_eq (f->server.n_connections, 2);
  destroy (f);
}
END_TEST

START_TEST (bytes_after_a_complete_response_close_the_connection)
{
  Fixture *f = create ();
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokEXTRA",
                     SCRIPT_KEEP);
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb", SCRIPT_KEEP);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  ck_assert_uint_eq (f->body_size, 1);
  ck_assert_uint_eq (f->server.n_connections, 2);
  destroy (f);
}
END_TEST

START_TEST (a_repeated_response_on_a_reused_connection_is_skipped)
{
  Fixture *f = create ();
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na",
                     SCRIPT_KEEP);
  script_server_add (&f->server,
                     "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\na"
                     "HTTP/1.1 201 OK\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\nb",
                     SCRIPT_KEEP);
  f->expected_id = "1";
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  f->expected_id = "2";
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  ck_assert_uint_eq (f->status, 201);
  ck_assert_mem_eq (f->body, "b", 1);
  destroy (f);
}
END_TEST

START_TEST (a_response_without_a_length_is_complete_on_close_but_not_on_reset)
{
  Fixture *f = create ();
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\n\r\nabc", SCRIPT_CLOSE);
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\n\r\nabc", SCRIPT_RESET);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_BROKEN);
  destroy (f);
}
END_TEST

START_TEST (a_response_that_is_too_short_is_broken_and_one_that_is_not_http_is_invalid)
{
  Fixture *f = create ();
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", SCRIPT_CLOSE);
  script_server_add (&f->server,
                     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                     SCRIPT_CLOSE);
  script_server_add (&f->server, "garbage\r\n\r\n", SCRIPT_KEEP);
  for (int i = 0; i < 2; i++)
    ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_BROKEN);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_INVALID);
  destroy (f);
}
END_TEST

/* Guards against the loss of a response that was sent before the body had been read. */
START_TEST (a_response_before_a_reset_is_read_while_the_body_is_being_sent)
{
  static const char head[] = "POST /x HTTP/1.1\r\nHost: h\r\ncontent-length: 8388608\r\n\r\n";
  static uint8_t body[8 << 20];
  Fixture *f = create ();
  WlFetchRequest request = {
    .address = htonl (INADDR_LOOPBACK),
    .port = f->server.port,
    .head = { (const uint8_t *)head, sizeof head - 1 },
    .body = { body, sizeof body },
  };
  /* The server takes a field name in lower case for a request without a body. */
  script_server_add (&f->server, "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno", SCRIPT_RESET);
  ck_assert_ptr_nonnull (wl_fetch_client_start (f->client, &request, &handlers, f));
  script_run (f->reactor, f->loop, 300000, &f->n_ended);
  ck_assert_int_eq (f->n_ended, 1);
  ck_assert_int_eq (f->end, WL_FETCH_COMPLETE);
  ck_assert_uint_eq (f->status, 503);
  destroy (f);
}
END_TEST

START_TEST (an_idle_connection_is_not_reused_after_its_announced_timeout)
{
  Fixture *f = create ();
  script_server_add (&f->server,
                     "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n",
                     SCRIPT_KEEP);
  script_server_add (&f->server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", SCRIPT_KEEP);
  call (f, f->server.port, 0);
  call (f, f->server.port, 0);
  ck_assert_uint_eq (f->server.n_connections, 2);
  destroy (f);
}
END_TEST

/* Guards against a response that is never read: the call before it had paused their connection. */
START_TEST (a_call_that_ends_paused_does_not_pause_the_next_one)
{
  static const char whole[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
  Fixture *f = create ();
  script_server_add (&f->server, whole, SCRIPT_KEEP);
  script_server_add (&f->server, whole, SCRIPT_KEEP);
  f->pauses_on_body = 1;
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  f->pauses_on_body = 0;
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  ck_assert_uint_eq (f->body_size, 1);
  ck_assert_uint_eq (f->server.n_connections, 1);
  destroy (f);
}
END_TEST

START_TEST (interim_responses_are_not_the_response)
{
  Fixture *f = create ();
  script_server_add (&f->server,
                     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-Id: 9\r\n\r\n"
                     "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
                     SCRIPT_KEEP);
  ck_assert_int_eq (call (f, f->server.port, 0), WL_FETCH_COMPLETE);
  ck_assert_uint_eq (f->status, 200);
  ck_assert_uint_eq (f->body_size, 1);
  destroy (f);
}
END_TEST

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (send (fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

/*
 * Guards against a repeated response that is taken for the response to the next request:
 * it had arrived on the idle connection, and was not read before the request was written.
 */
START_TEST (an_idle_connection_with_unread_bytes_is_not_reused)
{
  static const char whole[] = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
  uint16_t port;
  Fixture *f = create ();
  int listener = wl_test_listen (&port);
  start (f, port, 0);
  script_run (f->reactor, f->loop, 50000, NULL);
  int fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  send_text (fd, whole);
  script_run (f->reactor, f->loop, 300000, &f->n_ended);
  ck_assert_int_eq (f->end, WL_FETCH_COMPLETE);
  send_text (fd, whole);
  start (f, port, 0);
  script_run (f->reactor, f->loop, 50000, NULL);
  ck_assert_int_eq (f->n_ended, 0);
  int second = accept (listener, NULL, NULL);
  ck_assert_int_ge (second, 0);
  close (second);
  close (fd);
  close (listener);
  destroy (f);
}
END_TEST

/* Retries a call at the endpoint of the idle connection. */
static void
on_ended_retry (void *data, WlFetchEnd end)
{
  Fixture *f = data;
  f->end = end;
  if (f->n_ended++ > 0)
    return;
  WlFetchRequest request = { .address = htonl (INADDR_LOOPBACK), .port = f->retry_port };
  f->call = wl_fetch_client_start (f->client, &request, &handlers, f);
  ck_assert_ptr_nonnull (f->call);
}

/* Guards against a call that ends twice: its retry closed the next connection of the list. */
START_TEST (a_call_whose_retry_closes_an_idle_connection_ends_once)
{
  static const char whole[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  static const WlFetchHandlers retrying = { on_head, on_body, on_ended_retry };
  Fixture *f = create ();
  int listener = wl_test_listen (&f->retry_port);
  start (f, f->retry_port, 0);
  script_run (f->reactor, f->loop, 50000, NULL);
  int fd = accept (listener, NULL, NULL);
  ck_assert_int_ge (fd, 0);
  send_text (fd, whole);
  script_run (f->reactor, f->loop, 300000, &f->n_ended);
  ck_assert_int_eq (f->end, WL_FETCH_COMPLETE);
  send_text (fd, whole);
  uint64_t now_us = wl_clock_now_us ();
  wl_clock_set (now_us);
  WlFetchRequest request = { .address = htonl (INADDR_LOOPBACK), .port = f->server.port };
  f->n_ended = 0;
  ck_assert_ptr_nonnull (wl_fetch_client_start (f->client, &request, &retrying, f));
  wl_clock_set (now_us + WL_FETCH_CONNECT_US + 1);
  wl_fetch_client_tick (f->client, wl_clock_now_us ());
  ck_assert_int_eq (f->n_ended, 1);
  ck_assert_int_eq (f->end, WL_FETCH_NOT_SENT);
  wl_clock_set (0);
  close (fd);
  close (listener);
  destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_refused_connection_reports_not_sent),
    WL_TEST (a_close_after_sending_is_broken_and_not_retried),
    WL_TEST (a_reset_of_a_reused_connection_is_broken_and_not_retried),
    WL_TEST (a_fresh_call_opens_a_new_connection),
    WL_TEST (bytes_after_a_complete_response_close_the_connection),
    WL_TEST (a_repeated_response_on_a_reused_connection_is_skipped),
    WL_TEST (a_response_without_a_length_is_complete_on_close_but_not_on_reset),
    WL_TEST (a_response_that_is_too_short_is_broken_and_one_that_is_not_http_is_invalid),
    WL_TEST (a_response_before_a_reset_is_read_while_the_body_is_being_sent),
    WL_TEST (an_idle_connection_is_not_reused_after_its_announced_timeout),
    WL_TEST (a_call_that_ends_paused_does_not_pause_the_next_one),
    WL_TEST (interim_responses_are_not_the_response),
    WL_TEST (an_idle_connection_with_unread_bytes_is_not_reused),
    WL_TEST (a_call_whose_retry_closes_an_idle_connection_ends_once),
  };
  apr_initialize ();
  return wl_test_run ("fetch", tests, sizeof tests / sizeof tests[0]);
}
