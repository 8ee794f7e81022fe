#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_clock.h"
#include "wl_soak_budget.h"
#include "wl_soak_conn.h"
#include "wl_soak_endpoint.h"
#include "wl_soak_limits.h"
#include "wl_soak_message.h"
#include "wl_soak_parts.h"
#include "wl_soak_request.h"

enum
{
  QUEUE_MAX = 8,
  SLOW_ONE_IN = 4, /* seeds whose engines are slower than the configuration says */
  SLOW_FACTOR = 2,
  READ_BYTES = 16384,
  HEARTBEAT_INTERVAL_US = 1000000,
  UNSENT_MAX_BYTES = 262144, /* an endpoint writes no further until its peer reads */
  FIELD_SIZE = 64,
  HEAD_SIZE = 1024,
};

typedef enum
{
  PHASE_READING,
  PHASE_WAITING, /* for a slot */
  PHASE_WORKING, /* before its first output */
  PHASE_WRITING,
  PHASE_SENDING, /* all is written, the kernel has not taken it yet */
} Phase;

/* A connection of a node, with the request on it. */
typedef struct Serve
{
  WlSoakConn conn;
  WlSoakEndpoint *endpoint;
  WlSoakMessage message;
  Phase phase;
  WlSoakRequest *request;
  uint64_t deadline_us;
  uint64_t next_us;
  uint32_t begin_event; /* the first that it writes */
  uint32_t next_event;
  uint8_t is_first_arrival;
  uint8_t closes_after;
  struct Serve *next;
} Serve;

struct WlSoakEndpoint
{
  const WlSoak *soak;
  uint32_t number;
  uint32_t n_starts;
  uint64_t back_us; /* while it is away, when it starts again */
  uint32_t service;
  char address[FIELD_SIZE];
  char id[FIELD_SIZE];
  WlSoakConn listener;
  Serve *first; /* latest last, so that waiting requests are served in turn */
  uint32_t n_working;
  uint32_t n_waiting;
  uint64_t prefill_free_us;
  uint64_t started_ms;
  uint64_t beat_us;
  uint32_t sequence;
  uint8_t is_slow;
  uint32_t node; /* that takes the heartbeats */
  uint8_t is_known;
};

/* ---- answers ---- */

static void
end_work (Serve *s, uint64_t now_us)
{
  if (s->phase == PHASE_WAITING)
    s->endpoint->n_waiting--;
  if (s->phase >= PHASE_WORKING)
    {
      s->endpoint->n_working--;
      s->request->work_ended_us = now_us;
    }
  s->phase = PHASE_READING;
  s->request = NULL;
}

static void
reply (Serve *s, const char *status, const char *fields, const char *body)
{
  char text[HEAD_SIZE * 2];
  char limit[WL_SOAK_LIMIT_SIZE];
  wl_soak_limits_field (s->endpoint->number, wl_clock_now_us (), limit, sizeof limit);
  int n = snprintf (text, sizeof text, "HTTP/1.1 %s\r\n%s%sContent-Length: %zu\r\n\r\n%s", status,
                    fields, limit, strlen (body), body);
  wl_soak_conn_send (&s->conn, text, (size_t)n);
}

/* Ends a request without an answer that counts as run. */
static void
refuse (Serve *s, const char *status, uint64_t now_us)
{
  char fields[HEAD_SIZE];
  snprintf (fields, sizeof fields, "X-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nAt-Server: %s\r\n",
            s->message.values[WL_SOAK_FIELD_ID], s->endpoint->address);
  reply (s, status, fields, "");
  end_work (s, now_us);
}

static void
fail (Serve *s, const char *status, uint64_t now_us)
{
  char fields[HEAD_SIZE];
  snprintf (fields, sizeof fields, "X-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n", s->request->id,
            s->request->id);
  s->request->endpoint_status = (uint16_t)strtoul (status, NULL, 10);
  wl_soak_limits_note_answer (s->request, s->endpoint->number, now_us);
  reply (s, status, fields, "failed");
  end_work (s, now_us);
}

static void
break_off (Serve *s, WlSoakFault fault, uint64_t now_us)
{
  s->request->broken_off = (uint8_t)fault;
  s->request->n_broken_off++;
  end_work (s, now_us);
  wl_soak_conn_close (&s->conn, fault == WL_SOAK_RESETS);
}

