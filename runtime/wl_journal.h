#ifndef WL_JOURNAL_H
#define WL_JOURNAL_H

#include "wl_reactor.h"
#include "wl_storage.h"

/*
 * Carries out batches of effects in order: what a batch stores is written and
 * synced on a thread of its own, so that a slow disk does not stop the event
 * loop, and only then is the batch released. A batch without store effects
 * waits for the ones before it. A write that fails, because the disk is full
 * for example, is tried again; nothing after it is released meanwhile.
 */

enum
{
  WL_JOURNAL_RETRY_US = 100000, /* pause before a failed write is tried again */
};

typedef struct WlJournal WlJournal;

enum
{
  WL_JOURNAL_FILES_MAX = 4, /* files beside the storage */
};

/**
 * wl_journal_create() - starts the thread
 * @reactor: event loop on which batches are released
 * @storage: where to store, owned by the journal; NULL for nodes without a disk
 * @release: called with each batch whose effects may be carried out, and with
 *   NULL when a sync has failed and the process must stop
 * @data: passed to @release
 * @out: receives the journal
 *
 * Return: WL_OK or WL_ERROR_SYSTEM.
 */
WlError wl_journal_create (WlReactor *reactor, WlStorage *storage,
                           void (*release) (void *data, WlEffects *effects), void *data,
                           WlJournal **out);

/** wl_journal_destroy() - waits for the write in progress and ends; accepts NULL */
void wl_journal_destroy (WlJournal *journal);

/**
 * wl_journal_submit() - takes a batch
 * @journal: the journal
 * @effects: the batch; owned by the journal until released, then destroyed by it
 */
void wl_journal_submit (WlJournal *journal, WlEffects *effects);

/** wl_journal_n_submitted() - number of batches that were submitted */
uint64_t wl_journal_n_submitted (const WlJournal *journal);

/** wl_journal_n_released() - number of batches that were released, the current one included */
uint64_t wl_journal_n_released (const WlJournal *journal);

/** wl_journal_queued_bytes() - bytes of effects that wait for the disk, or for those before them */
uint64_t wl_journal_queued_bytes (const WlJournal *journal);

/**
 * wl_journal_is_idle() - whether nothing waits for the disk
 * @journal: the journal, or NULL
 *
 * Return: 1 when each batch is released, and each file of wl_journal_save()
 * written or given up.
 */
int wl_journal_is_idle (WlJournal *journal);

/**
 * wl_journal_save() - replaces a file beside the storage
 * @journal: the journal; without a disk nothing happens
 * @name: name of the file, with static lifetime
 * @bytes: content, copied
 *
 * Written with wl_disk_save() when no batch waits. Nothing waits for it: a
 * later save of the same name replaces one that was not begun, and one that
 * fails is counted with the repeated writes and left to the next. There are at
 * most WL_JOURNAL_FILES_MAX names.
 */
void wl_journal_save (WlJournal *journal, const char *name, WlBytes bytes);

#endif
