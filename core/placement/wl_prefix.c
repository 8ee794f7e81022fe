#include <xxhash.h>
#include "wl_prefix.h"

uint64_t
wl_prompt_tokens_estimate (uint64_t bytes)
{
  return (bytes + WL_BYTES_PER_TOKEN - 1) / WL_BYTES_PER_TOKEN;
}

uint32_t
wl_prefix_hashes (WlBytes prompt, WlPrefixHash *hashes)
{
  XXH64_state_t *state = XXH64_createState ();
  uint64_t hashed = 0;
  uint32_t n = 0;
  uint32_t tokens = WL_PREFIX_FIRST_TOKENS;
  if (state == NULL)
    return 0;
  XXH64_reset (state, 0);
  while (n < WL_PREFIX_HASHES_MAX && (uint64_t)tokens * WL_BYTES_PER_TOKEN <= prompt.size)
    {
      uint64_t end = (uint64_t)tokens * WL_BYTES_PER_TOKEN;
      XXH64_update (state, prompt.data + hashed, (size_t)(end - hashed));
      hashed = end;
      hashes[n++] = (WlPrefixHash){ XXH64_digest (state), tokens };
      tokens *= 2;
    }
  XXH64_freeState (state);
  return n;
}
