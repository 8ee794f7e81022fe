#ifndef _GNU_SOURCE
#define _GNU_SOURCE
#endif
#include "kit-2.h"
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
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
  FRONT_PORT = 8227,
  READY_PORT = 8220,
  CONTROL_PORT = 8229,
  WORKER_PORT = 9000,
  ANSWER_LIMIT_MS = 30000,
};

int kit_n_disks = 3;
int kit_tolerated = 1;
KitNode kit_nodes[KIT_NODES_MAX];
int kit_n_nodes;
KitWorker kit_workers[KIT_WORKERS_MAX];
int kit_n_workers;
void (*kit_arrived) (const KitCall *call);
void (*kit_crashed) (const KitCall *call);

static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;
static int64_t begin_ms;
static char folder[256];
static char net[24];

static int64_t
clock_ms (clockid_t clock)
{
  struct timespec t;
  clock_gettime (clock, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
kit_now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC) - begin_ms;
}

static void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };
  if (ms > 0)
    nanosleep (&t, NULL);
}

void
kit_sleep_until (int64_t ms)
{
  sleep_ms (ms - kit_now_ms ());
}

int
kit_has_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");
  return trouble == NULL || strcmp (trouble, "0") != 0;
}

void
kit_log (const char *format, ...)
{
  va_list arguments;
  pthread_mutex_lock (&record_mutex);
  fprintf (record, "%8.3f ", (double)kit_now_ms () / 1000.0);
  va_start (arguments, format);
  vfprintf (record, format, arguments);
  va_end (arguments);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_mutex);
}

void
kit_begin (const char *path)
{
  const char *tmp = getenv ("TMPDIR");
  int pid = (int)getpid ();
  signal (SIGPIPE, SIG_IGN);
  begin_ms = clock_ms (CLOCK_MONOTONIC);
  record = fopen (path, "w");
  if (record == NULL)
    exit (2);
  snprintf (folder, sizeof folder, "%s/wl-review-XXXXXX", tmp != NULL ? tmp : "/tmp");
  if (mkdtemp (folder) == NULL)
    kit_fail ("no temporary folder");
  snprintf (net, sizeof net, "127.%d.%d", 1 + (pid >> 8) % 254, pid & 255);
}

static void
end_processes (void)
{
  char command[600];
  for (int i = 0; i < kit_n_nodes; i++)
    if (kit_nodes[i].pid > 0)
      kit_kill_node (&kit_nodes[i], SIGKILL);
  if (getenv ("KEEP") != NULL)
    return;
  snprintf (command, sizeof command, "rm -r '%s'", folder);
  if (folder[0] != '\0' && system (command) != 0)
    kit_log ("the temporary folder remains");
}

void
kit_fail (const char *reason)
{
  kit_log ("could not run: %s", reason);
  end_processes ();
  exit (2);
}

int
kit_end (int is_broken)
{
  kit_log ("verdict: the rule %s", is_broken ? "was BROKEN" : "held");
  end_processes ();
  return is_broken ? 1 : 0;
}

/* ---- channels ---- */

static struct sockaddr_in
make_address (const char *ip, int port)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, ip, &a.sin_addr);
  return a;
}

static int
open_channel (const char *ip, int port)
{
  struct sockaddr_in a = make_address (ip, port);
  struct timeval limit = { 1, 0 };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

static int
write_all (int fd, const char *bytes, size_t size)
{
  while (size > 0)
    {
      ssize_t n = send (fd, bytes, size, MSG_NOSIGNAL);
      if (n <= 0)
        return 0;
      bytes += n;
      size -= (size_t)n;
    }
  return 1;
}

static int
write_text (int fd, const char *text)
{
  return write_all (fd, text, strlen (text));
}

/* Reads more; returns 0 at the end, -1 after a reset or at the limit. */
static ssize_t
read_more (int fd, char *out, size_t size, int64_t limit_ms)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };
  int64_t left_ms = limit_ms - kit_now_ms ();
  if (left_ms <= 0 || poll (&p, 1, (int)left_ms) <= 0)
    return -1;
  return recv (fd, out, size, 0);
}

