#ifndef WL_REPLAY_H
#define WL_REPLAY_H

#include <stdint.h>

/*
 * Replay of a sheet's load in simulated time: callers, forwarding nodes with
 * the real decision modules (fleet, load, choice), notes between the nodes,
 * and engines by their published formula. No network and no clock of the
 * machine: a seed gives the same result each time.
 */

enum
{
  WL_REPLAY_KINDS = 3,
  WL_REPLAY_NODES_MAX = 64,
  WL_REPLAY_ENGINES_MAX = 512,
  WL_REPLAY_TENTHS = 10,
};

/** enum WlReplayPolicy - who decides where a request goes */
typedef enum
{
  WL_REPLAY_CHOICE,      /* wl_choice.h */
  WL_REPLAY_ROUND_ROBIN, /* each node by turns, no division of prompts */
  WL_REPLAY_LEAST_LOAD,  /* fewest requests, no division of prompts */
} WlReplayPolicy;

/**
 * struct WlReplayBurst - the arrivals of all kinds are multiplied for a time
 * @from_us, @until_us: when
 * @factors: by kind
 */
typedef struct
{
  uint64_t from_us;
  uint64_t until_us;
  double factors[WL_REPLAY_KINDS];
} WlReplayBurst;

/**
 * struct WlReplayFault - engines fail for a time
 * @from_us, @until_us: when
 * @n_engines: how many
 * @pace: slower by this factor, 0 for a crash
 */
typedef struct
{
  uint64_t from_us;
  uint64_t until_us;
  uint32_t n_engines;
  double pace;
} WlReplayFault;

/**
 * struct WlReplayParts - parts of prompts, and engines that end
 * @kind: of the requests that may have the bad part; an engine ends as it begins to write on it
 * @from_us: the bad part, and ends by chance, from then on
 * @bad_one_in: one request in so many has it, 0 for none
 * @chance_us: mean time between engines that end by chance, 0 for never
 * @has_quarantine: nodes have one
 */
typedef struct
{
  uint32_t kind;
  uint64_t from_us;
  uint32_t bad_one_in;
  uint64_t chance_us;
  uint8_t has_quarantine;
} WlReplayParts;

/**
 * struct WlReplayPlan - what is replayed
 * @policy: who decides
 * @seed: seed of all random numbers
 * @n_nodes: forwarding nodes
 * @n_engines: engines
 * @scale: factor of all arrivals
 * @length_us: time in which requests arrive
 * @bursts: @n_bursts of them
 * @faults: @n_faults of them
 * @parts: NULL for none
 */
typedef struct
{
  WlReplayPolicy policy;
  uint64_t seed;
  uint32_t n_nodes;
  uint32_t n_engines;
  double scale;
  uint64_t length_us;
  const WlReplayBurst *bursts;
  uint32_t n_bursts;
  const WlReplayFault *faults;
  uint32_t n_faults;
  const WlReplayParts *parts;
} WlReplayPlan;

/**
 * struct WlReplayPartCounts - what has come of the parts
 * @n_ends: engines that ended
 * @n_arrivals: requests with the bad part that reached engines
 * @n_late: of which later than 3 s after the fifth end
 * @n_sound_refused: requests without it that were refused for a part
 * @before, @after: share of the others of its kind that began at the caller's first try, before
 *                  @from_us, and from 6 s after the fifth end on (or @from_us, without five)
 */
typedef struct
{
  uint32_t n_ends;
  uint32_t n_arrivals;
  uint32_t n_late;
  uint32_t n_sound_refused;
  double before;
  double after;
} WlReplayPartCounts;

/**
 * struct WlReplayCounts - outcome of some requests
 * @asked: requests of callers, their second tries not counted
 * @in_time: answered within the objective, without a long pause
 * @late: answered otherwise
 * @refused: refused, also the second time
 * @left: the caller left, or the time ran out
 * @worth: worth of all
 * @earned: worth earned
 * @held: worth of those refused after three quarters of the time that they had
 */
typedef struct
{
  uint32_t asked;
  uint32_t in_time;
  uint32_t late;
  uint32_t refused;
  uint32_t left;
  double worth;
  double earned;
  double held;
} WlReplayCounts;

/**
 * struct WlReplayResult - outcome of a replay
 * @kinds: by kind: short, middle, long
 * @tenths: long requests by size of the prompt, smallest first
 * @late_p50, @late_p95: actual over predicted time to the first output
 * @n_choices: decisions made
 * @parts: if the plan has them
 */
typedef struct
{
  WlReplayCounts kinds[WL_REPLAY_KINDS];
  WlReplayCounts tenths[WL_REPLAY_TENTHS];
  double late_p50;
  double late_p95;
  uint64_t n_choices;
  WlReplayPartCounts parts;
} WlReplayResult;

/** wl_replay_run() - replays a plan */
WlReplayResult wl_replay_run (const WlReplayPlan *plan);

/** wl_replay_worth() - share of the worth of all kinds that was earned */
double wl_replay_worth (const WlReplayResult *result);

/** wl_replay_served() - share of all requests that was answered */
double wl_replay_served (const WlReplayResult *result);

#endif
