#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "anv_error.h"
#include "claim_wire.h"
#include "list.h"

/* claim_store - state machine of the claims group: who may dispatch, and what came of it.
 *
 * Pure and deterministic: the same commands in the same order give the same state on every member.
 * A right is granted at most once for a key, except after its holder has released it, which a
 * holder does only when no byte of the request was sent.
 *
 * Time in the store is the sum of the advance_ms of all commands, which leaders take from their
 * monotonic clocks. A wall clock that jumps can therefore not expire records early, and time stands
 * still while there is no leader, so a record is kept at least as long as its retention. */

typedef enum
{
  CLAIM_STATE_GRANTED = 1,
  CLAIM_STATE_COMPLETED,
  CLAIM_STATE_RELEASED,
} claim_state_t;

typedef struct
{
  GHashTable *records; /* key -> record */
  list_t by_age;       /* records, least recently changed first */
  uint64_t now_ms;     /* time in the store */
  size_t answer_bytes; /* recorded headers and bodies */
} claim_store_t;

typedef enum
{
  CLAIM_STORE_ERROR_COMMAND = 1,
  CLAIM_STORE_ERROR_SNAPSHOT,
} claim_store_error_t;

void claim_store_init (claim_store_t *store);
void claim_store_destroy (claim_store_t *store);

/* Applies COMMAND and stores its result in RESULT (released with claim_result_clear()). */
void claim_store_apply (claim_store_t *store, const claim_command_t *command,
                        claim_result_t *result);

size_t claim_store_count (const claim_store_t *store);

/* Returns whether KEY has a record, and its state. */
bool claim_store_lookup (const claim_store_t *store, const uint8_t *key, claim_state_t *state);

/* Serialises the whole store. Free with g_byte_array_unref(). */
GByteArray *claim_store_snapshot (const claim_store_t *store);

/* Replaces the content by a snapshot. On failure, ANV_ERROR_CLAIM, the store is unchanged. */
bool claim_store_restore (claim_store_t *store, const uint8_t *data, size_t size, anv_error_t *err);
