#include <apr_general.h>
#include "wl_test_parts.h"

/*
 * Requests at a relay of the failure domain "z" while others are evacuated. Endpoint 0 is in "y",
 * as is one engine, the others are in "z".
 */

enum
{
  RESUME_US = 100000,             /* more than the interval of tries to resume a stream */
  REGISTRATION_WAIT_US = 1900000, /* more than a node that has started waits for endpoints */
};

#define REJECTED "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
#define RESERVED "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

static void
move_to_y (Fixture *f, const char *id)
{
  WlEndpointRecord record = wl_fleet_find (f->relay->fleet, id)->record;
  strcpy (record.domain, "y");
  wl_fleet_apply (f->relay->fleet, &record, wl_clock_now_us ());
}

static void
register_endpoint (Fixture *f, uint32_t i, const char *bytes, ScriptThen then)
{
  script_server_add (&f->relay->endpoints[i], bytes, then);
  relay_fixture_register (f->relay, i, f->relay->endpoints[i].port);
  if (i == 0)
    move_to_y (f, "e0");
}

static void
register_engines (Fixture *f, uint32_t n, const char *id_in_y)
{
  for (uint32_t i = 0; i < n; i++)
    relay_fixture_register_engine (f->relay, i);
  move_to_y (f, id_in_y);
}

static void
evacuate (Fixture *f, const char *domain)
{
  char names[1][WL_LABEL_SIZE] = { "" };
  snprintf (names[0], sizeof names[0], "%s", domain);
  wl_fleet_set_evacuated (f->relay->fleet, (const char (*)[WL_LABEL_SIZE])names, 1);
}

static void
send_text (Fixture *f, const char *text)
{
  raw_client_send (&f->relay->caller, text);
  advance (f, 0);
}

static void
send_larger_than_an_engine (Fixture *f)
{
  send_text (f, "POST /large/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\n"
                "X-Prompt: 60000\r\nContent-Length: 0\r\n\r\n");
}

static const WlMetrics *
metrics (const Fixture *f)
{
  return wl_relay_metrics (f->relay->relay);
}

/* Guards against requests that wait for the end of an evacuation, or are sent there. */
START_TEST (a_request_without_an_endpoint_elsewhere_is_refused_at_once)
{
  static const char *const requests[]
      = { RELAY_SAFE_REQUEST, RELAY_ONCE_REQUEST, RELAY_STREAM_REQUEST };
  Fixture f = create ();
  register_endpoint (&f, 0, RELAY_WHOLE, SCRIPT_KEEP);
  evacuate (&f, "y");
  for (uint32_t i = 0; i < sizeof requests / sizeof *requests; i++)
    {
      f.relay->caller.size = 0;
      f.relay->caller.answer[0] = '\0';
      send_text (&f, requests[i]);
      ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, " 503 "));
      ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "Retry-After: 1."));
      ck_assert_uint_eq (metrics (&f)->refused[WL_REASON_EVACUATED], i + 1);
      ck_assert_uint_eq (wl_relay_active (f.relay->relay), 0);
    }
  ck_assert_uint_eq (f.relay->endpoints[0].n_connections, 0);
  destroy (&f);
}
END_TEST

/*
 * Guards against refusals after a start of all nodes: the first registrations that a node in an
 * evacuated domain gets are those of its own domain.
 */
START_TEST (a_node_that_has_not_heard_most_others_waits_for_endpoints_elsewhere)
{
  Fixture f = create ();
  wl_relay_set_load_partial (f.relay->relay, 1);
  register_endpoint (&f, 0, RELAY_WHOLE, SCRIPT_KEEP);
  evacuate (&f, "y");
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert_uint_eq (metrics (&f)->refused[WL_REASON_EVACUATED], 0);
  register_endpoint (&f, 1, RELAY_WHOLE, SCRIPT_KEEP);
  advance (&f, RESUME_US);
  ck_assert_uint_eq (f.relay->endpoints[1].n_requests, 1);
  ck_assert_uint_eq (f.relay->endpoints[0].n_connections, 0);
  destroy (&f);
}
END_TEST

/* A node that waits because its load is partial, until its load is @is_partial, for @wait_us more.
 */
