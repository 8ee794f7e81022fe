#include <string.h>
#include "wl_view_internal.h"

/* How a node applies the reports of relays. */

enum
{
  PULL_BACKOFF_DOUBLINGS_MAX = 5, /* of WL_VIEW_PULL_INTERVAL_US */
  MISMATCHES_BEFORE_PULL = 2,     /* a report may cross a change: one mismatch proves nothing */
};

/* Finds or adds the source of a relay, empty after its restart. NULL when there is no room. */
static WlViewSource *
get_source (WlView *view, const WlNodeStatus *relay)
{
  WlViewSource *s = wl_view_find_source (view, relay->node);
  if (s != NULL && s->boot == relay->boot)
    return s;
  if (s == NULL)
    s = wl_view_find_source (view, 0);
  if (s == NULL)
    return NULL;
  wl_view_clear_attestations (view, (uint64_t)1 << (s - view->sources));
  *s = (WlViewSource){ .node = relay->node, .boot = relay->boot, .wants_full = 1 };
  return s;
}

/* Applies a reported status; NULL for this node, for an older boot and when the roster is full. */
static WlRosterNode *
apply_node (WlView *view, const WlNodeStatus *s, uint64_t now_us)
{
  WlRosterNode *r = wl_roster_add (view->roster, s->node, now_us);
  uint64_t evidence_us = now_us > s->age_us ? now_us - s->age_us : 1;
  if (r == NULL)
    return NULL;
  int is_same = r->last_contact_us != 0 && r->status.boot == s->boot;
  if (!is_same && r->last_contact_us != 0 && evidence_us <= r->evidence_us)
    return NULL;
  if (!is_same || s->sequence > r->status.sequence)
    {
      /* Configuration number, leader and subscription only come from the node itself. */
      uint64_t config_number = is_same ? r->status.config_number : 0;
      uint32_t leader = is_same ? r->status.leader : 0;
      uint8_t subscription = is_same ? r->status.subscription : WL_SUBSCRIBE_NONE;
      r->status = *s;
      r->status.peers = NULL;
      r->status.n_peers = 0;
      r->status.config_number = config_number;
      r->status.leader = leader;
      r->status.subscription = subscription;
    }
  if (!is_same)
    {
      r->attested_by = 0;
      r->direct_contact_us = 0;
      r->direct_sequence = 0;
      r->subscribed_us = 0;
      r->subscribed_sequence = 0;
    }
  if (evidence_us > r->evidence_us)
    r->evidence_us = evidence_us;
  return r;
}

/* Withdraws a source's attestation; the others and direct contact give the last contact. */
static void
withdraw_node (WlView *view, WlRosterNode *r, uint64_t bit)
{
  uint64_t contact_us = r->direct_contact_us;
  if ((r->attested_by & bit) == 0)
    return;
  r->attested_by &= ~bit;
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    if ((r->attested_by & (uint64_t)1 << i) != 0 && view->sources[i].last_report_us > contact_us)
      contact_us = view->sources[i].last_report_us;
  r->last_contact_us = contact_us > 0 ? contact_us : 1;
}

/*
 * An endpoint has not registered in time with a source. Unless it does with
 * another source it becomes overdue, but is not lost at once: its registrations
 * may go to another node now.
 */
static void
mark_overdue (WlView *view, WlEndpoint *e, uint64_t bit, uint64_t age_us, uint64_t now_us)
{
  uint64_t contact_us = now_us > age_us ? now_us - age_us : 1;
  e->current_at &= ~bit;
  if ((e->current_at & wl_view_fresh_sources (view, 0, now_us)) != 0)
    return;
  if (e->direct_contact_us > contact_us)
    contact_us = e->direct_contact_us;
  if (contact_us < e->last_contact_us)
    e->last_contact_us = contact_us;
}

/* A source no longer reports an endpoint, whose registrations may go to another node now. */
static void
withdraw_endpoint (WlEndpoint *e, uint64_t bit)
{
  e->attested_by &= ~bit;
  e->current_at &= ~bit;
}

static int
lists_node (const WlMembershipReport *report, uint32_t node)
{
  for (uint32_t i = 0; i < report->n_nodes; i++)
    if (report->nodes[i].node == node)
      return 1;
  return 0;
}

static int
lists_endpoint (const WlMembershipReport *report, const char *id)
{
  for (uint32_t i = 0; i < report->n_endpoints; i++)
    if (strcmp (report->endpoints[i].id, id) == 0)
      return 1;
  return 0;
}

static void
apply_nodes (WlView *view, const WlMembershipReport *report, uint64_t bit, uint64_t now_us)
{
  for (uint32_t i = 0; report->is_full && i < view->roster->n_nodes; i++)
    if (!lists_node (report, view->roster->nodes[i].status.node))
      withdraw_node (view, &view->roster->nodes[i], bit);
  for (uint32_t i = 0; i < report->n_removed_nodes; i++)
    {
      WlRosterNode *r = wl_roster_find (view->roster, report->removed_nodes[i].node);
      if (r != NULL)
        withdraw_node (view, r, bit);
      else if (report->removed_nodes[i].node == view->self.node)
        view->self_attested_by &= ~bit;
    }
  for (uint32_t i = 0; i < report->n_nodes; i++)
    {
      const WlNodeStatus *s = &report->nodes[i];
      WlRosterNode *r = apply_node (view, s, now_us);
      if (r != NULL)
        r->attested_by |= bit;
      else if (s->node == view->self.node && s->boot == view->self.boot)
        view->self_attested_by |= bit;
    }
}

