#ifndef WL_ENGINES_H
#define WL_ENGINES_H

#include "wl_node.h"

/*
 * Adapter to endpoints: dispatch, cancel and orders. A model engine gets the
 * caller's body unchanged and answers with server-sent events; a plain
 * service gets and gives ordinary HTTP. See docs/http.md.
 */

/**
 * wl_engines_dispatch() - sends a request to an endpoint
 * @node: the node
 * @dispatch: the dispatch
 */
void wl_engines_dispatch (WlNode *node, const WlDispatch *dispatch);

/**
 * wl_engines_close_attempt() - closes the connections of an attempt
 * @node: the node
 * @attempt: request and attempt
 */
void wl_engines_close_attempt (WlNode *node, const WlRunningAttempt *attempt);

/**
 * wl_engines_drop_calls() - closes all connections of a request
 * @request: the request
 */
void wl_engines_drop_calls (WlOpenRequest *request);

/**
 * wl_engines_cancel() - tells an endpoint to free an attempt
 * @node: the node
 * @cancel: endpoint and attempt
 */
void wl_engines_cancel (WlNode *node, const WlCancel *cancel);

/**
 * wl_engines_order() - gives an endpoint an order
 * @node: the node
 * @order: the order
 */
void wl_engines_order (WlNode *node, const WlModelLoad *order);

#endif
