#include "version_codec.h"

#include <string.h>

#define COMMAND_FIELD_COUNT 8
#define RESULT_FIELD_COUNT 5
#define RECORD_FIELD_COUNT 9

GBytes *
version_writer_finish (wire_writer_t *writer)
{
  GBytes *bytes = g_bytes_new (writer->buffer.data, writer->buffer.size);
  wire_writer_destroy (writer);
  return bytes;
}

void
version_digest_write (wire_writer_t *writer, const version_digest_t *digest)
{
  wire_write_bytes (writer, digest->bytes, sizeof (digest->bytes));
}

void
version_digest_read (wire_reader_t *reader, version_digest_t *digest)
{
  size_t size = 0;
  const uint8_t *data = wire_read_bytes (reader, &size);
  memset (digest, 0, sizeof (*digest));
  if (size == sizeof (digest->bytes))
    memcpy (digest->bytes, data, size);
  else
    reader->failed = true;
}

/* Starts reading a message. Fails unless its type is EXPECTED. */
static bool
open_message (wire_reader_t *reader, const uint8_t *data, size_t size, wire_type_t expected,
              anv_error_t *err)
{
  wire_type_t type;
  if (!wire_reader_init (reader, data, size, &type, err))
    {
      anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "malformed message");
      return false;
    }
  if (type == expected)
    return true;
  wire_reader_destroy (reader);
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "message of type %d, expected %d",
                 (int)type, (int)expected);
  return false;
}

static bool
finish_message (wire_reader_t *reader, anv_error_t *err)
{
  if (wire_reader_finish (reader, err))
    return true;
  anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "malformed message");
  return false;
}

GBytes *
version_command_encode (const version_command_t *command)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_CONFIG_COMMAND, COMMAND_FIELD_COUNT);
  wire_write_uint (&writer, command->base);
  wire_write_string (&writer, command->patch_id);
  wire_write_string (&writer, command->operator_name);
  wire_write_string (&writer, command->reason);
  wire_write_int (&writer, command->wall_ms);
  wire_write_bytes (&writer, command->patch, command->patch_size);
  wire_write_uint (&writer, command->schema);
  wire_write_bool (&writer, command->replaces_document);
  return version_writer_finish (&writer);
}

bool
version_command_decode (version_command_reader_t *reader, const uint8_t *data, size_t size,
                        anv_error_t *err)
{
  version_command_t *command = &reader->command;
  reader->is_open = open_message (&reader->reader, data, size, WIRE_CONFIG_COMMAND, err);
  if (!reader->is_open)
    return false;
  command->base = wire_read_uint (&reader->reader);
  for (size_t i = 0; i < G_N_ELEMENTS (reader->strings); i++)
    reader->strings[i] = wire_read_string (&reader->reader);
  command->patch_id = reader->strings[0];
  command->operator_name = reader->strings[1];
  command->reason = reader->strings[2];
  command->wall_ms = wire_read_int (&reader->reader);
  command->patch = (const char *)wire_read_bytes (&reader->reader, &command->patch_size);
  command->schema = (uint32_t)wire_read_uint (&reader->reader);
  /* Commands that earlier programs logged have no such field. */
  command->replaces_document = wire_has_more (&reader->reader) && wire_read_bool (&reader->reader);
  return finish_message (&reader->reader, err);
}

void
version_command_release (version_command_reader_t *reader)
{
  if (!reader->is_open)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (reader->strings); i++)
    g_free (reader->strings[i]);
  wire_reader_destroy (&reader->reader);
  reader->is_open = false;
}

GBytes *
version_result_encode (const version_result_t *result)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_CONFIG_RESULT, RESULT_FIELD_COUNT);
  wire_write_uint (&writer, result->outcome);
  wire_write_uint (&writer, result->version);
  wire_write_uint (&writer, result->current);
  version_digest_write (&writer, &result->digest);
  wire_write_string (&writer, result->text);
  return version_writer_finish (&writer);
}

bool
version_result_decode (version_result_t *result, const uint8_t *data, size_t size, anv_error_t *err)
{
  wire_reader_t reader;
  memset (result, 0, sizeof (*result));
  if (!open_message (&reader, data, size, WIRE_CONFIG_RESULT, err))
    return false;
  result->outcome = (version_outcome_t)wire_read_uint (&reader);
  result->version = wire_read_uint (&reader);
  result->current = wire_read_uint (&reader);
  version_digest_read (&reader, &result->digest);
  wire_read_string_into (&reader, result->text, sizeof (result->text));
  bool ok = finish_message (&reader, err);
  wire_reader_destroy (&reader);
  return ok;
}

const char *
version_outcome_name (version_outcome_t outcome)
{
  static const char *const names[] = {
    [VERSION_ACCEPTED] = "accepted", [VERSION_REPEATED] = "repeated", [VERSION_STALE] = "stale",
    [VERSION_CONFLICT] = "conflict", [VERSION_INVALID] = "invalid",
  };
  if ((size_t)outcome >= G_N_ELEMENTS (names) || names[outcome] == NULL)
    return "unknown";
  return names[outcome];
}