static void
apply_endpoints (WlView *view, const WlMembershipReport *report, uint64_t bit, uint64_t now_us)
{
  for (uint32_t i = 0; report->is_full && i < view->fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &view->fleet->endpoints[i];
      if ((e->attested_by & bit) != 0 && !lists_endpoint (report, e->record.id))
        withdraw_endpoint (e, bit);
    }
  for (uint32_t i = 0; i < report->n_removed_endpoints; i++)
    {
      WlEndpoint *e = wl_fleet_find_key (view->fleet, report->removed_endpoints[i].key);
      if (e != NULL)
        withdraw_endpoint (e, bit);
    }
  for (uint32_t i = 0; i < report->n_endpoints; i++)
    {
      const WlEndpointRecord *record = &report->endpoints[i];
      WlEndpoint *e = wl_fleet_find (view->fleet, record->id);
      if (e == NULL || e->record.started_ms != record->started_ms)
        continue;
      e->attested_by |= bit;
      if (record->is_restored)
        e->current_at &= ~bit; /* says nothing on its registrations */
      else if (record->age_us < WL_FLEET_OVERDUE_US)
        e->current_at |= bit;
      else
        mark_overdue (view, e, bit, record->age_us, now_us);
    }
}

/* A report renews the contact to everything that its source attests. */
static void
refresh_attested (WlView *view, uint64_t bit, uint64_t now_us)
{
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    if ((view->roster->nodes[i].attested_by & bit) != 0)
      view->roster->nodes[i].last_contact_us = now_us;
  for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
    if ((view->fleet->endpoints[i].current_at & bit) != 0)
      view->fleet->endpoints[i].last_contact_us = now_us;
}

static int
digests_match (const WlView *view, const WlMembershipReport *report, uint64_t bit)
{
  uint64_t nodes = (view->self_attested_by & bit) != 0 ? wl_view_node_hash (&view->self) : 0;
  uint64_t endpoints = 0;
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    if ((view->roster->nodes[i].attested_by & bit) != 0)
      nodes ^= wl_view_node_hash (&view->roster->nodes[i].status);
  for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &view->fleet->endpoints[i];
      if ((e->attested_by & bit) != 0)
        endpoints ^= wl_view_endpoint_hash (e, (e->current_at & bit) != 0);
    }
  return nodes == report->node_digest && endpoints == report->endpoint_digest;
}

static void
compare_digests (const WlView *view, WlViewSource *s, const WlMembershipReport *report,
                 uint64_t now_us)
{
  uint64_t bit = (uint64_t)1 << (s - view->sources);
  if (digests_match (view, report, bit))
    {
      s->n_mismatches = 0;
      s->wants_full = 0;
      return;
    }
  s->n_mismatches++;
  if (report->is_full)
    s->wants_full = 0;
  /* Full reports that do not resolve the mismatch are requested ever more rarely. */
  uint32_t doublings = s->n_mismatches / MISMATCHES_BEFORE_PULL;
  if (doublings > PULL_BACKOFF_DOUBLINGS_MAX)
    doublings = PULL_BACKOFF_DOUBLINGS_MAX;
  if (s->n_mismatches < MISMATCHES_BEFORE_PULL || report->is_full
      || now_us < s->pulled_us + ((uint64_t)WL_VIEW_PULL_INTERVAL_US << doublings))
    return;
  s->pulled_us = now_us;
  s->wants_full = 1;
}

/* Contacts nodes that are new or have restarted; an introduction revives no lost node. */
static void
apply_introduction (WlView *view, const WlMembershipReport *report, uint64_t now_us)
{
  for (uint32_t i = 0; i < report->n_nodes; i++)
    {
      const WlNodeStatus *s = &report->nodes[i];
      const WlRosterNode *entry = wl_roster_find (view->roster, s->node);
      if (entry != NULL && entry->last_contact_us != 0 && entry->status.boot == s->boot)
        continue;
      WlRosterNode *r = apply_node (view, s, now_us);
      if (r != NULL)
        r->last_contact_us = now_us;
    }
}

void
wl_view_apply (WlView *view, const WlMembershipReport *report, uint64_t now_us)
{
  if (report->n_alive > WL_VIEW_MESH_NODES_MAX)
    {
      view->is_large = 1;
      view->large_reported_us = now_us;
    }
  if (report->scope == WL_REPORT_INTRODUCTION)
    {
      apply_introduction (view, report, now_us);
      return;
    }
  WlViewSource *s = get_source (view, &report->sender);
  if (s == NULL || report->sender.sequence <= s->sequence)
    return;
  uint64_t bit = (uint64_t)1 << (s - view->sources);
  if (!wl_view_is_fresh (s, now_us) && !report->is_full)
    {
      /* Reports of changes were missed: its earlier attestations are void. */
      wl_view_clear_attestations (view, bit);
      s->wants_full = 1;
    }
  s->sequence = report->sender.sequence;
  s->last_report_us = now_us;
  apply_nodes (view, report, bit, now_us);
  apply_endpoints (view, report, bit, now_us);
  refresh_attested (view, bit, now_us);
  compare_digests (view, s, report, now_us);
}

void
wl_view_note_registration (WlView *view, const WlEndpointRecord *record, uint64_t now_us)
{
  WlEndpoint *e = wl_fleet_find (view->fleet, record->id);
  uint64_t contact_us = now_us > record->age_us ? now_us - record->age_us : 1;
  if (e != NULL && e->record.started_ms == record->started_ms && contact_us > e->direct_contact_us)
    e->direct_contact_us = contact_us;
}
