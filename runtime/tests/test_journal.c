#include <string.h>
#include <apr_general.h>
#include "wl_clock.h"
#include "wl_effects.h"
#include "wl_journal.h"
#include "wl_memory_disk.h"
#include "wl_test.h"

/* Effects are released in order, and only after what they and earlier ones store is synced. */

enum
{
  BATCHES = 50,
  FILES = 200,
};

typedef struct
{
  MemoryFolder folder;
  WlReactor *reactor;
  WlJournal *journal;
  uint32_t released[BATCHES];
  uint32_t n_released;
  uint32_t n_failures;
} Fixture;

static void
release (void *data, WlEffects *effects)
{
  Fixture *f = data;
  if (effects == NULL)
    f->n_failures++;
  else
    f->released[f->n_released++] = effects->items[effects->count - 1].u.send.node;
}

static void
submit (Fixture *f, uint32_t number, int stores)
{
  WlEffects *fx = wl_effects_create ();
  if (stores)
    {
      WlEffect *e = wl_effects_add (fx, WL_EFFECT_STORE_TERM);
      e->u.term.term = number;
    }
  wl_effects_add (fx, WL_EFFECT_SEND)->u.send.node = number;
  wl_journal_submit (f->journal, fx);
}

static void
run (Fixture *f, uint32_t until, uint64_t duration_us)
{
  for (uint64_t end_us = wl_clock_now_us () + duration_us;
       f->n_released < until && wl_clock_now_us () < end_us;)
    wl_reactor_poll (f->reactor, 5000);
}

static void
create (Fixture *f)
{
  WlStorage *storage = NULL;
  memset (f, 0, sizeof *f);
  ck_assert_int_eq (wl_reactor_create (&f->reactor), WL_OK);
  ck_assert_int_eq (wl_storage_open (memory_disk_open (&f->folder), 7, &storage), WL_OK);
  ck_assert_int_eq (wl_journal_create (f->reactor, storage, release, f, &f->journal), WL_OK);
}

static void
destroy (Fixture *f)
{
  wl_journal_destroy (f->journal);
  wl_reactor_destroy (f->reactor);
  memory_folder_clear (&f->folder);
}

START_TEST (batches_are_released_in_order)
{
  static Fixture f;
  create (&f);
  for (uint32_t i = 0; i < BATCHES; i++)
    submit (&f, i, i % 3 == 1);
  run (&f, BATCHES, 5000000);
  ck_assert_uint_eq (f.n_released, BATCHES);
  for (uint32_t i = 0; i < BATCHES; i++)
    ck_assert_uint_eq (f.released[i], i);
  destroy (&f);
}
END_TEST

START_TEST (nothing_is_released_while_the_disk_is_full)
{
  static Fixture f;
  create (&f);
  f.folder.fail_with = WL_ERROR_NO_SPACE;
  f.folder.fail_at = f.folder.operations + 1;
  submit (&f, 1, 1);
  submit (&f, 2, 0);
  run (&f, 1, 250000);
  ck_assert_uint_eq (f.n_released, 0);
  f.folder.fail_at = 0;
  run (&f, 2, 5000000);
  ck_assert_uint_eq (f.n_released, 2);
  ck_assert_uint_eq (f.n_failures, 0);
  destroy (&f);
}
END_TEST

START_TEST (without_a_disk_batches_pass_at_once)
{
  static Fixture f;
  memset (&f, 0, sizeof f);
  ck_assert_int_eq (wl_reactor_create (&f.reactor), WL_OK);
  ck_assert_int_eq (wl_journal_create (f.reactor, NULL, release, &f, &f.journal), WL_OK);
  submit (&f, 4, 0);
  ck_assert_uint_eq (f.n_released, 1);
  wl_journal_destroy (f.journal);
  wl_reactor_destroy (f.reactor);
}
END_TEST

