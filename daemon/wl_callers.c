#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "wl_callers.h"
#include "wl_engines.h"
#include "wl_json.h"
#include "wl_prefix.h"
#include "wl_table.h"

enum
{
  DEFAULT_MAX_TOKENS = 256,
  MAX_TOKENS_LIMIT = 65536,
  PLAIN_KV_TOKENS = 1,
  TIME_LIMIT_MAX_MS = 1000000000, /* above the limit of any service */
  NODE_SHIFT = 52,
  INCARNATION_SHIFT = 32,
  INCARNATION_MASK = 0xfffff,
};

WlOpenRequest *
wl_callers_find (const WlNode *node, uint64_t id)
{
  return wl_table_get_id (node->requests, id);
}

void
wl_callers_release (WlNode *node, WlOpenRequest *request)
{
  if (request->exchange != NULL || request->calls != NULL)
    return;
  wl_table_put_id (node->requests, &request->id, NULL);
  free (request->body);
  wl_buffer_clear (&request->answer);
  free (request);
}

static uint64_t
new_request_id (WlNode *node)
{
  const WlSettings *s = &node->options.settings;
  return (uint64_t)s->self.node << NODE_SHIFT
         | (s->incarnation & INCARNATION_MASK) << INCARNATION_SHIFT | node->next_request++;
}

/* ---- requests ---- */

static WlOpenRequest *
open_request (WlNode *node, WlExchange *x)
{
  WlOpenRequest *r = calloc (1, sizeof *r);
  WlBytes body = wl_exchange_body (x);
  if (r == NULL)
    abort ();
  r->id = new_request_id (node);
  r->exchange = x;
  r->body = malloc (body.size + 1);
  if (r->body == NULL)
    abort ();
  if (body.size > 0)
    memcpy (r->body, body.data, body.size);
  r->body[body.size] = '\0';
  r->body_size = body.size;
  wl_exchange_drop_body (x);
  snprintf (r->key, sizeof r->key, "%s", wl_exchange_header (x, "Idempotency-Key"));
  snprintf (r->type, sizeof r->type, "%s", wl_exchange_header (x, "Content-Type"));
  wl_exchange_set_data (x, r->id);
  wl_table_put_id (node->requests, &r->id, r);
  return r;
}

static void
digest_request (const WlOpenRequest *r, const char *service, uint8_t *out)
{
  crypto_generichash_state hash;
  crypto_generichash_init (&hash, NULL, 0, WL_DIGEST_SIZE);
  crypto_generichash_update (&hash, (const unsigned char *)service, strlen (service) + 1);
  crypto_generichash_update (&hash, (const unsigned char *)r->path, strlen (r->path) + 1);
  crypto_generichash_update (&hash, r->body, r->body_size);
  crypto_generichash_final (&hash, out, WL_DIGEST_SIZE);
}

void
wl_callers_read_time_limit (const char *text, WlRequestEvent *out)
{
  char *end;
  long long ms = strtoll (text, &end, 10);
  out->has_time_limit = end != text;
  out->time_limit_us = 0;
  if (ms > 0)
    out->time_limit_us = (uint64_t)(ms < TIME_LIMIT_MAX_MS ? ms : TIME_LIMIT_MAX_MS) * 1000;
}

static void
submit_request (WlNode *node, WlOpenRequest *r, const char *key, WlRequestEvent *request)
{
  WlEvent event = { .kind = WL_EVENT_REQUEST };
  const WlExchange *x = r->exchange;
  request->id = r->id;
  request->api_key = key;
  request->path = r->path;
  request->key = r->key;
  wl_callers_read_time_limit (wl_exchange_header (x, "Wisterialoft-Time-Limit-Ms"), request);
  request->non_idempotent
      = strcmp (wl_exchange_header (x, "Wisterialoft-Idempotent"), "false") == 0;
  digest_request (r, request->service, request->digest);
  event.u.request = *request;
  wl_node_event (node, &event);
}

