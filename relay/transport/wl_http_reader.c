#include <string.h>
#include <strings.h>
#include "wl_http_reader.h"

enum
{
  FIELD_EXTRA_BYTES = 2, /* colon, space, CR and LF of a field line, less the two zeros in text */
};

static uint32_t
append_text (WlHttpHead *head, const char *at, size_t size)
{
  uint32_t offset = (uint32_t)head->text.size;
  static const uint8_t zero = 0;
  wl_buffer_append (&head->text, (WlBytes){ (const uint8_t *)at, (uint32_t)size });
  wl_buffer_append (&head->text, (WlBytes){ &zero, 1 });
  return offset;
}

/* Extends the text appended last: http_parser passes a text in pieces at read boundaries. */
static void
extend_text (WlHttpHead *head, const char *at, size_t size)
{
  static const uint8_t zero = 0;
  head->text.size--;
  wl_buffer_append (&head->text, (WlBytes){ (const uint8_t *)at, (uint32_t)size });
  wl_buffer_append (&head->text, (WlBytes){ &zero, 1 });
}

static int
on_begin (http_parser *p)
{
  WlHttpReader *r = p->data;
  WlBuffer text = r->head.text;
  text.size = 0;
  text.start = 0;
  memset (&r->head, 0, sizeof r->head);
  r->head.text = text;
  r->in_value = 1;
  r->has_head = 0;
  r->is_complete = 0;
  r->in_message = 1;
  r->body_bytes = 0;
  append_text (&r->head, "", 0);
  r->head.target = append_text (&r->head, "", 0);
  return 0;
}

static int
on_url (http_parser *p, const char *at, size_t size)
{
  WlHttpReader *r = p->data;
  extend_text (&r->head, at, size);
  return 0;
}

static int
on_field (http_parser *p, const char *at, size_t size)
{
  WlHttpReader *r = p->data;
  WlHttpHead *h = &r->head;
  if (!r->in_value)
    {
      extend_text (h, at, size);
      return 0;
    }
  if (r->has_head)
    return 0; /* a trailer field; not passed on */
  if (h->n_fields == WL_HTTP_FIELDS_MAX)
    {
      r->fault = WL_HTTP_FAULT_HEAD_SIZE;
      return 1;
    }
  r->in_value = 0;
  h->fields[h->n_fields].name = append_text (h, at, size);
  h->fields[h->n_fields].value = 0;
  h->n_fields++;
  return 0;
}

static int
on_value (http_parser *p, const char *at, size_t size)
{
  WlHttpReader *r = p->data;
  WlHttpHead *h = &r->head;
  if (r->has_head || h->n_fields == 0)
    return 0;
  if (r->in_value)
    extend_text (h, at, size);
  else
    h->fields[h->n_fields - 1].value = append_text (h, at, size);
  r->in_value = 1;
  return 0;
}

/* Servers differ in how they read blanks in field names, which allows request smuggling. */
static int
has_blank_in_name (const WlHttpHead *head)
{
  for (uint32_t i = 0; i < head->n_fields; i++)
    if (strpbrk (wl_http_head_text (head, head->fields[i].name), " \t") != NULL)
      return 1;
  return 0;
}

static int
is_close_delimited (const http_parser *p)
{
  const WlHttpReader *r = p->data;
  return p->type == HTTP_RESPONSE && p->status_code >= 200 && p->status_code != 204
         && p->status_code != 304 && !r->has_no_body
         && (p->flags & (F_CONTENTLENGTH | F_CHUNKED)) == 0;
}

/*
 * The interim statuses that a client has to expect. 101 answers an offered upgrade, and none is
 * ever offered; the framing of what follows it, or a status not known, would be a guess.
 */
static int
is_interim (uint32_t status)
{
  return status == 100 || status == 102 || status == 103;
}

/* Interim responses have no body: servers differ in where one with a length or chunks ends. */
static int
is_valid_response (const http_parser *p)
{
  int has_body
      = p->uses_transfer_encoding || ((p->flags & F_CONTENTLENGTH) != 0 && p->content_length > 0);
  if (p->http_major != 1)
    return 0;
  return is_interim (p->status_code) ? !has_body : p->status_code >= 200 && p->status_code < 600;
}

/* An endpoint could go on with interim responses, and hold its caller, for ever. */
static int
take_interim (WlHttpReader *r)
{
  r->interim_bytes += r->head.bytes;
  return ++r->n_interims <= WL_HTTP_INTERIMS_MAX;
}

/* Their length, if any, is that of the body they stand for. */
static int
has_no_body (const WlHttpReader *r)
{
  return r->has_no_body
         || (r->parser.type == HTTP_RESPONSE && (r->head.status == 204 || r->head.status == 304));
}

