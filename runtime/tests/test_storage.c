#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>
#include <apr_general.h>
#include "wl_effects.h"
#include "wl_memory_disk.h"
#include "wl_storage.h"
#include "wl_test.h"

/*
 * Durable storage: a crash or an error at any write, sync, rename or removal
 * leaves exactly the state that was acknowledged, or one that a later write of
 * the interrupted batch reached.
 */

enum
{
  STEPS = 40,
  SNAPSHOT_EVERY = 9,
};

/* What a replica must find again after a restart. */
typedef struct
{
  uint64_t term;
  uint32_t vote;
  uint64_t snapshot;
  uint64_t last;
} Expected;

static WlEffect
entry_effect (uint64_t index)
{
  static uint8_t command[300];
  WlEffect e = { .kind = WL_EFFECT_STORE_ENTRY };
  memset (command, (int)index, sizeof command);
  e.u.entry = (WlLogEntry){ index / 5 + 1, index, { command, (uint32_t)(20 + index % 280) } };
  return e;
}

/* A folder whose disk has space again after the first failed operation, NULL for none. */
static MemoryFolder *recovering;

static WlError
store (WlStorage *s, const WlEffect *e)
{
  WlError error = wl_storage_write (s, e);
  if (error != WL_OK && recovering != NULL)
    {
      recovering->fail_at = 0;
      error = wl_storage_write (s, e);
    }
  if (error == WL_OK)
    error = wl_storage_sync (s);
  if (error != WL_OK && recovering != NULL)
    {
      recovering->fail_at = 0;
      error = wl_storage_sync (s);
    }
  return error;
}

static WlError
store_snapshot (WlStorage *s, uint64_t index)
{
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  WlStateSnapshot image = { .config_number = index };
  WlEffect e = { .kind = WL_EFFECT_STORE_SNAPSHOT };
  e.u.snapshot.index = index;
  e.u.snapshot.index_term = index / 5 + 1;
  e.u.snapshot.data = wl_encode_bytes (wl_state_snapshot_fields, &image, pool);
  WlError error = store (s, &e);
  apr_pool_destroy (pool);
  return error;
}

/* One step of a replica's life. Returns the first error. */
static WlError
step (WlStorage *s, uint64_t n, Expected *now)
{
  WlEffect term = { .kind = WL_EFFECT_STORE_TERM };
  WlEffect e = entry_effect (now->last + 1);
  WlError error = WL_OK;
  if (n % 5 == 0)
    {
      term.u.term.term = n / 5 + 1;
      term.u.term.vote = (uint32_t)(n % 3 + 1);
      error = store (s, &term);
      if (error != WL_OK)
        return error;
      now->term = term.u.term.term;
      now->vote = term.u.term.vote;
    }
  error = store (s, &e);
  if (error != WL_OK)
    return error;
  now->last++;
  if (n % SNAPSHOT_EVERY != 0)
    return WL_OK;
  error = store_snapshot (s, now->last - 2);
  if (error == WL_OK)
    now->snapshot = now->last - 2;
  return error;
}

static void
assert_state (WlStorage *s, const Expected *e)
{
  const WlStoredState *st = wl_storage_state (s);
  ck_assert_uint_ge (st->term, e->term);
  if (st->term == e->term)
    ck_assert_uint_eq (st->vote, e->vote);
  ck_assert_uint_ge (st->snapshot_index, e->snapshot);
  uint64_t last = st->snapshot_index + st->n_entries;
  ck_assert_uint_ge (last, e->last);
  ck_assert_uint_le (last, e->last + 1);
  for (uint32_t i = 0; i < st->n_entries; i++)
    {
      WlEffect expected = entry_effect (st->snapshot_index + 1 + i);
      ck_assert_uint_eq (st->entries[i].index, expected.u.entry.index);
      ck_assert_uint_eq (st->entries[i].term, expected.u.entry.term);
      ck_assert_uint_eq (st->entries[i].command.size, expected.u.entry.command.size);
      ck_assert_mem_eq (st->entries[i].command.data, expected.u.entry.command.data,
                        st->entries[i].command.size);
    }
}

