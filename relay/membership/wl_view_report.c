#include <string.h>
#include <xxhash.h>
#include "wl_view_internal.h"

/* What a relay sends: scans for changes, reports, introductions. */

uint64_t
wl_view_node_hash (const WlNodeStatus *s)
{
  uint64_t content[] = {
    s->node,
    s->boot,
    s->client_port,
    (uint64_t)(s->has_disk != 0) | (uint64_t)(s->is_ready != 0) << 1
        | (uint64_t)(s->is_draining != 0) << 2,
  };
  uint64_t h = XXH64 (content, sizeof content, 1);
  return h != 0 ? h : 1;
}

uint64_t
wl_view_endpoint_hash (const WlEndpoint *e, int is_current)
{
  uint64_t content[] = {
    e->key,
    e->record.started_ms,
    (uint64_t)(e->record.is_draining != 0) | (uint64_t)(e->record.has_left != 0) << 1
        | (uint64_t)(is_current != 0) << 2,
  };
  uint64_t h = XXH64 (content, sizeof content, 2);
  return h != 0 ? h : 1;
}

static int
is_directly_alive (const WlRosterNode *r, uint64_t now_us)
{
  return r->direct_contact_us != 0 && now_us < r->direct_contact_us + WL_VIEW_DIRECT_TIMEOUT_US;
}

static int
node_in_scope (const WlView *view, const WlRosterNode *r, WlReportScope scope,
               uint64_t other_sources, uint64_t now_us)
{
  if (wl_view_in_own_domain (view, r))
    return is_directly_alive (r, now_us);
  return scope == WL_REPORT_ALL
         && (is_directly_alive (r, now_us) || (r->attested_by & other_sources) != 0);
}

static int
is_registered (const WlEndpoint *e, uint64_t now_us)
{
  return e->direct_contact_us != 0 && now_us < e->direct_contact_us + WL_FLEET_TIMEOUT_US;
}

/* Whether an endpoint registers in time, here or with a relay of another failure domain. */
static int
is_current (const WlEndpoint *e, WlReportScope scope, uint64_t other_sources, uint64_t now_us)
{
  int is_current_here
      = e->direct_contact_us != 0 && now_us < e->direct_contact_us + WL_FLEET_OVERDUE_US;
  return is_current_here || (scope == WL_REPORT_ALL && (e->current_at & other_sources) != 0);
}

static uint64_t
scoped_endpoint_hash (const WlEndpoint *e, WlReportScope scope, uint64_t other_sources,
                      uint64_t now_us)
{
  int is_attested_elsewhere = scope == WL_REPORT_ALL && (e->attested_by & other_sources) != 0;
  if (!is_registered (e, now_us) && !is_attested_elsewhere)
    return 0;
  return wl_view_endpoint_hash (e, is_current (e, scope, other_sources, now_us));
}

/* Age of the latest registration, regardless of what relays of this failure domain report. */
static uint64_t
reported_age (const WlEndpoint *e, WlReportScope scope, uint64_t other_sources, uint64_t now_us)
{
  uint64_t age_us = e->direct_contact_us != 0 ? now_us - e->direct_contact_us : UINT64_MAX;
  if (is_current (e, scope, other_sources, now_us))
    return age_us < WL_FLEET_OVERDUE_US ? age_us : 0;
  if (is_registered (e, now_us))
    return age_us;
  /* Attested by another relay, which may know it from a file only: it is not newer than known here.
   */
  age_us = now_us - e->last_contact_us;
  return age_us > WL_FLEET_OVERDUE_US ? age_us : WL_FLEET_OVERDUE_US;
}

static void
update_reported (WlView *view, WlReported *reported, uint64_t hash)
{
  if (reported->hash == hash)
    return;
  *reported = (WlReported){ hash, view->n_scans };
  view->changed_scan = view->n_scans;
}

uint64_t
wl_view_scan (WlView *view, uint64_t now_us)
{
  uint64_t other_sources = wl_view_fresh_sources (view, 1, now_us);
  view->n_scans++;
  for (int s = 0; s < WL_REPORT_INTRODUCTION; s++)
    {
      WlReportScope scope = (WlReportScope)s;
      update_reported (view, &view->self_reported[s], wl_view_node_hash (&view->self));
      for (uint32_t i = 0; i < view->roster->n_nodes; i++)
        {
          WlRosterNode *r = &view->roster->nodes[i];
          int is_in_scope
              = r->last_contact_us != 0 && node_in_scope (view, r, scope, other_sources, now_us);
          update_reported (view, &r->reported[s], is_in_scope ? wl_view_node_hash (&r->status) : 0);
        }
      for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
        {
          WlEndpoint *e = &view->fleet->endpoints[i];
          update_reported (view, &e->reported[s],
                           scoped_endpoint_hash (e, scope, other_sources, now_us));
        }
    }
  return view->n_scans;
}

