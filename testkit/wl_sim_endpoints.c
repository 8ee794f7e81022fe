#include <stdio.h>
#include <string.h>
#include "wl_sim.h"
#include "wl_table.h"

enum
{
  REPORT_US = 1000000,
  PREFILL_NS_PER_TOKEN = 50000,
  LEFT_GRACE_US = 6000000, /* a leaving endpoint may still get work for this long */
  DONE_TOKEN = -1,
};

SimEndpoint *
sim_add_endpoint (WlSim *sim, const char *service, int is_plain)
{
  SimEndpoint *e = &sim->endpoints[sim->n_endpoints++];
  memset (e, 0, sizeof *e);
  snprintf (e->name, sizeof e->name, "%s-%u", service, sim->n_endpoints);
  snprintf (e->service, sizeof e->service, "%s", service);
  snprintf (e->domain, sizeof e->domain, "domain-%u", sim->n_endpoints % 3);
  e->is_plain = (uint8_t)is_plain;
  e->is_up = 1;
  e->is_loaded = 1;
  e->kv_capacity = 400000;
  e->slots = 16;
  e->incarnation = sim_random (sim) | 1;
  e->report_us = sim->now_us + sim_random (sim) % REPORT_US;
  return e;
}

static uint64_t
run_kv (const WlSim *sim, const SimRun *run)
{
  const SimRequest *r = &sim->requests[(run->request & 0xffffffff) - 1];
  uint64_t gang = 1;
  for (uint32_t i = 0; i < sim->n_runs; i++)
    if (sim->runs[i].request == run->request && sim->runs[i].attempt == run->attempt
        && sim->runs[i].rank + 1 > gang)
      gang = sim->runs[i].rank + 1;
  return (r->prompt_tokens + r->max_tokens) / gang;
}

uint64_t
sim_kv_used (const WlSim *sim, uint32_t endpoint)
{
  uint64_t used = 0;
  for (uint32_t i = 0; i < sim->n_runs; i++)
    if (sim->runs[i].is_active && sim->runs[i].endpoint == endpoint)
      used += run_kv (sim, &sim->runs[i]);
  return used;
}

uint32_t
sim_runs_of (const WlSim *sim, const char *key)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < sim->n_runs; i++)
    n += strcmp (sim->requests[(sim->runs[i].request & 0xffffffff) - 1].key, key) == 0;
  return n;
}

void
sim_endpoint_crash (WlSim *sim, uint32_t endpoint)
{
  SimEndpoint *e = &sim->endpoints[endpoint];
  e->is_up = 0;
  e->incarnation = sim_random (sim) | 1;
  e->sequence = 0;
  for (uint32_t i = 0; i < sim->n_runs; i++)
    {
      SimRun *run = &sim->runs[i];
      if (run->endpoint != endpoint || !run->is_active)
        continue;
      run->is_active = 0;
      SimItem item
          = { .at_us = sim->now_us + 500, .kind = SIM_EVENT, .to = run->node, .life = run->life };
      item.event.kind = WL_EVENT_ENGINE_END;
      item.event.u.end = (WlEndEvent){
        .request = run->request, .attempt = run->attempt, .rank = run->rank, .kind = WL_END_BROKEN
      };
      if (run->is_connected)
        sim_schedule (sim, &item);
    }
}

/* ---- announcements ---- */

static void
report (WlSim *sim, uint32_t index)
{
  SimEndpoint *e = &sim->endpoints[index];
  static WlRunningAttempt running[SIM_RUNS];
  WlLoadedModel loaded = { "m", "1" };
  uint32_t to = 1 + (uint32_t)(sim_random (sim) % sim->n_nodes);
  WlEvent event = { .kind = WL_EVENT_ENDPOINT_REPORT };
  WlEndpointReport *r = &event.u.report;
  r->endpoint = wl_hash_bytes (e->name, strlen (e->name), 0);
  r->incarnation = e->incarnation;
  r->sequence = ++e->sequence;
  snprintf (r->name, sizeof r->name, "%s", e->name);
  snprintf (r->service, sizeof r->service, "%s", e->service);
  snprintf (r->address, sizeof r->address, "127.0.0.1");
  r->port = 5000 + index;
  snprintf (r->domain, sizeof r->domain, "%s", e->domain);
  r->kv_capacity = e->kv_capacity;
  r->slots = e->slots;
  r->kv_used = sim_kv_used (sim, index);
  r->leaving = e->is_leaving;
  r->running = running;
  for (uint32_t i = 0; i < sim->n_runs; i++)
    if (sim->runs[i].is_active && sim->runs[i].endpoint == index)
      running[r->n_running++] = (WlRunningAttempt){ sim->runs[i].request, sim->runs[i].attempt };
  r->loaded = &loaded;
  r->n_loaded = e->is_loaded;
  if (!sim->cut_endpoints[to])
    sim_event (sim, to, &event);
}

