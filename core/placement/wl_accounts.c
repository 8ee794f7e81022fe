#include <stdlib.h>
#include <string.h>
#include "wl_accounts.h"
#include "wl_table.h"

enum
{
  CHECKED_ENDPOINTS_MAX = 1024, /* endpoints that wl_accounts_check() checks */
  DELAYS_SIZE_MIN = 16,         /* initial rows and columns of the delay matrix */
};

WlEndpoint *
wl_accounts_endpoint (const WlCell *cell, uint64_t id)
{
  return wl_table_get_id (cell->endpoints, id);
}

uint64_t
wl_accounts_kv_free (const WlEndpoint *endpoint)
{
  uint64_t limit = endpoint->kv_capacity * WL_CELL_KV_PERCENT / 100;
  uint64_t used = endpoint->kv_reserved;
  if (endpoint->kv_reported > used)
    used = endpoint->kv_reported;
  return used < limit ? limit - used : 0;
}

static void
grow_delays (WlCell *cell)
{
  uint32_t size = cell->delays_size > 0 ? 2 * cell->delays_size : DELAYS_SIZE_MIN;
  uint64_t *delays = calloc ((size_t)size * size, sizeof *delays);
  if (delays == NULL)
    abort ();
  for (uint32_t i = 0; i < cell->delays_size; i++)
    memcpy (delays + (size_t)i * size, cell->delays_us + (size_t)i * cell->delays_size,
            cell->delays_size * sizeof *delays);
  free (cell->delays_us);
  cell->delays_us = delays;
  cell->delays_size = size;
}

WlCellCustomer *
wl_accounts_customer (WlCell *cell, const char *customer)
{
  WlCellCustomer *record = apr_hash_get (cell->customers, customer, APR_HASH_KEY_STRING);
  if (record != NULL)
    return record;
  record = calloc (1, sizeof *record);
  if (record == NULL)
    abort ();
  strncpy (record->name, customer, sizeof record->name - 1);
  record->weight = 1;
  record->index = cell->n_customers++;
  if (cell->n_customers > cell->delays_size)
    grow_delays (cell);
  const WlCustomer *c = wl_services_find_customer (cell->services, customer);
  if (c != NULL)
    {
      record->weight = c->weight;
      record->max_running = c->max_running;
      record->max_queued = c->max_queued;
    }
  apr_hash_set (cell->customers, record->name, APR_HASH_KEY_STRING, record);
  return record;
}

WlGrantRecord *
wl_accounts_find (const WlCell *cell, uint64_t request, uint32_t attempt)
{
  return wl_table_get_id (cell->grants, wl_hash_ids (request, attempt));
}

static WlHolder *
find_holder (const WlCell *cell, uint32_t node)
{
  return wl_table_get_id (cell->holders, node);
}

/* Adds the grant's prefill to the backlog of its endpoints (sign 1) or removes it (-1). */
static void
add_prefill (WlCell *cell, const WlGrantRecord *g, int sign)
{
  for (uint32_t i = 0; i < g->n_allocations; i++)
    {
      WlEndpoint *e = wl_accounts_endpoint (cell, g->allocations[i].endpoint);
      if (e == NULL || g->allocations[i].freed || g->allocations[i].incarnation != e->incarnation)
        continue;
      if (g->is_long)
        e->long_prefills += (uint32_t)sign;
      else
        e->prefill_tokens += (uint64_t)((int64_t)g->uncached_tokens * sign);
    }
}

WlGrantRecord *
wl_accounts_grant (WlCell *cell, const WlGrantRecord *grant)
{
  WlGrantRecord *g = malloc (sizeof *g);
  if (g == NULL)
    abort ();
  *g = *grant;
  g->id = wl_hash_ids (g->request, g->attempt);
  wl_table_put_id (cell->grants, &g->id, g);
  for (uint32_t i = 0; i < g->n_allocations; i++)
    {
      WlEndpoint *e = wl_accounts_endpoint (cell, g->allocations[i].endpoint);
      g->allocations[i].incarnation = e->incarnation;
      e->kv_reserved += g->allocations[i].kv_tokens;
      e->slots_used++;
      e->granted++;
    }
  if (!g->first_token)
    add_prefill (cell, g, 1);
  g->customer->running++;
  g->customer->running_cost_us += g->cost_us;
  WlHolder *h = find_holder (cell, g->node);
  if (h != NULL)
    h->n_grants++;
  return g;
}

