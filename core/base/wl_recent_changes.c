#include <string.h>
#include "wl_recent_changes.h"

static uint64_t
change_bytes (const WlConfigChange *change)
{
  return (uint64_t)change->middle.size + change->removed.size;
}

static void
drop_first (WlRecentChanges *recent)
{
  WlConfigChange *c = &recent->ring[recent->first % WL_RECENT_CHANGES_MAX];
  recent->bytes -= change_bytes (c);
  wl_bytes_release (&c->middle);
  wl_bytes_release (&c->removed);
  if (recent->first == recent->last)
    recent->first = recent->last = 0;
  else
    recent->first++;
}

void
wl_recent_changes_clear (WlRecentChanges *recent)
{
  while (recent->first != 0)
    drop_first (recent);
}

void
wl_recent_changes_add (WlRecentChanges *recent, const WlConfigChange *change)
{
  if (change->number != recent->last + 1)
    wl_recent_changes_clear (recent);
  else if (recent->first != 0 && change->number - recent->first == WL_RECENT_CHANGES_MAX)
    drop_first (recent);
  WlConfigChange *c = &recent->ring[change->number % WL_RECENT_CHANGES_MAX];
  *c = *change;
  c->middle = wl_bytes_dup (change->middle);
  c->removed = wl_bytes_dup (change->removed);
  recent->bytes += change_bytes (c);
  recent->last = change->number;
  if (recent->first == 0)
    recent->first = change->number;
  while (recent->bytes > WL_RECENT_CHANGES_BYTES)
    drop_first (recent);
}

const WlConfigChange *
wl_recent_changes_find (const WlRecentChanges *recent, uint64_t number)
{
  if (recent->first == 0 || number < recent->first || number > recent->last)
    return NULL;
  return &recent->ring[number % WL_RECENT_CHANGES_MAX];
}

int
wl_recent_changes_cover (const WlRecentChanges *recent, uint64_t from, uint64_t to)
{
  return from < to && wl_recent_changes_find (recent, from + 1) != NULL
         && wl_recent_changes_find (recent, to) != NULL;
}
