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
wl_roster_add (WlRoster *roster, uint32_t node, uint64_t now_us)
{
  WlRosterNode *n = wl_roster_find (roster, node);
  if (n != NULL || node == roster->self || node == 0)
    return n;
  if (roster->n_nodes == WL_ROSTER_MAX)
    return NULL;
  n = &roster->nodes[roster->n_nodes++];
  memset (n, 0, sizeof *n);
  n->status.node = node;
  n->added_us = now_us;
  return n;
}

int
wl_roster_apply_status (WlRoster *roster, const WlNodeStatus *status, uint64_t now_us)
{
  WlRosterNode *n = wl_roster_add (roster, status->node, now_us);
  if (n == NULL)
    return 0;
  for (uint32_t i = 0; i < status->n_peers; i++)
    wl_roster_add (roster, status->peers[i].node, now_us);
  int is_same_boot = n->status.boot == status->boot;
  uint8_t subscription = is_same_boot ? n->status.subscription : WL_SUBSCRIBE_NONE;
  /* A later status may be known already; this subscription counts unless a later one is. */
  if (status->subscription != WL_SUBSCRIBE_NONE
      && (!is_same_boot || status->sequence > n->subscribed_sequence))
    {
      n->subscribed_us = now_us;
      n->subscribed_sequence = status->sequence;
      subscription = status->subscription;
    }
  if (is_same_boot)
    n->status.subscription = subscription;
  if (is_same_boot && n->direct_sequence >= status->sequence)
    return 0;
  n->direct_sequence = status->sequence;
  /* A relay may have reported a later status; this one still shows that the node is alive. */
  if (!is_same_boot || n->status.sequence < status->sequence)
    {
      n->status = *status;
      n->status.peers = NULL;
      n->status.n_peers = 0;
    }
  n->status.subscription = subscription;
  n->last_contact_us = now_us;
  n->direct_contact_us = now_us;
  n->evidence_us = now_us;
  return 1;
}

int
wl_roster_is_alive (const WlRosterNode *node, uint64_t now_us)
{
  return node->last_contact_us != 0 && now_us < node->last_contact_us + WL_ROSTER_TIMEOUT_US;
}

uint32_t
wl_roster_count_alive (const WlRoster *roster, uint64_t now_us)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < roster->n_nodes; i++)
    n += (uint32_t)wl_roster_is_alive (&roster->nodes[i], now_us);
  return n;
}

int
wl_roster_accepts_requests (const WlRosterNode *node, uint64_t now_us)
{
  return wl_roster_is_alive (node, now_us) && node->status.is_ready && !node->status.is_draining;
}

void
wl_roster_expire (WlRoster *roster, uint64_t now_us)
{
  for (uint32_t i = 0; i < roster->n_nodes;)
    {
      WlRosterNode *n = &roster->nodes[i];
      uint64_t latest_us = n->last_contact_us > n->added_us ? n->last_contact_us : n->added_us;
      if (now_us > latest_us + WL_ROSTER_EXPIRY_US)
        *n = roster->nodes[--roster->n_nodes];
      else
        i++;
    }
}

/* Ranks the evidence for a leader: highest when it names itself, then from replicas. */
static uint32_t
leader_evidence (const WlNodeStatus *s)
{
  return (s->leader == s->node ? 2u : 0u) + (s->has_disk ? 1u : 0u);
}

uint32_t
wl_roster_leader (const WlRoster *roster, int from_replicas, uint64_t now_us)
{
  const WlRosterNode *best = NULL;
  for (uint32_t i = 0; i < roster->n_nodes; i++)
    {
      const WlRosterNode *n = &roster->nodes[i];
      if (n->status.leader == 0 || !wl_roster_is_alive (n, now_us)
          || (from_replicas && !n->status.has_disk))
        continue;
      uint32_t evidence = leader_evidence (&n->status);
      uint32_t best_evidence = best != NULL ? leader_evidence (&best->status) : 0;
      if (best == NULL || evidence > best_evidence
          || (evidence == best_evidence && n->direct_contact_us > best->direct_contact_us))
        best = n;
    }
  return best != NULL ? best->status.leader : 0;
}
