#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_test.h"

/* The catalogue of log events lists exactly the numbers that the code defines. */

static void
collect (const char *path, const char *pattern, unsigned char *seen)
{
  char line[1024];
  FILE *f = fopen (path, "r");
  ck_assert_msg (f != NULL, "%s", path);
  while (fgets (line, sizeof line, f) != NULL)
    {
      const char *p = strstr (line, pattern);
      if (p != NULL)
        seen[strtoul (p + strlen (pattern), NULL, 10) % 10000]++;
    }
  fclose (f);
}

START_TEST (catalogue_and_code_agree)
{
  static unsigned char code[10000];
  static unsigned char docs[10000];
  collect (WL_SOURCE_DIR "/core/base/wl_events.h", "  WL", code);
  collect (WL_SOURCE_DIR "/docs/events.md", "| WL", docs);
  for (int i = 1; i < 10000; i++)
    ck_assert_msg (code[i] == docs[i] && code[i] <= 1, "event %d: code %d, docs %d", i, code[i],
                   docs[i]);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = { WL_TEST (catalogue_and_code_agree) };
  return wl_test_run ("events", tests, sizeof tests / sizeof tests[0]);
}
