#include <stdio.h>
#include <string.h>
#include <apr_strings.h>
#include "wl_accounts.h"
#include "wl_clock.h"
#include "wl_json.h"
#include "wl_views.h"

enum
{
  RECEIPTS_PER_PAGE = 1024,
};

static json_t *
number (uint64_t n)
{
  return json_integer ((json_int_t)n);
}

static const char *
endpoint_state (const WlEndpoint *e, uint64_t now_us)
{
  if (e->leaving)
    return "leaving";
  if (e->ejected_until_us > now_us)
    return "ejected";
  if (now_us >= e->last_contact_us + WL_ENDPOINT_EXPIRY_US)
    return "silent";
  return e->ready ? "ready" : "loading";
}

static json_t *
view_endpoint (const WlEndpoint *e, uint64_t now_us)
{
  return json_pack ("{s:s,s:s,s:i,s:s,s:s,s:o,s:o,s:o,s:o,s:i,s:i,s:o,s:i,s:o,s:i}", "name",
                    e->name, "address", e->address, "port", (int)e->port, "domain", e->domain,
                    "state", endpoint_state (e, now_us), "id", wl_json_hex (e->id), "kv_capacity",
                    number (e->kv_capacity), "kv_reserved", number (e->kv_reserved), "kv_reported",
                    number (e->kv_reported), "slots", (int)e->slots, "slots_used",
                    (int)e->slots_used, "prefill_tokens", number (e->prefill_tokens),
                    "long_prefills", (int)e->long_prefills, "granted", number (e->granted),
                    "prefix_unreliable_ppm", (int)e->prefixes.unreliable_ppm);
}

static json_t *
view_prefixes (const WlCell *c)
{
  return json_pack ("{s:b,s:o,s:o,s:o,s:o,s:o}", "weighed", (int)c->weighs_prefixes, "chosen",
                    number (c->counters.prefix_chosen), "outweighed",
                    number (c->counters.prefix_outweighed), "expected_tokens",
                    number (c->counters.prefix_expected_tokens), "cached_tokens",
                    number (c->counters.prefix_cached_tokens), "saved_ms",
                    number (c->counters.prefix_saved_us / 1000));
}

static json_t *
view_cell (const WlCell *c, uint64_t now_us)
{
  json_t *endpoints = json_array ();
  for (apr_hash_index_t *i = apr_hash_first (NULL, c->endpoints); i; i = apr_hash_next (i))
    json_array_append_new (endpoints, view_endpoint (apr_hash_this_val (i), now_us));
  return json_pack (
      "{s:s,s:i,s:o,s:b,s:i,s:i,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:o,s:b,s:o}", "service",
      c->lease.service, "shard", (int)c->lease.shard, "fence", number (c->lease.fence), "ready",
      (int)c->ready, "queued", (int)c->n_queued, "grants", (int)apr_hash_count (c->grants),
      "granted", number (c->counters.granted), "refused", number (c->counters.refused), "gangs",
      number (c->counters.gangs), "backfilled", number (c->counters.backfilled), "cancels",
      number (c->counters.cancels), "cache_hits", number (c->counters.cache_hits), "prefixes",
      view_prefixes (c), "prefill_ns_per_token", number (c->cost.prefill_ns), "reservation",
      wl_json_hex (c->reservation.request), "accounts_match", wl_accounts_check (c), "endpoints",
      endpoints);
}

