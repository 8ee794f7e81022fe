#ifndef WL_ENTRY_H
#define WL_ENTRY_H

#include <apr_hash.h>
#include <sodium.h>
#include "wl_burn.h"
#include "wl_counters.h"
#include "wl_ledger.h"
#include "wl_session.h"
#include "wl_trace.h"

/*
 * An entry: the node that admitted a request and carries it through claim,
 * placement, dispatch, streaming, retries and its end.
 *
 * A request needs a grant of the cell owner for each attempt. A non-idempotent
 * one first claims its idempotency key from the control group. wl_entry.c has
 * the state transitions, wl_entry_claims.c the claims, wl_request.c creates
 * and ends requests, wl_links.c exchanges messages with cell owners, and
 * wl_outbox.c repeats the ends of claims until they are committed.
 */

enum
{
  WL_ENTRY_ATTEMPTS_MAX = 5,
  WL_ENTRY_REQUESTS_MAX = 20000,
  WL_ENTRY_PLACE_RETRY_US = 500000,
  WL_ENTRY_CLAIM_RETRY_US = 500000,
  WL_ENTRY_STALL_TIMEOUT_US = 3000000, /* a stream fails after this without output or keep-alive */
  WL_ENTRY_BACKOFF_BASE_US = 20000,    /* of the exponential backoff with jitter */
  WL_ENTRY_FULL_RENEWAL_US = 2000000,  /* interval of renewals that list all held grants */
  WL_ENTRY_IDLE_RENEWAL_US = 5000000,  /* interval of renewals to a cell without grants */
  WL_ENTRY_RETRY_AFTER_US = 1000000,   /* Retry-After of refusals by the entry itself */
  WL_ENTRY_RETRY_BUDGET_PERCENT = 20,  /* hundredths of a retry earned per admitted request */
  WL_ENTRY_RETRY_BUDGET_MAX = 200,     /* largest retry budget, in retries */
};

/**
 * enum WlRequestState - state of an open request
 * @WL_REQUEST_CLAIMING: waits for the control group to commit its claim
 * @WL_REQUEST_PLACING: waits for a grant
 * @WL_REQUEST_BACKOFF: waits for its next attempt
 * @WL_REQUEST_RUNNING: dispatched to the endpoints of a grant
 */
typedef enum
{
  WL_REQUEST_CLAIMING,
  WL_REQUEST_PLACING,
  WL_REQUEST_BACKOFF,
  WL_REQUEST_RUNNING,
} WlRequestState;

/**
 * struct WlRequest - one admitted request
 * @key: idempotency key
 * @digest: digest of the request, compared when its key is used again
 * @is_plain: the service is not a language model: one response, no tokens
 * @may_have_run: a byte of any attempt may have reached an endpoint
 * @needs_new_connection: the next dispatch must not reuse a connection
 * @first_token_reported: the current attempt's first token has been reported to the owner
 * @prefixes: hashes of the prompt's prefixes
 * @timer_us: when to repeat an unanswered message, or end of the backoff
 * @last_progress_us: latest output or keep-alive of the current attempt
 * @delivered: tokens sent to the caller
 * @dispatched: attempts of which at least one byte may have been sent
 * @expected_tokens: prompt tokens that the current grant expects in the KV cache
 * @endpoints: endpoints of the current grant; the first one streams
 * @excluded: endpoints that failed earlier attempts
 * @plain_response: response of a non-idempotent request, stored with its claim
 * @response_hash: running hash of the output, for the receipt
 */
typedef struct
{
  uint64_t id;
  WlRequestState state;
  char customer[WL_LABEL_SIZE];
  char service[WL_LABEL_SIZE];
  char key[WL_KEY_SIZE];
  uint8_t digest[WL_DIGEST_SIZE];
  uint8_t is_plain;
  uint8_t is_idempotent;
  uint8_t caller_disconnected;
  uint8_t may_have_run;
  uint8_t needs_new_connection;
  uint8_t has_first_token;
  uint8_t first_token_reported;
  uint8_t tried_other_shard;
  uint32_t shard;
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  WlPrefixHash prefixes[WL_PREFIX_HASHES_MAX];
  uint32_t n_prefixes;
  uint64_t admitted_us;
  uint64_t admitted_wall_us;
  uint64_t deadline_us;
  uint64_t timer_us;
  uint64_t last_progress_us;
  uint64_t first_token_us;
  uint64_t delivered;
  uint64_t cached_tokens;
  uint64_t expected_tokens;
  uint32_t attempt;
  uint32_t dispatched;
  WlGrantEndpoint endpoints[WL_GANG_MAX];
  uint32_t n_endpoints;
  WlExcludedEndpoint excluded[WL_GANG_MAX];
  uint32_t n_excluded;
  WlBytes plain_response;
  crypto_generichash_state response_hash;
} WlRequest;

