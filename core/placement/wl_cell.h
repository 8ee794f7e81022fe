#ifndef WL_CELL_H
#define WL_CELL_H

#include <apr_hash.h>
#include "wl_effects.h"

/*
 * The owner's side of a cell: exact accounts of the endpoints' slots and KV
 * memory, the queue of waiting requests, and the grants given to entries.
 *
 * wl_accounts.c keeps endpoints and grants, wl_queue.c the waiting requests,
 * wl_placement.c chooses endpoints, wl_orders.c loads models, and wl_cell.c
 * handles messages and time.
 */

enum
{
  WL_CELL_WARMUP_US = 1200000,     /* a new owner collects holds and reports for this long */
  WL_CELL_STRAY_US = 4000000,      /* an attempt without a grant is cancelled after this long */
  WL_CELL_CANCEL_US = 1000000,     /* a cancel is repeated at this interval until confirmed */
  WL_CELL_REPORT_LAG_US = 2000000, /* reports may describe the endpoint as of this long ago */
  WL_CELL_NODE_EXPIRY_US = WL_GRANT_EXPIRY_US,
  WL_CELL_EJECT_FAILURES = 3, /* failures in a row that eject an endpoint */
  WL_CELL_EJECT_US = 5000000, /* first ejection; doubles up to WL_CELL_EJECT_MAX_US */
  WL_CELL_EJECT_MAX_US = 60000000,
  WL_CELL_SCAN_MAX = 32,       /* waiting requests tried in one pass without success */
  WL_CELL_SCAN_LONG_MAX = 8,   /* long ones among them */
  WL_CELL_PREFIXES = 1024,     /* remembered prefixes of one endpoint */
  WL_CELL_STRAYS = 64,         /* strays tracked for one endpoint */
  WL_CELL_KV_PERCENT = 95,     /* share of KV memory that grants may use */
  WL_CELL_BACKLOG_US = 400000, /* prompt work of short requests queued on one endpoint */
  WL_CELL_ORDER_US = 30000000, /* an unanswered order is repeated after this long */
};

/** struct WlStray - an attempt that an endpoint reports and no grant covers */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint64_t since_us;
  uint64_t seen_us;
  uint64_t cancelled_us;
} WlStray;

/**
 * struct WlEndpoint - one endpoint of the cell
 * @id: hash of its name
 * @kv_reserved: tokens of KV memory reserved by grants, ended ones included
 *   until the endpoint has confirmed the end
 * @kv_reported: tokens in use by its latest report
 * @prefill_tokens: prompt tokens of short grants without a first token
 * @long_prefills: long grants without a first token
 * @ready: it has loaded what the service needs
 */
typedef struct
{
  uint64_t id;
  uint64_t incarnation;
  uint64_t sequence;
  char name[WL_LABEL_SIZE];
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
  char domain[WL_LABEL_SIZE];
  uint64_t kv_capacity;
  uint64_t kv_reserved;
  uint64_t kv_reported;
  uint32_t slots;
  uint32_t slots_used;
  uint64_t prefill_tokens;
  uint32_t long_prefills;
  uint8_t leaving;
  uint8_t ready;
  uint64_t heard_us;
  uint32_t failures;
  uint32_t ejections;
  uint64_t ejected_until_us;
  WlPrefixMark prefixes[WL_CELL_PREFIXES];
  WlStray strays[WL_CELL_STRAYS];
  uint32_t n_strays;
  uint64_t ordered_us;
  uint32_t ordered_model;
  uint64_t granted; /* grants given so far */
} WlEndpoint;

/**
 * struct WlShare - one customer's use of the cell
 * @finish_tag: virtual finish time of its latest short and of its latest long request
 * @running_cost_us: estimated engine time of its running grants
 * @delay_us: time that its running work added to each other customer's
 *   waiting requests, indexed as the shares; only the owner's record
 */
typedef struct
{
  char name[WL_LABEL_SIZE];
  uint32_t index;
  uint32_t weight;
  uint32_t max_running;
  uint32_t max_queued;
  uint32_t running;
  uint32_t queued;
  uint64_t finish_tag[2];
  uint64_t running_cost_us;
  uint64_t waited_us;
} WlShare;

/** struct WlSeatUse - one endpoint of a grant and whether its memory is free again */
typedef struct
{
  uint64_t endpoint;
  uint64_t incarnation;
  uint64_t kv_tokens;
  uint8_t freed;
  uint8_t absent; /* reports in a row that do not list the attempt */
} WlSeatUse;

/**
 * struct WlGrantRecord - a grant in the owner's accounts
 * @id: mix of request and attempt
 * @ended: the entry gave it up; seats are freed as endpoints confirm
 * @uncached: prompt tokens that must be computed
 * @end_us: estimated end
 */
