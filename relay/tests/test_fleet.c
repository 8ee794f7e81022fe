#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_fleet.h"
#include "wl_message.h"
#include "wl_random.h"
#include "wl_test.h"

/*
 * Registrations that arrive late, duplicated, reordered or for a reused address
 * must not send requests to an endpoint that drains or has left.
 */

static WlEndpointRecord
record (const char *id, uint32_t port, uint64_t started_ms, uint64_t sequence)
{
  WlEndpointRecord r = { .address = 1, .port = port, .slots = 4 };
  snprintf (r.id, sizeof r.id, "%s", id);
  strcpy (r.service, "s");
  r.started_ms = started_ms;
  r.sequence = sequence;
  return r;
}

static const uint64_t now_us = 100000000;

START_TEST (an_older_registration_is_ignored)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord draining = record ("a", 1, 1, 5);
  WlEndpointRecord late = record ("a", 1, 1, 4);
  draining.is_draining = 1;
  ck_assert_int_eq (wl_fleet_apply (f, &draining, now_us), 1);
  ck_assert_int_eq (wl_fleet_apply (f, &late, now_us), -1);
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us));
  wl_fleet_destroy (f);
}
END_TEST

START_TEST (a_draining_endpoint_stays_unusable_until_it_restarts)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord r = record ("a", 1, 1, 5);
  wl_fleet_apply (f, &r, now_us);
  r.is_draining = 1;
  r.sequence = 6;
  wl_fleet_apply (f, &r, now_us);
  r.is_draining = 0;
  r.sequence = 7;
  wl_fleet_apply (f, &r, now_us);
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us));
  WlEndpointRecord again = record ("a", 1, 2, 1);
  ck_assert_int_eq (wl_fleet_apply (f, &again, now_us), 1);
  ck_assert (wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us));
  wl_fleet_destroy (f);
}
END_TEST

START_TEST (of_two_endpoints_at_one_address_the_later_start_is_usable)
{
  for (int late_arrives_last = 0; late_arrives_last < 2; late_arrives_last++)
    {
      WlFleet *f = wl_fleet_create ();
      WlEndpointRecord replaced = record ("a", 1, 1, 9);
      WlEndpointRecord current = record ("b", 1, 2, 1);
      wl_fleet_apply (f, late_arrives_last ? &current : &replaced, now_us);
      wl_fleet_apply (f, late_arrives_last ? &replaced : &current, now_us);
      ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us));
      ck_assert (wl_fleet_is_usable (wl_fleet_find (f, "b"), now_us));
      wl_fleet_destroy (f);
    }
}
END_TEST

START_TEST (missing_registrations_and_failures_make_an_endpoint_unusable)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord r = record ("a", 1, 1, 1);
  wl_fleet_apply (f, &r, now_us);
  WlEndpoint *e = wl_fleet_find (f, "a");
  ck_assert (!wl_fleet_is_usable (e, now_us + WL_FLEET_TIMEOUT_US));
  ck_assert (!wl_fleet_note_failure (e, WL_FAILURE_LOST, now_us));
  ck_assert (wl_fleet_note_failure (e, WL_FAILURE_LOST, now_us));
  ck_assert (!wl_fleet_is_usable (e, now_us));
  ck_assert (wl_fleet_is_usable (e, now_us + WL_FLEET_EJECT_MIN_US));
  uint64_t later_us = now_us + WL_FLEET_EJECT_MIN_US;
  ck_assert (wl_fleet_note_failure (e, WL_FAILURE_REFUSED, later_us));
  ck_assert (!wl_fleet_is_usable (e, later_us + WL_FLEET_EJECT_MIN_US));
  wl_fleet_note_success (e, later_us);
  ck_assert_uint_eq (e->failures, 0);
  wl_fleet_destroy (f);
}
END_TEST

START_TEST (a_few_error_responses_eject_no_endpoint)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord r = record ("a", 1, 1, 1);
  wl_fleet_apply (f, &r, now_us);
  WlEndpoint *e = wl_fleet_find (f, "a");
  for (int i = 1; i < WL_FLEET_EJECT_ERRORS; i++)
    ck_assert (!wl_fleet_note_failure (e, WL_FAILURE_ERROR, now_us));
  ck_assert (wl_fleet_is_usable (e, now_us));
  ck_assert (e->failure_rate > 0.5);
  ck_assert (wl_fleet_note_failure (e, WL_FAILURE_ERROR, now_us));
  wl_fleet_destroy (f);
}
END_TEST

