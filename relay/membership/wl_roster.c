#include <stdlib.h>
#include <string.h>
#include "wl_roster.h"

WlRoster *
wl_roster_create (uint32_t self)
{
  WlRoster *roster = calloc (1, sizeof *roster);
  if (roster == NULL)
    abort ();
  roster->self = self;
  return roster;
}

void
wl_roster_destroy (WlRoster *roster)
{
  free (roster);
}

WlRosterNode *
wl_roster_find (WlRoster *roster, uint32_t node)
{
  for (uint32_t i = 0; i < roster->n_nodes; i++)
    if (roster->nodes[i].status.node == node)
      return &roster->nodes[i];
  return NULL;
}

WlRosterNode *
wl_roster_meet (WlRoster *roster, uint32_t node, uint64_t now_us)
{
  WlRosterNode *n = wl_roster_find (roster, node);
  if (n != NULL || node == roster->self || node == 0)
    return n;
  if (roster->n_nodes == WL_ROSTER_MAX)
    return NULL;
  n = &roster->nodes[roster->n_nodes++];
  memset (n, 0, sizeof *n);
  n->status.node = node;
  n->met_us = now_us;
  return n;
}

int
wl_roster_hear (WlRoster *roster, const WlNodeStatus *status, uint64_t now_us)
{
  WlRosterNode *n = wl_roster_meet (roster, status->node, now_us);
  if (n == NULL)
    return 0;
  for (uint32_t i = 0; i < status->n_known; i++)
    wl_roster_meet (roster, status->known[i].node, now_us);
  if (n->status.boot == status->boot && n->status.sequence >= status->sequence)
    return 0;
  n->status = *status;
  n->status.known = NULL;
  n->status.n_known = 0;
  n->heard_us = now_us;
  return 1;
}

int
wl_roster_is_alive (const WlRosterNode *node, uint64_t now_us)
{
  return node->heard_us != 0 && now_us < node->heard_us + WL_ROSTER_SILENCE_US;
}

int
wl_roster_takes_requests (const WlRosterNode *node, uint64_t now_us)
{
  return wl_roster_is_alive (node, now_us) && node->status.is_ready && !node->status.is_draining;
}

void
wl_roster_expire (WlRoster *roster, uint64_t now_us)
{
  for (uint32_t i = 0; i < roster->n_nodes;)
    {
      WlRosterNode *n = &roster->nodes[i];
      uint64_t latest_us = n->heard_us > n->met_us ? n->heard_us : n->met_us;
      if (now_us > latest_us + WL_ROSTER_FORGET_US)
        *n = roster->nodes[--roster->n_nodes];
      else
        i++;
    }
}

uint32_t
wl_roster_leader (const WlRoster *roster, uint64_t now_us)
{
  const WlRosterNode *best = NULL;
  for (uint32_t i = 0; i < roster->n_nodes; i++)
    {
      const WlRosterNode *n = &roster->nodes[i];
      if (!n->status.has_disk || n->status.leader == 0 || !wl_roster_is_alive (n, now_us))
        continue;
      /* What a node says of itself counts most, then what was heard last. */
      int says_itself = n->status.leader == n->status.node;
      int best_says_itself = best != NULL && best->status.leader == best->status.node;
      if (best == NULL || says_itself > best_says_itself
          || (says_itself == best_says_itself && n->heard_us > best->heard_us))
        best = n;
    }
  return best != NULL ? best->status.leader : 0;
}
