#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "wl_ledger.h"
#include "wl_verify.h"

typedef struct
{
  const char *customer;
  uint32_t entry;
  uint64_t incarnation;
  uint64_t count;
  uint64_t rooted_count;
  uint8_t rooted_head[WL_DIGEST_SIZE];
  int has_rooted_head;
} Chain;

static const char *
text (const json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));
  return s != NULL ? s : "";
}

static uint64_t
number (const json_t *o, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (o, key));
}

static int
read_digest (const json_t *o, const char *key, uint8_t *out)
{
  size_t n = 0;
  const char *s = text (o, key);
  return sodium_hex2bin (out, WL_DIGEST_SIZE, s, strlen (s), NULL, &n, NULL) == 0
         && n == WL_DIGEST_SIZE;
}

static int
read_receipt (const json_t *o, WlReceipt *out)
{
  memset (out, 0, sizeof *out);
  out->sequence = number (o, "sequence");
  out->request = strtoull (text (o, "request"), NULL, 16);
  out->admitted_us = number (o, "admitted_us");
  out->ended_us = number (o, "ended_us");
  out->outcome = (uint8_t)number (o, "outcome");
  out->run = (uint8_t)number (o, "run");
  out->reason = (uint8_t)number (o, "reason");
  out->dispatched = (uint32_t)number (o, "dispatched");
  out->prompt_tokens = number (o, "prompt_tokens");
  out->tokens = number (o, "tokens");
  return read_digest (o, "answer", out->answer) && read_digest (o, "head", out->head);
}

static int
complain (WlVerified *v, const Chain *c, uint64_t sequence, const char *what)
{
  snprintf (v->problem, sizeof v->problem, "entry %u, receipt %" PRIu64 ": %s", c->entry, sequence,
            what);
  return 0;
}

static int
count_receipt (WlVerified *v, const Chain *c, const WlReceipt *r)
{
  v->receipts++;
  switch ((WlOutcome)r->outcome)
    {
    case WL_OUTCOME_DONE:
    case WL_OUTCOME_REPLAYED:
      v->finished++;
      break;
    case WL_OUTCOME_FAILED:
      v->failed++;
      break;
    case WL_OUTCOME_REFUSED:
    case WL_OUTCOME_NO_SERVICE:
    case WL_OUTCOME_KEY_REQUIRED:
      v->refused++;
      break;
    default:
      return complain (v, c, r->sequence, "unknown outcome");
    }
  if (r->outcome == WL_OUTCOME_REFUSED && r->run == WL_RUN_NOT_RUN && r->tokens > 0)
    return complain (v, c, r->sequence, "refused as not run, but output was delivered");
  return 1;
}

/* The first receipt of an export may follow older ones that are no longer kept. */
static int
check_chain_receipts (WlVerified *v, Chain *c, const json_t *list)
{
  uint8_t previous[WL_DIGEST_SIZE] = { 0 };
  uint8_t expected[WL_DIGEST_SIZE];
  size_t i;
  const json_t *item;
  uint64_t last = 0;
  json_array_foreach (list, i, item)
  {
    WlReceipt r;
    if (!read_receipt (item, &r))
      return complain (v, c, last + 1, "cannot be read");
    if (i > 0 && r.sequence != last + 1)
      return complain (v, c, last + 1,
                       r.sequence <= last ? "is repeated or out of order" : "is missing");
    if (i > 0 || r.sequence == 1)
      {
        wl_receipt_head (previous, c->customer, c->entry, c->incarnation, &r, expected);
        if (memcmp (expected, r.head, sizeof expected) != 0)
          return complain (v, c, r.sequence, "was altered");
      }
    if (!count_receipt (v, c, &r))
      return 0;
    memcpy (previous, r.head, sizeof previous);
    last = r.sequence;
    if (r.sequence != c->rooted_count)
      continue;
    memcpy (c->rooted_head, r.head, sizeof r.head);
    c->has_rooted_head = 1;
  }
  if (last != c->count)
    return complain (v, c, last + 1, "is missing at the end");
  return 1;
}

