#ifndef WL_DELTA_H
#define WL_DELTA_H

#include "wl_command.h"
#include "wl_services.h"

/*
 * Deltas between services texts: the bytes kept at both ends and the bytes
 * between them. Where edits lie far apart these are most of the text, so they
 * are compressed with the other text as the reference (zstd, "patch from"): the
 * size of a delta follows the size of the edits, wherever they are.
 */

enum
{
  WL_DELTA_PLAIN_MAX = 512,                     /* bytes up to which compression gains little */
  WL_DELTA_TEXT_MAX = WL_SERVICES_TEXT_MAX + 8, /* with a version of eight bytes in front */
};

/**
 * wl_delta_make() - computes the change from one text to another
 * @old_text: replaced text
 * @new_text: new text
 * @pool: owner of a compressed middle
 * @out: receives prefix, suffix, middle (compressed, or pointing into @new_text) and digest
 */
void wl_delta_make (WlBytes old_text, WlBytes new_text, apr_pool_t *pool, WlConfigChange *out);

/**
 * wl_delta_record_removed() - fills in the bytes that a change takes out
 * @old_text: replaced text
 * @new_text: new text
 * @pool: owner of compressed bytes
 * @change: receives @removed, without which it cannot be reverted
 */
void wl_delta_record_removed (WlBytes old_text, WlBytes new_text, apr_pool_t *pool,
                              WlConfigChange *change);

/**
 * wl_text_pack() - compresses a text
 * @text: the text
 * @pool: owner of the result
 *
 * Return: the compressed text.
 */
WlBytes wl_text_pack (WlBytes text, apr_pool_t *pool);

/**
 * wl_text_unpack() - undoes wl_text_pack()
 * @packed: bytes from another node
 * @pool: owner of the result
 * @out: receives the text
 *
 * Return: WL_OK, or WL_ERROR_INVALID for damaged bytes and for a text above
 * WL_DELTA_TEXT_MAX.
 */
WlError wl_text_unpack (WlBytes packed, apr_pool_t *pool, WlBytes *out);

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
 * @out: receives the text before the change
 *
 * Return: WL_OK, or WL_ERROR_INVALID when the removed bytes are damaged or missing.
 */
WlError wl_delta_revert (WlBytes new_text, const WlConfigChange *change, apr_pool_t *pool,
                         WlBytes *out);

/**
 * wl_digest() - computes a BLAKE2b digest
 * @bytes: input
 * @out: receives WL_DIGEST_SIZE bytes
 */
void wl_digest (WlBytes bytes, uint8_t *out);

#endif
