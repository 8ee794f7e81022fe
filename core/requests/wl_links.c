#include <stdlib.h>
#include <string.h>
#include "wl_links.h"

enum
{
  UPDATES_CAPACITY_MIN = 16,
};

WlLink *
wl_links_get (WlEntry *entry, const char *service, uint32_t shard)
{
  for (WlLink *l = entry->links; l != NULL; l = l->next)
    if (l->shard == shard && strcmp (l->service, service) == 0)
      return l;
  WlLink *l = calloc (1, sizeof *l);
  if (l == NULL)
    abort ();
  strncpy (l->service, service, sizeof l->service - 1);
  l->shard = shard;
  l->next = entry->links;
  entry->links = l;
  return l;
}

void
wl_links_add_update (WlLink *link, const WlAttemptUpdate *update)
{
  if (link->n_updates == link->updates_capacity)
    {
      link->updates_capacity
          = link->updates_capacity > 0 ? 2 * link->updates_capacity : UPDATES_CAPACITY_MIN;
      link->updates = realloc (link->updates, link->updates_capacity * sizeof *link->updates);
      if (link->updates == NULL)
        abort ();
    }
  link->updates[link->n_updates++] = (WlPendingUpdate){ *update, 0 };
  link->send_now = 1;
}

static int
holds_grant (const WlRequest *r, const WlLink *l)
{
  return r->state == WL_REQUEST_RUNNING && r->shard == l->shard
         && strcmp (r->service, l->service) == 0;
}

static uint32_t
count_held_grants (const WlEntry *entry, const WlLink *link)
{
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, entry->requests); i; i = apr_hash_next (i))
    n += (uint32_t)holds_grant (apr_hash_this_val (i), link);
  return n;
}

static void
list_held_grants (const WlEntry *entry, const WlLink *link, WlGrantRenewal *renewal,
                  apr_pool_t *pool)
{
  renewal->full = 1;
  renewal->grants = apr_pcalloc (pool, (renewal->n_held + 1) * sizeof *renewal->grants);
  for (apr_hash_index_t *i = apr_hash_first (NULL, entry->requests); i; i = apr_hash_next (i))
    {
      WlRequest *r = apr_hash_this_val (i);
      if (!holds_grant (r, link))
        continue;
      WlHeldGrant *g = &renewal->grants[renewal->n_grants++];
      g->request = r->id;
      g->attempt = r->attempt;
      strcpy (g->customer, r->customer);
      g->prompt_tokens = r->prompt_tokens;
      g->max_tokens = r->max_tokens;
      g->first_token = r->has_first_token;
      g->endpoints = r->endpoints;
      g->n_endpoints = r->n_endpoints;
    }
}

static void
send_renewal (WlEntry *entry, WlLink *link, const WlEventContext *ctx)
{
  WlMessage m = { .kind = WL_MESSAGE_HOLD };
  WlGrantRenewal *renewal = &m.u.hold;
  link->sequence++;
  renewal->node = entry->settings->self.node;
  renewal->incarnation = entry->settings->incarnation;
  strcpy (renewal->service, link->service);
  renewal->shard = link->shard;
  renewal->fence = link->fence;
  renewal->sequence = link->sequence;
  renewal->n_held = count_held_grants (entry, link);
  link->n_held = renewal->n_held;
  if (ctx->now_us >= link->next_full_us)
    {
      list_held_grants (entry, link, renewal, ctx->fx->pool);
      link->next_full_us = ctx->now_us + WL_ENTRY_FULL_RENEWAL_US;
    }
  renewal->updates = apr_pcalloc (ctx->fx->pool, (link->n_updates + 1) * sizeof *renewal->updates);
  for (uint32_t i = 0; i < link->n_updates; i++)
    {
      /* Updates that were sent before are repeated only with the periodic renewal. */
      if (link->updates[i].renewal_sequence != 0 && ctx->now_us < link->next_renewal_us)
        continue;
      if (link->updates[i].renewal_sequence == 0)
        link->updates[i].renewal_sequence = link->sequence;
      renewal->updates[renewal->n_updates++] = link->updates[i].update;
    }
  link->send_now = 0;
  int is_idle = renewal->n_held == 0 && link->n_updates == 0;
  if (ctx->now_us >= link->next_renewal_us)
    link->next_renewal_us
        = ctx->now_us + (is_idle ? WL_ENTRY_IDLE_RENEWAL_US : WL_GRANT_RENEW_INTERVAL_US);
  wl_effects_send (ctx->fx, link->owner, &m);
}

