#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <unistd.h>
#include <apr_general.h>
#include "wl_clock.h"
#include "wl_peers.h"
#include "wl_test.h"
#include "wl_test_loopback.h"

/* Connections between nodes: delivery, wrong keys, silent connections. */

typedef struct
{
  uint32_t port;
  uint32_t peer_port;
  int received;
  char text[64];
} End;

static int
resolve (void *data, uint32_t node, const char **address, uint32_t *port)
{
  static char own[WL_TEST_IP_SIZE];
  (void)node;
  wl_test_loopback_text (1, own);
  *address = own;
  *port = ((End *)data)->peer_port;
  return *port != 0;
}

static void
receive (void *data, uint32_t from, WlBytes m)
{
  End *e = data;
  (void)from;
  e->received++;
  memcpy (e->text, m.data, m.size < sizeof e->text ? m.size : sizeof e->text - 1);
}

/* A listener that nobody serves. Returns its socket. */
static int
listen_only (int backlog, uint32_t *port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_addr = { htonl (wl_test_loopback (1)) } };
  socklen_t n = sizeof a;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&a, sizeof a), 0);
  ck_assert_int_eq (listen (fd, backlog), 0);
  getsockname (fd, (struct sockaddr *)&a, &n);
  *port = ntohs (a.sin_port);
  return fd;
}

static WlPeers *
open_end (WlReactor *reactor, uint32_t node, const char *key, End *end)
{
  WlPeers *peers = NULL;
  char own[WL_TEST_IP_SIZE];
  wl_test_loopback_text (1, own);
  uint16_t port;
  wl_test_free_ports (&port, 1);
  end->port = port;
  WlPeersOptions o = { .node = node,
                       .address = own,
                       .port = end->port,
                       .key = key,
                       .resolve = resolve,
                       .receive = receive,
                       .data = end };
  ck_assert_int_eq (wl_peers_create (reactor, &o, &peers), WL_OK);
  return peers;
}

static void
run (WlReactor *reactor, WlPeers *a, WlPeers *b, int rounds)
{
  for (int i = 0; i < rounds; i++)
    {
      wl_peers_flush (a);
      if (b != NULL)
        wl_peers_flush (b);
      wl_reactor_poll (reactor, 1000);
    }
}

static const WlBytes hello = { (const uint8_t *)"hello peer", 10 };

START_TEST (messages_go_both_ways_on_one_connection)
{
  WlReactor *reactor = NULL;
  End x = { 0 };
  End y = { 0 };
  wl_reactor_create (&reactor);
  WlPeers *a = open_end (reactor, 1, "key", &x);
  WlPeers *b = open_end (reactor, 2, "key", &y);
  x.peer_port = y.port;
  wl_peers_send (a, 2, hello, wl_clock_now_us ());
  run (reactor, a, b, 50);
  ck_assert_int_eq (y.received, 1);
  wl_peers_send (b, 1, hello, wl_clock_now_us ());
  run (reactor, a, b, 50);
  ck_assert_int_eq (x.received, 1);
  ck_assert_str_eq (x.text, "hello peer");
  wl_peers_destroy (a);
  wl_peers_destroy (b);
  wl_reactor_destroy (reactor);
}
END_TEST

START_TEST (a_wrong_key_is_rejected)
{
  WlReactor *reactor = NULL;
  End x = { 0 };
  End y = { 0 };
  wl_reactor_create (&reactor);
  WlPeers *a = open_end (reactor, 1, "key", &x);
  WlPeers *b = open_end (reactor, 2, "other", &y);
  x.peer_port = y.port;
  wl_peers_send (a, 2, hello, wl_clock_now_us ());
  run (reactor, a, b, 50);
  ck_assert_int_eq (y.received, 0);
  wl_peers_destroy (a);
  wl_peers_destroy (b);
  wl_reactor_destroy (reactor);
}
END_TEST

