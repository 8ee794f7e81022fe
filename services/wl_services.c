#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include <yaml.h>
#include "wl_services.h"
#include "wl_services_check.h"
#include "wl_yaml_depth.h"

enum
{
  MAX_SERVICES = 256,
  MAX_CUSTOMERS = 4096,
  DEFAULT_TIME_LIMIT_MS = 60000,
  DEFAULT_QUEUE_LIMIT = 512,
  DEFAULT_MAX_PROMPT_TOKENS = 1000000,
  DEFAULT_LOADS_PER_MINUTE = 60,
  PPM = 1000000,
};

typedef enum
{
  FIELD_NAME,
  FIELD_PATH,
  FIELD_U64,
  FIELD_U32,
  FIELD_BOOL,
  FIELD_SHARE,
  FIELD_DIGEST,
  FIELD_KIND,
  FIELD_LIST, /* handled by the caller */
} FieldType;

/* One known key of a mapping: where its value goes and its range. */
typedef struct
{
  const char *key;
  FieldType type;
  size_t offset;
  uint64_t min;
  uint64_t max;
  uint8_t required;
} Field;

typedef struct
{
  yaml_document_t *document;
  WlFindings *findings;
} Parser;

static const Field model_fields[] = {
  { "name", FIELD_NAME, offsetof (WlModel, name), 0, 0, 1 },
  { "version", FIELD_NAME, offsetof (WlModel, version), 0, 0, 1 },
};

static const Field call_fields[] = {
  { "path", FIELD_PATH, offsetof (WlCall, path), 0, 0, 1 },
  { "idempotent", FIELD_BOOL, offsetof (WlCall, idempotent), 0, 0, 1 },
};

static const Field service_fields[] = {
  { "name", FIELD_NAME, offsetof (WlService, name), 0, 0, 1 },
  { "kind", FIELD_KIND, offsetof (WlService, kind), 0, 0, 1 },
  { "cells", FIELD_U32, offsetof (WlService, cells), 1, 256, 0 },
  { "time_limit_ms", FIELD_U64, offsetof (WlService, time_limit_ms), 10, 3600000, 0 },
  { "queue_limit", FIELD_U32, offsetof (WlService, queue_limit), 1, 100000, 0 },
  { "max_prompt_tokens", FIELD_U64, offsetof (WlService, max_prompt_tokens), 1, 4000000, 0 },
  { "checks_fencing", FIELD_BOOL, offsetof (WlService, fenced), 0, 0, 0 },
  { "models", FIELD_LIST, 0, 0, 0, 0 },
  { "depends_on", FIELD_LIST, 0, 0, 0, 0 },
  { "calls", FIELD_LIST, 0, 0, 0, 0 },
};

static const Field customer_fields[] = {
  { "name", FIELD_NAME, offsetof (WlCustomer, name), 0, 0, 1 },
  { "key_digest", FIELD_DIGEST, offsetof (WlCustomer, key_digest), 0, 0, 1 },
  { "weight", FIELD_U32, offsetof (WlCustomer, weight), 1, 1000, 0 },
  { "max_running", FIELD_U32, offsetof (WlCustomer, max_running), 0, 100000, 0 },
  { "max_queued", FIELD_U32, offsetof (WlCustomer, max_queued), 0, 100000, 0 },
};

static const Field objective_fields[] = {
  { "up_to_tokens", FIELD_U64, offsetof (WlObjective, up_to_tokens), 1, 4000000, 1 },
  { "first_token_ms", FIELD_U64, offsetof (WlObjective, first_token_ms), 1, 3600000, 1 },
  { "share", FIELD_SHARE, offsetof (WlObjective, share_ppm), 0, 0, 1 },
};

static const Field policy_fields[] = {
  { "long_first_token_weight", FIELD_SHARE, offsetof (WlServices, long_weight_ppm), 0, 0, 0 },
  { "weight_loads_per_minute", FIELD_U32, offsetof (WlServices, weight_loads_per_minute), 1, 100000,
    0 },
};

