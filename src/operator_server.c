#include "operator_server.h"

#include <string.h>

#define LOG_MODULE "operator_server"
#include "http_codec.h"
#include "log.h"
#include "option.h"

#define BEARER_PREFIX "Bearer "

struct operator_call
{
  SoupServerMessage *message;
};

/* Closes the connection after the response. SoupServer 3.2 keeps the descriptor of a connection
 * that the client closes between two calls. */
static void
set_connection_close (SoupServerMessage *message)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (message);
  soup_message_headers_replace (headers, "Connection", "close");
}

/* Compares without an early exit: the time must not reveal how many characters match. */
static bool
token_matches (const char *expected, const char *given)
{
  size_t expected_size = strlen (expected);
  size_t given_size = strlen (given);
  unsigned char difference = expected_size != given_size;
  for (size_t i = 0; i < expected_size; i++)
    difference |= (unsigned char)(expected[i] ^ given[given_size > 0 ? i % given_size : 0]);
  return difference == 0;
}

static bool
is_authorized (const operator_server_t *server, SoupServerMessage *message)
{
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  const char *value = soup_message_headers_get_one (headers, "Authorization");
  return value != NULL && g_str_has_prefix (value, BEARER_PREFIX)
         && token_matches (server->options.token, value + strlen (BEARER_PREFIX));
}

static void
refuse (SoupServerMessage *message, int status, const char *text)
{
  g_autofree char *body = g_strdup_printf ("{\"error\":\"%s\"}\n", text);
  /* Discards the request body. */
  soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
  set_connection_close (message);
  soup_server_message_set_status (message, (guint)status, NULL);
  soup_server_message_set_response (message, "application/json", SOUP_MEMORY_COPY, body,
                                    strlen (body));
}

/* Refuses calls without the token, with a chunked body or with a body that is too large, before the
 * body is read. */
static void
check_head (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *query,
            gpointer data)
{
  operator_server_t *server = data;
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  goffset length = soup_message_headers_get_content_length (headers);

  metric_inc (&server->calls);
  if (!is_authorized (server, message))
    {
      metric_inc (&server->unauthorized_calls);
      refuse (message, 401, "missing or wrong credential");
    }
  else if (soup_message_headers_get_encoding (headers) == SOUP_ENCODING_CHUNKED)
    refuse (message, 411, "a length is required");
  else if (length > (goffset)OPERATOR_MAX_BODY_BYTES)
    refuse (message, 413, "body too large");
}

static void
handle_call (SoupServer *soup, SoupServerMessage *message, const char *path, GHashTable *query,
             gpointer data)
{
  operator_server_t *server = data;
  operator_call_t *call = g_new0 (operator_call_t, 1);
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  SoupMessageBody *body = soup_server_message_get_request_body (message);
  g_autoptr (GBytes) bytes = soup_message_body_flatten (body);
  gsize size = 0;
  const char *content = g_bytes_get_data (bytes, &size);

  call->message = g_object_ref (message);
  operator_request_t request = {
    .method = soup_server_message_get_method (message),
    .path = path,
    .query = g_uri_get_query (soup_server_message_get_uri (message)),
    .authorization = soup_message_headers_get_one (headers, "Authorization"),
    .body = content,
    .body_size = size,
  };
  soup_server_message_pause (message);
  server->options.handle_call (server->options.data, call, &request);
}

void
operator_call_respond (operator_call_t *call, int status, const char *location, const char *body)
{
  SoupMessageHeaders *headers = soup_server_message_get_response_headers (call->message);
  if (location != NULL)
    soup_message_headers_replace (headers, "Location", location);
  set_connection_close (call->message);
  soup_server_message_set_status (call->message, (guint)status, NULL);
  soup_server_message_set_response (call->message, "application/json", SOUP_MEMORY_COPY, body,
                                    strlen (body));
  soup_server_message_unpause (call->message);
  g_object_unref (call->message);
  g_free (call);
}

static bool
start (task_t *task, anv_error_t *err)
{
  operator_server_t *server = (operator_server_t *)task;
  char host[64];
  uint16_t port = 0;
  g_autoptr (GError) error = NULL;

  if (!option_parse_address (server->options.listen, host, sizeof (host), &port))
    {
      anv_error_set (err, ANV_ERROR_HTTP, HTTP_ERROR_SOCKET, "malformed address '%s'",
                     server->options.listen);
      return false;
    }
  server->soup_server = soup_server_new ("server-header", "anvillb", NULL);
  bool tls = server->options.certificate != NULL;
  if (tls)
    soup_server_set_tls_certificate (server->soup_server, server->options.certificate);
  soup_server_add_early_handler (server->soup_server, NULL, check_head, server, NULL);
  soup_server_add_handler (server->soup_server, NULL, handle_call, server, NULL);

  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (host, port);
  if (!soup_server_listen (server->soup_server, address, tls ? SOUP_SERVER_LISTEN_HTTPS : 0,
                           &error))
    {
      anv_error_set (err, ANV_ERROR_HTTP, HTTP_ERROR_SOCKET, "cannot listen on %s: %s",
                     server->options.listen, error->message);
      return false;
    }
  LOG_NOTICE ("operators' API address=%s tls=%s", server->options.listen, tls ? "yes" : "no");
  return true;
}

static void
receive (task_t *task, const message_t *message)
{
}

static void
stop (task_t *task)
{
  operator_server_t *server = (operator_server_t *)task;
  if (server->soup_server == NULL)
    return;
  soup_server_disconnect (server->soup_server);
  g_clear_object (&server->soup_server);
}

static const task_ops_t server_ops = {
  .name = "operator_server",
  .start = start,
  .receive = receive,
  .stop = stop,
};

void
operator_server_init (operator_server_t *server, const operator_server_options_t *options,
                      GMainContext *context)
{
  *server = (operator_server_t){ .options = *options };
  task_init (&server->task, &server_ops, context);
  metric_register (options->counters, &server->calls, METRIC_KIND_COUNTER,
                   "anvillb_operator_calls_total", NULL, "Calls of the operators' API.");
  metric_register (options->counters, &server->unauthorized_calls, METRIC_KIND_COUNTER,
                   "anvillb_operator_refused_total", NULL, "Calls without the credential.");
}

void
operator_server_destroy (operator_server_t *server)
{
  task_destroy (&server->task);
}
