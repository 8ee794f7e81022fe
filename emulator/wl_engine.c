#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sodium.h>
#include <jansson.h>
#include "wl_clock.h"
#include "wl_engine_internal.h"
#include "wl_prefix.h"
#include "wl_table.h"

void
engine_token_text (uint64_t prompt_hash, uint64_t index, char *out)
{
  snprintf (out, 10, "%07x ", (unsigned)(wl_hash_ids (prompt_hash, index) & 0xfffffff));
}

static void
witness (const Engine *e, const char *kind, const char *detail)
{
  char line[512];
  if (e->options->witness < 0)
    return;
  int n = snprintf (line, sizeof line, "%s endpoint=%s %s\n", kind, e->name, detail);
  if (write (e->options->witness, line, (size_t)n) < 0)
    return;
}

static uint64_t
scaled (const Engine *e, double us)
{
  return (uint64_t)(us / e->options->speed);
}

/* ---- memory and cache ---- */

uint64_t
engine_kv_used (const Engine *e)
{
  uint64_t used = 0;
  for (const Sequence *s = e->sequences; s != NULL; s = s->next)
    used += s->kv_tokens;
  return used;
}

static uint32_t
slots_used (const Engine *e)
{
  uint32_t n = 0;
  for (const Sequence *s = e->sequences; s != NULL; s = s->next)
    n++;
  return n;
}

/* Running requests take memory from kept prefixes, where the option says so. */
static void
make_room (Engine *e)
{
  uint64_t used = engine_kv_used (e);
  if (e->options->evicts)
    engine_cache_evict (&e->cache,
                        used < e->options->kv_capacity ? e->options->kv_capacity - used : 0);
}

static uint64_t
look_up (Engine *e, const Sequence *s, uint64_t now_us)
{
  uint64_t tokens = engine_cache_lookup (&e->cache, s->marks, s->n_marks, now_us);
  return tokens == 0 || tokens < s->prompt_tokens ? tokens : s->prompt_tokens - 1;
}

/* ---- sequences ---- */

static void
free_sequence (Engine *e, Sequence *s)
{
  Sequence **slot = &e->sequences;
  while (*slot != s)
    slot = &(*slot)->next;
  *slot = s->next;
  free (s);
}

