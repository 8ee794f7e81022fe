#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_delta.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"

/* The configuration at a node: its distribution, and requests to the control leader. */

enum
{
  PULL_INTERVAL_US = 150000, /* shortest time between two pulls */
  /* After the start: a running node sends a newer configuration in less. */
  SAVED_CONFIG_DELAY_US = 40000,
};

uint32_t
wl_host_leader (const WlHost *host, uint64_t now_us)
{
  uint32_t leader = wl_host_is_replica (host) ? wl_config_store_leader (host->config_store) : 0;
  return leader != 0 ? leader : wl_roster_leader (host->roster, 0, now_us);
}

/* ---- the current configuration ---- */

static void
log_findings (uint64_t number, const WlFindings *findings)
{
  for (size_t i = 0; i < findings->count; i++)
    wl_log_eventf (WL2106_CONFIG_UNREADABLE, "number=%" PRIu64 " finding=\"%s\"", number,
                   findings->items[i].text);
}

/* Applies the latest configuration; one that cannot be parsed leaves the previous one in use. */
static void
apply_config (WlHost *host, uint64_t now_us)
{
  uint64_t version;
  WlFindings findings = { 0 };
  WlBytes text = wl_config_split_version (host->config, &version);
  host->is_config_pending = 0;
  host->config_applied_us = now_us;
  if (text.size == 0 && host->n_evacuations > 0)
    return; /* no configuration yet, only evacuations */
  WlRoutes *routes = host->options.parse (text, &findings);
  if (routes == NULL)
    log_findings (host->config_number, &findings);
  wl_findings_clear (&findings);
  if (routes == NULL)
    return;
  routes->number = host->config_number;
  wl_web_set_limits (host->client_server, &routes->limits);
  wl_relay_set_routes (host->relay, routes);
  wl_log_eventf (WL2103_CONFIG_APPLIED, "number=%" PRIu64 " version=%" PRIu64 " routes=%u bytes=%u",
                 host->config_number, version, routes->n_routes, host->config.size);
}

static void
apply_when_due (WlHost *host, uint64_t now_us)
{
  if (host->is_config_pending && now_us >= host->config_applied_us + WL_HOST_APPLY_INTERVAL_US)
    apply_config (host, now_us);
}

/* ---- evacuations ---- */

static void
log_evacuation (WlHost *host, const WlEvacuation *e)
{
  wl_relay_metrics (host->relay)->evacuations_changed++;
  /* Saved at the next opportunity: after a power loss the saved document is in use until there is
     a leader, and an older one would send requests to the domain again. */
  host->config_saved_us = 0;
  wl_log_eventf (e->is_active ? WL2113_DOMAIN_EVACUATED : WL2114_DOMAIN_RETURNED,
                 "zone=\"%s\" sequence=%" PRIu64 " number=%" PRIu64, e->domain, e->sequence,
                 host->config_number);
}

/* Logs and applies what differs from the previous evacuations, which @host still has. */
static void
note_changes (WlHost *host, const WlConfigDocument *document, int is_first)
{
  const WlConfigDocument before
      = { .evacuations = host->evacuations, .n_evacuations = host->n_evacuations };
  for (uint32_t i = 0; i < document->n_evacuations; i++)
    {
      const WlEvacuation *e = &document->evacuations[i];
      if (wl_config_document_evacuation (&before, e->domain).sequence == e->sequence)
        continue;
      /* An evacuation that had ended when this node started is no change. */
      if (is_first && !e->is_active)
        continue;
      log_evacuation (host, e);
      if (!e->is_active)
        wl_relay_domain_returned (host->relay, e->domain, wl_clock_now_us ());
    }
}

