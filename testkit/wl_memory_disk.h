#ifndef WL_MEMORY_DISK_H
#define WL_MEMORY_DISK_H

#include "wl_disk.h"

/* A data folder in memory that can lose what was not synced. */

enum
{
  MEMORY_FILES = 32,
};

typedef struct
{
  char name[64];
  uint8_t *data;
  uint32_t size;
  uint32_t synced; /* bytes that survive a crash */
  uint8_t is_lost; /* a sync failed: the system has dropped what was not synced, as Linux does */
  uint8_t name_synced;
  uint8_t exists;
} MemoryFile;

/** enum MemoryOperation - operations that may fail; bits */
typedef enum
{
  MEMORY_APPEND = 1,
  MEMORY_TRUNCATE = 2,
  MEMORY_SYNC = 4,
  MEMORY_RENAME = 8,
  MEMORY_REMOVE = 16,
  MEMORY_SYNC_FOLDER = 32,
} MemoryOperation;

/**
 * struct MemoryFolder - what outlives the process
 * @operations: write, sync, rename and remove operations so far
 * @fail_at: operation that fails, together with all later ones; 0 for none
 * @fail_until: operation from which on none fails again; 0 for never
 * @fail_kinds: kinds of operations that fail then, 0 for all
 * @fail_with: error of the failing operations
 * @keep_unsynced: a crash keeps unsynced bytes up to this many of each file
 */
typedef struct
{
  MemoryFile files[MEMORY_FILES];
  MemoryFile shadow[MEMORY_FILES]; /* names as of the latest sync of the folder */
  uint32_t operations;
  uint32_t fail_at;
  uint32_t fail_until;
  uint32_t fail_kinds;
  WlError fail_with;
  uint32_t keep_unsynced;
} MemoryFolder;

/**
 * memory_disk_open() - opens a folder in memory
 * @folder: the folder; must outlive the disk
 *
 * Return: the disk.
 */
WlDisk *memory_disk_open (MemoryFolder *folder);

/**
 * memory_folder_crash() - drops what was not synced
 * @folder: the folder
 */
void memory_folder_crash (MemoryFolder *folder);

/**
 * memory_folder_clear() - empties the folder
 * @folder: the folder
 */
void memory_folder_clear (MemoryFolder *folder);

#endif
