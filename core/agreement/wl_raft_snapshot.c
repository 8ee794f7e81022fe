#include <stdlib.h>
#include <string.h>
#include "wl_events.h"
#include "wl_raft_internal.h"
#include "wl_raft_log.h"

/* Snapshots: taking them, and sending them in chunks to replicas that lack compacted entries. */

void
wl_raft_send_snapshot_chunk (WlRaft *raft, WlRaftPeer *peer, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_SNAPSHOT_CHUNK };
  uint32_t offset = peer->snapshot_offset < raft->snapshot_size ? peer->snapshot_offset : 0;
  uint32_t left = raft->snapshot_size - offset;
  m.u.snapshot = (WlSnapshotChunk){
    .term = raft->term,
    .leader = raft->self,
    .to_incarnation = wl_raft_peer_incarnation (raft, peer),
    .round = raft->round,
    .index = raft->snapshot_index,
    .index_term = raft->snapshot_term,
    .offset = offset,
    .total = raft->snapshot_size,
    .data = { raft->snapshot + offset, left < WL_RAFT_CHUNK_BYTES ? left : WL_RAFT_CHUNK_BYTES },
  };
  wl_effects_send (fx, peer->node, &m);
}

static void
drop_incoming (WlRaft *raft)
{
  free (raft->incoming);
  raft->incoming = NULL;
  raft->incoming_size = 0;
  raft->incoming_offset = 0;
  raft->incoming_index = 0;
}

static void
refuse (const WlSnapshotChunk *c, const char *reason, WlEffects *fx)
{
  wl_effects_log (fx, WL2008_MESSAGE_REFUSED, "peer=%u term=%lu index=%lu bytes=%u reason=%s",
                  c->leader, (unsigned long)c->term, (unsigned long)c->index, c->total, reason);
}

static void
install_snapshot (WlRaft *raft, const WlSnapshotChunk *c, WlEffects *fx)
{
  WlBytes image = { raft->incoming, raft->incoming_size };
  uint64_t old_last = wl_raft_last_index (raft);
  int keep_tail = wl_raft_term_at (raft, c->index) == c->index_term && c->index <= old_last;
  wl_raft_drop_prefix (raft, keep_tail ? c->index : old_last);
  if (wl_raft_set_snapshot (raft, c->index, c->index_term, image) != WL_OK)
    abort ();
  raft->commit = c->index;
  raft->applied = c->index;
  raft->restored = 1;
  raft->role = wl_raft_idle_role (raft);
  WlEffect *e = wl_effects_add (fx, WL_EFFECT_STORE_SNAPSHOT);
  e->u.snapshot.index = c->index;
  e->u.snapshot.index_term = c->index_term;
  e->u.snapshot.data = wl_bytes_copy (fx->pool, image);
  if (!keep_tail)
    wl_effects_add (fx, WL_EFFECT_STORE_TRUNCATE)->u.truncate_from = c->index + 1;
  wl_effects_log (fx, WL2007_SNAPSHOT_INSTALLED, "index=%lu bytes=%u", (unsigned long)c->index,
                  image.size);
}

/* Returns 0 for a snapshot that is refused; it is not answered, so that its leader waits. */
static int
receive_chunk (WlRaft *raft, const WlSnapshotChunk *c, WlEffects *fx)
{
  if (c->offset == 0 && (raft->incoming_index != c->index || raft->incoming == NULL))
    {
      drop_incoming (raft);
      if (c->total <= WL_RAFT_SNAPSHOT_BYTES)
        raft->incoming = malloc (c->total > 0 ? c->total : 1);
      if (raft->incoming == NULL)
        {
          refuse (c, "snapshot_too_large", fx);
          return 0;
        }
      raft->incoming_size = c->total;
      raft->incoming_index = c->index;
    }
  if (c->index != raft->incoming_index || c->offset != raft->incoming_offset)
    return 1;
  if (c->total != raft->incoming_size || c->data.size > c->total - c->offset)
    return 1;
  memcpy (raft->incoming + c->offset, c->data.data, c->data.size);
  raft->incoming_offset += c->data.size;
  if (raft->incoming_offset < raft->incoming_size)
    return 1;
  if (wl_raft_check_snapshot ((WlBytes){ raft->incoming, raft->incoming_size }) != WL_OK)
    {
      refuse (c, "snapshot_unreadable", fx);
      drop_incoming (raft);
      return 0;
    }
  install_snapshot (raft, c, fx);
  free (raft->incoming);
  raft->incoming = NULL;
  return 1;
}

