#ifndef WL_COUNTERS_H
#define WL_COUNTERS_H

#include <stdint.h>

/** struct WlCounters - counters of one node since its start, served at /metrics */
typedef struct
{
  uint64_t requests;
  uint64_t admitted;
  uint64_t finished;
  uint64_t failed;
  uint64_t refused;
  uint64_t unauthorized;
  uint64_t replayed;
  uint64_t timed_out;
  uint64_t callers_gone;
  uint64_t attempts;
  uint64_t retries;
  uint64_t resumes;
  uint64_t retries_denied;
  uint64_t stalls;
  uint64_t repeated_output;
  uint64_t tokens;
  uint64_t events;
  uint64_t messages_out;
  uint64_t message_bytes_out;
} WlCounters;

#endif
