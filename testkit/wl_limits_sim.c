#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_limits_sim.h"
#include "wl_random.h"
#include "wl_table.h"

enum
{
  MS = 1000,
  RING = 512, /* events are at most so many ms ahead */
  SLOW_TICK_MS = 100,
  LAG_MIN_MS = 200, /* of views */
  LAG_SPREAD_MS = 1200,
  JOIN_MS = 50,   /* from a start until the first full report */
  SERVE_MS = 150, /* from a start until requests come */
  FULL_REPORT_MS = 2000,
  REQUESTS_MAX = 256,      /* in progress at a node */
  NODE_CLOCK_US = 7000000, /* clocks of nodes differ by so much */
};

typedef enum
{
  EVENT_ASK,
  EVENT_ANSWER,
  EVENT_RETURN,
  EVENT_REPORT,
  EVENT_RESPONSE, /* of an endpoint */
} EventKind;

typedef struct Event
{
  EventKind kind;
  uint32_t from, to;
  uint32_t boot; /* of the node @to when it was sent */
  WlPermitAsk ask;
  WlEndpointKey excluded[WL_PERMIT_EXCLUDED_MAX];
  WlPermitAnswer answer;
  WlPermitReturn returned;
  WlLimitReport report;
  uint32_t endpoint;
  uint64_t rate, sent_us;
  struct Event *next;
} Event;

typedef struct
{
  uint64_t id;
  uint32_t service, customer;
  uint64_t ends_ms; /* the caller leaves, 0 for never */
} Request;

typedef struct
{
  WlLimits *limits;
  WlPermits *permits;
  WlIssuer *issuer;
  Request requests[REQUESTS_MAX];
  uint32_t n_requests;
  uint32_t boot;
  uint32_t started_ms;
  uint32_t down_until_ms, frozen_until_ms, cut_until_ms;
  uint32_t changed_ms; /* latest change of whether others can reach it */
  uint8_t is_reachable;
  uint8_t was_alone;
  uint8_t owns[WL_LIMITS_SIM_SERVICES];
  Event *inbox, **inbox_end; /* while it is frozen */
  uint64_t n_messages;
} Node;

typedef struct
{
  const WlLimitsSimPlan *plan;
  WlLimitsSimResult *out;
  uint64_t random;
  uint32_t now_ms;
  Node *nodes;
  WlFleet *fleet;
  uint64_t services[WL_LIMITS_SIM_SERVICES];
  uint32_t *ranked[WL_LIMITS_SIM_SERVICES]; /* nodes, the highest rank first */
  Event *ring[RING];
} Sim;

static const uint64_t rates[WL_LIMITS_SIM_ENDPOINTS] = { 400, 1000, 2700, 3000, 400, 3000 };

static uint32_t
chance (Sim *sim, uint32_t n)
{
  return (uint32_t)(wl_random_next (&sim->random) % n);
}

static uint32_t
service_of (uint32_t endpoint)
{
  return endpoint < WL_LIMITS_SIM_SERVICES ? endpoint : WL_LIMITS_SIM_SERVICES - 1;
}

static uint64_t
clock_us (const Sim *sim, uint32_t node)
{
  return (uint64_t)sim->now_ms * MS + (uint64_t)(node + 2) * NODE_CLOCK_US;
}

static int
is_running (const Sim *sim, const Node *n)
{
  return sim->now_ms >= n->down_until_ms && sim->now_ms >= n->frozen_until_ms;
}

static int
is_cut (const Sim *sim, const Node *n)
{
  return sim->now_ms < n->cut_until_ms;
}

/* Whether a node believes that another one is alive; its view lags. */
static int
believes_alive (const Sim *sim, uint32_t observer, uint32_t subject)
{
  const Node *o = &sim->nodes[observer], *s = &sim->nodes[subject];
  uint32_t lag
      = LAG_MIN_MS + (uint32_t)((observer * 2654435761u + subject * 40503u) >> 7) % LAG_SPREAD_MS;
  if (observer == subject)
    return 1;
  if (is_cut (sim, o))
    return sim->now_ms < o->changed_ms + lag;
  return sim->now_ms < s->changed_ms + lag ? !s->is_reachable : s->is_reachable;
}

static uint32_t
issuer_of (const Sim *sim, uint32_t observer, uint32_t service)
{
  for (uint32_t i = 0; i < sim->plan->n_nodes; i++)
    if (believes_alive (sim, observer, sim->ranked[service][i]))
      return sim->ranked[service][i];
  return observer;
}

