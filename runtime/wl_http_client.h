#ifndef WL_HTTP_CLIENT_H
#define WL_HTTP_CLIENT_H

#include "wl_codec.h"
#include "wl_reactor.h"

/*
 * HTTP client on libcurl's multi interface, driven by the reactor. The
 * interface is what serf's would be, so that either library fits behind it.
 */

enum
{
  WL_HTTP_CONNECT_MS = 1000,
  WL_HTTP_POOL_AGE_S = 5, /* pooled connections idle for longer are not reused */
  WL_HTTP_POOL_MAX = 512, /* pooled connections */
};

typedef struct WlHttpClient WlHttpClient;
typedef struct WlHttpCall WlHttpCall;

/**
 * struct WlHttpResult - end of a call
 * @status: HTTP status, 0 when no answer arrived
 * @is_complete: the whole answer arrived
 * @is_sent: a byte of the request may have reached the server
 */
typedef struct
{
  uint32_t status;
  uint8_t is_complete;
  uint8_t is_sent;
} WlHttpResult;

/**
 * struct WlHttpParams - a call
 * @method: "GET" or "POST"
 * @address: IP number
 * @port: TCP port
 * @path: path and query
 * @type: content type of the body
 * @body: request body; copied
 * @header: one extra header line, NULL for none
 * @fresh: open a new connection and close it afterwards
 * @timeout_ms: longest time of the call, 0 for none
 * @received: called with each part of the answer, may be NULL
 * @done: called once at the end, not after wl_http_call_cancel()
 * @data: passed to the functions
 */
typedef struct
{
  const char *method;
  const char *address;
  uint32_t port;
  const char *path;
  const char *type;
  WlBytes body;
  const char *header;
  uint8_t fresh;
  uint64_t timeout_ms;
  void (*received) (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes);
  void (*done) (void *data, WlHttpCall *call, const WlHttpResult *result);
  void *data;
} WlHttpParams;

/**
 * wl_http_client_create() - creates a client
 * @reactor: event loop
 * @out: receives the client
 *
 * Return: WL_OK or WL_ERROR_SYSTEM.
 */
WlError wl_http_client_create (WlReactor *reactor, WlHttpClient **out);

/**
 * wl_http_client_destroy() - cancels all calls and frees the client
 * @client: the client, or NULL
 */
void wl_http_client_destroy (WlHttpClient *client);

/**
 * wl_http_client_call() - starts a call
 * @client: the client
 * @params: the call
 *
 * Return: the call; freed after done or wl_http_call_cancel().
 */
WlHttpCall *wl_http_client_call (WlHttpClient *client, const WlHttpParams *params);

/**
 * wl_http_call_cancel() - closes a call's connection without calling done
 * @call: the call
 */
void wl_http_call_cancel (WlHttpCall *call);

/**
 * wl_http_client_run() - processes timers and ended calls
 * @client: the client
 * @now_us: monotonic time
 */
void wl_http_client_run (WlHttpClient *client, uint64_t now_us);

#endif
