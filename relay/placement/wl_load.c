#include <stdlib.h>
#include <string.h>
#include "wl_load.h"

struct WlLoad
{
  apr_pool_t *pool;
  apr_hash_t *queues; /* WlLoadQueue by endpoint key */
};

WlLoad *
wl_load_create (void)
{
  WlLoad *load = calloc (1, sizeof *load);
  if (load == NULL)
    abort ();
  apr_pool_create (&load->pool, NULL);
  load->queues = apr_hash_make (load->pool);
  return load;
}

void
wl_load_destroy (WlLoad *load)
{
  if (load == NULL)
    return;
  for (apr_hash_index_t *i = apr_hash_first (NULL, load->queues); i != NULL; i = apr_hash_next (i))
    free (apr_hash_this_val (i));
  apr_pool_destroy (load->pool);
  free (load);
}

static WlLoadQueue *
find_queue (const WlLoad *load, uint64_t endpoint)
{
  return apr_hash_get (load->queues, &endpoint, sizeof endpoint);
}

static WlLoadQueue *
get_queue (WlLoad *load, uint64_t endpoint)
{
  WlLoadQueue *p = find_queue (load, endpoint);
  if (p != NULL)
    return p;
  p = calloc (1, sizeof *p);
  if (p == NULL)
    abort ();
  p->endpoint = endpoint;
  apr_hash_set (load->queues, &p->endpoint, sizeof p->endpoint, p);
  return p;
}

static void
remove_item (WlLoadQueue *p, uint32_t i, uint64_t now_us)
{
  if (p->items[i].work.phase == WL_WORK_SENT)
    p->head_since_us = now_us;
  p->n_items--;
  memmove (&p->items[i], &p->items[i + 1], (p->n_items - i) * sizeof *p->items);
}

static int
has_prefills (const WlLoadQueue *p)
{
  for (uint32_t i = 0; i < p->n_items; i++)
    if (p->items[i].work.phase == WL_WORK_SENT)
      return 1;
  return 0;
}

/* Measured over predicted TTFT, 0 without a prediction. */
static double
ttft_ratio (const WlLoadItem *item, uint64_t now_us)
{
  if (item->work.predicted_ms == 0)
    return 0.0;
  return (double)(now_us - item->phase_since_us) / (item->work.predicted_ms * 1000.0);
}

double
wl_load_apply (WlLoad *load, uint32_t node, uint64_t boot, const WlWorkItem *work, uint64_t now_us)
{
  WlLoadQueue *p = get_queue (load, work->endpoint);
  double ratio = 0.0;
  uint32_t i = 0;
  while (
      i < p->n_items
      && (p->items[i].node != node || p->items[i].boot != boot || p->items[i].work.id != work->id))
    i++;
  if (work->phase == WL_WORK_ENDED)
    {
      if (i < p->n_items)
        remove_item (p, i, now_us);
      return 0.0;
    }
  if (i == p->n_items)
    {
      if (p->n_items == WL_LOAD_QUEUE_MAX)
        return 0.0;
      if (!has_prefills (p))
        p->head_since_us = now_us;
      p->n_items++;
    }
  else if (p->items[i].work.phase == work->phase)
    return 0.0; /* a duplicate */
  else
    {
      ratio = ttft_ratio (&p->items[i], now_us);
      p->head_since_us = now_us;
    }
  p->items[i] = (WlLoadItem){ node, boot, *work, now_us };
  return ratio;
}

void
wl_load_apply_and_learn (WlLoad *load, WlFleet *fleet, uint32_t node, uint64_t boot,
                         const WlWorkItem *work, uint64_t now_us)
{
  double ratio = wl_load_apply (load, node, boot, work, now_us);
  WlEndpoint *e = ratio > 0.0 ? wl_fleet_find_key (fleet, work->endpoint) : NULL;
  if (e != NULL)
    wl_fleet_note_slowdown (e, ratio, now_us);
}

