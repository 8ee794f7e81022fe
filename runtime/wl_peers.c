#include <stdlib.h>
#include <string.h>
#include <apr_network_io.h>
#include <apr_portable.h>
#include <sodium.h>
#include "wl_buffer.h"
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_peers.h"

enum
{
  LENGTH_SIZE = 4,
  DIGEST_SIZE = 16,
  HEADER_SIZE = LENGTH_SIZE + DIGEST_SIZE,
  READ_SIZE = 65536,
  BACKLOG = 256,
  ACCEPT_PAUSE_US = 50000, /* after an accept that failed: the connection goes on waiting */
};

typedef struct Connection
{
  WlPeers *peers;
  apr_pool_t *pool;
  apr_socket_t *socket;
  WlWatch *watch;
  uint32_t node; /* 0 until the other end has introduced itself */
  int is_connecting;
  int is_dead;
  int events;
  WlBuffer in;
  WlBuffer out;
  uint64_t heard_us;
  uint64_t probed_us;
  uint64_t used_us;
  struct Connection *next;
} Connection;

typedef struct
{
  uint32_t node;
  uint64_t dialled_us;
} Dial;

struct WlPeers
{
  WlReactor *reactor;
  WlPeersOptions options;
  apr_pool_t *pool;
  apr_socket_t *listener;
  WlWatch *watch;
  uint64_t resume_us; /* end of a pause of the listener, 0 for none */
  Connection *connections;
  Dial *dials;
  uint32_t n_dials;
  uint8_t key[crypto_generichash_KEYBYTES];
  uint64_t queued_bytes;
  uint64_t sent_bytes;
  uint64_t dropped_frames;
};

/* ---- frames ---- */

static void
frame_digest (const WlPeers *peers, WlBytes payload, uint8_t *out)
{
  crypto_generichash (out, DIGEST_SIZE, payload.data, payload.size, peers->key, sizeof peers->key);
}

static void
queue_frame (Connection *c, WlBytes payload)
{
  uint8_t header[HEADER_SIZE];
  if (wl_buffer_left (&c->out) + payload.size > WL_PEER_QUEUE_MAX
      || c->peers->queued_bytes + payload.size > WL_PEERS_QUEUE_MAX)
    {
      c->peers->dropped_frames++;
      wl_log_eventf (WL1106_PEER_QUEUE_FULL, "peer=%u queued_bytes=%zu all_bytes=%lu bytes=%u",
                     c->node, wl_buffer_left (&c->out), (unsigned long)c->peers->queued_bytes,
                     payload.size);
      return;
    }
  c->peers->sent_bytes += HEADER_SIZE + payload.size;
  c->peers->queued_bytes += HEADER_SIZE + payload.size;
  header[0] = (uint8_t)(payload.size >> 24);
  header[1] = (uint8_t)(payload.size >> 16);
  header[2] = (uint8_t)(payload.size >> 8);
  header[3] = (uint8_t)payload.size;
  frame_digest (c->peers, payload, header + LENGTH_SIZE);
  wl_buffer_append (&c->out, (WlBytes){ header, sizeof header });
  wl_buffer_append (&c->out, payload);
}

/* The first frame of either side: its node id in four bytes. */
static void
queue_introduction (Connection *c)
{
  uint32_t n = c->peers->options.node;
  uint8_t id[4] = { (uint8_t)(n >> 24), (uint8_t)(n >> 16), (uint8_t)(n >> 8), (uint8_t)n };
  queue_frame (c, (WlBytes){ id, sizeof id });
}

/* ---- connections ---- */

static void
close_connection (Connection *c)
{
  if (c->is_dead)
    return;
  c->is_dead = 1;
  wl_reactor_remove (c->watch);
  c->watch = NULL;
  apr_socket_close (c->socket);
}

static void
free_connection (Connection *c)
{
  close_connection (c);
  c->peers->queued_bytes -= wl_buffer_left (&c->out);
  wl_buffer_clear (&c->in);
  wl_buffer_clear (&c->out);
  apr_pool_destroy (c->pool);
  free (c);
}

