#include <stdlib.h>
#include <string.h>
#include "wl_events.h"
#include "wl_raft.h"
#include "wl_raft_internal.h"
#include "wl_raft_log.h"
#include "wl_random.h"

enum
{
  RESEND_AFTER_US = 300000, /* for unanswered entries and snapshot chunks */
};

static void
reset_election_timer (WlRaft *raft, uint64_t now_us)
{
  /* While no leader is known, frequent pre-votes are harmless: there is no leader to disturb. */
  uint64_t min_us = raft->leader != 0 ? WL_RAFT_ELECTION_MIN_US : WL_RAFT_PRE_VOTE_MIN_US;
  uint64_t max_us = raft->leader != 0 ? WL_RAFT_ELECTION_MAX_US : WL_RAFT_PRE_VOTE_MAX_US;
  raft->next_election_us = now_us + min_us + wl_random_next (&raft->random) % (max_us - min_us);
}

static int
is_self_voter (const WlRaft *raft)
{
  return wl_raft_is_voter (raft, raft->self, raft->incarnation);
}

int
wl_raft_is_empty (const WlRaft *raft)
{
  return raft->term == 0 && wl_raft_last_index (raft) == 0;
}

WlRaftPeer *
wl_raft_find_peer (WlRaft *raft, uint32_t node)
{
  for (uint32_t i = 0; i < raft->n_peers; i++)
    if (raft->peers[i].node == node)
      return &raft->peers[i];
  return NULL;
}

WlRaftRole
wl_raft_idle_role (const WlRaft *raft)
{
  return is_self_voter (raft) ? WL_RAFT_FOLLOWER : WL_RAFT_LEARNER;
}

void
wl_raft_init (WlRaft *raft, const WlSettings *settings, const WlStoredState *stored,
              uint64_t now_us)
{
  raft->self = settings->self.node;
  raft->incarnation = settings->replica_incarnation;
  raft->random = settings->seed ^ settings->replica_incarnation;
  for (uint32_t i = 0; i < settings->n_control; i++)
    if (settings->control_nodes[i] != raft->self)
      raft->peers[raft->n_peers++].node = settings->control_nodes[i];
  raft->max_voters = raft->n_peers + 1;
  raft->min_voters = raft->max_voters / 2 + 1;
  raft->may_bootstrap = 1;
  if (stored != NULL)
    {
      raft->term = stored->term;
      raft->vote = stored->vote;
      if (stored->snapshot_index > 0)
        wl_raft_set_snapshot (raft, stored->snapshot_index, stored->snapshot_term,
                              stored->snapshot);
      raft->commit = raft->snapshot_index;
      raft->applied = raft->snapshot_index;
      raft->restored = raft->snapshot_index > 0;
      for (uint32_t i = 0; i < stored->n_entries; i++)
        wl_raft_append (raft, stored->entries[i].term, stored->entries[i].command, NULL);
    }
  raft->role = wl_raft_idle_role (raft);
  reset_election_timer (raft, now_us);
}

void
wl_raft_clear (WlRaft *raft)
{
  wl_raft_drop_prefix (raft, wl_raft_last_index (raft));
  free (raft->log);
  free (raft->snapshot);
  free (raft->incoming);
}

void
wl_raft_store_term (WlRaft *raft, WlEffects *fx)
{
  WlEffect *e = wl_effects_add (fx, WL_EFFECT_STORE_TERM);
  e->u.term.term = raft->term;
  e->u.term.vote = raft->vote;
}

void
wl_raft_become_follower (WlRaft *raft, uint64_t term, uint64_t now_us, WlEffects *fx)
{
  if (raft->role == WL_RAFT_LEADER)
    wl_effects_log (fx, WL2003_LEADER_STEPPED_DOWN, "term=%lu", (unsigned long)raft->term);
  if (term > raft->term)
    {
      raft->term = term;
      raft->vote = 0;
      raft->leader = 0;
      wl_raft_store_term (raft, fx);
    }
  if (raft->role == WL_RAFT_LEADER)
    raft->leader = 0;
  raft->role = wl_raft_idle_role (raft);
  reset_election_timer (raft, now_us);
}

uint64_t
wl_raft_peer_incarnation (const WlRaft *raft, const WlRaftPeer *peer)
{
  if (peer->incarnation != 0)
    return peer->incarnation;
  for (uint32_t i = 0; i < raft->n_voters; i++)
    if (raft->voters[i].node == peer->node)
      return raft->voters[i].incarnation;
  return 0;
}

