#include <stdlib.h>
#include <string.h>
#include "wl_assign.h"
#include "wl_control.h"
#include "wl_control_internal.h"
#include "wl_delta.h"
#include "wl_events.h"
#include "wl_raft_log.h"
#include "wl_table.h"

/* Longest time that a lease can last on the leader's clock, given the drift bound. */
static const uint64_t LEASE_EXPIRY_BOUND_US
    = WL_LEASE_US + (uint64_t)WL_LEASE_US * WL_DRIFT_PPM / 1000000;

static void
parse_config (WlControl *control)
{
  WlFindings findings = { 0 };
  WlServices *services = NULL;
  wl_services_parse ((const char *)control->state->config.data, control->state->config.size,
                     &findings, &services);
  wl_findings_clear (&findings);
  wl_services_destroy (control->services);
  control->services = services;
}

static WlError
load_snapshot (WlControl *control)
{
  WlRaft *raft = &control->raft;
  raft->restored = 0;
  WlError error = wl_state_load (control->state, (WlBytes){ raft->snapshot, raft->snapshot_size });
  if (error == WL_OK && control->state->config_number > 0)
    parse_config (control);
  return error;
}

WlError
wl_control_create (const WlSettings *settings, const WlStoredState *stored, uint64_t now_us,
                   WlControl **out)
{
  WlControl *control = calloc (1, sizeof *control);
  if (control == NULL)
    return WL_ERROR_NO_MEMORY;
  control->settings = settings;
  apr_pool_create (&control->pool, NULL);
  control->entries = wl_table_create (control->pool);
  control->state = wl_state_create ();
  control->state->is_revertible = 1;
  wl_raft_init (&control->raft, settings, stored, now_us);
  *out = control;
  if (stored != NULL && stored->snapshot_index != control->raft.snapshot_index)
    return WL_ERROR_CORRUPT;
  return control->raft.restored ? load_snapshot (control) : WL_OK;
}

static void
clear_pending (WlControl *control)
{
  while (control->first_pending != NULL)
    {
      WlPendingProposal *p = control->first_pending;
      control->first_pending = p->next;
      free (p);
    }
  control->last_pending = NULL;
}

void
wl_control_destroy (WlControl *control)
{
  if (control == NULL)
    return;
  clear_pending (control);
  for (apr_hash_index_t *i = apr_hash_first (NULL, control->entries); i; i = apr_hash_next (i))
    free (apr_hash_this_val (i));
  wl_raft_clear (&control->raft);
  wl_state_destroy (control->state);
  wl_services_destroy (control->services);
  apr_pool_destroy (control->pool);
  free (control);
}

uint64_t
wl_control_lease_bound (const WlControl *control, uint32_t node)
{
  const WlEntryRecord *r = wl_table_get_id (control->entries, node);
  uint64_t bound = control->raft.elected_us + LEASE_EXPIRY_BOUND_US;
  return r != NULL && r->lease_until_us > bound ? r->lease_until_us : bound;
}

static WlEntryRecord *
get_entry_record (WlControl *control, uint32_t node)
{
  WlEntryRecord *r = wl_table_get_id (control->entries, node);
  if (r != NULL)
    return r;
  r = calloc (1, sizeof *r);
  if (r == NULL)
    abort ();
  r->node = node;
  wl_table_put_id (control->entries, &r->node, r);
  return r;
}

uint64_t
wl_control_propose (WlControl *control, WlCommand *command, const WlEvent *event, WlEffects *fx)
{
  command->time_us = event->wall_us;
  return wl_raft_propose (&control->raft, wl_command_encode (command, fx->pool), fx);
}

WlPendingProposal *
wl_control_add_pending (WlControl *control, uint64_t index, WlCommandKind kind)
{
  WlPendingProposal *p = calloc (1, sizeof *p);
  if (p == NULL)
    abort ();
  p->index = index;
  p->kind = kind;
  if (control->last_pending != NULL)
    control->last_pending->next = p;
  else
    control->first_pending = p;
  control->last_pending = p;
  return p;
}

static void
notify_entries (WlControl *control, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_CONFIG_NOTICE };
  m.u.notice.config_number = control->state->config_number;
  m.u.notice.directory_version = control->state->directory_version;
  for (uint32_t i = 0; i < control->state->n_members; i++)
    wl_effects_send (fx, control->state->members[i].node, &m);
}

/* ---- receipt roots ---- */

