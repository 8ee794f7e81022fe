#include <apr_general.h>
#include "wl_load.h"
#include "wl_test.h"

static WlWorkNote
work_item (uint64_t work, WlWorkPhase phase)
{
  return (WlWorkNote){ .work = work,
                       .endpoint = 7,
                       .phase = (uint8_t)phase,
                       .memory = 1000,
                       .reads = 800,
                       .read_us = 40000,
                       .gap_ms = 250 };
}

static void
apply (WlLoad *l, uint32_t node, uint64_t boot, uint64_t work, WlWorkPhase phase, uint64_t now_us)
{
  WlWorkNote n = work_item (work, phase);
  wl_load_note (l, node, boot, &n, now_us);
}

START_TEST (work_of_all_nodes_adds_up_and_ends)
{
  WlLoad *l = wl_load_create ();
  apply (l, 1, 1, 1, WL_WORK_SENT, 1000);
  apply (l, 2, 1, 1, WL_WORK_SENT, 1000);
  apply (l, 2, 1, 1, WL_WORK_SENT, 1000); /* repeated */
  WlLoadSum s = wl_load_sum (l, 7, 1000);
  ck_assert_uint_eq (s.n_items, 2);
  ck_assert_uint_eq (s.backlog_us, 80000);
  ck_assert_uint_eq (s.memory, 2000);
  apply (l, 1, 1, 1, WL_WORK_WRITING, 41000);
  s = wl_load_sum (l, 7, 41000);
  ck_assert_uint_eq (s.writers, 1);
  ck_assert_uint_eq (s.context, 1000);
  ck_assert_uint_eq (s.min_gap_us, 250000);
  apply (l, 1, 1, 1, WL_WORK_ENDED, 50000);
  apply (l, 2, 1, 1, WL_WORK_ENDED, 50000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 50000).n_items, 0);
  wl_load_destroy (l);
}
END_TEST

START_TEST (what_has_been_read_so_far_is_taken_off)
{
  WlLoad *l = wl_load_create ();
  apply (l, 1, 1, 1, WL_WORK_SENT, 1000);
  apply (l, 1, 1, 2, WL_WORK_SENT, 2000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 11000).backlog_us, 70000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 11000).backlog_tokens, 1400);
  /* However late the head is, the one behind it is still to be read. */
  ck_assert_uint_eq (wl_load_sum (l, 7, 900000).backlog_us, 40000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 900000).reading_us, 80000);
  wl_load_destroy (l);
}
END_TEST

/* A burst of divided prompts: a helper reads the parts it has before whole prompts. */
START_TEST (parts_of_divided_prompts_are_counted_apart)
{
  WlLoad *l = wl_load_create ();
  WlWorkNote part = work_item (2, WL_WORK_SENT);
  part.is_part = 1;
  apply (l, 1, 1, 1, WL_WORK_SENT, 1000);
  wl_load_note (l, 2, 1, &part, 1000);
  WlLoadSum s = wl_load_sum (l, 7, 1000);
  ck_assert_uint_eq (s.backlog_us, 80000);
  ck_assert_uint_eq (s.parts_us, 40000);
  ck_assert_uint_eq (s.parts, 800);
  wl_load_destroy (l);
}
END_TEST

START_TEST (a_lost_or_restarted_node_leaves_no_work)
{
  WlLoad *l = wl_load_create ();
  apply (l, 1, 1, 1, WL_WORK_SENT, 1000);
  apply (l, 1, 2, 1, WL_WORK_SENT, 1000);
  apply (l, 2, 1, 1, WL_WORK_SENT, 1000);
  wl_load_drop_node (l, 1, 2, 2000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 2000).n_items, 2);
  wl_load_drop_node (l, 1, 0, 2000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 2000).n_items, 1);
  wl_load_expire (l, 2000 + WL_LOAD_EXPIRY_US);
  ck_assert_uint_eq (wl_load_sum (l, 7, 2000).n_items, 0);
  wl_load_destroy (l);
}
END_TEST

START_TEST (a_whole_list_ends_what_is_not_in_it)
{
  WlLoad *l = wl_load_create ();
  WlWorkNote listed[4];
  for (uint64_t work = 1; work <= 3; work++)
    apply (l, 1, 1, work, WL_WORK_SENT, 1000);
  apply (l, 2, 1, 9, WL_WORK_SENT, 1000);
  ck_assert_uint_eq (wl_load_list (l, 1, listed, 4), 3);
  WlWorkNote kept = work_item (2, WL_WORK_WRITING);
  WlWork whole = { .boot = 1, .is_whole = 1, .notes = &kept, .n_notes = 1 };
  wl_load_take_whole (l, 1, &whole, 2000);
  WlLoadSum s = wl_load_sum (l, 7, 2000);
  ck_assert_uint_eq (s.n_items, 2);
  ck_assert_uint_eq (s.writers, 1);
  whole.boot = 2;
  wl_load_take_whole (l, 1, &whole, 3000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 3000).n_items, 2);
  wl_load_destroy (l);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (work_of_all_nodes_adds_up_and_ends),
    WL_TEST (what_has_been_read_so_far_is_taken_off),
    WL_TEST (a_whole_list_ends_what_is_not_in_it),
    WL_TEST (parts_of_divided_prompts_are_counted_apart),
    WL_TEST (a_lost_or_restarted_node_leaves_no_work),
  };
  apr_initialize ();
  return wl_test_run ("load", tests, sizeof tests / sizeof tests[0]);
}
