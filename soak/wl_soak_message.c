#include <stdio.h>
#include <string.h>
#include <strings.h>
#include "wl_soak_message.h"

static const char *const field_names[WL_SOAK_FIELDS] = {
  "X-Attempt-Id",  "X-Expect-Instance", "X-Deadline-Ms",
  "Last-Event-Id", "X-Helpers",         "X-Server-Seal",
};

static void
append (char *out, const char *data, size_t size)
{
  size_t used = strlen (out);
  if (used + size < WL_SOAK_TEXT_SIZE)
    snprintf (out + used, WL_SOAK_TEXT_SIZE - used, "%.*s", (int)size, data);
}

static int
on_begin (http_parser *parser)
{
  WlSoakMessage *m = parser->data;
  memset (m->values, 0, sizeof m->values);
  m->target[0] = m->name[0] = '\0';
  m->is_in_value = 0;
  return m->began != NULL ? m->began (m->data) : 0;
}

static int
on_target (http_parser *parser, const char *data, size_t size)
{
  WlSoakMessage *m = parser->data;
  append (m->target, data, size);
  return 0;
}

static int
on_name (http_parser *parser, const char *data, size_t size)
{
  WlSoakMessage *m = parser->data;
  if (m->is_in_value)
    m->name[0] = '\0';
  m->is_in_value = 0;
  append (m->name, data, size);
  return 0;
}

static int
on_value (http_parser *parser, const char *data, size_t size)
{
  WlSoakMessage *m = parser->data;
  m->is_in_value = 1;
  for (int i = 0; i < WL_SOAK_FIELDS; i++)
    if (strcasecmp (m->name, field_names[i]) == 0)
      append (m->values[i], data, size);
  return 0;
}

static int
on_head (http_parser *parser)
{
  WlSoakMessage *m = parser->data;
  return m->head != NULL ? m->head (m->data) : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  WlSoakMessage *m = parser->data;
  return m->body != NULL ? m->body (m->data, data, size) : 0;
}

static int
on_complete (http_parser *parser)
{
  WlSoakMessage *m = parser->data;
  return m->complete (m->data);
}

static const http_parser_settings callbacks = {
  .on_message_begin = on_begin,
  .on_url = on_target,
  .on_header_field = on_name,
  .on_header_value = on_value,
  .on_headers_complete = on_head,
  .on_body = on_body,
  .on_message_complete = on_complete,
};

void
wl_soak_message_reset (WlSoakMessage *message, enum http_parser_type type)
{
  http_parser_init (&message->parser, type);
  message->parser.data = message;
}

int
wl_soak_message_read (WlSoakMessage *message, const char *bytes, size_t size)
{
  http_parser_execute (&message->parser, &callbacks, bytes, size);
  return message->parser.http_errno == HPE_OK;
}
