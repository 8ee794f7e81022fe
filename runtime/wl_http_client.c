#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include "wl_clock.h"
#include "wl_http_client.h"

struct WlHttpCall
{
  WlHttpClient *client;
  WlHttpParams params;
  CURL *easy;
  struct curl_slist *headers;
  uint8_t *body;
  int is_cancelled;
  int has_head; /* of the response, interim ones aside */
  WlHttpCall *next;
  WlHttpCall **slot;
};

struct WlHttpClient
{
  WlReactor *reactor;
  CURLM *multi;
  uint64_t timer_us; /* 0 for none */
  WlHttpCall *calls;
};

typedef struct
{
  WlHttpClient *client;
  WlWatch *watch;
  curl_socket_t fd;
} SocketWatch;

static void
on_socket_ready (void *data, int ready)
{
  SocketWatch *s = data;
  int running = 0;
  int mask = 0;
  if (ready & WL_READABLE)
    mask |= CURL_CSELECT_IN;
  if (ready & WL_WRITABLE)
    mask |= CURL_CSELECT_OUT;
  curl_multi_socket_action (s->client->multi, s->fd, mask, &running);
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  WlHttpClient *client = data;
  SocketWatch *s = socket_data;
  int events = 0;
  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (s != NULL)
        wl_reactor_remove (s->watch);
      free (s);
      curl_multi_assign (client->multi, fd, NULL);
      return 0;
    }
  if (what != CURL_POLL_OUT)
    events |= WL_READABLE;
  if (what != CURL_POLL_IN)
    events |= WL_WRITABLE;
  if (s != NULL)
    {
      wl_reactor_modify (s->watch, events);
      return 0;
    }
  s = calloc (1, sizeof *s);
  if (s == NULL)
    return -1;
  s->client = client;
  s->fd = fd;
  s->watch = wl_reactor_add (client->reactor, fd, events, on_socket_ready, s);
  curl_multi_assign (client->multi, fd, s);
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *data)
{
  WlHttpClient *client = data;
  (void)multi;
  client->timer_us = timeout_ms < 0 ? 0 : wl_clock_now_us () + (uint64_t)timeout_ms * 1000 + 1;
  return 0;
}

WlError
wl_http_client_create (WlReactor *reactor, WlHttpClient **out)
{
  WlHttpClient *client = calloc (1, sizeof *client);
  if (client == NULL)
    return WL_ERROR_NO_MEMORY;
  client->reactor = reactor;
  client->multi = curl_multi_init ();
  if (client->multi == NULL)
    {
      free (client);
      return WL_ERROR_SYSTEM;
    }
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)WL_HTTP_POOL_MAX);
  *out = client;
  return WL_OK;
}

static void
free_call (WlHttpCall *call)
{
  *call->slot = call->next;
  if (call->next != NULL)
    call->next->slot = call->slot;
  curl_multi_remove_handle (call->client->multi, call->easy);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  free (call->body);
  free (call);
}

void
wl_http_client_destroy (WlHttpClient *client)
{
  if (client == NULL)
    return;
  while (client->calls != NULL)
    free_call (client->calls);
  curl_multi_cleanup (client->multi);
  free (client);
}

static size_t
on_data (char *data, size_t size, size_t n, void *context)
{
  WlHttpCall *call = context;
  long status = 0;
  if (call->is_cancelled)
    return 0;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (call->params.received != NULL)
    call->params.received (call->params.data, call, (uint32_t)status,
                           (WlBytes){ (const uint8_t *)data, (uint32_t)(size * n) });
  return call->is_cancelled ? 0 : size * n;
}

/* libcurl takes a head that ends with its connection for a whole response. */
static size_t
on_header (char *line, size_t size, size_t n, void *context)
{
  WlHttpCall *call = context;
  long status = 0;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (status >= 200 && size * n > 0 && (line[0] == '\r' || line[0] == '\n'))
    call->has_head = 1;
  return size * n;
}