static void
apply_evacuations (WlHost *host, int is_first)
{
  char evacuated[WL_EVACUATIONS_MAX][WL_LABEL_SIZE];
  uint32_t n = 0;
  WlConfigDocument document;
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  host->is_document_unreadable = wl_config_document_decode (host->config, pool, &document) != WL_OK;
  if (host->is_document_unreadable)
    {
      /* What is evacuated remains so. */
      wl_log_eventf (WL2106_CONFIG_UNREADABLE, "number=%" PRIu64 " reason=evacuations",
                     host->config_number);
      apr_pool_destroy (pool);
      return;
    }
  for (uint32_t i = 0; i < document.n_evacuations; i++)
    if (document.evacuations[i].is_active)
      memcpy (evacuated[n++], document.evacuations[i].domain, WL_LABEL_SIZE);
  wl_fleet_set_evacuated (host->fleet, (const char (*)[WL_LABEL_SIZE])evacuated, n);
  note_changes (host, &document, is_first);
  free (host->evacuations);
  host->evacuations = calloc (document.n_evacuations + 1, sizeof *host->evacuations);
  if (host->evacuations == NULL)
    abort ();
  if (document.n_evacuations > 0)
    memcpy (host->evacuations, document.evacuations,
            document.n_evacuations * sizeof *host->evacuations);
  host->n_evacuations = document.n_evacuations;
  apr_pool_destroy (pool);
}

int
wl_host_knows_domain (const WlHost *host, const char *domain)
{
  if (strcmp (host->options.domain, domain) == 0)
    return 1;
  for (uint32_t i = 0; i < host->options.n_domains; i++)
    if (strcmp (host->options.domains[i].name, domain) == 0)
      return 1;
  for (uint32_t i = 0; i < host->n_evacuations; i++)
    if (strcmp (host->evacuations[i].domain, domain) == 0)
      return 1;
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    if (strcmp (host->roster->nodes[i].status.domain, domain) == 0)
      return 1;
  for (uint32_t i = 0; i < host->fleet->n_endpoints; i++)
    if (strcmp (host->fleet->endpoints[i].record.domain, domain) == 0)
      return 1;
  return 0;
}

/* ---- the latest document ---- */

/*
 * Accepts a committed document unless its number is old. Its evacuations are applied at once, its
 * configuration by apply_when_due (), so that of several in quick succession only the last is.
 */
static void
adopt_config (WlHost *host, uint64_t number, WlBytes config)
{
  int is_first = host->config_number == 0;
  if (number <= host->config_number)
    return;
  WlBytes copy = wl_bytes_dup (config);
  wl_bytes_release (&host->config);
  wl_bytes_release (&host->full_config);
  host->config = copy;
  host->config_number = number;
  host->is_config_pending = 1;
  apply_evacuations (host, is_first);
  /* Other nodes may wait for a configuration. */
  if (is_first)
    wl_membership_announce (host->membership, wl_clock_now_us ());
}

/*
 * After a restart, falls back to the configuration saved on disk, so that callers
 * are served even without a quorum or before a leader is elected.
 */
static void
adopt_saved (WlHost *host, uint64_t now_us)
{
  if (host->saved_config.size == 0 || now_us < host->started_us + SAVED_CONFIG_DELAY_US)
    return;
  adopt_config (host, host->saved_config_number, host->saved_config);
  wl_bytes_release (&host->saved_config);
}

void
wl_host_full_config (WlHost *host, WlConfigChange *out)
{
  apr_pool_t *pool;
  memset (out, 0, sizeof *out);
  out->number = host->config_number;
  wl_digest (host->config, out->digest);
  if (host->full_config.size == 0)
    {
      apr_pool_create (&pool, NULL);
      host->full_config = wl_bytes_dup (wl_config_compress (host->config, pool));
      apr_pool_destroy (pool);
    }
  out->middle = host->full_config;
  out->is_compressed = 1;
}

/* ---- distribution ---- */

static void
send_change (WlHost *host, uint32_t node, const WlConfigChange *change)
{
  WlMessage m = { .kind = WL_MESSAGE_CONFIG_PUSH };
  m.u.config_push.number = change->number;
  m.u.config_push.change = *change;
  m.u.config_push.change.removed = (WlBytes){ NULL, 0 };
  if (node != 0)
    wl_host_send (host, node, &m);
  else
    wl_host_broadcast (host, &m);
}

