#include <string.h>
#include <apr_general.h>
#include "wl_http_reader.h"
#include "wl_test.h"

/*
 * The HTTP reader. Guards against request smuggling by messages whose framing
 * servers read differently, against unbounded heads and bodies, and against
 * texts that are lost or split where a read ends.
 */

typedef struct
{
  WlHttpReader reader;
  char body[4096];
  size_t body_size;
  int heads;
  int completes;
} Fixture;

static void
on_head (void *data)
{
  ((Fixture *)data)->heads++;
}

static void
on_body (void *data, WlBytes bytes)
{
  Fixture *f = data;
  memcpy (f->body + f->body_size, bytes.data, bytes.size);
  f->body_size += bytes.size;
}

static Fixture *
create (int is_response)
{
  static Fixture f;
  wl_http_reader_clear (&f.reader);
  memset (&f, 0, sizeof f);
  f.reader.head_limit = 1024;
  f.reader.body_limit = 2048;
  f.reader.on_head = on_head;
  f.reader.on_body = on_body;
  f.reader.data = &f;
  wl_http_reader_init (&f.reader, is_response);
  return &f;
}

/* Counts complete messages and resets the flag, as users of a reader do. */
static void
count_complete (Fixture *f)
{
  f->completes += f->reader.is_complete;
  f->reader.is_complete = 0;
}

static uint32_t
feed_bytes (Fixture *f, const char *text, uint32_t size)
{
  uint32_t n = wl_http_reader_feed (&f->reader, (WlBytes){ (const uint8_t *)text, size });
  count_complete (f);
  return n;
}

static uint32_t
feed (Fixture *f, const char *text)
{
  return feed_bytes (f, text, (uint32_t)strlen (text));
}

static void
feed_bytewise (Fixture *f, const char *text)
{
  for (; *text != '\0'; text++)
    feed_bytes (f, text, 1);
}

static int
finish (Fixture *f)
{
  int is_finished = wl_http_reader_finish (&f->reader);
  count_complete (f);
  return is_finished;
}

START_TEST (target_and_fields_are_unchanged_at_any_read_boundary)
{
  static const char request[] = "POST /a%2fb/../c?x=%20&y=1 HTTP/1.1\r\nHost: h\r\nX-Odd:  a , b "
                                "\r\nContent-Length: 5\r\n\r\nhello";
  for (int bytewise = 0; bytewise < 2; bytewise++)
    {
      Fixture *f = create (0);
      if (bytewise)
        feed_bytewise (f, request);
      else
        feed (f, request);
      const WlHttpHead *h = &f->reader.head;
      ck_assert_int_eq (f->completes, 1);
      ck_assert_str_eq (wl_http_head_text (h, h->target), "/a%2fb/../c?x=%20&y=1");
      ck_assert_str_eq (wl_http_head_field (h, "x-odd"), "a , b ");
      ck_assert_uint_eq (f->body_size, 5);
      ck_assert_mem_eq (f->body, "hello", 5);
    }
}
END_TEST

START_TEST (ambiguous_framing_is_malformed)
{
  static const char *const requests[] = {
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
    "POST / HTTP/1.1\r\nHost : h\r\n\r\n",
    "PO ST / HTTP/1.1\r\n\r\n",
  };
  for (size_t i = 0; i < sizeof requests / sizeof *requests; i++)
    {
      Fixture *f = create (0);
      feed (f, requests[i]);
      ck_assert_msg (f->reader.fault == WL_HTTP_FAULT_MALFORMED, "request %zu: fault %d", i,
                     (int)f->reader.fault);
      ck_assert_int_eq (f->completes, 0);
    }
}
END_TEST

START_TEST (heads_and_bodies_above_their_limit_are_rejected)
{
  char request[4096] = "GET / HTTP/1.1\r\nHost: h\r\nX-Long: ";
  size_t n = strlen (request);
  memset (request + n, 'a', 1500);
  strcpy (request + n + 1500, "\r\n\r\n");
  Fixture *f = create (0);
  feed (f, request);
  ck_assert_int_eq (f->reader.fault, WL_HTTP_FAULT_HEAD_SIZE);
  f = create (0);
  feed (f, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n");
  ck_assert_int_eq (f->reader.fault, WL_HTTP_FAULT_BODY_SIZE);
  f = create (0);
  feed (f, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  memset (request, 'b', 2500);
  request[2500] = '\0';
  feed (f, "9c4\r\n");
  feed (f, request);
  ck_assert_int_eq (f->reader.fault, WL_HTTP_FAULT_BODY_SIZE);
}
END_TEST

START_TEST (reading_stops_at_the_end_of_a_message)
{
  static const char first[] = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
  char both[256];
  Fixture *f = create (0);
  snprintf (both, sizeof both, "%sGET /2 HTTP/1.1\r\nHost: h\r\n\r\n", first);
  uint32_t n = feed (f, both);
  ck_assert_uint_eq (n, strlen (first));
  ck_assert_str_eq (wl_http_head_text (&f->reader.head, f->reader.head.target), "/1");
  feed (f, both + n);
  ck_assert_int_eq (f->completes, 2);
  ck_assert_str_eq (wl_http_head_text (&f->reader.head, f->reader.head.target), "/2");
}
END_TEST

START_TEST (interim_responses_are_skipped)
{
  Fixture *f = create (1);
  feed (f, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  ck_assert_int_eq (f->heads, 1);
  ck_assert_int_eq (f->completes, 1);
  ck_assert_uint_eq (f->reader.head.status, 200);
}
END_TEST

START_TEST (a_response_without_a_length_ends_with_its_connection)
{
  Fixture *f = create (1);
  feed (f, "HTTP/1.1 200 OK\r\n\r\npart");
  ck_assert_int_eq (f->completes, 0);
  ck_assert (finish (f));
  ck_assert_int_eq (f->completes, 1);
  f = create (1);
  feed (f, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  ck_assert (!finish (f));
  ck_assert_int_eq (f->completes, 0);
}
END_TEST

START_TEST (fields_named_by_connection_are_hop_by_hop)
{
  Fixture *f = create (0);
  feed (
      f,
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nX-Other: 2\r\n\r\n");
  const WlHttpHead *h = &f->reader.head;
  ck_assert (wl_http_is_hop_field (h, "x-mine"));
  ck_assert (wl_http_is_hop_field (h, "Transfer-Encoding"));
  ck_assert (!wl_http_is_hop_field (h, "X-Other"));
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (target_and_fields_are_unchanged_at_any_read_boundary),
    WL_TEST (ambiguous_framing_is_malformed),
    WL_TEST (heads_and_bodies_above_their_limit_are_rejected),
    WL_TEST (reading_stops_at_the_end_of_a_message),
    WL_TEST (interim_responses_are_skipped),
    WL_TEST (a_response_without_a_length_ends_with_its_connection),
    WL_TEST (fields_named_by_connection_are_hop_by_hop),
  };
  apr_initialize ();
  return wl_test_run ("http_reader", tests, sizeof tests / sizeof tests[0]);
}
