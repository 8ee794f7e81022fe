#include <stdlib.h>
#include <string.h>
#include "wl_time_queue.h"

enum
{
  FIRST_ROOM = 1024,
};

typedef struct
{
  uint64_t at_us;
  uint64_t order;
  uint8_t item[];
} Entry;

struct WlTimeQueue
{
  size_t item_size;
  size_t stride; /* bytes of an entry with its item */
  uint8_t *entries;
  Entry *spare; /* room for one entry that is being moved */
  size_t n;
  size_t room;
  uint64_t order;
};

WlTimeQueue *
wl_time_queue_create (size_t item_size)
{
  WlTimeQueue *queue = calloc (1, sizeof *queue);
  if (queue == NULL)
    abort ();
  queue->item_size = item_size;
  queue->stride = sizeof (Entry)
                  + (item_size + sizeof (uint64_t) - 1) / sizeof (uint64_t) * sizeof (uint64_t);
  queue->spare = malloc (queue->stride);
  if (queue->spare == NULL)
    abort ();
  return queue;
}

void
wl_time_queue_destroy (WlTimeQueue *queue)
{
  if (queue == NULL)
    return;
  free (queue->entries);
  free (queue->spare);
  free (queue);
}

static Entry *
entry_at (const WlTimeQueue *queue, size_t i)
{
  return (Entry *)(void *)(queue->entries + i * queue->stride);
}

static int
comes_before (const Entry *a, const Entry *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
move (WlTimeQueue *queue, size_t to, const Entry *from)
{
  memcpy (entry_at (queue, to), from, queue->stride);
}

void
wl_time_queue_add (WlTimeQueue *queue, uint64_t at_us, const void *item)
{
  if (queue->n == queue->room)
    {
      queue->room = queue->room > 0 ? 2 * queue->room : FIRST_ROOM;
      queue->entries = realloc (queue->entries, queue->room * queue->stride);
      if (queue->entries == NULL)
        abort ();
    }
  Entry *e = queue->spare;
  e->at_us = at_us;
  e->order = ++queue->order;
  memcpy (e->item, item, queue->item_size);
  size_t i = queue->n++;
  for (; i > 0 && comes_before (e, entry_at (queue, (i - 1) / 2)); i = (i - 1) / 2)
    move (queue, i, entry_at (queue, (i - 1) / 2));
  move (queue, i, e);
}

int
wl_time_queue_take (WlTimeQueue *queue, uint64_t until_us, void *item)
{
  if (queue->n == 0 || entry_at (queue, 0)->at_us > until_us)
    return 0;
  memcpy (item, entry_at (queue, 0)->item, queue->item_size);
  Entry *last = queue->spare;
  memcpy (last, entry_at (queue, --queue->n), queue->stride);
  size_t i = 0;
  for (size_t child; (child = 2 * i + 1) < queue->n; i = child)
    {
      if (child + 1 < queue->n
          && comes_before (entry_at (queue, child + 1), entry_at (queue, child)))
        child++;
      if (!comes_before (entry_at (queue, child), last))
        break;
      move (queue, i, entry_at (queue, child));
    }
  if (queue->n > 0)
    move (queue, i, last);
  return 1;
}
