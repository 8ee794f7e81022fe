#include <stdio.h>
#include <string.h>
#include "wl_burn.h"
#include "wl_report.h"

enum
{
  PLOT_WIDTH = 320,
  PLOT_HEIGHT = 48,
  BAR_WIDTH = 240,
};

static const char *
text (const json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));
  return s != NULL ? s : "";
}

/* Names in a services text cannot contain markup, but reports are read from the network. */
static void
print_escaped (const char *s)
{
  for (; *s != '\0'; s++)
    switch (*s)
      {
      case '<':
        printf ("&lt;");
        break;
      case '>':
        printf ("&gt;");
        break;
      case '&':
        printf ("&amp;");
        break;
      case '"':
        printf ("&quot;");
        break;
      default:
        putchar (*s);
      }
}

static void
print_cell (const char *s)
{
  printf ("<td>");
  print_escaped (s);
  printf ("</td>");
}

static void
print_histogram (const json_t *bins)
{
  double largest = 1;
  size_t n = json_array_size (bins);
  for (size_t i = 0; i < n; i++)
    {
      double v = (double)json_integer_value (json_array_get (bins, i));
      if (v > largest)
        largest = v;
    }
  printf ("<svg width=\"%d\" height=\"%d\" role=\"img\" aria-label=\"time to first token\">",
          PLOT_WIDTH, PLOT_HEIGHT);
  for (size_t i = 0; i < n; i++)
    {
      double v = (double)json_integer_value (json_array_get (bins, i));
      double h = v / largest * (PLOT_HEIGHT - 2);
      printf ("<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"><title>up to %lu ms: "
              "%.0f</title></rect>",
              (double)i * PLOT_WIDTH / (double)n, PLOT_HEIGHT - h, PLOT_WIDTH / (double)n - 1, h,
              (unsigned long)(wl_burn_bin_upper_us ((uint32_t)i) / 1000), v);
    }
  printf ("</svg>");
}

static void
print_series (const json_t *series)
{
  size_t i;
  const json_t *s;
  printf ("<table><tr><th>Customer<th>Service<th>Prompts up to<th>Objective<th>Kept"
          "<th>Budget left<th>Burn 5 min / 1 h<th>Burn 30 min / 6 h<th>p50<th>p95"
          "<th>Time to first token, 1 ms to 60 s, logarithmic</tr>\n");
  json_array_foreach (series, i, s)
  {
    const json_t *r = json_object_get (s, "burn_rates");
    printf ("<tr>");
    print_cell (text (s, "customer"));
    print_cell (text (s, "service"));
    printf ("<td>%" JSON_INTEGER_FORMAT "<td>%" JSON_INTEGER_FORMAT " ms for %.1f%%<td>%.2f%%"
            "<td>%.0f%%<td>%.2f / %.2f<td>%.2f / %.2f<td>%" JSON_INTEGER_FORMAT
            " ms<td>%" JSON_INTEGER_FORMAT " ms<td>",
            json_integer_value (json_object_get (s, "up_to_tokens")),
            json_integer_value (json_object_get (s, "objective_ms")),
            100 * json_number_value (json_object_get (s, "objective_share")),
            100 * json_number_value (json_object_get (s, "compliance")),
            100 * json_number_value (json_object_get (s, "budget_left")),
            json_number_value (json_array_get (r, 0)), json_number_value (json_array_get (r, 2)),
            json_number_value (json_array_get (r, 1)), json_number_value (json_array_get (r, 3)),
            json_integer_value (json_object_get (s, "p50_ms")),
            json_integer_value (json_object_get (s, "p95_ms")));
    print_histogram (json_object_get (s, "first_token_bins"));
    printf ("</tr>\n");
  }
  printf ("</table>\n");
}

static void
print_delays (const json_t *delays)
{
  size_t i;
  const json_t *d;
  double largest = 1;
  json_array_foreach (delays, i, d)
  {
    double us = (double)json_integer_value (json_object_get (d, "delay_us"));
    if (us > largest)
      largest = us;
  }
  printf ("<h2>Who delayed whom</h2><table><tr><th>Delayed<th>Service<th>By<th>Seconds<th></tr>\n");
  json_array_foreach (delays, i, d)
  {
    double us = (double)json_integer_value (json_object_get (d, "delay_us"));
    printf ("<tr>");
    print_cell (text (d, "victim"));
    print_cell (text (d, "service"));
    print_cell (text (d, "cause"));
    printf ("<td>%.1f<td><svg width=\"%d\" height=\"12\"><rect width=\"%.0f\" height=\"12\"/></svg>"
            "</tr>\n",
            us / 1e6, BAR_WIDTH, us / largest * BAR_WIDTH);
  }
  printf ("</table>\n");
}

void
wl_report_print_html (const json_t *report)
{
  printf ("<!DOCTYPE html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn"
          "</title>\n<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
          "td,th{padding:4px 10px;border-bottom:1px solid #ddd;text-align:left}"
          "rect{fill:#5b6ee1}</style>\n<h1>Service-level burn</h1>\n");
  print_series (json_object_get (report, "series"));
  print_delays (json_object_get (report, "delays"));
  printf ("</html>\n");
}
