#ifndef WL_OPERATORS_H
#define WL_OPERATORS_H

#include "wl_node.h"

/* Adapter to operators and observers: submissions, status, reports, receipts, metrics. */

/**
 * wl_operators_handle() - handles an operator's or observer's exchange
 * @node: the node
 * @exchange: the exchange
 *
 * Return: 1 when the path belongs to this adapter, otherwise 0.
 */
int wl_operators_handle (WlNode *node, WlExchange *exchange);

/**
 * wl_operators_submit_done() - answers a submission
 * @node: the node
 * @reply: the control group's answer
 */
void wl_operators_submit_done (WlNode *node, const WlSubmitReply *reply);

/**
 * wl_operators_query_done() - answers a query
 * @node: the node
 * @reply: the control group's answer
 */
void wl_operators_query_done (WlNode *node, const WlQueryReply *reply);

/**
 * wl_operators_tick() - repeats unanswered questions and gives up late ones
 * @node: the node
 * @now_us: monotonic time
 */
void wl_operators_tick (WlNode *node, uint64_t now_us);

/**
 * wl_operators_gone() - an operator closed its connection
 * @node: the node
 * @exchange: the exchange, no longer usable
 */
void wl_operators_gone (WlNode *node, const WlExchange *exchange);

/**
 * wl_operators_drop() - forgets the calls that wait for the control group, without answering them
 * @node: the node
 */
void wl_operators_drop (WlNode *node);

#endif
