#include <stdlib.h>
#include <string.h>
#include "wl_delta.h"
#include "wl_config_store.h"
#include "wl_events.h"

typedef enum
{
  REQUEST_SUBMIT,
  REQUEST_READ,
  REQUEST_EVACUATE,
} RequestKind;

/* A request that the leader has not answered yet. */
typedef struct
{
  RequestKind kind;
  uint32_t node;
  uint64_t id;
  uint64_t queued_us;
  uint64_t version; /* of a submission */
  WlBytes config;   /* of a submission, as received; on the heap */
  uint8_t is_compressed;
  uint64_t has_number;        /* configuration number that the sender of a read has */
  uint64_t round;             /* heartbeat round that must be confirmed before a read is answered */
  char domain[WL_LABEL_SIZE]; /* of an evacuation */
  uint64_t sequence;          /* of the domain, as its sender has read it */
  uint8_t is_finish;
} QueuedRequest;

struct WlConfigStore
{
  WlRaft raft;
  WlState *state;
  QueuedRequest queue[WL_CONFIG_STORE_QUEUE_MAX + WL_CONFIG_STORE_EVACUATIONS_MAX];
  uint32_t n_queued;
  uint64_t proposed_index; /* log index of the uncommitted change, 0 for none */
  uint64_t leader_term;    /* term in which this replica leads, 0 for none */
};

static WlError
load_snapshot (WlConfigStore *cs)
{
  WlBytes image = { cs->raft.snapshot, cs->raft.snapshot_size };
  cs->raft.restored = 0;
  return wl_state_load (cs->state, image);
}

WlError
wl_config_store_create (const WlSettings *settings, const WlStoredState *stored, uint64_t now_us,
                        WlConfigStore **out)
{
  WlConfigStore *cs = calloc (1, sizeof *cs);
  if (cs == NULL)
    return WL_ERROR_NO_MEMORY;
  cs->state = wl_state_create ();
  wl_raft_init (&cs->raft, settings, stored, now_us);
  cs->raft.may_bootstrap = 0;
  int is_read = stored == NULL || stored->snapshot_index == cs->raft.snapshot_index;
  if (!is_read || (cs->raft.restored && load_snapshot (cs) != WL_OK))
    {
      wl_config_store_destroy (cs);
      return WL_ERROR_CORRUPT;
    }
  *out = cs;
  return WL_OK;
}

static void
remove_request (WlConfigStore *cs, uint32_t i)
{
  wl_bytes_release (&cs->queue[i].config);
  cs->n_queued--;
  memmove (&cs->queue[i], &cs->queue[i + 1], (cs->n_queued - i) * sizeof *cs->queue);
}

static void
clear_queue (WlConfigStore *cs)
{
  while (cs->n_queued > 0)
    remove_request (cs, cs->n_queued - 1);
}

void
wl_config_store_destroy (WlConfigStore *store)
{
  if (store == NULL)
    return;
  clear_queue (store);
  wl_raft_clear (&store->raft);
  wl_state_destroy (store->state);
  free (store);
}

void
wl_config_store_set_tolerated_faults (WlConfigStore *store, uint32_t tolerated_faults)
{
  store->raft.max_voters = 2 * tolerated_faults + 1;
  store->raft.min_voters = tolerated_faults + 1;
}

void
wl_config_store_set_founders (WlConfigStore *store, const uint32_t *nodes, uint32_t n_nodes,
                              uint64_t now_us)
{
  wl_raft_set_founders (&store->raft, nodes, n_nodes, now_us);
}

void
wl_config_store_add_peer (WlConfigStore *store, uint32_t node, uint64_t now_us)
{
  wl_raft_add_peer (&store->raft, node, now_us);
}

uint32_t
wl_config_store_leader (const WlConfigStore *store)
{
  return store->raft.leader;
}

int
wl_config_store_lacks_disks (const WlConfigStore *store, uint32_t *disks, uint32_t *needed)
{
  *disks = wl_raft_count_disks (&store->raft);
  *needed = store->raft.min_voters;
  return *disks < *needed;
}

uint32_t
wl_config_store_voters (const WlConfigStore *store, uint32_t *out)
{
  for (uint32_t i = 0; i < store->raft.n_voters; i++)
    out[i] = store->raft.voters[i].node;
  return store->raft.n_voters;
}

WlBytes
wl_config_store_latest (const WlConfigStore *store, uint64_t *number)
{
  *number = store->state->config_number;
  return store->state->config;
}

const WlConfigChange *
wl_config_store_find_change (const WlConfigStore *store, uint64_t number)
{
  return wl_recent_changes_find (&store->state->recent_changes, number);
}

static uint64_t
queued_bytes (const WlConfigStore *cs)
{
  uint64_t bytes = 0;
  for (uint32_t i = 0; i < cs->n_queued; i++)
    bytes += cs->queue[i].config.size;
  return bytes;
}