typedef struct
{
  uint64_t id;
  uint64_t request;
  uint32_t attempt;
  uint32_t node;
  WlShare *share;
  uint64_t prompt_tokens;
  uint64_t uncached;
  uint64_t cost_us;
  uint64_t granted_us;
  uint64_t end_us;
  uint64_t ended_us;
  uint64_t cancelled_us;
  uint8_t ended;
  uint8_t first_token;
  uint8_t is_long;
  WlSeatUse seats[WL_GANG_MAX];
  uint32_t n_seats;
} WlGrantRecord;

/** struct WlWaiting - a request in the queue, ordered by @tag */
typedef struct WlWaiting
{
  WlPlace place;
  WlPrefixMark prefix[WL_PREFIX_MARKS];
  WlAvoid avoid[WL_GANG_MAX];
  WlShare *share;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t tag;
  uint64_t cost_us;
  struct WlWaiting *next;
} WlWaiting;

/** struct WlHolder - an entry that holds grants of the cell */
typedef struct
{
  uint64_t node;
  uint64_t incarnation;
  uint64_t heard_us;
  uint32_t n_grants;
  uint8_t mismatches;
} WlHolder;

/**
 * struct WlReservation - endpoints kept for a request that needs much memory
 * @request: the request, 0 for none
 * @start_us: estimated time at which all endpoints have the memory
 */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint64_t start_us;
  uint64_t kv_tokens;
  uint64_t endpoints[WL_GANG_MAX];
  uint32_t n_endpoints;
} WlReservation;

/** struct WlCost - learned cost of one token in nanoseconds */
typedef struct
{
  uint64_t prefill_ns;
  uint64_t decode_ns;
} WlCost;

/** struct WlCellCounters - counters of one cell since it was opened */
typedef struct
{
  uint64_t granted;
  uint64_t refused;
  uint64_t gangs;
  uint64_t backfilled;
  uint64_t cancels;
  uint64_t ejections;
  uint64_t cache_hits;
} WlCellCounters;

typedef struct WlCell
{
  WlCellLease lease;
  const WlSettings *settings;
  const WlService *service; /* in the session's current text */
  const WlServices *services;
  apr_pool_t *pool;
  uint64_t opened_us;
  uint8_t ready;
  uint8_t dependencies_ready;
  apr_hash_t *endpoints;
  apr_hash_t *grants;
  apr_hash_t *shares;
  apr_hash_t *holders;
  WlWaiting *queue;
  uint32_t n_queued;
  uint64_t virtual_time;
  uint64_t arrivals;
  WlReservation reservation;
  WlCost cost;
  uint32_t round_robin;
  uint64_t order_tokens_ppm;
  uint64_t order_refill_us;
  uint64_t sample_us;
  uint64_t *delays; /* n_shares x n_shares, microseconds, [victim][cause] */
  uint32_t n_shares;
  uint32_t delays_size;
  WlCellCounters counters;
  struct WlCell *next;
} WlCell;

/**
 * wl_cell_create() - opens a cell as its owner
 * @lease: cell and fencing number
 * @settings: node settings
 * @now_us: monotonic time
 *
 * Return: the cell.
 */
WlCell *wl_cell_create (const WlCellLease *lease, const WlSettings *settings, uint64_t now_us);

/**
 * wl_cell_destroy() - frees a cell
 * @cell: the cell, or NULL
 */
void wl_cell_destroy (WlCell *cell);

/**
 * wl_cell_configure() - takes over the current services text
 * @cell: the cell
 * @services: the parsed text; must outlive the next call
 */
void wl_cell_configure (WlCell *cell, const WlServices *services);

/**
 * wl_cell_tick() - lets time pass
 * @cell: the cell
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_tick (WlCell *cell, uint64_t now_us, WlEffects *fx);

/**
 * wl_cell_place() - processes a placement request
 * @cell: the cell
 * @place: the request
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_place (WlCell *cell, const WlPlace *place, uint64_t now_us, WlEffects *fx);

/**
 * wl_cell_hold() - processes an entry's renewal and notes
 * @cell: the cell
 * @hold: the message
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_hold (WlCell *cell, const WlHold *hold, uint64_t now_us, WlEffects *fx);

/**
 * wl_cell_report() - processes an endpoint's report
 * @cell: the cell
 * @report: the report
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_report (WlCell *cell, const WlEndpointReport *report, uint64_t now_us, WlEffects *fx);

/**
 * wl_cell_confirm() - an endpoint confirmed that it holds nothing for an attempt
 * @cell: the cell
 * @confirm: endpoint and attempt
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_confirm (WlCell *cell, const WlConfirmEvent *confirm, uint64_t now_us, WlEffects *fx);

#endif
