#include <stdlib.h>
#include <string.h>
#include "wl_links.h"

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
wl_links_note (WlLink *link, const WlNote *note)
{
  if (link->n_notes == link->notes_capacity)
    {
      link->notes_capacity = link->notes_capacity > 0 ? 2 * link->notes_capacity : 16;
      link->notes = realloc (link->notes, link->notes_capacity * sizeof *link->notes);
      if (link->notes == NULL)
        abort ();
    }
  link->notes[link->n_notes++] = (WlLinkNote){ *note, 0 };
  link->urgent = 1;
}

static int
holds_grant (const WlRequest *r, const WlLink *l)
{
  return r->state == WL_REQUEST_RUNNING && r->shard == l->shard
         && strcmp (r->service, l->service) == 0;
}

static uint32_t
count_held (const WlEntry *entry, const WlLink *link)
{
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, entry->requests); i; i = apr_hash_next (i))
    n += (uint32_t)holds_grant (apr_hash_this_val (i), link);
  return n;
}

static void
list_held (const WlEntry *entry, const WlLink *link, WlHold *hold, apr_pool_t *pool)
{
  hold->full = 1;
  hold->grants = apr_pcalloc (pool, (hold->n_held + 1) * sizeof *hold->grants);
  for (apr_hash_index_t *i = apr_hash_first (NULL, entry->requests); i; i = apr_hash_next (i))
    {
      WlRequest *r = apr_hash_this_val (i);
      if (!holds_grant (r, link))
        continue;
      WlHeldGrant *g = &hold->grants[hold->n_grants++];
      g->request = r->id;
      g->attempt = r->attempt;
      strcpy (g->customer, r->customer);
      g->prompt_tokens = r->prompt_tokens;
      g->max_tokens = r->max_tokens;
      g->first_token = r->has_first_token;
      g->seats = r->seats;
      g->n_seats = r->n_seats;
    }
}

static void
send_hold (WlEntry *entry, WlLink *link, const WlMoment *at)
{
  WlMessage m = { .kind = WL_MESSAGE_HOLD };
  WlHold *hold = &m.u.hold;
  link->sequence++;
  hold->node = entry->settings->self.node;
  hold->incarnation = entry->settings->incarnation;
  strcpy (hold->service, link->service);
  hold->shard = link->shard;
  hold->fence = link->fence;
  hold->sequence = link->sequence;
  hold->n_held = count_held (entry, link);
  link->n_held = hold->n_held;
  if (at->now_us >= link->full_us)
    {
      list_held (entry, link, hold, at->fx->pool);
      link->full_us = at->now_us + WL_ENTRY_FULL_HOLD_US;
    }
  hold->notes = apr_pcalloc (at->fx->pool, (link->n_notes + 1) * sizeof *hold->notes);
  for (uint32_t i = 0; i < link->n_notes; i++)
    {
      /* Notes already on their way are repeated only with the periodic hold. */
      if (link->notes[i].sequence != 0 && at->now_us < link->hold_us)
        continue;
      if (link->notes[i].sequence == 0)
        link->notes[i].sequence = link->sequence;
      hold->notes[hold->n_notes++] = link->notes[i].note;
    }
  link->urgent = 0;
  int is_idle = hold->n_held == 0 && link->n_notes == 0;
  if (at->now_us >= link->hold_us)
    link->hold_us = at->now_us + (is_idle ? WL_ENTRY_IDLE_HOLD_US : WL_HOLD_INTERVAL_US);
  wl_effects_send (at->fx, link->owner, &m);
}

/* Follows the directory: a new owner gets the full list at once. */
static void
follow_owner (const WlEntry *entry, WlLink *link)
{
  const WlCellLease *cell = wl_session_find_cell (entry->session, link->service, link->shard);
  if (cell == NULL || cell->fence <= link->fence)
    return;
  link->fence = cell->fence;
  link->owner = cell->owner;
  link->full_us = 0;
  link->hold_us = 0;
  link->ready = 0;
  link->urgent = 1;
  for (uint32_t i = 0; i < link->n_notes; i++)
    link->notes[i].sequence = 0;
}

void
wl_links_tick (WlEntry *entry, const WlMoment *at)
{
  for (WlLink *l = entry->links; l != NULL; l = l->next)
    {
      follow_owner (entry, l);
      if (l->owner == 0)
        continue;
      int is_due = at->now_us >= l->hold_us;
      if (l->urgent || is_due)
        send_hold (entry, l, at);
    }
}

void
wl_links_acknowledge (WlEntry *entry, const WlHoldReply *reply)
{
  WlLink *l = wl_links_get (entry, reply->service, reply->shard);
  uint32_t kept = 0;
  if (reply->fence != l->fence)
    return;
  l->ready = reply->ready;
  for (uint32_t i = 0; i < l->n_notes; i++)
    if (l->notes[i].sequence == 0 || l->notes[i].sequence > reply->sequence)
      l->notes[kept++] = l->notes[i];
  l->n_notes = kept;
  if (reply->want_full)
    l->full_us = 0;
}

int
wl_links_place (WlEntry *entry, const WlRequest *request, const WlMoment *at)
{
  WlLink *l = wl_links_get (entry, request->service, request->shard);
  WlMessage m = { .kind = WL_MESSAGE_PLACE };
  WlPlace *p = &m.u.place;
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
  p->left_us = request->deadline_us > at->now_us ? request->deadline_us - at->now_us : 0;
  p->waited_us = at->now_us - request->admitted_us;
  p->prefix = (WlPrefixMark *)(uintptr_t)request->prefix;
  p->n_prefix = request->n_prefix;
  p->avoid = (WlAvoid *)(uintptr_t)request->avoid;
  p->n_avoid = request->n_avoid;
  wl_effects_send (at->fx, l->owner, &m);
  return 1;
}

void
wl_links_destroy (WlEntry *entry)
{
  while (entry->links != NULL)
    {
      WlLink *l = entry->links;
      entry->links = l->next;
      free (l->notes);
      free (l);
    }
}