/* Guards against a node without descriptors that does nothing but try to accept. */
START_TEST (an_accept_that_fails_is_tried_again_after_a_pause)
{
  struct rlimit limit;
  struct rlimit none;
  WlReactor *reactor = NULL;
  End x = { 0 };
  End y = { 0 };
  wl_reactor_create (&reactor);
  uint64_t now_us = 1000000000;
  wl_clock_set (now_us);
  WlPeers *a = open_end (reactor, 1, "key", &x);
  WlPeers *b = open_end (reactor, 2, "key", &y);
  x.peer_port = y.port;
  wl_peers_send (a, 2, hello, now_us);
  ck_assert_int_eq (getrlimit (RLIMIT_NOFILE, &limit), 0);
  none = limit;
  none.rlim_cur = 0;
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &none), 0);
  run (reactor, a, b, 50);
  ck_assert_int_eq (setrlimit (RLIMIT_NOFILE, &limit), 0);
  run (reactor, a, b, 50);
  ck_assert_int_eq (y.received, 0);
  wl_clock_set (now_us += 100000);
  wl_peers_tick (b, now_us);
  run (reactor, a, b, 50);
  ck_assert_int_eq (y.received, 1);
  wl_peers_destroy (a);
  wl_peers_destroy (b);
  wl_reactor_destroy (reactor);
  wl_clock_set (0);
}
END_TEST

START_TEST (a_silent_connection_is_replaced)
{
  WlReactor *reactor = NULL;
  End x = { 0 };
  End y = { 0 };
  wl_reactor_create (&reactor);
  uint64_t now_us = 1000000000;
  wl_clock_set (now_us);
  WlPeers *a = open_end (reactor, 1, "key", &x);
  /* A listener that accepts and never answers: the other end has lost track. */
  int fd = listen_only (5, &x.peer_port);
  wl_peers_send (a, 2, hello, now_us);
  run (reactor, a, NULL, 20);
  wl_clock_set (now_us += WL_PEER_SILENCE_US + 1);
  wl_peers_tick (a, now_us);
  WlPeers *b = open_end (reactor, 2, "key", &y);
  x.peer_port = y.port;
  wl_peers_send (a, 2, hello, now_us);
  run (reactor, a, b, 50);
  ck_assert_int_eq (y.received, 1);
  close (fd);
  wl_clock_set (0);
  wl_peers_destroy (a);
  wl_peers_destroy (b);
  wl_reactor_destroy (reactor);
}
END_TEST

/*
 * The opening packet to a VM without power is lost; the kernel sends it again
 * after a second. A listener whose queue is full drops it as well.
 */
START_TEST (a_lost_opening_packet_is_not_waited_for)
{
  enum
  {
    FILLERS = 8,
  };
  WlReactor *reactor = NULL;
  End x = { 0 };
  End y = { 0 };
  int fillers[FILLERS];
  uint64_t now_us = 1000000000;
  struct sockaddr_in addr = { .sin_family = AF_INET, .sin_addr = { htonl (wl_test_loopback (1)) } };
  wl_reactor_create (&reactor);
  wl_clock_set (now_us);
  WlPeers *a = open_end (reactor, 1, "key", &x);
  int fd = listen_only (0, &x.peer_port);
  addr.sin_port = htons ((uint16_t)x.peer_port);
  for (int i = 0; i < FILLERS; i++)
    {
      fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (fillers[i], (struct sockaddr *)&addr, sizeof addr); /* some stay pending */
    }
  wl_peers_send (a, 2, hello, now_us);
  run (reactor, a, NULL, 5);
  wl_clock_set (now_us += WL_PEER_CONNECT_US + 1);
  wl_peers_tick (a, now_us);
  WlPeers *b = open_end (reactor, 2, "key", &y);
  x.peer_port = y.port;
  wl_peers_send (a, 2, hello, now_us);
  run (reactor, a, b, 50);
  ck_assert_int_eq (y.received, 1);
  for (int i = 0; i < FILLERS; i++)
    close (fillers[i]);
  close (fd);
  wl_clock_set (0);
  wl_peers_destroy (a);
  wl_peers_destroy (b);
  wl_reactor_destroy (reactor);
}
END_TEST

