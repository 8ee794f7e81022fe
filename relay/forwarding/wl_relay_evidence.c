#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/* Evidence for and against parts of prompts, from attempts of this node: see wl_quarantine.h. */

enum
{
  PARTS_TEXT_SIZE = WL_QUARANTINE_PARTS_MAX * 17 + 1, /* 16 digits and a comma for each */
  SAME_END_US = 1000000, /* connections to one engine that end within this ended with it */
};

uint64_t
wl_relay_hash_name (const char *name)
{
  return XXH64 (name, strlen (name), 0);
}

void
wl_relay_begin_parts (WlRelayRequest *r, uint64_t now_us)
{
  if (!r->service->has_engine || r->info.parts.n == 0)
    return;
  r->part_use = (WlPartUse){
    .service = wl_relay_hash_name (r->service->name),
    .route = wl_relay_hash_name (r->route->name),
    .customer = r->customer != NULL ? wl_relay_hash_name (r->customer->name) : 0,
    .parts = &r->info.parts,
  };
  wl_quarantine_note_request (r->relay->quarantine, &r->part_use, now_us);
}

/* ---- suspects ---- */

/* A suspect by the current attempt; its use must not outlive the request. */
static WlRelaySuspect
make_suspect (const WlRelayRequest *r, uint64_t now_us)
{
  WlRelaySuspect s = { .endpoint = r->target.key,
                       .at_us = now_us,
                       .has_output = r->output_us > 0,
                       .parts = r->info.parts,
                       .use = r->part_use };
  snprintf (s.endpoint_id, sizeof s.endpoint_id, "%s", r->target.id);
  snprintf (s.service, sizeof s.service, "%.*s", WL_LABEL_SIZE - 1, r->service->name);
  snprintf (s.request, sizeof s.request, "%.*s", WL_LABEL_SIZE - 1,
            r->info.id != NULL ? r->info.id : "-");
  return s;
}

static void
write_parts (const WlPromptParts *parts, char *out, size_t size)
{
  size_t used = 0;
  out[0] = '\0';
  for (uint32_t i = 0; i < parts->n && used < size; i++)
    used += (size_t)snprintf (out + used, size - used, "%s%" PRIx64, i > 0 ? "," : "",
                              parts->ids[i]);
}

static void
log_changes (WlRelay *relay, const char *request, const char *endpoint, uint64_t now_us)
{
  char cause[2 * WL_LABEL_SIZE + 32];
  snprintf (cause, sizeof cause, "request=%s endpoint=%s", request, endpoint);
  wl_relay_log_parts (relay, cause, now_us);
}

static void
note_suspect (WlRelay *relay, const WlRelaySuspect *s, uint64_t now_us)
{
  char parts[PARTS_TEXT_SIZE];
  WlPartUse use = s->use;
  use.parts = &s->parts;
  write_parts (&s->parts, parts, sizeof parts);
  wl_log_eventf (WL4013_REQUEST_SUSPECTED, "endpoint=%s request=%s service=%s begun=%d parts=%s",
                 s->endpoint_id, s->request, s->service, s->has_output, parts);
  wl_quarantine_note_end (relay->quarantine, s->endpoint, &use, now_us);
  log_changes (relay, s->request, s->endpoint_id, now_us);
}

/* ---- ends of engines ---- */

static int
is_near (uint64_t a_us, uint64_t b_us)
{
  return (a_us > b_us ? a_us - b_us : b_us - a_us) < SAME_END_US;
}

static int
has_ended (const WlRelay *relay, uint64_t endpoint, uint64_t at_us)
{
  for (uint32_t i = 0; i < WL_RELAY_ENDS_MAX; i++)
    if (relay->ends[i].endpoint == endpoint && is_near (relay->ends[i].at_us, at_us))
      return 1;
  return 0;
}

