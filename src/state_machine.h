#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "anv_error.h"

/* state_machine - what a replicated log drives.
 *
 * The state must depend on the applied entries only, so that every member computes the same. An
 * entry is applied once per life of the state: after a restart the state begins empty or with the
 * restored snapshot, and the later entries are applied again. */

typedef struct state_machine state_machine_t;

typedef struct
{
  /* Applies the committed entry INDEX, which was proposed in TERM. */
  void (*apply) (state_machine_t *machine, uint64_t index, uint64_t term, const uint8_t *data,
                 size_t size);

  /* Appends the whole state to OUT. */
  void (*snapshot) (state_machine_t *machine, GByteArray *out);

  /* Replaces the state by one that snapshot() wrote. */
  bool (*restore) (state_machine_t *machine, const uint8_t *data, size_t size, anv_error_t *err);
} state_machine_ops_t;

/* Implementations have it as their first member. */
struct state_machine
{
  const state_machine_ops_t *ops;
};
