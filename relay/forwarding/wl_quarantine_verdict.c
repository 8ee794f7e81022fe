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

enum
{
  OTHERS_US = 60000000, /* ends so long before the first one that counts are other ones beside it */
  CLEAR_SHARE = 2,      /* WL_QUARANTINE_ENDPOINTS are enough if they are a half of the times */
  SURE_SHARE = 4,       /* WL_QUARANTINE_ENDPOINTS_SURE, if they are a quarter */
};

/**
 * struct Evidence - what parts are judged by
 * @ends: the ends for which no quarantined part accounts, by time, @n_ends of them
 * @now_us: monotonic time
 */
typedef struct
{
  const WlEndRecord *ends[WL_QUARANTINE_ENDS_MAX];
  uint32_t n_ends;
  uint64_t now_us;
} Evidence;

/**
 * struct Verdict - the case against a part
 * @part: id of the part
 * @service: the service
 * @counted: the ends that count, by time, @n_ends of them
 * @was_sound: it was sound once
 * @is_proven: they are enough
 */
typedef struct
{
  uint64_t part;
  uint64_t service;
  const WlEndRecord *counted[WL_QUARANTINE_ENDS_MAX];
  uint32_t n_ends;
  uint8_t was_sound;
  uint8_t is_proven;
} Verdict;

static void
gather_evidence (const WlQuarantine *quarantine, uint64_t now_us, Evidence *out)
{
  out->n_ends = 0;
  out->now_us = now_us;
  for (uint32_t i = 0; i < quarantine->n_ends; i++)
    {
      const WlEndRecord *end = &quarantine->ends[i];
      uint32_t k = 0;
      while (k < quarantine->n_entries && !wl_quarantine_explains (&quarantine->entries[k], end))
        k++;
      if (k < quarantine->n_entries)
        continue;
      for (k = out->n_ends++; k > 0 && out->ends[k - 1]->at_us > end->at_us; k--)
        out->ends[k] = out->ends[k - 1];
      out->ends[k] = end;
    }
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

/* Whether a part is a suspect because of a request of this node. */
static int
has_own_suspect (const Evidence *ev, uint64_t part, uint64_t service)
{
  for (uint32_t i = 0; i < ev->n_ends; i++)
    for (uint32_t k = 0; k < ev->ends[i]->n_suspects; k++)
      if (ev->ends[i]->is_own[k]
          && wl_quarantine_is_suspect (&ev->ends[i]->suspects[k], part, service))
        return 1;
  return 0;
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

/* Customer whose requests account for all ends that count against a part, 0 for none. */
static uint64_t
single_customer (const Verdict *v)
{
  for (uint32_t i = 0; i < v->counted[0]->n_suspects; i++)
    {
      const WlPartSuspect *s = &v->counted[0]->suspects[i];
      uint32_t k = 1;
      if (!wl_quarantine_is_suspect (s, v->part, v->service) || s->customer == 0)
        continue;
      while (k < v->n_ends && has_suspect_of (v->counted[k], s))
        k++;
      if (k == v->n_ends)
        return s->customer;
    }
  return 0;
}

/* How many ends a part is a suspect of. */
static uint32_t
count_ends (const WlEndRecord *const *ends, uint32_t n_ends, uint64_t part, uint64_t service)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < n_ends; i++)
    n += suspect_index (ends[i], part, service) < ends[i]->n_suspects;
  return n;
}

/* Whether a suspect of an end that counts against a part may account for the ends as well. */
static int
is_rival (WlQuarantine *quarantine, const Evidence *ev, const Verdict *v, const WlPartSuspect *s)
{
  if (wl_quarantine_is_suspect (s, v->part, v->service))
    return 0;
  uint32_t n_shared = count_ends (v->counted, v->n_ends, s->part, s->service);
  int is_near = n_shared + 1 >= v->n_ends;
  int is_ahead = count_ends (ev->ends, ev->n_ends, s->part, s->service)
                 > count_ends (ev->ends, ev->n_ends, v->part, v->service);
  int is_sounder
      = !v->was_sound && wl_quarantine_sound_record (quarantine, s->part, s->service) != NULL;
  return (is_near || is_ahead) && !is_sounder
         && wl_quarantine_commonality (quarantine, s->part, ev->now_us) == WL_COMMON_TO_NONE;
}

/* Whether some other part may account for the ends that count against a part as well. */
static int
has_rival (WlQuarantine *quarantine, const Evidence *ev, const Verdict *v)
{
  for (uint32_t i = 0; i < v->n_ends; i++)
    for (uint32_t k = 0; k < v->counted[i]->n_suspects; k++)
      if (is_rival (quarantine, ev, v, &v->counted[i]->suspects[k]))
        return 1;
  return 0;
}

/* How many times there are ends, from @before_us before the first one that counts against a part.
 */