void
wl_config_store_memory (const WlConfigStore *store, WlConfigStoreMemory *out)
{
  const WlConfigStore *cs = store;
  *out = (WlConfigStoreMemory){
    .config = cs->state->config.size,
    .changes = cs->state->recent_changes.bytes,
    .log = cs->raft.log_bytes,
    .snapshot = cs->raft.snapshot_size,
    .queued = queued_bytes (cs),
  };
}

/* ---- the leader's queue ---- */

static void
reply_submit (const WlConfigStore *cs, const QueuedRequest *r, WlSubmitOutcome outcome,
              WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_SUBMIT_REPLY };
  m.u.submit_reply.id = r->id;
  m.u.submit_reply.outcome = (uint8_t)outcome;
  m.u.submit_reply.number = cs->state->config_number;
  m.u.submit_reply.current = cs->state->config_number;
  wl_effects_send (fx, r->node, &m);
}

static void
reply_read (const WlConfigStore *cs, const QueuedRequest *r, WlEffects *fx)
{
  WlMessage m = { .kind = WL_MESSAGE_QUERY_REPLY };
  m.u.query_reply.id = r->id;
  m.u.query_reply.leader = cs->raft.self;
  m.u.query_reply.term = cs->raft.term;
  m.u.query_reply.commit = cs->raft.commit;
  m.u.query_reply.config_number = cs->state->config_number;
  m.u.query_reply.has_config = cs->state->config_number != r->has_number;
  m.u.query_reply.is_compressed = m.u.query_reply.has_config;
  if (m.u.query_reply.has_config)
    m.u.query_reply.config = wl_config_compress (cs->state->config, fx->pool);
  wl_effects_send (fx, r->node, &m);
}

static uint64_t
current_version (const WlConfigStore *cs)
{
  uint64_t version;
  wl_config_split_version (cs->state->config, &version);
  return version;
}

static void
propose_document (WlConfigStore *cs, WlBytes document, WlEffects *fx)
{
  WlCommand c = { .kind = WL_COMMAND_CONFIG };
  wl_delta_make (cs->state->config, document, fx->pool, &c.u.config);
  c.u.config.replaces = cs->state->config_number;
  c.u.config.number = cs->state->config_number + 1;
  cs->proposed_index = wl_raft_propose (&cs->raft, wl_command_encode (&c, fx->pool), fx);
}

/* Proposes an evacuation or its end. Returns 0 when the list of evacuations is full. */
static int
propose_evacuation (WlConfigStore *cs, const QueuedRequest *r, WlConfigDocument *document,
                    WlEffects *fx)
{
  if (!wl_config_document_evacuate (document, r->domain, r->is_finish, fx->pool))
    {
      wl_effects_log (fx, WL2111_SUBMISSION_REFUSED, "zone=\"%s\" peer=%u reason=full", r->domain,
                      r->node);
      reply_submit (cs, r, WL_SUBMIT_UNAVAILABLE, fx);
      return 0;
    }
  propose_document (cs, wl_config_document_encode (document, fx->pool), fx);
  return 1;
}

/* Proposes a submission. Returns 0 when its configuration is empty or cannot be decompressed. */
static int
propose_config (WlConfigStore *cs, const QueuedRequest *r, WlConfigDocument *document,
                WlEffects *fx)
{
  WlBytes config = r->config;
  int is_readable
      = !r->is_compressed || wl_config_decompress (r->config, fx->pool, &config) == WL_OK;
  /* A document with an empty configuration would be one without a configuration. */
  if (!is_readable || config.size == 0)
    {
      wl_effects_log (fx, WL2106_CONFIG_UNREADABLE, "version=%lu peer=%u reason=%s",
                      (unsigned long)r->version, r->node, is_readable ? "empty" : "compression");
      return 0;
    }
  document->version = r->version;
  document->text = config;
  propose_document (cs, wl_config_document_encode (document, fx->pool), fx);
  return 1;
}

/*
 * Index of the request to propose next: the first evacuation, else the submission with the highest
 * version; n_queued when there is none.
 */
static uint32_t
find_next_change (const WlConfigStore *cs)
{
  uint32_t highest = cs->n_queued;
  for (uint32_t i = 0; i < cs->n_queued; i++)
    if (cs->queue[i].kind == REQUEST_EVACUATE)
      return i;
    else if (cs->queue[i].kind == REQUEST_SUBMIT
             && (highest == cs->n_queued || cs->queue[i].version > cs->queue[highest].version))
      highest = i;
  return highest;
}

/*
 * Whether the committed document settles an evacuation. If the sequence has advanced since its
 * sender read it, the first change after that was the wanted one, since each change turns the
 * state around: this request, a copy of it, or another one to the same effect. The request is then
 * done, also if another change has followed, and must not be applied again.
 */
