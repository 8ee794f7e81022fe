#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_soak_nodes.h"
#include "wl_soak_parts.h"

enum
{
  CUSTOMERS = 2, /* callers by turns, as their keys */
  SESSIONS = 6,  /* of a customer */
  FIRST_TOKENS = 200,
  SECOND_TOKENS = 150,
  PROMPT_MIN_TOKENS = 500,
  STABLE_US = 3000000,   /* stable_window_ms */
  ENDS_KNOWN = 5,        /* from this end on the requests count */
  LATE_ARRIVALS_MAX = 3, /* of rule BUDGET */
  SOUND_REFUSED_MAX = 1,
  SHARE_MIN_REQUESTS = 20, /* of rule LOST, before and after */
  LOG_LINE_SIZE = 4096,
};

/* Ids of parts; the request's own is its id. */
static const uint64_t first_part = 0x5f000000; /* and the kind */
static const uint64_t sound_part = 0x50000000; /* and customer and session */
static const uint64_t bad_part = 0xbad00000;   /* and its number from 1 */

/* What has come of a bad part; @n_late: arrivals that rule BUDGET counts; @again_us: the first
   answer that began after it was mended. */
typedef struct
{
  uint32_t n_requests;
  uint32_t n_arrivals;
  uint32_t n_late;
  uint32_t n_ends;
  uint64_t known_us; /* the fifth end, or the last if there are fewer */
  uint64_t last_sent_us;
  uint64_t again_us;
  uint8_t by_customer[CUSTOMERS];
} Bad;

typedef struct
{
  uint32_t n;
  uint32_t n_begun;
} Share;

static const WlSoak *run;
static uint64_t random_state;
static Bad bad_parts[WL_SOAK_BAD_MAX];
static uint32_t n_ends;

void
wl_soak_parts_open (const WlSoak *soak)
{
  run = soak;
  random_state = soak->options.seed ^ bad_part;
}

static int
is_mended (uint64_t now_us)
{
  const WlSoakOptions *o = &run->options;
  return o->bad_until_s != 0 && now_us >= run->begin_us + (uint64_t)o->bad_until_s * 1000000;
}

/* Whether the kill of all is so recent that rule BUDGET does not count arrivals again yet. */
static int
is_paused (uint64_t now_us)
{
  uint64_t kill_us = run->begin_us + (uint64_t)run->options.kill_all_at_s * 1000000;
  return run->options.kill_all_at_s != 0 && now_us >= kill_us
         && now_us < kill_us + WL_SOAK_BAD_PAUSE_US;
}

/* ---- requests ---- */

void
wl_soak_parts_plan (WlSoakRequest *r, uint64_t now_us)
{
  const WlSoakOptions *o = &run->options;
  uint32_t customer = r->caller % CUSTOMERS;
  r->is_at_calm_node = (uint8_t)wl_soak_nodes_is_calm (r->node, now_us, STABLE_US);
  if (r->origin != NULL)
    {
      r->bad = r->origin->bad;
      r->second_part = r->origin->second_part;
      return;
    }
  r->second_part = sound_part + customer * 0x100 + wl_soak_between (&random_state, 1, SESSIONS);
  if (wl_soak_kinds[r->kind].service != 0)
    return;
  if (o->prompt_max != 0 && r->prompt_tokens > o->prompt_max)
    r->prompt_tokens = wl_soak_between (&random_state, PROMPT_MIN_TOKENS, o->prompt_max);
  if (o->n_bad == 0 || now_us < run->begin_us + WL_SOAK_BAD_FROM_US || is_paused (now_us)
      || customer >= o->n_bad_customers || wl_soak_between (&random_state, 1, o->bad_one_in) != 1)
    return;
  r->bad = (uint8_t)wl_soak_between (&random_state, 1, o->n_bad);
  r->second_part = bad_part + r->bad;
  r->fault = WL_SOAK_SOUND;
  Bad *bad = &bad_parts[r->bad - 1];
  bad->n_requests++;
  bad->last_sent_us = now_us;
  bad->by_customer[customer] = 1;
}

