#include <apr_general.h>
#include "wl_test_parts.h"

/* Which requests speak against their parts, and what happens to requests with quarantined ones. */

/* The only engine reads a prompt, perhaps writes @output, and ends. Returns the log. */
static const char *
log_of_an_end (Fixture *f, const char *parts, const char *output, uint64_t after_us)
{
  script_server_add (&f->relay->endpoints[0], output, SCRIPT_KEEP);
  relay_fixture_register_engine (f->relay, 0);
  send_prompt (f, parts);
  ck_assert_uint_eq (relay_fixture_n_runs (f->relay), 1);
  advance (f, after_us);
  script_server_reset (&f->relay->endpoints[0]);
  advance (f, 0);
  return read_log (f);
}

/* Guards against ends of engines in whose log lines no part of a prompt is named. */
START_TEST (the_parts_of_a_request_whose_engine_ended_before_its_output_are_logged)
{
  Fixture f = create ();
  const char *log = log_of_an_end (&f, "5c,ffffffffffffffff", NULL, READ_US);
  ck_assert_ptr_nonnull (strstr (log, "WL4013 endpoint=engine-0 request=1 service=llm begun=0 "
                                      "parts=5c,ffffffffffffffff\n"));
  destroy (&f);
}
END_TEST

START_TEST (the_parts_of_a_request_whose_engine_ended_at_its_first_output_are_logged)
{
  Fixture f = create ();
  const char *log = log_of_an_end (&f, "5c", STREAM_HEAD FIRST_EVENT, 499000);
  ck_assert_ptr_nonnull (strstr (log, "WL4013 endpoint=engine-0 request=1 service=llm begun=1 "
                                      "parts=5c\n"));
  destroy (&f);
}
END_TEST

/* Guards against parts that are suspected although their request cannot have ended the engine. */
static void
check_no_suspect (const char *parts, const char *output, uint64_t after_us)
{
  Fixture f = create ();
  const char *log = log_of_an_end (&f, parts, output, after_us);
  ck_assert_ptr_nonnull (strstr (log, "WL4006 "));
  ck_assert_ptr_null (strstr (log, "WL4013 "));
  destroy (&f);
}

START_TEST (a_request_without_parts_is_not_suspected)
{
  check_no_suspect ("", NULL, READ_US);
}
END_TEST

START_TEST (a_request_that_cannot_have_been_read_is_not_suspected)
{
  check_no_suspect ("5c", NULL, 10000);
}
END_TEST

START_TEST (a_request_that_had_been_writing_is_not_suspected)
{
  check_no_suspect ("5c", STREAM_HEAD FIRST_EVENT, WL_QUARANTINE_SOUND_AFTER_US);
}
END_TEST

START_TEST (a_request_that_got_an_error_is_not_suspected)
{
  check_no_suspect ("5c", "HTTP/1.1 500 No\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nab",
                    READ_US);
}
END_TEST

/* Guards against parts that are suspected because an engine, which goes on, sent no HTTP. */
START_TEST (a_request_that_got_no_http_response_is_not_suspected)
{
  Fixture f = create ();
  script_server_add (&f.relay->endpoints[0], NULL, SCRIPT_KEEP);
  relay_fixture_register_engine (f.relay, 0);
  send_prompt (&f, "5c");
  advance (&f, READ_US);
  script_server_send (&f.relay->endpoints[0], "no response\r\n");
  advance (&f, 0);
  const char *log = read_log (&f);
  ck_assert_ptr_nonnull (strstr (log, "WL4002 "));
  ck_assert_ptr_nonnull (strstr (log, "reason=invalid"));
  ck_assert_ptr_null (strstr (log, "WL4013 "));
  destroy (&f);
}
END_TEST

/* Guards against a rolling release whose requests are suspected. */
START_TEST (an_endpoint_that_drains_speaks_against_no_part)
{
  Fixture f = create ();
  script_server_add (&f.relay->endpoints[0], NULL, SCRIPT_KEEP);
  relay_fixture_register_engine (f.relay, 0);
  send_prompt (&f, "5c");
  advance (&f, READ_US);
  wl_fleet_find (f.relay->fleet, "engine-0")->record.is_draining = 1;
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 0);
  ck_assert_ptr_null (strstr (read_log (&f), "WL4013 "));
  destroy (&f);
}
END_TEST

/* ---- responses that end with their connection ---- */

#define UNMARKED                                                                                   \
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n"             \
  "id: 1\ndata: 1\n\n"
#define UNMARKED_SUSPECTED "WL4013 endpoint=engine-0 request=1 service=llm begun=1 parts=5c\n"

