#ifndef WL_WEB_H
#define WL_WEB_H

#include "wl_http_reader.h"
#include "wl_tcp.h"

/*
 * HTTP/1.1 server that passes on requests as received. A request is complete,
 * body included, when its handler is called; the response is sent at once or as
 * a stream. A client recognises an aborted response: the connection closes before
 * the announced length or the last chunk is complete.
 */

enum
{
  WL_WEB_PIPELINE_MAX_BYTES = 65536, /* received while a response is in progress */
};

typedef struct WlWeb WlWeb;
typedef struct WlWebRequest WlWebRequest;

/**
 * struct WlWebLimits - limits of size and time for clients
 * @head_bytes: largest start line and header fields
 * @body_bytes: largest body
 * @head_us: longest time from the first byte of a request to its last, body
 *   included
 * @idle_us: longest time between requests
 */
typedef struct
{
  uint64_t head_bytes;
  uint64_t body_bytes;
  uint64_t head_us;
  uint64_t idle_us;
} WlWebLimits;

/**
 * struct WlWebOptions - options and callbacks of a server
 * @address: IPv4 address, network byte order
 * @port: TCP port, 0 for any free one
 * @limits: limits of each connection
 * @bodies_max: bytes of the bodies held for all connections together, 0 for no
 *   limit; a request whose body does not fit is rejected with 503
 * @handle: called with each complete request
 * @disconnected: the client disconnected before the response ended, or the server is
 *   destroyed; the request is freed after the callback
 * @drained: all that was queued for the client is in the send buffer of the kernel; may
 *   be NULL
 * @data: passed to the callbacks
 */
typedef struct
{
  uint32_t address;
  uint16_t port;
  WlWebLimits limits;
  uint64_t bodies_max;
  void (*handle) (void *data, WlWebRequest *request);
  void (*disconnected) (void *data, WlWebRequest *request);
  void (*drained) (void *data, WlWebRequest *request);
  void *data;
} WlWebOptions;

/**
 * wl_web_create() - creates a server and listens
 * @loop: event loop of its connections
 * @options: see WlWebOptions
 * @out: receives the server
 *
 * Return: WL_OK, WL_ERROR_NO_MEMORY, or WL_ERROR_SYSTEM when the port cannot be
 * listened on.
 */
WlError wl_web_create (WlTcpLoop *loop, const WlWebOptions *options, WlWeb **out);

/** wl_web_destroy() - closes the port and all connections, frees the server; accepts NULL */
void wl_web_destroy (WlWeb *web);

/** wl_web_port() - port that the server listens on, 0 after wl_web_close_idle() */
uint16_t wl_web_port (const WlWeb *web);

/** wl_web_set_limits() - changes the limits, also of open connections */
void wl_web_set_limits (WlWeb *web, const WlWebLimits *limits);

/**
 * wl_web_drain() - closes each connection after the next response that begins
 *
 * A response that has begun has told its client that the connection stays, which
 * is kept: closing behind it would cross the client's next request.
 */
void wl_web_drain (WlWeb *web);

/**
 * wl_web_close_idle() - closes each connection as soon as it has no request
 * @web: the server
 *
 * Stops listening at the first call. An idle connection is read once more before
 * it is closed, so that a request that has arrived is still handled. Repeated
 * calls close the connections that have become idle meanwhile. Not to be called
 * from the server's callbacks.
 */
void wl_web_close_idle (WlWeb *web);

/**
 * wl_web_close() - as wl_web_close_idle(), and rejects requests that have arrived in part
 *
 * They get 503, since they have not run. Requests with the handler are not touched.
 */
void wl_web_close (WlWeb *web);

/** wl_web_connections() - number of open connections, without those that are being closed */
uint32_t wl_web_connections (const WlWeb *web);

/** wl_web_active() - number of requests passed to the handler and not yet answered */
uint32_t wl_web_active (const WlWeb *web);

/** wl_web_tick() - runs timers: closes connections that exceed the time limits */
void wl_web_tick (WlWeb *web, uint64_t now_us);

/** wl_web_head() - start line and header fields of a request */
const WlHttpHead *wl_web_head (const WlWebRequest *request);

/** wl_web_body() - body of a request */
WlBytes wl_web_body (const WlWebRequest *request);

/** wl_web_set_data() - attaches a pointer to a request */
void wl_web_set_data (WlWebRequest *request, void *data);

/** wl_web_data() - pointer attached to a request, NULL for none */
void *wl_web_data (const WlWebRequest *request);

/**
 * wl_web_reply() - sends a complete response
 * @request: the request; must not be used afterwards
 * @status: HTTP status
 * @fields: header field lines, each ending with CR LF
 * @body: response body; copied
 */
void wl_web_reply (WlWebRequest *request, uint32_t status, const char *fields, WlBytes body);

/**
 * wl_web_begin() - begins a streamed response with chunked transfer coding
 * @request: the request
 * @status: HTTP status
 * @fields: header field lines, each ending with CR LF
 */
void wl_web_begin (WlWebRequest *request, uint32_t status, const char *fields);

/** wl_web_write() - sends part of a streamed response; the bytes are copied */
void wl_web_write (WlWebRequest *request, WlBytes bytes);

/** wl_web_queued() - bytes of the response not yet passed to the kernel */
size_t wl_web_queued (const WlWebRequest *request);

/** wl_web_queued_all() - the same of all responses of the server, ended ones included */
uint64_t wl_web_queued_all (const WlWebRequest *request);

/**
 * wl_web_end() - ends a streamed response
 * @request: the request; must not be used afterwards
 * @is_complete: 0 aborts the response: the connection closes without a last chunk
 */
void wl_web_end (WlWebRequest *request, int is_complete);

#endif
