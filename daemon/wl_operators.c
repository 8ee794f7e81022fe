#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_json.h"
#include "wl_operators.h"
#include "wl_views.h"

enum
{
  RETRY_US = 500000, /* an unanswered question is asked again */
  GIVE_UP_US = 10000000,
};

static int
is_operator (const WlNode *node, const WlExchange *x)
{
  const char *key = wl_exchange_bearer (x);
  const char *expected = node->options.operator_key;
  return strlen (key) == strlen (expected) && sodium_memcmp (key, expected, strlen (key)) == 0;
}

static const WlCustomer *
customer_of (const WlNode *node, const WlExchange *x)
{
  return wl_services_authenticate (node->core->session.services, wl_exchange_bearer (x));
}

static WlWaitingOperator *
add_waiting (WlNode *node, WlExchange *x)
{
  WlWaitingOperator *w = calloc (1, sizeof *w);
  if (w == NULL)
    abort ();
  w->id = ++node->next_operator << 16 | (node->options.settings.incarnation & 0xffff);
  w->exchange = x;
  w->started_us = wl_clock_now_us ();
  w->next = node->operators;
  node->operators = w;
  wl_exchange_set_data (x, w->id);
  return w;
}

static void
ask (WlNode *node, WlWaitingOperator *w)
{
  WlEvent event = { .kind = w->is_submit     ? WL_EVENT_SUBMIT
                            : w->is_evacuate ? WL_EVENT_EVACUATE
                                             : WL_EVENT_QUERY };
  w->retry_us = wl_clock_now_us () + RETRY_US;
  if (w->is_submit)
    event.u.submit = w->submit;
  else if (w->is_evacuate)
    event.u.evacuate = w->evacuate;
  else
    event.u.query = w->query;
  wl_node_event (node, &event);
}

static WlWaitingOperator *
take_waiting (WlNode *node, uint64_t id)
{
  for (WlWaitingOperator **slot = &node->operators; *slot != NULL; slot = &(*slot)->next)
    if ((*slot)->id == id)
      {
        WlWaitingOperator *w = *slot;
        *slot = w->next;
        return w;
      }
  return NULL;
}

static void
free_waiting (WlWaitingOperator *w)
{
  free (w->text);
  free (w);
}

/* ---- submissions ---- */

static json_t *
view_findings (const WlFindings *findings)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < findings->count; i++)
    {
      const WlFinding *f = &findings->items[i];
      json_array_append_new (list, json_pack ("{s:i,s:i,s:s,s:s}", "line", (int)f->line, "column",
                                              (int)f->column, "code", f->code, "text", f->text));
    }
  return list;
}

static void
handle_submit (WlNode *node, WlExchange *x)
{
  WlFindings findings = { 0 };
  WlServices *services = NULL;
  WlBytes body = wl_exchange_body (x);
  const char *replaces = wl_exchange_query (x, "replaces");
  if (replaces[0] < '0' || replaces[0] > '9')
    {
      wl_json_problem (x, 400, "bad request", "the query parameter replaces=N is required");
      return;
    }
  wl_services_parse ((const char *)body.data, body.size, &findings, &services);
  wl_services_destroy (services);
  if (findings.count > 0)
    wl_json_reply (
        x, 422,
        json_pack ("{s:s,s:o}", "outcome", "invalid", "findings", view_findings (&findings)));
  else
    {
      WlWaitingOperator *w = add_waiting (node, x);
      w->is_submit = 1;
      w->text = malloc (body.size + 1);
      if (w->text == NULL)
        abort ();
      memcpy (w->text, body.data, body.size);
      w->submit.id = w->id;
      w->submit.replaces = strtoull (replaces, NULL, 10);
      w->submit.config = (WlBytes){ w->text, body.size };
      ask (node, w);
    }
  wl_findings_clear (&findings);
}

