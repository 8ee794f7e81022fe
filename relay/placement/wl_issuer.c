#include <stdlib.h>
#include <string.h>
#include "wl_buckets.h"

enum
{
  PAUSE_US = 500000,        /* a longer gap between calls is a pause */
  RETRY_SHORT_US = 200000,  /* another node is the issuer, or no endpoint is known */
  RETRY_MAX_US = 10000000,  /* longest wait that is promised */
  REVIEW_US = 250000,       /* waiting asks are judged anew so often */
  REVIEW_MARGIN_US = 50000, /* by so much the expected wait of one that waits may be too long */
  ANSWERS_MAX = 1024,
  PERMIT = 1024,         /* one permit in a share */
  DECAY_US = 1000000,    /* after each such time shares are 7/8 of what they were */
  DECAY_STEPS_MAX = 100, /* nothing is left of a share after so many */
};

/**
 * struct Customer - one customer's use of one service
 * @service: the service
 * @customer: the customer, 0 for none
 * @share: recent permits, decaying, one is PERMIT
 * @decayed_us: up to when they have decayed
 * @n_waiting: asks that wait
 * @promised_us: latest time at which a permit was promised to an ask that was denied
 */
typedef struct
{
  uint64_t service, customer;
  uint64_t share, decayed_us;
  uint32_t n_waiting;
  uint64_t promised_us;
} Customer;

typedef struct
{
  uint32_t node;
  WlPermitAsk ask;
  WlEndpointKey excluded[WL_PERMIT_EXCLUDED_MAX];
  Customer *customer;
  uint64_t arrived_us, until_us;
} Waiting;

typedef struct
{
  uint32_t node;
  WlPermitAnswer answer;
} Answer;

struct WlIssuer
{
  WlBuckets *buckets;
  Waiting queue[WL_ISSUER_QUEUE_MAX]; /* in order of arrival */
  uint32_t n_queue;
  Customer customers[WL_ISSUER_CUSTOMERS_MAX + 1]; /* the last is shared by all that do not fit */
  Answer answers[ANSWERS_MAX];
  uint32_t first_answer, n_answers;
  uint64_t called_us, reviewed_us;
};

WlIssuer *
wl_issuer_create (WlLimits *limits, WlFleet *fleet)
{
  WlIssuer *issuer = calloc (1, sizeof *issuer);
  if (issuer == NULL)
    abort ();
  issuer->buckets = wl_buckets_create (limits, fleet);
  return issuer;
}

void
wl_issuer_destroy (WlIssuer *issuer)
{
  if (issuer == NULL)
    return;
  wl_buckets_destroy (issuer->buckets);
  free (issuer);
}

/* To be called first by all entries: after a pause another node may have become the issuer. */
static void
note_call (WlIssuer *issuer, uint64_t now_us)
{
  if (issuer->called_us != 0 && now_us > issuer->called_us + PAUSE_US)
    wl_buckets_restart (issuer->buckets, now_us + WL_ISSUER_QUIET_US);
  if (now_us > issuer->called_us)
    issuer->called_us = now_us;
  wl_buckets_update (issuer->buckets, now_us);
}

static void
decay (Customer *c, uint64_t now_us)
{
  uint64_t steps = now_us > c->decayed_us ? (now_us - c->decayed_us) / DECAY_US : 0;
  c->decayed_us += steps * DECAY_US;
  if (steps > DECAY_STEPS_MAX)
    c->share = 0;
  for (; steps > 0 && c->share > 0; steps--)
    c->share -= c->share / 8 + (c->share % 8 != 0);
}

