#ifndef WL_LOAD_REPORT_BATCH_H
#define WL_LOAD_REPORT_BATCH_H

#include "wl_message.h"

/*
 * Load reports of several nodes that are forwarded in one message, in the order
 * of their arrival.
 */

enum
{
  WL_LOAD_REPORT_BATCH_MAX = 1024, /* reports; bounds a batch that is not being sent */
};

/**
 * struct WlLoadReportBatch - load reports that wait to be forwarded
 * @reports: the reports, @n_reports of them; the batch owns their items
 * @since_us: arrival of the first
 */
typedef struct
{
  WlLoadReport reports[WL_LOAD_REPORT_BATCH_MAX];
  uint32_t n_reports;
  uint64_t since_us;
} WlLoadReportBatch;

/**
 * wl_load_report_batch_add() - adds a copy of a load report
 * @batch: the batch
 * @node: node whose load it is
 * @report: the report
 * @now_us: monotonic time
 *
 * Return: 1, or 0 when the batch is full and the report is lost; a later full
 * report repairs that.
 */
int wl_load_report_batch_add (WlLoadReportBatch *batch, uint32_t node, const WlLoadReport *report,
                              uint64_t now_us);

/** wl_load_report_batch_is_due() - whether the oldest report has waited for @max_delay_us */
int wl_load_report_batch_is_due (const WlLoadReportBatch *batch, uint64_t max_delay_us,
                                 uint64_t now_us);

/** wl_load_report_batch_clear() - empties a batch */
void wl_load_report_batch_clear (WlLoadReportBatch *batch);

#endif
