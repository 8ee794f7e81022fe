#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_options.h"
#include "wl_test.h"

#define BASE                                                                                       \
  "wisterialoftd", "--node-id", "2", "--address", "127.0.0.1", "--http-port", "8080", "--domain",  \
      "a", "--cluster-key", "k", "--operator-key", "o", "--endpoint-key", "e"
#define READ(...) read_options ((char *[]){ __VA_ARGS__, NULL })

static WlOptions options;

static WlOptionsResult
read_options (char **argv)
{
  int argc = 0;
  while (argv[argc] != NULL)
    argc++;
  return wl_options_read (argc, argv, &options);
}

START_TEST (flags_win_over_the_environment)
{
  setenv ("WISTERIALOFT_PEER_PORT", "9000", 1);
  setenv ("WISTERIALOFT_DOMAIN", "b", 1);
  ck_assert_int_eq (READ (BASE, "--control-peers", "1=127.0.0.1:9101"), WL_OPTIONS_RUN);
  ck_assert_uint_eq (options.settings.self.peer_port, 9000);
  ck_assert_str_eq (options.settings.self.domain, "a");
  ck_assert_uint_eq (options.n_control, 1);
  unsetenv ("WISTERIALOFT_PEER_PORT");
  unsetenv ("WISTERIALOFT_DOMAIN");
}
END_TEST

START_TEST (all_findings_are_reported_at_once)
{
  char path[] = "/tmp/wl-options-XXXXXX";
  char text[2048] = "";
  int fd = mkstemp (path);
  ck_assert_int_ge (fd, 0);
  fflush (stderr);
  FILE *saved = stderr;
  stderr = fdopen (fd, "w+");
  ck_assert_int_eq (READ ("wisterialoftd", "--node-id", "0", "--address", "host", "--control-peers",
                          "1=127.0.0.1:1,2=127.0.0.1:2", "--policy", "best"),
                    WL_OPTIONS_INVALID);
  rewind (stderr);
  ck_assert_uint_gt (fread (text, 1, sizeof text - 1, stderr), 0);
  fclose (stderr);
  stderr = saved;
  remove (path);
  ck_assert_ptr_nonnull (strstr (text, "--node-id: expected"));
  ck_assert_ptr_nonnull (strstr (text, "--address: expected an IP number"));
  ck_assert_ptr_nonnull (strstr (text, "expected 1, 3, 5 or 7"));
  ck_assert_ptr_nonnull (strstr (text, "--policy: expected"));
  ck_assert_ptr_nonnull (strstr (text, "--cluster-key: is required"));
}
END_TEST

START_TEST (a_check_ends_without_running)
{
  char *check[] = { "wisterialoftd", "--check-settings", NULL };
  ck_assert_int_eq (
      READ (BASE, "--peer-port", "1", "--control-peers", "1=127.0.0.1:1", "--check-settings"),
      WL_OPTIONS_EXIT);
  ck_assert_int_eq (READ (BASE, "--check-settings"), WL_OPTIONS_INVALID);
  ck_assert_int_eq (wl_options_is_check (2, check), 1);
  ck_assert_int_eq (wl_options_is_check (1, check), 0);
}
END_TEST

START_TEST (a_data_folder_belongs_to_control_replicas_only)
{
  ck_assert_int_eq (READ (BASE, "--peer-port", "1", "--control-peers", "2=127.0.0.1:1"),
                    WL_OPTIONS_INVALID);
  ck_assert_int_eq (
      READ (BASE, "--peer-port", "1", "--control-peers", "1=127.0.0.1:1", "--data-folder", "x"),
      WL_OPTIONS_INVALID);
  ck_assert_int_eq (
      READ (BASE, "--peer-port", "1", "--control-peers", "2=127.0.0.1:1", "--data-folder", "x"),
      WL_OPTIONS_RUN);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (flags_win_over_the_environment),
    WL_TEST (all_findings_are_reported_at_once),
    WL_TEST (a_check_ends_without_running),
    WL_TEST (a_data_folder_belongs_to_control_replicas_only),
  };
  return wl_test_run ("options", tests, sizeof tests / sizeof tests[0]);
}
