#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "raft.h"
#include "wire.h"

/* raft_wire - messages between the members of a group, in the form of wire.h.
 *
 * Fields of every message: group, sender, receiver, founder, term, index, log_term, round, flags;
 * then RAFT_APPEND: commit, [[term, type, data]...] RAFT_SNAPSHOT: offset, total, data
 *   RAFT_SNAPSHOT_REPLY: offset */

/* A decoded message and what its pointers refer to. */
typedef struct
{
  raft_message_t message;
  wire_reader_t reader;
  raft_entry_t *entries;
  const raft_entry_t **pointers;
} raft_wire_message_t;

/* Starts WRITER with MESSAGE; release it with wire_writer_destroy(). */
void raft_wire_encode (const raft_message_t *message, wire_writer_t *writer);

/* Returns whether TYPE is one of the messages of this module. */
bool raft_wire_is_type (wire_type_t type);

/* Decodes DATA, which must stay valid while DECODED is used. Returns false with ANV_ERROR_WIRE for
 * anything that raft_wire_encode() does not write. */
bool raft_wire_decode (raft_wire_message_t *decoded, const uint8_t *data, size_t size,
                       anv_error_t *err);
void raft_wire_destroy (raft_wire_message_t *decoded);
