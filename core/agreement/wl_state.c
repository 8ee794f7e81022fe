#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_claims.h"
#include "wl_delta.h"
#include "wl_state.h"
#include "wl_table.h"

static void *
allocate (size_t n, size_t size)
{
  void *out = calloc (n, size);
  if (out == NULL)
    abort ();
  return out;
}

WlState *
wl_state_create (void)
{
  WlState *state = allocate (1, sizeof *state);
  apr_pool_create (&state->pool, NULL);
  state->accepted = allocate (WL_HISTORY_MAX, sizeof *state->accepted);
  state->members = allocate (WL_MEMBERS_MAX, sizeof *state->members);
  state->cells = allocate (WL_CELLS_MAX, sizeof *state->cells);
  state->roots = allocate (WL_MEMBERS_MAX, sizeof *state->roots);
  state->evacuations = allocate (WL_EVACUATIONS_MAX, sizeof *state->evacuations);
  state->claims = wl_table_create (state->pool);
  return state;
}

static void
replace_bytes (WlBytes *slot, WlBytes bytes)
{
  WlBytes copy = wl_bytes_dup (bytes);
  wl_bytes_release (slot);
  *slot = copy;
}

void
wl_state_destroy (WlState *state)
{
  if (state == NULL)
    return;
  wl_claims_clear (state);
  wl_recent_changes_clear (&state->recent_changes);
  replace_bytes (&state->config, (WlBytes){ NULL, 0 });
  free (state->accepted);
  free (state->members);
  free (state->cells);
  free (state->roots);
  free (state->evacuations);
  apr_pool_destroy (state->pool);
  free (state);
}

static void
record_change (WlState *state, const WlConfigChange *change)
{
  WlAcceptedConfig *a = &state->accepted[change->number % WL_HISTORY_MAX];
  a->number = change->number;
  memcpy (a->digest, change->digest, WL_DIGEST_SIZE);
  wl_recent_changes_add (&state->recent_changes, change);
}

static WlApplied
apply_config (WlState *state, const WlConfigChange *change)
{
  apr_pool_t *pool;
  WlBytes config;
  if (change->replaces != state->config_number || change->number != state->config_number + 1)
    return WL_APPLIED_CONFLICT;
  apr_pool_create (&pool, NULL);
  WlError error = wl_delta_apply (state->config, change, pool, &config);
  if (error == WL_OK)
    {
      WlConfigChange applied = *change;
      if (state->is_revertible)
        wl_delta_record_removed (state->config, config, pool, &applied);
      record_change (state, &applied);
      replace_bytes (&state->config, config);
      memcpy (state->config_digest, change->digest, WL_DIGEST_SIZE);
      state->config_number = change->number;
    }
  apr_pool_destroy (pool);
  return error == WL_OK ? WL_APPLIED : WL_APPLIED_CONFLICT;
}

static WlMember *
find_member (const WlState *state, uint32_t node)
{
  for (uint32_t i = 0; i < state->n_members; i++)
    if (state->members[i].node == node)
      return &state->members[i];
  return NULL;
}

const WlMember *
wl_state_find_member (const WlState *state, uint32_t node)
{
  return find_member (state, node);
}

static WlApplied
put_member (WlState *state, const WlMember *member)
{
  WlMember *m = find_member (state, member->node);
  if (m == NULL && state->n_members == WL_MEMBERS_MAX)
    return WL_APPLIED_FULL;
  if (m == NULL)
    m = &state->members[state->n_members++];
  *m = *member;
  state->directory_version++;
  return WL_APPLIED;
}

static WlApplied
remove_member (WlState *state, uint32_t node)
{
  WlMember *m = find_member (state, node);
  if (m == NULL)
    return WL_APPLIED;
  size_t after = (size_t)(state->members + state->n_members - (m + 1));
  memmove (m, m + 1, after * sizeof *m);
  state->n_members--;
  state->directory_version++;
  return WL_APPLIED;
}

