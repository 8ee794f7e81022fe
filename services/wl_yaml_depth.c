#include <yaml.h>
#include "wl_yaml_depth.h"

/* Change of the depth by an event. */
static int
depth_change (yaml_event_type_t type)
{
  switch (type)
    {
    case YAML_SEQUENCE_START_EVENT:
    case YAML_MAPPING_START_EVENT:
      return 1;
    case YAML_SEQUENCE_END_EVENT:
    case YAML_MAPPING_END_EVENT:
      return -1;
    default:
      return 0;
    }
}

int
wl_yaml_is_flat (const char *text, size_t size, const char *code, WlFindings *findings)
{
  yaml_parser_t parser;
  yaml_event_t event;
  int depth = 0;
  int is_over = 0;
  if (!yaml_parser_initialize (&parser))
    return 1; /* the loader reports it */
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, size);
  while (!is_over && depth <= WL_YAML_DEPTH_MAX && yaml_parser_parse (&parser, &event))
    {
      depth += depth_change (event.type);
      is_over = event.type == YAML_STREAM_END_EVENT;
      if (depth > WL_YAML_DEPTH_MAX)
        wl_findings_add (findings, (uint32_t)event.start_mark.line + 1,
                         (uint32_t)event.start_mark.column + 1, code, "nested deeper than %d",
                         WL_YAML_DEPTH_MAX);
      yaml_event_delete (&event);
    }
  yaml_parser_delete (&parser);
  return depth <= WL_YAML_DEPTH_MAX;
}
