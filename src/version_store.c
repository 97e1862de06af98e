#include "version_store.h"

#include <stdio.h>
#include <string.h>

#include "config_field.h"
#include "config_patch.h"
#include "deflate.h"
#include "version_log.h"

#define SNAPSHOT_FIELD_COUNT (VERSION_LOG_FIELD_COUNT + 1)

struct version_store
{
  version_log_t *log;
  config_doc_t *doc;
  version_seal_t seal;
  version_digest_t digest;
};

/* The new state of a command that passed all checks. */
typedef struct
{
  version_record_t *record;
  version_seal_t seal;
  config_doc_t *doc;
} candidate_t;

version_store_t *
version_store_new (void)
{
  version_store_t *store = g_new0 (version_store_t, 1);
  store->log = version_log_new ();
  store->doc = config_doc_parse ("{}", 2, CONFIG_SCHEMA, NULL);
  return store;
}

void
version_store_free (version_store_t *store)
{
  if (store == NULL)
    return;
  version_log_free (store->log);
  config_doc_unref (store->doc);
  g_free (store);
}

static bool
set_invalid (version_result_t *result, const char *text)
{
  result->outcome = VERSION_INVALID;
  g_strlcpy (result->text, text, sizeof (result->text));
  return false;
}

/* Returns whether C is a control character, a line separator or a direction control, with which a
 * text could imitate or reverse other lines of a listing. The ranges are fixed here, because
 * members with different Unicode libraries must agree on them. */
static bool
is_unsafe_character (gunichar c)
{
  return c < 0x20 || (c >= 0x7f && c <= 0x9f) || (c >= 0x2028 && c <= 0x202e)
         || (c >= 0x2066 && c <= 0x2069);
}

static bool
is_plain_text (const char *text, size_t limit)
{
  size_t size = strlen (text);
  if (size == 0 || size > limit || !g_utf8_validate (text, (gssize)size, NULL))
    return false;
  for (const char *p = text; *p != '\0'; p = g_utf8_next_char (p))
    {
      if (is_unsafe_character (g_utf8_get_char (p)))
        return false;
    }
  return true;
}

static bool
check_fields (const version_command_t *command, version_result_t *result)
{
  char text[128];
  if (!field_is_name (command->patch_id, strlen (command->patch_id)))
    return set_invalid (result,
                        "patch_id: must have 1 to 128 letters, digits or characters of ._-:@");
  if (!is_plain_text (command->operator_name, VERSION_MAX_OPERATOR_BYTES))
    {
      g_snprintf (text, sizeof (text), "operator: must be 1 to %d bytes of printable UTF-8",
                  VERSION_MAX_OPERATOR_BYTES);
      return set_invalid (result, text);
    }
  if (!is_plain_text (command->reason, VERSION_MAX_REASON_BYTES))
    {
      g_snprintf (text, sizeof (text), "reason: must be 1 to %d bytes of printable UTF-8",
                  VERSION_MAX_REASON_BYTES);
      return set_invalid (result, text);
    }
  return true;
}

static cJSON *
parse_patch (const version_command_t *command, version_result_t *result)
{
  const char *reason = "too large";
  cJSON *patch = NULL;
  if (command->patch_size <= CONFIG_MAX_TEXT_SIZE)
    patch = json_parse (command->patch, command->patch_size, &reason);
  if (patch != NULL && !cJSON_IsObject (patch))
    {
      g_clear_pointer (&patch, cJSON_Delete);
      reason = "must be an object";
    }
  if (patch == NULL)
    {
      g_autofree char *text = g_strdup_printf ("patch: %s", reason);
      set_invalid (result, text);
    }
  return patch;
}

/* Returns whether PATCH, the canonical patch of COMMAND, has the same content as RECORD. If it
 * replaces the whole document, the documents are compared, because the record then holds a derived
 * merge patch. */
static bool
has_same_content (const version_command_t *command, const char *patch,
                  const version_record_t *record)
{
  if (!command->replaces_document)
    return strcmp (patch, record->patch) == 0;
  version_digest_t digest = version_compute_text_digest (patch, strlen (patch));
  return version_digest_equal (&digest, &record->document_digest);
}

/* Sets RESULT for COMMAND, whose patch_id was accepted before as VERSION. */
static void
compare_repeated_command (version_store_t *store, const version_command_t *command,
                          const char *patch, uint64_t version, version_result_t *result)
{
  const version_record_t *record = version_log_get (store->log, version);
  bool same_base = command->base == VERSION_BASE_BY_LABEL || command->base == version - 1;
  bool same = same_base && strcmp (command->reason, record->reason) == 0
              && strcmp (command->operator_name, record->operator_name) == 0
              && has_same_content (command, patch, record);
  result->outcome = same ? VERSION_REPEATED : VERSION_CONFLICT;
  result->version = version;
  result->digest = record->digest;
  if (!same)
    g_snprintf (result->text, sizeof (result->text),
                "patch_id: belongs to version %" G_GUINT64_FORMAT ", which has other content",
                version);
}

