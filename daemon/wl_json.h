#ifndef WL_JSON_H
#define WL_JSON_H

#include <jansson.h>
#include "wl_http_server.h"

/* Helpers for JSON bodies. */

/**
 * wl_json_text() - text member of an object
 * @object: the object
 * @key: member name
 *
 * Return: the text, or an empty string when missing or of another type.
 */
const char *wl_json_text (const json_t *object, const char *key);

/**
 * wl_json_u64() - number member of an object
 * @object: the object
 * @key: member name
 * @fallback: result when missing, negative or of another type
 *
 * Return: the number.
 */
uint64_t wl_json_u64 (const json_t *object, const char *key, uint64_t fallback);

/**
 * wl_json_hex() - makes a text of 16 hexadecimal digits from an id
 * @id: the id
 *
 * Return: a new JSON text.
 */
json_t *wl_json_hex (uint64_t id);

/**
 * wl_json_digest() - makes a hexadecimal text from a digest
 * @digest: 32 bytes
 *
 * Return: a new JSON text.
 */
json_t *wl_json_digest (const uint8_t *digest);

/**
 * wl_json_reply() - answers an exchange with JSON
 * @exchange: the exchange
 * @status: HTTP status
 * @value: the value; its reference is taken over
 */
void wl_json_reply (WlExchange *exchange, uint32_t status, json_t *value);

/**
 * wl_json_problem() - answers an exchange with a problem document
 * @exchange: the exchange
 * @status: HTTP status
 * @title: short title
 * @detail: one sentence
 */
void wl_json_problem (WlExchange *exchange, uint32_t status, const char *title, const char *detail);

#endif
