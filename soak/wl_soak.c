#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include "wl_soak.h"

enum
{
  CALL_TIMEOUT_MS = 1000,
};

static uint32_t n_broken;

void
wl_soak_call_with (const WlSoak *soak, uint32_t node, const WlHttpParams *params)
{
  char address[32];
  uint32_t ip = soak->options.net + node + 1;
  WlHttpParams call = *params;
  snprintf (address, sizeof address, "127.%u.%u.%u", ip >> 16 & 255, ip >> 8 & 255, ip & 255);
  call.address = address;
  wl_http_client_call (soak->client, &call);
}

void
wl_soak_call (const WlSoak *soak, uint32_t node, uint16_t port, const char *path, const char *body,
              void (*received) (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes),
              void (*done) (void *data, WlHttpCall *call, const WlHttpResult *result), void *data)
{
  WlHttpParams params = {
    .method = body[0] != '\0' ? "POST" : "GET",
    .port = port,
    .path = path,
    .type = "application/json",
    .body = { (const uint8_t *)body, (uint32_t)strlen (body) },
    .timeout_ms = CALL_TIMEOUT_MS,
    .received = received,
    .done = done,
    .data = data,
  };
  wl_soak_call_with (soak, node, &params);
}

void
wl_soak_broken (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  printf ("broken: ");
  vprintf (format, arguments);
  printf ("\n");
  va_end (arguments);
  n_broken++;
}

uint32_t
wl_soak_n_broken (void)
{
  return n_broken;
}

uint64_t
wl_soak_random (uint64_t *state)
{
  /* splitmix64 */
  uint64_t z = *state += 0x9e3779b97f4a7c15;
  z = (z ^ z >> 30) * 0xbf58476d1ce4e5b9;
  z = (z ^ z >> 27) * 0x94d049bb133111eb;
  return z ^ z >> 31;
}

uint32_t
wl_soak_between (uint64_t *state, uint32_t low, uint32_t high)
{
  return low + (uint32_t)(wl_soak_random (state) % (high - low + 1));
}
