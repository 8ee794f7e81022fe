#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "wl_random.h"
#include "wl_view.h"

enum
{
  RELAYS_MAX = 8,         /* relays asked for at once */
  PULL_DOUBLINGS_MAX = 5, /* of the time between two requests for everything */
  PROBES_PER_SEED = 32,   /* one probe in so many goes to a seed: contacts usually know more */
  MISMATCHES_MAX = 2,     /* reports in a row: one may cross a change */
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
  return !view->is_large && view->roster->n_nodes + 1 <= WL_VIEW_MESH_MAX;
}

int
wl_view_is_near (const WlView *view, const WlRosterNode *node)
{
  return strcmp (node->status.zone, view->self.zone) == 0;
}

/* Machines with a disk are the larger ones; of these the lowest id. */
static int
ranks_before (const WlNodeStatus *a, const WlNodeStatus *b)
{
  if (a->has_disk != b->has_disk)
    return a->has_disk > b->has_disk;
  return a->node < b->node;
}

/* Inserts a status in a list sorted by rank; returns the new length. */
static uint32_t
insert_ranked (const WlNodeStatus **list, uint32_t n, uint32_t max, const WlNodeStatus *s)
{
  if (n == max && (n == 0 || !ranks_before (s, list[n - 1])))
    return n;
  uint32_t i = n < max ? n++ : n - 1;
  for (; i > 0 && ranks_before (s, list[i - 1]); i--)
    list[i] = list[i - 1];
  list[i] = s;
  return n;
}

/* Relays by rank; with @is_nominal also those that are silent. */
static uint32_t
rank (const WlView *view, const char *zone, int is_nominal, uint64_t now_us, uint32_t *out,
      uint32_t max)
{
  const WlNodeStatus *list[RELAYS_MAX];
  uint32_t n = 0;
  if (max > RELAYS_MAX)
    max = RELAYS_MAX;
  if (strcmp (zone, view->self.zone) == 0 && !view->self.is_draining)
    n = insert_ranked (list, n, max, &view->self);
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    {
      const WlRosterNode *r = &view->roster->nodes[i];
      if (r->heard_us == 0 || r->status.is_draining || strcmp (r->status.zone, zone) != 0)
        continue;
      if (is_nominal || wl_roster_is_alive (r, now_us))
        n = insert_ranked (list, n, max, &r->status);
    }
  for (uint32_t i = 0; i < n; i++)
    out[i] = list[i]->node;
  return n;
}

uint32_t
wl_view_relays (const WlView *view, const char *zone, uint64_t now_us, uint32_t *out, uint32_t max)
{
  return rank (view, zone, 0, now_us, out, max);
}

/* The failure domains other than the own; returns their number. */
static uint32_t
list_far_zones (const WlView *view, const char **out, uint32_t max)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    {
      const WlRosterNode *r = &view->roster->nodes[i];
      uint32_t k = 0;
      if (r->heard_us == 0 || wl_view_is_near (view, r))
        continue;
      while (k < n && strcmp (out[k], r->status.zone) != 0)
        k++;
      if (k == n && n < max)
        out[n++] = r->status.zone;
    }
  return n;
}

