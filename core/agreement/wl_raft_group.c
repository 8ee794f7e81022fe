#include <string.h>
#include "wl_events.h"
#include "wl_raft_internal.h"
#include "wl_raft_log.h"

/* Bootstrap of the group and changes of its voters. */

enum
{
  EMPTY_REPORT_LIFETIME_US = 2000000, /* validity of a report of an empty disk */
  CAUGHT_UP_ENTRIES = 64, /* a learner that lacks no more committed entries may become a voter */
};

void
wl_raft_send_hello (WlRaft *raft, uint32_t node, uint8_t reply, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_REPLICA_HELLO };
  m.u.hello = (WlReplicaHello){
    .node = raft->self,
    .incarnation = raft->incarnation,
    .empty = (uint8_t)wl_raft_is_empty (raft),
    .reply = reply,
  };
  wl_effects_send (fx, node, &m);
}

void
wl_raft_on_hello (WlRaft *raft, uint32_t from, const WlReplicaHello *h, uint64_t now_us,
                  WlEffects *fx)
{
  WlRaftPeer *peer = wl_raft_find_peer (raft, from);
  if (peer == NULL || h->node != from)
    return;
  if (peer->incarnation != h->incarnation)
    {
      peer->incarnation = h->incarnation;
      peer->match = 0;
      peer->round = 0;
      peer->next = wl_raft_last_index (raft) + 1;
      peer->snapshot_offset = 0;
      peer->granted = 0;
    }
  peer->empty_us = h->empty ? now_us : 0;
  if (!h->reply)
    wl_raft_send_hello (raft, from, 1, fx);
}

int
wl_raft_all_peers_are_empty (const WlRaft *raft, uint64_t now_us)
{
  for (uint32_t i = 0; i < raft->n_peers; i++)
    {
      const WlRaftPeer *p = &raft->peers[i];
      if (p->node < raft->self)
        return 0; /* only the replica with the lowest id bootstraps the group */
      if (p->empty_us == 0 || now_us > p->empty_us + EMPTY_REPORT_LIFETIME_US)
        return 0;
    }
  return 1;
}

static int
has_voter_at (const WlRaft *raft, uint32_t node)
{
  for (uint32_t i = 0; i < raft->n_voters; i++)
    if (raft->voters[i].node == node)
      return 1;
  return 0;
}

/*
 * The place of the replica that was not heard for the longest time, of those that are no voters;
 * NULL when it is needed still. A voter takes the place of any of them.
 */
static WlRaftPeer *
find_unused_place (WlRaft *raft, uint32_t node, uint64_t now_us)
{
  WlRaftPeer *oldest = NULL;
  if (raft->n_peers < WL_MAX_REPLICAS)
    return &raft->peers[raft->n_peers++];
  for (uint32_t i = 0; i < raft->n_peers; i++)
    {
      WlRaftPeer *p = &raft->peers[i];
      if (!has_voter_at (raft, p->node) && (oldest == NULL || p->heard_us < oldest->heard_us))
        oldest = p;
    }
  if (oldest == NULL
      || (!has_voter_at (raft, node) && now_us < oldest->heard_us + WL_RAFT_PEER_EXPIRY_US))
    return NULL;
  return oldest;
}

void
wl_raft_add_peer (WlRaft *raft, uint32_t node, uint64_t now_us)
{
  WlRaftPeer *peer = wl_raft_find_peer (raft, node);
  if (peer != NULL)
    peer->heard_us = now_us;
  if (peer != NULL || node == raft->self)
    return;
  peer = find_unused_place (raft, node, now_us);
  if (peer == NULL)
    return;
  memset (peer, 0, sizeof *peer);
  peer->node = node;
  peer->next = wl_raft_last_index (raft) + 1;
  peer->heard_us = now_us;
}

void
wl_raft_set_founders (WlRaft *raft, const uint32_t *nodes, uint32_t n_nodes, uint64_t now_us)
{
  WlReplica founders[WL_MAX_REPLICAS] = { 0 };
  uint32_t n = 0;
  if (raft->snapshot_index > 0 || raft->commit > 0)
    return;
  if (raft->founding_us == 0)
    raft->founding_us = now_us + WL_RAFT_FOUNDING_WAIT_US;
  for (uint32_t i = 0; i < n_nodes && n < WL_MAX_REPLICAS; i++)
    {
      uint32_t known = 0;
      while (known < n && founders[known].node != nodes[i])
        known++;
      if (known < n)
        continue; /* listed twice */
      founders[n++] = (WlReplica){ nodes[i], nodes[i] == raft->self ? raft->incarnation : 0 };
    }
  wl_raft_set_first_voters (raft, founders, n);
  for (uint32_t i = 0; i < n; i++)
    wl_raft_add_peer (raft, founders[i].node, now_us);
  if (raft->role == WL_RAFT_LEARNER)
    raft->role = wl_raft_idle_role (raft);
}

int
wl_raft_may_found_at_once (const WlRaft *raft, uint64_t now_us)
{
  for (uint32_t i = 0; i < raft->n_voters; i++)
    if (raft->voters[i].node < raft->self)
      return 0;
  for (uint32_t i = 0; i < raft->n_peers; i++)
    {
      const WlRaftPeer *p = &raft->peers[i];
      int is_empty = p->empty_us != 0 && now_us <= p->empty_us + EMPTY_REPORT_LIFETIME_US;
      if (has_voter_at (raft, p->node) && !is_empty)
        return 0;
    }
  return 1;
}

/* A voter whose disk is known by now, if it is a founder's. */
static WlReplica
identify (const WlRaft *raft, const WlReplica *voter)
{
  for (uint32_t i = 0; i < raft->n_peers; i++)
    if (wl_raft_is_replica (voter, raft->peers[i].node, raft->peers[i].incarnation))
      return (WlReplica){ voter->node, raft->peers[i].incarnation };
  return *voter;
}