START_TEST (random_bytes_close_the_connection_and_nothing_else)
{
  WlReactor *reactor = NULL;
  End x = { 0 };
  wl_reactor_create (&reactor);
  WlPeers *a = open_end (reactor, 1, "key", &x);
  for (int i = 0; i < 50; i++)
    {
      uint8_t bytes[256];
      struct sockaddr_in addr
          = { .sin_family = AF_INET, .sin_addr = { htonl (wl_test_loopback (1)) } };
      addr.sin_port = htons ((uint16_t)x.port);
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      ck_assert_int_eq (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
      for (size_t k = 0; k < sizeof bytes; k++)
        bytes[k] = (uint8_t)(i * 31 + (int)k * 7);
      bytes[0] = (uint8_t)(i % 3);
      ck_assert_int_eq (write (fd, bytes, sizeof bytes), sizeof bytes);
      run (reactor, a, NULL, 3);
      close (fd);
    }
  ck_assert_int_eq (x.received, 0);
  wl_peers_destroy (a);
  wl_reactor_destroy (reactor);
}
END_TEST

/* Guards against queues bounded each by itself: those of many slow peers together are the memory.
 */
START_TEST (queues_to_all_peers_together_are_bounded)
{
  enum
  {
    PEERS = 40,
    FRAME = 1 << 20,
  };
  static uint8_t bytes[FRAME];
  WlReactor *reactor = NULL;
  End x = { 0 };
  uint64_t now_us = 1000000000;
  wl_reactor_create (&reactor);
  wl_clock_set (now_us);
  WlPeers *a = open_end (reactor, 1, "key", &x);
  int fd = listen_only (PEERS, &x.peer_port);
  for (uint32_t i = 0; i < PEERS; i++)
    wl_peers_send (a, i + 2, (WlBytes){ bytes, FRAME }, now_us);
  ck_assert_uint_le (wl_peers_traffic (a).queued_bytes, WL_PEERS_QUEUE_MAX);
  ck_assert_uint_gt (wl_peers_traffic (a).dropped_frames, 0);
  /* Closed connections give their share back. */
  wl_clock_set (now_us += WL_PEER_SILENCE_US + 1);
  wl_peers_tick (a, now_us);
  ck_assert_uint_eq (wl_peers_traffic (a).queued_bytes, 0);
  close (fd);
  wl_clock_set (0);
  wl_peers_destroy (a);
  wl_reactor_destroy (reactor);
}
END_TEST

/* Guards against memory, and time for each dial, that grow with all nodes that there ever were. */
START_TEST (dials_of_nodes_that_are_gone_are_forgotten)
{
  enum
  {
    NODES = 200,
  };
  WlReactor *reactor;
  End a = { 0 };
  uint64_t now_us = wl_clock_now_us ();
  ck_assert_int_eq (wl_reactor_create (&reactor), WL_OK);
  WlPeers *peers = open_end (reactor, 1, "k", &a);
  uint16_t unused;
  wl_test_free_ports (&unused, 1);
  a.peer_port = unused;
  for (uint32_t node = 2; node < NODES; node++)
    {
      now_us += WL_PEER_REDIAL_US;
      wl_peers_send (peers, node, (WlBytes){ (const uint8_t *)"x", 1 }, now_us);
    }
  ck_assert_uint_le (wl_peers_traffic (peers).dials, 2);
  wl_peers_destroy (peers);
  wl_reactor_destroy (reactor);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (messages_go_both_ways_on_one_connection),
    WL_TEST (a_wrong_key_is_rejected),
    WL_TEST (an_accept_that_fails_is_tried_again_after_a_pause),
    WL_TEST (a_silent_connection_is_replaced),
    WL_TEST (a_lost_opening_packet_is_not_waited_for),
    WL_TEST (queues_to_all_peers_together_are_bounded),
    WL_TEST (dials_of_nodes_that_are_gone_are_forgotten),
    WL_TEST (random_bytes_close_the_connection_and_nothing_else),
  };
  return wl_test_run ("peers", tests, sizeof tests / sizeof tests[0]);
}