static void
write_text (const Sequence *s, const char *text)
{
  if (s->exchange == NULL || s->is_silent)
    return;
  wl_exchange_write (s->exchange, (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
}

static void
end_sequence (Engine *e, Sequence *s, int is_whole)
{
  if (s->exchange != NULL && !s->is_silent)
    wl_exchange_end (s->exchange, is_whole);
  free_sequence (e, s);
}

static void
finish_sequence (Engine *e, Sequence *s)
{
  char text[256];
  snprintf (text, sizeof text,
            "data: {\"done\":{\"total_tokens\":%lu,\"cached_tokens\":%lu,\"prefill_us\":%lu}}\n\n"
            "data: [DONE]\n\n",
            (unsigned long)s->next_token, (unsigned long)s->cached_tokens,
            (unsigned long)(s->prefilled_us - s->started_us));
  write_text (s, text);
  end_sequence (e, s, 1);
}

static void
emit_token (Engine *e, Sequence *s)
{
  char token[16];
  char text[160];
  if (s->next_token >= s->max_tokens) /* resumed after its last token */
    {
      finish_sequence (e, s);
      return;
    }
  engine_token_text (s->prompt_hash, s->next_token, token);
  snprintf (text, sizeof text,
            "id: %lu\ndata: {\"choices\":[{\"delta\":{\"content\":\"%s\"}}]}\n\n",
            (unsigned long)s->next_token, token);
  write_text (s, text);
  s->next_token++;
  if (s->cut_at != 0 && s->next_token >= s->cut_at)
    end_sequence (e, s, 0);
  else if (s->next_token >= s->max_tokens)
    finish_sequence (e, s);
}

/* Returns 1 when the engine ends before the first token. */
static int
meet_end (Engine *e, const Sequence *s)
{
  char detail[64];
  if (!s->ends_engine)
    return 0;
  snprintf (detail, sizeof detail, "request=%016lx", (unsigned long)s->request);
  witness (e, "END", detail);
  e->is_ending = 1;
  return 1;
}

static int
is_generating (const Engine *e)
{
  for (const Sequence *s = e->sequences; s != NULL; s = s->next)
    if (s->prefill_left <= 0 && s->rank == 0)
      return 1;
  return 0;
}

/* One iteration: prompt chunk by priority, then one token for every running request. */
static double
run_prefill (Engine *e, uint64_t now_us)
{
  double budget = is_generating (e) ? ENGINE_CHUNK_SHARED_TOKENS : ENGINE_CHUNK_ALONE_TOKENS;
  double spent = 0;
  for (uint32_t priority = 0; priority < 4; priority++)
    for (Sequence *s = e->sequences; s != NULL && budget > 0; s = s->next)
      {
        if (s->priority != priority || s->prefill_left <= 0)
          continue;
        double n = s->prefill_left < budget ? s->prefill_left : budget;
        s->prefill_left -= n;
        budget -= n;
        spent += n;
        if (s->prefill_left > 0)
          continue;
        s->prefilled_us = now_us;
        engine_cache_store (&e->cache, s->marks, s->n_marks, now_us);
        make_room (e);
      }
  return spent;
}

static void
iterate (Engine *e, uint64_t now_us)
{
  double spent = run_prefill (e, now_us);
  int any = spent > 0;
  for (Sequence *s = e->sequences, *next; s != NULL; s = next)
    {
      next = s->next;
      if (s->prefill_left > 0 || s->rank > 0)
        continue;
      any = 1;
      if (meet_end (e, s))
        return;
      emit_token (e, s);
    }
  double us = (double)e->options->decode_us + spent * 1e6 / e->options->prefill_tps;
  e->iteration_end_us = any ? now_us + scaled (e, us) : 0;
}

static void
send_alive (Engine *e, uint64_t now_us)
{
  for (Sequence *s = e->sequences; s != NULL; s = s->next)
    {
      if (now_us < s->alive_us + ENGINE_ALIVE_US)
        continue;
      s->alive_us = now_us;
      write_text (s, ": alive\n\n");
    }
}

/* ---- requests ---- */

static uint64_t
field_number (const char *header, const char *name, int base)
{
  const char *p = strstr (header, name);
  return p != NULL ? strtoull (p + strlen (name), NULL, base) : 0;
}

static uint32_t
count_gang (const char *header)
{
  const char *p = strstr (header, "gang=");
  uint32_t n = 1;
  for (; p != NULL && *p != '\0'; p++)
    n += *p == ',';
  return n;
}

static void
refuse (WlExchange *x, uint32_t status, const char *title)
{
  char text[128];
  int n = snprintf (text, sizeof text, "{\"title\":\"%s\",\"run\":\"not_run\"}", title);
  wl_exchange_reply (x, status, "application/problem+json",
                     (WlBytes){ (const uint8_t *)text, (uint32_t)n });
}

static int
is_end (const EngineOptions *o, const char *message)
{
  for (uint32_t i = 0; i < o->n_ends_on; i++)
    if (strstr (message, o->ends_on[i]) != NULL)
      return 1;
  return 0;
}

static void
read_prompt (const Engine *e, Sequence *s, const json_t *root)
{
  const json_t *messages = json_object_get (root, "messages");
  size_t i;
  const json_t *m;
  size_t size = 0;
  json_array_foreach (messages, i, m) size += json_string_length (json_object_get (m, "content"));
  uint8_t *text = malloc (size + 1);
  if (text == NULL)
    abort ();
  size = 0;
  json_array_foreach (messages, i, m)
  {
    const json_t *c = json_object_get (m, "content");
    if (json_string_length (c) > 0)
      {
        memcpy (text + size, json_string_value (c), json_string_length (c));
        s->ends_engine |= (uint8_t)is_end (e->options, json_string_value (c));
      }
    size += json_string_length (c);
  }
  s->prompt_hash = wl_hash_bytes (text, size, 0);
  s->prompt_tokens = wl_prompt_tokens_estimate (size);
  s->n_marks = wl_prefix_hashes ((WlBytes){ text, (uint32_t)size }, s->marks);
  free (text);
}

static Sequence *
read_sequence (const Engine *e, WlExchange *x, uint64_t now_us)
{
  const char *header = wl_exchange_header (x, "Wisterialoft-Attempt");
  WlBytes body = wl_exchange_body (x);
  json_t *root = json_loadb ((const char *)body.data, body.size, 0, NULL);
  if (root == NULL)
    return NULL;
  Sequence *s = calloc (1, sizeof *s);
  if (s == NULL)
    abort ();
  const json_t *max = json_object_get (root, "max_tokens");
  read_prompt (e, s, root);
  s->request = field_number (header, "request=", 16);
  s->attempt = (uint32_t)field_number (header, "attempt=", 10);
  s->rank = (uint32_t)field_number (header, "rank=", 10);
  s->priority = (uint32_t)field_number (header, "priority=", 10);
  s->next_token = field_number (header, "offset=", 10);
  s->gang = count_gang (header);
  s->max_tokens = json_is_integer (max) ? (uint64_t)json_integer_value (max) : 256;
  s->started_us = now_us;
  s->prefilled_us = now_us;
  s->alive_us = now_us;
  s->exchange = x;
  json_decref (root);
  return s;
}

static void
append_sequence (Engine *e, Sequence *s)
{
  Sequence **slot = &e->sequences;
  while (*slot != NULL)
    slot = &(*slot)->next;
  *slot = s;
}

static void
handle_generate (Engine *e, WlExchange *x)
{
  char detail[160];
  uint64_t now_us = wl_clock_now_us ();
  Sequence *s = read_sequence (e, x, now_us);
  if (s == NULL)
    {
      refuse (x, 400, "bad body");
      return;
    }
  s->kv_tokens = (s->prompt_tokens + s->max_tokens + s->gang - 1) / s->gang;
  if (engine_kv_used (e) + s->kv_tokens > e->options->kv_capacity
      || slots_used (e) >= SEQUENCES_MAX)
    {
      free (s);
      refuse (x, 503, "out of memory");
      return;
    }
  s->cached_tokens = look_up (e, s, now_us);
  uint64_t computed = s->prompt_tokens + s->next_token - s->cached_tokens;
  s->prefill_left = (double)computed / (s->gang > 1 ? s->gang * 0.9 : 1);
  s->cut_at = e->cut_next > 0 ? s->next_token + e->cut_next : 0;
  e->cut_next = 0;
  append_sequence (e, s);
  make_room (e);
  snprintf (detail, sizeof detail, "request=%016lx attempt=%u rank=%u prompt=%lu cached=%lu",
            (unsigned long)s->request, s->attempt, s->rank, (unsigned long)s->prompt_tokens,
            (unsigned long)s->cached_tokens);
  witness (e, "RUN", detail);
  wl_exchange_set_data (x, s->request);
  wl_exchange_begin (x, 200, "text/event-stream");
  write_text (s, ": alive\n\n");
  if (e->iteration_end_us == 0)
    e->iteration_end_us = now_us + scaled (e, (double)e->options->latency_us);
}

static void
handle_cancel (Engine *e, WlExchange *x)
{
  static const char text[] = "{\"held\":false}";
  uint64_t request = strtoull (wl_exchange_query (x, "request"), NULL, 16);
  uint32_t attempt = (uint32_t)strtoul (wl_exchange_query (x, "attempt"), NULL, 10);
  for (Sequence *s = e->sequences, *next; s != NULL; s = next)
    {
      next = s->next;
      if (s->request == request && s->attempt == attempt)
        end_sequence (e, s, s->rank > 0);
    }
  wl_exchange_reply (x, 200, "application/json",
                     (WlBytes){ (const uint8_t *)text, sizeof text - 1 });
}

static void
handle_order (Engine *e, WlExchange *x)
{
  WlBytes body = wl_exchange_body (x);
  json_t *root = json_loadb ((const char *)body.data, body.size, 0, NULL);
  uint64_t fence = (uint64_t)json_integer_value (json_object_get (root, "fence"));
  const char *model = json_string_value (json_object_get (root, "model"));
  const char *version = json_string_value (json_object_get (root, "version"));
  char detail[160];
  if (model == NULL || version == NULL)
    refuse (x, 400, "bad order");
  else if (e->options->checks_fence && fence < e->fence)
    refuse (x, 409, "old fencing number");
  else
    {
      if (fence > e->fence)
        e->fence = fence;
      snprintf (e->loading_model, sizeof e->loading_model, "%s", model);
      snprintf (e->loading_version, sizeof e->loading_version, "%s", version);
      e->loading_until_us = wl_clock_now_us () + scaled (e, (double)e->options->load_ms * 1000) + 1;
      snprintf (detail, sizeof detail, "model=%.40s version=%.40s fence=%lu", model, version,
                (unsigned long)fence);
      witness (e, "ORDER", detail);
      wl_exchange_reply (x, 200, "application/json", (WlBytes){ (const uint8_t *)"{}", 2 });
    }
  json_decref (root);
}

static void
handle_call (Engine *e, WlExchange *x)
{
  char detail[KEY_SIZE + 160];
  Call *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->exchange = x;
  c->due_us = wl_clock_now_us () + scaled (e, (double)e->options->service_ms * 1000);
  if (e->late_until_us > c->due_us)
    c->due_us = e->late_until_us;
  snprintf (c->body, sizeof c->body, "{\"endpoint\":\"%s\",\"path\":\"%s\",\"run\":%lu}", e->name,
            wl_exchange_path (x), (unsigned long)++e->call_count);
  snprintf (detail, sizeof detail, "path=%s key=%s", wl_exchange_path (x),
            wl_exchange_header (x, "Idempotency-Key"));
  witness (e, "CALL", detail);
  wl_exchange_set_data (x, 1);
  c->next = e->calls;
  e->calls = c;
}

/* ---- faults on request ---- */

static void
die (Engine *e)
{
  e->is_dead = 1;
  while (e->sequences != NULL)
    end_sequence (e, e->sequences, 0);
  for (Call *c = e->calls; c != NULL; c = c->next)
    if (c->exchange != NULL)
      {
        wl_exchange_begin (c->exchange, 200, "text/plain");
        wl_exchange_end (c->exchange, 0);
        c->exchange = NULL;
      }
}

static void
handle_fault (Engine *e, WlExchange *x, const char *kind)
{
  wl_exchange_reply (x, 200, "application/json", (WlBytes){ (const uint8_t *)"{}", 2 });
  if (strcmp (kind, "die") == 0)
    die (e);
  if (strcmp (kind, "hang") == 0)
    e->is_hung = 1;
  if (strcmp (kind, "heal") == 0)
    e->is_hung = e->is_dead = 0;
  if (strcmp (kind, "leave") == 0)
    {
      e->is_leaving = 1;
      e->announce_us = 0;
      witness (e, "LEAVE", "");
    }
  if (strcmp (kind, "silent") == 0)
    for (Sequence *s = e->sequences; s != NULL; s = s->next)
      s->is_silent = 1;
  if (strcmp (kind, "cut") == 0)
    e->cut_next = 5;
  if (strcmp (kind, "late") == 0)
    e->late_until_us = wl_clock_now_us () + 3000000;
}

static void
handle (void *data, WlExchange *x)
{
  Engine *e = data;
  const char *path = wl_exchange_path (x);
  if (e->options->limit != NULL)
    wl_exchange_add_header (x, "Server-Limit", e->options->limit);
  if (strncmp (path, "/fault/", 7) == 0)
    handle_fault (e, x, path + 7);
  else if (e->is_dead || e->is_hung)
    refuse (x, e->is_hung ? 500 : 503, "endpoint is down");
  else if (strcmp (path, "/v1/cancel") == 0)
    handle_cancel (e, x);
  else if (strcmp (path, "/v1/orders") == 0)
    handle_order (e, x);
  else if (e->options->is_plain)
    handle_call (e, x);
  else if (strcmp (path, "/v1/chat/completions") == 0)
    handle_generate (e, x);
  else
    refuse (x, 404, "not found");
}

/* The engine does not notice that a client has gone: it computes on until cancelled. */
static void
gone (void *data, WlExchange *x)
{
  Engine *e = data;
  for (Sequence *s = e->sequences; s != NULL; s = s->next)
    if (s->exchange == x)
      s->exchange = NULL;
  for (Call *c = e->calls; c != NULL; c = c->next)
    if (c->exchange == x)
      c->exchange = NULL;
}

/* ---- life ---- */

static int
listen_anew (Engine *e)
{
  WlHttpOptions http
      = { .address = e->address, .port = e->port, .handle = handle, .gone = gone, .data = e };
  randombytes_buf (&e->incarnation, sizeof e->incarnation);
  return wl_http_server_create (e->reactor, &http, &e->server) == WL_OK;
}

/* Closes all connections, then goes; what it had computed is gone, too. */
static void
leave_at_once (Engine *e, uint64_t now_us)
{
  e->is_ending = 0;
  e->back_us = now_us + scaled (e, ENGINE_AWAY_US);
  wl_http_server_destroy (e->server);
  e->server = NULL;
  while (e->sequences != NULL)
    free_sequence (e, e->sequences);
  while (e->calls != NULL)
    {
      Call *c = e->calls;
      e->calls = c->next;
      free (c);
    }
  e->iteration_end_us = 0;
  memset (&e->cache, 0, sizeof e->cache);
  json_decref (e->lagged);
  e->lagged = NULL;
}

/* Returns 0 while it is away. */
static int
come_back (Engine *e, uint64_t now_us)
{
  if (e->back_us == 0)
    return 1;
  if (now_us < e->back_us || !listen_anew (e))
    return 0;
  e->back_us = 0;
  e->announce_us = 0;
  return 1;
}

Engine *
engine_create (const EngineOptions *options, WlReactor *reactor, WlHttpClient *client,
               const char *name, const char *domain, const char *address, uint32_t port)
{
  Engine *e = calloc (1, sizeof *e);
  if (e == NULL)
    abort ();
  e->options = options;
  e->reactor = reactor;
  e->client = client;
  snprintf (e->name, sizeof e->name, "%s", name);
  snprintf (e->domain, sizeof e->domain, "%s", domain);
  snprintf (e->address, sizeof e->address, "%s", address);
  if (options->preloaded)
    {
      snprintf (e->loaded[0].name, sizeof e->loaded[0].name, "%s", options->model);
      snprintf (e->loaded[0].version, sizeof e->loaded[0].version, "%s", options->version);
      e->n_loaded = 1;
    }
  e->port = port;
  if (!listen_anew (e))
    {
      free (e);
      return NULL;
    }
  e->port = wl_http_server_port (e->server);
  e->next_entry = (uint32_t)e->incarnation;
  return e;
}

void
engine_add_entry (Engine *engine, const char *address, uint32_t port)
{
  if (engine->n_entries == ENTRIES_MAX)
    return;
  EntryAddress *a = &engine->entries[engine->n_entries++];
  snprintf (a->address, sizeof a->address, "%s", address);
  a->port = port;
}

static void
finish_loading (Engine *e, uint64_t now_us)
{
  uint32_t i = 0;
  if (e->loading_until_us == 0 || now_us < e->loading_until_us)
    return;
  e->loading_until_us = 0;
  while (i < e->n_loaded && strcmp (e->loaded[i].name, e->loading_model) != 0)
    i++;
  if (i == ENGINE_LABELS)
    return;
  strcpy (e->loaded[i].name, e->loading_model);
  strcpy (e->loaded[i].version, e->loading_version);
  if (i == e->n_loaded)
    e->n_loaded++;
}

static void
finish_calls (Engine *e, uint64_t now_us)
{
  for (Call **slot = &e->calls; *slot != NULL;)
    {
      Call *c = *slot;
      if (now_us < c->due_us)
        {
          slot = &c->next;
          continue;
        }
      if (c->exchange != NULL)
        wl_exchange_reply (c->exchange, 200, "application/json",
                           (WlBytes){ (const uint8_t *)c->body, (uint32_t)strlen (c->body) });
      *slot = c->next;
      free (c);
    }
}

void
engine_tick (Engine *engine, uint64_t now_us)
{
  if (engine->is_ending)
    leave_at_once (engine, now_us);
  if (!come_back (engine, now_us))
    return;
  if (!engine->is_dead && now_us >= engine->announce_us && engine->n_entries > 0)
    {
      engine->announce_us = now_us + ANNOUNCE_US;
      engine_send_report (engine);
    }
  if (!engine->is_dead && !engine->is_hung)
    {
      finish_loading (engine, now_us);
      finish_calls (engine, now_us);
      /* Catch up with iterations that ended between two ticks. */
      for (int i = 0; i < 64 && engine->iteration_end_us != 0 && now_us >= engine->iteration_end_us
                      && !engine->is_ending;
           i++)
        iterate (engine, engine->iteration_end_us);
      send_alive (engine, now_us);
    }
  wl_http_server_run (engine->server);
}
