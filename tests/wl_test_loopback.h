#ifndef WL_TEST_LOOPBACK_H
#define WL_TEST_LOOPBACK_H

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include <netinet/in.h>
#include <sys/socket.h>

/*
 * Loopback addresses for this process alone: 127.x.y.1 and up, where x and y
 * come from the process id. A port that is free there stays free until the test
 * listens on it, since tests that run in parallel use other addresses.
 */

enum
{
  WL_TEST_IP_SIZE = 16,
  WL_TEST_PORTS_MAX = 8,
  WL_TEST_BACKLOG = 512, /* connections that wait to be accepted */
};

/** wl_test_loopback() - address @number (from 1) of this process, host byte order */
static inline uint32_t
wl_test_loopback (uint32_t number)
{
  uint32_t pid = (uint32_t)getpid ();
  return 127u << 24 | (1 + (pid >> 8) % 254) << 16 | (pid & 255) << 8 | number;
}

/** wl_test_loopback_text() - the same in dotted notation */
static inline void
wl_test_loopback_text (uint32_t number, char out[WL_TEST_IP_SIZE])
{
  uint32_t a = wl_test_loopback (number);
  snprintf (out, WL_TEST_IP_SIZE, "%u.%u.%u.%u", a >> 24, a >> 16 & 255, a >> 8 & 255, a & 255);
}

/** wl_test_free_ports() - finds @n different ports, all free at address 1 of this process */
static inline void
wl_test_free_ports (uint16_t *ports, int n)
{
  int fds[WL_TEST_PORTS_MAX];
  for (int i = 0; i < n; i++)
    {
      struct sockaddr_in a
          = { .sin_family = AF_INET, .sin_addr = { htonl (wl_test_loopback (1)) } };
      socklen_t size = sizeof a;
      fds[i] = socket (AF_INET, SOCK_STREAM, 0);
      if (fds[i] < 0 || bind (fds[i], (struct sockaddr *)&a, sizeof a) != 0
          || getsockname (fds[i], (struct sockaddr *)&a, &size) != 0)
        abort ();
      ports[i] = ntohs (a.sin_port);
    }
  for (int i = 0; i < n; i++)
    close (fds[i]);
}

/** wl_test_listen() - listens, without blocking, on a free port of 127.0.0.1 for plain sockets */
static inline int
wl_test_listen (uint16_t *port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_addr = { htonl (INADDR_LOOPBACK) } };
  socklen_t size = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, WL_TEST_BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&a, &size) != 0)
    abort ();
  *port = ntohs (a.sin_port);
  return fd;
}

#endif