static Customer *
find_customer (WlIssuer *issuer, uint64_t service, uint64_t customer, uint64_t now_us)
{
  Customer *least = &issuer->customers[WL_ISSUER_CUSTOMERS_MAX];
  for (uint32_t i = 0; i < WL_ISSUER_CUSTOMERS_MAX; i++)
    {
      Customer *c = &issuer->customers[i];
      decay (c, now_us);
      if (c->service == service && c->customer == customer)
        return c;
      if (c->n_waiting == 0
          && (least == &issuer->customers[WL_ISSUER_CUSTOMERS_MAX] || c->share < least->share))
        least = c;
    }
  if (least == &issuer->customers[WL_ISSUER_CUSTOMERS_MAX])
    decay (least, now_us);
  else
    *least = (Customer){ .service = service, .customer = customer, .decayed_us = now_us };
  return least;
}

/* Asks that are to be served before the next one of a customer that has @n_own before it. */
static uint32_t
count_ahead (const WlIssuer *issuer, const Customer *customer, uint64_t service, uint32_t n_own)
{
  uint64_t level = customer->share + (uint64_t)n_own * PERMIT;
  uint32_t n = n_own;
  for (uint32_t i = 0; i <= WL_ISSUER_CUSTOMERS_MAX; i++)
    {
      const Customer *c = &issuer->customers[i];
      if (c == customer || c->n_waiting == 0 || c->share > level
          || (c->service != service && i < WL_ISSUER_CUSTOMERS_MAX))
        continue;
      uint64_t served = (level - c->share) / PERMIT + 1;
      n += served < c->n_waiting ? (uint32_t)served : c->n_waiting;
    }
  return n;
}

static void
add_answer (WlIssuer *issuer, uint32_t node, const WlPermitAnswer *answer)
{
  if (issuer->n_answers == ANSWERS_MAX)
    return; /* its node goes on without it */
  uint32_t i = (issuer->first_answer + issuer->n_answers++) % ANSWERS_MAX;
  issuer->answers[i] = (Answer){ node, *answer };
}

static void
deny (WlIssuer *issuer, uint32_t node, const WlPermitAsk *ask, uint64_t retry_after_us)
{
  WlPermitAnswer answer = { .id = ask->id, .retry_after_us = retry_after_us };
  add_answer (issuer, node, &answer);
}

static uint64_t
wait_us (WlIssuer *issuer, const WlPermitAsk *ask, const Customer *c, uint32_t n_own,
         uint64_t now_us)
{
  uint32_t n_ahead = count_ahead (issuer, c, ask->service, n_own);
  return wl_buckets_wait_us (issuer->buckets, ask, n_ahead + 1, now_us);
}

/* Customers of a service that wait or were told when to come back. */
static uint32_t
count_active (const WlIssuer *issuer, uint64_t service, uint64_t now_us)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < WL_ISSUER_CUSTOMERS_MAX; i++)
    {
      const Customer *c = &issuer->customers[i];
      n += c->service == service && (c->n_waiting > 0 || c->promised_us > now_us);
    }
  return n > 0 ? n : 1;
}

/*
 * Denies an ask until its customer's next permit: the expected one, after those that
 * its earlier asks were told to come back for.
 */
static void
deny_until_next (WlIssuer *issuer, uint32_t node, const WlPermitAsk *ask, Customer *c,
                 uint64_t expected_us, uint64_t now_us)
{
  uint64_t rate = wl_buckets_rate (issuer->buckets, ask, now_us);
  uint64_t at_us = now_us + (expected_us < RETRY_MAX_US ? expected_us : RETRY_MAX_US);
  if (rate == 0)
    {
      deny (issuer, node, ask, RETRY_SHORT_US);
      return;
    }
  if (ask->max_wait_us > 0 && c->promised_us > now_us)
    {
      uint64_t next_us
          = c->promised_us
            + UINT64_C (1000000000) / rate * count_active (issuer, ask->service, now_us);
      at_us = next_us > at_us ? next_us : at_us;
    }
  if (at_us > now_us + RETRY_MAX_US)
    at_us = now_us + RETRY_MAX_US;
  if (ask->max_wait_us > 0)
    c->promised_us = at_us;
  deny (issuer, node, ask, at_us - now_us);
}

