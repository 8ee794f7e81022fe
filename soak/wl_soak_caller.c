#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <jansson.h>
#include <sys/socket.h>
#include "wl_clock.h"
#include "wl_soak_caller.h"
#include "wl_soak_conn.h"
#include "wl_soak_message.h"
#include "wl_soak_parts.h"
#include "wl_soak_request.h"

enum
{
  READ_BYTES = 65536,
  SLOW_READ_BYTES = 4096,
  SLOW_READ_INTERVAL_US = 20000,
  SLOW_RECEIVE_BYTES = 4096,
  SLOW_ANSWER_MAX_BYTES = 600000, /* read within 4 s */
  SEGMENT_BYTES = 1400,
  CONNECT_TIMEOUT_US = 1000000,
  RETRY_PAUSE_US = 50000,
  GRACE_PAST_DEADLINE_US
  = 500000, /* a node answers by the deadline; a caller waits a little longer */
  BIG_BODY_MAX_BYTES = 1000000,
  REFUSED_PAUSE_MS = 20,
  STAYS_PAUSE_MS = 5, /* of a caller that stays */
};

struct WlSoakCaller
{
  const WlSoak *soak;
  uint32_t number;
  uint32_t traits;
  uint64_t random;
  WlSoakConn conn;
  WlSoakMessage message;
  uint64_t connected_us;
  uint64_t connect_us; /* earliest time to connect */
  uint32_t node;
  uint8_t is_staying; /* with @node */

  uint32_t addresses[WL_SOAK_NODES_MAX]; /* nodes */
  uint32_t n_addresses;
  uint64_t addresses_end_us;
  uint8_t is_resolving;
  uint8_t has_answer; /* the connection has carried an answer */

  WlSoakRequest *current; /* whose answer is due */
  WlSoakRequest *next;    /* pipelined behind it */
  WlSoakRequest *sending; /* one of them, until all is sent */
  WlSoakRequest *broken;  /* to be resumed */
  uint64_t next_us;       /* earliest time of the next request */
  uint64_t leave_us;
  uint64_t read_us;

  WlBuffer text; /* left to send of a request */
  uint64_t piece_us;
  uint8_t closes; /* the answer announced it */
  WlBuffer resolved;
};

/* ---- the end of a request ---- */

static void
end_request (WlSoakCaller *c, WlSoakRequest *r, WlSoakEnd end, uint64_t now_us)
{
  r->end = (uint8_t)end;
  r->ended_us = now_us;
  if (c->sending == r)
    c->sending = NULL;
}

/* Only whole events count as received, and there must be one that was not. */
static int
may_resume (const WlSoakCaller *c, WlSoakEnd end)
{
  const WlSoakRequest *r = c->current;
  return c->traits & WL_SOAK_RESUMES && r != NULL && wl_soak_kinds[r->kind].may_resume
         && (end == WL_SOAK_CLOSED || end == WL_SOAK_BROKEN) && r->status == 200
         && r->body_bytes >= r->event_bytes && r->body_bytes < wl_soak_request_body_bytes (r);
}

static void
close_connection (WlSoakCaller *c, WlSoakEnd end)
{
  uint64_t now_us = wl_clock_now_us ();
  if (may_resume (c, end))
    c->broken = c->current;
  if (c->current != NULL)
    end_request (c, c->current, end, now_us);
  if (c->next != NULL)
    end_request (c, c->next, end, now_us);
  if (c->next != NULL)
    c->next->behind = c->current;
  c->current = c->next = c->sending = NULL;
  wl_buffer_clear (&c->text);
  wl_soak_conn_close (&c->conn, 0);
  c->connect_us = now_us;
  if (c->is_staying)
    c->connect_us += STAYS_PAUSE_MS * 1000;
  else if ((c->traits & WL_SOAK_PRESSES) == 0 || !c->has_answer)
    c->connect_us += RETRY_PAUSE_US;
}

/* ---- reading ---- */

static int
on_begin (void *data)
{
  WlSoakCaller *c = data;
  c->closes = 0;
  return c->current == NULL;
}

static int
on_head (void *data)
{
  WlSoakCaller *c = data;
  WlSoakRequest *r = c->current;
  const char *id = c->message.values[WL_SOAK_FIELD_ID];
  r->status = c->message.parser.status_code;
  r->answered_us = wl_clock_now_us ();
  r->has_seal = c->message.values[WL_SOAK_FIELD_SEAL][0] != '\0';
  r->has_wrong_id = id[0] != '\0' && strcmp (id, r->id) != 0;
  c->closes = !http_should_keep_alive (&c->message.parser);
  return 0;
}

