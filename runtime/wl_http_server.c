#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <microhttpd.h>
#include "wl_buffer.h"
#include "wl_events.h"
#include "wl_http_server.h"
#include "wl_log.h"

enum
{
  READ_BLOCK = 16384,
  HEADERS_MAX = 8,
};

typedef enum
{
  STATE_READING,
  STATE_WAITING,  /* suspended until the handler answers */
  STATE_ANSWERED, /* a response is ready to be queued */
  STATE_STREAMING,
  STATE_ENDED,
} State;

struct WlHttpServer
{
  WlHttpOptions options;
  struct MHD_Daemon *daemon;
  WlReactor *reactor;
  WlWatch *watch;
  uint32_t port;
  int needs_run;
  int is_draining;
  int is_closing;
  WlExchange *exchanges;
  uint32_t n_open; /* exchanges in the list */
};

struct WlExchange
{
  WlHttpServer *server;
  struct MHD_Connection *connection;
  State state;
  char *method;
  char *path;
  WlBuffer body;
  int too_large;
  struct MHD_Response *response;
  uint32_t status;
  char *header_names[HEADERS_MAX];
  char *header_values[HEADERS_MAX];
  uint32_t n_headers;
  WlBuffer out;
  int is_suspended;
  int is_streamed;
  int stream_ended;
  int stream_whole;
  int is_gone;
  uint64_t data;
  WlExchange *previous;
  WlExchange *next;
};

/* ---- requests ---- */

const char *
wl_exchange_method (const WlExchange *exchange)
{
  return exchange->method;
}

const char *
wl_exchange_path (const WlExchange *exchange)
{
  return exchange->path;
}

const char *
wl_exchange_header (const WlExchange *exchange, const char *name)
{
  const char *v = MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND, name);
  return v != NULL ? v : "";
}

const char *
wl_exchange_bearer (const WlExchange *exchange)
{
  const char *v = wl_exchange_header (exchange, MHD_HTTP_HEADER_AUTHORIZATION);
  return strncmp (v, "Bearer ", 7) == 0 ? v + 7 : "";
}

const char *
wl_exchange_query (const WlExchange *exchange, const char *name)
{
  const char *v = MHD_lookup_connection_value (exchange->connection, MHD_GET_ARGUMENT_KIND, name);
  return v != NULL ? v : "";
}

WlBytes
wl_exchange_body (const WlExchange *exchange)
{
  return wl_buffer_bytes (&exchange->body);
}

void
wl_exchange_drop_body (WlExchange *exchange)
{
  wl_buffer_clear (&exchange->body);
}

void
wl_exchange_set_data (WlExchange *exchange, uint64_t data)
{
  exchange->data = data;
}

uint64_t
wl_exchange_data (const WlExchange *exchange)
{
  return exchange->data;
}

static void
append_body (WlExchange *x, const char *data, size_t n)
{
  if (wl_buffer_left (&x->body) + n > WL_HTTP_BODY_MAX)
    {
      x->too_large = 1;
      wl_exchange_drop_body (x);
    }
  if (!x->too_large)
    wl_buffer_append (&x->body, (WlBytes){ (const uint8_t *)data, (uint32_t)n });
}

/* ---- answers ---- */

static void
log_cut (const WlExchange *x, const char *reason)
{
  wl_log_eventf (WL1107_RESPONSE_CUT, "reason=%s path=%s state=%d unsent=%zu", reason, x->path,
                 (int)x->state, wl_buffer_left (&x->out));
}

void
wl_exchange_add_header (WlExchange *exchange, const char *name, const char *value)
{
  if (exchange->n_headers == HEADERS_MAX)
    return;
  exchange->header_names[exchange->n_headers] = strdup (name);
  exchange->header_values[exchange->n_headers++] = strdup (value);
}

