#ifndef WL_RANDOM_H
#define WL_RANDOM_H

#include <stdint.h>

/**
 * wl_random_next() - next number of a reproducible sequence, for jitter and tie-breaks
 * @state: state of the generator; initialise it with the seed
 *
 * The generator is splitmix64 by Sebastiano Vigna. It is not cryptographic:
 * keys and incarnations come from libsodium instead.
 *
 * Return: 64 random bits.
 */
uint64_t wl_random_next (uint64_t *state);

#endif