static void
sweep_dead (WlPeers *peers)
{
  for (Connection **slot = &peers->connections; *slot != NULL;)
    {
      Connection *c = *slot;
      if (!c->is_dead)
        {
          slot = &c->next;
          continue;
        }
      *slot = c->next;
      free_connection (c);
    }
}

static void
lose_connection (Connection *c, uint32_t event)
{
  if (c->node != 0)
    wl_log_eventf (event, "peer=%u", c->node);
  close_connection (c);
}

static void
update_events (Connection *c)
{
  int events = WL_READABLE;
  if (c->is_dead)
    return;
  if (c->is_connecting || wl_buffer_left (&c->out) > 0)
    events |= WL_WRITABLE;
  if (events != c->events)
    wl_reactor_modify (c->watch, events);
  c->events = events;
}

static void
write_out (Connection *c)
{
  while (!c->is_dead && !c->is_connecting && wl_buffer_left (&c->out) > 0)
    {
      apr_size_t n = wl_buffer_left (&c->out);
      apr_status_t status
          = apr_socket_send (c->socket, (const char *)wl_buffer_bytes (&c->out).data, &n);
      wl_buffer_take (&c->out, n);
      c->peers->queued_bytes -= n;
      if (status != APR_SUCCESS && !APR_STATUS_IS_EAGAIN (status))
        lose_connection (c, WL1103_PEER_LOST);
      if (status != APR_SUCCESS || n == 0)
        break;
    }
  update_events (c);
}

static int
frame_is_sound (const Connection *c, WlBytes payload, const uint8_t *digest)
{
  uint8_t expected[DIGEST_SIZE];
  frame_digest (c->peers, payload, expected);
  return sodium_memcmp (expected, digest, sizeof expected) == 0;
}

static void
take_frame (Connection *c, WlBytes payload)
{
  if (c->node == 0)
    {
      const uint8_t *id = payload.data;
      if (payload.size != 4)
        {
          close_connection (c);
          return;
        }
      c->node = (uint32_t)id[0] << 24 | (uint32_t)id[1] << 16 | (uint32_t)id[2] << 8 | id[3];
      wl_log_eventf (WL1101_PEER_CONNECTED, "peer=%u", c->node);
      return;
    }
  if (payload.size == 4)
    return; /* a repeated introduction */
  if (payload.size == 1)
    {
      static const uint8_t answer[2] = { 0, 0 };
      queue_frame (c, (WlBytes){ answer, sizeof answer });
      return;
    }
  if (payload.size == 2)
    return; /* answer to a probe */
  c->used_us = c->heard_us;
  c->peers->options.receive (c->peers->options.data, c->node, payload);
}

static void
take_frames (Connection *c)
{
  while (!c->is_dead && wl_buffer_left (&c->in) >= HEADER_SIZE)
    {
      const uint8_t *h = wl_buffer_bytes (&c->in).data;
      uint32_t size
          = (uint32_t)h[0] << 24 | (uint32_t)h[1] << 16 | (uint32_t)h[2] << 8 | (uint32_t)h[3];
      if (size == 0 || size > WL_PEER_FRAME_MAX)
        {
          wl_log_eventf (WL1104_FRAME_REJECTED, "peer=%u size=%u", c->node, size);
          close_connection (c);
          return;
        }
      if (wl_buffer_left (&c->in) < HEADER_SIZE + size)
        return;
      WlBytes payload = { h + HEADER_SIZE, size };
      if (!frame_is_sound (c, payload, h + LENGTH_SIZE))
        {
          wl_log_eventf (WL1104_FRAME_REJECTED, "peer=%u reason=digest", c->node);
          close_connection (c);
          return;
        }
      take_frame (c, payload);
      wl_buffer_take (&c->in, HEADER_SIZE + size);
    }
}

static void
read_in (Connection *c)
{
  static char chunk[READ_SIZE];
  for (;;)
    {
      apr_size_t n = sizeof chunk;
      apr_status_t status = apr_socket_recv (c->socket, chunk, &n);
      if (n > 0)
        {
          c->heard_us = wl_clock_now_us ();
          wl_buffer_append (&c->in, (WlBytes){ (const uint8_t *)chunk, (uint32_t)n });
          take_frames (c);
          if (c->is_dead)
            return;
        }
      if (APR_STATUS_IS_EAGAIN (status))
        return;
      if (status != APR_SUCCESS || n == 0)
        {
          lose_connection (c, WL1103_PEER_LOST);
          return;
        }
      if (n < sizeof chunk)
        return;
    }
}