static int
on_body (void *data, const char *bytes, size_t size)
{
  WlSoakCaller *c = data;
  WlSoakRequest *r = c->current;
  char expected[READ_BYTES];
  if (r->status == 200 && r->body_bytes + size <= wl_soak_request_body_bytes (r))
    {
      wl_soak_request_body (r, (uint64_t)r->first_event * r->event_bytes + r->body_bytes, expected,
                            size);
      r->has_other_bytes |= memcmp (expected, bytes, size) != 0;
    }
  r->body_bytes += size;
  return 0;
}

static int
on_complete (void *data)
{
  WlSoakCaller *c = data;
  WlSoakRequest *r = c->current;
  uint64_t now_us = wl_clock_now_us ();
  uint32_t pause_ms = c->traits & WL_SOAK_PRESSES ? 0 : wl_soak_between (&c->random, 0, 500);
  if (r->status >= 400 && c->is_staying)
    pause_ms = STAYS_PAUSE_MS;
  else if (r->status >= 400 && pause_ms < REFUSED_PAUSE_MS)
    pause_ms = REFUSED_PAUSE_MS;
  end_request (c, r, WL_SOAK_ANSWERED, now_us);
  c->current = c->next;
  c->next = NULL;
  if (c->current != NULL)
    c->current->turn_us = now_us;
  c->has_answer = 1;
  c->next_us = now_us + pause_ms * 1000u;
  if (!c->closes && (c->traits & (WL_SOAK_ANEW | WL_SOAK_HALF)) == 0)
    return 0;
  if (c->current != NULL)
    c->current->behind = r;
  /* A caller that stays uses up the ports of the machine unless its connections leave none waiting.
   */
  if (r->status >= 400 && c->is_staying)
    wl_soak_conn_close (&c->conn, 1);
  close_connection (c, WL_SOAK_CLOSED);
  return 1;
}

static void
on_readable (void *data, WlSoakConn *conn)
{
  WlSoakCaller *c = data;
  char bytes[READ_BYTES];
  int is_slow = c->traits & WL_SOAK_SLOW;
  int n = wl_soak_conn_read (conn, bytes, is_slow ? SLOW_READ_BYTES : sizeof bytes);
  if (n == WL_SOAK_AGAIN)
    return;
  int is_valid = n >= 0 && wl_soak_message_read (&c->message, bytes, (size_t)n);
  if (conn->fd < 0)
    return;
  if (n <= 0 || !is_valid)
    {
      if (n > 0 && c->current == NULL)
        wl_soak_broken ("caller %u got bytes without a request from node %u", c->number, c->node);
      if (n == WL_SOAK_RESET && c->current == NULL && !c->has_answer)
        c->is_staying = 0; /* the node is gone */
      close_connection (c, n == 0 ? WL_SOAK_CLOSED : WL_SOAK_BROKEN);
      return;
    }
  if (is_slow)
    {
      c->read_us = wl_clock_now_us () + SLOW_READ_INTERVAL_US;
      wl_soak_conn_pause (conn, 1);
    }
}

/* ---- addresses ---- */

static void
on_addresses (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes)
{
  WlSoakCaller *c = data;
  (void)call;
  if (status == 200)
    wl_buffer_append (&c->resolved, bytes);
}

/* Without addresses in the response, the caller keeps those that it has and asks again. */
static void
on_resolved (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  WlSoakCaller *c = data;
  WlBytes text = wl_buffer_bytes (&c->resolved);
  json_t *o = result->is_complete ? json_loadb ((const char *)text.data, text.size, 0, NULL) : NULL;
  const json_t *list = json_object_get (o, "addresses");
  double ttl_s = json_number_value (json_object_get (o, "ttl_s"));
  uint64_t now_us = wl_clock_now_us ();
  size_t i;
  const json_t *item;
  (void)call;
  c->is_resolving = 0;
  c->connect_us = now_us + RETRY_PAUSE_US;
  json_array_foreach (list, i, item)
  {
    unsigned last = 0;
    if (i < WL_SOAK_NODES_MAX && sscanf (json_string_value (item), "%*u.%*u.%*u.%u", &last) == 1)
      c->addresses[i] = last - 1;
    c->n_addresses = i < WL_SOAK_NODES_MAX ? (uint32_t)i + 1 : WL_SOAK_NODES_MAX;
    c->addresses_end_us = now_us + (uint64_t)(ttl_s * (c->traits & WL_SOAK_STALE ? 3e6 : 1e6));
    c->connect_us = now_us;
  }
  json_decref (o);
  wl_buffer_clear (&c->resolved);
}

static void
resolve (WlSoakCaller *c)
{
  uint32_t node = wl_soak_between (&c->random, 0, c->soak->options.n_nodes - 1);
  char path[] = "/api/resolve?name=soak.example&region=region&zone=zone-a";
  path[sizeof path - 2] += (char)(c->number % c->soak->options.n_zones);
  c->is_resolving = 1;
  wl_soak_call (c->soak, node, WL_SOAK_DIRECTORY_PORT, path, "", on_addresses, on_resolved, c);
}

