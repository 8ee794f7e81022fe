#ifndef WL_PREFIX_H
#define WL_PREFIX_H

#include "wl_message.h"

/* Hashes of prompt prefixes, by which a cell owner finds endpoints that have them cached. */

enum
{
  WL_PREFIX_FIRST_TOKENS = 256, /* length of the shortest prefix that is hashed */
  WL_BYTES_PER_TOKEN = 4,       /* estimate used for prompt lengths */
};

/**
 * wl_prompt_tokens_estimate() - estimates the length of a prompt
 * @bytes: length of the text in bytes
 *
 * Return: tokens.
 */
uint64_t wl_prompt_tokens_estimate (uint64_t bytes);

/**
 * wl_prefix_hashes() - hashes the prefixes of 256, 512, 1024 ... tokens of a prompt
 * @prompt: the text
 * @hashes: receives up to WL_PREFIX_HASHES_MAX hashes, shortest prefix first
 *
 * Doubling the length keeps a placement request small for prompts of any
 * length; of a cached prefix, the largest such length that fits is recognised.
 *
 * Return: number of hashes.
 */
uint32_t wl_prefix_hashes (WlBytes prompt, WlPrefixHash *hashes);

#endif
