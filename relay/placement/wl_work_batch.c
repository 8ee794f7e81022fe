#include <stdlib.h>
#include <string.h>
#include "wl_work_batch.h"

/* Consecutive reports of changes from one node and boot are merged into one. */
static int
can_append (const WlWork *last, uint32_t node, const WlWork *work)
{
  return last->node == node && last->boot == work->boot && !last->is_whole && !work->is_whole;
}

int
wl_work_batch_add (WlWorkBatch *batch, uint32_t node, const WlWork *work, uint64_t now_us)
{
  WlWork *to = batch->n_works > 0 ? &batch->works[batch->n_works - 1] : NULL;
  if (to == NULL || !can_append (to, node, work))
    {
      if (batch->n_works == WL_WORK_BATCH_WORKS_MAX)
        return 0;
      if (batch->n_works == 0)
        batch->since_us = now_us;
      to = &batch->works[batch->n_works++];
      *to = (WlWork){ .boot = work->boot, .is_whole = work->is_whole, .node = node };
    }
  uint32_t n = to->n_notes + work->n_notes;
  to->notes = realloc (to->notes, (n + 1) * sizeof *to->notes);
  if (to->notes == NULL)
    abort ();
  if (work->n_notes > 0)
    memcpy (&to->notes[to->n_notes], work->notes, work->n_notes * sizeof *to->notes);
  to->n_notes = n;
  return 1;
}

int
wl_work_batch_is_due (const WlWorkBatch *batch, uint64_t max_delay_us, uint64_t now_us)
{
  return batch->n_works > 0 && now_us >= batch->since_us + max_delay_us;
}

void
wl_work_batch_clear (WlWorkBatch *batch)
{
  for (uint32_t i = 0; i < batch->n_works; i++)
    free (batch->works[i].notes);
  batch->n_works = 0;
}
