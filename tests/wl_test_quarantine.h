#ifndef WL_TEST_QUARANTINE_H
#define WL_TEST_QUARANTINE_H

#include "wl_quarantine.h"
#include "wl_test.h"

/* Requests of one route and service, for the tests of the quarantine. */

enum
{
  SECOND_US = 1000000,
  SERVICE = 71,
  ROUTE = 81,
  SHARED = 1, /* the part that all requests of the route share */
  BAD = 100,
  MIDDLE = 200, /* a part of some sound requests */
};

static const uint64_t start_us = UINT64_C (100000) * SECOND_US;

/* Up to three parts; 0 for none. */
static inline WlPromptParts
parts_of (uint64_t a, uint64_t b, uint64_t c)
{
  WlPromptParts parts = { .n = 0 };
  const uint64_t ids[] = { a, b, c };
  for (uint32_t i = 0; i < 3; i++)
    if (ids[i] != 0)
      parts.ids[parts.n++] = ids[i];
  return parts;
}

static inline WlPartUse
use_of (const WlPromptParts *parts, uint64_t customer)
{
  return (WlPartUse){ .service = SERVICE, .route = ROUTE, .customer = customer, .parts = parts };
}

static inline void
note_request (WlQuarantine *q, const WlPromptParts *parts, uint64_t now_us)
{
  WlPartUse use = use_of (parts, 1);
  wl_quarantine_note_request (q, &use, now_us);
}

static inline void
note_sound (WlQuarantine *q, const WlPromptParts *parts, uint64_t now_us)
{
  WlPartUse use = use_of (parts, 1);
  wl_quarantine_note_sound (q, &use, now_us);
}

static inline void
note_end (WlQuarantine *q, uint64_t endpoint, const WlPromptParts *parts, uint64_t customer,
          uint64_t now_us)
{
  WlPartUse use = use_of (parts, customer);
  wl_quarantine_note_end (q, endpoint, &use, now_us);
}

/* Verdict on a request of a customer with only this part. */
static inline WlQuarantineAnswer
check (WlQuarantine *q, uint64_t part, uint64_t customer, int may_try, uint64_t now_us)
{
  WlPromptParts parts = parts_of (part, 0, 0);
  WlPartUse use = use_of (&parts, customer);
  return wl_quarantine_check (q, &use, may_try, now_us);
}

static inline int
refuses (WlQuarantine *q, uint64_t part, uint64_t customer, uint64_t now_us)
{
  return check (q, part, customer, 0, now_us).verdict == WL_QUARANTINE_REFUSE;
}

/* A quarantine that has seen requests with other parts, so that only SHARED is common. */
static inline WlQuarantine *
create_with_traffic (void)
{
  WlQuarantine *q = wl_quarantine_create ();
  for (uint64_t i = 0; i < 3; i++)
    {
      WlPromptParts parts = parts_of (SHARED, 900 + i, 0);
      note_request (q, &parts, start_us - SECOND_US);
    }
  return q;
}

/* Ends of @n endpoints from @endpoint on, 200 ms apart. Return: the time after them. */
static inline uint64_t
end_endpoints (WlQuarantine *q, uint64_t endpoint, uint64_t n, const WlPromptParts *parts,
               uint64_t customer, uint64_t now_us)
{
  for (uint64_t i = 0; i < n; i++, now_us += SECOND_US / 5)
    note_end (q, endpoint + i, parts, customer, now_us);
  return now_us;
}

/* Passes on what a quarantine has to tell. Return: 1 when it had something. */
static inline int
tell (WlQuarantine *from, WlQuarantine *to, uint64_t now_us)
{
  WlPartReport report;
  int has_report = wl_quarantine_take_report (from, now_us, &report);
  if (has_report)
    wl_quarantine_apply (to, &report, now_us);
  return has_report;
}

static inline int
tell_all (WlQuarantine *from, WlQuarantine *to, uint64_t now_us)
{
  WlPartReport report;
  int has_report = wl_quarantine_full_report (from, now_us, &report);
  if (has_report)
    wl_quarantine_apply (to, &report, now_us);
  return has_report;
}

/* Quarantines BAD for customer 1 by three ends before @now_us. */
static inline void
quarantine_bad (WlQuarantine *q, uint64_t now_us)
{
  WlPromptParts parts = parts_of (SHARED, BAD, 0);
  end_endpoints (q, 1, 3, &parts, 1, now_us - SECOND_US / 2);
  ck_assert (refuses (q, BAD, 1, now_us));
}

#endif
