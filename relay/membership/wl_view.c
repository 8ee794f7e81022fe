#include <stdlib.h>
#include <string.h>
#include "wl_random.h"
#include "wl_view_internal.h"

enum
{
  RELAYS_MAX = 8,       /* longest ranking computed */
  PROBES_PER_SEED = 32, /* one probe in so many goes to a seed; contacts usually know more nodes */
};

WlView *
wl_view_create (WlRoster *roster, WlFleet *fleet, uint64_t seed)
{
  WlView *view = calloc (1, sizeof *view);
  if (view == NULL)
    abort ();
  view->roster = roster;
  view->fleet = fleet;
  view->random = seed;
  return view;
}

void
wl_view_destroy (WlView *view)
{
  free (view);
}

/* ---- ranks ---- */

int
wl_view_is_mesh (const WlView *view)
{
  return !view->is_large && view->roster->n_nodes + 1 <= WL_VIEW_MESH_NODES_MAX;
}

int
wl_view_in_own_domain (const WlView *view, const WlRosterNode *node)
{
  return strcmp (node->status.domain, view->self.domain) == 0;
}

/* Nodes with a disk run on the larger VMs and go first, then lower ids. */
static int
is_ranked_before (const WlNodeStatus *a, const WlNodeStatus *b)
{
  if (a->has_disk != b->has_disk)
    return a->has_disk > b->has_disk;
  return a->node < b->node;
}

/* Inserts a status in a list sorted by rank and bounded by @max; returns the new length. */
static uint32_t
insert_ranked (const WlNodeStatus **list, uint32_t n, uint32_t max, const WlNodeStatus *s)
{
  if (n == max && (n == 0 || !is_ranked_before (s, list[n - 1])))
    return n;
  uint32_t i = n < max ? n++ : n - 1;
  for (; i > 0 && is_ranked_before (s, list[i - 1]); i--)
    list[i] = list[i - 1];
  list[i] = s;
  return n;
}

uint32_t
wl_view_rank (const WlView *view, const char *domain, int with_unresponsive, uint64_t now_us,
              uint32_t *out, uint32_t max)
{
  const WlNodeStatus *list[RELAYS_MAX];
  uint32_t n = 0;
  if (max > RELAYS_MAX)
    max = RELAYS_MAX;
  if (strcmp (domain, view->self.domain) == 0 && !view->self.is_draining)
    n = insert_ranked (list, n, max, &view->self);
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    {
      const WlRosterNode *r = &view->roster->nodes[i];
      if (r->last_contact_us == 0 || r->status.is_draining
          || strcmp (r->status.domain, domain) != 0)
        continue;
      if (with_unresponsive || wl_roster_is_alive (r, now_us))
        n = insert_ranked (list, n, max, &r->status);
    }
  for (uint32_t i = 0; i < n; i++)
    out[i] = list[i]->node;
  return n;
}

uint32_t
wl_view_relays (const WlView *view, const char *domain, uint64_t now_us, uint32_t *out,
                uint32_t max)
{
  return wl_view_rank (view, domain, 0, now_us, out, max);
}

uint32_t
wl_view_other_domains (const WlView *view, const char **out, uint32_t max)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    {
      const WlRosterNode *r = &view->roster->nodes[i];
      uint32_t k = 0;
      if (r->last_contact_us == 0 || wl_view_in_own_domain (view, r))
        continue;
      while (k < n && strcmp (out[k], r->status.domain) != 0)
        k++;
      if (k == n && n < max)
        out[n++] = r->status.domain;
    }
  return n;
}

uint32_t
wl_view_remote_relays (const WlView *view, uint64_t now_us, uint32_t *out, uint32_t max)
{
  const char *domains[WL_VIEW_CONTACTS_MAX];
  uint32_t n = 0;
  uint32_t n_domains = wl_view_other_domains (view, domains, WL_VIEW_CONTACTS_MAX);
  for (uint32_t i = 0; i < n_domains && n < max; i++)
    n += wl_view_rank (view, domains[i], 0, now_us, &out[n], 1);
  return n;
}

static uint32_t
add_contacts (const WlView *view, const uint32_t *nodes, uint32_t n_nodes, uint32_t *out,
              uint32_t n)
{
  for (uint32_t i = 0; i < n_nodes && n < WL_VIEW_CONTACTS_MAX; i++)
    {
      uint32_t k = 0;
      while (k < n && out[k] != nodes[i])
        k++;
      if (k == n && nodes[i] != view->self.node)
        out[n++] = nodes[i];
    }
  return n;
}

/* Position of this node among the relays of its failure domain; RELAYS_MAX when it is no relay. */
static uint32_t
own_rank (const WlView *view, uint64_t now_us)
{
  uint32_t relays[WL_VIEW_RELAYS];
  uint32_t n = wl_view_rank (view, view->self.domain, 0, now_us, relays, WL_VIEW_RELAYS);
  for (uint32_t i = 0; i < n; i++)
    if (relays[i] == view->self.node)
      return i;
  return RELAYS_MAX;
}

