#include <stdlib.h>
#include <string.h>
#include "wl_replay_internal.h"

/* Parts of prompts: the kind's, one of a customer's sessions', or the bad one. */

enum
{
  CUSTOMERS = 10,
  SESSIONS = 4, /* of a customer */
  SERVICE = 1,
  BAD_PART = 0xbad,
  ENDS_KNOWN = 5, /* from this end on arrivals count */
  STABLE_US = 3000000,
};

uint32_t
wl_replay_chance (WlReplay *r, uint32_t n)
{
  /* splitmix64 */
  uint64_t z = r->chance += 0x9e3779b97f4a7c15;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
  z = (z ^ z >> 27) * 0x94d049bb133111eb;
  return (uint32_t)((z ^ z >> 31) % n);
}

void
wl_replay_parts_create (WlReplay *r)
{
  const WlReplayParts *plan = r->plan->parts;
  if (plan == NULL)
    return;
  r->chance = r->plan->seed;
  for (uint32_t i = 0; i < r->n_callers; i++)
    {
      WlReplayCaller *c = &r->callers[i];
      c->customer = 1 + wl_replay_chance (r, CUSTOMERS);
      c->is_bad = c->kind == plan->kind && c->asked_us >= plan->from_us && plan->bad_one_in > 0
                  && wl_replay_chance (r, plan->bad_one_in) == 0;
      c->second_part
          = c->is_bad ? BAD_PART : 0x1000 + c->customer * 0x100 + wl_replay_chance (r, SESSIONS);
    }
  for (uint32_t node = 0; node < r->plan->n_nodes && plan->has_quarantine; node++)
    r->quarantines[node] = wl_quarantine_create ();
}

static void
free_report (WlPartReport *report)
{
  for (uint32_t i = 0; i < report->n_ends; i++)
    free (report->ends[i].suspects);
  free (report->ends);
  free (report->sound);
  free (report->quarantined);
  free (report);
}

void
wl_replay_parts_destroy (WlReplay *r)
{
  for (uint32_t node = 0; node < r->plan->n_nodes; node++)
    wl_quarantine_destroy (r->quarantines[node]);
}

/* ---- reports ---- */

static void *
copy (const void *items, size_t size)
{
  void *out = malloc (size + 1);
  if (out == NULL)
    abort ();
  if (size > 0)
    memcpy (out, items, size);
  return out;
}

static WlPartReport *
copy_report (const WlPartReport *from)
{
  WlPartReport *report = copy (from, sizeof *from);
  report->ends = copy (from->ends, from->n_ends * sizeof *from->ends);
  for (uint32_t i = 0; i < from->n_ends; i++)
    report->ends[i].suspects
        = copy (from->ends[i].suspects, from->ends[i].n_suspects * sizeof *from->ends[i].suspects);
  report->sound = copy (from->sound, from->n_sound * sizeof *from->sound);
  report->quarantined = copy (from->quarantined, from->n_quarantined * sizeof *from->quarantined);
  return report;
}

/* Sends what a node has to tell the others. */
static void
tell (WlReplay *r, uint32_t node)
{
  WlPartReport report;
  while (wl_quarantine_take_report (r->quarantines[node], r->now_us, &report))
    {
      WlReplayEvent e = { .at_us = r->now_us + WL_REPLAY_HOP_US,
                          .kind = WL_REPLAY_AT_REPORT,
                          .node = node,
                          .report = copy_report (&report) };
      wl_replay_push (r, &e);
    }
}

void
wl_replay_parts_take_report (WlReplay *r, const WlReplayEvent *event)
{
  for (uint32_t node = 0; node < r->plan->n_nodes; node++)
    if (node != event->node)
      {
        wl_quarantine_apply (r->quarantines[node], event->report, r->now_us);
        tell (r, node);
      }
  free_report (event->report);
}

/* ---- requests and engines ---- */

static WlPartUse
use_of (const WlReplayCaller *c, WlPromptParts *parts)
{
  *parts = (WlPromptParts){ .ids = { 1 + c->kind, c->second_part }, .n = 2 };
  return (WlPartUse){
    .service = SERVICE, .route = 1 + c->kind, .customer = c->customer, .parts = parts
  };
}