static int
is_listed (const WlReported *reported, const WlMembershipReport *out, uint64_t since_scan)
{
  return out->is_full || reported->changed_scan > since_scan;
}

/* A status without the fields that change too often for reports. */
static WlNodeStatus
reported_status (const WlNodeStatus *s, uint64_t age_us)
{
  WlNodeStatus out = *s;
  out.config_number = 0;
  out.leader = 0;
  out.subscription = WL_SUBSCRIBE_NONE;
  out.age_us = age_us;
  return out;
}

static void
report_nodes (const WlView *view, WlReportScope scope, uint64_t since_scan, uint64_t now_us,
              apr_pool_t *pool, WlMembershipReport *out)
{
  uint32_t max = view->roster->n_nodes + 1;
  out->nodes = apr_palloc (pool, max * sizeof *out->nodes);
  out->removed_nodes = apr_palloc (pool, max * sizeof *out->removed_nodes);
  out->node_digest = view->self_reported[scope].hash;
  if (is_listed (&view->self_reported[scope], out, since_scan))
    out->nodes[out->n_nodes++] = reported_status (&view->self, 0);
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    {
      const WlRosterNode *r = &view->roster->nodes[i];
      const WlReported *reported = &r->reported[scope];
      out->node_digest ^= reported->hash;
      if (!is_listed (reported, out, since_scan))
        continue;
      if (reported->hash != 0)
        out->nodes[out->n_nodes++] = reported_status (&r->status, now_us - r->evidence_us);
      else if (!out->is_full)
        out->removed_nodes[out->n_removed_nodes++].node = r->status.node;
    }
}

static void
report_endpoints (const WlView *view, WlReportScope scope, uint64_t since_scan, uint64_t now_us,
                  apr_pool_t *pool, WlMembershipReport *out)
{
  uint32_t max = view->fleet->n_endpoints + 1;
  uint64_t other_sources = wl_view_fresh_sources (view, 1, now_us);
  out->endpoints = apr_palloc (pool, max * sizeof *out->endpoints);
  out->removed_endpoints = apr_palloc (pool, max * sizeof *out->removed_endpoints);
  for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &view->fleet->endpoints[i];
      const WlReported *reported = &e->reported[scope];
      out->endpoint_digest ^= reported->hash;
      if (!is_listed (reported, out, since_scan))
        continue;
      if (reported->hash == 0)
        {
          if (!out->is_full)
            out->removed_endpoints[out->n_removed_endpoints++].key = e->key;
          continue;
        }
      WlEndpointRecord *record = &out->endpoints[out->n_endpoints++];
      *record = e->record;
      record->age_us = reported_age (e, scope, other_sources, now_us);
    }
}

static void
begin_report (const WlView *view, WlReportScope scope, uint64_t now_us, WlMembershipReport *out)
{
  memset (out, 0, sizeof *out);
  out->sender = view->self;
  out->scope = (uint8_t)scope;
  out->n_alive = 1 + wl_roster_count_alive (view->roster, now_us);
}

void
wl_view_report (const WlView *view, WlReportScope scope, uint64_t since_scan, uint64_t now_us,
                apr_pool_t *pool, WlMembershipReport *out)
{
  begin_report (view, scope, now_us, out);
  out->is_full = since_scan == 0;
  report_nodes (view, scope, since_scan, now_us, pool, out);
  report_endpoints (view, scope, since_scan, now_us, pool, out);
}

/* Adds the first relays of a failure domain to an introduction. */
static void
add_domain_relays (const WlView *view, const char *domain, uint64_t now_us, WlMembershipReport *out)
{
  uint32_t relays[WL_VIEW_RELAYS];
  uint32_t n = wl_view_rank (view, domain, 0, now_us, relays, WL_VIEW_RELAYS);
  for (uint32_t i = 0; i < n; i++)
    {
      const WlRosterNode *r = wl_roster_find (view->roster, relays[i]);
      if (r != NULL)
        out->nodes[out->n_nodes++] = reported_status (&r->status, now_us - r->evidence_us);
    }
}

void
wl_view_write_introduction (const WlView *view, uint64_t now_us, apr_pool_t *pool,
                            WlMembershipReport *out)
{
  const char *domains[WL_VIEW_CONTACTS_MAX];
  uint32_t n_domains = wl_view_other_domains (view, domains, WL_VIEW_CONTACTS_MAX);
  begin_report (view, WL_REPORT_INTRODUCTION, now_us, out);
  out->nodes = apr_palloc (pool, (n_domains + 1) * WL_VIEW_RELAYS * sizeof *out->nodes);
  add_domain_relays (view, view->self.domain, now_us, out);
  for (uint32_t i = 0; i < n_domains; i++)
    add_domain_relays (view, domains[i], now_us, out);
}