static const Field top_fields[] = {
  { "services", FIELD_LIST, 0, 0, 0, 1 },
  { "customers", FIELD_LIST, 0, 0, 0, 1 },
  { "objectives", FIELD_LIST, 0, 0, 0, 0 },
  { "policy", FIELD_LIST, 0, 0, 0, 0 },
};

#define COUNT(array) (sizeof (array) / sizeof ((array)[0]))

static void
add_at (const Parser *p, const yaml_node_t *node, const char *code, const char *text,
        const char *value)
{
  wl_findings_add (p->findings, (uint32_t)node->start_mark.line + 1,
                   (uint32_t)node->start_mark.column + 1, code, text, value);
}

static const char *
scalar (const yaml_node_t *node)
{
  return node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value : NULL;
}

static int
name_is_valid (const char *s)
{
  size_t n = strlen (s);
  if (n == 0 || n >= WL_NAME_SIZE)
    return 0;
  return strspn (s, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == n;
}

static void
read_number (const Parser *p, const yaml_node_t *node, const Field *f, const char *s, void *out)
{
  char *end = NULL;
  uint64_t v = strtoull (s, &end, 10);
  if (*s < '0' || *s > '9' || *end != '\0')
    {
      add_at (p, node, "WL-TYPE", "expected a whole number, got '%s'", s);
      return;
    }
  if (v < f->min || v > f->max)
    {
      char range[96];
      snprintf (range, sizeof range, "%s: %.20s is outside %" PRIu64 " to %" PRIu64, f->key, s,
                f->min, f->max);
      add_at (p, node, "WL-RANGE", "%s", range);
      return;
    }
  if (f->type == FIELD_U64)
    *(uint64_t *)out = v;
  else
    *(uint32_t *)out = (uint32_t)v;
}

static void
read_share (const Parser *p, const yaml_node_t *node, const char *s, uint32_t *out)
{
  char *end = NULL;
  double v = strtod (s, &end);
  if (end == s || *end != '\0')
    add_at (p, node, "WL-TYPE", "expected a number from 0 to 1, got '%s'", s);
  else if (!(v >= 0 && v <= 1))
    add_at (p, node, "WL-RANGE", "expected a number from 0 to 1, got '%s'", s);
  else
    *out = (uint32_t)(v * PPM + 0.5);
}

static void
read_text (const Parser *p, const yaml_node_t *node, const Field *f, const char *s, char *out)
{
  if (f->type == FIELD_NAME && !name_is_valid (s))
    add_at (p, node, "WL-NAME", "'%s' is not a name (letters, digits, '-', '_', '.', 1 to 63)", s);
  else if (f->type == FIELD_PATH && (s[0] != '/' || strlen (s) >= WL_PATH_SIZE))
    add_at (p, node, "WL-PATH", "'%s' is not a path beginning with '/'", s);
  else
    strcpy (out, s);
}

static void
read_value (const Parser *p, const yaml_node_t *node, const Field *f, void *base)
{
  const char *s = scalar (node);
  char *out = (char *)base + f->offset;
  size_t n = 0;
  if (s == NULL)
    {
      add_at (p, node, "WL-TYPE", "%s must be a single value", f->key);
      return;
    }
  switch (f->type)
    {
    case FIELD_NAME:
    case FIELD_PATH:
      read_text (p, node, f, s, out);
      break;
    case FIELD_U64:
    case FIELD_U32:
      read_number (p, node, f, s, out);
      break;
    case FIELD_SHARE:
      read_share (p, node, s, (uint32_t *)(void *)out);
      break;
    case FIELD_BOOL:
      if (strcmp (s, "true") != 0 && strcmp (s, "false") != 0)
        add_at (p, node, "WL-TYPE", "expected true or false, got '%s'", s);
      *(uint8_t *)out = strcmp (s, "true") == 0;
      break;
    case FIELD_DIGEST:
      if (sodium_hex2bin ((unsigned char *)out, WL_KEY_DIGEST_SIZE, s, strlen (s), NULL, &n, NULL)
              != 0
          || n != WL_KEY_DIGEST_SIZE || strlen (s) != 2 * WL_KEY_DIGEST_SIZE)
        add_at (p, node, "WL-DIGEST", "'%s' is not 64 hexadecimal digits", s);
      break;
    case FIELD_KIND:
      if (strcmp (s, "model") != 0 && strcmp (s, "plain") != 0)
        add_at (p, node, "WL-TYPE", "kind must be model or plain, got '%s'", s);
      *(WlServiceKind *)(void *)out
          = strcmp (s, "plain") == 0 ? WL_SERVICE_PLAIN : WL_SERVICE_MODEL;
      break;
    case FIELD_LIST:
      break;
    }
}

static const Field *
find_field (const Field *fields, size_t n, const char *key)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (fields[i].key, key) == 0)
      return &fields[i];
  return NULL;
}

