#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <curl/curl.h>
#include "wl_cli.h"

enum
{
  CONNECT_MS = 1500,
  READ_SIZE = 65536,
};

typedef struct
{
  WlAnswer *answer;
  void (*each) (const char *data, size_t size);
} Sink;

static size_t
on_data (char *data, size_t size, size_t n, void *context)
{
  Sink *sink = context;
  WlAnswer *a = sink->answer;
  char *body = realloc (a->body, a->size + size * n + 1);
  if (body == NULL)
    return 0;
  a->body = body;
  memcpy (a->body + a->size, data, size * n);
  a->size += size * n;
  a->body[a->size] = '\0';
  if (sink->each != NULL)
    sink->each (data, size * n);
  return size * n;
}

void
wl_cli_call_at (const WlCli *cli, const char *server, const WlCliCall *call, WlAnswer *out)
{
  char url[1024];
  char authorization[600];
  struct curl_slist *headers = NULL;
  CURL *easy = curl_easy_init ();
  Sink sink = { out, call->each };
  memset (out, 0, sizeof *out);
  if (easy == NULL)
    return;
  const char *authority = getenv ("WISTERIALOFT_CA");
  /* A server may be given as https://IP:PORT. */
  snprintf (url, sizeof url, "%s%s%s", strstr (server, "://") != NULL ? "" : "http://", server,
            call->path);
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s", cli->key);
  headers = curl_slist_append (headers, authorization);
  headers = curl_slist_append (headers, "Expect:");
  for (size_t i = 0; call->headers != NULL && call->headers[i] != NULL; i++)
    headers = curl_slist_append (headers, call->headers[i]);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  if (authority != NULL)
    curl_easy_setopt (easy, CURLOPT_CAINFO, authority);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_MS);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, &sink);
  if (strcmp (call->method, "POST") == 0)
    {
      curl_easy_setopt (easy, CURLOPT_POST, 1L);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body != NULL ? call->body : "");
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->size);
    }
  out->is_complete = curl_easy_perform (easy) == CURLE_OK;
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &out->status);
  if (out->body != NULL)
    out->json = json_loadb (out->body, out->size, 0, NULL);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
}

void
wl_cli_call (const WlCli *cli, const WlCliCall *call, WlAnswer *out)
{
  char copy[4096];
  char *state = NULL;
  memset (out, 0, sizeof *out);
  snprintf (copy, sizeof copy, "%s", cli->servers);
  for (char *server = strtok_r (copy, ",", &state); server != NULL;
       server = strtok_r (NULL, ",", &state))
    {
      wl_answer_clear (out);
      wl_cli_call_at (cli, server, call, out);
      if (out->status != 0)
        return;
    }
}

void
wl_answer_clear (WlAnswer *answer)
{
  json_decref (answer->json);
  free (answer->body);
  memset (answer, 0, sizeof *answer);
}

char *
wl_cli_read_file (const char *path, size_t *size)
{
  FILE *f = strcmp (path, "-") == 0 ? stdin : fopen (path, "rb");
  char *text = NULL;
  size_t used = 0;
  size_t n;
  if (f == NULL)
    {
      fprintf (stderr, "wisterialoft: %s cannot be read\n", path);
      return NULL;
    }
  do
    {
      char *grown = realloc (text, used + READ_SIZE + 1);
      if (grown == NULL)
        abort ();
      text = grown;
      n = fread (text + used, 1, READ_SIZE, f);
      used += n;
    }
  while (n > 0);
  text[used] = '\0';
  *size = used;
  if (f != stdin)
    fclose (f);
  return text;
}

void
wl_cli_print_json (const json_t *value)
{
  char *text = json_dumps (value, JSON_INDENT (2));
  printf ("%s\n", text != NULL ? text : "null");
  free (text);
}

void
wl_cli_progress (const char *text)
{
  if (isatty (STDERR_FILENO))
    fprintf (stderr, "%s\n", text);
}

int
wl_cli_fail (const WlAnswer *answer)
{
  if (answer->status == 0)
    {
      fprintf (stderr, "wisterialoft: no server could be reached\n");
      return WL_EXIT_UNREACHABLE;
    }
  fprintf (stderr, "wisterialoft: HTTP %ld: %s\n", answer->status,
           answer->body != NULL ? answer->body : "");
  return answer->status == 503 ? WL_EXIT_UNREACHABLE : WL_EXIT_NEGATIVE;
}

json_t *
wl_cli_entries (const WlCli *cli)
{
  WlAnswer a = { 0 };
  WlCliCall call = { .method = "GET", .path = "/v1/entries" };
  json_t *list = NULL;
  wl_cli_call (cli, &call, &a);
  if (a.status == 200)
    list = json_incref (json_object_get (a.json, "entries"));
  wl_answer_clear (&a);
  return list;
}
