#include <stdlib.h>
#include <apr_portable.h>
#include "wl_log.h"
#include "wl_reactor.h"

enum
{
  RESULTS_MAX = 1024, /* descriptors reported by one poll */
};

struct WlReactor
{
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  WlWatch *removed;
};

struct WlWatch
{
  WlReactor *reactor;
  apr_pool_t *pool;
  apr_pollfd_t descriptor;
  WlReadyFunc ready;
  void *data;
  int is_removed;
  WlWatch *next;
};

WlError
wl_reactor_create (WlReactor **out)
{
  WlReactor *reactor = calloc (1, sizeof *reactor);
  if (reactor == NULL)
    return WL_ERROR_NO_MEMORY;
  apr_pool_create (&reactor->pool, NULL);
  if (apr_pollset_create (&reactor->pollset, RESULTS_MAX, reactor->pool, APR_POLLSET_NOCOPY)
      != APR_SUCCESS)
    {
      wl_reactor_destroy (reactor);
      return WL_ERROR_SYSTEM;
    }
  *out = reactor;
  return WL_OK;
}

static void
free_removed (WlReactor *reactor)
{
  while (reactor->removed != NULL)
    {
      WlWatch *w = reactor->removed;
      reactor->removed = w->next;
      apr_pool_destroy (w->pool);
      free (w);
    }
}

void
wl_reactor_destroy (WlReactor *reactor)
{
  if (reactor == NULL)
    return;
  free_removed (reactor);
  apr_pool_destroy (reactor->pool);
  free (reactor);
}

static apr_int16_t
poll_events (int events)
{
  apr_int16_t out = 0;
  if (events & WL_READABLE)
    out |= APR_POLLIN;
  if (events & WL_WRITABLE)
    out |= APR_POLLOUT;
  return out;
}

WlWatch *
wl_reactor_add (WlReactor *reactor, int fd, int events, WlReadyFunc ready, void *data)
{
  WlWatch *w = calloc (1, sizeof *w);
  apr_os_sock_t os_socket = fd;
  if (w == NULL)
    return NULL;
  w->reactor = reactor;
  w->ready = ready;
  w->data = data;
  apr_pool_create (&w->pool, reactor->pool);
  w->descriptor.p = w->pool;
  w->descriptor.desc_type = APR_POLL_SOCKET;
  w->descriptor.reqevents = poll_events (events);
  w->descriptor.client_data = w;
  if (apr_os_sock_put (&w->descriptor.desc.s, &os_socket, w->pool) == APR_SUCCESS
      && apr_pollset_add (reactor->pollset, &w->descriptor) == APR_SUCCESS)
    return w;
  apr_pool_destroy (w->pool);
  free (w);
  return NULL;
}

void
wl_reactor_modify (WlWatch *watch, int events)
{
  if (watch->descriptor.reqevents == poll_events (events))
    return;
  apr_pollset_remove (watch->reactor->pollset, &watch->descriptor);
  watch->descriptor.reqevents = poll_events (events);
  apr_pollset_add (watch->reactor->pollset, &watch->descriptor);
}

void
wl_reactor_remove (WlWatch *watch)
{
  if (watch == NULL || watch->is_removed)
    return;
  apr_pollset_remove (watch->reactor->pollset, &watch->descriptor);
  watch->is_removed = 1;
  watch->next = watch->reactor->removed;
  watch->reactor->removed = watch;
}

static int
ready_events (apr_int16_t events)
{
  int out = 0;
  if (events & (APR_POLLIN | APR_POLLERR | APR_POLLHUP))
    out |= WL_READABLE;
  if (events & (APR_POLLOUT | APR_POLLERR | APR_POLLHUP))
    out |= WL_WRITABLE;
  return out;
}

void
wl_reactor_poll (WlReactor *reactor, uint64_t timeout_us)
{
  apr_int32_t n = 0;
  const apr_pollfd_t *results = NULL;
  wl_log_flush ();
  /* The poll set counts milliseconds: rounding down would spin before each deadline. */
  uint64_t rounded_us = (timeout_us + 999) / 1000 * 1000;
  apr_status_t status
      = apr_pollset_poll (reactor->pollset, (apr_interval_time_t)rounded_us, &n, &results);
  for (apr_int32_t i = 0; status == APR_SUCCESS && i < n; i++)
    {
      WlWatch *w = results[i].client_data;
      if (!w->is_removed)
        w->ready (w->data, ready_events (results[i].rtnevents));
    }
  free_removed (reactor);
}