void
wl_operators_submit_done (WlNode *node, const WlSubmitReply *reply)
{
  static const char *const names[]
      = { "?", "accepted", "conflict", "invalid", "unavailable", "forgotten" };
  if (reply->outcome == WL_SUBMIT_UNAVAILABLE || reply->outcome > WL_SUBMIT_TOO_OLD)
    return;
  WlWaitingOperator *w = take_waiting (node, reply->id);
  if (w == NULL)
    return;
  if (w->exchange != NULL && w->is_evacuate)
    wl_json_reply (w->exchange, reply->outcome == WL_SUBMIT_ACCEPTED ? 200 : 409,
                   json_pack ("{s:s}", "outcome", names[reply->outcome]));
  else if (w->exchange != NULL)
    wl_json_reply (w->exchange, reply->outcome == WL_SUBMIT_ACCEPTED ? 200 : 409,
                   json_pack ("{s:s,s:I,s:o,s:I}", "outcome", names[reply->outcome], "number",
                              (json_int_t)reply->number, "digest", wl_json_digest (reply->digest),
                              "current", (json_int_t)reply->current));
  free_waiting (w);
}

/* ---- evacuations ---- */

static int
is_domain (const char *name)
{
  size_t n = strlen (name);
  for (const char *c = name; *c != '\0'; c++)
    if ((unsigned char)*c < ' ' || *c == 0x7f)
      return 0;
  return n > 0 && n < WL_LABEL_SIZE;
}

static void
handle_evacuate (WlNode *node, WlExchange *x)
{
  const char *domain = wl_exchange_query (x, "domain");
  const char *sequence = wl_exchange_query (x, "sequence");
  if (!is_domain (domain) || sequence[0] < '0' || sequence[0] > '9')
    {
      wl_json_problem (x, 400, "bad request",
                       "the query parameters domain=NAME and sequence=N are required");
      return;
    }
  WlWaitingOperator *w = add_waiting (node, x);
  w->is_evacuate = 1;
  w->evacuate.id = w->id;
  snprintf (w->evacuate.domain, sizeof w->evacuate.domain, "%s", domain);
  w->evacuate.sequence = strtoull (sequence, NULL, 10);
  w->evacuate.is_finish = strcmp (wl_exchange_query (x, "finish"), "1") == 0;
  ask (node, w);
}

/* ---- queries ---- */

static void
handle_query (WlNode *node, WlExchange *x, int wants_text)
{
  const char *text = wl_exchange_query (x, "number");
  WlWaitingOperator *w = add_waiting (node, x);
  w->wants_text = (uint8_t)wants_text;
  w->query.id = w->id;
  w->query.number = strtoull (text, NULL, 10);
  if (wants_text && w->query.number == 0)
    w->query.number = node->core->session.config_number;
  ask (node, w);
}

static void
reply_text (WlExchange *x, const WlQueryReply *reply, uint64_t number)
{
  char value[24];
  if (!reply->has_config)
    {
      wl_json_problem (x, 404, "not found", "the text of that number is not kept");
      return;
    }
  snprintf (value, sizeof value, "%lu", (unsigned long)number);
  wl_exchange_add_header (x, "Wisterialoft-Config-Number", value);
  wl_exchange_reply (x, 200, "application/yaml", reply->config);
}

void
wl_operators_query_done (WlNode *node, const WlQueryReply *reply)
{
  WlWaitingOperator *w = take_waiting (node, reply->id);
  if (w == NULL)
    return;
  if (w->exchange != NULL && w->wants_text)
    reply_text (w->exchange, reply, w->query.number);
  else if (w->exchange != NULL)
    {
      json_t *out = json_object ();
      json_object_set_new (out, "group", wl_views_query (reply));
      json_object_set_new (out, "node", wl_views_status (node));
      wl_json_reply (w->exchange, 200, out);
    }
  free_waiting (w);
}

void
wl_operators_tick (WlNode *node, uint64_t now_us)
{
  for (WlWaitingOperator *w = node->operators, *next; w != NULL; w = next)
    {
      next = w->next;
      if (now_us >= w->started_us + GIVE_UP_US)
        {
          take_waiting (node, w->id);
          if (w->exchange != NULL)
            wl_json_reply (w->exchange, 503,
                           json_pack ("{s:s,s:s}", "outcome", "unavailable", "title",
                                      "no answer from the control group"));
          free_waiting (w);
        }
      else if (now_us >= w->retry_us)
        ask (node, w);
    }
}

