#include "history.h"

#include <string.h>

#include "config_patch.h"
#include "history_change.h"
#include "history_setting.h"
#include "text_page.h"

/* Lines of a page. A4 and US Letter hold 60 with margins, at six lines an inch. */
#define PAGE_LINE_COUNT 60

typedef struct
{
  const history_t *history;
  uint64_t start_version; /* version in force at the start of the month */
  uint64_t end_version;   /* version in force at the end of the month */
  int64_t start_ms;       /* Unix time of the start of the month */
  int64_t end_ms;         /* Unix time of the start of the next month */
  text_page_t page;
} report_t;

static bool
get_month_range (int year, int month, int64_t *start_ms, int64_t *end_ms, anv_error_t *err)
{
  g_autoptr (GDateTime) start = g_date_time_new_utc (year, month, 1, 0, 0, 0);
  if (start == NULL)
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_MISSING, "there is no month %d-%02d",
                     year, month);
      return false;
    }
  g_autoptr (GDateTime) end = g_date_time_add_months (start, 1);
  *start_ms = g_date_time_to_unix (start) * 1000;
  *end_ms = g_date_time_to_unix (end) * 1000;
  return true;
}

static void
add_digest (report_t *report, const char *name, uint64_t version)
{
  char hex[VERSION_HEX_SIZE];
  const version_record_t *record = history_get_record (report->history, version);
  text_page_add_paragraph (&report->page, 2, "%s: version %" G_GUINT64_FORMAT "%s", name, version,
                           record != NULL ? ", digest" : " (empty)");
  if (record != NULL)
    text_page_add_paragraph (&report->page, 4, "%s", version_digest_hex (&record->digest, hex));
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
add_operators (report_t *report)
{
  g_autoptr (GHashTable) counts = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  for (uint64_t version = report->start_version + 1; version <= report->end_version; version++)
    {
      char *name = history_get_record (report->history, version)->operator_name;
      size_t count = GPOINTER_TO_SIZE (g_hash_table_lookup (counts, name));
      if (count == 0)
        g_ptr_array_add (names, name);
      g_hash_table_insert (counts, name, GSIZE_TO_POINTER (count + 1));
    }
  g_ptr_array_sort (names, compare_names);
  for (guint i = 0; i < names->len; i++)
    text_page_add_paragraph (
        &report->page, 4, "%s: %zu", (const char *)g_ptr_array_index (names, i),
        GPOINTER_TO_SIZE (g_hash_table_lookup (counts, g_ptr_array_index (names, i))));
}

static void
add_summary (report_t *report)
{
  g_autofree char *start = history_format_time (report->start_ms);
  g_autofree char *end = history_format_time (report->end_ms);
  text_page_add_paragraph (&report->page, 0, "Summary");
  text_page_add_blank_line (&report->page);
  text_page_add_paragraph (&report->page, 2, "from %s until before %s", start, end);
  add_digest (report, "in force at the start", report->start_version);
  add_digest (report, "in force at the end", report->end_version);
  text_page_add_paragraph (&report->page, 2, "changes: %" G_GUINT64_FORMAT,
                           report->end_version - report->start_version);
  add_operators (report);
}

static void
add_change (report_t *report, uint64_t version, const cJSON *from, const cJSON *to)
{
  const version_record_t *record = history_get_record (report->history, version);
  const version_record_t *previous = history_get_record (report->history, version - 1);
  text_page_add_blank_line (&report->page);
  text_page_add_paragraph (&report->page, 2, "Version %" G_GUINT64_FORMAT, version);
  history_add_record (&report->page, 4, record);
  if (previous != NULL && record->wall_ms < previous->wall_ms)
    text_page_add_paragraph (&report->page, 4, "The time is before that of the previous version.");
  history_add_changes (&report->page, 4, from, to);
}

/* Returns the document of VERSION. DOCUMENT is that of the version before. */
static cJSON *
build_next_document (const report_t *report, uint64_t version, const cJSON *document,
                     anv_error_t *err)
{
  const version_record_t *record = history_get_record (report->history, version);
  cJSON *patch = json_parse (record->patch, strlen (record->patch), NULL);
  if (patch == NULL)
    {
      anv_error_set (err, ANV_ERROR_VERSION, VERSION_ERROR_FORMAT,
                     "version %" G_GUINT64_FORMAT ": the patch is not JSON", version);
      return NULL;
    }
  cJSON *next = config_patch_apply (cJSON_Duplicate (document, true), patch);
  cJSON_Delete (patch);
  return next;
}

static bool
add_all_changes (report_t *report, anv_error_t *err)
{
  text_page_add_blank_line (&report->page);
  text_page_add_paragraph (&report->page, 0, "Changes (+ added, - removed, * changed)");
  cJSON *document = history_rebuild_document (report->history, report->start_version, err);
  for (uint64_t version = report->start_version + 1;
       document != NULL && version <= report->end_version; version++)
    {
      cJSON *next = build_next_document (report, version, document, err);
      if (next != NULL)
        add_change (report, version, document, next);
      cJSON_Delete (document);
      document = next;
    }
  bool ok = document != NULL;
  cJSON_Delete (document);
  return ok;
}

static void
add_routes (report_t *report, const config_doc_t *doc)
{
  for (size_t i = 0; i < config_doc_route_count (doc); i++)
    {
      const config_route_t *route = config_doc_route (doc, i);
      text_page_add_blank_line (&report->page);
      text_page_add_paragraph (&report->page, 2, "Route %s of service %s", route->id,
                               config_doc_service (doc, route->service)->name);
      history_add_route (&report->page, 4, route);
    }
}

static void
add_teams (report_t *report, const config_doc_t *doc)
{
  text_page_add_blank_line (&report->page);
  text_page_add_paragraph (&report->page, 2, "Limit of teams that are not listed");
  history_add_limit (&report->page, 4, config_doc_team_default (doc));
  for (size_t i = 0; i < config_doc_team_count (doc); i++)
    {
      const char *name = NULL;
      size_t size = 0;
      const config_limit_t *limit = config_doc_team_limit_at (doc, i, &name, &size);
      text_page_add_paragraph (&report->page, 2, "Limit of team %.*s", (int)size, name);
      history_add_limit (&report->page, 4, limit);
    }
}

static bool
add_configuration (report_t *report, anv_error_t *err)
{
  const version_record_t *record = history_get_record (report->history, report->end_version);
  cJSON *document = history_rebuild_document (report->history, report->end_version, err);
  if (document == NULL)
    return false;
  g_autofree char *text = json_print_canonical (document);
  cJSON_Delete (document);
  config_doc_t *doc = config_doc_parse (text, strlen (text),
                                        record != NULL ? record->schema : CONFIG_SCHEMA, err);
  if (doc == NULL)
    return false;
  text_page_add_blank_line (&report->page);
  text_page_add_paragraph (&report->page, 0, "Configuration in force at the end");
  for (size_t i = 0; i < config_doc_service_count (doc); i++)
    {
      text_page_add_blank_line (&report->page);
      text_page_add_paragraph (&report->page, 2, "Service %s", config_doc_service (doc, i)->name);
      history_add_service (&report->page, 4, config_doc_service (doc, i));
    }
  add_routes (report, doc);
  add_teams (report, doc);
  config_doc_unref (doc);
  return true;
}

static char *
paginate_report (const report_t *report, int year, int month)
{
  char hex[VERSION_HEX_SIZE] = "none";
  const version_record_t *record = history_get_record (report->history, report->end_version);
  if (record != NULL)
    version_digest_hex (&record->digest, hex);
  g_autofree char *title
      = g_strdup_printf ("anvillb configuration record %04d-%02d, version %" G_GUINT64_FORMAT, year,
                         month, report->end_version);
  g_autofree char *subtitle = g_strdup_printf ("digest %s", hex);
  return text_page_paginate (&report->page, title, subtitle, PAGE_LINE_COUNT);
}

char *
history_report (const history_t *history, int year, int month, anv_error_t *err)
{
  report_t report = { .history = history };
  if (!get_month_range (year, month, &report.start_ms, &report.end_ms, err))
    return NULL;
  report.start_version = history_version_at (history, report.start_ms - 1);
  report.end_version = history_version_at (history, report.end_ms - 1);
  text_page_init (&report.page, HISTORY_WIDTH);
  add_summary (&report);
  char *text = NULL;
  if (add_all_changes (&report, err) && add_configuration (&report, err))
    text = paginate_report (&report, year, month);
  text_page_destroy (&report.page);
  return text;
}