static void
remove_waiting (WlIssuer *issuer, uint32_t i)
{
  issuer->queue[i].customer->n_waiting--;
  memmove (&issuer->queue[i], &issuer->queue[i + 1],
           (--issuer->n_queue - i) * sizeof issuer->queue[0]);
  for (; i < issuer->n_queue; i++)
    issuer->queue[i].ask.excluded = issuer->queue[i].excluded;
}

static void
deny_waiting (WlIssuer *issuer, uint32_t i, uint64_t now_us)
{
  Waiting w = issuer->queue[i];
  w.ask.excluded = w.excluded;
  remove_waiting (issuer, i);
  uint64_t expected_us = wait_us (issuer, &w.ask, w.customer, w.customer->n_waiting, now_us);
  deny_until_next (issuer, w.node, &w.ask, w.customer, expected_us, now_us);
}

static int
grant (WlIssuer *issuer, uint32_t node, const WlPermitAsk *ask, Customer *c, uint64_t arrived_us,
       uint64_t now_us)
{
  WlPermitAnswer answer = { .id = ask->id, .waited_us = now_us - arrived_us };
  answer.endpoint = wl_buckets_take (issuer->buckets, ask, now_us);
  if (answer.endpoint == 0)
    return 0;
  c->share += PERMIT;
  add_answer (issuer, node, &answer);
  return 1;
}

/* Serves those that wait: the customer with the fewest recent permits first. */
static void
serve (WlIssuer *issuer, uint64_t now_us)
{
  for (;;)
    {
      uint32_t best = issuer->n_queue;
      for (uint32_t i = 0; i < issuer->n_queue; i++)
        {
          const Waiting *w = &issuer->queue[i];
          if ((best == issuer->n_queue || w->customer->share < issuer->queue[best].customer->share)
              && wl_buckets_has_token (issuer->buckets, &w->ask, now_us))
            best = i;
        }
      if (best == issuer->n_queue)
        return;
      Waiting *w = &issuer->queue[best];
      grant (issuer, w->node, &w->ask, w->customer, w->arrived_us, now_us);
      remove_waiting (issuer, best);
    }
}

/* Makes room for an ask; 0 when its own customer has the most that wait. */
static int
make_room (WlIssuer *issuer, const Customer *customer, uint64_t now_us)
{
  const Customer *most = customer;
  uint32_t n_most = customer->n_waiting + 1;
  for (uint32_t i = 0; i <= WL_ISSUER_CUSTOMERS_MAX; i++)
    if (issuer->customers[i].n_waiting > n_most)
      {
        most = &issuer->customers[i];
        n_most = most->n_waiting;
      }
  if (most == customer)
    return 0;
  for (uint32_t i = issuer->n_queue; i > 0; i--)
    if (issuer->queue[i - 1].customer == most)
      {
        deny_waiting (issuer, i - 1, now_us);
        return 1;
      }
  return 0;
}

static void
enqueue (WlIssuer *issuer, uint32_t node, const WlPermitAsk *ask, Customer *c, uint64_t now_us)
{
  Waiting *w = &issuer->queue[issuer->n_queue++];
  *w = (Waiting){ .node = node,
                  .ask = *ask,
                  .customer = c,
                  .arrived_us = now_us,
                  .until_us = now_us + ask->max_wait_us };
  for (uint32_t i = 0; i < ask->n_excluded; i++)
    w->excluded[i] = ask->excluded[i];
  w->ask.excluded = w->excluded;
  c->n_waiting++;
}

