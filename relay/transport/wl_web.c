#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_web.h"

/* A client connection, which has one request at a time. */
struct WlWebRequest
{
  WlWeb *web;
  WlTcp *tcp;
  WlHttpReader reader;
  WlBuffer body;
  WlBuffer input; /* received and not yet parsed */
  void *data;
  uint64_t state_since_us; /* when the connection became idle or began to read a request */
  uint8_t is_answering;    /* a request is with its handler */
  uint8_t is_reading;      /* part of a request has arrived */
  uint8_t is_closing;      /* the connection closes after the response in progress */
  uint8_t is_over_budget;  /* the body exceeds what bodies_max leaves */
  WlWebRequest *next;
  WlWebRequest *previous;
};

struct WlWeb
{
  WlTcpLoop *loop;
  WlWebOptions options;
  WlWebRequest *connections;
  uint16_t port;
  uint32_t n_active;
  uint64_t body_bytes; /* bytes of the bodies of all connections */
  uint8_t is_draining;
  WlWebRequest *next_read; /* next connection of read_before_close(), valid when others are freed */
};

static void
clear_body (WlWebRequest *c)
{
  c->web->body_bytes -= c->body.size;
  wl_buffer_clear (&c->body);
}

static void
free_connection (WlWebRequest *c)
{
  if (c->previous != NULL)
    c->previous->next = c->next;
  else
    c->web->connections = c->next;
  if (c->next != NULL)
    c->next->previous = c->previous;
  if (c->web->next_read == c)
    c->web->next_read = c->next;
  if (c->is_answering)
    c->web->n_active--;
  wl_http_reader_clear (&c->reader);
  clear_body (c);
  wl_buffer_clear (&c->input);
  free (c);
}

static void
close_connection (WlWebRequest *c)
{
  wl_tcp_close (c->tcp);
  free_connection (c);
}

static void
finish_connection (WlWebRequest *c)
{
  wl_tcp_finish (c->tcp);
  free_connection (c);
}

/*
 * Closes a connection that waits for a request. A request that crosses the close
 * is not read: the reset tells its client so, who may send it again.
 */
static void
close_idle (WlWebRequest *c)
{
  if (wl_tcp_undelivered (c->tcp) > 0)
    finish_connection (c);
  else
    close_connection (c);
}

