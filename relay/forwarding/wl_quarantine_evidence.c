#include <string.h>
#include "wl_quarantine_internal.h"
#include "wl_table.h"

/* What speaks against parts and for them: ends, sound responses, and what routes share. */

static int
has_part (const WlPromptParts *parts, uint64_t part)
{
  for (uint32_t i = 0; i < parts->n; i++)
    if (parts->ids[i] == part)
      return 1;
  return 0;
}

/* The record of a route, maybe a new one in place of the route without requests for longest. */
static WlRouteRecord *
route_record (WlQuarantine *quarantine, uint64_t route)
{
  WlRouteRecord *oldest = &quarantine->routes[0];
  for (uint32_t i = 0; i < WL_QUARANTINE_ROUTES_MAX; i++)
    {
      WlRouteRecord *r = &quarantine->routes[i];
      if (r->route == route)
        return r;
      if (r->used_us < oldest->used_us)
        oldest = r;
    }
  memset (oldest, 0, sizeof *oldest);
  oldest->route = route;
  return oldest;
}

/* Begins a new window when the current one has lasted its time. */
static void
update_windows (WlRouteRecord *route, uint64_t now_us)
{
  if (now_us < route->started_us + WL_QUARANTINE_WINDOW_US)
    return;
  if (now_us < route->started_us + 2 * (uint64_t)WL_QUARANTINE_WINDOW_US)
    route->previous = route->current;
  else
    route->previous.has_requests = 0;
  route->current.has_requests = 0;
  route->started_us = now_us;
}

void
wl_quarantine_note_request (WlQuarantine *quarantine, const WlPartUse *use, uint64_t now_us)
{
  if (use->route == 0)
    return;
  WlRouteRecord *r = route_record (quarantine, use->route);
  update_windows (r, now_us);
  r->used_us = now_us;
  WlPromptParts *common = &r->current.common;
  if (!r->current.has_requests)
    {
      *common = *use->parts;
      r->current.has_requests = 1;
      r->current.is_known = 0;
    }
  uint32_t n_before = common->n;
  for (uint32_t i = 0; i < common->n;)
    {
      if (!has_part (use->parts, common->ids[i]))
        common->ids[i] = common->ids[--common->n];
      else
        i++;
    }
  r->current.is_known |= common->n < n_before || common->n < use->parts->n;
}

WlCommonality
wl_quarantine_commonality (WlQuarantine *quarantine, uint64_t part, uint64_t now_us)
{
  WlCommonality found = WL_COMMON_TO_NONE;
  for (uint32_t i = 0; i < WL_QUARANTINE_ROUTES_MAX; i++)
    {
      WlRouteRecord *r = &quarantine->routes[i];
      if (r->route == 0)
        continue;
      update_windows (r, now_us);
      const WlRouteWindow *windows[] = { &r->current, &r->previous };
      uint32_t n_windows = 0;
      uint32_t n_common = 0;
      int is_known = 0;
      for (uint32_t k = 0; k < 2; k++)
        if (windows[k]->has_requests)
          {
            n_windows++;
            n_common += (uint32_t)has_part (&windows[k]->common, part);
            is_known |= windows[k]->is_known;
          }
      if (n_windows == 0 || n_common < n_windows)
        continue;
      if (is_known)
        return WL_COMMON_TO_ROUTE;
      found = WL_COMMON_SO_FAR;
    }
  return found;
}

/* The WL_QUARANTINE_SOUND_WAYS records of which one may be a part's, so that few are searched. */
static WlSoundRecord *
sound_set (WlQuarantine *quarantine, uint64_t part, uint64_t service)
{
  uint64_t n_sets = WL_QUARANTINE_SOUND_MAX / WL_QUARANTINE_SOUND_WAYS;
  return &quarantine->sound[wl_hash_ids (part, service) % n_sets * WL_QUARANTINE_SOUND_WAYS];
}

WlSoundRecord *
wl_quarantine_sound_record (WlQuarantine *quarantine, uint64_t part, uint64_t service)
{
  WlSoundRecord *set = sound_set (quarantine, part, service);
  for (uint32_t i = 0; i < WL_QUARANTINE_SOUND_WAYS; i++)
    if (set[i].part == part && set[i].service == service)
      return &set[i];
  return NULL;
}

int
wl_quarantine_is_void (const WlSoundRecord *record, int64_t at_us)
{
  return record != NULL && at_us < (int64_t)record->at_us + WL_QUARANTINE_SOUND_FOR_US;
}