/* Joins the contents of all messages, which is what the prompt's length counts. */
static WlBytes
join_messages (const json_t *messages, apr_pool_t *pool)
{
  size_t i;
  const json_t *message;
  size_t size = 0;
  json_array_foreach (messages, i, message) size
      += json_string_length (json_object_get (message, "content"));
  uint8_t *text = apr_palloc (pool, size + 1);
  size = 0;
  json_array_foreach (messages, i, message)
  {
    const json_t *content = json_object_get (message, "content");
    size_t n = json_string_length (content);
    if (n > 0)
      memcpy (text + size, json_string_value (content), n);
    size += n;
  }
  return (WlBytes){ text, (uint32_t)size };
}

static void
complete_chat (WlNode *node, WlExchange *x, const json_t *root)
{
  WlRequestEvent request = { 0 };
  WlPrefixHash marks[WL_PREFIX_HASHES_MAX];
  apr_pool_t *pool;
  char *key = strdup (wl_exchange_bearer (x));
  apr_pool_create (&pool, NULL);
  WlOpenRequest *r = open_request (node, x);
  WlBytes prompt = join_messages (json_object_get (root, "messages"), pool);
  r->is_streamed = json_is_true (json_object_get (root, "stream"));
  snprintf (r->service, sizeof r->service, "%s", wl_json_text (root, "model"));
  request.service = r->service;
  request.prompt_tokens = wl_prompt_tokens_estimate (prompt.size);
  request.max_tokens = wl_json_u64 (root, "max_tokens", DEFAULT_MAX_TOKENS);
  if (request.max_tokens > MAX_TOKENS_LIMIT)
    request.max_tokens = MAX_TOKENS_LIMIT;
  request.prefixes = marks;
  request.n_prefixes = wl_prefix_hashes (prompt, marks);
  submit_request (node, r, key != NULL ? key : "", &request);
  free (key);
  apr_pool_destroy (pool);
}

static void
handle_chat (WlNode *node, WlExchange *x)
{
  WlBytes body = wl_exchange_body (x);
  json_error_t error;
  json_t *root = json_loadb ((const char *)body.data, body.size, 0, &error);
  if (root == NULL || !json_is_array (json_object_get (root, "messages"))
      || wl_json_text (root, "model")[0] == '\0')
    wl_json_problem (x, 400, "bad request",
                     root == NULL ? error.text : "model and messages are required");
  else
    complete_chat (node, x, root);
  json_decref (root);
}

static void
handle_plain (WlNode *node, WlExchange *x, const char *rest)
{
  WlRequestEvent request = { 0 };
  const char *slash = strchr (rest, '/');
  size_t n = slash != NULL ? (size_t)(slash - rest) : strlen (rest);
  const char *path = slash != NULL ? slash : "/";
  if (n == 0 || n >= WL_NAME_SIZE || strlen (path) >= WL_PATH_SIZE)
    {
      wl_json_problem (x, 400, "bad request", "the service name or path is malformed");
      return;
    }
  char *key = strdup (wl_exchange_bearer (x));
  WlOpenRequest *r = open_request (node, x);
  r->is_plain = 1;
  strcpy (r->path, path);
  memcpy (r->service, rest, n);
  request.service = r->service;
  request.prompt_tokens = PLAIN_KV_TOKENS;
  request.max_tokens = 1;
  submit_request (node, r, key != NULL ? key : "", &request);
  free (key);
}

/* ---- entry list ---- */

typedef struct
{
  const WlMember *member;
  uint64_t rank;
} RankedMember;

static int
compare_ranked (const void *a, const void *b)
{
  uint64_t x = ((const RankedMember *)a)->rank;
  uint64_t y = ((const RankedMember *)b)->rank;
  return x < y ? -1 : x > y;
}