static void
finish_response (WlExchange *x, uint32_t status, const char *type)
{
  x->status = status;
  MHD_add_response_header (x->response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  for (uint32_t i = 0; i < x->n_headers; i++)
    MHD_add_response_header (x->response, x->header_names[i], x->header_values[i]);
}

static void
resume (WlExchange *x)
{
  if (!x->is_suspended)
    return;
  x->is_suspended = 0;
  x->server->needs_run = 1;
  MHD_resume_connection (x->connection);
}

void
wl_exchange_reply (WlExchange *exchange, uint32_t status, const char *type, WlBytes body)
{
  if (exchange->is_gone)
    return;
  exchange->response = MHD_create_response_from_buffer (body.size, (void *)(uintptr_t)body.data,
                                                        MHD_RESPMEM_MUST_COPY);
  finish_response (exchange, status, type);
  exchange->state = STATE_ANSWERED;
  exchange->data = 0;
  resume (exchange);
}

static ssize_t
read_stream (void *data, uint64_t position, char *out, size_t max)
{
  WlExchange *x = data;
  size_t n = wl_buffer_left (&x->out);
  (void)position;
  if (n > 0)
    {
      if (n > max)
        n = max;
      memcpy (out, wl_buffer_bytes (&x->out).data, n);
      wl_buffer_take (&x->out, n);
      return (ssize_t)n;
    }
  if (x->stream_ended)
    return x->stream_whole ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
  x->is_suspended = 1;
  MHD_suspend_connection (x->connection);
  return 0;
}

void
wl_exchange_begin (WlExchange *exchange, uint32_t status, const char *type)
{
  if (exchange->is_gone || exchange->state != STATE_WAITING)
    return;
  exchange->is_streamed = 1;
  exchange->response = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, READ_BLOCK, read_stream,
                                                          exchange, NULL);
  finish_response (exchange, status, type);
  exchange->state = STATE_ANSWERED;
  resume (exchange);
}

WlError
wl_exchange_write (WlExchange *exchange, WlBytes bytes)
{
  WlExchange *x = exchange;
  if (x->is_gone)
    return WL_OK;
  if (x->stream_ended)
    return WL_ERROR_NO_SPACE;
  if (wl_buffer_left (&x->out) + bytes.size > WL_HTTP_STREAM_MAX)
    {
      log_cut (x, "slow");
      x->stream_ended = 1;
      resume (x);
      return WL_ERROR_NO_SPACE;
    }
  wl_buffer_append (&x->out, bytes);
  resume (x);
  return WL_OK;
}

void
wl_exchange_end (WlExchange *exchange, int is_whole)
{
  exchange->stream_whole = is_whole && !exchange->stream_ended;
  exchange->stream_ended = 1;
  exchange->data = 0;
  resume (exchange);
}

int
wl_exchange_client_closed (const WlExchange *exchange)
{
  char byte;
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info == NULL)
    return 0;
  return recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* ---- libmicrohttpd callbacks ---- */

static void
add_exchange (WlHttpServer *server, WlExchange *x)
{
  x->next = server->exchanges;
  if (x->next != NULL)
    x->next->previous = x;
  server->exchanges = x;
  server->n_open++;
}

static void
remove_exchange (WlHttpServer *server, WlExchange *x)
{
  if (x->previous != NULL)
    x->previous->next = x->next;
  else
    server->exchanges = x->next;
  if (x->next != NULL)
    x->next->previous = x->previous;
  server->n_open--;
}

static enum MHD_Result
queue_response (WlExchange *x)
{
  if (x->server->is_draining)
    MHD_add_response_header (x->response, MHD_HTTP_HEADER_CONNECTION, "close");
  enum MHD_Result result = MHD_queue_response (x->connection, x->status, x->response);
  MHD_destroy_response (x->response);
  x->response = NULL;
  x->state = x->is_streamed ? STATE_STREAMING : STATE_ENDED;
  return result;
}

static void
handle_complete (WlExchange *x)
{
  static const char text[] = "{\"title\":\"body too large\",\"status\":413,\"run\":\"not_run\"}\n";
  x->state = STATE_WAITING;
  if (x->too_large)
    wl_exchange_reply (x, MHD_HTTP_CONTENT_TOO_LARGE, "application/problem+json",
                       (WlBytes){ (const uint8_t *)text, sizeof text - 1 });
  else
    x->server->options.handle (x->server->options.data, x);
}

