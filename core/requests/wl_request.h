#ifndef WL_REQUEST_H
#define WL_REQUEST_H

#include "wl_entry.h"

/* Requests of an entry: creation, lookup and their one end. */

/**
 * wl_request_find() - finds an open request
 * @entry: the entry
 * @id: request id
 *
 * Return: the request, or NULL.
 */
WlRequest *wl_request_find (const WlEntry *entry, uint64_t id);

/**
 * wl_request_create() - opens a request
 * @entry: the entry
 * @event: the request as read
 * @customer: the authenticated customer
 * @service: the service
 * @at: time and effects
 *
 * Return: the request.
 */
WlRequest *wl_request_create (WlEntry *entry, const WlRequestEvent *event,
                              const WlCustomer *customer, const WlService *service,
                              const WlMoment *at);

/**
 * struct WlFinish - how a request ends
 * @outcome: outcome
 * @run: what is known about the run
 * @reason: reason of a refusal
 * @retry_after_us: when to try again, 0 for unknown
 * @http_status: status of a plain service's answer
 * @timed_out: the time limit ended it
 * @body: stored answer of a replayed outcome
 */
typedef struct
{
  WlOutcome outcome;
  WlRunState run;
  WlRefusalReason reason;
  uint64_t retry_after_us;
  uint32_t http_status;
  uint8_t timed_out;
  WlBytes body;
} WlFinish;

/**
 * wl_request_finish() - ends a request: answer, receipt, burn, claim
 * @entry: the entry
 * @request: the request; freed
 * @finish: how it ends
 * @at: time and effects
 */
void wl_request_finish (WlEntry *entry, WlRequest *request, const WlFinish *finish,
                        const WlMoment *at);

/**
 * wl_request_trace() - records a decision on a request
 * @entry: the entry
 * @id: request id
 * @kind: kind of the decision
 * @a: first detail
 * @b: second detail
 * @at: time and effects
 */
void wl_request_trace (WlEntry *entry, uint64_t id, WlTraceKind kind, uint64_t a, uint64_t b,
                       const WlMoment *at);

/**
 * wl_request_reject() - answers a request that was never opened
 * @entry: the entry
 * @event: the request as read
 * @customer: the authenticated customer, or NULL
 * @finish: how it ends
 * @at: time and effects
 */
void wl_request_reject (WlEntry *entry, const WlRequestEvent *event, const WlCustomer *customer,
                        const WlFinish *finish, const WlMoment *at);

#endif