/* The order differs from caller to caller, so that callers spread over the entries. */
static json_t *
list_entries (const WlNode *node, uint64_t seed, const char *domain)
{
  const WlSession *s = &node->core->session;
  RankedMember *ranked = calloc (s->n_members + 1, sizeof *ranked);
  json_t *list = json_array ();
  uint32_t n = 0;
  if (ranked == NULL)
    abort ();
  for (uint32_t i = 0; i < s->n_members; i++)
    {
      if (s->members[i].draining)
        continue;
      if (s->members[i].node == s->settings->self.node && s->draining)
        continue;
      ranked[n].member = &s->members[i];
      ranked[n].rank = wl_hash_ids (seed, s->members[i].node) >> 1;
      if (*domain != '\0' && strcmp (domain, s->members[i].domain) != 0)
        ranked[n].rank |= 1ULL << 63;
      n++;
    }
  qsort (ranked, n, sizeof *ranked, compare_ranked);
  for (uint32_t i = 0; i < n; i++)
    json_array_append_new (list, json_pack ("{s:s,s:i,s:s}", "address", ranked[i].member->address,
                                            "port", (int)ranked[i].member->http_port, "domain",
                                            ranked[i].member->domain));
  free (ranked);
  return list;
}

static void
handle_entries (WlNode *node, WlExchange *x)
{
  const char *key = wl_exchange_bearer (x);
  const char *domain = wl_exchange_query (x, "domain");
  if (wl_services_authenticate (node->core->session.services, key) == NULL
      && strcmp (key, node->options.operator_key) != 0)
    {
      wl_json_problem (x, 401, "unauthorized", "the API key is unknown");
      return;
    }
  uint64_t seed = wl_hash_bytes (key, strlen (key), node->next_request++);
  wl_json_reply (x, 200,
                 json_pack ("{s:i,s:o}", "lifetime_ms", WL_ADDRESS_LIFETIME_US / 1000, "entries",
                            list_entries (node, seed, domain)));
}

int
wl_callers_handle (WlNode *node, WlExchange *exchange)
{
  const char *path = wl_exchange_path (exchange);
  const char *method = wl_exchange_method (exchange);
  if (strcmp (path, "/v1/entries") == 0 && strcmp (method, "GET") == 0)
    handle_entries (node, exchange);
  else if (strcmp (path, "/v1/chat/completions") == 0 && strcmp (method, "POST") == 0)
    handle_chat (node, exchange);
  else if (strncmp (path, "/v1/services/", 13) == 0 && strcmp (method, "POST") == 0)
    handle_plain (node, exchange, path + 13);
  else
    return 0;
  return 1;
}

/* ---- answers ---- */

