#include <stdlib.h>
#include <string.h>
#include "wl_load_report_batch.h"

/* Consecutive reports of changes from one node and boot are merged into one. */
static int
can_append (const WlLoadReport *last, uint32_t node, const WlLoadReport *report)
{
  return last->node == node && last->boot == report->boot && !last->is_full && !report->is_full;
}

int
wl_load_report_batch_add (WlLoadReportBatch *batch, uint32_t node, const WlLoadReport *report,
                          uint64_t now_us)
{
  WlLoadReport *to = batch->n_reports > 0 ? &batch->reports[batch->n_reports - 1] : NULL;
  if (to == NULL || !can_append (to, node, report))
    {
      if (batch->n_reports == WL_LOAD_REPORT_BATCH_MAX)
        return 0;
      if (batch->n_reports == 0)
        batch->since_us = now_us;
      to = &batch->reports[batch->n_reports++];
      *to = (WlLoadReport){ .boot = report->boot, .is_full = report->is_full, .node = node };
    }
  uint32_t n = to->n_items + report->n_items;
  to->items = realloc (to->items, (n + 1) * sizeof *to->items);
  if (to->items == NULL)
    abort ();
  if (report->n_items > 0)
    memcpy (&to->items[to->n_items], report->items, report->n_items * sizeof *to->items);
  to->n_items = n;
  return 1;
}

int
wl_load_report_batch_is_due (const WlLoadReportBatch *batch, uint64_t max_delay_us, uint64_t now_us)
{
  return batch->n_reports > 0 && now_us >= batch->since_us + max_delay_us;
}

void
wl_load_report_batch_clear (WlLoadReportBatch *batch)
{
  for (uint32_t i = 0; i < batch->n_reports; i++)
    free (batch->reports[i].items);
  batch->n_reports = 0;
}
