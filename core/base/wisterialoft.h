#ifndef WISTERIALOFT_H
#define WISTERIALOFT_H

#include <stdint.h>
#include <apr_pools.h>
#include "wl_message.h"
#include "wl_services.h"

/*
 * The core of a node, as a deterministic state machine.
 *
 * A WlCore holds the whole state of one node. wl_core_step () processes one
 * WlEvent: it changes the state and appends WlEffects, which are plain data. The
 * core does no I/O, reads no clock and takes no lock: every event carries the
 * current time, and random numbers come from a seed given at creation. The same
 * sequence of events always gives the same effects.
 *
 * The caller (package daemon) must execute the effects of one batch in this
 * order: all WL_EFFECT_STORE_* effects, one sync of the data folder if there was
 * any, then everything else. This ensures that data is synced to disk before it
 * is acknowledged.
 *
 * The endpoints of a service are divided into cells. A cell is owned by one node,
 * which queues the requests to the cell and grants them its endpoints. A node has
 * up to three roles at once:
 *  - Every node is an entry: it accepts requests from callers, obtains a grant
 *    from a cell owner, dispatches the request and streams the response.
 *  - An entry to which the control group has assigned a cell is also its owner,
 *    as long as the entry's lease is valid.
 *  - A node listed among the control peers is also a control replica: one of the
 *    Raft group that decides on configuration, members, cell owners and claims.
 *
 * Times are in microseconds. In this header they are on the node's own monotonic clock,
 * except for wall_us, which is wall time for records only.
 */

enum
{
  WL_MAX_REPLICAS = 16,  /* control replicas known at once: voters and learners */
  WL_TICK_US = 10000,    /* interval of WL_EVENT_TICK */
  WL_LEASE_US = 3000000, /* validity of a node lease, from the time at which it was requested */
  WL_DRIFT_PPM = 100000, /* assumed bound on clock rate difference, parts per million */
  WL_RENEW_INTERVAL_US = 1000000,       /* between renewals of a node lease */
  WL_RENEW_RETRY_US = 400000,           /* until an unanswered renewal is repeated */
  WL_RENEW_REDIRECT_US = 50000,         /* until a renewal is sent to another control replica */
  WL_GRANT_RENEW_INTERVAL_US = 1000000, /* between renewals of the grants that an entry uses */
  WL_GRANT_EXPIRY_US = 4000000,         /* a grant not renewed for this long is cancelled */
  WL_ENDPOINT_EXPIRY_US = 4000000,  /* an endpoint without a report for this long gets no work */
  WL_ADDRESS_LIFETIME_US = 5000000, /* how long callers may cache the list of entries */
  WL_SHORT_PROMPT_TOKENS = 8192,    /* prompts up to this length have the highest priority */
  WL_LONG_PROMPT_TOKENS = 32768,    /* longer prompts are placed on a subset of the endpoints */
};

/**
 * struct WlSettings - settings of a node, fixed while it runs
 * @self: address, ports and failure domain of the node
 * @incarnation: random number drawn at process start
 * @control_nodes: node ids of the control replicas, @n_control of them
 * @replica_incarnation: identity of the data folder, 0 when not a replica
 * @seed: seed of the node's random numbers
 * @claim_retention_us: how long the outcome of a non-idempotent request is stored
 * @policy: placement policy, see WlPolicy
 */
typedef struct
{
  WlMember self;
  uint64_t incarnation;
  uint32_t control_nodes[WL_MAX_REPLICAS];
  uint32_t n_control;
  uint64_t replica_incarnation;
  uint64_t seed;
  uint64_t claim_retention_us;
  uint32_t policy;
} WlSettings;

/**
 * enum WlPolicy - placement policy of cell owners
 * @WL_POLICY_ADAPTIVE: fair queueing; an adaptive subset of endpoints for long prompts;
 *   gangs (several endpoints for one request), with backfill
 * @WL_POLICY_ROUND_ROBIN: baseline: next endpoint in turn, first come first served
 * @WL_POLICY_LEAST_LOADED: baseline: fewest reserved tokens, first come first served
 * @WL_POLICY_FIFO: baseline: adaptive placement, first come first served
 */
typedef enum
{
  WL_POLICY_ADAPTIVE,
  WL_POLICY_ROUND_ROBIN,
  WL_POLICY_LEAST_LOADED,
  WL_POLICY_FIFO,
} WlPolicy;

/**
 * struct WlStoredState - durable state read from the data folder at start
 * @term: latest term
 * @vote: node voted for in @term, 0 for none
 * @snapshot_index: last log index covered by the snapshot, 0 for none
 * @snapshot_term: term of that index
 * @snapshot: encoded WlStateSnapshot
 * @entries: log after the snapshot, @n_entries of them
 */