uint32_t
wl_view_carriers (const WlView *view, uint64_t now_us, uint32_t *out, uint32_t max)
{
  const char *zones[WL_VIEW_CONTACTS_MAX];
  uint32_t n = 0;
  uint32_t n_zones = list_far_zones (view, zones, WL_VIEW_CONTACTS_MAX);
  for (uint32_t i = 0; i < n_zones && n < max; i++)
    n += rank (view, zones[i], 0, now_us, &out[n], 1);
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

/* Position of this node among the relays of its failure domain; RELAYS_MAX when it is none. */
static uint32_t
own_rank (const WlView *view, uint64_t now_us)
{
  uint32_t relays[WL_VIEW_RELAYS];
  uint32_t n = rank (view, view->self.zone, 0, now_us, relays, WL_VIEW_RELAYS);
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
  const char *zones[WL_VIEW_CONTACTS_MAX];
  uint32_t relays[WL_VIEW_RELAYS];
  uint32_t n = rank (view, view->self.zone, 0, now_us, relays, WL_VIEW_RELAYS);
  uint32_t n_out = add_contacts (view, relays, n, out, 0);
  n = rank (view, view->self.zone, 1, now_us, relays, WL_VIEW_RELAYS);
  n_out = add_contacts (view, relays, n, out, n_out);
  uint32_t own = own_rank (view, now_us);
  uint32_t n_zones = own < RELAYS_MAX ? list_far_zones (view, zones, WL_VIEW_CONTACTS_MAX) : 0;
  for (uint32_t i = 0; i < n_zones; i++)
    for (int is_nominal = 0; is_nominal < 2; is_nominal++)
      {
        n = rank (view, zones[i], is_nominal, now_us, relays, WL_VIEW_RELAYS);
        if (n > 0)
          n_out = add_contacts (view, &relays[own < n ? own : n - 1], 1, out, n_out);
      }
  return n_out;
}

/* ---- sources ---- */

static int
is_fresh (const WlViewSource *s, uint64_t now_us)
{
  return s->node != 0 && now_us < s->heard_us + WL_VIEW_DIRECT_US;
}

/* Bits of the sources that report now: of all, or of those in other failure domains. */
static uint64_t
fresh_sources (const WlView *view, int is_far_only, uint64_t now_us)
{
  uint64_t mask = 0;
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    {
      if (!is_fresh (&view->sources[i], now_us))
        continue;
      const WlRosterNode *r = wl_roster_find (view->roster, view->sources[i].node);
      if (!is_far_only || (r != NULL && !wl_view_is_near (view, r)))
        mask |= (uint64_t)1 << i;
    }
  return mask;
}

static void
forget_vouchers (WlView *view, uint64_t mask)
{
  view->self_vouchers &= ~mask;
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    view->roster->nodes[i].vouchers &= ~mask;
  for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
    {
      view->fleet->endpoints[i].vouchers &= ~mask;
      view->fleet->endpoints[i].sure &= ~mask;
    }
}

static WlViewSource *
find_source (WlView *view, uint32_t node)
{
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    if (view->sources[i].node == node)
      return &view->sources[i];
  return NULL;
}

/* The source of a relay; NULL when there is no room. */
static WlViewSource *
make_source (WlView *view, const WlNodeStatus *relay)
{
  WlViewSource *s = find_source (view, relay->node);
  if (s != NULL && s->boot == relay->boot)
    return s;
  if (s == NULL)
    s = find_source (view, 0);
  if (s == NULL)
    return NULL;
  forget_vouchers (view, (uint64_t)1 << (s - view->sources));
  *s = (WlViewSource){ .node = relay->node, .boot = relay->boot, .wants_all = 1 };
  return s;
}

void
wl_view_expire (WlView *view, uint64_t now_us)
{
  if (now_us > view->large_us + WL_VIEW_SOURCE_US)
    view->is_large = 0;
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    if (view->sources[i].node != 0 && now_us > view->sources[i].heard_us + WL_VIEW_SOURCE_US)
      {
        forget_vouchers (view, (uint64_t)1 << i);
        view->sources[i] = (WlViewSource){ 0 };
      }
}

uint32_t
wl_view_probe (WlView *view, const uint32_t *seeds, uint32_t n_seeds, uint64_t now_us)
{
  int has_relay = (fresh_sources (view, 0, now_us) & ~fresh_sources (view, 1, now_us)) != 0;
  if (now_us < view->probed_us + WL_VIEW_PROBE_US)
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
wl_view_subscription (const WlView *view, uint32_t node, uint64_t now_us)
{
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    {
      const WlViewSource *s = &view->sources[i];
      if (s->node != node)
        continue;
      return is_fresh (s, now_us) && !s->wants_all ? WL_SUBSCRIBE_REPORTS : WL_SUBSCRIBE_ALL;
    }
  return WL_SUBSCRIBE_ALL;
}

int
wl_view_is_subscriber (const WlRosterNode *node, uint64_t now_us)
{
  return node->subscribed_us != 0 && now_us < node->subscribed_us + WL_ROSTER_SILENCE_US;
}

WlReportScope
wl_view_scope (const WlView *view, const WlRosterNode *node)
{
  return wl_view_is_near (view, node) ? WL_REPORT_ALL : WL_REPORT_DOMAIN;
}

/* ---- what is told ---- */

static uint64_t
node_hash (const WlNodeStatus *s)
{
  uint64_t content[] = {
    s->node,
    s->boot,
    s->front_port,
    (uint64_t)(s->has_disk != 0) | (uint64_t)(s->is_ready != 0) << 1
        | (uint64_t)(s->is_draining != 0) << 2,
  };
  uint64_t h = XXH64 (content, sizeof content, 1);
  return h != 0 ? h : 1;
}

static uint64_t
endpoint_hash (const WlEndpoint *e, int is_sure)
{
  uint64_t content[] = {
    e->key,
    e->record.born_ms,
    (uint64_t)(e->record.is_draining != 0) | (uint64_t)(e->record.is_gone != 0) << 1
        | (uint64_t)(is_sure != 0) << 2,
  };
  uint64_t h = XXH64 (content, sizeof content, 2);
  return h != 0 ? h : 1;
}

static int
is_direct (const WlRosterNode *r, uint64_t now_us)
{
  return r->direct_us != 0 && now_us < r->direct_us + WL_VIEW_DIRECT_US;
}

static int
node_in_scope (const WlView *view, const WlRosterNode *r, WlReportScope scope, uint64_t far,
               uint64_t now_us)
{
  if (wl_view_is_near (view, r))
    return is_direct (r, now_us);
  return scope == WL_REPORT_ALL && (is_direct (r, now_us) || (r->vouchers & far) != 0);
}

static int
is_registered (const WlEndpoint *e, uint64_t now_us)
{
  return e->direct_us != 0 && now_us < e->direct_us + WL_FLEET_SILENCE_US;
}

/* Whether an endpoint registers in time: here, or with a relay of another failure domain. */
static int
is_sure (const WlEndpoint *e, WlReportScope scope, uint64_t far, uint64_t now_us)
{
  int has_own = e->direct_us != 0 && now_us < e->direct_us + WL_FLEET_DOUBT_US;
  return has_own || (scope == WL_REPORT_ALL && (e->vouchers & e->sure & far) != 0);
}

static uint64_t
scoped_endpoint_hash (const WlEndpoint *e, WlReportScope scope, uint64_t far, uint64_t now_us)
{
  int has_far = scope == WL_REPORT_ALL && (e->vouchers & far) != 0;
  if (!is_registered (e, now_us) && !has_far)
    return 0;
  return endpoint_hash (e, is_sure (e, scope, far, now_us));
}

/* Age of the latest registration, without what relays of this failure domain say of it. */
static uint64_t
reported_age (const WlEndpoint *e, WlReportScope scope, uint64_t far, uint64_t now_us)
{
  uint64_t age_us = e->direct_us != 0 ? now_us - e->direct_us : UINT64_MAX;
  if (is_sure (e, scope, far, now_us))
    return age_us < WL_FLEET_DOUBT_US ? age_us : 0;
  return is_registered (e, now_us) ? age_us : WL_FLEET_DOUBT_US;
}

static void
tell (WlView *view, WlTold *told, uint64_t hash)
{
  if (told->hash == hash)
    return;
  *told = (WlTold){ hash, view->n_scans };
  view->changed_scan = view->n_scans;
}

uint64_t
wl_view_scan (WlView *view, uint64_t now_us)
{
  uint64_t far = fresh_sources (view, 1, now_us);
  view->n_scans++;
  for (int s = 0; s < WL_REPORT_INTRODUCTION; s++)
    {
      WlReportScope scope = (WlReportScope)s;
      tell (view, &view->self_told[s], node_hash (&view->self));
      for (uint32_t i = 0; i < view->roster->n_nodes; i++)
        {
          WlRosterNode *r = &view->roster->nodes[i];
          int is_in = r->heard_us != 0 && node_in_scope (view, r, scope, far, now_us);
          tell (view, &r->told[s], is_in ? node_hash (&r->status) : 0);
        }
      for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
        {
          WlEndpoint *e = &view->fleet->endpoints[i];
          tell (view, &e->told[s], scoped_endpoint_hash (e, scope, far, now_us));
        }
    }
  return view->n_scans;
}

static int
is_due (const WlTold *told, const WlReport *out, uint64_t since)
{
  return out->is_whole || told->changed_scan > since;
}

/* A status as reports carry it: what changes all the time is left out. */
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
report_nodes (const WlView *view, WlReportScope scope, uint64_t since, uint64_t now_us,
              apr_pool_t *pool, WlReport *out)
{
  uint32_t max = view->roster->n_nodes + 1;
  out->nodes = apr_palloc (pool, max * sizeof *out->nodes);
  out->lost_nodes = apr_palloc (pool, max * sizeof *out->lost_nodes);
  out->node_digest = view->self_told[scope].hash;
  if (is_due (&view->self_told[scope], out, since))
    out->nodes[out->n_nodes++] = reported_status (&view->self, 0);
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    {
      const WlRosterNode *r = &view->roster->nodes[i];
      const WlTold *told = &r->told[scope];
      out->node_digest ^= told->hash;
      if (!is_due (told, out, since))
        continue;
      if (told->hash != 0)
        out->nodes[out->n_nodes++] = reported_status (&r->status, now_us - r->evidence_us);
      else if (!out->is_whole)
        out->lost_nodes[out->n_lost_nodes++].node = r->status.node;
    }
}

static void
report_endpoints (const WlView *view, WlReportScope scope, uint64_t since, uint64_t now_us,
                  apr_pool_t *pool, WlReport *out)
{
  uint32_t max = view->fleet->n_endpoints + 1;
  uint64_t far = fresh_sources (view, 1, now_us);
  out->endpoints = apr_palloc (pool, max * sizeof *out->endpoints);
  out->lost_endpoints = apr_palloc (pool, max * sizeof *out->lost_endpoints);
  for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &view->fleet->endpoints[i];
      const WlTold *told = &e->told[scope];
      out->endpoint_digest ^= told->hash;
      if (!is_due (told, out, since))
        continue;
      if (told->hash == 0)
        {
          if (!out->is_whole)
            out->lost_endpoints[out->n_lost_endpoints++].key = e->key;
          continue;
        }
      WlEndpointRecord *record = &out->endpoints[out->n_endpoints++];
      *record = e->record;
      record->age_us = reported_age (e, scope, far, now_us);
    }
}

static void
begin_report (const WlView *view, WlReportScope scope, uint64_t now_us, WlReport *out)
{
  memset (out, 0, sizeof *out);
  out->sender = view->self;
  out->scope = (uint8_t)scope;
  out->n_alive = 1 + wl_roster_count_alive (view->roster, now_us);
}

void
wl_view_report (const WlView *view, WlReportScope scope, uint64_t since, uint64_t now_us,
                apr_pool_t *pool, WlReport *out)
{
  begin_report (view, scope, now_us, out);
  out->is_whole = since == 0;
  report_nodes (view, scope, since, now_us, pool, out);
  report_endpoints (view, scope, since, now_us, pool, out);
}

/* Adds the first relays of a failure domain to an introduction. */
static void
introduce_zone (const WlView *view, const char *zone, uint64_t now_us, WlReport *out)
{
  uint32_t relays[WL_VIEW_RELAYS];
  uint32_t n = rank (view, zone, 0, now_us, relays, WL_VIEW_RELAYS);
  for (uint32_t i = 0; i < n; i++)
    {
      const WlRosterNode *r = wl_roster_find (view->roster, relays[i]);
      if (r != NULL)
        out->nodes[out->n_nodes++] = reported_status (&r->status, now_us - r->evidence_us);
    }
}

void
wl_view_introduce (const WlView *view, uint64_t now_us, apr_pool_t *pool, WlReport *out)
{
  const char *zones[WL_VIEW_CONTACTS_MAX];
  uint32_t n_zones = list_far_zones (view, zones, WL_VIEW_CONTACTS_MAX);
  begin_report (view, WL_REPORT_INTRODUCTION, now_us, out);
  out->nodes = apr_palloc (pool, (n_zones + 1) * WL_VIEW_RELAYS * sizeof *out->nodes);
  introduce_zone (view, view->self.zone, now_us, out);
  for (uint32_t i = 0; i < n_zones; i++)
    introduce_zone (view, zones[i], now_us, out);
}

/* ---- what is heard ---- */

/* Takes a reported status; NULL when it is this node, an older start or does not fit. */
static WlRosterNode *
take_node (WlView *view, const WlNodeStatus *s, uint64_t now_us)
{
  WlRosterNode *r = wl_roster_meet (view->roster, s->node, now_us);
  uint64_t evidence_us = now_us > s->age_us ? now_us - s->age_us : 1;
  if (r == NULL)
    return NULL;
  int is_same = r->heard_us != 0 && r->status.boot == s->boot;
  if (!is_same && r->heard_us != 0 && evidence_us <= r->evidence_us)
    return NULL;
  if (!is_same || s->sequence > r->status.sequence)
    {
      /* The number and the leader come from the node itself only. */
      uint64_t config_number = is_same ? r->status.config_number : 0;
      uint32_t leader = is_same ? r->status.leader : 0;
      uint8_t subscription = is_same ? r->status.subscription : WL_SUBSCRIBE_NONE;
      r->status = *s;
      r->status.known = NULL;
      r->status.n_known = 0;
      r->status.config_number = config_number;
      r->status.leader = leader;
      r->status.subscription = subscription;
    }
  if (!is_same)
    {
      r->vouchers = 0;
      r->direct_us = 0;
      r->direct_sequence = 0;
      r->subscribed_us = 0;
      r->subscribed_sequence = 0;
    }
  if (evidence_us > r->evidence_us)
    r->evidence_us = evidence_us;
  return r;
}

/* A source no longer vouches for a node: what the others say decides when it was last there. */
static void
lose_node (WlView *view, WlRosterNode *r, uint64_t bit)
{
  uint64_t heard_us = r->direct_us;
  if ((r->vouchers & bit) == 0)
    return;
  r->vouchers &= ~bit;
  for (uint32_t i = 0; i < WL_VIEW_SOURCES_MAX; i++)
    if ((r->vouchers & (uint64_t)1 << i) != 0 && view->sources[i].heard_us > heard_us)
      heard_us = view->sources[i].heard_us;
  r->heard_us = heard_us > 0 ? heard_us : 1;
}

/*
 * An endpoint has not registered in time with a source. What nobody vouches
 * for is not lost at once: its registrations may go elsewhere now.
 */
static void
doubt_endpoint (WlView *view, WlEndpoint *e, uint64_t bit, uint64_t age_us, uint64_t now_us)
{
  uint64_t heard_us = now_us > age_us ? now_us - age_us : 1;
  e->sure &= ~bit;
  if ((e->sure & fresh_sources (view, 0, now_us)) != 0)
    return;
  if (e->direct_us > heard_us)
    heard_us = e->direct_us;
  if (heard_us < e->heard_us)
    e->heard_us = heard_us;
}

static int
lists_node (const WlReport *report, uint32_t node)
{
  for (uint32_t i = 0; i < report->n_nodes; i++)
    if (report->nodes[i].node == node)
      return 1;
  return 0;
}

static int
lists_endpoint (const WlReport *report, const char *id)
{
  for (uint32_t i = 0; i < report->n_endpoints; i++)
    if (strcmp (report->endpoints[i].id, id) == 0)
      return 1;
  return 0;
}

static void
take_nodes (WlView *view, const WlReport *report, uint64_t bit, uint64_t now_us)
{
  for (uint32_t i = 0; report->is_whole && i < view->roster->n_nodes; i++)
    if (!lists_node (report, view->roster->nodes[i].status.node))
      lose_node (view, &view->roster->nodes[i], bit);
  for (uint32_t i = 0; i < report->n_lost_nodes; i++)
    {
      WlRosterNode *r = wl_roster_find (view->roster, report->lost_nodes[i].node);
      if (r != NULL)
        lose_node (view, r, bit);
      else if (report->lost_nodes[i].node == view->self.node)
        view->self_vouchers &= ~bit;
    }
  for (uint32_t i = 0; i < report->n_nodes; i++)
    {
      const WlNodeStatus *s = &report->nodes[i];
      WlRosterNode *r = take_node (view, s, now_us);
      if (r != NULL)
        r->vouchers |= bit;
      else if (s->node == view->self.node && s->boot == view->self.boot)
        view->self_vouchers |= bit;
    }
}

static void
take_endpoints (WlView *view, const WlReport *report, uint64_t bit, uint64_t now_us)
{
  for (uint32_t i = 0; report->is_whole && i < view->fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &view->fleet->endpoints[i];
      if ((e->vouchers & bit) != 0 && !lists_endpoint (report, e->record.id))
        e->vouchers &= ~bit;
    }
  for (uint32_t i = 0; i < report->n_lost_endpoints; i++)
    {
      WlEndpoint *e = wl_fleet_find_key (view->fleet, report->lost_endpoints[i].key);
      if (e != NULL)
        e->vouchers &= ~bit;
    }
  for (uint32_t i = 0; i < report->n_endpoints; i++)
    {
      const WlEndpointRecord *record = &report->endpoints[i];
      WlEndpoint *e = wl_fleet_find (view->fleet, record->id);
      if (e == NULL || e->record.born_ms != record->born_ms)
        continue;
      e->vouchers |= bit;
      if (record->age_us < WL_FLEET_DOUBT_US)
        e->sure |= bit;
      else
        doubt_endpoint (view, e, bit, record->age_us, now_us);
    }
}

/* All that a source vouches for was there just now. */
static void
refresh (WlView *view, uint64_t bit, uint64_t now_us)
{
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    if ((view->roster->nodes[i].vouchers & bit) != 0)
      view->roster->nodes[i].heard_us = now_us;
  for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
    if ((view->fleet->endpoints[i].vouchers & view->fleet->endpoints[i].sure & bit) != 0)
      view->fleet->endpoints[i].heard_us = now_us;
}

static int
digests_match (const WlView *view, const WlReport *report, uint64_t bit)
{
  uint64_t nodes = (view->self_vouchers & bit) != 0 ? node_hash (&view->self) : 0;
  uint64_t endpoints = 0;
  for (uint32_t i = 0; i < view->roster->n_nodes; i++)
    if ((view->roster->nodes[i].vouchers & bit) != 0)
      nodes ^= node_hash (&view->roster->nodes[i].status);
  for (uint32_t i = 0; i < view->fleet->n_endpoints; i++)
    {
      const WlEndpoint *e = &view->fleet->endpoints[i];
      if ((e->vouchers & bit) != 0)
        endpoints ^= endpoint_hash (e, (e->sure & bit) != 0);
    }
  return nodes == report->node_digest && endpoints == report->endpoint_digest;
}

static void
compare_digests (const WlView *view, WlViewSource *s, const WlReport *report, uint64_t now_us)
{
  uint64_t bit = (uint64_t)1 << (s - view->sources);
  if (digests_match (view, report, bit))
    {
      s->n_mismatches = 0;
      s->wants_all = 0;
      return;
    }
  s->n_mismatches++;
  if (report->is_whole)
    s->wants_all = 0;
  /* What everything did not mend is asked for ever more rarely. */
  uint32_t doublings = s->n_mismatches / MISMATCHES_MAX;
  if (doublings > PULL_DOUBLINGS_MAX)
    doublings = PULL_DOUBLINGS_MAX;
  if (s->n_mismatches < MISMATCHES_MAX || report->is_whole
      || now_us < s->pulled_us + ((uint64_t)WL_VIEW_PULL_US << doublings))
    return;
  s->pulled_us = now_us;
  s->wants_all = 1;
}

/* Nodes not heard of before, or after a restart, are tried; a lost one is not there by hearsay. */
static void
take_introduction (WlView *view, const WlReport *report, uint64_t now_us)
{
  for (uint32_t i = 0; i < report->n_nodes; i++)
    {
      const WlNodeStatus *s = &report->nodes[i];
      const WlRosterNode *known = wl_roster_find (view->roster, s->node);
      if (known != NULL && known->heard_us != 0 && known->status.boot == s->boot)
        continue;
      WlRosterNode *r = take_node (view, s, now_us);
      if (r != NULL)
        r->heard_us = now_us;
    }
}

void
wl_view_take (WlView *view, const WlReport *report, uint64_t now_us)
{
  if (report->n_alive > WL_VIEW_MESH_MAX)
    {
      view->is_large = 1;
      view->large_us = now_us;
    }
  if (report->scope == WL_REPORT_INTRODUCTION)
    {
      take_introduction (view, report, now_us);
      return;
    }
  WlViewSource *s = make_source (view, &report->sender);
  if (s == NULL || report->sender.sequence <= s->sequence)
    return;
  uint64_t bit = (uint64_t)1 << (s - view->sources);
  if (!is_fresh (s, now_us) && !report->is_whole)
    {
      /* Changes have been missed: what it vouched for before says nothing now. */
      forget_vouchers (view, bit);
      s->wants_all = 1;
    }
  s->sequence = report->sender.sequence;
  s->heard_us = now_us;
  take_nodes (view, report, bit, now_us);
  take_endpoints (view, report, bit, now_us);
  refresh (view, bit, now_us);
  compare_digests (view, s, report, now_us);
}

void
wl_view_note_registration (WlView *view, const WlEndpointRecord *record, uint64_t now_us)
{
  WlEndpoint *e = wl_fleet_find (view->fleet, record->id);
  uint64_t heard_us = now_us > record->age_us ? now_us - record->age_us : 1;
  if (e != NULL && e->record.born_ms == record->born_ms && heard_us > e->direct_us)
    e->direct_us = heard_us;
}