void
wl_soak_parts_write (const WlSoakRequest *r, char *out)
{
  snprintf (out, WL_SOAK_PARTS_SIZE, "%" PRIx64 ":%d,%" PRIx64 ":%d,%s:%u", first_part + r->kind,
            FIRST_TOKENS, r->second_part, SECOND_TOKENS, r->id,
            r->prompt_tokens - FIRST_TOKENS - SECOND_TOKENS);
}

/* ---- endpoints ---- */

void
wl_soak_parts_note_arrival (const WlSoakRequest *r, uint64_t now_us)
{
  if (r->bad == 0)
    return;
  Bad *bad = &bad_parts[r->bad - 1];
  bad->n_arrivals++;
  if (is_mended (now_us) || bad->n_ends < ENDS_KNOWN || now_us <= bad->known_us + STABLE_US
      || !wl_soak_nodes_is_calm (r->node, now_us, STABLE_US))
    return;
  bad->n_late++;
  printf ("late arrival: part=%" PRIx64 " request=%s at=%.3f node=%u\n", r->second_part, r->id,
          (double)(now_us - run->begin_us) / 1e6, r->node);
}

int
wl_soak_parts_is_end (const WlSoakRequest *r, uint32_t n_written, uint64_t now_us)
{
  if (r->bad == 0 || n_written < r->index % 2)
    return 0;
  if (!is_mended (now_us))
    return 1;
  Bad *bad = &bad_parts[r->bad - 1];
  if (bad->again_us == 0)
    bad->again_us = now_us;
  return 0;
}

void
wl_soak_parts_note_end (const WlSoakRequest *r, const char *endpoint, uint64_t now_us)
{
  n_ends++;
  printf ("end: endpoint=%s at=%.3f part=%" PRIx64 " request=%s node=%u\n", endpoint,
          (double)(now_us - run->begin_us) / 1e6, r != NULL ? r->second_part : 0,
          r != NULL ? r->id : "-", r != NULL ? r->node : 0);
  if (r == NULL)
    return;
  Bad *bad = &bad_parts[r->bad - 1];
  if (bad->n_ends++ < ENDS_KNOWN)
    bad->known_us = now_us;
}

/* ---- verdicts ---- */

/* A sound request of an engine that can be compared: its caller waited for it, its node was
   neither stopped nor started. */
static int
is_counted (const WlSoakRequest *r)
{
  if (wl_soak_kinds[r->kind].service != 0 || r->bad != 0 || !r->is_at_calm_node || r->sent_us == 0)
    return 0;
  if (r->traits & WL_SOAK_HALF
      || (r->end == WL_SOAK_LEFT && r->ended_us < r->started_us + r->deadline_ms * UINT64_C (1000)))
    return 0;
  return wl_soak_nodes_find_stop (r->node, r->connected_us, r->ended_us) == NULL;
}

/* Share of the sound requests of a kind, and of a customer if @customer is one, that began. */
static Share
count_share (int kind, uint32_t customer, uint64_t from_us, uint64_t until_us)
{
  Share share = { 0, 0 };
  const WlSoakRequest *r;
  for (uint32_t i = 0; (r = wl_soak_request_at (i)) != NULL; i++)
    {
      if (r->kind != kind || r->started_us < from_us || r->started_us >= until_us || !is_counted (r)
          || (customer < CUSTOMERS && r->caller % CUSTOMERS != customer))
        continue;
      share.n++;
      share.n_begun += r->status == 200 && r->body_bytes > 0;
    }
  return share;
}

/* Prints the shares of a kind before and after @after_us. Returns 1 when rule LOST is broken. */
static int
compare_shares (int kind, uint32_t customer, uint64_t after_us, uint64_t until_us)
{
  Share before = count_share (kind, customer, run->begin_us, run->begin_us + WL_SOAK_BAD_FROM_US);
  Share after = count_share (kind, customer, after_us, until_us);
  printf ("  begun: kind=%s customer=%s before=%u/%u after=%u/%u\n", wl_soak_kinds[kind].name,
          customer == CUSTOMERS ? "all"
          : customer == 0       ? "0"
                                : "1",
          before.n_begun, before.n, after.n_begun, after.n);
  return before.n >= SHARE_MIN_REQUESTS && after.n >= SHARE_MIN_REQUESTS
         && (uint64_t)after.n_begun * before.n * 2 < (uint64_t)before.n_begun * after.n;
}

