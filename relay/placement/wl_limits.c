#include <stdlib.h>
#include <string.h>
#include "wl_limits.h"

enum
{
  ENTRIES_MIN = 32,
  RENEWAL_US = 1000000,     /* age of the word that others know, from which one is reported */
  REFRESH_ASK_US = 1000000, /* least time between two refreshes */
  REFRESH_MAX_US = 5000000, /* a low limit is refreshed at least so often */
  PAUSE_US = 500000,        /* a longer gap between calls is a pause */
  AFTER_PAUSE_US = 1000000, /* for how long after a pause reports may be old */
  RATE_SECONDS = 1000,      /* limits are requests in so many seconds */
};

typedef struct
{
  WlLimit limit;
  uint64_t told_us; /* heard_us that other nodes know */
  uint8_t is_news;  /* other nodes have to be told */
} Entry;

struct WlLimits
{
  Entry *entries;
  uint32_t n_entries, capacity;
  uint32_t *index; /* entry + 1 by key, open addressing; 0 is free */
  uint32_t index_mask;
  uint32_t n_in_force, n_news;
  uint32_t next_reported; /* where the next full report begins */
  uint64_t version;
  uint64_t called_us;
  uint64_t paused_until_us; /* until then reports may have waited */
  uint64_t refreshed_us;
  WlLimitWord words[WL_LIMITS_REPORT_MAX];
};

