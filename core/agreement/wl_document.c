#include <stdlib.h>
#include <string.h>
#include "wl_delta.h"
#include "wl_document.h"
#include "wl_events.h"

typedef enum
{
  WAITING_SUBMIT,
  WAITING_READ,
} WaitingKind;

/* A submission or a read that the leader has not yet answered. */
typedef struct
{
  WaitingKind kind;
  uint32_t node;
  uint64_t id;
  uint64_t since_us;
  uint64_t version; /* of a submission */
  WlBytes text;     /* of a submission, as it arrived; on the heap */
  uint8_t is_packed;
  uint64_t number; /* that the reader has already */
  uint64_t round;  /* that must be confirmed for a read */
} Waiting;

struct WlDocument
{
  WlRaft raft;
  WlState *state;
  Waiting waiting[WL_DOCUMENT_WAITING_MAX];
  uint32_t n_waiting;
  uint64_t proposed;    /* index of the change in progress, 0 for none */
  uint64_t leader_term; /* term in which this replica leads, 0 for none */
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
  d->raft.may_found = 0;
  if (d->raft.restored && load_snapshot (d) != WL_OK)
    {
      wl_document_destroy (d);
      return WL_ERROR_CORRUPT;
    }
  *out = d;
  return WL_OK;
}

static void
remove_waiting (WlDocument *d, uint32_t i)
{
  wl_bytes_release (&d->waiting[i].text);
  d->n_waiting--;
  memmove (&d->waiting[i], &d->waiting[i + 1], (d->n_waiting - i) * sizeof *d->waiting);
}

static void
clear_waiting (WlDocument *d)
{
  while (d->n_waiting > 0)
    remove_waiting (d, d->n_waiting - 1);
}

void
wl_document_destroy (WlDocument *document)
{
  if (document == NULL)
    return;
  clear_waiting (document);
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
  document->raft.may_found = 1;
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
  return document->state->text;
}

const WlConfigChange *
wl_document_change_to (const WlDocument *document, uint64_t number)
{
  return wl_recent_find (&document->state->recent, number);
}

static uint64_t
waiting_bytes (const WlDocument *d)
{
  uint64_t bytes = 0;
  for (uint32_t i = 0; i < d->n_waiting; i++)
    bytes += d->waiting[i].text.size;
  return bytes;
}

void
wl_document_memory (const WlDocument *document, WlDocumentMemory *out)
{
  const WlDocument *d = document;
  *out = (WlDocumentMemory){
    .text = d->state->text.size,
    .changes = d->state->recent.bytes,
    .log = d->raft.log_bytes,
    .snapshot = d->raft.snapshot_size,
    .waiting = waiting_bytes (d),
  };
}

/* ---- the leader's queue ---- */

static void
reply_submit (const WlDocument *d, const Waiting *w, WlSubmitOutcome outcome, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_SUBMIT_REPLY };
  m.u.submit_reply.id = w->id;
  m.u.submit_reply.outcome = (uint8_t)outcome;
  m.u.submit_reply.number = d->state->number;
  m.u.submit_reply.current = d->state->number;
  wl_effects_send (fx, w->node, &m);
}

static void
reply_read (const WlDocument *d, const Waiting *w, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_QUERY_REPLY };
  m.u.query_reply.id = w->id;
  m.u.query_reply.leader = d->raft.self;
  m.u.query_reply.term = d->raft.term;
  m.u.query_reply.commit = d->raft.commit;
  m.u.query_reply.config_number = d->state->number;
  m.u.query_reply.has_text = d->state->number != w->number;
  m.u.query_reply.is_packed = m.u.query_reply.has_text;
  if (m.u.query_reply.has_text)
    m.u.query_reply.text = wl_text_pack (d->state->text, fx->pool);
  wl_effects_send (fx, w->node, &m);
}

static uint64_t
current_version (const WlDocument *d)
{
  uint64_t version;
  wl_document_unpack (d->state->text, &version);
  return version;
}

/* Proposes a submission. Returns 0 when its text is damaged. */
static int
propose (WlDocument *d, const Waiting *w, WlEffects *fx)
{
  WlCommand c = { .kind = WL_COMMAND_CONFIG };
  WlBytes text = w->text;
  if (w->is_packed && wl_text_unpack (w->text, fx->pool, &text) != WL_OK)
    {
      wl_effects_log (fx, WL2106_CONFIG_UNREADABLE, "version=%lu peer=%u reason=compression",
                      (unsigned long)w->version, w->node);
      return 0;
    }
  WlBytes packed = wl_document_pack (w->version, text, fx->pool);
  wl_delta_make (d->state->text, packed, fx->pool, &c.u.config);
  c.u.config.replaces = d->state->number;
  c.u.config.number = d->state->number + 1;
  d->proposed = wl_raft_propose (&d->raft, wl_command_encode (&c, fx->pool), fx);
  return 1;
}

/* The highest version that waits: once committed it answers the lower ones too. */
static uint32_t
highest_waiting (const WlDocument *d)
{
  uint32_t best = d->n_waiting;
  for (uint32_t i = 0; i < d->n_waiting; i++)
    if (d->waiting[i].kind == WAITING_SUBMIT
        && (best == d->n_waiting || d->waiting[i].version > d->waiting[best].version))
      best = i;
  return best;
}