static uint32_t
count_times (const Evidence *ev, const Verdict *v, int64_t before_us)
{
  int64_t last_us = 0;
  uint32_t n = 0;
  for (uint32_t i = 0; i < ev->n_ends; i++)
    {
      int64_t at_us = ev->ends[i]->at_us;
      if (at_us + before_us < v->counted[0]->at_us
          || (n > 0 && at_us < last_us + WL_QUARANTINE_END_GAP_US))
        continue;
      last_us = at_us;
      n++;
    }
  return n;
}

/*
 * Whether the ends that count against a part are enough. A few are not when another part may
 * account for them, since reports of an end arrive one by one and the other part's may be
 * missing; nor when they are a few of many, of which some have a part in common by chance.
 */
static int
is_proven (WlQuarantine *quarantine, const Evidence *ev, const Verdict *v)
{
  if (v->n_ends >= WL_QUARANTINE_ENDPOINTS_SURE && SURE_SHARE * v->n_ends >= count_times (ev, v, 0))
    return 1;
  return CLEAR_SHARE * v->n_ends >= count_times (ev, v, OTHERS_US)
         && !has_rival (quarantine, ev, v);
}

/*
 * The case against a suspect. It is left to the nodes that had requests with the part: others can't
 * know whether all requests of their route have it.
 */
static Verdict
judge (WlQuarantine *quarantine, const Evidence *ev, const WlPartSuspect *suspect)
{
  Verdict v = { .part = suspect->part, .service = suspect->service };
  for (uint32_t i = 0; i < ev->n_ends; i++)
    {
      const WlEndRecord *end = ev->ends[i];
      if (counts (end, v.counted, v.n_ends)
          && suspect_index (end, v.part, v.service) < end->n_suspects)
        v.counted[v.n_ends++] = end;
    }
  if (v.n_ends < WL_QUARANTINE_ENDPOINTS || !has_own_suspect (ev, v.part, v.service))
    return v;
  v.was_sound = wl_quarantine_sound_record (quarantine, v.part, v.service) != NULL;
  v.is_proven = (uint8_t)is_proven (quarantine, ev, &v);
  return v;
}

/* Whether a part is behind another one in more of the prompts than in front of it. */
static int
is_behind (const Evidence *ev, const Verdict *a, const Verdict *b)
{
  int n = 0;
  for (uint32_t i = 0; i < ev->n_ends; i++)
    {
      const WlEndRecord *end = ev->ends[i];
      uint32_t index_a = suspect_index (end, a->part, a->service);
      uint32_t index_b = suspect_index (end, b->part, b->service);
      if (index_a < end->n_suspects && index_b < end->n_suspects)
        n += index_a > index_b ? 1 : -1;
    }
  return n > 0;
}

/* Whether the case against a part is stronger than that against another one. */
static int
is_stronger (const Evidence *ev, const Verdict *a, const Verdict *b)
{
  if (a->n_ends != b->n_ends)
    return a->n_ends > b->n_ends;
  if (a->was_sound != b->was_sound)
    return b->was_sound;
  return (a->part != b->part || a->service != b->service) && is_behind (ev, a, b);
}

/* Quarantines the part that accounts for the most ends. Return: 1, or 0 when there is none. */
static int
quarantine_strongest (WlQuarantine *quarantine, uint64_t now_us)
{
  Evidence ev;
  Verdict strongest = { 0 };
  gather_evidence (quarantine, now_us, &ev);
  for (uint32_t i = 0; i + WL_QUARANTINE_ENDPOINTS <= ev.n_ends; i++)
    for (uint32_t k = 0; k < ev.ends[i]->n_suspects; k++)
      {
        Verdict v = judge (quarantine, &ev, &ev.ends[i]->suspects[k]);
        if (v.is_proven && (strongest.part == 0 || is_stronger (&ev, &v, &strongest))
            && wl_quarantine_commonality (quarantine, v.part, now_us) == WL_COMMON_TO_NONE)
          strongest = v;
      }
  if (strongest.part == 0)
    return 0;
  WlQuarantineEntry entry = { .part = strongest.part,
                              .service = strongest.service,
                              .customer = single_customer (&strongest),
                              .n_ends = strongest.n_ends,
                              .at_us = (int64_t)now_us,
                              .trial_after_us = WL_QUARANTINE_TRIAL_MIN_US,
                              .is_news = 1 };
  wl_quarantine_add (quarantine, &entry, now_us);
  return 1;
}

/* Widens entries of one customer's requests when an endpoint ended under another one's. */
static void
widen_scopes (WlQuarantine *quarantine, uint64_t now_us)
{
  Evidence ev;
  gather_evidence (quarantine, now_us, &ev);
  for (uint32_t i = 0; i < ev.n_ends; i++)
    for (uint32_t k = 0; k < ev.ends[i]->n_suspects; k++)
      {
        const WlPartSuspect *s = &ev.ends[i]->suspects[k];
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
    widen_scopes (quarantine, now_us);
  while (quarantine_strongest (quarantine, now_us) && ++n < WL_QUARANTINE_ENTRIES_MAX);
}