/**
 * struct WlPendingUpdate - an attempt update that the owner has not yet acknowledged
 * @renewal_sequence: sequence of the renewal that carried it first, 0 for not yet sent
 */
typedef struct
{
  WlAttemptUpdate update;
  uint64_t renewal_sequence;
} WlPendingUpdate;

/**
 * struct WlLink - the entry's exchange with the owner of one cell
 * @fence: fencing token of the owner's cell lease
 * @owner: node that owns the cell, 0 for none
 * @sequence: sequence of the latest renewal
 * @next_full_us: when the next renewal must list all held grants
 * @send_now: there is an unsent update or a new owner
 * @ready: the cell has an endpoint that can serve
 * @n_held: grants held at the latest renewal
 * @updates: updates to repeat until they are acknowledged
 */
typedef struct WlLink
{
  char service[WL_LABEL_SIZE];
  uint32_t shard;
  uint64_t fence;
  uint32_t owner;
  uint64_t sequence;
  uint64_t next_renewal_us;
  uint64_t next_full_us;
  uint8_t send_now;
  uint8_t ready;
  uint32_t n_held;
  WlPendingUpdate *updates;
  uint32_t n_updates;
  uint32_t updates_capacity;
  struct WlLink *next;
} WlLink;

/** struct WlOutboxItem - the end of a claim that is not yet committed */
typedef struct WlOutboxItem
{
  WlClaimRecord record;
  uint64_t next_send_us;
  struct WlOutboxItem *next;
} WlOutboxItem;

/** struct WlEntry - a node's role as entry; @outbox holds ends of claims to be committed */
typedef struct
{
  const WlSettings *settings;
  WlSession *session;
  apr_pool_t *pool;
  apr_hash_t *requests;
  WlLink *links;
  WlOutboxItem *outbox;
  uint64_t retry_budget; /* in hundredths of a retry */
  uint64_t random_state;
  WlLedger ledger;
  WlBurn burn;
  WlTrace trace;
  WlCounters counters;
} WlEntry;

/** struct WlEventContext - times of the event being processed, and where its effects go */
typedef struct
{
  uint64_t now_us;
  uint64_t wall_us;
  WlEffects *fx;
} WlEventContext;

/**
 * wl_entry_create() - creates an entry
 * @settings: node settings; must outlive the entry
 * @session: session with the control group; must outlive the entry
 *
 * Return: the entry; free it with wl_entry_destroy().
 */
WlEntry *wl_entry_create (const WlSettings *settings, WlSession *session);

/**
 * wl_entry_destroy() - frees an entry
 * @entry: the entry, or NULL
 */
void wl_entry_destroy (WlEntry *entry);

/**
 * wl_entry_request() - admits or refuses a caller's request
 * @entry: the entry
 * @request: the request; copied
 * @ctx: current times; receives the effects
 */
void wl_entry_request (WlEntry *entry, const WlRequestEvent *request, const WlEventContext *ctx);

/**
 * wl_entry_caller_disconnected() - processes the disconnection of a caller
 * @entry: the entry
 * @id: request id
 * @ctx: current times; receives the effects
 *
 * An idempotent request is cancelled. Another one continues: its outcome is
 * stored for a repetition of the request.
 */
void wl_entry_caller_disconnected (WlEntry *entry, uint64_t id, const WlEventContext *ctx);

/**
 * wl_entry_output() - processes output of an attempt; duplicates are dropped
 * @entry: the entry
 * @output: the output
 * @ctx: current times; receives the effects
 */
void wl_entry_output (WlEntry *entry, const WlOutputEvent *output, const WlEventContext *ctx);

/**
 * wl_entry_end() - ends the request with its attempt, or retries it
 * @entry: the entry
 * @end: the end
 * @ctx: current times; receives the effects
 */
void wl_entry_end (WlEntry *entry, const WlEndEvent *end, const WlEventContext *ctx);

/**
 * wl_entry_receive() - processes a message from an owner or the control group
 * @entry: the entry
 * @message: the message
 * @ctx: current times; receives the effects
 *
 * Return: 1 when the message belongs to this module, otherwise 0.
 */
int wl_entry_receive (WlEntry *entry, const WlMessage *message, const WlEventContext *ctx);

/**
 * wl_entry_tick() - runs timers: deadlines, stalls, retries, grant renewals
 * @entry: the entry
 * @ctx: current times; receives the effects
 */
void wl_entry_tick (WlEntry *entry, const WlEventContext *ctx);

/**
 * wl_entry_is_idle() - whether no request is open
 * @entry: the entry
 *
 * Return: 1 or 0.
 */
int wl_entry_is_idle (const WlEntry *entry);

#endif