static const json_t *
find_root (const json_t *roots, const Chain *c)
{
  size_t i;
  const json_t *r;
  json_array_foreach (roots, i, r) if (number (r, "entry") == c->entry
                                       && strtoull (text (r, "incarnation"), NULL, 16)
                                              == c->incarnation) return r;
  return NULL;
}

static int
leaf_is_listed (const json_t *leaves, const uint8_t *leaf)
{
  char hex[2 * WL_DIGEST_SIZE + 1];
  size_t i;
  const json_t *item;
  sodium_bin2hex (hex, sizeof hex, leaf, WL_DIGEST_SIZE);
  json_array_foreach (leaves, i, item) if (strcmp (json_string_value (item), hex) == 0) return 1;
  return 0;
}

static int
hash_leaves (const json_t *leaves, uint8_t *out)
{
  crypto_generichash_state hash;
  size_t i;
  const json_t *item;
  crypto_generichash_init (&hash, NULL, 0, WL_DIGEST_SIZE);
  json_array_foreach (leaves, i, item)
  {
    uint8_t leaf[WL_DIGEST_SIZE];
    const char *s = json_string_value (item);
    if (s == NULL || sodium_hex2bin (leaf, sizeof leaf, s, strlen (s), NULL, NULL, NULL) != 0)
      return 0;
    crypto_generichash_update (&hash, leaf, sizeof leaf);
  }
  crypto_generichash_final (&hash, out, WL_DIGEST_SIZE);
  return 1;
}

/* Compares the chain with the root that the control group has committed. */
static int
check_root (WlVerified *v, const Chain *c, const json_t *chain, const json_t *roots)
{
  uint8_t leaf[WL_DIGEST_SIZE];
  uint8_t computed[WL_DIGEST_SIZE];
  uint8_t committed[WL_DIGEST_SIZE];
  const json_t *root = find_root (roots, c);
  if (root == NULL || number (root, "sequence") != number (chain, "root_sequence"))
    return 1;
  if (c->rooted_count == 0 || !c->has_rooted_head)
    return 1;
  wl_ledger_leaf (c->customer, c->rooted_count, c->rooted_head, leaf);
  if (!leaf_is_listed (json_object_get (chain, "leaves"), leaf))
    return complain (v, c, c->rooted_count, "is not covered by the committed root");
  if (!hash_leaves (json_object_get (chain, "leaves"), computed)
      || !read_digest (root, "root", committed)
      || memcmp (computed, committed, sizeof computed) != 0)
    return complain (v, c, c->rooted_count, "the committed root differs");
  v->rooted++;
  return 1;
}

static int
request_is_repeated (const json_t *chains, const char **found)
{
  json_t *seen = json_object ();
  size_t i;
  size_t k;
  const json_t *chain;
  const json_t *item;
  int repeated = 0;
  json_array_foreach (chains, i, chain)
  {
    json_array_foreach (json_object_get (chain, "receipts"), k, item)
    {
      const char *id = text (item, "request");
      if (json_object_get (seen, id) != NULL && !repeated)
        {
          repeated = 1;
          *found = id;
        }
      json_object_set_new (seen, id, json_true ());
    }
  }
  json_decref (seen);
  return repeated;
}

int
wl_verify_export (const json_t *root, WlVerified *out)
{
  const json_t *chains = json_object_get (root, "chains");
  size_t i;
  const json_t *chain;
  const char *id = NULL;
  memset (out, 0, sizeof *out);
  if (!json_is_array (chains))
    {
      snprintf (out->problem, sizeof out->problem, "not an export of receipts");
      return 0;
    }
  json_array_foreach (chains, i, chain)
  {
    Chain c = {
      .customer = text (chain, "customer"),
      .entry = (uint32_t)number (chain, "entry"),
      .incarnation = strtoull (text (chain, "incarnation"), NULL, 16),
      .count = number (chain, "count"),
      .rooted_count = number (chain, "rooted_count"),
    };
    out->chains++;
    if (!check_chain_receipts (out, &c, json_object_get (chain, "receipts")))
      return 0;
    if (!check_root (out, &c, chain, json_object_get (root, "roots")))
      return 0;
  }
  if (request_is_repeated (chains, &id))
    {
      snprintf (out->problem, sizeof out->problem, "request %s has two receipts", id);
      return 0;
    }
  return 1;
}