/* Value of a header field, copied; 0 when it is missing. */
static int
find_field (const char *head, const char *name, char *out, size_t size)
{
  size_t n = strlen (name);
  out[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL; line = strstr (line, "\r\n"))
    {
      line += 2;
      if (strncasecmp (line, name, n) != 0 || line[n] != ':')
        continue;
      const char *value = line + n + 1 + strspn (line + n + 1, " ");
      snprintf (out, size, "%.*s", (int)strcspn (value, "\r"), value);
      return 1;
    }
  return 0;
}

/*
 * Reads a head and what came behind it. Returns the bytes of the head, 0 when the channel ended
 * before; @used has all bytes read.
 */
static size_t
read_head (int fd, char *buffer, size_t size, size_t *used, int64_t limit_ms)
{
  *used = 0;
  for (;;)
    {
      buffer[*used] = '\0';
      char *end = strstr (buffer, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - buffer) + 4;
      if (*used + 1 >= size)
        return 0;
      ssize_t n = read_more (fd, buffer + *used, size - *used - 1, limit_ms);
      if (n <= 0)
        return 0;
      *used += (size_t)n;
    }
}

/* ---- answers at clients ---- */

typedef struct
{
  int is_chunked;
  long left;
  int state; /* 0 size line, 1 data, 2 line end behind data, 3 done, -1 no chunk */
  char line[32];
  size_t n_line;
  int body;
} Chunks;

static void
feed_chunks (Chunks *c, const char *bytes, size_t size)
{
  for (size_t i = 0; i < size && c->state != 3 && c->state >= 0; i++)
    {
      if (c->state == 1)
        {
          c->body++;
          if (--c->left == 0)
            c->state = 2;
          continue;
        }
      if (bytes[i] == '\r')
        continue;
      if (bytes[i] != '\n')
        {
          if (c->state == 0 && c->n_line + 1 < sizeof c->line)
            c->line[c->n_line++] = bytes[i];
          continue;
        }
      if (c->state == 2)
        {
          c->state = 0;
          c->n_line = 0;
          continue;
        }
      c->line[c->n_line] = '\0';
      if (c->n_line == 0)
        continue;
      c->left = strtol (c->line, NULL, 16);
      c->n_line = 0;
      c->state = c->left > 0 ? 1 : 3;
    }
}

/* Keeps bytes of a body with a length, zero-terminated, as far as there is room. */
static void
keep_body (KitBody *body, const char *bytes, size_t size)
{
  if (body == NULL)
    return;
  if (size > body->size - 1 - body->used)
    size = body->size - 1 - body->used;
  memcpy (body->text + body->used, bytes, size);
  body->used += size;
  body->text[body->used] = '\0';
}

/* Reads an answer; one without length or chunks ends with its channel. */
static void
read_answer (int fd, KitAnswer *out, KitBody *kept, int64_t limit_ms)
{
  static _Thread_local char buffer[KIT_HEAD_SIZE];
  char field[KIT_TEXT_SIZE];
  size_t used;
  size_t n_head = read_head (fd, buffer, sizeof buffer, &used, limit_ms);
  if (n_head == 0)
    return;
  buffer[n_head - 2] = '\0';
  out->status = atoi (buffer + strlen ("HTTP/1.1 "));
  Chunks chunks = { .is_chunked = find_field (buffer, "Transfer-Encoding", field, sizeof field) };
  long length = -1;
  if (find_field (buffer, "Content-Length", field, sizeof field))
    length = strtol (field, NULL, 10);
  if (find_field (buffer, "Retry-After", field, sizeof field))
    out->retry_after_s = strtod (field, NULL);
  long body = (long)(used - n_head);
  keep_body (kept, buffer + n_head, used - n_head);
  feed_chunks (&chunks, buffer + n_head, chunks.is_chunked ? used - n_head : 0);
  for (;;)
    {
      out->body_bytes = chunks.is_chunked ? chunks.body : (int)body;
      if (chunks.is_chunked ? chunks.state == 3 : length >= 0 && body >= length)
        {
          out->is_whole = 1;
          return;
        }
      ssize_t n = read_more (fd, buffer, sizeof buffer, limit_ms);
      if (n <= 0)
        {
          out->is_whole = n == 0 && !chunks.is_chunked && length < 0;
          return;
        }
      body += n;
      keep_body (kept, buffer, (size_t)n);
      feed_chunks (&chunks, buffer, chunks.is_chunked ? (size_t)n : 0);
    }
}

