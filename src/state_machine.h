#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "anv_error.h"

/* state_machine - interface of the state machine that a replicated log drives.
 *
 * The state must depend only on the applied entries, so that every member computes the same state.
 * An entry is applied only once to a state. After a restart the state is empty or restored from the
 * snapshot, and the later entries are applied again. */

typedef struct state_machine state_machine_t;

typedef struct
{
  /* Applies the committed entry INDEX, which was proposed in TERM. */
  void (*apply) (state_machine_t *machine, uint64_t index, uint64_t term, const uint8_t *data,
                 size_t size);

  /* Appends the encoding of the whole state to OUT. */
  void (*snapshot) (state_machine_t *machine, GByteArray *out);

  /* Replaces the state by one that snapshot() encoded. Returns false if DATA is invalid. */
  bool (*restore) (state_machine_t *machine, const uint8_t *data, size_t size, anv_error_t *err);
} state_machine_ops_t;

/* Implementations embed it as their first field. */
struct state_machine
{
  const state_machine_ops_t *ops;
};
