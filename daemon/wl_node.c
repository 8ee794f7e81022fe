#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sodium.h>
#include "wl_callers.h"
#include "wl_clock.h"
#include "wl_effects.h"
#include "wl_endpoints.h"
#include "wl_engines.h"
#include "wl_events.h"
#include "wl_json.h"
#include "wl_log.h"
#include "wl_node.h"
#include "wl_operators.h"
#include "wl_table.h"

enum
{
  SECOND_US = 1000000,
  PEM_MAX = 65536,
};

/* ---- connections to other nodes ---- */

static int
resolve_node (void *data, uint32_t node_id, const char **address, uint32_t *port)
{
  WlNode *node = data;
  for (uint32_t i = 0; i < node->options.n_control; i++)
    if (node->options.control[i].node == node_id)
      {
        *address = node->options.control[i].address;
        *port = node->options.control[i].port;
        return 1;
      }
  const WlMember *m = wl_session_find_member (&node->core->session, node_id);
  if (m == NULL)
    return 0;
  *address = m->address;
  *port = m->peer_port;
  return 1;
}

static void
receive_message (void *data, uint32_t from, WlBytes bytes)
{
  WlNode *node = data;
  WlMessage message;
  apr_pool_t *pool;
  WlEvent event = { .kind = WL_EVENT_MESSAGE };
  apr_pool_create (&pool, NULL);
  if (wl_message_decode (bytes, &message, pool) == WL_OK)
    {
      event.u.message.from = from;
      event.u.message.message = &message;
      wl_node_event (node, &event);
    }
  else
    wl_log_eventf (WL1104_FRAME_REJECTED, "peer=%u reason=message", from);
  apr_pool_destroy (pool);
}

/* ---- HTTP ---- */

static void
handle_exchange (void *data, WlExchange *exchange)
{
  WlNode *node = data;
  if (wl_callers_handle (node, exchange))
    return;
  if (wl_endpoints_handle (node, exchange))
    return;
  if (wl_operators_handle (node, exchange))
    return;
  wl_json_problem (exchange, 404, "not found", "there is nothing at this path");
}

static void
exchange_gone (void *data, WlExchange *exchange)
{
  wl_operators_gone (data, exchange);
  wl_callers_gone (data, exchange);
}

/* ---- start ---- */

static WlError
open_storage (WlNode *node)
{
  WlDisk *disk = NULL;
  uint64_t incarnation = 0;
  if (node->options.data_folder[0] == '\0')
    return WL_OK;
  randombytes_buf (&incarnation, sizeof incarnation);
  WlError error = wl_disk_files_open (node->options.data_folder, &disk);
  if (error == WL_OK)
    error = wl_storage_open (disk, incarnation | 1, &node->storage);
  if (error != WL_OK)
    {
      wl_log_eventf (WL1004_STORAGE_FAILED, "folder=%s error=\"%s\"", node->options.data_folder,
                     wl_strerror (error));
      if (disk != NULL)
        disk->destroy (disk);
      return error;
    }
  node->options.settings.replica_incarnation = wl_storage_incarnation (node->storage);
  return WL_OK;
}

static char *
read_pem (const char *path)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  char *text = calloc (1, PEM_MAX);
  if (fd < 0 || text == NULL || read (fd, text, PEM_MAX - 1) <= 0)
    {
      free (text);
      text = NULL;
    }
  if (fd >= 0)
    close (fd);
  return text;
}

static WlError
listen_http (WlNode *node)
{
  const WlMember *self = &node->options.settings.self;
  if (node->options.tls_certificate[0] != '\0')
    {
      node->tls_certificate = read_pem (node->options.tls_certificate);
      node->tls_key = read_pem (node->options.tls_key);
      if (node->tls_certificate == NULL || node->tls_key == NULL)
        {
          wl_log_eventf (WL1006_LISTEN_FAILED, "reason=\"certificate or key cannot be read\"");
          return WL_ERROR_SYSTEM;
        }
    }
  WlHttpOptions options = {
    .address = self->address,
    .port = self->http_port,
    .tls_certificate = node->tls_certificate,
    .tls_key = node->tls_key,
    .handle = handle_exchange,
    .gone = exchange_gone,
    .data = node,
  };
  return wl_http_server_create (node->reactor, &options, &node->server);
}

static WlError
listen_peers (WlNode *node)
{
  const WlMember *self = &node->options.settings.self;
  WlPeersOptions options = {
    .node = self->node,
    .address = self->address,
    .port = self->peer_port,
    .key = node->options.cluster_key,
    .resolve = resolve_node,
    .receive = receive_message,
    .data = node,
  };
  return wl_peers_create (node->reactor, &options, &node->peers);
}