KitAnswer
kit_send (const KitNode *node, const KitRequest *r)
{
  char text[KIT_HEAD_SIZE];
  KitAnswer answer = { 0 };
  int n = snprintf (text, sizeof text,
                    "%s %s HTTP/1.1\r\nHost: review.example\r\nX-Attempt-Id: %s\r\n"
                    "X-Deadline-Ms: %d\r\n",
                    r->is_get ? "GET" : "POST", r->path, r->id, r->deadline_ms);
  if (r->key != NULL)
    n += snprintf (text + n, sizeof text - (size_t)n, "X-Api-Key: %s\r\n", r->key);
  if (r->prefix != NULL)
    n += snprintf (text + n, sizeof text - (size_t)n,
                   "X-Model: m\r\nX-Token-Count: %d,200\r\nX-Prompt-Prefix: %s\r\n", r->tokens,
                   r->prefix);
  if (r->expected_version != 0)
    n += snprintf (text + n, sizeof text - (size_t)n, "X-Expect-Version: %d\r\n",
                   r->expected_version);
  if (!r->is_get)
    n += snprintf (text + n, sizeof text - (size_t)n, "Content-Length: 4\r\n");
  snprintf (text + n, sizeof text - (size_t)n, "\r\n%s", r->is_get ? "" : "body");
  answer.sent_ms = kit_now_ms ();
  int fd = open_channel (node->ip, FRONT_PORT);
  if (fd >= 0 && write_text (fd, text))
    read_answer (fd, &answer, NULL, answer.sent_ms + r->deadline_ms + 2000);
  if (fd >= 0)
    close (fd);
  answer.ended_ms = kit_now_ms ();
  kit_log ("client: request=%s node=%d key=%s status=%d whole=%d body=%d took_ms=%d", r->id,
           node->index, r->key != NULL ? r->key : "-", answer.status, answer.is_whole,
           answer.body_bytes, (int)(answer.ended_ms - answer.sent_ms));
  return answer;
}

/* ---- nodes ---- */

/* Bounds in which the sheets differ. */
typedef struct
{
  int stable_window_ms, ack_ms, catch_up_s, drain_ms, config_apply_ms, skew_max_ms;
  int retry_budget_slack, recover_s, pass_ms;
} Bounds;

static const Bounds small = { 3000, 4000, 4, 2000, 2000, 5000, 112, 12, 120 }; /* trevino-loft */
static const Bounds grown
    = { 4000, 5000, 6, 2500, 2500, 6000, 226, 15, 200 }; /* epistrofes-ath-grown */

static void
write_settings (const KitNode *node, int bootstrap)
{
  FILE *f = fopen (node->settings, "w");
  int has_disk = node->index < kit_n_disks;
  const Bounds *b = kit_tolerated == 1 ? &small : &grown;
  if (f == NULL)
    kit_fail ("settings");
  fprintf (f,
           "node_name: \"node-%d\"\nrole: \"node\"\nmachine_class: \"front\"\n"
           "serves: [\"front\", \"control\", \"directory\"]\nip: \"%s\"\nzone: \"zone-%c\"\n"
           "region: \"region\"\nzones:\n  zone-a: \"region\"\n  zone-b: \"region\"\n"
           "  zone-c: \"region\"\nlisten:\n  front: \"%s:8227\"\n  ready: \"%s:8220\"\n"
           "  control: \"%s:8229\"\n  directory: \"%s:8224\"\n"
           "internal_ports:\n  - 7340\n  - 7355\n",
           node->index, node->ip, 'a' + node->index % 3, node->ip, node->ip, node->ip, node->ip);
  fprintf (f, "seeds:\n");
  for (int i = 0; i < 3 && i < kit_n_nodes; i++)
    fprintf (f, "  - \"%s:%d\"\n", kit_nodes[i].ip, CONTROL_PORT);
  fprintf (f, "bootstrap: %s\ntolerance_member: %s\n", bootstrap ? "true" : "false",
           has_disk ? "true" : "false");
  fprintf (f, "limits:\n  cpu_share: 0.45\n  cores: 1\n  memory_mb: 260\n  max_fds: 4100\n"
              "  link_mbps: 1000.0\n  disk_mb: 64\n");
  if (has_disk)
    fprintf (f, "data_dir: \"%s/data-%d\"\n", folder, node->index);
  fprintf (f,
           "discovery: \"registration\"\nentry: \"directory\"\nheartbeat_ms: 1200\n"
           "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", "
           "\"engine\", \"stream\", \"tenants\", \"spans\"]\n"
           "fault_tolerance:\n  machines: %d\n  zones: 0\n  regions: 0\n"
           "bounds:\n  seed_lag_s: 3\n  addr_reuse_s: 2\n  stable_window_ms: %d\n"
           "  ack_ms: %d\n  catch_up_s: %d\n  drain_ms: %d\n  grace_s: 8\n"
           "  loss_slack_ms: 200\n  config_apply_ms: %d\n  rollback_slack_ms: 250\n"
           "  skew_max_ms: %d\n  revoke_strict: false\n  revoke_ms: 5000\n"
           "  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  retry_budget_slack: %d\n"
           "  recover_s: %d\n  pass_ms: %d\n  retry_after_s: 0\n  stall_ms: 1500\n"
           "  hold_max_ms: 20000\n  free_ms: 4000\n  idle_max_ms: 9000\n  ttl_max_s: 5\n"
           "config_mode: \"highest\"\n",
           kit_tolerated, b->stable_window_ms, b->ack_ms, b->catch_up_s, b->drain_ms,
           b->config_apply_ms, b->skew_max_ms, b->retry_budget_slack, b->recover_s, b->pass_ms);
  fclose (f);
}

