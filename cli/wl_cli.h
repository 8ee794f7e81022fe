#ifndef WL_CLI_H
#define WL_CLI_H

#include <stdint.h>
#include <jansson.h>

/* Shared parts of the command-line tool. Exit codes are documented in docs/cli.md. */

typedef enum
{
  WL_EXIT_OK = 0,
  WL_EXIT_NEGATIVE = 1, /* findings, conflict, refusal, failed verification */
  WL_EXIT_USAGE = 2,
  WL_EXIT_UNREACHABLE = 3,
} WlExit;

/**
 * struct WlCli - options common to all commands
 * @servers: comma-separated list of IP:PORT
 * @key: API key, operator's or customer's
 * @is_json: print JSON
 * @is_html: print one self-contained HTML page, for reports
 */
typedef struct
{
  const char *servers;
  const char *key;
  int is_json;
  int is_html;
} WlCli;

/**
 * struct WlAnswer - answer to a call
 * @status: HTTP status, 0 when no server could be reached
 * @body: text with a terminating zero
 * @size: bytes of @body
 * @json: parsed body, or NULL
 * @is_complete: the whole body arrived
 */
typedef struct
{
  long status;
  char *body;
  size_t size;
  json_t *json;
  int is_complete;
} WlAnswer;

/**
 * struct WlCall - a call to the first server that can be reached
 * @method: "GET" or "POST"
 * @path: path and query
 * @body: request body, NULL for none
 * @size: bytes of @body
 * @headers: extra header lines, NULL-terminated, or NULL
 * @each: called with each part of the answer, or NULL
 */
typedef struct
{
  const char *method;
  const char *path;
  const char *body;
  size_t size;
  const char *const *headers;
  void (*each) (const char *data, size_t size);
} WlCliCall;

/**
 * wl_cli_call() - calls the first server of the list that can be reached
 * @cli: common options
 * @call: the call
 * @out: receives the answer
 */
void wl_cli_call (const WlCli *cli, const WlCliCall *call, WlAnswer *out);

/**
 * wl_cli_call_at() - calls one server
 * @cli: common options
 * @server: IP:PORT
 * @call: the call
 * @out: receives the answer
 */
void wl_cli_call_at (const WlCli *cli, const char *server, const WlCliCall *call, WlAnswer *out);

/**
 * wl_answer_clear() - frees an answer
 * @answer: the answer
 */
void wl_answer_clear (WlAnswer *answer);

/**
 * wl_cli_read_file() - reads a whole file
 * @path: the file, "-" for standard input
 * @size: receives its size
 *
 * Return: the text with a terminating zero, or NULL after printing the reason.
 */
char *wl_cli_read_file (const char *path, size_t *size);

/**
 * wl_cli_print_json() - prints a value
 * @value: the value
 */
void wl_cli_print_json (const json_t *value);

/**
 * wl_cli_progress() - writes progress to standard error if it is a terminal
 * @text: the text
 */
void wl_cli_progress (const char *text);

/**
 * wl_cli_fail() - prints a failed answer to standard error
 * @answer: the answer
 *
 * Return: the exit code.
 */
int wl_cli_fail (const WlAnswer *answer);

/**
 * wl_cli_entries() - lists the entries that the system names
 * @cli: common options
 *
 * Return: a new JSON array, or NULL when no server could be reached.
 */
json_t *wl_cli_entries (const WlCli *cli);

int wl_cmd_check (const WlCli *cli, int argc, char **argv);
int wl_cmd_submit (const WlCli *cli, int argc, char **argv);
int wl_cmd_show (const WlCli *cli, int argc, char **argv);
int wl_cmd_status (const WlCli *cli, int argc, char **argv);
int wl_cmd_evacuate (const WlCli *cli, int argc, char **argv);
int wl_cmd_entries (const WlCli *cli, int argc, char **argv);
int wl_cmd_send (const WlCli *cli, int argc, char **argv);
int wl_cmd_report (const WlCli *cli, int argc, char **argv);
int wl_cmd_verify (const WlCli *cli, int argc, char **argv);

/** wl_cmd_explain() - finds a request's story in the logs of the nodes */
int wl_cmd_explain (const WlCli *cli, int argc, char **argv);

#endif