static void
wait_and_be_refused (int is_partial, uint64_t wait_us)
{
  Fixture f = create ();
  wl_relay_set_load_partial (f.relay->relay, 1);
  register_endpoint (&f, 0, RELAY_WHOLE, SCRIPT_KEEP);
  evacuate (&f, "y");
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert_uint_eq (metrics (&f)->refused[WL_REASON_EVACUATED], 0);
  wl_relay_set_load_partial (f.relay->relay, is_partial);
  advance (&f, wait_us);
  ck_assert_uint_eq (metrics (&f)->refused[WL_REASON_EVACUATED], 1);
  ck_assert_uint_eq (wl_relay_active (f.relay->relay), 0);
  destroy (&f);
}

/* Guards against a request that waits for endpoints of which the node would have heard. */
START_TEST (a_node_that_has_heard_most_others_waits_no_longer)
{
  wait_and_be_refused (0, RESUME_US);
}
END_TEST

/* Guards against a request that waits to its time limit at a node that hears of nobody. */
START_TEST (a_node_that_hears_no_others_waits_some_time_after_its_start)
{
  wait_and_be_refused (1, REGISTRATION_WAIT_US);
}
END_TEST

/* Guards against an endpoint that is forgotten after the end of an evacuation. */
START_TEST (after_the_end_of_an_evacuation_its_endpoints_are_used)
{
  Fixture f = create ();
  register_endpoint (&f, 0, RELAY_WHOLE, SCRIPT_KEEP);
  evacuate (&f, "y");
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert_uint_eq (f.relay->endpoints[0].n_requests, 0);
  wl_fleet_set_evacuated (f.relay->fleet, NULL, 0);
  send_text (&f, RELAY_SAFE_REQUEST);
  ck_assert_uint_eq (f.relay->endpoints[0].n_requests, 1);
  destroy (&f);
}
END_TEST

/* Guards against retries in an evacuated domain, when the endpoints elsewhere fail. */
START_TEST (a_retry_is_not_sent_to_an_evacuated_domain)
{
  Fixture f = create ();
  register_endpoint (&f, 0, RELAY_WHOLE, SCRIPT_KEEP);
  register_endpoint (&f, 1, REJECTED, SCRIPT_KEEP);
  evacuate (&f, "y");
  send_text (&f, RELAY_SAFE_REQUEST);
  advance (&f, RESUME_US);
  ck_assert_uint_eq (f.relay->endpoints[1].n_requests, 1);
  ck_assert_uint_eq (f.relay->endpoints[0].n_connections, 0);
  destroy (&f);
}
END_TEST

/* Guards against a broken stream that goes on in a domain evacuated since it began. */
START_TEST (a_stream_is_not_resumed_in_an_evacuated_domain)
{
  Fixture f = create ();
  register_endpoint (&f, 1, STREAM_HEAD FIRST_EVENT, SCRIPT_KEEP);
  send_text (&f, RELAY_STREAM_REQUEST);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "data: 1"));
  register_endpoint (&f, 0, STREAM_HEAD FIRST_EVENT, SCRIPT_KEEP);
  evacuate (&f, "y");
  script_server_reset (&f.relay->endpoints[1]);
  for (int i = 0; i < 5; i++)
    advance (&f, RESUME_US);
  ck_assert_uint_eq (f.relay->endpoints[0].n_connections, 0);
  wl_fleet_set_evacuated (f.relay->fleet, NULL, 0);
  advance (&f, RESUME_US);
  ck_assert_uint_eq (f.relay->endpoints[0].n_requests, 1);
  destroy (&f);
}
END_TEST

/* Guards against an end of work that an evacuated endpoint has begun: it may finish. */
START_TEST (work_that_runs_in_an_evacuated_domain_may_finish)
{
  Fixture f = create ();
  register_endpoint (&f, 0, NULL, SCRIPT_KEEP);
  send_text (&f, RELAY_ONCE_REQUEST);
  ck_assert_uint_eq (f.relay->endpoints[0].n_requests, 1);
  evacuate (&f, "y");
  advance (&f, RESUME_US);
  script_server_send (&f.relay->endpoints[0], RELAY_WHOLE);
  advance (&f, 0);
  ck_assert_ptr_nonnull (strstr (f.relay->caller.answer, "200 OK"));
  destroy (&f);
}
END_TEST

/* Guards against parts of prompts and reservations in an evacuated domain. */
START_TEST (an_evacuated_engine_does_not_prefill_for_others)
{
  Fixture f = create ();
  register_engines (&f, 3, "engine-0");
  script_server_add (&f.relay->endpoints[1], RESERVED, SCRIPT_KEEP);
  relay_fixture_occupy (f.relay, "engine-1"); /* so that another one answers */
  evacuate (&f, "y");
  send_larger_than_an_engine (&f);
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /large/"), 1);
  ck_assert_uint_eq (f.relay->endpoints[0].n_connections, 0);
  destroy (&f);
}
END_TEST