static void
report_unknown_field (const Parser *p, const yaml_node_t *node, const Field *fields, size_t n,
                      const char *key)
{
  const char *names[16];
  for (size_t i = 0; i < n; i++)
    names[i] = fields[i].key;
  const char *near = wl_nearest_name (key, names, n);
  char text[160];
  snprintf (text, sizeof text, "unknown field '%.60s'%s%s%s", key, near ? "; did you mean '" : "",
            near ? near : "", near ? "'?" : "");
  add_at (p, node, "WL-UNKNOWN-FIELD", "%s", text);
}

/* Reads the scalar fields of a mapping into base; lists[i] receives the node of a list field. */
static int
read_mapping (const Parser *p, const yaml_node_t *node, const Field *fields, size_t n, void *base,
              yaml_node_t **lists)
{
  uint32_t seen = 0;
  if (node->type != YAML_MAPPING_NODE)
    {
      add_at (p, node, "WL-TYPE", "expected %s", "a mapping of fields");
      return 0;
    }
  for (yaml_node_pair_t *pair = node->data.mapping.pairs.start; pair < node->data.mapping.pairs.top;
       pair++)
    {
      yaml_node_t *key = yaml_document_get_node (p->document, pair->key);
      yaml_node_t *value = yaml_document_get_node (p->document, pair->value);
      const char *k = scalar (key);
      const Field *f = k != NULL ? find_field (fields, n, k) : NULL;
      if (f == NULL)
        {
          report_unknown_field (p, key, fields, n, k != NULL ? k : "?");
          continue;
        }
      size_t i = (size_t)(f - fields);
      if (seen & (1U << i))
        add_at (p, key, "WL-DUPLICATE", "field '%s' is given twice", k);
      seen |= 1U << i;
      if (f->type == FIELD_LIST)
        lists[i] = value;
      else
        read_value (p, value, f, base);
    }
  for (size_t i = 0; i < n; i++)
    if (fields[i].required && !(seen & (1U << i)))
      add_at (p, node, "WL-MISSING", "field '%s' is missing", fields[i].key);
  return 1;
}

static size_t
sequence_length (const Parser *p, const yaml_node_t *node, size_t max)
{
  if (node == NULL)
    return 0;
  if (node->type != YAML_SEQUENCE_NODE)
    {
      add_at (p, node, "WL-TYPE", "expected %s", "a list");
      return 0;
    }
  size_t n = (size_t)(node->data.sequence.items.top - node->data.sequence.items.start);
  if (n > max)
    {
      add_at (p, node, "WL-RANGE", "%s", "the list is too long");
      return 0;
    }
  return n;
}

static yaml_node_t *
sequence_item (const Parser *p, const yaml_node_t *node, size_t i)
{
  return yaml_document_get_node (p->document, node->data.sequence.items.start[i]);
}

static void *
allocate (size_t n, size_t size)
{
  void *out = calloc (n > 0 ? n : 1, size);
  if (out == NULL)
    abort ();
  return out;
}

