#include <stdlib.h>
#include <string.h>
#include "wl_accounts.h"
#include "wl_cell_internal.h"
#include "wl_placement.h"
#include "wl_queue.h"
#include "wl_table.h"

/* Grant renewals of entries, which also report the progress and end of their attempts. */

enum
{
  MISMATCHES_MAX = 3, /* consecutive wrong grant counts before the full list is requested */
};

/* Selects grants of an entry. */
typedef int (*GrantPredicate) (const WlGrantRecord *g, const void *context, uint64_t now_us);

/* Records a grant that a previous owner of the cell has given. */
static void
adopt_grant (WlCell *cell, uint32_t node, const WlHeldGrant *h, uint64_t now_us)
{
  if (wl_accounts_find (cell, h->request, h->attempt) != NULL)
    return;
  WlGrantRecord g = {
    .request = h->request,
    .attempt = h->attempt,
    .node = node,
    .customer = wl_accounts_customer (cell, h->customer),
    .prompt_tokens = h->prompt_tokens,
    .uncached_tokens = h->prompt_tokens,
    .cost_us = wl_queue_cost (cell, h->first_token ? 0 : h->prompt_tokens, h->max_tokens),
    .granted_us = now_us,
    .estimated_end_us
    = now_us + wl_queue_duration (cell, h->prompt_tokens, h->max_tokens, h->n_endpoints),
    .first_token = h->first_token,
    .is_long = h->prompt_tokens > WL_LONG_PROMPT_TOKENS,
  };
  for (uint32_t i = 0; i < h->n_endpoints && i < WL_GANG_MAX; i++)
    {
      /* Endpoints without a report yet are left out: their kv_reported will include this grant. */
      if (wl_accounts_endpoint (cell, h->endpoints[i].endpoint) == NULL)
        continue;
      g.allocations[g.n_allocations].endpoint = h->endpoints[i].endpoint;
      g.allocations[g.n_allocations++].kv_tokens = h->endpoints[i].kv_tokens;
    }
  if (g.n_allocations > 0)
    wl_accounts_grant (cell, &g);
}

static int
is_listed (const WlGrantRenewal *renewal, const WlGrantRecord *g)
{
  for (uint32_t i = 0; i < renewal->n_grants; i++)
    if (renewal->grants[i].request == g->request && renewal->grants[i].attempt == g->attempt)
      return 1;
  return 0;
}

static void
end_grants (WlCell *cell, uint32_t node, GrantPredicate matches, const void *context,
            uint64_t now_us, WlEffects *fx)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i; i = apr_hash_next (i))
    {
      WlGrantRecord *g = apr_hash_this_val (i);
      if (g->node == node && !g->ended && matches (g, context, now_us))
        wl_cell_end_and_cancel (cell, g, now_us, fx);
    }
}

static int
is_any (const WlGrantRecord *g, const void *context, uint64_t now_us)
{
  (void)g;
  (void)context;
  (void)now_us;
  return 1;
}

static int
is_unlisted (const WlGrantRecord *g, const void *context, uint64_t now_us)
{
  /* The message with a recent grant may still be on its way to the entry. */
  return now_us >= g->granted_us + WL_CELL_REPORT_LAG_US && !is_listed (context, g);
}

void
wl_cell_remove_queued_of (WlCell *cell, uint32_t node)
{
  for (WlQueuedRequest *w = cell->queue, *next; w != NULL; w = next)
    {
      next = w->next;
      if (w->place.node == node)
        wl_queue_remove (cell, w);
    }
}

static int
has_usable_endpoint (const WlCell *cell, uint64_t now_us)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    if (wl_placement_is_usable (cell, apr_hash_this_val (i), now_us))
      return 1;
  return 0;
}

void
wl_cell_end_all_grants (WlCell *cell, uint32_t node, uint64_t now_us, WlEffects *fx)
{
  end_grants (cell, node, is_any, NULL, now_us, fx);
}

void
wl_cell_renew_grants (WlCell *cell, const WlGrantRenewal *renewal, uint64_t now_us, WlEffects *fx)
{
  WlHolder *h = wl_cell_get_holder (cell, renewal->node, now_us);
  if (h->incarnation != 0 && h->incarnation != renewal->incarnation)
    {
      end_grants (cell, renewal->node, is_any, NULL, now_us, fx);
      wl_cell_remove_queued_of (cell, renewal->node);
    }
  h->incarnation = renewal->incarnation;
  h->last_contact_us = now_us;
  if (renewal->full)
    {
      for (uint32_t i = 0; i < renewal->n_grants; i++)
        adopt_grant (cell, renewal->node, &renewal->grants[i], now_us);
      end_grants (cell, renewal->node, is_unlisted, renewal, now_us, fx);
    }
  for (uint32_t i = 0; i < renewal->n_updates; i++)
    wl_cell_apply_update (cell, &renewal->updates[i], now_us, fx);
  h->n_mismatches = h->n_grants == renewal->n_held ? 0 : (uint8_t)(h->n_mismatches + 1);
  WlMessage m = { .kind = WL_MESSAGE_HOLD_REPLY };
  strcpy (m.u.hold_reply.service, cell->lease.service);
  m.u.hold_reply.shard = cell->lease.shard;
  m.u.hold_reply.fence = cell->lease.fence;
  m.u.hold_reply.sequence = renewal->sequence;
  m.u.hold_reply.want_full = h->n_mismatches >= MISMATCHES_MAX;
  m.u.hold_reply.ready = (uint8_t)has_usable_endpoint (cell, now_us);
  if (m.u.hold_reply.want_full)
    h->n_mismatches = 0;
  wl_effects_send (fx, renewal->node, &m);
  wl_cell_schedule (cell, now_us, fx);
}