static void
connect_to_node (WlSoakCaller *c, uint64_t now_us)
{
  if (!c->is_staying && now_us >= c->addresses_end_us)
    {
      if (!c->is_resolving)
        resolve (c);
      return;
    }
  if (!c->is_staying)
    c->node = c->addresses[wl_soak_between (&c->random, 0, c->n_addresses - 1)];
  c->is_staying = (c->traits & WL_SOAK_STAYS) != 0;
  c->connected_us = now_us;
  c->has_answer = 0;
  wl_soak_message_reset (&c->message, HTTP_RESPONSE);
  wl_soak_conn_connect (&c->conn, c->soak, c->soak->options.net + c->node + 1, WL_SOAK_FRONT_PORT,
                        c->traits & WL_SOAK_SLOW ? SLOW_RECEIVE_BYTES : 0,
                        c->traits & WL_SOAK_NETWORK ? SEGMENT_BYTES : 0);
}

/* ---- sending ---- */

static WlSoakKind
choose_kind (uint64_t *random)
{
  static const uint8_t shares[WL_SOAK_KINDS] = { 30, 35, 10, 15, 10 }; /* per cent */
  uint32_t at = wl_soak_between (random, 0, 99);
  uint32_t kind = 0;
  while (at >= shares[kind])
    at -= shares[kind++];
  return (WlSoakKind)kind;
}

static void
add_text (WlSoakCaller *c, const char *text)
{
  wl_buffer_append (&c->text, (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) });
}