/* A file beside the storage is written when nothing else waits, and never in its way. */
START_TEST (a_saved_file_lasts_and_the_latest_counts)
{
  static Fixture f;
  apr_pool_t *pool;
  WlBytes read = { NULL, 0 };
  create (&f);
  f.folder.fail_with = WL_ERROR_NO_SPACE;
  f.folder.fail_at = f.folder.operations + 1;
  wl_journal_save (f.journal, "hints", (WlBytes){ (const uint8_t *)"old", 3 });
  submit (&f, 1, 1);
  run (&f, 1, 250000);
  f.folder.fail_at = 0;
  wl_journal_save (f.journal, "hints", (WlBytes){ (const uint8_t *)"new one", 7 });
  submit (&f, 2, 1);
  run (&f, 2, 5000000);
  ck_assert_uint_eq (f.n_released, 2);
  wl_journal_save (f.journal, "hints", (WlBytes){ (const uint8_t *)"newest", 6 });
  submit (&f, 3, 1);
  run (&f, 3, 5000000);
  submit (&f, 4, 1); /* begins after the save that was asked for before it */
  run (&f, 4, 5000000);
  wl_journal_destroy (f.journal);
  wl_reactor_destroy (f.reactor);
  memory_folder_crash (&f.folder);
  apr_pool_create (&pool, NULL);
  WlDisk *disk = memory_disk_open (&f.folder);
  ck_assert_int_eq (wl_disk_load (disk, "hints", pool, &read), WL_OK);
  ck_assert_uint_eq (read.size, 6);
  ck_assert_mem_eq (read.data, "newest", 6);
  disk->destroy (disk);
  apr_pool_destroy (pool);
  memory_folder_clear (&f.folder);
}
END_TEST

/* Two kinds of files asked for while a batch is written: none takes the other's place. */
START_TEST (files_of_two_names_are_both_saved)
{
  static Fixture f;
  apr_pool_t *pool;
  WlBytes read = { NULL, 0 };
  create (&f);
  submit (&f, 1, 1);
  wl_journal_save (f.journal, "hints", (WlBytes){ (const uint8_t *)"one", 3 });
  wl_journal_save (f.journal, "other", (WlBytes){ (const uint8_t *)"three", 5 });
  wl_journal_save (f.journal, "hints", (WlBytes){ (const uint8_t *)"two", 3 });
  for (uint32_t i = 2; i <= 4; i++) /* a batch begins after the file that is being saved */
    {
      run (&f, i - 1, 5000000);
      submit (&f, i, 1);
    }
  run (&f, 4, 5000000);
  wl_journal_destroy (f.journal);
  wl_reactor_destroy (f.reactor);
  apr_pool_create (&pool, NULL);
  WlDisk *disk = memory_disk_open (&f.folder);
  ck_assert_int_eq (wl_disk_load (disk, "hints", pool, &read), WL_OK);
  ck_assert_mem_eq (read.data, "two", 3);
  ck_assert_int_eq (wl_disk_load (disk, "other", pool, &read), WL_OK);
  ck_assert_mem_eq (read.data, "three", 5);
  disk->destroy (disk);
  apr_pool_destroy (pool);
  memory_folder_clear (&f.folder);
}
END_TEST

/* Guards against a node that is taken for idle, and ended, before its files are written. */
START_TEST (a_journal_is_idle_once_its_files_are_saved)
{
  static Fixture f;
  for (uint32_t i = 0; i < FILES; i++)
    {
      apr_pool_t *pool;
      WlBytes read = { NULL, 0 };
      create (&f);
      ck_assert_int_eq (wl_journal_is_idle (f.journal), 1);
      submit (&f, 1, 1);
      ck_assert_int_eq (wl_journal_is_idle (f.journal), 0);
      run (&f, 1, 5000000);
      ck_assert_int_eq (wl_journal_is_idle (f.journal), 1);
      wl_journal_save (f.journal, "hints", (WlBytes){ (const uint8_t *)&i, sizeof i });
      while (!wl_journal_is_idle (f.journal))
        ;
      memory_folder_crash (&f.folder);
      apr_pool_create (&pool, NULL);
      WlDisk *disk = memory_disk_open (&f.folder);
      ck_assert_int_eq (wl_disk_load (disk, "hints", pool, &read), WL_OK);
      ck_assert_uint_eq (read.size, sizeof i);
      ck_assert_mem_eq (read.data, &i, sizeof i);
      disk->destroy (disk);
      apr_pool_destroy (pool);
      destroy (&f);
    }
}
END_TEST

int
main (void)
{
  const WlTest tests[] = {
    WL_TEST (batches_are_released_in_order),
    WL_TEST (nothing_is_released_while_the_disk_is_full),
    WL_TEST (a_saved_file_lasts_and_the_latest_counts),
    WL_TEST (files_of_two_names_are_both_saved),
    WL_TEST (a_journal_is_idle_once_its_files_are_saved),
    WL_TEST (without_a_disk_batches_pass_at_once),
  };
  apr_initialize ();
  return wl_test_run ("journal", tests, sizeof tests / sizeof tests[0]);
}
