#ifndef WL_SIM_SYSTEM_H
#define WL_SIM_SYSTEM_H

#include "wl_sim.h"

/** sim_system() - a running system of 3 control replicas, entries and endpoints */
WlSim *sim_system (uint64_t seed, uint32_t nodes, uint32_t engines, uint32_t plain);

/** sim_owner() - node that has a service's cell open, 0 for none */
uint32_t sim_owner (const WlSim *sim, const char *service);

/** sim_cell() - a service's cell at its owner, NULL for none */
WlCell *sim_cell (const WlSim *sim, const char *service);

/** sim_finish() - asserts that no invariant broke and frees the simulation */
void sim_finish (WlSim *sim);

/** sim_assert_drained() - asserts that every request has ended and no memory is held */
void sim_assert_drained (const WlSim *sim);

#endif
