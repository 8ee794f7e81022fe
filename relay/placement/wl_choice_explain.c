#include <stdlib.h>
#include <string.h>
#include "wl_choice_explain.h"
#include "wl_choice_internal.h"

/* What rules an endpoint out before it is scored; WL_VERDICT_NOT_PREFERRED for nothing. */
static WlVerdict
rule_out (const WlChoiceRequest *q, const WlEndpoint *e, uint64_t now_us)
{
  if (e->record.is_draining || e->record.has_left)
    return WL_VERDICT_LEAVING;
  if (now_us >= e->last_contact_us + WL_FLEET_TIMEOUT_US)
    return WL_VERDICT_SILENT;
  if (now_us < e->ejected_until_us)
    return WL_VERDICT_EJECTED;
  if (!wl_fleet_is_usable (e, now_us))
    return WL_VERDICT_EVACUATED;
  if (wl_choice_is_excluded (q, e->key))
    return WL_VERDICT_TRIED;
  if (!wl_choice_may_use (q, e))
    return WL_VERDICT_LIMITED;
  return WL_VERDICT_NOT_PREFERRED;
}

static WlVerdict
judge (const WlChoiceRequest *q, const WlChoice *choice, const WlCandidate *c)
{
  const WlEndpoint *e = c->endpoint;
  if (choice->result == WL_CHOICE_PLACED)
    {
      if (choice->endpoint == e)
        return WL_VERDICT_ANSWERS;
      for (uint32_t i = 0; i < choice->n_helpers; i++)
        if (choice->helpers[i] == e)
          return WL_VERDICT_HELPS;
      /* Its load is not seen, so its times say nothing. */
      if (q->visibility == WL_CHOICE_SEES_OWN_DOMAIN && strcmp (e->record.domain, q->domain) != 0
          && strcmp (choice->endpoint->record.domain, q->domain) == 0)
        return WL_VERDICT_OTHER_DOMAIN;
    }
  if (!c->has_room)
    return WL_VERDICT_FULL;
  if (q->service->has_engine && c->ttft_us >= q->deadline_us)
    return WL_VERDICT_TOO_LATE;
  if (q->service->has_engine && c->score < 0.0)
    return WL_VERDICT_COSTLY;
  return WL_VERDICT_NOT_PREFERRED;
}

/* Scores the candidates as wl_choice_make() does for a prompt that is not split. */
static void
score_all (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all, uint32_t n)
{
  uint64_t prefill_us
      = q->service->has_engine ? wl_forecast_prefill_us (&q->service->engine, q->prompt) : 0;
  if (q->service->has_engine && q->visibility == WL_CHOICE_SEES_OTHERS_DELAYED)
    wl_choice_mark_pools (q, all, n);
  for (uint32_t i = 0; i < n; i++)
    wl_choice_score (load, q, &all[i], q->prompt, prefill_us);
}

static const WlCandidate *
find_candidate (const WlCandidate *all, uint32_t n, const WlEndpoint *e)
{
  for (uint32_t i = 0; i < n; i++)
    if (all[i].endpoint == e)
      return &all[i];
  return NULL;
}

uint32_t
wl_choice_explain (WlFleet *fleet, const WlLoad *load, const WlChoiceRequest *request,
                   uint64_t now_us, uint64_t random, WlExplainedEndpoint *out, uint32_t max,
                   WlChoice *choice)
{
  uint32_t n = 0;
  uint32_t n_candidates = 0;
  WlCandidate *all = calloc (fleet->n_endpoints + 1, sizeof *all);
  if (all == NULL)
    abort ();
  *choice = wl_choice_make (fleet, load, request, now_us, random);
  for (uint32_t i = 0; i < fleet->n_endpoints; i++)
    {
      WlEndpoint *e = &fleet->endpoints[i];
      if (strcmp (e->record.service, request->service->name) != 0)
        continue;
      WlExplainedEndpoint x = { .endpoint = e,
                                .verdict = rule_out (request, e, now_us),
                                .sum = wl_load_sum (load, e->key, now_us),
                                .slowdown = wl_fleet_slowdown (e, now_us) };
      if (x.verdict == WL_VERDICT_NOT_PREFERRED)
        all[n_candidates++] = (WlCandidate){ .endpoint = e, .sum = x.sum, .slowdown = x.slowdown };
      if (n < max)
        out[n++] = x;
    }
  score_all (load, request, all, n_candidates);
  for (uint32_t i = 0; i < n; i++)
    {
      const WlCandidate *c = find_candidate (all, n_candidates, out[i].endpoint);
      if (c == NULL)
        continue;
      out[i].verdict = judge (request, choice, c);
      out[i].predicted_us = c->ttft_us;
      out[i].score = c->score;
    }
  free (all);
  return n;
}

const char *
wl_verdict_name (WlVerdict verdict)
{
  static const char *const names[] = {
    [WL_VERDICT_ANSWERS] = "answers",
    [WL_VERDICT_HELPS] = "helps",
    [WL_VERDICT_LEAVING] = "leaving",
    [WL_VERDICT_SILENT] = "silent",
    [WL_VERDICT_EJECTED] = "ejected",
    [WL_VERDICT_EVACUATED] = "evacuated",
    [WL_VERDICT_TRIED] = "tried",
    [WL_VERDICT_LIMITED] = "limited",
    [WL_VERDICT_FULL] = "full",
    [WL_VERDICT_TOO_LATE] = "too_late",
    [WL_VERDICT_COSTLY] = "costly",
    [WL_VERDICT_OTHER_DOMAIN] = "other_domain",
    [WL_VERDICT_NOT_PREFERRED] = "not_preferred",
  };
  return (size_t)verdict < sizeof names / sizeof *names ? names[verdict] : "none";
}