void
wl_issuer_ask (WlIssuer *issuer, uint32_t node, const WlPermitAsk *ask, int is_own_service,
               uint64_t now_us)
{
  WlPermitAsk own = *ask;
  note_call (issuer, now_us);
  if (is_own_service)
    wl_issuer_set_own (issuer, ask->service, 1, now_us);
  if (!is_own_service || !wl_buckets_has_service (issuer->buckets, ask->service))
    {
      deny (issuer, node, ask, RETRY_SHORT_US);
      return;
    }
  if (own.n_excluded > WL_PERMIT_EXCLUDED_MAX)
    own.n_excluded = WL_PERMIT_EXCLUDED_MAX;
  if (own.max_wait_us > WL_BUCKETS_WAIT_MAX_US)
    own.max_wait_us = WL_BUCKETS_WAIT_MAX_US;
  serve (issuer, now_us);
  Customer *c = find_customer (issuer, own.service, own.customer, now_us);
  uint64_t expected_us = wait_us (issuer, &own, c, c->n_waiting, now_us);
  if (expected_us == 0 && grant (issuer, node, &own, c, now_us, now_us))
    return;
  if (expected_us > own.max_wait_us || own.max_wait_us == 0
      || (issuer->n_queue == WL_ISSUER_QUEUE_MAX && !make_room (issuer, c, now_us)))
    deny_until_next (issuer, node, &own, c, expected_us, now_us);
  else
    enqueue (issuer, node, &own, c, now_us);
}

void
wl_issuer_return (WlIssuer *issuer, const WlPermitReturn *permit, uint64_t now_us)
{
  note_call (issuer, now_us);
  if (!wl_buckets_give_back (issuer->buckets, permit, now_us))
    return;
  Customer *c = find_customer (issuer, permit->service, permit->customer, now_us);
  c->share = c->share > PERMIT ? c->share - PERMIT : 0;
}

void
wl_issuer_set_own (WlIssuer *issuer, uint64_t service, int is_own, uint64_t now_us)
{
  note_call (issuer, now_us);
  int was_own = wl_buckets_has_service (issuer->buckets, service);
  if (is_own && !was_own)
    {
      if (wl_buckets_add_service (issuer->buckets, service, now_us + WL_ISSUER_QUIET_US))
        wl_buckets_update (issuer->buckets, now_us);
    }
  if (is_own || !was_own)
    return;
  wl_buckets_remove_service (issuer->buckets, service);
  for (uint32_t i = issuer->n_queue; i > 0; i--)
    if (issuer->queue[i - 1].ask.service == service)
      {
        deny (issuer, issuer->queue[i - 1].node, &issuer->queue[i - 1].ask, RETRY_SHORT_US);
        remove_waiting (issuer, i - 1);
      }
}

/* Denies asks that can no longer be served in time, since others came before them. */
static void
review_queue (WlIssuer *issuer, uint64_t now_us)
{
  issuer->reviewed_us = now_us;
  for (uint32_t i = issuer->n_queue; i > 0; i--)
    {
      const Waiting *w = &issuer->queue[i - 1];
      uint32_t n_own = 0;
      for (uint32_t j = 0; j + 1 < i; j++)
        n_own += issuer->queue[j].customer == w->customer;
      uint64_t expected_us = wait_us (issuer, &w->ask, w->customer, n_own, now_us);
      if (expected_us == UINT64_MAX || now_us + expected_us > w->until_us + REVIEW_MARGIN_US)
        deny_waiting (issuer, i - 1, now_us);
    }
}

void
wl_issuer_tick (WlIssuer *issuer, uint64_t now_us)
{
  note_call (issuer, now_us);
  if (issuer->n_queue == 0)
    return;
  for (uint32_t i = 0; i <= WL_ISSUER_CUSTOMERS_MAX; i++)
    decay (&issuer->customers[i], now_us);
  for (uint32_t i = issuer->n_queue; i > 0; i--)
    if (now_us > issuer->queue[i - 1].until_us)
      deny_waiting (issuer, i - 1, now_us);
  serve (issuer, now_us);
  if (now_us >= issuer->reviewed_us + REVIEW_US)
    review_queue (issuer, now_us);
}

int
wl_issuer_take_answer (WlIssuer *issuer, uint32_t *node, WlPermitAnswer *out)
{
  if (issuer->n_answers == 0)
    return 0;
  const Answer *a = &issuer->answers[issuer->first_answer];
  *node = a->node;
  *out = a->answer;
  issuer->first_answer = (issuer->first_answer + 1) % ANSWERS_MAX;
  issuer->n_answers--;
  return 1;
}