/* Sends a node the changes that it missed if they are kept here, else the full configuration. */
static void
send_missing_changes (WlHost *host, uint32_t node, uint64_t has_number)
{
  WlConfigChange full;
  if (has_number > 0
      && wl_recent_changes_cover (&host->recent_changes, has_number, host->config_number))
    {
      for (uint64_t n = has_number + 1; n <= host->config_number; n++)
        send_change (host, node, wl_recent_changes_find (&host->recent_changes, n));
      return;
    }
  wl_host_full_config (host, &full);
  send_change (host, node, &full);
}

/* Whether a node can apply a change. A node that misses earlier ones pulls them instead. */
static int
can_apply (const WlRosterNode *node, const WlConfigChange *change)
{
  uint64_t has_number = node->status.config_number;
  return has_number < change->number && (change->replaces != 0 || has_number == 0);
}

/*
 * Forwards a change: in a small fleet to all nodes, in a large one to the nodes
 * that get their membership reports here. There the leader forwards it to relays
 * of other failure domains, too.
 */
static void
forward_change (WlHost *host, const WlConfigChange *change)
{
  uint32_t contacts[WL_VIEW_CONTACTS_MAX];
  uint64_t now_us = wl_clock_now_us ();
  uint32_t n_contacts = 0;
  if (wl_view_is_mesh (host->membership->view))
    {
      send_change (host, 0, change);
      return;
    }
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      const WlRosterNode *n = &host->roster->nodes[i];
      if (wl_view_is_subscriber (n, now_us) && can_apply (n, change))
        send_change (host, n->status.node, change);
    }
  if (wl_host_is_replica (host)
      && wl_config_store_leader (host->config_store) == host->options.node)
    n_contacts = wl_view_contacts (host->membership->view, now_us, contacts);
  for (uint32_t i = 0; i < n_contacts; i++)
    {
      const WlRosterNode *n = wl_roster_find (host->roster, contacts[i]);
      if (n != NULL && !wl_view_is_subscriber (n, now_us) && can_apply (n, change))
        send_change (host, contacts[i], change);
    }
}

/* Records the changes that the replica committed after @before. Returns whether none is missing. */
static int
record_committed_changes (WlHost *host, uint64_t before, uint64_t number)
{
  for (uint64_t n = before + 1; n <= number; n++)
    {
      const WlConfigChange *change = wl_config_store_find_change (host->config_store, n);
      if (change != NULL)
        wl_recent_changes_add (&host->recent_changes, change);
      else
        wl_recent_changes_clear (&host->recent_changes);
    }
  return wl_recent_changes_cover (&host->recent_changes, before, number);
}

/*
 * Holds the latest committed configuration that is not in use. Returns whether one is held.
 *
 * A leader counts its own copy for the majority before it is synced. If that copy is lost with the
 * process, the next configuration gets the same number, and a node that already uses the lost one
 * ignores it.
 */
static int
hold_committed (WlHost *host)
{
  uint64_t number;
  WlBytes config = wl_config_store_latest (host->config_store, &number);
  if (host->unstored_number == 0 && number > host->config_number)
    {
      host->unstored_number = number;
      host->unstored_config = wl_bytes_dup (config);
      host->unstored_until_batch = wl_journal_n_submitted (host->journal);
    }
  return host->unstored_number != 0;
}

static void
adopt_stored (WlHost *host)
{
  uint64_t before = host->config_number;
  uint64_t number = host->unstored_number;
  WlBytes config = host->unstored_config;
  WlConfigChange full;
  host->unstored_number = 0;
  host->unstored_config = (WlBytes){ NULL, 0 };
  if (number > before)
    {
      int has_changes = record_committed_changes (host, before, number);
      adopt_config (host, number, config);
      if (wl_config_store_leader (host->config_store) == host->options.node
          || !wl_view_is_mesh (host->membership->view))
        {
          for (uint64_t n = before + 1; has_changes && n <= number; n++)
            forward_change (host, wl_recent_changes_find (&host->recent_changes, n));
          if (!has_changes)
            {
              wl_host_full_config (host, &full);
              forward_change (host, &full);
            }
        }
      apply_when_due (host, wl_clock_now_us ());
    }
  wl_bytes_release (&config);
}

