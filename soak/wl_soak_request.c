#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_soak.h"
#include "wl_soak_request.h"

enum
{
  EVENT_BYTES_MIN = 64,
  EVENT_HEAD_SIZE = 48,
  BIG_ONE_IN = 12,
  FAULT_ONE_IN = 25,
  REQUESTS_MAX = 1 << 20,
};

const WlSoakKindInfo wl_soak_kinds[WL_SOAK_KINDS] = {
  { "long", "streaming", 0, 1, 1, 8000, 20000 },
  { "short", "streaming", 0, 1, 1, 1500, 10000 },
  { "once", "streaming", 0, 0, 0, 1500, 10000 },
  { "read", "idempotent", 1, 0, 1, 1000, 10000 },
  { "order", "non_idempotent", 1, 0, 0, 1000, 10000 },
};

static WlSoakRequest *requests[REQUESTS_MAX];
static uint32_t n_requests;

static void
plan (WlSoakRequest *r, uint64_t *random)
{
  int is_engine = wl_soak_kinds[r->kind].service == 0;
  r->prompt_tokens = r->kind == WL_SOAK_LONG ? wl_soak_between (random, 40000, 120000)
                     : is_engine             ? wl_soak_between (random, 500, 8000)
                                             : 0;
  r->deadline_ms = wl_soak_kinds[r->kind].timeout_ms;
  r->service_ms = wl_soak_between (random, 5, 800);
  r->n_events = is_engine ? wl_soak_between (random, 5, 60) : 1;
  r->event_bytes = wl_soak_between (random, EVENT_BYTES_MIN, 600);
  r->event_gap_ms = is_engine ? wl_soak_between (random, 10, 40) : 0;
  if (wl_soak_between (random, 1, BIG_ONE_IN) == 1)
    {
      r->event_bytes = wl_soak_between (random, 20000, 60000);
      r->n_events = wl_soak_between (random, 20, 60);
    }
  r->framing = (uint8_t)wl_soak_between (random, WL_SOAK_CHUNKED, WL_SOAK_UNTIL_CLOSE);
  if (wl_soak_between (random, 1, FAULT_ONE_IN) == 1)
    r->fault = (uint8_t)wl_soak_between (random, WL_SOAK_CLOSES, WL_SOAK_FAILS);
  r->fault_event = wl_soak_between (random, 0, r->n_events - 1);
  r->has_chunked_body = (uint8_t)wl_soak_between (random, 0, 1);
}

WlSoakRequest *
wl_soak_request_add (WlSoakKind kind, uint32_t caller, uint64_t *random)
{
  WlSoakRequest *r = calloc (1, sizeof *r);
  if (r == NULL || n_requests == REQUESTS_MAX)
    abort ();
  r->index = n_requests;
  r->kind = (uint8_t)kind;
  r->caller = caller;
  snprintf (r->id, sizeof r->id, "%08x%08x", (uint32_t)wl_soak_random (random), r->index);
  plan (r, random);
  requests[n_requests++] = r;
  return r;
}

void
wl_soak_request_resume (WlSoakRequest *r, const WlSoakRequest *broken)
{
  r->origin = broken->origin != NULL ? broken->origin : broken;
  r->first_event = broken->first_event + (uint32_t)(broken->body_bytes / broken->event_bytes);
  r->prompt_tokens = broken->prompt_tokens;
  r->n_events = broken->n_events;
  r->event_bytes = broken->event_bytes;
  r->event_gap_ms = broken->event_gap_ms;
  r->fault_event = r->n_events - 1;
}

WlSoakRequest *
wl_soak_request_find (const char *id)
{
  if (strlen (id) != 16)
    return NULL;
  WlSoakRequest *r = wl_soak_request_at ((uint32_t)strtoul (id + 8, NULL, 16));
  return r != NULL && strcmp (r->id, id) == 0 ? r : NULL;
}

WlSoakRequest *
wl_soak_request_at (uint32_t index)
{
  return index < n_requests ? requests[index] : NULL;
}

void
wl_soak_request_clear (void)
{
  for (uint32_t i = 0; i < n_requests; i++)
    free (requests[i]);
  n_requests = 0;
}

static uint64_t
prefill_ms (const WlSoakRequest *r)
{
  return r->prompt_tokens * UINT64_C (1000) / WL_SOAK_PREFILL_PER_S;
}

uint64_t
wl_soak_request_stated_ms (const WlSoakRequest *r)
{
  const WlSoakKindInfo *kind = &wl_soak_kinds[r->kind];
  return kind->service == 0 ? prefill_ms (r) + (uint64_t)r->n_events * WL_SOAK_STEP_MS
                            : kind->objective_ms;
}

uint64_t
wl_soak_request_taken_ms (const WlSoakRequest *r)
{
  if (wl_soak_kinds[r->kind].service != 0)
    return (uint64_t)r->service_ms * r->slowness;
  return prefill_ms (r) + (uint64_t)(r->n_events - r->first_event) * r->event_gap_ms * r->slowness;
}

uint64_t
wl_soak_request_body_bytes (const WlSoakRequest *r)
{
  return (uint64_t)(r->n_events - r->first_event) * r->event_bytes;
}

void
wl_soak_request_body (const WlSoakRequest *r, uint64_t offset, char *out, size_t size)
{
  const WlSoakRequest *source = r->origin != NULL ? r->origin : r;
  char head[EVENT_HEAD_SIZE];
  size_t done = 0;
  while (done < size)
    {
      uint32_t event = (uint32_t)(offset / r->event_bytes);
      uint32_t at = (uint32_t)(offset % r->event_bytes);
      uint32_t head_size
          = (uint32_t)snprintf (head, sizeof head, "id: %u\ndata: %s-", event + 1, source->id);
      uint32_t n = r->event_bytes - at;
      if (n > size - done)
        n = (uint32_t)(size - done);
      memset (out + done, 'a' + (int)((event + source->index) % 26), n);
      for (uint32_t i = at; i < at + n && i < head_size; i++)
        out[done + i - at] = head[i];
      for (uint32_t i = r->event_bytes - 2 > at ? r->event_bytes - 2 : at; i < at + n; i++)
        out[done + i - at] = '\n';
      offset += n;
      done += n;
    }
}