typedef struct
{
  uint64_t term;
  uint32_t vote;
  uint64_t snapshot_index;
  uint64_t snapshot_term;
  WlBytes snapshot;
  WlLogEntry *entries;
  uint32_t n_entries;
} WlStoredState;

/**
 * enum WlRunState - what is known about the execution of a request without a complete response
 * @WL_RUN_NOT_RUN: no byte of the request can have reached an endpoint
 * @WL_RUN_FAILED: it ran, at least in part, and failed
 * @WL_RUN_UNKNOWN: it may have run
 */
typedef enum
{
  WL_RUN_NOT_RUN,
  WL_RUN_FAILED,
  WL_RUN_UNKNOWN,
} WlRunState;

/** enum WlEventKind - selects the member of the union in WlEvent */
typedef enum
{
  WL_EVENT_TICK,                /* every WL_TICK_US: run the timers */
  WL_EVENT_FLUSH,               /* end of a batch of events: replicate what was proposed */
  WL_EVENT_MESSAGE,             /* a message from another node */
  WL_EVENT_REQUEST,             /* a caller's request */
  WL_EVENT_CALLER_DISCONNECTED, /* the caller closed its connection */
  WL_EVENT_ENGINE_OUTPUT,       /* an endpoint sent output or a keep-alive for an attempt */
  WL_EVENT_ENGINE_END,          /* an endpoint's stream ended */
  WL_EVENT_CANCEL_CONFIRMED,    /* an endpoint confirmed that it has freed an attempt */
  WL_EVENT_ENDPOINT_REPORT,     /* an endpoint reported its state */
  WL_EVENT_MODEL_LOAD_END,      /* an endpoint accepted or refused to load a model */
  WL_EVENT_SUBMIT,              /* an operator submitted a configuration */
  WL_EVENT_EVACUATE,            /* an operator starts or ends the evacuation of a failure domain */
  WL_EVENT_QUERY,               /* an operator requests the status of the control group */
  WL_EVENT_STOP,                /* stop gracefully */
} WlEventKind;

/**
 * struct WlRequestEvent - a caller's request as read by the HTTP adapter
 * @id: request id, unique over all nodes and restarts
 * @api_key: the caller's key
 * @service: service name
 * @path: path below a plain HTTP service, empty for a model service
 * @key: idempotency key, empty for none
 * @digest: BLAKE2b of the request
 * @prompt_tokens: length of the prompt in tokens
 * @max_tokens: limit of output tokens
 * @time_limit_us: time limit set by the caller, with @has_time_limit; else the service's own holds
 * @has_time_limit: the caller sets a time limit
 * @non_idempotent: the caller marks the request as non-idempotent
 * @prefixes: hashes of prompt prefixes, @n_prefixes of them, shortest first
 */
typedef struct
{
  uint64_t id;
  const char *api_key;
  const char *service;
  const char *path;
  const char *key;
  uint8_t digest[WL_DIGEST_SIZE];
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  uint64_t time_limit_us;
  uint8_t has_time_limit;
  uint8_t non_idempotent;
  WlPrefixHash *prefixes;
  uint32_t n_prefixes;
} WlRequestEvent;

/**
 * struct WlOutputEvent - output of one attempt
 * @request: request id
 * @attempt: attempt number
 * @offset: tokens of the response before this output
 * @tokens: number of tokens, 0 for a keep-alive
 * @data: text of these tokens
 */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint64_t offset;
  uint32_t tokens;
  WlBytes data;
} WlOutputEvent;

/**
 * enum WlEndKind - how an endpoint's stream ended
 * @WL_END_DONE: the terminal event arrived
 * @WL_END_NOT_SENT: no byte of the request left this node
 * @WL_END_REJECTED: the endpoint refused the request before running it
 * @WL_END_BROKEN: the stream broke after the request was sent
 */
typedef enum
{
  WL_END_DONE,
  WL_END_NOT_SENT,
  WL_END_REJECTED,
  WL_END_BROKEN,
} WlEndKind;

/**
 * struct WlEndEvent - end of one attempt on one endpoint
 * @request: request id
 * @attempt: attempt number
 * @rank: rank of the endpoint within a gang; rank 0 streams the response
 * @kind: how it ended
 * @total_tokens: tokens of the complete response, with WL_END_DONE
 * @cached_tokens: prompt tokens found in the endpoint's KV cache
 * @prefill_us: prefill time
 * @http_status: status of a plain service's response
 */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint32_t rank;
  WlEndKind kind;
  uint64_t total_tokens;
  uint64_t cached_tokens;
  uint64_t prefill_us;
  uint32_t http_status;
} WlEndEvent;

