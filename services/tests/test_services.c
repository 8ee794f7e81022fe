#include <stdlib.h>
#include <string.h>
#include <check.h>
#include "wl_services.h"

#define KEY "key_digest: 0e5751c026e543b2e8ab2eb06099daa1d1e5df47778f7787faab45cdf12fe3a8"
#define CUSTOMER "customers:\n  - name: kiosk\n    " KEY "\n"
#define MODEL "kind: model\n    models: [{name: m, version: '1'}]\n"

static size_t
codes (const char *text, const char *code, uint32_t *line)
{
  WlFindings f = { 0 };
  WlServices *s = NULL;
  size_t n = 0;
  wl_services_parse (text, strlen (text), &f, &s);
  for (size_t i = 0; i < f.count; i++)
    if (strcmp (f.items[i].code, code) == 0)
      {
        n++;
        if (line != NULL)
          *line = f.items[i].line;
      }
  wl_findings_clear (&f);
  wl_services_destroy (s);
  return n;
}

START_TEST (accepts_a_minimal_text)
{
  const char *text = "services:\n  - name: llm\n    " MODEL CUSTOMER;
  WlFindings f = { 0 };
  WlServices *s = NULL;
  ck_assert_int_eq (wl_services_parse (text, strlen (text), &f, &s), WL_OK);
  ck_assert_str_eq (s->services[0].models[0].version, "1");
  /* The digest above is BLAKE2b-256 of the empty string. */
  ck_assert_ptr_nonnull (wl_services_authenticate (s, ""));
  ck_assert_ptr_null (wl_services_authenticate (s, "x"));
  wl_services_destroy (s);
}
END_TEST

START_TEST (reports_all_findings_with_places)
{
  const char *text = "services:\n  - name: llm\n    " MODEL "    time_limt_ms: 5\n"
                     "    queue_limit: many\n  - name: llm\n    kind: plain\n"
                     "    depends_on: [lln]\n" CUSTOMER;
  uint32_t line = 0;
  ck_assert_uint_eq (codes (text, "WL-UNKNOWN-FIELD", &line), 1);
  ck_assert_uint_eq (line, 5);
  ck_assert_uint_eq (codes (text, "WL-TYPE", &line), 1);
  ck_assert_uint_eq (line, 6);
  ck_assert_uint_eq (codes (text, "WL-DUPLICATE", NULL), 1);
  ck_assert_uint_eq (codes (text, "WL-UNKNOWN-DEPENDENCY", NULL), 1);
}
END_TEST

START_TEST (reports_syntax_cycles_and_ranges)
{
  ck_assert_uint_eq (codes ("services: [", "WL-SYNTAX", NULL), 1);
  ck_assert_uint_eq (codes ("", "WL-EMPTY", NULL), 1);
  ck_assert_uint_eq (codes ("services:\n  - {name: a, kind: plain, depends_on: [b]}\n"
                            "  - {name: b, kind: plain, depends_on: [a]}\n" CUSTOMER,
                            "WL-CYCLE", NULL),
                     1);
  ck_assert_uint_eq (
      codes ("services:\n  - {name: a, kind: plain, cells: 0}\n" CUSTOMER, "WL-RANGE", NULL), 1);
  ck_assert_uint_eq (codes ("services: []\n", "WL-MISSING", NULL), 1);
}
END_TEST

/* The work stops at the first level too many: a text of any depth costs the same. */
START_TEST (deep_nesting_is_refused_at_its_place)
{
  enum
  {
    LEVELS = 100000,
  };
  static char text[LEVELS * 2 + 32];
  uint32_t line = 0;
  char *p = stpcpy (text, "services:\n  ");
  memset (p, '[', LEVELS);
  ck_assert_uint_eq (codes (text, "WL-DEPTH", &line), 1);
  ck_assert_uint_eq (line, 2);
  for (int i = 0; i < LEVELS; i++)
    {
      p[2 * i] = '-';
      p[2 * i + 1] = ' ';
    }
  ck_assert_uint_eq (codes (text, "WL-DEPTH", &line), 1);
  ck_assert_uint_eq (codes ("services: [[[[1]]]]", "WL-DEPTH", NULL), 0);
}
END_TEST

START_TEST (survives_every_truncation_and_byte_change)
{
  const char *text = "services:\n  - name: llm\n    " MODEL CUSTOMER;
  char copy[512];
  for (size_t n = 0; n < strlen (text); n++)
    {
      strcpy (copy, text);
      copy[n] = '\0';
      codes (copy, "", NULL);
      strcpy (copy, text);
      copy[n] = "[]{}:-\n\t'&*"[n % 11];
      codes (copy, "", NULL);
    }
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("services");
  TCase *t = tcase_create ("parse");
  tcase_add_test (t, accepts_a_minimal_text);
  tcase_add_test (t, reports_all_findings_with_places);
  tcase_add_test (t, reports_syntax_cycles_and_ranges);
  tcase_add_test (t, deep_nesting_is_refused_at_its_place);
  tcase_add_test (t, survives_every_truncation_and_byte_change);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_NORMAL);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