static WlError
start (WlNode *node)
{
  WlError error = wl_reactor_create (&node->reactor);
  if (error == WL_OK)
    error = open_storage (node);
  if (error != WL_OK)
    return error;
  const WlStoredState *stored = node->storage != NULL ? wl_storage_state (node->storage) : NULL;
  error = wl_core_create (&node->options.settings, stored, wl_clock_now_us (), &node->core);
  if (error != WL_OK)
    {
      wl_log_eventf (WL1004_STORAGE_FAILED, "error=\"%s\"", wl_strerror (error));
      return error;
    }
  if (node->storage != NULL)
    wl_storage_forget (node->storage);
  error = wl_http_client_create (node->reactor, &node->client);
  if (error == WL_OK)
    error = listen_http (node);
  if (error == WL_OK)
    error = listen_peers (node);
  if (error != WL_OK)
    wl_log_eventf (WL1006_LISTEN_FAILED, "address=%s http_port=%u peer_port=%u error=\"%s\"",
                   node->options.settings.self.address, node->options.settings.self.http_port,
                   node->options.settings.self.peer_port, wl_strerror (error));
  return error;
}

WlError
wl_node_create (const WlOptions *options, WlNode **out)
{
  WlNode *node = calloc (1, sizeof *node);
  if (node == NULL)
    return WL_ERROR_NO_MEMORY;
  node->options = *options;
  randombytes_buf (&node->options.settings.incarnation, sizeof (uint64_t));
  node->options.settings.incarnation |= 1;
  randombytes_buf (&node->options.settings.seed, sizeof (uint64_t));
  apr_pool_create (&node->pool, NULL);
  node->requests = wl_table_create (node->pool);
  node->effects = wl_effects_create ();
  WlError error = start (node);
  if (error != WL_OK)
    {
      wl_node_destroy (node);
      return error;
    }
  wl_log_eventf (WL1001_NODE_STARTED, "address=%s http_port=%u peer_port=%u domain=%s replica=%d",
                 options->settings.self.address, options->settings.self.http_port,
                 options->settings.self.peer_port, options->settings.self.domain,
                 node->storage != NULL);
  *out = node;
  return WL_OK;
}

static void
free_requests (WlNode *node)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, node->requests); i; i = apr_hash_next (i))
    {
      WlOpenRequest *r = apr_hash_this_val (i);
      wl_engines_drop_calls (r);
      free (r->body);
      wl_buffer_clear (&r->answer);
      free (r);
    }
}

void
wl_node_destroy (WlNode *node)
{
  if (node == NULL)
    return;
  wl_http_server_destroy (node->server);
  free_requests (node);
  wl_operators_drop (node);
  wl_http_client_destroy (node->client);
  wl_peers_destroy (node->peers);
  wl_core_destroy (node->core);
  wl_effects_destroy (node->effects);
  wl_storage_close (node->storage);
  wl_reactor_destroy (node->reactor);
  apr_pool_destroy (node->pool);
  free (node->tls_certificate);
  free (node->tls_key);
  free (node);
}

/* ---- events and effects ---- */

void
wl_node_event (WlNode *node, WlEvent *event)
{
  event->now_us = wl_clock_now_us ();
  event->wall_us = wl_clock_wall_us ();
  wl_core_step (node->core, event, node->effects);
}

/* Writes and syncs before anything else of the batch leaves the node. */
static WlError
store (WlNode *node, const WlEffects *fx)
{
  WlError error = WL_OK;
  int any = 0;
  for (uint32_t i = 0; i < fx->count && error == WL_OK; i++)
    if (wl_effect_is_store (&fx->items[i]))
      {
        any = 1;
        error = wl_storage_write (node->storage, &fx->items[i]);
      }
  if (any && error == WL_OK)
    error = wl_storage_sync (node->storage);
  if (error != WL_OK)
    wl_log_eventf (WL1004_STORAGE_FAILED, "folder=%s error=\"%s\"", node->options.data_folder,
                   wl_strerror (error));
  return error;
}

static void
send_message (WlNode *node, const WlEffect *e)
{
  WlCounters *c = &node->core->entry->counters;
  if (e->u.send.node == 0)
    return;
  c->messages_out++;
  c->message_bytes_out += e->u.send.bytes.size;
  wl_peers_send (node->peers, e->u.send.node, e->u.send.bytes, wl_clock_now_us ());
}

