#ifndef WL_STATE_H
#define WL_STATE_H

#include <apr_hash.h>
#include "wl_effects.h"
#include "wl_recent.h"

/*
 * The state that the replicated log builds. Applying the same commands in the
 * same order gives the same state on every replica.
 */

enum
{
  WL_HISTORY_MAX = 16384, /* remembered submissions */
  WL_CLAIMS_MAX = 500000, /* claims within retention */
  WL_MEMBERS_MAX = 1024,  /* nodes */
  WL_CELLS_MAX = 2048,    /* cells */
};

typedef struct WlClaimNode
{
  WlClaimRecord record;
  char *id; /* customer, newline, key */
  struct WlClaimNode *next;
} WlClaimNode;

/**
 * struct WlState - the replicated state of the control group
 * @number: current configuration number, 0 for none
 * @text: current services text
 * @digest: its digest
 * @history: ring of accepted submissions; number n is at n % WL_HISTORY_MAX
 * @recent: the latest changes
 * @is_revertible: changes are kept with what they removed, for wl_state_text_at()
 * @members: nodes in order of joining
 * @cells: cell owners
 * @claims: claims by customer and key
 * @roots: latest receipt root of each entry
 * @clock_us: highest command time applied
 * @directory: version of members and cells
 */
typedef struct
{
  apr_pool_t *pool;
  uint64_t number;
  WlBytes text;
  uint8_t digest[WL_DIGEST_SIZE];
  WlAccepted *history;
  WlRecent recent;
  uint8_t is_revertible;
  WlMember *members;
  uint32_t n_members;
  WlCellLease *cells;
  uint32_t n_cells;
  apr_hash_t *claims;
  WlClaimNode *oldest_claim;
  WlClaimNode *newest_claim;
  uint32_t n_claims;
  WlReceiptRoot *roots;
  uint32_t n_roots;
  uint64_t clock_us;
  uint64_t directory;
} WlState;

/**
 * enum WlApplied - result of applying a command
 * @WL_APPLIED: the state changed as asked, or already was so
 * @WL_APPLIED_CONFLICT: another command came first
 * @WL_APPLIED_FULL: a bound was reached
 */
typedef enum
{
  WL_APPLIED,
  WL_APPLIED_CONFLICT,
  WL_APPLIED_FULL,
} WlApplied;

/**
 * wl_state_create() - creates an empty state
 * Return: the state.
 */
WlState *wl_state_create (void);

/**
 * wl_state_destroy() - frees a state
 * @state: the state, or NULL
 */
void wl_state_destroy (WlState *state);

/**
 * wl_state_apply() - applies one committed command
 * @state: the state
 * @command: the command
 *
 * Return: see WlApplied.
 */
WlApplied wl_state_apply (WlState *state, const WlCommand *command);

/**
 * wl_state_save() - encodes the state
 * @state: the state
 * @voters: voters of the group at the same log index
 * @n_voters: number of voters
 * @pool: owner of the result
 *
 * Return: an encoded WlStateImage.
 */
WlBytes wl_state_save (const WlState *state, const WlReplica *voters, uint32_t n_voters,
                       apr_pool_t *pool);

/**
 * wl_state_load() - replaces the state by a snapshot
 * @state: the state
 * @image_bytes: an encoded WlStateImage
 *
 * Return: WL_OK or WL_ERROR_CORRUPT.
 */
WlError wl_state_load (WlState *state, WlBytes image_bytes);

/**
 * wl_state_find_claim() - looks up a claim
 * @state: the state
 * @customer: customer name
 * @key: idempotency key
 *
 * Return: the record, or NULL.
 */
const WlClaimRecord *wl_state_find_claim (const WlState *state, const char *customer,
                                          const char *key);

/**
 * wl_state_find_accepted() - looks up a remembered submission
 * @state: the state
 * @number: configuration number
 *
 * Return: number and digest, or NULL when it is unknown or forgotten.
 */
const WlAccepted *wl_state_find_accepted (const WlState *state, uint64_t number);

/**
 * wl_state_text_at() - reconstructs an earlier services text
 * @state: the state
 * @number: configuration number
 * @pool: owner of the result
 * @out: receives the text
 *
 * Return: 1, or 0 when it is further back than the changes kept.
 */
int wl_state_text_at (const WlState *state, uint64_t number, apr_pool_t *pool, WlBytes *out);

/**
 * wl_state_find_member() - looks up a node
 * @state: the state
 * @node: node id
 *
 * Return: the node, or NULL.
 */
const WlMember *wl_state_find_member (const WlState *state, uint32_t node);

#endif
