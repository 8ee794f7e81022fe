#include <stdlib.h>
#include <string.h>
#include "wl_delta.h"
#include "wl_events.h"
#include "wl_session.h"

void
wl_session_init (WlSession *session, const WlSettings *settings)
{
  session->settings = settings;
  apr_pool_create (&session->pool, NULL);
}

void
wl_session_clear (WlSession *session)
{
  wl_services_destroy (session->services);
  free (session->config);
  free (session->members);
  free (session->cells);
  free (session->evacuations);
  apr_pool_destroy (session->pool);
}

int
wl_session_is_valid (const WlSession *session, uint64_t now_us)
{
  return session->services != NULL && now_us < session->lease_until_us;
}

uint32_t
wl_session_control_node (const WlSession *session)
{
  const WlSettings *s = session->settings;
  if (session->leader != 0)
    return session->leader;
  return s->n_control > 0 ? s->control_nodes[session->next_control % s->n_control] : 0;
}

void
wl_session_suspect_leader (WlSession *session)
{
  session->leader = 0;
  session->next_control++;
}

static void
send_renew (WlSession *session, uint64_t now_us, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_RENEW };
  m.u.renew.member = session->settings->self;
  m.u.renew.member.draining = session->draining;
  m.u.renew.incarnation = session->settings->incarnation;
  m.u.renew.sequence = ++session->sequence;
  m.u.renew.sent_us = now_us;
  m.u.renew.config_number = session->wants_full_config ? 0 : session->config_number;
  m.u.renew.directory_version = session->directory_version;
  m.u.renew.leaving = session->leaving;
  if (session->leaving && session->leave_sequence == 0)
    session->leave_sequence = session->sequence;
  wl_effects_send (fx, wl_session_control_node (session), &m);
  session->next_renewal_us = now_us + WL_RENEW_RETRY_US;
  session->awaits_reply = 1;
}

/* Detects and logs when the lease becomes valid or expires. */
static void
update_lease_state (WlSession *session, uint64_t now_us, WlEffects *fx)
{
  uint8_t valid = (uint8_t)wl_session_is_valid (session, now_us);
  if (valid == session->lease_was_valid)
    return;
  session->lease_was_valid = valid;
  session->generation++;
  wl_effects_log (fx, valid ? WL2105_LEASE_RENEWED : WL2104_LEASE_EXPIRED, "number=%lu",
                  (unsigned long)session->config_number);
}

void
wl_session_tick (WlSession *session, uint64_t now_us, WlEffects *fx)
{
  update_lease_state (session, now_us, fx);
  if (now_us < session->next_renewal_us)
    return;
  if (session->awaits_reply)
    wl_session_suspect_leader (session);
  send_renew (session, now_us, fx);
}

/* Parses and applies a full configuration. Returns 0 when it cannot be parsed. */
static int
adopt_config (WlSession *session, WlBytes config, uint64_t number, WlEffects *fx)
{
  WlFindings findings = { 0 };
  WlServices *services = NULL;
  wl_services_parse ((const char *)config.data, config.size, &findings, &services);
  wl_findings_clear (&findings);
  if (services == NULL)
    {
      wl_effects_log (fx, WL2106_CONFIG_UNREADABLE, "number=%lu", (unsigned long)number);
      return 0;
    }
  free (session->config);
  session->config = malloc (config.size + 1);
  if (session->config == NULL)
    abort ();
  memcpy (session->config, config.data, config.size);
  session->config[config.size] = '\0';
  session->config_size = config.size;
  wl_services_destroy (session->services);
  session->services = services;
  session->config_number = number;
  session->generation++;
  wl_effects_log (fx, WL2103_CONFIG_APPLIED, "number=%lu", (unsigned long)number);
  return 1;
}

/* Applies deltas to the current configuration; if one does not fit, requests the full one. */
static int
apply_deltas (WlSession *session, const WlLeaseRenewalReply *r, WlEffects *fx)
{
  WlBytes config = { session->config, session->config_size };
  uint64_t number = session->config_number;
  for (uint32_t i = 0; i < r->n_deltas; i++)
    {
      const WlConfigChange *d = &r->deltas[i];
      if (d->number <= number)
        continue;
      if (d->replaces != number || wl_delta_apply (config, d, fx->pool, &config) != WL_OK)
        {
          session->wants_full_config = 1;
          return 0;
        }
      number = d->number;
    }
  return number == session->config_number || adopt_config (session, config, number, fx);
}