json_t *
wl_views_status (const WlNode *node)
{
  const WlCore *core = node->core;
  uint64_t now_us = wl_clock_now_us ();
  json_t *cells = json_array ();
  json_t *owners = json_array ();
  for (const WlCell *c = core->cells; c != NULL; c = c->next)
    json_array_append_new (cells, view_cell (c, now_us));
  for (uint32_t i = 0; i < core->session.n_cells; i++)
    {
      const WlCellLease *l = &core->session.cells[i];
      json_array_append_new (owners, json_pack ("{s:s,s:i,s:i,s:o}", "service", l->service, "shard",
                                                (int)l->shard, "owner", (int)l->owner, "fence",
                                                number (l->fence)));
    }
  json_t *out = json_pack (
      "{s:i,s:s,s:o,s:b,s:b,s:i,s:i,s:o,s:o}", "node", (int)core->settings.self.node, "domain",
      core->settings.self.domain, "config_number", number (core->session.config_number),
      "lease_valid", wl_core_has_lease (core, now_us), "draining", (int)core->session.draining,
      "open_requests", (int)apr_hash_count (core->entry->requests), "members",
      (int)core->session.n_members, "owners", owners, "cells", cells);
  if (core->control != NULL)
    {
      const WlRaft *r = &core->control->raft;
      static const char *const roles[]
          = { "learner", "follower", "pre-candidate", "candidate", "leader" };
      json_object_set_new (out, "replica",
                           json_pack ("{s:s,s:o,s:i,s:o,s:o,s:i,s:i}", "role", roles[r->role],
                                      "term", number (r->term), "leader", (int)r->leader, "commit",
                                      number (r->commit), "snapshot", number (r->snapshot_index),
                                      "log_entries", (int)r->n_log, "voters", (int)r->n_voters));
    }
  return out;
}

json_t *
wl_views_query (const WlQueryReply *q)
{
  json_t *entries = json_array ();
  json_t *voters = json_array ();
  json_t *roots = json_array ();
  json_t *evacuations = json_array ();
  for (uint32_t i = 0; i < q->n_evacuations; i++)
    json_array_append_new (evacuations,
                           json_pack ("{s:s,s:o,s:b}", "domain", q->evacuations[i].domain,
                                      "sequence", number (q->evacuations[i].sequence), "active",
                                      (int)q->evacuations[i].is_active));
  for (uint32_t i = 0; i < q->n_entries; i++)
    {
      const WlEntryStatus *e = &q->entries[i];
      uint64_t lag = q->config_number > e->config_number ? q->config_number - e->config_number : 0;
      json_array_append_new (entries, json_pack ("{s:i,s:o,s:o,s:o,s:b}", "node", (int)e->node,
                                                 "config_number", number (e->config_number), "lag",
                                                 number (lag), "heard_ago_ms",
                                                 number (e->last_contact_age_us / 1000),
                                                 "lease_valid", (int)e->lease_valid));
    }
  for (uint32_t i = 0; i < q->n_voters; i++)
    json_array_append_new (voters,
                           json_pack ("{s:i,s:o}", "node", (int)q->voters[i].node, "incarnation",
                                      wl_json_hex (q->voters[i].incarnation)));
  for (uint32_t i = 0; i < q->n_roots; i++)
    json_array_append_new (
        roots, json_pack ("{s:i,s:o,s:o,s:o,s:o}", "entry", (int)q->roots[i].node, "incarnation",
                          wl_json_hex (q->roots[i].incarnation), "sequence",
                          number (q->roots[i].sequence), "receipts", number (q->roots[i].receipts),
                          "root", wl_json_digest (q->roots[i].root)));
  return json_pack ("{s:i,s:o,s:o,s:o,s:o,s:i,s:o,s:o,s:o,s:o}", "leader", (int)q->leader, "term",
                    number (q->term), "commit", number (q->commit), "config_number",
                    number (q->config_number), "in_force", number (q->config_in_force), "claims",
                    (int)q->n_claims, "entries", entries, "voters", voters, "receipt_roots", roots,
                    "evacuations", evacuations);
}

json_t *
wl_views_request (const WlNode *node, uint64_t id)
{
  const WlTrace *t = &node->core->entry->trace;
  json_t *list = json_array ();
  uint64_t first = t->count > WL_TRACE_RECORDS ? t->count - WL_TRACE_RECORDS : 0;
  for (uint64_t i = first; i < t->count; i++)
    {
      const WlTraceRecord *r = &t->ring[i % WL_TRACE_RECORDS];
      if (r->request != id)
        continue;
      json_array_append_new (list, json_pack ("{s:o,s:s,s:o,s:o}", "wall_us", number (r->wall_us),
                                              "decision", wl_trace_name (r->kind), "a",
                                              number (r->a), "b", number (r->b)));
    }
  return list;
}

/* ---- burn ---- */

static json_t *
view_window (const WlBurnSeries *s, uint64_t now_us, uint32_t slots)
{
  uint64_t total = 0;
  uint64_t good = 0;
  wl_burn_window (s, now_us, slots, &total, &good);
  return json_pack ("{s:i,s:o,s:o}", "minutes", (int)slots, "total", number (total), "good",
                    number (good));
}

