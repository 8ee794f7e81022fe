#include <string.h>
#include "wl_load_coverage.h"

enum
{
  /* Complete with the reports of COVERED / COVERED_OF of the live nodes. */
  COVERED = 3,
  COVERED_OF = 4,
};

void
wl_load_coverage_init (WlLoadCoverage *coverage, uint64_t now_us)
{
  memset (coverage, 0, sizeof *coverage);
  coverage->started_us = now_us;
  coverage->is_partial = 1;
}

void
wl_load_coverage_note (WlLoadCoverage *coverage, uint32_t node, uint64_t boot)
{
  uint32_t i = 0;
  while (i < coverage->n_sources && coverage->sources[i].node != node)
    i++;
  if (i == WL_ROSTER_MAX)
    return;
  if (i == coverage->n_sources)
    coverage->n_sources++;
  coverage->sources[i] = (WlLoadSource){ node, boot };
}

int
wl_load_coverage_has (const WlLoadCoverage *coverage, const WlRosterNode *node)
{
  for (uint32_t i = 0; i < coverage->n_sources; i++)
    if (coverage->sources[i].node == node->status.node)
      return coverage->sources[i].boot == node->status.boot;
  return 0;
}

/* Whether the load of all failure domains is reported to each node. */
static int
is_load_global (const WlMembership *membership, uint64_t now_us)
{
  return wl_roster_count_alive (membership->roster, now_us) < WL_VIEW_GLOBAL_LOAD_NODES_MAX;
}

static int
is_complete (const WlLoadCoverage *coverage, const WlMembership *membership, uint64_t now_us)
{
  const WlRoster *roster = membership->roster;
  int is_global = is_load_global (membership, now_us);
  uint32_t n_expected = 0;
  uint32_t n_covered = 0;
  for (uint32_t i = 0; i < roster->n_nodes; i++)
    {
      const WlRosterNode *r = &roster->nodes[i];
      if (!wl_roster_is_alive (r, now_us)
          || (!is_global && !wl_membership_is_load_peer (membership, r)))
        continue;
      n_expected++;
      n_covered += (uint32_t)wl_load_coverage_has (coverage, r);
    }
  if (n_expected == 0)
    return roster->n_nodes == 0;
  return COVERED_OF * n_covered >= COVERED * n_expected;
}

int
wl_load_coverage_update (WlLoadCoverage *coverage, const WlMembership *membership, uint64_t now_us)
{
  if (now_us >= coverage->started_us + WL_LOAD_COVERAGE_START_US)
    coverage->is_partial = 0;
  else
    coverage->is_partial = (uint8_t)!is_complete (coverage, membership, now_us);
  if (!coverage->is_partial && coverage->complete_us == 0)
    coverage->complete_us = now_us;
  return coverage->is_partial;
}

uint32_t
wl_load_coverage_ask (WlLoadCoverage *coverage, const WlMembership *membership, uint64_t now_us,
                      uint32_t *out)
{
  const WlView *view = membership->view;
  if (!coverage->is_partial || wl_view_is_mesh (view) || !is_load_global (membership, now_us)
      || now_us < coverage->asked_us + WL_LOAD_COVERAGE_ASK_INTERVAL_US)
    return 0;
  coverage->asked_us = now_us;
  uint32_t n = wl_view_relays (view, view->self.domain, now_us, out, 1);
  if (n == 1 && out[0] == view->self.node)
    n = wl_view_remote_relays (view, now_us, out, WL_VIEW_CONTACTS_MAX);
  return n;
}
