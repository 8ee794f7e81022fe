#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "wl_storage_internal.h"

/* Reads what a replica has stored, at its start. */

static const char identity_file[] = "identity";

static void
apply_record (WlStorage *s, const WlRecord *r)
{
  switch ((WlRecordKind)r->kind)
    {
    case WL_RECORD_TERM:
      s->term = r->term;
      s->vote = r->vote;
      break;
    case WL_RECORD_ENTRY:
      wl_storage_keep (s, r->term, r->index, r->command);
      break;
    case WL_RECORD_TRUNCATE:
      wl_storage_drop_kept_from (s, r->index);
      break;
    }
}

/* Reads the record at an offset. Returns its length, or 0 when it is damaged. */
static uint32_t
read_record (WlBytes file, uint32_t offset, WlRecordHeader *header, WlRecord *out, apr_pool_t *pool)
{
  WlRecordHeader h;
  if (file.size - offset < sizeof h)
    return 0;
  memcpy (&h, file.data + offset, sizeof h);
  if (h.size == 0 || h.size > WL_STORAGE_RECORD_MAX || h.size > file.size - offset - sizeof h)
    return 0;
  const uint8_t *payload = file.data + offset + sizeof h;
  if (wl_storage_record_checksum (&h, payload) != h.checksum)
    return 0;
  memset (out, 0, sizeof *out);
  if (wl_decode_bytes ((WlBytes){ payload, h.size }, wl_storage_record_fields, out, pool) != WL_OK)
    return 0;
  *header = h;
  return h.size + (uint32_t)sizeof h;
}

/*
 * Whether the damage lies before a batch that began later. A batch begins only
 * after the previous one was synced, so such damage is not a torn tail.
 */
static int
later_batch_follows (WlBytes file, uint32_t offset, uint32_t batch, apr_pool_t *pool)
{
  for (uint32_t o = offset + 1; o + sizeof (WlRecordHeader) < file.size; o++)
    {
      WlRecord r;
      WlRecordHeader h;
      if (read_record (file, o, &h, &r, pool) == 0)
        continue;
      if (h.batch / 2 > batch + 1 || (h.batch / 2 > batch && (h.batch & 1)))
        return 1;
    }
  return 0;
}

static WlError
read_segment (WlStorage *s, uint64_t number)
{
  char name[WL_STORAGE_NAME_SIZE];
  WlBytes file;
  apr_pool_t *pool;
  uint32_t offset = 0;
  wl_storage_segment_name (name, number);
  apr_pool_create (&pool, s->pool);
  WlError error = s->disk->read (s->disk, name, pool, &file);
  while (error == WL_OK && offset < file.size)
    {
      WlRecord r;
      WlRecordHeader h;
      uint32_t length = read_record (file, offset, &h, &r, pool);
      if (length == 0)
        break;
      s->batch = h.batch / 2;
      apply_record (s, &r);
      offset += length;
    }
  s->segment_size = offset;
  if (error == WL_OK && offset < file.size)
    {
      /* The damaged record belongs to the last batch read or to the one after it. */
      if (later_batch_follows (file, offset, s->batch, pool))
        error = WL_ERROR_CORRUPT;
      else
        error = s->disk->truncate (s->disk, name, offset);
      if (error == WL_OK)
        error = s->disk->sync (s->disk, name);
    }
  apr_pool_destroy (pool);
  return error;
}

static WlError
read_snapshot (WlStorage *s, uint64_t index)
{
  char name[WL_STORAGE_NAME_SIZE];
  WlBytes file;
  WlSnapshotFile f = { 0 };
  wl_storage_snapshot_name (name, index);
  WlError error = s->disk->read (s->disk, name, s->pool, &file);
  if (error != WL_OK)
    return error;
  if (wl_decode_bytes (file, wl_storage_snapshot_fields, &f, s->pool) != WL_OK)
    return WL_ERROR_CORRUPT;
  if (XXH64 (f.data.data, f.data.size, f.index) != f.checksum || f.index != index)
    return WL_ERROR_CORRUPT;
  s->stored.snapshot_index = f.index;
  s->stored.snapshot_term = f.index_term;
  s->stored.snapshot = f.data;
  s->snapshot = index;
  return WL_OK;
}

