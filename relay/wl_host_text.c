#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_delta.h"
#include "wl_events.h"
#include "wl_host_internal.h"
#include "wl_log.h"

/* The services text at a node: questions to the control leader, and what is in force here. */

enum
{
  PULL_US = 150000, /* shortest time between two requests for a newer text */
  /* From the start: a neighbour that runs tells a newer text in less. */
  SAVED_TEXT_US = 40000,
};

uint32_t
wl_host_leader (const WlHost *host, uint64_t now_us)
{
  uint32_t leader = host->document != NULL ? wl_document_leader (host->document) : 0;
  return leader != 0 ? leader : wl_roster_leader (host->roster, 0, now_us);
}

/* ---- in force ---- */

static void
log_findings (uint64_t number, const WlFindings *findings)
{
  for (size_t i = 0; i < findings->count; i++)
    wl_log_eventf (WL2106_CONFIG_UNREADABLE, "number=%" PRIu64 " finding=\"%s\"", number,
                   findings->items[i].text);
}

/* Puts the latest text in force. */
static void
apply (WlHost *host, uint64_t now_us)
{
  uint64_t version;
  WlFindings findings = { 0 };
  WlRoutes *routes = host->options.parse (wl_document_unpack (host->text, &version), &findings);
  host->is_text_new = 0;
  host->applied_us = now_us;
  if (routes == NULL)
    log_findings (host->number, &findings);
  wl_findings_clear (&findings);
  if (routes == NULL)
    return;
  routes->number = host->number;
  wl_web_set_limits (host->front, &routes->limits);
  wl_relay_set_routes (host->relay, routes);
  wl_log_eventf (WL2103_CONFIG_APPLIED, "number=%" PRIu64 " version=%" PRIu64 " routes=%u bytes=%u",
                 host->number, version, routes->n_routes, host->text.size);
}

static void
apply_when_due (WlHost *host, uint64_t now_us)
{
  if (host->is_text_new && now_us >= host->applied_us + WL_HOST_APPLY_US)
    apply (host, now_us);
}

/*
 * Takes a committed text; numbers never go back within a boot. Of texts in
 * quick succession only the latest is put in force, by apply_when_due ().
 */
static void
adopt (WlHost *host, uint64_t number, WlBytes packed)
{
  int is_first = host->number == 0;
  if (number <= host->number)
    return;
  WlBytes copy = wl_bytes_dup (packed);
  wl_bytes_release (&host->text);
  wl_bytes_release (&host->whole);
  host->text = copy;
  host->number = number;
  host->is_text_new = 1;
  if (is_first)
    wl_membership_announce (host->membership, wl_clock_now_us ()); /* others may wait for theirs */
}

/*
 * Just after a start the text that was committed before it is better than none:
 * with a quorum lost, or not yet elected, callers are served all the same.
 */
static void
adopt_saved (WlHost *host, uint64_t now_us)
{
  if (host->saved_text.size == 0 || now_us < host->started_us + SAVED_TEXT_US)
    return;
  adopt (host, host->saved_number, host->saved_text);
  wl_bytes_release (&host->saved_text);
}

void
wl_host_whole_text (WlHost *host, WlConfigChange *out)
{
  apr_pool_t *pool;
  memset (out, 0, sizeof *out);
  out->number = host->number;
  wl_digest (host->text, out->digest);
  if (host->whole.size == 0)
    {
      apr_pool_create (&pool, NULL);
      host->whole = wl_bytes_dup (wl_text_pack (host->text, pool));
      apr_pool_destroy (pool);
    }
  out->middle = host->whole;
  out->is_packed = 1;
}

/* ---- telling others ---- */

static void
send_change (WlHost *host, uint32_t node, const WlConfigChange *change)
{
  WlMessage m = { .kind = WL_MESSAGE_TEXT_PUSH };
  m.u.text_push.number = change->number;
  m.u.text_push.change = *change;
  m.u.text_push.change.removed = (WlBytes){ NULL, 0 };
  if (node != 0)
    wl_host_send (host, node, &m);
  else
    wl_host_broadcast (host, &m);
}

/* Tells a node what it lacks: the changes that it missed, or the whole text. */
static void
tell_text (WlHost *host, uint32_t node, uint64_t has_number)
{
  WlConfigChange whole;
  if (has_number > 0 && wl_recent_covers (&host->recent, has_number, host->number))
    {
      for (uint64_t n = has_number + 1; n <= host->number; n++)
        send_change (host, node, wl_recent_find (&host->recent, n));
      return;
    }
  wl_host_whole_text (host, &whole);
  send_change (host, node, &whole);
}

