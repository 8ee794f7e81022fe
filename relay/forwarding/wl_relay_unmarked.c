#include "wl_relay_internal.h"

/*
 * Responses without a marked end that ended soon after their first output. The end of
 * such a response and the end of its endpoint look the same on its connection. When another
 * connection to the endpoint breaks at the same time, or one is refused, the endpoint ended.
 */

enum
{
  SAME_TIME_US = 200000,
};

static WlRelaySuspect *
oldest_end (WlRelay *relay)
{
  WlRelaySuspect *oldest = &relay->unmarked_ends[0];
  for (uint32_t i = 1; i < WL_RELAY_UNMARKED_MAX; i++)
    if (relay->unmarked_ends[i].at_us < oldest->at_us)
      oldest = &relay->unmarked_ends[i];
  return oldest;
}

static int
has_broken (const WlRelay *relay, uint64_t endpoint, uint64_t now_us)
{
  for (uint32_t i = 0; i < WL_RELAY_UNMARKED_MAX; i++)
    if (relay->breaks[i].endpoint == endpoint && now_us <= relay->breaks[i].at_us + SAME_TIME_US)
      return 1;
  return 0;
}

void
wl_relay_note_unmarked_end (WlRelayRequest *r, uint64_t now_us)
{
  WlRelay *relay = r->relay;
  WlRelaySuspect end = wl_relay_suspect_of (r, now_us);
  if (has_broken (relay, r->target.key, now_us))
    wl_relay_note_suspect (relay, &end, now_us);
  else
    *oldest_end (relay) = end;
}

void
wl_relay_note_break (WlRelay *relay, uint64_t endpoint, uint64_t now_us)
{
  relay->breaks[relay->n_breaks++ % WL_RELAY_UNMARKED_MAX] = (WlRelayBreak){ endpoint, now_us };
  for (uint32_t i = 0; i < WL_RELAY_UNMARKED_MAX; i++)
    {
      WlRelaySuspect *end = &relay->unmarked_ends[i];
      if (end->at_us == 0 || end->target.key != endpoint || now_us > end->at_us + SAME_TIME_US)
        continue;
      wl_relay_note_suspect (relay, end, now_us);
      end->at_us = 0;
    }
}
