#pragma once

#include <stdint.h>

/* rng - seeded pseudo-random generator (SplitMix64) for jitter, sampling and tests.
 *
 * The same seed gives the same sequence on every machine. Not for
 * cryptographic use, such as keys or tokens. */

typedef struct
{
  uint64_t state;
} rng_t;

void rng_init (rng_t *rng, uint64_t seed);

/* Returns 64 uniformly distributed bits. */
uint64_t rng_next (rng_t *rng);

/* Returns a uniformly distributed integer from 0 to BOUND - 1; 0 if BOUND is 0. */
uint64_t rng_uniform_int (rng_t *rng, uint64_t bound);

/* Returns a uniformly distributed number from 0 (included) to 1 (excluded). */
double rng_uniform_double (rng_t *rng);

/* Returns an exponentially distributed number with the given mean. */
double rng_exponential (rng_t *rng, double mean);
