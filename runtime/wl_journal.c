#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <fcntl.h>
#include "wl_effects.h"
#include "wl_events.h"
#include "wl_journal.h"
#include "wl_log.h"

typedef struct Batch
{
  WlEffects *effects;
  int stores;
  struct Batch *next;
} Batch;

typedef struct
{
  Batch *first;
  Batch *last;
} Queue;

/* A file to be replaced; without bytes, one that was. */
typedef struct
{
  const char *name;
  WlBytes bytes; /* on the heap */
} SavedFile;

struct WlJournal
{
  WlReactor *reactor;
  WlStorage *storage;
  void (*release) (void *data, WlEffects *effects);
  void *data;
  Queue waiting; /* on the event loop's thread, like the two counts */
  uint64_t n_submitted;
  uint64_t n_released;
  Batch *writing; /* given to the thread */
  pthread_t thread;
  pthread_mutex_t mutex;
  pthread_cond_t wake;
  int pipe[2];
  WlWatch *watch;
  SavedFile saved[WL_JOURNAL_FILES_MAX]; /* under the mutex */
  uint32_t n_retries;                    /* failed writes, under the mutex */
  uint32_t n_logged;
  uint8_t is_written; /* the thread is done with writing */
  uint8_t is_saving;  /* the thread writes a file, under the mutex */
  uint8_t has_failed; /* the latest write cannot be completed */
  uint8_t is_stopping;
  uint8_t has_thread;
};

static void
push (Queue *q, Batch *b)
{
  b->next = NULL;
  if (q->last != NULL)
    q->last->next = b;
  else
    q->first = b;
  q->last = b;
}

static Batch *
pop (Queue *q)
{
  Batch *b = q->first;
  q->first = b->next;
  if (q->first == NULL)
    q->last = NULL;
  return b;
}

static int
has_stores (const WlEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++)
    if (wl_effect_is_store (&effects->items[i]))
      return 1;
  return 0;
}

/* ---- the writing thread ---- */

static int
must_stop (WlJournal *journal)
{
  pthread_mutex_lock (&journal->mutex);
  int stopping = journal->is_stopping;
  pthread_mutex_unlock (&journal->mutex);
  return stopping;
}

/* Repeats an operation until it succeeds. Returns 0 when the journal stops first. */
static int
keep_trying (WlJournal *journal, const WlEffect *effect)
{
  for (;;)
    {
      WlError error = effect != NULL ? wl_storage_write (journal->storage, effect)
                                     : wl_storage_sync (journal->storage);
      if (error == WL_OK)
        return 1;
      if (effect == NULL && error != WL_ERROR_NO_SPACE)
        return 0; /* after a failed sync, what the system had cached may be lost */
      pthread_mutex_lock (&journal->mutex);
      journal->n_retries++;
      pthread_mutex_unlock (&journal->mutex);
      if (must_stop (journal))
        return 0;
      usleep (WL_JOURNAL_RETRY_US);
    }
}

static int
write_batch (WlJournal *journal, const WlEffects *effects)
{
  for (uint32_t i = 0; i < effects->count; i++)
    if (wl_effect_is_store (&effects->items[i]) && !keep_trying (journal, &effects->items[i]))
      return 0;
  return keep_trying (journal, NULL);
}

/* Under the mutex, which is released while the disk works. */
static void
write_next_batch (WlJournal *journal)
{
  Batch *b = journal->writing;
  pthread_mutex_unlock (&journal->mutex);
  int done = write_batch (journal, b->effects);
  pthread_mutex_lock (&journal->mutex);
  journal->is_written = 1;
  journal->has_failed = (uint8_t)!done;
  if (write (journal->pipe[1], "", 1) < 0)
    journal->n_retries++; /* a full pipe wakes the event loop as well */
}

static SavedFile *
next_to_save (WlJournal *journal)
{
  for (uint32_t i = 0; i < WL_JOURNAL_FILES_MAX; i++)
    if (journal->saved[i].bytes.data != NULL)
      return &journal->saved[i];
  return NULL;
}