/** struct WlCancelConfirmedEvent - @endpoint has freed all resources of the attempt */
typedef struct
{
  uint64_t endpoint;
  uint64_t request;
  uint32_t attempt;
} WlCancelConfirmedEvent;

/** struct WlModelLoadEndEvent - @endpoint accepted (@ok) or refused a WlModelLoad */
typedef struct
{
  uint64_t endpoint;
  uint8_t ok;
} WlModelLoadEndEvent;

/**
 * struct WlEvent - one input of the core
 * @kind: selects the member of the union
 * @now_us: monotonic time
 * @wall_us: wall time, for records
 */
typedef struct
{
  WlEventKind kind;
  uint64_t now_us;
  uint64_t wall_us;
  union
  {
    struct
    {
      uint32_t from;
      const WlMessage *message;
    } message;
    WlRequestEvent request;
    uint64_t caller_disconnected; /* request id */
    WlOutputEvent output;
    WlEndEvent end;
    WlCancelConfirmedEvent cancel_confirmed;
    WlEndpointReport report;
    WlModelLoadEndEvent model_load_end;
    WlSubmit submit;
    WlEvacuate evacuate;
    WlQuery query;
  } u;
} WlEvent;

/** enum WlEffectKind - selects the member of the union in WlEffect */
typedef enum
{
  WL_EFFECT_STORE_TERM,     /* write term and vote */
  WL_EFFECT_STORE_ENTRY,    /* append one log entry */
  WL_EFFECT_STORE_TRUNCATE, /* remove log entries from an index on */
  WL_EFFECT_STORE_SNAPSHOT, /* replace the snapshot, and the log entries that it covers */
  WL_EFFECT_SEND,           /* send a message to another node */
  WL_EFFECT_DISPATCH,       /* send a request to an endpoint */
  WL_EFFECT_CLOSE_ATTEMPT,  /* close the connections of an attempt */
  WL_EFFECT_CANCEL,         /* send an endpoint the request to free an attempt */
  WL_EFFECT_LOAD_MODEL,     /* send an endpoint the command to load a model */
  WL_EFFECT_REPLY_CHUNK,    /* send output to the caller */
  WL_EFFECT_REPLY_END,      /* end the response to the caller */
  WL_EFFECT_SUBMIT_DONE,    /* answer an operator's submission */
  WL_EFFECT_QUERY_DONE,     /* answer an operator's query */
  WL_EFFECT_LOG,            /* write a numbered event to the log */
  WL_EFFECT_STOPPED,        /* the graceful stop is complete */
} WlEffectKind;

/**
 * struct WlDispatch - sends an attempt to endpoint @rank of the @n_endpoints of its grant
 * @request: request id
 * @attempt: attempt number
 * @rank: which endpoint; rank 0 streams the response
 * @offset: tokens of the response that the caller has already
 * @priority: priority at the endpoint
 * @fresh_connection: open a new connection to the endpoint
 * @deadline_us: monotonic time at which the attempt ends
 * @endpoints: the endpoints of the grant, by rank
 * @n_endpoints: number of endpoints
 */
typedef struct
{
  uint64_t request;
  uint32_t attempt;
  uint32_t rank;
  uint64_t offset;
  uint32_t priority;
  uint8_t fresh_connection;
  uint64_t deadline_us;
  WlGrantEndpoint endpoints[WL_GANG_MAX];
  uint32_t n_endpoints;
} WlDispatch;

/** struct WlCancel - requests an endpoint to stop an attempt and free its resources */
typedef struct
{
  uint64_t endpoint;
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
  uint64_t request;
  uint32_t attempt;
} WlCancel;

/** struct WlModelLoad - command to load @version of @model; @fence is the fencing token */
typedef struct
{
  uint64_t endpoint;
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
  uint64_t fence;
  char model[WL_LABEL_SIZE];
  char version[WL_LABEL_SIZE];
} WlModelLoad;

/**
 * enum WlOutcome - result of a request for the caller
 * @WL_OUTCOME_DONE: complete response
 * @WL_OUTCOME_REPLAYED: stored response of an earlier request with the same idempotency key
 * @WL_OUTCOME_REFUSED: refused; no attempt of this request ran
 * @WL_OUTCOME_FAILED: failed or unknown, see WlReplyEnd.run
 * @WL_OUTCOME_UNAUTHORIZED: unknown API key
 * @WL_OUTCOME_NO_SERVICE: unknown service
 * @WL_OUTCOME_KEY_REQUIRED: non-idempotent request without an idempotency key
 */