void
wl_load_drop_node (WlLoad *load, uint32_t node, uint64_t kept_boot, uint64_t now_us)
{
  for (apr_hash_index_t *h = apr_hash_first (NULL, load->queues); h != NULL; h = apr_hash_next (h))
    {
      WlLoadQueue *p = apr_hash_this_val (h);
      for (uint32_t i = p->n_items; i-- > 0;)
        if (p->items[i].node == node && p->items[i].boot != kept_boot)
          remove_item (p, i, now_us);
    }
}

const WlLoadQueue *
wl_load_queue (const WlLoad *load, uint64_t endpoint)
{
  return find_queue (load, endpoint);
}

WlLoadSum
wl_load_sum (const WlLoad *load, uint64_t endpoint, uint64_t now_us)
{
  WlLoadSum sum = { 0 };
  const WlLoadQueue *p = find_queue (load, endpoint);
  uint64_t head_us = 0;
  uint64_t head_tokens = 0;
  if (p == NULL)
    return sum;
  for (uint32_t i = 0; i < p->n_items; i++)
    {
      const WlWorkItem *n = &p->items[i].work;
      sum.n_items++;
      sum.kv_tokens += n->kv_tokens;
      uint64_t gap_us = n->kv_tokens > 0 ? (uint64_t)n->gap_ms * 1000 : 0;
      if (gap_us > 0 && (sum.min_gap_us == 0 || gap_us < sum.min_gap_us))
        sum.min_gap_us = gap_us;
      if (n->phase == WL_WORK_DECODING)
        {
          sum.decodes++;
          sum.decode_context += n->kv_tokens;
          continue;
        }
      if (sum.prefills++ == 0)
        {
          head_us = n->prefill_us;
          head_tokens = n->prefill_tokens;
        }
      sum.backlog_us += n->prefill_us;
      sum.prefill_us += n->prefill_us;
      sum.backlog_tokens += n->prefill_tokens;
      if (n->is_helper_part)
        {
          sum.part_us += n->prefill_us;
          sum.part_tokens += n->prefill_tokens;
        }
    }
  /* The time that the prefill at the head has taken so far is done. */
  uint64_t done_us = now_us - p->head_since_us;
  if (done_us > head_us)
    done_us = head_us;
  sum.backlog_us -= done_us;
  if (head_us > 0)
    sum.backlog_tokens -= head_tokens * done_us / head_us;
  return sum;
}

static int
is_listed (const WlLoadReport *work, const WlWorkItem *item)
{
  for (uint32_t i = 0; i < work->n_items; i++)
    if (work->items[i].id == item->id && work->items[i].endpoint == item->endpoint)
      return 1;
  return 0;
}

void
wl_load_apply_full (WlLoad *load, uint32_t node, const WlLoadReport *work, uint64_t now_us)
{
  for (uint32_t i = 0; i < work->n_items; i++)
    wl_load_apply (load, node, work->boot, &work->items[i], now_us);
  for (apr_hash_index_t *h = apr_hash_first (NULL, load->queues); h != NULL; h = apr_hash_next (h))
    {
      WlLoadQueue *p = apr_hash_this_val (h);
      for (uint32_t i = p->n_items; i-- > 0;)
        if (p->items[i].node == node
            && (p->items[i].boot != work->boot || !is_listed (work, &p->items[i].work)))
          remove_item (p, i, now_us);
    }
}

uint32_t
wl_load_list (const WlLoad *load, uint32_t node, WlWorkItem *out, uint32_t max)
{
  uint32_t n = 0;
  for (apr_hash_index_t *h = apr_hash_first (NULL, load->queues); h != NULL; h = apr_hash_next (h))
    {
      const WlLoadQueue *p = apr_hash_this_val (h);
      for (uint32_t i = 0; i < p->n_items && n < max; i++)
        if (p->items[i].node == node)
          out[n++] = p->items[i].work;
    }
  return n;
}

void
wl_load_expire (WlLoad *load, uint64_t now_us)
{
  for (apr_hash_index_t *h = apr_hash_first (NULL, load->queues); h != NULL; h = apr_hash_next (h))
    {
      WlLoadQueue *p = apr_hash_this_val (h);
      for (uint32_t i = p->n_items; i-- > 0;)
        if (now_us > p->items[i].phase_since_us + WL_LOAD_EXPIRY_US)
          remove_item (p, i, now_us);
    }
}
