#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "wl_warmup.h"

enum
{
  NODES_MAX = 2 * WL_ROSTER_MAX, /* lost nodes stay longer than in the roster */
  CLAIM_AGE_US = 30000000,       /* a node adopts what others count for so long after its start */
};

/* A node that was seen recently; the first entry is this node. */
typedef struct
{
  uint32_t node;
  uint64_t domain; /* hash */
  uint64_t known_us;
  uint8_t is_alive;
  uint8_t is_draining;
} KnownNode;

/**
 * struct WlWarmup - see wl_warmup.h
 * @nodes: nodes that count, @n_nodes of them
 * @domains: their failure domains, @n_domains of them
 * @senders_max: most senders of an endpoint; depends on @n_nodes
 * @generation: increases when @nodes changes
 * @started_us: when this node began to count
 * @ticked_us: latest tick
 * @active_us: from when on this node may send, UINT64_MAX while it sees too few nodes
 * @majority_us: since when it has seen enough nodes, 0 while it does not
 * @claim: most nodes that another node counted when this one was young
 * @n_unheard: seeds that were not heard since the start
 */
struct WlWarmup
{
  WlWarmupOptions options;
  KnownNode nodes[NODES_MAX];
  uint32_t n_nodes;
  uint64_t domains[NODES_MAX];
  uint32_t n_domains;
  uint32_t senders_max;
  uint64_t generation;
  uint64_t started_us;
  uint64_t ticked_us;
  uint64_t active_us;
  uint64_t majority_us;
  uint32_t claim;
  uint32_t n_unheard;
};

/* ---- nodes ---- */

static uint64_t
hash_domain (const char *domain)
{
  return XXH64 (domain, strlen (domain), 0);
}

/*
 * Most senders of an endpoint in a fleet of @n nodes. Small fleets have few, of which each may send
 * more: a share for every rank would leave those without a node unused.
 */
static uint32_t
senders_max (uint32_t n)
{
  static const uint32_t steps[] = { WL_WARMUP_SENDERS_MAX, 6, 3 };
  for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
    if (n > steps[i])
      return steps[i];
  return 1;
}

void
wl_warmup_hold (WlWarmup *warmup, uint64_t now_us)
{
  warmup->generation++;
  if (warmup->active_us < now_us + WL_WARMUP_HOLD_US)
    warmup->active_us = now_us + WL_WARMUP_HOLD_US;
}

/* Adds a failure domain to a sorted list of @n; returns its new length. */
static uint32_t
add_domain (uint64_t *list, uint32_t n, uint64_t domain)
{
  uint32_t at = 0;
  while (at < n && list[at] < domain)
    at++;
  if (at < n && list[at] == domain)
    return n;
  memmove (&list[at + 1], &list[at], (n - at) * sizeof *list);
  list[at] = domain;
  return n + 1;
}

/* Follows a change of the nodes. A change of the domains or of the size moves shares: then a hold.
 */
static void
follow_nodes (WlWarmup *warmup, uint64_t now_us)
{
  uint64_t domains[NODES_MAX] = { 0 };
  uint32_t n = 0;
  for (uint32_t i = 0; i < warmup->n_nodes; i++)
    n = add_domain (domains, n, warmup->nodes[i].domain);
  uint32_t max = senders_max (warmup->n_nodes);
  int is_moved = max != warmup->senders_max || n != warmup->n_domains
                 || memcmp (domains, warmup->domains, n * sizeof *domains) != 0;
  memcpy (warmup->domains, domains, n * sizeof *domains);
  warmup->n_domains = n;
  warmup->senders_max = max;
  warmup->generation++;
  if (is_moved)
    wl_warmup_hold (warmup, now_us);
}

WlWarmup *
wl_warmup_create (const WlWarmupOptions *options, uint64_t now_us)
{
  WlWarmup *warmup = calloc (1, sizeof *warmup);
  if (warmup == NULL)
    abort ();
  warmup->options = *options;
  warmup->options.domain = NULL;
  warmup->nodes[0] = (KnownNode){ .node = options->node,
                                  .domain = hash_domain (options->domain),
                                  .is_alive = 1 };
  warmup->n_nodes = 1;
  warmup->started_us = now_us;
  warmup->ticked_us = now_us;
  warmup->majority_us = now_us;
  follow_nodes (warmup, now_us);
  return warmup;
}

void
wl_warmup_destroy (WlWarmup *warmup)
{
  free (warmup);
}

void
wl_warmup_tick (WlWarmup *warmup, uint64_t now_us)
{
  if (now_us > warmup->ticked_us + WL_WARMUP_FREEZE_US)
    wl_warmup_hold (warmup, now_us);
  warmup->ticked_us = now_us;
}

/* Position of another node, @n_nodes when it is not known. The search begins at @likely. */
static uint32_t
find_node (const WlWarmup *warmup, uint32_t node, uint32_t likely)
{
  if (likely < warmup->n_nodes && warmup->nodes[likely].node == node)
    return likely;
  uint32_t i = 1;
  while (i < warmup->n_nodes && warmup->nodes[i].node != node)
    i++;
  return i;
}