/* Whether a node can use a change: others ask for what they lack. */
static int
can_use (const WlRosterNode *node, const WlConfigChange *change)
{
  uint64_t has_number = node->status.config_number;
  return has_number < change->number && (change->replaces != 0 || has_number == 0);
}

/*
 * Passes a change on: to all nodes of a small fleet. In a large one to those
 * that take their reports here, and the leader to relays of other failure
 * domains as well.
 */
static void
pass_change (WlHost *host, const WlConfigChange *change)
{
  uint32_t contacts[WL_VIEW_CONTACTS_MAX];
  uint64_t now_us = wl_clock_now_us ();
  uint32_t n_contacts = 0;
  if (wl_view_is_mesh (host->membership->view))
    {
      send_change (host, 0, change);
      return;
    }
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      const WlRosterNode *n = &host->roster->nodes[i];
      if (wl_view_is_subscriber (n, now_us) && can_use (n, change))
        send_change (host, n->status.node, change);
    }
  if (host->document != NULL && wl_document_leader (host->document) == host->options.node)
    n_contacts = wl_view_contacts (host->membership->view, now_us, contacts);
  for (uint32_t i = 0; i < n_contacts; i++)
    {
      const WlRosterNode *n = wl_roster_find (host->roster, contacts[i]);
      if (n != NULL && !wl_view_is_subscriber (n, now_us) && can_use (n, change))
        send_change (host, contacts[i], change);
    }
}

/* Remembers what the replica committed since a number. Returns whether no change is missing. */
static int
remember_committed (WlHost *host, uint64_t before, uint64_t number)
{
  for (uint64_t n = before + 1; n <= number; n++)
    {
      const WlConfigChange *change = wl_document_change_to (host->document, n);
      if (change != NULL)
        wl_recent_add (&host->recent, change);
      else
        wl_recent_clear (&host->recent);
    }
  return wl_recent_covers (&host->recent, before, number);
}

void
wl_host_adopt_committed (WlHost *host)
{
  uint64_t number;
  uint64_t before = host->number;
  WlConfigChange whole;
  if (host->document == NULL)
    return;
  WlBytes packed = wl_document_text (host->document, &number);
  if (number <= before)
    return;
  int has_changes = remember_committed (host, before, number);
  adopt (host, number, packed);
  if (wl_document_leader (host->document) == host->options.node
      || !wl_view_is_mesh (host->membership->view))
    {
      for (uint64_t n = before + 1; has_changes && n <= number; n++)
        pass_change (host, wl_recent_find (&host->recent, n));
      if (!has_changes)
        {
          wl_host_whole_text (host, &whole);
          pass_change (host, &whole);
        }
    }
  apply_when_due (host, wl_clock_now_us ());
}

void
wl_host_pull_from (WlHost *host, uint32_t node, uint64_t number, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_TEXT_PULL };
  if (number <= host->number || now_us < host->pulled_us + PULL_US)
    return;
  host->pulled_us = now_us;
  m.u.text_pull.number = host->number;
  wl_host_send (host, node, &m);
}

static void
on_push (WlHost *host, uint32_t from, const WlTextPush *push, uint64_t now_us)
{
  apr_pool_t *pool;
  WlBytes packed;
  const WlConfigChange *c = &push->change;
  if (push->number <= host->number)
    return;
  if (c->replaces != 0 && c->replaces != host->number)
    {
      wl_host_pull_from (host, from, push->number, now_us);
      return;
    }
  apr_pool_create (&pool, NULL);
  WlBytes old_text = c->replaces != 0 ? host->text : (WlBytes){ NULL, 0 };
  if (wl_delta_apply (old_text, c, pool, &packed) == WL_OK)
    {
      wl_log_eventf (WL2110_CONFIG_RECEIVED,
                     "number=%" PRIu64 " replaces=%" PRIu64 " peer=%u change_bytes=%u",
                     push->number, c->replaces, from, c->middle.size);
      if (c->replaces != 0)
        wl_recent_add (&host->recent, c);
      else
        wl_recent_clear (&host->recent);
      adopt (host, push->number, packed);
      /* Others wait for it: putting it in force takes longer than passing it on. */
      if (!wl_view_is_mesh (host->membership->view))
        pass_change (host, c);
      apply_when_due (host, now_us);
    }
  else
    wl_log_eventf (WL2106_CONFIG_UNREADABLE, "number=%" PRIu64 " peer=%u reason=digest",
                   push->number, from);
  apr_pool_destroy (pool);
}