static WlApplied
put_cell (WlState *state, const WlCellLease *cell)
{
  WlCellLease *found = NULL;
  for (uint32_t i = 0; i < state->n_cells; i++)
    if (state->cells[i].shard == cell->shard
        && strcmp (state->cells[i].service, cell->service) == 0)
      found = &state->cells[i];
  if (found != NULL && cell->fence <= found->fence)
    return WL_APPLIED_CONFLICT;
  if (found == NULL && state->n_cells == WL_CELLS_MAX)
    return WL_APPLIED_FULL;
  if (found == NULL)
    found = &state->cells[state->n_cells++];
  *found = *cell;
  state->directory_version++;
  return WL_APPLIED;
}

static WlApplied
put_root (WlState *state, const WlReceiptRoot *root)
{
  WlReceiptRoot *found = NULL;
  for (uint32_t i = 0; i < state->n_roots; i++)
    if (state->roots[i].node == root->node)
      found = &state->roots[i];
  if (found == NULL && state->n_roots == WL_MEMBERS_MAX)
    return WL_APPLIED_FULL;
  if (found == NULL)
    found = &state->roots[state->n_roots++];
  if (found->incarnation == root->incarnation && root->sequence <= found->sequence)
    return WL_APPLIED;
  *found = *root;
  return WL_APPLIED;
}

static WlEvacuation *
find_evacuation (const WlState *state, const char *domain)
{
  for (uint32_t i = 0; i < state->n_evacuations; i++)
    if (strcmp (state->evacuations[i].domain, domain) == 0)
      return &state->evacuations[i];
  return NULL;
}

WlEvacuation
wl_state_evacuation (const WlState *state, const char *domain)
{
  WlEvacuation out = { .sequence = 0 };
  const WlEvacuation *found = find_evacuation (state, domain);
  if (found != NULL)
    return *found;
  snprintf (out.domain, sizeof out.domain, "%s", domain);
  return out;
}

/* A late copy of a change has an old sequence, and no effect. */
static WlApplied
put_evacuation (WlState *state, const WlEvacuation *change)
{
  WlEvacuation *e = find_evacuation (state, change->domain);
  WlEvacuation current = wl_state_evacuation (state, change->domain);
  if (change->sequence != current.sequence)
    return WL_APPLIED_CONFLICT;
  if (change->is_active == current.is_active)
    return WL_APPLIED;
  if (e == NULL && state->n_evacuations == WL_EVACUATIONS_MAX)
    return WL_APPLIED_FULL;
  if (e == NULL)
    e = &state->evacuations[state->n_evacuations++];
  *e = *change;
  e->sequence++;
  state->directory_version++;
  return WL_APPLIED;
}

WlApplied
wl_state_apply (WlState *state, const WlCommand *command)
{
  if (command->time_us > state->group_time_us)
    state->group_time_us = command->time_us;
  wl_claims_expire (state);
  switch (command->kind)
    {
    case WL_COMMAND_CONFIG:
      return apply_config (state, &command->u.config);
    case WL_COMMAND_MEMBER_PUT:
      return put_member (state, &command->u.member);
    case WL_COMMAND_MEMBER_REMOVE:
      return remove_member (state, command->u.member.node);
    case WL_COMMAND_CELL:
      return put_cell (state, &command->u.cell);
    case WL_COMMAND_CLAIM:
      return wl_claims_put (state, &command->u.claim);
    case WL_COMMAND_CLAIM_END:
      return wl_claims_end (state, &command->u.claim);
    case WL_COMMAND_RECEIPT_ROOT:
      return put_root (state, &command->u.root);
    case WL_COMMAND_EVACUATION:
      return put_evacuation (state, &command->u.evacuation);
    case WL_COMMAND_NONE:
    case WL_COMMAND_GROUP:
    case WL_COMMAND_KINDS:
      break;
    }
  return WL_APPLIED;
}

int
wl_state_config_at (const WlState *state, uint64_t number, apr_pool_t *pool, WlBytes *out)
{
  WlBytes config = state->config;
  if (number == 0 || number > state->config_number)
    return 0;
  for (uint64_t n = state->config_number; n > number; n--)
    {
      const WlConfigChange *change = wl_recent_changes_find (&state->recent_changes, n);
      if (change == NULL || wl_delta_revert (config, change, pool, &config) != WL_OK)
        return 0;
    }
  *out = config;
  return 1;
}

