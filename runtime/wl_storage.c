#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "wl_storage.h"

enum
{
  NAME_SIZE = 64,
  SEGMENTS_MAX = 64,
  RECORD_MAX = 16 << 20, /* bytes of one record */
};

typedef enum
{
  RECORD_TERM = 1,
  RECORD_ENTRY,
  RECORD_TRUNCATE,
} RecordKind;

/*
 * Fixed part of a record on disk; the checksum covers the rest. The lowest bit
 * of batch marks the first record of a batch.
 */
typedef struct
{
  uint32_t size;
  uint32_t batch;
  uint64_t checksum;
} Header;

typedef struct
{
  uint32_t kind;
  uint64_t term;
  uint64_t index; /* of an entry, or first removed one */
  uint32_t vote;
  WlBytes command;
} Record;

static const WlField record_fields[] = {
  WL_U32 (Record, kind), WL_U64 (Record, term),      WL_U64 (Record, index),
  WL_U32 (Record, vote), WL_BYTES (Record, command), WL_END,
};

typedef struct
{
  uint64_t index;
  uint64_t index_term;
  uint64_t checksum;
  WlBytes data;
} SnapshotFile;

static const WlField snapshot_fields[] = {
  WL_U64 (SnapshotFile, index),
  WL_U64 (SnapshotFile, index_term),
  WL_U64 (SnapshotFile, checksum),
  WL_BYTES (SnapshotFile, data),
  WL_END,
};

/* A log entry kept in memory until a snapshot covers it, to write new segments. */
typedef struct
{
  uint64_t term;
  uint64_t index;
  WlBytes command;
} Kept;

struct WlStorage
{
  WlDisk *disk;
  apr_pool_t *pool;
  uint64_t incarnation;
  WlStoredState stored;
  uint64_t term;
  uint32_t vote;
  Kept *kept;
  uint32_t n_kept;
  uint32_t kept_capacity;
  uint64_t segment;      /* number of the segment being written */
  uint64_t segment_size; /* its bytes up to the last complete record */
  uint64_t segments[SEGMENTS_MAX];
  uint32_t n_segments;
  uint64_t snapshot;     /* index of the snapshot file, 0 for none */
  uint64_t old_snapshot; /* the one before, until it is removed; 0 for none */
  uint64_t snapshots[SEGMENTS_MAX];
  uint32_t n_snapshots;
  uint32_t batch;
  uint8_t is_batch_start;
  uint8_t dirty;
  uint8_t folder_dirty;
  uint8_t is_torn; /* the segment may end with part of a record */
  uint8_t is_lost; /* a sync of the segment failed: what it held may not be on the disk */
};

static void
segment_name (char *out, uint64_t number)
{
  snprintf (out, NAME_SIZE, "log-%016" PRIx64, number);
}

static void
snapshot_name (char *out, uint64_t index)
{
  snprintf (out, NAME_SIZE, "snapshot-%016" PRIx64, index);
}

static uint64_t
record_checksum (const Header *h, const uint8_t *payload)
{
  uint64_t seed = ((uint64_t)h->size << 32) | h->batch;
  return XXH64 (payload, h->size, seed);
}

/* ---- entries in memory ---- */

static void
drop_kept_from (WlStorage *s, uint64_t index)
{
  while (s->n_kept > 0 && s->kept[s->n_kept - 1].index >= index)
    wl_bytes_release (&s->kept[--s->n_kept].command);
}

static void
drop_kept_to (WlStorage *s, uint64_t index)
{
  uint32_t n = 0;
  while (n < s->n_kept && s->kept[n].index <= index)
    wl_bytes_release (&s->kept[n++].command);
  s->n_kept -= n;
  if (n > 0)
    memmove (s->kept, s->kept + n, s->n_kept * sizeof *s->kept);
}

static void
keep (WlStorage *s, uint64_t term, uint64_t index, WlBytes command)
{
  drop_kept_from (s, index);
  if (s->n_kept == s->kept_capacity)
    {
      s->kept_capacity = s->kept_capacity > 0 ? 2 * s->kept_capacity : 256;
      s->kept = realloc (s->kept, s->kept_capacity * sizeof *s->kept);
      if (s->kept == NULL)
        abort ();
    }
  s->kept[s->n_kept++] = (Kept){ term, index, wl_bytes_dup (command) };
}

