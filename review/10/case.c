#include <signal.h>
#include <stdlib.h>
#include "../parts-2.h"

/*
 * Requests with a bad part come until the part is refused. Then all processes are killed right
 * after a manifest was acknowledged, and are back within a second; later the requests come again.
 */

enum
{
  WORKERS = 9,
  BAD_FROM_MS = 8000, /* three at once, one at each machine; then one by one */
  KILL_MS = 18000,
  BACK_MS = 600,
  TOUCH_MS = 8000, /* over twice stable_window_ms (3000), as after a final fault */
  RUN_MS = 40000,
  BAD_EVERY_MS = 700,
  SOUND_EVERY_MS = 150,
};

static const char bad_part[] = "bad00001";
static char manifest[8192];

static void
replace (int version)
{
  parts_manifest (manifest, sizeof manifest, version, 1, 1);
  if (kit_replace_config (manifest, 15000) != 200)
    kit_fail ("a manifest has no acknowledgement");
}

static void
kill_all (void)
{
  for (int i = 0; i < kit_n_nodes; i++)
    kit_kill_node (&kit_nodes[i], SIGKILL);
  kit_sleep_until (kit_now_ms () + BACK_MS);
  for (int i = 0; i < kit_n_nodes; i++)
    kit_start_node (&kit_nodes[i]);
}

static void
send_bad (const KitNode *node)
{
  char prefix[256];
  snprintf (prefix, sizeof prefix, "a0000001:200,%s:150", bad_part);
  parts_send (node, "/a/x", prefix, 1);
}

int
main (int argc, char **argv)
{
  char prefix[256];
  int64_t back_ms = 0;
  if (argc != 2)
    return 2;
  kit_begin (argv[1]);
  kit_start_nodes (3);
  for (int i = 0; i < WORKERS; i++)
    kit_add_worker ("llm", 16, 10, 30, 60);
  replace (7);
  for (int i = 0; i < kit_n_workers; i++)
    kit_start_worker (&kit_workers[i]);
  if (!kit_wait_ready (10000))
    kit_fail ("the nodes are not ready");
  parts_begin (bad_part);
  int64_t from_ms = kit_now_ms ();
  int64_t bad_ms = from_ms + BAD_FROM_MS;
  for (int n = 0; kit_now_ms () < from_ms + RUN_MS; n++)
    {
      int64_t now_ms = kit_now_ms ();
      snprintf (prefix, sizeof prefix, "a0000001:200,%x:150", 0xb0000000U + n % 7);
      parts_send (&kit_nodes[n % 3], "/a/x", prefix, 0);
      if (bad_ms == from_ms + BAD_FROM_MS && now_ms >= bad_ms)
        for (int i = 1; i < 3; i++)
          send_bad (&kit_nodes[(n / 3 + i) % 3]);
      if (now_ms >= bad_ms && (back_ms == 0 || now_ms >= back_ms + TOUCH_MS))
        {
          bad_ms = now_ms + BAD_EVERY_MS;
          send_bad (&kit_nodes[n / 3 % 3]);
        }
      if (back_ms == 0 && now_ms >= from_ms + KILL_MS)
        {
          kit_log ("crashes before the kill: %d", parts_crashes ());
          replace (9);
          if (kit_has_trouble ())
            kill_all ();
          back_ms = kit_now_ms ();
        }
      kit_sleep_until (from_ms + (int64_t)(n + 1) * SOUND_EVERY_MS);
    }
  parts_wait ();
  return kit_end (parts_verdict ());
}
