#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "wl_storage_internal.h"

const WlField wl_storage_record_fields[] = {
  WL_U32 (WlRecord, kind), WL_U64 (WlRecord, term),      WL_U64 (WlRecord, index),
  WL_U32 (WlRecord, vote), WL_BYTES (WlRecord, command), WL_END,
};

const WlField wl_storage_snapshot_fields[] = {
  WL_U64 (WlSnapshotFile, index),
  WL_U64 (WlSnapshotFile, index_term),
  WL_U64 (WlSnapshotFile, checksum),
  WL_BYTES (WlSnapshotFile, data),
  WL_END,
};

void
wl_storage_segment_name (char *out, uint64_t number)
{
  snprintf (out, WL_STORAGE_NAME_SIZE, "log-%016" PRIx64, number);
}

void
wl_storage_snapshot_name (char *out, uint64_t index)
{
  snprintf (out, WL_STORAGE_NAME_SIZE, "snapshot-%016" PRIx64, index);
}

uint64_t
wl_storage_record_checksum (const WlRecordHeader *h, const uint8_t *payload)
{
  uint64_t seed = ((uint64_t)h->size << 32) | h->batch;
  return XXH64 (payload, h->size, seed);
}

/* ---- entries in memory ---- */

void
wl_storage_drop_kept_from (WlStorage *s, uint64_t index)
{
  while (s->n_kept > 0 && s->kept[s->n_kept - 1].index >= index)
    wl_bytes_release (&s->kept[--s->n_kept].command);
}

void
wl_storage_drop_kept_to (WlStorage *s, uint64_t index)
{
  uint32_t n = 0;
  while (n < s->n_kept && s->kept[n].index <= index)
    wl_bytes_release (&s->kept[n++].command);
  s->n_kept -= n;
  if (n > 0)
    memmove (s->kept, s->kept + n, s->n_kept * sizeof *s->kept);
}

void
wl_storage_keep (WlStorage *s, uint64_t term, uint64_t index, WlBytes command)
{
  wl_storage_drop_kept_from (s, index);
  if (s->n_kept == s->kept_capacity)
    {
      s->kept_capacity = s->kept_capacity > 0 ? 2 * s->kept_capacity : 256;
      s->kept = realloc (s->kept, s->kept_capacity * sizeof *s->kept);
      if (s->kept == NULL)
        abort ();
    }
  s->kept[s->n_kept++] = (WlKeptEntry){ term, index, wl_bytes_dup (command) };
}

void
wl_storage_insert_sorted (uint64_t *list, uint32_t *n, uint64_t value)
{
  if (*n == WL_STORAGE_SEGMENTS_MAX)
    return;
  uint32_t i = (*n)++;
  for (; i > 0 && list[i - 1] > value; i--)
    list[i] = list[i - 1];
  list[i] = value;
}

WlError
wl_storage_open (WlDisk *disk, uint64_t incarnation, WlStorage **out)
{
  WlStorage *s = calloc (1, sizeof *s);
  if (s == NULL)
    return WL_ERROR_NO_MEMORY;
  s->disk = disk;
  s->folder_dirty = 1;
  apr_pool_create (&s->pool, NULL);
  WlError error = wl_storage_read_all (s, incarnation);
  if (error == WL_OK)
    *out = s;
  else
    {
      s->disk = NULL;
      wl_storage_close (s);
    }
  return error;
}

void
wl_storage_close (WlStorage *storage)
{
  if (storage == NULL)
    return;
  wl_storage_drop_kept_from (storage, 0);
  free (storage->kept);
  if (storage->disk != NULL)
    storage->disk->destroy (storage->disk);
  if (storage->pool != NULL)
    apr_pool_destroy (storage->pool);
  free (storage);
}

const WlStoredState *
wl_storage_state (const WlStorage *storage)
{
  return &storage->stored;
}