static void
begin_answer (Serve *s, uint64_t now_us)
{
  WlSoakRequest *r = s->request;
  char head[HEAD_SIZE];
  char limit[WL_SOAK_LIMIT_SIZE];
  char framing[FIELD_SIZE] = "Transfer-Encoding: chunked\r\n";
  uint64_t left = (uint64_t)(r->n_events - s->next_event) * r->event_bytes;
  if (r->framing == WL_SOAK_LENGTH)
    snprintf (framing, sizeof framing, "Content-Length: %llu\r\n", (unsigned long long)left);
  else if (r->framing == WL_SOAK_UNTIL_CLOSE)
    snprintf (framing, sizeof framing, "Connection: close\r\n");
  s->closes_after = r->framing == WL_SOAK_UNTIL_CLOSE;
  wl_soak_limits_field (s->endpoint->number, now_us, limit, sizeof limit);
  if (r->body_bytes == 0)
    wl_soak_limits_note_answer (r, s->endpoint->number, now_us);
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Attempt-Id: %s\r\n"
                    "X-Server-Seal: seal-%s\r\nX-Weight-Versions: 1\r\n%s%s\r\n",
                    wl_soak_kinds[r->kind].service == 0 ? "text/event-stream"
                                                        : "application/octet-stream",
                    r->id, r->id, limit, framing);
  wl_soak_conn_send (&s->conn, head, (size_t)n);
}

static void
write_event (Serve *s)
{
  const WlSoakRequest *r = s->request;
  char *event = malloc (r->event_bytes);
  char size[32];
  if (event == NULL)
    abort ();
  wl_soak_request_body (r, (uint64_t)s->next_event * r->event_bytes, event, r->event_bytes);
  if (r->framing == WL_SOAK_CHUNKED)
    wl_soak_conn_send (&s->conn, size,
                       (size_t)snprintf (size, sizeof size, "%x\r\n", r->event_bytes));
  wl_soak_conn_send (&s->conn, event, r->event_bytes);
  if (r->framing == WL_SOAK_CHUNKED)
    wl_soak_conn_send (&s->conn, "\r\n", 2);
  free (event);
  s->next_event++;
}

/* Returns 1 when the fault that was planned for this event has happened. */
static int
meet_fault (Serve *s, uint64_t now_us)
{
  WlSoakRequest *r = s->request;
  if (!s->is_first_arrival || s->next_event != r->fault_event || r->fault == WL_SOAK_SOUND)
    return 0;
  if (r->fault == WL_SOAK_FAILS && s->phase == PHASE_WORKING)
    fail (s, "500 Internal Server Error", now_us);
  else
    break_off (s, r->fault == WL_SOAK_RESETS ? WL_SOAK_RESETS : WL_SOAK_CLOSES, now_us);
  return 1;
}

static void
start_anew (WlSoakEndpoint *e)
{
  uint32_t ip = e->soak->options.net + WL_SOAK_ENDPOINT_HOST + e->number;
  if (!wl_soak_conn_listen (&e->listener, e->soak, ip, WL_SOAK_ENDPOINT_PORT))
    return;
  snprintf (e->id, sizeof e->id, "i-%08x", 0x50a00000 + e->n_starts++ * 0x100 + e->number);
  wl_soak_limits_restart (e->number, wl_clock_now_us ());
  e->started_ms = wl_clock_wall_us () / 1000;
  e->sequence = 0;
  e->beat_us = 0;
  e->back_us = 0;
}

int
wl_soak_endpoint_crash (WlSoakEndpoint *e, const WlSoakRequest *cause, int is_reset,
                        uint64_t away_us, uint64_t now_us)
{
  if (e->back_us != 0)
    return 0;
  wl_soak_parts_note_end (cause, e->id, now_us);
  e->back_us = now_us + away_us;
  e->prefill_free_us = 0;
  wl_soak_conn_close (&e->listener, 0);
  for (Serve *s = e->first; s != NULL; s = s->next)
    if (s->request != NULL)
      break_off (s, is_reset ? WL_SOAK_RESETS : WL_SOAK_CLOSES, now_us);
    else
      wl_soak_conn_close (&s->conn, is_reset);
  return 1;
}

