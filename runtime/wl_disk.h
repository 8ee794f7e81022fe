#ifndef WL_DISK_H
#define WL_DISK_H

#include "wl_codec.h"

/*
 * The few operations that durable storage needs from a data folder. Two
 * backends: files (wl_disk_files.c), and memory with simulated crashes in the
 * tests. Content and names last only once they are synced.
 */

/**
 * struct WlDisk - a data folder
 * @list: calls @each with the name of every file
 * @read: reads a whole file into @pool
 * @append: appends to a file and creates it when missing
 * @truncate: cuts a file to a size
 * @sync: makes the content of a file durable
 * @rename: renames a file, replacing the target
 * @remove: removes a file
 * @sync_folder: makes names durable
 * @destroy: frees the backend
 *
 * All return WL_OK, WL_ERROR_NO_SPACE, WL_ERROR_NOT_FOUND or WL_ERROR_SYSTEM.
 */
typedef struct WlDisk
{
  WlError (*list) (struct WlDisk *disk, void (*each) (void *data, const char *name), void *data);
  WlError (*read) (struct WlDisk *disk, const char *name, apr_pool_t *pool, WlBytes *out);
  WlError (*append) (struct WlDisk *disk, const char *name, WlBytes bytes);
  WlError (*truncate) (struct WlDisk *disk, const char *name, uint64_t size);
  WlError (*sync) (struct WlDisk *disk, const char *name);
  WlError (*rename) (struct WlDisk *disk, const char *from, const char *to);
  WlError (*remove) (struct WlDisk *disk, const char *name);
  WlError (*sync_folder) (struct WlDisk *disk);
  void (*destroy) (struct WlDisk *disk);
} WlDisk;

/**
 * wl_disk_files_open() - opens a data folder and locks it
 * @path: the folder; created when missing
 * @out: receives the disk
 *
 * Return: WL_OK, WL_ERROR_LOCKED when another process uses the folder, or
 * WL_ERROR_SYSTEM when it cannot be written.
 */
WlError wl_disk_files_open (const char *path, WlDisk **out);

/**
 * wl_disk_replace() - replaces a file as a whole
 * @disk: the folder
 * @name: name, of at most 50 characters
 * @bytes: new content
 *
 * After a crash the file holds the old or the new content; once this returns
 * WL_OK the new one lasts.
 *
 * Return: WL_OK or the error of the first operation that failed.
 */
WlError wl_disk_replace (WlDisk *disk, const char *name, WlBytes bytes);

/**
 * wl_disk_save() - replaces a file and protects it by a checksum
 *
 * Parameters and result are those of wl_disk_replace().
 */
WlError wl_disk_save (WlDisk *disk, const char *name, WlBytes bytes);

/**
 * wl_disk_load() - reads a file written by wl_disk_save()
 * @disk: the folder
 * @name: name
 * @pool: owner of the content
 * @out: receives the content
 *
 * Return: WL_OK, WL_ERROR_NOT_FOUND, WL_ERROR_CORRUPT or WL_ERROR_SYSTEM.
 */
WlError wl_disk_load (WlDisk *disk, const char *name, apr_pool_t *pool, WlBytes *out);

#endif