START_TEST (the_ejection_of_another_node_counts_without_a_recent_success)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord r = record ("a", 1, 1, 1);
  wl_fleet_apply (f, &r, now_us);
  WlEndpoint *e = wl_fleet_find (f, "a");
  wl_fleet_note_success (e, now_us);
  ck_assert (!wl_fleet_note_remote_ejection (e, WL_FLEET_EJECT_MIN_US, now_us + 1000));
  ck_assert (wl_fleet_note_remote_ejection (e, WL_FLEET_EJECT_MIN_US,
                                            now_us + WL_FLEET_RECENT_SUCCESS_US));
  ck_assert (!wl_fleet_is_usable (e, now_us + WL_FLEET_RECENT_SUCCESS_US));
  wl_fleet_destroy (f);
}
END_TEST

START_TEST (an_isolated_node_keeps_its_endpoints)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord r = record ("a", 1, 1, 1);
  wl_fleet_apply (f, &r, now_us);
  for (uint64_t t = 0; t < 20000000; t += 100000)
    wl_fleet_defer_timeouts (f, now_us + t);
  ck_assert (wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us + 20000000));
  wl_fleet_destroy (f);
}
END_TEST

START_TEST (a_measured_slowdown_is_bounded_and_decays)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord r = record ("a", 1, 1, 1);
  wl_fleet_apply (f, &r, now_us);
  WlEndpoint *e = wl_fleet_find (f, "a");
  ck_assert (wl_fleet_slowdown (e, now_us) == 1.0);
  for (int i = 0; i < 10; i++)
    wl_fleet_note_slowdown (e, 4.0, now_us);
  ck_assert (wl_fleet_slowdown (e, now_us) > 3.0);
  ck_assert (wl_fleet_slowdown (e, now_us + WL_FLEET_SLOWDOWN_DECAY_US) < 2.6);
  wl_fleet_note_slowdown (e, 1000.0, now_us);
  ck_assert (wl_fleet_slowdown (e, now_us) < 5.0);
  wl_fleet_destroy (f);
}
END_TEST

START_TEST (a_registration_that_arrives_too_old_makes_no_endpoint_usable)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord r = record ("a", 1, 1, 1);
  r.age_us = WL_FLEET_TIMEOUT_US;
  wl_fleet_apply (f, &r, now_us);
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us));
  wl_fleet_destroy (f);
}
END_TEST

/* Guards against values of another writer that pass through gossip or a saved file. */
START_TEST (an_odd_registration_changes_nothing)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord real = record ("a", 80, 1000, 5);
  wl_fleet_apply (f, &real, now_us);
  for (int i = 0; i < 11; i++)
    {
      WlEndpointRecord odd = record ("a", 80, 1000, 6);
      switch (i)
        {
        case 0:
          odd.port = 0;
          break;
        case 1:
          odd.port = 65536 + 80;
          break;
        case 2:
          odd.slots = 0;
          break;
        case 3:
          odd.slots = UINT32_MAX;
          break;
        case 4:
          odd.started_ms = UINT64_MAX;
          break;
        case 5:
          odd.started_ms = INT64_MAX;
          break;
        case 6:
          odd.sequence = UINT64_MAX;
          break;
        case 7:
          odd.address = 0;
          break;
        case 8:
          strcpy (odd.service, "s\nWL4002 x");
          break;
        case 9:
          strcpy (odd.domain, "z\r");
          break;
        default:
          strcpy (odd.id, "a b");
          break;
        }
      ck_assert_int_eq (wl_fleet_is_valid (&odd), 0);
      ck_assert_int_eq (wl_fleet_apply (f, &odd, now_us), -1);
    }
  ck_assert_uint_eq (f->n_endpoints, 1);
  ck_assert_mem_eq (&f->endpoints[0].record, &real, sizeof real);
  real.sequence = 7;
  ck_assert_int_eq (wl_fleet_apply (f, &real, now_us + 1000000), 0);
  ck_assert (wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us + 6500000));
  wl_fleet_destroy (f);
}
END_TEST

/* Guards against another writer's sequence that shuts the endpoint out until its record expires. */
START_TEST (an_endpoint_that_is_heard_again_with_a_lower_sequence_is_usable)
{
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord odd = record ("a", 80, 1000, WL_FLEET_SEQUENCE_MAX - 1);
  uint64_t t_us = now_us;
  wl_fleet_apply (f, &odd, t_us);
  for (uint64_t sequence = 1; sequence < 20; sequence++)
    {
      WlEndpointRecord real = record ("a", 80, 1000, sequence);
      t_us += 1000000;
      wl_fleet_apply (f, &real, t_us);
      ck_assert (wl_fleet_is_usable (wl_fleet_find (f, "a"), t_us));
    }
  wl_fleet_destroy (f);
}
END_TEST

enum
{
  MUTATIONS = 4000,
};

/* Guards against a record that another node or a damaged file passes on in a form no call accepts.
 */