/* Runs until the given operation fails, crashes, and compares. Returns 0 at the end of life. */
static int
crash_at (uint32_t operation, uint32_t keep_unsynced, WlError with)
{
  MemoryFolder folder = { 0 };
  Expected now = { 0 };
  WlStorage *s = NULL;
  WlError error = WL_OK;
  folder.fail_at = operation;
  folder.fail_with = with;
  folder.keep_unsynced = keep_unsynced;
  WlDisk *disk = memory_disk_open (&folder);
  error = wl_storage_open (disk, 7, &s);
  if (error != WL_OK)
    disk->destroy (disk);
  for (uint64_t n = 1; n <= STEPS && error == WL_OK; n++)
    error = step (s, n, &now);
  wl_storage_close (error == WL_OK || s != NULL ? s : NULL);
  s = NULL;
  memory_folder_crash (&folder);
  ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 8, &s), WL_OK);
  assert_state (s, &now);
  if (now.last > 0)
    ck_assert_uint_eq (wl_storage_incarnation (s), 7);
  /* Life goes on after the restart, and a second restart finds all of it. */
  const WlStoredState *st = wl_storage_state (s);
  now.last = st->snapshot_index + st->n_entries;
  now.snapshot = st->snapshot_index;
  now.term = st->term;
  now.vote = st->vote;
  for (uint64_t n = 1; n <= 12; n++)
    ck_assert_int_eq (step (s, n * 50, &now), WL_OK);
  wl_storage_close (s);
  memory_folder_crash (&folder);
  ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 9, &s), WL_OK);
  assert_state (s, &now);
  wl_storage_close (s);
  memory_folder_clear (&folder);
  return error != WL_OK;
}

START_TEST (a_crash_at_any_operation_loses_nothing_acknowledged)
{
  uint32_t n = 1;
  while (crash_at (n, 0, WL_ERROR_SYSTEM))
    n++;
  ck_assert_uint_gt (n, 100);
}
END_TEST

START_TEST (torn_tails_of_any_length_are_cut)
{
  for (uint32_t keep = 1; keep < 60; keep += 3)
    for (uint32_t n = 3; n < 60; n++)
      crash_at (n, keep, WL_ERROR_SYSTEM);
}
END_TEST

START_TEST (a_full_disk_is_reported_and_loses_nothing)
{
  MemoryFolder folder = { 0 };
  Expected now = { 0 };
  WlStorage *s = NULL;
  ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 7, &s), WL_OK);
  for (uint64_t n = 1; n < 5; n++)
    ck_assert_int_eq (step (s, n, &now), WL_OK);
  folder.fail_at = folder.operations + 1;
  folder.fail_with = WL_ERROR_NO_SPACE;
  ck_assert_int_eq (step (s, 6, &now), WL_ERROR_NO_SPACE);
  wl_storage_close (s);
  folder.fail_at = 0;
  ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 7, &s), WL_OK);
  assert_state (s, &now);
  wl_storage_close (s);
  memory_folder_clear (&folder);
}
END_TEST

START_TEST (what_failed_on_a_full_disk_can_be_stored_again)
{
  for (uint32_t operation = 10; operation < 200; operation++)
    {
      MemoryFolder folder = { 0 };
      Expected now = { 0 };
      WlStorage *s = NULL;
      folder.fail_at = operation;
      folder.fail_with = WL_ERROR_NO_SPACE;
      recovering = &folder;
      ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 7, &s), WL_OK);
      for (uint64_t n = 1; n <= STEPS; n++)
        ck_assert_int_eq (step (s, n, &now), WL_OK);
      recovering = NULL;
      wl_storage_close (s);
      memory_folder_crash (&folder);
      ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 7, &s), WL_OK);
      assert_state (s, &now);
      wl_storage_close (s);
      memory_folder_clear (&folder);
    }
}
END_TEST

/* A replica with a few entries, and one more that is not synced. */
static WlStorage *
open_with_unsynced_entry (MemoryFolder *folder, Expected *now)
{
  WlStorage *s = NULL;
  ck_assert_int_eq (wl_storage_open (memory_disk_open (folder), 7, &s), WL_OK);
  for (uint64_t n = 1; n < 8; n++)
    ck_assert_int_eq (step (s, n, now), WL_OK);
  WlEffect e = entry_effect (now->last + 1);
  ck_assert_int_eq (wl_storage_write (s, &e), WL_OK);
  return s;
}

