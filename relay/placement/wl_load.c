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
add_queue (WlLoad *load, uint64_t endpoint)
{
  WlLoadQueue *queue = calloc (1, sizeof *queue);
  if (queue == NULL)
    abort ();
  queue->endpoint = endpoint;
  apr_hash_set (load->queues, &queue->endpoint, sizeof queue->endpoint, queue);
  return queue;
}

static void
remove_item (WlLoadQueue *queue, uint32_t i, uint64_t now_us)
{
  if (queue->items[i].work.phase == WL_WORK_SENT)
    queue->head_since_us = now_us;
  queue->n_items--;
  memmove (&queue->items[i], &queue->items[i + 1], (queue->n_items - i) * sizeof *queue->items);
}

static int
has_prefills (const WlLoadQueue *queue)
{
  for (uint32_t i = 0; i < queue->n_items; i++)
    if (queue->items[i].work.phase == WL_WORK_SENT)
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
  WlLoadQueue *queue = find_queue (load, work->endpoint);
  double ratio = 0.0;
  uint32_t i = 0;
  if (queue == NULL && work->phase == WL_WORK_ENDED)
    return 0.0;
  if (queue == NULL)
    queue = add_queue (load, work->endpoint);
  while (i < queue->n_items
         && (queue->items[i].node != node || queue->items[i].boot != boot
             || queue->items[i].work.id != work->id))
    i++;
  if (work->phase == WL_WORK_ENDED)
    {
      if (i < queue->n_items)
        remove_item (queue, i, now_us);
      return 0.0;
    }
  if (i == queue->n_items)
    {
      if (queue->n_items == WL_LOAD_QUEUE_MAX)
        return 0.0;
      if (!has_prefills (queue))
        queue->head_since_us = now_us;
      queue->n_items++;
    }
  else if (work->phase <= queue->items[i].work.phase)
    return 0.0; /* a duplicate, or one that was overtaken */
  else
    {
      ratio = ttft_ratio (&queue->items[i], now_us);
      queue->head_since_us = now_us;
    }
  queue->items[i] = (WlLoadItem){ node, boot, *work, now_us };
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
      WlLoadQueue *queue = apr_hash_this_val (h);
      for (uint32_t i = queue->n_items; i-- > 0;)
        if (queue->items[i].node == node && queue->items[i].boot != kept_boot)
          remove_item (queue, i, now_us);
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
  const WlLoadQueue *queue = find_queue (load, endpoint);
  uint64_t head_us = 0;
  uint64_t head_tokens = 0;
  if (queue == NULL)
    return sum;
  for (uint32_t i = 0; i < queue->n_items; i++)
    {
      const WlWorkItem *item = &queue->items[i].work;
      sum.n_items++;
      sum.kv_tokens += item->kv_tokens;
      uint64_t gap_us = item->kv_tokens > 0 ? (uint64_t)item->gap_ms * 1000 : 0;
      if (gap_us > 0 && (sum.min_gap_us == 0 || gap_us < sum.min_gap_us))
        {
          sum.min_gap_us = gap_us;
          sum.min_gap_items = 0;
        }
      if (gap_us > 0 && gap_us == sum.min_gap_us)
        sum.min_gap_items++;
      if (item->phase == WL_WORK_DECODING)
        {
          sum.decodes++;
          sum.decode_context += item->kv_tokens;
          continue;
        }
      if (sum.prefills++ == 0)
        {
          head_us = item->prefill_us;
          head_tokens = item->prefill_tokens;
        }
      sum.backlog_us += item->prefill_us;
      sum.prefill_us += item->prefill_us;
      sum.backlog_tokens += item->prefill_tokens;
      if (item->is_helper_part)
        {
          sum.part_us += item->prefill_us;
          sum.part_tokens += item->prefill_tokens;
        }
    }
  /* The time that the prefill at the head has taken so far is done. */
  uint64_t done_us = now_us - queue->head_since_us;
  if (done_us > head_us)
    done_us = head_us;
  sum.backlog_us -= done_us;
  if (head_us > 0)
    sum.backlog_tokens -= head_tokens * done_us / head_us;
  return sum;
}

static int
is_listed (const WlLoadReport *report, const WlWorkItem *item)
{
  for (uint32_t i = 0; i < report->n_items; i++)
    if (report->items[i].id == item->id && report->items[i].endpoint == item->endpoint)
      return 1;
  return 0;
}

void
wl_load_apply_full (WlLoad *load, uint32_t node, const WlLoadReport *report, uint64_t now_us)
{
  for (uint32_t i = 0; i < report->n_items; i++)
    wl_load_apply (load, node, report->boot, &report->items[i], now_us);
  for (apr_hash_index_t *h = apr_hash_first (NULL, load->queues); h != NULL; h = apr_hash_next (h))
    {
      WlLoadQueue *queue = apr_hash_this_val (h);
      for (uint32_t i = queue->n_items; i-- > 0;)
        if (queue->items[i].node == node
            && (queue->items[i].boot != report->boot || !is_listed (report, &queue->items[i].work)))
          remove_item (queue, i, now_us);
    }
}

uint32_t
wl_load_list (const WlLoad *load, uint32_t node, WlWorkItem *out, uint32_t max)
{
  uint32_t n = 0;
  for (apr_hash_index_t *h = apr_hash_first (NULL, load->queues); h != NULL; h = apr_hash_next (h))
    {
      const WlLoadQueue *queue = apr_hash_this_val (h);
      for (uint32_t i = 0; i < queue->n_items && n < max; i++)
        if (queue->items[i].node == node)
          out[n++] = queue->items[i].work;
    }
  return n;
}

void
wl_load_expire (WlLoad *load, uint64_t now_us)
{
  for (apr_hash_index_t *h = apr_hash_first (NULL, load->queues); h != NULL; h = apr_hash_next (h))
    {
      WlLoadQueue *queue = apr_hash_this_val (h);
      for (uint32_t i = queue->n_items; i-- > 0;)
        if (now_us > queue->items[i].phase_since_us + WL_LOAD_EXPIRY_US)
          remove_item (queue, i, now_us);
      if (queue->n_items > 0)
        continue;
      apr_hash_set (load->queues, &queue->endpoint, sizeof queue->endpoint, NULL);
      free (queue);
    }
}