static void
on_root (WlControl *control, const WlReceiptRoot *root, const WlEvent *event, WlEffects *fx)
{
  WlCommand c = { .kind = WL_COMMAND_RECEIPT_ROOT };
  for (uint32_t i = 0; i < control->state->n_roots; i++)
    {
      const WlReceiptRoot *r = &control->state->roots[i];
      if (r->node == root->node && r->incarnation == root->incarnation
          && r->sequence >= root->sequence)
        return;
    }
  c.u.root = *root;
  wl_control_propose (control, &c, event, fx);
}

/* ---- renewals ---- */

static int
member_equals (const WlMember *a, const WlMember *b)
{
  return a->node == b->node && strcmp (a->address, b->address) == 0 && a->peer_port == b->peer_port
         && a->http_port == b->http_port && strcmp (a->domain, b->domain) == 0
         && a->draining == b->draining;
}

static void
record_membership (WlControl *control, WlEntryRecord *r, const WlLeaseRenewal *renew,
                   const WlEvent *event, WlEffects *fx)
{
  const WlMember *m = wl_state_find_member (control->state, renew->member.node);
  WlCommand c = { .kind = WL_COMMAND_MEMBER_PUT };
  if (r->membership_index > control->raft.applied)
    return; /* an earlier change of this member is not applied yet */
  if (renew->leaving && m != NULL)
    {
      c.kind = WL_COMMAND_MEMBER_REMOVE;
      wl_effects_log (fx, WL2202_MEMBER_REMOVED, "node=%u reason=left", m->node);
    }
  else if (renew->leaving || (m != NULL && member_equals (m, &renew->member)))
    return;
  else if (m == NULL)
    wl_effects_log (fx, WL2201_MEMBER_JOINED, "node=%u address=%s domain=%s", renew->member.node,
                    renew->member.address, renew->member.domain);
  c.u.member = renew->member;
  r->membership_index = wl_control_propose (control, &c, event, fx);
}

static void
on_renew (WlControl *control, const WlLeaseRenewal *renew, const WlEvent *event, WlEffects *fx)
{
  WlEntryRecord *r = get_entry_record (control, renew->member.node);
  if (r->incarnation == renew->incarnation && renew->sequence < r->sequence)
    return;
  r->incarnation = renew->incarnation;
  r->sequence = renew->sequence;
  r->sent_us = renew->sent_us;
  r->config_number = renew->config_number;
  r->directory_version = renew->directory_version;
  r->last_contact_us = event->now_us;
  r->draining = renew->member.draining;
  r->round = wl_raft_request_round (&control->raft);
  record_membership (control, r, renew, event, fx);
}

static void
add_config (WlControl *control, const WlEntryRecord *r, WlLeaseRenewalReply *reply, WlEffects *fx)
{
  const WlState *state = control->state;
  uint64_t behind
      = state->config_number > r->config_number ? state->config_number - r->config_number : 0;
  if (r->config_number > 0 && behind <= WL_RENEW_DELTAS_MAX
      && wl_recent_changes_cover (&state->recent_changes, r->config_number, state->config_number))
    {
      reply->has_delta = 1;
      reply->deltas = apr_pcalloc (fx->pool, behind * sizeof *reply->deltas);
      for (uint64_t n = r->config_number + 1; n <= state->config_number; n++)
        reply->deltas[reply->n_deltas++] = *wl_recent_changes_find (&state->recent_changes, n);
    }
  else if (behind > 0)
    {
      reply->has_config = 1;
      reply->config = state->config;
    }
}

static void
reply_renew (WlControl *control, WlEntryRecord *r, uint64_t now_us, WlEffects *fx)
{
  const WlState *state = control->state;
  WlMessage m = { .kind = WL_MESSAGE_RENEW_REPLY };
  WlLeaseRenewalReply *reply = &m.u.renew_reply;
  reply->sequence = r->sequence;
  reply->sent_us = r->sent_us;
  reply->leader = control->raft.self;
  reply->config_number = state->config_number;
  reply->directory_version = state->directory_version;
  add_config (control, r, reply, fx);
  if (r->directory_version != state->directory_version)
    {
      reply->has_directory = 1;
      reply->members = state->members;
      reply->n_members = state->n_members;
      reply->cells = state->cells;
      reply->n_cells = state->n_cells;
      reply->evacuations = state->evacuations;
      reply->n_evacuations = state->n_evacuations;
    }
  r->round = 0;
  r->lease_until_us = now_us + LEASE_EXPIRY_BOUND_US;
  wl_effects_send (fx, (uint32_t)r->node, &m);
}