static void
write_request (WlSoakCaller *c, const WlSoakRequest *r)
{
  char line[512];
  char parts[WL_SOAK_PARTS_SIZE];
  const WlSoakKindInfo *kind = &wl_soak_kinds[r->kind];
  uint32_t size = c->traits & WL_SOAK_BIG ? wl_soak_between (&c->random, 0, BIG_BODY_MAX_BYTES)
                                          : wl_soak_between (&c->random, 0, 2000);
  char *body = malloc (size + 1);
  if (body == NULL)
    abort ();
  memset (body, 'q', size);
  body[size] = '\0';
  snprintf (line, sizeof line,
            "POST /%s/item HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: %s\r\n"
            "X-Deadline-Ms: %u\r\nX-Api-Key: key-%u\r\n",
            kind->name, r->id, r->deadline_ms, c->number % 2);
  add_text (c, line);
  if (kind->service == 0)
    {
      wl_soak_parts_write (r, parts);
      snprintf (line, sizeof line, "X-Model: m\r\nX-Token-Count: %u,%u\r\nX-Prompt-Prefix: %s\r\n",
                r->prompt_tokens, r->n_events, parts);
      add_text (c, line);
    }
  if (r->origin != NULL)
    {
      snprintf (line, sizeof line, "Last-Event-Id: %u\r\n", r->first_event);
      add_text (c, line);
    }
  if (r->has_chunked_body && size > 1)
    {
      int first = (int)wl_soak_between (&c->random, 1, size - 1);
      snprintf (line, sizeof line, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", (unsigned)first);
      add_text (c, line);
      wl_buffer_append (&c->text, (WlBytes){ (const uint8_t *)body, (uint32_t)first });
      snprintf (line, sizeof line, "\r\n%x\r\n", size - (unsigned)first);
      add_text (c, line);
      add_text (c, body + first);
      add_text (c, "\r\n0\r\n\r\n");
    }
  else
    {
      snprintf (line, sizeof line, "Content-Length: %u\r\n\r\n", size);
      add_text (c, line);
      add_text (c, body);
    }
  free (body);
}

static void
begin_request (WlSoakCaller *c, uint64_t now_us)
{
  const WlSoakOptions *o = &c->soak->options;
  const WlSoakRequest *broken = c->current == NULL ? c->broken : NULL;
  WlSoakKind kind = broken != NULL ? (WlSoakKind)broken->kind : choose_kind (&c->random);
  WlSoakRequest *r = wl_soak_request_add (kind, c->number, &c->random);
  if (o->is_sound)
    r->fault = WL_SOAK_SOUND;
  if (o->unframed > 0 && wl_soak_between (&c->random, 0, 99) < o->unframed)
    r->framing = WL_SOAK_UNTIL_CLOSE;
  if (o->hurried > 0 && wl_soak_between (&c->random, 0, 99) < o->hurried)
    r->deadline_ms = wl_soak_between (&c->random, 400, 4000);
  if (broken != NULL)
    wl_soak_request_resume (r, broken);
  r->is_slow_reader = (c->traits & WL_SOAK_SLOW) != 0;
  if (broken != NULL)
    c->broken = NULL;
  else if (r->is_slow_reader && wl_soak_request_body_bytes (r) > SLOW_ANSWER_MAX_BYTES)
    r->event_bytes = SLOW_ANSWER_MAX_BYTES / r->n_events;
  r->node = c->node;
  r->connected_us = c->connected_us;
  r->started_us = now_us;
  r->traits = c->traits;
  wl_soak_parts_plan (r, now_us);
  r->turn_us = now_us;
  if (c->current == NULL)
    c->current = r;
  else
    c->next = r;
  c->sending = r;
  c->piece_us = 0;
  c->leave_us = UINT64_MAX;
  if (c->traits & WL_SOAK_LEAVES && wl_soak_between (&c->random, 0, 3) == 0)
    c->leave_us = now_us + wl_soak_between (&c->random, 0, 4000) * 1000u;
  write_request (c, r);
}

static void
send_more (WlSoakCaller *c, uint64_t now_us)
{
  WlBytes left = wl_buffer_bytes (&c->text);
  uint32_t size = left.size;
  if (now_us >= c->piece_us && size > 0)
    {
      if (c->traits & WL_SOAK_PIECES)
        size = wl_soak_between (&c->random, 1, size);
      if (size < left.size)
        c->piece_us = now_us + wl_soak_between (&c->random, 1, 300) * 1000u;
      wl_soak_conn_send (&c->conn, left.data, size);
      wl_buffer_take (&c->text, size);
    }
  if (wl_buffer_left (&c->text) > 0 || wl_buffer_left (&c->conn.out) > 0 || c->conn.is_connecting)
    return;
  c->sending->sent_us = wl_clock_now_us ();
  c->sending = NULL;
  if (c->traits & WL_SOAK_HALF)
    shutdown (c->conn.fd, SHUT_WR);
}

WlSoakCaller *
wl_soak_caller_create (const WlSoak *soak, uint32_t number, uint64_t seed)
{
  WlSoakCaller *c = calloc (1, sizeof *c);
  if (c == NULL)
    abort ();
  c->soak = soak;
  c->number = number;
  c->random = seed;
  c->conn = (WlSoakConn){ .fd = -1, .readable = on_readable, .data = c };
  c->message.began = on_begin;
  c->message.head = on_head;
  c->message.body = on_body;
  c->message.complete = on_complete;
  c->message.data = c;
  for (uint32_t bit = 1; bit < WL_SOAK_ALL_TRAITS; bit *= 2)
    if (wl_soak_between (&c->random, 0, 99) < soak->options.share)
      c->traits |= bit & soak->options.traits;
  if (soak->options.stays > 0 && wl_soak_between (&c->random, 0, 99) < soak->options.stays)
    c->traits = (c->traits | WL_SOAK_STAYS | WL_SOAK_PRESSES) & ~(uint32_t)WL_SOAK_HALF;
  if (soak->options.resumes > 0 && wl_soak_between (&c->random, 0, 99) < soak->options.resumes)
    c->traits |= WL_SOAK_RESUMES;
  if (c->traits & (WL_SOAK_ANEW | WL_SOAK_HALF))
    c->traits &= ~(uint32_t)WL_SOAK_PIPELINES;
  return c;
}

static int
may_begin (const WlSoakCaller *c, uint64_t now_us)
{
  if (c->sending != NULL || c->conn.is_connecting)
    return 0;
  if (c->current == NULL)
    return now_us >= c->next_us;
  return c->traits & WL_SOAK_PIPELINES && c->next == NULL && c->has_answer;
}

int
wl_soak_caller_tick (WlSoakCaller *c, uint64_t now_us, int is_ending)
{
  if (c->conn.fd < 0 && !is_ending && now_us >= c->connect_us)
    connect_to_node (c, now_us);
  if (c->conn.fd < 0)
    return !is_ending;
  if (c->conn.is_connecting && now_us > c->connected_us + CONNECT_TIMEOUT_US)
    {
      c->is_staying = 0;
      close_connection (c, WL_SOAK_LEFT);
    }
  else if (!is_ending && may_begin (c, now_us))
    begin_request (c, now_us);
  if (c->conn.fd >= 0 && c->sending != NULL)
    send_more (c, now_us);
  if (c->conn.is_paused && now_us >= c->read_us)
    wl_soak_conn_pause (&c->conn, 0);
  if (c->current == NULL)
    return !is_ending;
  uint64_t limit_us = (uint64_t)c->current->deadline_ms * 1000;
  if (now_us > c->leave_us || now_us > c->current->started_us + limit_us + GRACE_PAST_DEADLINE_US)
    close_connection (c, WL_SOAK_LEFT);
  return 1;
}

void
wl_soak_caller_destroy (WlSoakCaller *c)
{
  if (c == NULL)
    return;
  wl_soak_conn_close (&c->conn, 0);
  wl_buffer_clear (&c->text);
  wl_buffer_clear (&c->resolved);
  free (c);
}
