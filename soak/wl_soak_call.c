#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <http_parser.h>
#include "wl_clock.h"
#include "wl_soak_call.h"
#include "wl_soak_conn.h"

enum
{
  READ_BYTES = 65536,
};

typedef struct Call
{
  WlSoakConn conn;
  http_parser parser;
  WlBuffer body;
  uint64_t ends_us;
  WlSoakAnswered answered;
  void *data;
  struct Call *next;
} Call;

static Call *first_call;

static void
finish (Call *call, int status)
{
  if (call->conn.fd < 0)
    return;
  wl_soak_conn_close (&call->conn, 0);
  wl_buffer_append (&call->body, (WlBytes){ (const uint8_t *)"", 1 });
  call->answered (call->data, status, (const char *)wl_buffer_bytes (&call->body).data);
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  Call *call = parser->data;
  wl_buffer_append (&call->body, (WlBytes){ (const uint8_t *)data, (uint32_t)size });
  return 0;
}

static int
on_complete (http_parser *parser)
{
  finish (parser->data, parser->status_code);
  return 0;
}

static const http_parser_settings callbacks
    = { .on_body = on_body, .on_message_complete = on_complete };

static void
on_readable (void *data, WlSoakConn *conn)
{
  Call *call = data;
  char bytes[READ_BYTES];
  int n = wl_soak_conn_read (conn, bytes, sizeof bytes);
  if (n == WL_SOAK_AGAIN)
    return;
  if (n >= 0)
    http_parser_execute (&call->parser, &callbacks, bytes, (size_t)n);
  if (n <= 0 || call->parser.http_errno != HPE_OK)
    finish (call, 0);
}

void
wl_soak_call (uint32_t ip, uint16_t port, const char *target, const char *body, uint64_t timeout_us,
              WlSoakAnswered answered, void *data)
{
  Call *call = calloc (1, sizeof *call);
  char head[512];
  size_t size = body != NULL ? strlen (body) : 0;
  if (call == NULL)
    abort ();
  call->conn.readable = on_readable;
  call->conn.data = call;
  call->answered = answered;
  call->data = data;
  call->ends_us = wl_clock_now_us () + timeout_us;
  call->next = first_call;
  first_call = call;
  http_parser_init (&call->parser, HTTP_RESPONSE);
  call->parser.data = call;
  int n = snprintf (head, sizeof head,
                    "%s HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    target, size);
  wl_soak_conn_connect (&call->conn, ip, port, 0);
  wl_soak_conn_send (&call->conn, head, (size_t)n);
  wl_soak_conn_send (&call->conn, body, size);
}

static void
drop (Call *call)
{
  wl_soak_conn_close (&call->conn, 0);
  wl_buffer_clear (&call->body);
  free (call);
}

void
wl_soak_call_tick (uint64_t now_us)
{
  for (Call **p = &first_call; *p != NULL;)
    {
      Call *call = *p;
      if (call->conn.fd >= 0 && now_us >= call->ends_us)
        finish (call, 0);
      if (call->conn.fd >= 0)
        {
          p = &call->next;
          continue;
        }
      /* Its sender may have begun another call, at the front of the list. */
      for (p = &first_call; *p != call;)
        p = &(*p)->next;
      *p = call->next;
      drop (call);
    }
}

void
wl_soak_call_close (void)
{
  while (first_call != NULL)
    {
      Call *call = first_call;
      first_call = call->next;
      drop (call);
    }
}
