#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <http_parser.h>
#include "wl_clock.h"
#include "wl_soak_call.h"
#include "wl_soak_conn.h"
#include "wl_soak_endpoint.h"
#include "wl_soak_request.h"

enum
{
  QUEUE_MAX = 8,
  READ_BYTES = 16384,
  HEARTBEAT_INTERVAL_US = 1000000,
  HEARTBEAT_TIMEOUT_US = 1000000,
  UNSENT_MAX_BYTES = 262144, /* an endpoint writes no further until its peer reads */
  FIELD_SIZE = 64,
  HEAD_SIZE = 512,
};

typedef enum
{
  PHASE_READING,
  PHASE_WAITING, /* for a slot */
  PHASE_WORKING, /* before its first output */
  PHASE_WRITING,
  PHASE_SENDING, /* all is written, the kernel has not taken it yet */
} Phase;

typedef enum
{
  FIELD_OTHER,
  FIELD_ID,
  FIELD_EXPECTED,
  FIELD_DEADLINE,
  FIELD_LAST_EVENT,
  FIELD_HELPERS,
  FIELDS,
} Field;

static const char *const field_names[FIELDS] = {
  "", "X-Attempt-Id", "X-Expect-Instance", "X-Deadline-Ms", "Last-Event-Id", "X-Helpers",
};

/* A connection of a node, with the request on it. */
typedef struct Serve
{
  WlSoakConn conn;
  WlSoakEndpoint *endpoint;
  http_parser parser;
  Field field;
  uint8_t was_value;
  char name[FIELD_SIZE];
  char values[FIELDS][FIELD_SIZE];
  char target[FIELD_SIZE];
  Phase phase;
  WlSoakRequest *request;
  uint64_t arrived_us;
  uint64_t deadline_us;
  uint64_t next_us;
  uint32_t next_event;
  uint8_t is_first_arrival;
  uint8_t closes_after;
  struct Serve *next;
} Serve;

struct WlSoakEndpoint
{
  WlSoakEndpointOptions options;
  char id[FIELD_SIZE];
  WlSoakConn listener;
  Serve *first; /* latest last, so that waiting requests are served in turn */
  uint32_t n_working;
  uint32_t n_waiting;
  uint64_t prefill_free_us;
  uint64_t started_ms;
  uint64_t beat_us;
  uint32_t sequence;
  uint32_t node;
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
  char text[HEAD_SIZE];
  int n = snprintf (text, sizeof text, "HTTP/1.1 %s\r\n%sContent-Length: %zu\r\n\r\n%s", status,
                    fields, strlen (body), body);
  wl_soak_conn_send (&s->conn, text, (size_t)n);
}

/* Ends a request without an answer that counts as run. */
static void
refuse (Serve *s, const char *status, uint64_t now_us)
{
  char fields[HEAD_SIZE / 2];
  snprintf (fields, sizeof fields,
            "X-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nAt-Server: 127.%u.%u.%u:%u\r\n",
            s->values[FIELD_ID], s->endpoint->options.ip >> 16 & 255,
            s->endpoint->options.ip >> 8 & 255, s->endpoint->options.ip & 255,
            s->endpoint->options.port);
  reply (s, status, fields, "");
  end_work (s, now_us);
}

static void
fail (Serve *s, const char *status, uint64_t now_us)
{
  char fields[HEAD_SIZE / 2];
  snprintf (fields, sizeof fields, "X-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\n", s->request->id,
            s->request->id);
  s->request->endpoint_status = (uint16_t)strtoul (status, NULL, 10);
  reply (s, status, fields, "failed");
  end_work (s, now_us);
}

static void
break_off (Serve *s, int is_reset, uint64_t now_us)
{
  s->request->has_broken_off = 1;
  end_work (s, now_us);
  wl_soak_conn_close (&s->conn, is_reset);
}

