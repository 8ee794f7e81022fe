#ifndef WL_FLEET_SIM_H
#define WL_FLEET_SIM_H

#include "wl_membership.h"
#include "wl_time_queue.h"

/*
 * The memberships of hundreds of nodes in simulated time, without network.
 * Messages travel encoded, so that bytes are counted as they would be on the
 * wire; they may be lost, links cut, nodes stopped and frozen.
 */

enum
{
  FLEET_SIM_NODES_MAX = 300,
  FLEET_SIM_SEEDS = 3,
  FLEET_SIM_MS = 1000,
  FLEET_SIM_SECOND = 1000000,
};

typedef struct FleetSim FleetSim;

/**
 * struct FleetSimNode - one node
 * @sim: its simulation
 * @m: its membership, NULL while it is stopped
 * @id: node id: its position and 1
 * @boot: drawn at each start
 * @is_up, @is_frozen, @is_ready: its state
 * @n_known: of its status
 * @n_parked: messages and ticks that wait until it is not frozen
 * @sent, @received: bytes of messages with their frames
 * @neighbours: 1 for each node that it has sent a message to
 */
typedef struct
{
  FleetSim *sim;
  WlMembership *m;
  uint32_t id;
  uint64_t boot;
  uint8_t is_up;
  uint8_t is_frozen;
  uint8_t is_ready;
  uint32_t n_known;
  uint32_t n_parked;
  uint64_t sent;
  uint64_t received;
  uint8_t neighbours[FLEET_SIM_NODES_MAX];
} FleetSimNode;

/**
 * struct FleetSim - a fleet; node i is in failure domain i modulo @n_domains
 * @nodes: the nodes, @n_nodes of them; the first of each domain has a disk
 * @queue: messages and ticks to come
 * @parked: those of frozen nodes
 * @now_us: simulated time
 * @random: state of random numbers
 * @loss_percent: messages lost
 * @is_cut: whether messages between two positions are lost, NULL for none
 */
struct FleetSim
{
  FleetSimNode nodes[FLEET_SIM_NODES_MAX];
  uint32_t n_nodes;
  uint32_t n_domains;
  WlTimeQueue *queue;
  WlTimeQueue *parked;
  uint64_t now_us;
  uint64_t random;
  uint32_t loss_percent;
  int (*is_cut) (uint32_t from, uint32_t to);
};

/** fleet_sim_create() - starts nodes that know three seeds */
FleetSim *fleet_sim_create (uint64_t seed, uint32_t n_nodes, uint32_t n_domains);

/** fleet_sim_destroy() - ends all */
void fleet_sim_destroy (FleetSim *sim);

/** fleet_sim_start() - starts a node that is stopped, as a new process */
void fleet_sim_start (FleetSim *sim, uint32_t i);

/** fleet_sim_stop() - kills a node */
void fleet_sim_stop (FleetSim *sim, uint32_t i);

/** fleet_sim_seeds() - ids of the FLEET_SIM_SEEDS nodes that all nodes know from the start */
void fleet_sim_seeds (const FleetSim *sim, uint32_t *out);

/** fleet_sim_run() - lets time pass */
void fleet_sim_run (FleetSim *sim, uint64_t duration_us);

/** fleet_sim_knows() - whether a node sends callers to another one, under its present start */
int fleet_sim_knows (const FleetSim *sim, uint32_t i, uint32_t other);

/** fleet_sim_count_unknown() - pairs of running nodes of which one does not know the other */
uint32_t fleet_sim_count_unknown (const FleetSim *sim);

/** fleet_sim_count_knowing() - running nodes that send callers to a node */
uint32_t fleet_sim_count_knowing (const FleetSim *sim, uint32_t other);

/** fleet_sim_endpoint() - registration of an endpoint */
WlEndpointRecord fleet_sim_endpoint (const FleetSim *sim, uint32_t i, uint64_t sequence);

/** fleet_sim_restore() - a node that has just started has endpoints 0 to @n_endpoints - 1 in its
 * file */
void fleet_sim_restore (FleetSim *sim, uint32_t i, uint32_t n_endpoints, uint64_t sequence);

/** fleet_sim_count_usable() - running nodes that may give work to an endpoint */
uint32_t fleet_sim_count_usable (const FleetSim *sim, const char *id);

/** fleet_sim_register_all() - endpoints register, each at some node of its failure domain */
void fleet_sim_register_all (FleetSim *sim, uint32_t n_endpoints, uint64_t sequence);

/** fleet_sim_count_using() - running nodes that give work to an endpoint without doubt */
uint32_t fleet_sim_count_using (const FleetSim *sim, const char *id);

#endif
