#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"
#include "wl_random.h"

enum
{
  SLOW_TICK_US = 100000,       /* interval of timeouts, expiry and gossip */
  BODIES_MAX_BYTES = 32 << 20, /* of callers' requests: a fifth of the smallest VM's 160 MB */
  /*
   * The last parts of the grace time of a stop: in the one the remaining requests end, in the
   * other the process has exited. Both are at least so long, or twice and once the grace time /
   * SHORT_GRACE_SHARE, so that requests end in the last sixth of a short grace time, too.
   */
  CLOSE_SHARE = 12,
  CLOSE_MIN_US = 200000,
  EXIT_SHARE = 60,
  EXIT_MIN_US = 100000,
  SHORT_GRACE_SHARE = 14,
};

/* Limits until a configuration is applied. */
static const WlWebLimits default_limits = {
  .head_bytes = 16384,
  .body_bytes = 4194304,
  .head_us = 5000000,
  .idle_us = 15000000,
};

static void
format_address (uint32_t node, char *out)
{
  struct in_addr a = { .s_addr = htonl (node) };
  inet_ntop (AF_INET, &a, out, WL_ADDRESS_SIZE);
}

/* ---- messages ---- */

static int
resolve_node (void *data, uint32_t node, const char **address, uint32_t *port)
{
  static char text[WL_ADDRESS_SIZE];
  const WlHost *host = data;
  format_address (node, text);
  *address = text;
  *port = host->options.peer_port;
  return 1;
}

static void
send_bytes (WlHost *host, uint32_t node, WlBytes bytes)
{
  if (node != host->options.node)
    {
      wl_peers_send (host->peers, node, bytes, wl_clock_now_us ());
      return;
    }
  WlHostLocalMessage *local = calloc (1, sizeof *local);
  if (local == NULL)
    abort ();
  local->bytes = wl_bytes_dup (bytes);
  if (host->last_local != NULL)
    host->last_local->next = local;
  else
    host->first_local = local;
  host->last_local = local;
}

void
wl_host_send_many (WlHost *host, const uint32_t *nodes, uint32_t n_nodes, const WlMessage *message)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  WlBytes bytes = wl_message_encode (message, pool);
  for (uint32_t i = 0; i < n_nodes; i++)
    send_bytes (host, nodes[i], bytes);
  apr_pool_destroy (pool);
}

void
wl_host_send (WlHost *host, uint32_t node, const WlMessage *message)
{
  wl_host_send_many (host, &node, 1, message);
}

void
wl_host_broadcast (WlHost *host, const WlMessage *message)
{
  uint32_t nodes[WL_ROSTER_MAX];
  uint32_t n = wl_membership_load_peers (host->membership, wl_clock_now_us (), nodes);
  wl_host_send_many (host, nodes, n, message);
}

/* Carries out the replica's effects once its writes are durable; NULL after a disk error. */
static void
apply_effects (void *data, WlEffects *effects)
{
  WlHost *host = data;
  if (effects == NULL)
    {
      wl_log_eventf (WL1004_STORAGE_FAILED, "reason=sync");
      host->has_failed = 1;
      wl_host_stop (host);
      return;
    }
  wl_host_adopt_committed (host); /* before an acknowledgement is sent */
  for (uint32_t i = 0; i < effects->count; i++)
    {
      const WlEffect *e = &effects->items[i];
      if (e->kind == WL_EFFECT_SEND)
        send_bytes (host, e->u.send.node, e->u.send.bytes);
      else if (e->kind == WL_EFFECT_LOG)
        wl_log_event (e->u.log.number, e->u.log.text);
    }
}

static void
submit_effects (WlHost *host, WlEffects *fx)
{
  if (fx->count > 0)
    wl_journal_submit (host->journal, fx);
  else
    wl_effects_destroy (fx);
}

