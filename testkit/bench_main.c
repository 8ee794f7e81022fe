#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <apr_general.h>
#include <malloc.h>
#include "wl_accounts.h"
#include "wl_core.h"
#include "wl_delta.h"
#include "wl_events.h"
#include "wl_prefix.h"
#include "wl_queue.h"
#include "wl_sim.h"
#include "wl_table.h"

/*
 * Benchmarks of the reducer: cost of a decision, of a renewal and of state, as
 * slopes for docs/CAPACITY.md. Wall clock of this process only; no network.
 */

static double
seconds (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static uint64_t
heap_bytes (void)
{
  struct mallinfo2 m = mallinfo2 ();
  return (uint64_t)(m.uordblks + m.hblkhd);
}

/* ---- placement ---- */

static WlServices *
parse (const char *text)
{
  WlFindings findings = { 0 };
  WlServices *s = NULL;
  wl_services_parse (text, strlen (text), &findings, &s);
  wl_findings_clear (&findings);
  return s;
}

static void
report_endpoint (WlCell *cell, uint32_t i, uint64_t sequence, int is_weighed, uint64_t now_us,
                 WlEffects *fx)
{
  WlPrefixHash cached = { i + 1000000, 256 };
  WlLoadedModel loaded = { "m", "1" };
  WlEndpointReport r = { .endpoint = wl_hash_ids (i, 77),
                         .incarnation = 1,
                         .sequence = sequence,
                         .port = 1000 + i,
                         .kv_capacity = 400000,
                         .slots = 32 };
  snprintf (r.name, sizeof r.name, "engine-%u", i);
  strcpy (r.service, "llm");
  strcpy (r.address, "127.0.0.1");
  strcpy (r.domain, "a");
  r.loaded = &loaded;
  r.n_loaded = 1;
  r.cached = &cached;
  r.n_cached = is_weighed ? 1 : 0;
  wl_cell_report (cell, &r, now_us, fx);
}

static void
end_request (WlCell *cell, uint32_t node, uint64_t request, uint64_t now_us, WlEffects *fx)
{
  WlAttemptUpdate note = {
    .request = request, .attempt = 1, .first_token = 1, .ended = 1, .result = WL_ATTEMPT_FINISHED
  };
  WlGrantRenewal hold
      = { .node = node, .incarnation = 1, .fence = 1, .updates = &note, .n_updates = 1 };
  wl_cell_renew_grants (cell, &hold, now_us, fx);
}

static void
bench_placement (uint32_t endpoints, uint32_t entries, int is_weighed)
{
  WlSettings settings = { .self = { .node = 1 } };
  WlServices *services = parse (sim_text (1));
  WlCellLease lease = { .owner = 1, .fence = 1 };
  WlEffects *fx = wl_effects_create ();
  uint64_t now_us = 1000000;
  strcpy (lease.service, "llm");
  WlCell *cell = wl_cell_create (&lease, &settings, now_us);
  wl_cell_configure (cell, services);
  now_us += 2000000;
  for (uint32_t i = 0; i < endpoints; i++)
    report_endpoint (cell, i, 1, is_weighed, now_us, fx);
  wl_cell_tick (cell, now_us, fx);
  uint32_t running = endpoints * 8;
  uint32_t rounds = 20000;
  double begin = 0;
  for (uint32_t n = 0; n < running + rounds; n++)
    {
      WlPrefixHash marks[4]
          = { { n % 50 + 1, 256 }, { n % 50 + 100, 512 }, { n, 1024 }, { n + 1, 2048 } };
      WlPlacementRequest p = { .node = 1 + n % entries,
                               .request = n + 1,
                               .attempt = 1,
                               .prompt_tokens = 2200,
                               .max_tokens = 100,
                               .remaining_us = 60000000,
                               .prefixes = marks,
                               .n_prefixes = 4 };
      strcpy (p.service, "llm");
      snprintf (p.customer, sizeof p.customer, "c%u", n % 270);
      if (n == running)
        begin = seconds ();
      wl_cell_place (cell, &p, now_us, fx);
      if (n >= running)
        end_request (cell, 1 + (n - running) % entries, n - running + 1, now_us, fx);
      if (n % 1000 == 0)
        wl_effects_clear (fx);
    }
  double us = (seconds () - begin) / rounds * 1e6;
  printf ("placement: %3u endpoints, %3u entries%s: %.1f us for place, grant and release\n",
          endpoints, entries, is_weighed ? ", prefixes weighed" : "", us);
  double tick_begin = seconds ();
  for (int i = 0; i < 1000; i++)
    {
      now_us += 10000;
      wl_cell_tick (cell, now_us, fx);
      wl_effects_clear (fx);
    }
  printf ("           tick: %.1f us; cell state: %lu bytes per endpoint\n",
          (seconds () - tick_begin) * 1000, (unsigned long)sizeof (WlEndpoint));
  wl_cell_destroy (cell);
  wl_services_destroy (services);
  wl_effects_destroy (fx);
}

/* ---- control leader ---- */

static void
bench_renewals (uint32_t entries)
{
  WlSim *sim = sim_create (1, 3, 3);
  sim_start_all (sim);
  sim_run (sim, 5000000);
  sim_submit_until_answered (sim, 1, 0, sim_text (1));
  uint32_t leader = sim_leader (sim);
  WlCore *core = sim->nodes[leader].core;
  WlEffects *fx = wl_effects_create ();
  uint64_t bytes = 0;
  uint64_t messages = 0;
  double begin = 0;
  uint32_t rounds = 20;
  for (uint32_t round = 0; round < rounds + 1; round++)
    {
      if (round == 1)
        begin = seconds ();
      for (uint32_t i = 0; i < entries; i++)
        {
          WlMessage m = { .kind = WL_MESSAGE_RENEW };
          WlEvent e = { .kind = WL_EVENT_MESSAGE, .now_us = sim->now_us, .wall_us = sim->now_us };
          m.u.renew.member = (WlMember){ .node = 100 + i, .address = "10.0.0.1", .domain = "a" };
          m.u.renew.incarnation = 5;
          m.u.renew.sequence = round + 1;
          m.u.renew.sent_us = sim->now_us;
          m.u.renew.config_number = core->control->state->config_number;
          m.u.renew.directory_version = core->control->state->directory_version;
          e.u.message.from = 100 + i;
          e.u.message.message = &m;
          wl_core_step (core, &e, fx);
          if (round > 0)
            {
              apr_pool_t *pool;
              apr_pool_create (&pool, NULL);
              bytes += wl_message_encode (&m, pool).size;
              apr_pool_destroy (pool);
            }
        }
      WlEvent flush = { .kind = WL_EVENT_FLUSH, .now_us = sim->now_us, .wall_us = sim->now_us };
      wl_core_step (core, &flush, fx);
      /* Hand the effects to the simulation: the followers' answers confirm the round. */
      for (uint32_t i = 0; i < fx->count; i++)
        {
          if (fx->items[i].kind != WL_EFFECT_SEND || round == 0)
            continue;
          messages++;
          if (fx->items[i].u.send.kind == WL_MESSAGE_RENEW_REPLY)
            bytes += fx->items[i].u.send.bytes.size;
        }
      wl_effects_clear (fx);
      sim_run (sim, 1000000);
    }
  printf ("renewals: %3u entries: %.2f us of leader CPU each with its share of a second's ticks; "
          "request %lu bytes\n",
          entries, (seconds () - begin) / rounds / entries * 1e6,
          (unsigned long)(bytes / rounds / entries));
  wl_effects_destroy (fx);
  sim_destroy (sim);
}

/* ---- state ---- */

static void
bench_state (void)
{
  WlState *state = wl_state_create ();
  uint64_t before = heap_bytes ();
  double begin = seconds ();
  uint32_t n = 100000;
  for (uint32_t i = 0; i < n; i++)
    {
      WlCommand c = { .kind = WL_COMMAND_CLAIM, .time_us = i };
      strcpy (c.u.claim.customer, "kiosk-piraeus");
      snprintf (c.u.claim.key, WL_KEY_SIZE, "credit-%u", i);
      c.u.claim.request = i + 1;
      c.u.claim.expires_us = UINT64_MAX;
      wl_state_apply (state, &c);
    }
  printf ("claims: %.2f us each to apply, %lu bytes of memory each\n",
          (seconds () - begin) / n * 1e6, (unsigned long)((heap_bytes () - before) / n));
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  begin = seconds ();
  WlBytes image = wl_state_save (state, NULL, 0, pool);
  printf ("snapshot of %u claims: %u bytes, %.1f ms\n", n, image.size, (seconds () - begin) * 1e3);
  apr_pool_destroy (pool);
  wl_state_destroy (state);
}

/* Growth of the log: bytes of the records' commands; a snapshot drops what it covers. */
static void
bench_log (void)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  char old_text[1024];
  uint64_t changes = 0;
  uint64_t claims = 0;
  uint64_t before = heap_bytes ();
  WlState *state = wl_state_create ();
  uint64_t empty = heap_bytes () - before;
  strcpy (old_text, "");
  for (uint32_t i = 0; i < 1000; i++)
    {
      const char *text = sim_text (i + 1);
      WlCommand c = { .kind = WL_COMMAND_CONFIG, .time_us = i };
      wl_delta_make ((WlBytes){ (const uint8_t *)old_text, (uint32_t)strlen (old_text) },
                     (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) }, pool,
                     &c.u.config);
      c.u.config.replaces = i;
      c.u.config.number = i + 1;
      changes += wl_command_encode (&c, pool).size;
      wl_state_apply (state, &c);
      strcpy (old_text, text);
      WlCommand claim = { .kind = WL_COMMAND_CLAIM, .time_us = i };
      strcpy (claim.u.claim.customer, "kiosk-piraeus");
      snprintf (claim.u.claim.key, WL_KEY_SIZE, "credit-%u", i);
      claim.u.claim.request = i + 1;
      claims += wl_command_encode (&claim, pool).size;
      claim.kind = WL_COMMAND_CLAIM_END;
      claim.u.claim.status = WL_CLAIM_DONE;
      claim.u.claim.body = (WlBytes){ (const uint8_t *)"{\"confirmed\":true}", 18 };
      claims += wl_command_encode (&claim, pool).size;
    }
  printf (
      "log growth: %lu KB per thousand one-line changes, %lu KB per thousand claims with ends\n",
      (unsigned long)(changes / 1024), (unsigned long)(claims / 1024));
  printf ("memory growth: %lu KB per thousand changes, up to 128 deltas; the empty state takes %lu "
          "KB\n",
          (unsigned long)((heap_bytes () - before - empty) / 1024), (unsigned long)(empty / 1024));
  wl_state_destroy (state);
  apr_pool_destroy (pool);
}

