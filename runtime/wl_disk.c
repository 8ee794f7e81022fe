#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include "wl_disk.h"

enum
{
  NAME_SIZE = 64,
  CHECKSUM_SIZE = 8, /* XXH64, in the byte order of the machine */
};

WlError
wl_disk_replace (WlDisk *disk, const char *name, WlBytes bytes)
{
  char temporary[NAME_SIZE];
  snprintf (temporary, sizeof temporary, "%.50s.tmp", name);
  WlError error = disk->remove (disk, temporary);
  if (error != WL_OK && error != WL_ERROR_NOT_FOUND)
    return error;
  error = disk->append (disk, temporary, bytes);
  if (error == WL_OK)
    error = disk->sync (disk, temporary);
  if (error == WL_OK)
    error = disk->rename (disk, temporary, name);
  if (error == WL_OK)
    error = disk->sync_folder (disk);
  return error;
}

WlError
wl_disk_save (WlDisk *disk, const char *name, WlBytes bytes)
{
  uint64_t checksum = XXH64 (bytes.data, bytes.size, 0);
  uint8_t *file = malloc (CHECKSUM_SIZE + bytes.size);
  if (file == NULL)
    return WL_ERROR_NO_MEMORY;
  memcpy (file, &checksum, CHECKSUM_SIZE);
  if (bytes.size > 0)
    memcpy (file + CHECKSUM_SIZE, bytes.data, bytes.size);
  WlError error = wl_disk_replace (disk, name, (WlBytes){ file, CHECKSUM_SIZE + bytes.size });
  free (file);
  return error;
}

WlError
wl_disk_load (WlDisk *disk, const char *name, apr_pool_t *pool, WlBytes *out)
{
  WlBytes file;
  uint64_t checksum;
  WlError error = disk->read (disk, name, pool, &file);
  if (error != WL_OK)
    return error;
  if (file.size < CHECKSUM_SIZE)
    return WL_ERROR_CORRUPT;
  memcpy (&checksum, file.data, CHECKSUM_SIZE);
  *out = (WlBytes){ file.data + CHECKSUM_SIZE, file.size - CHECKSUM_SIZE };
  return XXH64 (out->data, out->size, 0) == checksum ? WL_OK : WL_ERROR_CORRUPT;
}