void
wl_raft_send_append (WlRaft *raft, WlRaftPeer *peer, uint64_t now_us, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_APPEND_REQUEST };
  if (wl_raft_peer_incarnation (raft, peer) == 0)
    return;
  peer->sent_us = now_us;
  if (peer->next <= raft->snapshot_index)
    {
      wl_raft_send_snapshot_chunk (raft, peer, fx);
      return;
    }
  uint64_t last = peer->next - 1;
  uint64_t bytes = 0;
  while (last < wl_raft_last_index (raft) && bytes < WL_RAFT_APPEND_BYTES)
    bytes += wl_raft_entry (raft, ++last)->command.size + sizeof (WlLogEntry);
  m.u.append = (WlAppendRequest){
    .term = raft->term,
    .leader = raft->self,
    .to_incarnation = wl_raft_peer_incarnation (raft, peer),
    .round = raft->round,
    .prev_index = peer->next - 1,
    .prev_term = wl_raft_term_at (raft, peer->next - 1),
    .commit = raft->commit,
    .n_entries = (uint32_t)(last + 1 - peer->next),
  };
  if (m.u.append.n_entries > 0)
    m.u.append.entries = &raft->log[peer->next - raft->snapshot_index - 1];
  wl_effects_send (fx, peer->node, &m);
  peer->next = last + 1;
}

static void
broadcast (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  raft->round++;
  raft->next_heartbeat_us = now_us + WL_RAFT_HEARTBEAT_US;
  raft->needs_broadcast = 0;
  for (uint32_t i = 0; i < raft->n_peers; i++)
    {
      WlRaftPeer *peer = &raft->peers[i];
      if (peer->match + 1 < peer->next && now_us > peer->sent_us + RESEND_AFTER_US
          && now_us > peer->last_contact_us + RESEND_AFTER_US)
        peer->next = peer->match + 1;
      wl_raft_send_append (raft, peer, now_us, fx);
    }
}

uint64_t
wl_raft_request_round (WlRaft *raft)
{
  raft->needs_broadcast = 1;
  return raft->round + 1;
}

/* Counting replicas commits only entries of the current term, and with them all earlier ones. */
static void
advance_commit (WlRaft *raft)
{
  uint64_t index = wl_raft_quorum_value (raft, WL_RAFT_MATCH);
  if (index > raft->commit && wl_raft_term_at (raft, index) == raft->term)
    {
      raft->commit = index;
      raft->needs_broadcast = 1;
    }
}

uint64_t
wl_raft_propose (WlRaft *raft, WlBytes command, WlEffects *fx)
{
  wl_raft_append (raft, raft->term, command, fx);
  raft->needs_broadcast = 1;
  advance_commit (raft);
  return wl_raft_last_index (raft);
}

void
wl_raft_propose_command (WlRaft *raft, const WlCommand *command, WlEffects *fx)
{
  wl_raft_propose (raft, wl_command_encode (command, fx->pool), fx);
}

void
wl_raft_become_leader (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  raft->role = WL_RAFT_LEADER;
  raft->leader = raft->self;
  raft->elected_us = now_us;
  for (uint32_t i = 0; i < raft->n_peers; i++)
    {
      WlRaftPeer *peer = &raft->peers[i];
      peer->next = wl_raft_last_index (raft) + 1;
      peer->match = 0;
      peer->round = 0;
      peer->snapshot_offset = 0;
      peer->last_contact_us = now_us;
    }
  raft->round = 0;
  WlCommand none = { .kind = WL_COMMAND_NONE };
  wl_raft_propose_command (raft, &none, fx);
  raft->term_start = wl_raft_last_index (raft);
  wl_effects_log (fx, WL2002_LEADER_ELECTED, "term=%lu index=%lu", (unsigned long)raft->term,
                  (unsigned long)raft->term_start);
  broadcast (raft, now_us, fx);
}

static void count_votes (WlRaft *raft, uint64_t now_us, WlEffects *fx);

static void
request_votes (WlRaft *raft, uint8_t pre, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_VOTE_REQUEST };
  uint64_t last = wl_raft_last_index (raft);
  m.u.vote_request = (WlVoteRequest){
    .term = pre ? raft->term + 1 : raft->term,
    .candidate = raft->self,
    .incarnation = raft->incarnation,
    .last_index = last,
    .last_term = wl_raft_term_at (raft, last),
    .is_pre_vote = pre,
  };
  for (uint32_t i = 0; i < raft->n_peers; i++)
    {
      raft->peers[i].granted = 0;
      wl_effects_send (fx, raft->peers[i].node, &m);
    }
}

