#pragma once

#include "json_util.h"
#include "version_record.h"
#include "wire.h"

/* version_codec - encodings of commands, results, records and seals.
 *
 * Commands and results of the config group are MessagePack messages of the module wire:
 *   WIRE_CONFIG_COMMAND  base, patch_id, operator, reason, wall_ms, patch (bytes: JSON text),
 * schema WIRE_CONFIG_RESULT   outcome, version, current, digest (32 bytes), text WIRE_CONFIG_RECORD
 * schema, version, wall_ms, patch_id, operator, reason, patch (bytes), document (32 bytes), digest
 * (32 bytes) Records are also JSON objects with the same members, digests in hexadecimal and the
 * patch as a string, for the operators' API. Fields that a newer program appends are ignored. */

/* Base of commands whose operator numbers the versions. */
#define VERSION_BASE_BY_LABEL UINT64_MAX

/* A request to change the configuration. The strings belong to the caller. The leader sets the time
 * and the schema, so that members of different program versions apply the same rules. */
typedef struct
{
  uint64_t base; /* VERSION_BASE_BY_LABEL: the labels of the documents are compared instead */
  const char *patch_id;
  const char *operator_name;
  const char *reason;
  int64_t wall_ms;
  const char *patch;
  size_t patch_size;
  uint32_t schema; /* CONFIG_SCHEMA of the leader */
  bool replace;    /* PATCH is the whole new document */
} version_command_t;

typedef enum
{
  VERSION_ACCEPTED = 1,
  VERSION_REPEATED, /* the same patch_id and content: version is that of the first time */
  VERSION_STALE,    /* base is not the current version */
  VERSION_CONFLICT, /* the patch_id belongs to version, which has other content */
  VERSION_INVALID,  /* text names the path and the rule */
} version_outcome_t;

typedef struct
{
  version_outcome_t outcome;
  uint64_t version;        /* accepted, repeated, conflict; otherwise 0 */
  uint64_t current;        /* current version after the command */
  version_digest_t digest; /* of version, if it is not 0 */
  char text[ANV_ERROR_TEXT_SIZE];
} version_result_t;

GBytes *version_command_encode (const version_command_t *command);

/* Decodes a command. The strings point into READER, which the caller initialises to zero and
 * releases with version_command_release(), also after a failure. */
typedef struct
{
  version_command_t command;
  char *strings[3];
  wire_reader_t reader;
  bool open;
} version_command_reader_t;

bool version_command_decode (version_command_reader_t *reader, const uint8_t *data, size_t size,
                             anv_error_t *err);
void version_command_release (version_command_reader_t *reader);

GBytes *version_result_encode (const version_result_t *result);
bool version_result_decode (version_result_t *result, const uint8_t *data, size_t size,
                            anv_error_t *err);

/* Returns "accepted", "repeated", "stale", "conflict" or "invalid". */
const char *version_outcome_name (version_outcome_t outcome);

GBytes *version_record_encode (const version_record_t *record);

/* Returns NULL with ANV_ERROR_VERSION for malformed data. */
version_record_t *version_record_decode (const uint8_t *data, size_t size, anv_error_t *err);

cJSON *version_record_to_json (const version_record_t *record);
version_record_t *version_record_from_json (const cJSON *object, anv_error_t *err);

/* Six fields of a message: schema, version, the digests in the seal, and the digest that follows
 * from them. The reader fails if the last one does not. */
#define VERSION_SEAL_FIELDS 6
void version_seal_write (wire_writer_t *writer, const version_seal_t *seal);
void version_seal_read (wire_reader_t *reader, version_seal_t *seal);

/* Reads a field of 32 bytes; another size makes the reader fail. */
void version_digest_read (wire_reader_t *reader, version_digest_t *digest);
void version_digest_write (wire_writer_t *writer, const version_digest_t *digest);

/* Returns the bytes of a finished message and destroys WRITER. */
GBytes *version_writer_finish (wire_writer_t *writer);
