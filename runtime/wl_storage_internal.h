#ifndef WL_STORAGE_INTERNAL_H
#define WL_STORAGE_INTERNAL_H

#include "wl_storage.h"

/* Shared by wl_storage.c (writing) and wl_storage_read.c (reading at the start). */

enum
{
  WL_STORAGE_NAME_SIZE = 64,
  WL_STORAGE_SEGMENTS_MAX = 64,
  WL_STORAGE_RECORD_MAX = 16 << 20, /* bytes of one record */
};

typedef enum
{
  WL_RECORD_TERM = 1,
  WL_RECORD_ENTRY,
  WL_RECORD_TRUNCATE,
} WlRecordKind;

/*
 * Fixed part of a record on disk; the checksum covers the rest. The lowest bit
 * of batch marks the first record of a batch.
 */
typedef struct
{
  uint32_t size;
  uint32_t batch;
  uint64_t checksum;
} WlRecordHeader;

typedef struct
{
  uint32_t kind;
  uint64_t term;
  uint64_t index; /* of an entry, or first removed one */
  uint32_t vote;
  WlBytes command;
} WlRecord;

typedef struct
{
  uint64_t index;
  uint64_t index_term;
  uint64_t checksum;
  WlBytes data;
} WlSnapshotFile;

/* A log entry kept in memory until a snapshot covers it, to write new segments. */
typedef struct
{
  uint64_t term;
  uint64_t index;
  WlBytes command;
} WlKeptEntry;

struct WlStorage
{
  WlDisk *disk;
  apr_pool_t *pool;
  uint64_t incarnation;
  WlStoredState stored;
  uint64_t term;
  uint32_t vote;
  WlKeptEntry *kept;
  uint32_t n_kept;
  uint32_t kept_capacity;
  uint64_t segment;      /* number of the segment being written */
  uint64_t segment_size; /* its bytes up to the last complete record */
  uint64_t segments[WL_STORAGE_SEGMENTS_MAX];
  uint32_t n_segments;
  uint64_t snapshot;     /* index of the snapshot file, 0 for none */
  uint64_t old_snapshot; /* the one before, until it is removed; 0 for none */
  uint64_t snapshots[WL_STORAGE_SEGMENTS_MAX];
  uint32_t n_snapshots;
  uint32_t batch;
  uint8_t is_batch_start;
  uint8_t dirty;
  uint8_t folder_dirty;
  uint8_t is_torn; /* the segment may end with part of a record */
  uint8_t is_lost; /* a sync of the segment failed: what it held may not be on the disk */
};

extern const WlField wl_storage_record_fields[];
extern const WlField wl_storage_snapshot_fields[];

/** wl_storage_segment_name() - writes the name of a segment of the log */
void wl_storage_segment_name (char *out, uint64_t number);

/** wl_storage_snapshot_name() - writes the name of a snapshot */
void wl_storage_snapshot_name (char *out, uint64_t index);

/** wl_storage_record_checksum() - checksum of a record, its header included */
uint64_t wl_storage_record_checksum (const WlRecordHeader *h, const uint8_t *payload);

/** wl_storage_keep() - keeps an entry in memory, in place of those from its index on */
void wl_storage_keep (WlStorage *s, uint64_t term, uint64_t index, WlBytes command);

/** wl_storage_drop_kept_from() - drops the kept entries from an index on */
void wl_storage_drop_kept_from (WlStorage *s, uint64_t index);

/** wl_storage_drop_kept_to() - drops the kept entries up to an index */
void wl_storage_drop_kept_to (WlStorage *s, uint64_t index);

/** wl_storage_insert_sorted() - adds a number to a list of up to WL_STORAGE_SEGMENTS_MAX */
void wl_storage_insert_sorted (uint64_t *list, uint32_t *n, uint64_t value);

/**
 * wl_storage_read_all() - reads the folder
 * @s: storage whose disk is set
 * @incarnation: identity of a new folder
 *
 * Return: WL_OK, WL_ERROR_CORRUPT, or the error of the disk.
 */
WlError wl_storage_read_all (WlStorage *s, uint64_t incarnation);

#endif