/*
 * Adds a node, or renews it. @at is the position of the previous one, then of this one: rosters
 * keep their order. Returns 1 when the node is new or has another failure domain.
 */
static int
note_node (WlWarmup *warmup, const WlRosterNode *r, uint32_t *at, uint64_t now_us)
{
  uint64_t domain = hash_domain (r->status.domain);
  uint32_t i = find_node (warmup, r->status.node, *at + 1);
  if (i == NODES_MAX)
    return 0;
  *at = i;
  int is_new = i == warmup->n_nodes || warmup->nodes[i].domain != domain;
  warmup->n_nodes += i == warmup->n_nodes;
  warmup->nodes[i] = (KnownNode){
    .node = r->status.node,
    .domain = domain,
    .known_us = now_us,
    .is_alive = (uint8_t)wl_roster_is_alive (r, now_us),
    .is_draining = r->status.is_draining,
  };
  return is_new;
}

/* Nodes of which this one must see more than half. */
static uint32_t
quorum_base (const WlWarmup *warmup)
{
  uint32_t n = warmup->n_nodes + warmup->n_unheard;
  return n > warmup->claim ? n : warmup->claim;
}

static int
sees_majority (const WlWarmup *warmup)
{
  uint32_t n_alive = 0;
  for (uint32_t i = 0; i < warmup->n_nodes; i++)
    n_alive += warmup->nodes[i].is_alive;
  return 2 * n_alive > quorum_base (warmup);
}

/*
 * Drops nodes that were lost long ago. A node that sees too few keeps them, so that neither side of
 * a partition comes to take itself for the whole. Returns 1 when one was dropped.
 */
static int
forget_lost (WlWarmup *warmup, int has_majority, uint64_t now_us)
{
  uint32_t n = 1;
  for (uint32_t i = 1; i < warmup->n_nodes; i++)
    {
      const KnownNode *k = &warmup->nodes[i];
      int may_forget = has_majority || k->is_draining;
      if (now_us <= k->known_us + (may_forget ? WL_WARMUP_MEMORY_US : WL_WARMUP_ISOLATION_US))
        warmup->nodes[n++] = *k;
    }
  int is_changed = n != warmup->n_nodes;
  warmup->n_nodes = n;
  return is_changed;
}

static uint32_t
count_unheard (const WlWarmup *warmup, const uint32_t *seeds, uint32_t n_seeds)
{
  uint32_t n = 0;
  for (uint32_t s = 0; s < n_seeds; s++)
    n += seeds[s] != warmup->options.node && find_node (warmup, seeds[s], 1) == warmup->n_nodes;
  return n;
}

void
wl_warmup_observe (WlWarmup *warmup, const WlRoster *roster, const uint32_t *seeds,
                   uint32_t n_seeds, uint64_t now_us)
{
  int is_changed = 0;
  uint32_t at = 0;
  wl_warmup_tick (warmup, now_us);
  for (uint32_t i = 1; i < warmup->n_nodes; i++)
    warmup->nodes[i].is_alive = 0;
  for (uint32_t i = 0; i < roster->n_nodes; i++)
    {
      const WlRosterNode *r = &roster->nodes[i];
      if (!wl_roster_is_alive (r, now_us))
        continue;
      is_changed |= note_node (warmup, r, &at, now_us);
      if (now_us < warmup->started_us + CLAIM_AGE_US && r->status.n_known > warmup->claim)
        warmup->claim = r->status.n_known;
    }
  warmup->n_unheard = 0;
  if (now_us < warmup->started_us + WL_WARMUP_ISOLATION_US)
    warmup->n_unheard = count_unheard (warmup, seeds, n_seeds);
  if (now_us > warmup->started_us + WL_WARMUP_ISOLATION_US)
    warmup->claim = 0; /* as with lost nodes: what others counted may be wrong */
  is_changed |= forget_lost (warmup, sees_majority (warmup), now_us);
  if (is_changed)
    follow_nodes (warmup, now_us);
  if (!sees_majority (warmup))
    {
      warmup->majority_us = 0;
      warmup->active_us = UINT64_MAX;
      return;
    }
  if (warmup->majority_us == 0)
    warmup->majority_us = now_us;
  if (warmup->active_us == UINT64_MAX)
    {
      int is_start = now_us < warmup->started_us + WL_WARMUP_REJOIN_US;
      warmup->active_us = now_us + (is_start ? WL_WARMUP_HOLD_US : WL_WARMUP_REJOIN_US);
      warmup->generation++;
    }
  if (now_us > warmup->majority_us + WL_WARMUP_MEMORY_US
      && now_us > warmup->started_us + CLAIM_AGE_US)
    warmup->claim = 0;
}

uint32_t
wl_warmup_n_known (const WlWarmup *warmup)
{
  return quorum_base (warmup);
}