static int
settle_evacuation (const WlConfigStore *cs, const QueuedRequest *r,
                   const WlConfigDocument *document, WlEffects *fx)
{
  WlEvacuation e = wl_config_document_evacuation (document, r->domain);
  if (e.sequence == r->sequence && e.is_active == r->is_finish)
    return 0;
  /* A lower sequence than was read from a quorum: the group was founded anew. */
  reply_submit (cs, r, e.sequence < r->sequence ? WL_SUBMIT_CONFLICT : WL_SUBMIT_ACCEPTED, fx);
  return 1;
}

/* Answers a request if the committed state settles it. */
static int
settle (const WlConfigStore *cs, const QueuedRequest *r, const WlConfigDocument *document,
        WlEffects *fx)
{
  switch (r->kind)
    {
    case REQUEST_SUBMIT:
      if (!wl_config_document_has_config (document) || r->version > document->version)
        return 0;
      reply_submit (cs, r, WL_SUBMIT_ACCEPTED, fx);
      return 1;
    case REQUEST_READ:
      if (r->round > wl_raft_confirmed_round (&cs->raft))
        return 0;
      reply_read (cs, r, fx);
      return 1;
    case REQUEST_EVACUATE:
      return settle_evacuation (cs, r, document, fx);
    }
  return 0;
}

/* Answers the requests that the committed state settles, and proposes the next change. */
static void
serve_queue (WlConfigStore *cs, uint64_t now_us, WlEffects *fx)
{
  WlConfigDocument document;
  if (cs->n_queued == 0)
    return;
  if (wl_config_document_decode (cs->state->config, fx->pool, &document) != WL_OK)
    abort (); /* it was encoded by a leader, so this is a bug in the encoding */
  for (uint32_t i = 0; i < cs->n_queued;)
    {
      const QueuedRequest *r = &cs->queue[i];
      /* After the timeout the sender has given up. */
      if (settle (cs, r, &document, fx)
          || now_us > r->queued_us + WL_CONFIG_STORE_REQUEST_TIMEOUT_US)
        remove_request (cs, i);
      else
        i++;
    }
  while (cs->proposed_index == 0 && find_next_change (cs) < cs->n_queued)
    {
      uint32_t next = find_next_change (cs);
      const QueuedRequest *r = &cs->queue[next];
      if (!(r->kind == REQUEST_EVACUATE ? propose_evacuation (cs, r, &document, fx)
                                        : propose_config (cs, r, &document, fx)))
        remove_request (cs, next);
    }
}

/* Whether a request is queued already: senders repeat theirs until they are answered. */
static int
is_queued (const WlConfigStore *cs, uint32_t node, uint64_t id)
{
  for (uint32_t i = 0; i < cs->n_queued; i++)
    if (cs->queue[i].node == node && cs->queue[i].id == id)
      return 1;
  return 0;
}

static QueuedRequest *
queue_request (WlConfigStore *cs, RequestKind kind, uint32_t node, uint64_t id, uint64_t now_us)
{
  uint32_t max = WL_CONFIG_STORE_QUEUE_MAX;
  if (kind == REQUEST_EVACUATE)
    max += WL_CONFIG_STORE_EVACUATIONS_MAX;
  if (cs->n_queued >= max)
    return NULL; /* the sender will retry */
  QueuedRequest *r = &cs->queue[cs->n_queued++];
  memset (r, 0, sizeof *r);
  r->kind = kind;
  r->node = node;
  r->id = id;
  r->queued_us = now_us;
  return r;
}

static void
on_submit (WlConfigStore *cs, const WlSubmit *s, uint64_t now_us, WlEffects *fx)
{
  uint64_t bytes = queued_bytes (cs);
  if (is_queued (cs, s->node, s->id))
    return;
  if (bytes + s->config.size > WL_CONFIG_STORE_QUEUE_BYTES || s->replaces >= WL_CONFIG_VERSION_MAX)
    {
      QueuedRequest refused = { .node = s->node, .id = s->id };
      wl_effects_log (fx, WL2111_SUBMISSION_REFUSED,
                      "version=%lu peer=%u bytes=%u waiting_bytes=%lu", (unsigned long)s->replaces,
                      s->node, s->config.size, (unsigned long)bytes);
      reply_submit (cs, &refused, WL_SUBMIT_UNAVAILABLE, fx);
      return;
    }
  QueuedRequest *r = queue_request (cs, REQUEST_SUBMIT, s->node, s->id, now_us);
  if (r == NULL)
    return;
  r->version = s->replaces;
  r->config = wl_bytes_dup (s->config);
  r->is_compressed = s->is_compressed;
}