/* Updates the owner from the directory; a new one gets a full renewal and all updates at once. */
static void
follow_owner (const WlEntry *entry, WlLink *link)
{
  const WlCellLease *cell = wl_session_find_cell (entry->session, link->service, link->shard);
  if (cell == NULL || cell->fence <= link->fence)
    return;
  link->fence = cell->fence;
  link->owner = cell->owner;
  link->next_full_us = 0;
  link->next_renewal_us = 0;
  link->ready = 0;
  link->send_now = 1;
  for (uint32_t i = 0; i < link->n_updates; i++)
    link->updates[i].renewal_sequence = 0;
}

void
wl_links_tick (WlEntry *entry, const WlEventContext *ctx)
{
  for (WlLink *l = entry->links; l != NULL; l = l->next)
    {
      follow_owner (entry, l);
      if (l->owner == 0)
        continue;
      int is_due = ctx->now_us >= l->next_renewal_us;
      if (l->send_now || is_due)
        send_renewal (entry, l, ctx);
    }
}

void
wl_links_acknowledge (WlEntry *entry, const WlGrantRenewalReply *reply)
{
  WlLink *l = wl_links_get (entry, reply->service, reply->shard);
  uint32_t kept = 0;
  if (reply->fence != l->fence)
    return;
  l->ready = reply->ready;
  for (uint32_t i = 0; i < l->n_updates; i++)
    if (l->updates[i].renewal_sequence == 0 || l->updates[i].renewal_sequence > reply->sequence)
      l->updates[kept++] = l->updates[i];
  l->n_updates = kept;
  if (reply->want_full)
    l->next_full_us = 0;
}

int
wl_links_request_placement (WlEntry *entry, const WlRequest *request, const WlEventContext *ctx)
{
  WlLink *l = wl_links_get (entry, request->service, request->shard);
  WlMessage m = { .kind = WL_MESSAGE_PLACE };
  WlPlacementRequest *p = &m.u.place;
  follow_owner (entry, l);
  if (l->owner == 0)
    return 0;
  p->node = entry->settings->self.node;
  p->request = request->id;
  p->attempt = request->attempt;
  strcpy (p->service, request->service);
  p->shard = request->shard;
  strcpy (p->customer, request->customer);
  strcpy (p->domain, entry->settings->self.domain);
  p->prompt_tokens = request->prompt_tokens + request->delivered;
  p->max_tokens = request->max_tokens - request->delivered;
  p->remaining_us = request->deadline_us > ctx->now_us ? request->deadline_us - ctx->now_us : 0;
  p->waited_us = ctx->now_us - request->admitted_us;
  p->prefixes = (WlPrefixHash *)(uintptr_t)request->prefixes;
  p->n_prefixes = request->n_prefixes;
  p->excluded = (WlExcludedEndpoint *)(uintptr_t)request->excluded;
  p->n_excluded = request->n_excluded;
  wl_effects_send (ctx->fx, l->owner, &m);
  return 1;
}

uint32_t
wl_links_count_pending (const WlEntry *entry)
{
  uint32_t n = 0;
  for (const WlLink *l = entry->links; l != NULL; l = l->next)
    if (l->owner != entry->settings->self.node)
      n += l->n_updates;
  return n;
}

void
wl_links_destroy (WlEntry *entry)
{
  while (entry->links != NULL)
    {
      WlLink *l = entry->links;
      entry->links = l->next;
      free (l->updates);
      free (l);
    }
}
