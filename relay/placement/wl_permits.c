#include <stdlib.h>
#include <string.h>
#include "wl_permits.h"

enum
{
  RECORDS_MAX = 2 * WL_PERMIT_ASKS_MAX, /* with those that ended, whose permit may still come */
  RETURNS_MAX = 64,
  DENIALS_MAX = 64,       /* services and customers */
  DENIAL_US = 500000,     /* for how long one holds for other requests: a bucket fills meanwhile */
  BUSY_RETRY_US = 500000, /* when this node may not ask, or hears no answer */
  SECOND_US = 1000000,
};

typedef enum
{
  ASK_FREE,
  ASK_UNSENT,
  ASK_SENT,
  ASK_ENDED, /* the request went on without an answer; a permit is returned when it comes */
  ASK_GRANTED,
  ASK_DENIED,
} AskState;

typedef struct
{
  AskState state;
  uint64_t id;
  uint64_t service, customer;
  uint64_t max_wait_us;
  WlEndpointKey excluded[WL_PERMIT_EXCLUDED_MAX];
  uint32_t n_excluded;
  uint64_t asked_us;
  uint64_t endpoint;       /* of a permit */
  uint64_t valid_until_us; /* of a permit */
  uint64_t retry_us;       /* when a permit is to be expected */
} Ask;

typedef struct
{
  uint64_t service, customer;
  uint64_t max_wait_us; /* the longest wait that was denied */
  uint64_t until_us;    /* 0 is free */
  uint64_t retry_us;
} Denial;

struct WlPermits
{
  Ask asks[RECORDS_MAX];
  uint32_t n_unsent;
  Denial denials[DENIALS_MAX];
  WlPermitReturn returns[RETURNS_MAX];
  uint32_t n_returns;
  uint64_t next_id;
  double tokens; /* asks that may be sent now */
  uint64_t filled_us;
};

uint64_t
wl_permits_service (const char *name)
{
  return wl_fleet_key (name);
}

WlPermits *
wl_permits_create (uint64_t seed)
{
  WlPermits *permits = calloc (1, sizeof *permits);
  if (permits == NULL)
    abort ();
  permits->next_id = seed;
  permits->tokens = WL_PERMIT_ASK_RATE;
  return permits;
}

void
wl_permits_destroy (WlPermits *permits)
{
  free (permits);
}

static uint64_t
time_until (uint64_t at_us, uint64_t now_us)
{
  return at_us > now_us ? at_us - now_us : 0;
}

static void
set_state (WlPermits *permits, Ask *ask, AskState state)
{
  permits->n_unsent = permits->n_unsent - (ask->state == ASK_UNSENT) + (state == ASK_UNSENT);
  ask->state = state;
}

static Denial *
find_denial (WlPermits *permits, uint64_t service, uint64_t customer, uint64_t now_us)
{
  for (uint32_t i = 0; i < DENIALS_MAX; i++)
    {
      Denial *d = &permits->denials[i];
      if (d->service == service && d->customer == customer && now_us < d->until_us)
        return d;
    }
  return NULL;
}

/* Lets other requests of the service and customer know that none is to be had now. */
static void
note_denial (WlPermits *permits, const Ask *ask, uint64_t retry_after_us, uint64_t now_us)
{
  uint64_t hold_us = retry_after_us < DENIAL_US ? retry_after_us : DENIAL_US;
  Denial *d = find_denial (permits, ask->service, ask->customer, now_us);
  uint64_t max_wait_us
      = d != NULL && d->max_wait_us > ask->max_wait_us ? d->max_wait_us : ask->max_wait_us;
  if (d == NULL)
    {
      d = &permits->denials[0];
      for (uint32_t i = 1; i < DENIALS_MAX; i++)
        if (permits->denials[i].until_us < d->until_us)
          d = &permits->denials[i];
    }
  *d = (Denial){ .service = ask->service,
                 .customer = ask->customer,
                 .max_wait_us = max_wait_us,
                 .until_us = now_us + hold_us,
                 .retry_us = now_us + retry_after_us };
}

