#pragma once

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "anv_error.h"
#include "claim_wire.h"
#include "list.h"

/* claim_store - records of the claims group: which attempt holds a claim, and its outcome.
 *
 * Does no I/O, reads no clock and is deterministic: the same commands in the same order give the
 * same state on every member. While the record of a key is kept, the key is granted at most once,
 * unless its holder releases it, which a holder does only if no byte of the request was sent.
 *
 * Store time is the sum of the advance_ms of all commands, which leaders measure with their
 * monotonic clocks. A jump of a wall clock can therefore not expire records early. Store time does
 * not advance without a leader, so a record is kept for at least its retention time. */

typedef enum
{
  CLAIM_STATE_GRANTED = 1,
  CLAIM_STATE_COMPLETED,
  CLAIM_STATE_RELEASED,
} claim_state_t;

typedef struct
{
  GHashTable *records;   /* key -> record */
  list_t by_last_change; /* records, least recently changed first */
  uint64_t now_ms;       /* store time */
  size_t answer_bytes;   /* size of the recorded headers and bodies */
} claim_store_t;

typedef enum
{
  CLAIM_STORE_ERROR_COMMAND = 1,
  CLAIM_STORE_ERROR_SNAPSHOT,
} claim_store_error_t;

void claim_store_init (claim_store_t *store);
void claim_store_destroy (claim_store_t *store);

/* Applies COMMAND and sets RESULT, to be freed with claim_result_clear(). */
void claim_store_apply (claim_store_t *store, const claim_command_t *command,
                        claim_result_t *result);

/* Returns the number of records. */
size_t claim_store_count (const claim_store_t *store);

/* Returns whether KEY has a record, and sets STATE to its state. */
bool claim_store_lookup (const claim_store_t *store, const uint8_t *key, claim_state_t *state);

/* Returns a snapshot of the store, to be freed with g_byte_array_unref(). */
GByteArray *claim_store_snapshot (const claim_store_t *store);

/* Replaces the content by a snapshot. On failure, returns false with ANV_ERROR_CLAIM and leaves the
 * store unchanged. */
bool claim_store_restore (claim_store_t *store, const uint8_t *data, size_t size, anv_error_t *err);