void
wl_storage_forget (WlStorage *storage)
{
  memset (&storage->stored, 0, sizeof storage->stored);
  apr_pool_destroy (storage->pool);
  storage->pool = NULL;
}

WlDisk *
wl_storage_disk (WlStorage *storage)
{
  return storage->disk;
}

uint64_t
wl_storage_incarnation (const WlStorage *storage)
{
  return storage->incarnation;
}

/* ---- writing ---- */

static WlBytes
encode_record (WlStorage *s, const WlRecord *r, apr_pool_t *pool)
{
  WlBytes payload = wl_encode_bytes (wl_storage_record_fields, r, pool);
  WlRecordHeader h = { payload.size, s->batch * 2 + s->is_batch_start, 0 };
  s->is_batch_start = 0;
  h.checksum = wl_storage_record_checksum (&h, payload.data);
  uint8_t *out = apr_palloc (pool, sizeof h + payload.size);
  memcpy (out, &h, sizeof h);
  memcpy (out + sizeof h, payload.data, payload.size);
  return (WlBytes){ out, (uint32_t)sizeof h + payload.size };
}

static WlError
append_record (WlStorage *s, const WlRecord *r, apr_pool_t *pool)
{
  char name[WL_STORAGE_NAME_SIZE];
  uint8_t was_batch_start = s->is_batch_start;
  wl_storage_segment_name (name, s->segment);
  if (s->is_torn)
    {
      WlError error = s->disk->truncate (s->disk, name, s->segment_size);
      if (error != WL_OK && error != WL_ERROR_NOT_FOUND)
        return error;
    }
  WlBytes bytes = encode_record (s, r, pool);
  WlError error = s->disk->append (s->disk, name, bytes);
  s->dirty = 1;
  s->is_torn = error != WL_OK; /* part of the record may have been written */
  if (s->is_torn)
    s->is_batch_start = was_batch_start;
  else
    s->segment_size += bytes.size;
  return error;
}

/* Writes the entries not covered by the snapshot to a new segment. */
static WlError
start_segment (WlStorage *s, apr_pool_t *pool)
{
  char name[WL_STORAGE_NAME_SIZE];
  uint8_t was_batch_start = s->is_batch_start;
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  WlRecord r = { .kind = WL_RECORD_TERM, .term = s->term, .vote = s->vote };
  WlBytes bytes = encode_record (s, &r, pool);
  msgpack_sbuffer_write (&buffer, (const char *)bytes.data, bytes.size);
  for (uint32_t i = 0; i < s->n_kept; i++)
    {
      const WlKeptEntry *k = &s->kept[i];
      r = (WlRecord){ .kind = WL_RECORD_ENTRY, .term = k->term, .index = k->index };
      r.command = k->command;
      bytes = encode_record (s, &r, pool);
      msgpack_sbuffer_write (&buffer, (const char *)bytes.data, bytes.size);
    }
  wl_storage_segment_name (name, s->segment + 1);
  WlError error = wl_disk_replace (
      s->disk, name, (WlBytes){ (const uint8_t *)buffer.data, (uint32_t)buffer.size });
  if (error == WL_OK)
    s->segment_size = buffer.size;
  else
    s->is_batch_start = was_batch_start;
  msgpack_sbuffer_destroy (&buffer);
  return error;
}

static WlError
remove_older (WlStorage *s)
{
  char name[WL_STORAGE_NAME_SIZE];
  WlError error = WL_OK;
  for (uint32_t i = 0; i < s->n_segments && error == WL_OK; i++)
    {
      wl_storage_segment_name (name, s->segments[i]);
      error = s->disk->remove (s->disk, name);
      if (error == WL_ERROR_NOT_FOUND)
        error = WL_OK;
    }
  if (error != WL_OK)
    return error; /* all are tried again */
  s->n_segments = 0;
  if (s->old_snapshot == 0)
    return WL_OK;
  wl_storage_snapshot_name (name, s->old_snapshot);
  error = s->disk->remove (s->disk, name);
  if (error != WL_OK && error != WL_ERROR_NOT_FOUND)
    return error;
  s->old_snapshot = 0;
  return WL_OK;
}