static void
add_return (WlPermits *permits, const Ask *ask, uint64_t endpoint)
{
  if (permits->n_returns < RETURNS_MAX)
    permits->returns[permits->n_returns++]
        = (WlPermitReturn){ ask->service, ask->customer, endpoint, ask->id };
}

static void
deny (WlPermits *permits, Ask *ask, uint64_t retry_after_us, uint64_t now_us)
{
  set_state (permits, ask, ASK_DENIED);
  ask->retry_us = now_us + retry_after_us;
  note_denial (permits, ask, retry_after_us, now_us);
}

static uint64_t
answer_deadline_us (const Ask *ask)
{
  return ask->asked_us + ask->max_wait_us + WL_PERMIT_ANSWER_US;
}

/* Moves an ask on whose time has passed. */
static void
update (WlPermits *permits, Ask *ask, uint64_t now_us)
{
  int is_late = now_us >= answer_deadline_us (ask);
  if (ask->state == ASK_UNSENT && is_late)
    deny (permits, ask, BUSY_RETRY_US, now_us);
  else if (ask->state == ASK_SENT && is_late)
    {
      note_denial (permits, ask, BUSY_RETRY_US, now_us);
      ask->retry_us = now_us + BUSY_RETRY_US;
      set_state (permits, ask, ASK_ENDED);
    }
  else if (ask->state == ASK_GRANTED && now_us >= ask->valid_until_us)
    {
      add_return (permits, ask, ask->endpoint);
      set_state (permits, ask, ASK_DENIED);
      ask->retry_us = now_us;
    }
  else if ((ask->state == ASK_ENDED || ask->state == ASK_DENIED)
           && now_us >= answer_deadline_us (ask) + WL_PERMIT_LIFETIME_US)
    set_state (permits, ask, ASK_FREE);
}

static Ask *
find_ask (WlPermits *permits, uint64_t id)
{
  for (uint32_t i = 0; i < RECORDS_MAX; i++)
    if (permits->asks[i].id == id && permits->asks[i].state != ASK_FREE)
      return &permits->asks[i];
  return NULL;
}

static int
is_in_progress (const Ask *ask)
{
  return ask->state == ASK_UNSENT || ask->state == ASK_SENT || ask->state == ASK_GRANTED;
}

/* A record for a new ask: a free one, else the oldest that is not in progress. */
static Ask *
take_record (WlPermits *permits, uint64_t now_us)
{
  Ask *best = NULL;
  uint32_t n = 0;
  for (uint32_t i = 0; i < RECORDS_MAX; i++)
    {
      Ask *a = &permits->asks[i];
      update (permits, a, now_us);
      if (is_in_progress (a))
        n++;
      else if (best == NULL
               || (best->state != ASK_FREE
                   && (a->state == ASK_FREE || a->asked_us < best->asked_us)))
        best = a;
    }
  return n < WL_PERMIT_ASKS_MAX ? best : NULL;
}

static int
take_token (WlPermits *permits, uint64_t now_us)
{
  permits->tokens
      += (double)time_until (now_us, permits->filled_us) * WL_PERMIT_ASK_RATE / SECOND_US;
  permits->filled_us = now_us;
  if (permits->tokens > WL_PERMIT_ASK_RATE)
    permits->tokens = WL_PERMIT_ASK_RATE;
  if (permits->tokens < 1.0)
    return 0;
  permits->tokens -= 1.0;
  return 1;
}