void
kit_start_node (KitNode *node)
{
  const char *program = getenv ("NODE_PROGRAM");
  char log[600];
  if (program == NULL)
    kit_fail ("NODE_PROGRAM is not set");
  write_settings (node, node->started_ms == 0);
  snprintf (log, sizeof log, "%s/node-%d.log", folder, node->index);
  node->started_ms = kit_now_ms () + 1;
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      FILE *out = freopen (log, "a", stdout);
      if (out == NULL || dup2 (fileno (out), STDERR_FILENO) < 0)
        _exit (3);
      setenv ("WISTERIALOFT_BOOT", node->settings, 1);
      execl (program, program, (char *)NULL);
      _exit (3);
    }
  node->pid = pid;
  kit_log ("node %d: started", node->index);
}

void
kit_prepare_nodes (int n)
{
  char path[600];
  kit_n_nodes = n;
  for (int i = 0; i < n; i++)
    {
      KitNode *node = &kit_nodes[i];
      node->index = i;
      snprintf (node->ip, sizeof node->ip, "%s.%d", net, i + 1);
      snprintf (node->settings, sizeof node->settings, "%s/node-%d.yaml", folder, i);
      snprintf (path, sizeof path, "%s/data-%d", folder, i);
      if (i < kit_n_disks && mkdir (path, 0700) != 0)
        kit_fail ("data folder");
    }
}

void
kit_start_nodes (int n)
{
  kit_prepare_nodes (n);
  for (int i = 0; i < n; i++)
    kit_start_node (&kit_nodes[i]);
}

void
kit_signal_node (const KitNode *node, int signal)
{
  kill (node->pid, signal);
  kit_log ("node %d: signal %d", node->index, signal);
}

void
kit_kill_node (KitNode *node, int signal)
{
  kill (node->pid, signal);
  waitpid (node->pid, NULL, 0);
  node->pid = 0;
  kit_log ("node %d: ended by signal %d", node->index, signal);
}

void
kit_wipe_node (const KitNode *node)
{
  char command[600];
  snprintf (command, sizeof command, "rm -r '%s/data-%d' && mkdir -m 700 '%s/data-%d'", folder,
            node->index, folder, node->index);
  if (system (command) != 0)
    kit_fail ("a disk cannot be emptied");
  kit_log ("node %d: its disk is lost", node->index);
}

/* Sends a call to an address, and returns the status of its answer. */
static int
call (const char *ip, int port, const char *method, const char *path, const char *body,
      KitBody *kept)
{
  char head[512];
  KitAnswer answer = { 0 };
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: node\r\nConnection: close\r\n"
            "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
            method, path, strlen (body));
  int fd = open_channel (ip, port);
  if (fd < 0)
    return 0;
  if (write_text (fd, head) && write_text (fd, body))
    read_answer (fd, &answer, kept, kit_now_ms () + 1500);
  close (fd);
  return answer.status;
}

