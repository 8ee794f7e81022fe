#ifndef WL_ENGINE_INTERNAL_H
#define WL_ENGINE_INTERNAL_H

#include <jansson.h>
#include "wl_engine.h"
#include "wl_engine_cache.h"

/* State of an emulated endpoint, shared by wl_engine.c and wl_engine_report.c. */

enum
{
  ENTRIES_MAX = 64,
  SEQUENCES_MAX = 256,
  ANNOUNCE_US = 1000000,
  KEY_SIZE = 128,
};

typedef struct Sequence
{
  uint64_t request;
  uint32_t attempt;
  uint32_t rank;
  uint32_t gang;
  uint32_t priority;
  uint64_t kv_tokens;
  uint64_t prompt_tokens;
  uint64_t cached_tokens;
  double prefill_left;
  uint64_t next_token;
  uint64_t max_tokens;
  uint64_t prompt_hash;
  uint64_t started_us;
  uint64_t prefilled_us;
  uint64_t alive_us;
  WlPrefixHash marks[WL_PREFIX_HASHES_MAX];
  uint32_t n_marks;
  WlExchange *exchange;
  uint8_t ends_engine;
  uint8_t is_silent; /* the connection takes no more bytes */
  uint64_t cut_at;   /* break the stream at this token, 0 for never */
  struct Sequence *next;
} Sequence;

typedef struct Call
{
  WlExchange *exchange;
  uint64_t due_us;
  char body[512];
  struct Call *next;
} Call;

typedef struct
{
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
} EntryAddress;

struct Engine
{
  const EngineOptions *options;
  WlReactor *reactor;
  WlHttpClient *client;
  WlHttpServer *server;
  char name[WL_LABEL_SIZE];
  char domain[WL_LABEL_SIZE];
  char address[WL_ADDRESS_SIZE];
  uint32_t port;
  uint64_t incarnation;
  uint64_t sequence;
  EntryAddress entries[ENTRIES_MAX];
  uint32_t n_entries;
  uint32_t next_entry;
  Sequence *sequences;
  Call *calls;
  uint64_t iteration_end_us;
  uint64_t announce_us;
  uint64_t fence;
  uint64_t loading_until_us;
  char loading_model[WL_LABEL_SIZE];
  char loading_version[WL_LABEL_SIZE];
  WlLoadedModel loaded[ENGINE_LABELS];
  uint32_t n_loaded;
  EngineCache cache;
  json_t *lagged; /* report that is sent one interval late */
  uint64_t call_count;
  uint8_t is_leaving;
  uint8_t is_hung;
  uint8_t is_dead;
  uint8_t is_ending; /* closes its connections at the next tick */
  uint64_t back_us;  /* while it is away, when it starts again */
  uint64_t cut_next;
  uint64_t late_until_us;
};

/** engine_kv_used() - tokens of memory that the running requests hold */
uint64_t engine_kv_used (const Engine *e);

/** engine_send_report() - announces the endpoint to one of the entries */
void engine_send_report (Engine *e);

#endif
