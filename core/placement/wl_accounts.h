#ifndef WL_ACCOUNTS_H
#define WL_ACCOUNTS_H

#include "wl_cell.h"

/* Accounts of a cell: what each endpoint has reserved, and for whom. */

/**
 * wl_accounts_share() - finds or creates a customer's share
 * @cell: the cell
 * @customer: customer name
 *
 * Return: the share.
 */
WlShare *wl_accounts_share (WlCell *cell, const char *customer);

/**
 * wl_accounts_find() - finds a grant
 * @cell: the cell
 * @request: request id
 * @attempt: attempt number
 *
 * Return: the grant, or NULL.
 */
WlGrantRecord *wl_accounts_find (const WlCell *cell, uint64_t request, uint32_t attempt);

/**
 * wl_accounts_grant() - reserves the seats of a new grant
 * @cell: the cell
 * @grant: filled grant; copied
 *
 * Return: the grant in the accounts.
 */
WlGrantRecord *wl_accounts_grant (WlCell *cell, const WlGrantRecord *grant);

/**
 * wl_accounts_first_token() - releases the prompt work of a grant
 * @cell: the cell
 * @grant: the grant
 */
void wl_accounts_first_token (WlCell *cell, WlGrantRecord *grant);

/**
 * wl_accounts_end() - ends a grant; seats stay reserved until they are freed
 * @cell: the cell
 * @grant: the grant
 * @now_us: monotonic time
 */
void wl_accounts_end (WlCell *cell, WlGrantRecord *grant, uint64_t now_us);

/**
 * wl_accounts_free_seat() - releases one seat's memory and slot
 * @cell: the cell
 * @grant: the ended grant
 * @seat: index of the seat
 *
 * Return: 1 when the grant had no other seat left and was removed, otherwise 0.
 */
int wl_accounts_free_seat (WlCell *cell, WlGrantRecord *grant, uint32_t seat);

/**
 * wl_accounts_endpoint() - finds an endpoint
 * @cell: the cell
 * @id: endpoint id
 *
 * Return: the endpoint, or NULL.
 */
WlEndpoint *wl_accounts_endpoint (const WlCell *cell, uint64_t id);

/**
 * wl_accounts_kv_free() - KV memory that a new grant may use
 * @endpoint: the endpoint
 *
 * Return: tokens.
 */
uint64_t wl_accounts_kv_free (const WlEndpoint *endpoint);

/**
 * wl_accounts_remove_endpoint() - forgets an endpoint and frees its seats
 * @cell: the cell
 * @endpoint: the endpoint
 * @now_us: monotonic time
 */
void wl_accounts_remove_endpoint (WlCell *cell, WlEndpoint *endpoint, uint64_t now_us);

/**
 * wl_accounts_check() - compares the accounts with the grants
 * @cell: the cell
 *
 * Return: 1 when slots, memory and prompt work of every endpoint equal the
 * sums over its grants, otherwise 0.
 */
int wl_accounts_check (const WlCell *cell);

#endif