/* Returns 1 when the request has ended the endpoint. */
static int
meet_end (Serve *s, uint64_t now_us)
{
  const WlSoakRequest *r = s->request;
  uint64_t random = r->index;
  if (!wl_soak_parts_is_end (r, s->next_event - s->begin_event, now_us))
    return 0;
  return wl_soak_endpoint_crash (s->endpoint, r, r->index % 4 < 2,
                                 wl_soak_between (&random, 3000, 5000) * UINT64_C (1000), now_us);
}

uint32_t
wl_soak_endpoint_n_ends (const WlSoakEndpoint *e)
{
  return e->n_starts - (e->back_us == 0);
}

/* ---- work ---- */

/* How many times as long as planned it takes to write, and a plain endpoint to answer. */
static uint32_t
slowness (const WlSoakEndpoint *e, uint64_t now_us)
{
  const WlSoak *soak = e->soak;
  return e->is_slow && now_us >= soak->begin_us + soak->options.slow_from_s * UINT64_C (1000000)
             ? soak->options.slow
             : 1;
}

static void
start_work (Serve *s, uint64_t now_us)
{
  WlSoakEndpoint *e = s->endpoint;
  WlSoakRequest *r = s->request;
  uint64_t cost_us = (uint64_t)r->service_ms * 1000;
  r->slowness = slowness (e, now_us);
  const char *helpers = s->message.values[WL_SOAK_FIELD_HELPERS];
  uint32_t n_engines = 1;
  for (const char *p = helpers; *p != '\0'; p++)
    n_engines += *p == ',' || p == helpers;
  if (e->service == 0)
    {
      uint64_t begin_us = e->prefill_free_us > now_us ? e->prefill_free_us : now_us;
      cost_us = (uint64_t)r->prompt_tokens * 1000000 / WL_SOAK_PREFILL_PER_S / n_engines;
      if (e->soak->options.seed % SLOW_ONE_IN == 0)
        cost_us *= SLOW_FACTOR;
      e->prefill_free_us = begin_us + cost_us;
      cost_us = e->prefill_free_us - now_us;
    }
  else
    {
      cost_us *= r->slowness;
      r->n_runs++;
    }
  s->endpoint->n_waiting--;
  s->endpoint->n_working++;
  s->phase = PHASE_WORKING;
  s->next_us = now_us + cost_us;
  r->work_us = now_us;
  r->work_ended_us = 0;
  r->whole_us = 0;
  r->broken_off = WL_SOAK_SOUND;
  r->endpoint_status = 0;
}

static void
write_output (Serve *s, uint64_t now_us)
{
  WlSoakRequest *r = s->request;
  while (s->phase == PHASE_WRITING && now_us >= s->next_us
         && wl_buffer_left (&s->conn.out) < UNSENT_MAX_BYTES)
    {
      if (s->next_event < r->n_events && (meet_fault (s, now_us) || meet_end (s, now_us)))
        return;
      if (s->next_event < r->n_events)
        write_event (s);
      s->next_us += (uint64_t)r->event_gap_ms * 1000 * r->slowness;
      if (s->next_event < r->n_events)
        continue;
      if (r->framing == WL_SOAK_CHUNKED)
        wl_soak_conn_send (&s->conn, "0\r\n\r\n", 5);
      s->phase = PHASE_SENDING;
    }
}

static void
work (Serve *s, uint64_t now_us)
{
  WlSoakRequest *r = s->request;
  if (s->phase == PHASE_WAITING && now_us >= s->deadline_us)
    {
      refuse (s, "503 Service Unavailable", now_us);
      return;
    }
  if (s->phase == PHASE_WAITING && s->endpoint->n_working < WL_SOAK_SLOTS)
    start_work (s, now_us);
  if (s->phase == PHASE_WORKING && now_us >= s->deadline_us)
    {
      fail (s, "504 Gateway Timeout", now_us);
      return;
    }
  if (s->phase == PHASE_WRITING && now_us >= s->deadline_us)
    {
      break_off (s, WL_SOAK_CLOSES, now_us);
      return;
    }
  if (s->phase == PHASE_WORKING && now_us >= s->next_us)
    {
      if (s->endpoint->service == 0)
        r->n_runs++;
      if (s->is_first_arrival && r->fault == WL_SOAK_FAILS)
        s->next_event = r->fault_event;
      if (meet_fault (s, now_us) || meet_end (s, now_us))
        return;
      begin_answer (s, now_us);
      r->endpoint_status = 200;
      s->phase = PHASE_WRITING;
    }
  if (s->phase == PHASE_WRITING)
    write_output (s, now_us);
  if (s->phase == PHASE_SENDING && wl_buffer_left (&s->conn.out) == 0)
    {
      r->whole_us = now_us;
      end_work (s, now_us);
      if (s->closes_after)
        wl_soak_conn_close (&s->conn, 0);
    }
}

