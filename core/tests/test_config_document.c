#include <stdio.h>
#include <string.h>
#include <apr_general.h>
#include "wl_config_document.h"
#include "wl_test.h"

/* The replicated document: what nodes send each other and keep on their disks. */

static apr_pool_t *pool;

static WlBytes
bytes (const char *text)
{
  return (WlBytes){ (const uint8_t *)text, (uint32_t)strlen (text) };
}

static void
assert_text (WlBytes text, const char *expected)
{
  ck_assert_uint_eq (text.size, strlen (expected));
  if (text.size > 0)
    ck_assert_mem_eq (text.data, expected, text.size);
}

/* Guards against nodes and disks of the version before, whose documents are as they were. */
START_TEST (a_document_without_evacuations_has_its_old_encoding)
{
  static const uint8_t old[] = { 0, 0, 0, 0, 0, 0, 1, 2, 't', 'e', 'x', 't' };
  WlConfigDocument d = { .version = 258, .text = bytes ("text") };
  WlBytes encoded = wl_config_document_encode (&d, pool);
  ck_assert_uint_eq (encoded.size, sizeof old);
  ck_assert_mem_eq (encoded.data, old, sizeof old);
  ck_assert_int_eq (wl_config_document_decode (encoded, pool, &d), WL_OK);
  ck_assert_uint_eq (d.version, 258);
  ck_assert_uint_eq (d.n_evacuations, 0);
  assert_text (d.text, "text");
  ck_assert_int_eq (wl_config_document_decode ((WlBytes){ NULL, 0 }, pool, &d), WL_OK);
  ck_assert_uint_eq (d.version, 0);
}
END_TEST

static void
round_trip (uint64_t version, const char *text)
{
  WlConfigDocument d = { .version = version, .text = bytes (text) };
  WlConfigDocument out;
  uint64_t split_version;
  ck_assert_int_eq (wl_config_document_evacuate (&d, "zone b", 0, pool), 1);
  ck_assert_int_eq (wl_config_document_evacuate (&d, "c", 0, pool), 1);
  ck_assert_int_eq (wl_config_document_evacuate (&d, "zone b", 1, pool), 1);
  WlBytes encoded = wl_config_document_encode (&d, pool);
  ck_assert_int_eq (wl_config_document_decode (encoded, pool, &out), WL_OK);
  ck_assert_uint_eq (out.version, version);
  ck_assert_uint_eq (out.n_evacuations, 2);
  ck_assert_uint_eq (wl_config_document_evacuation (&out, "zone b").sequence, 2);
  ck_assert_uint_eq (wl_config_document_evacuation (&out, "zone b").is_active, 0);
  ck_assert_uint_eq (wl_config_document_evacuation (&out, "c").sequence, 1);
  ck_assert_uint_eq (wl_config_document_evacuation (&out, "c").is_active, 1);
  ck_assert_uint_eq (wl_config_document_evacuation (&out, "other").sequence, 0);
  assert_text (out.text, text);
  assert_text (wl_config_split_version (encoded, &split_version), text);
  ck_assert_uint_eq (split_version, version);
}

START_TEST (evacuations_are_kept_beside_a_text_or_without_one)
{
  round_trip (7, "text");
  round_trip (WL_CONFIG_VERSION_MAX - 1, "text");
  round_trip (0, "");
}
END_TEST

/* Guards against a document that grows without end, and against its decoder's limit. */
START_TEST (the_list_of_evacuations_is_bounded)
{
  WlConfigDocument d = { .version = 1 };
  char domain[WL_LABEL_SIZE];
  for (uint32_t i = 0; i < WL_EVACUATIONS_MAX; i++)
    {
      snprintf (domain, sizeof domain, "%063u", i);
      ck_assert_int_eq (wl_config_document_evacuate (&d, domain, 0, pool), 1);
    }
  ck_assert_int_eq (wl_config_document_evacuate (&d, "one more", 0, pool), 0);
  ck_assert_int_eq (wl_config_document_evacuate (&d, domain, 1, pool), 1);
  ck_assert_uint_eq (d.n_evacuations, WL_EVACUATIONS_MAX);
  WlBytes encoded = wl_config_document_encode (&d, pool);
  ck_assert_uint_le (encoded.size, 12000);
  ck_assert_int_eq (wl_config_document_decode (encoded, pool, &d), WL_OK);
}
END_TEST

/* Guards against a decoder that reads past the end, or takes a part of a document for all of it. */
START_TEST (damaged_documents_are_refused)
{
  WlConfigDocument d = { .version = 3, .text = bytes ("text") };
  WlConfigDocument out;
  ck_assert_int_eq (wl_config_document_evacuate (&d, "b", 0, pool), 1);
  WlBytes whole = wl_config_document_encode (&d, pool);
  for (uint32_t size = 1; size < whole.size - d.text.size; size++)
    {
      WlBytes part = { apr_pmemdup (pool, whole.data, size), size };
      ck_assert_int_eq (wl_config_document_decode (part, pool, &out), WL_ERROR_CORRUPT);
      ck_assert_uint_eq (out.n_evacuations, 0);
    }
  uint8_t *changed = apr_pmemdup (pool, whole.data, whole.size);
  memset (changed + WL_CONFIG_VERSION_BYTES, 0xff, 4);
  ck_assert_int_eq (wl_config_document_decode ((WlBytes){ changed, whole.size }, pool, &out),
                    WL_ERROR_CORRUPT);
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (a_document_without_evacuations_has_its_old_encoding),
    WL_TEST (evacuations_are_kept_beside_a_text_or_without_one),
    WL_TEST (the_list_of_evacuations_is_bounded),
    WL_TEST (damaged_documents_are_refused),
  };
  apr_initialize ();
  apr_pool_create (&pool, NULL);
  return wl_test_run ("config_document", tests, sizeof tests / sizeof tests[0]);
}
