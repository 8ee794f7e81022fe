#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <curl/curl.h>
#include <sodium.h>
#include "wl_cli.h"

typedef struct
{
  const char *name;
  int (*run) (const WlCli *cli, int argc, char **argv);
  const char *help;
} Command;

static const Command commands[] = {
  { "check", wl_cmd_check, "check a services text" },
  { "submit", wl_cmd_submit, "submit a services text" },
  { "show", wl_cmd_show, "print a services text that was accepted" },
  { "status", wl_cmd_status, "show entries, cells and endpoints, or one request" },
  { "evacuate", wl_cmd_evacuate, "start or finish the evacuation of a failure domain" },
  { "entries", wl_cmd_entries, "list the addresses to use" },
  { "send", wl_cmd_send, "send one request" },
  { "report", wl_cmd_report, "report burn, or export receipts" },
  { "verify", wl_cmd_verify, "verify exported receipts" },
  { "explain", wl_cmd_explain, "find a request's story in the logs of the nodes" },
};

static void
print_help (void)
{
  printf (
      "Usage: wisterialoft [--server IP:PORT,...] [--key KEY] [--format text|json] COMMAND ...\n"
      "\nThe options can also be set as WISTERIALOFT_SERVER, WISTERIALOFT_KEY and\n"
      "WISTERIALOFT_FORMAT in the environment.\n\nCommands:\n");
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    printf ("  %-8s %s\n", commands[i].name, commands[i].help);
  printf ("\nExit codes: 0 done, 1 negative answer, 2 wrong usage, 3 no server reached.\n");
}

static const char *
setting (const char *name, const char *fallback)
{
  const char *v = getenv (name);
  return v != NULL ? v : fallback;
}

/* Takes "--name value" or "--name=value" out of the arguments. */
static const char *
take_option (int *argc, char **argv, const char *name)
{
  size_t n = strlen (name);
  for (int i = 1; i < *argc; i++)
    {
      int separate = strcmp (argv[i], name) == 0 && i + 1 < *argc;
      int joined = strncmp (argv[i], name, n) == 0 && argv[i][n] == '=';
      if (!separate && !joined)
        continue;
      const char *value = separate ? argv[i + 1] : argv[i] + n + 1;
      int taken = separate ? 2 : 1;
      memmove (argv + i, argv + i + taken, (size_t)(*argc - i - taken) * sizeof *argv);
      *argc -= taken;
      return value;
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  WlCli cli = { .servers = setting ("WISTERIALOFT_SERVER", "127.0.0.1:8080"),
                .key = setting ("WISTERIALOFT_KEY", "") };
  const char *format = setting ("WISTERIALOFT_FORMAT", "text");
  const char *value;
  int status = WL_EXIT_USAGE;
  if (sodium_init () < 0)
    return WL_EXIT_USAGE;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if ((value = take_option (&argc, argv, "--server")) != NULL)
    cli.servers = value;
  if ((value = take_option (&argc, argv, "--key")) != NULL)
    cli.key = value;
  if ((value = take_option (&argc, argv, "--format")) != NULL)
    format = value;
  cli.is_json = strcmp (format, "json") == 0;
  if (!cli.is_json && strcmp (format, "text") != 0 && strcmp (format, "html") != 0)
    fprintf (stderr, "wisterialoft: --format: expected text, json or html\n");
  else if (argc < 2 || strcmp (argv[1], "--help") == 0)
    {
      print_help ();
      status = argc < 2 ? WL_EXIT_USAGE : WL_EXIT_OK;
    }
  else if (strcmp (argv[1], "--version") == 0)
    {
      printf ("wisterialoft %s\n", WL_VERSION);
      status = WL_EXIT_OK;
    }
  else
    {
      const Command *found = NULL;
      for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
        if (strcmp (commands[i].name, argv[1]) == 0)
          found = &commands[i];
      cli.is_html = strcmp (format, "html") == 0;
      if (found != NULL)
        status = found->run (&cli, argc - 1, argv + 1);
      else
        fprintf (stderr, "wisterialoft: unknown command '%s'; see --help\n", argv[1]);
    }
  curl_global_cleanup ();
  return status;
}
