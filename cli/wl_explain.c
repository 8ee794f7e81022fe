#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "wl_explain.h"

enum
{
  ENDPOINTS_MAX = 16, /* endpoints that one request may have met */
  NAME_SIZE = 64,
  TIME_SIZE = 24, /* 2026-12-04T06:23:35.123Z */
  PARTS_SIZE = 1024,
};

typedef struct
{
  char names[ENDPOINTS_MAX][NAME_SIZE];
  size_t n;
} Endpoints;

/* Value of a key=value field of a line. Returns 0 when there is none. */
static int
field (const char *line, const char *name, char *out, size_t size)
{
  char key[NAME_SIZE + 2];
  snprintf (key, sizeof key, " %s=", name);
  const char *p = strstr (line, key);
  if (p == NULL)
    return 0;
  p += strlen (key);
  snprintf (out, size, "%.*s", (int)strcspn (p, " "), p);
  return 1;
}

/* The time stamp of a line, wherever a collector has put it. Returns 0 when there is none. */
static int
time_of (const char *line, char *out, size_t size)
{
  for (const char *p = line; (p = strchr (p, 'T')) != NULL; p++)
    if (p - line >= 10 && p[3] == ':' && p[6] == ':' && p[-3] == '-' && p[-6] == '-')
      {
        snprintf (out, size, "%.*s", TIME_SIZE, p - 10);
        return 1;
      }
  return 0;
}

static void
add_line (WlStory *story, const char *source, const char *line, int is_context)
{
  WlStoryLine *lines = realloc (story->lines, (story->n_lines + 1) * sizeof *lines);
  if (lines == NULL)
    abort ();
  story->lines = lines;
  WlStoryLine *l = &lines[story->n_lines];
  memset (l, 0, sizeof *l);
  if (!time_of (line, l->time, sizeof l->time))
    return;
  l->source = source;
  l->is_context = is_context;
  l->text = strdup (line);
  story->n_lines++;
}

/* Index of an endpoint, @endpoints->n when it is not there. */
static size_t
find_endpoint (const Endpoints *endpoints, const char *name)
{
  size_t i = 0;
  while (i < endpoints->n && strcmp (endpoints->names[i], name) != 0)
    i++;
  return i;
}

static void
add_endpoint (Endpoints *endpoints, const char *name)
{
  if (name[0] != '\0' && find_endpoint (endpoints, name) == endpoints->n
      && endpoints->n < ENDPOINTS_MAX)
    snprintf (endpoints->names[endpoints->n++], NAME_SIZE, "%s", name);
}

static void
note_endpoint (Endpoints *endpoints, const char *line)
{
  char name[NAME_SIZE];
  if (field (line, "endpoint", name, sizeof name))
    add_endpoint (endpoints, name);
}

/* Records the endpoints that were left out for their limits: NAME:LIMIT,NAME:LIMIT,... */
static void
note_limited (Endpoints *limited, const char *line)
{
  char text[PARTS_SIZE];
  char name[NAME_SIZE];
  if (!field (line, "limited", text, sizeof text))
    return;
  for (const char *p = text; *p != '\0'; p += *p == ',')
    {
      snprintf (name, sizeof name, "%.*s", (int)strcspn (p, ":,"), p);
      add_endpoint (limited, name);
      p += strcspn (p, ",");
    }
}

/* ---- parts of prompts ---- */

static void
note_part (WlStory *story, const char *id, size_t size, int is_cause)
{
  size_t i = 0;
  if (size == 0 || size >= WL_STORY_PART_SIZE)
    return;
  while (i < story->n_parts
         && (strlen (story->parts[i].id) != size || memcmp (story->parts[i].id, id, size) != 0))
    i++;
  if (i == WL_STORY_PARTS_MAX)
    return;
  if (i == story->n_parts)
    {
      story->parts[story->n_parts++] = (WlStoryPart){ .is_cause = 0 };
      memcpy (story->parts[i].id, id, size);
    }
  story->parts[i].is_cause |= is_cause;
}

/* Records the parts that a line about the request names. */
static void
note_parts (WlStory *story, const char *line)
{
  char text[PARTS_SIZE];
  if (field (line, "part", text, sizeof text))
    note_part (story, text, strlen (text), 1);
  if (!field (line, "parts", text, sizeof text))
    return;
  for (const char *p = text; *p != '\0'; p += *p == ',')
    {
      size_t size = strcspn (p, ",");
      note_part (story, p, size, 0);
      p += size;
    }
}

/* Whether a list of parts, separated by commas, has one. */
static int
has_part (const char *list, const char *id)
{
  size_t size = strlen (id);
  for (const char *p = list; (p = strstr (p, id)) != NULL; p++)
    if ((p == list || p[-1] == ',') && (p[size] == ',' || p[size] == '\0'))
      return 1;
  return 0;
}

