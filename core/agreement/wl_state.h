#ifndef WL_STATE_H
#define WL_STATE_H

#include <apr_hash.h>
#include "wl_effects.h"
#include "wl_recent_changes.h"

/*
 * The replicated state machine of the control group: applying the same commands
 * in the same order gives the same state on every replica.
 */

enum
{
  WL_HISTORY_MAX = 16384, /* accepted submissions whose digests are kept */
  WL_CLAIMS_MAX = 500000, /* claims within their retention time; more are refused */
  WL_MEMBERS_MAX = 1024,  /* nodes */
  WL_CELLS_MAX = 2048,    /* cells */
};

/** struct WlClaimNode - a claim in the list of WlState, oldest first */
typedef struct WlClaimNode
{
  WlClaimRecord record;
  char *id; /* customer, newline, key */
  struct WlClaimNode *next;
} WlClaimNode;

/**
 * struct WlState - the replicated state of the control group
 * @config_number: number of the current configuration, 0 for none
 * @config: the current configuration
 * @config_digest: its digest
 * @accepted: ring of accepted submissions; number n is at n % WL_HISTORY_MAX
 * @recent_changes: the latest changes of the configuration
 * @is_revertible: keep the bytes that changes remove, for wl_state_config_at()
 * @members: nodes in order of joining
 * @cells: cell owners
 * @claims: claims by customer and key; also listed from @oldest_claim to @newest_claim
 * @roots: latest receipt root of each entry
 * @group_time_us: highest wall time of an applied command; claims expire by it
 * @directory_version: version of members, cells and evacuations
 * @evacuations: failure domains that are or were evacuated
 */
typedef struct
{
  apr_pool_t *pool;
  uint64_t config_number;
  WlBytes config;
  uint8_t config_digest[WL_DIGEST_SIZE];
  WlAcceptedConfig *accepted;
  WlRecentChanges recent_changes;
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
  uint64_t group_time_us;
  uint64_t directory_version;
  WlEvacuation *evacuations;
  uint32_t n_evacuations;
} WlState;

/**
 * enum WlApplied - result of applying a command
 * @WL_APPLIED: the state is as requested, by this command or already before
 * @WL_APPLIED_CONFLICT: refused, since an earlier command excludes it
 * @WL_APPLIED_FULL: refused, since a table is full
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
 * Return: an encoded WlStateSnapshot.
 */
WlBytes wl_state_save (const WlState *state, const WlReplica *voters, uint32_t n_voters,
                       apr_pool_t *pool);

/** wl_state_check() - WL_OK, or WL_ERROR_CORRUPT when an image holds more than there may be */
WlError wl_state_check (const WlStateSnapshot *image);

/**
 * wl_state_load() - replaces the state by a snapshot
 * @state: the state; unchanged on error
 * @image_bytes: an encoded WlStateSnapshot
 *
 * Return: WL_OK, or WL_ERROR_CORRUPT when the snapshot cannot be decoded.
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
 * wl_state_find_accepted() - looks up an accepted submission
 * @state: the state
 * @number: configuration number
 *
 * Return: number and digest, or NULL when the number is unknown or too old.
 */
const WlAcceptedConfig *wl_state_find_accepted (const WlState *state, uint64_t number);

/**
 * wl_state_config_at() - reconstructs an earlier configuration
 * @state: the state, with @is_revertible set
 * @number: configuration number
 * @pool: owner of the result
 * @out: receives the configuration
 *
 * Return: 1, or 0 when the number is unknown or older than the changes kept.
 */
int wl_state_config_at (const WlState *state, uint64_t number, apr_pool_t *pool, WlBytes *out);

/** wl_state_evacuation() - state of a failure domain; sequence 0 when never evacuated */
WlEvacuation wl_state_evacuation (const WlState *state, const char *domain);

/**
 * wl_state_find_member() - looks up a node
 * @state: the state
 * @node: node id
 *
 * Return: the node, or NULL.
 */
const WlMember *wl_state_find_member (const WlState *state, uint32_t node);

#endif