static void
receive (void *data, uint32_t from, WlBytes bytes)
{
  WlHost *host = data;
  apr_pool_t *pool;
  WlMessage message;
  uint64_t now_us = wl_clock_now_us ();
  apr_pool_create (&pool, NULL);
  if (wl_message_decode (bytes, &message, pool) != WL_OK)
    wl_log_eventf (WL1104_FRAME_REJECTED, "peer=%u size=%u reason=message", from, bytes.size);
  else if (!wl_host_gossip_receive (host, from, &message, now_us)
           && !wl_host_config_receive (host, from, &message, now_us) && wl_host_is_replica (host))
    {
      WlEffects *fx = wl_effects_create ();
      wl_config_store_receive (host->config_store, from, &message, now_us, fx);
      submit_effects (host, fx);
    }
  apr_pool_destroy (pool);
}

static void
receive_local (WlHost *host)
{
  while (host->first_local != NULL)
    {
      WlHostLocalMessage *local = host->first_local;
      host->first_local = local->next;
      if (host->first_local == NULL)
        host->last_local = NULL;
      receive (host, host->options.node, local->bytes);
      wl_bytes_release (&local->bytes);
      free (local);
    }
}

/* ---- start ---- */

/* After a restart the voters are known from the disk, even if the seeds have changed. */
static void
add_voters (WlHost *host)
{
  uint32_t voters[WL_MAX_REPLICAS];
  uint32_t n = wl_config_store_voters (host->config_store, voters);
  for (uint32_t i = 0; i < n; i++)
    {
      wl_roster_add (host->roster, voters[i], host->started_us);
      wl_config_store_add_peer (host->config_store, voters[i], host->started_us);
    }
}

static WlError
open_config_store (WlHost *host)
{
  WlDisk *disk = NULL;
  WlStorage *storage = NULL;
  uint64_t incarnation;
  WlError error = wl_disk_files_open (host->options.data_folder, &disk);
  if (error != WL_OK)
    return error;
  randombytes_buf (&incarnation, sizeof incarnation);
  incarnation = (incarnation & ~(uint64_t)WL_RAFT_FIRST_START) | 2;
  if (host->options.is_first_start)
    incarnation |= WL_RAFT_FIRST_START;
  if (host->options.is_first_start && wl_storage_is_new (disk))
    error = wl_host_save_founders (host, disk);
  if (error == WL_OK)
    error = wl_storage_open (disk, incarnation, &storage);
  if (error != WL_OK)
    {
      disk->destroy (disk);
      return error;
    }
  WlSettings settings = {
    .self.node = host->options.node,
    .replica_incarnation = wl_storage_incarnation (storage),
    .seed = host->boot_id,
  };
  if (settings.replica_incarnation & WL_RAFT_FIRST_START)
    wl_host_load_founders (host, disk);
  error = wl_config_store_create (&settings, wl_storage_state (storage), host->started_us,
                                  &host->config_store);
  if (error == WL_OK)
    {
      wl_config_store_set_tolerated_faults (host->config_store, host->options.tolerated_faults);
      add_voters (host);
      wl_host_load_files (host, disk);
      wl_storage_forget (storage);
      error = wl_journal_create (host->reactor, storage, apply_effects, host, &host->journal);
    }
  if (error != WL_OK)
    wl_storage_close (storage);
  return error;
}

static WlError
open_connections (WlHost *host)
{
  WlPeersOptions peers = {
    .node = host->options.node,
    .address = host->address,
    .port = host->options.peer_port,
    .key = host->options.key,
    .resolve = resolve_node,
    .receive = receive,
    .data = host,
  };
  WlWebOptions web = {
    .address = htonl (host->options.node),
    .port = host->options.client_port,
    .limits = default_limits,
    .bodies_max = BODIES_MAX_BYTES,
    .handle = wl_relay_handle,
    .disconnected = wl_relay_disconnected,
    .drained = wl_relay_drained,
    .data = host->relay,
  };
  WlError error = wl_peers_create (host->reactor, &peers, &host->peers);
  if (error == WL_OK)
    error = wl_web_create (host->loop, &web, &host->client_server);
  if (error != WL_OK)
    wl_log_eventf (WL1006_LISTEN_FAILED, "address=%s peer_port=%u front_port=%u errno=%d",
                   host->address, host->options.peer_port, host->options.client_port, errno);
  return error;
}