void
wl_operators_gone (WlNode *node, const WlExchange *exchange)
{
  for (WlWaitingOperator *w = node->operators, *next; w != NULL; w = next)
    {
      next = w->next;
      if (w->exchange != exchange)
        continue;
      w->exchange = NULL;
      /* An evacuation must not be repeated after its operator has gone to another node. */
      if (w->is_evacuate)
        free_waiting (take_waiting (node, w->id));
    }
}

void
wl_operators_drop (WlNode *node)
{
  while (node->operators != NULL)
    {
      WlWaitingOperator *w = node->operators;
      node->operators = w->next;
      free_waiting (w);
    }
}

/* ---- reports ---- */

static void
handle_request_trace (WlNode *node, WlExchange *x, const char *id)
{
  wl_json_reply (
      x, 200, json_pack ("{s:o}", "decisions", wl_views_request (node, strtoull (id, NULL, 16))));
}

static void
handle_burn (WlNode *node, WlExchange *x)
{
  const WlCustomer *c = customer_of (node, x);
  if (c == NULL && !is_operator (node, x))
    wl_json_problem (x, 401, "unauthorized", "an operator's or customer's key is required");
  else
    wl_json_reply (x, 200, wl_views_burn (node, c != NULL ? c->name : NULL));
}

static void
handle_receipts (WlNode *node, WlExchange *x)
{
  const WlCustomer *c = customer_of (node, x);
  if (c == NULL)
    wl_json_problem (x, 401, "unauthorized", "a customer's key is required");
  else
    wl_json_reply (
        x, 200,
        wl_views_receipts (node, c->name, strtoull (wl_exchange_query (x, "after"), NULL, 10)));
}

static void
handle_roots (WlNode *node, WlExchange *x)
{
  if (customer_of (node, x) == NULL && !is_operator (node, x))
    wl_json_problem (x, 401, "unauthorized", "an operator's or customer's key is required");
  else
    handle_query (node, x, 0);
}

static void
handle_metrics (WlNode *node, WlExchange *x)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  const char *text = wl_views_metrics (node, pool);
  wl_exchange_reply (x, 200, "text/plain; version=0.0.4",
                     (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
  apr_pool_destroy (pool);
}

static void
handle_health (WlNode *node, WlExchange *x, int wants_ready)
{
  int ready = wl_core_has_lease (node->core, wl_clock_now_us ()) && !node->core->session.draining;
  int ok = !wants_ready || ready;
  wl_json_reply (x, ok ? 200 : 503, json_pack ("{s:s}", "status", ok ? "ok" : "not ready"));
}

static int
handle_public (WlNode *node, WlExchange *x, const char *path)
{
  if (strcmp (path, "/metrics") == 0)
    handle_metrics (node, x);
  else if (strcmp (path, "/healthz") == 0)
    handle_health (node, x, 0);
  else if (strcmp (path, "/readyz") == 0)
    handle_health (node, x, 1);
  else if (strcmp (path, "/v1/report/burn") == 0)
    handle_burn (node, x);
  else if (strcmp (path, "/v1/receipts") == 0)
    handle_receipts (node, x);
  else if (strcmp (path, "/v1/roots") == 0)
    handle_roots (node, x);
  else
    return 0;
  return 1;
}

int
wl_operators_handle (WlNode *node, WlExchange *exchange)
{
  const char *path = wl_exchange_path (exchange);
  const char *method = wl_exchange_method (exchange);
  int is_get = strcmp (method, "GET") == 0;
  if (is_get && handle_public (node, exchange, path))
    return 1;
  int is_config = strcmp (path, "/v1/config") == 0;
  int is_status = strcmp (path, "/v1/status") == 0 && is_get;
  int is_trace = strncmp (path, "/v1/requests/", 13) == 0 && is_get;
  int is_evacuate = strcmp (path, "/v1/evacuations") == 0 && strcmp (method, "POST") == 0;
  if (!is_config && !is_status && !is_trace && !is_evacuate)
    return 0;
  if (!is_operator (node, exchange))
    wl_json_problem (exchange, 401, "unauthorized", "an operator's key is required");
  else if (is_trace)
    handle_request_trace (node, exchange, path + 13);
  else if (is_evacuate)
    handle_evacuate (node, exchange);
  else if (is_status)
    handle_query (node, exchange, 0);
  else if (is_get)
    handle_query (node, exchange, 1);
  else
    handle_submit (node, exchange);
  return 1;
}
