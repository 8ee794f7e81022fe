#include <stdlib.h>
#include <string.h>
#include "wl_quarantine_sim.h"
#include "wl_random.h"

enum
{
  CUSTOMERS = 10,
  ATTEMPTS = 2,
  TRIAL_NODE = 0, /* the node that may run trials */
  FULL_REPORT_US = 2500000,
  BEGIN_US = 150000,    /* shortest time to the first output; at most three times as long */
  END_AFTER_US = 35000, /* from there until a bad part ends the endpoint */
  SOUND_US = 500000,
  RESPONSE_US = 2 * SECOND_US,
};

typedef struct
{
  uint32_t node;
  WlPartReport report;
} Delivery;

WlQuarantineSim *
wl_quarantine_sim_create (const WlQuarantineSimPlan *plan, uint64_t seed)
{
  WlQuarantineSim *sim = calloc (1, sizeof *sim);
  if (sim == NULL)
    abort ();
  sim->plan = *plan;
  sim->random = seed;
  sim->now_us = start_us;
  sim->deliveries = wl_time_queue_create (sizeof (Delivery));
  for (uint32_t i = 0; i < plan->n_nodes; i++)
    sim->nodes[i] = wl_quarantine_create ();
  for (uint32_t i = 0; i < WL_QUARANTINE_SIM_ENDPOINTS; i++)
    sim->endpoints[i].key = ++sim->next_key;
  return sim;
}

static void *
copy_array (const void *items, size_t size)
{
  void *copy = malloc (size + 1);
  if (copy == NULL)
    abort ();
  if (size > 0)
    memcpy (copy, items, size);
  return copy;
}

static WlPartReport
copy_report (const WlPartReport *report)
{
  WlPartReport copy = *report;
  copy.ends = copy_array (report->ends, report->n_ends * sizeof *report->ends);
  for (uint32_t i = 0; i < copy.n_ends; i++)
    copy.ends[i].suspects = copy_array (report->ends[i].suspects,
                                        report->ends[i].n_suspects * sizeof (WlPartSuspect));
  copy.sound = copy_array (report->sound, report->n_sound * sizeof *report->sound);
  copy.quarantined
      = copy_array (report->quarantined, report->n_quarantined * sizeof *report->quarantined);
  return copy;
}

static void
free_report (WlPartReport *report)
{
  for (uint32_t i = 0; i < report->n_ends; i++)
    free (report->ends[i].suspects);
  free (report->ends);
  free (report->sound);
  free (report->quarantined);
}

void
wl_quarantine_sim_destroy (WlQuarantineSim *sim)
{
  Delivery d;
  while (wl_time_queue_take (sim->deliveries, UINT64_MAX, &d))
    free_report (&d.report);
  wl_time_queue_destroy (sim->deliveries);
  for (uint32_t i = 0; i < sim->plan.n_nodes; i++)
    wl_quarantine_destroy (sim->nodes[i]);
  free (sim);
}

uint64_t
wl_quarantine_sim_random (WlQuarantineSim *sim, uint64_t n)
{
  return wl_random_next (&sim->random) % n;
}

static void
send_report (WlQuarantineSim *sim, uint32_t from, const WlPartReport *report)
{
  for (uint32_t i = 0; i < sim->plan.n_nodes; i++)
    if (i != from && wl_quarantine_sim_random (sim, 100) >= sim->plan.loss)
      {
        Delivery d = { .node = i, .report = copy_report (report) };
        wl_time_queue_add (sim->deliveries, sim->now_us + sim->plan.delay_us, &d);
      }
}

static void
exchange_reports (WlQuarantineSim *sim)
{
  Delivery d;
  WlPartReport report;
  while (wl_time_queue_take (sim->deliveries, sim->now_us, &d))
    {
      wl_quarantine_apply (sim->nodes[d.node], &d.report, sim->now_us);
      free_report (&d.report);
    }
  for (uint32_t i = 0; i < sim->plan.n_nodes; i++)
    {
      if (wl_quarantine_take_report (sim->nodes[i], sim->now_us, &report))
        send_report (sim, i, &report);
      if ((sim->now_us + i * 200000) % FULL_REPORT_US < WL_QUARANTINE_SIM_STEP_US
          && wl_quarantine_full_report (sim->nodes[i], sim->now_us, &report))
        send_report (sim, i, &report);
    }
}

