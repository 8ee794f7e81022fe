#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <argtable2.h>
#include "wl_cli.h"
#include "wl_services.h"

enum
{
  POLL_MS = 100,
  WAIT_MS = 30000,
};

static int
print_findings (const WlCli *cli, const char *path, const WlFindings *findings)
{
  json_t *list = json_array ();
  for (size_t i = 0; i < findings->count; i++)
    {
      const WlFinding *f = &findings->items[i];
      if (!cli->is_json)
        printf ("%s:%u:%u: error %s: %s\n", path, f->line, f->column, f->code, f->text);
      json_array_append_new (list, json_pack ("{s:s,s:i,s:i,s:s,s:s}", "file", path, "line",
                                              (int)f->line, "column", (int)f->column, "code",
                                              f->code, "text", f->text));
    }
  if (cli->is_json)
    wl_cli_print_json (list);
  json_decref (list);
  return findings->count > 0 ? WL_EXIT_NEGATIVE : WL_EXIT_OK;
}

static int
check_file (const WlCli *cli, const char *path, char **text, size_t *size)
{
  WlFindings findings = { 0 };
  WlServices *services = NULL;
  *text = wl_cli_read_file (path, size);
  if (*text == NULL)
    return WL_EXIT_USAGE;
  wl_services_parse (*text, *size, &findings, &services);
  int status = findings.count > 0 ? print_findings (cli, path, &findings) : WL_EXIT_OK;
  wl_findings_clear (&findings);
  wl_services_destroy (services);
  return status;
}

int
wl_cmd_check (const WlCli *cli, int argc, char **argv)
{
  size_t size = 0;
  char *text = NULL;
  if (argc != 2)
    {
      fprintf (stderr, "usage: wisterialoft check FILE\n");
      return WL_EXIT_USAGE;
    }
  int status = check_file (cli, argv[1], &text, &size);
  if (status == WL_EXIT_OK && cli->is_json)
    printf ("[]\n");
  free (text);
  return status;
}

static int
wait_in_force (const WlCli *cli, json_int_t number)
{
  WlCliCall call = { .method = "GET", .path = "/v1/status" };
  for (int waited = 0; waited < WAIT_MS; waited += POLL_MS)
    {
      WlAnswer a = { 0 };
      wl_cli_call (cli, &call, &a);
      json_int_t in_force
          = json_integer_value (json_object_get (json_object_get (a.json, "group"), "in_force"));
      wl_answer_clear (&a);
      if (in_force >= number)
        return 1;
      wl_cli_progress ("waiting until the configuration is in force everywhere");
      usleep (POLL_MS * 1000);
    }
  return 0;
}

static int
print_submitted (const WlCli *cli, const WlAnswer *a, int wait)
{
  const char *outcome = json_string_value (json_object_get (a->json, "outcome"));
  json_int_t number = json_integer_value (json_object_get (a->json, "number"));
  if (outcome == NULL)
    return wl_cli_fail (a);
  int accepted = strcmp (outcome, "accepted") == 0;
  int in_force = accepted && wait ? wait_in_force (cli, number) : 0;
  if (cli->is_json)
    {
      if (wait)
        json_object_set_new (a->json, "in_force", json_boolean (in_force));
      wl_cli_print_json (a->json);
    }
  else if (accepted)
    printf ("accepted as number %" JSON_INTEGER_FORMAT "%s\n", number,
            in_force ? ", in force everywhere" : "");
  else
    printf ("%s: number %" JSON_INTEGER_FORMAT
            " is held by text %s; current number %" JSON_INTEGER_FORMAT "\n",
            outcome, number, json_string_value (json_object_get (a->json, "digest")),
            json_integer_value (json_object_get (a->json, "current")));
  return accepted && (!wait || in_force) ? WL_EXIT_OK : WL_EXIT_NEGATIVE;
}

int
wl_cmd_submit (const WlCli *cli, int argc, char **argv)
{
  struct arg_str *file = arg_str1 (NULL, NULL, "FILE", "services text");
  struct arg_int *replaces
      = arg_int1 (NULL, "replaces", "N", "number that it replaces, 0 at first");
  struct arg_str *wait = arg_str0 (NULL, "wait", "in-force", "wait until in force everywhere");
  struct arg_end *end = arg_end (5);
  void *table[] = { file, replaces, wait, end };
  char path[96];
  char *text = NULL;
  size_t size = 0;
  int status = WL_EXIT_USAGE;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "wisterialoft submit");
      goto out;
    }
  status = check_file (cli, file->sval[0], &text, &size);
  if (status != WL_EXIT_OK)
    goto out;
  WlAnswer a = { 0 };
  snprintf (path, sizeof path, "/v1/config?replaces=%d", replaces->ival[0]);
  WlCliCall call = { .method = "POST", .path = path, .body = text, .size = size };
  wl_cli_call (cli, &call, &a);
  status = print_submitted (cli, &a, wait->count > 0);
  wl_answer_clear (&a);
out:
  free (text);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}

int
wl_cmd_show (const WlCli *cli, int argc, char **argv)
{
  struct arg_int *number = arg_int0 (NULL, "number", "N", "configuration number");
  struct arg_end *end = arg_end (5);
  void *table[] = { number, end };
  char path[64] = "/v1/config";
  int status = WL_EXIT_USAGE;
  WlAnswer a = { 0 };
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "wisterialoft show");
      goto out;
    }
  if (number->count > 0)
    snprintf (path, sizeof path, "/v1/config?number=%d", number->ival[0]);
  WlCliCall call = { .method = "GET", .path = path };
  wl_cli_call (cli, &call, &a);
  if (a.status != 200)
    status = wl_cli_fail (&a);
  else
    {
      fwrite (a.body, 1, a.size, stdout);
      status = WL_EXIT_OK;
    }
out:
  wl_answer_clear (&a);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
