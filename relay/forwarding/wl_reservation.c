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
  void (*on_answer) (void *data, int is_granted); /* NULL once called */
  void *data;
  WlFetch *fetch; /* command in progress, NULL for none */
  WlReservationCommandKind command_kind;
  uint32_t status;
  uint64_t sent_us;
  uint64_t unanswered_us;       /* time of the latest command without a response; 0: none */
  uint8_t is_released;          /* by its holder */
  uint8_t is_release_confirmed; /* the engine responded to a release */
  WlReservation *next;
};

struct WlReservations
{
  WlFetchClient *client;
  WlReservationCommandWriter write_command;
  uint64_t boot_id;
  uint64_t next_number;
  void (*on_head) (void *data, const char *endpoint, const WlHttpHead *head);
  void *data; /* of on_head */
  WlReservation *first;
};

static const WlFetchHandlers fetch_handlers;

WlReservations *
wl_reservations_create (WlFetchClient *client, WlReservationCommandWriter write_command,
                        uint64_t boot_id)
{
  WlReservations *set = calloc (1, sizeof *set);
  if (set == NULL)
    abort ();
  set->client = client;
  set->write_command = write_command;
  set->boot_id = boot_id;
  return set;
}

void
wl_reservations_watch (WlReservations *set,
                       void (*on_head) (void *data, const char *endpoint, const WlHttpHead *head),
                       void *data)
{
  set->on_head = on_head;
  set->data = data;
}

void
wl_reservations_destroy (WlReservations *set)
{
  if (set == NULL)
    return;
  while (set->first != NULL)
    {
      WlReservation *r = set->first;
      set->first = r->next;
      wl_fetch_cancel (r->fetch);
      free (r);
    }
  free (set);
}

static void
report_answer (WlReservation *r, int is_granted)
{
  void (*on_answer) (void *data, int is_granted) = r->on_answer;
  r->on_answer = NULL;
  if (on_answer != NULL)
    on_answer (r->data, is_granted);
}

static void
send_command (WlReservation *r, WlReservationCommandKind kind, uint64_t now_us)
{
  WlBuffer head = { 0 };
  WlBuffer body = { 0 };
  WlReservationCommand command = {
    .kind = kind,
    .endpoint = r->endpoint,
    .id = r->id,
    .tokens = r->tokens,
    .hold_ms = WL_RESERVATION_HOLD_MS,
  };
  r->set->write_command (&command, &head, &body);
  WlFetchRequest request = {
    .address = r->address,
    .port = r->port,
    .head = wl_buffer_bytes (&head),
    .body = wl_buffer_bytes (&body),
  };
  r->command_kind = kind;
  r->sent_us = now_us;
  r->status = 0;
  r->fetch = wl_fetch_client_start (r->set->client, &request, &fetch_handlers, r);
  wl_buffer_clear (&head);
  wl_buffer_clear (&body);
}

static WlFetchVerdict
on_head (void *data, const WlHttpHead *head)
{
  WlReservation *r = data;
  r->status = head->status;
  if (r->set->on_head != NULL)
    r->set->on_head (r->set->data, r->endpoint, head);
  return WL_FETCH_TAKE;
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
  r->fetch = NULL;
  if (end == WL_FETCH_BROKEN || end == WL_FETCH_INVALID)
    r->unanswered_us = r->sent_us;
  if (r->command_kind == WL_RESERVATION_RELEASE)
    r->is_release_confirmed = end == WL_FETCH_COMPLETE;
  else if (r->on_answer != NULL)
    {
      int is_granted = end == WL_FETCH_COMPLETE && r->status == 200;
      wl_log_eventf (is_granted ? WL3010_RESERVATION_MADE : WL3012_RESERVATION_REFUSED,
                     "reservation=%s endpoint=%s tokens=%" PRIu64 " status=%u", r->id, r->endpoint,
                     r->tokens, r->status);
      report_answer (r, is_granted);
    }
}

static const WlFetchHandlers fetch_handlers = {
  .head = on_head,
  .body = on_body,
  .ended = on_ended,
};

WlReservation *
wl_reservation_request (WlReservations *set, const WlEndpointRecord *endpoint, uint64_t tokens,
                        void (*on_answer) (void *data, int is_granted), void *data)
{
  WlReservation *r = calloc (1, sizeof *r);
  if (r == NULL)
    abort ();
  r->set = set;
  snprintf (r->id, sizeof r->id, "%" PRIx64 "-%" PRIx64, set->boot_id, ++set->next_number);
  snprintf (r->endpoint, sizeof r->endpoint, "%s", endpoint->id);
  r->address = endpoint->address;
  r->port = (uint16_t)endpoint->port;
  r->tokens = tokens;
  r->on_answer = on_answer;
  r->data = data;
  r->next = set->first;
  set->first = r;
  send_command (r, WL_RESERVATION_RESERVE, wl_clock_now_us ());
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
  r->on_answer = NULL;
  if (r->fetch != NULL)
    {
      wl_fetch_cancel (r->fetch);
      r->unanswered_us = now_us; /* the engine may still carry it out */
    }
  send_command (r, WL_RESERVATION_RELEASE, now_us);
}

/* Whether a reservation is released and no earlier command can take effect any more. */
static int
is_finished (const WlReservation *r, uint64_t now_us)
{
  if (!r->is_released || r->fetch != NULL)
    return 0;
  if (r->unanswered_us != 0)
    return now_us > r->unanswered_us + WL_RESERVATION_MAX_DELAY_US;
  return r->is_release_confirmed || now_us > r->sent_us + WL_RESERVATION_MAX_DELAY_US;
}

static void
tick_reservation (WlReservation *r, uint64_t now_us)
{
  if (r->fetch != NULL && now_us > r->sent_us + WL_RESERVATION_TIMEOUT_US)
    {
      wl_fetch_cancel (r->fetch);
      r->fetch = NULL;
      if (r->command_kind == WL_RESERVATION_RESERVE)
        r->unanswered_us = r->sent_us;
      report_answer (r, 0);
    }
  if (r->fetch != NULL)
    return;
  if (!r->is_released && now_us > r->sent_us + WL_RESERVATION_RENEW_US)
    send_command (r, WL_RESERVATION_RESERVE, now_us);
  else if (r->is_released && now_us > r->sent_us + WL_RESERVATION_RELEASE_RETRY_US)
    send_command (r, WL_RESERVATION_RELEASE, now_us);
}

void
wl_reservations_tick (WlReservations *set, uint64_t now_us)
{
  for (WlReservation **slot = &set->first; *slot != NULL;)
    {
      WlReservation *r = *slot;
      if (is_finished (r, now_us))
        {
          *slot = r->next;
          free (r);
          continue;
        }
      slot = &r->next;
      tick_reservation (r, now_us);
    }
}

uint32_t
wl_reservations_count (const WlReservations *set)
{
  uint32_t n = 0;
  for (const WlReservation *r = set->first; r != NULL; r = r->next)
    n++;
  return n;
}
