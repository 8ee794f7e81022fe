#ifndef WL_VIEW_H
#define WL_VIEW_H

#include "wl_fleet.h"
#include "wl_roster.h"

/*
 * Who tells whom about nodes and endpoints, so that the cost of a node does
 * not grow with the fleet.
 *
 * In a small fleet every node sends its status to every other. In a large one
 * a node sends it to the relays of its failure domain: the first
 * WL_VIEW_RELAYS of a rank that every node computes from what it knows. Nobody
 * is elected; two nodes that differ for a moment send a few statuses more.
 * Whoever asks a node for reports is sent them, so that a wrong rank costs
 * bytes and never knowledge.
 *
 * A relay vouches for the nodes whose statuses arrive and for the endpoints
 * whose registrations do. It reports that to relays of other failure domains
 * (WL_REPORT_DOMAIN), and what it learns from these as well to its own failure
 * domain (WL_REPORT_ALL). It does not pass on what relays of its own failure
 * domain vouch for: nothing can be kept alive by going round. A node is lost
 * when none of its relays vouches for it.
 *
 * A report lists the changes since the one before and digests over everything
 * in its scope. A receiver whose digests differ twice in a row asks for all of
 * it. Of two starts of a node the one heard later by a relay counts.
 */

enum
{
  WL_VIEW_MESH_MAX = 16,      /* nodes, this one included, up to which all tell all */
  WL_VIEW_SHARED_MAX = 128,   /* nodes up to which work is told to all failure domains */
  WL_VIEW_RELAYS = 3,         /* relays of a failure domain: two may be lost at once */
  WL_VIEW_SOURCES_MAX = 64,   /* relays that report here */
  WL_VIEW_CONTACTS_MAX = 128, /* nodes that get the status of this one */
  WL_VIEW_DIRECT_TIMEOUT_US
  = 1000000,                         /* two statuses missed and some delay: no longer vouched for */
  WL_VIEW_PULL_INTERVAL_US = 300000, /* shortest time between two requests for everything */
  WL_VIEW_FULL_INTERVAL_US = 900000, /* a subscriber is sent everything at most so often */
  WL_VIEW_SOURCE_TIMEOUT_US = 5000000, /* a silent relay is forgotten */
  WL_VIEW_PROBE_INTERVAL_US = 1000000, /* interval of requests for introductions */
};

/**
 * struct WlViewSource - a relay that reports here
 * @node: its id, 0 for none
 * @boot: its boot
 * @sequence: of its latest report
 * @last_report_us: when that arrived
 * @pulled_us: when it was last asked for everything
 * @n_mismatches: reports in a row whose digest differed
 * @wants_full: it shall be asked for everything
 */
typedef struct
{
  uint32_t node;
  uint64_t boot;
  uint64_t sequence;
  uint64_t last_report_us;
  uint64_t pulled_us;
  uint32_t n_mismatches;
  uint8_t wants_full;
} WlViewSource;

/**
 * struct WlView - how a node takes part in telling
 * @roster: the nodes
 * @fleet: the endpoints
 * @self: latest status of this node, set by its owner
 * @sources: relays that report here; bits of vouchers are positions in it
 * @self_attested_by: those that vouch for this node
 * @self_reported: what reports say of this node, by scope
 * @n_scans: scans so far
 * @changed_scan: the latest that found a change
 * @large_reported_us: when a relay last told that the fleet is large
 * @is_large: it did not long ago, however few nodes are known here
 * @probed_us: when a node was last asked for an introduction
 * @random: state of random numbers
 */
typedef struct
{
  WlRoster *roster;
  WlFleet *fleet;
  WlNodeStatus self;
  WlViewSource sources[WL_VIEW_SOURCES_MAX];
  uint64_t self_attested_by;
  WlReported self_reported[WL_REPORT_INTRODUCTION];
  uint64_t n_scans;
  uint64_t changed_scan;
  uint64_t large_reported_us;
  uint8_t is_large;
  uint64_t probed_us;
  uint64_t random;
} WlView;

/** wl_view_create() - creates the view of a node; roster and fleet remain the caller's */
WlView *wl_view_create (WlRoster *roster, WlFleet *fleet, uint64_t seed);

/** wl_view_destroy() - frees a view; accepts NULL */
void wl_view_destroy (WlView *view);

