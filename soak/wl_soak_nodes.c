#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include "wl_soak_nodes.h"

enum
{
  POLL_INTERVAL_US = 20000,
  STOPS_MAX = 4096,
  ACTIONS_MAX = 4096,
  FIRST_STEP_US = 3000000,
  STARTED_MIN_US = 1000000,
  CYCLE_MIN_MS = 12000, /* from a node's SIGTERM until it is back and has served a while */
  CYCLE_MAX_MS = 18000,
  APART_MAX = 6, /* nodes that may be stopped within a cycle */
};

typedef struct
{
  int pid; /* 0 while it does not run */
  uint64_t started_us;
  WlSoakStop *stop; /* of this process */
} Node;

/* A signal or, where it is 0, a new configuration. */
typedef struct
{
  int signal;
  uint8_t has_new_settings;
  uint32_t node;
  uint64_t at_us;
} Action;

static const WlSoakOptions *options;
static Node nodes[WL_SOAK_NODES_MAX];
static WlSoakStop *stops[STOPS_MAX];
static uint32_t n_stops;
static uint64_t poll_us;
static Action actions[ACTIONS_MAX];
static uint32_t n_actions;
static void (*change_config) (void *data);
static void *config_data;

void
wl_soak_nodes_open (const WlSoak *soak)
{
  options = &soak->options;
}

static int
read_pid (uint32_t node)
{
  char path[512];
  int pid = 0;
  snprintf (path, sizeof path, "%s/node-%u.pid", options->folder, node);
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
  snprintf (path, sizeof path, "%s/node-%u.exits", options->folder, node);
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
      wl_soak_broken ("node %u exited by itself, status %d", number, status);
      return;
    }
  node->stop->exited_us = now_us;
  if (status == 0 || node->stop->killed_us != 0)
    return;
  wl_soak_broken ("node %u exited with status %d after SIGTERM", number, status);
}

static WlSoakStop *
add_stop (uint32_t number, uint64_t now_us)
{
  WlSoakStop *stop = n_stops < STOPS_MAX ? calloc (1, sizeof *stop) : NULL;
  if (stop == NULL)
    abort ();
  *stop = (WlSoakStop){ .node = number, .term_us = now_us };
  stops[n_stops++] = stop;
  return stop;
}

/* A changed settings file holds the same settings and a field that nodes do not know. */
static void
change_settings (uint32_t node)
{
  char path[512];
  snprintf (path, sizeof path, "%s/node-%u.yaml", options->folder, node);
  FILE *f = fopen (path, "a");
  if (f == NULL)
    return;
  fprintf (f, "field_%u: 1\n", n_stops);
  fclose (f);
}

static void
act (const Action *action, uint64_t now_us)
{
  Node *node = &nodes[action->node];
  if (action->signal == 0)
    change_config (config_data);
  /* A process that has just begun may not handle signals yet. */
  if (action->signal == 0 || node->pid == 0 || now_us < node->started_us + STARTED_MIN_US)
    return;
  if (action->has_new_settings)
    change_settings (action->node);
  if (kill (node->pid, action->signal) == 0 && action->signal == SIGTERM && node->stop == NULL)
    node->stop = add_stop (action->node, now_us);
}

static void
add_action (int signal, int has_new_settings, uint32_t node, uint64_t at_us)
{
  if (n_actions < ACTIONS_MAX)
    actions[n_actions++]
        = (Action){ signal, (uint8_t)has_new_settings, node % options->n_nodes, at_us };
}

/* The series of a step with what goes on beside it, which is not a stop of all nodes. */
static uint32_t
add_beside (uint64_t *random, uint32_t series)
{
  if (options->beside == 0)
    return series;
  for (uint32_t bit = 1; bit < WL_SOAK_ALL_SERIES; bit *= 2)
    if (bit != WL_SOAK_ALL && wl_soak_between (random, 0, 99) < options->beside)
      series |= bit & options->series;
  return series;
}