static json_t *
view_series (const WlBurnSeries *s, uint64_t now_us)
{
  static const uint32_t windows[] = { 5, 30, 60, 360 };
  json_t *list = json_array ();
  json_t *bins = json_array ();
  for (size_t i = 0; i < sizeof windows / sizeof windows[0]; i++)
    json_array_append_new (list, view_window (s, now_us, windows[i]));
  for (uint32_t i = 0; i < WL_BURN_BINS; i++)
    json_array_append_new (bins, json_integer (s->bins[i]));
  return json_pack ("{s:s,s:s,s:i,s:o,s:o,s:f,s:o,s:o,s:o,s:o,s:o}", "customer", s->customer,
                    "service", s->service, "class", (int)s->class_index, "up_to_tokens",
                    number (s->up_to_tokens == UINT64_MAX ? 0 : s->up_to_tokens), "objective_ms",
                    number (s->objective_ms), "objective_share", s->objective_ppm / 1e6, "finished",
                    number (s->finished), "refused", number (s->refused), "failed",
                    number (s->failed), "windows", list, "first_token_bins", bins);
}

static const char *
share_name (const WlCell *c, uint32_t index)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, c->customers); i; i = apr_hash_next (i))
    {
      const WlCellCustomer *s = apr_hash_this_val (i);
      if (s->index == index)
        return s->name;
    }
  return "?";
}

/* A customer sees who slowed itself; the names of others only as shares. */
static void
view_delays (const WlCell *c, const char *customer, json_t *list)
{
  for (uint32_t v = 0; v < c->n_customers; v++)
    {
      const char *victim = share_name (c, v);
      if (customer != NULL && strcmp (victim, customer) != 0)
        continue;
      for (uint32_t k = 0; k < c->n_customers; k++)
        {
          uint64_t us = c->delays_us[(size_t)v * c->delays_size + k];
          if (us == 0)
            continue;
          json_array_append_new (list, json_pack ("{s:s,s:s,s:s,s:o}", "service", c->lease.service,
                                                  "victim", victim, "cause", share_name (c, k),
                                                  "delay_us", number (us)));
        }
    }
}

json_t *
wl_views_burn (const WlNode *node, const char *customer)
{
  const WlBurn *b = &node->core->entry->burn;
  uint64_t now_us = wl_clock_now_us ();
  json_t *series = json_array ();
  json_t *delays = json_array ();
  for (apr_hash_index_t *i = apr_hash_first (NULL, b->series); i; i = apr_hash_next (i))
    {
      const WlBurnSeries *s = apr_hash_this_val (i);
      if (customer != NULL && strcmp (s->customer, customer) != 0)
        continue;
      json_array_append_new (series, view_series (s, now_us));
    }
  for (const WlCell *c = node->core->cells; c != NULL; c = c->next)
    view_delays (c, customer, delays);
  return json_pack ("{s:i,s:o,s:o}", "entry", (int)node->options.settings.self.node, "series",
                    series, "delays", delays);
}

/* ---- receipts ---- */

static json_t *
view_receipt (const WlReceipt *r)
{
  return json_pack ("{s:o,s:o,s:o,s:o,s:i,s:i,s:i,s:i,s:o,s:o,s:o,s:o}", "sequence",
                    number (r->sequence), "request", wl_json_hex (r->request), "admitted_us",
                    number (r->admitted_us), "ended_us", number (r->ended_us), "outcome",
                    (int)r->outcome, "run", (int)r->run, "reason", (int)r->reason, "dispatched",
                    (int)r->dispatched, "prompt_tokens", number (r->prompt_tokens), "tokens",
                    number (r->tokens), "answer", wl_json_digest (r->answer), "head",
                    wl_json_digest (r->head));
}

