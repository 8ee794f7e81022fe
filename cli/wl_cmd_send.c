#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <argtable2.h>
#include "wl_cli.h"

enum
{
  BYTES_PER_TOKEN = 4,
  HEADERS_MAX = 4,
};

/* Prints the text of server-sent events as it arrives. */
static void
print_events (const char *data, size_t size)
{
  static char line[65536];
  static size_t used;
  for (size_t i = 0; i < size; i++)
    {
      if (data[i] != '\n')
        {
          if (used + 1 < sizeof line)
            line[used++] = data[i];
          continue;
        }
      line[used] = '\0';
      used = 0;
      if (strncmp (line, "data: {", 7) != 0)
        continue;
      json_t *root = json_loads (line + 6, 0, NULL);
      const json_t *choice = json_array_get (json_object_get (root, "choices"), 0);
      const char *s
          = json_string_value (json_object_get (json_object_get (choice, "delta"), "content"));
      if (s != NULL)
        printf ("%s", s);
      fflush (stdout);
      json_decref (root);
    }
}

static char *
make_prompt (int tokens)
{
  size_t size = (size_t)tokens * BYTES_PER_TOKEN;
  char *text = malloc (size + 1);
  if (text == NULL)
    abort ();
  for (size_t i = 0; i < size; i++)
    text[i] = (char)('a' + (i * 7 + i / 26) % 26);
  text[size] = '\0';
  return text;
}

static char *
chat_body (const char *service, const char *prompt, int max_tokens, int is_streamed)
{
  json_t *root
      = json_pack ("{s:s,s:i,s:b,s:[{s:s,s:s}]}", "model", service, "max_tokens", max_tokens,
                   "stream", is_streamed, "messages", "role", "user", "content", prompt);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static int
ends_whole (const WlAnswer *a)
{
  return a->is_complete && a->size >= 14 && strstr (a->body + a->size - 14, "[DONE]") != NULL;
}

static int
print_answer (const WlCli *cli, const WlAnswer *a, int is_streamed)
{
  if (a->status == 0)
    return wl_cli_fail (a);
  if (a->status >= 300 || (is_streamed && !ends_whole (a)))
    {
      if (a->body != NULL)
        fprintf (stderr, "%s\n", a->body);
      fprintf (stderr, "wisterialoft: not answered (HTTP %ld)\n", a->status);
      return WL_EXIT_NEGATIVE;
    }
  if (is_streamed)
    printf ("\n");
  else if (cli->is_json || a->json == NULL)
    printf ("%s\n", a->body != NULL ? a->body : "");
  else
    {
      const json_t *c = json_array_get (json_object_get (a->json, "choices"), 0);
      const char *s
          = json_string_value (json_object_get (json_object_get (c, "message"), "content"));
      printf ("%s\n", s != NULL ? s : a->body);
    }
  return WL_EXIT_OK;
}

int
wl_cmd_send (const WlCli *cli, int argc, char **argv)
{
  struct arg_str *service = arg_str1 (NULL, "service", "NAME", "service");
  struct arg_str *prompt = arg_str0 (NULL, "prompt", "TEXT", "prompt");
  struct arg_str *file = arg_str0 (NULL, "prompt-file", "FILE", "file with the prompt or body");
  struct arg_int *tokens = arg_int0 (NULL, "prompt-tokens", "N", "made-up prompt of this length");
  struct arg_int *max_tokens = arg_int0 (NULL, "max-tokens", "N", "longest answer (64)");
  struct arg_lit *stream = arg_lit0 (NULL, "stream", "print tokens as they come");
  struct arg_str *path = arg_str0 (NULL, "path", "/PATH", "call a plain service at this path");
  struct arg_str *key = arg_str0 (NULL, "idempotency-key", "KEY", "key of a non-idempotent call");
  struct arg_int *limit = arg_int0 (NULL, "time-limit-ms", "MS", "time limit");
  struct arg_end *end = arg_end (10);
  void *table[] = { service, prompt, file, tokens, max_tokens, stream, path, key, limit, end };
  char *text = NULL;
  char *body = NULL;
  char target[256] = "/v1/chat/completions";
  char key_header[192];
  char limit_header[64];
  const char *headers[HEADERS_MAX + 1] = { "Content-Type: application/json" };
  size_t n = 1;
  size_t size = 0;
  int status = WL_EXIT_USAGE;
  WlAnswer a = { 0 };
  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "wisterialoft send");
      goto out;
    }
  if (file->count > 0)
    text = wl_cli_read_file (file->sval[0], &size);
  else
    text = tokens->count > 0 ? make_prompt (tokens->ival[0])
                             : strdup (prompt->count > 0 ? prompt->sval[0] : "");
  if (text == NULL)
    goto out;
  if (path->count > 0)
    snprintf (target, sizeof target, "/v1/services/%s%s", service->sval[0], path->sval[0]);
  else
    body = chat_body (service->sval[0], text, max_tokens->count > 0 ? max_tokens->ival[0] : 64,
                      stream->count > 0);
  if (key->count > 0)
    {
      snprintf (key_header, sizeof key_header, "Idempotency-Key: %s", key->sval[0]);
      headers[n++] = key_header;
    }
  if (limit->count > 0)
    {
      snprintf (limit_header, sizeof limit_header, "Wisterialoft-Time-Limit-Ms: %d",
                limit->ival[0]);
      headers[n++] = limit_header;
    }
  headers[n] = NULL;
  const char *sent = body != NULL ? body : text;
  WlCliCall call = {
    .method = "POST", .path = target, .body = sent, .size = strlen (sent), .headers = headers
  };
  if (stream->count > 0)
    call.each = print_events;
  wl_cli_call (cli, &call, &a);
  status = print_answer (cli, &a, stream->count > 0 && path->count == 0);
out:
  free (text);
  free (body);
  wl_answer_clear (&a);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
