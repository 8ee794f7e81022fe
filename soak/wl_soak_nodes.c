#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include "wl_clock.h"
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
  FIRST_KILL_SERIES = 7,
  LAST_SERIES = 9,
  READY_US = 10000000, /* of a first start */
  SAMPLE_INTERVAL_US = 1000000,
  COMMAND_SIZE = 256,
};

typedef struct
{
  int pid; /* 0 while it does not run */
  uint64_t started_us;
  WlSoakStop *stop; /* of this process */
  uint64_t first_us;
  uint64_t ready_us;
  uint32_t resident_kb;
  uint64_t resident_us; /* when that was seen first */
  uint8_t is_gone;
  uint8_t has_disk;
  uint8_t is_asked; /* whether it is ready */
} Node;

/* A signal or, where it is 0, a new configuration. */
typedef struct
{
  int signal;
  uint8_t has_new_settings;
  uint8_t is_for_core;
  uint8_t is_for_all;
  uint32_t node;
  uint64_t at_us;
} Action;

static WlSoak *run;
static WlSoakOptions *options;
static Node nodes[WL_SOAK_NODES_MAX];
static WlSoakStop *stops[STOPS_MAX];
static uint32_t n_stops;
static uint64_t poll_us;
static Action actions[ACTIONS_MAX];
static uint32_t n_actions;
static void (*change_config) (void *data);
static void (*end_endpoints) (void *data);
static void *config_data;
static uint64_t core_us; /* when something last happened to a node with a disk */
static uint64_t sample_us;
static uint64_t changes; /* state of random numbers of changes of the fleet */
static uint64_t replace_us;
static uint64_t add_us;
static uint64_t wipe_us;

void
wl_soak_nodes_open (WlSoak *soak)
{
  run = soak;
  options = &soak->options;
  for (uint32_t i = 0; i < options->n_nodes && i < options->n_disks; i++)
    nodes[i].has_disk = 1;
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
  if (node->has_disk)
    core_us = now_us;
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
  if (nodes[number].has_disk)
    core_us = now_us;
  return stop;
}

static void
kill_node (uint32_t number, uint64_t now_us)
{
  Node *node = &nodes[number];
  if (node->pid == 0 || node->stop != NULL || kill (node->pid, SIGKILL) != 0)
    return;
  node->stop = add_stop (number, now_us);
  node->stop->killed_us = now_us;
  node->stop->is_kill = 1;
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
  if (action->signal == SIGKILL)
    {
      for (uint32_t i = 0; i < options->n_nodes; i++)
        if (action->is_for_all || (action->is_for_core && nodes[i].has_disk) || i == action->node)
          kill_node (i, now_us);
      if (action->is_for_all)
        end_endpoints (config_data);
      return;
    }
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
    actions[n_actions++] = (Action){ .signal = signal,
                                     .has_new_settings = (uint8_t)has_new_settings,
                                     .node = node % options->n_nodes,
                                     .at_us = at_us };
}