static uint64_t
max_u64 (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

static uint64_t
minus (uint64_t a, uint64_t b)
{
  return a > b ? a - b : 0;
}

WlLimits *
wl_limits_create (void)
{
  WlLimits *limits = calloc (1, sizeof *limits);
  if (limits == NULL)
    abort ();
  return limits;
}

void
wl_limits_destroy (WlLimits *limits)
{
  if (limits == NULL)
    return;
  free (limits->entries);
  free (limits->index);
  free (limits);
}

static void
add_to_index (WlLimits *limits, uint32_t entry)
{
  uint32_t i = (uint32_t)limits->entries[entry].limit.endpoint & limits->index_mask;
  while (limits->index[i] != 0)
    i = (i + 1) & limits->index_mask;
  limits->index[i] = entry + 1;
}

static void
rebuild_index (WlLimits *limits)
{
  if (limits->index == NULL)
    return;
  memset (limits->index, 0, (limits->index_mask + 1) * sizeof *limits->index);
  for (uint32_t i = 0; i < limits->n_entries; i++)
    add_to_index (limits, i);
}

static Entry *
find_entry (const WlLimits *limits, uint64_t endpoint)
{
  if (limits->n_entries == 0)
    return NULL;
  uint32_t i = (uint32_t)endpoint & limits->index_mask;
  for (; limits->index[i] != 0; i = (i + 1) & limits->index_mask)
    {
      Entry *e = &limits->entries[limits->index[i] - 1];
      if (e->limit.endpoint == endpoint)
        return e;
    }
  return NULL;
}

static void
grow (WlLimits *limits)
{
  uint32_t n = limits->capacity == 0 ? ENTRIES_MIN : 2 * limits->capacity;
  limits->entries = realloc (limits->entries, n * sizeof *limits->entries);
  free (limits->index);
  limits->index = calloc (2 * (size_t)n, sizeof *limits->index);
  if (limits->entries == NULL || limits->index == NULL)
    abort ();
  limits->capacity = n;
  limits->index_mask = 2 * n - 1;
  rebuild_index (limits);
}

static void
set_news (WlLimits *limits, Entry *e, uint8_t is_news)
{
  limits->n_news = limits->n_news - e->is_news + is_news;
  e->is_news = is_news;
}

static void
set_ended (WlLimits *limits, Entry *e, uint8_t has_ended)
{
  limits->n_in_force = limits->n_in_force + e->limit.has_ended - has_ended;
  e->limit.has_ended = has_ended;
}

/* The index has to be rebuilt afterwards. */
static void
remove_entry (WlLimits *limits, Entry *e)
{
  limits->version += !e->limit.has_ended;
  set_news (limits, e, 0);
  set_ended (limits, e, 1);
  *e = limits->entries[--limits->n_entries];
}

/* Of two entries that ended first, else the one with the older word. */
static int
is_less_useful (const WlLimit *a, const WlLimit *b)
{
  if (a->has_ended != b->has_ended)
    return a->has_ended;
  return a->heard_us < b->heard_us;
}

static Entry *
add_entry (WlLimits *limits, const WlLimit *word)
{
  if (limits->n_entries == WL_LIMITS_MAX)
    {
      Entry *least = &limits->entries[0];
      for (uint32_t i = 1; i < limits->n_entries; i++)
        if (is_less_useful (&limits->entries[i].limit, &least->limit))
          least = &limits->entries[i];
      remove_entry (limits, least);
      rebuild_index (limits);
    }
  if (limits->n_entries == limits->capacity)
    grow (limits);
  Entry *e = &limits->entries[limits->n_entries];
  *e = (Entry){ .limit = *word };
  limits->n_in_force += !word->has_ended;
  add_to_index (limits, limits->n_entries++);
  return e;
}

/* Sees pauses of this node; to be called first by all that is called often. */
static void
note_call (WlLimits *limits, uint64_t now_us)
{
  if (limits->called_us != 0 && now_us > limits->called_us + PAUSE_US)
    limits->paused_until_us = now_us + AFTER_PAUSE_US;
  limits->called_us = max_u64 (limits->called_us, now_us);
}

/* Whether a word that may be older than the known one is applied: not if it would raise. */
static int
may_lower (const WlLimit *known, const WlLimit *word)
{
  return !word->has_ended && (known->has_ended || word->rate <= known->rate);
}

/* Applies a word to what is known; returns 1 when the limit in force changes. */
static int
apply_word (WlLimits *limits, Entry *e, const WlLimit *word, uint64_t margin_us)
{
  WlLimit *known = &e->limit;
  int is_other
      = known->has_ended != word->has_ended || (!word->has_ended && known->rate != word->rate);
  if (word->started_ms < known->started_ms)
    return 0;
  if (word->started_ms > known->started_ms)
    {
      set_ended (limits, e, word->has_ended);
      *known = *word;
      return is_other || !word->has_ended;
    }
  if (word->heard_us <= known->sent_us)
    return 0;
  int is_later = word->sent_us >= known->heard_us;
  if (!is_later && !may_lower (known, word))
    return 0;
  known->sent_us = max_u64 (known->sent_us, word->sent_us);
  if (!is_other && (word->has_ended || word->heard_us <= known->heard_us + margin_us))
    return 0; /* the same word, its time shifted by the delay of reports */
  set_ended (limits, e, word->has_ended);
  known->rate = word->rate;
  known->heard_us = max_u64 (known->heard_us, word->heard_us);
  return is_other;
}

int
wl_limits_note_response (WlLimits *limits, const WlEndpoint *endpoint, int has_limit, uint64_t rate,
                         uint64_t sent_us, uint64_t now_us)
{
  note_call (limits, now_us);
  Entry *e = find_entry (limits, endpoint->key);
  if (e == NULL && !has_limit)
    return 0;
  WlLimit word = {
    .endpoint = endpoint->key,
    .started_ms = endpoint->record.started_ms,
    .rate = !has_limit                 ? 0
            : rate < WL_LIMIT_RATE_MAX ? rate
                                       : WL_LIMIT_RATE_MAX,
    .has_ended = !has_limit,
    .sent_us = sent_us < now_us ? sent_us : now_us,
    .heard_us = now_us,
  };
  int has_changed = 1;
  if (e == NULL)
    e = add_entry (limits, &word);
  else
    has_changed = apply_word (limits, e, &word, 0);
  limits->version += (uint64_t)has_changed;
  if (has_changed || (!e->limit.has_ended && e->limit.heard_us > e->told_us + RENEWAL_US))
    set_news (limits, e, 1);
  return has_changed;
}

static int
is_valid (const WlLimitWord *word)
{
  return word->endpoint != 0 && word->started_ms < WL_FLEET_STARTED_MAX_MS;
}

static int
apply_reported (WlLimits *limits, const WlLimitWord *reported, uint64_t now_us)
{
  uint64_t age_us = max_u64 (reported->sent_age_us, reported->heard_age_us);
  uint64_t sent_us = minus (minus (now_us, age_us), WL_LIMIT_ORDER_MARGIN_US);
  WlLimit word = {
    .endpoint = reported->endpoint,
    .started_ms = reported->started_ms,
    .rate = reported->rate < WL_LIMIT_RATE_MAX ? reported->rate : WL_LIMIT_RATE_MAX,
    .has_ended = reported->has_ended != 0,
    .sent_us = now_us < limits->paused_until_us ? 0 : sent_us,
    .heard_us = minus (now_us, reported->heard_age_us),
  };
  Entry *e = find_entry (limits, word.endpoint);
  int has_changed;
  if (e != NULL)
    has_changed = apply_word (limits, e, &word, WL_LIMIT_ORDER_MARGIN_US);
  else if (reported->heard_age_us > WL_LIMIT_ENDED_KEPT_US)
    return 0;
  else
    {
      e = add_entry (limits, &word);
      has_changed = !word.has_ended;
    }
  limits->version += (uint64_t)has_changed;
  if (e->limit.started_ms != word.started_ms || e->limit.has_ended != word.has_ended
      || (!word.has_ended && e->limit.rate != word.rate))
    return has_changed;
  e->told_us = max_u64 (e->told_us, word.heard_us);
  if (e->limit.heard_us <= e->told_us + RENEWAL_US)
    set_news (limits, e, 0);
  return has_changed;
}

uint32_t
wl_limits_apply_report (WlLimits *limits, const WlLimitReport *report, uint64_t now_us)
{
  uint32_t n_changed = 0;
  note_call (limits, now_us);
  for (uint32_t i = 0; i < report->n_words; i++)
    if (is_valid (&report->words[i]))
      n_changed += (uint32_t)apply_reported (limits, &report->words[i], now_us);
  return n_changed;
}

static void
add_word (WlLimits *limits, Entry *e, uint64_t now_us, WlLimitReport *out)
{
  limits->words[out->n_words++] = (WlLimitWord){
    .endpoint = e->limit.endpoint,
    .started_ms = e->limit.started_ms,
    .has_ended = e->limit.has_ended,
    .rate = e->limit.rate,
    .sent_age_us = minus (now_us, e->limit.sent_us),
    .heard_age_us = minus (now_us, e->limit.heard_us),
  };
}

int
wl_limits_take_report (WlLimits *limits, uint64_t now_us, WlLimitReport *out)
{
  note_call (limits, now_us);
  *out = (WlLimitReport){ .words = limits->words };
  for (uint32_t i = 0; limits->n_news > 0 && i < limits->n_entries; i++)
    {
      Entry *e = &limits->entries[i];
      if (!e->is_news || out->n_words == WL_LIMITS_REPORT_MAX)
        continue;
      add_word (limits, e, now_us, out);
      e->told_us = e->limit.heard_us;
      set_news (limits, e, 0);
    }
  return out->n_words > 0;
}

int
wl_limits_full_report (WlLimits *limits, uint64_t now_us, WlLimitReport *out)
{
  *out = (WlLimitReport){ .words = limits->words };
  uint32_t n = limits->n_entries < WL_LIMITS_REPORT_MAX ? limits->n_entries : WL_LIMITS_REPORT_MAX;
  for (uint32_t i = 0; i < n; i++)
    add_word (limits, &limits->entries[limits->next_reported++ % limits->n_entries], now_us, out);
  if (n > 0)
    limits->next_reported %= limits->n_entries;
  return n > 0;
}

static int
is_in_force (const WlLimit *limit, const WlEndpoint *endpoint)
{
  return !limit->has_ended && limit->started_ms >= endpoint->record.started_ms;
}

const WlLimit *
wl_limits_find (const WlLimits *limits, const WlEndpoint *endpoint)
{
  if (limits->n_in_force == 0)
    return NULL;
  const Entry *e = find_entry (limits, endpoint->key);
  return e != NULL && is_in_force (&e->limit, endpoint) ? &e->limit : NULL;
}

uint32_t
wl_limits_count (const WlLimits *limits)
{
  return limits->n_in_force;
}

uint64_t
wl_limits_version (const WlLimits *limits)
{
  return limits->version;
}

/* How old a word may be: for a low limit the time until the next request may be sent. */
static uint64_t
refresh_us (uint64_t rate)
{
  uint64_t interval_us = REFRESH_MAX_US;
  if (rate > 0 && (uint64_t)RATE_SECONDS * 1000000 / rate < REFRESH_MAX_US)
    interval_us = (uint64_t)RATE_SECONDS * 1000000 / rate;
  return max_u64 (interval_us, WL_PERMIT_REFRESH_US);
}

int
wl_limits_take_refresh (WlLimits *limits, WlFleet *fleet, const char *service, uint64_t now_us)
{
  if (limits->n_in_force == 0 || now_us < limits->refreshed_us + REFRESH_ASK_US)
    return 0;
  for (uint32_t i = 0; i < limits->n_entries; i++)
    {
      const WlLimit *limit = &limits->entries[i].limit;
      if (limit->has_ended || now_us < limit->heard_us + refresh_us (limit->rate))
        continue;
      const WlEndpoint *e = wl_fleet_find_key (fleet, limit->endpoint);
      if (e == NULL || !is_in_force (limit, e) || !wl_fleet_is_usable (e, now_us)
          || strcmp (e->record.service, service) != 0)
        continue;
      limits->refreshed_us = now_us;
      return 1;
    }
  return 0;
}

static int
has_expired (const WlLimit *limit, WlFleet *fleet, uint64_t now_us)
{
  if (limit->has_ended)
    return now_us > limit->heard_us + WL_LIMIT_ENDED_KEPT_US;
  const WlEndpoint *e = wl_fleet_find_key (fleet, limit->endpoint);
  if (e == NULL)
    return now_us > limit->heard_us + WL_FLEET_EXPIRY_US;
  return !is_in_force (limit, e);
}

void
wl_limits_expire (WlLimits *limits, WlFleet *fleet, uint64_t now_us)
{
  uint32_t n = limits->n_entries;
  for (uint32_t i = 0; i < limits->n_entries;)
    if (has_expired (&limits->entries[i].limit, fleet, now_us))
      remove_entry (limits, &limits->entries[i]);
    else
      i++;
  if (limits->n_entries != n)
    rebuild_index (limits);
}
