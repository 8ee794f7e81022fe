#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/* Refuses and ends requests whose parts are quarantined, and logs which parts are. */

enum
{
  CAUSE_SIZE = 32,
  NAME_SIZE = 24,                 /* a hash in place of a name that is not known any more */
  ENDPOINTS_TEXT_SIZE = 320,      /* of the endpoints of one part in a log line */
  TRIAL_RETRY_AFTER_US = 1000000, /* Retry-After while a trial is due but has to wait */
};

/* ---- log of the quarantine's changes ---- */

static const char *
service_name (const WlRelay *relay, uint64_t hash, char *out)
{
  for (uint32_t i = 0; relay->routes != NULL && i < relay->routes->n_services; i++)
    if (wl_relay_hash_name (relay->routes->services[i].name) == hash)
      return relay->routes->services[i].name;
  snprintf (out, NAME_SIZE, "%" PRIx64, hash);
  return out;
}

static const char *
customer_name (const WlRelay *relay, uint64_t hash, char *out)
{
  if (hash == 0)
    return "all";
  for (uint32_t i = 0; relay->routes != NULL && i < relay->routes->n_customers; i++)
    if (wl_relay_hash_name (relay->routes->customers[i].name) == hash)
      return relay->routes->customers[i].name;
  snprintf (out, NAME_SIZE, "%" PRIx64, hash);
  return out;
}

/* Lists the endpoints whose ends speak against a part, as far as there is room. */
static void
write_endpoints (const WlRelay *relay, const WlQuarantinedPart *part, char *out, size_t size)
{
  uint64_t keys[WL_QUARANTINE_ENDS_MAX];
  uint32_t n = wl_quarantine_list_endpoints (relay->quarantine, part->part, part->service, keys,
                                             WL_QUARANTINE_ENDS_MAX);
  size_t used = 0;
  out[0] = '\0';
  for (uint32_t i = 0; i < n; i++)
    {
      char id[WL_LABEL_SIZE];
      const WlEndpoint *e = wl_fleet_find_key (relay->options.fleet, keys[i]);
      if (e != NULL)
        snprintf (id, sizeof id, "%s", e->record.id);
      else
        snprintf (id, sizeof id, "%" PRIx64, keys[i]);
      if (used + strlen (id) + 2 > size)
        return;
      used += (size_t)snprintf (out + used, size - used, "%s%s", used > 0 ? "," : "", id);
    }
}

static void
log_quarantined (const WlRelay *relay, const WlQuarantinedPart *part, const char *cause)
{
  char endpoints[ENDPOINTS_TEXT_SIZE];
  char service[NAME_SIZE];
  char customer[NAME_SIZE];
  write_endpoints (relay, part, endpoints, sizeof endpoints);
  wl_log_eventf (WL4014_PART_QUARANTINED,
                 "part=%" PRIx64 " service=%s customer=%s ends=%u endpoints=%s trials=%u "
                 "age_ms=%" PRIu64 " trial_ms=%" PRIu64 " %s",
                 part->part, service_name (relay, part->service, service),
                 customer_name (relay, part->customer, customer), part->n_ends, endpoints,
                 part->n_trials, part->age_us / 1000, part->trial_us / 1000, cause);
}

static const WlQuarantinedPart *
find_part (const WlQuarantinedPart *parts, uint32_t n, const WlQuarantinedPart *part)
{
  for (uint32_t i = 0; i < n; i++)
    if (parts[i].part == part->part && parts[i].service == part->service)
      return &parts[i];
  return NULL;
}

void
wl_relay_log_parts (WlRelay *relay, const char *cause, uint64_t now_us)
{
  WlPartReport report;
  char service[NAME_SIZE];
  if (wl_quarantine_n_entries (relay->quarantine) + relay->n_logged_parts == 0)
    return;
  wl_quarantine_full_report (relay->quarantine, now_us, &report);
  for (uint32_t i = 0; i < report.n_quarantined; i++)
    {
      const WlQuarantinedPart *part = &report.quarantined[i];
      const WlQuarantinedPart *logged
          = find_part (relay->logged_parts, relay->n_logged_parts, part);
      if (logged == NULL || logged->customer != part->customer)
        log_quarantined (relay, part, cause);
    }
  for (uint32_t i = 0; i < relay->n_logged_parts; i++)
    {
      const WlQuarantinedPart *part = &relay->logged_parts[i];
      if (find_part (report.quarantined, report.n_quarantined, part) == NULL)
        wl_log_eventf (WL4015_PART_RELEASED, "part=%" PRIx64 " service=%s trials=%u %s", part->part,
                       service_name (relay, part->service, service), part->n_trials, cause);
    }
  relay->n_logged_parts = report.n_quarantined;
  if (report.n_quarantined > 0)
    memcpy (relay->logged_parts, report.quarantined,
            report.n_quarantined * sizeof *report.quarantined);
}

/* ---- refusals ---- */

const char *
wl_relay_part_text (const WlRelayRequest *r, char *out, size_t size)
{
  const WlQuarantineAnswer *a = &r->quarantine_answer;
  out[0] = '\0';
  if (a->verdict != WL_QUARANTINE_ADMIT)
    snprintf (out, size, " part=%" PRIx64 " since_ms=%" PRIu64 " ends=%u", a->part,
              a->age_us / 1000, a->n_ends);
  return out;
}