static WlPartUse
use_of_request (const WlQuarantineSimRequest *r)
{
  return use_of (&r->parts, r->customer);
}

/* Sends a request to an endpoint unless its node refuses it. */
static void
send_request (WlQuarantineSim *sim, WlQuarantineSimRequest *r)
{
  WlPartUse use = use_of_request (r);
  uint32_t up[WL_QUARANTINE_SIM_ENDPOINTS];
  uint32_t n_up = 0;
  r->is_active = 0;
  if (r->attempts == ATTEMPTS)
    return;
  WlQuarantine *q = sim->nodes[r->node];
  WlQuarantineVerdict verdict
      = wl_quarantine_check (q, &use, r->node == TRIAL_NODE, sim->now_us).verdict;
  if (verdict == WL_QUARANTINE_REFUSE)
    {
      sim->n_refused++;
      return;
    }
  for (uint32_t i = 0; i < WL_QUARANTINE_SIM_ENDPOINTS; i++)
    if (sim->endpoints[i].up_us <= sim->now_us)
      up[n_up++] = i;
  if (n_up == 0)
    return;
  r->attempts++;
  r->endpoint = up[wl_quarantine_sim_random (sim, n_up)];
  r->begin_us = sim->now_us + BEGIN_US + wl_quarantine_sim_random (sim, 2 * BEGIN_US);
  r->is_active = 1;
  WlQuarantineSimPart *bad = &sim->bad_parts[r->bad != 0 ? r->bad - BAD : 0];
  if (verdict == WL_QUARANTINE_TRIAL)
    {
      wl_quarantine_begin_trial (q, &use, sim->now_us);
      r->attempts = ATTEMPTS;
      bad->n_trials++;
    }
  else if (r->bad != 0 && bad->n_ends >= WL_QUARANTINE_SIM_ENDS && sim->now_us > bad->bound_us)
    bad->n_late++;
}

void
wl_quarantine_sim_end (WlQuarantineSim *sim, uint32_t endpoint)
{
  uint64_t key = sim->endpoints[endpoint].key;
  sim->endpoints[endpoint].key = ++sim->next_key; /* it starts again under another id */
  sim->endpoints[endpoint].up_us
      = sim->now_us + 3 * SECOND_US + wl_quarantine_sim_random (sim, 2 * SECOND_US);
  sim->n_ends++;
  for (uint32_t i = 0; i < WL_QUARANTINE_SIM_REQUESTS_MAX; i++)
    {
      WlQuarantineSimRequest *r = &sim->requests[i];
      WlPartUse use = use_of_request (r);
      if (!r->is_active || r->endpoint != endpoint)
        continue;
      if (sim->now_us < r->begin_us + SOUND_US)
        wl_quarantine_note_end (sim->nodes[r->node], key, &use, sim->now_us);
    }
  for (uint32_t i = 0; i < WL_QUARANTINE_SIM_REQUESTS_MAX; i++)
    if (sim->requests[i].is_active && sim->requests[i].endpoint == endpoint)
      send_request (sim, &sim->requests[i]);
}

static void
add_request (WlQuarantineSim *sim, uint64_t bad)
{
  WlQuarantineSimRequest *r = sim->requests;
  while (r < sim->requests + WL_QUARANTINE_SIM_REQUESTS_MAX && r->is_active)
    r++;
  if (r == sim->requests + WL_QUARANTINE_SIM_REQUESTS_MAX)
    abort ();
  uint64_t customer = wl_quarantine_sim_random (sim, CUSTOMERS);
  uint64_t middle = MIDDLE + customer;
  if (bad != 0 && wl_quarantine_sim_random (sim, 100) >= sim->plan.bad_with_middle)
    middle = 0;
  *r = (WlQuarantineSimRequest){ .parts = parts_of (SHARED, middle, bad),
                                 .customer = 1 + customer,
                                 .node
                                 = (uint32_t)wl_quarantine_sim_random (sim, sim->plan.n_nodes),
                                 .bad = bad };
  WlPartUse use = use_of_request (r);
  wl_quarantine_note_request (sim->nodes[r->node], &use, sim->now_us);
  send_request (sim, r);
}

