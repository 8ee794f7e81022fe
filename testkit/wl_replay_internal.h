#ifndef WL_REPLAY_INTERNAL_H
#define WL_REPLAY_INTERNAL_H

#include <gsl/gsl_rng.h>
#include "wl_choice.h"
#include "wl_quarantine.h"
#include "wl_replay.h"
#include "wl_replay_engine.h"
#include "wl_time_queue.h"

/* What the files of the replay share: wl_replay.c (the run), wl_replay_traffic.c (who asks) and
   wl_replay_parts.c (parts of prompts). */

enum
{
  WL_REPLAY_TARGETS_MAX = WL_CHOICE_HELPERS_MAX + 1,
  WL_REPLAY_HOP_US = 1500, /* one way between nodes, and to an engine */
};

/**
 * struct WlReplayKind - one kind of request, after the users' sheet
 * @per_s: arrivals a second
 * @prompt, @prompt_spread, @prompt_max: mean, ratio of deviation to mean, and most of its tokens
 * @events, @events_spread: mean and ratio of the answer's events
 * @worth, @late_worth: of a request of mean size
 * @deadline_us: how long its caller waits
 * @urgency: 0 is first at an engine
 * @route: its limits
 */
typedef struct
{
  double per_s;
  double prompt;
  double prompt_spread;
  double prompt_max;
  double events;
  double events_spread;
  double worth;
  double late_worth;
  uint64_t deadline_us;
  uint8_t urgency;
  WlRoute route;
} WlReplayKind;

/** enum WlReplayCallerState - where a caller's request stands */
typedef enum
{
  WL_REPLAY_CALLER_WAITS, /* at its node, at no engine */
  WL_REPLAY_CALLER_SENT,
  WL_REPLAY_CALLER_AWAY, /* was refused and comes back */
  WL_REPLAY_CALLER_DONE,
} WlReplayCallerState;

/** enum WlReplayEnding - what became of a request */
typedef enum
{
  WL_REPLAY_ENDED_LEFT, /* the caller left, or the replay ended */
  WL_REPLAY_ENDED_REFUSED,
  WL_REPLAY_ENDED_LATE,
  WL_REPLAY_ENDED_IN_TIME,
} WlReplayEnding;

/**
 * struct WlReplayCaller - a caller with its one request
 * @hint: its estimate of @output
 * @is_held: refused when most of its time was gone
 * @asked_us, @arrived_us: its first and its current try
 * @is_bad: has the bad part
 * @customer, @second_part: see wl_replay_parts.c
 * @begun_us: first output of the current attempt, 0 before
 * @is_sound: this attempt has shown that its parts are sound
 * @epoch: events for an earlier attempt are void
 * @targets, @memory: engines of the current attempt, the one that answers first, and tokens there
 */
typedef struct
{
  uint32_t kind;
  uint32_t prompt;
  uint32_t output;
  uint32_t hint;
  double worth;
  WlReplayCallerState state;
  WlReplayEnding outcome;
  uint8_t is_held;
  uint8_t is_bad;
  uint8_t is_sound;
  uint32_t customer;
  uint64_t second_part;
  uint64_t begun_us;
  uint32_t node;
  uint64_t asked_us;
  uint64_t limit_us;
  uint64_t arrived_us;
  uint64_t progress_us;
  uint64_t first_us;
  uint64_t longest_pause_us;
  uint64_t sent_us;
  uint64_t predicted_us;
  uint32_t tries;
  uint32_t attempts;
  uint64_t epoch;
  WlChoiceRequest wanted;
  uint32_t targets[WL_REPLAY_TARGETS_MAX];
  uint64_t memory[WL_REPLAY_TARGETS_MAX];
  uint32_t n_targets;
  uint64_t reads;
  uint64_t read_us;
  uint64_t formula_us;
} WlReplayCaller;

