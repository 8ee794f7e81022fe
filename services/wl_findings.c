#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include "wl_services.h"

void
wl_findings_add (WlFindings *findings, uint32_t line, uint32_t column, const char *code,
                 const char *format, ...)
{
  WlFinding *items = realloc (findings->items, (findings->count + 1) * sizeof *items);
  if (items == NULL)
    abort ();
  findings->items = items;
  WlFinding *f = &items[findings->count++];
  f->line = line;
  f->column = column;
  f->code = code;
  va_list args;
  va_start (args, format);
  vsnprintf (f->text, sizeof f->text, format, args);
  va_end (args);
}

void
wl_findings_clear (WlFindings *findings)
{
  free (findings->items);
  findings->items = NULL;
  findings->count = 0;
}
