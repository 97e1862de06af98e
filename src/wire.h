#pragma once

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "anv_error.h"

/* wire - typed messages between the processes of a fleet, in MessagePack.
 *
 * A message is the array [type, field...]. Each protocol module (raft_wire, swim_wire, ...) encodes
 * its structs with wire_writer_t and decodes them with wire_reader_t, field by field in the same
 * order. After a field of the wrong type or a missing field, the reader sets its error flag and
 * returns zero values, so a decoder calls wire_reader_finish() once at the end. */

/* Largest nesting depth of arrays, with the array of the message itself. */
#define WIRE_MAX_DEPTH 8

typedef enum
{
  WIRE_HELLO = 1,
  WIRE_HEARTBEAT = 2,
  WIRE_SWIM_PING = 10,
  WIRE_SWIM_ACK = 11,
  WIRE_SWIM_PING_REQ = 12,
  WIRE_SWIM_SYNC = 13,
  WIRE_CONFIG_FETCH = 20,
  WIRE_CONFIG_DELTA = 21,
  WIRE_CONFIG_FULL = 22,
  WIRE_CONFIG_COMMAND = 23,
  WIRE_CONFIG_RESULT = 24,
  WIRE_CONFIG_RECORD = 25,
  WIRE_CONFIG_SNAPSHOT = 26,
  WIRE_TARGET_LEASE = 30,
  WIRE_SERVICE_SUMMARY = 31,
  WIRE_TEAM_USAGE = 32,
  WIRE_PROBE_REQUEST = 33,
  WIRE_PROBE_RESULT = 34,
  WIRE_CLAIM_REQUEST = 40,
  WIRE_CLAIM_REPLY = 41,
  WIRE_CLAIM_OUTCOME = 42, /* unused; WIRE_CLAIM_REQUEST carries the command */
  WIRE_CLAIM_RELEASE = 43, /* unused, as WIRE_CLAIM_OUTCOME */
  WIRE_RAFT_VOTE = 50,
  WIRE_RAFT_VOTE_REPLY = 51,
  WIRE_RAFT_APPEND = 52,
  WIRE_RAFT_APPEND_REPLY = 53,
  WIRE_RAFT_SNAPSHOT = 54,
  WIRE_RAFT_SNAPSHOT_REPLY = 55,
  WIRE_RAFT_TIMEOUT_NOW = 56,
  WIRE_FLEET_STATUS = 60,
  WIRE_FLEET_VIEW = 61,
  WIRE_FLEET_CONFIG = 62,
  WIRE_FLEET_TARGETS = 63,
  WIRE_FLEET_DEPARTED = 64,
  WIRE_FLEET_JOIN = 65,
  WIRE_FLEET_PROPOSE = 66,
  WIRE_FLEET_PROPOSED = 67,
  WIRE_FLEET_LOAD = 68,
  WIRE_FLEET_QUOTA_ASK = 69,
  WIRE_FLEET_QUOTA_GRANT = 70,
  WIRE_FLEET_QUOTA_MOVED = 71,
  WIRE_FLEET_LEAVE = 72,
  WIRE_FLEET_MAY_STOP = 73,
} wire_type_t;

typedef enum
{
  WIRE_ERROR_MALFORMED = 1,
  WIRE_ERROR_TOO_DEEP,
  WIRE_ERROR_FIELD,
} wire_error_t;

typedef struct
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
} wire_writer_t;

/* Starts a message of TYPE with FIELD_COUNT fields after the type. */
void wire_writer_init (wire_writer_t *writer, wire_type_t type, size_t field_count);
void wire_writer_destroy (wire_writer_t *writer);

void wire_write_uint (wire_writer_t *writer, uint64_t value);
void wire_write_int (wire_writer_t *writer, int64_t value);
void wire_write_double (wire_writer_t *writer, double value);
void wire_write_bool (wire_writer_t *writer, bool value);
void wire_write_string (wire_writer_t *writer, const char *text);
void wire_write_bytes (wire_writer_t *writer, const void *data, size_t size);

/* Writes the content of BYTES, or an empty byte string if BYTES is NULL. */
void wire_write_blob (wire_writer_t *writer, GBytes *bytes);

/* Starts a nested array. The next COUNT values written are its elements. */
void wire_write_array (wire_writer_t *writer, size_t count);

typedef struct
{
  msgpack_zone zone;
  msgpack_object root;
  /* Open arrays and the index of the next element of each, outermost first. */
  struct
  {
    const msgpack_object_array *array;
    uint32_t next;
  } stack[WIRE_MAX_DEPTH];
  unsigned depth; /* number of open arrays */
  bool failed;    /* a read has failed; all later reads fail too */
} wire_reader_t;

/* Parses DATA, which must stay valid while the reader is used. Returns false with ANV_ERROR_WIRE
 * for malformed or too deeply nested input. Memory use is at most a small multiple of SIZE. On
 * success, stores the message type in TYPE; the next read returns the first field. */
bool wire_reader_init (wire_reader_t *reader, const uint8_t *data, size_t size, wire_type_t *type,
                       anv_error_t *err);
void wire_reader_destroy (wire_reader_t *reader);

uint64_t wire_read_uint (wire_reader_t *reader);
int64_t wire_read_int (wire_reader_t *reader);
double wire_read_double (wire_reader_t *reader);
bool wire_read_bool (wire_reader_t *reader);

/* Returns an allocated copy, or "" on failure. A string with an embedded null byte is a failure.
 * Free with g_free(). */
char *wire_read_string (wire_reader_t *reader);

/* Copies a string to BUFFER of SIZE bytes. On failure, also if it does not fit, BUFFER is "". */
void wire_read_string_into (wire_reader_t *reader, char *buffer, size_t size);

/* Returns a pointer into the input and stores the length in SIZE; NULL and 0 on failure. */
const uint8_t *wire_read_bytes (wire_reader_t *reader, size_t *size);

/* Returns a copy of the bytes, or NULL if there are none. Free with g_bytes_unref(). */
GBytes *wire_read_blob (wire_reader_t *reader);

/* Copies a byte string of exactly SIZE bytes to OUT. Any other length is a failure and leaves OUT
 * unchanged. */
void wire_read_fixed_bytes (wire_reader_t *reader, uint8_t *out, size_t size);

/* Opens a nested array and returns its element count, or 0 on failure. wire_read_array_end() closes
 * it and skips the elements that were not read. */
uint32_t wire_read_array (wire_reader_t *reader);
void wire_read_array_end (wire_reader_t *reader);

/* Returns whether the innermost open array has an unread element. */
bool wire_has_more (const wire_reader_t *reader);

/* Returns whether all reads succeeded; otherwise sets ERR to ANV_ERROR_WIRE. Unread fields at the
 * end are allowed, so that a newer version of the sender can append fields. */
bool wire_reader_finish (wire_reader_t *reader, anv_error_t *err);
