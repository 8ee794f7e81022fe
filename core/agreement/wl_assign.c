#include <string.h>
#include "wl_assign.h"
#include "wl_events.h"
#include "wl_table.h"

static WlEntryRecord *
find_live_entry (const WlControl *control, uint32_t node, uint64_t now_us)
{
  WlEntryRecord *r = wl_table_get_id (control->entries, node);
  if (r == NULL || r->draining || r->lease_until_us <= now_us)
    return NULL;
  return wl_state_find_member (control->state, node) != NULL ? r : NULL;
}

static const WlCellLease *
find_cell (const WlState *state, const char *service, uint32_t shard)
{
  for (uint32_t i = 0; i < state->n_cells; i++)
    if (state->cells[i].shard == shard && strcmp (state->cells[i].service, service) == 0)
      return &state->cells[i];
  return NULL;
}

/* Whether a cell may be assigned to another entry: its owner is draining or has no lease. */
static int
may_reassign (const WlControl *control, const WlCellLease *cell, uint64_t now_us)
{
  if (cell == NULL || cell->owner == 0)
    return 1;
  const WlEntryRecord *r = wl_table_get_id (control->entries, cell->owner);
  if (r != NULL && r->draining)
    return 1;
  return now_us >= wl_control_lease_bound (control, cell->owner);
}

typedef struct
{
  uint32_t node;
  uint32_t owned;
} OwnerCandidate;

static uint32_t
collect_candidates (const WlControl *control, uint64_t now_us, OwnerCandidate *out)
{
  const WlState *state = control->state;
  uint32_t n = 0;
  for (uint32_t i = 0; i < state->n_members; i++)
    {
      if (find_live_entry (control, state->members[i].node, now_us) == NULL)
        continue;
      out[n] = (OwnerCandidate){ state->members[i].node, 0 };
      for (uint32_t j = 0; j < state->n_cells; j++)
        out[n].owned += state->cells[j].owner == out[n].node;
      n++;
    }
  return n;
}

/* Picks the entry with the fewest cells; ties by rendezvous hashing, to spread cells evenly. */
static OwnerCandidate *
pick_owner (OwnerCandidate *candidates, uint32_t n, const char *service, uint32_t shard)
{
  uint64_t cell = wl_hash_bytes (service, strlen (service), shard);
  OwnerCandidate *best = NULL;
  for (uint32_t i = 0; i < n; i++)
    {
      OwnerCandidate *c = &candidates[i];
      if (best == NULL || c->owned < best->owned
          || (c->owned == best->owned
              && wl_hash_ids (cell, c->node) > wl_hash_ids (cell, best->node)))
        best = c;
    }
  return best;
}

static void
assign_cell (WlControl *control, const char *service, uint32_t shard, uint64_t fence,
             uint32_t owner, const WlEvent *event, WlEffects *fx)
{
  WlCommand c = { .kind = WL_COMMAND_CELL, .time_us = event->wall_us };
  strcpy (c.u.cell.service, service);
  c.u.cell.shard = shard;
  c.u.cell.owner = owner;
  c.u.cell.fence = fence;
  control->assign_index = wl_raft_propose (&control->raft, wl_command_encode (&c, fx->pool), fx);
  wl_effects_log (fx, WL2301_CELL_ASSIGNED, "service=%s shard=%u owner=%u fence=%lu", service,
                  shard, owner, (unsigned long)fence);
}

void
wl_assign_cells (WlControl *control, const WlEvent *event, WlEffects *fx)
{
  static OwnerCandidate candidates[WL_MEMBERS_MAX];
  if (control->services == NULL || control->assign_index > control->raft.applied)
    return;
  uint32_t n = collect_candidates (control, event->now_us, candidates);
  if (n == 0)
    return;
  for (size_t i = 0; i < control->services->n_services; i++)
    {
      const WlService *s = &control->services->services[i];
      for (uint32_t shard = 0; shard < s->cells; shard++)
        {
          const WlCellLease *cell = find_cell (control->state, s->name, shard);
          if (cell != NULL && find_live_entry (control, cell->owner, event->now_us) != NULL)
            continue;
          if (!may_reassign (control, cell, event->now_us))
            continue;
          OwnerCandidate *best = pick_owner (candidates, n, s->name, shard);
          best->owned++;
          assign_cell (control, s->name, shard, cell != NULL ? cell->fence + 1 : 1, best->node,
                       event, fx);
        }
    }
}

void
wl_assign_remove_unresponsive (WlControl *control, const WlEvent *event, WlEffects *fx)
{
  const WlState *state = control->state;
  for (uint32_t i = 0; i < state->n_members; i++)
    {
      uint32_t node = state->members[i].node;
      const WlEntryRecord *r = wl_table_get_id (control->entries, node);
      uint64_t last_contact_us = control->raft.elected_us;
      if (r != NULL && r->last_contact_us > last_contact_us)
        last_contact_us = r->last_contact_us;
      if (r != NULL && r->membership_index > control->raft.applied)
        continue;
      if (event->now_us < last_contact_us + WL_MEMBER_TIMEOUT_US)
        continue;
      WlCommand c = { .kind = WL_COMMAND_MEMBER_REMOVE, .time_us = event->wall_us };
      c.u.member.node = node;
      wl_raft_propose (&control->raft, wl_command_encode (&c, fx->pool), fx);
      wl_effects_log (fx, WL2202_MEMBER_REMOVED, "node=%u reason=silent", node);
      return;
    }
}