void
wl_raft_found_group (WlRaft *raft, WlEffects *fx)
{
  WlReplica voters[WL_MAX_REPLICAS];
  WlCommand c = { .kind = WL_COMMAND_GROUP };
  c.u.group.voters = voters;
  c.u.group.n_voters = raft->n_voters;
  for (uint32_t i = 0; i < raft->n_voters; i++)
    voters[i] = identify (raft, &raft->voters[i]);
  wl_raft_append (raft, raft->term, wl_command_encode (&c, fx->pool), fx);
  wl_effects_log (fx, WL2004_GROUP_FOUNDED, "node=%u term=%lu voters=%u", raft->self,
                  (unsigned long)raft->term, raft->n_voters);
}

void
wl_raft_bootstrap_group (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  WlReplica self = { raft->self, raft->incarnation };
  WlCommand c = { .kind = WL_COMMAND_GROUP };
  c.u.group.voters = &self;
  c.u.group.n_voters = 1;
  raft->term = 1;
  raft->vote = raft->self;
  wl_raft_store_term (raft, fx);
  wl_raft_append (raft, raft->term, wl_command_encode (&c, fx->pool), fx);
  wl_effects_log (fx, WL2004_GROUP_FOUNDED, "node=%u", raft->self);
  wl_raft_become_leader (raft, now_us, fx);
}

/* A term has one leader, so a second one leads another group. */
int
wl_raft_is_second_leader (const WlRaft *raft, uint64_t term, uint32_t leader)
{
  return term == raft->term && raft->leader != 0 && raft->leader != leader;
}

static void
propose_group (WlRaft *raft, uint32_t without, const WlReplica *with, WlEffects *fx)
{
  WlReplica voters[WL_MAX_REPLICAS + 1];
  WlCommand c = { .kind = WL_COMMAND_GROUP };
  uint32_t n = 0;
  for (uint32_t i = 0; i < raft->n_voters; i++)
    if (raft->voters[i].node != without)
      voters[n++] = identify (raft, &raft->voters[i]);
  if (with != NULL)
    voters[n++] = *with;
  c.u.group.voters = voters;
  c.u.group.n_voters = n;
  if (with != NULL || without != 0)
    wl_effects_log (fx, WL2005_GROUP_CHANGED, "voters=%u %s=%u", n, with ? "added" : "removed",
                    with ? with->node : without);
  else
    wl_effects_log (fx, WL2005_GROUP_CHANGED, "voters=%u identified", n);
  wl_raft_propose_command (raft, &c, fx);
}

static int
is_caught_up (const WlRaft *raft, const WlRaftPeer *p, uint64_t now_us)
{
  return p->incarnation != 0 && p->match > 0 && p->match + CAUGHT_UP_ENTRIES >= raft->commit
         && now_us < p->last_contact_us + WL_RAFT_ELECTION_MIN_US;
}

/* A voter, other than this replica, without contact for WL_RAFT_VOTER_TIMEOUT_US, or NULL. */
static const WlReplica *
find_unresponsive_voter (const WlRaft *raft, uint64_t now_us)
{
  for (uint32_t i = 0; i < raft->n_voters; i++)
    {
      const WlReplica *v = &raft->voters[i];
      uint64_t last_contact_us = raft->elected_us;
      if (v->node == raft->self)
        continue;
      for (uint32_t j = 0; j < raft->n_peers; j++)
        if (raft->peers[j].node == v->node && raft->peers[j].last_contact_us > last_contact_us)
          last_contact_us = raft->peers[j].last_contact_us;
      if (now_us > last_contact_us + WL_RAFT_VOTER_TIMEOUT_US)
        return v;
    }
  return NULL;
}

/* Whether a voter whose disk was unknown has caught up. */
static int
has_new_identity (const WlRaft *raft, uint64_t now_us)
{
  for (uint32_t i = 0; i < raft->n_voters; i++)
    for (uint32_t j = 0; raft->voters[i].incarnation == 0 && j < raft->n_peers; j++)
      if (wl_raft_is_replica (&raft->voters[i], raft->peers[j].node, raft->peers[j].incarnation)
          && is_caught_up (raft, &raft->peers[j], now_us))
        return 1;
  return 0;
}

/*
 * Makes caught-up learners voters, one committed change at a time. When a voter
 * has lost its disk, the node first catches up as a learner; then the voter with
 * the old incarnation is removed, and the new one is added. With max_voters
 * voters, a learner is added only when a voter is unresponsive, and that voter is
 * removed next.
 */
void
wl_raft_manage_group (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  if (raft->group_index > raft->commit || raft->commit < raft->term_start)
    return;
  const WlReplica *unresponsive = find_unresponsive_voter (raft, now_us);
  if (raft->n_voters > raft->max_voters && unresponsive != NULL)
    {
      propose_group (raft, unresponsive->node, NULL, fx);
      return;
    }
  if (has_new_identity (raft, now_us))
    {
      propose_group (raft, 0, NULL, fx);
      return;
    }
  for (uint32_t i = 0; i < raft->n_peers; i++)
    {
      const WlRaftPeer *p = &raft->peers[i];
      if (!is_caught_up (raft, p, now_us) || wl_raft_is_voter (raft, p->node, p->incarnation))
        continue;
      WlReplica added = { p->node, p->incarnation };
      if (has_voter_at (raft, p->node))
        propose_group (raft, p->node, NULL, fx);
      else if (raft->n_voters < raft->max_voters
               || (raft->n_voters == raft->max_voters && unresponsive != NULL))
        propose_group (raft, 0, &added, fx);
      else
        continue;
      return;
    }
}