/* Answers what the committed state answers, and proposes the next change. */
static void
serve_waiting (WlDocument *d, uint64_t now_us, WlEffects *fx)
{
  uint64_t confirmed = wl_raft_confirmed_round (&d->raft);
  uint64_t version = current_version (d);
  for (uint32_t i = 0; i < d->n_waiting;)
    {
      const Waiting *w = &d->waiting[i];
      int is_done = 0;
      if (w->kind == WAITING_SUBMIT && w->version <= version)
        {
          reply_submit (d, w, WL_SUBMIT_ACCEPTED, fx);
          is_done = 1;
        }
      else if (w->kind == WAITING_READ && w->round <= confirmed)
        {
          reply_read (d, w, fx);
          is_done = 1;
        }
      else if (now_us > w->since_us + WL_DOCUMENT_WAIT_US)
        is_done = 1; /* the sender has given up */
      if (is_done)
        remove_waiting (d, i);
      else
        i++;
    }
  while (d->proposed == 0 && highest_waiting (d) < d->n_waiting)
    {
      uint32_t next = highest_waiting (d);
      if (!propose (d, &d->waiting[next], fx))
        remove_waiting (d, next);
    }
}

/* Whether a submission or read waits already: its sender repeats it. */
static int
is_waiting (const WlDocument *d, uint32_t node, uint64_t id)
{
  for (uint32_t i = 0; i < d->n_waiting; i++)
    if (d->waiting[i].node == node && d->waiting[i].id == id)
      return 1;
  return 0;
}

static Waiting *
add_waiting (WlDocument *d, WaitingKind kind, uint32_t node, uint64_t id, uint64_t now_us)
{
  if (d->n_waiting == WL_DOCUMENT_WAITING_MAX)
    return NULL; /* the sender asks again */
  Waiting *w = &d->waiting[d->n_waiting++];
  memset (w, 0, sizeof *w);
  w->kind = kind;
  w->node = node;
  w->id = id;
  w->since_us = now_us;
  return w;
}

static void
on_submit (WlDocument *d, const WlSubmit *s, uint64_t now_us, WlEffects *fx)
{
  uint64_t bytes = waiting_bytes (d);
  if (is_waiting (d, s->node, s->id))
    return;
  if (bytes + s->text.size > WL_DOCUMENT_WAITING_BYTES)
    {
      Waiting refused = { .node = s->node, .id = s->id };
      wl_effects_log (fx, WL2111_SUBMISSION_REFUSED,
                      "version=%lu peer=%u bytes=%u waiting_bytes=%lu", (unsigned long)s->replaces,
                      s->node, s->text.size, (unsigned long)bytes);
      reply_submit (d, &refused, WL_SUBMIT_UNAVAILABLE, fx);
      return;
    }
  Waiting *w = add_waiting (d, WAITING_SUBMIT, s->node, s->id, now_us);
  if (w == NULL)
    return;
  w->version = s->replaces;
  w->text = wl_bytes_dup (s->text);
  w->is_packed = s->is_packed;
}

static void
on_query (WlDocument *d, const WlQuery *q, uint64_t now_us)
{
  if (is_waiting (d, q->node, q->id))
    return;
  Waiting *w = add_waiting (d, WAITING_READ, q->node, q->id, now_us);
  if (w == NULL)
    return;
  w->number = q->number;
  w->round = wl_raft_request_round (&d->raft);
}

/* ---- applying ---- */

static void
take_snapshot (WlDocument *d, WlEffects *fx)
{
  apr_pool_t *pool;
  if (d->raft.group_index > d->raft.applied)
    return; /* the latest voters are not yet committed */
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
                    (unsigned long)entry->index, d->state->text.size, entry->command.size);
  if (d->proposed != 0 && entry->index >= d->proposed)
    d->proposed = 0;
}

static void
settle (WlDocument *d, uint64_t now_us, WlEffects *fx)
{
  const WlLogEntry *entry;
  uint64_t term = d->raft.role == WL_RAFT_LEADER ? d->raft.term : 0;
  if (d->raft.restored && load_snapshot (d) != WL_OK)
    abort (); /* the image passed its checksum: the program cannot read its own state */
  if (term != d->leader_term)
    {
      clear_waiting (d);
      d->proposed = 0;
      d->leader_term = term;
    }
  while ((entry = wl_raft_next_committed (&d->raft)) != NULL)
    apply_entry (d, entry, fx);
  if (wl_raft_is_ready (&d->raft))
    serve_waiting (d, now_us, fx);
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
      settle (d, now_us, fx);
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
  settle (d, now_us, fx);
  return 1;
}

void
wl_document_tick (WlDocument *document, uint64_t now_us, WlEffects *fx)
{
  wl_raft_tick (&document->raft, now_us, fx);
  settle (document, now_us, fx);
}

void
wl_document_flush (WlDocument *document, uint64_t now_us, WlEffects *fx)
{
  wl_raft_flush (&document->raft, now_us, fx);
  settle (document, now_us, fx);
}
