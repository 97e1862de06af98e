#include "ctl_client.h"

#include <string.h>

#include "version_codec.h"

#define MIN_STATUS 100
#define MAX_STATUS 599

bool
ctl_client_init (ctl_client_t *client, const ctl_client_options_t *options, anv_error_t *err)
{
  g_autofree char *token = NULL;
  g_autoptr (GError) error = NULL;
  memset (client, 0, sizeof (*client));
  client->options = *options;
  if (!g_file_get_contents (options->token_file, &token, NULL, &error))
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_TOKEN, "cannot read the token: %s",
                     error->message);
      return false;
    }
  g_strstrip (token);
  client->authorization = g_strdup_printf ("Bearer %s", token);
  client->session = soup_session_new ();
  soup_session_set_timeout (client->session, (guint)options->timeout_s);
  if (options->tls_ca == NULL)
    return true;

  g_autoptr (GTlsDatabase) database = g_tls_file_database_new (options->tls_ca, &error);
  if (database == NULL)
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_TOKEN, "cannot read the certificates: %s",
                     error->message);
      ctl_client_destroy (client);
      return false;
    }
  soup_session_set_tls_database (client->session, database);
  return true;
}

void
ctl_client_destroy (ctl_client_t *client)
{
  g_clear_object (&client->session);
  g_clear_pointer (&client->authorization, g_free);
}

/* Returns whether the response has a valid status and a Content-Length, as control instances send
 * it. libsoup takes a lost connection for the end of a body without a length, also between two
 * chunks. */
static bool
is_complete_response (SoupMessage *message)
{
  SoupMessageHeaders *headers = soup_message_get_response_headers (message);
  guint status = soup_message_get_status (message);
  const char *reason = soup_message_get_reason_phrase (message);
  /* libsoup reads three digits of the status; further ones begin the reason. */
  bool has_further_digits = reason != NULL && g_ascii_isdigit (reason[0]);
  return status >= MIN_STATUS && status <= MAX_STATUS && !has_further_digits
         && soup_message_headers_get_encoding (headers) == SOUP_ENCODING_CONTENT_LENGTH;
}

/* Makes one call without following redirects. Returns NULL if there is no complete response. */
static GBytes *
call_once (ctl_client_t *client, const char *method, const char *url, const char *body,
           unsigned *status, char **location, anv_error_t *err)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (SoupMessage) message = soup_message_new (method, url);
  if (message == NULL)
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_CALL, "\"%s\" is not a URL", url);
      return NULL;
    }
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  soup_message_headers_replace (soup_message_get_request_headers (message), "Authorization",
                                client->authorization);
  if (body != NULL)
    {
      g_autoptr (GBytes) bytes = g_bytes_new (body, strlen (body));
      soup_message_set_request_body_from_bytes (message, "application/json", bytes);
    }
  GBytes *response = soup_session_send_and_read (client->session, message, NULL, &error);
  if (response == NULL)
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_CALL, "%s: %s", url, error->message);
      return NULL;
    }
  if (!is_complete_response (message))
    {
      anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_CALL, "%s: malformed or incomplete response",
                     url);
      g_bytes_unref (response);
      return NULL;
    }
  SoupMessageHeaders *headers = soup_message_get_response_headers (message);
  *status = soup_message_get_status (message);
  *location = g_strdup (soup_message_headers_get_one (headers, "Location"));
  return response;
}

/* Calls SERVER and follows redirects. */
static GBytes *
call_with_redirects (ctl_client_t *client, const char *server, const char *method, const char *path,
                     const char *body, unsigned *status, anv_error_t *err)
{
  g_autofree char *url = g_strconcat (server, path, NULL);
  for (int redirects = 0; redirects <= CTL_MAX_REDIRECTS; redirects++)
    {
      g_autofree char *location = NULL;
      GBytes *response = call_once (client, method, url, body, status, &location, err);
      if (response == NULL || *status != SOUP_STATUS_TEMPORARY_REDIRECT || location == NULL)
        return response;
      g_bytes_unref (response);
      /* A redirect must not move a call from TLS to plain text: it carries the token. */
      if (g_str_has_prefix (url, "https:") && !g_str_has_prefix (location, "https:"))
        break;
      g_free (url);
      url = g_steal_pointer (&location);
    }
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_CALL,
                 "%s: too many redirects, or a redirect from TLS to plain text", server);
  return NULL;
}

