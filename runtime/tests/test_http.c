#include <string.h>
#include <unistd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <apr_general.h>
#include <curl/curl.h>
#include "wl_clock.h"
#include "wl_http_client.h"
#include "wl_http_server.h"
#include "wl_test.h"
#include "wl_test_loopback.h"

/* HTTP server and client joined on one reactor. */

typedef struct
{
  WlReactor *reactor;
  WlHttpServer *server;
  WlHttpClient *client;
  WlExchange *waiting;
  int gone;
  int done;
  WlHttpResult result;
  char answer[256];
  size_t size;
} Fixture;

static void
handle (void *data, WlExchange *x)
{
  Fixture *f = data;
  const char *path = wl_exchange_path (x);
  if (strcmp (path, "/echo") == 0)
    wl_exchange_reply (x, 200, "text/plain", wl_exchange_body (x));
  else if (strcmp (path, "/stream") == 0 || strcmp (path, "/abort") == 0)
    {
      wl_exchange_begin (x, 200, "text/plain");
      wl_exchange_write (x, (WlBytes){ (const uint8_t *)"part", 4 });
      wl_exchange_end (x, strcmp (path, "/stream") == 0);
    }
  else if (strcmp (path, "/flood") == 0)
    {
      uint8_t *block = calloc (1, WL_HTTP_STREAM_MAX / 2 + 1);
      WlBytes bytes = { block, WL_HTTP_STREAM_MAX / 2 + 1 };
      wl_exchange_begin (x, 200, "text/plain");
      ck_assert_int_eq (wl_exchange_write (x, bytes), WL_OK);
      ck_assert_int_eq (wl_exchange_write (x, bytes), WL_ERROR_NO_SPACE);
      wl_exchange_write (x, (WlBytes){ (const uint8_t *)"end", 3 });
      wl_exchange_end (x, 1);
      free (block);
    }
  else
    {
      f->waiting = x;
      wl_exchange_set_data (x, 1);
    }
}

static void
gone (void *data, WlExchange *x)
{
  (void)x;
  ((Fixture *)data)->gone = 1;
}

static void
received (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes)
{
  Fixture *f = data;
  (void)call;
  (void)status;
  if (f->size + bytes.size < sizeof f->answer)
    memcpy (f->answer + f->size, bytes.data, bytes.size);
  f->size += bytes.size;
}

static void
done (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  Fixture *f = data;
  (void)call;
  f->done = 1;
  f->result = *result;
}

static void
open_fixture (Fixture *f)
{
  memset (f, 0, sizeof *f);
  ck_assert_int_eq (wl_reactor_create (&f->reactor), WL_OK);
  WlHttpOptions o = { .address = "127.0.0.1", .handle = handle, .gone = gone, .data = f };
  ck_assert_int_eq (wl_http_server_create (f->reactor, &o, &f->server), WL_OK);
  ck_assert_int_eq (wl_http_client_create (f->reactor, &f->client), WL_OK);
}

static void
close_fixture (Fixture *f)
{
  wl_http_client_destroy (f->client);
  wl_http_server_destroy (f->server);
  wl_reactor_destroy (f->reactor);
}

static WlHttpCall *
call (Fixture *f, const char *path, WlBytes body, uint32_t port)
{
  WlHttpParams p = { .method = "POST",
                     .address = "127.0.0.1",
                     .port = port,
                     .path = path,
                     .body = body,
                     .received = received,
                     .done = done,
                     .data = f };
  f->done = 0;
  f->size = 0;
  memset (f->answer, 0, sizeof f->answer);
  return wl_http_client_call (f->client, &p);
}

static void
run (Fixture *f, int rounds)
{
  for (int i = 0; i < rounds && !f->done; i++)
    {
      wl_reactor_poll (f->reactor, 2000);
      wl_http_client_run (f->client, wl_clock_now_us ());
      wl_http_server_run (f->server);
    }
}

START_TEST (bodies_go_both_ways)
{
  Fixture f;
  open_fixture (&f);
  call (&f, "/echo", (WlBytes){ (const uint8_t *)"hello", 5 }, wl_http_server_port (f.server));
  run (&f, 2000);
  ck_assert (f.result.is_complete && f.result.is_sent);
  ck_assert_str_eq (f.answer, "hello");
  close_fixture (&f);
}
END_TEST

START_TEST (an_aborted_stream_is_not_complete)
{
  Fixture f;
  open_fixture (&f);
  call (&f, "/stream", (WlBytes){ NULL, 0 }, wl_http_server_port (f.server));
  run (&f, 2000);
  ck_assert (f.result.is_complete);
  call (&f, "/abort", (WlBytes){ NULL, 0 }, wl_http_server_port (f.server));
  run (&f, 2000);
  ck_assert (f.done && !f.result.is_complete && f.result.is_sent);
  close_fixture (&f);
}
END_TEST

/* Guards against a stream that lacks its middle and ends as a whole one, for a slow reader. */
START_TEST (a_stream_with_dropped_bytes_is_not_complete)
{
  Fixture f;
  open_fixture (&f);
  call (&f, "/flood", (WlBytes){ NULL, 0 }, wl_http_server_port (f.server));
  run (&f, 20000);
  ck_assert (f.done && !f.result.is_complete);
  close_fixture (&f);
}
END_TEST

