#ifndef WL_ENDPOINTS_H
#define WL_ENDPOINTS_H

#include "wl_node.h"

/* Adapter to endpoints that announce themselves. */

/**
 * wl_endpoints_handle() - handles an endpoint's exchange
 * @node: the node
 * @exchange: the exchange
 *
 * Return: 1 when the path belongs to this adapter, otherwise 0.
 */
int wl_endpoints_handle (WlNode *node, WlExchange *exchange);

#endif
