#ifndef WL_SOAK_NODES_H
#define WL_SOAK_NODES_H

#include <stdint.h>

/*
 * The processes of the nodes. scripts/soak.sh starts them and keeps in a
 * folder, for node N, node-N.pid with the process id while it runs, and
 * node-N.exits with a line "PID STATUS" for each exit.
 */

enum
{
  WL_SOAK_NODES_MAX = 16,
};

/** struct WlSoakStop - a SIGTERM and what followed; @killed_us is that of SIGKILL after grace_s */
typedef struct
{
  uint32_t node;
  int pid;
  uint64_t term_us;
  uint64_t exited_us;
  uint64_t killed_us;
} WlSoakStop;

/** wl_soak_nodes_open() - @n nodes with their files in @path, which must remain valid */
void wl_soak_nodes_open (const char *path, uint32_t n, uint64_t grace);

/** wl_soak_nodes_tick() - notes starts and exits, kills what is there after grace_s */
void wl_soak_nodes_tick (uint64_t now_us);

/** wl_soak_nodes_stop() - sends SIGTERM; 0 when the node does not run or is stopping */
int wl_soak_nodes_stop (uint32_t number, uint64_t now_us);

/** wl_soak_nodes_signal() - sends another signal; 0 when the node does not run */
int wl_soak_nodes_signal (uint32_t number, int signal);

/** wl_soak_nodes_is_stopping() - whether any node is */
int wl_soak_nodes_is_stopping (void);

/** wl_soak_nodes_find_stop() - latest stop of @node that lies around a request, NULL if none does
 */
const WlSoakStop *wl_soak_nodes_find_stop (uint32_t node, uint64_t begin_us, uint64_t end_us);

/** wl_soak_nodes_at() - stops in the order of their SIGTERM, NULL at the end */
const WlSoakStop *wl_soak_nodes_at (uint32_t index);

/** wl_soak_nodes_failures() - broken promises of processes; each was printed */
uint32_t wl_soak_nodes_failures (void);

void wl_soak_nodes_close (void);

#endif