void
wl_host_adopt_committed (WlHost *host)
{
  while (wl_host_is_replica (host) && hold_committed (host)
         && wl_journal_n_released (host->journal) >= host->unstored_until_batch)
    adopt_stored (host);
}

void
wl_host_pull_config (WlHost *host, uint32_t node, uint64_t number, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_CONFIG_PULL };
  if (number <= host->config_number || now_us < host->config_pulled_us + PULL_INTERVAL_US)
    return;
  host->config_pulled_us = now_us;
  m.u.config_pull.number = host->config_number;
  wl_host_send (host, node, &m);
}

static void
on_push (WlHost *host, uint32_t from, const WlConfigPush *push, uint64_t now_us)
{
  apr_pool_t *pool;
  WlBytes config;
  const WlConfigChange *c = &push->change;
  if (push->number <= host->config_number)
    return;
  if (c->replaces != 0 && c->replaces != host->config_number)
    {
      wl_host_pull_config (host, from, push->number, now_us);
      return;
    }
  apr_pool_create (&pool, NULL);
  WlBytes old_config = c->replaces != 0 ? host->config : (WlBytes){ NULL, 0 };
  if (wl_delta_apply (old_config, c, pool, &config) == WL_OK)
    {
      wl_log_eventf (WL2110_CONFIG_RECEIVED,
                     "number=%" PRIu64 " replaces=%" PRIu64 " peer=%u change_bytes=%u",
                     push->number, c->replaces, from, c->middle.size);
      if (c->replaces != 0)
        wl_recent_changes_add (&host->recent_changes, c);
      else
        wl_recent_changes_clear (&host->recent_changes);
      adopt_config (host, push->number, config);
      /* Forwarded first, since applying takes longer and other nodes wait for the change. */
      if (!wl_view_is_mesh (host->membership->view))
        forward_change (host, c);
      apply_when_due (host, now_us);
    }
  else
    wl_log_eventf (WL2106_CONFIG_UNREADABLE, "number=%" PRIu64 " peer=%u reason=digest",
                   push->number, from);
  apr_pool_destroy (pool);
}

/* ---- requests to the control leader ---- */

static void
send_request (WlHost *host, WlHostLeaderRequest *r, uint64_t now_us)
{
  WlMessage m = { .kind = r->kind };
  uint32_t leader = wl_host_leader (host, now_us);
  r->sent_us = now_us;
  if (leader == 0)
    return;
  r->n_sent++;
  if (r->kind == WL_MESSAGE_SUBMIT)
    {
      m.u.submit.id = r->id;
      m.u.submit.node = host->options.node;
      m.u.submit.replaces = r->version;
      m.u.submit.config = r->config;
      m.u.submit.is_compressed = 1;
    }
  else if (r->kind == WL_MESSAGE_EVACUATE)
    {
      m.u.evacuate.id = r->id;
      m.u.evacuate.node = host->options.node;
      memcpy (m.u.evacuate.domain, r->domain, sizeof m.u.evacuate.domain);
      m.u.evacuate.sequence = r->sequence;
      m.u.evacuate.is_finish = r->is_finish;
    }
  else
    {
      m.u.query.id = r->id;
      m.u.query.node = host->options.node;
      m.u.query.number = host->config_number;
    }
  wl_host_send (host, leader, &m);
}

static WlHostLeaderRequest *
add_request (WlHost *host, WlMessageKind kind, WlHostAnswer on_answer, void *data)
{
  WlHostLeaderRequest *r = calloc (1, sizeof *r);
  if (r == NULL)
    abort ();
  r->id = host->boot_id ^ ++host->next_leader_request;
  r->handle = r->id;
  r->kind = kind;
  r->on_answer = on_answer;
  r->data = data;
  r->created_us = wl_clock_now_us ();
  r->next = host->leader_requests;
  host->leader_requests = r;
  return r;
}

