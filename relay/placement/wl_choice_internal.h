#ifndef WL_CHOICE_INTERNAL_H
#define WL_CHOICE_INTERNAL_H

#include "wl_choice.h"

/* What wl_choice.c, which decides, and wl_choice_judge.c share. */

/**
 * struct WlCandidate - one endpoint that may get a request
 * @endpoint: the endpoint
 * @sum: work there
 * @pace: it is slower than predicted by this factor
 * @score: worth as the endpoint that answers
 * @help_cost: cost in worth as a helper
 * @formula_us: time to the first output, by the formula alone
 * @first_us: likewise, with the pace
 * @has_room: it has a slot and the memory
 */
typedef struct
{
  WlEndpoint *endpoint;
  WlLoadSum sum;
  double pace;
  double score;
  double help_cost;
  uint64_t formula_us;
  uint64_t first_us;
  uint8_t has_room;
} WlCandidate;

/** wl_choice_worth() - worth of a request by its prompt tokens */
double wl_choice_worth (uint64_t prompt);

/** wl_choice_timeliness() - share of the worth earned when the first output comes after @first_us
 */
double wl_choice_timeliness (const WlChoiceRequest *q, uint64_t first_us);

/** wl_choice_room_in_us() - time until one of the requests at a full endpoint has ended */
uint64_t wl_choice_room_in_us (const WlEngineModel *m, const WlLoadSum *sum);

/** wl_choice_needed_memory() - tokens of memory that a request needs */
uint64_t wl_choice_needed_memory (const WlChoiceRequest *q);

/** wl_choice_is_short() - whether a prompt is read so fast that it may share an engine */
int wl_choice_is_short (const WlChoiceRequest *q);

/**
 * wl_choice_judge() - judges an endpoint as the one that answers
 * @load: work in progress
 * @q: the request
 * @c: the candidate; its score, times and room are set
 * @reads: tokens that it would read
 * @read_us: time to read them
 */
void wl_choice_judge (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *c, uint64_t reads,
                      uint64_t read_us);

/**
 * wl_choice_judge_parts() - judges reading in parts
 * @load: work in progress
 * @q: the request
 * @all: candidates, @n_all of them; their order may change
 * @n_helpers: engines that read beside the first
 * @out: receives the decision; @out->endpoint is NULL when impossible
 *
 * Return: the score.
 */
double wl_choice_judge_parts (const WlLoad *load, const WlChoiceRequest *q, WlCandidate *all,
                              uint32_t n_all, uint32_t n_helpers, WlChoice *out);

#endif
