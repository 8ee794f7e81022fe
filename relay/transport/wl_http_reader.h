#ifndef WL_HTTP_READER_H
#define WL_HTTP_READER_H

#include <http_parser.h>
#include "wl_buffer.h"

/*
 * Incremental HTTP/1.1 parser, a layer on http_parser. Method, target, fields
 * and body are passed on byte for byte. The reader stops at the end of each
 * message, so that pipelined bytes remain with the caller.
 */

enum
{
  WL_HTTP_FIELDS_MAX = 96,  /* header fields of one message */
  WL_HTTP_INTERIMS_MAX = 8, /* interim responses before a final one */
};

/** struct WlHttpField - header field, as offsets into WlHttpHead.text */
typedef struct
{
  uint32_t name;
  uint32_t value;
} WlHttpField;

/**
 * struct WlHttpHead - start line and header fields of one message
 * @text: target, field names and values, each zero-terminated
 * @fields: header fields in order, @n_fields of them
 * @target: offset of the request target in @text
 * @method: request method, from http_parser
 * @status: response status
 * @length: value of Content-Length, when @has_length
 * @is_close_delimited: the response's body ends with its connection: no length, no chunks
 * @keep_alive: the connection may be used for another message
 * @expects_continue: the client waits for 100 (Continue) before it sends the body
 * @bytes: size of the head as received
 */
typedef struct
{
  WlBuffer text;
  WlHttpField fields[WL_HTTP_FIELDS_MAX];
  uint32_t n_fields;
  uint32_t target;
  enum http_method method;
  uint32_t status;
  uint64_t length;
  uint8_t has_length;
  uint8_t is_close_delimited;
  uint8_t keep_alive;
  uint8_t expects_continue;
  uint64_t bytes;
} WlHttpHead;

/**
 * enum WlHttpFault - why a message is rejected
 * @WL_HTTP_FAULT_NONE: no fault
 * @WL_HTTP_FAULT_MALFORMED: not HTTP/1, a status outside 200 to 599 that is no
 *   interim one, or ambiguous framing
 * @WL_HTTP_FAULT_HEAD_SIZE: the head exceeds the limit, alone or with the interim
 *   responses before it, or there are more than WL_HTTP_INTERIMS_MAX of them
 * @WL_HTTP_FAULT_BODY_SIZE: the body exceeds the limit
 */
typedef enum
{
  WL_HTTP_FAULT_NONE,
  WL_HTTP_FAULT_MALFORMED,
  WL_HTTP_FAULT_HEAD_SIZE,
  WL_HTTP_FAULT_BODY_SIZE,
} WlHttpFault;

/**
 * struct WlHttpReader - state of a reader
 * @head: head of the current message
 * @fault: why the reader stopped; it cannot be used any more
 * @head_limit: largest head in bytes
 * @body_limit: largest body in bytes
 * @body_bytes: bytes of the current body so far
 * @on_head: called when the head is complete
 * @on_body: called with each part of the body
 * @data: passed to the callbacks
 * @interim_bytes: size of the heads of the interim responses so far
 * @n_interims: interim responses so far
 * @has_no_body: the response has no body, whatever its head says (HEAD)
 * @in_value: the latest piece of a header field was a value, not a name
 * @has_head: the head of the current message is complete
 * @in_message: a message has begun and is not complete
 * @is_complete: a message is complete; the caller resets it to 0
 */
typedef struct
{
  http_parser parser;
  WlHttpHead head;
  WlHttpFault fault;
  uint64_t head_limit;
  uint64_t body_limit;
  uint64_t body_bytes;
  void (*on_head) (void *data);
  void (*on_body) (void *data, WlBytes bytes);
  void *data;
  uint64_t interim_bytes;
  uint32_t n_interims;
  uint8_t has_no_body;
  uint8_t in_value;
  uint8_t has_head;
  uint8_t in_message;
  uint8_t is_complete;
} WlHttpReader;

/**
 * wl_http_reader_init() - initialises a reader
 * @reader: zeroed reader with limits and callbacks set
 * @is_response: 1 to read responses, 0 to read requests
 */
void wl_http_reader_init (WlHttpReader *reader, int is_response);

/**
 * wl_http_reader_clear() - frees the memory of a reader
 * @reader: the reader
 */
void wl_http_reader_clear (WlHttpReader *reader);

/**
 * wl_http_reader_feed() - reads bytes up to the end of a message
 * @reader: the reader
 * @bytes: received bytes
 *
 * Return: number of bytes consumed; fewer than given after a complete message
 * (see @is_complete) or when the reader has set @fault.
 */
uint32_t wl_http_reader_feed (WlHttpReader *reader, WlBytes bytes);

/**
 * wl_http_reader_finish() - handles the end of the connection
 * @reader: the reader
 *
 * Completes a response whose body ends with its connection.
 *
 * Return: 1, or 0 when a message is incomplete.
 */
int wl_http_reader_finish (WlHttpReader *reader);

/**
 * wl_http_head_field() - value of the first field with a name
 * @head: the head
 * @name: field name, case-insensitive
 *
 * Return: the value, owned by @head; NULL when there is none.
 */
const char *wl_http_head_field (const WlHttpHead *head, const char *name);

/**
 * wl_http_head_text() - text at an offset
 * @head: the head
 * @offset: an offset stored in @head
 *
 * Return: the text, owned by @head.
 */
const char *wl_http_head_text (const WlHttpHead *head, uint32_t offset);

/**
 * wl_http_is_hop_field() - whether a field is hop-by-hop and must not be forwarded
 * @head: the message
 * @name: field name, case-insensitive
 *
 * Covers the fixed list of RFC 9110 section 7.6.1, the framing fields, which
 * the sender generates anew, and the fields named by Connection.
 *
 * Return: 1 or 0.
 */
int wl_http_is_hop_field (const WlHttpHead *head, const char *name);

#endif