/* Returns the number of requests in progress, and the size of their configurations. */
static uint32_t
count_requests (const WlHost *host, uint64_t *bytes)
{
  uint32_t n = 0;
  *bytes = 0;
  for (const WlHostLeaderRequest *r = host->leader_requests; r != NULL; r = r->next, n++)
    *bytes += r->config.size;
  return n;
}

uint64_t
wl_host_submit_config (WlHost *host, uint64_t version, WlBytes config, WlHostAnswer on_answer,
                       void *data)
{
  apr_pool_t *pool;
  uint64_t bytes;
  uint64_t id = 0;
  uint32_t n = count_requests (host, &bytes);
  apr_pool_create (&pool, NULL);
  WlBytes compressed = wl_config_compress (config, pool);
  if (host->is_closing || n >= WL_HOST_LEADER_REQUESTS_MAX
      || bytes + compressed.size > WL_HOST_SUBMISSIONS_BYTES)
    wl_log_eventf (WL2111_SUBMISSION_REFUSED,
                   "version=%" PRIu64 " bytes=%u waiting=%u waiting_bytes=%" PRIu64, version,
                   compressed.size, n, bytes);
  else
    {
      WlHostLeaderRequest *r = add_request (host, WL_MESSAGE_SUBMIT, on_answer, data);
      r->version = version;
      r->config = wl_bytes_dup (compressed);
      id = r->id;
      send_request (host, r, r->created_us);
    }
  apr_pool_destroy (pool);
  return id;
}

uint64_t
wl_host_read_config (WlHost *host, WlHostAnswer on_answer, void *data)
{
  uint64_t bytes;
  if (host->is_closing || count_requests (host, &bytes) >= WL_HOST_LEADER_REQUESTS_MAX)
    return 0;
  WlHostLeaderRequest *r = add_request (host, WL_MESSAGE_QUERY, on_answer, data);
  send_request (host, r, r->created_us);
  return r->id;
}

uint64_t
wl_host_evacuate (WlHost *host, const char *domain, int is_finish, WlHostAnswer on_answer,
                  void *data)
{
  uint64_t bytes;
  if (host->is_closing
      || count_requests (host, &bytes) >= WL_HOST_LEADER_REQUESTS_MAX + WL_HOST_EVACUATIONS_MAX)
    return 0;
  WlHostLeaderRequest *r = add_request (host, WL_MESSAGE_QUERY, on_answer, data);
  snprintf (r->domain, sizeof r->domain, "%s", domain);
  r->is_finish = is_finish != 0;
  send_request (host, r, r->created_us);
  return r->handle;
}

/* The request with an id; NULL after a cancellation, or for a duplicate response. */
static WlHostLeaderRequest *
find_request (const WlHost *host, uint64_t id)
{
  WlHostLeaderRequest *r = host->leader_requests;
  while (r != NULL && r->id != id)
    r = r->next;
  return r;
}

/* Removes a request from the list; the caller frees it. NULL when there is none with this handle.
 */
static WlHostLeaderRequest *
remove_request (WlHost *host, uint64_t handle)
{
  for (WlHostLeaderRequest **slot = &host->leader_requests; *slot != NULL; slot = &(*slot)->next)
    if ((*slot)->handle == handle)
      {
        WlHostLeaderRequest *r = *slot;
        *slot = r->next;
        return r;
      }
  return NULL;
}

static void
free_request (WlHostLeaderRequest *r)
{
  wl_bytes_release (&r->config);
  free (r);
}

void
wl_host_cancel (WlHost *host, uint64_t request)
{
  WlHostLeaderRequest *r = remove_request (host, request);
  if (r != NULL)
    free_request (r);
}

static void
finish_request (WlHost *host, const WlHostLeaderRequest *request, WlHostOutcome outcome,
                WlBytes config)
{
  WlHostLeaderRequest *r = remove_request (host, request->handle);
  r->on_answer (r->data, outcome, config);
  free_request (r);
}