static void
perform (WlNode *node, const WlEffect *e)
{
  switch (e->kind)
    {
    case WL_EFFECT_STORE_TERM:
    case WL_EFFECT_STORE_ENTRY:
    case WL_EFFECT_STORE_TRUNCATE:
    case WL_EFFECT_STORE_SNAPSHOT:
      break;
    case WL_EFFECT_SEND:
      send_message (node, e);
      break;
    case WL_EFFECT_DISPATCH:
      wl_engines_dispatch (node, &e->u.dispatch);
      break;
    case WL_EFFECT_CLOSE_ATTEMPT:
      wl_engines_close_attempt (node, &e->u.close_attempt);
      break;
    case WL_EFFECT_CANCEL:
      wl_engines_cancel (node, &e->u.cancel);
      break;
    case WL_EFFECT_LOAD_MODEL:
      wl_engines_order (node, &e->u.model_load);
      break;
    case WL_EFFECT_REPLY_CHUNK:
      wl_callers_chunk (node, e);
      break;
    case WL_EFFECT_REPLY_END:
      wl_callers_end (node, &e->u.end);
      break;
    case WL_EFFECT_SUBMIT_DONE:
      wl_operators_submit_done (node, &e->u.submit);
      break;
    case WL_EFFECT_QUERY_DONE:
      wl_operators_query_done (node, &e->u.query);
      break;
    case WL_EFFECT_LOG:
      wl_log_event (e->u.log.number, e->u.log.text);
      break;
    case WL_EFFECT_STOPPED:
      node->core_stopped_us = wl_clock_now_us ();
      break;
    }
}

/* Whether an effect does not rest on writes of its batch: a response, or the end of an attempt. */
static int
needs_no_disk (const WlEffect *e)
{
  return e->kind == WL_EFFECT_REPLY_CHUNK || e->kind == WL_EFFECT_REPLY_END
         || e->kind == WL_EFFECT_CLOSE_ATTEMPT || e->kind == WL_EFFECT_CANCEL
         || e->kind == WL_EFFECT_LOG || e->kind == WL_EFFECT_STOPPED;
}

/*
 * Carries out the effects of the batch; their execution may add a further batch. When
 * the disk fails the node is no control replica any more, and stops gracefully.
 */
static void
carry_out (WlNode *node)
{
  while (node->effects->count > 0)
    {
      WlEffects *fx = node->effects;
      node->effects = wl_effects_create ();
      WlError error = store (node, fx);
      if (error != WL_OK)
        {
          node->error = error;
          wl_core_leave_group (node->core);
          wl_node_stop (node);
        }
      for (uint32_t i = 0; i < fx->count; i++)
        if (error == WL_OK || needs_no_disk (&fx->items[i]))
          perform (node, &fx->items[i]);
      wl_effects_destroy (fx);
    }
}

static void
tick (WlNode *node, uint64_t now_us)
{
  WlEvent event = { .kind = WL_EVENT_TICK };
  node->tick_us = now_us + WL_TICK_US;
  wl_node_event (node, &event);
  wl_peers_tick (node->peers, now_us);
  wl_operators_tick (node, now_us);
  if (now_us < node->second_us)
    return;
  node->second_us = now_us + SECOND_US;
  wl_callers_check_closed (node);
}

/* Ends a graceful stop once all responses, those to operators included, have been sent. */
static void
finish_stop (WlNode *node, uint64_t now_us)
{
  if (node->core_stopped_us == 0 || node->is_stopped)
    return;
  uint32_t n_open = wl_http_server_open (node->server);
  if (n_open > 0 && now_us < node->core_stopped_us + WL_NODE_SEND_US)
    return;
  node->is_stopped = 1;
  wl_log_eventf (WL1003_NODE_STOPPED, "after_us=%lu cut=%u",
                 (unsigned long)(now_us - node->core->stop_us), n_open);
}

void
wl_node_run_once (WlNode *node)
{
  WlEvent flush = { .kind = WL_EVENT_FLUSH };
  uint64_t now_us = wl_clock_now_us ();
  wl_reactor_poll (node->reactor, node->tick_us > now_us ? node->tick_us - now_us : 0);
  now_us = wl_clock_now_us ();
  wl_http_client_run (node->client, now_us);
  if (now_us >= node->tick_us)
    tick (node, now_us);
  wl_node_event (node, &flush);
  carry_out (node);
  wl_http_server_run (node->server);
  wl_peers_flush (node->peers);
  finish_stop (node, now_us);
}

void
wl_node_stop (WlNode *node)
{
  WlEvent event = { .kind = WL_EVENT_STOP };
  wl_http_server_drain (node->server);
  wl_node_event (node, &event);
}
