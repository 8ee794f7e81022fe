#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_claims.h"
#include "wl_table.h"

static void
format_id (char *out, size_t size, const char *customer, const char *key)
{
  snprintf (out, size, "%s\n%s", customer, key);
}

static WlClaimNode *
find_node (const WlState *state, const char *customer, const char *key)
{
  char id[WL_LABEL_SIZE + WL_KEY_SIZE];
  format_id (id, sizeof id, customer, key);
  return apr_hash_get (state->claims, id, APR_HASH_KEY_STRING);
}

/* Stores a copy of @body in place of the old one; a body over WL_OUTCOME_MAX is not kept. */
static void
replace_body (WlClaimNode *node, WlBytes body)
{
  wl_bytes_release (&node->record.body);
  if (body.size <= WL_OUTCOME_MAX)
    node->record.body = wl_bytes_dup (body);
}

void
wl_claims_load (WlState *state, const WlClaimRecord *record)
{
  char id[WL_LABEL_SIZE + WL_KEY_SIZE];
  WlClaimNode *node = calloc (1, sizeof *node);
  if (node == NULL)
    abort ();
  node->record = *record;
  node->record.body = (WlBytes){ NULL, 0 };
  replace_body (node, record->body);
  format_id (id, sizeof id, record->customer, record->key);
  node->id = strdup (id);
  if (node->id == NULL)
    abort ();
  apr_hash_set (state->claims, node->id, APR_HASH_KEY_STRING, node);
  if (state->newest_claim != NULL)
    state->newest_claim->next = node;
  else
    state->oldest_claim = node;
  state->newest_claim = node;
  state->n_claims++;
}

static void
drop_oldest (WlState *state)
{
  WlClaimNode *node = state->oldest_claim;
  state->oldest_claim = node->next;
  if (state->oldest_claim == NULL)
    state->newest_claim = NULL;
  apr_hash_set (state->claims, node->id, APR_HASH_KEY_STRING, NULL);
  replace_body (node, (WlBytes){ NULL, 0 });
  free (node->id);
  free (node);
  state->n_claims--;
}

void
wl_claims_expire (WlState *state)
{
  while (state->oldest_claim != NULL
         && state->oldest_claim->record.expires_us <= state->group_time_us)
    drop_oldest (state);
}

void
wl_claims_clear (WlState *state)
{
  while (state->oldest_claim != NULL)
    drop_oldest (state);
}

WlApplied
wl_claims_put (WlState *state, const WlClaimRecord *record)
{
  WlClaimNode *node = find_node (state, record->customer, record->key);
  if (node != NULL && node->record.request == record->request
      && node->record.status == WL_CLAIM_IN_FLIGHT)
    return WL_APPLIED;
  if (node != NULL && node->record.status != WL_CLAIM_NOT_RUN)
    return WL_APPLIED_CONFLICT;
  if (node != NULL)
    {
      /* The list is ordered by expiry, so the record keeps both its place and its expiry time. */
      uint64_t expires_us = node->record.expires_us;
      replace_body (node, (WlBytes){ NULL, 0 });
      node->record = *record;
      node->record.body = (WlBytes){ NULL, 0 };
      node->record.status = WL_CLAIM_IN_FLIGHT;
      node->record.expires_us = expires_us;
      return WL_APPLIED;
    }
  if (state->n_claims >= WL_CLAIMS_MAX)
    return WL_APPLIED_FULL;
  WlClaimRecord fresh = *record;
  fresh.status = WL_CLAIM_IN_FLIGHT;
  wl_claims_load (state, &fresh);
  return WL_APPLIED;
}

WlApplied
wl_claims_end (WlState *state, const WlClaimRecord *record)
{
  WlClaimNode *node = find_node (state, record->customer, record->key);
  if (node == NULL || node->record.request != record->request)
    return WL_APPLIED_CONFLICT;
  if (node->record.status == WL_CLAIM_DONE || node->record.status == WL_CLAIM_NOT_RUN)
    return WL_APPLIED;
  /* WL_CLAIM_UNKNOWN may change to WL_CLAIM_DONE only, never to WL_CLAIM_NOT_RUN. */
  if (node->record.status == WL_CLAIM_UNKNOWN && record->status != WL_CLAIM_DONE)
    return WL_APPLIED;
  node->record.status = record->status;
  node->record.http_status = record->http_status;
  replace_body (node, record->body);
  return WL_APPLIED;
}

const WlClaimRecord *
wl_state_find_claim (const WlState *state, const char *customer, const char *key)
{
  const WlClaimNode *node = find_node (state, customer, key);
  return node != NULL ? &node->record : NULL;
}
