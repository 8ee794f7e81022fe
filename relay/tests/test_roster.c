#include <string.h>
#include "wl_roster.h"
#include "wl_test.h"

static WlNodeStatus
status (uint32_t node, uint64_t boot, uint64_t sequence)
{
  WlNodeStatus s = { .node = node, .boot = boot, .sequence = sequence, .is_ready = 1 };
  return s;
}

START_TEST (statuses_name_further_nodes)
{
  WlRoster *r = wl_roster_create (1);
  WlNodeId known[] = { { 1 }, { 3 }, { 4 } };
  WlNodeStatus s = status (2, 9, 1);
  s.known = known;
  s.n_known = 3;
  ck_assert (wl_roster_apply_status (r, &s, 1000));
  ck_assert_uint_eq (r->n_nodes, 3);
  ck_assert_ptr_null (wl_roster_find (r, 1));
  ck_assert (!wl_roster_is_alive (wl_roster_find (r, 3), 1000));
  wl_roster_destroy (r);
}
END_TEST

START_TEST (reordered_statuses_are_not_taken)
{
  WlRoster *r = wl_roster_create (1);
  WlNodeStatus draining = status (2, 9, 7);
  WlNodeStatus late = status (2, 9, 6);
  WlNodeStatus restarted = status (2, 10, 1);
  draining.is_draining = 1;
  wl_roster_apply_status (r, &draining, 1000);
  ck_assert (!wl_roster_apply_status (r, &late, 1000));
  ck_assert (!wl_roster_takes_requests (wl_roster_find (r, 2), 1000));
  ck_assert (wl_roster_apply_status (r, &restarted, 1000));
  ck_assert (wl_roster_takes_requests (wl_roster_find (r, 2), 1000));
  wl_roster_destroy (r);
}
END_TEST

START_TEST (silent_nodes_are_left_out_and_then_forgotten)
{
  WlRoster *r = wl_roster_create (1);
  WlNodeStatus s = status (2, 9, 1);
  wl_roster_apply_status (r, &s, 1000);
  ck_assert (!wl_roster_takes_requests (wl_roster_find (r, 2), 1000 + WL_ROSTER_TIMEOUT_US));
  wl_roster_expire (r, 1000 + WL_ROSTER_EXPIRY_US);
  ck_assert_uint_eq (r->n_nodes, 1);
  wl_roster_expire (r, 1001 + WL_ROSTER_EXPIRY_US);
  ck_assert_uint_eq (r->n_nodes, 0);
  wl_roster_destroy (r);
}
END_TEST

START_TEST (a_leader_that_names_itself_counts_most)
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
    WL_TEST (statuses_name_further_nodes),
    WL_TEST (reordered_statuses_are_not_taken),
    WL_TEST (silent_nodes_are_left_out_and_then_forgotten),
    WL_TEST (a_leader_that_names_itself_counts_most),
  };
  return wl_test_run ("roster", tests, sizeof tests / sizeof tests[0]);
}
