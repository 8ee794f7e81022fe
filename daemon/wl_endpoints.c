#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "wl_endpoints.h"
#include "wl_json.h"
#include "wl_table.h"

enum
{
  ANNOUNCE_INTERVAL_MS = 1000,
  LIST_MAX = 4096,
};

static uint64_t
hex_number (const json_t *object, const char *key)
{
  return strtoull (wl_json_text (object, key), NULL, 16);
}

static int
copy_text (char *out, size_t size, const char *text)
{
  if (text[0] == '\0' || strlen (text) >= size)
    return 0;
  strcpy (out, text);
  return 1;
}

static size_t
list_size (const json_t *list)
{
  size_t n = json_array_size (list);
  return n < LIST_MAX ? n : LIST_MAX;
}

static void
read_running (const json_t *list, WlEndpointReport *out, apr_pool_t *pool)
{
  size_t n = list_size (list);
  out->running = apr_pcalloc (pool, (n + 1) * sizeof *out->running);
  for (size_t i = 0; i < n; i++)
    {
      const json_t *item = json_array_get (list, i);
      out->running[i].request = hex_number (item, "request");
      out->running[i].attempt = (uint32_t)wl_json_u64 (item, "attempt", 0);
    }
  out->n_running = (uint32_t)n;
}

static void
read_loaded (const json_t *list, WlEndpointReport *out, apr_pool_t *pool)
{
  size_t n = list_size (list);
  out->loaded = apr_pcalloc (pool, (n + 1) * sizeof *out->loaded);
  for (size_t i = 0; i < n; i++)
    {
      const json_t *item = json_array_get (list, i);
      WlLoadedModel *l = &out->loaded[out->n_loaded];
      if (copy_text (l->name, sizeof l->name, wl_json_text (item, "name"))
          && copy_text (l->version, sizeof l->version, wl_json_text (item, "version")))
        out->n_loaded++;
    }
}

static uint32_t
read_marks (const json_t *list, WlPrefixHash **out, apr_pool_t *pool)
{
  size_t n = list_size (list);
  *out = apr_pcalloc (pool, (n + 1) * sizeof **out);
  for (size_t i = 0; i < n; i++)
    {
      const json_t *item = json_array_get (list, i);
      (*out)[i].hash = hex_number (item, "hash");
      (*out)[i].tokens = (uint32_t)wl_json_u64 (item, "tokens", 0);
    }
  return (uint32_t)n;
}

static int
read_report (const json_t *root, WlEndpointReport *out, apr_pool_t *pool)
{
  memset (out, 0, sizeof *out);
  if (!copy_text (out->name, sizeof out->name, wl_json_text (root, "name")))
    return 0;
  if (!copy_text (out->service, sizeof out->service, wl_json_text (root, "service")))
    return 0;
  if (!copy_text (out->address, sizeof out->address, wl_json_text (root, "address")))
    return 0;
  if (!copy_text (out->domain, sizeof out->domain, wl_json_text (root, "domain")))
    return 0;
  out->port = (uint32_t)wl_json_u64 (root, "port", 0);
  if (out->port == 0 || out->port > 65535 || !wl_options_is_ip (out->address))
    return 0;
  out->endpoint = wl_hash_bytes (out->name, strlen (out->name), 0);
  out->incarnation = hex_number (root, "incarnation");
  out->sequence = wl_json_u64 (root, "sequence", 0);
  out->kv_capacity = wl_json_u64 (root, "kv_capacity", 0);
  out->kv_used = wl_json_u64 (root, "kv_used", 0);
  out->slots = (uint32_t)wl_json_u64 (root, "slots", 0);
  out->leaving = json_is_true (json_object_get (root, "leaving"));
  read_running (json_object_get (root, "running"), out, pool);
  read_loaded (json_object_get (root, "loaded"), out, pool);
  out->n_cached = read_marks (json_object_get (root, "cached"), &out->cached, pool);
  out->n_evicted = read_marks (json_object_get (root, "evicted"), &out->evicted, pool);
  return out->sequence > 0;
}

static json_t *
list_entries (const WlNode *node)
{
  const WlSession *s = &node->core->session;
  json_t *list = json_array ();
  for (uint32_t i = 0; i < s->n_members; i++)
    if (!s->members[i].draining)
      json_array_append_new (list, json_pack ("{s:s,s:i}", "address", s->members[i].address, "port",
                                              (int)s->members[i].http_port));
  return list;
}

static void
handle_announcement (WlNode *node, WlExchange *x)
{
  WlBytes body = wl_exchange_body (x);
  WlEvent event = { .kind = WL_EVENT_ENDPOINT_REPORT };
  apr_pool_t *pool;
  json_t *root = json_loadb ((const char *)body.data, body.size, 0, NULL);
  apr_pool_create (&pool, NULL);
  if (read_report (root, &event.u.report, pool))
    {
      wl_node_event (node, &event);
      wl_json_reply (x, 200,
                     json_pack ("{s:i,s:o}", "interval_ms", ANNOUNCE_INTERVAL_MS, "entries",
                                list_entries (node)));
    }
  else
    wl_json_problem (x, 400, "bad announcement",
                     "name, service, address, port, domain and sequence are required");
  json_decref (root);
  apr_pool_destroy (pool);
}

int
wl_endpoints_handle (WlNode *node, WlExchange *exchange)
{
  const char *key = wl_exchange_bearer (exchange);
  const char *expected = node->options.endpoint_key;
  if (strcmp (wl_exchange_path (exchange), "/v1/endpoints") != 0)
    return 0;
  if (strcmp (wl_exchange_method (exchange), "POST") != 0)
    return 0;
  if (strlen (key) != strlen (expected) || sodium_memcmp (key, expected, strlen (expected)) != 0)
    wl_json_problem (exchange, 401, "unauthorized", "the endpoint key is wrong");
  else
    handle_announcement (node, exchange);
  return 1;
}
