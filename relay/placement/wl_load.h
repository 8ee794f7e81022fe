#ifndef WL_LOAD_H
#define WL_LOAD_H

#include <apr_hash.h>
#include "wl_fleet.h"

/*
 * Work in progress at each endpoint: that of this node, exact, and that of the
 * other nodes as their notes tell it. Work of a node that is lost or was
 * restarted is dropped, and all work expires.
 */

enum
{
  WL_LOAD_ITEMS_MAX = 128,      /* work remembered at one endpoint */
  WL_LOAD_EXPIRY_US = 20000000, /* work without an end note is dropped */
};

/**
 * struct WlLoadItem - one piece of work
 * @node: node that sent it
 * @boot: boot of that node
 * @note: what it told
 * @since_us: when the phase began, as this node learnt it
 */
typedef struct
{
  uint32_t node;
  uint64_t boot;
  WlWorkNote note;
  uint64_t since_us;
} WlLoadItem;

/**
 * struct WlLoadPlace - work at one endpoint
 * @endpoint: key of the endpoint
 * @items: work, in order of arrival, @n_items of them
 * @reading_since_us: when the prompt at the head began to be read
 */
typedef struct
{
  uint64_t endpoint;
  WlLoadItem items[WL_LOAD_ITEMS_MAX];
  uint32_t n_items;
  uint64_t reading_since_us;
} WlLoadPlace;

/**
 * struct WlLoadSum - totals at one endpoint
 * @n_items: pieces of work
 * @readers: of them, those whose prompt is being read or waits
 * @writers: of them, those that write
 * @context: tokens of the writers
 * @memory: tokens of memory of all
 * @backlog_us: reading time that is left
 * @backlog: tokens that are left to be read
 * @parts_us: time to read the parts among them, which go first
 * @parts: their tokens
 * @reading_us: time of all reading in progress, what is done of it included
 * @shortest_gap_us: shortest tolerated pause of all, 0 for none
 */
typedef struct
{
  uint32_t n_items;
  uint32_t readers;
  uint32_t writers;
  uint64_t context;
  uint64_t memory;
  uint64_t backlog_us;
  uint64_t backlog;
  uint64_t parts_us;
  uint64_t parts;
  uint64_t reading_us;
  uint64_t shortest_gap_us;
} WlLoadSum;

typedef struct WlLoad WlLoad;

/** wl_load_create() - creates an empty account */
WlLoad *wl_load_create (void);

/** wl_load_destroy() - frees an account; accepts NULL */
void wl_load_destroy (WlLoad *load);

/**
 * wl_load_note() - takes a note
 * @load: the account
 * @node: node that sent it
 * @boot: boot of that node
 * @note: the note
 * @now_us: monotonic time
 *
 * Return: actual over predicted time to the first output when the note tells
 * of it, otherwise 0.
 */
double wl_load_note (WlLoad *load, uint32_t node, uint64_t boot, const WlWorkNote *note,
                     uint64_t now_us);

/**
 * wl_load_learn() - takes a note, and from it the pace of the endpoint
 * @load: the account
 * @fleet: the endpoints
 * @node: node that sent it
 * @boot: boot of that node
 * @note: the note
 * @now_us: monotonic time
 */
void wl_load_learn (WlLoad *load, WlFleet *fleet, uint32_t node, uint64_t boot,
                    const WlWorkNote *note, uint64_t now_us);

/**
 * wl_load_take_whole() - takes the list of all work of a node
 * @load: the account
 * @node: the node
 * @work: the list; work of the node that is not in it is dropped
 * @now_us: monotonic time
 */
void wl_load_take_whole (WlLoad *load, uint32_t node, const WlWork *work, uint64_t now_us);

/**
 * wl_load_list() - lists the work of a node
 * @load: the account
 * @node: the node
 * @out: receives up to @max notes
 * @max: room in @out
 *
 * Return: the number of notes.
 */
uint32_t wl_load_list (const WlLoad *load, uint32_t node, WlWorkNote *out, uint32_t max);

/** wl_load_drop_node() - drops the work of a node, but for that of boot @keep */
void wl_load_drop_node (WlLoad *load, uint32_t node, uint64_t keep, uint64_t now_us);

/** wl_load_place() - work at an endpoint, NULL for none */
const WlLoadPlace *wl_load_place (const WlLoad *load, uint64_t endpoint);

/** wl_load_sum() - totals at an endpoint */
WlLoadSum wl_load_sum (const WlLoad *load, uint64_t endpoint, uint64_t now_us);

/** wl_load_expire() - drops work without an end note */
void wl_load_expire (WlLoad *load, uint64_t now_us);

#endif
