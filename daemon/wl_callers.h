#ifndef WL_CALLERS_H
#define WL_CALLERS_H

#include "wl_node.h"

/* Adapter to callers: chat completions, plain services, the entry list. */

/**
 * wl_callers_handle() - handles a caller's exchange
 * @node: the node
 * @exchange: the exchange
 *
 * Return: 1 when the path belongs to this adapter, otherwise 0.
 */
int wl_callers_handle (WlNode *node, WlExchange *exchange);

/**
 * wl_callers_read_time_limit() - reads a caller's Wisterialoft-Time-Limit-Ms
 * @text: the field's value, empty without the field
 * @out: receives the time limit; less than 0 is 0, and what is no number counts as none
 */
void wl_callers_read_time_limit (const char *text, WlRequestEvent *out);

/**
 * wl_callers_chunk() - sends output to the caller
 * @node: the node
 * @effect: a WL_EFFECT_REPLY_CHUNK
 */
void wl_callers_chunk (WlNode *node, const WlEffect *effect);

/**
 * wl_callers_end() - ends the caller's answer
 * @node: the node
 * @end: how the request ended
 */
void wl_callers_end (WlNode *node, const WlReplyEnd *end);

/**
 * wl_callers_gone() - the caller closed its connection
 * @node: the node
 * @exchange: the exchange, no longer usable
 */
void wl_callers_gone (WlNode *node, const WlExchange *exchange);

/**
 * wl_callers_check_closed() - looks for callers that closed while waiting
 * @node: the node
 */
void wl_callers_check_closed (WlNode *node);

/**
 * wl_callers_find() - finds an open request
 * @node: the node
 * @id: request id
 *
 * Return: the request, or NULL.
 */
WlOpenRequest *wl_callers_find (const WlNode *node, uint64_t id);

/**
 * wl_callers_release() - frees a request that has no caller and no call left
 * @node: the node
 * @request: the request
 */
void wl_callers_release (WlNode *node, WlOpenRequest *request);

#endif
