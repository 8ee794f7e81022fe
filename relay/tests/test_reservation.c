#include <string.h>
#include <apr_general.h>
#include <netinet/in.h>
#include "wl_clock.h"
#include "wl_reservation.h"
#include "wl_script_server.h"
#include "wl_test.h"

/* Reservations at an engine that grants, refuses, or never responds. */

static const char granted[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
static const char refused[] = "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}";

typedef struct
{
  WlReactor *reactor;
  WlTcpLoop *loop;
  WlFetchClient *client;
  WlReservations *set;
  ScriptServer server;
  int n_answers;
  int is_granted;
} Fixture;

static void
write_command (const WlReservationCommand *command, WlBuffer *head, WlBuffer *body)
{
  const char *text = command->kind == WL_RESERVATION_RESERVE
                         ? "POST /reserve HTTP/1.1\r\nHost: h\r\n\r\n"
                         : "POST /release HTTP/1.1\r\nHost: h\r\n\r\n";
  (void)body;
  wl_buffer_append (head, (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
}

static void
on_answer (void *data, int is_granted)
{
  Fixture *f = data;
  f->n_answers++;
  f->is_granted = is_granted;
}

static Fixture *
create (void)
{
  static Fixture f;
  memset (&f, 0, sizeof f);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  f.loop = wl_tcp_loop_create (f.reactor);
  f.client = wl_fetch_client_create (f.loop);
  f.set = wl_reservations_create (f.client, write_command, 7);
  script_server_start (&f.server, f.loop);
  return &f;
}

static void
destroy (Fixture *f)
{
  wl_reservations_destroy (f->set);
  wl_fetch_client_destroy (f->client);
  script_server_stop (&f->server);
  wl_tcp_loop_destroy (f->loop);
  wl_reactor_destroy (f->reactor);
}

static WlReservation *
request_memory (Fixture *f)
{
  WlEndpointRecord e = { .address = htonl (INADDR_LOOPBACK), .port = f->server.port };
  strcpy (e.id, "e");
  WlReservation *r = wl_reservation_request (f->set, &e, 1000, on_answer, f);
  script_run (f->reactor, f->loop, 100000, &f->n_answers);
  return r;
}

static uint32_t
count (const Fixture *f, const char *what)
{
  uint32_t n = 0;
  for (const char *p = strstr (f->server.seen, what); p != NULL; p = strstr (p + 1, what))
    n++;
  return n;
}

START_TEST (a_reservation_is_renewed_until_it_is_released)
{
  Fixture *f = create ();
  for (int i = 0; i < 3; i++)
    script_server_add (&f->server, granted, SCRIPT_KEEP);
  WlReservation *r = request_memory (f);
  ck_assert_int_eq (f->is_granted, 1);
  uint64_t now_us = wl_clock_now_us ();
  wl_reservations_tick (f->set, now_us);
  ck_assert_uint_eq (count (f, "/reserve"), 1);
  wl_reservations_tick (f->set, now_us + WL_RESERVATION_RENEW_US + 1000);
  script_run (f->reactor, f->loop, 50000, NULL);
  ck_assert_uint_eq (count (f, "/reserve"), 2);
  wl_reservation_release (r);
  script_run (f->reactor, f->loop, 50000, NULL);
  ck_assert_uint_eq (count (f, "/release"), 1);
  wl_reservations_tick (f->set, wl_clock_now_us ());
  ck_assert_uint_eq (wl_reservations_count (f->set), 0);
  destroy (f);
}
END_TEST

START_TEST (a_refusal_is_reported_once)
{
  Fixture *f = create ();
  script_server_add (&f->server, refused, SCRIPT_KEEP);
  script_server_add (&f->server, granted, SCRIPT_KEEP);
  WlReservation *r = request_memory (f);
  ck_assert_int_eq (f->n_answers, 1);
  ck_assert_int_eq (f->is_granted, 0);
  wl_reservation_release (r);
  script_run (f->reactor, f->loop, 50000, NULL);
  ck_assert_int_eq (f->n_answers, 1);
  destroy (f);
}
END_TEST

/* Guards against memory that stays reserved when an engine carries a late command out. */
START_TEST (a_reservation_without_a_response_is_released_until_it_cannot_take_effect)
{
  Fixture *f = create ();
  script_server_add (&f->server, NULL, SCRIPT_KEEP);
  for (int i = 0; i < 12; i++)
    script_server_add (&f->server, granted, SCRIPT_KEEP);
  WlReservation *r = request_memory (f);
  uint64_t requested_us = wl_clock_now_us ();
  wl_reservations_tick (f->set, requested_us + WL_RESERVATION_TIMEOUT_US + 1000);
  ck_assert_int_eq (f->n_answers, 1);
  ck_assert_int_eq (f->is_granted, 0);
  wl_reservation_release (r);
  script_run (f->reactor, f->loop, 20000, NULL);
  for (uint64_t t = 0; t <= WL_RESERVATION_MAX_DELAY_US; t += 500000)
    {
      wl_reservations_tick (f->set, requested_us + t);
      script_run (f->reactor, f->loop, 10000, NULL);
    }
  ck_assert_uint_ge (count (f, "/release"), 2);
  ck_assert_uint_eq (wl_reservations_count (f->set), 1);
  wl_reservations_tick (f->set, requested_us + WL_RESERVATION_MAX_DELAY_US + 1000000);
  ck_assert_uint_eq (wl_reservations_count (f->set), 0);
  destroy (f);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_reservation_is_renewed_until_it_is_released),
    WL_TEST (a_refusal_is_reported_once),
    WL_TEST (a_reservation_without_a_response_is_released_until_it_cannot_take_effect),
  };
  apr_initialize ();
  return wl_test_run ("reservation", tests, sizeof tests / sizeof tests[0]);
}
