#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "wl_json.h"

const char *
wl_json_text (const json_t *object, const char *key)
{
  const char *s = json_string_value (json_object_get (object, key));
  return s != NULL ? s : "";
}

uint64_t
wl_json_u64 (const json_t *object, const char *key, uint64_t fallback)
{
  const json_t *v = json_object_get (object, key);
  if (!json_is_integer (v) || json_integer_value (v) < 0)
    return fallback;
  return (uint64_t)json_integer_value (v);
}

json_t *
wl_json_hex (uint64_t id)
{
  return json_sprintf ("%016lx", (unsigned long)id);
}

json_t *
wl_json_digest (const uint8_t *digest)
{
  char hex[65];
  sodium_bin2hex (hex, sizeof hex, digest, 32);
  return json_string (hex);
}

static void
reply (WlExchange *exchange, uint32_t status, const char *type, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  WlBytes body = { (const uint8_t *)(text != NULL ? text : "{}"),
                   (uint32_t)(text != NULL ? strlen (text) : 2) };
  wl_exchange_reply (exchange, status, type, body);
  free (text);
  json_decref (value);
}

void
wl_json_reply (WlExchange *exchange, uint32_t status, json_t *value)
{
  reply (exchange, status, "application/json", value);
}

void
wl_json_problem (WlExchange *exchange, uint32_t status, const char *title, const char *detail)
{
  reply (exchange, status, "application/problem+json",
         json_pack ("{s:s,s:i,s:s,s:s}", "title", title, "status", (int)status, "detail", detail,
                    "run", "not_run"));
}
