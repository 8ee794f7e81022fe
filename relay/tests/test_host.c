#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <sys/stat.h>
#include <apr_general.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_host_internal.h"
#include "wl_log.h"
#include "wl_raw_client.h"
#include "wl_test.h"
#include "wl_test_host.h"

/* Restarts of a node: what it restores from its disk, without other nodes. Failures of its disk. */

typedef struct
{
  char folder[64];
  WlHostOptions options;
  WlHost *host;
} Fixture;

static void
create (Fixture *f)
{
  memset (f, 0, sizeof *f);
  strcpy (f->folder, "/tmp/wl-host-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (f->folder));
  f->options = (WlHostOptions){
    .node = wl_test_loopback (1),
    .domain = "z",
    .key = "key",
    .is_first_start = 1,
    .grace_us = 1000000,
  };
  snprintf (f->options.data_folder, sizeof f->options.data_folder, "%s/data", f->folder);
}

static void
start (Fixture *f)
{
  uint16_t ports[2];
  wl_test_free_ports (ports, 2);
  f->options.peer_port = ports[0];
  f->options.client_port = ports[1];
  ck_assert_int_eq (wl_host_create (&f->options, &f->host), WL_OK);
}

static void
run (Fixture *f, uint64_t duration_us)
{
  for (uint64_t end_us = wl_clock_now_us () + duration_us; wl_clock_now_us () < end_us;)
    wl_host_run_once (f->host);
}

/* Returns whether nothing waits for the disk: how long the disk takes counts for no limit. */
static int
run_beside_disk (Fixture *f, uint64_t duration_us)
{
  run (f, duration_us);
  return wl_journal_is_idle (f->host->journal);
}

static void
run_turns (Fixture *f)
{
  for (int i = 0; i < 5; i++)
    wl_host_run_once (f->host);
}

/* Runs until a file exists. The limit only ends a test that has failed. */
static int
run_until_file (Fixture *f, const char *name)
{
  char path[384];
  struct stat s;
  snprintf (path, sizeof path, "%s/%s", f->options.data_folder, name);
  for (int i = 0; i < 200; i++)
    {
      run (f, 50000);
      if (stat (path, &s) == 0)
        return 1;
    }
  return 0;
}

static uint64_t
gauge (Fixture *f, const char *name)
{
  WlBuffer text = { 0 };
  char pattern[80];
  static const uint8_t zero = 0;
  wl_host_write_metrics (f->host, &text);
  wl_buffer_append (&text, (WlBytes){ &zero, 1 });
  snprintf (pattern, sizeof pattern, "%s ", name);
  const char *line = strstr ((const char *)wl_buffer_bytes (&text).data, pattern);
  ck_assert_ptr_nonnull (line);
  uint64_t value = strtoull (line + strlen (pattern), NULL, 10);
  wl_buffer_clear (&text);
  return value;
}

static void
destroy (Fixture *f)
{
  char command[96];
  wl_host_destroy (f->host);
  snprintf (command, sizeof command, "rm -rf %s", f->folder);
  ck_assert_int_eq (system (command), 0);
}

static WlEndpointRecord
make_record (const char *id, uint32_t port)
{
  WlEndpointRecord r
      = { .address = 1, .port = port, .slots = 4, .started_ms = 1000 + port, .sequence = 3 };
  snprintf (r.id, sizeof r.id, "%s", id);
  snprintf (r.service, sizeof r.service, "llm");
  snprintf (r.domain, sizeof r.domain, "z");
  return r;
}

/*
 * Guards against a node without endpoints after all nodes have lost power at
 * once: no other node can report them, and they register again only after a
 * second or more.
 */
START_TEST (endpoints_are_restored_after_a_restart)
{
  static Fixture f;
  WlEndpointRecord here = make_record ("e-1", 8081);
  WlEndpointRecord leaving = make_record ("e-2", 8082);
  create (&f);
  start (&f);
  leaving.is_draining = 1;
  wl_host_register (f.host, &here);
  wl_host_register (f.host, &leaving);
  ck_assert_int_eq (run_until_file (&f, "endpoints"), 1);
  wl_host_destroy (f.host);
  f.options.is_first_start = 0;
  start (&f);
  ck_assert_uint_eq (gauge (&f, "endpoints_known"), 2);
  ck_assert_uint_eq (gauge (&f, "endpoints_usable"), 1);
  destroy (&f);
}
END_TEST

/* Guards against requests that try endpoints which were gone long before all nodes restarted. */
START_TEST (a_silent_endpoint_is_not_saved)
{
  static Fixture f;
  WlEndpointRecord silent = make_record ("e-1", 8081);
  WlEndpointRecord here = make_record ("e-2", 8082);
  create (&f);
  start (&f);
  silent.age_us = WL_FLEET_TIMEOUT_US;
  wl_membership_apply_record (f.host->membership, &silent, wl_clock_now_us ());
  wl_host_register (f.host, &here);
  ck_assert_int_eq (run_until_file (&f, "endpoints"), 1);
  wl_host_destroy (f.host);
  f.options.is_first_start = 0;
  start (&f);
  ck_assert_uint_eq (gauge (&f, "endpoints_known"), 1);
  ck_assert_ptr_nonnull (wl_fleet_find (f.host->fleet, "e-2"));
  ck_assert_uint_eq (wl_fleet_find (f.host->fleet, "e-2")->record.is_restored, 1);
  destroy (&f);
}
END_TEST

static void
set_cold_service (Fixture *f)
{
  WlRoutes *routes = wl_routes_create ();
  routes->services = apr_pcalloc (routes->pool, sizeof *routes->services);
  routes->services[0].name = "llm";
  routes->services[0].cold_rate = 1000;
  routes->n_services = 1;
  wl_relay_set_routes (f->host->relay, routes);
}

/*
 * Guards against a restarted node that takes endpoints for cold because they were saved right
 * after their start. The restarts end when one finds the endpoint warm.
 */
START_TEST (an_endpoint_that_has_become_warm_is_restored_as_warm)
{
  static Fixture f;
  WlEndpointRecord r = make_record ("e-1", 8081);
  uint32_t left_ms = UINT32_MAX;
  create (&f);
  start (&f);
  set_cold_service (&f);
  r.cold_left_ms = 400;
  wl_host_register (f.host, &r);
  ck_assert_int_eq (run_until_file (&f, "endpoints"), 1);
  f.options.is_first_start = 0;
  for (int i = 0; i < 10 && left_ms > 0; i++)
    {
      run (&f, 2 * WL_HOST_SAVE_INTERVAL_US);
      wl_host_destroy (f.host);
      start (&f);
      set_cold_service (&f);
      left_ms = wl_fleet_cold_left_ms (wl_fleet_find (f.host->fleet, "e-1"), wl_clock_now_us ());
    }
  ck_assert_uint_eq (left_ms, 0);
  destroy (&f);
}
END_TEST

static void
on_submitted (void *data, WlHostOutcome outcome, WlBytes config)
{
  (void)config;
  *(int *)data = outcome == WL_HOST_DONE;
}

/*
 * Guards against callers being refused after all nodes have lost power, while no
 * leader is elected: the configuration committed before is applied from disk.
 * This waits until a running node would have sent a newer one.
 */
START_TEST (the_committed_configuration_is_restored_without_a_quorum)
{
  static Fixture f;
  int is_done = 0;
  create (&f);
  f.options.parse = wl_test_parse_any;
  f.options.seeds[0] = f.options.node;
  f.options.n_seeds = 1;
  start (&f);
  for (int i = 0; i < 100 && wl_host_leader (f.host, wl_clock_now_us ()) == 0; i++)
    run (&f, 50000);
  wl_host_submit_config (f.host, 7, (WlBytes){ (const uint8_t *)"text", 4 }, on_submitted,
                         &is_done);
  ck_assert_int_eq (run_until_file (&f, "text"), 1);
  for (int i = 0; i < 100 && !is_done; i++) /* the file may be there before the answer */
    run (&f, 50000);
  ck_assert_int_eq (is_done, 1);
  wl_host_destroy (f.host);
  uint64_t now_us = wl_clock_now_us ();
  f.options.is_first_start = 0;
  wl_clock_set (now_us);
  start (&f);
  run_turns (&f);
  ck_assert_uint_eq (gauge (&f, "config_number"), 0);
  wl_clock_set (now_us + 50000); /* before any replica may stand for election */
  run_turns (&f);
  ck_assert_uint_eq (gauge (&f, "config_number"), 1);
  ck_assert_uint_eq (gauge (&f, "control_leader"), 0);
  wl_clock_set (0);
  destroy (&f);
}
END_TEST

START_TEST (a_node_starts_with_a_damaged_file_of_endpoints)
{
  static Fixture f;
  char path[384];
  WlEndpointRecord here = make_record ("e-1", 8081);
  create (&f);
  start (&f);
  wl_host_register (f.host, &here);
  ck_assert_int_eq (run_until_file (&f, "endpoints"), 1);
  wl_host_destroy (f.host);
  snprintf (path, sizeof path, "%s/endpoints", f.options.data_folder);
  ck_assert_int_eq (truncate (path, 20), 0);
  f.options.is_first_start = 0;
  start (&f);
  ck_assert_uint_eq (gauge (&f, "endpoints_known"), 0);
  destroy (&f);
}
END_TEST

/* Makes each sync of a file of the data folder fail: a pipe takes its descriptor's place. */
static void
break_disk (const Fixture *f)
{
  char path[320];
  char target[384];
  int ends[2];
  size_t n = strlen (f->options.data_folder);
  DIR *dir = opendir ("/proc/self/fd");
  ck_assert_ptr_nonnull (dir);
  ck_assert_int_eq (pipe2 (ends, O_CLOEXEC), 0);
  for (const struct dirent *e = readdir (dir); e != NULL; e = readdir (dir))
    {
      snprintf (path, sizeof path, "/proc/self/fd/%s", e->d_name);
      ssize_t size = readlink (path, target, sizeof target - 1);
      target[size > 0 ? size : 0] = '\0';
      if (strncmp (target, f->options.data_folder, n) == 0 && target[n] == '/'
          && strstr (target, "lock") == NULL)
        ck_assert_int_ge (dup3 (ends[1], atoi (e->d_name), O_CLOEXEC), 0);
    }
  closedir (dir);
}

/* Runs until the replica leads its group, which its disk knows. */
static void
run_until_leading (Fixture *f)
{
  for (int i = 0; i < 100 && wl_host_leader (f->host, wl_clock_now_us ()) == 0;)
    i += run_beside_disk (f, 50000);
  ck_assert_uint_eq (wl_host_leader (f->host, wl_clock_now_us ()), f->options.node);
  while (!run_beside_disk (f, 10000))
    ;
}

/* Fails the disk of a replica that leads its group, and submits a configuration. */
static void
fail_disk (Fixture *f, int *is_done)
{
  break_disk (f);
  wl_host_submit_config (f->host, 7, (WlBytes){ (const uint8_t *)"text", 4 }, on_submitted,
                         is_done);
  for (int i = 0; i < 100 && !wl_host_has_failed (f->host);)
    i += run_beside_disk (f, 10000);
  ck_assert_int_eq (wl_host_has_failed (f->host), 1);
}

/* Guards against requests that are cut because the disk of their node, which they do not use,
 * fails. */
START_TEST (a_request_is_answered_although_the_disk_fails)
{
  static Fixture f;
  static RawClient caller;
  int is_done = 0;
  create (&f);
  f.options.parse = wl_test_parse_any;
  f.options.seeds[0] = f.options.node;
  f.options.n_seeds = 1;
  start (&f);
  run_until_leading (&f);
  raw_client_connect_to (&caller, f.options.node, f.options.client_port);
  raw_client_send (&caller, "GET /x HTTP/1.1\r\n");
  fail_disk (&f, &is_done);
  ck_assert_int_eq (wl_host_may_exit (f.host), 0);
  raw_client_send (&caller, "Host: h\r\n\r\n");
  for (int i = 0; i < 200 && !wl_host_may_exit (f.host); i++)
    {
      run (&f, 10000);
      raw_client_receive (&caller);
      if (caller.is_closed)
        raw_client_close (&caller);
    }
  ck_assert_int_eq (wl_host_may_exit (f.host), 1);
  ck_assert_ptr_nonnull (strstr (caller.answer, "HTTP/1.1 "));
  ck_assert_ptr_nonnull (strstr (caller.answer, "\r\n\r\n"));
  destroy (&f);
}
END_TEST

/* Guards against a replica that leads or acknowledges with more in memory than its disk holds. */
START_TEST (a_node_whose_disk_has_failed_is_no_replica)
{
  static Fixture f;
  int is_done = 0;
  create (&f);
  f.options.parse = wl_test_parse_any;
  f.options.seeds[0] = f.options.node;
  f.options.n_seeds = 1;
  start (&f);
  run_until_leading (&f);
  fail_disk (&f, &is_done);
  uint64_t queued = gauge (&f, "journal_queued_bytes");
  wl_host_submit_config (f.host, 8, (WlBytes){ (const uint8_t *)"next", 4 }, on_submitted,
                         &is_done);
  for (int i = 0; i < 200 && !wl_host_may_exit (f.host); i++)
    run (&f, 10000);
  ck_assert_int_eq (is_done, 0);
  ck_assert_uint_eq (gauge (&f, "control_leader"), 0);
  ck_assert_uint_eq (gauge (&f, "journal_queued_bytes"), queued);
  destroy (&f);
}
END_TEST

/*
 * Guards against a configuration that is in use although it was not stored. Its number is given to
 * the next one after a restart, which the node then takes for known.
 */
START_TEST (a_configuration_that_is_not_stored_is_not_used)
{
  static Fixture f;
  uint64_t version;
  int is_done = 0;
  create (&f);
  f.options.parse = wl_test_parse_any;
  f.options.seeds[0] = f.options.node;
  f.options.n_seeds = 1;
  start (&f);
  run_until_leading (&f);
  fail_disk (&f, &is_done);
  run (&f, 200000); /* files beside the log can still be written */
  ck_assert_uint_eq (gauge (&f, "config_number"), 0);
  wl_host_destroy (f.host);
  f.options.is_first_start = 0;
  start (&f);
  run_until_leading (&f);
  wl_host_submit_config (f.host, 8, (WlBytes){ (const uint8_t *)"next", 4 }, on_submitted,
                         &is_done);
  for (int i = 0; i < 100 && !is_done;)
    i += run_beside_disk (&f, 50000);
  ck_assert_int_eq (is_done, 1);
  wl_config_split_version (f.host->config, &version);
  ck_assert_uint_eq (version, 8);
  destroy (&f);
}
END_TEST

/* Starts a node that cannot start. Returns its log. */
static const char *
log_of_start (const WlHostOptions *options)
{
  static char text[4096];
  int fds[2];
  int saved = fcntl (STDOUT_FILENO, F_DUPFD_CLOEXEC, 0);
  WlHost *host = NULL;
  ck_assert_int_eq (pipe2 (fds, O_NONBLOCK), 0);
  dup2 (fds[1], STDOUT_FILENO);
  wl_log_open (1);
  WlError error = wl_host_create (options, &host);
  wl_log_close (WL_LOG_CLOSE_MS);
  dup2 (saved, STDOUT_FILENO);
  ssize_t n = read (fds[0], text, sizeof text - 1);
  text[n > 0 ? n : 0] = '\0';
  close (saved);
  close (fds[0]);
  close (fds[1]);
  ck_assert_int_ne (error, WL_OK);
  return text;
}

/* Guards against a node that does not start because its port is in use and does not say so. */
START_TEST (a_node_whose_port_is_in_use_logs_the_cause)
{
  char expected[64];
  uint16_t ports[2];
  wl_test_free_ports (ports, 2);
  WlHost *first = wl_test_start_node (0, ports, "z");
  WlHostOptions options = { .node = wl_test_loopback (1),
                            .key = "key",
                            .peer_port = ports[0],
                            .client_port = ports[1],
                            .parse = wl_test_parse_any };
  const char *text = log_of_start (&options);
  snprintf (expected, sizeof expected, "front_port=%u errno=%d\n", ports[1], EADDRINUSE);
  ck_assert_msg (strstr (text, expected) != NULL, "%s", text);
  wl_host_destroy (first);
}
END_TEST

/* Guards against a node that does not start for its data folder and does not say why. */
START_TEST (a_node_without_a_data_folder_logs_the_cause)
{
  char expected[64];
  WlHostOptions options = { .node = wl_test_loopback (1),
                            .key = "key",
                            .data_folder = "/dev/null/data",
                            .parse = wl_test_parse_any };
  const char *text = log_of_start (&options);
  snprintf (expected, sizeof expected, "errno=%d\n", ENOTDIR);
  ck_assert_msg (strstr (text, "WL1004 folder=/dev/null/data") != NULL, "%s", text);
  ck_assert_msg (strstr (text, expected) != NULL, "%s", text);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (endpoints_are_restored_after_a_restart),
    WL_TEST (an_endpoint_that_has_become_warm_is_restored_as_warm),
    WL_TEST (a_silent_endpoint_is_not_saved),
    WL_TEST (the_committed_configuration_is_restored_without_a_quorum),
    WL_TEST (a_node_starts_with_a_damaged_file_of_endpoints),
    WL_TEST (a_request_is_answered_although_the_disk_fails),
    WL_TEST (a_node_whose_disk_has_failed_is_no_replica),
    WL_TEST (a_configuration_that_is_not_stored_is_not_used),
    WL_TEST (a_node_whose_port_is_in_use_logs_the_cause),
    WL_TEST (a_node_without_a_data_folder_logs_the_cause),
  };
  if (sodium_init () < 0)
    return 1;
  apr_initialize ();
  return wl_test_run ("host", tests, sizeof tests / sizeof tests[0]);
}