/* ---- reading ---- */

static void
apply_record (WlStorage *s, const Record *r)
{
  switch ((RecordKind)r->kind)
    {
    case RECORD_TERM:
      s->term = r->term;
      s->vote = r->vote;
      break;
    case RECORD_ENTRY:
      keep (s, r->term, r->index, r->command);
      break;
    case RECORD_TRUNCATE:
      drop_kept_from (s, r->index);
      break;
    }
}

/* Reads the record at an offset. Returns its length, or 0 when it is damaged. */
static uint32_t
read_record (WlBytes file, uint32_t offset, Header *header, Record *out, apr_pool_t *pool)
{
  Header h;
  if (file.size - offset < sizeof h)
    return 0;
  memcpy (&h, file.data + offset, sizeof h);
  if (h.size == 0 || h.size > RECORD_MAX || h.size > file.size - offset - sizeof h)
    return 0;
  const uint8_t *payload = file.data + offset + sizeof h;
  if (record_checksum (&h, payload) != h.checksum)
    return 0;
  memset (out, 0, sizeof *out);
  if (wl_decode_bytes ((WlBytes){ payload, h.size }, record_fields, out, pool) != WL_OK)
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
  for (uint32_t o = offset + 1; o + sizeof (Header) < file.size; o++)
    {
      Record r;
      Header h;
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
  char name[NAME_SIZE];
  WlBytes file;
  apr_pool_t *pool;
  uint32_t offset = 0;
  segment_name (name, number);
  apr_pool_create (&pool, s->pool);
  WlError error = s->disk->read (s->disk, name, pool, &file);
  while (error == WL_OK && offset < file.size)
    {
      Record r;
      Header h;
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
  char name[NAME_SIZE];
  WlBytes file;
  SnapshotFile f = { 0 };
  snapshot_name (name, index);
  WlError error = s->disk->read (s->disk, name, s->pool, &file);
  if (error != WL_OK)
    return error;
  if (wl_decode_bytes (file, snapshot_fields, &f, s->pool) != WL_OK)
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
insert_sorted (uint64_t *list, uint32_t *n, uint64_t value)
{
  if (*n == SEGMENTS_MAX)
    return;
  uint32_t i = (*n)++;
  for (; i > 0 && list[i - 1] > value; i--)
    list[i] = list[i - 1];
  list[i] = value;
}

static void
note_file (void *data, const char *name)
{
  WlStorage *s = data;
  uint64_t number = 0;
  if (strstr (name, ".tmp") != NULL)
    return;
  if (sscanf (name, "log-%16" SCNx64, &number) == 1)
    insert_sorted (s->segments, &s->n_segments, number);
  else if (sscanf (name, "snapshot-%16" SCNx64, &number) == 1)
    insert_sorted (s->snapshots, &s->n_snapshots, number);
}

static WlError
read_identity (WlStorage *s, uint64_t incarnation)
{
  WlBytes file;
  char text[32];
  WlError error = s->disk->read (s->disk, "identity", s->pool, &file);
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
  return wl_disk_replace (s->disk, "identity", (WlBytes){ (const uint8_t *)text, 17 });
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
      const Kept *k = &s->kept[i];
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

static WlError
read_all (WlStorage *s, uint64_t incarnation)
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
  drop_kept_to (s, s->stored.snapshot_index);
  if (!entries_are_contiguous (s))
    return WL_ERROR_CORRUPT;
  if (s->segment == 0)
    s->segment = 1;
  s->is_batch_start = 1;
  s->batch += 2; /* later than anything that a torn tail may have carried */
  publish_state (s);
  return WL_OK;
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
  WlError error = read_all (s, incarnation);
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
  drop_kept_from (storage, 0);
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
encode_record (WlStorage *s, const Record *r, apr_pool_t *pool)
{
  WlBytes payload = wl_encode_bytes (record_fields, r, pool);
  Header h = { payload.size, s->batch * 2 + s->is_batch_start, 0 };
  s->is_batch_start = 0;
  h.checksum = record_checksum (&h, payload.data);
  uint8_t *out = apr_palloc (pool, sizeof h + payload.size);
  memcpy (out, &h, sizeof h);
  memcpy (out + sizeof h, payload.data, payload.size);
  return (WlBytes){ out, (uint32_t)sizeof h + payload.size };
}

static WlError
append_record (WlStorage *s, const Record *r, apr_pool_t *pool)
{
  char name[NAME_SIZE];
  uint8_t was_batch_start = s->is_batch_start;
  segment_name (name, s->segment);
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
  char name[NAME_SIZE];
  uint8_t was_batch_start = s->is_batch_start;
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  Record r = { .kind = RECORD_TERM, .term = s->term, .vote = s->vote };
  WlBytes bytes = encode_record (s, &r, pool);
  msgpack_sbuffer_write (&buffer, (const char *)bytes.data, bytes.size);
  for (uint32_t i = 0; i < s->n_kept; i++)
    {
      const Kept *k = &s->kept[i];
      r = (Record){ .kind = RECORD_ENTRY, .term = k->term, .index = k->index };
      r.command = k->command;
      bytes = encode_record (s, &r, pool);
      msgpack_sbuffer_write (&buffer, (const char *)bytes.data, bytes.size);
    }
  segment_name (name, s->segment + 1);
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
  char name[NAME_SIZE];
  WlError error = WL_OK;
  for (uint32_t i = 0; i < s->n_segments && error == WL_OK; i++)
    {
      segment_name (name, s->segments[i]);
      error = s->disk->remove (s->disk, name);
      if (error == WL_ERROR_NOT_FOUND)
        error = WL_OK;
    }
  if (error != WL_OK)
    return error; /* all are tried again */
  s->n_segments = 0;
  if (s->old_snapshot == 0)
    return WL_OK;
  snapshot_name (name, s->old_snapshot);
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
  insert_sorted (s->segments, &s->n_segments, s->segment);
  s->segment++;
  s->is_torn = 0;
  s->is_lost = 0;
  return remove_older (s);
}

static WlError
write_snapshot (WlStorage *s, uint64_t index, uint64_t index_term, WlBytes data, apr_pool_t *pool)
{
  char name[NAME_SIZE];
  SnapshotFile f = { index, index_term, XXH64 (data.data, data.size, index), data };
  snapshot_name (name, index);
  WlError error = wl_disk_replace (s->disk, name, wl_encode_bytes (snapshot_fields, &f, pool));
  if (error != WL_OK)
    return error;
  if (s->snapshot != index)
    s->old_snapshot = s->snapshot;
  s->snapshot = index;
  drop_kept_to (s, index);
  return replace_segment (s, pool);
}

WlError
wl_storage_write (WlStorage *storage, const WlEffect *effect)
{
  WlError error = WL_OK;
  apr_pool_t *pool;
  Record r = { 0 };
  apr_pool_create (&pool, NULL);
  switch (effect->kind)
    {
    case WL_EFFECT_STORE_TERM:
      storage->term = effect->u.term.term;
      storage->vote = effect->u.term.vote;
      r = (Record){ .kind = RECORD_TERM, .term = storage->term, .vote = storage->vote };
      error = append_record (storage, &r, pool);
      break;
    case WL_EFFECT_STORE_ENTRY:
      keep (storage, effect->u.entry.term, effect->u.entry.index, effect->u.entry.command);
      r = (Record){ .kind = RECORD_ENTRY, .term = effect->u.entry.term };
      r.index = effect->u.entry.index;
      r.command = effect->u.entry.command;
      error = append_record (storage, &r, pool);
      break;
    case WL_EFFECT_STORE_TRUNCATE:
      drop_kept_from (storage, effect->u.truncate_from);
      r = (Record){ .kind = RECORD_TRUNCATE, .index = effect->u.truncate_from };
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
  char name[NAME_SIZE];
  apr_pool_t *pool;
  WlError error;
  if (s->is_lost)
    {
      apr_pool_create (&pool, NULL);
      error = replace_segment (s, pool);
      apr_pool_destroy (pool);
      return error;
    }
  segment_name (name, s->segment);
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