const WlAcceptedConfig *
wl_state_find_accepted (const WlState *state, uint64_t number)
{
  const WlAcceptedConfig *a = &state->accepted[number % WL_HISTORY_MAX];
  return number > 0 && a->number == number ? a : NULL;
}

WlBytes
wl_state_save (const WlState *state, const WlReplica *voters, uint32_t n_voters, apr_pool_t *pool)
{
  WlStateSnapshot image = {
    .config_number = state->config_number,
    .config = state->config,
    .members = state->members,
    .n_members = state->n_members,
    .cells = state->cells,
    .n_cells = state->n_cells,
    .roots = state->roots,
    .n_roots = state->n_roots,
    .voters = (WlReplica *)(uintptr_t)voters,
    .n_voters = n_voters,
    .group_time_us = state->group_time_us,
    .directory_version = state->directory_version,
    .evacuations = state->evacuations,
    .n_evacuations = state->n_evacuations,
  };
  image.history = apr_pcalloc (pool, WL_HISTORY_MAX * sizeof *image.history);
  image.recent_changes = apr_pcalloc (pool, WL_RECENT_CHANGES_MAX * sizeof *image.recent_changes);
  image.claims = apr_pcalloc (pool, (state->n_claims + 1) * sizeof *image.claims);
  for (uint32_t i = 0; i < WL_HISTORY_MAX; i++)
    if (state->accepted[i].number > 0)
      image.history[image.n_history++] = state->accepted[i];
  for (uint64_t n = state->recent_changes.first; n != 0 && n <= state->recent_changes.last; n++)
    image.recent_changes[image.n_recent_changes++]
        = *wl_recent_changes_find (&state->recent_changes, n);
  for (const WlClaimNode *c = state->oldest_claim; c != NULL; c = c->next)
    image.claims[image.n_claims++] = c->record;
  return wl_encode_bytes (wl_state_snapshot_fields, &image, pool);
}

static void
load_image (WlState *state, const WlStateSnapshot *image)
{
  state->config_number = image->config_number;
  replace_bytes (&state->config, image->config);
  wl_digest (state->config, state->config_digest);
  memset (state->accepted, 0, WL_HISTORY_MAX * sizeof *state->accepted);
  for (uint32_t i = 0; i < image->n_history; i++)
    state->accepted[image->history[i].number % WL_HISTORY_MAX] = image->history[i];
  wl_recent_changes_clear (&state->recent_changes);
  for (uint32_t i = 0; i < image->n_recent_changes; i++)
    record_change (state, &image->recent_changes[i]);
  state->n_members = image->n_members;
  memcpy (state->members, image->members, image->n_members * sizeof *image->members);
  state->n_cells = image->n_cells;
  memcpy (state->cells, image->cells, image->n_cells * sizeof *image->cells);
  state->n_roots = image->n_roots;
  memcpy (state->roots, image->roots, image->n_roots * sizeof *image->roots);
  state->n_evacuations = image->n_evacuations;
  if (image->n_evacuations > 0)
    memcpy (state->evacuations, image->evacuations,
            image->n_evacuations * sizeof *image->evacuations);
  wl_claims_clear (state);
  for (uint32_t i = 0; i < image->n_claims; i++)
    wl_claims_load (state, &image->claims[i]);
  state->group_time_us = image->group_time_us;
  state->directory_version = image->directory_version;
}

WlError
wl_state_check (const WlStateSnapshot *image)
{
  return image->n_members > WL_MEMBERS_MAX || image->n_cells > WL_CELLS_MAX
                 || image->n_roots > WL_MEMBERS_MAX || image->n_evacuations > WL_EVACUATIONS_MAX
             ? WL_ERROR_CORRUPT
             : WL_OK;
}

WlError
wl_state_load (WlState *state, WlBytes image_bytes)
{
  apr_pool_t *pool;
  WlStateSnapshot image = { 0 };
  apr_pool_create (&pool, NULL);
  WlError error = wl_decode_bytes (image_bytes, wl_state_snapshot_fields, &image, pool);
  if (error != WL_OK || wl_state_check (&image) != WL_OK)
    error = WL_ERROR_CORRUPT;
  else
    load_image (state, &image);
  apr_pool_destroy (pool);
  return error;
}