/* ---- reading ---- */

static void
take_request (Serve *s, uint64_t now_us)
{
  WlSoakEndpoint *e = s->endpoint;
  const char *id = s->message.values[WL_SOAK_FIELD_ID];
  const char *expected = s->message.values[WL_SOAK_FIELD_EXPECTED];
  const char *deadline_ms = s->message.values[WL_SOAK_FIELD_DEADLINE];
  s->request = wl_soak_request_find (id);
  if (s->request != NULL)
    wl_soak_budget_note_arrival (s->request, now_us);
  if (strcmp (expected, e->id) != 0 && expected[0] != '\0')
    {
      refuse (s, "421 Misdirected Request", now_us);
      return;
    }
  if (s->request == NULL)
    {
      wl_soak_broken ("endpoint %s got a request that no caller sent: id=%s %s", e->id, id,
                      s->message.target);
      refuse (s, "400 Bad Request", now_us);
      return;
    }
  wl_soak_parts_note_arrival (s->request, now_us);
  wl_soak_limits_note_arrival (s->request, e->number, now_us);
  s->is_first_arrival = s->request->n_arrivals++ == 0;
  if (s->request->arrived_us == 0)
    s->request->arrived_us = now_us;
  if (e->n_waiting >= QUEUE_MAX)
    {
      refuse (s, "503 Service Unavailable", now_us);
      return;
    }
  s->deadline_us = deadline_ms[0] != '\0' ? now_us + (uint64_t)(strtod (deadline_ms, NULL) * 1000.0)
                                          : UINT64_MAX;
  s->next_event = (uint32_t)strtoul (s->message.values[WL_SOAK_FIELD_LAST_EVENT], NULL, 10);
  s->begin_event = s->next_event;
  s->phase = PHASE_WAITING;
  e->n_waiting++;
}

/* A request of the operator's on a route of no kind. */
static void
reply_to_probe (Serve *s)
{
  const char *expected = s->message.values[WL_SOAK_FIELD_EXPECTED];
  const char *id = s->message.values[WL_SOAK_FIELD_ID];
  char fields[HEAD_SIZE];
  if (expected[0] != '\0' && strcmp (expected, s->endpoint->id) != 0)
    {
      refuse (s, "421 Misdirected Request", wl_clock_now_us ());
      return;
    }
  snprintf (fields, sizeof fields, "X-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n", id, id);
  reply (s, "200 OK", fields, "");
}

static int
on_complete (void *data)
{
  Serve *s = data;
  const char *target = s->message.target;
  char fields[FIELD_SIZE * 2];
  snprintf (fields, sizeof fields, "X-Instance-Id: %s\r\n", s->endpoint->id);
  if (strcmp (target, "/health") == 0)
    reply (s, "200 OK", fields, "");
  else if (strcmp (target, "/api/order") == 0)
    reply (s, "200 OK", "Content-Type: application/json\r\n", "{\"free_slots\":100000}");
  else if (strncmp (target, "/x-", 3) == 0)
    reply_to_probe (s);
  else
    take_request (s, wl_clock_now_us ());
  return 0;
}

static void
on_readable (void *data, WlSoakConn *conn)
{
  Serve *s = data;
  char bytes[READ_BYTES];
  int n = wl_soak_conn_read (conn, bytes, sizeof bytes);
  if (n == WL_SOAK_AGAIN)
    return;
  if (n > 0 && wl_soak_message_read (&s->message, bytes, (size_t)n))
    return;
  if (s->request != NULL)
    end_work (s, wl_clock_now_us ());
  wl_soak_conn_close (conn, 0);
}

