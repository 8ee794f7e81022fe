#include "wl_quarantine_internal.h"

/* The verdict: which parts account for the ends. */

int
wl_quarantine_explains (const WlQuarantineEntry *entry, const WlEndRecord *end)
{
  for (uint32_t i = 0; i < end->n_suspects; i++)
    if (wl_quarantine_is_suspect (&end->suspects[i], entry->part, entry->service)
        && wl_quarantine_covers (entry, end->suspects[i].customer))
      return 1;
  return 0;
}

/**
 * struct Verdict - the case against a part
 * @part: id of the part
 * @service: the service
 * @customer: customer whose requests account for all of the ends, 0 for none
 * @n_ends: ends that count
 * @was_sound: it was sound once
 */
typedef struct
{
  uint64_t part;
  uint64_t service;
  uint64_t customer;
  uint32_t n_ends;
  uint8_t was_sound;
} Verdict;

/* The ends for which no quarantined part accounts, by time. Return: how many. */
static uint32_t
unexplained_ends (const WlQuarantine *quarantine, const WlEndRecord **ends)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < quarantine->n_ends; i++)
    {
      const WlEndRecord *end = &quarantine->ends[i];
      uint32_t k = 0;
      while (k < quarantine->n_entries && !wl_quarantine_explains (&quarantine->entries[k], end))
        k++;
      if (k < quarantine->n_entries)
        continue;
      for (k = n++; k > 0 && ends[k - 1]->at_us > end->at_us; k--)
        ends[k] = ends[k - 1];
      ends[k] = end;
    }
  return n;
}

/* Index of a part among the suspects of an end, of any customer; n_suspects when it is none. */
static uint32_t
suspect_index (const WlEndRecord *end, uint64_t part, uint64_t service)
{
  uint32_t i = 0;
  while (i < end->n_suspects && !wl_quarantine_is_suspect (&end->suspects[i], part, service))
    i++;
  return i;
}

static int
has_suspect_of (const WlEndRecord *end, const WlPartSuspect *suspect)
{
  for (uint32_t i = 0; i < end->n_suspects; i++)
    if (wl_quarantine_is_suspect (&end->suspects[i], suspect->part, suspect->service)
        && end->suspects[i].customer == suspect->customer)
      return 1;
  return 0;
}

/* Whether an end is of another endpoint than those counted and late enough after them. */
static int
counts (const WlEndRecord *end, const WlEndRecord *const *counted, uint32_t n_counted)
{
  if (n_counted > 0 && end->at_us < counted[n_counted - 1]->at_us + WL_QUARANTINE_END_GAP_US)
    return 0;
  for (uint32_t i = 0; i < n_counted; i++)
    if (counted[i]->endpoint == end->endpoint)
      return 0;
  return 1;
}

/* Customer whose requests with a part were under all of the ends, 0 for none. */
static uint64_t
single_customer (const WlEndRecord *const *ends, uint32_t n_ends, uint64_t part, uint64_t service)
{
  for (uint32_t i = 0; i < ends[0]->n_suspects; i++)
    {
      const WlPartSuspect *s = &ends[0]->suspects[i];
      uint32_t k = 1;
      if (!wl_quarantine_is_suspect (s, part, service) || s->customer == 0)
        continue;
      while (k < n_ends && has_suspect_of (ends[k], s))
        k++;
      if (k == n_ends)
        return s->customer;
    }
  return 0;
}

/* The case against a suspect, by the ends for which no quarantined part accounts. */
static Verdict
judge (WlQuarantine *quarantine, const WlEndRecord *const *ends, uint32_t n_ends,
       const WlPartSuspect *suspect)
{
  Verdict v = { .part = suspect->part, .service = suspect->service };
  const WlEndRecord *counted[WL_QUARANTINE_ENDS_MAX];
  for (uint32_t i = 0; i < n_ends; i++)
    if (suspect_index (ends[i], v.part, v.service) < ends[i]->n_suspects
        && counts (ends[i], counted, v.n_ends))
      counted[v.n_ends++] = ends[i];
  v.customer = single_customer (counted, v.n_ends, v.part, v.service);
  v.was_sound = wl_quarantine_sound_record (quarantine, v.part, v.service) != NULL;
  return v;
}

