#include <stdlib.h>
#include <string.h>
#include "wl_raft_log.h"
#include "wl_state.h"

uint64_t
wl_raft_last_index (const WlRaft *raft)
{
  return raft->snapshot_index + raft->n_log;
}

const WlLogEntry *
wl_raft_entry (const WlRaft *raft, uint64_t index)
{
  if (index <= raft->snapshot_index || index > wl_raft_last_index (raft))
    return NULL;
  return &raft->log[index - raft->snapshot_index - 1];
}

uint64_t
wl_raft_term_at (const WlRaft *raft, uint64_t index)
{
  if (index == raft->snapshot_index)
    return raft->snapshot_term;
  const WlLogEntry *e = wl_raft_entry (raft, index);
  return e != NULL ? e->term : 0;
}

int
wl_raft_is_same_entry (const WlLogEntry *a, const WlLogEntry *b)
{
  return a->term == b->term && a->command.size == b->command.size
         && (a->command.size == 0
             || memcmp (a->command.data, b->command.data, a->command.size) == 0);
}

static void
set_voters (WlRaft *raft, const WlReplica *voters, uint32_t n)
{
  raft->n_voters = n < WL_MAX_REPLICAS ? n : WL_MAX_REPLICAS;
  for (uint32_t i = 0; i < raft->n_voters; i++)
    raft->voters[i] = voters[i];
}

/* A change of the voters takes effect once it is in the log, before it is committed. */
static void
apply_group_entry (WlRaft *raft, const WlLogEntry *entry)
{
  apr_pool_t *pool;
  WlCommand command;
  apr_pool_create (&pool, NULL);
  if (wl_command_decode (entry->command, &command, pool) == WL_OK
      && command.kind == WL_COMMAND_GROUP)
    {
      set_voters (raft, command.u.group.voters, command.u.group.n_voters);
      raft->group_index = entry->index;
    }
  apr_pool_destroy (pool);
}

static void
recompute_group (WlRaft *raft)
{
  set_voters (raft, raft->snapshot_voters, raft->n_snapshot_voters);
  raft->group_index = raft->snapshot_index;
  for (uint32_t i = 0; i < raft->n_log; i++)
    apply_group_entry (raft, &raft->log[i]);
}

void
wl_raft_set_first_voters (WlRaft *raft, const WlReplica *voters, uint32_t n_voters)
{
  memcpy (raft->snapshot_voters, voters, n_voters * sizeof *voters);
  raft->n_snapshot_voters = n_voters;
  recompute_group (raft);
}

void
wl_raft_append (WlRaft *raft, uint64_t term, WlBytes command, WlEffects *fx)
{
  if (raft->n_log == raft->log_capacity)
    {
      raft->log_capacity = raft->log_capacity > 0 ? 2 * raft->log_capacity : 256;
      raft->log = realloc (raft->log, raft->log_capacity * sizeof *raft->log);
      if (raft->log == NULL)
        abort ();
    }
  WlLogEntry *e = &raft->log[raft->n_log++];
  e->term = term;
  e->index = wl_raft_last_index (raft);
  e->command = wl_bytes_dup (command);
  raft->log_bytes += command.size;
  apply_group_entry (raft, e);
  if (fx == NULL)
    return;
  WlEffect *effect = wl_effects_add (fx, WL_EFFECT_STORE_ENTRY);
  effect->u.entry = *e;
  effect->u.entry.command = wl_bytes_copy (fx->pool, e->command);
}

static void
free_entry (WlRaft *raft, WlLogEntry *e)
{
  raft->log_bytes -= e->command.size;
  wl_bytes_release (&e->command);
}

void
wl_raft_truncate (WlRaft *raft, uint64_t from, WlEffects *fx)
{
  if (from <= raft->commit)
    abort (); /* a committed entry is never removed */
  while (wl_raft_last_index (raft) >= from)
    free_entry (raft, &raft->log[--raft->n_log]);
  recompute_group (raft);
  wl_effects_add (fx, WL_EFFECT_STORE_TRUNCATE)->u.truncate_from = from;
}

void
wl_raft_drop_prefix (WlRaft *raft, uint64_t index)
{
  uint64_t n = index > raft->snapshot_index ? index - raft->snapshot_index : 0;
  if (n > raft->n_log)
    n = raft->n_log;
  for (uint64_t i = 0; i < n; i++)
    free_entry (raft, &raft->log[i]);
  raft->n_log -= (uint32_t)n;
  if (n > 0)
    memmove (raft->log, raft->log + n, raft->n_log * sizeof *raft->log);
}

static WlError
decode_image (WlBytes image, WlStateSnapshot *state, apr_pool_t *pool)
{
  memset (state, 0, sizeof *state);
  WlError error = wl_decode_bytes (image, wl_state_snapshot_fields, state, pool);
  return error == WL_OK ? wl_state_check (state) : error;
}

WlError
wl_raft_check_snapshot (WlBytes image)
{
  apr_pool_t *pool;
  WlStateSnapshot state;
  apr_pool_create (&pool, NULL);
  WlError error = decode_image (image, &state, pool);
  apr_pool_destroy (pool);
  return error;
}

WlError
wl_raft_set_snapshot (WlRaft *raft, uint64_t index, uint64_t index_term, WlBytes image)
{
  apr_pool_t *pool;
  WlStateSnapshot state;
  apr_pool_create (&pool, NULL);
  WlError error = decode_image (image, &state, pool);
  if (error == WL_OK)
    {
      uint32_t n = state.n_voters < WL_MAX_REPLICAS ? state.n_voters : WL_MAX_REPLICAS;
      memcpy (raft->snapshot_voters, state.voters, n * sizeof *state.voters);
      raft->n_snapshot_voters = n;
      free (raft->snapshot);
      raft->snapshot = malloc (image.size > 0 ? image.size : 1);
      if (raft->snapshot == NULL)
        abort ();
      memcpy (raft->snapshot, image.data, image.size);
      raft->snapshot_size = image.size;
      raft->snapshot_index = index;
      raft->snapshot_term = index_term;
      recompute_group (raft);
    }
  apr_pool_destroy (pool);
  return error;
}

int
wl_raft_is_replica (const WlReplica *replica, uint32_t node, uint64_t incarnation)
{
  if (replica->node != node || incarnation == 0)
    return 0;
  return replica->incarnation == incarnation
         || (replica->incarnation == 0 && (incarnation & WL_RAFT_FIRST_START));
}

int
wl_raft_is_voter (const WlRaft *raft, uint32_t node, uint64_t incarnation)
{
  for (uint32_t i = 0; i < raft->n_voters; i++)
    if (wl_raft_is_replica (&raft->voters[i], node, incarnation))
      return 1;
  return 0;
}
