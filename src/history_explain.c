#include "history.h"

#include <string.h>

#include "history_setting.h"
#include "route_table.h"
#include "text_page.h"

static void
explain_version (text_page_t *page, const history_t *history, uint64_t version,
                 const history_query_t *query)
{
  char hex[VERSION_HEX_SIZE];
  const version_record_t *record = history_get_record (history, version);
  text_page_add_paragraph (page, 0, "%s %s%s, %s%s", query->method, query->host,
                           query->request_target, query->team != NULL ? "team " : "without a team",
                           query->team != NULL ? query->team : "");
  text_page_add_paragraph (page, 0, "at version %" G_GUINT64_FORMAT, version);
  if (record == NULL)
    return;
  g_autofree char *time = history_format_time (record->wall_ms);
  text_page_add_paragraph (page, 2, "made %s by %s: %s", time, record->operator_name,
                           record->reason);
  text_page_add_paragraph (page, 2, "digest %s", version_digest_hex (&record->digest, hex));
}

static void
explain_refusal (text_page_t *page, route_result_t result)
{
  text_page_add_blank_line (page);
  text_page_add_paragraph (page, 0, "The request is refused: %s.", route_result_text (result));
}

static void
explain_team (text_page_t *page, const config_doc_t *doc, const char *team)
{
  text_page_add_blank_line (page);
  if (team != NULL && config_doc_has_team (doc, team))
    text_page_add_paragraph (page, 0, "Limit of team %s, which is listed in \"teams\":", team);
  else if (team != NULL)
    text_page_add_paragraph (page, 0,
                             "Limit of team %s, which is not listed (\"team_default\"):", team);
  else
    text_page_add_paragraph (page, 0, "Limit of a caller without a team (\"team_default\"):");
  history_add_limit (page, 2, config_doc_find_team_limit (doc, team));
}

static void
explain_request (text_page_t *page, config_doc_t *doc, const history_query_t *query)
{
  route_match_t match;
  route_table_t *table = route_table_new (doc, NULL);
  route_result_t result
      = route_table_lookup (table, query->method, query->host, query->request_target, &match);
  if (match.service != NULL)
    {
      text_page_add_blank_line (page);
      text_page_add_paragraph (page, 0, "Service %s, which lists the host:", match.service->name);
      history_add_service (page, 2, match.service);
    }
  if (result == ROUTE_FOUND)
    {
      text_page_add_blank_line (page);
      text_page_add_paragraph (
          page, 0,
          "Route %s, which has the longest prefix of the path with the method:", match.route->id);
      history_add_route (page, 2, match.route);
      explain_team (page, doc, query->team);
    }
  else
    explain_refusal (page, result);
  route_table_free (table);
}

char *
history_explain (const history_t *history, uint64_t version, const history_query_t *query,
                 anv_error_t *err)
{
  text_page_t page;
  cJSON *document = history_rebuild_document (history, version, err);
  if (document == NULL)
    return NULL;
  g_autofree char *text = json_print_canonical (document);
  cJSON_Delete (document);
  const version_record_t *record = history_get_record (history, version);
  config_doc_t *doc = config_doc_parse (text, strlen (text),
                                        record != NULL ? record->schema : CONFIG_SCHEMA, err);
  if (doc == NULL)
    return NULL;

  text_page_init (&page, HISTORY_WIDTH);
  explain_version (&page, history, version, query);
  explain_request (&page, doc, query);
  char *result = text_page_to_text (&page);
  text_page_destroy (&page);
  config_doc_unref (doc);
  return result;
}