static void
begin_answer (Serve *s)
{
  const WlSoakRequest *r = s->request;
  char head[HEAD_SIZE];
  char framing[FIELD_SIZE] = "Transfer-Encoding: chunked\r\n";
  uint64_t left = (uint64_t)(r->n_events - s->next_event) * r->event_bytes;
  if (r->framing == WL_SOAK_LENGTH)
    snprintf (framing, sizeof framing, "Content-Length: %llu\r\n", (unsigned long long)left);
  else if (r->framing == WL_SOAK_UNTIL_CLOSE)
    snprintf (framing, sizeof framing, "Connection: close\r\n");
  s->closes_after = r->framing == WL_SOAK_UNTIL_CLOSE;
  int n = snprintf (head, sizeof head,
                    "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Attempt-Id: %s\r\n"
                    "X-Server-Seal: seal-%s\r\nX-Weight-Versions: 1\r\n%s\r\n",
                    wl_soak_kinds[r->kind].service == 0 ? "text/event-stream"
                                                        : "application/octet-stream",
                    r->id, r->id, framing);
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
    break_off (s, r->fault == WL_SOAK_RESETS, now_us);
  return 1;
}

/* ---- work ---- */

static void
start_work (Serve *s, uint64_t now_us)
{
  WlSoakEndpoint *e = s->endpoint;
  WlSoakRequest *r = s->request;
  uint64_t cost_us = (uint64_t)r->service_ms * 1000;
  uint32_t n_engines = 1;
  for (const char *p = s->values[FIELD_HELPERS]; *p != '\0'; p++)
    n_engines += *p == ',' || p == s->values[FIELD_HELPERS];
  if (e->options.service == 0)
    {
      uint64_t begin_us = e->prefill_free_us > now_us ? e->prefill_free_us : now_us;
      cost_us = (uint64_t)r->prompt_tokens * 1000000 / WL_SOAK_PREFILL_PER_S / n_engines;
      e->prefill_free_us = begin_us + cost_us;
      cost_us = e->prefill_free_us - now_us;
    }
  else
    r->n_runs++;
  s->endpoint->n_waiting--;
  s->endpoint->n_working++;
  s->phase = PHASE_WORKING;
  s->next_us = now_us + cost_us;
  r->work_us = now_us;
  r->work_ended_us = 0;
  r->whole_us = 0;
  r->has_broken_off = 0;
  r->endpoint_status = 0;
}

