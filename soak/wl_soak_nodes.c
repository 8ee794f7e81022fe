#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include "wl_soak_nodes.h"

enum
{
  POLL_INTERVAL_US = 20000,
  AFTER_GRACE_US = 1000000, /* planned work lasts so long after grace_s */
  STOPS_MAX = 4096,
};

typedef struct
{
  int pid;
  WlSoakStop *stop; /* of this process */
} Node;

static const char *folder;
static uint32_t n_nodes;
static uint64_t grace_us;
static Node nodes[WL_SOAK_NODES_MAX];
static WlSoakStop *stops[STOPS_MAX];
static uint32_t n_stops;
static uint32_t n_failures;
static uint64_t poll_us;

void
wl_soak_nodes_open (const char *path, uint32_t n, uint64_t grace)
{
  folder = path;
  n_nodes = n;
  grace_us = grace;
}

static int
read_pid (uint32_t node)
{
  char path[512];
  int pid = 0;
  snprintf (path, sizeof path, "%s/node-%u.pid", folder, node);
  FILE *f = fopen (path, "r");
  if (f == NULL)
    return 0;
  if (fscanf (f, "%d", &pid) != 1)
    pid = 0;
  fclose (f);
  return pid;
}

/* Returns -1 when the exit is not listed. */
static int
read_exit_status (uint32_t node, int pid)
{
  char path[512];
  int listed;
  int status;
  int found = -1;
  snprintf (path, sizeof path, "%s/node-%u.exits", folder, node);
  FILE *f = fopen (path, "r");
  if (f == NULL)
    return -1;
  while (fscanf (f, "%d %d", &listed, &status) == 2)
    if (listed == pid)
      found = status;
  fclose (f);
  return found;
}

static void
note_exit (uint32_t number, uint64_t now_us)
{
  Node *node = &nodes[number];
  int status = read_exit_status (number, node->pid);
  if (node->stop == NULL)
    {
      printf ("broken: node %u exited by itself, status %d\n", number, status);
      n_failures++;
      return;
    }
  node->stop->exited_us = now_us;
  if (status == 0 || node->stop->killed_us != 0)
    return;
  printf ("broken: node %u exited with status %d after SIGTERM\n", number, status);
  n_failures++;
}

void
wl_soak_nodes_tick (uint64_t now_us)
{
  if (now_us < poll_us)
    return;
  poll_us = now_us + POLL_INTERVAL_US;
  for (uint32_t i = 0; i < n_nodes; i++)
    {
      Node *node = &nodes[i];
      int pid = read_pid (i);
      if (node->pid != 0 && pid != node->pid)
        note_exit (i, now_us);
      if (pid != node->pid)
        *node = (Node){ .pid = pid };
      if (node->stop == NULL || node->stop->killed_us != 0
          || now_us < node->stop->term_us + grace_us)
        continue;
      kill (node->pid, SIGKILL);
      node->stop->killed_us = now_us;
      printf ("broken: node %u was there at grace_s and was killed\n", i);
      n_failures++;
    }
}

int
wl_soak_nodes_stop (uint32_t number, uint64_t now_us)
{
  Node *node = &nodes[number];
  WlSoakStop *stop;
  if (node->pid == 0 || node->stop != NULL || n_stops == STOPS_MAX
      || kill (node->pid, SIGTERM) != 0)
    return 0;
  stop = calloc (1, sizeof *stop);
  if (stop == NULL)
    abort ();
  *stop = (WlSoakStop){ .node = number, .pid = node->pid, .term_us = now_us };
  stops[n_stops++] = stop;
  node->stop = stop;
  return 1;
}

int
wl_soak_nodes_signal (uint32_t number, int signal)
{
  return nodes[number].pid != 0 && kill (nodes[number].pid, signal) == 0;
}

int
wl_soak_nodes_is_stopping (void)
{
  for (uint32_t i = 0; i < n_nodes; i++)
    if (nodes[i].stop != NULL)
      return 1;
  return 0;
}

const WlSoakStop *
wl_soak_nodes_find_stop (uint32_t node, uint64_t begin_us, uint64_t end_us)
{
  for (uint32_t i = n_stops; i-- > 0;)
    if (stops[i]->node == node && stops[i]->term_us <= end_us
        && begin_us <= stops[i]->term_us + grace_us + AFTER_GRACE_US)
      return stops[i];
  return NULL;
}

const WlSoakStop *
wl_soak_nodes_at (uint32_t index)
{
  return index < n_stops ? stops[index] : NULL;
}

uint32_t
wl_soak_nodes_failures (void)
{
  return n_failures;
}

void
wl_soak_nodes_close (void)
{
  for (uint32_t i = 0; i < n_stops; i++)
    free (stops[i]);
  n_stops = 0;
}
