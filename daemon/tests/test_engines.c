#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <apr_general.h>
#include <curl/curl.h>
#include "wl_clock.h"
#include "wl_node.h"
#include "wl_test.h"

/* Responses of endpoints at a node in this process; endpoint and callers share its event loop. */

enum
{
  STEP_US = 10000,
  ANSWER_BYTES = 9 << 20, /* above the 8 MiB that a node keeps of a plain service's response */
};

static const char services_text[]
    = "services:\n"
      "  - name: app\n    kind: plain\n    time_limit_ms: 8000\n"
      "    calls: [{path: /read, idempotent: true}, {path: /write, idempotent: false}]\n"
      "customers:\n"
      "  - name: a\n    weight: 1\n    key_digest: "
      "8928aae63c84d87ea098564d1e03ad813f107add474e56aedd286349c0c03ea4\n" /* of the key "a" */
      "objectives:\n"
      "  - {up_to_tokens: 1000000, first_token_ms: 1000, share: 0.9}\n";

typedef struct
{
  WlNode *node;
  WlHttpServer *endpoint;
  char folder[32];
  uint64_t now_us;
  int is_done;
  size_t size;
  WlHttpResult result;
} Fixture;

static void
step (Fixture *f)
{
  f->now_us += STEP_US;
  wl_clock_set (f->now_us);
  wl_node_run_once (f->node);
  wl_http_server_run (f->endpoint);
}

static void
run (Fixture *f, uint64_t duration_us)
{
  for (uint64_t end_us = f->now_us + duration_us; f->now_us < end_us;)
    step (f);
}

static void
handle_endpoint (void *data, WlExchange *x)
{
  uint8_t *body = calloc (1, ANSWER_BYTES);
  (void)data;
  ck_assert_ptr_nonnull (body);
  wl_exchange_reply (x, 200, "text/plain", (WlBytes){ body, ANSWER_BYTES });
  free (body);
}

static void
on_gone (void *data, WlExchange *x)
{
  (void)data;
  (void)x;
}

static void
on_received (void *data, WlHttpCall *call, uint32_t status, WlBytes bytes)
{
  Fixture *f = data;
  (void)call;
  (void)status;
  f->size += bytes.size;
}

static void
on_done (void *data, WlHttpCall *call, const WlHttpResult *result)
{
  Fixture *f = data;
  (void)call;
  f->is_done = 1;
  f->result = *result;
}

/* Sends a request to the node and waits for the end of its response. */
static void
post (Fixture *f, const char *path, const char *header, const char *body)
{
  WlHttpParams params = {
    .method = "POST",
    .address = "127.0.0.1",
    .port = wl_http_server_port (f->node->server),
    .path = path,
    .type = "application/json",
    .header = header,
    .body = { (const uint8_t *)body, (uint32_t)strlen (body) },
    .received = on_received,
    .done = on_done,
    .data = f,
  };
  f->is_done = 0;
  f->size = 0;
  wl_http_client_call (f->node->client, &params);
  for (int i = 0; i < 2000 && !f->is_done; i++)
    step (f);
  ck_assert (f->is_done);
}

static void
announce_endpoint (Fixture *f)
{
  char body[512];
  snprintf (body, sizeof body,
            "{\"name\":\"e\",\"service\":\"app\",\"address\":\"127.0.0.1\",\"port\":%u,"
            "\"domain\":\"a\",\"incarnation\":\"1\",\"sequence\":%lu,\"kv_capacity\":1000,"
            "\"slots\":8}",
            wl_http_server_port (f->endpoint), (unsigned long)f->now_us);
  post (f, "/v1/endpoints", "Authorization: Bearer endpoint", body);
  ck_assert_uint_eq (f->result.status, 200);
}

static void
open_fixture (Fixture *f)
{
  WlOptions o = {
    .n_control = 1, .operator_key = "operator", .cluster_key = "cluster", .endpoint_key = "endpoint"
  };
  WlHttpOptions endpoint
      = { .address = "127.0.0.1", .handle = handle_endpoint, .gone = on_gone, .data = f };
  memset (f, 0, sizeof *f);
  o.settings.self.node = 1;
  o.settings.n_control = 1;
  o.settings.control_nodes[0] = 1;
  o.control[0] = (WlControlPeer){ .node = 1, .address = "127.0.0.1", .port = 1 };
  strcpy (o.settings.self.address, "127.0.0.1");
  strcpy (o.settings.self.domain, "a");
  strcpy (f->folder, "/tmp/wl-node-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (f->folder));
  strcpy (o.data_folder, f->folder);
  f->now_us = 1000000000;
  wl_clock_set (f->now_us);
  ck_assert_int_eq (wl_node_create (&o, &f->node), WL_OK);
  ck_assert_int_eq (wl_http_server_create (f->node->reactor, &endpoint, &f->endpoint), WL_OK);
  run (f, 5000000);
  post (f, "/v1/config?replaces=0", "Authorization: Bearer operator", services_text);
  ck_assert_uint_eq (f->result.status, 200);
  for (int i = 0; i < 8; i++)
    {
      announce_endpoint (f);
      run (f, 500000);
    }
}

static void
close_fixture (Fixture *f)
{
  wl_http_server_destroy (f->endpoint);
  wl_node_destroy (f->node);
  wl_clock_set (0);
}

/* Guards against a response that was cut at 8 MiB and ends as a whole one. */
START_TEST (an_oversized_response_of_a_plain_service_is_no_success)
{
  static Fixture f;
  open_fixture (&f);
  post (&f, "/v1/services/app/read", "Authorization: Bearer a", "");
  ck_assert_msg (f.result.status >= 500, "status %u, %zu bytes", f.result.status, f.size);
  ck_assert (f.result.is_complete);
  close_fixture (&f);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  const WlTest tests[] = {
    WL_TEST (an_oversized_response_of_a_plain_service_is_no_success),
  };
  return wl_test_run ("engines", tests, sizeof tests / sizeof tests[0]);
}