static void
write_output (Serve *s, uint64_t now_us)
{
  WlSoakRequest *r = s->request;
  while (s->phase == PHASE_WRITING && now_us >= s->next_us
         && wl_buffer_left (&s->conn.out) < UNSENT_MAX_BYTES)
    {
      if (s->next_event < r->n_events && meet_fault (s, now_us))
        return;
      if (s->next_event < r->n_events)
        write_event (s);
      s->next_us += (uint64_t)r->event_gap_ms * 1000;
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
      break_off (s, 0, now_us);
      return;
    }
  if (s->phase == PHASE_WORKING && now_us >= s->next_us)
    {
      if (s->endpoint->options.service == 0)
        r->n_runs++;
      if (s->is_first_arrival && r->fault == WL_SOAK_FAILS)
        s->next_event = r->fault_event;
      if (meet_fault (s, now_us))
        return;
      begin_answer (s);
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

static int
on_begin (http_parser *parser)
{
  Serve *s = parser->data;
  memset (s->values, 0, sizeof s->values);
  s->target[0] = s->name[0] = '\0';
  s->field = FIELD_OTHER;
  s->was_value = 0;
  return 0;
}

static void
append (char *out, size_t out_size, const char *data, size_t size)
{
  size_t used = strlen (out);
  if (used + size < out_size)
    snprintf (out + used, out_size - used, "%.*s", (int)size, data);
}

static int
on_target (http_parser *parser, const char *data, size_t size)
{
  Serve *s = parser->data;
  append (s->target, sizeof s->target, data, size);
  return 0;
}

static int
on_name (http_parser *parser, const char *data, size_t size)
{
  Serve *s = parser->data;
  if (s->was_value)
    s->name[0] = '\0';
  s->was_value = 0;
  append (s->name, sizeof s->name, data, size);
  return 0;
}

static int
on_value (http_parser *parser, const char *data, size_t size)
{
  Serve *s = parser->data;
  s->was_value = 1;
  for (int i = 1; i < FIELDS; i++)
    if (strcasecmp (s->name, field_names[i]) == 0)
      append (s->values[i], FIELD_SIZE, data, size);
  return 0;
}

static void
take_request (Serve *s, uint64_t now_us)
{
  WlSoakEndpoint *e = s->endpoint;
  const char *deadline_ms = s->values[FIELD_DEADLINE];
  s->request = wl_soak_request_find (s->values[FIELD_ID]);
  if (strcmp (s->values[FIELD_EXPECTED], e->id) != 0 && s->values[FIELD_EXPECTED][0] != '\0')
    {
      refuse (s, "421 Misdirected Request", now_us);
      return;
    }
  if (s->request == NULL)
    {
      printf ("broken: endpoint %s got a request that no caller sent: id=%s %s\n", e->id,
              s->values[FIELD_ID], s->target);
      refuse (s, "400 Bad Request", now_us);
      return;
    }
  s->is_first_arrival = s->request->n_arrivals++ == 0;
  if (s->request->arrived_us == 0)
    s->request->arrived_us = now_us;
  if (e->n_waiting >= QUEUE_MAX)
    {
      refuse (s, "503 Service Unavailable", now_us);
      return;
    }
  s->arrived_us = now_us;
  s->deadline_us = deadline_ms[0] != '\0' ? now_us + (uint64_t)(strtod (deadline_ms, NULL) * 1000.0)
                                          : UINT64_MAX;
  s->next_event = (uint32_t)strtoul (s->values[FIELD_LAST_EVENT], NULL, 10);
  s->phase = PHASE_WAITING;
  e->n_waiting++;
}

static int
on_complete (http_parser *parser)
{
  Serve *s = parser->data;
  char fields[FIELD_SIZE * 2];
  snprintf (fields, sizeof fields, "X-Instance-Id: %s\r\n", s->endpoint->id);
  if (parser->method == HTTP_GET && strcmp (s->target, "/health") == 0)
    reply (s, "200 OK", fields, "");
  else if (strcmp (s->target, "/api/order") == 0)
    reply (s, "200 OK", "Content-Type: application/json\r\n", "{\"free_slots\":100000}");
  else if (strncmp (s->target, "/api/", 5) == 0)
    reply (s, "404 Not Found", "", "");
  else
    take_request (s, wl_clock_now_us ());
  return 0;
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_target,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_message_complete = on_complete,
};

static void
on_readable (void *data, WlSoakConn *conn)
{
  Serve *s = data;
  char bytes[READ_BYTES];
  int n = wl_soak_conn_read (conn, bytes, sizeof bytes);
  if (n == WL_SOAK_AGAIN)
    return;
  if (n > 0)
    http_parser_execute (&s->parser, &callbacks, bytes, (size_t)n);
  if (n > 0 && s->parser.http_errno == HPE_OK)
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
  http_parser_init (&s->parser, HTTP_REQUEST);
  s->parser.data = s;
  if (!wl_soak_conn_accept (listener, &s->conn))
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
on_acknowledged (void *data, int status, const char *body)
{
  WlSoakEndpoint *e = data;
  (void)body;
  if (status / 100 == 2)
    {
      e->is_known = 1;
      return;
    }
  e->node = (e->node + 1) % e->options.n_control;
  e->beat_us = 0;
}

static void
send_heartbeat (WlSoakEndpoint *e)
{
  char target[128];
  char body[HEAD_SIZE];
  uint32_t ip = e->options.ip;
  snprintf (target, sizeof target, "POST /api/Instances.Heartbeat/%s", e->id);
  snprintf (body, sizeof body,
            "{\"service\":\"service%u\",\"address\":\"%u.%u.%u.%u:%u\",\"zone\":\"zone-a\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"cold_left_ms\":0,"
            "\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
            "\"born\":%llu,\"seq\":%u}",
            e->options.service, ip >> 24, ip >> 16 & 255, ip >> 8 & 255, ip & 255, e->options.port,
            WL_SOAK_SLOTS, (unsigned long long)e->started_ms, ++e->sequence);
  wl_soak_call (e->options.control[e->node], e->options.control_port, target, body,
                HEARTBEAT_TIMEOUT_US, on_acknowledged, e);
}

WlSoakEndpoint *
wl_soak_endpoint_create (const WlSoakEndpointOptions *options)
{
  WlSoakEndpoint *e = calloc (1, sizeof *e);
  if (e == NULL)
    abort ();
  e->options = *options;
  e->node = options->number % options->n_control;
  e->started_ms = wl_clock_wall_us () / 1000;
  snprintf (e->id, sizeof e->id, "i-%08x", options->number + 0x50a00000);
  e->listener.readable = on_connection;
  e->listener.data = e;
  if (!wl_soak_conn_listen (&e->listener, options->ip, options->port))
    {
      free (e);
      return NULL;
    }
  return e;
}

void
wl_soak_endpoint_tick (WlSoakEndpoint *e, uint64_t now_us)
{
  if (now_us >= e->beat_us)
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