static void
become_candidate (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  raft->role = WL_RAFT_CANDIDATE;
  raft->term++;
  raft->vote = raft->self;
  raft->leader = 0;
  wl_raft_store_term (raft, fx);
  wl_effects_log (fx, WL2001_ELECTION_STARTED, "term=%lu", (unsigned long)raft->term);
  request_votes (raft, 0, fx);
  count_votes (raft, now_us, fx);
}

static void
start_pre_vote (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  raft->role = WL_RAFT_PRE_CANDIDATE;
  raft->leader = 0;
  reset_election_timer (raft, now_us);
  request_votes (raft, 1, fx);
  count_votes (raft, now_us, fx);
}

static void
count_votes (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  uint32_t votes = is_self_voter (raft) ? 1 : 0;
  for (uint32_t i = 0; i < raft->n_peers; i++)
    if (raft->peers[i].granted
        && wl_raft_is_voter (raft, raft->peers[i].node, raft->peers[i].incarnation))
      votes++;
  if (votes <= raft->n_voters / 2)
    return;
  if (raft->role == WL_RAFT_PRE_CANDIDATE)
    become_candidate (raft, now_us, fx);
  else if (raft->role == WL_RAFT_CANDIDATE)
    {
      if (wl_raft_last_index (raft) == 0)
        wl_raft_found_group (raft, fx);
      wl_raft_become_leader (raft, now_us, fx);
    }
}

static void
on_vote_request (WlRaft *raft, uint32_t from, const WlVoteRequest *v, uint64_t now_us,
                 WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_VOTE_REPLY };
  uint64_t last = wl_raft_last_index (raft);
  uint64_t last_term = wl_raft_term_at (raft, last);
  int up_to_date = v->last_term > last_term || (v->last_term == last_term && v->last_index >= last);
  int has_leader
      = raft->role == WL_RAFT_LEADER
        || (raft->leader != 0 && now_us < raft->leader_contact_us + WL_RAFT_ELECTION_MIN_US);
  int granted = 0;
  /* A disk without a log may have lost an earlier vote, so it must not vote; a founder's disk was
     not emptied. */
  if (last == 0 && !is_self_voter (raft))
    return;
  if (v->is_pre_vote)
    granted = v->term > raft->term && up_to_date && !has_leader;
  else if (!has_leader)
    {
      if (v->term > raft->term)
        wl_raft_become_follower (raft, v->term, now_us, fx);
      granted
          = v->term == raft->term && up_to_date && (raft->vote == 0 || raft->vote == v->candidate);
      if (granted && raft->vote == 0)
        {
          raft->vote = v->candidate;
          wl_raft_store_term (raft, fx);
        }
      if (granted)
        reset_election_timer (raft, now_us);
    }
  m.u.vote_reply = (WlVoteReply){
    .term = v->is_pre_vote && granted ? v->term : raft->term,
    .voter = raft->self,
    .incarnation = raft->incarnation,
    .is_pre_vote = v->is_pre_vote,
    .granted = (uint8_t)granted,
  };
  wl_effects_send (fx, from, &m);
}

static void
on_vote_reply (WlRaft *raft, const WlVoteReply *v, uint64_t now_us, WlEffects *fx)
{
  WlRaftPeer *peer = wl_raft_find_peer (raft, v->voter);
  if (peer == NULL)
    return;
  if (!v->granted)
    {
      if (v->term > raft->term)
        wl_raft_become_follower (raft, v->term, now_us, fx);
      return;
    }
  uint64_t expected = v->is_pre_vote ? raft->term + 1 : raft->term;
  WlRaftRole role = v->is_pre_vote ? WL_RAFT_PRE_CANDIDATE : WL_RAFT_CANDIDATE;
  if (raft->role != role || v->term != expected)
    return;
  peer->incarnation = v->incarnation;
  peer->granted = 1;
  count_votes (raft, now_us, fx);
}

static void
reply_append (WlRaft *raft, const WlAppendRequest *a, int ok, uint64_t match, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_APPEND_REPLY };
  m.u.append_reply = (WlAppendReply){
    .term = raft->term,
    .follower = raft->self,
    .incarnation = raft->incarnation,
    .round = a->round,
    .ok = (uint8_t)ok,
    .match = match,
  };
  wl_effects_send (fx, a->leader, &m);
}

