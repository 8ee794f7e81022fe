#ifndef WL_TABLE_H
#define WL_TABLE_H

#include <stdint.h>
#include <apr_hash.h>

/*
 * Hash tables with a fixed hash function, so that iteration order depends only on
 * the sequence of operations. Keys are not copied: they must be part of the values.
 */

/**
 * wl_table_create() - creates an empty table
 * @pool: owner of the table
 *
 * Return: the table.
 */
apr_hash_t *wl_table_create (apr_pool_t *pool);

/**
 * wl_table_get_id() - looks up a value by its 64-bit id
 * @table: the table
 * @id: the id
 *
 * Return: the value, or NULL.
 */
void *wl_table_get_id (apr_hash_t *table, uint64_t id);

/**
 * wl_table_put_id() - stores a value under a 64-bit id
 * @table: the table
 * @id: the id, a member of the value
 * @value: the value, or NULL to remove
 */
void wl_table_put_id (apr_hash_t *table, const uint64_t *id, void *value);

/**
 * wl_hash_bytes() - hashes bytes with XXH64
 * @data: first byte
 * @size: number of bytes
 * @seed: seed
 *
 * Return: the hash.
 */
uint64_t wl_hash_bytes (const void *data, uint64_t size, uint64_t seed);

/**
 * wl_hash_ids() - hashes two ids into one evenly distributed number
 * @a: first id
 * @b: second id
 *
 * Return: the hash.
 */
uint64_t wl_hash_ids (uint64_t a, uint64_t b);

#endif
