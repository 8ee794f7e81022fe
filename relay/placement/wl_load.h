#ifndef WL_LOAD_H
#define WL_LOAD_H

#include <apr_hash.h>
#include "wl_fleet.h"

/*
 * The load of each endpoint: the work items in progress there. Those of this
 * node are exact, those of other nodes come from their load reports. The items
 * of a node that is lost or has restarted are dropped, and every item expires.
 */

enum
{
  WL_LOAD_QUEUE_MAX = 128,      /* work items kept for one endpoint */
  WL_LOAD_EXPIRY_US = 20000000, /* items that are never reported as ended are dropped */
};

/**
 * struct WlLoadItem - one work item in progress
 * @node: node that sent the request
 * @boot: boot of that node
 * @work: the item as reported
 * @phase_since_us: when this node learnt that its phase began
 */
typedef struct
{
  uint32_t node;
  uint64_t boot;
  WlWorkItem work;
  uint64_t phase_since_us;
} WlLoadItem;

/**
 * struct WlLoadQueue - the work items at one endpoint
 * @endpoint: key of the endpoint
 * @items: items in order of arrival, @n_items of them
 * @head_since_us: when the prefill of the prompt at the head of the queue began
 */
typedef struct
{
  uint64_t endpoint;
  WlLoadItem items[WL_LOAD_QUEUE_MAX];
  uint32_t n_items;
  uint64_t head_since_us;
} WlLoadQueue;

/**
 * struct WlLoadSum - totals at one endpoint
 * @n_items: work items
 * @prefills: items in prefill or waiting for it
 * @decodes: items that are decoding
 * @decode_context: tokens of the decoding items
 * @kv_tokens: KV cache tokens of all items
 * @backlog_us: prefill time that is left
 * @backlog_tokens: prompt tokens whose prefill is left
 * @part_us: prefill time of the parts of split prompts, which go first
 * @part_tokens: their tokens
 * @prefill_us: prefill time of all items in prefill, including what is done
 * @min_gap_us: shortest tolerated gap of all items, 0 when none has one
 * @min_gap_items: items that tolerate no longer gap than @min_gap_us
 */
typedef struct
{
  uint32_t n_items;
  uint32_t prefills;
  uint32_t decodes;
  uint64_t decode_context;
  uint64_t kv_tokens;
  uint64_t backlog_us;
  uint64_t backlog_tokens;
  uint64_t part_us;
  uint64_t part_tokens;
  uint64_t prefill_us;
  uint64_t min_gap_us;
  uint32_t min_gap_items;
} WlLoadSum;

typedef struct WlLoad WlLoad;

/** wl_load_create() - creates a load without items */
WlLoad *wl_load_create (void);

/** wl_load_destroy() - frees a load; accepts NULL */
void wl_load_destroy (WlLoad *load);

/**
 * wl_load_apply() - applies one item of a load report
 * @load: the load
 * @node: node that sent the request
 * @boot: boot of that node
 * @work: the item
 * @now_us: monotonic time
 *
 * An item whose phase has not changed is ignored as a duplicate.
 *
 * Return: measured over predicted TTFT when the item enters decode and has a
 * prediction, otherwise 0.
 */
double wl_load_apply (WlLoad *load, uint32_t node, uint64_t boot, const WlWorkItem *work,
                      uint64_t now_us);

/**
 * wl_load_apply_and_learn() - applies an item and updates the slowdown of its endpoint
 * @load: the load
 * @fleet: the endpoints
 * @node: node that sent the request
 * @boot: boot of that node
 * @work: the item
 * @now_us: monotonic time
 */
void wl_load_apply_and_learn (WlLoad *load, WlFleet *fleet, uint32_t node, uint64_t boot,
                              const WlWorkItem *work, uint64_t now_us);

/**
 * wl_load_apply_full() - applies a full load report
 * @load: the load
 * @node: the node whose items it lists
 * @report: the report; other items of the node are dropped
 * @now_us: monotonic time
 */
void wl_load_apply_full (WlLoad *load, uint32_t node, const WlLoadReport *report, uint64_t now_us);

/**
 * wl_load_list() - lists the work items of a node
 * @load: the load
 * @node: the node
 * @out: receives up to @max items
 * @max: size of @out
 *
 * Return: the number of items.
 */
uint32_t wl_load_list (const WlLoad *load, uint32_t node, WlWorkItem *out, uint32_t max);

/** wl_load_drop_node() - drops the items of a node, except those of boot @kept_boot */
void wl_load_drop_node (WlLoad *load, uint32_t node, uint64_t kept_boot, uint64_t now_us);

/** wl_load_queue() - items at an endpoint, owned by the load; NULL for none */
const WlLoadQueue *wl_load_queue (const WlLoad *load, uint64_t endpoint);

/** wl_load_sum() - totals at an endpoint */
WlLoadSum wl_load_sum (const WlLoad *load, uint64_t endpoint, uint64_t now_us);

/** wl_load_expire() - drops items whose phase is older than WL_LOAD_EXPIRY_US, and empty queues */
void wl_load_expire (WlLoad *load, uint64_t now_us);

#endif