/* Likewise. */
static void
write_saved (WlJournal *journal, SavedFile *file)
{
  WlBytes bytes = file->bytes;
  file->bytes = (WlBytes){ NULL, 0 };
  journal->is_saving = 1;
  pthread_mutex_unlock (&journal->mutex);
  WlError error = wl_disk_save (wl_storage_disk (journal->storage), file->name, bytes);
  wl_bytes_release (&bytes);
  pthread_mutex_lock (&journal->mutex);
  journal->is_saving = 0;
  if (error != WL_OK)
    journal->n_retries++;
}

static void *
run_thread (void *data)
{
  WlJournal *journal = data;
  pthread_mutex_lock (&journal->mutex);
  while (!journal->is_stopping)
    {
      if (journal->writing != NULL && !journal->is_written)
        write_next_batch (journal);
      else if (next_to_save (journal) != NULL)
        write_saved (journal, next_to_save (journal));
      else
        pthread_cond_wait (&journal->wake, &journal->mutex);
    }
  pthread_mutex_unlock (&journal->mutex);
  return NULL;
}

/* ---- the event loop's side ---- */

static void
release_batch (WlJournal *journal, Batch *b)
{
  journal->n_released++;
  journal->release (journal->data, b->effects);
  wl_effects_destroy (b->effects);
  free (b);
}

/* Releases batches up to the first that has something to store. */
static void
advance (WlJournal *journal)
{
  while (journal->writing == NULL && journal->waiting.first != NULL)
    {
      Batch *b = pop (&journal->waiting);
      if (!b->stores)
        {
          release_batch (journal, b);
          continue;
        }
      pthread_mutex_lock (&journal->mutex);
      journal->writing = b;
      journal->is_written = 0;
      pthread_cond_signal (&journal->wake);
      pthread_mutex_unlock (&journal->mutex);
    }
}

static void
on_written (void *data, int ready)
{
  WlJournal *journal = data;
  char bytes[16];
  (void)ready;
  if (read (journal->pipe[0], bytes, sizeof bytes) <= 0)
    return;
  pthread_mutex_lock (&journal->mutex);
  Batch *done = journal->is_written ? journal->writing : NULL;
  int has_failed = journal->has_failed;
  uint32_t n_retries = journal->n_retries;
  if (done != NULL)
    journal->writing = NULL;
  pthread_mutex_unlock (&journal->mutex);
  if (n_retries != journal->n_logged)
    wl_log_eventf (WL1007_DISK_RETRIED, "retries=%u", n_retries - journal->n_logged);
  journal->n_logged = n_retries;
  if (done != NULL && has_failed)
    {
      wl_effects_destroy (done->effects);
      free (done);
      journal->release (journal->data, NULL);
      return;
    }
  if (done != NULL)
    release_batch (journal, done);
  advance (journal);
}

WlError
wl_journal_create (WlReactor *reactor, WlStorage *storage,
                   void (*release) (void *data, WlEffects *effects), void *data, WlJournal **out)
{
  WlJournal *journal = calloc (1, sizeof *journal);
  if (journal == NULL)
    return WL_ERROR_NO_MEMORY;
  journal->reactor = reactor;
  journal->storage = storage;
  journal->release = release;
  journal->data = data;
  journal->pipe[0] = journal->pipe[1] = -1;
  pthread_mutex_init (&journal->mutex, NULL);
  pthread_cond_init (&journal->wake, NULL);
  if (storage != NULL)
    {
      if (pipe2 (journal->pipe, O_NONBLOCK | O_CLOEXEC) != 0)
        goto fail;
      journal->watch = wl_reactor_add (reactor, journal->pipe[0], WL_READABLE, on_written, journal);
      if (pthread_create (&journal->thread, NULL, run_thread, journal) != 0)
        goto fail;
      journal->has_thread = 1;
    }
  *out = journal;
  return WL_OK;
fail:
  journal->storage = NULL;
  wl_journal_destroy (journal);
  return WL_ERROR_SYSTEM;
}