void
wl_accounts_first_token (WlCell *cell, WlGrantRecord *grant)
{
  if (grant->first_token)
    return;
  if (!grant->ended)
    add_prefill (cell, grant, -1);
  grant->first_token = 1;
}

void
wl_accounts_end (WlCell *cell, WlGrantRecord *grant, uint64_t now_us)
{
  if (grant->ended)
    return;
  if (!grant->first_token)
    add_prefill (cell, grant, -1);
  grant->ended = 1;
  grant->ended_us = now_us;
  grant->customer->running--;
  grant->customer->running_cost_us -= grant->cost_us;
  WlHolder *h = find_holder (cell, grant->node);
  if (h != NULL && h->n_grants > 0)
    h->n_grants--;
}

int
wl_accounts_free_allocation (WlCell *cell, WlGrantRecord *grant, uint32_t index)
{
  WlAllocation *a = &grant->allocations[index];
  if (!a->freed)
    {
      WlEndpoint *e = wl_accounts_endpoint (cell, a->endpoint);
      a->freed = 1;
      if (e != NULL && e->incarnation == a->incarnation)
        {
          e->kv_reserved -= a->kv_tokens;
          e->slots_used--;
        }
    }
  for (uint32_t i = 0; i < grant->n_allocations; i++)
    if (!grant->allocations[i].freed)
      return 0;
  wl_table_put_id (cell->grants, &grant->id, NULL);
  free (grant);
  return 1;
}

void
wl_accounts_remove_endpoint (WlCell *cell, WlEndpoint *endpoint, uint64_t now_us)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i; i = apr_hash_next (i))
    {
      WlGrantRecord *g = apr_hash_this_val (i);
      for (uint32_t j = 0; j < g->n_allocations; j++)
        if (g->allocations[j].endpoint == endpoint->id && !g->allocations[j].freed)
          {
            wl_accounts_end (cell, g, now_us);
            if (wl_accounts_free_allocation (cell, g, j))
              break;
          }
    }
  wl_table_put_id (cell->endpoints, &endpoint->id, NULL);
  free (endpoint);
}

typedef struct
{
  uint64_t kv_tokens;
  uint64_t prefill_tokens;
  uint32_t slots;
  uint32_t long_prefills;
} GrantSums;

static GrantSums
sum_endpoint (const WlCell *cell, const WlEndpoint *e)
{
  GrantSums sums = { 0 };
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->grants); i; i = apr_hash_next (i))
    {
      const WlGrantRecord *g = apr_hash_this_val (i);
      for (uint32_t j = 0; j < g->n_allocations; j++)
        {
          if (g->allocations[j].endpoint != e->id || g->allocations[j].freed)
            continue;
          sums.kv_tokens += g->allocations[j].kv_tokens;
          sums.slots++;
          if (g->first_token || g->ended)
            continue;
          sums.prefill_tokens += g->is_long ? 0 : g->uncached_tokens;
          sums.long_prefills += g->is_long;
        }
    }
  return sums;
}

int
wl_accounts_check (const WlCell *cell)
{
  WlEndpoint *list[CHECKED_ENDPOINTS_MAX];
  uint32_t n = 0;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i && n < CHECKED_ENDPOINTS_MAX;
       i = apr_hash_next (i))
    list[n++] = apr_hash_this_val (i);
  for (uint32_t i = 0; i < n; i++)
    {
      GrantSums sums = sum_endpoint (cell, list[i]);
      if (sums.kv_tokens != list[i]->kv_reserved || sums.slots != list[i]->slots_used
          || sums.prefill_tokens != list[i]->prefill_tokens
          || sums.long_prefills != list[i]->long_prefills)
        return 0;
    }
  return 1;
}