static Event *
post (Sim *sim, const Event *event, uint32_t delay_ms)
{
  Event *e = malloc (sizeof *e);
  if (e == NULL)
    abort ();
  *e = *event;
  e->ask.excluded = e->excluded;
  uint32_t slot = (sim->now_ms + delay_ms) % RING;
  e->next = sim->ring[slot];
  sim->ring[slot] = e;
  return e;
}

static void
send_message (Sim *sim, Event *event)
{
  event->boot = sim->nodes[event->to].boot;
  sim->nodes[event->from].n_messages += event->from != event->to;
  post (sim, event, event->from == event->to ? 1 : 1 + chance (sim, 5));
}

static void
send_report (Sim *sim, uint32_t from, uint32_t to, const WlLimitReport *report)
{
  Event e = { .kind = EVENT_REPORT, .from = from, .to = to };
  e.report.words = malloc (report->n_words * sizeof *report->words);
  if (e.report.words == NULL)
    abort ();
  memcpy (e.report.words, report->words, report->n_words * sizeof *report->words);
  e.report.n_words = report->n_words;
  send_message (sim, &e);
}

static void
free_event (Event *e)
{
  if (e->kind == EVENT_REPORT)
    free (e->report.words);
  free (e);
}

static void
start_node (Sim *sim, uint32_t i)
{
  Node *n = &sim->nodes[i];
  n->limits = wl_limits_create ();
  n->permits = wl_permits_create (wl_random_next (&sim->random));
  n->issuer = wl_issuer_create (n->limits, sim->fleet);
  n->started_ms = sim->now_ms;
  n->n_requests = 0;
  memset (n->owns, 0, sizeof n->owns);
  n->inbox = NULL;
  n->inbox_end = &n->inbox;
}

static void
end_node (Sim *sim, uint32_t i)
{
  Node *n = &sim->nodes[i];
  wl_issuer_destroy (n->issuer);
  wl_permits_destroy (n->permits);
  wl_limits_destroy (n->limits);
  while (n->inbox != NULL)
    {
      Event *e = n->inbox;
      n->inbox = e->next;
      free_event (e);
    }
  n->boot++;
}

/* A request arrives at an endpoint, which responds at once or after a while. */
static void
send_request (Sim *sim, uint32_t node, uint32_t endpoint)
{
  WlLimitsSimEndpoint *e = &sim->out->endpoints[endpoint];
  Event response = { .kind = EVENT_RESPONSE,
                     .to = node,
                     .boot = sim->nodes[node].boot,
                     .endpoint = endpoint,
                     .rate = e->rate,
                     .sent_us = clock_us (sim, node) };
  if (!is_cut (sim, &sim->nodes[node]) && e->n_arrivals < WL_LIMITS_SIM_ARRIVALS_MAX)
    e->at_ms[e->n_arrivals++] = sim->now_ms + 1 + chance (sim, 4);
  post (sim, &response, 6 + chance (sim, 400));
}

static void
receive (Sim *sim, Event *e)
{
  Node *n = &sim->nodes[e->to];
  uint64_t now_us = clock_us (sim, e->to);
  switch (e->kind)
    {
    case EVENT_ASK:
      wl_issuer_ask (n->issuer, e->from, &e->ask,
                     issuer_of (sim, e->to, (uint32_t)e->endpoint) == e->to, now_us);
      break;
    case EVENT_ANSWER:
      wl_permits_answer (n->permits, &e->answer, now_us);
      break;
    case EVENT_RETURN:
      wl_issuer_return (n->issuer, &e->returned, now_us);
      break;
    case EVENT_REPORT:
      wl_limits_apply_report (n->limits, &e->report, now_us);
      break;
    case EVENT_RESPONSE:
      wl_limits_note_response (n->limits, &sim->fleet->endpoints[e->endpoint], 1, e->rate,
                               e->sent_us, now_us);
      break;
    }
}

/* Delivers an event, keeps it for a frozen node, or loses it. */
static void
deliver (Sim *sim, Event *e)
{
  Node *n = &sim->nodes[e->to];
  int is_lost = e->boot != n->boot || sim->now_ms < n->down_until_ms
                || (e->kind != EVENT_RESPONSE && e->from != e->to
                    && (is_cut (sim, n) || is_cut (sim, &sim->nodes[e->from])));
  if (!is_lost && sim->now_ms < n->frozen_until_ms)
    {
      e->next = NULL;
      *n->inbox_end = e;
      n->inbox_end = &e->next;
      return;
    }
  if (!is_lost)
    receive (sim, e);
  free_event (e);
}

static void
deliver_all (Sim *sim)
{
  Event *e = sim->ring[sim->now_ms % RING];
  sim->ring[sim->now_ms % RING] = NULL;
  while (e != NULL)
    {
      Event *next = e->next;
      deliver (sim, e);
      e = next;
    }
}