int
wl_raft_accept_leader (WlRaft *raft, uint64_t term, uint32_t leader, uint64_t now_us, WlEffects *fx)
{
  if (term < raft->term)
    return 0;
  if (term > raft->term || raft->role == WL_RAFT_CANDIDATE || raft->role == WL_RAFT_PRE_CANDIDATE)
    wl_raft_become_follower (raft, term, now_us, fx);
  raft->leader = leader;
  raft->leader_contact_us = now_us;
  reset_election_timer (raft, now_us);
  return 1;
}

static void
append_entries (WlRaft *raft, const WlAppendRequest *a, WlEffects *fx)
{
  for (uint32_t i = 0; i < a->n_entries; i++)
    {
      uint64_t index = a->prev_index + 1 + i;
      if (index <= raft->snapshot_index)
        continue;
      const WlLogEntry *e = wl_raft_entry (raft, index);
      if (e != NULL && e->term == a->entries[i].term)
        continue;
      if (e != NULL)
        wl_raft_truncate (raft, index, fx);
      wl_raft_append (raft, a->entries[i].term, a->entries[i].command, fx);
    }
}

static int
contradicts_commit (const WlRaft *raft, const WlAppendRequest *a)
{
  for (uint32_t i = 0; i < a->n_entries && a->prev_index + 1 + i <= raft->commit; i++)
    {
      const WlLogEntry *e = wl_raft_entry (raft, a->prev_index + 1 + i);
      if (e != NULL && !wl_raft_is_same_entry (e, &a->entries[i]))
        return 1;
    }
  return 0;
}

static void
on_append (WlRaft *raft, const WlAppendRequest *a, uint64_t now_us, WlEffects *fx)
{
  if (a->to_incarnation != raft->incarnation)
    return;
  if (contradicts_commit (raft, a))
    {
      wl_effects_log (fx, WL2008_MESSAGE_REFUSED, "peer=%u term=%lu reason=committed_entry",
                      a->leader, (unsigned long)a->term);
      return;
    }
  if (wl_raft_is_second_leader (raft, a->term, a->leader))
    {
      wl_effects_log (fx, WL2008_MESSAGE_REFUSED, "peer=%u term=%lu reason=second_leader",
                      a->leader, (unsigned long)a->term);
      return;
    }
  if (!wl_raft_accept_leader (raft, a->term, a->leader, now_us, fx))
    {
      reply_append (raft, a, 0, wl_raft_last_index (raft), fx);
      return;
    }
  uint64_t last = wl_raft_last_index (raft);
  if (a->prev_index > last)
    {
      reply_append (raft, a, 0, last, fx);
      return;
    }
  if (a->prev_index > raft->snapshot_index && wl_raft_term_at (raft, a->prev_index) != a->prev_term)
    {
      reply_append (raft, a, 0, a->prev_index - 1, fx);
      return;
    }
  append_entries (raft, a, fx);
  uint64_t match = a->prev_index + a->n_entries;
  uint64_t commit = a->commit < match ? a->commit : match;
  if (commit > raft->commit)
    raft->commit = commit;
  raft->role = wl_raft_idle_role (raft);
  reply_append (raft, a, 1, match, fx);
}

static void
on_append_reply (WlRaft *raft, const WlAppendReply *r, uint64_t now_us, WlEffects *fx)
{
  WlRaftPeer *peer = wl_raft_find_peer (raft, r->follower);
  if (r->term > raft->term)
    wl_raft_become_follower (raft, r->term, now_us, fx);
  if (raft->role != WL_RAFT_LEADER || r->term != raft->term || peer == NULL)
    return;
  if (peer->incarnation != r->incarnation)
    return;
  peer->last_contact_us = now_us;
  if (r->round > peer->round)
    peer->round = r->round;
  if (!r->ok)
    {
      uint64_t next = r->match + 1;
      if (next < peer->next)
        peer->next = next > peer->match ? next : peer->match + 1;
      wl_raft_send_append (raft, peer, now_us, fx);
      return;
    }
  if (r->match > peer->match)
    peer->match = r->match;
  if (peer->next <= peer->match)
    peer->next = peer->match + 1;
  advance_commit (raft);
  if (peer->next <= wl_raft_last_index (raft))
    wl_raft_send_append (raft, peer, now_us, fx);
}

