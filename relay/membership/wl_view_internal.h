#ifndef WL_VIEW_INTERNAL_H
#define WL_VIEW_INTERNAL_H

#include "wl_view.h"

/* Shared by wl_view.c, wl_view_report.c and wl_view_apply.c. */

/** wl_view_rank() - like wl_view_relays(), but @with_unresponsive counts lost nodes too */
uint32_t wl_view_rank (const WlView *view, const char *domain, int with_unresponsive,
                       uint64_t now_us, uint32_t *out, uint32_t max);

/** wl_view_other_domains() - lists the failure domains other than the own; returns their number */
uint32_t wl_view_other_domains (const WlView *view, const char **out, uint32_t max);

/** wl_view_is_fresh() - whether the latest report of a source is recent */
int wl_view_is_fresh (const WlViewSource *source, uint64_t now_us);

/** wl_view_fresh_sources() - bits of the fresh sources; @others_only: of other failure domains */
uint64_t wl_view_fresh_sources (const WlView *view, int others_only, uint64_t now_us);

/** wl_view_find_source() - the source of a node, a free entry for node 0; NULL for none */
WlViewSource *wl_view_find_source (WlView *view, uint32_t node);

/** wl_view_clear_attestations() - drops all attestations of the sources in @mask */
void wl_view_clear_attestations (WlView *view, uint64_t mask);

/** wl_view_node_hash() - hash of the fields of a node that reports carry, never 0 */
uint64_t wl_view_node_hash (const WlNodeStatus *status);

/** wl_view_endpoint_hash() - likewise of an endpoint; @is_current: it registers in time */
uint64_t wl_view_endpoint_hash (const WlEndpoint *endpoint, int is_current);

#endif
