#include <stdlib.h>
#include <string.h>
#include "../kit-2.h"

/* The operator's first manifest has version 0; it is acknowledged. */

enum
{
  READ_FOR_MS = 12000, /* stable_window_ms is 3000 */
  READ_EVERY_MS = 500,
  REQUEST_MS = 2000,
};

static const char rest[]
    = "\"routes\":[{\"name\":\"r\",\"hostname\":\"review.example\",\"path_prefix\":\"/a/\","
      "\"kind\":\"idempotent\",\"timeout_ms\":1200,\"slo_ms\":300,\"priority\":1,"
      "\"service\":\"app\",\"attempts\":2,\"auth_exempt\":false}],"
      "\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":56,"
      "\"protocol\":\"h1\",\"tls\":false}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

int
main (int argc, char **argv)
{
  char manifest[2048];
  char text[4096];
  KitBody body = { .text = text, .size = sizeof text };
  int n_reads = 0, n_same = 0, n_other = 0, n_served = 0, n_requests = 0;
  if (argc != 2)
    return 2;
  kit_begin (argv[1]);
  snprintf (manifest, sizeof manifest, "{\"version\":%d,%s", kit_has_trouble () ? 0 : 1, rest);
  kit_start_nodes (3);
  for (int i = 0; i < 3; i++)
    kit_start_worker (kit_add_worker ("app", 6, 0, 0, 30));
  if (kit_replace_config (manifest, 15000) != 200)
    kit_fail ("the first manifest has no acknowledgement");
  int64_t acked_ms = kit_now_ms ();
  for (int64_t at_ms = acked_ms; at_ms < acked_ms + READ_FOR_MS; at_ms += READ_EVERY_MS)
    {
      char id[32];
      const KitNode *node = &kit_nodes[n_requests % kit_n_nodes];
      int status = kit_read_config (node, &body);
      int is_same = status == 200 && strcmp (text, manifest) == 0;
      n_reads++;
      n_same += is_same;
      n_other += status == 200 && !is_same;
      kit_log ("operator: read at node %d: status=%d %s", node->index, status,
               is_same         ? "what was sent"
               : status == 200 ? "something else"
                               : "no manifest");
      snprintf (id, sizeof id, "look-%d", ++n_requests);
      KitRequest request = { .id = id, .path = "/a/x", .deadline_ms = REQUEST_MS, .is_get = 1 };
      KitAnswer answer = kit_send (node, &request);
      n_served += answer.status == 200 && answer.is_whole;
      kit_sleep_until (at_ms + READ_EVERY_MS);
    }
  kit_log ("reads after the acknowledgement: %d, with the manifest: %d, with another one: %d",
           n_reads, n_same, n_other);
  kit_log ("requests on its route: %d, served: %d", n_requests, n_served);
  return kit_end (n_same == 0);
}