/* An engine writes one event of a response without length, and closes its connection. */
static Fixture
create_with_short_response (void)
{
  Fixture f = create ();
  script_server_add (&f.relay->endpoints[0], UNMARKED, SCRIPT_CLOSE);
  relay_fixture_register_engine (f.relay, 0);
  send_prompt (&f, "5c");
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "id: 1\ndata: 1\n\n"));
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 0);
  return f;
}

/* Guards against engines whose ends are not seen, since their response looks complete. */
START_TEST (a_short_response_is_suspected_when_another_connection_breaks)
{
  Fixture f = create_with_short_response ();
  script_server_add (&f.relay->endpoints[0], NULL, SCRIPT_KEEP);
  send_prompt (&f, "");
  advance (&f, READ_US);
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (read_log (&f), UNMARKED_SUSPECTED));
  destroy (&f);
}
END_TEST

/* Another node saw an engine end. */
static void
report_end (Fixture *f, const char *engine)
{
  WlPartSuspect suspect = { 0x77, wl_fleet_key ("llm"), 0 };
  WlPartEnd end = { .endpoint = wl_fleet_key (engine), .suspects = &suspect, .n_suspects = 1 };
  WlPartReport report = { .ends = &end, .n_ends = 1 };
  wl_relay_apply_part_report (f->relay->relay, 2, &report, wl_clock_now_us ());
}

static void
check_suspected_after_break (int n_ends_elsewhere)
{
  Fixture f = create ();
  script_server_add (&f.relay->endpoints[0], NULL, SCRIPT_KEEP);
  script_server_add (&f.relay->endpoints[0], UNMARKED, SCRIPT_CLOSE);
  relay_fixture_register_engine (f.relay, 0);
  send_prompt (&f, "");
  advance (&f, READ_US);
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 10000);
  for (int i = 0; i < n_ends_elsewhere; i++)
    report_end (&f, "engine-9");
  send_prompt (&f, "5c");
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (read_log (&f), UNMARKED_SUSPECTED));
  destroy (&f);
}

START_TEST (a_short_response_is_suspected_after_another_connection_broke)
{
  check_suspected_after_break (0);
}
END_TEST

/* Guards against an end that is forgotten since another engine refuses connection after connection.
 */
START_TEST (a_short_response_is_suspected_after_many_ends_of_another_engine)
{
  check_suspected_after_break (200);
}
END_TEST

START_TEST (a_short_response_is_suspected_when_its_engine_refuses_to_connect)
{
  Fixture f = create_with_short_response ();
  wl_fleet_find (f.relay->fleet, "engine-0")->record.port = 1;
  send_prompt (&f, "");
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (read_log (&f), UNMARKED_SUSPECTED));
  destroy (&f);
}
END_TEST

START_TEST (a_short_response_is_suspected_when_another_node_saw_the_end)
{
  Fixture f = create_with_short_response ();
  report_end (&f, "engine-0");
  ck_assert_ptr_nonnull (strstr (read_log (&f), UNMARKED_SUSPECTED));
  destroy (&f);
}
END_TEST

/* Guards against short answers that are suspected although their engine lives on. */
START_TEST (a_short_response_is_not_suspected_by_itself_or_later)
{
  Fixture f = create_with_short_response ();
  script_server_add (&f.relay->endpoints[0], NULL, SCRIPT_KEEP);
  advance (&f, 900000);
  send_prompt (&f, "");
  advance (&f, READ_US);
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 0);
  ck_assert_ptr_null (strstr (read_log (&f), "WL4013 "));
  destroy (&f);
}
END_TEST

/* ---- quarantined parts ---- */

/* Guards against requests with a quarantined part that reach engines, or are held by the node. */
START_TEST (a_new_request_with_a_quarantined_part_is_refused_at_once)
{
  char retry_after[32];
  Fixture f = create ();
  relay_fixture_register_engine (f.relay, 0);
  quarantine_for (&f, 0x5c, 0, 10000000);
  send_prompt (&f, "1,5c");
  check_refused (&f);
  snprintf (retry_after, sizeof retry_after, "Retry-After: %d.",
            WL_QUARANTINE_TRIAL_MIN_US / 1000000 - 10); /* and up to 0.2 s more */
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, retry_after));
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 0);
  const char *log = read_log (&f);
  ck_assert_ptr_nonnull (strstr (log, "WL4014 part=5c service=llm customer=all ends=3 "));
  ck_assert_ptr_nonnull (strstr (log, " reason=quarantined "));
  ck_assert_ptr_nonnull (strstr (log, " part=5c since_ms=10000 ends=3\n"));
  destroy (&f);
}
END_TEST

