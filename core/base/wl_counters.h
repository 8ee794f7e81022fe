#ifndef WL_COUNTERS_H
#define WL_COUNTERS_H

#include <stdint.h>

/**
 * struct WlCounters - counters of one node since its start, served at /metrics
 * @requests: requests received
 * @admitted: requests admitted
 * @finished: requests with a complete response
 * @failed: requests that failed
 * @refused: requests refused, including those to unknown services
 * @unauthorized: requests with an unknown API key
 * @replayed: requests answered with the stored outcome of an earlier one
 * @timed_out: requests ended by their time limit
 * @callers_disconnected: callers that closed their connection
 * @attempts: attempts dispatched
 * @retries: attempts after the first one of a request
 * @resumes: retries that continued a stream
 * @retries_denied: retries not made, since the retry budget was empty
 * @stalls: attempts ended after a time without output or keep-alive
 * @repeated_output: outputs dropped, since the caller had them already
 * @tokens: output tokens received from endpoints, without repeated ones
 * @events: events processed by the core
 * @messages_out: messages sent to other nodes
 * @message_bytes_out: their size in bytes
 */
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
  uint64_t callers_disconnected;
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