/* Adds one step of the plan, @series as bits; returns the nodes that it stops. */
static uint32_t
plan_step (uint64_t *random, uint32_t series, uint32_t node, uint64_t at_us)
{
  uint64_t near_us = at_us + wl_soak_between (random, 0, 1500) * 1000u - 500000;
  uint32_t n = series & WL_SOAK_ALL ? options->n_nodes : series & WL_SOAK_TWO ? 2 : 1;
  uint32_t gap_ms = n == 2 ? 300 : 2000;
  for (uint32_t i = 0; i < n; i++)
    {
      add_action (SIGTERM, 0, node + i, at_us);
      at_us += wl_soak_between (random, 0, gap_ms) * 1000u;
    }
  if (series & WL_SOAK_TERM)
    add_action (SIGTERM, 0, node, at_us + wl_soak_between (random, 1, 6000) * 1000u);
  if (series & (WL_SOAK_HUP | WL_SOAK_SETTINGS))
    add_action (SIGHUP, (series & WL_SOAK_SETTINGS) != 0, node, near_us);
  if (series & WL_SOAK_CONFIG)
    add_action (0, 0, node, near_us);
  return n;
}

void
wl_soak_nodes_plan (uint64_t seed, uint64_t begin_us, void (*on_config) (void *data), void *data)
{
  uint64_t random = seed;
  uint64_t end_us = begin_us + (uint64_t)options->seconds * 1000000;
  uint64_t at_us = begin_us + FIRST_STEP_US;
  uint32_t n_apart = options->n_nodes < APART_MAX ? options->n_nodes : APART_MAX;
  uint32_t node = 0;
  change_config = on_config;
  config_data = data;
  while (at_us < end_us && options->series != 0)
    {
      uint32_t series = 1u << wl_soak_between (&random, 0, 6);
      if ((series & options->series) == 0)
        continue;
      uint32_t n = plan_step (&random, add_beside (&random, series), node, at_us);
      node += n;
      at_us += n * (uint64_t)wl_soak_between (&random, CYCLE_MIN_MS, CYCLE_MAX_MS) * 1000 / n_apart;
    }
}

static void
act_when_due (uint64_t now_us)
{
  for (uint32_t i = 0; i < n_actions; i++)
    if (actions[i].at_us <= now_us)
      {
        act (&actions[i], now_us);
        actions[i].at_us = UINT64_MAX;
      }
}

void
wl_soak_nodes_tick (uint64_t now_us)
{
  act_when_due (now_us);
  if (now_us < poll_us)
    return;
  poll_us = now_us + POLL_INTERVAL_US;
  for (uint32_t i = 0; i < options->n_nodes; i++)
    {
      Node *node = &nodes[i];
      int pid = read_pid (i);
      if (node->pid != 0 && pid != node->pid)
        note_exit (i, now_us);
      if (pid != node->pid)
        *node = (Node){ .pid = pid, .started_us = now_us };
      if (node->stop == NULL || node->stop->killed_us != 0
          || now_us < node->stop->term_us + WL_SOAK_GRACE_US)
        continue;
      kill (node->pid, SIGKILL);
      node->stop->killed_us = now_us;
      wl_soak_broken ("node %u was there at grace_s and was killed", i);
    }
}

int
wl_soak_nodes_is_calm (uint32_t node, uint64_t now_us, uint64_t calm_us)
{
  const Node *n = &nodes[node];
  return n->pid != 0 && n->stop == NULL && now_us >= n->started_us + calm_us;
}

int
wl_soak_nodes_is_stopping (void)
{
  for (uint32_t i = 0; i < options->n_nodes; i++)
    if (nodes[i].stop != NULL)
      return 1;
  return 0;
}

const WlSoakStop *
wl_soak_nodes_find_stop (uint32_t node, uint64_t connected_us, uint64_t end_us)
{
  for (uint32_t i = n_stops; i-- > 0;)
    if (stops[i]->node == node && stops[i]->term_us <= end_us
        && (stops[i]->exited_us == 0 || connected_us <= stops[i]->exited_us))
      return stops[i];
  return NULL;
}

const WlSoakStop *
wl_soak_nodes_at (uint32_t index)
{
  return index < n_stops ? stops[index] : NULL;
}

void
wl_soak_nodes_close (void)
{
  for (uint32_t i = 0; i < n_stops; i++)
    free (stops[i]);
  n_stops = 0;
}
