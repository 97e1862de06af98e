#include "history.h"

#include <string.h>

#include "config_doc.h"
#include "config_patch.h"
#include "text_page.h"

/* The state after the last verified version. */
typedef struct
{
  GBytes *text;
  config_doc_t *doc; /* NULL at version 0 */
  version_digest_t digest;
} verify_state_t;

static bool
set_version_error (const version_record_t *record, const char *rule, anv_error_t *err)
{
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST, "version %" G_GUINT64_FORMAT ": %s",
                 record->version, rule);
  return false;
}

static GBytes *
apply_patch (GBytes *text, const version_record_t *record)
{
  json_slice_t base = { .data = NULL };
  base.data = g_bytes_get_data (text, &base.size);
  cJSON *patch = json_parse (record->patch, strlen (record->patch), NULL);
  if (patch == NULL)
    return NULL;
  GString *out = g_string_sized_new (base.size + 256);
  bool ok = config_patch_apply_text (base, patch, out);
  cJSON_Delete (patch);
  gsize size = out->len;
  GBytes *result = g_bytes_new_take (g_string_free (out, FALSE), size);
  if (ok)
    return result;
  g_bytes_unref (result);
  return NULL;
}

static bool
verify_document (verify_state_t *state, const version_record_t *record, anv_error_t *err)
{
  GBytes *text = apply_patch (state->text, record);
  if (text == NULL)
    return set_version_error (record, "the patch cannot be applied", err);
  g_bytes_unref (state->text);
  state->text = text;

  gsize size = 0;
  const char *data = g_bytes_get_data (text, &size);
  version_digest_t digest = version_compute_text_digest (data, size);
  if (!version_digest_equal (&digest, &record->document_digest))
    return set_version_error (record, "the document does not match its digest", err);
  config_doc_t *doc = config_doc_new_after (state->doc, text, record->schema, err);
  if (doc != NULL)
    {
      config_doc_unref (state->doc);
      state->doc = doc;
      return true;
    }
  anv_error_wrap (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                  "version %" G_GUINT64_FORMAT ": the document breaks a rule", record->version);
  return false;
}

static bool
verify_version (verify_state_t *state, const version_record_t *record, uint64_t number,
                uint64_t printed_version, const version_digest_t *printed_digest, anv_error_t *err)
{
  if (!version_record_verify (record, number, &state->digest, err)
      || !verify_document (state, record, err))
    return false;
  if (printed_digest != NULL && number == printed_version
      && !version_digest_equal (printed_digest, &record->digest))
    return set_version_error (record, "the digest differs from the printed one", err);
  state->digest = record->digest;
  return true;
}

static char *
format_verify_result (const history_t *history, const verify_state_t *state,
                      uint64_t first_bad_version, const anv_error_t *err)
{
  char hex[VERSION_HEX_SIZE];
  text_page_t page;
  text_page_init (&page, HISTORY_WIDTH);
  if (first_bad_version == 0)
    {
      text_page_add_paragraph (&page, 0, "verified: %zu versions", history->count);
      text_page_add_paragraph (&page, 0, "digest of version %zu:", history->count);
      text_page_add_paragraph (&page, 2, "%s", version_digest_hex (&state->digest, hex));
    }
  else
    {
      text_page_add_paragraph (&page, 0, "first bad version: %" G_GUINT64_FORMAT,
                               first_bad_version);
      text_page_add_paragraph (&page, 2, "%s", err->text);
      text_page_add_paragraph (&page, 0, "verified before it: %" G_GUINT64_FORMAT " versions",
                               first_bad_version - 1);
    }
  char *text = text_page_to_text (&page);
  text_page_destroy (&page);
  return text;
}

history_verify_result_t
history_verify (const history_t *history, uint64_t printed_version,
                const version_digest_t *printed_digest)
{
  anv_error_t err = { .domain = ANV_ERROR_NONE };
  history_verify_result_t result = { 0, NULL };
  verify_state_t state = { g_bytes_new_static ("{}", 2), NULL, { { 0 } } };
  for (uint64_t number = 1; number <= history->count && result.first_bad_version == 0; number++)
    {
      if (!verify_version (&state, history->records[number - 1], number, printed_version,
                           printed_digest, &err))
        result.first_bad_version = number;
    }
  if (result.first_bad_version == 0 && printed_digest != NULL && printed_version > history->count)
    {
      result.first_bad_version = history->count + 1;
      anv_error_set (&err, ANV_ERROR_VERSION, VERSION_ERROR_MISSING,
                     "version %" G_GUINT64_FORMAT " was printed, but the history ends before it",
                     printed_version);
    }
  result.text = format_verify_result (history, &state, result.first_bad_version, &err);
  g_bytes_unref (state.text);
  config_doc_unref (state.doc);
  return result;
}