/* Goes on with a new segment, and removes what it replaces. */
static WlError
replace_segment (WlStorage *s, apr_pool_t *pool)
{
  WlError error = start_segment (s, pool);
  if (error != WL_OK)
    return error;
  wl_storage_insert_sorted (s->segments, &s->n_segments, s->segment);
  s->segment++;
  s->is_torn = 0;
  s->is_lost = 0;
  return remove_older (s);
}

static WlError
write_snapshot (WlStorage *s, uint64_t index, uint64_t index_term, WlBytes data, apr_pool_t *pool)
{
  char name[WL_STORAGE_NAME_SIZE];
  WlSnapshotFile f = { index, index_term, XXH64 (data.data, data.size, index), data };
  wl_storage_snapshot_name (name, index);
  WlError error
      = wl_disk_replace (s->disk, name, wl_encode_bytes (wl_storage_snapshot_fields, &f, pool));
  if (error != WL_OK)
    return error;
  if (s->snapshot != index)
    s->old_snapshot = s->snapshot;
  s->snapshot = index;
  wl_storage_drop_kept_to (s, index);
  return replace_segment (s, pool);
}

WlError
wl_storage_write (WlStorage *storage, const WlEffect *effect)
{
  WlError error = WL_OK;
  apr_pool_t *pool;
  WlRecord r = { 0 };
  apr_pool_create (&pool, NULL);
  switch (effect->kind)
    {
    case WL_EFFECT_STORE_TERM:
      storage->term = effect->u.term.term;
      storage->vote = effect->u.term.vote;
      r = (WlRecord){ .kind = WL_RECORD_TERM, .term = storage->term, .vote = storage->vote };
      error = append_record (storage, &r, pool);
      break;
    case WL_EFFECT_STORE_ENTRY:
      wl_storage_keep (storage, effect->u.entry.term, effect->u.entry.index,
                       effect->u.entry.command);
      r = (WlRecord){ .kind = WL_RECORD_ENTRY, .term = effect->u.entry.term };
      r.index = effect->u.entry.index;
      r.command = effect->u.entry.command;
      error = append_record (storage, &r, pool);
      break;
    case WL_EFFECT_STORE_TRUNCATE:
      wl_storage_drop_kept_from (storage, effect->u.truncate_from);
      r = (WlRecord){ .kind = WL_RECORD_TRUNCATE, .index = effect->u.truncate_from };
      error = append_record (storage, &r, pool);
      break;
    case WL_EFFECT_STORE_SNAPSHOT:
      error = write_snapshot (storage, effect->u.snapshot.index, effect->u.snapshot.index_term,
                              effect->u.snapshot.data, pool);
      break;
    default:
      break;
    }
  apr_pool_destroy (pool);
  return error;
}

/*
 * After a failed sync the system may drop what it had cached, and report success from then on, as
 * Linux does. The next sync writes all of it again.
 */
static WlError
sync_segment (WlStorage *s)
{
  char name[WL_STORAGE_NAME_SIZE];
  apr_pool_t *pool;
  WlError error;
  if (s->is_lost)
    {
      apr_pool_create (&pool, NULL);
      error = replace_segment (s, pool);
      apr_pool_destroy (pool);
      return error;
    }
  wl_storage_segment_name (name, s->segment);
  error = s->disk->sync (s->disk, name);
  if (error == WL_OK && s->folder_dirty)
    error = s->disk->sync_folder (s->disk);
  s->is_lost = error != WL_OK;
  return error;
}

WlError
wl_storage_sync (WlStorage *storage)
{
  if (!storage->dirty)
    return WL_OK;
  WlError error = sync_segment (storage);
  if (error != WL_OK)
    return error;
  storage->folder_dirty = 0;
  storage->dirty = 0;
  storage->batch++;
  storage->is_batch_start = 1;
  return error;
}
