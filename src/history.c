#include "history.h"

#include <stdio.h>
#include <string.h>

#include "config_doc.h"
#include "config_patch.h"
#include "history_change.h"
#include "text_page.h"

const version_record_t *
history_get_record (const history_t *history, uint64_t version)
{
  if (version == 0 || version > history->count)
    return NULL;
  return history->records[version - 1];
}

uint64_t
history_version_at (const history_t *history, int64_t wall_ms)
{
  uint64_t version = history->count;
  while (version > 0 && history->records[version - 1]->wall_ms > wall_ms)
    version--;
  return version;
}

static bool
set_missing_error (uint64_t version, anv_error_t *err)
{
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_MISSING,
                 "there is no version %" G_GUINT64_FORMAT, version);
  return false;
}

static bool
check_range (const history_t *history, uint64_t from, uint64_t to, anv_error_t *err)
{
  if (from > history->count)
    return set_missing_error (from, err);
  if (to > history->count)
    return set_missing_error (to, err);
  return true;
}

static cJSON *
apply_record (cJSON *document, const version_record_t *record, anv_error_t *err)
{
  cJSON *patch = json_parse (record->patch, strlen (record->patch), NULL);
  if (patch == NULL)
    {
      cJSON_Delete (document);
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                     "version %" G_GUINT64_FORMAT ": the patch is not JSON", record->version);
      return NULL;
    }
  document = config_patch_apply (document, patch);
  cJSON_Delete (patch);
  return document;
}

static bool
check_document (const cJSON *document, const version_record_t *record, anv_error_t *err)
{
  g_autofree char *text = json_print_canonical (document);
  version_digest_t digest = version_compute_text_digest (text, strlen (text));
  if (version_digest_equal (&digest, &record->document_digest))
    return true;
  anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_DIGEST,
                 "version %" G_GUINT64_FORMAT ": the document does not match its digest",
                 record->version);
  return false;
}

cJSON *
history_rebuild_document (const history_t *history, uint64_t version, anv_error_t *err)
{
  if (!check_range (history, 0, version, err))
    return NULL;
  cJSON *document = cJSON_CreateObject ();
  for (uint64_t i = 0; i < version; i++)
    {
      document = apply_record (document, history->records[i], err);
      if (document == NULL)
        return NULL;
    }
  if (version == 0 || check_document (document, history->records[version - 1], err))
    return document;
  cJSON_Delete (document);
  return NULL;
}

bool
history_parse_time (const char *text, int64_t *wall_ms)
{
  int field[6] = { 0 };
  int date_length = 0;
  int count = sscanf (text, "%4d-%2d-%2d%n", &field[0], &field[1], &field[2], &date_length);
  if (count != 3)
    return false;
  if (text[date_length] != '\0')
    {
      int time_length = 0;
      count = sscanf (text + date_length, "T%2d:%2d:%2dZ%n", &field[3], &field[4], &field[5],
                      &time_length);
      if (count != 3 || time_length == 0 || text[date_length + time_length] != '\0')
        return false;
    }
  g_autoptr (GDateTime) time
      = g_date_time_new_utc (field[0], field[1], field[2], field[3], field[4], field[5]);
  if (time == NULL)
    return false;
  *wall_ms = g_date_time_to_unix (time) * 1000;
  return true;
}

char *
history_format_time (int64_t wall_ms)
{
  int64_t seconds = wall_ms / 1000 - (wall_ms % 1000 < 0);
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (seconds);
  if (time == NULL)
    return g_strdup_printf ("%" G_GINT64_FORMAT " ms", wall_ms);
  return g_date_time_format (time, "%Y-%m-%d %H:%M:%S UTC");
}

