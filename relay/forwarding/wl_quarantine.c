#include <stdlib.h>
#include <string.h>
#include "wl_quarantine_internal.h"

WlQuarantine *
wl_quarantine_create (void)
{
  WlQuarantine *q = calloc (1, sizeof *q);
  if (q == NULL)
    abort ();
  return q;
}

void
wl_quarantine_destroy (WlQuarantine *quarantine)
{
  free (quarantine);
}

uint64_t
wl_quarantine_generation (const WlQuarantine *quarantine)
{
  return quarantine->generation;
}

uint64_t
wl_quarantine_revision (const WlQuarantine *quarantine)
{
  return quarantine->revision;
}

uint32_t
wl_quarantine_n_entries (const WlQuarantine *quarantine)
{
  return quarantine->n_entries;
}

WlQuarantineEntry *
wl_quarantine_find (WlQuarantine *quarantine, uint64_t part, uint64_t service)
{
  for (uint32_t i = 0; i < quarantine->n_entries; i++)
    {
      WlQuarantineEntry *e = &quarantine->entries[i];
      if (e->part == part && e->service == service)
        return e;
    }
  return NULL;
}

int
wl_quarantine_covers (const WlQuarantineEntry *entry, uint64_t customer)
{
  return entry->customer == 0 || entry->customer == customer;
}

uint64_t
wl_quarantine_elapsed_us (int64_t at_us, uint64_t now_us)
{
  int64_t elapsed_us = (int64_t)now_us - at_us;
  return elapsed_us > 0 ? (uint64_t)elapsed_us : 0;
}

uint64_t
wl_quarantine_age_us (const WlQuarantineEntry *entry, uint64_t now_us)
{
  return wl_quarantine_elapsed_us (entry->at_us, now_us);
}

uint64_t
wl_quarantine_interval_us (uint32_t n_trials)
{
  uint64_t interval_us = WL_QUARANTINE_TRIAL_MIN_US;
  for (uint32_t i = 0; i < n_trials && interval_us < WL_QUARANTINE_TRIAL_MAX_US; i++)
    interval_us *= WL_QUARANTINE_TRIAL_GROWTH;
  return interval_us < WL_QUARANTINE_TRIAL_MAX_US ? interval_us : WL_QUARANTINE_TRIAL_MAX_US;
}

/* Time since the latest request with a part. */
static uint64_t
unused_us (const WlQuarantineEntry *entry, uint64_t now_us)
{
  uint64_t age_us = wl_quarantine_age_us (entry, now_us);
  return age_us > entry->used_after_us ? age_us - entry->used_after_us : 0;
}

static WlQuarantineEntry *
longest_unused (WlQuarantine *quarantine, uint64_t now_us)
{
  WlQuarantineEntry *found = &quarantine->entries[0];
  for (uint32_t i = 1; i < quarantine->n_entries; i++)
    if (unused_us (&quarantine->entries[i], now_us) > unused_us (found, now_us))
      found = &quarantine->entries[i];
  return found;
}

WlQuarantineEntry *
wl_quarantine_add (WlQuarantine *quarantine, const WlQuarantineEntry *entry, uint64_t now_us)
{
  WlQuarantineEntry *e = quarantine->n_entries < WL_QUARANTINE_ENTRIES_MAX
                             ? &quarantine->entries[quarantine->n_entries++]
                             : longest_unused (quarantine, now_us);
  *e = *entry;
  quarantine->has_news |= e->is_news;
  quarantine->generation++;
  quarantine->revision++;
  return e;
}

void
wl_quarantine_remove (WlQuarantine *quarantine, WlQuarantineEntry *entry)
{
  *entry = quarantine->entries[--quarantine->n_entries];
  quarantine->revision++;
}

void
wl_quarantine_widen (WlQuarantine *quarantine, WlQuarantineEntry *entry)
{
  entry->customer = 0;
  quarantine->generation++;
  quarantine->revision++;
}

void
wl_quarantine_expire (WlQuarantine *quarantine, uint64_t now_us)
{
  for (uint32_t i = 0; i < quarantine->n_entries;)
    {
      if (unused_us (&quarantine->entries[i], now_us) >= WL_QUARANTINE_UNUSED_US)
        wl_quarantine_remove (quarantine, &quarantine->entries[i]);
      else
        i++;
    }
  wl_quarantine_forget_ends (quarantine, now_us);
}

/* The entry that refuses a request for its part at @i, NULL for none. */
static WlQuarantineEntry *
refusing_entry (WlQuarantine *quarantine, const WlPartUse *use, uint32_t i)
{
  WlQuarantineEntry *e = wl_quarantine_find (quarantine, use->parts->ids[i], use->service);
  return e != NULL && wl_quarantine_covers (e, use->customer) ? e : NULL;
}

WlQuarantineAnswer
wl_quarantine_check (WlQuarantine *quarantine, const WlPartUse *use, int may_try, uint64_t now_us)
{
  WlQuarantineAnswer answer = { .verdict = WL_QUARANTINE_ADMIT };
  const WlQuarantineEntry *earliest = NULL;
  answer.is_overdue = 1;
  for (uint32_t i = 0; quarantine->n_entries > 0 && i < use->parts->n; i++)
    {
      WlQuarantineEntry *e = refusing_entry (quarantine, use, i);
      if (e == NULL)
        continue;
      uint64_t age_us = wl_quarantine_age_us (e, now_us);
      e->used_after_us = age_us;
      if (earliest == NULL || e->at_us < earliest->at_us)
        earliest = e;
      /* A trial is one of all parts, and waits for the last. */
      if (age_us < e->trial_after_us && e->trial_after_us - age_us > answer.trial_us)
        answer.trial_us = e->trial_after_us - age_us;
      if (age_us < e->trial_after_us + wl_quarantine_interval_us (e->n_trials))
        answer.is_overdue = 0;
    }
  if (earliest == NULL)
    return (WlQuarantineAnswer){ .verdict = WL_QUARANTINE_ADMIT };
  answer.part = earliest->part;
  answer.n_ends = earliest->n_ends;
  answer.age_us = wl_quarantine_age_us (earliest, now_us);
  answer.verdict = may_try && answer.trial_us == 0 ? WL_QUARANTINE_TRIAL : WL_QUARANTINE_REFUSE;
  if (answer.verdict == WL_QUARANTINE_REFUSE && answer.trial_us == 0)
    answer.trial_us = WL_QUARANTINE_RETRY_US;
  return answer;
}

void
wl_quarantine_begin_trial (WlQuarantine *quarantine, const WlPartUse *use, uint64_t now_us)
{
  for (uint32_t i = 0; i < use->parts->n; i++)
    {
      WlQuarantineEntry *e = refusing_entry (quarantine, use, i);
      if (e == NULL)
        continue;
      if (e->n_trials < WL_QUARANTINE_TRIALS_MAX)
        e->n_trials++;
      e->trial_after_us
          = wl_quarantine_age_us (e, now_us) + wl_quarantine_interval_us (e->n_trials);
      e->is_news = 1;
      quarantine->has_news = 1;
      quarantine->revision++;
    }
}
