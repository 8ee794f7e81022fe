#ifndef WL_YAML_DEPTH_H
#define WL_YAML_DEPTH_H

#include "wl_services.h"

enum
{
  WL_YAML_DEPTH_MAX = 32, /* levels; the texts of this project use at most five */
};

/**
 * wl_yaml_is_flat() - looks for nesting that no text of this project has
 * @text: a YAML text
 * @size: its bytes
 * @code: code of the finding
 * @findings: receives a finding when the text is nested deeper than WL_YAML_DEPTH_MAX
 *
 * Loading a document takes time that grows with the square of its depth; this
 * stops at the first level too many. Errors of syntax are left to the loader.
 *
 * Return: 1 when the text may be loaded.
 */
int wl_yaml_is_flat (const char *text, size_t size, const char *code, WlFindings *findings);

#endif
