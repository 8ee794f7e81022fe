#include <apr_general.h>
#include "wl_load.h"
#include "wl_test.h"

/* Items that outlive their request, or are counted twice, would keep requests from an endpoint. */

static WlWorkItem
work_item (uint64_t id, WlWorkPhase phase)
{
  return (WlWorkItem){ .id = id,
                       .endpoint = 7,
                       .phase = (uint8_t)phase,
                       .kv_tokens = 1000,
                       .prefill_tokens = 800,
                       .prefill_us = 40000,
                       .gap_ms = 250 };
}

static void
apply_item (WlLoad *l, uint32_t node, uint64_t boot, uint64_t id, WlWorkPhase phase,
            uint64_t now_us)
{
  WlWorkItem n = work_item (id, phase);
  wl_load_apply (l, node, boot, &n, now_us);
}

START_TEST (the_items_of_all_nodes_add_up_until_they_end)
{
  WlLoad *l = wl_load_create ();
  apply_item (l, 1, 1, 1, WL_WORK_SENT, 1000);
  apply_item (l, 2, 1, 1, WL_WORK_SENT, 1000);
  apply_item (l, 2, 1, 1, WL_WORK_SENT, 1000); /* a duplicate */
  WlLoadSum s = wl_load_sum (l, 7, 1000);
  ck_assert_uint_eq (s.n_items, 2);
  ck_assert_uint_eq (s.backlog_us, 80000);
  ck_assert_uint_eq (s.kv_tokens, 2000);
  apply_item (l, 1, 1, 1, WL_WORK_DECODING, 41000);
  s = wl_load_sum (l, 7, 41000);
  ck_assert_uint_eq (s.decodes, 1);
  ck_assert_uint_eq (s.decode_context, 1000);
  ck_assert_uint_eq (s.min_gap_us, 250000);
  apply_item (l, 1, 1, 1, WL_WORK_ENDED, 50000);
  apply_item (l, 2, 1, 1, WL_WORK_ENDED, 50000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 50000).n_items, 0);
  wl_load_destroy (l);
}
END_TEST

/* Guards against a backlog that does not exist: a report that was repeated after a later one. */
START_TEST (an_item_does_not_go_back_to_prefill)
{
  WlLoad *l = wl_load_create ();
  WlWorkItem sent = work_item (1, WL_WORK_SENT);
  apply_item (l, 1, 1, 1, WL_WORK_SENT, 1000);
  apply_item (l, 1, 1, 1, WL_WORK_DECODING, 41000);
  ck_assert (wl_load_apply (l, 1, 1, &sent, 42000) <= 0.0);
  WlLoadSum s = wl_load_sum (l, 7, 42000);
  ck_assert_uint_eq (s.n_items, 1);
  ck_assert_uint_eq (s.decodes, 1);
  ck_assert_uint_eq (s.backlog_us, 0);
  wl_load_destroy (l);
}
END_TEST

START_TEST (the_backlog_shrinks_by_the_prefill_done)
{
  WlLoad *l = wl_load_create ();
  apply_item (l, 1, 1, 1, WL_WORK_SENT, 1000);
  apply_item (l, 1, 1, 2, WL_WORK_SENT, 2000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 11000).backlog_us, 70000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 11000).backlog_tokens, 1400);
  /* However late the head is, the prefill of the next prompt is still to be done. */
  ck_assert_uint_eq (wl_load_sum (l, 7, 900000).backlog_us, 40000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 900000).prefill_us, 80000);
  wl_load_destroy (l);
}
END_TEST

/* In a burst of split prompts a helper prefills the parts that it has before whole prompts. */
START_TEST (parts_of_split_prompts_are_counted_separately)
{
  WlLoad *l = wl_load_create ();
  WlWorkItem part = work_item (2, WL_WORK_SENT);
  part.is_helper_part = 1;
  apply_item (l, 1, 1, 1, WL_WORK_SENT, 1000);
  wl_load_apply (l, 2, 1, &part, 1000);
  WlLoadSum s = wl_load_sum (l, 7, 1000);
  ck_assert_uint_eq (s.backlog_us, 80000);
  ck_assert_uint_eq (s.part_us, 40000);
  ck_assert_uint_eq (s.part_tokens, 800);
  wl_load_destroy (l);
}
END_TEST

START_TEST (the_items_of_a_lost_or_restarted_node_are_dropped)
{
  WlLoad *l = wl_load_create ();
  apply_item (l, 1, 1, 1, WL_WORK_SENT, 1000);
  apply_item (l, 1, 2, 1, WL_WORK_SENT, 1000);
  apply_item (l, 2, 1, 1, WL_WORK_SENT, 1000);
  wl_load_drop_node (l, 1, 2, 2000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 2000).n_items, 2);
  wl_load_drop_node (l, 1, 0, 2000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 2000).n_items, 1);
  wl_load_expire (l, 2000 + WL_LOAD_EXPIRY_US);
  ck_assert_uint_eq (wl_load_sum (l, 7, 2000).n_items, 0);
  wl_load_destroy (l);
}
END_TEST

START_TEST (a_full_report_ends_the_items_that_it_does_not_list)
{
  WlLoad *l = wl_load_create ();
  WlWorkItem listed[4];
  for (uint64_t work = 1; work <= 3; work++)
    apply_item (l, 1, 1, work, WL_WORK_SENT, 1000);
  apply_item (l, 2, 1, 9, WL_WORK_SENT, 1000);
  ck_assert_uint_eq (wl_load_list (l, 1, listed, 4), 3);
  WlWorkItem kept = work_item (2, WL_WORK_DECODING);
  WlLoadReport full = { .boot = 1, .is_full = 1, .items = &kept, .n_items = 1 };
  wl_load_apply_full (l, 1, &full, 2000);
  WlLoadSum s = wl_load_sum (l, 7, 2000);
  ck_assert_uint_eq (s.n_items, 2);
  ck_assert_uint_eq (s.decodes, 1);
  full.boot = 2;
  wl_load_apply_full (l, 1, &full, 3000);
  ck_assert_uint_eq (wl_load_sum (l, 7, 3000).n_items, 2);
  wl_load_destroy (l);
}
END_TEST

/* Guards against memory that grows with each endpoint that there ever was. */
START_TEST (an_endpoint_without_work_takes_no_memory)
{
  WlLoad *l = wl_load_create ();
  apply_item (l, 1, 1, 1, WL_WORK_SENT, 1000);
  wl_load_expire (l, 1000);
  ck_assert_ptr_nonnull (wl_load_queue (l, 7));
  apply_item (l, 1, 1, 1, WL_WORK_ENDED, 2000);
  wl_load_expire (l, 2000);
  ck_assert_ptr_null (wl_load_queue (l, 7));
  apply_item (l, 1, 1, 2, WL_WORK_ENDED, 3000); /* of a request that this node never heard of */
  ck_assert_ptr_null (wl_load_queue (l, 7));
  wl_load_destroy (l);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (the_items_of_all_nodes_add_up_until_they_end),
    WL_TEST (an_item_does_not_go_back_to_prefill),
    WL_TEST (the_backlog_shrinks_by_the_prefill_done),
    WL_TEST (a_full_report_ends_the_items_that_it_does_not_list),
    WL_TEST (parts_of_split_prompts_are_counted_separately),
    WL_TEST (an_endpoint_without_work_takes_no_memory),
    WL_TEST (the_items_of_a_lost_or_restarted_node_are_dropped),
  };
  apr_initialize ();
  return wl_test_run ("load", tests, sizeof tests / sizeof tests[0]);
}
