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
 * The entry's side of a request: admission, claim, placement, dispatch,
 * streaming, retry and end. wl_request.c holds the requests and their ends,
 * wl_links.c the messages to cell owners, wl_outbox.c the ends of claims that
 * are not yet committed, and wl_entry.c the transitions.
 */

enum
{
  WL_ENTRY_ATTEMPTS_MAX = 5,
  WL_ENTRY_REQUESTS_MAX = 20000,
  WL_ENTRY_PLACE_RETRY_US = 500000,
  WL_ENTRY_CLAIM_RETRY_US = 500000,
  WL_ENTRY_STALL_US = 3000000,       /* a stream without a sign of life is broken */
  WL_ENTRY_BACKOFF_US = 20000,       /* base of the jittered exponential backoff */
  WL_ENTRY_FULL_HOLD_US = 2000000,   /* interval of full lists of held grants */
  WL_ENTRY_IDLE_HOLD_US = 5000000,   /* interval of holds to a cell without grants */
  WL_ENTRY_RETRY_AFTER_US = 1000000, /* Retry-After of refusals by the entry itself */
  WL_ENTRY_BUDGET_PERCENT = 20,      /* retries allowed per fresh request */
  WL_ENTRY_BUDGET_MAX = 200,         /* retries that can be saved up */
};

typedef enum
{
  WL_REQUEST_CLAIMING,
  WL_REQUEST_PLACING,
  WL_REQUEST_BACKOFF,
  WL_REQUEST_RUNNING,
} WlRequestState;

/**
 * struct WlRequest - one admitted request
 * @delivered: tokens sent to the caller
 * @sent: whether a byte of the current or an earlier attempt may have left
 * @fresh: whether the next dispatch must open a new connection
 * @timer_us: time of the next retry of a message, or end of the backoff
 * @progress_us: latest sign of life of the current attempt
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
  uint8_t caller_gone;
  uint8_t sent;
  uint8_t fresh;
  uint8_t has_first_token;
  uint8_t first_token_noted;
  uint8_t tried_other_shard;
  uint32_t shard;
  uint64_t prompt_tokens;
  uint64_t max_tokens;
  WlPrefixMark prefix[WL_PREFIX_MARKS];
  uint32_t n_prefix;
  uint64_t admitted_us;
  uint64_t admitted_wall_us;
  uint64_t deadline_us;
  uint64_t timer_us;
  uint64_t progress_us;
  uint64_t first_token_us;
  uint64_t delivered;
  uint64_t cached_tokens;
  uint32_t attempt;
  uint32_t dispatched;
  WlSeat seats[WL_GANG_MAX];
  uint32_t n_seats;
  WlAvoid avoid[WL_GANG_MAX];
  uint32_t n_avoid;
  WlBytes outcome; /* answer of a plain service, kept for the claim */
  crypto_generichash_state answer;
} WlRequest;

/** struct WlLinkNote - a note to an owner that is not yet acknowledged */
typedef struct
{
  WlNote note;
  uint64_t sequence; /* of the hold that carried it first, 0 for not yet sent */
} WlLinkNote;

/** struct WlLink - the entry's relation to one cell */
typedef struct WlLink
{
  char service[WL_LABEL_SIZE];
  uint32_t shard;
  uint64_t fence;
  uint32_t owner;
  uint64_t sequence;
  uint64_t hold_us;
  uint64_t full_us;
  uint8_t urgent;
  uint8_t ready;
  uint32_t n_held;
  WlLinkNote *notes;
  uint32_t n_notes;
  uint32_t notes_capacity;
  struct WlLink *next;
} WlLink;

/** struct WlOutboxItem - the end of a claim until it is committed */
typedef struct WlOutboxItem
{
  WlClaimRecord record;
  uint64_t timer_us;
  struct WlOutboxItem *next;
} WlOutboxItem;

typedef struct
{
  const WlSettings *settings;
  WlSession *session;
  apr_pool_t *pool;
  apr_hash_t *requests;
  WlLink *links;
  WlOutboxItem *outbox;
  uint64_t retry_budget; /* in hundredths of a retry */
  uint64_t random;
  WlLedger ledger;
  WlBurn burn;
  WlTrace trace;
  WlCounters counters;
} WlEntry;

/** struct WlMoment - the times of the event being processed and its effects */
typedef struct
{
  uint64_t now_us;
  uint64_t wall_us;
  WlEffects *fx;
} WlMoment;

/**
 * wl_entry_create() - creates an entry
 * @settings: node settings; must outlive the entry
 * @session: session with the control group; must outlive the entry
 *
 * Return: the entry.
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
 * @request: the request
 * @at: time and effects
 */
void wl_entry_request (WlEntry *entry, const WlRequestEvent *request, const WlMoment *at);

/**
 * wl_entry_caller_gone() - the caller has closed its connection
 * @entry: the entry
 * @id: request id
 * @at: time and effects
 */
void wl_entry_caller_gone (WlEntry *entry, uint64_t id, const WlMoment *at);

/**
 * wl_entry_output() - processes output of an attempt
 * @entry: the entry
 * @output: the output
 * @at: time and effects
 */
void wl_entry_output (WlEntry *entry, const WlOutputEvent *output, const WlMoment *at);

/**
 * wl_entry_end() - processes the end of an attempt
 * @entry: the entry
 * @end: the end
 * @at: time and effects
 */
void wl_entry_end (WlEntry *entry, const WlEndEvent *end, const WlMoment *at);

/**
 * wl_entry_receive() - processes a message from an owner or the control group
 * @entry: the entry
 * @message: the message
 * @at: time and effects
 *
 * Return: 1 when the message belongs to this module, otherwise 0.
 */
int wl_entry_receive (WlEntry *entry, const WlMessage *message, const WlMoment *at);

/**
 * wl_entry_tick() - lets time pass: deadlines, stalls, retries, holds
 * @entry: the entry
 * @at: time and effects
 */
void wl_entry_tick (WlEntry *entry, const WlMoment *at);

/**
 * wl_entry_is_idle() - tells whether a graceful stop may complete
 * @entry: the entry
 *
 * Return: 1 when no request, note or claim is open, otherwise 0.
 */
int wl_entry_is_idle (const WlEntry *entry);

#endif