uint64_t
wl_permits_ask (WlPermits *permits, const WlPermitAsk *ask, uint64_t now_us, WlPermit *out)
{
  const Denial *denial = find_denial (permits, ask->service, ask->customer, now_us);
  *out = (WlPermit){ .state = WL_PERMIT_DENIED, .retry_after_us = BUSY_RETRY_US };
  if (denial != NULL && ask->max_wait_us <= denial->max_wait_us)
    {
      out->retry_after_us = time_until (denial->retry_us, now_us);
      return 0;
    }
  Ask *a = take_record (permits, now_us);
  if (a == NULL || !take_token (permits, now_us))
    return 0;
  if (++permits->next_id == 0)
    permits->next_id = 1;
  *a = (Ask){ .id = permits->next_id,
              .service = ask->service,
              .customer = ask->customer,
              .max_wait_us = ask->max_wait_us,
              .asked_us = now_us };
  for (uint32_t i = 0; i < ask->n_excluded && i < WL_PERMIT_EXCLUDED_MAX; i++)
    a->excluded[a->n_excluded++] = ask->excluded[i];
  set_state (permits, a, ASK_UNSENT);
  *out = (WlPermit){ .state = WL_PERMIT_PENDING };
  return a->id;
}

void
wl_permits_answer (WlPermits *permits, const WlPermitAnswer *answer, uint64_t now_us)
{
  Ask *a = find_ask (permits, answer->id);
  if (a == NULL || (a->state != ASK_SENT && a->state != ASK_ENDED))
    return;
  if (answer->endpoint == 0)
    {
      if (a->state == ASK_SENT)
        deny (permits, a, answer->retry_after_us, now_us);
      return;
    }
  uint64_t waited_us = answer->waited_us < a->max_wait_us ? answer->waited_us : a->max_wait_us;
  a->valid_until_us = a->asked_us + waited_us + WL_PERMIT_LIFETIME_US;
  a->endpoint = answer->endpoint;
  if (a->state == ASK_SENT && now_us < a->valid_until_us)
    {
      set_state (permits, a, ASK_GRANTED);
      return;
    }
  add_return (permits, a, a->endpoint);
  set_state (permits, a, ASK_DENIED);
  a->retry_us = now_us;
}

WlPermit
wl_permits_state (WlPermits *permits, uint64_t id, uint64_t now_us)
{
  Ask *a = find_ask (permits, id);
  if (a != NULL)
    update (permits, a, now_us);
  if (a == NULL || a->state == ASK_FREE)
    return (WlPermit){ .state = WL_PERMIT_DENIED, .retry_after_us = BUSY_RETRY_US };
  if (a->state == ASK_GRANTED)
    return (WlPermit){ .state = WL_PERMIT_GRANTED, .endpoint = a->endpoint };
  if (is_in_progress (a))
    return (WlPermit){ .state = WL_PERMIT_PENDING };
  return (WlPermit){ .state = WL_PERMIT_DENIED,
                     .retry_after_us = time_until (a->retry_us, now_us) };
}

void
wl_permits_use (WlPermits *permits, uint64_t id)
{
  Ask *a = find_ask (permits, id);
  if (a != NULL)
    set_state (permits, a, ASK_FREE);
}

void
wl_permits_drop (WlPermits *permits, uint64_t id, uint64_t now_us)
{
  Ask *a = find_ask (permits, id);
  if (a == NULL)
    return;
  update (permits, a, now_us);
  if (a->state == ASK_GRANTED)
    add_return (permits, a, a->endpoint);
  set_state (permits, a, a->state == ASK_SENT || a->state == ASK_ENDED ? ASK_ENDED : ASK_FREE);
}

int
wl_permits_take_ask (WlPermits *permits, WlPermitAsk *out)
{
  Ask *first = NULL;
  if (permits->n_unsent == 0)
    return 0;
  for (uint32_t i = 0; i < RECORDS_MAX; i++)
    {
      Ask *a = &permits->asks[i];
      if (a->state == ASK_UNSENT && (first == NULL || a->id - first->id > UINT64_MAX / 2))
        first = a;
    }
  if (first == NULL)
    return 0;
  set_state (permits, first, ASK_SENT);
  *out = (WlPermitAsk){ first->id,          first->service,  first->customer,
                        first->max_wait_us, first->excluded, first->n_excluded };
  return 1;
}

int
wl_permits_take_return (WlPermits *permits, WlPermitReturn *out)
{
  if (permits->n_returns == 0)
    return 0;
  *out = permits->returns[0];
  memmove (&permits->returns[0], &permits->returns[1],
           --permits->n_returns * sizeof permits->returns[0]);
  return 1;
}