/* The record of a part that is sound, maybe a new one in place of the one not sound for longest. */
static WlSoundRecord *
sound_record_for (WlQuarantine *quarantine, uint64_t part, uint64_t service)
{
  WlSoundRecord *found = wl_quarantine_sound_record (quarantine, part, service);
  if (found != NULL)
    return found;
  found = sound_set (quarantine, part, service);
  const WlSoundRecord *end = found + WL_QUARANTINE_SOUND_WAYS;
  for (WlSoundRecord *s = found; s < end; s++)
    if (s->at_us < found->at_us)
      found = s;
  *found = (WlSoundRecord){ .part = part, .service = service };
  return found;
}

/* Takes a part from the suspects of an end. Return: 1 when it was one. */
static int
remove_suspect (WlEndRecord *end, uint64_t part, uint64_t service)
{
  uint32_t n = 0;
  while (n < end->n_suspects && !wl_quarantine_is_suspect (&end->suspects[n], part, service))
    n++;
  if (n == end->n_suspects)
    return 0;
  for (uint32_t i = n + 1; i < end->n_suspects; i++)
    if (!wl_quarantine_is_suspect (&end->suspects[i], part, service))
      {
        end->suspects[n] = end->suspects[i];
        end->is_own[n++] = end->is_own[i];
      }
  end->n_suspects = n;
  return 1;
}

/*
 * Removes the entry of a part that is sound. After a trial the part was bad and has been mended:
 * the ends for which it accounted speak against no other part even now. Otherwise it was never
 * bad, and another part must account for them.
 */
static void
release (WlQuarantine *quarantine, WlQuarantineEntry *entry)
{
  for (uint32_t i = 0; entry->n_trials > 0 && i < quarantine->n_ends; i++)
    if (wl_quarantine_explains (entry, &quarantine->ends[i]))
      quarantine->ends[i].n_suspects = 0;
  wl_quarantine_remove (quarantine, entry);
}

int
wl_quarantine_mark_sound (WlQuarantine *quarantine, uint64_t part, uint64_t service, uint64_t at_us,
                          int is_own)
{
  WlSoundRecord *s = sound_record_for (quarantine, part, service);
  WlQuarantineEntry *e = wl_quarantine_find (quarantine, part, service);
  int was_doubted = 0;
  if (at_us > s->at_us)
    s->at_us = at_us;
  if (e != NULL && (e->is_restored || wl_quarantine_is_void (s, e->at_us)))
    {
      release (quarantine, e);
      was_doubted = 1;
    }
  for (uint32_t i = 0; i < quarantine->n_ends; i++)
    if ((quarantine->ends[i].is_restored || wl_quarantine_is_void (s, quarantine->ends[i].at_us))
        && remove_suspect (&quarantine->ends[i], part, service))
      {
        was_doubted = 1;
        quarantine->revision++;
      }
  if (is_own && was_doubted)
    s->n_owed = WL_QUARANTINE_SOUND_REPEATS;
  if (is_own && s->n_owed > 0)
    {
      s->is_due = 1;
      quarantine->has_news = 1;
    }
  return was_doubted;
}

void
wl_quarantine_contradict (WlQuarantine *quarantine, WlSoundRecord *record)
{
  record->is_due = 1;
  quarantine->has_news = 1;
}

void
wl_quarantine_note_sound (WlQuarantine *quarantine, const WlPartUse *use, uint64_t now_us)
{
  int was_doubted = 0;
  wl_quarantine_forget_ends (quarantine, now_us);
  for (uint32_t i = 0; i < use->parts->n; i++)
    if (use->parts->ids[i] != 0)
      was_doubted
          |= wl_quarantine_mark_sound (quarantine, use->parts->ids[i], use->service, now_us, 1);
  if (was_doubted)
    wl_quarantine_decide (quarantine, now_us);
}

void
wl_quarantine_forget_ends (WlQuarantine *quarantine, uint64_t now_us)
{
  for (uint32_t i = 0; i < quarantine->n_ends;)
    {
      const WlEndRecord *end = &quarantine->ends[i];
      if ((int64_t)now_us > end->at_us + WL_QUARANTINE_WINDOW_US)
        quarantine->ends[i] = quarantine->ends[--quarantine->n_ends];
      else
        i++;
    }
}

