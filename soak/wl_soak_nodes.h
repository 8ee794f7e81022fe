#ifndef WL_SOAK_NODES_H
#define WL_SOAK_NODES_H

#include "wl_soak.h"

/*
 * The processes of the nodes. scripts/soak.sh starts them and keeps in a
 * folder, for node N, node-N.pid with the process id while it runs, and
 * node-N.exits with a line "PID STATUS" for each exit. It starts a node no
 * more when there is node-N.gone, and empties its disk when there is
 * node-N.wipe; new nodes are asked for on file descriptor WL_SOAK_COMMANDS.
 */

enum
{
  WL_SOAK_COMMANDS = 3,
};

/**
 * struct WlSoakStop - a SIGTERM and what followed
 * @killed_us: of SIGKILL, after grace_s or instead of SIGTERM
 * @is_kill: SIGKILL instead
 */
typedef struct
{
  uint32_t node;
  uint64_t term_us;
  uint64_t exited_us;
  uint64_t killed_us;
  uint8_t is_kill;
} WlSoakStop;

void wl_soak_nodes_open (WlSoak *soak);

/**
 * wl_soak_nodes_plan() - plans the signals of a run
 * @seed: determines them
 * @begin_us: begin of the run
 * @on_config: called for a new configuration
 * @on_kill_all: called when all nodes are killed
 */
void wl_soak_nodes_plan (uint64_t seed, uint64_t begin_us, void (*on_config) (void *data),
                         void (*on_kill_all) (void *data), void *data);

/**
 * wl_soak_nodes_tick() - notes starts and exits, sends the signals that are due, kills what is
 * there after grace_s
 */
void wl_soak_nodes_tick (uint64_t now_us);

/** wl_soak_nodes_is_calm() - whether a node runs since @calm_us or longer and is not stopped */
int wl_soak_nodes_is_calm (uint32_t node, uint64_t now_us, uint64_t calm_us);

/** wl_soak_nodes_is_core_stable() - whether nothing happened to a node with a disk for some time */
int wl_soak_nodes_is_core_stable (uint64_t now_us, uint64_t stable_us);

/** wl_soak_nodes_report() - prints what the nodes used, judges it and their starts */
void wl_soak_nodes_report (void);

/** wl_soak_nodes_is_stopping() - whether any node is */
int wl_soak_nodes_is_stopping (void);

/**
 * wl_soak_nodes_find_stop() - the stop around a request, NULL if there is none
 * @connected_us: when its connection was opened, to the process that was stopped
 */
const WlSoakStop *wl_soak_nodes_find_stop (uint32_t node, uint64_t connected_us, uint64_t end_us);

/** wl_soak_nodes_at() - stops in the order of their SIGTERM, NULL at the end */
const WlSoakStop *wl_soak_nodes_at (uint32_t index);

void wl_soak_nodes_close (void);

#endif
