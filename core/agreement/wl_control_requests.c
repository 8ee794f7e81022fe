#include <string.h>
#include "wl_control_internal.h"
#include "wl_delta.h"
#include "wl_events.h"
#include "wl_table.h"

/* Submissions, evacuations and claims: requests to the leader that need a committed log entry. */

static void
reply_submit (WlControl *control, uint32_t node, uint64_t id, WlSubmitOutcome outcome,
              const WlAcceptedConfig *accepted, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_SUBMIT_REPLY };
  m.u.submit_reply.id = id;
  m.u.submit_reply.outcome = (uint8_t)outcome;
  m.u.submit_reply.current = control->state->config_number;
  if (accepted != NULL)
    {
      m.u.submit_reply.number = accepted->number;
      memcpy (m.u.submit_reply.digest, accepted->digest, WL_DIGEST_SIZE);
    }
  wl_effects_send (fx, node, &m);
}

/*
 * Answers a submission whose number is in use already: accepted when it repeats the
 * accepted one, else a conflict. Returns 0 when the number is not in use.
 */
static int
answer_from_history (WlControl *control, uint32_t node, uint64_t id, uint64_t replaces,
                     const uint8_t *digest, WlEffects *fx)
{
  const WlAcceptedConfig *a = wl_state_find_accepted (control->state, replaces + 1);
  if (a != NULL)
    {
      int same = memcmp (a->digest, digest, WL_DIGEST_SIZE) == 0;
      if (!same)
        wl_effects_log (fx, WL2102_CONFIG_CONFLICT, "number=%lu", (unsigned long)a->number);
      reply_submit (control, node, id, same ? WL_SUBMIT_ACCEPTED : WL_SUBMIT_CONFLICT, a, fx);
      return 1;
    }
  if (replaces < control->state->config_number)
    {
      reply_submit (control, node, id, WL_SUBMIT_TOO_OLD, NULL, fx);
      return 1;
    }
  return 0;
}

static int
config_is_valid (WlBytes config)
{
  WlFindings findings = { 0 };
  WlServices *services = NULL;
  WlError error = wl_services_parse ((const char *)config.data, config.size, &findings, &services);
  wl_findings_clear (&findings);
  wl_services_destroy (services);
  return error == WL_OK;
}

void
wl_control_on_submit (WlControl *control, const WlSubmit *s, const WlEvent *event, WlEffects *fx)
{
  uint8_t digest[WL_DIGEST_SIZE];
  wl_digest (s->config, digest);
  if (answer_from_history (control, s->node, s->id, s->replaces, digest, fx))
    return;
  if (!config_is_valid (s->config))
    {
      reply_submit (control, s->node, s->id, WL_SUBMIT_INVALID, NULL, fx);
      return;
    }
  /* A submission that replaces a number higher than the current one goes through the
     log too, so that the conflict is answered from a state confirmed to be current. */
  WlCommand c = { .kind = WL_COMMAND_CONFIG };
  wl_delta_make (control->state->config, s->config, fx->pool, &c.u.config);
  c.u.config.replaces = s->replaces;
  c.u.config.number = s->replaces + 1;
  WlPendingProposal *p = wl_control_add_pending (
      control, wl_control_propose (control, &c, event, fx), WL_COMMAND_CONFIG);
  p->id = s->id;
  p->node = s->node;
  p->replaces = s->replaces;
  memcpy (p->digest, digest, WL_DIGEST_SIZE);
}

void
wl_control_finish_submit (WlControl *control, const WlPendingProposal *p, WlEffects *fx)
{
  if (answer_from_history (control, p->node, p->id, p->replaces, p->digest, fx))
    return;
  const WlAcceptedConfig *a
      = wl_state_find_accepted (control->state, control->state->config_number);
  reply_submit (control, p->node, p->id,
                p->replaces == control->state->config_number ? WL_SUBMIT_UNAVAILABLE
                                                             : WL_SUBMIT_CONFLICT,
                a, fx);
}

/* ---- evacuations ---- */

