#include <stdlib.h>
#include <string.h>
#include "wl_accounts.h"
#include "wl_cell_internal.h"
#include "wl_events.h"
#include "wl_model_loads.h"
#include "wl_table.h"

/* Reports of endpoints: load, running attempts and cached prefixes. Orphans are cancelled. */

enum
{
  ABSENT_REPORTS = 2, /* an ended attempt is freed after so many consecutive reports without it */
};

static WlEndpoint *
get_endpoint (WlCell *cell, const WlEndpointReport *r, uint64_t now_us, WlEffects *fx)
{
  WlEndpoint *e = wl_accounts_endpoint (cell, r->endpoint);
  if (e != NULL && e->incarnation != r->incarnation)
    {
      /* After a restart the endpoint holds nothing for grants from before it. */
      wl_accounts_remove_endpoint (cell, e, now_us);
      e = NULL;
    }
  if (e != NULL)
    return e;
  e = calloc (1, sizeof *e);
  if (e == NULL)
    abort ();
  e->id = r->endpoint;
  e->incarnation = r->incarnation;
  wl_table_put_id (cell->endpoints, &e->id, e);
  wl_effects_log (fx, WL3001_ENDPOINT_JOINED, "endpoint=%s service=%s address=%s:%u", r->name,
                  r->service, r->address, r->port);
  return e;
}

static int
lists_attempt (const WlEndpointReport *r, uint64_t request, uint32_t attempt)
{
  for (uint32_t i = 0; i < r->n_running; i++)
    if (r->running[i].request == request && r->running[i].attempt == attempt)
      return 1;
  return 0;
}

/* Frees allocations of ended grants that ABSENT_REPORTS consecutive reports do not list. */
static void
free_absent_allocations (WlCell *cell, const WlEndpoint *e, const WlEndpointReport *r,
                         uint64_t now_us)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i; i = apr_hash_next (i))
    {
      WlGrantRecord *g = apr_hash_this_val (i);
      if (!g->ended || now_us < g->ended_us + WL_CELL_REPORT_LAG_US)
        continue;
      for (uint32_t j = 0; j < g->n_allocations; j++)
        {
          WlAllocation *allocation = &g->allocations[j];
          if (allocation->endpoint != e->id || allocation->freed)
            continue;
          allocation->n_absent_reports
              = lists_attempt (r, g->request, g->attempt) ? 0 : allocation->n_absent_reports + 1;
          if (allocation->n_absent_reports >= ABSENT_REPORTS
              && wl_accounts_free_allocation (cell, g, j))
            break;
        }
    }
}

static WlOrphan *
find_orphan (WlEndpoint *e, uint64_t request, uint32_t attempt)
{
  for (uint32_t i = 0; i < e->n_orphans; i++)
    if (e->orphans[i].request == request && e->orphans[i].attempt == attempt)
      return &e->orphans[i];
  return NULL;
}

static void
track_orphan (WlCell *cell, WlEndpoint *e, const WlRunningAttempt *running, uint64_t now_us,
              WlEffects *fx)
{
  WlOrphan *o = find_orphan (e, running->request, running->attempt);
  if (o == NULL && e->n_orphans < WL_CELL_ORPHANS_MAX)
    {
      o = &e->orphans[e->n_orphans++];
      *o = (WlOrphan){ .request = running->request,
                       .attempt = running->attempt,
                       .first_seen_us = now_us };
    }
  if (o == NULL)
    return;
  o->last_seen_us = now_us;
  if (!cell->ready || now_us < o->first_seen_us + WL_CELL_ORPHAN_GRACE_US)
    return;
  if (now_us < o->cancel_sent_us + WL_CELL_CANCEL_RETRY_US)
    return;
  o->cancel_sent_us = now_us;
  WlAllocation allocation = { .endpoint = e->id };
  cell->counters.cancels++;
  wl_cell_cancel_attempt (cell, &allocation, o->request, o->attempt, fx);
  wl_effects_log (fx, WL3007_STRAY_CANCELLED, "endpoint=%s request=%lx attempt=%u", e->name,
                  (unsigned long)o->request, o->attempt);
}

static void
track_orphans (WlCell *cell, WlEndpoint *e, const WlEndpointReport *r, uint64_t now_us,
               WlEffects *fx)
{
  for (uint32_t i = 0; i < r->n_running; i++)
    if (wl_accounts_find (cell, r->running[i].request, r->running[i].attempt) == NULL)
      track_orphan (cell, e, &r->running[i], now_us, fx);
  uint32_t kept = 0;
  for (uint32_t i = 0; i < e->n_orphans; i++)
    if (e->orphans[i].last_seen_us == now_us)
      e->orphans[kept++] = e->orphans[i];
  e->n_orphans = kept;
}

void
wl_cell_report (WlCell *cell, const WlEndpointReport *report, uint64_t now_us, WlEffects *fx)
{
  WlEndpoint *e = get_endpoint (cell, report, now_us, fx);
  if (report->sequence <= e->sequence && e->sequence > 0)
    return;
  e->sequence = report->sequence;
  strcpy (e->name, report->name);
  strcpy (e->address, report->address);
  e->port = report->port;
  strcpy (e->domain, report->domain);
  e->kv_capacity = report->kv_capacity;
  e->kv_reported = report->kv_used;
  e->slots = report->slots;
  if (report->leaving && !e->leaving)
    wl_effects_log (fx, WL3002_ENDPOINT_LEAVING, "endpoint=%s", e->name);
  e->leaving = report->leaving;
  e->last_contact_us = now_us;
  wl_model_loads_observe (cell, e, report);
  wl_prefix_hints_report (&e->prefixes, report->cached, report->n_cached, now_us);
  wl_prefix_hints_evict (&e->prefixes, report->evicted, report->n_evicted);
  if (report->n_cached > 0 || report->n_evicted > 0)
    wl_cell_weigh_prefixes (cell, e, fx);
  free_absent_allocations (cell, e, report, now_us);
  track_orphans (cell, e, report, now_us, fx);
  wl_cell_schedule (cell, now_us, fx);
}