static void
wake (Sim *sim, Node *n)
{
  Event *e = n->inbox;
  n->inbox = NULL;
  n->inbox_end = &n->inbox;
  while (e != NULL)
    {
      Event *next = e->next;
      deliver (sim, e);
      e = next;
    }
}

/* Starts nodes again whose time has come, and wakes frozen ones. */
static void
resume_nodes (Sim *sim)
{
  for (uint32_t i = 0; i < sim->plan->n_nodes; i++)
    {
      if (sim->now_ms == sim->nodes[i].down_until_ms)
        start_node (sim, i);
      if (sim->now_ms == sim->nodes[i].frozen_until_ms)
        wake (sim, &sim->nodes[i]);
    }
}

static void
begin_request (Sim *sim, uint32_t service, uint32_t customer)
{
  uint32_t i = chance (sim, sim->plan->n_nodes);
  Node *n = &sim->nodes[i];
  WlPermit permit;
  if (!is_running (sim, n) || sim->now_ms < n->started_ms + SERVE_MS
      || n->n_requests == REQUESTS_MAX)
    return;
  sim->out->asked[service][customer]++;
  if (wl_limits_find (n->limits, &sim->fleet->endpoints[service]) == NULL)
    {
      sim->out->n_unpermitted++;
      send_request (sim, i, service);
      return;
    }
  WlPermitAsk ask = { .service = sim->services[service],
                      .customer = customer + 1,
                      .max_wait_us = sim->plan->max_wait_us };
  Request r = { .service = service, .customer = customer };
  r.id = wl_permits_ask (n->permits, &ask, clock_us (sim, i), &permit);
  if (chance (sim, 100) < sim->plan->unused)
    r.ends_ms = sim->now_ms + chance (sim, 300);
  if (r.id != 0)
    n->requests[n->n_requests++] = r;
}

static void
begin_requests (Sim *sim)
{
  for (uint32_t s = 0; s < WL_LIMITS_SIM_SERVICES; s++)
    for (uint32_t c = 0; c < WL_LIMITS_SIM_CUSTOMERS; c++)
      {
        uint64_t share = c == 0 ? sim->plan->flood : sim->plan->quiet;
        if (chance (sim, 100 * 1000000) < rates[s] * share)
          begin_request (sim, s, c);
      }
}

static uint32_t
endpoint_of (const Sim *sim, uint64_t key)
{
  for (uint32_t i = 0; i < WL_LIMITS_SIM_ENDPOINTS; i++)
    if (sim->fleet->endpoints[i].key == key)
      return i;
  abort ();
}

static void
follow_requests (Sim *sim, uint32_t node)
{
  Node *n = &sim->nodes[node];
  for (uint32_t i = 0; i < n->n_requests;)
    {
      Request *r = &n->requests[i];
      WlPermit permit = wl_permits_state (n->permits, r->id, clock_us (sim, node));
      int has_left = r->ends_ms != 0 && sim->now_ms >= r->ends_ms;
      if (permit.state == WL_PERMIT_PENDING && !has_left)
        {
          i++;
          continue;
        }
      if (permit.state == WL_PERMIT_GRANTED && !has_left)
        {
          sim->out->granted[r->service][r->customer]++;
          send_request (sim, node, endpoint_of (sim, permit.endpoint));
          wl_permits_use (n->permits, r->id);
        }
      else
        wl_permits_drop (n->permits, r->id, clock_us (sim, node));
      *r = n->requests[--n->n_requests];
    }
}

static uint32_t
service_index (const Sim *sim, uint64_t service)
{
  uint32_t i = 0;
  while (sim->services[i] != service)
    i++;
  return i;
}

static void
flush (Sim *sim, uint32_t node)
{
  Node *n = &sim->nodes[node];
  Event e = { .kind = EVENT_ASK, .from = node };
  while (wl_permits_take_ask (n->permits, &e.ask))
    {
      e.endpoint = service_index (sim, e.ask.service);
      e.to = issuer_of (sim, node, e.endpoint);
      memcpy (e.excluded, e.ask.excluded, e.ask.n_excluded * sizeof e.excluded[0]);
      send_message (sim, &e);
    }
  e.kind = EVENT_RETURN;
  while (wl_permits_take_return (n->permits, &e.returned))
    {
      e.to = issuer_of (sim, node, service_index (sim, e.returned.service));
      send_message (sim, &e);
    }
  e.kind = EVENT_ANSWER;
  while (wl_issuer_take_answer (n->issuer, &e.to, &e.answer))
    send_message (sim, &e);
  WlLimitReport report;
  if (wl_limits_take_report (n->limits, clock_us (sim, node), &report))
    for (uint32_t i = 0; i < sim->plan->n_nodes; i++)
      if (i != node)
        send_report (sim, node, i, &report);
}