/* Records that an engine ended. Short responses that it seemed to complete then are suspects. */
static void
note_engine_end (WlRelay *relay, uint64_t endpoint, uint64_t at_us, uint64_t now_us)
{
  if (!has_ended (relay, endpoint, at_us))
    relay->ends[relay->n_ends++ % WL_RELAY_ENDS_MAX] = (WlRelayEnd){ endpoint, at_us };
  for (uint32_t i = 0; i < WL_RELAY_ENDS_MAX; i++)
    {
      WlRelaySuspect *s = &relay->short_responses[i];
      if (s->endpoint != endpoint || !is_near (s->at_us, at_us))
        continue;
      note_suspect (relay, s, now_us);
      s->endpoint = 0;
    }
}

/* Whether the end of the current attempt's engine would need a cause: it has not announced it. */
static int
is_at_working_engine (const WlRelayRequest *r)
{
  const WlEndpoint *e = wl_relay_current_endpoint (r);
  return r->service->has_engine && (e == NULL || (!e->record.is_draining && !e->record.has_left));
}

/* Whether the current attempt had output for long enough to show that the parts are sound. */
static int
has_sound_output (const WlRelayRequest *r, uint64_t now_us)
{
  return r->output_us > 0 && now_us >= r->output_us + WL_QUARANTINE_SOUND_AFTER_US;
}

/* A connection that breaks before half of the prompt can have been read need not be an end. */
void
wl_relay_note_broken (WlRelayRequest *r, uint64_t now_us)
{
  int has_failed = r->status >= 300 || r->is_aborted; /* an error, or not to be used here */
  if (!is_at_working_engine (r) || has_failed
      || (r->output_us == 0 && now_us < r->sent_us + r->choice.part_us / 2))
    return;
  if (r->part_use.parts != NULL && !has_sound_output (r, now_us))
    {
      WlRelaySuspect s = make_suspect (r, now_us);
      note_suspect (r->relay, &s, now_us);
    }
  note_engine_end (r->relay, r->target.key, now_us, now_us);
}

void
wl_relay_note_refused (WlRelayRequest *r, uint64_t now_us)
{
  if (is_at_working_engine (r))
    note_engine_end (r->relay, r->target.key, now_us, now_us);
}

void
wl_relay_note_reported_ends (WlRelay *relay, const WlPartReport *report, uint64_t now_us)
{
  for (uint32_t i = 0; i < report->n_ends; i++)
    if (report->ends[i].age_us < SAME_END_US && report->ends[i].endpoint != 0
        && !report->ends[i].is_restored)
      note_engine_end (relay, report->ends[i].endpoint, now_us - report->ends[i].age_us, now_us);
}

/* ---- sound responses ---- */

static void
note_sound (WlRelayRequest *r, uint64_t now_us)
{
  if (r->part_use.parts == NULL || r->is_sound)
    return;
  r->is_sound = 1;
  wl_quarantine_note_sound (r->relay->quarantine, &r->part_use, now_us);
  log_changes (r->relay, r->info.id != NULL ? r->info.id : "-", r->target.id, now_us);
}

void
wl_relay_note_output (WlRelayRequest *r, uint64_t now_us)
{
  if (r->output_us == 0)
    r->output_us = now_us;
  else if (r->status < 300 && has_sound_output (r, now_us))
    note_sound (r, now_us);
}

/* A short response whose end is not marked is complete, or its engine ended. */
static void
note_short_response (WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  WlRelaySuspect s = make_suspect (r, now_us);
  if (r->part_use.parts == NULL || !is_at_working_engine (r))
    return;
  if (has_ended (relay, s.endpoint, now_us))
    note_suspect (relay, &s, now_us);
  else
    relay->short_responses[relay->n_short_responses++ % WL_RELAY_ENDS_MAX] = s;
}

void
wl_relay_note_complete (WlRelayRequest *r, uint64_t now_us)
{
  if (r->status >= 300)
    return;
  if (r->has_marked_end)
    note_sound (r, now_us);
  else if (!has_sound_output (r, now_us))
    note_short_response (r, now_us);
}
