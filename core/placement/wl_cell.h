#ifndef WL_CELL_H
#define WL_CELL_H

#include <apr_hash.h>
#include "wl_effects.h"
#include "wl_prefix_saving.h"

/*
 * The owner's side of a cell. A cell is one shard of a service's endpoints;
 * the entry (a node that admits callers' requests) that holds its lease is the
 * owner and decides which request runs where. It accounts exactly for the slots
 * and KV cache of each endpoint, queues requests that cannot start yet, and gives grants to
 * entries. A grant allows an entry to run one attempt of a request on certain endpoints; a gang is
 * a grant of several endpoints that hold one prompt's KV cache together.
 *
 * wl_accounts.c keeps endpoints and grants, wl_queue.c the queued requests,
 * wl_placement.c chooses endpoints, wl_model_loads.c orders model loads,
 * wl_cell_renewals.c and wl_cell_reports.c process messages of entries and
 * endpoints, and wl_cell.c schedules and runs timers.
 */

enum
{
  WL_CELL_WARMUP_US = 1200000, /* a new owner only collects renewals and reports */
  /* an attempt without a grant is cancelled after this; a new owner orders no model
     load of a service that isn't fenced before it */
  WL_CELL_ORPHAN_GRACE_US = 4000000,
  WL_CELL_CANCEL_RETRY_US = 1000000, /* an unconfirmed cancel is sent again after this */
  WL_CELL_REPORT_LAG_US = 2000000,   /* a report or renewal may be this old on arrival */
  WL_CELL_HOLDER_EXPIRY_US = WL_GRANT_EXPIRY_US,
  WL_CELL_EJECT_FAILURES = 3, /* consecutive failures that eject an endpoint */
  WL_CELL_EJECT_US = 5000000, /* first ejection; doubles up to WL_CELL_EJECT_MAX_US */
  WL_CELL_EJECT_MAX_US = 60000000,
  WL_CELL_EJECT_DOUBLINGS = 4,
  WL_CELL_SWEEP_US = 100000, /* interval of expiry checks and of updates of WlCell.delays_us */
  WL_CELL_RETRY_AFTER_MIN_US = 500000, /* bounds of the Retry-After of refusals */
  WL_CELL_RETRY_AFTER_MAX_US = 30000000,
  /* an endpoint is removed after this many WL_ENDPOINT_EXPIRY_US without report */
  WL_CELL_REMOVE_EXPIRIES = 10,
  /* a scan of the queue ends after this many short requests that can't start */
  WL_CELL_SCAN_MAX = 32,
  WL_CELL_SCAN_LONG_MAX = 8, /* after this many with long prompts, a scan skips others of these */
  WL_CELL_ORPHANS_MAX = 64,  /* orphans tracked for one endpoint */
  WL_CELL_KV_PERCENT = 95,   /* share of an endpoint's KV cache that grants may use */
  /* with this estimated backlog of short prompts, an endpoint gets no further one */
  WL_CELL_PREFILL_BACKLOG_MAX_US = 400000,
  WL_CELL_ORDER_TIMEOUT_US = 30000000, /* an unanswered order is repeated after this */
};

/** struct WlOrphan - an attempt that an endpoint reports and no grant covers */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint64_t first_seen_us;
  uint64_t last_seen_us;
  uint64_t cancel_sent_us;
} WlOrphan;

/**
 * struct WlEndpoint - one endpoint of the cell
 * @id: hash of its name
 * @sequence: sequence number of its latest report
 * @kv_capacity: size of its KV cache in tokens
 * @kv_reserved: tokens of KV cache reserved by grants, including ended ones
 *   until the endpoint has confirmed the end
 * @kv_reported: tokens in use according to its latest report
 * @prefill_tokens: prompt tokens still to be computed for grants with short prompts
 * @long_prefills: grants with long prompts that have no first token yet
 * @ready: it has loaded all models of the service
 * @failures: consecutive failed attempts
 * @ejections: consecutive ejections; each doubles the next one's length
 * @prefixes: prefixes expected in its cache since its start
 * @ordered_us: time of the latest order to load a model, 0 for none outstanding; set back
 *   after a refusal, so that the order is repeated sooner
 * @missing_model: index of the first model that is not loaded, UINT32_MAX for none
 * @granted: grants given so far
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
  uint64_t last_contact_us;
  uint32_t failures;
  uint32_t ejections;
  uint64_t ejected_until_us;
  WlPrefixHints prefixes;
  WlOrphan orphans[WL_CELL_ORPHANS_MAX];
  uint32_t n_orphans;
  uint64_t ordered_us;
  uint32_t missing_model;
  uint64_t granted;
} WlEndpoint;

/**
 * struct WlCellCustomer - one customer's use of the cell
 * @index: row and column of the customer in WlCell.delays_us
 * @max_running: running requests allowed at once, 0 for no limit
 * @max_queued: queued requests allowed at once, 0 for no limit
 * @finish_tag: virtual finish time of its latest short [0] and latest long [1] request
 * @running_cost_us: estimated engine time of its running grants
 * @waited_us: total time that its started requests spent in the queue
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
} WlCellCustomer;

/**
 * struct WlAllocation - slot and KV cache that a grant has reserved on one endpoint
 * @incarnation: incarnation of the endpoint that the reservation was made on
 * @freed: slot and KV cache have been released
 * @n_absent_reports: consecutive reports that do not list the attempt
 */