/* Guards against sound requests that are refused for what they share with others. */
START_TEST (requests_with_other_parts_or_of_other_customers_are_served)
{
  Fixture f = create ();
  quarantine (&f, 0x5c);
  quarantine_for (&f, 0x5d, wl_fleet_key ("another customer"), 0);
  script_server_add (&f.relay->endpoints[0], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register_engine (f.relay, 0);
  send_prompt (&f, "1,5d,7");
  relay_fixture_settle (f.relay);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "200 OK"));
  ck_assert_uint_eq (wl_quarantine_n_entries (wl_relay_quarantine (f.relay->relay)), 1);
  destroy (&f);
}
END_TEST

/* Guards against a customer whose own harmful part is not refused. */
START_TEST (a_part_quarantined_for_a_customer_is_refused_to_that_customer)
{
  Fixture f = create ();
  relay_fixture_register_engine (f.relay, 0);
  quarantine_for (&f, 0x5c, wl_fleet_key ("acme"), 0);
  send_prompt (&f, "5c");
  check_refused (&f);
  ck_assert_ptr_nonnull (strstr (read_log (&f), "WL4014 part=5c service=llm customer=acme "));
  destroy (&f);
}
END_TEST

/* Guards against requests that wait for room and are sent, or refused only when there is some. */
START_TEST (a_request_that_waits_is_refused_when_its_part_is_quarantined)
{
  Fixture f = create ();
  WlWorkItem item = { .id = 1,
                      .endpoint = wl_fleet_key ("engine-0"),
                      .phase = WL_WORK_DECODING,
                      .kv_tokens = RELAY_FIXTURE_MEMORY };
  relay_fixture_register_engine (f.relay, 0);
  wl_load_apply (f.relay->load, 2, 1, &item, wl_clock_now_us ());
  send_prompt (&f, "5c");
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 1);
  quarantine (&f, 0x5c);
  check_refused (&f);
  destroy (&f);
}
END_TEST

/* Guards against engines that end under requests sent before the part was quarantined. */
START_TEST (a_request_without_output_is_taken_from_its_engine_and_may_have_run)
{
  Fixture f = create ();
  script_server_add (&f.relay->endpoints[0], NULL, SCRIPT_KEEP);
  relay_fixture_register_engine (f.relay, 0);
  send_prompt (&f, "5c");
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  quarantine (&f, 0x5c);
  relay_fixture_settle (f.relay);
  check_failed (&f);
  ck_assert_uint_eq (f.relay->endpoints[0].n_closed, 1);
  ck_assert_uint_eq (f.relay->n_ended, f.relay->n_started);
  destroy (&f);
}
END_TEST

/* A request has its first event. Returns once the caller has it. */
static void
begin_stream (Fixture *f)
{
  script_server_add (&f->relay->endpoints[0], STREAM_HEAD FIRST_EVENT, SCRIPT_KEEP);
  relay_fixture_register_engine (f->relay, 0);
  send_prompt (f, "5c");
  advance (f, READ_US);
  ck_assert_ptr_nonnull (strstr (f->relay->caller.answer, "id: 1\ndata: 1\n\n"));
}

/* Guards against streams that are broken off although the engine writes. */
START_TEST (a_request_that_is_writing_goes_on)
{
  Fixture f = create ();
  begin_stream (&f);
  quarantine (&f, 0x5c);
  advance (&f, 0);
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 1);
  ck_assert_int_eq (f.relay->caller.is_closed, 0);
  ck_assert_uint_eq (f.relay->endpoints[0].n_closed, 0);
  destroy (&f);
}
END_TEST

/* Guards against a silent stream that takes a quarantined part to a second engine. */
START_TEST (a_silent_stream_with_a_quarantined_part_is_not_moved_to_another_engine)
{
  Fixture f = create ();
  begin_stream (&f);
  quarantine (&f, 0x5c);
  advance (&f, 3000000);
  script_server_add (&f.relay->endpoints[1], NULL, SCRIPT_KEEP);
  relay_fixture_register_engine (f.relay, 1);
  advance (&f, 2000000);
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 1);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  destroy (&f);
}
END_TEST

/* Guards against a broken stream that takes a quarantined part to a second engine. */
START_TEST (a_stream_that_waits_to_be_resumed_is_broken_off)
{
  Fixture f = create ();
  begin_stream (&f);
  script_server_reset (&f.relay->endpoints[0]);
  advance (&f, 0);
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 1);
  quarantine (&f, 0x5c);
  relay_fixture_register_engine (f.relay, 1);
  advance (&f, 60000);
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 0);
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), 1);
  ck_assert_int_eq (f.relay->caller.is_closed, 1);
  ck_assert_ptr_null (strstr (f.relay->caller.answer, "\r\n0\r\n\r\n"));
  destroy (&f);
}
END_TEST