/* ---- entry ---- */

static void
bench_prompts (void)
{
  uint32_t size = 4000000;
  uint8_t *text = calloc (1, size);
  WlPrefixHash marks[WL_PREFIX_HASHES_MAX];
  double begin = seconds ();
  for (int i = 0; i < 50; i++)
    wl_prefix_hashes ((WlBytes){ text, size }, marks);
  printf ("prefix marks of a million tokens: %.2f ms\n", (seconds () - begin) / 50 * 1e3);
  free (text);
  printf ("an open request at its entry: %lu bytes; a series of the burn report: %lu bytes; a "
          "receipt: %lu bytes\n",
          (unsigned long)sizeof (WlRequest), (unsigned long)sizeof (WlBurnSeries),
          (unsigned long)sizeof (WlReceipt));
}

int
main (void)
{
  apr_initialize ();
  static const uint32_t endpoints[] = { 16, 32, 64 };
  static const uint32_t entries[] = { 12, 100, 350 };
  for (int i = 0; i < 3; i++)
    for (int k = 0; k < 3; k += 2)
      bench_placement (endpoints[i], entries[k], 0);
  for (int i = 0; i < 3; i++)
    bench_placement (endpoints[i], entries[0], 1);
  for (int i = 0; i < 3; i++)
    bench_renewals (entries[i]);
  bench_state ();
  bench_log ();
  bench_prompts ();
  return 0;
}
