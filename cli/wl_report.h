#ifndef WL_REPORT_H
#define WL_REPORT_H

#include <jansson.h>

/**
 * wl_report_print_html() - prints a burn report as one self-contained HTML page
 * @report: merged report with burn rates
 */
void wl_report_print_html (const json_t *report);

#endif
