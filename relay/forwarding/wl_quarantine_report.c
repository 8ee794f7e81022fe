#include "wl_quarantine_internal.h"

static uint64_t
before (uint64_t now_us, uint64_t age_us)
{
  return now_us > age_us ? now_us - age_us : 0;
}

static uint64_t
min_u64 (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Lists an end, unless it has no suspects: all of them or those of this node. */
static void
report_end (WlQuarantine *quarantine, const WlEndRecord *end, int is_own, uint64_t now_us,
            WlPartReport *out)
{
  WlPartEnd *told = &quarantine->told_ends[out->n_ends];
  *told = (WlPartEnd){ .endpoint = end->endpoint,
                       .age_us = wl_quarantine_elapsed_us (end->at_us, now_us),
                       .suspects = quarantine->told_suspects[out->n_ends],
                       .is_restored = end->is_restored };
  for (uint32_t i = 0; i < end->n_suspects; i++)
    if (!is_own || end->is_own[i])
      told->suspects[told->n_suspects++] = end->suspects[i];
  if (told->n_suspects > 0)
    out->n_ends++;
}

/* Lists the ends with news, each with all suspects of this node. */
static void
report_new_ends (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out)
{
  out->ends = quarantine->told_ends;
  for (uint32_t i = 0; i < quarantine->n_ends; i++)
    {
      WlEndRecord *e = &quarantine->ends[i];
      if (!e->is_news)
        continue;
      e->is_news = 0;
      report_end (quarantine, e, 1, now_us, out);
    }
}

/* Lists the ends with all their suspects, all or those from before a restart. */
static void
report_known_ends (WlQuarantine *quarantine, int is_restored, uint64_t now_us, WlPartReport *out)
{
  out->ends = quarantine->told_ends;
  for (uint32_t i = 0; i < quarantine->n_ends; i++)
    if (!is_restored || quarantine->ends[i].is_restored)
      report_end (quarantine, &quarantine->ends[i], 0, now_us, out);
}

/* Lists the sound parts that are due. Return: 1 when more of them are to be told later. */
static int
report_sound (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out)
{
  int has_more = 0;
  out->sound = quarantine->told_sound;
  for (uint32_t i = 0; i < WL_QUARANTINE_SOUND_MAX; i++)
    {
      WlSoundRecord *s = &quarantine->sound[i];
      if (!s->is_due)
        continue;
      if (now_us < s->told_us + WL_QUARANTINE_REPEAT_US || out->n_sound == WL_QUARANTINE_TOLD_MAX)
        {
          has_more = 1;
          continue;
        }
      out->sound[out->n_sound++] = (WlSoundPart){ .part = s->part,
                                                  .service = s->service,
                                                  .age_us = before (now_us, s->at_us) };
      s->is_due = 0;
      s->told_us = now_us;
      if (s->n_owed > 0)
        s->n_owed--;
    }
  return has_more;
}

/* Lists the quarantined parts, all or those with news. */
static void
report_entries (WlQuarantine *quarantine, uint64_t now_us, int is_full, WlPartReport *out)
{
  out->quarantined = quarantine->told_entries;
  for (uint32_t i = 0; i < quarantine->n_entries; i++)
    {
      WlQuarantineEntry *e = &quarantine->entries[i];
      uint64_t age_us = wl_quarantine_age_us (e, now_us);
      if (!is_full && !e->is_news)
        continue;
      if (!is_full)
        e->is_news = 0;
      out->quarantined[out->n_quarantined++]
          = (WlQuarantinedPart){ .part = e->part,
                                 .service = e->service,
                                 .customer = e->customer,
                                 .n_ends = e->n_ends,
                                 .n_trials = e->n_trials,
                                 .age_us = age_us,
                                 .trial_us = before (e->trial_after_us, age_us),
                                 .unused_us = before (age_us, e->used_after_us),
                                 .is_restored = e->is_restored };
    }
}

int
wl_quarantine_take_report (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out)
{
  *out = (WlPartReport){ 0 };
  if (!quarantine->has_news)
    return 0;
  report_new_ends (quarantine, now_us, out);
  report_entries (quarantine, now_us, 0, out);
  quarantine->has_news = (uint8_t)report_sound (quarantine, now_us, out);
  return out->n_ends + out->n_sound + out->n_quarantined > 0;
}

int
wl_quarantine_full_report (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out)
{
  *out = (WlPartReport){ 0 };
  report_entries (quarantine, now_us, 1, out);
  return out->n_quarantined > 0;
}

int
wl_quarantine_join_report (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out)
{
  *out = (WlPartReport){ 0 };
  report_entries (quarantine, now_us, 1, out);
  report_known_ends (quarantine, 1, now_us, out);
  return out->n_quarantined + out->n_ends > 0;
}

void
wl_quarantine_save_report (WlQuarantine *quarantine, uint64_t now_us, WlPartReport *out)
{
  *out = (WlPartReport){ 0 };
  report_entries (quarantine, now_us, 1, out);
  report_known_ends (quarantine, 0, now_us, out);
}

/* Merges what another node says of a part that is quarantined here. */
static void
merge_entry (WlQuarantine *quarantine, WlQuarantineEntry *entry, const WlQuarantineEntry *other,
             int has_trial_time)
{
  entry->is_restored &= other->is_restored;
  if (other->at_us < entry->at_us)
    entry->at_us = other->at_us;
  if (other->n_trials > entry->n_trials)
    {
      entry->n_trials = other->n_trials;
      quarantine->revision++;
    }
  if (other->n_ends > entry->n_ends)
    entry->n_ends = other->n_ends;
  if (has_trial_time && other->trial_after_us > entry->trial_after_us)
    entry->trial_after_us = other->trial_after_us;
  if (other->used_after_us > entry->used_after_us)
    entry->used_after_us = other->used_after_us;
  if (entry->customer != 0 && other->customer != entry->customer)
    wl_quarantine_widen (quarantine, entry);
}

static void
apply_entry (WlQuarantine *quarantine, const WlQuarantinedPart *part, uint64_t now_us)
{
  uint64_t age_us = min_u64 (part->age_us, WL_QUARANTINE_AGE_MAX_US);
  uint64_t unused_us = min_u64 (part->unused_us, age_us);
  uint64_t interval_us = wl_quarantine_interval_us (part->n_trials);
  if (part->part == 0 || part->service == 0 || unused_us >= WL_QUARANTINE_UNUSED_US)
    return;
  WlQuarantineEntry entry
      = { .part = part->part,
          .service = part->service,
          .customer = part->customer,
          .n_ends = (uint32_t)min_u64 (part->n_ends, WL_QUARANTINE_ENDS_MAX),
          .n_trials = (uint32_t)min_u64 (part->n_trials, WL_QUARANTINE_TRIALS_MAX),
          .at_us = (int64_t)now_us - (int64_t)age_us,
          .trial_after_us = age_us + min_u64 (part->trial_us, interval_us),
          .used_after_us = age_us - unused_us,
          .is_restored = part->is_restored != 0 };
  WlSoundRecord *s = wl_quarantine_sound_record (quarantine, entry.part, entry.service);
  WlQuarantineEntry *known = wl_quarantine_find (quarantine, entry.part, entry.service);
  int is_older
      = s != NULL
        && ((known == NULL && entry.is_restored) || wl_quarantine_is_void (s, entry.at_us));
  if (is_older)
    wl_quarantine_contradict (quarantine, s);
  else if (known == NULL)
    wl_quarantine_add (quarantine, &entry, now_us);
  else /* a node where the trial is due does not say since when */
    merge_entry (quarantine, known, &entry, part->trial_us > 0);
}

static void
apply_end (WlQuarantine *quarantine, const WlPartEnd *part_end, uint64_t now_us)
{
  uint32_t next = 0;
  if (part_end->endpoint == 0 || part_end->age_us > WL_QUARANTINE_WINDOW_US)
    return;
  int64_t at_us = (int64_t)now_us - (int64_t)part_end->age_us;
  WlEndRecord *end = part_end->is_restored
                         ? wl_quarantine_restored_end_record (quarantine, part_end->endpoint, at_us)
                         : wl_quarantine_end_record (quarantine, part_end->endpoint, at_us);
  for (uint32_t i = 0; end != NULL && i < part_end->n_suspects; i++)
    {
      const WlPartSuspect *suspect = &part_end->suspects[i];
      WlSoundRecord *s = wl_quarantine_sound_record (quarantine, suspect->part, suspect->service);
      if (suspect->part == 0 || suspect->service == 0)
        continue;
      if (wl_quarantine_is_void (s, at_us) || (s != NULL && part_end->is_restored))
        wl_quarantine_contradict (quarantine, s);
      else
        quarantine->revision += (uint64_t)wl_quarantine_add_suspect (end, suspect, 0, &next);
    }
}

void
wl_quarantine_apply (WlQuarantine *quarantine, const WlPartReport *report, uint64_t now_us)
{
  wl_quarantine_forget_ends (quarantine, now_us);
  for (uint32_t i = 0; i < report->n_sound; i++)
    {
      const WlSoundPart *s = &report->sound[i];
      if (s->part != 0 && s->service != 0 && s->age_us <= WL_QUARANTINE_WINDOW_US)
        wl_quarantine_mark_sound (quarantine, s->part, s->service, before (now_us, s->age_us), 0);
    }
  for (uint32_t i = 0; i < report->n_quarantined; i++)
    apply_entry (quarantine, &report->quarantined[i], now_us);
  for (uint32_t i = 0; i < report->n_ends; i++)
    apply_end (quarantine, &report->ends[i], now_us);
  wl_quarantine_decide (quarantine, now_us);
}

void
wl_quarantine_restore (WlQuarantine *quarantine, const WlPartReport *report, uint64_t unsaved_us,
                       uint64_t now_us)
{
  for (uint32_t i = 0; i < report->n_quarantined; i++)
    {
      WlQuarantinedPart part = report->quarantined[i];
      part.trial_us = before (part.trial_us, unsaved_us);
      part.is_restored = 1;
      apply_entry (quarantine, &part, now_us);
    }
  for (uint32_t i = 0; i < report->n_ends; i++)
    {
      WlPartEnd end = report->ends[i];
      end.is_restored = 1;
      apply_end (quarantine, &end, now_us);
    }
}

uint32_t
wl_quarantine_list_endpoints (const WlQuarantine *quarantine, uint64_t part, uint64_t service,
                              uint64_t *out, uint32_t max)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < quarantine->n_ends && n < max; i++)
    {
      const WlEndRecord *end = &quarantine->ends[i];
      uint32_t k = 0;
      while (k < end->n_suspects && !wl_quarantine_is_suspect (&end->suspects[k], part, service))
        k++;
      if (k < end->n_suspects)
        out[n++] = end->endpoint;
    }
  return n;
}