int
kit_wait_ready (int limit_ms)
{
  int64_t until_ms = kit_now_ms () + limit_ms;
  for (;;)
    {
      int n = 0;
      for (int i = 0; i < kit_n_nodes; i++)
        n += call (kit_nodes[i].ip, READY_PORT, "GET", "/api/readiness", "", NULL) == 200;
      if (n == kit_n_nodes)
        return 1;
      if (kit_now_ms () > until_ms)
        return 0;
      sleep_ms (100);
    }
}

int
kit_replace_config (const char *text, int limit_ms)
{
  int64_t until_ms = kit_now_ms () + limit_ms;
  int status = 0;
  for (int i = 0; kit_now_ms () < until_ms; i++)
    {
      status = call (kit_nodes[i % kit_n_nodes].ip, CONTROL_PORT, "POST", "/api/Config.Replace",
                     text, NULL);
      if (status == 200 || status == 400 || status == 409 || status == 412 || status == 413
          || status == 422)
        break;
      sleep_ms (200);
    }
  kit_log ("operator: status=%d manifest=%.60s", status, text);
  return status;
}

int
kit_read_config (const KitNode *node, KitBody *out)
{
  out->used = 0;
  out->text[0] = '\0';
  return call (node->ip, CONTROL_PORT, "GET", "/api/Config.Read", "", out);
}

/* ---- workers ---- */

int
kit_checkin (KitWorker *w, const KitNode *node, int is_leave)
{
  char path[256];
  char body[800];
  snprintf (path, sizeof path, "/api/Instances.%s/%s", is_leave ? "Leave" : "Heartbeat", w->id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-%c\",\"version\":\"v1\","
            "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":"
            "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":%d,\"born\":%lld}",
            w->service, w->ip, w->port, 'a' + w->index % 3, w->slots,
            w->is_draining ? "draining" : "ready", ++w->seq, (long long)w->born_ms);
  return call (node->ip, CONTROL_PORT, "POST", path, body, NULL);
}

static void *
run_checkins (void *data)
{
  KitWorker *w = data;
  for (int i = w->index;; i++)
    {
      if (w->is_up && !w->holds_checkins)
        for (int k = 0; k < kit_n_nodes; k++)
          if (kit_checkin (w, &kit_nodes[(i + k) % kit_n_nodes], 0) == 200)
            break;
      sleep_ms (w->is_up ? KIT_HEARTBEAT_MS : 50);
    }
  return NULL;
}