void
wl_raft_on_snapshot (WlRaft *raft, const WlSnapshotChunk *c, uint64_t now_us, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_SNAPSHOT_REPLY };
  if (c->to_incarnation != raft->incarnation)
    return;
  if (wl_raft_is_second_leader (raft, c->term, c->leader))
    {
      refuse (c, "second_leader", fx);
      return;
    }
  int accepted = wl_raft_accept_leader (raft, c->term, c->leader, now_us, fx);
  if (accepted && c->index > raft->commit && !receive_chunk (raft, c, fx))
    return;
  m.u.snapshot_reply = (WlSnapshotReply){
    .term = raft->term,
    .follower = raft->self,
    .incarnation = raft->incarnation,
    .round = c->round,
    .index = c->index,
    .offset = raft->commit >= c->index ? c->total : raft->incoming_offset,
  };
  if (raft->incoming_index != c->index && raft->commit < c->index)
    m.u.snapshot_reply.offset = 0;
  wl_effects_send (fx, c->leader, &m);
}

void
wl_raft_on_snapshot_reply (WlRaft *raft, const WlSnapshotReply *r, uint64_t now_us, WlEffects *fx)
{
  WlRaftPeer *peer = wl_raft_find_peer (raft, r->follower);
  if (r->term > raft->term)
    wl_raft_become_follower (raft, r->term, now_us, fx);
  if (raft->role != WL_RAFT_LEADER || r->term != raft->term || peer == NULL)
    return;
  if (peer->incarnation != r->incarnation || r->index != raft->snapshot_index)
    return;
  peer->last_contact_us = now_us;
  if (r->round > peer->round)
    peer->round = r->round;
  if (peer->next > raft->snapshot_index)
    return; /* a duplicate answer */
  if (r->offset >= raft->snapshot_size)
    {
      if (r->index > peer->match)
        peer->match = r->index;
      peer->next = r->index + 1;
      peer->snapshot_offset = 0;
    }
  else if (r->offset <= peer->snapshot_offset && r->offset != 0)
    return; /* the next chunk is already in flight */
  else
    peer->snapshot_offset = r->offset;
  wl_raft_send_append (raft, peer, now_us, fx);
}

int
wl_raft_wants_snapshot (const WlRaft *raft)
{
  return raft->applied > raft->snapshot_index
         && (raft->applied - raft->snapshot_index >= WL_RAFT_COMPACT_ENTRIES
             || raft->log_bytes >= WL_RAFT_COMPACT_BYTES);
}

void
wl_raft_compact (WlRaft *raft, WlBytes image, WlEffects *fx)
{
  uint64_t index = raft->applied;
  uint64_t term = wl_raft_term_at (raft, index);
  wl_raft_drop_prefix (raft, index);
  if (wl_raft_set_snapshot (raft, index, term, image) != WL_OK)
    abort ();
  WlEffect *e = wl_effects_add (fx, WL_EFFECT_STORE_SNAPSHOT);
  e->u.snapshot.index = index;
  e->u.snapshot.index_term = term;
  e->u.snapshot.data = wl_bytes_copy (fx->pool, image);
  for (uint32_t i = 0; i < raft->n_peers; i++)
    raft->peers[i].snapshot_offset = 0;
  wl_effects_log (fx, WL2006_SNAPSHOT_TAKEN, "index=%lu bytes=%u", (unsigned long)index,
                  image.size);
}