void
sim_endpoints_tick (WlSim *sim)
{
  for (uint32_t i = 0; i < sim->n_endpoints; i++)
    {
      SimEndpoint *e = &sim->endpoints[i];
      if (!e->is_up || sim->now_us < e->report_us)
        continue;
      e->report_us = sim->now_us + REPORT_US;
      if (e->is_leaving && e->left_us == 0)
        e->left_us = sim->now_us;
      report (sim, i);
    }
}

/* ---- runs ---- */

static void
schedule_token (WlSim *sim, uint32_t run, uint64_t delay_us)
{
  SimItem item = { .at_us = sim->now_us + delay_us, .kind = SIM_TOKEN, .run = run };
  sim_schedule (sim, &item);
}

static void
send_event (WlSim *sim, const SimRun *run, const WlEvent *event)
{
  SimItem item = { .at_us = sim->now_us + 500,
                   .kind = SIM_EVENT,
                   .to = run->node,
                   .life = run->life,
                   .event = *event };
  if (!run->is_connected || sim->cut_endpoints[run->node])
    return;
  if (sim->endpoints[run->endpoint].is_silent)
    return;
  sim_schedule (sim, &item);
}

void
sim_endpoints_token (WlSim *sim, uint32_t index)
{
  SimRun *run = &sim->runs[index];
  const SimRequest *r = &sim->requests[(run->request & 0xffffffff) - 1];
  WlEvent event = { .kind = WL_EVENT_ENGINE_OUTPUT };
  if (!run->is_active || !sim->endpoints[run->endpoint].is_up)
    return;
  if (run->rank > 0)
    {
      event.u.output = (WlOutputEvent){ run->request, run->attempt, 0, 0, { NULL, 0 } };
      send_event (sim, run, &event);
      schedule_token (sim, index, 500000);
      return;
    }
  if (run->next_token < r->max_tokens)
    {
      event.u.output = (WlOutputEvent){
        run->request, run->attempt, run->next_token, 1, { (const uint8_t *)"token", 5 }
      };
      run->next_token++;
      send_event (sim, run, &event);
      schedule_token (sim, index, sim->token_us);
      return;
    }
  run->is_active = 0;
  event.kind = WL_EVENT_ENGINE_END;
  event.u.end = (WlEndEvent){ .request = run->request,
                              .attempt = run->attempt,
                              .kind = WL_END_DONE,
                              .total_tokens = run->next_token,
                              .http_status = 200 };
  send_event (sim, run, &event);
}

static void
fail_dispatch (WlSim *sim, uint32_t node, const WlDispatch *d, WlEndKind kind)
{
  SimItem item = { .at_us = sim->now_us + 1000,
                   .kind = SIM_EVENT,
                   .to = node,
                   .life = sim->nodes[node].settings.incarnation };
  item.event.kind = WL_EVENT_ENGINE_END;
  item.event.u.end
      = (WlEndEvent){ .request = d->request, .attempt = d->attempt, .rank = d->rank, .kind = kind };
  sim_schedule (sim, &item);
}

static void
check_dispatch (WlSim *sim, const WlDispatch *d, const SimRequest *r, const SimEndpoint *e)
{
  if (sim->now_us > r->sent_us + r->limit_us && sim->broken == NULL)
    sim->broken = "a dispatch after the deadline";
  if (e->left_us != 0 && sim->now_us > e->left_us + LEFT_GRACE_US && sim->broken == NULL)
    sim->broken = "work for an endpoint that left";
  if (r->key[0] != '\0' && sim_runs_of (sim, r->key) > 0 && sim->broken == NULL)
    sim->broken = "a non-idempotent request was dispatched twice";
  if (r->ends > 0 && sim->broken == NULL)
    sim->broken = "a dispatch after the end";
  (void)d;
}

