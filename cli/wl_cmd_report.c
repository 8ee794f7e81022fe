#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include "wl_burn.h"
#include "wl_cli.h"
#include "wl_report.h"

enum
{
  PATH_SIZE = 96,
};

static const char *
text (const json_t *o, const char *key)
{
  const char *s = json_string_value (json_object_get (o, key));
  return s != NULL ? s : "";
}

static json_int_t
number (const json_t *o, const char *key)
{
  return json_integer_value (json_object_get (o, key));
}

static void
server_of (const json_t *entry, char *out, size_t size)
{
  snprintf (out, size, "%s:%" JSON_INTEGER_FORMAT, text (entry, "address"), number (entry, "port"));
}

/* ---- burn ---- */

static void
add_windows (json_t *into, const json_t *from)
{
  size_t i;
  json_t *w;
  json_array_foreach (into, i, w)
  {
    const json_t *o = json_array_get (from, i);
    json_object_set_new (w, "total", json_integer (number (w, "total") + number (o, "total")));
    json_object_set_new (w, "good", json_integer (number (w, "good") + number (o, "good")));
  }
}

static void
add_bins (json_t *into, const json_t *from)
{
  for (size_t i = 0; i < json_array_size (into); i++)
    json_array_set_new (into, i,
                        json_integer (json_integer_value (json_array_get (into, i))
                                      + json_integer_value (json_array_get (from, i))));
}

static void
merge_series (json_t *all, json_t *one)
{
  static const char *const sums[] = { "finished", "refused", "failed" };
  size_t i;
  json_t *s;
  json_array_foreach (all, i, s)
  {
    if (strcmp (text (s, "customer"), text (one, "customer")) != 0
        || strcmp (text (s, "service"), text (one, "service")) != 0
        || number (s, "class") != number (one, "class"))
      continue;
    add_windows (json_object_get (s, "windows"), json_object_get (one, "windows"));
    add_bins (json_object_get (s, "first_token_bins"), json_object_get (one, "first_token_bins"));
    for (size_t k = 0; k < 3; k++)
      json_object_set_new (s, sums[k], json_integer (number (s, sums[k]) + number (one, sums[k])));
    return;
  }
  json_array_append (all, one);
}

static void
merge_delay (json_t *all, json_t *one)
{
  size_t i;
  json_t *d;
  json_array_foreach (all, i, d)
  {
    if (strcmp (text (d, "victim"), text (one, "victim")) != 0
        || strcmp (text (d, "cause"), text (one, "cause")) != 0
        || strcmp (text (d, "service"), text (one, "service")) != 0)
      continue;
    json_object_set_new (d, "delay_us",
                         json_integer (number (d, "delay_us") + number (one, "delay_us")));
    return;
  }
  json_array_append (all, one);
}

static double
error_rate (const json_t *window)
{
  json_int_t total = number (window, "total");
  return total > 0 ? 1.0 - (double)number (window, "good") / (double)total : 0;
}

static json_int_t
quantile_ms (const json_t *bins, double q)
{
  double total = 0;
  double seen = 0;
  for (size_t i = 0; i < json_array_size (bins); i++)
    total += (double)json_integer_value (json_array_get (bins, i));
  for (size_t i = 0; i < json_array_size (bins); i++)
    {
      seen += (double)json_integer_value (json_array_get (bins, i));
      if (total > 0 && seen >= q * total)
        return (json_int_t)(wl_burn_bin_upper_us ((uint32_t)i) / 1000);
    }
  return 0;
}