int
wl_view_is_relay (const WlView *view, uint64_t now_us)
{
  return own_rank (view, now_us) < RELAYS_MAX;
}

uint32_t
wl_view_contacts (const WlView *view, uint64_t now_us, uint32_t *out)
{
  const char *domains[WL_VIEW_CONTACTS_MAX];
  uint32_t relays[WL_VIEW_RELAYS];
  uint32_t n = wl_view_rank (view, view->self.domain, 0, now_us, relays, WL_VIEW_RELAYS);
  uint32_t n_out = add_contacts (view, relays, n, out, 0);
  n = wl_view_rank (view, view->self.domain, 1, now_us, relays, WL_VIEW_RELAYS);
  n_out = add_contacts (view, relays, n, out, n_out);
  uint32_t rank = own_rank (view, now_us);
  uint32_t n_domains
      = rank < RELAYS_MAX ? wl_view_other_domains (view, domains, WL_VIEW_CONTACTS_MAX) : 0;
  for (uint32_t i = 0; i < n_domains; i++)
    for (int with_unresponsive = 0; with_unresponsive < 2; with_unresponsive++)
      {
        n = wl_view_rank (view, domains[i], with_unresponsive, now_us, relays, WL_VIEW_RELAYS);
        if (n > 0)
          n_out = add_contacts (view, &relays[rank < n ? rank : n - 1], 1, out, n_out);
      }
  return n_out;
}

/* ---- sources ---- */

int
wl_view_is_fresh (const WlViewSource *s, uint64_t now_us)
{
  return s->node != 0 && now_us < s->last_report_us + WL_VIEW_DIRECT_TIMEOUT_US;
}

uint64_t
wl_view_fresh_sources (const WlView *view, int others_only, uint64_t now_us)
{
  uint64_t mask = 0;
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    {
      if (!wl_view_is_fresh (&view->sources[i], now_us))
        continue;
      const WlRosterNode *r = wl_roster_find (view->roster, view->sources[i].node);
      if (!others_only || (r != NULL && !wl_view_in_own_domain (view, r)))
        mask |= (uint64_t)1 << i;
    }
  return mask;
}

void
wl_view_clear_attestations (WlView *view, uint64_t mask)
{
  view->self_attested_by &= ~mask;
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    view->roster->nodes[i].attested_by &= ~mask;
  for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
    {
      view->fleet->endpoints[i].attested_by &= ~mask;
      view->fleet->endpoints[i].current_at &= ~mask;
    }
}

WlViewSource *
wl_view_find_source (WlView *view, uint32_t node)
{
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    if (view->sources[i].node == node)
      return &view->sources[i];
  return NULL;
}

void
wl_view_expire (WlView *view, uint64_t now_us)
{
  if (now_us > view->large_reported_us + WL_VIEW_SOURCE_TIMEOUT_US)
    view->is_large = 0;
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    if (view->sources[i].node != 0
        && now_us > view->sources[i].last_report_us + WL_VIEW_SOURCE_TIMEOUT_US)
      {
        wl_view_clear_attestations (view, (uint64_t)1 << i);
        view->sources[i] = (WlViewSource){ 0 };
      }
}

uint32_t
wl_view_probe (WlView *view, const uint32_t *seeds, uint32_t n_seeds, uint64_t now_us)
{
  int has_relay
      = (wl_view_fresh_sources (view, 0, now_us) & ~wl_view_fresh_sources (view, 1, now_us)) != 0;
  if (now_us < view->probed_us + WL_VIEW_PROBE_INTERVAL_US)
    return 0;
  if (has_relay && !wl_view_is_relay (view, now_us))
    return 0;
  view->probed_us = now_us;
  uint64_t r = wl_random_next (&view->random);
  uint32_t contacts[WL_VIEW_CONTACTS_MAX];
  uint32_t n_contacts = wl_view_contacts (view, now_us, contacts);
  if (n_seeds > 0 && (!has_relay || n_contacts == 0 || r % PROBES_PER_SEED == 0))
    return seeds[(r >> 8) % n_seeds];
  return n_contacts > 0 ? contacts[(r >> 8) % n_contacts] : 0;
}

uint8_t
wl_view_subscription (WlView *view, uint32_t node, uint64_t now_us)
{
  const WlViewSource *s = wl_view_find_source (view, node);
  int is_current = s != NULL && wl_view_is_fresh (s, now_us) && !s->wants_full;
  return is_current ? WL_SUBSCRIBE_REPORTS : WL_SUBSCRIBE_WITH_FULL_REPORT;
}

int
wl_view_is_subscriber (const WlRosterNode *node, uint64_t now_us)
{
  return node->subscribed_us != 0 && now_us < node->subscribed_us + WL_ROSTER_TIMEOUT_US;
}

WlReportScope
wl_view_scope (const WlView *view, const WlRosterNode *node)
{
  return wl_view_in_own_domain (view, node) ? WL_REPORT_ALL : WL_REPORT_DOMAIN;
}