/*
 * A prompt larger than an engine waits for its reservation at engine 1 while @domain is evacuated.
 * The reservation is granted then.
 */
static Fixture
evacuate_while_memory_is_reserved (const char *domain)
{
  Fixture f = create ();
  register_engines (&f, 2, "engine-1");
  script_server_add (&f.relay->endpoints[1], NULL, SCRIPT_KEEP);
  relay_fixture_occupy (f.relay, "engine-1");
  send_larger_than_an_engine (&f);
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /reserve"), 1);
  evacuate (&f, domain);
  script_server_send (&f.relay->endpoints[1], RESERVED);
  advance (&f, 0);
  advance (&f, 10000);
  return f;
}

/* Guards against a request that is sent although its endpoint was evacuated after the choice. */
START_TEST (an_endpoint_evacuated_after_the_choice_gets_no_attempt)
{
  Fixture f = evacuate_while_memory_is_reserved ("z");
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /large/"), 0);
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /release"), 1);
  ck_assert_uint_eq (metrics (&f)->evacuated_attempts, 1);
  ck_assert_uint_eq (f.relay->n_started, f.relay->n_ended);
  ck_assert_ptr_nonnull (strstr (read_log (&f), "WL4017"));
  destroy (&f);
}
END_TEST

/* The same for a helper. */
START_TEST (a_helper_evacuated_after_the_choice_gets_no_part)
{
  Fixture f = evacuate_while_memory_is_reserved ("y");
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /large/"), 0);
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /reserve"), 1);
  ck_assert_uint_eq (relay_fixture_n_seen (f.relay, "POST /release"), 1);
  ck_assert_uint_eq (metrics (&f)->evacuated_attempts, 1);
  destroy (&f);
}
END_TEST

/* Guards against a permit that is used in an evacuated domain. */
START_TEST (a_permit_is_not_used_in_an_evacuated_domain)
{
  WlPermitAsk ask;
  WlLimitWord word = { .endpoint = wl_fleet_key ("e0"), .started_ms = 1, .rate = 400 };
  WlLimitReport report = { .words = &word, .n_words = 1 };
  Fixture f = create ();
  register_endpoint (&f, 0, RELAY_WHOLE, SCRIPT_KEEP);
  wl_relay_apply_limit_report (f.relay->relay, 2, &report, wl_clock_now_us ());
  send_text (&f, RELAY_SAFE_REQUEST);
  WlPermits *permits = wl_relay_permits (f.relay->relay);
  ck_assert_int_eq (wl_permits_take_ask (permits, &ask), 1);
  evacuate (&f, "y");
  WlPermitAnswer answer = { .id = ask.id, .endpoint = word.endpoint };
  wl_permits_answer (permits, &answer, wl_clock_now_us ());
  advance (&f, 0);
  ck_assert_uint_eq (f.relay->endpoints[0].n_connections, 0);
  ck_assert_uint_eq (metrics (&f)->permits_used, 0);
  WlPermitReturn returned;
  ck_assert_int_eq (wl_permits_take_return (permits, &returned), 1);
  destroy (&f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_request_without_an_endpoint_elsewhere_is_refused_at_once),
    WL_TEST (a_node_that_has_not_heard_most_others_waits_for_endpoints_elsewhere),
    WL_TEST (a_node_that_has_heard_most_others_waits_no_longer),
    WL_TEST (a_node_that_hears_no_others_waits_some_time_after_its_start),
    WL_TEST (after_the_end_of_an_evacuation_its_endpoints_are_used),
    WL_TEST (a_retry_is_not_sent_to_an_evacuated_domain),
    WL_TEST (a_stream_is_not_resumed_in_an_evacuated_domain),
    WL_TEST (work_that_runs_in_an_evacuated_domain_may_finish),
    WL_TEST (an_evacuated_engine_does_not_prefill_for_others),
    WL_TEST (an_endpoint_evacuated_after_the_choice_gets_no_attempt),
    WL_TEST (a_helper_evacuated_after_the_choice_gets_no_part),
    WL_TEST (a_permit_is_not_used_in_an_evacuated_domain),
  };
  apr_initialize ();
  return wl_test_run ("relay_evacuation", tests, sizeof tests / sizeof tests[0]);
}