/* A retried or resumed request is no trial: what it did at other endpoints is not known. */
static int
may_try (const WlRelayRequest *r, uint64_t part)
{
  const WlRelayOptions *options = &r->relay->options;
  return r->phase == WL_RELAY_WAITING && r->attempts == 0 && options->may_try_part != NULL
         && options->may_try_part (options->data, part);
}

static WlQuarantineVerdict
check (WlRelayRequest *r, uint64_t now_us)
{
  WlQuarantine *q = r->relay->quarantine;
  r->quarantine_answer = (WlQuarantineAnswer){ .verdict = WL_QUARANTINE_ADMIT };
  if (r->part_use.parts == NULL || wl_quarantine_n_entries (q) == 0)
    return WL_QUARANTINE_ADMIT;
  r->quarantine_answer = wl_quarantine_check (q, &r->part_use, 0, now_us);
  if (r->quarantine_answer.verdict == WL_QUARANTINE_REFUSE
      && may_try (r, r->quarantine_answer.part))
    r->quarantine_answer = wl_quarantine_check (q, &r->part_use, 1, now_us);
  return r->quarantine_answer.verdict;
}

static void
refuse (WlRelayRequest *r)
{
  uint64_t trial_us = r->quarantine_answer.trial_us;
  wl_relay_refuse (r, trial_us > 0 ? trial_us : TRIAL_RETRY_AFTER_US, WL_REASON_QUARANTINED);
}

int
wl_relay_refuse_quarantined (WlRelayRequest *r, uint64_t now_us)
{
  if (check (r, now_us) != WL_QUARANTINE_REFUSE)
    return 0;
  refuse (r);
  return 1;
}

int
wl_relay_refuse_trial (WlRelayRequest *r, uint64_t now_us)
{
  const WlQuarantineAnswer *a = &r->quarantine_answer;
  if (a->verdict != WL_QUARANTINE_TRIAL)
    return 0;
  if (r->choice.result != WL_CHOICE_PLACED
      || (!a->is_overdue
          && wl_load_sum (r->relay->options.load, r->choice.endpoint->key, now_us).n_items > 0))
    {
      refuse (r);
      return 1;
    }
  return 0;
}

void
wl_relay_begin_trial (WlRelayRequest *r, uint64_t now_us)
{
  const WlQuarantineAnswer *a = &r->quarantine_answer;
  if (a->verdict != WL_QUARANTINE_TRIAL)
    return;
  r->is_trial = 1;
  wl_log_eventf (WL4016_PART_TRIED,
                 "part=%" PRIx64 " request=%s endpoint=%s since_ms=%" PRIu64 " ends=%u", a->part,
                 r->info.id != NULL ? r->info.id : "-", r->choice.endpoint->record.id,
                 a->age_us / 1000, a->n_ends);
  wl_quarantine_begin_trial (r->relay->quarantine, &r->part_use, now_us);
  wl_relay_log_parts (r->relay, "", now_us); /* nothing yet; the line on a release has the trials */
}

int
wl_relay_is_quarantined (WlRelayRequest *r, uint64_t now_us)
{
  return check (r, now_us) != WL_QUARANTINE_ADMIT;
}

/* Whether an attempt is at an endpoint and has output: then the request goes on. */
static int
is_writing (const WlRelayRequest *r)
{
  return r->fetch != NULL && r->output_us > 0;
}

void
wl_relay_end_quarantined (WlRelay *relay, uint64_t now_us)
{
  uint64_t generation = wl_quarantine_generation (relay->quarantine);
  if (generation == relay->quarantine_generation)
    return;
  relay->quarantine_generation = generation;
  for (WlRelayRequest *r = relay->requests; r != NULL;)
    {
      WlRelayRequest *next = r->next; /* a refusal frees at most its own request */
      if (!r->is_parked && !r->is_trial && !is_writing (r)
          && check (r, now_us) != WL_QUARANTINE_ADMIT)
        {
          r->may_have_run |= r->fetch != NULL;
          refuse (r);
        }
      r = next;
    }
}

/* ---- other nodes ---- */

WlQuarantine *
wl_relay_quarantine (WlRelay *relay)
{
  return relay->quarantine;
}

void
wl_relay_apply_part_report (WlRelay *relay, uint32_t node, const WlPartReport *report,
                            uint64_t now_us)
{
  char cause[CAUSE_SIZE];
  wl_quarantine_apply (relay->quarantine, report, now_us);
  snprintf (cause, sizeof cause, "peer=%u", node);
  wl_relay_log_parts (relay, cause, now_us);
  wl_relay_note_reported_ends (relay, report, now_us);
  wl_relay_end_quarantined (relay, now_us);
}

void
wl_relay_restore_parts (WlRelay *relay, const WlPartReport *report, uint64_t unsaved_us,
                        uint64_t now_us)
{
  wl_quarantine_restore (relay->quarantine, report, unsaved_us, now_us);
  wl_relay_log_parts (relay, "reason=restored", now_us);
}

void
wl_relay_expire_parts (WlRelay *relay, uint64_t now_us)
{
  wl_quarantine_expire (relay->quarantine, now_us);
  wl_relay_log_parts (relay, "reason=unused", now_us);
}