static WlRegionMap
region_map (const WlHost *host)
{
  const WlHostOptions *o = &host->options;
  return (WlRegionMap){ o->domains, o->n_domains, o->domain, o->region };
}

static void
create_relay (WlHost *host)
{
  WlRelayOptions relay = {
    .client = host->client,
    .fleet = host->fleet,
    .load = host->load,
    .protocol = host->options.protocol,
    .domain = host->options.domain,
    .node = host->options.node,
    .boot_id = host->boot_id,
    .seed = host->boot_id,
    .retry_ratio = host->options.retry_ratio,
    .retry_slack = host->options.retry_slack,
    .retry_window_us = host->options.retry_window_us,
    .regions = region_map (host),
    .cold_over = host->options.cold_over,
    .cold_slack = host->options.cold_slack,
    .report_work = wl_host_report_work,
    .report_ejection = wl_host_report_ejection,
    .may_try_part = wl_host_may_try_part,
    .data = host,
  };
  host->relay = wl_relay_create (&relay);
}

WlError
wl_host_create (const WlHostOptions *options, WlHost **out)
{
  WlHost *host = calloc (1, sizeof *host);
  WlError error;
  if (host == NULL)
    return WL_ERROR_NO_MEMORY;
  host->options = *options;
  host->started_us = wl_clock_now_us ();
  randombytes_buf (&host->boot_id, sizeof host->boot_id);
  format_address (options->node, host->address);
  error = wl_reactor_create (&host->reactor);
  if (error != WL_OK)
    {
      wl_log_eventf (WL1006_LISTEN_FAILED, "address=%s errno=%d", host->address, errno);
      goto fail;
    }
  host->loop = wl_tcp_loop_create (host->reactor);
  host->client = wl_fetch_client_create (host->loop);
  wl_host_create_membership (host);
  wl_host_start_begin (host);
  host->load = wl_load_create ();
  create_relay (host);
  host->issuer = wl_issuer_create (wl_relay_limits (host->relay), host->fleet);
  if (options->data_folder[0] != '\0')
    error = open_config_store (host);
  if (error != WL_OK)
    {
      wl_log_eventf (WL1004_STORAGE_FAILED, "folder=%s error=\"%s\" errno=%d", options->data_folder,
                     wl_strerror (error), errno);
      goto fail;
    }
  error = open_connections (host);
  if (error != WL_OK)
    goto fail;
  wl_host_adopt_committed (host);
  wl_log_eventf (WL1001_NODE_STARTED, "address=%s zone=%s boot=%" PRIx64 " disk=%d first_start=%u",
                 host->address, options->domain, host->boot_id, host->config_store != NULL,
                 options->is_first_start);
  *out = host;
  return WL_OK;
fail:
  wl_host_destroy (host);
  return error;
}

void
wl_host_destroy (WlHost *host)
{
  if (host == NULL)
    return;
  wl_host_drop_leader_requests (host);
  wl_web_destroy (host->client_server);
  wl_issuer_destroy (host->issuer);
  wl_relay_destroy (host->relay);
  wl_fetch_client_destroy (host->client);
  wl_peers_destroy (host->peers);
  wl_journal_destroy (host->journal);
  wl_config_store_destroy (host->config_store);
  wl_load_destroy (host->load);
  wl_membership_destroy (host->membership);
  wl_load_report_batch_clear (&host->outbound_reports);
  wl_load_report_batch_clear (&host->inbound_reports);
  while (host->first_local != NULL)
    {
      WlHostLocalMessage *local = host->first_local;
      host->first_local = local->next;
      wl_bytes_release (&local->bytes);
      free (local);
    }
  wl_recent_changes_clear (&host->recent_changes);
  wl_bytes_release (&host->full_config);
  wl_bytes_release (&host->config);
  free (host->evacuations);
  wl_bytes_release (&host->saved_config);
  wl_bytes_release (&host->unstored_config);
  wl_tcp_loop_destroy (host->loop);
  wl_reactor_destroy (host->reactor);
  free (host);
}

