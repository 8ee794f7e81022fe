#ifndef WL_LOAD_COVERAGE_H
#define WL_LOAD_COVERAGE_H

#include "wl_membership.h"

/*
 * Whether a node that has just started knows the load of its fleet. Load reports carry changes, so
 * a node sees the load of another one only once it has a full report of it. Until it has those of
 * most nodes, endpoints look idle to it that are not, and so they do to all nodes that started
 * together.
 */

enum
{
  /* Full reports are repeated every 2.5 s. After this, what is missing does not come. */
  WL_LOAD_COVERAGE_START_US = 3000000,
  /* Shortest time between two requests for full reports: a few round trips under load. */
  WL_LOAD_COVERAGE_ASK_INTERVAL_US = 200000,
};

/** struct WlLoadSource - a node whose full report has arrived, and the boot that it was of */
typedef struct
{
  uint32_t node;
  uint64_t boot;
} WlLoadSource;

/**
 * struct WlLoadCoverage - the full reports that have arrived since the start
 * @sources: the nodes, @n_sources of them
 * @started_us: start of this node
 * @complete_us: when the load was first complete, 0 before
 * @asked_us: when other nodes were last asked for full reports
 * @is_partial: result of the latest wl_load_coverage_update()
 */
typedef struct
{
  WlLoadSource sources[WL_ROSTER_MAX];
  uint32_t n_sources;
  uint64_t started_us;
  uint64_t complete_us;
  uint64_t asked_us;
  uint8_t is_partial;
} WlLoadCoverage;

/** wl_load_coverage_init() - empties the coverage of a node that starts now */
void wl_load_coverage_init (WlLoadCoverage *coverage, uint64_t now_us);

/** wl_load_coverage_note() - records a full load report of a node */
void wl_load_coverage_note (WlLoadCoverage *coverage, uint32_t node, uint64_t boot);

/** wl_load_coverage_has() - whether a full report of a node's present boot has arrived */
int wl_load_coverage_has (const WlLoadCoverage *coverage, const WlRosterNode *node);

/**
 * wl_load_coverage_update() - finds out whether the load is complete
 * @coverage: the coverage
 * @membership: the nodes that are known
 * @now_us: monotonic time
 *
 * It is once full reports of three in four live nodes that send their load here have
 * arrived, of the own failure domain in the largest fleets, and always after
 * WL_LOAD_COVERAGE_START_US. A node that knows no other one, but has seeds, waits for them.
 * Within that time it may become partial again, as more nodes start.
 *
 * Return: 1 while it is partial.
 */
int wl_load_coverage_update (WlLoadCoverage *coverage, const WlMembership *membership,
                             uint64_t now_us);

/**
 * wl_load_coverage_ask() - picks the nodes to ask for full reports, if that is due
 * @coverage: the coverage
 * @membership: the nodes that are known
 * @now_us: monotonic time
 * @out: receives up to WL_VIEW_CONTACTS_MAX node ids
 *
 * Full reports of the own failure domain, or of a mesh, arrive at the first contact. Those of
 * other domains are asked of the relay that forwards them; that relay asks those of the others.
 *
 * Return: the number of nodes.
 */
uint32_t wl_load_coverage_ask (WlLoadCoverage *coverage, const WlMembership *membership,
                               uint64_t now_us, uint32_t *out);

#endif
