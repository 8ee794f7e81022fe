#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include "kit.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  PATH_SIZE = 512,
  CONNECTIONS_MAX = 512,
};

static char daemon_path[PATH_SIZE];
static char folder[PATH_SIZE];
static FILE *record_file;
static unsigned net; /* 127.X.Y.0 */
static int64_t begin_ms;
static pid_t pids[KIT_NODES_MAX * 4]; /* of the processes that run */
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;

/* Open connections of all workers, so that a worker's end closes its own. */
static pthread_mutex_t open_mutex = PTHREAD_MUTEX_INITIALIZER;
static struct
{
  KitWorker *worker;
  int fd;
} open_connections[CONNECTIONS_MAX];

static int64_t
clock_ms (clockid_t id)
{
  struct timespec t;
  clock_gettime (id, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
kit_now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC) - begin_ms;
}

void
kit_sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };
  while (ms > 0 && nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

void
kit_sleep_until_ms (int64_t at_ms)
{
  kit_sleep_ms (at_ms - kit_now_ms ());
}

int
kit_has_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

static void
write_line (int is_shown, const char *format, va_list arguments)
{
  char text[1024];
  vsnprintf (text, sizeof text, format, arguments);
  pthread_mutex_lock (&record_mutex);
  double at_s = (double)kit_now_ms () / 1000.0;
  fprintf (record_file, "%8.3f %s\n", at_s, text);
  fflush (record_file);
  if (is_shown)
    {
      printf ("%8.3f %s\n", at_s, text);
      fflush (stdout);
    }
  pthread_mutex_unlock (&record_mutex);
}

void
kit_record (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  write_line (1, format, arguments);
  va_end (arguments);
}

void
kit_note (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  write_line (0, format, arguments);
  va_end (arguments);
}

const char *
kit_ip (int host)
{
  static _Thread_local char texts[8][INET_ADDRSTRLEN];
  static _Thread_local unsigned next;
  char *out = texts[next++ % 8];
  unsigned ip = net + (unsigned)host;
  snprintf (out, INET_ADDRSTRLEN, "127.%u.%u.%u", ip >> 16 & 255, ip >> 8 & 255, ip & 255);
  return out;
}

static struct sockaddr_in
make_address (int host, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  a.sin_addr.s_addr = htonl (net + (unsigned)host);
  return a;
}

static int
listen_on (int host, int port)
{
  struct sockaddr_in a = make_address (host, port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) == 0 && listen (fd, 128) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
is_net_free (void)
{
  for (int host = 1; host < 4; host++)
    {
      int fd = listen_on (host, KIT_CONTROL_PORT);
      if (fd < 0)
        return 0;
      close (fd);
    }
  return 1;
}

int
kit_open (int argc, char **argv)
{
  const char *parent = getenv ("TMPDIR");
  begin_ms = clock_ms (CLOCK_MONOTONIC);
  signal (SIGPIPE, SIG_IGN);
  if (argc != 3 || realpath (argv[1], daemon_path) == NULL)
    {
      fprintf (stderr, "usage: %s DAEMON RECORD\n", argv[0]);
      return 0;
    }
  record_file = fopen (argv[2], "we");
  snprintf (folder, sizeof folder, "%s/review-XXXXXX", parent != NULL ? parent : "/tmp");
  if (record_file == NULL || mkdtemp (folder) == NULL)
    return 0;
  for (unsigned i = 0; i < 100; i++)
    {
      unsigned n = (unsigned)getpid () + i * 97;
      net = 127u << 24 | (1 + n / 251 % 250) << 16 | (1 + n % 251) << 8;
      if (is_net_free ())
        return 1;
    }
  return 0;
}

static void
forget_pid (pid_t pid)
{
  for (size_t i = 0; i < sizeof pids / sizeof *pids; i++)
    if (pids[i] == pid)
      pids[i] = 0;
}

int
kit_close (int status)
{
  char path[2 * PATH_SIZE];
  for (size_t i = 0; i < sizeof pids / sizeof *pids; i++)
    if (pids[i] != 0)
      {
        kill (pids[i], SIGKILL);
        waitpid (pids[i], NULL, 0);
      }
  /* Only files that the nodes of this run have written. */
  for (int level = 0; level < 2 && getenv ("KEEP") == NULL; level++)
    {
      DIR *dir = opendir (folder);
      for (const struct dirent *e = dir != NULL ? readdir (dir) : NULL; e != NULL;
           e = readdir (dir))
        {
          if (strcmp (e->d_name, ".") == 0 || strcmp (e->d_name, "..") == 0)
            continue;
          snprintf (path, sizeof path, "%s/%s", folder, e->d_name);
          DIR *inner = opendir (path);
          for (const struct dirent *f = inner != NULL ? readdir (inner) : NULL; f != NULL;
               f = readdir (inner))
            if (strcmp (f->d_name, ".") != 0 && strcmp (f->d_name, "..") != 0)
              unlinkat (dirfd (inner), f->d_name, 0);
          if (inner != NULL)
            {
              closedir (inner);
              rmdir (path);
            }
          else
            unlink (path);
        }
      if (dir != NULL)
        closedir (dir);
    }
  if (getenv ("KEEP") == NULL)
    rmdir (folder);
  kit_record ("exit %d", status);
  fclose (record_file);
  return status;
}

/* ---- nodes ---- */

static void
write_settings (const KitNode *node, const char *path)
{
  FILE *f = fopen (path, "we");
  if (f == NULL)
    return;
  const char *ip = kit_ip (node->host);
  fprintf (f, "node_name: \"front-%d\"\nrole: \"node\"\nmachine_class: \"front\"\n", node->host);
  fprintf (f, "serves:\n  - \"front\"\n  - \"control\"\n  - \"directory\"\nip: \"%s\"\n", ip);
  fprintf (f, "zone: \"zone-%c\"\nregion: \"region\"\nzones:\n", 'a' + node->zone);
  fprintf (f, "  zone-a: \"region\"\n  zone-b: \"region\"\n  zone-c: \"region\"\nlisten:\n");
  fprintf (f, "  front: \"%s:%d\"\n  ready: \"%s:%d\"\n", ip, KIT_FRONT_PORT, ip, KIT_READY_PORT);
  fprintf (f, "  control: \"%s:%d\"\n  directory: \"%s:%d\"\n", ip, KIT_CONTROL_PORT, ip,
           KIT_DIRECTORY_PORT);
  fprintf (f, "internal_ports:\n  - 7340\n  - 7355\nseeds:\n");
  for (int i = 0; i < node->n_seeds; i++)
    fprintf (f, "  - \"%s:%d\"\n", kit_ip (node->seeds[i]), KIT_CONTROL_PORT);
  fprintf (f, "bootstrap: %s\n", node->is_bootstrap ? "true" : "false");
  fprintf (f, "tolerance_member: %s\n", node->has_disk ? "true" : "false");
  fprintf (f, "limits:\n  cpu_share: 0.45\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n");
  if (node->has_disk)
    fprintf (f, "data_dir: \"%s/data-%d\"\n", folder, node->host);
  fprintf (f, "discovery: \"registration\"\nentry: \"directory\"\nheartbeat_ms: 1200\n");
  fprintf (f, "fault_tolerance:\n  machines: 1\n  zones: 0\n  regions: 0\nbounds:\n");
  fprintf (f, "  seed_lag_s: 3\n  addr_reuse_s: 2\n  stable_window_ms: 3000\n  ack_ms: 4000\n");
  fprintf (f, "  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n");
  fprintf (f, "  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  skew_max_ms: 5000\n");
  fprintf (f, "  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: 112\n");
  fprintf (f, "  recover_s: 12\n  pass_ms: 120\n  ttl_max_s: 5\nconfig_mode: \"highest\"\n");
  fclose (f);
}

int
kit_node_start (KitNode *node)
{
  char settings[2 * PATH_SIZE];
  char log[2 * PATH_SIZE];
  char data[2 * PATH_SIZE];
  snprintf (settings, sizeof settings, "%s/settings-%d.yaml", folder, node->host);
  snprintf (log, sizeof log, "%s/log-%d", folder, node->host);
  snprintf (data, sizeof data, "%s/data-%d", folder, node->host);
  write_settings (node, settings);
  if (node->has_disk)
    mkdir (data, 0700);
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (log, O_CREAT | O_WRONLY | O_APPEND, 0600);
      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("WISTERIALOFT_BOOT", settings, 1);
      setenv ("WISTERIALOFT_METRICS_PORT", "9464", 1); /* as in the deploy file */
      execl (daemon_path, daemon_path, (char *)NULL);
      _exit (127);
    }
  node->pid = pid > 0 ? pid : 0;
  for (size_t i = 0; pid > 0 && i < sizeof pids / sizeof *pids; i++)
    if (pids[i] == 0)
      {
        pids[i] = pid;
        break;
      }
  node->is_bootstrap = 0; /* of its first start only */
  return pid > 0;
}

void
kit_node_kill (KitNode *node, int signal_number)
{
  if (node->pid == 0)
    return;
  kill (node->pid, signal_number);
  if (signal_number != SIGKILL && signal_number != SIGTERM)
    return;
  waitpid (node->pid, NULL, 0);
  forget_pid (node->pid);
  node->pid = 0;
}

int
kit_node_has_ended (KitNode *node)
{
  int status = 0;
  if (node->pid == 0 || waitpid (node->pid, &status, WNOHANG) != node->pid)
    return 0;
  kit_record ("node %s ended by itself: status %d signal %d", kit_ip (node->host),
              WIFEXITED (status) ? WEXITSTATUS (status) : -1,
              WIFSIGNALED (status) ? WTERMSIG (status) : 0);
  forget_pid (node->pid);
  node->pid = 0;
  return 1;
}

int
kit_node_is_ready (const KitNode *node)
{
  static _Thread_local KitMessage answer;
  return kit_call (node->host, KIT_READY_PORT, "GET", "/api/readiness", "", NULL, 500, &answer)
         == 200;
}

void
kit_node_print_log (const KitNode *node, const char *pattern)
{
  char path[2 * PATH_SIZE];
  char line[1024];
  snprintf (path, sizeof path, "%s/log-%d", folder, node->host);
  FILE *f = fopen (path, "re");
  while (f != NULL && fgets (line, sizeof line, f) != NULL)
    if (strstr (line, pattern) != NULL)
      {
        line[strcspn (line, "\n")] = '\0';
        kit_record ("log of %s: %s", kit_ip (node->host), line);
      }
  if (f != NULL)
    fclose (f);
}

/* ---- HTTP ---- */

int
kit_connect (int host, int port, int timeout_ms)
{
  struct sockaddr_in a = make_address (host, port);
  int error = 0;
  socklen_t size = sizeof error;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  struct pollfd p = { .fd = fd, .events = POLLOUT };
  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0
      && (errno != EINPROGRESS || poll (&p, 1, timeout_ms) <= 0
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0))
    {
      close (fd);
      return -1;
    }
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) & ~O_NONBLOCK);
  return fd;
}

