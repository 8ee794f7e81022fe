#ifndef WL_VIEW_H
#define WL_VIEW_H

#include "wl_fleet.h"
#include "wl_roster.h"

/*
 * How nodes spread what they know about nodes and endpoints, so that the cost
 * for one node does not grow with the fleet.
 *
 * In a small fleet every node sends its status to every other: a mesh. In a
 * large one a node sends it to the relays of its failure domain. These are the
 * first WL_VIEW_RELAYS nodes of a ranking that every node computes from its own
 * view, without election: two nodes whose rankings differ for a moment send a
 * few more statuses. Any node that is asked for reports sends them, so that a
 * wrong ranking costs bytes but loses no information.
 *
 * A relay attests the nodes whose statuses and the endpoints whose registrations
 * arrive there. It reports these to relays of other failure domains
 * (WL_REPORT_DOMAIN). To its own failure domain it also reports what it learns
 * from relays of the others (WL_REPORT_ALL). It never forwards what relays of its
 * own failure domain attest, so that reports which travel in a circle keep
 * nothing alive. A node is lost when no relay attests it any more.
 *
 * A report holds the changes since the previous one, and digests over everything
 * in its scope. A receiver whose digests differ twice in a row requests a full
 * report (anti-entropy). When reports name two boots of a node, the one that a
 * relay had contact with later wins.
 */

enum
{
  WL_VIEW_MESH_NODES_MAX = 16, /* largest mesh, this node included */
  WL_VIEW_GLOBAL_LOAD_NODES_MAX
  = 128,                      /* nodes up to which load reports go to all failure domains */
  WL_VIEW_RELAYS = 3,         /* relays of a failure domain: two may fail at once */
  WL_VIEW_SOURCES_MAX = 64,   /* relays that send reports here */
  WL_VIEW_CONTACTS_MAX = 128, /* nodes that receive this node's status */
  WL_VIEW_DIRECT_TIMEOUT_US = 1000000, /* two statuses missed and some delay: no longer attested */
  WL_VIEW_PULL_INTERVAL_US = 300000,   /* shortest time between two requests for a full report */
  WL_VIEW_FULL_INTERVAL_US = 900000, /* shortest time between two full reports to one subscriber */
  WL_VIEW_SOURCE_TIMEOUT_US = 5000000, /* a relay without reports is no longer a source */
  WL_VIEW_PROBE_INTERVAL_US = 1000000, /* interval of requests for introductions */
};

/**
 * struct WlViewSource - a relay that sends reports here
 * @node: its id, 0 for a free entry
 * @boot: its boot
 * @sequence: sequence of its latest report
 * @last_report_us: arrival of that report
 * @pulled_us: when a full report was last requested
 * @n_mismatches: consecutive reports whose digests differed
 * @wants_full: the next status to it requests a full report
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
 * struct WlView - what a node knows of the fleet and from which relays
 * @roster: the nodes
 * @fleet: the endpoints
 * @self: latest status of this node, set by the owner of the view
 * @sources: relays that send reports here; their positions are the bits of attested_by
 *   and current_at
 * @self_attested_by: relays that attest this node
 * @self_reported: what this node's reports say of itself, by scope
 * @n_scans: scans so far
 * @changed_scan: the latest scan that found a change
 * @large_reported_us: when a relay last reported more nodes than a mesh may have
 * @is_large: a relay did so recently, however few nodes are in the roster
 * @probed_us: when a node was last asked for an introduction
 * @random: state of the random number generator
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

/** wl_view_create() - creates the view of a node; roster and fleet stay owned by the caller */
WlView *wl_view_create (WlRoster *roster, WlFleet *fleet, uint64_t seed);

/** wl_view_destroy() - frees a view; accepts NULL */
void wl_view_destroy (WlView *view);

/**
 * wl_view_is_mesh() - whether every node sends its status to every other
 *
 * True while few nodes are known here and no relay reports more.
 */
int wl_view_is_mesh (const WlView *view);

/** wl_view_in_own_domain() - whether a node is in this node's failure domain */
int wl_view_in_own_domain (const WlView *view, const WlRosterNode *node);

