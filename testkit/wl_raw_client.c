#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <check.h>
#include "wl_raw_client.h"

void
raw_client_connect_to (RawClient *client, uint32_t address, uint16_t port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET, .sin_port = htons (port) };
  memset (client, 0, sizeof *client);
  sa.sin_addr.s_addr = htonl (address);
  client->fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (connect (client->fd, (struct sockaddr *)&sa, sizeof sa), 0);
  fcntl (client->fd, F_SETFL, O_NONBLOCK);
}

void
raw_client_connect (RawClient *client, uint16_t port)
{
  raw_client_connect_to (client, INADDR_LOOPBACK, port);
}

void
raw_client_send (RawClient *client, const char *text)
{
  ck_assert_int_eq (send (client->fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

void
raw_client_receive (RawClient *client)
{
  size_t room = sizeof client->answer - client->size - 1;
  ssize_t n = recv (client->fd, client->answer + client->size, room, 0);
  if (n > 0)
    client->size += (size_t)n;
  else if (n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    client->is_closed = 1;
  client->answer[client->size] = '\0';
}

void
raw_client_close (RawClient *client)
{
  close (client->fd);
}
