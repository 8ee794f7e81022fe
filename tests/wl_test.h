#ifndef WL_TEST_H
#define WL_TEST_H

#include <stdlib.h>
#include <check.h>

/* Runs the tests of a program as one suite with one test case. */

typedef const TTest *WlTest;
#define WL_TEST(name) name

static inline int
wl_test_run (const char *name, const WlTest *tests, size_t n)
{
  Suite *s = suite_create (name);
  TCase *t = tcase_create (name);
  for (size_t i = 0; i < n; i++)
    tcase_add_test (t, tests[i]);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
