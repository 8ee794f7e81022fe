#ifndef WL_VERIFY_H
#define WL_VERIFY_H

#include <stddef.h>
#include <jansson.h>

/**
 * struct WlVerified - result of verifying exported receipts
 * @chains: chains verified
 * @receipts: receipts read
 * @finished: whole or replayed answers
 * @failed: failed or unknown ones
 * @refused: refusals
 * @rooted: chains whose committed root matched
 * @problem: the first mismatch with its place, empty when there is none
 */
typedef struct
{
  size_t chains;
  size_t receipts;
  size_t finished;
  size_t failed;
  size_t refused;
  size_t rooted;
  char problem[256];
} WlVerified;

/**
 * wl_verify_export() - verifies the output of `wisterialoft report receipts`
 * @root: the parsed export
 * @out: receives the result
 *
 * Return: 1 when everything matches, otherwise 0.
 */
int wl_verify_export (const json_t *root, WlVerified *out);

#endif