/* Adds compliance, remaining budget and burn rates to each merged series. */
static void
rate_series (json_t *series)
{
  size_t i;
  size_t k;
  json_t *s;
  const json_t *w;
  json_array_foreach (series, i, s)
  {
    double allowed = 1 - json_number_value (json_object_get (s, "objective_share"));
    json_t *windows = json_object_get (s, "windows");
    json_t *rates = json_array ();
    double worst = 0;
    json_array_foreach (windows, k, w)
    {
      double rate = allowed > 0 ? error_rate (w) / allowed : 0;
      json_array_append_new (rates, json_real (rate));
      worst = error_rate (w);
    }
    json_object_set_new (s, "burn_rates", rates);
    json_object_set_new (s, "compliance", json_real (1 - worst));
    json_object_set_new (s, "budget_left",
                         json_real (allowed > 0 ? 1 - worst / allowed : 1 - worst));
    json_t *bins = json_object_get (s, "first_token_bins");
    json_object_set_new (s, "p50_ms", json_integer (quantile_ms (bins, 0.50)));
    json_object_set_new (s, "p95_ms", json_integer (quantile_ms (bins, 0.95)));
  }
}

static json_t *
collect_burn (const WlCli *cli)
{
  WlCliCall call = { .method = "GET", .path = "/v1/report/burn" };
  json_t *entries = wl_cli_entries (cli);
  json_t *series = json_array ();
  json_t *delays = json_array ();
  size_t i;
  size_t k;
  const json_t *entry;
  json_t *item;
  int answered = 0;
  json_array_foreach (entries, i, entry)
  {
    char server[PATH_SIZE];
    WlAnswer a = { 0 };
    server_of (entry, server, sizeof server);
    wl_cli_call_at (cli, server, &call, &a);
    answered += a.status == 200;
    json_array_foreach (json_object_get (a.json, "series"), k, item) merge_series (series, item);
    json_array_foreach (json_object_get (a.json, "delays"), k, item) merge_delay (delays, item);
    wl_answer_clear (&a);
  }
  rate_series (series);
  json_t *out = json_pack ("{s:i,s:i,s:o,s:o}", "entries_asked", (int)json_array_size (entries),
                           "entries_answered", answered, "series", series, "delays", delays);
  json_decref (entries);
  if (answered > 0)
    return out;
  json_decref (out);
  return NULL;
}

/* Total delay of a victim in a service, to turn delays into shares. */
static double
total_delay (const json_t *delays, const json_t *like)
{
  size_t i;
  const json_t *d;
  double sum = 0;
  json_array_foreach (delays, i,
                      d) if (strcmp (text (d, "victim"), text (like, "victim")) == 0
                             && strcmp (text (d, "service"), text (like, "service")) == 0) sum
      += (double)number (d, "delay_us");
  return sum;
}

static void
print_burn (const json_t *report)
{
  size_t i;
  const json_t *s;
  const json_t *d;
  printf ("%-18s %-16s %9s %8s %7s %7s %7s %7s %7s %7s %6s\n", "CUSTOMER", "SERVICE", "UP TO",
          "REQUESTS", "P50 ms", "P95 ms", "KEPT", "BUDGET", "5m/1h", "30m/6h", "FAILED");
  json_array_foreach (json_object_get (report, "series"), i, s)
  {
    const json_t *r = json_object_get (s, "burn_rates");
    const json_t *w = json_array_get (json_object_get (s, "windows"), 3);
    printf ("%-18s %-16s %9" JSON_INTEGER_FORMAT " %8" JSON_INTEGER_FORMAT " %7" JSON_INTEGER_FORMAT
            " %7" JSON_INTEGER_FORMAT
            " %6.2f%% %6.0f%% %3.1f/%-3.1f %3.1f/%-3.1f %6" JSON_INTEGER_FORMAT "\n",
            text (s, "customer"), text (s, "service"), number (s, "up_to_tokens"),
            number (w, "total"), number (s, "p50_ms"), number (s, "p95_ms"),
            100 * json_number_value (json_object_get (s, "compliance")),
            100 * json_number_value (json_object_get (s, "budget_left")),
            json_number_value (json_array_get (r, 0)), json_number_value (json_array_get (r, 2)),
            json_number_value (json_array_get (r, 1)), json_number_value (json_array_get (r, 3)),
            number (s, "failed"));
  }
  printf ("\n%-18s %-16s %-18s %10s %7s\n", "DELAYED", "SERVICE", "BY", "SECONDS", "SHARE");
  const json_t *delays = json_object_get (report, "delays");
  json_array_foreach (delays, i, d)
  {
    double us = (double)number (d, "delay_us");
    double total = total_delay (delays, d);
    printf ("%-18s %-16s %-18s %10.1f %6.1f%%\n", text (d, "victim"), text (d, "service"),
            text (d, "cause"), us / 1e6, total > 0 ? 100 * us / total : 0);
  }
  if (number (report, "entries_answered") < number (report, "entries_asked"))
    printf ("\n%" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT " entries answered\n",
            number (report, "entries_answered"), number (report, "entries_asked"));
}