/* Guards against a broken stream that looks complete because its end is that of the connection. */
START_TEST (an_aborted_stream_of_a_draining_server_is_not_complete)
{
  Fixture f;
  open_fixture (&f);
  wl_http_server_drain (f.server);
  call (&f, "/stream", (WlBytes){ NULL, 0 }, wl_http_server_port (f.server));
  run (&f, 2000);
  ck_assert (f.result.is_complete);
  ck_assert_str_eq (f.answer, "part");
  call (&f, "/abort", (WlBytes){ NULL, 0 }, wl_http_server_port (f.server));
  run (&f, 2000);
  ck_assert (f.done && !f.result.is_complete && f.result.is_sent);
  close_fixture (&f);
}
END_TEST

START_TEST (a_refused_connection_has_sent_nothing)
{
  Fixture f;
  open_fixture (&f);
  uint32_t port = wl_http_server_port (f.server);
  wl_http_server_destroy (f.server);
  f.server = NULL;
  WlHttpOptions o = { .address = "127.0.0.1", .handle = handle, .gone = gone, .data = &f };
  ck_assert_int_eq (wl_http_server_create (f.reactor, &o, &f.server), WL_OK);
  if (wl_http_server_port (f.server) != port)
    {
      call (&f, "/echo", (WlBytes){ (const uint8_t *)"x", 1 }, port);
      run (&f, 2000);
      ck_assert (f.done && !f.result.is_sent);
    }
  close_fixture (&f);
}
END_TEST

START_TEST (a_late_answer_reaches_its_caller_and_a_gone_one_is_noticed)
{
  Fixture f;
  open_fixture (&f);
  uint32_t port = wl_http_server_port (f.server);
  call (&f, "/wait", (WlBytes){ NULL, 0 }, port);
  run (&f, 50);
  ck_assert_ptr_nonnull (f.waiting);
  wl_exchange_reply (f.waiting, 200, "text/plain", (WlBytes){ (const uint8_t *)"late", 4 });
  run (&f, 2000);
  ck_assert_str_eq (f.answer, "late");
  WlHttpCall *c = call (&f, "/wait", (WlBytes){ NULL, 0 }, port);
  run (&f, 50);
  ck_assert (!wl_exchange_client_closed (f.waiting));
  wl_http_call_cancel (c);
  run (&f, 50);
  ck_assert (wl_exchange_client_closed (f.waiting));
  wl_exchange_reply (f.waiting, 200, "text/plain", (WlBytes){ NULL, 0 });
  run (&f, 20);
  close_fixture (&f);
}
END_TEST

START_TEST (an_oversized_body_is_shed)
{
  Fixture f;
  open_fixture (&f);
  uint32_t size = WL_HTTP_BODY_MAX + 1000;
  uint8_t *body = calloc (1, size);
  call (&f, "/echo", (WlBytes){ body, size }, wl_http_server_port (f.server));
  run (&f, 20000);
  ck_assert_uint_eq (f.result.status, 413);
  free (body);
  close_fixture (&f);
}
END_TEST

/* Sends the first bytes of a response to the next request, and closes the connection. */
static void
answer_in_part (Fixture *f, int listener, const char *response, size_t size)
{
  char request[2048] = "";
  size_t got = 0;
  int fd = -1;
  for (int i = 0; i < 500 && strstr (request, "\r\n\r\n") == NULL; i++)
    {
      run (f, 1);
      if (fd < 0)
        fd = accept (listener, NULL, NULL);
      ssize_t n = fd < 0 ? 0 : recv (fd, request + got, sizeof request - 1 - got, MSG_DONTWAIT);
      got += n > 0 ? (size_t)n : 0;
      request[got] = '\0';
    }
  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (send (fd, response, size, MSG_NOSIGNAL), (ssize_t)size);
  close (fd);
}

/* Guards against a response that ends within its head, and counts as a whole one without body. */
START_TEST (a_response_that_is_closed_early_is_not_complete)
{
  static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nplain",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\npla\r\n2\r\nin\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nplain\r\n0\r\nX-Sum: 1\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nplain",
  };
  Fixture f;
  uint16_t port;
  open_fixture (&f);
  int listener = wl_test_listen (&port);
  for (size_t i = 0; i < sizeof responses / sizeof *responses; i++)
    for (size_t n = 0; n <= strlen (responses[i]); n++)
      {
        call (&f, "/cut", (WlBytes){ NULL, 0 }, port);
        answer_in_part (&f, listener, responses[i], n);
        run (&f, 500);
        ck_assert_int_eq (f.done, 1);
        size_t all = strlen (responses[i]);
        /* Without its very last LF a chunked body has ended, too: libcurl does not wait for it. */
        int may_be_complete = n == all || (n + 1 == all && responses[i][all - 1] == '\n');
        ck_assert_msg (!f.result.is_complete || may_be_complete,
                       "response %zu, cut after %zu of %zu bytes: status %u, complete", i, n, all,
                       f.result.status);
        ck_assert_msg (f.result.is_complete || n < all, "response %zu is not complete", i);
      }
  close (listener);
  close_fixture (&f);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  const WlTest tests[] = {
    WL_TEST (bodies_go_both_ways),
    WL_TEST (an_aborted_stream_is_not_complete),
    WL_TEST (a_stream_with_dropped_bytes_is_not_complete),
    WL_TEST (an_aborted_stream_of_a_draining_server_is_not_complete),
    WL_TEST (a_refused_connection_has_sent_nothing),
    WL_TEST (a_late_answer_reaches_its_caller_and_a_gone_one_is_noticed),
    WL_TEST (an_oversized_body_is_shed),
    WL_TEST (a_response_that_is_closed_early_is_not_complete),
  };
  return wl_test_run ("http", tests, sizeof tests / sizeof tests[0]);
}