static void
set_options (WlHttpCall *call)
{
  const WlHttpParams *p = &call->params;
  char url[512];
  int is_v6 = strchr (p->address, ':') != NULL;
  snprintf (url, sizeof url, "http://%s%s%s:%u%s", is_v6 ? "[" : "", p->address, is_v6 ? "]" : "",
            p->port, p->path);
  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  curl_easy_setopt (call->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (call->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (call->easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (call->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)WL_HTTP_CONNECT_MS);
  curl_easy_setopt (call->easy, CURLOPT_TIMEOUT_MS, (long)p->timeout_ms);
  curl_easy_setopt (call->easy, CURLOPT_MAXAGE_CONN, (long)WL_HTTP_POOL_AGE_S);
  curl_easy_setopt (call->easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (call->easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (call->easy, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (call->easy, CURLOPT_PRIVATE, call);
  if (p->fresh)
    {
      curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (call->easy, CURLOPT_FORBID_REUSE, 1L);
    }
  if (strcmp (p->method, "POST") != 0)
    return;
  curl_easy_setopt (call->easy, CURLOPT_POST, 1L);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, call->body);
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)p->body.size);
}

static void
set_headers (WlHttpCall *call)
{
  char line[256];
  call->headers = curl_slist_append (NULL, "Expect:");
  if (call->params.type != NULL)
    {
      snprintf (line, sizeof line, "Content-Type: %s", call->params.type);
      call->headers = curl_slist_append (call->headers, line);
    }
  if (call->params.header != NULL)
    call->headers = curl_slist_append (call->headers, call->params.header);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->headers);
}

WlHttpCall *
wl_http_client_call (WlHttpClient *client, const WlHttpParams *params)
{
  WlHttpCall *call = calloc (1, sizeof *call);
  if (call == NULL)
    abort ();
  call->client = client;
  call->params = *params;
  call->body = malloc (params->body.size + 1);
  if (call->body == NULL)
    abort ();
  if (params->body.size > 0)
    memcpy (call->body, params->body.data, params->body.size);
  call->easy = curl_easy_init ();
  if (call->easy == NULL)
    abort ();
  set_options (call);
  set_headers (call);
  call->next = client->calls;
  call->slot = &client->calls;
  if (call->next != NULL)
    call->next->slot = &call->next;
  client->calls = call;
  curl_multi_add_handle (client->multi, call->easy);
  return call;
}

void
wl_http_call_cancel (WlHttpCall *call)
{
  /* The handle may be in use below this call; it is freed by the next run. */
  call->is_cancelled = 1;
}

static void
finish_call (WlHttpCall *call, CURLcode code)
{
  WlHttpResult result = { 0 };
  long status = 0;
  long request_size = 0;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (call->easy, CURLINFO_REQUEST_SIZE, &request_size);
  result.status = (uint32_t)status;
  result.is_complete = code == CURLE_OK && call->has_head;
  result.is_sent = request_size > 0;
  if (!call->is_cancelled && call->params.done != NULL)
    call->params.done (call->params.data, call, &result);
  free_call (call);
}

static void
free_cancelled (WlHttpClient *client)
{
  for (WlHttpCall *c = client->calls, *next; c != NULL; c = next)
    {
      next = c->next;
      if (c->is_cancelled)
        free_call (c);
    }
}

void
wl_http_client_run (WlHttpClient *client, uint64_t now_us)
{
  int running = 0;
  int left = 0;
  free_cancelled (client);
  if (client->timer_us != 0 && now_us >= client->timer_us)
    {
      client->timer_us = 0;
      curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  for (CURLMsg *m = curl_multi_info_read (client->multi, &left); m != NULL;
       m = curl_multi_info_read (client->multi, &left))
    {
      WlHttpCall *call = NULL;
      CURLcode code = m->data.result;
      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, (char **)&call);
      finish_call (call, code);
    }
}
