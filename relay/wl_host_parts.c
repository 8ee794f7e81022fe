#include <string.h>
#include <xxhash.h>
#include "wl_clock.h"
#include "wl_host_internal.h"

/* Evidence on parts of prompts, between nodes: see docs/design/quarantine.md. */

static int
is_mesh (const WlHost *host)
{
  return wl_view_is_mesh (host->membership->view);
}

void
wl_host_flush_parts (WlHost *host, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_PART_REPORT };
  if (!wl_quarantine_take_report (wl_relay_quarantine (host->relay), now_us, &m.u.part_report))
    return;
  wl_host_broadcast (host, &m);
  if (!is_mesh (host))
    wl_host_send_to_other_domains (host, &m, now_us);
}

void
wl_host_send_parts (WlHost *host, uint32_t node, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_PART_REPORT };
  WlQuarantine *q = wl_relay_quarantine (host->relay);
  /* Ends are restored from a disk: a node without one only repeats what the others report. */
  int has_report = host->journal != NULL ? wl_quarantine_join_report (q, now_us, &m.u.part_report)
                                         : wl_quarantine_full_report (q, now_us, &m.u.part_report);
  if (has_report)
    wl_host_send (host, node, &m);
}

void
wl_host_broadcast_quarantined (WlHost *host, uint64_t now_us)
{
  WlMessage m = { .kind = WL_MESSAGE_PART_REPORT };
  if (!wl_quarantine_full_report (wl_relay_quarantine (host->relay), now_us, &m.u.part_report))
    return;
  uint32_t first;
  wl_host_broadcast (host, &m);
  /* One node of each failure domain is enough for the others: each report is passed on there. */
  if (!is_mesh (host)
      && wl_view_relays (host->membership->view, host->options.domain, now_us, &first, 1) == 1
      && first == host->options.node)
    wl_host_send_to_other_domains (host, &m, now_us);
}

void
wl_host_receive_parts (WlHost *host, uint32_t from, const WlMessage *message, uint64_t now_us)
{
  if (wl_host_must_pass_on (host, from, message->u.part_report.is_passed_on))
    {
      WlMessage passed_on = *message;
      passed_on.u.part_report.is_passed_on = 1;
      wl_host_broadcast (host, &passed_on);
    }
  wl_relay_apply_part_report (host->relay, from, &message->u.part_report, now_us);
}

/* Rank of a node among those that may run the trials of a part. */
static uint64_t
trial_rank (uint64_t part, uint32_t node)
{
  const uint64_t content[] = { part, node };
  return XXH64 (content, sizeof content, 0);
}

int
wl_host_may_try_part (void *host_data, uint64_t part)
{
  const WlHost *host = host_data;
  uint64_t now_us = wl_clock_now_us ();
  uint64_t own = trial_rank (part, host->options.node);
  if (!wl_host_is_ready (host))
    return 0;
  for (uint32_t i = 0; i < host->roster->n_nodes; i++)
    {
      const WlRosterNode *node = &host->roster->nodes[i];
      if (wl_roster_accepts_requests (node, now_us) && trial_rank (part, node->status.node) > own)
        return 0;
    }
  return 1;
}