/** enum WlReplayEventKind - what happens at a time */
typedef enum
{
  WL_REPLAY_AT_ASK,
  WL_REPLAY_AT_TRY,
  WL_REPLAY_AT_REACH,
  WL_REPLAY_AT_PASS,
  WL_REPLAY_AT_NOTE,
  WL_REPLAY_AT_PATIENCE,
  WL_REPLAY_AT_FAULT,
  WL_REPLAY_AT_REGISTER,
  WL_REPLAY_AT_REPORT,
  WL_REPLAY_AT_CHANCE,
  WL_REPLAY_AT_BACK,
} WlReplayEventKind;

/** struct WlReplayEvent - @index is a caller, an engine or a fault, by kind */
typedef struct
{
  uint64_t at_us;
  WlReplayEventKind kind;
  uint32_t index;
  uint64_t epoch;
  uint32_t node;
  WlWorkItem note;
  WlPartReport *report;
} WlReplayEvent;

typedef struct
{
  const WlReplayPlan *plan;
  gsl_rng *rng;
  uint64_t now_us;
  WlTimeQueue *events; /* of WlReplayEvent */
  WlReplayCaller *callers;
  uint32_t n_callers;
  uint32_t room_callers;
  WlFleet *fleets[WL_REPLAY_NODES_MAX];
  WlLoad *loads[WL_REPLAY_NODES_MAX];
  uint32_t turn[WL_REPLAY_NODES_MAX];
  WlReplayEngine *engines;
  uint64_t keys[WL_REPLAY_ENGINES_MAX];
  uint64_t passes[WL_REPLAY_ENGINES_MAX]; /* begun; ends of passes before a crash are void */
  double *ratios;
  size_t n_ratios;
  WlReplayResult result;
  WlQuarantine *quarantines[WL_REPLAY_NODES_MAX]; /* NULL if nodes have none */
  uint64_t chance;                                /* state of random numbers of parts and ends */
  uint64_t known_us;                              /* the fifth end, 0 before */
} WlReplay;

/** wl_replay_kinds - the kinds of request of the users' sheets: short, middle, long */
extern const WlReplayKind wl_replay_kinds[WL_REPLAY_KINDS];

/** wl_replay_make_callers() - makes all callers of a plan, in r->callers */
void wl_replay_make_callers (WlReplay *r);

/** wl_replay_sum_up() - counts what became of the callers, in r->result */
void wl_replay_sum_up (WlReplay *r);

/** wl_replay_push() - an event of a replay */
void wl_replay_push (WlReplay *r, const WlReplayEvent *event);

/** wl_replay_chance() - a number from 0 to @n - 1; other random numbers do not depend on it */
uint32_t wl_replay_chance (WlReplay *r, uint32_t n);

/** wl_replay_parts_create() - gives callers their parts, and nodes their quarantines */
void wl_replay_parts_create (WlReplay *r);
void wl_replay_parts_destroy (WlReplay *r);

/** wl_replay_parts_ask() - a request has come to its node */
void wl_replay_parts_ask (WlReplay *r, const WlReplayCaller *c);

/** wl_replay_parts_refuses() - whether the node refuses a request for one of its parts */
int wl_replay_parts_refuses (WlReplay *r, const WlReplayCaller *c);

/** wl_replay_parts_note_arrival() - a request has reached an engine */
void wl_replay_parts_note_arrival (WlReplay *r, const WlReplayCaller *c);

/** wl_replay_parts_note_event() - an engine has written for a request */
void wl_replay_parts_note_event (WlReplay *r, WlReplayCaller *c, int is_last);

/** wl_replay_parts_note_end() - an engine ends with all its work */
void wl_replay_parts_note_end (WlReplay *r, uint32_t engine);

/** wl_replay_parts_take_report() - a report reaches all nodes but @event's */
void wl_replay_parts_take_report (WlReplay *r, const WlReplayEvent *event);

/** wl_replay_parts_sum_up() - counts, in r->result.parts */
void wl_replay_parts_sum_up (WlReplay *r);

#endif