int
kit_send (int fd, const char *bytes, size_t size)
{
  size_t done = 0;
  while (done < size)
    {
      ssize_t n = send (fd, bytes + done, size - done, MSG_NOSIGNAL);
      if (n <= 0 && errno != EINTR)
        return 0;
      done += n > 0 ? (size_t)n : 0;
    }
  return 1;
}

const char *
kit_field (const KitMessage *message, const char *name, char *out, size_t size)
{
  size_t name_size = strlen (name);
  const char *line = message->bytes;
  out[0] = '\0';
  while ((line = strstr (line, "\r\n")) != NULL && line < message->bytes + message->body)
    {
      line += 2;
      if (strncasecmp (line, name, name_size) != 0 || line[name_size] != ':')
        continue;
      line += name_size + 1;
      line += strspn (line, " ");
      snprintf (out, size, "%.*s", (int)strcspn (line, "\r"), line);
      return out;
    }
  return out;
}

/* Whether a message is whole; an answer without a length and chunks ends with its connection. */
static int
is_whole (const KitMessage *m, int is_request, int has_ended)
{
  char value[64];
  if (m->body == 0)
    return 0;
  if (strstr (kit_field (m, "Transfer-Encoding", value, sizeof value), "chunked") != NULL)
    return m->size >= m->body + 5 && memcmp (m->bytes + m->size - 5, "0\r\n\r\n", 5) == 0;
  if (kit_field (m, "Content-Length", value, sizeof value)[0] != '\0')
    return m->size >= m->body + strtoul (value, NULL, 10);
  return is_request || has_ended;
}