/* Loses the power and checks what is there after a restart. */
static void
check_power_loss (MemoryFolder *folder, WlStorage *s, uint32_t keep, const Expected *now)
{
  wl_storage_close (s);
  s = NULL;
  folder->keep_unsynced = keep;
  memory_folder_crash (folder);
  ck_assert_msg (wl_storage_open (memory_disk_open (folder), 8, &s) == WL_OK,
                 "the replica does not start; %u unsynced bytes kept", keep);
  assert_state (s, now);
  wl_storage_close (s);
  memory_folder_clear (folder);
}

/*
 * Guards against a replica that refuses to start: a sync found no room, what it held is written
 * again, and the power is lost before the damaged segment is gone.
 */
START_TEST (a_crash_after_a_sync_that_found_no_room_loses_nothing)
{
  for (uint32_t keep = 0; keep <= 60; keep += 15)
    for (uint32_t operation = 1; operation <= 12; operation++)
      {
        MemoryFolder folder = { 0 };
        Expected now = { 0 };
        WlStorage *s = open_with_unsynced_entry (&folder, &now);
        folder.fail_at = folder.operations + 1;
        folder.fail_with = WL_ERROR_NO_SPACE;
        ck_assert_int_eq (wl_storage_sync (s), WL_ERROR_NO_SPACE);
        folder.fail_at = folder.operations + operation;
        folder.fail_with = WL_ERROR_SYSTEM;
        now.last += wl_storage_sync (s) == WL_OK;
        check_power_loss (&folder, s, keep, &now);
      }
}
END_TEST

/*
 * Guards against a replica that refuses to start: a snapshot followed entries of its batch, which
 * were not synced, and the power was lost before the segment that holds them was gone.
 */
START_TEST (a_crash_as_a_snapshot_follows_unsynced_entries_loses_nothing)
{
  for (uint32_t keep = 0; keep <= 60; keep += 15)
    for (uint32_t operation = 1; operation <= 12; operation++)
      {
        MemoryFolder folder = { 0 };
        Expected now = { 0 };
        WlStorage *s = open_with_unsynced_entry (&folder, &now);
        folder.fail_at = folder.operations + operation;
        folder.fail_with = WL_ERROR_SYSTEM;
        if (store_snapshot (s, now.last - 2) == WL_OK)
          now.last++;
        check_power_loss (&folder, s, keep, &now);
      }
}
END_TEST

static uint32_t
count_files (const MemoryFolder *folder, const char *prefix)
{
  uint32_t n = 0;
  for (int i = 0; i < MEMORY_FILES; i++)
    n += folder->files[i].exists && strncmp (folder->files[i].name, prefix, strlen (prefix)) == 0;
  return n;
}

/*
 * Guards against a disk that fills up with old snapshots, which nothing removes: there was no room
 * for the segment that follows a new one.
 */
START_TEST (a_snapshot_that_found_no_room_at_first_leaves_no_older_one)
{
  for (uint32_t operation = 10; operation < 200; operation++)
    {
      MemoryFolder folder = { 0 };
      Expected now = { 0 };
      WlStorage *s = NULL;
      folder.fail_at = operation;
      folder.fail_with = WL_ERROR_NO_SPACE;
      recovering = &folder;
      ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 7, &s), WL_OK);
      for (uint64_t n = 1; n <= STEPS; n++)
        ck_assert_int_eq (step (s, n, &now), WL_OK);
      recovering = NULL;
      ck_assert_msg (count_files (&folder, "snapshot-") == 1, "operation %u: %u snapshots",
                     operation, count_files (&folder, "snapshot-"));
      ck_assert_msg (count_files (&folder, "log-") == 1, "operation %u: %u segments", operation,
                     count_files (&folder, "log-"));
      wl_storage_close (s);
      memory_folder_clear (&folder);
    }
}
END_TEST

/* Writes or syncs until there is room again, as the journal does. */
static void
keep_trying (WlStorage *s, const WlEffect *e, uint32_t from, uint32_t until)
{
  for (int i = 0; i < 100; i++)
    {
      WlError error = e != NULL ? wl_storage_write (s, e) : wl_storage_sync (s);
      if (error == WL_OK)
        return;
      ck_assert_msg (error == WL_ERROR_NO_SPACE, "operations %u to %u: %s", from, until,
                     wl_strerror (error));
    }
  ck_abort_msg ("operations %u to %u: never written", from, until);
}

