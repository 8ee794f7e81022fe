#ifndef WL_WEB_H
#define WL_WEB_H

#include "wl_http_reader.h"
#include "wl_tcp.h"

/*
 * HTTP/1.1 server that hands requests on as received. A request is complete,
 * body included, when its handler is called; answers may be given whole or as
 * a stream. A broken answer is visible: the connection closes before the
 * length or the last chunk that the head announced.
 */

enum
{
  WL_WEB_PIPELINE_MAX = 65536, /* bytes read ahead of the answer in progress */
};

typedef struct WlWeb WlWeb;
typedef struct WlWebRequest WlWebRequest;

/**
 * struct WlWebLimits - what a client may send, and how long it may take
 * @head_bytes: largest start line and header fields
 * @body_bytes: largest body
 * @head_us: longest time from the first byte of a request to its last
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
 * struct WlWebOptions - how to listen and whom to tell
 * @address: IPv4 number, network byte order
 * @port: TCP port, 0 for any free one
 * @limits: limits of connections
 * @bodies_max: bytes of all bodies held at once, 0 for no limit; what does not
 *   fit is refused with 503
 * @handle: called with each complete request
 * @gone: the client closed the connection before the answer ended; the
 *   request is freed afterwards
 * @drained: a slow client has taken what was queued for it; may be NULL
 * @data: passed to the functions
 */
typedef struct
{
  uint32_t address;
  uint16_t port;
  WlWebLimits limits;
  uint64_t bodies_max;
  void (*handle) (void *data, WlWebRequest *request);
  void (*gone) (void *data, WlWebRequest *request);
  void (*drained) (void *data, WlWebRequest *request);
  void *data;
} WlWebOptions;

/**
 * wl_web_create() - listens for clients
 * @loop: connections
 * @options: see WlWebOptions
 * @out: receives the server
 *
 * Return: WL_OK, or WL_ERROR_SYSTEM when the port cannot be listened on.
 */
WlError wl_web_create (WlTcpLoop *loop, const WlWebOptions *options, WlWeb **out);

/** wl_web_destroy() - closes all connections; accepts NULL */
void wl_web_destroy (WlWeb *web);

/** wl_web_port() - port that the server listens on */
uint16_t wl_web_port (const WlWeb *web);

/** wl_web_set_limits() - changes the limits of all connections */
void wl_web_set_limits (WlWeb *web, const WlWebLimits *limits);

/** wl_web_drain() - has every answer from now on close its connection */
void wl_web_drain (WlWeb *web);

/** wl_web_active() - number of requests read or being answered */
uint32_t wl_web_active (const WlWeb *web);

/** wl_web_tick() - applies the time limits */
void wl_web_tick (WlWeb *web, uint64_t now_us);

/** wl_web_head() - start line and header fields of a request */
const WlHttpHead *wl_web_head (const WlWebRequest *request);

/** wl_web_body() - body of a request */
WlBytes wl_web_body (const WlWebRequest *request);

/** wl_web_set_data() - attaches a value to a request */
void wl_web_set_data (WlWebRequest *request, void *data);

/** wl_web_data() - value attached to a request, NULL for none */
void *wl_web_data (const WlWebRequest *request);

/**
 * wl_web_reply() - answers as a whole
 * @request: the request; must not be used afterwards
 * @status: HTTP status
 * @fields: header field lines, each ending with CR LF
 * @body: response body; copied
 */
void wl_web_reply (WlWebRequest *request, uint32_t status, const char *fields, WlBytes body);

/**
 * wl_web_begin() - begins a streamed answer in chunks
 * @request: the request
 * @status: HTTP status
 * @fields: header field lines, each ending with CR LF
 */
void wl_web_begin (WlWebRequest *request, uint32_t status, const char *fields);

/** wl_web_write() - sends part of a streamed answer */
void wl_web_write (WlWebRequest *request, WlBytes bytes);

/** wl_web_queued() - bytes of the answer that the client has not yet taken */
size_t wl_web_queued (const WlWebRequest *request);

/**
 * wl_web_end() - ends a streamed answer
 * @request: the request; must not be used afterwards
 * @is_whole: 0 closes the connection, so that the answer is seen to be broken
 */
void wl_web_end (WlWebRequest *request, int is_whole);

#endif