/*
 * The leader's queue is full. A submission that was sent before may have been
 * accepted by an earlier leader, so it is repeated until its timeout.
 */
static void
on_submit_refused (WlHost *host, const WlHostLeaderRequest *r)
{
  if (r->n_sent == 1)
    finish_request (host, r, WL_HOST_REFUSED, (WlBytes){ NULL, 0 });
}

/*
 * Goes on with an evacuation in another step; a response to the last step has another id. The next
 * tick after the retry interval sends it unless the caller does.
 */
static void
begin_step (WlHost *host, WlHostLeaderRequest *r, WlMessageKind kind, uint64_t now_us)
{
  r->kind = kind;
  r->id = host->boot_id ^ ++host->next_leader_request;
  r->n_sent = 0;
  r->sent_us = now_us;
}

static void
on_submit_reply (WlHost *host, uint32_t from, const WlSubmitReply *reply, uint64_t now_us)
{
  WlHostLeaderRequest *r = find_request (host, reply->id);
  if (r == NULL)
    return;
  switch (reply->outcome)
    {
    case WL_SUBMIT_ACCEPTED:
      /* Nothing more is to be sent to the domain from here, also if the change is late. */
      if (r->kind == WL_MESSAGE_EVACUATE)
        wl_host_pull_config (host, from, reply->current, now_us);
      finish_request (host, r, WL_HOST_DONE, (WlBytes){ NULL, 0 });
      break;
    case WL_SUBMIT_UNAVAILABLE:
      on_submit_refused (host, r);
      break;
    case WL_SUBMIT_CONFLICT:
      /* Not at once: the document here may stay ahead of the leader's, which refuses each time. */
      if (r->kind == WL_MESSAGE_EVACUATE)
        begin_step (host, r, WL_MESSAGE_QUERY, now_us);
      break;
    default:
      break;
    }
}

/* A read is confirmed: the document at this node is at least as new as when the read began. */
static void
finish_read (WlHost *host, WlHostLeaderRequest *r, WlBytes text)
{
  if (r->domain[0] == '\0')
    {
      finish_request (host, r, WL_HOST_DONE, text);
      return;
    }
  if (host->is_document_unreadable)
    {
      /* The list here is older: its sequence would be acknowledged as one of a repeated change. */
      finish_request (host, r, WL_HOST_UNKNOWN, (WlBytes){ NULL, 0 });
      return;
    }
  const WlConfigDocument document
      = { .evacuations = host->evacuations, .n_evacuations = host->n_evacuations };
  WlEvacuation e = wl_config_document_evacuation (&document, r->domain);
  if (e.is_active == !r->is_finish)
    {
      finish_request (host, r, WL_HOST_DONE, (WlBytes){ NULL, 0 });
      return;
    }
  r->sequence = e.sequence;
  begin_step (host, r, WL_MESSAGE_EVACUATE, wl_clock_now_us ());
  send_request (host, r, r->sent_us);
}

static void
on_query_reply (WlHost *host, const WlQueryReply *r)
{
  uint64_t version;
  apr_pool_t *pool;
  WlBytes config = r->config;
  WlHostLeaderRequest *request = find_request (host, r->id);
  if (request == NULL)
    return;
  if (r->has_config)
    {
      apr_pool_create (&pool, NULL);
      if (r->is_compressed && wl_config_decompress (r->config, pool, &config) != WL_OK)
        wl_log_eventf (WL2106_CONFIG_UNREADABLE, "number=%" PRIu64 " peer=%u reason=compression",
                       r->config_number, r->leader);
      else
        {
          adopt_config (host, r->config_number, config);
          finish_read (host, request, wl_config_split_version (config, &version));
        }
      apr_pool_destroy (pool);
    }
  else if (r->config_number <= host->config_number)
    finish_read (host, request, wl_config_split_version (host->config, &version));
}

