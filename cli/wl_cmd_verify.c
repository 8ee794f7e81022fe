#include <stdio.h>
#include <stdlib.h>
#include <argtable2.h>
#include "wl_cli.h"
#include "wl_verify.h"

static void
print_verified (const WlCli *cli, const WlVerified *v, int ok)
{
  if (cli->is_json)
    {
      json_t *out = json_pack ("{s:b,s:i,s:i,s:i,s:i,s:i,s:i,s:s}", "verified", ok, "chains",
                               (int)v->chains, "receipts", (int)v->receipts, "finished",
                               (int)v->finished, "failed", (int)v->failed, "refused",
                               (int)v->refused, "rooted", (int)v->rooted, "problem", v->problem);
      wl_cli_print_json (out);
      json_decref (out);
      return;
    }
  if (!ok)
    printf ("MISMATCH: %s\n", v->problem);
  printf ("%zu chains, %zu receipts: %zu finished, %zu failed, %zu refused; %zu chains match a "
          "committed root\n",
          v->chains, v->receipts, v->finished, v->failed, v->refused, v->rooted);
}

int
wl_cmd_verify (const WlCli *cli, int argc, char **argv)
{
  struct arg_str *file = arg_str1 (NULL, "receipts", "FILE", "output of report receipts");
  struct arg_end *end = arg_end (5);
  void *table[] = { file, end };
  json_t *root = NULL;
  char *body = NULL;
  size_t size = 0;
  WlVerified v;
  int status = WL_EXIT_USAGE;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "wisterialoft verify");
      goto out;
    }
  body = wl_cli_read_file (file->sval[0], &size);
  if (body == NULL)
    goto out;
  root = json_loadb (body, size, 0, NULL);
  int ok = wl_verify_export (root, &v);
  print_verified (cli, &v, ok);
  status = ok ? WL_EXIT_OK : WL_EXIT_NEGATIVE;
out:
  json_decref (root);
  free (body);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
