#include <apr_general.h>
#include "wl_permits.h"
#include "wl_test.h"

/* Asks of a node for permits: lifetime, returns, bounds. */

enum
{
  SECOND_US = 1000000,
};

static const uint64_t start_us = 100 * (uint64_t)SECOND_US;

static WlPermitAsk
node_ask (uint64_t customer, uint64_t max_wait_us)
{
  return (WlPermitAsk){ .service = 3, .customer = customer, .max_wait_us = max_wait_us };
}

/* Guards against a request that is sent with a permit that is older than its lifetime. */
START_TEST (a_permit_lasts_a_second_from_its_issue_and_is_returned)
{
  WlPermits *p = wl_permits_create (1);
  WlPermitAsk a = node_ask (1, 2 * SECOND_US), sent;
  WlPermit out;
  WlPermitReturn returned;
  uint64_t t = start_us;
  uint64_t id = wl_permits_ask (p, &a, t, &out);
  ck_assert_uint_ne (id, 0);
  ck_assert (wl_permits_take_ask (p, &sent));
  ck_assert (!wl_permits_take_ask (p, &sent));
  ck_assert_uint_eq (sent.id, id);
  ck_assert_int_eq (wl_permits_state (p, id, t).state, WL_PERMIT_PENDING);
  WlPermitAnswer granted = { .id = id, .endpoint = 42, .waited_us = 500000 };
  wl_permits_answer (p, &granted, t + 600000);
  out = wl_permits_state (p, id, t + 1499999);
  ck_assert_int_eq (out.state, WL_PERMIT_GRANTED);
  ck_assert_uint_eq (out.endpoint, 42);
  ck_assert (!wl_permits_take_return (p, &returned));
  ck_assert_int_eq (wl_permits_state (p, id, t + 1500000).state, WL_PERMIT_DENIED);
  ck_assert (wl_permits_take_return (p, &returned));
  ck_assert_uint_eq (returned.endpoint, 42);
  ck_assert_uint_eq (returned.id, id);
  ck_assert (!wl_permits_take_return (p, &returned));
  wl_permits_destroy (p);
}
END_TEST

/* Guards against answers that waited while the node was frozen. */
START_TEST (an_answer_that_comes_too_late_is_returned)
{
  WlPermits *p = wl_permits_create (1);
  WlPermitAsk a = node_ask (1, 0), sent;
  WlPermit out;
  WlPermitReturn returned;
  uint64_t t = start_us;
  uint64_t id = wl_permits_ask (p, &a, t, &out);
  WlPermitAnswer granted = { .id = id, .endpoint = 42, .waited_us = UINT64_MAX };
  wl_permits_take_ask (p, &sent);
  ck_assert_int_eq (wl_permits_state (p, id, t + 299999).state, WL_PERMIT_PENDING);
  ck_assert_int_eq (wl_permits_state (p, id, t + 300000).state, WL_PERMIT_DENIED);
  wl_permits_answer (p, &granted, t + 310000);
  ck_assert_int_eq (wl_permits_state (p, id, t + 310000).state, WL_PERMIT_DENIED);
  ck_assert (wl_permits_take_return (p, &returned));
  wl_permits_answer (p, &granted, t + 320000);
  ck_assert (!wl_permits_take_return (p, &returned));
  t += 5 * (uint64_t)SECOND_US;
  id = wl_permits_ask (p, &a, t, &out);
  wl_permits_take_ask (p, &sent);
  granted.id = id;
  wl_permits_answer (p, &granted, t + WL_PERMIT_LIFETIME_US);
  ck_assert_int_eq (wl_permits_state (p, id, t + WL_PERMIT_LIFETIME_US).state, WL_PERMIT_DENIED);
  ck_assert (wl_permits_take_return (p, &returned));
  wl_permits_destroy (p);
}
END_TEST