int
wl_warmup_is_active (const WlWarmup *warmup, uint64_t now_us)
{
  return warmup->active_us <= now_us && now_us <= warmup->ticked_us + WL_WARMUP_FREEZE_US;
}

/* ---- shares ---- */

/* Requests that all nodes together may send in WL_WARMUP_WINDOW_US. */
static uint32_t
bound (const WlWarmup *warmup, const WlRouteService *service)
{
  double n = (double)service->cold_rate / 1000.0 * warmup->options.over + warmup->options.slack;
  return n < UINT32_MAX ? (uint32_t)n : UINT32_MAX;
}

/* Senders of an endpoint, those that leave the least of the bound unused; of these the most. */
static uint32_t
count_senders (const WlWarmup *warmup, uint32_t n_requests)
{
  uint32_t best = 1;
  for (uint32_t k = 2; k <= warmup->senders_max && k <= n_requests; k++)
    if ((uint64_t)k * (n_requests / k) >= (uint64_t)best * (n_requests / best))
      best = k;
  return best;
}

static uint64_t
rank (uint64_t endpoint, uint64_t member)
{
  uint64_t content[] = { endpoint, member };
  return XXH64 (content, sizeof content, 0);
}

/* Senders of an endpoint in the failure domain of this node: an equal part, the rest by rank. */
static uint32_t
senders_in_domain (const WlWarmup *warmup, uint64_t endpoint, uint32_t n_senders)
{
  uint64_t own = rank (endpoint, warmup->nodes[0].domain);
  uint32_t n_before = 0;
  for (uint32_t i = 0; i < warmup->n_domains; i++)
    n_before += rank (endpoint, warmup->domains[i]) < own;
  return n_senders / warmup->n_domains + (n_before < n_senders % warmup->n_domains);
}

static int
is_sender (const WlWarmup *warmup, uint64_t endpoint, uint32_t n_senders)
{
  uint32_t n_here = senders_in_domain (warmup, endpoint, n_senders);
  uint64_t own = rank (endpoint, warmup->nodes[0].node);
  uint32_t n_before = 0;
  for (uint32_t i = 1; i < warmup->n_nodes && n_before < n_here; i++)
    n_before += warmup->nodes[i].domain == warmup->nodes[0].domain
                && rank (endpoint, warmup->nodes[i].node) < own;
  return n_before < n_here;
}

/* Time between two requests of one sender; one in WL_WARMUP_WINDOW_US less than it is meant for. */
static uint64_t
interval_us (uint32_t n_requests, uint32_t n_senders)
{
  uint64_t window_us = WL_WARMUP_WINDOW_US + WL_WARMUP_JITTER_US + WL_WARMUP_LATE_US;
  return window_us / (n_requests / n_senders) + 1;
}

int
wl_warmup_is_cold (const WlRouteService *service, const WlEndpoint *endpoint, uint64_t now_us)
{
  return service->cold_rate > 0
         && now_us < wl_fleet_cold_until_us (endpoint, service->cold_start_us);
}

uint64_t
wl_warmup_wait_us (WlWarmup *warmup, const WlRouteService *service, WlEndpoint *endpoint,
                   uint64_t now_us)
{
  WlColdShare *share = &endpoint->cold_share;
  uint32_t n_requests = bound (warmup, service);
  if (n_requests == 0 || warmup->active_us == UINT64_MAX
      || now_us > warmup->ticked_us + WL_WARMUP_FREEZE_US)
    return UINT64_MAX;
  if (share->generation != warmup->generation || share->n_requests != n_requests)
    {
      /* In a generation that was not looked at, the share may have been another node's. */
      int was_sender = share->is_sender && share->n_requests == n_requests
                       && share->generation + 1 == warmup->generation;
      uint32_t n_senders = count_senders (warmup, n_requests);
      share->generation = warmup->generation;
      share->n_requests = n_requests;
      share->is_sender = (uint8_t)is_sender (warmup, endpoint->key, n_senders);
      /* A new share starts empty. */
      uint64_t from_us = warmup->active_us > now_us ? warmup->active_us : now_us;
      if (from_us > now_us || !was_sender)
        share->next_us = from_us + interval_us (n_requests, n_senders);
    }
  if (!share->is_sender)
    return UINT64_MAX;
  return share->next_us > now_us ? share->next_us - now_us : 0;
}

int
wl_warmup_take (WlWarmup *warmup, const WlRouteService *service, WlEndpoint *endpoint,
                uint64_t now_us)
{
  WlColdShare *share = &endpoint->cold_share;
  if (wl_warmup_wait_us (warmup, service, endpoint, now_us) > 0)
    return 0;
  uint32_t n_requests = bound (warmup, service);
  uint64_t due_us
      = share->next_us + WL_WARMUP_LATE_US > now_us ? share->next_us : now_us - WL_WARMUP_LATE_US;
  share->next_us = due_us + interval_us (n_requests, count_senders (warmup, n_requests));
  return 1;
}
