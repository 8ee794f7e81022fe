#ifndef WL_LEDGER_H
#define WL_LEDGER_H

#include <apr_hash.h>
#include "wl_effects.h"

/*
 * Receipts. Each entry keeps one hash chain per customer: every admitted or
 * refused request adds one receipt, whose digest covers the previous one. The
 * digest over all chain heads, the root, is committed to the control group
 * periodically, so that a chain cannot be rewritten afterwards. The latest
 * WL_LEDGER_KEEP receipts of a customer are kept for export.
 *
 * An entry's death loses the receipts that no customer has exported; those
 * covered by a committed root are visibly missing, later ones (at most those
 * of WL_LEDGER_ROOT_US) are known only from the answers themselves.
 */

enum
{
  WL_LEDGER_KEEP = 4096,        /* receipts kept for one customer */
  WL_LEDGER_ROOT_US = 10000000, /* interval between committed roots */
};

/**
 * struct WlReceipt - record of one request
 * @sequence: number in the customer's chain, from 1
 * @request: request id
 * @admitted_us: wall time of arrival
 * @ended_us: wall time of the end
 * @outcome: a WlOutcome
 * @run: a WlRunState
 * @reason: a WlRefusalReason
 * @dispatched: attempts of which at least one byte may have been sent
 * @prompt_tokens: length of the prompt
 * @tokens: length of the answer
 * @answer: BLAKE2b of the answer
 * @head: digest of the chain up to and including this receipt
 */
typedef struct
{
  uint64_t sequence;
  uint64_t request;
  uint64_t admitted_us;
  uint64_t ended_us;
  uint8_t outcome;
  uint8_t run;
  uint8_t reason;
  uint32_t dispatched;
  uint64_t prompt_tokens;
  uint64_t tokens;
  uint8_t answer[WL_DIGEST_SIZE];
  uint8_t head[WL_DIGEST_SIZE];
} WlReceipt;

/** struct WlChain - one customer's receipts at one entry */
typedef struct
{
  char customer[WL_LABEL_SIZE];
  uint64_t count;
  uint8_t head[WL_DIGEST_SIZE];
  uint64_t rooted_count; /* as covered by the latest root */
  uint8_t rooted_head[WL_DIGEST_SIZE];
  WlReceipt *ring; /* receipt n is at n % WL_LEDGER_KEEP */
  uint32_t capacity;
} WlChain;

typedef struct
{
  apr_pool_t *pool;
  apr_hash_t *chains;
  WlChain *order[4096]; /* chains in order of creation */
  uint32_t n_chains;
  uint64_t receipts;
  uint64_t roots;
  uint64_t root_us;
  uint64_t rooted_receipts;
  uint32_t rooted_chains; /* chains covered by the latest root */
  uint8_t root[WL_DIGEST_SIZE];
  uint32_t node;
  uint64_t incarnation;
} WlLedger;

/**
 * wl_ledger_init() - prepares a ledger
 * @ledger: zeroed ledger
 * @settings: node settings
 */
void wl_ledger_init (WlLedger *ledger, const WlSettings *settings);

/**
 * wl_ledger_clear() - frees what a ledger holds
 * @ledger: the ledger
 */
void wl_ledger_clear (WlLedger *ledger);

/**
 * wl_ledger_add() - appends a receipt to a customer's chain
 * @ledger: the ledger
 * @customer: customer name
 * @receipt: the receipt; sequence and head are filled in
 */
void wl_ledger_add (WlLedger *ledger, const char *customer, WlReceipt *receipt);

/**
 * wl_ledger_find() - finds a customer's chain
 * @ledger: the ledger
 * @customer: customer name
 *
 * Return: the chain, or NULL.
 */
const WlChain *wl_ledger_find (const WlLedger *ledger, const char *customer);

/**
 * wl_ledger_tick() - sends a root to the control group when due
 * @ledger: the ledger
 * @control: control replica to send to
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_ledger_tick (WlLedger *ledger, uint32_t control, uint64_t now_us, WlEffects *fx);

/**
 * wl_receipt_head() - computes the digest of a chain after one more receipt
 * @previous: digest before it
 * @customer: customer name
 * @node: the entry
 * @incarnation: incarnation of the entry
 * @receipt: the receipt; its head is not read
 * @out: receives WL_DIGEST_SIZE bytes
 */
void wl_receipt_head (const uint8_t *previous, const char *customer, uint32_t node,
                      uint64_t incarnation, const WlReceipt *receipt, uint8_t *out);

/**
 * wl_ledger_leaf() - computes a chain's leaf under the root
 * @customer: customer name
 * @count: receipts in the chain
 * @head: digest of the chain
 * @out: receives WL_DIGEST_SIZE bytes
 */
void wl_ledger_leaf (const char *customer, uint64_t count, const uint8_t *head, uint8_t *out);

#endif
