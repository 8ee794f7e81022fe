#include <stdlib.h>
#include <string.h>
#include "wl_delta.h"
#include "wl_document.h"
#include "wl_events.h"

typedef enum
{
  REQUEST_SUBMIT,
  REQUEST_READ,
} RequestKind;

/* A submission or read that the leader has not answered yet. */
typedef struct
{
  RequestKind kind;
  uint32_t node;
  uint64_t id;
  uint64_t queued_us;
  uint64_t version; /* of a submission */
  WlBytes config;   /* of a submission, as received; on the heap */
  uint8_t is_compressed;
  uint64_t has_number; /* configuration number that the sender of a read has */
  uint64_t round;      /* heartbeat round that must be confirmed before a read is answered */
} QueuedRequest;

struct WlDocument
{
  WlRaft raft;
  WlState *state;
  QueuedRequest queue[WL_DOCUMENT_WAITING_MAX];
  uint32_t n_queued;
  uint64_t proposed_index; /* log index of the uncommitted change, 0 for none */
  uint64_t leader_term;    /* term in which this replica leads, 0 for none */
};

WlBytes
wl_document_pack (uint64_t version, WlBytes text, apr_pool_t *pool)
{
  uint8_t *out = apr_palloc (pool, WL_DOCUMENT_VERSION_SIZE + text.size);
  for (int i = 0; i < WL_DOCUMENT_VERSION_SIZE; i++)
    out[i] = (uint8_t)(version >> (8 * (WL_DOCUMENT_VERSION_SIZE - 1 - i)));
  if (text.size > 0)
    memcpy (out + WL_DOCUMENT_VERSION_SIZE, text.data, text.size);
  return (WlBytes){ out, WL_DOCUMENT_VERSION_SIZE + text.size };
}

WlBytes
wl_document_unpack (WlBytes packed, uint64_t *version)
{
  *version = 0;
  if (packed.size < WL_DOCUMENT_VERSION_SIZE)
    return (WlBytes){ NULL, 0 };
  for (int i = 0; i < WL_DOCUMENT_VERSION_SIZE; i++)
    *version = *version << 8 | packed.data[i];
  return (WlBytes){ packed.data + WL_DOCUMENT_VERSION_SIZE,
                    packed.size - WL_DOCUMENT_VERSION_SIZE };
}

static WlError
load_snapshot (WlDocument *d)
{
  WlBytes image = { d->raft.snapshot, d->raft.snapshot_size };
  d->raft.restored = 0;
  return wl_state_load (d->state, image);
}

WlError
wl_document_create (const WlSettings *settings, const WlStored *stored, uint64_t now_us,
                    WlDocument **out)
{
  WlDocument *d = calloc (1, sizeof *d);
  if (d == NULL)
    return WL_ERROR_NO_MEMORY;
  d->state = wl_state_create ();
  wl_raft_init (&d->raft, settings, stored, now_us);
  d->raft.may_bootstrap = 0;
  if (d->raft.restored && load_snapshot (d) != WL_OK)
    {
      wl_document_destroy (d);
      return WL_ERROR_CORRUPT;
    }
  *out = d;
  return WL_OK;
}

static void
remove_request (WlDocument *d, uint32_t i)
{
  wl_bytes_release (&d->queue[i].config);
  d->n_queued--;
  memmove (&d->queue[i], &d->queue[i + 1], (d->n_queued - i) * sizeof *d->queue);
}

static void
clear_queue (WlDocument *d)
{
  while (d->n_queued > 0)
    remove_request (d, d->n_queued - 1);
}

void
wl_document_destroy (WlDocument *document)
{
  if (document == NULL)
    return;
  clear_queue (document);
  wl_raft_clear (&document->raft);
  wl_state_destroy (document->state);
  free (document);
}

void
wl_document_set_voters (WlDocument *document, uint32_t faults)
{
  document->raft.max_voters = 2 * faults + 1;
  document->raft.min_voters = faults + 1;
}

void
wl_document_set_founders (WlDocument *document, const uint32_t *founders, uint32_t n_founders)
{
  for (uint32_t i = 0; i < n_founders; i++)
    wl_raft_add_peer (&document->raft, founders[i]);
  document->raft.may_bootstrap = 1;
}

void
wl_document_add_peer (WlDocument *document, uint32_t node)
{
  wl_raft_add_peer (&document->raft, node);
}

uint32_t
wl_document_leader (const WlDocument *document)
{
  return document->raft.leader;
}

uint32_t
wl_document_voters (const WlDocument *document, uint32_t *out)
{
  for (uint32_t i = 0; i < document->raft.n_voters; i++)
    out[i] = document->raft.voters[i].node;
  return document->raft.n_voters;
}

WlBytes
wl_document_text (const WlDocument *document, uint64_t *number)
{
  *number = document->state->number;
  return document->state->config;
}

const WlConfigChange *
wl_document_change_to (const WlDocument *document, uint64_t number)
{
  return wl_recent_find (&document->state->recent_changes, number);
}