typedef struct
{
  uint64_t endpoint;
  uint64_t incarnation;
  uint64_t kv_tokens;
  uint8_t freed;
  uint8_t n_absent_reports;
} WlAllocation;

/**
 * struct WlGrantRecord - a grant in the owner's accounts
 * @id: hash of request and attempt
 * @node: the entry that holds it
 * @uncached_tokens: prompt tokens that must be computed
 * @likely_tokens: see WlPrefixMatch
 * @cost_us: estimated engine time
 * @cancel_sent_us: time of the latest cancel to its endpoints
 * @ended: the attempt has ended; allocations are freed as endpoints confirm
 * @first_token: the attempt has produced its first token, so prefill is done
 */
typedef struct
{
  uint64_t id;
  uint64_t request;
  uint32_t attempt;
  uint32_t node;
  WlCellCustomer *customer;
  uint64_t prompt_tokens;
  uint64_t uncached_tokens;
  uint64_t likely_tokens;
  uint64_t cost_us;
  uint64_t granted_us;
  uint64_t estimated_end_us;
  uint64_t ended_us;
  uint64_t cancel_sent_us;
  uint8_t ended;
  uint8_t first_token;
  uint8_t is_long;
  WlAllocation allocations[WL_GANG_MAX];
  uint32_t n_allocations;
} WlGrantRecord;

/** struct WlQueuedRequest - a request waiting for endpoints; the queue is ordered by @start_tag */
typedef struct WlQueuedRequest
{
  WlPlacementRequest place;
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  WlExcludedEndpoint excluded[WL_GANG_MAX];
  WlCellCustomer *customer;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t start_tag;
  uint64_t cost_us;
  struct WlQueuedRequest *next;
} WlQueuedRequest;

/**
 * struct WlHolder - an entry that holds grants of the cell
 * @n_mismatches: consecutive renewals whose grant count differs from the owner's
 */
typedef struct
{
  uint64_t node;
  uint64_t incarnation;
  uint64_t last_contact_us;
  uint32_t n_grants;
  uint8_t n_mismatches;
} WlHolder;

/**
 * struct WlMemoryReservation - endpoints kept for a long request that cannot start yet
 * @request: the request, 0 for none
 * @start_us: estimated time at which all the endpoints have enough free KV cache
 * @kv_tokens: KV cache that it needs on each endpoint
 */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint64_t start_us;
  uint64_t kv_tokens;
  uint64_t endpoints[WL_GANG_MAX];
  uint32_t n_endpoints;
} WlMemoryReservation;

/** struct WlTokenCost - estimated engine time for one token; @prefill_ns follows measured times */
typedef struct
{
  uint64_t prefill_ns;
  uint64_t decode_ns;
} WlTokenCost;

/**
 * struct WlCellCounters - counters of one cell since it was opened
 * @backfilled: grants given while a reservation was held for another request
 * @cache_hits: grants with a cached prefix
 * @prefix_chosen: grants at an endpoint that was chosen only for what its prefix saves
 * @prefix_outweighed: grants at another endpoint than the one that was expected to save most
 * @prefix_expected_tokens: tokens expected in caches, of finished requests of which the engine
 *   named what it had cached
 * @prefix_cached_tokens: tokens that the engines had really cached for these
 * @prefix_saved_us: prefill time of the latter
 */
typedef struct
{
  uint64_t granted;
  uint64_t refused;
  uint64_t gangs;
  uint64_t backfilled;
  uint64_t cancels;
  uint64_t ejections;
  uint64_t cache_hits;
  uint64_t prefix_chosen;
  uint64_t prefix_outweighed;
  uint64_t prefix_expected_tokens;
  uint64_t prefix_cached_tokens;
  uint64_t prefix_saved_us;
} WlCellCounters;