static void
read_models (const Parser *p, const yaml_node_t *list, WlService *s)
{
  s->n_models = sequence_length (p, list, 64);
  s->models = allocate (s->n_models, sizeof *s->models);
  for (size_t i = 0; i < s->n_models; i++)
    read_mapping (p, sequence_item (p, list, i), model_fields, COUNT (model_fields), &s->models[i],
                  NULL);
}

static void
read_calls (const Parser *p, const yaml_node_t *list, WlService *s)
{
  s->n_calls = sequence_length (p, list, 256);
  s->calls = allocate (s->n_calls, sizeof *s->calls);
  for (size_t i = 0; i < s->n_calls; i++)
    read_mapping (p, sequence_item (p, list, i), call_fields, COUNT (call_fields), &s->calls[i],
                  NULL);
}

static void
read_depends_on (const Parser *p, const yaml_node_t *list, WlService *s)
{
  static const Field field = { "depends_on", FIELD_NAME, 0, 0, 0, 0 };
  s->n_depends_on = sequence_length (p, list, 64);
  s->depends_on = allocate (s->n_depends_on, sizeof *s->depends_on);
  for (size_t i = 0; i < s->n_depends_on; i++)
    read_value (p, sequence_item (p, list, i), &field, s->depends_on[i]);
}

static void
read_service (const Parser *p, const yaml_node_t *node, WlService *s)
{
  yaml_node_t *lists[COUNT (service_fields)] = { NULL };
  s->line = (uint32_t)node->start_mark.line + 1;
  s->cells = 1;
  s->fenced = 1;
  s->time_limit_ms = DEFAULT_TIME_LIMIT_MS;
  s->queue_limit = DEFAULT_QUEUE_LIMIT;
  s->max_prompt_tokens = DEFAULT_MAX_PROMPT_TOKENS;
  read_mapping (p, node, service_fields, COUNT (service_fields), s, lists);
  read_models (p, lists[7], s);
  read_depends_on (p, lists[8], s);
  read_calls (p, lists[9], s);
  if (s->kind == WL_SERVICE_PLAIN && s->n_models > 0)
    add_at (p, node, "WL-MODELS", "plain service '%s' cannot list models", s->name);
  if (s->kind == WL_SERVICE_MODEL && s->n_models == 0)
    add_at (p, node, "WL-MODELS", "model service '%s' must list its models", s->name);
}

static void
read_lists (const Parser *p, yaml_node_t **lists, WlServices *out)
{
  out->n_services = sequence_length (p, lists[0], MAX_SERVICES);
  out->services = allocate (out->n_services, sizeof *out->services);
  for (size_t i = 0; i < out->n_services; i++)
    read_service (p, sequence_item (p, lists[0], i), &out->services[i]);

  out->n_customers = sequence_length (p, lists[1], MAX_CUSTOMERS);
  out->customers = allocate (out->n_customers, sizeof *out->customers);
  for (size_t i = 0; i < out->n_customers; i++)
    {
      const yaml_node_t *node = sequence_item (p, lists[1], i);
      out->customers[i].line = (uint32_t)node->start_mark.line + 1;
      out->customers[i].weight = 1;
      read_mapping (p, node, customer_fields, COUNT (customer_fields), &out->customers[i], NULL);
    }

  out->n_objectives = sequence_length (p, lists[2], 16);
  out->objectives = allocate (out->n_objectives, sizeof *out->objectives);
  for (size_t i = 0; i < out->n_objectives; i++)
    {
      const yaml_node_t *node = sequence_item (p, lists[2], i);
      WlObjective *o = &out->objectives[i];
      read_mapping (p, node, objective_fields, COUNT (objective_fields), o, NULL);
      if (i > 0 && o->up_to_tokens <= o[-1].up_to_tokens)
        add_at (p, node, "WL-ORDER", "%s", "objectives must be listed in ascending up_to_tokens");
    }
  if (lists[3] != NULL)
    read_mapping (p, lists[3], policy_fields, COUNT (policy_fields), out, NULL);
}

