#ifndef WL_VIEWS_H
#define WL_VIEWS_H

#include <jansson.h>
#include "wl_node.h"

/* Views of a node's state as JSON or text. */

/**
 * wl_views_status() - cells, endpoints, queues and leases of this node
 * @node: the node
 *
 * Return: a new JSON object.
 */
json_t *wl_views_status (const WlNode *node);

/**
 * wl_views_query() - the control group's view
 * @q: the leader's answer
 *
 * Return: a new JSON object.
 */
json_t *wl_views_query (const WlQueryReply *q);

/**
 * wl_views_request() - decisions taken on one request
 * @node: the node
 * @id: request id
 *
 * Return: a new JSON array.
 */
json_t *wl_views_request (const WlNode *node, uint64_t id);

/**
 * wl_views_burn() - service-level burn of this entry and delays in its cells
 * @node: the node
 * @customer: the customer who asks; NULL for an operator, who sees all rows
 *
 * Return: a new JSON object.
 */
json_t *wl_views_burn (const WlNode *node, const char *customer);

/**
 * wl_views_receipts() - one customer's receipts at this entry
 * @node: the node
 * @customer: customer name
 * @after: sequence number after which to begin
 *
 * Return: a new JSON object.
 */
json_t *wl_views_receipts (const WlNode *node, const char *customer, uint64_t after);

/**
 * wl_views_metrics() - counters in the text format of Prometheus
 * @node: the node
 * @pool: owner of the result
 *
 * Return: the text.
 */
const char *wl_views_metrics (const WlNode *node, apr_pool_t *pool);

#endif