/* Returns the document REPLACEMENT or, if it is NULL, the current document with PATCH applied.
 * Returns NULL, with the violated rule in RESULT, if the new document is invalid. */
static config_doc_t *
make_document (const version_store_t *store, const cJSON *patch, const char *replacement,
               uint32_t schema, version_result_t *result)
{
  anv_error_t err = { .domain = ANV_ERROR_NONE };
  json_slice_t base = { .data = NULL };
  base.data = g_bytes_get_data (config_doc_text (store->doc), &base.size);
  GString *text = g_string_sized_new (base.size + 256);
  bool has_text = replacement != NULL || config_patch_apply_text (base, patch, text);
  if (replacement != NULL)
    g_string_append (text, replacement);
  gsize size = text->len;
  GBytes *bytes = g_bytes_new_take (g_string_free (text, FALSE), size);
  config_doc_t *doc = has_text ? config_doc_new_after (store->doc, bytes, schema, &err) : NULL;
  g_bytes_unref (bytes);
  if (doc == NULL)
    set_invalid (result, has_text ? err.text : "$: the current document is damaged");
  return doc;
}

/* Returns the canonical text of the merge patch from the current document to TO. */
static char *
make_patch (const version_store_t *store, const cJSON *to)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (config_doc_text (store->doc), &size);
  cJSON *from = json_parse (text, size, NULL);
  cJSON *patch = config_patch_diff (from, to);
  char *canonical = json_print_canonical (patch);
  cJSON_Delete (patch);
  cJSON_Delete (from);
  return canonical;
}

/* Returns whether the base of COMMAND is the current version. */
static bool
has_current_base (const version_store_t *store, const version_command_t *command,
                  const cJSON *patch)
{
  int64_t label = 0;
  if (command->base != VERSION_BASE_BY_LABEL)
    return command->base == version_store_current_version (store);
  const cJSON *base = cJSON_GetObjectItemCaseSensitive (patch, "label_base");
  return json_read_exact_integer (base, &label) && (uint64_t)label == config_doc_label (store->doc);
}

static version_record_t *
make_record (const version_store_t *store, const version_command_t *command, const char *patch,
             const config_doc_t *doc)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (config_doc_text (doc), &size);
  version_record_t *record = g_new0 (version_record_t, 1);
  record->schema = command->schema;
  record->version = version_store_current_version (store) + 1;
  record->wall_ms = command->wall_ms;
  record->patch_id = g_strdup (command->patch_id);
  record->operator_name = g_strdup (command->operator_name);
  record->reason = g_strdup (command->reason);
  record->patch = g_strdup (patch);
  record->document_digest = version_compute_text_digest (data, size);
  return record;
}

/* Checks COMMAND against the state and fills RESULT. Returns whether it is acceptable, with the new
 * state in CANDIDATE. */
static bool
check_command (version_store_t *store, const version_command_t *command, cJSON *patch,
               candidate_t *candidate, version_result_t *result)
{
  g_autofree char *canonical = json_print_canonical (patch);
  uint64_t version = version_log_find (store->log, command->patch_id);
  if (version != 0)
    {
      compare_repeated_command (store, command, canonical, version, result);
      return false;
    }
  if (!has_current_base (store, command, patch))
    {
      result->outcome = VERSION_STALE;
      return false;
    }
  const char *replacement = command->replaces_document ? canonical : NULL;
  candidate->doc = make_document (store, patch, replacement, command->schema, result);
  if (candidate->doc == NULL)
    return false;
  if (command->base == VERSION_BASE_BY_LABEL
      && config_doc_label (candidate->doc) <= config_doc_label (store->doc))
    {
      g_clear_pointer (&candidate->doc, config_doc_unref);
      return set_invalid (result, "$.label: must be above the label of the current version");
    }
  g_autofree char *merge_patch = command->replaces_document ? make_patch (store, patch) : NULL;
  candidate->record
      = make_record (store, command, merge_patch != NULL ? merge_patch : canonical, candidate->doc);
  candidate->seal = version_record_make_seal (candidate->record, &store->digest);
  candidate->record->digest = version_seal_compute_digest (&candidate->seal);
  result->outcome = VERSION_ACCEPTED;
  result->version = candidate->record->version;
  result->digest = candidate->record->digest;
  return true;
}

static bool
evaluate_command (version_store_t *store, const version_command_t *command, candidate_t *candidate,
                  version_result_t *result)
{
  memset (result, 0, sizeof (*result));
  result->current = version_store_current_version (store);
  if (!check_fields (command, result))
    return false;
  cJSON *patch = parse_patch (command, result);
  if (patch == NULL)
    return false;
  bool acceptable = check_command (store, command, patch, candidate, result);
  cJSON_Delete (patch);
  return acceptable;
}