cJSON *
ctl_client_call_server (ctl_client_t *client, const char *server, const char *method,
                        const char *path, const char *body, unsigned *status, anv_error_t *err)
{
  gsize size = 0;
  GBytes *response = call_with_redirects (client, server, method, path, body, status, err);
  if (response == NULL)
    return NULL;
  const char *data = g_bytes_get_data (response, &size);
  cJSON *json = json_parse (size > 0 ? data : "", size, NULL);
  g_bytes_unref (response);
  if (cJSON_IsObject (json) && *status != SOUP_STATUS_SERVICE_UNAVAILABLE)
    return json;
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_RESPONSE, "%s answered %u: %s", server, *status,
                 json_get_string (json, "error", "not a JSON object"));
  cJSON_Delete (json);
  return NULL;
}

cJSON *
ctl_client_call (ctl_client_t *client, const char *method, const char *path, const char *body,
                 unsigned *status, anv_error_t *err)
{
  const GPtrArray *servers = client->options.servers;
  for (guint call = 0; call < CTL_MAX_CALLS; call++)
    {
      const char *server = g_ptr_array_index (servers, call % servers->len);
      if (call > 0)
        g_usleep ((gulong)client->options.retry_delay_ms * 1000);
      cJSON *response = ctl_client_call_server (client, server, method, path, body, status, err);
      if (response != NULL)
        return response;
    }
  anv_error_wrap (err, ANV_ERROR_CTL, CTL_ERROR_CALL, "no response after %d calls", CTL_MAX_CALLS);
  return NULL;
}

cJSON *
ctl_client_get (ctl_client_t *client, const char *path, anv_error_t *err)
{
  unsigned status = 0;
  cJSON *response = ctl_client_call (client, "GET", path, NULL, &status, err);
  if (response == NULL || status == SOUP_STATUS_OK)
    return response;
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_RESPONSE, "%s: status %u: %s", path, status,
                 json_get_string (response, "error", ""));
  cJSON_Delete (response);
  return NULL;
}

static void
free_record (void *record)
{
  version_record_free (record);
}

/* Adds the records of one response. Returns the next version to request, 0 at the end, or -1 with
 * an error. */
static int64_t
add_records (GPtrArray *records, const cJSON *response, anv_error_t *err)
{
  int64_t next = 0;
  const cJSON *item = NULL;
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (response, "records");
  cJSON_ArrayForEach (item, list)
  {
    version_record_t *record = version_record_from_json (item, err);
    if (record == NULL)
      {
        anv_error_wrap (err, ANV_ERROR_CTL, CTL_ERROR_RESPONSE, "record %u", records->len + 1);
        return -1;
      }
    g_ptr_array_add (records, record);
  }
  bool ok = json_read_exact_integer (cJSON_GetObjectItemCaseSensitive (response, "next"), &next);
  if (ok && (next == 0 || next == (int64_t)records->len + 1))
    return next;
  anv_error_set (err, ANV_ERROR_CTL, CTL_ERROR_RESPONSE, "the response skips records");
  return -1;
}

GPtrArray *
ctl_client_fetch_records (ctl_client_t *client, anv_error_t *err)
{
  GPtrArray *records = g_ptr_array_new_with_free_func (free_record);
  int64_t next = 1;
  while (next > 0)
    {
      g_autofree char *path = g_strdup_printf ("/v1/records?from=%" G_GINT64_FORMAT, next);
      cJSON *response = ctl_client_get (client, path, err);
      next = response != NULL ? add_records (records, response, err) : -1;
      cJSON_Delete (response);
    }
  if (next == 0)
    return records;
  g_ptr_array_free (records, TRUE);
  return NULL;
}