GBytes *
version_record_encode (const version_record_t *record)
{
  wire_writer_t writer;
  wire_writer_init (&writer, WIRE_CONFIG_RECORD, RECORD_FIELD_COUNT);
  wire_write_uint (&writer, record->schema);
  wire_write_uint (&writer, record->version);
  wire_write_int (&writer, record->wall_ms);
  wire_write_string (&writer, record->patch_id);
  wire_write_string (&writer, record->operator_name);
  wire_write_string (&writer, record->reason);
  wire_write_bytes (&writer, record->patch, strlen (record->patch));
  version_digest_write (&writer, &record->document_digest);
  version_digest_write (&writer, &record->digest);
  return version_writer_finish (&writer);
}

version_record_t *
version_record_decode (const uint8_t *data, size_t size, anv_error_t *err)
{
  wire_reader_t reader;
  if (!open_message (&reader, data, size, WIRE_CONFIG_RECORD, err))
    return NULL;

  version_record_t *record = g_new0 (version_record_t, 1);
  size_t patch_size = 0;
  record->schema = (uint32_t)wire_read_uint (&reader);
  record->version = wire_read_uint (&reader);
  record->wall_ms = wire_read_int (&reader);
  record->patch_id = wire_read_string (&reader);
  record->operator_name = wire_read_string (&reader);
  record->reason = wire_read_string (&reader);
  const char *patch = (const char *)wire_read_bytes (&reader, &patch_size);
  record->patch = patch != NULL ? g_strndup (patch, patch_size) : g_strdup ("");
  version_digest_read (&reader, &record->document_digest);
  version_digest_read (&reader, &record->digest);
  bool ok = finish_message (&reader, err);
  wire_reader_destroy (&reader);
  if (ok)
    return record;
  version_record_free (record);
  return NULL;
}

cJSON *
version_record_to_json (const version_record_t *record)
{
  char hex[VERSION_HEX_SIZE];
  cJSON *object = cJSON_CreateObject ();
  cJSON_AddNumberToObject (object, "schema", record->schema);
  cJSON_AddNumberToObject (object, "version", (double)record->version);
  cJSON_AddNumberToObject (object, "wall_ms", (double)record->wall_ms);
  cJSON_AddStringToObject (object, "patch_id", record->patch_id);
  cJSON_AddStringToObject (object, "operator", record->operator_name);
  cJSON_AddStringToObject (object, "reason", record->reason);
  cJSON_AddStringToObject (object, "patch", record->patch);
  cJSON_AddStringToObject (object, "document", version_digest_hex (&record->document_digest, hex));
  cJSON_AddStringToObject (object, "digest", version_digest_hex (&record->digest, hex));
  return object;
}

static int64_t
read_json_integer (const cJSON *object, const char *key, bool *ok)
{
  int64_t value = 0;
  if (!json_read_exact_integer (cJSON_GetObjectItemCaseSensitive (object, key), &value))
    *ok = false;
  return value;
}

static char *
copy_json_string (const cJSON *object, const char *key, bool *ok)
{
  const char *text = json_get_string (object, key, NULL);
  *ok = *ok && text != NULL;
  return g_strdup (text != NULL ? text : "");
}

version_record_t *
version_record_from_json (const cJSON *object, anv_error_t *err)
{
  bool ok = true;
  version_record_t *record = g_new0 (version_record_t, 1);
  record->schema = (uint32_t)read_json_integer (object, "schema", &ok);
  record->version = (uint64_t)read_json_integer (object, "version", &ok);
  record->wall_ms = read_json_integer (object, "wall_ms", &ok);
  record->patch_id = copy_json_string (object, "patch_id", &ok);
  record->operator_name = copy_json_string (object, "operator", &ok);
  record->reason = copy_json_string (object, "reason", &ok);
  record->patch = copy_json_string (object, "patch", &ok);
  ok = ok
       && version_digest_parse (&record->document_digest, json_get_string (object, "document", ""))
       && version_digest_parse (&record->digest, json_get_string (object, "digest", ""));
  if (ok)
    return record;
  version_record_free (record);
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                 "a member of a record is missing or has the wrong type");
  return NULL;
}

void
version_seal_write (wire_writer_t *writer, const version_seal_t *seal)
{
  wire_write_uint (writer, seal->schema);
  wire_write_uint (writer, seal->version);
  version_digest_write (writer, &seal->previous_digest);
  version_digest_write (writer, &seal->record_digest);
  version_digest_write (writer, &seal->document_digest);
  version_digest_t digest = version_seal_compute_digest (seal);
  version_digest_write (writer, &digest);
}

void
version_seal_read (wire_reader_t *reader, version_seal_t *seal)
{
  seal->schema = (uint32_t)wire_read_uint (reader);
  seal->version = wire_read_uint (reader);
  version_digest_read (reader, &seal->previous_digest);
  version_digest_read (reader, &seal->record_digest);
  version_digest_read (reader, &seal->document_digest);

  version_digest_t digest;
  version_digest_t expected = version_seal_compute_digest (seal);
  version_digest_read (reader, &digest);
  if (!version_digest_equal (&digest, &expected))
    reader->failed = true;
}
