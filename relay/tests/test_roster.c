#include <string.h>
#include "wl_roster.h"
#include "wl_test.h"

/* Statuses that arrive late or reordered must not send callers to a node that drains or is lost. */

static WlNodeStatus
status (uint32_t node, uint64_t boot, uint64_t sequence)
{
  WlNodeStatus s = { .node = node, .boot = boot, .sequence = sequence, .is_ready = 1 };
  return s;
}

START_TEST (a_status_adds_the_nodes_that_it_names)
{
  WlRoster *r = wl_roster_create (1);
  WlNodeId known[] = { { 1 }, { 3 }, { 4 } };
  WlNodeStatus s = status (2, 9, 1);
  s.peers = known;
  s.n_peers = 3;
  ck_assert (wl_roster_apply_status (r, &s, 1000));
  ck_assert_uint_eq (r->n_nodes, 3);
  ck_assert_ptr_null (wl_roster_find (r, 1));
  ck_assert (!wl_roster_is_alive (wl_roster_find (r, 3), 1000));
  wl_roster_destroy (r);
}
END_TEST

START_TEST (a_reordered_status_is_ignored)
{
  WlRoster *r = wl_roster_create (1);
  WlNodeStatus draining = status (2, 9, 7);
  WlNodeStatus late = status (2, 9, 6);
  WlNodeStatus restarted = status (2, 10, 1);
  draining.is_draining = 1;
  wl_roster_apply_status (r, &draining, 1000);
  ck_assert (!wl_roster_apply_status (r, &late, 1000));
  ck_assert (!wl_roster_accepts_requests (wl_roster_find (r, 2), 1000));
  ck_assert (wl_roster_apply_status (r, &restarted, 1000));
  ck_assert (wl_roster_accepts_requests (wl_roster_find (r, 2), 1000));
  wl_roster_destroy (r);
}
END_TEST

START_TEST (nodes_without_contact_get_no_callers_and_expire)
{
  WlRoster *r = wl_roster_create (1);
  WlNodeStatus s = status (2, 9, 1);
  wl_roster_apply_status (r, &s, 1000);
  ck_assert (!wl_roster_accepts_requests (wl_roster_find (r, 2), 1000 + WL_ROSTER_TIMEOUT_US));
  wl_roster_expire (r, 1000 + WL_ROSTER_EXPIRY_US);
  ck_assert_uint_eq (r->n_nodes, 1);
  wl_roster_expire (r, 1001 + WL_ROSTER_EXPIRY_US);
  ck_assert_uint_eq (r->n_nodes, 0);
  wl_roster_destroy (r);
}
END_TEST

START_TEST (a_leader_that_names_itself_outweighs_other_nodes)
{
  WlRoster *r = wl_roster_create (1);
  WlNodeStatus follower = status (2, 9, 1);
  WlNodeStatus leader = status (3, 9, 1);
  follower.has_disk = leader.has_disk = 1;
  follower.leader = 4;
  leader.leader = 3;
  wl_roster_apply_status (r, &leader, 1000);
  wl_roster_apply_status (r, &follower, 2000);
  ck_assert_uint_eq (wl_roster_leader (r, 0, 2000), 3);
  ck_assert_uint_eq (wl_roster_leader (r, 0, 1000 + WL_ROSTER_TIMEOUT_US), 4);
  wl_roster_destroy (r);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_status_adds_the_nodes_that_it_names),
    WL_TEST (a_reordered_status_is_ignored),
    WL_TEST (nodes_without_contact_get_no_callers_and_expire),
    WL_TEST (a_leader_that_names_itself_outweighs_other_nodes),
  };
  return wl_test_run ("roster", tests, sizeof tests / sizeof tests[0]);
}