static void
read_document (const Parser *p, WlServices *out)
{
  yaml_node_t *lists[COUNT (top_fields)] = { NULL };
  yaml_node_t *root = yaml_document_get_root_node (p->document);
  if (root == NULL)
    {
      wl_findings_add (p->findings, 1, 1, "WL-EMPTY", "the text is empty");
      return;
    }
  if (read_mapping (p, root, top_fields, COUNT (top_fields), NULL, lists))
    read_lists (p, lists, out);
  if (p->findings->count == 0 || out->n_services > 0)
    wl_services_check (out, p->findings);
}

WlError
wl_services_parse (const char *text, size_t size, WlFindings *findings, WlServices **out)
{
  yaml_parser_t yaml;
  yaml_document_t document;
  size_t before = findings->count;
  WlServices *s = allocate (1, sizeof *s);
  *out = NULL;
  s->long_weight_ppm = PPM / 2;
  s->weight_loads_per_minute = DEFAULT_LOADS_PER_MINUTE;
  if (size > WL_SERVICES_TEXT_MAX || !yaml_parser_initialize (&yaml))
    {
      wl_findings_add (findings, 1, 1, "WL-SIZE", "the text is larger than %d bytes",
                       WL_SERVICES_TEXT_MAX);
      wl_services_destroy (s);
      return WL_ERROR_INVALID;
    }
  yaml_parser_set_input_string (&yaml, (const unsigned char *)text, size);
  if (!wl_yaml_is_flat (text, size, "WL-DEPTH", findings))
    ; /* reported */
  else if (yaml_parser_load (&yaml, &document))
    {
      Parser p = { &document, findings };
      read_document (&p, s);
      yaml_document_delete (&document);
    }
  else
    wl_findings_add (findings, (uint32_t)yaml.problem_mark.line + 1,
                     (uint32_t)yaml.problem_mark.column + 1, "WL-SYNTAX", "%s",
                     yaml.problem != NULL ? yaml.problem : "not YAML");
  yaml_parser_delete (&yaml);
  if (findings->count > before)
    {
      wl_services_destroy (s);
      return WL_ERROR_INVALID;
    }
  *out = s;
  return WL_OK;
}

void
wl_services_destroy (WlServices *services)
{
  if (services == NULL)
    return;
  for (size_t i = 0; i < services->n_services; i++)
    {
      free (services->services[i].models);
      free (services->services[i].depends_on);
      free (services->services[i].calls);
    }
  free (services->services);
  free (services->customers);
  free (services->objectives);
  free (services);
}

const WlService *
wl_services_find (const WlServices *services, const char *name)
{
  for (size_t i = 0; services != NULL && i < services->n_services; i++)
    if (strcmp (services->services[i].name, name) == 0)
      return &services->services[i];
  return NULL;
}

const WlCustomer *
wl_services_find_customer (const WlServices *services, const char *name)
{
  for (size_t i = 0; services != NULL && i < services->n_customers; i++)
    if (strcmp (services->customers[i].name, name) == 0)
      return &services->customers[i];
  return NULL;
}

const WlCustomer *
wl_services_authenticate (const WlServices *services, const char *key)
{
  uint8_t digest[WL_KEY_DIGEST_SIZE];
  const WlCustomer *found = NULL;
  crypto_generichash (digest, sizeof digest, (const unsigned char *)key, strlen (key), NULL, 0);
  for (size_t i = 0; services != NULL && i < services->n_customers; i++)
    if (sodium_memcmp (digest, services->customers[i].key_digest, sizeof digest) == 0)
      found = &services->customers[i];
  return found;
}

int
wl_service_call_is_idempotent (const WlService *service, const char *path)
{
  for (size_t i = 0; i < service->n_calls; i++)
    if (strcmp (service->calls[i].path, path) == 0)
      return service->calls[i].idempotent;
  return service->kind == WL_SERVICE_MODEL;
}