static uint64_t
queued_bytes (const WlDocument *d)
{
  uint64_t bytes = 0;
  for (uint32_t i = 0; i < d->n_queued; i++)
    bytes += d->queue[i].config.size;
  return bytes;
}

void
wl_document_memory (const WlDocument *document, WlDocumentMemory *out)
{
  const WlDocument *d = document;
  *out = (WlDocumentMemory){
    .text = d->state->config.size,
    .changes = d->state->recent_changes.bytes,
    .log = d->raft.log_bytes,
    .snapshot = d->raft.snapshot_size,
    .waiting = queued_bytes (d),
  };
}

/* ---- the leader's queue ---- */

static void
reply_submit (const WlDocument *d, const QueuedRequest *r, WlSubmitOutcome outcome, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_SUBMIT_REPLY };
  m.u.submit_reply.id = r->id;
  m.u.submit_reply.outcome = (uint8_t)outcome;
  m.u.submit_reply.number = d->state->number;
  m.u.submit_reply.current = d->state->number;
  wl_effects_send (fx, r->node, &m);
}

static void
reply_read (const WlDocument *d, const QueuedRequest *r, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_QUERY_REPLY };
  m.u.query_reply.id = r->id;
  m.u.query_reply.leader = d->raft.self;
  m.u.query_reply.term = d->raft.term;
  m.u.query_reply.commit = d->raft.commit;
  m.u.query_reply.config_number = d->state->number;
  m.u.query_reply.has_text = d->state->number != r->has_number;
  m.u.query_reply.is_packed = m.u.query_reply.has_text;
  if (m.u.query_reply.has_text)
    m.u.query_reply.text = wl_text_pack (d->state->config, fx->pool);
  wl_effects_send (fx, r->node, &m);
}

static uint64_t
current_version (const WlDocument *d)
{
  uint64_t version;
  wl_document_unpack (d->state->config, &version);
  return version;
}

/* Proposes a submission. Returns 0 when its configuration cannot be decompressed. */
static int
propose_config (WlDocument *d, const QueuedRequest *r, WlEffects *fx)
{
  WlCommand c = { .kind = WL_COMMAND_CONFIG };
  WlBytes config = r->config;
  if (r->is_compressed && wl_text_unpack (r->config, fx->pool, &config) != WL_OK)
    {
      wl_effects_log (fx, WL2106_CONFIG_UNREADABLE, "version=%lu peer=%u reason=compression",
                      (unsigned long)r->version, r->node);
      return 0;
    }
  WlBytes versioned = wl_document_pack (r->version, config, fx->pool);
  wl_delta_make (d->state->config, versioned, fx->pool, &c.u.config);
  c.u.config.replaces = d->state->number;
  c.u.config.number = d->state->number + 1;
  d->proposed_index = wl_raft_propose (&d->raft, wl_command_encode (&c, fx->pool), fx);
  return 1;
}

/* Index of the queued submission with the highest version, n_queued when there is none. */
static uint32_t
find_highest_version (const WlDocument *d)
{
  uint32_t highest = d->n_queued;
  for (uint32_t i = 0; i < d->n_queued; i++)
    if (d->queue[i].kind == REQUEST_SUBMIT
        && (highest == d->n_queued || d->queue[i].version > d->queue[highest].version))
      highest = i;
  return highest;
}

/* Answers the requests that the committed state settles, and proposes the next change. */
static void
serve_queue (WlDocument *d, uint64_t now_us, WlEffects *fx)
{
  uint64_t confirmed = wl_raft_confirmed_round (&d->raft);
  uint64_t version = current_version (d);
  for (uint32_t i = 0; i < d->n_queued;)
    {
      const QueuedRequest *r = &d->queue[i];
      int is_done = 0;
      if (r->kind == REQUEST_SUBMIT && r->version <= version)
        {
          reply_submit (d, r, WL_SUBMIT_ACCEPTED, fx);
          is_done = 1;
        }
      else if (r->kind == REQUEST_READ && r->round <= confirmed)
        {
          reply_read (d, r, fx);
          is_done = 1;
        }
      else if (now_us > r->queued_us + WL_DOCUMENT_WAIT_US)
        is_done = 1; /* the sender has timed out */
      if (is_done)
        remove_request (d, i);
      else
        i++;
    }
  while (d->proposed_index == 0 && find_highest_version (d) < d->n_queued)
    {
      uint32_t next = find_highest_version (d);
      if (!propose_config (d, &d->queue[next], fx))
        remove_request (d, next);
    }
}

/* Whether a request is queued already: senders repeat theirs until they are answered. */
static int
is_queued (const WlDocument *d, uint32_t node, uint64_t id)
{
  for (uint32_t i = 0; i < d->n_queued; i++)
    if (d->queue[i].node == node && d->queue[i].id == id)
      return 1;
  return 0;
}

static QueuedRequest *
queue_request (WlDocument *d, RequestKind kind, uint32_t node, uint64_t id, uint64_t now_us)
{
  if (d->n_queued == WL_DOCUMENT_WAITING_MAX)
    return NULL; /* the sender will retry */
  QueuedRequest *r = &d->queue[d->n_queued++];
  memset (r, 0, sizeof *r);
  r->kind = kind;
  r->node = node;
  r->id = id;
  r->queued_us = now_us;
  return r;
}

