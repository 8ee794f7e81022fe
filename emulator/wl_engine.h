#ifndef WL_ENGINE_H
#define WL_ENGINE_H

#include <stdint.h>
#include "wl_http_client.h"
#include "wl_http_server.h"
#include "wl_message.h"

/*
 * Emulated endpoints for tests and experiments: a model engine with
 * continuous batching, or a plain service. One process hosts many.
 *
 * An engine works in iterations. Each one computes a chunk of prompt tokens,
 * by priority, and generates one token for every running request; it takes
 * decode_us plus the chunk's prompt time. All durations are divided by speed.
 */

enum
{
  ENGINE_CHUNK_SHARED_TOKENS = 256, /* prompt chunk while other requests generate */
  ENGINE_CHUNK_ALONE_TOKENS = 2048, /* prompt chunk while nobody waits for tokens */
  ENGINE_ALIVE_US = 300000,
  ENGINE_AWAY_US = 4000000, /* from its end until it starts again */
  ENGINE_LABELS = 4,
};

/**
 * struct EngineOptions - properties shared by all endpoints of the process
 * @is_plain: plain service instead of a model engine
 * @speed: factor by which time runs faster
 * @prefill_tps: prompt tokens a second
 * @decode_us: duration of an iteration without prompt work
 * @kv_capacity: tokens of KV memory
 * @evicts: whether running requests take memory from the prefixes of ended ones
 * @slots: requests that run at once
 * @load_ms: time to load a model
 * @checks_fence: whether orders with an old fencing number are refused
 * @service_ms: time of a plain call
 * @latency_us: one-way delay added before an answer's first byte
 * @ends_on: texts; an engine ends when it begins to write on a prompt with a message that contains
 *           one: all connections close, and it starts again after ENGINE_AWAY_US
 * @n_ends_on: number of them
 * @limit: requests a second that its responses name as its limit, NULL for none
 * @witness: file descriptor of the log of what ran, -1 for none
 */
typedef struct
{
  const char *service;
  const char *endpoint_key;
  uint8_t is_plain;
  double speed;
  double prefill_tps;
  uint64_t decode_us;
  uint64_t kv_capacity;
  uint8_t evicts;
  uint32_t slots;
  uint64_t load_ms;
  uint8_t checks_fence;
  uint64_t service_ms;
  uint64_t latency_us;
  const char *const *ends_on;
  uint32_t n_ends_on;
  const char *limit;
  int witness;
  const char *model;
  const char *version;
  uint8_t preloaded;
} EngineOptions;

typedef struct Engine Engine;

/**
 * engine_create() - starts an endpoint
 * @options: shared properties; must outlive the endpoint
 * @reactor: event loop
 * @client: HTTP client for announcements
 * @name: endpoint name
 * @domain: failure domain
 * @address: IP number
 * @port: TCP port
 *
 * Return: the endpoint, or NULL when the port cannot be listened on.
 */
Engine *engine_create (const EngineOptions *options, WlReactor *reactor, WlHttpClient *client,
                       const char *name, const char *domain, const char *address, uint32_t port);

/**
 * engine_add_entry() - tells an endpoint where it can announce itself
 * @engine: the endpoint
 * @address: IP number of an entry
 * @port: its HTTP port
 */
void engine_add_entry (Engine *engine, const char *address, uint32_t port);

/**
 * engine_tick() - lets time pass
 * @engine: the endpoint
 * @now_us: monotonic time
 */
void engine_tick (Engine *engine, uint64_t now_us);

/**
 * engine_token_text() - text of one generated token
 * @prompt_hash: XXH64 of the joined prompt
 * @index: number of the token, from 0
 * @out: receives at least 10 bytes
 *
 * The text depends only on prompt and index, so that a load generator can
 * check that an answer is whole and its own.
 */
void engine_token_text (uint64_t prompt_hash, uint64_t index, char *out);

#endif
