#include <inttypes.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"

/* The start of a node: full load reports that it asks for, and the time until it serves. */

enum
{
  ITEMS_MAX = 4096, /* work items in one answer, as in one full load report */
};

void
wl_host_start_begin (WlHost *host)
{
  wl_load_coverage_init (&host->load_coverage, host->started_us);
}

/* Whether a node's load is passed on to the one that asks: it gets the rest without asking. */
static int
must_pass_on_load (const WlHost *host, const WlRosterNode *asking, const WlRosterNode *node)
{
  const WlView *view = host->membership->view;
  return node != asking && wl_load_coverage_has (&host->load_coverage, node)
         && wl_view_in_own_domain (view, asking) != wl_view_in_own_domain (view, node);
}

/* Adds the work of a node, as far as it is known here, to @m as a full report. */
static void
add_full_report (const WlHost *host, uint32_t node, uint64_t boot, WlWorkItem *items,
                 uint32_t *n_items, WlMessage *m)
{
  WlLoadReport *report = &m->u.load_reports.reports[m->u.load_reports.n_reports];
  uint32_t n = wl_load_list (host->load, node, &items[*n_items], ITEMS_MAX - *n_items);
  if (*n_items + n == ITEMS_MAX)
    return; /* more than fits: its own next report says it */
  *report = (WlLoadReport){
    .boot = boot, .is_full = 1, .items = &items[*n_items], .n_items = n, .node = node
  };
  *n_items += n;
  m->u.load_reports.n_reports++;
}

void
wl_host_answer_load (WlHost *host, uint32_t to, uint64_t now_us)
{
  static WlWorkItem items[ITEMS_MAX];
  WlLoadReport reports[WL_ROSTER_MAX + 1];
  WlMessage m = { .kind = WL_MESSAGE_LOAD_REPORTS };
  uint32_t n_items = 0;
  const WlView *view = host->membership->view;
  const WlRosterNode *asking = wl_roster_find (host->roster, to);
  if (asking == NULL || asking->last_contact_us == 0 || wl_view_is_mesh (view))
    return;
  /* Changes that wait here are older than what is sent now, and must not arrive after it. */
  wl_host_forward_reports (host, now_us);
  m.u.load_reports.reports = reports;
  if (!wl_view_in_own_domain (view, asking))
    add_full_report (host, host->options.node, host->boot_id, items, &n_items, &m);
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      const WlRosterNode *node = &host->roster->nodes[i];
      if (wl_roster_is_alive (node, now_us) && must_pass_on_load (host, asking, node))
        add_full_report (host, node->status.node, node->status.boot, items, &n_items, &m);
    }
  if (m.u.load_reports.n_reports > 0)
    wl_host_send (host, to, &m);
}

static void
ask_for_load (WlHost *host, uint64_t now_us)
{
  uint32_t nodes[WL_VIEW_CONTACTS_MAX];
  WlMessage m = { .kind = WL_MESSAGE_LOAD_REPORT };
  uint32_t n = wl_load_coverage_ask (&host->load_coverage, host->membership, now_us, nodes);
  if (n == 0)
    return;
  m.u.load_report.boot = host->boot_id;
  m.u.load_report.asks_others = 1;
  wl_host_send_many (host, nodes, n, &m);
}

void
wl_host_start_tick (WlHost *host, uint64_t now_us)
{
  wl_relay_set_load_partial (
      host->relay, wl_load_coverage_update (&host->load_coverage, host->membership, now_us));
  ask_for_load (host, now_us);
}

/* Milliseconds from the start to @at_us, at least 1; 0 when that has not come. */
static uint64_t
since_start_ms (const WlHost *host, uint64_t at_us)
{
  if (at_us == 0)
    return 0;
  return at_us < host->started_us + 1000 ? 1 : (at_us - host->started_us) / 1000;
}

static void
note_time (uint64_t *at_us, int is_reached, uint64_t now_us)
{
  if (*at_us == 0 && is_reached)
    *at_us = now_us;
}

void
wl_host_start_observe (WlHost *host, uint64_t now_us)
{
  WlHostStart *s = &host->start;
  if (s->is_logged)
    return;
  note_time (&s->config_us, wl_relay_routes (host->relay) != NULL, now_us);
  note_time (&s->endpoint_us, host->fleet->n_endpoints > 0, now_us);
  note_time (&s->ready_us, wl_host_is_ready (host), now_us);
  if (s->ready_us == 0 || host->load_coverage.complete_us == 0)
    return;
  s->is_logged = 1;
  wl_log_eventf (WL1013_NODE_SERVES,
                 "config_ms=%" PRIu64 " endpoint_ms=%" PRIu64 " ready_ms=%" PRIu64
                 " load_ms=%" PRIu64 " endpoints=%u nodes=%u",
                 since_start_ms (host, s->config_us), since_start_ms (host, s->endpoint_us),
                 since_start_ms (host, s->ready_us),
                 since_start_ms (host, host->load_coverage.complete_us), host->fleet->n_endpoints,
                 host->membership->n_alive);
}

void
wl_host_write_start_metrics (const WlHost *host, WlBuffer *out)
{
  const WlHostStart *s = &host->start;
  wl_metrics_write_gauge (out, "start_config_ms", since_start_ms (host, s->config_us));
  wl_metrics_write_gauge (out, "start_endpoint_ms", since_start_ms (host, s->endpoint_us));
  wl_metrics_write_gauge (out, "start_ready_ms", since_start_ms (host, s->ready_us));
  wl_metrics_write_gauge (out, "start_load_ms",
                          since_start_ms (host, host->load_coverage.complete_us));
  wl_metrics_write_gauge (out, "load_partial", host->load_coverage.is_partial);
}