static void
dispatch (WlSim *sim, uint32_t node, const WlDispatch *d)
{
  uint32_t index = d->endpoints[d->rank].port - 5000;
  SimEndpoint *e = &sim->endpoints[index];
  SimRequest *r = sim_find_request (sim, d->request);
  if (r == NULL)
    return;
  r->dispatches++;
  if (!e->is_up || sim->cut_endpoints[node])
    {
      fail_dispatch (sim, node, d, WL_END_NOT_SENT);
      return;
    }
  check_dispatch (sim, d, r, e);
  if (sim_kv_used (sim, index) + (r->prompt_tokens + r->max_tokens) / d->n_endpoints
      > e->kv_capacity)
    {
      fail_dispatch (sim, node, d, WL_END_REJECTED);
      return;
    }
  if (sim->n_runs == SIM_RUNS)
    {
      sim->broken = "the simulation has too few runs";
      return;
    }
  SimRun *run = &sim->runs[sim->n_runs++];
  *run = (SimRun){ d->request, d->attempt, d->rank,
                   index,      node,       sim->nodes[node].settings.incarnation,
                   d->offset,  1,          1 };
  uint64_t prefill_us = r->prompt_tokens * PREFILL_NS_PER_TOKEN / 1000 / d->n_endpoints;
  if (prefill_us > 2000000)
    prefill_us = 2000000; /* the fake sends no signs of life meanwhile */
  schedule_token (sim, sim->n_runs - 1, d->rank > 0 ? 1000 : 1000 + prefill_us);
  if (sim_kv_used (sim, index) > e->kv_peak)
    e->kv_peak = sim_kv_used (sim, index);
}

static void
cancel (WlSim *sim, uint32_t node, const WlCancel *c)
{
  uint32_t index = c->port - 5000;
  if (!sim->endpoints[index].is_up || sim->cut_endpoints[node])
    return;
  for (uint32_t i = 0; i < sim->n_runs; i++)
    if (sim->runs[i].endpoint == index && sim->runs[i].request == c->request
        && sim->runs[i].attempt == c->attempt)
      sim->runs[i].is_active = 0;
  SimItem item = { .at_us = sim->now_us + 1000,
                   .kind = SIM_EVENT,
                   .to = node,
                   .life = sim->nodes[node].settings.incarnation };
  item.event.kind = WL_EVENT_CANCEL_CONFIRMED;
  item.event.u.cancel_confirmed = (WlCancelConfirmedEvent){ c->endpoint, c->request, c->attempt };
  sim_schedule (sim, &item);
}

static void
order (WlSim *sim, uint32_t node, const WlModelLoad *o)
{
  SimEndpoint *e = &sim->endpoints[o->port - 5000];
  SimItem item = { .at_us = sim->now_us + 1000,
                   .kind = SIM_EVENT,
                   .to = node,
                   .life = sim->nodes[node].settings.incarnation };
  item.event.kind = WL_EVENT_MODEL_LOAD_END;
  item.event.u.model_load_end = (WlModelLoadEndEvent){ o->endpoint, o->fence >= e->fence };
  if (o->fence >= e->fence)
    {
      e->fence = o->fence;
      e->is_loaded = 1;
      e->orders++;
    }
  sim_schedule (sim, &item);
}

int
sim_endpoints_effect (WlSim *sim, uint32_t node, const WlEffect *effect)
{
  switch (effect->kind)
    {
    case WL_EFFECT_DISPATCH:
      dispatch (sim, node, &effect->u.dispatch);
      return 1;
    case WL_EFFECT_CANCEL:
      cancel (sim, node, &effect->u.cancel);
      return 1;
    case WL_EFFECT_LOAD_MODEL:
      order (sim, node, &effect->u.model_load);
      return 1;
    case WL_EFFECT_CLOSE_ATTEMPT:
      for (uint32_t i = 0; i < sim->n_runs; i++)
        if (sim->runs[i].node == node && sim->runs[i].request == effect->u.close_attempt.request
            && sim->runs[i].attempt == effect->u.close_attempt.attempt)
          sim->runs[i].is_connected = 0;
      return 1;
    default:
      return 0;
    }
}
