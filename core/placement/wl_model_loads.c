#include <string.h>
#include "wl_accounts.h"
#include "wl_events.h"
#include "wl_model_loads.h"
#include "wl_placement.h"

enum
{
  ONE_LOAD = 1000000,       /* one model load; the token bucket counts millionths */
  ORDER_RETRY_US = 2000000, /* a refused order is repeated after this long */
  BURST_LOADS = 4,          /* size of the token bucket */
  REFILL_MAX_US = 60000000, /* longest time credited at once */
};

static int
has_model (const WlEndpointReport *report, const WlModel *model)
{
  for (uint32_t i = 0; i < report->n_loaded; i++)
    if (strcmp (report->loaded[i].name, model->name) == 0
        && strcmp (report->loaded[i].version, model->version) == 0)
      return 1;
  return 0;
}

void
wl_model_loads_observe (const WlCell *cell, WlEndpoint *endpoint, const WlEndpointReport *report)
{
  uint32_t missing = UINT32_MAX;
  for (size_t i = 0; i < cell->service->n_models; i++)
    if (!has_model (report, &cell->service->models[i]))
      {
        missing = (uint32_t)i;
        break;
      }
  if (endpoint->missing_model != missing)
    endpoint->ordered_us = 0;
  endpoint->missing_model = missing;
  endpoint->ready = missing == UINT32_MAX;
}

/* Refills the token bucket at weight_loads_per_minute. */
static void
refill_bucket (WlCell *cell, uint64_t now_us)
{
  uint64_t passed_us = now_us - cell->order_refilled_us;
  uint64_t rate = cell->services->weight_loads_per_minute;
  if (passed_us > REFILL_MAX_US)
    passed_us = REFILL_MAX_US;
  cell->load_bucket_millionths += passed_us * rate / 60;
  cell->order_refilled_us = now_us;
  if (cell->load_bucket_millionths > BURST_LOADS * ONE_LOAD)
    cell->load_bucket_millionths = BURST_LOADS * ONE_LOAD;
}

static void
issue_order (WlCell *cell, WlEndpoint *e, uint64_t now_us, WlEffects *fx)
{
  const WlModel *model = &cell->service->models[e->missing_model];
  WlModelLoad *load = &wl_effects_add (fx, WL_EFFECT_LOAD_MODEL)->u.model_load;
  load->endpoint = e->id;
  strcpy (load->address, e->address);
  load->port = e->port;
  load->fence = cell->lease.fence;
  strcpy (load->model, model->name);
  strcpy (load->version, model->version);
  e->ordered_us = now_us;
  wl_effects_log (fx, WL3008_ORDER_ISSUED, "endpoint=%s model=%s version=%s fence=%lu", e->name,
                  model->name, model->version, (unsigned long)cell->lease.fence);
}

void
wl_model_loads_tick (WlCell *cell, uint64_t now_us, WlEffects *fx)
{
  refill_bucket (cell, now_us);
  if (!cell->dependencies_ready)
    return;
  if (!cell->service->fenced && now_us < cell->opened_us + WL_CELL_ORPHAN_GRACE_US)
    return;
  for (apr_hash_index_t *i = apr_hash_first (NULL, cell->endpoints); i; i = apr_hash_next (i))
    {
      WlEndpoint *e = apr_hash_this_val (i);
      if (e->ready || e->leaving || e->missing_model >= cell->service->n_models
          || wl_placement_is_evacuated (cell, e))
        continue;
      if (e->ordered_us != 0 && now_us < e->ordered_us + WL_CELL_ORDER_TIMEOUT_US)
        continue;
      if (cell->load_bucket_millionths < ONE_LOAD)
        return;
      cell->load_bucket_millionths -= ONE_LOAD;
      issue_order (cell, e, now_us, fx);
    }
}

void
wl_model_loads_end (WlCell *cell, const WlModelLoadEndEvent *end, uint64_t now_us, WlEffects *fx)
{
  WlEndpoint *e = wl_accounts_endpoint (cell, end->endpoint);
  if (e == NULL || end->ok)
    return;
  e->ordered_us = now_us - WL_CELL_ORDER_TIMEOUT_US + ORDER_RETRY_US;
  wl_effects_log (fx, WL3009_ORDER_REFUSED, "endpoint=%s", e->name);
}