char *
history_list (const history_t *history, uint64_t from, uint64_t to, anv_error_t *err)
{
  text_page_t page;
  if (!check_range (history, from, to, err))
    return NULL;
  text_page_init (&page, HISTORY_WIDTH);
  for (uint64_t version = MAX (from, 1); version <= to; version++)
    {
      const version_record_t *record = history_get_record (history, version);
      g_autofree char *time = history_format_time (record->wall_ms);
      text_page_add_paragraph (&page, 0, "%6" G_GUINT64_FORMAT "  %s  %s  %s  %s", version, time,
                               record->operator_name, record->patch_id, record->reason);
    }
  char *text = text_page_to_text (&page);
  text_page_destroy (&page);
  return text;
}

/* Adds VALUE on several lines, each level indented by two more characters. */
static void
add_json (text_page_t *page, size_t indent, const char *prefix, const cJSON *value,
          const char *suffix)
{
  if (value->child == NULL)
    {
      g_autofree char *text = json_print_canonical (value);
      text_page_add_paragraph (page, indent, "%s%s%s", prefix, text, suffix);
      return;
    }
  bool is_object = cJSON_IsObject (value);
  const cJSON *child = NULL;
  text_page_add_paragraph (page, indent, "%s%s", prefix, is_object ? "{" : "[");
  cJSON_ArrayForEach (child, value)
  {
    g_autofree char *key = is_object ? history_quote (child->string) : NULL;
    g_autofree char *label = is_object ? g_strdup_printf ("%s: ", key) : g_strdup ("");
    add_json (page, indent + 2, label, child, child->next != NULL ? "," : "");
  }
  text_page_add_paragraph (page, indent, "%s%s", is_object ? "}" : "]", suffix);
}

void
history_add_record (text_page_t *page, size_t indent, const version_record_t *record)
{
  char hex[VERSION_HEX_SIZE];
  g_autofree char *time = history_format_time (record->wall_ms);
  text_page_add_paragraph (page, indent, "made      %s by %s", time, record->operator_name);
  text_page_add_paragraph (page, indent, "reason    %s", record->reason);
  text_page_add_paragraph (page, indent, "patch id  %s", record->patch_id);
  text_page_add_paragraph (page, indent, "schema    %u", record->schema);
  text_page_add_paragraph (page, indent, "document  %s",
                           version_digest_hex (&record->document_digest, hex));
  text_page_add_paragraph (page, indent, "digest    %s", version_digest_hex (&record->digest, hex));
}

char *
history_show (const history_t *history, uint64_t version, anv_error_t *err)
{
  text_page_t page;
  cJSON *document = history_rebuild_document (history, version, err);
  if (document == NULL)
    return NULL;

  const version_record_t *record = history_get_record (history, version);
  text_page_init (&page, HISTORY_WIDTH);
  text_page_add_paragraph (&page, 0, "version %" G_GUINT64_FORMAT, version);
  if (record != NULL)
    {
      cJSON *patch = json_parse (record->patch, strlen (record->patch), NULL);
      history_add_record (&page, 2, record);
      text_page_add_blank_line (&page);
      add_json (&page, 0, "patch ", patch, "");
      cJSON_Delete (patch);
    }
  text_page_add_blank_line (&page);
  add_json (&page, 0, "document ", document, "");
  char *text = text_page_to_text (&page);
  text_page_destroy (&page);
  cJSON_Delete (document);
  return text;
}

char *
history_diff (const history_t *history, uint64_t from, uint64_t to, anv_error_t *err)
{
  text_page_t page;
  cJSON *left = history_rebuild_document (history, from, err);
  if (left == NULL)
    return NULL;
  cJSON *right = history_rebuild_document (history, to, err);
  if (right == NULL)
    {
      cJSON_Delete (left);
      return NULL;
    }
  text_page_init (&page, HISTORY_WIDTH);
  text_page_add_paragraph (&page, 0, "version %" G_GUINT64_FORMAT " to version %" G_GUINT64_FORMAT,
                           from, to);
  history_add_changes (&page, 2, left, right);
  char *text = text_page_to_text (&page);
  text_page_destroy (&page);
  cJSON_Delete (left);
  cJSON_Delete (right);
  return text;
}