int
wl_host_config_receive (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us)
{
  switch (message->kind)
    {
    case WL_MESSAGE_CONFIG_PULL:
      if (host->config_number > message->u.config_pull.number)
        send_missing_changes (host, from, message->u.config_pull.number);
      return 1;
    case WL_MESSAGE_CONFIG_PUSH:
      on_push (host, from, &message->u.config_push, now_us);
      return 1;
    case WL_MESSAGE_SUBMIT_REPLY:
      on_submit_reply (host, from, &message->u.submit_reply, now_us);
      return 1;
    case WL_MESSAGE_QUERY_REPLY:
      on_query_reply (host, &message->u.query_reply);
      return 1;
    case WL_MESSAGE_NOT_LEADER:
      return 1; /* repeated once the leader is known */
    default:
      return 0;
    }
}

static void
log_unanswered (const WlHost *host, const WlHostLeaderRequest *r, uint64_t now_us)
{
  if (r->domain[0] != '\0')
    {
      wl_log_eventf (WL2115_EVACUATION_UNANSWERED, "zone=\"%s\" finish=%u leader=%u", r->domain,
                     r->is_finish, wl_host_leader (host, now_us));
      return;
    }
  wl_log_eventf (r->kind == WL_MESSAGE_SUBMIT ? WL2108_CONFIG_UNANSWERED : WL2109_READ_UNCONFIRMED,
                 "version=%" PRIu64 " leader=%u", r->version, wl_host_leader (host, now_us));
}

void
wl_host_config_tick (WlHost *host, uint64_t now_us)
{
  adopt_saved (host, now_us);
  apply_when_due (host, now_us);
  for (WlHostLeaderRequest *r = host->leader_requests; r != NULL;)
    {
      WlHostLeaderRequest *next = r->next;
      int is_evacuation = r->domain[0] != '\0';
      uint64_t timeout_us
          = is_evacuation ? WL_HOST_EVACUATION_TIMEOUT_US : WL_HOST_LEADER_TIMEOUT_US;
      uint64_t retry_us = is_evacuation ? WL_HOST_EVACUATION_RETRY_US : WL_HOST_LEADER_RETRY_US;
      if (now_us > r->created_us + timeout_us)
        {
          log_unanswered (host, r, now_us);
          finish_request (host, r, WL_HOST_UNKNOWN, (WlBytes){ NULL, 0 });
          next = host->leader_requests; /* the callback may have dropped others */
        }
      else if (now_us > r->sent_us + retry_us)
        send_request (host, r, now_us);
      r = next;
    }
}

void
wl_host_write_config_metrics (const WlHost *host, WlBuffer *out)
{
  uint64_t submission_bytes;
  WlConfigStoreMemory memory;
  count_requests (host, &submission_bytes);
  wl_metrics_write_gauge (out, "config_number", host->config_number);
  wl_metrics_write_gauge (out, "config_text_bytes", host->config.size);
  wl_metrics_write_gauge (out, "config_submitted_bytes", submission_bytes);
  if (host->config_store == NULL)
    return;
  wl_config_store_memory (host->config_store, &memory);
  wl_metrics_write_gauge (out, "control_changes_bytes", memory.changes);
  wl_metrics_write_gauge (out, "control_log_bytes", memory.log);
  wl_metrics_write_gauge (out, "control_snapshot_bytes", memory.snapshot);
  wl_metrics_write_gauge (out, "control_waiting_bytes", memory.queued);
  wl_metrics_write_gauge (out, "journal_queued_bytes", wl_journal_queued_bytes (host->journal));
}

void
wl_host_fail_leader_requests (WlHost *host)
{
  while (host->leader_requests != NULL)
    {
      const WlHostLeaderRequest *r = host->leader_requests;
      log_unanswered (host, r, wl_clock_now_us ());
      finish_request (host, r, WL_HOST_UNKNOWN, (WlBytes){ NULL, 0 });
    }
}

void
wl_host_drop_leader_requests (WlHost *host)
{
  while (host->leader_requests != NULL)
    {
      WlHostLeaderRequest *r = host->leader_requests;
      host->leader_requests = r->next;
      free_request (r);
    }
}