/* Guards against a write that never succeeds since the disk had room again in the middle of it. */
START_TEST (a_disk_with_room_again_at_any_operation_is_written_to)
{
  for (uint32_t from = 1; from < 30; from++)
    for (uint32_t until = from + 1; until < from + 25; until++)
      {
        MemoryFolder folder = { .fail_at = from, .fail_until = until };
        WlStorage *s = NULL;
        folder.fail_with = WL_ERROR_NO_SPACE;
        WlDisk *disk = memory_disk_open (&folder);
        WlError error = wl_storage_open (disk, 7, &s);
        if (error != WL_OK)
          disk->destroy (disk);
        for (uint32_t term = 1; error == WL_OK && term < 8; term++)
          {
            WlEffect e = { .kind = WL_EFFECT_STORE_TERM };
            e.u.term.term = term;
            keep_trying (s, &e, from, until);
            keep_trying (s, NULL, from, until);
          }
        wl_storage_close (s);
        memory_folder_clear (&folder);
      }
}
END_TEST

static MemoryFile *
find_segment (MemoryFolder *folder)
{
  for (int i = 0; i < MEMORY_FILES; i++)
    if (folder->files[i].exists && strncmp (folder->files[i].name, "log-", 4) == 0)
      return &folder->files[i];
  return NULL;
}

/* Damages one byte after seven steps. Returns the size of the log before the last of them. */
static uint32_t
open_damaged (uint32_t at, WlError *error, uint64_t *entries, uint32_t *size)
{
  MemoryFolder folder = { 0 };
  Expected now = { 0 };
  WlStorage *s = NULL;
  uint32_t before_last = 0;
  ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 7, &s), WL_OK);
  for (uint64_t n = 1; n < 8; n++)
    {
      if (n == 7)
        before_last = find_segment (&folder)->size;
      step (s, n, &now);
    }
  wl_storage_close (s);
  *size = find_segment (&folder)->size;
  if (at < *size)
    find_segment (&folder)->data[at] ^= 0x40;
  WlDisk *disk = memory_disk_open (&folder);
  *error = wl_storage_open (disk, 7, &s);
  if (*error == WL_OK)
    {
      *entries = wl_storage_state (s)->n_entries;
      wl_storage_close (s);
    }
  else
    disk->destroy (disk);
  memory_folder_clear (&folder);
  return before_last;
}

START_TEST (damage_before_the_tail_stops_the_replica)
{
  WlError error;
  uint64_t entries = 0;
  uint32_t size = 1;
  for (uint32_t at = 0; at < size; at++)
    {
      uint32_t tail = open_damaged (at, &error, &entries, &size);
      if (at < tail)
        ck_assert_int_eq (error, WL_ERROR_CORRUPT);
      else
        {
          /* Damage in the last record cannot be told from a torn tail: it is cut. */
          ck_assert_int_eq (error, WL_OK);
          ck_assert_uint_eq (entries, 6);
        }
    }
}
END_TEST

START_TEST (a_folder_without_its_identity_is_refused)
{
  MemoryFolder folder = { 0 };
  Expected now = { 0 };
  WlStorage *s = NULL;
  ck_assert_int_eq (wl_storage_open (memory_disk_open (&folder), 7, &s), WL_OK);
  step (s, 1, &now);
  wl_storage_close (s);
  WlDisk *disk = memory_disk_open (&folder);
  ck_assert_int_eq (disk->remove (disk, "identity"), WL_OK);
  ck_assert_int_eq (wl_storage_open (disk, 8, &s), WL_ERROR_CORRUPT);
  disk->destroy (disk);
  memory_folder_clear (&folder);
}
END_TEST

static void
limit_file_size (rlim_t bytes)
{
  struct rlimit limit;
  ck_assert_int_eq (getrlimit (RLIMIT_FSIZE, &limit), 0);
  limit.rlim_cur = bytes;
  ck_assert_int_eq (setrlimit (RLIMIT_FSIZE, &limit), 0);
}