int
kit_read (int fd, int is_request, int timeout_ms, KitMessage *out)
{
  int64_t until_ms = kit_now_ms () + timeout_ms;
  int has_ended = 0;
  out->status = 0;
  out->is_cut = 0;
  out->size = 0;
  out->body = 0;
  out->bytes[0] = '\0';
  while (!is_whole (out, is_request, has_ended))
    {
      struct pollfd p = { .fd = fd, .events = POLLIN };
      int64_t left_ms = until_ms - kit_now_ms ();
      ssize_t n = -1;
      if (left_ms > 0 && poll (&p, 1, (int)left_ms) > 0)
        n = recv (fd, out->bytes + out->size, sizeof out->bytes - 1 - out->size, 0);
      if (n <= 0 && (n < 0 || has_ended))
        break;
      if (n == 0)
        {
          has_ended = 1;
          if (!is_whole (out, is_request, 1))
            break;
          continue;
        }
      out->size += (size_t)n;
      out->bytes[out->size] = '\0';
      const char *end = strstr (out->bytes, "\r\n\r\n");
      if (out->body == 0 && end != NULL)
        out->body = (size_t)(end - out->bytes) + 4;
    }
  if (!is_whole (out, is_request, has_ended))
    {
      out->is_cut = out->body > 0;
      return 0;
    }
  if (!is_request && out->size > 12)
    out->status = (int)strtol (out->bytes + 9, NULL, 10);
  return 1;
}

