#ifndef WL_EXPLAIN_H
#define WL_EXPLAIN_H

#include <stddef.h>

/* Finds the story of one request in the logs of several nodes. */

/**
 * struct WlStoryLine - one line of a story
 * @time: time stamp as in the log, sorts as text
 * @source: name of the file
 * @text: the line
 * @is_context: the line is about an endpoint, a part of the prompt or the node, not about
 *   the request
 */
typedef struct
{
  char time[32];
  const char *source;
  char *text;
  int is_context;
} WlStoryLine;

enum
{
  WL_STORY_PARTS_MAX = 32,
  WL_STORY_PART_SIZE = 24,
};

/**
 * struct WlStoryPart - a part of the request's prompt
 * @id: its id, as in the log
 * @is_cause: a line about the request names it as the cause: the part is quarantined
 */
typedef struct
{
  char id[WL_STORY_PART_SIZE];
  int is_cause;
} WlStoryPart;

/**
 * struct WlStory - lines in order of time
 * @lines: the lines, @n_lines of them
 * @parts: parts that lines about the request name, @n_parts of them
 */
typedef struct
{
  WlStoryLine *lines;
  size_t n_lines;
  WlStoryPart parts[WL_STORY_PARTS_MAX];
  size_t n_parts;
} WlStory;

/**
 * wl_explain_add() - adds what one log says about a request
 * @story: zeroed, or with lines of other logs
 * @request: id of the request
 * @source: name of the log; not copied
 * @log: the whole log
 *
 * Besides the lines with the request's id, those lines of the same log are
 * taken that tell, between the first and the last of them, about endpoints
 * that they name, and about changes of the configuration and evacuations, and the latest ones
 * before on the limits of the endpoints that it could not be sent to.
 */
void wl_explain_add (WlStory *story, const char *request, const char *source, const char *log);

/**
 * wl_explain_add_parts() - adds what one log says about the parts of the request's prompt
 * @story: with the lines of all logs
 * @request: id of the request
 * @source: name of the log; not copied
 * @log: the whole log
 *
 * These are the quarantine, the release and the trials of a part, and for one that is the cause
 * also the ends of endpoints that speak against it, at any time.
 */
void wl_explain_add_parts (WlStory *story, const char *request, const char *source,
                           const char *log);

/** wl_explain_sort() - puts the lines of all logs in order of time */
void wl_explain_sort (WlStory *story);

/** wl_explain_clear() - frees a story */
void wl_explain_clear (WlStory *story);

#endif
