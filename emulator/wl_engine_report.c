#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_engine_internal.h"

/* Announcements: load that lags by one interval, cache events with gaps. */

static json_t *
list_news (EngineNews *news)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < news->n; i++)
    json_array_append_new (list,
                           json_pack ("{s:o,s:i}", "hash",
                                      json_sprintf ("%016lx", (unsigned long)news->marks[i].hash),
                                      "tokens", (int)news->marks[i].tokens));
  news->n = 0;
  return list;
}

static json_t *
make_report (Engine *e)
{
  json_t *running = json_array ();
  json_t *loaded = json_array ();
  for (const Sequence *s = e->sequences; s != NULL; s = s->next)
    json_array_append_new (running, json_pack ("{s:o,s:i}", "request",
                                               json_sprintf ("%016lx", (unsigned long)s->request),
                                               "attempt", (int)s->attempt));
  for (uint32_t i = 0; i < e->n_loaded; i++)
    json_array_append_new (loaded, json_pack ("{s:s,s:s}", "name", e->loaded[i].name, "version",
                                              e->loaded[i].version));
  return json_pack ("{s:s,s:s,s:s,s:i,s:s,s:o,s:I,s:I,s:i,s:o,s:o,s:o,s:o}", "name", e->name,
                    "service", e->options->service, "address", e->address, "port", (int)e->port,
                    "domain", e->domain, "incarnation",
                    json_sprintf ("%016lx", (unsigned long)e->incarnation), "kv_capacity",
                    (json_int_t)e->options->kv_capacity, "kv_used", (json_int_t)engine_kv_used (e),
                    "slots", (int)e->options->slots, "running", running, "loaded", loaded, "cached",
                    list_news (&e->cache.cached), "evicted", list_news (&e->cache.evicted));
}

void
engine_send_report (Engine *e)
{
  char header[256];
  json_t *now = make_report (e);
  json_t *report = e->lagged != NULL ? e->lagged : json_incref (now);
  e->lagged = now;
  json_object_set_new (report, "sequence", json_integer ((json_int_t)++e->sequence));
  json_object_set_new (report, "leaving", json_boolean (e->is_leaving));
  char *text = json_dumps (report, JSON_COMPACT);
  json_decref (report);
  const EntryAddress *entry = &e->entries[e->next_entry++ % e->n_entries];
  snprintf (header, sizeof header, "Authorization: Bearer %s", e->options->endpoint_key);
  WlHttpParams params = {
    .method = "POST",
    .address = entry->address,
    .port = entry->port,
    .path = "/v1/endpoints",
    .type = "application/json",
    .body = { (const uint8_t *)text, (uint32_t)strlen (text) },
    .header = header,
    .timeout_ms = 1000,
  };
  wl_http_client_call (e->client, &params);
  free (text);
}