/**
 * wl_view_relays() - relays of a failure domain that are alive, by rank
 * @view: the view
 * @domain: the failure domain
 * @now_us: monotonic time
 * @out: receives up to @max node ids, possibly this node's
 * @max: size of @out
 *
 * Return: the number of relays.
 */
uint32_t wl_view_relays (const WlView *view, const char *domain, uint64_t now_us, uint32_t *out,
                         uint32_t max);

/**
 * wl_view_remote_relays() - the first relay of each other failure domain
 * @view: the view
 * @now_us: monotonic time
 * @out: receives up to @max node ids
 * @max: size of @out
 *
 * Return: the number of nodes.
 */
uint32_t wl_view_remote_relays (const WlView *view, uint64_t now_us, uint32_t *out, uint32_t max);

/** wl_view_is_relay() - whether this node is a relay of its failure domain by rank */
int wl_view_is_relay (const WlView *view, uint64_t now_us);

/**
 * wl_view_contacts() - nodes that this node sends its status to in a large fleet
 * @view: the view
 * @now_us: monotonic time
 * @out: receives up to WL_VIEW_CONTACTS_MAX node ids
 *
 * These are the relays of its failure domain. A relay adds the relay of its own
 * rank in each other domain, so that a change has as many paths as there are ranks.
 * Relays believed lost are included, since a partition may have ended.
 *
 * Return: the number of nodes.
 */
uint32_t wl_view_contacts (const WlView *view, uint64_t now_us, uint32_t *out);

/**
 * wl_view_probe() - picks a node to ask for an introduction, if one is due
 * @view: the view
 * @seeds: ids of nodes named by the settings
 * @n_seeds: their number
 * @now_us: monotonic time
 *
 * Probes join parts of the fleet that do not know each other.
 *
 * Return: the node, 0 for none.
 */
uint32_t wl_view_probe (WlView *view, const uint32_t *seeds, uint32_t n_seeds, uint64_t now_us);

/** wl_view_subscription() - what this node's status asks of a contact, a WlSubscription */
uint8_t wl_view_subscription (WlView *view, uint32_t node, uint64_t now_us);

/** wl_view_is_subscriber() - whether a node has asked for reports within WL_ROSTER_TIMEOUT_US */
int wl_view_is_subscriber (const WlRosterNode *node, uint64_t now_us);

/** wl_view_scope() - scope of the reports that a subscriber gets */
WlReportScope wl_view_scope (const WlView *view, const WlRosterNode *node);

/**
 * wl_view_scan() - finds what has changed in the scope of reports since the last scan
 * @view: the view; @changed_scan is set on a change
 * @now_us: monotonic time
 *
 * Return: the number of this scan, for wl_view_report().
 */
uint64_t wl_view_scan (WlView *view, uint64_t now_us);

/**
 * wl_view_report() - writes a report, as of the last scan
 * @view: the view
 * @scope: WL_REPORT_ALL or WL_REPORT_DOMAIN
 * @since_scan: list the changes found after this scan; 0 for a full report
 * @now_us: monotonic time
 * @pool: owner of the arrays
 * @out: receives the report
 */
void wl_view_report (const WlView *view, WlReportScope scope, uint64_t since_scan, uint64_t now_us,
                     apr_pool_t *pool, WlMembershipReport *out);

/** wl_view_write_introduction() - writes an introduction: the relays of each failure domain */
void wl_view_write_introduction (const WlView *view, uint64_t now_us, apr_pool_t *pool,
                                 WlMembershipReport *out);

/**
 * wl_view_apply() - applies a report, except the status of its sender
 * @view: the view
 * @report: the report
 * @now_us: monotonic time
 *
 * The caller applies that status before, with wl_roster_apply_status().
 */
void wl_view_apply (WlView *view, const WlMembershipReport *report, uint64_t now_us);

/** wl_view_note_registration() - records a registration that arrived or was forwarded here */
void wl_view_note_registration (WlView *view, const WlEndpointRecord *record, uint64_t now_us);

/** wl_view_expire() - drops sources without reports for WL_VIEW_SOURCE_TIMEOUT_US */
void wl_view_expire (WlView *view, uint64_t now_us);

#endif