static void
on_query (WlConfigStore *cs, const WlQuery *q, uint64_t now_us)
{
  if (is_queued (cs, q->node, q->id))
    return;
  QueuedRequest *r = queue_request (cs, REQUEST_READ, q->node, q->id, now_us);
  if (r == NULL)
    return;
  r->has_number = q->number;
  r->round = wl_raft_request_round (&cs->raft);
}

static void
on_evacuate (WlConfigStore *cs, const WlEvacuate *e, uint64_t now_us)
{
  if (e->domain[0] == '\0' || is_queued (cs, e->node, e->id))
    return;
  QueuedRequest *r = queue_request (cs, REQUEST_EVACUATE, e->node, e->id, now_us);
  if (r == NULL)
    return;
  memcpy (r->domain, e->domain, sizeof r->domain);
  r->sequence = e->sequence;
  r->is_finish = e->is_finish != 0;
}

/* ---- applying ---- */

static void
take_snapshot (WlConfigStore *cs, WlEffects *fx)
{
  apr_pool_t *pool;
  if (cs->raft.group_index > cs->raft.applied)
    return; /* the snapshot must not contain voters that are not committed */
  apr_pool_create (&pool, NULL);
  wl_raft_compact (&cs->raft, wl_state_save (cs->state, cs->raft.voters, cs->raft.n_voters, pool),
                   fx);
  apr_pool_destroy (pool);
}

static void
apply_entry (WlConfigStore *cs, const WlLogEntry *entry, WlEffects *fx)
{
  apr_pool_t *pool;
  WlCommand command;
  uint64_t before = cs->state->config_number;
  apr_pool_create (&pool, NULL);
  if (wl_command_decode (entry->command, &command, pool) == WL_OK)
    wl_state_apply (cs->state, &command);
  apr_pool_destroy (pool);
  if (cs->state->config_number != before)
    wl_effects_log (fx, WL2101_CONFIG_COMMITTED,
                    "number=%lu version=%lu index=%lu text_bytes=%u entry_bytes=%u",
                    (unsigned long)cs->state->config_number, (unsigned long)current_version (cs),
                    (unsigned long)entry->index, cs->state->config.size, entry->command.size);
  if (cs->proposed_index != 0 && entry->index >= cs->proposed_index)
    cs->proposed_index = 0;
}

static void
apply_committed (WlConfigStore *cs, uint64_t now_us, WlEffects *fx)
{
  const WlLogEntry *entry;
  uint64_t term = cs->raft.role == WL_RAFT_LEADER ? cs->raft.term : 0;
  if (cs->raft.restored && load_snapshot (cs) != WL_OK)
    abort (); /* the snapshot passed its checksum, so this is a bug in the encoding */
  if (term != cs->leader_term)
    {
      clear_queue (cs);
      cs->proposed_index = 0;
      cs->leader_term = term;
    }
  while ((entry = wl_raft_next_committed (&cs->raft)) != NULL)
    apply_entry (cs, entry, fx);
  if (wl_raft_is_ready (&cs->raft, now_us))
    serve_queue (cs, now_us, fx);
  if (wl_raft_wants_snapshot (&cs->raft))
    take_snapshot (cs, fx);
}

int
wl_config_store_receive (WlConfigStore *store, uint32_t from, const WlMessage *message,
                         uint64_t now_us, WlEffects *fx)
{
  WlConfigStore *cs = store;
  if (wl_raft_receive (&cs->raft, from, message, now_us, fx))
    {
      apply_committed (cs, now_us, fx);
      return 1;
    }
  if (message->kind != WL_MESSAGE_SUBMIT && message->kind != WL_MESSAGE_QUERY
      && message->kind != WL_MESSAGE_EVACUATE)
    return 0;
  if (!wl_raft_is_ready (&cs->raft, now_us))
    {
      WlMessage m = { .kind = WL_MESSAGE_NOT_LEADER };
      m.u.not_leader.leader = cs->raft.role == WL_RAFT_LEADER ? 0 : cs->raft.leader;
      wl_effects_send (fx, from, &m);
      return 1;
    }
  if (message->kind == WL_MESSAGE_SUBMIT)
    on_submit (cs, &message->u.submit, now_us, fx);
  else if (message->kind == WL_MESSAGE_EVACUATE)
    on_evacuate (cs, &message->u.evacuate, now_us);
  else
    on_query (cs, &message->u.query, now_us);
  apply_committed (cs, now_us, fx);
  return 1;
}

void
wl_config_store_tick (WlConfigStore *store, uint64_t now_us, WlEffects *fx)
{
  wl_raft_tick (&store->raft, now_us, fx);
  apply_committed (store, now_us, fx);
}

void
wl_config_store_flush (WlConfigStore *store, uint64_t now_us, WlEffects *fx)
{
  wl_raft_flush (&store->raft, now_us, fx);
  apply_committed (store, now_us, fx);
}