static void
free_batch (Batch *b)
{
  if (b == NULL)
    return;
  wl_effects_destroy (b->effects);
  free (b);
}

void
wl_journal_destroy (WlJournal *journal)
{
  if (journal == NULL)
    return;
  if (journal->has_thread)
    {
      pthread_mutex_lock (&journal->mutex);
      journal->is_stopping = 1;
      pthread_cond_signal (&journal->wake);
      pthread_mutex_unlock (&journal->mutex);
      pthread_join (journal->thread, NULL);
    }
  free_batch (journal->writing);
  while (journal->waiting.first != NULL)
    free_batch (pop (&journal->waiting));
  for (uint32_t i = 0; i < WL_JOURNAL_FILES_MAX; i++)
    wl_bytes_release (&journal->saved[i].bytes);
  wl_reactor_remove (journal->watch);
  for (int i = 0; i < 2; i++)
    if (journal->pipe[i] >= 0)
      close (journal->pipe[i]);
  wl_storage_close (journal->storage);
  pthread_mutex_destroy (&journal->mutex);
  pthread_cond_destroy (&journal->wake);
  free (journal);
}

void
wl_journal_submit (WlJournal *journal, WlEffects *effects)
{
  Batch *b = calloc (1, sizeof *b);
  if (b == NULL)
    abort ();
  b->effects = effects;
  b->stores = has_stores (effects);
  journal->n_submitted++;
  push (&journal->waiting, b);
  advance (journal);
}

uint64_t
wl_journal_n_submitted (const WlJournal *journal)
{
  return journal->n_submitted;
}

uint64_t
wl_journal_n_released (const WlJournal *journal)
{
  return journal->n_released;
}

static uint64_t
effects_bytes (const WlEffects *effects)
{
  uint64_t bytes = 0;
  for (uint32_t i = 0; i < effects->count; i++)
    {
      const WlEffect *e = &effects->items[i];
      if (e->kind == WL_EFFECT_SEND)
        bytes += e->u.send.bytes.size;
      else if (e->kind == WL_EFFECT_STORE_ENTRY)
        bytes += e->u.entry.command.size;
      else if (e->kind == WL_EFFECT_STORE_SNAPSHOT)
        bytes += e->u.snapshot.data.size;
    }
  return bytes;
}

uint64_t
wl_journal_queued_bytes (const WlJournal *journal)
{
  uint64_t bytes = journal->writing != NULL ? effects_bytes (journal->writing->effects) : 0;
  for (const Batch *b = journal->waiting.first; b != NULL; b = b->next)
    bytes += effects_bytes (b->effects);
  return bytes;
}

int
wl_journal_is_idle (WlJournal *journal)
{
  if (journal == NULL)
    return 1;
  pthread_mutex_lock (&journal->mutex);
  int is_saving = journal->is_saving || next_to_save (journal) != NULL;
  pthread_mutex_unlock (&journal->mutex);
  return journal->writing == NULL && journal->waiting.first == NULL && !is_saving;
}

/* The place of a file; a name keeps its place. */
static SavedFile *
find_saved (WlJournal *journal, const char *name)
{
  for (uint32_t i = 0; i < WL_JOURNAL_FILES_MAX; i++)
    {
      SavedFile *f = &journal->saved[i];
      if (f->name == NULL)
        f->name = name;
      if (strcmp (f->name, name) == 0)
        return f;
    }
  abort (); /* names are literals: more of them than places is a fault of the program */
}

void
wl_journal_save (WlJournal *journal, const char *name, WlBytes bytes)
{
  if (journal == NULL || !journal->has_thread)
    return;
  pthread_mutex_lock (&journal->mutex);
  SavedFile *f = find_saved (journal, name);
  wl_bytes_release (&f->bytes);
  f->bytes = wl_bytes_dup (bytes);
  pthread_cond_signal (&journal->wake);
  pthread_mutex_unlock (&journal->mutex);
}
