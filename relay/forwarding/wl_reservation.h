#ifndef WL_RESERVATION_H
#define WL_RESERVATION_H

#include "wl_fetch.h"
#include "wl_message.h"

/*
 * Memory reserved at engines for parts of a prompt that is larger than one
 * engine. A reservation runs out by itself soon after its holder has died, so
 * it is renewed while it is needed. Orders may be carried out late and without
 * an answer: one that was not answered is followed by releases until it cannot
 * come into effect any more.
 */

enum
{
  WL_RESERVATION_HOLD_MS = 3500,      /* below the 4 s within which memory must be free again */
  WL_RESERVATION_RENEW_US = 900000,   /* three renewals may fail in a row */
  WL_RESERVATION_ANSWER_US = 800000,  /* an order without an answer is given up */
  WL_RESERVATION_LATE_US = 13000000,  /* orders are carried out at most this late */
  WL_RESERVATION_REPEAT_US = 1500000, /* interval of releases after an unanswered order */
  WL_RESERVATION_ID_SIZE = 40,
};

/**
 * enum WlOrderKind - what an engine is told
 * @WL_ORDER_RESERVE: set memory aside, or renew
 * @WL_ORDER_RELEASE: give it back
 */
typedef enum
{
  WL_ORDER_RESERVE,
  WL_ORDER_RELEASE,
} WlOrderKind;

/**
 * struct WlReservationOrder - one order
 * @kind: what to do
 * @endpoint: id of the endpoint that must carry it out
 * @id: id of the reservation
 * @tokens: tokens of memory
 * @hold_ms: how long it lasts without renewal
 */
typedef struct
{
  WlOrderKind kind;
  const char *endpoint;
  const char *id;
  uint64_t tokens;
  uint64_t hold_ms;
} WlReservationOrder;

typedef struct WlReservation WlReservation;
typedef struct WlReservations WlReservations;

/** WlOrderWriter - appends an HTTP request, head and body, for an order */
typedef void (*WlOrderWriter) (const WlReservationOrder *order, WlBuffer *head, WlBuffer *body);

/** wl_reservations_create() - creates an empty set */
WlReservations *wl_reservations_create (WlFetchClient *client, WlOrderWriter write_order,
                                        uint64_t boot);

/** wl_reservations_destroy() - forgets all reservations; accepts NULL */
void wl_reservations_destroy (WlReservations *set);

/**
 * wl_reservation_ask() - asks an engine to set memory aside
 * @set: the set
 * @endpoint: the engine
 * @tokens: tokens of memory
 * @answered: called once with 1 when the memory is set aside, otherwise with 0
 * @data: passed to @answered
 *
 * Return: the reservation, to be released whatever the answer.
 */
WlReservation *wl_reservation_ask (WlReservations *set, const WlEndpointRecord *endpoint,
                                   uint64_t tokens, void (*answered) (void *data, int is_held),
                                   void *data);

/** wl_reservation_id() - id of a reservation */
const char *wl_reservation_id (const WlReservation *reservation);

/** wl_reservation_release() - gives the memory back; accepts NULL. @answered is not called */
void wl_reservation_release (WlReservation *reservation);

/** wl_reservations_tick() - renews, gives up unanswered orders, repeats releases */
void wl_reservations_tick (WlReservations *set, uint64_t now_us);

/** wl_reservations_count() - reservations not yet known to be released */
uint32_t wl_reservations_count (const WlReservations *set);

#endif
