#include <stdio.h>
#include <stdlib.h>
#include <argtable2.h>
#include "wl_cli.h"
#include "wl_explain.h"

enum
{
  FILES_MAX = 512,
};

int
wl_cmd_explain (const WlCli *cli, int argc, char **argv)
{
  struct arg_str *request = arg_str1 (NULL, "request", "ID", "id of the request");
  struct arg_file *files = arg_filen (NULL, NULL, "LOG", 1, FILES_MAX, "logs of the nodes");
  struct arg_end *end = arg_end (5);
  void *table[] = { request, files, end };
  WlStory story = { 0 };
  int status = WL_EXIT_USAGE;
  (void)cli;
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "wisterialoft explain");
      goto out;
    }
  for (int i = 0; i < files->count; i++)
    {
      size_t size;
      char *log = wl_cli_read_file (files->filename[i], &size);
      if (log == NULL)
        goto out;
      wl_explain_add (&story, request->sval[0], files->filename[i], log);
      free (log);
    }
  for (int i = 0; i < files->count && story.n_parts > 0; i++)
    {
      size_t size;
      char *log = wl_cli_read_file (files->filename[i], &size);
      if (log == NULL)
        goto out;
      wl_explain_add_parts (&story, request->sval[0], files->filename[i], log);
      free (log);
    }
  wl_explain_sort (&story);
  for (size_t i = 0; i < story.n_lines; i++)
    printf ("%s %s: %s\n", story.lines[i].is_context ? " " : "*", story.lines[i].source,
            story.lines[i].text);
  if (story.n_lines == 0)
    fprintf (stderr, "wisterialoft: no line about request %s\n", request->sval[0]);
  status = story.n_lines > 0 ? WL_EXIT_OK : WL_EXIT_NEGATIVE;
out:
  wl_explain_clear (&story);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