static int
apply_config (WlSession *session, const WlLeaseRenewalReply *r, WlEffects *fx)
{
  if (r->config_number < session->config_number)
    return 1; /* an outdated reply: configuration numbers only increase */
  if (r->has_config && r->config_number > session->config_number)
    {
      if (!adopt_config (session, r->config, r->config_number, fx))
        return 0;
      session->wants_full_config = 0;
      return 1;
    }
  if (r->has_config)
    session->wants_full_config = 0;
  if (r->has_delta && !apply_deltas (session, r, fx))
    return 0;
  return session->config_number >= r->config_number;
}

static void *
copy_items (const void *items, size_t n, size_t size)
{
  void *out = malloc (n * size + 1);
  if (out == NULL)
    abort ();
  if (n > 0)
    memcpy (out, items, n * size);
  return out;
}

static void
apply_directory (WlSession *session, const WlLeaseRenewalReply *r)
{
  if (!r->has_directory || r->directory_version <= session->directory_version)
    return;
  free (session->members);
  free (session->cells);
  free (session->evacuations);
  session->members = copy_items (r->members, r->n_members, sizeof *r->members);
  session->n_members = r->n_members;
  session->cells = copy_items (r->cells, r->n_cells, sizeof *r->cells);
  session->n_cells = r->n_cells;
  session->evacuations = copy_items (r->evacuations, r->n_evacuations, sizeof *r->evacuations);
  session->n_evacuations = r->n_evacuations;
  session->directory_version = r->directory_version;
  session->generation++;
}

static void
on_renew_reply (WlSession *session, const WlLeaseRenewalReply *r, uint64_t now_us, WlEffects *fx)
{
  if (r->sequence > session->sequence || r->sent_us > now_us)
    return;
  uint64_t before = session->config_number;
  session->leader = r->leader;
  session->awaits_reply = 0;
  if (session->leave_sequence != 0 && r->sequence >= session->leave_sequence)
    session->has_left = 1;
  apply_directory (session, r);
  if (!apply_config (session, r, fx))
    {
      session->next_renewal_us = now_us + WL_RENEW_RETRY_US;
      return;
    }
  if (r->sent_us + WL_LEASE_US > session->lease_until_us)
    session->lease_until_us = r->sent_us + WL_LEASE_US;
  update_lease_state (session, now_us, fx);
  /* The next renewal, which is sent at once, acknowledges a new configuration. */
  session->next_renewal_us
      = session->config_number != before ? now_us : now_us + WL_RENEW_INTERVAL_US;
}

/* Switches to the leader that a follower named; if it knows none, to the next replica. */
static void
on_not_leader (WlSession *session, uint32_t from, uint32_t leader, uint64_t now_us)
{
  if (from != wl_session_control_node (session))
    return;
  wl_session_suspect_leader (session);
  if (leader != from)
    session->leader = leader;
  session->awaits_reply = 0;
  if (session->next_renewal_us > now_us + WL_RENEW_REDIRECT_US)
    session->next_renewal_us = now_us + WL_RENEW_REDIRECT_US;
}

int
wl_session_receive (WlSession *session, uint32_t from, const WlMessage *message, uint64_t now_us,
                    WlEffects *fx)
{
  switch (message->kind)
    {
    case WL_MESSAGE_RENEW_REPLY:
      on_renew_reply (session, &message->u.renew_reply, now_us, fx);
      return 1;
    case WL_MESSAGE_CONFIG_NOTICE:
      session->leader = from;
      if (message->u.notice.config_number > session->config_number
          || message->u.notice.directory_version > session->directory_version)
        send_renew (session, now_us, fx);
      return 1;
    case WL_MESSAGE_NOT_LEADER:
      on_not_leader (session, from, message->u.not_leader.leader, now_us);
      return 1;
    default:
      return 0;
    }
}

const WlCellLease *
wl_session_find_cell (const WlSession *session, const char *service, uint32_t shard)
{
  for (uint32_t i = 0; i < session->n_cells; i++)
    if (session->cells[i].shard == shard && strcmp (session->cells[i].service, service) == 0)
      return &session->cells[i];
  return NULL;
}

const WlMember *
wl_session_find_member (const WlSession *session, uint32_t node)
{
  for (uint32_t i = 0; i < session->n_members; i++)
    if (session->members[i].node == node)
      return &session->members[i];
  return NULL;
}
