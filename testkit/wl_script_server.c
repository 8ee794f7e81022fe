#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>
#include "wl_clock.h"
#include "wl_script_server.h"

typedef struct ScriptConnection
{
  ScriptServer *server;
  WlTcp *tcp;
  size_t matched; /* bytes of the empty line seen so far */
  size_t body;    /* bytes of a request body still to come */
  char head[16384];
  size_t head_size;
  struct ScriptConnection *next;
} Connection;

static void
free_connection (Connection *c)
{
  Connection **slot = &c->server->connections;
  while (*slot != c)
    slot = &(*slot)->next;
  *slot = c->next;
  free (c);
}

static void
carry_out (Connection *c)
{
  ScriptServer *s = c->server;
  uint32_t step = s->n_requests++;
  if (step >= s->n_steps)
    return;
  const char *bytes = s->steps[step].bytes;
  if (bytes != NULL)
    wl_tcp_write (c->tcp, (WlBytes){ (const uint8_t *)bytes, (uint32_t)strlen (bytes) });
  switch (s->steps[step].then)
    {
    case SCRIPT_KEEP:
      return;
    case SCRIPT_CLOSE:
      wl_tcp_finish (c->tcp);
      break;
    case SCRIPT_RESET:
      wl_tcp_flush (s->loop);
      wl_tcp_reset (c->tcp);
      break;
    }
  free_connection (c);
}

/* Looks for the end of a request. Returns 1 when the connection was given up. */
static int
take_byte (Connection *c, char byte)
{
  static const char end[] = "\r\n\r\n";
  if (c->body > 0)
    {
      if (--c->body > 0)
        return 0;
    }
  else
    {
      if (c->head_size + 1 < sizeof c->head)
        c->head[c->head_size++] = byte;
      c->head[c->head_size] = '\0';
      c->matched = byte == end[c->matched] ? c->matched + 1 : byte == '\r';
      if (c->matched < sizeof end - 1)
        return 0;
      const char *length = strstr (c->head, "Content-Length: ");
      c->body = length != NULL ? strtoul (length + 16, NULL, 10) : 0;
      c->matched = 0;
      c->head_size = 0;
      if (c->body > 0)
        return 0;
    }
  uint32_t step = c->server->n_requests;
  int gone = step < c->server->n_steps && c->server->steps[step].then != SCRIPT_KEEP;
  carry_out (c);
  return gone;
}

static void
on_received (void *data, WlBytes bytes)
{
  Connection *c = data;
  ScriptServer *s = c->server;
  if (s->seen_size + bytes.size < sizeof s->seen)
    memcpy (s->seen + s->seen_size, bytes.data, bytes.size);
  s->seen_size += bytes.size;
  for (uint32_t i = 0; i < bytes.size; i++)
    if (take_byte (c, (char)bytes.data[i]))
      return;
}

static void
on_ended (void *data, WlTcpEnd end)
{
  Connection *c = data;
  (void)end;
  c->server->n_closed++;
  wl_tcp_close (c->tcp);
  free_connection (c);
}

static const WlTcpHandlers handlers = { .received = on_received, .ended = on_ended };

static void
on_accepted (void *data, WlTcp *tcp)
{
  Connection *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->server = data;
  c->tcp = tcp;
  c->server->n_connections++;
  c->next = c->server->connections;
  c->server->connections = c;
  wl_tcp_set_handlers (tcp, &handlers, c);
}

void
script_server_start (ScriptServer *server, WlTcpLoop *loop)
{
  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->port = wl_tcp_listen (loop, htonl (INADDR_LOOPBACK), 0, on_accepted, server);
}

void
script_server_stop (ScriptServer *server)
{
  while (server->connections != NULL)
    {
      wl_tcp_close (server->connections->tcp);
      free_connection (server->connections);
    }
}

void
script_server_reset (ScriptServer *server)
{
  while (server->connections != NULL)
    {
      wl_tcp_reset (server->connections->tcp);
      free_connection (server->connections);
    }
}

void
script_server_send (ScriptServer *server, const char *bytes)
{
  for (Connection *c = server->connections; c != NULL; c = c->next)
    wl_tcp_write (c->tcp, (WlBytes){ (const uint8_t *)bytes, (uint32_t)strlen (bytes) });
}

void
script_server_add (ScriptServer *server, const char *bytes, ScriptThen then)
{
  if (server->n_steps < SCRIPT_STEPS_MAX)
    server->steps[server->n_steps++] = (ScriptStep){ bytes, then };
}

void
script_run (WlReactor *reactor, WlTcpLoop *loop, uint64_t duration_us, const int *done)
{
  uint64_t until_us = wl_clock_now_us () + duration_us;
  while (wl_clock_now_us () < until_us && (done == NULL || !*done))
    {
      wl_tcp_flush (loop);
      wl_reactor_poll (reactor, 2000);
      wl_tcp_flush (loop);
    }
}