static int
is_about_part (const WlStory *story, const char *line)
{
  char text[PARTS_SIZE];
  int is_end = strstr (line, " WL4013 ") != NULL;
  if (!is_end && strstr (line, " WL4014 ") == NULL && strstr (line, " WL4015 ") == NULL
      && strstr (line, " WL4016 ") == NULL)
    return 0;
  if (!field (line, is_end ? "parts" : "part", text, sizeof text))
    return 0;
  for (size_t i = 0; i < story->n_parts; i++)
    if ((!is_end || story->parts[i].is_cause) && has_part (text, story->parts[i].id))
      return 1;
  return 0;
}

/* ---- logs ---- */

static int
is_context (const Endpoints *endpoints, const char *line)
{
  char name[NAME_SIZE];
  if (strstr (line, " WL2103 ") != NULL || strstr (line, " WL1002 ") != NULL
      || strstr (line, " WL2113 ") != NULL || strstr (line, " WL2114 ") != NULL)
    return 1;
  if (strstr (line, " WL300") == NULL || !field (line, "endpoint", name, sizeof name))
    return 0;
  return find_endpoint (endpoints, name) < endpoints->n;
}

static char *
next_line (char **rest)
{
  char *line = *rest;
  if (line == NULL || *line == '\0')
    return NULL;
  char *end = strchr (line, '\n');
  if (end != NULL)
    *end = '\0';
  *rest = end != NULL ? end + 1 : NULL;
  return line;
}

/* The latest lines up to a time that name or end the limits of endpoints. Ends the lines of @log.
 */
static void
add_limits (WlStory *story, const Endpoints *limited, const char *source, char *log,
            const char *until)
{
  const char *latest[ENDPOINTS_MAX] = { NULL };
  char name[NAME_SIZE];
  char time[32];
  for (char *line; limited->n > 0 && (line = next_line (&log)) != NULL;)
    {
      if ((strstr (line, " WL3013 ") == NULL && strstr (line, " WL3014 ") == NULL)
          || !field (line, "endpoint", name, sizeof name) || !time_of (line, time, sizeof time)
          || strcmp (time, until) > 0)
        continue;
      size_t i = find_endpoint (limited, name);
      if (i < limited->n)
        latest[i] = line;
    }
  for (size_t i = 0; i < limited->n; i++)
    if (latest[i] != NULL)
      add_line (story, source, latest[i], 1);
}

void
wl_explain_add (WlStory *story, const char *request, const char *source, const char *log)
{
  Endpoints endpoints = { .n = 0 };
  Endpoints limited = { .n = 0 };
  char id[NAME_SIZE];
  char first[32] = "";
  char last[32] = "";
  char time[32];
  char *copy = strdup (log);
  char *rest = copy;
  for (char *line; (line = next_line (&rest)) != NULL;)
    {
      if (!field (line, "request", id, sizeof id) || strcmp (id, request) != 0)
        continue;
      if (!time_of (line, time, sizeof time))
        continue;
      if (first[0] == '\0')
        strcpy (first, time);
      strcpy (last, time);
      note_endpoint (&endpoints, line);
      note_parts (story, line);
      note_limited (&limited, line);
      add_line (story, source, line, 0);
    }
  free (copy);
  copy = strdup (log);
  rest = copy;
  for (char *line; first[0] != '\0' && (line = next_line (&rest)) != NULL;)
    if (time_of (line, time, sizeof time) && strcmp (time, first) >= 0 && strcmp (time, last) <= 0
        && is_context (&endpoints, line))
      add_line (story, source, line, 1);
  free (copy);
  copy = strdup (log);
  add_limits (story, &limited, source, copy, last);
  free (copy);
}

void
wl_explain_add_parts (WlStory *story, const char *request, const char *source, const char *log)
{
  char id[NAME_SIZE];
  char *copy = strdup (log);
  char *rest = copy;
  for (char *line; story->n_parts > 0 && (line = next_line (&rest)) != NULL;)
    if (is_about_part (story, line)
        && (!field (line, "request", id, sizeof id) || strcmp (id, request) != 0))
      add_line (story, source, line, 1);
  free (copy);
}

static int
by_time (const void *a, const void *b)
{
  return strcmp (((const WlStoryLine *)a)->time, ((const WlStoryLine *)b)->time);
}

void
wl_explain_sort (WlStory *story)
{
  if (story->n_lines > 1)
    qsort (story->lines, story->n_lines, sizeof *story->lines, by_time);
}

void
wl_explain_clear (WlStory *story)
{
  for (size_t i = 0; i < story->n_lines; i++)
    free (story->lines[i].text);
  free (story->lines);
  memset (story, 0, sizeof *story);
}
