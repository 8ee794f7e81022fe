#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include <curl/curl.h>
#include <sodium.h>
#include "wl_clock.h"
#include "wl_engine.h"
#include "wl_http_client.h"
#include "wl_raw_client.h"
#include "wl_test.h"
#include "wl_test_loopback.h"

/* The emulated engine itself, on the loopback. */

enum
{
  SPEED = 20,
  AWAY_US = ENGINE_AWAY_US / SPEED,
};

static const char *const harmful[] = { "part-7" };
static const EngineOptions options = {
  .service = "llm",
  .endpoint_key = "key",
  .speed = SPEED,
  .prefill_tps = 20000,
  .decode_us = 12000,
  .kv_capacity = 400000,
  .slots = 32,
  .ends_on = harmful,
  .n_ends_on = 1,
  .limit = "0.4",
  .witness = -1,
};

typedef struct
{
  WlReactor *reactor;
  WlHttpClient *client;
  WlHttpResult result;
  char text[4096];
  size_t size;
  uint8_t is_done;
} Fixture;

static Fixture f;
static char address[WL_TEST_IP_SIZE];
static uint16_t port;
static Engine *engine; /* there is no end of an engine but that of its process */

static void
received (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes)
{
  (void)data, (void)call, (void)status;
  ck_assert_uint_lt (f.size + bytes.size, sizeof f.text);
  memcpy (f.text + f.size, bytes.data, bytes.size);
  f.size += bytes.size;
}

static void
done (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  (void)data, (void)call;
  f.result = *result;
  f.is_done = 1;
}

static void
open_fixture (void)
{
  wl_test_loopback_text (1, address);
  wl_test_free_ports (&port, 1);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  ck_assert_int_eq (wl_http_client_create (f.reactor, &f.client), WL_OK);
  engine = engine_create (&options, f.reactor, f.client, "engine", "domain", address, port);
  ck_assert_ptr_nonnull (engine);
}

static void
poll_once (void)
{
  wl_reactor_poll (f.reactor, 1000);
  uint64_t now_us = wl_clock_now_us ();
  wl_http_client_run (f.client, now_us);
  engine_tick (engine, now_us);
}

/* Asks the engine and waits for the end of its answer. */
static void
ask (const char *prompt)
{
  char body[256];
  int n = snprintf (body, sizeof body, "{\"messages\":[{\"content\":\"%s\"}],\"max_tokens\":3}",
                    prompt);
  WlHttpParams params = { .method = "POST",
                          .address = address,
                          .port = port,
                          .path = "/v1/chat/completions",
                          .type = "application/json",
                          .body = { (const uint8_t *)body, (uint32_t)n },
                          .header = "Wisterialoft-Attempt: request=1;attempt=1;rank=0;offset=0",
                          .timeout_ms = 5000,
                          .received = received,
                          .done = done };
  memset (f.text, 0, sizeof f.text);
  f.size = 0;
  f.is_done = 0;
  wl_http_client_call (f.client, &params);
  while (!f.is_done)
    poll_once ();
}

/* Guards against a stand-in that survives the part that it is told to end on. */
START_TEST (an_engine_ends_before_its_first_token_and_comes_back)
{
  open_fixture ();
  ask ("all is well");
  ck_assert (f.result.is_complete && f.result.status == 200);
  ck_assert_ptr_nonnull (strstr (f.text, "[DONE]"));

  uint64_t ended_us = wl_clock_now_us ();
  ask ("a prompt with part-7 in it");
  ck_assert (!f.result.is_complete);
  ck_assert_ptr_null (strstr (f.text, "id: 0"));
  ask ("all is well");
  ck_assert_uint_eq (f.result.status, 0);
  ck_assert (!f.result.is_sent);

  while (wl_clock_now_us () < ended_us + AWAY_US * 3 / 2)
    poll_once ();
  ask ("all is well");
  ck_assert (f.result.is_complete && f.result.status == 200);
}
END_TEST

/* Guards against a stand-in that names its limit in some of its responses only. */
START_TEST (an_engine_names_its_limit_in_each_response)
{
  static const char *const requests[] = {
    "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}",
    "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n",
  };
  open_fixture ();
  for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++)
    {
      RawClient client;
      raw_client_connect_to (&client, wl_test_loopback (1), port);
      raw_client_send (&client, requests[i]);
      for (int turn = 0; turn < 2000 && strstr (client.answer, "\r\n\r\n") == NULL; turn++)
        {
          poll_once ();
          raw_client_receive (&client);
        }
      ck_assert_ptr_nonnull (strstr (client.answer, "Server-Limit: 0.4\r\n"));
      raw_client_close (&client);
    }
}
END_TEST

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (sodium_init () < 0)
    return EXIT_FAILURE;
  const WlTest tests[] = { WL_TEST (an_engine_ends_before_its_first_token_and_comes_back),
                           WL_TEST (an_engine_names_its_limit_in_each_response) };
  return wl_test_run ("engine", tests, sizeof tests / sizeof tests[0]);
}