WlTcpLoop *
wl_host_loop (WlHost *host)
{
  return host->loop;
}

/* ---- running ---- */

static void
slow_tick (WlHost *host, uint64_t now_us)
{
  if (now_us < host->next_slow_tick_us)
    return;
  host->next_slow_tick_us = now_us + SLOW_TICK_US;
  wl_web_tick (host->client_server, now_us);
  wl_tcp_tick (host->loop, now_us);
  wl_fetch_client_tick (host->client, now_us);
  wl_peers_tick (host->peers, now_us);
  wl_roster_expire (host->roster, now_us);
  wl_fleet_expire (host->fleet, now_us);
  wl_load_expire (host->load, now_us);
  wl_relay_expire_parts (host->relay, now_us);
  wl_host_limits_tick (host, now_us);
  wl_host_gossip_tick (host, now_us);
}

static uint64_t
larger (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

static uint64_t
smaller (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Time from the beginning of the stop at which the requests that remain are ended. */
static uint64_t
close_delay_us (const WlHost *host)
{
  uint64_t grace_us = host->options.grace_us;
  return grace_us
         - larger (grace_us / CLOSE_SHARE,
                   smaller (CLOSE_MIN_US, 2 * grace_us / SHORT_GRACE_SHARE));
}

/* Time from the beginning of the stop at which the process exits at the latest. */
static uint64_t
exit_delay_us (const WlHost *host)
{
  uint64_t grace_us = host->options.grace_us;
  return grace_us
         - larger (grace_us / EXIT_SHARE, smaller (EXIT_MIN_US, grace_us / SHORT_GRACE_SHARE));
}

static int
has_callers (const WlHost *host)
{
  return wl_web_connections (host->client_server) > 0;
}

/*
 * A stopping node serves callers until their cached addresses have expired, then
 * closes connections as they become idle, and at last ends what remains.
 */
static void
stop_tick (WlHost *host, uint64_t now_us)
{
  if (host->stopping_us == 0)
    return;
  uint64_t elapsed_us = now_us - host->stopping_us;
  int is_last_part = elapsed_us >= close_delay_us (host);
  if (is_last_part && !host->is_closing)
    wl_relay_close (host->relay);
  if (is_last_part)
    wl_web_close (host->client_server);
  else if (elapsed_us > host->options.linger_us)
    wl_web_close_idle (host->client_server);
  else
    return;
  if (host->is_closing || (!is_last_part && has_callers (host)))
    return;
  host->is_closing = 1;
  wl_host_fail_leader_requests (host);
}

/* Whether anything may be due at the next tick; otherwise slow ticks are enough. */
static int
is_busy (const WlHost *host)
{
  return wl_host_is_replica (host) || host->outbound_reports.n_reports > 0
         || host->inbound_reports.n_reports > 0 || host->leader_requests != NULL
         || host->is_config_pending || host->saved_config.size > 0
         || wl_relay_active (host->relay) > 0 || host->stopping_us != 0;
}

static void
tick (WlHost *host, uint64_t now_us)
{
  if (now_us < host->next_tick_us)
    return;
  if (host->next_tick_us > 0)
    wl_histogram_add (&wl_relay_metrics (host->relay)->loop_lag, now_us - host->next_tick_us);
  host->next_tick_us = now_us + (is_busy (host) ? WL_HOST_TICK_US : SLOW_TICK_US);
  wl_relay_tick (host->relay, now_us);
  stop_tick (host, now_us);
  wl_host_config_tick (host, now_us);
  slow_tick (host, now_us);
}

/* Runs once per iteration of the event loop, so that one disk sync covers its proposals. */
static void
run_config_store (WlHost *host, uint64_t now_us)
{
  if (!wl_host_is_replica (host))
    return;
  WlEffects *fx = wl_effects_create ();
  wl_config_store_tick (host->config_store, now_us, fx);
  wl_config_store_flush (host->config_store, now_us, fx);
  submit_effects (host, fx);
  wl_host_adopt_committed (host);
}

void
wl_host_run_once (WlHost *host)
{
  uint64_t now_us = wl_clock_now_us ();
  uint64_t wait_us = host->next_tick_us > now_us ? host->next_tick_us - now_us : 0;
  wl_reactor_poll (host->reactor, wait_us);
  now_us = wl_clock_now_us ();
  tick (host, now_us);
  receive_local (host);
  if (is_busy (host) && host->next_tick_us > now_us + WL_HOST_TICK_US)
    host->next_tick_us = now_us + WL_HOST_TICK_US;
  run_config_store (host, now_us);
  wl_host_flush_limits (host, now_us);
  receive_local (host);
  wl_membership_flush (host->membership, now_us);
  wl_host_flush_work (host);
  wl_host_flush_parts (host, now_us);
  wl_host_save_parts (host, now_us);
  wl_host_start_observe (host, now_us);
  wl_peers_flush (host->peers);
  wl_tcp_flush (host->loop);
}

/* ---- state ---- */

int
wl_host_is_ready (const WlHost *host)
{
  if (host->stopping_us != 0 || wl_relay_routes (host->relay) == NULL)
    return 0;
  return host->fleet->n_endpoints > 0
         || wl_clock_now_us () > host->started_us + WL_HOST_READY_TIMEOUT_US;
}

int
wl_host_is_replica (const WlHost *host)
{
  return host->config_store != NULL && !host->has_failed;
}

int
wl_host_has_failed (const WlHost *host)
{
  return host->has_failed;
}

void
wl_host_stop (WlHost *host)
{
  if (host->stopping_us != 0)
    return;
  host->stopping_us = wl_clock_now_us ();
  wl_web_drain (host->client_server);
  const WlRelayStop stop = {
    .began_us = host->stopping_us,
    .moved_us = host->stopping_us + host->options.address_lifetime_us,
    .close_us = host->stopping_us + close_delay_us (host),
  };
  wl_relay_stop (host->relay, &stop);
  wl_host_limits_tick (host, host->stopping_us); /* another node is the issuer from now on */
  wl_membership_announce (host->membership, host->stopping_us);
}

int
wl_host_is_closing (const WlHost *host)
{
  return host->is_closing;
}

int
wl_host_may_exit (const WlHost *host)
{
  if (host->stopping_us == 0)
    return 0;
  uint64_t elapsed_us = wl_clock_now_us () - host->stopping_us;
  if (elapsed_us >= exit_delay_us (host))
    return host->is_closing; /* a process that did not run for a while ends its requests first */
  return host->is_closing && !has_callers (host) && wl_tcp_finishing (host->loop) == 0;
}

void
wl_host_set_seeds (WlHost *host, const uint32_t *seeds, uint32_t n_seeds)
{
  host->options.n_seeds = n_seeds < WL_HOST_SEEDS_MAX ? n_seeds : WL_HOST_SEEDS_MAX;
  memcpy (host->options.seeds, seeds, host->options.n_seeds * sizeof *seeds);
}

/* Whether the nodes of a failure domain are listed, by the home regions of the host. */
static int
may_list (const WlHost *host, const WlHostLookup *lookup, const char *domain)
{
  WlRegionMap map = region_map (host);
  const char *region
      = lookup->region[0] != '\0' ? lookup->region : wl_homes_region (&map, lookup->domain);
  return wl_homes_list_node (wl_relay_routes (host->relay), lookup->name, region,
                             wl_homes_region (&map, domain));
}

uint32_t
wl_host_addresses (WlHost *host, const WlHostLookup *lookup, WlHostAddress *out)
{
  const char *domain = lookup->domain;
  uint64_t now_us = wl_clock_now_us ();
  uint32_t n_nodes = host->roster->n_nodes;
  uint32_t n = 0;
  uint32_t n_others = 0;
  WlHostAddress others[WL_HOST_ADDRESSES_MAX];
  if (wl_host_is_ready (host) && may_list (host, lookup, host->options.domain))
    {
      WlHostAddress self = { host->options.node, host->options.client_port };
      if (strcmp (host->options.domain, domain) == 0)
        out[n++] = self;
      else
        others[n_others++] = self;
    }
  /* Each list starts at a random node, since it may not have room for all. */
  uint64_t first = wl_random_next (&host->membership->view->random);
  for (uint32_t i = 0; i < n_nodes; i++)
    {
      const WlRosterNode *node = &host->roster->nodes[(first + i) % n_nodes];
      if (!wl_roster_accepts_requests (node, now_us)
          || !may_list (host, lookup, node->status.domain))
        continue;
      WlHostAddress address = { node->status.node, (uint16_t)node->status.client_port };
      if (strcmp (node->status.domain, domain) != 0)
        {
          if (n_others < WL_HOST_ADDRESSES_MAX)
            others[n_others++] = address;
        }
      else if (n < WL_HOST_ADDRESSES_MAX)
        out[n++] = address;
    }
  if (n >= 2)
    return n;
  for (uint32_t i = 0; i < n_others && n < WL_HOST_ADDRESSES_MAX; i++)
    out[n++] = others[i];
  return n;
}

void
wl_host_write_metrics (WlHost *host, WlBuffer *out)
{
  uint64_t now_us = wl_clock_now_us ();
  uint64_t n_usable = 0;
  for (uint32_t i = 0; i < host->fleet->n_endpoints; i++)
    n_usable += (uint64_t)wl_fleet_is_usable (&host->fleet->endpoints[i], now_us);
  wl_metrics_write (wl_relay_metrics (host->relay), out);
  wl_metrics_write_gauge (out, "requests_active", wl_relay_active (host->relay));
  wl_metrics_write_gauge (out, "quarantined_parts",
                          wl_quarantine_n_entries (wl_relay_quarantine (host->relay)));
  wl_metrics_write_gauge (out, "limits_in_force", wl_limits_count (wl_relay_limits (host->relay)));
  wl_metrics_write_gauge (out, "nodes_alive", wl_roster_count_alive (host->roster, now_us));
  wl_metrics_write_gauge (out, "endpoints_known", host->fleet->n_endpoints);
  wl_metrics_write_gauge (out, "endpoints_usable", n_usable);
  wl_metrics_write_gauge (out, "evacuated_domains", host->fleet->n_evacuated);
  wl_metrics_write_gauge (out, "cold_endpoints", wl_relay_n_cold (host->relay));
  WlPeersTraffic traffic = wl_peers_traffic (host->peers);
  wl_metrics_write_gauge (out, "peer_queued_bytes", traffic.queued_bytes);
  wl_metrics_write_gauge (out, "peer_sent_bytes", traffic.sent_bytes);
  wl_metrics_write_gauge (out, "peer_dropped_frames", traffic.dropped_frames);
  wl_host_write_config_metrics (host, out);
  wl_host_write_start_metrics (host, out);
  wl_metrics_write_gauge (out, "control_leader", wl_host_leader (host, now_us));
  wl_metrics_write_gauge (out, "ready", (uint64_t)wl_host_is_ready (host));
}