static void
write_event (WlOpenRequest *r, const char *name, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  char head[64];
  int n = name != NULL ? snprintf (head, sizeof head, "event: %s\ndata: ", name)
                       : snprintf (head, sizeof head, "data: ");
  wl_exchange_write (r->exchange, (WlBytes){ (const uint8_t *)head, (uint32_t)n });
  if (text != NULL)
    wl_exchange_write (r->exchange, (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
  wl_exchange_write (r->exchange, (WlBytes){ (const uint8_t *)"\n\n", 2 });
  free (text);
  json_decref (value);
}

static void
begin_stream (WlOpenRequest *r)
{
  char id[20];
  if (r->has_begun)
    return;
  r->has_begun = 1;
  snprintf (id, sizeof id, "%016lx", (unsigned long)r->id);
  wl_exchange_add_header (r->exchange, "Wisterialoft-Request", id);
  wl_exchange_add_header (r->exchange, "Cache-Control", "no-store");
  wl_exchange_begin (r->exchange, 200, "text/event-stream");
}

void
wl_callers_chunk (WlNode *node, const WlEffect *effect)
{
  WlOpenRequest *r = wl_callers_find (node, effect->u.chunk.request);
  WlBytes data = effect->u.chunk.data;
  if (r == NULL || r->exchange == NULL)
    return;
  if (!r->is_streamed)
    {
      wl_buffer_append (&r->answer, data);
      return;
    }
  begin_stream (r);
  json_t *text = json_stringn ((const char *)data.data, data.size);
  if (text == NULL)
    text = json_string ("\xef\xbf\xbd"); /* not UTF-8 */
  write_event (r, NULL,
               json_pack ("{s:s,s:[{s:i,s:{s:o}}]}", "object", "chat.completion.chunk", "choices",
                          "index", 0, "delta", "content", text));
}

static uint32_t
status_of_refusal (const WlReplyEnd *end)
{
  if (end->timed_out)
    return 504;
  switch (end->reason)
    {
    case WL_REFUSAL_TOO_LARGE:
      return 413;
    case WL_REFUSAL_QUEUE_FULL:
    case WL_REFUSAL_CUSTOMER_CAP:
    case WL_REFUSAL_OVERLOAD:
      return 429;
    case WL_REFUSAL_CLAIM_TAKEN:
    case WL_REFUSAL_CLAIM_UNKNOWN:
      return 409;
    case WL_REFUSAL_KEY_REUSED:
      return 422;
    default:
      return 503;
    }
}

static uint32_t
status_of (const WlReplyEnd *end)
{
  switch (end->outcome)
    {
    case WL_OUTCOME_DONE:
    case WL_OUTCOME_REPLAYED:
      return end->http_status != 0 ? end->http_status : 200;
    case WL_OUTCOME_REFUSED:
      return status_of_refusal (end);
    case WL_OUTCOME_FAILED:
      return end->timed_out ? 504 : 502;
    case WL_OUTCOME_UNAUTHORIZED:
      return 401;
    case WL_OUTCOME_NO_SERVICE:
      return 404;
    case WL_OUTCOME_KEY_REQUIRED:
      return 400;
    }
  return 500;
}

static const char *
title_of (const WlReplyEnd *end)
{
  switch (end->outcome)
    {
    case WL_OUTCOME_REFUSED:
      return "refused";
    case WL_OUTCOME_FAILED:
      return end->timed_out ? "time limit reached" : "failed";
    case WL_OUTCOME_UNAUTHORIZED:
      return "unknown API key";
    case WL_OUTCOME_NO_SERVICE:
      return "unknown service";
    case WL_OUTCOME_KEY_REQUIRED:
      return "a non-idempotent call needs an Idempotency-Key";
    default:
      return "done";
    }
}

static const char *
run_name (WlRunState run)
{
  switch (run)
    {
    case WL_RUN_NOT_RUN:
      return "not_run";
    case WL_RUN_FAILED:
      return "failed";
    case WL_RUN_UNKNOWN:
      return "unknown";
    }
  return "unknown";
}

static json_t *
receipt_of (const WlNode *node, const WlReplyEnd *end)
{
  return json_pack ("{s:i,s:o,s:I,s:o}", "entry", (int)node->options.settings.self.node,
                    "incarnation", wl_json_hex (node->options.settings.incarnation), "sequence",
                    (json_int_t)end->receipt_sequence, "head", wl_json_digest (end->receipt_head));
}

static json_t *
problem_of (const WlNode *node, const WlReplyEnd *end)
{
  json_t *p = json_pack ("{s:s,s:i,s:s,s:s,s:o}", "title", title_of (end), "status",
                         (int)status_of (end), "run", run_name (end->run), "reason",
                         wl_refusal_name (end->reason), "request", wl_json_hex (end->request));
  if (end->receipt_sequence > 0)
    json_object_set_new (p, "receipt", receipt_of (node, end));
  if (end->reason == WL_REFUSAL_DRAINING)
    json_object_set_new (p, "entries", list_entries (node, end->request, ""));
  return p;
}

static json_t *
usage_of (const WlReplyEnd *end)
{
  return json_pack ("{s:I,s:I}", "completion_tokens", (json_int_t)end->tokens, "cached_tokens",
                    (json_int_t)end->cached_tokens);
}

static void
end_stream (WlNode *node, WlOpenRequest *r, const WlReplyEnd *end)
{
  begin_stream (r);
  if (end->outcome != WL_OUTCOME_DONE)
    {
      write_event (r, "error", problem_of (node, end));
      wl_exchange_end (r->exchange, 0);
      return;
    }
  write_event (r, NULL,
               json_pack ("{s:s,s:[{s:i,s:{},s:s}],s:o,s:o}", "object", "chat.completion.chunk",
                          "choices", "index", 0, "delta", "finish_reason", "stop", "usage",
                          usage_of (end), "receipt", receipt_of (node, end)));
  wl_exchange_write (r->exchange, (WlBytes){ (const uint8_t *)"data: [DONE]\n\n", 14 });
  wl_exchange_end (r->exchange, 1);
}

static void
reply_problem (WlNode *node, WlOpenRequest *r, const WlReplyEnd *end)
{
  char seconds[24];
  json_t *problem = problem_of (node, end);
  char *text = json_dumps (problem, JSON_COMPACT);
  snprintf (seconds, sizeof seconds, "%lu",
            (unsigned long)((end->retry_after_us + 999999) / 1000000));
  if (end->retry_after_us > 0)
    wl_exchange_add_header (r->exchange, "Retry-After", seconds);
  wl_exchange_reply (r->exchange, status_of (end), "application/problem+json",
                     (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
  free (text);
  json_decref (problem);
}

static void
reply_plain (WlNode *node, WlOpenRequest *r, const WlReplyEnd *end)
{
  WlBytes body = wl_buffer_bytes (&r->answer);
  char text[160];
  char hex[65];
  if (end->outcome == WL_OUTCOME_REPLAYED)
    {
      body = end->body;
      wl_exchange_add_header (r->exchange, "Idempotency-Replayed", "true");
    }
  sodium_bin2hex (hex, sizeof hex, end->receipt_head, WL_DIGEST_SIZE);
  snprintf (text, sizeof text, "%u/%016lx/%lu/%s", node->options.settings.self.node,
            (unsigned long)node->options.settings.incarnation, (unsigned long)end->receipt_sequence,
            hex);
  wl_exchange_add_header (r->exchange, "Wisterialoft-Receipt", text);
  wl_exchange_reply (r->exchange, status_of (end),
                     r->plain_type[0] != '\0' ? r->plain_type : "application/octet-stream", body);
}

static void
reply_chat (WlNode *node, WlOpenRequest *r, const WlReplyEnd *end)
{
  WlBytes body = wl_buffer_bytes (&r->answer);
  if (end->outcome == WL_OUTCOME_REPLAYED)
    body = end->body;
  json_t *content = json_stringn (body.size > 0 ? (const char *)body.data : "", body.size);
  if (content == NULL)
    content = json_string ("");
  wl_json_reply (r->exchange, 200,
                 json_pack ("{s:s,s:o,s:[{s:i,s:{s:s,s:o},s:s}],s:o,s:o}", "object",
                            "chat.completion", "id", wl_json_hex (r->id), "choices", "index", 0,
                            "message", "role", "assistant", "content", content, "finish_reason",
                            "stop", "usage", usage_of (end), "receipt", receipt_of (node, end)));
}

void
wl_callers_end (WlNode *node, const WlReplyEnd *end)
{
  WlOpenRequest *r = wl_callers_find (node, end->request);
  if (r == NULL)
    return;
  if (r->exchange != NULL)
    {
      int is_done = end->outcome == WL_OUTCOME_DONE || end->outcome == WL_OUTCOME_REPLAYED;
      if (r->has_begun || (is_done && r->is_streamed))
        end_stream (node, r, end);
      else if (!is_done)
        reply_problem (node, r, end);
      else if (r->is_plain)
        reply_plain (node, r, end);
      else
        reply_chat (node, r, end);
    }
  r->exchange = NULL;
  wl_callers_release (node, r);
}

void
wl_callers_gone (WlNode *node, const WlExchange *exchange)
{
  WlOpenRequest *r = wl_callers_find (node, wl_exchange_data (exchange));
  WlEvent event = { .kind = WL_EVENT_CALLER_DISCONNECTED };
  if (r == NULL || r->exchange != exchange)
    return;
  event.u.caller_disconnected = r->id;
  r->exchange = NULL;
  wl_node_event (node, &event);
  wl_callers_release (node, r);
}

void
wl_callers_check_closed (WlNode *node)
{
  for (apr_hash_index_t *i = apr_hash_first (NULL, node->requests); i; i = apr_hash_next (i))
    {
      WlOpenRequest *r = apr_hash_this_val (i);
      if (r->exchange == NULL || r->has_begun || !wl_exchange_client_closed (r->exchange))
        continue;
      WlEvent event = { .kind = WL_EVENT_CALLER_DISCONNECTED };
      event.u.caller_disconnected = r->id;
      wl_json_problem (r->exchange, 499, "client closed", "the caller closed its connection");
      r->exchange = NULL;
      wl_node_event (node, &event);
      wl_callers_release (node, r);
    }
}
