#ifndef WL_HTTP_READER_H
#define WL_HTTP_READER_H

#include <http_parser.h>
#include "wl_buffer.h"

/*
 * Incremental reader of HTTP/1.1 messages on http_parser. Method, target,
 * fields and body are handed on byte for byte. The reader stops at the end of
 * each message, so that pipelined bytes remain with the caller.
 */

enum
{
  WL_HTTP_FIELDS_MAX = 96, /* header fields of one message */
};

/** struct WlHttpField - offsets of a header field's texts in WlHttpHead.text */
typedef struct
{
  uint32_t name;
  uint32_t value;
} WlHttpField;

/**
 * struct WlHttpHead - start line and header fields of one message
 * @text: texts, each with a terminating zero
 * @fields: header fields in order, @n_fields of them
 * @target: offset of the request target
 * @method: request method, from http_parser
 * @status: response status
 * @length: value of Content-Length, when @has_length
 * @keep_alive: the connection may carry another message
 * @expects_continue: the request waits for 100 (Continue)
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
  uint8_t keep_alive;
  uint8_t expects_continue;
  uint64_t bytes;
} WlHttpHead;

/**
 * enum WlHttpFault - why a message cannot be read
 * @WL_HTTP_FAULT_NONE: no fault
 * @WL_HTTP_FAULT_MALFORMED: not HTTP, or ambiguous framing
 * @WL_HTTP_FAULT_HEAD_SIZE: the head exceeds the limit
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
 * @fault: why reading stopped for good
 * @head_limit: largest head in bytes
 * @body_limit: largest body in bytes
 * @on_head: called when the head is complete
 * @on_body: called with each part of the body
 * @data: passed to the functions
 * @skip_body: the response has no body whatever its head says
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
  uint8_t skip_body;
  uint8_t in_value;
  uint8_t head_done;
  uint8_t begun;
  uint8_t complete; /* a whole message was read; users set it back */
} WlHttpReader;

/**
 * wl_http_reader_init() - prepares a reader
 * @reader: zeroed reader with limits and functions set
 * @is_response: whether it reads responses
 */
void wl_http_reader_init (WlHttpReader *reader, int is_response);

/**
 * wl_http_reader_clear() - frees what a reader holds
 * @reader: the reader
 */
void wl_http_reader_clear (WlHttpReader *reader);

/**
 * wl_http_reader_feed() - reads bytes up to the end of a message
 * @reader: the reader
 * @bytes: received bytes
 *
 * Return: number of bytes consumed; fewer than given at the end of a message
 * or when @fault is set.
 */
uint32_t wl_http_reader_feed (WlHttpReader *reader, WlBytes bytes);

/**
 * wl_http_reader_finish() - the other end closed its side
 * @reader: the reader
 *
 * Completes a message that ends with its connection.
 *
 * Return: 1 when no message is left incomplete.
 */
int wl_http_reader_finish (WlHttpReader *reader);

/**
 * wl_http_head_field() - value of the first field with a name
 * @head: the head
 * @name: field name, any case
 *
 * Return: the value, or NULL.
 */
const char *wl_http_head_field (const WlHttpHead *head, const char *name);

/**
 * wl_http_head_text() - text at an offset
 * @head: the head
 * @offset: offset from @head
 *
 * Return: the text.
 */
const char *wl_http_head_text (const WlHttpHead *head, uint32_t offset);

/**
 * wl_http_is_hop_field() - whether a field concerns one connection only
 * @head: the message
 * @name: field name
 *
 * Covers the fixed list of RFC 9110 section 7.6.1, the framing fields that the
 * sender writes anew, and what Connection names.
 *
 * Return: 1 or 0.
 */
int wl_http_is_hop_field (const WlHttpHead *head, const char *name);

#endif
