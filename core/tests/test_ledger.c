#include <string.h>
#include <apr_general.h>
#include "wl_burn.h"
#include "wl_ledger.h"
#include "wl_sim_system.h"
#include "wl_test.h"

/* Receipts of requests, and the accounting against service-level objectives. */

/* A field that the digest left out could be changed afterwards without a trace. */
START_TEST (a_chain_head_covers_tokens_and_answer)
{
  uint8_t zero[WL_DIGEST_SIZE] = { 0 };
  uint8_t a[WL_DIGEST_SIZE];
  uint8_t b[WL_DIGEST_SIZE];
  WlReceipt r = { .sequence = 1, .request = 2, .tokens = 3 };
  wl_receipt_head (zero, "kiosk", 1, 9, &r, a);
  r.tokens = 4;
  wl_receipt_head (zero, "kiosk", 1, 9, &r, b);
  ck_assert_mem_ne (a, b, sizeof a);
  r.tokens = 3;
  r.answer[31] = 1;
  wl_receipt_head (zero, "kiosk", 1, 9, &r, b);
  ck_assert_mem_ne (a, b, sizeof a);
}
END_TEST

/* Finished and refused requests: a missing receipt would let an entry hide a request. */
START_TEST (every_request_leaves_one_receipt_and_roots_are_committed)
{
  WlSim *sim = sim_system (1, 5, 2, 0);
  for (int i = 0; i < 10; i++)
    sim_request (sim, 4, "llm", 100, 5, "");
  sim_request (sim, 4, "llm", 5000000, 5, "");
  sim_run (sim, 15000000);
  const WlLedger *l = &sim->nodes[4].core->entry->ledger;
  const WlChain *c = wl_ledger_find (l, "a");
  ck_assert_uint_eq (c->count, 11);
  ck_assert_uint_eq (c->rooted_count, 11);
  const WlState *state = sim->nodes[sim_leader (sim)].core->control->state;
  ck_assert_uint_eq (state->n_roots, 1);
  ck_assert_mem_eq (state->roots[0].root, l->root, WL_DIGEST_SIZE);
  sim_finish (sim);
}
END_TEST

/* Receipts must stay at their places while the ring grows and wraps around. */
START_TEST (the_ring_keeps_the_latest_receipts)
{
  WlSettings settings = { .self = { .node = 1 }, .incarnation = 5 };
  WlLedger l = { 0 };
  wl_ledger_init (&l, &settings);
  for (uint64_t i = 1; i <= WL_LEDGER_KEPT_RECEIPTS + 100; i++)
    {
      WlReceipt r = { .request = i };
      wl_ledger_add (&l, "kiosk", &r);
    }
  const WlChain *c = wl_ledger_find (&l, "kiosk");
  for (uint64_t n = c->count - WL_LEDGER_KEPT_RECEIPTS + 1; n <= c->count; n++)
    ck_assert_uint_eq (c->ring[n % c->capacity].request, n);
  wl_ledger_clear (&l);
}
END_TEST

/* Counts of old slots left in the ring would make a burn rate wrong; so would callers' errors. */
START_TEST (burn_windows_count_only_their_own_slots)
{
  WlBurn burn = { 0 };
  uint64_t total = 0;
  uint64_t good = 0;
  wl_burn_init (&burn);
  WlBurnSample sample = { .customer = "kiosk",
                          .service = "llm",
                          .prompt_tokens = 100,
                          .first_token_us = 1000,
                          .outcome = WL_OUTCOME_DONE };
  uint64_t now_us = 100000ULL * WL_BURN_SLOT_US;
  wl_burn_add (&burn, NULL, &sample, now_us);
  sample.first_token_us = 60000000;
  wl_burn_add (&burn, NULL, &sample, now_us + WL_BURN_SLOT_US);
  const WlBurnSeries *s = apr_hash_get (burn.series, "kiosk\nllm\n0", APR_HASH_KEY_STRING);
  wl_burn_window (s, now_us + WL_BURN_SLOT_US, 5, &total, &good);
  ck_assert_uint_eq (total, 2);
  ck_assert_uint_eq (good, 1);
  wl_burn_window (s, now_us + 10ULL * WL_BURN_SLOT_US, 5, &total, &good);
  ck_assert_uint_eq (total, 0);
  wl_burn_window (s, now_us + 10ULL * WL_BURN_SLOT_US, 360, &total, &good);
  ck_assert_uint_eq (total, 2);
  /* A refusal because of a caller's error uses no error budget. */
  sample.outcome = WL_OUTCOME_REFUSED;
  sample.reason = WL_REFUSAL_TOO_LARGE;
  wl_burn_add (&burn, NULL, &sample, now_us + WL_BURN_SLOT_US);
  wl_burn_window (s, now_us + WL_BURN_SLOT_US, 360, &total, &good);
  ck_assert_uint_eq (total, 2);
  sample.reason = WL_REFUSAL_QUEUE_FULL;
  wl_burn_add (&burn, NULL, &sample, now_us + WL_BURN_SLOT_US);
  wl_burn_window (s, now_us + WL_BURN_SLOT_US, 360, &total, &good);
  ck_assert_uint_eq (total, 3);
  wl_burn_clear (&burn);
}
END_TEST

/* Percentiles are read from the bins, so each time must lie between its bin's bounds. */
START_TEST (histogram_bins_bound_their_times)
{
  for (uint64_t us = 1; us < 60000000; us = us * 5 / 4 + 1)
    {
      uint32_t bin = wl_burn_bin (us);
      ck_assert_uint_ge (wl_burn_bin_upper_us (bin), us);
      if (bin > 0)
        ck_assert_uint_lt (wl_burn_bin_upper_us (bin - 1), us);
    }
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (a_chain_head_covers_tokens_and_answer),
    WL_TEST (every_request_leaves_one_receipt_and_roots_are_committed),
    WL_TEST (the_ring_keeps_the_latest_receipts),
    WL_TEST (burn_windows_count_only_their_own_slots),
    WL_TEST (histogram_bins_bound_their_times),
  };
  return wl_test_run ("ledger", tests, sizeof tests / sizeof tests[0]);
}
