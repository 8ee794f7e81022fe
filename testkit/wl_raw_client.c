#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <check.h>
#include "wl_http_reader.h"
#include "wl_raw_client.h"

static void
connect_to (RawClient *client, uint32_t address, uint16_t port, int buffer_bytes)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  memset (client, 0, sizeof *client);
  sa.sin_addr.s_addr = htonl (address);
  client->fd = socket (AF_INET, SOCK_STREAM, 0);
  if (buffer_bytes > 0)
    setsockopt (client->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
  ck_assert_int_eq (connect (client->fd, (struct sockaddr *)&sa, sizeof sa), 0);
  fcntl (client->fd, F_SETFL, O_NONBLOCK);
}

void
raw_client_connect (RawClient *client, uint16_t port)
{
  connect_to (client, INADDR_LOOPBACK, port, 0);
}

void
raw_client_connect_to (RawClient *client, uint32_t address, uint16_t port)
{
  connect_to (client, address, port, 0);
}

void
raw_client_connect_with_buffer (RawClient *client, uint16_t port, int buffer_bytes)
{
  connect_to (client, INADDR_LOOPBACK, port, buffer_bytes);
}

void
raw_client_send (RawClient *client, const char *text)
{
  ck_assert_int_eq (send (client->fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

/* Takes note of a receive that returned no bytes. */
static void
note_end (RawClient *client, ssize_t n)
{
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return;
  client->error = n < 0 ? errno : 0;
  client->is_closed = 1;
}

void
raw_client_receive (RawClient *client)
{
  size_t room = sizeof client->answer - client->size - 1;
  ssize_t n = recv (client->fd, client->answer + client->size, room, 0);
  if (n > 0)
    client->size += (size_t)n;
  else
    note_end (client, n);
  client->answer[client->size] = '\0';
}

void
raw_client_take (RawClient *client, size_t max_bytes)
{
  static char chunk[65536];
  while (max_bytes > 0 && !client->is_closed)
    {
      size_t size = max_bytes < sizeof chunk ? max_bytes : sizeof chunk;
      ssize_t n = recv (client->fd, chunk, size, 0);
      if (n <= 0)
        {
          note_end (client, n);
          return;
        }
      client->taken_bytes += (uint64_t)n;
      max_bytes -= (size_t)n;
    }
}

void
raw_client_close (RawClient *client)
{
  close (client->fd);
}

static void
on_head (void *data)
{
  (void)data;
}

static void
on_body (void *data, WlBytes bytes)
{
  RawResponse *r = data;
  size_t room = r->size < sizeof r->body ? sizeof r->body - r->size : 0;
  size_t n = bytes.size < room ? bytes.size : room;
  if (n > 0)
    memcpy (r->body + r->size, bytes.data, n);
  r->size += bytes.size;
}

void
raw_client_read (const RawClient *client, RawResponse *out)
{
  WlHttpReader reader = { .on_head = on_head,
                          .on_body = on_body,
                          .data = out,
                          .head_limit = sizeof client->answer,
                          .body_limit = sizeof client->answer };
  memset (out, 0, sizeof *out);
  wl_http_reader_init (&reader, 1);
  wl_http_reader_feed (&reader,
                       (WlBytes){ (const uint8_t *)client->answer, (uint32_t)client->size });
  ck_assert_int_eq (reader.fault, WL_HTTP_FAULT_NONE);
  out->status = reader.has_head ? reader.head.status : 0;
  out->is_whole = reader.is_complete;
  if (reader.has_head && !reader.is_complete && client->is_closed && client->error == 0)
    out->is_whole = wl_http_reader_finish (&reader);
  wl_http_reader_clear (&reader);
}