/* Two requests with these parts end all engines, one after the other. */
static void
end_three_engines (Fixture *f, const char *parts)
{
  uint32_t n_before = relay_fixture_n_runs (f->relay);
  for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
    relay_fixture_register_engine (f->relay, i);
  for (int i = 0; i < 2; i++)
    send_prompt (f, parts);
  for (uint32_t n = 1; n <= RELAY_FIXTURE_ENDPOINTS; n++)
    {
      ck_assert_uint_eq (relay_fixture_n_runs (f->relay), n_before + n);
      advance (f, READ_US);
      for (uint32_t i = 0; i < RELAY_FIXTURE_ENDPOINTS; i++)
        script_server_reset (&f->relay->endpoints[i]);
      advance (f, 0);
      relay_fixture_settle (f->relay);
    }
}

/* Guards against a part that goes on to end engines until none is left. */
START_TEST (a_part_that_ends_three_engines_is_quarantined_and_not_sent_again)
{
  Fixture f = create ();
  script_server_add (&f.relay->endpoints[0], RELAY_WHOLE, SCRIPT_KEEP);
  relay_fixture_register_engine (f.relay, 0);
  send_prompt (&f, "1,7"); /* only 1 is common to the route */
  advance (&f, 6000000);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "200 OK"));
  end_three_engines (&f, "1,5c");
  ck_assert_uint_eq (relay_fixture_n_runs (f.relay), RELAY_FIXTURE_ENDPOINTS + 1);
  check_failed (&f);
  send_prompt (&f, "1,5c");
  ck_assert_uint_eq (wl_relay_metrics (f.relay->relay)->refused[WL_REASON_QUARANTINED], 1);
  const char *log = read_log (&f);
  ck_assert_ptr_nonnull (
      strstr (log, "WL4014 part=5c service=llm customer=acme ends=3 endpoints="));
  ck_assert_ptr_null (strstr (log, "WL4014 part=1 "));
  destroy (&f);
}
END_TEST

/* Guards against a route that is refused whole because its engines fail for another reason. */
START_TEST (a_part_that_all_requests_of_a_route_share_is_not_quarantined)
{
  Fixture f = create ();
  end_three_engines (&f, "1");
  ck_assert_uint_eq (wl_quarantine_n_entries (wl_relay_quarantine (f.relay->relay)), 0);
  ck_assert_uint_eq (wl_relay_metrics (f.relay->relay)->failed[WL_REASON_QUARANTINED], 0);
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (the_parts_of_a_request_whose_engine_ended_before_its_output_are_logged),
    WL_TEST (the_parts_of_a_request_whose_engine_ended_at_its_first_output_are_logged),
    WL_TEST (a_request_without_parts_is_not_suspected),
    WL_TEST (a_request_that_cannot_have_been_read_is_not_suspected),
    WL_TEST (a_request_that_had_been_writing_is_not_suspected),
    WL_TEST (a_request_that_got_an_error_is_not_suspected),
    WL_TEST (a_request_that_got_no_http_response_is_not_suspected),
    WL_TEST (an_endpoint_that_drains_speaks_against_no_part),
    WL_TEST (a_short_response_is_suspected_when_another_connection_breaks),
    WL_TEST (a_short_response_is_suspected_after_another_connection_broke),
    WL_TEST (a_short_response_is_suspected_after_many_ends_of_another_engine),
    WL_TEST (a_short_response_is_suspected_when_its_engine_refuses_to_connect),
    WL_TEST (a_short_response_is_suspected_when_another_node_saw_the_end),
    WL_TEST (a_short_response_is_not_suspected_by_itself_or_later),
    WL_TEST (a_new_request_with_a_quarantined_part_is_refused_at_once),
    WL_TEST (requests_with_other_parts_or_of_other_customers_are_served),
    WL_TEST (a_part_quarantined_for_a_customer_is_refused_to_that_customer),
    WL_TEST (a_request_that_waits_is_refused_when_its_part_is_quarantined),
    WL_TEST (a_request_without_output_is_taken_from_its_engine_and_may_have_run),
    WL_TEST (a_request_that_is_writing_goes_on),
    WL_TEST (a_silent_stream_with_a_quarantined_part_is_not_moved_to_another_engine),
    WL_TEST (a_stream_that_waits_to_be_resumed_is_broken_off),
    WL_TEST (a_part_that_ends_three_engines_is_quarantined_and_not_sent_again),
    WL_TEST (a_part_that_all_requests_of_a_route_share_is_not_quarantined),
  };
  apr_initialize ();
  return wl_test_run ("relay_quarantine", tests, sizeof tests / sizeof tests[0]);
}