static void
tick_leader (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  if (wl_raft_quorum_value (raft, WL_RAFT_LAST_CONTACT) + WL_RAFT_ELECTION_MIN_US < now_us
      && raft->n_voters > 1)
    {
      wl_raft_become_follower (raft, raft->term, now_us, fx);
      return;
    }
  wl_raft_manage_group (raft, now_us, fx);
  if (now_us >= raft->next_heartbeat_us)
    broadcast (raft, now_us, fx);
}

/* The first founder need not wait for its timer when all are present; the others wait for it. */
static int
is_election_due (const WlRaft *raft, uint64_t now_us)
{
  int is_waiting = wl_raft_last_index (raft) == 0 && now_us < raft->founding_us;
  if (is_waiting && raft->role == WL_RAFT_FOLLOWER)
    return wl_raft_may_found_at_once (raft, now_us);
  return now_us >= raft->next_election_us;
}

void
wl_raft_tick (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  if (now_us >= raft->next_hello_us
      && (raft->role != WL_RAFT_FOLLOWER || wl_raft_last_index (raft) == 0))
    {
      raft->next_hello_us = now_us + WL_RAFT_HELLO_INTERVAL_US;
      for (uint32_t i = 0; i < raft->n_peers; i++)
        wl_raft_send_hello (raft, raft->peers[i].node, 0, fx);
    }
  if (raft->joined_us == 0 && raft->commit > 0)
    raft->joined_us = now_us;
  if (wl_raft_is_empty (raft) && !is_self_voter (raft))
    {
      if (raft->may_bootstrap && wl_raft_all_peers_are_empty (raft, now_us))
        wl_raft_bootstrap_group (raft, now_us, fx);
      return;
    }
  if (raft->role == WL_RAFT_LEADER)
    tick_leader (raft, now_us, fx);
  else if (is_self_voter (raft) && is_election_due (raft, now_us))
    start_pre_vote (raft, now_us, fx);
}

void
wl_raft_flush (WlRaft *raft, uint64_t now_us, WlEffects *fx)
{
  if (raft->role == WL_RAFT_LEADER && raft->needs_broadcast)
    broadcast (raft, now_us, fx);
}

int
wl_raft_receive (WlRaft *raft, uint32_t from, const WlMessage *message, uint64_t now_us,
                 WlEffects *fx)
{
  WlRaftPeer *peer = wl_raft_find_peer (raft, from);
  if (peer != NULL)
    peer->heard_us = now_us;
  switch (message->kind)
    {
    case WL_MESSAGE_VOTE_REQUEST:
      on_vote_request (raft, from, &message->u.vote_request, now_us, fx);
      return 1;
    case WL_MESSAGE_VOTE_REPLY:
      on_vote_reply (raft, &message->u.vote_reply, now_us, fx);
      return 1;
    case WL_MESSAGE_APPEND_REQUEST:
      on_append (raft, &message->u.append, now_us, fx);
      return 1;
    case WL_MESSAGE_APPEND_REPLY:
      on_append_reply (raft, &message->u.append_reply, now_us, fx);
      return 1;
    case WL_MESSAGE_SNAPSHOT_CHUNK:
      wl_raft_on_snapshot (raft, &message->u.snapshot, now_us, fx);
      return 1;
    case WL_MESSAGE_SNAPSHOT_REPLY:
      wl_raft_on_snapshot_reply (raft, &message->u.snapshot_reply, now_us, fx);
      return 1;
    case WL_MESSAGE_REPLICA_HELLO:
      wl_raft_on_hello (raft, from, &message->u.hello, now_us, fx);
      return 1;
    default:
      return 0;
    }
}

const WlLogEntry *
wl_raft_next_committed (WlRaft *raft)
{
  if (raft->applied >= raft->commit)
    return NULL;
  raft->applied++;
  return wl_raft_entry (raft, raft->applied);
}

uint32_t
wl_raft_count_disks (const WlRaft *raft)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < raft->n_voters; i++)
    n += raft->voters[i].incarnation != 0;
  return n;
}

int
wl_raft_is_ready (const WlRaft *raft, uint64_t now_us)
{
  int is_forming = raft->joined_us == 0 || now_us < raft->joined_us + WL_RAFT_FORMING_WAIT_US;
  return raft->role == WL_RAFT_LEADER && raft->commit >= raft->term_start
         && wl_raft_count_disks (raft) >= (is_forming ? raft->max_voters : raft->min_voters);
}
