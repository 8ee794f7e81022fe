#include <stdio.h>
#include <string.h>
#include <sodium.h>
#include "wl_ledger.h"
#include "wl_test.h"
#include "wl_verify.h"

/* Verification of exported receipts: every kind of tampering is caught. */

static json_t *
hex (const uint8_t *digest)
{
  char text[2 * WL_DIGEST_SIZE + 1];
  sodium_bin2hex (text, sizeof text, digest, WL_DIGEST_SIZE);
  return json_string (text);
}

static json_t *
make_export (int n)
{
  uint8_t head[WL_DIGEST_SIZE] = { 0 };
  uint8_t leaf[WL_DIGEST_SIZE];
  uint8_t root[WL_DIGEST_SIZE];
  json_t *list = json_array ();
  for (int i = 1; i <= n; i++)
    {
      WlReceipt r = { .sequence = (uint64_t)i,
                      .request = (uint64_t)(100 + i),
                      .tokens = 7,
                      .outcome = (uint8_t)(i % 5 == 0 ? WL_OUTCOME_REFUSED : WL_OUTCOME_DONE) };
      if (i % 5 == 0)
        r.tokens = 0;
      wl_receipt_head (head, "kiosk", 3, 0xabc, &r, r.head);
      memcpy (head, r.head, sizeof head);
      json_array_append_new (
          list,
          json_pack ("{s:i,s:o,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:i,s:o,s:o}", "sequence", i, "request",
                     json_sprintf ("%016x", 100 + i), "admitted_us", 0, "ended_us", 0, "outcome",
                     r.outcome, "run", 0, "reason", 0, "dispatched", 0, "prompt_tokens", 0,
                     "tokens", (int)r.tokens, "answer", hex (r.answer), "head", hex (r.head)));
    }
  wl_ledger_leaf ("kiosk", (uint64_t)n, head, leaf);
  crypto_generichash (root, sizeof root, leaf, sizeof leaf, NULL, 0);
  return json_pack ("{s:[{s:i,s:s,s:s,s:i,s:i,s:i,s:o,s:[o]}],s:[{s:i,s:s,s:i,s:o}]}", "chains",
                    "entry", 3, "incarnation", "abc", "customer", "kiosk", "count", n,
                    "rooted_count", n, "root_sequence", 1, "receipts", list, "leaves", hex (leaf),
                    "roots", "entry", 3, "incarnation", "abc", "sequence", 1, "root", hex (root));
}

static json_t *
receipts_of (json_t *export)
{
  return json_object_get (json_array_get (json_object_get (export, "chains"), 0), "receipts");
}

static void
assert_caught (json_t *export, const char *place)
{
  WlVerified v;
  ck_assert (!wl_verify_export (export, &v));
  ck_assert_msg (strstr (v.problem, place) != NULL, "%s", v.problem);
  json_decref (export);
}

START_TEST (an_untouched_export_verifies)
{
  json_t *e = make_export (20);
  WlVerified v;
  ck_assert_msg (wl_verify_export (e, &v), "%s", v.problem);
  ck_assert_uint_eq (v.receipts, 20);
  ck_assert_uint_eq (v.finished, 16);
  ck_assert_uint_eq (v.refused, 4);
  ck_assert_uint_eq (v.rooted, 1);
  json_decref (e);
}
END_TEST

START_TEST (altered_dropped_repeated_and_swapped_receipts_are_caught)
{
  json_t *e = make_export (20);
  json_object_set_new (json_array_get (receipts_of (e), 6), "tokens", json_integer (8));
  assert_caught (e, "receipt 7: was altered");

  e = make_export (20);
  json_array_remove (receipts_of (e), 4);
  assert_caught (e, "receipt 5: is missing");

  e = make_export (20);
  json_array_remove (receipts_of (e), 19);
  assert_caught (e, "receipt 20: is missing at the end");

  e = make_export (20);
  json_array_insert (receipts_of (e), 3, json_array_get (receipts_of (e), 2));
  assert_caught (e, "is repeated or out of order");

  e = make_export (20);
  json_t *moved = json_incref (json_array_get (receipts_of (e), 9));
  json_array_remove (receipts_of (e), 9);
  json_array_insert_new (receipts_of (e), 11, moved);
  assert_caught (e, "receipt 10: is missing");
}
END_TEST

START_TEST (a_rewritten_chain_contradicts_the_committed_root)
{
  json_t *e = make_export (20);
  json_t *other = make_export (20);
  json_t *chain = json_array_get (json_object_get (e, "chains"), 0);
  uint8_t zero[WL_DIGEST_SIZE] = { 0 };
  json_t *root = json_array_get (json_object_get (e, "roots"), 0);
  json_object_set_new (root, "root", hex (zero));
  json_object_set (chain, "receipts", receipts_of (other));
  assert_caught (e, "the committed root differs");
  json_decref (other);
}
END_TEST

START_TEST (one_request_with_two_receipts_is_caught)
{
  json_t *e = make_export (5);
  json_t *second = json_deep_copy (json_array_get (json_object_get (e, "chains"), 0));
  json_array_append_new (json_object_get (e, "chains"), second);
  assert_caught (e, "has two receipts");
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (an_untouched_export_verifies),
    WL_TEST (altered_dropped_repeated_and_swapped_receipts_are_caught),
    WL_TEST (a_rewritten_chain_contradicts_the_committed_root),
    WL_TEST (one_request_with_two_receipts_is_caught),
  };
  return wl_test_run ("verify", tests, sizeof tests / sizeof tests[0]);
}