/* The threads of the channels close them: by a reset. */
static void
reset_channels (KitWorker *w)
{
  struct linger no_linger = { 1, 0 };
  pthread_mutex_lock (&w->mutex);
  for (int i = 0; i < KIT_CHANNELS_MAX; i++)
    if (w->channels[i] != NULL)
      {
        w->channels[i]->is_cut = 1;
        setsockopt (w->channels[i]->fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
        shutdown (w->channels[i]->fd, SHUT_RD);
      }
  pthread_mutex_unlock (&w->mutex);
}

void
kit_stop_worker (KitWorker *w)
{
  w->is_up = 0;
  shutdown (w->listener, SHUT_RDWR);
  close (w->listener);
  w->listener = -1;
  reset_channels (w);
  kit_log ("worker %d: id=%s ended", w->index, w->id);
}

static void *
restart_later (void *data)
{
  KitWorker *w = data;
  sleep_ms (w->down_ms);
  kit_start_worker (w);
  return NULL;
}

static void
crash (const KitCall *c)
{
  KitWorker *w = c->worker;
  pthread_t thread;
  pthread_mutex_lock (&w->mutex);
  int was_up = w->is_up;
  w->is_up = 0;
  pthread_mutex_unlock (&w->mutex);
  if (!was_up)
    return;
  kit_log ("worker %d: id=%s crashes at request=%s", w->index, w->id, c->id);
  if (kit_crashed != NULL)
    kit_crashed (c);
  kit_stop_worker (w);
  pthread_create (&thread, NULL, restart_later, w);
  pthread_detach (thread);
}

/* Whether a part is one of a prompt's, but not the last. */
static int
has_part (const char *prefix, const char *part)
{
  size_t n = strlen (part);
  for (const char *p = prefix; p != NULL && *p != '\0';)
    {
      const char *comma = strchr (p, ',');
      if (comma != NULL && strncmp (p, part, n) == 0 && p[n] == ':')
        return 1;
      p = comma != NULL ? comma + 1 : NULL;
    }
  return 0;
}

/* Waits; returns 0 when the channel has ended meanwhile. */
static int
work (const KitCall *c, int ms)
{
  struct pollfd p = { .fd = c->channel->fd, .events = POLLRDHUP };
  int64_t until_ms = kit_now_ms () + ms;
  while (kit_now_ms () < until_ms)
    {
      if (c->channel->is_cut)
        return 0;
      int left_ms = (int)(until_ms - kit_now_ms ());
      if (left_ms > 0 && poll (&p, 1, left_ms < 50 ? left_ms : 50) > 0)
        return 0;
    }
  return !c->channel->is_cut;
}

static int
answer_stream (const KitCall *c)
{
  const KitWorker *w = c->worker;
  char text[600];
  char last[KIT_TEXT_SIZE];
  int first = find_field (c->head, "Last-Event-Id", last, sizeof last) ? atoi (last) + 1 : 1;
  if (!work (c, w->work_ms))
    return 0;
  if (w->bad_part != NULL && has_part (c->prefix, w->bad_part))
    {
      crash (c);
      return 0;
    }
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\n"
            "X-Server-Seal: %s\r\nX-Weight-Versions: 1\r\n%sTransfer-Encoding: chunked\r\n\r\n",
            c->id, w->id, w->says_leaving ? "Server-Leaving: 1\r\n" : "");
  if (!write_text (c->channel->fd, text))
    return 0;
  for (int i = first; i <= w->events; i++)
    {
      char event[128];
      snprintf (event, sizeof event, "id: %d\ndata: piece %d\n\n", i, i);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      if (c->channel->is_cut || !write_text (c->channel->fd, text) || !work (c, w->gap_ms))
        return 0;
    }
  return write_text (c->channel->fd, "0\r\n\r\n");
}

static int
answer_plain (const KitCall *c)
{
  const KitWorker *w = c->worker;
  char text[600];
  if (!work (c, w->work_ms))
    return 0;
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\n%sContent-Length: 4\r\n"
            "\r\ndone",
            c->id, w->id, w->says_leaving ? "Server-Leaving: 1\r\n" : "");
  return write_text (c->channel->fd, text);
}

static int
handle (KitCall *c)
{
  const KitWorker *w = c->worker;
  char expected[KIT_TEXT_SIZE];
  char version[KIT_TEXT_SIZE];
  char text[512];
  int is_other = find_field (c->head, "X-Expect-Instance", expected, sizeof expected)
                 && strcmp (expected, w->id) != 0;
  int is_other_version = find_field (c->head, "X-Expect-Version", version, sizeof version)
                         && atoi (version) != w->version;
  if (is_other || is_other_version)
    {
      kit_log ("worker %d: id=%s request=%s 421: %s", w->index, w->id, c->id,
               is_other ? "another instance is expected" : "another version is expected");
      snprintf (text, sizeof text,
                "HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n"
                "At-Server: %s:%d\r\nContent-Length: 0\r\n\r\n",
                c->id, w->ip, w->port);
      return write_text (c->channel->fd, text);
    }
  if (c->id[0] == '\0')
    return write_text (c->channel->fd,
                       "HTTP/1.1 400 Bad\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  kit_log ("worker %d: id=%s request=%s path=%s tenant=%s", w->index, w->id, c->id, c->path,
           c->tenant[0] != '\0' ? c->tenant : "-");
  if (kit_arrived != NULL)
    kit_arrived (c);
  int is_done = w->events > 0 ? answer_stream (c) : answer_plain (c);
  kit_log ("worker %d: id=%s request=%s %s", w->index, w->id, c->id,
           is_done ? "answered" : "cut off");
  return is_done;
}

