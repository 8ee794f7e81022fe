#ifndef WL_EFFECTS_H
#define WL_EFFECTS_H

#include "wisterialoft.h"

/* Functions that append effects, for the modules of the core. */

/**
 * wl_effects_add() - appends an empty effect
 * @fx: the list
 * @kind: kind of the effect
 *
 * Return: the effect, zeroed except for its kind; valid until the next one is added.
 */
WlEffect *wl_effects_add (WlEffects *fx, WlEffectKind kind);

/**
 * wl_effect_is_store() - whether an effect writes to the data folder
 * @effect: the effect
 *
 * Return: 1 or 0.
 */
int wl_effect_is_store (const WlEffect *effect);

/**
 * wl_effects_send() - appends a message to another node
 * @fx: the list
 * @node: destination
 * @message: the message; need not outlive the call
 */
void wl_effects_send (WlEffects *fx, uint32_t node, const WlMessage *message);

/**
 * wl_effects_log() - appends a numbered log event
 * @fx: the list
 * @number: number from wl_events.h
 * @format: printf format of the key=value fields
 */
void wl_effects_log (WlEffects *fx, uint32_t number, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * wl_bytes_copy() - copies bytes into a pool
 * @pool: owner of the copy
 * @bytes: the bytes
 *
 * Return: the copy.
 */
WlBytes wl_bytes_copy (apr_pool_t *pool, WlBytes bytes);

#endif