static void
write_text (WlWebRequest *c, const char *text)
{
  wl_tcp_write (c->tcp, (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
}

static void
write_head (WlWebRequest *c, uint32_t status, const char *fields, const char *framing)
{
  char line[96];
  if (c->web->is_draining || !c->reader.head.keep_alive)
    c->is_closing = 1;
  snprintf (line, sizeof line, "HTTP/1.1 %u %s\r\n", status,
            http_status_str ((enum http_status)status));
  write_text (c, line);
  write_text (c, fields);
  write_text (c, framing);
  write_text (c, c->is_closing ? "Connection: close\r\n\r\n" : "\r\n");
}

static void
reject (WlWebRequest *c, uint32_t status, const char *fields)
{
  c->is_closing = 1;
  write_head (c, status, fields, "Content-Length: 0\r\n");
  finish_connection (c);
}

static void
reject_fault (WlWebRequest *c)
{
  switch (c->reader.fault)
    {
    case WL_HTTP_FAULT_HEAD_SIZE:
      reject (c, 431, "");
      break;
    case WL_HTTP_FAULT_BODY_SIZE:
      reject (c, 413, "");
      break;
    case WL_HTTP_FAULT_MALFORMED:
    case WL_HTTP_FAULT_NONE:
      reject (c, 400, "");
      break;
    }
}

/* Parses input up to a complete request; its handler may free the connection. */
static void
process_input (WlWebRequest *c)
{
  while (!c->is_answering && wl_buffer_left (&c->input) > 0)
    {
      uint32_t n = wl_http_reader_feed (&c->reader, wl_buffer_bytes (&c->input));
      wl_buffer_take (&c->input, n);
      if (!c->is_reading && c->reader.in_message)
        c->state_since_us = wl_clock_now_us ();
      c->is_reading = c->reader.in_message; /* line ends before a request are no part of it */
      if (c->reader.fault != WL_HTTP_FAULT_NONE)
        {
          reject_fault (c);
          return;
        }
      if (c->is_over_budget)
        {
          reject (c, 503, "Retry-After: 1\r\n");
          return;
        }
      if (c->reader.is_complete)
        {
          c->reader.is_complete = 0;
          c->is_answering = 1;
          c->web->n_active++;
          c->web->options.handle (c->web->options.data, c);
          return; /* a handler that has answered has also parsed the rest */
        }
      if (n == 0)
        return;
    }
}

static void
on_received (void *data, WlBytes bytes)
{
  WlWebRequest *c = data;
  if (c->is_answering && wl_buffer_left (&c->input) + bytes.size > WL_WEB_PIPELINE_MAX_BYTES)
    {
      c->is_closing = 1; /* drops the bytes; the connection closes after the response */
      return;
    }
  wl_buffer_append (&c->input, bytes);
  process_input (c);
}

static void
on_ended (void *data, WlTcpEnd end)
{
  WlWebRequest *c = data;
  if (c->is_answering)
    c->web->options.disconnected (c->web->options.data, c);
  if (end == WL_TCP_END_CLOSED)
    finish_connection (c); /* the client may still be receiving earlier responses */
  else
    close_connection (c);
}

static void
on_drained (void *data)
{
  WlWebRequest *c = data;
  if (c->is_answering && c->web->options.drained != NULL)
    c->web->options.drained (c->web->options.data, c);
}

static const WlTcpHandlers handlers = {
  .received = on_received,
  .ended = on_ended,
  .drained = on_drained,
};

static void
on_head (void *data)
{
  WlWebRequest *c = data;
  clear_body (c);
  if (c->reader.head.expects_continue)
    write_text (c, "HTTP/1.1 100 Continue\r\n\r\n");
}

static void
on_body (void *data, WlBytes bytes)
{
  WlWebRequest *c = data;
  WlWeb *web = c->web;
  if (web->options.bodies_max > 0 && web->body_bytes + bytes.size > web->options.bodies_max)
    {
      c->is_over_budget = 1;
      return;
    }
  web->body_bytes += bytes.size;
  wl_buffer_append (&c->body, bytes);
}

static void
apply_limits (WlWebRequest *c)
{
  c->reader.head_limit = c->web->options.limits.head_bytes;
  c->reader.body_limit = c->web->options.limits.body_bytes;
}

static void
on_accepted (void *data, WlTcp *tcp)
{
  WlWeb *web = data;
  WlWebRequest *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->web = web;
  c->tcp = tcp;
  c->state_since_us = wl_clock_now_us ();
  c->reader.on_head = on_head;
  c->reader.on_body = on_body;
  c->reader.data = c;
  apply_limits (c);
  wl_http_reader_init (&c->reader, 0);
  c->next = web->connections;
  if (c->next != NULL)
    c->next->previous = c;
  web->connections = c;
  wl_tcp_set_handlers (tcp, &handlers, c);
}

WlError
wl_web_create (WlTcpLoop *loop, const WlWebOptions *options, WlWeb **out)
{
  WlWeb *web = calloc (1, sizeof *web);
  if (web == NULL)
    return WL_ERROR_NO_MEMORY;
  web->loop = loop;
  web->options = *options;
  web->port = wl_tcp_listen (loop, options->address, options->port, on_accepted, web);
  if (web->port == 0)
    {
      free (web);
      return WL_ERROR_SYSTEM;
    }
  *out = web;
  return WL_OK;
}

static void
stop_listening (WlWeb *web)
{
  if (web->port != 0)
    wl_tcp_unlisten (web->loop, web->port);
  web->port = 0;
}

void
wl_web_destroy (WlWeb *web)
{
  if (web == NULL)
    return;
  stop_listening (web);
  while (web->connections != NULL)
    {
      WlWebRequest *c = web->connections;
      if (c->is_answering)
        web->options.disconnected (web->options.data, c);
      close_connection (c);
    }
  free (web);
}

uint16_t
wl_web_port (const WlWeb *web)
{
  return web->port;
}

void
wl_web_set_limits (WlWeb *web, const WlWebLimits *limits)
{
  web->options.limits = *limits;
  for (WlWebRequest *c = web->connections; c != NULL; c = c->next)
    apply_limits (c);
}

void
wl_web_drain (WlWeb *web)
{
  web->is_draining = 1;
}

static int
is_idle (const WlWebRequest *c)
{
  return !c->is_answering && !c->is_reading;
}

/* Handles requests that have arrived; their handlers may end other requests. */
static void
read_before_close (WlWeb *web, int with_partial)
{
  for (WlWebRequest *c = web->connections; c != NULL; c = web->next_read)
    {
      web->next_read = c->next;
      if (is_idle (c) || (with_partial && !c->is_answering))
        wl_tcp_read_now (c->tcp);
    }
}

static void
close_unused (WlWeb *web, int with_partial)
{
  stop_listening (web);
  web->is_draining = 1;
  read_before_close (web, with_partial);
  for (WlWebRequest *c = web->connections; c != NULL;)
    {
      WlWebRequest *next = c->next;
      if (is_idle (c))
        close_idle (c);
      else if (with_partial && !c->is_answering)
        reject (c, 503, "Retry-After: 0\r\n");
      c = next;
    }
}

void
wl_web_close_idle (WlWeb *web)
{
  close_unused (web, 0);
}

void
wl_web_close (WlWeb *web)
{
  close_unused (web, 1);
}

uint32_t
wl_web_connections (const WlWeb *web)
{
  uint32_t n = 0;
  for (const WlWebRequest *c = web->connections; c != NULL; c = c->next)
    n++;
  return n;
}

uint32_t
wl_web_active (const WlWeb *web)
{
  return web->n_active;
}

void
wl_web_tick (WlWeb *web, uint64_t now_us)
{
  for (WlWebRequest *c = web->connections; c != NULL;)
    {
      WlWebRequest *next = c->next;
      if (!c->is_answering && c->is_reading
          && now_us > c->state_since_us + web->options.limits.head_us)
        reject (c, 408, "");
      else if (!c->is_answering && !c->is_reading
               && now_us > c->state_since_us + web->options.limits.idle_us)
        close_idle (c);
      c = next;
    }
}

const WlHttpHead *
wl_web_head (const WlWebRequest *request)
{
  return &request->reader.head;
}

WlBytes
wl_web_body (const WlWebRequest *request)
{
  return wl_buffer_bytes (&request->body);
}

void
wl_web_set_data (WlWebRequest *request, void *data)
{
  request->data = data;
}

void *
wl_web_data (const WlWebRequest *request)
{
  return request->data;
}

/* Ends a response: closes the connection or goes on to the next request. */
static void
end_exchange (WlWebRequest *c)
{
  if (c->is_closing)
    {
      finish_connection (c);
      return;
    }
  c->is_answering = 0;
  c->data = NULL;
  c->web->n_active--;
  c->state_since_us = wl_clock_now_us ();
  clear_body (c);
  process_input (c);
}

void
wl_web_reply (WlWebRequest *request, uint32_t status, const char *fields, WlBytes body)
{
  char framing[64];
  snprintf (framing, sizeof framing, "Content-Length: %u\r\n", body.size);
  write_head (request, status, fields, status == 204 || status == 304 ? "" : framing);
  if (request->reader.head.method != HTTP_HEAD && body.size > 0)
    wl_tcp_write (request->tcp, body);
  end_exchange (request);
}

void
wl_web_begin (WlWebRequest *request, uint32_t status, const char *fields)
{
  write_head (request, status, fields, "Transfer-Encoding: chunked\r\n");
}

void
wl_web_write (WlWebRequest *request, WlBytes bytes)
{
  char size[16];
  if (bytes.size == 0 || request->reader.head.method == HTTP_HEAD)
    return;
  snprintf (size, sizeof size, "%x\r\n", bytes.size);
  write_text (request, size);
  wl_tcp_write (request->tcp, bytes);
  write_text (request, "\r\n");
}

size_t
wl_web_queued (const WlWebRequest *request)
{
  return wl_tcp_queued (request->tcp);
}

uint64_t
wl_web_queued_all (const WlWebRequest *request)
{
  uint64_t bytes = wl_tcp_finishing_queued (request->web->loop);
  for (const WlWebRequest *c = request->web->connections; c != NULL; c = c->next)
    bytes += wl_tcp_queued (c->tcp);
  return bytes;
}

void
wl_web_end (WlWebRequest *request, int is_complete)
{
  if (!is_complete)
    {
      finish_connection (request);
      return;
    }
  write_text (request, "0\r\n\r\n");
  end_exchange (request);
}