static void
on_connection (void *data, WlSoakConn *listener)
{
  WlSoakEndpoint *e = data;
  Serve **last = &e->first;
  Serve *s = calloc (1, sizeof *s);
  if (s == NULL)
    abort ();
  s->endpoint = e;
  s->conn.readable = on_readable;
  s->conn.data = s;
  s->message.complete = on_complete;
  s->message.data = s;
  wl_soak_message_reset (&s->message, HTTP_REQUEST);
  if (!wl_soak_conn_accept (listener, e->soak, &s->conn))
    {
      free (s);
      return;
    }
  while (*last != NULL)
    last = &(*last)->next;
  *last = s;
}

/* ---- registration ---- */

static void
on_acknowledged (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  WlSoakEndpoint *e = data;
  (void)call;
  if (result->is_complete && result->status / 100 == 2)
    {
      e->is_known = 1;
      return;
    }
  e->node = (e->node + 1) % e->soak->options.n_nodes;
  e->beat_us = 0;
}

static void
send_heartbeat (WlSoakEndpoint *e)
{
  char path[FIELD_SIZE * 2];
  char body[HEAD_SIZE];
  snprintf (path, sizeof path, "/api/Instances.Heartbeat/%s", e->id);
  snprintf (body, sizeof body,
            "{\"service\":\"service%u\",\"address\":\"%s\",\"zone\":\"zone-%c\",\"version\":\"v1\","
            "\"slots\":%d,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":"
            "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":%llu,\"seq\":%u}",
            e->service, e->address, (char)('a' + e->number % e->soak->options.n_zones),
            WL_SOAK_SLOTS, (unsigned long long)e->started_ms, ++e->sequence);
  wl_soak_call (e->soak, e->node, WL_SOAK_CONTROL_PORT, path, body, NULL, on_acknowledged, e);
}

WlSoakEndpoint *
wl_soak_endpoint_create (const WlSoak *soak, uint32_t number)
{
  WlSoakEndpoint *e = calloc (1, sizeof *e);
  uint32_t ip = soak->options.net + WL_SOAK_ENDPOINT_HOST + number;
  uint64_t random = (uint64_t)soak->options.seed << 32 | number;
  if (e == NULL)
    abort ();
  e->soak = soak;
  e->service = number >= soak->options.n_engines;
  e->number = number;
  e->node = number % soak->options.n_nodes;
  e->is_slow = wl_soak_between (&random, 0, 99) < soak->options.slow_share;
  snprintf (e->address, sizeof e->address, "127.%u.%u.%u:%d", ip >> 16 & 255, ip >> 8 & 255,
            ip & 255, WL_SOAK_ENDPOINT_PORT);
  e->listener = (WlSoakConn){ .fd = -1, .readable = on_connection, .data = e };
  start_anew (e);
  if (e->listener.fd >= 0)
    return e;
  free (e);
  return NULL;
}

void
wl_soak_endpoint_tick (WlSoakEndpoint *e, uint64_t now_us)
{
  if (e->back_us != 0 && now_us >= e->back_us)
    start_anew (e);
  if (e->back_us == 0 && now_us >= e->beat_us)
    {
      e->beat_us = now_us + HEARTBEAT_INTERVAL_US;
      send_heartbeat (e);
    }
  for (Serve **p = &e->first; *p != NULL;)
    {
      Serve *s = *p;
      if (s->conn.fd >= 0 && s->request != NULL)
        work (s, now_us);
      if (s->conn.fd >= 0)
        {
          p = &s->next;
          continue;
        }
      *p = s->next;
      free (s);
    }
}

int
wl_soak_endpoint_is_known (const WlSoakEndpoint *e)
{
  return e->is_known;
}

void
wl_soak_endpoint_destroy (WlSoakEndpoint *e)
{
  if (e == NULL)
    return;
  while (e->first != NULL)
    {
      Serve *s = e->first;
      e->first = s->next;
      wl_soak_conn_close (&s->conn, 0);
      free (s);
    }
  wl_soak_conn_close (&e->listener, 0);
  free (e);
}