static void
slow_tick (Sim *sim, uint32_t node)
{
  Node *n = &sim->nodes[node];
  uint64_t now_us = clock_us (sim, node);
  int is_alone = is_cut (sim, n);
  for (uint32_t s = 0; s < WL_LIMITS_SIM_SERVICES; s++)
    {
      if (n->was_alone && !is_alone)
        wl_issuer_set_own (n->issuer, sim->services[s], 0, now_us);
      n->owns[s] = issuer_of (sim, node, s) == node;
      wl_issuer_set_own (n->issuer, sim->services[s], n->owns[s], now_us);
    }
  n->was_alone = (uint8_t)is_alone;
  wl_issuer_tick (n->issuer, now_us);
}

static void
send_full_report (Sim *sim, uint32_t from, uint32_t to)
{
  WlLimitReport report;
  if (from != to && is_running (sim, &sim->nodes[from])
      && wl_limits_full_report (sim->nodes[from].limits, clock_us (sim, from), &report))
    send_report (sim, from, to, &report);
}

static void
run_node (Sim *sim, uint32_t i)
{
  Node *n = &sim->nodes[i];
  if (!is_running (sim, n))
    return;
  uint8_t is_reachable = !is_cut (sim, n);
  if (!n->is_reachable && is_reachable)
    {
      n->is_reachable = 1;
      n->changed_ms = sim->now_ms;
    }
  if (sim->now_ms == n->started_ms + JOIN_MS)
    for (uint32_t k = 0; k < 3; k++)
      send_full_report (sim, chance (sim, sim->plan->n_nodes), i);
  if ((sim->now_ms + i * 37) % FULL_REPORT_MS == 0)
    send_full_report (sim, i, chance (sim, sim->plan->n_nodes));
  if ((sim->now_ms + i) % SLOW_TICK_MS == 0)
    slow_tick (sim, i);
  for (uint32_t s = 0; s < WL_LIMITS_SIM_SERVICES; s++)
    if (n->owns[s])
      {
        wl_issuer_tick (n->issuer, clock_us (sim, i));
        break;
      }
  follow_requests (sim, i);
  flush (sim, i);
}

/* Restarts, freezes or cuts off a node, often the issuer of a service. */
static void
signal_node (Sim *sim)
{
  static const WlLimitsSimSignal kinds[]
      = { WL_LIMITS_SIM_RESTART, WL_LIMITS_SIM_FREEZE, WL_LIMITS_SIM_CUT };
  WlLimitsSimSignal kind = kinds[chance (sim, 3)];
  uint32_t i = chance (sim, sim->plan->n_nodes);
  if (chance (sim, 100) < sim->plan->at_issuers)
    i = issuer_of (sim, i, chance (sim, WL_LIMITS_SIM_SERVICES));
  Node *n = &sim->nodes[i];
  if (!(sim->plan->signals & kind) || !n->is_reachable
      || sim->now_ms < n->changed_ms + LAG_MIN_MS + LAG_SPREAD_MS)
    return;
  sim->out->n_signals++;
  n->changed_ms = sim->now_ms;
  n->is_reachable = 0;
  if (kind == WL_LIMITS_SIM_FREEZE)
    n->frozen_until_ms = sim->now_ms + 300 + chance (sim, 5000);
  else if (kind == WL_LIMITS_SIM_CUT)
    n->cut_until_ms = sim->now_ms + 1500 + chance (sim, 4000);
  else
    {
      end_node (sim, i);
      n->limits = NULL;
      n->permits = NULL;
      n->issuer = NULL;
      n->inbox = NULL;
      n->down_until_ms = sim->now_ms + 500 + chance (sim, 3000);
    }
}

static void
change_rates (Sim *sim)
{
  for (uint32_t i = 0; i < WL_LIMITS_SIM_ENDPOINTS; i++)
    {
      WlLimitsSimEndpoint *e = &sim->out->endpoints[i];
      e->rate = e->rate == rates[i] ? rates[i] / 2 : rates[i];
    }
}

static const uint64_t *seed_of_order;

static int
compare_ranks (const void *a, const void *b)
{
  uint64_t ra = wl_hash_ids (*seed_of_order, *(const uint32_t *)a);
  uint64_t rb = wl_hash_ids (*seed_of_order, *(const uint32_t *)b);
  return ra < rb ? 1 : ra > rb ? -1 : 0;
}