static void
answer_renewals (WlControl *control, uint64_t now_us, WlEffects *fx)
{
  uint64_t confirmed = wl_raft_confirmed_round (&control->raft);
  if (!wl_raft_is_ready (&control->raft, now_us))
    return;
  /* An owner whose cell is being reassigned must not get a lease with the old directory. */
  if (control->assign_index > control->raft.applied)
    return;
  for (apr_hash_index_t *i = apr_hash_first (NULL, control->entries); i; i = apr_hash_next (i))
    {
      WlEntryRecord *r = apr_hash_this_val (i);
      if (r->round != 0 && confirmed >= r->round)
        reply_renew (control, r, now_us, fx);
    }
}

/* ---- queries ---- */

/* The lowest configuration number in use by an entry whose lease may be valid. */
static uint64_t
in_force_number (const WlControl *control, uint64_t now_us)
{
  uint64_t number = control->state->config_number;
  for (uint32_t i = 0; i < control->state->n_members; i++)
    {
      uint32_t node = control->state->members[i].node;
      const WlEntryRecord *r = wl_table_get_id (control->entries, node);
      uint64_t entry_number = r != NULL ? r->config_number : 0;
      if (now_us < wl_control_lease_bound (control, node) && entry_number < number)
        number = entry_number;
    }
  return number;
}

static void
on_query (WlControl *control, uint32_t from, const WlQuery *query, uint64_t now_us, WlEffects *fx)
{
  const WlState *state = control->state;
  WlMessage m = { .kind = WL_MESSAGE_QUERY_REPLY };
  WlQueryReply *q = &m.u.query_reply;
  q->id = query->id;
  q->has_config = (uint8_t)wl_state_config_at (state, query->number, fx->pool, &q->config);
  q->leader = control->raft.self;
  q->term = control->raft.term;
  q->commit = control->raft.commit;
  q->config_number = state->config_number;
  q->config_in_force = in_force_number (control, now_us);
  q->entries = apr_pcalloc (fx->pool, (state->n_members + 1) * sizeof *q->entries);
  for (uint32_t i = 0; i < state->n_members; i++)
    {
      const WlEntryRecord *r = wl_table_get_id (control->entries, state->members[i].node);
      WlEntryStatus *e = &q->entries[q->n_entries++];
      e->node = state->members[i].node;
      if (r == NULL)
        continue;
      e->config_number = r->config_number;
      e->last_contact_age_us = now_us - r->last_contact_us;
      e->lease_valid = now_us < r->lease_until_us;
    }
  q->voters = control->raft.voters;
  q->n_voters = control->raft.n_voters;
  q->roots = state->roots;
  q->n_roots = state->n_roots;
  q->n_claims = state->n_claims;
  q->evacuations = state->evacuations;
  q->n_evacuations = state->n_evacuations;
  wl_effects_send (fx, from, &m);
}

/* ---- applying and dispatch ---- */

static void
take_snapshot (WlControl *control, WlEffects *fx)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  WlRaft *raft = &control->raft;
  /* The snapshot must not contain voters that are not committed. */
  if (raft->group_index <= raft->applied)
    wl_raft_compact (raft, wl_state_save (control->state, raft->voters, raft->n_voters, pool), fx);
  apr_pool_destroy (pool);
}

static void
finish_pending (WlControl *control, uint64_t index, uint64_t now_us, WlEffects *fx)
{
  WlPendingProposal *p = control->first_pending;
  if (p == NULL || p->index != index)
    return;
  switch (p->kind)
    {
    case WL_COMMAND_CONFIG:
      wl_control_finish_submit (control, p, fx);
      break;
    case WL_COMMAND_CLAIM:
      wl_control_finish_claim (control, p, now_us, fx);
      break;
    case WL_COMMAND_CLAIM_END:
      wl_control_finish_claim_end (p, fx);
      break;
    case WL_COMMAND_EVACUATION:
      wl_control_finish_evacuate (control, p, fx);
      break;
    default:
      break;
    }
  control->first_pending = p->next;
  if (control->first_pending == NULL)
    control->last_pending = NULL;
  free (p);
}

