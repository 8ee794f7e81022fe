#include <stdio.h>
#include <string.h>
#include <argtable2.h>
#include "wl_cli.h"

static json_int_t
number (const json_t *o, const char *key)
{
  return json_integer_value (json_object_get (o, key));
}

static const char *
text (const json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));
  return s != NULL ? s : "-";
}

static void
print_group (const json_t *g)
{
  size_t i;
  const json_t *e;
  printf ("control: leader %" JSON_INTEGER_FORMAT "  term %" JSON_INTEGER_FORMAT
          "  configuration %" JSON_INTEGER_FORMAT "  in force %" JSON_INTEGER_FORMAT
          "  claims %" JSON_INTEGER_FORMAT "\n",
          number (g, "leader"), number (g, "term"), number (g, "config_number"),
          number (g, "in_force"), number (g, "claims"));
  json_array_foreach (json_object_get (g, "evacuations"), i, e)
  {
    if (json_is_true (json_object_get (e, "active")))
      printf ("evacuated: %s\n", text (e, "domain"));
  }
  printf ("%-8s %10s %6s %10s %s\n", "ENTRY", "VERSION", "LAG", "HEARD", "LEASE");
  json_array_foreach (json_object_get (g, "entries"), i, e)
      printf ("%-8" JSON_INTEGER_FORMAT " %10" JSON_INTEGER_FORMAT " %6" JSON_INTEGER_FORMAT
              " %7" JSON_INTEGER_FORMAT " ms %s\n",
              number (e, "node"), number (e, "config_number"), number (e, "lag"),
              number (e, "heard_ago_ms"),
              json_is_true (json_object_get (e, "lease_valid")) ? "valid" : "expired");
}

static void
print_cells (const json_t *n)
{
  size_t i;
  size_t k;
  const json_t *c;
  const json_t *e;
  json_array_foreach (json_object_get (n, "owners"), i, c)
      printf ("cell %s/%" JSON_INTEGER_FORMAT ": owner %" JSON_INTEGER_FORMAT
              ", fence %" JSON_INTEGER_FORMAT "\n",
              text (c, "service"), number (c, "shard"), number (c, "owner"), number (c, "fence"));
  json_array_foreach (json_object_get (n, "cells"), i, c)
  {
    printf ("\n%s/%" JSON_INTEGER_FORMAT " here: queued %" JSON_INTEGER_FORMAT
            ", grants %" JSON_INTEGER_FORMAT ", refused %" JSON_INTEGER_FORMAT "\n",
            text (c, "service"), number (c, "shard"), number (c, "queued"), number (c, "grants"),
            number (c, "refused"));
    printf ("%-28s %-10s %-9s %6s %18s\n", "ENDPOINT", "DOMAIN", "STATE", "SLOTS", "KV RESERVED");
    json_array_foreach (json_object_get (c, "endpoints"), k, e)
        printf ("%-28s %-10s %-9s %2" JSON_INTEGER_FORMAT "/%-3" JSON_INTEGER_FORMAT
                " %8" JSON_INTEGER_FORMAT "/%" JSON_INTEGER_FORMAT "\n",
                text (e, "name"), text (e, "domain"), text (e, "state"), number (e, "slots_used"),
                number (e, "slots"), number (e, "kv_reserved"), number (e, "kv_capacity"));
  }
}

/* The decisions on one request are at the entry that admitted it: all are asked. */
static int
show_request (const WlCli *cli, const char *id)
{
  json_t *entries = wl_cli_entries (cli);
  json_t *all = json_array ();
  char path[64];
  size_t i;
  size_t k;
  const json_t *e;
  const json_t *d;
  snprintf (path, sizeof path, "/v1/requests/%.32s", id);
  WlCliCall call = { .method = "GET", .path = path };
  json_array_foreach (entries, i, e)
  {
    char server[96];
    WlAnswer a = { 0 };
    snprintf (server, sizeof server, "%s:%" JSON_INTEGER_FORMAT "", text (e, "address"),
              number (e, "port"));
    wl_cli_call_at (cli, server, &call, &a);
    json_array_foreach (json_object_get (a.json, "decisions"), k, d)
        json_array_append (all, (json_t *)(uintptr_t)d);
    wl_answer_clear (&a);
  }
  if (cli->is_json)
    wl_cli_print_json (all);
  else
    json_array_foreach (all, k, d) printf (
        "%" JSON_INTEGER_FORMAT "  %-14s %" JSON_INTEGER_FORMAT " %" JSON_INTEGER_FORMAT "\n",
        number (d, "wall_us"), text (d, "decision"), number (d, "a"), number (d, "b"));
  int found = json_array_size (all) > 0;
  json_decref (all);
  json_decref (entries);
  if (!found)
    fprintf (stderr, "wisterialoft: no entry remembers request %s\n", id);
  return found ? WL_EXIT_OK : WL_EXIT_NEGATIVE;
}

int
wl_cmd_status (const WlCli *cli, int argc, char **argv)
{
  struct arg_str *request = arg_str0 (NULL, "request", "ID", "decisions taken on a request");
  struct arg_end *end = arg_end (5);
  void *table[] = { request, end };
  WlCliCall call = { .method = "GET", .path = "/v1/status" };
  WlAnswer a = { 0 };
  int status = WL_EXIT_USAGE;
  if (arg_parse (argc, argv, table) > 0)
    arg_print_errors (stderr, end, "wisterialoft status");
  else if (request->count > 0)
    status = show_request (cli, request->sval[0]);
  else
    {
      wl_cli_call (cli, &call, &a);
      status = a.status == 200 ? WL_EXIT_OK : wl_cli_fail (&a);
      if (status == WL_EXIT_OK && cli->is_json)
        wl_cli_print_json (a.json);
      else if (status == WL_EXIT_OK)
        {
          print_group (json_object_get (a.json, "group"));
          print_cells (json_object_get (a.json, "node"));
        }
    }
  wl_answer_clear (&a);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

int
wl_cmd_entries (const WlCli *cli, int argc, char **argv)
{
  WlCliCall call = { .method = "GET", .path = "/v1/entries" };
  WlAnswer a = { 0 };
  size_t i;
  const json_t *e;
  (void)argv;
  if (argc != 1)
    {
      fprintf (stderr, "usage: wisterialoft entries\n");
      return WL_EXIT_USAGE;
    }
  wl_cli_call (cli, &call, &a);
  int status = a.status == 200 ? WL_EXIT_OK : wl_cli_fail (&a);
  if (status == WL_EXIT_OK && cli->is_json)
    wl_cli_print_json (a.json);
  else if (status == WL_EXIT_OK)
    json_array_foreach (json_object_get (a.json, "entries"), i, e)
        printf ("%s:%" JSON_INTEGER_FORMAT " %s\n", text (e, "address"), number (e, "port"),
                text (e, "domain"));
  wl_answer_clear (&a);
  return status;
}
