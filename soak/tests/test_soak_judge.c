#include <string.h>
#include "wl_soak_judge.h"
#include "wl_soak_nodes.h"
#include "wl_soak_request.h"
#include "wl_test.h"

/* Guards against a soak that blames a node for what it could not do, or misses what it did. */

enum
{
  SECOND_US = 1000000,
};

static WlSoakStop stop;
static int has_stop;

const WlSoakStop *
wl_soak_nodes_find_stop (uint32_t node, uint64_t connected_us, uint64_t end_us)
{
  (void)node;
  (void)connected_us;
  (void)end_us;
  return has_stop ? &stop : NULL;
}

/* A request whose answer its endpoint had sent at 10 s, and whose caller left at its deadline. */
static WlSoakRequest *
add_stalled (void)
{
  uint64_t random = 1;
  WlSoakRequest *r = wl_soak_request_add (WL_SOAK_SHORT, 0, &random);
  r->is_slow_reader = 0;
  r->started_us = 9 * SECOND_US;
  r->sent_us = 9 * SECOND_US;
  r->whole_us = 10 * SECOND_US;
  r->ended_us = r->started_us + (uint64_t)r->deadline_ms * 1000;
  r->n_arrivals = 1;
  r->n_runs = 1;
  r->status = 200;
  r->end = WL_SOAK_LEFT;
  return r;
}

static uint32_t
judge (void)
{
  WlSoak soak = { .options = { .n_callers = 1 } };
  wl_soak_judge (&soak);
  wl_soak_request_clear ();
  return wl_soak_n_broken ();
}

static void
stop_at (uint64_t at_us, int is_kill)
{
  has_stop = 1;
  stop = (WlSoakStop){ .term_us = at_us,
                       .exited_us = 40 * SECOND_US,
                       .killed_us = is_kill ? at_us : 0,
                       .is_kill = (uint8_t)is_kill };
}

START_TEST (a_stalled_answer_is_broken)
{
  add_stalled ();
  ck_assert_uint_eq (judge (), 1);
}
END_TEST

/* A process killed while it waits for its disk keeps connections open and answers no more. */
START_TEST (an_answer_that_came_after_the_kill_is_lost_with_the_process)
{
  stop_at (9900000, 1);
  add_stalled ();
  ck_assert_uint_eq (judge (), 0);
}
END_TEST

START_TEST (an_answer_closed_at_the_deadline_after_the_kill_is_lost_with_the_process)
{
  stop_at (9900000, 1);
  add_stalled ()->end = WL_SOAK_CLOSED;
  ck_assert_uint_eq (judge (), 0);
}
END_TEST

START_TEST (an_answer_that_came_well_before_the_kill_is_broken)
{
  stop_at (10200000, 1);
  add_stalled ();
  ck_assert_uint_eq (judge (), 1);
}
END_TEST

START_TEST (sigterm_excuses_no_stalled_answer)
{
  stop_at (9900000, 0);
  add_stalled ();
  ck_assert_uint_eq (judge (), 1);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_stalled_answer_is_broken),
    WL_TEST (an_answer_that_came_after_the_kill_is_lost_with_the_process),
    WL_TEST (an_answer_closed_at_the_deadline_after_the_kill_is_lost_with_the_process),
    WL_TEST (an_answer_that_came_well_before_the_kill_is_broken),
    WL_TEST (sigterm_excuses_no_stalled_answer),
  };
  return wl_test_run ("soak_judge", tests, sizeof tests / sizeof tests[0]);
}
