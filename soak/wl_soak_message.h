#ifndef WL_SOAK_MESSAGE_H
#define WL_SOAK_MESSAGE_H

#include <http_parser.h>

/* Reads HTTP messages of one connection, with the fields that callers and endpoints use. */

typedef enum
{
  WL_SOAK_FIELD_ID,         /* X-Attempt-Id */
  WL_SOAK_FIELD_EXPECTED,   /* X-Expect-Instance */
  WL_SOAK_FIELD_DEADLINE,   /* X-Deadline-Ms */
  WL_SOAK_FIELD_LAST_EVENT, /* Last-Event-Id */
  WL_SOAK_FIELD_HELPERS,    /* X-Helpers */
  WL_SOAK_FIELD_SEAL,       /* X-Server-Seal */
  WL_SOAK_FIELDS,
} WlSoakField;

enum
{
  WL_SOAK_TEXT_SIZE = 256,
};

typedef struct WlSoakMessage WlSoakMessage;

/**
 * struct WlSoakMessage - a reader and the message that it reads
 * @values: of the fields, empty if missing
 * @began, @body, @complete: called with @data; a result other than 0 ends the reading
 */
struct WlSoakMessage
{
  http_parser parser;
  char target[WL_SOAK_TEXT_SIZE];
  char values[WL_SOAK_FIELDS][WL_SOAK_TEXT_SIZE];
  char name[WL_SOAK_TEXT_SIZE];
  uint8_t is_in_value;
  int (*began) (void *data);
  int (*head) (void *data);
  int (*body) (void *data, const char *bytes, size_t size);
  int (*complete) (void *data);
  void *data;
};

/** wl_soak_message_reset() - begins a connection; @type as of http_parser */
void wl_soak_message_reset (WlSoakMessage *message, enum http_parser_type type);

/** wl_soak_message_read() - takes bytes of the connection, @size 0 for its end; 0 when invalid */
int wl_soak_message_read (WlSoakMessage *message, const char *bytes, size_t size);

#endif