/**
 * struct WlCell - a cell at its owner
 * @service: the service in the current configuration
 * @evacuations: state of failure domains, @n_evacuations of them; owned by the session
 * @ready: WL_CELL_WARMUP_US is over; requests may start
 * @dependencies_ready: the services that this one depends on have a ready cell
 * @virtual_time: start tag of the latest started request
 * @n_arrivals: requests queued so far
 * @round_robin: position of the next endpoint under the round-robin policy
 * @load_bucket_millionths: token bucket for model loads, in millionths of a load
 * @weighs_prefixes: an endpoint has reported cached prefixes, so that hints are weighed; until
 *   then, a hint from a placement counts in full
 * @names_cached: an endpoint has named cached tokens for a request
 * @prefixes_logged_us: time of the latest WL3019
 * @prefix_tokens_logged: expected and cached tokens at that time
 * @last_sweep_us: time of the latest sweep, see WL_CELL_SWEEP_US
 * @delays_us: delay in microseconds that work of customer [cause] added to requests
 *   of customer [victim], indexed [victim * delays_size + cause]
 */
typedef struct WlCell
{
  WlCellLease lease;
  const WlSettings *settings;
  const WlService *service;
  const WlServices *services;
  apr_pool_t *pool;
  const WlEvacuation *evacuations;
  uint32_t n_evacuations;
  uint64_t opened_us;
  uint8_t ready;
  uint8_t dependencies_ready;
  apr_hash_t *endpoints;
  apr_hash_t *grants;
  apr_hash_t *customers;
  apr_hash_t *holders;
  WlQueuedRequest *queue;
  uint32_t n_queued;
  uint64_t virtual_time;
  uint64_t n_arrivals;
  WlMemoryReservation reservation;
  WlTokenCost cost;
  uint32_t round_robin;
  uint64_t load_bucket_millionths;
  uint64_t order_refilled_us;
  uint8_t weighs_prefixes;
  uint8_t names_cached;
  uint64_t prefixes_logged_us;
  uint64_t prefix_tokens_logged;
  uint64_t last_sweep_us;
  uint64_t *delays_us;
  uint32_t n_customers;
  uint32_t delays_size;
  WlCellCounters counters;
  struct WlCell *next;
} WlCell;

/**
 * wl_cell_create() - opens a cell as its owner
 * @lease: cell and fencing token; copied
 * @settings: node settings; must outlive the cell
 * @now_us: monotonic time
 *
 * Return: the cell; free it with wl_cell_destroy().
 */
WlCell *wl_cell_create (const WlCellLease *lease, const WlSettings *settings, uint64_t now_us);

/**
 * wl_cell_destroy() - frees a cell
 * @cell: the cell, or NULL
 */
void wl_cell_destroy (WlCell *cell);

/**
 * wl_cell_configure() - applies the current configuration
 * @cell: the cell
 * @services: the parsed configuration; must stay valid until the next call
 */
void wl_cell_configure (WlCell *cell, const WlServices *services);

/**
 * wl_cell_set_evacuations() - applies the current evacuations of failure domains
 * @cell: the cell
 * @evacuations: the evacuations; must stay valid until the next call
 * @n: number of them
 *
 * Endpoints of evacuated domains get no grants and no orders to load a model.
 */
void wl_cell_set_evacuations (WlCell *cell, const WlEvacuation *evacuations, uint32_t n);

/**
 * wl_cell_tick() - runs timers: expiry, repeated cancels, orders, scheduling
 * @cell: the cell
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_tick (WlCell *cell, uint64_t now_us, WlEffects *fx);

/**
 * wl_cell_place() - grants, queues or refuses a placement request
 * @cell: the cell
 * @place: the request; copied
 * @now_us: monotonic time
 * @fx: receives the effects
 *
 * A repeated request gets its grant again; it is not queued twice.
 */
void wl_cell_place (WlCell *cell, const WlPlacementRequest *place, uint64_t now_us, WlEffects *fx);

/**
 * wl_cell_renew_grants() - processes an entry's grant renewal with its attempt updates
 * @cell: the cell
 * @renewal: the message
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_renew_grants (WlCell *cell, const WlGrantRenewal *renewal, uint64_t now_us,
                           WlEffects *fx);

/**
 * wl_cell_report() - processes an endpoint's report
 * @cell: the cell
 * @report: the report
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_report (WlCell *cell, const WlEndpointReport *report, uint64_t now_us, WlEffects *fx);

/**
 * wl_cell_cancel_confirmed() - frees what an ended attempt has reserved on one endpoint
 * @cell: the cell
 * @confirm: the endpoint, and the attempt whose slot and KV cache it has freed
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_cell_cancel_confirmed (WlCell *cell, const WlCancelConfirmedEvent *confirm, uint64_t now_us,
                               WlEffects *fx);

#endif