static void *
run_channel (void *data)
{
  KitChannel *channel = data;
  KitWorker *w = channel->worker;
  char *buffer = malloc (KIT_BODY_SIZE);
  KitCall *c = calloc (1, sizeof *c);
  while (buffer != NULL && c != NULL && !channel->is_cut)
    {
      char field[KIT_TEXT_SIZE];
      size_t used;
      size_t n_head
          = read_head (channel->fd, buffer, KIT_BODY_SIZE, &used, kit_now_ms () + ANSWER_LIMIT_MS);
      if (n_head == 0)
        break;
      size_t length = 0;
      if (find_field (buffer, "Content-Length", field, sizeof field))
        length = strtoul (field, NULL, 10);
      while (used < n_head + length)
        {
          ssize_t n = read_more (channel->fd, buffer + used, KIT_BODY_SIZE - used,
                                 kit_now_ms () + ANSWER_LIMIT_MS);
          if (n <= 0)
            goto out;
          used += (size_t)n;
        }
      buffer[n_head - 2] = '\0';
      memset (c, 0, sizeof *c);
      c->worker = w;
      c->channel = channel;
      c->head = buffer;
      c->at_ms = kit_now_ms ();
      const char *target = strchr (buffer, ' ');
      if (target != NULL)
        snprintf (c->path, sizeof c->path, "%.*s", (int)strcspn (target + 1, " "), target + 1);
      find_field (buffer, "X-Attempt-Id", c->id, sizeof c->id);
      find_field (buffer, "X-Prompt-Prefix", c->prefix, sizeof c->prefix);
      find_field (buffer, "X-Tenant", c->tenant, sizeof c->tenant);
      if (!handle (c))
        break;
    }
out:
  pthread_mutex_lock (&w->mutex);
  w->channels[channel->slot] = NULL;
  pthread_mutex_unlock (&w->mutex);
  close (channel->fd);
  free (channel);
  free (c);
  free (buffer);
  return NULL;
}

static void *
run_listener (void *data)
{
  KitWorker *w = data;
  int listener = w->listener;
  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      if (fd < 0)
        return NULL;
      int on = 1;
      int slot = 0;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      KitChannel *channel = calloc (1, sizeof *channel);
      pthread_mutex_lock (&w->mutex);
      while (slot < KIT_CHANNELS_MAX && w->channels[slot] != NULL)
        slot++;
      int is_taken = slot < KIT_CHANNELS_MAX && w->is_up && channel != NULL;
      if (is_taken)
        {
          *channel = (KitChannel){ .worker = w, .fd = fd, .slot = slot };
          w->channels[slot] = channel;
        }
      pthread_mutex_unlock (&w->mutex);
      if (!is_taken)
        {
          close (fd);
          free (channel);
          continue;
        }
      pthread_t thread;
      pthread_create (&thread, NULL, run_channel, channel);
      pthread_detach (thread);
    }
}

KitWorker *
kit_add_worker (const char *service, int slots, int events, int gap_ms, int work_ms)
{
  KitWorker *w = &kit_workers[kit_n_workers];
  w->index = kit_n_workers++;
  snprintf (w->service, sizeof w->service, "%s", service);
  snprintf (w->ip, sizeof w->ip, "%s.%d", net, 100 + w->index);
  w->port = WORKER_PORT;
  w->slots = slots;
  w->events = events;
  w->gap_ms = gap_ms;
  w->work_ms = work_ms;
  w->down_ms = 3000;
  w->version = 1;
  pthread_mutex_init (&w->mutex, NULL);
  return w;
}

void
kit_start_worker (KitWorker *w)
{
  struct sockaddr_in a = make_address (w->ip, w->port);
  int on = 1;
  pthread_t thread;
  int is_first = w->boots++ == 0;
  if (is_first || !w->keeps_id)
    snprintf (w->id, sizeof w->id, "i-%.60s-%d-%d", w->service, w->index, w->boots);
  w->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (w->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (w->listener, (struct sockaddr *)&a, sizeof a) != 0 || listen (w->listener, 128) != 0)
    kit_fail ("a worker cannot listen");
  w->born_ms = clock_ms (CLOCK_REALTIME);
  w->seq = 0;
  w->is_up = 1;
  kit_log ("worker %d: id=%s started", w->index, w->id);
  pthread_create (&thread, NULL, run_listener, w);
  pthread_detach (thread);
  if (!is_first)
    return;
  pthread_create (&thread, NULL, run_checkins, w);
  pthread_detach (thread);
}
