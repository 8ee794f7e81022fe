#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <apr_general.h>
#include <curl/curl.h>
#include <sodium.h>
#include "wl_log.h"
#include "wl_node.h"
#include "wl_platform.h"

enum
{
  EXIT_OK = 0,
  EXIT_STORAGE = 1,
  EXIT_SETTINGS = 2,
  MAPPED_MIN_BYTES
  = 131072, /* larger buffers are mapped one by one, and leave no holes in the heap */
};

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void
on_signal (int number)
{
  if (number == SIGHUP)
    reload_requested = 1;
  else
    stop_requested = 1;
}

static void
install_signals (void)
{
  struct sigaction stop = { .sa_handler = on_signal };
  struct sigaction ignore = { .sa_handler = SIG_IGN };
  sigaction (SIGTERM, &stop, NULL);
  sigaction (SIGINT, &stop, NULL);
  sigaction (SIGHUP, &stop, NULL);
  sigaction (SIGPIPE, &ignore, NULL);
  sigaction (SIGXFSZ, &ignore, NULL); /* the write fails, and is tried again */
  wl_log_catch_faults ();
}

static int
run (const WlOptions *options)
{
  WlNode *node = NULL;
  int was_requested = 0;
  if (wl_node_create (options, &node) != WL_OK)
    return EXIT_STORAGE;
  while (!node->is_stopped)
    {
      if (stop_requested && !was_requested)
        {
          was_requested = 1;
          wl_node_stop (node);
        }
      wl_node_run_once (node);
    }
  int status = node->error == WL_OK ? EXIT_OK : EXIT_STORAGE;
  wl_node_destroy (node);
  return status;
}

int
main (int argc, char **argv)
{
  WlOptions options;
  int status = EXIT_SETTINGS;
  mallopt (M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
  if (apr_initialize () != APR_SUCCESS || sodium_init () < 0)
    return EXIT_STORAGE;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  install_signals ();
  if (wl_platform_settings_path () != NULL)
    {
      const char *path = wl_platform_settings_path ();
      status = wl_options_is_check (argc, argv)
                   ? wl_platform_check (path)
                   : wl_platform_run (path, &stop_requested, &reload_requested);
      goto out;
    }
  switch (wl_options_read (argc, argv, &options))
    {
    case WL_OPTIONS_EXIT:
      status = EXIT_OK;
      break;
    case WL_OPTIONS_INVALID:
      break;
    case WL_OPTIONS_RUN:
      wl_log_open (options.settings.self.node);
      status = run (&options);
      wl_log_close (WL_LOG_CLOSE_MS);
      break;
    }
out:
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
