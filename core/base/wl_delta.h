#ifndef WL_DELTA_H
#define WL_DELTA_H

#include "wl_command.h"
#include "wl_services.h"

/*
 * Deltas between services texts: the bytes kept at both ends and the bytes
 * between them. One edited service or customer makes a delta of its own size.
 */

/**
 * wl_delta_make() - computes the change from one text to another
 * @old_text: replaced text
 * @new_text: new text
 * @out: receives prefix, suffix, middle (pointing into @new_text) and digest
 */
void wl_delta_make (WlBytes old_text, WlBytes new_text, WlConfigChange *out);

/**
 * wl_delta_apply() - applies a change to a text
 * @old_text: replaced text
 * @change: the change
 * @pool: owner of the result
 * @out: receives the new text
 *
 * Return: WL_OK, or WL_ERROR_INVALID when the change does not fit or the
 * result has another digest.
 */
WlError wl_delta_apply (WlBytes old_text, const WlConfigChange *change, apr_pool_t *pool,
                        WlBytes *out);

/**
 * wl_delta_revert() - undoes a change
 * @new_text: text after the change
 * @change: the change, with its removed bytes
 * @pool: owner of the result
 *
 * Return: the text before the change.
 */
WlBytes wl_delta_revert (WlBytes new_text, const WlConfigChange *change, apr_pool_t *pool);

/**
 * wl_digest() - computes a BLAKE2b digest
 * @bytes: input
 * @out: receives WL_DIGEST_SIZE bytes
 */
void wl_digest (WlBytes bytes, uint8_t *out);

#endif
