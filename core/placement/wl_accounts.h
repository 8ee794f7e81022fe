#ifndef WL_ACCOUNTS_H
#define WL_ACCOUNTS_H

#include "wl_cell.h"

/* Resource accounting of a cell: slots and KV cache reserved on each endpoint, by grant. */

/**
 * wl_accounts_customer() - finds or creates the record of a customer
 * @cell: the cell
 * @customer: customer name
 *
 * Return: the record, owned by the cell.
 */
WlCellCustomer *wl_accounts_customer (WlCell *cell, const char *customer);

/**
 * wl_accounts_find() - finds the grant of an attempt
 * @cell: the cell
 * @request: request id
 * @attempt: attempt number
 *
 * Return: the grant, or NULL.
 */
WlGrantRecord *wl_accounts_find (const WlCell *cell, uint64_t request, uint32_t attempt);

/**
 * wl_accounts_grant() - records a grant and reserves its slots and KV cache
 * @cell: the cell
 * @grant: the grant, whose endpoints must exist; copied
 *
 * Return: the recorded grant, owned by the cell.
 */
WlGrantRecord *wl_accounts_grant (WlCell *cell, const WlGrantRecord *grant);

/**
 * wl_accounts_first_token() - removes a grant from the prefill backlog of its endpoints
 * @cell: the cell
 * @grant: the grant
 */
void wl_accounts_first_token (WlCell *cell, WlGrantRecord *grant);

/**
 * wl_accounts_end() - ends a grant; slots and KV cache stay reserved until they are freed
 * @cell: the cell
 * @grant: the grant
 * @now_us: monotonic time
 */
void wl_accounts_end (WlCell *cell, WlGrantRecord *grant, uint64_t now_us);

/**
 * wl_accounts_free_allocation() - releases a grant's slot and KV cache on one endpoint
 * @cell: the cell
 * @grant: the ended grant
 * @index: index of the allocation
 *
 * Return: 1 when it was the grant's last allocation and the grant was freed, otherwise 0.
 */
int wl_accounts_free_allocation (WlCell *cell, WlGrantRecord *grant, uint32_t index);

/**
 * wl_accounts_endpoint() - finds an endpoint
 * @cell: the cell
 * @id: endpoint id
 *
 * Return: the endpoint, or NULL.
 */
WlEndpoint *wl_accounts_endpoint (const WlCell *cell, uint64_t id);

/**
 * wl_accounts_kv_free() - KV cache that a new grant may use
 * @endpoint: the endpoint
 *
 * Return: tokens.
 */
uint64_t wl_accounts_kv_free (const WlEndpoint *endpoint);

/**
 * wl_accounts_remove_endpoint() - removes an endpoint, ends its grants and frees what they hold
 * there
 * @cell: the cell
 * @endpoint: the endpoint; freed
 * @now_us: monotonic time
 */
void wl_accounts_remove_endpoint (WlCell *cell, WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_accounts_check() - checks the endpoints' totals against the grants
 * @cell: the cell
 *
 * Return: 1 when slots, KV cache and prefill backlog of every endpoint equal
 * the sums over its grants, otherwise 0.
 */
int wl_accounts_check (const WlCell *cell);

#endif
