#ifndef WL_PEERS_H
#define WL_PEERS_H

#include "wl_codec.h"
#include "wl_reactor.h"

/*
 * Connections between nodes: TCP with frames of a 32-bit big-endian length, a
 * 16-byte keyed BLAKE2b digest and a msgpack payload. A connection carries
 * messages both ways. It is probed when nothing arrives, and closed when
 * nothing arrived for WL_PEER_SILENCE_US: something between the two ends may
 * have lost track of it. Messages queued on a closed connection are lost; the
 * protocols above repeat what matters.
 */

enum
{
  WL_PEER_PROBE_US = 700000,     /* quiet time after which a probe is sent */
  WL_PEER_SILENCE_US = 2000000,  /* quiet time after which a connection is closed */
  WL_PEER_IDLE_US = 30000000,    /* a connection without messages is closed */
  WL_PEER_CONNECT_US = 300000,   /* a lost opening packet is sent again after a second only */
  WL_PEER_REDIAL_US = 80000,     /* shortest time between two dials: below the nodes' tick */
  WL_PEER_FRAME_MAX = 4 << 20,   /* bytes of one frame */
  WL_PEER_QUEUE_MAX = 8 << 20,   /* bytes queued on one connection: two of the largest frames */
  WL_PEERS_QUEUE_MAX = 24 << 20, /* on all of them: a seventh of the smallest VM's 160 MB */
};

typedef struct WlPeers WlPeers;

/**
 * struct WlPeersOptions - how to listen and whom to tell
 * @node: id of this node
 * @address: IP number to listen on
 * @port: TCP port to listen on
 * @key: shared key of the system, may be empty
 * @resolve: finds the address of a node; returns 0 when unknown
 * @receive: called with each message
 * @data: passed to the functions
 */
typedef struct
{
  uint32_t node;
  const char *address;
  uint32_t port;
  const char *key;
  int (*resolve) (void *data, uint32_t node, const char **address, uint32_t *port);
  void (*receive) (void *data, uint32_t from, WlBytes message);
  void *data;
} WlPeersOptions;

/**
 * wl_peers_create() - listens for other nodes
 * @reactor: event loop
 * @options: see WlPeersOptions
 * @out: receives the connections
 *
 * Return: WL_OK, or WL_ERROR_SYSTEM when the port cannot be listened on.
 */
WlError wl_peers_create (WlReactor *reactor, const WlPeersOptions *options, WlPeers **out);

/**
 * wl_peers_destroy() - closes all connections
 * @peers: the connections, or NULL
 */
void wl_peers_destroy (WlPeers *peers);

/**
 * wl_peers_send() - queues a message
 * @peers: the connections
 * @node: destination
 * @message: encoded message
 * @now_us: monotonic time
 */
void wl_peers_send (WlPeers *peers, uint32_t node, WlBytes message, uint64_t now_us);

/**
 * struct WlPeersTraffic - what the connections carry
 * @queued_bytes: bytes not yet written, over all connections
 * @sent_bytes: bytes queued since the start
 * @dropped_frames: messages given up since the start because a queue was full
 * @dials: times of dials that are kept, until WL_PEER_REDIAL_US after each
 */
typedef struct
{
  uint64_t queued_bytes;
  uint64_t sent_bytes;
  uint64_t dropped_frames;
  uint32_t dials;
} WlPeersTraffic;

/** wl_peers_traffic() - what the connections carry */
WlPeersTraffic wl_peers_traffic (const WlPeers *peers);

/**
 * wl_peers_flush() - writes what is queued
 * @peers: the connections
 */
void wl_peers_flush (WlPeers *peers);

/**
 * wl_peers_tick() - probes quiet connections and closes silent ones
 * @peers: the connections
 * @now_us: monotonic time
 */
void wl_peers_tick (WlPeers *peers, uint64_t now_us);

#endif
