#ifndef WL_RAW_CLIENT_H
#define WL_RAW_CLIENT_H

#include <stddef.h>
#include <stdint.h>

/* A caller on a plain socket, for tests of servers: what it sends is written out byte for byte. */

/**
 * struct RawClient - a connection and what came back on it
 * @fd: the socket
 * @answer: bytes received, with a terminating zero
 * @size: number of bytes
 * @taken_bytes: bytes received by raw_client_take()
 * @error: errno of the failed receive when the connection was reset, else 0
 * @is_closed: the server has closed or reset the connection
 */
typedef struct
{
  int fd;
  char answer[65536];
  size_t size;
  uint64_t taken_bytes;
  int error;
  int is_closed;
} RawClient;

/**
 * struct RawResponse - the first response among the bytes that came back
 * @status: its status, 0 while its head is not complete
 * @is_whole: it is complete by its length, its last chunk, or an orderly close
 * @body: its body, as far as there is room
 * @size: size of the body
 */
typedef struct
{
  uint32_t status;
  int is_whole;
  char body[4096];
  size_t size;
} RawResponse;

/** raw_client_read() - reads the response as it has arrived so far; fails for bytes that are none
 */
void raw_client_read (const RawClient *client, RawResponse *out);

/** raw_client_connect() - connects to a loopback port */
void raw_client_connect (RawClient *client, uint16_t port);

/** raw_client_connect_to() - connects to a port of an address in host byte order */
void raw_client_connect_to (RawClient *client, uint32_t address, uint16_t port);

/** raw_client_connect_with_buffer() - connects with a receive buffer of a given size */
void raw_client_connect_with_buffer (RawClient *client, uint16_t port, int buffer_bytes);

/** raw_client_send() - sends a text */
void raw_client_send (RawClient *client, const char *text);

/** raw_client_receive() - takes what has arrived */
void raw_client_receive (RawClient *client);

/** raw_client_take() - takes up to @max_bytes of what has arrived, and only counts them */
void raw_client_take (RawClient *client, size_t max_bytes);

/** raw_client_close() - closes the connection */
void raw_client_close (RawClient *client);

#endif