static int
on_head_done (http_parser *p)
{
  WlHttpReader *r = p->data;
  WlHttpHead *h = &r->head;
  const char *expect = wl_http_head_field (h, "Expect");
  h->method = (enum http_method)p->method;
  h->status = p->status_code;
  h->has_length = (p->flags & F_CONTENTLENGTH) != 0;
  h->length = h->has_length ? p->content_length : 0;
  h->is_close_delimited = (uint8_t)is_close_delimited (p);
  h->keep_alive = (uint8_t)http_should_keep_alive (p);
  h->expects_continue = expect != NULL && strcasecmp (expect, "100-continue") == 0;
  r->has_head = 1;
  if (has_blank_in_name (h) || (p->type == HTTP_RESPONSE && !is_valid_response (p)))
    {
      r->fault = WL_HTTP_FAULT_MALFORMED;
      return -1;
    }
  h->bytes = h->text.size + FIELD_EXTRA_BYTES * (uint64_t)h->n_fields;
  if (r->interim_bytes + h->bytes > r->head_limit)
    {
      r->fault = WL_HTTP_FAULT_HEAD_SIZE;
      return -1;
    }
  if (h->has_length && h->length > r->body_limit)
    {
      r->fault = WL_HTTP_FAULT_BODY_SIZE;
      return -1;
    }
  if (p->type == HTTP_RESPONSE && h->status < 200)
    {
      if (take_interim (r))
        return 0;
      r->fault = WL_HTTP_FAULT_HEAD_SIZE;
      return -1;
    }
  r->on_head (r->data);
  return has_no_body (r) ? 1 : 0;
}

static int
on_body (http_parser *p, const char *at, size_t size)
{
  WlHttpReader *r = p->data;
  r->body_bytes += size;
  if (r->body_bytes > r->body_limit)
    {
      r->fault = WL_HTTP_FAULT_BODY_SIZE;
      return 1;
    }
  r->on_body (r->data, (WlBytes){ (const uint8_t *)at, (uint32_t)size });
  return 0;
}

static int
on_complete (http_parser *p)
{
  WlHttpReader *r = p->data;
  r->in_message = 0;
  if (p->type == HTTP_RESPONSE && r->head.status < 200)
    return 0; /* an interim response; the final one follows */
  r->is_complete = 1;
  r->n_interims = 0;
  r->interim_bytes = 0;
  http_parser_pause (p, 1);
  return 0;
}

static const http_parser_settings settings = {
  .on_message_begin = on_begin,
  .on_url = on_url,
  .on_header_field = on_field,
  .on_header_value = on_value,
  .on_headers_complete = on_head_done,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
wl_http_reader_init (WlHttpReader *reader, int is_response)
{
  http_parser_init (&reader->parser, is_response ? HTTP_RESPONSE : HTTP_REQUEST);
  reader->parser.data = reader;
  reader->n_interims = 0;
  reader->interim_bytes = 0;
}

void
wl_http_reader_clear (WlHttpReader *reader)
{
  wl_buffer_clear (&reader->head.text);
}

static void
check_head_size (WlHttpReader *r, size_t bytes)
{
  if (r->has_head || !r->in_message)
    return;
  r->head.bytes += bytes;
  if (r->head.bytes > r->head_limit)
    r->fault = WL_HTTP_FAULT_HEAD_SIZE;
}

uint32_t
wl_http_reader_feed (WlHttpReader *reader, WlBytes bytes)
{
  if (reader->fault != WL_HTTP_FAULT_NONE || bytes.size == 0)
    return 0;
  size_t n = http_parser_execute (&reader->parser, &settings, (const char *)bytes.data, bytes.size);
  enum http_errno error = HTTP_PARSER_ERRNO (&reader->parser);
  if (error == HPE_PAUSED)
    {
      http_parser_pause (&reader->parser, 0);
      return (uint32_t)n;
    }
  if (error == HPE_HEADER_OVERFLOW)
    reader->fault = WL_HTTP_FAULT_HEAD_SIZE;
  else if (error != HPE_OK && reader->fault == WL_HTTP_FAULT_NONE)
    reader->fault = WL_HTTP_FAULT_MALFORMED;
  else
    check_head_size (reader, n);
  return (uint32_t)n;
}

int
wl_http_reader_finish (WlHttpReader *reader)
{
  if (reader->fault != WL_HTTP_FAULT_NONE)
    return 0;
  if (!reader->in_message)
    return 1;
  http_parser_execute (&reader->parser, &settings, NULL, 0);
  if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_PAUSED)
    return 0;
  http_parser_pause (&reader->parser, 0);
  return 1;
}

const char *
wl_http_head_text (const WlHttpHead *head, uint32_t offset)
{
  return (const char *)head->text.data + offset;
}

const char *
wl_http_head_field (const WlHttpHead *head, const char *name)
{
  for (uint32_t i = 0; i < head->n_fields; i++)
    if (strcasecmp (wl_http_head_text (head, head->fields[i].name), name) == 0)
      return wl_http_head_text (head, head->fields[i].value);
  return NULL;
}

/* Whether a comma-separated list contains a token, ignoring case. */
static int
list_contains (const char *list, const char *token)
{
  size_t size = strlen (token);
  while (*list != '\0')
    {
      list += strspn (list, ", \t");
      size_t n = strcspn (list, ", \t");
      if (n == size && strncasecmp (list, token, n) == 0)
        return 1;
      list += n;
    }
  return 0;
}

int
wl_http_is_hop_field (const WlHttpHead *head, const char *name)
{
  static const char *const fixed[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect",
  };
  for (size_t i = 0; i < sizeof fixed / sizeof *fixed; i++)
    if (strcasecmp (name, fixed[i]) == 0)
      return 1;
  for (uint32_t i = 0; i < head->n_fields; i++)
    if (strcasecmp (wl_http_head_text (head, head->fields[i].name), "Connection") == 0
        && list_contains (wl_http_head_text (head, head->fields[i].value), name))
      return 1;
  return 0;
}
