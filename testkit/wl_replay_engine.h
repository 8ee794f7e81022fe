#ifndef WL_REPLAY_ENGINE_H
#define WL_REPLAY_ENGINE_H

#include "wl_forecast.h"

/*
 * A model engine in simulated time, by the formula that its operators
 * publish: it works in passes, reads parts of other engines' prompts first,
 * then prompts by urgency and arrival, and writes one token a step for every
 * request whose prompt is read. A pass with writers runs a whole stride of
 * steps. A request whose memory is not free waits, and those after it go first.
 */

enum
{
  WL_REPLAY_WORK_MAX = 128, /* requests, parts and reservations at one engine */
};

/**
 * enum WlReplayStage - what an engine does for a piece of work
 * @WL_REPLAY_READING: reads it, or it waits to be read
 * @WL_REPLAY_READ: its prompt is read here, other engines still read parts
 * @WL_REPLAY_WRITING: writes
 * @WL_REPLAY_HOLDING: holds memory for a prompt that another engine writes
 */
typedef enum
{
  WL_REPLAY_READING,
  WL_REPLAY_READ,
  WL_REPLAY_WRITING,
  WL_REPLAY_HOLDING,
} WlReplayStage;

/**
 * struct WlReplayWork - a request, or a part of one, at an engine
 * @request: index of the request
 * @is_part: it only reads, and perhaps holds, a part
 * @urgency: 0 is first
 * @tokens: tokens to read here in all
 * @read_us: time that this takes
 * @left: share of it that is left, 1 to 0
 * @memory: tokens of memory that it needs here
 * @output: tokens left to be written
 * @parts: parts at other engines that are not yet read
 * @stage: what is done for it
 */
typedef struct
{
  uint32_t request;
  uint8_t is_part;
  uint8_t urgency;
  uint64_t tokens;
  double read_us;
  double left;
  uint64_t memory;
  uint32_t output;
  uint32_t parts;
  WlReplayStage stage;
} WlReplayWork;

/**
 * enum WlReplayStep - what a pass did for a piece of work
 * @WL_REPLAY_PART_READ: a part for another engine is read
 * @WL_REPLAY_EVENT: an event was made
 * @WL_REPLAY_LAST_EVENT: the last event was made, the work is gone
 */
typedef enum
{
  WL_REPLAY_PART_READ,
  WL_REPLAY_EVENT,
  WL_REPLAY_LAST_EVENT,
} WlReplayStep;

typedef struct
{
  uint32_t request;
  WlReplayStep result;
} WlReplayOutcome;

/**
 * struct WlReplayEngine - one engine
 * @model: its formula
 * @pace: slower than that by this factor
 * @is_down: it has crashed
 * @works: work in order of arrival, @n_works of them
 * @is_busy: a pass is under way
 * @plan: share of each prompt that the current pass reads, by position in @works
 * @n_planned: entries of @plan
 * @steps: steps of the current pass
 */
typedef struct
{
  const WlEngineModel *model;
  double pace;
  uint8_t is_down;
  WlReplayWork works[WL_REPLAY_WORK_MAX];
  uint32_t n_works;
  uint8_t is_busy;
  double plan[WL_REPLAY_WORK_MAX];
  uint32_t n_planned;
  uint32_t steps;
} WlReplayEngine;

/** wl_replay_engine_add() - a request or part arrives. Return: 0 when the engine is full */
int wl_replay_engine_add (WlReplayEngine *engine, const WlReplayWork *work);

/** wl_replay_engine_remove() - drops all work of a request */
void wl_replay_engine_remove (WlReplayEngine *engine, uint32_t request);

/** wl_replay_engine_part_done() - another engine has read its part of a request */
void wl_replay_engine_part_done (WlReplayEngine *engine, uint32_t request);

/** wl_replay_engine_begin() - begins a pass. Return: its time in microseconds, 0 when idle */
uint64_t wl_replay_engine_begin (WlReplayEngine *engine);

/**
 * wl_replay_engine_end() - ends the pass
 * @engine: the engine
 * @out: receives up to WL_REPLAY_WORK_MAX outcomes
 *
 * Return: the number of outcomes.
 */
uint32_t wl_replay_engine_end (WlReplayEngine *engine, WlReplayOutcome *out);

#endif
