#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include "wl_fetch.h"
#include "wl_clock.h"

/* One connection; idle when it carries no call. */
struct WlFetch
{
  WlFetchClient *calls;
  WlTcp *tcp;
  uint32_t address;
  uint16_t port;
  WlHttpReader reader;
  WlFetchHandlers handlers;
  void *data;
  uint64_t idle_until_us;
  uint64_t idle_limit_us;
  uint64_t started_us;
  uint8_t is_connected;
  uint8_t is_idle;
  uint8_t is_reused;
  uint8_t is_skipping; /* the answer being read belongs to an earlier request */
  uint8_t is_refused;  /* the owner takes no more of the body */
  uint8_t is_over;
  WlFetch *next;
  WlFetch *previous;
};

struct WlFetchClient
{
  WlTcpLoop *loop;
  WlFetch *all;
  WlFetch *dead;
};

WlFetchClient *
wl_fetch_client_create (WlTcpLoop *loop)
{
  WlFetchClient *calls = calloc (1, sizeof *calls);
  if (calls == NULL)
    abort ();
  calls->loop = loop;
  return calls;
}

static void
free_dead (WlFetchClient *calls)
{
  while (calls->dead != NULL)
    {
      WlFetch *c = calls->dead;
      calls->dead = c->next;
      wl_http_reader_clear (&c->reader);
      free (c);
    }
}

/* Frees the call at the next tick: its reader may be in use. */
static void
close_call (WlFetch *c)
{
  if (c->is_over)
    return;
  c->is_over = 1;
  wl_tcp_close (c->tcp);
  if (c->previous != NULL)
    c->previous->next = c->next;
  else
    c->calls->all = c->next;
  if (c->next != NULL)
    c->next->previous = c->previous;
  c->next = c->calls->dead;
  c->calls->dead = c;
}

void
wl_fetch_client_destroy (WlFetchClient *calls)
{
  if (calls == NULL)
    return;
  while (calls->all != NULL)
    close_call (calls->all);
  free_dead (calls);
  free (calls);
}

static void
end_call (WlFetch *c, WlFetchEnd end)
{
  WlFetchHandlers handlers = c->handlers;
  void *data = c->data;
  close_call (c);
  handlers.ended (data, end);
}

static void
note_idle_limit (WlFetch *c)
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

static void
on_head (void *data)
{
  WlFetch *c = data;
  note_idle_limit (c);
  c->is_skipping = !c->handlers.head (c->data, &c->reader.head);
}

static void
on_body (void *data, WlBytes bytes)
{
  WlFetch *c = data;
  if (!c->is_skipping && !c->is_over && !c->is_refused)
    c->is_refused = !c->handlers.body (c->data, bytes);
}

/* Puts the connection of a complete answer aside for the next call. */
static void
keep_idle (WlFetch *c)
{
  uint64_t now_us = wl_clock_now_us ();
  uint32_t n = 0;
  for (WlFetch *other = c->calls->all; other != NULL; other = other->next)
    n += other->is_idle && other->address == c->address && other->port == c->port;
  if (!c->reader.head.keep_alive || c->idle_limit_us == 0 || n >= WL_FETCH_IDLE_MAX)
    {
      close_call (c);
      return;
    }
  c->is_idle = 1;
  c->idle_until_us = now_us + c->idle_limit_us;
}

static void
on_received (void *data, WlBytes bytes)
{
  WlFetch *c = data;
  while (bytes.size > 0 && !c->is_over)
    {
      if (c->is_idle)
        {
          close_call (c); /* bytes that belong to no request */
          return;
        }
      uint32_t n = wl_http_reader_feed (&c->reader, bytes);
      bytes.data += n;
      bytes.size -= n;
      if (c->is_over)
        return;
      if (c->reader.fault != WL_HTTP_FAULT_NONE || c->is_refused)
        {
          end_call (c, WL_FETCH_BROKEN);
          return;
        }
      if (c->reader.complete)
        {
          c->reader.complete = 0;
          if (c->is_skipping)
            {
              c->is_skipping = 0;
              continue;
            }
          WlFetchHandlers handlers = c->handlers;
          void *call_data = c->data;
          if (bytes.size > 0)
            close_call (c); /* excess bytes: the connection cannot be trusted */
          else
            keep_idle (c);
          handlers.ended (call_data, WL_FETCH_WHOLE);
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
      close_call (c);
      return;
    }
  if (!c->is_connected)
    {
      end_call (c, WL_FETCH_NOT_SENT);
      return;
    }
  int was_begun = c->reader.begun && c->reader.head_done;
  if (end == WL_TCP_END_CLOSED && was_begun && !c->is_skipping
      && wl_http_reader_finish (&c->reader))
    end_call (c, WL_FETCH_WHOLE);
  else if (!c->is_over)
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

static WlFetch *
find_idle (WlFetchClient *calls, uint32_t address, uint16_t port, uint64_t now_us)
{
  for (WlFetch *c = calls->all; c != NULL; c = c->next)
    if (c->is_idle && c->address == address && c->port == port && now_us < c->idle_until_us)
      return c;
  return NULL;
}

static WlFetch *
open_call (WlFetchClient *calls, uint32_t address, uint16_t port)
{
  WlFetch *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->calls = calls;
  c->address = address;
  c->port = port;
  c->tcp = wl_tcp_connect (calls->loop, address, port, &tcp_handlers, c);
  if (c->tcp == NULL)
    {
      free (c);
      return NULL;
    }
  c->reader.on_head = on_head;
  c->reader.on_body = on_body;
  c->reader.data = c;
  c->reader.head_limit = WL_FETCH_HEAD_MAX;
  c->reader.body_limit = UINT64_MAX;
  c->next = calls->all;
  if (c->next != NULL)
    c->next->previous = c;
  calls->all = c;
  return c;
}

WlFetch *
wl_fetch_client_start (WlFetchClient *calls, const WlFetchRequest *request,
                       const WlFetchHandlers *handlers, void *data)
{
  uint64_t now_us = wl_clock_now_us ();
  WlFetch *c = NULL;
  if (!request->is_fresh)
    c = find_idle (calls, request->address, request->port, now_us);
  if (c != NULL)
    c->is_reused = 1;
  else
    c = open_call (calls, request->address, request->port);
  if (c == NULL)
    return NULL;
  c->is_idle = 0;
  c->handlers = *handlers;
  c->data = data;
  c->started_us = now_us;
  c->reader.skip_body = request->has_no_body;
  c->reader.head_done = 0;
  c->reader.begun = 0;
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
    close_call (call);
}

void
wl_fetch_pause (WlFetch *call, int is_paused)
{
  wl_tcp_pause (call->tcp, is_paused);
}

void
wl_fetch_client_drop_idle (WlFetchClient *calls, uint32_t address, uint16_t port)
{
  for (WlFetch *c = calls->all; c != NULL;)
    {
      WlFetch *next = c->next;
      if (c->is_idle && c->address == address && c->port == port)
        close_call (c);
      c = next;
    }
}

void
wl_fetch_client_tick (WlFetchClient *calls, uint64_t now_us)
{
  for (WlFetch *c = calls->all; c != NULL;)
    {
      WlFetch *next = c->next;
      if (c->is_idle && now_us >= c->idle_until_us)
        close_call (c);
      else if (!c->is_idle && !c->is_connected && now_us > c->started_us + WL_FETCH_CONNECT_US)
        end_call (c, WL_FETCH_NOT_SENT);
      c = next;
    }
  free_dead (calls);
}