START_TEST (damaged_records_leave_only_valid_endpoints)
{
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      WlFleet *f = wl_fleet_create ();
      WlEndpointRecord records[2] = { record ("a", 80, 1000, 5), record ("b", 81, 2000, 6) };
      WlMessage m = { .kind = WL_MESSAGE_ENDPOINTS };
      uint64_t random = seed;
      apr_pool_t *pool;
      apr_pool_create (&pool, NULL);
      m.u.endpoints.records = records;
      m.u.endpoints.n_records = 2;
      WlBytes bytes = wl_message_encode (&m, pool);
      for (int i = 0; i < MUTATIONS; i++)
        {
          apr_pool_t *turn;
          WlMessage out;
          apr_pool_create (&turn, pool);
          uint8_t *copy = apr_pmemdup (turn, bytes.data, bytes.size);
          for (uint64_t n = 1 + wl_random_next (&random) % 3; n > 0; n--)
            copy[wl_random_next (&random) % bytes.size] = (uint8_t)wl_random_next (&random);
          if (wl_message_decode ((WlBytes){ copy, bytes.size }, &out, turn) == WL_OK
              && out.kind == WL_MESSAGE_ENDPOINTS)
            for (uint32_t k = 0; k < out.u.endpoints.n_records; k++)
              wl_fleet_apply (f, &out.u.endpoints.records[k], now_us + (uint64_t)i);
          apr_pool_destroy (turn);
        }
      ck_assert_uint_gt (f->n_endpoints, 2);
      for (uint32_t i = 0; i < f->n_endpoints; i++)
        ck_assert_int_eq (wl_fleet_is_valid (&f->endpoints[i].record), 1);
      apr_pool_destroy (pool);
      wl_fleet_destroy (f);
    }
}
END_TEST

/* Guards against requests to endpoints that register, start again or move during an evacuation. */
START_TEST (endpoints_of_an_evacuated_domain_are_not_usable)
{
  static const char names[2][WL_LABEL_SIZE] = { "y", "zone z" };
  WlFleet *f = wl_fleet_create ();
  WlEndpointRecord before = record ("a", 1, 1, 1);
  WlEndpointRecord later = record ("b", 2, 1, 1);
  WlEndpointRecord elsewhere = record ("c", 3, 1, 1);
  strcpy (before.domain, "y");
  strcpy (later.domain, "zone z");
  strcpy (elsewhere.domain, "yy");
  wl_fleet_apply (f, &before, now_us);
  wl_fleet_set_evacuated (f, names, 2);
  wl_fleet_apply (f, &later, now_us);
  wl_fleet_apply (f, &elsewhere, now_us);
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us));
  ck_assert (wl_fleet_is_withheld (wl_fleet_find (f, "a"), now_us));
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "b"), now_us));
  ck_assert (wl_fleet_is_usable (wl_fleet_find (f, "c"), now_us));
  ck_assert (!wl_fleet_is_withheld (wl_fleet_find (f, "c"), now_us));
  before.started_ms = 2;
  wl_fleet_apply (f, &before, now_us);
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us));
  strcpy (elsewhere.domain, "y");
  elsewhere.sequence = 2;
  wl_fleet_apply (f, &elsewhere, now_us);
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "c"), now_us));
  wl_fleet_set_evacuated (f, &names[1], 1);
  ck_assert (wl_fleet_is_usable (wl_fleet_find (f, "a"), now_us));
  ck_assert (!wl_fleet_is_usable (wl_fleet_find (f, "b"), now_us));
  ck_assert (!wl_fleet_is_withheld (wl_fleet_find (f, "a"), now_us));
  wl_fleet_destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (an_older_registration_is_ignored),
    WL_TEST (a_draining_endpoint_stays_unusable_until_it_restarts),
    WL_TEST (of_two_endpoints_at_one_address_the_later_start_is_usable),
    WL_TEST (missing_registrations_and_failures_make_an_endpoint_unusable),
    WL_TEST (a_few_error_responses_eject_no_endpoint),
    WL_TEST (the_ejection_of_another_node_counts_without_a_recent_success),
    WL_TEST (an_isolated_node_keeps_its_endpoints),
    WL_TEST (a_measured_slowdown_is_bounded_and_decays),
    WL_TEST (a_registration_that_arrives_too_old_makes_no_endpoint_usable),
    WL_TEST (damaged_records_leave_only_valid_endpoints),
    WL_TEST (an_odd_registration_changes_nothing),
    WL_TEST (an_endpoint_that_is_heard_again_with_a_lower_sequence_is_usable),
    WL_TEST (endpoints_of_an_evacuated_domain_are_not_usable),
  };
  apr_initialize ();
  return wl_test_run ("fleet", tests, sizeof tests / sizeof tests[0]);
}