static void
on_ready (void *data, int ready)
{
  Connection *c = data;
  if (ready & WL_WRITABLE)
    {
      c->is_connecting = 0;
      write_out (c);
    }
  if ((ready & WL_READABLE) && !c->is_dead)
    read_in (c);
}

static Connection *
add_connection (WlPeers *peers, apr_socket_t *socket, apr_pool_t *pool, int is_connecting)
{
  apr_os_sock_t fd;
  Connection *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->peers = peers;
  c->pool = pool;
  c->socket = socket;
  c->is_connecting = is_connecting;
  c->heard_us = wl_clock_now_us ();
  c->used_us = c->heard_us;
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  apr_socket_opt_set (socket, APR_TCP_NODELAY, 1);
  apr_os_sock_get (&fd, socket);
  c->events = WL_READABLE | WL_WRITABLE;
  c->watch = wl_reactor_add (peers->reactor, fd, c->events, on_ready, c);
  c->next = peers->connections;
  peers->connections = c;
  queue_introduction (c);
  return c;
}

static void
on_accept (void *data, int ready)
{
  WlPeers *peers = data;
  apr_pool_t *pool;
  apr_socket_t *socket;
  (void)ready;
  apr_pool_create (&pool, peers->pool);
  apr_status_t status = apr_socket_accept (&socket, peers->listener, pool);
  if (status == APR_SUCCESS)
    {
      add_connection (peers, socket, pool, 0);
      return;
    }
  apr_pool_destroy (pool);
  if (APR_STATUS_IS_EAGAIN (status) || APR_STATUS_IS_ECONNABORTED (status)
      || APR_STATUS_IS_EINTR (status))
    return;
  wl_log_eventf (WL1105_ACCEPT_FAILED, "errno=%d", (int)status);
  wl_reactor_modify (peers->watch, 0);
  peers->resume_us = wl_clock_now_us () + ACCEPT_PAUSE_US;
}

