#include <xxhash.h>
#include "wl_clock.h"
#include "wl_host_internal.h"

/* Limits of endpoints, and permits for them, between nodes: see docs/design/limits.md. */

/* ---- what endpoints say ---- */

static void
flush_report (WlHost *host, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_LIMIT_REPORT };
  if (!wl_limits_take_report (wl_relay_limits (host->relay), now_us, &m.u.limit_report))
    return;
  wl_host_broadcast (host, &m);
  if (!wl_view_is_mesh (host->membership->view))
    wl_host_send_to_other_domains (host, &m, now_us);
}

void
wl_host_send_limits (WlHost *host, uint32_t node, uint64_t now_us)
{
  const WlView *view = host->membership->view;
  WlMessage m = { .kind = WL_MESSAGE_LIMIT_REPORT };
  uint32_t first;
  if (!wl_limits_full_report (wl_relay_limits (host->relay), now_us, &m.u.limit_report))
    return;
  if (node != 0)
    {
      wl_host_send (host, node, &m);
      return;
    }
  wl_host_broadcast (host, &m);
  /* One node of each failure domain is enough for the others: each report is passed on there. */
  if (!wl_view_is_mesh (view) && wl_view_relays (view, host->options.domain, now_us, &first, 1) == 1
      && first == host->options.node)
    wl_host_send_to_other_domains (host, &m, now_us);
}

static void
receive_report (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us)
{
  if (wl_host_must_pass_on (host, from, message->u.limit_report.is_passed_on))
    {
      WlMessage passed_on = *message;
      passed_on.u.limit_report.is_passed_on = 1;
      wl_host_broadcast (host, &passed_on);
    }
  wl_relay_apply_limit_report (host->relay, from, &message->u.limit_report, now_us);
}

/* ---- permits ---- */

static uint64_t
issuer_rank (uint64_t service, uint32_t node)
{
  const uint64_t content[] = { service, node };
  return XXH64 (content, sizeof content, 0);
}

/* The issuer of a service by the view of this node; 0 for none. */
static uint32_t
find_issuer (const WlHost *host, uint64_t service, uint64_t now_us)
{
  uint32_t best = wl_host_is_ready (host) ? host->options.node : 0;
  uint64_t best_rank = best != 0 ? issuer_rank (service, best) : 0;
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      const WlRosterNode *node = &host->roster->nodes[i];
      uint64_t rank = issuer_rank (service, node->status.node);
      if ((best != 0 && rank <= best_rank) || !wl_roster_accepts_requests (node, now_us))
        continue;
      best = node->status.node;
      best_rank = rank;
    }
  return best;
}

static int
is_own_service (const WlHost *host, uint64_t service, uint64_t now_us)
{
  return find_issuer (host, service, now_us) == host->options.node;
}

static void
send_answers (WlHost *host)
{
  WlMessage m = { .kind = WL_MESSAGE_PERMIT_ANSWER };
  uint32_t node;
  while (wl_issuer_take_answer (host->issuer, &node, &m.u.permit_answer))
    {
      wl_relay_metrics (host->relay)->permits_answered++;
      wl_host_send (host, node, &m);
    }
}

static void
send_asks (WlHost *host, uint64_t now_us)
{
  WlPermits *permits = wl_relay_permits (host->relay);
  WlMessage ask = { .kind = WL_MESSAGE_PERMIT_ASK };
  WlMessage returned = { .kind = WL_MESSAGE_PERMIT_RETURN };
  uint32_t issuer;
  while (wl_permits_take_ask (permits, &ask.u.permit_ask))
    {
      issuer = find_issuer (host, ask.u.permit_ask.service, now_us);
      if (issuer != 0)
        wl_host_send (host, issuer, &ask);
    }
  while (wl_permits_take_return (permits, &returned.u.permit_return))
    {
      wl_relay_metrics (host->relay)->permits_returned++;
      issuer = find_issuer (host, returned.u.permit_return.service, now_us);
      if (issuer != 0)
        wl_host_send (host, issuer, &returned);
    }
}

void
wl_host_flush_limits (WlHost *host, uint64_t now_us)
{
  flush_report (host, now_us);
  send_asks (host, now_us);
  wl_issuer_tick (host->issuer, now_us);
  send_answers (host);
}

int
wl_host_receive_limits (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us)
{
  switch (message->kind)
    {
    case WL_MESSAGE_LIMIT_REPORT:
      receive_report (host, from, message, now_us);
      return 1;
    case WL_MESSAGE_PERMIT_ASK:
      wl_issuer_ask (host->issuer, from, &message->u.permit_ask,
                     is_own_service (host, message->u.permit_ask.service, now_us), now_us);
      send_answers (host);
      return 1;
    case WL_MESSAGE_PERMIT_ANSWER:
      wl_permits_answer (wl_relay_permits (host->relay), &message->u.permit_answer, now_us);
      host->next_tick_us = now_us; /* the request goes on at once */
      return 1;
    case WL_MESSAGE_PERMIT_RETURN:
      wl_issuer_return (host->issuer, &message->u.permit_return, now_us);
      return 1;
    default:
      return 0;
    }
}

void
wl_host_limits_tick (WlHost *host, uint64_t now_us)
{
  const WlRoutes *routes = wl_relay_routes (host->relay);
  int was_alone = host->is_alone;
  host->is_alone = host->membership->n_alive <= 1;
  wl_limits_expire (wl_relay_limits (host->relay), host->fleet, now_us);
  for (uint32_t i = 0; routes != NULL && i < routes->n_services; i++)
    {
      uint64_t service = wl_permits_service (routes->services[i].name);
      if (was_alone && !host->is_alone)
        wl_issuer_set_own (host->issuer, service, 0, now_us); /* the others may have had one */
      wl_issuer_set_own (host->issuer, service, is_own_service (host, service, now_us), now_us);
    }
}
