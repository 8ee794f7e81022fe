#ifndef WL_FETCH_H
#define WL_FETCH_H

#include "wl_http_reader.h"
#include "wl_tcp.h"

/*
 * HTTP/1.1 client for calls that may run only once. It never sends a request
 * a second time by itself, keeps idle connections by destination, and tells
 * whether a byte of a request can have reached the other end.
 */

enum
{
  WL_FETCH_IDLE_US = 4000000, /* longest use of an idle connection without an announced limit */
  WL_FETCH_IDLE_SLACK_US = 1000000, /* taken off an announced idle time */
  WL_FETCH_CONNECT_US = 350000,     /* longest wait for a new connection */
  WL_FETCH_HEAD_MAX = 65536, /* bytes of an answer's head; usual servers send a few hundred */
  WL_FETCH_IDLE_MAX = 32,    /* idle connections kept by destination */
};

typedef struct WlFetchClient WlFetchClient;
typedef struct WlFetch WlFetch;

/**
 * enum WlFetchEnd - how a call ended
 * @WL_FETCH_WHOLE: the answer is complete
 * @WL_FETCH_NOT_SENT: no byte of the request can have reached the other end
 * @WL_FETCH_BROKEN: the connection ended, or spoke no HTTP, before the answer was complete
 */
typedef enum
{
  WL_FETCH_WHOLE,
  WL_FETCH_NOT_SENT,
  WL_FETCH_BROKEN,
} WlFetchEnd;

/**
 * struct WlFetchHandlers - functions called for one call
 * @head: the head of the answer arrived; returns 0 to skip an answer that
 *   belongs to another request
 * @body: part of the body arrived; returns 0 to break off an answer that grows too large
 * @ended: the call ended; it must not be used afterwards
 */
typedef struct
{
  int (*head) (void *data, const WlHttpHead *head);
  int (*body) (void *data, WlBytes bytes);
  void (*ended) (void *data, WlFetchEnd end);
} WlFetchHandlers;

/**
 * struct WlFetchRequest - what to send where
 * @address: IPv4 number, network byte order
 * @port: port
 * @head: start line and header fields, with the empty line
 * @body: body
 * @is_fresh: needs a new connection, because an idle one may be dead
 * @has_no_body: the answer has no body (HEAD)
 */
typedef struct
{
  uint32_t address;
  uint16_t port;
  WlBytes head;
  WlBytes body;
  uint8_t is_fresh;
  uint8_t has_no_body;
} WlFetchRequest;

/** wl_fetch_client_create() - creates a client */
WlFetchClient *wl_fetch_client_create (WlTcpLoop *loop);

/** wl_fetch_client_destroy() - cancels all calls; accepts NULL */
void wl_fetch_client_destroy (WlFetchClient *calls);

/**
 * wl_fetch_client_start() - sends a request
 * @calls: the client
 * @request: what to send; copied
 * @handlers: functions
 * @data: passed to the functions
 *
 * Return: the call, or NULL when no socket can be had; nothing was sent then.
 */
WlFetch *wl_fetch_client_start (WlFetchClient *calls, const WlFetchRequest *request,
                                const WlFetchHandlers *handlers, void *data);

/** wl_fetch_cancel() - closes the call's connection; accepts NULL. No function is called */
void wl_fetch_cancel (WlFetch *call);

/** wl_fetch_pause() - stops (1) or resumes (0) reading the answer */
void wl_fetch_pause (WlFetch *call, int is_paused);

/** wl_fetch_client_drop_idle() - closes idle connections to a destination */
void wl_fetch_client_drop_idle (WlFetchClient *calls, uint32_t address, uint16_t port);

/** wl_fetch_client_tick() - ends slow connects and old idle connections */
void wl_fetch_client_tick (WlFetchClient *calls, uint64_t now_us);

#endif
