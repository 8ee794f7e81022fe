#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "wl_fetch.h"
#include "wl_clock.h"

/* One connection; idle when it carries no call. */
struct WlFetch
{
  WlFetchClient *client;
  WlTcp *tcp;
  uint32_t address;
  uint16_t port;
  WlHttpReader reader;
  WlFetchHandlers handlers;
  void *data;
  uint64_t idle_until_us; /* when an idle connection is closed */
  uint64_t idle_limit_us; /* longest idle time, from the latest response */
  uint64_t started_us;    /* start of the call */
  uint64_t skipped_bytes; /* of bodies that belong to other requests */
  uint32_t n_skipped;     /* responses that belong to other requests */
  uint8_t is_connected;
  uint8_t is_idle;
  uint8_t is_reused;    /* has carried an earlier call */
  uint8_t is_skipping;  /* the response being read belongs to an earlier request */
  uint8_t is_aborted;   /* a callback broke the response off */
  uint8_t has_response; /* the head of a response has arrived */
  uint8_t is_closed;
  WlFetch *next;
  WlFetch *previous;
};

struct WlFetchClient
{
  WlTcpLoop *loop;
  WlFetch *connections;
  WlFetch *closed; /* freed by the next tick */
};

WlFetchClient *
wl_fetch_client_create (WlTcpLoop *loop)
{
  WlFetchClient *client = calloc (1, sizeof *client);
  if (client == NULL)
    abort ();
  client->loop = loop;
  return client;
}

static void
free_closed (WlFetchClient *client)
{
  while (client->closed != NULL)
    {
      WlFetch *c = client->closed;
      client->closed = c->next;
      wl_http_reader_clear (&c->reader);
      free (c);
    }
}

/* Closes a connection. It is freed at the next tick, since its reader may be on the stack. */
static void
close_connection (WlFetch *c)
{
  if (c->is_closed)
    return;
  c->is_closed = 1;
  wl_tcp_close (c->tcp);
  if (c->previous != NULL)
    c->previous->next = c->next;
  else
    c->client->connections = c->next;
  if (c->next != NULL)
    c->next->previous = c->previous;
  c->next = c->client->closed;
  c->client->closed = c;
}

void
wl_fetch_client_destroy (WlFetchClient *client)
{
  if (client == NULL)
    return;
  while (client->connections != NULL)
    close_connection (client->connections);
  free_closed (client);
  free (client);
}

static void
end_call (WlFetch *c, WlFetchEnd end)
{
  WlFetchHandlers handlers = c->handlers;
  void *data = c->data;
  close_connection (c);
  handlers.ended (data, end);
}

static void
read_idle_limit (WlFetch *c)
{
  const char *keep_alive = wl_http_head_field (&c->reader.head, "Keep-Alive");
  const char *timeout = keep_alive != NULL ? strcasestr (keep_alive, "timeout=") : NULL;
  c->idle_limit_us = WL_FETCH_IDLE_US;
  if (timeout == NULL)
    return;
  uint64_t us = strtoull (timeout + strlen ("timeout="), NULL, 10) * 1000000;
  us = us > WL_FETCH_IDLE_SLACK_US ? us - WL_FETCH_IDLE_SLACK_US : 0;
  if (us < c->idle_limit_us)
    c->idle_limit_us = us;
}

/* Whether responses to other requests are so many, or so large, that this one may never come. */
static int
skips_too_much (const WlFetch *c)
{
  const WlHttpHead *head = &c->reader.head;
  return c->n_skipped > WL_FETCH_SKIPS_MAX || c->skipped_bytes > WL_FETCH_SKIPPED_MAX_BYTES
         || (head->has_length && head->length > WL_FETCH_SKIPPED_MAX_BYTES);
}

static void
on_head (void *data)
{
  WlFetch *c = data;
  read_idle_limit (c);
  WlFetchVerdict verdict = c->handlers.head (c->data, &c->reader.head);
  c->is_skipping = verdict == WL_FETCH_SKIP;
  c->n_skipped += c->is_skipping;
  c->is_aborted = verdict == WL_FETCH_ABORT || (c->is_skipping && skips_too_much (c));
  c->has_response = 1;
}

static void
on_body (void *data, WlBytes bytes)
{
  WlFetch *c = data;
  if (c->is_closed || c->is_aborted)
    return;
  if (!c->is_skipping)
    {
      c->is_aborted = !c->handlers.body (c->data, bytes);
      return;
    }
  c->skipped_bytes += bytes.size;
  c->is_aborted = skips_too_much (c);
}

/* Whether part of the request has not been received; the server may never read it. */
static int
is_sending (const WlFetch *c)
{
  return wl_tcp_undelivered (c->tcp) > 0;
}

/* Keeps the connection of a complete response for reuse, or closes it. */
static void
keep_idle (WlFetch *c)
{
  uint64_t now_us = wl_clock_now_us ();
  uint32_t n = 0;
  for (WlFetch *other = c->client->connections; other != NULL; other = other->next)
    n += other->is_idle && other->address == c->address && other->port == c->port;
  if (!c->reader.head.keep_alive || c->idle_limit_us == 0 || n >= WL_FETCH_IDLE_CONNECTIONS_MAX
      || is_sending (c))
    {
      close_connection (c);
      return;
    }
  wl_tcp_pause (c->tcp, 0);
  c->is_idle = 1;
  c->idle_until_us = now_us + c->idle_limit_us;
}