void
wl_replay_parts_ask (WlReplay *r, const WlReplayCaller *c)
{
  WlPromptParts parts;
  WlPartUse use = use_of (c, &parts);
  if (r->quarantines[c->node] != NULL)
    wl_quarantine_note_request (r->quarantines[c->node], &use, r->now_us);
}

int
wl_replay_parts_refuses (WlReplay *r, const WlReplayCaller *c)
{
  WlPromptParts parts;
  WlPartUse use = use_of (c, &parts);
  if (r->quarantines[c->node] == NULL
      || wl_quarantine_check (r->quarantines[c->node], &use, 0, r->now_us).verdict
             == WL_QUARANTINE_ADMIT)
    return 0;
  r->result.parts.n_sound_refused += !c->is_bad;
  return 1;
}

void
wl_replay_parts_note_arrival (WlReplay *r, const WlReplayCaller *c)
{
  if (!c->is_bad)
    return;
  r->result.parts.n_arrivals++;
  r->result.parts.n_late += r->known_us != 0 && r->now_us > r->known_us + STABLE_US;
}

void
wl_replay_parts_note_event (WlReplay *r, WlReplayCaller *c, int is_last)
{
  WlPromptParts parts;
  WlPartUse use = use_of (c, &parts);
  if (c->begun_us == 0)
    c->begun_us = r->now_us;
  if (c->is_sound || r->quarantines[c->node] == NULL
      || (!is_last && r->now_us < c->begun_us + WL_QUARANTINE_SOUND_AFTER_US))
    return;
  c->is_sound = 1;
  wl_quarantine_note_sound (r->quarantines[c->node], &use, r->now_us);
  tell (r, c->node);
}

static int
is_suspect (const WlReplay *r, const WlReplayCaller *c, uint32_t engine)
{
  if (c->n_targets == 0 || c->targets[0] != engine || r->quarantines[c->node] == NULL)
    return 0;
  return c->begun_us == 0 ? r->now_us >= c->sent_us + c->read_us / 2
                          : r->now_us < c->begun_us + WL_QUARANTINE_SOUND_AFTER_US;
}

void
wl_replay_parts_note_end (WlReplay *r, uint32_t engine)
{
  const WlReplayEngine *e = &r->engines[engine];
  if (r->plan->parts == NULL)
    return;
  r->result.parts.n_ends++;
  if (r->result.parts.n_ends == ENDS_KNOWN)
    r->known_us = r->now_us;
  for (uint32_t i = 0; i < e->n_works; i++)
    {
      const WlReplayCaller *c = &r->callers[e->works[i].request];
      WlPromptParts parts;
      WlPartUse use = use_of (c, &parts);
      if (is_suspect (r, c, engine))
        wl_quarantine_note_end (r->quarantines[c->node], r->keys[engine], &use, r->now_us);
    }
  for (uint32_t node = 0; node < r->plan->n_nodes && r->plan->parts->has_quarantine; node++)
    tell (r, node);
}

/* ---- results ---- */

/* Share of the sound requests of the kind that began at the first try. */
static double
share_begun (const WlReplay *r, uint64_t from_us, uint64_t until_us)
{
  uint32_t n = 0;
  uint32_t n_begun = 0;
  for (uint32_t i = 0; i < r->n_callers; i++)
    {
      const WlReplayCaller *c = &r->callers[i];
      if (c->is_bad || c->kind != r->plan->parts->kind || c->asked_us < from_us
          || c->asked_us >= until_us)
        continue;
      n++;
      n_begun += c->first_us > 0 && c->tries == 1;
    }
  return n > 0 ? (double)n_begun / n : 1.0;
}

void
wl_replay_parts_sum_up (WlReplay *r)
{
  const WlReplayParts *plan = r->plan->parts;
  if (plan == NULL)
    return;
  uint64_t after_us = r->known_us != 0 ? r->known_us + 2 * (uint64_t)STABLE_US : plan->from_us;
  r->result.parts.before = share_begun (r, 0, plan->from_us);
  r->result.parts.after = share_begun (r, after_us, r->plan->length_us);
}