int
kit_call (int host, int port, const char *method, const char *path, const char *fields,
          const char *body, int timeout_ms, KitMessage *answer)
{
  char head[2048];
  int64_t until_ms = kit_now_ms () + timeout_ms;
  int fd = kit_connect (host, port, timeout_ms < 1000 ? timeout_ms : 1000);
  answer->status = 0;
  answer->is_cut = 0;
  answer->size = 0;
  answer->body = 0;
  if (fd < 0)
    return 0;
  int n = snprintf (head, sizeof head, "%s %s HTTP/1.1\r\n%s", method, path, fields);
  if (strstr (fields, "Host:") == NULL)
    n += snprintf (head + n, sizeof head - (size_t)n, "Host: %s:%d\r\n", kit_ip (host), port);
  if (body != NULL)
    n += snprintf (head + n, sizeof head - (size_t)n,
                   "Content-Type: application/json\r\nContent-Length: %zu\r\n", strlen (body));
  n += snprintf (head + n, sizeof head - (size_t)n, "\r\n");
  if (kit_send (fd, head, (size_t)n) && (body == NULL || kit_send (fd, body, strlen (body))))
    kit_read (fd, 0, (int)(until_ms - kit_now_ms ()), answer);
  close (fd);
  return answer->status;
}

int
kit_submit (KitNode *nodes, int n_nodes, const char *manifest, int timeout_ms)
{
  static _Thread_local KitMessage answer;
  int64_t until_ms = kit_now_ms () + timeout_ms;
  int pause_ms = 50;
  for (int i = 0; kit_now_ms () < until_ms; i = (i + 1) % n_nodes)
    {
      if (nodes[i].pid == 0)
        {
          kit_sleep_ms (2);
          continue;
        }
      int status = kit_call (nodes[i].host, KIT_CONTROL_PORT, "POST", "/api/Config.Replace", "",
                             manifest, 1000, &answer);
      kit_note ("operator: Config.Replace %.14s at %s: %d", manifest, kit_ip (nodes[i].host),
                status);
      if (status == 200)
        return 1;
      kit_sleep_ms (pause_ms);
      pause_ms = pause_ms < 400 ? 2 * pause_ms : 400;
    }
  return 0;
}

/* ---- workers ---- */

static void
note_open (KitWorker *worker, int fd)
{
  pthread_mutex_lock (&open_mutex);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    if (open_connections[i].worker == NULL)
      {
        open_connections[i].worker = worker;
        open_connections[i].fd = fd;
        break;
      }
  pthread_mutex_unlock (&open_mutex);
}