static void
on_received (void *data, WlBytes bytes)
{
  WlFetch *c = data;
  while (bytes.size > 0 && !c->is_closed)
    {
      if (c->is_idle)
        {
          close_connection (c); /* unsolicited bytes */
          return;
        }
      uint32_t n = wl_http_reader_feed (&c->reader, bytes);
      bytes.data += n;
      bytes.size -= n;
      if (c->is_closed)
        return;
      if (c->reader.fault != WL_HTTP_FAULT_NONE || c->is_aborted)
        {
          end_call (c, WL_FETCH_INVALID);
          return;
        }
      if (c->reader.is_complete)
        {
          c->reader.is_complete = 0;
          if (c->is_skipping)
            {
              c->is_skipping = 0;
              continue;
            }
          WlFetchHandlers handlers = c->handlers;
          void *call_data = c->data;
          if (bytes.size > 0)
            close_connection (c); /* surplus bytes would be read as the next response */
          else
            keep_idle (c);
          handlers.ended (call_data, WL_FETCH_COMPLETE);
          return;
        }
      if (n == 0)
        return;
    }
}

static void
on_ended (void *data, WlTcpEnd end)
{
  WlFetch *c = data;
  if (c->is_idle)
    {
      close_connection (c);
      return;
    }
  if (!c->is_connected)
    {
      end_call (c, WL_FETCH_NOT_SENT);
      return;
    }
  int has_head = c->reader.in_message && c->reader.has_head;
  if (end == WL_TCP_END_CLOSED && has_head && !c->is_skipping && !is_sending (c)
      && wl_http_reader_finish (&c->reader))
    end_call (c, WL_FETCH_COMPLETE);
  else if (!c->is_closed)
    end_call (c, c->is_reused || wl_tcp_has_sent (c->tcp) ? WL_FETCH_BROKEN : WL_FETCH_NOT_SENT);
}

static void
on_connected (void *data)
{
  WlFetch *c = data;
  c->is_connected = 1;
}

static const WlTcpHandlers tcp_handlers = {
  .connected = on_connected,
  .received = on_received,
  .ended = on_ended,
};

/* Bytes that arrived on an idle connection would be read as the response to the next request. */
static WlFetch *
find_idle (WlFetchClient *client, uint32_t address, uint16_t port, uint64_t now_us)
{
  for (WlFetch *c = client->connections; c != NULL;)
    {
      WlFetch *next = c->next;
      int is_match
          = c->is_idle && c->address == address && c->port == port && now_us < c->idle_until_us;
      if (is_match && !wl_tcp_has_input (c->tcp))
        return c;
      if (is_match)
        close_connection (c);
      c = next;
    }
  return NULL;
}

static WlFetch *
open_connection (WlFetchClient *client, uint32_t address, uint16_t port)
{
  WlFetch *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->client = client;
  c->address = address;
  c->port = port;
  c->tcp = wl_tcp_connect (client->loop, address, port, &tcp_handlers, c);
  if (c->tcp == NULL)
    {
      free (c);
      return NULL;
    }
  c->reader.on_head = on_head;
  c->reader.on_body = on_body;
  c->reader.data = c;
  c->reader.head_limit = WL_FETCH_HEAD_MAX_BYTES;
  c->reader.body_limit = UINT64_MAX;
  c->next = client->connections;
  if (c->next != NULL)
    c->next->previous = c;
  client->connections = c;
  return c;
}

WlFetch *
wl_fetch_client_start (WlFetchClient *client, const WlFetchRequest *request,
                       const WlFetchHandlers *handlers, void *data)
{
  uint64_t now_us = wl_clock_now_us ();
  WlFetch *c = NULL;
  if (!request->needs_new_connection)
    c = find_idle (client, request->address, request->port, now_us);
  if (c != NULL)
    c->is_reused = 1;
  else
    c = open_connection (client, request->address, request->port);
  if (c == NULL)
    return NULL;
  c->is_idle = 0;
  c->handlers = *handlers;
  c->data = data;
  c->started_us = now_us;
  c->n_skipped = 0;
  c->skipped_bytes = 0;
  c->reader.has_no_body = request->expects_no_response_body;
  c->reader.has_head = 0;
  c->reader.in_message = 0;
  wl_http_reader_init (&c->reader, 1);
  wl_tcp_write (c->tcp, request->head);
  if (request->body.size > 0)
    wl_tcp_write (c->tcp, request->body);
  return c;
}

void
wl_fetch_cancel (WlFetch *call)
{
  if (call != NULL)
    close_connection (call);
}

int
wl_fetch_is_first_response (const WlFetch *call)
{
  return !call->has_response;
}

void
wl_fetch_pause (WlFetch *call, int is_paused)
{
  wl_tcp_pause (call->tcp, is_paused);
}

void
wl_fetch_client_drop_idle (WlFetchClient *client, uint32_t address, uint16_t port)
{
  for (WlFetch *c = client->connections; c != NULL;)
    {
      WlFetch *next = c->next;
      if (c->is_idle && c->address == address && c->port == port)
        close_connection (c);
      c = next;
    }
}

void
wl_fetch_client_tick (WlFetchClient *client, uint64_t now_us)
{
  for (WlFetch *c = client->connections; c != NULL;)
    {
      WlFetch *next = c->next;
      if (c->is_idle && now_us >= c->idle_until_us)
        close_connection (c);
      else if (!c->is_idle && !c->is_connected && now_us > c->started_us + WL_FETCH_CONNECT_US)
        {
          end_call (c, WL_FETCH_NOT_SENT);
          next = client->connections; /* the callback may have closed others */
        }
      c = next;
    }
  free_closed (client);
}