void
version_store_apply (version_store_t *store, const version_command_t *command,
                     version_result_t *result)
{
  candidate_t candidate = { .record = NULL };
  if (!evaluate_command (store, command, &candidate, result))
    return;
  config_doc_unref (store->doc);
  store->doc = candidate.doc;
  store->seal = candidate.seal;
  store->digest = candidate.record->digest;
  version_log_append (store->log, candidate.record, config_doc_text (store->doc));
  result->current = result->version;
}

void
version_store_preview (version_store_t *store, const version_command_t *command,
                       version_result_t *result)
{
  candidate_t candidate = { .record = NULL };
  if (!evaluate_command (store, command, &candidate, result))
    return;
  config_doc_unref (candidate.doc);
  version_record_free (candidate.record);
}

uint64_t
version_store_find (const version_store_t *store, const char *patch_id)
{
  return version_log_find (store->log, patch_id);
}

uint64_t
version_store_current_version (const version_store_t *store)
{
  return store->seal.version;
}

version_seal_t
version_store_seal (const version_store_t *store)
{
  return store->seal;
}

version_digest_t
version_store_digest (const version_store_t *store)
{
  return store->digest;
}

config_doc_t *
version_store_doc (const version_store_t *store)
{
  return store->doc;
}

const version_record_t *
version_store_record (version_store_t *store, uint64_t version)
{
  return version_log_get (store->log, version);
}

GBytes *
version_store_rebuild_document (version_store_t *store, uint64_t version, anv_error_t *err)
{
  if (version == version_store_current_version (store))
    return g_bytes_ref (config_doc_text (store->doc));
  return version_log_document (store->log, version, err);
}

GBytes *
version_store_save (version_store_t *store)
{
  wire_writer_t writer;
  gsize size = 0;
  const void *data = g_bytes_get_data (config_doc_text (store->doc), &size);
  GBytes *compressed = deflate_compress (data, size);

  wire_writer_init (&writer, WIRE_CONFIG_SNAPSHOT, SNAPSHOT_FIELD_COUNT);
  version_log_write (store->log, &writer);
  data = g_bytes_get_data (compressed, &size);
  wire_write_bytes (&writer, data, size);
  g_bytes_unref (compressed);
  return version_writer_finish (&writer);
}

/* Makes TEXT the current document if it is valid and matches the last record. Without a record
 * (version 0), there is no digest to compare. */
static bool
restore_document (version_store_t *store, GBytes *text, anv_error_t *err)
{
  uint64_t version = version_log_count (store->log);
  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);
  version_digest_t digest = version_compute_text_digest (data, size);
  const version_record_t *record = version_log_get (store->log, version);
  if (record != NULL && !version_digest_equal (&digest, &record->document_digest))
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST,
                     "version %" G_GUINT64_FORMAT ": the document does not match its digest",
                     version);
      return false;
    }
  config_doc_unref (store->doc);
  store->doc = config_doc_new (text, record != NULL ? record->schema : CONFIG_SCHEMA, err);
  if (store->doc == NULL)
    {
      anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "version %" G_GUINT64_FORMAT,
                      version);
      return false;
    }
  if (record == NULL)
    return true;

  version_digest_t previous = { { 0 } };
  version_digest_t last = record->digest;
  version_record_t *copy = version_record_copy (record);
  if (version > 1)
    previous = version_log_get (store->log, version - 1)->digest;
  store->seal = version_record_make_seal (copy, &previous);
  store->digest = last;
  version_record_free (copy);
  return true;
}

static bool
restore_fields (version_store_t *store, wire_reader_t *reader, anv_error_t *err)
{
  version_log_t *log = version_log_read (reader, err);
  if (log == NULL)
    return false;
  version_log_free (store->log);
  store->log = log;

  size_t size = 0;
  const uint8_t *data = wire_read_bytes (reader, &size);
  GBytes *text = deflate_decompress (data, size, CONFIG_MAX_TEXT_SIZE);
  if (text == NULL)
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                     "the current document cannot be decompressed");
      return false;
    }
  bool ok = restore_document (store, text, err);
  g_bytes_unref (text);
  return ok && wire_reader_finish (reader, err);
}

version_store_t *
version_store_restore (const uint8_t *data, size_t size, anv_error_t *err)
{
  wire_reader_t reader;
  wire_type_t type;
  if (!wire_reader_init (&reader, data, size, &type, err))
    {
      anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "malformed snapshot");
      return NULL;
    }
  version_store_t *store = version_store_new ();
  bool ok = type == WIRE_CONFIG_SNAPSHOT;
  if (!ok)
    anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT, "not a snapshot of the store");
  ok = ok && restore_fields (store, &reader, err);
  wire_reader_destroy (&reader);
  if (ok)
    return store;
  version_store_free (store);
  return NULL;
}

size_t
version_store_memory_bytes (const version_store_t *store)
{
  return sizeof (*store) + version_log_memory_bytes (store->log)
         + g_bytes_get_size (config_doc_text (store->doc)) + config_doc_memory_bytes (store->doc);
}