WlError
wl_peers_create (WlReactor *reactor, const WlPeersOptions *options, WlPeers **out)
{
  apr_sockaddr_t *address;
  apr_os_sock_t fd;
  WlPeers *peers = calloc (1, sizeof *peers);
  if (peers == NULL)
    return WL_ERROR_NO_MEMORY;
  peers->reactor = reactor;
  peers->options = *options;
  crypto_generichash (peers->key, sizeof peers->key, (const unsigned char *)options->key,
                      strlen (options->key), NULL, 0);
  apr_pool_create (&peers->pool, NULL);
  if (apr_sockaddr_info_get (&address, options->address, APR_UNSPEC, (apr_port_t)options->port, 0,
                             peers->pool)
      != APR_SUCCESS)
    goto fail;
  if (apr_socket_create (&peers->listener, address->family, SOCK_STREAM, APR_PROTO_TCP, peers->pool)
      != APR_SUCCESS)
    goto fail;
  apr_socket_opt_set (peers->listener, APR_SO_REUSEADDR, 1);
  apr_socket_opt_set (peers->listener, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (peers->listener, 0);
  if (apr_socket_bind (peers->listener, address) != APR_SUCCESS)
    goto fail;
  if (apr_socket_listen (peers->listener, BACKLOG) != APR_SUCCESS)
    goto fail;
  apr_os_sock_get (&fd, peers->listener);
  peers->watch = wl_reactor_add (reactor, fd, WL_READABLE, on_accept, peers);
  *out = peers;
  return WL_OK;
fail:
  wl_peers_destroy (peers);
  return WL_ERROR_SYSTEM;
}

void
wl_peers_destroy (WlPeers *peers)
{
  if (peers == NULL)
    return;
  for (Connection *c = peers->connections; c != NULL; c = c->next)
    close_connection (c);
  sweep_dead (peers);
  wl_reactor_remove (peers->watch);
  apr_pool_destroy (peers->pool);
  free (peers->dials);
  free (peers);
}

/* ---- sending ---- */

static Connection *
find_connection (const WlPeers *peers, uint32_t node)
{
  Connection *best = NULL;
  for (Connection *c = peers->connections; c != NULL; c = c->next)
    if (c->node == node && !c->is_dead && (best == NULL || c->heard_us > best->heard_us))
      best = c;
  return best;
}

/* Also forgets the dials that no longer matter. */
static int
may_dial (WlPeers *peers, uint32_t node, uint64_t now_us)
{
  for (uint32_t i = 0; i < peers->n_dials;)
    if (now_us >= peers->dials[i].dialled_us + WL_PEER_REDIAL_US)
      peers->dials[i] = peers->dials[--peers->n_dials];
    else if (peers->dials[i].node == node)
      return 0;
    else
      i++;
  peers->dials = realloc (peers->dials, (peers->n_dials + 1) * sizeof *peers->dials);
  if (peers->dials == NULL)
    abort ();
  peers->dials[peers->n_dials++] = (Dial){ node, now_us };
  return 1;
}

static Connection *
dial (WlPeers *peers, uint32_t node, uint64_t now_us)
{
  const char *ip = NULL;
  uint32_t port = 0;
  apr_pool_t *pool;
  apr_sockaddr_t *address;
  apr_socket_t *socket;
  if (!peers->options.resolve (peers->options.data, node, &ip, &port))
    return NULL;
  if (!may_dial (peers, node, now_us))
    return NULL;
  apr_pool_create (&pool, peers->pool);
  if (apr_sockaddr_info_get (&address, ip, APR_UNSPEC, (apr_port_t)port, 0, pool) != APR_SUCCESS
      || apr_socket_create (&socket, address->family, SOCK_STREAM, APR_PROTO_TCP, pool)
             != APR_SUCCESS)
    {
      apr_pool_destroy (pool);
      return NULL;
    }
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  apr_status_t status = apr_socket_connect (socket, address);
  if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS (status))
    {
      apr_socket_close (socket);
      apr_pool_destroy (pool);
      return NULL;
    }
  Connection *c = add_connection (peers, socket, pool, 1);
  c->node = node;
  return c;
}

void
wl_peers_send (WlPeers *peers, uint32_t node, WlBytes message, uint64_t now_us)
{
  Connection *c = find_connection (peers, node);
  if (c == NULL)
    c = dial (peers, node, now_us);
  if (c == NULL)
    return;
  c->used_us = now_us;
  queue_frame (c, message);
}

WlPeersTraffic
wl_peers_traffic (const WlPeers *peers)
{
  return (WlPeersTraffic){
    .queued_bytes = peers->queued_bytes,
    .sent_bytes = peers->sent_bytes,
    .dropped_frames = peers->dropped_frames,
    .dials = peers->n_dials,
  };
}

void
wl_peers_flush (WlPeers *peers)
{
  for (Connection *c = peers->connections; c != NULL; c = c->next)
    if (!c->is_dead && wl_buffer_left (&c->out) > 0)
      write_out (c);
}

void
wl_peers_tick (WlPeers *peers, uint64_t now_us)
{
  static const uint8_t probe[1] = { 0 };
  if (peers->resume_us != 0 && now_us >= peers->resume_us)
    {
      peers->resume_us = 0;
      wl_reactor_modify (peers->watch, WL_READABLE);
    }
  for (Connection *c = peers->connections; c != NULL; c = c->next)
    {
      if (c->is_dead)
        continue;
      uint64_t silence_us = c->is_connecting ? WL_PEER_CONNECT_US : WL_PEER_SILENCE_US;
      if (now_us > c->heard_us + silence_us)
        lose_connection (c, WL1102_PEER_SILENT);
      else if (now_us > c->used_us + WL_PEER_IDLE_US)
        close_connection (c);
      else if (now_us > c->heard_us + WL_PEER_PROBE_US && now_us > c->probed_us + WL_PEER_PROBE_US)
        {
          c->probed_us = now_us;
          queue_frame (c, (WlBytes){ probe, sizeof probe });
        }
    }
  sweep_dead (peers);
}
