#ifndef WL_REQUEST_H
#define WL_REQUEST_H

#include "wl_entry.h"

/* Creation, lookup and end of an entry's requests. Each request ends exactly once. */

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
 * @event: the request as received
 * @customer: the authenticated customer
 * @service: the service
 * @ctx: current times; receives the effects
 *
 * Return: the request, owned by the entry until wl_request_finish().
 */
WlRequest *wl_request_create (WlEntry *entry, const WlRequestEvent *event,
                              const WlCustomer *customer, const WlService *service,
                              const WlEventContext *ctx);

/**
 * struct WlRequestResult - how a request ended
 * @run: whether it can have run; only if it has no complete response
 * @reason: reason of a refusal
 * @retry_after_us: time after which the caller should retry, 0 for unknown
 * @http_status: status of a plain service's response
 * @timed_out: it reached its time limit
 * @body: stored response of a replayed request
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
} WlRequestResult;

/**
 * wl_request_finish() - ends a request: answers the caller, adds the receipt, ends the claim
 * @entry: the entry
 * @request: the request; freed
 * @result: how it ended
 * @ctx: current times; receives the effects
 */
void wl_request_finish (WlEntry *entry, WlRequest *request, const WlRequestResult *result,
                        const WlEventContext *ctx);

/**
 * wl_request_trace() - adds a decision on a request to the trace
 * @entry: the entry
 * @id: request id
 * @kind: kind of the decision
 * @a: first detail, see WlTraceKind
 * @b: second detail, see WlTraceKind
 * @ctx: current times; receives the effects
 */
void wl_request_trace (WlEntry *entry, uint64_t id, WlTraceKind kind, uint64_t a, uint64_t b,
                       const WlEventContext *ctx);

/**
 * wl_request_reject() - refuses a request before admission
 * @entry: the entry
 * @event: the request as received
 * @customer: the authenticated customer; without one (NULL) there is no receipt
 * @result: how it ended
 * @ctx: current times; receives the effects
 */
void wl_request_reject (WlEntry *entry, const WlRequestEvent *event, const WlCustomer *customer,
                        const WlRequestResult *result, const WlEventContext *ctx);

#endif