static void
apply_entry (WlControl *control, const WlLogEntry *entry, const WlEvent *event, WlEffects *fx)
{
  apr_pool_t *pool;
  WlCommand command;
  uint64_t before = control->state->config_number;
  WlCommandKind kind = WL_COMMAND_NONE;
  apr_pool_create (&pool, NULL);
  if (wl_command_decode (entry->command, &command, pool) == WL_OK)
    {
      wl_state_apply (control->state, &command);
      kind = command.kind;
    }
  apr_pool_destroy (pool);
  int is_new_config = control->state->config_number != before;
  if (is_new_config)
    parse_config (control);
  if (control->raft.role != WL_RAFT_LEADER)
    return;
  if (is_new_config)
    wl_effects_log (fx, WL2101_CONFIG_COMMITTED, "number=%lu",
                    (unsigned long)control->state->config_number);
  if (is_new_config || kind == WL_COMMAND_CELL || kind == WL_COMMAND_EVACUATION)
    control->notify = 1;
  finish_pending (control, entry->index, event->now_us, fx);
}

static void
apply_committed (WlControl *control, const WlEvent *event, WlEffects *fx)
{
  const WlLogEntry *entry;
  if (control->raft.restored && load_snapshot (control) != WL_OK)
    abort ();
  if (control->raft.role != WL_RAFT_LEADER || control->leader_term != control->raft.term)
    clear_pending (control);
  control->leader_term = control->raft.role == WL_RAFT_LEADER ? control->raft.term : 0;
  while ((entry = wl_raft_next_committed (&control->raft)) != NULL)
    apply_entry (control, entry, event, fx);
  if (control->notify)
    notify_entries (control, fx);
  control->notify = 0;
  if (wl_raft_wants_snapshot (&control->raft))
    take_snapshot (control, fx);
}

static void
send_not_leader (const WlControl *control, uint32_t node, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_NOT_LEADER };
  m.u.not_leader.leader = control->raft.leader;
  wl_effects_send (fx, node, &m);
}

static int
is_for_leader (WlMessageKind kind)
{
  switch (kind)
    {
    case WL_MESSAGE_RENEW:
    case WL_MESSAGE_SUBMIT:
    case WL_MESSAGE_QUERY:
    case WL_MESSAGE_CLAIM:
    case WL_MESSAGE_CLAIM_END:
    case WL_MESSAGE_ROOT:
    case WL_MESSAGE_EVACUATE:
      return 1;
    default:
      return 0;
    }
}

static void
receive_as_leader (WlControl *control, uint32_t from, const WlMessage *message,
                   const WlEvent *event, WlEffects *fx)
{
  switch (message->kind)
    {
    case WL_MESSAGE_RENEW:
      on_renew (control, &message->u.renew, event, fx);
      break;
    case WL_MESSAGE_SUBMIT:
      wl_control_on_submit (control, &message->u.submit, event, fx);
      break;
    case WL_MESSAGE_QUERY:
      on_query (control, from, &message->u.query, event->now_us, fx);
      break;
    case WL_MESSAGE_CLAIM:
      wl_control_on_claim (control, from, &message->u.claim.record, event, fx);
      break;
    case WL_MESSAGE_CLAIM_END:
      wl_control_on_claim_end (control, from, &message->u.claim_end.record, event, fx);
      break;
    case WL_MESSAGE_EVACUATE:
      wl_control_on_evacuate (control, &message->u.evacuate, event, fx);
      break;
    case WL_MESSAGE_ROOT:
      on_root (control, &message->u.root.root, event, fx);
      break;
    default:
      break;
    }
}

int
wl_control_receive (WlControl *control, uint32_t from, const WlMessage *message,
                    const WlEvent *event, WlEffects *fx)
{
  if (wl_raft_receive (&control->raft, from, message, event->now_us, fx))
    {
      apply_committed (control, event, fx);
      answer_renewals (control, event->now_us, fx);
      return 1;
    }
  if (!is_for_leader (message->kind))
    return 0;
  if (control->raft.role != WL_RAFT_LEADER)
    send_not_leader (control, from, fx);
  else if (wl_raft_is_ready (&control->raft, event->now_us))
    receive_as_leader (control, from, message, event, fx);
  return 1;
}

void
wl_control_flush (WlControl *control, const WlEvent *event, WlEffects *fx)
{
  wl_raft_flush (&control->raft, event->now_us, fx);
  apply_committed (control, event, fx);
  answer_renewals (control, event->now_us, fx);
}

void
wl_control_tick (WlControl *control, const WlEvent *event, WlEffects *fx)
{
  wl_raft_tick (&control->raft, event->now_us, fx);
  apply_committed (control, event, fx);
  if (event->now_us < control->next_tick_us)
    return;
  control->next_tick_us = event->now_us + WL_CONTROL_TICK_US;
  if (!wl_raft_is_ready (&control->raft, event->now_us))
    return;
  wl_assign_cells (control, event, fx);
  wl_assign_remove_unresponsive (control, event, fx);
}
