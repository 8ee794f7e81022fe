#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_buffer.h"
#include "wl_callers.h"
#include "wl_clock.h"
#include "wl_engines.h"
#include "wl_json.h"

enum
{
  LINE_MAX_BYTES = 1 << 20, /* one line of a server-sent event */
  PLAIN_ANSWER_MAX = 8 << 20,
  CONTROL_TIMEOUT_MS = 2000,
};

struct WlEngineCall
{
  WlNode *node;
  WlHttpCall *call;
  uint64_t request;
  uint32_t attempt;
  uint32_t rank;
  uint8_t is_plain;
  uint8_t is_done;
  uint8_t is_cut;  /* a part of the response had no room */
  uint64_t offset; /* from the id field of the event being read */
  WlBuffer line;   /* unfinished line of a stream, or answer of a plain service */
  WlEndEvent end;
  WlEngineCall *next;
};

static void
unlink_call (WlEngineCall *c)
{
  WlOpenRequest *r = wl_callers_find (c->node, c->request);
  if (r != NULL)
    {
      WlEngineCall **slot = &r->calls;
      while (*slot != NULL && *slot != c)
        slot = &(*slot)->next;
      if (*slot == c)
        *slot = c->next;
      wl_callers_release (c->node, r);
    }
  wl_buffer_clear (&c->line);
  free (c);
}

static void
send_output (const WlEngineCall *c, uint64_t offset, uint32_t tokens, WlBytes data)
{
  WlEvent event = { .kind = WL_EVENT_ENGINE_OUTPUT };
  event.u.output.request = c->request;
  event.u.output.attempt = c->attempt;
  event.u.output.offset = offset;
  event.u.output.tokens = tokens;
  event.u.output.data = data;
  wl_node_event (c->node, &event);
}

/* ---- server-sent events of model engines ---- */

static void
take_done (WlEngineCall *c, const json_t *done)
{
  c->is_done = 1;
  c->end.total_tokens = wl_json_u64 (done, "total_tokens", 0);
  c->end.cached_tokens = wl_json_u64 (done, "cached_tokens", 0);
  c->end.prefill_us = wl_json_u64 (done, "prefill_us", 0);
}

static void
take_data (WlEngineCall *c, const char *text, size_t size)
{
  json_t *root = json_loadb (text, size, 0, NULL);
  const json_t *done = json_object_get (root, "done");
  const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
  const json_t *content = json_object_get (json_object_get (choice, "delta"), "content");
  if (done != NULL)
    take_done (c, done);
  else if (json_is_string (content) && c->rank == 0)
    send_output (c, c->offset, 1,
                 (WlBytes){ (const uint8_t *)json_string_value (content),
                            (uint32_t)json_string_length (content) });
  json_decref (root);
}

/* Reads a number that no zero byte ends. */
static uint64_t
read_offset (const char *text, size_t size)
{
  uint64_t n = 0;
  for (size_t i = 0; i < size && text[i] >= '0' && text[i] <= '9'; i++)
    n = n * 10 + (uint64_t)(text[i] - '0');
  return n;
}

static void
take_line (WlEngineCall *c, const char *line, size_t size)
{
  if (size > 4 && strncmp (line, "id: ", 4) == 0)
    c->offset = read_offset (line + 4, size - 4);
  else if (size > 6 && strncmp (line, "data: ", 6) == 0)
    take_data (c, line + 6, size - 6);
  else if (size > 0 && line[0] == ':')
    send_output (c, 0, 0, (WlBytes){ NULL, 0 });
}

static void
received_stream (WlEngineCall *c, WlBytes bytes)
{
  const char *p = (const char *)bytes.data;
  const char *stop = p + bytes.size;
  while (p < stop)
    {
      const char *newline = memchr (p, '\n', (size_t)(stop - p));
      size_t n = (size_t)((newline != NULL ? newline : stop) - p);
      if (wl_buffer_left (&c->line) + n > LINE_MAX_BYTES)
        {
          c->is_cut = 1;
          return;
        }
      wl_buffer_append (&c->line, (WlBytes){ (const uint8_t *)p, (uint32_t)n });
      if (newline == NULL)
        return;
      WlBytes line = wl_buffer_bytes (&c->line);
      take_line (c, (const char *)line.data, line.size);
      wl_buffer_take (&c->line, line.size);
      p = newline + 1;
    }
}

