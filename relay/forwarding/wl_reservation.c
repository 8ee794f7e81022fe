#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_events.h"
#include "wl_log.h"
#include "wl_reservation.h"

struct WlReservation
{
  WlReservations *set;
  char id[WL_RESERVATION_ID_SIZE];
  char endpoint[WL_LABEL_SIZE];
  uint32_t address;
  uint16_t port;
  uint64_t tokens;
  void (*answered) (void *data, int is_held); /* NULL once called */
  void *data;
  WlFetch *call; /* order in progress */
  WlOrderKind order;
  uint32_t status;
  uint64_t sent_us;
  uint64_t unanswered_us; /* latest order without an answer, 0 for none */
  uint8_t is_released;    /* by its holder */
  uint8_t is_confirmed;   /* the engine has answered a release */
  WlReservation *next;
};

struct WlReservations
{
  WlFetchClient *client;
  WlOrderWriter write_order;
  uint64_t boot;
  uint64_t next_number;
  WlReservation *all;
};

static const WlFetchHandlers handlers;

WlReservations *
wl_reservations_create (WlFetchClient *client, WlOrderWriter write_order, uint64_t boot)
{
  WlReservations *set = calloc (1, sizeof *set);
  if (set == NULL)
    abort ();
  set->client = client;
  set->write_order = write_order;
  set->boot = boot;
  return set;
}

void
wl_reservations_destroy (WlReservations *set)
{
  if (set == NULL)
    return;
  while (set->all != NULL)
    {
      WlReservation *r = set->all;
      set->all = r->next;
      wl_fetch_cancel (r->call);
      free (r);
    }
  free (set);
}

static void
answer (WlReservation *r, int is_held)
{
  void (*answered) (void *data, int is_held) = r->answered;
  r->answered = NULL;
  if (answered != NULL)
    answered (r->data, is_held);
}

static void
send_order (WlReservation *r, WlOrderKind kind, uint64_t now_us)
{
  WlBuffer head = { 0 };
  WlBuffer body = { 0 };
  WlReservationOrder order = {
    .kind = kind,
    .endpoint = r->endpoint,
    .id = r->id,
    .tokens = r->tokens,
    .hold_ms = WL_RESERVATION_HOLD_MS,
  };
  r->set->write_order (&order, &head, &body);
  WlFetchRequest request = {
    .address = r->address,
    .port = r->port,
    .head = wl_buffer_bytes (&head),
    .body = wl_buffer_bytes (&body),
  };
  r->order = kind;
  r->sent_us = now_us;
  r->status = 0;
  r->call = wl_fetch_client_start (r->set->client, &request, &handlers, r);
  wl_buffer_clear (&head);
  wl_buffer_clear (&body);
}

static int
on_head (void *data, const WlHttpHead *head)
{
  WlReservation *r = data;
  r->status = head->status;
  return 1;
}

static int
on_body (void *data, WlBytes bytes)
{
  (void)data;
  (void)bytes;
  return 1;
}

static void
on_ended (void *data, WlFetchEnd end)
{
  WlReservation *r = data;
  r->call = NULL;
  if (end == WL_FETCH_BROKEN)
    r->unanswered_us = r->sent_us;
  if (r->order == WL_ORDER_RELEASE)
    r->is_confirmed = end == WL_FETCH_WHOLE;
  else if (r->answered != NULL)
    {
      int is_held = end == WL_FETCH_WHOLE && r->status == 200;
      wl_log_eventf (is_held ? WL3010_RESERVATION_MADE : WL3012_RESERVATION_REFUSED,
                     "reservation=%s endpoint=%s tokens=%" PRIu64 " status=%u", r->id, r->endpoint,
                     r->tokens, r->status);
      answer (r, is_held);
    }
}

static const WlFetchHandlers handlers = {
  .head = on_head,
  .body = on_body,
  .ended = on_ended,
};

WlReservation *
wl_reservation_ask (WlReservations *set, const WlEndpointRecord *endpoint, uint64_t tokens,
                    void (*answered) (void *data, int is_held), void *data)
{
  WlReservation *r = calloc (1, sizeof *r);
  if (r == NULL)
    abort ();
  r->set = set;
  snprintf (r->id, sizeof r->id, "%" PRIx64 "-%" PRIx64, set->boot, ++set->next_number);
  snprintf (r->endpoint, sizeof r->endpoint, "%s", endpoint->id);
  r->address = endpoint->address;
  r->port = (uint16_t)endpoint->port;
  r->tokens = tokens;
  r->answered = answered;
  r->data = data;
  r->next = set->all;
  set->all = r;
  send_order (r, WL_ORDER_RESERVE, wl_clock_now_us ());
  return r;
}

const char *
wl_reservation_id (const WlReservation *reservation)
{
  return reservation->id;
}

void
wl_reservation_release (WlReservation *reservation)
{
  WlReservation *r = reservation;
  uint64_t now_us = wl_clock_now_us ();
  if (r == NULL || r->is_released)
    return;
  r->is_released = 1;
  r->answered = NULL;
  if (r->call != NULL)
    {
      wl_fetch_cancel (r->call);
      r->unanswered_us = now_us; /* it may still be carried out */
    }
  send_order (r, WL_ORDER_RELEASE, now_us);
}

/* Whether nothing of a released reservation can come into effect any more. */
static int
is_over (const WlReservation *r, uint64_t now_us)
{
  if (!r->is_released || r->call != NULL)
    return 0;
  if (r->unanswered_us != 0)
    return now_us > r->unanswered_us + WL_RESERVATION_LATE_US;
  return r->is_confirmed || now_us > r->sent_us + WL_RESERVATION_LATE_US;
}

static void
tick_one (WlReservation *r, uint64_t now_us)
{
  if (r->call != NULL && now_us > r->sent_us + WL_RESERVATION_ANSWER_US)
    {
      wl_fetch_cancel (r->call);
      r->call = NULL;
      if (r->order == WL_ORDER_RESERVE)
        r->unanswered_us = r->sent_us;
      answer (r, 0);
    }
  if (r->call != NULL)
    return;
  if (!r->is_released && now_us > r->sent_us + WL_RESERVATION_RENEW_US)
    send_order (r, WL_ORDER_RESERVE, now_us);
  else if (r->is_released && now_us > r->sent_us + WL_RESERVATION_REPEAT_US)
    send_order (r, WL_ORDER_RELEASE, now_us);
}

void
wl_reservations_tick (WlReservations *set, uint64_t now_us)
{
  for (WlReservation **slot = &set->all; *slot != NULL;)
    {
      WlReservation *r = *slot;
      if (is_over (r, now_us))
        {
          *slot = r->next;
          free (r);
          continue;
        }
      slot = &r->next;
      tick_one (r, now_us);
    }
}

uint32_t
wl_reservations_count (const WlReservations *set)
{
  uint32_t n = 0;
  for (const WlReservation *r = set->all; r != NULL; r = r->next)
    n++;
  return n;
}