static void
note_file (void *data, const char *name)
{
  WlStorage *s = data;
  uint64_t number = 0;
  if (strstr (name, ".tmp") != NULL)
    return;
  if (sscanf (name, "log-%16" SCNx64, &number) == 1)
    wl_storage_insert_sorted (s->segments, &s->n_segments, number);
  else if (sscanf (name, "snapshot-%16" SCNx64, &number) == 1)
    wl_storage_insert_sorted (s->snapshots, &s->n_snapshots, number);
}

int
wl_storage_is_new (WlDisk *disk)
{
  WlBytes file;
  apr_pool_t *pool;
  apr_pool_create (&pool, NULL);
  WlError error = disk->read (disk, identity_file, pool, &file);
  apr_pool_destroy (pool);
  return error == WL_ERROR_NOT_FOUND;
}

static WlError
read_identity (WlStorage *s, uint64_t incarnation)
{
  WlBytes file;
  char text[32];
  WlError error = s->disk->read (s->disk, identity_file, s->pool, &file);
  if (error == WL_OK)
    {
      if (file.size != 17)
        return WL_ERROR_CORRUPT;
      memcpy (text, file.data, 16);
      text[16] = '\0';
      s->incarnation = strtoull (text, NULL, 16);
      return s->incarnation != 0 ? WL_OK : WL_ERROR_CORRUPT;
    }
  if (error != WL_ERROR_NOT_FOUND)
    return error;
  /* A log without an identity means that the folder was tampered with. */
  if (s->n_segments > 0 || s->n_snapshots > 0)
    return WL_ERROR_CORRUPT;
  s->incarnation = incarnation;
  snprintf (text, sizeof text, "%016" PRIx64 "\n", incarnation);
  return wl_disk_replace (s->disk, identity_file, (WlBytes){ (const uint8_t *)text, 17 });
}

static void
publish_state (WlStorage *s)
{
  s->stored.term = s->term;
  s->stored.vote = s->vote;
  s->stored.entries = apr_pcalloc (s->pool, (s->n_kept + 1) * sizeof *s->stored.entries);
  s->stored.n_entries = s->n_kept;
  for (uint32_t i = 0; i < s->n_kept; i++)
    {
      const WlKeptEntry *k = &s->kept[i];
      s->stored.entries[i].term = k->term;
      s->stored.entries[i].index = k->index;
      s->stored.entries[i].command.size = k->command.size;
      s->stored.entries[i].command.data = apr_pmemdup (s->pool, k->command.data, k->command.size);
    }
}

static int
entries_are_contiguous (const WlStorage *s)
{
  for (uint32_t i = 0; i < s->n_kept; i++)
    if (s->kept[i].index != s->stored.snapshot_index + 1 + i)
      return 0;
  return 1;
}

WlError
wl_storage_read_all (WlStorage *s, uint64_t incarnation)
{
  WlError error = s->disk->list (s->disk, note_file, s);
  if (error == WL_OK)
    error = read_identity (s, incarnation);
  if (error == WL_OK && s->n_snapshots > 0)
    error = read_snapshot (s, s->snapshots[s->n_snapshots - 1]);
  /* The last segment begins with all that the ones before hold, which the crash may have damaged.
   */
  if (error == WL_OK && s->n_segments > 0)
    {
      s->segment = s->segments[s->n_segments - 1];
      error = read_segment (s, s->segment);
    }
  if (error != WL_OK)
    return error;
  wl_storage_drop_kept_to (s, s->stored.snapshot_index);
  if (!entries_are_contiguous (s))
    return WL_ERROR_CORRUPT;
  if (s->segment == 0)
    s->segment = 1;
  s->is_batch_start = 1;
  s->batch += 2; /* later than anything that a torn tail may have carried */
  publish_state (s);
  return WL_OK;
}