static void
set_up (Sim *sim)
{
  sim->fleet = wl_fleet_create ();
  for (uint32_t i = 0; i < WL_LIMITS_SIM_ENDPOINTS; i++)
    {
      WlEndpointRecord r = { .address = i + 1, .port = 80, .slots = 64, .started_ms = 1 };
      snprintf (r.id, sizeof r.id, "i-%u", i);
      snprintf (r.service, sizeof r.service, "s-%u", service_of (i));
      wl_fleet_apply (sim->fleet, &r, 1);
      sim->fleet->endpoints[i].last_contact_us = UINT64_MAX / 2;
      sim->out->endpoints[i].rate = sim->out->endpoints[i].rate_max = rates[i];
      sim->services[service_of (i)] = wl_permits_service (r.service);
    }
  for (uint32_t s = 0; s < WL_LIMITS_SIM_SERVICES; s++)
    {
      sim->ranked[s] = malloc (sim->plan->n_nodes * sizeof (uint32_t));
      if (sim->ranked[s] == NULL)
        abort ();
      for (uint32_t i = 0; i < sim->plan->n_nodes; i++)
        sim->ranked[s][i] = i;
      seed_of_order = &sim->services[s];
      qsort (sim->ranked[s], sim->plan->n_nodes, sizeof (uint32_t), compare_ranks);
    }
  for (uint32_t i = 0; i < sim->plan->n_nodes; i++)
    {
      start_node (sim, i);
      sim->nodes[i].is_reachable = 1;
    }
  for (uint32_t i = 0; i < WL_LIMITS_SIM_ENDPOINTS; i++)
    wl_limits_note_response (sim->nodes[0].limits, &sim->fleet->endpoints[i], 1, rates[i],
                             clock_us (sim, 0) - 1000, clock_us (sim, 0));
}

static void
tear_down (Sim *sim)
{
  for (uint32_t i = 0; i < sim->plan->n_nodes; i++)
    {
      sim->out->n_messages += sim->nodes[i].n_messages;
      if (sim->nodes[i].n_messages > sim->out->n_most_messages)
        sim->out->n_most_messages = sim->nodes[i].n_messages;
      end_node (sim, i);
    }
  for (uint32_t i = 0; i < RING; i++)
    while (sim->ring[i] != NULL)
      {
        Event *e = sim->ring[i];
        sim->ring[i] = e->next;
        free_event (e);
      }
  for (uint32_t s = 0; s < WL_LIMITS_SIM_SERVICES; s++)
    free (sim->ranked[s]);
  free (sim->nodes);
  wl_fleet_destroy (sim->fleet);
}

static int
compare_times (const void *a, const void *b)
{
  uint32_t ta = *(const uint32_t *)a, tb = *(const uint32_t *)b;
  return ta < tb ? -1 : ta > tb;
}

WlLimitsSimResult *
wl_limits_sim_run (const WlLimitsSimPlan *plan, uint64_t seed)
{
  Sim sim = { .plan = plan, .random = seed };
  sim.out = calloc (1, sizeof *sim.out);
  sim.nodes = calloc (plan->n_nodes, sizeof *sim.nodes);
  if (sim.out == NULL || sim.nodes == NULL)
    abort ();
  set_up (&sim);
  for (sim.now_ms = 1; sim.now_ms < plan->seconds * 1000; sim.now_ms++)
    {
      resume_nodes (&sim);
      deliver_all (&sim);
      begin_requests (&sim);
      for (uint32_t i = 0; i < plan->n_nodes; i++)
        run_node (&sim, i);
      if (plan->signal_ms != 0 && chance (&sim, plan->signal_ms) == 0)
        signal_node (&sim);
      if (plan->change_s != 0 && sim.now_ms % (plan->change_s * 1000) == 0)
        change_rates (&sim);
    }
  tear_down (&sim);
  for (uint32_t i = 0; i < WL_LIMITS_SIM_ENDPOINTS; i++)
    qsort (sim.out->endpoints[i].at_ms, sim.out->endpoints[i].n_arrivals, sizeof (uint32_t),
           compare_times);
  return sim.out;
}

uint32_t
wl_limits_sim_most (const WlLimitsSimEndpoint *endpoint, uint32_t from_ms)
{
  uint32_t most = 0;
  for (uint32_t i = 0, j = 0; i < endpoint->n_arrivals; i++)
    {
      while (endpoint->at_ms[i] - endpoint->at_ms[j] >= WL_LIMITS_SIM_WINDOW_MS)
        j++;
      if (endpoint->at_ms[i] >= from_ms && i - j + 1 > most)
        most = i - j + 1;
    }
  return most;
}
