#include "wl_raft_internal.h"
#include "wl_raft_log.h"

/* Sorts the voters' values and returns the highest one that a majority has reached. */
static uint64_t
majority_value (uint64_t *values, uint32_t n)
{
  for (uint32_t i = 1; i < n; i++)
    for (uint32_t j = i; j > 0 && values[j] > values[j - 1]; j--)
      {
        uint64_t v = values[j];
        values[j] = values[j - 1];
        values[j - 1] = v;
      }
  return n > 0 ? values[n / 2] : 0;
}

static uint64_t
self_value (const WlRaft *raft, WlRaftValue which)
{
  switch (which)
    {
    case WL_RAFT_MATCH:
      return wl_raft_last_index (raft);
    case WL_RAFT_ROUND:
      return raft->round;
    case WL_RAFT_LAST_CONTACT:
      return UINT64_MAX;
    }
  return 0;
}

static uint64_t
peer_value (const WlRaftPeer *peer, WlRaftValue which)
{
  switch (which)
    {
    case WL_RAFT_MATCH:
      return peer->match;
    case WL_RAFT_ROUND:
      return peer->round;
    case WL_RAFT_LAST_CONTACT:
      return peer->last_contact_us;
    }
  return 0;
}

uint64_t
wl_raft_quorum_value (const WlRaft *raft, WlRaftValue which)
{
  uint64_t values[WL_MAX_REPLICAS] = { 0 };
  for (uint32_t i = 0; i < raft->n_voters; i++)
    {
      const WlReplica *v = &raft->voters[i];
      if (wl_raft_is_replica (v, raft->self, raft->incarnation))
        values[i] = self_value (raft, which);
      for (uint32_t j = 0; j < raft->n_peers; j++)
        if (wl_raft_is_replica (v, raft->peers[j].node, raft->peers[j].incarnation))
          values[i] = peer_value (&raft->peers[j], which);
    }
  return majority_value (values, raft->n_voters);
}

uint64_t
wl_raft_confirmed_round (const WlRaft *raft)
{
  return raft->role == WL_RAFT_LEADER ? wl_raft_quorum_value (raft, WL_RAFT_ROUND) : 0;
}
