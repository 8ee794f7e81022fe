#include <inttypes.h>
#include <stdio.h>
#include "wl_events.h"
#include "wl_log.h"
#include "wl_relay_internal.h"

/* Parts of prompts at which engines end: evidence from the attempts of this node. */

enum
{
  PARTS_TEXT_SIZE = WL_QUARANTINE_PARTS_MAX * 17 + 1, /* 16 digits and a comma for each */
};

/* ---- evidence ---- */

/* Whether an endpoint has said that it will end, so that its end needs no other cause. */
static int
has_announced_end (const WlEndpoint *e)
{
  return e != NULL && (e->record.is_draining || e->record.has_left);
}

/*
 * Whether the request may have ended the engine of its attempt: it had just begun to
 * write, or had no output and so much time that half of the prompt can have been read.
 */
static int
is_suspect (const WlRelayRequest *r, uint64_t now_us)
{
  int has_failed = r->status >= 300 || r->is_aborted; /* an error, or not to be used here */
  if (!r->service->has_engine || r->info.parts.n == 0 || has_failed
      || has_announced_end (wl_relay_current_endpoint (r)))
    return 0;
  if (r->output_us > 0)
    return now_us < r->output_us + WL_QUARANTINE_SOUND_AFTER_US;
  return now_us >= r->sent_us + r->choice.part_us / 2;
}

static void
write_parts (const WlPromptParts *parts, char *out, size_t size)
{
  size_t used = 0;
  out[0] = '\0';
  for (uint32_t i = 0; i < parts->n && used < size; i++)
    used += (size_t)snprintf (out + used, size - used, "%s%" PRIx64, i > 0 ? "," : "",
                              parts->ids[i]);
}

void
wl_relay_note_broken (WlRelayRequest *r, uint64_t now_us)
{
  char parts[PARTS_TEXT_SIZE];
  if (!is_suspect (r, now_us))
    return;
  write_parts (&r->info.parts, parts, sizeof parts);
  wl_log_eventf (WL4013_REQUEST_SUSPECTED, "endpoint=%s request=%s service=%s begun=%d parts=%s",
                 r->target.id, r->info.id != NULL ? r->info.id : "-", r->service->name,
                 r->output_us > 0, parts);
}