static void
on_submit (WlDocument *d, const WlSubmit *s, uint64_t now_us, WlEffects *fx)
{
  uint64_t bytes = queued_bytes (d);
  if (is_queued (d, s->node, s->id))
    return;
  if (bytes + s->text.size > WL_DOCUMENT_WAITING_BYTES)
    {
      QueuedRequest refused = { .node = s->node, .id = s->id };
      wl_effects_log (fx, WL2111_SUBMISSION_REFUSED,
                      "version=%lu peer=%u bytes=%u waiting_bytes=%lu", (unsigned long)s->replaces,
                      s->node, s->text.size, (unsigned long)bytes);
      reply_submit (d, &refused, WL_SUBMIT_UNAVAILABLE, fx);
      return;
    }
  QueuedRequest *r = queue_request (d, REQUEST_SUBMIT, s->node, s->id, now_us);
  if (r == NULL)
    return;
  r->version = s->replaces;
  r->config = wl_bytes_dup (s->text);
  r->is_compressed = s->is_packed;
}

static void
on_query (WlDocument *d, const WlQuery *q, uint64_t now_us)
{
  if (is_queued (d, q->node, q->id))
    return;
  QueuedRequest *r = queue_request (d, REQUEST_READ, q->node, q->id, now_us);
  if (r == NULL)
    return;
  r->has_number = q->number;
  r->round = wl_raft_request_round (&d->raft);
}

/* ---- applying ---- */

static void
take_snapshot (WlDocument *d, WlEffects *fx)
{
  apr_pool_t *pool;
  if (d->raft.group_index > d->raft.applied)
    return; /* the snapshot must not contain voters that are not committed */
  apr_pool_create (&pool, NULL);
  wl_raft_compact (&d->raft, wl_state_save (d->state, d->raft.voters, d->raft.n_voters, pool), fx);
  apr_pool_destroy (pool);
}

static void
apply_entry (WlDocument *d, const WlLogEntry *entry, WlEffects *fx)
{
  apr_pool_t *pool;
  WlCommand command;
  uint64_t before = d->state->number;
  apr_pool_create (&pool, NULL);
  if (wl_command_decode (entry->command, &command, pool) == WL_OK)
    wl_state_apply (d->state, &command);
  apr_pool_destroy (pool);
  if (d->state->number != before)
    wl_effects_log (fx, WL2101_CONFIG_COMMITTED,
                    "number=%lu version=%lu index=%lu text_bytes=%u entry_bytes=%u",
                    (unsigned long)d->state->number, (unsigned long)current_version (d),
                    (unsigned long)entry->index, d->state->config.size, entry->command.size);
  if (d->proposed_index != 0 && entry->index >= d->proposed_index)
    d->proposed_index = 0;
}

static void
apply_committed (WlDocument *d, uint64_t now_us, WlEffects *fx)
{
  const WlLogEntry *entry;
  uint64_t term = d->raft.role == WL_RAFT_LEADER ? d->raft.term : 0;
  if (d->raft.restored && load_snapshot (d) != WL_OK)
    abort (); /* the snapshot passed its checksum, so this is a bug in the encoding */
  if (term != d->leader_term)
    {
      clear_queue (d);
      d->proposed_index = 0;
      d->leader_term = term;
    }
  while ((entry = wl_raft_next_committed (&d->raft)) != NULL)
    apply_entry (d, entry, fx);
  if (wl_raft_is_ready (&d->raft))
    serve_queue (d, now_us, fx);
  if (wl_raft_wants_snapshot (&d->raft))
    take_snapshot (d, fx);
}

int
wl_document_receive (WlDocument *document, uint32_t from, const WlMessage *message, uint64_t now_us,
                     WlEffects *fx)
{
  WlDocument *d = document;
  if (wl_raft_receive (&d->raft, from, message, now_us, fx))
    {
      apply_committed (d, now_us, fx);
      return 1;
    }
  if (message->kind != WL_MESSAGE_SUBMIT && message->kind != WL_MESSAGE_QUERY)
    return 0;
  if (!wl_raft_is_ready (&d->raft))
    {
      WlMessage m = { .kind = WL_MESSAGE_NOT_LEADER };
      m.u.not_leader.leader = d->raft.role == WL_RAFT_LEADER ? 0 : d->raft.leader;
      wl_effects_send (fx, from, &m);
      return 1;
    }
  if (message->kind == WL_MESSAGE_SUBMIT)
    on_submit (d, &message->u.submit, now_us, fx);
  else
    on_query (d, &message->u.query, now_us);
  apply_committed (d, now_us, fx);
  return 1;
}

void
wl_document_tick (WlDocument *document, uint64_t now_us, WlEffects *fx)
{
  wl_raft_tick (&document->raft, now_us, fx);
  apply_committed (document, now_us, fx);
}

void
wl_document_flush (WlDocument *document, uint64_t now_us, WlEffects *fx)
{
  wl_raft_flush (&document->raft, now_us, fx);
  apply_committed (document, now_us, fx);
}
