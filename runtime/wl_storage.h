#ifndef WL_STORAGE_H
#define WL_STORAGE_H

#include "wisterialoft.h"
#include "wl_disk.h"

/*
 * Durable state of a control replica: identity, term and vote, log and
 * snapshot.
 *
 * The log is a sequence of records, each with its length, the number of the
 * batch that it was synced with, and a checksum. A damaged record that no
 * record of a later batch follows was never synced: it is a torn tail and is
 * cut. Damage before a later batch is an error. A snapshot starts a new
 * segment that holds the entries not covered; it is written under a
 * temporary name, synced and renamed before the old one is removed.
 */

typedef struct WlStorage WlStorage;

/**
 * wl_storage_is_new() - whether the folder has no identity yet
 * @disk: the data folder
 *
 * Return: 1, or 0 also when the folder cannot be read.
 */
int wl_storage_is_new (WlDisk *disk);

/**
 * wl_storage_open() - reads the durable state
 * @disk: the data folder; owned by the storage on success
 * @incarnation: identity to use when the folder is new, not 0
 * @out: receives the storage
 *
 * Return: WL_OK, WL_ERROR_CORRUPT, WL_ERROR_NO_SPACE or WL_ERROR_SYSTEM.
 */
WlError wl_storage_open (WlDisk *disk, uint64_t incarnation, WlStorage **out);

/**
 * wl_storage_close() - closes the storage and its disk
 * @storage: the storage, or NULL
 */
void wl_storage_close (WlStorage *storage);

/**
 * wl_storage_state() - the state as read by wl_storage_open()
 * @storage: the storage
 *
 * Return: the state; valid until wl_storage_forget().
 */
const WlStoredState *wl_storage_state (const WlStorage *storage);

/**
 * wl_storage_forget() - frees the state read at start
 * @storage: the storage
 */
void wl_storage_forget (WlStorage *storage);

/**
 * wl_storage_disk() - the data folder, for files of others
 * @storage: the storage
 *
 * Return: the disk, which the storage closes. Names that begin with log-,
 * snapshot- and identity belong to the storage.
 */
WlDisk *wl_storage_disk (WlStorage *storage);

/**
 * wl_storage_incarnation() - identity of the data folder
 * @storage: the storage
 *
 * Return: the number drawn when the folder was created.
 */
uint64_t wl_storage_incarnation (const WlStorage *storage);

/**
 * wl_storage_write() - carries out one WL_EFFECT_STORE_* effect
 * @storage: the storage
 * @effect: the effect
 *
 * After an error the same effect may be tried again: what part of it was
 * written is cut off first.
 *
 * Return: WL_OK, WL_ERROR_NO_SPACE or WL_ERROR_SYSTEM.
 */
WlError wl_storage_write (WlStorage *storage, const WlEffect *effect);

/**
 * wl_storage_sync() - makes everything written durable
 * @storage: the storage
 *
 * Return: WL_OK, WL_ERROR_NO_SPACE or WL_ERROR_SYSTEM.
 */
WlError wl_storage_sync (WlStorage *storage);

#endif