typedef enum
{
  WL_OUTCOME_DONE,
  WL_OUTCOME_REPLAYED,
  WL_OUTCOME_REFUSED,
  WL_OUTCOME_FAILED,
  WL_OUTCOME_UNAUTHORIZED,
  WL_OUTCOME_NO_SERVICE,
  WL_OUTCOME_KEY_REQUIRED,
} WlOutcome;

/**
 * struct WlReplyEnd - end of a request
 * @request: request id
 * @outcome: result for the caller
 * @run: what is known about the execution, unless the outcome is WL_OUTCOME_DONE
 * @reason: reason of a refusal
 * @retry_after_us: time after which a retry makes sense, 0 for unknown
 * @http_status: status of a plain service's response
 * @tokens: tokens of the complete response
 * @cached_tokens: prompt tokens found in a KV cache
 * @timed_out: the time limit ended the request
 * @body: stored response, with WL_OUTCOME_REPLAYED
 * @receipt_sequence: number of the receipt in the customer's hash chain of receipts
 * @receipt_head: digest of the chain after that receipt
 */
typedef struct
{
  uint64_t request;
  WlOutcome outcome;
  WlRunState run;
  WlRefusalReason reason;
  uint64_t retry_after_us;
  uint32_t http_status;
  uint64_t tokens;
  uint64_t cached_tokens;
  uint8_t timed_out;
  WlBytes body;
  uint64_t receipt_sequence;
  uint8_t receipt_head[WL_DIGEST_SIZE];
} WlReplyEnd;

/**
 * struct WlEffect - one output of the core
 * @kind: selects the member of the union
 * @u: the content; what it points to belongs to the pool of the WlEffects
 */
typedef struct
{
  WlEffectKind kind;
  union
  {
    struct
    {
      uint64_t term;
      uint32_t vote;
    } term;
    WlLogEntry entry;
    uint64_t truncate_from;
    struct
    {
      uint64_t index;
      uint64_t index_term;
      WlBytes data;
    } snapshot;
    struct
    {
      uint32_t node;
      WlMessageKind kind;
      WlBytes bytes;
    } send;
    WlDispatch dispatch;
    WlRunningAttempt close_attempt;
    WlCancel cancel;
    WlModelLoad model_load;
    struct
    {
      uint64_t request;
      WlBytes data;
      uint32_t tokens;
    } chunk;
    WlReplyEnd end;
    WlSubmitReply submit;
    WlQueryReply query;
    struct
    {
      uint32_t number;
      const char *text;
    } log;
  } u;
} WlEffect;

/**
 * struct WlEffects - the effects of one batch of events
 * @pool: owner of everything that the effects point to
 * @items: the effects, @count of them
 * @capacity: allocated items
 */
typedef struct
{
  apr_pool_t *pool;
  WlEffect *items;
  uint32_t count;
  uint32_t capacity;
} WlEffects;

/**
 * struct WlCore - the state of one node
 *
 * Opaque outside package core, where wl_core.h declares its members.
 */
typedef struct WlCore WlCore;

/**
 * wl_core_create() - creates the state of a node
 * @settings: settings of the node; copied
 * @stored: durable state of a control replica, or NULL
 * @now_us: monotonic time
 * @out: receives the state
 *
 * Return: WL_OK, WL_ERROR_NO_MEMORY, or WL_ERROR_CORRUPT when the stored state
 * cannot be decoded.
 */
WlError wl_core_create (const WlSettings *settings, const WlStoredState *stored, uint64_t now_us,
                        WlCore **out);

/**
 * wl_core_destroy() - frees the state
 * @core: the state, or NULL
 */
void wl_core_destroy (WlCore *core);

/**
 * wl_core_step() - processes one event
 * @core: the state
 * @event: the event; what it points to may be freed afterwards
 * @effects: receives the effects
 */
void wl_core_step (WlCore *core, const WlEvent *event, WlEffects *effects);

/**
 * wl_effects_create() - creates an empty list of effects
 *
 * Return: the list, to be freed with wl_effects_destroy(). Aborts without memory.
 */
WlEffects *wl_effects_create (void);

/**
 * wl_effects_clear() - empties the list and frees what it points to
 * @effects: the list
 */
void wl_effects_clear (WlEffects *effects);

/**
 * wl_effects_destroy() - frees the list
 * @effects: the list, or NULL
 */
void wl_effects_destroy (WlEffects *effects);

#endif