static int
is_mended (const WlQuarantineSim *sim)
{
  return sim->plan.mended_us != 0 && sim->now_us >= start_us + sim->plan.mended_us;
}

static void
update_request (WlQuarantineSim *sim, WlQuarantineSimRequest *r)
{
  WlPartUse use = use_of_request (r);
  WlQuarantine *q = sim->nodes[r->node];
  if (!r->is_active)
    return;
  if (r->bad != 0 && !is_mended (sim) && sim->now_us >= r->begin_us + END_AFTER_US)
    {
      WlQuarantineSimPart *bad = &sim->bad_parts[r->bad - BAD];
      if (++bad->n_ends == WL_QUARANTINE_SIM_ENDS)
        bad->bound_us = sim->now_us + WL_QUARANTINE_SIM_BOUND_US;
      wl_quarantine_sim_end (sim, r->endpoint);
      return;
    }
  if (!r->is_sound && sim->now_us >= r->begin_us + SOUND_US)
    {
      r->is_sound = 1;
      wl_quarantine_note_sound (q, &use, sim->now_us);
    }
  if (sim->now_us >= r->begin_us + RESPONSE_US)
    r->is_active = 0;
  /* A request without output whose part has been quarantined is given up. */
  if (sim->now_us < r->begin_us && sim->generations[r->node] != wl_quarantine_generation (q)
      && wl_quarantine_check (q, &use, 0, sim->now_us).verdict == WL_QUARANTINE_REFUSE)
    r->is_active = 0;
}

static void
count_wrong_entries (WlQuarantineSim *sim)
{
  WlPartReport report;
  for (uint32_t i = 0; i < sim->plan.n_nodes; i++)
    {
      if (sim->generations[i] == wl_quarantine_generation (sim->nodes[i]))
        continue;
      sim->generations[i] = wl_quarantine_generation (sim->nodes[i]);
      wl_quarantine_full_report (sim->nodes[i], sim->now_us, &report);
      for (uint32_t k = 0; k < report.n_quarantined; k++)
        sim->n_wrong += report.quarantined[k].part < BAD
                        || report.quarantined[k].part >= BAD + sim->plan.n_bad_parts;
    }
}

void
wl_quarantine_sim_step (WlQuarantineSim *sim)
{
  const WlQuarantineSimPlan *s = &sim->plan;
  uint64_t elapsed_us = sim->now_us - start_us;
  if (wl_quarantine_sim_random (sim, SECOND_US)
      < (uint64_t)s->sound_rate * WL_QUARANTINE_SIM_STEP_US)
    add_request (sim, 0);
  if (elapsed_us >= s->bad_from_us
      && wl_quarantine_sim_random (sim, SECOND_US)
             < (uint64_t)s->bad_rate * WL_QUARANTINE_SIM_STEP_US)
    add_request (sim, BAD + wl_quarantine_sim_random (sim, s->n_bad_parts));
  if (s->chance_us != 0 && wl_quarantine_sim_random (sim, s->chance_us) < WL_QUARANTINE_SIM_STEP_US)
    wl_quarantine_sim_end (sim,
                           (uint32_t)wl_quarantine_sim_random (sim, WL_QUARANTINE_SIM_ENDPOINTS));
  for (uint32_t i = 0; i < WL_QUARANTINE_SIM_REQUESTS_MAX; i++)
    update_request (sim, &sim->requests[i]);
  count_wrong_entries (sim);
  exchange_reports (sim);
  sim->now_us += WL_QUARANTINE_SIM_STEP_US;
}

void
wl_quarantine_sim_run (WlQuarantineSim *sim, uint64_t seconds)
{
  while (sim->now_us < start_us + seconds * SECOND_US)
    wl_quarantine_sim_step (sim);
}
