#ifndef REVIEW_PARTS_H
#define REVIEW_PARTS_H

#include "kit.h"

/* A run of requests of which some have a part that ends engines. */
typedef struct
{
  int n_engines;
  int keeps_ids; /* an engine starts again under the id that it had */
  int n_parts;   /* of a prompt, with the request's own last one */
  int bad_part;  /* position of the bad one, from 1 */
  int part_tokens;
  int bad_every_ms; /* between two requests with it */
} PartsPlan;

/* Makes the run; returns the exit code of the case. */
int parts_run (const PartsPlan *given, int argc, char **argv);

#endif