static enum MHD_Result
on_access (void *data, struct MHD_Connection *connection, const char *url, const char *method,
           const char *version, const char *upload, size_t *upload_size, void **context)
{
  WlHttpServer *server = data;
  WlExchange *x = *context;
  (void)version;
  if (x == NULL)
    {
      x = calloc (1, sizeof *x);
      if (x == NULL)
        return MHD_NO;
      x->server = server;
      x->connection = connection;
      x->method = strdup (method);
      x->path = strdup (url);
      add_exchange (server, x);
      *context = x;
      return MHD_YES;
    }
  if (*upload_size > 0)
    {
      append_body (x, upload, *upload_size);
      *upload_size = 0;
      return MHD_YES;
    }
  if (x->state == STATE_READING)
    handle_complete (x);
  if (x->state == STATE_ANSWERED)
    return queue_response (x);
  x->is_suspended = 1;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context,
              enum MHD_RequestTerminationCode code)
{
  WlHttpServer *server = data;
  WlExchange *x = *context;
  (void)connection;
  (void)code;
  if (x == NULL)
    return;
  *context = NULL;
  x->is_gone = 1;
  remove_exchange (server, x);
  if (server->is_closing)
    log_cut (x, "exit");
  if (x->data != 0 && !server->is_closing)
    server->options.gone (server->options.data, x);
  if (x->response != NULL)
    MHD_destroy_response (x->response);
  for (uint32_t i = 0; i < x->n_headers; i++)
    {
      free (x->header_names[i]);
      free (x->header_values[i]);
    }
  free (x->method);
  free (x->path);
  wl_buffer_clear (&x->body);
  wl_buffer_clear (&x->out);
  free (x);
}

static void
on_ready (void *data, int ready)
{
  (void)ready;
  MHD_run (((WlHttpServer *)data)->daemon);
}

void
wl_http_server_run (WlHttpServer *server)
{
  /* Resumed connections run on the first call and may suspend again. */
  server->needs_run = 1;
  for (int i = 0; i < 4 && server->needs_run; i++)
    {
      server->needs_run = 0;
      MHD_run (server->daemon);
    }
}

static int
make_address (const WlHttpOptions *o, struct sockaddr_storage *out)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)out;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;
  memset (out, 0, sizeof *out);
  if (inet_pton (AF_INET, o->address, &v4->sin_addr) == 1)
    {
      v4->sin_family = AF_INET;
      v4->sin_port = htons ((uint16_t)o->port);
      return AF_INET;
    }
  if (inet_pton (AF_INET6, o->address, &v6->sin6_addr) != 1)
    return 0;
  v6->sin6_family = AF_INET6;
  v6->sin6_port = htons ((uint16_t)o->port);
  return AF_INET6;
}

WlError
wl_http_server_create (WlReactor *reactor, const WlHttpOptions *options, WlHttpServer **out)
{
  struct sockaddr_storage address;
  struct MHD_OptionItem tls[] = {
    { MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)(uintptr_t)options->tls_certificate },
    { MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)(uintptr_t)options->tls_key },
    { MHD_OPTION_END, 0, NULL },
  };
  static const struct MHD_OptionItem no_tls[] = { { MHD_OPTION_END, 0, NULL } };
  unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  int family = make_address (options, &address);
  if (family == 0)
    return WL_ERROR_INVALID;
  if (family == AF_INET6)
    flags |= MHD_USE_IPv6;
  if (options->tls_certificate != NULL)
    flags |= MHD_USE_TLS;
  WlHttpServer *server = calloc (1, sizeof *server);
  if (server == NULL)
    return WL_ERROR_NO_MEMORY;
  server->options = *options;
  server->reactor = reactor;
  server->daemon = MHD_start_daemon (
      flags, (uint16_t)options->port, NULL, NULL, on_access, server, MHD_OPTION_SOCK_ADDR, &address,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, server, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)WL_HTTP_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)WL_HTTP_HEADER_MAX, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)WL_HTTP_IDLE_S,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_ARRAY,
      options->tls_certificate != NULL ? tls : no_tls, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      free (server);
      return WL_ERROR_SYSTEM;
    }
  server->port = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  int fd = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  server->watch = wl_reactor_add (reactor, fd, WL_READABLE, on_ready, server);
  *out = server;
  return WL_OK;
}

uint32_t
wl_http_server_port (const WlHttpServer *server)
{
  return server->port;
}

void
wl_http_server_drain (WlHttpServer *server)
{
  server->is_draining = 1;
}

uint32_t
wl_http_server_open (const WlHttpServer *server)
{
  return server->n_open;
}

void
wl_http_server_destroy (WlHttpServer *server)
{
  if (server == NULL)
    return;
  server->is_closing = 1;
  wl_reactor_remove (server->watch);
  /* libmicrohttpd aborts the process when it is stopped with suspended connections. */
  for (WlExchange *x = server->exchanges; x != NULL; x = x->next)
    resume (x);
  MHD_stop_daemon (server->daemon);
  free (server);
}
