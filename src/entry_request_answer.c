#include "entry_request.h"

#include <string.h>

#include "entry_announce.h"

#define ANNOUNCE_PATH "/.anvillb/v1/announce"
#define RESOLVE_PATH "/.anvillb/v1/resolve"
#define CONTENT_TYPE_TEXT "text/plain"
#define CONTENT_TYPE_JSON "application/json"

static void
respond (entry_request_t *r, int status, const http_headers_t *headers, const char *body,
         size_t size, bool reports_outcome)
{
  request_response_t response = {
    .status = status,
    .headers = headers,
    .body = body,
    .body_size = size,
    .reports_outcome = reports_outcome,
  };
  r->state = ENTRY_REQUEST_ENDED;
  proxy_request_respond (r->request, &response);
}

void
entry_request_refuse (entry_request_t *r, int status, const char *text, int64_t retry_after_s)
{
  http_headers_t headers;
  char seconds[24];

  http_headers_init (&headers);
  http_headers_append (&headers, "Content-Type", CONTENT_TYPE_TEXT);
  if (retry_after_s > 0)
    {
      g_snprintf (seconds, sizeof (seconds), "%" G_GINT64_FORMAT, retry_after_s);
      http_headers_append (&headers, "Retry-After", seconds);
    }
  g_autofree char *body = g_strconcat (text, "\n", NULL);
  respond (r, status, &headers, body, strlen (body), true);
  http_headers_destroy (&headers);
}

void
entry_request_conflict (entry_request_t *r, const char *outcome, const char *text)
{
  http_headers_t headers;
  http_headers_init (&headers);
  http_headers_append (&headers, "Content-Type", CONTENT_TYPE_TEXT);
  http_headers_append (&headers, "Anvillb-Outcome", outcome);
  http_headers_append (&headers, "Retry-After", "1");
  g_autofree char *body = g_strconcat (text, "\n", NULL);
  respond (r, 409, &headers, body, strlen (body), false);
  http_headers_destroy (&headers);
}

void
entry_request_reply_json (entry_request_t *r, int status, cJSON *json)
{
  http_headers_t headers;
  char *text = cJSON_PrintUnformatted (json);
  http_headers_init (&headers);
  http_headers_append (&headers, "Content-Type", CONTENT_TYPE_JSON);
  respond (r, status, &headers, text, strlen (text), false);
  http_headers_destroy (&headers);
  cJSON_free (text);
  cJSON_Delete (json);
}

/* Appends the header fields of a recorded response, which are lines "Name: value\r\n". */
static void
parse_recorded_headers (GBytes *bytes, http_headers_t *headers)
{
  gsize size = 0;
  const char *data = bytes != NULL ? g_bytes_get_data (bytes, &size) : NULL;
  g_autofree char *text = g_strndup (data != NULL ? data : "", size);
  g_auto (GStrv) lines = g_strsplit (text, "\r\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      char *separator = strstr (*line, ": ");
      if (separator == NULL)
        continue;
      *separator = '\0';
      http_headers_append (headers, *line, separator + 2);
    }
}

void
entry_request_replay (entry_request_t *r, const claim_result_t *result)
{
  http_headers_t headers;
  gsize size = 0;
  const char *body = result->body != NULL ? g_bytes_get_data (result->body, &size) : "";

  if (result->status == 0)
    {
      entry_request_conflict (r, "completed",
                              "the request was run; its answer was too large to be kept");
      return;
    }
  http_headers_init (&headers);
  parse_recorded_headers (result->headers, &headers);
  http_headers_append (&headers, "Anvillb-Replayed", "1");
  respond (r, (int)result->status, &headers, body, size, false);
  http_headers_destroy (&headers);
}

static bool
path_is (const request_head_t *head, const char *path)
{
  return head->path_size == strlen (path)
         && strncmp (head->request_target, path, head->path_size) == 0;
}

static void
handle_resolve (entry_request_t *r, const request_head_t *head)
{
  const char *query = strchr (head->request_target, '?');
  g_autoptr (GHashTable) values
      = query != NULL ? g_uri_parse_params (query + 1, -1, "&", 0, NULL) : NULL;
  const char *service = values != NULL ? g_hash_table_lookup (values, "service") : NULL;
  const char *domain = values != NULL ? g_hash_table_lookup (values, "domain") : NULL;
  if (service == NULL)
    {
      entry_request_refuse (r, 400, "parameter service is missing", 0);
      return;
    }
  if (domain == NULL)
    domain = r->core->options.domain;
  entry_request_reply_json (r, 200, entry_announce_resolve (r->core, service, domain));
}

void
entry_request_begin_local (entry_request_t *r, const request_head_t *head)
{
  r->state = ENTRY_REQUEST_LOCAL;
  if (path_is (head, ANNOUNCE_PATH) && strcmp (head->method, "POST") == 0)
    proxy_request_read_body (r->request, MAX_ANNOUNCEMENT_BYTES);
  else if (path_is (head, RESOLVE_PATH) && strcmp (head->method, "GET") == 0)
    handle_resolve (r, head);
  else
    entry_request_refuse (r, 404, "not found", 0);
}

void
entry_request_handle_local_body (entry_request_t *r, const char *body, size_t size)
{
  const char *reason = NULL;
  cJSON *response = entry_announce_handle (r->core, body, size, &reason);
  if (response != NULL)
    entry_request_reply_json (r, 200, response);
  else
    entry_request_refuse (r, 400, reason, 0);
}
