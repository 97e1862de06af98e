#include "rng.h"

#include <math.h>

void
rng_init (rng_t *rng, uint64_t seed)
{
  rng->state = seed;
}

uint64_t
rng_next (rng_t *rng)
{
  rng->state += 0x9e3779b97f4a7c15ULL;
  uint64_t z = rng->state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

uint64_t
rng_uniform_int (rng_t *rng, uint64_t bound)
{
  if (bound == 0)
    return 0;
  return (uint64_t)(((__uint128_t)rng_next (rng) * bound) >> 64);
}

double
rng_uniform_double (rng_t *rng)
{
  return (double)(rng_next (rng) >> 11) * 0x1.0p-53;
}

double
rng_exponential (rng_t *rng, double mean)
{
  return -mean * log1p (-rng_uniform_double (rng));
}
