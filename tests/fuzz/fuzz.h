#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

/* fuzz - fuzz targets for the bytes that come from outside or from disk.
 *
 * A target is a program of this directory with the two functions below. In the test run it is
 * linked with fuzz_main.cc, which plays the corpus and seeded mutations. By hand, scripts/fuzz.sh
 * links it with libFuzzer, which is guided by coverage. */

/* Checks one input. Ends the process if a property does not hold. */
extern "C" int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Returns valid inputs to start from. */
std::vector<std::string> fuzz_seeds ();

/* Ends the process, with the broken property in the output, unless CONDITION holds. */
#define FUZZ_CHECK(condition)                                                                      \
  do                                                                                               \
    {                                                                                              \
      if (!(condition))                                                                            \
        {                                                                                          \
          fprintf (stderr, "%s:%d: broken property: %s\n", __FILE__, __LINE__, #condition);        \
          abort ();                                                                                \
        }                                                                                          \
    }                                                                                              \
  while (0)
