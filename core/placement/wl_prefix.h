#ifndef WL_PREFIX_H
#define WL_PREFIX_H

#include "wl_message.h"

enum
{
  WL_PREFIX_FIRST_TOKENS = 256, /* length of the shortest prefix that is hashed */
  WL_BYTES_PER_TOKEN = 4,       /* estimate used for prompt lengths */
};

/**
 * wl_prefix_tokens() - estimated length of a prompt
 * @bytes: length of the text in bytes
 *
 * Return: tokens.
 */
uint64_t wl_prefix_tokens (uint64_t bytes);

/**
 * wl_prefix_marks() - hashes the prefixes of 256, 512, 1024 ... tokens of a prompt
 * @prompt: the text
 * @marks: receives up to WL_PREFIX_MARKS marks, shortest first
 *
 * Doubling lengths keep a placement request small for prompts of any length;
 * a cached prefix is recognised up to the next lower power of two.
 *
 * Return: number of marks.
 */
uint32_t wl_prefix_marks (WlBytes prompt, WlPrefixMark *marks);

#endif
