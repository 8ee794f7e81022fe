#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include "wl_test.h"
#include "wl_test_loopback.h"

/* Signals to the daemon as a process of its own, settings by flags. */

enum
{
  START_TRIES = 500,
  TRY_US = 20000,
};

static pid_t
start_daemon (const char *folder, uint16_t http_port, uint16_t peer_port)
{
  char http[8];
  char peer[8];
  char address[WL_TEST_IP_SIZE];
  char peers[64];
  wl_test_loopback_text (1, address);
  snprintf (http, sizeof http, "%u", http_port);
  snprintf (peer, sizeof peer, "%u", peer_port);
  snprintf (peers, sizeof peers, "1=%s:%u", address, peer_port);
  pid_t pid = fork ();
  ck_assert_int_ge (pid, 0);
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL); /* a failed test leaves no daemon behind */
      execl (WL_DAEMON, WL_DAEMON, "--node-id", "1", "--address", address, "--http-port", http,
             "--peer-port", peer, "--domain", "a", "--control-peers", peers, "--data-folder",
             folder, "--cluster-key", "k", "--operator-key", "o", "--endpoint-key", "e", NULL);
      _exit (127);
    }
  return pid;
}

/* Requests /healthz. Returns whether the status is 200. */
static int
is_healthy (uint16_t port)
{
  static const char request[] = "GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  char answer[1024] = "";
  a.sin_addr.s_addr = htonl (wl_test_loopback (1));
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) == 0
      && send (fd, request, sizeof request - 1, MSG_NOSIGNAL) == (ssize_t)sizeof request - 1
      && recv (fd, answer, sizeof answer - 1, 0) < 0)
    answer[0] = '\0';
  close (fd);
  return strncmp (answer, "HTTP/1.1 200", 12) == 0;
}

/* Guards against a hang-up that ends the daemon, and a second SIGTERM that cuts its stop short. */
START_TEST (hang_ups_and_repeated_sigterms_do_not_cut_a_stop_short)
{
  uint16_t ports[2];
  char folder[] = "/tmp/wl-signals-XXXXXX";
  int status = 0;
  ck_assert_ptr_nonnull (mkdtemp (folder));
  wl_test_free_ports (ports, 2);
  pid_t pid = start_daemon (folder, ports[0], ports[1]);
  for (int i = 0; i < START_TRIES && !is_healthy (ports[0]); i++)
    usleep (TRY_US);
  ck_assert_int_eq (kill (pid, SIGHUP), 0);
  usleep (10 * TRY_US);
  ck_assert (is_healthy (ports[0]));
  ck_assert_int_eq (kill (pid, SIGTERM), 0);
  usleep (10 * TRY_US);
  ck_assert_int_eq (kill (pid, SIGTERM), 0);
  ck_assert_int_eq (kill (pid, SIGHUP), 0);
  usleep (10 * TRY_US);
  ck_assert (is_healthy (ports[0]));
  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
  ck_assert (WIFEXITED (status));
  ck_assert_int_eq (WEXITSTATUS (status), 0);
}
END_TEST

/* Guards against a file size limit, which the system signals, that ends a daemon. */
START_TEST (a_limit_of_file_size_does_not_end_the_daemon)
{
  uint16_t ports[2];
  char folder[] = "/tmp/wl-signals-XXXXXX";
  int status = 0;
  ck_assert_ptr_nonnull (mkdtemp (folder));
  wl_test_free_ports (ports, 2);
  pid_t pid = start_daemon (folder, ports[0], ports[1]);
  for (int i = 0; i < START_TRIES && !is_healthy (ports[0]); i++)
    usleep (TRY_US);
  ck_assert_int_eq (kill (pid, SIGXFSZ), 0);
  usleep (10 * TRY_US);
  ck_assert (is_healthy (ports[0]));
  ck_assert_int_eq (kill (pid, SIGKILL), 0);
  ck_assert_int_eq (waitpid (pid, &status, 0), pid);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (hang_ups_and_repeated_sigterms_do_not_cut_a_stop_short),
    WL_TEST (a_limit_of_file_size_does_not_end_the_daemon),
  };
  return wl_test_run ("signals", tests, sizeof tests / sizeof tests[0]);
}
