#include <stdio.h>
#include <string.h>
#include <argtable2.h>
#include <curl/curl.h>
#include "wl_cli.h"

enum
{
  PATH_SIZE = 512,
};

/* Sequence of a failure domain in a status, 0 when it was never evacuated. */
static json_int_t
find_sequence (const json_t *status, const char *domain)
{
  size_t i;
  const json_t *e;
  json_array_foreach (json_object_get (json_object_get (status, "group"), "evacuations"), i, e)
  {
    const char *name = json_string_value (json_object_get (e, "domain"));
    if (name != NULL && strcmp (name, domain) == 0)
      return json_integer_value (json_object_get (e, "sequence"));
  }
  return 0;
}

static int
print_outcome (const WlCli *cli, const WlAnswer *a, const char *domain, int is_finish)
{
  const char *outcome = json_string_value (json_object_get (a->json, "outcome"));
  if (outcome == NULL)
    return wl_cli_fail (a);
  int is_accepted = strcmp (outcome, "accepted") == 0;
  if (cli->is_json)
    wl_cli_print_json (a->json);
  else if (is_accepted)
    printf ("%s %s\n", domain, is_finish ? "is not evacuated" : "is evacuated");
  else
    printf ("%s: the state of %s has changed meanwhile; see status\n", outcome, domain);
  return is_accepted ? WL_EXIT_OK : WL_EXIT_NEGATIVE;
}

/* Sends the change with the sequence that the status names. */
static int
evacuate (const WlCli *cli, const char *domain, int is_finish)
{
  WlCliCall read = { .method = "GET", .path = "/v1/status" };
  char path[PATH_SIZE];
  WlAnswer a = { 0 };
  wl_cli_call (cli, &read, &a);
  if (a.status != 200)
    {
      int status = wl_cli_fail (&a);
      wl_answer_clear (&a);
      return status;
    }
  char *name = curl_easy_escape (NULL, domain, 0);
  int n = snprintf (
      path, sizeof path, "/v1/evacuations?domain=%s&sequence=%" JSON_INTEGER_FORMAT "%s",
      name != NULL ? name : "", find_sequence (a.json, domain), is_finish ? "&finish=1" : "");
  curl_free (name);
  wl_answer_clear (&a);
  if (n < 0 || (size_t)n >= sizeof path)
    {
      fprintf (stderr, "wisterialoft: the name of the failure domain is too long\n");
      return WL_EXIT_USAGE;
    }
  WlCliCall change = { .method = "POST", .path = path, .body = "" };
  wl_cli_call (cli, &change, &a);
  int status = print_outcome (cli, &a, domain, is_finish);
  wl_answer_clear (&a);
  return status;
}

int
wl_cmd_evacuate (const WlCli *cli, int argc, char **argv)
{
  struct arg_str *domain = arg_str1 (NULL, NULL, "DOMAIN", "failure domain");
  struct arg_lit *finish = arg_lit0 (NULL, "finish", "end the evacuation");
  struct arg_end *end = arg_end (5);
  void *table[] = { domain, finish, end };
  int status = WL_EXIT_USAGE;
  if (arg_parse (argc, argv, table) > 0)
    arg_print_errors (stderr, end, "wisterialoft evacuate");
  else
    status = evacuate (cli, domain->sval[0], finish->count > 0);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
