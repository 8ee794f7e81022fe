#ifndef WL_DELTA_H
#define WL_DELTA_H

#include "wl_command.h"
#include "wl_services.h"

/*
 * Deltas between configurations. A delta keeps the common prefix and suffix, and
 * contains the bytes between them. When edits lie far apart, these are most of the
 * configuration, so they are compressed with the other configuration as the
 * reference (zstd "patch from"). The size of a delta therefore depends on the size
 * of the edits, not on their positions.
 */

enum
{
  WL_DELTA_UNCOMPRESSED_BYTES = 512, /* up to this size compression would gain little */
  /* limit for a configuration with its version, and with evacuations of failure domains, which
     need less than 12 KB */
  WL_DELTA_CONFIG_BYTES = WL_SERVICES_TEXT_MAX + 16384,
};

/**
 * wl_delta_make() - computes the change from one configuration to another
 * @old_config: replaced configuration
 * @new_config: new configuration
 * @pool: owner of a compressed middle
 * @out: receives prefix, suffix, middle (compressed, or pointing into @new_config) and digest
 */
void wl_delta_make (WlBytes old_config, WlBytes new_config, apr_pool_t *pool, WlConfigChange *out);

/**
 * wl_delta_record_removed() - adds the bytes that a change removes, for wl_delta_revert()
 * @old_config: replaced configuration
 * @new_config: new configuration
 * @pool: owner of compressed bytes
 * @change: receives @removed (compressed, or pointing into @old_config)
 */
void wl_delta_record_removed (WlBytes old_config, WlBytes new_config, apr_pool_t *pool,
                              WlConfigChange *change);

/**
 * wl_config_compress() - compresses a configuration
 * @config: the configuration
 * @pool: owner of the result
 *
 * Return: the compressed bytes.
 */
WlBytes wl_config_compress (WlBytes config, apr_pool_t *pool);

/**
 * wl_config_decompress() - undoes wl_config_compress()
 * @packed: compressed bytes from another node, not trusted
 * @pool: owner of the result
 * @out: receives the configuration
 *
 * Return: WL_OK, or WL_ERROR_INVALID when the bytes are damaged or the
 * configuration is larger than WL_DELTA_CONFIG_BYTES.
 */
WlError wl_config_decompress (WlBytes packed, apr_pool_t *pool, WlBytes *out);

/**
 * wl_delta_apply() - applies a change to a configuration
 * @old_config: replaced configuration
 * @change: the change
 * @pool: owner of the result
 * @out: receives the new configuration
 *
 * Return: WL_OK, or WL_ERROR_INVALID when the change does not fit @old_config or
 * the result has another digest than @change says.
 */
WlError wl_delta_apply (WlBytes old_config, const WlConfigChange *change, apr_pool_t *pool,
                        WlBytes *out);

/**
 * wl_delta_revert() - undoes a change
 * @new_config: configuration after the change
 * @change: the change, after wl_delta_record_removed()
 * @pool: owner of the result
 * @out: receives the configuration before the change
 *
 * Return: WL_OK, or WL_ERROR_INVALID when the removed bytes cannot be decompressed.
 */
WlError wl_delta_revert (WlBytes new_config, const WlConfigChange *change, apr_pool_t *pool,
                         WlBytes *out);

/**
 * wl_digest() - computes a BLAKE2b digest
 * @bytes: input
 * @out: receives WL_DIGEST_SIZE bytes
 */
void wl_digest (WlBytes bytes, uint8_t *out);

#endif