static void
on_received (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes)
{
  WlEngineCall *c = data;
  (void)call;
  if (c->is_plain && wl_buffer_left (&c->line) + bytes.size > PLAIN_ANSWER_MAX)
    c->is_cut = 1;
  if (c->is_cut)
    return;
  if (c->is_plain)
    wl_buffer_append (&c->line, bytes);
  else if (status == 200)
    received_stream (c, bytes);
}

static WlEndKind
kind_of_end (const WlEngineCall *c, const WlHttpResult *result)
{
  if (!result->is_sent)
    return WL_END_NOT_SENT;
  if (c->is_cut)
    return WL_END_BROKEN;
  if (c->is_plain)
    return result->is_complete ? WL_END_DONE : WL_END_BROKEN;
  if (result->is_complete && (result->status == 503 || result->status == 429))
    return WL_END_REJECTED;
  return c->is_done && result->is_complete ? WL_END_DONE : WL_END_BROKEN;
}

static void
on_done (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  WlEngineCall *c = data;
  WlEvent event = { .kind = WL_EVENT_ENGINE_END };
  (void)call;
  event.u.end = c->end;
  event.u.end.request = c->request;
  event.u.end.attempt = c->attempt;
  event.u.end.rank = c->rank;
  event.u.end.kind = kind_of_end (c, result);
  if (c->is_plain && event.u.end.kind == WL_END_DONE)
    {
      event.u.end.http_status = result->status;
      event.u.end.total_tokens = 1;
      send_output (c, 0, 1, wl_buffer_bytes (&c->line));
    }
  wl_node_event (c->node, &event);
  unlink_call (c);
}

static void
format_header (char *out, size_t size, const WlDispatch *d)
{
  uint64_t now_us = wl_clock_now_us ();
  uint64_t left_us = d->deadline_us > now_us ? d->deadline_us - now_us : 0;
  int n = snprintf (out, size,
                    "Wisterialoft-Attempt: request=%016lx;attempt=%u;rank=%u;offset=%lu;"
                    "priority=%u;deadline_ms=%lu;kv=%lu;gang=",
                    (unsigned long)d->request, d->attempt, d->rank, (unsigned long)d->offset,
                    d->priority, (unsigned long)(left_us / 1000),
                    (unsigned long)d->endpoints[d->rank].kv_tokens);
  for (uint32_t i = 0; i < d->n_endpoints && n > 0 && (size_t)n < size; i++)
    n += snprintf (out + n, size - (size_t)n, "%s%s:%u", i > 0 ? "," : "", d->endpoints[i].address,
                   d->endpoints[i].port);
}

void
wl_engines_dispatch (WlNode *node, const WlDispatch *dispatch)
{
  WlOpenRequest *r = wl_callers_find (node, dispatch->request);
  char header[1024];
  char key_header[WL_KEY_SIZE + 32];
  if (r == NULL)
    return;
  WlEngineCall *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->node = node;
  c->request = dispatch->request;
  c->attempt = dispatch->attempt;
  c->rank = dispatch->rank;
  c->is_plain = r->is_plain;
  c->next = r->calls;
  r->calls = c;
  format_header (header, sizeof header, dispatch);
  snprintf (key_header, sizeof key_header, "Idempotency-Key: %s", r->key);
  WlHttpParams params = {
    .method = "POST",
    .address = dispatch->endpoints[dispatch->rank].address,
    .port = dispatch->endpoints[dispatch->rank].port,
    .path = r->is_plain ? r->path : "/v1/chat/completions",
    .type = r->type[0] != '\0' ? r->type : "application/json",
    .body = { r->body, r->body_size },
    .header = r->is_plain ? key_header : header,
    .fresh = dispatch->fresh_connection,
    .received = on_received,
    .done = on_done,
    .data = c,
  };
  c->call = wl_http_client_call (node->client, &params);
}

