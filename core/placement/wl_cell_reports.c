#include <stdlib.h>
#include <string.h>
#include "wl_accounts.h"
#include "wl_cell_internal.h"
#include "wl_events.h"
#include "wl_orders.h"
#include "wl_placement.h"
#include "wl_table.h"

/* Reports of endpoints: load, running attempts, cache; strays are cancelled. */

static WlEndpoint *
get_endpoint (WlCell *cell, const WlEndpointReport *r, uint64_t now_us, WlEffects *fx)
{
  WlEndpoint *e = wl_accounts_endpoint (cell, r->endpoint);
  if (e != NULL && e->incarnation != r->incarnation)
    {
      /* A restarted endpoint holds nothing of what it was granted before. */
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
reports_attempt (const WlEndpointReport *r, uint64_t request, uint32_t attempt)
{
  for (uint32_t i = 0; i < r->n_running; i++)
    if (r->running[i].request == request && r->running[i].attempt == attempt)
      return 1;
  return 0;
}

/* Frees seats of ended grants that the endpoint no longer reports, twice in a row. */
static void
free_absent_seats (WlCell *cell, const WlEndpoint *e, const WlEndpointReport *r, uint64_t now_us)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i; i = apr_hash_next (i))
    {
      WlGrantRecord *g = apr_hash_this_val (i);
      if (!g->ended || now_us < g->ended_us + WL_CELL_REPORT_LAG_US)
        continue;
      for (uint32_t s = 0; s < g->n_seats; s++)
        {
          WlSeatUse *seat = &g->seats[s];
          if (seat->endpoint != e->id || seat->freed)
            continue;
          seat->absent = reports_attempt (r, g->request, g->attempt) ? 0 : seat->absent + 1;
          if (seat->absent >= 2 && wl_accounts_free_seat (cell, g, s))
            break;
        }
    }
}

static WlStray *
find_stray (WlEndpoint *e, uint64_t request, uint32_t attempt)
{
  for (uint32_t i = 0; i < e->n_strays; i++)
    if (e->strays[i].request == request && e->strays[i].attempt == attempt)
      return &e->strays[i];
  return NULL;
}

static void
watch_stray (WlCell *cell, WlEndpoint *e, const WlRunning *run, uint64_t now_us, WlEffects *fx)
{
  WlStray *s = find_stray (e, run->request, run->attempt);
  if (s == NULL && e->n_strays < WL_CELL_STRAYS)
    {
      s = &e->strays[e->n_strays++];
      *s = (WlStray){ .request = run->request, .attempt = run->attempt, .since_us = now_us };
    }
  if (s == NULL)
    return;
  s->seen_us = now_us;
  if (!cell->ready || now_us < s->since_us + WL_CELL_STRAY_US)
    return;
  if (now_us < s->cancelled_us + WL_CELL_CANCEL_US)
    return;
  s->cancelled_us = now_us;
  WlSeatUse seat = { .endpoint = e->id };
  cell->counters.cancels++;
  wl_cell_cancel_seat (cell, &seat, s->request, s->attempt, fx);
  wl_effects_log (fx, WL3007_STRAY_CANCELLED, "endpoint=%s request=%lx attempt=%u", e->name,
                  (unsigned long)s->request, s->attempt);
}

static void
watch_strays (WlCell *cell, WlEndpoint *e, const WlEndpointReport *r, uint64_t now_us,
              WlEffects *fx)
{
  for (uint32_t i = 0; i < r->n_running; i++)
    if (wl_accounts_find (cell, r->running[i].request, r->running[i].attempt) == NULL)
      watch_stray (cell, e, &r->running[i], now_us, fx);
  uint32_t kept = 0;
  for (uint32_t i = 0; i < e->n_strays; i++)
    if (e->strays[i].seen_us == now_us)
      e->strays[kept++] = e->strays[i];
  e->n_strays = kept;
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
  e->heard_us = now_us;
  wl_orders_observe (cell, e, report);
  wl_placement_remember (e, report->cached, report->n_cached);
  wl_placement_forget (e, report->evicted, report->n_evicted);
  free_absent_seats (cell, e, report, now_us);
  watch_strays (cell, e, report, now_us, fx);
  wl_cell_schedule (cell, now_us, fx);
}
