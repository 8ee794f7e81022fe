#ifndef WL_HTTP_SERVER_H
#define WL_HTTP_SERVER_H

#include "wl_codec.h"
#include "wl_reactor.h"

/*
 * HTTP server on libmicrohttpd, polled by the reactor. A handler gets a
 * complete exchange and answers at once or later, whole or as a stream.
 */

enum
{
  WL_HTTP_BODY_MAX = 16 << 20, /* bytes of a request body */
  WL_HTTP_HEADER_MAX = 32768,  /* bytes of request line and headers */
  WL_HTTP_CONNECTIONS_MAX = 8000,
  WL_HTTP_IDLE_S = 30,          /* a connection that sends nothing is closed */
  WL_HTTP_STREAM_MAX = 8 << 20, /* bytes queued for a slow reader */
};

typedef struct WlHttpServer WlHttpServer;
typedef struct WlExchange WlExchange;

/**
 * struct WlHttpOptions - how to listen and whom to tell
 * @address: IP number to listen on
 * @port: TCP port, 0 for any free one
 * @tls_certificate: PEM text, NULL for plain HTTP
 * @tls_key: PEM text of the private key
 * @handle: called with each complete exchange
 * @gone: called when the client closed the connection before the answer ended
 * @data: passed to the functions
 */
typedef struct
{
  const char *address;
  uint32_t port;
  const char *tls_certificate;
  const char *tls_key;
  void (*handle) (void *data, WlExchange *exchange);
  void (*gone) (void *data, WlExchange *exchange);
  void *data;
} WlHttpOptions;

/**
 * wl_http_server_create() - listens for clients
 * @reactor: event loop
 * @options: see WlHttpOptions
 * @out: receives the server
 *
 * Return: WL_OK, or WL_ERROR_SYSTEM when the port cannot be listened on.
 */
WlError wl_http_server_create (WlReactor *reactor, const WlHttpOptions *options,
                               WlHttpServer **out);

/**
 * wl_http_server_destroy() - closes all connections; logs the exchanges that this cuts (WL1107)
 * @server: the server, or NULL
 */
void wl_http_server_destroy (WlHttpServer *server);

/**
 * wl_http_server_port() - port that the server listens on
 * @server: the server
 *
 * Return: the port.
 */
uint32_t wl_http_server_port (const WlHttpServer *server);

/**
 * wl_http_server_run() - processes what is pending
 * @server: the server
 */
void wl_http_server_run (WlHttpServer *server);

/**
 * wl_http_server_drain() - closes each connection after its next response
 * @server: the server
 */
void wl_http_server_drain (WlHttpServer *server);

/**
 * wl_http_server_open() - exchanges in progress
 * @server: the server
 *
 * Return: number of requests whose head has been read and whose response has not been passed to
 * the kernel as a whole.
 */
uint32_t wl_http_server_open (const WlHttpServer *server);

/**
 * wl_exchange_method() - request method
 * @exchange: the exchange
 *
 * Return: "GET", "POST" and so on.
 */
const char *wl_exchange_method (const WlExchange *exchange);

/**
 * wl_exchange_path() - request path without the query
 * @exchange: the exchange
 *
 * Return: the path.
 */
const char *wl_exchange_path (const WlExchange *exchange);

/**
 * wl_exchange_header() - value of a request header
 * @exchange: the exchange
 * @name: header name
 *
 * Return: the value, or an empty string.
 */
const char *wl_exchange_header (const WlExchange *exchange, const char *name);

/**
 * wl_exchange_bearer() - key of the Authorization header
 * @exchange: the exchange
 *
 * Return: what follows "Bearer ", or an empty string.
 */
const char *wl_exchange_bearer (const WlExchange *exchange);

/**
 * wl_exchange_query() - value of a query parameter
 * @exchange: the exchange
 * @name: parameter name
 *
 * Return: the value, or an empty string.
 */
const char *wl_exchange_query (const WlExchange *exchange, const char *name);

/**
 * wl_exchange_body() - request body
 * @exchange: the exchange
 *
 * Return: the bytes.
 */
WlBytes wl_exchange_body (const WlExchange *exchange);

/**
 * wl_exchange_drop_body() - frees the request body
 * @exchange: the exchange
 */
void wl_exchange_drop_body (WlExchange *exchange);

/**
 * wl_exchange_set_data() - attaches a value to the exchange
 * @exchange: the exchange
 * @data: the value
 */
void wl_exchange_set_data (WlExchange *exchange, uint64_t data);

/**
 * wl_exchange_data() - value attached to the exchange
 * @exchange: the exchange
 *
 * Return: the value, 0 for none.
 */
uint64_t wl_exchange_data (const WlExchange *exchange);

/**
 * wl_exchange_add_header() - adds a response header, before the answer
 * @exchange: the exchange
 * @name: header name
 * @value: header value; copied
 */
void wl_exchange_add_header (WlExchange *exchange, const char *name, const char *value);

/**
 * wl_exchange_reply() - answers as a whole
 * @exchange: the exchange; must not be used afterwards
 * @status: HTTP status
 * @type: content type
 * @body: response body; copied
 */
void wl_exchange_reply (WlExchange *exchange, uint32_t status, const char *type, WlBytes body);

/**
 * wl_exchange_begin() - begins a streamed answer
 * @exchange: the exchange
 * @status: HTTP status
 * @type: content type
 */
void wl_exchange_begin (WlExchange *exchange, uint32_t status, const char *type);

/**
 * wl_exchange_write() - sends part of a streamed answer
 * @exchange: the exchange
 * @bytes: the part; copied
 *
 * Return: WL_OK, or WL_ERROR_NO_SPACE when the client is WL_HTTP_STREAM_MAX bytes behind. The
 * answer then ends as a broken one, which is logged (WL1107).
 */
WlError wl_exchange_write (WlExchange *exchange, WlBytes bytes);

/**
 * wl_exchange_end() - ends a streamed answer
 * @exchange: the exchange; must not be used afterwards
 * @is_whole: 0 aborts the connection, so that the client sees a broken body
 */
void wl_exchange_end (WlExchange *exchange, int is_whole);

/**
 * wl_exchange_client_closed() - tells whether the client has closed its end
 * @exchange: the exchange
 *
 * Return: 1 or 0.
 */
int wl_exchange_client_closed (const WlExchange *exchange);

#endif