/* Closes a request's calls of one attempt, or of all when attempt is 0. */
static void
close_calls (WlOpenRequest *r, uint32_t attempt)
{
  for (WlEngineCall **slot = &r->calls; *slot != NULL;)
    {
      WlEngineCall *c = *slot;
      if (attempt != 0 && c->attempt != attempt)
        {
          slot = &c->next;
          continue;
        }
      *slot = c->next;
      wl_http_call_cancel (c->call);
      wl_buffer_clear (&c->line);
      free (c);
    }
}

void
wl_engines_close_attempt (WlNode *node, const WlRunningAttempt *attempt)
{
  WlOpenRequest *r = wl_callers_find (node, attempt->request);
  if (r == NULL)
    return;
  close_calls (r, attempt->attempt);
  wl_callers_release (node, r);
}

void
wl_engines_drop_calls (WlOpenRequest *request)
{
  close_calls (request, 0);
}

/* ---- cancels and orders ---- */

typedef struct
{
  WlNode *node;
  WlCancelConfirmedEvent confirm;
  WlModelLoadEndEvent order;
  uint8_t is_order;
  char answer[256];
  size_t answer_size;
} ControlCall;

static void
control_received (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes)
{
  ControlCall *c = data;
  (void)call;
  (void)status;
  if (c->answer_size + bytes.size >= sizeof c->answer)
    return;
  memcpy (c->answer + c->answer_size, bytes.data, bytes.size);
  c->answer_size += bytes.size;
}

static void
control_done (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  ControlCall *c = data;
  WlEvent event = { 0 };
  (void)call;
  if (c->is_order)
    {
      event.kind = WL_EVENT_MODEL_LOAD_END;
      event.u.model_load_end = c->order;
      event.u.model_load_end.ok = result->is_complete && result->status == 200;
      wl_node_event (c->node, &event);
    }
  else if (result->is_complete && result->status == 200
           && strstr (c->answer, "\"held\":false") != NULL)
    {
      event.kind = WL_EVENT_CANCEL_CONFIRMED;
      event.u.cancel_confirmed = c->confirm;
      wl_node_event (c->node, &event);
    }
  free (c);
}

static ControlCall *
new_control_call (WlNode *node)
{
  ControlCall *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->node = node;
  return c;
}

void
wl_engines_cancel (WlNode *node, const WlCancel *cancel)
{
  ControlCall *c = new_control_call (node);
  char path[128];
  c->confirm.endpoint = cancel->endpoint;
  c->confirm.request = cancel->request;
  c->confirm.attempt = cancel->attempt;
  snprintf (path, sizeof path, "/v1/cancel?request=%016lx&attempt=%u",
            (unsigned long)cancel->request, cancel->attempt);
  /* A new connection each time: the pooled one may be the silent one. */
  WlHttpParams params = {
    .method = "POST",
    .address = cancel->address,
    .port = cancel->port,
    .path = path,
    .fresh = 1,
    .timeout_ms = CONTROL_TIMEOUT_MS,
    .received = control_received,
    .done = control_done,
    .data = c,
  };
  wl_http_client_call (node->client, &params);
}

void
wl_engines_order (WlNode *node, const WlModelLoad *order)
{
  ControlCall *c = new_control_call (node);
  char body[512];
  c->is_order = 1;
  c->order.endpoint = order->endpoint;
  int n = snprintf (body, sizeof body,
                    "{\"fence\":%lu,\"action\":\"load\",\"model\":\"%s\",\"version\":\"%s\"}",
                    (unsigned long)order->fence, order->model, order->version);
  WlHttpParams params = {
    .method = "POST",
    .address = order->address,
    .port = order->port,
    .path = "/v1/orders",
    .type = "application/json",
    .body = { (const uint8_t *)body, (uint32_t)n },
    .fresh = 1,
    .timeout_ms = CONTROL_TIMEOUT_MS,
    .received = control_received,
    .done = control_done,
    .data = c,
  };
  wl_http_client_call (node->client, &params);
}