/* ---- questions to the leader ---- */

static void
ask (WlHost *host, WlHostQuestion *q, uint64_t now_us)
{
  WlMessage m = { .kind = q->kind };
  uint32_t leader = wl_host_leader (host, now_us);
  q->asked_us = now_us;
  if (leader == 0)
    return;
  q->n_asked++;
  if (q->kind == WL_MESSAGE_SUBMIT)
    {
      m.u.submit.id = q->id;
      m.u.submit.node = host->options.node;
      m.u.submit.replaces = q->version;
      m.u.submit.text = q->text;
      m.u.submit.is_packed = 1;
    }
  else
    {
      m.u.query.id = q->id;
      m.u.query.node = host->options.node;
      m.u.query.number = host->number;
    }
  wl_host_send (host, leader, &m);
}

static WlHostQuestion *
add_question (WlHost *host, WlMessageKind kind, WlHostAnswer answer, void *data)
{
  WlHostQuestion *q = calloc (1, sizeof *q);
  if (q == NULL)
    abort ();
  q->id = host->boot ^ ++host->next_question;
  q->kind = kind;
  q->answer = answer;
  q->data = data;
  q->since_us = wl_clock_now_us ();
  q->next = host->questions;
  host->questions = q;
  return q;
}

/* What the questions of this node hold. Returns the number of questions. */
static uint32_t
count_questions (const WlHost *host, uint64_t *bytes)
{
  uint32_t n = 0;
  *bytes = 0;
  for (const WlHostQuestion *q = host->questions; q != NULL; q = q->next, n++)
    *bytes += q->text.size;
  return n;
}

uint64_t
wl_host_submit (WlHost *host, uint64_t version, WlBytes text, WlHostAnswer answer, void *data)
{
  apr_pool_t *pool;
  uint64_t bytes;
  uint64_t id = 0;
  uint32_t n = count_questions (host, &bytes);
  apr_pool_create (&pool, NULL);
  WlBytes packed = wl_text_pack (text, pool);
  if (n >= WL_HOST_QUESTIONS_MAX || bytes + packed.size > WL_HOST_SUBMITTED_BYTES)
    wl_log_eventf (WL2111_SUBMISSION_REFUSED,
                   "version=%" PRIu64 " bytes=%u waiting=%u waiting_bytes=%" PRIu64, version,
                   packed.size, n, bytes);
  else
    {
      WlHostQuestion *q = add_question (host, WL_MESSAGE_SUBMIT, answer, data);
      q->version = version;
      q->text = wl_bytes_dup (packed);
      id = q->id;
      ask (host, q, q->since_us);
    }
  apr_pool_destroy (pool);
  return id;
}

uint64_t
wl_host_read (WlHost *host, WlHostAnswer answer, void *data)
{
  uint64_t bytes;
  if (count_questions (host, &bytes) >= WL_HOST_QUESTIONS_MAX)
    return 0;
  WlHostQuestion *q = add_question (host, WL_MESSAGE_QUERY, answer, data);
  ask (host, q, q->since_us);
  return q->id;
}

/* Takes a question out of the list; the caller frees it. NULL when unknown. */
static WlHostQuestion *
take_question (WlHost *host, uint64_t id)
{
  for (WlHostQuestion **slot = &host->questions; *slot != NULL; slot = &(*slot)->next)
    if ((*slot)->id == id)
      {
        WlHostQuestion *q = *slot;
        *slot = q->next;
        return q;
      }
  return NULL;
}

static void
free_question (WlHostQuestion *q)
{
  wl_bytes_release (&q->text);
  free (q);
}

void
wl_host_forget (WlHost *host, uint64_t question)
{
  WlHostQuestion *q = take_question (host, question);
  if (q != NULL)
    free_question (q);
}

static void
answer_question (WlHost *host, uint64_t id, WlHostOutcome outcome, WlBytes text)
{
  WlHostQuestion *q = take_question (host, id);
  if (q == NULL)
    return; /* a repeated answer */
  q->answer (q->data, outcome, text);
  free_question (q);
}

/*
 * The leader has no room. A submission that was asked before may have reached
 * an earlier leader, so it goes on until an answer or the time limit.
 */
