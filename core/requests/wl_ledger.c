#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sodium.h>
#include "wl_ledger.h"
#include "wl_table.h"

enum
{
  RING_MIN_RECEIPTS = 64,
};

void
wl_ledger_init (WlLedger *ledger, const WlSettings *settings)
{
  apr_pool_create (&ledger->pool, NULL);
  ledger->chains = wl_table_create (ledger->pool);
  ledger->node = settings->self.node;
  ledger->incarnation = settings->incarnation;
}

void
wl_ledger_clear (WlLedger *ledger)
{
  for (uint32_t i = 0; i < ledger->n_chains; i++)
    {
      free (ledger->chain_list[i]->ring);
      free (ledger->chain_list[i]);
    }
  apr_pool_destroy (ledger->pool);
}

const WlChain *
wl_ledger_find (const WlLedger *ledger, const char *customer)
{
  return apr_hash_get (ledger->chains, customer, APR_HASH_KEY_STRING);
}

static WlChain *
get_chain (WlLedger *ledger, const char *customer)
{
  WlChain *c = apr_hash_get (ledger->chains, customer, APR_HASH_KEY_STRING);
  if (c != NULL || ledger->n_chains == WL_LEDGER_CHAINS_MAX)
    return c;
  c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  strncpy (c->customer, customer, sizeof c->customer - 1);
  apr_hash_set (ledger->chains, c->customer, APR_HASH_KEY_STRING, c);
  ledger->chain_list[ledger->n_chains++] = c;
  return c;
}

void
wl_receipt_head (const uint8_t *previous, const char *customer, uint32_t node, uint64_t incarnation,
                 const WlReceipt *receipt, uint8_t *out)
{
  char line[512];
  crypto_generichash_state hash;
  int n = snprintf (line, sizeof line, "%s %u %lu %lu %lu %lu %lu %u %u %u %u %lu %lu ", customer,
                    node, (unsigned long)incarnation, (unsigned long)receipt->sequence,
                    (unsigned long)receipt->request, (unsigned long)receipt->admitted_us,
                    (unsigned long)receipt->ended_us, receipt->outcome, receipt->run,
                    receipt->reason, receipt->dispatched, (unsigned long)receipt->prompt_tokens,
                    (unsigned long)receipt->tokens);
  crypto_generichash_init (&hash, NULL, 0, WL_DIGEST_SIZE);
  crypto_generichash_update (&hash, previous, WL_DIGEST_SIZE);
  crypto_generichash_update (&hash, (const unsigned char *)line, (unsigned long long)n);
  crypto_generichash_update (&hash, receipt->answer, WL_DIGEST_SIZE);
  crypto_generichash_final (&hash, out, WL_DIGEST_SIZE);
}

/* The ring grows by doubling, so that a customer with few requests needs little memory. */
static void
grow_ring (WlChain *c)
{
  if (c->count + 1 < c->capacity || c->capacity == WL_LEDGER_KEPT_RECEIPTS)
    return;
  uint32_t capacity = c->capacity > 0 ? 2 * c->capacity : RING_MIN_RECEIPTS;
  WlReceipt *ring = calloc (capacity, sizeof *ring);
  if (ring == NULL)
    abort ();
  if (c->capacity > 0)
    memcpy (ring, c->ring, c->capacity * sizeof *ring);
  free (c->ring);
  c->ring = ring;
  c->capacity = capacity;
}

void
wl_ledger_add (WlLedger *ledger, const char *customer, WlReceipt *receipt)
{
  WlChain *c = get_chain (ledger, customer);
  if (c == NULL)
    return;
  grow_ring (c);
  receipt->sequence = ++c->count;
  wl_receipt_head (c->head, customer, ledger->node, ledger->incarnation, receipt, receipt->head);
  memcpy (c->head, receipt->head, WL_DIGEST_SIZE);
  c->ring[receipt->sequence % c->capacity] = *receipt;
  ledger->receipts++;
}

void
wl_ledger_leaf (const char *customer, uint64_t count, const uint8_t *head, uint8_t *out)
{
  char line[WL_LABEL_SIZE + 32];
  crypto_generichash_state hash;
  int n = snprintf (line, sizeof line, "%s %lu ", customer, (unsigned long)count);
  crypto_generichash_init (&hash, NULL, 0, WL_DIGEST_SIZE);
  crypto_generichash_update (&hash, (const unsigned char *)line, (unsigned long long)n);
  crypto_generichash_update (&hash, head, WL_DIGEST_SIZE);
  crypto_generichash_final (&hash, out, WL_DIGEST_SIZE);
}

static void
update_root (WlLedger *ledger)
{
  crypto_generichash_state hash;
  crypto_generichash_init (&hash, NULL, 0, WL_DIGEST_SIZE);
  for (uint32_t i = 0; i < ledger->n_chains; i++)
    {
      uint8_t leaf[WL_DIGEST_SIZE];
      WlChain *c = ledger->chain_list[i];
      c->rooted_count = c->count;
      memcpy (c->rooted_head, c->head, WL_DIGEST_SIZE);
      wl_ledger_leaf (c->customer, c->count, c->head, leaf);
      crypto_generichash_update (&hash, leaf, sizeof leaf);
    }
  crypto_generichash_final (&hash, ledger->root, WL_DIGEST_SIZE);
  ledger->rooted_chains = ledger->n_chains;
  ledger->rooted_receipts = ledger->receipts;
  ledger->roots++;
}

void
wl_ledger_tick (WlLedger *ledger, uint32_t control, uint64_t now_us, WlEffects *fx)
{
  if (now_us < ledger->next_root_us || control == 0 || ledger->receipts == 0)
    return;
  ledger->next_root_us = now_us + WL_LEDGER_ROOT_INTERVAL_US;
  /* An unchanged root is sent again: the previous message may have been lost. */
  if (ledger->receipts != ledger->rooted_receipts)
    update_root (ledger);
  WlMessage m = { .kind = WL_MESSAGE_ROOT };
  WlReceiptRoot *root = &m.u.root.root;
  memcpy (root->root, ledger->root, WL_DIGEST_SIZE);
  root->node = ledger->node;
  root->incarnation = ledger->incarnation;
  root->sequence = ledger->roots;
  root->receipts = ledger->rooted_receipts;
  wl_effects_send (fx, control, &m);
}