static void
add_kill (uint32_t series, uint32_t node, uint64_t at_us)
{
  add_action (SIGKILL, 0, node, at_us);
  actions[n_actions - 1].is_for_core = (series & WL_SOAK_KILL_CORE) != 0;
  actions[n_actions - 1].is_for_all = (series & WL_SOAK_KILL_ALL) != 0;
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
  if (series & WL_SOAK_ALL_KILLS)
    {
      add_kill (series, node, at_us);
      return 1;
    }
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
wl_soak_nodes_plan (uint64_t seed, uint64_t begin_us, void (*on_config) (void *data),
                    void (*on_kill_all) (void *data), void *data)
{
  uint64_t random = seed;
  uint64_t end_us = begin_us + (uint64_t)options->seconds * 1000000;
  uint64_t at_us = begin_us + FIRST_STEP_US;
  uint32_t n_apart = options->n_nodes < APART_MAX ? options->n_nodes : APART_MAX;
  uint32_t node = 0;
  uint32_t last = options->series > WL_SOAK_ALL_SERIES ? LAST_SERIES : FIRST_KILL_SERIES - 1;
  change_config = on_config;
  end_endpoints = on_kill_all;
  changes = seed;
  replace_us = begin_us + options->replace_every_ms * UINT64_C (500);
  wipe_us = begin_us + options->wipe_every_ms * UINT64_C (1000);
  add_us = begin_us + options->add_every_ms * UINT64_C (1000);
  config_data = data;
  if (options->kill_all_at_s != 0)
    add_kill (WL_SOAK_KILL_ALL, 0, begin_us + (uint64_t)options->kill_all_at_s * 1000000);
  while (at_us < end_us && options->series != 0)
    {
      uint32_t series = 1u << wl_soak_between (&random, 0, last);
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

/* ---- changes of the fleet ---- */

static void
mark (uint32_t node, const char *what)
{
  char path[512];
  snprintf (path, sizeof path, "%s/node-%u.%s", options->folder, node, what);
  FILE *f = fopen (path, "w");
  if (f == NULL)
    wl_soak_broken ("%s cannot be written", path);
  else
    fclose (f);
}

/* Writes the verb and three nodes with a disk, the operator's list. */
static void
command (const char *verb)
{
  char line[COMMAND_SIZE];
  int used = snprintf (line, sizeof line, "%s", verb);
  uint32_t n = 0;
  uint32_t first = wl_soak_between (&changes, 0, options->n_nodes - 1);
  for (uint32_t i = 0; i < options->n_nodes && n < 3; i++)
    {
      uint32_t node = (first + i) % options->n_nodes;
      if (!nodes[node].has_disk || nodes[node].is_gone)
        continue;
      used += snprintf (line + used, sizeof line - (size_t)used, " %u", node);
      n++;
    }
  line[used++] = '\n';
  if (write (WL_SOAK_COMMANDS, line, (size_t)used) != used)
    wl_soak_broken ("a node cannot be started");
}

static void
add_node (int has_disk, uint64_t now_us)
{
  char verb[COMMAND_SIZE];
  uint32_t number = options->n_nodes;
  if (number == WL_SOAK_NODES_MAX)
    return;
  snprintf (verb, sizeof verb, "start %u %d", number, has_disk);
  command (verb);
  nodes[number] = (Node){ .has_disk = (uint8_t)has_disk };
  options->n_nodes++;
  if (has_disk)
    core_us = now_us;
  printf ("added: node=%u disk=%d at=%.3f\n", number, has_disk,
          (double)(now_us - run->begin_us) / 1e6);
}

/* Returns a running node with a disk that is not being stopped, n_nodes when there is none. */
static uint32_t
choose_core (void)
{
  uint32_t first = wl_soak_between (&changes, 0, options->n_nodes - 1);
  for (uint32_t i = 0; i < options->n_nodes; i++)
    {
      const Node *n = &nodes[(first + i) % options->n_nodes];
      if (n->has_disk && !n->is_gone && n->pid != 0 && n->stop == NULL)
        return (first + i) % options->n_nodes;
    }
  return options->n_nodes;
}

static void
replace_node (uint64_t now_us)
{
  uint32_t old = choose_core ();
  int is_kill = (int)wl_soak_between (&changes, 0, 1);
  int is_listed = (int)wl_soak_between (&changes, 0, 1);
  if (old == options->n_nodes)
    return;
  printf ("removed: node=%u signal=%d at=%.3f\n", old, is_kill ? SIGKILL : SIGTERM,
          (double)(now_us - run->begin_us) / 1e6);
  mark (old, "gone");
  nodes[old].is_gone = 1;
  if (is_kill)
    kill_node (old, now_us);
  else if (kill (nodes[old].pid, SIGTERM) == 0)
    nodes[old].stop = add_stop (old, now_us);
  add_node (1, now_us);
  if (is_listed)
    command ("seeds");
}

static void
wipe_node (uint64_t now_us)
{
  uint32_t node = choose_core ();
  if (node == options->n_nodes)
    return;
  printf ("wiped: node=%u at=%.3f\n", node, (double)(now_us - run->begin_us) / 1e6);
  mark (node, "wipe");
  kill_node (node, now_us);
}

static void
change_fleet (uint64_t now_us)
{
  uint64_t end_us = run->begin_us + (uint64_t)options->seconds * 1000000;
  if (run->begin_us == 0 || now_us >= end_us)
    return;
  if (options->replace_every_ms > 0 && now_us >= replace_us)
    {
      replace_us += options->replace_every_ms * UINT64_C (1000);
      replace_node (now_us);
    }
  if (options->wipe_every_ms > 0 && now_us >= wipe_us)
    {
      wipe_us += options->wipe_every_ms * UINT64_C (1000);
      wipe_node (now_us);
    }
  if (options->add_every_ms > 0 && now_us >= add_us)
    {
      add_us += options->add_every_ms * UINT64_C (1000);
      add_node (0, now_us);
    }
}

/* ---- what the nodes use and when they are ready ---- */

static void
sample_memory (Node *node, uint64_t now_us)
{
  char path[64];
  char line[128];
  uint32_t kb = 0;
  snprintf (path, sizeof path, "/proc/%d/status", node->pid);
  FILE *f = fopen (path, "r");
  if (f == NULL)
    return;
  while (fgets (line, sizeof line, f) != NULL)
    if (sscanf (line, "VmHWM: %u", &kb) == 1 && kb > node->resident_kb)
      {
        node->resident_kb = kb;
        node->resident_us = now_us;
      }
  fclose (f);
}

static void
on_ready (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  Node *node = data;
  (void)call;
  node->is_asked = 0;
  if (result->status == 200 && node->ready_us == 0)
    node->ready_us = wl_clock_now_us ();
}

static void
sample (uint64_t now_us)
{
  if (now_us < sample_us)
    return;
  for (uint32_t i = 0; i < options->n_nodes; i++)
    {
      Node *node = &nodes[i];
      if (node->pid == 0)
        continue;
      sample_memory (node, now_us);
      if (node->ready_us != 0 || node->is_asked || node->is_gone)
        continue;
      node->is_asked = 1;
      wl_soak_call (run, i, WL_SOAK_READY_PORT, "/api/readiness", "", NULL, on_ready, node);
    }
  sample_us = now_us + SAMPLE_INTERVAL_US;
}

/* From its start until its first ready answer, until @now_us if there was none. */
static uint64_t
unready_us (const Node *node, uint64_t now_us)
{
  return (node->ready_us != 0 ? node->ready_us : now_us) - node->first_us;
}

void
wl_soak_nodes_report (void)
{
  uint32_t highest[2] = { 0, 0 };
  uint64_t slowest_us = 0;
  for (uint32_t i = 0; i < options->n_nodes; i++)
    {
      const Node *n = &nodes[i];
      if (n->resident_kb > highest[n->has_disk])
        highest[n->has_disk] = n->resident_kb;
      if (options->resident_mb > 0 && n->resident_kb > options->resident_mb * 1024)
        wl_soak_broken ("node %u had %u KB of memory at %.3f", i, n->resident_kb,
                        ((double)n->resident_us - (double)run->begin_us) / 1e6);
      if (n->first_us == 0 || n->is_gone)
        continue;
      uint64_t us = unready_us (n, wl_clock_now_us ());
      slowest_us = us > slowest_us ? us : slowest_us;
      if (us > READY_US)
        wl_soak_broken ("node %u was not ready %.1f s after its first start", i, (double)us / 1e6);
    }
  printf ("highest memory: %u KB with a disk, %u KB without; slowest first start: %.1f s\n",
          highest[1], highest[0], (double)slowest_us / 1e6);
}

void
wl_soak_nodes_tick (uint64_t now_us)
{
  act_when_due (now_us);
  change_fleet (now_us);
  sample (now_us);
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
        {
          node->pid = pid;
          node->started_us = now_us;
          node->stop = NULL;
          if (node->ready_us == 0)
            node->first_us = now_us;
          if (node->has_disk)
            core_us = now_us;
        }
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
wl_soak_nodes_is_core_stable (uint64_t now_us, uint64_t stable_us)
{
  return now_us >= core_us + stable_us;
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
