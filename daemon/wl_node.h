#ifndef WL_NODE_H
#define WL_NODE_H

#include "wl_buffer.h"
#include "wl_core.h"
#include "wl_http_client.h"
#include "wl_http_server.h"
#include "wl_options.h"
#include "wl_peers.h"
#include "wl_storage.h"

/*
 * The shell around the core: it turns bytes into events and effects into
 * bytes. Each outside protocol has one adapter: wl_callers.c (callers),
 * wl_engines.c (calls to endpoints), wl_endpoints.c (announcements) and
 * wl_operators.c (operators, reports, metrics).
 */

enum
{
  WL_NODE_SEND_US = 15000000, /* longer than an operator's call waits for the control group */
};

/** struct WlEngineCall - one call to an endpoint, see wl_engines.c */
typedef struct WlEngineCall WlEngineCall;

/**
 * struct WlOpenRequest - what the shell keeps of an open request
 * @id: request id
 * @exchange: the caller's exchange, NULL once it is gone
 * @is_streamed: the caller asked for a stream
 * @has_begun: the answer's head has been sent
 * @is_plain: request to a plain service
 * @path: path at the plain service
 * @key: idempotency key
 * @type: content type of the request
 * @body: request body
 * @answer: text collected for an answer that is not streamed
 * @calls: calls to endpoints
 */
typedef struct WlOpenRequest
{
  uint64_t id;
  WlExchange *exchange;
  uint8_t is_streamed;
  uint8_t has_begun;
  uint8_t is_plain;
  char path[WL_PATH_SIZE];
  char key[WL_KEY_SIZE];
  char type[WL_LABEL_SIZE];
  char service[WL_LABEL_SIZE];
  uint8_t *body;
  uint32_t body_size;
  WlBuffer answer;
  uint32_t plain_status;
  char plain_type[WL_LABEL_SIZE];
  WlEngineCall *calls;
} WlOpenRequest;

/** struct WlWaitingOperator - an operator's exchange that waits for the control group */
typedef struct WlWaitingOperator
{
  uint64_t id;
  WlExchange *exchange;
  uint8_t is_submit;
  uint8_t is_evacuate;
  uint8_t wants_text;
  WlSubmit submit;
  WlEvacuate evacuate;
  uint8_t *text;
  WlQuery query;
  uint64_t started_us;
  uint64_t retry_us;
  struct WlWaitingOperator *next;
} WlWaitingOperator;

typedef struct WlNode
{
  WlOptions options;
  WlReactor *reactor;
  WlPeers *peers;
  WlHttpServer *server;
  WlHttpClient *client;
  WlStorage *storage;
  WlCore *core;
  WlEffects *effects;
  apr_pool_t *pool;
  apr_hash_t *requests; /* WlOpenRequest by id */
  WlWaitingOperator *operators;
  uint32_t next_request;
  uint64_t next_operator;
  uint64_t tick_us;
  uint64_t second_us;
  uint64_t core_stopped_us; /* when the core had nothing left to do, 0 before */
  uint8_t is_stopped;
  WlError error; /* of the disk; the node then stops by itself */
  char *tls_certificate;
  char *tls_key;
} WlNode;

/**
 * wl_node_create() - starts a node
 * @options: checked settings
 * @out: receives the node
 *
 * Return: WL_OK or the reason, which has also been logged.
 */
WlError wl_node_create (const WlOptions *options, WlNode **out);

/**
 * wl_node_destroy() - frees a node
 * @node: the node, or NULL
 */
void wl_node_destroy (WlNode *node);

/**
 * wl_node_run_once() - waits for input and processes it
 * @node: the node
 */
void wl_node_run_once (WlNode *node);

/**
 * wl_node_event() - gives an event to the core
 * @node: the node
 * @event: the event; its times are filled in
 */
void wl_node_event (WlNode *node, WlEvent *event);

/**
 * wl_node_stop() - begins a graceful stop
 * @node: the node
 *
 * From now on requests are refused and connections are closed after their next response. The node
 * sets is_stopped once its requests, operators' calls and claims have ended and their responses
 * have been passed to the kernel, for which they have WL_NODE_SEND_US from the end of the last
 * request. What is cut then is logged (WL1107).
 */
void wl_node_stop (WlNode *node);

#endif