/* Whether an end is replaced before another one: those without suspects first, then by age. */
static int
is_less_needed (const WlEndRecord *a, const WlEndRecord *b)
{
  if ((a->n_suspects == 0) != (b->n_suspects == 0))
    return a->n_suspects == 0;
  return a->at_us < b->at_us;
}

/* A new record of an end, maybe in place of the least needed one; NULL when all are needed more. */
static WlEndRecord *
add_end (WlQuarantine *quarantine, uint64_t endpoint, int64_t at_us)
{
  WlEndRecord *oldest = &quarantine->ends[0];
  for (uint32_t i = 0; i < quarantine->n_ends; i++)
    {
      WlEndRecord *e = &quarantine->ends[i];
      if (is_less_needed (e, oldest))
        oldest = e;
    }
  if (quarantine->n_ends < WL_QUARANTINE_ENDS_MAX)
    oldest = &quarantine->ends[quarantine->n_ends++];
  else if (oldest->n_suspects > 0 && oldest->at_us > at_us)
    return NULL;
  oldest->endpoint = endpoint;
  oldest->at_us = at_us;
  oldest->n_suspects = 0;
  oldest->is_news = 0;
  oldest->is_restored = 0;
  return oldest;
}

WlEndRecord *
wl_quarantine_end_record (WlQuarantine *quarantine, uint64_t endpoint, int64_t at_us)
{
  for (uint32_t i = 0; i < quarantine->n_ends; i++)
    {
      WlEndRecord *e = &quarantine->ends[i];
      int64_t apart_us = e->at_us > at_us ? e->at_us - at_us : at_us - e->at_us;
      if (e->endpoint != endpoint || apart_us > WL_QUARANTINE_SAME_END_US)
        continue;
      if (at_us < e->at_us)
        e->at_us = at_us;
      return e;
    }
  return add_end (quarantine, endpoint, at_us);
}

WlEndRecord *
wl_quarantine_restored_end_record (WlQuarantine *quarantine, uint64_t endpoint, int64_t at_us)
{
  for (uint32_t i = 0; i < quarantine->n_ends; i++)
    if (quarantine->ends[i].endpoint == endpoint)
      return &quarantine->ends[i];
  WlEndRecord *e = add_end (quarantine, endpoint, at_us);
  if (e != NULL)
    e->is_restored = 1;
  return e;
}

int
wl_quarantine_add_suspect (WlEndRecord *end, const WlPartSuspect *suspect, int is_own,
                           uint32_t *next)
{
  for (uint32_t i = 0; i < end->n_suspects; i++)
    if (wl_quarantine_is_suspect (&end->suspects[i], suspect->part, suspect->service)
        && end->suspects[i].customer == suspect->customer)
      {
        end->is_news |= is_own && !end->is_own[i];
        end->is_own[i] |= (uint8_t)is_own;
        *next = i + 1;
        return 0;
      }
  if (end->n_suspects == WL_QUARANTINE_SUSPECTS_MAX)
    return 0;
  uint32_t n_after = end->n_suspects++ - *next;
  memmove (&end->suspects[*next + 1], &end->suspects[*next], n_after * sizeof *end->suspects);
  memmove (&end->is_own[*next + 1], &end->is_own[*next], n_after);
  end->suspects[*next] = *suspect;
  end->is_own[*next] = (uint8_t)is_own;
  end->is_news |= (uint8_t)is_own;
  ++*next;
  return 1;
}

void
wl_quarantine_note_end (WlQuarantine *quarantine, uint64_t endpoint, const WlPartUse *use,
                        uint64_t now_us)
{
  uint32_t next = 0;
  wl_quarantine_forget_ends (quarantine, now_us);
  WlEndRecord *end = wl_quarantine_end_record (quarantine, endpoint, (int64_t)now_us);
  for (uint32_t i = 0; end != NULL && i < use->parts->n; i++)
    {
      WlPartSuspect suspect = { use->parts->ids[i], use->service, use->customer };
      WlSoundRecord *s = wl_quarantine_sound_record (quarantine, suspect.part, suspect.service);
      if (suspect.part != 0 && !wl_quarantine_is_void (s, (int64_t)now_us)
          && wl_quarantine_commonality (quarantine, suspect.part, now_us) != WL_COMMON_TO_ROUTE)
        quarantine->revision += (uint64_t)wl_quarantine_add_suspect (end, &suspect, 1, &next);
    }
  quarantine->has_news |= end != NULL && end->is_news;
  wl_quarantine_decide (quarantine, now_us);
}
