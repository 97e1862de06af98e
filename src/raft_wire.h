#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "raft.h"
#include "wire.h"

/* raft_wire - encoding of messages between the members of a group, in the format of wire.h.
 *
 * Fields of every message: group, sender, receiver, founder id, term, index, log_term, round,
 * flags. Further fields:
 *
 * - RAFT_APPEND: commit_index, [[term, type, data]...]
 * - RAFT_SNAPSHOT: offset, total, data
 * - RAFT_SNAPSHOT_REPLY: offset */

/* A decoded message and the memory that its pointers refer to. */
typedef struct
{
  raft_message_t message;
  wire_reader_t reader;
  raft_entry_t *entries;
  const raft_entry_t **entry_pointers;
} raft_wire_message_t;

/* Initializes WRITER with the encoded MESSAGE; release it with wire_writer_destroy(). */
void raft_wire_encode (const raft_message_t *message, wire_writer_t *writer);

/* Returns whether TYPE is a message of this module. */
bool raft_wire_is_type (wire_type_t type);

/* Decodes DATA, which must stay valid while DECODED is used. Returns false with ANV_ERROR_WIRE
 * if it is malformed or no raft message. Ignores unknown flags and additional fields. */
bool raft_wire_decode (raft_wire_message_t *decoded, const uint8_t *data, size_t size,
                       anv_error_t *err);
void raft_wire_destroy (raft_wire_message_t *decoded);
