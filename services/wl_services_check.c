#include <stdio.h>
#include <string.h>
#include "wl_services_check.h"

enum
{
  MAX_EDITS = 3,
  MAX_WORD = 64,
};

/* Levenshtein distance with one row of state. */
static size_t
edit_distance (const char *a, const char *b)
{
  size_t n = strlen (b);
  size_t row[MAX_WORD + 1];
  if (strlen (a) > MAX_WORD || n > MAX_WORD)
    return MAX_EDITS + 1;
  for (size_t j = 0; j <= n; j++)
    row[j] = j;
  for (size_t i = 1; a[i - 1] != '\0'; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= n; j++)
        {
          size_t substituted = diagonal + (a[i - 1] != b[j - 1]);
          size_t best = row[j] < row[j - 1] ? row[j] + 1 : row[j - 1] + 1;
          diagonal = row[j];
          row[j] = substituted < best ? substituted : best;
        }
    }
  return row[n];
}

const char *
wl_nearest_name (const char *name, const char *const *candidates, size_t n)
{
  const char *best = NULL;
  size_t best_distance = MAX_EDITS + 1;
  for (size_t i = 0; i < n; i++)
    {
      size_t d = edit_distance (name, candidates[i]);
      if (d < best_distance)
        {
          best_distance = d;
          best = candidates[i];
        }
    }
  return best;
}

static void
check_duplicates (const WlServices *s, WlFindings *findings)
{
  for (size_t i = 0; i < s->n_services; i++)
    for (size_t j = 0; j < i; j++)
      if (strcmp (s->services[i].name, s->services[j].name) == 0)
        wl_findings_add (findings, s->services[i].line, 1, "WL-DUPLICATE",
                         "service '%s' is already defined on line %u", s->services[i].name,
                         s->services[j].line);
  for (size_t i = 0; i < s->n_customers; i++)
    for (size_t j = 0; j < i; j++)
      {
        const WlCustomer *a = &s->customers[i];
        const WlCustomer *b = &s->customers[j];
        if (strcmp (a->name, b->name) == 0)
          wl_findings_add (findings, a->line, 1, "WL-DUPLICATE",
                           "customer '%s' is already defined on line %u", a->name, b->line);
        else if (memcmp (a->key_digest, b->key_digest, WL_KEY_DIGEST_SIZE) == 0)
          wl_findings_add (findings, a->line, 1, "WL-DUPLICATE-KEY",
                           "customer '%s' has the same key as '%s'", a->name, b->name);
      }
}

static void
check_dependencies (const WlServices *s, WlFindings *findings)
{
  const char *names[256];
  size_t n = 0;
  for (size_t i = 0; i < s->n_services && n < 256; i++)
    names[n++] = s->services[i].name;
  for (size_t i = 0; i < s->n_services; i++)
    {
      const WlService *service = &s->services[i];
      for (size_t j = 0; j < service->n_depends_on; j++)
        {
          const char *name = service->depends_on[j];
          if (wl_services_find (s, name) != NULL)
            continue;
          const char *near = wl_nearest_name (name, names, n);
          wl_findings_add (findings, service->line, 1, "WL-UNKNOWN-DEPENDENCY",
                           "service '%s' depends on unknown service '%s'%s%s%s", service->name,
                           name, near ? "; did you mean '" : "", near ? near : "",
                           near ? "'?" : "");
        }
    }
}

typedef struct
{
  const WlServices *services;
  WlFindings *findings;
  uint8_t state[256]; /* 0 unvisited, 1 on the path, 2 done */
  size_t path[256];
  size_t depth;
} CycleSearch;

static void
report_cycle (CycleSearch *c, size_t start)
{
  char text[200] = "";
  size_t used = 0;
  size_t from = 0;
  while (c->path[from] != start)
    from++;
  for (size_t i = from; i < c->depth && used < sizeof text - WL_NAME_SIZE; i++)
    used += (size_t)snprintf (text + used, sizeof text - used, "%s -> ",
                              c->services->services[c->path[i]].name);
  const WlService *s = &c->services->services[start];
  wl_findings_add (c->findings, s->line, 1, "WL-CYCLE", "dependency cycle: %s%s", text, s->name);
}

static void
visit (CycleSearch *c, size_t i)
{
  const WlService *s = &c->services->services[i];
  c->state[i] = 1;
  c->path[c->depth++] = i;
  for (size_t j = 0; j < s->n_depends_on; j++)
    {
      const WlService *d = wl_services_find (c->services, s->depends_on[j]);
      if (d == NULL)
        continue;
      size_t k = (size_t)(d - c->services->services);
      if (c->state[k] == 1)
        report_cycle (c, k);
      else if (c->state[k] == 0)
        visit (c, k);
    }
  c->depth--;
  c->state[i] = 2;
}

static void
check_cycles (const WlServices *s, WlFindings *findings)
{
  CycleSearch c = { .services = s, .findings = findings };
  for (size_t i = 0; i < s->n_services; i++)
    if (c.state[i] == 0)
      visit (&c, i);
}

void
wl_services_check (const WlServices *services, WlFindings *findings)
{
  check_duplicates (services, findings);
  check_dependencies (services, findings);
  check_cycles (services, findings);
}
