#include <stdlib.h>
#include <string.h>
#include "wl_outbox.h"

static WlOutboxItem *
add_item (WlEntry *entry, const WlClaimRecord *record)
{
  WlOutboxItem *item = calloc (1, sizeof *item);
  if (item == NULL)
    abort ();
  item->record = *record;
  item->record.body = (WlBytes){ NULL, 0 };
  item->next = entry->outbox;
  entry->outbox = item;
  return item;
}

static void
send_item (const WlEntry *entry, WlOutboxItem *item, const WlEventContext *ctx)
{
  WlMessage m = { .kind = WL_MESSAGE_CLAIM_END };
  m.u.claim_end.record = item->record;
  item->next_send_us = ctx->now_us + WL_ENTRY_CLAIM_RETRY_US;
  wl_effects_send (ctx->fx, wl_session_control_node (entry->session), &m);
}

static WlClaimStatus
claim_status (const WlRequest *request, const WlRequestResult *result)
{
  if (result->outcome == WL_OUTCOME_DONE)
    return WL_CLAIM_DONE;
  return request->may_have_run ? WL_CLAIM_UNKNOWN : WL_CLAIM_NOT_RUN;
}

void
wl_outbox_add (WlEntry *entry, const WlRequest *request, const WlRequestResult *result,
               const WlEventContext *ctx)
{
  WlClaimRecord record = {
    .request = request->id,
    .node = entry->settings->self.node,
    .incarnation = entry->settings->incarnation,
    .status = (uint8_t)claim_status (request, result),
    .http_status = result->http_status,
  };
  /* Another request had claimed the key, so this one has no claim to end. */
  if (result->outcome == WL_OUTCOME_REPLAYED || result->reason == WL_REFUSAL_CLAIM_TAKEN
      || result->reason == WL_REFUSAL_CLAIM_UNKNOWN || result->reason == WL_REFUSAL_KEY_REUSED)
    return;
  strcpy (record.customer, request->customer);
  strcpy (record.key, request->key);
  memcpy (record.digest, request->digest, WL_DIGEST_SIZE);
  WlOutboxItem *item = add_item (entry, &record);
  if (record.status == WL_CLAIM_DONE && request->plain_response.size > 0
      && request->plain_response.size <= WL_OUTCOME_MAX)
    item->record.body = wl_bytes_dup (request->plain_response);
  send_item (entry, item, ctx);
}

void
wl_outbox_release (WlEntry *entry, const WlClaimRecord *record, const WlEventContext *ctx)
{
  WlOutboxItem *item = add_item (entry, record);
  item->record.status = WL_CLAIM_NOT_RUN;
  send_item (entry, item, ctx);
}

static void
free_item (WlOutboxItem *item)
{
  wl_bytes_release (&item->record.body);
  free (item);
}

void
wl_outbox_confirm (WlEntry *entry, uint64_t id)
{
  for (WlOutboxItem **slot = &entry->outbox; *slot != NULL; slot = &(*slot)->next)
    if ((*slot)->record.request == id)
      {
        WlOutboxItem *item = *slot;
        *slot = item->next;
        free_item (item);
        return;
      }
}

int
wl_outbox_contains (const WlEntry *entry, uint64_t id)
{
  for (const WlOutboxItem *i = entry->outbox; i != NULL; i = i->next)
    if (i->record.request == id)
      return 1;
  return 0;
}

void
wl_outbox_tick (WlEntry *entry, const WlEventContext *ctx)
{
  for (WlOutboxItem *i = entry->outbox; i != NULL; i = i->next)
    if (ctx->now_us >= i->next_send_us)
      send_item (entry, i, ctx);
}

uint32_t
wl_outbox_count (const WlEntry *entry)
{
  uint32_t n = 0;
  for (const WlOutboxItem *i = entry->outbox; i != NULL; i = i->next)
    n++;
  return n;
}

void
wl_outbox_destroy (WlEntry *entry)
{
  while (entry->outbox != NULL)
    {
      WlOutboxItem *item = entry->outbox;
      entry->outbox = item->next;
      free_item (item);
    }
}
