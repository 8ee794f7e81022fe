#ifndef WL_SERVICES_H
#define WL_SERVICES_H

#include <stddef.h>
#include <stdint.h>
#include "wl_error.h"

/*
 * The services text: one YAML document that lists the services, their
 * dependencies, the customers and the policy. wl_services_parse () turns it
 * into a WlServices and reports every finding with its line and column.
 */

enum
{
  WL_NAME_SIZE = 64,             /* bytes, with the terminating zero */
  WL_PATH_SIZE = 128,            /* bytes, with the terminating zero */
  WL_KEY_DIGEST_SIZE = 32,       /* bytes of BLAKE2b over an API key */
  WL_SERVICES_TEXT_MAX = 1 << 20 /* bytes of one services text */
};

/**
 * enum WlServiceKind - what a service routes to
 * @WL_SERVICE_MODEL: model engines that stream tokens
 * @WL_SERVICE_PLAIN: ordinary HTTP services
 */
typedef enum
{
  WL_SERVICE_MODEL,
  WL_SERVICE_PLAIN,
} WlServiceKind;

/**
 * struct WlCall - one path of a plain service
 * @path: path below the service, beginning with a slash
 * @idempotent: whether the call may be repeated
 */
typedef struct
{
  char path[WL_PATH_SIZE];
  uint8_t idempotent;
} WlCall;

/**
 * struct WlModel - a model that the endpoints of a service load
 * @name: model name
 * @version: version that must be loaded
 */
typedef struct
{
  char name[WL_NAME_SIZE];
  char version[WL_NAME_SIZE];
} WlModel;

/**
 * struct WlService - one service of the text
 * @name: unique name
 * @kind: model or plain
 * @line: line of the definition, from 1
 * @cells: number of cells into which the endpoints are divided
 * @time_limit_ms: longest time from admission to the end of a request
 * @queue_limit: requests that may wait per cell
 * @max_prompt_tokens: longest accepted prompt
 * @fenced: whether the endpoints refuse orders with an old fencing number
 * @models: models to load, @n_models of them
 * @depends_on: names of services that must be served first, @n_depends_on of them
 * @calls: paths with their idempotency, @n_calls of them
 */
typedef struct
{
  char name[WL_NAME_SIZE];
  WlServiceKind kind;
  uint32_t line;
  uint32_t cells;
  uint64_t time_limit_ms;
  uint32_t queue_limit;
  uint64_t max_prompt_tokens;
  uint8_t fenced;
  WlModel *models;
  size_t n_models;
  char (*depends_on)[WL_NAME_SIZE];
  size_t n_depends_on;
  WlCall *calls;
  size_t n_calls;
} WlService;

/**
 * struct WlCustomer - one customer of the text
 * @name: unique name
 * @line: line of the definition, from 1
 * @key_digest: BLAKE2b digest of the API key
 * @weight: share in weighted fair queueing
 * @max_running: requests that may run at once in one cell, 0 for no cap
 * @max_queued: requests that may wait at once in one cell, 0 for no cap
 */
typedef struct
{
  char name[WL_NAME_SIZE];
  uint32_t line;
  uint8_t key_digest[WL_KEY_DIGEST_SIZE];
  uint32_t weight;
  uint32_t max_running;
  uint32_t max_queued;
} WlCustomer;

/**
 * struct WlObjective - a service-level objective for one prompt-length class
 * @up_to_tokens: the class covers prompts up to this length
 * @first_token_ms: bound on the time to first token
 * @share_ppm: share of requests that must keep the bound, in parts per million
 */
typedef struct
{
  uint64_t up_to_tokens;
  uint64_t first_token_ms;
  uint32_t share_ppm;
} WlObjective;

/**
 * struct WlServices - a parsed services text
 * @services: services, @n_services of them
 * @customers: customers, @n_customers of them
 * @objectives: objectives in ascending class order, @n_objectives of them
 * @long_weight_ppm: weight of long first-token time against short slowdown,
 *   0 (shorts only) to 1000000 (long prompts only)
 * @weight_loads_per_minute: rate of the weight store
 */
typedef struct
{
  WlService *services;
  size_t n_services;
  WlCustomer *customers;
  size_t n_customers;
  WlObjective *objectives;
  size_t n_objectives;
  uint32_t long_weight_ppm;
  uint32_t weight_loads_per_minute;
} WlServices;

/**
 * struct WlFinding - one problem found in a text
 * @line: line, from 1
 * @column: column, from 1
 * @code: short code such as "WL-UNKNOWN-FIELD"
 * @text: one sentence
 */
typedef struct
{
  uint32_t line;
  uint32_t column;
  const char *code;
  char text[256];
} WlFinding;

/**
 * struct WlFindings - growing list of findings
 * @items: the findings in document order
 * @count: number of findings
 */
typedef struct
{
  WlFinding *items;
  size_t count;
} WlFindings;

/**
 * wl_findings_add() - appends one finding
 * @findings: the list
 * @line: line, from 1
 * @column: column, from 1
 * @code: static code string
 * @format: printf format of the sentence
 */
void wl_findings_add (WlFindings *findings, uint32_t line, uint32_t column, const char *code,
                      const char *format, ...) __attribute__ ((format (printf, 5, 6)));

/**
 * wl_findings_clear() - frees the findings and empties the list
 * @findings: the list
 */
void wl_findings_clear (WlFindings *findings);

/**
 * wl_services_parse() - parses and checks a services text
 * @text: the YAML text
 * @size: bytes in @text
 * @findings: receives all findings
 * @out: receives the parsed text, or NULL on error
 *
 * Return: WL_OK, or WL_ERROR_INVALID when there is any finding.
 */
WlError wl_services_parse (const char *text, size_t size, WlFindings *findings, WlServices **out);

/**
 * wl_services_destroy() - frees a parsed text
 * @services: the parsed text, or NULL
 */
void wl_services_destroy (WlServices *services);

/**
 * wl_services_find() - looks a service up by name
 * @services: the parsed text, or NULL
 * @name: service name
 *
 * Return: the service, or NULL.
 */
const WlService *wl_services_find (const WlServices *services, const char *name);

/**
 * wl_services_find_customer() - looks a customer up by name
 * @services: the parsed text, or NULL
 * @name: customer name
 *
 * Return: the customer, or NULL.
 */
const WlCustomer *wl_services_find_customer (const WlServices *services, const char *name);

/**
 * wl_services_authenticate() - finds the customer that an API key belongs to
 * @services: the parsed text, or NULL
 * @key: API key as sent by the caller
 *
 * Digests are compared in constant time.
 *
 * Return: the customer, or NULL when the key is unknown.
 */
const WlCustomer *wl_services_authenticate (const WlServices *services, const char *key);

/**
 * wl_service_call_is_idempotent() - tells whether a path may be called twice
 * @service: the service
 * @path: path below the service
 *
 * Paths that the text does not list count as not idempotent on plain services.
 *
 * Return: 1 when the call may be repeated, otherwise 0.
 */
int wl_service_call_is_idempotent (const WlService *service, const char *path);

#endif
