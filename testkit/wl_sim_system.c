#include <check.h>
#include "wl_sim_system.h"

WlSim *
sim_system (uint64_t seed, uint32_t nodes, uint32_t engines, uint32_t plain)
{
  WlSim *sim = sim_create (seed, nodes, 3);
  sim_start_all (sim);
  sim_run (sim, 4000000);
  for (uint32_t i = 0; i < engines; i++)
    sim_add_endpoint (sim, "llm", 0);
  for (uint32_t i = 0; i < plain; i++)
    sim_add_endpoint (sim, "app", 1);
  const WlSubmitReply *r = sim_submit_until_answered (sim, nodes, 0, sim_text (1));
  ck_assert_ptr_nonnull (r);
  ck_assert_int_eq (r->outcome, WL_SUBMIT_ACCEPTED);
  sim_run (sim, 4000000);
  ck_assert_uint_ne (sim_owner (sim, "llm"), 0);
  return sim;
}

uint32_t
sim_owner (const WlSim *sim, const char *service)
{
  for (uint32_t i = 1; i <= sim->n_nodes; i++)
    if (sim->nodes[i].is_up && !sim->nodes[i].is_frozen
        && wl_core_find_cell (sim->nodes[i].core, service, 0) != NULL)
      return i;
  return 0;
}

WlCell *
sim_cell (const WlSim *sim, const char *service)
{
  uint32_t owner = sim_owner (sim, service);
  return owner != 0 ? wl_core_find_cell (sim->nodes[owner].core, service, 0) : NULL;
}

void
sim_finish (WlSim *sim)
{
  ck_assert_msg (sim->broken == NULL, "%s", sim->broken);
  sim_destroy (sim);
}

void
sim_assert_drained (const WlSim *sim)
{
  for (uint32_t i = 0; i < sim->n_requests; i++)
    ck_assert_msg (sim->requests[i].ends == 1 || sim->requests[i].node_died,
                   "request %u of %u has %u ends", i, sim->n_requests, sim->requests[i].ends);
  for (uint32_t i = 0; i < sim->n_endpoints; i++)
    ck_assert_msg (sim_kv_used (sim, i) == 0, "endpoint %s holds %lu tokens",
                   sim->endpoints[i].name, (unsigned long)sim_kv_used (sim, i));
  const WlCell *c = sim_cell (sim, "llm");
  ck_assert_ptr_nonnull (c);
  ck_assert_uint_eq (apr_hash_count (c->grants), 0);
}