/*
 * Guards against a full disk that counts as a broken one, and against half a record in a file: the
 * limit is reached at any byte of a segment or a snapshot, where real files are full half-way.
 */
START_TEST (a_limit_of_file_size_is_a_full_disk)
{
  char path[] = "/tmp/wl-storage-XXXXXX";
  char command[64];
  signal (SIGXFSZ, SIG_IGN);
  for (rlim_t limit = 0; limit < 3000; limit += 37)
    {
      Expected now = { 0 };
      WlStorage *s = NULL;
      WlDisk *disk = NULL;
      WlError error = WL_OK;
      strcpy (path, "/tmp/wl-storage-XXXXXX");
      ck_assert_ptr_nonnull (mkdtemp (path));
      ck_assert_int_eq (wl_disk_files_open (path, &disk), WL_OK);
      ck_assert_int_eq (wl_storage_open (disk, 7, &s), WL_OK);
      for (uint64_t n = 1; n <= STEPS; n++)
        {
          limit_file_size (limit);
          error = step (s, n, &now);
          limit_file_size (RLIM_INFINITY);
          ck_assert (error == WL_OK || error == WL_ERROR_NO_SPACE);
          if (error != WL_OK)
            ck_assert_int_eq (step (s, n, &now), WL_OK);
        }
      wl_storage_close (s);
      ck_assert_int_eq (wl_disk_files_open (path, &disk), WL_OK);
      ck_assert_int_eq (wl_storage_open (disk, 8, &s), WL_OK);
      assert_state (s, &now);
      wl_storage_close (s);
      snprintf (command, sizeof command, "rm -r %s", path);
      ck_assert_int_eq (system (command), 0);
    }
}
END_TEST

START_TEST (files_are_locked_and_read_back)
{
  char path[] = "/tmp/wl-storage-XXXXXX";
  char command[64];
  Expected now = { 0 };
  WlStorage *s = NULL;
  WlDisk *disk = NULL;
  WlDisk *second = NULL;
  ck_assert_ptr_nonnull (mkdtemp (path));
  ck_assert_int_eq (wl_disk_files_open (path, &disk), WL_OK);
  ck_assert_int_eq (wl_disk_files_open (path, &second), WL_ERROR_LOCKED);
  ck_assert_int_eq (wl_storage_open (disk, 7, &s), WL_OK);
  for (uint64_t n = 1; n <= STEPS; n++)
    ck_assert_int_eq (step (s, n, &now), WL_OK);
  wl_storage_close (s);
  ck_assert_int_eq (wl_disk_files_open (path, &disk), WL_OK);
  ck_assert_int_eq (wl_storage_open (disk, 8, &s), WL_OK);
  assert_state (s, &now);
  ck_assert_uint_eq (wl_storage_incarnation (s), 7);
  wl_storage_close (s);
  ck_assert_int_eq (wl_disk_files_open ("/proc/nowhere", &disk), WL_ERROR_SYSTEM);
  snprintf (command, sizeof command, "rm -r %s", path);
  ck_assert_int_eq (system (command), 0);
}
END_TEST

int
main (void)
{
  apr_initialize ();
  const WlTest tests[] = {
    WL_TEST (a_crash_at_any_operation_loses_nothing_acknowledged),
    WL_TEST (torn_tails_of_any_length_are_cut),
    WL_TEST (a_full_disk_is_reported_and_loses_nothing),
    WL_TEST (what_failed_on_a_full_disk_can_be_stored_again),
    WL_TEST (a_crash_after_a_sync_that_found_no_room_loses_nothing),
    WL_TEST (a_crash_as_a_snapshot_follows_unsynced_entries_loses_nothing),
    WL_TEST (a_disk_with_room_again_at_any_operation_is_written_to),
    WL_TEST (a_snapshot_that_found_no_room_at_first_leaves_no_older_one),
    WL_TEST (damage_before_the_tail_stops_the_replica),
    WL_TEST (a_folder_without_its_identity_is_refused),
    WL_TEST (a_limit_of_file_size_is_a_full_disk),
    WL_TEST (files_are_locked_and_read_back),
  };
  return wl_test_run ("storage", tests, sizeof tests / sizeof tests[0]);
}
