#ifndef WL_RANDOM_H
#define WL_RANDOM_H

#include <stdint.h>

/**
 * wl_random_next() - next number of a repeatable sequence, for jitter and tie-breaks
 * @state: state; its first value is the seed
 *
 * The generator is splitmix64 by Sebastiano Vigna. Keys and incarnations come
 * from libsodium instead.
 *
 * Return: 64 random bits.
 */
uint64_t wl_random_next (uint64_t *state);

#endif
