#pragma once

#include "json_util.h"
#include "version_record.h"
#include "wire.h"

/* version_codec - encodes and decodes commands, results, records and seals.
 *
 * Commands and results of the config group are MessagePack messages of the module wire:
 *
 *   WIRE_CONFIG_COMMAND  base, patch_id, operator, reason, wall_ms,
 *                        patch (bytes: JSON text), schema, replace
 *   WIRE_CONFIG_RESULT   outcome, version, current, digest (32 bytes), text
 *   WIRE_CONFIG_RECORD   schema, version, wall_ms, patch_id, operator, reason,
 *                        patch (bytes), document (32 bytes), digest (32 bytes)
 *
 * A seal holds the inputs of the digest of a version (version_seal_t).
 *
 * Decoders ignore fields that a newer program appends. The operators' API represents a record as a
 * JSON object with the same members, the digests in hexadecimal and the patch as a string. */

/* Base of a command that names its base by the label of the document, not by version. */
#define VERSION_BASE_BY_LABEL UINT64_MAX

/* A request to change the configuration. The strings are not owned. The leader sets wall_ms and
 * schema, so that members of different program versions apply the same rules. */
typedef struct
{
  uint64_t base; /* version that the patch is made for, or VERSION_BASE_BY_LABEL */
  const char *patch_id;
  const char *operator_name;
  const char *reason;
  int64_t wall_ms;   /* Unix time */
  const char *patch; /* JSON text */
  size_t patch_size;
  uint32_t schema;        /* CONFIG_SCHEMA of the leader */
  bool replaces_document; /* patch is the whole new document, not a merge patch */
} version_command_t;

typedef enum
{
  VERSION_ACCEPTED = 1,
  VERSION_REPEATED, /* a command with this patch_id and content was accepted before */
  VERSION_STALE,    /* base is not the current version */
  VERSION_CONFLICT, /* a command with this patch_id was accepted before, but had other content */
  VERSION_INVALID,  /* the command breaks a rule; text names the path or field, and the rule */
} version_outcome_t;

typedef struct
{
  version_outcome_t outcome;
  uint64_t version; /* version that was accepted with the patch_id; 0 for stale and invalid */
  uint64_t current; /* current version after the command */
  version_digest_t digest; /* of version, if it is not 0 */
  char text[ANV_ERROR_TEXT_SIZE];
} version_result_t;

GBytes *version_command_encode (const version_command_t *command);

/* Decodes a command and owns its strings. Initialize to zero, and release with
 * version_command_release(), also after a failure. */
typedef struct
{
  version_command_t command;
  char *strings[3]; /* patch_id, operator_name and reason */
  wire_reader_t reader;
  bool is_open;
} version_command_reader_t;

/* Decodes DATA into reader->command, which is valid until READER is released and while DATA exists.
 * Returns false with ANV_ERROR_VERSION for malformed data. */
bool version_command_decode (version_command_reader_t *reader, const uint8_t *data, size_t size,
                             anv_error_t *err);
void version_command_release (version_command_reader_t *reader);

GBytes *version_result_encode (const version_result_t *result);
/* Returns false with ANV_ERROR_VERSION for malformed data. */
bool version_result_decode (version_result_t *result, const uint8_t *data, size_t size,
                            anv_error_t *err);

/* Returns "accepted", "repeated", "stale", "conflict", "invalid", or "unknown" for other values. */
const char *version_outcome_name (version_outcome_t outcome);

GBytes *version_record_encode (const version_record_t *record);

/* Returns a new record, or NULL with ANV_ERROR_VERSION for malformed data. */
version_record_t *version_record_decode (const uint8_t *data, size_t size, anv_error_t *err);

cJSON *version_record_to_json (const version_record_t *record);

/* Returns a new record, or NULL with ANV_ERROR_VERSION if a member is missing or has
 * the wrong type. */
version_record_t *version_record_from_json (const cJSON *object, anv_error_t *err);

/* A seal is six fields of a message: schema, version, the three digests of the seal, and the digest
 * of the version. The reader fails unless the last one matches the others. */
#define VERSION_SEAL_FIELD_COUNT 6
void version_seal_write (wire_writer_t *writer, const version_seal_t *seal);
void version_seal_read (wire_reader_t *reader, version_seal_t *seal);

/* Reads a field of 32 bytes. The reader fails if the field has another size. */
void version_digest_read (wire_reader_t *reader, version_digest_t *digest);
void version_digest_write (wire_writer_t *writer, const version_digest_t *digest);

/* Returns the bytes of a finished message and destroys WRITER. */
GBytes *version_writer_finish (wire_writer_t *writer);