/* Whether a part is behind another one in more of the prompts than in front of it. */
static int
is_behind (const WlEndRecord *const *ends, uint32_t n_ends, const Verdict *a, const Verdict *b)
{
  int n = 0;
  for (uint32_t i = 0; i < n_ends; i++)
    {
      uint32_t index_a = suspect_index (ends[i], a->part, a->service);
      uint32_t index_b = suspect_index (ends[i], b->part, b->service);
      if (index_a < ends[i]->n_suspects && index_b < ends[i]->n_suspects)
        n += index_a > index_b ? 1 : -1;
    }
  return n > 0;
}

/* Whether the case against a part is stronger than that against another one. */
static int
is_stronger (const WlEndRecord *const *ends, uint32_t n_ends, const Verdict *a, const Verdict *b)
{
  if (a->n_ends != b->n_ends)
    return a->n_ends > b->n_ends;
  if (a->was_sound != b->was_sound)
    return b->was_sound;
  return (a->part != b->part || a->service != b->service) && is_behind (ends, n_ends, a, b);
}

/* Quarantines the part that accounts for the most ends. Return: 1, or 0 when there is none. */
static int
quarantine_strongest (WlQuarantine *quarantine, uint64_t now_us)
{
  const WlEndRecord *ends[WL_QUARANTINE_ENDS_MAX];
  uint32_t n_ends = unexplained_ends (quarantine, ends);
  Verdict strongest = { 0 };
  for (uint32_t i = 0; i < n_ends; i++)
    for (uint32_t k = 0; k < ends[i]->n_suspects; k++)
      {
        Verdict v = judge (quarantine, ends, n_ends, &ends[i]->suspects[k]);
        if (v.n_ends >= WL_QUARANTINE_ENDPOINTS
            && (strongest.part == 0 || is_stronger (ends, n_ends, &v, &strongest))
            && !wl_quarantine_is_common (quarantine, v.part, now_us))
          strongest = v;
      }
  if (strongest.part == 0)
    return 0;
  WlQuarantineEntry entry = { .part = strongest.part,
                              .service = strongest.service,
                              .customer = strongest.customer,
                              .n_ends = strongest.n_ends,
                              .at_us = (int64_t)now_us,
                              .trial_after_us = WL_QUARANTINE_TRIAL_MIN_US,
                              .is_news = 1 };
  wl_quarantine_add (quarantine, &entry, now_us);
  return 1;
}

/* Widens entries of one customer's requests when an endpoint ended under another one's. */
static void
widen_scopes (WlQuarantine *quarantine)
{
  const WlEndRecord *ends[WL_QUARANTINE_ENDS_MAX];
  uint32_t n_ends = unexplained_ends (quarantine, ends);
  for (uint32_t i = 0; i < n_ends; i++)
    for (uint32_t k = 0; k < ends[i]->n_suspects; k++)
      {
        const WlPartSuspect *s = &ends[i]->suspects[k];
        WlQuarantineEntry *e = wl_quarantine_find (quarantine, s->part, s->service);
        if (e == NULL || wl_quarantine_covers (e, s->customer))
          continue;
        wl_quarantine_widen (quarantine, e);
        e->is_news = 1;
        quarantine->has_news = 1;
      }
}

void
wl_quarantine_decide (WlQuarantine *quarantine, uint64_t now_us)
{
  uint32_t n = 0;
  do
    widen_scopes (quarantine);
  while (quarantine_strongest (quarantine, now_us) && ++n < WL_QUARANTINE_ENTRIES_MAX);
}