static void
close_noted (KitWorker *worker, int fd)
{
  pthread_mutex_lock (&open_mutex);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    if (open_connections[i].worker == worker && open_connections[i].fd == fd)
      open_connections[i].worker = NULL;
  close (fd);
  pthread_mutex_unlock (&open_mutex);
}

typedef struct
{
  KitWorker *worker;
  int fd;
} Served;

static void *
serve_connection (void *data)
{
  Served served = *(Served *)data;
  KitWorker *w = served.worker;
  KitMessage *request = malloc (sizeof *request);
  char expected[64];
  free (data);
  while (request != NULL && kit_read (served.fd, 1, 15000, request))
    {
      kit_field (request, "X-Expect-Instance", expected, sizeof expected);
      if (expected[0] != '\0' && strcmp (expected, w->id) != 0)
        {
          static const char misdirected[]
              = "HTTP/1.1 421 Misdirected\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
          kit_send (served.fd, misdirected, sizeof misdirected - 1);
          continue;
        }
      __atomic_fetch_add (&w->n_running, 1, __ATOMIC_SEQ_CST);
      int is_kept = w->serve (w, served.fd, request);
      __atomic_fetch_sub (&w->n_running, 1, __ATOMIC_SEQ_CST);
      if (!is_kept || w->is_closed)
        break;
    }
  free (request);
  close_noted (w, served.fd);
  return NULL;
}

static void *
accept_connections (void *data)
{
  KitWorker *w = data;
  int on = 1;
  for (;;)
    {
      int fd = accept4 (w->listener, NULL, NULL, SOCK_CLOEXEC);
      pthread_t thread;
      Served *served = malloc (sizeof *served);
      if (fd < 0 || served == NULL)
        {
          free (served);
          return NULL;
        }
      setsockopt (fd, IPPROTO_TCP, 1, &on, sizeof on); /* TCP_NODELAY */
      *served = (Served){ w, fd };
      note_open (w, fd);
      if (pthread_create (&thread, NULL, serve_connection, served) == 0)
        pthread_detach (thread);
    }
}

int
kit_worker_open (KitWorker *worker)
{
  pthread_t thread;
  worker->listener = listen_on (KIT_WORKER_HOST + worker->number, KIT_WORKER_PORT);
  worker->born_ms = (uint64_t)clock_ms (CLOCK_REALTIME);
  worker->is_closed = 0;
  if (worker->listener < 0)
    return 0;
  if (pthread_create (&thread, NULL, accept_connections, worker) != 0)
    return 0;
  pthread_detach (thread);
  return 1;
}

void
kit_worker_end (KitWorker *worker)
{
  struct linger none = { .l_onoff = 1, .l_linger = 0 };
  worker->is_closed = 1;
  shutdown (worker->listener, SHUT_RDWR);
  close (worker->listener);
  pthread_mutex_lock (&open_mutex);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    if (open_connections[i].worker == worker)
      {
        setsockopt (open_connections[i].fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        shutdown (open_connections[i].fd, SHUT_RDWR);
      }
  pthread_mutex_unlock (&open_mutex);
}

int
kit_worker_beat (KitWorker *worker, int node_host, const char *state)
{
  static _Thread_local KitMessage answer;
  char path[128];
  char body[768];
  if (state == NULL)
    {
      snprintf (path, sizeof path, "/api/Instances.Leave/%s", worker->id);
      snprintf (body, sizeof body, "{\"born\":%llu}", (unsigned long long)worker->born_ms);
    }
  else
    {
      snprintf (path, sizeof path, "/api/Instances.Heartbeat/%s", worker->id);
      snprintf (body, sizeof body,
                "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-%c\","
                "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,"
                "\"stage\":\"both\",\"models\":[],\"born\":%llu,\"seq\":%u}",
                worker->service, kit_ip (KIT_WORKER_HOST + worker->number), KIT_WORKER_PORT,
                'a' + worker->zone, worker->slots, state, (unsigned long long)worker->born_ms,
                ++worker->sequence);
    }
  return kit_call (node_host, KIT_CONTROL_PORT, "POST", path, "", body, 1000, &answer) / 100 == 2;
}