/* Engines that end by chance lower the share by themselves: it is printed only. */
static void
judge_shares (const Bad *bad, uint64_t part)
{
  uint64_t after_us = bad->known_us + 2 * (uint64_t)STABLE_US;
  for (int kind = 0; kind < WL_SOAK_KINDS; kind++)
    for (uint32_t customer = 0; customer <= CUSTOMERS; customer++)
      if (wl_soak_kinds[kind].service == 0
          && compare_shares (kind, customer, after_us, bad->last_sent_us)
          && (customer == CUSTOMERS || bad->by_customer[customer])
          && run->options.ends_every_ms == 0)
        wl_soak_broken ("sound requests beside part %" PRIx64 " begin less than half as often: "
                        "kind=%s",
                        part, wl_soak_kinds[kind].name);
}

static void
judge_part (const Bad *bad, uint64_t part)
{
  double known_s = bad->n_ends > 0 ? (double)(bad->known_us - run->begin_us) / 1e6 : 0;
  printf ("part %" PRIx64 ": requests=%u arrivals=%u ends=%u known_at=%.3f late_arrivals=%u\n",
          part, bad->n_requests, bad->n_arrivals, bad->n_ends, known_s, bad->n_late);
  if (bad->again_us != 0)
    printf ("  served again at %.3f\n", (double)(bad->again_us - run->begin_us) / 1e6);
  if (bad->n_late > LATE_ARRIVALS_MAX)
    wl_soak_broken ("%u requests with part %" PRIx64 " reached endpoints later than 3 s after the "
                    "fifth end",
                    bad->n_late, part);
  if (bad->n_ends > 0)
    judge_shares (bad, part);
}

/* Reads the value behind @name of a log line as a hexadecimal number, 0 if there is none. */
static uint64_t
read_field (const char *line, const char *name)
{
  const char *value = strstr (line, name);
  return value != NULL ? strtoull (value + strlen (name), NULL, 16) : 0;
}

static void
read_log_line (const char *line, uint32_t node, uint32_t *n_sound)
{
  char id[17] = "";
  const char *request = strstr (line, " request=");
  uint64_t part = read_field (line, " part=");
  WlSoakRequest *r = NULL;
  if (strstr (line, "WL4014 ") != NULL && (part <= bad_part || part > bad_part + WL_SOAK_BAD_MAX))
    wl_soak_broken ("node %u quarantined a sound part: %s", node, line);
  if (strstr (line, "reason=quarantined") == NULL || request == NULL
      || sscanf (request, " request=%16s", id) != 1)
    return;
  r = wl_soak_request_find (id);
  if (r == NULL || r->bad != 0 || r->is_quarantined)
    return;
  r->is_quarantined = 1;
  ++*n_sound;
  printf ("sound request refused as quarantined at node %u: %s", node, line);
}

static void
judge_logs (void)
{
  char path[512];
  char line[LOG_LINE_SIZE];
  uint32_t n_sound = 0;
  for (uint32_t node = 0; node < run->options.n_nodes; node++)
    {
      snprintf (path, sizeof path, "%s/node-%u.log", run->options.folder, node);
      FILE *f = fopen (path, "r");
      if (f == NULL)
        {
          wl_soak_broken ("the log of node %u cannot be read", node);
          continue;
        }
      while (fgets (line, sizeof line, f) != NULL)
        read_log_line (line, node, &n_sound);
      fclose (f);
    }
  printf ("sound requests refused as quarantined: %u\n", n_sound);
  if (n_sound > SOUND_REFUSED_MAX)
    wl_soak_broken ("%u sound requests were refused as quarantined", n_sound);
}

void
wl_soak_parts_judge (void)
{
  uint64_t end_us = run->begin_us + (uint64_t)run->options.seconds * 1000000;
  printf ("endpoints ended: %u\n", n_ends);
  for (uint32_t i = 0; i < run->options.n_bad; i++)
    judge_part (&bad_parts[i], bad_part + i + 1);
  if (run->options.n_bad == 0 && run->options.ends_every_ms != 0)
    for (int kind = 0; kind < WL_SOAK_KINDS; kind++)
      if (wl_soak_kinds[kind].service == 0)
        compare_shares (kind, CUSTOMERS, run->begin_us + WL_SOAK_BAD_FROM_US, end_us);
  judge_logs ();
}