static int
report_burn (const WlCli *cli)
{
  json_t *report = collect_burn (cli);
  if (report == NULL)
    {
      fprintf (stderr, "wisterialoft: no entry answered\n");
      return WL_EXIT_UNREACHABLE;
    }
  if (cli->is_html)
    wl_report_print_html (report);
  else if (cli->is_json)
    wl_cli_print_json (report);
  else
    print_burn (report);
  json_decref (report);
  return WL_EXIT_OK;
}

/* ---- receipts ---- */

/* Fetches all pages of one entry's chain. */
static json_t *
fetch_chain (const WlCli *cli, const char *server)
{
  json_t *chain = NULL;
  json_int_t after = 0;
  for (;;)
    {
      char path[PATH_SIZE];
      WlAnswer a = { 0 };
      snprintf (path, sizeof path, "/v1/receipts?after=%" JSON_INTEGER_FORMAT, after);
      WlCliCall call = { .method = "GET", .path = path };
      wl_cli_call_at (cli, server, &call, &a);
      json_t *page = json_object_get (a.json, "receipts");
      size_t n = json_array_size (page);
      if (n > 0)
        after = number (json_array_get (page, n - 1), "sequence");
      if (a.status == 200 && chain == NULL)
        chain = json_incref (a.json);
      else if (n > 0)
        json_array_extend (json_object_get (chain, "receipts"), page);
      wl_answer_clear (&a);
      if (chain == NULL || n == 0 || after >= number (chain, "count"))
        return chain;
    }
}

static json_t *
fetch_roots (const WlCli *cli)
{
  WlCliCall call = { .method = "GET", .path = "/v1/roots" };
  WlAnswer a = { 0 };
  wl_cli_call (cli, &call, &a);
  json_t *roots
      = json_incref (json_object_get (json_object_get (a.json, "group"), "receipt_roots"));
  wl_answer_clear (&a);
  return roots;
}

static int
report_receipts (const WlCli *cli)
{
  json_t *entries = wl_cli_entries (cli);
  json_t *chains = json_array ();
  size_t i;
  const json_t *entry;
  json_array_foreach (entries, i, entry)
  {
    char server[PATH_SIZE];
    server_of (entry, server, sizeof server);
    json_t *chain = fetch_chain (cli, server);
    if (chain != NULL)
      json_array_append_new (chains, chain);
  }
  json_decref (entries);
  int status = json_array_size (chains) > 0 ? WL_EXIT_OK : WL_EXIT_UNREACHABLE;
  json_t *roots = status == WL_EXIT_OK ? fetch_roots (cli) : NULL;
  json_t *out = json_object ();
  json_object_set_new (out, "chains", chains);
  json_object_set_new (out, "roots", roots != NULL ? roots : json_array ());
  if (status == WL_EXIT_OK)
    wl_cli_print_json (out);
  else
    fprintf (stderr, "wisterialoft: no entry gave receipts; is the key a customer's?\n");
  json_decref (out);
  return status;
}

int
wl_cmd_report (const WlCli *cli, int argc, char **argv)
{
  if (argc == 2 && strcmp (argv[1], "burn") == 0)
    return report_burn (cli);
  if (argc == 2 && strcmp (argv[1], "receipts") == 0)
    return report_receipts (cli);
  fprintf (stderr, "usage: wisterialoft report burn|receipts\n");
  return WL_EXIT_USAGE;
}
