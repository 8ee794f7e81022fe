#ifndef WL_LEDGER_H
#define WL_LEDGER_H

#include <apr_hash.h>
#include "wl_effects.h"

/*
 * Receipts of requests. An entry keeps one hash chain per customer: every
 * admitted or refused request adds a receipt, whose digest (the chain's new
 * head) covers the previous head. The root, a digest over the heads of all
 * chains, is committed to the control group periodically, so that a chain
 * cannot be rewritten afterwards. The latest WL_LEDGER_KEPT_RECEIPTS receipts of
 * a customer are kept for export.
 *
 * When an entry dies, receipts that its customers have not exported are lost.
 * Those covered by a committed root are provably missing; later ones (at most
 * those of WL_LEDGER_ROOT_INTERVAL_US) are known only from the responses.
 */

enum
{
  WL_LEDGER_KEPT_RECEIPTS = 4096,        /* receipts kept for one customer */
  WL_LEDGER_ROOT_INTERVAL_US = 10000000, /* interval of committing the root */
  WL_LEDGER_CHAINS_MAX = 4096,           /* further customers get no receipts */
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
 * @tokens: output tokens delivered
 * @answer: BLAKE2b of the delivered output
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

/**
 * struct WlChain - one customer's receipts at one entry
 * @head: digest of the latest receipt
 * @rooted_count: receipts covered by the latest root
 * @rooted_head: head covered by the latest root
 * @ring: latest receipts; receipt n is at n % @capacity
 */
typedef struct
{
  char customer[WL_LABEL_SIZE];
  uint64_t count;
  uint8_t head[WL_DIGEST_SIZE];
  uint64_t rooted_count;
  uint8_t rooted_head[WL_DIGEST_SIZE];
  WlReceipt *ring;
  uint32_t capacity;
} WlChain;

/**
 * struct WlLedger - all chains of an entry
 * @receipts: receipts in all chains
 * @roots: number of the latest root, from 1
 * @rooted_receipts: receipts covered by the latest root
 * @rooted_chains: chains covered by the latest root
 */
typedef struct
{
  apr_pool_t *pool;
  apr_hash_t *chains;
  WlChain *chain_list[WL_LEDGER_CHAINS_MAX]; /* in order of creation */
  uint32_t n_chains;
  uint64_t receipts;
  uint64_t roots;
  uint64_t next_root_us;
  uint64_t rooted_receipts;
  uint32_t rooted_chains;
  uint8_t root[WL_DIGEST_SIZE];
  uint32_t node;
  uint64_t incarnation;
} WlLedger;

/**
 * wl_ledger_init() - initialises a ledger
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
 * @receipt: the receipt; its sequence and head are set, and it is copied
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
 * wl_ledger_tick() - computes the root and sends it to the control group when due
 * @ledger: the ledger
 * @control: control replica to send to, 0 for none
 * @now_us: monotonic time
 * @fx: receives the effects
 */
void wl_ledger_tick (WlLedger *ledger, uint32_t control, uint64_t now_us, WlEffects *fx);

/**
 * wl_receipt_head() - computes the head of a chain after one more receipt
 * @previous: head before it, zeros for the first receipt
 * @customer: customer name
 * @node: the entry
 * @incarnation: incarnation of the entry
 * @receipt: the receipt; its head is not read
 * @out: receives WL_DIGEST_SIZE bytes
 */
void wl_receipt_head (const uint8_t *previous, const char *customer, uint32_t node,
                      uint64_t incarnation, const WlReceipt *receipt, uint8_t *out);

/**
 * wl_ledger_leaf() - computes the digest that stands for a chain in the root
 * @customer: customer name
 * @count: receipts in the chain
 * @head: head of the chain
 * @out: receives WL_DIGEST_SIZE bytes
 */
void wl_ledger_leaf (const char *customer, uint64_t count, const uint8_t *head, uint8_t *out);

#endif