/**
 * wl_view_is_mesh() - whether every node tells every other
 *
 * As few nodes are known here, and no relay tells of more.
 */
int wl_view_is_mesh (const WlView *view);

/** wl_view_is_near() - whether a node is in this node's failure domain */
int wl_view_is_near (const WlView *view, const WlRosterNode *node);

/**
 * wl_view_relays() - relays of a failure domain by rank
 * @view: the view
 * @domain: the failure domain
 * @now_us: monotonic time
 * @out: receives up to @max node ids, possibly this node's
 * @max: room in @out
 *
 * Return: the number of relays.
 */
uint32_t wl_view_relays (const WlView *view, const char *domain, uint64_t now_us, uint32_t *out,
                         uint32_t max);

/**
 * wl_view_carriers() - the first relay of each other failure domain
 * @view: the view
 * @now_us: monotonic time
 * @out: receives up to @max node ids
 * @max: room in @out
 *
 * Return: the number of nodes.
 */
uint32_t wl_view_carriers (const WlView *view, uint64_t now_us, uint32_t *out, uint32_t max);

/** wl_view_is_relay() - whether this node is a relay of its failure domain by rank */
int wl_view_is_relay (const WlView *view, uint64_t now_us);

/**
 * wl_view_contacts() - nodes that get this node's status
 * @view: the view of a large fleet
 * @now_us: monotonic time
 * @out: receives the nodes
 *
 * The relays of the own failure domain; for a relay also the one of its own
 * rank in each other, so that a change has as many ways as there are ranks.
 * Those thought lost as well, since a partition may have ended.
 *
 * Return: the number of nodes, up to WL_VIEW_CONTACTS_MAX.
 */
uint32_t wl_view_contacts (const WlView *view, uint64_t now_us, uint32_t *out);

/**
 * wl_view_probe() - a node that shall be asked for an introduction now
 * @view: the view
 * @seeds: nodes named by the settings
 * @n_seeds: their number
 * @now_us: monotonic time
 *
 * Joins parts of the fleet that do not know of each other.
 *
 * Return: the node, 0 for none.
 */
uint32_t wl_view_probe (WlView *view, const uint32_t *seeds, uint32_t n_seeds, uint64_t now_us);

/** wl_view_subscription() - what to ask of a contact, a WlSubscription */
uint8_t wl_view_subscription (WlView *view, uint32_t node, uint64_t now_us);

/** wl_view_is_subscriber() - whether a node is sent reports */
int wl_view_is_subscriber (const WlRosterNode *node, uint64_t now_us);

/** wl_view_scope() - what a subscriber is told */
WlReportScope wl_view_scope (const WlView *view, const WlRosterNode *node);

/**
 * wl_view_scan() - finds what has changed since the last scan
 * @view: the view; @changed_scan is set when something has
 * @now_us: monotonic time
 *
 * Return: the number of the scan, for wl_view_report().
 */
uint64_t wl_view_scan (WlView *view, uint64_t now_us);

/**
 * wl_view_report() - writes a report, as of the last scan
 * @view: the view
 * @scope: WL_REPORT_ALL or WL_REPORT_DOMAIN
 * @since_scan: number of the scan that the previous report followed; 0 to report everything
 * @now_us: monotonic time
 * @pool: owner of the arrays
 * @out: receives it; the loads are the caller's to add
 */
void wl_view_report (const WlView *view, WlReportScope scope, uint64_t since_scan, uint64_t now_us,
                     apr_pool_t *pool, WlReport *out);

/** wl_view_write_introduction() - writes an introduction for a stranger: the first relays of each
 * domain */
void wl_view_write_introduction (const WlView *view, uint64_t now_us, apr_pool_t *pool,
                                 WlReport *out);

/**
 * wl_view_take() - takes a report; that of its sender is taken by wl_roster_apply_status()
 * @view: the view
 * @report: the report
 * @now_us: monotonic time
 */
void wl_view_take (WlView *view, const WlReport *report, uint64_t now_us);

/** wl_view_note_registration() - a registration arrived here, or from a node that reports here */
void wl_view_note_registration (WlView *view, const WlEndpointRecord *record, uint64_t now_us);

/** wl_view_expire() - forgets silent relays */
void wl_view_expire (WlView *view, uint64_t now_us);

#endif