/* Each goes through the log, so that it is answered from a state confirmed to be current. */
void
wl_control_on_evacuate (WlControl *control, const WlEvacuate *e, const WlEvent *event,
                        WlEffects *fx)
{
  WlCommand c = { .kind = WL_COMMAND_EVACUATION };
  if (e->domain[0] == '\0')
    return;
  strcpy (c.u.evacuation.domain, e->domain);
  c.u.evacuation.sequence = e->sequence;
  c.u.evacuation.is_active = !e->is_finish;
  WlPendingProposal *p = wl_control_add_pending (
      control, wl_control_propose (control, &c, event, fx), WL_COMMAND_EVACUATION);
  p->id = e->id;
  p->node = e->node;
  p->evacuation = c.u.evacuation;
}

/*
 * Accepted if the domain was in the wanted state already, or if this request, or a copy of it, made
 * the latest change.
 */
void
wl_control_finish_evacuate (WlControl *control, const WlPendingProposal *p, WlEffects *fx)
{
  const WlEvacuation *wanted = &p->evacuation;
  WlEvacuation e = wl_state_evacuation (control->state, wanted->domain);
  int is_done = e.is_active == wanted->is_active
                && (e.sequence == wanted->sequence || e.sequence == wanted->sequence + 1);
  reply_submit (control, p->node, p->id, is_done ? WL_SUBMIT_ACCEPTED : WL_SUBMIT_CONFLICT, NULL,
                fx);
}

/* ---- claims ---- */

/* Whether the entry that holds a claim has restarted or has no valid lease any more. */
static int
holder_lost_lease (const WlControl *control, const WlClaimRecord *r, uint64_t now_us)
{
  const WlEntryRecord *entry = wl_table_get_id (control->entries, r->node);
  if (entry != NULL && entry->last_contact_us > 0 && entry->incarnation != r->incarnation)
    return 1;
  return now_us >= wl_control_lease_bound (control, r->node);
}

static void
reply_claim (WlControl *control, uint32_t node, uint64_t id, const WlClaimRecord *record,
             uint64_t now_us, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_CLAIM_REPLY };
  m.u.claim_reply.id = id;
  m.u.claim_reply.record = *record;
  m.u.claim_reply.granted = record->request == id && record->status == WL_CLAIM_IN_FLIGHT;
  if (record->status == WL_CLAIM_IN_FLIGHT && !m.u.claim_reply.granted
      && holder_lost_lease (control, record, now_us))
    m.u.claim_reply.record.status = WL_CLAIM_UNKNOWN;
  wl_effects_send (fx, node, &m);
}

void
wl_control_on_claim (WlControl *control, uint32_t from, const WlClaimRecord *r,
                     const WlEvent *event, WlEffects *fx)
{
  const WlClaimRecord *held = wl_state_find_claim (control->state, r->customer, r->key);
  if (held != NULL && held->status != WL_CLAIM_NOT_RUN)
    {
      reply_claim (control, from, r->request, held, event->now_us, fx);
      return;
    }
  WlCommand c = { .kind = WL_COMMAND_CLAIM };
  c.u.claim = *r;
  c.u.claim.expires_us = event->wall_us + control->settings->claim_retention_us;
  WlPendingProposal *p = wl_control_add_pending (
      control, wl_control_propose (control, &c, event, fx), WL_COMMAND_CLAIM);
  p->id = r->request;
  p->node = from;
  strcpy (p->customer, r->customer);
  strcpy (p->key, r->key);
}

void
wl_control_finish_claim (WlControl *control, const WlPendingProposal *p, uint64_t now_us,
                         WlEffects *fx)
{
  const WlClaimRecord *held = wl_state_find_claim (control->state, p->customer, p->key);
  if (held != NULL)
    reply_claim (control, p->node, p->id, held, now_us, fx);
}

void
wl_control_on_claim_end (WlControl *control, uint32_t from, const WlClaimRecord *r,
                         const WlEvent *event, WlEffects *fx)
{
  WlCommand c = { .kind = WL_COMMAND_CLAIM_END };
  c.u.claim = *r;
  WlPendingProposal *p = wl_control_add_pending (
      control, wl_control_propose (control, &c, event, fx), WL_COMMAND_CLAIM_END);
  p->id = r->request;
  p->node = from;
}

void
wl_control_finish_claim_end (const WlPendingProposal *p, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_CLAIM_END_REPLY };
  m.u.claim_end_reply.id = p->id;
  wl_effects_send (fx, p->node, &m);
}
