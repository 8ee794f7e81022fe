#include <apr_general.h>
#include "wl_test_parts.h"

/* Trials of quarantined parts. */

/* A quarantined part whose trial is due, and one engine. */
static Fixture
create_for_trial (const char *answer, ScriptThen then, uint64_t age_us)
{
  Fixture f = create ();
  f.relay->may_try = 1;
  script_server_add (&f.relay->endpoints[0], answer, then);
  relay_fixture_register_engine (f.relay, 0);
  quarantine_for (&f, 0x5c, 0, age_us);
  return f;
}

/* Guards against a part that stays quarantined for ever, and against many trials at once. */
START_TEST (one_request_is_sent_as_a_trial_and_releases_the_part)
{
  RawClient other;
  Fixture f = create_for_trial (STREAM_HEAD FIRST_EVENT, SCRIPT_KEEP, WL_QUARANTINE_TRIAL_MIN_US);
  raw_client_connect (&other, wl_web_port (f.relay->web));
  script_server_add (&f.relay->endpoints[0], RELAY_WHOLE, SCRIPT_KEEP);
  send_prompt (&f, "1,5c");
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  raw_client_send (&other,
                   "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 2\r\nX-Key: k1\r\nX-Prompt: 9\r\n"
                   "X-Parts: 5c\r\nContent-Length: 0\r\n\r\n");
  advance (&f, 0);
  raw_client_receive (&other);
  ck_assert_ptr_nonnull (strstr (other.answer, " 503 "));
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  raw_client_close (&other);
  ck_assert_uint_eq (wl_quarantine_n_entries (wl_relay_quarantine (f.relay->relay)), 1);
  script_server_send (&f.relay->endpoints[0], "f\r\nid: 2\ndata: 2\n\n\r\n");
  advance (&f, WL_QUARANTINE_SOUND_AFTER_US - 1);
  ck_assert_uint_eq (wl_quarantine_n_entries (wl_relay_quarantine (f.relay->relay)), 1);
  script_server_send (&f.relay->endpoints[0], "f\r\nid: 3\ndata: 3\n\n\r\n");
  advance (&f, 1);
  ck_assert_uint_eq (wl_quarantine_n_entries (wl_relay_quarantine (f.relay->relay)), 0);
  const char *log = read_log (&f);
  ck_assert_ptr_nonnull (strstr (log, "WL4016 part=5c request=1 endpoint=engine-0 "));
  ck_assert_ptr_nonnull (strstr (log, "WL4015 part=5c service=llm trials=1 request=1 "));
  destroy (&f);
}
END_TEST

START_TEST (a_complete_response_to_a_trial_releases_the_part)
{
  Fixture f = create_for_trial (RELAY_WHOLE, SCRIPT_KEEP, WL_QUARANTINE_TRIAL_MIN_US);
  send_prompt (&f, "1,5c");
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "200 OK"));
  ck_assert_uint_eq (wl_quarantine_n_entries (wl_relay_quarantine (f.relay->relay)), 0);
  destroy (&f);
}
END_TEST

/* Guards against an engine that ends between two events and looks as if it had finished. */
START_TEST (a_response_without_a_marked_end_does_not_release_the_part)
{
  Fixture f = create_for_trial ("HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\n"
                                "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: 1\n\n",
                                SCRIPT_CLOSE, WL_QUARANTINE_TRIAL_MIN_US);
  send_prompt (&f, "1,5c");
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "id: 1\ndata: 1\n\n"));
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 0);
  ck_assert_uint_eq (wl_quarantine_n_entries (wl_relay_quarantine (f.relay->relay)), 1);
  destroy (&f);
}
END_TEST

/* Guards against a trial that ends two engines. */
START_TEST (a_trial_is_not_sent_to_a_second_engine)
{
  Fixture f = create_for_trial (NULL, SCRIPT_KEEP, WL_QUARANTINE_TRIAL_MIN_US);
  send_prompt (&f, "1,5c");
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  relay_fixture_register_engine (f.relay, 1);
  advance (&f, READ_US);
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 0);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  check_failed (&f);
  ck_assert_uint_eq (wl_quarantine_n_entries (wl_relay_quarantine (f.relay->relay)), 1);
  destroy (&f);
}
END_TEST

/* Guards against a trial that takes other requests along when it ends its engine. */
START_TEST (a_trial_runs_at_an_engine_without_other_work)
{
  Fixture f = create_for_trial (NULL, SCRIPT_KEEP, WL_QUARANTINE_TRIAL_MIN_US);
  relay_fixture_occupy (f.relay, "engine-0");
  send_prompt (&f, "1,5c");
  check_refused (&f);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  destroy (&f);
}
END_TEST

/* Guards against a fleet that is never without work, in which no part is ever tried again. */
START_TEST (an_overdue_trial_runs_beside_other_work)
{
  Fixture f = create_for_trial (NULL, SCRIPT_KEEP, WL_QUARANTINE_TRIAL_MIN_US);
  relay_fixture_occupy (f.relay, "engine-0");
  advance (&f, WL_QUARANTINE_TRIAL_MIN_US);
  relay_fixture_register_engine (f.relay, 0);
  relay_fixture_occupy (f.relay, "engine-0");
  send_prompt (&f, "1,5c");
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  destroy (&f);
}
END_TEST

/* Guards against trials by every node. */
START_TEST (a_node_that_runs_no_trials_refuses_while_one_is_due)
{
  Fixture f = create_for_trial (NULL, SCRIPT_KEEP, WL_QUARANTINE_TRIAL_MIN_US);
  f.relay->may_try = 0;
  send_prompt (&f, "1,5c");
  check_refused (&f);
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (one_request_is_sent_as_a_trial_and_releases_the_part),
    WL_TEST (a_complete_response_to_a_trial_releases_the_part),
    WL_TEST (a_response_without_a_marked_end_does_not_release_the_part),
    WL_TEST (a_trial_is_not_sent_to_a_second_engine),
    WL_TEST (a_trial_runs_at_an_engine_without_other_work),
    WL_TEST (an_overdue_trial_runs_beside_other_work),
    WL_TEST (a_node_that_runs_no_trials_refuses_while_one_is_due),
  };
  apr_initialize ();
  return wl_test_run ("relay_trial", tests, sizeof tests / sizeof tests[0]);
}