/* Guards against permits that nobody uses because their callers have left. */
START_TEST (a_dropped_ask_returns_its_permit_whenever_it_comes)
{
  WlPermits *p = wl_permits_create (1);
  WlPermitAsk a = node_ask (1, 2 * SECOND_US), sent;
  WlPermit out;
  WlPermitReturn returned;
  uint64_t t = start_us;
  uint64_t first = wl_permits_ask (p, &a, t, &out), second = wl_permits_ask (p, &a, t, &out);
  uint64_t third = wl_permits_ask (p, &a, t, &out), fourth = wl_permits_ask (p, &a, t, &out);
  wl_permits_drop (p, fourth, t);
  uint32_t n = 0;
  while (wl_permits_take_ask (p, &sent))
    n++;
  ck_assert_uint_eq (n, 3);
  WlPermitAnswer granted = { .id = first, .endpoint = 42 };
  wl_permits_answer (p, &granted, t + 1);
  wl_permits_drop (p, first, t + 2);
  ck_assert (wl_permits_take_return (p, &returned));
  ck_assert_uint_eq (returned.id, first);
  wl_permits_drop (p, second, t + 3);
  granted.id = second;
  wl_permits_answer (p, &granted, t + 4);
  ck_assert (wl_permits_take_return (p, &returned));
  ck_assert_uint_eq (returned.id, second);
  granted.id = third;
  wl_permits_answer (p, &granted, t + 5);
  wl_permits_use (p, third);
  wl_permits_drop (p, third, t + 6);
  ck_assert (!wl_permits_take_return (p, &returned));
  wl_permits_destroy (p);
}
END_TEST

/* Guards against a message for each request of a flood. */
START_TEST (a_denial_holds_for_others_of_its_service_and_customer)
{
  WlPermits *p = wl_permits_create (1);
  WlPermitAsk a = node_ask (1, 100000), longer = node_ask (1, 5 * SECOND_US),
              other = node_ask (2, 0);
  WlPermitAsk sent;
  WlPermit out;
  uint64_t t = start_us;
  uint64_t id = wl_permits_ask (p, &a, t, &out);
  WlPermitAnswer denied = { .id = id, .retry_after_us = 4 * SECOND_US };
  wl_permits_take_ask (p, &sent);
  wl_permits_answer (p, &denied, t + 1000);
  ck_assert_uint_eq (wl_permits_state (p, id, t + 1000).retry_after_us, 4 * SECOND_US);
  ck_assert_uint_eq (wl_permits_ask (p, &a, t + 2000, &out), 0);
  ck_assert_int_eq (out.state, WL_PERMIT_DENIED);
  ck_assert_uint_eq (out.retry_after_us, 4 * SECOND_US - 1000);
  ck_assert_uint_ne (wl_permits_ask (p, &longer, t + 2000, &out), 0);
  ck_assert_uint_ne (wl_permits_ask (p, &other, t + 2000, &out), 0);
  ck_assert_uint_ne (wl_permits_ask (p, &a, t + 501000, &out), 0);
  wl_permits_destroy (p);
}
END_TEST

/* Guards against asks without bound, in progress, a second, or at an issuer that is gone. */
START_TEST (asks_of_a_node_are_bounded)
{
  WlPermits *p = wl_permits_create (1);
  WlPermit out;
  WlPermitAsk sent;
  uint32_t n = 0, n_in_progress = 0;
  uint64_t t = start_us;
  for (uint32_t i = 0; i < 1000; i++)
    {
      WlPermitAsk a = node_ask (i, 60 * SECOND_US);
      n += wl_permits_ask (p, &a, t, &out) != 0;
    }
  ck_assert_uint_eq (n, WL_PERMIT_ASK_RATE);
  ck_assert_int_eq (out.state, WL_PERMIT_DENIED);
  ck_assert_uint_gt (out.retry_after_us, 0);
  for (uint32_t i = 1000; i < 5000; i++)
    {
      WlPermitAsk a = node_ask (i, 60 * SECOND_US);
      n += wl_permits_ask (p, &a, t += 5000, &out) != 0;
    }
  ck_assert_uint_eq (n, WL_PERMIT_ASKS_MAX);
  while (wl_permits_take_ask (p, &sent))
    n_in_progress += wl_permits_state (p, sent.id, t).state == WL_PERMIT_PENDING;
  ck_assert_uint_eq (n_in_progress, WL_PERMIT_ASKS_MAX);
  WlPermitAsk a = node_ask (1, 0);
  t += 70 * (uint64_t)SECOND_US;
  ck_assert_uint_ne (wl_permits_ask (p, &a, t, &out), 0);
  wl_permits_destroy (p);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (a_permit_lasts_a_second_from_its_issue_and_is_returned),
    WL_TEST (an_answer_that_comes_too_late_is_returned),
    WL_TEST (a_dropped_ask_returns_its_permit_whenever_it_comes),
    WL_TEST (a_denial_holds_for_others_of_its_service_and_customer),
    WL_TEST (asks_of_a_node_are_bounded),
  };
  return wl_test_run ("permits", tests, sizeof tests / sizeof tests[0]);
}
