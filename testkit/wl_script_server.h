#ifndef WL_SCRIPT_SERVER_H
#define WL_SCRIPT_SERVER_H

#include "wl_tcp.h"

/*
 * An HTTP server that answers with given bytes, for tests of clients: answers
 * that are broken, doubled, late or missing are written out byte for byte.
 */

enum
{
  SCRIPT_STEPS_MAX = 32,
  SCRIPT_SEEN_MAX = 65536,
};

/**
 * enum ScriptThen - what happens to the connection after a step's bytes
 * @SCRIPT_KEEP: it stays open
 * @SCRIPT_CLOSE: it is closed in order
 * @SCRIPT_RESET: it is reset
 */
typedef enum
{
  SCRIPT_KEEP,
  SCRIPT_CLOSE,
  SCRIPT_RESET,
} ScriptThen;

/** struct ScriptStep - answer to one request; a NULL @bytes answers nothing */
typedef struct
{
  const char *bytes;
  ScriptThen then;
} ScriptStep;

/**
 * struct ScriptServer - a server and what it has seen
 * @steps: answers in order of the requests over all connections
 * @n_requests: requests seen
 * @n_connections: connections accepted
 * @n_closed: connections that the client closed
 * @seen: everything received
 */
typedef struct
{
  WlTcpLoop *loop;
  uint16_t port;
  ScriptStep steps[SCRIPT_STEPS_MAX];
  uint32_t n_steps;
  uint32_t n_requests;
  uint32_t n_connections;
  uint32_t n_closed;
  char seen[SCRIPT_SEEN_MAX];
  size_t seen_size;
  struct ScriptConnection *connections;
} ScriptServer;

/** script_server_start() - listens on a free loopback port */
void script_server_start (ScriptServer *server, WlTcpLoop *loop);

/** script_server_stop() - frees what its connections hold, before the loop is destroyed */
void script_server_stop (ScriptServer *server);

/** script_server_reset() - resets all connections */
void script_server_reset (ScriptServer *server);

/** script_server_send() - sends bytes on all connections */
void script_server_send (ScriptServer *server, const char *bytes);

/** script_server_add() - adds the answer to the next request */
void script_server_add (ScriptServer *server, const char *bytes, ScriptThen then);

/** script_run() - runs the event loop for some time, or until *done is not 0 */
void script_run (WlReactor *reactor, WlTcpLoop *loop, uint64_t duration_us, const int *done);

#endif