static void
on_submit_refused (WlHost *host, uint64_t id)
{
  for (const WlHostQuestion *q = host->questions; q != NULL; q = q->next)
    if (q->id == id && q->n_asked == 1)
      {
        answer_question (host, id, WL_HOST_REFUSED, (WlBytes){ NULL, 0 });
        return;
      }
}

static void
on_query_reply (WlHost *host, const WlQueryReply *r)
{
  uint64_t version;
  apr_pool_t *pool;
  WlBytes text = r->text;
  if (r->has_text)
    {
      apr_pool_create (&pool, NULL);
      if (r->is_packed && wl_text_unpack (r->text, pool, &text) != WL_OK)
        wl_log_eventf (WL2106_CONFIG_UNREADABLE, "number=%" PRIu64 " peer=%u reason=compression",
                       r->config_number, r->leader);
      else
        {
          adopt (host, r->config_number, text);
          answer_question (host, r->id, WL_HOST_DONE, wl_document_unpack (text, &version));
        }
      apr_pool_destroy (pool);
    }
  else if (r->config_number == host->number)
    answer_question (host, r->id, WL_HOST_DONE, wl_document_unpack (host->text, &version));
  /* Otherwise the text here has changed since the question: it is asked again. */
}

int
wl_host_text_receive (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us)
{
  switch (message->kind)
    {
    case WL_MESSAGE_TEXT_PULL:
      if (host->number > message->u.text_pull.number)
        tell_text (host, from, message->u.text_pull.number);
      return 1;
    case WL_MESSAGE_TEXT_PUSH:
      on_push (host, from, &message->u.text_push, now_us);
      return 1;
    case WL_MESSAGE_SUBMIT_REPLY:
      if (message->u.submit_reply.outcome == WL_SUBMIT_ACCEPTED)
        answer_question (host, message->u.submit_reply.id, WL_HOST_DONE, (WlBytes){ NULL, 0 });
      else if (message->u.submit_reply.outcome == WL_SUBMIT_UNAVAILABLE)
        on_submit_refused (host, message->u.submit_reply.id);
      return 1;
    case WL_MESSAGE_QUERY_REPLY:
      on_query_reply (host, &message->u.query_reply);
      return 1;
    case WL_MESSAGE_NOT_LEADER:
      return 1; /* asked again when the leader is known */
    default:
      return 0;
    }
}

void
wl_host_text_tick (WlHost *host, uint64_t now_us)
{
  adopt_saved (host, now_us);
  apply_when_due (host, now_us);
  for (WlHostQuestion *q = host->questions; q != NULL;)
    {
      WlHostQuestion *next = q->next;
      if (now_us > q->since_us + WL_HOST_ANSWER_US)
        {
          wl_log_eventf (
              q->kind == WL_MESSAGE_SUBMIT ? WL2108_CONFIG_UNANSWERED : WL2109_READ_UNCONFIRMED,
              "version=%" PRIu64 " leader=%u", q->version, wl_host_leader (host, now_us));
          answer_question (host, q->id, WL_HOST_UNKNOWN, (WlBytes){ NULL, 0 });
          next = host->questions; /* the answer may have forgotten others */
        }
      else if (now_us > q->asked_us + WL_HOST_ASK_US)
        ask (host, q, now_us);
      q = next;
    }
}

void
wl_host_text_metrics (const WlHost *host, WlBuffer *out)
{
  uint64_t question_bytes;
  WlDocumentMemory memory;
  count_questions (host, &question_bytes);
  wl_metrics_write_gauge (out, "config_number", host->number);
  wl_metrics_write_gauge (out, "config_text_bytes", host->text.size);
  wl_metrics_write_gauge (out, "config_submitted_bytes", question_bytes);
  if (host->document == NULL)
    return;
  wl_document_memory (host->document, &memory);
  wl_metrics_write_gauge (out, "control_changes_bytes", memory.changes);
  wl_metrics_write_gauge (out, "control_log_bytes", memory.log);
  wl_metrics_write_gauge (out, "control_snapshot_bytes", memory.snapshot);
  wl_metrics_write_gauge (out, "control_waiting_bytes", memory.waiting);
  wl_metrics_write_gauge (out, "journal_queued_bytes", wl_journal_queued_bytes (host->journal));
}

void
wl_host_clear_questions (WlHost *host)
{
  while (host->questions != NULL)
    {
      WlHostQuestion *q = host->questions;
      host->questions = q->next;
      free_question (q);
    }
}