json_t *
wl_views_receipts (const WlNode *node, const char *customer, uint64_t after)
{
  static const uint8_t zero[WL_DIGEST_SIZE];
  const WlLedger *l = &node->core->entry->ledger;
  const WlChain *c = wl_ledger_find (l, customer);
  json_t *list = json_array ();
  json_t *leaves = json_array ();
  uint64_t count = c != NULL ? c->count : 0;
  uint64_t kept = c != NULL ? c->capacity : 0;
  uint64_t first = count > kept ? count - kept + 1 : 1;
  if (after + 1 > first)
    first = after + 1;
  for (uint64_t n = first; c != NULL && n <= count && n < first + RECEIPTS_PER_PAGE; n++)
    json_array_append_new (list, view_receipt (&c->ring[n % c->capacity]));
  for (uint32_t i = 0; i < l->rooted_chains; i++)
    {
      uint8_t leaf[WL_DIGEST_SIZE];
      const WlChain *o = l->chain_list[i];
      wl_ledger_leaf (o->customer, o->rooted_count, o->rooted_head, leaf);
      json_array_append_new (leaves, wl_json_digest (leaf));
    }
  return json_pack ("{s:i,s:o,s:s,s:o,s:o,s:o,s:o,s:o,s:o}", "entry", (int)l->node, "incarnation",
                    wl_json_hex (l->incarnation), "customer", customer, "count", number (count),
                    "head", wl_json_digest (c != NULL ? c->head : zero), "receipts", list,
                    "root_sequence", number (l->roots), "rooted_count",
                    number (c != NULL ? c->rooted_count : 0), "leaves", leaves);
}

/* ---- metrics ---- */

typedef struct
{
  const char *name;
  size_t offset;
} Counter;

static const Counter counters[] = {
  { "requests_total", offsetof (WlCounters, requests) },
  { "admitted_total", offsetof (WlCounters, admitted) },
  { "finished_total", offsetof (WlCounters, finished) },
  { "failed_total", offsetof (WlCounters, failed) },
  { "refused_total", offsetof (WlCounters, refused) },
  { "unauthorized_total", offsetof (WlCounters, unauthorized) },
  { "replayed_total", offsetof (WlCounters, replayed) },
  { "timed_out_total", offsetof (WlCounters, timed_out) },
  { "callers_gone_total", offsetof (WlCounters, callers_disconnected) },
  { "attempts_total", offsetof (WlCounters, attempts) },
  { "retries_total", offsetof (WlCounters, retries) },
  { "resumes_total", offsetof (WlCounters, resumes) },
  { "retries_denied_total", offsetof (WlCounters, retries_denied) },
  { "stalls_total", offsetof (WlCounters, stalls) },
  { "repeated_output_total", offsetof (WlCounters, repeated_output) },
  { "tokens_total", offsetof (WlCounters, tokens) },
  { "events_total", offsetof (WlCounters, events) },
  { "messages_out_total", offsetof (WlCounters, messages_out) },
  { "message_bytes_out_total", offsetof (WlCounters, message_bytes_out) },
};

const char *
wl_views_metrics (const WlNode *node, apr_pool_t *pool)
{
  const WlCore *core = node->core;
  const char *text = "";
  for (size_t i = 0; i < sizeof counters / sizeof counters[0]; i++)
    {
      const char *base = (const char *)&core->entry->counters + counters[i].offset;
      text = apr_psprintf (pool, "%s# TYPE wisterialoft_%s counter\nwisterialoft_%s %lu\n", text,
                           counters[i].name, counters[i].name,
                           (unsigned long)*(const uint64_t *)(const void *)base);
    }
  text = apr_psprintf (pool,
                       "%s# TYPE wisterialoft_open_requests gauge\nwisterialoft_open_requests %u\n"
                       "# TYPE wisterialoft_config_number gauge\nwisterialoft_config_number %lu\n"
                       "# TYPE wisterialoft_lease_valid gauge\nwisterialoft_lease_valid %d\n",
                       text, apr_hash_count (core->entry->requests),
                       (unsigned long)core->session.config_number,
                       wl_core_has_lease (core, wl_clock_now_us ()));
  for (const WlCell *c = core->cells; c != NULL; c = c->next)
    text = apr_psprintf (pool,
                         "%swisterialoft_cell_queued{service=\"%s\",shard=\"%u\"} %u\n"
                         "wisterialoft_cell_grants{service=\"%s\",shard=\"%u\"} %u\n",
                         text, c->lease.service, c->lease.shard, c->n_queued, c->lease.service,
                         c->lease.shard, apr_hash_count (c->grants));
  return text;
}
