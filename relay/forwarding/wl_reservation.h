#ifndef WL_RESERVATION_H
#define WL_RESERVATION_H

#include "wl_fetch.h"
#include "wl_message.h"

/*
 * Reservations of KV cache memory at engines, for parts of a prompt that is
 * larger than one engine. A reservation expires unless it is renewed, so the
 * memory is free again soon after its holder has died.
 *
 * An engine may carry a command out late and without a response. After a
 * command without a response, releases are therefore sent until that command
 * can no longer take effect.
 */

enum
{
  WL_RESERVATION_HOLD_MS = 3500,          /* below the 4 s within which memory must be free again */
  WL_RESERVATION_RENEW_US = 900000,       /* renewal interval: three renewals in a row may fail */
  WL_RESERVATION_TIMEOUT_US = 800000,     /* for the response to a command */
  WL_RESERVATION_MAX_DELAY_US = 13000000, /* from sending a command to its latest effect */
  WL_RESERVATION_RELEASE_RETRY_US = 1500000, /* interval between repeated releases */
  WL_RESERVATION_ID_SIZE = 40,
};

/**
 * enum WlReservationCommandKind - commands to an engine
 * @WL_RESERVATION_RESERVE: reserve memory, or renew the reservation
 * @WL_RESERVATION_RELEASE: free the reserved memory
 */
typedef enum
{
  WL_RESERVATION_RESERVE,
  WL_RESERVATION_RELEASE,
} WlReservationCommandKind;

/**
 * struct WlReservationCommand - a command on a reservation
 * @kind: what to do
 * @endpoint: id of the endpoint that must carry it out; another one rejects it
 * @id: id of the reservation
 * @tokens: size of the reservation in KV cache tokens
 * @hold_ms: how long the reservation lasts without renewal
 */
typedef struct
{
  WlReservationCommandKind kind;
  const char *endpoint;
  const char *id;
  uint64_t tokens;
  uint64_t hold_ms;
} WlReservationCommand;

typedef struct WlReservation WlReservation;
typedef struct WlReservations WlReservations;

/** WlReservationCommandWriter - appends the HTTP request for a command, as head and body */
typedef void (*WlReservationCommandWriter) (const WlReservationCommand *command, WlBuffer *head,
                                            WlBuffer *body);

/**
 * wl_reservations_create() - creates an empty set of reservations
 * @client: sends the commands
 * @write_command: writes a command as an HTTP request
 * @boot_id: random number of this process start, part of the reservation ids
 */
WlReservations *wl_reservations_create (WlFetchClient *client,
                                        WlReservationCommandWriter write_command, uint64_t boot_id);

/**
 * wl_reservations_watch() - has the head of each response to a command looked at
 * @set: the set
 * @on_head: called with @data, the id of the engine, and the head of its response
 * @data: passed to @on_head
 */
void wl_reservations_watch (WlReservations *set,
                            void (*on_head) (void *data, const char *endpoint,
                                             const WlHttpHead *head),
                            void *data);

/** wl_reservations_destroy() - frees the set without releasing the memory; accepts NULL */
void wl_reservations_destroy (WlReservations *set);

/**
 * wl_reservation_request() - requests a reservation of memory at an engine
 * @set: the set
 * @endpoint: the engine
 * @tokens: KV cache tokens to reserve
 * @on_answer: called once, unless the reservation is released before; @is_granted
 *   is 0 also when no response arrived in time
 * @data: passed to @on_answer
 *
 * Return: the reservation, owned by the set. The caller must release it,
 * granted or not.
 */
WlReservation *wl_reservation_request (WlReservations *set, const WlEndpointRecord *endpoint,
                                       uint64_t tokens,
                                       void (*on_answer) (void *data, int is_granted), void *data);

/** wl_reservation_id() - id under which the engine keeps the reservation */
const char *wl_reservation_id (const WlReservation *reservation);

/** wl_reservation_release() - frees the memory; accepts NULL. @on_answer is not called any more */
void wl_reservation_release (WlReservation *reservation);

/** wl_reservations_tick() - sends renewals and releases that are due, and applies timeouts */
void wl_reservations_tick (WlReservations *set, uint64_t now_us);

/** wl_reservations_count() - number of reservations that may still hold memory */
uint32_t wl_reservations_count (const WlReservations *set);

#endif
